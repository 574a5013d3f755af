//! HTTP/1.1 connections with pipelined requests.

use std::cell::Cell;
use std::cell::RefCell;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::rc::Rc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use actix_http::HttpMessage;
use actix_http::Payload;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_rt::System;
use actix_rt::net::TcpListener;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use googletest::prelude::*;
use sycamorewick::protocol::mesh::CallerLimits;
use sycamorewick::result_code::ResultCode;
use sycamorewick::transport::body_budget::BodyBudget;
use sycamorewick::transport::client_memory::ClientMemory;
use sycamorewick::transport::http_server;
use sycamorewick::transport::http_server::BODY_TIMEOUT;
use sycamorewick::transport::http_server::Handler;
use sycamorewick::transport::http_server::HttpServer;
use sycamorewick::transport::http_server::OwnedRequest;
use sycamorewick::transport::pipeline::PipelineOptions;

/// Size of a response that does not fit into the buffers of the kernel, bytes.
const LARGE_RESPONSE: usize = 64 << 20;

/// Events of the handlers: a path when its request starts, and with `!` when it is cancelled.
type Events = Rc<RefCell<Vec<String>>>;

/// Records that a handler was dropped before it responded.
struct Cancelled(Events, String, bool);

impl Drop for Cancelled {
    fn drop(&mut self) {
        if !self.2 {
            self.0.borrow_mut().push(format!("{}!", self.1));
        }
    }
}

/// Returns a handler that responds to `/MS/...` after so many milliseconds with the path and the length
/// of the body, and closes the connection after paths that end with `/close`.
fn handler(events: &Events) -> Handler {
    let events = events.clone();
    Rc::new(move |mut req: Request| {
        let events = events.clone();
        Box::pin(async move {
            let path = req.path().to_owned();
            events.borrow_mut().push(path.clone());
            let mut guard = Cancelled(events, path.clone(), false);
            let mut payload = req.take_payload();
            let body = http_server::read_body(&mut payload, 1 << 20).await;
            let length = body.map_or(0, |body| body.len());
            let millis = path.split('/').nth(1).and_then(|part| part.parse().ok());
            actix_rt::time::sleep(Duration::from_millis(millis.unwrap_or(0))).await;
            guard.2 = true;
            let text = format!("<{path} {length}>");
            let mut response = Response::with_body(StatusCode::OK, BoxBody::new(text));
            if path.ends_with("/close") {
                http_server::close_after(&mut response);
            }
            response
        })
    })
}

/// Sends bytes to a server whose GET requests may overlap, and returns what comes back until `until`
/// or the end of the connection, and the events.
fn exchange(sent: &'static [u8], until: &'static str) -> (String, Duration, Vec<String>) {
    let events = Events::default();
    let received = System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let addr: SocketAddr = listener.local_addr().expect("an address");
        let may_overlap = Rc::new(|req: &Request| req.method() == "GET");
        let server = HttpServer::start_pipelined(listener, 10, handler(&events), may_overlap);
        let client = thread::spawn(move || {
            let mut stream = TcpStream::connect(addr).expect("a connection");
            let limit = Some(Duration::from_secs(5));
            stream.set_read_timeout(limit).expect("a time limit");
            let began = Instant::now();
            stream.write_all(sent).expect("the server reads");
            let mut received = Vec::new();
            let mut buf = [0; 4_096];
            while let Ok(count @ 1..) = stream.read(&mut buf) {
                received.extend(&buf[..count]);
                if String::from_utf8_lossy(&received).contains(until) {
                    break;
                }
            }
            let text = String::from_utf8_lossy(&received).into_owned();
            (text, began.elapsed())
        });
        while !client.is_finished() {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        // The handlers of a closed connection are cancelled.
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        drop(server);
        client.join().expect("the client")
    });
    let events = events.borrow().clone();
    (received.0, received.1, events)
}

/// Bodies of the responses, in their order.
fn bodies(text: &str) -> Vec<&str> {
    let parts = text.split('<').skip(1);
    parts.filter_map(|part| part.split('>').next()).collect()
}

