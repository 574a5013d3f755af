//! Messages about the requests of workspaces with a quota, between real processes.

mod sidecar_common;

use std::time::Duration;
use std::time::Instant;

use actix_http::StatusCode;
use googletest::prelude::*;
use serde_json::json;
use sidecar_common::HOST;
use sidecar_common::TestFleet;
use sidecar_common::WAIT_LIMIT;
use sidecar_common::run;
use sycamorewick::protocol::codec;
use sycamorewick::protocol::usage::UsageReport;
use sycamorewick::protocol::usage::UsageRequest;
use sycamorewick::protocol::usage::UsageTotals;
use sycamorewick::protocol::usage::WorkspaceCount;
use testbed::platform::store::OPERATOR_TOPIC;

/// Sends a report with admitted requests of the workspace to a node.
async fn report(env: &TestFleet, index: usize, admitted: i64) -> eyre::Result<UsageTotals> {
    let request = UsageRequest::Report(UsageReport {
        node: "reporter".into(),
        run: 1,
        acknowledged_by: 0,
        since: 0,
        counts: vec![WorkspaceCount {
            workspace: "acme".into(),
            acknowledged: 0,
            admitted,
            demand: 1,
            level: None,
        }],
    });
    let body = codec::encode(&request).map_err(|failure| eyre::eyre!(failure.text))?;
    let addr = env.fleet.nodes()[index].addrs.node;
    let client = awc::Client::default();
    let sent = client
        .post(format!("http://{addr}/sw/usage"))
        .send_body(body);
    let mut response = sent.await.map_err(|e| eyre::eyre!("{e}"))?;
    eyre::ensure!(response.status() == StatusCode::OK, "{}", response.status());
    codec::decode(&response.body().await?).map_err(|failure| eyre::eyre!(failure.text))
}

/// Guards against counts that one process does not read from the messages of another.
#[gtest]
fn usage_of_other_nodes() {
    run(async {
        let env = TestFleet::start(2).await?;
        let config = json!({
            "version": "00000002",
            "routes": { "lookup": { "host": HOST, "prefix": "/wrecks/", "kind": "safe", "timeout-ms": 3000,
                "slo-ms": 500, "priority": 1, "service": "registry", "attempts": 2 } },
            "services": { "registry": { "health-path": "/healthz", "max-conns": 100 } },
            "limits": { "header-bytes": 16384, "body-bytes": 65536, "header-ms": 3000, "idle-ms": 15000 },
            "tenants": { "acme": { "api-keys": ["k"], "priority": 0, "per-s": 0.01, "burst": 1000 } },
        });
        let before = env.fleet.log_lines(1, "collector of usage chosen");
        expect_that!(before, is_empty());
        let _ = env
            .store
            .put(OPERATOR_TOPIC, "config", config.to_string().as_bytes());
        // The other node sends its first report to this one.
        let until = Instant::now() + WAIT_LIMIT;
        while env
            .fleet
            .log_lines(1, "collector of usage chosen")
            .is_empty()
        {
            eyre::ensure!(Instant::now() < until, "no report of the other node");
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        let first = report(&env, 0, 0).await?;
        eyre::ensure!(first.totals.len() == 1, "{first:?}");
        let last = report(&env, 0, 600).await?;
        let used = first.totals[0].level - last.totals[0].level;
        expect_that!(used, ge(599.0));
        expect_that!(used, le(601.0));
        expect_that!(env.fleet.log_lines(1, "usage not exchanged"), is_empty());
        Ok(())
    });
}
