//! Stand-in for a backend server of the platform.
//!
//! It sends heartbeats to the sidecar beside it, adds a seal header to its responses, and prints a
//! line for each request that it runs, so that the runs can be counted even after it was killed.

use std::fmt::Display;
use std::future;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use bytes::Bytes;
use futures_util::future::select;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rustix::time::ClockId;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::Semaphore;

use crate::http;
use crate::http::ServerThread;

/// Header with the id of a caller's attempt.
pub const ATTEMPT_HEADER: &str = "x-sycamorewick-attempt-id";
/// Header that proves which backend server wrote a response and for which attempt, see [`seal`].
pub const SEAL_HEADER: &str = "x-sycamorewick-response-seal";
/// Header with the requests a second that the backend server accepts from all nodes together.
const LIMIT_HEADER: &str = "server-limit";
/// Header of the responses of a backend server that leaves.
const LEAVING_HEADER: &str = "server-leaving";
/// Header of a response to a request that the backend server has not run.
const NOT_EXECUTED_HEADER: &str = "x-sycamorewick-not-executed";
/// Header with the id of the backend server that a request is meant for.
const EXPECTED_HEADER: &str = "x-sycamorewick-expect-instance";
/// Header with the running and waiting requests, the slots, and the time that work takes, in percent.
const LOAD_HEADER: &str = "x-sycamorewick-upstream-load";
/// Header of a health response with the time for which the backend server stays cold, milliseconds.
const COLD_HEADER: &str = "x-sycamorewick-cold-ms";
/// Header of a health response with the id of the backend server.
/// Header with the name of the workspace of a request.
pub const WORKSPACE_HEADER: &str = "x-sycamorewick-tenant";
/// Header with the key of a workspace, which a backend server must not get.
pub const CREDENTIAL_HEADER: &str = "x-sycamorewick-credential";
const INSTANCE_HEADER: &str = "x-sycamorewick-instance";
/// Path at which the backend server reports its health.
pub const HEALTH_PATH: &str = "/healthz";
/// Run time of a cold backend server, relative to that of a warm one.
const COLD_SLOWDOWN: u32 = 2;
/// Interval between heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a backend server still serves after its draining was acknowledged.
const DRAIN_TIME: Duration = Duration::from_millis(800);
/// Longest time that a graceful stop takes, also without an acknowledgement.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(4);
/// Largest request body, bytes: the limit of most deployments.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Longest wait for a slot, as a multiple of the longest service time; a request that would wait
/// longer is refused.
const MAX_WAIT_SERVICE_TIMES: u32 = 2;

/// Options of a backend server.
#[derive(Clone, Debug)]
pub struct PlatformBackendOptions {
    /// Id; each start of a backend server has its own.
    pub id: String,
    /// Unix time of its start, milliseconds.
    pub born: u64,
    /// Service that it announces.
    pub service: String,
    /// Version that it announces.
    pub version: String,
    /// Listen address.
    pub listen: SocketAddr,
    /// Address of the sidecar that heartbeats are sent to.
    pub heartbeat_addr: SocketAddr,
    /// Requests that it runs at the same time.
    pub slots: usize,
    /// Longest service time, milliseconds. Service times are uniformly distributed from a tenth of
    /// it.
    pub service_ms: u64,
    /// Share of the requests that are answered with 500, 0 to 1.
    pub error_rate: f64,
    /// Size of the padding of a response, bytes.
    pub pad_bytes: usize,
    /// Seed of the service times and errors.
    pub seed: u64,
    /// Time after its start for which it is cold, milliseconds.
    pub cold_ms: u64,
    /// Text that no request may contain. A line is printed for each request that does.
    pub secret_text: Option<String>,
}

/// What a backend server announces in each response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct BackendAnnouncement {
    /// Requests a second that it accepts from all nodes together.
    pub limit_per_s: Option<f64>,
    /// Whether it leaves. Its heartbeats do not report this.
    pub is_leaving: bool,
}

