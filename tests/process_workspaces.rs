//! Credentials of workspaces at real sidecar processes.

mod sidecar_common;

use std::fs;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;
use sidecar_common::HOST;
use sidecar_common::POLL_MARGIN;
use sidecar_common::REQUIRED_TIME;
use sidecar_common::TestFleet;
use sidecar_common::WAIT_LIMIT;
use sidecar_common::run;
use sycamorewick::protocol::hop::HOP_REQUEST_HEADER;
use sycamorewick::protocol::hop::HopRequestHeader;
use testbed::log_server::Outage;
use testbed::platform::backend::ATTEMPT_HEADER;
use testbed::platform::backend::PlatformBackend;
use testbed::platform::backend::PlatformBackendHandle;
use testbed::platform::backend::PlatformBackendOptions;
use testbed::platform::fleet::SidecarFleet;
use testbed::platform::fleet::SidecarOptions;
use testbed::platform::store::OPERATOR_TOPIC;
use testbed::platform::store::StoreHandle;

const CREDENTIAL_HEADER: &str = "x-sycamorewick-credential";
const WORKSPACE_HEADER: &str = "x-sycamorewick-tenant";
const ACME_KEY: &str = "key-of-acme-51f0";
const BIRCH_KEY: &str = "key-of-birch-93aa";
const UNKNOWN_KEY: &str = "key-of-nobody-20c7";
const KEYS: [&str; 3] = [ACME_KEY, BIRCH_KEY, UNKNOWN_KEY];
/// Size of a body that a node must not read before it refuses its request, bytes.
const LARGE_BODY_BYTES: usize = 60_000;

/// Writes a configuration with a public route `/open/` and these workspaces.
fn put_workspaces(store: &StoreHandle, version: u32, workspaces: &Value) {
    put_workspaces_within(store, version, workspaces, 3_000, 500);
}

/// The same with other time limits and objectives of the routes, in milliseconds.
fn put_workspaces_within(
    store: &StoreHandle,
    version: u32,
    workspaces: &Value,
    timeout_ms: u32,
    objective_ms: u32,
) {
    let route = |prefix: &str, is_public: bool, kind: &str| {
        json!({ "host": HOST, "prefix": prefix, "kind": kind, "timeout-ms": timeout_ms, "slo-ms": objective_ms,
            "priority": 1, "service": "registry", "attempts": 2, "public": is_public })
    };
    let config = json!({
        "version": format!("{version:08x}"),
        "routes": {
            "lookup": route("/wrecks/", false, "safe"),
            "claims": route("/claims/", false, "unsafe"),
            "open": route("/open/", true, "safe"),
            "own": route(&format!("/v{version}/"), true, "safe"),
        },
        "services": { "registry": { "health-path": "/healthz", "max-conns": 100 } },
        "limits": { "header-bytes": 16384, "body-bytes": 65536, "header-ms": 3000, "idle-ms": 15000 },
        "tenants": workspaces,
    });
    let _ = store.put(OPERATOR_TOPIC, "config", config.to_string().as_bytes());
}

fn both_workspaces() -> Value {
    json!({ "acme": { "api-keys": [ACME_KEY], "priority": 1 }, "birch": { "api-keys": [BIRCH_KEY] } })
}

/// Waits until all nodes use a configuration of [`put_workspaces`].
async fn wait_version(env: &mut TestFleet, version: u32) -> eyre::Result<()> {
    for index in 0..env.fleet.nodes().len() {
        let path = format!("/v{version}/x");
        let limit = REQUIRED_TIME + POLL_MARGIN;
        let ok = actix_http::StatusCode::OK;
        env.wait_for(limit, index, &path, ok).await?;
    }
    Ok(())
}

async fn start(nodes: usize) -> eyre::Result<TestFleet> {
    let mut env = TestFleet::start(nodes).await?;
    put_workspaces(&env.store, 2, &both_workspaces());
    wait_version(&mut env, 2).await?;
    for backend in &env.backends {
        backend.record_headers();
    }
    Ok(env)
}

/// A connection on which a test writes requests itself.
struct Client {
    stream: TcpStream,
    received: Vec<u8>,
}

impl Client {
    fn connect(addr: SocketAddr) -> eyre::Result<Self> {
        let stream = TcpStream::connect(addr)?;
        stream.set_read_timeout(Some(WAIT_LIMIT))?;
        Ok(Self {
            stream,
            received: Vec::new(),
        })
    }

