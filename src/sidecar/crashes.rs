//! Detects crashes of the local backend server, and refuses requests that cause them. See
//! `docs/platform.md`, "Requests that crash backend servers".

use std::io;
use std::rc::Rc;
use std::time::Duration;

use slog::info;
use slog::warn;

use crate::coordination::quarantine::hash_parts;
use crate::platform::requests;
use crate::protocol::fleet::BackendReport;
use crate::protocol::fleet::Incarnation;
use crate::result_code::ResultCode;
use crate::sidecar::Sidecar;
use crate::sidecar::serving;
use crate::sidecar::serving::ServeCall;

/// Pause before the check; a crashing process closes its listening socket within this time.
const CHECK_DELAY: Duration = Duration::from_millis(50);

/// Returns the hash that identifies repetitions of a call: each has an attempt id of its own, but the same
/// caller, method, path and body.
pub fn fingerprint(call: &ServeCall) -> u64 {
    hash_parts(&[
        call.method.as_str().as_bytes(),
        requests::caller(&call.headers),
        call.head.route.as_str().as_bytes(),
        call.target.as_str().as_bytes(),
        &call.body,
    ])
}

/// Handles a call whose connection to the backend server broke, and checks whether that has crashed.
pub fn on_broken_call(cx: &Rc<Sidecar>, backend: &BackendReport, fingerprint: u64) {
    let incarnation = backend.incarnation();
    let mut state = cx.state.borrow_mut();
    if !state.crash_watch.on_broken(&incarnation, fingerprint) {
        return;
    }
    drop(state);
    let cx = cx.clone();
    actix_rt::spawn(async move {
        actix_rt::time::sleep(CHECK_DELAY).await;
        let has_crashed = has_crashed(&cx, &incarnation).await;
        let fingerprints = cx.state.borrow_mut().crash_watch.finish(&incarnation);
        if has_crashed {
            on_crash(&cx, &incarnation, &fingerprints);
        }
    });
}

/// Whether an incarnation of the backend server has ended without having left.
async fn has_crashed(cx: &Sidecar, incarnation: &Incarnation) -> bool {
    let is_current = |cx: &Sidecar| {
        let state = cx.state.borrow();
        let report = state.backend.report();
        report.is_some_and(|report| report.is_of(incarnation)) && !state.backend.is_down()
    };
    let has_left = |cx: &Sidecar| cx.state.borrow().backend.has_left(incarnation);
    if has_left(cx) {
        return false;
    }
    if !is_current(cx) {
        return true;
    }
    // The connection is kept for the next call.
    let opened = cx.pool.open(cx.settings.backend_addr).await;
    let outcome = match &opened {
        Ok(()) => "accepted".to_owned(),
        Err(e) => e.to_string(),
    };
    info!(cx.log, "backend server checked after a broken call"; "instance" => &*incarnation.0, "connection" => outcome);
    let is_refused = opened.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionRefused);
    (is_refused || !is_current(cx)) && !has_left(cx)
}

fn on_crash(cx: &Rc<Sidecar>, incarnation: &Incarnation, fingerprints: &[u64]) {
    cx.metrics.backend_crashes.increment(1);
    let texts = fingerprints.iter().map(|fingerprint| text(*fingerprint));
    warn!(cx.log, "backend server crashed"; "instance" => &*incarnation.0, "born" => incarnation.1,
        "requests" => texts.collect::<Vec<_>>().join(" "));
    let now = cx.clock.now();
    let mut state = cx.state.borrow_mut();
    let node = &cx.settings.id;
    let quarantined = state
        .crashing
        .on_crash(now, node, incarnation, fingerprints);
    drop(state);
    log_quarantined(cx, &quarantined);
    serving::mark_backend_down(cx, "it has crashed");
    cx.entry_changed.notify_one();
}

/// Logs the requests that are refused from now on.
pub fn log_quarantined(cx: &Sidecar, quarantined: &[String]) {
    for text in quarantined {
        cx.metrics.quarantined_requests.increment(1);
        warn!(cx.log, "request quarantined"; "why" => text, "code" => ResultCode::Quarantined.number());
    }
}

/// Records that a backend server has answered a call.
pub fn on_answered(cx: &Sidecar, fingerprint: u64) {
    let now = cx.clock.now();
    let mut state = cx.state.borrow_mut();
    state.crashing.on_answered(now, fingerprint);
}

/// Returns the time for which a call is refused because it crashes backend servers, if it is.
pub fn refused_for(cx: &Sidecar, fingerprint: u64) -> Option<Duration> {
    let now = cx.clock.now();
    cx.state.borrow().crashing.refused_for(now, fingerprint)
}

/// Returns a fingerprint for the log.
pub fn text(fingerprint: u64) -> String {
    format!("{fingerprint:016x}")
}
