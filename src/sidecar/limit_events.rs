//! Counts and logs what happens at the limits of clients and connections. See `docs/design/misbehaving-clients.md`,
//! "What operators see".

use std::rc::Rc;
use std::time::Duration;

use slog::warn;

use crate::sidecar::Sidecar;
use crate::transport::client_memory::ClientCounts;
use crate::transport::connection_limit::LimitCounts;

/// Time between two log lines. A crowd of clients causes thousands of events in a second.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Starts to log the events.
pub fn start(cx: &Rc<Sidecar>) {
    let cx = cx.clone();
    actix_rt::spawn(async move {
        let mut before = (ClientCounts::default(), LimitCounts::default());
        loop {
            actix_rt::time::sleep(LOG_INTERVAL).await;
            let now = counts(&cx);
            if now == before {
                continue;
            }
            let (clients, outgoing) = now;
            warn!(cx.log, "limits reached"; "refused" => clients.refused - before.0.refused,
                "evicted" => clients.evicted - before.0.evicted, "rejected" => clients.rejected - before.0.rejected,
                "idle_closed" => outgoing.idle_closed - before.1.idle_closed,
                "not_sent" => outgoing.not_sent - before.1.not_sent, "held_bytes" => cx.client_memory.held_bytes(),
                "outgoing" => cx.pool.open_connections(), "outgoing_control" => cx.control_pool.open_connections());
            before = now;
        }
    });
}

/// Sets the metrics of the events.
pub fn update_metrics(cx: &Sidecar) {
    let (clients, outgoing) = counts(cx);
    let metrics = &cx.metrics;
    metrics.client_refusals.absolute(clients.refused);
    metrics.client_evictions.absolute(clients.evicted);
    metrics.client_rejections.absolute(clients.rejected);
    metrics.outgoing_idle_closed.absolute(outgoing.idle_closed);
    metrics.outgoing_not_sent.absolute(outgoing.not_sent);
}

/// Returns the events of clients, and those of the connections for calls and for control messages together.
fn counts(cx: &Sidecar) -> (ClientCounts, LimitCounts) {
    let (calls, control) = (cx.pool.limit_counts(), cx.control_pool.limit_counts());
    let outgoing = LimitCounts {
        idle_closed: calls.idle_closed + control.idle_closed,
        not_sent: calls.not_sent + control.not_sent,
    };
    (cx.client_memory.counts(), outgoing)
}
