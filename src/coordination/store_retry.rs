//! Times of tries while the platform's store does not answer. See `docs/platform.md`, "Store".
//!
//! A store that is silent takes each try its whole limit. What comes after its return has to be read
//! within the time in which a configuration has to be in force, 2 s on the strictest sites, so that a
//! try and the pause behind it may take 1.9 s together.

use std::time::Duration;

use crate::coordination::backoff::doubled;

/// Time beyond its wait that a call to a store that has answered last, or an append, may take. The store answers in
/// 4 ms when it is well and up to 100 times slower when it is not; a configuration has 120 kB.
pub const FIRST_LIMIT: Duration = Duration::from_millis(1_500);
/// The same after a failure.
const LIMIT: Duration = Duration::from_millis(800);
/// The same for each third try, in case the store is slower than that.
const PATIENT_LIMIT: Duration = Duration::from_millis(1_200);
/// First pause after a failure; doubled up to [`MAX_PAUSE`].
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Longest such pause.
const MAX_PAUSE: Duration = Duration::from_millis(700);

/// Returns the time beyond its wait that the next call may take after so many failures in a row.
#[must_use]
pub fn limit(failures: u32) -> Duration {
    match failures {
        0 => FIRST_LIMIT,
        _ if failures.is_multiple_of(3) => PATIENT_LIMIT,
        _ => LIMIT,
    }
}

/// Returns the pause after a failure that followed so many others in a row; `factor` lies between 0.5
/// and 1, so that nodes do not try together.
#[must_use]
pub fn pause(failures: u32, factor: f64) -> Duration {
    doubled(FIRST_PAUSE, MAX_PAUSE, failures).mul_f64(factor)
}
