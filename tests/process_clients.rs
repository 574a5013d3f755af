//! Crowds of misbehaving clients at the ports of real sidecar processes: no process may end or exceed the
//! memory and the file descriptors of its instance, and an ordinary call is answered afterwards.

mod sidecar_common;

use std::fs;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use actix_http::StatusCode;
use googletest::prelude::*;
use serde_json::json;
use sidecar_common::HOST;
use sidecar_common::TestFleet;
use sidecar_common::WAIT_LIMIT;
use sidecar_common::run;
use testbed::platform::backend::ATTEMPT_HEADER;
use testbed::platform::fleet::SidecarFleet;
use testbed::platform::fleet::SidecarOptions;
use testbed::platform::store::OPERATOR_TOPIC;

/// One test runs at a time, so that crowds do not share the descriptors of the test process.
static LOCK: Mutex<()> = Mutex::new(());

/// Memory of the instances, MB.
const MEMORY_MB: u32 = 64;
/// File descriptors of the instances.
const MAX_OPEN_FILES: u32 = 400;
/// Largest body of the configuration, bytes.
const BODY_BYTES: usize = 1 << 20;
/// Clients of a crowd.
const CLIENTS: usize = 100;
/// Clients of a crowd that exhausts the file descriptors.
const MANY_CLIENTS: usize = 450;
/// Requests that a client sends ahead.
const AHEAD: usize = 500;
/// Size of the responses that are never read, bytes.
const ANSWER_BYTES: usize = 60_000;
/// Time for which a crowd stays.
const STAY: Duration = Duration::from_secs(2);

/// Instance of a test.
#[derive(Clone, Copy)]
struct Instance {
    memory_mb: u32,
    body_bytes: usize,
    answer_bytes: usize,
    service_ms: u64,
    nodes: usize,
}

impl Default for Instance {
    fn default() -> Self {
        Self {
            memory_mb: MEMORY_MB,
            body_bytes: BODY_BYTES,
            answer_bytes: 400,
            service_ms: 10,
            nodes: 1,
        }
    }
}

/// Starts the nodes of a test; `proxy` is put between the first node and its backend server.
async fn start(instance: Instance, proxy: bool) -> eyre::Result<(TestFleet, Arc<AtomicUsize>)> {
    let mut env = TestFleet::new(0)?;
    let config = json!({
        "version": format!("{:08x}", 2),
        "routes": { "lookup": { "host": HOST, "prefix": "/wrecks/", "kind": "safe", "timeout-ms": 10_000,
            "slo-ms": 2_000, "priority": 1, "service": "registry", "attempts": 2 } },
        "services": { "registry": { "health-path": "/healthz", "max-conns": 100 } },
        "limits": { "header-bytes": 16_384, "body-bytes": instance.body_bytes, "header-ms": 1_000,
            "idle-ms": 3_000 },
    });
    let _ = env
        .store
        .put(OPERATOR_TOPIC, "config", config.to_string().as_bytes());
    let fields = Arc::new(AtomicUsize::new(0));
    for index in 0..instance.nodes {
        let options = SidecarOptions {
            memory_mb: Some(instance.memory_mb),
            max_open_files: Some(MAX_OPEN_FILES),
            ..SidecarOptions::new(&format!("n{index}"), "keta-a", "registry")
        };
        let mut addrs = SidecarFleet::free_addrs(env.store.addr())?;
        if proxy {
            addrs.backend_proxy = start_field_filter(addrs.backend, fields.clone())?;
        }
        env.fleet.add(options, addrs)?;
        env.fleet.start(index)?;
    }
    // The first node has no backend server of its own if there are several.
    for index in instance.nodes - 1..instance.nodes {
        let service_time = Duration::from_millis(instance.service_ms);
        env.start_backend_of_size(index, "v1", 0.0, service_time, instance.answer_bytes)?;
    }
    env.fleet.wait_ready(WAIT_LIMIT).await?;
    env.wait_for(WAIT_LIMIT, 0, "/wrecks/1", StatusCode::OK)
        .await?;
    Ok((env, fields))
}

/// Forwards requests without their fields `f-...` and counts these. The library of the stand-in accepts
/// only about a hundred fields.
fn start_field_filter(backend: SocketAddr, fields: Arc<AtomicUsize>) -> eyre::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let fields = fields.clone();
            thread::spawn(move || filter_fields(client, backend, &fields));
        }
    });
    Ok(addr)
}