    fn send(&mut self, path: &str, attempt: &str, headers: &[(&str, &str)]) -> eyre::Result<()> {
        self.send_head("GET", path, attempt, headers)
    }

    fn send_head(
        &mut self,
        method: &str,
        path: &str,
        attempt: &str,
        headers: &[(&str, &str)],
    ) -> eyre::Result<()> {
        let mut text = Vec::new();
        write!(
            text,
            "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n{ATTEMPT_HEADER}: {attempt}\r\n"
        )?;
        for (name, value) in headers {
            write!(text, "{name}: {value}\r\n")?;
        }
        text.extend_from_slice(b"\r\n");
        self.stream.write_all(&text)?;
        Ok(())
    }

    /// Reads the next response and returns its status and its whole text.
    fn receive(&mut self) -> eyre::Result<(u16, String)> {
        loop {
            if let Some(end) = find(&self.received, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.received[..end]).to_ascii_lowercase();
                let length = head.split("content-length: ").nth(1);
                let length = length.and_then(|rest| rest.split("\r\n").next());
                let length: usize = length.unwrap_or("0").parse()?;
                let end = end + 4 + length;
                if self.received.len() >= end {
                    let response: Vec<u8> = self.received.drain(..end).collect();
                    let text = String::from_utf8_lossy(&response).into_owned();
                    let status = text.split(' ').nth(1).unwrap_or_default().parse()?;
                    return Ok((status, text));
                }
            }
            let mut buf = [0; 16 << 10];
            let length = self.stream.read(&mut buf)?;
            eyre::ensure!(length > 0, "the connection is closed");
            self.received.extend_from_slice(&buf[..length]);
        }
    }
}

fn find(text: &[u8], part: &[u8]) -> Option<usize> {
    text.windows(part.len()).position(|window| window == part)
}

fn get(
    env: &TestFleet,
    index: usize,
    path: &str,
    attempt: &str,
    headers: &[(&str, &str)],
) -> eyre::Result<(u16, String)> {
    let mut client = Client::connect(env.fleet.nodes()[index].addrs.caller)?;
    client.send(path, attempt, headers)?;
    client.receive()
}

/// Returns the values of a header with which a backend server got an attempt, if one did.
fn received(env: &TestFleet, attempt: &str, header: &str) -> Option<Vec<String>> {
    let recorded = env
        .backends
        .iter()
        .flat_map(PlatformBackendHandle::recorded_headers);
    let mut of_attempt = recorded.filter(|(id, _)| id == attempt);
    let (_, headers) = of_attempt.next()?;
    let values = headers.into_iter().filter(|(name, _)| name == header);
    Some(values.map(|(_, value)| value).collect())
}

fn has_run(env: &TestFleet, attempt: &str) -> bool {
    let ran = |id: &String| id == attempt;
    env.backends.iter().any(|b| b.runs().iter().any(ran))
}

/// Fails if a key is in the log or the metrics of a node, or reached a backend server.
async fn check_no_key_leaks(env: &TestFleet) -> eyre::Result<()> {
    for node in env.fleet.nodes() {
        let url = format!("http://{}/metrics", node.addrs.metrics);
        let response = awc::Client::default().get(url).send().await;
        let metrics = response.map_err(|e| eyre::eyre!("{e}"))?.body().await?;
        let metrics = String::from_utf8_lossy(&metrics).into_owned();
        for key in KEYS {
            expect_that!(node.process.output(), not(contains_substring(key)));
            expect_that!(metrics, not(contains_substring(key)));
        }
    }
    for (attempt, headers) in env
        .backends
        .iter()
        .flat_map(PlatformBackendHandle::recorded_headers)
    {
        for (name, value) in headers {
            expect_that!(name.as_str(), not(eq(CREDENTIAL_HEADER)), "{attempt}");
            let is_key = KEYS.iter().any(|key| value.contains(key));
            expect_false!(is_key, "{attempt}: {name}");
        }
    }
    Ok(())
}

