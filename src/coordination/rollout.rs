//! Rollouts: shifts traffic to a new version step by step while evidence allows it, and takes a bad
//! version back, see `docs/design.md`, section 6.

use std::cmp::Reverse;
use std::time::Duration;

use crate::coordination::evidence::Evidence;
use crate::coordination::evidence::Finding;
use crate::coordination::evidence::MAX_ROUTES;
use crate::coordination::evidence::Side;
use crate::coordination::evidence::Tally;
use crate::coordination::evidence::latency_bucket;
use crate::invariant;
use crate::protocol::document::Rollout;
use crate::protocol::document::VersionShare;
use crate::protocol::gossip::EvidenceReport;
use crate::protocol::gossip::Rollback;
use crate::protocol::gossip::RollbackCause;
use crate::protocol::gossip::RolloutKey;
use crate::protocol::gossip::RolloutProgress;
use crate::protocol::name::NodeId;
use crate::protocol::name::RouteName;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;
use crate::protocol::record::OutcomeRecord;
use crate::protocol::record::VersionedDocument;
use crate::protocol::time::WallMs;
use crate::protocol::time::millis;
use crate::result_code::ResultCode;

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The backend server answered without a server error.
    Success,
    /// Server error, broken answer or timeout.
    Failure,
}

/// A call that the backend server beside this node finished.
///
/// A call that ended with a crash of the backend server is passed to
/// [`RolloutEngine::record_crash`] instead.
#[derive(Clone, Copy, Debug)]
pub struct CallSample<'a> {
    /// Service of the backend server.
    pub service: &'a str,
    /// Version of the backend server.
    pub version: &'a str,
    /// Route of the call.
    pub route: &'a RouteName,
    /// How it ended.
    pub outcome: CallOutcome,
    /// Time from dispatch to the end of the answer, without the wait for a slot.
    pub latency: Duration,
    /// Part of the latency that was spent in calls to other services.
    pub downstream: Duration,
    /// Whether a call to another service that this call depends on failed.
    pub downstream_failed: bool,
    /// Whether the backend server was within its cold start.
    pub cold: bool,
}

/// A call during which the backend server beside this node crashed.
#[derive(Clone, Copy, Debug)]
pub struct CrashSample<'a> {
    /// Service of the backend server.
    pub service: &'a str,
    /// Version of the backend server.
    pub version: &'a str,
    /// Route of the call.
    pub route: &'a RouteName,
    /// Hash of the request.
    pub fingerprint: u64,
    /// Counts the starts of the backend server; calls that ended with the same crash share it.
    pub backend_start: u64,
}

/// What the owner of a [`RolloutEngine`] does after a tick.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutAction {
    /// Send the report to the other serving nodes of the service.
    SendReport(EvidenceReport),
    /// Spread the step as a rumor; the engine has entered it already.
    Advance(RolloutProgress),
    /// Spread the rollback as a rumor and append it to the log; the engine has entered it already.
    RollBack(Rollback),
    /// Report the outcome.
    Outcome(OutcomeRecord),
}

/// Traffic shares of a service's versions; they add up to 100.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shares<'a> {
    /// No rollout is on.
    Fixed(&'a [VersionShare]),
    /// A rollout divides the traffic.
    Split {
        /// Old version; it has the rest.
        from: &'a VersionName,
        /// New version.
        to: &'a VersionName,
        /// Percentage of the new version.
        to_share: u8,
    },
}

impl<'a> Shares<'a> {
    /// Returns the version for a number drawn uniformly from 0 to 99.
    #[must_use]
    pub fn pick(self, point: u8) -> Option<&'a VersionName> {
        match self {
            Self::Fixed(shares) => {
                let mut sum = 0;
                let mut passed = |share: &&VersionShare| {
                    sum += share.share;
                    point < sum
                };
                shares.iter().find(|s| passed(s)).map(|s| &s.name)
            }
            Self::Split { from, to, to_share } => Some(if point < to_share { to } else { from }),
        }
    }

    /// Returns the percentage of a version.
    #[must_use]
    pub fn of(self, version: &str) -> u8 {
        match self {
            Self::Fixed(shares) => {
                let found = shares.iter().find(|s| s.name.as_str() == version);
                found.map_or(0, |s| s.share)
            }
            Self::Split { from, to, to_share } => {
                if to.as_str() == version {
                    to_share
                } else if from.as_str() == version {
                    100 - to_share
                } else {
                    0
                }
            }
        }
    }
}

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

