//! Judges a run by what callers and backend servers saw.

use std::time::Duration;

use crate::caller::CallEnd;
use crate::caller::CallKind;
use crate::caller::CallRecord;
use crate::world::Disturbance;
use crate::world::DisturbanceKind;
use crate::world::NEW_VERSION;
use crate::world::ROUTE_LIMIT;

/// Time that a node may hold a call beyond the limit of its route, by the platform's rules.
const HOLD_SLACK: Duration = Duration::from_millis(250);
/// Time after the acknowledgement of a leave in which a request that was on its way still runs.
const ON_ITS_WAY: u64 = 200;
/// Time after the end of a disturbance in which requests that it has held up arrive.
const HELD_UP: u64 = 500;
/// Time after the end of a bad version by which no node sends calls to it any more.
const MOVE_SLACK: u64 = 2_000;
/// Backend servers that an idempotent call may run at, by the routes.
const ATTEMPTS: usize = 2;

/// A line of a backend server's output.
struct BackendLine<'a> {
    event: &'a str,
    at: u64,
    detail: &'a str,
}

fn lines(output: &str) -> impl Iterator<Item = BackendLine<'_>> {
    output.lines().filter_map(|line| {
        let mut words = line.split(' ');
        Some(BackendLine {
            event: words.next()?,
            at: words.next()?.parse().ok()?,
            detail: words.next()?,
        })
    })
}

/// What a run left behind.
pub struct Evidence<'a> {
    /// Calls of all callers.
    pub calls: &'a [CallRecord],
    /// Output of the backend servers by node.
    pub backends: &'a [String],
    /// What was done.
    pub disturbances: &'a [Disturbance],
    /// Time at which the move to a bad version was seen to be taken back.
    pub reverted_at: Option<u64>,
}

/// Returns what was wrong.
#[must_use]
pub fn judge(evidence: &Evidence<'_>) -> Vec<String> {
    let mut runs: Vec<(&str, u64)> = Vec::new();
    for output in evidence.backends {
        let run = lines(output).filter(|line| line.event == "run");
        runs.extend(run.map(|line| (line.detail, line.at)));
    }
    runs.sort_unstable();
    let mut wrong = Vec::new();
    for call in evidence.calls {
        let from = runs.partition_point(|(attempt, _)| *attempt < call.attempt.as_str());
        let own = runs[from..].iter();
        let count = own
            .take_while(|(attempt, _)| *attempt == call.attempt)
            .count();
        if let Some(why) = judge_call(call, count, evidence.disturbances) {
            wrong.push(format!("{why}: {call:?}, {count} runs"));
        }
    }
    for (node, output) in evidence.backends.iter().enumerate() {
        judge_leaves(node, output, evidence.disturbances, &mut wrong);
    }
    if let Some(reverted_at) = evidence.reverted_at {
        let late = evidence.calls.iter().filter(|call| {
            call.version.as_deref() == Some(NEW_VERSION) && call.began > reverted_at + MOVE_SLACK
        });
        wrong.extend(late.map(|call| format!("a bad version that was taken back: {call:?}")));
    }
    wrong
}

fn overlaps(
    disturbances: &[Disturbance],
    node: usize,
    kind: DisturbanceKind,
    from: u64,
    to: u64,
) -> bool {
    let mut of_node = disturbances.iter().filter(|other| other.node == node);
    of_node.any(|other| other.kind == kind && other.from <= to && other.to >= from)
}

fn judge_call(call: &CallRecord, runs: usize, disturbances: &[Disturbance]) -> Option<String> {
    if let Some(why) = &call.wrong {
        return Some(why.clone());
    }
    let during = |kind| overlaps(disturbances, call.node, kind, call.began, call.ended);
    let was_killed = during(DisturbanceKind::Killed);
    let was_paused = during(DisturbanceKind::Paused);
    let allowed = match call.kind {
        CallKind::Once => 1,
        CallKind::Idempotent => ATTEMPTS,
    };
    if runs > allowed {
        return Some(format!("it may run {allowed} times"));
    }
    let held = Duration::from_millis(call.ended - call.began);
    let held_too_long = held > ROUTE_LIMIT + HOLD_SLACK && !was_killed && !was_paused;
    match call.end {
        CallEnd::Status(408 | 421 | 429 | 503) if runs > 0 => {
            Some("a refusal that is not true".into())
        }
        CallEnd::Status(200 | 408 | 421 | 429 | 500 | 502 | 503 | 504) if held_too_long => {
            Some(format!("held for {held:?}"))
        }
        CallEnd::Status(200 | 408 | 421 | 429 | 500 | 502 | 503 | 504) | CallEnd::NoConnection => {
            None
        }
        CallEnd::Status(status) => Some(format!("status {status}")),
        CallEnd::Cut if was_killed => None,
        CallEnd::Cut => Some("a cut answer".into()),
        CallEnd::NoAnswer if runs == 0 || was_killed => None,
        CallEnd::NoAnswer => Some("a request that ran was not answered".into()),
        CallEnd::TimedOut if was_killed || was_paused => None,
        CallEnd::TimedOut => Some("no answer in time".into()),
    }
}

/// No request may begin to run after the acknowledgement of a leave.
fn judge_leaves(node: usize, output: &str, disturbances: &[Disturbance], wrong: &mut Vec<String>) {
    let mut left: Option<u64> = None;
    for line in lines(output) {
        match (line.event, left) {
            ("start", _) => left = None,
            ("left", _) => left = Some(line.at),
            ("run", Some(at)) if line.at > at + ON_ITS_WAY => {
                let kind = DisturbanceKind::BackendDisturbed;
                let is_held_up = overlaps(
                    disturbances,
                    node,
                    kind,
                    at.saturating_sub(HELD_UP),
                    line.at,
                ) || overlaps(
                    disturbances,
                    node,
                    DisturbanceKind::Paused,
                    at.saturating_sub(HELD_UP),
                    line.at,
                );
                if !is_held_up {
                    let late = line.at - at;
                    wrong.push(format!(
                        "{} began to run on node {node}'s backend server {late} ms after its leave was acknowledged",
                        line.detail
                    ));
                }
            }
            _ => {}
        }
    }
}
