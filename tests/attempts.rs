//! Attempts of one call, under the load patterns that they answer.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::coordination::attempts::AttemptFailure;
use sycamorewick::coordination::attempts::Attempts;
use sycamorewick::coordination::attempts::CallTerms;
use sycamorewick::coordination::attempts::Choice;
use sycamorewick::coordination::attempts::Chosen;
use sycamorewick::coordination::attempts::Outcome;
use sycamorewick::coordination::attempts::Step;
use sycamorewick::result_code::ResultCode;

const NEAR: Chosen = Chosen {
    time_ms: 60.0,
    is_lost: false,
    has_room: true,
    is_predictable: true,
};
const LOST: Chosen = Chosen {
    time_ms: 60.0,
    is_lost: true,
    has_room: true,
    is_predictable: true,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn attempts(idempotent: bool) -> Attempts {
    Attempts::new(CallTerms {
        arrived: ms(1_000),
        deadline: ms(3_000),
        objective: ms(250),
        idempotent,
        attempts: 2,
    })
}

fn refused(code: ResultCode, arrived: bool, come_back: u64) -> AttemptFailure {
    AttemptFailure::Refused {
        code,
        arrived,
        come_back: ms(come_back),
    }
}

fn overloaded(come_back: u64) -> AttemptFailure {
    refused(ResultCode::Overloaded, false, come_back)
}

/// Makes one attempt at `node` that ends as `failure`.
fn fail(attempts: &mut Attempts, now: Duration, node: &str, failure: AttemptFailure) {
    expect_that!(attempts.next(now), not(eq(Step::Stop)));
    expect_that!(attempts.on_choice(now, Some(NEAR)), eq(Choice::Send));
    attempts.on_failure(&node.into(), failure);
}

/// Load: the whole service is full. Guards against asking all its nodes: three refuse, three are asked
/// once more as for a late answer, then the caller is told when room is expected.
#[gtest]
fn next_all_overloaded() {
    let mut attempts = attempts(true);
    for (node, come_back) in [("a", 90), ("b", 40), ("c", 70)] {
        expect_false!(attempts.accepts_late());
        fail(&mut attempts, ms(1_010), node, overloaded(come_back));
    }
    for node in ["a", "b", "c"] {
        fail(&mut attempts, ms(1_020), node, overloaded(80));
        expect_true!(attempts.accepts_late());
    }
    expect_that!(attempts.next(ms(1_030)), eq(Step::Stop));
    let come_back = Some(ms(40));
    let code = ResultCode::Overloaded;
    expect_that!(attempts.outcome(), eq(Outcome::Refused { code, come_back }));
    expect_that!(attempts.arrivals(), eq(0));
}

/// Load: two nodes are left for the work of six, and entries of lost ones remain. Guards against one
/// call that tries them all before it is refused (gprbs-booths trouble-3, seed 689314201199).
#[gtest]
fn on_choice_lost_nodes() {
    let mut attempts = attempts(true);
    fail(&mut attempts, ms(1_010), "a", overloaded(90));
    fail(&mut attempts, ms(1_011), "b", overloaded(90));
    // Those that serve are asked for a late answer before any trial.
    let again = attempts.on_choice(ms(1_012), Some(LOST));
    expect_that!(again, eq(Choice::AskAgain));
    expect_that!(attempts.tried().len(), eq(0));
    fail(&mut attempts, ms(1_013), "a", overloaded(90));
    fail(&mut attempts, ms(1_014), "b", overloaded(90));
    let trial = attempts.on_choice(ms(1_015), Some(LOST));
    expect_that!(trial, eq(Choice::Send));
    let lost = refused(ResultCode::PeerUnreachable, false, 300);
    attempts.on_failure(&"c".into(), lost);
    let second = attempts.on_choice(ms(1_016), Some(LOST));
    expect_that!(second, eq(Choice::Stop));
    // The caller learns of the load, not of the lost node.
    let come_back = Some(ms(90));
    let code = ResultCode::Overloaded;
    expect_that!(attempts.outcome(), eq(Outcome::Refused { code, come_back }));
}

/// Load: a failure domain is lost, so most first choices are gone. Guards against giving up early.
#[gtest]
fn next_lost_domain() {
    let mut attempts = attempts(false);
    for node in 0..8 {
        let lost = refused(ResultCode::PeerUnreachable, false, 300);
        fail(&mut attempts, ms(1_010), &format!("n{node}"), lost);
    }
    expect_that!(attempts.next(ms(1_020)), eq(Step::Offer));
}

/// Load: a slow fleet, where no node is expected to be in time. Guards against refusals that only cost
/// time.
#[gtest]
fn on_choice_nobody_in_time() {
    let mut attempts = attempts(true);
    let slow = Chosen {
        time_ms: 400.0,
        is_lost: false,
        has_room: true,
        is_predictable: true,
    };
    expect_that!(attempts.on_choice(ms(1_010), Some(slow)), eq(Choice::Send));
    expect_true!(attempts.accepts_late());
}

/// Guards against losing the ready answer of a failed backend server when the second one runs out of
/// time; the caller was told 504 instead of 500.
#[gtest]
fn outcome_failed_answer_before_timeout() {
    let mut attempts = attempts(true);
    fail(&mut attempts, ms(1_010), "a", AttemptFailure::Failed);
    expect_that!(attempts.next(ms(1_020)), eq(Step::Repeat));
    expect_that!(attempts.on_choice(ms(1_020), Some(NEAR)), eq(Choice::Send));
    attempts.on_timeout();
    expect_that!(attempts.outcome(), eq(Outcome::FailedAnswer));
}

/// Guards against more backend servers than the route allows.
#[gtest]
fn next_attempts_of_route() {
    let mut attempts = attempts(true);
    fail(&mut attempts, ms(1_010), "a", AttemptFailure::Failed);
    fail(&mut attempts, ms(1_020), "b", AttemptFailure::Failed);
    expect_that!(attempts.next(ms(1_030)), eq(Step::Stop));
}

/// Guards against a second run of a call that is not idempotent, and against a refusal that is not
/// true.
#[gtest]
fn next_unknown_not_idempotent() {
    let mut attempts = attempts(false);
    let unknown = AttemptFailure::Unknown(ResultCode::BrokenAnswer);
    fail(&mut attempts, ms(1_010), "a", unknown);
    expect_that!(attempts.next(ms(1_020)), eq(Step::Stop));
    let code = ResultCode::OutcomeUnknown;
    expect_that!(attempts.outcome(), eq(Outcome::Unknown(code)));
}

/// Guards against a true refusal of a backend server that keeps a call from another one.
#[gtest]
fn next_shed_not_idempotent() {
    let mut attempts = attempts(false);
    let shed = refused(ResultCode::Overloaded, true, 15);
    fail(&mut attempts, ms(1_010), "a", shed);
    expect_that!(attempts.next(ms(1_020)), eq(Step::Repeat));
    expect_false!(attempts.may_have_run());
}

/// Guards against an attempt that cannot be answered before the caller gives up.
#[gtest]
fn next_deadline() {
    let mut attempts = attempts(true);
    expect_that!(attempts.next(ms(2_996)), eq(Step::Stop));
    expect_that!(attempts.next(ms(2_990)), eq(Step::Offer));
}

/// Guards against a service without nodes that is not told apart from one without room.
#[gtest]
fn outcome_no_node() {
    let mut attempts = attempts(true);
    expect_that!(attempts.on_choice(ms(1_010), None), eq(Choice::Stop));
    let code = ResultCode::NoBackend;
    let come_back = None;
    expect_that!(attempts.outcome(), eq(Outcome::Refused { code, come_back }));
}

/// Load: some backend servers lose answers or run several times slower. Guards against callers that
/// wait for them to the end, and against second attempts that calls or routes do not allow.
#[gtest]
fn hedge_after_slow_answer() {
    let near = Chosen {
        time_ms: 5.0,
        ..NEAR
    };
    expect_that!(attempts(true).hedge_after(NEAR), some(eq(ms(120))));
    expect_that!(attempts(true).hedge_after(near), some(eq(ms(40))));
    expect_that!(attempts(false).hedge_after(NEAR), none());
    let mut once_failed = attempts(true);
    fail(&mut once_failed, ms(1_010), "a", AttemptFailure::Failed);
    expect_that!(once_failed.hedge_after(NEAR), none());
}

/// Guards against a second run beside the first of a call that must run once, and against more backend
/// servers than the route allows (gprbs-booths-grown trouble-2 broke TWICE 5,646 times in a trial).
#[gtest]
fn on_hedge_not_allowed() {
    expect_false!(attempts(false).on_hedge(ms(1_200), NEAR));
    let mut once_failed = attempts(true);
    fail(&mut once_failed, ms(1_010), "a", AttemptFailure::Failed);
    expect_false!(once_failed.on_hedge(ms(1_200), NEAR));
}

/// Load: all power was lost, and everything starts again with cold backend servers (gprbs-booths-grown
/// trouble-2). Guards against second attempts when every answer takes longer than assumed.
#[gtest]
fn hedge_after_unknown_time() {
    let unknown = Chosen {
        is_predictable: false,
        ..NEAR
    };
    expect_that!(attempts(true).hedge_after(unknown), none());
}

/// Load: the whole service is full. Guards against second attempts that make all others late.
#[gtest]
fn on_hedge_overload() {
    let full = Chosen {
        has_room: false,
        ..NEAR
    };
    expect_false!(attempts(true).on_hedge(ms(1_200), full));
    expect_false!(attempts(true).on_hedge(ms(1_200), LOST));
    expect_true!(attempts(true).on_hedge(ms(1_200), NEAR));
    // It would answer after the caller has given up.
    expect_false!(attempts(true).on_hedge(ms(2_950), NEAR));
}
