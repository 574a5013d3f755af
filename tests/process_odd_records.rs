//! Records of other programs, and records that the store executes late, in the topics of real sidecar
//! processes.

mod sidecar_common;

use std::time::Duration;
use std::time::Instant;

use actix_http::StatusCode;
use bytes::Bytes;
use googletest::prelude::*;
use serde_json::json;
use sidecar_common::TestFleet;
use sidecar_common::WAIT_LIMIT;
use sidecar_common::run;
use sycamorewick::platform::config;
use sycamorewick::protocol::codec;
use sycamorewick::protocol::fleet::FleetEntry;
use sycamorewick::protocol::fleet::MoveRecord;
use sycamorewick::protocol::fleet::MoveState;
use sycamorewick::protocol::mesh::MoveOrder;
use testbed::platform::store::OPERATOR_TOPIC;
use testbed::platform::store::RESULT_TOPIC;
use testbed::platform::store::StoreControlChange;
use testbed::platform::store::StoreHandle;

const FLEET_TOPIC: &str = "keyed.sidecars";
const MOVE_TOPIC: &str = "keyed.moves";

/// Returns the newest entry of a node in the store, if it is readable.
fn stored_entry(store: &StoreHandle, node: &str) -> Option<FleetEntry> {
    codec::decode(&store.newest(FLEET_TOPIC, node)?).ok()
}

