//! HTTP exchanges over pooled connections with faulty peers on the loopback interface.

use std::cell::Cell;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::pin::pin;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use actix_http::Method;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_http::uri::PathAndQuery;
use bytes::Bytes;
use futures_util::future::Either;
use futures_util::future::select;
use googletest::prelude::*;
use socket2::SockRef;
use sycamorewick::transport::connection_limit::ConnectionLimit;
use sycamorewick::transport::exchange::CONNECTION_WAIT;
use sycamorewick::transport::exchange::ConnectionPool;
use sycamorewick::transport::exchange::Exchange;
use sycamorewick::transport::exchange::ExchangeFailure;
use sycamorewick::transport::exchange::MAX_BUFFERED_BYTES;
use sycamorewick::transport::exchange::SendOptions;
use sycamorewick::transport::exchange::enable_dead_peer_detection;
use sycamorewick::transport::http_client::HttpResponse;

const ID: HeaderName = HeaderName::from_static("x-id");

/// Bytes that an endless response may have before the exchange fails. The socket buffers of the loopback
/// interface take most of them.
const MAX_ENDLESS_BYTES: usize = 48 << 20;

/// Starts a peer that serves each connection with one list of responses, one for each request. `RESET`
/// at the end of a response resets the connection.
fn peer(connections: Vec<Vec<&'static str>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for responses in connections {
            let Ok((stream, _)) = listener.accept() else {
                return;
            };
            thread::spawn(move || serve(stream, &responses));
        }
    });
    addr
}

fn serve(mut stream: TcpStream, responses: &[&str]) {
    let mut buf = [0; 4_096];
    for response in responses {
        if stream.read(&mut buf).unwrap_or(0) == 0 {
            return;
        }
        match response.strip_suffix("RESET") {
            Some(part) => {
                let _ = stream.write_all(part.as_bytes());
                thread::sleep(Duration::from_millis(20));
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                return;
            }
            None => {
                let _ = stream.write_all(response.as_bytes());
            }
        }
    }
}

/// Starts a peer that answers one request with `begin` and then `repeated` without end, until the
/// connection is closed. Returns the number of bytes that it could send.
fn endless_peer(begin: &'static str, repeated: &'static str) -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let Ok((mut stream, _)) = listener.accept() else {
            return;
        };
        let _ = stream.read(&mut [0; 4_096]);
        let block = repeated.repeat(512);
        let mut sent = 0;
        let mut written = stream.write_all(begin.as_bytes());
        while written.is_ok() && sent <= MAX_ENDLESS_BYTES {
            sent += block.len();
            written = stream.write_all(block.as_bytes());
        }
        let _ = tx.send(sent);
    });
    (addr, rx)
}

fn get<'a>(addr: SocketAddr) -> Exchange<'a> {
    Exchange {
        addr,
        method: Method::GET,
        target: PathAndQuery::from_static("/wrecks/1"),
        headers: Vec::new(),
        body: Bytes::new(),
        max_idle: Duration::from_secs(5),
        echo: None,
        expect_continue: false,
        responding: None,
        max_response_bytes: 1_024,
    }
}

async fn send(
    pool: &ConnectionPool,
    addr: SocketAddr,
    id: &'static str,
) -> std::result::Result<HttpResponse, ExchangeFailure> {
    let id = HeaderValue::from_static(id);
    let exchange = Exchange {
        headers: vec![(ID, id.clone())],
        echo: Some((&ID, &id)),
        ..get(addr)
    };
    let response = pool.send(exchange);
    let limit = Duration::from_secs(10);
    actix_rt::time::timeout(limit, response)
        .await
        .expect("the exchange ends in time")
}

fn run<T>(future: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(future)
}

/// Guards against a transfer that counts as stalled although bytes arrive.
#[gtest]
fn send_reports_received_bytes() {
    let calls = Cell::new(0);
    let response = run(async {
        let addr = peer(vec![vec!["HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"]]);
        let pool = ConnectionPool::default();
        let on_receive = || calls.set(calls.get() + 1);
        let options = SendOptions {
            on_receive: &on_receive,
            ..SendOptions::default()
        };
        pool.send_with(get(addr), &options).await
    });
    expect_that!(response, ok(anything()));
    expect_that!(calls.get(), gt(0));
}

