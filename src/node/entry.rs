//! Request port: routes callers' requests to a backend server of the right service and version.
//! See `docs/design.md`, section 3.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::Payload;
use actix_http::Request;
use actix_http::Response;
use actix_http::body::BoxBody;
use actix_http::header::CONTENT_TYPE;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use bytes::Bytes;
use futures_util::FutureExt;
use rand::Rng;
use rand::RngExt;
use serde_json::json;
use slog::info;

use crate::coordination::balancer::AttemptEnd;
use crate::coordination::balancer::Feedback;
use crate::coordination::balancer::Pick;
use crate::coordination::quarantine::fingerprint;
use crate::coordination::retry::AttemptResult;
use crate::coordination::retry::CallPlan;
use crate::coordination::retry::CallSpec;
use crate::coordination::retry::Next;
use crate::coordination::rollout::Shares;
use crate::node::Node;
use crate::node::NodeState;
use crate::node::hop;
use crate::node::keyed;
use crate::node::keyed::KeyedCall;
use crate::node::local_port;
use crate::node::serving;
use crate::node::serving::DownstreamUsage;
use crate::node::serving::ServeRequest;
use crate::node::serving::ServeResponse;
use crate::protocol::call::ATTEMPTS_HEADER;
use crate::protocol::call::CALL_HEADER;
use crate::protocol::call::CODE_HEADER;
use crate::protocol::call::DEADLINE_HEADER;
use crate::protocol::call::Executed;
use crate::protocol::call::KEY_HEADER;
use crate::protocol::call::MAX_BODY_BYTES;
use crate::protocol::call::RUN_HEADER;
use crate::protocol::document::Route;
use crate::protocol::name::NodeId;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;
use crate::protocol::time::WallMs;
use crate::result_code::ResultCode;
use crate::transport::headers;
use crate::transport::http_client::SendFailure;
use crate::transport::http_server;
use crate::transport::http_server::Handler;
use crate::transport::http_server::status_of;

/// Maximum length of an idempotency key, bytes.
const MAX_KEY_BYTES: usize = 256;

/// Returns the handler of the request port.
pub fn handler(node: &Rc<Node>) -> Handler {
    let node = node.clone();
    Rc::new(move |req| handle(node.clone(), req).boxed_local())
}

/// Counts a call as open until it ends or is cancelled, so that a graceful stop can wait for it.
struct OpenCallGuard(Rc<Node>);

impl OpenCallGuard {
    fn begin(node: &Rc<Node>) -> Self {
        node.open_calls.set(node.open_calls.get() + 1);
        Self(node.clone())
    }
}

impl Drop for OpenCallGuard {
    fn drop(&mut self) {
        self.0.open_calls.set(self.0.open_calls.get() - 1);
    }
}

/// A caller's request while the entry node processes it.
pub struct EntryCall {
    /// Identity of the call.
    pub call: u64,
    /// Route that the request matched.
    pub route: Route,
    /// HTTP method.
    pub method: actix_http::Method,
    /// Path and query.
    pub target: actix_http::uri::PathAndQuery,
    /// Headers that are forwarded to the backend server.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Complete body.
    pub body: Bytes,
    /// Hash of method, route, target and body; identifies the request in the quarantine.
    pub fingerprint: u64,
    /// Deadline of the call, as time since the start of the process.
    pub deadline: Duration,
    /// Retry budget from the caller's `sw-attempts` header.
    pub retry_budget: Option<u8>,
    /// Idempotency key, for routes that are not idempotent.
    pub key: Option<Arc<str>>,
}

/// Result of a call at the entry node.
pub enum CallResult {
    /// Response of a backend server.
    Responded(ServeResponse),
    /// Error response that the node makes itself.
    Failed(ResultCode, Executed),
}

async fn handle(node: Rc<Node>, mut req: Request) -> Response<BoxBody> {
    if req.path().starts_with(local_port::PREFIX) {
        return local_port::handle(&node, req).await;
    }
    let _open = OpenCallGuard::begin(&node);
    let started = node.clock.now();
    node.metrics.calls.increment(1);
    let mut payload = req.take_payload();
    let mut response = match accept(&node, &req, &mut payload).await {
        Ok(call) => run(&node, &req, call).await,
        Err(code) => error_response(code, Executed::No),
    };
    node.metrics.call_latency.record(node.clock.since(started));
    if node.stopping.get() {
        http_server::close_after(&mut response);
    }
    response
}

