//! Complete simulated rollouts, compared with golden files, and rules of the engine that need no traffic.

#[path = "support/rollout_simulation.rs"]
mod rollout_simulation;

use std::time::Duration;

use rollout_simulation::EPOCH_MS;
use rollout_simulation::Fault;
use rollout_simulation::START_MS;
use rollout_simulation::Scenario;
use rollout_simulation::SessionResult;
use rollout_simulation::run;
use sycamorewick::coordination::rollout::CallOutcome;
use sycamorewick::coordination::rollout::CallSample;
use sycamorewick::coordination::rollout::MAX_REPORT_ROUTES;
use sycamorewick::coordination::rollout::RolloutAction;
use sycamorewick::coordination::rollout::RolloutEngine;
use sycamorewick::protocol::codec::encode_compact;
use sycamorewick::protocol::gossip::EvidenceReport;
use sycamorewick::protocol::gossip::LATENCY_BUCKETS;
use sycamorewick::protocol::gossip::MAX_DATAGRAM_BYTES;
use sycamorewick::protocol::gossip::Rollback;
use sycamorewick::protocol::gossip::RollbackCause;
use sycamorewick::protocol::gossip::RolloutKey;
use sycamorewick::protocol::gossip::RolloutProgress;
use sycamorewick::protocol::gossip::RouteEvidence;
use sycamorewick::protocol::name::ConfigVersion;
use sycamorewick::protocol::name::RouteName;
use sycamorewick::protocol::time::WallMs;
use sycamorewick::result_code::ResultCode;

fn golden(name: &str, session: &SessionResult) {
    insta::assert_snapshot!(name, session.text());
}

fn assert_complete(scenario: &Scenario, session: &SessionResult) {
    assert!(!session.rolled_back, "{}", session.text());
    // A node's clock may be half a second behind.
    let limit = scenario.finish_ms() + 600;
    assert!(
        session.complete_ms.is_some_and(|ms| ms <= limit),
        "{}",
        session.text()
    );
}

fn with_faults(seed: u64, faults: &[Fault]) -> Scenario {
    let mut scenario = Scenario::new(seed);
    scenario.faults = faults.to_vec();
    scenario
}

/// Guards against delaying a good version, and against outcomes that lack the call counts behind them.
#[test]
fn session_good() {
    let mut scenario = Scenario::new(1);
    scenario.after_ms = 40_000;
    let session = run(&scenario);
    assert_complete(&scenario, &session);
    assert!(
        session.report_bytes < 1_300,
        "{} bytes",
        session.report_bytes
    );
    golden("good", &session);
}

/// Guards against a version that fails every call and keeps its traffic for longer than a few seconds.
#[test]
fn session_bad_at_once() {
    let session = run(&with_faults(
        2,
        &[Fault::Errors {
            from_ms: 0,
            fraction: 1.0,
        }],
    ));
    assert!(session.affected_calls <= 25);
    golden("bad_at_once", &session);
}

/// Guards against evaluating no more evidence after the last step.
#[test]
fn session_bad_after_completion() {
    let fault = Fault::Errors {
        from_ms: 110_000,
        fraction: 0.5,
    };
    let session = run(&with_faults(3, &[fault]));
    assert!(session.complete_ms.is_some() && session.zero_share_ms.is_some());
    golden("bad_after_completion", &session);
}

/// Guards against a fault that disappears in every comparison with the old version, since the comparison
/// removes the load that causes it.
#[test]
fn session_bad_under_full_load() {
    let mut scenario = with_faults(
        4,
        &[Fault::UnderLoad {
            running: 9,
            fraction: 0.3,
        }],
    );
    scenario.latency_ms = 60.0;
    scenario.call_rate = 110.0;
    scenario.after_ms = 60_000;
    let session = run(&scenario);
    let at_full_load = session.complete_ms.is_some() && session.zero_share_ms.is_some();
    assert!(at_full_load, "{}", session.text());
    golden("bad_under_full_load", &session);
}

