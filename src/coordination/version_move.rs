//! Moves of a service's traffic to a new version on the platform. See `docs/platform.md`, "Moves".
//!
//! A move goes through steps with a growing share. Every node that sees the results of the new
//! version judges it and stops using it by itself; one of them records the step or the verdict. The
//! first steps give the new version few requests, but to few of its backend servers, so that these
//! run under their ordinary load and a fault under load shows while little is exposed.

use std::collections::VecDeque;
use std::time::Duration;

use crate::coordination::placement::Results;
use crate::protocol::fleet::MoveRecord;
use crate::protocol::fleet::MoveState;
use crate::protocol::hop::Tally;
use crate::protocol::mesh::MoveOrder;
use crate::protocol::name::NodeId;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;
use crate::protocol::time::millis;

/// Share of the new version and the part of the move's time at which a step begins. The first step
/// takes longest, since a fault may show only seconds after a start.
const STEPS: [(f64, f64); 4] = [(0.0, 0.08), (0.40, 0.30), (0.52, 0.60), (0.64, 1.0)];
/// Part of the move's time at which it is complete. What is left covers a store that is slow.
const COMPLETE_AT: f64 = 0.80;
/// Slots of the new version relative to the old one below which the share does not grow: the old
/// backend servers are stopped at the end.
const MIN_SLOTS: f64 = 0.5;
/// Time over which results are compared with those before it.
const EVIDENCE_WINDOW: Duration = Duration::from_secs(3);
/// Failures below which a version is not condemned, so that a single faulty request is no verdict.
const MIN_FAILURES: u64 = 4;
/// Failure rate above which a version is condemned, besides three times the rate of the old one.
const MAX_FAILURE_RATE: f64 = 0.08;
/// Runs below which latencies are not compared.
const MIN_LATENCY_RUNS: u64 = 10;
/// Mean latency, relative to the old version, above which a version is condemned. A version that takes
/// over most of the traffic on fewer slots runs up to twice as long.
const MAX_SLOWDOWN: f64 = 3.0;
/// Runs of the old version that make a baseline.
const MIN_BASELINE_RUNS: u64 = 20;
/// Highest place in rank that adds to the delay. The nodes before it may all be gone, and a move still
/// has to end in time; records by several nodes do no harm.
const MAX_PLACE: u32 = 7;
/// Time after which the next node in rank does what the one before it should have done.
const RANK_DELAY: Duration = Duration::from_millis(300);

/// Part of the objective from which on a run that was cancelled counts for the latency of its version.
/// Second attempts cancel the slow runs, and a slow version would look well by the others.
const MIN_CANCELLED_SHARE: f64 = 0.5;
/// Factor on the time of a cancelled run, which would have taken longer.
const CANCELLED_FACTOR: f64 = 1.5;

/// Latency, in percent of the objective, that a run which was cancelled after `elapsed` counts for.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the deadline bounds the latency"
)]
pub fn cancelled_percent(elapsed: Duration, objective: Duration) -> Option<u64> {
    let share = elapsed.as_secs_f64() / objective.as_secs_f64().max(0.001);
    (share >= MIN_CANCELLED_SHARE).then_some((share * CANCELLED_FACTOR * 100.0) as u64)
}

/// Versions that a request of a service may use.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionPlan {
    /// New version.
    pub target: VersionName,
    /// Share of requests that it gets.
    pub share: f64,
    /// Whether it must not be used even if nothing else is left.
    pub banned: bool,
}

/// What the owner of the [`Moves`] has to write.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveAction {
    /// Order that the record belongs to.
    pub order: MoveOrder,
    /// Offset of the order.
    pub offset: u64,
    /// State to record.
    pub state: MoveState,
    /// Time since the order, milliseconds.
    pub elapsed_ms: u64,
    /// Figures that decided it.
    pub why: String,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Duration,
    target: Tally,
    old: Tally,
}

#[derive(Debug)]
struct Move {
    order: MoveOrder,
    offset: u64,
    started: Duration,
    state: Option<MoveState>,
    verdict: Option<(Duration, String)>,
    first: Option<Sample>,
    recent: VecDeque<Sample>,
}

