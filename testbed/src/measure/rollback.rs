//! Time from a new version's first fault to the end of its traffic, and the requests that it spoiled,
//! by kind of fault; and whether good versions complete in time. The baseline is a fixed schedule
//! that shifts the traffic without evidence and never takes a version back.

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

/// Service and host that are called.
const SERVICE: &str = "registry";
/// Path prefix that shows faults of one route only.
const FAULTY_PATH: &str = "/lookup";
/// Path prefix of the other half of the calls.
const OTHER_PATH: &str = "/sheets";
/// Time after which a crashed backend server is started again, as the platform would do.
const RESTART_DELAY: Duration = Duration::from_secs(1);
/// Old and new version.
const VERSIONS: [&str; 2] = ["v1", "v2"];
/// Percentages of the new version.
const STEPS: [u8; 4] = [5, 25, 50, 100];
/// Service times of both versions.
const SERVICE_TIME: ServiceTime = ServiceTime {
    median_us: 5_000,
    p99_us: 20_000,
};
/// Time between the publication and the first step.
const LEAD: Duration = Duration::from_secs(3);
/// Time without a call for the new version after which its traffic counts as ended.
const QUIET: Duration = Duration::from_secs(4);
/// Time between two looks at the backend servers' counters.
const WATCH_INTERVAL: Duration = Duration::from_millis(10);
/// Looks at the counters between two questions to a node for its status.
const LOOKS_PER_STATUS: u32 = 10;
/// Time limit of the start of the fleet.
const START_LIMIT: Duration = Duration::from_secs(30);
/// Time after `finish_by` in which a completion is still seen.
const AFTER_FINISH: Duration = Duration::from_secs(5);

/// Options of the measurement.
#[derive(Clone, Debug)]
pub struct RollbackOptions {
    /// The `sycamorewick` binary.
    pub binary: PathBuf,
    /// Kinds of faults, names of [`KINDS`]; all if empty.
    pub kinds: Vec<String>,
    /// Backend servers of each version.
    pub servers: usize,
    /// Calls per second.
    pub rate: f64,
    /// Time from the first step to `finish_by`, seconds.
    pub window_s: f64,
}

/// Kinds of faults of the new version.
pub const KINDS: [&str; 8] = [
    "good", "errors", "route", "slow", "load", "late", "crash", "shared",
];

