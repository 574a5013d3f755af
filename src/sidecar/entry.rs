//! Entry side of a call: routes a caller's request, selects nodes, makes attempts and returns the
//! response. See `docs/platform.md`, "Request path".

use std::cell::Cell;
use std::pin::Pin;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header::CONTENT_LENGTH;
use actix_http::header::CONTENT_TYPE;
use actix_http::header::HeaderValue;
use futures_util::future::Either;
use futures_util::future::select;
use rand::Rng;
use rand::RngExt;
use serde_json::json;
use slog::info;

use crate::coordination::attempts::AttemptFailure;
use crate::coordination::attempts::Attempts;
use crate::coordination::attempts::Choice;
use crate::coordination::attempts::NextStep;
use crate::coordination::attempts::Outcome;
use crate::coordination::placement::AttemptEnd;
use crate::coordination::placement::Feedback;
use crate::coordination::placement::Pick;
use crate::coordination::startup::hold::EarlyRequest;
use crate::coordination::workspaces::credentials::CallWorkspace;
use crate::platform::requests;
use crate::protocol::hop::BackendTotals;
use crate::protocol::hop::HopRequestHeader;
use crate::protocol::hop::Load;
use crate::protocol::hop::RouteTotals;
use crate::protocol::mesh::KeyHash;
use crate::protocol::mesh::MeshRoute;
use crate::protocol::name::NodeId;
use crate::protocol::name::RouteName;
use crate::protocol::name::ServiceName;
use crate::protocol::name::WorkspaceName;
use crate::protocol::time::millis;
use crate::result_code::ResultCode;
use crate::sidecar::Sidecar;
use crate::sidecar::crashes;
use crate::sidecar::decision;
use crate::sidecar::decision::RoutedCall;
use crate::sidecar::decision::chosen;
use crate::sidecar::first_config;
use crate::sidecar::hop;
use crate::sidecar::hop::HopResult;
use crate::sidecar::hop::OpenCall;
use crate::sidecar::serving;
use crate::sidecar::serving::ServeCall;
use crate::sidecar::serving::ServeOutcome;
use crate::sidecar::usage_port;
use crate::sidecar::workspace_metrics::WorkspaceEvent;
use crate::sidecar::workspaces;
use crate::transport::body_budget::HeldBytes;
use crate::transport::headers;
use crate::transport::http_client::HttpResponse;
use crate::transport::http_server;
use crate::transport::http_server::BODY_TIMEOUT;
use crate::transport::http_server::OwnedRequest;
use crate::transport::http_server::status_of;
use crate::transport::pipeline::MayOverlap;
use crate::transport::pipeline::TakeWithin;

/// Time that the entry node waits beyond the deadline it sends to the serving node, so that a
/// response sent at the deadline still arrives.
const DEADLINE_MARGIN: Duration = Duration::from_millis(60);
/// Largest random share added to `retry-after`, so that refused callers do not retry at the same time.
const RETRY_AFTER_JITTER: f64 = 0.5;

/// Handles a request of a caller.
pub async fn handle(cx: Rc<Sidecar>, req: Request) -> Response<BoxBody> {
    let mut req = OwnedRequest::new(req);
    let cx = &cx;
    let arrived = cx.clock.now();
    cx.metrics.calls.increment(1);
    let _open = OpenCall::new(cx);
    let admitted = match wait_for_config(cx, &req, arrived).await {
        Ok(()) => {
            let routed = route_request(cx, &mut req, arrived).await;
            routed.and_then(|call| take_token(cx, call))
        }
        Err(refusal) => Err(refusal),
    };
    let mut response = match admitted {
        Ok(call) => {
            http_server::release_fields(&mut req);
            let take_within = TakeWithin(call.route.timeout);
            let mut response = run_call(cx, call).await;
            response.extensions_mut().insert(take_within);
            response
        }
        Err(EntryRefusal {
            code,
            retry_after,
            hold_limit,
        }) => {
            // A refusal by a quota has a log line of its own.
            if code != ResultCode::QuotaExceeded {
                let attempt = requests::read_client_headers(req.headers()).attempt;
                info!(cx.log, "request refused"; "attempt" => serving::attempt_text(attempt.as_ref()),
                    "code" => code.number(), "path" => req.path(),
                    "version" => cx.table().map(|table| table.version()),
                    "view_age_ms" => cx.feed.view_age(cx.clock.now()).map(millis),
                    "hold_limit_ms" => hold_limit.map(millis), "took_ms" => millis(cx.clock.since(arrived)));
            }
            cx.metrics.refusals.increment(1);
            error_response(cx, status_of(code), code, Some(retry_after))
        }
    };
    cx.metrics.call_latency.record(cx.clock.since(arrived));
    if cx.stopping.get() {
        http_server::close_after(&mut response);
    }
    response
}

