//! Requests of callers: route, placement, attempts and the answer. See `docs/platform.md`,
//! "Request path".

use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header::CONTENT_TYPE;
use actix_http::header::HeaderValue;
use rand::RngExt;
use serde_json::json;
use slog::info;

use crate::coordination::placement::AttemptEnd;
use crate::coordination::placement::Feedback;
use crate::coordination::placement::Pick;
use crate::coordination::placement::Wanted;
use crate::platform::requests;
use crate::protocol::hop::HopHead;
use crate::protocol::hop::Load;
use crate::protocol::hop::Tally;
use crate::protocol::mesh::MeshRoute;
use crate::protocol::name::NodeId;
use crate::protocol::name::RouteName;
use crate::protocol::name::VersionName;
use crate::protocol::time::millis;
use crate::result_code::ResultCode;
use crate::sidecar::Sidecar;
use crate::sidecar::SidecarState;
use crate::sidecar::hop;
use crate::sidecar::hop::HopResult;
use crate::sidecar::hop::OpenCall;
use crate::sidecar::serving;
use crate::sidecar::serving::ServeCall;
use crate::sidecar::serving::ServeEnd;
use crate::state::routing_table;
use crate::transport::headers;
use crate::transport::http_client::HttpAnswer;
use crate::transport::http_server;
use crate::transport::http_server::status_of;

/// Time by which the entry node waits longer than it tells the serving node, so that an answer at
/// the deadline still arrives.
const DEADLINE_MARGIN: Duration = Duration::from_millis(60);
/// Least time for which another attempt is made.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(5);
/// Nodes that refuse a call for load before it is offered as one that accepts to be late.
const MAX_REFUSALS: usize = 3;
/// Attempts of one call, those at nodes that are gone included; after a loss of many nodes most of
/// the first choices are.
const MAX_TRIES: usize = 12;
/// Random part of the time after which callers are asked to come back, so that they do not return
/// together.
const RETURN_SPREAD: f64 = 0.5;
/// Largest body that is read before a configuration names a limit, bytes.
const DEFAULT_BODY_BYTES: usize = 1 << 20;

/// Answers a request of a caller.
pub async fn handle(cx: Rc<Sidecar>, mut req: Request) -> Response<BoxBody> {
    let cx = &cx;
    let arrived = cx.clock.now();
    cx.metrics.calls.increment(1);
    let _open = OpenCall::new(cx);
    let mut response = match accept(cx, &mut req, arrived).await {
        Ok(call) => run(cx, call).await,
        Err(code) => {
            let attempt = requests::read_caller(req.headers()).attempt;
            info!(cx.log, "request not accepted"; "attempt" => serving::attempt_text(attempt.as_ref()),
                "code" => code.number(), "path" => req.path());
            cx.metrics.refusals.increment(1);
            own_answer(cx, status_of(code), code, Some(serving::NO_BACKEND_RETURN))
        }
    };
    cx.metrics.call_latency.record(cx.clock.since(arrived));
    if cx.stopping.get() {
        http_server::close_after(&mut response);
    }
    response
}

/// A request on its way.
struct EntryCall {
    route: Rc<MeshRoute>,
    serve: ServeCall,
    deadline: Duration,
}

async fn accept(
    cx: &Rc<Sidecar>,
    req: &mut Request,
    arrived: Duration,
) -> Result<EntryCall, ResultCode> {
    let table = cx.table();
    let limit = table
        .as_ref()
        .map_or(DEFAULT_BODY_BYTES, |table| table.limits().body_bytes);
    let mut payload = req.take_payload();
    let body = http_server::read_body(&mut payload, limit)
        .await
        .map_err(|failure| failure.code)?;
    let table = table.ok_or(ResultCode::NotReady)?;
    let route = table.find(headers::host(req.headers()), req.path());
    let route = route.ok_or(ResultCode::NoRoute)?.clone();
    let target = req
        .uri()
        .path_and_query()
        .ok_or(ResultCode::BadRequest)?
        .clone();
    let caller = requests::read_caller(req.headers());
    let patience = caller.patience.unwrap_or(Duration::MAX).min(route.timeout);
    let mut passed_on = headers::end_to_end(req.headers(), 5);
    passed_on.retain(|(name, _)| !requests::is_set_by_node(name));
    passed_on.push(requests::caller(&cx.service_header));
    let service = {
        let mut state = cx.state.borrow_mut();
        let point = state.rng.random_range(0.0..1.0);
        let service = routing_table::choose_service(&route, point).clone();
        state.quota.on_request(arrived, &service);
        service
    };
    let serve = ServeCall {
        head: HopHead {
            route: route.name.clone(),
            service,
            version: "".into(),
            idempotent: route.idempotent,
            accepts_late: false,
            priority: route.priority,
            objective: route.objective,
            left: patience,
        },
        method: req.method().clone(),
        target,
        headers: passed_on,
        body,
        attempt: caller.attempt,
        arrived,
    };
    Ok(EntryCall {
        route,
        serve,
        deadline: arrived + patience,
    })
}

