//! Circuit breaker for a backend server that closes connections without a complete response
//! (Nygard, "Release It!", 2007). See `docs/platform.md`, "Admission".
//!
//! Only incomplete responses count: such a call may have run, and one that is not idempotent is
//! lost. Failure responses do not open the breaker; they are handled by the placement and the
//! rollout.

use std::time::Duration;

use crate::coordination::backoff::exponential_delay;

/// Consecutive incomplete responses that open the breaker.
const FAILURE_THRESHOLD: u32 = 3;
/// Time for which the breaker first stays open; doubled each time the half-open call fails.
const OPEN_BASE: Duration = Duration::from_millis(300);
/// Upper bound of that time; a recovered backend server is used again within it.
const OPEN_MAX: Duration = Duration::from_secs(2);
/// Time from the end of that time after which any call is a probe. A service may have no idempotent calls,
/// and each call that is not idempotent is lost if the backend server has not recovered.
const ANY_PROBE_AFTER: Duration = Duration::from_secs(1);

/// Circuit breaker of one backend server.
#[derive(Debug, Default)]
pub struct Breaker {
    consecutive_failures: u32,
    openings: u32,
    open_until: Duration,
    probe_in_flight: bool,
}

impl Breaker {
    /// Returns whether a call may be sent now. A half-open breaker admits one call at a time as a probe, at
    /// first only an idempotent one.
    pub fn admit(&mut self, now: Duration, idempotent: bool) -> bool {
        if self.consecutive_failures < FAILURE_THRESHOLD {
            return true;
        }
        let probe_from = if idempotent {
            self.open_until
        } else {
            self.open_until + ANY_PROBE_AFTER
        };
        let admitted = now >= probe_from && !self.probe_in_flight;
        self.probe_in_flight |= admitted;
        admitted
    }

    /// Handles the end of a call; `complete` tells whether its response was complete. Returns
    /// whether the breaker has just opened.
    pub fn on_end(&mut self, now: Duration, complete: bool) -> bool {
        self.probe_in_flight = false;
        if complete {
            *self = Self::default();
            return false;
        }
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures < FAILURE_THRESHOLD || now < self.open_until {
            return false;
        }
        self.open_until = now + exponential_delay(OPEN_BASE, OPEN_MAX, self.openings);
        self.openings += 1;
        true
    }

    /// Handles the end of a call that gives no information, for example because its caller
    /// disconnected.
    pub fn on_cancelled(&mut self) {
        self.probe_in_flight = false;
    }
}
