//! Circuit breaker beside a backend server that breaks its connections (Nygard, "Release It!",
//! 2007). See `docs/platform.md`, "Admission".
//!
//! Only connections that end without a whole answer count: such a call may have run, and one that is
//! not idempotent is lost. A backend server that answers, even with failures, is judged by others.

use std::time::Duration;

use crate::coordination::backoff::doubled;

/// Broken answers in a row that open the breaker.
const MAX_BROKEN: u32 = 3;
/// Time for which it stays open at first; doubled each time a trial fails.
const OPEN_BASE: Duration = Duration::from_millis(300);
/// Longest such time; a backend server that works again is used within it.
const OPEN_MAX: Duration = Duration::from_secs(2);

/// Breaker of one backend server.
#[derive(Debug, Default)]
pub struct Breaker {
    broken: u32,
    openings: u32,
    open_until: Duration,
    trial: bool,
}

impl Breaker {
    /// Whether a call may be sent now. While the breaker is half open, that is one idempotent call at
    /// a time, which is then counted as the trial.
    pub fn admit(&mut self, now: Duration, idempotent: bool) -> bool {
        if self.broken < MAX_BROKEN {
            return true;
        }
        let admitted = idempotent && now >= self.open_until && !self.trial;
        self.trial |= admitted;
        admitted
    }

    /// Takes note of how a call ended. Returns whether the breaker has just opened.
    pub fn on_end(&mut self, now: Duration, whole: bool) -> bool {
        self.trial = false;
        if whole {
            *self = Self::default();
            return false;
        }
        self.broken = self.broken.saturating_add(1);
        if self.broken < MAX_BROKEN || now < self.open_until {
            return false;
        }
        self.open_until = now + doubled(OPEN_BASE, OPEN_MAX, self.openings);
        self.openings += 1;
        true
    }

    /// Takes note that a call ended without telling anything, for example because its caller left.
    pub fn on_cancelled(&mut self) {
        self.trial = false;
    }
}