/// What is known after the attempts so far.
#[derive(Default)]
struct Progress {
    /// Nodes that are not offered the call again.
    tried: Vec<NodeId>,
    /// Attempts made.
    tries: usize,
    /// Nodes that refused the call for load.
    refusals: usize,
    /// Whether the call is offered as one that accepts to be late.
    accepts_late: bool,
    /// Backend servers that the call arrived at.
    arrivals: u8,
    /// Whether it may have run.
    may_have_run: bool,
    /// Result code of the last refusal or failure.
    last: Option<ResultCode>,
    /// Shortest time after which a node expects room.
    come_back: Option<Duration>,
    /// Answer of a backend server that failed.
    failed_answer: Option<HttpAnswer>,
}

impl Progress {
    /// Offers the call once more to the nodes that refused it, as one that accepts to be late.
    /// Returns whether that is new.
    fn accept_late(&mut self) -> bool {
        if self.accepts_late {
            return false;
        }
        self.accepts_late = true;
        self.refusals = 0;
        if self.arrivals == 0 {
            self.tried.clear();
        }
        true
    }
}

async fn run(cx: &Rc<Sidecar>, call: EntryCall) -> Response<BoxBody> {
    let mut progress = Progress::default();
    let time_left = call.deadline.saturating_sub(cx.clock.now()) + DEADLINE_MARGIN;
    let attempts = attempt_all(cx, &call, &mut progress);
    match actix_rt::time::timeout(time_left, attempts).await {
        Ok(Some(answer)) => hop::backend_response(answer),
        Ok(None) => give_up(cx, &call, &progress),
        Err(_) => {
            progress.may_have_run = true;
            progress.last = Some(ResultCode::DeadlineExceeded);
            give_up(cx, &call, &progress)
        }
    }
}

/// Makes attempts until one is answered or no other one is allowed.
async fn attempt_all(
    cx: &Rc<Sidecar>,
    call: &EntryCall,
    progress: &mut Progress,
) -> Option<HttpAnswer> {
    loop {
        let now = cx.clock.now();
        if call.deadline < now + MIN_ATTEMPT_TIME || progress.tries >= MAX_TRIES {
            return progress.failed_answer.take();
        }
        if progress.refusals >= MAX_REFUSALS && !progress.accept_late() {
            return progress.failed_answer.take();
        }
        if progress.arrivals > 0 && !may_repeat(cx, call, progress, now) {
            return progress.failed_answer.take();
        }
        let Some(pick) = pick(cx, call, progress, now) else {
            if progress.refusals > 0 && progress.accept_late() {
                continue;
            }
            progress.last = progress.last.or(Some(ResultCode::NoBackend));
            return progress.failed_answer.take();
        };
        // No node is expected to be in time, so that refusals would only cost time.
        let time_left = call
            .route
            .objective
            .saturating_sub(now.saturating_sub(call.serve.arrived));
        if !progress.accepts_late && pick.time_ms > time_left.as_secs_f64() * 1e3 {
            progress.accept_late();
        }
        if progress.tries > 0 {
            cx.metrics.attempts_beyond_first.increment(1);
        }
        progress.tries += 1;
        let end = make_attempt(cx, call, &pick, progress.accepts_late, now).await;
        progress.tried.push(pick.node);
        match end {
            ServeEnd::Ran { answer, .. }
                if answer.status.is_server_error() && call.route.idempotent =>
            {
                progress.arrivals += 1;
                progress.may_have_run = true;
                progress.failed_answer = Some(answer);
            }
            ServeEnd::Ran { answer, .. } => return Some(answer),
            ServeEnd::Refused {
                code,
                arrived,
                come_back,
            } => {
                progress.arrivals += u8::from(arrived);
                progress.refusals += usize::from(code == ResultCode::Overloaded);
                progress.last = Some(code);
                let shortest = progress.come_back.unwrap_or(come_back).min(come_back);
                progress.come_back = Some(shortest);
            }
            ServeEnd::Unknown(code) => {
                progress.arrivals += 1;
                progress.may_have_run = true;
                progress.last = Some(code);
                if !call.route.idempotent {
                    return None;
                }
            }
        }
    }
}

