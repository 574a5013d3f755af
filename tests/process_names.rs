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
use testbed::platform::backend::PlatformBackend;
use testbed::platform::backend::PlatformBackendHandle;
use testbed::platform::backend::PlatformBackendOptions;
use testbed::platform::fleet::SidecarFleet;
use testbed::platform::fleet::SidecarOptions;
use testbed::platform::store::OPERATOR_TOPIC;
use testbed::platform::store::StoreServer;

const CALLER_HEADER: &str = "x-sycamorewick-caller";
/// Services of the nodes, in their order.
const SERVICES: [&str; 2] = ["clár; wrecks", "próifíl 100%"];
const VERSION: &str = "v1; é";

/// Starts two nodes, each with a backend server of a service of its own, and the routes of a configuration. Their
/// requests go to the service of the first node.
async fn start(routes: &[String], instance: &str) -> eyre::Result<TestFleet> {
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
    put_config(&env, routes);
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
    env.fleet.wait_ready(WAIT_LIMIT).await?;
    for index in 0..SERVICES.len() {
        env.wait_for(WAIT_LIMIT, index, "/plain/1", StatusCode::OK)
            .await?;
    }
    for backend in &env.backends {
        backend.record_headers();
    }
    Ok(env)
}

/// Writes a configuration with a route `/plain/`, and one below `/r<index>/` for each name.
fn put_config(env: &TestFleet, routes: &[String]) {
    let route = |prefix: &str| {
        json!({ "host": HOST, "prefix": prefix, "kind": "safe", "timeout-ms": 3000, "slo-ms": 500,
            "priority": 1, "service": SERVICES[0], "attempts": 2, "public": true })
    };
    let mut all = Map::new();
    all.insert("plain".into(), route("/plain/"));
    for (index, name) in routes.iter().enumerate() {
        all.insert(name.clone(), route(&format!("/r{index}/")));
    }
    let service = json!({ "health-path": "/healthz", "max-conns": 100 });
    let services = SERVICES.map(|name| (name.to_owned(), service.clone()));
    let config = json!({
        "version": "00000001",
        "routes": all,
        "services": Value::Object(Map::from_iter(services)),
        "limits": { "header-bytes": 16384, "body-bytes": 65536, "header-ms": 3000, "idle-ms": 15000 },
    });
    let _ = env
        .store
        .put(OPERATOR_TOPIC, "config", config.to_string().as_bytes());
}

/// Returns the value of a header with which the last request reached a backend server.
fn last_received(env: &TestFleet, header: &str) -> Option<String> {
    let recorded = env.backends.iter();
    let recorded = recorded.flat_map(PlatformBackendHandle::recorded_headers);
    let attempt = format!("t{}", env.attempts);
    let (_, headers) = recorded.into_iter().find(|(id, _)| *id == attempt)?;
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
        let mut env = start(&routes, "b").await?;
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
