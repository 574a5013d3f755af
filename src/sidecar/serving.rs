//! Serving side of a call: admits calls to the local backend server, which only its own node can
//! reach, and runs them there. See `docs/platform.md`, "Admission".

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_http::uri::PathAndQuery;
use bytes::Bytes;
use slog::info;
use slog::warn;

use crate::coordination::domains::homes;
use crate::coordination::placement::WORK_TIME_LIFETIME;
use crate::coordination::placement::work_time_factor;
use crate::coordination::room::cold_start::ProbeReason;
use crate::coordination::slot_queue::Offer;
use crate::coordination::slot_queue::SlotQueue;
use crate::coordination::version_move::cancelled_percent;
use crate::platform::requests;
use crate::platform::requests::Execution;
use crate::protocol::call::MAX_RESPONSE_BYTES;
use crate::protocol::fleet::BackendReport;
use crate::protocol::hop::BackendTotals;
use crate::protocol::hop::HopRequestHeader;
use crate::protocol::hop::Load;
use crate::protocol::hop::RequestRate;
use crate::protocol::hop::RouteTotals;
use crate::protocol::name::RouteName;
use crate::protocol::time::millis;
use crate::result_code::ResultCode;
use crate::sidecar::Sidecar;
use crate::sidecar::SidecarState;
use crate::sidecar::admission::Admitted;
use crate::sidecar::crashes;
use crate::sidecar::health_probe;
use crate::sidecar::workspaces;
use crate::transport::exchange::Exchange;
use crate::transport::exchange::ExchangeFailure;
use crate::transport::exchange::SendOptions;
use crate::transport::exchange::Started;
use crate::transport::http_client::HttpResponse;

/// Idle time after which a connection to the backend server is not reused. Backend servers close
/// idle connections after some seconds, some of them without sending a FIN.
const MAX_IDLE: Duration = Duration::from_secs(4);
/// [`MAX_IDLE`] for calls that are not idempotent. They cannot be sent again if the backend server
/// closes the connection at the same moment.
const MAX_IDLE_NOT_IDEMPOTENT: Duration = Duration::from_millis(700);
/// Time that the node waits beyond the deadline it sends to the backend server, so that a response
/// sent at the deadline still arrives.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);
/// `retry-after` time if no backend server accepts the call.
pub const NO_BACKEND_RETRY_AFTER: Duration = Duration::from_millis(300);

/// `retry-after` time if a backend server refused the call although the node counted a free slot. An
/// early retry is likely to succeed and can still meet the caller's deadline.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(15);

/// A call for the local backend server.
#[derive(Clone, Debug)]
pub struct ServeCall {
    /// Routing decision and limits of the entry node.
    pub head: HopRequestHeader,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: PathAndQuery,
    /// Headers to forward; without those of the workspace, so that no log line can have a credential.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Whole body.
    pub body: Bytes,
    /// Identity of the client's attempt.
    pub attempt: Option<HeaderValue>,
    /// Time at which the call arrived at this node.
    pub arrived: Duration,
}

/// Result of a call at the serving node.
#[derive(Debug)]
pub enum ServeOutcome {
    /// The backend server ran the call and sealed the response.
    Ran {
        /// Response of the backend server.
        response: HttpResponse,
        /// Time between sending the call to the backend server and its complete response.
        run_time: Duration,
    },
    /// The call did not run and will not run.
    Refused {
        /// Reason of the refusal.
        code: ResultCode,
        /// Whether the call reached the backend server, which refused it.
        arrived: bool,
        /// Time after which the caller should retry.
        retry_after: Duration,
    },
    /// The call may have run.
    Unknown(ResultCode),
}

impl ServeOutcome {
    /// Returns a refusal by the node itself.
    #[must_use]
    pub fn refused(code: ResultCode) -> Self {
        Self::Refused {
            code,
            arrived: false,
            retry_after: NO_BACKEND_RETRY_AFTER,
        }
    }

    /// Returns a refusal of a call that crashes backend servers.
    #[must_use]
    pub fn quarantined(refused_for: Duration) -> Self {
        Self::Refused {
            code: ResultCode::RequestQuarantined,
            arrived: false,
            retry_after: refused_for,
        }
    }

    /// Returns a refusal because of load.
    #[must_use]
    pub fn overloaded(retry_after: Duration) -> Self {
        Self::Refused {
            code: ResultCode::Overloaded,
            arrived: false,
            retry_after,
        }
    }
}

