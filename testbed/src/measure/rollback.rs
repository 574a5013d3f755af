//! Measures, by kind of fault, the time from the first fault of a new version to the end of its
//! traffic, and the number of affected requests. Also checks whether good versions complete in
//! time. The baseline shifts the traffic on a fixed schedule, without evidence, and never rolls
//! back.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use eyre::WrapErr;
use eyre::ensure;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use sycamorewick::protocol::document::Document;
use sycamorewick::protocol::time::millis;

use crate::backend_server::BackendHandle;
use crate::backend_server::BackendOptions;
use crate::backend_server::BackendServer;
use crate::backend_server::Fault;
use crate::backend_server::ServiceTime;
use crate::caller;
use crate::caller::CallerOptions;
use crate::caller::CallerReport;
use crate::caller::Count;
use crate::fleet::Fleet;
use crate::fleet::FleetOptions;
use crate::fleet::free_addr;
use crate::measure::print_json;
use crate::measure::table::Table;

/// Name of the called service, also used as host.
const SERVICE: &str = "registry";
/// Path prefix of the route that fails in the kind `route`; half of the calls use it.
const FAULTY_PATH: &str = "/lookup";
/// Path prefix of the other half of the calls.
const OTHER_PATH: &str = "/sheets";
/// Time after which a crashed backend server is restarted, as the platform would do.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Names of the old and the new version.
const VERSIONS: [&str; 2] = ["v1", "v2"];
/// Traffic shares of the new version in the rollout steps, percent.
const STEPS_PERCENT: [u8; 4] = [5, 25, 50, 100];
/// Service times of both versions.
const SERVICE_TIME: ServiceTime = ServiceTime {
    median_us: 5_000,
    p99_us: 20_000,
};
/// Time from the publication to the first step.
const LEAD_TIME: Duration = Duration::from_secs(3);
/// Time without a call to the new version after which its traffic counts as ended.
const QUIET_TIME: Duration = Duration::from_secs(4);
/// Interval between reads of the backend servers' counters.
const COUNTER_INTERVAL: Duration = Duration::from_millis(10);
/// Number of reads of the counters per status request to a node.
const COUNTER_READS_PER_STATUS: u32 = 10;
/// Timeout of the fleet start.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after `finish_by_ms` for which the measurement still waits for a completion.
const FINISH_GRACE_PERIOD: Duration = Duration::from_secs(5);

/// Options of the measurement.
#[derive(Clone, Debug)]
pub struct RollbackOptions {
    /// The `sycamorewick` binary.
    pub binary: PathBuf,
    /// Kinds of faults, from [`KINDS`]; all if empty.
    pub kinds: Vec<String>,
    /// Backend servers of each version.
    pub servers: usize,
    /// Calls per second.
    pub rate: f64,
    /// Time from the first step to `finish_by_ms`, seconds.
    pub window_s: f64,
}

/// Kinds of faults of the new version.
pub const KINDS: [&str; 8] = [
    "good", "errors", "route", "slow", "load", "late", "crash", "shared",
];

/// Returns the faults of the old and the new version for a kind.
fn faults(kind: &str) -> eyre::Result<[Vec<Fault>; 2]> {
    let error = |rate: f64| Fault {
        error_rate: rate,
        ..Fault::default()
    };
    let new = match kind {
        "good" => return Ok([Vec::new(), Vec::new()]),
        // Both versions fail alike, which is no reason to roll back the new one.
        "shared" => return Ok([vec![error(0.05)], vec![error(0.05)]]),
        "errors" => error(0.3),
        "route" => Fault {
            path_prefix: FAULTY_PATH.into(),
            ..error(0.3)
        },
        "slow" => Fault {
            slowdown: 4.0,
            ..Fault::default()
        },
        "load" => Fault {
            above_running: 1,
            ..error(0.5)
        },
        "late" => Fault {
            after_calls: 50,
            ..error(0.3)
        },
        "crash" => Fault {
            after_calls: 20,
            crash: true,
            ..Fault::default()
        },
        other => eyre::bail!("unknown kind {other}; known are {}", KINDS.join(" ")),
    };
    Ok([Vec::new(), vec![new]])
}

