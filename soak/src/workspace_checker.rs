//! Checks a run with workspaces: keys, names of workspaces, quotas and fair shares. See `docs/soak.md`.
//!
//! A node may decide by each configuration that it may have in force. One is replaced by a later one a bounded
//! time after the store has acknowledged that, or after the end of the faults that kept the node from reading it.

use std::collections::BTreeMap;

use crate::caller::CallOutcome;
use crate::caller::CallRecord;
use crate::caller::Credential;
use crate::caller::Workload;
use crate::checker::parse_lines;
use crate::cluster::ALL_NODES;
use crate::cluster::CONFIG_WITHIN_MS;
use crate::cluster::FaultInterval;
use crate::cluster::FaultKind;
use crate::workspaces::REVOKE_WITHIN;
use crate::workspaces::SoakWorkspace;
use crate::workspaces::WrittenConfig;
use crate::workspaces::owner;

/// Time beyond the required one until a configuration is in force, for processes that wait for a processor.
const IN_FORCE_SLACK_MS: u64 = 250;
/// Window of a quota, as in the default settings of a node.
const QUOTA_WINDOW_MS: u64 = 5_000;
/// Requests beyond a quota, as a share of it, as in the default settings of a node.
const QUOTA_EXCESS: f64 = 0.1;
/// Requests beyond that, as in the default settings of a node.
const QUOTA_SLACK: f64 = 20.0;
/// Window in which shares are compared.
const SHARE_WINDOW_MS: u64 = 2_000;
/// Time between the starts of two such windows.
const SHARE_STEP_MS: u64 = 500;
/// Part of a window in which calls to one node count as having competed. Shares hold at each backend server: after a
/// fault, the calls of one moment or node may be refused for want of any backend server, and those of another be served.
/// With 250 ms, two of five runs without shares in the queue were not found, since few calls are served in a part.
const COMPETITION_MS: u64 = 1_000;
/// Time between the starts of two served calls, of all nodes and workspaces, from which on nobody counts as served in
/// between. Calls that are served start at most some 15 ms apart on average, also with the slowest backend servers.
const UNSERVED_MS: u64 = 100;
/// Part of its share, or of its calls if they are fewer, that a workspace gets at least.
const MIN_SERVED: f64 = 0.25;
/// Number of calls below which chance may refuse most of them.
const MIN_SHARE_CALLS: f64 = 20.0;
/// Result code of a call for which the queues of the backend servers are too long. Calls that are refused since a
/// node stops or knows no backend server say nothing about shares.
const OVERLOADED: u64 = 4_003;
/// Result code of a request beyond a quota.
const QUOTA_EXCEEDED: u64 = 4_019;
/// Prefix of the attempts of calls to public routes that no log has.
const PROBE_PREFIX: &str = "probe";

/// What was observed in a run with workspaces.
#[derive(Clone, Copy)]
pub struct WorkspaceObservations<'a> {
    /// Calls of all callers.
    pub calls: &'a [CallRecord],
    /// Output of the backend servers, indexed by node.
    pub backends: &'a [String],
    /// Faults that were injected.
    pub faults: &'a [FaultInterval],
    /// Configurations in the order in which they were written.
    pub written: &'a [WrittenConfig],
    /// Whether nodes refuse requests with a key while their view is old.
    pub is_strict: bool,
}

/// Run of a request: attempt, time, and workspace that the backend server was told.
type Run<'a> = (&'a str, u64, Option<&'a str>);

/// Check of one run.
pub struct Check<'a> {
    seen: WorkspaceObservations<'a>,
    /// Time until which each node may have a configuration in force, by configuration and node.
    in_force: Vec<Vec<u64>>,
    /// The same for decisions on keys.
    decides_keys: Vec<Vec<u64>>,
    /// Sorted.
    runs: Vec<Run<'a>>,
}