/// Figures of another serving node.
#[derive(Debug)]
struct Reporter {
    node: NodeId,
    side: Side,
    first_sequence: u64,
    last_sequence: u64,
    heard: Duration,
    crashes: u32,
    /// Sorted by route: sequence of the last figures and the figures.
    routes: Vec<(RouteName, u64, Tally)>,
}

#[derive(Debug)]
struct PendingCrash {
    backend_start: u64,
    side: Side,
    route: RouteName,
    fingerprints: Vec<u64>,
    due: Duration,
}

/// Part of a rollout that only serving nodes keep.
#[derive(Debug)]
struct Observation {
    evidence: Evidence,
    reporters: Vec<Reporter>,
    /// Figures of the local backend server since the last tick, sorted by route.
    staged: Vec<(RouteName, Tally)>,
    /// Cumulative figures of the local backend server, sorted by route.
    own: Vec<(RouteName, Tally)>,
    own_side: Option<Side>,
    own_crashes: u32,
    pending: Vec<PendingCrash>,
    next_report: Duration,
    sequence: u64,
    /// Time of the last event.
    seen: Duration,
}

/// One rollout.
#[derive(Debug)]
struct Active {
    key: RolloutKey,
    plan: Rollout,
    progress: Option<RolloutProgress>,
    rollback: Option<Rollback>,
    from_slots: Option<u32>,
    to_slots: Option<u32>,
    first_tick: Option<Duration>,
    last_tick: Option<Duration>,
    quiet_until: Duration,
    next_stall_report: Duration,
    reported_complete: bool,
    reported_held: bool,
    /// Consecutive probes in which neither version showed a fault.
    calm_probes: u8,
    /// Rate of failed or slow calls at which this node began a probe.
    probe_rate: f64,
    /// Step of the last probe whose first part is over.
    settled: Option<u8>,
    observation: Option<Box<Observation>>,
}

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

impl Observation {
    fn new(now: Duration) -> Self {
        Self {
            evidence: Evidence::new(now),
            reporters: Vec::new(),
            staged: Vec::new(),
            own: Vec::new(),
            own_side: None,
            own_crashes: 0,
            pending: Vec::new(),
            next_report: now,
            sequence: 0,
            seen: now,
        }
    }

    /// Starts the local figures anew when the backend server was replaced by another version.
    fn own_version(&mut self, side: Side) {
        if self.own_side != Some(side) {
            self.own_side = Some(side);
            self.own.clear();
            self.staged.clear();
            self.own_crashes = 0;
        }
    }

    fn on_report(&mut self, now: Duration, from: &NodeId, side: Side, report: &EvidenceReport) {
        if side == Side::Old {
            self.evidence.heard_old(now);
        }
        let known = self
            .reporters
            .iter()
            .position(|r| r.node == *from && r.side == side);
        let at = match known {
            Some(at) => at,
            None if self.reporters.len() < MAX_REPORTERS => {
                self.reporters.push(Reporter {
                    node: from.clone(),
                    side,
                    first_sequence: report.sequence,
                    last_sequence: 0,
                    heard: now,
                    crashes: 0,
                    routes: Vec::new(),
                });
                self.reporters.len() - 1
            }
            None => return,
        };
        let source = u8::try_from(at).unwrap_or(OWN_SOURCE);
        let reporter = &mut self.reporters[at];
        // The calls of a longer silence would stand against those of the last second.
        if now.saturating_sub(reporter.heard) > MAX_REPORT_GAP {
            reporter.first_sequence = report.sequence;
        }
        let first = report.sequence == reporter.first_sequence;
        reporter.heard = now;
        if report.sequence >= reporter.last_sequence {
            reporter.last_sequence = report.sequence;
            reporter.crashes = report.crashes;
        }
        for figures in &report.routes {
            let tally = Tally::from(figures);
            let found = reporter
                .routes
                .binary_search_by(|(route, ..)| route.cmp(&figures.route));
            let delta = match found {
                Ok(at) if report.sequence <= reporter.routes[at].1 => continue,
                Ok(at) => {
                    let delta = if first {
                        Tally::default()
                    } else {
                        tally.increase(&reporter.routes[at].2)
                    };
                    reporter.routes[at].1 = report.sequence;
                    reporter.routes[at].2 = tally;
                    delta
                }
                Err(_) if reporter.routes.len() >= MAX_ROUTES => continue,
                Err(at) => {
                    let entry = (figures.route.clone(), report.sequence, tally);
                    reporter.routes.insert(at, entry);
                    // The first report of a node may cover any time; only what follows is counted.
                    if first {
                        continue;
                    }
                    tally
                }
            };
            self.evidence.add(now, side, source, &figures.route, &delta);
        }
    }