/// Whether a call that arrived at a backend server may go to another one.
fn may_repeat(cx: &Sidecar, call: &EntryCall, progress: &Progress, now: Duration) -> bool {
    if progress.arrivals >= call.route.attempts {
        return false;
    }
    let mut state = cx.state.borrow_mut();
    let nodes = state.placement.nodes();
    let urgent = !call.route.idempotent;
    let allowed = state
        .quota
        .take(now, &call.serve.head.service, nodes, urgent);
    drop(state);
    if allowed {
        cx.metrics.repeats.increment(1);
    } else {
        info!(cx.log, "not repeated"; "attempt" => serving::attempt_text(call.serve.attempt.as_ref()),
            "code" => ResultCode::RetryBudgetExhausted.number(), "arrivals" => progress.arrivals);
    }
    allowed
}

fn pick(cx: &Sidecar, call: &EntryCall, progress: &Progress, now: Duration) -> Option<Pick> {
    let (load, tally) = serving::report(cx);
    let mut state = cx.state.borrow_mut();
    state.placement.on_report(now, &cx.settings.id, load, tally);
    let pick = choose(&mut state, now, call, &progress.tried)?;
    info!(cx.log, "routed"; "attempt" => serving::attempt_text(call.serve.attempt.as_ref()),
        "route" => call.route.name.as_str(), "to" => pick.node.as_str(), "version" => pick.version.as_str(),
        "try" => progress.tries + 1, "accepts_late" => progress.accepts_late, "cost_ms" => format!("{:.1}", pick.cost_ms),
        "load" => format!("{:.1}", pick.load), "load_age_ms" => millis(pick.load_age));
    Some(pick)
}

/// Whether a backend server of a version beside a node may be used.
type Permits<'a> = &'a dyn Fn(&NodeId, &VersionName) -> bool;

/// Chooses the version by the share of the move, if there is one, then the node.
fn choose(
    state: &mut SidecarState,
    now: Duration,
    call: &EntryCall,
    tried: &[NodeId],
) -> Option<Pick> {
    let service = &call.serve.head.service;
    let Some(plan) = state.moves.plan(service) else {
        let permits = |_: &NodeId, _: &_| true;
        let wanted = wanted(call, tried, &permits);
        return state.placement.pick(now, &mut state.rng, &wanted);
    };
    let exposed = state
        .exposed
        .binary_search_by(|(name, _)| name.cmp(service));
    let exposed = exposed.map_or(&[][..], |index| &state.exposed[index].1);
    let wants_target = state.rng.random_range(0.0..1.0) < plan.share;
    let target = &plan.target;
    let is_exposed = |node: &NodeId| plan.share >= 1.0 || exposed.binary_search(node).is_ok();
    let new = |node: &NodeId, version: &_| version == target && is_exposed(node);
    let old = |_: &NodeId, version: &_| version != target;
    let any_new = |_: &NodeId, version: &_| version == target;
    let has_old = state
        .placement
        .has_any(service, |version| version != target);
    let order: [Option<Permits<'_>>; 2] = if wants_target {
        [Some(&new), Some(&old)]
    } else {
        // The new version takes the rest only if the old one is gone altogether.
        [
            Some(&old),
            (!plan.banned && !has_old).then_some(&any_new as Permits<'_>),
        ]
    };
    order.into_iter().flatten().find_map(|permits| {
        let wanted = wanted(call, tried, permits);
        state.placement.pick(now, &mut state.rng, &wanted)
    })
}

fn wanted<'a>(call: &'a EntryCall, tried: &'a [NodeId], permits: Permits<'a>) -> Wanted<'a> {
    Wanted {
        service: &call.serve.head.service,
        route: &call.route.name,
        objective: call.route.objective,
        idempotent: call.route.idempotent,
        tried,
        permits,
    }
}

