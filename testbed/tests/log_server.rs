//! Tests of the stand-in for the platform's log.

mod support;

use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use support::LIMIT;
use support::any_port;
use support::block_on;
use support::send;
use testbed::log_server::END_HEADER;
use testbed::log_server::LogHandle;
use testbed::log_server::LogServer;
use testbed::log_server::OLDEST_HEADER;
use testbed::log_server::Outage;

const SHORT: Duration = Duration::from_millis(200);

fn url(log: &LogHandle, rest: &str) -> String {
    format!("http://{}{rest}", log.addr())
}

fn records(body: &[u8]) -> Vec<(u64, Vec<u8>)> {
    rmp_serde::from_slice(body).unwrap()
}

/// Guards against a wrong wire format, which the node's log client would not understand.
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
                LIMIT,
            )
            .await;
            expect_that!(res.unwrap().text(), eq(offset.to_string()));
        }
        let res = send(
            "GET",
            url(&log, "/streams/config?from=0&max=9"),
            &[],
            "",
            LIMIT,
        );
        let res = res.await.unwrap();
        expect_that!(
            records(&res.body),
            eq(&vec![(0, vec![1, 200, 255]), (1, b"second".to_vec())])
        );
        expect_that!(res.header(END_HEADER), some(eq("2")));
        expect_that!(res.header(OLDEST_HEADER), some(eq("0")));
        let res = send("GET", url(&log, "/streams/config?max=0"), &[], "", LIMIT);
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

/// Guards against a long poll that answers late or not at all after an append.
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
            LIMIT,
        );
        let append = async {
            actix_rt::time::sleep(SHORT).await;
            log.append("s", "x");
        };
        let (res, ()) = futures_util::future::join(poll, append).await;
        expect_that!(records(&res.unwrap().body), eq(&vec![(0, b"x".to_vec())]));
    });
    expect_that!(start.elapsed(), all!(ge(SHORT), lt(Duration::from_secs(2))));
    block_on(async {
        let poll = send(
            "GET",
            url(&log, "/streams/s?from=1&wait_ms=100"),
            &[],
            "",
            LIMIT,
        );
        expect_that!(records(&poll.await.unwrap().body), is_empty());
    });
}

/// Guards against a stream that keeps more than its retention, or hides that records are gone.
#[gtest]
fn retention_drops_oldest() {
    let log = LogServer::start(any_port()).unwrap();
    log.set_retention(2);
    for _ in 0..5 {
        log.append("s", "x");
    }
    block_on(async {
        let res = send("GET", url(&log, "/streams/s?from=2"), &[], "", LIMIT);
        let res = res.await.unwrap();
        expect_that!(res.status, eq(410));
        expect_that!(res.header(OLDEST_HEADER), some(eq("3")));
        let res = send("GET", url(&log, "/streams/s?from=3"), &[], "", LIMIT);
        expect_that!(records(&res.await.unwrap().body).len(), eq(2));
    });
}

/// Guards against an outage that lets requests through, or an append that it refused taking effect.
#[gtest]
fn outage_refuses_or_hangs() {
    let log = LogServer::start(any_port()).unwrap();
    block_on(async {
        let body = r#"{"outage":"refuse"}"#;
        let res = send("POST", url(&log, "/control"), &[], body, LIMIT).await;
        expect_that!(res.unwrap().status, eq(200));
        let res = send("POST", url(&log, "/streams/s"), &[], "x", LIMIT).await;
        expect_that!(res.unwrap().status, eq(503));
        log.set_outage(Outage::Hang);
        let res = send("POST", url(&log, "/streams/s"), &[], "x", SHORT).await;
        expect_that!(res.is_err(), eq(true));
        log.set_outage(Outage::Off);
        let res = send("POST", url(&log, "/streams/s"), &[], "x", LIMIT).await;
        expect_that!(res.unwrap().text(), eq("0"));
    });
}

/// Guards against a lost answer whose append did not take effect, the harmless case.
#[gtest]
fn lost_answer_took_effect() {
    let log = LogServer::start(any_port()).unwrap();
    log.lose_answers(1);
    block_on(async {
        let res = send("POST", url(&log, "/streams/s"), &[], "x", SHORT).await;
        expect_that!(res.is_err(), eq(true));
        let res = send("POST", url(&log, "/streams/s"), &[], "x", LIMIT).await;
        expect_that!(res.unwrap().text(), eq("1"));
    });
    expect_that!(log.records("s").len(), eq(2));
    expect_that!(log.report().counters.lost_answers, eq(1));
}

/// Guards against a rate limit and a delay without effect.
#[gtest]
fn limits_slow_appends() {
    let log = LogServer::start(any_port()).unwrap();
    log.set_append_rate(20);
    log.set_delay(Duration::from_millis(100));
    let start = Instant::now();
    block_on(async {
        for _ in 0..4 {
            let res = send("POST", url(&log, "/streams/s"), &[], "x", LIMIT).await;
            expect_that!(res.unwrap().status, eq(200));
        }
        let calls = (0..11).map(|_| send("POST", url(&log, "/streams/s"), &[], "x", LIMIT));
        futures_util::future::join_all(calls).await;
    });
    // Four delays in turn, then one delay and ten intervals of 50 ms.
    expect_that!(start.elapsed(), ge(Duration::from_millis(950)));
}
