//! Structured logging through a bounded queue, so that a slow output never blocks a call.

use std::io;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use slog::Drain;
use slog::Level;
use slog::Logger;
use slog::o;

use crate::settings::LogFormat;
use crate::settings::LogLevel;

/// Records that may wait for the output; at 47 calls/s and two lines a call this is 40 s of lines.
const QUEUE_RECORDS: usize = 4_096;

static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Number of records that this process dropped; reported as a metric and an outcome.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
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
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Flushes the queue when it is dropped.
pub struct LogGuard {
    _guard: slog_async::AsyncGuard,
}

/// Creates the logger of a node. Records that find the queue full are dropped and counted.
pub fn start(format: LogFormat, level: LogLevel) -> (Logger, LogGuard) {
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    // Both formats write a record in many pieces; the buffer makes them one system call a line.
    let output = io::LineWriter::new(io::stderr());
    let drain: Box<dyn Drain<Ok = (), Err = slog::Never> + Send> = match format {
        LogFormat::Json => Box::new(slog_json::Json::default(output).ignore_res()),
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(output);
            Box::new(slog_term::FullFormat::new(decorator).build().ignore_res())
        }
    };
    let (core, guard) = slog_async::AsyncCore::custom(drain)
        .chan_size(QUEUE_RECORDS)
        .blocking(false)
        .build_with_guard();
    let drain = CountingDrain(core);
    let drain = drain.filter_level(level).ignore_res();
    (Logger::root(drain, o!()), LogGuard { _guard: guard })
}
