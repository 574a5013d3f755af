//! Home regions and evacuated failure domains with real sidecar processes.

#[allow(
    dead_code,
    reason = "only the number of bytes that were sent is used here"
)]
#[path = "process_common/forwarder.rs"]
mod forwarder;
mod sidecar_common;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use actix_http::StatusCode;
use forwarder::Forwarder;
use googletest::prelude::*;
use serde_json::json;
use sidecar_common::HOST;
use sidecar_common::TestFleet;
use sidecar_common::WAIT_LIMIT;
use sidecar_common::hop_header;
use sidecar_common::run;
use sidecar_common::send_call;
use sycamorewick::protocol::hop::HOP_REQUEST_HEADER;
use sycamorewick::result_code::ResultCode;
use testbed::log_server::Outage;
use testbed::platform::backend::ATTEMPT_HEADER;
use testbed::platform::fleet::SidecarFleet;
use testbed::platform::fleet::SidecarOptions;
use testbed::platform::store::OPERATOR_TOPIC;
use testbed::platform::store::StoreHandle;

/// Time from the acknowledgement of an evacuation from which on the failure domain gets no requests.
const EVACUATED_WITHIN: Duration = Duration::from_secs(5);
/// Body that is announced to another node before it is sent.
const LARGE_BODY_BYTES: usize = 60_000;
/// Body that is sent with its call.
const SMALL_BODY_BYTES: usize = 4_000;
/// Failure domains of the nodes.
const DOMAINS: [&str; 3] = ["keta-a", "keta-b", "accra-a"];
/// Node in another region than the others.
const OUTSIDE: usize = 2;

/// Writes a configuration with the routes `/wrecks/` without home regions, `/home/` with these, and one that only
/// this version has.
fn put_config(store: &StoreHandle, version: u32, homes: &[&str]) {
    let route = |prefix: &str, homes: &[&str]| {
        json!({ "host": HOST, "prefix": prefix, "kind": "safe", "timeout-ms": 3000, "slo-ms": 500,
            "priority": 1, "service": "registry", "attempts": 2, "home-regions": homes })
    };
    let config = json!({
        "version": format!("{version:08x}"),
        "routes": {
            "lookup": route("/wrecks/", &[]),
            "home": route("/home/", homes),
            "own": route(&format!("/v{version}/"), &[]),
        },
        "services": { "registry": { "health-path": "/healthz" } },
        "limits": { "header-bytes": 16384, "body-bytes": 65536, "header-ms": 3000, "idle-ms": 15000 },
    });
    let _ = store.put(OPERATOR_TOPIC, "config", config.to_string().as_bytes());
}

fn evacuate(store: &StoreHandle, domain: &str) {
    let _ = store.put(OPERATOR_TOPIC, &format!("evacuate/{domain}"), b"{}");
}

/// Starts a node in each of these failure domains, with a backend server beside it. Calls of the other nodes to the
/// last one pass the forwarder.
async fn start(domains: &[&str]) -> eyre::Result<(TestFleet, Forwarder)> {
    let mut env = TestFleet::new(0)?;
    put_config(&env.store, 2, &["keta"]);
    let mut forwarder = None;
    for (index, domain) in domains.iter().enumerate() {
        let mut options = SidecarOptions::new(&format!("n{index}"), domain, "registry");
        options.known_domains = DOMAINS.map(ToOwned::to_owned).to_vec();
        let mut addrs = SidecarFleet::free_addrs(env.store.addr())?;
        let path = Forwarder::start(addrs.node)?;
        if index + 1 == domains.len() {
            addrs.advertised_node = path.addr();
            forwarder = Some(path);
        }
        env.fleet.add(options, addrs)?;
        env.fleet.start(index)?;
        env.add_backend(index, 0.0)?;
    }
    env.fleet.wait_ready(WAIT_LIMIT).await?;
    for index in 0..domains.len() {
        env.wait_peers(index, domains.len() - 1).await?;
        env.wait_for(WAIT_LIMIT, index, "/wrecks/1", StatusCode::OK)
            .await?;
    }
    let forwarder = forwarder.ok_or_else(|| eyre::eyre!("there are no nodes"))?;
    Ok((env, forwarder))
}

