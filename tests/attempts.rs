//! Attempts of one call under various load patterns and failures.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::coordination::attempts::AttemptFailure;
use sycamorewick::coordination::attempts::Attempts;
use sycamorewick::coordination::attempts::CallLimits;
use sycamorewick::coordination::attempts::Choice;
use sycamorewick::coordination::attempts::ChosenNode;
use sycamorewick::coordination::attempts::NextStep;
use sycamorewick::coordination::attempts::Outcome;
use sycamorewick::result_code::ResultCode;

const NEAR: ChosenNode = ChosenNode {
    time_ms: 60.0,
    is_unreachable: false,
    has_free_slot: true,
    is_predictable: true,
};
const UNREACHABLE: ChosenNode = ChosenNode {
    time_ms: 60.0,
    is_unreachable: true,
    has_free_slot: true,
    is_predictable: true,
};

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn attempts(idempotent: bool) -> Attempts {
    attempts_of_route(idempotent, 2)
}

fn attempts_of_route(idempotent: bool, attempts: u8) -> Attempts {
    Attempts::new(CallLimits {
        arrived: ms(1_000),
        deadline: ms(3_000),
        objective: ms(250),
        idempotent,
        attempts,
        is_overdue: false,
    })
}

fn refused(code: ResultCode, arrived: bool, retry_after: u64) -> AttemptFailure {
    AttemptFailure::Refused {
        code,
        arrived,
        retry_after: ms(retry_after),
    }
}

fn overloaded(retry_after: u64) -> AttemptFailure {
    refused(ResultCode::Overloaded, false, retry_after)
}

/// Makes one attempt at `node` that ends as `failure`.
fn fail(attempts: &mut Attempts, now: Duration, node: &str, failure: AttemptFailure) {
    expect_that!(attempts.next(now), not(eq(NextStep::Stop)));
    expect_that!(attempts.on_choice(now, Some(NEAR)), eq(Choice::Send));
    attempts.on_failure(&node.into(), failure);
}

/// When a service is overloaded, a call must not be offered to all its nodes: after three refusals
/// and three more for a late response, the caller is told when a slot is expected to be free.
#[gtest]
fn next_all_overloaded() {
    let mut attempts = attempts(true);
    for (node, retry_after) in [("a", 90), ("b", 40), ("c", 70)] {
        expect_false!(attempts.accepts_late());
        fail(&mut attempts, ms(1_010), node, overloaded(retry_after));
    }
    for node in ["a", "b", "c"] {
        fail(&mut attempts, ms(1_020), node, overloaded(80));
        expect_true!(attempts.accepts_late());
    }
    expect_that!(attempts.next(ms(1_030)), eq(NextStep::Stop));
    let retry_after = Some(ms(40));
    let code = ResultCode::Overloaded;
    expect_that!(
        attempts.outcome(),
        eq(Outcome::Refused { code, retry_after })
    );
    expect_that!(attempts.arrivals(), eq(0));
}

/// When two of six nodes are left and are overloaded, a call must not try all unreachable nodes
/// before it is refused.
#[gtest]
fn on_choice_unreachable_nodes() {
    let mut attempts = attempts(true);
    fail(&mut attempts, ms(1_010), "a", overloaded(90));
    fail(&mut attempts, ms(1_011), "b", overloaded(90));
    // The reachable nodes are asked for a late response before an unreachable one is tried.
    let again = attempts.on_choice(ms(1_012), Some(UNREACHABLE));
    expect_that!(again, eq(Choice::OfferAgain));
    expect_that!(attempts.tried().len(), eq(0));
    fail(&mut attempts, ms(1_013), "a", overloaded(90));
    fail(&mut attempts, ms(1_014), "b", overloaded(90));
    let probe = attempts.on_choice(ms(1_015), Some(UNREACHABLE));
    expect_that!(probe, eq(Choice::Send));
    let lost = refused(ResultCode::PeerUnreachable, false, 300);
    attempts.on_failure(&"c".into(), lost);
    let second = attempts.on_choice(ms(1_016), Some(UNREACHABLE));
    expect_that!(second, eq(Choice::Stop));
    // The caller is told about the overload, not about the unreachable node.
    let retry_after = Some(ms(90));
    let code = ResultCode::Overloaded;
    expect_that!(
        attempts.outcome(),
        eq(Outcome::Refused { code, retry_after })
    );
}

