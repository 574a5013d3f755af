//! Dissemination of member changes, rollout state and configuration versions, see `docs/design.md`,
//! section 4.

use std::net::SocketAddr;
use std::time::Duration;

use crate::coordination::membership::Departed;
use crate::protocol::gossip::BackendState;
use crate::protocol::gossip::CrashReport;
use crate::protocol::gossip::EvidenceReport;
use crate::protocol::gossip::Member;
use crate::protocol::gossip::Packet;
use crate::protocol::gossip::Rollback;
use crate::protocol::gossip::RolloutProgress;
use crate::protocol::gossip::SyncState;
use crate::protocol::name::ConfigVersion;
use crate::protocol::name::NodeId;
use crate::protocol::record::ServiceSince;
use crate::protocol::time::WallMs;

/// Settings of a [`Gossip`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GossipConfig {
    /// HTTP node addresses of members through which this node joins.
    pub seeds: Vec<SocketAddr>,
}

/// What the caller of a [`Gossip`] has to do, in this order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GossipAction {
    /// Send a datagram.
    Send {
        /// Gossip address of the receiver.
        to: SocketAddr,
        /// The datagram; with authentication it fits `MAX_DATAGRAM_BYTES`.
        packet: Packet,
    },
    /// A member appeared or its record changed.
    MemberChanged {
        /// The former record, `None` for a new member.
        before: Option<Member>,
        /// The record now in force.
        after: Member,
    },
    /// Pull the configuration from this peer and call [`Gossip::on_new_version`] or
    /// [`Gossip::on_pull_failed`].
    PullConfig {
        /// Peer that shows a higher version.
        peer: Member,
    },
    /// Exchange the replicated state with this peer and call [`Gossip::on_sync`] with its answer, or
    /// [`Gossip::on_sync_failed`].
    Sync {
        /// HTTP node address of the peer.
        addr: SocketAddr,
    },
    /// A rollout advanced.
    Progress(RolloutProgress),
    /// A version was taken back.
    Rollback(Rollback),
    /// A backend server crashed.
    Crash(CrashReport),
    /// Evidence of another serving node of the same service.
    Evidence {
        /// Sender.
        from: NodeId,
        /// Its figures.
        report: EvidenceReport,
    },
    /// Result of [`Gossip::start_version_query`].
    VersionStatus {
        /// Version that was asked for.
        version: ConfigVersion,
        /// Members that have it or a higher one in force.
        have: usize,
        /// Members that are not dead.
        total: usize,
        /// Members without it.
        missing: Vec<NodeId>,
    },
    /// Other members declared this node dead; it has refuted.
    DeclaredDead,
}

/// Membership and replicated state of one node.
#[derive(Debug)]
pub struct Gossip {
    members: Vec<Member>,
}

impl Gossip {
    /// Creates the state of a node that knows only itself; `seed` seeds its random numbers.
    #[must_use]
    pub fn new(me: Member, _seed: u64, _cfg: GossipConfig) -> Self {
        Self { members: vec![me] }
    }

    /// Does what is due; to be called about every 100 ms.
    pub fn tick(&mut self, _now: Duration, _wall: WallMs) -> Vec<GossipAction> {
        Vec::new()
    }

    /// Takes a datagram that has passed authentication.
    pub fn on_packet(
        &mut self,
        _now: Duration,
        _wall: WallMs,
        _from: SocketAddr,
        _packet: Packet,
    ) -> Vec<GossipAction> {
        Vec::new()
    }

    /// Takes the replicated state of a peer, as the answer to [`GossipAction::Sync`] or as the request
    /// of a peer.
    pub fn on_sync(
        &mut self,
        _now: Duration,
        _wall: WallMs,
        _state: SyncState,
    ) -> Vec<GossipAction> {
        Vec::new()
    }

    /// Reports that the exchange asked for by [`GossipAction::Sync`] failed.
    pub fn on_sync_failed(&mut self, _now: Duration) {}

    /// Reports that the pull asked for by [`GossipAction::PullConfig`] failed.
    pub fn on_pull_failed(&mut self, _now: Duration) -> Vec<GossipAction> {
        Vec::new()
    }

    /// Returns the replicated state for an exchange.
    #[must_use]
    pub fn sync_state(&self) -> SyncState {
        SyncState::default()
    }

    /// Takes one of the slots for exchanges served to peers; `false` if all are taken. A successful
    /// call is followed by [`Gossip::sync_served`].
    #[must_use]
    pub fn may_serve_sync(&mut self) -> bool {
        true
    }

    /// Returns the slot taken by [`Gossip::may_serve_sync`].
    pub fn sync_served(&mut self) {}

    /// Tells that this node put a version in force.
    pub fn on_new_version(&mut self, _now: Duration, _version: ConfigVersion) -> Vec<GossipAction> {
        Vec::new()
    }

    /// Asks all members whether `version` is in force at them.
    pub fn start_version_query(&mut self, _now: Duration, _version: ConfigVersion) {}

    /// Changes the state of the own backend server.
    pub fn set_backend(
        &mut self,
        _now: Duration,
        _wall: WallMs,
        _backend: Option<BackendState>,
    ) -> Vec<GossipAction> {
        Vec::new()
    }

    /// Marks this node as leaving.
    pub fn leave(&mut self, _now: Duration, _wall: WallMs) -> Vec<GossipAction> {
        Vec::new()
    }

    /// Spreads a step of a rollout.
    pub fn submit_progress(
        &mut self,
        _now: Duration,
        _wall: WallMs,
        _progress: RolloutProgress,
    ) -> Vec<GossipAction> {
        Vec::new()
    }

    /// Spreads a rollback.
    pub fn submit_rollback(
        &mut self,
        _now: Duration,
        _wall: WallMs,
        _rollback: Rollback,
    ) -> Vec<GossipAction> {
        Vec::new()
    }

    /// Spreads a crash report.
    pub fn submit_crash(
        &mut self,
        _now: Duration,
        _wall: WallMs,
        _crash: CrashReport,
    ) -> Vec<GossipAction> {
        Vec::new()
    }

    /// Sends evidence to the given members.
    pub fn send_evidence(
        &mut self,
        _now: Duration,
        _to: &[NodeId],
        _report: &EvidenceReport,
    ) -> Vec<GossipAction> {
        Vec::new()
    }

    /// Tells whether this node's polls of the log succeed.
    pub fn set_log_reachable(&mut self, _now: Duration, _reachable: bool) -> Vec<GossipAction> {
        Vec::new()
    }

    /// Returns whether this node is to follow the log.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        false
    }

    /// Returns whether the node has exchanged its state with a seed, or has none.
    #[must_use]
    pub fn joined(&self) -> bool {
        false
    }

    /// Adds seeds, for example from the `members` stream.
    pub fn add_seeds(&mut self, _seeds: &[SocketAddr]) {}

    /// Returns when, in monotonic time, this node last learned that it had been declared dead.
    #[must_use]
    pub fn declared_dead_at(&self) -> Option<Duration> {
        None
    }

    /// Returns the members that left or died within the last 10 min, in the order in which this node
    /// learned of it.
    #[must_use]
    pub fn departed(&self, _now: WallMs) -> &[Departed] {
        &[]
    }

    /// Takes the services of the configuration in force, so that the state of rollouts that are no
    /// longer in it is dropped.
    pub fn set_services(&mut self, _version: ConfigVersion, _services: &[ServiceSince]) {}

    /// Returns all members sorted by id, this node and dead ones included.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the record of this node.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.members[0]
    }
}
