//! Calls through real node processes while nodes, backend servers and connections fail.

mod process_common;

use std::fs;
use std::time::Duration;

use actix_http::Method;
use process_common::Call;
use process_common::WAIT_TIMEOUT;
use process_common::backend_options;
use process_common::call;
use process_common::call_count;
use process_common::check_invariants;
use process_common::check_report;
use process_common::document;
use process_common::forwarder::Forwarder;
use process_common::publish;
use process_common::run_test;
use process_common::start_backends;
use process_common::start_fleet;
use process_common::start_serving_fleet;
use process_common::wait_alive;
use process_common::wait_for;
use serde_json::json;
use testbed::backend_server::BackendServer;
use testbed::backend_server::Fault;
use testbed::backend_server::ServiceTime;
use testbed::caller::CallerOptions;
use testbed::caller::CallerThread;
use testbed::caller::Keys;
use testbed::fleet::Fleet;

fn get_load(fleet: &Fleet, entries: &[usize], rate: f64, secs: u64) -> CallerOptions {
    let targets = entries.iter().map(|i| fleet.nodes()[*i].request_addr);
    let mut options = CallerOptions::new(targets.collect(), rate, Duration::from_secs(secs));
    options.path = "/item".into();
    options.timeout = Duration::from_secs(20);
    options
}

fn post_load(fleet: &Fleet, entries: &[usize], rate: f64, secs: u64) -> CallerOptions {
    let mut options = get_load(fleet, entries, rate, secs);
    options.method = Method::POST;
    options.path = "/order".into();
    options
}

/// Guards against calls without a result, calls that are reported as not run although they ran, and
/// idempotent calls that are not retried, when a node and a backend server are killed under load.
#[test]
fn killed_node_and_backend_under_load() {
    run_test(async {
        let (mut fleet, mut backends, _) = start_serving_fleet(5, &[0, 1, 2, 3]).await?;
        let reads = CallerThread::start(get_load(&fleet, &[0, 4], 60.0, 6))?;
        let mut writes = post_load(&fleet, &[0, 4], 40.0, 6);
        writes.keep_samples = true;
        let writes = CallerThread::start(writes)?;
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        fleet.kill_node(3)?;
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        backends[2].kill();
        let (reads, writes) = (reads.join()?, writes.join()?);
        check_report(&reads)?;
        check_report(&writes)?;
        eyre::ensure!(reads.with_status(200) == reads.sent, "{reads:?}");
        // Each write ran at most once, and those with an unknown outcome may have run. A write that
        // is reported as not run but ran raises the number of runs beyond the retries of the reads.
        let ran: u64 = backends.iter().map(|b| b.report().counters.ran).sum();
        let retries_of_reads = ran.saturating_sub(reads.sent + writes.sent);
        let (yes, unknown) = (
            call_count(&writes.by_run, "yes"),
            call_count(&writes.by_run, "unknown"),
        );
        println!(
            "reads {reads:?}\nwrites by run {:?}, ran {ran}",
            writes.by_run
        );
        eyre::ensure!(
            ran >= reads.sent + yes,
            "{ran} calls ran, {yes} were reported as run"
        );
        eyre::ensure!(retries_of_reads <= 40, "{ran} calls ran");
        for sample in &writes.samples {
            eyre::ensure!(sample.status == 200 || sample.status >= 500, "{sample:?}");
        }
        eyre::ensure!(yes + unknown + call_count(&writes.by_run, "no") == writes.sent);
        check_invariants(&fleet).await
    });
}

/// Guards against calls that are reported as not run although they ran. With writes only, the
/// number of calls that ran is at least the number of results "yes", and at most that number plus
/// the results "unknown".
#[test]
fn not_run_is_correct_when_backends_are_killed() {
    run_test(async {
        let (mut fleet, mut backends, _) = start_serving_fleet(4, &[0, 1, 2]).await?;
        let writes = CallerThread::start(post_load(&fleet, &[0, 3], 60.0, 6))?;
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        backends[1].kill();
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        fleet.kill_node(2)?;
        let writes = writes.join()?;
        check_report(&writes)?;
        let ran: u64 = backends.iter().map(|b| b.report().counters.ran).sum();
        let yes = call_count(&writes.by_run, "yes");
        let unknown = call_count(&writes.by_run, "unknown");
        println!("writes by run {:?}, ran {ran}", writes.by_run);
        eyre::ensure!(
            yes <= ran && ran <= yes + unknown,
            "{ran} calls ran: {writes:?}"
        );
        eyre::ensure!(writes.with_status(200) == yes);
        check_invariants(&fleet).await
    });
}

