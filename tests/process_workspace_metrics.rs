//! Metrics by workspace at a real sidecar process.

mod sidecar_common;

use googletest::prelude::*;
use serde_json::json;
use sidecar_common::HOST;
use sidecar_common::POLL_MARGIN;
use sidecar_common::REQUIRED_TIME;
use sidecar_common::TestFleet;
use sidecar_common::run;
use testbed::platform::backend::ATTEMPT_HEADER;
use testbed::platform::backend::CREDENTIAL_HEADER;
use testbed::platform::store::OPERATOR_TOPIC;

const KEY: &str = "key-of-acme-88d1";
const OTHER_KEY: &str = "key-of-birch-02ce";
/// Requests that the quota of one workspace admits at most: the burst, and some for the slack of the bucket.
const MAX_ADMITTED: u64 = 40;
const REQUESTS: u64 = 60;

async fn call(env: &TestFleet, key: &str, attempt: &str) -> eyre::Result<u16> {
    let addr = env.fleet.nodes()[0].addrs.caller;
    let req = awc::Client::default().get(format!("http://{addr}/wrecks/1"));
    let req = req.insert_header(("host", HOST));
    let req = req.insert_header((ATTEMPT_HEADER, attempt));
    let sent = req.insert_header((CREDENTIAL_HEADER, key)).send();
    let response = sent.await.map_err(|e| eyre::eyre!("{e}"))?;
    Ok(response.status().as_u16())
}

async fn metrics(env: &TestFleet) -> eyre::Result<String> {
    let addr = env.fleet.nodes()[0].addrs.metrics;
    let sent = awc::Client::default().get(format!("http://{addr}/")).send();
    let mut response = sent.await.map_err(|e| eyre::eyre!("{e}"))?;
    Ok(String::from_utf8(response.body().await?.to_vec())?)
}

fn value(metrics: &str, what: &str, workspace: &str) -> Option<u64> {
    let prefix = format!("sycamorewick_workspace_{what}_total{{workspace=\"{workspace}\"}} ");
    let mut values = metrics
        .lines()
        .filter_map(|line| line.strip_prefix(&prefix));
    values.next()?.parse().ok()
}

/// Guards against counters that do not agree with what callers get, and against keys in metrics.
#[gtest]
fn counters_agree_with_responses() {
    run(async {
        let mut env = TestFleet::start(1).await?;
        let route = |prefix: &str, is_public: bool, service: &str| {
            json!({ "host": HOST, "prefix": prefix, "kind": "safe", "timeout-ms": 3000, "slo-ms": 500,
                "priority": 1, "service": service, "attempts": 2, "public": is_public })
        };
        let config = json!({
            "version": "00000002",
            "routes": { "lookup": route("/wrecks/", false, "registry"), "own": route("/v2/", true, "registry") },
            "services": { "registry": { "health-path": "/healthz", "max-conns": 100 } },
            "limits": { "header-bytes": 16384, "body-bytes": 65536, "header-ms": 3000, "idle-ms": 15000 },
            "tenants": {
                "acme": { "api-keys": [KEY], "priority": 0, "per-s": 0.01, "burst": 20 },
                "birch": { "api-keys": [OTHER_KEY] },
            },
        });
        let config = config.to_string();
        let _ = env.store.put(OPERATOR_TOPIC, "config", config.as_bytes());
        let limit = REQUIRED_TIME + POLL_MARGIN;
        env.wait_for(limit, 0, "/v2/x", actix_http::StatusCode::OK)
            .await?;
        let (mut served, mut refused) = (0, 0);
        for number in 0..REQUESTS {
            match call(&env, KEY, &format!("a{number}")).await? {
                200 => served += 1,
                429 => refused += 1,
                status => eyre::bail!("unexpected status {status}"),
            }
        }
        expect_that!(served, le(MAX_ADMITTED));
        expect_that!(call(&env, "key-of-nobody", "b").await?, eq(401));
        // Without a backend server a request is refused after it was admitted.
        env.backends[0].kill();
        let status = call(&env, OTHER_KEY, "c").await?;
        let metrics = metrics(&env).await?;
        expect_that!(value(&metrics, "admitted", "acme"), some(eq(served)));
        expect_that!(value(&metrics, "served", "acme"), some(eq(served)));
        expect_that!(value(&metrics, "quota_refused", "acme"), some(eq(refused)));
        expect_that!(value(&metrics, "refused", "acme"), some(eq(0)));
        expect_that!(value(&metrics, "admitted", "birch"), some(eq(1)));
        let is_refused = u64::from(status == 503);
        expect_that!(value(&metrics, "refused", "birch"), some(eq(is_refused)));
        expect_that!(value(&metrics, "served", "birch"), some(eq(0)));
        expect_false!(metrics.contains("key-of"));
        Ok(())
    });
}
