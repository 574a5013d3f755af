//! Runs calls on the backend server beside this node. See `docs/design.md`, section 3.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_http::uri::PathAndQuery;
use actix_rt::net::TcpStream;
use bytes::Bytes;
use slog::info;
use tokio::sync::oneshot;

use crate::coordination::admission::Admit;
use crate::coordination::admission::CallState;
use crate::coordination::admission::Changes;
use crate::coordination::admission::Permit;
use crate::coordination::admission::RunEnd;
use crate::coordination::admission::Ticket;
use crate::coordination::quarantine::QuarantineAction;
use crate::coordination::quarantine::fingerprint;
use crate::coordination::rollout::CallOutcome;
use crate::coordination::rollout::CallSample;
use crate::coordination::rollout::CrashSample;
use crate::node::Node;
use crate::node::backend::BackendAnnouncement;
use crate::node::gossip_loop;
use crate::protocol::call::ATTEMPTS_HEADER;
use crate::protocol::call::CALL_HEADER;
use crate::protocol::call::DEADLINE_HEADER;
use crate::protocol::call::Executed;
use crate::protocol::call::MAX_RESPONSE_BYTES;
use crate::protocol::gossip::CrashReport;
use crate::protocol::name::RouteName;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;
use crate::protocol::time::millis;
use crate::result_code::ResultCode;
use crate::transport::headers;
use crate::transport::http_client::HttpResponse;
use crate::transport::http_client::OutgoingRequest;
use crate::transport::http_client::SendFailure;

/// Time within which a backend server that has not crashed accepts a connection.
const CRASH_PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay before the crash probe; a crashing process closes its listening socket within this time.
const CRASH_PROBE_DELAY: Duration = Duration::from_millis(50);

/// A call for the backend server beside this node.
#[derive(Debug)]
pub struct ServeRequest {
    /// Identity of the call.
    pub call: u64,
    /// Route that the entry node chose.
    pub route: RouteName,
    /// Service that the call is for.
    pub service: ServiceName,
    /// Version that the entry node chose.
    pub version: VersionName,
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub target: PathAndQuery,
    /// Headers that are forwarded to the backend server.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Complete body.
    pub body: Bytes,
    /// Time limit of the attempt.
    pub timeout: Duration,
    /// Retry budget that the backend server may spend on calls of its own.
    pub retry_budget: u8,
}

/// Result of a call on the backend server beside this node.
#[derive(Debug)]
pub struct ServeResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers that are forwarded to the caller.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Complete body.
    pub body: Bytes,
    /// Whether the call was executed.
    pub run: Executed,
    /// Result code if the node made the response itself.
    pub code: Option<ResultCode>,
    /// Number of calls that run or wait at this node.
    pub load: u32,
    /// Remainder of the retry budget that the backend server did not spend.
    pub retry_budget_left: u8,
}

/// Calls to other services that one running call made, summed up.
#[derive(Clone, Copy, Debug, Default)]
pub struct DownstreamUsage {
    /// Time spent in other services.
    pub time: Duration,
    /// Whether a call to another service failed.
    pub failed: bool,
    /// Retries made.
    pub retries: u8,
}

/// Calls that run on the backend server, sorted by id, each with its calls to other services.
#[derive(Debug, Default)]
pub struct RunningCalls(Vec<(u64, DownstreamUsage)>);

impl RunningCalls {
    fn begin(&mut self, call: u64) {
        let index = self.0.partition_point(|(id, _)| *id < call);
        self.0.insert(index, (call, DownstreamUsage::default()));
    }

    fn end(&mut self, call: u64) -> DownstreamUsage {
        match self.0.binary_search_by_key(&call, |(id, _)| *id) {
            Ok(index) => self.0.remove(index).1,
            Err(_) => DownstreamUsage::default(),
        }
    }

    /// Adds a call to another service to the totals of the running call that made it.
    pub fn add_downstream(&mut self, parent: u64, downstream: DownstreamUsage) {
        if let Ok(index) = self.0.binary_search_by_key(&parent, |(id, _)| *id) {
            let sum = &mut self.0[index].1;
            sum.time += downstream.time;
            sum.failed |= downstream.failed;
            sum.retries = sum.retries.saturating_add(downstream.retries);
        }
    }
}

type Admitted = Result<Permit, ResultCode>;

/// Calls that wait for a slot, sorted by ticket.
#[derive(Debug, Default)]
pub struct WaitingCalls(Vec<(Ticket, oneshot::Sender<Admitted>)>);

impl WaitingCalls {
    fn add(&mut self, ticket: Ticket) -> oneshot::Receiver<Admitted> {
        let (tx, rx) = oneshot::channel();
        let index = self.0.partition_point(|(other, _)| *other < ticket);
        self.0.insert(index, (ticket, tx));
        rx
    }

