//! Stand-in for a backend server. It serves one version of a service with configurable service
//! times and faults, and announces itself to a node.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use actix_http::Extensions;
use actix_http::HttpMessage;
use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;
use sycamorewick::protocol::call::ATTEMPTS_HEADER;
use sycamorewick::protocol::call::CALL_HEADER;
use sycamorewick::protocol::call::DEADLINE_HEADER;
use sycamorewick::protocol::call::KEY_HEADER;
use sycamorewick::protocol::call::MAX_BODY_BYTES;
use sycamorewick::protocol::time::millis;
use tokio::sync::Notify;
use tokio::sync::Semaphore;

use crate::http;
use crate::http::ServerThread;

/// Header with the number that the caller gave a request; the response repeats it.
pub const NUMBER_HEADER: &str = "x-request-number";
/// Header that makes the backend server crash.
pub const CRASH_HEADER: &str = "x-crash";
/// Text in a request body that makes the backend server crash.
pub const CRASH_TEXT: &[u8] = b"CRASH";
/// Path of announcements on the node's request port, see `docs/design.md`, section 5.
pub const ANNOUNCE_PATH: &str = "/.sycamorewick/announce";
/// Path of withdrawals on the node's request port, for the deregistration before a stop.
pub const WITHDRAW_PATH: &str = "/.sycamorewick/withdraw";
/// Interval between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of an announcement; shorter than the interval, so that a slow node does not delay the
/// next announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(900);
/// Time between the withdrawal and the end of the listener in a graceful stop, so that requests
/// that the node had already routed to the backend server still arrive.
const WITHDRAW_GRACE_PERIOD: Duration = Duration::from_millis(300);
/// Longest time that a graceful stop waits for running requests.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(10);
/// Timeout of a downstream call if the request has no deadline.
const DOWNSTREAM_TIMEOUT: Duration = Duration::from_secs(2);
/// Requests that may wait for a slot, per slot; further requests are refused with status 503.
const MAX_QUEUED_PER_SLOT: u32 = 1;
/// 99th percentile of the standard normal distribution.
const STANDARD_NORMAL_P99: f64 = 2.326_347_874;

/// Distribution of service times: log-normal with this median and 99th percentile.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceTime {
    /// Median, microseconds; zero means that requests take no time.
    pub median_us: u64,
    /// 99th percentile, microseconds; a value up to the median means a constant service time.
    pub p99_us: u64,
}

impl ServiceTime {
    /// Samples a service time.
    #[allow(clippy::cast_precision_loss)]
    pub fn sample(self, rng: &mut StdRng) -> Duration {
        if self.median_us == 0 {
            return Duration::ZERO;
        }
        let median = self.median_us as f64;
        let sigma = (self.p99_us.max(self.median_us) as f64 / median).ln() / STANDARD_NORMAL_P99;
        // Box-Muller transform (Box and Muller, 1958).
        let u: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        let v: f64 = rng.random_range(0.0..std::f64::consts::TAU);
        let normal = (-2.0 * u.ln()).sqrt() * v.cos();
        Duration::from_secs_f64(median * (sigma * normal).exp() / 1e6)
    }
}

/// A fault that is active while all of its conditions hold.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Prefix of the paths that it affects.
    pub path_prefix: String,
    /// Share of the requests that get status 500, 0 to 1.
    pub error_rate: f64,
    /// Factor on the service time.
    pub slowdown: f64,
    /// Delay added to the service time, microseconds.
    pub extra_us: u64,
    /// Requests are accepted but get no response.
    pub hang: bool,
    /// Requests make the backend server crash.
    pub crash: bool,
    /// Number of requests after which the fault starts.
    pub after_calls: u64,
    /// Time after the start of the backend server at which the fault starts, milliseconds.
    pub after_ms: u64,
    /// The fault is active only while more than this many requests run; zero for always.
    pub above_running: u32,
}

impl Default for Fault {
    fn default() -> Self {
        Self {
            path_prefix: "/".into(),
            error_rate: 0.0,
            slowdown: 1.0,
            extra_us: 0,
            hang: false,
            crash: false,
            after_calls: 0,
            after_ms: 0,
            above_running: 0,
        }
    }
}

