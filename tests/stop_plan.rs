//! Phases of a graceful shutdown.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::coordination::stop_plan::StopPhase;
use sycamorewick::coordination::stop_plan::StopPlan;

const WITHIN: Duration = Duration::from_secs(6);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Callers must be served until the platform has stopped sending them.
#[gtest]
fn step_serves_first() {
    let mut plan = StopPlan::new(at(0), WITHIN);
    expect_that!(plan.step(at(0), 0), eq(StopPhase::Serve));
    expect_that!(plan.step(at(2_400), 0), eq(StopPhase::Serve));
    expect_that!(plan.step(at(2_700), 1), eq(StopPhase::Withdrawn));
}

/// The process must not exit while a call from an open connection runs. Otherwise a call that arrives
/// between the end of the last call and the exit gets no response.
#[gtest]
fn step_call_after_idle() {
    let mut plan = StopPlan::new(at(0), WITHIN);
    expect_that!(plan.step(at(3_000), 0), eq(StopPhase::Withdrawn));
    expect_that!(plan.step(at(3_100), 1), eq(StopPhase::Withdrawn));
    expect_that!(plan.step(at(3_400), 1), eq(StopPhase::Withdrawn));
    expect_that!(plan.step(at(3_420), 0), eq(StopPhase::Withdrawn));
    expect_that!(plan.step(at(3_500), 0), eq(StopPhase::Withdrawn));
    expect_that!(plan.step(at(3_600), 0), eq(StopPhase::Exit));
}

/// Calls that do not end must not keep the process running beyond its time, after which it is
/// killed.
#[gtest]
fn step_ends_in_time() {
    let mut plan = StopPlan::new(at(0), WITHIN);
    expect_that!(plan.step(at(5_200), 3), eq(StopPhase::Withdrawn));
    expect_that!(plan.step(at(5_400), 3), eq(StopPhase::Exit));
}

/// A process that is suspended during its shutdown beyond its end must still deliver ready
/// responses: two calls that had run were not answered.
#[gtest]
fn step_after_suspension() {
    let mut plan = StopPlan::new(at(0), WITHIN);
    expect_that!(plan.step(at(400), 2), eq(StopPhase::Serve));
    expect_that!(plan.step(at(5_600), 2), eq(StopPhase::Withdrawn));
    expect_that!(plan.step(at(5_700), 2), eq(StopPhase::Withdrawn));
    expect_that!(plan.step(at(5_800), 2), eq(StopPhase::Exit));
}

/// When callers keep using open connections to a stopping node, no call may still wait or run when
/// the process has to exit: up to four calls were aborted at the exit.
#[gtest]
fn call_time_limit_ends_in_time() {
    let plan = StopPlan::new(at(1_000), WITHIN);
    // The process exits at 6.3 s, and responses must be complete 0.25 s before.
    expect_that!(
        plan.call_time_limit(at(1_000), at(4_000)),
        some(eq(at(4_000)))
    );
    // The platform still sends callers, who cannot use another node.
    expect_that!(
        plan.call_time_limit(at(2_840), at(4_000)),
        some(eq(at(3_210)))
    );
    expect_that!(
        plan.call_time_limit(at(3_500), at(3_000)),
        some(eq(at(2_550)))
    );
    expect_that!(plan.call_time_limit(at(3_700), at(3_000)), none());
    expect_that!(
        plan.call_time_limit(at(3_700), at(2_300)),
        some(eq(at(2_300)))
    );
    expect_that!(plan.call_time_limit(at(5_000), at(1_200)), none());
    expect_that!(plan.call_time_limit(at(6_300), at(1)), none());
}
