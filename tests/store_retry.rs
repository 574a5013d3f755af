//! Tries while the platform's store does not answer.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::coordination::store_retry;

/// Load: the store is silent for 8 s (gprbs-booths trouble-3, seed 40305295436: a configuration that was
/// acknowledged 1 s after its return was in force too late). Guards against a try that begins just
/// before the return and takes, with the pause behind it, the 2 s of the strictest sites.
#[gtest]
fn limit_and_pause_silent_store() {
    for failures in 1..40 {
        let longest = store_retry::limit(failures) + store_retry::pause(failures, 1.0);
        expect_that!(longest, le(Duration::from_millis(1_900)), "{failures}");
    }
}

/// Guards against a store that is slow, but answers, and is never waited for.
#[gtest]
fn limit_slow_store() {
    let longest = (1..4).map(store_retry::limit).max();
    expect_that!(longest, some(ge(Duration::from_millis(1_200))));
    expect_that!(store_retry::limit(0), ge(Duration::from_millis(1_500)));
}