/// Returns the current load and results, which are sent with each response to other nodes.
pub fn load_report(cx: &Sidecar) -> (Load, BackendTotals) {
    let state = cx.state.borrow();
    let now = cx.clock.now();
    let transfer_wait = cx.transfers.with(|queue| queue.backlog(now));
    let load = Load {
        is_leaving: state.backend.is_leaving(),
        transfer_wait_ms: u32::try_from(transfer_wait.as_millis()).unwrap_or(u32::MAX),
        work_time_percent: work_time_percent(&state, now),
        ..cx.slots.with(|queue| queue.load_at(now))
    };
    (load, state.tally)
}

/// Returns the time that work is expected to take on the instance of the backend server now; `None` if it has not
/// been reported of late. Other nodes take the figure for a new one, so it is weighted with its age before.
fn work_time_percent(state: &SidecarState, now: Duration) -> Option<u32> {
    let (percent, reported_at) = state.work_time?;
    let age = now.saturating_sub(reported_at);
    if age >= WORK_TIME_LIFETIME {
        return None;
    }
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the factor is bounded"
    )]
    let percent = (work_time_factor(Some(percent), age) * 100.0).round() as u32;
    Some(percent)
}

/// Returns the results of a call's route and of one other, by turns, which are sent with its response while a
/// rollout runs. So nodes whose callers do not use a route learn of its faults as well.
pub fn route_report(cx: &Sidecar, route: &RouteName) -> RouteTotals {
    let state = &mut *cx.state.borrow_mut();
    if !state.moves.is_active() {
        return RouteTotals::default();
    }
    state.route_turn = state.route_turn.wrapping_add(1);
    state.route_tallies.extract(route, state.route_turn)
}

/// Slot of a call, with what the end of the call, or its cancellation, reports.
struct SlotGuard {
    cx: Rc<Sidecar>,
    admitted: Admitted,
    /// Whether the result was reported to the circuit breaker.
    reported_to_breaker: bool,
    /// The call while it runs at the backend server.
    running: Option<RunningCall>,
}

/// A call at the backend server.
struct RunningCall {
    /// Set once the call has a connection. The wait before that is not the time of the backend server.
    started: Rc<Cell<Option<Started>>>,
    objective: Duration,
    route: RouteName,
    backend: BackendReport,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let mut state = self.cx.state.borrow_mut();
        if !self.reported_to_breaker {
            state.breaker.on_cancelled();
        }
        if let Some(running) = self.running.take()
            && let Some(started) = running.started.get()
        {
            let elapsed = started.at.elapsed();
            if let Some(percent) = cancelled_percent(elapsed, running.objective) {
                add_run(&mut state, &running.backend, &running.route, percent, false);
            }
        }
    }
}

/// Whether the credential of a call still allows to send it to the backend server. A call that is not idempotent runs
/// to its end in a task of its own, so the function outlives its caller.
pub type MaySend = Rc<dyn Fn(&Sidecar) -> bool>;

/// Runs a call, or refuses it without running it. `fingerprint` is that of the call if it has been computed. `on_start`
/// is called when the call has a slot, and `may_send` when it has a connection to the backend server.
pub async fn serve(
    cx: &Rc<Sidecar>,
    call: ServeCall,
    fingerprint: Option<u64>,
    on_start: &dyn Fn(),
    may_send: MaySend,
) -> ServeOutcome {
    if let Err(code) = usable_backend(cx, &call.head) {
        return refuse(cx, &call, ServeOutcome::refused(code));
    }
    // Hashing a large body blocks the process.
    let fingerprint = fingerprint.unwrap_or_else(|| crashes::fingerprint(&call));
    if let Some(refused_for) = crashes::refused_for(cx, fingerprint) {
        return refuse(cx, &call, ServeOutcome::quarantined(refused_for));
    }
    if let Some(limit) = call.head.limit {
        apply_reported_limit(cx, limit);
    }
    health_probe::check_report_age(cx);
    let slot = match admit(cx, &call).await {
        Ok(slot) => slot,
        Err(retry_after) => {
            return refuse(cx, &call, not_admitted(cx, &call.head, retry_after));
        }
    };
    // The backend server may have stopped while the call waited.
    let backend = match usable_backend(cx, &call.head) {
        Ok(backend) => backend,
        Err(code) => return refuse(cx, &call, ServeOutcome::refused(code)),
    };
    if let Some(refused_for) = crashes::refused_for(cx, fingerprint) {
        return refuse(cx, &call, ServeOutcome::quarantined(refused_for));
    }
    let idempotent = call.head.idempotent;
    let now = cx.clock.now();
    if !cx.state.borrow_mut().breaker.admit(now, idempotent) {
        return refuse(cx, &call, ServeOutcome::refused(ResultCode::NoBackend));
    }
    on_start();
    let run = run(cx.clone(), call, backend, slot, fingerprint, may_send);
    if idempotent {
        return run.await;
    }
    // A call that is not idempotent runs to its end even if the caller disconnects, since its effect
    // is still wanted.
    actix_rt::spawn(run)
        .await
        .unwrap_or(ServeOutcome::Unknown(ResultCode::OutcomeUnknown))
}