/// Returns when a node has a configuration in force that was acknowledged at `acked`: after the first time
/// `within` without a fault that keeps the node from reading it.
fn in_force_after(
    faults: &[FaultInterval],
    node: usize,
    acked: u64,
    within: u64,
    kinds: &[FaultKind],
) -> u64 {
    let mut at = acked + within;
    loop {
        let mut own = faults
            .iter()
            .filter(|fault| fault.node == node && kinds.contains(&fault.kind));
        let later = own.find(|fault| {
            let overlaps = fault.from <= at && fault.to >= acked;
            overlaps && fault.to + within > at
        });
        match later {
            Some(fault) => at = fault.to + within,
            None => return at,
        }
    }
}

fn workspace<'a>(config: &'a WrittenConfig, name: &str) -> Option<&'a SoakWorkspace> {
    config.workspaces.iter().find(|other| other.name == name)
}

/// Weight of a workspace when backend servers are contended.
fn weight(workspace: &SoakWorkspace) -> f64 {
    if workspace.per_s > 0.0 {
        workspace.per_s
    } else {
        1.0
    }
}

/// Call that was served, or refused because of the load.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct SharedCall<'a> {
    at: u64,
    node: usize,
    workspace: &'a str,
    is_served: bool,
}

/// Counts of a workspace in a window.
#[derive(Clone, Debug)]
struct Share<'a> {
    name: &'a str,
    priority: u8,
    /// Smallest and largest weight that a node may give it in the window.
    weights: (f64, f64),
    served: f64,
    refused: f64,
    /// Calls served and refused, by node and part of the window.
    parts: BTreeMap<(usize, u64), (f64, f64)>,
}

impl Share<'_> {
    fn served_in(&self, part: &(usize, u64)) -> f64 {
        self.parts.get(part).map_or(0.0, |(served, _)| *served)
    }
}

impl<'a> Check<'a> {
    /// Prepares the check of a run.
    #[must_use]
    pub fn new(seen: &WorkspaceObservations<'a>) -> Self {
        let within = CONFIG_WITHIN_MS + IN_FORCE_SLACK_MS;
        let revoke_within = u64::try_from(REVOKE_WITHIN.as_millis()).unwrap_or(u64::MAX);
        let strict_within = within.max(revoke_within + IN_FORCE_SLACK_MS);
        let faults = seen.faults;
        let node_faults = [
            FaultKind::StoreFault,
            FaultKind::StoreReverted,
            FaultKind::NodePaused,
        ];
        let replaced_at = |index: usize, node: usize, is_strict: bool| {
            let later = seen.written[index + 1..].iter();
            let later = later.filter(|config| !config.is_stale);
            let times = later.filter_map(|config| {
                let acked = config.acked_ms?;
                let at = in_force_after(faults, node, acked, within, &node_faults);
                if !is_strict {
                    return Some(at);
                }
                // An old view decides nothing, whatever keeps the node from reading.
                let kinds = [FaultKind::StoreReverted];
                Some(at.min(in_force_after(faults, node, acked, strict_within, &kinds)))
            });
            times.min().unwrap_or(u64::MAX)
        };
        let table = |is_strict| {
            let of_config = |index| {
                let nodes = 0..ALL_NODES;
                nodes
                    .map(|node| replaced_at(index, node, is_strict))
                    .collect()
            };
            (0..seen.written.len()).map(of_config).collect()
        };
        let mut runs: Vec<Run<'a>> = Vec::new();
        for output in seen.backends {
            let started = parse_lines(output).filter(|line| line.event == "run");
            runs.extend(started.map(|line| (line.detail, line.at, line.workspace)));
        }
        runs.sort_unstable();
        Self {
            seen: *seen,
            in_force: table(false),
            decides_keys: table(seen.is_strict),
            runs,
        }
    }

