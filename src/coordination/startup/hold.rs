//! How long a process that starts holds the requests of callers that arrive before its first configuration.
//!
//! A refused request would be sent again after `Retry-After`, often too early or to a node that has just started as
//! well, while the configuration usually is in force within a second of the start.

use std::time::Duration;

use crate::coordination::startup::store_answer::StoreAnswer;
use crate::coordination::store_retry;

/// Age of the process from which on no request is held. With 57 nodes that started together, the first
/// configuration was in force 0.62 to 1.27 s after the start.
pub const MAX_AGE: Duration = Duration::from_millis(1_500);
/// Time that a caller is taken to have without the header with its deadline: the least deadline in use.
const USUAL_TIME: Duration = Duration::from_secs(1);
/// Part of the caller's time for which a request is held at most. The rest is left for the call itself.
const HELD_PART: u32 = 2;
/// Time of a read of the configuration: 557 kB take 0.45 s at 10 Mbit/s.
const READ_TIME: Duration = Duration::from_millis(500);
/// `retry-after` time of a process that stops. Other nodes take the request.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(300);

/// A request of a caller that arrives before the first configuration. Times count from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct EarlyRequest {
    /// Time of its arrival.
    pub arrived: Duration,
    /// Time until the deadline of its caller, at its arrival.
    pub time_left: Option<Duration>,
}

impl EarlyRequest {
    /// Returns the end of its hold.
    #[must_use]
    pub fn hold_end(&self) -> Duration {
        let time = self.time_left.unwrap_or(USUAL_TIME);
        MAX_AGE.min(self.arrived.saturating_add(time / HELD_PART))
    }
}

/// What a starting process waits for, and how its sources answer.
#[derive(Clone, Copy, Debug)]
pub struct StartState {
    /// Whether a configuration is in force, so that only the entries of the nodes are missing.
    pub has_config: bool,
    /// How the store answers the reads of the missing topic.
    pub answer: StoreAnswer,
    /// Number of reads of this topic that have failed in a row.
    pub failures: u32,
    /// Whether another node is being asked for the topics, or will be if the store stays silent.
    pub is_asking_peer: bool,
    /// Whether the process stops.
    pub is_stopping: bool,
}

/// What happens to a request that arrives before the first configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It is held until this time, unless the state changes before.
    Hold(Duration),
    /// It is handled with the configuration in force, without the entries of the nodes.
    Proceed,
    /// It is refused and may be repeated after this time.
    Refuse(Duration),
}

/// Decides on a request at the time `now` since the start of the process.
#[must_use]
pub fn decide(now: Duration, request: &EarlyRequest, state: &StartState) -> Verdict {
    let end = request.hold_end();
    let may_hold = now < end && !state.is_stopping;
    if state.has_config {
        // Without the entries the own backend server may still be usable, so only a store that answers is waited for.
        let silent_at = state.answer.ask_peer_at();
        return if may_hold && state.is_asking_peer {
            Verdict::Hold(end)
        } else if may_hold && now < silent_at {
            Verdict::Hold(end.min(silent_at))
        } else {
            Verdict::Proceed
        };
    }
    let is_expected = !state.answer.has_failed() || state.is_asking_peer;
    if may_hold && is_expected {
        Verdict::Hold(end)
    } else {
        Verdict::Refuse(retry_after(now, state))
    }
}

/// Returns the time after which a refused request may be repeated: when the configuration is expected, or the
/// repetition can be held until the end of all holds.
fn retry_after(now: Duration, state: &StartState) -> Duration {
    if state.is_stopping {
        STOPPING_RETRY_AFTER
    } else if state.answer.has_failed() && !state.is_asking_peer {
        store_retry::pause(state.failures.saturating_sub(1), 1.0) + READ_TIME
    } else {
        READ_TIME.max(MAX_AGE.saturating_sub(now))
    }
}

/// How the hold of a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HoldEnd {
    /// The configuration came into force.
    Configured,
    /// It was refused.
    Refused,
    /// Its caller closed the connection.
    Cancelled,
}

/// Requests that a process has held.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HoldCounts {
    /// Requests that are held.
    pub open: usize,
    /// Requests that were handled with the configuration.
    pub configured: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests whose callers closed their connections.
    pub cancelled: u64,
    /// Longest time for which a request was held.
    pub longest: Duration,
}

impl HoldCounts {
    /// Counts a request that begins to be held. Returns whether it is the first one of the process.
    pub fn begin(&mut self) -> bool {
        let ended = self.configured + self.refused + self.cancelled;
        self.open += 1;
        self.open == 1 && ended == 0
    }

    /// Counts the end of a hold.
    pub fn end(&mut self, end: HoldEnd, held: Duration) {
        self.open = self.open.saturating_sub(1);
        match end {
            HoldEnd::Configured => self.configured += 1,
            HoldEnd::Refused => self.refused += 1,
            HoldEnd::Cancelled => self.cancelled += 1,
        }
        self.longest = self.longest.max(held);
    }
}
