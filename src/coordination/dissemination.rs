//! Dissemination of member changes, rollout state and configuration versions, see `docs/design.md`,
//! section 4.
//!
//! Cost at 1,300 members, as `tests/gossip_scale.rs` measures it: an urgent change is known everywhere
//! after 0.7 s (expected: log3(1300) = 6.5 ticks) and costs each node 2.7 KB (16 sends); a version is
//! in force everywhere after 0.9 s for 1.0 KB; probes cost 193 bytes/s. With 270 restarts of 4 changes
//! and 1,100 versions a day that is 240 bytes/s.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use xxhash_rust::xxh3::xxh3_64;

use crate::coordination::membership::Departed;
use crate::coordination::membership::Membership;
use crate::coordination::membership::MembershipEvent;
use crate::coordination::rendezvous;
use crate::invariant;
use crate::protocol::auth::AUTH_OVERHEAD;
use crate::protocol::auth::MAX_CLOCK_SKEW;
use crate::protocol::codec;
use crate::protocol::gossip::BackendState;
use crate::protocol::gossip::CrashReport;
use crate::protocol::gossip::EvidenceReport;
use crate::protocol::gossip::Header;
use crate::protocol::gossip::MAX_DATAGRAM_BYTES;
use crate::protocol::gossip::Member;
use crate::protocol::gossip::MemberStatus;
use crate::protocol::gossip::Message;
use crate::protocol::gossip::Packet;
use crate::protocol::gossip::Rollback;
use crate::protocol::gossip::RolloutKey;
use crate::protocol::gossip::RolloutProgress;
use crate::protocol::gossip::Rumor;
use crate::protocol::gossip::SyncState;
use crate::protocol::name::ConfigVersion;
use crate::protocol::name::NodeId;
use crate::protocol::name::RegionName;
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

#[derive(Debug)]
struct Queued {
    rumor: Rumor,
    size: usize,
    sends: u32,
    urgent: bool,
}

/// A difference of digests that may persist.
#[derive(Debug)]
struct DigestCheck {
    peer: NodeId,
    mine: u64,
    theirs: u64,
    due: Duration,
    asked: bool,
}

#[derive(Debug)]
struct VersionQuery {
    version: ConfigVersion,
    started: Duration,
    reported: bool,
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

    /// Takes the replicated state of a peer, as the answer to [`GossipAction::Sync`] or as the request
    /// of a peer.
    pub fn on_sync(&mut self, now: Duration, wall: WallMs, state: SyncState) -> Vec<GossipAction> {
        let me = self.me().id.clone();
        if state.members.iter().any(|m| m.id != me) && !self.joined {
            self.joined = true;
            self.joined_at = now;
            self.agreed_at = now;
        }
        let peer = self.sync.take().and_then(|(addr, _)| {
            state
                .members
                .iter()
                .find(|m| m.node_addr == addr && m.status != MemberStatus::Dead)
                .map(|m| m.id.clone())
        });
        let mut events = Vec::new();
        for member in state.members {
            events.extend(self.membership.on_synced_record(now, wall, member));
        }
        let spread = events.len() <= SYNC_SPREAD_MAX;
        self.take_events(events, spread);
        for progress in state.progress {
            self.merge_progress(progress, true);
        }
        for rollback in state.rollbacks {
            self.merge_rollback(rollback, true);
        }
        for crash in state.crashes {
            self.merge_crash(wall, crash, true);
        }
        if let Some(peer) = peer
            && state.version > self.version
        {
            self.consider_pull(now, &peer, state.version);
        }
        self.finish()
    }

    /// Reports that the exchange asked for by [`GossipAction::Sync`] failed, also that the peer was
    /// busy.
    pub fn on_sync_failed(&mut self, now: Duration) {
        self.sync = None;
        if !self.joined {
            let (shortest, longest) = JOIN_RETRY;
            let delay = longest.min(shortest * 2u32.saturating_pow(self.join_failures.min(8)));
            self.join_failures += 1;
            let jitter = self.membership.rng().random_range(0.5..1.5);
            self.join_at = Some(now + delay.mul_f64(jitter));
        }
    }