/// Guards against missing a fault of one route among the calls of healthy routes.
#[test]
fn session_bad_on_one_route() {
    let session = run(&with_faults(5, &[Fault::OneRoute { fraction: 0.2 }]));
    assert!(session.zero_share_ms.is_some());
    golden("bad_on_one_route", &session);
}

/// Guards against rolling back a version for slowness or errors that affect the whole service.
#[test]
fn session_shared_faults() {
    let faults = [
        Fault::SharedSlow {
            from_ms: 40_000,
            to_ms: 50_000,
            factor: 5.0,
        },
        Fault::SharedErrors {
            from_ms: 70_000,
            to_ms: 75_000,
            fraction: 0.5,
        },
        Fault::SharedErrors {
            from_ms: 118_000,
            to_ms: 128_000,
            fraction: 0.5,
        },
    ];
    let scenario = with_faults(6, &faults);
    let session = run(&scenario);
    assert_complete(&scenario, &session);
    golden("shared_faults", &session);
}

/// Guards against a rollout that waits forever for calls of a service with little traffic.
#[test]
fn session_low_traffic() {
    let mut scenario = Scenario::new(7);
    scenario.call_rate = 0.5;
    let session = run(&scenario);
    assert_complete(&scenario, &session);
    golden("low_traffic", &session);
}

/// Guards against a rollout that never completes because the service gets no calls.
#[test]
fn session_without_traffic() {
    let mut scenario = Scenario::new(8);
    scenario.call_rate = 0.0;
    assert_complete(&scenario, &run(&scenario));
}

/// Guards against a decision by a node that was paused and reads delayed reports.
#[test]
fn session_paused_nodes() {
    let mut scenario = Scenario::new(9);
    scenario.pauses = vec![
        (0, 30_000, 45_000),
        (4, 60_000, 85_000),
        (5, 120_000, 135_000),
    ];
    let session = run(&scenario);
    assert!(!session.rolled_back);
    golden("paused_nodes", &session);
}

/// Guards against rolling back a version for the failures of one faulty backend server.
#[test]
fn session_faulty_backend_server() {
    let scenario = with_faults(
        13,
        &[Fault::OneServer {
            server: 4,
            fraction: 0.5,
        }],
    );
    assert_complete(&scenario, &run(&scenario));
}

/// Guards against rolling back a good version for a request that crashes the backend servers of any
/// version.
#[test]
fn session_crashing_request() {
    let mut scenario = with_faults(10, &[Fault::CrashingRequest { from_ms: 30_000 }]);
    scenario.after_ms = 5_000;
    let session = run(&scenario);
    assert_complete(&scenario, &session);
    assert!(session.crashes <= 3, "{}", session.text());
    golden("crashing_request", &session);
}

/// Guards against a bad version that stays in use although its backend servers crash repeatedly.
#[test]
fn session_crashing_version() {
    let session = run(&with_faults(11, &[Fault::Crashes { fraction: 0.05 }]));
    assert!(session.zero_share_ms.is_some());
    golden("crashing_version", &session);
}

/// Guards against sending traffic to a version without backend servers.
#[test]
fn session_without_new_backend_servers() {
    let mut scenario = Scenario::new(12);
    scenario.new_version_up = false;
    let session = run(&scenario);
    assert!(session.complete_ms.is_none());
    assert!(session.has(ResultCode::RolloutStalled.number()));
    golden("without_new_backend_servers", &session);
}

fn wall(ms: u64) -> WallMs {
    WallMs(EPOCH_MS + ms)
}

fn engine(serving: Option<&str>) -> RolloutEngine {
    let mut engine = RolloutEngine::new("me".into());
    engine.on_config(&Scenario::new(0).document());
    engine.set_serving(serving.map(|version| ("registry".into(), version.into())));
    engine
}

