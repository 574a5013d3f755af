//! Randomized fault soak: runs sidecars, backend servers and a store as processes, injects faults from
//! outside, and checks what callers and backend servers see. See `docs/soak.md`.

use std::cell::RefCell;
use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use clap::Arg;
use clap::ArgAction;
use clap::Command;
use clap::value_parser;
use soak::caller;
use soak::caller::CallKind;
use soak::caller::CallLog;
use soak::caller::CallOutcome;
use soak::caller::CallRecord;
use soak::caller::Workload;
use soak::checker;
use soak::checker::Observations;
use soak::checker::ProcessorUse;
use soak::cluster;
use soak::cluster::ALL_NODES;
use soak::cluster::Cluster;
use soak::cluster::NODES;
use soak::cluster::Programs;
use soak::plan;
use soak::plan::Event;
use soak::plan::Load;
use soak::workspace_checker;
use soak::workspace_checker::WorkspaceObservations;
use soak::workspaces;
use soak::workspaces::KeyRing;
use testbed::platform::backend::monotonic_millis;

/// Seeds and lengths of runs that failed before, with their causes.
const REGRESSIONS: &str = include_str!("../regressions.txt");
/// Time between two probes of a node's configuration or of the state of a move.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Time after the last fault in which calls may still fail.
const RECOVERY_PERIOD: Duration = Duration::from_secs(6);
/// Time after the recovery period in which every call must be served.
const WATCH_PERIOD: Duration = Duration::from_millis(1_500);
/// Time between two readings of the processor use of the nodes.
const USE_INTERVAL: Duration = Duration::from_millis(50);
/// Largest time from the start of the faults to the first reading of the nodes' memory.
const MAX_WARM_UP: Duration = Duration::from_mins(1);
/// Callers of a workspace at each node in a surge.
const SURGE_CALLERS: usize = 10;
/// File with the calls of a run that has violations, and the workspaces that were written.
const CALLS_FILE: &str = "calls.txt";
/// Maximum number of violations that are printed for a run.
const MAX_PRINTED_VIOLATIONS: usize = 12;

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("{e:?}");
            ExitCode::FAILURE
        }
    }
}

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_name("N")
            .value_parser(value_parser!(u64))
            .default_value(default)
            .help(help)
    };
    Command::new("soak")
        .about(
            "Run real sidecars under random faults and check what callers and backend servers see",
        )
        .arg(number("seed", "1", "First seed"))
        .arg(number(
            "seeds",
            "1",
            "Number of runs, with consecutive seeds",
        ))
        .arg(number(
            "seconds",
            "12",
            "Time in which faults start, for each run",
        ))
        .arg(
            Arg::new("regressions")
                .long("regressions")
                .action(ArgAction::SetTrue)
                .help("Run the seeds that failed before, ahead of the others"),
        )
        .arg(
            Arg::new("workspaces")
                .long("workspaces")
                .value_name("WHEN")
                .value_parser(["by-seed", "always", "never"])
                .default_value("by-seed")
                .help("Which runs have workspaces with keys and quotas"),
        )
        .arg(
            Arg::new("programs")
                .long("programs")
                .value_name("DIR")
                .value_parser(value_parser!(PathBuf))
                .help("Directory of the binaries [default: that of this program]"),
        )
}

fn run() -> eyre::Result<bool> {
    let args = command().get_matches();
    let number = |name: &str| args.get_one::<u64>(name).copied().unwrap_or(1);
    let own_dir = std::env::current_exe()?.parent().map(PathBuf::from);
    let dir = args.get_one::<PathBuf>("programs").cloned().or(own_dir);
    let dir = dir.unwrap_or_default();
    let programs = Programs {
        sycamorewick: dir.join("sycamorewick"),
        testbed: dir.join("testbed"),
    };
    cluster::check_program(&programs.sycamorewick)?;
    cluster::check_program(&programs.testbed)?;
    let length = Duration::from_secs(number("seconds"));
    let mut runs: Vec<(u64, Duration)> = Vec::new();
    if args.get_flag("regressions") {
        runs.extend(parse_regressions(REGRESSIONS));
    }
    let seeds = number("seed")..number("seed") + number("seeds");
    runs.extend(seeds.map(|seed| (seed, length)));
    let when = args.get_one::<String>("workspaces").map(String::as_str);
    let mut passed = true;
    for (seed, length) in runs {
        let system = actix_rt::System::new();
        let has_workspaces = match when {
            Some("always") => true,
            Some("never") => false,
            _ => workspaces::has_workspaces(seed),
        };
        let run = run_seed(programs.clone(), seed, length, has_workspaces);
        passed &= system.block_on(run)?;
    }
    Ok(passed)
}