/// Returns the refusal of a call that got no slot or no transfer. Waiting calls are refused when the failure domain
/// is evacuated.
pub fn not_admitted(cx: &Sidecar, head: &HopRequestHeader, retry_after: Duration) -> ServeOutcome {
    match check_location(cx, head) {
        Ok(()) => ServeOutcome::overloaded(retry_after),
        Err(code) => ServeOutcome::refused(code),
    }
}

/// Uses the limit that another node last heard of, if this node has just started.
fn apply_reported_limit(cx: &Sidecar, limit: RequestRate) {
    let now = cx.clock.now();
    let changed = cx.slots.with(|queue| queue.on_reported_limit(now, limit));
    if changed {
        info!(cx.log, "limit of the backend server reported by a peer"; "limit_per_s" => limit.per_s());
    }
}

/// Applies what the backend server announces in a response. Responses of an earlier incarnation say
/// nothing about the current one.
fn apply_notices(cx: &Rc<Sidecar>, backend: &BackendReport, headers: &HeaderMap) {
    let notices = match requests::read_notices(headers) {
        Ok(notices) => notices,
        Err(found) => {
            warn!(cx.log, "limit of the backend server ignored"; "instance" => &*backend.instance, "found" => found);
            return;
        }
    };
    let now = cx.clock.now();
    let mut state = cx.state.borrow_mut();
    let current = state.backend.report();
    if !current.is_some_and(|report| report.is_same_incarnation(backend)) {
        return;
    }
    let limit_changed = cx.slots.with(|queue| queue.on_limit(now, notices.limit));
    // Also without a change, since the previous limit may be that of an earlier incarnation.
    let limit_per_s = notices.limit.map_or(0.0, RequestRate::per_s);
    cx.metrics.backend_limit.set(limit_per_s);
    if let Some(percent) = requests::read_work_time(headers) {
        state.work_time = Some((percent, now));
    }
    let is_leaving = notices.is_leaving && state.backend.on_leaving(backend);
    drop(state);
    if limit_changed {
        info!(cx.log, "limit of the backend server changed"; "instance" => &*backend.instance,
            "limit_per_s" => notices.limit.map(RequestRate::per_s));
        cx.slots.advance();
    }
    if is_leaving {
        info!(cx.log, "backend server leaves"; "instance" => &*backend.instance);
        cx.entry_changed.notify_one();
    }
}

fn refuse(cx: &Sidecar, call: &ServeCall, outcome: ServeOutcome) -> ServeOutcome {
    on_refusal(cx, call.attempt.as_ref(), &call.head, &outcome);
    outcome
}

/// Counts and logs a call that the admission refuses.
pub fn on_refusal(
    cx: &Sidecar,
    attempt: Option<&HeaderValue>,
    head: &HopRequestHeader,
    outcome: &ServeOutcome,
) {
    cx.metrics.gate_refusals.increment(1);
    let (load, _) = load_report(cx);
    let now = cx.clock.now();
    let cold = |queue: &mut SlotQueue| {
        let cold = queue.cold_start();
        (cold.per_s(now), cold.report_age(now))
    };
    let (cold_per_s, cold_report_age) = cx.slots.with(cold);
    if let ServeOutcome::Refused {
        code, retry_after, ..
    } = outcome
    {
        cx.metrics.count_location_refusal(*code);
        info!(cx.log, "call refused by admission"; "attempt" => attempt_text(attempt),
            "route" => head.route.as_str(), "code" => code.number(), "running" => load.running,
            "waiting" => load.waiting, "slots" => load.slots, "limit_per_s" => load.limit.map(RequestRate::per_s), "left_ms" => millis(head.left),
            "cold_per_s" => cold_per_s, "cold_report_age_ms" => cold_report_age.map(millis),
            "transfer_wait_ms" => load.transfer_wait_ms, "come_back_ms" => millis(*retry_after));
    }
}

