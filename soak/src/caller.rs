//! Callers of the soak. A caller checks every response in full and reuses its connection until the node
//! closes it.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use testbed::platform::backend::ATTEMPT_HEADER;
use testbed::platform::backend::CREDENTIAL_HEADER;
use testbed::platform::backend::PlatformResponseBody;
use testbed::platform::backend::SEAL_HEADER;
use testbed::platform::backend::WORKSPACE_HEADER;
use testbed::platform::backend::monotonic_millis;
use testbed::platform::backend::seal;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::workspaces::FORGED_WORKSPACE;
use crate::workspaces::KeyRing;
use crate::workspaces::UNKNOWN_KEY;

/// Timeout of a call, longer than that of a route so that the node gives up first.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum pause of a caller between two calls.
const MAX_PAUSE_MS: u64 = 60;
/// Pause of a caller in a surge between two calls.
const SURGE_PAUSE_MS: RangeInclusive<u64> = 15..=60;
/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Kind of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// The request may run more than once.
    Idempotent,
    /// The request must not run more than once.
    NonIdempotent,
}

/// What a caller calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Workload {
    /// Idempotent and other routes of the service that has most nodes.
    Mixed,
    /// Route of a service that has no idempotent one.
    UnsafeService,
    /// Large bodies, which run at most once.
    Upload,
}

impl Workload {
    /// All workloads.
    pub const ALL: [Self; 3] = [Self::Mixed, Self::UnsafeService, Self::Upload];

    fn draw_call(self, rng: &mut StdRng) -> (CallKind, String) {
        match self {
            Self::Mixed if rng.random_bool(0.4) => (CallKind::NonIdempotent, "/claims/new".into()),
            Self::Mixed => {
                let path = format!("/wrecks/{}", rng.random_range(0..50));
                (CallKind::Idempotent, path)
            }
            Self::UnsafeService => (CallKind::NonIdempotent, "/moorings/new".into()),
            Self::Upload => (CallKind::NonIdempotent, format!("{UPLOAD_PREFIX}new")),
        }
    }
}

/// How a call ended for its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// A complete response with this status.
    Status(u16),
    /// The connection ended before the first byte of a response.
    NoResponse,
    /// The connection ended within the response.
    Incomplete,
    /// The connection could not be opened.
    NoConnection,
    /// No complete response arrived within the timeout.
    TimedOut,
}

/// Key of a workspace that a call carries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Credential {
    /// The run has no workspaces.
    NoWorkspaces,
    /// The route is public. The call carries a key that belongs to no workspace.
    Public,
    /// The call carries this key, or none if it is empty.
    Key(Rc<str>),
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
    /// Workload of the caller.
    pub workload: Workload,
    /// Start of the call, milliseconds of the monotonic clock.
    pub started_ms: u64,
    /// End of the call, milliseconds of the monotonic clock.
    pub ended_ms: u64,
    /// How the call ended.
    pub outcome: CallOutcome,
    /// Version of the backend server that answered, for responses with status 200.
    pub version: Option<String>,
    /// Key that it carried.
    pub credential: Credential,
    /// Result code in a response with another status than 200.
    pub code: Option<u64>,
    /// What is wrong with the response, if anything.
    pub violation: Option<String>,
}

/// Calls of a group of callers, whose attempt ids have a common prefix.
pub struct CallLog {
    /// Records in the order in which the calls ended.
    pub records: RefCell<Vec<CallRecord>>,
    prefix: String,
    workload: Workload,
    number: Cell<u64>,
    keys: Option<Rc<KeyRing>>,
    /// Whether the callers stop after their current call.
    pub stopped: Cell<bool>,
}

impl CallLog {
    /// Creates an empty list of calls; the attempt ids begin with `prefix`.
    #[must_use]
    pub fn new(prefix: &str, workload: Workload, keys: Option<Rc<KeyRing>>) -> Self {
        Self {
            records: RefCell::default(),
            prefix: prefix.into(),
            workload,
            number: Cell::new(0),
            keys,
            stopped: Cell::new(false),
        }
    }

    fn draw_credential(&self) -> Credential {
        let key = self.keys.as_ref().map(|keys| keys.draw());
        key.map_or(Credential::NoWorkspaces, Credential::Key)
    }

    /// Returns what calls of a public route carry.
    #[must_use]
    pub fn public_credential(&self) -> Credential {
        if self.keys.is_some() {
            Credential::Public
        } else {
            Credential::NoWorkspaces
        }
    }
}

/// Host that all routes match.
pub const HOST: &str = "a.example";
/// Prefix of the route for large bodies.
pub const UPLOAD_PREFIX: &str = "/sheets/";
/// Size of the body of an upload, which is above that from which nodes announce bodies to each other.
const UPLOAD_BYTES: usize = 40 << 10;

/// Calls one node until `calls.stopped` is set.
pub async fn run(calls: Rc<CallLog>, node: usize, addr: SocketAddr, seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut stream = None;
    while !calls.stopped.get() {
        let (kind, path) = calls.workload.draw_call(&mut rng);
        let credential = calls.draw_credential();
        call(&calls, node, addr, kind, &path, credential, &mut stream).await;
        let pause = Duration::from_millis(rng.random_range(0..=MAX_PAUSE_MS));
        actix_rt::time::sleep(pause).await;
    }
}

