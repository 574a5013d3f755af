//! A real sidecar beside a backend server that is cold.

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
use sidecar_common::send_call;
use testbed::platform::backend::HEALTH_PATH;
use testbed::platform::backend::HEARTBEAT_INTERVAL;
use testbed::platform::fleet::SidecarFleet;
use testbed::platform::fleet::SidecarOptions;
use testbed::platform::store::OPERATOR_TOPIC;

/// Requests a second that a cold backend server tolerates, and the rule for requests beyond it.
const COLD_PER_S: f64 = 13.0;
const COLD_EXCESS: f64 = 1.5;
const COLD_SLACK: f64 = 8.0;
/// Longer than the test takes.
const COLD_TIME: Duration = Duration::from_mins(10);
const CALLERS: usize = 16;
const CALLER_PAUSE: Duration = Duration::from_millis(10);
/// Time for which the callers send, several times the second that is counted.
const LOAD_TIME: Duration = Duration::from_millis(2_500);
const CHANGED: &str = "backend server became cold or warm";

/// Starts two nodes; the backend server of the first one is cold.
async fn start() -> eyre::Result<TestFleet> {
    let mut env = TestFleet::new(0)?;
    put_config(&env);
    for (index, id) in ["n0", "n1"].into_iter().enumerate() {
        let options = SidecarOptions {
            cold_excess_and_slack: (COLD_EXCESS, COLD_SLACK),
            ..SidecarOptions::new(id, "keta-a", "registry")
        };
        let addrs = SidecarFleet::free_addrs(env.store.addr())?;
        env.fleet.add(options, addrs)?;
        env.fleet.start(index)?;
    }
    env.fleet.wait_ready(WAIT_LIMIT).await?;
    for index in 0..2 {
        env.add_backend(index, 0.0)?;
    }
    env.backends[0].report_health();
    env.backends[0].set_cold(COLD_TIME);
    wait_change(&env, 0, |line| line["cold_left_ms"] != 0).await?;
    for index in 0..2 {
        env.wait_peers(index, 1).await?;
    }
    Ok(env)
}

fn put_config(env: &TestFleet) {
    let config = json!({
        "version": "00000002",
        "routes": { "lookup": { "host": HOST, "prefix": "/wrecks/", "kind": "safe", "timeout-ms": 3000,
            "slo-ms": 500, "priority": 1, "service": "registry", "attempts": 2 } },
        "services": { "registry": { "health-path": HEALTH_PATH, "max-conns": 100, "cold-s": 5,
            "cold-per-s": COLD_PER_S } },
        "limits": { "header-bytes": 16384, "body-bytes": 65536, "header-ms": 3000, "idle-ms": 15000 },
    });
    let config = config.to_string();
    let _offset = env.store.put(OPERATOR_TOPIC, "config", config.as_bytes());
}