/// Guards against returning the late response to another request.
#[gtest]
fn send_skips_unrelated_response() {
    run(async {
        let unrelated = "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 3\r\n\r\noldHTTP/1.1 200 OK\r\nx-id: b\r\ncontent-length: 3\r\n\r\nnew";
        let addr = peer(vec![vec![unrelated]]);
        let response = send(&ConnectionPool::default(), addr, "b")
            .await
            .expect("an answer");
        expect_that!(&response.body[..], eq(b"new"));
    });
}

/// Guards against an answer with the status, headers or body of another one: a late copy of an earlier response is
/// cut off at any byte, the real response follows, and then a copy of that, cut off as well.
#[gtest]
fn send_after_cut_copy() {
    const FIRST: &str =
        "HTTP/1.1 503 Busy\r\nx-seal: a\r\nx-id: a\r\nserver: s\r\ncontent-length: 4\r\n\r\nbusy";
    const REAL: &str =
        "HTTP/1.1 200 OK\r\nx-seal: b\r\nx-id: b\r\nserver: s\r\ncontent-length: 3\r\n\r\nnew";
    run(async {
        for cut in 1..FIRST.len() {
            let (copy, again) = (&FIRST[..cut], &REAL[..REAL.len() - 1]);
            let second: &'static str = format!("{copy}{REAL}{again}{REAL}").leak();
            let addr = peer(vec![vec![FIRST, second]]);
            let pool = ConnectionPool::default();
            send(&pool, addr, "a").await.expect("an answer");
            let Ok(response) = send(&pool, addr, "b").await else {
                continue;
            };
            let seal = response.headers.get("x-seal").expect("a seal");
            expect_that!(response.status.as_u16(), eq(200), "cut at {cut}");
            expect_that!(seal.as_bytes(), eq(b"b"), "cut at {cut}");
            expect_that!(&response.body[..], eq(b"new"), "cut at {cut}");
        }
    });
}

/// Guards against reusing a connection on which an unexpected response arrived.
#[gtest]
fn send_after_extra_response() {
    run(async {
        let extra = "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 1\r\n\r\n1HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n2";
        let second = "HTTP/1.1 200 OK\r\nx-id: b\r\ncontent-length: 1\r\n\r\n3";
        let addr = peer(vec![vec![extra], vec![second]]);
        let pool = ConnectionPool::default();
        let first = send(&pool, addr, "a").await.expect("an answer");
        expect_that!(&first.body[..], eq(b"1"));
        let next = send(&pool, addr, "b").await.expect("an answer");
        expect_that!(&next.body[..], eq(b"3"));
    });
}

/// Guards against refusing a body that ends with its connection, which RFC 9112 allows.
#[gtest]
fn send_body_until_close() {
    run(async {
        let addr = peer(vec![vec!["HTTP/1.1 200 OK\r\nx-id: a\r\n\r\nwhole"]]);
        let response = send(&ConnectionPool::default(), addr, "a")
            .await
            .expect("an answer");
        expect_that!(&response.body[..], eq(b"whole"));
    });
}

/// Guards against accepting a body as complete although its connection was reset.
#[gtest]
fn send_body_until_reset() {
    run(async {
        let addr = peer(vec![vec!["HTTP/1.1 200 OK\r\nx-id: a\r\n\r\npartRESET"]]);
        let result = send(&ConnectionPool::default(), addr, "a").await;
        expect_that!(
            result.err(),
            some(matches_pattern!(ExchangeFailure::Broken { .. }))
        );
    });
}

/// Guards against accepting a truncated response as a shorter complete one.
#[gtest]
fn send_truncated_body() {
    run(async {
        let addr = peer(vec![vec![
            "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 9\r\n\r\ncut",
        ]]);
        let result = send(&ConnectionPool::default(), addr, "a").await;
        expect_that!(
            result.err(),
            some(matches_pattern!(ExchangeFailure::Broken { .. }))
        );
    });
}

/// Guards against a response whose head was cut and that is passed on as an empty or short one with status
/// 200, framed as whole.
#[gtest]
fn send_truncated_head() {
    let heads = [
        "HTTP/1.1 200",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nx-id: a\r\n",
        "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 9",
        "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 9\r\n\r",
        "HTTP/1.1 200 OK\r\nx-id: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\ncut\r\n0\r\n",
    ];
    run(async {
        for head in heads {
            let addr = peer(vec![vec![head]]);
            let result = send(&ConnectionPool::default(), addr, "a").await;
            expect_that!(
                result.err(),
                some(matches_pattern!(ExchangeFailure::Broken { .. })),
                "{head:?}"
            );
        }
    });
}