/// Sends a request with a body to a node. Returns the status and the body of the response.
async fn post(
    env: &TestFleet,
    index: usize,
    path: &str,
    bytes: usize,
) -> eyre::Result<(u16, String)> {
    let addr = env.fleet.nodes()[index].addrs.caller;
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(5))
        .finish();
    let sent = client
        .post(format!("http://{addr}{path}"))
        .insert_header(("host", HOST))
        .insert_header((ATTEMPT_HEADER, format!("p{index}{path}{bytes}")))
        .send_body(vec![b'x'; bytes])
        .await;
    let mut response = sent.map_err(|e| eyre::eyre!("{path}: {e}"))?;
    let body = response.body().await?;
    let text = String::from_utf8_lossy(&body).into_owned();
    Ok((response.status().as_u16(), text))
}

/// Sends the head of a call to a node as another node does that has an older view, and announces a body. Returns
/// the response.
fn announce_as_peer(addr: SocketAddr, route: &str) -> eyre::Result<String> {
    let head = hop_header(route, Duration::from_secs(2));
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(WAIT_LIMIT))?;
    write!(
        stream,
        "POST /home/1 HTTP/1.1\r\nhost: {HOST}\r\n{HOP_REQUEST_HEADER}: {}\r\nexpect: 100-continue\r\n\
         {ATTEMPT_HEADER}: t1\r\ncontent-length: {LARGE_BODY_BYTES}\r\n\r\n",
        head.encode(),
    )?;
    let mut buf = [0; 16 << 10];
    let length = stream.read(&mut buf)?;
    Ok(String::from_utf8_lossy(&buf[..length]).into_owned())
}