/// Returns the id of a client's attempt for the log.
pub fn attempt_text(attempt: Option<&HeaderValue>) -> &str {
    attempt
        .and_then(|value| value.to_str().ok())
        .unwrap_or("none")
}

/// Checks by this node's own view that its backend server may serve a call where it stands, so that an entry
/// node with an older configuration does no harm.
///
/// # Errors
/// The reason why it may not.
pub fn check_location(cx: &Sidecar, head: &HopRequestHeader) -> Result<(), ResultCode> {
    let state = cx.state.borrow();
    let table = state.table.as_ref();
    let route = table.and_then(|table| table.route(&head.route));
    let route_homes = route.map_or(&[][..], |route| &route.homes);
    let workspace_homes = workspaces::homes(table, head.workspace.as_ref());
    if !homes::allowed_regions(route_homes, workspace_homes).allows(&cx.settings.region) {
        return Err(ResultCode::OutsideHome);
    }
    if state.evacuations.contains(&cx.settings.failure_domain) {
        return Err(ResultCode::DomainEvacuated);
    }
    Ok(())
}

/// Returns the local backend server if it can run the call.
pub fn usable_backend(cx: &Sidecar, head: &HopRequestHeader) -> Result<BackendReport, ResultCode> {
    check_location(cx, head)?;
    workspaces::check_name(head.workspace.as_ref())?;
    let state = cx.state.borrow();
    let backend = state.backend.available(cx.clock.now());
    let backend = backend.ok_or(ResultCode::NoBackend)?;
    if backend.service != head.service || backend.version != head.version {
        return Err(ResultCode::NoBackend);
    }
    let plan = state.moves.plan(&head.service);
    if plan.is_some_and(|plan| plan.banned && plan.target == backend.version) {
        return Err(ResultCode::NoBackend);
    }
    Ok(backend.clone())
}

/// Returns the request of a call for a slot.
pub fn slot_offer(cx: &Sidecar, head: &HopRequestHeader, arrived: Duration) -> Offer {
    let objective_at = if head.is_overdue {
        arrived
    } else {
        arrived + head.objective
    };
    Offer {
        route: head.route.clone(),
        workspace: workspaces::share(cx, head.workspace.as_ref()),
        workspace_priority: head.workspace_priority,
        priority: head.priority,
        objective: head.objective,
        objective_at,
        deadline: arrived + head.left,
        accepts_late: head.accepts_late,
        is_spillover: head.is_spillover,
    }
}

async fn admit(cx: &Rc<Sidecar>, call: &ServeCall) -> Result<SlotGuard, Duration> {
    let offer = slot_offer(cx, &call.head, call.arrived);
    let admitted = cx.slots.admit(&offer).await?;
    Ok(SlotGuard {
        cx: cx.clone(),
        admitted,
        reported_to_breaker: false,
        running: None,
    })
}