fn key() -> RolloutKey {
    RolloutKey {
        service: "registry".into(),
        to: "v2".into(),
        since: ConfigVersion(7),
    }
}

fn progress(step: u8, at_ms: u64) -> RolloutProgress {
    RolloutProgress {
        key: key(),
        step,
        entered_at: wall(at_ms),
        began_at: wall(START_MS),
        by: "n1".into(),
    }
}

fn rollback(at_ms: u64) -> Rollback {
    Rollback {
        key: key(),
        cause: RollbackCause::Errors,
        route: None,
        at: wall(at_ms),
        by: "n1".into(),
    }
}

fn share(engine: &RolloutEngine, at_ms: u64) -> u8 {
    let shares = engine.shares("registry", wall(at_ms)).unwrap();
    assert_eq!(shares.of("v1") + shares.of("v2"), 100);
    shares.of("v2")
}

/// Guards against a deadline that takes effect only with the log, with peers or with ticks.
#[test]
fn deadline_without_peers_or_ticks() {
    let finish = Scenario::new(0).finish_ms();
    let mut entry = engine(None);
    assert_eq!(share(&entry, finish), 0, "no node has begun the rollout");
    assert!(entry.on_progress(progress(1, 20_000)));
    assert_eq!(share(&entry, finish - 1), 25);
    assert_eq!(share(&entry, finish), 100);
    entry.on_slots("registry", "v2", 0);
    assert_eq!(share(&entry, finish), 0, "no backend server is up");
}

/// Guards against a node of the new version that cannot complete a rollout alone: it enters every step in
/// time although it receives no reports of other nodes.
#[test]
fn deadline_all_peers_silent() {
    let finish = Scenario::new(0).finish_ms();
    let mut node = engine(Some("v2"));
    let mut advances = 0;
    for ms in (0..finish).step_by(200) {
        let actions = node.tick(Duration::from_millis(ms), wall(ms));
        let steps = actions
            .iter()
            .filter(|a| matches!(a, RolloutAction::Advance(_)));
        advances += steps.count();
    }
    assert_eq!(advances, 5);
    assert_eq!(share(&node, finish), 100);
}

/// Guards against a rollout that begins after its deadline and sends all traffic to the new version at
/// once.
#[test]
fn deadline_passed_before_begin() {
    let late = Scenario::new(0).finish_ms() + 60_000;
    let mut node = engine(Some("v2"));
    let mut shares = Vec::new();
    for ms in (late..late + 30_000).step_by(200) {
        node.tick(Duration::from_millis(ms), wall(ms));
        shares.push(share(&node, ms));
    }
    shares.dedup();
    assert_eq!(shares, [0, 5, 25, 50, 75, 100]);
}

/// Guards against a fleet that restarts after a rollout, has lost the progress and sends traffic to the old
/// version, which has no backend servers.
#[test]
fn deadline_passed_old_version_gone() {
    let late = Scenario::new(0).finish_ms() + 600_000;
    let mut entry = engine(None);
    entry.on_slots("registry", "v2", 30);
    assert_eq!(share(&entry, late), 0);
    entry.on_slots("registry", "v1", 0);
    assert_eq!(share(&entry, late), 100);
    entry.on_rollback(rollback(30_000));
    assert_eq!(share(&entry, late), 0);
}

/// Guards against states that never converge after two nodes have advanced at the same time.
#[test]
fn progress_concurrent_advances() {
    let (mut a, mut b) = (progress(2, 50_000), progress(2, 50_200));
    a.by = "a".into();
    b.by = "b".into();
    let mut first = engine(None);
    let mut second = engine(None);
    assert!(first.on_progress(a.clone()) && !first.on_progress(b.clone()));
    assert!(second.on_progress(b) && second.on_progress(a));
    assert_eq!(first.progress(), second.progress());
    assert!(
        !first.on_progress(progress(1, 60_000)),
        "steps never go back"
    );
}