    /// Takes the local figures since the last tick into the evidence.
    fn take_staged(&mut self, now: Duration, side: Side) {
        if side == Side::Old {
            self.evidence.heard_old(now);
        }
        let (due, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|crash| crash.due <= now);
        self.pending = pending;
        let due: Vec<PendingCrash> = due;
        for crash in due {
            if crash.side == side {
                self.own_crashes += 1;
                // A crash is one fault, however many calls it ended.
                let tally = entry(&mut self.staged, &crash.route);
                tally.calls += 1;
                tally.errors += 1;
            }
        }
        for (route, tally) in std::mem::take(&mut self.staged) {
            self.evidence.add(now, side, OWN_SOURCE, &route, &tally);
            entry(&mut self.own, &route).add(&tally);
        }
    }

    fn crashes(&self, side: Side) -> u32 {
        let others = self.reporters.iter().filter(|r| r.side == side);
        let own = if self.own_side == Some(side) {
            self.own_crashes
        } else {
            0
        };
        others.map(|r| r.crashes).sum::<u32>() + own
    }

    fn crash_finding(&self) -> Option<Finding> {
        let (old, new) = (self.crashes(Side::Old), self.crashes(Side::New));
        (new >= MIN_CRASHES + CRASH_RATIO * old).then(|| Finding {
            cause: RollbackCause::Crashes,
            route: None,
            text: format!("backend servers of the new version crashed {new} times, those of the old one {old} times"),
            concurrent: true,
            rate: 1.0,
        })
    }
}

/// One tick of one rollout at a serving node.
struct Turn<'a> {
    me: &'a NodeId,
    side: Side,
    now: Duration,
    wall: WallMs,
    actions: &'a mut Vec<RolloutAction>,
}

/// Part of the hold period.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Probe {
    /// The new version has all traffic.
    None,
    /// Comparison after a large rise of faults.
    Severe,
    /// Comparison after a small rise of faults.
    Mild,
}

/// Times of a step.
struct StepTimes {
    /// End of the minimum dwell.
    earliest: WallMs,
    /// The step ends here even without evidence.
    latest: WallMs,
    /// The step ends here even under suspicion.
    last: WallMs,
}

impl Active {
    fn new(key: RolloutKey, plan: Rollout) -> Self {
        Self {
            key,
            plan,
            progress: None,
            rollback: None,
            from_slots: None,
            to_slots: None,
            first_tick: None,
            last_tick: None,
            quiet_until: Duration::ZERO,
            next_stall_report: Duration::ZERO,
            reported_complete: false,
            reported_held: false,
            calm_probes: 0,
            probe_rate: 0.0,
            settled: None,
            observation: None,
        }
    }

    fn side(&self, version: &str) -> Option<Side> {
        if self.plan.to.as_str() == version {
            Some(Side::New)
        } else if self.plan.from.as_str() == version {
            Some(Side::Old)
        } else {
            None
        }
    }

    fn last_step(&self) -> u8 {
        u8::try_from(self.plan.steps.len().saturating_sub(1)).unwrap_or(u8::MAX)
    }

    /// Probe of the hold period that the step stands for.
    ///
    /// Steps beyond the last one of the document come in threes: a probe after a small rise, a probe
    /// after a large rise, and all traffic again. Their order makes them merge like other steps.
    fn probe(&self, step: u8) -> Probe {
        match step.saturating_sub(self.last_step()) % 3 {
            1 => Probe::Mild,
            2 => Probe::Severe,
            _ => Probe::None,
        }
    }

