//! Stand-in for a backend server of the platform. It announces itself to the node beside it, seals its
//! answers, and writes a line for each request that it runs, so that runs can be counted after it was
//! killed.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use bytes::Bytes;
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

/// Header with the identity of a client's attempt.
pub const ATTEMPT_HEADER: &str = "x-sycamorewick-attempt-id";
/// Header by which a backend server vouches for an answer.
pub const SEAL_HEADER: &str = "x-sycamorewick-response-seal";
/// Header by which a backend server says that it has not run a request.
const NOT_EXECUTED_HEADER: &str = "x-sycamorewick-not-executed";
/// Header with the incarnation that a request is meant for.
const EXPECTED_HEADER: &str = "x-sycamorewick-expect-instance";
/// Time between two heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time limit of a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a backend server serves after its leave was acknowledged.
const DRAIN_TIME: Duration = Duration::from_millis(800);
/// Time after which it ends without an acknowledgement.
const DRAIN_LIMIT: Duration = Duration::from_secs(4);
/// Largest request body, bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Longest wait for a slot, in longest service times; a request that waits longer is refused.
const QUEUE_RUNS: u32 = 2;

/// Options of a backend server.
#[derive(Clone, Debug)]
pub struct PlatformBackendOptions {
    /// Identity of the incarnation.
    pub id: String,
    /// Unix millisecond of its start.
    pub born: u64,
    /// Service.
    pub service: String,
    /// Version.
    pub version: String,
    /// Listen address.
    pub listen: SocketAddr,
    /// Address for heartbeats.
    pub heartbeat_addr: SocketAddr,
    /// Requests that it runs at the same time.
    pub slots: usize,
    /// Longest service time, milliseconds; times are spread from a tenth of it.
    pub service_ms: u64,
    /// Share of the requests that are answered with 500, 0 to 1.
    pub error_rate: f64,
    /// Size of an answer's filler, bytes.
    pub pad_bytes: usize,
    /// Seed of times and errors.
    pub seed: u64,
}

/// Body of an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformAnswer {
    /// Incarnation.
    pub instance: String,
    /// Version.
    pub version: String,
    /// Attempt that was run.
    pub attempt: String,
    /// Path and query of the request.
    pub target: String,
    /// Size of the request's body, bytes.
    pub length: usize,
    /// Filler.
    pub pad: String,
}

/// Seal of an answer.
#[must_use]
pub fn seal(instance: &str, attempt: &str) -> String {
    format!("{instance}.{attempt}")
}

/// Milliseconds of the system's steady clock, which all processes of the machine share.
#[must_use]
pub fn steady_millis() -> u64 {
    let now = rustix::time::clock_gettime(ClockId::Monotonic);
    let millis = now.tv_sec * 1_000 + now.tv_nsec / 1_000_000;
    u64::try_from(millis).unwrap_or(0)
}

#[derive(Debug)]
struct Shared {
    options: PlatformBackendOptions,
    slots: Semaphore,
    rng: Mutex<StdRng>,
    /// Attempts that were run, in their order.
    runs: Mutex<Vec<String>>,
    stop: Notify,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Writes a line for the judge: event, steady milliseconds, detail.
fn tell(event: &str, detail: &str) {
    let mut out = io::stdout().lock();
    // Without a reader nobody misses the line.
    let _ = writeln!(out, "{event} {} {detail}", steady_millis());
    let _ = out.flush();
}

/// The backend server.
#[derive(Debug)]
pub struct PlatformBackend;

impl PlatformBackend {
    /// Starts a backend server on a thread of its own.
    ///
    /// # Errors
    /// Returns the error of the bind or of the start of the thread.
    pub fn start(options: PlatformBackendOptions) -> io::Result<PlatformBackendHandle> {
        let listen = options.listen;
        let shared = Arc::new(Shared {
            slots: Semaphore::new(options.slots),
            rng: Mutex::new(StdRng::seed_from_u64(options.seed)),
            runs: Mutex::default(),
            stop: Notify::new(),
            options,
        });
        let server = {
            let shared = shared.clone();
            ServerThread::start("backend", listen, move |listener| run(shared, listener))?
        };
        Ok(PlatformBackendHandle { shared, server })
    }
}

/// A running backend server; dropping it ends it at once.
#[derive(Debug)]
pub struct PlatformBackendHandle {
    shared: Arc<Shared>,
    server: ServerThread,
}

impl PlatformBackendHandle {
    /// Attempts that were run, in their order.
    #[must_use]
    pub fn runs(&self) -> Vec<String> {
        lock(&self.shared.runs).clone()
    }

    /// Reports that it leaves, serves on for a while, and ends.
    pub fn request_stop(&self) {
        self.shared.stop.notify_one();
    }

    /// Waits for its end.
    pub fn join(&mut self) {
        self.server.join();
    }