fn filter_fields(
    mut client: TcpStream,
    backend: SocketAddr,
    fields: &AtomicUsize,
) -> std::io::Result<()> {
    let mut received = Vec::new();
    let mut buf = [0; 4_096];
    while !received.windows(4).any(|end| end == b"\r\n\r\n") {
        let count = client.read(&mut buf)?;
        if count == 0 {
            return Ok(());
        }
        received.extend_from_slice(&buf[..count]);
    }
    let text = String::from_utf8_lossy(&received);
    let (kept, removed): (Vec<_>, Vec<_>) =
        text.split("\r\n").partition(|line| !line.starts_with("f-"));
    fields.fetch_max(removed.len(), Ordering::Relaxed);
    let mut server = TcpStream::connect(backend)?;
    let head = kept
        .join("\r\n")
        .replacen("\r\n\r\n", "\r\nconnection: close\r\n\r\n", 1);
    server.write_all(head.as_bytes())?;
    std::io::copy(&mut server, &mut client)?;
    Ok(())
}

/// Writes as many bytes as the kernel takes. Returns their number, or `None` once the connection is closed.
fn write_available(stream: &mut TcpStream, bytes: &[u8]) -> Option<usize> {
    let mut written = 0;
    while written < bytes.len() {
        match stream.write(&bytes[written..]) {
            Ok(count) => written += count,
            Err(e) if e.kind() == ErrorKind::WouldBlock => break,
            Err(_) => return None,
        }
    }
    Some(written)
}

/// Opens connections and sends the same bytes on each of them without reading, in pieces of `piece` bytes;
/// as many as fit into [`STAY`]. Returns the connections that are open, which stay so until they are dropped.
async fn send_crowd(
    addr: SocketAddr,
    clients: usize,
    bytes: &[u8],
    piece: usize,
) -> eyre::Result<Vec<(TcpStream, usize)>> {
    let mut crowd = Vec::new();
    for _ in 0..clients {
        let stream = TcpStream::connect(addr)?;
        stream.set_nonblocking(true)?;
        crowd.push((stream, 0));
    }
    let rounds = 40;
    for _ in 0..rounds {
        crowd.retain_mut(|(stream, sent)| {
            let end = bytes.len().min(*sent + piece);
            let written = write_available(stream, &bytes[*sent..end]);
            *sent += written.unwrap_or(0);
            written.is_some()
        });
        actix_rt::time::sleep(STAY / rounds).await;
    }
    Ok(crowd)
}

/// Checks that all nodes run within their instances, and that an ordinary call is answered.
fn check(env: &mut TestFleet, memory_mb: u32, crowd: &str) -> eyre::Result<()> {
    for index in 0..env.fleet.nodes().len() {
        expect_true!(env.fleet.is_running_now(index));
        let pid = env.fleet.nodes()[index].process.pid().unwrap_or_default();
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let peak = peak.and_then(|peak| peak.trim().strip_suffix(" kB"));
        let peak_bytes = peak.unwrap_or_default().parse::<u64>()? * 1_024;
        let files = fs::read_dir(format!("/proc/{pid}/fd"))?.count();
        println!("{crowd}: node {index} {peak_bytes} bytes, {files} files");
        expect_that!(
            peak_bytes,
            le(u64::from(memory_mb) * 1_000_000),
            "{crowd}, node {index}"
        );
        expect_that!(
            files,
            le(usize::try_from(MAX_OPEN_FILES)?),
            "{crowd}, node {index}"
        );
    }
    Ok(())
}

/// Checks that an ordinary call is answered, now that a crowd is gone.
async fn check_answered(env: &mut TestFleet, crowd: &str) -> eyre::Result<()> {
    let served = env
        .wait_for(WAIT_LIMIT, 0, "/wrecks/1", StatusCode::OK)
        .await;
    served.map_err(|e| eyre::eyre!("after {crowd}: {e}"))
}

/// Ports of the first node with a path that each of them serves.
fn ports(env: &TestFleet) -> [(&'static str, SocketAddr, &'static str); 6] {
    let addrs = &env.fleet.nodes()[0].addrs;
    [
        ("route", addrs.caller, "/wrecks/1"),
        ("no route", addrs.caller, "/none"),
        ("node port", addrs.node, "/wrecks/1"),
        ("ready port", addrs.ready, "/sycamorewick/readyz"),
        (
            "heartbeat port",
            addrs.heartbeat,
            "/sycamorewick/Instances.Heartbeat/x",
        ),
        ("metrics port", addrs.metrics, "/metrics"),
    ]
}