/// Result for one kind of fault.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KindResult {
    measure: &'static str,
    /// Kind of fault.
    pub kind: String,
    /// Traffic control: `mesh`, or `schedule` for the baseline.
    pub way: &'static str,
    /// Number of calls.
    pub calls: u64,
    /// Calls without a response of status 200.
    pub failed: u64,
    /// Responses by result code of a node, and calls without a response by kind of failure.
    pub failures: Vec<Count>,
    /// Responses that are malformed or belong to another call.
    pub wrong: u64,
    /// Calls that the new version ran.
    pub new_version_calls: u64,
    /// Calls to the new version that were affected by the fault: that got an error, were slow, or
    /// crashed the backend server.
    pub spoiled: u64,
    /// Time from the first step to the first fault of the new version, ms.
    pub first_fault_ms: Option<f64>,
    /// Time from the first fault until a node reports the rollback, ms.
    pub rolled_back_ms: Option<f64>,
    /// Time from the first fault to the last call that the new version received, ms.
    pub last_call_ms: Option<f64>,
    /// Time from the first step until a node reports that the new version has all traffic, ms.
    pub completed_ms: Option<f64>,
    /// The rollback as the node reports it.
    pub rollback: Option<Value>,
}

impl KindResult {
    fn add(&mut self, report: &CallerReport) {
        let calls = report.sent + report.not_sent;
        self.calls += calls;
        self.failed += calls - report.with_status(200);
        self.wrong += report.mismatched + report.malformed;
        caller::merge_counts(&mut self.failures, &report.by_code);
        caller::merge_counts(&mut self.failures, &report.by_failure);
    }
}

/// Runs the measurement.
///
/// # Errors
/// Returns an error if a fleet does not start or a document is refused.
pub async fn run(options: &RollbackOptions) -> eyre::Result<Vec<KindResult>> {
    let kinds: Vec<String> = if options.kinds.is_empty() {
        KINDS.iter().map(|kind| (*kind).to_owned()).collect()
    } else {
        options.kinds.clone()
    };
    let mut results = Vec::new();
    for kind in &kinds {
        let result = run_mesh(options, kind)
            .await
            .wrap_err_with(|| format!("fault {kind}"))?;
        print_json(&result)?;
        results.push(result);
    }
    // The baselines share no processes, so they can run at the same time.
    let baselines = kinds.iter().map(|kind| run_schedule(options, kind));
    for result in futures_util::future::join_all(baselines).await {
        let result = result?;
        print_json(&result)?;
        results.push(result);
    }
    print_table(&results);
    Ok(results)
}

fn server(version: usize, index: usize, faults: &[Fault]) -> BackendOptions {
    let name = VERSIONS[version];
    let mut options = BackendOptions::new(&format!("{name}-{index}"), SERVICE, name);
    options.service_time = SERVICE_TIME;
    options.seed = u64::try_from(index * 2 + version).unwrap_or_default();
    options.faults = faults.to_vec();
    options
}

/// Calls both paths, each at half of the rate.
async fn send_calls(
    targets: Vec<SocketAddr>,
    rate: f64,
    duration: Duration,
    keep_running: Rc<Cell<bool>>,
) -> CallerReport {
    let calls_to = |path: &str, seed: u64| {
        let mut call = CallerOptions::new(targets.clone(), rate / 2.0, duration);
        call.host = Some(SERVICE.into());
        // Each call has a different path: a request that crashes two backend servers is refused
        // everywhere, which would hide whether the version is rolled back.
        call.path = format!("{path}/{{n}}");
        call.seed = seed;
        let keep_running = Rc::clone(&keep_running);
        caller::run_while(call, move || keep_running.get())
    };
    let (mut a, b) =
        futures_util::future::join(calls_to(FAULTY_PATH, 1), calls_to(OTHER_PATH, 2)).await;
    a.sent += b.sent;
    a.not_sent += b.not_sent;
    a.answered += b.answered;
    a.mismatched += b.mismatched;
    a.malformed += b.malformed;
    caller::merge_counts(&mut a.by_status, &b.by_status);
    caller::merge_counts(&mut a.by_code, &b.by_code);
    caller::merge_counts(&mut a.by_failure, &b.by_failure);
    a
}