/// Guards against the refusal of an earlier request that a peer writes once more on a kept connection: the
/// request that runs there was reported as not run. Without an id it could belong to any request.
#[gtest]
fn send_repeated_refusal() {
    run(async {
        let first = "HTTP/1.1 503 Busy\r\nx-id: a\r\ncontent-length: 0\r\n\r\n";
        let repeated = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";
        let addr = peer(vec![vec![first, repeated]]);
        let pool = ConnectionPool::default();
        let refused = send(&pool, addr, "a").await.expect("an answer");
        expect_that!(refused.status.as_u16(), eq(503));
        let result = send(&pool, addr, "b").await;
        expect_that!(
            result.err(),
            some(matches_pattern!(ExchangeFailure::Broken {
                reused: eq(&true),
                ..
            }))
        );
    });
}

/// Guards against a repeated refusal of the same attempt, which comes back to a backend server that had
/// refused it: the id does not tell the two apart, so they use different connections.
#[gtest]
fn send_after_refusal_of_same_request() {
    run(async {
        let refusal = "HTTP/1.1 503 Busy\r\nx-id: a\r\ncontent-length: 0\r\n\r\n";
        let other = "HTTP/1.1 200 OK\r\nx-id: b\r\ncontent-length: 5\r\n\r\nother";
        let answer = "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 3\r\n\r\nran";
        let addr = peer(vec![vec![refusal, other, refusal], vec![answer]]);
        let pool = ConnectionPool::default();
        let mut statuses = Vec::new();
        for id in ["a", "b", "a"] {
            let response = send(&pool, addr, id).await.expect("an answer");
            statuses.push(response.status.as_u16());
        }
        expect_that!(statuses, elements_are![eq(&503), eq(&200), eq(&200)]);
    });
}

/// Guards against a peer that sends bytes without end, in the head or in the body: the exchange must fail
/// with bounded memory instead of reading on.
#[gtest]
fn send_endless_response() {
    let streams = [
        ("HTTP/1.1 200 OK\r\n", "x-more: 1\r\n"),
        ("HTTP/1.1 200 OK\r\nx-long: ", "aaaaaaaaaaaaaaaa"),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("", "no response in this protocol "),
        ("HTTP/1.1 200 OK\r\nx-id: a\r\n\r\n", "body without an end "),
        (
            "HTTP/1.1 200 OK\r\nx-id: a\r\ntransfer-encoding: chunked\r\n\r\n",
            "4\r\nmore\r\n",
        ),
        (
            "HTTP/1.1 200 OK\r\nx-id: a\r\ntransfer-encoding: chunked\r\n\r\n4;",
            "extension",
        ),
    ];
    run(async {
        for (begin, repeated) in streams {
            let (addr, sent) = endless_peer(begin, repeated);
            let result = send(&ConnectionPool::default(), addr, "a").await;
            expect_true!(result.is_err(), "{begin:?} {repeated:?}");
            let sent = sent.recv().expect("the number of bytes");
            expect_that!(sent, le(MAX_ENDLESS_BYTES), "{begin:?} {repeated:?}");
        }
    });
}

/// Guards against a process that is killed for its memory because several responses without an end are
/// received at the same time, each below the limit of one response.
#[gtest]
fn send_endless_responses_together() {
    run(async {
        let pool = ConnectionPool::default();
        let begin = "HTTP/1.1 200 OK\r\nx-id: a\r\n\r\n";
        let sent = (0..8).map(|_| {
            let (addr, _) = endless_peer(begin, "body without an end ");
            let id = HeaderValue::from_static("a");
            let pool = &pool;
            async move {
                let exchange = Exchange {
                    echo: Some((&ID, &id)),
                    expect_continue: false,
                    responding: None,
                    max_response_bytes: 16 << 20,
                    ..get(addr)
                };
                pool.send(exchange).await
            }
        });
        let mut peak = 0;
        let sample = async {
            loop {
                peak = pool.buffered_bytes().max(peak);
                tokio::task::yield_now().await;
            }
        };
        let all = futures_util::future::join_all(sent);
        let results = match select(pin!(all), pin!(sample)).await {
            Either::Left((results, _)) => results,
            Either::Right(_) => Vec::new(),
        };
        expect_that!(results.len(), eq(8));
        expect_true!(results.iter().all(std::result::Result::is_err));
        expect_that!(peak, le(MAX_BUFFERED_BYTES));
        expect_that!(pool.buffered_bytes(), eq(0));
        // What was counted for them is free again.
        let whole = peer(vec![vec![
            "HTTP/1.1 200 OK\r\nx-id: a\r\ncontent-length: 5\r\n\r\nwhole",
        ]]);
        expect_true!(send(&pool, whole, "a").await.is_ok());
    });
}

