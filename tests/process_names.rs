//! Names of all kinds on their way through real sidecar processes.

mod name_common;
mod sidecar_common;

use actix_http::StatusCode;
use googletest::prelude::*;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;
use sidecar_common::HOST;
use sidecar_common::TestFleet;
use sidecar_common::WAIT_LIMIT;
use sidecar_common::run;
use sycamorewick::protocol::call::Executed;
use sycamorewick::protocol::hop::HOP_REQUEST_HEADER;
use sycamorewick::protocol::hop::HOP_RESPONSE_HEADER;
use sycamorewick::protocol::hop::HopResponseHeader;
use sycamorewick::result_code::ResultCode;
use sycamorewick::transport::http_server;
use testbed::platform::backend::ATTEMPT_HEADER;
use testbed::platform::backend::PlatformBackend;
use testbed::platform::backend::PlatformBackendHandle;
use testbed::platform::backend::PlatformBackendOptions;
use testbed::platform::fleet::SidecarFleet;
use testbed::platform::fleet::SidecarOptions;
use testbed::platform::store::OPERATOR_TOPIC;
use testbed::platform::store::StoreServer;

const CALLER_HEADER: &str = "x-sycamorewick-caller";
const CREDENTIAL_HEADER: &str = "x-sycamorewick-credential";
const INSTANCE_HEADER: &str = "x-sycamorewick-expect-instance";
const WORKSPACE_HEADER: &str = "x-sycamorewick-tenant";
/// Services of the nodes, in their order.
const SERVICES: [&str; 2] = ["clár; wrecks", "próifíl 100%"];
const VERSION: &str = "v1; é";

/// Configuration of a test.
#[derive(Default)]
struct Config {
    version: u32,
    /// Names of public routes; the first is below `/r0/`.
    routes: Vec<String>,
    /// Names of workspaces with their keys.
    workspaces: Vec<(String, Vec<String>)>,
}

/// Starts two nodes, each with a backend server of a service of its own. All routes lead to the service of the first
/// node.
async fn start(config: &Config, instance: &str) -> eyre::Result<TestFleet> {
    let store = StoreServer::start(testbed::fleet::free_addr()?)?;
    let mut fleet = SidecarFleet::new(env!("CARGO_BIN_EXE_sycamorewick"))?;
    for (index, service) in SERVICES.iter().enumerate() {
        let options = SidecarOptions::new(&format!("n{index}"), "keta-a", service);
        fleet.add(options, SidecarFleet::free_addrs(store.addr())?)?;
    }
    let mut env = TestFleet {
        store,
        fleet,
        backends: Vec::new(),
        attempts: 0,
    };
    put_config(&env, config);
    for (index, service) in SERVICES.iter().enumerate() {
        env.fleet.start(index)?;
        let addrs = &env.fleet.nodes()[index].addrs;
        env.backends
            .push(PlatformBackend::start(PlatformBackendOptions {
                id: format!("{instance}{index}"),
                born: 1,
                service: (*service).into(),
                version: VERSION.into(),
                listen: addrs.backend,
                heartbeat_addr: addrs.heartbeat,
                slots: 4,
                service_ms: 10,
                error_rate: 0.0,
                pad_bytes: 400,
                seed: 1,
                cold_ms: 0,
                secret_text: None,
            })?);
    }
    wait_version(&mut env, config.version).await?;
    for backend in &env.backends {
        backend.record_headers();
    }
    Ok(env)
}

/// Waits until all nodes serve with a version of the configuration.
async fn wait_version(env: &mut TestFleet, version: u32) -> eyre::Result<()> {
    env.fleet.wait_ready(WAIT_LIMIT).await?;
    for index in 0..SERVICES.len() {
        let path = format!("/v{version}/x");
        env.wait_for(WAIT_LIMIT, index, &path, StatusCode::OK)
            .await?;
    }
    Ok(())
}

/// Writes a configuration with a public route `/v<version>/` and a route `/wrecks/`, which needs a key if there are
/// workspaces, besides the given ones.
fn put_config(env: &TestFleet, config: &Config) {
    let route = |prefix: &str, is_public: bool| {
        json!({ "host": HOST, "prefix": prefix, "kind": "safe", "timeout-ms": 3000, "slo-ms": 500,
            "priority": 1, "service": SERVICES[0], "attempts": 2, "public": is_public })
    };
    let version = config.version;
    let mut routes = Map::new();
    routes.insert("own".into(), route(&format!("/v{version}/"), true));
    routes.insert("wrecks".into(), route("/wrecks/", false));
    for (index, name) in config.routes.iter().enumerate() {
        routes.insert(name.clone(), route(&format!("/r{index}/"), true));
    }
    let workspaces = config.workspaces.iter();
    let workspaces: Map<String, Value> = workspaces
        .map(|(name, keys)| (name.clone(), json!({ "api-keys": keys })))
        .collect();
    let service = json!({ "health-path": "/healthz", "max-conns": 100 });
    let services = SERVICES.map(|name| (name.to_owned(), service.clone()));
    let config = json!({
        "version": format!("{version:08x}"),
        "routes": routes,
        "services": Value::Object(Map::from_iter(services)),
        "limits": { "header-bytes": 16384, "body-bytes": 65536, "header-ms": 3000, "idle-ms": 15000 },
        "tenants": workspaces,
    });
    let _ = env
        .store
        .put(OPERATOR_TOPIC, "config", config.to_string().as_bytes());
}

