//! Admission queue of a backend server, on the node beside it. See `docs/platform.md`, "Admission".
//!
//! A call waits only if it is expected to start early enough for its latency objective, according
//! to the measured run times of the calls ahead of it. Otherwise it is refused immediately, so that
//! it can be sent to another node. If no node can meet the objective, the call is offered again
//! with [`Offer::accepts_late`]. Such calls start only when no waiting call can still meet its
//! objective: under overload, giving slots to late calls first would make the other calls late as
//! well. Calls of workspaces, then of routes, with a higher priority start first. Calls whose caller has spent the objective
//! before this try (see [`crate::coordination::caller_age`]) are late from the start.
//!
//! Calls of workspaces that have the same rank start in the order of their fair shares (see [`FairShare`]), those
//! without a workspace, such as the calls that running requests make, before them. The wait that decides on a call
//! is that in this order, so a workspace that fills the queue does not keep out the others. Instead, its own last
//! calls are refused as soon as others go before them (see [`SlotQueue::refuse_overtaken`]).
//!
//! If the backend server has named a limit on its requests, a call also needs a token of that limit
//! (see [`RequestLimit`]), and the expected waits include the time until then. The same holds for the bound of a
//! backend server that is cold (see [`ColdStart`]).

use std::time::Duration;

use crate::coordination::request_limit::RequestLimit;
use crate::coordination::room::cold_start::ColdStart;
use crate::coordination::workspaces::fair_share::FairShare;
use crate::coordination::workspaces::fair_share::LOWEST_RANK;
use crate::coordination::workspaces::fair_share::Rank;
use crate::coordination::workspaces::fair_share::WorkspaceShare;
use crate::protocol::hop::Load;
use crate::protocol::hop::RequestRate;
use crate::protocol::name::RouteName;
use crate::protocol::name::WorkspaceName;

/// Minimum weight of one run in the mean run time of its route; the first runs weigh more.
const RUN_WEIGHT: f64 = 0.1;
/// Assumed run time of a route without measurements, as a fraction of its objective. Typical routes
/// take 0.29 to 0.38 of their objective.
pub const ASSUMED_RUN_SHARE: f64 = 0.35;
/// Factor on the run time of a backend server that is still slow after its start.
pub const COLD_START_FACTOR: f64 = 2.0;
/// Time before its objective or deadline by which a call must start, in mean run times; run times
/// vary by about 50 %.
pub const RUN_MARGIN: f64 = 1.5;
/// Shortest retry delay that a refusal asks for.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(30);
/// Longest retry delay that a refusal asks for; by then the load has changed.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Part of the usable slots that spillover calls may always fill. The others only while calls of the own failure
/// domain seldom wait: a fixed margin of two slots of six refused calls that the domain could have served.
const SPILLOVER_SLOT_SHARE: f64 = 0.75;
/// Time after a call of the own failure domain had to wait for which spillover calls keep that margin.
const SPILLOVER_PAUSE: Duration = Duration::from_millis(250);
/// Part of the own failure domain's calls that may wait without that; a few wait long before slots are short.
const TOLERATED_WAITS: f64 = 0.5;
/// Weight of one call in that part.
const WAIT_WEIGHT: f64 = 0.1;

/// Identifies a waiting call.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// A call that requests a slot.
#[derive(Clone, Debug)]
pub struct Offer {
    /// Route of the call.
    pub route: RouteName,
    /// Workspace of the call; `None` for a call without one.
    pub workspace: Option<WorkspaceShare>,
    /// Priority of the workspace, which goes before that of the route; 0 is the highest.
    pub workspace_priority: u8,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Time by which the response meets the objective.
    pub objective_at: Duration,
    /// Deadline of the caller or the route, whichever is earlier.
    pub deadline: Duration,
    /// Whether the caller accepts a response after the objective.
    pub accepts_late: bool,
    /// Whether the call comes from another failure domain that could serve it. Such a call starts at once, on
    /// spare capacity, or is refused.
    pub is_spillover: bool,
}

