//! Open-loop load generator: sends calls at a fixed rate, independently of the responses, and
//! checks each response.
//!
//! Latency counts from the intended send time. This avoids coordinated omission: a slow response
//! must not hide the calls that should have been sent meanwhile (Tene, "How NOT to Measure
//! Latency").

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use actix_http::Method;
use awc::Client;
use awc::Connector;
use awc::error::SendRequestError;
use bytes::Bytes;
use hdrhistogram::Histogram;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;
use sycamorewick::protocol::call::CODE_HEADER;
use sycamorewick::protocol::call::KEY_HEADER;
use sycamorewick::protocol::call::MAX_BODY_BYTES;
use sycamorewick::protocol::call::RUN_HEADER;
use tokio::sync::Notify;
use uuid::Uuid;

use crate::backend_server::NUMBER_HEADER;
use crate::backend_server::ResponseBody;
use crate::http;

/// Time before a send that is spent polling, because the timer of `tokio` has a resolution of 1 ms.
const POLL_TIME_BEFORE_SEND: Duration = Duration::from_micros(1_500);
/// Calls in flight at the same time; a call above the limit is counted as not sent.
const MAX_IN_FLIGHT: usize = 5_000;
/// Recent calls with a key from which a repeated call is chosen.
const MAX_RECENT_CALLS: usize = 64;
/// Largest latency that is recorded, microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Significant decimal digits of the latency histogram.
const LATENCY_DIGITS: u8 = 3;

/// Idempotency keys of the calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Keys {
    /// No call has a key.
    #[default]
    None,
    /// Each call has a new `UUIDv7`, except for a share of the calls, which repeat a recent call
    /// with its number and key.
    Fresh {
        /// Share of the calls that repeat a recent call, 0 to 1.
        repeated: f64,
    },
}

/// Options of a run.
#[derive(Clone, Debug)]
pub struct CallerOptions {
    /// Addresses that are called in rotation.
    pub targets: Vec<SocketAddr>,
    /// Calls per second over all targets.
    pub rate: f64,
    /// Time during which calls are sent.
    pub duration: Duration,
    /// Method.
    pub method: Method,
    /// Path; `{n}` is replaced by the number of the call, which makes each call a different
    /// request.
    pub path: String,
    /// `Host` header; the target's address if absent.
    pub host: Option<String>,
    /// Body.
    pub body: Bytes,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    /// Idempotency keys.
    pub keys: Keys,
    /// Timeout of a call.
    pub timeout: Duration,
    /// Seed for the choice of repeated calls.
    pub seed: u64,
    /// Whether the report contains a sample for each call.
    pub keep_samples: bool,
}

impl CallerOptions {
    /// Options of a run of `GET /` at `rate` calls per second for `duration`.
    #[must_use]
    pub fn new(targets: Vec<SocketAddr>, rate: f64, duration: Duration) -> Self {
        Self {
            targets,
            rate,
            duration,
            method: Method::GET,
            path: "/".into(),
            host: None,
            body: Bytes::new(),
            headers: Vec::new(),
            keys: Keys::None,
            timeout: Duration::from_secs(5),
            seed: 1,
            keep_samples: false,
        }
    }
}

/// Number of calls with one value of a property, for example with one status.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Count {
    /// Value of the property.
    pub value: String,
    /// Number of calls.
    pub calls: u64,
}

fn count(counts: &mut Vec<Count>, value: &str) {
    match counts.binary_search_by(|c| c.value.as_str().cmp(value)) {
        Ok(at) => counts[at].calls += 1,
        Err(at) => counts.insert(
            at,
            Count {
                value: value.into(),
                calls: 1,
            },
        ),
    }
}

/// Adds the counts of another run to `counts`.
pub fn merge_counts(counts: &mut Vec<Count>, other: &[Count]) {
    for add in other {
        match counts.binary_search_by(|c| c.value.cmp(&add.value)) {
            Ok(at) => counts[at].calls += add.calls,
            Err(at) => counts.insert(at, add.clone()),
        }
    }
}