/// Tells the placement that an attempt ended, also when the caller cancels it.
struct InFlight<'a> {
    cx: &'a Sidecar,
    node: &'a NodeId,
    run: Duration,
    end: AttemptEnd,
    report: Option<(Load, Tally)>,
    route: &'a RouteName,
    bytes: usize,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let now = self.cx.clock.now();
        let feedback = Feedback {
            end: self.end,
            run: self.run,
            report: self.report,
            bytes: self.bytes,
        };
        let mut state = self.cx.state.borrow_mut();
        state
            .placement
            .on_end(now, self.node, self.route, &feedback);
    }
}

async fn make_attempt(
    cx: &Rc<Sidecar>,
    call: &EntryCall,
    pick: &Pick,
    accepts_late: bool,
    now: Duration,
) -> ServeEnd {
    cx.state.borrow_mut().placement.on_start(&pick.node);
    let mut in_flight = InFlight {
        cx,
        node: &pick.node,
        run: Duration::ZERO,
        end: AttemptEnd::Cancelled,
        report: None,
        route: &call.route.name,
        bytes: 0,
    };
    let mut serve = call.serve.clone();
    serve.head.version = pick.version.clone();
    serve.head.accepts_late = accepts_late;
    // The objective counts from the arrival here, also at the next node.
    let used = now.saturating_sub(call.serve.arrived);
    serve.head.objective = serve.head.objective.saturating_sub(used);
    serve.head.left = call.deadline.saturating_sub(now);
    serve.arrived = now;
    let result = if pick.node == cx.settings.id {
        let end = serving::serve(cx, serve).await;
        HopResult {
            end,
            reached: true,
            report: Some(serving::report(cx)),
        }
    } else {
        hop::send(cx, pick.addr, &serve).await
    };
    in_flight.end = attempt_end(&result);
    in_flight.report = result.report;
    if let ServeEnd::Ran { answer, took } = &result.end {
        in_flight.run = *took;
        in_flight.bytes = answer.body.len();
    }
    drop(in_flight);
    result.end
}

fn attempt_end(result: &HopResult) -> AttemptEnd {
    match &result.end {
        _ if !result.reached => AttemptEnd::Unreachable,
        ServeEnd::Ran { answer, .. } => AttemptEnd::Ran {
            failed: answer.status.is_server_error(),
        },
        ServeEnd::Refused { arrived: true, .. } => AttemptEnd::Shed,
        ServeEnd::Refused {
            code: ResultCode::Overloaded,
            ..
        } => AttemptEnd::Overloaded,
        ServeEnd::Refused { .. } => AttemptEnd::NoBackend,
        ServeEnd::Unknown(_) => AttemptEnd::Broken,
    }
}

/// Ends a call without an answer of a backend server.
fn give_up(cx: &Sidecar, call: &EntryCall, progress: &Progress) -> Response<BoxBody> {
    let last = progress.last.unwrap_or(ResultCode::Overloaded);
    let (code, come_back) = if progress.may_have_run {
        cx.metrics.unknown_outcomes.increment(1);
        let timed_out = last == ResultCode::DeadlineExceeded;
        (
            if timed_out {
                last
            } else {
                ResultCode::OutcomeUnknown
            },
            None,
        )
    } else {
        cx.metrics.refusals.increment(1);
        let refusal = if last == ResultCode::DeadlineExceeded {
            ResultCode::Overloaded
        } else {
            last
        };
        (
            refusal,
            Some(progress.come_back.unwrap_or(serving::NO_BACKEND_RETURN)),
        )
    };
    info!(cx.log, "call failed"; "attempt" => serving::attempt_text(call.serve.attempt.as_ref()),
        "route" => call.route.name.as_str(), "code" => code.number(), "last" => last.number(),
        "may_have_run" => progress.may_have_run, "arrivals" => progress.arrivals,
        "tries" => progress.tries, "took_ms" => millis(cx.clock.since(call.serve.arrived)));
    own_answer(cx, status_of(code), code, come_back)
}

fn own_answer(
    cx: &Sidecar,
    status: StatusCode,
    code: ResultCode,
    come_back: Option<Duration>,
) -> Response<BoxBody> {
    let body = json!({ "code": code.number(), "error": code.text() });
    let mut response = Response::with_body(status, BoxBody::new(body.to_string()));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    if let (StatusCode::SERVICE_UNAVAILABLE, Some(come_back)) = (status, come_back) {
        let spread = cx.state.borrow_mut().rng.random_range(0.0..RETURN_SPREAD);
        let (name, value) = requests::retry_after(come_back.mul_f64(1.0 + spread));
        response.headers_mut().insert(name, value);
    }
    response
}
