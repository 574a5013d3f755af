//! Holds the requests of callers that arrive before the first configuration. See `docs/design/process-start.md`.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::select;
use slog::info;

use crate::coordination::startup::hold;
use crate::coordination::startup::hold::EarlyRequest;
use crate::coordination::startup::hold::HoldEnd;
use crate::coordination::startup::hold::Verdict;
use crate::protocol::time::millis;
use crate::result_code::ResultCode;
use crate::sidecar::Sidecar;
use crate::sidecar::entry::EntryRefusal;
use crate::sidecar::peer_topics;

/// Interval at which the end of all holds is checked for its log line.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Guard that counts a held request, also if its caller cancels it.
struct Held<'a> {
    cx: &'a Sidecar,
    began: Duration,
    end: HoldEnd,
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        let held = self.cx.clock.since(self.began);
        let mut counts = self.cx.hold_counts.get();
        counts.end(self.end, held);
        self.cx.hold_counts.set(counts);
    }
}

/// Waits for the first configuration, and for the entries of the nodes that are read beside it, as long as the request
/// may be held.
///
/// # Errors
/// There is no configuration at the end of the hold.
pub async fn wait(cx: &Rc<Sidecar>, request: &EarlyRequest) -> Result<(), EntryRefusal> {
    let mut held: Option<Held> = None;
    while !cx.is_synchronized() {
        let changed = Box::pin(cx.feed.changed.notified());
        let checked = Box::pin(cx.feed.view_checked.notified());
        let failed = Box::pin(cx.feed.read_failed.notified());
        let now = cx.clock.now();
        match hold::decide(now, request, &peer_topics::start_state(cx)) {
            Verdict::Hold(until) => {
                if held.is_none() {
                    held = Some(begin(cx, request));
                }
                let event = select(select(changed, checked), failed);
                // The state is checked again in either case.
                let _ = actix_rt::time::timeout(until.saturating_sub(now), event).await;
            }
            Verdict::Proceed => break,
            Verdict::Refuse(retry_after) => {
                cx.metrics.start_refusals.increment(1);
                let mut refusal = EntryRefusal {
                    code: ResultCode::NotReady,
                    retry_after,
                    hold_limit: None,
                };
                if let Some(held) = &mut held {
                    held.end = HoldEnd::Refused;
                    refusal.hold_limit = Some(request.hold_end().saturating_sub(request.arrived));
                    if cx.stopping.get() {
                        refusal.code = ResultCode::Draining;
                    }
                }
                return Err(refusal);
            }
        }
    }
    if let Some(held) = &mut held {
        held.end = HoldEnd::Configured;
    }
    Ok(())
}

fn begin<'a>(cx: &'a Rc<Sidecar>, request: &EarlyRequest) -> Held<'a> {
    cx.metrics.start_holds.increment(1);
    let mut counts = cx.hold_counts.get();
    let is_first = counts.begin();
    cx.hold_counts.set(counts);
    if is_first {
        info!(cx.log, "requests held"; "why" => "no configuration", "arrived_ms" => millis(request.arrived),
            "limit_ms" => millis(request.hold_end().saturating_sub(request.arrived)));
        let cx = cx.clone();
        actix_rt::spawn(async move { log_end(&cx).await });
    }
    Held {
        cx,
        began: request.arrived,
        end: HoldEnd::Cancelled,
    }
}

/// Logs the end of all holds, once no request is held and none will be.
async fn log_end(cx: &Sidecar) {
    loop {
        let counts = cx.hold_counts.get();
        let is_over = cx.is_synchronized() || cx.stopping.get() || cx.clock.now() >= hold::MAX_AGE;
        if is_over && counts.open == 0 {
            info!(cx.log, "requests no longer held"; "served" => counts.configured, "refused" => counts.refused,
                "cancelled" => counts.cancelled, "longest_ms" => millis(counts.longest),
                "uptime_ms" => millis(cx.clock.now()));
            return;
        }
        actix_rt::time::sleep(CHECK_INTERVAL).await;
    }
}
