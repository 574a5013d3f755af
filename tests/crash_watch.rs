//! Calls whose connection broke, until the backend server is found to run or to have crashed.

use googletest::prelude::*;
use sycamorewick::coordination::crash_watch::CrashWatch;
use sycamorewick::protocol::fleet::Incarnation;

fn incarnation(born: u64) -> Incarnation {
    ("b0".into(), born)
}

/// Guards against a check for each call that a crash ends, and against a call that is not reported.
#[gtest]
fn on_broken_several_calls() {
    let mut watch = CrashWatch::default();
    expect_true!(watch.on_broken(&incarnation(1), 7));
    expect_false!(watch.on_broken(&incarnation(1), 8));
    expect_false!(watch.on_broken(&incarnation(1), 7));
    expect_that!(watch.finish(&incarnation(1)), elements_are![eq(&7), eq(&8)]);
    expect_that!(watch.finish(&incarnation(1)), is_empty());
    expect_true!(watch.on_broken(&incarnation(1), 9));
}

/// Guards against calls of one incarnation that are reported for the crash of another one.
#[gtest]
fn finish_other_incarnation() {
    let mut watch = CrashWatch::default();
    expect_true!(watch.on_broken(&incarnation(1), 7));
    expect_true!(watch.on_broken(&incarnation(2), 8));
    expect_that!(watch.finish(&incarnation(1)), is_empty());
    expect_that!(watch.finish(&incarnation(2)), elements_are![eq(&8)]);
}
