//! Requests of the backend server beside the node, which announces and withdraws itself.
//! See `docs/design.md`, section 5.

use std::rc::Rc;

use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use slog::info;

use crate::node::Node;
use crate::node::backend::BackendAnnouncement;
use crate::node::gossip_loop;
use crate::transport::http_server;

/// Path prefix of the requests that are handled here rather than routed.
pub const PREFIX: &str = "/.sycamorewick/";
/// Maximum size of an announcement, bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 4_096;

/// Handles a request of the backend server beside the node.
pub async fn handle(node: &Rc<Node>, mut req: Request) -> Response<BoxBody> {
    // Only processes on the same instance may announce or withdraw its backend server.
    if !req.peer_addr().is_some_and(|addr| addr.ip().is_loopback()) {
        return text(
            StatusCode::FORBIDDEN,
            "only the backend server on the same instance may send this request",
        );
    }
    let mut payload = req.take_payload();
    let Ok(body) = http_server::read_body(&mut payload, MAX_ANNOUNCEMENT_BYTES).await else {
        return text(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the announcement is too large",
        );
    };
    match req.path().strip_prefix(PREFIX) {
        Some("announce") => match serde_json::from_slice::<BackendAnnouncement>(&body) {
            Ok(announcement) => announce(node, announcement),
            Err(e) => text(
                StatusCode::BAD_REQUEST,
                &format!("invalid announcement: {e}"),
            ),
        },
        Some("withdraw") => withdraw(node),
        _ => text(StatusCode::NOT_FOUND, "unknown path"),
    }
}

fn announce(node: &Rc<Node>, announcement: BackendAnnouncement) -> Response<BoxBody> {
    let now = node.clock.now();
    let (service, version) = (announcement.service.clone(), announcement.version.clone());
    let changed = node.state.borrow_mut().backend.announce(now, announcement);
    if changed {
        info!(node.log, "backend server is up";
            "service" => service.as_str(), "version" => version.as_str());
        gossip_loop::backend_changed(node);
    }
    text(StatusCode::OK, "ok")
}

fn withdraw(node: &Rc<Node>) -> Response<BoxBody> {
    let was_up = node.state.borrow_mut().backend.mark_down();
    if was_up {
        info!(node.log, "backend server is down"; "reason" => "withdrawn");
        gossip_loop::backend_changed(node);
    }
    text(StatusCode::OK, "ok")
}

fn text(status: StatusCode, body: &str) -> Response<BoxBody> {
    Response::with_body(status, BoxBody::new(body.to_owned()))
}
