//! Publications, rollouts and restarts of real node processes while the log or other nodes fail.

mod process_common;

use std::time::Duration;
use std::time::Instant;

use actix_http::Method;
use process_common::Call;
use process_common::WAIT_TIMEOUT;
use process_common::backend_options;
use process_common::call;
use process_common::check_invariants;
use process_common::check_report;
use process_common::document;
use process_common::document_with_rollout;
use process_common::publish;
use process_common::run_test;
use process_common::start_fleet;
use process_common::start_serving_fleet;
use process_common::wait_alive;
use process_common::wait_backends;
use process_common::wait_for;
use serde_json::Value;
use serde_json::json;
use sycamorewick::protocol::codec;
use sycamorewick::protocol::record::CONFIG_STREAM;
use sycamorewick::protocol::record::ConfigRecord;
use sycamorewick::protocol::record::OUTCOME_STREAM;
use sycamorewick::protocol::record::OutcomeRecord;
use testbed::backend_server::BackendHandle;
use testbed::backend_server::Fault;
use testbed::caller::CallerOptions;
use testbed::caller::CallerThread;
use testbed::fleet::Fleet;
use testbed::log_server::Outage;
use uuid::Uuid;

fn now_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, sycamorewick::protocol::time::millis)
}

/// A rollout from `v1` to `v2` that starts now and must finish within `seconds`.
fn rollout(seconds: u64) -> Value {
    let start = now_ms();
    json!({
        "from": "v1", "to": "v2", "start_ms": start, "finish_by_ms": start + seconds * 1_000,
        "steps": [10, 50, 100], "hold_s": 1, "min_calls": 20,
    })
}

/// Starts a caller that sends 80 requests per second to these nodes.
fn start_load(fleet: &Fleet, entries: &[usize], seconds: u64) -> eyre::Result<CallerThread> {
    let targets = entries.iter().map(|i| fleet.nodes()[*i].request_addr);
    let mut options = CallerOptions::new(targets.collect(), 80.0, Duration::from_secs(seconds));
    options.timeout = Duration::from_secs(20);
    Ok(CallerThread::start(options)?)
}

/// Starts a backend server of `v2` at a node.
fn start_v2(fleet: &Fleet, index: usize, error_rate: f64) -> eyre::Result<BackendHandle> {
    let mut options = backend_options("new", "v2");
    options.faults = vec![Fault {
        error_rate,
        ..Fault::default()
    }];
    fleet.start_backend(index, options)
}

async fn rollout_phase(fleet: &Fleet, index: usize) -> String {
    let status = fleet.status(index).await.unwrap_or_default();
    let phase = &status["services"][0]["rollout"]["phase"];
    phase.as_str().unwrap_or_default().to_owned()
}

async fn wait_rollout_phase(fleet: &Fleet, wanted: &str) -> eyre::Result<Duration> {
    let what = format!("rollout {wanted}");
    fleet
        .wait_for_nodes(&what, WAIT_TIMEOUT, |index| async move {
            rollout_phase(fleet, index).await == wanted
        })
        .await
}

/// Waits until the log holds an outcome with this code, and returns it.
async fn wait_outcome(fleet: &Fleet, code: u16) -> eyre::Result<OutcomeRecord> {
    let find_outcome = || {
        let records = fleet.log().records(OUTCOME_STREAM);
        let outcomes = records
            .iter()
            .filter_map(|(_, bytes)| codec::decode::<OutcomeRecord>(bytes).ok());
        outcomes.into_iter().find(|outcome| outcome.code == code)
    };
    wait_for(&format!("outcome {code} is in the log"), || async {
        find_outcome().is_some()
    })
    .await?;
    find_outcome().ok_or_else(|| eyre::eyre!("the log has no outcome {code}"))
}

/// Ids of the publications in the log.
fn publish_ids(fleet: &Fleet) -> Vec<Uuid> {
    let records = fleet.log().records(CONFIG_STREAM);
    let ids = records
        .iter()
        .filter_map(|(_, bytes)| match codec::decode::<ConfigRecord>(bytes) {
            Ok(ConfigRecord::Publish(publish)) => Some(publish.publish_id),
            _ => None,
        });
    ids.collect()
}