/// Returns the function that decides whether a pipelined request starts before the ones before it are
/// answered: only if its route is idempotent.
pub fn may_overlap(cx: &Rc<Sidecar>) -> MayOverlap {
    let cx = cx.clone();
    Rc::new(move |req| {
        let table = cx.table();
        let route = table
            .as_ref()
            .and_then(|table| table.find(headers::host(req.headers()), req.path()));
        route.is_some_and(|route| route.idempotent)
    })
}

/// A routed request of a caller.
struct EntryCall {
    /// Route in the configuration that was in force when the call arrived.
    route: Rc<MeshRoute>,
    serve: ServeCall,
    /// Memory of the body.
    _held: HeldBytes,
    deadline: Duration,
    /// Hash that repetitions of the request share.
    fingerprint: u64,
    /// Hash of the credential, which stays at this node.
    credential: Option<KeyHash>,
    /// Whether it has taken a token from the quota of its workspace.
    has_token: bool,
}

impl EntryCall {
    fn routed(&self) -> RoutedCall<'_> {
        RoutedCall {
            route: &self.route,
            service: &self.serve.head.service,
            request_bytes: self.serve.body.len(),
        }
    }
}

/// Refusal of a request before its first attempt.
pub struct EntryRefusal {
    /// Reason.
    pub code: ResultCode,
    /// Time after which the caller may repeat it.
    pub retry_after: Duration,
    /// Time for which it was to be held at most, if it was held for the first configuration.
    pub hold_limit: Option<Duration>,
}

impl From<ResultCode> for EntryRefusal {
    fn from(code: ResultCode) -> Self {
        Self {
            code,
            retry_after: serving::NO_BACKEND_RETRY_AFTER,
            hold_limit: None,
        }
    }
}

/// Holds a request while the process waits for its first configuration.
///
/// # Errors
/// There is none, and the request is held no longer.
async fn wait_for_config(
    cx: &Rc<Sidecar>,
    req: &Request,
    arrived: Duration,
) -> Result<(), EntryRefusal> {
    if cx.is_synchronized() {
        return Ok(());
    }
    let request = EarlyRequest {
        arrived,
        time_left: requests::read_client_headers(req.headers()).time_left,
    };
    first_config::wait(cx, &request).await
}

async fn route_request(
    cx: &Rc<Sidecar>,
    req: &mut Request,
    arrived: Duration,
) -> Result<EntryCall, EntryRefusal> {
    let table = cx.table();
    let limits = table.as_ref().map(|table| table.limits());
    let limit = limits.unwrap_or_default().body_bytes;
    let mut payload = req.take_payload();
    let caller = requests::read_client_headers(req.headers());
    let route =
        decision::find_route(table.as_ref(), headers::host(req.headers()), req.path()).cloned();
    let credential = requests::credential(req.headers());
    let workspace = match &route {
        // Without the body, which may be large. The connection is closed if the rest of it still arrives.
        Ok(route) => Some(workspaces::authorize(cx, route, credential)?),
        Err(_) => None,
    };
    let name = workspace
        .as_ref()
        .and_then(|workspace| workspace.name.as_ref());
    let _token = match name {
        Some(name) => {
            let attempt = serving::attempt_text(caller.attempt.as_ref());
            let reserved = usage_port::reserve(cx, name, attempt);
            reserved.map_err(|retry_after| refused_by_quota(cx, name, retry_after))?
        }
        None => None,
    };
    let refused = |code| {
        cx.metrics.workspaces.count(name, WorkspaceEvent::Refused);
        code
    };
    let time_limit = route
        .as_ref()
        .map_or(BODY_TIMEOUT, |route| route.timeout)
        .min(caller.time_left.unwrap_or(Duration::MAX));
    let body_time = time_limit.saturating_sub(cx.clock.since(arrived));
    if body_time.is_zero() && !time_limit.is_zero() {
        // It was held for the first configuration, by which its route allows less time.
        return Err(refused(ResultCode::NotReady).into());
    }
    let length = headers::number(req.headers(), CONTENT_LENGTH.as_str());
    let (body, held) =
        http_server::read_sized_body(&mut payload, length, limit, &cx.bodies, body_time)
            .await
            .map_err(|failure| refused(failure.code))?;
    let route = route?;
    let target = req
        .uri()
        .path_and_query()
        .ok_or(ResultCode::BadRequest)?
        .clone();
    let time_limit = decision::time_limit(cx.stop_plan.borrow().as_ref(), arrived, time_limit)
        .map_err(refused)?;
    let mut forwarded_headers = headers::end_to_end(req.headers(), 5);
    forwarded_headers.retain(|(name, _)| !requests::is_set_by_node(name));
    forwarded_headers.push(requests::caller_header(&cx.service_header));
    let (service, is_overdue) = {
        let mut state = cx.state.borrow_mut();
        let chosen = state.decision().choose_service(&route, caller.time_left);
        state.quota.on_request(arrived, &chosen.0);
        chosen
    };
    let serve = ServeCall {
        head: HopRequestHeader {
            route: route.name.clone(),
            service,
            version: "".into(),
            idempotent: route.idempotent,
            accepts_late: false,
            priority: route.priority,
            objective: route.objective,
            left: time_limit,
            is_overdue,
            limit: None,
            // Set again for each attempt, by the configuration in force then.
            workspace_priority: workspace.as_ref().map_or(0, |workspace| workspace.priority),
            workspace: workspace.and_then(|workspace| workspace.name),
            is_spillover: false,
        },
        method: req.method().clone(),
        target,
        headers: forwarded_headers,
        body,
        attempt: caller.attempt,
        arrived,
    };
    Ok(EntryCall {
        route,
        fingerprint: crashes::fingerprint(&serve),
        credential,
        has_token: false,
        serve,
        _held: held,
        deadline: arrived + time_limit,
    })
}