    fn step_share(&self, step: u8) -> u8 {
        match self.probe(step) {
            Probe::Severe => SEVERE_PROBE_SHARE,
            Probe::Mild => MILD_PROBE_SHARE,
            Probe::None => {
                let step = step.min(self.last_step());
                let share = self.plan.steps.get(usize::from(step)).copied();
                let share = share.unwrap_or(0);
                if step == 0 {
                    share.min(MAX_FIRST_SHARE)
                } else {
                    share
                }
            }
        }
    }

    fn span(&self) -> Duration {
        self.plan.finish_by_ms.since(self.plan.start_ms)
    }

    /// Time at which the version has all traffic unless it is rolled back.
    ///
    /// It is `finish_by`, except for a rollout that began so late that a bad version would get all
    /// traffic before it shows: that one gets a short time for each step from when it began.
    fn deadline(&self) -> WallMs {
        let steps = u32::from(self.last_step()).max(1);
        let late_step = LATE_STEP.min(self.span() / (2 * steps));
        let began = self.progress.as_ref().map_or(WallMs(0), |p| p.began_at);
        self.plan.finish_by_ms.max(began.plus(late_step * steps))
    }

    fn completed_at(&self) -> Option<WallMs> {
        let progress = self.progress.as_ref()?;
        Some(if progress.step >= self.last_step() {
            progress.entered_at
        } else {
            self.deadline()
        })
    }

    /// End of the hold period; none as long as the rollout is not complete. A probe starts it anew.
    fn hold_end(&self) -> Option<WallMs> {
        let hold = Duration::from_secs(self.plan.hold_s);
        self.completed_at().map(|completed| completed.plus(hold))
    }

    /// Returns the observation while the rollout or its hold is on.
    fn observe(&mut self, now: Duration, wall: WallMs) -> Option<&mut Observation> {
        let begins = WallMs(self.plan.start_ms.0.saturating_sub(millis(WARM_UP)));
        let ended = self.hold_end().is_some_and(|end| wall >= end);
        if wall < begins || ended || self.rollback.is_some() {
            self.observation = None;
            return None;
        }
        let create = || Box::new(Observation::new(now));
        let observation = self.observation.get_or_insert_with(create);
        observation.seen = now;
        Some(observation)
    }

    fn has_backends(&self, beside: bool) -> bool {
        beside || self.to_slots != Some(0)
    }

    /// Tells whether the rollout is over and its old version is gone.
    ///
    /// A fleet that restarts as a whole after a rollout has lost the progress; it must not send traffic to
    /// the old version that nobody runs any more.
    fn is_only_version(&self, wall: WallMs) -> bool {
        let gone = self.from_slots == Some(0) && self.to_slots.is_some_and(|slots| slots > 0);
        gone && wall >= self.plan.finish_by_ms
    }

    /// Share of the new version, percent.
    fn share(&self, wall: WallMs, beside: bool) -> u8 {
        let planned = match &self.progress {
            _ if self.rollback.is_some() || !self.has_backends(beside) => 0,
            _ if self.is_only_version(wall) => 100,
            // Nobody has begun: either no backend server of the new version is up, or no node with
            // evidence has seen it. The old version keeps the traffic.
            None => 0,
            Some(p) if wall >= self.deadline() && p.step <= self.last_step() => 100,
            Some(progress) => self.step_share(progress.step),
        };
        let cap = self.share_cap(wall, beside);
        if invariant::check(4, planned <= cap, "share of a version above its cap") {
            planned
        } else {
            cap
        }
    }

    /// Largest share that the new version may have, computed apart from the planned share.
    fn share_cap(&self, wall: WallMs, beside: bool) -> u8 {
        if self.rollback.is_some() || !self.has_backends(beside) {
            return 0;
        }
        if self.is_only_version(wall) {
            return 100;
        }
        let Some(progress) = &self.progress else {
            return 0;
        };
        if progress.step > self.last_step() {
            match self.probe(progress.step) {
                Probe::Severe => SEVERE_PROBE_SHARE,
                Probe::Mild => MILD_PROBE_SHARE,
                Probe::None => 100,
            }
        } else if wall >= self.deadline() {
            100
        } else if progress.step == 0 {
            MAX_FIRST_SHARE
        } else {
            let steps = self.plan.steps.iter().take(usize::from(progress.step) + 1);
            steps.copied().max().unwrap_or(0)
        }
    }

