//! Graceful shutdown of a node. See `docs/design.md`, section 5.

use std::rc::Rc;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::node::Node;
use crate::node::Servers;
use crate::node::gossip_loop;

/// Time for which a leaving node still accepts calls, so that the other nodes learn of its leave
/// first.
const LEAVE_PERIOD: Duration = Duration::from_secs(1);
/// Timeout for the end of the open calls.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for appending the last outcomes to the log; the log lines contain them as well.
const OUTCOME_APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Period at which the open calls and the queued outcomes are checked.
const DRAIN_CHECK_PERIOD: Duration = Duration::from_millis(20);
/// Time for the last responses to be sent after their calls have ended.
const RESPONSE_FLUSH_PERIOD: Duration = Duration::from_millis(100);

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_signal() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    futures_util::future::select(Box::pin(terminate.recv()), Box::pin(interrupt.recv())).await;
    Ok(())
}

/// Announces the leave of the node, refuses the waiting calls and waits for the running ones.
pub async fn drain(node: &Rc<Node>, servers: &Servers) {
    let (now, wall) = (node.clock.now(), node.clock.wall());
    info!(node.log, "node is leaving");
    let actions = node.state.borrow_mut().gossip.leave(now, wall);
    gossip_loop::apply_actions(node, actions);
    // From now on each response closes its connection, so that callers move to other nodes.
    node.stopping.set(true);
    actix_rt::time::sleep(LEAVE_PERIOD).await;
    node.drain_admission();
    servers.request.stop_accepting();
    let deadline = node.clock.now() + DRAIN_TIMEOUT;
    while open_calls(node, servers) > 0 && node.clock.now() < deadline {
        actix_rt::time::sleep(DRAIN_CHECK_PERIOD).await;
    }
    if open_calls(node, servers) > 0 {
        warn!(node.log, "calls are still running after the drain timeout";
            "calls" => open_calls(node, servers));
    }
    let deadline = node.clock.now() + OUTCOME_APPEND_TIMEOUT;
    while node.state.borrow().outcomes.pending() > 0 && node.clock.now() < deadline {
        actix_rt::time::sleep(DRAIN_CHECK_PERIOD).await;
    }
    servers.node.stop_accepting();
    actix_rt::time::sleep(RESPONSE_FLUSH_PERIOD).await;
}

fn open_calls(node: &Node, servers: &Servers) -> usize {
    let unsent = servers.request.unsent_responses() + servers.node.unsent_responses();
    let serving = node.state.borrow().admission.load();
    node.open_calls.get() + unsent + usize::try_from(serving).unwrap_or(usize::MAX)
}