/// A call that the backend server makes through a node for each request that it runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Downstream {
    /// Prefix of the request paths for which the call is made.
    pub path_prefix: String,
    /// Request port of the node that receives the call.
    pub node_addr: SocketAddr,
    /// `Host` header of the call.
    pub host: String,
    /// Path of the call.
    pub path: String,
}

/// Options of a backend server.
#[derive(Clone, Debug)]
pub struct BackendOptions {
    /// Id, part of each response.
    pub id: String,
    /// Service that it announces.
    pub service: String,
    /// Version that it announces.
    pub version: String,
    /// Listen address; with port 0 the system chooses the port.
    pub listen: SocketAddr,
    /// Request port of the node to announce to.
    pub node_addr: Option<SocketAddr>,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Connections that it serves at the same time; a request on a further connection gets status
    /// 503 and the connection is closed.
    pub max_connections: usize,
    /// Distribution of the service times.
    pub service_time: ServiceTime,
    /// Time after the start during which requests are slow.
    pub cold_start: Duration,
    /// Factor on the service time during the cold start.
    pub cold_factor: f64,
    /// Seed of the service times and errors.
    pub seed: u64,
    /// Size of a response body, bytes; the body is larger if its fields need more.
    pub response_body_bytes: usize,
    /// Faults.
    pub faults: Vec<Fault>,
    /// Downstream calls.
    pub downstream: Vec<Downstream>,
}

impl BackendOptions {
    /// Options of a backend server without service time and faults on a free loopback port.
    #[must_use]
    pub fn new(id: &str, service: &str, version: &str) -> Self {
        Self {
            id: id.into(),
            service: service.into(),
            version: version.into(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            node_addr: None,
            slots: 10,
            max_connections: 100,
            service_time: ServiceTime::default(),
            cold_start: Duration::ZERO,
            cold_factor: 1.0,
            seed: 1,
            response_body_bytes: 512,
            faults: Vec::new(),
            downstream: Vec::new(),
        }
    }
}

/// Change of the settings of a running backend server, the body of `POST /control`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BackendControlChange {
    /// Replaces all faults. Their conditions refer to the start of the backend server.
    pub faults: Option<Vec<Fault>>,
    /// Replaces the service times.
    pub service_time: Option<ServiceTime>,
    /// Replaces the downstream calls.
    pub downstream: Option<Vec<Downstream>>,
    /// Makes the currently open connections unresponsive for good; new connections work.
    #[serde(default)]
    pub freeze_connections: bool,
    /// Starts or stops the announcements, without a withdrawal.
    pub announce: Option<bool>,
}

/// Counters of a backend server.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackendCounters {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that got a slot and ran.
    pub ran: u64,
    /// Requests that ran to completion.
    pub finished: u64,
    /// Requests that got status 500 because of a fault.
    pub errors: u64,
    /// Requests that were refused because all slots and the queue were full.
    pub shed: u64,
    /// Requests whose connection closed before they were finished.
    pub cancelled: u64,
    /// Downstream calls that failed.
    pub downstream_failed: u64,
    /// Largest number of requests that ran at the same time.
    pub most_running: u32,
    /// Largest number of connections that were open at the same time.
    pub most_connections: usize,
    /// Connections above [`BackendOptions::max_connections`].
    pub refused_connections: u64,
    /// Announcements that the node accepted.
    pub announced: u64,
    /// Announcements that failed.
    pub announce_failed: u64,
}

/// Response body of `GET /control`.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BackendReport {
    /// Id of the backend server.
    pub id: String,
    /// Counters since the start.
    pub counters: BackendCounters,
    /// Number of idempotency keys of requests that ran.
    pub keys: u64,
    /// Idempotency keys of requests that ran more than once, with the number of runs.
    pub repeated_keys: Vec<(String, u32)>,
    /// Current faults.
    pub faults: Vec<Fault>,
}

/// Body of a response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ResponseBody {
    /// Service of the backend server.
    pub service: String,
    /// Version of the backend server.
    pub version: String,
    /// Id of the backend server.
    pub id: String,
    /// Path of the request.
    pub path: String,
    /// Value of [`NUMBER_HEADER`].
    pub number: Option<String>,
    /// Status of the downstream call, if one was made.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub downstream: Option<u16>,
    /// Padding up to [`BackendOptions::response_body_bytes`].
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub pad: String,
}

