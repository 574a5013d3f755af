//! Tests of the stand-in for a backend server.

mod support;

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::StatusCode;
use googletest::prelude::*;
use support::TIMEOUT;
use support::any_port;
use support::block_on;
use support::send;
use support::wait_for;
use testbed::backend_server::ANNOUNCE_PATH;
use testbed::backend_server::BackendHandle;
use testbed::backend_server::BackendOptions;
use testbed::backend_server::BackendServer;
use testbed::backend_server::Downstream;
use testbed::backend_server::Fault;
use testbed::backend_server::NUMBER_HEADER;
use testbed::backend_server::ResponseBody;
use testbed::backend_server::ServiceTime;
use testbed::backend_server::WITHDRAW_PATH;
use testbed::http;
use testbed::http::ServerThread;

const SHORT_TIMEOUT: Duration = Duration::from_millis(200);

fn options() -> BackendOptions {
    BackendOptions::new("b1", "registry", "v1")
}

fn url(server: &BackendHandle, rest: &str) -> String {
    format!("http://{}{rest}", server.addr())
}

/// Requests that the stand-in for a node received: path, headers and body.
type ReceivedRequests = Arc<Mutex<Vec<(String, Vec<(String, String)>, String)>>>;

fn recording_node() -> (ServerThread, ReceivedRequests) {
    let received = ReceivedRequests::default();
    let node = {
        let received = Arc::clone(&received);
        ServerThread::start("node", any_port(), move |listener| {
            http::serve(
                listener,
                |_| {},
                move |mut req| {
                    let received = Arc::clone(&received);
                    async move {
                        let body = http::read_body(&mut req, 4_096).await.unwrap();
                        let headers = req
                            .headers()
                            .iter()
                            .map(|(n, v)| (n.as_str().into(), v.to_str().unwrap().into()))
                            .collect();
                        let body = String::from_utf8(body.to_vec()).unwrap();
                        let path = req.path().to_owned();
                        received.lock().unwrap().push((path, headers, body));
                        http::text(StatusCode::OK, "")
                    }
                },
            )
        })
        .unwrap()
    };
    (node, received)
}

/// Guards against responses from which a caller cannot tell that they are complete and belong to
/// its request.
#[gtest]
fn response_identifies_request() {
    let server = BackendServer::start(options()).unwrap();
    let res = block_on(send(
        "GET",
        url(&server, "/lookup/7"),
        &[(NUMBER_HEADER, "42")],
        "",
        TIMEOUT,
    ))
    .unwrap();
    expect_that!(res.status, eq(200));
    expect_that!(res.header(NUMBER_HEADER), some(eq("42")));
    expect_that!(res.body.len(), eq(512));
    let body: ResponseBody = serde_json::from_slice(&res.body).unwrap();
    expect_that!(body.id, eq("b1"));
    expect_that!(body.service, eq("registry"));
    expect_that!(body.version, eq("v1"));
    expect_that!(body.path, eq("/lookup/7"));
    expect_that!(body.number, some(eq("42")));
}

/// Guards against requests that run twice without being reported.
#[gtest]
fn repeated_key_is_reported() {
    let server = BackendServer::start(options()).unwrap();
    block_on(async {
        for key in ["a", "b", "a"] {
            let headers = [("idempotency-key", key)];
            let res = send("POST", url(&server, "/claim"), &headers, "", TIMEOUT).await;
            expect_that!(res.unwrap().status, eq(200));
        }
    });
    let report = server.report();
    expect_that!(report.keys, eq(2));
    expect_that!(report.repeated_keys, eq(&vec![("a".into(), 2)]));
}

/// Guards against a crash that still sends a response or leaves the port open.
#[gtest]
fn crash_ends_server() {
    for (headers, body) in [(&[("x-crash", "1")][..], ""), (&[][..], "a CRASH b")] {
        let server = BackendServer::start(options()).unwrap();
        block_on(async {
            let res = send("POST", url(&server, "/"), headers, body, TIMEOUT).await;
            expect_that!(res.is_err(), eq(true));
        });
        wait_for("end of the server", || !server.is_running());
        expect_that!(server.has_crashed(), eq(true));
        expect_that!(
            std::net::TcpStream::connect(server.addr()).is_err(),
            eq(true)
        );
    }
}

/// Guards against faults that are active outside their conditions or never.
#[gtest]
fn faults_follow_conditions() {
    let server = BackendServer::start(options()).unwrap();
    let status = |path: &str| {
        block_on(send("GET", url(&server, path), &[], "", TIMEOUT))
            .unwrap()
            .status
    };
    server.set_faults(vec![Fault {
        path_prefix: "/bad".into(),
        error_rate: 1.0,
        after_calls: 3,
        ..Fault::default()
    }]);
    let statuses: Vec<u16> = (0..5).map(|_| status("/bad")).collect();
    expect_that!(statuses, eq(&vec![200, 200, 200, 500, 500]));
    expect_that!(status("/good"), eq(200));

    server.set_faults(vec![Fault {
        error_rate: 1.0,
        extra_us: 100_000,
        above_running: 1,
        ..Fault::default()
    }]);
    expect_that!(status("/"), eq(200));
    server.set_faults(vec![Fault {
        error_rate: 1.0,
        after_ms: 3_600_000,
        ..Fault::default()
    }]);
    expect_that!(status("/"), eq(200));
    server.set_faults(vec![Fault {
        hang: true,
        ..Fault::default()
    }]);
    let res = block_on(send("GET", url(&server, "/"), &[], "", SHORT_TIMEOUT));
    expect_that!(res.is_err(), eq(true));
    wait_for("cancellation", || server.report().counters.cancelled == 1);
}