/// When a failure domain is lost, most first choices are unreachable; the call must not give up
/// early.
#[gtest]
fn next_failure_domain_lost() {
    let mut attempts = attempts(false);
    for node in 0..8 {
        let lost = refused(ResultCode::PeerUnreachable, false, 300);
        fail(&mut attempts, ms(1_010), &format!("n{node}"), lost);
    }
    expect_that!(attempts.next(ms(1_020)), eq(NextStep::Offer));
}

/// When no node is expected to meet the objective, refusals only add delay, so the call must accept
/// a late response at once.
#[gtest]
fn on_choice_no_node_in_time() {
    let mut attempts = attempts(true);
    let slow = ChosenNode {
        time_ms: 400.0,
        is_unreachable: false,
        has_free_slot: true,
        is_predictable: true,
    };
    expect_that!(attempts.on_choice(ms(1_010), Some(slow)), eq(Choice::Send));
    expect_true!(attempts.accepts_late());
}

/// The failure response of the first backend server must not be lost when the second attempt times
/// out: the caller got 504 instead of 500.
#[gtest]
fn outcome_failure_response_before_timeout() {
    let mut attempts = attempts(true);
    fail(&mut attempts, ms(1_010), "a", AttemptFailure::Failed);
    expect_that!(attempts.next(ms(1_020)), eq(NextStep::Retry));
    expect_that!(attempts.on_choice(ms(1_020), Some(NEAR)), eq(Choice::Send));
    attempts.on_timeout();
    expect_that!(attempts.outcome(), eq(Outcome::FailureResponse));
}

/// A call must not arrive at more backend servers than the route allows.
#[gtest]
fn next_attempts_of_route() {
    let mut attempts = attempts(true);
    fail(&mut attempts, ms(1_010), "a", AttemptFailure::Failed);
    fail(&mut attempts, ms(1_020), "b", AttemptFailure::Failed);
    expect_that!(attempts.next(ms(1_030)), eq(NextStep::Stop));
}

/// A call that is not idempotent must not run twice, and must not be reported as not run if it may
/// have run.
#[gtest]
fn next_unknown_not_idempotent() {
    let mut attempts = attempts(false);
    let unknown = AttemptFailure::Unknown(ResultCode::InvalidResponse);
    fail(&mut attempts, ms(1_010), "a", unknown);
    expect_that!(attempts.next(ms(1_020)), eq(NextStep::Stop));
    let code = ResultCode::OutcomeUnknown;
    expect_that!(attempts.outcome(), eq(Outcome::Unknown(code)));
}

/// A refusal by a backend server guarantees that the call has not run, so the call must be offered
/// to another one.
#[gtest]
fn next_shed_not_idempotent() {
    let mut attempts = attempts(false);
    let shed = refused(ResultCode::Overloaded, true, 15);
    fail(&mut attempts, ms(1_010), "a", shed);
    expect_that!(attempts.next(ms(1_020)), eq(NextStep::Retry));
    expect_false!(attempts.may_have_run());
}

/// No attempt may start too late to be answered before the deadline.
#[gtest]
fn next_deadline() {
    let mut attempts = attempts(true);
    expect_that!(attempts.next(ms(2_996)), eq(NextStep::Stop));
    expect_that!(attempts.next(ms(2_990)), eq(NextStep::Offer));
}

/// A service without nodes must be reported differently from an overloaded one.
#[gtest]
fn outcome_no_node() {
    let mut attempts = attempts(true);
    expect_that!(attempts.on_choice(ms(1_010), None), eq(Choice::Stop));
    let code = ResultCode::NoBackend;
    let retry_after = None;
    expect_that!(
        attempts.outcome(),
        eq(Outcome::Refused { code, retry_after })
    );
}