    fn take(&mut self, ticket: Ticket) -> Option<oneshot::Sender<Admitted>> {
        let index = self
            .0
            .binary_search_by_key(&ticket, |(other, _)| *other)
            .ok()?;
        Some(self.0.remove(index).1)
    }
}

impl Node {
    /// Passes the decisions of the admission control to the waiting calls.
    pub(super) fn apply_admission(&self, mut changes: Changes) {
        loop {
            let mut unclaimed = Vec::new();
            let mut state = self.state.borrow_mut();
            for (ticket, code) in changes.refuse {
                if let Some(tx) = state.waiting.take(ticket) {
                    let _ = tx.send(Err(code));
                }
            }
            for (ticket, permit) in changes.start {
                match state.waiting.take(ticket) {
                    Some(tx) => unclaimed.extend(tx.send(Ok(permit)).err().and_then(Result::ok)),
                    None => unclaimed.push(permit),
                }
            }
            // The slot of a call that was cancelled meanwhile goes to the next waiting call.
            let Some(permit) = unclaimed.pop() else {
                return;
            };
            let now = self.clock.now();
            changes = state.admission.finish(now, permit, RunEnd::Aborted);
            for permit in unclaimed {
                let more = state.admission.finish(now, permit, RunEnd::Aborted);
                changes.start.extend(more.start);
                changes.refuse.extend(more.refuse);
            }
        }
    }

    /// Refuses all waiting calls as not executed, and all new calls.
    pub(super) fn drain_admission(&self) {
        let mut state = self.state.borrow_mut();
        for ticket in state.admission.drain() {
            if let Some(tx) = state.waiting.take(ticket) {
                let _ = tx.send(Err(ResultCode::Draining));
            }
        }
    }

    /// Executes the actions that the quarantine returned.
    pub(super) fn apply_quarantine(self: &Rc<Self>, actions: Vec<QuarantineAction>) {
        let (now, wall) = (self.clock.now(), self.clock.wall());
        for action in actions {
            match action {
                QuarantineAction::Spread(report) => {
                    let gossip_actions = self
                        .state
                        .borrow_mut()
                        .gossip
                        .submit_crash(now, wall, report);
                    gossip_loop::apply_actions(self, gossip_actions);
                }
                QuarantineAction::Quarantined {
                    fingerprint,
                    code,
                    nodes,
                    since,
                    text,
                } => {
                    self.state
                        .borrow_mut()
                        .rollouts
                        .on_quarantined_request(fingerprint);
                    if nodes.contains(&self.settings.id) {
                        let identity = format!("quarantine/{fingerprint:016x}/{since}");
                        self.report(code, identity, format!("request {fingerprint:016x}"), text);
                    }
                }
            }
        }
    }
}

/// Releases the slot when the call ends or is cancelled.
struct SlotGuard {
    node: Rc<Node>,
    call: u64,
    permit: Option<Permit>,
}

impl SlotGuard {
    fn end(&mut self, end: RunEnd) -> DownstreamUsage {
        let Some(permit) = self.permit.take() else {
            return DownstreamUsage::default();
        };
        let now = self.node.clock.now();
        let mut state = self.node.state.borrow_mut();
        let downstream = state.running.end(self.call);
        let changes = state.admission.finish(now, permit, end);
        drop(state);
        self.node.apply_admission(changes);
        downstream
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.end(RunEnd::Aborted);
    }
}

/// Removes a waiting call from the queue when it is cancelled.
struct QueueGuard {
    node: Rc<Node>,
    ticket: Ticket,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        let mut state = self.node.state.borrow_mut();
        state.admission.cancel(self.ticket);
        state.waiting.take(self.ticket);
    }
}

/// Runs a call on the backend server, or refuses it as not executed.
pub async fn serve(node: &Rc<Node>, req: ServeRequest) -> ServeResponse {
    let mut call = CallState::new();
    let hash = fingerprint(
        req.method.as_str(),
        req.route.as_str(),
        req.target.as_str(),
        &req.body,
    );
    let backend = match find_backend(node, &req, hash) {
        Ok(backend) => backend,
        Err(code) => return refusal(node, &req, call.answer(Executed::No), code),
    };
    let permit = match admit(node, req.timeout).await {
        Ok(permit) => permit,
        Err(code) => return refusal(node, &req, call.answer(Executed::No), code),
    };
    let started = node.clock.now();
    node.state.borrow_mut().running.begin(req.call);
    let mut slot_guard = SlotGuard {
        node: node.clone(),
        call: req.call,
        permit: Some(permit),
    };
    let result = forward(node, &req, backend.addr).await;
    if let Some(permit) = &slot_guard.permit
        && !matches!(result, Err(SendFailure::NotConnected(_)))
    {
        call.forward(permit);
    }
    let latency = node.clock.since(started);
    node.metrics.backend_latency.record(latency);
    let downstream = slot_guard.end(run_end(&result));
    let ended = EndedCall {
        req: &req,
        backend: &backend,
        fingerprint: hash,
        latency,
        downstream,
    };
    record_result(node, &ended, &result);
    let retry_budget_left = req.retry_budget.saturating_sub(downstream.retries);
    build_response(node, &req, &mut call, result, retry_budget_left)
}