/// Body of a response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformResponseBody {
    /// Id of the backend server.
    pub instance: String,
    /// Version of the backend server.
    pub version: String,
    /// Id of the attempt that was run.
    pub attempt: String,
    /// Path and query of the request.
    pub target: String,
    /// Size of the request body, bytes.
    pub length: usize,
    /// Padding.
    pub pad: String,
}

/// Value of the seal header of a response.
#[must_use]
pub fn seal(instance: &str, attempt: &str) -> String {
    format!("{instance}.{attempt}")
}

/// Reading of the monotonic clock, milliseconds. All processes of a machine share this clock.
#[must_use]
pub fn monotonic_millis() -> u64 {
    let now = rustix::time::clock_gettime(ClockId::Monotonic);
    let millis = now.tv_sec * 1_000 + now.tv_nsec / 1_000_000;
    u64::try_from(millis).unwrap_or(0)
}

#[derive(Debug)]
struct Shared {
    options: PlatformBackendOptions,
    slots: Semaphore,
    rng: Mutex<StdRng>,
    /// Ids of the attempts that were run, in order.
    runs: Mutex<Vec<String>>,
    announcement: Mutex<BackendAnnouncement>,
    /// Whether there is a health path.
    reports_health: AtomicBool,
    is_draining: AtomicBool,
    health_checks: AtomicU64,
    /// Path of the requests that end the backend server as soon as it runs one.
    crash_path: Mutex<Option<String>>,
    /// Headers of the requests that were run, by their attempts, once they are recorded.
    headers: Mutex<Option<Vec<RecordedHeaders>>>,
    crashed: Notify,
    stop: Notify,
    /// Time until which it is cold.
    cold_until: Mutex<Instant>,
    /// Times at which requests arrived while it was cold.
    cold_arrivals: Mutex<Vec<Instant>>,
    /// Time that work takes, in percent of the usual time; `None` if responses have no load header.
    work_time_percent: Mutex<Option<u32>>,
    /// Whether no heartbeats are sent.
    is_silent: Mutex<bool>,
}

impl Shared {
    fn cold_left(&self) -> Duration {
        lock(&self.cold_until).saturating_duration_since(Instant::now())
    }

    /// Value of the load header. The numbers of requests are not counted.
    fn load_text(&self) -> Option<String> {
        let percent = *lock(&self.work_time_percent);
        let slots = self.options.slots;
        percent.map(|percent| format!("0,0,{slots},{percent}"))
    }
}

/// Id of an attempt with the names and values of all headers of its request.
pub type RecordedHeaders = (String, Vec<(String, String)>);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Prints a line for the program that checks the test run: event, monotonic milliseconds, detail.
fn print_event(event: &str, detail: &str) {
    let mut out = io::stdout().lock();
    // A failed write means that nobody reads the output.
    let _ = writeln!(out, "{event} {} {detail}", monotonic_millis());
    let _ = out.flush();
}

/// The backend server.
#[derive(Debug)]
pub struct PlatformBackend;

impl PlatformBackend {
    /// Starts a backend server on its own thread.
    ///
    /// # Errors
    /// Returns the error of the bind or of the start of the thread.
    pub fn start(options: PlatformBackendOptions) -> io::Result<PlatformBackendHandle> {
        let listen = options.listen;
        let shared = Arc::new(Shared {
            slots: Semaphore::new(options.slots),
            rng: Mutex::new(StdRng::seed_from_u64(options.seed)),
            runs: Mutex::default(),
            announcement: Mutex::default(),
            reports_health: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            health_checks: AtomicU64::new(0),
            crash_path: Mutex::default(),
            headers: Mutex::default(),
            crashed: Notify::new(),
            stop: Notify::new(),
            cold_until: Mutex::new(Instant::now() + Duration::from_millis(options.cold_ms)),
            cold_arrivals: Mutex::default(),
            work_time_percent: Mutex::default(),
            is_silent: Mutex::default(),
            options,
        });
        let server = {
            let shared = shared.clone();
            ServerThread::start("backend", listen, move |listener| run(shared, listener))?
        };
        Ok(PlatformBackendHandle { shared, server })
    }
}

