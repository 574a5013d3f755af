//! The hop from the entry node to the serving node: headers, authentication and the check that a
//! response belongs to its call.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_http::uri::PathAndQuery;
use bytes::Bytes;

use crate::node::Node;
use crate::node::serving;
use crate::node::serving::ServeRequest;
use crate::node::serving::ServeResponse;
use crate::protocol::auth::RequestParts;
use crate::protocol::call::ATTEMPTS_HEADER;
use crate::protocol::call::CALL_HEADER;
use crate::protocol::call::CODE_HEADER;
use crate::protocol::call::DEADLINE_HEADER;
use crate::protocol::call::Executed;
use crate::protocol::call::LOAD_HEADER;
use crate::protocol::call::MAX_RESPONSE_BYTES;
use crate::protocol::call::ROUTE_HEADER;
use crate::protocol::call::RUN_HEADER;
use crate::protocol::call::SERVICE_HEADER;
use crate::protocol::call::TARGET_HEADER;
use crate::protocol::call::VERSION_HEADER;
use crate::protocol::time::millis;
use crate::result_code::Failure;
use crate::result_code::ResultCode;
use crate::transport::headers;
use crate::transport::http_client::HttpResponse;
use crate::transport::http_client::OutgoingRequest;
use crate::transport::http_client::SendFailure;

/// Path of forwarded calls on the node port.
pub const CALL_PATH: &str = "/peer/call";
/// Difference between the timeouts of the entry node and the serving node; at most a quarter of the
/// attempt's timeout. If the entry node timed out first, it would close the connection and thereby
/// cancel the call at the serving node, which would then neither count the call as evidence against
/// the version nor retire its unresponsive connections. The network delay between regions is 8 ms,
/// and opening a connection takes another 16 ms.
const HOP_TIMEOUT_MARGIN: Duration = Duration::from_millis(40);
/// Headers that the authentication covers, in this order.
pub const AUTHENTICATED_HEADERS: [&str; 7] = [
    CALL_HEADER,
    DEADLINE_HEADER,
    ATTEMPTS_HEADER,
    ROUTE_HEADER,
    SERVICE_HEADER,
    VERSION_HEADER,
    TARGET_HEADER,
];

/// Sends a call to the serving node.
pub async fn send(
    node: &Rc<Node>,
    addr: SocketAddr,
    req: ServeRequest,
) -> Result<ServeResponse, SendFailure> {
    let values = [
        format!("{:016x}", req.call),
        millis(serving_timeout(req.timeout)).to_string(),
        req.retry_budget.to_string(),
        req.route.as_str().to_owned(),
        req.service.as_str().to_owned(),
        req.version.as_str().to_owned(),
        format!("{} {}", req.method, req.target),
    ];
    let covered = [0, 1, 2, 3, 4, 5, 6].map(|i| (AUTHENTICATED_HEADERS[i], values[i].as_bytes()));
    let parts = RequestParts {
        method: "POST",
        path: CALL_PATH,
        headers: &covered,
        body: &req.body,
    };
    let auth = node.auth_header(&parts);
    let mut headers = req.headers;
    headers.push(auth);
    for (name, value) in AUTHENTICATED_HEADERS.into_iter().zip(values) {
        let value =
            HeaderValue::try_from(value).map_err(|e| SendFailure::NotConnected(e.to_string()))?;
        headers.push((HeaderName::from_static(name), value));
    }
    let outgoing = OutgoingRequest {
        method: Method::POST,
        target: PathAndQuery::from_static(CALL_PATH),
        headers,
        body: req.body,
        timeout: req.timeout,
        max_response_bytes: MAX_RESPONSE_BYTES,
    };
    let response = node.peers.send(addr, outgoing).await?;
    if headers::text(&response.headers, CALL_HEADER).and_then(parse_call) != Some(req.call) {
        node.peers.close_idle(addr);
        return Err(SendFailure::Broken(
            "the response belongs to another call".into(),
        ));
    }
    Ok(parse_response(response))
}

fn serving_timeout(timeout: Duration) -> Duration {
    timeout.saturating_sub(HOP_TIMEOUT_MARGIN.min(timeout / 4))
}

fn parse_call(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}

fn parse_response(response: HttpResponse) -> ServeResponse {
    let map = &response.headers;
    ServeResponse {
        status: response.status,
        headers: headers::end_to_end(map, 1),
        run: headers::text(map, RUN_HEADER).map_or(Executed::Unknown, Executed::from_header),
        code: headers::number(map, CODE_HEADER).and_then(ResultCode::from_number),
        load: headers::number(map, LOAD_HEADER).unwrap_or_default(),
        retry_budget_left: headers::number(map, ATTEMPTS_HEADER).unwrap_or_default(),
        body: response.body,
    }
}

/// Runs a call that another node forwarded. The caller has authenticated the request.
pub async fn receive(node: &Rc<Node>, req: &Request, body: Bytes) -> Response<BoxBody> {
    let serve = match parse_request(req.headers(), body) {
        Ok(serve) => serve,
        Err(failure) => {
            return Response::with_body(StatusCode::BAD_REQUEST, BoxBody::new(failure.to_string()));
        }
    };
    let call = serve.call;
    let response = serving::serve(node, serve).await;
    let mut http_response = Response::with_body(response.status, BoxBody::new(response.body));
    let map = http_response.headers_mut();
    for (name, value) in response.headers {
        map.append(name, value);
    }
    let text =
        |value: String| HeaderValue::try_from(value).expect("digits make a valid header value");
    map.insert(
        HeaderName::from_static(CALL_HEADER),
        text(format!("{call:016x}")),
    );
    map.insert(
        HeaderName::from_static(RUN_HEADER),
        HeaderValue::from_static(response.run.as_str()),
    );
    map.insert(
        HeaderName::from_static(LOAD_HEADER),
        HeaderValue::from(response.load),
    );
    map.insert(
        HeaderName::from_static(ATTEMPTS_HEADER),
        HeaderValue::from(u16::from(response.retry_budget_left)),
    );
    if let Some(code) = response.code {
        map.insert(
            HeaderName::from_static(CODE_HEADER),
            HeaderValue::from(code.number()),
        );
    }
    http_response
}

fn parse_request(map: &HeaderMap, body: Bytes) -> Result<ServeRequest, Failure> {
    let malformed = || {
        Failure::new(
            ResultCode::MessageMalformed,
            "a call header is missing or malformed",
        )
    };
    let text = |name| headers::text(map, name).ok_or_else(malformed);
    let (method, target) = text(TARGET_HEADER)?.split_once(' ').ok_or_else(malformed)?;
    Ok(ServeRequest {
        call: parse_call(text(CALL_HEADER)?).ok_or_else(malformed)?,
        route: text(ROUTE_HEADER)?.into(),
        service: text(SERVICE_HEADER)?.into(),
        version: text(VERSION_HEADER)?.into(),
        method: Method::from_bytes(method.as_bytes()).map_err(|_| malformed())?,
        target: PathAndQuery::try_from(target).map_err(|_| malformed())?,
        headers: headers::end_to_end(map, 3),
        body,
        timeout: Duration::from_millis(
            headers::number(map, DEADLINE_HEADER).ok_or_else(malformed)?,
        ),
        retry_budget: headers::number(map, ATTEMPTS_HEADER).ok_or_else(malformed)?,
    })
}