/// Guards against a request that runs without a valid key, that counts as one of another workspace, or whose key
/// is forwarded to a peer or a backend server, or logged. One of the two nodes has no backend server, so all
/// of its calls go through the other one.
#[gtest]
fn credentials_of_two_nodes() {
    run(async {
        let mut env = start(2).await?;
        env.backends[1].kill();
        let ok = actix_http::StatusCode::OK;
        env.wait_for(WAIT_LIMIT, 1, "/open/1", ok).await?;
        let lookup = "/wrecks/1";
        for index in 0..2 {
            for call in 0..20 {
                let id = |kind: &str| format!("{kind}-{index}-{call}");
                let spoofed = (WORKSPACE_HEADER, "birch");
                let valid = [(CREDENTIAL_HEADER, ACME_KEY), spoofed];
                let (status, _) = get(&env, index, lookup, &id("valid"), &valid)?;
                expect_that!(status, eq(200));
                let workspaces = received(&env, &id("valid"), WORKSPACE_HEADER);
                expect_that!(workspaces, some(elements_are![eq("acme")]));

                let unknown = [(CREDENTIAL_HEADER, UNKNOWN_KEY), spoofed];
                let (status, text) = get(&env, index, lookup, &id("unknown"), &unknown)?;
                expect_that!(status, eq(401));
                expect_that!(text, contains_substring("4017"));
                expect_that!(text, not(contains_substring(UNKNOWN_KEY)));
                let (status, _) = get(&env, index, lookup, &id("missing"), &[spoofed])?;
                expect_that!(status, eq(401));
                let two = [valid[0], (CREDENTIAL_HEADER, BIRCH_KEY)];
                let (status, _) = get(&env, index, lookup, &id("two"), &two)?;
                expect_that!(status, eq(401));
                for refused in ["unknown", "missing", "two"] {
                    expect_false!(has_run(&env, &id(refused)), "{refused}");
                }

                let (status, _) = get(&env, index, "/open/1", &id("open"), &unknown)?;
                expect_that!(status, eq(200));
                let workspaces = received(&env, &id("open"), WORKSPACE_HEADER);
                expect_that!(workspaces, some(is_empty()));
            }
        }
        check_no_key_leaks(&env).await
    });
}

/// Guards against a revoked key that is still accepted on a connection that was open before, by requests that
/// were pipelined behind each other, and against a moved key that still counts for its former workspace.
#[gtest]
fn key_revoked_on_open_connection() {
    run(async {
        let mut env = start(2).await?;
        let addr = env.fleet.nodes()[0].addrs.caller;
        let mut client = Client::connect(addr)?;
        let acme = [(CREDENTIAL_HEADER, ACME_KEY)];
        client.send("/wrecks/1", "before", &acme)?;
        expect_that!(client.receive()?.0, eq(200));
        let moved =
            json!({ "birch": { "api-keys": [BIRCH_KEY] }, "cedar": { "api-keys": [ACME_KEY] } });
        put_workspaces(&env.store, 3, &moved);
        wait_version(&mut env, 3).await?;
        client.send("/wrecks/1", "moved", &acme)?;
        expect_that!(client.receive()?.0, eq(200));
        let workspaces = received(&env, "moved", WORKSPACE_HEADER);
        expect_that!(workspaces, some(elements_are![eq("cedar")]));
        put_workspaces(
            &env.store,
            4,
            &json!({ "birch": { "api-keys": [BIRCH_KEY] } }),
        );
        wait_version(&mut env, 4).await?;
        let birch = [(CREDENTIAL_HEADER, BIRCH_KEY)];
        for number in 0..6 {
            let headers = if number % 2 == 0 { &acme } else { &birch };
            client.send("/wrecks/1", &format!("piped-{number}"), headers)?;
        }
        for number in 0..6 {
            let (status, text) = client.receive()?;
            let expected = if number % 2 == 0 { 401 } else { 200 };
            expect_that!(status, eq(expected), "{number}: {text}");
            let ran = has_run(&env, &format!("piped-{number}"));
            expect_that!(ran, eq(expected == 200));
        }
        check_no_key_leaks(&env).await
    });
}