/// Counts a request that is refused by the quota of its workspace.
fn refused_by_quota(
    cx: &Sidecar,
    workspace: &WorkspaceName,
    retry_after: Duration,
) -> EntryRefusal {
    let workspaces = &cx.metrics.workspaces;
    workspaces.count(Some(workspace), WorkspaceEvent::QuotaRefused);
    EntryRefusal {
        code: ResultCode::QuotaExceeded,
        retry_after,
        hold_limit: None,
    }
}

/// Takes a token from the quota of the call's workspace, if it has one.
///
/// # Errors
/// The quota is used up.
fn take_token(cx: &Sidecar, mut call: EntryCall) -> Result<EntryCall, EntryRefusal> {
    let Some(workspace) = &call.serve.head.workspace else {
        return Ok(call);
    };
    let attempt = serving::attempt_text(call.serve.attempt.as_ref());
    let has_token = usage_port::admit(cx, workspace, attempt)
        .map_err(|retry_after| refused_by_quota(cx, workspace, retry_after))?;
    let workspaces = &cx.metrics.workspaces;
    workspaces.count(Some(workspace), WorkspaceEvent::Admitted);
    call.has_token = has_token;
    Ok(call)
}

async fn run_call(cx: &Rc<Sidecar>, call: EntryCall) -> Response<BoxBody> {
    let is_overdue = call.serve.head.is_overdue;
    let limits = decision::limits(&call.route, call.serve.arrived, call.deadline, is_overdue);
    let mut attempts = Attempts::new(limits);
    let mut failed_response = None;
    let time_left = call.deadline.saturating_sub(cx.clock.now()) + DEADLINE_MARGIN;
    let all = make_attempts(cx, &call, &mut attempts, &mut failed_response);
    match actix_rt::time::timeout(time_left, all).await {
        Ok(Some(response)) => return served(cx, &call, response),
        Ok(None) => {}
        Err(_) => attempts.on_timeout(),
    }
    let outcome = attempts.outcome();
    if let (Outcome::FailureResponse, Some(response)) = (outcome, failed_response) {
        log_failed_call(cx, &call, &attempts, None);
        return served(cx, &call, response);
    }
    let (code, retry_after) = match outcome {
        Outcome::Refused { code, retry_after } => {
            cx.metrics.refusals.increment(1);
            let workspace = call.serve.head.workspace.as_ref();
            cx.metrics
                .workspaces
                .count(workspace, WorkspaceEvent::Refused);
            if let (true, Some(workspace)) = (call.has_token, workspace) {
                usage_port::give_back(cx, workspace);
            }
            (
                code,
                Some(retry_after.unwrap_or(serving::NO_BACKEND_RETRY_AFTER)),
            )
        }
        Outcome::Unknown(code) => {
            cx.metrics.unknown_outcomes.increment(1);
            (code, None)
        }
        Outcome::FailureResponse => (ResultCode::OutcomeUnknown, None),
    };
    if code == ResultCode::ClientLimit {
        cx.client_memory.count_refused();
    }
    log_failed_call(cx, &call, &attempts, Some(code));
    error_response(cx, status_of(code), code, retry_after)
}