fn find_backend(
    node: &Node,
    req: &ServeRequest,
    fingerprint: u64,
) -> Result<BackendAnnouncement, ResultCode> {
    let state = node.state.borrow();
    if state
        .quarantine
        .is_quarantined(fingerprint, node.clock.wall())
    {
        return Err(ResultCode::RequestQuarantined);
    }
    let backend = state.backend.available().ok_or(ResultCode::NoBackend)?;
    if backend.service != req.service || backend.version != req.version {
        return Err(ResultCode::NoBackend);
    }
    Ok(backend.clone())
}

async fn admit(node: &Rc<Node>, timeout: Duration) -> Admitted {
    let now = node.clock.now();
    let (rx, ticket, wait) = {
        let mut state = node.state.borrow_mut();
        match state.admission.offer(now, now + timeout) {
            Admit::Run(permit) => return Ok(permit),
            Admit::Refuse(code) => return Err(code),
            Admit::Wait(ticket) => {
                let rx = state.waiting.add(ticket);
                let next = state.admission.next_tick(now).unwrap_or(now + timeout);
                (rx, ticket, next.saturating_sub(now))
            }
        }
    };
    let queue_guard = QueueGuard {
        node: node.clone(),
        ticket,
    };
    let ticking_node = node.clone();
    actix_rt::spawn(async move {
        actix_rt::time::sleep(wait + Duration::from_millis(1)).await;
        let changes = ticking_node
            .state
            .borrow_mut()
            .admission
            .tick(ticking_node.clock.now());
        ticking_node.apply_admission(changes);
    });
    let admitted = rx.await.unwrap_or(Err(ResultCode::Overloaded));
    drop(queue_guard);
    admitted
}

async fn forward(
    node: &Node,
    req: &ServeRequest,
    addr: SocketAddr,
) -> Result<HttpResponse, SendFailure> {
    let mut headers = Vec::with_capacity(req.headers.len() + 3);
    headers.extend(req.headers.iter().cloned());
    let number = |name, value: String| {
        let value = HeaderValue::try_from(value).expect("digits make a valid header value");
        (HeaderName::from_static(name), value)
    };
    headers.push(number(CALL_HEADER, format!("{:016x}", req.call)));
    headers.push(number(DEADLINE_HEADER, millis(req.timeout).to_string()));
    headers.push(number(ATTEMPTS_HEADER, req.retry_budget.to_string()));
    let outgoing = OutgoingRequest {
        method: req.method.clone(),
        target: req.target.clone(),
        headers,
        body: req.body.clone(),
        timeout: req.timeout,
        max_response_bytes: MAX_RESPONSE_BYTES,
    };
    node.backend_http.send(addr, outgoing).await
}

fn run_end(result: &Result<HttpResponse, SendFailure>) -> RunEnd {
    match result {
        Ok(response) if matches!(response.status.as_u16(), 429 | 503) => RunEnd::Shed,
        Ok(_) => RunEnd::Responded,
        Err(SendFailure::TimedOut) => RunEnd::TimedOut,
        Err(_) => RunEnd::Aborted,
    }
}

struct EndedCall<'a> {
    req: &'a ServeRequest,
    backend: &'a BackendAnnouncement,
    fingerprint: u64,
    latency: Duration,
    downstream: DownstreamUsage,
}

/// Records the result of a call as evidence about its version. If the connection broke, a probe
/// determines whether the backend server has crashed. A call that was never sent is not evidence.
fn record_result(
    node: &Rc<Node>,
    call: &EndedCall<'_>,
    result: &Result<HttpResponse, SendFailure>,
) {
    match result {
        Err(SendFailure::NotConnected(_)) => mark_down(node, "connection refused"),
        Err(SendFailure::Broken(_)) => {
            let req = call.req;
            let crash = SuspectedCrash {
                addr: call.backend.addr,
                service: req.service.clone(),
                version: req.version.clone(),
                route: req.route.clone(),
                fingerprint: call.fingerprint,
                backend_start: node.state.borrow().backend.starts(),
                latency: call.latency,
                downstream: call.downstream,
            };
            let node = node.clone();
            actix_rt::spawn(async move { probe_crash(&node, crash).await });
        }
        Ok(response) => {
            let wall = node.clock.wall();
            let mut state = node.state.borrow_mut();
            state.answered.on_answered(call.fingerprint);
            state.quarantine.on_answered(call.fingerprint, wall);
            drop(state);
            let failed = response.status.is_server_error();
            record_sample(
                node,
                &call.req.service,
                &call.req.version,
                &call.req.route,
                failed,
                call.latency,
                call.downstream,
            );
        }
        Err(_) => {
            record_sample(
                node,
                &call.req.service,
                &call.req.version,
                &call.req.route,
                true,
                call.latency,
                call.downstream,
            );
        }
    }
}