/// Result of one call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Sample {
    /// Intended send time, microseconds since the start of the run.
    pub sent_us: u64,
    /// Time from the intended send time to the complete response or the failure, microseconds.
    pub latency_us: u64,
    /// Status; zero if there was no complete response.
    pub status: u16,
    /// Version of the backend server that responded; empty if none did.
    pub version: String,
    /// Id of the backend server that responded; empty if none did.
    pub backend: String,
    /// Value of the `sw-run` header; empty if absent.
    pub run: String,
    /// Value of the `sw-code` header; empty if absent.
    pub code: String,
}

/// Result of a run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CallerReport {
    /// Calls that were sent.
    pub sent: u64,
    /// Calls that were not sent because too many were in flight.
    pub not_sent: u64,
    /// Calls with a complete response.
    pub answered: u64,
    /// Responses by status.
    pub by_status: Vec<Count>,
    /// Responses by the value of the `sw-code` header, if present.
    pub by_code: Vec<Count>,
    /// Responses by the value of the `sw-run` header, if present.
    pub by_run: Vec<Count>,
    /// Responses of backend servers by version.
    pub by_version: Vec<Count>,
    /// Calls without a complete response by kind of failure.
    pub by_failure: Vec<Count>,
    /// Responses that belong to another call.
    pub mismatched: u64,
    /// Responses with status 200 whose body is malformed.
    pub malformed: u64,
    /// Calls that repeated an earlier one.
    pub repeated: u64,
    /// Median latency of responses, microseconds.
    pub p50_us: u64,
    /// 99th percentile of the latency of responses, microseconds.
    pub p99_us: u64,
    /// 99.9th percentile of the latency of responses, microseconds.
    pub p999_us: u64,
    /// Largest latency of a response, microseconds.
    pub max_us: u64,
    /// 99th percentile of the delay from the intended to the actual send time, microseconds. A
    /// large value means that the caller itself was too slow, so that the latencies are too high.
    pub late_p99_us: u64,
    /// Responses with status 200 per second of the run.
    pub rate: f64,
    /// Result of each call, if [`CallerOptions::keep_samples`] is set.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub samples: Vec<Sample>,
}

impl CallerReport {
    /// Number of responses with this status.
    #[must_use]
    pub fn with_status(&self, status: u16) -> u64 {
        let value = status.to_string();
        self.by_status
            .iter()
            .find(|c| c.value == value)
            .map_or(0, |c| c.calls)
    }
}

/// A run on its own thread.
#[derive(Debug)]
pub struct CallerThread(JoinHandle<CallerReport>);

impl CallerThread {
    /// Starts a run.
    ///
    /// # Errors
    /// Returns the error of the start of the thread.
    pub fn start(options: CallerOptions) -> io::Result<Self> {
        std::thread::Builder::new()
            .name("caller".into())
            .spawn(move || actix_rt::System::new().block_on(run(options)))
            .map(Self)
    }

    /// Waits for the end of the run.
    ///
    /// # Errors
    /// Returns an error if the thread panicked.
    pub fn join(self) -> eyre::Result<CallerReport> {
        self.0
            .join()
            .map_err(|_| eyre::eyre!("the caller thread panicked"))
    }
}

struct Run {
    options: CallerOptions,
    client: Client,
    start: Instant,
    report: RefCell<CallerReport>,
    latency: RefCell<Histogram<u64>>,
    late: RefCell<Histogram<u64>>,
    in_flight: RefCell<usize>,
    all_completed: Notify,
}

#[derive(Clone)]
struct Call {
    number: u64,
    key: Option<Uuid>,
}

impl Call {
    fn path(&self, pattern: &str) -> String {
        pattern.replace("{n}", &self.number.to_string())
    }
}

/// Sends calls for the duration of the run and waits for the last response. Must run within an
/// `actix` system.
///
/// # Panics
/// Panics if the histogram's constants are out of its range.
pub async fn run(options: CallerOptions) -> CallerReport {
    run_while(options, || true).await
}

