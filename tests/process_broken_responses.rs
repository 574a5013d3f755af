//! A backend server whose responses are broken, beside real sidecar processes.

mod broken_common;
mod sidecar_common;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use actix_http::StatusCode;
use broken_common::End;
use broken_common::HEADS_WITHOUT_LENGTH;
use broken_common::INVALID_FIELD_NAMES;
use broken_common::INVALID_STATUS_LINES;
use googletest::prelude::*;
use serde_json::json;
use sidecar_common::HOST;
use sidecar_common::TestFleet;
use sidecar_common::WAIT_LIMIT;
use sidecar_common::run;
use testbed::platform::backend::ATTEMPT_HEADER;
use testbed::platform::backend::SEAL_HEADER;
use testbed::platform::fleet::SidecarFleet;
use testbed::platform::fleet::SidecarOptions;
use testbed::platform::store::OPERATOR_TOPIC;

/// Bodies of uploads, bytes. The kernel takes the smaller one at once, so that the reset comes between the writes of
/// the head and of the body; the larger one is still being written.
const UPLOAD_BYTES: [usize; 2] = [1 << 20, 8 << 20];
/// Uploads of each size for each form of a response and each node. In how many of them a write finds the reset is up
/// to the kernel.
const UPLOADS: usize = 8;
/// Time between heartbeats of the backend server.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
const SOUND_PATH: &str = "/wrecks/sound";
const SOUND_RESPONSE: &str = "HTTP/1.1 200 OK\r\nIDcontent-length: 5\r\n\r\nsound";

/// Starts two nodes. The second one has a backend server, which answers a request for `/wrecks/N-…` with the response
/// at index `N`, and others with a sound one. In a response, `ID` stands for the headers that tell which request is
/// answered, with a line end.
async fn start(responses: &[String], end: End) -> eyre::Result<TestFleet> {
    let mut env = TestFleet::new(0)?;
    put_config(&env);
    for id in ["n0", "n1"] {
        let options = SidecarOptions::new(id, "keta-a", "registry");
        let addrs = SidecarFleet::free_addrs(env.store.addr())?;
        let index = env.fleet.add(options, addrs)?;
        env.fleet.start(index)?;
    }
    let addrs = env.fleet.nodes()[1].addrs.clone();
    let responses = responses.to_vec();
    broken_common::start_peer(addrs.backend, move |head| match requested_index(head) {
        Some(index) => (identify(&responses[index], head), end),
        None => (identify(SOUND_RESPONSE, head), End::Open),
    })?;
    env.fleet.wait_ready(WAIT_LIMIT).await?;
    actix_rt::spawn(send_heartbeats(addrs.backend, addrs.heartbeat));
    env.wait_peers(0, 1).await?;
    for index in 0..2 {
        env.wait_for(WAIT_LIMIT, index, SOUND_PATH, StatusCode::OK)
            .await?;
    }
    Ok(env)
}

/// Returns the index of the response that a request asks for.
fn requested_index(head: &str) -> Option<usize> {
    let (_, path) = head.split_once("/wrecks/")?;
    path.split_once('-')?.0.parse().ok()
}

/// Puts the id of the request with this head, and a seal, into a response.
fn identify(response: &str, head: &str) -> Vec<u8> {
    let mut lines = head.lines();
    let id = lines.find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        name.eq_ignore_ascii_case(ATTEMPT_HEADER).then_some(value)
    });
    let id = id.unwrap_or_default();
    let fields = format!("{ATTEMPT_HEADER}: {id}\r\n{SEAL_HEADER}: 1.{id}\r\n");
    response.replace("ID", &fields).into_bytes()
}