async fn accept(
    node: &Rc<Node>,
    req: &Request,
    payload: &mut Payload,
) -> Result<EntryCall, ResultCode> {
    let head = req.head();
    let body = http_server::read_body(payload, MAX_BODY_BYTES)
        .await
        .map_err(|failure| failure.code)?;
    if !node.state.borrow().ready {
        return Err(ResultCode::NotReady);
    }
    let snapshot = node.snapshot().ok_or(ResultCode::NotReady)?;
    let path = req.path();
    let route = snapshot.find_route(headers::host(&head.headers), head.method.as_str(), path);
    let route = route.ok_or(ResultCode::NoRoute)?.clone();
    let target = head
        .uri
        .path_and_query()
        .ok_or(ResultCode::BadRequest)?
        .clone();
    let hash = fingerprint(
        head.method.as_str(),
        route.name.as_str(),
        target.as_str(),
        &body,
    );
    if node
        .state
        .borrow()
        .quarantine
        .is_quarantined(hash, node.clock.wall())
    {
        return Err(ResultCode::RequestQuarantined);
    }
    let key = match headers::text(&head.headers, KEY_HEADER) {
        Some(key) if key.len() > MAX_KEY_BYTES => return Err(ResultCode::BadRequest),
        Some(key) if !route.idempotent => Some(Arc::from(key)),
        _ => None,
    };
    let time_limit_ms = headers::number(&head.headers, DEADLINE_HEADER)
        .unwrap_or(u64::MAX)
        .min(route.deadline_ms);
    Ok(EntryCall {
        call: node.state.borrow_mut().rng.next_u64(),
        method: head.method.clone(),
        target,
        headers: headers::end_to_end(&head.headers, 10),
        body,
        fingerprint: hash,
        deadline: node.clock.now() + Duration::from_millis(time_limit_ms),
        retry_budget: headers::number(&head.headers, ATTEMPTS_HEADER),
        key,
        route,
    })
}

async fn run(node: &Rc<Node>, req: &Request, call: EntryCall) -> Response<BoxBody> {
    let parent = headers::text(req.headers(), CALL_HEADER)
        .and_then(|text| u64::from_str_radix(text, 16).ok());
    let started = node.clock.now();
    let mut downstream = DownstreamUsage::default();
    let result = match &call.key {
        Some(key) => keyed::run(node, &call, key.clone(), &mut downstream).await,
        None => make_attempts(node, &call, None, &mut downstream).await,
    };
    if let Some(parent) = parent {
        downstream.time = node.clock.since(started);
        downstream.failed = match &result {
            CallResult::Responded(response) => response.status.is_server_error(),
            CallResult::Failed(..) => true,
        };
        node.state
            .borrow_mut()
            .running
            .add_downstream(parent, downstream);
    }
    match result {
        CallResult::Responded(response) => {
            let mut state = node.state.borrow_mut();
            state
                .quarantine
                .on_answered(call.fingerprint, node.clock.wall());
            drop(state);
            backend_response(response)
        }
        CallResult::Failed(code, run) => {
            info!(node.log, "call failed"; "call" => format!("{:016x}", call.call),
                "route" => call.route.name.as_str(), "code" => code.number(), "run" => run.as_str());
            match run {
                Executed::No => node.metrics.refusals.increment(1),
                Executed::Yes | Executed::Unknown => node.metrics.unknown_outcomes.increment(1),
            }
            error_response(code, run)
        }
    }
}

/// Makes attempts until the plan of the call ends it. For a call with an idempotency key, `keyed`
/// must permit each attempt.
pub async fn make_attempts(
    node: &Rc<Node>,
    call: &EntryCall,
    mut keyed: Option<&mut KeyedCall>,
    downstream: &mut DownstreamUsage,
) -> CallResult {
    let mut plan = CallPlan::new(CallSpec {
        idempotent: call.route.idempotent,
        deadline: call.deadline,
        attempt_timeout: Duration::from_millis(call.route.attempt_timeout_ms),
        attempts: call.retry_budget,
    });
    let mut tried: Vec<NodeId> = Vec::new();
    let mut next = plan.first(node.clock.now(), &mut node.state.borrow_mut().retry_tokens);
    let mut last_response = None;
    loop {
        let (delay, timeout, retry_budget) = match next {
            Next::Try {
                after,
                timeout,
                attempts_to_pass_on,
                reset_exclusions,
            } => {
                if reset_exclusions {
                    tried.clear();
                }
                (after, timeout, attempts_to_pass_on)
            }
            Next::Answer => match last_response {
                Some(response) => return CallResult::Responded(response),
                None => return CallResult::Failed(ResultCode::InvalidResponse, Executed::Unknown),
            },
            Next::Fail(code, run) => return CallResult::Failed(code, run),
        };
        if !delay.is_zero() {
            actix_rt::time::sleep(delay).await;
        }
        let Some((pick, version)) = pick(node, call, &tried) else {
            next = plan.no_candidate();
            continue;
        };
        if let Some(keyed) = keyed.as_deref_mut()
            && let Err((code, run)) = keyed.begin_attempt(node)
        {
            return CallResult::Failed(code, run);
        }
        let attempt = Attempt {
            pick,
            version,
            timeout,
            retry_budget,
        };
        let (result, response) = make_attempt(node, call, &attempt).await;
        if let Some(keyed) = keyed.as_deref_mut()
            && matches!(
                result,
                AttemptResult::Refused(_) | AttemptResult::ConnectFailed
            )
        {
            keyed.attempt_not_run();
        }
        tried.push(attempt.pick.node);
        last_response = response;
        let has_untried = has_untried_node(node, call, &attempt.version, &tried);
        next = plan_next(node, &mut plan, result, has_untried);
        if matches!(next, Next::Try { .. }) {
            node.metrics.retries.increment(1);
            downstream.retries = downstream.retries.saturating_add(1);
        }
    }
}

