//! Removes the entries of nodes that have stopped for good. See `docs/platform.md`, "Leaves".

use std::rc::Rc;
use std::time::Duration;

use slog::info;

use crate::platform::store::FLEET_TOPIC;
use crate::platform::store::TopicEnd;
use crate::protocol::name::NodeId;
use crate::sidecar::Sidecar;
use crate::sidecar::feed::FLEET;

/// Interval at which the entries are checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failed removal. Others may be writing to the topic, and failed calls are charged.
const RETRY_PAUSE: Duration = Duration::from_secs(5);

/// Starts to remove entries.
pub fn start(cx: &Rc<Sidecar>) {
    let cx = cx.clone();
    actix_rt::spawn(async move {
        loop {
            actix_rt::time::sleep(CHECK_INTERVAL).await;
            if let Some(node) = due(&cx) {
                remove_entry(&cx, &node).await;
            }
        }
    });
}

fn due(cx: &Sidecar) -> Option<NodeId> {
    if cx.stopping.get() || !cx.feed.is_store_available() {
        return None;
    }
    let state = cx.state.borrow();
    let nodes = state.placement.entries().map(|entry| &entry.node);
    let stopped = &state.stopped_nodes;
    let due = stopped.due(cx.clock.now(), &cx.settings.id, &nodes);
    due.cloned()
}

/// Removes the entry of a node, unless the topic has records that this node has not read: the node may have started
/// again, and its entry name further leaves.
async fn remove_entry(cx: &Sidecar, node: &NodeId) {
    let position = cx.feed.cursors.borrow()[FLEET].position();
    let Some(offset) = position else {
        return;
    };
    let at = TopicEnd {
        offset,
        era: cx.feed.era(),
    };
    let put = cx.store.put(FLEET_TOPIC, node.as_str(), &[], Some(at));
    match put.await {
        Ok(offset) => {
            info!(cx.log, "entry of a stopped node removed"; "peer" => node.as_str(), "offset" => offset);
            cx.state.borrow_mut().stopped_nodes.forget(node);
        }
        Err(failure) => {
            info!(cx.log, "entry of a stopped node not removed"; "peer" => node.as_str(),
                "why" => format!("{failure:?}"));
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
    }
}