/// Guards against an endless stream of informational responses to an announced body, which kept the node busy
/// until the deadline.
#[gtest]
fn send_announced_body_endless_informational() {
    let (addr, sent) = endless_peer("", "HTTP/1.1 102 Processing\r\n\r\n");
    let result = run(async {
        let exchange = Exchange {
            body: vec![1; 60_000].into(),
            expect_continue: true,
            ..get(addr)
        };
        let pool = ConnectionPool::default();
        let sent = pool.send(exchange);
        actix_rt::time::timeout(Duration::from_secs(10), sent).await
    });
    expect_that!(result, ok(err(anything())));
    let sent = sent.recv().expect("the number of bytes");
    expect_that!(sent, le(MAX_ENDLESS_BYTES));
}

/// Guards against an announced body that is sent although it may no longer be, once the peer asks for it.
#[gtest]
fn send_with_announced_body_withheld() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let peer = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_head(&mut stream).expect("a head");
        let _ = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
        let mut body = Vec::new();
        let _ = stream.read_to_end(&mut body);
        body.len()
    });
    let result = run(async {
        let exchange = Exchange {
            body: vec![1; 60_000].into(),
            expect_continue: true,
            ..get(addr)
        };
        let pool = ConnectionPool::default();
        let options = SendOptions {
            may_send_body: &|| false,
            ..SendOptions::default()
        };
        pool.send_with(exchange, &options).await
    });
    expect_that!(
        result,
        err(matches_pattern!(ExchangeFailure::NotSent(anything())))
    );
    expect_that!(peer.join().expect("the number of bytes"), eq(0));
}

/// Guards against a peer whose long response in tiny chunks keeps the process from everything else: beside
/// twelve of them five calls were served in 1.5 s.
#[gtest]
fn send_tiny_chunks() {
    run(async {
        let begin = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let (addr, _) = endless_peer(begin, "4\r\nmore\r\n");
        let pool = ConnectionPool::default();
        let exchange = Exchange {
            max_response_bytes: 16 << 20,
            ..get(addr)
        };
        let peak = Cell::new(0);
        let sample = async {
            loop {
                peak.set(pool.buffered_bytes().max(peak.get()));
                tokio::task::yield_now().await;
            }
        };
        let (response, sample) = (pin!(pool.send(exchange)), pin!(sample));
        let ended = select(response, sample).await;
        expect_true!(matches!(ended, Either::Left((Err(_), _))));
        expect_that!(peak.get(), le(1 << 20));
    });
}

/// Starts a peer that answers each request with `bytes` of a body, and then sends nothing more.
fn holding_peer(bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut stream = stream;
                let _ = read_head(&mut stream);
                let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n");
                let _ = stream.write_all(&vec![b'x'; bytes]);
                let _ = stream.read(&mut [0]);
            });
        }
    });
    addr
}

/// Guards against a faulty peer whose unfinished responses take all the memory for responses, so that those of
/// other peers fail, small ones and large ones.
#[gtest]
fn send_beside_held_responses() {
    const HELD_BYTES: usize = 4 << 20;
    run(async {
        let pool = ConnectionPool::default();
        let faulty = holding_peer(HELD_BYTES);
        let large = |addr| Exchange {
            max_response_bytes: 16 << 20,
            ..get(addr)
        };
        let held = (0..12).map(|_| pool.send(large(faulty)));
        let held = futures_util::future::join_all(held);
        let others = async {
            // The faulty peer has what it may have by then.
            while pool.buffered_bytes() < 3 * HELD_BYTES {
                actix_rt::time::sleep(Duration::from_millis(10)).await;
            }
            actix_rt::time::sleep(Duration::from_millis(200)).await;
            expect_that!(pool.buffered_bytes(), le(MAX_BUFFERED_BYTES));
            let whole = peer(vec![vec![
                "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole",
            ]]);
            expect_that!(pool.send(get(whole)).await, ok(anything()));
            let addr = sized_peer(1 << 20);
            let response = pool.send(large(addr)).await;
            let length = response.map(|response| response.body.len());
            expect_that!(length, ok(eq(&(1 << 20))));
        };
        let limit = Duration::from_secs(20);
        let (held, others) = (pin!(held), pin!(others));
        let done = actix_rt::time::timeout(limit, select(held, others)).await;
        expect_true!(matches!(done, Ok(Either::Right(_))));
    });
}

