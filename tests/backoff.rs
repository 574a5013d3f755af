//! Exponential backoff.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::coordination::backoff::doubled;

/// The first delay must not be doubled, no delay may exceed the upper bound, and many failures must
/// not cause an overflow.
#[gtest]
fn doubled_up_to_longest() {
    let (shortest, longest) = (Duration::from_millis(200), Duration::from_millis(700));
    let times: Vec<u128> = [0, 1, 2, u32::MAX]
        .map(|failures| doubled(shortest, longest, failures).as_millis())
        .into();
    expect_that!(times, eq(&vec![200, 400, 700, 700]));
}
