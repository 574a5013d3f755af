//! The judge finds each kind of violation, and lets pass what a fault from outside explains.

use googletest::prelude::*;
use soak::caller::CallEnd;
use soak::caller::CallKind;
use soak::caller::CallRecord;
use soak::judge::Evidence;
use soak::judge::judge;
use soak::world::Disturbance;
use soak::world::DisturbanceKind;

fn call(kind: CallKind, end: CallEnd) -> CallRecord {
    CallRecord {
        attempt: "call-1".into(),
        node: 0,
        kind,
        began: 1_000,
        ended: 1_040,
        end,
        version: None,
        wrong: None,
    }
}

fn verdict(call: CallRecord, backends: &[&str], disturbances: &[Disturbance]) -> Vec<String> {
    let backends: Vec<String> = backends.iter().map(ToString::to_string).collect();
    judge(&Evidence {
        calls: &[call],
        backends: &backends,
        disturbances,
        reverted_at: Some(500),
    })
}

fn disturbed(kind: DisturbanceKind) -> Vec<Disturbance> {
    let disturbance = Disturbance {
        node: 0,
        kind,
        from: 1_010,
        to: 1_020,
    };
    vec![disturbance]
}

/// Guards against a judge that does not look at a kind of failure: each must be found.
#[gtest]
fn judge_finds() {
    let served = CallEnd::Status(200);
    let twice = ["run 1010 call-1\nrun 1020 call-1\n"];
    let mut not_own = call(CallKind::Idempotent, served.clone());
    not_own.wrong = Some("the answer of call-2".into());
    let mut late = call(CallKind::Idempotent, served.clone());
    late.ended = 3_300;
    let mut taken_back = call(CallKind::Idempotent, served.clone());
    (taken_back.began, taken_back.ended) = (4_000, 4_010);
    taken_back.version = Some("v2".into());
    let cases = [
        ("twice", call(CallKind::Once, served), &twice[..]),
        ("not own", not_own, &[]),
        ("late", late, &[]),
        ("taken back", taken_back, &[]),
        (
            "untrue",
            call(CallKind::Idempotent, CallEnd::Status(503)),
            &["run 1010 call-1\n"],
        ),
        (
            "no route",
            call(CallKind::Idempotent, CallEnd::Status(404)),
            &[],
        ),
        ("cut", call(CallKind::Idempotent, CallEnd::Cut), &[]),
        (
            "lost",
            call(CallKind::Once, CallEnd::NoAnswer),
            &["run 1010 call-1\n"],
        ),
        ("silent", call(CallKind::Idempotent, CallEnd::TimedOut), &[]),
    ];
    for (name, call, backends) in cases {
        let found = verdict(call, backends, &[]);
        expect_that!(found.len(), eq(1), "{name}: {found:?}");
    }
}

/// Guards against findings that are none.
#[gtest]
fn judge_lets_pass() {
    let killed = disturbed(DisturbanceKind::Killed);
    let paused = disturbed(DisturbanceKind::Paused);
    let ran = ["run 1010 call-1\n"];
    let cases = [
        ("served", CallEnd::Status(200), &ran[..], &[][..]),
        ("true refusal", CallEnd::Status(503), &[], &[]),
        ("outcome unknown", CallEnd::Status(502), &ran, &[]),
        ("not read", CallEnd::NoAnswer, &[], &[]),
        ("killed and cut", CallEnd::Cut, &ran, &killed),
        ("killed and lost", CallEnd::NoAnswer, &ran, &killed),
        ("paused", CallEnd::TimedOut, &ran, &paused),
    ];
    for (name, end, backends, disturbances) in cases {
        let found = verdict(call(CallKind::Once, end), backends, disturbances);
        expect_that!(found.len(), eq(0), "{name}: {found:?}");
    }
}

/// Guards against a judge that misses runs after an acknowledged leave, or takes those of the next
/// incarnation for them.
#[gtest]
fn judge_leaves() {
    let served = || call(CallKind::Idempotent, CallEnd::Status(200));
    let late = "start 100 b0-1\nleft 2000 b0-1\nrun 2300 call-2\n";
    expect_that!(verdict(served(), &[late], &[]).len(), eq(1));
    let on_its_way = "start 100 b0-1\nleft 2000 b0-1\nrun 2100 call-2\n";
    expect_that!(verdict(served(), &[on_its_way], &[]).len(), eq(0));
    let next = "start 100 b0-1\nleft 2000 b0-1\nstart 2200 b0-2\nrun 2300 call-2\n";
    expect_that!(verdict(served(), &[next], &[]).len(), eq(0));
    // What a fault holds up comes right after its end, and nothing else is excused.
    let mut held_up = disturbed(DisturbanceKind::BackendDisturbed);
    expect_that!(verdict(served(), &[late], &held_up).len(), eq(1));
    (held_up[0].from, held_up[0].to) = (1_700, 2_250);
    expect_that!(verdict(served(), &[late], &held_up).len(), eq(0));
}