/// Guards against a load-dependent fault that is active without load.
#[gtest]
fn fault_above_concurrency() {
    let mut options = options();
    options.service_time = ServiceTime {
        median_us: 100_000,
        p99_us: 100_000,
    };
    options.faults = vec![Fault {
        error_rate: 1.0,
        above_running: 2,
        ..Fault::default()
    }];
    let server = BackendServer::start(options).unwrap();
    let calls = (0..5).map(|_| send("GET", url(&server, "/"), &[], "", TIMEOUT));
    let replies = block_on(futures_util::future::join_all(calls));
    let failed = replies
        .into_iter()
        .filter(|r| r.as_ref().unwrap().status == 500);
    expect_that!(failed.count(), eq(3));
}

/// Guards against a backend server that runs more requests than it has slots.
#[gtest]
fn slots_bound_concurrency() {
    let mut options = options();
    options.slots = 2;
    options.service_time.median_us = 50_000;
    let server = BackendServer::start(options).unwrap();
    let calls = (0..8).map(|_| send("GET", url(&server, "/"), &[], "", TIMEOUT));
    let replies = block_on(futures_util::future::join_all(calls));
    let shed = replies
        .into_iter()
        .filter(|r| r.as_ref().unwrap().status == 503);
    expect_that!(shed.count(), eq(4));
    let counters = server.report().counters;
    expect_that!(counters.most_running, eq(2));
    expect_that!(counters.shed, eq(4));
}

/// Guards against frozen connections that recover, or new connections that do not work.
#[gtest]
fn frozen_connection_stays_frozen() {
    let server = BackendServer::start(options()).unwrap();
    block_on(async {
        let client = awc::Client::builder().timeout(SHORT_TIMEOUT).finish();
        let first = client.get(url(&server, "/")).send().await;
        first.unwrap().body().await.unwrap();
        server.freeze_connections();
        expect_that!(
            client.get(url(&server, "/")).send().await.is_err(),
            eq(true)
        );
        let res = send("GET", url(&server, "/"), &[], "", TIMEOUT).await;
        expect_that!(res.unwrap().status, eq(200));
    });
}

/// Guards against a graceful stop that interrupts requests or does not withdraw from the node
/// first.
#[gtest]
fn stop_is_graceful() {
    let (node, received) = recording_node();
    let mut options = options();
    options.node_addr = Some(node.addr());
    options.service_time.median_us = 600_000;
    let mut server = BackendServer::start(options).unwrap();
    wait_for("announcement", || !received.lock().unwrap().is_empty());
    let addr = server.addr();
    let reply = std::thread::spawn(move || {
        block_on(send("GET", format!("http://{addr}/"), &[], "", TIMEOUT))
    });
    wait_for("start of the request", || server.report().counters.ran == 1);
    server.stop();
    expect_that!(reply.join().unwrap().unwrap().status, eq(200));
    let received = received.lock().unwrap();
    let (path, _, body) = &received[0];
    expect_that!(path.as_str(), eq(ANNOUNCE_PATH));
    let announced: serde_json::Value = serde_json::from_str(body).unwrap();
    expect_that!(announced["service"].as_str(), some(eq("registry")));
    expect_that!(announced["version"].as_str(), some(eq("v1")));
    expect_that!(announced["slots"].as_u64(), some(eq(10)));
    expect_that!(
        announced["addr"].as_str(),
        some(eq(addr.to_string().as_str()))
    );
    expect_that!(received.last().unwrap().0.as_str(), eq(WITHDRAW_PATH));
}

/// Guards against a downstream call without the headers of its call tree: call id, remaining
/// retries and deadline.
#[gtest]
fn downstream_call_propagates_headers() {
    let (node, received) = recording_node();
    let mut options = options();
    options.downstream = vec![Downstream {
        path_prefix: "/".into(),
        node_addr: node.addr(),
        host: "archive".into(),
        path: "/sheets".into(),
    }];
    let server = BackendServer::start(options).unwrap();
    let headers = [
        ("sw-call", "c1"),
        ("sw-attempts", "2"),
        ("sw-deadline-ms", "900"),
    ];
    let res = block_on(send("GET", url(&server, "/"), &headers, "", TIMEOUT)).unwrap();
    let body: ResponseBody = serde_json::from_slice(&res.body).unwrap();
    expect_that!(body.downstream, some(eq(200)));
    let received = received.lock().unwrap();
    let (path, headers, _) = &received[0];
    let header = |name: &str| {
        let found = headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, v)| v.as_str())
    };
    expect_that!(path.as_str(), eq("/sheets"));
    expect_that!(header("host"), eq("archive"));
    expect_that!(header("sw-call"), eq("c1"));
    expect_that!(header("sw-attempts"), eq("2"));
    expect_that!(
        header("sw-deadline-ms").parse().unwrap_or(0_u64),
        all!(gt(0), le(900))
    );
}