/// Sends what `request` returns for a path to each port, and checks the node after each crowd.
async fn crowd_at_ports(
    crowd: &str,
    clients: usize,
    piece: usize,
    request: impl Fn(&str) -> Vec<u8>,
) -> eyre::Result<()> {
    let instance = Instance::default();
    let (mut env, _) = start(instance, false).await?;
    for (port, addr, path) in ports(&env) {
        let name = format!("{crowd} at {port}");
        let open = send_crowd(addr, clients, &request(path), piece).await?;
        check(&mut env, instance.memory_mb, &name)?;
        drop(open);
        check_answered(&mut env, &name).await?;
    }
    Ok(())
}

fn locked<F: Future<Output = eyre::Result<()>>>(test: F) {
    let _guard = LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    run(test);
}

fn head(method: &str, path: &str, fields: &str) -> Vec<u8> {
    format!("{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n{ATTEMPT_HEADER}: crowd\r\n{fields}\r\n")
        .into()
}

/// A body whose last byte is missing.
fn short_body(path: &str) -> Vec<u8> {
    let mut request = head("POST", path, &format!("content-length: {BODY_BYTES}\r\n"));
    request.resize(request.len() + BODY_BYTES - 1, b'x');
    request
}

/// A chunked body of legal size without its end.
fn chunked_body(path: &str, chunk: usize, bytes: usize) -> Vec<u8> {
    let mut request = head("POST", path, "transfer-encoding: chunked\r\n");
    let part = format!("{chunk:x}\r\n{}\r\n", "x".repeat(chunk));
    request.extend(part.repeat(bytes / chunk).into_bytes());
    request
}

/// Guards against a process that ends for lack of memory, because bodies stop one byte before their end.
#[gtest]
fn bodies_one_byte_short() {
    locked(crowd_at_ports(
        "short bodies",
        CLIENTS,
        usize::MAX / 2,
        short_body,
    ));
}

/// Guards against messages between nodes whose bodies stop one byte before their end and are held without a bound
/// on all of them.
#[gtest]
fn messages_one_byte_short() {
    locked(async {
        let instance = Instance::default();
        let (mut env, _) = start(instance, false).await?;
        let addr = env.fleet.nodes()[0].addrs.node;
        for (path, bytes) in [("/sw/usage", 256 << 10), ("/sw/entry", 64 << 10)] {
            let mut request = head("POST", path, &format!("content-length: {bytes}\r\n"));
            request.resize(request.len() + bytes - 1, b'x');
            let mut open = send_crowd(addr, CLIENTS, &request, usize::MAX / 2).await?;
            check(&mut env, instance.memory_mb, path)?;
            let mut buf = [0; 64];
            let reads = open.iter_mut().map(|(stream, _)| stream.read(&mut buf));
            let refused = reads.flatten().count();
            // The bound on all of them is a third of what the larger ones need; the smaller ones fit.
            expect_that!(refused > 0, eq(bytes > 64 << 10), "{refused} of {path}");
            drop(open);
            check_answered(&mut env, path).await?;
        }
        Ok(())
    });
}

/// Guards against small pieces of a body that take more memory than their bytes.
#[gtest]
fn bodies_in_small_pieces() {
    locked(crowd_at_ports("small pieces", CLIENTS, 1_000, short_body));
}

/// Guards against chunks that take more memory than their bytes.
#[gtest]
fn bodies_in_chunks() {
    locked(async {
        crowd_at_ports("chunks of a byte", CLIENTS, usize::MAX / 2, |path| {
            chunked_body(path, 1, 100_000)
        })
        .await?;
        crowd_at_ports("large chunks", CLIENTS, usize::MAX / 2, |path| {
            chunked_body(path, BODY_BYTES / 2, BODY_BYTES)
        })
        .await
    });
}

/// Guards against bodies over the limit that are kept, announced with their length or not.
#[gtest]
fn bodies_over_the_limit() {
    locked(async {
        crowd_at_ports("announced large bodies", CLIENTS, usize::MAX / 2, |path| {
            let mut request = head("POST", path, "content-length: 1000000000\r\n");
            request.resize(request.len() + 2 * BODY_BYTES, b'x');
            request
        })
        .await?;
        crowd_at_ports("endless bodies", CLIENTS, usize::MAX / 2, |path| {
            chunked_body(path, BODY_BYTES / 4, 3 * BODY_BYTES)
        })
        .await
    });
}

