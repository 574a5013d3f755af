//! Moves of a service's traffic to a new version on the platform. See `docs/platform.md`, "Moves".
//!
//! A move goes through steps with a growing share. Every node evaluates the results of the new version
//! that it sees, and stops using a faulty version on its own; the first node in rank order records the
//! step or the revert. The first steps send few requests to the new version, and only to some of its
//! backend servers, so that these run under their normal load and a fault under load shows while few
//! requests are exposed to it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::coordination::placement::Results;
use crate::coordination::route_evidence;
use crate::coordination::route_evidence::RouteEvidence;
use crate::protocol::fleet::MoveRecord;
use crate::protocol::fleet::MoveState;
use crate::protocol::hop::BackendTotals;
use crate::protocol::mesh::MoveOrder;
use crate::protocol::name::NodeId;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;
use crate::protocol::time::millis;

/// Steps of a move: the fraction of the move's time at which the step begins, and the share of the new
/// version. The first step takes longest, since a fault may show only seconds after a start.
const STEPS: [(f64, f64); 4] = [(0.0, 0.08), (0.40, 0.30), (0.52, 0.60), (0.64, 1.0)];
/// Fraction of the move's time at which it completes. The rest covers a slow store.
const COMPLETE_AT: f64 = 0.80;
/// Fraction of the move's time by which a step is delayed at most while a route is suspect.
const MAX_SUSPENSE: f64 = 0.12;
/// Ratio of the new version's slots to the old one's below which the share does not grow: the old backend
/// servers are stopped after the move.
const MIN_SLOT_RATIO: f64 = 0.5;
/// Length of the window of recent results, which are evaluated besides all results since the first tick.
const EVIDENCE_WINDOW: Duration = Duration::from_secs(3);
/// Failures below which a version is not reverted, so that a single faulty request does not end a move.
const MIN_FAILURES: u64 = 4;
/// Failure rate above which a version is reverted, if the rate also exceeds three times that of the old
/// one.
const MAX_FAILURE_RATE: f64 = 0.08;
/// Minimum runs of the new version for a comparison of latencies.
const MIN_LATENCY_RUNS: u64 = 10;
/// Minimum runs of the old version for a baseline of its latency.
const MIN_BASELINE_RUNS: u64 = 20;
/// Highest rank that adds to the delay. The nodes of lower rank may all be down, and a move still has to
/// end in time; records by several nodes are harmless.
const MAX_DELAY_RANK: u32 = 7;
/// Time after which the next node in rank order writes a record that the previous one should have written.
const RANK_DELAY: Duration = Duration::from_millis(300);
/// [`RANK_DELAY`] for a fault. Nodes see different results, and one that sees no fault may complete the move
/// in the meantime.
const FAULT_RANK_DELAY: Duration = Duration::from_millis(100);

/// Time after the store has gone back to an earlier state within which operators write their lost orders
/// again. The same order within it is not a new one.
const REWRITE_TIME: Duration = Duration::from_secs(10);
/// Time from the first read of an order in a new era until a fault is recorded, within which an end that the
/// store has lost has been written again by the nodes that know it.
const END_REWRITE_TIME: Duration = Duration::from_secs(1);
/// Time from the first read of an order in a new era until its move is recorded again or goes on, within which
/// its records in the store have been read and lost ends and faults have been recorded.
const VERIFY_TIME: Duration = Duration::from_secs(2);
/// Time after the start of a process in which it begins no move. Its order may be an old one of which the
/// store has lost the result, and the other nodes need [`VERIFY_TIME`] to write that again.
const STARTUP_TIME: Duration = Duration::from_secs(3);
/// Replaced orders that are remembered, so that the store can show them again without effect.
const MAX_REPLACED_ORDERS: usize = 16;
/// Versions taken back by earlier orders that are remembered.
const MAX_BANNED_VERSIONS: usize = 16;

/// Fraction of the objective from which a cancelled run counts towards the latency of its version. Second
/// attempts cancel slow runs; without those, a slow version would look fast.
const MIN_CANCELLED_FRACTION: f64 = 0.5;
/// Factor on the time of a cancelled run, which would have taken longer than until its cancellation.
const CANCELLED_FACTOR: f64 = 1.5;

