//! Tests that the check of a run reports each kind of violation and excuses what an injected fault explains.

use std::time::Duration;

use googletest::prelude::*;
use soak::caller::CallKind;
use soak::caller::CallOutcome;
use soak::caller::CallRecord;
use soak::caller::Credential;
use soak::caller::Workload;
use soak::checker::Observations;
use soak::checker::ProcessorUse;
use soak::checker::check_run;
use soak::checker::find_growth;
use soak::checker::find_unserved_calls;
use soak::checker::find_unserved_workloads;
use soak::cluster::FaultInterval;
use soak::cluster::FaultKind;
use soak::plan::Load;

fn call(kind: CallKind, outcome: CallOutcome) -> CallRecord {
    CallRecord {
        attempt: "call-1".into(),
        node: 0,
        kind,
        workload: Workload::Mixed,
        started_ms: 1_000,
        ended_ms: 1_040,
        outcome,
        version: None,
        credential: Credential::NoWorkspaces,
        code: None,
        violation: None,
    }
}

fn find_violations(call: CallRecord, backends: &[&str], faults: &[FaultInterval]) -> Vec<String> {
    let backends: Vec<String> = backends.iter().map(ToString::to_string).collect();
    check_run(&Observations {
        calls: &[call],
        backends: &backends,
        faults,
        rolled_back_at: Some(500),
        processor_uses: &[],
    })
}

fn fault_during_call(kind: FaultKind) -> Vec<FaultInterval> {
    let fault = FaultInterval {
        node: 0,
        kind,
        from: 1_010,
        to: 1_020,
    };
    vec![fault]
}

/// Guards against a kind of violation that the check misses.
#[gtest]
fn check_run_reports_each_violation() {
    let served = CallOutcome::Status(200);
    let twice = ["run 1010 call-1\nrun 1020 call-1\n"];
    let mut other_call = call(CallKind::Idempotent, served.clone());
    other_call.violation = Some("response belongs to attempt call-2".into());
    let mut late = call(CallKind::Idempotent, served.clone());
    late.ended_ms = 3_300;
    let mut rolled_back = call(CallKind::Idempotent, served.clone());
    (rolled_back.started_ms, rolled_back.ended_ms) = (4_000, 4_010);
    rolled_back.version = Some("v2".into());
    let cases = [
        (
            "ran twice",
            call(CallKind::NonIdempotent, served),
            &twice[..],
        ),
        ("response of another call", other_call, &[]),
        ("response after the timeout", late, &[]),
        ("bad version after rollback", rolled_back, &[]),
        (
            "refused, but ran",
            call(CallKind::Idempotent, CallOutcome::Status(503)),
            &["run 1010 call-1\n"],
        ),
        (
            "unexpected status",
            call(CallKind::Idempotent, CallOutcome::Status(404)),
            &[],
        ),
        (
            "incomplete",
            call(CallKind::Idempotent, CallOutcome::Incomplete),
            &[],
        ),
        (
            "ran without response",
            call(CallKind::NonIdempotent, CallOutcome::NoResponse),
            &["run 1010 call-1\n"],
        ),
        (
            "timed out",
            call(CallKind::Idempotent, CallOutcome::TimedOut),
            &[],
        ),
    ];
    for (name, call, backends) in cases {
        let found = find_violations(call, backends, &[]);
        expect_that!(found.len(), eq(1), "{name}: {found:?}");
    }
}

/// Guards against reports of violations that an injected fault or the rules of the platform explain.
#[gtest]
fn check_run_accepts_explained_ends() {
    let killed = fault_during_call(FaultKind::NodeKilled);
    let paused = fault_during_call(FaultKind::NodePaused);
    let ran = ["run 1010 call-1\n"];
    let cases = [
        ("served", CallOutcome::Status(200), &ran[..], &[][..]),
        ("refused and not run", CallOutcome::Status(503), &[], &[]),
        ("outcome unknown", CallOutcome::Status(502), &ran, &[]),
        ("not run, no response", CallOutcome::NoResponse, &[], &[]),
        ("killed, incomplete", CallOutcome::Incomplete, &ran, &killed),
        (
            "killed, no response",
            CallOutcome::NoResponse,
            &ran,
            &killed,
        ),
        ("paused, timed out", CallOutcome::TimedOut, &ran, &paused),
    ];
    for (name, outcome, backends, faults) in cases {
        let found = find_violations(call(CallKind::NonIdempotent, outcome), backends, faults);
        expect_that!(found.len(), eq(0), "{name}: {found:?}");
    }
}

