//! Helpers shared by the tests that run real node processes.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod forwarder;

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use actix_http::Method;
use bytes::Bytes;
use serde_json::Value;
use serde_json::json;
use sycamorewick::protocol::document::Document;
use testbed::backend_server::BackendHandle;
use testbed::backend_server::BackendOptions;
use testbed::backend_server::NUMBER_HEADER;
use testbed::backend_server::ResponseBody;
use testbed::backend_server::ServiceTime;
use testbed::caller::CallerReport;
use testbed::fleet::Fleet;
use testbed::fleet::FleetOptions;
use testbed::fleet::PublishResponse;
use uuid::Uuid;

/// Timeout of every wait. It is long because these tests do not check the speed of the machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs an asynchronous test in an `actix` system and panics with its error.
pub fn run_test<F: Future<Output = eyre::Result<()>>>(test: F) {
    if let Err(e) = actix_rt::System::new().block_on(test) {
        panic!("{e:#}");
    }
}

/// Options of a fleet that runs the binary under test in one region with three failure domains.
pub fn fleet_options(nodes: usize) -> FleetOptions {
    let mut options = FleetOptions::new(env!("CARGO_BIN_EXE_sycamorewick"), nodes);
    options.regions = 1;
    options
}

/// Starts a fleet and waits until all nodes are ready and see each other as alive.
pub async fn start_fleet(nodes: usize) -> eyre::Result<Fleet> {
    let fleet = Fleet::start(fleet_options(nodes))?;
    fleet.wait_ready(WAIT_TIMEOUT).await?;
    wait_alive(&fleet, nodes).await?;
    Ok(fleet)
}

/// A document in which version `v1` of service `shop` gets all traffic. `GET` calls are idempotent,
/// `POST` calls are not.
pub fn document(fleet: &Fleet) -> Document {
    document_with_rollout(fleet, &Value::Null)
}

/// Like [`document`], with this rollout unless it is null.
pub fn document_with_rollout(fleet: &Fleet, rollout: &Value) -> Document {
    let mut document = json!({
        "regions": fleet.options().regions_json(),
        "services": [{
            "name": "shop",
            "cold_start_ms": 0,
            "versions": [{ "name": "v1", "share": 100 }, { "name": "v2", "share": 0 }],
        }],
        "routes": [
            { "name": "browse", "methods": ["GET"], "path_prefix": "/", "service": "shop",
              "idempotent": true, "deadline_ms": 4000, "attempt_timeout_ms": 1000 },
            { "name": "buy", "methods": ["POST"], "path_prefix": "/", "service": "shop",
              "idempotent": false, "deadline_ms": 4000, "attempt_timeout_ms": 1000 },
        ],
    });
    if !rollout.is_null() {
        document["services"][0]["rollout"] = rollout.clone();
    }
    serde_json::from_value(document).expect("a valid document")
}

/// Publishes a document through a node and returns its configuration version.
pub async fn publish(fleet: &Fleet, index: usize, document: &Document) -> eyre::Result<u64> {
    let reply: PublishResponse = fleet.publish(index, None, document).await?;
    reply
        .version()
        .ok_or_else(|| eyre::eyre!("the document was not published: {}", reply.body))
}

/// Options of a backend server that takes a few milliseconds per call.
pub fn backend_options(id: &str, version: &str) -> BackendOptions {
    let mut options = BackendOptions::new(id, "shop", version);
    options.service_time = ServiceTime {
        median_us: 3_000,
        p99_us: 10_000,
    };
    options
}

/// Starts a backend server of `v1` at each of `nodes` and waits until all nodes see them as up.
pub async fn start_backends(fleet: &Fleet, nodes: &[usize]) -> eyre::Result<Vec<BackendHandle>> {
    let mut all = Vec::new();
    for index in nodes {
        all.push(fleet.start_backend(*index, backend_options(&format!("b{}", index + 1), "v1"))?);
    }
    wait_backends(fleet, nodes.len()).await?;
    Ok(all)
}

/// Starts a fleet of `count` nodes with [`document`] in force and a backend server at each of `nodes`.
/// Returns the version of the document, too.
pub async fn start_serving_fleet(
    count: usize,
    nodes: &[usize],
) -> eyre::Result<(Fleet, Vec<BackendHandle>, u64)> {
    let fleet = start_fleet(count).await?;
    let version = publish(&fleet, 0, &document(&fleet)).await?;
    fleet.wait_version(version, WAIT_TIMEOUT).await?;
    let backends = start_backends(&fleet, nodes).await?;
    Ok((fleet, backends, version))
}

/// Waits until all running nodes see exactly this number of backend servers as up.
pub async fn wait_backends(fleet: &Fleet, count: usize) -> eyre::Result<Duration> {
    let what = format!("{count} backend servers are up");
    fleet
        .wait_for_nodes(&what, WAIT_TIMEOUT, |index| async move {
            let Ok(status) = fleet.status(index).await else {
                return false;
            };
            let members = status["members"].as_array().cloned().unwrap_or_default();
            members
                .iter()
                .filter(|m| m["status"] == "alive" && m["backend"]["up"] == true)
                .count()
                == count
        })
        .await
}

