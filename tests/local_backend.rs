//! Tests of `state::local_backend`.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::protocol::fleet::BackendPhase;
use sycamorewick::protocol::fleet::BackendReport;
use sycamorewick::state::local_backend::HeartbeatEffect;
use sycamorewick::state::local_backend::LocalBackend;

const INTERVAL: Duration = Duration::from_millis(1_500);

fn report(instance: &str, born: u64, sequence: u64) -> BackendReport {
    BackendReport {
        instance: instance.into(),
        born,
        sequence,
        service: "registry".into(),
        version: "v1".into(),
        slots: 9,
        phase: BackendPhase::Ready,
        cold_left_ms: 0,
    }
}

fn draining(mut report: BackendReport) -> BackendReport {
    report.phase = BackendPhase::Draining;
    report
}

fn at(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Guards against new requests for a draining backend server, even if a heartbeat from before it began
/// to drain arrives late.
#[gtest]
fn on_heartbeat_late_after_draining() {
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(at(0), report("i-1", 100, 1));
    expect_true!(backend.available(at(0)).is_some());
    expect_that!(
        backend.on_heartbeat(at(2), draining(report("i-1", 100, 3))),
        eq(HeartbeatEffect::Changed)
    );
    expect_that!(
        backend.on_heartbeat(at(3), report("i-1", 100, 2)),
        eq(HeartbeatEffect::Ignored)
    );
    expect_true!(backend.available(at(3)).is_none());
}

/// Guards against a late heartbeat of a crashed incarnation replacing the current one.
#[gtest]
fn on_heartbeat_of_earlier_incarnation() {
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(at(0), report("i-2", 200, 1));
    expect_that!(
        backend.on_heartbeat(at(1), report("i-1", 100, 9)),
        eq(HeartbeatEffect::Ignored)
    );
    let available = backend
        .available(at(1))
        .map(|report| report.instance.clone());
    expect_that!(available.as_deref(), some(eq("i-2")));
}

/// Guards against ignoring a restart under the same identity as late: its sequence numbers start again
/// at one.
#[gtest]
fn on_heartbeat_restart_with_same_identity() {
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(at(0), report("i-1", 100, 50));
    expect_that!(
        backend.on_heartbeat(at(1), report("i-1", 900, 1)),
        eq(HeartbeatEffect::Changed)
    );
    expect_that!(
        backend.on_heartbeat(at(2), report("i-1", 100, 51)),
        eq(HeartbeatEffect::Ignored)
    );
}

/// Guards against new requests for a backend server that deregistered but still sends heartbeats.
#[gtest]
fn on_deregister_then_heartbeat() {
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(at(0), report("i-1", 100, 1));
    expect_true!(backend.on_deregister(at(1), "i-1", None));
    expect_that!(
        backend.on_heartbeat(at(1), report("i-1", 100, 2)),
        eq(HeartbeatEffect::Ignored)
    );
    expect_true!(backend.available(at(1)).is_none());
    expect_that!(
        backend.on_heartbeat(at(2), report("i-2", 200, 1)),
        eq(HeartbeatEffect::Changed)
    );
}

/// Guards against a deregistration of an earlier incarnation removing the current one.
#[gtest]
fn on_deregister_of_other_instance() {
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(at(0), report("i-2", 200, 1));
    expect_false!(backend.on_deregister(at(1), "i-1", None));
    expect_true!(backend.available(at(0)).is_some());
}

/// Guards against requests for a crashed backend server, and against not using it once it is back.
#[gtest]
fn mark_down_until_heartbeat() {
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(at(0), report("i-1", 100, 1));
    expect_true!(backend.mark_down());
    expect_false!(backend.mark_down());
    expect_true!(backend.available(at(0)).is_none());
    expect_that!(
        backend.on_heartbeat(at(1), report("i-1", 100, 2)),
        eq(HeartbeatEffect::Changed)
    );
    expect_true!(backend.available(at(1)).is_some());
}

/// Guards against requests for a backend server that stopped sending heartbeats.
#[gtest]
fn available_after_silence() {
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(at(0), report("i-1", 100, 1));
    expect_true!(backend.available(at(5)).is_some());
    expect_true!(backend.available(at(7)).is_none());
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against a backend server that counts as silent because the node's process was blocked and could not
/// read its heartbeats: first at the moment at which it continues, then after its next tick.
#[gtest]
fn available_after_blocked_process() {
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(ms(0), report("i-1", 100, 1));
    for tick in (0..=1_000).step_by(100) {
        backend.on_tick(ms(tick));
    }
    expect_true!(backend.available(ms(8_000)).is_some());
    backend.on_tick(ms(8_000));
    expect_true!(backend.available(ms(8_000)).is_some());
    backend.on_heartbeat(ms(8_010), report("i-1", 100, 2));
    for tick in (8_100..=14_000).step_by(100) {
        backend.on_tick(ms(tick));
    }
    expect_true!(backend.available(ms(14_000)).is_some());
    // The time before the last heartbeat is not left out again.
    backend.on_tick(ms(14_100));
    expect_true!(backend.available(ms(14_100)).is_none());
}

/// Guards against requests for a silent backend server without a bound in time because the node's process is
/// blocked again and again, or is paused for long.
#[gtest]
fn available_after_long_blocks() {
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(ms(0), report("i-1", 100, 1));
    for tick in (0..=12_000).step_by(1_000) {
        backend.on_tick(ms(tick));
        expect_true!(backend.available(ms(tick)).is_some());
    }
    expect_true!(backend.available(ms(12_100)).is_none());
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(ms(0), report("i-1", 100, 1));
    backend.on_tick(ms(50));
    expect_true!(backend.available(ms(60_000)).is_none());
}

/// Guards against the silence of a backend server that is noticed late while the node's process handles events.
#[gtest]
fn available_after_silence_with_ticks() {
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(ms(0), report("i-1", 100, 1));
    for tick in (0..=6_000).step_by(200) {
        backend.on_tick(ms(tick));
    }
    expect_true!(backend.available(ms(6_000)).is_some());
    expect_true!(backend.available(ms(6_001)).is_none());
}

/// Guards against new requests for a backend server that has announced in a response that it leaves,
/// although its heartbeats still report it as ready, and against a notice that outlives its incarnation.
#[gtest]
fn on_leaving_notice() {
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(at(0), report("i-1", 100, 1));
    expect_false!(backend.on_leaving(&report("i-0", 90, 1)));
    expect_true!(backend.available(at(0)).is_some());
    expect_true!(backend.on_leaving(&report("i-1", 100, 1)));
    expect_false!(backend.on_leaving(&report("i-1", 100, 1)));
    backend.on_heartbeat(at(1), report("i-1", 100, 2));
    expect_true!(backend.available(at(1)).is_none());
    expect_true!(backend.is_leaving());
    backend.on_heartbeat(at(2), report("i-2", 200, 1));
    expect_true!(backend.available(at(2)).is_some());
    expect_false!(backend.is_leaving());
}

/// After a restart of its node a backend server that had left must not come back by a late heartbeat
/// from before its leave: its node had acknowledged the leave, and only the earlier process knew.
#[gtest]
fn on_heartbeat_after_leave_before_restart() {
    for deregisters in [false, true] {
        let mut earlier = LocalBackend::new(INTERVAL);
        earlier.on_heartbeat(at(0), report("i-1", 100, 7));
        if deregisters {
            earlier.on_deregister(at(1), "i-1", None);
        } else {
            earlier.on_heartbeat(at(1), draining(report("i-1", 100, 9)));
        }
        let leaves = earlier.reported_leaves();
        // The heartbeat may arrive before or after the new process has read the entry.
        for is_first in [false, true] {
            let mut backend = LocalBackend::new(INTERVAL);
            if is_first {
                backend.on_heartbeat(at(2), report("i-1", 100, 8));
            }
            let outdated =
                backend.on_earlier_leave(at(2), leaves.first().expect("the leave").clone());
            expect_that!(outdated, eq(is_first));
            backend.on_heartbeat(at(3), report("i-1", 100, 8));
            expect_true!(backend.available(at(3)).is_none());
            // A new incarnation is used, also under the same identity.
            backend.on_heartbeat(at(4), report("i-1", 200, 1));
            expect_true!(backend.available(at(4)).is_some());
        }
    }
}

/// A backend server may deregister at a process that has just started and does not know it yet. A late
/// heartbeat must not bring it back: it ran a request 3.4 s after its node had acknowledged the leave.
#[gtest]
fn on_deregister_unknown() {
    for born in [Some(100), None] {
        let mut backend = LocalBackend::new(INTERVAL);
        expect_false!(backend.on_deregister(at(0), "i-1", born));
        let effect = backend.on_heartbeat(at(3), report("i-1", 100, 22));
        expect_that!(effect, eq(HeartbeatEffect::Ignored), "{born:?}");
        expect_true!(backend.available(at(3)).is_none());
        // A new incarnation is used, under another identity or under the same one.
        backend.on_heartbeat(at(4), report("i-1", 200, 1));
        expect_true!(backend.available(at(4)).is_some(), "{born:?}");
        let mut backend = LocalBackend::new(INTERVAL);
        backend.on_deregister(at(0), "i-1", born);
        backend.on_heartbeat(at(1), report("i-2", 300, 9));
        expect_true!(backend.available(at(1)).is_some(), "{born:?}");
    }
}

/// A late deregistration of an earlier incarnation must not end the current one under the same identity.
#[gtest]
fn on_deregister_of_earlier_incarnation() {
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(at(0), report("i-1", 200, 1));
    expect_false!(backend.on_deregister(at(1), "i-1", Some(100)));
    expect_true!(backend.available(at(1)).is_some());
    expect_true!(backend.on_deregister(at(2), "i-1", Some(200)));
    expect_true!(backend.available(at(2)).is_none());
}

/// Guards against a heartbeat that does not name its start and brings back a backend server that has left,
/// or replaces the current one. A backend server that never names it is used all the same.
#[gtest]
fn on_heartbeat_without_start() {
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(at(0), report("i-1", 100, 1));
    for instance in ["i-1", "i-2"] {
        let effect = backend.on_heartbeat(at(1), report(instance, 0, 9));
        expect_that!(effect, eq(HeartbeatEffect::Refused), "{instance}");
    }
    expect_true!(backend.available(at(1)).is_some());
    backend.on_deregister(at(2), "i-1", Some(100));
    let effect = backend.on_heartbeat(at(3), report("i-1", 0, 9));
    expect_that!(effect, eq(HeartbeatEffect::Refused));
    expect_true!(backend.available(at(3)).is_none());
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(at(0), report("i-3", 0, 1));
    expect_true!(backend.available(at(0)).is_some());
    backend.on_deregister(at(1), "i-3", None);
    backend.on_heartbeat(at(2), report("i-3", 0, 2));
    expect_true!(backend.available(at(2)).is_none());
}

/// Guards against a report that ends the use of the backend server for good: its start or its sequence
/// number is higher than any that follows, and nobody sends it again.
#[gtest]
fn on_heartbeat_after_false_report() {
    for false_report in [report("i-9", u64::MAX, 1), report("i-1", 100, u64::MAX)] {
        let mut backend = LocalBackend::new(INTERVAL);
        backend.on_heartbeat(at(0), report("i-1", 100, 1));
        backend.on_heartbeat(at(1), false_report.clone());
        let late = backend.on_heartbeat(at(2), report("i-1", 100, 2));
        expect_that!(late, eq(HeartbeatEffect::Ignored));
        backend.on_heartbeat(at(8), report("i-1", 100, 3));
        let available = backend.available(at(8));
        let instance = available.map(|report| report.instance.clone());
        expect_that!(instance.as_deref(), some(eq("i-1")), "{false_report:?}");
        // The backend server goes on as before.
        let next = backend.on_heartbeat(at(9), report("i-1", 100, 4));
        expect_that!(next, eq(HeartbeatEffect::Refreshed));
    }
}

/// Guards against a false report that stays until it is silent, although the backend server has refused a
/// request for its instance.
#[gtest]
fn on_heartbeat_after_mark_down_of_other_incarnation() {
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(at(0), report("i-1", 100, 1));
    backend.on_heartbeat(at(1), report("i-9", 900, 1));
    backend.mark_down();
    backend.on_heartbeat(at(2), report("i-1", 100, 2));
    expect_true!(backend.available(at(2)).is_some());
    // A late heartbeat of the incarnation that is down says nothing new.
    backend.mark_down();
    backend.on_heartbeat(at(3), report("i-1", 100, 2));
    expect_true!(backend.available(at(3)).is_none());
}

/// Guards against a backend server that left and is used again, because another incarnation that replaced
/// it has lapsed.
#[gtest]
fn on_heartbeat_after_leave_and_lapse() {
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(at(0), report("i-1", 100, 1));
    backend.on_heartbeat(at(1), draining(report("i-1", 100, 3)));
    backend.on_heartbeat(at(2), report("i-2", 200, 1));
    // The leave of an incarnation that is not current is acknowledged as well.
    backend.on_heartbeat(at(2), draining(report("i-0", 50, 9)));
    backend.on_heartbeat(at(20), report("i-1", 100, 2));
    backend.on_heartbeat(at(20), report("i-0", 50, 8));
    expect_true!(backend.available(at(20)).is_none());
}

/// Guards against deregistrations of unknown backend servers that make a node forget a leave that it has
/// acknowledged, or its next process not learn of it.
#[gtest]
fn on_deregister_many_unknown() {
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(at(0), report("i-1", 100, 7));
    backend.on_deregister(at(1), "i-1", None);
    backend.on_deregister(at(1), "i-5", None);
    for number in 0..50 {
        backend.on_deregister(at(2), &format!("x-{number}"), Some(number + 1));
    }
    backend.on_deregister(at(2), "i-6", None);
    let reported = backend.reported_leaves();
    expect_that!(reported.len(), le(4));
    expect_true!(
        reported
            .iter()
            .any(|left| left.incarnation == ("i-1".into(), 100))
    );
    let mut next = LocalBackend::new(INTERVAL);
    for left in reported {
        next.on_earlier_leave(at(3), left);
    }
    for backend in [&mut backend, &mut next] {
        backend.on_heartbeat(at(3), report("i-1", 100, 6));
        expect_true!(backend.available(at(3)).is_none());
    }
    backend.on_heartbeat(at(3), report("i-5", 300, 9));
    expect_true!(backend.available(at(3)).is_none());
}

/// Guards against a process that forgets the leave that an earlier one has acknowledged, because it has
/// acknowledged another one before it reads the entry.
#[gtest]
fn on_earlier_leave_after_own() {
    let mut earlier = LocalBackend::new(INTERVAL);
    earlier.on_heartbeat(at(0), report("i-1", 100, 7));
    earlier.on_deregister(at(1), "i-1", None);
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_deregister(at(2), "i-0", Some(50));
    for left in earlier.reported_leaves() {
        backend.on_earlier_leave(at(2), left);
    }
    backend.on_heartbeat(at(3), report("i-1", 100, 6));
    expect_true!(backend.available(at(3)).is_none());
    expect_that!(backend.reported_leaves().len(), eq(2));
}

/// Guards against a leave that is stored anew with each heartbeat of a backend server that drains, and against
/// one that a process forgets since it did not know the backend server and the leave names no start.
#[gtest]
fn last_leave_of_instance() {
    let mut backend = LocalBackend::new(INTERVAL);
    expect_that!(backend.last_leave("i-1"), none());
    backend.on_heartbeat(at(0), report("i-1", 100, 1));
    for sequence in 2..5 {
        backend.on_heartbeat(at(sequence), draining(report("i-1", 100, sequence)));
        let left = backend.last_leave("i-1").expect("the leave");
        expect_that!(left.sequence, eq(2));
    }
    // It may become ready again, and leave later.
    backend.on_heartbeat(at(5), report("i-1", 100, 5));
    expect_true!(backend.available(at(5)).is_some());
    backend.on_heartbeat(at(6), draining(report("i-1", 100, 6)));
    let sequence = backend.last_leave("i-1").map(|left| left.sequence);
    expect_that!(sequence, some(eq(6)));
    let mut restarted = LocalBackend::new(INTERVAL);
    restarted.on_deregister(at(7), "i-7", None);
    let leaves = restarted.reported_leaves();
    let mut next = LocalBackend::new(INTERVAL);
    next.on_earlier_leave(at(8), leaves.first().expect("the leave").clone());
    next.on_heartbeat(at(9), report("i-7", 700, 12));
    expect_true!(next.available(at(9)).is_none());
}

/// Guards against a backend server that never names its start and is refused for good, because another program
/// has named one: in a deregistration, or in a heartbeat that is silent since.
#[gtest]
fn on_heartbeat_without_start_after_stranger() {
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(at(0), report("i-1", 0, 1));
    backend.on_deregister(at(1), "x", Some(700));
    let effect = backend.on_heartbeat(at(1), report("i-1", 0, 2));
    expect_that!(effect, eq(HeartbeatEffect::Refreshed));
    backend.on_heartbeat(at(2), report("x-2", 900, 1));
    backend.on_heartbeat(at(9), report("i-1", 0, 3));
    let instance = backend.available(at(9)).map(|r| r.instance.clone());
    expect_that!(instance.as_deref(), some(eq("i-1")));
}

/// Guards against a leave that is never stored, and so never acknowledged: the process does not know the backend
/// server yet, and has taken over four earlier leaves, which fill the entry.
#[gtest]
fn reported_leaves_unknown_beside_four_earlier() {
    let mut earlier = LocalBackend::new(INTERVAL);
    for number in 1..5 {
        let instance = format!("i-{number}");
        earlier.on_heartbeat(at(number), report(&instance, number * 100, 1));
        earlier.on_deregister(at(number), &instance, None);
    }
    let mut backend = LocalBackend::new(INTERVAL);
    for left in earlier.reported_leaves() {
        backend.on_earlier_leave(at(9), left);
    }
    backend.on_deregister(at(10), "i-5", Some(500));
    let reported = backend.reported_leaves();
    expect_true!(reported.iter().any(|left| &*left.incarnation.0 == "i-5"));
}
