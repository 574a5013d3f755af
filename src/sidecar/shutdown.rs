//! Signals and the graceful stop of a sidecar. See `docs/platform.md`, "Stop".

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::Either;
use futures_util::future::select;
use slog::info;
use slog::warn;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::coordination::stop_plan::StopPhase;
use crate::coordination::stop_plan::StopPlan;
use crate::platform::store::FLEET_TOPIC;
use crate::protocol::codec;
use crate::sidecar::Servers;
use crate::sidecar::Sidecar;
use crate::sidecar::announcer;
use crate::sidecar::settings;

/// Interval at which the open calls are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for writing the last entry of the node.
const FINISH_ENTRY_TIMEOUT: Duration = Duration::from_millis(500);

/// Waits for SIGTERM or SIGINT. SIGHUP re-reads the settings and logs whether they changed.
pub async fn wait_for_signal(cx: &Rc<Sidecar>, file: &Path) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    loop {
        let stop = select(Box::pin(terminate.recv()), Box::pin(interrupt.recv()));
        match select(stop, Box::pin(hangup.recv())).await {
            Either::Left(_) => return Ok(()),
            Either::Right(_) => reload(cx, file),
        }
    }
}

/// Checks the settings file. Changes take effect at the next start, since addresses and identity cannot
/// change while the process runs.
fn reload(cx: &Rc<Sidecar>, file: &Path) {
    match settings::load(file) {
        Ok(new) if new == cx.settings => {
            info!(cx.log, "settings reloaded"; "changed" => false);
        }
        Ok(_) => {
            info!(cx.log, "settings reloaded"; "changed" => true, "applied" => "at the next start");
        }
        Err(failures) => {
            let first = failures
                .first()
                .map(ToString::to_string)
                .unwrap_or_default();
            warn!(cx.log, "settings not reloaded"; "why" => first);
        }
    }
}

/// Stops taking new calls and waits for the open ones.
pub async fn drain(cx: &Rc<Sidecar>, servers: &Servers) {
    info!(cx.log, "node stopping"; "open_calls" => cx.open_calls.get());
    cx.stopping.set(true);
    // Wakes the waiting followers, so that they switch to another reader at once.
    cx.feed.view_checked.notify_waiters();
    cx.entry_changed.notify_one();
    let plan = StopPlan::new(cx.clock.now(), cx.settings.stop_within());
    *cx.stop_plan.borrow_mut() = Some(plan);
    let mut withdrawn = false;
    loop {
        // A call is open until its response is sent.
        let open_calls = cx.open_calls.get() + servers.unsent_responses();
        let now = cx.clock.now();
        let step = cx
            .stop_plan
            .borrow_mut()
            .as_mut()
            .map(|plan| plan.step(now, open_calls));
        match step.unwrap_or(StopPhase::Exit) {
            StopPhase::Serve => {}
            StopPhase::Withdrawn if withdrawn => {}
            StopPhase::Withdrawn => {
                withdrawn = true;
                servers.caller.stop_accepting();
                let cx = cx.clone();
                actix_rt::spawn(async move { finish_entry(&cx).await });
            }
            StopPhase::Exit => break,
        }
        actix_rt::time::sleep(CHECK_INTERVAL).await;
    }
    let unsent = servers.unsent_responses();
    if cx.open_calls.get() + unsent > 0 {
        warn!(cx.log, "calls still run at the end of the drain"; "open_calls" => cx.open_calls.get(),
            "unsent_responses" => unsent);
    }
}

/// Takes the node out of the fleet if its backend server has deregistered. Otherwise the node is expected to restart,
/// and the entry stays as it is.
///
/// Another process may start here while the backend server goes on for a while. It has to know the leaves that this one
/// has acknowledged, so an entry that names leaves is not removed but marked as that of a stopped node.
async fn finish_entry(cx: &Rc<Sidecar>) {
    if cx.state.borrow().backend.report().is_some() {
        return;
    }
    if !announcer::may_write(cx) {
        info!(cx.log, "node entry left as it is"; "why" => "the one of an earlier process has not been read");
        return;
    }
    cx.is_entry_final.set(true);
    let entry = announcer::next_entry(cx);
    let has_leaves = entry.leaves().next().is_some();
    let value = match codec::encode(&entry) {
        Ok(value) if has_leaves => value,
        Ok(_) => Vec::new(),
        Err(failure) => {
            warn!(cx.log, "node entry not encoded"; "why" => failure.text);
            return;
        }
    };
    let put = cx
        .store
        .put(FLEET_TOPIC, cx.settings.id.as_str(), &value, None);
    match actix_rt::time::timeout(FINISH_ENTRY_TIMEOUT, put).await {
        Ok(Ok(offset)) => {
            info!(cx.log, "last node entry written"; "offset" => offset, "leaves" => entry.leaves().count());
        }
        Ok(Err(failure)) => {
            warn!(cx.log, "last node entry not written"; "why" => format!("{failure:?}"));
        }
        Err(_) => {
            warn!(cx.log, "last node entry not written"; "why" => "the store did not respond in time");
        }
    }
}
