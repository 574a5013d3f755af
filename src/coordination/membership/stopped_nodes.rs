//! Entries of nodes that have stopped and name leaves, until they are removed from the store. See
//! `docs/platform.md`, "Leaves".
//!
//! A node that stops cannot tell whether its instance goes away or another process starts there. That process needs
//! the leaves that this one has acknowledged, so they stay in the store for as long as heartbeats from before them may
//! arrive. Nobody but the other nodes can remove them then.

use std::time::Duration;

use crate::coordination::quarantine::hash_parts;
use crate::protocol::name::NodeId;

/// Time for which the entry of a stopped node is kept: twice the time for which late heartbeats are expected after a
/// deregistration.
pub const STOPPED_ENTRY_TIME: Duration = Duration::from_secs(30);
/// Time between the removals by two nodes, in which the second one learns of the first.
const RANK_INTERVAL: Duration = Duration::from_secs(5);

/// Nodes that have stopped with entries in the store.
#[derive(Debug, Default)]
pub struct StoppedNodes {
    /// Nodes and the times at which their entries were read, sorted by node.
    stopped: Vec<(NodeId, Duration)>,
}

impl StoppedNodes {
    /// Handles that a node has stopped, by its entry.
    pub fn on_stopped(&mut self, now: Duration, node: &NodeId) {
        match self.index(node) {
            Ok(index) => self.stopped[index].1 = now,
            Err(index) => self.stopped.insert(index, (node.clone(), now)),
        }
    }

    /// Handles that a node has started again, or that its entry was removed.
    pub fn forget(&mut self, node: &NodeId) {
        if let Ok(index) = self.index(node) {
            self.stopped.remove(index);
        }
    }

    /// Returns a node whose entry is to be removed now by the node `own`. All nodes decide this with the same list of
    /// `nodes`, so that one of them does it unless it fails to.
    #[must_use]
    pub fn due<'a>(
        &self,
        now: Duration,
        own: &NodeId,
        nodes: &(impl Iterator<Item = &'a NodeId> + Clone),
    ) -> Option<&NodeId> {
        let rank = |stopped: &NodeId| {
            let weight =
                |node: &NodeId| hash_parts(&[stopped, node].map(|n| n.as_str().as_bytes()));
            let own_weight = weight(own);
            let before = nodes.clone().filter(|node| weight(node) < own_weight);
            u32::try_from(before.count()).unwrap_or(u32::MAX)
        };
        let is_due = |(stopped, read_at): &&(NodeId, Duration)| {
            let age = now.saturating_sub(*read_at);
            let beyond = age.checked_sub(STOPPED_ENTRY_TIME);
            beyond.is_some_and(|beyond| beyond >= RANK_INTERVAL.saturating_mul(rank(stopped)))
        };
        let found = self.stopped.iter().find(is_due);
        found.map(|(node, _)| node)
    }

    fn index(&self, node: &NodeId) -> Result<usize, usize> {
        self.stopped.binary_search_by(|(known, _)| known.cmp(node))
    }
}
