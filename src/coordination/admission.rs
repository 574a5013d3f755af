//! Admission control for the backend server beside this node, see `docs/design.md`, section 3,
//! "Admission".
//!
//! The node counts used slots itself, since load figures reported by a backend server are delayed
//! or wrong.
//!
//! * Queue. Calls start in the order of arrival while the queue empties at least once in
//!   [`STANDING_INTERVAL`]. A queue that has not been empty for that long is a standing queue: it
//!   adds delay and no throughput. Then the newest call starts first and the others are refused
//!   after a short wait, early enough for a retry on another node.
//!   Sources: Nichols and Jacobson, "Controlling Queue Delay", 2012, for the test of the interval;
//!   Maurer, "Fail at Scale", ACM Queue 2015, for its use with request queues and for newest first.
//! * Limit. The number of running calls is limited to the announced slots, or to less while the
//!   backend server sheds load or responds much slower than usual: additive increase and
//!   multiplicative decrease (Chiu and Jain, 1989), at most one decrease per round of calls.
//!   High latency at most halves the limit before the effect is evaluated, since calls may also take
//!   longer for reasons that do not depend on concurrency, such as a slow downstream service.

use std::collections::VecDeque;
use std::time::Duration;

use crate::invariant;
use crate::protocol::call::Executed;
use crate::result_code::ResultCode;

/// Maximum time that a call waits for a slot.
pub const MAX_QUEUE_WAIT: Duration = Duration::from_millis(100);
/// Time without an empty queue after which the queue is standing (the interval of `CoDel`).
pub const STANDING_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum wait allowed in a standing queue (the target of `CoDel`).
pub const STANDING_WAIT: Duration = Duration::from_millis(5);
/// Decrease factor of the limit after the backend server shed a call.
const SHED_FACTOR: f64 = 0.7;
/// Decrease factor of the limit while the backend server is slow.
const SLOW_FACTOR: f64 = 0.9;
/// The backend server counts as slow if its recent latency exceeds the baseline by this factor.
/// Below two, the ordinary spread of a mix of cheap and expensive calls would reduce the limit.
const SLOW_TOLERANCE: f64 = 2.0;
/// Weight of one call in the recent latency and in the interval between finished calls.
const RECENT_WEIGHT: f64 = 1.0 / 16.0;
/// Weight in the baseline latency of a call that started while at most half of the slots were used.
const BASELINE_WEIGHT: f64 = 1.0 / 200.0;
/// Weight in the baseline latency of the other calls; small, so that an overload does not raise it.
const BASELINE_WEIGHT_LOADED: f64 = 1.0 / 2_000.0;
/// Ratio by which the latency must have fallen after the limit was halved. Otherwise the calls
/// themselves take longer, and less concurrency would only reduce throughput.
const EXPECTED_GAIN: f64 = 1.5;
/// Calls after which the baseline latency is used, and after which the effect of a halved limit is
/// evaluated.
const MIN_OBSERVED_CALLS: u32 = 32;
/// Latencies below this are treated alike, since their ratio is mostly noise.
const MIN_LATENCY_S: f64 = 0.000_2;

/// Permission to run one call; must be released with [`Admission::finish`].
#[derive(Debug, Eq, PartialEq)]
#[must_use]
pub struct Permit {
    started: Duration,
    /// Whether at most half of the slots were used when the call started.
    lightly_loaded: bool,
}

/// Identifies a queued call.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(u64);

/// Admission decision on a call that has just arrived.
#[derive(Debug, Eq, PartialEq)]
pub enum Admit {
    /// The call may be forwarded now.
    Run(Permit),
    /// The call waits; a later [`Changes`] contains the decision.
    Wait(Ticket),
    /// The call is refused and has not run.
    Refuse(ResultCode),
}

/// Result of an admitted call, as input to the concurrency limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The backend server responded.
    Responded,
    /// The backend server responded that it is overloaded (status 503 or 429).
    Shed,
    /// The backend server did not respond before the deadline of the call.
    TimedOut,
    /// The call was cancelled or its connection failed; its latency is not used.
    Aborted,
}