/// Calls one node with keys of one workspace until `calls.stopped` is set.
pub async fn run_surge(
    calls: Rc<CallLog>,
    node: usize,
    addr: SocketAddr,
    seed: u64,
    workspace: usize,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut stream = None;
    while !calls.stopped.get() {
        let (kind, path) = calls.workload.draw_call(&mut rng);
        let key = calls.keys.as_ref().map(|keys| keys.draw_of(workspace));
        let credential = key.map_or(Credential::NoWorkspaces, Credential::Key);
        call(&calls, node, addr, kind, &path, credential, &mut stream).await;
        let pause = Duration::from_millis(rng.random_range(SURGE_PAUSE_MS));
        actix_rt::time::sleep(pause).await;
    }
}

/// Makes one call and records it. Uses the open connection if there is one. Returns how the call ended.
pub async fn call(
    calls: &CallLog,
    node: usize,
    addr: SocketAddr,
    kind: CallKind,
    path: &str,
    credential: Credential,
    open: &mut Option<TcpStream>,
) -> CallOutcome {
    calls.number.set(calls.number.get() + 1);
    let attempt = format!("{}-{}", calls.prefix, calls.number.get());
    let mut record = CallRecord {
        attempt,
        node,
        kind,
        workload: calls.workload,
        started_ms: monotonic_millis(),
        ended_ms: 0,
        outcome: CallOutcome::TimedOut,
        version: None,
        credential,
        code: None,
        violation: None,
    };
    let exchange = exchange(&mut record, addr, path, open);
    match actix_rt::time::timeout(CALL_TIMEOUT, exchange).await {
        Ok(outcome) => record.outcome = outcome,
        Err(_) => *open = None,
    }
    record.ended_ms = monotonic_millis();
    let outcome = record.outcome.clone();
    calls.records.borrow_mut().push(record);
    outcome
}

async fn exchange(
    record: &mut CallRecord,
    addr: SocketAddr,
    path: &str,
    open: &mut Option<TcpStream>,
) -> CallOutcome {
    let mut stream = match open.take() {
        Some(stream) => stream,
        None => match TcpStream::connect(addr).await {
            Ok(stream) => stream,
            Err(_) => return CallOutcome::NoConnection,
        },
    };
    let (method, body) = match record.kind {
        CallKind::Idempotent => ("GET", String::new()),
        CallKind::NonIdempotent if record.workload == Workload::Upload => {
            ("POST", "s".repeat(UPLOAD_BYTES))
        }
        CallKind::NonIdempotent => ("POST", "claim".into()),
    };
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n{ATTEMPT_HEADER}: {}\r\n{}content-length: {}\r\n\r\n{body}",
        record.attempt,
        credential_fields(&record.credential),
        body.len()
    );
    if stream.write_all(request.as_bytes()).await.is_err() {
        return CallOutcome::NoResponse;
    }
    let mut buf = Vec::new();
    let head_end = loop {
        if let Some(end) = find_head_end(&buf) {
            break end;
        }
        let size = stream.read_buf(&mut buf).await.unwrap_or(0);
        match size {
            0 if buf.is_empty() => return CallOutcome::NoResponse,
            0 => return CallOutcome::Incomplete,
            _ if buf.len() > MAX_HEAD_BYTES + (1 << 20) => return CallOutcome::Incomplete,
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
        record.violation = Some("response without a content length".into());
        return CallOutcome::Status(status);
    };
    while buf.len() < head_end + length {
        if stream.read_buf(&mut buf).await.unwrap_or(0) == 0 {
            return CallOutcome::Incomplete;
        }
    }
    if buf.len() > head_end + length {
        record.violation = Some("extra bytes after the response".into());
    }
    if status == 200 {
        check_response(
            record,
            &buf[head_end..head_end + length],
            header(SEAL_HEADER).as_deref(),
            path,
        );
    } else if let Ok(body) = serde_json::from_slice(&buf[head_end..head_end + length]) {
        let body: serde_json::Value = body;
        record.code = body["code"].as_u64();
    }
    if header("connection").is_none_or(|value| !value.eq_ignore_ascii_case("close")) {
        *open = Some(stream);
    }
    CallOutcome::Status(status)
}

/// Returns the fields of a request about its workspace: a forged name, and the key if there is one.
fn credential_fields(credential: &Credential) -> String {
    let key = match credential {
        Credential::NoWorkspaces => return String::new(),
        Credential::Key(key) => key,
        Credential::Public => UNKNOWN_KEY,
    };
    let forged = format!("{WORKSPACE_HEADER}: {FORGED_WORKSPACE}\r\n");
    if key.is_empty() {
        return forged;
    }
    format!("{forged}{CREDENTIAL_HEADER}: {key}\r\n")
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
            record.violation = Some(format!("response body does not parse: {e}"));
            return;
        }
    };
    let expected_seal = seal(&response.instance, &record.attempt);
    if response.attempt != record.attempt || response.target != path {
        record.violation = Some(format!("response belongs to attempt {}", response.attempt));
    } else if received_seal != Some(expected_seal.as_str()) {
        record.violation = Some(format!("response has the wrong seal {received_seal:?}"));
    }
    record.version = Some(response.version);
}