/// Starts a peer that answers one request with a body of `bytes`.
fn sized_peer(bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        if let Ok((mut stream, _)) = listener.accept() {
            let _ = read_head(&mut stream);
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {bytes}\r\n\r\n");
            let _ = stream.write_all(head.as_bytes());
            let _ = stream.write_all(&vec![b'x'; bytes]);
        }
    });
    addr
}

/// Guards against reporting a request as not sent that was written to a connection.
#[gtest]
fn send_closed_without_response() {
    run(async {
        let addr = peer(vec![vec!["RESET"]]);
        let result = send(&ConnectionPool::default(), addr, "a").await;
        expect_that!(
            result.err(),
            some(matches_pattern!(ExchangeFailure::Broken {
                reused: eq(&false),
                ..
            }))
        );
    });
}

/// Guards against reporting a request as possibly sent although no connection was opened.
#[gtest]
fn send_without_peer() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        drop(listener);
        let result = send(&ConnectionPool::default(), addr, "a").await;
        expect_that!(
            result.err(),
            some(matches_pattern!(ExchangeFailure::NotSent(_)))
        );
    });
}

/// Guards against a connection that never ends after its peer was cut off. Keep-alive times are whole
/// seconds, and half a second disabled them, so that a long poll of the store outlasted a network
/// outage of 12 s.
#[gtest]
fn enable_dead_peer_detection_sets_options() {
    run(async {
        let addr = peer(vec![vec![]]);
        let stream = actix_rt::net::TcpStream::connect(addr)
            .await
            .expect("a connection");
        enable_dead_peer_detection(&stream).expect("the options are taken");
        let socket = SockRef::from(&stream);
        expect_that!(
            socket.tcp_keepalive_interval().expect("an interval"),
            ge(Duration::from_secs(1))
        );
        expect_that!(
            socket.tcp_keepalive_time().expect("a time"),
            eq(Duration::from_secs(1))
        );
        expect_that!(
            socket.tcp_user_timeout().expect("a time-out"),
            some(eq(Duration::from_secs(1)))
        );
    });
}

/// Reads the head of a request and nothing of its body.
fn read_head(stream: &mut TcpStream) -> io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    Ok(())
}

/// Starts a peer that answers a request as soon as it has read the head, and returns how many bytes of
/// the body arrived until the connection was closed.
fn peer_without_body(response: &'static str) -> (SocketAddr, Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        let Ok((mut stream, _)) = listener.accept() else {
            return;
        };
        if read_head(&mut stream).is_err() {
            return;
        }
        let _ = stream.write_all(response.as_bytes());
        // The answer has to be delivered although the rest of the body is not read for a while.
        thread::sleep(Duration::from_millis(500));
        let mut received = 0;
        let mut buf = vec![0; 64 << 10];
        while let Ok(count @ 1..) = stream.read(&mut buf) {
            received += count;
        }
        let _ = tx.send(received);
    });
    (addr, rx)
}

const REFUSAL: &str = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 2\r\n\r\nno";

/// A body that the peer refuses must not be sent: on a narrow link it delays all other calls.
#[gtest]
fn send_announced_body_refused() {
    let (addr, received) = peer_without_body(REFUSAL);
    let response = run(async {
        let exchange = Exchange {
            body: vec![1; 60_000].into(),
            expect_continue: true,
            ..get(addr)
        };
        ConnectionPool::default().send(exchange).await
    });
    expect_that!(
        response.map(|response| response.status.as_u16()),
        ok(eq(&503))
    );
    expect_that!(received.recv_timeout(Duration::from_secs(10)), ok(eq(0)));
}

/// A body that the peer asks for arrives completely, and the connection is used again.
#[gtest]
fn send_announced_body_accepted() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let peer = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut bodies = Vec::new();
        for _ in 0..2 {
            read_head(&mut stream).expect("the head");
            let _ = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
            let mut body = vec![0; 60_000];
            stream.read_exact(&mut body).expect("the body");
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
            bodies.push(body);
        }
        bodies
    });
    run(async {
        let pool = ConnectionPool::default();
        for byte in [1, 2] {
            let exchange = Exchange {
                body: vec![byte; 60_000].into(),
                expect_continue: true,
                ..get(addr)
            };
            let response = pool.send(exchange).await.expect("a response");
            expect_that!(response.status.as_u16(), eq(200));
        }
    });
    let bodies = peer.join().expect("the peer");
    expect_true!(bodies[0] == vec![1; 60_000] && bodies[1] == vec![2; 60_000]);
}

