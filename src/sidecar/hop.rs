//! Calls between nodes: the port of the serving node and the client of the entry node. See
//! `docs/platform.md`, "Between nodes".

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header::CONTENT_LENGTH;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use slog::info;
use slog::warn;

use crate::platform::requests;
use crate::protocol::call::Executed;
use crate::protocol::call::MAX_RESPONSE_BYTES;
use crate::protocol::hop::BackendTotals;
use crate::protocol::hop::HOP_REQUEST_HEADER;
use crate::protocol::hop::HOP_RESPONSE_HEADER;
use crate::protocol::hop::HopRequestHeader;
use crate::protocol::hop::HopResponseHeader;
use crate::protocol::hop::Load;
use crate::protocol::hop::ORIGIN_HEADER;
use crate::protocol::hop::RouteTotals;
use crate::protocol::name::RouteName;
use crate::protocol::time::millis;
use crate::result_code::ResultCode;
use crate::sidecar::Sidecar;
use crate::sidecar::body_gate::Transfer;
use crate::sidecar::leaves;
use crate::sidecar::peer_topics;
use crate::sidecar::relay_port;
use crate::sidecar::serving;
use crate::sidecar::serving::ServeCall;
use crate::sidecar::serving::ServeOutcome;
use crate::sidecar::usage_port;
use crate::transport::exchange::Exchange;
use crate::transport::exchange::ExchangeFailure;
use crate::transport::exchange::SendOptions;
use crate::transport::headers;
use crate::transport::http_client::HttpResponse;
use crate::transport::http_server;
use crate::transport::http_server::OwnedRequest;

/// Idle time after which a connection to another node is not reused.
const MAX_IDLE: Duration = Duration::from_secs(8);
/// [`MAX_IDLE`] for calls that are not idempotent.
const MAX_IDLE_NOT_IDEMPOTENT: Duration = Duration::from_secs(2);
/// Largest body of a call from another node, bytes. The entry node has already applied the limit of
/// the configuration, which the serving node may not have yet.
const MAX_HOP_BODY_BYTES: usize = 64 << 20;
/// Smallest body that is announced before it is sent, bytes. Below, the round trip costs more than the
/// body of a refused call.
pub const MIN_EXPECT_BYTES: usize = 16 << 10;
/// Header of a refusal with the time after which the caller should retry, milliseconds.
const RETRY_AFTER_HEADER: &str = "sw-come-back-ms";

/// Handles a call, a follow request or an entry of another node.
pub async fn handle(cx: Rc<Sidecar>, req: Request) -> Response<BoxBody> {
    handle_request(&cx, &mut OwnedRequest::new(req)).await
}

async fn handle_request(cx: &Rc<Sidecar>, req: &mut Request) -> Response<BoxBody> {
    if !req.headers().contains_key(HOP_REQUEST_HEADER) {
        match req.path() {
            relay_port::FOLLOW_PATH => return relay_port::serve(cx, req).await,
            leaves::ENTRY_PATH => return leaves::serve(cx, req).await,
            usage_port::USAGE_PATH => return usage_port::serve(cx, req).await,
            _ => {}
        }
    }
    let _open = OpenCall::new(cx);
    let transfer = req.extensions_mut().remove::<Transfer>();
    let arrived = transfer
        .as_ref()
        .map_or_else(|| cx.clock.now(), |transfer| transfer.arrived);
    let mut payload = req.take_payload();
    let head = headers::text(req.headers(), HOP_REQUEST_HEADER).and_then(HopRequestHeader::decode);
    let (Some(head), Some(target)) = (head, req.uri().path_and_query().cloned()) else {
        // The caller is not at fault, so its request is not answered with 400.
        let code = ResultCode::MessageMalformed;
        warn!(cx.log, "call from a node refused"; "code" => code.number(), "path" => req.path());
        return call_response(cx, None, ServeOutcome::refused(code));
    };
    if !cx.is_synchronized()
        && let Some(origin) = headers::number(req.headers(), ORIGIN_HEADER)
    {
        peer_topics::fetch_topics(cx, origin);
    }
    // Later, nobody waits for the response, and the connection may be cut without being closed.
    let time_left = (arrived + head.left).saturating_sub(cx.clock.now());
    let length = headers::number(req.headers(), CONTENT_LENGTH.as_str());
    let (limit, bodies) = (MAX_HOP_BODY_BYTES, &cx.bodies);
    let read = http_server::read_sized_body(&mut payload, length, limit, bodies, time_left);
    let (body, _held) = match read.await {
        Ok(body) => body,
        Err(failure) => {
            warn!(cx.log, "body of a call not read"; "code" => failure.code.number(), "why" => &failure.text,
                "route" => head.route.as_str());
            let outcome = ServeOutcome::refused(failure.code);
            return unread_response(cx, &head, outcome);
        }
    };
    if let Some(transfer) = transfer {
        transfer.finish();
    }
    if cx.stopping.get() {
        let outcome = ServeOutcome::refused(ResultCode::Draining);
        return call_response(cx, Some(&head.route), outcome);
    }
    let route = head.route.clone();
    let mut forwarded = headers::end_to_end(req.headers(), 4);
    forwarded.retain(|(name, _)| !requests::is_of_workspace(name));
    let call = ServeCall {
        head,
        method: req.method().clone(),
        target,
        headers: forwarded,
        body,
        attempt: requests::read_client_headers(req.headers()).attempt,
        arrived,
    };
    // Only the entry node knows the credential of a call.
    let may_send = Rc::new(|_: &Sidecar| true);
    let outcome = serving::serve(cx, call, None, &|| {}, may_send).await;
    call_response(cx, Some(&route), outcome)
}

