//! Times that double with each failure in a row.

use std::time::Duration;

/// Doublings at most, far beyond any longest time in use; a duration must not overflow.
const MAX_DOUBLINGS: u32 = 16;

/// Returns the shortest time, doubled once for each earlier failure, up to the longest.
#[must_use]
pub fn doubled(shortest: Duration, longest: Duration, failures: u32) -> Duration {
    longest.min(shortest * 2_u32.pow(failures.min(MAX_DOUBLINGS)))
}