    fn merge_progress(&mut self, progress: RolloutProgress) -> bool {
        if progress.step > self.last_step().saturating_add(3 * MAX_PROBES) {
            return false;
        }
        let known = self.progress.as_ref();
        if known.is_some_and(|known| !is_newer(&progress, known)) {
            return false;
        }
        let advances = known.is_none_or(|known| known.step < progress.step);
        let in_hold = progress.step > self.last_step();
        let probed = known.is_some_and(|known| self.probe(known.step) != Probe::None);
        if advances && let Some(observation) = &mut self.observation {
            let calm = observation.evidence.is_calm();
            observation.evidence.begin_step();
            if in_hold {
                observation.evidence.restart(observation.seen);
            }
            if probed {
                self.calm_probes = if calm { self.calm_probes + 1 } else { 0 };
            }
        }
        self.progress = Some(progress);
        true
    }

    fn tick(&mut self, turn: &mut Turn<'_>) {
        let (now, wall) = (turn.now, turn.wall);
        let paused = self
            .last_tick
            .is_some_and(|last| now.saturating_sub(last) > PAUSE);
        self.last_tick = Some(now);
        self.first_tick.get_or_insert(now);
        if paused {
            self.quiet_until = now + PAUSE_GRACE;
        }
        if self.observe(now, wall).is_some() {
            self.exchange(turn, paused);
            self.begin(turn);
            self.judge(turn);
            self.advance(turn);
            self.report_stall(turn);
        }
        self.report_end(turn);
    }

    fn exchange(&mut self, turn: &mut Turn<'_>, paused: bool) {
        let step = self.progress.as_ref().map_or(0, |p| p.step);
        let Some(observation) = &mut self.observation else {
            return;
        };
        observation.own_version(turn.side);
        if paused {
            observation.staged.clear();
            observation.evidence.forget_alarms(turn.now);
        }
        observation.take_staged(turn.now, turn.side);
        if turn.now < observation.next_report {
            return;
        }
        observation.next_report = turn.now + REPORT_INTERVAL;
        observation.sequence = turn.wall.0.max(observation.sequence + 1);
        let version = match turn.side {
            Side::Old => &self.plan.from,
            Side::New => &self.plan.to,
        };
        // A report without routes still tells that its sender sees no calls.
        let figures = |(route, tally): &(RouteName, Tally)| tally.to_evidence(route.clone());
        let routes: Vec<_> = observation
            .own
            .iter()
            .take(MAX_ROUTES)
            .map(figures)
            .collect();
        let mut chunks: Vec<_> = routes
            .chunks(MAX_REPORT_ROUTES)
            .map(<[_]>::to_vec)
            .collect();
        if chunks.is_empty() {
            chunks.push(Vec::new());
        }
        let reports = chunks.into_iter().map(|routes| {
            RolloutAction::SendReport(EvidenceReport {
                key: self.key.clone(),
                version: version.clone(),
                step,
                sequence: observation.sequence,
                crashes: observation.own_crashes,
                routes,
            })
        });
        turn.actions.extend(reports);
    }

    /// Begins step 0, at a node of either version that knows backend servers of the new one.
    fn begin(&mut self, turn: &mut Turn<'_>) {
        let start = self.plan.start_ms;
        let known = turn.side == Side::New || self.to_slots.is_some_and(|slots| slots > 0);
        if self.progress.is_some() || turn.wall < start || !known {
            return;
        }
        // A node that starts during a rollout learns its progress before it begins one itself.
        let running = turn.now.saturating_sub(self.first_tick.unwrap_or(turn.now));
        if turn.wall >= start.plus(BEGIN_GRACE) && running < BEGIN_GRACE {
            return;
        }
        self.enter(turn, 0, "its start time has come");
    }