/// Returns the latency, in percent of the objective, of a run cancelled after `elapsed`; `None` if the
/// run does not count.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the deadline bounds the latency"
)]
pub fn cancelled_percent(elapsed: Duration, objective: Duration) -> Option<u64> {
    let share = elapsed.as_secs_f64() / objective.as_secs_f64().max(0.001);
    (share >= MIN_CANCELLED_FRACTION).then_some((share * CANCELLED_FACTOR * 100.0) as u64)
}

/// How the requests of a service use its new version.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionPlan {
    /// New version.
    pub target: VersionName,
    /// Share of requests sent to it.
    pub share: f64,
    /// Whether it must not be used even if no other version is available.
    pub banned: bool,
    /// Whether it may have been taken back, which is being read. It is not used until then either.
    pub awaits_result: bool,
}

/// Record for the owner of the [`Moves`] to write.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveAction {
    /// Order that the record belongs to.
    pub order: MoveOrder,
    /// Offset of the order.
    pub offset: u64,
    /// Era of the offset.
    pub era: Option<u64>,
    /// State to record.
    pub state: MoveState,
    /// Time since the order, milliseconds.
    pub elapsed_ms: u64,
    /// Results that led to the state.
    pub why: String,
}

/// Cumulative results of both versions at one time.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Duration,
    target: BackendTotals,
    old: BackendTotals,
}

/// Newest order of one service.
#[derive(Debug)]
struct Move {
    order: MoveOrder,
    offset: u64,
    /// Whether the order was read in the current era of the store, so that its offset is valid.
    is_confirmed: bool,
    /// Time at which the order was read in the current era, if the move began in an earlier one.
    confirmed_at: Option<Duration>,
    /// Time from which the state is recorded again unless the store has it.
    unverified_since: Option<Duration>,
    /// Time until which the same order counts as this one, written again.
    rewritten_until: Duration,
    started: Duration,
    /// Whether the operator may have been told an end that is not recorded for other nodes: its writer may
    /// have ended between both writes, and with it all nodes that knew.
    is_end_unknown: bool,
    /// Whether the version is kept unused until the end is known, even if no other version is available.
    awaits_result: bool,
    state: Option<MoveState>,
    /// Fault that this node found in the new version, and when.
    detected_fault: Option<(Duration, String)>,
    /// Results at the first tick of the move.
    first: Option<Sample>,
    /// Evidence by route since then.
    routes: RouteEvidence,
    /// Results within [`EVIDENCE_WINDOW`].
    recent: VecDeque<Sample>,
}

/// State of the moves of all services, as known to one node.
#[derive(Debug, Default)]
pub struct Moves {
    /// Sorted by service.
    current: Vec<Move>,
    /// Records read before their order.
    early_records: Vec<(ServiceName, MoveRecord)>,
    /// Orders that later ones have replaced, oldest first.
    replaced: Vec<MoveOrder>,
    /// Versions that were taken back before a later order, oldest first.
    banned: Vec<(ServiceName, VersionName)>,
    /// Current era of the store.
    era: Option<u64>,
}

impl Moves {
    /// Applies an order. Returns whether it is new.
    pub fn on_order(&mut self, now: Duration, offset: u64, order: MoveOrder) -> bool {
        let found = self.index(&order.service);
        if let Ok(index) = found {
            let entry = &mut self.current[index];
            if entry.is_confirmed && entry.offset >= offset {
                return false;
            }
            let is_same = entry.order == order;
            if is_same && (!entry.is_confirmed || now < entry.rewritten_until) {
                entry.confirm(now, offset);
                self.apply_early_records(now, &order.service);
                return false;
            }
            if !entry.is_confirmed && self.replaced.contains(&order) {
                return false;
            }
            if self.replaced.len() >= MAX_REPLACED_ORDERS {
                self.replaced.remove(0);
            }
            self.replaced.push(entry.order.clone());
            if entry.is_taken_back() {
                let ban = (entry.order.service.clone(), entry.order.target.clone());
                self.ban(ban);
            }
        }
        let service = order.service.clone();
        // The operator wants the version all the same.
        self.banned
            .retain(|(of, version)| (of, version) != (&service, &order.target));
        let entry = Move {
            order,
            offset,
            is_confirmed: true,
            confirmed_at: None,
            unverified_since: None,
            rewritten_until: Duration::ZERO,
            started: now,
            is_end_unknown: now < STARTUP_TIME,
            awaits_result: now < STARTUP_TIME,
            state: None,
            detected_fault: None,
            first: None,
            routes: RouteEvidence::default(),
            recent: VecDeque::new(),
        };
        match found {
            Ok(index) => self.current[index] = entry,
            Err(index) => self.current.insert(index, entry),
        }
        self.apply_early_records(now, &service);
        true
    }

