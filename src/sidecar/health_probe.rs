//! Learns whether the local backend server is cold, and probes its health path where a heartbeat would come too
//! late. See `docs/design/cold-backend-servers.md`.

use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::uri::PathAndQuery;
use bytes::Bytes;
use slog::info;
use slog::warn;

use crate::coordination::room::cold_start::ColdBound;
use crate::coordination::room::cold_start::PROBE_TIMEOUT;
use crate::coordination::room::cold_start::ProbeReason;
use crate::platform::requests;
use crate::platform::requests::Health;
use crate::protocol::name::RouteName;
use crate::protocol::time::millis;
use crate::sidecar::Sidecar;
use crate::transport::exchange::Exchange;
use crate::transport::http_client::HttpResponse;

/// Idle time of a connection that a probe may use. A new connection is billed, and one that has been idle for
/// longer may be closed by the backend server at the same moment.
const MAX_IDLE: Duration = Duration::from_millis(700);
/// Largest body of a health response, bytes. Only the headers are read.
const MAX_HEALTH_BYTES: usize = 64 << 10;

/// Applies the bound that the configuration in force sets for cold backend servers of the own service.
pub fn apply_bound(cx: &Rc<Sidecar>) {
    let now = cx.clock.now();
    let table = cx.table();
    let service = table.as_ref().map(|table| {
        let service = table.service(&cx.settings.service);
        service.and_then(|service| service.cold)
    });
    let (excess, slack) = (cx.settings.cold_excess, cx.settings.cold_slack);
    let bound = match service {
        Some(cold) => cold.map(|cold| ColdBound::new(cold.rate, excess, slack)),
        None => ColdBound::without_configuration(slack),
    };
    let interval = cx.settings.heartbeat_interval();
    let has_changed = cx.slots.with(|queue| {
        let cold = queue.cold_start_mut();
        cold.set_heartbeat_interval(interval);
        cold.set_bound(now, bound)
    });
    if has_changed {
        info!(cx.log, "bound for cold backend servers changed"; "per_s" => bound.map(|bound| bound.per_s()),
            "per_window" => bound.map(|bound| bound.per_window()), "configured" => table.is_some());
        cx.slots.advance();
    }
}

/// Applies a report of the backend server about its cold state.
pub fn on_report(cx: &Rc<Sidecar>, cold_left: Duration, source: &str) {
    let now = cx.clock.now();
    let (changed, last_report_age, per_s) = cx.slots.with(|queue| {
        let cold = queue.cold_start_mut();
        let age = cold.report_age(now);
        (cold.on_report(now, cold_left), age, cold.per_s(now))
    });
    cx.metrics.backend_cold_bound.set(per_s.unwrap_or(0.0));
    if changed {
        info!(cx.log, "backend server became cold or warm"; "cold_left_ms" => millis(cold_left), "source" => source,
            "per_s" => per_s, "last_report_age_ms" => last_report_age.map(millis));
        cx.slots.advance();
    }
}

/// Handles a complete run of the backend server.
pub fn on_run(cx: &Rc<Sidecar>, route: &RouteName, run_time: Duration) {
    let now = cx.clock.now();
    let is_slow = cx
        .slots
        .with(|queue| queue.cold_start_mut().on_run(now, route, run_time));
    if is_slow {
        consider(cx, ProbeReason::SlowRuns);
    }
    // Calls that wait for a slot start after it although no further call arrives.
    check_report_age(cx);
}

/// Handles a call that may start soon: probes the health path if the last report is old, and logs if it no longer
/// counts.
pub fn check_report_age(cx: &Rc<Sidecar>) {
    let now = cx.clock.now();
    if cx.state.borrow().backend.available(now).is_none() {
        // It gets no further calls before its next report.
        return;
    }
    let (is_silent, has_lapsed, per_s) = cx.slots.with(|queue| {
        let cold = queue.cold_start_mut();
        let is_silent = cold.is_silent(now);
        (is_silent, cold.drop_lapsed(now), cold.per_s(now))
    });
    if has_lapsed {
        cx.metrics.backend_cold_bound.set(per_s.unwrap_or(0.0));
        warn!(cx.log, "backend server counts as cold without reports"; "per_s" => per_s);
    }
    if is_silent {
        consider(cx, ProbeReason::Silence);
    }
}

/// Probes the health path for a reason, unless the answer is known or a probe was sent just before.
pub fn consider(cx: &Rc<Sidecar>, reason: ProbeReason) {
    let now = cx.clock.now();
    let Some(path) = health_path(cx) else {
        return;
    };
    if !cx.slots.with(|queue| queue.cold_start_mut().probe(now)) {
        return;
    }
    cx.metrics.health_probes.increment(1);
    let cx = cx.clone();
    actix_rt::spawn(async move { probe(&cx, path, reason).await });
}

/// Returns the health path of the own service, if the configuration in force names one.
pub fn health_path(cx: &Sidecar) -> Option<PathAndQuery> {
    let table = cx.table()?;
    let path = table
        .service(&cx.settings.service)?
        .health_path
        .as_deref()?;
    path.parse().ok()
}

/// Requests the health path of the local backend server.
///
/// # Errors
/// Why there is no response.
pub async fn request(cx: &Sidecar, path: PathAndQuery) -> Result<HttpResponse, String> {
    let exchange = Exchange {
        addr: cx.settings.backend_addr,
        method: Method::GET,
        target: path,
        headers: Vec::new(),
        body: Bytes::new(),
        max_idle: MAX_IDLE,
        echo: None,
        expect_continue: false,
        responding: None,
        max_response_bytes: MAX_HEALTH_BYTES,
    };
    actix_rt::time::timeout(PROBE_TIMEOUT, cx.pool.send(exchange))
        .await
        .map_err(|_| "no response in time".to_owned())?
        .map_err(|failure| failure.to_string())
}

async fn probe(cx: &Rc<Sidecar>, path: PathAndQuery, reason: ProbeReason) {
    let began = cx.clock.now();
    let response = request(cx, path).await;
    let took_ms = millis(cx.clock.since(began));
    let reason = reason.as_str();
    match response {
        Ok(response) => {
            let health = requests::read_health(&response.headers);
            info!(cx.log, "health path probed"; "reason" => reason, "status" => response.status.as_u16(),
                "cold_left_ms" => health.cold_left.map(millis), "took_ms" => took_ms);
            apply(cx, &health);
        }
        Err(why) => {
            warn!(cx.log, "health path not probed"; "reason" => reason, "why" => why, "took_ms" => took_ms);
        }
    }
}

/// Applies a health response. One of another incarnation says nothing about the current one, and what the node
/// knows may be outdated.
fn apply(cx: &Rc<Sidecar>, health: &Health) {
    let state = cx.state.borrow();
    let Some(report) = state.backend.report() else {
        return;
    };
    let is_other = health
        .instance
        .as_ref()
        .is_some_and(|instance| **instance != *report.instance);
    drop(state);
    if is_other {
        let now = cx.clock.now();
        cx.slots.with(|queue| queue.cold_start_mut().on_lost(now));
    } else if let Some(cold_left) = health.cold_left {
        on_report(cx, cold_left, "health path");
    }
}