/// Guards against a check that misses requests that start after an acknowledged leave, or reports those of
/// the backend server's next incarnation.
#[gtest]
fn check_run_reports_runs_after_leave() {
    let served = || call(CallKind::Idempotent, CallOutcome::Status(200));
    let late = "start 100 b0-1\nleft 2000 b0-1\nrun 2300 call-2\n";
    expect_that!(find_violations(served(), &[late], &[]).len(), eq(1));
    let in_flight = "start 100 b0-1\nleft 2000 b0-1\nrun 2100 call-2\n";
    expect_that!(find_violations(served(), &[in_flight], &[]).len(), eq(0));
    let next_incarnation = "start 100 b0-1\nleft 2000 b0-1\nstart 2200 b0-2\nrun 2300 call-2\n";
    expect_that!(
        find_violations(served(), &[next_incarnation], &[]).len(),
        eq(0)
    );
    // A fault excuses the request only if it lasts until shortly before the leave.
    let mut fault = fault_during_call(FaultKind::BackendFault);
    expect_that!(find_violations(served(), &[late], &fault).len(), eq(1));
    (fault[0].from, fault[0].to) = (1_700, 2_250);
    expect_that!(find_violations(served(), &[late], &fault).len(), eq(0));
}

/// Guards against reports of responses that are late since the node waited for a processor, and against a check that
/// excuses any late response of a busy machine.
#[gtest]
fn check_run_subtracts_processor_wait() {
    let find = |ended_ms, waits: &[(usize, u32, u64, u64)]| {
        let mut late = call(CallKind::Idempotent, CallOutcome::Status(200));
        late.ended_ms = ended_ms;
        let read = |(node, pid, at, waited)| ProcessorUse {
            node,
            pid,
            at,
            ran: Duration::ZERO,
            waited: Duration::from_millis(waited),
        };
        let waits: Vec<ProcessorUse> = waits.iter().copied().map(read).collect();
        check_run(&Observations {
            calls: &[late],
            backends: &[],
            faults: &[],
            rolled_back_at: None,
            processor_uses: &waits,
        })
        .len()
    };
    let own = [(0, 7, 1_000, 500), (0, 7, 1_400, 800)];
    // The call begins at 1,000 ms and may be held for 2,250 ms.
    expect_that!(find(3_250, &[]), eq(0));
    expect_that!(find(3_251, &[]), eq(1));
    expect_that!(find(3_550, &own), eq(0));
    expect_that!(find(3_551, &own), eq(1));
    // Half of the time between these readings is before the call.
    let before = [(0, 7, 600, 500), (0, 7, 1_400, 800)];
    expect_that!(find(3_400, &before), eq(0));
    expect_that!(find(3_401, &before), eq(1));
    // Another node, another process, and a time after the call.
    expect_that!(
        find(3_300, &[(1, 7, 1_000, 500), (1, 7, 1_400, 800)]),
        eq(1)
    );
    expect_that!(
        find(3_300, &[(0, 7, 1_000, 500), (0, 8, 1_400, 800)]),
        eq(1)
    );
    expect_that!(
        find(3_300, &[(0, 7, 3_300, 500), (0, 7, 3_700, 800)]),
        eq(1)
    );
}

/// Guards against a route that is refused for good and that the soak does not notice, because the others are
/// served or because refusals are allowed under load.
#[gtest]
fn find_unserved_each_workload() {
    let load = |callers| Load {
        callers,
        slots: 2,
        service_ms: 20,
    };
    let of = |workload, status| CallRecord {
        workload,
        ..call(CallKind::NonIdempotent, CallOutcome::Status(status))
    };
    let served = Workload::ALL.map(|workload| of(workload, 200));
    let refused = Workload::ALL.map(|workload| of(workload, 503));
    let all: Vec<&CallRecord> = served.iter().collect();
    expect_that!(find_unserved_calls(&all, load(1)), is_empty());
    expect_that!(find_unserved_workloads(&all), is_empty());
    for (index, refused) in refused.iter().enumerate() {
        let mut calls = all.clone();
        calls[index] = refused;
        expect_that!(find_unserved_workloads(&calls), len(eq(1)));
        expect_that!(find_unserved_calls(&calls, load(1)), len(eq(1)));
        let is_unsafe_service = refused.workload == Workload::UnsafeService;
        let under_load = find_unserved_calls(&calls, load(8));
        expect_that!(under_load.len(), eq(usize::from(is_unsafe_service)));
    }
    expect_that!(find_unserved_workloads(&[]), len(eq(3)));
}

/// Guards against a process that grows without bound unnoticed, and against reports of restarted ones.
#[gtest]
fn find_growth_of_same_process() {
    let first = [(1, 10_000), (2, 10_000)];
    let last = [(1, 40_000), (2, 43_000), (3, 90_000)];
    expect_that!(find_growth(&first, &last), len(eq(1)));
}