/// An answer that comes before the peer has read the body must be delivered at once, and the rest of the
/// body must not end up in front of the next request.
#[gtest]
fn send_response_before_body_was_read() {
    let (addr, received) = peer_without_body(REFUSAL);
    let began = Instant::now();
    let response = run(async {
        let exchange = Exchange {
            body: vec![1; 32 << 20].into(),
            ..get(addr)
        };
        let pool = ConnectionPool::default();
        let response = pool.send(exchange).await;
        expect_that!(began.elapsed(), lt(Duration::from_millis(450)));
        response
    });
    expect_that!(
        response.map(|response| response.status.as_u16()),
        ok(eq(&503))
    );
    expect_that!(
        received.recv_timeout(Duration::from_secs(10)),
        ok(lt(32 << 20))
    );
}

/// A peer that is sending a long response on a slow link must be told from one that is lost: a follower
/// took its reader for lost while a configuration was on its way, and read it once more elsewhere.
#[gtest]
fn send_tells_that_response_has_begun() {
    let head = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n";
    for (begin, expected) in [(head, true), ("", false)] {
        let addr = stalled_peer(begin);
        let responding = Cell::new(false);
        run(async {
            let exchange = Exchange {
                responding: Some(&responding),
                ..get(addr)
            };
            let pool = ConnectionPool::default();
            let sent = pool.send(exchange);
            let limit = Duration::from_millis(300);
            expect_true!(actix_rt::time::timeout(limit, sent).await.is_err());
        });
        expect_that!(responding.get(), eq(expected));
    }
}

/// Starts a peer that answers a request with `begin` and nothing more.
fn stalled_peer(begin: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        if let Ok((mut stream, _)) = listener.accept() {
            let _ = stream.write_all(begin.as_bytes());
            thread::sleep(Duration::from_secs(1));
        }
    });
    addr
}

/// Starts a peer that answers all requests on all connections after a time. Returns the events of its connections:
/// true when one is accepted, false when it is closed.
fn slow_peer(delay: Duration) -> (SocketAddr, Receiver<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let tx = tx.clone();
            let _ = tx.send(true);
            thread::spawn(move || {
                while read_head(&mut stream).is_ok() {
                    thread::sleep(delay);
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
                }
                let _ = tx.send(false);
            });
        }
    });
    (addr, rx)
}

/// Returns a pool with a limit, some of it reserved for one peer.
fn limited_pool(max_connections: usize, reserved: Option<(SocketAddr, usize)>) -> ConnectionPool {
    let limit = ConnectionLimit::new(max_connections);
    ConnectionPool::new(match reserved {
        Some((addr, connections)) => limit.with_reserved(addr, connections),
        None => limit,
    })
}

/// Guards against idle connections that take all file descriptors, or keep a request to another peer from being sent:
/// the one that was not used for the longest time is closed.
#[gtest]
fn limit_closes_oldest_idle() {
    run(async {
        let pool = limited_pool(2, None);
        let (first, first_events) = slow_peer(Duration::ZERO);
        let (second, second_events) = slow_peer(Duration::ZERO);
        let (third, _) = slow_peer(Duration::ZERO);
        for addr in [first, second, first, third] {
            expect_that!(pool.send(get(addr)).await, ok(anything()));
            expect_that!(pool.open_connections(), le(2));
        }
        let limit = Duration::from_secs(5);
        expect_that!(second_events.recv_timeout(limit), ok(eq(true)));
        expect_that!(second_events.recv_timeout(limit), ok(eq(false)));
        let counts = pool.limit_counts();
        expect_that!((counts.idle_closed, counts.not_sent), eq((1, 0)));
        // Its connection was used again.
        expect_that!(first_events.try_iter().collect::<Vec<_>>(), eq(&[true]));
    });
}