/// Returns the response of a backend server to the caller.
fn served(cx: &Sidecar, call: &EntryCall, response: HttpResponse) -> Response<BoxBody> {
    let workspace = call.serve.head.workspace.as_ref();
    cx.metrics
        .workspaces
        .count(workspace, WorkspaceEvent::Served);
    hop::backend_response(response)
}

/// Makes attempts until one succeeds or no further one is allowed. `failed_response` receives the last
/// error response of a backend server.
async fn make_attempts(
    cx: &Rc<Sidecar>,
    call: &EntryCall,
    attempts: &mut Attempts,
    failed_response: &mut Option<HttpResponse>,
) -> Option<HttpResponse> {
    loop {
        let now = cx.clock.now();
        if let Some(refused_for) = crashes::refused_for(cx, call.fingerprint) {
            attempts.on_quarantined(refused_for);
            return None;
        }
        let workspace = authorize(cx, call, attempts)?;
        match attempts.next(now) {
            NextStep::Offer => {}
            NextStep::Retry if may_retry(cx, call, attempts, now) => {}
            NextStep::Retry | NextStep::Stop => return None,
        }
        let pick = pick(cx, call, &workspace, attempts, now);
        if pick.is_none() {
            check_exclusion(cx, call, &workspace, attempts, now);
        }
        let pick = match attempts.on_choice(now, pick.as_ref().map(chosen)) {
            Choice::Send => pick?,
            Choice::OfferAgain => continue,
            Choice::Stop => return None,
        };
        if attempts.tries() > 1 {
            cx.metrics.attempts_beyond_first.increment(1);
        }
        let planned = Planned { pick, workspace };
        let response =
            attempt_until_revoked(cx, call, attempts, failed_response, &planned, now).await;
        if response.is_some() {
            return response;
        }
        if let Some((node, reason)) = attempts.take_location_refusal() {
            // The node has a newer view than this one, which concerns its neighbours as well.
            let state = cx.state.borrow();
            let alike = state.placement.nodes_refusing_as(&node, reason);
            attempts.on_refused_alike(&alike);
        }
        if attempts.is_own_node_only() {
            let state = cx.state.borrow();
            let others = state.placement.nodes_besides(&cx.settings.id);
            attempts.on_refused_alike(&others);
        }
    }
}

/// Checks that the chosen node may still serve a call, by the configuration and the evacuations that are in force now.
///
/// # Errors
/// The reason why it may not.
fn check_pick(cx: &Sidecar, call: &EntryCall, planned: &Planned) -> Result<(), ResultCode> {
    let state = cx.state.borrow();
    let Some(entry) = state.placement.entry(&planned.pick.node) else {
        return Ok(());
    };
    let table = state.table.as_ref();
    if !decision::regions(table, &call.route, &planned.workspace).allows(&entry.region) {
        return Err(ResultCode::OutsideHome);
    }
    if state.evacuations.contains(&entry.domain) {
        return Err(ResultCode::DomainEvacuated);
    }
    Ok(())
}

/// Records the reason why a call has no node, if home regions or evacuations exclude all.
fn check_exclusion(
    cx: &Sidecar,
    call: &EntryCall,
    workspace: &CallWorkspace,
    attempts: &mut Attempts,
    now: Duration,
) {
    let state = cx.state.borrow();
    let regions = decision::regions(state.table.as_ref(), &call.route, workspace);
    let service = &call.serve.head.service;
    let evacuations = &state.evacuations;
    let Some(code) = state.placement.exclusion(service, &regions, evacuations) else {
        return;
    };
    attempts.on_excluded(code);
    cx.metrics.count_location_refusal(code);
    info!(cx.log, "no node may serve the call"; "attempt" => serving::attempt_text(call.serve.attempt.as_ref()),
        "route" => call.route.name.as_str(), "code" => code.number(), "regions" => format!("{regions:?}"),
        "evacuated" => evacuations.count(),
        "version" => state.table.as_ref().map(|table| table.version()),
        "view_age_ms" => cx.feed.view_age(now).map(millis));
}

/// An attempt that is about to be made.
struct Planned {
    pick: Pick,
    workspace: CallWorkspace,
}

