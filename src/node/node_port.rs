//! Node port: serves calls and messages from other nodes. See `docs/design.md`, section 7.

use std::rc::Rc;

use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use bytes::Bytes;
use futures_util::FutureExt;
use slog::debug;

use crate::node::Node;
use crate::node::config_reader;
use crate::node::gossip_loop;
use crate::node::hop;
use crate::node::keyed;
use crate::protocol::auth;
use crate::protocol::auth::RequestParts;
use crate::protocol::call::AUTH_HEADER;
use crate::protocol::call::MAX_BODY_BYTES;
use crate::protocol::codec;
use crate::protocol::codec::MAX_MESSAGE_BYTES;
use crate::result_code::Failure;
use crate::result_code::ResultCode;
use crate::transport::headers;
use crate::transport::http_server;
use crate::transport::http_server::Handler;

/// Returns the handler of the node port.
pub fn handler(node: &Rc<Node>) -> Handler {
    let node = node.clone();
    Rc::new(move |req| handle(node.clone(), req).boxed_local())
}

async fn handle(node: Rc<Node>, mut req: Request) -> Response<BoxBody> {
    let mut payload = req.take_payload();
    let limit = if req.path() == hop::CALL_PATH {
        MAX_BODY_BYTES
    } else {
        MAX_MESSAGE_BYTES
    };
    let body = match http_server::read_body(&mut payload, limit).await {
        Ok(body) => body,
        Err(failure) => return rejection(StatusCode::PAYLOAD_TOO_LARGE, &failure),
    };
    if let Err(failure) = authenticate(&node, &req, &body) {
        node.metrics.gossip_rejected.increment(1);
        debug!(node.log, "request from another node rejected"; "failure" => failure.to_string());
        return rejection(StatusCode::UNAUTHORIZED, &failure);
    }
    let mut response = dispatch(&node, &req, body).await;
    if node.stopping.get() {
        http_server::close_after(&mut response);
    }
    response
}

async fn dispatch(node: &Rc<Node>, req: &Request, body: Bytes) -> Response<BoxBody> {
    let result = match req.path() {
        hop::CALL_PATH => return hop::receive(node, req, body).await,
        "/peer/sync" => sync(node, &body),
        "/peer/config" => config_reader::on_config_request(node, &body),
        "/peer/claim" => keyed::on_claim(node, &body),
        "/peer/release" => keyed::on_release(node, &body),
        "/peer/complete" => keyed::on_complete(node, &body),
        path => Err(Failure::new(
            ResultCode::NoRoute,
            format!("unknown path {path}"),
        )),
    };
    match result {
        Ok(response) => {
            node.metrics
                .exchange_bytes
                .increment((body.len() + response.len()) as u64);
            Response::with_body(StatusCode::OK, BoxBody::new(response))
        }
        Err(failure) => rejection(StatusCode::BAD_REQUEST, &failure),
    }
}

fn authenticate(node: &Node, req: &Request, body: &[u8]) -> Result<(), Failure> {
    let value = headers::text(req.headers(), AUTH_HEADER);
    let value = value.ok_or_else(|| {
        Failure::new(
            ResultCode::AuthFailed,
            "the authentication header is missing",
        )
    })?;
    let mut covered = [("", &[][..]); hop::AUTHENTICATED_HEADERS.len()];
    let mut count = 0;
    if req.path() == hop::CALL_PATH {
        for name in hop::AUTHENTICATED_HEADERS {
            covered[count] = (
                name,
                headers::text(req.headers(), name)
                    .unwrap_or_default()
                    .as_bytes(),
            );
            count += 1;
        }
    }
    let path = req
        .head()
        .uri
        .path_and_query()
        .map_or("/", |target| target.as_str());
    let parts = RequestParts {
        method: req.method().as_str(),
        path,
        headers: &covered[..count],
        body,
    };
    let mut state = node.state.borrow_mut();
    auth::check_header(
        &node.keys,
        &mut state.replay,
        node.clock.wall(),
        value,
        &parts,
    )
}

fn sync(node: &Rc<Node>, body: &[u8]) -> Result<Vec<u8>, Failure> {
    let peer_state = codec::decode(body)?;
    if !node.state.borrow_mut().gossip.try_acquire_sync_slot() {
        return Err(Failure::new(
            ResultCode::Overloaded,
            "too many state exchanges at once",
        ));
    }
    gossip_loop::on_sync(node, peer_state);
    let mut state = node.state.borrow_mut();
    let response = codec::encode(&state.gossip.sync_state());
    state.gossip.release_sync_slot();
    response
}

fn rejection(status: StatusCode, failure: &Failure) -> Response<BoxBody> {
    Response::with_body(status, BoxBody::new(failure.to_string()))
}
