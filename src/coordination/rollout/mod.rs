//! Rollouts: shifts traffic to a new version step by step while evidence allows it, and takes a bad
//! version back, see `docs/design.md`, section 6.

mod active;
mod observation;
mod sample;

use std::cmp::Reverse;
use std::time::Duration;

use crate::coordination::evidence::Tally;
use crate::coordination::evidence::latency_bucket;
use crate::coordination::rollout::active::Active;
use crate::coordination::rollout::active::Turn;
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

/// Longest time before the start of a rollout from which on the serving nodes exchange reports, so that
/// the old version's normal figures are known when the first call reaches the new one.
pub const WARM_UP: Duration = Duration::from_secs(30);
/// Time between two reports.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Silence of a node after which its next report only sets a new starting point.
pub const MAX_REPORT_GAP: Duration = Duration::from_millis(2_500);
/// Routes in one report: with 32 buckets of up to 5 bytes and a name, five fit a datagram.
pub const MAX_REPORT_ROUTES: usize = 5;
/// Shortest time in a step, unless the schedule is too tight; reports of all nodes arrive in it.
pub const MIN_DWELL: Duration = Duration::from_secs(3);
/// Part of a step's time budget that passes before it may end early.
pub const DWELL_PART: u32 = 2;
/// Time before `finish_by` at which the last step begins at the latest; covers clock differences of
/// 1 s and the spread of the rumor. A quarter of a schedule at most.
pub const FINISH_MARGIN: Duration = Duration::from_secs(4);
/// Largest share of the first step, percent.
pub const MAX_FIRST_SHARE: u8 = 10;
/// Time for each step of a rollout that began too late for its schedule.
pub const LATE_STEP: Duration = Duration::from_secs(5);
/// Time that a node waits for the progress of others before it begins a rollout whose start lies back.
pub const BEGIN_GRACE: Duration = Duration::from_secs(2);
/// Part of the new version's slots that a step may occupy, percent.
pub const MAX_SLOT_USE: f64 = 80.0;
/// Time after which a crash counts unless a repeated request explains it. The caller's repetition
/// crashes the second backend server within a second, and the rumor of it takes another.
pub const CRASH_HOLD_BACK: Duration = Duration::from_secs(3);
/// Crashes of the new version that take it back.
pub const MIN_CRASHES: u32 = 3;
/// Further crashes of the new version needed for each crash of the old one.
pub const CRASH_RATIO: u32 = 3;
/// Share of the new version in a probe after a large rise of its faults, percent. The old version's
/// calls then show within seconds whether the rise has another cause, while few calls are spoiled.
pub const SEVERE_PROBE_SHARE: u8 = 10;
/// Share of the new version in a probe after a small rise, which needs many calls of both versions.
pub const MILD_PROBE_SHARE: u8 = 50;
/// Rate of failed or slow calls from which a rise is large.
pub const SEVERE_RATE: f64 = 0.3;
/// Calls of each version that end a probe after a large rise without a finding.
pub const SEVERE_PROBE_CALLS: u32 = 50;
/// Calls of each version that end a probe after a small rise without a finding.
pub const MILD_PROBE_CALLS: u32 = 2_000;
/// Shortest probe; covers the spread of the rumor and several reports.
pub const MIN_PROBE_TIME: Duration = Duration::from_secs(6);
/// First part of a probe, whose calls do not count: reports still contain calls from before it, when the old
/// version had none.
pub const PROBE_SETTLE_TIME: Duration = Duration::from_secs(2);
/// Longest probe.
pub const MAX_PROBE_TIME: Duration = Duration::from_mins(1);
/// Shortest time between two probes, doubled after each.
pub const PROBE_PAUSE: Duration = Duration::from_secs(3);
/// Consecutive probes without a fault after which the next rise of faults at 100 % is taken to depend on
/// the load of the new version.
pub const LOAD_FAULT_PROBES: u8 = 2;
/// Longest time from a probe to the next rise of faults that still depends on the load.
pub const LOAD_FAULT_TIME: Duration = Duration::from_mins(1);
/// Failed or slow calls expected in a probe, at the rate before it, after which their absence is clear.
pub const VANISHED_CALLS: f64 = 20.0;
/// Probes in one hold period.
pub const MAX_PROBES: u8 = 20;
/// Time without ticks after which this process was paused: its own measurements of that time are wrong.
pub const PAUSE: Duration = Duration::from_secs(1);
/// Time after a pause in which nothing is decided, since late reports are still being read.
pub const PAUSE_GRACE: Duration = Duration::from_millis(1_500);
/// Time without the expected step after which a rollout counts as stalled.
pub const STALL_TIME: Duration = Duration::from_secs(10);
/// Shortest time between two outcomes on the same stalled rollout.
pub const STALL_REPORT_INTERVAL: Duration = Duration::from_mins(1);
/// Serving nodes of one service whose reports are kept; a service has about 7 backend servers.
pub const MAX_REPORTERS: usize = 64;
/// Number of the local backend server as a source of evidence; the others have their place in the list.
const OWN_SOURCE: u8 = u8::MAX;
/// Crashes held back at a time.
pub const MAX_PENDING_CRASHES: usize = 64;
/// Progress and rollbacks kept for configuration versions that this node does not have yet.
pub const MAX_EARLY: usize = 512;

