//! Tests that the check of a run with workspaces reports each kind of violation, and excuses what a configuration
//! that may still be in force explains; and that the plan of workspaces depends only on the seed.

use std::rc::Rc;
use std::time::Duration;

use googletest::prelude::*;
use soak::caller::CallKind;
use soak::caller::CallOutcome;
use soak::caller::CallRecord;
use soak::caller::Credential;
use soak::caller::Workload;
use soak::cluster::FaultInterval;
use soak::cluster::FaultKind;
use soak::workspace_checker::Check;
use soak::workspace_checker::WorkspaceObservations;
use soak::workspaces::KeyRing;
use soak::workspaces::SoakWorkspace;
use soak::workspaces::WorkspaceChange;
use soak::workspaces::WrittenConfig;
use soak::workspaces::draw_events;
use soak::workspaces::draw_plan;
use soak::workspaces::has_workspaces;
use soak::workspaces::owner;

const LENGTH: Duration = Duration::from_secs(12);

fn workspace(name: &str, per_s: f64, key: &str) -> SoakWorkspace {
    SoakWorkspace {
        name: name.into(),
        priority: 0,
        per_s,
        burst: per_s,
        keys: vec![key.into()],
    }
}

fn written(version: u32, at: u64, workspaces: Vec<SoakWorkspace>) -> WrittenConfig {
    WrittenConfig {
        version,
        sent_ms: at,
        acked_ms: Some(at + 10),
        is_stale: false,
        workspaces: Rc::new(workspaces),
    }
}

/// The key `k` belongs to `a` until 10,000 ms, then to `b`, and from 20,000 ms on to nobody.
fn history() -> Vec<WrittenConfig> {
    vec![
        written(
            1,
            0,
            vec![workspace("a", 10.0, "k"), workspace("b", 0.0, "l")],
        ),
        written(
            2,
            10_000,
            vec![workspace("a", 1.0, "m"), workspace("b", 0.0, "k")],
        ),
        written(
            3,
            20_000,
            vec![workspace("a", 1.0, "m"), workspace("b", 0.0, "l")],
        ),
    ]
}

fn call(attempt: &str, key: &str, at: u64, status: u16) -> CallRecord {
    CallRecord {
        attempt: attempt.into(),
        node: 0,
        kind: CallKind::Idempotent,
        workload: Workload::Mixed,
        started_ms: at,
        ended_ms: at + 40,
        outcome: CallOutcome::Status(status),
        version: None,
        credential: Credential::Key(key.into()),
        code: None,
        violation: None,
    }
}

fn find_violations(
    calls: &[CallRecord],
    output: &str,
    faults: &[FaultInterval],
    is_strict: bool,
) -> Vec<String> {
    let (backends, written) = ([output.to_owned()], history());
    let check = Check::new(&WorkspaceObservations {
        calls,
        backends: &backends,
        faults,
        written: &written,
        is_strict,
    });
    check.run()
}

fn fault(kind: FaultKind, from: u64, to: u64) -> Vec<FaultInterval> {
    let fault = FaultInterval {
        node: 0,
        kind,
        from,
        to,
    };
    vec![fault]
}

/// Guards against runs with a wrong, revoked or leaked key that the check misses.
#[gtest]
fn check_reports_each_violation() {
    let public = CallRecord {
        credential: Credential::Public,
        ..call("c", "", 1_000, 200)
    };
    let cases = [
        ("unknown key", call("c", "x", 1_000, 200), "run 1010 c a\n"),
        ("no key", call("c", "", 1_000, 200), "run 1010 c a\n"),
        ("revoked", call("c", "k", 23_000, 200), "run 23010 c b\n"),
        ("moved", call("c", "k", 13_000, 200), "run 13010 c a\n"),
        ("other name", call("c", "k", 1_000, 200), "run 1010 c b\n"),
        (
            "forged name",
            call("c", "k", 1_000, 200),
            "run 1010 c forged\n",
        ),
        ("no name", call("c", "k", 1_000, 200), "run 1010 c\n"),
        ("public, named", public, "run 1010 c forged\n"),
        (
            "probe, named",
            call("c", "k", 1_000, 503),
            "run 1010 probe0-1 a\n",
        ),
        (
            "key received",
            call("c", "k", 1_000, 503),
            "leak 1010 /wrecks/1\n",
        ),
        ("valid key refused", call("c", "k", 1_000, 401), ""),
        (
            "no quota",
            CallRecord {
                code: Some(4_019),
                ..call("c", "l", 1_000, 429)
            },
            "",
        ),
    ];
    for (name, call, output) in cases {
        let found = find_violations(&[call], output, &[], false);
        expect_that!(found.len(), eq(1), "{name}: {found:?}");
    }
}

