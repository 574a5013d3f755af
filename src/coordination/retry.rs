//! Retries of one call at its entry node, see `docs/design.md`, section 3, "Retries".
//!
//! The retry budget of a call tree (`sw-attempts`) counts retries. It is divided between the levels
//! of the tree so that their retries add up and do not multiply:
//!
//! * An attempt that did not run has used nothing below this level. The retry costs one, and the
//!   remaining budget is passed on again.
//! * An attempt that ran, or may have, counts as having used all that was passed on to it, unless
//!   its response says what is left. Therefore an idempotent call reserves one retry for itself. A
//!   budget of one is passed on, so that the lowest levels can retry what did not run; they are
//!   closest to the cause and repeat the least work.
//! * A call that is not idempotent passes on the whole budget, since it is never retried after it may
//!   have run.
//!
//! In addition every retry takes a token of the node ([`TokenBucket`]), which bounds the retries of
//! all calls together (as the retry budget of Finagle and the retry throttling of gRPC, proposal
//! A6).
//!
//! Requests are not hedged: a hedged request costs backend servers capacity exactly when they are
//! slow, and would need a budget of its own.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::invariant;
use crate::protocol::call::DEFAULT_ATTEMPTS;
use crate::protocol::call::Executed;
use crate::result_code::ResultCode;

/// Number of calls that earn one retry.
pub const CALLS_PER_RETRY: u32 = 10;
/// Capacity of the token bucket in retries, which the node can make without preceding calls.
pub const RETRY_RESERVE: u32 = 10;
/// Largest retry budget accepted from a caller; a larger one would not limit the retries of a call
/// tree.
pub const MAX_ATTEMPTS: u8 = 10;
/// Minimum remaining time for which an attempt is made.
pub const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(1);
/// Upper bound of the first backoff; doubled for each further one.
pub const BACKOFF_BASE: Duration = Duration::from_millis(10);
/// Largest upper bound of the backoff.
pub const BACKOFF_MAX: Duration = Duration::from_millis(200);

/// Token bucket for the retries of a node, refilled by its calls.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Fill level in calls; a retry costs [`CALLS_PER_RETRY`].
    units: u32,
}

impl Default for TokenBucket {
    fn default() -> Self {
        Self::new()
    }
}

impl TokenBucket {
    const CAPACITY: u32 = RETRY_RESERVE * CALLS_PER_RETRY;

    /// Returns a full bucket.
    #[must_use]
    pub fn new() -> Self {
        Self {
            units: Self::CAPACITY,
        }
    }

    /// Adds the token share of a new call.
    pub fn on_call(&mut self) {
        self.units = (self.units + 1).min(Self::CAPACITY);
    }

    /// Takes the token of one retry. Returns false if none is left.
    pub fn take(&mut self) -> bool {
        if self.units < CALLS_PER_RETRY {
            return false;
        }
        self.units -= CALLS_PER_RETRY;
        true
    }

    /// Retries that are possible without further calls.
    #[must_use]
    pub fn available(&self) -> u32 {
        self.units / CALLS_PER_RETRY
    }
}

/// Parameters of a call that are fixed when it arrives.
#[derive(Clone, Copy, Debug)]
pub struct CallSpec {
    /// Whether the route is idempotent.
    pub idempotent: bool,
    /// Time by which the call must have ended, on the clock of `now`.
    pub deadline: Duration,
    /// Time limit of an attempt that another one can follow.
    pub attempt_timeout: Duration,
    /// Retry budget from the caller's `sw-attempts` header.
    pub attempts: Option<u8>,
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// Refused with `sw-run: no`.
    Refused(ResultCode),
    /// The connection could not be opened, so nothing was sent.
    ConnectFailed,
    /// A complete response of the backend server.
    Responded {
        /// HTTP status.
        status: u16,
        /// Remainder of the retry budget that was passed on, if the response reports it.
        attempts_left: Option<u8>,
    },
    /// A response with `sw-run: unknown`, or one that is truncated or belongs to another call.
    Unknown(ResultCode),
    /// No response within the time limit.
    TimedOut,
    /// The connection broke after the request was sent.
    ConnectionDied,
}

