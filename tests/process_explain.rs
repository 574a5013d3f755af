//! `sycamorewick explain` against real sidecar processes.

mod sidecar_common;

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Command;
use std::process::Output;
use std::time::Duration;
use std::time::Instant;

use actix_http::StatusCode;
use googletest::prelude::*;
use serde_json::Value;
use serde_json::json;
use sidecar_common::HOST;
use sidecar_common::TestFleet;
use sidecar_common::WAIT_LIMIT;
use sidecar_common::run;
use testbed::platform::backend::ATTEMPT_HEADER;
use testbed::platform::store::OPERATOR_TOPIC;

const CREDENTIAL_HEADER: &str = "x-sycamorewick-credential";
const ACME_KEY: &str = "key-of-acme-51f0";
const BIRCH_KEY: &str = "key-of-birch-93aa";
const UNKNOWN_KEY: &str = "key-of-nobody-20c7";
/// Text of a refusal because of too many queries in the last second.
const TOO_FREQUENT: &str = "queries in a second";
/// Time before each pair of queries that must follow each other at once. Any second then has at most four of them,
/// where five are allowed.
const PAIR_INTERVAL: Duration = Duration::from_millis(500);
/// Calls that are explained before they are made.
const ROUNDS: usize = 20;
/// Metrics that change with time.
const PASSING_METRICS: [&str; 1] = ["sycamorewick_quota_totals_age_seconds"];

/// Writes a configuration with a workspace whose quota is large, one whose quota is used up soon, a public route,
/// and one of which half of the requests go to a service without a backend server.
fn put_workspaces(env: &TestFleet) {
    let route = |prefix: &str, is_public: bool| {
        json!({ "host": HOST, "prefix": prefix, "kind": "safe", "timeout-ms": 3000, "slo-ms": 500,
            "priority": 1, "service": "registry", "attempts": 2, "public": is_public })
    };
    let mut halves = route("/halves/", false);
    halves["split"] = json!([
        { "service": "registry", "weight": 50 },
        { "service": "booth", "weight": 50 },
    ]);
    let config = json!({
        "version": "00000002",
        "routes": { "lookup": route("/wrecks/", false), "open": route("/open/", true), "halves": halves },
        "services": {
            "booth": { "health-path": "/healthz", "max-conns": 100 },
            "registry": { "health-path": "/healthz", "max-conns": 100 },
        },
        "limits": { "header-bytes": 16384, "body-bytes": 65536, "header-ms": 3000, "idle-ms": 15000 },
        "tenants": {
            "acme": { "api-keys": [ACME_KEY], "priority": 1, "per-s": 50, "burst": 500 },
            "birch": { "api-keys": [BIRCH_KEY], "per-s": 0.01, "burst": 1 },
        },
    });
    let _ = env
        .store
        .put(OPERATOR_TOPIC, "config", config.to_string().as_bytes());
}

async fn start(nodes: usize) -> eyre::Result<TestFleet> {
    let mut env = TestFleet::start(nodes).await?;
    put_workspaces(&env);
    for index in 0..nodes {
        env.wait_for(WAIT_LIMIT, index, "/open/1", StatusCode::OK)
            .await?;
    }
    Ok(env)
}

/// Runs the command for a path. The servers of the test need the thread meanwhile.
async fn explain(env: &TestFleet, index: usize, args: &[&str]) -> eyre::Result<Output> {
    let addr = env.fleet.nodes()[index].addrs.metrics.to_string();
    run_command(&addr, args).await
}