/// Waits until all running nodes see exactly this number of members as alive.
pub async fn wait_alive(fleet: &Fleet, count: usize) -> eyre::Result<Duration> {
    let what = format!("{count} members are alive");
    fleet
        .wait_for_nodes(&what, WAIT_TIMEOUT, |index| async move {
            alive_members(fleet, index).await == Some(count)
        })
        .await
}

async fn alive_members(fleet: &Fleet, index: usize) -> Option<usize> {
    let status = fleet.status(index).await.ok()?;
    let members = status["members"].as_array()?;
    Some(members.iter().filter(|m| m["status"] == "alive").count())
}

/// Waits until a condition holds.
pub async fn wait_for<F: Future<Output = bool>>(
    what: &str,
    mut condition: impl FnMut() -> F,
) -> eyre::Result<Duration> {
    let start = Instant::now();
    while !condition().await {
        eyre::ensure!(
            start.elapsed() < WAIT_TIMEOUT,
            "condition not met within {WAIT_TIMEOUT:?}: {what}"
        );
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    Ok(start.elapsed())
}

/// Checks that no running node has counted an invariant violation.
pub async fn check_invariants(fleet: &Fleet) -> eyre::Result<()> {
    for index in 0..fleet.nodes().len() {
        if fleet.nodes()[index].pid().is_none() {
            continue;
        }
        let violations = fleet.status(index).await?["invariant_violations"].clone();
        eyre::ensure!(
            violations == 0,
            "node {} counted {violations} invariant violations:\n{}",
            fleet.nodes()[index].id,
            fleet.output_tail(index, 20)
        );
    }
    Ok(())
}

/// Request of one call.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: Method,
    pub path: String,
    pub headers: Vec<(&'static str, String)>,
    pub body: Bytes,
}

impl Call {
    pub fn get(path: &str) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    pub fn post(path: &str) -> Self {
        Self {
            method: Method::POST,
            ..Self::get(path)
        }
    }

    pub fn key(mut self, key: &str) -> Self {
        self.headers.push(("idempotency-key", key.into()));
        self
    }

    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }
}

/// Complete response to one call.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub run: String,
    pub code: String,
    pub body: Bytes,
    /// Parsed body, if the response is from a backend server.
    pub backend_body: Option<ResponseBody>,
}

impl Response {
    /// Whether this is an error response that also says whether the call ran.
    pub fn is_explicit_error(&self) -> bool {
        self.status >= 400 && !self.run.is_empty()
    }
}

/// Makes a call on a new connection. Returns an error if there is no complete response.
pub async fn call(addr: SocketAddr, call: &Call) -> eyre::Result<Response> {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(20))
        .disable_redirects()
        .finish();
    let number = Uuid::now_v7().to_string();
    let mut req = client
        .request(call.method.clone(), format!("http://{addr}{}", call.path))
        .insert_header((NUMBER_HEADER, number.clone()))
        .insert_header(("connection", "close"));
    for (name, value) in &call.headers {
        req = req.insert_header((*name, value.as_str()));
    }
    let sent = req.send_body(call.body.clone()).await;
    let mut res = sent.map_err(|e| eyre::eyre!("no response: {e}"))?;
    let body = res.body().limit(2 << 20).await;
    let body = body.map_err(|e| eyre::eyre!("incomplete response: {e}"))?;
    let header = |name: &str| {
        let value = res.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let backend_body: Option<ResponseBody> = serde_json::from_slice(&body).ok();
    let response = Response {
        status: res.status().as_u16(),
        run: header("sw-run"),
        code: header("sw-code"),
        body,
        backend_body,
    };
    // The recorded response to a call with an idempotency key carries the number of the first call.
    let has_key = call
        .headers
        .iter()
        .any(|(name, _)| *name == "idempotency-key");
    if let Some(backend_body) = &response.backend_body
        && !has_key
    {
        eyre::ensure!(
            backend_body.number.as_deref() == Some(number.as_str()),
            "the response belongs to another call"
        );
    }
    Ok(response)
}

/// Checks that each call got its own complete response or an error response of the node.
pub fn check_report(report: &CallerReport) -> eyre::Result<()> {
    eyre::ensure!(report.sent > 0 && report.not_sent == 0, "{report:?}");
    eyre::ensure!(
        report.mismatched == 0 && report.malformed == 0,
        "responses to other calls or malformed responses: {report:?}"
    );
    eyre::ensure!(
        report.answered == report.sent && report.by_failure.is_empty(),
        "calls without a response: {report:?}"
    );
    Ok(())
}

/// Number of calls counted for one value.
pub fn call_count(counts: &[testbed::caller::Count], value: &str) -> u64 {
    counts
        .iter()
        .find(|c| c.value == value)
        .map_or(0, |c| c.calls)
}
