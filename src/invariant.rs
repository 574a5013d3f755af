//! Checks of the system's invariants at the places where state changes, see `docs/invariants.md`.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Number of violations seen by this process; reported as a metric and an outcome.
#[must_use]
pub fn violations() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}

/// Checks that an invariant holds.
///
/// A violation ends a test build with a numbered panic. A release build counts it and goes on,
/// since a process that stops would drop the calls it runs; the caller must then take the safe
/// branch, which is why the result is returned.
///
/// # Panics
/// In builds with debug assertions, if `holds` is false.
#[must_use]
pub fn check(number: u8, holds: bool, what: &str) -> bool {
    if !holds {
        VIOLATIONS.fetch_add(1, Ordering::Relaxed);
        debug_assert!(holds, "9001 invariant violated: number {number}: {what}");
    }
    holds
}
