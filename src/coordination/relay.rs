//! Choice between the platform's store and a node of the same failure domain as the place to follow
//! topics at. See `docs/platform.md`, "Store".
//!
//! Calls to the store are priced and bounded, and a change is read by every node. In a failure domain
//! of several nodes one of them reads the store, and the others follow it over the free and short way
//! inside the domain. Nothing depends on that node: whoever finds it silent, behind or unreachable
//! reads the store itself.

use std::net::SocketAddr;
use std::time::Duration;

use crate::protocol::name::NodeId;

/// Nodes of a failure domain from which on they share a reader. A reader looks more often than a node
/// that reads for itself, which does not pay for fewer.
const MIN_NODES: usize = 4;
/// Time for which a node that failed as a reader is passed over.
const PASS_OVER: Duration = Duration::from_secs(30);
/// Time for which a reader that answered, but is behind, is passed over. It may have followed the one
/// that failed, and reads the store next.
const PASS_OVER_BEHIND: Duration = Duration::from_secs(3);
/// Time for which a follower reads the store itself after its reader failed. Another reader that is
/// gone as well would cost it the time within which a configuration has to be in force.
const CATCH_UP: Duration = Duration::from_secs(2);

/// Where a node follows topics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// At the store.
    Store,
    /// At a node of the own failure domain.
    Peer(NodeId, SocketAddr),
}

/// State of the choice at one node.
#[derive(Debug, Default)]
pub struct Relay {
    failed: Vec<(NodeId, Duration)>,
    store_until: Duration,
}

impl Relay {
    /// Chooses the source. `domain` holds the nodes of the own failure domain, this one included, the
    /// preferred reader first: a change of the configuration goes from it to all others at once.
    pub fn source(
        &mut self,
        now: Duration,
        me: &NodeId,
        domain: &[(NodeId, SocketAddr)],
    ) -> Source {
        self.failed.retain(|(_, until)| *until > now);
        if domain.len() < MIN_NODES || now < self.store_until {
            return Source::Store;
        }
        let has_failed = |node: &NodeId| self.failed.iter().any(|(failed, _)| failed == node);
        match domain.iter().find(|(node, _)| !has_failed(node)) {
            Some((node, addr)) if node != me => Source::Peer(node.clone(), *addr),
            _ => Source::Store,
        }
    }

    /// Passes over a node that did not answer in time or, if `is_behind`, has no fresh view.
    pub fn on_failure(&mut self, now: Duration, node: &NodeId, is_behind: bool) {
        let pass_over = if is_behind {
            PASS_OVER_BEHIND
        } else {
            PASS_OVER
        };
        self.failed.retain(|(failed, _)| failed != node);
        self.failed.push((node.clone(), now + pass_over));
        self.store_until = now + CATCH_UP;
    }
}
