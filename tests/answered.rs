//! Requests that run beside the cause of a crash are told from the cause.

use googletest::prelude::*;
use sycamorewick::coordination::answered::Answered;

/// Guards against the quarantine of a frequent request for the crashes that another one causes.
#[gtest]
fn answered_request_is_excused_for_each_crash_after_an_answer() {
    let mut answered = Answered::new();
    for start in 1..=5 {
        answered.on_answered(7);
        // Several calls of one request end with the same crash.
        expect_false!(answered.is_suspect(7, start));
        expect_false!(answered.is_suspect(7, start));
    }
}

/// Guards against a request that is never suspected because it was answered once.
#[gtest]
fn request_in_two_crashes_without_an_answer_is_suspected() {
    let mut answered = Answered::new();
    answered.on_answered(7);
    expect_false!(answered.is_suspect(7, 1));
    expect_true!(answered.is_suspect(7, 2));
    expect_true!(answered.is_suspect(8, 2));
}

/// Guards against a table that grows with the number of different requests, and against one that
/// forgets frequent requests.
#[gtest]
fn many_requests_replace_old_ones() {
    let mut answered = Answered::new();
    for other in 0..100_000 {
        answered.on_answered(1_000 + other);
        if other % 100 == 0 {
            answered.on_answered(7);
        }
    }
    expect_false!(answered.is_suspect(7, 1));
    expect_false!(answered.is_suspect(100_999, 1));
    expect_true!(answered.is_suspect(1_000, 1));
}