/// Guards against reports of what a configuration explains that a node may still have in force.
#[gtest]
fn check_accepts_earlier_configurations() {
    let cut = fault(FaultKind::StoreFault, 19_000, 23_000);
    let reverted = fault(FaultKind::StoreReverted, 19_000, 23_000);
    let cases = [
        (
            "valid",
            call("c", "k", 1_000, 200),
            "run 1010 c a\n",
            &[][..],
        ),
        (
            "just moved",
            call("c", "k", 11_000, 200),
            "run 11010 c a\n",
            &[],
        ),
        ("moved", call("c", "k", 11_000, 200), "run 11010 c b\n", &[]),
        (
            "just revoked",
            call("c", "k", 21_000, 200),
            "run 21010 c b\n",
            &[],
        ),
        (
            "in flight",
            call("c", "k", 21_000, 200),
            "run 22900 c b\n",
            &[],
        ),
        ("revoked, refused", call("c", "k", 21_000, 401), "", &[]),
        (
            "cut off",
            call("c", "k", 24_000, 200),
            "run 24010 c b\n",
            &cut,
        ),
        (
            "write lost",
            call("c", "k", 24_000, 200),
            "run 24010 c b\n",
            &reverted,
        ),
    ];
    for (name, call, output, faults) in cases {
        let found = find_violations(&[call], output, faults, false);
        expect_that!(found.len(), eq(0), "{name}: {found:?}");
    }
    // A fault of another time excuses nothing, and one of the node nothing in a run with strict nodes.
    let late = [call("c", "k", 24_000, 200)];
    let earlier = fault(FaultKind::StoreFault, 10_000, 11_000);
    let output = "run 24010 c b\n";
    expect_that!(find_violations(&late, output, &earlier, false).len(), eq(1));
    expect_that!(find_violations(&late, output, &cut, true).len(), eq(1));
    expect_that!(find_violations(&late, output, &reverted, true).len(), eq(0));
}

/// Guards against more runs than a quota allows that the check misses, also by a lowered one, and against
/// reports while the earlier one may be in force.
#[gtest]
fn check_counts_runs_in_windows() {
    // 10 a second and a burst of 10 allow 86 in 5 s, 1 a second and a burst of 1 allow 26.6.
    let cases = [
        (86, 1_000, "k", 0),
        (87, 1_000, "k", 1),
        (27, 16_000, "m", 0),
        (26, 18_000, "m", 0),
        (27, 18_000, "m", 1),
    ];
    for (number, from, key, violations) in cases {
        let ids = 0..number;
        let calls: Vec<CallRecord> = ids
            .map(|id| call(&format!("c{id}"), key, from + 20 * id, 200))
            .collect();
        let output: Vec<String> = calls
            .iter()
            .map(|call| format!("run {} {} a\n", call.started_ms + 10, call.attempt))
            .collect();
        let found = find_violations(&calls, &output.concat(), &[], false);
        expect_that!(
            found.len(),
            eq(violations),
            "{number} from {from}: {found:?}"
        );
    }
}

/// Checks a run with the workspaces `b` and `c` of equal weight, whose keys are `l` and `n`.
fn count_violations(calls: &[CallRecord], output: &str) -> usize {
    let workspaces = vec![workspace("b", 0.0, "l"), workspace("c", 0.0, "n")];
    let (backends, written) = ([output.to_owned()], [written(1, 0, workspaces)]);
    let check = Check::new(&WorkspaceObservations {
        calls,
        backends: &backends,
        faults: &[],
        written: &written,
        is_strict: false,
    });
    check.run().len()
}

/// Guards against a workspace that gets almost nothing while others get more, and against reports of one that
/// sends little or gets its share.
#[gtest]
fn check_compares_shares() {
    let find = |own_served: u64, own_refused: u64, refusal: u64| {
        let mut calls = Vec::new();
        let mut output = Vec::new();
        let mut add = |key, name, id: u64, status| {
            let attempt = format!("{name}{id}-{status}");
            let call = CallRecord {
                code: Some(refusal),
                ..call(&attempt, key, 40_000 + 5 * id, status)
            };
            if status == 200 {
                output.push(format!("run {} {attempt} {name}\n", call.started_ms + 10));
            }
            calls.push(call);
        };
        for id in 0..300 {
            add("l", "b", id, 200);
        }
        for id in 0..own_served {
            add("n", "c", id, 200);
        }
        for id in 0..own_refused {
            add("n", "c", id, 503);
        }
        // The window has to end before the last call.
        add("l", "b", 500, 200);
        count_violations(&calls, &output.concat())
    };
    expect_that!(find(10, 100, 4_003), eq(1));
    expect_that!(find(40, 70, 4_003), eq(0));
    expect_that!(find(4, 6, 4_003), eq(0));
    expect_that!(find(100, 0, 4_003), eq(0));
    // The node stops.
    expect_that!(find(10, 100, 4_004), eq(0));
}