/// Runs the command, again while the node has answered too many queries in the last second.
async fn run_command(addr: &str, args: &[&str]) -> eyre::Result<Output> {
    let until = Instant::now() + WAIT_LIMIT;
    loop {
        let output = run_command_once(addr, args).await?;
        // With `--json` the error is on the standard output.
        let error =
            String::from_utf8_lossy(&[&output.stdout[..], &output.stderr].concat()).into_owned();
        if output.status.code() != Some(1) || !error.contains(TOO_FREQUENT) {
            return Ok(output);
        }
        eyre::ensure!(Instant::now() < until, "refused for good: {error}");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn run_command_once(addr: &str, args: &[&str]) -> eyre::Result<Output> {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sycamorewick"));
    command.args(["explain", "--node", addr, "--host", HOST]);
    command.args(args);
    let output = actix_rt::task::spawn_blocking(move || command.output()).await??;
    Ok(output)
}

/// Returns the explanation as JSON, and checks that the command succeeds.
async fn explain_json(env: &TestFleet, index: usize, args: &[&str]) -> eyre::Result<Value> {
    let args: Vec<&str> = args.iter().copied().chain(["--json"]).collect();
    let output = explain(env, index, &args).await?;
    eyre::ensure!(output.status.code() == Some(0), "{output:?}");
    Ok(serde_json::from_slice(&output.stdout)?)
}

/// Sends a call with a key and returns its status.
async fn call(env: &TestFleet, index: usize, key: &str, attempt: &str) -> eyre::Result<StatusCode> {
    call_path(env, index, "/wrecks/1", key, attempt).await
}

async fn call_path(
    env: &TestFleet,
    index: usize,
    path: &str,
    key: &str,
    attempt: &str,
) -> eyre::Result<StatusCode> {
    let addr = env.fleet.nodes()[index].addrs.caller;
    let client = awc::Client::default();
    let sent = client
        .get(format!("http://{addr}{path}"))
        .insert_header(("host", HOST))
        .insert_header((ATTEMPT_HEADER, attempt))
        .insert_header((CREDENTIAL_HEADER, key))
        .send();
    let mut response = sent.await.map_err(|e| eyre::eyre!("{e}"))?;
    let _ = response.body().await?;
    Ok(response.status())
}

/// Waits for the line of the first attempt of a call; lines are written in the background.
async fn routed_line(env: &TestFleet, index: usize, attempt: &str) -> eyre::Result<Value> {
    let until = Instant::now() + WAIT_LIMIT;
    loop {
        let mut lines = env.fleet.log_lines(index, "call routed").into_iter();
        if let Some(line) = lines.find(|line| line["attempt"] == attempt) {
            return Ok(line);
        }
        eyre::ensure!(Instant::now() < until, "no line of {attempt}");
        actix_rt::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Returns the metrics of a node that do not change with time, sorted.
async fn metrics(env: &TestFleet, index: usize) -> eyre::Result<String> {
    let url = format!("http://{}/metrics", env.fleet.nodes()[index].addrs.metrics);
    let response = awc::Client::default().get(url).send().await;
    let body = response.map_err(|e| eyre::eyre!("{e}"))?.body().await?;
    let text = String::from_utf8_lossy(&body).into_owned();
    let is_kept = |line: &&str| !PASSING_METRICS.iter().any(|name| line.contains(name));
    let mut lines: Vec<&str> = text.lines().filter(is_kept).collect();
    lines.sort_unstable();
    Ok(lines.join("\n"))
}

/// Sends a question itself and returns the status and the text of the answer. It is sent again while the node has
/// answered too many queries in the last second.
async fn post(env: &TestFleet, body: String) -> eyre::Result<(StatusCode, String)> {
    let url = format!("http://{}/explain", env.fleet.nodes()[0].addrs.metrics);
    let until = Instant::now() + WAIT_LIMIT;
    loop {
        let sent = awc::Client::default().post(&url).send_body(body.clone());
        let mut response = sent.await.map_err(|e| eyre::eyre!("{e}"))?;
        let text = String::from_utf8_lossy(&response.body().await?).into_owned();
        if !text.contains(TOO_FREQUENT) {
            return Ok((response.status(), text));
        }
        eyre::ensure!(Instant::now() < until, "refused for good: {text}");
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against an explanation that takes a token or a random number, or that changes a metric or writes a line of
/// a call, and against one of another node than the one that the next call takes.
#[gtest]
fn explain_then_call() {
    run(async {
        let env = start(2).await?;
        let key_file = tempfile::NamedTempFile::new()?;
        fs::write(key_file.path(), format!("{ACME_KEY}\n"))?;
        let key_file = key_file.path().display().to_string();
        expect_that!(call(&env, 0, ACME_KEY, "first").await?, eq(StatusCode::OK));
        let _ = routed_line(&env, 0, "first").await?;
        let routed = env.fleet.log_lines(0, "call routed").len();
        let args = ["--path", "/wrecks/1?a=b", "--key-file", &key_file];
        for round in 0..ROUNDS {
            actix_rt::time::sleep(PAIR_INTERVAL).await;
            let before = metrics(&env, 0).await?;
            let first = explain_json(&env, 0, &args).await?;
            let second = explain_json(&env, 0, &args).await?;
            expect_that!(metrics(&env, 0).await?, eq(&before));
            let costs = |explanation: &Value| -> Vec<Value> {
                let candidates = explanation["candidates"].as_array();
                let candidates = candidates.into_iter().flatten();
                candidates
                    .map(|candidate| candidate["cost_ms"].clone())
                    .collect()
            };
            expect_that!(costs(&first).len(), eq(2));
            expect_that!(costs(&first), eq(&costs(&second)));

            expect_that!(first["config"]["version"], eq(&json!(2)));
            expect_that!(first["route"]["name"], eq(&json!("lookup")));
            expect_that!(first["service"], eq(&json!("registry")));
            expect_that!(first["refusal"], eq(&Value::Null));
            expect_that!(first["workspace"]["name"], eq(&json!("acme")));
            expect_that!(first["workspace"]["priority"], eq(&json!(1)));
            let quota = &first["workspace"]["quota"];
            expect_that!(quota["per_s"], eq(&json!(50.0)));
            expect_that!(quota["tokens"].as_f64(), some(gt(0.0)));

            let attempt = format!("round-{round}");
            let status = call(&env, 0, ACME_KEY, &attempt).await?;
            expect_that!(status, eq(StatusCode::OK));
            let line = routed_line(&env, 0, &attempt).await?;
            check_routed(&first, &line);
        }
        // Only the calls have written lines.
        expect_that!(
            env.fleet.log_lines(0, "call routed").len(),
            eq(routed + ROUNDS)
        );
        Ok(())
    });
}

/// Checks that a call went to the node of its explanation. The cost has a random part, so it shows that the call drew
/// the same numbers.
fn check_routed(explanation: &Value, line: &Value) {
    let chosen = &explanation["chosen"];
    let attempt = &line["attempt"];
    expect_that!(line["to"], eq(&chosen["node"]), "{attempt}");
    expect_that!(line["version"], eq(&chosen["version"]), "{attempt}");
    let candidates = explanation["candidates"].as_array();
    let mut candidates = candidates.into_iter().flatten();
    let candidate = candidates.find(|candidate| candidate["node"] == chosen["node"]);
    let cost = candidate.and_then(|candidate| candidate["cost_ms"].as_f64());
    let cost = format!("{:.1}", cost.unwrap_or_default());
    expect_that!(line["cost_ms"], eq(&json!(cost)), "{attempt}");
}

/// Guards against an explanation that draws the random numbers in another order than a call, so that it chooses
/// another service.
#[gtest]
fn explain_then_call_of_split_route() {
    run(async {
        let env = start(1).await?;
        let args = ["--path", "/halves/1", "--workspace", "acme"];
        let (mut served, mut refused) = (0, 0);
        for round in 0..ROUNDS {
            let explanation = explain_json(&env, 0, &args).await?;
            let path = "/halves/1";
            let status = call_path(&env, 0, path, ACME_KEY, &format!("halves-{round}")).await?;
            if explanation["service"] == "registry" {
                served += 1;
                expect_that!(status, eq(StatusCode::OK), "round {round}");
            } else {
                refused += 1;
                expect_that!(explanation["service"], eq(&json!("booth")));
                expect_that!(explanation["refusal"]["code"], eq(&json!(4002)));
                expect_that!(status, eq(StatusCode::SERVICE_UNAVAILABLE), "round {round}");
            }
        }
        expect_that!(served, gt(0));
        expect_that!(refused, gt(0));
        Ok(())
    });
}

/// Guards against an explanation that takes the version otherwise than a call during a rollout.
#[gtest]
fn explain_then_call_during_rollout() {
    run(async {
        let mut env = TestFleet::start_two_versions()?;
        env.wait_fleet().await?;
        let order = json!({ "service": "registry", "target": "v2", "step-s": 30 });
        let order = order.to_string();
        let _ = env
            .store
            .put(OPERATOR_TOPIC, "rollout/registry", order.as_bytes());
        let args = ["--path", "/wrecks/1"];
        let until = Instant::now() + WAIT_LIMIT;
        let share = |explanation: &Value| explanation["rollout"]["share"].as_f64();
        while share(&explain_json(&env, 0, &args).await?).is_none_or(|share| share <= 0.0) {
            eyre::ensure!(Instant::now() < until, "the rollout has not begun");
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        let mut compared = 0;
        for round in 0..ROUNDS {
            let before = explain_json(&env, 0, &args).await?;
            expect_that!(before["rollout"]["target"], eq(&json!("v2")));
            let attempt = format!("round-{round}");
            let status = call(&env, 0, ACME_KEY, &attempt).await?;
            expect_that!(status, eq(StatusCode::OK));
            let line = routed_line(&env, 0, &attempt).await?;
            // A step of the rollout in between changes what the call may use.
            if before["rollout"] == explain_json(&env, 0, &args).await?["rollout"] {
                compared += 1;
                check_routed(&before, &line);
                let is_new = before["chosen"]["version"] == "v2";
                let other = usize::from(!is_new);
                expect_that!(
                    before["candidates"][other]["not_chosen"],
                    eq(&json!("version_not_allowed"))
                );
            }
        }
        expect_that!(compared, gt(ROUNDS / 2));
        Ok(())
    });
}

/// Guards against a refusal that is explained otherwise than it is sent, and against a key in an answer or a log.
#[gtest]
fn explain_refusals() {
    run(async {
        let env = start(2).await?;
        let dir = tempfile::tempdir()?;
        let unknown = dir.path().join("unknown.key").display().to_string();
        fs::write(&unknown, UNKNOWN_KEY)?;
        let lookup = ["--path", "/wrecks/1"];
        let refusal = |explanation: &Value| {
            (
                explanation["refusal"]["status"].clone(),
                explanation["refusal"]["code"].clone(),
            )
        };

        let none = explain_json(&env, 0, &["--path", "/absent/"]).await?;
        expect_that!(refusal(&none), eq(&(json!(404), json!(4001))));
        expect_that!(none["route"], eq(&Value::Null));
        let missing = explain_json(&env, 0, &lookup).await?;
        expect_that!(refusal(&missing), eq(&(json!(401), json!(4017))));
        let args = [&lookup[..], &["--key-file", &unknown]].concat();
        let output = explain(&env, 0, &args).await?;
        expect_that!(output.status.code(), some(eq(0)));
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        expect_that!(text, contains_substring("refused: 401, code 4017"));
        expect_that!(text, not(contains_substring(UNKNOWN_KEY)));
        let large = ["--workspace", "acme", "--body-bytes", "70000"];
        let large = explain_json(&env, 0, &[&lookup[..], &large].concat()).await?;
        expect_that!(refusal(&large), eq(&(json!(413), json!(4009))));
        let late = ["--workspace", "acme", "--time-left-ms", "0"];
        let late = explain_json(&env, 0, &[&lookup[..], &late].concat()).await?;
        expect_that!(refusal(&late), eq(&(json!(503), json!(4003))));
        expect_that!(late["refusal"]["retry_after_ms"].as_u64(), some(gt(0)));

        let by_name = [&lookup[..], &["--workspace", "birch"]].concat();
        // The quota admits fewer calls than that.
        for _ in 0..ROUNDS {
            let within = explain_json(&env, 0, &by_name).await?;
            expect_that!(within["refusal"], eq(&Value::Null));
        }
        let until = Instant::now() + WAIT_LIMIT;
        let (mut served, mut calls) = (0, 0);
        // Totals that arrive in between may bring tokens of the other node.
        let over = loop {
            let explanation = explain_json(&env, 0, &by_name).await?;
            let status = call(&env, 0, BIRCH_KEY, &format!("birch-{calls}")).await?;
            // A call is refused by the quota before the size of its body is known.
            let large = [&by_name[..], &["--body-bytes", "70000"]].concat();
            let large = explain_json(&env, 0, &large).await?;
            let by_quota = (json!(429), json!(4019));
            let is_refused = refusal(&explanation) == by_quota && refusal(&large) == by_quota;
            if is_refused && status == StatusCode::TOO_MANY_REQUESTS {
                break explanation;
            }
            eyre::ensure!(Instant::now() < until, "not used up: {explanation}");
            calls += 1;
            served += usize::from(status == StatusCode::OK);
        };
        expect_that!(served, gt(0));
        expect_that!(served, lt(ROUNDS));
        expect_that!(over["workspace"]["quota"]["tokens"].as_f64(), some(lt(1.0)));
        expect_that!(over["refusal"]["retry_after_ms"].as_u64(), some(gt(0)));

        let public = explain_json(&env, 0, &["--path", "/open/1"]).await?;
        expect_that!(public["workspace"], eq(&Value::Null));
        expect_that!(public["chosen"]["node"], not(eq(&Value::Null)));
        let _ = env.store.put(OPERATOR_TOPIC, "evacuate/keta-a", b"{}");
        loop {
            let public = explain_json(&env, 0, &["--path", "/open/1"]).await?;
            if refusal(&public) == (json!(503), json!(4020)) {
                expect_that!(
                    public["candidates"][0]["not_chosen"],
                    eq(&json!("evacuated"))
                );
                break;
            }
            eyre::ensure!(Instant::now() < until, "not evacuated: {public}");
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        for node in env.fleet.nodes() {
            for key in [ACME_KEY, BIRCH_KEY, UNKNOWN_KEY] {
                expect_that!(node.process.output(), not(contains_substring(key)));
            }
        }
        Ok(())
    });
}

/// Guards against text without the candidates, and against invalid input that ends a node, gets no plain error or
/// the exit code of another failure.
#[gtest]
fn explain_text_and_errors() {
    run(async {
        let env = start(2).await?;
        let args = ["--path", "/wrecks/1", "--workspace", "acme"];
        let output = explain(&env, 0, &args).await?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        for part in [
            "node n0: configuration 2",
            "route: lookup (a.example/wrecks/)",
            "workspace: acme, priority 1, quota 50 a second and a burst of 500",
            "service: registry version v1",
            "FAILURE DOMAIN",
            "keta-a",
            "costs more",
            "sent to n",
        ] {
            expect_that!(text, contains_substring(part));
        }

        let nobody = explain(&env, 0, &["--path", "/wrecks/1", "--workspace", "nobody"]).await?;
        expect_that!(nobody.status.code(), some(eq(2)));
        let error = String::from_utf8_lossy(&nobody.stderr).into_owned();
        expect_that!(error, contains_substring("workspace: "));
        let closed = testbed::fleet::free_addr()?.to_string();
        let output = run_command(&closed, &["--path", "/wrecks/1"]).await?;
        expect_that!(output.status.code(), some(eq(6)));
        let ready = env.fleet.nodes()[0].addrs.ready.to_string();
        let output = run_command(&ready, &["--path", "/wrecks/1"]).await?;
        expect_that!(output.status.code(), some(eq(1)));

        let (status, text) = post(&env, "{}".into()).await?;
        expect_that!(status, eq(StatusCode::BAD_REQUEST));
        expect_that!(text, contains_substring("host"));
        let question = json!({ "host": HOST, "path": "/wrecks/1", "workspace": 7 });
        let (status, text) = post(&env, question.to_string()).await?;
        expect_that!(status, eq(StatusCode::BAD_REQUEST));
        expect_that!(text, contains_substring("workspace"));
        let question = json!({ "host": HOST, "path": format!("/{}", "x".repeat(70_000)) });
        let (status, _) = post(&env, question.to_string()).await?;
        expect_that!(status, eq(StatusCode::PAYLOAD_TOO_LARGE));
        let url = format!("http://{}/explain", env.fleet.nodes()[0].addrs.metrics);
        let response = awc::Client::default().get(url).send().await;
        let status = response.map_err(|e| eyre::eyre!("{e}"))?.status();
        expect_that!(status, eq(StatusCode::METHOD_NOT_ALLOWED));
        let (status, _) = post(&env, json!({ "host": HOST, "path": "/open/" }).to_string()).await?;
        expect_that!(status, eq(StatusCode::OK));
        Ok(())
    });
}

/// Guards against a key file that fills the memory, such as a device or a log, and against one that is refused
/// although it is within the limit.
#[gtest]
fn explain_key_file_size() {
    run(async {
        let closed = testbed::fleet::free_addr()?.to_string();
        let dir = tempfile::tempdir()?;
        for (size, code) in [(8 << 10, 6), ((8 << 10) + 1, 2)] {
            let file = dir.path().join(format!("{size}.key"));
            fs::write(&file, "k".repeat(size))?;
            let file = file.display().to_string();
            let output = run_command(&closed, &["--path", "/x", "--key-file", &file]).await?;
            expect_that!(output.status.code(), some(eq(code)), "{size} bytes");
            let error = String::from_utf8_lossy(&output.stderr).into_owned();
            expect_that!(error.contains("8192 bytes"), eq(code == 2), "{error}");
        }
        let args = ["--path", "/x", "--key-file", "/dev/zero"];
        let endless = run_command(&closed, &args).await?;
        expect_that!(endless.status.code(), some(eq(2)));
        Ok(())
    });
}

/// Sends the head of a query whose body does not follow.
fn open_query(addr: SocketAddr) -> eyre::Result<TcpStream> {
    let mut stream = TcpStream::connect(addr)?;
    stream.write_all(b"POST /explain HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n")?;
    Ok(stream)
}

/// Guards against a node that spends its processor time on queries. Two that wait for their bodies must keep out
/// a third one, and must not keep out others after they have ended.
#[gtest]
fn explain_too_many_queries() {
    run(async {
        let env = start(1).await?;
        let addr = env.fleet.nodes()[0].addrs.metrics;
        let open = [open_query(addr)?, open_query(addr)?];
        let question = json!({ "host": HOST, "path": "/open/1" }).to_string();
        let send = || {
            let url = format!("http://{addr}/explain");
            awc::Client::default().post(url).send_body(question.clone())
        };
        let until = Instant::now() + WAIT_LIMIT;
        loop {
            let mut response = send().await.map_err(|e| eyre::eyre!("{e}"))?;
            let text = String::from_utf8_lossy(&response.body().await?).into_owned();
            if response.status() == StatusCode::OK {
                eyre::ensure!(Instant::now() < until, "not refused");
                // The heads may not have been read yet.
                actix_rt::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
            expect_that!(response.status(), eq(StatusCode::SERVICE_UNAVAILABLE));
            let retry_after = response.headers().get("retry-after");
            let retry_after = retry_after.and_then(|value| value.to_str().ok());
            let seconds = retry_after.and_then(|text| text.parse::<f64>().ok());
            expect_that!(seconds, some(all![gt(0.0), le(1.0)]));
            if text.contains("2 queries at a time") {
                break;
            }
            expect_that!(text, contains_substring(TOO_FREQUENT));
            eyre::ensure!(Instant::now() < until, "not refused because of open ones");
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        let output = run_command_once(&addr.to_string(), &["--path", "/open/1"]).await?;
        expect_that!(output.status.code(), some(eq(1)));
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        expect_that!(error, contains_substring("queries at a time"));
        drop(open);
        while send().await.map_err(|e| eyre::eyre!("{e}"))?.status() != StatusCode::OK {
            eyre::ensure!(Instant::now() < until, "refused for good");
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    });
}
