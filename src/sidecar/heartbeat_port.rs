//! Port for heartbeats and deregistrations of the local backend server.

use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header::CONTENT_TYPE;
use actix_http::header::HeaderValue;
use slog::info;
use slog::warn;

use crate::coordination::breaker::Breaker;
use crate::coordination::room::cold_start::ProbeReason;
use crate::platform::heartbeat;
use crate::platform::heartbeat::BackendCall;
use crate::platform::heartbeat::Heartbeat;
use crate::protocol::fleet::BackendPhase;
use crate::protocol::fleet::BackendReport;
use crate::protocol::hop::BackendTotals;
use crate::protocol::hop::RouteTotals;
use crate::result_code::ResultCode;
use crate::sidecar::Sidecar;
use crate::sidecar::announcer;
use crate::sidecar::health_check;
use crate::sidecar::health_probe;
use crate::sidecar::leaves;
use crate::state::local_backend::HeartbeatEffect;
use crate::state::local_backend::TICK_INTERVAL;
use crate::transport::http_server;

/// Largest accepted heartbeat, bytes; one has about 200.
const MAX_HEARTBEAT_BYTES: usize = 64 << 10;

/// What a call of the backend server reports.
enum Report {
    /// It accepts new requests.
    Ready,
    /// It leaves.
    Leave,
}

/// Starts the ticks that tell when this process could not handle heartbeats.
pub fn start(cx: &Rc<Sidecar>) {
    let cx = cx.clone();
    actix_rt::spawn(async move {
        loop {
            let now = cx.clock.now();
            cx.state.borrow_mut().backend.on_tick(now);
            actix_rt::time::sleep(TICK_INTERVAL).await;
        }
    });
}

/// Handles a heartbeat or a deregistration.
pub async fn handle(cx: Rc<Sidecar>, mut req: Request) -> Response<BoxBody> {
    let cx = &cx;
    let mut payload = req.take_payload();
    let body = match http_server::read_body(&mut payload, MAX_HEARTBEAT_BYTES).await {
        Ok(body) => body,
        Err(failure) => {
            warn!(cx.log, "heartbeat unreadable"; "code" => failure.code.number(), "why" => failure.text);
            return json_response(StatusCode::BAD_REQUEST);
        }
    };
    let (id, handled) = match heartbeat::read_path(req.path()) {
        Some(BackendCall::Heartbeat(id)) => {
            let handled = on_heartbeat(cx, &id, &body);
            (id, handled)
        }
        Some(BackendCall::Deregister(id)) => {
            let handled = on_deregister(cx, &id, &body);
            (id, handled)
        }
        None => return json_response(StatusCode::NOT_FOUND),
    };
    match handled {
        Ok(Report::Leave) if !leaves::store_leave(cx, &id).await => {
            json_response(StatusCode::SERVICE_UNAVAILABLE)
        }
        Ok(_) => json_response(StatusCode::OK),
        Err(why) => {
            warn!(cx.log, "heartbeat refused"; "instance" => &*id, "why" => why,
                "code" => ResultCode::BadRequest.number());
            json_response(StatusCode::BAD_REQUEST)
        }
    }
}

/// Reads a heartbeat.
///
/// # Errors
/// Why it is unreadable, or not from the backend server of this node.
fn read_heartbeat(cx: &Sidecar, id: &str, body: &[u8]) -> Result<BackendReport, String> {
    let Heartbeat { addr, report } = heartbeat::read_body(id, body)?;
    let mut state = cx.state.borrow_mut();
    state.report_filter.accept(&report.service, addr)?;
    Ok(report)
}