/// Judges the credential of a call again, by the configuration in force. `None` if no attempt may be made.
fn authorize(cx: &Sidecar, call: &EntryCall, attempts: &mut Attempts) -> Option<CallWorkspace> {
    match workspaces::authorize(cx, &call.route, call.credential) {
        Ok(workspace) => Some(workspace),
        Err(code) => {
            info!(cx.log, "no attempt with the credential of the call"; "attempt" => serving::attempt_text(call.serve.attempt.as_ref()),
                "route" => call.route.name.as_str(), "code" => code.number(), "version" => cx.table().map(|table| table.version()),
                "view_age_ms" => cx.feed.view_age(cx.clock.now()).map(millis), "tries" => attempts.tries());
            attempts.on_denied(code);
            None
        }
    }
}

/// Records the result of an attempt. Returns the response if the attempt succeeded, or if the call is
/// not idempotent and must not run on another backend server.
fn record_attempt(
    call: &EntryCall,
    attempts: &mut Attempts,
    failed_response: &mut Option<HttpResponse>,
    node: &NodeId,
    outcome: ServeOutcome,
) -> Option<HttpResponse> {
    let failure = match outcome {
        ServeOutcome::Ran { response, .. } => {
            if !response.status.is_server_error() || !call.route.idempotent {
                return Some(response);
            }
            *failed_response = Some(response);
            AttemptFailure::Failed
        }
        ServeOutcome::Refused {
            code,
            arrived,
            retry_after,
        } => AttemptFailure::Refused {
            code,
            arrived,
            retry_after,
        },
        ServeOutcome::Unknown(code) => AttemptFailure::Unknown(code),
    };
    attempts.on_failure(node, failure);
    None
}

/// Open attempts of a call, by what this node knows of them.
#[derive(Default)]
struct OpenAttempts {
    /// Number of attempts at other nodes, which may have started to run.
    remote: Cell<usize>,
    local: Cell<LocalAttempt>,
}

/// Progress of an attempt at this node. A call has at most one at a time.
#[derive(Clone, Copy, Default, Eq, PartialEq)]
enum LocalAttempt {
    #[default]
    None,
    Waiting,
    Running,
}

impl OpenAttempts {
    fn may_run(&self) -> bool {
        self.remote.get() > 0 || self.local.get() == LocalAttempt::Running
    }

    /// Whether an attempt may still wait for a slot.
    fn may_wait(&self) -> bool {
        self.remote.get() > 0 || self.local.get() == LocalAttempt::Waiting
    }
}

/// Makes an attempt like [`attempt_with_hedge`], and cancels it when the credential of the call is revoked. The
/// serving node cannot judge the credential. A cancelled exchange closes its connection, which takes a waiting call
/// out of the queue of the serving node. See `docs/design/workspaces.md`.
async fn attempt_until_revoked(
    cx: &Rc<Sidecar>,
    call: &EntryCall,
    attempts: &mut Attempts,
    failed_response: &mut Option<HttpResponse>,
    planned: &Planned,
    now: Duration,
) -> Option<HttpResponse> {
    let open = OpenAttempts::default();
    let may_run = {
        let attempt = attempt_with_hedge(cx, call, attempts, failed_response, planned, now, &open);
        let revoked = until_revoked(cx, call, &open);
        match select(pin!(attempt), pin!(revoked)).await {
            Either::Left((response, _)) => return response,
            Either::Right((may_run, _)) => may_run,
        }
    };
    if may_run {
        attempts.on_cancelled();
    }
    info!(cx.log, "attempt cancelled, its credential was revoked"; "attempt" => serving::attempt_text(call.serve.attempt.as_ref()),
        "route" => call.route.name.as_str(), "to" => planned.pick.node.as_str(), "may_have_run" => may_run,
        "version" => cx.table().map(|table| table.version()));
    None
}

/// Whether the credential of a call was revoked after the call was allowed.
fn is_revoked(cx: &Sidecar, route: &MeshRoute, credential: Option<KeyHash>) -> bool {
    // Without a recent view, nothing says that the credential was revoked.
    credential.is_some()
        && workspaces::authorize(cx, route, credential) == Err(ResultCode::CredentialUnknown)
}

/// Waits until the credential of a call is revoked while an attempt may still wait. A call that runs at this node
/// may finish. Returns whether an open attempt may have run.
async fn until_revoked(cx: &Sidecar, call: &EntryCall, open: &OpenAttempts) -> bool {
    if call.credential.is_none() {
        // A configuration that asks for one from now on does not concern calls that were allowed without.
        return std::future::pending().await;
    }
    loop {
        let changed = cx.config_changed.notified();
        // A configuration that comes into force while the view is old is judged again once the view is confirmed.
        let checked = cx.feed.view_checked.notified();
        if is_revoked(cx, &call.route, call.credential) && open.may_wait() {
            return open.may_run();
        }
        select(pin!(changed), pin!(checked)).await;
    }
}

