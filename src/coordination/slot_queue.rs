//! Order and refusal of calls at the node beside a backend server. See `docs/platform.md`,
//! "Admission".
//!
//! A call waits only if it can start early enough for its objective, judged by the measured run
//! times of the calls before it; otherwise it is refused at once, so that it can go elsewhere. A call
//! that no node can answer in time is offered again as one that accepts to be late. Such calls start
//! when nothing else waits that can be in time: under overload, slots that go to late calls first
//! make the others late as well. More urgent routes start first.

use std::time::Duration;

use crate::protocol::hop::Load;
use crate::protocol::name::RouteName;

/// Least weight of one run in the mean run time of its route; the first runs weigh more.
const RUN_WEIGHT: f64 = 0.1;
/// Run time that is assumed for a route without runs, as a share of its objective. The routes of the
/// standard sites take 0.29 to 0.38 of theirs.
pub const UNKNOWN_RUN_SHARE: f64 = 0.35;
/// Factor on the run time of a backend server that is slow after its start, as on the standard sites.
pub const COLD_FACTOR: f64 = 2.0;
/// Run time for which a call must be able to start before its objective or its deadline ends, in mean
/// run times; run times spread by about a half.
const RUN_MARGIN: f64 = 1.5;
/// Shortest time after which a refused caller is asked to come back.
const MIN_RETURN: Duration = Duration::from_millis(30);
/// Longest such time; by then the load has changed.
const MAX_RETURN: Duration = Duration::from_secs(2);

/// Place of a call in the queue.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// A call that asks for a slot.
#[derive(Clone, Debug)]
pub struct Offer {
    /// Route of the call.
    pub route: RouteName,
    /// Rank of the route, 0 is the most urgent.
    pub priority: u8,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Time at which the objective ends.
    pub objective_at: Duration,
    /// Time at which the caller or the route gives up.
    pub deadline: Duration,
    /// Whether an answer after the objective is better than none.
    pub accepts_late: bool,
}

/// Decision on a call that has just arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admit {
    /// The call starts now.
    Start,
    /// The call waits; a later [`Changes`] decides on it, at the latest at this time.
    Wait(Ticket, Duration),
    /// The call is refused as not run; room is expected after this time.
    Refuse(Duration),
}

/// Decisions on waiting calls.
#[derive(Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// Calls that start now.
    pub start: Vec<Ticket>,
    /// Calls that are refused as not run, with the time after which room is expected.
    pub refuse: Vec<(Ticket, Duration)>,
}

#[derive(Debug)]
struct Waiting {
    priority: u8,
    ticket: Ticket,
    expected: Duration,
    /// Last start for an answer within the objective.
    in_time_by: Duration,
    /// Last start for an answer at all.
    last_start: Duration,
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
    /// Sorted by priority, then by arrival.
    waiting: Vec<Waiting>,
    /// Sorted by route.
    runs: Vec<RouteRuns>,
    mean_run_s: f64,
    /// Time up to which the backend server is slow after its start.
    cold_until: Duration,
    next_ticket: u64,
}

