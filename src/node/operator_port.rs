//! Operator port: serves status, publications, outcomes, metrics and the console.
//! See `docs/operators.md`.

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

use crate::coordination::readiness::ReadyState;
use crate::invariant;
use crate::logging;
use crate::node::Node;
use crate::node::config_reader;
use crate::node::console;
use crate::node::history;
use crate::node::publish;
use crate::node::status;
use crate::protocol::codec;
use crate::protocol::codec::MAX_MESSAGE_BYTES;
use crate::protocol::name::ConfigVersion;
use crate::protocol::record::OUTCOME_STREAM;
use crate::protocol::record::OutcomeRecord;
use crate::result_code::Failure;
use crate::result_code::ResultCode;
use crate::transport::headers;
use crate::transport::http_server;
use crate::transport::http_server::Handler;
use crate::transport::log_client::LogBatch;

/// Maximum number of outcomes read from the log for one request.
const MAX_OUTCOMES_READ: usize = 256;
/// Time for which a watch request waits for the next outcome (long poll). Without it, each watcher
/// would cause frequent requests to the log server.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of the path and headers of a request, bytes; the token and the cookie of a form
/// need far less.
const MAX_HEADER_BYTES: usize = 8 << 10;

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
    if headers_too_large(&req) {
        let line = format!("the headers exceed {MAX_HEADER_BYTES} bytes\n");
        return text(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE, line);
    }
    if console::is_console_path(req.path()) {
        let limit = console::body_limit(&node, &req);
        return match http_server::read_body(&mut payload, limit).await {
            Ok(body) => console::handle(&node, &req, &body).await,
            Err(failure) => text(StatusCode::PAYLOAD_TOO_LARGE, failure.to_string()),
        };
    }
    if !is_authorised(&node, &req) {
        let failures = &node.operator_auth_failures;
        failures.set(failures.get() + 1);
        return text(
            StatusCode::UNAUTHORIZED,
            "the bearer token is missing, or is not the operator token of this node\n".into(),
        );
    }
    let body = match http_server::read_body(&mut payload, MAX_MESSAGE_BYTES).await {
        Ok(body) => body,
        Err(failure) => return text(StatusCode::PAYLOAD_TOO_LARGE, failure.to_string()),
    };
    match (req.method(), req.path()) {
        (&Method::GET, "/metrics") => metrics(&node),
        (&Method::GET, "/v1/status") => json_response(&status::status(&node)),
        (&Method::GET, "/v1/config") => config(&node),
        (&Method::GET, "/v1/outcomes") => outcomes(&node).await,
        (&Method::GET, "/v1/watch") => watch(&node, &req).await,
        (&Method::GET, "/v1/history") => publications(&node, &req).await,
        (&Method::GET, "/v1/document") => document(&node, &req).await,
        (&Method::GET, "/v1/base") => match publish::current_base(&node).await {
            Ok(version) => json_response(&json!({ "version": version })),
            Err(failure) => unavailable(&failure),
        },
        (&Method::GET, "/v1/convergence") => convergence(&node, &req),
        (&Method::POST, "/v1/publish") => publish_document(&node, &body).await,
        _ => text(
            StatusCode::NOT_FOUND,
            "the operator port has no such path and method\n".into(),
        ),
    }
}

/// Compares the hashes of the tokens, so that the duration of the comparison reveals nothing about
/// the token.
fn is_authorised(node: &Node, req: &Request) -> bool {
    let token = headers::text(req.headers(), AUTHORIZATION.as_str())
        .and_then(|text| text.strip_prefix("Bearer "));
    token.is_some_and(|token| {
        blake3::hash(token.as_bytes()) == blake3::hash(node.operator_token.as_bytes())
    })
}

fn headers_too_large(req: &Request) -> bool {
    let bytes: usize = req
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    bytes + req.path().len() > MAX_HEADER_BYTES
}

fn ready(node: &Node) -> Response<BoxBody> {
    let now = node.clock.now();
    let ready = node.state.borrow().ready;
    let readiness = node.state.borrow_mut().readiness.state(now);
    match readiness {
        ReadyState::Ready { .. } if !ready && config_reader::is_joining(node) => text(
            StatusCode::SERVICE_UNAVAILABLE,
            "waits for the first state exchange with a peer\n".into(),
        ),
        readiness if ready => text(StatusCode::OK, format!("{readiness}\n")),
        readiness => text(StatusCode::SERVICE_UNAVAILABLE, format!("{readiness}\n")),
    }
}

fn metrics(node: &Node) -> Response<BoxBody> {
    let count = |number: u64| u32::try_from(number).unwrap_or(u32::MAX);
    let metrics = &node.metrics;
    metrics.violations.set(count(invariant::violations()));
    let state = node.state.borrow();
    metrics
        .outcomes_pending
        .set(count(state.outcomes.pending() as u64));
    metrics
        .outcomes_dropped
        .set(count(state.outcomes.dropped()));
    metrics
        .operator_auth_failures
        .set(count(node.operator_auth_failures.get()));
    metrics
        .log_lines_dropped
        .set(count(logging::dropped_lines()));
    let failing = node.log_client.failing_for().unwrap_or_default();
    metrics.log_failing.set(failing.as_secs_f64());
    text(StatusCode::OK, metrics.render())
}

fn config(node: &Node) -> Response<BoxBody> {
    match node.snapshot() {
        Some(snapshot) => json_response(snapshot.versioned()),
        None => text(
            StatusCode::NOT_FOUND,
            "no configuration is in force\n".into(),
        ),
    }
}