impl Offer {
    fn rank(&self) -> Rank {
        (self.workspace_priority, self.priority)
    }
}

/// Admission decision on a call that has just arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admit {
    /// The call starts now.
    Start,
    /// The call waits; a later [`Changes`] contains the decision, at the latest at this time.
    Wait(Ticket, Duration),
    /// The call is refused and has not run; a slot is expected to be free after this time.
    Refuse(Duration),
}

/// Admission decisions on waiting calls.
#[derive(Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// Calls that start now.
    pub start: Vec<Ticket>,
    /// Calls that are refused and have not run, with the time after which a slot is expected to be
    /// free.
    pub refuse: Vec<(Ticket, Duration)>,
}

#[derive(Debug)]
struct Waiting {
    rank: Rank,
    workspace: Option<WorkspaceShare>,
    ticket: Ticket,
    expected_run: Duration,
    /// Latest start for a response within the objective.
    in_time_by: Duration,
    /// Latest start for a response before the deadline.
    last_start: Duration,
    accepts_late: bool,
}

impl Waiting {
    fn can_be_in_time(&self, now: Duration) -> bool {
        self.in_time_by >= now
    }
}

/// Virtual time of calls without a workspace, which start before the others of their rank.
const NO_WORKSPACE_TIME: f64 = f64::NEG_INFINITY;

/// Virtual times at which the waiting calls start; empty if none of them has a workspace.
struct StartTimes(Vec<f64>);

impl StartTimes {
    fn of(&self, index: usize) -> f64 {
        self.0.get(index).copied().unwrap_or(NO_WORKSPACE_TIME)
    }
}

#[derive(Debug)]
struct RouteRuns {
    route: RouteName,
    mean_s: f64,
    runs: u32,
}

/// Slots of one backend server and the calls that wait for them.
#[derive(Debug)]
pub struct SlotQueue {
    slots: u32,
    running: u32,
    /// Sorted by rank, then by arrival.
    waiting: Vec<Waiting>,
    shares: FairShare,
    /// Sorted by route.
    runs: Vec<RouteRuns>,
    mean_run_s: f64,
    /// Time until which the backend server is slow after its start.
    cold_until: Duration,
    next_ticket: u64,
    /// Last time at which a slot was free for a call that cannot be in time.
    spare_at: Duration,
    /// Last time at which a call of the own failure domain could not start at once.
    waited_at: Option<Duration>,
    /// Mean part of the calls of the own failure domain that could not.
    waits: f64,
    limit: Option<RequestLimit>,
    cold_start: ColdStart,
    /// Whether the backend server has answered since its start, so that its limit is known.
    has_answered: bool,
}

