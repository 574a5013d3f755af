//! Attempts of one call: whether it is offered to another node, as what, and how it ends without an
//! answer that ran well. See `docs/platform.md`, "Attempts".
//!
//! A refusal says that the call has not run, so it may go on to other nodes at no risk. An attempt
//! that arrived at a backend server counts towards the attempts of the route and, from the second one
//! on, towards the fleet's budget of repeats. Nodes that refuse for load are asked only a few times:
//! then the call is offered as one that accepts to be late, and refused if that does not help either.

use std::time::Duration;

use crate::protocol::name::NodeId;
use crate::result_code::ResultCode;

/// Least time for which another attempt is made.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(5);
/// Nodes that refuse a call for load before it is offered as one that accepts to be late.
const MAX_REFUSALS: usize = 3;
/// Attempts of one call, those at nodes that are gone included; after a loss of many nodes most of
/// the first choices are.
const MAX_TRIES: usize = 12;
/// Tries at lost nodes after others refused for load. One may have come back; more would keep the
/// caller waiting for a refusal.
const MAX_LOST_TRIES: usize = 1;

/// Expected times of an attempt after which a second one is started beside it. Run times of one route
/// spread by about a half, so that few calls take twice their mean.
const HEDGE_FACTOR: f64 = 2.0;
/// Shortest such time; below it the way to another node is what counts.
const MIN_HEDGE: Duration = Duration::from_millis(40);

/// What bounds the attempts of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallTerms {
    /// Time at which the call arrived.
    pub arrived: Duration,
    /// Time at which the caller or the route gives up.
    pub deadline: Duration,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Most backend servers that the call may arrive at.
    pub attempts: u8,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Offer the call to a node.
    Offer,
    /// Offer the call to a node if the fleet's budget of repeats allows it.
    Repeat,
    /// End the call.
    Stop,
}

/// A node that was chosen for the call.
#[derive(Clone, Copy, Debug)]
pub struct Chosen {
    /// Expected time until its answer, milliseconds.
    pub time_ms: f64,
    /// Whether it could not be reached, or had no backend server, when it was last tried.
    pub is_lost: bool,
    /// Whether its backend server is believed to have a free slot.
    pub has_room: bool,
    /// Whether its time is known well enough to call an answer slow.
    pub is_predictable: bool,
}

/// What becomes of the choice of a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// The call goes to the chosen node.
    Send,
    /// The nodes that refused are asked once more.
    AskAgain,
    /// There is no node left.
    Stop,
}

/// End of an attempt without an answer that ran well.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// The backend server ran the call and answered that it failed.
    Failed,
    /// The call did not run and never will.
    Refused {
        /// Why.
        code: ResultCode,
        /// Whether it arrived at the backend server, which refused it.
        arrived: bool,
        /// Time after which room is expected.
        come_back: Duration,
    },
    /// The call may have run.
    Unknown(ResultCode),
}

/// How a call ends without an answer that ran well.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The answer of the backend server that failed is delivered.
    FailedAnswer,
    /// The call is refused as not run.
    Refused {
        /// Why.
        code: ResultCode,
        /// Time after which room is expected, if a node named one.
        come_back: Option<Duration>,
    },
    /// The call may have run.
    Unknown(ResultCode),
}

/// The attempts of one call so far.
#[derive(Debug)]
pub struct Attempts {
    terms: CallTerms,
    tried: Vec<NodeId>,
    tries: usize,
    refusals: usize,
    /// Nodes that refused for load, the late offers included.
    load_refusals: usize,
    lost_tries: usize,
    accepts_late: bool,
    arrivals: u8,
    may_have_run: bool,
    has_failed_answer: bool,
    last: Option<ResultCode>,
    come_back: Option<Duration>,
}

impl Attempts {
    /// Starts without an attempt.
    #[must_use]
    pub fn new(terms: CallTerms) -> Self {
        Self {
            terms,
            tried: Vec::new(),
            tries: 0,
            refusals: 0,
            load_refusals: 0,
            lost_tries: 0,
            accepts_late: false,
            arrivals: 0,
            may_have_run: false,
            has_failed_answer: false,
            last: None,
            come_back: None,
        }
    }

    /// Nodes that are not offered the call again.
    #[must_use]
    pub fn tried(&self) -> &[NodeId] {
        &self.tried
    }

    /// Number of attempts made.
    #[must_use]
    pub fn tries(&self) -> usize {
        self.tries
    }

    /// Number of backend servers that the call arrived at.
    #[must_use]
    pub fn arrivals(&self) -> u8 {
        self.arrivals
    }

    /// Whether the call is offered as one that accepts to be late.
    #[must_use]
    pub fn accepts_late(&self) -> bool {
        self.accepts_late
    }

    /// Whether the call may have run.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Result code of the last refusal or failure.
    #[must_use]
    pub fn last(&self) -> Option<ResultCode> {
        self.last
    }