/// Next action for a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Make an attempt.
    Try {
        /// Time to wait before the attempt.
        after: Duration,
        /// Time limit of the attempt; also the value of the `sw-deadline-ms` header.
        timeout: Duration,
        /// Value of the `sw-attempts` header.
        attempts_to_pass_on: u8,
        /// Whether nodes that this call has tried become candidates again.
        reset_exclusions: bool,
    },
    /// Pass the response on as received.
    Answer,
    /// Answer the caller with a failure.
    Fail(ResultCode, Executed),
}

/// Decides on the attempts of one call.
#[derive(Clone, Debug)]
pub struct CallPlan {
    spec: CallSpec,
    /// Retries that are neither used nor passed on.
    budget: u8,
    /// Retries that were passed on with the current attempt.
    passed_on: u8,
    /// Whether an attempt of this call may have run.
    may_have_run: bool,
    /// Attempts that were started; with `not_run`, an independent check of `may_have_run`.
    started: u32,
    /// Attempts that ended as not run.
    not_run: u32,
    broken_connections: u8,
    backoffs: u32,
}

impl CallPlan {
    /// Creates the plan of a call.
    #[must_use]
    pub fn new(spec: CallSpec) -> Self {
        Self {
            spec,
            budget: spec.attempts.unwrap_or(DEFAULT_ATTEMPTS).min(MAX_ATTEMPTS),
            passed_on: 0,
            may_have_run: false,
            started: 0,
            not_run: 0,
            broken_connections: 0,
            backoffs: 0,
        }
    }

    /// Returns the first step and counts the call.
    pub fn first(&mut self, now: Duration, bucket: &mut TokenBucket) -> Next {
        bucket.on_call();
        self.attempt(now, Duration::ZERO, false)
            .unwrap_or(Next::Fail(ResultCode::DeadlineExceeded, Executed::No))
    }

    /// Ends the call because no node can be picked for an attempt.
    ///
    /// # Panics
    /// In builds with debug assertions, if invariant 6 is violated.
    #[must_use]
    pub fn no_candidate(&mut self) -> Next {
        // The planned attempt is not made.
        self.not_run += 1;
        self.fail(ResultCode::NoBackend, Executed::No)
    }

    /// Decides on the next action after an attempt. `others` tells whether the balancer has a node
    /// that this call has not tried yet.
    ///
    /// # Panics
    /// In builds with debug assertions, if invariant 6 is violated.
    pub fn on_result(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
        bucket: &mut TokenBucket,
        result: AttemptResult,
        others: bool,
    ) -> Next {
        let passed_on = std::mem::take(&mut self.passed_on);
        match result {
            AttemptResult::Refused(code) => {
                self.budget += passed_on;
                self.not_run += 1;
                self.after_not_run(now, rng, bucket, code, others)
            }
            AttemptResult::ConnectFailed => {
                self.budget += passed_on;
                self.not_run += 1;
                self.after_not_run(now, rng, bucket, ResultCode::PeerUnreachable, others)
            }
            AttemptResult::Responded {
                status,
                attempts_left,
            } => {
                self.may_have_run = true;
                self.budget += attempts_left.unwrap_or(0).min(passed_on);
                if is_retryable(status) && self.spec.idempotent {
                    self.retry(now, Duration::ZERO, bucket, !others)
                        .unwrap_or(Next::Answer)
                } else {
                    Next::Answer
                }
            }
            AttemptResult::Unknown(code) => self.after_unknown(now, bucket, code, others),
            AttemptResult::TimedOut => {
                self.after_unknown(now, bucket, ResultCode::OutcomeUnknown, others)
            }
            AttemptResult::ConnectionDied => {
                self.broken_connections += 1;
                // The request may have crashed the backend server, and each retry could crash
                // another one before the request is quarantined.
                if self.broken_connections > 1 {
                    self.may_have_run = true;
                    return self.fail(ResultCode::OutcomeUnknown, Executed::Unknown);
                }
                self.after_unknown(now, bucket, ResultCode::OutcomeUnknown, others)
            }
        }
    }