/// The faults of the old and the new version for a kind.
fn faults(kind: &str) -> eyre::Result<[Vec<Fault>; 2]> {
    let error = |rate: f64| Fault {
        error_rate: rate,
        ..Fault::default()
    };
    let new = match kind {
        "good" => return Ok([Vec::new(), Vec::new()]),
        // Both versions fail alike, which is no reason to take the new one back.
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

/// What one kind of fault did.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KindResult {
    measure: &'static str,
    /// Kind of fault.
    pub kind: String,
    /// `mesh`, or `schedule` for the baseline.
    pub way: &'static str,
    /// Calls of the callers.
    pub calls: u64,
    /// Calls without an answer of status 200.
    pub failed: u64,
    /// Answers by result code of a node, and calls without an answer by kind of failure.
    pub failures: Vec<Count>,
    /// Answers that are not whole or belong to another call.
    pub wrong: u64,
    /// Calls that the new version ran.
    pub new_version_calls: u64,
    /// Calls that the new version answered with an error, was slow on, or crashed on.
    pub spoiled: u64,
    /// Time from the first step to the first fault of the new version, ms.
    pub first_fault_ms: Option<f64>,
    /// Time from the first fault to the first node that says that the version is taken back, ms.
    pub rolled_back_ms: Option<f64>,
    /// Time from the first fault to the last call that the new version received, ms.
    pub last_call_ms: Option<f64>,
    /// Time from the first step until a node says that the new version has all traffic, ms.
    pub completed_ms: Option<f64>,
    /// What the node says on the rollback.
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
        let result = mesh(options, kind)
            .await
            .wrap_err_with(|| format!("fault {kind}"))?;
        print_json(&result)?;
        results.push(result);
    }
    // The baselines share no process with each other, so that they run at the same time.
    let baselines = kinds.iter().map(|kind| schedule(options, kind));
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

/// Calls of both paths, half of the rate each.
async fn call(
    targets: Vec<SocketAddr>,
    rate: f64,
    duration: Duration,
    go_on: Rc<Cell<bool>>,
) -> CallerReport {
    let one = |path: &str, seed: u64| {
        let mut call = CallerOptions::new(targets.clone(), rate / 2.0, duration);
        call.host = Some(SERVICE.into());
        // Different paths: a request that crashes two backend servers is refused everywhere, which
        // would hide whether the version is taken back.
        call.path = format!("{path}/{{n}}");
        call.seed = seed;
        let go_on = Rc::clone(&go_on);
        caller::run_while(call, move || go_on.get())
    };
    let (mut a, b) = futures_util::future::join(one(FAULTY_PATH, 1), one(OTHER_PATH, 2)).await;
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
struct NewVersion {
    arrived: u64,
    ran: u64,
    spoiled: u64,
}

impl NewVersion {
    fn plus(self, other: Self) -> Self {
        Self {
            arrived: self.arrived + other.arrived,
            ran: self.ran + other.ran,
            spoiled: self.spoiled + other.spoiled,
        }
    }
}

fn look_at(kind: &str, server: &BackendHandle) -> NewVersion {
    let counters = server.report().counters;
    NewVersion {
        arrived: counters.arrived,
        ran: counters.ran,
        spoiled: match kind {
            "slow" => counters.finished,
            "crash" => counters.cancelled,
            "shared" => 0,
            _ => counters.errors,
        },
    }
}

/// Starts crashed servers again and returns the sums of the counters of all.
fn look(kind: &str, servers: &mut [Restarted]) -> NewVersion {
    for server in servers.iter_mut() {
        server.check(kind);
    }
    servers.iter().fold(NewVersion::default(), |sum, server| {
        sum.plus(server.look(kind))
    })
}

fn wall_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    millis(now.unwrap_or_default())
}

async fn mesh(options: &RollbackOptions, kind: &str) -> eyre::Result<KindResult> {
    let [old_faults, new_faults] = faults(kind)?;
    let window = Duration::try_from_secs_f64(options.window_s)?;
    let fleet = Fleet::start(FleetOptions::new(&options.binary, options.servers * 2))?;
    let ready = fleet.wait_ready(START_LIMIT).await;
    ready.wrap_err_with(|| format!("last output of n1:\n{}", fleet.output_tail(0, 5)))?;
    let start = |version: usize, faults: &[Fault]| {
        (0..options.servers)
            .map(|i| {
                let mut backend = server(version, i, faults);
                let node = &fleet.nodes()[version * options.servers + i];
                backend.node_addr = Some(node.request_addr);
                Restarted::start(backend)
            })
            .collect::<eyre::Result<Vec<Restarted>>>()
    };
    let old = start(0, &old_faults)?;
    let new = start(1, &new_faults)?;
    let first_step = wall_ms() + millis(LEAD);
    let document = document(fleet.options(), first_step, window)?;
    let reply = fleet.publish(0, None, &document).await?;
    ensure!(
        reply.status.is_success() && reply.version().is_some(),
        "publication: {} {}",
        reply.status,
        reply.body
    );
    fleet
        .wait_version(reply.version().unwrap_or_default(), START_LIMIT)
        .await?;
    actix_rt::time::sleep(Duration::from_millis(
        first_step.saturating_sub(wall_ms() + millis(LEAD) / 3),
    ))
    .await;

    let targets = fleet.nodes().iter().map(|n| n.request_addr).collect();
    let go_on = Rc::new(Cell::new(true));
    let limit = LEAD + window + AFTER_FINISH;
    let calls = call(targets, options.rate, limit, Rc::clone(&go_on));
    let watch = watch(kind, &fleet, new, first_step, window, &go_on);
    let (report, result) = futures_util::future::join(calls, watch).await;
    drop(old);
    let mut result = result;
    result.add(&report);
    Ok(result)
}

/// A backend server of the new version that is started again after a crash.
struct Restarted {
    options: BackendOptions,
    handle: BackendHandle,
    crashed_at: Option<Instant>,
    /// Counters of the runs before the last crash.
    before: NewVersion,
}

impl Restarted {
    fn start(mut options: BackendOptions) -> eyre::Result<Self> {
        options.listen = free_addr()?;
        Ok(Self {
            handle: BackendServer::start(options.clone())?,
            options,
            crashed_at: None,
            before: NewVersion::default(),
        })
    }

    fn check(&mut self, kind: &str) {
        if self.handle.is_running() {
            return;
        }
        let crashed_at = *self.crashed_at.get_or_insert_with(Instant::now);
        if crashed_at.elapsed() < RESTART_DELAY {
            return;
        }
        // The port may still be in use for a moment; the next check tries again.
        if let Ok(handle) = BackendServer::start(self.options.clone()) {
            self.before = self.before.plus(look_at(kind, &self.handle));
            self.handle = handle;
            self.crashed_at = None;
        }
    }

    fn look(&self, kind: &str) -> NewVersion {
        self.before.plus(look_at(kind, &self.handle))
    }
}

/// Looks at the new version until its rollout has ended, then ends the calls.
async fn watch(
    kind: &str,
    fleet: &Fleet,
    mut new: Vec<Restarted>,
    first_step: u64,
    window: Duration,
    go_on: &Cell<bool>,
) -> KindResult {
    let start = Instant::now() + Duration::from_millis(first_step.saturating_sub(wall_ms()));
    let since_start = |at: Instant| at.saturating_duration_since(start).as_secs_f64() * 1e3;
    let mut result = KindResult {
        measure: "rollback",
        kind: kind.into(),
        way: "mesh",
        ..KindResult::default()
    };
    let mut last = NewVersion::default();
    let mut last_call = start;
    let mut first_fault = None;
    let mut rolled_back = None;
    let mut looks = 0_u32;
    let mut interval = actix_rt::time::interval(WATCH_INTERVAL);
    loop {
        interval.tick().await;
        let now = Instant::now();
        let seen = look(kind, &mut new);
        if seen.arrived > last.arrived {
            last_call = now;
        }
        if seen.spoiled > 0 && first_fault.is_none() {
            first_fault = Some(now);
        }
        last = seen;
        looks += 1;
        if looks.is_multiple_of(LOOKS_PER_STATUS)
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
        let after_rollback = rolled_back.is_some() && now > last_call + QUIET;
        let done = result.completed_ms.is_some() && matches!(kind, "good" | "shared");
        if after_rollback || done || now > start + window + AFTER_FINISH {
            break;
        }
    }
    go_on.set(false);
    result.new_version_calls = last.ran;
    result.spoiled = last.spoiled;
    if let Some(fault) = first_fault {
        let since_fault = |at: Instant| at.saturating_duration_since(fault).as_secs_f64() * 1e3;
        result.first_fault_ms = Some(since_start(fault));
        result.last_call_ms = Some(since_fault(last_call));
        result.rolled_back_ms = rolled_back.map(since_fault);
    }
    result
}

/// Share of the new version that a node's status shows.
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

/// Shifts the traffic in equal intervals whatever the answers are.
async fn schedule(options: &RollbackOptions, kind: &str) -> eyre::Result<KindResult> {
    let [old_faults, new_faults] = faults(kind)?;
    let start = |version: usize, faults: &[Fault]| {
        (0..options.servers)
            .map(|i| Restarted::start(server(version, i, faults)))
            .collect::<eyre::Result<Vec<Restarted>>>()
    };
    let old = start(0, &old_faults)?;
    let mut new = start(1, &new_faults)?;
    let steps = u32::try_from(STEPS.len()).unwrap_or(u32::MAX);
    let interval = Duration::try_from_secs_f64(options.window_s)? / steps;
    let mut result = KindResult {
        measure: "rollback",
        kind: kind.into(),
        way: "schedule",
        ..KindResult::default()
    };
    let addrs = |servers: &[Restarted]| servers.iter().map(|s| s.handle.addr()).collect();
    let targets: [Vec<SocketAddr>; 2] = [addrs(&old), addrs(&new)];
    let go_on = Rc::new(Cell::new(true));
    let calls = async {
        for step in STEPS {
            let share = f64::from(step) / 100.0;
            let calls = [(&targets[0], 1.0 - share), (&targets[1], share)].map(|(to, share)| {
                let rate = options.rate * share;
                // A rate of zero is an empty run.
                let duration = if rate > 0.0 { interval } else { Duration::ZERO };
                call(to.clone(), rate, duration, Rc::clone(&go_on))
            });
            for report in futures_util::future::join_all(calls).await {
                result.add(&report);
            }
        }
        go_on.set(false);
    };
    let restarts = async {
        let mut interval = actix_rt::time::interval(WATCH_INTERVAL);
        while go_on.get() {
            interval.tick().await;
            look(kind, &mut new);
        }
    };
    futures_util::future::join(calls, restarts).await;
    let last = look(kind, &mut new);
    result.new_version_calls = last.ran;
    result.spoiled = last.spoiled;
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
                "steps": STEPS,
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
