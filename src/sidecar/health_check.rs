//! Checks the health path of the local backend server before a heartbeat is used that may be from before an
//! acknowledged leave. See `docs/platform.md`, "Leaves".

use std::rc::Rc;

use actix_http::StatusCode;
use actix_http::uri::PathAndQuery;
use slog::info;

use crate::coordination::heartbeat_hold::HealthPath;
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
    // An evacuated failure domain gets no requests at all, and the backend server is not used there.
    let is_evacuated = state.evacuations.contains(&cx.settings.failure_domain);
    let is_store_available = cx.feed.is_store_available();
    let check = if is_evacuated {
        None
    } else {
        state
            .heartbeat_hold
            .begin_check(now, known, is_store_available)
    };
    drop(state);
    info!(cx.log, "heartbeat held"; "instance" => &*text, "health_path" => format!("{known:?}"),
        "store_available" => is_store_available, "check" => check.is_some(), "uptime_ms" => millis(now));
    if let (Some(incarnation), Some(path)) = (check, path) {
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
    }
    None
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
