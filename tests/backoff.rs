//! Times that double with each failure in a row.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::coordination::backoff::doubled;

/// Guards against a first time that is doubled already, one beyond the longest, and an overflow after
/// many failures.
#[gtest]
fn doubled_up_to_longest() {
    let (shortest, longest) = (Duration::from_millis(200), Duration::from_millis(700));
    let times: Vec<u128> = [0, 1, 2, u32::MAX]
        .map(|failures| doubled(shortest, longest, failures).as_millis())
        .into();
    expect_that!(times, eq(&vec![200, 400, 700, 700]));
}