/// Admission decisions on queued calls.
#[derive(Debug, Default, Eq, PartialEq)]
pub struct Changes {
    /// Calls that may be forwarded now.
    pub start: Vec<(Ticket, Permit)>,
    /// Calls that are refused and have not run.
    pub refuse: Vec<(Ticket, ResultCode)>,
}

#[derive(Debug)]
struct Waiting {
    ticket: Ticket,
    since: Duration,
    deadline: Duration,
}

/// Reduction of the limit because of high latency.
#[derive(Debug)]
struct SlowPeriod {
    /// Limit at the beginning of the period.
    limit: f64,
    /// Highest recent latency since then, as a logarithm.
    peak_ln: f64,
    /// Calls that started and finished after the limit was halved.
    calls_at_half: u32,
}

/// Admission control for one backend server.
#[derive(Debug)]
pub struct Admission {
    slots: u32,
    queue_bound: usize,
    limit: f64,
    running: u32,
    queue: VecDeque<Waiting>,
    next_ticket: u64,
    queue_empty_at: Duration,
    last_decrease: Duration,
    last_finish: Duration,
    finish_interval_s: f64,
    recent_ln: f64,
    baseline_ln: f64,
    observed_calls: u32,
    slow: Option<SlowPeriod>,
    draining: bool,
}

