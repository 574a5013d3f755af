//! Rollouts: shifts traffic to a new version step by step while the evidence allows it, and rolls a bad
//! version back, see `docs/design.md`, section 6.

mod active;
mod observation;
mod sample;

use std::cmp::Reverse;
use std::time::Duration;

use crate::coordination::evidence::Tally;
use crate::coordination::evidence::latency_bucket;
use crate::coordination::rollout::active::ActiveRollout;
use crate::coordination::rollout::active::TickContext;
use crate::coordination::rollout::observation::PendingCrash;
use crate::protocol::document::VersionShare;
use crate::protocol::gossip::EvidenceReport;
use crate::protocol::gossip::Rollback;
use crate::protocol::gossip::RolloutKey;
use crate::protocol::gossip::RolloutProgress;
use crate::protocol::name::NodeId;
use crate::protocol::name::RouteName;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;
use crate::protocol::record::VersionedDocument;
use crate::protocol::time::WallMs;

pub use crate::coordination::rollout::sample::CallOutcome;
pub use crate::coordination::rollout::sample::CallSample;
pub use crate::coordination::rollout::sample::CrashSample;
pub use crate::coordination::rollout::sample::RolloutAction;
pub use crate::coordination::rollout::sample::Shares;

/// Time before the start of a rollout at which the serving nodes begin to exchange reports, so that the
/// baseline of the old version is known when the first call reaches the new one.
pub const WARM_UP: Duration = Duration::from_secs(30);
/// Interval between two reports of a node.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Gap between two reports of a node above which the second one only sets a new starting point for its
/// counters.
pub const MAX_REPORT_GAP: Duration = Duration::from_millis(2_500);
/// Maximum number of routes in one report: with 32 buckets of up to 5 bytes and a name each, five fit a
/// datagram.
pub const MAX_REPORT_ROUTES: usize = 5;
/// Minimum time in a step, unless the schedule is too tight; long enough for reports of all nodes to
/// arrive.
pub const MIN_DWELL: Duration = Duration::from_secs(3);
/// A step may end early after its time budget divided by this number.
pub const DWELL_DIVISOR: u32 = 2;
/// Time before `finish_by` at which the last step begins at the latest; covers clock differences of
/// 1 s and the propagation of the rumor. At most a quarter of the schedule.
pub const FINISH_MARGIN: Duration = Duration::from_secs(4);
/// Maximum share of the new version in the first step, percent.
pub const MAX_FIRST_SHARE: u8 = 10;
/// Time for each step of a rollout that began too late for its schedule.
pub const LATE_STEP_TIME: Duration = Duration::from_secs(5);
/// Time that a node waits for the progress of other nodes before it begins a rollout whose start time has
/// passed.
pub const BEGIN_GRACE: Duration = Duration::from_secs(2);
/// Maximum utilization of the new version's slots that a step may cause, percent.
pub const MAX_SLOT_UTILIZATION_PERCENT: f64 = 80.0;
/// Delay before a crash counts against the version, in which a quarantined request may explain it. A
/// caller's retry of such a request crashes a second backend server within a second, and the rumor of that
/// crash takes another second.
pub const CRASH_CONFIRM_TIME: Duration = Duration::from_secs(3);
/// Crashes of the new version at which it is rolled back.
pub const MIN_CRASHES: u32 = 3;
/// Additional crashes of the new version required for each crash of the old one.
pub const CRASH_RATIO: u32 = 3;
/// Share of the new version in a probe after a large rise of its failure rate, percent. The calls of the
/// old version then show within seconds whether the rise has another cause, while few calls fail.
pub const SEVERE_PROBE_SHARE: u8 = 10;
/// Share of the new version in a probe after a small rise, percent. Confirming it takes many calls of both
/// versions.
pub const MILD_PROBE_SHARE: u8 = 50;
/// Rate of failed or slow calls from which a rise counts as large.
pub const SEVERE_RATE: f64 = 0.3;
/// Calls of each version after which a probe for a large rise ends without a finding.
pub const SEVERE_PROBE_CALLS: u32 = 50;
/// Calls of each version after which a probe for a small rise ends without a finding.
pub const MILD_PROBE_CALLS: u32 = 2_000;
/// Minimum duration of a probe; covers the propagation of the rumor and several reports.
pub const MIN_PROBE_TIME: Duration = Duration::from_secs(6);
/// Initial part of a probe whose calls do not count: reports still contain calls from before the probe,
/// when the old version had no traffic.
pub const PROBE_SETTLE_TIME: Duration = Duration::from_secs(2);
/// Maximum duration of a probe.
pub const MAX_PROBE_TIME: Duration = Duration::from_mins(1);
/// Minimum time between two probes, doubled after each probe.
pub const PROBE_BACKOFF: Duration = Duration::from_secs(3);
/// Consecutive probes without a fault after which the next rise of the failure rate at 100 % is attributed
/// to the load on the new version.
pub const LOAD_FAULT_PROBES: u8 = 2;
/// Maximum time from a probe to the next rise of the failure rate for which that rise is still attributed
/// to the load.
pub const LOAD_FAULT_TIME: Duration = Duration::from_mins(1);
/// Failed or slow calls expected in a probe, at the rate before the probe, from which their absence shows
/// that the fault has disappeared.
pub const MIN_EXPECTED_BAD_CALLS: f64 = 20.0;
/// Maximum number of probes in one hold period.
pub const MAX_PROBES: u8 = 20;
/// Time without ticks above which this process is taken to have been paused: its own measurements from that
/// time are wrong.
pub const PROCESS_PAUSE: Duration = Duration::from_secs(1);
/// Time after a pause in which the node makes no decisions, since it is still reading delayed reports.
pub const PROCESS_PAUSE_GRACE: Duration = Duration::from_millis(1_500);
/// Delay of the next step after which a rollout counts as stalled.
pub const STALL_TIME: Duration = Duration::from_secs(10);
/// Minimum time between two outcomes that report the same stalled rollout.
pub const STALL_REPORT_INTERVAL: Duration = Duration::from_mins(1);
/// Maximum number of serving nodes of one service whose reports are kept; a service has about 7 backend
/// servers.
pub const MAX_REPORTERS: usize = 64;
/// Source number of the local backend server in the evidence; the number of another backend server is the
/// index of its node in the list of reporters.
const LOCAL_SOURCE: u8 = u8::MAX;
/// Maximum number of crashes that wait for [`CRASH_CONFIRM_TIME`] at a time.
pub const MAX_PENDING_CRASHES: usize = 64;
/// Maximum number of progress records, and of rollbacks, kept for configuration versions that this node
/// does not have yet.
pub const MAX_EARLY_RECORDS: usize = 512;