    fn judge(&mut self, turn: &mut Turn<'_>) {
        let quiet = turn.now < self.quiet_until || !self.settle_probe(turn);
        let Some(observation) = &mut self.observation else {
            return;
        };
        let finding = observation.evidence.tick(turn.now);
        let hears_old = observation.evidence.hears_old(turn.now);
        let finding = finding.or_else(|| observation.crash_finding());
        let (Some(finding), Some(step), false) =
            (finding, self.progress.as_ref().map(|p| p.step), quiet)
        else {
            return;
        };
        let entered = self.progress.as_ref().map_or(turn.wall, |p| p.entered_at);
        if turn.wall.since(entered) > LOAD_FAULT_TIME {
            self.calm_probes = 0;
        }
        // A fault that comes with all traffic, goes with less and comes again depends on the version.
        let load = self.calm_probes >= LOAD_FAULT_PROBES && self.probe(step) == Probe::None;
        // At 100 % the calls of the old version are single ones, from nodes that enter or leave a probe.
        let compared = finding.concurrent && self.probe(step) != Probe::None;
        if step >= self.last_step() && !compared && !load {
            self.begin_probe(turn, step, &finding);
            return;
        }
        // The old version has single calls only, and its node would tell of a fault; more calls follow.
        if step < self.last_step() && !finding.concurrent && hears_old {
            return;
        }
        let share = self.share(turn.wall, turn.side == Side::New);
        let rollback = Rollback {
            key: self.key.clone(),
            cause: finding.cause,
            route: finding.route.clone(),
            at: turn.wall,
            by: turn.me.clone(),
        };
        self.rollback = Some(rollback.clone());
        let route = finding.route.as_ref();
        let place = route.map_or_else(|| "all routes".to_owned(), |r| format!("route {r}"));
        let text = format!("at {share} %, {place}: {}", finding.text);
        turn.actions.push(RolloutAction::RollBack(rollback));
        self.outcome(turn, ResultCode::RolledBack, "rolled-back", text);
    }

    /// Begins the evidence of a probe anew after its first part; returns whether that is over.
    fn settle_probe(&mut self, turn: &Turn<'_>) -> bool {
        let Some(progress) = &self.progress else {
            return true;
        };
        if self.probe(progress.step) == Probe::None || self.settled == Some(progress.step) {
            return true;
        }
        let over = turn.wall.since(progress.entered_at) >= PROBE_SETTLE_TIME;
        if over {
            self.settled = Some(progress.step);
            if let Some(observation) = &mut self.observation {
                observation.evidence.restart(turn.now);
            }
        }
        over
    }

    /// Gives the old version traffic again for a short time, so that both can be compared.
    fn begin_probe(&mut self, turn: &mut Turn<'_>, step: u8, finding: &Finding) {
        let probes = (step - self.last_step()) / 3;
        let entered = self.progress.as_ref().map_or(turn.wall, |p| p.entered_at);
        let pause = if probes == 0 {
            Duration::ZERO
        } else {
            PROBE_PAUSE * (1 << u32::from(probes.min(10)))
        };
        if self.probe(step) != Probe::None || turn.wall < entered.plus(pause) {
            return;
        }
        if self.from_slots == Some(0) || probes >= MAX_PROBES {
            self.report_uncompared(turn, step, finding);
            return;
        }
        let next = if finding.rate >= SEVERE_RATE { 2 } else { 1 };
        self.probe_rate = finding.rate;
        let why = format!("comparison with the old version: {}", finding.text);
        self.enter(turn, step + next, &why);
    }

    /// Tells the operators of a rise of faults that is not acted on.
    fn report_uncompared(&mut self, turn: &mut Turn<'_>, step: u8, finding: &Finding) {
        if turn.now < self.next_stall_report {
            return;
        }
        self.next_stall_report = turn.now + STALL_REPORT_INTERVAL;
        let slots = self.from_slots.unwrap_or(0);
        let minute = turn.wall.0 / millis(STALL_REPORT_INTERVAL);
        let text = format!(
            "cannot compare with the old version, which has {slots} slots: {}",
            finding.text
        );
        let identity = format!("stalled-{step}-{minute}");
        self.outcome(turn, ResultCode::RolloutStalled, &identity, text);
    }