    fn ban(&mut self, ban: (ServiceName, VersionName)) {
        self.banned.retain(|known| *known != ban);
        if self.banned.len() >= MAX_BANNED_VERSIONS {
            self.banned.remove(0);
        }
        self.banned.push(ban);
    }

    /// Whether a version was taken back by an earlier order, and no later one wants it again.
    #[must_use]
    pub fn is_banned(&self, service: &ServiceName, version: &VersionName) -> bool {
        let mut banned = self.banned.iter();
        banned.any(|(of, banned)| of == service && banned == version)
    }

    /// Sets the era of the store that the process finds at its start.
    pub fn on_first_era(&mut self, era: Option<u64>) {
        self.era = era;
    }

    /// Handles the store going back to an earlier state: orders may get other offsets, and records may be
    /// lost. The moves go on as before.
    pub fn on_store_restored(&mut self, now: Duration, era: Option<u64>) {
        self.era = era;
        self.early_records.clear();
        for entry in &mut self.current {
            entry.is_confirmed = false;
            entry.rewritten_until = now + REWRITE_TIME;
        }
    }

    fn apply_early_records(&mut self, now: Duration, service: &ServiceName) {
        let (records, rest) = self
            .early_records
            .drain(..)
            .partition(|(name, _)| name == service);
        self.early_records = rest;
        let records: Vec<(ServiceName, MoveRecord)> = records;
        for (service, record) in records {
            self.on_record(now, &service, record);
        }
    }

    /// Applies progress recorded by a node. Returns whether it changed the state.
    pub fn on_record(&mut self, now: Duration, service: &ServiceName, record: MoveRecord) -> bool {
        let Ok(index) = self.index(service) else {
            self.early_records.retain(|(name, _)| name != service);
            self.early_records.push((service.clone(), record));
            return false;
        };
        let entry = &mut self.current[index];
        if !entry.is_confirmed || record.order > entry.offset {
            self.early_records.retain(|(name, _)| name != service);
            self.early_records.push((service.clone(), record));
            return false;
        }
        if record.order < entry.offset {
            return false;
        }
        let is_current = record.era >= self.era;
        // An end that the store has lost gives way to the one that other nodes have recorded since.
        let replaces_end = is_current
            && entry.unverified_since.is_some()
            && is_final(record.state)
            && entry.state != Some(record.state);
        let is_new = is_later(entry.state, record.state) || replaces_end;
        if !is_current {
            // The record is from before the store went back, and its result may be lost.
            if is_new {
                entry.unverified_since = Some(now);
            }
        } else if is_new || is_final(record.state) || entry.state == Some(record.state) {
            entry.unverified_since = None;
        }
        if !is_new {
            return false;
        }
        entry.state = Some(record.state);
        entry.recent.clear();
        // A restarted node learns the age of the order from the record.
        let elapsed = Duration::from_millis(record.elapsed_ms);
        entry.started = entry.started.min(now.saturating_sub(elapsed));
        true
    }

    /// Handles an unreadable record in the place of that of a service. The state is recorded again, since a
    /// process that starts would not know of it.
    pub fn on_unreadable_record(&mut self, now: Duration, service: &ServiceName) {
        if let Ok(index) = self.index(service) {
            let entry = &mut self.current[index];
            entry.unverified_since = entry.state.map(|_| now);
        }
    }

    /// Returns the orders whose result has to be read before their version is used, with their offsets.
    #[must_use]
    pub fn unread_results(&self) -> Vec<(MoveOrder, u64)> {
        let unread = self
            .current
            .iter()
            .filter(|entry| entry.is_confirmed && entry.is_end_unknown && !entry.has_ended());
        unread
            .map(|entry| (entry.order.clone(), entry.offset))
            .collect()
    }

    /// Handles the result of an order that operators read, as the store has it in the current era; `None` if
    /// it has not ended.
    pub fn on_result(&mut self, now: Duration, offset: u64, end: Option<MoveState>) {
        let found = self.current.iter_mut().find(|entry| entry.offset == offset);
        let Some(entry) = found.filter(|entry| entry.is_confirmed) else {
            return;
        };
        entry.is_end_unknown = false;
        entry.awaits_result = false;
        if end.is_some() && !entry.has_ended() {
            entry.state = end;
            entry.recent.clear();
            // The other nodes may not know of it.
            entry.unverified_since = Some(now);
        }
    }

