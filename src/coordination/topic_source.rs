//! Selects the source from which a node follows topics: the platform's store, or a node of its own
//! failure domain that relays them. See `docs/platform.md`, "Store".
//!
//! Calls to the store are billed and limited in rate, and every node has to read every change. In a
//! failure domain of several nodes, one node reads the store and the others follow that node, since
//! traffic inside the domain is free and fast. The reader is no single point of failure: a follower
//! whose reader is silent, behind or unreachable reads the store itself.

use std::net::SocketAddr;
use std::time::Duration;

use crate::protocol::name::NodeId;

/// Smallest number of nodes in a failure domain that share a reader. Followers learn of changes later if
/// their reader fails, which the few calls that fewer nodes would save do not outweigh.
const MIN_NODES: usize = 4;
/// Maximum number of nodes that follow one node. In a larger failure domain the followers relay to
/// further followers, since one reader took 1.4 s to send a configuration of 120 kB to 50 nodes.
const FAN_OUT: usize = 12;
/// Time for which a reader that did not answer is excluded.
const LOST_READER_EXCLUSION: Duration = Duration::from_secs(30);
/// Time for which a reader that answered with an old view is excluded. It is short, since that reader
/// may have followed a failed one and then reads the store itself.
const BEHIND_READER_EXCLUSION: Duration = Duration::from_secs(3);
/// If this number of readers are behind at the same time, the store counts as unavailable to all nodes.
const UNAVAILABLE_STORE_READERS: usize = 3;
/// Time for which a reader that is behind is excluded while the store does not answer this node. It is
/// long enough to ask [`UNAVAILABLE_STORE_READERS`] readers.
const UNAVAILABLE_STORE_EXCLUSION: Duration = Duration::from_secs(6);
/// Time for which a follower reads the store itself after its reader was behind. It is also the longest
/// time for which a follower tries to confirm an old view at the store before it asks another reader.
const STORE_CATCH_UP: Duration = Duration::from_secs(2);

/// Source from which a node follows topics.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Source {
    /// The store.
    Store,
    /// A node of the same failure domain.
    Peer(NodeId, SocketAddr),
}

/// How a reader failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReaderFailure {
    /// The reader did not answer, or it is stopping.
    Lost,
    /// The reader answered that its view is old.
    Behind,
}

#[derive(Debug)]
struct ExcludedReader {
    node: NodeId,
    failure: ReaderFailure,
    until: Duration,
}

/// Selects the source for one node and remembers the readers that failed.
#[derive(Debug, Default)]
pub struct SourceSelector {
    excluded: Vec<ExcludedReader>,
    /// Time until which this node reads the store itself.
    store_until: Duration,
    /// Time since which this node waits for the store to confirm its view. It asks no other reader
    /// meanwhile: if that one were lost as well, a configuration would not be in force in time.
    unconfirmed_since: Option<Duration>,
    prompt_answer: bool,
}

impl SourceSelector {
    /// Selects the source. `domain` lists the nodes of the same failure domain, this one included, with
    /// the preferred reader first, from which a change of the configuration reaches all others.
    /// `confirmed_at` is the time at which this node's view was last known to be complete.
    pub fn select(
        &mut self,
        now: Duration,
        me: &NodeId,
        domain: &[(NodeId, SocketAddr)],
        confirmed_at: Option<Duration>,
    ) -> Source {
        self.unconfirmed_since.take_if(|since| {
            confirmed_at.is_some_and(|at| at > *since) || now >= *since + STORE_CATCH_UP
        });
        self.excluded.retain(|reader| reader.until > now);
        if domain.len() < MIN_NODES || now < self.store_until || self.unconfirmed_since.is_some() {
            return Source::Store;
        }
        let is_excluded = |node: &NodeId| self.excluded.iter().any(|reader| reader.node == *node);
        // All nodes of the domain use the same order and follow only nodes before them in it, so there
        // are no cycles.
        let eligible: Vec<_> = domain
            .iter()
            .filter(|(node, _)| node == me || !is_excluded(node))
            .collect();
        match eligible.iter().position(|(node, _)| node == me) {
            Some(own @ 1..) => {
                let (node, addr) = eligible[(own - 1) / FAN_OUT];
                Source::Peer(node.clone(), *addr)
            }
            _ => Source::Store,
        }
    }

    /// Excludes a reader that failed. If the reader is lost and this node's view is at most
    /// `max_view_age` old, enough time remains to ask the next reader and then still read the store, so
    /// the next reader is asked immediately. With an older view, or if the reader is behind, the node
    /// reads the store first.
    pub fn on_failure(
        &mut self,
        now: Duration,
        node: &NodeId,
        failure: ReaderFailure,
        view_age: Duration,
        max_view_age: Duration,
    ) {
        let exclusion = match failure {
            ReaderFailure::Lost => LOST_READER_EXCLUSION,
            ReaderFailure::Behind => BEHIND_READER_EXCLUSION,
        };
        self.excluded.retain(|reader| reader.node != *node);
        self.excluded.push(ExcludedReader {
            node: node.clone(),
            failure,
            until: now + exclusion,
        });
        self.prompt_answer = failure == ReaderFailure::Lost;
        match failure {
            ReaderFailure::Lost if view_age <= max_view_age => {}
            ReaderFailure::Lost => self.unconfirmed_since = Some(now),
            ReaderFailure::Behind => self.store_until = now + STORE_CATCH_UP,
        }
    }

    /// Records that the store does not answer this node either. The store may still answer other nodes,
    /// so the next reader is asked. If several readers are behind, the store counts as unavailable to
    /// all nodes. This node then returns to the preferred reader, which notices first when the store
    /// answers again.
    pub fn on_store_failure(&mut self, now: Duration) {
        let is_behind = |reader: &ExcludedReader| reader.failure == ReaderFailure::Behind;
        if self
            .excluded
            .iter()
            .filter(|reader| is_behind(reader))
            .count()
            >= UNAVAILABLE_STORE_READERS
        {
            self.excluded.retain(|reader| !is_behind(reader));
        }
        for reader in self.excluded.iter_mut().filter(|reader| is_behind(reader)) {
            reader.until = reader.until.max(now + UNAVAILABLE_STORE_EXCLUSION);
        }
        self.store_until = Duration::ZERO;
        self.unconfirmed_since = None;
    }

    /// Records that the reader answered.
    pub fn on_answer(&mut self) {
        self.prompt_answer = false;
    }

    /// Whether the next reader has to answer without waiting for new records, since the last one was
    /// lost.
    #[must_use]
    pub fn needs_prompt_answer(&self) -> bool {
        self.prompt_answer
    }
}
