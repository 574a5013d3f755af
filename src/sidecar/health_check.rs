//! Checks the health path of the local backend server before a heartbeat is used that may be from before an
//! acknowledged leave. See `docs/platform.md`, "Leaves".

use std::rc::Rc;

use actix_http::StatusCode;
use actix_http::uri::PathAndQuery;
use slog::info;

use crate::coordination::membership::heartbeat_hold::HealthPath;
use crate::platform::requests;
use crate::protocol::fleet::BackendReport;
use crate::protocol::time::millis;
use crate::sidecar::Sidecar;
use crate::sidecar::health_probe;
use crate::sidecar::heartbeat_port;

/// Returns whether the configuration names a health path for the own service, and the path.
fn health_path(cx: &Sidecar) -> (HealthPath, Option<PathAndQuery>) {
    if cx.table().is_none() {
        return (HealthPath::Unknown, None);
    }
    match health_probe::health_path(cx) {
        Some(path) => (HealthPath::Known, Some(path)),
        None => (HealthPath::Missing, None),
    }
}

/// Returns a heartbeat if it may be used now; otherwise it is held, and checked if that is due.
pub fn hold_heartbeat(cx: &Rc<Sidecar>, report: BackendReport) -> Option<BackendReport> {
    let now = cx.clock.now();
    let (known, path) = health_path(cx);
    let text = report.instance.clone();
    let mut state = cx.state.borrow_mut();
    if let Some(report) = state.heartbeat_hold.on_heartbeat(now, report, known) {
        return Some(report);
    }
    drop(state);
    let is_checked = start_check(cx, known, path);
    info!(cx.log, "heartbeat held"; "instance" => &*text, "health_path" => format!("{known:?}"),
        "store_available" => cx.feed.is_store_available(), "check" => is_checked, "uptime_ms" => millis(now));
    None
}

/// Uses the heartbeat that has waited for a configuration, or checks it. Otherwise it would wait for the next one.
pub fn on_topics_relayed(cx: &Rc<Sidecar>) {
    let (known, path) = health_path(cx);
    let released = cx.state.borrow_mut().heartbeat_hold.on_configured(known);
    heartbeat_port::apply_released(cx, released);
    start_check(cx, known, path);
}

/// Checks the health of the backend server of the held heartbeat if that is due. Returns whether it is.
fn start_check(cx: &Rc<Sidecar>, known: HealthPath, path: Option<PathAndQuery>) -> bool {
    let now = cx.clock.now();
    let mut state = cx.state.borrow_mut();
    // An evacuated failure domain gets no requests at all, and the backend server is not used there.
    if state.evacuations.contains(&cx.settings.failure_domain) {
        return false;
    }
    let is_store_available = cx.feed.is_store_available();
    let check = state
        .heartbeat_hold
        .begin_check(now, known, is_store_available);
    drop(state);
    let (Some(incarnation), Some(path)) = (check, path) else {
        return false;
    };
    let cx = cx.clone();
    actix_rt::spawn(async move {
        let result = check_health(&cx, path, &incarnation.0).await;
        let is_healthy = result.is_ok();
        info!(cx.log, "health checked"; "instance" => &*incarnation.0, "healthy" => is_healthy,
            "why" => result.err());
        let confirmed = cx
            .state
            .borrow_mut()
            .heartbeat_hold
            .on_checked(&incarnation, is_healthy);
        heartbeat_port::apply_released(&cx, confirmed);
    });
    true
}

/// Uses the heartbeat that has waited for the node's own entry.
pub fn on_entry_read(cx: &Rc<Sidecar>) {
    let released = cx.state.borrow_mut().heartbeat_hold.on_entry_read();
    heartbeat_port::apply_released(cx, released);
}

/// Asks the backend server whether it is healthy and does not leave.
///
/// # Errors
/// Why that is not confirmed.
async fn check_health(cx: &Sidecar, path: PathAndQuery, instance: &str) -> Result<(), String> {
    let response = health_probe::request(cx, path).await?;
    if response.status != StatusCode::OK {
        return Err(format!("status {}", response.status.as_u16()));
    }
    match requests::read_health(&response.headers).instance {
        Some(found) if found == instance => Ok(()),
        found => Err(format!("instance {found:?}")),
    }
}