/// A service with its fixed traffic shares and its rollout.
#[derive(Debug)]
struct ServiceState {
    name: ServiceName,
    versions: Vec<VersionShare>,
    rollout: Option<ActiveRollout>,
}

/// State of the rollouts of all services, as known to one node.
#[derive(Debug)]
pub struct RolloutEngine {
    node_id: NodeId,
    /// Service and version of the local backend server.
    serving: Option<(ServiceName, VersionName)>,
    /// Sorted by name.
    services: Vec<ServiceState>,
    /// Progress of rollouts whose configuration version this node does not have yet.
    early_progress: Vec<RolloutProgress>,
    /// Rollbacks of rollouts whose configuration version this node does not have yet.
    early_rollbacks: Vec<Rollback>,
}

impl RolloutEngine {
    /// Creates an engine without configuration.
    #[must_use]
    pub fn new(node_id: NodeId) -> Self {
        Self {
            node_id,
            serving: None,
            services: Vec::new(),
            early_progress: Vec::new(),
            early_rollbacks: Vec::new(),
        }
    }

    /// Applies a configuration; rollouts whose service, version and `since` are unchanged keep their state.
    pub fn on_config(&mut self, doc: &VersionedDocument) {
        let mut old = std::mem::take(&mut self.services);
        for service in &doc.document.services {
            let since = doc.since.iter().find(|s| s.service == service.name);
            let since = since.map_or(doc.version, |s| s.since);
            let rollout = service.rollout.as_ref().map(|plan| {
                let key = RolloutKey {
                    service: service.name.clone(),
                    to: plan.to.clone(),
                    since,
                };
                let mut kept = old.iter_mut().filter_map(|state| {
                    let same = |active: &mut ActiveRollout| active.key == key;
                    state.rollout.take_if(same)
                });
                kept.next()
                    .unwrap_or_else(|| ActiveRollout::new(key, plan.clone()))
            });
            self.services.push(ServiceState {
                name: service.name.clone(),
                versions: service.versions.clone(),
                rollout,
            });
        }
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        for progress in std::mem::take(&mut self.early_progress) {
            if progress.key.since > doc.version || self.active(&progress.key).is_some() {
                self.on_progress(progress);
            }
        }
        for rollback in std::mem::take(&mut self.early_rollbacks) {
            if rollback.key.since > doc.version || self.active(&rollback.key).is_some() {
                self.on_rollback(rollback);
            }
        }
    }

