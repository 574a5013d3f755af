//! A backend server whose responses do not end, beside a real sidecar process.

mod sidecar_common;

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use actix_http::StatusCode;
use googletest::prelude::*;
use serde_json::json;
use sidecar_common::HOST;
use sidecar_common::TestFleet;
use sidecar_common::WAIT_LIMIT;
use sidecar_common::run;
use sidecar_common::send_call;
use testbed::platform::backend::ATTEMPT_HEADER;
use testbed::platform::fleet::SidecarFleet;
use testbed::platform::fleet::SidecarOptions;
use testbed::platform::store::OPERATOR_TOPIC;

/// Largest memory of the smallest instances, kB.
const MEMORY_KB: u64 = 160_000;
/// Callers that send requests to the faulty backend server at the same time.
const FAULTY_CALLERS: usize = 12;
/// Time for which a stream is observed.
const OBSERVED_TIME: Duration = Duration::from_millis(1_500);

/// Begin of a response and what follows it without end, or until so many bytes were sent.
#[derive(Clone, Copy, Debug)]
struct EndlessResponse {
    begin: &'static str,
    repeated: &'static str,
    /// Bytes after which the backend server sends nothing more.
    stops_at: usize,
}

const RESPONSES: [EndlessResponse; 7] = [
    EndlessResponse {
        begin: "",
        repeated: "no response in this protocol ",
        stops_at: usize::MAX,
    },
    EndlessResponse {
        begin: "HTTP/1.1 200 OK\r\nx-long: ",
        repeated: "aaaaaaaaaaaaaaaa",
        stops_at: usize::MAX,
    },
    EndlessResponse {
        begin: "",
        repeated: "HTTP/1.1 102 Processing\r\n\r\n",
        stops_at: usize::MAX,
    },
    EndlessResponse {
        begin: "HTTP/1.1 200 OK\r\n\r\n",
        repeated: "body without an end ",
        stops_at: usize::MAX,
    },
    EndlessResponse {
        begin: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        repeated: "4\r\nmore\r\n",
        stops_at: usize::MAX,
    },
    EndlessResponse {
        begin: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        repeated: "14\r\ntwenty bytes of body\r\n",
        stops_at: usize::MAX,
    },
    // Holds the memory for responses until the deadline.
    EndlessResponse {
        begin: "HTTP/1.1 200 OK\r\ncontent-length: 900000000\r\n\r\n",
        repeated: "part of a body ",
        stops_at: 4 << 20,
    },
];

/// Starts a backend server at `addr` that answers each request like this.
fn start_faulty_backend(addr: SocketAddr, response: EndlessResponse) -> std::io::Result<()> {
    let listener = TcpListener::bind(addr)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || send_endless(stream, response));
        }
    });
    Ok(())
}

fn send_endless(mut stream: TcpStream, response: EndlessResponse) {
    let mut buf = [0; 4 << 10];
    if !matches!(stream.read(&mut buf), Ok(1..)) {
        return;
    }
    let block = response.repeated.repeat(4_000);
    let mut sent = 0;
    let mut written = stream.write_all(response.begin.as_bytes());
    while written.is_ok() && sent < response.stops_at {
        written = stream.write_all(block.as_bytes());
        sent += block.len();
    }
    // Waits until the node closes the connection.
    let _ = stream.read(&mut buf);
}

/// Peak memory of a process so far, kB.
fn peak_memory_kb(pid: u32) -> eyre::Result<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let field = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(field.unwrap_or_default().parse()?)
}

/// Puts a configuration in force with a route to each service.
fn put_routes(env: &TestFleet) {
    let route = |prefix: &str, service: &str, timeout_ms: u32| {
        json!({ "host": HOST, "prefix": prefix, "kind": "safe", "timeout-ms": timeout_ms, "slo-ms": 500,
            "priority": 1, "service": service, "attempts": 1 })
    };
    let service = json!({ "health-path": "/healthz", "max-conns": 100 });
    let config = json!({
        "version": "00000002",
        "routes": {
            "faulty": route("/sheets/", "archive", 1_000),
            "sound": route("/wrecks/", "registry", 4_500),
        },
        "services": { "registry": service, "archive": service },
        "limits": { "header-bytes": 16384, "body-bytes": 65536, "header-ms": 3000, "idle-ms": 15000 },
    });
    let text = config.to_string();
    let _ = env.store.put(OPERATOR_TOPIC, "config", text.as_bytes());
}

/// Sends requests to the faulty backend server until `until`, and gives each up after a while.
fn call_faulty(addr: SocketAddr, caller: usize, until: Instant) {
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let Ok(mut stream) = TcpStream::connect(addr) else {
            return;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(1_200)));
        let head = format!(
            "GET /sheets/1 HTTP/1.1\r\nhost: {HOST}\r\n{ATTEMPT_HEADER}: f{caller}-{number}\r\nconnection: close\r\n\r\n"
        );
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.read(&mut [0; 1_024]);
    }
}

/// Guards against a process that runs out of memory because its backend server sends bytes without end, in a
/// head or in a body, and against callers of another service whose calls fail meanwhile.
#[gtest]
fn endless_answers_harm_nobody() {
    for response in RESPONSES {
        run(async {
            let mut env = TestFleet::new(0)?;
            for (index, service) in ["registry", "archive"].into_iter().enumerate() {
                let options = SidecarOptions::new(&format!("n{index}"), "keta-a", service);
                let addrs = SidecarFleet::free_addrs(env.store.addr())?;
                env.fleet.add(options, addrs)?;
                env.fleet.start(index)?;
            }
            put_routes(&env);
            env.add_backend(0, 0.0)?;
            let addrs = env.fleet.nodes()[1].addrs.clone();
            start_faulty_backend(addrs.backend, response)?;
            env.fleet.wait_ready(WAIT_LIMIT).await?;
            env.wait_peers(1, 1).await?;
            let heartbeat = json!({
                "address": addrs.backend,
                "born": 7,
                "info": { "service": "archive", "version": "v1", "zone": "keta-a", "slots": 10 },
                "status": { "state": "ready", "seq": 1, "cold-left-ms": 0 },
            });
            let url = format!(
                "http://{}/sycamorewick/Instances.Heartbeat/f",
                addrs.heartbeat
            );
            let sent = awc::Client::default().post(url).send_json(&heartbeat).await;
            expect_that!(sent.map(|r| r.status()).ok(), some(eq(StatusCode::OK)));
            let until = Instant::now() + OBSERVED_TIME;
            let callers: Vec<_> = (0..FAULTY_CALLERS)
                .map(|caller| thread::spawn(move || call_faulty(addrs.caller, caller, until)))
                .collect();
            let mut calls = 0;
            while Instant::now() < until {
                calls += 1;
                let path = format!("/wrecks/{calls}");
                let reply = send_call(addrs.caller, format!("s{calls}"), &path).await?;
                eyre::ensure!(
                    reply.status == StatusCode::OK,
                    "{} for call {calls} to the sound service beside {response:?}",
                    reply.status
                );
            }
            for caller in callers {
                let _ = caller.join();
            }
            eyre::ensure!(env.fleet.is_running_now(1), "the process has ended");
            let pid = env.fleet.nodes()[1].process.pid();
            let pid = pid.ok_or_else(|| eyre::eyre!("the process has no id"))?;
            let peak_kb = peak_memory_kb(pid)?;
            println!("{response:?}: {calls} calls, peak of {peak_kb} kB");
            expect_that!(peak_kb, lt(MEMORY_KB), "{response:?}");
            Ok(())
        });
    }
}
