//! Heartbeats that wait until the process knows the leaves that an earlier one has acknowledged.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::coordination::membership::heartbeat_hold::HealthPath;
use sycamorewick::coordination::membership::heartbeat_hold::HeartbeatHold;
use sycamorewick::protocol::fleet::BackendPhase;
use sycamorewick::protocol::fleet::BackendReport;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn report(instance: &str, sequence: u64, phase: BackendPhase) -> BackendReport {
    BackendReport {
        instance: instance.into(),
        born: 1,
        sequence,
        service: "registry".into(),
        version: "v1".into(),
        slots: 4,
        phase,
        cold_left_ms: 0,
    }
}

fn ready(instance: &str, sequence: u64) -> BackendReport {
    report(instance, sequence, BackendPhase::Ready)
}

/// Guards against a late heartbeat that is used before the node's own entry was read, and against one that is lost
/// meanwhile.
#[gtest]
fn on_entry_read_releases_newest() {
    let mut hold = HeartbeatHold::default();
    for sequence in 1..3 {
        let heartbeat = ready("b", sequence);
        let used = hold.on_heartbeat(ms(sequence), heartbeat, HealthPath::Unknown);
        expect_that!(used, none());
    }
    expect_that!(hold.begin_check(ms(5), HealthPath::Known, true), none());
    expect_that!(hold.on_entry_read(), some(eq(&ready("b", 2))));
    expect_that!(hold.on_entry_read(), none());
    let used = hold.on_heartbeat(ms(9), ready("b", 3), HealthPath::Known);
    expect_that!(used, some(eq(&ready("b", 3))));
}

/// Guards against a leave that is held, and against a deployment without health paths whose backend servers are not
/// used until the store is back.
#[gtest]
fn on_heartbeat_not_held() {
    let mut hold = HeartbeatHold::default();
    let draining = report("b", 1, BackendPhase::Draining);
    let used = hold.on_heartbeat(ms(1), draining.clone(), HealthPath::Unknown);
    expect_that!(used, some(eq(&draining)));
    let used = hold.on_heartbeat(ms(2), ready("c", 1), HealthPath::Missing);
    expect_that!(used, some(eq(&ready("c", 1))));
}

/// Guards against more health checks than needed: while the store may still answer, in quick succession, two at a
/// time, or of an incarnation that was confirmed.
#[gtest]
fn begin_check_few() {
    let mut hold = HeartbeatHold::default();
    let path = HealthPath::Known;
    expect_that!(hold.begin_check(ms(0), path, false), none());
    hold.on_heartbeat(ms(0), ready("b", 1), path);
    expect_that!(hold.begin_check(ms(900), path, true), none());
    let incarnation = ready("b", 1).incarnation();
    let check = hold.begin_check(ms(1_000), path, true);
    expect_that!(check, some(eq(&incarnation)));
    expect_that!(hold.begin_check(ms(1_900), path, false), none());
    expect_that!(hold.on_checked(&incarnation, false), none());
    expect_that!(hold.begin_check(ms(1_400), path, false), none());
    let check = hold.begin_check(ms(1_500), path, false);
    expect_that!(check, some(eq(&incarnation)));
    hold.on_heartbeat(ms(1_510), ready("b", 2), path);
    let used = hold.on_checked(&incarnation, true);
    expect_that!(used, some(eq(&ready("b", 2))));
    let used = hold.on_heartbeat(ms(2_000), ready("b", 3), path);
    expect_that!(used, some(eq(&ready("b", 3))));
    expect_that!(hold.begin_check(ms(9_000), path, false), none());
}

/// Guards against a health report that confirms a heartbeat of another incarnation.
#[gtest]
fn on_checked_other_incarnation() {
    let mut hold = HeartbeatHold::default();
    hold.on_heartbeat(ms(0), ready("b", 1), HealthPath::Known);
    let check = hold.begin_check(ms(1), HealthPath::Known, false);
    expect_true!(check.is_some());
    hold.on_heartbeat(ms(2), ready("c", 1), HealthPath::Known);
    let confirmed = hold.on_checked(&ready("b", 1).incarnation(), true);
    expect_that!(confirmed, none());
    let used = hold.on_heartbeat(ms(3), ready("c", 2), HealthPath::Known);
    expect_that!(used, none());
}