    /// Sets the service and version of the local backend server, `None` if there is none.
    pub fn set_serving(&mut self, serving: Option<(ServiceName, VersionName)>) {
        self.serving = serving;
    }

    /// Sets the total slots of the backend servers of a version that are up.
    pub fn on_slots(&mut self, service: &str, version: &str, slots: u32) {
        if let Some(active) = self.rollout_mut(service) {
            if active.plan.to.as_str() == version {
                active.to_slots = Some(slots);
            } else if active.plan.from.as_str() == version {
                active.from_slots = Some(slots);
            }
        }
    }

    /// Counts a call that the local backend server finished.
    pub fn record_call(&mut self, now: Duration, wall: WallMs, call: &CallSample<'_>) {
        let Some(active) = self.rollout_mut(call.service) else {
            return;
        };
        let Some(side) = active.side(call.version) else {
            return;
        };
        let Some(observation) = active.observe(now, wall) else {
            return;
        };
        observation.set_local_side(side);
        let tally = tally_mut(&mut observation.staged, call.route);
        if call.outcome == CallOutcome::Failure && call.downstream_failed {
            tally.downstream_failed += 1;
            return;
        }
        tally.calls += 1;
        if call.outcome == CallOutcome::Failure {
            tally.errors += 1;
        } else if !call.cold {
            let own = call.latency.saturating_sub(call.downstream);
            tally.latency[latency_bucket(own)] += 1;
        }
    }

    /// Records a call that ended with a crash of the local backend server.
    pub fn record_crash(&mut self, now: Duration, wall: WallMs, crash: &CrashSample<'_>) {
        let Some(active) = self.rollout_mut(crash.service) else {
            return;
        };
        let Some(side) = active.side(crash.version) else {
            return;
        };
        let Some(observation) = active.observe(now, wall) else {
            return;
        };
        observation.set_local_side(side);
        let pending = &mut observation.pending_crashes;
        let same = |p: &&mut PendingCrash| p.backend_start == crash.backend_start;
        if let Some(pending_crash) = pending.iter_mut().find(same) {
            // The crash also ended the other calls that were running; any of them may be the cause.
            pending_crash.fingerprints.push(crash.fingerprint);
        } else if pending.len() < MAX_PENDING_CRASHES {
            pending.push(PendingCrash {
                backend_start: crash.backend_start,
                side,
                route: crash.route.clone(),
                fingerprints: vec![crash.fingerprint],
                due: now + CRASH_CONFIRM_TIME,
            });
        }
    }

    /// Drops the pending crashes that a quarantined request explains.
    pub fn on_quarantined_request(&mut self, fingerprint: u64) {
        for state in &mut self.services {
            let active = state.rollout.as_mut();
            if let Some(observation) = active.and_then(|active| active.observation.as_mut()) {
                let explained = |p: &PendingCrash| p.fingerprints.contains(&fingerprint);
                observation.pending_crashes.retain(|p| !explained(p));
            }
        }
    }

    /// Adds the call counts that another serving node reports.
    pub fn on_report(
        &mut self,
        now: Duration,
        wall: WallMs,
        from: &NodeId,
        report: &EvidenceReport,
    ) {
        if *from == self.node_id {
            return;
        }
        let serves = self.serves(report.key.service.as_str());
        let Some(active) = self.active(&report.key) else {
            return;
        };
        let Some(side) = active.side(report.version.as_str()) else {
            return;
        };
        if serves && let Some(observation) = active.observe(now, wall) {
            observation.on_report(now, from, side, report);
        }
    }

    /// Merges progress reported by another node; returns whether anything changed.
    pub fn on_progress(&mut self, progress: RolloutProgress) -> bool {
        if let Some(active) = self.active(&progress.key) {
            return active.merge_progress(progress);
        }
        let existing = self
            .early_progress
            .iter_mut()
            .find(|p| p.key == progress.key);
        if let Some(existing) = existing {
            let newer = is_newer(&progress, existing);
            if newer {
                *existing = progress;
            }
            return newer;
        }
        let has_room = self.early_progress.len() < MAX_EARLY_RECORDS;
        if has_room {
            self.early_progress.push(progress);
        }
        has_room
    }

