//! Runtime checks of the system's invariants where state changes, see `docs/invariants.md`.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);

/// Returns the number of violations in this process, which is reported as a metric and as an outcome.
#[must_use]
pub fn violations() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}

/// Checks that an invariant holds.
///
/// In a build with debug assertions, a violation panics with the invariant's number. A release build only
/// counts it, since a process that stops would drop the calls it runs; if the result is
/// false, the caller must take the safe branch.
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