/// Like [`run`], but stops sending as soon as `keep_running` returns false.
///
/// # Panics
/// Panics if the histogram's constants are out of its range.
pub async fn run_while(options: CallerOptions, keep_running: impl Fn() -> bool) -> CallerReport {
    let histogram =
        || Histogram::new_with_max(MAX_LATENCY_US, LATENCY_DIGITS).expect("constants are in range");
    let client = Client::builder()
        .connector(Connector::new().limit(0).timeout(options.timeout))
        .timeout(options.timeout)
        .no_default_headers()
        .finish();
    let mut rng = StdRng::seed_from_u64(options.seed);
    let mut recent: Vec<Call> = Vec::new();
    let run = Rc::new(Run {
        client,
        start: Instant::now(),
        report: RefCell::default(),
        latency: RefCell::new(histogram()),
        late: RefCell::new(histogram()),
        in_flight: RefCell::new(0),
        all_completed: Notify::new(),
        options,
    });
    // The numbers of different runs differ, so that a response of an earlier run is recognised.
    let run_number = rng.random::<u32>() ^ Uuid::now_v7().as_fields().0;
    let interval = Duration::from_secs_f64(1.0 / run.options.rate.max(1e-3));
    let mut next = Duration::ZERO;
    let mut index: u32 = 0;
    while next < run.options.duration && !run.options.targets.is_empty() && keep_running() {
        wait_until(run.start + next).await;
        let repeated = match run.options.keys {
            Keys::Fresh { repeated } => {
                !recent.is_empty() && rng.random_bool(repeated.clamp(0.0, 1.0))
            }
            Keys::None => false,
        };
        let call = if repeated {
            run.report.borrow_mut().repeated += 1;
            recent[rng.random_range(0..recent.len())].clone()
        } else {
            let call = Call {
                number: (u64::from(run_number) << 32) | u64::from(index),
                key: (run.options.keys != Keys::None).then(Uuid::now_v7),
            };
            if call.key.is_some() {
                recent.push(call.clone());
                if recent.len() > MAX_RECENT_CALLS {
                    recent.remove(0);
                }
            }
            call
        };
        let targets = &run.options.targets;
        let at = usize::try_from(index).unwrap_or_default() % targets.len();
        let target = targets[at];
        if *run.in_flight.borrow() >= MAX_IN_FLIGHT {
            run.report.borrow_mut().not_sent += 1;
        } else {
            *run.in_flight.borrow_mut() += 1;
            run.report.borrow_mut().sent += 1;
            actix_rt::spawn(make_call(Rc::clone(&run), call, target, next));
        }
        index = index.wrapping_add(1);
        next = interval.mul_f64(f64::from(index));
    }
    loop {
        let completed = run.all_completed.notified();
        if *run.in_flight.borrow() == 0 {
            break;
        }
        completed.await;
    }
    final_report(&run)
}

async fn wait_until(at: Instant) {
    let ahead = at.saturating_duration_since(Instant::now());
    if let Some(sleep_time) = ahead.checked_sub(POLL_TIME_BEFORE_SEND) {
        actix_rt::time::sleep(sleep_time).await;
    }
    while Instant::now() < at {
        tokio::task::yield_now().await;
    }
}