impl Admission {
    /// Creates the admission control of a backend server with `slots` slots and a queue of at most
    /// `queue_bound` calls.
    #[must_use]
    pub fn new(slots: u32, queue_bound: usize) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            queue_bound,
            limit: f64::from(slots),
            running: 0,
            queue: VecDeque::new(),
            next_ticket: 0,
            queue_empty_at: Duration::ZERO,
            last_decrease: Duration::ZERO,
            last_finish: Duration::ZERO,
            finish_interval_s: 0.0,
            recent_ln: 0.0,
            baseline_ln: 0.0,
            observed_calls: 0,
            slow: None,
            draining: false,
        }
    }

    /// Sets the number of announced slots. Additional slots are used as calls finish.
    pub fn set_slots(&mut self, slots: u32) {
        let slots = slots.max(1);
        if slots > self.slots && self.limit >= f64::from(self.slots) {
            self.limit = f64::from(slots);
        }
        self.slots = slots;
        self.limit = self.limit.min(f64::from(slots));
    }

    /// Number of running and queued calls, the value of the `sw-load` header.
    #[must_use]
    pub fn load(&self) -> u32 {
        self.running
            .saturating_add(u32::try_from(self.queue.len()).unwrap_or(u32::MAX))
    }

    /// Number of running calls.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Current limit of concurrent calls; at least one.
    #[must_use]
    pub fn limit(&self) -> u32 {
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the limit lies between 1 and the number of slots"
        )]
        let limit = self.limit as u32;
        limit.max(1)
    }

    /// Whether new calls are refused.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether new calls are refused and no call runs any more.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.draining && self.running == 0
    }

    /// Decides on a new call. `deadline` is on the same clock as `now`.
    ///
    /// Queued calls whose wait or deadline is over are refused by [`Admission::tick`].
    pub fn offer(&mut self, now: Duration, deadline: Duration) -> Admit {
        if self.draining {
            return Admit::Refuse(ResultCode::Draining);
        }
        if deadline <= now {
            return Admit::Refuse(ResultCode::DeadlineExceeded);
        }
        if self.queue.is_empty() {
            self.queue_empty_at = now;
            if self.running < self.limit() {
                return Admit::Run(self.permit(now));
            }
        }
        if self.queue.len() >= self.queue_bound {
            return Admit::Refuse(ResultCode::Overloaded);
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.queue.push_back(Waiting {
            ticket,
            since: now,
            deadline,
        });
        Admit::Wait(ticket)
    }

    /// Releases a permit and decides which queued calls start or are refused.
    #[allow(clippy::needless_pass_by_value, reason = "a permit is released once")]
    pub fn finish(&mut self, now: Duration, permit: Permit, end: RunEnd) -> Changes {
        let saturated = self.running >= self.limit();
        self.running = self.running.saturating_sub(1);
        self.adapt_limit(now, &permit, end, saturated);
        let gap = now.saturating_sub(self.last_finish).as_secs_f64();
        self.finish_interval_s += (gap - self.finish_interval_s) * RECENT_WEIGHT;
        self.last_finish = now;
        self.tick(now)
    }

    /// Refuses queued calls whose wait or deadline is over, and starts others if slots are free.
    pub fn tick(&mut self, now: Duration) -> Changes {
        let mut changes = Changes::default();
        if self.queue.is_empty() {
            self.queue_empty_at = now;
            return changes;
        }
        let standing_queue = self.has_standing_queue(now);
        while self.running < self.limit() {
            let next = if standing_queue {
                self.queue.pop_back()
            } else {
                self.queue.pop_front()
            };
            let Some(waiting) = next else { break };
            if let Some(code) = Self::refusal_if_expired(&waiting, now, MAX_QUEUE_WAIT) {
                changes.refuse.push((waiting.ticket, code));
            } else {
                changes.start.push((waiting.ticket, self.permit(now)));
            }
        }
        let wait = self.allowed_wait(standing_queue);
        self.queue.retain(|waiting| {
            let code = Self::refusal_if_expired(waiting, now, wait);
            if let Some(code) = code {
                changes.refuse.push((waiting.ticket, code));
            }
            code.is_none()
        });
        if self.queue.is_empty() {
            self.queue_empty_at = now;
        }
        changes
    }

    /// Time by which [`Admission::tick`] must be called next.
    #[must_use]
    pub fn next_tick(&self, now: Duration) -> Option<Duration> {
        let wait = self.allowed_wait(self.has_standing_queue(now));
        self.queue
            .iter()
            .map(|waiting| waiting.deadline.min(waiting.since + wait))
            .min()
    }

    /// Removes a queued call whose caller has disconnected. Returns false if the call is not queued
    /// any more.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.queue.len();
        self.queue.retain(|waiting| waiting.ticket != ticket);
        self.queue.len() != before
    }

    /// Refuses all further calls and returns the queued ones, which the caller must answer as not
    /// run.
    pub fn drain(&mut self) -> Vec<Ticket> {
        self.draining = true;
        self.queue.drain(..).map(|waiting| waiting.ticket).collect()
    }

    fn permit(&mut self, now: Duration) -> Permit {
        self.running += 1;
        Permit {
            started: now,
            lightly_loaded: self.running * 2 <= self.slots,
        }
    }

    fn has_standing_queue(&self, now: Duration) -> bool {
        !self.queue.is_empty() && now.saturating_sub(self.queue_empty_at) >= STANDING_INTERVAL
    }

    /// In a standing queue a call waits for at most about two starts of other calls; a shorter wait
    /// would leave slots unused on a backend server with long calls.
    fn allowed_wait(&self, standing_queue: bool) -> Duration {
        if !standing_queue {
            return MAX_QUEUE_WAIT;
        }
        Duration::from_secs_f64(2.0 * self.finish_interval_s)
            .max(STANDING_WAIT)
            .min(MAX_QUEUE_WAIT)
    }

    fn refusal_if_expired(waiting: &Waiting, now: Duration, wait: Duration) -> Option<ResultCode> {
        if now >= waiting.deadline {
            Some(ResultCode::DeadlineExceeded)
        } else if now.saturating_sub(waiting.since) >= wait {
            Some(ResultCode::Overloaded)
        } else {
            None
        }
    }

    fn adapt_limit(&mut self, now: Duration, permit: &Permit, end: RunEnd, saturated: bool) {
        let started = permit.started;
        match end {
            RunEnd::Aborted => return,
            RunEnd::Shed => {
                self.decrease(now, started, SHED_FACTOR, 1.0);
                return;
            }
            RunEnd::TimedOut | RunEnd::Responded => {}
        }
        // The mean of the logarithms is robust against a few calls that take far longer than the
        // rest.
        let latency = now.saturating_sub(started).as_secs_f64();
        let sample = latency.max(MIN_LATENCY_S).ln();
        if self.observed_calls == 0 {
            self.recent_ln = sample;
            self.baseline_ln = sample;
        }
        self.observed_calls = self.observed_calls.saturating_add(1);
        self.recent_ln += (sample - self.recent_ln) * RECENT_WEIGHT;
        let weight = if permit.lightly_loaded {
            BASELINE_WEIGHT.max(1.0 / f64::from(self.observed_calls))
        } else {
            BASELINE_WEIGHT_LOADED
        };
        self.baseline_ln += (sample - self.baseline_ln) * weight;
        if end == RunEnd::TimedOut || self.is_slow(started) {
            let floor = self.slow.as_ref().map_or(1.0, |slow| slow.limit / 2.0);
            self.decrease(now, started, SLOW_FACTOR, floor);
        } else if saturated && self.slow.is_none() {
            self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.slots));
        }
    }

    /// Whether the limit should be reduced because of high latency. At half the limit at which the
    /// slow period began, the effect is evaluated first.
    fn is_slow(&mut self, started: Duration) -> bool {
        let warm = self.observed_calls > MIN_OBSERVED_CALLS;
        if !warm || self.recent_ln - self.baseline_ln <= SLOW_TOLERANCE.ln() {
            self.slow = None;
            return false;
        }
        let slow = self.slow.get_or_insert(SlowPeriod {
            limit: self.limit,
            peak_ln: self.recent_ln,
            calls_at_half: 0,
        });
        slow.peak_ln = slow.peak_ln.max(self.recent_ln);
        if self.limit * 2.0 > slow.limit {
            return true;
        }
        slow.calls_at_half += u32::from(started >= self.last_decrease);
        if slow.calls_at_half >= MIN_OBSERVED_CALLS {
            if slow.peak_ln - self.recent_ln < EXPECTED_GAIN.ln() {
                self.baseline_ln = self.recent_ln;
            }
            self.slow = None;
        }
        false
    }

    /// Reduces the limit if the call started after the last decrease; only such a call shows the
    /// effect of the reduced limit.
    fn decrease(&mut self, now: Duration, started: Duration, factor: f64, floor: f64) {
        if started >= self.last_decrease {
            self.limit = (self.limit * factor).max(floor).max(1.0);
            self.last_decrease = now;
        }
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Received,
    Forwarded,
    Answered,
}

