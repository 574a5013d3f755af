//! Answers where a request would be sent now, and why, without sending it. See `docs/operators.md`, "Where a request
//! would go".
//!
//! The decisions are those of a call, made on copies of what they change, so that the next call finds the node as if
//! nobody had asked.

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

use crate::coordination::attempts::Attempts;
use crate::coordination::attempts::Choice;
use crate::coordination::attempts::NextStep;
use crate::coordination::attempts::Outcome;
use crate::coordination::domains::homes::AllowedRegions;
use crate::coordination::placement::Pick;
use crate::coordination::query_limit::MAX_OPEN;
use crate::coordination::query_limit::MAX_PER_S;
use crate::coordination::query_limit::QueryRefusal;
use crate::coordination::workspaces::quota::QuotaDecision;
use crate::coordination::workspaces::quota::QuotaRefusal;
use crate::platform::requests;
use crate::protocol::explain::ChosenView;
use crate::protocol::explain::ConfigView;
use crate::protocol::explain::ExplainRequest;
use crate::protocol::explain::Explanation;
use crate::protocol::explain::MAX_REQUEST_BYTES;
use crate::protocol::explain::RefusalView;
use crate::protocol::explain::RolloutView;
use crate::protocol::explain::RouteView;
use crate::protocol::explain::WorkspaceView;
use crate::protocol::mesh::KeyHash;
use crate::protocol::time::millis;
use crate::result_code::Failure;
use crate::result_code::ResultCode;
use crate::sidecar::Sidecar;
use crate::sidecar::decision;
use crate::sidecar::decision::Decision;
use crate::sidecar::decision::RoutedCall;
use crate::sidecar::entry;
use crate::sidecar::serving;
use crate::sidecar::usage_port;
use crate::sidecar::workspaces;
use crate::state::routing_table::RoutingTable;
use crate::transport::headers;
use crate::transport::http_server;
use crate::transport::http_server::BODY_TIMEOUT;
use crate::transport::http_server::status_of;

/// A refusal of the entry node, with the time after which to retry.
type Refusal = (ResultCode, Option<Duration>);

/// Query that counts as open until it is dropped, also if its client disconnects.
struct OpenQuery<'a>(&'a Sidecar);

impl Drop for OpenQuery<'_> {
    fn drop(&mut self) {
        self.0.queries.borrow_mut().end();
    }
}

/// Handles a question of an operator.
pub async fn handle(cx: Rc<Sidecar>, mut req: Request) -> Response<BoxBody> {
    let begun = cx.queries.borrow_mut().begin(cx.clock.now());
    if let Err(refusal) = begun {
        return refuse(refusal);
    }
    let _open = OpenQuery(&cx);
    let mut payload = req.take_payload();
    let length = headers::number(req.headers(), CONTENT_LENGTH.as_str());
    let reading = http_server::read_sized_body(
        &mut payload,
        length,
        MAX_REQUEST_BYTES,
        &cx.bodies,
        BODY_TIMEOUT,
    );
    let answer = match reading.await {
        Ok((body, _held)) => answer(&cx, &body),
        Err(failure) => Err(failure),
    };
    match answer {
        Ok(text) => respond(StatusCode::OK, "application/json", text),
        Err(failure) => respond(status_of(failure.code), "text/plain", failure.text),
    }
}

fn answer(cx: &Sidecar, body: &[u8]) -> Result<String, Failure> {
    let invalid = |text| Failure::new(ResultCode::BadRequest, text);
    let request = ExplainRequest::parse(body).map_err(invalid)?;
    let explanation = explain(cx, &request).map_err(invalid)?;
    serde_json::to_string(&explanation)
        .map_err(|e| Failure::new(ResultCode::EncodeFailed, e.to_string()))
}

fn refuse(refusal: QueryRefusal) -> Response<BoxBody> {
    let text = match refusal {
        QueryRefusal::TooMany => format!("the node answers {MAX_OPEN} queries at a time"),
        QueryRefusal::TooFrequent(_) => format!("the node answers {MAX_PER_S} queries in a second"),
    };
    let mut response = respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", text);
    let (name, value) = requests::retry_after(refusal.retry_after());
    response.headers_mut().insert(name, value);
    response
}