#[derive(Debug)]
struct State {
    faults: Vec<Fault>,
    service_time: ServiceTime,
    downstream: Vec<Downstream>,
    announce: bool,
    rng: StdRng,
    counters: BackendCounters,
    running: u32,
    waiting: u32,
    connections: usize,
    /// Idempotency keys with the number of runs, sorted by key.
    keys: Vec<(String, u32)>,
}

#[derive(Debug)]
struct Shared {
    options: BackendOptions,
    started: Instant,
    state: Mutex<State>,
    /// Connections of an earlier generation are unresponsive.
    generation: AtomicU64,
    slots: Semaphore,
    crash: Notify,
    drain: Notify,
    idle: Notify,
    crashed: AtomicU64,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, change: BackendControlChange) {
        if change.freeze_connections {
            self.generation.fetch_add(1, Ordering::SeqCst);
        }
        let mut state = self.lock();
        if let Some(faults) = change.faults {
            state.faults = faults;
        }
        if let Some(service_time) = change.service_time {
            state.service_time = service_time;
        }
        if let Some(downstream) = change.downstream {
            state.downstream = downstream;
        }
        if let Some(announce) = change.announce {
            state.announce = announce;
        }
    }

    fn report(&self) -> BackendReport {
        let state = self.lock();
        BackendReport {
            id: self.options.id.clone(),
            counters: state.counters,
            keys: u64::try_from(state.keys.len()).unwrap_or(u64::MAX),
            repeated_keys: state
                .keys
                .iter()
                .filter(|(_, runs)| *runs > 1)
                .cloned()
                .collect(),
            faults: state.faults.clone(),
        }
    }

    fn crash(&self) {
        self.crashed.store(1, Ordering::SeqCst);
        self.crash.notify_one();
    }
}

/// A backend server.
#[derive(Debug)]
pub struct BackendServer;

impl BackendServer {
    /// Starts a backend server on its own thread.
    ///
    /// # Errors
    /// Returns the error of the bind or of the start of the thread.
    pub fn start(options: BackendOptions) -> io::Result<BackendHandle> {
        let listen = options.listen;
        let name = format!("backend {}", options.id);
        let shared = Arc::new(Shared {
            started: Instant::now(),
            state: Mutex::new(State {
                faults: options.faults.clone(),
                service_time: options.service_time,
                downstream: options.downstream.clone(),
                announce: true,
                rng: StdRng::seed_from_u64(options.seed),
                counters: BackendCounters::default(),
                running: 0,
                waiting: 0,
                connections: 0,
                keys: Vec::new(),
            }),
            generation: AtomicU64::new(0),
            slots: Semaphore::new(usize::try_from(options.slots).unwrap_or(usize::MAX)),
            crash: Notify::new(),
            drain: Notify::new(),
            idle: Notify::new(),
            crashed: AtomicU64::new(0),
            options,
        });
        let server = {
            let shared = Arc::clone(&shared);
            ServerThread::start(&name, listen, move |listener| run(shared, listener))?
        };
        Ok(BackendHandle { shared, server })
    }
}

/// A running backend server; dropping the handle kills it.
#[derive(Debug)]
pub struct BackendHandle {
    shared: Arc<Shared>,
    server: ServerThread,
}

impl BackendHandle {
    /// Address that the backend server listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Changes settings of the running backend server.
    pub fn change(&self, change: BackendControlChange) {
        self.shared.change(change);
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: Vec<Fault>) {
        self.change(BackendControlChange {
            faults: Some(faults),
            ..BackendControlChange::default()
        });
    }

    /// Makes the currently open connections unresponsive for good; new connections work.
    pub fn freeze_connections(&self) {
        self.change(BackendControlChange {
            freeze_connections: true,
            ..BackendControlChange::default()
        });
    }

    /// Returns the counters, the repeated keys and the faults.
    #[must_use]
    pub fn report(&self) -> BackendReport {
        self.shared.report()
    }