    /// Returns a description of each violation.
    #[must_use]
    pub fn run(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for call in self.seen.calls {
            violations.extend(self.check_call(call));
        }
        for (attempt, at, workspace) in &self.runs {
            if attempt.starts_with(PROBE_PREFIX) && workspace.is_some() {
                violations.push(format!(
                    "request {attempt} of a public route ran at {at} with a workspace"
                ));
            }
        }
        for (node, output) in self.seen.backends.iter().enumerate() {
            let leaks = parse_lines(output).filter(|line| line.event == "leak");
            violations.extend(leaks.map(|line| {
                let (path, at) = (line.detail, line.at);
                format!("backend server of node {node} got a key with {path} at {at}")
            }));
        }
        self.check_quotas(&mut violations);
        self.check_shares(&mut violations);
        violations
    }

    /// Whether a call may be refused by the rules on keys and quotas.
    #[must_use]
    pub fn may_be_refused(&self, call: &CallRecord) -> bool {
        let Credential::Key(key) = &call.credential else {
            return false;
        };
        match call.outcome {
            CallOutcome::Status(401) => true,
            CallOutcome::Status(503) => self.owners(call, key, call.ended_ms).contains(&None),
            CallOutcome::Status(429) => call.code == Some(QUOTA_EXCEEDED),
            _ => false,
        }
    }

    fn runs_of(&self, attempt: &str) -> &[Run<'a>] {
        let from = self.runs.partition_point(|(other, ..)| *other < attempt);
        let rest = &self.runs[from..];
        &rest[..rest.partition_point(|(other, ..)| *other == attempt)]
    }

