//! Dissemination of member changes, rollout state and configuration versions, see `docs/design.md`,
//! section 4.
//!
//! Cost at 1,300 members, as `tests/gossip_scale.rs` measures it: an urgent change is known everywhere
//! after 0.7 s (expected: log3(1300) = 6.5 ticks) and costs each node 2.7 KB (16 sends); a version is
//! in force everywhere after 0.9 s for 1.0 KB; probes cost 193 bytes/s. With 270 restarts of 4 changes
//! and 1,100 versions a day that is 240 bytes/s.

mod catch_up;
mod readers;
mod rumors;

use std::net::SocketAddr;
use std::time::Duration;

use crate::coordination::dissemination::catch_up::DigestCheck;
use crate::coordination::dissemination::catch_up::VersionQuery;
use crate::coordination::dissemination::rumors::Queued;
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

/// A rumor is sent this times log10(n+1) times by each node that has it, for n members. With s sends a
/// node a share of e^-s of the members is missed: 16 sends at 1,300 members miss 1.5e-4 of a member.
pub const RUMOR_FACTOR: f64 = 5.0;
/// Sends of a rumor in a small fleet, where the logarithm would leave a few percent of the rumors
/// with a member that missed them.
pub const MIN_RUMOR_SENDS: u32 = 10;
/// Rumors kept for sending; the most sent are dropped above it and repaired by full exchanges.
pub const MAX_RUMORS: usize = 4_096;
/// Datagrams sent at once on an urgent change of this node.
pub const URGENT_FANOUT: usize = 4;
/// Datagrams sent a tick while the queue holds urgent rumors. Two make the number of members that
/// know of a change grow threefold a tick.
pub const SPREAD_FANOUT: usize = 2;
/// Rumors in the queue above which one datagram a tick is sent although none is urgent, since probes
/// alone would take minutes after a mass restart. A datagram holds about as many.
pub const BACKLOG: usize = 16;
/// Members to which a node sends a hint of a new version.
pub const HINT_FANOUT: usize = 4;
/// Share of the hints that goes to other regions: enough that a region whose readers are down learns
/// of a version within a second, few enough that hardly any configuration is pulled between regions.
pub const CROSS_REGION_HINTS: f64 = 0.05;
/// Time after which hints are sent once more: one wave of 4 misses e^-4 = 2% of the members, two miss
/// 0.03%.
pub const HINT_REPEAT: Duration = Duration::from_millis(300);
/// Time for which a pull from another region waits for a hint from the own region, as traffic between
/// regions is billed.
pub const REMOTE_PULL_DELAY: Duration = Duration::from_millis(400);
/// Time after which a pull is tried with another peer.
pub const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// Peers remembered for the next pull.
pub const MAX_PULL_PEERS: usize = 8;
/// Time for which digests must differ unchanged before a full exchange. It exceeds the time in which
/// a rumor spreads and the clock difference by which crash reports expire at different times.
pub const DIGEST_PATIENCE: Duration = Duration::from_secs(10);
/// Time without a peer of the same digest after which a full exchange is made although digests change.
pub const DISAGREEMENT_LIMIT: Duration = Duration::from_secs(10);
/// Takes the place of [`DISAGREEMENT_LIMIT`] and [`SYNC_PERIOD`] for [`JOIN_PHASE`] after joining. A node
/// that joins in a mass restart misses the members that join elsewhere at that moment.
pub const JOIN_PATIENCE: Duration = Duration::from_secs(3);
/// See [`JOIN_PATIENCE`].
pub const JOIN_PHASE: Duration = Duration::from_secs(15);
/// Shortest time between two full exchanges that a node starts, varied by half.
pub const SYNC_PERIOD: Duration = Duration::from_secs(10);
/// Time after which a full exchange counts as failed.
pub const SYNC_TIMEOUT: Duration = Duration::from_secs(5);
/// Full exchanges served at the same time.
pub const MAX_SYNCS_SERVED: usize = 4;
/// Changed records of a full exchange up to which they are spread as rumors. More of them are old
/// news for most members, such as the whole list that a joining node receives.
pub const SYNC_SPREAD_MAX: usize = 32;
/// Longest random delay before a node joins, so that a mass restart does not hit the seeds at once.
pub const JOIN_JITTER: Duration = Duration::from_secs(1);
/// Shortest and longest delay before joining is tried again.
pub const JOIN_RETRY: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(10));
/// Time between two attempts to reach a seed that is not a member, in a fleet of up to
/// [`REJOIN_FLEET`] members; above, it grows in proportion.
pub const REJOIN_PERIOD: Duration = Duration::from_secs(30);
/// Time until the first of these attempts; it doubles up to [`REJOIN_PERIOD`]. After a mass restart
/// the seeds may have joined in separate groups.
pub const FIRST_REJOIN: Duration = Duration::from_secs(1);
/// See [`REJOIN_PERIOD`].
pub const REJOIN_FLEET: usize = 100;
/// Readers of the log in each region.
pub const READERS: usize = 2;
/// Members of a region that tell each other whether they reach the log: the next in line when readers
/// cannot.
pub const READER_CANDIDATES: usize = 8;
/// Time between two such messages of a candidate.
pub const READER_NOTICE_PERIOD: Duration = Duration::from_secs(1);
/// Time for which a crash report is in force.
pub const CRASH_EXPIRY: Duration = Duration::from_mins(10);
/// Version queries sent a tick; 1,300 members are asked within 2.1 s.
pub const VERSION_QUERIES_PER_TICK: usize = 64;
/// Time after which an unanswered version query is repeated.
pub const VERSION_QUERY_RETRY: Duration = Duration::from_millis(500);
/// Bound for a version to be in force everywhere; members without it are reported then.
pub const IN_FORCE_BOUND: Duration = Duration::from_secs(4);
/// Time after which a version query ends with what is known.
pub const VERSION_QUERY_END: Duration = Duration::from_secs(30);
/// Version queries at the same time.
pub const MAX_VERSION_QUERIES: usize = 4;

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
    queue: Vec<Queued>,
    spread_order: Vec<NodeId>,
    spread_joins: u64,
    hint_again: Option<Duration>,
    pull: Option<(NodeId, Duration)>,
    pull_peers: Vec<(NodeId, ConfigVersion)>,
    remote_pull_at: Option<Duration>,
    check: Option<DigestCheck>,
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
    readers_of: Option<u64>,
    next_notice: Duration,
    queries: Vec<VersionQuery>,
    /// Time of the last version query to a member, sorted by id.
    asked: Vec<(NodeId, Duration)>,
    actions: Vec<GossipAction>,
}