    /// Returns how the requests of a service use its new version; `None` if they may use any version.
    #[must_use]
    pub fn plan(&self, service: &ServiceName) -> Option<VersionPlan> {
        let entry = &self.current[self.index(service).ok()?];
        let banned = entry.is_taken_back();
        let share = match entry.state {
            _ if banned => 0.0,
            Some(MoveState::Step(_)) if entry.is_end_unknown => 0.0,
            Some(MoveState::Complete) => 1.0,
            Some(MoveState::Step(step)) => STEPS[usize::from(step).min(STEPS.len() - 1)].1,
            Some(MoveState::Reverted) | None => 0.0,
        };
        Some(VersionPlan {
            target: entry.order.target.clone(),
            share,
            banned,
            awaits_result: entry.awaits_result && !entry.has_ended(),
        })
    }

    /// Returns the plans of all services that have one, sorted by service.
    #[must_use]
    pub fn plans(&self) -> Vec<(ServiceName, VersionPlan)> {
        let services = self.current.iter().map(|entry| entry.order.service.clone());
        services
            .filter_map(|service| self.plan(&service).map(|plan| (service, plan)))
            .collect()
    }

    /// Returns whether a node with a backend server of the new version gets requests at the given share.
    /// `nodes` are all such nodes, sorted.
    #[must_use]
    pub fn is_exposed(share: f64, nodes: &[NodeId], node: &NodeId) -> bool {
        #[allow(clippy::cast_precision_loss, reason = "numbers of nodes are small")]
        let exposed = (share * nodes.len() as f64).ceil().max(1.0);
        #[allow(clippy::cast_precision_loss, reason = "numbers of nodes are small")]
        nodes
            .binary_search(node)
            .is_ok_and(|index| (index as f64) < exposed)
    }

    /// Returns whether any order is known.
    #[must_use]
    pub fn has_orders(&self) -> bool {
        !self.current.is_empty()
    }

    /// Returns whether any move is in progress.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.current.iter().any(Move::is_active)
    }

    /// Evaluates the new versions and returns the records that this node has to write. `now` counts from the
    /// start of the process. `rank` is the position of the node among all nodes; `results` returns the
    /// results of the versions that pass its filter.
    pub fn tick(
        &mut self,
        now: Duration,
        rank: usize,
        results: impl Fn(&ServiceName, &dyn Fn(&VersionName) -> bool) -> Results,
    ) -> Vec<MoveAction> {
        let mut actions = Vec::new();
        let era = self.era;
        for entry in self.current.iter_mut().filter(|entry| entry.is_active()) {
            let target = entry.order.target.clone();
            let new = results(&entry.order.service, &|version| *version == target);
            let old = results(&entry.order.service, &|version| *version != target);
            if !entry.has_ended() {
                entry.evaluate(now, &new, &old);
            }
            // While the store is away, the only version that is left is better than none.
            entry.awaits_result &= now < STARTUP_TIME;
            let action = entry.next_action(now, rank, &new, &old);
            actions.extend(action.map(|action| MoveAction { era, ..action }));
        }
        actions
    }

    fn index(&self, service: &ServiceName) -> Result<usize, usize> {
        self.current
            .binary_search_by(|entry| entry.order.service.cmp(service))
    }
}

fn is_final(state: MoveState) -> bool {
    matches!(state, MoveState::Complete | MoveState::Reverted)
}

/// Returns whether `new` may follow `old`. `Complete` and `Reverted` are final.
fn is_later(old: Option<MoveState>, new: MoveState) -> bool {
    match (old, new) {
        (Some(MoveState::Step(old)), MoveState::Step(new)) => new > old,
        (None | Some(MoveState::Step(_)), _) => true,
        (Some(_), _) => false,
    }
}

impl Move {
    fn has_ended(&self) -> bool {
        self.state.is_some_and(is_final)
    }

    /// Whether the version is not used: a node has recorded its end, or this one has found a fault.
    fn is_taken_back(&self) -> bool {
        let is_faulty = self.detected_fault.is_some() && self.state != Some(MoveState::Complete);
        self.state == Some(MoveState::Reverted) || is_faulty
    }

    fn is_active(&self) -> bool {
        !self.has_ended() || self.unverified_since.is_some()
    }