/// Returns true if the version has a node that this call has not tried yet.
fn has_untried_node(
    node: &Node,
    call: &EntryCall,
    version: &VersionName,
    tried: &[NodeId],
) -> bool {
    let state = node.state.borrow();
    state
        .balancer
        .has_untried(&call.route.service, version, tried)
}

fn plan_next(node: &Node, plan: &mut CallPlan, result: AttemptResult, has_untried: bool) -> Next {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    plan.on_result(
        now,
        &mut state.rng,
        &mut state.retry_tokens,
        result,
        has_untried,
    )
}

/// Chooses a version by the traffic shares in force, then a node of it. If the new version of a
/// rollout has no node left, the old version is used. The reverse would exceed the traffic share of
/// a version that is still being evaluated; see [`is_overdue`] for the exception.
fn pick(node: &Node, call: &EntryCall, tried: &[NodeId]) -> Option<(Pick, VersionName)> {
    let (now, wall) = (node.clock.now(), node.clock.wall());
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    let service = &call.route.service;
    let shares = state.rollouts.shares(service.as_str(), wall)?;
    let percent: u8 = state.rng.random_range(0..100);
    let first = shares.pick(percent)?.clone();
    let fallback = fallback(shares, &first);
    let overdue_target = rollout_target(shares).filter(|to| **to != first).cloned();
    let candidates = [Some(first), fallback, overdue_target];
    for (index, version) in candidates.into_iter().enumerate() {
        let Some(version) = version else {
            continue;
        };
        if index == 2 && !is_overdue(state, service, wall) {
            continue;
        }
        if let Some(pick) = state
            .balancer
            .pick(now, &mut state.rng, service, &version, tried)
        {
            info!(node.log, "call routed"; "call" => format!("{:016x}", call.call),
                "route" => call.route.name.as_str(), "service" => service.as_str(),
                "version" => version.as_str(), "node" => pick.node.as_str(),
                "attempt" => tried.len() + 1, "why" => pick.reason.as_str());
            return Some((pick, version));
        }
    }
    None
}

/// Returns the version to use if `first` has no node left: the old version of a rollout if `first`
/// is the new one; without a rollout, another version with a traffic share.
fn fallback(shares: Shares<'_>, first: &VersionName) -> Option<VersionName> {
    match shares {
        Shares::Split { from, to, .. } => (first == to).then(|| from.clone()),
        Shares::Fixed(all) => all
            .iter()
            .find(|v| v.share > 0 && v.name != *first)
            .map(|v| v.name.clone()),
    }
}

fn rollout_target(shares: Shares<'_>) -> Option<&VersionName> {
    match shares {
        Shares::Split { to, .. } => Some(to),
        Shares::Fixed(_) => None,
    }
}

/// Returns true if the rollout of a service is past its end time and was not rolled back. Its new
/// version is then used if the old one has no node left, whatever its traffic share: unlike
/// rollbacks, the progress of a rollout is not stored in the log, so that after a mass restart a
/// completed rollout starts again, and the backend servers of the old version may be gone.
fn is_overdue(state: &NodeState, service: &ServiceName, wall: WallMs) -> bool {
    let Some(snapshot) = state.store.current() else {
        return false;
    };
    let found = snapshot.service(service.as_str());
    let Some(rollout) = found.and_then(|s| s.rollout.as_ref()) else {
        return false;
    };
    let mut rollbacks = state.rollouts.rollbacks().into_iter();
    let rolled_back = rollbacks.any(|r| r.key.service == *service && r.key.to == rollout.to);
    wall >= rollout.finish_by_ms && !rolled_back
}

struct Attempt {
    pick: Pick,
    version: VersionName,
    timeout: Duration,
    retry_budget: u8,
}

