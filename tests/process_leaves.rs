//! Leaves of backend servers that real sidecar processes acknowledge, while the store fails or processes are
//! killed.

#[allow(
    dead_code,
    reason = "only connections that are turned away are used here"
)]
#[path = "process_common/forwarder.rs"]
mod forwarder;
mod sidecar_common;

use std::time::Duration;
use std::time::Instant;

use actix_http::StatusCode;
use forwarder::Forwarder;
use googletest::prelude::*;
use rustix::process::Signal;
use serde_json::json;
use sidecar_common::HOST;
use sidecar_common::TestFleet;
use sidecar_common::WAIT_LIMIT;
use sidecar_common::run;
use sycamorewick::coordination::membership::stopped_nodes::STOPPED_ENTRY_TIME;
use sycamorewick::platform::store::FLEET_TOPIC;
use sycamorewick::protocol::codec;
use sycamorewick::protocol::fleet::FleetEntry;
use testbed::log_server::Outage;
use testbed::platform::backend::BackendAnnouncement;
use testbed::platform::fleet::SidecarFleet;
use testbed::platform::fleet::SidecarOptions;
use testbed::platform::store::OPERATOR_TOPIC;
use testbed::platform::store::StoreControlChange;

/// Time for which a backend server waits for an acknowledgement.
const ACKNOWLEDGED_WITHIN: Duration = Duration::from_secs(1);

/// Time for which the store is away, several heartbeat intervals.
const WITHOUT_STORE: Duration = Duration::from_secs(6);

/// How a backend server says that it leaves.
#[derive(Clone, Copy, Debug)]
enum Leave {
    Deregister,
    Drain,
}

/// Reports that backend server `b0` leaves. Returns the status of the response; `None` without one in time.
async fn leave(env: &TestFleet, how: Leave) -> Option<StatusCode> {
    let addrs = &env.fleet.nodes()[0].addrs;
    let (call, body) = match how {
        Leave::Deregister => ("Deregister", json!({ "born": 1 })),
        Leave::Drain => (
            "Heartbeat",
            json!({
                "address": addrs.backend,
                "born": 1,
                "info": { "service": "registry", "version": "v1", "zone": "keta-a", "slots": 4 },
                "status": { "state": "draining", "seq": 1_000, "cold-left-ms": 0 },
            }),
        ),
    };
    let client = awc::Client::builder().timeout(ACKNOWLEDGED_WITHIN).finish();
    let url = format!(
        "http://{}/sycamorewick/Instances.{call}/b0",
        addrs.heartbeat
    );
    let sent = client.post(url).send_json(&body).await;
    Some(sent.ok()?.status())
}