/// Publishes a document whose content depends on the author, and returns the reply.
async fn publish_as(
    fleet: &Fleet,
    index: usize,
    id: Uuid,
    base: u64,
    author: &str,
) -> eyre::Result<Value> {
    let mut document = document(fleet);
    document.services[0].slots = 10 + u32::try_from(author.len()).unwrap_or_default();
    let body = json!({ "publish_id": id, "base": base, "author": author, "document": document });
    let (_, body) = fleet
        .operator(index, Method::POST, "/v1/publish", Some(&body))
        .await?;
    Ok(serde_json::from_slice(&body).unwrap_or_default())
}

/// Version and digest of the configuration at each node, with adjacent duplicates removed.
async fn distinct_configs(fleet: &Fleet) -> eyre::Result<Vec<(Value, Value)>> {
    let mut all = Vec::new();
    for index in 0..fleet.nodes().len() {
        let status = fleet.status(index).await?;
        all.push((status["version"].clone(), status["digest"].clone()));
    }
    all.dedup();
    Ok(all)
}

/// Guards against a rollout or calls that fail without the log, a publication that is reported as
/// accepted without it, and outcomes that are lost during an outage.
#[test]
fn rollout_completes_while_the_log_refuses_requests() {
    run_test(async {
        let (fleet, _backends, _) = start_serving_fleet(4, &[0, 1]).await?;
        let _new = [start_v2(&fleet, 2, 0.0)?, start_v2(&fleet, 3, 0.0)?];
        wait_backends(&fleet, 4).await?;
        let load = start_load(&fleet, &[0, 1], 24)?;
        let plan = rollout(20);
        let finish_by = plan["finish_by_ms"].as_u64().unwrap_or_default();
        let version = publish(&fleet, 0, &document_with_rollout(&fleet, &plan)).await?;
        fleet.wait_version(version, WAIT_TIMEOUT).await?;
        fleet.log().set_outage(Outage::Refuse);
        let reply = fleet.publish(1, None, &document(&fleet)).await?;
        eyre::ensure!(reply.body["result"] == "not confirmed", "{}", reply.body);
        wait_rollout_phase(&fleet, "complete").await?;
        let late_ms = now_ms().saturating_sub(finish_by);
        eyre::ensure!(late_ms == 0, "the rollout completed {late_ms} ms late");
        let report = load.join()?;
        check_report(&report)?;
        eyre::ensure!(report.with_status(200) == report.sent, "{report:?}");
        fleet.log().set_outage(Outage::Off);
        wait_outcome(&fleet, 1003).await?;
        check_invariants(&fleet).await
    });
}

/// Guards against a rollback that waits for the log, or that is not in the log after the outage.
#[test]
fn bad_version_rolled_back_while_the_log_hangs() {
    run_test(async {
        let (fleet, _backends, _) = start_serving_fleet(4, &[0, 1]).await?;
        let _new = [start_v2(&fleet, 2, 0.5)?, start_v2(&fleet, 3, 0.5)?];
        wait_backends(&fleet, 4).await?;
        let load = start_load(&fleet, &[0, 1], 14)?;
        let version = publish(&fleet, 0, &document_with_rollout(&fleet, &rollout(30))).await?;
        fleet.wait_version(version, WAIT_TIMEOUT).await?;
        fleet.log().set_outage(Outage::Hang);
        wait_rollout_phase(&fleet, "taken back").await?;
        check_report(&load.join()?)?;
        // Several nodes with backend servers may decide at the same time. All nodes must keep the same
        // decision.
        wait_for("all nodes have the same rollback", || async {
            let mut all = Vec::new();
            for index in 0..4 {
                let status = fleet.status(index).await.unwrap_or_default();
                all.push(status["rollbacks"].clone());
            }
            all.dedup();
            all.len() == 1
        })
        .await?;
        fleet.log().set_outage(Outage::Off);
        wait_outcome(&fleet, 1005).await?;
        wait_for("the rollback is in the log", || async {
            let records = fleet.log().records(CONFIG_STREAM);
            let mut decoded = records.iter().map(|(_, bytes)| codec::decode(bytes));
            decoded.any(|record| matches!(record, Ok(ConfigRecord::Rollback(_))))
        })
        .await?;
        check_invariants(&fleet).await
    });
}