/// A running backend server; dropping the handle kills it.
#[derive(Debug)]
pub struct PlatformBackendHandle {
    shared: Arc<Shared>,
    server: ServerThread,
}

impl PlatformBackendHandle {
    /// Ids of the attempts that were run, in order.
    #[must_use]
    pub fn runs(&self) -> Vec<String> {
        lock(&self.shared.runs).clone()
    }

    /// Changes what the backend server announces in the following responses.
    pub fn announce(&self, announcement: BackendAnnouncement) {
        *lock(&self.shared.announcement) = announcement;
    }

    /// Makes the backend server report its health at its health path. Otherwise a request of it is answered like one
    /// that is not an attempt of a caller.
    pub fn report_health(&self) {
        self.shared.reports_health.store(true, Ordering::SeqCst);
    }

    /// Number of health reports so far.
    #[must_use]
    pub fn health_checks(&self) -> u64 {
        self.shared.health_checks.load(Ordering::SeqCst)
    }

    /// Makes the backend server crash as soon as it runs a request with this path.
    pub fn crash_on(&self, path: &str) {
        *lock(&self.shared.crash_path) = Some(path.to_owned());
    }

    /// Makes the backend server cold for a time from now on, or warm if that is zero.
    pub fn set_cold(&self, time: Duration) {
        *lock(&self.shared.cold_until) = Instant::now() + time;
    }

    /// Times at which requests arrived while the backend server was cold, in order. Requests of the health path and
    /// requests that were meant for another incarnation are left out.
    #[must_use]
    pub fn cold_arrivals(&self) -> Vec<Instant> {
        lock(&self.shared.cold_arrivals).clone()
    }

    /// Changes the time that work takes according to the following responses, in percent of the usual time.
    pub fn set_work_time(&self, percent: Option<u32>) {
        *lock(&self.shared.work_time_percent) = percent;
    }

    /// Stops or resumes the heartbeats, while requests are served.
    pub fn set_silent(&self, is_silent: bool) {
        *lock(&self.shared.is_silent) = is_silent;
    }

    /// Records the headers of the requests that are run from now on.
    pub fn record_headers(&self) {
        lock(&self.shared.headers).get_or_insert_default();
    }

    /// Headers of the requests that were run since [`Self::record_headers`], in order.
    #[must_use]
    pub fn recorded_headers(&self) -> Vec<RecordedHeaders> {
        lock(&self.shared.headers).clone().unwrap_or_default()
    }

    /// Whether the backend server still runs.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.server.is_running()
    }

    /// Starts a graceful stop: the backend server reports that it drains, serves for a while, and
    /// ends.
    pub fn request_stop(&self) {
        self.shared.stop.notify_one();
    }

    /// Waits until the backend server has ended.
    pub fn join(&mut self) {
        self.server.join();
    }

    /// Ends the backend server at once; open connections are closed without a response.
    pub fn kill(&mut self) {
        self.server.kill();
    }
}

async fn run(shared: Arc<Shared>, listener: TcpListener) {
    print_event("start", &shared.options.id);
    let crashed = shared.crashed.notified();
    select(pin!(crashed), pin!(serve(shared.clone(), listener))).await;
}

async fn serve(shared: Arc<Shared>, listener: TcpListener) {
    let serving = {
        let shared = shared.clone();
        let handler = move |req| {
            let shared = shared.clone();
            async move { handle_request(&shared, req).await }
        };
        actix_rt::spawn(http::serve(listener, |_| {}, handler))
    };
    let client = awc::Client::builder().timeout(HEARTBEAT_TIMEOUT).finish();
    let mut sequence = 0;
    loop {
        let is_silent = *lock(&shared.is_silent);
        if !is_silent {
            heartbeat(&shared, &client, sequence, "ready").await;
            sequence += 1;
        }
        let stop = shared.stop.notified();
        if actix_rt::time::timeout(HEARTBEAT_INTERVAL, stop)
            .await
            .is_ok()
        {
            break;
        }
    }
    drain_and_deregister(&shared, &client, sequence).await;
    serving.abort();
}