    /// Ends it at once; open connections are closed without an answer.
    pub fn kill(&mut self) {
        self.server.kill();
    }
}

async fn run(shared: Arc<Shared>, listener: TcpListener) {
    tell("start", &shared.options.id);
    let serving = {
        let shared = shared.clone();
        let handler = move |req| {
            let shared = shared.clone();
            async move { answer(&shared, req).await }
        };
        actix_rt::spawn(http::serve(listener, |_| {}, handler))
    };
    let client = awc::Client::builder().timeout(HEARTBEAT_TIMEOUT).finish();
    let mut sequence = 0;
    loop {
        heartbeat(&shared, &client, sequence, "ready").await;
        sequence += 1;
        let stop = shared.stop.notified();
        if actix_rt::time::timeout(HEARTBEAT_INTERVAL, stop)
            .await
            .is_ok()
        {
            break;
        }
    }
    leave(&shared, &client, sequence).await;
    serving.abort();
}

async fn leave(shared: &Shared, client: &awc::Client, mut sequence: u64) {
    let leave = async {
        while !heartbeat(shared, client, sequence, "draining").await {
            sequence += 1;
            actix_rt::time::sleep(HEARTBEAT_INTERVAL / 5).await;
        }
        tell("left", &shared.options.id);
        actix_rt::time::sleep(DRAIN_TIME).await;
    };
    if actix_rt::time::timeout(DRAIN_LIMIT, leave).await.is_err() {
        tell("unacknowledged", &shared.options.id);
    }
    let path = format!("Instances.Deregister/{}", shared.options.id);
    post(shared, client, &path, &json!({})).await;
}

async fn heartbeat(shared: &Shared, client: &awc::Client, sequence: u64, state: &str) -> bool {
    let options = &shared.options;
    let body = json!({
        "address": options.listen,
        "born": options.born,
        "info": {
            "service": options.service,
            "version": options.version,
            "zone": "any",
            "slots": options.slots,
        },
        "status": { "state": state, "seq": sequence, "cold-left-ms": 0 },
    });
    let path = format!("Instances.Heartbeat/{}", options.id);
    post(shared, client, &path, &body).await
}

async fn post(shared: &Shared, client: &awc::Client, path: &str, body: &serde_json::Value) -> bool {
    let addr = shared.options.heartbeat_addr;
    let url = format!("http://{addr}/sycamorewick/{path}");
    let sent = client.post(url).send_json(body).await;
    sent.is_ok_and(|response| response.status().is_success())
}

fn not_run(status: StatusCode, attempt: &str) -> Response<BoxBody> {
    let mut response = Response::build(status);
    response.insert_header((ATTEMPT_HEADER, attempt));
    response.insert_header((NOT_EXECUTED_HEADER, "1"));
    response.finish().map_into_boxed_body()
}

async fn answer(shared: &Shared, mut req: Request) -> Response<BoxBody> {
    let options = &shared.options;
    let Ok(body) = http::read_body(&mut req, MAX_BODY_BYTES).await else {
        return http::text(StatusCode::BAD_REQUEST, "the body is cut");
    };
    let header = |name| http::header_text(req.headers(), name).map(ToOwned::to_owned);
    let Some(attempt) = header(ATTEMPT_HEADER) else {
        return not_run(StatusCode::BAD_REQUEST, "");
    };
    if header(EXPECTED_HEADER).is_some_and(|expected| expected != options.id) {
        return not_run(StatusCode::MISDIRECTED_REQUEST, &attempt);
    }
    let (took, failed) = {
        let mut rng = lock(&shared.rng);
        let longest = options.service_ms.max(1);
        let took = rng.random_range(longest.div_ceil(10)..=longest);
        let failed = rng.random_range(0.0..1.0) < options.error_rate;
        (Duration::from_millis(took), failed)
    };
    let longest_wait = Duration::from_millis(options.service_ms) * QUEUE_RUNS;
    let Ok(slot) = actix_rt::time::timeout(longest_wait, shared.slots.acquire()).await else {
        return not_run(StatusCode::SERVICE_UNAVAILABLE, &attempt);
    };
    lock(&shared.runs).push(attempt.clone());
    tell("run", &attempt);
    actix_rt::time::sleep(took).await;
    drop(slot);
    let status = if failed {
        StatusCode::INTERNAL_SERVER_ERROR
    } else {
        StatusCode::OK
    };
    let answer = PlatformAnswer {
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
    let body = serde_json::to_vec(&answer).unwrap_or_default();
    let mut response = Response::build(status);
    response.insert_header((SEAL_HEADER, seal(&options.id, &attempt)));
    response.insert_header((ATTEMPT_HEADER, attempt));
    response.body(Bytes::from(body)).map_into_boxed_body()
}