impl SlotQueue {
    /// Creates the queue of a backend server with `slots` slots.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            running: 0,
            waiting: Vec::new(),
            runs: Vec::new(),
            mean_run_s: 0.0,
            cold_until: Duration::ZERO,
            next_ticket: 0,
        }
    }

    /// Takes over the number of slots; further ones are used as calls finish.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Takes over that the backend server has started and is slow until a time. What was measured
    /// before says nothing about it.
    pub fn on_start(&mut self, cold_until: Duration) {
        self.cold_until = cold_until;
        self.runs.clear();
        self.mean_run_s = 0.0;
    }

    /// How busy the backend server is.
    #[must_use]
    pub fn load(&self) -> Load {
        Load {
            running: self.running,
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            slots: self.slots,
            #[allow(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "the deadline bounds the run time"
            )]
            mean_run_ms: (self.mean_run_s * 1e3) as u32,
        }
    }

    /// Decides on a call that has arrived.
    pub fn offer(&mut self, now: Duration, offer: &Offer) -> Admit {
        let expected = self.expected(now, offer);
        if offer.deadline <= now {
            return Admit::Refuse(MIN_RETURN);
        }
        if self.running < self.slots && self.waiting.is_empty() {
            self.running += 1;
            return Admit::Start;
        }
        let run = expected.mul_f64(RUN_MARGIN);
        let last_start = offer.deadline.saturating_sub(run);
        let in_time_by = offer.objective_at.saturating_sub(run).min(last_start);
        let is_before =
            |other: &Waiting| other.priority <= offer.priority && other.in_time_by >= now;
        if now + self.expected_wait(expected, is_before) > in_time_by {
            let wait = self.expected_wait(expected, |_| true);
            let hopeless = now + wait > last_start || wait > offer.objective;
            if !offer.accepts_late || hopeless {
                return Admit::Refuse(return_after(wait));
            }
        }
        // A caller that has waited that long in vain still has time to come back.
        let last_start = if offer.accepts_late {
            last_start.min(now + offer.objective)
        } else {
            last_start
        };
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let index = self
            .waiting
            .partition_point(|other| other.priority <= offer.priority);
        self.waiting.insert(
            index,
            Waiting {
                priority: offer.priority,
                ticket,
                expected,
                in_time_by,
                last_start,
            },
        );
        Admit::Wait(ticket, last_start)
    }

    /// Gives a slot back; `took` is the run time if the call ran to its end.
    pub fn finish(&mut self, now: Duration, route: &RouteName, took: Option<Duration>) -> Changes {
        self.running = self.running.saturating_sub(1);
        if let Some(took) = took {
            self.observe(route, took);
        }
        self.advance(now)
    }

    /// Takes a waiting call out of the queue.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiting| waiting.ticket != ticket);
    }

    /// Starts what has a slot and refuses what can no longer be answered in time.
    pub fn advance(&mut self, now: Duration) -> Changes {
        let mut changes = Changes::default();
        let mean = Duration::from_secs_f64(self.mean_run_s);
        self.waiting.retain(|waiting| {
            let hopeful = waiting.last_start >= now;
            if !hopeful {
                changes.refuse.push((waiting.ticket, return_after(mean)));
            }
            hopeful
        });
        while self.running < self.slots && !self.waiting.is_empty() {
            let in_time = self
                .waiting
                .iter()
                .position(|waiting| waiting.in_time_by >= now);
            let next = self.waiting.remove(in_time.unwrap_or(0));
            changes.start.push(next.ticket);
            self.running += 1;
        }
        changes
    }

    /// Time until a call would start behind those that pass the filter. Calls that run take as long as
    /// the new one is `expected` to, as long as none has ended.
    fn expected_wait(&self, expected: Duration, is_ahead: impl Fn(&Waiting) -> bool) -> Duration {
        let ahead = self.waiting.iter().filter(|other| is_ahead(other));
        let work: f64 = ahead.map(|other| other.expected.as_secs_f64()).sum();
        let next_slot = match self.mean_run_s {
            _ if self.running < self.slots => 0.0,
            0.0 => expected.as_secs_f64(),
            mean => mean,
        };
        Duration::from_secs_f64((work + next_slot) / f64::from(self.slots))
    }

    fn expected(&self, now: Duration, offer: &Offer) -> Duration {
        match self
            .runs
            .binary_search_by(|run| run.route.cmp(&offer.route))
        {
            Ok(index) => Duration::from_secs_f64(self.runs[index].mean_s),
            Err(_) if now < self.cold_until => {
                offer.objective.mul_f64(UNKNOWN_RUN_SHARE * COLD_FACTOR)
            }
            Err(_) => offer.objective.mul_f64(UNKNOWN_RUN_SHARE),
        }
    }

    fn observe(&mut self, route: &RouteName, took: Duration) {
        let took_s = took.as_secs_f64();
        self.mean_run_s = if self.mean_run_s == 0.0 {
            took_s
        } else {
            self.mean_run_s + (took_s - self.mean_run_s) * RUN_WEIGHT
        };
        match self.runs.binary_search_by(|run| run.route.cmp(route)) {
            Ok(index) => {
                let runs = &mut self.runs[index];
                runs.runs = runs.runs.saturating_add(1);
                let weight = RUN_WEIGHT.max(1.0 / f64::from(runs.runs));
                runs.mean_s += (took_s - runs.mean_s) * weight;
            }
            Err(index) => self.runs.insert(
                index,
                RouteRuns {
                    route: route.clone(),
                    mean_s: took_s,
                    runs: 1,
                },
            ),
        }
    }
}

fn return_after(wait: Duration) -> Duration {
    wait.clamp(MIN_RETURN, MAX_RETURN)
}