/// Guards against requests that fail at the limit although a connection is free soon, and against more connections
/// than the limit.
#[gtest]
fn limit_waits_for_a_connection() {
    run(async {
        let pool = limited_pool(2, None);
        let peers: Vec<SocketAddr> = (0..3)
            .map(|_| slow_peer(Duration::from_millis(20)).0)
            .collect();
        let mut peak = 0;
        let sent = (0..9).map(|index| pool.send(get(peers[index % 3])));
        let all = futures_util::future::join_all(sent);
        let sample = async {
            loop {
                peak = pool.open_connections().max(peak);
                actix_rt::time::sleep(Duration::from_millis(1)).await;
            }
        };
        let Either::Left((results, _)) = select(pin!(all), pin!(sample)).await;
        expect_that!(results, each(ok(anything())));
        expect_that!(peak, eq(2));
    });
}

/// Guards against a request at the limit that waits for good, counts as possibly sent, or blames its peer.
#[gtest]
fn limit_without_idle_not_sent() {
    run(async {
        let pool = limited_pool(1, None);
        let (slow, _slow_events) = slow_peer(Duration::from_secs(2));
        let (other, other_events) = slow_peer(Duration::ZERO);
        let (held, refused) = (pool.send(get(slow)), async {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
            let began = Instant::now();
            let result = pool.send(get(other)).await;
            expect_that!(result, err(eq(&ExchangeFailure::NoConnection)));
            expect_that!(began.elapsed(), ge(CONNECTION_WAIT));
            expect_that!(began.elapsed(), lt(4 * CONNECTION_WAIT));
            let opened = pool.open(other).await.map_err(|e| e.kind());
            expect_that!(opened, err(eq(io::ErrorKind::QuotaExceeded)));
            let counts = pool.limit_counts();
            expect_that!((counts.idle_closed, counts.not_sent), eq((0, 2)));
        });
        let (held, ()) = futures_util::future::join(held, refused).await;
        expect_that!(held, ok(anything()));
        expect_that!(other_events.try_iter().count(), eq(0));
        expect_that!(pool.send(get(other)).await, ok(anything()));
    });
}

/// Guards against a wait for a connection that outlasts the deadline: the caller took a request of which nothing was
/// sent for one that may have run.
#[gtest]
fn limit_wait_ends_before_deadline() {
    run(async {
        let pool = limited_pool(1, None);
        let (slow, _slow_events) = slow_peer(Duration::from_secs(1));
        let (other, other_events) = slow_peer(Duration::ZERO);
        let within = |left| SendOptions {
            time_left: Some(Duration::from_millis(left)),
            ..SendOptions::default()
        };
        let (held, ()) = futures_util::future::join(pool.send(get(slow)), async {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
            for left in [0, 10, 100, 200] {
                let options = within(left);
                let sent = pool.send_with(get(other), &options);
                let limit = Duration::from_millis(left.max(20));
                let result = actix_rt::time::timeout(limit, sent).await;
                let not_sent = err(eq(&ExchangeFailure::NoConnection));
                expect_that!(result, ok(not_sent), "{left} ms left");
            }
            expect_that!(other_events.try_iter().count(), eq(0));
        })
        .await;
        expect_that!(held, ok(anything()));
        // Without a wait, a short time does not matter.
        for _ in 0..2 {
            let sent = pool.send_with(get(other), &within(10)).await;
            expect_that!(sent, ok(anything()));
        }
    });
}

/// Guards against a wait for a connection that counts as run time of the peer, also of one that got no request.
#[gtest]
fn started_after_wait() {
    run(async {
        let pool = limited_pool(1, None);
        let (slow, _slow_events) = slow_peer(Duration::from_millis(150));
        let (stuck, _stuck_events) = slow_peer(Duration::from_secs(1));
        let (started, refused) = (Cell::new(None), Cell::new(None));
        let options = |started| SendOptions {
            started: Some(started),
            ..SendOptions::default()
        };
        let began = Instant::now();
        let (_, (second, time)) = futures_util::future::join(pool.send(get(slow)), async {
            let second = pool.send_with(get(slow), &options(&started)).await;
            (second, began.elapsed())
        })
        .await;
        expect_that!(second, ok(anything()));
        let first = started.get().expect("the request was sent");
        expect_true!(first.reused);
        let wait = first.at - began;
        let run = time.saturating_sub(wait);
        expect_that!(wait, ge(Duration::from_millis(150)));
        expect_that!(run, lt(time * 3 / 4));
        let (held, third) = futures_util::future::join(pool.send(get(stuck)), async {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
            refused.set(Some(first));
            pool.send_with(get(slow), &options(&refused)).await
        })
        .await;
        expect_that!(held, ok(anything()));
        expect_that!(third, err(eq(&ExchangeFailure::NoConnection)));
        expect_that!(refused.get(), none());
        let sent = pool.send_with(get(slow), &options(&started)).await;
        expect_that!(sent, ok(anything()));
        expect_false!(started.get().is_none_or(|started| started.reused));
    });
}

