//! The only place in which a node reads clocks; decisions get the times passed in.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::protocol::time::WallMs;
use crate::protocol::time::millis;

/// Monotonic time since the start of the process, and wall time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts the monotonic time at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Monotonic time since the start of the process.
    #[must_use]
    pub fn now(self) -> Duration {
        self.started.elapsed()
    }

    /// Time that has passed since `began`.
    #[must_use]
    pub fn since(self, began: Duration) -> Duration {
        self.now().saturating_sub(began)
    }

    /// Wall time; zero if the clock is set before 1970.
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
