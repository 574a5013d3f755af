//! What a node knows of the backend server beside it.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::protocol::fleet::BackendPhase;
use sycamorewick::protocol::fleet::BackendReport;
use sycamorewick::state::local_backend::Change;
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

/// Guards against new work for a backend server that has said it leaves, also if an earlier
/// heartbeat comes late.
#[gtest]
fn on_heartbeat_late_after_draining() {
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(at(0), report("i-1", 100, 1));
    expect_true!(backend.available(at(0)).is_some());
    expect_that!(
        backend.on_heartbeat(at(2), draining(report("i-1", 100, 3))),
        eq(Change::Changed)
    );
    expect_that!(
        backend.on_heartbeat(at(3), report("i-1", 100, 2)),
        eq(Change::Ignored)
    );
    expect_true!(backend.available(at(3)).is_none());
}

/// Guards against the late heartbeat of an incarnation that has crashed.
#[gtest]
fn on_heartbeat_of_earlier_incarnation() {
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(at(0), report("i-2", 200, 1));
    expect_that!(
        backend.on_heartbeat(at(1), report("i-1", 100, 9)),
        eq(Change::Ignored)
    );
    let available = backend
        .available(at(1))
        .map(|report| report.instance.clone());
    expect_that!(available.as_deref(), some(eq("i-2")));
}

/// Guards against taking a start under the same identity, whose numbers begin anew, for a late one.
#[gtest]
fn on_heartbeat_reborn_with_same_identity() {
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(at(0), report("i-1", 100, 50));
    expect_that!(
        backend.on_heartbeat(at(1), report("i-1", 900, 1)),
        eq(Change::Changed)
    );
    expect_that!(
        backend.on_heartbeat(at(2), report("i-1", 100, 51)),
        eq(Change::Ignored)
    );
}

/// Guards against new work for a backend server that said farewell and goes on serving.
#[gtest]
fn on_farewell_then_heartbeat() {
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(at(0), report("i-1", 100, 1));
    expect_true!(backend.on_farewell("i-1"));
    expect_that!(
        backend.on_heartbeat(at(1), report("i-1", 100, 2)),
        eq(Change::Ignored)
    );
    expect_true!(backend.available(at(1)).is_none());
    expect_that!(
        backend.on_heartbeat(at(2), report("i-2", 200, 1)),
        eq(Change::Changed)
    );
}

/// Guards against a farewell of an earlier incarnation ending the present one.
#[gtest]
fn on_farewell_of_other_instance() {
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(at(0), report("i-2", 200, 1));
    expect_false!(backend.on_farewell("i-1"));
    expect_true!(backend.available(at(0)).is_some());
}

/// Guards against work for a backend server that crashed, and against not using it once it is back.
#[gtest]
fn mark_down_until_heartbeat() {
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(at(0), report("i-1", 100, 1));
    expect_true!(backend.mark_down());
    expect_false!(backend.mark_down());
    expect_true!(backend.available(at(0)).is_none());
    expect_that!(
        backend.on_heartbeat(at(1), report("i-1", 100, 2)),
        eq(Change::Changed)
    );
    expect_true!(backend.available(at(1)).is_some());
}

/// Guards against work for a backend server that fell silent.
#[gtest]
fn available_after_silence() {
    let mut backend = LocalBackend::new(INTERVAL);
    backend.on_heartbeat(at(0), report("i-1", 100, 1));
    expect_true!(backend.available(at(5)).is_some());
    expect_true!(backend.available(at(7)).is_none());
}
