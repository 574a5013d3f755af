//! Wall-clock time as used in messages and documents.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Wall-clock time in milliseconds since the Unix epoch, UTC.
///
/// Monotonic time is represented as a [`Duration`] since the start of the process and is never sent to
/// other processes.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct WallMs(pub u64);

impl WallMs {
    /// Returns this time plus `delta`; saturates at the largest value.
    #[must_use]
    pub fn plus(self, delta: Duration) -> Self {
        Self(self.0.saturating_add(millis(delta)))
    }

    /// Returns the time from `earlier` to this time, or zero if `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl fmt::Display for WallMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Converts a duration to whole milliseconds; saturates at `u64::MAX`.
#[must_use]
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
