//! Order of a graceful stop.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::coordination::stop_plan::StopPlan;
use sycamorewick::coordination::stop_plan::StopStep;

const WITHIN: Duration = Duration::from_secs(6);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against refusing callers before the platform has stopped sending them.
#[gtest]
fn step_serves_first() {
    let mut plan = StopPlan::new(at(0), WITHIN);
    expect_that!(plan.step(at(0), 0), eq(StopStep::Serve));
    expect_that!(plan.step(at(2_400), 0), eq(StopStep::Serve));
    expect_that!(plan.step(at(2_700), 1), eq(StopStep::Withdrawn));
}

/// Guards against ending while a call that came on an open connection runs: gprbs-booths
/// hunt-b88a-3 lost a reservation that arrived between the last call and the exit.
#[gtest]
fn step_call_after_quiet() {
    let mut plan = StopPlan::new(at(0), WITHIN);
    expect_that!(plan.step(at(3_000), 0), eq(StopStep::Withdrawn));
    expect_that!(plan.step(at(3_100), 1), eq(StopStep::Withdrawn));
    expect_that!(plan.step(at(3_400), 1), eq(StopStep::Withdrawn));
    expect_that!(plan.step(at(3_420), 0), eq(StopStep::Withdrawn));
    expect_that!(plan.step(at(3_500), 0), eq(StopStep::Withdrawn));
    expect_that!(plan.step(at(3_600), 0), eq(StopStep::Exit));
}

/// Guards against being killed: calls that do not end must not hold the process beyond its time.
#[gtest]
fn step_ends_in_time() {
    let mut plan = StopPlan::new(at(0), WITHIN);
    expect_that!(plan.step(at(5_200), 3), eq(StopStep::Withdrawn));
    expect_that!(plan.step(at(5_400), 3), eq(StopStep::Exit));
}

/// Guards against ready answers that are lost when a process is suspended during its stop beyond its
/// end (soak, seed 302: two calls that had run were not answered).
#[gtest]
fn step_after_suspension() {
    let mut plan = StopPlan::new(at(0), WITHIN);
    expect_that!(plan.step(at(400), 2), eq(StopStep::Serve));
    expect_that!(plan.step(at(5_600), 2), eq(StopStep::Withdrawn));
    expect_that!(plan.step(at(5_700), 2), eq(StopStep::Withdrawn));
    expect_that!(plan.step(at(5_800), 2), eq(StopStep::Exit));
}

/// Load: a busy node is told to stop while callers go on to use their open connections (gprbs-booths
/// scale-2, seed 29486330085: up to four calls were cut at the end). Guards against calls that may
/// still wait or run when the process has to end.
#[gtest]
fn time_for_ends_in_time() {
    let plan = StopPlan::new(at(1_000), WITHIN);
    // The process ends at 6.3 s, and answers have to be there 0.25 s before.
    expect_that!(plan.time_for(at(1_000), at(4_000)), some(eq(at(4_000))));
    // The platform still sends callers, and there is nowhere else for them to go.
    expect_that!(plan.time_for(at(2_840), at(4_000)), some(eq(at(3_210))));
    expect_that!(plan.time_for(at(3_500), at(3_000)), some(eq(at(2_550))));
    expect_that!(plan.time_for(at(3_700), at(3_000)), none());
    expect_that!(plan.time_for(at(3_700), at(2_300)), some(eq(at(2_300))));
    expect_that!(plan.time_for(at(5_000), at(1_200)), none());
    expect_that!(plan.time_for(at(6_300), at(1)), none());
}