    /// Whether the backend server still runs; a crash ends it.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.server.is_running()
    }

    /// Whether a request made the backend server crash.
    #[must_use]
    pub fn has_crashed(&self) -> bool {
        self.shared.crashed.load(Ordering::SeqCst) != 0
    }

    /// Stops the backend server gracefully: it withdraws from the node and finishes the running
    /// requests.
    pub fn stop(&mut self) {
        self.shared.drain.notify_one();
        self.server.join();
    }

    /// Ends the backend server at once; open connections are closed without a response.
    pub fn kill(&mut self) {
        self.server.kill();
    }

    /// Starts a graceful stop without waiting for its end.
    pub fn request_stop(&self) {
        self.shared.drain.notify_one();
    }
}

async fn run(shared: Arc<Shared>, listener: tokio::net::TcpListener) {
    let Ok(addr) = listener.local_addr() else {
        return;
    };
    let client = awc::Client::builder().timeout(ANNOUNCE_TIMEOUT).finish();
    let serving = {
        let connected = Arc::clone(&shared);
        let shared = Arc::clone(&shared);
        actix_rt::spawn(http::serve(
            listener,
            move |data| register_connection(&connected, data),
            move |req| {
                let shared = Arc::clone(&shared);
                async move { handle_request(&shared, req).await }
            },
        ))
    };
    let announcing = actix_rt::spawn(announce(Arc::clone(&shared), client.clone(), addr));
    let crash = std::pin::pin!(shared.crash.notified());
    let drain = std::pin::pin!(shared.drain.notified());
    let crashed = matches!(
        futures_util::future::select(crash, drain).await,
        futures_util::future::Either::Left(_)
    );
    announcing.abort();
    if !crashed {
        if let Some(node) = shared.options.node_addr {
            // A node that has ended needs no withdrawal.
            let _ = post_announcement(&shared, &client, node, addr, WITHDRAW_PATH).await;
        }
        let drained = async {
            actix_rt::time::sleep(WITHDRAW_GRACE_PERIOD).await;
            loop {
                let idle = shared.idle.notified();
                if shared.lock().running == 0 {
                    break;
                }
                idle.await;
            }
            // Lets the connections write the last responses.
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        };
        if actix_rt::time::timeout(MAX_DRAIN_TIME, drained)
            .await
            .is_err()
        {
            eprintln!(
                "backend server {} stopped while requests were still running",
                shared.options.id
            );
        }
    }
    serving.abort();
}

#[derive(Serialize)]
struct Announcement<'a> {
    service: &'a str,
    version: &'a str,
    addr: SocketAddr,
    slots: u32,
}

async fn post_announcement(
    shared: &Shared,
    client: &awc::Client,
    node: SocketAddr,
    addr: SocketAddr,
    path: &str,
) -> bool {
    let body = Announcement {
        service: &shared.options.service,
        version: &shared.options.version,
        addr,
        slots: shared.options.slots,
    };
    let Ok(body) = serde_json::to_vec(&body) else {
        return false;
    };
    client
        .post(format!("http://{node}{path}"))
        .content_type("application/json")
        .send_body(body)
        .await
        .is_ok_and(|res| res.status().is_success())
}

async fn announce(shared: Arc<Shared>, client: awc::Client, addr: SocketAddr) {
    let Some(node) = shared.options.node_addr else {
        return;
    };
    let mut interval = actix_rt::time::interval(ANNOUNCE_INTERVAL);
    loop {
        interval.tick().await;
        if !shared.lock().announce {
            continue;
        }
        let accepted = post_announcement(&shared, &client, node, addr, ANNOUNCE_PATH).await;
        let counters = &mut shared.lock().counters;
        if accepted {
            counters.announced += 1;
        } else {
            counters.announce_failed += 1;
        }
    }
}

/// Data of a connection; dropping it counts the connection as closed.
struct Connection {
    shared: Arc<Shared>,
    generation: u64,
    refused: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.shared.lock().connections -= 1;
    }
}

fn register_connection(shared: &Arc<Shared>, data: &mut Extensions) {
    let mut state = shared.lock();
    state.connections += 1;
    let open = state.connections;
    let refused = open > shared.options.max_connections;
    state.counters.most_connections = state.counters.most_connections.max(open);
    if refused {
        state.counters.refused_connections += 1;
    }
    data.insert(Connection {
        shared: Arc::clone(shared),
        generation: shared.generation.load(Ordering::SeqCst),
        refused,
    });
}

