//! Measures what one workspace that sends many times its usual rate takes from the others, at real sidecars with
//! a store and backend servers. See `docs/design/workspaces.md`, "Fair sharing".

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use eyre::ensure;
use serde::Serialize;
use serde_json::json;

use crate::fleet::free_addr;
use crate::measure::plot;
use crate::measure::print_json;
use crate::measure::table::Table;
use crate::measure::to_f64;
use crate::platform::backend::ATTEMPT_HEADER;
use crate::platform::backend::CREDENTIAL_HEADER;
use crate::platform::fleet::SidecarFleet;
use crate::platform::fleet::SidecarOptions;
use crate::platform::store::OPERATOR_TOPIC;
use crate::platform::store::StoreHandle;
use crate::platform::store::StoreServer;
use crate::process::ManagedProcess;

/// Host of all routes.
const HOST: &str = "a.example";
/// Service of all backend servers.
const SERVICE: &str = "registry";
/// Slots of a backend server.
const SLOTS: usize = 2;
/// Longest service time, milliseconds.
const SERVICE_MS: u64 = 100;
/// Timeout of the start of the fleet.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout of a call, longer than that of the route.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after the last call in which responses arrive.
const END_TIME: Duration = Duration::from_secs(3);
/// Time between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Width of a point of the plot, seconds.
const STEP_S: f64 = 1.0;

/// Options of the measurement.
#[derive(Clone, Debug)]
pub struct WorkspacesOptions {
    /// The `sycamorewick` binary.
    pub binary: PathBuf,
    /// Number of nodes, each with a backend server.
    pub nodes: usize,
    /// Number of workspaces. The first one is hot for a third of the time.
    pub workspaces: usize,
    /// Usual rate of a workspace, calls per second over all nodes.
    pub rate: f64,
    /// Rate of the hot workspace, as a multiple of the usual one.
    pub factor: f64,
    /// Quota of each workspace, as a multiple of its usual rate; zero for none.
    pub quota: f64,
    /// Duration, seconds.
    pub seconds: f64,
    /// File for a plot of the served share by workspace over time.
    pub plot: Option<PathBuf>,
}

/// Calls of a workspace that were sent within one step.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct StepCounts {
    sent: u32,
    served: u32,
}

/// Result for one workspace.
#[derive(Clone, Debug, Serialize)]
pub struct WorkspaceResult {
    measure: &'static str,
    /// Name of the workspace.
    pub workspace: String,
    /// Share of the calls that were served before and after the hot time.
    pub usual_share: f64,
    /// Share of the calls that were served in the hot time.
    pub hot_share: f64,
    /// Calls per second that were served in the hot time.
    pub hot_served_per_s: f64,
}

struct Bench {
    fleet: SidecarFleet,
    // Held so that they run as long as this value lives.
    _store: StoreHandle,
    _backends: Vec<ManagedProcess>,
}

fn workspace_name(index: usize) -> String {
    format!("w{index}")
}

fn key(index: usize) -> String {
    format!("key-of-w{index}")
}

impl Bench {
    async fn start(options: &WorkspacesOptions) -> eyre::Result<Self> {
        let store = StoreServer::start(free_addr()?)?;
        let config = config(options).to_string();
        let _ = store.put(OPERATOR_TOPIC, "config", config.as_bytes());
        let mut fleet = SidecarFleet::new(&options.binary)?;
        let testbed = std::env::current_exe()?;
        let mut backends = Vec::new();
        for index in 0..options.nodes {
            let addrs = SidecarFleet::free_addrs(store.addr())?;
            fleet.add(
                SidecarOptions::new(&format!("n{index}"), "keta-a", SERVICE),
                addrs.clone(),
            )?;
            fleet.start(index)?;
            let output = fleet.dir().join(format!("b{index}.out"));
            let mut backend = ManagedProcess::new(&format!("b{index}"), output);
            let id = format!("b{index}");
            let mut command = addrs.backend_command(&testbed, &id, SERVICE, "v1");
            command
                .args(["--slots", &SLOTS.to_string()])
                .args(["--service-ms", &SERVICE_MS.to_string()])
                .args(["--seed", &index.to_string()]);
            backend.start(&mut command)?;
            backends.push(backend);
        }
        fleet.wait_ready(START_TIMEOUT).await?;
        let bench = Self {
            fleet,
            _store: store,
            _backends: backends,
        };
        let until = Instant::now() + START_TIMEOUT;
        for addr in bench.callers() {
            while call(addr, "start", 0).await != Some(200) {
                ensure!(Instant::now() < until, "the node at {addr} does not serve");
                actix_rt::time::sleep(CHECK_INTERVAL).await;
            }
        }
        Ok(bench)
    }