fn json_response(status: StatusCode) -> Response<BoxBody> {
    let mut response = Response::with_body(status, BoxBody::new("{}"));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// Applies a heartbeat.
///
/// # Errors
/// Why it names no backend server of this node.
fn on_heartbeat(cx: &Rc<Sidecar>, id: &str, body: &[u8]) -> Result<Report, String> {
    let report = read_heartbeat(cx, id, body)?;
    match health_check::hold_heartbeat(cx, report) {
        Some(report) => apply_report(cx, report),
        // It is told like a heartbeat that is used: the next one says the same again.
        None => Ok(Report::Ready),
    }
}

/// Applies a heartbeat that was held.
pub fn apply_released(cx: &Rc<Sidecar>, report: Option<BackendReport>) {
    let Some(report) = report else {
        return;
    };
    let instance = report.instance.clone();
    info!(cx.log, "held heartbeat used"; "instance" => &*instance);
    match apply_report(cx, report) {
        // Requests that were held for the first configuration are routed next.
        Ok(_) => announcer::apply_locally(cx),
        Err(why) => {
            warn!(cx.log, "heartbeat refused"; "instance" => &*instance, "why" => why,
                "code" => ResultCode::BadRequest.number());
        }
    }
}

/// Applies what a heartbeat reports.
///
/// # Errors
/// Why it names no backend server of this node.
fn apply_report(cx: &Rc<Sidecar>, report: BackendReport) -> Result<Report, String> {
    let now = cx.clock.now();
    let text = format!(
        "{} of {} {}, {:?}, {} slots",
        report.instance, report.service, report.version, report.phase, report.slots
    );
    let reported = match report.phase {
        BackendPhase::Ready => Report::Ready,
        BackendPhase::Draining => Report::Leave,
    };
    let (born, sequence, slots) = (report.born, report.sequence, report.slots);
    let cold_left = Duration::from_millis(report.cold_left_ms);
    let mut state = cx.state.borrow_mut();
    let before = state.backend.report().cloned();
    let is_new = |old: &BackendReport| !report.is_same_incarnation(old);
    let restarted = before.as_ref().is_none_or(is_new);
    let was_down = state.backend.is_down();
    let change = state.backend.on_heartbeat(now, report);
    if change == HeartbeatEffect::Changed {
        cx.slots.with(|queue| {
            queue.set_slots(slots);
            if restarted {
                queue.on_start(now + cold_left);
            }
        });
        if restarted {
            state.tally = BackendTotals::default();
            state.route_tallies = RouteTotals::default();
            state.breaker = Breaker::default();
            state.work_time = None;
        }
    }
    drop(state);
    if matches!(
        change,
        HeartbeatEffect::Changed | HeartbeatEffect::Refreshed
    ) {
        health_probe::on_report(cx, cold_left, "heartbeat");
        if was_down && !restarted {
            // The heartbeat may be from before the backend server started anew.
            health_probe::consider(cx, ProbeReason::ConnectionBack);
        }
    }
    match change {
        HeartbeatEffect::Changed => {
            info!(cx.log, "backend server changed"; "to" => text, "born" => born, "sequence" => sequence);
            cx.slots.advance();
            cx.entry_changed.notify_one();
        }
        HeartbeatEffect::Ignored => {
            info!(cx.log, "outdated heartbeat ignored"; "of" => text, "born" => born, "sequence" => sequence);
        }
        HeartbeatEffect::Refused => return Err("it does not name its start".to_owned()),
        HeartbeatEffect::Refreshed => {}
    }
    Ok(reported)
}

/// Applies a deregistration.
///
/// # Errors
/// Why its body is unreadable.
fn on_deregister(cx: &Rc<Sidecar>, instance: &str, body: &[u8]) -> Result<Report, String> {
    let born = heartbeat::read_deregistration(body)?;
    let now = cx.clock.now();
    let mut state = cx.state.borrow_mut();
    if let Some(held) = state.heartbeat_hold.on_deregister(instance, born) {
        // Otherwise it would be used after the leave, which would not name the incarnation.
        state.backend.on_heartbeat(now, held);
    }
    let was_current = state.backend.on_deregister(now, instance, born);
    drop(state);
    info!(cx.log, "backend server deregistered"; "instance" => instance, "born" => born, "known" => was_current);
    // The entry names the incarnation that left, also if this process did not know it.
    cx.entry_changed.notify_one();
    Ok(Report::Leave)
}