fn respond(status: StatusCode, kind: &'static str, text: String) -> Response<BoxBody> {
    let mut response = Response::with_body(status, BoxBody::new(text));
    let kind = HeaderValue::from_static(kind);
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

/// Decides on a request as if it had arrived now.
///
/// # Errors
/// The field of the question that is invalid, and why.
fn explain(cx: &Sidecar, request: &ExplainRequest) -> Result<Explanation, String> {
    let now = cx.clock.now();
    let state = cx.state.borrow();
    let (load, tally) = serving::load_report(cx);
    let mut rng = state.rng.clone();
    let mut placement = state.placement.clone();
    let mut caller_ages = state.caller_ages.clone();
    placement.on_report(now, &cx.settings.id, load, tally);
    let mut copy = Decision {
        rng: &mut rng,
        placement: &mut placement,
        caller_ages: &mut caller_ages,
        table: state.table.as_ref(),
        moves: &state.moves,
        exposed: &state.exposed,
        evacuations: &state.evacuations,
    };
    let credential = credential(request, copy.table.map(Rc::as_ref))?;
    let mut explanation = Explanation {
        node: cx.settings.id.clone(),
        config: copy.table.map(|table| ConfigView {
            version: table.version(),
            age_ms: cx.feed.view_age(now).map(millis),
        }),
        route: None,
        workspace: None,
        service: None,
        rollout: None,
        regions: None,
        time_limit_ms: None,
        candidates: Vec::new(),
        chosen: None,
        refusal: None,
    };
    let decided = decide(cx, now, request, credential, &mut copy, &mut explanation);
    match decided {
        Ok(pick) => {
            explanation.chosen = Some(ChosenView {
                node: pick.node,
                version: pick.version,
                is_spillover: pick.is_spillover,
                spillover_share: pick.spill_share,
            });
        }
        Err((code, retry_after)) => {
            let status = status_of(code);
            let retry_after = entry::spread_retry_after(status, retry_after, copy.rng);
            explanation.refusal = Some(RefusalView {
                status: status.as_u16(),
                code: code.number(),
                text: code.text().to_owned(),
                retry_after_ms: retry_after.map(millis),
            });
        }
    }
    Ok(explanation)
}

/// Returns the hash of the credential of the request, or of one of the workspace that it names.
///
/// # Errors
/// If the configuration has no such workspace, or one without a credential.
fn credential(
    request: &ExplainRequest,
    table: Option<&RoutingTable>,
) -> Result<Option<KeyHash>, String> {
    let (Some(name), Some(table)) = (&request.workspace, table) else {
        return Ok(request.key_hash);
    };
    let workspace = table
        .workspace(name)
        .ok_or("workspace: the configuration has no workspace of this name")?;
    let key = workspace.keys.first().copied();
    key.map(Some)
        .ok_or_else(|| "workspace: the workspace has no key".into())
}

/// Makes the decisions on a request in the order of a call. `explanation` receives their inputs.
///
/// # Errors
/// The refusal of the entry node.
fn decide(
    cx: &Sidecar,
    now: Duration,
    request: &ExplainRequest,
    credential: Option<KeyHash>,
    copy: &mut Decision<'_>,
    explanation: &mut Explanation,
) -> Result<Pick, Refusal> {
    // The answer of a node to a request that it does not route.
    let refused = |code| (code, Some(serving::NO_BACKEND_RETRY_AFTER));
    let host = headers::without_port(&request.host);
    let table = copy.table;
    let found = decision::find_route(table, host, request.path_only());
    let workspace = match found {
        Ok(route) => {
            explanation.route = Some(RouteView {
                name: route.name.clone(),
                host: route.host.to_string(),
                prefix: route.prefix.to_string(),
                is_public: route.is_public,
            });
            Some(workspaces::authorize(cx, route, credential).map_err(refused)?)
        }
        Err(_) => None,
    };
    let name = workspace.as_ref().and_then(|known| known.name.as_ref());
    let mut limiter = table
        .filter(|_| name.is_some())
        .map(|table| usage_port::limiter_copy(cx, now, table, copy.placement, copy.rng));
    let by_quota = |refusal: QuotaRefusal| (ResultCode::QuotaExceeded, Some(refusal.retry_after));
    if let (Some(name), Some(known), Some(limiter)) = (name, &workspace, &mut limiter) {
        explanation.workspace = Some(WorkspaceView {
            name: name.clone(),
            priority: known.priority,
            quota: limiter.view(now, name),
        });
        // A call needs a token before its body is read, beside those kept for other calls.
        limiter.reserve(now, name).map_err(by_quota)?;
    }
    let limits = table.map(|table| table.limits()).unwrap_or_default();
    if request.body_bytes > limits.body_bytes {
        return Err(refused(ResultCode::BodyTooLarge));
    }
    let route = found.map_err(refused)?;
    let workspace = workspace.ok_or_else(|| refused(ResultCode::NoRoute))?;
    let longest = route
        .timeout
        .min(request.time_left().unwrap_or(Duration::MAX));
    let time_limit =
        decision::time_limit(cx.stop_plan.borrow().as_ref(), now, longest).map_err(refused)?;
    explanation.time_limit_ms = Some(millis(time_limit));
    let (service, is_overdue) = copy.choose_service(route, request.time_left());
    explanation.service = Some(service.clone());
    if let (Some(name), Some(limiter)) = (&workspace.name, &mut limiter)
        && let QuotaDecision::Refused(refusal) = limiter.admit(now, name, copy.rng)
    {
        return Err(by_quota(refusal));
    }
    explanation.rollout = copy.moves.plan(&service).map(|plan| RolloutView {
        target: plan.target,
        share: plan.share,
        is_taken_back: plan.banned,
    });
    let regions = decision::regions(table, route, &workspace);
    if let AllowedRegions::Only(regions) = &regions {
        explanation.regions = Some(regions.clone());
    }
    let call = RoutedCall {
        route,
        service: &service,
        request_bytes: request.body_bytes,
    };
    let limits = decision::limits(route, now, now + time_limit, is_overdue);
    let mut attempts = Attempts::new(limits);
    if attempts.next(now) != NextStep::Stop {
        let pick = copy.choose_with(
            &call,
            &workspace,
            attempts.tried(),
            &mut |placement, rng, request| {
                let (pick, candidates) = placement.explain(now, rng, request);
                explanation.candidates = candidates;
                pick
            },
        );
        if pick.is_none() {
            let code = copy
                .placement
                .exclusion(&service, &regions, copy.evacuations);
            if let Some(code) = code {
                attempts.on_excluded(code);
            }
        }
        let choice = attempts.on_choice(now, pick.as_ref().map(decision::chosen));
        if let (Choice::Send, Some(pick)) = (choice, pick) {
            return Ok(pick);
        }
    }
    Err(match attempts.outcome() {
        Outcome::Refused { code, retry_after } => {
            let retry_after = retry_after.unwrap_or(serving::NO_BACKEND_RETRY_AFTER);
            (code, Some(retry_after))
        }
        // Without an attempt, a call has not run.
        Outcome::Unknown(code) => (code, None),
        Outcome::FailureResponse => (ResultCode::OutcomeUnknown, None),
    })
}