    fn end_probe(&mut self, turn: &mut Turn<'_>, progress: &RolloutProgress) {
        let (calls, rest) = match self.probe(progress.step) {
            Probe::None => return,
            Probe::Severe => (SEVERE_PROBE_CALLS, 1),
            Probe::Mild => (MILD_PROBE_CALLS, 2),
        };
        let Some(observation) = &self.observation else {
            return;
        };
        let evidence = &observation.evidence;
        let (new, old) = (
            evidence.step_calls(Side::New),
            evidence.step_calls(Side::Old),
        );
        let time = turn.wall.since(progress.entered_at);
        let vanished = self.probe_rate * f64::from(new) >= VANISHED_CALLS && evidence.is_calm();
        let enough = vanished || new >= calls && old >= calls;
        let clear = enough && !evidence.is_suspicious();
        if time >= MAX_PROBE_TIME || time >= MIN_PROBE_TIME && clear {
            let why =
                format!("no difference in {new} calls of the new and {old} of the old version");
            self.enter(turn, progress.step + rest, &why);
        }
    }

    fn step_times(&self, progress: &RolloutProgress) -> StepTimes {
        let deadline = self.deadline();
        let margin = FINISH_MARGIN.min(self.span() / 4);
        let target = WallMs(deadline.0.saturating_sub(millis(margin)));
        let left = u32::from(self.last_step().saturating_sub(progress.step)).max(1);
        // The time that is left is divided among the steps that are left, so that a rollout that is
        // ahead or behind stays on a schedule.
        let budget = target.since(progress.entered_at) / left;
        let dwell = (budget / DWELL_PART).max(MIN_DWELL.min(budget));
        let latest = progress.entered_at.plus(budget);
        let rest = millis(MIN_DWELL) * u64::from(left - 1);
        let most = progress.entered_at.plus(budget * 2);
        StepTimes {
            earliest: progress.entered_at.plus(dwell),
            latest,
            // Later steps need time too, and show more.
            last: WallMs(target.0.saturating_sub(rest)).min(most).max(latest),
        }
    }

    /// Calls of the new version that suffice at `wall`; falls to none at the latest time.
    fn required_calls(&self, times: &StepTimes, wall: WallMs) -> u64 {
        let whole = times.latest.0.saturating_sub(times.earliest.0).max(1);
        let left = times.latest.0.saturating_sub(wall.0).min(whole);
        (u64::from(self.plan.min_calls) * left).div_ceil(whole)
    }

    /// Tells whether the backend servers of the new version can serve the share of a step.
    fn has_capacity(&self, step: u8) -> bool {
        let share = self.plan.steps.get(usize::from(step)).copied();
        let (Some(share), Some(slots), Some(observation)) =
            (share, self.to_slots, self.observation.as_ref())
        else {
            return true;
        };
        observation.evidence.busy_slots() * f64::from(share) <= MAX_SLOT_USE * f64::from(slots)
    }

    /// Returns what the current step waits for, `None` if the next one may begin.
    fn waits_for(&self, progress: &RolloutProgress, turn: &Turn<'_>) -> Option<String> {
        let times = self.step_times(progress);
        let (wall, next) = (turn.wall, progress.step + 1);
        let evidence = &self.observation.as_ref()?.evidence;
        let calls = evidence.step_calls(Side::New);
        let required = self.required_calls(&times, wall);
        if !self.has_backends(turn.side == Side::New) {
            Some("a backend server of the new version that is up".to_owned())
        } else if !self.has_capacity(next) {
            let slots = self.to_slots.unwrap_or(0);
            let busy = evidence.busy_slots();
            Some(format!(
                "slots: the service occupies {busy:.1} and the new version has {slots}"
            ))
        } else if evidence.is_suspicious() && wall < times.last {
            Some(format!(
                "a clear finding on a suspicion ({} of {calls} calls failed)",
                evidence.step_errors(Side::New)
            ))
        } else if u64::from(calls) < required {
            Some(format!("calls of the new version: {calls} of {required}"))
        } else if wall < times.earliest {
            Some("the minimum time in a step".to_owned())
        } else {
            None
        }
    }

