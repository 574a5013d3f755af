//! Operator port: state, publications, outcomes and metrics. See `docs/operators.md`.

use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header::AUTHORIZATION;
use actix_http::header::CONTENT_TYPE;
use actix_http::header::HeaderValue;
use bytes::Bytes;
use futures_util::FutureExt;
use serde::Serialize;
use serde_json::json;

use crate::invariant;
use crate::node::Node;
use crate::node::headers;
use crate::node::publish;
use crate::protocol::codec;
use crate::protocol::codec::MAX_MESSAGE_BYTES;
use crate::protocol::gossip::MemberStatus;
use crate::protocol::name::ConfigVersion;
use crate::protocol::record::OUTCOME_STREAM;
use crate::protocol::record::OutcomeRecord;
use crate::transport::http_server;
use crate::transport::http_server::Handler;

/// Outcomes read from the log for one request.
const OUTCOMES_READ: usize = 256;

/// Returns the handler of the operator port.
pub fn handler(node: &Rc<Node>) -> Handler {
    let node = node.clone();
    Rc::new(move |req| handle(node.clone(), req).boxed_local())
}

async fn handle(node: Rc<Node>, mut req: Request) -> Response<BoxBody> {
    let mut payload = req.take_payload();
    match (req.method(), req.path()) {
        (&Method::GET, "/healthz") => return text(StatusCode::OK, "ok\n".into()),
        (&Method::GET, "/readyz") => return ready(&node),
        _ => {}
    }
    if !authorised(&node, &req) {
        return text(
            StatusCode::UNAUTHORIZED,
            "a bearer token is needed\n".into(),
        );
    }
    let body = match http_server::read_body(&mut payload, MAX_MESSAGE_BYTES).await {
        Ok(body) => body,
        Err(failure) => return text(StatusCode::PAYLOAD_TOO_LARGE, failure.to_string()),
    };
    match (req.method(), req.path()) {
        (&Method::GET, "/metrics") => metrics(&node),
        (&Method::GET, "/v1/status") => json_answer(&status(&node)),
        (&Method::GET, "/v1/config") => config(&node),
        (&Method::GET, "/v1/outcomes") => outcomes(&node).await,
        (&Method::GET, "/v1/convergence") => convergence(&node, &req),
        (&Method::POST, "/v1/publish") => publish_document(&node, &body).await,
        _ => text(StatusCode::NOT_FOUND, "unknown path\n".into()),
    }
}

/// Compares digests, so that the time of the comparison tells nothing of the token.
fn authorised(node: &Node, req: &Request) -> bool {
    let given = headers::text(req.headers(), AUTHORIZATION.as_str())
        .and_then(|text| text.strip_prefix("Bearer "));
    given.is_some_and(|given| {
        blake3::hash(given.as_bytes()) == blake3::hash(node.operator_token.as_bytes())
    })
}

fn ready(node: &Node) -> Response<BoxBody> {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    let status = if state.ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    let line = format!("{}\n", state.readiness.state(now));
    text(status, line)
}

fn metrics(node: &Node) -> Response<BoxBody> {
    #[allow(clippy::cast_precision_loss)]
    node.metrics.violations.set(invariant::violations() as f64);
    let pending = node.state.borrow().outcomes.pending();
    node.metrics
        .outcomes_pending
        .set(u32::try_from(pending).unwrap_or(u32::MAX));
    text(StatusCode::OK, node.metrics.render())
}

fn status(node: &Node) -> serde_json::Value {
    let state = node.state.borrow();
    let wall = node.clock.wall();
    let members: Vec<_> = state
        .gossip
        .members()
        .iter()
        .map(|m| {
            json!({
                "id": m.id,
                "status": format!("{:?}", m.status).to_lowercase(),
                "region": m.region,
                "failure_domain": m.domain,
                "backend": m.backend,
            })
        })
        .collect();
    let alive = state
        .gossip
        .members()
        .iter()
        .filter(|m| m.status < MemberStatus::Leaving)
        .count();
    let current = state.store.current();
    let services: Vec<_> = current
        .iter()
        .flat_map(|snapshot| &snapshot.versioned().document.services)
        .map(|service| {
            let shares = state.rollouts.shares(service.name.as_str(), wall);
            let shares: Vec<_> = service
                .versions
                .iter()
                .map(|v| json!({ "version": v.name, "share": shares.map(|s| s.of(v.name.as_str())) }))
                .collect();
            json!({ "service": service.name, "shares": shares })
        })
        .collect();
    json!({
        "id": node.settings.id,
        "version": state.store.version(),
        "digest": current.map(|s| format!("{:016x}", s.digest())),
        "ready": state.ready,
        "alive": alive,
        "reader": state.gossip.is_reader(),
        "invariant_violations": invariant::violations(),
        "outcomes_waiting_for_the_log": state.outcomes.pending(),
        "services": services,
        "rollbacks": state.rollouts.rollbacks(),
        "members": members,
    })
}

fn config(node: &Node) -> Response<BoxBody> {
    match node.snapshot() {
        Some(snapshot) => json_answer(snapshot.versioned()),
        None => text(
            StatusCode::NOT_FOUND,
            "no configuration is in force\n".into(),
        ),
    }
}

/// Returns the outcomes of all nodes: the log's newest ones and those that this node knows.
async fn outcomes(node: &Rc<Node>) -> Response<BoxBody> {
    if let Ok(bounds) = node.log_client.bounds(OUTCOME_STREAM).await {
        let from = bounds
            .end
            .saturating_sub(OUTCOMES_READ as u64)
            .max(bounds.oldest);
        let read = node
            .log_client
            .read(OUTCOME_STREAM, from, OUTCOMES_READ, Duration::ZERO)
            .await;
        let records = read.map(|batch| batch.records).unwrap_or_default();
        let mut state = node.state.borrow_mut();
        for (_, bytes) in records {
            if let Ok(outcome) = codec::decode::<OutcomeRecord>(&bytes) {
                state.outcomes.learn(outcome);
            }
        }
    }
    let state = node.state.borrow();
    let mut all: Vec<&OutcomeRecord> = state.outcomes.iter().collect();
    all.sort_by_key(|outcome| outcome.at);
    json_answer(&all)
}

fn convergence(node: &Node, req: &Request) -> Response<BoxBody> {
    let query = req.head().uri.query().unwrap_or_default();
    let version = query
        .strip_prefix("version=")
        .and_then(|text| text.parse().ok());
    match version {
        Some(version) => json_answer(&publish::convergence(node, ConfigVersion(version))),
        None => text(
            StatusCode::BAD_REQUEST,
            "query version=NUMBER is needed\n".into(),
        ),
    }
}

async fn publish_document(node: &Rc<Node>, body: &Bytes) -> Response<BoxBody> {
    match serde_json::from_slice(body) {
        Ok(request) => json_answer(&publish::publish(node, request).await),
        Err(e) => text(StatusCode::BAD_REQUEST, format!("invalid request: {e}\n")),
    }
}

fn json_answer<T: Serialize + ?Sized>(value: &T) -> Response<BoxBody> {
    let body = serde_json::to_string(value).unwrap_or_default();
    let mut response = text(StatusCode::OK, body);
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn text(status: StatusCode, body: String) -> Response<BoxBody> {
    Response::with_body(status, BoxBody::new(body))
}