    /// Whether an attempt of this call may have run.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Remaining retry budget after the end of the call, for the response to the caller.
    #[must_use]
    pub fn budget_left(&self) -> u8 {
        self.budget
    }

    fn after_not_run(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
        bucket: &mut TokenBucket,
        code: ResultCode,
        others: bool,
    ) -> Next {
        let overloaded = code == ResultCode::Overloaded;
        let retryable = overloaded
            || matches!(
                code,
                ResultCode::Draining
                    | ResultCode::NoBackend
                    | ResultCode::NotReady
                    | ResultCode::PeerUnreachable
            );
        // Other codes, such as a quarantined request or a passed deadline, apply on every node.
        if !retryable || (!others && !overloaded) {
            return self.fail(code, Executed::No);
        }
        let after = if others {
            Duration::ZERO
        } else {
            self.backoff(rng)
        };
        if now + after + MIN_ATTEMPT_TIME > self.spec.deadline {
            return self.fail(code, Executed::No);
        }
        match self.retry(now, after, bucket, !others) {
            Some(next) => next,
            None => self.fail(ResultCode::RetryBudgetExhausted, Executed::No),
        }
    }

    fn after_unknown(
        &mut self,
        now: Duration,
        bucket: &mut TokenBucket,
        code: ResultCode,
        others: bool,
    ) -> Next {
        self.may_have_run = true;
        let retry = self
            .spec
            .idempotent
            .then(|| self.retry(now, Duration::ZERO, bucket, !others));
        match retry.flatten() {
            Some(next) => next,
            None if now >= self.spec.deadline => {
                self.fail(ResultCode::DeadlineExceeded, Executed::Unknown)
            }
            None => self.fail(code, Executed::Unknown),
        }
    }

    fn fail(&self, code: ResultCode, run: Executed) -> Next {
        let run = if self.may_have_run {
            Executed::Unknown
        } else {
            run
        };
        let truthful = run != Executed::No || self.started == self.not_run;
        if invariant::check(
            6,
            truthful,
            "refusal \"not run\" of a call that may have run",
        ) {
            Next::Fail(code, run)
        } else {
            Next::Fail(code, Executed::Unknown)
        }
    }

    fn retry(
        &mut self,
        now: Duration,
        after: Duration,
        bucket: &mut TokenBucket,
        reset_exclusions: bool,
    ) -> Option<Next> {
        let in_time = now + after + MIN_ATTEMPT_TIME <= self.spec.deadline;
        if self.budget == 0 || !in_time || !bucket.take() {
            return None;
        }
        self.budget -= 1;
        self.attempt(now, after, reset_exclusions)
    }

    fn attempt(&mut self, now: Duration, after: Duration, reset_exclusions: bool) -> Option<Next> {
        let start = now + after;
        if start + MIN_ATTEMPT_TIME > self.spec.deadline {
            return None;
        }
        let reserved = u8::from(self.spec.idempotent && self.budget > 1);
        self.passed_on = self.budget - reserved;
        self.budget = reserved;
        self.started += 1;
        let remaining = self.spec.deadline.saturating_sub(start);
        // An attempt that cannot be retried gets the whole remaining time: an earlier timeout would
        // only turn a late response into an unknown result.
        let timeout = if reserved > 0 && self.broken_connections == 0 {
            remaining.min(self.spec.attempt_timeout)
        } else {
            remaining
        };
        Some(Next::Try {
            after,
            timeout,
            attempts_to_pass_on: self.passed_on,
            reset_exclusions,
        })
    }

    /// Full jitter (Brooker, "Exponential Backoff and Jitter", AWS Architecture Blog, 2015).
    fn backoff(&mut self, rng: &mut impl Rng) -> Duration {
        let bound = BACKOFF_BASE
            .saturating_mul(1 << self.backoffs.min(10))
            .min(BACKOFF_MAX);
        self.backoffs += 1;
        bound.mul_f64(rng.random::<f64>())
    }
}

/// Whether a status from a backend server or a node behind it means that another attempt may
/// succeed.
fn is_retryable(status: u16) -> bool {
    matches!(status, 502..=504)
}