/// Guards against a bad version that is not rolled back because a node is killed during the rollout.
/// The version only hangs, so the nodes that serve it must count calls without a response.
#[test]
fn hanging_version_rolled_back_while_a_node_is_killed() {
    run_test(async {
        let (mut fleet, _backends, _) = start_serving_fleet(5, &[0, 1, 4]).await?;
        let mut new = Vec::new();
        for index in [2, 3] {
            let mut options = backend_options(&format!("new{index}"), "v2");
            options.faults = vec![Fault {
                hang: true,
                ..Fault::default()
            }];
            new.push(fleet.start_backend(index, options)?);
        }
        wait_backends(&fleet, 5).await?;
        let load = start_load(&fleet, &[0, 1], 20)?;
        let version = publish(&fleet, 0, &document_with_rollout(&fleet, &rollout(60))).await?;
        fleet.wait_version(version, WAIT_TIMEOUT).await?;
        wait_for("the new version gets calls", || async {
            new.iter().any(|b| b.report().counters.ran > 0)
        })
        .await?;
        fleet.kill_node(4)?;
        let took = wait_rollout_phase(&fleet, "taken back").await?;
        println!("the version was rolled back after {took:?}");
        check_report(&load.join()?)?;
        wait_outcome(&fleet, 1005).await?;
        check_invariants(&fleet).await
    });
}

/// Guards against calls or publications that fail because the log is slow.
#[test]
fn calls_and_publications_with_a_slow_log() {
    run_test(async {
        let (fleet, _backends, _) = start_serving_fleet(3, &[0, 1]).await?;
        fleet.log().set_delay(Duration::from_millis(700));
        let load = start_load(&fleet, &[0, 2], 6)?;
        let version = publish(&fleet, 2, &document(&fleet)).await?;
        fleet.wait_version(version, WAIT_TIMEOUT).await?;
        let report = load.join()?;
        check_report(&report)?;
        eyre::ensure!(report.with_status(200) == report.sent, "{report:?}");
        wait_outcome(&fleet, 1008).await?;
        check_invariants(&fleet).await
    });
}

/// Guards against two concurrent publications on one base that both take effect, against a rejected
/// one whose author is not told, and against nodes with different configurations.
#[test]
fn concurrent_publications_on_one_base() {
    run_test(async {
        let fleet = start_fleet(4).await?;
        let mut base = publish(&fleet, 0, &document(&fleet)).await?;
        fleet.wait_version(base, WAIT_TIMEOUT).await?;
        for _ in 0..5 {
            let (first, second) = futures_util::future::join(
                publish_as(&fleet, 0, Uuid::now_v7(), base, "ann"),
                publish_as(&fleet, 3, Uuid::now_v7(), base, "barbara"),
            )
            .await;
            let replies = [first?, second?];
            let count = |result: &str| replies.iter().filter(|r| r["result"] == result).count();
            eyre::ensure!(
                count("accepted") == 1 && count("refused") == 1,
                "{replies:?}"
            );
            let accepted = replies.iter().find_map(|r| r["version"].as_u64());
            base = accepted.ok_or_else(|| eyre::eyre!("no reply has a version: {replies:?}"))?;
            fleet.wait_version(base, WAIT_TIMEOUT).await?;
            let configs = distinct_configs(&fleet).await?;
            eyre::ensure!(configs.len() == 1 && configs[0].0 == base, "{configs:?}");
        }
        wait_outcome(&fleet, 2001).await?;
        check_invariants(&fleet).await
    });
}

/// Guards against a publication that takes effect twice because the response to its append was lost
/// and its author retried.
#[test]
fn lost_append_response_does_not_publish_twice() {
    run_test(async {
        let fleet = start_fleet(3).await?;
        let base = publish(&fleet, 0, &document(&fleet)).await?;
        fleet.wait_version(base, WAIT_TIMEOUT).await?;
        wait_outcome(&fleet, 1008).await?;
        let id = Uuid::now_v7();
        // The lost response may also be the one to an append of outcomes.
        let mut replies = Vec::new();
        for entry in [0, 1, 2] {
            fleet.log().lose_responses(1);
            let reply = publish_as(&fleet, entry, id, base, "ann").await?;
            replies.push(reply);
        }
        fleet.log().lose_responses(0);
        let last = publish_as(&fleet, 1, id, base, "ann").await?;
        eyre::ensure!(
            last["result"] == "accepted",
            "{last}, earlier replies {replies:?}"
        );
        let version = last["version"].as_u64().unwrap_or_default();
        for reply in &replies {
            let allowed = reply["result"] == "not confirmed" || reply["version"] == version;
            eyre::ensure!(allowed, "{replies:?}");
        }
        fleet.wait_version(version, WAIT_TIMEOUT).await?;
        let configs = distinct_configs(&fleet).await?;
        eyre::ensure!(configs.len() == 1 && configs[0].0 == version, "{configs:?}");
        println!(
            "replies {replies:?}, publications in the log: {}",
            publish_ids(&fleet).len()
        );
        check_invariants(&fleet).await
    });
}

