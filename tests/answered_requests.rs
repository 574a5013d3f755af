//! Distinguishes the cause of a crash from requests that ran at the same time.

use googletest::prelude::*;
use sycamorewick::coordination::answered_requests::AnsweredRequests;

/// A frequent request must not be quarantined for crashes that another request causes.
#[gtest]
fn answered_request_is_exempted_for_each_crash_after_an_answer() {
    let mut answered = AnsweredRequests::new();
    for start in 1..=5 {
        answered.on_answered(7);
        // Several calls with the same request can end in one crash.
        expect_false!(answered.is_suspect(7, start));
        expect_false!(answered.is_suspect(7, start));
    }
}

/// A request must not be exempt for ever because it was answered once.
#[gtest]
fn request_in_two_crashes_without_an_answer_is_suspect() {
    let mut answered = AnsweredRequests::new();
    answered.on_answered(7);
    expect_false!(answered.is_suspect(7, 1));
    expect_true!(answered.is_suspect(7, 2));
    expect_true!(answered.is_suspect(8, 2));
}

/// The table must not grow with the number of different requests, and must keep frequent ones.
#[gtest]
fn many_requests_replace_old_ones() {
    let mut answered = AnsweredRequests::new();
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
