//! Calls with an idempotency key on a route that is not idempotent, through real node processes.

mod process_common;

use std::time::Duration;
use std::time::Instant;

use process_common::Call;
use process_common::Response;
use process_common::WAIT_TIMEOUT;
use process_common::call;
use process_common::check_invariants;
use process_common::run_test;
use process_common::start_serving_fleet;
use process_common::wait_for;
use testbed::backend_server::BackendControlChange;
use testbed::backend_server::BackendHandle;
use testbed::backend_server::ServiceTime;
use testbed::fleet::Fleet;
use uuid::Uuid;

fn fresh_key() -> String {
    Uuid::now_v7().to_string()
}

fn ran(backends: &[BackendHandle]) -> u64 {
    backends.iter().map(|b| b.report().counters.ran).sum()
}

async fn keyed(fleet: &Fleet, entry: usize, key: &str) -> eyre::Result<Response> {
    let request = Call::post("/order").key(key).body("one");
    call(fleet.nodes()[entry].request_addr, &request).await
}

/// Waits until fresh keys are granted. After the start this takes as long as the maximum clock
/// skew.
async fn wait_keys(fleet: &Fleet) -> eyre::Result<Duration> {
    wait_for("fresh keys are granted", || async {
        keyed(fleet, 0, &fresh_key())
            .await
            .is_ok_and(|a| a.status == 200)
    })
    .await
}

