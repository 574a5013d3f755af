//! Authenticated requests to the node port of other nodes.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_http::uri::PathAndQuery;
use bytes::Bytes;
use rand::Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::node::Node;
use crate::protocol::auth;
use crate::protocol::auth::RequestParts;
use crate::protocol::call::AUTH_HEADER;
use crate::protocol::codec;
use crate::protocol::codec::MAX_MESSAGE_BYTES;
use crate::result_code::Failure;
use crate::result_code::ResultCode;
use crate::transport::http_client::OutgoingRequest;
use crate::transport::http_client::SendFailure;

impl Node {
    /// Builds the authentication header of a request to a peer.
    pub(super) fn auth_header(&self, req: &RequestParts<'_>) -> (HeaderName, HeaderValue) {
        let nonce = self.state.borrow_mut().rng.next_u64();
        let value = auth::header_value(&self.keys[0], self.clock.wall(), nonce, req);
        let value = HeaderValue::try_from(value).expect("the header value is ASCII");
        (HeaderName::from_static(AUTH_HEADER), value)
    }

    /// Sends a message to a peer and decodes the response.
    pub(super) async fn ask_peer<Q: Serialize, A: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        message: &Q,
        timeout: Duration,
    ) -> Result<A, Failure> {
        let body = codec::encode(message)?;
        let parts = RequestParts {
            method: "POST",
            path,
            headers: &[],
            body: &body,
        };
        let header = self.auth_header(&parts);
        let outgoing = OutgoingRequest {
            method: Method::POST,
            target: PathAndQuery::try_from(path).map_err(|e| peer_failure(addr, &e.to_string()))?,
            headers: vec![header],
            body: Bytes::from(body),
            timeout,
            max_response_bytes: MAX_MESSAGE_BYTES,
        };
        let response = self.peers.send(addr, outgoing).await;
        let response = response.map_err(|e: SendFailure| peer_failure(addr, &e.to_string()))?;
        if response.status != StatusCode::OK {
            return Err(peer_failure(addr, &format!("answered {}", response.status)));
        }
        self.metrics
            .exchange_bytes
            .increment(response.body.len() as u64);
        codec::decode(&response.body)
    }
}

fn peer_failure(addr: SocketAddr, text: &str) -> Failure {
    Failure::new(ResultCode::PeerUnreachable, format!("peer {addr}: {text}"))
}