/// Guards against a call that runs although its key was revoked after the call had arrived. Its key is valid
/// when its head is read, and revoked before its body is complete.
#[gtest]
fn key_revoked_before_attempt() {
    run(async {
        let mut env = start(1).await?;
        let addr = env.fleet.nodes()[0].addrs.caller;
        let mut client = Client::connect(addr)?;
        let headers = [(CREDENTIAL_HEADER, ACME_KEY), ("content-length", "8")];
        client.send_head("POST", "/claims/1", "late-body", &headers)?;
        client.stream.write_all(b"part")?;
        put_workspaces(
            &env.store,
            3,
            &json!({ "birch": { "api-keys": [BIRCH_KEY] } }),
        );
        wait_version(&mut env, 3).await?;
        client.stream.write_all(b"rest")?;
        expect_that!(client.receive()?.0, eq(401));
        expect_false!(has_run(&env, "late-body"));
        check_no_key_leaks(&env).await
    });
}

/// Waits until a node has routed these attempts.
async fn wait_routed(env: &TestFleet, index: usize, attempts: &[String]) -> eyre::Result<()> {
    let until = Instant::now() + WAIT_LIMIT;
    loop {
        let lines = env.fleet.log_lines(index, "call routed");
        let is_routed = |attempt: &String| lines.iter().any(|line| line["attempt"] == **attempt);
        if attempts.iter().all(is_routed) {
            return Ok(());
        }
        eyre::ensure!(Instant::now() < until, "not routed: {attempts:?}");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a call that runs although its key was revoked while it waited for a slot at the serving node, and
/// against a response that says that it has not run although it may have. At the node beside the backend server it
/// certainly has not; a call that runs there already is finished.
#[gtest]
fn key_revoked_while_waiting() {
    run(async {
        let mut env = TestFleet::new(2)?;
        let put = |store: &StoreHandle, version, workspaces: &Value| {
            put_workspaces_within(store, version, workspaces, 20_000, 20_000);
        };
        let without_acme = json!({ "birch": { "api-keys": [BIRCH_KEY] } });
        put(&env.store, 2, &both_workspaces());
        env.fleet.start(0)?;
        env.fleet.start(1)?;
        env.add_slow_backend(0, Duration::from_secs(2))?;
        env.fleet.wait_ready(WAIT_LIMIT).await?;
        let ok = actix_http::StatusCode::OK;
        for index in 0..2 {
            env.wait_for(WAIT_LIMIT, index, "/v2/x", ok).await?;
        }
        let addr = |env: &TestFleet, index: usize| env.fleet.nodes()[index].addrs.caller;
        let mut version = 2;
        for (entry, expected) in [(1, 502), (0, 401)] {
            // Twice as many calls as the backend server has slots, of a more urgent workspace.
            let busy: Vec<_> = (0..8).map(|call| format!("busy-{entry}-{call}")).collect();
            let mut busy_clients = Vec::new();
            for attempt in &busy {
                let mut client = Client::connect(addr(&env, 0))?;
                client.send("/wrecks/1", attempt, &[(CREDENTIAL_HEADER, BIRCH_KEY)])?;
                busy_clients.push(client);
            }
            wait_routed(&env, 0, &busy).await?;
            let waiting = format!("waiting-{entry}");
            let mut client = Client::connect(addr(&env, entry))?;
            client.send("/wrecks/1", &waiting, &[(CREDENTIAL_HEADER, ACME_KEY)])?;
            wait_routed(&env, entry, std::slice::from_ref(&waiting)).await?;
            put(&env.store, version + 1, &without_acme);
            let (status, text) = client.receive()?;
            expect_that!(status, eq(expected), "{text}");
            expect_that!(text.contains("4017"), eq(expected == 401), "{text}");
            for client in &mut busy_clients {
                expect_that!(client.receive()?.0, eq(200));
            }
            // It would have started before these calls ended, or before this one.
            let later = format!("later-{entry}");
            let birch = [(CREDENTIAL_HEADER, BIRCH_KEY)];
            expect_that!(get(&env, 0, "/wrecks/1", &later, &birch)?.0, eq(200));
            expect_false!(has_run(&env, &waiting));
            version += 2;
            put(&env.store, version, &both_workspaces());
            wait_version(&mut env, version).await?;
        }
        let mut client = Client::connect(addr(&env, 0))?;
        client.send("/wrecks/1", "running", &[(CREDENTIAL_HEADER, ACME_KEY)])?;
        let until = Instant::now() + WAIT_LIMIT;
        while !has_run(&env, "running") {
            eyre::ensure!(Instant::now() < until, "the call does not run");
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
        put(&env.store, version + 1, &without_acme);
        expect_that!(client.receive()?.0, eq(200));
        check_no_key_leaks(&env).await
    });
}

/// Guards against a call that starts although its key was revoked while it had a slot at its own node and waited for a
/// connection, also one that is not idempotent, which goes on in a task of its own. The wait ends after 250 ms, so
/// calls are sent and the key is revoked until this hits calls of both kinds.
#[gtest]
fn key_revoked_at_connection_limit() {
    run(async {
        let mut env = TestFleet::new(0)?;
        let options = SidecarOptions {
            // Leaves eight connections to the backend server.
            max_open_files: Some(100),
            ..SidecarOptions::new("n0", "keta-a", "registry")
        };
        let addrs = SidecarFleet::free_addrs(env.store.addr())?;
        env.fleet.add(options, addrs)?;
        let put = |store: &StoreHandle, version, workspaces: &Value| {
            put_workspaces_within(store, version, workspaces, 5_000, 5_000);
        };
        let without_acme = json!({ "birch": { "api-keys": [BIRCH_KEY] } });
        let mut version = 2;
        put(&env.store, version, &both_workspaces());
        env.fleet.start(0)?;
        let addrs = &env.fleet.nodes()[0].addrs;
        let (caller, backend, heartbeat) = (addrs.caller, addrs.backend, addrs.heartbeat);
        env.backends
            .push(PlatformBackend::start(PlatformBackendOptions {
                id: "b0".into(),
                born: 1,
                service: "registry".into(),
                version: "v1".into(),
                listen: backend,
                heartbeat_addr: heartbeat,
                slots: 32,
                service_ms: 200,
                error_rate: 0.0,
                pad_bytes: 400,
                seed: 1,
                cold_ms: 0,
                secret_text: None,
            })?);
        env.fleet.wait_ready(WAIT_LIMIT).await?;
        wait_version(&mut env, version).await?;
        let until = Instant::now() + WAIT_LIMIT;
        let mut withdrawn = [0, 0];
        for round in 0.. {
            if withdrawn.iter().all(|count| *count > 0) {
                break;
            }
            eyre::ensure!(
                Instant::now() < until,
                "no call was withdrawn: {withdrawn:?}"
            );
            let send = |path: &str, attempt: &str, method: &str, key: &str| {
                let mut client = Client::connect(caller)?;
                client.send_head(method, path, attempt, &[(CREDENTIAL_HEADER, key)])?;
                eyre::Ok(client)
            };
            let mut busy = Vec::new();
            let mut attempts = Vec::new();
            for call in 0..8 {
                attempts.push(format!("busy-{round}-{call}"));
                busy.push(send("/wrecks/1", &attempts[call], "GET", BIRCH_KEY)?);
            }
            wait_routed(&env, 0, &attempts).await?;
            let mut calls = Vec::new();
            for call in 0..8 {
                let attempt = format!("acme-{round}-{call}");
                let (path, method) = [("/wrecks/1", "GET"), ("/claims/1", "POST")][call % 2];
                let client = send(path, &attempt, method, ACME_KEY)?;
                calls.push((attempt, call % 2, client));
            }
            put(&env.store, version + 1, &without_acme);
            for client in &mut busy {
                let _ = client.receive()?;
            }
            let mut refused = Vec::new();
            for (attempt, kind, mut client) in calls {
                let (status, text) = client.receive()?;
                if status == 401 {
                    expect_false!(has_run(&env, &attempt), "{attempt}: {text}");
                    refused.push((attempt, kind));
                }
            }
            version += 2;
            put(&env.store, version, &both_workspaces());
            wait_version(&mut env, version).await?;
            let lines = env.fleet.log_lines(0, "call not sent");
            for (attempt, kind) in refused {
                let is_withdrawn = |line: &&Value| {
                    let why = line["why"].as_str().unwrap_or_default();
                    line["attempt"] == *attempt && why.contains("revoked")
                };
                withdrawn[kind] += lines.iter().filter(is_withdrawn).count();
            }
        }
        check_no_key_leaks(&env).await
    });
}

/// Guards against a call that starts although its key was revoked while the store was away, in the last configuration
/// before the view was confirmed again. While that configuration is applied, the view is still too old to tell.
#[gtest]
fn key_revoked_while_store_away() {
    run(async {
        let mut env = TestFleet::new(1)?;
        let put = |store: &StoreHandle, version, workspaces: &Value| {
            put_workspaces_within(store, version, workspaces, 40_000, 40_000);
        };
        put(&env.store, 2, &both_workspaces());
        env.fleet.start(0)?;
        env.add_slow_backend(0, Duration::from_secs(8))?;
        env.fleet.wait_ready(WAIT_LIMIT).await?;
        let until = Instant::now() + WAIT_LIMIT;
        while get(&env, 0, "/v2/x", "first", &[])?.0 != 200 {
            eyre::ensure!(Instant::now() < until, "no call is served");
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        let addr = env.fleet.nodes()[0].addrs.caller;
        // Twice as many calls as the backend server has slots, of a more urgent workspace.
        let busy: Vec<_> = (0..8).map(|call| format!("busy-{call}")).collect();
        let mut busy_clients = Vec::new();
        for attempt in &busy {
            let mut client = Client::connect(addr)?;
            client.send("/wrecks/1", attempt, &[(CREDENTIAL_HEADER, BIRCH_KEY)])?;
            busy_clients.push(client);
        }
        wait_routed(&env, 0, &busy).await?;
        let mut waiting = Client::connect(addr)?;
        waiting.send("/wrecks/1", "waiting", &[(CREDENTIAL_HEADER, ACME_KEY)])?;
        wait_routed(&env, 0, &["waiting".to_owned()]).await?;
        env.outage(Outage::Refuse);
        let unknown = [(CREDENTIAL_HEADER, UNKNOWN_KEY)];
        let until = Instant::now() + WAIT_LIMIT;
        while get(&env, 0, "/wrecks/1", "unknown", &unknown)?.0 != 503 {
            eyre::ensure!(Instant::now() < until, "the view is not too old");
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        put(
            &env.store,
            3,
            &json!({ "birch": { "api-keys": [BIRCH_KEY] } }),
        );
        env.outage(Outage::Off);
        let (status, text) = waiting.receive()?;
        expect_that!(status, eq(401), "{text}");
        expect_false!(has_run(&env, "waiting"));
        check_no_key_leaks(&env).await
    });
}

/// Guards against a node that reads the body of a request before the quota refuses it, against tokens that are lost
/// with requests whose bodies never end, and against refusals that a caller cannot use.
#[gtest]
fn quota_exceeded_before_body() {
    run(async {
        let mut env = start(1).await?;
        let quota = json!({ "acme": { "api-keys": [ACME_KEY], "per-s": 0.01, "burst": 20 } });
        put_workspaces(&env.store, 3, &quota);
        wait_version(&mut env, 3).await?;
        let addr = env.fleet.nodes()[0].addrs.caller;
        let length = LARGE_BODY_BYTES.to_string();
        let acme = (CREDENTIAL_HEADER, ACME_KEY);
        let headers = [acme, ("content-length", length.as_str())];
        for call in 0..100 {
            let mut client = Client::connect(addr)?;
            client.send_head("POST", "/claims/1", &format!("cut-{call}"), &headers)?;
            client.stream.write_all(b"part")?;
        }
        let mut admitted = 0;
        let until = Instant::now() + WAIT_LIMIT;
        // Tokens are kept for the requests above until their connections are seen as closed.
        while admitted < 20 {
            let (status, text) = get(&env, 0, "/wrecks/1", &format!("get-{admitted}"), &[acme])?;
            admitted += u32::from(status == 200);
            eyre::ensure!(Instant::now() < until, "{admitted} admitted: {text}");
        }
        while get(&env, 0, "/wrecks/1", "rest", &[acme])?.0 != 429 {
            eyre::ensure!(Instant::now() < until, "the quota is not exceeded");
        }
        let mut client = Client::connect(addr)?;
        client.send_head("POST", "/claims/1", "unread", &headers)?;
        let (status, text) = client.receive()?;
        expect_that!(status, eq(429));
        expect_that!(text, contains_substring("4019"));
        expect_that!(text, contains_substring("retry-after"));
        expect_that!(text, contains_substring("connection: close"));
        let mut rest = Vec::new();
        let _ = client.stream.read_to_end(&mut rest);
        expect_that!(rest, is_empty());
        expect_false!(has_run(&env, "unread"));
        check_no_key_leaks(&env).await
    });
}

/// Guards against a node that reads a large body before it refuses its request, and against a connection on
/// which the rest of the body is read as the next request.
#[gtest]
fn refused_before_body() {
    run(async {
        let env = start(1).await?;
        let addr = env.fleet.nodes()[0].addrs.caller;
        let unknown = (CREDENTIAL_HEADER, UNKNOWN_KEY);
        let length = LARGE_BODY_BYTES.to_string();
        let mut client = Client::connect(addr)?;
        let headers = [unknown, ("content-length", length.as_str())];
        client.send_head("POST", "/claims/1", "unread", &headers)?;
        let (status, text) = client.receive()?;
        expect_that!(status, eq(401));
        expect_that!(text, contains_substring("connection: close"));
        // A body that looks like a request of another client.
        let body =
            format!("GET /open/1 HTTP/1.1\r\nhost: {HOST}\r\n{ATTEMPT_HEADER}: smuggled\r\n\r\n");
        let _ = client.stream.write_all(body.as_bytes());
        let mut rest = Vec::new();
        let _ = client.stream.read_to_end(&mut rest);
        expect_that!(String::from_utf8_lossy(&rest), eq(""));
        expect_false!(has_run(&env, "smuggled"));

        // A body that came with its head may keep the connection, whose next request is answered.
        let mut client = Client::connect(addr)?;
        let head = format!(
            "POST /claims/1 HTTP/1.1\r\nhost: {HOST}\r\n{CREDENTIAL_HEADER}: {UNKNOWN_KEY}\r\n\
             {ATTEMPT_HEADER}: whole\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        client.stream.write_all(head.as_bytes())?;
        expect_that!(client.receive()?.0, eq(401));
        if client.send("/open/1", "next", &[]).is_ok()
            && let Ok((status, _)) = client.receive()
        {
            expect_that!(status, eq(200));
            expect_true!(has_run(&env, "next"));
        }
        for attempt in ["unread", "whole", "smuggled"] {
            expect_false!(has_run(&env, attempt), "{attempt}");
        }
        check_no_key_leaks(&env).await
    });
}

/// Guards against a node that trusts a workspace, or passes on a key, that a node of an earlier build has
/// forwarded from a client.
#[gtest]
fn headers_from_peer_of_earlier_build() {
    run(async {
        let env = start(1).await?;
        let head = HopRequestHeader {
            route: "lookup".into(),
            service: "registry".into(),
            version: "v1".into(),
            idempotent: true,
            accepts_late: true,
            priority: 1,
            objective: Duration::from_secs(1),
            left: Duration::from_secs(2),
            is_overdue: false,
            limit: None,
            workspace: None,
            workspace_priority: 0,
            is_spillover: false,
        };
        let head = head.encode();
        let headers = [
            (HOP_REQUEST_HEADER, head.as_str()),
            (WORKSPACE_HEADER, "birch"),
            (CREDENTIAL_HEADER, ACME_KEY),
        ];
        let mut client = Client::connect(env.fleet.nodes()[0].addrs.node)?;
        client.send("/wrecks/1", "peer", &headers)?;
        expect_that!(client.receive()?.0, eq(200));
        let workspaces = received(&env, "peer", WORKSPACE_HEADER);
        expect_that!(workspaces, some(is_empty()));
        check_no_key_leaks(&env).await
    });
}

/// Starts two nodes with both workspaces, of which the second one is strict.
async fn start_with_strict_node() -> eyre::Result<TestFleet> {
    let mut env = TestFleet::new(2)?;
    let file = env.fleet.dir().join("n1.jsonc");
    let mut settings: Value = serde_json::from_slice(&fs::read(&file)?)?;
    settings["strict_revoke"] = json!(true);
    settings["revoke_within_ms"] = json!(3_000);
    fs::write(&file, settings.to_string())?;
    put_workspaces(&env.store, 2, &both_workspaces());
    for index in 0..2 {
        env.fleet.start(index)?;
        env.add_backend(index, 0.0)?;
    }
    env.fleet.wait_ready(WAIT_LIMIT).await?;
    Ok(env)
}

/// Guards against 401 for a key that may be new while the store is away, against known keys that are refused
/// then, and against known keys that are accepted for good where the settings forbid this.
#[gtest]
fn store_away() {
    run(async {
        let mut env = start_with_strict_node().await?;
        let ok = actix_http::StatusCode::OK;
        for index in 0..2 {
            env.wait_for(WAIT_LIMIT, index, "/v2/x", ok).await?;
        }
        let acme = [(CREDENTIAL_HEADER, ACME_KEY)];
        let unknown = [(CREDENTIAL_HEADER, UNKNOWN_KEY)];
        for index in 0..2 {
            expect_that!(get(&env, index, "/wrecks/1", "a", &acme)?.0, eq(200));
            expect_that!(get(&env, index, "/wrecks/1", "b", &unknown)?.0, eq(401));
        }
        env.outage(Outage::Refuse);
        let until = Instant::now() + WAIT_LIMIT;
        for index in 0..2 {
            while get(&env, index, "/wrecks/1", "c", &unknown)?.0 != 503 {
                eyre::ensure!(Instant::now() < until, "node {index} still answers 401");
                actix_rt::time::sleep(Duration::from_millis(50)).await;
            }
        }
        while get(&env, 1, "/wrecks/1", "d", &acme)?.0 != 503 {
            eyre::ensure!(Instant::now() < until, "the strict node accepts the key");
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        expect_that!(get(&env, 0, "/wrecks/1", "e", &acme)?.0, eq(200));
        for index in 0..2 {
            expect_that!(get(&env, index, "/wrecks/1", "f", &[])?.0, eq(401));
            expect_that!(get(&env, index, "/open/1", "g", &acme)?.0, eq(200));
        }
        check_no_key_leaks(&env).await
    });
}

/// Guards against a strict node that accepts keys by an old view since it has just started: it learns the topics from a
/// peer, whose view is older than its process.
#[gtest]
fn restart_with_old_view_of_peer() {
    run(async {
        let mut env = start_with_strict_node().await?;
        let acme = [(CREDENTIAL_HEADER, ACME_KEY)];
        wait_version(&mut env, 2).await?;
        expect_that!(get(&env, 1, "/wrecks/1", "a", &acme)?.0, eq(200));
        let until = Instant::now() + WAIT_LIMIT;
        let is_known = |line: &Value| line["peer"] == "n1" && line["backend"] != "none";
        while !env.fleet.log_lines(0, "peer changed").iter().any(is_known) {
            eyre::ensure!(Instant::now() < until, "node 0 does not know node 1");
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        env.outage(Outage::Refuse);
        while get(&env, 1, "/wrecks/1", "b", &acme)?.0 != 503 {
            eyre::ensure!(Instant::now() < until, "the strict node accepts the key");
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        env.fleet.kill(1)?;
        // Node 0 has no backend server now, so it calls node 1, which learns the topics from it.
        env.backends[0].kill();
        env.fleet.start(1)?;
        let fetched = "topics fetched from a peer";
        while env.fleet.log_lines(1, fetched).is_empty() {
            eyre::ensure!(Instant::now() < until, "node 1 has not learned the topics");
            let _ = get(&env, 0, "/wrecks/1", "c", &acme);
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        // Without the age of the peer's view, the key would be accepted until 3 s after the start.
        let until = Instant::now() + Duration::from_secs(1);
        while Instant::now() < until {
            let (status, response) = get(&env, 1, "/wrecks/1", "d", &acme)?;
            expect_that!((status, response.contains("4015")), eq((503, true)));
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    });
}

/// Guards against a configuration that is in force in part, or whose refusal quotes a key in the log: two
/// workspaces have the same key.
#[gtest]
fn configuration_with_shared_key() {
    run(async {
        let env = start(1).await?;
        let shared =
            json!({ "acme": { "api-keys": [ACME_KEY] }, "dahlia": { "api-keys": [ACME_KEY] } });
        put_workspaces(&env.store, 3, &shared);
        let until = Instant::now() + WAIT_LIMIT;
        let why = loop {
            let lines = env.fleet.log_lines(0, "configuration refused");
            if let Some(line) = lines.first() {
                break line["why"].as_str().unwrap_or_default().to_owned();
            }
            eyre::ensure!(Instant::now() < until, "the configuration is not refused");
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        };
        expect_that!(
            why,
            all![contains_substring("acme"), contains_substring("dahlia")]
        );
        let birch = [(CREDENTIAL_HEADER, BIRCH_KEY)];
        expect_that!(get(&env, 0, "/wrecks/1", "kept", &birch)?.0, eq(200));
        check_no_key_leaks(&env).await
    });
}