/// Guards against a rolled back version that gets traffic again through progress of another node, the
/// deadline, another configuration version or a rumor that arrived before the configuration.
#[test]
fn rollback_is_final() {
    let finish = Scenario::new(0).finish_ms();
    let mut node = RolloutEngine::new("me".into());
    assert!(node.on_rollback(rollback(30_000)));
    node.on_config(&Scenario::new(0).document());
    assert!(!node.on_rollback(rollback(30_000)));
    node.on_progress(progress(4, 90_000));
    let mut newer = Scenario::new(0).document();
    newer.since = vec![sycamorewick::protocol::record::ServiceSince {
        service: "registry".into(),
        since: newer.version,
    }];
    newer.version = ConfigVersion(9);
    node.on_config(&newer);
    assert_eq!(share(&node, finish + 1), 0);
    assert_eq!(node.rollbacks(), [rollback(30_000)]);
    // A change of the service's section is a new rollout.
    newer.since[0].since = ConfigVersion(9);
    node.on_config(&newer);
    assert!(node.rollbacks().is_empty());
}

/// Guards against a first step in the document that sends more than a tenth of the traffic to the new
/// version.
#[test]
fn first_step_is_capped() {
    let mut scenario = Scenario::new(0);
    scenario.steps = vec![60, 100];
    let mut entry = RolloutEngine::new("me".into());
    entry.on_config(&scenario.document());
    entry.on_progress(progress(0, START_MS));
    assert_eq!(share(&entry, START_MS), 10);
}

/// Runs an old and a new backend server with 20 calls/s each and returns the time from the first step
/// to the rollback. `change` modifies the calls of the new version, which are otherwise successful.
fn rollback_time(connected: bool, change: impl Fn(&mut CallSample<'_>)) -> Option<Duration> {
    let route = RouteName::from("r0");
    let mut nodes = [engine(Some("v1")), engine(Some("v2"))];
    let ids = ["old".into(), "new".into()];
    for ms in (0..START_MS + 60_000).step_by(50) {
        let now = Duration::from_millis(ms);
        for (i, version) in ["v1", "v2"].into_iter().enumerate() {
            let mut call = CallSample {
                service: "registry",
                version,
                route: &route,
                outcome: CallOutcome::Success,
                latency: Duration::from_millis(20),
                downstream: Duration::ZERO,
                downstream_failed: false,
                cold: false,
            };
            if i == 1 {
                change(&mut call);
            }
            if i == 0 || ms > START_MS {
                nodes[i].record_call(now, wall(ms), &call);
            }
            if !ms.is_multiple_of(200) {
                continue;
            }
            for action in nodes[i].tick(now, wall(ms)) {
                match action {
                    RolloutAction::SendReport(report) if connected => {
                        nodes[1 - i].on_report(now, wall(ms), &ids[i], &report);
                    }
                    RolloutAction::RollBack(_) => {
                        return Some(Duration::from_millis(ms - START_MS));
                    }
                    _ => {}
                }
            }
        }
    }
    None
}

/// Guards against a rollback that depends on reports of other nodes: a node without reports decides alone.
#[test]
fn evidence_of_single_node() {
    let failing = |call: &mut CallSample<'_>| call.outcome = CallOutcome::Failure;
    let alone = rollback_time(false, failing).expect("rolled back");
    let connected = rollback_time(true, failing).expect("rolled back");
    assert!(connected <= Duration::from_secs(2), "{connected:?}");
    assert!(alone <= Duration::from_millis(3_500), "{alone:?}");
}

/// Guards against rolling back a version for the failures and the slowness of services that it calls, or
/// for its cold start.
#[test]
fn evidence_excludes_downstream_and_cold_start() {
    let failed_downstream = |call: &mut CallSample<'_>| {
        call.outcome = CallOutcome::Failure;
        call.downstream_failed = true;
    };
    let slow_downstream = |call: &mut CallSample<'_>| {
        call.latency = Duration::from_millis(520);
        call.downstream = Duration::from_millis(500);
    };
    let cold = |call: &mut CallSample<'_>| {
        call.latency = Duration::from_millis(520);
        call.cold = true;
    };
    let slow = |call: &mut CallSample<'_>| call.latency = Duration::from_millis(520);
    assert_eq!(rollback_time(true, failed_downstream), None);
    assert_eq!(rollback_time(true, slow_downstream), None);
    assert_eq!(rollback_time(true, cold), None);
    assert!(
        rollback_time(true, slow).is_some(),
        "the same slowness in the version itself counts"
    );
}

