//! Access to the monotonic clock and the wall clock. Nothing else in a node reads a clock; the
//! state machines receive the time as an argument.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::protocol::time::WallMs;
use crate::protocol::time::millis;

/// Source of the monotonic time since the start of the process, and of the wall time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Creates a clock whose monotonic time starts at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Returns the monotonic time since the start of the process.
    #[must_use]
    pub fn now(self) -> Duration {
        self.started.elapsed()
    }

    /// Returns the time since `start`.
    #[must_use]
    pub fn since(self, start: Duration) -> Duration {
        self.now().saturating_sub(start)
    }

    /// Returns the wall time, or zero if the clock is set to a time before 1970.
    #[must_use]
    pub fn wall(self) -> WallMs {
        WallMs(
            SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map(millis)
                .unwrap_or_default(),
        )
    }
}
