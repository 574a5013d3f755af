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
/// Nodes that follow one node. In a larger failure domain followers are followed in turn: one reader
/// of 50 nodes took 1.4 s to hand them a configuration of 120 kB.
const FAN_OUT: usize = 12;
/// Time for which a node that failed as a reader is passed over.
const PASS_OVER: Duration = Duration::from_secs(30);
/// Time for which a reader that answered, but is behind, is passed over. It may have followed the one
/// that failed, and reads the store next.
const PASS_OVER_BEHIND: Duration = Duration::from_secs(3);
/// Readers that are behind at the same time from which on the store counts as away for all.
const AWAY_READERS: usize = 3;
/// Time for which a reader that is behind is passed over while the store does not answer this node:
/// enough to ask that many.
const AWAY_PASS_OVER: Duration = Duration::from_secs(6);
/// Time for which a follower reads the store itself after its reader was behind, and longest time for
/// which it tries to confirm an old view there before it asks another reader.
const CATCH_UP: Duration = Duration::from_secs(2);

/// Where a node follows topics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// At the store.
    Store,
    /// At a node of the own failure domain.
    Peer(NodeId, SocketAddr),
}

/// How a reader failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReaderFailure {
    /// It did not answer, or it stops.
    Lost,
    /// It answered that its view is old.
    Behind,
}

#[derive(Debug)]
struct Failed {
    node: NodeId,
    failure: ReaderFailure,
    until: Duration,
}

/// State of the choice at one node.
#[derive(Debug, Default)]
pub struct Relay {
    failed: Vec<Failed>,
    store_until: Duration,
    /// Time since which this node's view waits to be confirmed at the store. Another reader that is gone
    /// as well would cost the time within which a configuration has to be in force.
    unconfirmed_since: Option<Duration>,
    hurried: bool,
}

impl Relay {
    /// Chooses the source. `domain` holds the nodes of the own failure domain, this one included, the
    /// preferred reader first: a change of the configuration goes from it to all others at once.
    /// `confirmed_at` is the time at which this node's view was last known to be complete.
    pub fn source(
        &mut self,
        now: Duration,
        me: &NodeId,
        domain: &[(NodeId, SocketAddr)],
        confirmed_at: Option<Duration>,
    ) -> Source {
        self.unconfirmed_since.take_if(|since| {
            confirmed_at.is_some_and(|at| at > *since) || now >= *since + CATCH_UP
        });
        self.failed.retain(|failed| failed.until > now);
        if domain.len() < MIN_NODES || now < self.store_until || self.unconfirmed_since.is_some() {
            return Source::Store;
        }
        let has_failed = |node: &NodeId| self.failed.iter().any(|failed| failed.node == *node);
        // All nodes of the domain know the same order, so that a node only follows one before it.
        let alive: Vec<_> = domain
            .iter()
            .filter(|(node, _)| node == me || !has_failed(node))
            .collect();
        match alive.iter().position(|(node, _)| node == me) {
            Some(own @ 1..) => {
                let (node, addr) = alive[(own - 1) / FAN_OUT];
                Source::Peer(node.clone(), *addr)
            }
            _ => Source::Store,
        }
    }

    /// Passes over a reader that failed. Another one is asked at once if this node's view is younger
    /// than `max_view_age`, so that time remains to read the store; otherwise as soon as the view was
    /// confirmed there.
    pub fn on_failure(
        &mut self,
        now: Duration,
        node: &NodeId,
        failure: ReaderFailure,
        view_age: Duration,
        max_view_age: Duration,
    ) {
        let pass_over = match failure {
            ReaderFailure::Lost => PASS_OVER,
            ReaderFailure::Behind => PASS_OVER_BEHIND,
        };
        self.failed.retain(|failed| failed.node != *node);
        self.failed.push(Failed {
            node: node.clone(),
            failure,
            until: now + pass_over,
        });
        self.hurried = failure == ReaderFailure::Lost;
        match failure {
            ReaderFailure::Lost if view_age <= max_view_age => {}
            ReaderFailure::Lost => self.unconfirmed_since = Some(now),
            ReaderFailure::Behind => self.store_until = now + CATCH_UP,
        }
    }

    /// Takes note that the store does not answer this node either. It may answer others, so that the
    /// next reader is asked; if several are behind it is away for all, and the preferred reader tells of
    /// its return first.
    pub fn on_store_failure(&mut self, now: Duration) {
        let is_behind = |failed: &Failed| failed.failure == ReaderFailure::Behind;
        if self
            .failed
            .iter()
            .filter(|failed| is_behind(failed))
            .count()
            >= AWAY_READERS
        {
            self.failed.retain(|failed| !is_behind(failed));
        }
        for failed in self.failed.iter_mut().filter(|failed| is_behind(failed)) {
            failed.until = failed.until.max(now + AWAY_PASS_OVER);
        }
        self.store_until = Duration::ZERO;
        self.unconfirmed_since = None;
    }

    /// Takes note that the reader answered.
    pub fn on_answer(&mut self) {
        self.hurried = false;
    }

    /// Whether the next reader has to answer without waiting for news, since the last one failed.
    #[must_use]
    pub fn is_hurried(&self) -> bool {
        self.hurried
    }
}