/// Head-of-line blocking: idempotent requests that a client sends without waiting must run at the same
/// time, and be answered in their order.
#[gtest]
fn pipelined_idempotent_requests_overlap() {
    let (text, took, events) = exchange(
        b"GET /300/a HTTP/1.1\r\nhost: a\r\n\r\nGET /200/b HTTP/1.1\r\nhost: a\r\n\r\nGET /300/c HTTP/1.1\r\nhost: a\r\n\r\n",
        "/c 0>",
    );
    expect_that!(bodies(&text), eq(&vec!["/300/a 0", "/200/b 0", "/300/c 0"]));
    expect_that!(events, eq(&vec!["/300/a", "/200/b", "/300/c"]));
    expect_that!(took, lt(Duration::from_millis(550)));
}

/// A request that runs at most once must not start behind another one: if that closes the connection,
/// the client sends it again.
#[gtest]
fn pipelined_request_that_runs_once_waits() {
    let (text, _, events) = exchange(
        b"GET /100/a/close HTTP/1.1\r\nhost: a\r\n\r\nPOST /0/b HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nxx",
        "/b 2>",
    );
    expect_that!(bodies(&text), eq(&vec!["/100/a/close 0"]));
    expect_that!(text, contains_substring("connection: close"));
    expect_that!(events, eq(&vec!["/100/a/close"]));
    let (text, _, events) = exchange(
        b"GET /100/a HTTP/1.1\r\nhost: a\r\n\r\nPOST /0/b HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nxx",
        "/b 2>",
    );
    expect_that!(bodies(&text), eq(&vec!["/100/a 0", "/0/b 2"]));
    expect_that!(events.len(), eq(2));
}

/// During a stop responses close their connections; a request that runs already must be answered before
/// that, and one that has not started must not run.
#[gtest]
fn pipelined_requests_answered_before_close() {
    let (text, _, events) = exchange(
        b"GET /50/a/close HTTP/1.1\r\nhost: a\r\n\r\nGET /150/b HTTP/1.1\r\nhost: a\r\n\r\nPOST /0/c HTTP/1.1\r\nhost: a\r\n\r\n",
        "/c 0>",
    );
    expect_that!(bodies(&text), eq(&vec!["/50/a/close 0", "/150/b 0"]));
    expect_that!(text.matches("connection: close").count(), eq(1));
    expect_that!(events, eq(&vec!["/50/a/close", "/150/b"]));
}

/// A client that leaves must cancel what it asked for, also after `connection: close`.
#[gtest]
fn client_that_leaves_cancels_requests() {
    let (_, _, events) = exchange(
        b"GET /10/a HTTP/1.1\r\nhost: a\r\n\r\nGET /3000/b HTTP/1.1\r\nhost: a\r\n\r\nGET /3000/c HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
        "/a 0>",
    );
    expect_that!(events, contains(eq("/3000/b!")));
    expect_that!(events, contains(eq("/3000/c!")));
}

/// Bodies by length and in chunks, announced bodies, and requests behind them must be told apart.
#[gtest]
fn bodies_of_requests() {
    let (text, ..) = exchange(
        b"POST /0/a HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nGET /POST /0/b HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nGET /0/c HTTP/1.1\r\nhost: a\r\n\r\n",
        "/c 0>",
    );
    expect_that!(bodies(&text), eq(&vec!["/0/a 5", "/0/b 5", "/0/c 0"]));
    let (text, ..) = exchange(
        b"POST /0/a HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\nexpect: 100-continue\r\n\r\nxx",
        "/a 2>",
    );
    expect_that!(
        text,
        starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK")
    );
    let (text, ..) = exchange(
        b"HEAD /0/a HTTP/1.1\r\nhost: a\r\n\r\nGET /0/b HTTP/1.1\r\nhost: a\r\n\r\n",
        "/b 0>",
    );
    expect_that!(bodies(&text), eq(&vec!["/0/b 0"]));
    let (text, ..) = exchange(b"GET /0/a HTTP/1.0\r\n\r\n", "never");
    expect_that!(bodies(&text), eq(&vec!["/0/a 0"]));
    expect_that!(text, starts_with("HTTP/1.0 200 OK"));
}