/// State of one call on the serving node, which determines whether "not run" may be answered.
///
/// A call that was not forwarded, for example because the backend server refused the connection,
/// may be answered with "not run". After [`CallState::forward`] it may not (invariant 6).
#[derive(Debug)]
pub struct CallState {
    phase: Phase,
}

impl Default for CallState {
    fn default() -> Self {
        Self::new()
    }
}

impl CallState {
    /// Creates the state of a call that has just arrived.
    #[must_use]
    pub fn new() -> Self {
        Self {
            phase: Phase::Received,
        }
    }

    /// Must be called before the first byte of the call is written to the connection to the backend
    /// server. The permit is only borrowed and is released when the call ends.
    pub fn forward(&mut self, _permit: &Permit) {
        self.phase = Phase::Forwarded;
    }

    /// Whether the call was forwarded to the backend server.
    #[must_use]
    pub fn is_forwarded(&self) -> bool {
        self.phase != Phase::Received
    }

    /// Ends the call and returns the value of the `sw-run` header. The answer "not run" for a
    /// forwarded call violates invariant 6 and is replaced by "unknown".
    ///
    /// # Panics
    /// In builds with debug assertions, if invariant 6 is violated.
    pub fn answer(&mut self, run: Executed) -> Executed {
        let forwarded = self.is_forwarded();
        self.phase = Phase::Answered;
        let truthful = run != Executed::No || !forwarded;
        if invariant::check(6, truthful, "answer \"not run\" for a forwarded call") {
            run
        } else {
            Executed::Unknown
        }
    }
}