/// Refuses a call whose body has not been received. The connection is closed, since the body may still
/// be sent.
pub fn refuse_unread(
    cx: &Sidecar,
    req: &Request,
    head: &HopRequestHeader,
    outcome: ServeOutcome,
) -> Response<BoxBody> {
    let attempt = requests::read_client_headers(req.headers()).attempt;
    serving::on_refusal(cx, attempt.as_ref(), head, &outcome);
    unread_response(cx, head, outcome)
}

/// Returns the response to a call whose body has not been read to its end. It closes the connection.
fn unread_response(
    cx: &Sidecar,
    head: &HopRequestHeader,
    outcome: ServeOutcome,
) -> Response<BoxBody> {
    let mut response = call_response(cx, Some(&head.route), outcome);
    http_server::close_after(&mut response);
    response
}

/// Guard that counts a call as open until it ends or is cancelled.
pub struct OpenCall<'a>(&'a Sidecar);

impl<'a> OpenCall<'a> {
    /// Counts a call as open.
    pub fn new(cx: &'a Sidecar) -> Self {
        cx.open_calls.set(cx.open_calls.get() + 1);
        Self(cx)
    }
}

impl Drop for OpenCall<'_> {
    fn drop(&mut self) {
        self.0.open_calls.set(self.0.open_calls.get() - 1);
    }
}

fn call_response(
    cx: &Sidecar,
    route: Option<&RouteName>,
    outcome: ServeOutcome,
) -> Response<BoxBody> {
    let (load, tally) = serving::load_report(cx);
    let (run, arrived, code) = match &outcome {
        ServeOutcome::Ran { .. } => (Executed::Yes, true, 0),
        ServeOutcome::Refused { code, arrived, .. } => (Executed::No, *arrived, code.number()),
        ServeOutcome::Unknown(code) => (Executed::Unknown, true, code.number()),
    };
    let run_ms = match &outcome {
        ServeOutcome::Ran { run_time, .. } => {
            u32::try_from(run_time.as_millis()).unwrap_or(u32::MAX)
        }
        _ => 0,
    };
    let mut response = match outcome {
        ServeOutcome::Ran { response, .. } => backend_response(response),
        ServeOutcome::Refused { retry_after, .. } => {
            let mut response = http_server::empty(StatusCode::SERVICE_UNAVAILABLE);
            let name = HeaderName::from_static(RETRY_AFTER_HEADER);
            response
                .headers_mut()
                .insert(name, millis(retry_after).into());
            response
        }
        ServeOutcome::Unknown(_) => http_server::empty(StatusCode::BAD_GATEWAY),
    };
    let end = HopResponseHeader {
        run,
        arrived,
        code,
        run_ms,
        load,
        tally,
        route_tallies: route.map_or_else(RouteTotals::default, |route| {
            serving::route_report(cx, route)
        }),
    };
    if let Ok(value) = HeaderValue::try_from(end.encode()) {
        let name = HeaderName::from_static(HOP_RESPONSE_HEADER);
        response.headers_mut().insert(name, value);
    }
    if cx.stopping.get() {
        http_server::close_after(&mut response);
    }
    response
}

/// Converts the response of a backend server into the response to the caller or entry node.
pub fn backend_response(received: HttpResponse) -> Response<BoxBody> {
    let mut response = Response::with_body(received.status, BoxBody::new(received.body));
    for (name, value) in &received.headers {
        if headers::is_end_to_end(name) {
            response.headers_mut().append(name.clone(), value.clone());
        }
    }
    response
}

/// Result of an attempt at another node.
pub struct HopResult {
    /// How the call ended.
    pub outcome: ServeOutcome,
    /// Whether the node could be reached.
    pub reached: bool,
    /// Load and results that the node reported.
    pub report: Option<(Load, BackendTotals)>,
    /// Results by route that the node reported.
    pub route_tallies: RouteTotals,
}