/// A service with its fixed shares and its rollout.
#[derive(Debug)]
struct ServiceState {
    name: ServiceName,
    versions: Vec<VersionShare>,
    rollout: Option<Active>,
}

/// Rollouts of all services as one node sees them.
#[derive(Debug)]
pub struct RolloutEngine {
    me: NodeId,
    serving: Option<(ServiceName, VersionName)>,
    /// Sorted by name.
    services: Vec<ServiceState>,
    early_progress: Vec<RolloutProgress>,
    early_rollbacks: Vec<Rollback>,
}

impl RolloutEngine {
    /// Creates an engine without configuration.
    #[must_use]
    pub fn new(me: NodeId) -> Self {
        Self {
            me,
            serving: None,
            services: Vec::new(),
            early_progress: Vec::new(),
            early_rollbacks: Vec::new(),
        }
    }

    /// Takes over a configuration; rollouts whose service, version and `since` are unchanged keep
    /// their state.
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
                    let same = |active: &mut Active| active.key == key;
                    state.rollout.take_if(same)
                });
                kept.next()
                    .unwrap_or_else(|| Active::new(key, plan.clone()))
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

    /// Notes what the backend server beside this node serves, `None` if there is none.
    pub fn set_serving(&mut self, serving: Option<(ServiceName, VersionName)>) {
        self.serving = serving;
    }

    /// Notes the slots of all backend servers of a version that are up.
    pub fn on_slots(&mut self, service: &str, version: &str, slots: u32) {
        if let Some(active) = self.rollout_mut(service) {
            if active.plan.to.as_str() == version {
                active.to_slots = Some(slots);
            } else if active.plan.from.as_str() == version {
                active.from_slots = Some(slots);
            }
        }
    }

    /// Counts a call that the backend server beside this node finished.
    pub fn record(&mut self, now: Duration, wall: WallMs, call: &CallSample<'_>) {
        let Some(active) = self.rollout_mut(call.service) else {
            return;
        };
        let Some(side) = active.side(call.version) else {
            return;
        };
        let Some(observation) = active.observe(now, wall) else {
            return;
        };
        observation.own_version(side);
        let tally = entry(&mut observation.staged, call.route);
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

    /// Enters a call that ended with a crash of the backend server beside this node.
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
        observation.own_version(side);
        let pending = &mut observation.pending;
        let same = |p: &&mut PendingCrash| p.backend_start == crash.backend_start;
        if let Some(known) = pending.iter_mut().find(same) {
            // Calls that ran at the same time ended with the same crash; any of them may be the cause.
            known.fingerprints.push(crash.fingerprint);
        } else if pending.len() < MAX_PENDING_CRASHES {
            pending.push(PendingCrash {
                backend_start: crash.backend_start,
                side,
                route: crash.route.clone(),
                fingerprints: vec![crash.fingerprint],
                due: now + CRASH_HOLD_BACK,
            });
        }
    }

    /// Withdraws the crashes that a quarantined request explains.
    pub fn on_explained(&mut self, fingerprint: u64) {
        for state in &mut self.services {
            let active = state.rollout.as_mut();
            if let Some(observation) = active.and_then(|active| active.observation.as_mut()) {
                let explained = |p: &PendingCrash| p.fingerprints.contains(&fingerprint);
                observation.pending.retain(|p| !explained(p));
            }
        }
    }

    /// Takes over the figures of another serving node.
    pub fn on_report(
        &mut self,
        now: Duration,
        wall: WallMs,
        from: &NodeId,
        report: &EvidenceReport,
    ) {
        if *from == self.me {
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

    /// Merges progress that another node reports; returns whether anything changed.
    pub fn on_progress(&mut self, progress: RolloutProgress) -> bool {
        if let Some(active) = self.active(&progress.key) {
            return active.merge_progress(progress);
        }
        let known = self
            .early_progress
            .iter_mut()
            .find(|p| p.key == progress.key);
        if let Some(known) = known {
            let newer = is_newer(&progress, known);
            if newer {
                *known = progress;
            }
            return newer;
        }
        let room = self.early_progress.len() < MAX_EARLY;
        if room {
            self.early_progress.push(progress);
        }
        room
    }

    /// Merges a rollback that another node reports; returns whether anything changed.
    pub fn on_rollback(&mut self, rollback: Rollback) -> bool {
        // The earliest of several decisions is kept, so that all nodes end up with the same state.
        let first = |known: &Rollback| (rollback.at, &rollback.by) < (known.at, &known.by);
        if let Some(active) = self.active(&rollback.key) {
            let changed = active.rollback.as_ref().is_none_or(first);
            if changed {
                active.rollback = Some(rollback);
            }
            return changed;
        }
        let mut early = self.early_rollbacks.iter_mut();
        if let Some(known) = early.find(|known| known.key == rollback.key) {
            let changed = first(known);
            if changed {
                *known = rollback;
            }
            return changed;
        }
        let room = self.early_rollbacks.len() < MAX_EARLY;
        if room {
            self.early_rollbacks.push(rollback);
        }
        room
    }

    /// Returns the progress of all rollouts, sorted by key, for the full exchange of state.
    #[must_use]
    pub fn progress(&self) -> Vec<RolloutProgress> {
        let active = self.services.iter().filter_map(|s| s.rollout.as_ref());
        let known = active.filter_map(|a| a.progress.as_ref());
        let mut all: Vec<_> = known.chain(&self.early_progress).cloned().collect();
        all.sort_by(|a, b| a.key.cmp(&b.key));
        all
    }

    /// Returns all rollbacks, sorted by key, for the full exchange of state.
    #[must_use]
    pub fn rollbacks(&self) -> Vec<Rollback> {
        let active = self.services.iter().filter_map(|s| s.rollout.as_ref());
        let known = active.filter_map(|a| a.rollback.as_ref());
        let mut all: Vec<_> = known.chain(&self.early_rollbacks).cloned().collect();
        all.sort_by(|a, b| a.key.cmp(&b.key));
        all
    }

    /// Evaluates the evidence; call it about every 200 ms.
    pub fn tick(&mut self, now: Duration, wall: WallMs) -> Vec<RolloutAction> {
        let mut actions = Vec::new();
        for state in &mut self.services {
            let Some(active) = &mut state.rollout else {
                continue;
            };
            let serving = self.serving.as_ref().filter(|(s, _)| *s == state.name);
            let side = serving.and_then(|(_, version)| active.side(version.as_str()));
            if let Some(side) = side {
                let mut turn = Turn {
                    me: &self.me,
                    side,
                    now,
                    wall,
                    actions: &mut actions,
                };
                active.tick(&mut turn);
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
        let beside = serving.is_some_and(|(s, v)| *s == state.name && *v == active.plan.to);
        Some(Shares::Split {
            from: &active.plan.from,
            to: &active.plan.to,
            to_share: active.share(wall, beside),
        })
    }

    fn serves(&self, service: &str) -> bool {
        let serving = self.serving.as_ref();
        serving.is_some_and(|(s, _)| s.as_str() == service)
    }

    fn rollout_mut(&mut self, service: &str) -> Option<&mut Active> {
        let found = self
            .services
            .binary_search_by(|s| s.name.as_str().cmp(service));
        self.services[found.ok()?].rollout.as_mut()
    }

    fn active(&mut self, key: &RolloutKey) -> Option<&mut Active> {
        self.rollout_mut(key.service.as_str())
            .filter(|active| active.key == *key)
    }
}

fn entry<'a>(list: &'a mut Vec<(RouteName, Tally)>, route: &RouteName) -> &'a mut Tally {
    let at = match list.binary_search_by(|(name, _)| name.cmp(route)) {
        Ok(at) => at,
        Err(at) => {
            list.insert(at, (route.clone(), Tally::default()));
            at
        }
    };
    &mut list[at].1
}

fn is_newer(progress: &RolloutProgress, known: &RolloutProgress) -> bool {
    let rank = |p: &RolloutProgress| (Reverse(p.step), p.entered_at, p.began_at, p.by.clone());
    rank(progress) < rank(known)
}