/// Sends a request with a key to a node. Returns its status, and the workspace with which it reached a backend server.
async fn call_with_key(
    env: &mut TestFleet,
    node: usize,
    key: &str,
) -> eyre::Result<(StatusCode, Option<String>)> {
    env.attempts += 1;
    let url = format!("http://{}/wrecks/1", env.fleet.nodes()[node].addrs.caller);
    let request = awc::Client::default().get(url);
    let response = request
        .insert_header(("host", HOST))
        .insert_header((ATTEMPT_HEADER, format!("t{}", env.attempts)))
        .insert_header((CREDENTIAL_HEADER, key))
        .send()
        .await
        .map_err(|e| eyre::eyre!("{e}"))?;
    Ok((response.status(), last_received(env, WORKSPACE_HEADER)))
}

/// Returns the value of a header with which the last request reached a backend server.
fn last_received(env: &TestFleet, header: &str) -> Option<String> {
    let recorded = env.backends.iter();
    let mut recorded = recorded.flat_map(PlatformBackendHandle::recorded_headers);
    let attempt = format!("t{}", env.attempts);
    let (_, headers) = recorded.find(|(id, _)| *id == attempt)?;
    let found = headers.into_iter().find(|(name, _)| name == header);
    Some(found?.1)
}

/// Guards against requests that get 400 at each node that is not beside a backend server of their service, because of
/// a character in the name of their route, of the services or of the version.
#[gtest]
fn names_between_nodes() {
    run(async {
        let mut routes = name_common::sendable_names(3, 20);
        routes.extend(name_common::any_names(3, 20));
        let config = Config {
            version: 1,
            routes: routes.clone(),
            ..Config::default()
        };
        let mut env = start(&config, "b").await?;
        for (index, name) in routes.iter().enumerate() {
            for (node, service) in SERVICES.iter().enumerate() {
                let reply = env.call(node, &format!("/r{index}/x")).await?;
                expect_that!(reply.status, eq(StatusCode::OK), "{name:?} at node {node}");
                let caller = last_received(&env, CALLER_HEADER);
                expect_that!(caller, some(eq(*service)), "{name:?}");
            }
        }
        Ok(())
    });
}

/// Guards against a configuration that is not used at all since the name of one of its workspaces is unusual: a key that
/// it takes away still works, its new keys are refused, and after a restart nothing is served. A workspace that no header
/// can name is refused alone.
#[gtest]
fn workspace_names() {
    run(async {
        let key_of = |index: usize| format!("key-{index}");
        let acme = |keys: &[&str]| {
            let keys = keys.iter().map(|key| (*key).to_owned());
            ("acme".to_owned(), keys.collect())
        };
        let first = Config {
            version: 1,
            workspaces: vec![acme(&["kept", "revoked"])],
            ..Config::default()
        };
        let mut env = start(&first, "b").await?;
        for node in 0..SERVICES.len() {
            for key in ["kept", "revoked"] {
                let (status, _) = call_with_key(&mut env, node, key).await?;
                expect_that!(status, eq(StatusCode::OK), "{key} at node {node}");
            }
        }
        let names = name_common::sendable_names(6, 20);
        let unsendable = [" acme", "acme ", "a\nb"].map(str::to_owned);
        let mut second = Config {
            version: 2,
            workspaces: vec![acme(&["kept"])],
            ..Config::default()
        };
        for (index, name) in names.iter().chain(&unsendable).enumerate() {
            second.workspaces.push((name.clone(), vec![key_of(index)]));
        }
        put_config(&env, &second);
        for restarted in [false, true] {
            if restarted {
                for node in 0..SERVICES.len() {
                    env.fleet.kill(node)?;
                }
                for node in 0..SERVICES.len() {
                    env.fleet.start(node)?;
                }
            }
            wait_version(&mut env, 2).await?;
            for node in 0..SERVICES.len() {
                let (status, workspace) = call_with_key(&mut env, node, "kept").await?;
                expect_that!(
                    (status, workspace),
                    eq(&(StatusCode::OK, Some("acme".into())))
                );
                let (status, _) = call_with_key(&mut env, node, "revoked").await?;
                expect_that!(status, eq(StatusCode::UNAUTHORIZED));
                for (index, name) in names.iter().enumerate() {
                    let found = call_with_key(&mut env, node, &key_of(index)).await?;
                    let expected = (StatusCode::OK, Some(name.clone()));
                    expect_that!(found, eq(&expected), "{name:?} at node {node}");
                }
                for (index, name) in unsendable.iter().enumerate() {
                    let key = key_of(names.len() + index);
                    let (status, workspace) = call_with_key(&mut env, node, &key).await?;
                    expect_that!(status, eq(StatusCode::SERVICE_UNAVAILABLE), "{name:?}");
                    expect_that!(workspace, none(), "{name:?}");
                }
                let metrics = metrics_of(&env, node).await?;
                for name in &names {
                    let label = format!("workspace=\"{}\"", escaped_label(name));
                    expect_true!(metrics.contains(&label), "no {label} at node {node}");
                }
            }
        }
        Ok(())
    });
}

