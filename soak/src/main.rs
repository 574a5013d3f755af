//! Randomized fault soak: runs sidecars, backend servers and a store as processes, injects faults from
//! outside, and checks what callers and backend servers see. See `docs/soak.md`.

use std::cell::RefCell;
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
use soak::cluster;
use soak::cluster::ALL_NODES;
use soak::cluster::Cluster;
use soak::cluster::NODES;
use soak::cluster::Programs;
use soak::plan;
use testbed::platform::backend::monotonic_millis;

/// Seeds and lengths of runs that failed before, with their causes.
const REGRESSIONS: &str = include_str!("../regressions.txt");
/// Time between two probes of a node's configuration or of the state of a move.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Time after the last fault in which calls may still fail.
const RECOVERY_PERIOD: Duration = Duration::from_secs(6);
/// Time after the recovery period in which every call must be served.
const WATCH_PERIOD: Duration = Duration::from_millis(1_500);
/// Largest time from the start of the faults to the first reading of the nodes' memory.
const MAX_WARM_UP: Duration = Duration::from_mins(1);
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
    let mut passed = true;
    for (seed, length) in runs {
        let system = actix_rt::System::new();
        passed &= system.block_on(run_seed(programs.clone(), seed, length))?;
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

async fn run_seed(programs: Programs, seed: u64, length: Duration) -> eyre::Result<bool> {
    let began = Instant::now();
    let load = plan::draw_load(seed);
    let cluster = Cluster::start(programs, seed, load).await?;
    let logs =
        Workload::ALL.map(|workload| Rc::new(CallLog::new(&format!("{workload:?}"), workload)));
    for node in 0..NODES {
        let callers = load.callers;
        start_callers(&cluster, &logs[0], node, callers, seed * 100);
        actix_rt::spawn(probe_config(cluster.clone(), node));
    }
    for node in cluster::unsafe_service_nodes() {
        // These nodes have no backend server for uploads, so that the bodies go from node to node.
        start_callers(&cluster, &logs[2], node, 1, seed);
        start_callers(&cluster, &logs[1], node - NODES, 1, seed);
    }
    let rolled_back_at = Rc::new(RefCell::new(None));
    actix_rt::spawn(watch_move(cluster.clone(), rolled_back_at.clone()));
    let events = plan::draw(seed, NODES, length);
    let started = Instant::now();
    let memory = Rc::new(RefCell::new(Vec::new()));
    actix_rt::spawn(read_memory(cluster.clone(), length / 2, memory.clone()));
    let mut tasks = Vec::new();
    for (at, event) in &events {
        actix_rt::time::sleep(at.saturating_sub(started.elapsed())).await;
        println!("seed {seed} at {} {event:?}", monotonic_millis());
        tasks.push(actix_rt::spawn(cluster.clone().perform(*event)));
    }
    for task in tasks {
        task.await?;
    }
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
    let records: Vec<CallRecord> = logs.iter().flat_map(|log| log.records.take()).collect();
    let outputs: Vec<String> = (0..ALL_NODES)
        .map(|node| cluster.backend_output(node))
        .collect();
    let mut violations = cluster.violations.borrow().clone();
    let observations = Observations {
        calls: &records,
        backends: &outputs,
        faults: &cluster.faults.borrow(),
        rolled_back_at: *rolled_back_at.borrow(),
    };
    violations.extend(checker::check_run(&observations));
    let watched = records.iter().filter(|call| call.started_ms >= watch_start);
    let watched: Vec<&CallRecord> = watched.collect();
    // A bad version that has not been rolled back yet fails calls.
    if cluster.move_to_bad_version.get() != Some(true) {
        violations.extend(checker::find_unserved_calls(&watched, load));
    }
    violations.extend(checker::find_unserved_workloads(&watched));
    violations.extend(checker::find_growth(&memory.borrow(), &cluster.memory()));
    if cluster.move_to_bad_version.get() == Some(true) && move_state.as_deref() == Some("complete")
    {
        violations.push("move to a bad version was completed".into());
    }
    let served = records
        .iter()
        .filter(|call| call.outcome == CallOutcome::Status(200));
    println!(
        "seed {seed}: {load:?}, {} events, {} calls, {} served, {} violations, {:.0} s",
        events.len(),
        records.len(),
        served.count(),
        violations.len(),
        began.elapsed().as_secs_f64()
    );
    for text in violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!("  seed {seed}: {text}");
    }
    if !violations.is_empty() {
        println!(
            "  seed {seed}: logs are in {}",
            cluster.keep_dir().display()
        );
    }
    Ok(violations.is_empty())
}

fn start_callers(cluster: &Cluster, log: &Rc<CallLog>, node: usize, callers: usize, seed: u64) {
    let addr = cluster.caller_addr(node);
    for caller in 0..callers {
        let caller = u64::try_from(node * callers + caller).unwrap_or_default();
        actix_rt::spawn(caller::run(log.clone(), node, addr, seed + caller));
    }
}

/// Reads the memory of the nodes once, `after` the start or after [`MAX_WARM_UP`], if that is shorter.
async fn read_memory(cluster: Rc<Cluster>, after: Duration, memory: Rc<RefCell<Vec<(u32, u64)>>>) {
    actix_rt::time::sleep(after.min(MAX_WARM_UP)).await;
    *memory.borrow_mut() = cluster.memory();
}

/// Calls the routes that configuration versions added, at an interval. A node must not revert to an older
/// configuration while its process lives.
async fn probe_config(cluster: Rc<Cluster>, node: usize) {
    let calls = CallLog::new(&format!("probe{node}"), Workload::Mixed);
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
            let outcome =
                caller::call(&calls, node, addr, CallKind::Idempotent, &path, &mut None).await;
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