/// Waits until a node has logged a message this number of times.
async fn wait_logged(
    env: &TestFleet,
    index: usize,
    message: &str,
    count: usize,
    limit: Duration,
) -> eyre::Result<()> {
    let until = Instant::now() + limit;
    while env.fleet.log_lines(index, message).len() < count {
        eyre::ensure!(
            Instant::now() < until,
            "node {index} has not logged {message:?} {count} times: {}",
            env.fleet.nodes()[index].process.output()
        );
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Waits until a backend server runs calls of a node again.
async fn wait_used(env: &mut TestFleet, index: usize) -> eyre::Result<()> {
    let runs = env.backends[index].runs().len();
    let until = Instant::now() + WAIT_LIMIT;
    while env.backends[index].runs().len() == runs {
        eyre::ensure!(Instant::now() < until, "backend server {index} is not used");
        let _ = env.call(index, "/wrecks/1").await?;
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

/// Guards against a call with home regions that is served elsewhere, also if its entry node is outside or no home
/// node is left, and against a body that is sent to a node outside.
#[gtest]
fn home_regions_bind_calls_and_bodies() {
    run(async {
        let (mut env, outside) = start(&DOMAINS).await?;
        let before = (env.backends[OUTSIDE].runs().len(), outside.request_bytes());
        for bytes in [SMALL_BODY_BYTES, LARGE_BODY_BYTES] {
            for index in 0..DOMAINS.len() {
                let (status, _) = post(&env, index, "/home/1", bytes).await?;
                expect_that!(status, eq(200), "node {index}, {bytes} bytes");
            }
        }
        env.backends[0].kill();
        env.backends[1].kill();
        for bytes in [SMALL_BODY_BYTES, LARGE_BODY_BYTES] {
            for index in 0..DOMAINS.len() {
                let (status, _) = post(&env, index, "/home/2", bytes).await?;
                // A call that was running when the backend server was killed may have run.
                expect_that!(status, ge(502), "node {index}, {bytes} bytes");
            }
        }
        let (used, sent) = before;
        expect_that!(env.backends[OUTSIDE].runs().len(), eq(used));
        expect_that!(outside.request_bytes(), eq(sent));
        // Other routes use the node, so the path to it is open.
        env.wait_for(WAIT_LIMIT, 0, "/wrecks/1", StatusCode::OK)
            .await?;
        let (status, _) = post(&env, 0, "/wrecks/1", LARGE_BODY_BYTES).await?;
        expect_that!(status, eq(200));
        expect_that!(outside.request_bytes(), ge(sent + LARGE_BODY_BYTES));
        Ok(())
    });
}

/// Guards against a call that is served outside its home regions since its entry node has an older configuration,
/// against a change that leaves entry nodes with the former home regions, and against a misspelt region that makes
/// all calls fail.
#[gtest]
fn home_regions_change() {
    run(async {
        let (mut env, _outside) = start(&DOMAINS).await?;
        let node = |env: &TestFleet, index: usize| env.fleet.nodes()[index].addrs.node;
        let refused = format!("sw-end: no;0;{};", ResultCode::OutsideHome.number());
        let reply = announce_as_peer(node(&env, OUTSIDE), "home")?;
        expect_that!(reply, contains_substring(refused.as_str()));
        put_config(&env.store, 3, &["accra"]);
        for index in 0..DOMAINS.len() {
            env.wait_for(WAIT_LIMIT, index, "/v3/1", StatusCode::OK)
                .await?;
        }
        let reply = announce_as_peer(node(&env, 0), "home")?;
        expect_that!(reply, contains_substring(refused.as_str()));
        let reply = announce_as_peer(node(&env, OUTSIDE), "home")?;
        expect_that!(reply, starts_with("HTTP/1.1 100"));
        let runs = |env: &TestFleet| env.backends[0].runs().len() + env.backends[1].runs().len();
        let before = runs(&env);
        for index in 0..DOMAINS.len() {
            let status = env.call(index, "/home/1").await?.status;
            expect_that!(status, eq(StatusCode::OK), "node {index}");
        }
        expect_that!(runs(&env), eq(before));

        // The settings do not list this region, so the configuration in force stays.
        put_config(&env.store, 4, &["volta"]);
        wait_logged(&env, 0, "configuration refused", 1, WAIT_LIMIT).await?;
        let lines = env.fleet.log_lines(0, "configuration refused");
        expect_that!(
            lines[0]["why"].to_string(),
            contains_substring("route home: home-regions")
        );
        expect_that!(lines[0]["why"].to_string(), contains_substring("volta"));
        let status = env.call(0, "/v4/1").await?.status;
        expect_that!(status, eq(StatusCode::NOT_FOUND));
        expect_that!(env.call(0, "/home/1").await?.status, eq(StatusCode::OK));
        Ok(())
    });
}

/// Guards against requests to an evacuated failure domain by entry nodes, by a serving node for a peer with an older
/// view, and after a restart; and against an evacuation that goes on after its removal, or after the store went back
/// to a state without it.
#[gtest]
fn evacuation_until_removed() {
    run(async {
        let (mut env, _outside) = start(&DOMAINS).await?;
        env.store.take_copy();
        evacuate(&env.store, "volta-a");
        evacuate(&env.store, "keta-a");
        for index in 0..DOMAINS.len() {
            wait_logged(&env, index, "failure domain evacuated", 1, EVACUATED_WITHIN).await?;
            let ignored = env.fleet.log_lines(index, "evacuation ignored");
            expect_that!(ignored.len(), eq(1));
            expect_that!(ignored[0]["domain"], eq("volta-a"));
        }
        let runs = env.backends[0].runs().len();
        for number in 0..30 {
            let status = env.call(number % DOMAINS.len(), "/wrecks/1").await?.status;
            expect_that!(status, eq(StatusCode::OK));
        }
        let refused = format!("sw-end: no;0;{};", ResultCode::DomainEvacuated.number());
        let reply = announce_as_peer(env.fleet.nodes()[0].addrs.node, "lookup")?;
        expect_that!(reply, contains_substring(refused.as_str()));
        env.fleet.kill(0)?;
        env.fleet.start(0)?;
        env.fleet.wait_ready(WAIT_LIMIT).await?;
        env.wait_peers(0, 2).await?;
        for _ in 0..10 {
            let status = env.call(0, "/wrecks/1").await?.status;
            expect_that!(status, eq(StatusCode::OK));
        }
        expect_that!(env.backends[0].runs().len(), eq(runs));

        let _ = env.store.put(OPERATOR_TOPIC, "evacuate/keta-a", b"");
        wait_used(&mut env, 0).await?;

        evacuate(&env.store, "keta-a");
        for (index, count) in [2, 2, 2].into_iter().enumerate() {
            wait_logged(
                &env,
                index,
                "failure domain evacuated",
                count,
                EVACUATED_WITHIN,
            )
            .await?;
        }
        let runs = env.backends[0].runs().len();
        for number in 0..10 {
            let _ = env.call(number % DOMAINS.len(), "/wrecks/1").await?;
        }
        expect_that!(env.backends[0].runs().len(), eq(runs));
        env.outage(Outage::Refuse);
        env.store.restore_copy();
        env.outage(Outage::Off);
        wait_used(&mut env, 0).await
    });
}

/// Guards against a call that waits for its deadline although no backend server may serve it, and against callers
/// that are not told why.
#[gtest]
fn evacuation_of_last_domain() {
    run(async {
        let (mut env, _outside) = start(&DOMAINS).await?;
        for domain in DOMAINS {
            evacuate(&env.store, domain);
        }
        for index in 0..DOMAINS.len() {
            wait_logged(&env, index, "failure domain evacuated", 3, EVACUATED_WITHIN).await?;
        }
        let runs = |env: &TestFleet| -> usize {
            env.backends
                .iter()
                .map(|backend| backend.runs().len())
                .sum()
        };
        let before = runs(&env);
        for index in 0..DOMAINS.len() {
            let reply = env.call(index, "/wrecks/1").await?;
            expect_that!(reply.status, eq(StatusCode::SERVICE_UNAVAILABLE));
            let code = ResultCode::DomainEvacuated.number().to_string();
            expect_that!(
                String::from_utf8_lossy(&reply.body),
                contains_substring(code)
            );
            // Only a call that makes no attempt is known to be refused at once.
            wait_logged(&env, index, "call failed", 1, WAIT_LIMIT).await?;
            let failed = env.fleet.log_lines(index, "call failed");
            expect_that!(failed[0]["tries"], eq(&json!(0)));
        }
        expect_that!(runs(&env), eq(before));
        let _ = env.store.put(OPERATOR_TOPIC, "evacuate/accra-a", b"");
        for index in 0..DOMAINS.len() {
            env.wait_for(WAIT_LIMIT, index, "/wrecks/1", StatusCode::OK)
                .await?;
        }
        Ok(())
    });
}

/// Guards against a call that waits for a slot of an evacuated backend server until the runs there end.
#[gtest]
fn evacuation_refuses_waiting() {
    const SERVICE_TIME: Duration = Duration::from_secs(2);
    run(async {
        let (mut env, _path) = start(&["keta-a"]).await?;
        env.backends[0].kill();
        env.add_slow_backend(0, SERVICE_TIME)?;
        wait_logged(&env, 0, "backend server changed", 2, WAIT_LIMIT).await?;
        let addr = env.fleet.nodes()[0].addrs.caller;
        let mut calls = Vec::new();
        // The backend server has four slots.
        for index in 0..4 {
            let sent = send_call(addr, format!("run{index}"), "/wrecks/1");
            calls.push(actix_rt::spawn(sent));
        }
        let until = Instant::now() + WAIT_LIMIT;
        while env.backends[1].runs().len() < calls.len() {
            eyre::ensure!(Instant::now() < until, "the calls are not run");
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        let waiting = actix_rt::spawn(send_call(addr, "wait".to_owned(), "/wrecks/1"));
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        evacuate(&env.store, "keta-a");
        let reply = waiting.await??;
        expect_that!(reply.status, eq(StatusCode::SERVICE_UNAVAILABLE));
        let code = ResultCode::DomainEvacuated.number().to_string();
        expect_that!(
            String::from_utf8_lossy(&reply.body),
            contains_substring(code)
        );
        expect_true!(calls.iter().all(|call| !call.is_finished()));
        for call in calls {
            expect_that!(call.await??.status, eq(StatusCode::OK));
        }
        Ok(())
    });
}

/// Guards against running nodes, and their followers, that keep an evacuation for good because the store has dropped
/// its key without a record; and against a log line for each key whenever the newest records are checked for that.
#[gtest]
fn evacuation_key_dropped() {
    const READER_AND_FOLLOWERS: [&str; 5] = ["keta-a", "keta-a", "keta-a", "keta-a", "accra-a"];
    run(async {
        let (env, _outside) = start(&READER_AND_FOLLOWERS).await?;
        evacuate(&env.store, "keta-a");
        for index in 0..READER_AND_FOLLOWERS.len() {
            wait_logged(&env, index, "failure domain evacuated", 1, EVACUATED_WITHIN).await?;
        }
        env.store.drop_key(OPERATOR_TOPIC, "evacuate/keta-a");
        for index in 0..READER_AND_FOLLOWERS.len() {
            wait_logged(&env, index, "evacuation ended", 1, WAIT_LIMIT).await?;
            let skipped = env.fleet.log_lines(index, "record skipped");
            let of_operator = skipped
                .iter()
                .filter(|line| line["topic"] == OPERATOR_TOPIC);
            expect_that!(of_operator.count(), eq(0), "{index}: {skipped:?}");
        }
        Ok(())
    });
}

/// Guards against a call in flight that follows only the newest configuration: its second attempt goes to a region
/// that was no home region when the call arrived, or to one that has become the only one since.
#[gtest]
fn home_regions_change_in_flight() {
    /// Longest run; the stand-in takes a tenth of it at least, in which the configuration has to be in force.
    const RUN_TIME: Duration = Duration::from_millis(2_900);
    const MAX_TRIES: usize = 5;
    run(async {
        let mut env = TestFleet::new(0)?;
        let mut version = 2;
        put_config(&env.store, version, &["keta"]);
        for (index, domain) in ["keta-a", "accra-a"].into_iter().enumerate() {
            let options = SidecarOptions::new(&format!("n{index}"), domain, "registry");
            let addrs = SidecarFleet::free_addrs(env.store.addr())?;
            env.fleet.add(options, addrs)?;
            env.fleet.start(index)?;
        }
        env.start_backend(0, "v1", 1.0, RUN_TIME)?;
        env.add_backend(1, 0.0)?;
        env.fleet.wait_ready(WAIT_LIMIT).await?;
        env.wait_peers(0, 1).await?;
        env.wait_for(WAIT_LIMIT, 0, "/home/1", StatusCode::INTERNAL_SERVER_ERROR)
            .await?;
        for homes in [&[][..], &["accra"]] {
            let mut was_in_time = false;
            for _ in 0..MAX_TRIES {
                version += 1;
                put_config(&env.store, version, &["keta"]);
                env.wait_for(WAIT_LIMIT, 0, &format!("/v{version}/1"), StatusCode::OK)
                    .await?;
                let runs = [0, 1].map(|index| env.backends[index].runs().len());
                let addr = env.fleet.nodes()[0].addrs.caller;
                let call = send_call(addr, format!("f{version}"), "/home/1");
                let call = actix_rt::spawn(call);
                while env.backends[0].runs().len() == runs[0] {
                    actix_rt::time::sleep(Duration::from_millis(2)).await;
                }
                version += 1;
                put_config(&env.store, version, homes);
                let in_force = || {
                    let lines = env.fleet.log_lines(0, "configuration in force");
                    lines.iter().any(|line| line["version"] == version)
                };
                while !in_force() && !call.is_finished() {
                    actix_rt::time::sleep(Duration::from_millis(2)).await;
                }
                was_in_time = !call.is_finished();
                let status = call.await??.status;
                expect_that!(status, eq(StatusCode::INTERNAL_SERVER_ERROR));
                expect_that!(env.backends[0].runs().len(), eq(runs[0] + 1));
                if was_in_time {
                    let of_call = env.backends[1].runs();
                    expect_false!(of_call.contains(&format!("f{version}")));
                    expect_false!(of_call.contains(&format!("f{}", version - 1)));
                    break;
                }
            }
            eyre::ensure!(was_in_time, "no configuration was in force during a call");
        }
        Ok(())
    });
}

/// Guards against a process that starts while the store is away and does not know the evacuations, although the peer
/// from which it learns the topics does.
#[gtest]
fn evacuation_learned_from_peer() {
    run(async {
        let (mut env, _outside) = start(&DOMAINS).await?;
        evacuate(&env.store, "accra-a");
        for index in 0..DOMAINS.len() {
            wait_logged(&env, index, "failure domain evacuated", 1, EVACUATED_WITHIN).await?;
        }
        env.outage(Outage::Refuse);
        env.fleet.kill(0)?;
        env.fleet.start(0)?;
        // Node 1 has no backend server now, so it calls node 0, which learns the topics from it.
        env.backends[1].kill();
        let runs = env.backends[OUTSIDE].runs().len();
        let until = Instant::now() + WAIT_LIMIT;
        while !env.fleet.is_ready(0).await {
            eyre::ensure!(Instant::now() < until, "node 0 has not learned the topics");
            let _ = env.call(1, "/wrecks/1").await?;
        }
        let _ = env.call(0, "/wrecks/1").await?;
        expect_that!(env.backends[OUTSIDE].runs().len(), eq(runs));
        // The log of the killed process is in the same file.
        wait_logged(&env, 0, "failure domain evacuated", 2, WAIT_LIMIT).await
    });
}

/// A node port that asks for an announced body only when it is told to.
struct LateNodePort {
    addr: SocketAddr,
    /// Receives the announcement of a body.
    announced: Receiver<()>,
    /// Makes the port ask for the body.
    ask: Sender<()>,
    /// Receives the number of bytes of the body.
    body: Receiver<usize>,
}

impl LateNodePort {
    fn start() -> eyre::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let (announced_tx, announced) = mpsc::channel();
        let (ask, ask_rx) = mpsc::channel();
        let (body_tx, body) = mpsc::channel();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(mut stream) = stream else { return };
                let mut buf = [0; 16 << 10];
                let length = stream.read(&mut buf).unwrap_or(0);
                let head = String::from_utf8_lossy(&buf[..length]).to_lowercase();
                if !head.contains("100-continue") {
                    continue;
                }
                let _ = announced_tx.send(());
                let _ = ask_rx.recv();
                let _ = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
                let _ = stream.set_read_timeout(Some(WAIT_LIMIT));
                let mut body = Vec::new();
                let _ = stream.read_to_end(&mut body);
                let _ = body_tx.send(body.len());
            }
        });
        Ok(Self {
            addr,
            announced,
            ask,
            body,
        })
    }
}

/// Guards against an announced body that is sent to a node outside the home regions, because they have changed since
/// the announcement and only the entry node knows.
#[gtest]
fn home_regions_change_after_announcement() {
    run(async {
        let mut env = TestFleet::new(0)?;
        put_config(&env.store, 2, &[]);
        let port = LateNodePort::start()?;
        for (index, domain) in ["keta-a", "accra-a"].into_iter().enumerate() {
            let options = SidecarOptions::new(&format!("n{index}"), domain, "registry");
            let mut addrs = SidecarFleet::free_addrs(env.store.addr())?;
            if index == 1 {
                addrs.advertised_node = port.addr;
            }
            env.fleet.add(options, addrs)?;
            env.fleet.start(index)?;
        }
        env.add_backend(1, 0.0)?;
        env.wait_peers(0, 1).await?;
        wait_logged(&env, 0, "configuration in force", 1, WAIT_LIMIT).await?;
        let before = env.fleet.log_lines(0, "configuration in force").len();
        let call = async { post(&env, 0, "/home/1", LARGE_BODY_BYTES).await };
        let change = async {
            let until = Instant::now() + WAIT_LIMIT;
            while port.announced.try_recv().is_err() {
                eyre::ensure!(Instant::now() < until, "no body is announced");
                actix_rt::time::sleep(Duration::from_millis(5)).await;
            }
            put_config(&env.store, 3, &["keta"]);
            let message = "configuration in force";
            wait_logged(&env, 0, message, before + 1, WAIT_LIMIT).await?;
            port.ask.send(())?;
            Ok(())
        };
        let ((status, text), ()) = futures_util::future::try_join(call, change).await?;
        expect_that!(status, eq(503));
        let code = ResultCode::OutsideHome.number().to_string();
        expect_that!(text, contains_substring(code));
        expect_that!(port.body.recv_timeout(WAIT_LIMIT)?, eq(0));
        Ok(())
    });
}
