//! Structured logging through a bounded queue, so a slow output never blocks a call.

use std::io;
use std::io::Write as _;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use slog::Drain;
use slog::FnValue;
use slog::Level;
use slog::Logger;
use slog::o;

use crate::settings::LogFormat;
use crate::settings::LogLevel;

/// Maximum number of records that wait for the output: 40 s of lines at 47 calls/s and two lines per
/// call.
const MAX_QUEUED_RECORDS: usize = 4_096;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of records that this process dropped; reported as a metric and as an outcome.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

fn count_dropped() {
    DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
}

struct CountingDrain(slog_async::AsyncCore);

impl Drain for CountingDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<(), slog::Never> {
        if self.0.log(record, values).is_err() {
            count_dropped();
        }
        Ok(())
    }
}

/// Flushes the queue when it is dropped.
pub struct LogGuard {
    _guard: slog_async::AsyncGuard,
}

/// Creates the logger of a node. Records are dropped and counted while the queue is full.
pub fn start(format: LogFormat, level: LogLevel) -> (Logger, LogGuard) {
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    // Both formats write a record in many parts; the line buffer needs one system call per line.
    let output = io::LineWriter::new(io::stderr());
    let drain: Box<dyn Drain<Ok = (), Err = slog::Never> + Send> = match format {
        LogFormat::Json => Box::new(slog_json::Json::default(output).ignore_res()),
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(output);
            Box::new(slog_term::FullFormat::new(decorator).build().ignore_res())
        }
    };
    let (core, guard) = slog_async::AsyncCore::custom(drain)
        .chan_size(MAX_QUEUED_RECORDS)
        .blocking(false)
        .build_with_guard();
    let drain = CountingDrain(core);
    let drain = drain.filter_level(level).ignore_res();
    (Logger::root(drain, o!()), LogGuard { _guard: guard })
}

/// Maximum size of the log lines that wait for the output: 3,000 lines of 300 bytes.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// Time between two writes. One write of many lines costs far less than one write per line.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

/// Lines that wait for the output. Lines are dropped and counted while the buffer is full.
#[derive(Clone, Default)]
struct LineBuffer(Arc<Mutex<Vec<u8>>>);

impl LineBuffer {
    fn lock(&self) -> MutexGuard<'_, Vec<u8>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn flush(&self) {
        let bytes = std::mem::take(&mut *self.lock());
        if io::stdout().write_all(&bytes).is_err() {
            count_dropped();
        }
    }
}

/// Formats a record into the buffer.
struct BufferDrain(LineBuffer);

impl Drain for BufferDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<(), slog::Never> {
        let mut bytes = self.0.lock();
        if bytes.len() >= MAX_BUFFERED_BYTES {
            count_dropped();
            return Ok(());
        }
        let line = slog_json::Json::new(&mut *bytes)
            .add_key_value(o!(
                "ts_ms" => FnValue(|_: &slog::Record<'_>| wall_ms()),
                "msg" => FnValue(|record: &slog::Record<'_>| record.msg().to_string()),
                "level" => FnValue(|record: &slog::Record<'_>| record.level().as_short_str()),
            ))
            .build();
        if line.log(record, values).is_err() {
            count_dropped();
        }
        Ok(())
    }
}

fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Writes the buffered lines when it is dropped.
pub struct BufferGuard(LineBuffer);

impl Drop for BufferGuard {
    fn drop(&mut self) {
        self.0.flush();
    }
}

/// Creates a logger that writes JSON lines to standard output from its own thread, so a log line
/// neither blocks the caller on a slow output nor costs it a system call.
pub fn start_buffered() -> (Logger, BufferGuard) {
    let buffer = LineBuffer::default();
    let writer = buffer.clone();
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(WRITE_INTERVAL);
            writer.flush();
        }
    });
    let drain = BufferDrain(buffer.clone());
    (Logger::root(drain, o!()), BufferGuard(buffer))
}
