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
use crate::sidecar::Servers;
use crate::sidecar::Sidecar;
use crate::sidecar::settings;

/// Interval at which the open calls are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Time limit for removing the node's entry from the store.
const REMOVE_ENTRY_TIMEOUT: Duration = Duration::from_millis(500);

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
                actix_rt::spawn(async move { remove_entry(&cx).await });
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

/// Removes the node's entry if its backend server has deregistered. Otherwise the node is expected to
/// restart, and the entry stays.
async fn remove_entry(cx: &Rc<Sidecar>) {
    if cx.state.borrow().backend.report().is_some() {
        return;
    }
    cx.entry_removed.set(true);
    let put = cx
        .store
        .put(FLEET_TOPIC, cx.settings.id.as_str(), &[], None);
    match actix_rt::time::timeout(REMOVE_ENTRY_TIMEOUT, put).await {
        Ok(Ok(offset)) => info!(cx.log, "node entry removed"; "offset" => offset),
        Ok(Err(failure)) => {
            warn!(cx.log, "node entry not removed"; "why" => format!("{failure:?}"));
        }
        Err(_) => {
            warn!(cx.log, "node entry not removed"; "why" => "the store did not respond in time");
        }
    }
}