/// Guards against refused bodies that each leave memory behind at another place of the heap, so that the process grows
/// with every crowd.
#[gtest]
fn bodies_in_rounds() {
    locked(async {
        let instance = Instance::default();
        let (mut env, _) = start(instance, false).await?;
        let (_, addr, path) = ports(&env)[0];
        for round in 0..10 {
            let request = if round % 3 == 2 {
                short_body(path)
            } else {
                chunked_body(path, BODY_BYTES / 4, 3 * BODY_BYTES)
            };
            let name = format!("round {round}");
            let open = send_crowd(addr, CLIENTS, &request, usize::MAX / 2).await?;
            check(&mut env, instance.memory_mb, &name)?;
            drop(open);
            check_answered(&mut env, &name).await?;
        }
        Ok(())
    });
}

/// Guards against the memory of very many fields in one head, which is a multiple of their bytes.
#[gtest]
fn heads_of_many_fields() {
    locked(async {
        crowd_at_ports("3,900 empty fields", CLIENTS, usize::MAX / 2, |path| {
            head("GET", path, &"a:\r\n".repeat(3_900))
        })
        .await?;
        crowd_at_ports("40 heads of 900 fields", CLIENTS, usize::MAX / 2, |path| {
            head("GET", path, &many_fields()).repeat(40)
        })
        .await
    });
}

/// Returns 900 short fields with different names.
fn many_fields() -> String {
    use std::fmt::Write;
    (0..900).fold(String::new(), |mut text, index| {
        let _ = write!(text, "f-{index}: 1\r\n");
        text
    })
}

/// Guards against responses that pile up behind requests that were sent ahead, at the node of the clients and
/// at the node that serves them.
#[gtest]
fn pipelined_responses_never_read() {
    locked(async {
        let instance = Instance {
            answer_bytes: ANSWER_BYTES,
            nodes: 2,
            ..Instance::default()
        };
        let (mut env, _) = start(instance, false).await?;
        let addr = env.fleet.nodes()[0].addrs.caller;
        let requests = head("GET", "/wrecks/1", "").repeat(AHEAD);
        let open = send_crowd(addr, 2 * CLIENTS, &requests, usize::MAX / 2).await?;
        check(&mut env, instance.memory_mb, "requests ahead")?;
        drop(open);
        check_answered(&mut env, "requests ahead").await
    });
}

/// Guards against requests sent ahead at the other ports.
#[gtest]
fn pipelined_requests_at_ports() {
    locked(crowd_at_ports(
        "requests ahead",
        CLIENTS,
        usize::MAX / 2,
        |path| head("GET", path, "").repeat(AHEAD),
    ));
}

/// Guards against connections whose heads or bodies arrive slowly or stop half-way: they must not take all
/// file descriptors.
#[gtest]
fn slow_senders() {
    locked(async {
        crowd_at_ports("slow heads", MANY_CLIENTS, 1, |path| {
            head("GET", path, &"a: 1\r\n".repeat(20))
        })
        .await?;
        crowd_at_ports("half heads", MANY_CLIENTS, usize::MAX / 2, |path| {
            format!("GET {path} HTTP/1.1\r\nhost").into()
        })
        .await?;
        crowd_at_ports("half bodies", MANY_CLIENTS, usize::MAX / 2, |path| {
            let mut request = head("POST", path, "content-length: 1000\r\n");
            request.resize(request.len() + 500, b'x');
            request
        })
        .await
    });
}

/// Guards against a crowd that operators cannot see: its events are in the metrics, and in few log lines.
#[gtest]
fn events_at_limits_reported() {
    locked(async {
        let (mut env, _) = start(Instance::default(), false).await?;
        let addrs = env.fleet.nodes()[0].addrs.clone();
        let request = format!("GET /wrecks/1 HTTP/1.1\r\nhost: {HOST}\r\n");
        let open = send_crowd(addrs.caller, MANY_CLIENTS, request.as_bytes(), 1_000).await?;
        let mut stream = TcpStream::connect(addrs.metrics)?;
        stream.set_read_timeout(Some(WAIT_LIMIT))?;
        stream.write_all(b"GET /metrics HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\r\n")?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        drop(open);
        let value = |name: &str| {
            let mut lines = text.lines();
            let value = lines.find_map(|line| line.strip_prefix(name)?.trim().parse::<u64>().ok());
            value.unwrap_or(u64::MAX)
        };
        let limit = u64::from(MAX_OPEN_FILES);
        let made_room = value("sycamorewick_client_evictions_total");
        let rejections = value("sycamorewick_client_rejections_total");
        expect_that!(
            made_room.saturating_add(rejections),
            ge(u64::try_from(MANY_CLIENTS)? - limit)
        );
        expect_that!(value("sycamorewick_client_refusals_total"), eq(0));
        expect_that!(value("sycamorewick_outgoing_idle_closed_total"), eq(0));
        expect_that!(value("sycamorewick_outgoing_not_sent_total"), eq(0));
        actix_rt::time::sleep(Duration::from_secs(6)).await;
        let lines = env.fleet.log_lines(0, "limits reached");
        expect_that!(lines.len(), all!(ge(1), le(3)));
        check_answered(&mut env, "half heads").await
    });
}

