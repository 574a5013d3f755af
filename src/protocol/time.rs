//! Wall-clock time as it stands in messages and documents.

use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Milliseconds since the Unix epoch, UTC.
///
/// Monotonic time is a [`Duration`] since the start of the process and never leaves the process.
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

    /// Returns how long `earlier` lies before this time, zero if it does not.
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