/// Callers must not wait for a backend server that loses responses or is several times slower, and
/// hedged attempts must occur only if the call and the route allow them.
#[gtest]
fn hedge_after_slow_response() {
    let near = ChosenNode {
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

/// A call that must run once must not be hedged, and a hedged call must not arrive at more backend
/// servers than the route allows. Without these checks, calls ran twice 5,646 times.
#[gtest]
fn on_hedge_not_allowed() {
    expect_false!(attempts(false).on_hedge(ms(1_200), NEAR));
    let mut once_failed = attempts(true);
    fail(&mut once_failed, ms(1_010), "a", AttemptFailure::Failed);
    expect_false!(once_failed.on_hedge(ms(1_200), NEAR));
}

/// After a power loss, backend servers start cold and every response takes longer than assumed;
/// calls must not be hedged for that.
#[gtest]
fn hedge_after_unknown_time() {
    let unknown = ChosenNode {
        is_predictable: false,
        ..NEAR
    };
    expect_that!(attempts(true).hedge_after(unknown), none());
}

/// Under overload, calls must not be hedged, since that would make all other calls late.
#[gtest]
fn on_hedge_overload() {
    let full = ChosenNode {
        has_free_slot: false,
        ..NEAR
    };
    expect_false!(attempts(true).on_hedge(ms(1_200), full));
    expect_false!(attempts(true).on_hedge(ms(1_200), UNREACHABLE));
    expect_true!(attempts(true).on_hedge(ms(1_200), NEAR));
    // The response would arrive after the deadline.
    expect_false!(attempts(true).on_hedge(ms(2_950), NEAR));
}

/// A call that waited until its last start must not be sent to another node for a run that cannot end
/// before the deadline: the caller got 504 for a run that was thrown away, instead of "not run".
#[gtest]
fn on_choice_with_too_little_time_left() {
    let chosen = ChosenNode {
        time_ms: 185.0,
        ..NEAR
    };
    let mut call = attempts(false);
    expect_that!(call.on_choice(ms(1_000), Some(chosen)), eq(Choice::Send));
    call.on_failure(&"a".into(), refused(ResultCode::Overloaded, false, 300));
    expect_that!(call.next(ms(2_860)), eq(NextStep::Offer));
    expect_that!(call.on_choice(ms(2_860), Some(chosen)), eq(Choice::Stop));
    let expected = Outcome::Refused {
        code: ResultCode::Overloaded,
        retry_after: Some(ms(300)),
    };
    expect_that!(call.outcome(), eq(expected));
    // A node whose run times are not known yet is tried.
    let unknown = ChosenNode {
        is_predictable: false,
        ..chosen
    };
    expect_that!(call.on_choice(ms(2_860), Some(unknown)), eq(Choice::Send));
}

/// Guards against a call that ends one backend server after the other within the attempts of its route.
#[gtest]
fn next_broken_runs() {
    let now = ms(1_000);
    let broken = AttemptFailure::Unknown(ResultCode::InvalidResponse);
    let mut call = attempts_of_route(true, 4);
    fail(&mut call, now, "a", broken);
    fail(&mut call, now, "b", broken);
    expect_that!(call.next(now), eq(NextStep::Stop));
    // A node that is lost says nothing about the call.
    let lost = AttemptFailure::Unknown(ResultCode::OutcomeUnknown);
    let mut call = attempts_of_route(true, 4);
    for node in ["a", "b", "c"] {
        fail(&mut call, now, node, lost);
    }
    expect_that!(call.next(now), eq(NextStep::Retry));
}

/// Guards against a call that one node refuses since it crashes backend servers and that is offered to
/// nodes which do not know this yet.
#[gtest]
fn on_failure_quarantined() {
    let now = ms(1_000);
    let quarantined = refused(ResultCode::RequestQuarantined, false, 60_000);
    let mut call = attempts(true);
    fail(&mut call, now, "a", overloaded(20));
    fail(&mut call, now, "b", quarantined);
    expect_that!(call.next(now), eq(NextStep::Stop));
    let code = ResultCode::RequestQuarantined;
    let retry_after = Some(ms(60_000));
    expect_that!(call.outcome(), eq(Outcome::Refused { code, retry_after }));
    // A call that may have run is not reported as not run.
    let mut call = attempts(true);
    fail(
        &mut call,
        now,
        "a",
        AttemptFailure::Unknown(ResultCode::InvalidResponse),
    );
    fail(&mut call, now, "b", quarantined);
    let unknown = Outcome::Unknown(ResultCode::OutcomeUnknown);
    expect_that!(call.outcome(), eq(unknown));
}

/// Guards against a call that is refused without a connection to another node although the own backend server could
/// serve it, and against one that waits for a connection to one node after the other.
#[gtest]
fn on_failure_without_connection() {
    let now = ms(1_100);
    for (before, is_refused) in [
        (None, true),
        (Some(overloaded(100)), true),
        (
            Some(AttemptFailure::Unknown(ResultCode::OutcomeUnknown)),
            false,
        ),
    ] {
        let mut call = attempts(true);
        if let Some(before) = before {
            fail(&mut call, ms(1_000), "a", before);
        }
        expect_false!(call.is_own_node_only());
        let refusal = refused(ResultCode::ClientLimit, false, 100);
        fail(&mut call, ms(1_050), "b", refusal);
        expect_true!(call.is_own_node_only());
        call.on_refused_alike(&["a".into(), "b".into(), "c".into()]);
        expect_that!(call.next(now), not(eq(NextStep::Stop)), "{before:?}");
        expect_that!(call.on_choice(now, Some(NEAR)), eq(Choice::Send));
        // The own node refuses it for load, and is offered it as one that accepts a late response.
        call.on_failure(&"own".into(), overloaded(100));
        expect_that!(call.on_choice(now, None), eq(Choice::OfferAgain));
        expect_that!(call.tried().contains(&"own".into()), eq(!is_refused));
        for other in ["a", "b", "c"] {
            expect_that!(call.tried(), contains(eq(&other.into())));
        }
        if is_refused {
            expect_that!(call.on_choice(now, Some(NEAR)), eq(Choice::Send));
            call.on_failure(&"own".into(), overloaded(100));
        }
        expect_that!(call.on_choice(now, None), eq(Choice::Stop));
        expect_that!(call.next(now), eq(NextStep::Stop));
        let denied = Outcome::Refused {
            code: ResultCode::ClientLimit,
            retry_after: None,
        };
        expect_that!(call.outcome() == denied, eq(is_refused), "{before:?}");
    }
}

/// Guards against a hedged attempt without a connection that ends a call whose first attempt is refused for load: the
/// own node is still free.
#[gtest]
fn on_failure_hedge_without_connection() {
    let now = ms(1_200);
    let mut call = attempts(true);
    expect_that!(call.on_choice(ms(1_000), Some(NEAR)), eq(Choice::Send));
    expect_true!(call.on_hedge(now, NEAR));
    call.on_failure(&"b".into(), refused(ResultCode::ClientLimit, false, 300));
    call.on_failure(&"a".into(), overloaded(100));
    call.on_refused_alike(&["a".into(), "b".into()]);
    expect_that!(call.next(now), eq(NextStep::Offer));
    expect_that!(call.on_choice(now, Some(NEAR)), eq(Choice::Send));
}

/// Guards against a further attempt of a call whose credential was revoked, and against a response that says
/// that it has not run although it may have.
#[gtest]
fn on_denied_before_and_after_run() {
    for (failure, is_refused) in [
        (overloaded(100), true),
        (refused(ResultCode::Overloaded, true, 100), true),
        (AttemptFailure::Unknown(ResultCode::OutcomeUnknown), false),
    ] {
        let mut call = attempts(true);
        fail(&mut call, ms(1_000), "a", failure);
        call.on_denied(ResultCode::CredentialUnknown);
        expect_that!(call.next(ms(1_100)), eq(NextStep::Stop));
        let denied = Outcome::Refused {
            code: ResultCode::CredentialUnknown,
            retry_after: None,
        };
        expect_that!(call.outcome() == denied, eq(is_refused), "{failure:?}");
    }
    let mut call = attempts(true);
    fail(&mut call, ms(1_000), "a", AttemptFailure::Failed);
    call.on_denied(ResultCode::CredentialUnknown);
    expect_that!(call.outcome(), eq(Outcome::FailureResponse));
}
