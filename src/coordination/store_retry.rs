//! Timeouts and pauses of calls to the platform's store while it does not answer. See
//! `docs/platform.md`, "Store".
//!
//! While the store does not answer, every attempt takes its whole timeout. After the store has
//! recovered, new records must be read within the time in which a configuration must be in force,
//! which is 2 s in the strictest deployments. Therefore an attempt and the pause after it may take
//! at most 1.9 s together.

use std::time::Duration;

use crate::coordination::backoff::exponential_delay;

/// Timeout, beyond its long-poll wait, of an append or of a call after a successful one. The store
/// answers in 4 ms when it is healthy and up to 100 times slower otherwise; a configuration has 120
/// kB.
pub const FIRST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout of a call after a failure.
const RETRY_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of every third attempt, in case the store is slower than [`RETRY_TIMEOUT`].
const LONG_RETRY_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Further time for a response that has begun. A read returns up to 1 MB, which takes 0.84 s at 10 Mbit/s: if the
/// retry timeout cut it off, each retry would begin the transfer anew and none would end.
pub const TRANSFER_TIMEOUT: Duration = Duration::from_millis(700);
/// Pause after the first failure; doubled for each further one up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Upper bound of the pause after a failure.
const MAX_PAUSE: Duration = Duration::from_millis(700);

/// Returns the timeout of the next call, beyond its long-poll wait, after consecutive failures.
#[must_use]
pub fn timeout(failures: u32) -> Duration {
    match failures {
        0 => FIRST_TIMEOUT,
        _ if failures.is_multiple_of(3) => LONG_RETRY_TIMEOUT,
        _ => RETRY_TIMEOUT,
    }
}

/// Returns the pause after a failure that follows a number of other consecutive failures. `factor`
/// is a random number between 0.5 and 1, so that nodes do not retry at the same time.
#[must_use]
pub fn pause(failures: u32, factor: f64) -> Duration {
    exponential_delay(FIRST_PAUSE, MAX_PAUSE, failures).mul_f64(factor)
}