async fn run(
    cx: Rc<Sidecar>,
    call: ServeCall,
    backend: BackendReport,
    mut slot: SlotGuard,
    fingerprint: u64,
    may_send: MaySend,
) -> ServeOutcome {
    let waited = cx.clock.since(call.arrived);
    let left = call.head.left.saturating_sub(waited);
    let started = Rc::new(Cell::new(None));
    slot.running = Some(RunningCall {
        started: started.clone(),
        objective: call.head.objective,
        route: call.head.route.clone(),
        backend: backend.clone(),
    });
    let conditions = SendOptions {
        may_send: &|| may_send(&cx),
        time_left: Some(left),
        started: Some(&started),
        ..SendOptions::default()
    };
    let sent = forward(&cx, &call, &backend, conditions);
    let result = match actix_rt::time::timeout(left + DEADLINE_MARGIN, sent).await {
        Ok(result) => result,
        Err(_) => Err(None),
    };
    slot.running = None;
    let run_time = started.get().map(|started| started.at.elapsed());
    if let Some(run_time) = run_time {
        cx.metrics.backend_latency.record(run_time);
    }
    let run_time = run_time.unwrap_or_default();
    if let Err(Some(ExchangeFailure::Broken { .. })) = result {
        crashes::on_broken_call(&cx, &backend, fingerprint);
        health_probe::consider(&cx, ProbeReason::ConnectionBack);
    }
    let outcome = interpret_result(&cx, &call, &backend, result, run_time);
    if matches!(outcome, ServeOutcome::Ran { .. }) {
        crashes::on_answered(&cx, fingerprint);
        slot.admitted.run_time = Some(run_time);
        let work_time = work_time_percent(&cx.state.borrow(), cx.clock.now());
        let usual = run_time.div_f64(work_time_factor(work_time, Duration::ZERO));
        health_probe::on_run(&cx, &call.head.route, usual);
    }
    slot.reported_to_breaker = report_to_breaker(&cx, &outcome);
    drop(slot);
    record_run(&cx, &call, &backend, &outcome, run_time);
    outcome
}

/// Reports the result of a call to the circuit breaker. Returns whether the result counts there.
fn report_to_breaker(cx: &Sidecar, outcome: &ServeOutcome) -> bool {
    let is_complete = match outcome {
        ServeOutcome::Ran { .. } | ServeOutcome::Refused { arrived: true, .. } => true,
        ServeOutcome::Unknown(ResultCode::InvalidResponse) => false,
        ServeOutcome::Unknown(_) | ServeOutcome::Refused { .. } => return false,
    };
    let now = cx.clock.now();
    if cx.state.borrow_mut().breaker.on_end(now, is_complete) {
        warn!(cx.log, "circuit breaker opened"; "backend" => cx.settings.backend_addr.to_string());
    }
    true
}

/// Sends the call to the backend server. The caller maps a timeout to `Err(None)`.
async fn forward(
    cx: &Sidecar,
    call: &ServeCall,
    backend: &BackendReport,
    mut options: SendOptions<'_>,
) -> Result<HttpResponse, Option<ExchangeFailure>> {
    let left = options.time_left.unwrap_or(call.head.left);
    let mut headers = call.headers.clone();
    headers.extend(
        call.head
            .workspace
            .as_ref()
            .and_then(requests::workspace_header),
    );
    headers.extend(requests::backend_headers(left, &backend.instance));
    let max_idle = if call.head.idempotent {
        MAX_IDLE
    } else {
        MAX_IDLE_NOT_IDEMPOTENT
    };
    let began = cx.clock.now();
    let exchange = |max_idle| Exchange {
        addr: cx.settings.backend_addr,
        method: call.method.clone(),
        target: call.target.clone(),
        headers: headers.clone(),
        body: call.body.clone(),
        max_idle,
        echo: call
            .attempt
            .as_ref()
            .map(|id| (requests::attempt_header(), id)),
        expect_continue: false,
        responding: None,
        max_response_bytes: MAX_RESPONSE_BYTES,
    };
    let first = match cx.pool.send_with(exchange(max_idle), &options).await {
        // The pooled connection was closed while idle and nothing was sent on it, so a new one is tried.
        Err(failure @ ExchangeFailure::NotSent(_)) => failure,
        other => return other.map_err(Some),
    };
    let started = options.started.and_then(Cell::get);
    let is_unreachable = started.is_some_and(|started| !started.reused);
    options.time_left = Some(left.saturating_sub(cx.clock.since(began)));
    let sent = cx.pool.send_with(exchange(Duration::ZERO), &options);
    sent.await.map_err(|second| {
        // The own limit must not hide that the backend server did not accept a connection.
        let hides_first = is_unreachable && second == ExchangeFailure::NoConnection;
        Some(if hides_first { first } else { second })
    })
}