    /// Reports that the pull asked for by [`GossipAction::PullConfig`] failed.
    pub fn on_pull_failed(&mut self, now: Duration) -> Vec<GossipAction> {
        if let Some((peer, _)) = self.pull.take() {
            self.pull_peers.retain(|(id, _)| *id != peer);
            self.start_pull(now);
        }
        self.finish()
    }

    /// Returns the replicated state for an exchange.
    #[must_use]
    pub fn sync_state(&self) -> SyncState {
        SyncState {
            members: self.membership.members().to_vec(),
            progress: self.progress.clone(),
            rollbacks: self.rollbacks.clone(),
            crashes: self.crashes.clone(),
            version: self.version,
        }
    }

    /// Takes one of the [`MAX_SYNCS_SERVED`] slots for exchanges served to peers; `false` if all are
    /// taken. A successful call is followed by [`Gossip::sync_served`].
    #[must_use]
    pub fn may_serve_sync(&mut self) -> bool {
        let free = self.syncs_served < MAX_SYNCS_SERVED;
        self.syncs_served += usize::from(free);
        free
    }

    /// Returns the slot taken by [`Gossip::may_serve_sync`].
    pub fn sync_served(&mut self) {
        self.syncs_served = self.syncs_served.saturating_sub(1);
    }

    /// Tells that this node put a version in force.
    pub fn on_new_version(&mut self, now: Duration, version: ConfigVersion) -> Vec<GossipAction> {
        if version != self.version
            && invariant::check(1, version > self.version, "the version in force falls")
        {
            self.version = version;
            self.pull = None;
            self.remote_pull_at = None;
            self.pull_peers.retain(|(_, v)| *v > version);
            self.send_hints();
            self.hint_again = Some(now + HINT_REPEAT);
            self.start_pull(now);
        }
        self.finish()
    }

    /// Asks all members whether `version` is in force at them. The result is reported when all have
    /// it, after [`IN_FORCE_BOUND`] and after [`VERSION_QUERY_END`].
    pub fn start_version_query(&mut self, now: Duration, version: ConfigVersion) {
        if self.queries.len() == MAX_VERSION_QUERIES {
            // A member that has a later version has this one as well, so that the oldest query is
            // the least useful.
            self.queries.remove(0);
        }
        self.queries.push(VersionQuery {
            version,
            started: now,
            reported: false,
        });
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

    /// Spreads a step of a rollout.
    pub fn submit_progress(
        &mut self,
        _now: Duration,
        _wall: WallMs,
        progress: RolloutProgress,
    ) -> Vec<GossipAction> {
        self.merge_progress(progress, false);
        self.finish()
    }

    /// Spreads a rollback, at once and on every tick.
    pub fn submit_rollback(
        &mut self,
        _now: Duration,
        _wall: WallMs,
        rollback: Rollback,
    ) -> Vec<GossipAction> {
        self.merge_rollback(rollback, false);
        self.send_urgent();
        self.finish()
    }

    /// Spreads a crash report, at once and on every tick.
    pub fn submit_crash(
        &mut self,
        _now: Duration,
        wall: WallMs,
        crash: CrashReport,
    ) -> Vec<GossipAction> {
        self.merge_crash(wall, crash, false);
        self.send_urgent();
        self.finish()
    }

    /// Sends evidence to the given members. A report that does not fit one datagram is sent in parts
    /// with the same sequence and different routes.
    pub fn send_evidence(
        &mut self,
        _now: Duration,
        to: &[NodeId],
        report: &EvidenceReport,
    ) -> Vec<GossipAction> {
        let mut parts = vec![EvidenceReport {
            routes: Vec::new(),
            ..report.clone()
        }];
        let mut size = self.base_size(&Message::Evidence(parts[0].clone()));
        let empty = size;
        for route in &report.routes {
            let route_size = encoded_size(route);
            if size + route_size > datagram_budget() && size > empty {
                parts.push(EvidenceReport {
                    routes: Vec::new(),
                    ..report.clone()
                });
                size = empty;
            }
            if size + route_size <= datagram_budget()
                && let Some(part) = parts.last_mut()
            {
                part.routes.push(route.clone());
                size += route_size;
            }
        }
        for id in to {
            let Some(index) = self.membership.find(id) else {
                continue;
            };
            let addr = self.members()[index].gossip_addr;
            for part in &parts {
                self.send(addr, Message::Evidence(part.clone()), Vec::new());
            }
        }
        self.finish()
    }

    /// Tells whether this node's polls of the log succeed.
    pub fn set_log_reachable(&mut self, _now: Duration, reachable: bool) -> Vec<GossipAction> {
        if self.log_reachable != reachable {
            self.log_reachable = reachable;
            let me = self.me().id.clone();
            if let Some(index) = self.membership.find(&me) {
                self.membership.info_mut(index).log_reachable = reachable;
            }
            self.readers_of = None;
            self.refresh_readers();
            if self.candidates.contains(&me) {
                for id in self.candidates.clone() {
                    self.ping(&id);
                }
            }
        }
        self.finish()
    }

    /// Returns whether this node is to follow the log: two members of each region in two failure
    /// domains do, the first by rendezvous hash among those that reach the log.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.readers.contains(&self.me().id)
    }