/// Bytes that are no request must be refused after the requests before them are answered.
#[gtest]
fn malformed_requests() {
    let (text, _, events) = exchange(
        b"GET /50/a HTTP/1.1\r\nhost: a\r\n\r\n\x01\x02 nonsense\r\n\r\n",
        "never",
    );
    expect_that!(bodies(&text), eq(&vec!["/50/a 0"]));
    expect_that!(text, contains_substring("HTTP/1.1 400 Bad Request"));
    expect_that!(events, eq(&vec!["/50/a"]));
    let (text, ..) = exchange(
        b"POST /0/a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        "0>",
    );
    expect_that!(text, contains_substring("connection: close"));
}

/// A body that is cut off must not look complete to the handler.
#[gtest]
fn truncated_body() {
    let (_, _, events) = exchange(
        b"POST /0/a HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nxx",
        "never",
    );
    expect_that!(events, eq(&vec!["/0/a", "/0/a!"]));
}

/// Guards against a stop that cuts off a response: its handler has ended, but the client has not taken all of
/// it yet.
#[gtest]
fn unsent_responses_until_taken() {
    for is_pipelined in [false, true] {
        System::new().block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let addr = listener.local_addr().expect("an address");
            let has_ended = Rc::new(Cell::new(false));
            let ended = has_ended.clone();
            let handler: Handler = Rc::new(move |_| {
                ended.set(true);
                let body = Bytes::from(vec![b'x'; LARGE_RESPONSE]);
                Box::pin(async { Response::with_body(StatusCode::OK, BoxBody::new(body)) })
            });
            let server = if is_pipelined {
                HttpServer::start_pipelined(listener, 10, handler, Rc::new(|_| true))
            } else {
                HttpServer::start(listener, 10, handler)
            };
            expect_that!(server.unsent_responses(), eq(0));
            let mut stream = TcpStream::connect(addr).expect("a connection");
            stream
                .write_all(b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n")
                .expect("the server reads");
            while !has_ended.get() {
                actix_rt::time::sleep(Duration::from_millis(5)).await;
            }
            actix_rt::time::sleep(Duration::from_millis(100)).await;
            expect_that!(server.unsent_responses(), eq(1));
            let reader = thread::spawn(move || {
                let mut taken = vec![0; LARGE_RESPONSE];
                stream.read_exact(&mut taken).expect("the whole response");
                stream
            });
            while server.unsent_responses() > 0 && !reader.is_finished() {
                actix_rt::time::sleep(Duration::from_millis(5)).await;
            }
            let stream = reader.join().expect("the reader");
            // The connection stays open, with nothing to send.
            actix_rt::time::sleep(Duration::from_millis(50)).await;
            expect_that!(server.unsent_responses(), eq(0));
            drop(stream);
        });
    }
}

/// Guards against memory for a body that is held for good, because its client is gone without closing the
/// connection.
#[gtest]
fn body_without_an_end() {
    System::new().block_on(async {
        let budget = BodyBudget::new(100);
        let begin = stream::iter([Ok(Bytes::from_static(b"begin"))]);
        let mut payload: Payload = Payload::Stream {
            payload: Box::pin(begin.chain(stream::pending())),
        };
        let limit = Duration::from_millis(50);
        let read = http_server::read_body_within(&mut payload, 80, &budget, limit).await;
        let code = read.err().map(|failure| failure.code);
        expect_that!(code, some(eq(ResultCode::DeadlineExceeded)));
        expect_that!(budget.held_bytes(), eq(0));
    });
}

/// Many large bodies at once must not exhaust the memory of a small instance: what does not fit is
/// refused, and memory is free again once a body is dropped.
#[gtest]
fn bodies_beyond_the_budget() {
    System::new().block_on(async {
        let budget = BodyBudget::new(100);
        let payload = |length: usize| -> Payload {
            let chunk = Ok(bytes::Bytes::from(vec![0; length]));
            Payload::Stream {
                payload: Box::pin(futures_util::stream::iter([chunk])),
            }
        };
        let first =
            http_server::read_body_within(&mut payload(60), 80, &budget, BODY_TIMEOUT).await;
        let (body, held) = first.expect("the first body fits");
        expect_that!(body.len(), eq(60));
        let second =
            http_server::read_body_within(&mut payload(60), 80, &budget, BODY_TIMEOUT).await;
        expect_that!(
            second.err().map(|failure| failure.code),
            some(eq(ResultCode::Overloaded))
        );
        let long = http_server::read_body_within(&mut payload(90), 80, &budget, BODY_TIMEOUT).await;
        expect_that!(
            long.err().map(|failure| failure.code),
            some(eq(ResultCode::BodyTooLarge))
        );
        drop(held);
        expect_that!(budget.held_bytes(), eq(0));
        let third =
            http_server::read_body_within(&mut payload(60), 80, &budget, BODY_TIMEOUT).await;
        expect_true!(third.is_ok());
    });
}

