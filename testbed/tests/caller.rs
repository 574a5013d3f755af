//! Tests of the open-loop caller.

mod support;

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::Method;
use actix_http::StatusCode;
use googletest::prelude::*;
use support::any_port;
use testbed::backend_server::BackendOptions;
use testbed::backend_server::BackendServer;
use testbed::backend_server::Fault;
use testbed::backend_server::NUMBER_HEADER;
use testbed::backend_server::ResponseBody;
use testbed::caller::CallerOptions;
use testbed::caller::CallerReport;
use testbed::caller::CallerThread;
use testbed::caller::Keys;
use testbed::http;
use testbed::http::ServerThread;

fn run(options: CallerOptions) -> CallerReport {
    CallerThread::start(options).unwrap().join().unwrap()
}

/// Guards against a caller that does not keep the requested rate.
#[gtest]
fn rate_is_kept() {
    let server = BackendServer::start(BackendOptions::new("b1", "s", "v1")).unwrap();
    let options = CallerOptions::new(vec![server.addr()], 200.0, Duration::from_secs(1));
    let report = run(options);
    expect_that!(report.sent, eq(200));
    expect_that!(report.with_status(200), eq(200));
    expect_that!(report.mismatched, eq(0));
    expect_that!(report.malformed, eq(0));
    expect_that!(report.by_version[0].value, eq("v1"));
    expect_that!(report.p50_us, gt(0));
}

/// Guards against calls that are all the same request, which a quarantine would refuse all at once.
#[gtest]
fn path_carries_number() {
    let server = BackendServer::start(BackendOptions::new("b1", "s", "v1")).unwrap();
    let mut options = CallerOptions::new(vec![server.addr()], 100.0, Duration::from_millis(200));
    options.path = "/lookup/{n}?page=1".into();
    let report = run(options);
    expect_that!(report.with_status(200), eq(20));
    expect_that!(report.mismatched, eq(0));
}

/// Guards against coordinated omission: the latency of calls that were due while the server was
/// slow has to include the whole delay from the intended send time.
#[gtest]
fn latency_counts_from_intended_time() {
    let mut options = BackendOptions::new("b1", "s", "v1");
    options.slots = 1_000;
    options.max_connections = 1_000;
    options.faults = vec![Fault {
        extra_us: 300_000,
        ..Fault::default()
    }];
    let server = BackendServer::start(options).unwrap();
    let options = CallerOptions::new(vec![server.addr()], 100.0, Duration::from_secs(1));
    let report = run(options);
    expect_that!(report.with_status(200), eq(100));
    expect_that!(report.p50_us, ge(300_000));
    expect_that!(report.late_p99_us, lt(100_000));
}

/// Guards against a response check that accepts responses of other calls.
#[gtest]
fn responses_of_other_calls_are_mismatched() {
    let previous = AtomicU64::new(0);
    let previous: &'static AtomicU64 = Box::leak(Box::new(previous));
    let server = ServerThread::start("crossed", any_port(), move |listener| {
        http::serve(
            listener,
            |_| {},
            move |req| async move {
                let number = http::header_text(req.headers(), NUMBER_HEADER).unwrap();
                let last = previous.swap(number.parse().unwrap(), Ordering::SeqCst);
                let body = ResponseBody {
                    service: "s".into(),
                    version: "v1".into(),
                    id: "b1".into(),
                    path: "/".into(),
                    number: Some(last.to_string()),
                    downstream: None,
                    pad: String::new(),
                };
                http::json(StatusCode::OK, &body)
            },
        )
    })
    .unwrap();
    let report = run(CallerOptions::new(
        vec![server.addr()],
        100.0,
        Duration::from_millis(500),
    ));
    expect_that!(report.with_status(200), eq(50));
    expect_that!(report.mismatched, eq(50));
}

/// Guards against a response check that accepts an incomplete body with status 200.
#[gtest]
fn incomplete_bodies_are_malformed() {
    let server = ServerThread::start("cut", any_port(), move |listener| {
        http::serve(
            listener,
            |_| {},
            |_| async { http::text(StatusCode::OK, r#"{"service":"s","ver"#) },
        )
    })
    .unwrap();
    let report = run(CallerOptions::new(
        vec![server.addr()],
        100.0,
        Duration::from_millis(200),
    ));
    expect_that!(report.malformed, eq(20));
}

/// Guards against missing keys, and repeated calls that do not reuse a key.
#[gtest]
fn repeated_calls_reuse_keys() {
    let server = BackendServer::start(BackendOptions::new("b1", "s", "v1")).unwrap();
    let mut options = CallerOptions::new(vec![server.addr()], 200.0, Duration::from_secs(1));
    options.method = Method::POST;
    options.keys = Keys::Fresh { repeated: 0.2 };
    let report = run(options);
    let server = server.report();
    expect_that!(report.repeated, all!(gt(10), lt(80)));
    expect_that!(server.keys, eq(report.sent - report.repeated));
    expect_that!(server.repeated_keys.is_empty(), eq(false));
}

/// Guards against failures that are counted as responses.
#[gtest]
fn refused_connections_are_failures() {
    let addr = std::net::TcpListener::bind(any_port())
        .unwrap()
        .local_addr()
        .unwrap();
    let report = run(CallerOptions::new(
        vec![addr],
        100.0,
        Duration::from_millis(100),
    ));
    expect_that!(report.answered, eq(0));
    expect_that!(report.by_failure[0].value, eq("connect"));
    expect_that!(report.by_failure[0].calls, eq(10));
}