/// Returns the outcomes of all nodes: the newest ones in the log and those that this node keeps.
async fn outcomes(node: &Rc<Node>) -> Response<BoxBody> {
    load_outcomes(node).await;
    let state = node.state.borrow();
    let mut all: Vec<&OutcomeRecord> = state.outcomes.iter().collect();
    all.sort_by_key(|outcome| outcome.at);
    json_response(&all)
}

/// Adds the newest outcomes of the log to those that this node keeps, if the log is reachable.
pub async fn load_outcomes(node: &Rc<Node>) {
    let tail = node
        .log_client
        .read_tail(OUTCOME_STREAM, MAX_OUTCOMES_READ)
        .await;
    let records = tail.map(|batch| batch.records).unwrap_or_default();
    let mut state = node.state.borrow_mut();
    for (_, bytes) in records {
        if let Ok(outcome) = codec::decode::<OutcomeRecord>(&bytes) {
            state.outcomes.insert(outcome);
        }
    }
}

/// Returns the outcomes in the log from an offset on, and those that this node keeps, so that a
/// watcher misses none while the log or the node is unavailable.
async fn watch(node: &Rc<Node>, req: &Request) -> Response<BoxBody> {
    let from = query_number(req, "from");
    let batch = read_outcomes(node, from).await;
    let mut all: Vec<OutcomeRecord> = Vec::new();
    let (mut next, mut dropped_records, mut more, mut log_error) = (from, 0, false, None);
    match batch {
        Ok((first, dropped, batch)) => {
            let records = &batch.records;
            let decoded = records.iter().map(|(_, bytes)| codec::decode(bytes));
            all.extend(decoded.filter_map(Result::ok));
            let end = records.last().map_or(first, |(offset, _)| offset + 1);
            // If the log was recreated, its end can be before the requested offset.
            let end = end.min(batch.end);
            more = end < batch.end;
            next = Some(end);
            dropped_records = dropped;
        }
        Err(failure) => log_error = Some(failure.to_string()),
    }
    let mut state = node.state.borrow_mut();
    for outcome in &all {
        state.outcomes.insert(outcome.clone());
    }
    // Outcomes that only this node keeps are added once the log has been read to its end.
    if !more {
        all.extend(state.outcomes.iter().cloned());
    }
    all.sort_by_key(|outcome| outcome.at);
    json_response(&json!({
        "node": node.settings.id,
        "outcomes": all,
        "next": next,
        "more": more,
        "lost": dropped_records,
        "log_error": log_error,
    }))
}

/// Reads outcomes from an offset on, or the newest ones if there is none. Returns the offset of the
/// first record read, the number of records from the requested offset on that the log had dropped,
/// and the records.
async fn read_outcomes(
    node: &Rc<Node>,
    from: Option<u64>,
) -> Result<(u64, u64, LogBatch), Failure> {
    let log = &node.log_client;
    let batch = match from {
        Some(from) => {
            log.read_retained(OUTCOME_STREAM, from, MAX_OUTCOMES_READ, WATCH_TIMEOUT)
                .await?
        }
        None => log.read_tail(OUTCOME_STREAM, MAX_OUTCOMES_READ).await?,
    };
    let first = match (batch.records.first(), from) {
        (Some((offset, _)), _) => *offset,
        (None, Some(from)) => from.max(batch.oldest),
        (None, None) => batch.end,
    };
    let dropped = first.saturating_sub(from.unwrap_or(first));
    Ok((first, dropped, batch))
}

async fn publications(node: &Rc<Node>, req: &Request) -> Response<BoxBody> {
    let limit = query_number(req, "limit")
        .and_then(|limit| usize::try_from(limit).ok())
        .unwrap_or(history::MAX_ENTRIES);
    match history::read(node, None).await {
        Ok(history) => {
            let entries = &history.entries;
            json_response(&entries[entries.len().saturating_sub(limit)..])
        }
        Err(failure) => unavailable(&failure),
    }
}

async fn document(node: &Rc<Node>, req: &Request) -> Response<BoxBody> {
    let Some(version) = query_number(req, "version") else {
        return missing_version();
    };
    match history::document(node, ConfigVersion(version)).await {
        Ok(versioned) => json_response(&versioned),
        Err(failure) if failure.code == ResultCode::LogTruncated => {
            text(StatusCode::NOT_FOUND, format!("{failure}\n"))
        }
        Err(failure) => unavailable(&failure),
    }
}

fn convergence(node: &Node, req: &Request) -> Response<BoxBody> {
    match query_number(req, "version") {
        Some(version) => json_response(&publish::convergence(node, ConfigVersion(version))),
        None => missing_version(),
    }
}

/// Returns the value of a numeric query parameter.
fn query_number(req: &Request, name: &str) -> Option<u64> {
    let query = req.head().uri.query().unwrap_or_default();
    let fields = url::form_urlencoded::parse(query.as_bytes());
    fields
        .into_iter()
        .find_map(|(key, value)| (key == name).then(|| value.parse().ok())?)
}

fn missing_version() -> Response<BoxBody> {
    let line = "the query parameter version=NUMBER is required\n";
    text(StatusCode::BAD_REQUEST, line.into())
}

fn unavailable(failure: &Failure) -> Response<BoxBody> {
    text(StatusCode::SERVICE_UNAVAILABLE, format!("{failure}\n"))
}

async fn publish_document(node: &Rc<Node>, body: &Bytes) -> Response<BoxBody> {
    match serde_json::from_slice(body) {
        Ok(request) => json_response(&publish::publish(node, request).await),
        Err(e) => text(
            StatusCode::BAD_REQUEST,
            format!("the request is not a publication: {e}\n"),
        ),
    }
}

fn json_response<T: Serialize + ?Sized>(value: &T) -> Response<BoxBody> {
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