/// Reports the end of an attempt to the balancer, also when the caller cancels the attempt.
struct AttemptGuard<'a> {
    node: &'a Rc<Node>,
    to: NodeId,
    started: Duration,
    feedback: Option<Feedback>,
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        let now = self.node.clock.now();
        let cancelled = Feedback {
            end: AttemptEnd::Cancelled,
            latency: now.saturating_sub(self.started),
            load: None,
        };
        let feedback = self.feedback.take().unwrap_or(cancelled);
        self.node
            .state
            .borrow_mut()
            .balancer
            .on_finish(now, &self.to, feedback);
    }
}

async fn make_attempt(
    node: &Rc<Node>,
    call: &EntryCall,
    attempt: &Attempt,
) -> (AttemptResult, Option<ServeResponse>) {
    let req = ServeRequest {
        call: call.call,
        route: call.route.name.clone(),
        service: call.route.service.clone(),
        version: attempt.version.clone(),
        method: call.method.clone(),
        target: call.target.clone(),
        headers: call.headers.clone(),
        body: call.body.clone(),
        timeout: attempt.timeout,
        retry_budget: attempt.retry_budget,
    };
    let started = node.clock.now();
    node.state
        .borrow_mut()
        .balancer
        .on_start(&attempt.pick.node);
    let mut attempt_guard = AttemptGuard {
        node,
        to: attempt.pick.node.clone(),
        started,
        feedback: None,
    };
    let result = if attempt.pick.node == node.settings.id {
        Ok(serving::serve(node, req).await)
    } else {
        hop::send(node, attempt.pick.addr, req).await
    };
    let attempt_result = classify(&result);
    attempt_guard.feedback = Some(Feedback {
        end: attempt_end(attempt_result),
        latency: node.clock.since(started),
        load: result.as_ref().ok().map(|response| response.load),
    });
    drop(attempt_guard);
    (attempt_result, result.ok())
}

fn classify(result: &Result<ServeResponse, SendFailure>) -> AttemptResult {
    match result {
        Ok(response) => match (response.run, response.code) {
            (Executed::No, code) => AttemptResult::Refused(code.unwrap_or(ResultCode::NoBackend)),
            (Executed::Yes, _) => AttemptResult::Responded {
                status: response.status.as_u16(),
                attempts_left: Some(response.retry_budget_left),
            },
            (Executed::Unknown, code) => {
                AttemptResult::Unknown(code.unwrap_or(ResultCode::OutcomeUnknown))
            }
        },
        Err(SendFailure::NotConnected(_)) => AttemptResult::ConnectFailed,
        Err(SendFailure::TimedOut) => AttemptResult::TimedOut,
        Err(SendFailure::Broken(_)) => AttemptResult::ConnectionDied,
        Err(SendFailure::TooLarge) => AttemptResult::Unknown(ResultCode::BodyTooLarge),
    }
}

fn attempt_end(result: AttemptResult) -> AttemptEnd {
    match result {
        // A backend server that sheds load is healthy and must not be ejected.
        AttemptResult::Refused(ResultCode::Overloaded)
        | AttemptResult::Responded {
            status: 429 | 503, ..
        } => AttemptEnd::Overloaded,
        AttemptResult::Refused(_) => AttemptEnd::Refused,
        AttemptResult::Responded { status, .. } if status < 500 => AttemptEnd::Succeeded,
        AttemptResult::TimedOut => AttemptEnd::TimedOut,
        AttemptResult::ConnectFailed => AttemptEnd::ConnectFailed,
        AttemptResult::Responded { .. }
        | AttemptResult::Unknown(_)
        | AttemptResult::ConnectionDied => AttemptEnd::Failed,
    }
}

fn backend_response(served: ServeResponse) -> Response<BoxBody> {
    let mut response = Response::with_body(served.status, BoxBody::new(served.body));
    for (name, value) in served.headers {
        response.headers_mut().append(name, value);
    }
    let run = HeaderValue::from_static(served.run.as_str());
    response
        .headers_mut()
        .insert(HeaderName::from_static(RUN_HEADER), run);
    response
}

/// Builds an error response of the node itself.
pub fn error_response(code: ResultCode, run: Executed) -> Response<BoxBody> {
    let body = json!({ "code": code.number(), "error": code.text(), "run": run.as_str() });
    let mut response = Response::with_body(status_of(code), BoxBody::new(body.to_string()));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(
        HeaderName::from_static(RUN_HEADER),
        HeaderValue::from_static(run.as_str()),
    );
    headers.insert(
        HeaderName::from_static(CODE_HEADER),
        HeaderValue::from(code.number()),
    );
    response
}