/// Makes an attempt, and a hedged second one if the first takes long. Returns the first successful
/// response and cancels the other attempt.
async fn attempt_with_hedge(
    cx: &Rc<Sidecar>,
    call: &EntryCall,
    attempts: &mut Attempts,
    failed_response: &mut Option<HttpResponse>,
    planned: &Planned,
    now: Duration,
    open: &OpenAttempts,
) -> Option<HttpResponse> {
    let pick = &planned.pick;
    let accepts_late = attempts.accepts_late();
    let superseded = Cell::new(false);
    let first = make_attempt(cx, call, planned, accepts_late, now, &superseded, open);
    let mut first = pin!(first);
    let ended = match attempts.hedge_after(chosen(pick)) {
        Some(delay) => actix_rt::time::timeout(delay, &mut first).await.ok(),
        None => Some((&mut first).await),
    };
    if let Some(outcome) = ended {
        return record_attempt(call, attempts, failed_response, &pick.node, outcome);
    }
    let Some(second_planned) = plan_hedge(cx, call, attempts, &pick.node) else {
        let outcome = first.await;
        return record_attempt(call, attempts, failed_response, &pick.node, outcome);
    };
    let second_pick = &second_planned.pick;
    let now = cx.clock.now();
    let second = pin!(make_attempt(
        cx,
        call,
        &second_planned,
        accepts_late,
        now,
        &superseded,
        open
    ));
    let other: Pin<&mut dyn Future<Output = ServeOutcome>>;
    let (outcome, node, other_node) = match select(first, second).await {
        Either::Left((outcome, second)) => {
            other = second;
            (outcome, &pick.node, &second_pick.node)
        }
        Either::Right((outcome, first)) => {
            other = first;
            (outcome, &second_pick.node, &pick.node)
        }
    };
    // The result of the first attempt to end is recorded before waiting for the other one, which may
    // be cut off by the deadline.
    let response = record_attempt(call, attempts, failed_response, node, outcome);
    if response.is_some() {
        superseded.set(true);
        return response;
    }
    let outcome = other.await;
    record_attempt(call, attempts, failed_response, other_node, outcome)
}

/// Selects a node for a hedged attempt besides the one at `first`, if a hedge is likely to help and
/// the fleet's retry budget allows it.
fn plan_hedge(
    cx: &Sidecar,
    call: &EntryCall,
    attempts: &mut Attempts,
    first: &NodeId,
) -> Option<Planned> {
    let now = cx.clock.now();
    let workspace = authorize(cx, call, attempts)?;
    let mut tried = attempts.tried().to_vec();
    tried.push(first.clone());
    let pick = {
        let mut state = cx.state.borrow_mut();
        let mut decision = state.decision();
        decision.choose(now, &call.routed(), &workspace, &tried)?
    };
    if !attempts.on_hedge(now, chosen(&pick)) || !spend_retry_budget(cx, call, now) {
        return None;
    }
    cx.metrics.attempts_beyond_first.increment(1);
    info!(cx.log, "hedged attempt started"; "attempt" => serving::attempt_text(call.serve.attempt.as_ref()),
        "route" => call.route.name.as_str(), "beside" => first.as_str(), "to" => pick.node.as_str(),
        "after_ms" => millis(now.saturating_sub(call.serve.arrived)),
        "cost_ms" => format!("{:.1}", pick.cost_ms), "load" => format!("{:.1}", pick.load),
        "load_age_ms" => millis(pick.load_age));
    Some(Planned { pick, workspace })
}

/// Whether the fleet's retry budget allows sending a call that has reached a backend server to
/// another one.
fn may_retry(cx: &Sidecar, call: &EntryCall, attempts: &Attempts, now: Duration) -> bool {
    let allowed = spend_retry_budget(cx, call, now);
    if !allowed {
        info!(cx.log, "call not retried"; "attempt" => serving::attempt_text(call.serve.attempt.as_ref()),
            "code" => ResultCode::RetryBudgetExhausted.number(), "arrivals" => attempts.arrivals());
    }
    allowed
}

/// Takes one retry from the fleet's retry budget. Returns whether the budget allows it.
fn spend_retry_budget(cx: &Sidecar, call: &EntryCall, now: Duration) -> bool {
    let mut state = cx.state.borrow_mut();
    let nodes = state.placement.nodes();
    let urgent = !call.route.idempotent;
    let allowed = state
        .quota
        .take(now, &call.serve.head.service, nodes, urgent);
    if allowed {
        cx.metrics.retries.increment(1);
    }
    allowed
}

