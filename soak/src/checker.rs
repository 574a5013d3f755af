//! Checks a run: searches the records of callers and backend servers for violations.

use std::time::Duration;

use crate::caller::CallKind;
use crate::caller::CallOutcome;
use crate::caller::CallRecord;
use crate::caller::Credential;
use crate::caller::Workload;
use crate::cluster::FaultInterval;
use crate::cluster::FaultKind;
use crate::cluster::NEW_VERSION;
use crate::cluster::ROUTE_TIMEOUT;
use crate::plan::Load;

/// Time that a node may hold a call beyond the timeout of its route, by the platform's rules.
const ROUTE_TIMEOUT_SLACK: Duration = Duration::from_millis(250);
/// Time after the acknowledgement of a leave in which requests that were in flight may still start.
const IN_FLIGHT_MS: u64 = 200;
/// Time after the end of a fault in which requests that it delayed may still arrive.
const DELAYED_ARRIVAL_MS: u64 = 500;
/// Time after the rollback of a bad version in which nodes may still send calls to it.
const ROLLBACK_SLACK_MS: u64 = 2_000;
/// Maximum number of attempts of an idempotent call, as the routes are configured.
const MAX_ATTEMPTS: usize = 2;
/// Growth of a process from the first reading to the end above which it counts as unbounded. A node has
/// 32 MB for control.
const MAX_GROWTH_KIB: u64 = 32 << 10;

/// A line of a backend server's output: an event, its time in milliseconds and its subject.
pub(crate) struct BackendLine<'a> {
    pub(crate) event: &'a str,
    pub(crate) at: u64,
    pub(crate) detail: &'a str,
    /// Name of the workspace of a request that is run.
    pub(crate) workspace: Option<&'a str>,
}

pub(crate) fn parse_lines(output: &str) -> impl Iterator<Item = BackendLine<'_>> {
    output.lines().filter_map(|line| {
        let mut words = line.split(' ');
        Some(BackendLine {
            event: words.next()?,
            at: words.next()?.parse().ok()?,
            detail: words.next()?,
            workspace: words.next(),
        })
    })
}

/// What was observed in a run.
pub struct Observations<'a> {
    /// Calls of all callers.
    pub calls: &'a [CallRecord],
    /// Output of the backend servers, indexed by node.
    pub backends: &'a [String],
    /// Faults that were injected.
    pub faults: &'a [FaultInterval],
    /// Time at which the rollback of a move to a bad version was seen.
    pub rolled_back_at: Option<u64>,
    /// Readings of the processor use of the nodes, in the order of time.
    pub processor_uses: &'a [ProcessorUse],
}

/// Reading of the processor use of a node.
#[derive(Clone, Copy, Debug)]
pub struct ProcessorUse {
    /// Index of the node.
    pub node: usize,
    /// Process id of the node.
    pub pid: u32,
    /// Time of the reading, milliseconds of the monotonic clock.
    pub at: u64,
    /// Processor time of its first thread since the start of the process.
    pub ran: Duration,
    /// Time since then for which that thread was ready to run and waited for a processor.
    pub waited: Duration,
}

/// Returns how long a node ran and waited for a processor from one time to another one, as far as the readings of one
/// process show it. Of the time between two readings, the part counts that lies between the two times.
fn processor_use(uses: &[ProcessorUse], node: usize, from: u64, to: u64) -> (Duration, Duration) {
    let own: Vec<&ProcessorUse> = uses.iter().filter(|used| used.node == node).collect();
    let pairs = own.windows(2).filter(|pair| pair[0].pid == pair[1].pid);
    let (mut ran, mut waited) = (Duration::ZERO, Duration::ZERO);
    for pair in pairs {
        let length = Duration::from_millis(pair[1].at.saturating_sub(pair[0].at));
        let inside = pair[1].at.min(to).saturating_sub(pair[0].at.max(from));
        let inside = Duration::from_millis(inside);
        if inside.is_zero() {
            continue;
        }
        let part = inside.div_duration_f64(length);
        let share =
            |before, after: Duration| after.saturating_sub(before).mul_f64(part).min(inside);
        ran += share(pair[0].ran, pair[1].ran);
        waited += share(pair[0].waited, pair[1].waited);
    }
    (ran, waited)
}

/// Returns a description of each violation.
#[must_use]
pub fn check_run(observations: &Observations<'_>) -> Vec<String> {
    let mut runs: Vec<(&str, u64)> = Vec::new();
    for output in observations.backends {
        let started = parse_lines(output).filter(|line| line.event == "run");
        runs.extend(started.map(|line| (line.detail, line.at)));
    }
    runs.sort_unstable();
    let mut violations = Vec::new();
    for call in observations.calls {
        let from = runs.partition_point(|(attempt, _)| *attempt < call.attempt.as_str());
        let own = runs[from..].iter();
        let count = own
            .take_while(|(attempt, _)| *attempt == call.attempt)
            .count();
        if let Some(why) = check_call(call, count, observations) {
            violations.push(format!("{why}: {call:?}, {count} runs"));
        }
    }
    for (node, output) in observations.backends.iter().enumerate() {
        check_leaves(node, output, observations.faults, &mut violations);
    }
    if let Some(rolled_back_at) = observations.rolled_back_at {
        let late = observations.calls.iter().filter(|call| {
            call.version.as_deref() == Some(NEW_VERSION)
                && call.started_ms > rolled_back_at + ROLLBACK_SLACK_MS
        });
        violations.extend(
            late.map(|call| format!("call reached a bad version after its rollback: {call:?}")),
        );
    }
    violations
}