async fn drain_and_deregister(shared: &Shared, client: &awc::Client, mut sequence: u64) {
    shared.is_draining.store(true, Ordering::SeqCst);
    let drain = async {
        while !heartbeat(shared, client, sequence, "draining").await {
            sequence += 1;
            actix_rt::time::sleep(HEARTBEAT_INTERVAL / 5).await;
        }
        print_event("left", &shared.options.id);
        actix_rt::time::sleep(DRAIN_TIME).await;
    };
    if actix_rt::time::timeout(MAX_DRAIN_TIME, drain)
        .await
        .is_err()
    {
        print_event("unacknowledged", &shared.options.id);
    }
    let path = format!("Instances.Deregister/{}", encoded_id(&shared.options));
    post(shared, client, &path, &json!({})).await;
}

async fn heartbeat(shared: &Shared, client: &awc::Client, sequence: u64, state: &str) -> bool {
    let options = &shared.options;
    let cold_left_ms = u64::try_from(shared.cold_left().as_millis()).unwrap_or(u64::MAX);
    let body = json!({
        "address": options.listen,
        "born": options.born,
        "info": {
            "service": options.service,
            "version": options.version,
            "zone": "any",
            "slots": options.slots,
        },
        "status": { "state": state, "seq": sequence, "cold-left-ms": cold_left_ms },
    });
    let path = format!("Instances.Heartbeat/{}", encoded_id(options));
    post(shared, client, &path, &body).await
}

/// Returns the id of a backend server as a segment of a path.
fn encoded_id(options: &PlatformBackendOptions) -> impl Display {
    utf8_percent_encode(&options.id, NON_ALPHANUMERIC)
}

async fn post(shared: &Shared, client: &awc::Client, path: &str, body: &serde_json::Value) -> bool {
    let addr = shared.options.heartbeat_addr;
    let url = format!("http://{addr}/sycamorewick/{path}");
    let sent = client.post(url).send_json(body).await;
    sent.is_ok_and(|response| response.status().is_success())
}

/// Reports health: 200 only while the backend server does not leave.
fn health_response(shared: &Shared) -> Response<BoxBody> {
    shared.health_checks.fetch_add(1, Ordering::SeqCst);
    let is_leaving =
        shared.is_draining.load(Ordering::SeqCst) || lock(&shared.announcement).is_leaving;
    let status = if is_leaving {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    };
    let mut response = Response::build(status);
    let cold_left_ms = shared.cold_left().as_millis().to_string();
    response.insert_header((COLD_HEADER, cold_left_ms));
    response.insert_header((INSTANCE_HEADER, shared.options.id.as_str()));
    if let Some(load) = shared.load_text() {
        response.insert_header((LOAD_HEADER, load));
    }
    response.finish().map_into_boxed_body()
}

/// Whether a request contains a text that it must not contain, or has the header for keys.
fn has_secret(req: &Request, body: &[u8], secret: &str) -> bool {
    let contains = |bytes: &[u8]| {
        let mut windows = bytes.windows(secret.len().max(1));
        windows.any(|window| window == secret.as_bytes())
    };
    let mut headers = req.headers().iter();
    contains(req.uri().to_string().as_bytes())
        || contains(body)
        || headers.any(|(name, value)| {
            name.as_str() == CREDENTIAL_HEADER
                || contains(name.as_str().as_bytes())
                || contains(value.as_bytes())
        })
}

fn not_run_response(status: StatusCode, attempt: &str) -> Response<BoxBody> {
    let mut response = Response::build(status);
    response.insert_header((ATTEMPT_HEADER, attempt));
    response.insert_header((NOT_EXECUTED_HEADER, "1"));
    response.finish().map_into_boxed_body()
}