fn pick(
    cx: &Sidecar,
    call: &EntryCall,
    workspace: &CallWorkspace,
    attempts: &Attempts,
    now: Duration,
) -> Option<Pick> {
    let (load, tally) = serving::load_report(cx);
    let mut state = cx.state.borrow_mut();
    state.placement.on_report(now, &cx.settings.id, load, tally);
    let mut decision = state.decision();
    let pick = decision.choose(now, &call.routed(), workspace, attempts.tried())?;
    info!(cx.log, "call routed"; "attempt" => serving::attempt_text(call.serve.attempt.as_ref()),
        "route" => call.route.name.as_str(), "to" => pick.node.as_str(), "version" => pick.version.as_str(),
        "try" => attempts.tries() + 1, "accepts_late" => attempts.accepts_late(), "is_overdue" => call.serve.head.is_overdue,
        "cost_ms" => format!("{:.1}", pick.cost_ms), "load" => format!("{:.1}", pick.load), "load_age_ms" => millis(pick.load_age), "is_lost" => pick.is_unreachable,
        "work_time" => format!("{:.2}", pick.work_time),
        "is_spillover" => pick.is_spillover, "share" => format!("{:.2}", pick.spill_share));
    Some(pick)
}

/// Guard that reports the end of an attempt to the placement, also when the caller cancels it.
struct InFlight<'a> {
    cx: &'a Sidecar,
    began: Duration,
    /// Whether another attempt succeeded first.
    superseded: &'a Cell<bool>,
    pick: &'a Pick,
    run_time: Duration,
    end: AttemptEnd,
    report: Option<(Load, BackendTotals)>,
    route: &'a RouteName,
    service: &'a ServiceName,
    request_bytes: usize,
    /// Size of the response body.
    bytes: usize,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let now = self.cx.clock.now();
        let is_superseded = self.end == AttemptEnd::Cancelled && self.superseded.get();
        let (end, run_time) = if is_superseded {
            (AttemptEnd::Superseded, now.saturating_sub(self.began))
        } else {
            (self.end, self.run_time)
        };
        let feedback = Feedback {
            incarnation: &self.pick.incarnation,
            end,
            run: run_time,
            report: self.report,
            bytes: self.bytes,
        };
        let mut state = self.cx.state.borrow_mut();
        if self.pick.is_spillover {
            let elapsed = now.saturating_sub(self.began);
            state.placement.on_spillover_end(
                now,
                self.service,
                self.pick,
                &feedback,
                elapsed,
                self.request_bytes,
            );
            match end {
                AttemptEnd::Ran { .. } => self.cx.metrics.spillover_accepted.increment(1),
                AttemptEnd::Overloaded => self.cx.metrics.spillover_refused.increment(1),
                _ => {}
            }
        }
        state
            .placement
            .on_end(now, &self.pick.node, self.route, &feedback);
    }
}

