//! Sidecar processes whose store goes back to an earlier state: what was written since is lost, and its
//! offsets are given out again.

mod sidecar_common;

use std::time::Duration;
use std::time::Instant;

use actix_http::StatusCode;
use googletest::prelude::*;
use rustix::process::Signal;
use serde_json::json;
use sidecar_common::POLL_MARGIN;
use sidecar_common::REQUIRED_TIME;
use sidecar_common::TestFleet;
use sidecar_common::WAIT_LIMIT;
use sidecar_common::put_config;
use sidecar_common::run;
use sycamorewick::protocol::codec;
use sycamorewick::protocol::fleet::FleetEntry;
use sycamorewick::protocol::fleet::MoveRecord;
use sycamorewick::protocol::fleet::MoveState;
use testbed::log_server::Outage;
use testbed::platform::store::OPERATOR_TOPIC;
use testbed::platform::store::RESULT_TOPIC;
use testbed::platform::store::StoreHandle;

const FLEET_TOPIC: &str = "keyed.sidecars";
const MOVE_TOPIC: &str = "keyed.moves";

/// Time for which the store is away before it comes back from its copy.
const AWAY: Duration = Duration::from_millis(700);

/// Makes the store unavailable for a moment and brings it back from its copy.
async fn restore(env: &TestFleet) {
    env.outage(Outage::Refuse);
    actix_rt::time::sleep(AWAY).await;
    env.store.restore_copy();
    env.outage(Outage::Off);
}

/// Waits until each node serves a path.
async fn wait_for_all(env: &mut TestFleet, nodes: usize, path: &str) -> eyre::Result<()> {
    let limit = REQUIRED_TIME + POLL_MARGIN;
    let began = Instant::now();
    for index in 0..nodes {
        let left = limit.saturating_sub(began.elapsed());
        env.wait_for(left, index, path, StatusCode::OK).await?;
    }
    Ok(())
}