/// Guards against the memory of large responses whose clients do not read them, at both nodes.
#[gtest]
fn large_responses_not_read() {
    locked(async {
        let instance = Instance {
            answer_bytes: 3 << 19,
            nodes: 2,
            ..Instance::default()
        };
        let (mut env, _) = start(instance, false).await?;
        let addr = env.fleet.nodes()[0].addrs.caller;
        let request = head("GET", "/wrecks/1", "");
        let open = send_crowd(addr, CLIENTS, &request, usize::MAX / 2).await?;
        check(&mut env, instance.memory_mb, "unread responses")?;
        drop(open);
        check_answered(&mut env, "unread responses").await
    });
}

/// Guards against requests that run for a client that is gone: those that it has sent ahead beyond what the
/// node had started.
#[gtest]
fn disconnected_client() {
    locked(async {
        let instance = Instance {
            service_ms: 50,
            ..Instance::default()
        };
        let (mut env, _) = start(instance, false).await?;
        let mut stream = TcpStream::connect(env.fleet.nodes()[0].addrs.caller)?;
        let before = env.backends[0].runs().len();
        let requests = head("GET", "/wrecks/1", "x: 1\r\n").repeat(4_000);
        stream.set_nonblocking(true)?;
        eyre::ensure!(write_available(&mut stream, &requests).is_some());
        drop(stream);
        actix_rt::time::sleep(STAY).await;
        let runs = env.backends[0].runs().len() - before;
        println!("{runs} runs after the client was gone");
        // The node may run 16 requests of a connection at a time, and may learn of the end only then.
        expect_that!(runs, le(32));
        check(&mut env, instance.memory_mb, "disconnected")?;
        check_answered(&mut env, "disconnected").await
    });
}

/// Guards against a request within the limit of the size of heads that is refused for its number of fields.
#[gtest]
fn many_fields_in_calm() {
    locked(async {
        for nodes in [1, 2] {
            let instance = Instance {
                nodes,
                ..Instance::default()
            };
            let (mut env, fields) = start(instance, true).await?;
            let mut stream = TcpStream::connect(env.fleet.nodes()[0].addrs.caller)?;
            stream.set_read_timeout(Some(WAIT_LIMIT))?;
            stream.write_all(&head("GET", "/wrecks/1", &many_fields()))?;
            let mut buf = [0; 64];
            let count = stream.read(&mut buf)?;
            let text = String::from_utf8_lossy(&buf[..count]);
            expect_that!(text, starts_with("HTTP/1.1 200 "), "{nodes} nodes");
            expect_that!(fields.load(Ordering::Relaxed), eq(900));
            check(&mut env, instance.memory_mb, "many fields")?;
        }
        Ok(())
    });
}

/// Output of all nodes, for failure messages.
fn outputs(env: &TestFleet) -> String {
    let nodes = env.fleet.nodes().iter();
    nodes.map(|node| node.process.output()).collect()
}

/// Guards against the largest body of the configuration that is refused on the smallest instance.
#[gtest]
fn largest_body_in_calm() {
    locked(async {
        for nodes in [1, 2] {
            let instance = Instance {
                memory_mb: 160,
                body_bytes: 64 << 20,
                nodes,
                ..Instance::default()
            };
            let (mut env, _) = start(instance, false).await?;
            let mut stream = TcpStream::connect(env.fleet.nodes()[0].addrs.caller)?;
            stream.set_read_timeout(Some(WAIT_LIMIT))?;
            let length = format!("content-length: {}\r\n", 64 << 20);
            stream.write_all(&head("POST", "/wrecks/1", &length))?;
            let piece = vec![b'x'; 1 << 20];
            // A refusal may come before the whole body is sent.
            for _ in 0..64 {
                if stream.write_all(&piece).is_err() {
                    break;
                }
            }
            let mut buf = [0; 64];
            let count = stream.read(&mut buf)?;
            let text = String::from_utf8_lossy(&buf[..count]);
            check(&mut env, instance.memory_mb, "largest body")?;
            check_answered(&mut env, "largest body").await?;
            // The nodes have written their log lines about the call by now.
            let output = outputs(&env);
            expect_that!(
                text,
                starts_with("HTTP/1.1 200 "),
                "{nodes} nodes: {output}"
            );
        }
        Ok(())
    });
}
