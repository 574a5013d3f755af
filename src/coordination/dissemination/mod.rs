//! Dissemination of member changes, rollout state and configuration versions by gossip. See
//! `docs/design.md`, section 4.
//!
//! Cost at 1,300 members, from `tests/gossip_scale.rs`: an urgent change reaches every node after
//! 0.7 s (expected: log3(1300) = 6.5 ticks) and costs each node 2.7 KB (16 sends). A version is in
//! force everywhere after 0.9 s and costs each node 1.0 KB. Probes cost each node 193 bytes/s. With 270
//! restarts of 4 changes each and 1,100 versions a day, the total is 240 bytes/s per node.

mod catch_up;
mod readers;
mod rumors;

use std::net::SocketAddr;
use std::time::Duration;

use crate::coordination::dissemination::catch_up::DigestCheck;
use crate::coordination::dissemination::catch_up::VersionQuery;
use crate::coordination::dissemination::rumors::QueuedRumor;
use crate::coordination::dissemination::rumors::is_current;
use crate::coordination::membership::Departed;
use crate::coordination::membership::Membership;
use crate::protocol::gossip::BackendState;
use crate::protocol::gossip::CrashReport;
use crate::protocol::gossip::EvidenceReport;
use crate::protocol::gossip::Member;
use crate::protocol::gossip::MemberStatus;
use crate::protocol::gossip::Message;
use crate::protocol::gossip::Packet;
use crate::protocol::gossip::Rollback;
use crate::protocol::gossip::RolloutProgress;
use crate::protocol::gossip::Rumor;
use crate::protocol::name::ConfigVersion;
use crate::protocol::name::NodeId;
use crate::protocol::record::ServiceSince;
use crate::protocol::time::WallMs;

