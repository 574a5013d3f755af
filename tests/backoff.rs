//! Exponential backoff.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::coordination::backoff::exponential_delay;

/// The first delay must not be doubled, no delay may exceed the upper bound, and many failures must
/// not cause an overflow.
#[gtest]
fn exponential_delay_up_to_longest() {
    let (shortest, longest) = (Duration::from_millis(200), Duration::from_millis(700));
    let times: Vec<u128> = [0, 1, 2, u32::MAX]
        .map(|failures| exponential_delay(shortest, longest, failures).as_millis())
        .into();
    expect_that!(times, eq(&vec![200, 400, 700, 700]));
}