/// Returns the state of each thread of a node's process: `T` if it is stopped.
fn thread_states(fleet: &Fleet, index: usize) -> eyre::Result<Vec<String>> {
    let pid = fleet.nodes()[index].pid().unwrap_or_default();
    let mut states = Vec::new();
    for thread in fs::read_dir(format!("/proc/{pid}/task"))? {
        let stat = fs::read_to_string(thread?.path().join("stat"))?;
        let (_, after_name) = stat.rsplit_once(") ").unwrap_or_default();
        states.push(after_name.chars().take(1).collect());
    }
    Ok(states)
}

/// Guards against a paused node that keeps receiving calls and, after it resumes, against a node
/// that does not rejoin, returns to an older configuration version, or runs calls with the same key
/// again.
#[test]
fn paused_node_is_routed_around() {
    run_test(async {
        let (fleet, backends, version) = start_serving_fleet(4, &[0, 1, 2]).await?;
        // A key can be claimed only if it was created later after the start than the maximum clock
        // skew.
        actix_rt::time::sleep(Duration::from_secs(6)).await;
        let mut writes = post_load(&fleet, &[0, 1, 3], 30.0, 9);
        writes.keys = Keys::Fresh { repeated: 0.3 };
        let writes = CallerThread::start(writes)?;
        let reads = CallerThread::start(get_load(&fleet, &[0, 1, 3], 30.0, 9))?;
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        let (paused, others) = (2, [0, 1, 3]);
        fleet.pause_node(paused)?;
        // The signal takes effect on each thread only when that is scheduled.
        wait_for("all threads of the node are stopped", || async {
            thread_states(&fleet, paused).is_ok_and(|states| states.iter().all(|s| s == "T"))
        })
        .await?;
        for index in others {
            wait_for("the paused node is not alive for the others", || async {
                let Ok(status) = fleet.status(index).await else {
                    return false;
                };
                let status = &status["members"][paused]["status"];
                status.is_string() && status != "alive"
            })
            .await?;
        }
        let newer = publish(&fleet, 0, &document(&fleet))
            .await
            .unwrap_or(version);
        let before = backends[paused].report().counters;
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        let after = backends[paused].report().counters;
        if after.ran != before.ran {
            let mut views = Vec::new();
            for index in others {
                let status = fleet.status(index).await.unwrap_or_default();
                views.push(status["members"][paused].clone());
            }
            eyre::bail!(
                "calls ran beside the paused node, whose threads are {:?}: {before:?}, 2 s later {after:?}; for the \
                 others it is {views:?}",
                thread_states(&fleet, paused)?
            );
        }
        fleet.resume_node(2)?;
        wait_alive(&fleet, 4).await?;
        fleet.wait_version(newer, WAIT_TIMEOUT).await?;
        let (reads, writes) = (reads.join()?, writes.join()?);
        check_report(&reads)?;
        check_report(&writes)?;
        eyre::ensure!(reads.with_status(200) == reads.sent, "{reads:?}");
        println!(
            "writes by run {:?}, by code {:?}",
            writes.by_run, writes.by_code
        );
        for backend in &backends {
            let report = backend.report();
            eyre::ensure!(report.repeated_keys.is_empty(), "{report:?}");
        }
        check_invariants(&fleet).await
    });
}

/// Announces a backend server behind a forwarder to a node, repeatedly.
fn announce_forwarder(fleet: &Fleet, index: usize, forwarder: &Forwarder) {
    let url = format!(
        "http://{}/.sycamorewick/announce",
        fleet.nodes()[index].request_addr
    );
    let body = json!({ "service": "shop", "version": "v1", "addr": forwarder.addr(), "slots": 10 });
    actix_rt::spawn(async move {
        let client = awc::Client::default();
        loop {
            let _ = client.post(&url).send_json(&body).await;
            actix_rt::time::sleep(Duration::from_millis(500)).await;
        }
    });
}