/// Each node that has a rumor sends it this factor times log10(n+1) times, for n members. With s sends
/// per node, the expected share of members that miss the rumor is e^-s: 16 sends at 1,300 members miss
/// 1.5e-4 members on average.
pub const RUMOR_FACTOR: f64 = 5.0;
/// Minimum number of sends of a rumor per node. In a small fleet the logarithm alone is so low that a
/// few percent of the rumors would miss a member.
pub const MIN_RUMOR_SENDS: u32 = 10;
/// Capacity of the rumor queue. When it is exceeded, the rumors that were sent most often are dropped;
/// full exchanges repair what this loses.
pub const MAX_RUMORS: usize = 4_096;
/// Datagrams that a node sends immediately when it makes an urgent change.
pub const URGENT_FANOUT: usize = 4;
/// Datagrams sent per tick while the queue holds urgent rumors. With two, the number of members that
/// know of a change triples each tick.
pub const SPREAD_FANOUT: usize = 2;
/// Queue length above which one datagram per tick is sent even if no rumor is urgent. After a mass
/// restart, probes alone would take minutes to carry the queue. A datagram holds about this many
/// rumors.
pub const BACKLOG_THRESHOLD: usize = 16;
/// Members that a node notifies with a hint when it has a new version in force.
pub const HINT_FANOUT: usize = 4;
/// Probability that a hint goes to another region. It is high enough that a region whose readers are
/// down learns of a version within a second, and low enough that configurations are rarely pulled
/// between regions.
pub const CROSS_REGION_HINT_PROBABILITY: f64 = 0.05;
/// Time after which hints are sent a second time. One round of 4 hints per node misses e^-4 = 2% of
/// the members, two rounds miss 0.03%.
pub const HINT_REPEAT_DELAY: Duration = Duration::from_millis(300);
/// Time for which a pull from another region is delayed, since a hint from the node's own region may
/// arrive meanwhile and traffic between regions is billed.
pub const REMOTE_PULL_DELAY: Duration = Duration::from_millis(400);
/// Timeout of a pull, after which another peer is tried.
pub const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// Peers with a newer version that are remembered as sources of the next pull.
pub const MAX_PULL_PEERS: usize = 8;
/// Time for which the digests of two nodes must differ without changing before the nodes make a full
/// exchange. It exceeds the time in which a rumor spreads, and the clock difference that makes crash
/// reports expire at different times.
pub const DIGEST_MISMATCH_TIME: Duration = Duration::from_secs(10);
/// Time without a peer whose digest is equal, after which a node starts a full exchange even though
/// digests keep changing.
pub const MAX_DISAGREEMENT_TIME: Duration = Duration::from_secs(10);
/// Replaces [`MAX_DISAGREEMENT_TIME`] and [`SYNC_PERIOD`] for [`JOIN_PHASE`] after a node joined. A node
/// that joins during a mass restart misses members that join through other nodes at the same time.
pub const JOIN_SYNC_PERIOD: Duration = Duration::from_secs(3);
/// Time after joining for which [`JOIN_SYNC_PERIOD`] applies.
pub const JOIN_PHASE: Duration = Duration::from_secs(15);
/// Minimum time between two full exchanges that a node starts, with a random variation of 50%.
pub const SYNC_PERIOD: Duration = Duration::from_secs(10);
/// Timeout of a full exchange.
pub const SYNC_TIMEOUT: Duration = Duration::from_secs(5);
/// Full exchanges that a node serves at the same time.
pub const MAX_SYNCS_SERVED: usize = 4;
/// Number of records changed by a full exchange up to which the changes are spread as rumors. A larger
/// set, such as the full list that a joining node receives, is already known to most members.
pub const MAX_SPREAD_SYNC_RECORDS: usize = 32;
/// Maximum random delay before a node joins, so that nodes restarted together do not contact the seeds
/// at the same moment.
pub const JOIN_JITTER: Duration = Duration::from_secs(1);
/// Minimum and maximum delay before a failed join is retried.
pub const JOIN_RETRY: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(10));
/// Time between two attempts to reach a seed that is not a member, in a fleet of up to
/// [`REJOIN_FLEET_SIZE`] members. Above that size it grows in proportion to the fleet.
pub const REJOIN_PERIOD: Duration = Duration::from_secs(30);
/// Time until the first attempt to reach such a seed; it doubles up to [`REJOIN_PERIOD`]. The first
/// attempts are early because the seeds may form separate groups in a mass restart.
pub const FIRST_REJOIN_DELAY: Duration = Duration::from_secs(1);
/// Number of members above which [`REJOIN_PERIOD`] grows.
pub const REJOIN_FLEET_SIZE: usize = 100;
/// Nodes that read the log, per region.
pub const READERS: usize = 2;
/// Members of a region that tell each other whether they can reach the log. They are the next in rank
/// if the readers cannot.
pub const READER_CANDIDATES: usize = 8;
/// Time between two messages by which a candidate tells another one whether it can reach the log.
pub const READER_NOTICE_PERIOD: Duration = Duration::from_secs(1);
/// Time for which a crash report is valid.
pub const CRASH_EXPIRY: Duration = Duration::from_mins(10);
/// Version query messages sent per tick. All of 1,300 members are queried within 2.1 s.
pub const VERSION_QUERIES_PER_TICK: usize = 64;
/// Time after which an unanswered version query is repeated.
pub const VERSION_QUERY_RETRY: Duration = Duration::from_millis(500);
/// Time within which a version should be in force everywhere. When it has passed, a version query
/// reports the members without the version.
pub const IN_FORCE_BOUND: Duration = Duration::from_secs(4);
/// Time after which a version query ends with an incomplete result.
pub const VERSION_QUERY_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of concurrent version queries.
pub const MAX_VERSION_QUERIES: usize = 4;

/// Settings of a [`Gossip`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GossipConfig {
    /// HTTP node addresses of members through which this node joins.
    pub seeds: Vec<SocketAddr>,
}

/// An action that the caller of a [`Gossip`] has to perform. Actions are performed in the order in
/// which they are returned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum GossipAction {
    /// Send a datagram.
    Send {
        /// Gossip address of the receiver.
        to: SocketAddr,
        /// The datagram. It fits `MAX_DATAGRAM_BYTES` with its authentication code.
        packet: Packet,
    },
    /// A member was added or its record changed.
    MemberChanged {
        /// The previous record, `None` for a new member.
        before: Option<Member>,
        /// The current record.
        after: Member,
    },
    /// Pull the configuration from this peer and call [`Gossip::on_new_version`] or
    /// [`Gossip::on_pull_failed`].
    PullConfig {
        /// Peer with a higher version in force.
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
    /// A version was rolled back.
    Rollback(Rollback),
    /// A backend server crashed.
    Crash(CrashReport),
    /// Evidence report of another serving node of the same service.
    Evidence {
        /// Sender of the report.
        from: NodeId,
        /// Counters of the sender.
        report: EvidenceReport,
    },
    /// Result of [`Gossip::start_version_query`].
    VersionStatus {
        /// The version that was queried.
        version: ConfigVersion,
        /// Number of members that have it or a higher one in force.
        have: usize,
        /// Number of members that are not dead.
        total: usize,
        /// Members that have a lower version in force.
        missing: Vec<NodeId>,
    },
    /// Other members declared this node dead, and it has refuted the claim.
    DeclaredDead,
}