/// Parses the seeds and lengths of runs that failed before. The rest of a line is the cause.
fn parse_regressions(text: &str) -> Vec<(u64, Duration)> {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    let runs = lines.filter_map(|line| {
        let mut words = line.split_whitespace();
        let seed = words.next()?.parse().ok()?;
        Some((seed, Duration::from_secs(words.next()?.parse().ok()?)))
    });
    runs.collect()
}

async fn run_seed(
    programs: Programs,
    seed: u64,
    length: Duration,
    has_workspaces: bool,
) -> eyre::Result<bool> {
    let began = Instant::now();
    let plan = has_workspaces.then(|| workspaces::draw_plan(seed));
    let load = plan::draw_load(seed);
    let load = plan.as_ref().map_or(load, |plan| plan.load(load));
    let keys = plan.as_ref().map(|plan| Rc::new(KeyRing::new(plan, seed)));
    let cluster = Cluster::start(programs, seed, load, plan.as_ref().zip(keys.clone())).await?;
    let logs = start_workloads(&cluster, load, keys.as_ref(), seed);
    let rolled_back_at = Rc::new(RefCell::new(None));
    actix_rt::spawn(watch_move(cluster.clone(), rolled_back_at.clone()));
    let memory = Rc::new(RefCell::new(Vec::new()));
    actix_rt::spawn(read_memory(cluster.clone(), length / 2, memory.clone()));
    let processor_uses = Rc::new(RefCell::new(Vec::new()));
    actix_rt::spawn(read_processor_uses(cluster.clone(), processor_uses.clone()));
    let mut events = plan::draw(seed, NODES, length);
    if has_workspaces {
        events.extend(workspaces::draw_events(seed, NODES, length));
        events.sort_by_key(|(at, _)| *at);
    }
    let surges = perform_events(&cluster, &events, keys.as_ref(), seed).await?;
    cluster.clear_faults().await;
    actix_rt::time::sleep(RECOVERY_PERIOD).await;
    let watch_start = monotonic_millis();
    actix_rt::time::sleep(WATCH_PERIOD).await;
    for log in &logs {
        log.stopped.set(true);
    }
    // Calls in progress end within the timeout of their route.
    actix_rt::time::sleep(cluster::ROUTE_TIMEOUT).await;
    let move_state = cluster.move_state().await;
    let all_logs = logs.iter().chain(&surges);
    let records: Vec<CallRecord> = all_logs.flat_map(|log| log.records.take()).collect();
    let outputs: Vec<String> = (0..ALL_NODES)
        .map(|node| cluster.backend_output(node))
        .collect();
    let mut violations = cluster.violations.borrow().clone();
    let observations = Observations {
        calls: &records,
        backends: &outputs,
        faults: &cluster.faults.borrow(),
        rolled_back_at: *rolled_back_at.borrow(),
        processor_uses: &processor_uses.borrow(),
    };
    violations.extend(checker::check_run(&observations));
    let watched = records.iter().filter(|call| call.started_ms >= watch_start);
    let mut watched: Vec<&CallRecord> = watched.collect();
    violations.extend(checker::find_unserved_workloads(&watched));
    if let Some(plan) = &plan {
        let written = cluster.written.borrow();
        let check = workspace_checker::Check::new(&WorkspaceObservations {
            calls: &records,
            backends: &outputs,
            faults: observations.faults,
            written: &written,
            is_strict: plan.is_strict,
        });
        violations.extend(check.run());
        watched.retain(|call| !check.may_be_refused(call));
    }
    // A bad version that has not been rolled back yet fails calls.
    if cluster.move_to_bad_version.get() != Some(true) {
        violations.extend(checker::find_unserved_calls(&watched, load));
    }
    violations.extend(checker::find_growth(&memory.borrow(), &cluster.memory()));
    if cluster.move_to_bad_version.get() == Some(true) && move_state.as_deref() == Some("complete")
    {
        violations.push("move to a bad version was completed".into());
    }
    let served = records
        .iter()
        .filter(|call| call.outcome == CallOutcome::Status(200));
    let workspaces = match &plan {
        Some(plan) if plan.is_strict => "strict workspaces",
        Some(_) => "workspaces",
        None => "no workspaces",
    };
    println!(
        "seed {seed}: {load:?}, {workspaces}, {} events, {} calls, {} served, {} violations, {:.0} s",
        events.len(),
        records.len(),
        served.count(),
        violations.len(),
        began.elapsed().as_secs_f64()
    );
    print_violations(&cluster, seed, &violations, &records)?;
    Ok(violations.is_empty())
}

