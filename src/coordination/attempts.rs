//! Attempts of one call: whether it is offered to another node, whether a late response is
//! accepted, and how the call ends without a successful response. See `docs/platform.md`,
//! "Attempts".
//!
//! A refusal guarantees that the call has not run, so it is safe to offer the call to other nodes.
//! An attempt that arrived at a backend server counts towards the attempts of the route and, from
//! the second one on, towards the retry budget of the fleet. After a few refusals because of load,
//! the call is offered again as one that accepts a late response, and is refused if that fails as
//! well.

use std::time::Duration;

use crate::protocol::name::NodeId;
use crate::result_code::ResultCode;

/// Minimum time before the deadline for which another attempt is made.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(5);
/// Refusals because of load after which a call is offered as one that accepts a late response.
const MAX_REFUSALS: usize = 3;
/// Maximum number of attempts of one call, including those on unreachable nodes. After a loss of
/// many nodes, most of the first choices are unreachable.
const MAX_TRIES: usize = 12;
/// Backend servers that may break off one call. The call may be the cause, and a further attempt would end
/// one more of them.
const MAX_BROKEN_RUNS: u8 = 2;
/// Attempts on unreachable nodes after others refused because of load. One attempt suffices to
/// detect a recovered node; more would delay the refusal to the caller.
const MAX_UNREACHABLE_TRIES: usize = 1;

/// Delay of a hedged attempt, in expected times of the first one. Run times of one route vary by
/// about 50 %, so few calls take twice their mean.
const HEDGE_DELAY_FACTOR: f64 = 2.0;
/// Minimum delay of a hedged attempt; below it, the network time to another node dominates.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(40);

/// Limits on the attempts of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Time at which the call arrived.
    pub arrived: Duration,
    /// Deadline of the caller or the route, whichever is earlier.
    pub deadline: Duration,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Maximum number of backend servers that the call may arrive at.
    pub attempts: u8,
    /// Whether the caller has spent the objective before this try, so that any response is late.
    pub is_overdue: bool,
}

/// Next action for a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Offer the call to a node.
    Offer,
    /// Offer the call to a node if the retry budget of the fleet allows it.
    Retry,
    /// End the call.
    Stop,
}

/// A node that was chosen for the call.
#[derive(Clone, Copy, Debug)]
pub struct ChosenNode {
    /// Expected time until its response in milliseconds.
    pub time_ms: f64,
    /// Whether it was unreachable or had no backend server when it was last tried.
    pub is_unreachable: bool,
    /// Whether its backend server probably has a free slot.
    pub has_free_slot: bool,
    /// Whether enough measurements exist to tell that a response is slow.
    pub is_predictable: bool,
}

/// Action after the choice of a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Choice {
    /// Send the call to the chosen node.
    Send,
    /// Offer the call once more to the nodes that refused it.
    OfferAgain,
    /// End the call; no node is left.
    Stop,
}

/// Result of an attempt without a successful response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptFailure {
    /// The backend server ran the call and responded with a failure.
    Failed,
    /// The call was refused; it has not run and never will.
    Refused {
        /// Reason for the refusal.
        code: ResultCode,
        /// Whether the call arrived at the backend server and was refused there.
        arrived: bool,
        /// Time after which a slot is expected to be free.
        retry_after: Duration,
    },
    /// The call may have run.
    Unknown(ResultCode),
}

/// Result of a call without a successful response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// Deliver the failure response of the backend server.
    FailureResponse,
    /// The call is refused and has not run.
    Refused {
        /// Reason for the refusal.
        code: ResultCode,
        /// Time after which a slot is expected to be free, if a node reported one.
        retry_after: Option<Duration>,
    },
    /// The call may have run.
    Unknown(ResultCode),
}

/// The attempts of one call so far.
#[derive(Debug)]
pub struct Attempts {
    limits: CallLimits,
    tried: Vec<NodeId>,
    /// Nodes that may not serve the call because of where they stand. They are not offered it again, also if it
    /// accepts a late response.
    excluded: Vec<NodeId>,
    tries: usize,
    refusals: usize,
    /// Refusals because of load, including those of offers that accept a late response.
    load_refusals: usize,
    unreachable_tries: usize,
    accepts_late: bool,
    arrivals: u8,
    /// Runs that ended without a valid response.
    broken_runs: u8,
    may_have_run: bool,
    has_failure_response: bool,
    /// Time for which the call is refused since it crashes backend servers. It is not offered to other
    /// nodes, which may not know this yet.
    quarantined_for: Option<Duration>,
    /// Last refusal by a node because of where it stands.
    location_refusal: Option<(NodeId, ResultCode)>,
    /// Reason for which only the own node is left, since the entry node has no connection to another one.
    own_node_only: Option<ResultCode>,
    /// Reason for which the entry node itself refuses the call from now on.
    denied: Option<ResultCode>,
    last: Option<ResultCode>,
    retry_after: Option<Duration>,
}