    /// Handles a read of the order in the current era.
    fn confirm(&mut self, now: Duration, offset: u64) {
        self.is_confirmed = true;
        self.confirmed_at = Some(now);
        self.offset = offset;
        if self.state.is_some() {
            self.unverified_since = Some(now);
        }
    }

    fn evaluate(&mut self, now: Duration, new: &Results, old: &Results) {
        let sample = Sample {
            at: now,
            target: new.tally,
            old: old.tally,
        };
        let first = *self.first.get_or_insert(sample);
        self.recent.push_back(sample);
        while let Some(oldest) = self.recent.front()
            && now.saturating_sub(oldest.at) > EVIDENCE_WINDOW
        {
            self.recent.pop_front();
        }
        if self.detected_fault.is_some() {
            return;
        }
        let baseline = sample.old.since(&first.old);
        let recent = self.recent.front().map_or(first, |oldest| *oldest);
        let of_route = self.routes.update(&new.routes, &old.routes);
        let finding = [recent, first]
            .iter()
            .find_map(|since| find_fault(&sample.target.since(&since.target), &baseline))
            .or(of_route);
        self.detected_fault = finding.map(|text| (now, text));
    }

    fn next_action(
        &self,
        now: Duration,
        rank: usize,
        new: &Results,
        old: &Results,
    ) -> Option<MoveAction> {
        let delay_rank = MAX_DELAY_RANK.min(u32::try_from(rank).unwrap_or(u32::MAX));
        let delay = RANK_DELAY * delay_rank;
        let elapsed = now.saturating_sub(self.started);
        let action = |state, why: String| {
            Some(MoveAction {
                order: self.order.clone(),
                offset: self.offset,
                era: None,
                state,
                elapsed_ms: millis(elapsed),
                why,
            })
        };
        if !self.is_confirmed {
            // The order has no offset that a record could name.
            return None;
        }
        let fault_delay = FAULT_RANK_DELAY * delay_rank;
        if let (Some((at, text)), false) = (&self.detected_fault, self.has_ended()) {
            let rewritten = self.confirmed_at.map(|at| at + END_REWRITE_TIME);
            let due = now >= rewritten.unwrap_or_default().max(*at) + fault_delay;
            return due.then(|| action(MoveState::Reverted, text.clone()))?;
        }
        if let (Some(state), Some(since)) = (self.state, self.unverified_since) {
            // An end is recorded before other nodes go on with the steps that they know.
            let wait = if is_final(state) {
                fault_delay
            } else {
                VERIFY_TIME + delay
            };
            let due = now >= since + wait;
            return due.then(|| action(state, "the store has lost the record".to_owned()))?;
        }
        let (next, at) = match self.state {
            None if now < STARTUP_TIME => return None,
            None => (MoveState::Step(0), 0.0),
            Some(MoveState::Step(step)) => match STEPS.get(usize::from(step) + 1) {
                Some((at, _)) => (MoveState::Step(step + 1), *at),
                None => (MoveState::Complete, COMPLETE_AT),
            },
            Some(_) => return None,
        };
        let is_verified = self
            .confirmed_at
            .is_none_or(|at| now >= at + VERIFY_TIME + delay);
        if elapsed < self.order.within.mul_f64(at) + delay || !is_verified {
            return None;
        }
        if self.routes.is_suspect() && elapsed < self.order.within.mul_f64(at + MAX_SUSPENSE) {
            return None;
        }
        let has_slots = f64::from(new.slots) >= MIN_SLOT_RATIO * f64::from(old.slots);
        if next != MoveState::Step(0) && (new.slots == 0 || !has_slots) {
            return None;
        }
        let why = format!(
            "{} slots of the new version, {} of the old one, {} runs, {} failures",
            new.slots, old.slots, new.tally.runs, new.tally.failures
        );
        action(next, why)
    }
}

/// Compares the results of both versions and describes the fault of the new one, if any.
fn find_fault(new: &BackendTotals, old: &BackendTotals) -> Option<String> {
    let max_rate = MAX_FAILURE_RATE.max(3.0 * old.failure_rate());
    if new.failures >= MIN_FAILURES && new.failure_rate() > max_rate {
        return Some(route_evidence::describe_failures(new, old));
    }
    let is_comparable = new.runs >= MIN_LATENCY_RUNS && old.runs >= MIN_BASELINE_RUNS;
    route_evidence::find_slowdown(new, old).filter(|_| is_comparable)
}
