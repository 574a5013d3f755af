//! Callers of the soak: strict about what an answer is, and loyal to their connections until the node
//! closes them.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use testbed::platform::backend::ATTEMPT_HEADER;
use testbed::platform::backend::PlatformResponseBody;
use testbed::platform::backend::SEAL_HEADER;
use testbed::platform::backend::monotonic_millis;
use testbed::platform::backend::seal;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Longest time of a call; routes give up before.
const CALL_LIMIT: Duration = Duration::from_secs(5);
/// Pause of a caller between two calls, at most.
const MAX_PAUSE_MS: u64 = 60;
/// Largest head of an answer, bytes.
const MAX_HEAD: usize = 16 << 10;

/// What a caller asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// May run more than once.
    Idempotent,
    /// Must not.
    Once,
}

/// How a call ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// A whole answer with this status.
    Status(u16),
    /// The connection ended before any byte of an answer.
    NoAnswer,
    /// The answer was cut.
    Cut,
    /// No connection.
    NoConnection,
    /// No whole answer in time.
    TimedOut,
}

/// One call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Identity of the attempt.
    pub attempt: String,
    /// Node that was called.
    pub node: usize,
    /// Kind.
    pub kind: CallKind,
    /// Steady milliseconds at its start.
    pub began: u64,
    /// Steady milliseconds at its end.
    pub ended: u64,
    /// How it ended.
    pub end: CallEnd,
    /// Version that answered, for answers with 200.
    pub version: Option<String>,
    /// What is wrong with the answer, if anything.
    pub wrong: Option<String>,
}

/// Records of callers whose attempts are named alike.
pub struct Calls {
    /// In the order of their ends.
    pub records: RefCell<Vec<CallRecord>>,
    prefix: String,
    number: Cell<u64>,
    /// Whether callers go on.
    pub stopped: Cell<bool>,
}

impl Calls {
    /// Starts without records; names of attempts begin with `prefix`.
    #[must_use]
    pub fn new(prefix: &str) -> Self {
        Self {
            records: RefCell::default(),
            prefix: prefix.into(),
            number: Cell::new(0),
            stopped: Cell::new(false),
        }
    }
}

/// Host of all routes.
pub const HOST: &str = "a.example";

/// Calls one node until the end of the run.
pub async fn run(calls: Rc<Calls>, node: usize, addr: SocketAddr, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut stream = None;
    while !calls.stopped.get() {
        let kind = if rng.random_bool(0.4) {
            CallKind::Once
        } else {
            CallKind::Idempotent
        };
        let path = match kind {
            CallKind::Idempotent => format!("/wrecks/{}", rng.random_range(0..50)),
            CallKind::Once => "/claims/new".to_owned(),
        };
        call(&calls, node, addr, kind, &path, &mut stream).await;
        let pause = Duration::from_millis(rng.random_range(0..=MAX_PAUSE_MS));
        actix_rt::time::sleep(pause).await;
    }
}

/// Makes one call, on the open connection if there is one, and records it. Returns how it ended.
pub async fn call(
    calls: &Calls,
    node: usize,
    addr: SocketAddr,
    kind: CallKind,
    path: &str,
    open: &mut Option<TcpStream>,
) -> CallEnd {
    calls.number.set(calls.number.get() + 1);
    let attempt = format!("{}-{}", calls.prefix, calls.number.get());
    let mut record = CallRecord {
        attempt,
        node,
        kind,
        began: monotonic_millis(),
        ended: 0,
        end: CallEnd::TimedOut,
        version: None,
        wrong: None,
    };
    let exchanged = actix_rt::time::timeout(CALL_LIMIT, exchange(&mut record, addr, path, open));
    match exchanged.await {
        Ok(end) => record.end = end,
        Err(_) => *open = None,
    }
    record.ended = monotonic_millis();
    let end = record.end.clone();
    calls.records.borrow_mut().push(record);
    end
}

async fn exchange(
    record: &mut CallRecord,
    addr: SocketAddr,
    path: &str,
    open: &mut Option<TcpStream>,
) -> CallEnd {
    let mut stream = match open.take() {
        Some(stream) => stream,
        None => match TcpStream::connect(addr).await {
            Ok(stream) => stream,
            Err(_) => return CallEnd::NoConnection,
        },
    };
    let (method, body) = match record.kind {
        CallKind::Idempotent => ("GET", ""),
        CallKind::Once => ("POST", "claim"),
    };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n{ATTEMPT_HEADER}: {}\r\ncontent-length: {}\r\n\r\n{body}",
        record.attempt,
        body.len()
    );
    if stream.write_all(request.as_bytes()).await.is_err() {
        return CallEnd::NoAnswer;
    }
    let mut buf = Vec::new();
    let head_end = loop {
        if let Some(end) = find_head_end(&buf) {
            break end;
        }
        let size = stream.read_buf(&mut buf).await.unwrap_or(0);
        match size {
            0 if buf.is_empty() => return CallEnd::NoAnswer,
            0 => return CallEnd::Cut,
            _ if buf.len() > MAX_HEAD + (1 << 20) => return CallEnd::Cut,
            _ => {}
        }
    };
    let head = String::from_utf8_lossy(&buf[..head_end]).into_owned();
    let status: u16 = head
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let header = |name: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(": "));
        let found = lines.find(|(found, _)| found.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.to_owned())
    };
    let Some(length) = header("content-length").and_then(|text| text.parse::<usize>().ok()) else {
        record.wrong = Some("an answer without a length".into());
        return CallEnd::Status(status);
    };
    while buf.len() < head_end + length {
        if stream.read_buf(&mut buf).await.unwrap_or(0) == 0 {
            return CallEnd::Cut;
        }
    }
    if buf.len() > head_end + length {
        record.wrong = Some("bytes behind the answer".into());
    }
    if status == 200 {
        check(
            record,
            &buf[head_end..head_end + length],
            header(SEAL_HEADER).as_deref(),
            path,
        );
    }
    if header("connection").is_none_or(|value| !value.eq_ignore_ascii_case("close")) {
        *open = Some(stream);
    }
    CallEnd::Status(status)
}

fn find_head_end(buf: &[u8]) -> Option<usize> {
    let at = buf.windows(4).position(|window| window == b"\r\n\r\n")?;
    Some(at + 4)
}

/// Checks that an answer is whole, of this attempt, and sealed by the one that made it.
fn check(record: &mut CallRecord, body: &[u8], found_seal: Option<&str>, path: &str) {
    let answer: PlatformResponseBody = match serde_json::from_slice(body) {
        Ok(answer) => answer,
        Err(e) => {
            record.wrong = Some(format!("a body that is not whole: {e}"));
            return;
        }
    };
    let own_seal = seal(&answer.instance, &record.attempt);
    if answer.attempt != record.attempt || answer.target != path {
        record.wrong = Some(format!("the answer of {}", answer.attempt));
    } else if found_seal != Some(own_seal.as_str()) {
        record.wrong = Some(format!("the seal {found_seal:?}"));
    }
    record.version = Some(answer.version);
}