/// Membership and replicated state of one node.
#[derive(Debug)]
pub struct Gossip {
    cfg: GossipConfig,
    membership: Membership,
    version: ConfigVersion,
    log_reachable: bool,
    /// Sorted by key.
    progress: Vec<RolloutProgress>,
    /// Sorted by key.
    rollbacks: Vec<Rollback>,
    /// Sorted.
    crashes: Vec<CrashReport>,
    /// Digest of progress, rollbacks and crashes.
    rollout_digest: u64,
    /// Version and services of the last call of [`Gossip::set_services`].
    services: (ConfigVersion, Vec<ServiceSince>),
    queue: Vec<QueuedRumor>,
    spread_order: Vec<NodeId>,
    /// Value of [`Membership::join_count`] for which `spread_order` was computed.
    spread_joins: u64,
    hint_again_at: Option<Duration>,
    pull: Option<(NodeId, Duration)>,
    pull_peers: Vec<(NodeId, ConfigVersion)>,
    remote_pull_at: Option<Duration>,
    check: Option<DigestCheck>,
    /// Last time at which the digest of a peer was equal.
    agreed_at: Duration,
    joined_at: Duration,
    next_sync: Duration,
    sync: Option<(SocketAddr, Duration)>,
    syncs_served: usize,
    joined: bool,
    join_at: Option<Duration>,
    join_failures: u32,
    next_rejoin: Option<Duration>,
    rejoins: u32,
    candidates: Vec<NodeId>,
    readers: Vec<NodeId>,
    /// Value of [`Membership::generation`] for which the readers were computed, `None` to recompute
    /// them.
    readers_generation: Option<u64>,
    next_notice: Duration,
    queries: Vec<VersionQuery>,
    /// Time of the last version query message to a member, sorted by id.
    queried_at: Vec<(NodeId, Duration)>,
    actions: Vec<GossipAction>,
}

