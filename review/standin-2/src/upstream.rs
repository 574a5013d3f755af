//! An upstream: runs requests in a number of slots, and speaks to the node beside it.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::http::Reader;
use crate::record::Record;

/// What an upstream is.
#[derive(Clone)]
pub struct UpstreamOptions {
    /// Its id.
    pub id: String,
    /// Unix milliseconds of its start.
    pub born: u64,
    /// Its service.
    pub service: String,
    /// Version of its software.
    pub version: String,
    /// Address that it listens on.
    pub listen: SocketAddr,
    /// Address of the node beside it for heartbeats.
    pub control: SocketAddr,
    /// Requests that run at the same time.
    pub slots: usize,
    /// Work of a request.
    pub work: Duration,
    /// Work of a request whose path contains `long`.
    pub long_work: Duration,
    /// Time between heartbeats.
    pub beat: Duration,
}

/// A request that reached an upstream.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the attempt.
    pub attempt: String,
    /// Time since the start of the record.
    pub at: Duration,
}

struct Shared {
    options: UpstreamOptions,
    record: Record,
    free: Mutex<usize>,
    freed: Condvar,
    runs: Mutex<Vec<Run>>,
    sequence: AtomicU64,
    beats: AtomicBool,
    leaves: AtomicBool,
    ended: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

/// A running upstream.
#[derive(Clone)]
pub struct Upstream(Arc<Shared>);

impl Upstream {
    /// Starts an upstream with its heartbeats.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn start(options: UpstreamOptions, record: Record) -> io::Result<Self> {
        let listener = TcpListener::bind(options.listen)?;
        let upstream = Self(Arc::new(Shared {
            free: Mutex::new(options.slots),
            options,
            record,
            freed: Condvar::new(),
            runs: Mutex::default(),
            sequence: AtomicU64::new(0),
            beats: AtomicBool::new(true),
            leaves: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            connections: Mutex::default(),
        }));
        let serving = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.0.ended.load(Ordering::SeqCst) {
                    return;
                }
                let upstream = serving.clone();
                if let Ok(copy) = stream.try_clone() {
                    upstream.0.connections.lock().unwrap().push(copy);
                }
                thread::spawn(move || upstream.serve(stream));
            }
        });
        let beating = upstream.clone();
        thread::spawn(move || {
            while !beating.0.ended.load(Ordering::SeqCst) {
                if beating.0.beats.load(Ordering::SeqCst) {
                    let (sequence, body) = beating.next_beat("ready");
                    let _ = beating.send_beat(sequence, &body);
                }
                thread::sleep(beating.0.options.beat);
            }
        });
        Ok(upstream)
    }

    /// Its id.
    #[must_use]
    pub fn id(&self) -> &str {
        &self.0.options.id
    }

    /// Requests that have run, in order.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.0.runs.lock().unwrap().clone()
    }

    /// Makes the next heartbeat without sending it.
    #[must_use]
    pub fn next_beat(&self, state: &str) -> (u64, String) {
        let options = &self.0.options;
        let sequence = self.0.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"{}\",\"zone\":\"dublin-a\",\
             \"slots\":{}}},\"status\":{{\"state\":\"{state}\",\"seq\":{sequence},\"cold-left-ms\":0}}}}",
            options.listen, options.born, options.service, options.version, options.slots
        );
        (sequence, body)
    }

    /// Sends a heartbeat. Returns the status of the answer, 0 without one.
    #[must_use]
    pub fn send_beat(&self, sequence: u64, body: &str) -> u16 {
        let status = self.tell("Instances.Heartbeat", body);
        self.0.record.line(&format!(
            "{} heartbeat seq={sequence} sent, answer {status}",
            self.id()
        ));
        status
    }

    fn tell(&self, call: &str, body: &str) -> u16 {
        let options = &self.0.options;
        let start = format!("POST /sycamorewick/{call}/{}", options.id);
        let headers = [
            ("Host", options.control.to_string()),
            ("Content-Type", "application/json".to_owned()),
        ];
        let sent = http::call(
            options.control,
            &start,
            &headers,
            body.as_bytes(),
            Duration::from_secs(1),
        );
        sent.map_or(0, |answer| answer.status())
    }

    /// Sends no further heartbeats.
    pub fn stop_beats(&self) {
        self.0.beats.store(false, Ordering::SeqCst);
    }

    /// Leaves: sends no further heartbeats, says so in its answers, and deregisters. It goes on to serve. Returns
    /// the status of the answer.
    #[must_use]
    pub fn deregister(&self) -> u16 {
        self.stop_beats();
        self.0.leaves.store(true, Ordering::SeqCst);
        let status = self.tell(
            "Instances.Deregister",
            &format!("{{\"born\":{}}}", self.0.options.born),
        );
        self.0.record.line(&format!(
            "{} deregistration sent, answer {status}",
            self.id()
        ));
        status
    }

    /// Ends: no connection is accepted any more, and the open ones are closed.
    pub fn end(&self) {
        self.0.ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which then drops the listener.
        let _ = TcpStream::connect(self.0.options.listen);
        for connection in self.0.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
        self.0.record.line(&format!("{} ends", self.id()));
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(reading);
        while let Ok(Some(request)) = reader.read() {
            if self.answer(&mut stream, &request).is_err() || self.0.ended.load(Ordering::SeqCst) {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        let options = &self.0.options;
        let leaves = self.0.leaves.load(Ordering::SeqCst);
        if request.target() == "/healthz" {
            let status = if leaves { 503 } else { 200 };
            let headers = [("X-Sycamorewick-Instance", options.id.clone())];
            return http::write(stream, &format!("HTTP/1.1 {status} -"), &headers, b"");
        }
        let attempt = request
            .header("x-sycamorewick-attempt-id")
            .unwrap_or_default()
            .to_owned();
        let echo = ("X-Sycamorewick-Attempt-Id", attempt.clone());
        let not_run = ("X-Sycamorewick-Not-Executed", "1".to_owned());
        let expected = request.header("x-sycamorewick-expect-instance");
        if attempt.is_empty() || expected.is_some_and(|id| id != options.id) {
            let status = if attempt.is_empty() { 400 } else { 421 };
            return http::write(
                stream,
                &format!("HTTP/1.1 {status} -"),
                &[echo, not_run],
                b"",
            );
        }
        let deadline = request
            .header("x-sycamorewick-deadline-ms")
            .and_then(|text| text.parse().ok());
        let until = Instant::now() + Duration::from_millis(deadline.unwrap_or(1_000));
        let mut free = self.0.free.lock().unwrap();
        while *free == 0 {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                drop(free);
                return http::write(stream, "HTTP/1.1 503 -", &[echo, not_run], b"");
            }
            free = self.0.freed.wait_timeout(free, left).unwrap().0;
        }
        *free -= 1;
        drop(free);
        let run = Run {
            attempt: attempt.clone(),
            at: self.0.record.now(),
        };
        self.0.runs.lock().unwrap().push(run);
        self.0
            .record
            .line(&format!("{} runs {attempt} {}", options.id, request.start));
        let is_long = request.target().contains("long");
        thread::sleep(if is_long {
            options.long_work
        } else {
            options.work
        });
        *self.0.free.lock().unwrap() += 1;
        self.0.freed.notify_one();
        let seal = (
            "X-Sycamorewick-Response-Seal",
            format!("{}.{attempt}", options.id),
        );
        let mut headers = vec![echo, seal];
        if leaves {
            headers.push(("Server-Leaving", "1".to_owned()));
        }
        http::write(
            stream,
            "HTTP/1.1 200 OK",
            &headers,
            format!("done {attempt}").as_bytes(),
        )
    }
}
