//! Heartbeats and deregistrations that are not from the backend server beside a node, sent to real sidecar
//! processes.

mod sidecar_common;

use std::time::Duration;
use std::time::Instant;

use actix_http::StatusCode;
use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;
use sidecar_common::TestFleet;
use sidecar_common::WAIT_LIMIT;
use sidecar_common::run;

/// Start time that is later than that of every backend server of the tests.
const LATER_START: u64 = 4_000_000_000_000;
/// Time in which a backend server sends several heartbeats.
const OBSERVED_TIME: Duration = Duration::from_millis(1_500);

/// Sends a call about a backend server to a node and returns the status of the response.
async fn post(env: &TestFleet, index: usize, call: &str, body: String) -> eyre::Result<StatusCode> {
    let addr = env.fleet.nodes()[index].addrs.heartbeat;
    let client = awc::Client::default();
    let req = client.post(format!("http://{addr}/sycamorewick/Instances.{call}"));
    let sent = req.send_body(body).await;
    Ok(sent.map_err(|e| eyre::eyre!("{e}"))?.status())
}

/// Body of a heartbeat of a backend server at a node.
fn heartbeat(env: &TestFleet, index: usize, service: &str, born: Option<u64>, seq: u64) -> Value {
    let mut body = json!({
        "address": env.fleet.nodes()[index].addrs.backend,
        "info": { "service": service, "version": "v1", "zone": "keta-a", "slots": 4 },
        "status": { "state": "ready", "seq": seq, "cold-left-ms": 0 },
    });
    if let Some(born) = born {
        body["born"] = born.into();
    }
    body
}

/// Checks that the calls to all nodes are served for some time.
async fn expect_served(env: &mut TestFleet, nodes: usize, what: &str) -> eyre::Result<()> {
    let until = Instant::now() + OBSERVED_TIME;
    let mut index = 0;
    while Instant::now() < until {
        let status = env.call(index % nodes, "/wrecks/1").await?.status;
        eyre::ensure!(
            status == StatusCode::OK,
            "{status} after {what}, call {index}"
        );
        index += 1;
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Guards against a heartbeat of another service, or of a backend server on another instance, that replaces
/// the local one for good: each call got 503 from then on (review/3).
#[gtest]
fn heartbeat_of_foreign_backend() {
    run(async {
        let mut env = TestFleet::start(2).await?;
        for (what, service) in [
            ("another service", "harbour"),
            ("another address", "registry"),
        ] {
            for index in 0..2 {
                let mut body = heartbeat(&env, index, service, Some(LATER_START), 1);
                if service == "registry" {
                    body["address"] = json!("127.0.0.1:9");
                }
                let status = post(&env, index, "Heartbeat/stranger", body.to_string()).await?;
                expect_that!(status, eq(StatusCode::BAD_REQUEST), "{what}");
            }
            expect_served(&mut env, 2, what).await?;
        }
        Ok(())
    });
}

/// Guards against a heartbeat that does not name its start: it replaced the local backend server, and brought
/// one back that had left.
#[gtest]
fn heartbeat_without_start() {
    run(async {
        let mut env = TestFleet::start(2).await?;
        for id in ["b0", "stranger"] {
            let body = heartbeat(&env, 0, "registry", None, 900).to_string();
            let status = post(&env, 0, &format!("Heartbeat/{id}"), body).await?;
            expect_that!(status, eq(StatusCode::BAD_REQUEST), "{id}");
        }
        expect_served(&mut env, 2, "heartbeats without a start").await?;
        let body = json!({ "born": 1 }).to_string();
        let status = post(&env, 0, "Deregister/b0", body).await?;
        expect_that!(status, eq(StatusCode::OK));
        let runs = env.backends[0].runs().len();
        let body = heartbeat(&env, 0, "registry", None, 900).to_string();
        post(&env, 0, "Heartbeat/b0", body).await?;
        expect_served(&mut env, 2, "the leave of a backend server").await?;
        expect_that!(env.backends[0].runs().len(), eq(runs));
        Ok(())
    });
}

/// Guards against a deregistration with an unreadable body that ends the use of the local backend server.
#[gtest]
fn deregistration_unreadable() {
    run(async {
        let mut env = TestFleet::start(1).await?;
        for body in [r#"{"born":"now"}"#, r#"{"born":null}"#, "{"] {
            let status = post(&env, 0, "Deregister/b0", body.into()).await?;
            expect_that!(status, eq(StatusCode::BAD_REQUEST), "{body}");
        }
        expect_served(&mut env, 1, "unreadable deregistrations").await
    });
}

/// Guards against deregistrations of unknown backend servers that displace the leave of the local one: the
/// next process of the node used it again.
#[gtest]
fn deregistration_of_strangers() {
    run(async {
        let mut env = TestFleet::start(1).await?;
        let status = post(&env, 0, "Deregister/b0", r#"{"born":1}"#.into()).await?;
        expect_that!(status, eq(StatusCode::OK));
        for number in 2..32 {
            let body = json!({ "born": number }).to_string();
            post(&env, 0, &format!("Deregister/stranger-{number}"), body).await?;
        }
        // The entry with the last of them is written by then.
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        let runs = env.backends[0].runs().len();
        env.fleet.kill(0)?;
        env.fleet.start(0)?;
        env.fleet.wait_ready(WAIT_LIMIT).await?;
        // The backend server still serves, and sends heartbeats as if it had not deregistered.
        let until = Instant::now() + OBSERVED_TIME;
        while Instant::now() < until {
            let status = env.call(0, "/wrecks/1").await?.status;
            expect_that!(status, eq(StatusCode::SERVICE_UNAVAILABLE));
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        expect_that!(env.backends[0].runs().len(), eq(runs));
        Ok(())
    });
}