impl HopResult {
    /// Creates the result of an attempt in which the node reported nothing.
    fn without_report(outcome: ServeOutcome, reached: bool) -> Self {
        Self {
            outcome,
            reached,
            report: None,
            route_tallies: RouteTotals::default(),
        }
    }
}

/// Sends a call to the node at `addr`. An announced body is sent only if `check` still allows it when the node asks for
/// the body.
pub async fn send(
    cx: &Sidecar,
    addr: SocketAddr,
    call: &ServeCall,
    check: &dyn Fn() -> Result<(), ResultCode>,
) -> HopResult {
    if !call.head.is_sendable() {
        let code = ResultCode::NameNotSendable;
        info!(cx.log, "call not sent"; "to" => addr.to_string(), "code" => code.number(),
            "attempt" => serving::attempt_text(call.attempt.as_ref()));
        return HopResult::without_report(ServeOutcome::refused(code), true);
    }
    let mut headers = call.headers.clone();
    if let Ok(value) = HeaderValue::try_from(call.head.encode()) {
        headers.push((HeaderName::from_static(HOP_REQUEST_HEADER), value));
    }
    headers.push((HeaderName::from_static(ORIGIN_HEADER), cx.origin.clone()));
    let max_idle = if call.head.idempotent {
        MAX_IDLE
    } else {
        MAX_IDLE_NOT_IDEMPOTENT
    };
    let exchange = Exchange {
        addr,
        method: call.method.clone(),
        target: call.target.clone(),
        headers,
        body: call.body.clone(),
        max_idle,
        echo: None,
        expect_continue: call.body.len() >= MIN_EXPECT_BYTES,
        responding: None,
        max_response_bytes: MAX_RESPONSE_BYTES,
    };
    let options = SendOptions {
        may_send: &|| true,
        may_send_body: &|| check().is_ok(),
        time_left: Some(call.head.left),
        ..SendOptions::default()
    };
    match cx.pool.send_with(exchange, &options).await {
        Ok(response) => read_response(response),
        Err(failure) => {
            if let (ExchangeFailure::NotSent(_), Err(code)) = (&failure, check()) {
                info!(cx.log, "body not sent"; "to" => addr.to_string(), "code" => code.number(),
                    "attempt" => serving::attempt_text(call.attempt.as_ref()));
                return HopResult::without_report(ServeOutcome::refused(code), true);
            }
            if failure == ExchangeFailure::NoConnection {
                info!(cx.log, "call not sent"; "to" => addr.to_string(), "why" => failure.to_string(),
                    "code" => ResultCode::ClientLimit.number(),
                    "attempt" => serving::attempt_text(call.attempt.as_ref()));
                let outcome = ServeOutcome::refused(ResultCode::ClientLimit);
                return HopResult::without_report(outcome, true);
            }
            cx.pool.close_idle(addr);
            warn!(cx.log, "call to a node failed"; "to" => addr.to_string(), "why" => failure.to_string(),
                "attempt" => serving::attempt_text(call.attempt.as_ref()));
            let reached = !matches!(failure, ExchangeFailure::NotSent(_));
            let outcome = if reached {
                ServeOutcome::Unknown(ResultCode::OutcomeUnknown)
            } else {
                ServeOutcome::refused(ResultCode::PeerUnreachable)
            };
            HopResult::without_report(outcome, reached)
        }
    }
}

fn read_response(response: HttpResponse) -> HopResult {
    let Some(end) = response
        .header(HOP_RESPONSE_HEADER)
        .and_then(HopResponseHeader::decode)
    else {
        let outcome = ServeOutcome::Unknown(ResultCode::InvalidResponse);
        return HopResult::without_report(outcome, true);
    };
    let code = ResultCode::from_number(end.code);
    let retry_after = headers::number(&response.headers, RETRY_AFTER_HEADER);
    let outcome = match end.run {
        Executed::Yes => ServeOutcome::Ran {
            response,
            run_time: Duration::from_millis(end.run_ms.into()),
        },
        Executed::No => ServeOutcome::Refused {
            code: code.unwrap_or(ResultCode::NoBackend),
            arrived: end.arrived,
            retry_after: retry_after.map_or(serving::NO_BACKEND_RETRY_AFTER, Duration::from_millis),
        },
        Executed::Unknown => ServeOutcome::Unknown(code.unwrap_or(ResultCode::OutcomeUnknown)),
    };
    HopResult {
        outcome,
        reached: true,
        report: Some((end.load, end.tally)),
        route_tallies: end.route_tallies,
    }
}