/// Moves of all services as one node sees them.
#[derive(Debug, Default)]
pub struct Moves {
    /// Sorted by service.
    moves: Vec<Move>,
    /// Records read before their order.
    early: Vec<(ServiceName, MoveRecord)>,
}

impl Moves {
    /// Takes over an order. Returns whether it is new.
    pub fn on_order(&mut self, now: Duration, offset: u64, order: MoveOrder) -> bool {
        let found = self.index(&order.service);
        if let Ok(index) = found
            && self.moves[index].offset >= offset
        {
            return false;
        }
        let service = order.service.clone();
        let entry = Move {
            order,
            offset,
            started: now,
            state: None,
            verdict: None,
            first: None,
            recent: VecDeque::new(),
        };
        match found {
            Ok(index) => self.moves[index] = entry,
            Err(index) => self.moves.insert(index, entry),
        }
        let (known, rest) = self.early.drain(..).partition(|(name, _)| *name == service);
        self.early = rest;
        let known: Vec<(ServiceName, MoveRecord)> = known;
        for (service, record) in known {
            self.on_record(now, &service, record);
        }
        true
    }

    /// Takes over the progress that a node recorded. Returns whether it is news.
    pub fn on_record(&mut self, now: Duration, service: &ServiceName, record: MoveRecord) -> bool {
        let Ok(index) = self.index(service) else {
            self.early.retain(|(name, _)| name != service);
            self.early.push((service.clone(), record));
            return false;
        };
        let entry = &mut self.moves[index];
        if record.order > entry.offset {
            self.early.push((service.clone(), record));
            return false;
        }
        if record.order < entry.offset || !is_later(entry.state, record.state) {
            return false;
        }
        entry.state = Some(record.state);
        entry.recent.clear();
        // A node that restarted learns from the record how old the order is.
        let elapsed = Duration::from_millis(record.elapsed_ms);
        entry.started = entry.started.min(now.saturating_sub(elapsed));
        true
    }

    /// Returns the versions that requests of a service may use; `None` if any may be used.
    #[must_use]
    pub fn plan(&self, service: &ServiceName) -> Option<VersionPlan> {
        let entry = &self.moves[self.index(service).ok()?];
        let condemned = entry.verdict.is_some() && entry.state != Some(MoveState::Complete);
        let (share, banned) = match entry.state {
            Some(MoveState::Reverted) => (0.0, true),
            _ if condemned => (0.0, true),
            Some(MoveState::Complete) => (1.0, false),
            Some(MoveState::Step(step)) => (STEPS[usize::from(step).min(STEPS.len() - 1)].1, false),
            None => (0.0, false),
        };
        Some(VersionPlan {
            target: entry.order.target.clone(),
            share,
            banned,
        })
    }

    /// Returns the plans of all services that have one, sorted by service.
    #[must_use]
    pub fn plans(&self) -> Vec<(ServiceName, VersionPlan)> {
        let services = self.moves.iter().map(|entry| entry.order.service.clone());
        services
            .filter_map(|service| self.plan(&service).map(|plan| (service, plan)))
            .collect()
    }

    /// Whether a node beside a backend server of the new version takes part in a share.
    #[must_use]
    pub fn is_exposed(share: f64, nodes: &[NodeId], node: &NodeId) -> bool {
        #[allow(clippy::cast_precision_loss, reason = "numbers of nodes are small")]
        let exposed = (share * nodes.len() as f64).ceil().max(1.0);
        #[allow(clippy::cast_precision_loss, reason = "numbers of nodes are small")]
        nodes
            .binary_search(node)
            .is_ok_and(|index| (index as f64) < exposed)
    }

    /// Whether any order is known.
    #[must_use]
    pub fn has_orders(&self) -> bool {
        !self.moves.is_empty()
    }

    /// Whether any move is under way.
    #[must_use]
    pub fn is_active(&self) -> bool {
        self.moves.iter().any(Move::is_active)
    }