/// Checks that node 0 uses no backend server while it ignores two heartbeats of `b0`, which still serves and
/// sends them as if it had not left.
async fn expect_unused(env: &mut TestFleet) -> eyre::Result<()> {
    let runs = env.backends[0].runs().len();
    let ignored = |env: &TestFleet| env.fleet.log_lines(0, "outdated heartbeat ignored").len();
    let before = ignored(env);
    let until = Instant::now() + WAIT_LIMIT;
    while ignored(env) < before + 2 {
        let status = env.call(0, "/wrecks/1").await?.status;
        eyre::ensure!(
            status == StatusCode::SERVICE_UNAVAILABLE,
            "{status} after the leave"
        );
        eyre::ensure!(Instant::now() < until, "no heartbeat is ignored");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    expect_that!(env.backends[0].runs().len(), eq(runs));
    Ok(())
}

/// Guards against an acknowledged leave that is forgotten, since all processes are killed right after the
/// acknowledgement. The store takes some time for each call.
#[gtest]
fn leave_then_all_killed() {
    for how in [Leave::Deregister, Leave::Drain] {
        run(async {
            let mut env = TestFleet::start(2).await?;
            env.backends[1].kill();
            env.store.change(StoreControlChange {
                delay_ms: Some(100),
                ..StoreControlChange::default()
            });
            expect_that!(leave(&env, how).await, some(eq(StatusCode::OK)), "{how:?}");
            for index in 0..2 {
                env.fleet.kill(index)?;
            }
            for index in 0..2 {
                env.fleet.start(index)?;
            }
            env.fleet.wait_ready(WAIT_LIMIT).await?;
            expect_unused(&mut env).await
        });
    }
}

/// Guards against a leave that is acknowledged while the store turns the node away, and forgotten when its
/// process is killed (review/4); and against one that is not acknowledged although another node reaches the
/// store.
#[gtest]
fn leave_while_store_turns_node_away() {
    run(async {
        let mut env = TestFleet::new(0)?;
        let path = Forwarder::start(env.store.addr())?;
        for (index, store) in [path.addr(), env.store.addr()].into_iter().enumerate() {
            let options = SidecarOptions::new(&format!("n{index}"), "keta-a", "registry");
            env.fleet.add(options, SidecarFleet::free_addrs(store)?)?;
            env.fleet.start(index)?;
            env.add_backend(index, 0.0)?;
        }
        env.fleet.wait_ready(WAIT_LIMIT).await?;
        env.wait_peers(0, 1).await?;
        env.backends[1].kill();
        env.wait_for(WAIT_LIMIT, 1, "/wrecks/1", StatusCode::OK)
            .await?;
        path.turn_away(true);
        expect_that!(
            leave(&env, Leave::Deregister).await,
            some(eq(StatusCode::OK))
        );
        env.fleet.kill(0)?;
        env.fleet.start(0)?;
        path.turn_away(false);
        env.fleet.wait_ready(WAIT_LIMIT).await?;
        expect_unused(&mut env).await
    });
}

/// Guards against a leave that is acknowledged while nobody can store it, and against one that is not
/// acknowledged soon after the store is back. Meanwhile the node does not use the backend server.
#[gtest]
fn leave_while_store_is_away() {
    for outage in [Outage::Refuse, Outage::Hang] {
        run(async {
            let mut env = TestFleet::start(2).await?;
            env.backends[1].kill();
            env.outage(outage);
            let answered = leave(&env, Leave::Deregister).await;
            expect_that!(
                answered,
                some(eq(StatusCode::SERVICE_UNAVAILABLE)),
                "{outage:?}"
            );
            expect_unused(&mut env).await?;
            env.outage(Outage::Off);
            let until = Instant::now() + Duration::from_secs(4);
            while leave(&env, Leave::Deregister).await != Some(StatusCode::OK) {
                eyre::ensure!(Instant::now() < until, "{outage:?}: not acknowledged");
            }
            env.fleet.kill(0)?;
            env.fleet.start(0)?;
            env.fleet.wait_ready(WAIT_LIMIT).await?;
            expect_unused(&mut env).await
        });
    }
}

/// Guards against a heartbeat that waits for the node's own entry and is used, as are later ones of its incarnation,
/// although the backend server has deregistered meanwhile.
#[gtest]
fn leave_while_heartbeat_held() {
    run(async {
        let mut env = TestFleet::new(1)?;
        env.store.change(StoreControlChange {
            delay_ms: Some(150),
            ..StoreControlChange::default()
        });
        env.fleet.start(0)?;
        let addrs = env.fleet.nodes()[0].addrs.clone();
        let client = awc::Client::builder().timeout(WAIT_LIMIT).finish();
        let send = |call: &str, body: serde_json::Value| {
            let url = format!(
                "http://{}/sycamorewick/Instances.{call}/b0",
                addrs.heartbeat
            );
            client.post(url).send_json(&body)
        };
        let heartbeat = |sequence: u64| {
            json!({
                "address": addrs.backend,
                "born": 1,
                "info": { "service": "registry", "version": "v1", "zone": "keta-a", "slots": 4 },
                "status": { "state": "ready", "seq": sequence, "cold-left-ms": 0 },
            })
        };
        let until = Instant::now() + WAIT_LIMIT;
        while send("Heartbeat", heartbeat(1)).await.is_err() {
            eyre::ensure!(Instant::now() < until, "the node does not start");
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        let left = send("Deregister", json!({})).await;
        expect_that!(left.ok().map(|r| r.status()), some(eq(StatusCode::OK)));
        let sent = send("Heartbeat", heartbeat(2)).await;
        expect_that!(sent.ok().map(|r| r.status()), some(eq(StatusCode::OK)));
        let until = Instant::now() + WAIT_LIMIT;
        while env
            .fleet
            .log_lines(0, "outdated heartbeat ignored")
            .is_empty()
        {
            let used = env.fleet.log_lines(0, "backend server changed");
            eyre::ensure!(used.is_empty(), "used after the leave: {used:?}");
            eyre::ensure!(Instant::now() < until, "the heartbeat is not ignored");
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        expect_that!(env.fleet.log_lines(0, "heartbeat held").len(), eq(1));
        expect_that!(env.fleet.log_lines(0, "backend server changed"), is_empty());
        Ok(())
    });
}

/// Guards against an acknowledged leave that is forgotten, because the process is killed and starts again while
/// the store is away: the other node has not read the leave, and is the only source.
#[gtest]
fn leave_then_restart_without_store() {
    run(async {
        let mut env = TestFleet::start(2).await?;
        env.store.change(StoreControlChange {
            missed_wakeups: Some(10),
            ..StoreControlChange::default()
        });
        expect_that!(
            leave(&env, Leave::Deregister).await,
            some(eq(StatusCode::OK))
        );
        env.outage(Outage::Refuse);
        env.fleet.kill(0)?;
        env.backends[1].kill();
        let runs = env.backends[0].runs().len();
        env.fleet.start(0)?;
        let until = Instant::now() + WITHOUT_STORE;
        while Instant::now() < until {
            let _ = env.call(1, "/wrecks/1").await?;
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        expect_that!(env.backends[0].runs().len(), eq(runs));
        env.outage(Outage::Off);
        env.fleet.wait_ready(WAIT_LIMIT).await?;
        expect_unused(&mut env).await
    });
}

/// Guards against a backend server that is not used until the store is back, although its health path confirms that
/// it has not left, and against a health check for each heartbeat; and against one that is used although its health
/// path says that it leaves, while its heartbeats do not. The process was killed and starts while the store is away.
#[gtest]
fn restart_without_store_health_checked() {
    for is_leaving in [false, true] {
        run(async {
            let mut env = TestFleet::start(2).await?;
            env.backends[1].kill();
            env.backends[0].report_health();
            env.backends[0].announce(BackendAnnouncement {
                limit_per_s: None,
                is_leaving,
            });
            env.outage(Outage::Refuse);
            env.fleet.kill(0)?;
            let runs = env.backends[0].runs().len();
            env.fleet.start(0)?;
            let until = Instant::now() + WITHOUT_STORE;
            while Instant::now() < until {
                let _ = env.call(1, "/wrecks/1").await?;
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
            let checks = env.backends[0].health_checks();
            if is_leaving {
                expect_that!(env.backends[0].runs().len(), eq(runs));
                expect_that!(checks, gt(0));
            } else {
                expect_that!(env.backends[0].runs().len(), gt(runs));
                expect_that!(checks, eq(1));
            }
            Ok(())
        });
    }
}

/// Guards against a heartbeat that is not used although a configuration from a peer names no health path, or one that
/// confirms it. The process was killed and starts while the store is away, and no further heartbeat comes.
#[gtest]
fn restart_without_store_single_heartbeat() {
    for health_path in ["", "/healthz"] {
        run(async {
            let mut env = TestFleet::start(2).await?;
            put_health_path(&env, health_path);
            for index in 0..2 {
                env.wait_for(WAIT_LIMIT, index, "/v2/1", StatusCode::OK)
                    .await?;
            }
            env.backends[1].kill();
            env.backends[0].report_health();
            env.backends[0].set_silent(true);
            env.outage(Outage::Refuse);
            env.fleet.kill(0)?;
            let runs = env.backends[0].runs().len();
            env.fleet.start(0)?;
            let addrs = env.fleet.nodes()[0].addrs.clone();
            let client = awc::Client::default();
            let body = json!({
                "address": addrs.backend,
                "born": 1,
                "info": { "service": "registry", "version": "v1", "zone": "keta-a", "slots": 4 },
                "status": { "state": "ready", "seq": 1_000, "cold-left-ms": 0 },
            });
            let url = format!(
                "http://{}/sycamorewick/Instances.Heartbeat/b0",
                addrs.heartbeat
            );
            let until = Instant::now() + WAIT_LIMIT;
            while client.post(&url).send_json(&body).await.is_err() {
                eyre::ensure!(Instant::now() < until, "the node does not start");
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
            let until = Instant::now() + WAIT_LIMIT;
            while env.backends[0].runs().len() == runs {
                eyre::ensure!(Instant::now() < until, "{health_path:?}: not used");
                let _ = env.call(1, "/wrecks/1").await?;
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
            // Otherwise the configuration was there before the heartbeat. Log lines are written some time later.
            while env.fleet.log_lines(0, "held heartbeat used").is_empty() {
                eyre::ensure!(Instant::now() < until, "{health_path:?}: not held");
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
            Ok(())
        });
    }
}

/// Writes version 2 of the configuration, with this health path; none if it is empty.
fn put_health_path(env: &TestFleet, health_path: &str) {
    let route = |prefix: &str| {
        json!({ "host": HOST, "prefix": prefix, "kind": "safe", "timeout-ms": 3000, "slo-ms": 500,
            "priority": 1, "service": "registry", "attempts": 2 })
    };
    let service = if health_path.is_empty() {
        json!({})
    } else {
        json!({ "health-path": health_path })
    };
    let config = json!({
        "version": "00000002",
        "routes": { "lookup": route("/wrecks/"), "own": route("/v2/") },
        "services": { "registry": service },
        "limits": { "header-bytes": 16384, "body-bytes": 65536, "header-ms": 3000, "idle-ms": 15000 },
    });
    let _ = env
        .store
        .put(OPERATOR_TOPIC, "config", config.to_string().as_bytes());
}

/// Writes an entry of a node that does not run. A process that starts after it reads the topic from there on.
fn put_other_entry(env: &TestFleet, name: &str) -> eyre::Result<()> {
    let entry = env.store.newest(FLEET_TOPIC, "n1");
    let mut entry: FleetEntry = codec::decode(&entry.unwrap_or_default())?;
    entry.node = name.into();
    entry.addr = testbed::fleet::free_addr()?;
    entry.backend = None;
    let _ = env.store.put(FLEET_TOPIC, name, &codec::encode(&entry)?);
    Ok(())
}

/// Guards against a leave that is acknowledged during a planned stop, or known from an earlier process, and forgotten
/// with the process: the next one uses a late heartbeat. The second stop is of a process whose backend server has left
/// before it began.
#[gtest]
fn leave_then_planned_restarts() {
    run(async {
        let mut env = TestFleet::start(2).await?;
        env.backends[1].kill();
        env.fleet.signal(0, Signal::TERM)?;
        // The backend server has reported itself to the stopping process.
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        let left = leave(&env, Leave::Deregister).await;
        expect_that!(left, some(eq(StatusCode::OK)));
        env.wait_stopped(0).await?;
        for name in ["n8", "n9"] {
            put_other_entry(&env, name)?;
            env.fleet.start(0)?;
            env.fleet.wait_ready(WAIT_LIMIT).await?;
            expect_unused(&mut env).await?;
            env.fleet.signal(0, Signal::TERM)?;
            env.wait_stopped(0).await?;
        }
        Ok(())
    });
}

/// Guards against a stopped node that its peers go on to take for one of the fleet, and against its entry that stays in
/// the store for good.
#[gtest]
fn stopped_node_leaves_fleet() {
    run(async {
        let mut env = TestFleet::start(2).await?;
        env.backends[0].request_stop();
        env.backends[0].join();
        env.fleet.signal(0, Signal::TERM)?;
        env.wait_stopped(0).await?;
        let wait_line = async |line: &str, limit: Duration| {
            let until = Instant::now() + limit;
            while env.fleet.log_lines(1, line).is_empty() {
                eyre::ensure!(Instant::now() < until, "no line: {line}");
                actix_rt::time::sleep(Duration::from_millis(50)).await;
            }
            Ok(())
        };
        wait_line("node left", WAIT_LIMIT).await?;
        let removal = "entry of a stopped node removed";
        wait_line(removal, STOPPED_ENTRY_TIME + WAIT_LIMIT).await?;
        let stored = env.store.newest(FLEET_TOPIC, "n0").unwrap_or_default();
        expect_that!(stored.len(), eq(0));
        Ok(())
    });
}