    /// Returns whether the node has exchanged its state with another member, or has no seeds.
    #[must_use]
    pub fn joined(&self) -> bool {
        self.joined
    }

    /// Adds seeds, for example from the `members` stream.
    pub fn add_seeds(&mut self, seeds: &[SocketAddr]) {
        for seed in seeds {
            if *seed != self.me().node_addr && !self.cfg.seeds.contains(seed) {
                self.cfg.seeds.push(*seed);
            }
        }
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

    /// Recomputes the part of the digest that changes rarely.
    fn refresh_digest(&mut self) {
        let progress = self.progress.iter().map(|p| item_hash(0, p));
        let rollbacks = self.rollbacks.iter().map(|r| item_hash(1, r));
        let crashes = self.crashes.iter().map(|c| item_hash(2, c));
        let items = progress.chain(rollbacks).chain(crashes);
        self.rollout_digest = items.fold(0, |digest, hash| digest ^ hash);
    }

    fn finish(&mut self) -> Vec<GossipAction> {
        std::mem::take(&mut self.actions)
    }

    fn is_dead(&self, id: &NodeId) -> bool {
        self.membership
            .find(id)
            .is_some_and(|i| self.members()[i].status == MemberStatus::Dead)
    }

    // Replicated state.

    fn on_rumor(&mut self, now: Duration, wall: WallMs, rumor: Rumor) {
        match rumor {
            Rumor::Member(member) => {
                let events = self.membership.on_record(now, wall, member);
                self.take_events(events, true);
            }
            Rumor::Suspect {
                id,
                incarnation,
                by,
            } => {
                let events = self.membership.on_suspect(now, wall, &id, incarnation, by);
                self.take_events(events, true);
            }
            Rumor::Progress(progress) => self.merge_progress(progress, true),
            Rumor::Rollback(rollback) => self.merge_rollback(rollback, true),
            Rumor::Crash(crash) => self.merge_crash(wall, crash, true),
        }
    }

    fn take_events(&mut self, events: impl IntoIterator<Item = MembershipEvent>, spread: bool) {
        for event in events {
            match event {
                MembershipEvent::Send { to, message, first } => self.send(to, message, first),
                MembershipEvent::Spread(rumor) => self.enqueue(rumor, false),
                MembershipEvent::DeclaredDead => self.actions.push(GossipAction::DeclaredDead),
                MembershipEvent::Changed { before, after } => {
                    let own = after.id == self.me().id;
                    if after.status != MemberStatus::Suspect && (spread || own) {
                        let urgent = own || is_urgent(before.as_ref(), &after);
                        self.enqueue(Rumor::Member(after.clone()), urgent);
                    }
                    self.actions
                        .push(GossipAction::MemberChanged { before, after });
                }
            }
        }
    }

    fn merge_progress(&mut self, progress: RolloutProgress, report: bool) {
        if !is_current(&self.services, &progress.key) {
            return;
        }
        // The highest step wins; of two equal steps the earlier one, so that all nodes keep the same.
        let rank = |p: &RolloutProgress| (p.step, std::cmp::Reverse((p.entered_at, p.by.clone())));
        match self.progress.binary_search_by(|p| p.key.cmp(&progress.key)) {
            Ok(index) if rank(&self.progress[index]) >= rank(&progress) => return,
            Ok(index) => self.progress[index] = progress.clone(),
            Err(index) => self.progress.insert(index, progress.clone()),
        }
        self.refresh_digest();
        self.enqueue(Rumor::Progress(progress.clone()), false);
        if report {
            self.actions.push(GossipAction::Progress(progress));
        }
    }

    fn merge_rollback(&mut self, rollback: Rollback, report: bool) {
        if !is_current(&self.services, &rollback.key) {
            return;
        }
        let rank = |r: &Rollback| (r.at, r.by.clone(), r.cause, r.route.clone());
        match self
            .rollbacks
            .binary_search_by(|r| r.key.cmp(&rollback.key))
        {
            Ok(index) if rank(&self.rollbacks[index]) <= rank(&rollback) => return,
            Ok(index) => self.rollbacks[index] = rollback.clone(),
            Err(index) => {
                self.rollbacks.insert(index, rollback.clone());
                if report {
                    self.actions.push(GossipAction::Rollback(rollback.clone()));
                }
            }
        }
        self.refresh_digest();
        self.enqueue(Rumor::Rollback(rollback), true);
    }

    fn merge_crash(&mut self, wall: WallMs, crash: CrashReport, report: bool) {
        let too_late = crash.at > wall.plus(MAX_CLOCK_SKEW * 2);
        if too_late || wall.since(crash.at) >= CRASH_EXPIRY {
            return;
        }
        if let Err(index) = self.crashes.binary_search(&crash) {
            self.crashes.insert(index, crash.clone());
            self.refresh_digest();
            self.enqueue(Rumor::Crash(crash.clone()), true);
            if report {
                self.actions.push(GossipAction::Crash(crash));
            }
        }
    }

    // Rumor queue.

    fn enqueue(&mut self, rumor: Rumor, urgent: bool) {
        self.queue.retain(|q| !supersedes(&rumor, &q.rumor));
        let size = encoded_size(&rumor);
        self.queue.push(Queued {
            rumor,
            size,
            sends: 0,
            urgent,
        });
        if self.queue.len() > MAX_RUMORS {
            self.queue.sort_by_key(|q| q.sends);
            self.queue.truncate(MAX_RUMORS);
        }
    }

    fn rumor_sends(&self) -> u32 {
        let members = f64::from(u32::try_from(self.membership.present()).unwrap_or(u32::MAX));
        let sends = (RUMOR_FACTOR * (members + 1.0).log10()).ceil();
        // Exact: the logarithm of a number of members is small.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let sends = sends as u32;
        sends.max(MIN_RUMOR_SENDS)
    }

    fn base_size(&self, message: &Message) -> usize {
        // Two bytes more for the length of a list of more than 15 rumors.
        encoded_size(&self.packet(message.clone())) + 2
    }

    fn packet(&self, message: Message) -> Packet {
        let me = self.me();
        Packet {
            header: Header {
                from: me.id.clone(),
                incarnation: me.incarnation,
                version: self.version,
                digest: self.digest(),
                log_reachable: self.log_reachable,
            },
            message,
            rumors: Vec::new(),
        }
    }

    /// Sends a datagram with `first` and as many queued rumors as fit, the least sent ones first.
    fn send(&mut self, to: SocketAddr, message: Message, first: Vec<Rumor>) {
        let mut packet = self.packet(message);
        let mut size = encoded_size(&packet) + 2;
        let budget = datagram_budget();
        for rumor in first {
            let rumor_size = encoded_size(&rumor);
            if size + rumor_size <= budget {
                size += rumor_size;
                packet.rumors.push(rumor);
            }
        }
        self.queue.sort_by_key(|q| (!q.urgent, q.sends));
        for queued in &mut self.queue {
            if size + queued.size <= budget && !packet.rumors.contains(&queued.rumor) {
                size += queued.size;
                queued.sends += 1;
                packet.rumors.push(queued.rumor.clone());
            }
        }
        let limit = self.rumor_sends();
        self.queue.retain(|q| q.sends < limit);
        self.actions.push(GossipAction::Send { to, packet });
    }

    fn ping(&mut self, id: &NodeId) {
        let found = self.membership.find(id).filter(|_| *id != self.me().id);
        if let Some(index) = found {
            let to = self.members()[index].gossip_addr;
            let sequence = self.membership.next_sequence();
            self.send(to, Message::Ping { sequence }, Vec::new());
        }
    }

    /// Sends an urgent change to the first members without waiting for the tick.
    fn send_urgent(&mut self) {
        for _ in 0..URGENT_FANOUT {
            self.spread_once();
        }
    }

    fn spread(&mut self) {
        let urgent = self.queue.iter().any(|q| q.urgent);
        let datagrams = if urgent {
            SPREAD_FANOUT
        } else {
            usize::from(self.queue.len() > BACKLOG)
        };
        for _ in 0..datagrams {
            self.spread_once();
        }
    }

    /// Sends queued rumors to the next member of a shuffled list: without repetition fewer members of
    /// a small fleet are missed than by independent choices.
    fn spread_once(&mut self) {
        if self.queue.is_empty() {
            return;
        }
        if self.spread_joins != self.membership.joins() {
            self.spread_order.clear();
            self.spread_joins = self.membership.joins();
        }
        if self.spread_order.is_empty() {
            let all = self.membership.choose(usize::MAX, |_| true);
            self.spread_order = all.iter().map(|&i| self.members()[i].id.clone()).collect();
        }
        while let Some(id) = self.spread_order.pop() {
            let Some(index) = self.membership.find(&id).filter(|_| !self.is_dead(&id)) else {
                continue;
            };
            let to = self.members()[index].gossip_addr;
            self.send(to, Message::Hint, Vec::new());
            return;
        }
    }

    // Configuration versions.

    fn send_hints(&mut self) {
        let region = self.me().region.clone();
        let rng = self.membership.rng();
        let remote = (0..HINT_FANOUT)
            .filter(|_| rng.random_bool(CROSS_REGION_HINTS))
            .count();
        let mut targets = self.membership.choose(remote, |m| m.region != region);
        let local = HINT_FANOUT - targets.len();
        targets.extend(self.membership.choose(local, |m| m.region == region));
        if targets.len() < HINT_FANOUT {
            // A region of few members is not left without hints to others.
            let more = HINT_FANOUT - targets.len();
            targets.extend(self.membership.choose(more, |m| m.region != region));
        }
        for index in targets {
            if self.membership.info()[index].version < self.version {
                let to = self.members()[index].gossip_addr;
                self.send(to, Message::Hint, Vec::new());
            }
        }
    }

    fn consider_pull(&mut self, now: Duration, peer: &NodeId, version: ConfigVersion) {
        self.pull_peers.retain(|(id, _)| id != peer);
        if self.pull_peers.len() == MAX_PULL_PEERS {
            self.pull_peers.remove(0);
        }
        self.pull_peers.push((peer.clone(), version));
        self.start_pull(now);
    }

    fn start_pull(&mut self, now: Duration) {
        if self.pull.is_some() {
            return;
        }
        let me = self.me();
        let mut best: Option<(bool, ConfigVersion, usize)> = None;
        for (id, version) in &self.pull_peers {
            let Some(index) = self.membership.find(id).filter(|_| !self.is_dead(id)) else {
                continue;
            };
            let local = self.members()[index].region == me.region;
            if *version > self.version && best.is_none_or(|b| (local, *version) > (b.0, b.1)) {
                best = Some((local, *version, index));
            }
        }
        let Some((local, _, index)) = best else {
            self.remote_pull_at = None;
            return;
        };
        if !local && now < *self.remote_pull_at.get_or_insert(now + REMOTE_PULL_DELAY) {
            return;
        }
        self.remote_pull_at = None;
        let peer = self.members()[index].clone();
        self.pull = Some((peer.id.clone(), now));
        self.actions.push(GossipAction::PullConfig { peer });
    }

    fn drive_pull(&mut self, now: Duration) {
        if let Some((peer, since)) = &self.pull
            && now.saturating_sub(*since) >= PULL_TIMEOUT
        {
            let peer = peer.clone();
            self.pull = None;
            self.pull_peers.retain(|(id, _)| *id != peer);
        }
        self.start_pull(now);
    }

    fn drive_queries(&mut self, now: Duration) {
        let Some(highest) = self.queries.iter().map(|q| q.version).max() else {
            self.asked.clear();
            return;
        };
        let mut ended = Vec::new();
        for (index, query) in self.queries.iter_mut().enumerate() {
            let age = now.saturating_sub(query.started);
            let members = self.membership.members().iter().zip(self.membership.info());
            let present = members.filter(|(m, _)| m.status != MemberStatus::Dead);
            let mut total = 0;
            let mut missing = Vec::new();
            for (member, info) in present {
                total += 1;
                let own = member.id == self.membership.me().id;
                let version = if own { self.version } else { info.version };
                if version < query.version {
                    missing.push(member.id.clone());
                }
            }
            let end = missing.is_empty() || age >= VERSION_QUERY_END;
            if end || (age >= IN_FORCE_BOUND && !query.reported) {
                query.reported = true;
                self.actions.push(GossipAction::VersionStatus {
                    version: query.version,
                    have: total - missing.len(),
                    total,
                    missing,
                });
            }
            if end {
                ended.push(index);
            }
        }
        for index in ended.into_iter().rev() {
            self.queries.remove(index);
        }
        if self.queries.is_empty() {
            self.asked.clear();
            return;
        }
        let mut budget = VERSION_QUERIES_PER_TICK;
        for index in 0..self.members().len() {
            let member = &self.members()[index];
            let known = self.membership.info()[index].version;
            if budget == 0
                || member.status == MemberStatus::Dead
                || known >= highest
                || member.id == self.me().id
            {
                continue;
            }
            let to = member.gossip_addr;
            match self.asked.binary_search_by(|(id, _)| id.cmp(&member.id)) {
                Ok(i) if now.saturating_sub(self.asked[i].1) < VERSION_QUERY_RETRY => continue,
                Ok(i) => self.asked[i].1 = now,
                Err(i) => self.asked.insert(i, (member.id.clone(), now)),
            }
            budget -= 1;
            let sequence = self.membership.next_sequence();
            self.send(to, Message::VersionQuery { sequence }, Vec::new());
        }
    }

    // Full exchanges.

    fn drive_join(&mut self, now: Duration) {
        if self
            .sync
            .is_some_and(|(_, at)| now.saturating_sub(at) >= SYNC_TIMEOUT)
        {
            self.on_sync_failed(now);
        }
        if self.sync.is_some() || self.cfg.seeds.is_empty() {
            return;
        }
        if !self.joined {
            let jitter = self.membership.rng().random_range(0.0..1.0);
            let at = *self
                .join_at
                .get_or_insert(now + JOIN_JITTER.mul_f64(jitter));
            if now >= at {
                let seed = self.membership.rng().random_range(0..self.cfg.seeds.len());
                self.start_sync(now, self.cfg.seeds[seed]);
            }
            return;
        }
        let fleet = u32::try_from(self.membership.present().div_ceil(REJOIN_FLEET));
        let longest = REJOIN_PERIOD * fleet.unwrap_or(u32::MAX);
        let period = longest.min(FIRST_REJOIN * 2u32.saturating_pow(self.rejoins.min(16)));
        let jitter = self.membership.rng().random_range(0.5..1.5);
        let at = *self.next_rejoin.get_or_insert(now + period.mul_f64(jitter));
        if now < at {
            return;
        }
        self.next_rejoin = None;
        self.rejoins += 1;
        let present = |seed: &SocketAddr| {
            self.members()
                .iter()
                .any(|m| m.node_addr == *seed && m.status != MemberStatus::Dead)
        };
        let absent: Vec<SocketAddr> = self
            .cfg
            .seeds
            .iter()
            .filter(|s| !present(s))
            .copied()
            .collect();
        if !absent.is_empty() {
            let seed = self.membership.rng().random_range(0..absent.len());
            self.start_sync(now, absent[seed]);
        }
    }

    fn start_sync(&mut self, now: Duration, addr: SocketAddr) {
        let jitter = self.membership.rng().random_range(0.5..1.5);
        let period = if self.joining(now) {
            JOIN_PATIENCE
        } else {
            SYNC_PERIOD
        };
        self.next_sync = now + period.mul_f64(jitter);
        self.sync = Some((addr, now));
        self.check = None;
        self.actions.push(GossipAction::Sync { addr });
    }

    fn joining(&self, now: Duration) -> bool {
        now.saturating_sub(self.joined_at) < JOIN_PHASE
    }

    fn sync_with(&mut self, now: Duration, peer: &NodeId) {
        if self.sync.is_none()
            && now >= self.next_sync
            && let Some(index) = self.membership.find(peer)
        {
            self.start_sync(now, self.members()[index].node_addr);
        }
    }

    fn compare_digests(&mut self, now: Duration, peer: &NodeId, theirs: u64, returned: bool) {
        let mine = self.digest();
        let Some(index) = self.membership.find(peer).filter(|_| !self.is_dead(peer)) else {
            return;
        };
        if mine == theirs {
            self.agreed_at = now;
            self.check.take_if(|c| c.peer == *peer);
            return;
        }
        // Peers of the own region are preferred, as traffic between regions is billed.
        let remote = self.members()[index].region != self.me().region;
        let limit = if self.joining(now) {
            JOIN_PATIENCE
        } else {
            DISAGREEMENT_LIMIT
        };
        let limit = if remote { limit * 2 } else { limit };
        if returned || now.saturating_sub(self.agreed_at) >= limit {
            self.sync_with(now, peer);
            return;
        }
        if let Some(check) = self.check.take_if(|c| c.peer == *peer && c.asked) {
            if check.mine == mine && check.theirs == theirs {
                self.sync_with(now, peer);
            }
            return;
        }
        let is_remote = |id: &NodeId| {
            let found = self.membership.find(id);
            found.is_none_or(|i| self.members()[i].region != self.me().region)
        };
        let better = |check: &DigestCheck| !check.asked && !remote && is_remote(&check.peer);
        if self.check.as_ref().is_none_or(better) {
            self.check = Some(DigestCheck {
                peer: peer.clone(),
                mine,
                theirs,
                due: now + DIGEST_PATIENCE,
                asked: false,
            });
        }
    }

    fn drive_check(&mut self, now: Duration) {
        let mine = self.digest();
        if let Some(check) = &mut self.check
            && now >= check.due
        {
            if check.asked || check.mine != mine {
                self.check = None;
            } else {
                check.asked = true;
                check.due = now + SYNC_TIMEOUT;
                let peer = check.peer.clone();
                self.ping(&peer);
            }
        }
    }

    // Readers of the log.

    fn refresh_readers(&mut self) {
        let generation = self.membership.generation();
        if self.readers_of.replace(generation) == Some(generation) {
            return;
        }
        let region: &RegionName = &self.me().region;
        let mut ranked: Vec<(u64, usize)> = Vec::new();
        for (index, member) in self.members().iter().enumerate() {
            let present = matches!(member.status, MemberStatus::Alive | MemberStatus::Suspect);
            if present && member.region == *region {
                let weight = rendezvous::weight(region.as_str(), member.id.as_str());
                ranked.push((weight, index));
            }
        }
        ranked.sort_unstable_by(|a, b| b.cmp(a));
        let reachable: Vec<usize> = ranked
            .iter()
            .map(|&(_, i)| i)
            .filter(|&i| self.membership.info()[i].log_reachable)
            .collect();
        // If nobody reaches the log the first in line keep trying.
        let pool = if reachable.is_empty() {
            ranked.iter().map(|&(_, i)| i).collect()
        } else {
            reachable
        };
        let domain = |i: usize| &self.members()[i].domain;
        let mut readers: Vec<usize> = Vec::new();
        for &index in &pool {
            if readers.len() < READERS && readers.iter().all(|&r| domain(r) != domain(index)) {
                readers.push(index);
            }
        }
        for &index in &pool {
            if readers.len() < READERS && !readers.contains(&index) {
                readers.push(index);
            }
        }
        let mut candidates: Vec<usize> = ranked
            .iter()
            .take(READER_CANDIDATES)
            .map(|&(_, i)| i)
            .collect();
        candidates.extend(
            readers
                .iter()
                .filter(|r| !candidates.contains(r))
                .copied()
                .collect::<Vec<_>>(),
        );
        let ids = |indexes: Vec<usize>| {
            let members = self.members();
            indexes.into_iter().map(|i| members[i].id.clone()).collect()
        };
        let (readers, candidates) = (ids(readers), ids(candidates));
        self.readers = readers;
        self.candidates = candidates;
    }

    fn notify_candidates(&mut self, now: Duration) {
        if now < self.next_notice || !self.candidates.contains(&self.me().id) {
            return;
        }
        self.next_notice = now + READER_NOTICE_PERIOD;
        let next = self.membership.rng().random_range(0..self.candidates.len());
        let id = self.candidates[next].clone();
        self.ping(&id);
    }
}

/// Bytes of an encoded packet that leave room for authentication.
fn datagram_budget() -> usize {
    MAX_DATAGRAM_BYTES - AUTH_OVERHEAD
}

fn encoded_size<T: serde::Serialize>(value: &T) -> usize {
    // Messages consist of types that can always be encoded; anything else would not be sent either.
    codec::encode_compact(value).map_or(usize::MAX / 2, |bytes| bytes.len())
}

fn item_hash<T: serde::Serialize>(kind: u8, value: &T) -> u64 {
    codec::encode_compact(&(kind, value)).map_or(0, |bytes| xxh3_64(&bytes))
}

/// Whether calls may go to the wrong place, or the key replicas of a key differ between members, until
/// the change is known.
fn is_urgent(before: Option<&Member>, after: &Member) -> bool {
    let takes_work = |m: &Member| matches!(m.status, MemberStatus::Alive | MemberStatus::Suspect);
    let Some(before) = before else {
        return true;
    };
    takes_work(before) != takes_work(after) || before.backend != after.backend
}

/// Whether the rollout may be in the document in force, as far as this node knows.
fn is_current(services: &(ConfigVersion, Vec<ServiceSince>), key: &RolloutKey) -> bool {
    let (version, services) = services;
    key.since > *version
        || services
            .iter()
            .any(|s| s.service == key.service && s.since == key.since)
        || *version == ConfigVersion::NONE
}

/// Whether the queue need not keep `old` when `new` is added.
fn supersedes(new: &Rumor, old: &Rumor) -> bool {
    match (new, old) {
        (Rumor::Member(new), Rumor::Member(old)) => new.id == old.id,
        (
            Rumor::Member(new),
            Rumor::Suspect {
                id, incarnation, ..
            },
        ) => {
            new.id == *id && (new.incarnation > *incarnation || new.status > MemberStatus::Suspect)
        }
        (Rumor::Progress(new), Rumor::Progress(old)) => new.key == old.key,
        (Rumor::Rollback(new), Rumor::Rollback(old)) => new.key == old.key,
        _ => false,
    }
}