    /// Judges the new versions and returns what this node has to record. `rank` is the node's place
    /// among all nodes; `results` returns those of the versions that pass its filter.
    pub fn tick(
        &mut self,
        now: Duration,
        rank: usize,
        results: impl Fn(&ServiceName, &dyn Fn(&VersionName) -> bool) -> Results,
    ) -> Vec<MoveAction> {
        let mut actions = Vec::new();
        for entry in self.moves.iter_mut().filter(|entry| entry.is_active()) {
            let target = entry.order.target.clone();
            let new = results(&entry.order.service, &|version| *version == target);
            let old = results(&entry.order.service, &|version| *version != target);
            entry.judge(now, &new, &old);
            actions.extend(entry.next_action(now, rank, &new, &old));
        }
        actions
    }

    fn index(&self, service: &ServiceName) -> Result<usize, usize> {
        self.moves
            .binary_search_by(|entry| entry.order.service.cmp(service))
    }
}

/// Whether `new` may follow `old`; an end is final.
fn is_later(old: Option<MoveState>, new: MoveState) -> bool {
    match (old, new) {
        (Some(MoveState::Step(old)), MoveState::Step(new)) => new > old,
        (None | Some(MoveState::Step(_)), _) => true,
        (Some(_), _) => false,
    }
}

impl Move {
    fn is_active(&self) -> bool {
        matches!(self.state, None | Some(MoveState::Step(_)))
    }

    fn judge(&mut self, now: Duration, new: &Results, old: &Results) {
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
        if self.verdict.is_some() {
            return;
        }
        let baseline = sample.old.since(&first.old);
        let recent = self.recent.front().map_or(first, |oldest| *oldest);
        let finding = [recent, first]
            .iter()
            .find_map(|since| fault(&sample.target.since(&since.target), &baseline));
        self.verdict = finding.map(|text| (now, text));
    }

    fn next_action(
        &self,
        now: Duration,
        rank: usize,
        new: &Results,
        old: &Results,
    ) -> Option<MoveAction> {
        let place = MAX_PLACE.min(u32::try_from(rank).unwrap_or(u32::MAX));
        let delay = RANK_DELAY * place;
        let elapsed = now.saturating_sub(self.started);
        let action = |state, why: String| {
            Some(MoveAction {
                order: self.order.clone(),
                offset: self.offset,
                state,
                elapsed_ms: millis(elapsed),
                why,
            })
        };
        if let Some((at, text)) = &self.verdict {
            let due = now >= *at + delay;
            return due.then(|| action(MoveState::Reverted, text.clone()))?;
        }
        let (next, at) = match self.state {
            None => (MoveState::Step(0), 0.0),
            Some(MoveState::Step(step)) => match STEPS.get(usize::from(step) + 1) {
                Some((at, _)) => (MoveState::Step(step + 1), *at),
                None => (MoveState::Complete, COMPLETE_AT),
            },
            Some(_) => return None,
        };
        if elapsed < self.order.within.mul_f64(at) + delay {
            return None;
        }
        let has_room = f64::from(new.slots) >= MIN_SLOTS * f64::from(old.slots);
        if next != MoveState::Step(0) && (new.slots == 0 || !has_room) {
            return None;
        }
        let why = format!(
            "{} slots of the new version, {} of the old one, {} runs, {} failures",
            new.slots, old.slots, new.tally.runs, new.tally.failures
        );
        action(next, why)
    }
}

#[allow(
    clippy::cast_precision_loss,
    reason = "numbers of runs are far below 2^52"
)]
fn fault(new: &Tally, old: &Tally) -> Option<String> {
    let rate = |tally: &Tally| tally.failures as f64 / tally.runs.max(1) as f64;
    let mean = |tally: &Tally| tally.latency_percent as f64 / tally.runs.max(1) as f64;
    let (failure_rate, old_rate) = (rate(new), rate(old));
    if new.failures >= MIN_FAILURES && failure_rate > MAX_FAILURE_RATE.max(3.0 * old_rate) {
        return Some(format!(
            "{} of {} runs failed, {} of {} of the old version",
            new.failures, new.runs, old.failures, old.runs
        ));
    }
    let comparable = new.runs >= MIN_LATENCY_RUNS && old.runs >= MIN_BASELINE_RUNS;
    let slowdown = mean(new) / mean(old).max(1.0);
    if comparable && slowdown > MAX_SLOWDOWN {
        return Some(format!(
            "mean latency of {} runs is {slowdown:.1} times that of the old version",
            new.runs
        ));
    }
    None
}