/// Guards against a truncated response that is accepted as complete, and against the reuse of a
/// connection that was cut.
#[test]
fn connection_cut_within_response() {
    run_test(async {
        let fleet = start_fleet(3).await?;
        let version = publish(&fleet, 0, &document(&fleet)).await?;
        fleet.wait_version(version, WAIT_TIMEOUT).await?;
        let mut options = backend_options("b2", "v1");
        options.response_body_bytes = 4_000;
        let backend = BackendServer::start(options)?;
        let forwarder = Forwarder::start(backend.addr())?;
        announce_forwarder(&fleet, 1, &forwarder);
        let entry = fleet.nodes()[0].request_addr;
        wait_for("a first response", || async {
            call(entry, &Call::get("/a"))
                .await
                .is_ok_and(|a| a.status == 200)
        })
        .await?;
        // Inside the headers, and inside the body.
        for cut in [20, 2_000] {
            forwarder.close_after_bytes(Some(cut));
            for request in [Call::get("/a"), Call::post("/b")] {
                let response = call(entry, &request).await?;
                eyre::ensure!(
                    response.is_explicit_error(),
                    "cut at {cut}: {} {} of {} bytes, {} connections",
                    response.status,
                    response.run,
                    response.body.len(),
                    forwarder.accepted()
                );
                eyre::ensure!(
                    response.backend_body.is_none(),
                    "cut at {cut}: {response:?}"
                );
                eyre::ensure!(response.run != "yes", "cut at {cut}: {response:?}");
            }
            forwarder.close_after_bytes(None);
            wait_for("complete responses after the cut", || async {
                call(entry, &Call::get("/a"))
                    .await
                    .is_ok_and(|a| a.status == 200 && a.body.len() >= 3_900)
            })
            .await?;
        }
        check_invariants(&fleet).await
    });
}

/// Guards against calls that wait forever on unresponsive connections, and against the reuse of
/// such connections: after the timeout of one call, no other call may use any of them.
#[test]
fn black_holed_connections_are_replaced() {
    run_test(async {
        let fleet = start_fleet(3).await?;
        let version = publish(&fleet, 0, &document(&fleet)).await?;
        fleet.wait_version(version, WAIT_TIMEOUT).await?;
        let backend = BackendServer::start(backend_options("b2", "v1"))?;
        let forwarder = Forwarder::start(backend.addr())?;
        announce_forwarder(&fleet, 1, &forwarder);
        let entry = fleet.nodes()[0].request_addr;
        wait_for("a first response", || async {
            call(entry, &Call::get("/a"))
                .await
                .is_ok_and(|a| a.status == 200)
        })
        .await?;
        // Several connections are idle in the pool when they become unresponsive.
        let get = Call::get("/a");
        let calls = (0..8).map(|_| call(entry, &get));
        for response in futures_util::future::join_all(calls).await {
            eyre::ensure!(response?.status == 200);
        }
        forwarder.black_hole();
        // The first attempt uses one of them and times out; its retry must not use another one.
        let first = call(entry, &get).await?;
        eyre::ensure!(first.status == 200, "{} {}", first.status, first.code);
        let used = forwarder.dropped_bytes();
        eyre::ensure!(used > 0, "no unresponsive connection was used");
        for _ in 0..4 {
            let response = call(entry, &Call::post("/b")).await?;
            eyre::ensure!(response.status == 200, "{response:?}");
        }
        eyre::ensure!(
            forwarder.dropped_bytes() == used,
            "{} more bytes were sent on unresponsive connections",
            forwarder.dropped_bytes() - used
        );
        check_invariants(&fleet).await
    });
}

/// Guards against a graceful stop that makes calls fail, sends new calls to its backend server
/// after more than 2 s, or ends with an error.
#[test]
fn graceful_stop_under_load() {
    run_test(async {
        let (mut fleet, backends, _) = start_serving_fleet(4, &[0, 1, 2]).await?;
        let reads = CallerThread::start(get_load(&fleet, &[0, 3], 60.0, 7))?;
        let writes = CallerThread::start(post_load(&fleet, &[0, 3], 40.0, 7))?;
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        fleet.request_stop(1)?;
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        let arrived_before = backends[1].report().counters.arrived;
        // A second signal has no effect.
        let status = fleet.stop_node(1, WAIT_TIMEOUT).await?;
        eyre::ensure!(status.code() == Some(0), "{status}");
        let (reads, writes) = (reads.join()?, writes.join()?);
        for report in [&reads, &writes] {
            check_report(report)?;
            eyre::ensure!(report.with_status(200) == report.sent, "{report:?}");
        }
        let arrived_after = backends[1].report().counters.arrived;
        eyre::ensure!(
            arrived_after == arrived_before,
            "{} late calls arrived",
            arrived_after - arrived_before
        );
        check_invariants(&fleet).await
    });
}

/// Guards against a graceful stop that does not wait for running calls, or that exits with a code
/// other than 0 while calls run.
#[test]
fn graceful_stop_waits_for_running_calls() {
    run_test(async {
        let (mut fleet, mut backends, _) = start_serving_fleet(3, &[1]).await?;
        backends[0].change(testbed::backend_server::BackendControlChange {
            service_time: Some(ServiceTime {
                median_us: 900_000,
                p99_us: 900_000,
            }),
            ..Default::default()
        });
        let entry = fleet.nodes()[0].request_addr;
        let request = Call::post("/slow");
        let running = actix_rt::spawn(async move { call(entry, &request).await });
        wait_for("the call runs", || async {
            backends[0].report().counters.ran == 1
        })
        .await?;
        let status = fleet.stop_node(1, WAIT_TIMEOUT).await?;
        eyre::ensure!(status.code() == Some(0), "{status}");
        let response = running.await??;
        eyre::ensure!(response.status == 200, "{response:?}");
        backends[0].kill();
        Ok(())
    });
}