/// Records 40 calls/s of 1 s each, which occupy 40 slots, at a backend server of the old version.
/// Returns the shares and the text of the stall that the engine reports for missing slots.
fn run_busy_service(new_slots: u32) -> (Vec<u8>, Option<String>) {
    let route = RouteName::from("r0");
    let mut node = engine(Some("v1"));
    node.on_slots("registry", "v2", new_slots);
    let call = CallSample {
        service: "registry",
        version: "v1",
        route: &route,
        outcome: CallOutcome::Success,
        latency: Duration::from_secs(1),
        downstream: Duration::ZERO,
        downstream_failed: false,
        cold: false,
    };
    let (mut shares, mut stall) = (Vec::new(), None);
    for ms in (0..=Scenario::new(0).finish_ms()).step_by(25) {
        let now = Duration::from_millis(ms);
        node.record_call(now, wall(ms), &call);
        if ms.is_multiple_of(200) {
            for action in node.tick(now, wall(ms)) {
                if let RolloutAction::Outcome(outcome) = action
                    && outcome.code == ResultCode::RolloutStalled.number()
                    && outcome.text.contains("slots")
                {
                    stall = Some(outcome.text);
                }
            }
            shares.push(share(&node, ms));
        }
    }
    shares.dedup();
    (shares, stall)
}

/// Guards against a report that does not fit a datagram together with its header and authentication.
#[test]
fn report_size() {
    let name = "a-name-of-twenty-four-ch";
    let evidence = RouteEvidence {
        route: name.into(),
        calls: 1_000_000,
        errors: 1_000_000,
        downstream_failed: 1_000_000,
        latency: [1_000_000; LATENCY_BUCKETS],
    };
    let report = EvidenceReport {
        key: RolloutKey {
            service: name.into(),
            to: name.into(),
            since: ConfigVersion(u64::MAX),
        },
        version: name.into(),
        step: 200,
        sequence: u64::MAX,
        crashes: 1_000_000,
        routes: vec![evidence; MAX_REPORT_ROUTES],
    };
    let bytes = encode_compact(&report).unwrap().len();
    assert!(bytes + 200 <= MAX_DATAGRAM_BYTES, "{bytes} bytes");
}

/// Guards against a step that overloads the backend servers of the new version.
#[test]
fn capacity_limits_steps() {
    let (shares, stall) = run_busy_service(30);
    assert_eq!(shares, [0, 5, 25, 50, 100], "75 % only by the deadline");
    assert!(stall.is_some());
    assert_eq!(run_busy_service(60), (vec![0, 5, 25, 50, 75, 100], None));
}

/// Guards against a rollback for a negligible difference: 1 % more failures, or a latency higher by half a
/// bucket.
#[test]
fn evidence_of_negligible_difference() {
    let count = std::cell::Cell::new(0);
    let one_percent = |call: &mut CallSample<'_>| {
        count.set(count.get() + 1);
        if count.get() % 100 == 0 {
            call.outcome = CallOutcome::Failure;
        }
    };
    assert_eq!(rollback_time(true, one_percent), None);
    let little = |call: &mut CallSample<'_>| call.latency = Duration::from_millis(22);
    assert_eq!(rollback_time(true, little), None);
}