/// Sums of the counters of the new version's backend servers.
#[derive(Clone, Copy, Debug, Default)]
struct NewVersionCounters {
    arrived: u64,
    ran: u64,
    affected: u64,
}

impl NewVersionCounters {
    fn plus(self, other: Self) -> Self {
        Self {
            arrived: self.arrived + other.arrived,
            ran: self.ran + other.ran,
            affected: self.affected + other.affected,
        }
    }
}

fn read_counters(kind: &str, server: &BackendHandle) -> NewVersionCounters {
    let counters = server.report().counters;
    NewVersionCounters {
        arrived: counters.arrived,
        ran: counters.ran,
        affected: match kind {
            "slow" => counters.finished,
            "crash" => counters.cancelled,
            "shared" => 0,
            _ => counters.errors,
        },
    }
}

/// Restarts crashed backend servers and returns the sums of the counters of all of them.
fn restart_and_read_counters(kind: &str, servers: &mut [RestartingBackend]) -> NewVersionCounters {
    for server in servers.iter_mut() {
        server.restart_if_due(kind);
    }
    servers
        .iter()
        .fold(NewVersionCounters::default(), |sum, server| {
            sum.plus(server.counters(kind))
        })
}

fn wall_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    millis(now.unwrap_or_default())
}

async fn run_mesh(options: &RollbackOptions, kind: &str) -> eyre::Result<KindResult> {
    let [old_faults, new_faults] = faults(kind)?;
    let window = Duration::try_from_secs_f64(options.window_s)?;
    let fleet = Fleet::start(FleetOptions::new(&options.binary, options.servers * 2))?;
    let ready = fleet.wait_ready(START_TIMEOUT).await;
    ready.wrap_err_with(|| format!("last output of n1:\n{}", fleet.output_tail(0, 5)))?;
    let start = |version: usize, faults: &[Fault]| {
        (0..options.servers)
            .map(|i| {
                let mut backend = server(version, i, faults);
                let node = &fleet.nodes()[version * options.servers + i];
                backend.node_addr = Some(node.request_addr);
                RestartingBackend::start(backend)
            })
            .collect::<eyre::Result<Vec<RestartingBackend>>>()
    };
    let old = start(0, &old_faults)?;
    let new = start(1, &new_faults)?;
    let first_step = wall_ms() + millis(LEAD_TIME);
    let document = document(fleet.options(), first_step, window)?;
    let reply = fleet.publish(0, None, &document).await?;
    ensure!(
        reply.status.is_success() && reply.version().is_some(),
        "the publication got status {}: {}",
        reply.status,
        reply.body
    );
    fleet
        .wait_version(reply.version().unwrap_or_default(), START_TIMEOUT)
        .await?;
    actix_rt::time::sleep(Duration::from_millis(
        first_step.saturating_sub(wall_ms() + millis(LEAD_TIME) / 3),
    ))
    .await;

    let targets = fleet.nodes().iter().map(|n| n.request_addr).collect();
    let keep_running = Rc::new(Cell::new(true));
    let max_duration = LEAD_TIME + window + FINISH_GRACE_PERIOD;
    let calls = send_calls(
        targets,
        options.rate,
        max_duration,
        Rc::clone(&keep_running),
    );
    let watch = watch(kind, &fleet, new, first_step, window, &keep_running);
    let (report, result) = futures_util::future::join(calls, watch).await;
    drop(old);
    let mut result = result;
    result.add(&report);
    Ok(result)
}

