//! Orders of operators that follow each other, with real sidecar processes.

mod sidecar_common;

use std::time::Duration;
use std::time::Instant;

use actix_http::StatusCode;
use googletest::prelude::*;
use serde_json::json;
use sidecar_common::TestFleet;
use sidecar_common::WAIT_LIMIT;
use sidecar_common::run;
use sycamorewick::protocol::codec;
use sycamorewick::protocol::fleet::MoveRecord;
use sycamorewick::protocol::fleet::MoveState;
use testbed::platform::store::OPERATOR_TOPIC;

const MOVE_TOPIC: &str = "keyed.moves";
/// Calls after the second order, of which half are sent to the node of the banned version.
const CALLS: usize = 60;

/// Writes an order to use a version. Returns its offset.
fn put_order(env: &TestFleet, version: &str) -> u64 {
    let order = json!({ "service": "registry", "target": version, "step-s": 20 }).to_string();
    env.store
        .put(OPERATOR_TOPIC, "rollout/registry", order.as_bytes())
}

/// Waits until a node has logged a message so often.
async fn wait_lines(
    env: &TestFleet,
    index: usize,
    message: &str,
    count: usize,
) -> eyre::Result<()> {
    let until = Instant::now() + WAIT_LIMIT;
    while env.fleet.log_lines(index, message).len() < count {
        eyre::ensure!(Instant::now() < until, "node {index}: no line {message:?}");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Guards against a version that was taken back and gets requests again because the operator orders another
/// one.
#[gtest]
fn ban_outlives_next_order() {
    run(async {
        let mut env = TestFleet::start_two_versions()?;
        env.wait_fleet().await?;
        let order = put_order(&env, "v2");
        let reverted = MoveRecord {
            order,
            state: MoveState::Reverted,
            elapsed_ms: 2_000,
            author: "n0".into(),
            era: None,
        };
        let reverted = codec::encode(&reverted).map_err(|e| eyre::eyre!("{e}"))?;
        let _ = env.store.put(MOVE_TOPIC, "registry", &reverted);
        for index in 0..2 {
            wait_lines(&env, index, "rollout progress received", 1).await?;
        }
        let before = env.backends[1].runs().len();
        for call in 0..CALLS {
            let reply = env.call(call % 2, "/wrecks/1").await?;
            expect_that!(reply.status, eq(StatusCode::OK));
        }
        expect_that!(env.backends[1].runs().len(), eq(before));
        let _ = put_order(&env, "v3");
        for index in 0..2 {
            wait_lines(&env, index, "rollout order received", 2).await?;
        }
        for call in 0..CALLS {
            let _ = env.call(call % 2, "/wrecks/1").await?;
        }
        expect_that!(env.backends[1].runs().len(), eq(before));
        Ok(())
    });
}
