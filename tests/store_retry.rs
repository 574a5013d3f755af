//! Timeouts and pauses while the platform's store does not answer.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::coordination::store_retry;

/// A node must notice in time that an unresponsive store has recovered. An attempt that begins just
/// before the recovery and the pause after it must together take less than the 2 s within which the
/// strictest deployments require a configuration to be in force. After 8 s without responses, a
/// configuration that was acknowledged 1 s after the recovery was in force too late.
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