    /// Configurations by which the entry node of a call may have judged its key until a time.
    fn judged_by(&self, call: &CallRecord, to: u64) -> impl Iterator<Item = &'a WrittenConfig> {
        let written = self.seen.written.iter().zip(&self.decides_keys);
        let possible = written.filter(move |(config, until)| {
            config.sent_ms <= to && until[call.node] >= call.started_ms
        });
        possible.map(|(config, _)| config)
    }

    /// Owners that the key of a call may have had, `None` for no owner.
    fn owners(&self, call: &CallRecord, key: &str, to: u64) -> Vec<Option<&'a str>> {
        let configs = self.judged_by(call, to);
        let mut owners: Vec<_> = configs
            .map(|config| owner(&config.workspaces, key))
            .collect();
        owners.sort_unstable();
        owners.dedup();
        owners
    }

    fn check_call(&self, call: &CallRecord) -> Option<String> {
        let runs = self.runs_of(&call.attempt);
        let Credential::Key(key) = &call.credential else {
            let named = runs.iter().any(|(.., workspace)| workspace.is_some());
            return named.then(|| format!("public call ran with a workspace: {call:?}"));
        };
        for (_, at, workspace) in runs {
            let owners = self.owners(call, key, *at);
            if owners.iter().all(Option::is_none) {
                return Some(format!("request without a valid key ran at {at}: {call:?}"));
            }
            if workspace.is_none() || !owners.contains(workspace) {
                return Some(format!(
                    "request ran at {at} as {workspace:?}, but its key belongs to {owners:?}: {call:?}"
                ));
            }
        }
        match call.outcome {
            CallOutcome::Status(401) if !self.owners(call, key, call.ended_ms).contains(&None) => {
                Some(format!("valid key was refused: {call:?}"))
            }
            CallOutcome::Status(429) if call.code == Some(QUOTA_EXCEEDED) => {
                let mut configs = self.judged_by(call, call.ended_ms);
                let has_quota = |config: &WrittenConfig| {
                    let mut owners = config.workspaces.iter();
                    owners.any(|other| other.per_s > 0.0 && other.keys.contains(key))
                };
                let is_limited = configs.any(has_quota);
                (!is_limited).then(|| format!("refused by a quota that there is not: {call:?}"))
            }
            _ => None,
        }
    }

    /// Largest number of requests of a workspace that may be sent and run in a window. A lowered quota binds one
    /// window after it is in force at all nodes.
    fn quota_limit(&self, name: &str, from: u64) -> f64 {
        let to = from + QUOTA_WINDOW_MS;
        let written = self.seen.written.iter().zip(&self.in_force);
        let possible = written.filter(|(config, until)| {
            let until = until.iter().max().copied().unwrap_or(u64::MAX);
            config.sent_ms <= to && until.saturating_add(QUOTA_WINDOW_MS) >= from
        });
        let limits = possible.map(|(config, _)| match workspace(config, name) {
            Some(workspace) if workspace.per_s > 0.0 => {
                #[allow(clippy::cast_precision_loss, reason = "a few seconds")]
                let window_s = QUOTA_WINDOW_MS as f64 / 1e3;
                let within = workspace.per_s * window_s + workspace.burst;
                within * (1.0 + QUOTA_EXCESS) + QUOTA_SLACK
            }
            _ => f64::INFINITY,
        });
        limits.fold(0.0, f64::max)
    }

    fn check_quotas(&self, violations: &mut Vec<String>) {
        // Workspace, start of the call, first run.
        let mut requests: Vec<(&str, u64, u64)> = Vec::new();
        for call in self.seen.calls {
            let first = self.runs_of(&call.attempt).first();
            if let Some((_, at, Some(workspace))) = first {
                requests.push((workspace, call.started_ms, *at));
            }
        }
        requests.sort_unstable();
        for own in requests.chunk_by(|a, b| a.0 == b.0) {
            let mut worst: Option<(f64, f64, u64)> = None;
            for (index, (name, from, _)) in own.iter().enumerate() {
                let to = from + QUOTA_WINDOW_MS;
                let sent = own[index..].iter().take_while(|(_, sent, _)| *sent <= to);
                let count = count(sent.filter(|(.., run)| *run <= to));
                let limit = self.quota_limit(name, *from);
                let excess = count - limit;
                if excess > 0.0 && worst.is_none_or(|(most, limit, _)| excess > most - limit) {
                    worst = Some((count, limit, *from));
                }
            }
            if let Some((count, limit, from)) = worst {
                let name = own[0].0;
                violations.push(format!(
                    "{count} requests of {name} ran in the window from {from}, {limit:.1} are allowed"
                ));
            }
        }
    }

    fn check_shares(&self, violations: &mut Vec<String>) {
        let mut calls: Vec<SharedCall<'_>> = Vec::new();
        for call in self.seen.calls {
            let Credential::Key(key) = &call.credential else {
                continue;
            };
            let is_served = match call.outcome {
                CallOutcome::Status(200) => true,
                CallOutcome::Status(503) if call.code == Some(OVERLOADED) => false,
                _ => continue,
            };
            // All calls of this workload have the same backend servers.
            if call.workload != Workload::Mixed {
                continue;
            }
            if let [Some(workspace)] = self.owners(call, key, call.ended_ms)[..] {
                calls.push(SharedCall {
                    at: call.started_ms,
                    node: call.node,
                    workspace,
                    is_served,
                });
            }
        }
        calls.sort_unstable();
        let Some(mut from) = calls.first().map(|call| call.at) else {
            return;
        };
        let last = calls.last().map_or(0, |call| call.at);
        let calls = competing_calls(&calls);
        while from + SHARE_WINDOW_MS <= last {
            let to = from + SHARE_WINDOW_MS;
            let begin = calls.partition_point(|call| call.at < from);
            let end = calls.partition_point(|call| call.at < to);
            let shares = self.shares(&calls[begin..end], from, to);
            if let Some(text) = find_unfair_share(&shares) {
                violations.push(format!("in the window from {from}: {text}"));
                return;
            }
            from += SHARE_STEP_MS;
        }
    }

    /// Counts the calls of each workspace.
    fn shares(&self, calls: &[SharedCall<'_>], from: u64, to: u64) -> Vec<Share<'a>> {
        let written = self.seen.written.iter().zip(&self.in_force);
        let possible = written.filter(|(config, until)| {
            let until = until.iter().max().copied().unwrap_or(u64::MAX);
            config.sent_ms <= to && until >= from
        });
        let configs: Vec<&WrittenConfig> = possible.map(|(config, _)| config).collect();
        let share = |known: &'a SoakWorkspace| {
            let own = || calls.iter().filter(|call| call.workspace == known.name);
            let mut parts = BTreeMap::<_, (f64, f64)>::new();
            for call in own() {
                let part = (call.node, (call.at - from) / COMPETITION_MS);
                let (served, refused) = parts.entry(part).or_default();
                *(if call.is_served { served } else { refused }) += 1.0;
            }
            let weights = || {
                let found = configs.iter();
                found.filter_map(|config| workspace(config, &known.name).map(weight))
            };
            Share {
                name: &known.name,
                priority: known.priority,
                weights: (
                    weights().fold(f64::INFINITY, f64::min),
                    weights().fold(0.0, f64::max),
                ),
                served: count(own().filter(|call| call.is_served)),
                refused: count(own().filter(|call| !call.is_served)),
                parts,
            }
        };
        let first = self.seen.written.first();
        let all = first
            .into_iter()
            .flat_map(|config| config.workspaces.iter());
        all.map(share).collect()
    }
}

