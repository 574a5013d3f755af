//! Exponential backoff.

use std::time::Duration;

/// Maximum exponent, far beyond any upper bound in use; it prevents an overflow of the duration.
const MAX_EXPONENT: u32 = 16;

/// Returns the delay after a number of earlier consecutive failures: `shortest`, doubled for each
/// of them, and at most `longest`.
#[must_use]
pub fn exponential_delay(shortest: Duration, longest: Duration, failures: u32) -> Duration {
    longest.min(shortest * 2_u32.pow(failures.min(MAX_EXPONENT)))
}
