//! Graceful stop of a node. See `docs/design.md`, section 5.

use std::rc::Rc;
use std::time::Duration;

use slog::info;
use slog::warn;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::node::Node;
use crate::node::Servers;
use crate::node::gossip_loop;

/// Time for which a leaving node goes on to take calls, so that the others hear of it first.
const WITHDRAW_TIME: Duration = Duration::from_secs(1);
/// Longest wait for calls that run.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);
/// Longest wait for the log to take the last outcomes; they are also among the log lines.
const OUTCOME_LIMIT: Duration = Duration::from_secs(2);
/// Pause between two looks at the calls that run.
const DRAIN_CHECK: Duration = Duration::from_millis(20);
/// Time for the last answers to leave the process after their calls ended.
const FLUSH_TIME: Duration = Duration::from_millis(100);

/// Waits for SIGTERM or SIGINT.
pub async fn wait_for_signal() -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    futures_util::future::select(Box::pin(terminate.recv()), Box::pin(interrupt.recv())).await;
    Ok(())
}

/// Withdraws the node, hands waiting calls back and waits for the running ones.
pub async fn drain(node: &Rc<Node>, servers: &Servers) {
    let (now, wall) = (node.clock.now(), node.clock.wall());
    info!(node.log, "node is leaving");
    let actions = node.state.borrow_mut().gossip.leave(now, wall);
    gossip_loop::apply(node, actions);
    // Answers close their connections from now on, so that callers move to other nodes.
    node.stopping.set(true);
    actix_rt::time::sleep(WITHDRAW_TIME).await;
    node.drain_admission();
    servers.request.stop_accepting();
    let limit = node.clock.now() + DRAIN_LIMIT;
    while open_calls(node) > 0 && node.clock.now() < limit {
        actix_rt::time::sleep(DRAIN_CHECK).await;
    }
    if open_calls(node) > 0 {
        warn!(node.log, "calls still run at the end of the drain"; "calls" => open_calls(node));
    }
    let limit = node.clock.now() + OUTCOME_LIMIT;
    while node.state.borrow().outcomes.pending() > 0 && node.clock.now() < limit {
        actix_rt::time::sleep(DRAIN_CHECK).await;
    }
    servers.node.stop_accepting();
    actix_rt::time::sleep(FLUSH_TIME).await;
}

fn open_calls(node: &Node) -> usize {
    let served = node.state.borrow().admission.load();
    node.open_calls.get() + usize::try_from(served).unwrap_or(usize::MAX)
}