    fn callers(&self) -> Vec<SocketAddr> {
        let nodes = self.fleet.nodes().iter();
        nodes.map(|node| node.addrs.caller).collect()
    }
}

fn config(options: &WorkspacesOptions) -> serde_json::Value {
    let workspaces = (0..options.workspaces).map(|index| {
        let quota = options.rate * options.quota;
        let value =
            json!({ "api-keys": [key(index)], "priority": 0, "per-s": quota, "burst": quota });
        (workspace_name(index), value)
    });
    let workspaces: serde_json::Map<_, _> = workspaces.collect();
    json!({
        "version": "00000001",
        "routes": { "lookup": { "host": HOST, "prefix": "/", "kind": "safe", "timeout-ms": 2000, "slo-ms": 500,
            "priority": 1, "service": SERVICE, "attempts": 2 } },
        "services": { SERVICE: { "health-path": "/healthz", "max-conns": 100 } },
        "limits": { "header-bytes": 16384, "body-bytes": 65536, "header-ms": 3000, "idle-ms": 15000 },
        "tenants": workspaces,
    })
}

/// Makes a call and returns the status of its response, if there is one.
async fn call(addr: SocketAddr, attempt: &str, workspace: usize) -> Option<u16> {
    let client = awc::Client::builder().timeout(CALL_TIMEOUT).finish();
    let req = client.get(format!("http://{addr}/wrecks/{workspace}"));
    let req = req.insert_header(("host", HOST));
    let req = req.insert_header((ATTEMPT_HEADER, attempt));
    let sent = req
        .insert_header((CREDENTIAL_HEADER, key(workspace)))
        .send();
    Some(sent.await.ok()?.status().as_u16())
}

type Counts = Rc<RefCell<Vec<Vec<StepCounts>>>>;

/// Sends the calls of a workspace at a constant rate, whether they are answered or not, to all nodes in turn.
async fn send_calls(
    options: Rc<WorkspacesOptions>,
    addrs: Vec<SocketAddr>,
    workspace: usize,
    counts: Counts,
) {
    let started = Instant::now();
    // Workspaces do not send at the same moments.
    let offset = to_f64(workspace) / to_f64(options.workspaces);
    let mut at_s = offset / options.rate;
    let mut number = 0;
    while at_s < options.seconds {
        let at = Duration::from_secs_f64(at_s);
        actix_rt::time::sleep(at.saturating_sub(started.elapsed())).await;
        let step = step_of(at_s);
        counts.borrow_mut()[workspace][step].sent += 1;
        let addr = addrs[(number + workspace) % addrs.len()];
        let (attempt, counts) = (format!("w{workspace}-{number}"), counts.clone());
        actix_rt::spawn(async move {
            if call(addr, &attempt, workspace).await == Some(200) {
                counts.borrow_mut()[workspace][step].served += 1;
            }
        });
        let is_hot = workspace == 0 && is_hot_time(&options, at_s);
        let factor = if is_hot { options.factor } else { 1.0 };
        at_s += 1.0 / (options.rate * factor);
        number += 1;
    }
}