/// A running request; it counts as cancelled if it is dropped before it has finished.
struct Running<'a> {
    shared: &'a Shared,
    finished: bool,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.running -= 1;
        if self.finished {
            state.counters.finished += 1;
        } else {
            state.counters.cancelled += 1;
        }
        drop(state);
        self.shared.idle.notify_one();
    }
}

/// A request that waits for a slot; dropping it ends the wait.
struct Waiting<'a>(&'a Shared);

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}

async fn handle_request(shared: &Shared, mut req: Request) -> Response<BoxBody> {
    let body = match http::read_body(&mut req, MAX_BODY_BYTES).await {
        Ok(body) => body,
        Err(e) => return http::text(StatusCode::BAD_REQUEST, e.to_string()),
    };
    if req.path() == "/control" {
        return control(shared, &req, &body);
    }
    let (refused, frozen) = req.conn_data::<Connection>().map_or((false, false), |c| {
        let now = shared.generation.load(Ordering::SeqCst);
        (c.refused, c.generation != now)
    });
    if refused {
        let mut res = http::text(StatusCode::SERVICE_UNAVAILABLE, "too many connections");
        res.head_mut()
            .set_connection_type(actix_http::ConnectionType::Close);
        return res;
    }
    shared.lock().counters.arrived += 1;
    if frozen {
        std::future::pending::<()>().await;
    }
    let waiting = {
        let mut state = shared.lock();
        state.waiting += 1;
        Waiting(shared)
    };
    let queue = shared.options.slots.saturating_mul(MAX_QUEUED_PER_SLOT);
    let permit = match shared.slots.try_acquire() {
        Ok(permit) => permit,
        Err(_) if shared.lock().waiting > queue => {
            shared.lock().counters.shed += 1;
            return http::text(StatusCode::SERVICE_UNAVAILABLE, "no slot is free");
        }
        Err(_) => match shared.slots.acquire().await {
            Ok(permit) => permit,
            Err(e) => return http::text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
        },
    };
    drop(waiting);
    let res = run_request(shared, &req, &body).await;
    drop(permit);
    res
}

fn control(shared: &Shared, req: &Request, body: &Bytes) -> Response<BoxBody> {
    if *req.method() == Method::POST {
        match serde_json::from_slice(body) {
            Ok(change) => shared.change(change),
            Err(e) => return http::text(StatusCode::BAD_REQUEST, e.to_string()),
        }
    }
    http::json(StatusCode::OK, &shared.report())
}

/// Effects of the active faults on one request.
#[derive(Debug)]
struct Effects {
    service_time: Duration,
    error: bool,
    hang: bool,
    crash: bool,
    downstream: Option<Downstream>,
}

fn effects_of_faults(shared: &Shared, state: &mut State, path: &str) -> Effects {
    let age = shared.started.elapsed();
    let mut service_time = state.service_time.sample(&mut state.rng);
    if age < shared.options.cold_start {
        service_time = service_time.mul_f64(shared.options.cold_factor.max(0.0));
    }
    let mut effects = Effects {
        service_time,
        error: false,
        hang: false,
        crash: false,
        downstream: state
            .downstream
            .iter()
            .find(|d| path.starts_with(&d.path_prefix))
            .cloned(),
    };
    for fault in &state.faults {
        let is_active = path.starts_with(&fault.path_prefix)
            && state.counters.ran > fault.after_calls
            && age >= Duration::from_millis(fault.after_ms)
            && (fault.above_running == 0 || state.running > fault.above_running);
        if is_active {
            effects.service_time = effects.service_time.mul_f64(fault.slowdown.max(0.0))
                + Duration::from_micros(fault.extra_us);
            effects.error |= state.rng.random_bool(fault.error_rate.clamp(0.0, 1.0));
            effects.hang |= fault.hang;
            effects.crash |= fault.crash;
        }
    }
    effects
}