#[allow(clippy::cast_precision_loss)]
fn final_report(run: &Run) -> CallerReport {
    let mut report = run.report.take();
    let latency = run.latency.borrow();
    report.p50_us = latency.value_at_quantile(0.5);
    report.p99_us = latency.value_at_quantile(0.99);
    report.p999_us = latency.value_at_quantile(0.999);
    report.max_us = latency.max();
    report.late_p99_us = run.late.borrow().value_at_quantile(0.99);
    report.rate =
        report.with_status(200) as f64 / run.options.duration.as_secs_f64().max(f64::MIN_POSITIVE);
    report
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

struct Received {
    status: u16,
    code: String,
    run: String,
    number: Option<String>,
    body: Bytes,
}

async fn make_call(run: Rc<Run>, call: Call, target: SocketAddr, intended: Duration) {
    let late = run.start.elapsed().saturating_sub(intended);
    run.late.borrow_mut().saturating_record(micros(late));
    let received = exchange(&run, &call, target).await;
    let latency_us = micros(run.start.elapsed().saturating_sub(intended));
    let mut sample = Sample {
        sent_us: micros(intended),
        latency_us,
        status: 0,
        version: String::new(),
        backend: String::new(),
        run: String::new(),
        code: String::new(),
    };
    {
        let mut report = run.report.borrow_mut();
        match received {
            Ok(received) => {
                run.latency.borrow_mut().saturating_record(latency_us);
                check_response(
                    &mut report,
                    &run.options.path,
                    &call,
                    &received,
                    &mut sample,
                );
            }
            Err(kind) => count(&mut report.by_failure, kind),
        }
        if run.options.keep_samples {
            report.samples.push(sample);
        }
    }
    let mut in_flight = run.in_flight.borrow_mut();
    *in_flight -= 1;
    if *in_flight == 0 {
        run.all_completed.notify_one();
    }
}

/// Makes one call. Returns the kind of failure if there is no complete response.
async fn exchange(run: &Run, call: &Call, target: SocketAddr) -> Result<Received, &'static str> {
    let options = &run.options;
    let path = call.path(&options.path);
    let mut req = run
        .client
        .request(options.method.clone(), format!("http://{target}{path}"))
        .insert_header((NUMBER_HEADER, call.number.to_string()));
    if let Some(host) = &options.host {
        req = req.insert_header(("host", host.as_str()));
    }
    for (name, value) in &options.headers {
        req = req.insert_header((name.as_str(), value.as_str()));
    }
    if let Some(key) = &call.key {
        req = req.insert_header((KEY_HEADER, key.to_string()));
    }
    let sent = if options.body.is_empty() {
        req.send()
    } else {
        req.send_body(options.body.clone())
    };
    let mut res = sent.await.map_err(|e| match e {
        SendRequestError::Connect(_) => "connect",
        SendRequestError::Timeout => "timeout",
        SendRequestError::Send(_) | SendRequestError::Response(_) => "connection",
        _ => "other",
    })?;
    let body = res
        .body()
        .limit(MAX_BODY_BYTES)
        .await
        .map_err(|_| "incomplete")?;
    let header = |name| http::header_text(res.headers(), name).map(str::to_owned);
    Ok(Received {
        status: res.status().as_u16(),
        code: header(CODE_HEADER).unwrap_or_default(),
        run: header(RUN_HEADER).unwrap_or_default(),
        number: header(NUMBER_HEADER),
        body,
    })
}

/// Counts a response and checks that its body is well-formed and belongs to the call.
fn check_response(
    report: &mut CallerReport,
    path: &str,
    call: &Call,
    received: &Received,
    sample: &mut Sample,
) {
    report.answered += 1;
    count(&mut report.by_status, &received.status.to_string());
    if !received.code.is_empty() {
        count(&mut report.by_code, &received.code);
    }
    if !received.run.is_empty() {
        count(&mut report.by_run, &received.run);
    }
    sample.status = received.status;
    sample.run.clone_from(&received.run);
    sample.code.clone_from(&received.code);
    let number = call.number.to_string();
    let body = serde_json::from_slice::<ResponseBody>(&received.body).ok();
    let path = call.path(path);
    let path = path.split('?').next().unwrap_or_default();
    let is_other_call = |n: &Option<String>| n.as_ref().is_some_and(|n| *n != number);
    match body {
        Some(body) => {
            count(&mut report.by_version, &body.version);
            // A backend server always repeats the number, so that a missing number is a mismatch
            // too.
            if body.number.as_ref() != Some(&number)
                || body.path != path
                || is_other_call(&received.number)
            {
                report.mismatched += 1;
            }
            sample.version = body.version;
            sample.backend = body.id;
        }
        None if received.status == 200 => report.malformed += 1,
        None if is_other_call(&received.number) => report.mismatched += 1,
        None => {}
    }
}
