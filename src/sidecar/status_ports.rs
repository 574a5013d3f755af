//! Ports for readiness probes and metrics.

use std::rc::Rc;

use actix_http::Method;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;

use crate::platform::requests::READY_PATH;
use crate::protocol::explain::EXPLAIN_PATH;
use crate::sidecar::Sidecar;
use crate::sidecar::explain_port;
use crate::sidecar::limit_events;
use crate::transport::http_server;
use crate::transport::http_server::Handler;

/// Returns the handler of the readiness port.
pub fn ready_handler(cx: &Rc<Sidecar>) -> Handler {
    let cx = cx.clone();
    Rc::new(move |req| {
        let status = match req.path() {
            READY_PATH if cx.is_ready() => StatusCode::OK,
            READY_PATH => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        };
        Box::pin(async move { http_server::empty(status) })
    })
}

/// Returns the handler of the metrics port, which also answers where a request would be sent.
pub fn metrics_handler(cx: &Rc<Sidecar>) -> Handler {
    let cx = cx.clone();
    Rc::new(move |req| {
        if req.path() == EXPLAIN_PATH {
            return match *req.method() {
                Method::POST => Box::pin(explain_port::handle(cx.clone(), req)),
                _ => Box::pin(async { http_server::empty(StatusCode::METHOD_NOT_ALLOWED) }),
            };
        }
        limit_events::update_metrics(&cx);
        let text = cx.metrics.render();
        Box::pin(async move { Response::with_body(StatusCode::OK, BoxBody::new(text)) })
    })
}
