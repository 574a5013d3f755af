//! The first second of sidecar processes: which sources a process without a configuration asks for it, and what
//! happens to requests that arrive before.

mod sidecar_common;

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use actix_http::StatusCode;
use googletest::prelude::*;
use serde_json::Value;
use sidecar_common::HOST;
use sidecar_common::TestFleet;
use sidecar_common::WAIT_LIMIT;
use sidecar_common::run;
use sycamorewick::coordination::startup::store_answer::MAX_SILENCE;
use sycamorewick::protocol::hop::HOP_REQUEST_HEADER;
use sycamorewick::protocol::hop::HopRequestHeader;
use sycamorewick::protocol::hop::ORIGIN_HEADER;
use testbed::platform::fleet::SidecarFleet;
use testbed::platform::fleet::SidecarOptions;

/// Bytes of a response that a slow link forwards at a time. A response with the configuration of these tests has
/// 1 kB, so that it takes about a second.
const SLOW_BYTES: usize = 24;
/// Pause of a slow link between these bytes.
const SLOW_PAUSE: Duration = Duration::from_millis(20);

/// A forwarder of TCP connections that forwards what the server sends slowly until it is released. Its threads run
/// until the test process exits.
struct SlowLink {
    addr: SocketAddr,
    is_slow: Arc<AtomicBool>,
}

impl SlowLink {
    fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let is_slow = Arc::new(AtomicBool::new(true));
        let shared = is_slow.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(target) else {
                    continue;
                };
                let halves = (client.try_clone(), server.try_clone());
                let (Ok(client_read), Ok(server_read)) = halves else {
                    continue;
                };
                let is_slow = shared.clone();
                thread::spawn(move || forward(client_read, server, || false));
                thread::spawn(move || {
                    forward(server_read, client, || is_slow.load(Ordering::SeqCst));
                });
            }
        });
        Ok(Self { addr, is_slow })
    }

    fn release(&self) {
        self.is_slow.store(false, Ordering::SeqCst);
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, is_slow: impl Fn() -> bool) {
    let mut buf = [0; 16 << 10];
    let _ = to.set_nodelay(true);
    'connection: loop {
        let Ok(length @ 1..) = from.read(&mut buf) else {
            break;
        };
        for chunk in buf[..length].chunks(SLOW_BYTES) {
            if to.write_all(chunk).is_err() {
                break 'connection;
            }
            if is_slow() {
                thread::sleep(SLOW_PAUSE);
            }
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

/// Sends a call to a node as the node at `origin` does. The response does not matter, and there may be none.
fn send_as_peer(addr: SocketAddr, origin: SocketAddr) -> std::io::Result<()> {
    let head = HopRequestHeader {
        route: "lookup".into(),
        service: "registry".into(),
        version: "v1".into(),
        idempotent: true,
        accepts_late: true,
        priority: 1,
        objective: Duration::from_secs(2),
        left: Duration::from_secs(2),
        is_overdue: false,
        limit: None,
        workspace: None,
        workspace_priority: 0,
        is_spillover: false,
    };
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(WAIT_LIMIT))?;
    write!(
        stream,
        "GET /wrecks/1 HTTP/1.1\r\nhost: {HOST}\r\n{HOP_REQUEST_HEADER}: {}\r\n{ORIGIN_HEADER}: {origin}\r\n\
         connection: close\r\n\r\n",
        head.encode()
    )?;
    let _ = stream.read(&mut [0; 1_024])?;
    Ok(())
}

/// Adds a node to a running fleet of one node that reaches the store over another address, and starts it.
fn add_node(env: &mut TestFleet, store: SocketAddr) -> eyre::Result<usize> {
    let options = SidecarOptions::new("late", "keta-a", "registry");
    let index = env.fleet.add(options, SidecarFleet::free_addrs(store)?)?;
    env.fleet.start(index)?;
    Ok(index)
}

/// Guards against a configuration that is transferred twice at the same time: a peer is asked only after the store
/// was silent, or has failed. How long it was silent is stated in the node's log, since it depends on the machine.
#[gtest]
fn slow_store_peer_not_asked() {
    run(async {
        let mut env = TestFleet::start(1).await?;
        let origin = env.fleet.nodes()[0].addrs.node;
        let link = SlowLink::start(env.store.addr())?;
        let index = add_node(&mut env, link.addr)?;
        let addr = env.fleet.nodes()[index].addrs.node;
        let until = Instant::now() + WAIT_LIMIT;
        let mut sent = 0;
        while env
            .fleet
            .log_lines(index, "configuration in force")
            .is_empty()
        {
            eyre::ensure!(Instant::now() < until, "no configuration");
            let call = move || send_as_peer(addr, origin);
            // The node may not listen yet.
            if actix_rt::task::spawn_blocking(call).await?.is_ok() {
                sent += 1;
            }
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        link.release();
        expect_that!(sent, gt(0));
        let requested = env.fleet.log_lines(index, "topics requested from a peer");
        let is_allowed = |line: &Value| {
            let silent = line["store_silent_ms"].as_u64().unwrap_or(0);
            line["store_failed"] == true || u128::from(silent) >= MAX_SILENCE.as_millis()
        };
        expect_that!(requested.iter().all(is_allowed), eq(true), "{requested:?}");
        let fetched = env.fleet.log_lines(index, "topics fetched from a peer");
        let not_fetched = env.fleet.log_lines(index, "topics not fetched from a peer");
        let ended = fetched.len() + not_fetched.len();
        expect_that!(ended, le(requested.len()), "{fetched:?} {not_fetched:?}");
        env.wait_for(WAIT_LIMIT, index, "/wrecks/1", StatusCode::OK)
            .await
    });
}