/// Status and body of the readiness check; status 0 and the error if there is no response.
async fn readyz(fleet: &Fleet, index: usize) -> (u16, String) {
    match fleet.operator(index, Method::GET, "/readyz", None).await {
        Ok((status, body)) => (
            status.as_u16(),
            String::from_utf8_lossy(&body).trim().to_owned(),
        ),
        Err(e) => (0, e.to_string()),
    }
}

/// Guards against a node that starts without the log and serves an old version. Peers in two other
/// failure domains must confirm the version; peers in one do not suffice.
#[test]
fn restart_without_the_log_needs_two_failure_domains() {
    run_test(async {
        // Nodes 0 and 3 are in the first failure domain, 1 in the second, 2 in the third.
        let mut fleet = start_fleet(4).await?;
        let old = publish(&fleet, 0, &document(&fleet)).await?;
        fleet.wait_version(old, WAIT_TIMEOUT).await?;
        fleet.kill_node(0)?;
        let version = publish(&fleet, 1, &document(&fleet)).await?;
        fleet.wait_version(version, WAIT_TIMEOUT).await?;
        fleet.log().set_outage(Outage::Refuse);
        fleet.start_node(0)?;
        fleet.wait_ready(WAIT_TIMEOUT).await?;
        let status = fleet.status(0).await?;
        eyre::ensure!(status["version"] == version, "{status}");
        let (_, text) = readyz(&fleet, 0).await;
        eyre::ensure!(text.contains("peers"), "{text}");
        // Node 2 is the only running node in another failure domain.
        fleet.kill_node(0)?;
        fleet.kill_node(1)?;
        fleet.kill_node(3)?;
        fleet.start_node(0)?;
        wait_for("the restarted node has the version of its peer", || async {
            fleet
                .status(0)
                .await
                .is_ok_and(|status| status["version"] == version)
        })
        .await?;
        for _ in 0..10 {
            let (status, text) = readyz(&fleet, 0).await;
            eyre::ensure!(status == 503 && text.contains("1 more"), "{status} {text}");
            let response = call(fleet.nodes()[0].request_addr, &Call::get("/a")).await?;
            eyre::ensure!(
                response.code == "4015" && response.run == "no",
                "{response:?}"
            );
            actix_rt::time::sleep(Duration::from_millis(200)).await;
        }
        fleet.log().set_outage(Outage::Off);
        fleet.wait_ready(WAIT_TIMEOUT).await?;
        check_invariants(&fleet).await
    });
}

/// Waits until a node is ready and returns the first status that says so.
async fn first_ready_status(fleet: &Fleet, index: usize) -> eyre::Result<Value> {
    let start = Instant::now();
    while start.elapsed() < WAIT_TIMEOUT {
        if let Ok(status) = fleet.status(index).await
            && status["ready"] == true
        {
            return Ok(status);
        }
        actix_rt::time::sleep(Duration::from_millis(1)).await;
    }
    eyre::bail!("node {index} did not become ready within {WAIT_TIMEOUT:?}")
}

