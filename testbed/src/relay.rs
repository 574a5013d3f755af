//! HTTP relay without routing: forwards each request to a fixed server and returns its response.
//!
//! Two relays in a row add the latency that the HTTP libraries and the machine cause on two hops.
//! The latency of two nodes can be compared with it in the same run.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::uri::PathAndQuery;
use actix_rt::net::TcpListener;
use futures_util::FutureExt;
use sycamorewick::transport::http_client::HttpClient;
use sycamorewick::transport::http_client::OutgoingRequest;
use sycamorewick::transport::http_server;
use sycamorewick::transport::http_server::HttpServer;

/// Largest body, bytes.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Connections to the next server.
const MAX_CONNECTIONS: usize = 64;
/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Relays from `listen` to `to` until the process ends.
///
/// # Errors
/// Returns the error of the bind.
pub async fn run(listen: SocketAddr, to: SocketAddr) -> eyre::Result<()> {
    let client = Rc::new(HttpClient::new(MAX_CONNECTIONS));
    let listener = TcpListener::bind(listen).await?;
    let handler = Rc::new(move |req: Request| forward(client.clone(), to, req).boxed_local());
    let _server = HttpServer::start(listener, 1_024, handler);
    std::future::pending::<()>().await;
    Ok(())
}

async fn forward(client: Rc<HttpClient>, to: SocketAddr, mut req: Request) -> Response<BoxBody> {
    let mut payload = req.take_payload();
    let Ok(body) = http_server::read_body(&mut payload, MAX_BODY_BYTES).await else {
        return Response::with_body(StatusCode::BAD_REQUEST, BoxBody::new(()));
    };
    let head = req.head();
    let target = head.uri.path_and_query().cloned();
    let outgoing = OutgoingRequest {
        method: head.method.clone(),
        target: target.unwrap_or_else(|| PathAndQuery::from_static("/")),
        headers: Vec::new(),
        body,
        timeout: CALL_TIMEOUT,
        max_response_bytes: MAX_BODY_BYTES,
    };
    match client.send(to, outgoing).await {
        Ok(response) => Response::with_body(response.status, BoxBody::new(response.body)),
        Err(e) => Response::with_body(StatusCode::BAD_GATEWAY, BoxBody::new(e.to_string())),
    }
}