impl Attempts {
    /// Creates the state of a call without attempts.
    #[must_use]
    pub fn new(limits: CallLimits) -> Self {
        Self {
            limits,
            tried: Vec::new(),
            excluded: Vec::new(),
            tries: 0,
            refusals: 0,
            load_refusals: 0,
            unreachable_tries: 0,
            accepts_late: limits.is_overdue,
            arrivals: 0,
            broken_runs: 0,
            may_have_run: false,
            has_failure_response: false,
            quarantined_for: None,
            location_refusal: None,
            own_node_only: None,
            denied: None,
            last: None,
            retry_after: None,
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

    /// Whether the call is offered as one that accepts a late response.
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
    pub fn next(&mut self, now: Duration) -> NextStep {
        let unsafe_to_retry = self.may_have_run && !self.limits.idempotent;
        if unsafe_to_retry
            || self.quarantined_for.is_some()
            || self.denied.is_some()
            || self.limits.deadline < now + MIN_ATTEMPT_TIME
            || self.tries >= MAX_TRIES
            || self.arrivals >= self.limits.attempts
            || self.broken_runs >= MAX_BROKEN_RUNS
        {
            return NextStep::Stop;
        }
        if self.refusals >= MAX_REFUSALS && !self.accept_late() {
            return NextStep::Stop;
        }
        if self.arrivals > 0 {
            NextStep::Retry
        } else {
            NextStep::Offer
        }
    }

    /// Handles the choice of a node, which is `None` if no node is left.
    pub fn on_choice(&mut self, now: Duration, chosen: Option<ChosenNode>) -> Choice {
        let Some(chosen) = chosen else {
            if self.refusals > 0 && self.accept_late() {
                return Choice::OfferAgain;
            }
            if let Some(code) = self.own_node_only {
                self.on_denied(code);
            }
            self.last = self.last.or(Some(ResultCode::NoBackend));
            return Choice::Stop;
        };
        if chosen.is_unreachable && self.load_refusals > 0 {
            // A late response of a reachable node is preferred to an attempt on an unreachable one.
            if self.accept_late() {
                return Choice::OfferAgain;
            }
            if self.unreachable_tries >= MAX_UNREACHABLE_TRIES {
                return Choice::Stop;
            }
            self.unreachable_tries += 1;
        }
        // The run would be thrown away at the deadline, so the caller is told that the call has not run.
        let left_ms = self.limits.deadline.saturating_sub(now).as_secs_f64() * 1e3;
        if self.tries > 0 && chosen.is_predictable && chosen.time_ms > left_ms {
            self.last = self.last.or(Some(ResultCode::Overloaded));
            return Choice::Stop;
        }
        let elapsed = now.saturating_sub(self.limits.arrived);
        let remaining = self.limits.objective.saturating_sub(elapsed);
        // Even the best node is not expected to meet the objective, so refusals would only add
        // delay.
        if chosen.time_ms > remaining.as_secs_f64() * 1e3 {
            self.accept_late();
        }
        self.tries += 1;
        Choice::Send
    }

    /// Returns the delay after which a hedged attempt is started in parallel to the one on the
    /// chosen node, or `None` if the call may not be hedged.
    #[must_use]
    pub fn hedge_after(&self, chosen: ChosenNode) -> Option<Duration> {
        let expected = Duration::from_secs_f64(chosen.time_ms.max(0.0) / 1e3);
        let after = expected.mul_f64(HEDGE_DELAY_FACTOR).max(MIN_HEDGE_DELAY);
        (self.may_hedge() && chosen.is_predictable).then_some(after)
    }

    /// Whether the call may run on two backend servers at the same time.
    fn may_hedge(&self) -> bool {
        self.limits.idempotent && self.arrivals + 2 <= self.limits.attempts
    }

    /// Decides whether a hedged attempt is sent to the chosen node. The node must be expected to
    /// respond before the deadline and to have a free slot: under overload, hedged attempts would
    /// make all other calls late.
    pub fn on_hedge(&mut self, now: Duration, chosen: ChosenNode) -> bool {
        let expected = Duration::from_secs_f64(chosen.time_ms.max(0.0) / 1e3);
        let is_useful = now + expected <= self.limits.deadline;
        let is_free = chosen.has_free_slot && !chosen.is_unreachable;
        let is_sent = self.may_hedge() && is_useful && is_free && self.tries < MAX_TRIES;
        self.tries += usize::from(is_sent);
        is_sent
    }

    /// Handles an attempt on `node` that ended without a successful response.
    pub fn on_failure(&mut self, node: &NodeId, failure: AttemptFailure) {
        self.tried.push(node.clone());
        match failure {
            AttemptFailure::Failed => {
                self.arrivals += 1;
                self.may_have_run = true;
                self.has_failure_response = true;
            }
            AttemptFailure::Refused {
                code,
                arrived,
                retry_after,
            } => {
                self.arrivals += u8::from(arrived);
                let for_load = code == ResultCode::Overloaded;
                self.refusals += usize::from(for_load);
                self.load_refusals += usize::from(for_load);
                // An unreachable node must not hide that the call was refused because of load.
                if for_load || self.load_refusals == 0 {
                    self.last = Some(code);
                }
                let shortest = self.retry_after.unwrap_or(retry_after).min(retry_after);
                self.retry_after = Some(shortest);
                match code {
                    ResultCode::RequestQuarantined => self.on_quarantined(retry_after),
                    // No other node can be reached either, but the own one needs no such connection.
                    ResultCode::ClientLimit => self.own_node_only = Some(code),
                    ResultCode::OutsideHome | ResultCode::DomainEvacuated => {
                        self.excluded.push(node.clone());
                        self.location_refusal = Some((node.clone(), code));
                    }
                    _ => {}
                }
            }
            AttemptFailure::Unknown(code) => {
                self.arrivals += 1;
                self.broken_runs += u8::from(code == ResultCode::InvalidResponse);
                self.may_have_run = true;
                self.last = Some(code);
            }
        }
    }

    /// Handles a call that crashes backend servers, so that it is refused for a time.
    pub fn on_quarantined(&mut self, refused_for: Duration) {
        self.quarantined_for = Some(refused_for);
    }

    /// Handles that no node may serve the call, for the reason that the code names. A call that some node has
    /// refused keeps that reason.
    pub fn on_excluded(&mut self, code: ResultCode) {
        self.last = self.last.or(Some(code));
    }

    /// Returns the node that has refused the call because of where it stands, with its reason, once.
    pub fn take_location_refusal(&mut self) -> Option<(NodeId, ResultCode)> {
        self.location_refusal.take()
    }

    /// Whether only the own node is left, since the entry node has no connection to another one.
    #[must_use]
    pub fn is_own_node_only(&self) -> bool {
        self.own_node_only.is_some()
    }

    /// Handles that further nodes would refuse the call like the one that has just refused it.
    pub fn on_refused_alike(&mut self, nodes: &[NodeId]) {
        self.tried.extend_from_slice(nodes);
        self.excluded.extend_from_slice(nodes);
    }

    /// Handles a call that the entry node itself refuses from now on, for example since its credential has been
    /// revoked. No further attempt is made.
    pub fn on_denied(&mut self, code: ResultCode) {
        self.denied = Some(code);
    }

    /// Handles an attempt that was cancelled although it may have run.
    pub fn on_cancelled(&mut self) {
        self.may_have_run = true;
        self.last = Some(ResultCode::OutcomeUnknown);
    }

    /// Handles the deadline of the call passing during an attempt.
    pub fn on_timeout(&mut self) {
        self.may_have_run = true;
        self.last = Some(ResultCode::DeadlineExceeded);
    }

    /// Returns the result of the call if it ends now.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        if self.has_failure_response {
            return Outcome::FailureResponse;
        }
        if let (Some(refused_for), false) = (self.quarantined_for, self.may_have_run) {
            return Outcome::Refused {
                code: ResultCode::RequestQuarantined,
                retry_after: Some(refused_for),
            };
        }
        if let (Some(code), false) = (self.denied, self.may_have_run) {
            return Outcome::Refused {
                code,
                retry_after: None,
            };
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
                retry_after: self.retry_after,
            }
        }
    }

    /// Switches the call to accept a late response, and makes the nodes that refused it candidates
    /// again. Returns false if it accepted a late response already.
    fn accept_late(&mut self) -> bool {
        if self.accepts_late {
            return false;
        }
        self.accepts_late = true;
        self.refusals = 0;
        if self.arrivals == 0 {
            self.tried.clone_from(&self.excluded);
        }
        true
    }
}