impl Gossip {
    /// Creates the state of a node that knows only itself; `seed` seeds its random numbers.
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
            hint_again: None,
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
            readers_of: None,
            next_notice: Duration::ZERO,
            queries: Vec::new(),
            asked: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Does what is due; to be called about every 100 ms.
    pub fn tick(&mut self, now: Duration, wall: WallMs) -> Vec<GossipAction> {
        let events = self.membership.tick(now, wall);
        self.take_events(events, true);
        let expired = |c: &CrashReport| wall.since(c.at) >= CRASH_EXPIRY;
        if self.crashes.iter().any(expired) {
            self.crashes.retain(|c| !expired(c));
            self.refresh_digest();
        }
        self.drive_join(now);
        self.drive_check(now);
        self.drive_pull(now);
        if self.hint_again.is_some_and(|at| now >= at) {
            self.hint_again = None;
            self.send_hints();
        }
        self.refresh_readers();
        self.notify_candidates(now);
        self.drive_queries(now);
        self.spread();
        self.finish()
    }

    /// Takes a datagram that has passed authentication.
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
                self.readers_of = None;
            }
        }
        match packet.message {
            Message::Ping { sequence } => {
                let own = refuted.then(|| Rumor::Member(self.me().clone()));
                let first = own.into_iter().collect();
                let event = self.membership.on_ping(&header.from, from, sequence, first);
                self.take_events(vec![event], true);
            }
            Message::Ack { sequence } => {
                let event = self.membership.on_ack(sequence);
                self.take_events(event, true);
            }
            Message::Nack { sequence } => self.membership.on_nack(sequence),
            Message::PingReq { sequence, target } => {
                let event = self.membership.on_ping_req(now, from, sequence, &target);
                self.take_events([event], true);
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
        self.finish()
    }

    /// Changes the state of the own backend server.
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
            self.take_events([event], true);
            self.send_urgent();
        }
        self.finish()
    }

    /// Marks this node as leaving.
    pub fn leave(&mut self, now: Duration, wall: WallMs) -> Vec<GossipAction> {
        if self.me().status != MemberStatus::Leaving {
            let event = self
                .membership
                .change_me(now, wall, |me| me.status = MemberStatus::Leaving);
            self.take_events([event], true);
            self.send_urgent();
        }
        self.finish()
    }

    /// Returns when, in monotonic time, this node last learned that it had been declared dead.
    #[must_use]
    pub fn declared_dead_at(&self) -> Option<Duration> {
        self.membership.declared_dead_at()
    }

    /// Returns the members that left or died within the last 10 min, in the order in which this node
    /// learned of it.
    #[must_use]
    pub fn departed(&self, now: WallMs) -> &[Departed] {
        self.membership.departed(now)
    }

    /// Takes the services of the configuration in force, so that the state of rollouts that are no
    /// longer in it is dropped.
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

    /// Returns the version in force at this node as it was told.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the digest of the replicated state, independent of the order in which it came.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.membership.digest() ^ self.rollout_digest
    }

    fn finish(&mut self) -> Vec<GossipAction> {
        std::mem::take(&mut self.actions)
    }

    fn is_dead(&self, id: &NodeId) -> bool {
        self.membership
            .find(id)
            .is_some_and(|i| self.members()[i].status == MemberStatus::Dead)
    }
}
