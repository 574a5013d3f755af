//! Timeouts and pauses while the platform's store does not answer.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::coordination::store_retry;

/// After the store had been silent for 8 s, a configuration that was acknowledged 1 s after its
/// recovery was in force too late. An attempt that begins just before the recovery and the pause
/// after it must take less than the 2 s that the strictest deployments allow.
#[gtest]
fn timeout_and_pause_silent_store() {
    for failures in 1..40 {
        let longest = store_retry::timeout(failures) + store_retry::pause(failures, 1.0);
        expect_that!(longest, le(Duration::from_millis(1_900)), "{failures}");
    }
}

/// The timeouts must be long enough for a store that is slow but answers.
#[gtest]
fn timeout_slow_store() {
    let longest = (1..4).map(store_retry::timeout).max();
    expect_that!(longest, some(ge(Duration::from_millis(1_200))));
    expect_that!(store_retry::timeout(0), ge(Duration::from_millis(1_500)));
}