    /// Decides whether the call is offered to another node.
    pub fn next(&mut self, now: Duration) -> Step {
        let unsafe_to_repeat = self.may_have_run && !self.terms.idempotent;
        if unsafe_to_repeat
            || self.terms.deadline < now + MIN_ATTEMPT_TIME
            || self.tries >= MAX_TRIES
            || self.arrivals >= self.terms.attempts
        {
            return Step::Stop;
        }
        if self.refusals >= MAX_REFUSALS && !self.accept_late() {
            return Step::Stop;
        }
        if self.arrivals > 0 {
            Step::Repeat
        } else {
            Step::Offer
        }
    }

    /// Takes note of the chosen node, or that there is none left to choose.
    pub fn on_choice(&mut self, now: Duration, chosen: Option<Chosen>) -> Choice {
        let Some(chosen) = chosen else {
            if self.refusals > 0 && self.accept_late() {
                return Choice::AskAgain;
            }
            self.last = self.last.or(Some(ResultCode::NoBackend));
            return Choice::Stop;
        };
        if chosen.is_lost && self.load_refusals > 0 {
            // A late answer of a node that serves comes before a trial of one that does not.
            if self.accept_late() {
                return Choice::AskAgain;
            }
            if self.lost_tries >= MAX_LOST_TRIES {
                return Choice::Stop;
            }
            self.lost_tries += 1;
        }
        let used = now.saturating_sub(self.terms.arrived);
        let left = self.terms.objective.saturating_sub(used);
        // The best node is not expected to be in time, so that refusals would only cost time.
        if chosen.time_ms > left.as_secs_f64() * 1e3 {
            self.accept_late();
        }
        self.tries += 1;
        Choice::Send
    }

    /// Returns the time after which a second attempt is started beside one at the chosen node, if the
    /// call may arrive at two backend servers.
    #[must_use]
    pub fn hedge_after(&self, chosen: Chosen) -> Option<Duration> {
        let expected = Duration::from_secs_f64(chosen.time_ms.max(0.0) / 1e3);
        let after = expected.mul_f64(HEDGE_FACTOR).max(MIN_HEDGE);
        (self.may_double() && chosen.is_predictable).then_some(after)
    }

    /// Whether the call may be out at two backend servers at the same time.
    fn may_double(&self) -> bool {
        self.terms.idempotent && self.arrivals + 2 <= self.terms.attempts
    }

    /// Decides whether the chosen node gets a second attempt beside the one that is out. It has to be
    /// able to answer before the caller gives up, and to have a free slot: under overload second
    /// attempts make all others late.
    pub fn on_hedge(&mut self, now: Duration, chosen: Chosen) -> bool {
        let expected = Duration::from_secs_f64(chosen.time_ms.max(0.0) / 1e3);
        let is_useful = now + expected <= self.terms.deadline;
        let is_free = chosen.has_room && !chosen.is_lost;
        let is_sent = self.may_double() && is_useful && is_free && self.tries < MAX_TRIES;
        self.tries += usize::from(is_sent);
        is_sent
    }

    /// Takes note of an attempt at `node` that ended without an answer that ran well.
    pub fn on_failure(&mut self, node: &NodeId, failure: AttemptFailure) {
        self.tried.push(node.clone());
        match failure {
            AttemptFailure::Failed => {
                self.arrivals += 1;
                self.may_have_run = true;
                self.has_failed_answer = true;
            }
            AttemptFailure::Refused {
                code,
                arrived,
                come_back,
            } => {
                self.arrivals += u8::from(arrived);
                let for_load = code == ResultCode::Overloaded;
                self.refusals += usize::from(for_load);
                self.load_refusals += usize::from(for_load);
                // A lost node says nothing about the load that the call was refused for.
                if for_load || self.load_refusals == 0 {
                    self.last = Some(code);
                }
                let shortest = self.come_back.unwrap_or(come_back).min(come_back);
                self.come_back = Some(shortest);
            }
            AttemptFailure::Unknown(code) => {
                self.arrivals += 1;
                self.may_have_run = true;
                self.last = Some(code);
            }
        }
    }

    /// Takes note that the time of the call is over while an attempt is out.
    pub fn on_timeout(&mut self) {
        self.may_have_run = true;
        self.last = Some(ResultCode::DeadlineExceeded);
    }

    /// How the call ends now.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        if self.has_failed_answer {
            return Outcome::FailedAnswer;
        }
        let last = self.last.unwrap_or(ResultCode::Overloaded);
        let timed_out = last == ResultCode::DeadlineExceeded;
        if self.may_have_run && timed_out {
            Outcome::Unknown(last)
        } else if self.may_have_run {
            Outcome::Unknown(ResultCode::OutcomeUnknown)
        } else {
            Outcome::Refused {
                code: if timed_out {
                    ResultCode::Overloaded
                } else {
                    last
                },
                come_back: self.come_back,
            }
        }
    }

    /// Offers the call once more to the nodes that refused it, as one that accepts to be late.
    /// Returns whether that is new.
    fn accept_late(&mut self) -> bool {
        if self.accepts_late {
            return false;
        }
        self.accepts_late = true;
        self.refusals = 0;
        if self.arrivals == 0 {
            self.tried.clear();
        }
        true
    }
}
