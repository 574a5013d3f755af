//! Broken responses on the loopback interface, read by both HTTP clients: the connection pool of the sidecar, which
//! also calls the store, other nodes and health paths, and the client of `node`, which the commands use as well.

mod broken_common;

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_http::uri::PathAndQuery;
use broken_common::End;
use broken_common::HEADS_WITHOUT_LENGTH;
use broken_common::INVALID_FIELD_NAMES;
use broken_common::INVALID_FIELD_VALUES;
use broken_common::INVALID_FRAMINGS;
use broken_common::INVALID_LINES;
use broken_common::INVALID_STATUS_LINES;
use bytes::Bytes;
use googletest::prelude::*;
use sycamorewick::transport::exchange::ConnectionPool;
use sycamorewick::transport::exchange::Exchange;
use sycamorewick::transport::exchange::ExchangeFailure;
use sycamorewick::transport::http_client::HttpClient;
use sycamorewick::transport::http_client::HttpResponse;
use sycamorewick::transport::http_client::OutgoingRequest;
use sycamorewick::transport::http_client::SendFailure;

/// Body of an upload, bytes; more than the socket buffers take.
const UPLOAD_BYTES: usize = 8 << 20;
/// Uploads for each form of a response. In how many of them a write finds the reset is up to the kernel.
const UPLOADS: usize = 20;
/// Time limit of a request. A client that waits longer has taken an invalid head for an incomplete one.
const TIME_LIMIT: Duration = Duration::from_secs(10);
/// Header that names the request in a response.
const ID: HeaderName = HeaderName::from_static("x-id");
const ID_VALUE: &str = "own";

/// Starts a peer that answers each request with the same bytes.
fn peer(response: &str, end: End) -> io::Result<SocketAddr> {
    let response = response.as_bytes().to_vec();
    let addr = (Ipv4Addr::LOCALHOST, 0).into();
    broken_common::start_peer(addr, move |_| (response.clone(), end))
}

/// Sends a request through a new connection pool.
async fn send_by_pool(
    addr: SocketAddr,
    body: usize,
) -> std::result::Result<HttpResponse, ExchangeFailure> {
    let id = HeaderValue::from_static(ID_VALUE);
    let exchange = Exchange {
        addr,
        method: Method::POST,
        target: PathAndQuery::from_static("/wrecks/1"),
        headers: Vec::new(),
        body: vec![b'x'; body].into(),
        max_idle: Duration::ZERO,
        echo: Some((&ID, &id)),
        expect_continue: false,
        responding: None,
        max_response_bytes: 1 << 20,
    };
    let pool = ConnectionPool::default();
    let sent = actix_rt::time::timeout(TIME_LIMIT, pool.send(exchange));
    sent.await.expect("the exchange ends in time")
}

/// Sends a request through a new client of `node`.
async fn send_by_client(
    addr: SocketAddr,
    method: Method,
    body: usize,
) -> std::result::Result<HttpResponse, SendFailure> {
    let outgoing = OutgoingRequest {
        method,
        target: PathAndQuery::from_static("/wrecks/1"),
        headers: Vec::new(),
        body: vec![b'x'; body].into(),
        timeout: TIME_LIMIT,
        max_response_bytes: 1 << 20,
    };
    HttpClient::new(1).send(addr, outgoing).await
}

/// Runs a test in an `actix` system.
fn run<F: Future<Output = io::Result<()>>>(test: F) {
    actix_rt::System::new().block_on(test).expect("a peer");
}

/// Expects that a client reports each of these responses as broken.
fn expect_broken_by_pool(responses: impl Iterator<Item = String>) {
    run(async {
        for response in responses {
            let sent = send_by_pool(peer(&response, End::Open)?, 0).await;
            expect_that!(
                sent.map(text),
                err(matches_pattern!(ExchangeFailure::Broken { .. })),
                "{response:?}"
            );
        }
        Ok(())
    });
}

/// Expects that a client reports uploads as broken whose response is made from each head without a length, and then
/// reset.
fn expect_broken_uploads_by_pool(response: impl Fn(&str) -> String) {
    run(async {
        for head in HEADS_WITHOUT_LENGTH {
            let addr = peer(&response(head), End::Reset)?;
            for _ in 0..UPLOADS {
                let sent = send_by_pool(addr, UPLOAD_BYTES).await;
                expect_that!(
                    sent.map(text),
                    err(matches_pattern!(ExchangeFailure::Broken { .. })),
                    "{head:?}"
                );
            }
        }
        Ok(())
    });
}

/// Expects that the client of `node` reports each of these responses as broken.
fn expect_broken_by_client(responses: impl Iterator<Item = String>) {
    run(async {
        for response in responses {
            let sent = send_by_client(peer(&response, End::Open)?, Method::POST, 0).await;
            expect_that!(
                sent.map(text),
                err(matches_pattern!(SendFailure::Broken(_))),
                "{response:?}"
            );
        }
        Ok(())
    });
}

fn text(response: HttpResponse) -> (u16, Bytes) {
    (response.status.as_u16(), response.body)
}

fn with_status_lines() -> impl Iterator<Item = String> {
    INVALID_STATUS_LINES
        .iter()
        .map(|line| format!("{line}\r\ncontent-length: 2\r\n\r\nno"))
}