/// Puts a configuration in force that allows uploads.
fn put_config(env: &TestFleet) {
    let config = json!({
        "version": "00000002",
        "routes": { "lookup": { "host": HOST, "prefix": "/wrecks/", "kind": "unsafe", "timeout-ms": 4500,
            "slo-ms": 500, "priority": 1, "service": "registry", "attempts": 1 } },
        "services": { "registry": { "health-path": "/healthz", "max-conns": 100 } },
        "limits": { "header-bytes": 16384, "body-bytes": 16 << 20, "header-ms": 3000, "idle-ms": 15000 },
    });
    let text = config.to_string();
    let _ = env.store.put(OPERATOR_TOPIC, "config", text.as_bytes());
}

/// Reports the backend server as ready until the test ends.
async fn send_heartbeats(backend: SocketAddr, node: SocketAddr) {
    let url = format!("http://{node}/sycamorewick/Instances.Heartbeat/b");
    let client = awc::Client::default();
    for seq in 1.. {
        let heartbeat = json!({
            "address": backend,
            "born": 7,
            "info": { "service": "registry", "version": "v1", "zone": "keta-a", "slots": 10 },
            "status": { "state": "ready", "seq": seq, "cold-left-ms": 0 },
        });
        // A heartbeat that is lost is replaced by the next one.
        let _ = client.post(&url).send_json(&heartbeat).await;
        actix_rt::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Sends a request with a body and returns all that comes back until the node closes the connection.
fn upload(addr: SocketAddr, id: &str, body: usize) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(WAIT_LIMIT))?;
    write!(
        stream,
        "POST /wrecks/{id} HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\n{ATTEMPT_HEADER}: {id}\r\n\
         content-length: {body}\r\n\r\n",
    )?;
    stream.write_all(&vec![b'x'; body])?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response)?;
    Ok(String::from_utf8_lossy(&response).into_owned())
}

/// Sends requests through the node beside the backend server and through the other one, and expects that each is
/// answered as failed, without a part of the broken response. Sound requests follow, which also keep the circuit
/// breaker closed.
async fn expect_failed(
    responses: &[String],
    end: End,
    calls: usize,
    body: usize,
) -> eyre::Result<()> {
    let mut env = start(responses, end).await?;
    for (node, place) in [
        (1, "beside the backend server"),
        (0, "through another node"),
    ] {
        let addr = env.fleet.nodes()[node].addrs.caller;
        for (index, response) in responses.iter().enumerate() {
            for call in 0..calls {
                let id = format!("{index}-{node}-{call}");
                let answer =
                    actix_rt::task::spawn_blocking(move || upload(addr, &id, body)).await??;
                let has_failed = answer.starts_with("HTTP/1.1 502 ");
                expect_true!(has_failed, "{place}, {response:?}: {answer:?}");
                let sound = env.call(node, SOUND_PATH).await?;
                expect_that!(sound.status, eq(StatusCode::OK), "{place}, {response:?}");
                expect_that!(&sound.body[..], eq(b"sound"), "{place}, {response:?}");
            }
        }
    }
    Ok(())
}

/// Guards against a partial response that a client gets as a complete one: the backend server resets the connection
/// while the node is still writing the upload.
#[gtest]
fn upload_reset_after_part() {
    let responses = HEADS_WITHOUT_LENGTH.map(|head| format!("{head}ID\r\npart"));
    for bytes in UPLOAD_BYTES {
        run(expect_failed(&responses, End::Reset, UPLOADS, bytes));
    }
}

/// Guards against a response with an invalid status code that is passed on.
#[gtest]
fn invalid_status() {
    let responses =
        INVALID_STATUS_LINES.map(|line| format!("{line}\r\nIDcontent-length: 2\r\n\r\nno"));
    run(expect_failed(&responses, End::Open, 1, 0));
}

/// Guards against an invalid line of a head that reaches the client or is read as another field.
#[gtest]
fn invalid_field_name() {
    let responses = INVALID_FIELD_NAMES
        .map(|field| format!("HTTP/1.1 200 OK\r\nID{field}\r\ncontent-length: 2\r\n\r\nok"));
    run(expect_failed(&responses, End::Open, 1, 0));
}