/// Waits until the newest entry of a node in the store meets a condition.
async fn wait_entry(
    env: &TestFleet,
    node: &str,
    what: &str,
    is_met: impl Fn(&FleetEntry) -> bool,
) -> eyre::Result<FleetEntry> {
    let until = Instant::now() + WAIT_LIMIT;
    loop {
        let entry = stored_entry(&env.store, node);
        if let Some(entry) = entry.filter(&is_met) {
            return Ok(entry);
        }
        eyre::ensure!(Instant::now() < until, "{node}: {what}");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a node that stays unknown to all that start later, because another program has written a
/// record in the place of its entry.
#[gtest]
fn entry_replaced_by_another_writer() {
    run(async {
        let env = TestFleet::start(1).await?;
        let own = wait_entry(&env, "n0", "no entry", |entry| entry.backend.is_some()).await?;
        let renamed = FleetEntry {
            node: "n9".into(),
            ..own
        };
        let renamed = codec::encode(&renamed).map_err(|e| eyre::eyre!("{e}"))?;
        for value in [b"\xc1odd".to_vec(), vec![b'['; 10_000], renamed, Vec::new()] {
            let _ = env.store.put(FLEET_TOPIC, "n0", &value);
            wait_entry(&env, "n0", "not written again", |entry| {
                entry.node.as_str() == "n0" && entry.backend.is_some()
            })
            .await?;
        }
        Ok(())
    });
}

/// Guards against a node that no other one uses any more, because an entry of another name has its address.
#[gtest]
fn entry_with_address_of_another_node() {
    run(async {
        let mut env = TestFleet::start(2).await?;
        let own = wait_entry(&env, "n0", "no entry", |entry| entry.backend.is_some()).await?;
        env.backends[1].kill();
        env.wait_for(WAIT_LIMIT, 1, "/wrecks/1", StatusCode::OK)
            .await?;
        let before = own.revision;
        let stranger = FleetEntry {
            node: "n9".into(),
            backend: None,
            ..own
        };
        let stranger = codec::encode(&stranger).map_err(|e| eyre::eyre!("{e}"))?;
        let _ = env.store.put(FLEET_TOPIC, "n9", &stranger);
        wait_entry(&env, "n0", "not written again", |entry| {
            entry.revision > before
        })
        .await?;
        env.wait_for(WAIT_LIMIT, 1, "/wrecks/1", StatusCode::OK)
            .await
    });
}

/// Guards against a leave that is lost because the store executes an earlier write of the entry, which had no
/// answer, after the one with the leave.
#[gtest]
fn entry_replaced_by_late_write() {
    run(async {
        let env = TestFleet::start(1).await?;
        wait_entry(&env, "n0", "no entry", |entry| entry.backend.is_some()).await?;
        env.store.change(StoreControlChange {
            late_appends: Some(1),
            late_ms: Some(2_500),
            ..StoreControlChange::default()
        });
        let addrs = &env.fleet.nodes()[0].addrs;
        let url = |call: &str| {
            format!(
                "http://{}/sycamorewick/Instances.{call}/b0",
                addrs.heartbeat
            )
        };
        let client = awc::Client::default();
        // The entry names the slots, so that this is written.
        let body = json!({
            "address": addrs.backend,
            "born": 1,
            "info": { "service": "registry", "version": "v1", "zone": "keta-a", "slots": 7 },
            "status": { "state": "ready", "seq": 1_000, "cold-left-ms": 0 },
        });
        let sent = client.post(url("Heartbeat")).send_json(&body).await;
        sent.map_err(|e| eyre::eyre!("{e}"))?;
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        let sent = client.post(url("Deregister")).send().await;
        sent.map_err(|e| eyre::eyre!("{e}"))?;
        let is_late = |value: &Bytes| {
            let entry = codec::decode::<FleetEntry>(value).ok();
            let backend = entry.and_then(|entry| entry.backend);
            backend.is_some_and(|backend| backend.slots == 7)
        };
        let until = Instant::now() + WAIT_LIMIT;
        while !env.store.history(FLEET_TOPIC, "n0").iter().any(is_late) {
            eyre::ensure!(Instant::now() < until, "the late write has no effect");
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        wait_entry(&env, "n0", "the leave is lost", |entry| {
            entry.left.is_some() && entry.backend.is_none()
        })
        .await?;
        Ok(())
    });
}

/// Guards against a version that was taken back and gets requests again: all nodes were killed after the
/// operator's result was written, and before it was recorded for the nodes. The entries of the restarted nodes
/// name no backend server at first, so that one may know no other version.
#[gtest]
fn rollout_end_known_to_operator_only() {
    run(async {
        let mut env = TestFleet::start_two_versions()?;
        // The earlier processes leave their entries, which tell the later ones of the current version.
        for node in ["n0", "n1"] {
            wait_entry(&env, node, "no entry", |entry| entry.backend.is_some()).await?;
        }
        for index in 0..2 {
            env.fleet.kill(index)?;
        }
        let order = MoveOrder {
            service: "registry".into(),
            target: "v2".into(),
            within: Duration::from_secs(20),
        };
        let text = json!({ "service": "registry", "target": "v2", "step-s": 20 }).to_string();
        let offset = env
            .store
            .put(OPERATOR_TOPIC, "rollout/registry", text.as_bytes());
        let result = config::write_result(&order, offset, MoveState::Reverted);
        let key = config::result_key(&order.service);
        let _ = env.store.put(RESULT_TOPIC, &key, &result);
        let step = MoveRecord {
            order: offset,
            state: MoveState::Step(3),
            elapsed_ms: 9_000,
            author: "n0".into(),
            era: None,
        };
        let step = codec::encode(&step).map_err(|e| eyre::eyre!("{e}"))?;
        let _ = env.store.put(MOVE_TOPIC, "registry", &step);
        for index in 0..2 {
            env.fleet.start(index)?;
        }
        env.fleet.wait_ready(WAIT_LIMIT).await?;
        let recorded = |env: &TestFleet| {
            let value = env.store.newest(MOVE_TOPIC, "registry");
            let record = value.and_then(|value| codec::decode::<MoveRecord>(&value).ok());
            record.map(|record| record.state)
        };
        let until = Instant::now() + WAIT_LIMIT;
        let mut calls = 0;
        while calls < 100 || recorded(&env) != Some(MoveState::Reverted) {
            eyre::ensure!(Instant::now() < until, "{:?} is recorded", recorded(&env));
            let _ = env.call(calls % 2, "/wrecks/1").await?;
            calls += 1;
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        expect_that!(env.backends[0].runs().len(), gt(0));
        let output = |index: usize| env.fleet.nodes()[index].process.output();
        expect_that!(
            env.backends[1].runs().len(),
            eq(0),
            "{}\n{}",
            output(0),
            output(1)
        );
        Ok(())
    });
}