impl SlotQueue {
    /// Creates the queue of a backend server with `slots` slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            running: 0,
            waiting: Vec::new(),
            shares: FairShare::default(),
            runs: Vec::new(),
            mean_run_s: 0.0,
            cold_until: Duration::ZERO,
            next_ticket: 0,
            spare_at: Duration::ZERO,
            waited_at: None,
            waits: 0.0,
            limit: None,
            cold_start: ColdStart::default(),
            has_answered: false,
        }
    }

    /// Sets the number of slots; additional ones are used as calls finish.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Handles a start of the backend server, which is slow until `cold_until`. Earlier
    /// measurements do not apply to it and are dropped.
    pub fn on_start(&mut self, cold_until: Duration) {
        self.cold_until = cold_until;
        self.runs.clear();
        self.mean_run_s = 0.0;
        self.limit = None;
        self.has_answered = false;
        self.cold_start.on_start();
    }

    /// Returns the cold state of the backend server.
    #[must_use]
    pub fn cold_start(&self) -> &ColdStart {
        &self.cold_start
    }

    /// Returns the cold state of the backend server to change it. Waiting calls are not started; see
    /// [`Self::advance`].
    pub fn cold_start_mut(&mut self) -> &mut ColdStart {
        &mut self.cold_start
    }

    /// Applies the limit that the backend server named in its last response, or `None` if it named
    /// none. Returns whether that is a change.
    pub fn on_limit(&mut self, now: Duration, rate: Option<RequestRate>) -> bool {
        self.has_answered = true;
        self.set_limit(now, rate)
    }

    /// Applies the limit that another node last heard of, until the backend server answers. Returns
    /// whether that is a change.
    pub fn on_reported_limit(&mut self, now: Duration, rate: RequestRate) -> bool {
        !self.has_answered && self.set_limit(now, Some(rate))
    }

    fn set_limit(&mut self, now: Duration, rate: Option<RequestRate>) -> bool {
        let changed = self.limit.map(|limit| limit.rate()) != rate;
        match (&mut self.limit, rate) {
            (Some(limit), Some(rate)) => limit.set_rate(now, rate),
            (limit, rate) => *limit = rate.map(|rate| RequestLimit::new(now, rate)),
        }
        changed
    }

    /// Returns the time at which the limit, or the bound of a cold backend server, allows a waiting call to
    /// start, if only these keep it from starting. [`Self::advance`] has to be called then.
    #[must_use]
    pub fn next_start_at(&self, now: Duration) -> Option<Duration> {
        let is_limited = self.limit.is_some() || self.cold_start.per_s(now).is_some();
        if !is_limited || self.running >= self.slots {
            return None;
        }
        let (_, next) = self.next_waiting(now)?;
        Some(now.saturating_add(self.rate_delay(now, 0, next.rank)))
    }

    /// Returns the load of the backend server. A limit reduces the slots to the mean number of calls
    /// that run under it (Little's law), so that nodes expect the waits that the limit causes.
    #[must_use]
    pub fn load(&self) -> Load {
        self.load_under(self.limit.map(|limit| limit.per_s()))
    }

    /// Returns the load like [`Self::load`], also reduced by the bound of a cold backend server.
    #[must_use]
    pub fn load_at(&self, now: Duration) -> Load {
        let limit_per_s = self.limit.map(|limit| limit.per_s());
        let cold_per_s = self.cold_start.per_s(now);
        let rates = limit_per_s.into_iter().chain(cold_per_s);
        self.load_under(rates.reduce(f64::min))
    }

    fn load_under(&self, per_s: Option<f64>) -> Load {
        let (slots, slot_time_s) = match per_s {
            None => (self.slots, self.mean_run_s),
            Some(per_s) => {
                #[allow(
                    clippy::cast_possible_truncation,
                    clippy::cast_sign_loss,
                    reason = "a float saturates at the bounds of the integer"
                )]
                let running = (per_s * self.mean_run_s) as u32;
                let slots = running.clamp(1, self.slots);
                let slot_time_s = f64::from(slots) / per_s;
                (slots, slot_time_s.max(self.mean_run_s))
            }
        };
        Load {
            running: self.running,
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            slots,
            #[allow(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "the deadline bounds the run time"
            )]
            mean_run_ms: (slot_time_s * 1e3) as u32,
            limit: self.limit.map(|limit| limit.rate()),
            ..Load::default()
        }
    }

    /// Returns the time after which a slot is expected to be free, if the call would be refused now.
    #[must_use]
    pub fn would_refuse(&self, now: Duration, offer: &Offer) -> Option<Duration> {
        if offer.deadline <= now {
            return Some(MIN_RETRY_DELAY);
        }
        if let Some(wait) = self.spillover_refusal(now, offer) {
            return Some(wait);
        }
        let has_free_slot = self.is_next(now, offer) && self.running < self.slots;
        if has_free_slot && self.cold_start.allows(now, offer.rank()) {
            return None;
        }
        self.refusal(now, offer, self.expected_run(now, offer))
    }

    /// Returns the retry delay of a call that has to wait, if it cannot start early enough.
    fn refusal(&self, now: Duration, offer: &Offer, expected_run: Duration) -> Option<Duration> {
        let (in_time_by, last_start) = latest_starts(offer, expected_run);
        let rank = offer.rank();
        let order = self.start_times(now);
        let own = self.start_time_behind(now, offer, true);
        let is_before = |index: usize, other: &Waiting| {
            let goes_first = other.rank < rank || (other.rank == rank && order.of(index) <= own);
            goes_first && other.can_be_in_time(now)
        };
        let wait = self.expected_wait(now, expected_run, rank, is_before);
        if now.saturating_add(wait) <= in_time_by {
            return None;
        }
        // Of the calls that cannot be in time either, those of the same rank that are behind by their shares do
        // not count.
        let own = self.start_time_behind(now, offer, false);
        let is_before = |index: usize, other: &Waiting| {
            other.rank != rank || other.can_be_in_time(now) || order.of(index) <= own
        };
        let wait = self.expected_wait(now, expected_run, rank, is_before);
        // Calls that can be in time go first. Their surplus is expected to last as long as it has
        // lasted, so that calls do not wait in vain.
        let wait = wait.max(self.surplus_age(now));
        let too_late = now.saturating_add(wait) > last_start || wait > offer.objective;
        (!offer.accepts_late || too_late).then(|| retry_delay(wait))
    }

    /// Expected time until a new call starts, in the order of arrival.
    #[must_use]
    pub fn backlog(&self, now: Duration) -> Duration {
        let has_free_slot = self.waiting.is_empty() && self.running < self.slots;
        if has_free_slot && self.cold_start.allows(now, LOWEST_RANK) {
            return Duration::ZERO;
        }
        self.expected_wait(now, Duration::ZERO, LOWEST_RANK, |_, _| true)
    }

    /// Expected run time of a call; assumed if none of its route has been measured.
    #[must_use]
    pub fn expected_run(&self, now: Duration, offer: &Offer) -> Duration {
        match self
            .runs
            .binary_search_by(|run| run.route.cmp(&offer.route))
        {
            Ok(index) => Duration::from_secs_f64(self.runs[index].mean_s),
            Err(_) if now < self.cold_until => offer
                .objective
                .mul_f64(ASSUMED_RUN_SHARE * COLD_START_FACTOR),
            Err(_) => offer.objective.mul_f64(ASSUMED_RUN_SHARE),
        }
    }

    /// Decides whether a call that has arrived starts, waits or is refused.
    pub fn offer(&mut self, now: Duration, offer: &Offer) -> Admit {
        if offer.deadline <= now {
            return Admit::Refuse(MIN_RETRY_DELAY);
        }
        if let Some(wait) = self.spillover_refusal(now, offer) {
            return Admit::Refuse(wait);
        }
        self.cold_start.on_offer(now, offer.rank());
        let has_free_slot = self.is_next(now, offer) && self.running < self.slots;
        if has_free_slot && self.take_from_rates(now, offer.rank()) {
            self.running += 1;
            self.spare_at = now;
            if !offer.is_spillover {
                self.waits -= self.waits * WAIT_WEIGHT;
            }
            if let Some(workspace) = &offer.workspace {
                self.shares.on_start(offer.rank(), workspace);
            }
            return Admit::Start;
        }
        self.waited_at = Some(now);
        self.waits += (1.0 - self.waits) * WAIT_WEIGHT;
        let expected_run = self.expected_run(now, offer);
        if let Some(retry_after) = self.refusal(now, offer, expected_run) {
            return Admit::Refuse(retry_after);
        }
        let (in_time_by, last_start) = latest_starts(offer, expected_run);
        // The wait is bounded by the objective, so that a refused caller still has time to retry.
        let last_start = if offer.accepts_late {
            last_start.min(now + offer.objective)
        } else {
            last_start
        };
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let index = self
            .waiting
            .partition_point(|other| other.rank <= offer.rank());
        self.waiting.insert(
            index,
            Waiting {
                rank: offer.rank(),
                workspace: offer.workspace.clone(),
                ticket,
                expected_run,
                in_time_by,
                last_start,
                accepts_late: offer.accepts_late,
            },
        );
        Admit::Wait(ticket, last_start)
    }

    /// Releases a slot; `run_time` is `None` if the call did not run to completion.
    pub fn finish(
        &mut self,
        now: Duration,
        route: &RouteName,
        run_time: Option<Duration>,
    ) -> Changes {
        self.running = self.running.saturating_sub(1);
        if let Some(run_time) = run_time {
            self.record_run(route, run_time);
        }
        self.advance(now)
    }

    /// Removes a waiting call from the queue.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Starts waiting calls while slots are free, and refuses those that can no longer meet their
    /// deadline.
    pub fn advance(&mut self, now: Duration) -> Changes {
        let mut changes = Changes::default();
        let mean = Duration::from_secs_f64(self.mean_run_s);
        let cold_start = &self.cold_start;
        self.waiting.retain(|waiting| {
            let can_finish = waiting.last_start >= now;
            if !can_finish {
                let wait = mean.max(cold_start.delay(now, 0, waiting.rank));
                changes.refuse.push((waiting.ticket, retry_delay(wait)));
            }
            can_finish
        });
        while self.running < self.slots
            && let Some((index, next)) = self.next_waiting(now)
        {
            let rank = next.rank;
            let is_in_time = next.can_be_in_time(now);
            if !self.take_from_rates(now, rank) {
                break;
            }
            if !is_in_time {
                self.spare_at = now;
            }
            let next = self.waiting.remove(index);
            if let Some(workspace) = &next.workspace {
                self.shares.on_start(next.rank, workspace);
            }
            changes.start.push(next.ticket);
            self.running += 1;
        }
        changes
    }

    /// Returns the retry delay of a spillover call that would take capacity which the own failure domain needs.
    fn spillover_refusal(&self, now: Duration, offer: &Offer) -> Option<Duration> {
        if !offer.is_spillover {
            return None;
        }
        let has_waited = |at| now.saturating_sub(at) < SPILLOVER_PAUSE;
        let is_short = self.waits > TOLERATED_WAITS && self.waited_at.is_some_and(has_waited);
        let share = if is_short { SPILLOVER_SLOT_SHARE } else { 1.0 };
        let usable = f64::from(self.load_at(now).slots) * share;
        let has_spare = self.waiting.is_empty()
            && f64::from(self.running + 1) <= usable
            && self.rate_delay(now, 0, offer.rank()).is_zero();
        (!has_spare).then(|| retry_delay(self.backlog(now)))
    }

    /// Whether no waiting call goes before a new one. Less urgent calls may wait beside free slots for requests
    /// that a cold backend server tolerates, while some are kept for urgent ones.
    fn is_next(&self, now: Duration, offer: &Offer) -> bool {
        let is_cold = self.cold_start.per_s(now).is_some();
        let first = self.waiting.first();
        first.is_none_or(|first| is_cold && first.rank > offer.rank())
    }

    /// Returns the waiting call that starts next, with its index.
    fn next_waiting(&self, now: Duration) -> Option<(usize, &Waiting)> {
        let mut calls = self.waiting.iter();
        let in_time = calls.position(|waiting| waiting.can_be_in_time(now));
        self.waiting.first()?;
        let next = self.first_by_share(now, in_time.unwrap_or(0));
        Some((next, &self.waiting[next]))
    }

    /// Refuses the waiting calls of workspaces that the call with this ticket goes before by its share, and that are
    /// not expected to be in time any more. They would wait in vain for their last start. Without workspaces no call
    /// is refused. Has to be called after [`Self::offer`] has let a call wait.
    pub fn refuse_overtaken(&mut self, now: Duration, ticket: Ticket) -> Changes {
        let mut changes = Changes::default();
        if !self.has_workspaces() {
            return changes;
        }
        let order = self.start_times(now);
        let mut in_order: Vec<usize> = (0..self.waiting.len()).collect();
        in_order.retain(|index| self.waiting[*index].can_be_in_time(now));
        in_order.sort_by(|a, b| {
            let ranks = self.waiting[*a].rank.cmp(&self.waiting[*b].rank);
            ranks.then(order.of(*a).total_cmp(&order.of(*b)))
        });
        let (mut ahead, mut work, mut is_behind) = (0, 0.0, false);
        for index in in_order {
            let waiting = &self.waiting[index];
            let wait = self.wait_behind(now, waiting.expected_run, waiting.rank, ahead, work);
            let is_late = now + wait > waiting.in_time_by;
            if is_behind && is_late && waiting.workspace.is_some() && !waiting.accepts_late {
                changes.refuse.push((waiting.ticket, retry_delay(wait)));
                continue;
            }
            is_behind |= waiting.ticket == ticket;
            ahead += 1;
            work += waiting.expected_run.as_secs_f64();
        }
        let refused = &changes.refuse;
        self.waiting
            .retain(|waiting| refused.iter().all(|(ticket, _)| *ticket != waiting.ticket));
        changes
    }

    fn has_workspaces(&self) -> bool {
        self.waiting
            .iter()
            .any(|waiting| waiting.workspace.is_some())
    }

    /// Returns the call that starts next, of those that have the rank of the call at `first` and can be in time
    /// like it.
    fn first_by_share(&self, now: Duration, first: usize) -> usize {
        if !self.has_workspaces() {
            return first;
        }
        let rank = self.waiting[first].rank;
        let in_time = self.waiting[first].can_be_in_time(now);
        let is_candidate =
            |other: &Waiting| other.rank == rank && other.can_be_in_time(now) == in_time;
        let candidates = self.waiting.iter().enumerate().skip(first);
        let candidates = candidates.filter(|(_, other)| is_candidate(other));
        // The first one of equal times is that which arrived first.
        let times = candidates.map(|(index, other)| (index, self.start_time(other, 0)));
        let next = times.min_by(|a, b| a.1.total_cmp(&b.1));
        next.map_or(first, |(index, _)| index)
    }

    /// Returns the virtual time at which a waiting call starts behind `ahead` other ones of its workspace.
    fn start_time(&self, waiting: &Waiting, ahead: u32) -> f64 {
        let workspace = waiting.workspace.as_ref();
        workspace.map_or(NO_WORKSPACE_TIME, |workspace| {
            self.shares.start_time(waiting.rank, workspace, ahead)
        })
    }

    /// Returns the virtual time at which a new call starts behind those of its workspace that can be in time, or
    /// behind those that cannot.
    fn start_time_behind(&self, now: Duration, offer: &Offer, in_time: bool) -> f64 {
        let Some(workspace) = &offer.workspace else {
            return NO_WORKSPACE_TIME;
        };
        let rank = offer.rank();
        let is_ahead = |other: &&Waiting| {
            let is_same = other.workspace.as_ref().map(|of| &of.name) == Some(&workspace.name);
            is_same && other.rank == rank && other.can_be_in_time(now) == in_time
        };
        let ahead = self.waiting.iter().filter(is_ahead).count();
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        self.shares.start_time(rank, workspace, ahead)
    }

    /// Returns the virtual times at which the waiting calls start.
    fn start_times(&self, now: Duration) -> StartTimes {
        if !self.has_workspaces() {
            return StartTimes(Vec::new());
        }
        // Numbers of calls so far, sorted by what they are counted by.
        let mut counts: Vec<((Rank, bool, &WorkspaceName), u32)> = Vec::new();
        let mut times = Vec::with_capacity(self.waiting.len());
        for waiting in &self.waiting {
            let Some(workspace) = &waiting.workspace else {
                times.push(NO_WORKSPACE_TIME);
                continue;
            };
            let of = (waiting.rank, waiting.can_be_in_time(now), &workspace.name);
            let index = match counts.binary_search_by(|(known, _)| known.cmp(&of)) {
                Ok(index) => index,
                Err(index) => {
                    counts.insert(index, (of, 0));
                    index
                }
            };
            times.push(self.start_time(waiting, counts[index].1));
            counts[index].1 += 1;
        }
        StartTimes(times)
    }

    /// Time for which all slots have gone to calls that can be in time, while more of them wait.
    fn surplus_age(&self, now: Duration) -> Duration {
        let has_in_time = self
            .waiting
            .iter()
            .any(|waiting| waiting.can_be_in_time(now));
        if has_in_time {
            now.saturating_sub(self.spare_at)
        } else {
            Duration::ZERO
        }
    }

    /// Expected time until a call of a rank starts behind the waiting calls that pass the filter. Until the
    /// first run has been measured, running calls are assumed to take `expected_run`.
    fn expected_wait(
        &self,
        now: Duration,
        expected_run: Duration,
        rank: Rank,
        is_ahead: impl Fn(usize, &Waiting) -> bool,
    ) -> Duration {
        let (mut ahead, mut work) = (0, 0.0);
        for (index, other) in self.waiting.iter().enumerate() {
            if is_ahead(index, other) {
                ahead += 1;
                work += other.expected_run.as_secs_f64();
            }
        }
        self.wait_behind(now, expected_run, rank, ahead, work)
    }

    /// Expected time until a call starts behind `ahead` calls that take `work` seconds together.
    fn wait_behind(
        &self,
        now: Duration,
        expected_run: Duration,
        rank: Rank,
        ahead: usize,
        work: f64,
    ) -> Duration {
        let next_slot = match self.mean_run_s {
            _ if self.running < self.slots => 0.0,
            0.0 => expected_run.as_secs_f64(),
            mean => mean,
        };
        let slot_wait = Duration::from_secs_f64((work + next_slot) / f64::from(self.slots));
        slot_wait.max(self.rate_delay(now, ahead, rank))
    }

    /// Returns the time until the limit and the bound of a cold backend server allow a request behind `ahead`
    /// other ones.
    fn rate_delay(&self, now: Duration, ahead: usize, rank: Rank) -> Duration {
        let limit_delay = self.limit.map(|limit| limit.delay(now, ahead));
        let cold_delay = self.cold_start.delay(now, ahead, rank);
        cold_delay.max(limit_delay.unwrap_or_default())
    }

    /// Takes a request from the limit of the backend server, if it has one, and from the bound while it is
    /// cold. Returns whether both allow a request now.
    fn take_from_rates(&mut self, now: Duration, rank: Rank) -> bool {
        let allowed = self.cold_start.allows(now, rank)
            && self.limit.as_mut().is_none_or(|limit| limit.take(now));
        if allowed {
            self.cold_start.take(now);
        }
        allowed
    }

    fn record_run(&mut self, route: &RouteName, run_time: Duration) {
        let run_time_s = run_time.as_secs_f64();
        self.mean_run_s = if self.mean_run_s == 0.0 {
            run_time_s
        } else {
            self.mean_run_s + (run_time_s - self.mean_run_s) * RUN_WEIGHT
        };
        match self.runs.binary_search_by(|run| run.route.cmp(route)) {
            Ok(index) => {
                let runs = &mut self.runs[index];
                runs.runs = runs.runs.saturating_add(1);
                let weight = RUN_WEIGHT.max(1.0 / f64::from(runs.runs));
                runs.mean_s += (run_time_s - runs.mean_s) * weight;
            }
            Err(index) => self.runs.insert(
                index,
                RouteRuns {
                    route: route.clone(),
                    mean_s: run_time_s,
                    runs: 1,
                },
            ),
        }
    }
}

/// Returns the latest starts of a call for a response within its objective and before its deadline.
fn latest_starts(offer: &Offer, expected_run: Duration) -> (Duration, Duration) {
    let run = expected_run.mul_f64(RUN_MARGIN);
    let last_start = offer.deadline.saturating_sub(run);
    let in_time_by = offer.objective_at.saturating_sub(run).min(last_start);
    (in_time_by, last_start)
}

fn retry_delay(wait: Duration) -> Duration {
    wait.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
}