fn with_field_names() -> impl Iterator<Item = String> {
    let beside_length = INVALID_FIELD_NAMES.iter().flat_map(|field| {
        let first = format!("HTTP/1.1 200 OK\r\n{field}\r\ncontent-length: 2\r\n\r\nok");
        let last = format!("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n{field}\r\n\r\nok");
        [first, last]
    });
    // The broken field determines the length of the body.
    let as_length = [
        "HTTP/1.1 200 OK\r\ncontent-length : 1\r\n\r\nok",
        "HTTP/1.1 200 OK\r\ntransfer-encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
    ];
    beside_length.chain(as_length.map(str::to_owned))
}

fn with_field_values() -> impl Iterator<Item = String> {
    INVALID_FIELD_VALUES
        .iter()
        .map(|field| format!("HTTP/1.1 200 OK\r\n{field}\r\ncontent-length: 2\r\n\r\nok"))
}

fn with_lines() -> impl Iterator<Item = String> {
    INVALID_LINES.iter().map(|head| format!("{head}ok"))
}

fn with_framings() -> impl Iterator<Item = String> {
    INVALID_FRAMINGS
        .iter()
        .map(|head| format!("{head}\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
}

/// Guards against a partial response that is taken for a complete one: the peer resets the connection while the request
/// is still being written, the write finds the reset, and the kernel does not report it to the next read.
#[gtest]
fn pool_upload_reset_after_part() {
    expect_broken_uploads_by_pool(|head| format!("{head}\r\npart"));
}

/// Guards against the same after a response to another request, which is skipped: the write that follows it fails with
/// another error than the reset.
#[gtest]
fn pool_upload_reset_after_skipped_response() {
    let skipped = format!("HTTP/1.1 200 OK\r\n{ID}: other\r\ncontent-length: 3\r\n\r\nold");
    expect_broken_uploads_by_pool(|head| format!("{skipped}{head}{ID}: {ID_VALUE}\r\n\r\npart"));
}

/// Guards against refusing a complete response to an upload because the connection was reset after its end. The pool
/// refuses HTTP/1.0 responses without a length.
#[gtest]
fn pool_upload_reset_after_end() {
    run(async {
        let heads = HEADS_WITHOUT_LENGTH.iter();
        for head in heads.filter(|head| head.starts_with("HTTP/1.1")) {
            let addr = peer(&format!("{head}\r\nwhole"), End::CloseThenReset)?;
            for _ in 0..UPLOADS {
                let sent = send_by_pool(addr, UPLOAD_BYTES).await;
                let whole = (200, Bytes::from_static(b"whole"));
                expect_that!(sent.map(text), ok(eq(&whole)), "{head:?}");
            }
        }
        Ok(())
    });
}

/// Guards against a response with an invalid status code that is passed on.
#[gtest]
fn pool_invalid_status() {
    expect_broken_by_pool(with_status_lines());
}

/// Guards against an invalid line of a head that is passed on or read as another field.
#[gtest]
fn pool_invalid_field_name() {
    expect_broken_by_pool(with_field_names());
}

/// Guards against a value that is passed on with a control byte or without its continuation.
#[gtest]
fn pool_invalid_field_value() {
    expect_broken_by_pool(with_field_values());
}

/// Guards against a head that other recipients split into other lines.
#[gtest]
fn pool_invalid_lines() {
    expect_broken_by_pool(with_lines());
}

/// Guards against a body whose end other recipients find elsewhere.
#[gtest]
fn pool_invalid_framing() {
    expect_broken_by_pool(with_framings());
}

/// Guards against a partial response that is taken for a complete one.
#[gtest]
fn client_upload_reset_after_part() {
    run(async {
        for head in HEADS_WITHOUT_LENGTH {
            let addr = peer(&format!("{head}\r\npart"), End::Reset)?;
            for _ in 0..UPLOADS {
                let sent = send_by_client(addr, Method::POST, UPLOAD_BYTES).await;
                expect_that!(
                    sent.map(text),
                    err(matches_pattern!(SendFailure::Broken(_))),
                    "{head:?}"
                );
            }
        }
        Ok(())
    });
}

/// Guards against a response without a length that is passed on with an empty body instead of its own.
#[gtest]
fn client_response_without_length() {
    run(async {
        for head in HEADS_WITHOUT_LENGTH {
            let addr = peer(&format!("{head}\r\nwhole"), End::Close)?;
            let sent = send_by_client(addr, Method::GET, 0).await;
            expect_that!(
                sent.map(text),
                err(matches_pattern!(SendFailure::Broken(_))),
                "{head:?}"
            );
        }
        Ok(())
    });
}

/// Guards against a response with an invalid status code that is passed on.
#[gtest]
fn client_invalid_status() {
    expect_broken_by_client(with_status_lines());
}

/// Guards against an invalid line of a head that is passed on or read as another field.
#[gtest]
fn client_invalid_field_name() {
    expect_broken_by_client(with_field_names());
}

/// Guards against a value that is passed on with a control byte or without its continuation.
#[gtest]
fn client_invalid_field_value() {
    expect_broken_by_client(with_field_values());
}

/// Guards against a head that other recipients split into other lines.
#[gtest]
fn client_invalid_lines() {
    expect_broken_by_client(with_lines());
}

/// Guards against a body whose end other recipients find elsewhere.
#[gtest]
fn client_invalid_framing() {
    expect_broken_by_client(with_framings());
}