/// A backend server that is restarted after a crash.
struct RestartingBackend {
    options: BackendOptions,
    handle: BackendHandle,
    crashed_at: Option<Instant>,
    /// Counters up to the last crash.
    earlier: NewVersionCounters,
}

impl RestartingBackend {
    fn start(mut options: BackendOptions) -> eyre::Result<Self> {
        options.listen = free_addr()?;
        Ok(Self {
            handle: BackendServer::start(options.clone())?,
            options,
            crashed_at: None,
            earlier: NewVersionCounters::default(),
        })
    }

    fn restart_if_due(&mut self, kind: &str) {
        if self.handle.is_running() {
            return;
        }
        let crashed_at = *self.crashed_at.get_or_insert_with(Instant::now);
        if crashed_at.elapsed() < RESTART_DELAY {
            return;
        }
        // The port may still be in use for a moment; the next check tries again.
        if let Ok(handle) = BackendServer::start(self.options.clone()) {
            self.earlier = self.earlier.plus(read_counters(kind, &self.handle));
            self.handle = handle;
            self.crashed_at = None;
        }
    }

    fn counters(&self, kind: &str) -> NewVersionCounters {
        self.earlier.plus(read_counters(kind, &self.handle))
    }
}

/// Observes the new version until its rollout has ended, then ends the calls.
async fn watch(
    kind: &str,
    fleet: &Fleet,
    mut new: Vec<RestartingBackend>,
    first_step: u64,
    window: Duration,
    keep_running: &Cell<bool>,
) -> KindResult {
    let start = Instant::now() + Duration::from_millis(first_step.saturating_sub(wall_ms()));
    let since_start = |at: Instant| at.saturating_duration_since(start).as_secs_f64() * 1e3;
    let mut result = KindResult {
        measure: "rollback",
        kind: kind.into(),
        way: "mesh",
        ..KindResult::default()
    };
    let mut last = NewVersionCounters::default();
    let mut last_call = start;
    let mut first_fault = None;
    let mut rolled_back = None;
    let mut reads = 0_u32;
    let mut interval = actix_rt::time::interval(COUNTER_INTERVAL);
    loop {
        interval.tick().await;
        let now = Instant::now();
        let current = restart_and_read_counters(kind, &mut new);
        if current.arrived > last.arrived {
            last_call = now;
        }
        if current.affected > 0 && first_fault.is_none() {
            first_fault = Some(now);
        }
        last = current;
        reads += 1;
        if reads.is_multiple_of(COUNTER_READS_PER_STATUS)
            && let Ok(status) = fleet.status(0).await
        {
            if rolled_back.is_none()
                && status["rollbacks"]
                    .as_array()
                    .is_some_and(|r| !r.is_empty())
            {
                rolled_back = Some(now);
                result.rollback = Some(status["rollbacks"][0].clone());
            }
            if result.completed_ms.is_none() && new_share(&status) == Some(100) {
                result.completed_ms = Some(since_start(now));
            }
        }
        let after_rollback = rolled_back.is_some() && now > last_call + QUIET_TIME;
        let done = result.completed_ms.is_some() && matches!(kind, "good" | "shared");
        if after_rollback || done || now > start + window + FINISH_GRACE_PERIOD {
            break;
        }
    }
    keep_running.set(false);
    result.new_version_calls = last.ran;
    result.spoiled = last.affected;
    if let Some(fault) = first_fault {
        let since_fault = |at: Instant| at.saturating_duration_since(fault).as_secs_f64() * 1e3;
        result.first_fault_ms = Some(since_start(fault));
        result.last_call_ms = Some(since_fault(last_call));
        result.rolled_back_ms = rolled_back.map(since_fault);
    }
    result
}

/// Returns the traffic share of the new version in the status of a node.
fn new_share(status: &Value) -> Option<u64> {
    let service = status["services"]
        .as_array()?
        .iter()
        .find(|s| s["service"] == SERVICE)?;
    let share = service["shares"]
        .as_array()?
        .iter()
        .find(|s| s["version"] == VERSIONS[1])?;
    share["share"].as_u64()
}