/// Guards against a request that is sent although it was withdrawn while it waited for a connection, that counts as
/// started, or that closes the connection it got.
#[gtest]
fn limit_withdrawn_while_waiting() {
    run(async {
        let pool = limited_pool(1, None);
        let (addr, events) = slow_peer(Duration::from_millis(100));
        let is_withdrawn = Cell::new(false);
        let asked_at_limit = Cell::new(0);
        let started = Cell::new(None);
        let options = SendOptions {
            may_send: &|| {
                asked_at_limit.set(asked_at_limit.get() + pool.open_connections());
                !is_withdrawn.get()
            },
            started: Some(&started),
            ..SendOptions::default()
        };
        let withdrawn = pool.send_with(get(addr), &options);
        let withdraw = async {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
            expect_that!(asked_at_limit.get(), eq(0));
            is_withdrawn.set(true);
        };
        let all = futures_util::future::join3(pool.send(get(addr)), withdrawn, withdraw);
        let (held, withdrawn, ()) = all.await;
        expect_that!(held, ok(anything()));
        expect_that!(withdrawn, err(eq(&ExchangeFailure::Withdrawn)));
        expect_that!(asked_at_limit.get(), eq(1));
        expect_that!(started.get(), none());
        is_withdrawn.set(false);
        let sent = pool.send_with(get(addr), &options).await;
        expect_that!(sent, ok(anything()));
        expect_that!(started.get().map(|started| started.reused), some(eq(true)));
        // The requests on one connection.
        expect_that!(events.try_iter().count(), eq(1));
    });
}

/// Guards against a request that was given up while it waited, and holds up those behind it.
#[gtest]
fn limit_after_cancelled_wait() {
    run(async {
        let pool = limited_pool(1, None);
        let (addr, _events) = slow_peer(Duration::from_millis(150));
        let held = pool.send(get(addr));
        let cancelled = actix_rt::time::timeout(Duration::from_millis(20), pool.send(get(addr)));
        let behind = pool.send(get(addr));
        let all = futures_util::future::join3(held, cancelled, behind);
        let (held, cancelled, behind) = all.await;
        expect_that!(held, ok(anything()));
        expect_true!(cancelled.is_err());
        expect_that!(behind, ok(anything()));
    });
}

/// Guards against calls to other nodes that take the connections to the backend server: nodes that call each other
/// would wait for each other.
#[gtest]
fn limit_reserved_for_one_peer() {
    run(async {
        let (slow, _slow_events) = slow_peer(Duration::from_secs(1));
        let (backend, _backend_events) = slow_peer(Duration::ZERO);
        let pool = limited_pool(4, Some((backend, 2)));
        let held = futures_util::future::join3(
            pool.send(get(slow)),
            pool.send(get(slow)),
            pool.send(get(slow)),
        );
        let served = async {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
            let began = Instant::now();
            let sent = (0..2).map(|_| pool.send(get(backend)));
            let results = futures_util::future::join_all(sent).await;
            expect_that!(results, each(ok(anything())));
            expect_that!(began.elapsed(), lt(CONNECTION_WAIT));
            expect_that!(pool.open_connections(), eq(4));
        };
        let (held, ()) = futures_util::future::join(held, served).await;
        // The third request did not get a reserved connection, although those are idle.
        expect_that!(held.0, ok(anything()));
        expect_that!(held.1, ok(anything()));
        expect_that!(held.2, err(eq(&ExchangeFailure::NoConnection)));
    });
}

/// Guards against connections that stay counted after they have failed or were cancelled.
#[gtest]
fn limit_counts_until_closed() {
    run(async {
        let pool = limited_pool(1, None);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let closed = listener.local_addr().expect("an address");
        drop(listener);
        for _ in 0..3 {
            let result = pool.send(get(closed)).await;
            expect_that!(
                result,
                err(matches_pattern!(ExchangeFailure::NotSent(anything())))
            );
            let reset = peer(vec![vec!["RESET"]]);
            expect_that!(pool.send(get(reset)).await, err(anything()));
            let (slow, _events) = slow_peer(Duration::from_secs(1));
            let sent = actix_rt::time::timeout(Duration::from_millis(20), pool.send(get(slow)));
            expect_true!(sent.await.is_err());
            expect_that!(pool.open_connections(), eq(0));
        }
    });
}