/// Guards against reports of a workspace whose calls were refused where or when no backend server could serve any, as
/// after a fault that leaves some nodes with their own backend servers only; and against a check that no longer
/// compares calls that competed.
#[gtest]
fn check_shares_compares_competing_calls() {
    // 300 calls of `b` are served at node 0, four calls in 20 ms; the others are refused.
    let find = |b_refused_at: Option<usize>, c_node: usize, c_from: u64| {
        let mut calls = Vec::new();
        let mut output = Vec::new();
        for id in 0..300 {
            let served = call(&format!("b{id}"), "l", 40_000 + 5 * id, 200);
            output.push(format!(
                "run {} {} b\n",
                served.started_ms + 10,
                served.attempt
            ));
            calls.push(served);
        }
        let refused = |attempt: String, key, at, node| CallRecord {
            node,
            code: Some(4_003),
            ..call(&attempt, key, at, 503)
        };
        for id in 0..100 {
            calls.push(refused(format!("c{id}"), "n", c_from + 2 * id, c_node));
            let b_node = b_refused_at.into_iter();
            calls.extend(b_node.map(|node| refused(format!("d{id}"), "l", c_from + 2 * id, node)));
        }
        // The window has to end before the last call.
        calls.push(refused("last".into(), "l", 43_000, 0));
        count_violations(&calls, &output.concat())
    };
    // At the same node and time.
    expect_that!(find(None, 0, 40_250), eq(1));
    expect_that!(find(Some(0), 0, 40_250), eq(1));
    // At another node, which serves nothing.
    expect_that!(find(Some(1), 1, 40_250), eq(0));
    // At the same node, in the second after that of the last call that it serves.
    expect_that!(find(Some(0), 0, 42_000), eq(0));
}

/// Guards against reports of a workspace whose calls came while no node served anybody, as after a message of another
/// program to all nodes; and against a check that leaves out calls that came while others were served.
#[gtest]
fn check_shares_without_any_served() {
    // Calls of `b` are served in the first second, without a pause or with one of 300 ms. All of `c` are refused, in the
    // time of the pause.
    let find = |has_pause: bool| {
        let mut calls = Vec::new();
        let mut output = Vec::new();
        for id in 0..200 {
            let served = call(&format!("b{id}"), "l", 40_000 + 5 * id, 200);
            let at = served.started_ms;
            if has_pause && (40_100..40_400).contains(&at) {
                continue;
            }
            output.push(format!("run {} {} b\n", at + 10, served.attempt));
            calls.push(served);
        }
        for id in 0..100 {
            calls.push(CallRecord {
                code: Some(4_003),
                ..call(&format!("c{id}"), "n", 40_101 + 2 * id, 503)
            });
        }
        // The window has to end before the last call.
        calls.push(call("last", "l", 43_000, 200));
        count_violations(&calls, &output.concat())
    };
    expect_that!(find(false), eq(1));
    expect_that!(find(true), eq(0));
}

/// Guards against workspaces that cannot be reproduced from the seed, and against workspaces in the runs of
/// `regressions.txt` that are older than they.
#[gtest]
fn draw_depends_on_seed_only() {
    expect_that!(draw_events(4, 8, LENGTH), eq(&draw_events(4, 8, LENGTH)));
    expect_that!(
        draw_events(4, 8, LENGTH),
        not(eq(&draw_events(5, 8, LENGTH)))
    );
    expect_that!(draw_plan(4).workspaces, eq(&draw_plan(4).workspaces));
    for seed in [302, 407, 510] {
        expect_false!(has_workspaces(seed));
    }
    let with = (0..100).filter(|seed| has_workspaces(*seed)).count();
    expect_that!(with, eq(50));
}

/// Guards against changes that leave a key with two workspaces or that have no effect.
#[gtest]
fn apply_moves_and_revokes_keys() {
    let plan = draw_plan(4);
    let ring = KeyRing::new(&plan, 4);
    let key = plan.workspaces[1].keys[0].clone();
    ring.apply(WorkspaceChange::MoveKey(1, 0, 2));
    expect_that!(owner(&ring.workspaces(), &key), some(eq("w2")));
    let moved = ring.workspaces()[2].keys.len() - 1;
    ring.apply(WorkspaceChange::RevokeKey(2, moved));
    expect_that!(owner(&ring.workspaces(), &key), none());
    let before = ring.workspaces()[3].clone();
    ring.apply(WorkspaceChange::AddKey(3));
    ring.apply(WorkspaceChange::ScaleQuota(3, 0.5));
    let after = ring.workspaces()[3].clone();
    expect_that!(after.keys.len(), eq(before.keys.len() + 1));
    expect_that!(after.per_s, lt(before.per_s));
}