async fn metrics_of(env: &TestFleet, node: usize) -> eyre::Result<String> {
    let url = format!("http://{}/metrics", env.fleet.nodes()[node].addrs.metrics);
    let response = awc::Client::default().get(url).send().await;
    let body = response.map_err(|e| eyre::eyre!("{e}"))?.body().await?;
    Ok(String::from_utf8(body.to_vec())?)
}

/// Returns the value of a label in the text format of Prometheus.
fn escaped_label(value: &str) -> String {
    let value = value.replace('\\', "\\\\");
    value.replace('"', "\\\"").replace('\n', "\\n")
}

/// Guards against a request that gets 400, which its caller does not repeat, since a node cannot read the header of a
/// call from another node.
#[gtest]
fn call_with_malformed_header() {
    run(async {
        let config = Config {
            version: 1,
            ..Config::default()
        };
        let env = start(&config, "b").await?;
        let url = format!("http://{}/wrecks/1", env.fleet.nodes()[0].addrs.node);
        let request = awc::Client::default().get(url);
        let request = request.insert_header((HOP_REQUEST_HEADER, "wrecks;%ff;v1"));
        let response = request.send().await.map_err(|e| eyre::eyre!("{e}"))?;
        let end = response.headers().get(HOP_RESPONSE_HEADER);
        let end = end.and_then(|value| HopResponseHeader::decode(value.to_str().ok()?));
        let end = end.map(|end| (end.run, ResultCode::from_number(end.code)));
        let code = ResultCode::MessageMalformed;
        expect_that!(end, some(eq((Executed::No, Some(code)))));
        let status = http_server::status_of(code);
        expect_that!(status, eq(StatusCode::SERVICE_UNAVAILABLE));
        Ok(())
    });
}

/// Guards against a long name that makes the head of a call too long for the next node, and against one that is too long
/// for any head and costs other routes their requests.
#[gtest]
fn long_names() {
    run(async {
        let long = "é".repeat(2_048);
        let config = Config {
            version: 1,
            routes: vec![long.clone(), "é".repeat(20_000)],
            workspaces: vec![(long.clone(), vec!["key".into()])],
        };
        let mut env = start(&config, "b").await?;
        for node in 0..SERVICES.len() {
            let reply = env.call(node, "/r0/x").await?;
            expect_that!(reply.status, eq(StatusCode::OK), "node {node}");
            let (status, workspace) = call_with_key(&mut env, node, "key").await?;
            expect_that!(status, eq(StatusCode::OK), "node {node}");
            expect_that!(workspace, some(eq(&long)));
        }
        // No header carries the second route; the node beside the backend server needs none.
        for (node, status) in [(0, StatusCode::OK), (1, StatusCode::SERVICE_UNAVAILABLE)] {
            let reply = env.call(node, "/r1/x").await?;
            expect_that!(reply.status, eq(status), "node {node}");
            let text = String::from_utf8_lossy(&reply.body).into_owned();
            expect_that!(text.contains("4022"), eq(node == 1), "{text}");
        }
        Ok(())
    });
}

/// Guards against a backend server that is never used, or whose leave is not noticed, because of a character in its id.
#[gtest]
fn instance_names() {
    run(async {
        let config = Config {
            version: 1,
            ..Config::default()
        };
        let mut env = start(&config, "b; é/%41 \"x\" ").await?;
        for node in 0..SERVICES.len() {
            let reply = env.call(node, "/wrecks/1").await?;
            expect_that!(reply.status, eq(StatusCode::OK), "node {node}");
            let expected = last_received(&env, INSTANCE_HEADER);
            expect_that!(expected, some(eq("b; é/%41 \"x\" 0")));
        }
        env.backends[0].request_stop();
        let refused = StatusCode::SERVICE_UNAVAILABLE;
        for node in 0..SERVICES.len() {
            env.wait_for(WAIT_LIMIT, node, "/wrecks/1", refused).await?;
        }
        // The backend server goes on for some time after its leave.
        expect_true!(env.backends[0].is_running());
        Ok(())
    });
}