/// Runs the baseline: shifts the traffic in equal intervals, independently of the responses.
async fn run_schedule(options: &RollbackOptions, kind: &str) -> eyre::Result<KindResult> {
    let [old_faults, new_faults] = faults(kind)?;
    let start = |version: usize, faults: &[Fault]| {
        (0..options.servers)
            .map(|i| RestartingBackend::start(server(version, i, faults)))
            .collect::<eyre::Result<Vec<RestartingBackend>>>()
    };
    let old = start(0, &old_faults)?;
    let mut new = start(1, &new_faults)?;
    let steps = u32::try_from(STEPS_PERCENT.len()).unwrap_or(u32::MAX);
    let interval = Duration::try_from_secs_f64(options.window_s)? / steps;
    let mut result = KindResult {
        measure: "rollback",
        kind: kind.into(),
        way: "schedule",
        ..KindResult::default()
    };
    let addrs = |servers: &[RestartingBackend]| servers.iter().map(|s| s.handle.addr()).collect();
    let targets: [Vec<SocketAddr>; 2] = [addrs(&old), addrs(&new)];
    let keep_running = Rc::new(Cell::new(true));
    let calls = async {
        for step in STEPS_PERCENT {
            let share = f64::from(step) / 100.0;
            let calls = [(&targets[0], 1.0 - share), (&targets[1], share)].map(|(to, share)| {
                let rate = options.rate * share;
                // A rate of zero means a run without calls.
                let duration = if rate > 0.0 { interval } else { Duration::ZERO };
                send_calls(to.clone(), rate, duration, Rc::clone(&keep_running))
            });
            for report in futures_util::future::join_all(calls).await {
                result.add(&report);
            }
        }
        keep_running.set(false);
    };
    let restarts = async {
        let mut interval = actix_rt::time::interval(COUNTER_INTERVAL);
        while keep_running.get() {
            interval.tick().await;
            restart_and_read_counters(kind, &mut new);
        }
    };
    futures_util::future::join(calls, restarts).await;
    let last = restart_and_read_counters(kind, &mut new);
    result.new_version_calls = last.ran;
    result.spoiled = last.affected;
    Ok(result)
}

fn document(fleet: &FleetOptions, first_step: u64, window: Duration) -> eyre::Result<Document> {
    let route = |name: &str, path: &str| {
        json!({
            "name": name,
            "host": SERVICE,
            "path_prefix": path,
            "service": SERVICE,
            "idempotent": true,
        })
    };
    let document = json!({
        "regions": fleet.regions_json(),
        "services": [{
            "name": SERVICE,
            "versions": [
                { "name": VERSIONS[0], "share": 100 },
                { "name": VERSIONS[1], "share": 0 },
            ],
            "rollout": {
                "from": VERSIONS[0],
                "to": VERSIONS[1],
                "start_ms": first_step,
                "finish_by_ms": first_step + millis(window),
                "steps": STEPS_PERCENT,
                "hold_s": 60,
            },
        }],
        "routes": [route("lookup", FAULTY_PATH), route("sheets", OTHER_PATH)],
    });
    Ok(serde_json::from_value(document)?)
}

fn print_table(results: &[KindResult]) {
    let mut table = Table::new(&[
        "fault",
        "way",
        "calls",
        "failed",
        "wrong",
        "new version's calls",
        "spoiled",
        "first fault ms",
        "to rollback ms",
        "to last call ms",
        "completed ms",
    ]);
    let time = |t: Option<f64>| t.map_or("-".to_owned(), |t| format!("{t:.0}"));
    for r in results {
        table.row(vec![
            r.kind.clone(),
            r.way.into(),
            r.calls.to_string(),
            r.failed.to_string(),
            r.wrong.to_string(),
            r.new_version_calls.to_string(),
            r.spoiled.to_string(),
            time(r.first_fault_ms),
            time(r.rolled_back_ms),
            time(r.last_call_ms),
            time(r.completed_ms),
        ]);
    }
    println!("{table}");
}