impl Gossip {
    /// Creates the state of a node that knows only itself. `seed` initialises its random numbers.
    #[must_use]
    pub fn new(me: Member, seed: u64, mut cfg: GossipConfig) -> Self {
        cfg.seeds.retain(|s| *s != me.node_addr);
        Self {
            joined: cfg.seeds.is_empty(),
            cfg,
            membership: Membership::new(me, seed),
            version: ConfigVersion::NONE,
            log_reachable: true,
            progress: Vec::new(),
            rollbacks: Vec::new(),
            crashes: Vec::new(),
            rollout_digest: 0,
            services: (ConfigVersion::NONE, Vec::new()),
            queue: Vec::new(),
            spread_order: Vec::new(),
            spread_joins: 0,
            hint_again_at: None,
            pull: None,
            pull_peers: Vec::new(),
            remote_pull_at: None,
            check: None,
            agreed_at: Duration::ZERO,
            joined_at: Duration::ZERO,
            next_sync: Duration::ZERO,
            sync: None,
            syncs_served: 0,
            join_at: None,
            join_failures: 0,
            next_rejoin: None,
            rejoins: 0,
            candidates: Vec::new(),
            readers: Vec::new(),
            readers_generation: None,
            next_notice: Duration::ZERO,
            queries: Vec::new(),
            queried_at: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Performs the periodic work that is due. Must be called about every 100 ms.
    pub fn tick(&mut self, now: Duration, wall: WallMs) -> Vec<GossipAction> {
        let events = self.membership.tick(now, wall);
        self.apply_events(events, true);
        let expired = |c: &CrashReport| wall.since(c.at) >= CRASH_EXPIRY;
        if self.crashes.iter().any(expired) {
            self.crashes.retain(|c| !expired(c));
            self.refresh_digest();
        }
        self.drive_join(now);
        self.drive_check(now);
        self.drive_pull(now);
        if self.hint_again_at.is_some_and(|at| now >= at) {
            self.hint_again_at = None;
            self.send_hints();
        }
        self.refresh_readers();
        self.notify_candidates(now);
        self.drive_queries(now);
        self.spread();
        self.take_actions()
    }

    /// Handles a datagram that has passed authentication.
    pub fn on_packet(
        &mut self,
        now: Duration,
        wall: WallMs,
        from: SocketAddr,
        packet: Packet,
    ) -> Vec<GossipAction> {
        let header = packet.header;
        if header.from == self.me().id {
            return Vec::new();
        }
        let incarnation = self.me().incarnation;
        let was_dead = self.is_dead(&header.from);
        for rumor in packet.rumors {
            self.on_rumor(now, wall, rumor);
        }
        let refuted = self.me().incarnation != incarnation;
        if let Some(index) = self.membership.find(&header.from) {
            let info = self.membership.info_mut(index);
            info.version = info.version.max(header.version);
            if info.log_reachable != header.log_reachable {
                info.log_reachable = header.log_reachable;
                self.readers_generation = None;
            }
        }
        match packet.message {
            Message::Ping { sequence } => {
                let own = refuted.then(|| Rumor::Member(self.me().clone()));
                let first = own.into_iter().collect();
                let event = self.membership.on_ping(&header.from, from, sequence, first);
                self.apply_events(vec![event], true);
            }
            Message::Ack { sequence } => {
                let event = self.membership.on_ack(sequence);
                self.apply_events(event, true);
            }
            Message::Nack { sequence } => self.membership.on_nack(sequence),
            Message::PingReq { sequence, target } => {
                let event = self.membership.on_ping_req(now, from, sequence, &target);
                self.apply_events([event], true);
            }
            Message::Hint | Message::VersionReply { .. } => (),
            Message::Evidence(report) => self.actions.push(GossipAction::Evidence {
                from: header.from.clone(),
                report,
            }),
            Message::VersionQuery { sequence } => {
                self.send(from, Message::VersionReply { sequence }, Vec::new());
            }
        }
        if header.version > self.version {
            self.consider_pull(now, &header.from, header.version);
        }
        let returned = was_dead && !self.is_dead(&header.from);
        self.compare_digests(now, &header.from, header.digest, returned);
        self.take_actions()
    }

    /// Sets the state of this node's backend server.
    pub fn set_backend(
        &mut self,
        now: Duration,
        wall: WallMs,
        backend: Option<BackendState>,
    ) -> Vec<GossipAction> {
        if self.me().backend != backend {
            let event = self
                .membership
                .change_me(now, wall, |me| me.backend = backend);
            self.apply_events([event], true);
            self.send_urgent();
        }
        self.take_actions()
    }

    /// Marks this node as leaving.
    pub fn leave(&mut self, now: Duration, wall: WallMs) -> Vec<GossipAction> {
        if self.me().status != MemberStatus::Leaving {
            let event = self
                .membership
                .change_me(now, wall, |me| me.status = MemberStatus::Leaving);
            self.apply_events([event], true);
            self.send_urgent();
        }
        self.take_actions()
    }

    /// Returns the monotonic time at which this node last learned that it had been declared dead.
    #[must_use]
    pub fn declared_dead_at(&self) -> Option<Duration> {
        self.membership.declared_dead_at()
    }

    /// Returns the members that left or died within the last 10 min, in the order in which this node
    /// learned that they did.
    #[must_use]
    pub fn departed(&self, now: WallMs) -> &[Departed] {
        self.membership.departed(now)
    }

    /// Sets the services of the configuration in force, and drops the state of rollouts that are not in
    /// it any more.
    pub fn set_services(&mut self, version: ConfigVersion, services: &[ServiceSince]) {
        self.services = (version, services.to_vec());
        let services = &self.services;
        self.progress.retain(|p| is_current(services, &p.key));
        self.rollbacks.retain(|r| is_current(services, &r.key));
        self.refresh_digest();
    }

    /// Returns all members sorted by id, this node and dead ones included.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        self.membership.members()
    }

    /// Returns the number of members that are alive or suspected, this node included.
    #[must_use]
    pub fn members_in_service(&self) -> usize {
        let in_service = |m: &&Member| m.status < MemberStatus::Leaving;
        self.members().iter().filter(in_service).count()
    }

    /// Returns the record of this node.
    #[must_use]
    pub fn me(&self) -> &Member {
        self.membership.me()
    }

    /// Returns the version in force at this node, as last set by [`Gossip::on_new_version`].
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the digest of the replicated state. It does not depend on the order of the updates.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.membership.digest() ^ self.rollout_digest
    }

    fn take_actions(&mut self) -> Vec<GossipAction> {
        std::mem::take(&mut self.actions)
    }

    fn is_dead(&self, id: &NodeId) -> bool {
        self.membership
            .find(id)
            .is_some_and(|i| self.members()[i].status == MemberStatus::Dead)
    }
}