/// Waits until the last change of the cold state that the first node has logged is as expected, after `known`
/// earlier ones.
async fn wait_change(
    env: &TestFleet,
    known: usize,
    is_expected: impl Fn(&serde_json::Value) -> bool,
) -> eyre::Result<serde_json::Value> {
    let until = Instant::now() + WAIT_LIMIT;
    loop {
        let lines = env.fleet.log_lines(0, CHANGED);
        if let Some(line) = lines.get(known..).and_then(<[_]>::last)
            && is_expected(line)
        {
            return Ok(line.clone());
        }
        eyre::ensure!(Instant::now() < until, "changes: {lines:?}");
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Sends calls to both nodes for some time, whatever their responses are.
async fn load(env: &TestFleet, name: &str) {
    let until = Instant::now() + LOAD_TIME;
    let nodes = env.fleet.nodes();
    let callers = (0..CALLERS).map(|caller| {
        let addr = nodes[caller % nodes.len()].addrs.caller;
        async move {
            let mut call = 0;
            while Instant::now() < until {
                let attempt = format!("{name}-{caller}-{call}");
                let _ = send_call(addr, attempt, "/wrecks/1").await;
                call += 1;
                actix_rt::time::sleep(CALLER_PAUSE).await;
            }
        }
    });
    futures_util::future::join_all(callers).await;
}

/// Checks the rule for all seconds after `since`, and that the backend server got requests at all.
fn expect_bounded(env: &TestFleet, since: Instant, what: &str) {
    let arrivals = env.backends[0].cold_arrivals();
    let first = arrivals.partition_point(|at| *at < since);
    let arrivals = &arrivals[first..];
    expect_that!(arrivals.len(), ge(5), "{what}");
    let window = Duration::from_secs(1);
    let windows = arrivals.iter().enumerate();
    let counts = windows.map(|(first, at)| {
        let end = arrivals.partition_point(|other| *other < *at + window);
        end - first
    });
    let most = u32::try_from(counts.max().unwrap_or(0)).unwrap_or(u32::MAX);
    let allowed = COLD_PER_S * COLD_EXCESS + COLD_SLACK;
    expect_that!(f64::from(most), le(allowed), "{what}");
}

/// Guards against a cold backend server that gets what a warm one bears: from the callers of two nodes, over a
/// restart of the node beside it, and when it becomes cold again without a restart.
#[gtest]
fn cold_backend_under_load() {
    run(async {
        let mut env = start().await?;
        let since = Instant::now();
        load(&env, "cold").await;
        expect_bounded(&env, since, "at first");

        env.fleet.kill(0)?;
        env.fleet.start(0)?;
        // The callers of the other node reach the backend server as soon as the node has its first heartbeat.
        load(&env, "restarted").await;
        expect_bounded(&env, since, "over a restart");

        env.fleet.wait_ready(WAIT_LIMIT).await?;
        let known = env.fleet.log_lines(0, CHANGED).len();
        env.backends[0].set_cold(Duration::ZERO);
        wait_change(&env, known, |line| line["cold_left_ms"] == 0).await?;
        load(&env, "warm").await;

        let known = env.fleet.log_lines(0, CHANGED).len();
        env.backends[0].set_cold(COLD_TIME);
        let again = async {
            wait_change(&env, known, |line| line["cold_left_ms"] != 0).await?;
            let since = Instant::now();
            load(&env, "again").await;
            eyre::Ok(since)
        };
        let (since, ()) = futures_util::future::join(again, load(&env, "before")).await;
        expect_bounded(&env, since?, "cold again");
        Ok(())
    });
}

/// Guards against a node that sends a backend server what a warm one bears since heartbeats are missing, while its
/// health path says that it is cold, and against probes without a reason.
#[gtest]
fn silent_backend_is_probed() {
    run(async {
        let mut env = start().await?;
        let known = env.fleet.log_lines(0, CHANGED).len();
        env.backends[0].set_cold(Duration::ZERO);
        wait_change(&env, known, |line| line["cold_left_ms"] == 0).await?;
        for _ in 0..5 {
            env.wait_for(WAIT_LIMIT, 0, "/wrecks/1", StatusCode::OK)
                .await?;
        }
        expect_that!(env.backends[0].health_checks(), eq(0));

        let known = env.fleet.log_lines(0, CHANGED).len();
        let until = Instant::now() + WAIT_LIMIT;
        while env.backends[0].health_checks() == 0 {
            eyre::ensure!(Instant::now() < until, "no probe");
            env.backends[0].set_silent(true);
            env.backends[0].set_cold(COLD_TIME);
            // The node stops using its backend server after four missing heartbeats, which ends the trial.
            let trial_until = Instant::now() + HEARTBEAT_INTERVAL * 4;
            while Instant::now() < trial_until && env.backends[0].health_checks() == 0 {
                env.call(0, "/wrecks/1").await?;
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
            if env.backends[0].health_checks() == 0 {
                env.backends[0].set_cold(Duration::ZERO);
                env.backends[0].set_silent(false);
                actix_rt::time::sleep(HEARTBEAT_INTERVAL * 2).await;
            }
        }
        let line = wait_change(&env, known, |line| line["cold_left_ms"] != 0).await?;
        expect_that!(line["source"].as_str(), some(eq("health path")));
        Ok(())
    });
}