async fn handle_request(shared: &Shared, mut req: Request) -> Response<BoxBody> {
    let options = &shared.options;
    let report_secret = |req: &Request, body: &[u8]| {
        let secret = options.secret_text.as_deref();
        if secret.is_some_and(|secret| has_secret(req, body, secret)) {
            print_event("leak", req.path());
        }
    };
    if req.path() == HEALTH_PATH && shared.reports_health.load(Ordering::SeqCst) {
        report_secret(&req, b"");
        return health_response(shared);
    }
    let Ok(body) = http::read_body(&mut req, MAX_BODY_BYTES).await else {
        report_secret(&req, b"");
        return http::text(
            StatusCode::BAD_REQUEST,
            "the request body is incomplete or too large",
        );
    };
    report_secret(&req, &body);
    let header = |name| http::header_text(req.headers(), name).map(ToOwned::to_owned);
    let Some(attempt) = header(ATTEMPT_HEADER) else {
        return not_run_response(StatusCode::BAD_REQUEST, "");
    };
    if header(EXPECTED_HEADER).is_some_and(|expected| expected != options.id) {
        return not_run_response(StatusCode::MISDIRECTED_REQUEST, &attempt);
    }
    let slowdown = if shared.cold_left().is_zero() {
        1
    } else {
        lock(&shared.cold_arrivals).push(Instant::now());
        COLD_SLOWDOWN
    };
    let (service_time, failed) = {
        let mut rng = lock(&shared.rng);
        let longest = options.service_ms.max(1);
        let service_millis = rng.random_range(longest.div_ceil(10)..=longest);
        let failed = rng.random_range(0.0..1.0) < options.error_rate;
        (Duration::from_millis(service_millis) * slowdown, failed)
    };
    let longest_wait = Duration::from_millis(options.service_ms) * MAX_WAIT_SERVICE_TIMES;
    let Ok(slot) = actix_rt::time::timeout(longest_wait, shared.slots.acquire()).await else {
        return not_run_response(StatusCode::SERVICE_UNAVAILABLE, &attempt);
    };
    lock(&shared.runs).push(attempt.clone());
    if let Some(recorded) = &mut *lock(&shared.headers) {
        let headers = req.headers().iter().map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes());
            (name.to_string(), value.into_owned())
        });
        recorded.push((attempt.clone(), headers.collect()));
    }
    match header(WORKSPACE_HEADER) {
        Some(workspace) => print_event("run", &format!("{attempt} {workspace}")),
        None => print_event("run", &attempt),
    }
    if lock(&shared.crash_path).as_deref() == Some(req.path()) {
        print_event("crash", &options.id);
        shared.crashed.notify_one();
        future::pending::<()>().await;
    }
    actix_rt::time::sleep(service_time).await;
    drop(slot);
    let status = if failed {
        StatusCode::INTERNAL_SERVER_ERROR
    } else {
        StatusCode::OK
    };
    let content = PlatformResponseBody {
        instance: options.id.clone(),
        version: options.version.clone(),
        target: req
            .uri()
            .path_and_query()
            .map_or_else(String::new, ToString::to_string),
        length: body.len(),
        pad: "p".repeat(options.pad_bytes),
        attempt: attempt.clone(),
    };
    let body = serde_json::to_vec(&content).unwrap_or_default();
    let mut response = Response::build(status);
    let announcement = *lock(&shared.announcement);
    if let Some(limit) = announcement.limit_per_s {
        response.insert_header((LIMIT_HEADER, limit.to_string()));
    }
    if announcement.is_leaving {
        response.insert_header((LEAVING_HEADER, "1"));
    }
    if let Some(load) = shared.load_text() {
        response.insert_header((LOAD_HEADER, load));
    }
    response.insert_header((SEAL_HEADER, seal(&options.id, &attempt)));
    response.insert_header((ATTEMPT_HEADER, attempt));
    response.body(Bytes::from(body)).map_into_boxed_body()
}