async fn wait_until(what: &str, limit: Duration, is_met: impl Fn() -> bool) -> eyre::Result<()> {
    let until = Instant::now() + limit;
    while !is_met() {
        eyre::ensure!(Instant::now() < until, "{what}");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

fn stored_entry(store: &StoreHandle, node: &str) -> Option<FleetEntry> {
    codec::decode(&store.newest(FLEET_TOPIC, node)?).ok()
}

/// Guards against a configuration that is dropped because an earlier one had its offset before the store
/// went back. Five nodes, so that readers and followers are among them; the store goes back twice.
#[gtest]
fn restore_config_change() {
    run(async {
        const NODES: usize = 5;
        let mut env = TestFleet::start(NODES).await?;
        // Followers have found their reader by then.
        actix_rt::time::sleep(Duration::from_secs(3)).await;
        let mut version = 1;
        for _ in 0..2 {
            env.store.take_copy();
            for _ in 0..2 {
                version += 1;
                let _ = put_config(&env.store, version);
                wait_for_all(&mut env, NODES, &format!("/v{version}/x")).await?;
            }
            restore(&env).await;
            // The operator writes its newest configuration again.
            let _ = put_config(&env.store, version);
            actix_rt::time::sleep(Duration::from_secs(1)).await;
            version += 1;
            let _ = put_config(&env.store, version);
            wait_for_all(&mut env, NODES, &format!("/v{version}/x")).await?;
        }
        Ok(())
    });
}

/// Guards against records that are never read because the reader goes on at an offset of the former
/// history, which the new one has reached in the meantime.
#[gtest]
fn restore_same_length() {
    run(async {
        let mut env = TestFleet::start(2).await?;
        env.store.take_copy();
        for version in 2..4 {
            let _ = put_config(&env.store, version);
        }
        wait_for_all(&mut env, 2, "/v3/x").await?;
        env.outage(Outage::Refuse);
        actix_rt::time::sleep(AWAY).await;
        env.store.restore_copy();
        let _ = put_config(&env.store, 4);
        for number in 0..3 {
            let _ = env.store.put(OPERATOR_TOPIC, "note", &[number]);
        }
        env.outage(Outage::Off);
        wait_for_all(&mut env, 2, "/v4/x").await
    });
}

/// Guards against nodes that follow different eras: the reader and a follower are killed while the store is
/// away and start in the new era, another follower is suspended in the former one.
#[gtest]
fn restore_while_nodes_restart() {
    run(async {
        const NODES: usize = 5;
        let mut env = TestFleet::start(NODES).await?;
        actix_rt::time::sleep(Duration::from_secs(3)).await;
        env.store.take_copy();
        for version in 2..4 {
            let _ = put_config(&env.store, version);
            wait_for_all(&mut env, NODES, &format!("/v{version}/x")).await?;
        }
        env.fleet.signal(2, Signal::STOP)?;
        env.outage(Outage::Refuse);
        for index in [0, 3] {
            env.fleet.kill(index)?;
            env.fleet.start(index)?;
        }
        actix_rt::time::sleep(AWAY).await;
        env.store.restore_copy();
        env.outage(Outage::Off);
        actix_rt::time::sleep(AWAY).await;
        let _ = put_config(&env.store, 3);
        let _ = put_config(&env.store, 4);
        env.fleet.signal(2, Signal::CONT)?;
        env.fleet.wait_ready(WAIT_LIMIT).await?;
        wait_for_all(&mut env, NODES, "/v4/x").await?;
        let _ = put_config(&env.store, 5);
        wait_for_all(&mut env, NODES, "/v5/x").await
    });
}

/// Guards against a configuration that goes back to the one of the store's copy while the operator has not
/// written the newest one again.
#[gtest]
fn restore_keeps_configuration() {
    run(async {
        let mut env = TestFleet::start(2).await?;
        env.store.take_copy();
        let _ = put_config(&env.store, 2);
        wait_for_all(&mut env, 2, "/v2/x").await?;
        restore(&env).await;
        let until = Instant::now() + Duration::from_secs(3);
        while Instant::now() < until {
            for index in 0..2 {
                expect_that!(env.call(index, "/v2/x").await?.status, eq(StatusCode::OK));
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    });
}

/// Guards against entries that are lost with the store's history: a node that started since stays unknown
/// to nodes that start later, and a backend server that has left is listed as ready again.
#[gtest]
fn restore_entries() {
    run(async {
        let mut env = TestFleet::start(2).await?;
        env.store.take_copy();
        // Node 1 gets another backend server, and the one of node 0 leaves.
        env.backends[1].kill();
        env.add_backend(1, 0.0)?;
        env.backends[0].request_stop();
        let is_current = |env: &TestFleet| {
            let instance = |node| {
                let backend = stored_entry(&env.store, node)?.backend?;
                Some(backend.instance.to_string())
            };
            instance("n0").is_none() && instance("n1").as_deref() == Some("b2")
        };
        wait_until("the entries are not written", WAIT_LIMIT, || {
            is_current(&env)
        })
        .await?;
        let ready_lines = |env: &TestFleet| {
            let lines = env.fleet.log_lines(1, "peer changed");
            let is_ready = |line: &&serde_json::Value| line["backend"] == "b0 v1 Ready";
            (lines.iter().filter(is_ready).count(), lines.last().cloned())
        };
        wait_until("node 1 does not know of the leave", WAIT_LIMIT, || {
            ready_lines(&env)
                .1
                .is_some_and(|last| last["backend"] == "none")
        })
        .await?;
        let before = ready_lines(&env).0;
        restore(&env).await;
        let limit = REQUIRED_TIME + POLL_MARGIN;
        wait_until("the entries are not written again", limit, || {
            is_current(&env)
        })
        .await?;
        let after = ready_lines(&env).0;
        expect_that!(after, eq(before), "node 1 uses the left one again");
        env.fleet.kill(0)?;
        env.fleet.start(0)?;
        env.wait_for(WAIT_LIMIT, 0, "/wrecks/1", StatusCode::OK)
            .await
    });
}

fn put_order(store: &StoreHandle, within_s: u32) -> u64 {
    let order = json!({ "service": "registry", "target": "v2", "step-s": within_s });
    store.put(
        OPERATOR_TOPIC,
        "rollout/registry",
        order.to_string().as_bytes(),
    )
}

fn result_state(store: &StoreHandle) -> Option<String> {
    let value = store.newest(RESULT_TOPIC, "rollout/registry")?;
    let body: serde_json::Value = serde_json::from_slice(&value).ok()?;
    Some(body["state"].as_str()?.to_owned())
}

/// Guards against a completed rollout whose result is lost with the store's history, or that begins anew
/// since its order is written again at another offset. At its completion the old backend servers stop.
#[gtest]
fn restore_completed_rollout() {
    run(async {
        let mut env = TestFleet::start(2).await?;
        env.store.take_copy();
        let _ = env.store.put(OPERATOR_TOPIC, "note", b"moves the offset");
        // Both nodes run the new version before the order.
        for index in 0..2 {
            env.backends[index].kill();
            env.add_version(index, "v2")?;
        }
        let _ = put_order(&env.store, 3);
        let completed = |env: &TestFleet| result_state(&env.store).as_deref() == Some("complete");
        wait_until("the rollout does not complete", WAIT_LIMIT, || {
            completed(&env)
        })
        .await?;
        restore(&env).await;
        let offset = put_order(&env.store, 3);
        wait_until("the result is not written again", 3 * REQUIRED_TIME, || {
            completed(&env)
        })
        .await?;
        let progress = || -> Option<MoveRecord> {
            codec::decode(&env.store.newest(MOVE_TOPIC, "registry")?).ok()
        };
        let is_recorded = || {
            progress()
                .is_some_and(|record| record.order == offset && record.state == MoveState::Complete)
        };
        wait_until(
            "the progress is not written again",
            3 * REQUIRED_TIME,
            is_recorded,
        )
        .await?;
        let history = env.store.history(RESULT_TOPIC, "rollout/registry");
        let states: Vec<_> = history
            .iter()
            .map(|value| String::from_utf8_lossy(value))
            .collect();
        expect_that!(states.len(), eq(1), "{states:?}");
        Ok(())
    });
}