    fn advance(&mut self, turn: &mut Turn<'_>) {
        let Some(progress) = self.progress.clone() else {
            return;
        };
        let last = self.last_step();
        if self.rollback.is_some() || turn.now < self.quiet_until {
            return;
        }
        if progress.step >= last {
            self.end_probe(turn, &progress);
            return;
        }
        if turn.wall >= self.deadline() {
            if self.has_backends(turn.side == Side::New) {
                self.enter(turn, last, "its deadline has come");
            }
            return;
        }
        if self.waits_for(&progress, turn).is_none() {
            let evidence = self.observation.as_ref().map(|o| &o.evidence);
            let count =
                |side| evidence.map_or((0, 0), |e| (e.step_errors(side), e.step_calls(side)));
            let ((new_errors, new_calls), (old_errors, old_calls)) =
                (count(Side::New), count(Side::Old));
            let why = format!(
                "{new_errors} of {new_calls} calls of the new version and {old_errors} of {old_calls} of the old one failed in {:.1} s",
                turn.wall.since(progress.entered_at).as_secs_f64()
            );
            self.enter(turn, progress.step + 1, &why);
        }
    }

    fn enter(&mut self, turn: &mut Turn<'_>, step: u8, why: &str) {
        let began = self.progress.as_ref().map_or(turn.wall, |p| p.began_at);
        let progress = RolloutProgress {
            key: self.key.clone(),
            step,
            entered_at: turn.wall,
            began_at: began,
            by: turn.me.clone(),
        };
        if self.merge_progress(progress.clone()) {
            turn.actions.push(RolloutAction::Advance(progress));
            self.next_stall_report = Duration::ZERO;
            let share = self.share(turn.wall, turn.side == Side::New);
            let text = if step > self.last_step() {
                format!("hold at {share} %: {why}")
            } else {
                let steps = self.last_step() + 1;
                format!("step {} of {steps} at {share} %: {why}", step + 1)
            };
            self.outcome(turn, ResultCode::RolloutStep, &format!("step-{step}"), text);
        }
    }

    fn report_stall(&mut self, turn: &mut Turn<'_>) {
        if self.rollback.is_some() || turn.now < self.next_stall_report {
            return;
        }
        let waiting = match &self.progress {
            None if turn.wall >= self.plan.start_ms.plus(STALL_TIME) => {
                "a backend server of the new version that is up".to_owned()
            }
            None => return,
            Some(progress) => {
                let times = self.step_times(progress);
                let overdue = turn.wall >= times.latest.min(times.earliest.plus(STALL_TIME));
                let complete = progress.step >= self.last_step();
                match self.waits_for(progress, turn) {
                    Some(what) if overdue && !complete => what,
                    _ => return,
                }
            }
        };
        self.next_stall_report = turn.now + STALL_REPORT_INTERVAL;
        let step = self.progress.as_ref().map_or(0, |p| p.step);
        let minute = turn.wall.0 / millis(STALL_REPORT_INTERVAL);
        let text = format!("waits for {waiting}");
        let identity = format!("stalled-{step}-{minute}");
        self.outcome(turn, ResultCode::RolloutStalled, &identity, text);
    }

    fn report_end(&mut self, turn: &mut Turn<'_>) {
        let Some(completed) = self.completed_at() else {
            return;
        };
        if self.rollback.is_some() || turn.wall < completed {
            return;
        }
        if !self.reported_complete {
            self.reported_complete = true;
            let late = turn.wall.0.saturating_sub(self.plan.finish_by_ms.0);
            let text = if late > 0 {
                format!(
                    "all traffic on {} {late} ms after the set time",
                    self.plan.to
                )
            } else {
                let early = self.plan.finish_by_ms.since(completed).as_secs_f64();
                format!(
                    "all traffic on {} {early:.1} s before the set time",
                    self.plan.to
                )
            };
            self.outcome(turn, ResultCode::RolloutCompleted, "completed", text);
        }
        if !self.reported_held && self.hold_end().is_some_and(|end| turn.wall >= end) {
            self.reported_held = true;
            let text = format!("no late fault within {} s", self.plan.hold_s);
            self.outcome(turn, ResultCode::RolloutHeld, "held", text);
        }
    }

    fn outcome(&self, turn: &mut Turn<'_>, code: ResultCode, what: &str, text: String) {
        let RolloutKey { service, to, since } = &self.key;
        turn.actions.push(RolloutAction::Outcome(OutcomeRecord {
            code: code.number(),
            identity: format!("rollout/{service}/{to}/{since}/{what}"),
            at: turn.wall,
            node: turn.me.clone(),
            subject: format!("{service} {to}"),
            text,
        }));
    }
}
