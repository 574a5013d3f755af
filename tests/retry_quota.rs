//! Retry budget of the fleet.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::coordination::retry_quota::RetryBudget;
use sycamorewick::coordination::retry_quota::RetryQuota;
use sycamorewick::protocol::name::ServiceName;

const BUDGET: RetryBudget = RetryBudget {
    ratio: 0.2,
    slack: 56.0,
    window: Duration::from_secs(10),
};

fn taken(quota: &mut RetryQuota, now: Duration, service: &ServiceName, nodes: usize) -> u32 {
    (0..1_000)
        .map(|_| u32::from(quota.take(now, service, nodes, true)))
        .sum()
}

/// When every call fails and is retried, all nodes together must not exceed the retry budget of the
/// fleet in any window.
#[gtest]
fn take_all_nodes_fail() {
    let service = ServiceName::from("registry");
    let mut retries = 0;
    for _ in 0..12 {
        let mut quota = RetryQuota::new(BUDGET);
        for call in 0..400_u64 {
            let now = Duration::from_millis(call * 25);
            quota.on_request(now, &service);
            retries += u32::from(quota.take(now, &service, 12, call % 2 == 0));
        }
    }
    // 4,800 requests in one window.
    expect_that!(f64::from(retries), le(0.2 * 4_800.0 + 56.0));
    expect_that!(retries, gt(500));
}

/// A quota that is used up must be available again after the window.
#[gtest]
fn take_after_window() {
    let service = ServiceName::from("registry");
    let mut quota = RetryQuota::new(BUDGET);
    let first = taken(&mut quota, Duration::from_secs(1), &service, 2);
    expect_that!(first, gt(0));
    expect_that!(
        taken(&mut quota, Duration::from_secs(5), &service, 2),
        eq(0)
    );
    expect_that!(
        taken(&mut quota, Duration::from_secs(12), &service, 2),
        eq(first)
    );
}

/// Retries of one service must not use the budget of another.
#[gtest]
fn take_other_service() {
    let mut quota = RetryQuota::new(BUDGET);
    let now = Duration::from_secs(1);
    let first = taken(&mut quota, now, &"registry".into(), 4);
    expect_that!(taken(&mut quota, now, &"archive".into(), 4), eq(first));
}

/// When lookups and claims fail together, the lookups must not use up the budget for the urgent
/// claims.
#[gtest]
fn take_urgent_share() {
    let service = ServiceName::from("registry");
    let mut quota = RetryQuota::new(BUDGET);
    let now = Duration::from_secs(1);
    while quota.take(now, &service, 2, false) {}
    expect_true!(quota.take(now, &service, 2, true));
}