fn interpret_result(
    cx: &Rc<Sidecar>,
    call: &ServeCall,
    backend: &BackendReport,
    result: Result<HttpResponse, Option<ExchangeFailure>>,
    run_time: Duration,
) -> ServeOutcome {
    let attempt = attempt_text(call.attempt.as_ref());
    match result {
        Ok(response) => match requests::read_execution(response.status.as_u16(), &response.headers)
        {
            Execution::Ran => {
                apply_notices(cx, backend, &response.headers);
                ServeOutcome::Ran { response, run_time }
            }
            Execution::NotRun => {
                apply_notices(cx, backend, &response.headers);
                info!(cx.log, "call refused by the backend server"; "attempt" => attempt,
                    "instance" => &*backend.instance, "status" => response.status.as_u16());
                ServeOutcome::Refused {
                    code: ResultCode::Overloaded,
                    arrived: true,
                    retry_after: SHED_RETRY_AFTER,
                }
            }
            Execution::OtherInstance => {
                mark_backend_down(cx, "another incarnation listens at its address");
                ServeOutcome::refused(ResultCode::NoBackend)
            }
            Execution::Unsealed => {
                warn!(cx.log, "response without a seal"; "attempt" => attempt,
                    "instance" => &*backend.instance, "status" => response.status.as_u16());
                ServeOutcome::Unknown(ResultCode::InvalidResponse)
            }
        },
        // The backend server may be well.
        Err(Some(ExchangeFailure::NoConnection)) => {
            info!(cx.log, "call not sent"; "attempt" => attempt, "instance" => &*backend.instance,
                "why" => ExchangeFailure::NoConnection.to_string());
            ServeOutcome::overloaded(NO_BACKEND_RETRY_AFTER)
        }
        Err(Some(ExchangeFailure::Withdrawn)) => {
            info!(cx.log, "call not sent"; "attempt" => attempt, "instance" => &*backend.instance,
                "why" => "its credential was revoked while it waited for a connection");
            ServeOutcome::refused(ResultCode::CredentialUnknown)
        }
        Err(Some(ExchangeFailure::NotSent(why))) => {
            mark_backend_down(cx, &why);
            ServeOutcome::refused(ResultCode::NoBackend)
        }
        Err(failure) => {
            let (code, why) = match failure {
                Some(failure) => (ResultCode::InvalidResponse, failure.to_string()),
                None => (
                    ResultCode::DeadlineExceeded,
                    "no response before the deadline".to_owned(),
                ),
            };
            warn!(cx.log, "no complete response from the backend server"; "attempt" => attempt, "instance" => &*backend.instance,
                "code" => code.number(), "why" => why, "request" => crashes::text(crashes::fingerprint(call)));
            ServeOutcome::Unknown(code)
        }
    }
}

/// Marks the backend server as down, until its next heartbeat.
pub fn mark_backend_down(cx: &Rc<Sidecar>, why: &str) {
    if cx.state.borrow_mut().backend.mark_down() {
        let now = cx.clock.now();
        cx.slots.with(|queue| queue.cold_start_mut().on_lost(now));
        warn!(cx.log, "backend server down"; "why" => why);
        cx.entry_changed.notify_one();
    }
}

/// Adds the result of a call to the tally of the backend server. A successful run during its cold
/// start is left out, since a backend server is slow in its first seconds.
fn record_run(
    cx: &Sidecar,
    call: &ServeCall,
    backend: &BackendReport,
    outcome: &ServeOutcome,
    run_time: Duration,
) {
    let failed = match outcome {
        ServeOutcome::Ran { response, .. } => response.status.is_server_error(),
        ServeOutcome::Unknown(_) => true,
        ServeOutcome::Refused { .. } => return,
    };
    let objective = call.head.objective.as_secs_f64().max(0.001);
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the deadline bounds the latency"
    )]
    let percent = (run_time.as_secs_f64() / objective * 100.0) as u64;
    let mut state = cx.state.borrow_mut();
    add_run(&mut state, backend, &call.head.route, percent, failed);
}

/// Adds a run to the tally if the backend server is still the incarnation that ran it.
fn add_run(
    state: &mut SidecarState,
    backend: &BackendReport,
    route: &RouteName,
    percent: u64,
    failed: bool,
) {
    let current = state.backend.report();
    if current.is_none_or(|report| !report.is_same_incarnation(backend)) {
        return;
    }
    let is_cold = current.is_some_and(|report| report.cold_left_ms > 0);
    if is_cold && !failed {
        return;
    }
    let run = BackendTotals {
        runs: 1,
        failures: u64::from(failed),
        latency_percent: percent,
    };
    state.tally.add(&run);
    if state.moves.is_active()
        && let Some(tally) = state.route_tallies.entry(route)
    {
        tally.add(&run);
    }
}