/// Prints the violations, and keeps the logs and the calls of a run that has some.
fn print_violations(
    cluster: &Cluster,
    seed: u64,
    violations: &[String],
    records: &[CallRecord],
) -> eyre::Result<()> {
    for text in violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  seed {seed}: {text}");
    }
    if violations.is_empty() {
        return Ok(());
    }
    let dir = cluster.keep_dir();
    println!("  seed {seed}: logs are in {}", dir.display());
    let mut file = BufWriter::new(File::create(dir.join(CALLS_FILE))?);
    for call in records {
        writeln!(file, "{call:?}")?;
    }
    for config in cluster.written.borrow().iter() {
        writeln!(file, "{config:?}")?;
    }
    Ok(file.flush()?)
}

/// Starts the callers and the probes of the configuration. Returns the calls of each workload.
fn start_workloads(
    cluster: &Rc<Cluster>,
    load: Load,
    keys: Option<&Rc<KeyRing>>,
    seed: u64,
) -> [Rc<CallLog>; 3] {
    let logs = Workload::ALL.map(|workload| {
        let prefix = format!("{workload:?}");
        Rc::new(CallLog::new(&prefix, workload, keys.cloned()))
    });
    for node in 0..NODES {
        let callers = load.callers;
        start_callers(cluster, &logs[0], node, callers, seed * 100);
        actix_rt::spawn(probe_config(cluster.clone(), node, keys.cloned()));
    }
    for node in cluster::unsafe_service_nodes() {
        // These nodes have no backend server for uploads, so that the bodies go from node to node.
        start_callers(cluster, &logs[2], node, 1, seed);
        start_callers(cluster, &logs[1], node - NODES, 1, seed);
    }
    logs
}

/// Performs the events at their times, and waits until they have ended. Returns the calls of the surges.
async fn perform_events(
    cluster: &Rc<Cluster>,
    events: &[(Duration, Event)],
    keys: Option<&Rc<KeyRing>>,
    seed: u64,
) -> eyre::Result<Vec<Rc<CallLog>>> {
    let started = Instant::now();
    let mut tasks = Vec::new();
    let mut surges = Vec::new();
    for (at, event) in events {
        actix_rt::time::sleep(at.saturating_sub(started.elapsed())).await;
        println!("seed {seed} at {} {event:?}", monotonic_millis());
        if let Event::Surge(workspace, duration) = *event {
            let prefix = format!("Surge{}", surges.len());
            let log = Rc::new(CallLog::new(&prefix, Workload::Mixed, keys.cloned()));
            surges.push(log.clone());
            let surge = run_surge(cluster.clone(), log, workspace, duration, seed);
            tasks.push(actix_rt::spawn(surge));
        } else {
            tasks.push(actix_rt::spawn(cluster.clone().perform(*event)));
        }
    }
    for task in tasks {
        task.await?;
    }
    Ok(surges)
}

