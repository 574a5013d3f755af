//! Callers of the soak. A caller checks every response in full and reuses its connection until the node
//! closes it.

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

/// Timeout of a call, longer than that of a route so that the node gives up first.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum pause of a caller between two calls.
const MAX_PAUSE_MS: u64 = 60;
/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Kind of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// The request may run more than once.
    Idempotent,
    /// The request must not run more than once.
    Once,
}

/// How a call ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// A complete response with this status.
    Status(u16),
    /// The connection ended before the first byte of a response.
    NoAnswer,
    /// The connection ended within the response.
    Cut,
    /// The connection could not be opened.
    NoConnection,
    /// No complete response arrived within the timeout.
    TimedOut,
}

/// One call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Id of the attempt, unique in the run.
    pub attempt: String,
    /// Node that was called.
    pub node: usize,
    /// Kind of the call.
    pub kind: CallKind,
    /// Start of the call, milliseconds of the monotonic clock.
    pub began: u64,
    /// End of the call, milliseconds of the monotonic clock.
    pub ended: u64,
    /// How the call ended.
    pub end: CallEnd,
    /// Version of the backend server that answered, for responses with status 200.
    pub version: Option<String>,
    /// What is wrong with the response, if anything.
    pub wrong: Option<String>,
}

/// Calls of a group of callers, whose attempt ids have a common prefix.
pub struct Calls {
    /// Records in the order in which the calls ended.
    pub records: RefCell<Vec<CallRecord>>,
    prefix: String,
    number: Cell<u64>,
    /// Whether the callers stop after their current call.
    pub stopped: Cell<bool>,
}

impl Calls {
    /// Creates an empty list of calls; the attempt ids begin with `prefix`.
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

/// Host that all routes match.
pub const HOST: &str = "a.example";

/// Calls one node until `calls.stopped` is set.
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

/// Makes one call and records it. Uses the open connection if there is one. Returns how the call ended.
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
    let exchange = exchange(&mut record, addr, path, open);
    match actix_rt::time::timeout(CALL_TIMEOUT, exchange).await {
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
            _ if buf.len() > MAX_HEAD_BYTES + (1 << 20) => return CallEnd::Cut,
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
        record.wrong = Some("response without a content length".into());
        return CallEnd::Status(status);
    };
    while buf.len() < head_end + length {
        if stream.read_buf(&mut buf).await.unwrap_or(0) == 0 {
            return CallEnd::Cut;
        }
    }
    if buf.len() > head_end + length {
        record.wrong = Some("extra bytes after the response".into());
    }
    if status == 200 {
        check_response(
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

/// Checks that a response is complete, belongs to this attempt, and has the seal of the backend server
/// instance that sent it.
fn check_response(record: &mut CallRecord, body: &[u8], received_seal: Option<&str>, path: &str) {
    let response: PlatformResponseBody = match serde_json::from_slice(body) {
        Ok(response) => response,
        Err(e) => {
            record.wrong = Some(format!("response body does not parse: {e}"));
            return;
        }
    };
    let expected_seal = seal(&response.instance, &record.attempt);
    if response.attempt != record.attempt || response.target != path {
        record.wrong = Some(format!("response belongs to attempt {}", response.attempt));
    } else if received_seal != Some(expected_seal.as_str()) {
        record.wrong = Some(format!("response has the wrong seal {received_seal:?}"));
    }
    record.version = Some(response.version);
}
