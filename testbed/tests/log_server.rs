//! Tests of the stand-in for the platform's log.

mod support;

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use support::TIMEOUT;
use support::any_port;
use support::block_on;
use support::send;
use testbed::log_server::END_HEADER;
use testbed::log_server::LogHandle;
use testbed::log_server::LogServer;
use testbed::log_server::OLDEST_HEADER;
use testbed::log_server::Outage;

const SHORT_TIME: Duration = Duration::from_millis(200);

fn url(log: &LogHandle, rest: &str) -> String {
    format!("http://{}{rest}", log.addr())
}

fn records(body: &[u8]) -> Vec<(u64, Vec<u8>)> {
    rmp_serde::from_slice(body).unwrap()
}

/// Guards against a wire format that the log client of a node cannot decode.
#[gtest]
fn records_read_back() {
    let log = LogServer::start(any_port()).unwrap();
    block_on(async {
        for (offset, body) in [vec![1_u8, 200, 255], b"second".to_vec()]
            .iter()
            .enumerate()
        {
            let res = send(
                "POST",
                url(&log, "/streams/config"),
                &[],
                body.clone(),
                TIMEOUT,
            )
            .await;
            expect_that!(res.unwrap().text(), eq(offset.to_string()));
        }
        let res = send(
            "GET",
            url(&log, "/streams/config?from=0&max=9"),
            &[],
            "",
            TIMEOUT,
        );
        let res = res.await.unwrap();
        expect_that!(
            records(&res.body),
            eq(&vec![(0, vec![1, 200, 255]), (1, b"second".to_vec())])
        );
        expect_that!(res.header(END_HEADER), some(eq("2")));
        expect_that!(res.header(OLDEST_HEADER), some(eq("0")));
        let res = send("GET", url(&log, "/streams/config?max=0"), &[], "", TIMEOUT);
        let res = res.await.unwrap();
        expect_that!(records(&res.body), is_empty());
        expect_that!(res.header(END_HEADER), some(eq("2")));
    });
    let report = log.report();
    expect_that!(report.counters.append.requests, eq(2));
    expect_that!(report.counters.read.requests, eq(1));
    expect_that!(report.counters.bounds.requests, eq(1));
    expect_that!(report.counters.append.bytes_in, ge(9));
}

/// Guards against a long poll that returns late or never after an append.
#[gtest]
fn long_poll_ends_with_append() {
    let log = LogServer::start(any_port()).unwrap();
    let start = Instant::now();
    block_on(async {
        let poll = send(
            "GET",
            url(&log, "/streams/s?from=0&wait_ms=4000"),
            &[],
            "",
            TIMEOUT,
        );
        let append = async {
            actix_rt::time::sleep(SHORT_TIME).await;
            log.append("s", "x");
        };
        let (res, ()) = futures_util::future::join(poll, append).await;
        expect_that!(records(&res.unwrap().body), eq(&vec![(0, b"x".to_vec())]));
    });
    expect_that!(
        start.elapsed(),
        all!(ge(SHORT_TIME), lt(Duration::from_secs(2)))
    );
    block_on(async {
        let poll = send(
            "GET",
            url(&log, "/streams/s?from=1&wait_ms=100"),
            &[],
            "",
            TIMEOUT,
        );
        expect_that!(records(&poll.await.unwrap().body), is_empty());
    });
}

/// Guards against a stream that retains too many records, or does not report that records were
/// removed.
#[gtest]
fn retention_drops_oldest() {
    let log = LogServer::start(any_port()).unwrap();
    log.set_retention(2);
    for _ in 0..5 {
        log.append("s", "x");
    }
    block_on(async {
        let res = send("GET", url(&log, "/streams/s?from=2"), &[], "", TIMEOUT);
        let res = res.await.unwrap();
        expect_that!(res.status, eq(410));
        expect_that!(res.header(OLDEST_HEADER), some(eq("3")));
        let res = send("GET", url(&log, "/streams/s?from=3"), &[], "", TIMEOUT);
        expect_that!(records(&res.await.unwrap().body).len(), eq(2));
    });
}

/// Guards against an outage that lets requests through, and a refused append that takes effect.
#[gtest]
fn outage_refuses_or_hangs() {
    let log = LogServer::start(any_port()).unwrap();
    block_on(async {
        let body = r#"{"outage":"refuse"}"#;
        let res = send("POST", url(&log, "/control"), &[], body, TIMEOUT).await;
        expect_that!(res.unwrap().status, eq(200));
        let res = send("POST", url(&log, "/streams/s"), &[], "x", TIMEOUT).await;
        expect_that!(res.unwrap().status, eq(503));
        log.set_outage(Outage::Hang);
        let res = send("POST", url(&log, "/streams/s"), &[], "x", SHORT_TIME).await;
        expect_that!(res.is_err(), eq(true));
        log.set_outage(Outage::Off);
        let res = send("POST", url(&log, "/streams/s"), &[], "x", TIMEOUT).await;
        expect_that!(res.unwrap().text(), eq("0"));
    });
}

/// Guards against a lost response whose append did not take effect: clients have to cope with
/// appends that took effect without a response.
#[gtest]
fn append_with_lost_response_took_effect() {
    let log = LogServer::start(any_port()).unwrap();
    log.lose_responses(1);
    block_on(async {
        let res = send("POST", url(&log, "/streams/s"), &[], "x", SHORT_TIME).await;
        expect_that!(res.is_err(), eq(true));
        let res = send("POST", url(&log, "/streams/s"), &[], "x", TIMEOUT).await;
        expect_that!(res.unwrap().text(), eq("1"));
    });
    expect_that!(log.records("s").len(), eq(2));
    expect_that!(log.report().counters.lost_answers, eq(1));
}

/// Guards against a rate limit or a delay that has no effect.
#[gtest]
fn limits_slow_appends() {
    let log = LogServer::start(any_port()).unwrap();
    log.set_append_rate(20);
    log.set_delay(Duration::from_millis(100));
    let start = Instant::now();
    block_on(async {
        for _ in 0..4 {
            let res = send("POST", url(&log, "/streams/s"), &[], "x", TIMEOUT).await;
            expect_that!(res.unwrap().status, eq(200));
        }
        let calls = (0..11).map(|_| send("POST", url(&log, "/streams/s"), &[], "x", TIMEOUT));
        futures_util::future::join_all(calls).await;
    });
    // Four delays of 100 ms in sequence, then one delay and ten rate limit intervals of 50 ms.
    expect_that!(start.elapsed(), ge(Duration::from_millis(950)));
}