fn record_sample(
    node: &Node,
    service: &ServiceName,
    version: &VersionName,
    route: &RouteName,
    failed: bool,
    latency: Duration,
    downstream: DownstreamUsage,
) {
    let (now, wall) = (node.clock.now(), node.clock.wall());
    let mut state = node.state.borrow_mut();
    let cold_start_ms = state
        .store
        .current()
        .and_then(|s| s.service(service.as_str()).map(|s| s.cold_start_ms));
    let cold = state.backend.is_cold(
        now,
        Duration::from_millis(cold_start_ms.unwrap_or_default()),
    );
    let sample = CallSample {
        service: service.as_str(),
        version: version.as_str(),
        route,
        outcome: if failed {
            CallOutcome::Failure
        } else {
            CallOutcome::Success
        },
        latency,
        downstream: downstream.time.min(latency),
        downstream_failed: downstream.failed,
        cold,
    };
    state.rollouts.record_call(now, wall, &sample);
}

struct SuspectedCrash {
    addr: SocketAddr,
    service: ServiceName,
    version: VersionName,
    route: RouteName,
    fingerprint: u64,
    backend_start: u64,
    latency: Duration,
    downstream: DownstreamUsage,
}

async fn probe_crash(node: &Rc<Node>, crash: SuspectedCrash) {
    actix_rt::time::sleep(CRASH_PROBE_DELAY).await;
    let probe = actix_rt::time::timeout(CRASH_PROBE_TIMEOUT, TcpStream::connect(crash.addr)).await;
    if matches!(probe, Ok(Ok(_))) && node.state.borrow().backend.starts() == crash.backend_start {
        record_sample(
            node,
            &crash.service,
            &crash.version,
            &crash.route,
            true,
            crash.latency,
            crash.downstream,
        );
        return;
    }
    mark_down(node, "crashed");
    let (now, wall) = (node.clock.now(), node.clock.wall());
    let sample = CrashSample {
        service: crash.service.as_str(),
        version: crash.version.as_str(),
        route: &crash.route,
        fingerprint: crash.fingerprint,
        backend_start: crash.backend_start,
    };
    let report = CrashReport {
        fingerprint: crash.fingerprint,
        node: node.settings.id.clone(),
        backend_start: crash.backend_start,
        at: wall,
    };
    let mut state = node.state.borrow_mut();
    state.rollouts.record_crash(now, wall, &sample);
    if !state
        .answered
        .is_suspect(crash.fingerprint, crash.backend_start)
    {
        return;
    }
    let actions = state.quarantine.on_crash(&report, wall);
    drop(state);
    node.apply_quarantine(actions);
}

fn mark_down(node: &Rc<Node>, reason: &str) {
    let was_up = node.state.borrow_mut().backend.mark_down();
    if was_up {
        info!(node.log, "backend server is down"; "reason" => reason);
        gossip_loop::backend_changed(node);
    }
}

fn build_response(
    node: &Node,
    req: &ServeRequest,
    call: &mut CallState,
    result: Result<HttpResponse, SendFailure>,
    retry_budget_left: u8,
) -> ServeResponse {
    match result {
        Ok(response) => ServeResponse {
            status: response.status,
            headers: headers::end_to_end(&response.headers, 0),
            body: response.body,
            run: call.answer(Executed::Yes),
            code: None,
            load: node.state.borrow().admission.load(),
            retry_budget_left,
        },
        Err(SendFailure::NotConnected(_)) => {
            refusal(node, req, call.answer(Executed::No), ResultCode::NoBackend)
        }
        Err(SendFailure::TooLarge) => refusal(
            node,
            req,
            call.answer(Executed::Unknown),
            ResultCode::BodyTooLarge,
        ),
        Err(SendFailure::TimedOut | SendFailure::Broken(_)) => refusal(
            node,
            req,
            call.answer(Executed::Unknown),
            ResultCode::OutcomeUnknown,
        ),
    }
}

fn refusal(node: &Node, req: &ServeRequest, run: Executed, code: ResultCode) -> ServeResponse {
    ServeResponse {
        status: StatusCode::SERVICE_UNAVAILABLE,
        headers: Vec::new(),
        body: Bytes::new(),
        run,
        code: Some(code),
        load: node.state.borrow().admission.load(),
        retry_budget_left: if run == Executed::No {
            req.retry_budget
        } else {
            0
        },
    }
}