fn is_hot_time(options: &WorkspacesOptions, at_s: f64) -> bool {
    (1.0 / 3.0..2.0 / 3.0).contains(&(at_s / options.seconds))
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "times are positive and short"
)]
fn step_of(at_s: f64) -> usize {
    (at_s / STEP_S) as usize
}

/// Runs the measurement.
///
/// # Errors
/// Returns an error if the fleet does not start.
pub async fn run(options: &WorkspacesOptions) -> eyre::Result<Vec<WorkspaceResult>> {
    ensure!(
        options.nodes > 0 && options.workspaces > 1 && options.rate > 0.0 && options.factor > 0.0,
        "a node, two workspaces, a rate and a factor are required"
    );
    let bench = Bench::start(options).await?;
    let steps = step_of(options.seconds) + 1;
    let counts: Counts = Rc::new(RefCell::new(vec![
        vec![StepCounts::default(); steps];
        options.workspaces
    ]));
    let shared = Rc::new(options.clone());
    let senders = (0..options.workspaces).map(|workspace| {
        let calls = send_calls(shared.clone(), bench.callers(), workspace, counts.clone());
        actix_rt::spawn(calls)
    });
    for sender in senders.collect::<Vec<_>>() {
        sender.await?;
    }
    actix_rt::time::sleep(END_TIME).await;
    let counts = counts.borrow();
    let results = counts.iter().enumerate();
    let results: Vec<WorkspaceResult> = results
        .map(|(index, steps)| result(options, index, steps))
        .collect();
    for result in &results {
        print_json(result)?;
    }
    print_table(&results);
    if let Some(file) = &options.plot {
        write_plot(file, options, &counts)?;
    }
    Ok(results)
}

fn share(counts: StepCounts) -> f64 {
    f64::from(counts.served) / f64::from(counts.sent.max(1))
}

fn result(options: &WorkspacesOptions, index: usize, steps: &[StepCounts]) -> WorkspaceResult {
    let sum = |is_hot: bool| {
        let steps = steps.iter().enumerate();
        let of_time = steps.filter(|(step, _)| is_hot_step(options, *step) == is_hot);
        of_time.fold(StepCounts::default(), |sum, (_, step)| StepCounts {
            sent: sum.sent + step.sent,
            served: sum.served + step.served,
        })
    };
    WorkspaceResult {
        measure: "workspaces",
        workspace: workspace_name(index),
        usual_share: share(sum(false)),
        hot_share: share(sum(true)),
        hot_served_per_s: f64::from(sum(true).served) / (options.seconds / 3.0),
    }
}

fn is_hot_step(options: &WorkspacesOptions, step: usize) -> bool {
    is_hot_time(options, to_f64(step) * STEP_S)
}

fn print_table(results: &[WorkspaceResult]) {
    let mut table = Table::new(&["workspace", "usual share", "hot share", "hot served/s"]);
    for result in results {
        table.row(vec![
            result.workspace.clone(),
            format!("{:.3}", result.usual_share),
            format!("{:.3}", result.hot_share),
            format!("{:.1}", result.hot_served_per_s),
        ]);
    }
    println!("{table}");
}

fn write_plot(
    file: &std::path::Path,
    options: &WorkspacesOptions,
    counts: &[Vec<StepCounts>],
) -> eyre::Result<()> {
    let lines = counts.iter().enumerate().map(|(index, steps)| {
        let sent = steps.iter().enumerate().filter(|(_, step)| step.sent > 0);
        let points = sent.map(|(step, counts)| (to_f64(step) * STEP_S, share(*counts)));
        let name = workspace_name(index);
        plot::Line {
            name: if index == 0 {
                format!("{name}, {} times its rate", options.factor)
            } else {
                name
            },
            points: points.collect(),
        }
    });
    let lines: Vec<plot::Line> = lines.collect();
    plot::write(
        file,
        "Served share of the calls of each workspace",
        "time, seconds",
        "served share of the calls sent in that second",
        &lines,
    )
}