async fn make_attempt(
    cx: &Rc<Sidecar>,
    call: &EntryCall,
    planned: &Planned,
    accepts_late: bool,
    now: Duration,
    superseded: &Cell<bool>,
    open: &OpenAttempts,
) -> ServeOutcome {
    let pick = &planned.pick;
    cx.state.borrow_mut().placement.on_start(&pick.node);
    if pick.is_spillover {
        let service = &call.serve.head.service;
        let mut state = cx.state.borrow_mut();
        if let Some(shares) = state.placement.spill_mut() {
            shares.on_start(now, service, &pick.domain);
        }
        cx.metrics.spillover_sent.increment(1);
    }
    let mut in_flight = InFlight {
        cx,
        began: now,
        superseded,
        pick,
        run_time: Duration::ZERO,
        end: AttemptEnd::Cancelled,
        report: None,
        route: &call.route.name,
        service: &call.serve.head.service,
        request_bytes: call.serve.body.len(),
        bytes: 0,
    };
    let mut serve = call.serve.clone();
    serve.head.version = pick.version.clone();
    serve.head.limit = pick.limit;
    serve.head.accepts_late = accepts_late;
    serve.head.is_spillover = pick.is_spillover;
    serve.head.workspace.clone_from(&planned.workspace.name);
    serve.head.workspace_priority = planned.workspace.priority;
    // The latency objective counts from the arrival at this node, so the serving node gets what is
    // left of it.
    let used = now.saturating_sub(call.serve.arrived);
    serve.head.objective = serve.head.objective.saturating_sub(used);
    serve.head.left = call.deadline.saturating_sub(now);
    serve.arrived = now;
    let result = if pick.node == cx.settings.id {
        open.local.set(LocalAttempt::Waiting);
        let on_start = || open.local.set(LocalAttempt::Running);
        let (route, credential) = (call.route.clone(), call.credential);
        let may_send = Rc::new(move |cx: &Sidecar| !is_revoked(cx, &route, credential));
        let outcome = serving::serve(cx, serve, Some(call.fingerprint), &on_start, may_send).await;
        open.local.set(LocalAttempt::None);
        HopResult {
            outcome,
            reached: true,
            report: Some(serving::load_report(cx)),
            // Added before each evaluation of the rollouts.
            route_tallies: RouteTotals::default(),
        }
    } else {
        let check = || check_pick(cx, call, planned);
        open.remote.set(open.remote.get() + 1);
        let result = hop::send(cx, pick.addr, &serve, &check).await;
        open.remote.set(open.remote.get() - 1);
        result
    };
    in_flight.end = attempt_end(&result);
    in_flight.report = result.report;
    for (route, tally) in result.route_tallies.iter() {
        let placement = &mut cx.state.borrow_mut().placement;
        placement.on_route_tally(&pick.node, route, *tally);
    }
    if let ServeOutcome::Ran { response, run_time } = &result.outcome {
        in_flight.run_time = *run_time;
        in_flight.bytes = response.body.len();
        crashes::on_answered(cx, call.fingerprint);
    }
    drop(in_flight);
    result.outcome
}

fn attempt_end(result: &HopResult) -> AttemptEnd {
    match &result.outcome {
        _ if !result.reached => AttemptEnd::Unreachable,
        ServeOutcome::Ran { response, .. } => AttemptEnd::Ran {
            failed: response.status.is_server_error(),
        },
        ServeOutcome::Refused { arrived: true, .. } => AttemptEnd::Shed,
        ServeOutcome::Refused {
            code: ResultCode::Overloaded,
            ..
        } => AttemptEnd::Overloaded,
        // The call or the own limit of connections is the reason, not the node.
        ServeOutcome::Refused {
            code:
                ResultCode::RequestQuarantined
                | ResultCode::OutsideHome
                | ResultCode::ClientLimit
                | ResultCode::CredentialUnknown
                | ResultCode::NameNotSendable,
            ..
        } => AttemptEnd::Cancelled,
        ServeOutcome::Refused { .. } => AttemptEnd::NoBackend,
        ServeOutcome::Unknown(_) => AttemptEnd::Incomplete,
    }
}

/// Logs a call without a successful response. Without a code, the error response of the backend
/// server is returned to the caller.
fn log_failed_call(cx: &Sidecar, call: &EntryCall, attempts: &Attempts, code: Option<ResultCode>) {
    info!(cx.log, "call failed"; "attempt" => serving::attempt_text(call.serve.attempt.as_ref()),
        "route" => call.route.name.as_str(), "code" => code.map(ResultCode::number),
        "last" => attempts.last().map(ResultCode::number), "may_have_run" => attempts.may_have_run(),
        "arrivals" => attempts.arrivals(), "tries" => attempts.tries(), "request" => crashes::text(call.fingerprint),
        "took_ms" => millis(cx.clock.since(call.serve.arrived)));
}

/// Returns the time after which a refused caller is told to retry.
pub fn spread_retry_after(
    status: StatusCode,
    retry_after: Option<Duration>,
    rng: &mut impl Rng,
) -> Option<Duration> {
    match (status, retry_after) {
        (StatusCode::SERVICE_UNAVAILABLE, Some(retry_after)) => {
            let spread = rng.random_range(0.0..RETRY_AFTER_JITTER);
            Some(retry_after.mul_f64(1.0 + spread))
        }
        // The time of a quota is exact.
        (StatusCode::TOO_MANY_REQUESTS, retry_after) => retry_after,
        _ => None,
    }
}

fn error_response(
    cx: &Sidecar,
    status: StatusCode,
    code: ResultCode,
    retry_after: Option<Duration>,
) -> Response<BoxBody> {
    let body = json!({ "code": code.number(), "error": code.text() });
    let mut response = Response::with_body(status, BoxBody::new(body.to_string()));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    let rng = &mut cx.state.borrow_mut().rng;
    if let Some(retry_after) = spread_retry_after(status, retry_after, rng) {
        let (name, value) = requests::retry_after(retry_after);
        response.headers_mut().insert(name, value);
    }
    response
}