    /// Merges a rollback reported by another node; returns whether anything changed.
    pub fn on_rollback(&mut self, rollback: Rollback) -> bool {
        // The earliest of several decisions wins, so that all nodes converge to the same state.
        let is_earlier =
            |existing: &Rollback| (rollback.at, &rollback.by) < (existing.at, &existing.by);
        if let Some(active) = self.active(&rollback.key) {
            let changed = active.rollback.as_ref().is_none_or(is_earlier);
            if changed {
                active.rollback = Some(rollback);
            }
            return changed;
        }
        let mut early = self.early_rollbacks.iter_mut();
        if let Some(existing) = early.find(|existing| existing.key == rollback.key) {
            let changed = is_earlier(existing);
            if changed {
                *existing = rollback;
            }
            return changed;
        }
        let has_room = self.early_rollbacks.len() < MAX_EARLY_RECORDS;
        if has_room {
            self.early_rollbacks.push(rollback);
        }
        has_room
    }

    /// Returns the progress of all rollouts, sorted by key, for a full state exchange.
    #[must_use]
    pub fn progress(&self) -> Vec<RolloutProgress> {
        let active = self.services.iter().filter_map(|s| s.rollout.as_ref());
        let known = active.filter_map(|a| a.progress.as_ref());
        let mut all: Vec<_> = known.chain(&self.early_progress).cloned().collect();
        all.sort_by(|a, b| a.key.cmp(&b.key));
        all
    }

    /// Returns all rollbacks, sorted by key, for a full state exchange.
    #[must_use]
    pub fn rollbacks(&self) -> Vec<Rollback> {
        let active = self.services.iter().filter_map(|s| s.rollout.as_ref());
        let known = active.filter_map(|a| a.rollback.as_ref());
        let mut all: Vec<_> = known.chain(&self.early_rollbacks).cloned().collect();
        all.sort_by(|a, b| a.key.cmp(&b.key));
        all
    }

    /// Evaluates the evidence and advances the rollouts. The owner calls it about every 200 ms.
    pub fn tick(&mut self, now: Duration, wall: WallMs) -> Vec<RolloutAction> {
        let mut actions = Vec::new();
        for state in &mut self.services {
            let Some(active) = &mut state.rollout else {
                continue;
            };
            let serving = self.serving.as_ref().filter(|(s, _)| *s == state.name);
            let side = serving.and_then(|(_, version)| active.side(version.as_str()));
            if let Some(side) = side {
                let mut context = TickContext {
                    node_id: &self.node_id,
                    side,
                    now,
                    wall,
                    actions: &mut actions,
                };
                active.tick(&mut context);
            }
        }
        actions
    }

    /// Returns the traffic shares of a service, `None` if the configuration does not contain it.
    #[must_use]
    pub fn shares(&self, service: &str, wall: WallMs) -> Option<Shares<'_>> {
        let at = self
            .services
            .binary_search_by(|s| s.name.as_str().cmp(service))
            .ok()?;
        let state = &self.services[at];
        let Some(active) = &state.rollout else {
            return Some(Shares::Fixed(&state.versions));
        };
        let serving = self.serving.as_ref();
        let serves_new = serving.is_some_and(|(s, v)| *s == state.name && *v == active.plan.to);
        Some(Shares::Split {
            from: &active.plan.from,
            to: &active.plan.to,
            to_share: active.share(wall, serves_new),
        })
    }

    fn serves(&self, service: &str) -> bool {
        let serving = self.serving.as_ref();
        serving.is_some_and(|(s, _)| s.as_str() == service)
    }

    fn rollout_mut(&mut self, service: &str) -> Option<&mut ActiveRollout> {
        let found = self
            .services
            .binary_search_by(|s| s.name.as_str().cmp(service));
        self.services[found.ok()?].rollout.as_mut()
    }

    fn active(&mut self, key: &RolloutKey) -> Option<&mut ActiveRollout> {
        self.rollout_mut(key.service.as_str())
            .filter(|active| active.key == *key)
    }
}

fn tally_mut<'a>(list: &'a mut Vec<(RouteName, Tally)>, route: &RouteName) -> &'a mut Tally {
    let at = match list.binary_search_by(|(name, _)| name.cmp(route)) {
        Ok(at) => at,
        Err(at) => {
            list.insert(at, (route.clone(), Tally::default()));
            at
        }
    };
    &mut list[at].1
}

/// Orders progress by step; on the same step, the one that was entered first wins.
fn is_newer(progress: &RolloutProgress, current: &RolloutProgress) -> bool {
    let rank = |p: &RolloutProgress| (Reverse(p.step), p.entered_at, p.began_at, p.by.clone());
    rank(progress) < rank(current)
}