/// Repeats a call until it returns the recorded response, which may still be on its way to the key
/// replicas.
async fn wait_recorded(fleet: &Fleet, entry: usize, key: &str) -> eyre::Result<Response> {
    let start = Instant::now();
    loop {
        let response = keyed(fleet, entry, key).await?;
        if response.status == 200 {
            return Ok(response);
        }
        eyre::ensure!(
            start.elapsed() < WAIT_TIMEOUT,
            "the response was not recorded: {response:?}"
        );
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a call with a key that runs twice or returns another response than the recorded
/// one: it is sent through two nodes concurrently, again later, and again after its entry node was
/// killed.
#[test]
fn same_key_through_two_nodes_runs_once() {
    run_test(async {
        let (mut fleet, backends, _) = start_serving_fleet(4, &[1, 2, 3]).await?;
        wait_keys(&fleet).await?;
        let before = ran(&backends);
        let keys: Vec<String> = (0..12).map(|_| fresh_key()).collect();
        let mut recorded = Vec::new();
        for key in &keys {
            let both = futures_util::future::join(keyed(&fleet, 0, key), keyed(&fleet, 3, key));
            let (one, other) = both.await;
            let responses = [one?, other?];
            for response in &responses {
                eyre::ensure!(
                    response.status == 200 || response.is_explicit_error(),
                    "{response:?}"
                );
            }
            let mut bodies = responses
                .iter()
                .filter(|a| a.status == 200)
                .map(|a| &a.body);
            let first = bodies.next().cloned();
            eyre::ensure!(bodies.all(|b| Some(b) == first.as_ref()), "{responses:?}");
            let later = wait_recorded(&fleet, 1, key).await?;
            let first = first.unwrap_or_else(|| later.body.clone());
            eyre::ensure!(later.body == first, "{later:?}");
            recorded.push(first);
        }
        eyre::ensure!(
            ran(&backends) == before + 12,
            "{} calls ran",
            ran(&backends) - before
        );
        fleet.kill_node(0)?;
        for (key, first) in keys.iter().zip(&recorded) {
            for entry in [1, 3] {
                let again = wait_recorded(&fleet, entry, key).await?;
                eyre::ensure!(again.body == *first, "{again:?}");
            }
        }
        eyre::ensure!(
            ran(&backends) == before + 12,
            "{} calls ran",
            ran(&backends) - before
        );
        check_invariants(&fleet).await
    });
}

/// Guards against a second run of a call whose entry node was killed during the first run.
#[test]
fn entry_node_killed_while_keyed_call_runs() {
    run_test(async {
        let (mut fleet, backends, _) = start_serving_fleet(4, &[1, 2]).await?;
        wait_keys(&fleet).await?;
        for backend in &backends {
            backend.change(BackendControlChange {
                service_time: Some(ServiceTime {
                    median_us: 700_000,
                    p99_us: 700_000,
                }),
                ..Default::default()
            });
        }
        let before = ran(&backends);
        let key = fresh_key();
        let entry = fleet.nodes()[3].request_addr;
        let request = Call::post("/order").key(&key).body("one");
        let pending = actix_rt::spawn(async move { call(entry, &request).await });
        wait_for("the call runs", || async { ran(&backends) > before }).await?;
        fleet.kill_node(3)?;
        eyre::ensure!(pending.await?.is_err(), "the killed node responded");
        for entry in [0, 1, 2, 0, 1, 2] {
            let response = keyed(&fleet, entry, &key).await?;
            println!("{} {} {}", response.status, response.run, response.code);
            eyre::ensure!(
                response.run != "no" && response.status >= 400,
                "{response:?}"
            );
            actix_rt::time::sleep(Duration::from_millis(400)).await;
        }
        eyre::ensure!(
            ran(&backends) == before + 1,
            "{} calls ran",
            ran(&backends) - before
        );
        check_invariants(&fleet).await
    });
}

/// Guards against keys that are refused after an idle time, because a key replica mistakes a time
/// without claims for a pause of its process.
#[test]
fn fresh_keys_work_after_idle_time() {
    run_test(async {
        let (fleet, backends, _) = start_serving_fleet(3, &[0, 1]).await?;
        wait_keys(&fleet).await?;
        // Longer than the gap that is interpreted as a pause, 3 s.
        for _ in 0..2 {
            actix_rt::time::sleep(Duration::from_secs(4)).await;
            let before = ran(&backends);
            let response = keyed(&fleet, 2, &fresh_key()).await?;
            eyre::ensure!(response.status == 200, "{response:?}");
            eyre::ensure!(ran(&backends) == before + 1);
        }
        check_invariants(&fleet).await
    });
}

/// Guards against opaque keys that are granted by restarted key replicas, which cannot know of an
/// earlier run, and against the use of one key for two different requests.
#[test]
fn opaque_key_after_start_and_key_of_another_request() {
    run_test(async {
        let (fleet, backends, _) = start_serving_fleet(3, &[0, 1, 2]).await?;
        for entry in 0..3 {
            let response = keyed(&fleet, entry, "opaque-1").await?;
            eyre::ensure!(
                response.code == "4007" && response.run == "unknown",
                "{response:?}"
            );
        }
        eyre::ensure!(ran(&backends) == 0);
        wait_keys(&fleet).await?;
        let key = fresh_key();
        wait_recorded(&fleet, 0, &key).await?;
        let before = ran(&backends);
        let other = Call::post("/order").key(&key).body("two");
        let response = call(fleet.nodes()[1].request_addr, &other).await?;
        eyre::ensure!(
            response.code == "4012" && response.run == "no",
            "{response:?}"
        );
        eyre::ensure!(ran(&backends) == before);
        check_invariants(&fleet).await
    });
}

/// Guards against claims that fail while one key replica is paused, and against grants that the
/// paused replica keeps or that are not released: the other two replicas continue to grant keys, and
/// each call runs at most once.
#[test]
fn key_replica_paused_while_keys_are_claimed() {
    run_test(async {
        let (fleet, backends, _) = start_serving_fleet(3, &[0, 1]).await?;
        wait_keys(&fleet).await?;
        let before = ran(&backends);
        fleet.pause_node(2)?;
        let keys: Vec<String> = (0..6).map(|_| fresh_key()).collect();
        for key in &keys {
            let response = keyed(&fleet, 0, key).await?;
            eyre::ensure!(response.status == 200, "{response:?}");
        }
        actix_rt::time::sleep(Duration::from_secs(4)).await;
        fleet.resume_node(2)?;
        process_common::wait_alive(&fleet, 3).await?;
        for key in &keys {
            for entry in 0..3 {
                wait_recorded(&fleet, entry, key).await?;
            }
        }
        eyre::ensure!(
            ran(&backends) == before + 6,
            "{} calls ran",
            ran(&backends) - before
        );
        fleet.wait_ready(WAIT_TIMEOUT).await?;
        check_invariants(&fleet).await
    });
}