fn start_callers(cluster: &Cluster, log: &Rc<CallLog>, node: usize, callers: usize, seed: u64) {
    let addr = cluster.caller_addr(node);
    for caller in 0..callers {
        let caller = u64::try_from(node * callers + caller).unwrap_or_default();
        actix_rt::spawn(caller::run(log.clone(), node, addr, seed + caller));
    }
}

/// Lets callers of a workspace call all nodes for a time.
async fn run_surge(
    cluster: Rc<Cluster>,
    log: Rc<CallLog>,
    workspace: usize,
    duration: Duration,
    seed: u64,
) {
    for node in 0..NODES {
        for caller in 0..SURGE_CALLERS {
            let number = u64::try_from(node * SURGE_CALLERS + caller).unwrap_or_default();
            let addr = cluster.caller_addr(node);
            let seed = seed * 100 + number;
            let calls = caller::run_surge(log.clone(), node, addr, seed, workspace);
            actix_rt::spawn(calls);
        }
    }
    actix_rt::time::sleep(duration).await;
    log.stopped.set(true);
}

/// Reads the processor use of the nodes at an interval.
async fn read_processor_uses(cluster: Rc<Cluster>, uses: Rc<RefCell<Vec<ProcessorUse>>>) {
    loop {
        uses.borrow_mut().extend(cluster.processor_uses());
        actix_rt::time::sleep(USE_INTERVAL).await;
    }
}

/// Reads the memory of the nodes once, `after` the start or after [`MAX_WARM_UP`], if that is shorter.
async fn read_memory(cluster: Rc<Cluster>, after: Duration, memory: Rc<RefCell<Vec<(u32, u64)>>>) {
    actix_rt::time::sleep(after.min(MAX_WARM_UP)).await;
    *memory.borrow_mut() = cluster.memory();
}

/// Calls the routes that configuration versions added, at an interval. A node must not revert to an older
/// configuration while its process lives.
async fn probe_config(cluster: Rc<Cluster>, node: usize, keys: Option<Rc<KeyRing>>) {
    let calls = CallLog::new(&format!("probe{node}"), Workload::Mixed, keys);
    let addr = cluster.caller_addr(node);
    let (mut seen, mut process_start) = (0, 0);
    loop {
        actix_rt::time::sleep(PROBE_INTERVAL).await;
        let newest = cluster.config_version.get();
        let started = cluster.node_started_ms.borrow()[node];
        if started != process_start {
            (seen, process_start) = (0, started);
        }
        for version in [seen, newest] {
            if version == 0 {
                continue;
            }
            let path = format!("/v{version}/x");
            let credential = calls.public_credential();
            let kind = CallKind::Idempotent;
            let outcome =
                caller::call(&calls, node, addr, kind, &path, credential, &mut None).await;
            let is_same_process = cluster.node_started_ms.borrow()[node] == process_start;
            match outcome {
                CallOutcome::Status(404) if version <= seen && is_same_process => {
                    let at = monotonic_millis();
                    let text = format!(
                        "node {node} reverted to a configuration before version {version} at {at}"
                    );
                    cluster.violations.borrow_mut().push(text);
                }
                CallOutcome::Status(200 | 500 | 502 | 504) if is_same_process => {
                    seen = seen.max(version);
                }
                _ => {}
            }
        }
    }
}

/// Records when the rollback of a bad version is seen.
async fn watch_move(cluster: Rc<Cluster>, rolled_back_at: Rc<RefCell<Option<u64>>>) {
    loop {
        actix_rt::time::sleep(PROBE_INTERVAL).await;
        if cluster.move_to_bad_version.get() == Some(true)
            && cluster.move_state().await.as_deref() == Some("reverted")
        {
            *rolled_back_at.borrow_mut() = Some(monotonic_millis());
            return;
        }
    }
}