/// Guards against a backend server that receives new calls more than 2 s after it withdrew.
#[test]
fn withdrawn_backend_gets_no_new_work() {
    run_test(async {
        let (fleet, mut backends, _) = start_serving_fleet(3, &[0, 1, 2]).await?;
        let load = CallerThread::start(get_load(&fleet, &[0, 1, 2], 90.0, 6))?;
        wait_for("the backend server has work", || async {
            backends[1].report().counters.ran > 10
        })
        .await?;
        let url = format!(
            "http://{}/.sycamorewick/withdraw",
            fleet.nodes()[1].request_addr
        );
        backends[1].change(testbed::backend_server::BackendControlChange {
            announce: Some(false),
            ..Default::default()
        });
        // An announcement that was already on its way when announcing was disabled arrives in this
        // time.
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        let res = awc::Client::default().post(url).send().await;
        eyre::ensure!(res.is_ok_and(|r| r.status().is_success()));
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        let arrived_before = backends[1].report().counters.arrived;
        let report = load.join()?;
        check_report(&report)?;
        eyre::ensure!(report.with_status(200) == report.sent, "{report:?}");
        let arrived_after = backends[1].report().counters.arrived;
        eyre::ensure!(
            arrived_after == arrived_before,
            "{} late calls arrived",
            arrived_after - arrived_before
        );
        backends[1].stop();
        check_invariants(&fleet).await
    });
}

/// Guards against a cancelled call that keeps its slot, or that continues at the backend server
/// because its connection stays open.
#[test]
fn cancelled_call_frees_its_slot() {
    run_test(async {
        let fleet = start_fleet(3).await?;
        let version = publish(&fleet, 0, &document(&fleet)).await?;
        fleet.wait_version(version, WAIT_TIMEOUT).await?;
        let mut options = backend_options("b2", "v1");
        options.slots = 1;
        options.faults = vec![Fault {
            path_prefix: "/hang".into(),
            hang: true,
            ..Fault::default()
        }];
        let backend = fleet.start_backend(1, options)?;
        process_common::wait_backends(&fleet, 1).await?;
        for entry in [0, 1] {
            let before = backend.report().counters;
            let url = format!("http://{}/hang", fleet.nodes()[entry].request_addr);
            let pending = actix_rt::spawn(async move {
                let client = awc::Client::builder().disable_timeout().finish();
                let _ = client.post(url).send().await;
            });
            wait_for("the call runs", || async {
                backend.report().counters.ran > before.ran
            })
            .await?;
            let cancelled_at = std::time::Instant::now();
            pending.abort();
            wait_for("the call is cancelled at the backend server", || async {
                backend.report().counters.cancelled > before.cancelled
            })
            .await?;
            println!(
                "entry {entry}: cancelled after {:?}",
                cancelled_at.elapsed()
            );
            let response = call(fleet.nodes()[0].request_addr, &Call::post("/b")).await?;
            eyre::ensure!(response.status == 200, "{response:?}");
        }
        check_invariants(&fleet).await
    });
}

/// Guards against a call that is refused for lack of a backend server and not reported as not run.
#[test]
fn no_backend_is_not_run() {
    run_test(async {
        let (fleet, _, _) = start_serving_fleet(3, &[]).await?;
        for request in [Call::get("/a"), Call::post("/b")] {
            let response = call(fleet.nodes()[0].request_addr, &request).await?;
            eyre::ensure!(
                response.status == 503 && response.run == "no",
                "{response:?}"
            );
            eyre::ensure!(response.code == "4002", "{response:?}");
        }
        check_invariants(&fleet).await
    });
}

/// Guards against a restarted backend server that receives no calls.
#[test]
fn backend_is_used_after_restart() {
    run_test(async {
        let (fleet, mut first, _) = start_serving_fleet(3, &[1]).await?;
        let entry = fleet.nodes()[0].request_addr;
        first[0].kill();
        let response = call(entry, &Call::post("/b")).await?;
        eyre::ensure!(
            response.run == "no" && response.status == 503,
            "{response:?}"
        );
        let second = start_backends(&fleet, &[1]).await?;
        wait_for("the new backend server is used", || async {
            call(entry, &Call::post("/b"))
                .await
                .is_ok_and(|a| a.status == 200)
        })
        .await?;
        eyre::ensure!(second[0].report().counters.ran >= 1);
        check_invariants(&fleet).await
    });
}