/// Returns the calls, sorted by start, without those that were refused while nobody was served. No workspace got
/// more than its share of the calls that began then.
fn competing_calls<'a>(calls: &[SharedCall<'a>]) -> Vec<SharedCall<'a>> {
    let served = calls.iter().filter(|call| call.is_served);
    let served: Vec<u64> = served.map(|call| call.at).collect();
    let is_competing = |call: &&SharedCall<'_>| {
        let later = served.partition_point(|at| *at < call.at);
        let before = later.checked_sub(1).map(|index| served[index]);
        let pair = before.zip(served.get(later));
        call.is_served || pair.is_some_and(|(before, later)| later - before < UNSERVED_MS)
    };
    calls.iter().filter(is_competing).copied().collect()
}

#[allow(clippy::cast_precision_loss, reason = "numbers of calls are small")]
fn count<T>(items: impl Iterator<Item = T>) -> f64 {
    items.count() as f64
}

/// Returns a workspace that gets less than a quarter of its share, or of its calls if they are fewer, while others
/// of its priority get more than their shares. In each part of the window, the share is one of the calls that were
/// served in it.
fn find_unfair_share(shares: &[Share<'_>]) -> Option<String> {
    for share in shares {
        let others = || {
            let others = shares.iter().filter(|other| other.name != share.name);
            let same = others.filter(|other| other.priority == share.priority);
            same.filter(|other| other.served + other.refused > 0.0)
        };
        // The least that the share may be, whatever weights the nodes have in force.
        let (own_weight, _) = share.weights;
        let weights = own_weight + others().map(|other| other.weights.1).sum::<f64>();
        let served = share.served + others().map(|other| other.served).sum::<f64>();
        let average = served / weights;
        let due_in = |(part, (own_served, refused)): (&(usize, u64), &(f64, f64))| {
            let served = own_served + others().map(|other| other.served_in(part)).sum::<f64>();
            (served / weights * own_weight).min(own_served + refused)
        };
        let due: f64 = share.parts.iter().map(due_in).sum();
        let others_get_more = others().any(|other| other.served > average * other.weights.1);
        if due >= MIN_SHARE_CALLS && share.served < MIN_SERVED * due && others_get_more {
            let counts = |share: &Share<'_>| {
                let (name, (least, most)) = (share.name, share.weights);
                format!(
                    "{name} (weight {least} to {most}, priority {}) {} served, {} refused",
                    share.priority, share.served, share.refused
                )
            };
            let all: Vec<String> = shares.iter().map(counts).collect();
            return Some(format!(
                "{} got {} of {due:.0} calls that were due to it: {}",
                share.name,
                share.served,
                all.join("; ")
            ));
        }
    }
    None
}