/// Starts a server whose clients share an account, and whose GET requests may overlap.
async fn start_with_memory(memory: &ClientMemory, handler: Handler) -> (HttpServer, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let options = PipelineOptions {
        handler,
        may_overlap: Rc::new(|req: &Request| req.method() == "GET"),
        gate: None,
        limits: Rc::new(CallerLimits::default),
        memory: memory.clone(),
        refuses: true,
        port: 0,
        any_fields: true,
    };
    (HttpServer::start_with_options(listener, 10, options), addr)
}

/// Sends bytes on a new connection and returns it with what comes back until `until` or the end.
async fn send(addr: SocketAddr, sent: Vec<u8>, until: &'static str) -> (TcpStream, String) {
    let client = thread::spawn(move || {
        let mut stream = TcpStream::connect(addr).expect("a connection");
        let limit = Some(Duration::from_secs(5));
        stream.set_read_timeout(limit).expect("a time limit");
        stream.write_all(&sent).expect("the server reads");
        let mut received = Vec::new();
        let mut buf = [0; 4_096];
        while !String::from_utf8_lossy(&received).contains(until) {
            match stream.read(&mut buf) {
                Ok(count @ 1..) => received.extend(&buf[..count]),
                _ => break,
            }
        }
        let text = String::from_utf8_lossy(&received).into_owned();
        (stream, text)
    });
    while !client.is_finished() {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    client.join().expect("the client")
}

/// A request for which there is no memory must get the response that says that it has not run, instead of ending
/// its own connection to make room.
#[gtest]
fn request_without_room_is_answered() {
    let events = Events::default();
    System::new().block_on(async {
        let memory = ClientMemory::new(20_000);
        let (_server, addr) = start_with_memory(&memory, handler(&events)).await;
        for _ in 0..20 {
            let request = b"POST /0/a HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n".to_vec();
            let (_stream, text) = send(addr, request, "}").await;
            expect_that!(text, starts_with("HTTP/1.1 503"));
            expect_that!(text, contains_substring("4021"));
        }
    });
    expect_true!(events.borrow().is_empty());
}

/// Guards against refusals that do not say when to send the request again, and that no operator can see.
#[gtest]
fn request_without_room_says_when_to_retry() {
    System::new().block_on(async {
        let memory = ClientMemory::new(20_000);
        let (_server, addr) = start_with_memory(&memory, handler(&Events::default())).await;
        let request = b"GET /0/a HTTP/1.1\r\nhost: a\r\n\r\n".to_vec();
        let (_stream, text) = send(addr, request, "}").await;
        expect_that!(text, contains_substring("retry-after: 1\r\n"));
        expect_that!(memory.counts().refused, eq(1));
    });
}

/// A client that reuses connections must not be refused, or lose them, because of bodies that it has sent on them
/// before, whose memory is free again.
#[gtest]
fn bodies_of_idle_connections_not_counted() {
    System::new().block_on(async {
        let memory = ClientMemory::new(2 << 20);
        let (_server, addr) = start_with_memory(&memory, handler(&Events::default())).await;
        let mut idle = Vec::new();
        for _ in 0..3 {
            let mut request =
                b"POST /0/a HTTP/1.1\r\nhost: a\r\ncontent-length: 700000\r\n\r\n".to_vec();
            request.resize(request.len() + 700_000, b'x');
            let (stream, text) = send(addr, request, ">").await;
            expect_that!(bodies(&text), eq(&vec!["/0/a 700000"]));
            idle.push(stream);
        }
        // Something else takes more than half of the account, so that each address is bounded.
        let mut other = memory.hold_body();
        expect_true!(other.set_body((1 << 20) + 100_000));
        let request = b"GET /0/b HTTP/1.1\r\nhost: a\r\n\r\n".to_vec();
        let (_stream, text) = send(addr, request, "}").await;
        expect_that!(bodies(&text), eq(&vec!["/0/b 0"]));
        for mut stream in idle {
            stream.set_nonblocking(true).expect("a mode");
            let read = stream.read(&mut [0; 1]).map_err(|e| e.kind());
            expect_that!(read, err(eq(ErrorKind::WouldBlock)));
        }
    });
}

/// Responses that wait behind a slow one must not exceed the account, since the client that sends requests ahead
/// decides how many there are.
#[gtest]
fn responses_behind_a_slow_one_are_bounded() {
    const ACCOUNT: usize = 16 << 20;
    const RESPONSE_BYTES: usize = 2 << 20;
    System::new().block_on(async {
        let memory = ClientMemory::new(ACCOUNT);
        let ended = Rc::new(Cell::new(0));
        let count = ended.clone();
        let handler: Handler = Rc::new(move |req: Request| {
            let ended = count.clone();
            Box::pin(async move {
                if req.path() == "/slow" {
                    std::future::pending::<()>().await;
                }
                // All of them start before the first response is counted.
                actix_rt::time::sleep(Duration::from_millis(200)).await;
                ended.set(ended.get() + 1);
                let body = Bytes::from(vec![b'x'; RESPONSE_BYTES]);
                Response::with_body(StatusCode::OK, BoxBody::new(body))
            })
        });
        let (_server, addr) = start_with_memory(&memory, handler).await;
        let requests = String::from("GET /slow HTTP/1.1\r\nhost: a\r\n\r\n")
            + &"GET /a HTTP/1.1\r\nhost: a\r\n\r\n".repeat(5);
        let mut clients = Vec::new();
        for _ in 0..4 {
            let mut stream = TcpStream::connect(addr).expect("a connection");
            stream
                .write_all(requests.as_bytes())
                .expect("the server reads");
            clients.push(stream);
        }
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        // Without requests that run ahead this would guard against nothing.
        expect_that!(ended.get() * RESPONSE_BYTES, gt(ACCOUNT));
        expect_that!(memory.held_bytes(), le(ACCOUNT));
    });
}

/// Guards against memory that stays with the library: it keeps the maps of requests, and a client that closes its
/// connection after a head of very many fields left their room in each.
#[gtest]
fn fields_freed_after_close() {
    const FIELDS: usize = 1_500;
    let fields: Vec<String> = (0..FIELDS).map(|n| format!("a{n}: b\r\n")).collect();
    let fields = fields.concat();
    // Closed before the head is read, and while the handler reads the body.
    for (length, wait) in [(0, 0), (10, 50)] {
        let head =
            format!("POST /0/a HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n{fields}\r\n");
        let most = Rc::new(Cell::new(0));
        let seen = most.clone();
        let handler: Handler = Rc::new(move |req: Request| {
            seen.set(req.headers().len().max(seen.get()));
            let mut req = OwnedRequest::new(req);
            Box::pin(async move {
                let mut payload = req.take_payload();
                let _ = http_server::read_body(&mut payload, 1 << 20).await;
                Response::with_body(StatusCode::OK, BoxBody::new(()))
            })
        });
        System::new().block_on(async {
            let memory = ClientMemory::new(64 << 20);
            let (_server, addr) = start_with_memory(&memory, handler).await;
            for _ in 0..4 {
                let mut stream = TcpStream::connect(addr).expect("a connection");
                stream
                    .write_all(head.as_bytes())
                    .expect("the server has room");
                if wait > 0 {
                    actix_rt::time::sleep(Duration::from_millis(wait)).await;
                }
                drop(stream);
                actix_rt::time::sleep(Duration::from_millis(50)).await;
            }
        });
        expect_that!(most.get() >= FIELDS, eq(wait > 0));
        let pooled: Vec<Request> = (0..8).map(|_| Request::new()).collect();
        let room = pooled.iter().map(|req| req.headers().capacity()).max();
        expect_that!(room, some(lt(FIELDS / 10)), "body of {length}");
    }
}