async fn run_request(shared: &Shared, req: &Request, body: &Bytes) -> Response<BoxBody> {
    let started = Instant::now();
    let headers = req.headers();
    let (effects, mut running) = {
        let mut state = shared.lock();
        state.running += 1;
        state.counters.ran += 1;
        state.counters.most_running = state.counters.most_running.max(state.running);
        if let Some(key) = http::header_text(headers, KEY_HEADER) {
            match state.keys.binary_search_by(|(k, _)| k.as_str().cmp(key)) {
                Ok(at) => state.keys[at].1 += 1,
                Err(at) => state.keys.insert(at, (key.into(), 1)),
            }
        }
        let effects = effects_of_faults(shared, &mut state, req.path());
        let running = Running {
            shared,
            finished: false,
        };
        (effects, running)
    };
    if effects.crash
        || headers.contains_key(CRASH_HEADER)
        || body.windows(CRASH_TEXT.len()).any(|w| w == CRASH_TEXT)
    {
        shared.crash();
        std::future::pending::<()>().await;
    }
    if effects.hang {
        std::future::pending::<()>().await;
    }
    if !effects.service_time.is_zero() {
        actix_rt::time::sleep(effects.service_time).await;
    }
    let downstream = match &effects.downstream {
        Some(target) => Some(call_downstream(target, headers, started).await),
        None => None,
    };
    running.finished = true;
    let failed = downstream.is_some_and(|status| status >= 500);
    let status = {
        let mut state = shared.lock();
        if effects.error {
            state.counters.errors += 1;
            StatusCode::INTERNAL_SERVER_ERROR
        } else if failed {
            state.counters.downstream_failed += 1;
            StatusCode::BAD_GATEWAY
        } else {
            StatusCode::OK
        }
    };
    let number = http::header_text(headers, NUMBER_HEADER).map(str::to_owned);
    let content = ResponseBody {
        service: shared.options.service.clone(),
        version: shared.options.version.clone(),
        id: shared.options.id.clone(),
        path: req.path().to_owned(),
        number,
        downstream,
        pad: String::new(),
    };
    let mut res = http::json(status, &padded(content, shared.options.response_body_bytes));
    if let Some(value) = headers.get(NUMBER_HEADER) {
        res.headers_mut().insert(
            actix_http::header::HeaderName::from_static(NUMBER_HEADER),
            value.clone(),
        );
    }
    res
}

/// Pads the body to `size` bytes of JSON.
fn padded(mut body: ResponseBody, size: usize) -> ResponseBody {
    let unpadded_bytes = serde_json::to_vec(&body).map_or(usize::MAX, |v| v.len());
    let padding_bytes = size.saturating_sub(unpadded_bytes.saturating_add(r#","pad":"""#.len()));
    body.pad = "x".repeat(padding_bytes);
    body
}

/// Makes a downstream call with the remaining time and the remaining retries from the request
/// headers. Returns the status of the response, or 504 if there was none.
fn call_downstream<'a>(
    target: &'a Downstream,
    headers: &'a HeaderMap,
    started: Instant,
) -> impl Future<Output = u16> + 'a {
    thread_local! {
        static CLIENT: awc::Client = awc::Client::builder().disable_timeout().finish();
    }
    async move {
        let spent = started.elapsed();
        let given = http::header_text(headers, DEADLINE_HEADER).and_then(|v| v.parse().ok());
        let remaining = given.map_or(DOWNSTREAM_TIMEOUT, |ms| {
            Duration::from_millis(ms).saturating_sub(spent)
        });
        let url = format!("http://{}{}", target.node_addr, target.path);
        let mut call = CLIENT
            .with(|client| client.get(url))
            .insert_header(("host", target.host.as_str()))
            .timeout(remaining);
        if given.is_some() {
            call = call.insert_header((DEADLINE_HEADER, millis(remaining).to_string()));
        }
        for name in [CALL_HEADER, ATTEMPTS_HEADER] {
            if let Some(value) = headers.get(name) {
                call = call.insert_header((name, value.clone()));
            }
        }
        match call.send().await {
            Ok(mut res) => match res.body().await {
                Ok(_) => res.status().as_u16(),
                Err(_) => StatusCode::GATEWAY_TIMEOUT.as_u16(),
            },
            Err(_) => StatusCode::GATEWAY_TIMEOUT.as_u16(),
        }
    }
}