/// Guards against a configuration or a rollback that is lost when all nodes restart at once, and
/// against nodes that serve an older version after the restart.
#[test]
fn configuration_and_rollback_survive_a_restart_of_all_nodes() {
    run_test(async {
        let (mut fleet, mut servers, _) = start_serving_fleet(5, &[0, 1]).await?;
        servers.push(start_v2(&fleet, 2, 0.6)?);
        wait_backends(&fleet, 3).await?;
        let load = start_load(&fleet, &[0, 1], 12)?;
        let version = publish(&fleet, 0, &document_with_rollout(&fleet, &rollout(60))).await?;
        fleet.wait_version(version, WAIT_TIMEOUT).await?;
        wait_rollout_phase(&fleet, "taken back").await?;
        check_report(&load.join()?)?;
        wait_for("the rollback is in the log", || async {
            let records = fleet.log().records(CONFIG_STREAM);
            let mut decoded = records.iter().map(|(_, bytes)| codec::decode(bytes));
            decoded.any(|record| matches!(record, Ok(ConfigRecord::Rollback(_))))
        })
        .await?;
        for index in 0..5 {
            fleet.kill_node(index)?;
        }
        for index in 0..5 {
            fleet.start_node(index)?;
        }
        let first_statuses = (0..5).map(|index| first_ready_status(&fleet, index));
        for status in futures_util::future::try_join_all(first_statuses).await? {
            eyre::ensure!(status["version"] == version, "{status}");
            eyre::ensure!(status["rollbacks"][0]["key"]["to"] == "v2", "{status}");
        }
        wait_rollout_phase(&fleet, "taken back").await?;
        wait_alive(&fleet, 5).await?;
        wait_backends(&fleet, 3).await?;
        let ran = servers[2].report().counters.ran;
        for entry in 0..5 {
            for _ in 0..10 {
                let response = call(fleet.nodes()[entry].request_addr, &Call::get("/a")).await?;
                eyre::ensure!(response.status == 200, "{response:?}");
            }
        }
        eyre::ensure!(
            servers[2].report().counters.ran == ran,
            "the version that was rolled back gets calls"
        );
        let configs = distinct_configs(&fleet).await?;
        eyre::ensure!(configs.len() == 1, "{configs:?}");
        check_invariants(&fleet).await
    });
}

/// Guards against a restarted node that does not learn the progress of a rollout and routes by an
/// earlier step than the other nodes.
#[test]
fn restarted_node_learns_rollout_progress() {
    run_test(async {
        let (mut fleet, _backends, _) = start_serving_fleet(4, &[0, 1]).await?;
        let _new = start_v2(&fleet, 2, 0.0)?;
        wait_backends(&fleet, 3).await?;
        let load = start_load(&fleet, &[0, 1], 14)?;
        let version = publish(&fleet, 0, &document_with_rollout(&fleet, &rollout(14))).await?;
        fleet.wait_version(version, WAIT_TIMEOUT).await?;
        wait_rollout_phase(&fleet, "complete").await?;
        check_report(&load.join()?)?;
        for _ in 0..5 {
            fleet.kill_node(3)?;
            fleet.start_node(3)?;
            let status = first_ready_status(&fleet, 3).await?;
            let phase = &status["services"][0]["rollout"]["phase"];
            eyre::ensure!(phase == "complete", "{status}");
        }
        let shares = fleet.status(3).await?["services"][0]["shares"].clone();
        eyre::ensure!(
            shares == fleet.status(0).await?["services"][0]["shares"],
            "{shares}"
        );
        check_invariants(&fleet).await
    });
}

/// Guards against calls without a backend server after all nodes restart at once: the progress of a
/// completed rollout is not in the log, and the backend servers of the old version may have stopped.
#[test]
fn calls_succeed_when_all_nodes_restart_after_a_rollout() {
    run_test(async {
        let (mut fleet, mut old, _) = start_serving_fleet(4, &[0, 1]).await?;
        let new = [start_v2(&fleet, 2, 0.0)?, start_v2(&fleet, 3, 0.0)?];
        wait_backends(&fleet, 4).await?;
        let load = start_load(&fleet, &[0, 1], 12)?;
        let version = publish(&fleet, 0, &document_with_rollout(&fleet, &rollout(12))).await?;
        fleet.wait_version(version, WAIT_TIMEOUT).await?;
        wait_rollout_phase(&fleet, "complete").await?;
        check_report(&load.join()?)?;
        for server in &mut old {
            server.stop();
        }
        wait_backends(&fleet, 2).await?;
        for index in 0..4 {
            fleet.kill_node(index)?;
        }
        for index in 0..4 {
            fleet.start_node(index)?;
        }
        fleet.wait_ready(WAIT_TIMEOUT).await?;
        wait_backends(&fleet, 2).await?;
        let took = wait_for("calls succeed again", || async {
            call(fleet.nodes()[0].request_addr, &Call::get("/a"))
                .await
                .is_ok_and(|response| response.status == 200)
        })
        .await?;
        println!("calls succeeded again after {took:?}");
        for entry in 0..4 {
            for _ in 0..10 {
                let response = call(fleet.nodes()[entry].request_addr, &Call::get("/a")).await?;
                eyre::ensure!(response.status == 200, "{response:?}");
            }
        }
        eyre::ensure!(new.iter().all(|b| b.report().counters.ran > 0));
        check_invariants(&fleet).await
    });
}
