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

use crate::coordination::stop_plan::StopPlan;
use crate::coordination::stop_plan::StopStep;
use crate::platform::store::FLEET_TOPIC;
use crate::sidecar::Servers;
use crate::sidecar::Sidecar;
use crate::sidecar::settings;

/// Pause between two looks at the open calls.
const CHECK_PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for the store to take the farewell.
const FAREWELL_LIMIT: Duration = Duration::from_millis(500);

/// Waits for SIGTERM or SIGINT. SIGHUP re-reads the settings and tells what changed.
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

/// Addresses and identity cannot change while the process runs; the platform restarts it then.
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

/// Withdraws the node and waits for the open calls.
pub async fn drain(cx: &Rc<Sidecar>, servers: &Servers) {
    info!(cx.log, "stopping"; "open_calls" => cx.open_calls.get());
    cx.stopping.set(true);
    // Followers go on to another reader at once.
    cx.feed.view_checked.notify_waiters();
    cx.entry_changed.notify_one();
    let plan = StopPlan::new(cx.clock.now(), cx.settings.stop_within());
    *cx.stop_plan.borrow_mut() = Some(plan);
    let mut withdrawn = false;
    loop {
        let (now, open_calls) = (cx.clock.now(), cx.open_calls.get());
        let step = cx
            .stop_plan
            .borrow_mut()
            .as_mut()
            .map(|plan| plan.step(now, open_calls));
        match step.unwrap_or(StopStep::Exit) {
            StopStep::Serve => {}
            StopStep::Withdrawn if withdrawn => {}
            StopStep::Withdrawn => {
                withdrawn = true;
                servers.caller.stop_accepting();
                let cx = cx.clone();
                actix_rt::spawn(async move { say_farewell(&cx).await });
            }
            StopStep::Exit => break,
        }
        actix_rt::time::sleep(CHECK_PAUSE).await;
    }
    if cx.open_calls.get() > 0 {
        warn!(cx.log, "calls still run at the end"; "open_calls" => cx.open_calls.get());
    }
}

/// Removes the node's entry if its backend server has left for good; otherwise the node comes back.
async fn say_farewell(cx: &Rc<Sidecar>) {
    if cx.state.borrow().backend.report().is_some() {
        return;
    }
    let put = cx
        .store
        .put(FLEET_TOPIC, cx.settings.id.as_str(), &[], None);
    match actix_rt::time::timeout(FAREWELL_LIMIT, put).await {
        Ok(Ok(offset)) => info!(cx.log, "entry removed"; "offset" => offset),
        Ok(Err(failure)) => warn!(cx.log, "entry not removed"; "why" => format!("{failure:?}")),
        Err(_) => warn!(cx.log, "entry not removed"; "why" => "the store did not answer in time"),
    }
}