fn overlaps(faults: &[FaultInterval], node: usize, kind: FaultKind, from: u64, to: u64) -> bool {
    let mut on_node = faults.iter().filter(|other| other.node == node);
    on_node.any(|other| other.kind == kind && other.from <= to && other.to >= from)
}

fn check_call(call: &CallRecord, runs: usize, observations: &Observations<'_>) -> Option<String> {
    if let Some(why) = &call.violation {
        return Some(why.clone());
    }
    let during = |kind| {
        overlaps(
            observations.faults,
            call.node,
            kind,
            call.started_ms,
            call.ended_ms,
        )
    };
    let was_killed = during(FaultKind::NodeKilled);
    let was_paused = during(FaultKind::NodePaused);
    let allowed = match call.kind {
        CallKind::NonIdempotent => 1,
        CallKind::Idempotent => MAX_ATTEMPTS,
    };
    if runs > allowed {
        return Some(format!("request ran more than {allowed} times"));
    }
    let held = Duration::from_millis(call.ended_ms - call.started_ms);
    let is_late = held > ROUTE_TIMEOUT + ROUTE_TIMEOUT_SLACK && !was_killed && !was_paused;
    // On a busy machine, a node may wait for a processor longer than the slack.
    let uses = observations.processor_uses;
    let (ran, waited) = if is_late {
        processor_use(uses, call.node, call.started_ms, call.ended_ms)
    } else {
        (Duration::ZERO, Duration::ZERO)
    };
    let held_too_long = is_late && held > ROUTE_TIMEOUT + ROUTE_TIMEOUT_SLACK + waited;
    match call.outcome {
        CallOutcome::Status(401 | 408 | 421 | 429 | 503) if runs > 0 => {
            Some("request was refused as not run, but it ran".into())
        }
        CallOutcome::Status(200 | 401 | 408 | 421 | 429 | 500 | 502 | 503 | 504)
            if held_too_long =>
        {
            Some(format!(
                "response came only after {held:?}, in which its node ran for {ran:.0?} and waited {waited:.0?} for a processor"
            ))
        }
        CallOutcome::Status(200 | 408 | 421 | 429 | 500 | 502 | 503 | 504)
        | CallOutcome::NoConnection => None,
        // The check of the workspaces judges whether the key is valid.
        CallOutcome::Status(401) if matches!(call.credential, Credential::Key(_)) => None,
        CallOutcome::Status(status) => Some(format!("unexpected status {status}")),
        CallOutcome::Incomplete if was_killed => None,
        CallOutcome::Incomplete => Some("response is incomplete".into()),
        CallOutcome::NoResponse if runs == 0 || was_killed => None,
        CallOutcome::NoResponse => {
            Some("request ran, but the connection ended without a response".into())
        }
        CallOutcome::TimedOut if was_killed || was_paused => None,
        CallOutcome::TimedOut => Some("no complete response within the timeout".into()),
    }
}

/// Checks that no request starts to run after the backend server's leave was acknowledged.
fn check_leaves(node: usize, output: &str, faults: &[FaultInterval], violations: &mut Vec<String>) {
    let mut left: Option<u64> = None;
    for line in parse_lines(output) {
        match (line.event, left) {
            ("start", _) => left = None,
            ("left", _) => left = Some(line.at),
            ("run", Some(at)) if line.at > at + IN_FLIGHT_MS => {
                let kind = FaultKind::BackendFault;
                let is_explained = overlaps(
                    faults,
                    node,
                    kind,
                    at.saturating_sub(DELAYED_ARRIVAL_MS),
                    line.at,
                ) || overlaps(
                    faults,
                    node,
                    FaultKind::NodePaused,
                    at.saturating_sub(DELAYED_ARRIVAL_MS),
                    line.at,
                );
                if !is_explained {
                    let late = line.at - at;
                    violations.push(format!(
                        "request {} started on the backend server of node {node} {late} ms after the leave was acknowledged",
                        line.detail
                    ));
                }
            }
            _ => {}
        }
    }
}

/// Returns the calls that started after the recovery period and were not served, but for those that were
/// refused because of the load.
#[must_use]
pub fn find_unserved_calls(watched: &[&CallRecord], load: Load) -> Vec<String> {
    let unserved = watched.iter().filter(|call| match call.outcome {
        CallOutcome::Status(200) => false,
        // The callers of the service without idempotent routes never fill its slots.
        CallOutcome::Status(503) => load.is_light() || call.workload == Workload::UnsafeService,
        _ => true,
    });
    unserved
        .map(|call| format!("call was not served after the faults ended: {call:?}"))
        .collect()
}

/// Returns the workloads of which no call that started after the recovery period was served.
#[must_use]
pub fn find_unserved_workloads(watched: &[&CallRecord]) -> Vec<String> {
    let is_served = |workload: &Workload| {
        let mut calls = watched.iter().filter(|call| call.workload == *workload);
        calls.any(|call| call.outcome == CallOutcome::Status(200))
    };
    let unserved = Workload::ALL.iter().filter(|workload| !is_served(workload));
    unserved
        .map(|workload| format!("{workload:?}: nothing was served after the faults ended"))
        .collect()
}

/// Returns the processes that have grown beyond the bound since the first reading. Each has a process id and
/// its resident memory in KiB.
#[must_use]
pub fn find_growth(first: &[(u32, u64)], last: &[(u32, u64)]) -> Vec<String> {
    let first_of = |pid| first.iter().find(|(other, _)| *other == pid);
    let grown = last.iter().filter_map(|(pid, now)| {
        let (_, before) = first_of(*pid)?;
        let has_grown = *now > before + MAX_GROWTH_KIB;
        has_grown.then(|| format!("process {pid} has grown from {before} to {now} KiB"))
    });
    grown.collect()
}
