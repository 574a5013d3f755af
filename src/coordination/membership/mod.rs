//! Failure detection and group membership with the SWIM protocol (Das et al., 2002) and the
//! Lifeguard extensions (Dadgar et al., 2017). See `docs/design.md`, section 5.

pub mod heartbeat_hold;
pub mod stopped_nodes;

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::invariant;
use crate::protocol::gossip::Member;
use crate::protocol::gossip::MemberStatus;
use crate::protocol::gossip::Message;
use crate::protocol::gossip::Rumor;
use crate::protocol::name::ConfigVersion;
use crate::protocol::name::DomainName;
use crate::protocol::name::NodeId;
use crate::protocol::time::WallMs;

/// Time between two probes of a healthy node.
pub const PROBE_PERIOD: Duration = Duration::from_secs(1);
/// Time without an ack after which a probe is repeated through other members. Regions are 8 ms apart,
/// so even a busy receiver answers in this time. More than half of the probe period remains for the
/// indirect probes.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Number of members that are asked to repeat a probe (SWIM's k).
pub const INDIRECT_PROBES: usize = 3;
/// Largest local health score (Lifeguard's S). A score of s multiplies the probe period and the probe
/// timeout by s + 1, so by up to 9.
pub const MAX_HEALTH_SCORE: u32 = 8;
/// The shortest suspicion timeout is this factor times log10(n) probe periods (Lifeguard's alpha).
pub const SUSPICION_FACTOR: f64 = 4.0;
/// The longest suspicion timeout as a multiple of the shortest one (Lifeguard's beta).
pub const SUSPICION_MAX_RATIO: f64 = 6.0;
/// Independent confirmations that reduce a suspicion timeout to the shortest one (Lifeguard's K).
pub const SUSPICION_CONFIRMATIONS: usize = 3;
/// Time for which the record of a dead member is kept. Rumors circulate for seconds and a network
/// partition lasts for about an hour, so no other node holds an older record of the member any more
/// when this one is removed.
pub const DEAD_MEMBER_RETENTION: Duration = Duration::from_hours(24);
/// Time for which [`Membership::departed`] lists a member. It equals the time for which the keys of
/// non-idempotent calls are kept.
pub const DEPARTED_WINDOW: Duration = Duration::from_mins(10);
/// Time between two ticks that shows that this process was paused. It could not receive acks during the
/// pause, so missing acks are no evidence against other members.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(3);
/// Time between two pings that a node sends to dead members, in a fleet of up to [`RECONNECT_FLEET_SIZE`]
/// members. Without these pings, two sides of a network partition that declared each other dead would
/// not find each other again when it ends.
pub const RECONNECT_PERIOD: Duration = Duration::from_secs(10);
/// Number of members above which [`RECONNECT_PERIOD`] grows in proportion to the fleet, so that a
/// fleet of any size sends about 3 such pings a second.
pub const RECONNECT_FLEET_SIZE: usize = 32;
/// Death checks sent per tick. A death check is a ping to a member that a peer reported as dead in a full
/// exchange. The 650 members of one of two regions are pinged within 9 s.
pub const DEATH_CHECKS_PER_TICK: usize = 8;
/// Death checks after which a member that has not refuted the report is suspected.
pub const MAX_DEATH_CHECK_PINGS: u8 = 3;
/// Time between two death checks of the same member.
pub const DEATH_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Indirect probes that a node carries out for other members at the same time.
pub const MAX_FORWARDED_PROBES: usize = 64;

/// A member that left or died.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Departed {
    /// The member.
    pub id: NodeId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Wall-clock time at which this node learned that the member left or died.
    pub at: WallMs,
}

/// An action that a [`Membership`] requests from its owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipEvent {
    /// Send a message.
    Send {
        /// Gossip address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
        /// Rumors that go into the datagram before any queued ones.
        first: Vec<Rumor>,
    },
    /// A record changed. The owner spreads the new record unless its status is suspect.
    Changed {
        /// The previous record, `None` for a new member.
        before: Option<Member>,
        /// The current record.
        after: Member,
    },
    /// Spread a suspicion.
    Spread(Rumor),
    /// Other members declared this node dead, and it has refuted the claim.
    DeclaredDead,
}

/// Local information about a member, in addition to its replicated record.
#[derive(Clone, Debug)]
pub struct MemberInfo {
    /// Highest configuration version seen in the member's datagrams.
    pub version: ConfigVersion,
    /// Whether the member's polls of the log succeed, according to its last datagram.
    pub log_reachable: bool,
    suspicion: Option<Suspicion>,
    dead_since: Option<Duration>,
    /// Whether the member announced that it leaves. It is then not pinged any more once it is dead.
    left: bool,
    /// Whether the member is in `probe_order`.
    in_probe_order: bool,
}

#[derive(Clone, Debug)]
struct Suspicion {
    since: Duration,
    reporters: Vec<NodeId>,
}

#[derive(Debug)]
struct Probe {
    target: NodeId,
    sequence: u64,
    sent_at: Duration,
    helpers: u32,
    nacks: u32,
    indirect: bool,
}

#[derive(Debug)]
struct ForwardedProbe {
    sequence: u64,
    to: SocketAddr,
    requester_sequence: u64,
    sent_at: Duration,
    nacked: bool,
}

#[derive(Debug)]
struct DeathCheck {
    record: Member,
    pings: u8,
    due: Duration,
}

/// The membership list and failure detector of one node.
#[derive(Debug)]
pub struct Membership {
    rng: StdRng,
    id: NodeId,
    members: Vec<Member>,
    /// Parallel to `members`.
    info: Vec<MemberInfo>,
    probe_order: Vec<NodeId>,
    next_in_order: usize,
    probe: Option<Probe>,
    next_probe: Duration,
    next_reconnect: Duration,
    forwarded_probes: Vec<ForwardedProbe>,
    death_checks: Vec<DeathCheck>,
    sequence: u64,
    health: u32,
    departed: Vec<Departed>,
    declared_dead_at: Option<Duration>,
    /// Highest incarnation with which this process was declared dead.
    refuted_death: Option<u64>,
    last_tick: Option<Duration>,
    digest: u64,
    present: usize,
    generation: u64,
    join_count: u64,
}

impl Membership {
    /// Creates the state of a node that knows only itself.
    ///
    /// The first incarnation is at least the wall-clock time at which the process started, so that a
    /// restarted node supersedes the records of its previous process.
    #[must_use]
    pub fn new(mut me: Member, seed: u64) -> Self {
        me.incarnation = me.incarnation.max(me.started_at.0);
        Self {
            rng: StdRng::seed_from_u64(seed),
            id: me.id.clone(),
            digest: member_hash(&me),
            info: vec![MemberInfo::new()],
            members: vec![me],
            probe_order: Vec::new(),
            next_in_order: 0,
            probe: None,
            next_probe: Duration::ZERO,
            next_reconnect: Duration::ZERO,
            forwarded_probes: Vec::new(),
            death_checks: Vec::new(),
            sequence: 0,
            health: 0,
            departed: Vec::new(),
            declared_dead_at: None,
            refuted_death: None,
            last_tick: None,
            present: 1,
            generation: 0,
            join_count: 0,
        }
    }

    /// Returns the record of this node.
    ///
    /// # Panics
    /// Never: the node's own record is not removed.
    #[must_use]
    pub fn me(&self) -> &Member {
        &self.members[self.find(&self.id).expect("the own record is kept")]
    }

    /// Returns all members sorted by id, this node and dead ones included.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the local information about all members, parallel to [`Membership::members`].
    #[must_use]
    pub fn info(&self) -> &[MemberInfo] {
        &self.info
    }

    /// Returns the local information about the member at an index.
    pub fn info_mut(&mut self, index: usize) -> &mut MemberInfo {
        &mut self.info[index]
    }

    /// Returns the index of a member in [`Membership::members`].
    #[must_use]
    pub fn find(&self, id: &NodeId) -> Option<usize> {
        self.members.binary_search_by(|m| m.id.cmp(id)).ok()
    }

    /// Returns the number of members that are not dead, this node included.
    #[must_use]
    pub fn present(&self) -> usize {
        self.present
    }

    /// Returns an order-independent digest of the members that are not dead. It ignores suspicions and
    /// dead members, since nodes remove them at different times.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns a counter that changes with every change of a record.
    #[must_use]
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns a counter that changes when a member joins or rejoins.
    #[must_use]
    pub fn join_count(&self) -> u64 {
        self.join_count
    }

    /// Returns the local health score, 0 for a healthy node (Lifeguard).
    #[must_use]
    pub fn health(&self) -> u32 {
        self.health
    }

    /// Returns the monotonic time at which this node last learned that it had been declared dead.
    #[must_use]
    pub fn declared_dead_at(&self) -> Option<Duration> {
        self.declared_dead_at
    }

    /// Returns the members that left or died within [`DEPARTED_WINDOW`], oldest first.
    #[must_use]
    pub fn departed(&self, now: WallMs) -> &[Departed] {
        let start = self
            .departed
            .partition_point(|d| now.since(d.at) > DEPARTED_WINDOW);
        &self.departed[start..]
    }

    /// Returns a new sequence number for a request message.
    pub fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Returns the random number generator, for decisions of the owner.
    pub fn rng(&mut self) -> &mut StdRng {
        &mut self.rng
    }

    /// Chooses up to `count` distinct other members that are not dead and match `filter`, in random
    /// order.
    pub fn choose(&mut self, count: usize, filter: impl Fn(&Member) -> bool) -> Vec<usize> {
        let mut eligible: Vec<usize> = (0..self.members.len())
            .filter(|&i| {
                let m = &self.members[i];
                m.status != MemberStatus::Dead && m.id != self.id && filter(m)
            })
            .collect();
        let count = count.min(eligible.len());
        for i in 0..count {
            let j = self.rng.random_range(i..eligible.len());
            eligible.swap(i, j);
        }
        eligible.truncate(count);
        eligible
    }

    /// Changes the node's own record and increments its incarnation.
    pub fn change_me(
        &mut self,
        now: Duration,
        wall: WallMs,
        change: impl FnOnce(&mut Member),
    ) -> MembershipEvent {
        let mut record = self.me().clone();
        record.incarnation = record.incarnation.saturating_add(1);
        change(&mut record);
        self.put(now, wall, record)
    }

    /// Performs the periodic work that is due.
    pub fn tick(&mut self, now: Duration, wall: WallMs) -> Vec<MembershipEvent> {
        let mut events = Vec::new();
        self.detect_pause(now, wall, &mut events);
        self.expire_suspicions(now, wall, &mut events);
        self.remove_expired(now, wall);
        self.drive_probe(now, wall, &mut events);
        self.drive_forwarded_probes(now, &mut events);
        self.drive_death_checks(now, wall, &mut events);
        self.reconnect(now, &mut events);
        events
    }

    fn detect_pause(&mut self, now: Duration, wall: WallMs, events: &mut Vec<MembershipEvent>) {
        let gap = now.saturating_sub(self.last_tick.replace(now).unwrap_or(now));
        if gap < PAUSE_THRESHOLD {
            return;
        }
        self.probe = None;
        self.forwarded_probes.clear();
        self.raise_health(1);
        for suspicion in self.info.iter_mut().filter_map(|i| i.suspicion.as_mut()) {
            suspicion.since += gap;
        }
        if gap < DEAD_MEMBER_RETENTION / 2 {
            return;
        }
        // After so long a pause, other nodes may have removed members that this node still lists as
        // alive. Its records would bring those members back.
        let others: Vec<Member> = self
            .members
            .iter()
            .filter(|m| m.id != self.id && m.status != MemberStatus::Dead)
            .cloned()
            .collect();
        for mut record in others {
            record.status = MemberStatus::Dead;
            events.push(self.put(now, wall, record));
        }
        let id = self.id.clone();
        self.remove_where(|m, _| m.id != id);
    }

    fn expire_suspicions(
        &mut self,
        now: Duration,
        wall: WallMs,
        events: &mut Vec<MembershipEvent>,
    ) {
        for index in 0..self.members.len() {
            let Some(suspicion) = &self.info[index].suspicion else {
                continue;
            };
            let timeout = suspicion_timeout(self.present, suspicion.reporters.len());
            if now.saturating_sub(suspicion.since) >= timeout {
                let mut record = self.members[index].clone();
                record.status = MemberStatus::Dead;
                events.push(self.put(now, wall, record));
            }
        }
    }

    fn remove_expired(&mut self, now: Duration, wall: WallMs) {
        let expired = |info: &MemberInfo| {
            info.dead_since
                .is_some_and(|at| now.saturating_sub(at) >= DEAD_MEMBER_RETENTION)
        };
        if self.info.iter().any(expired) {
            self.remove_where(|_, info| expired(info));
        }
        let expired_count = self.departed.len() - self.departed(wall).len();
        self.departed.drain(..expired_count);
    }

    fn remove_where(&mut self, condition: impl Fn(&Member, &MemberInfo) -> bool) {
        for index in (0..self.members.len()).rev() {
            if condition(&self.members[index], &self.info[index]) {
                self.members.remove(index);
                self.info.remove(index);
            }
        }
        self.generation += 1;
    }

    fn drive_probe(&mut self, now: Duration, wall: WallMs, events: &mut Vec<MembershipEvent>) {
        let scale = self.health + 1;
        if let Some(probe) = &mut self.probe {
            let age = now.saturating_sub(probe.sent_at);
            if age >= PROBE_PERIOD * scale {
                let probe = self.probe.take();
                if let Some(probe) = probe {
                    self.fail_probe(now, wall, &probe, events);
                }
            } else if age >= PROBE_TIMEOUT * scale && !probe.indirect {
                probe.indirect = true;
                let sequence = probe.sequence;
                let target = probe.target.clone();
                let helpers = self.choose(INDIRECT_PROBES, |m| {
                    m.id != target && m.status == MemberStatus::Alive
                });
                for &index in &helpers {
                    events.push(MembershipEvent::Send {
                        to: self.members[index].gossip_addr,
                        message: Message::PingReq {
                            sequence,
                            target: target.clone(),
                        },
                        first: Vec::new(),
                    });
                }
                if let Some(probe) = &mut self.probe {
                    probe.helpers = u32::try_from(helpers.len()).unwrap_or(u32::MAX);
                }
            }
        }
        if self.probe.is_some() || now < self.next_probe {
            return;
        }
        let Some(target) = self.next_target() else {
            return;
        };
        self.next_probe = now + PROBE_PERIOD * (self.health + 1);
        let sequence = self.next_sequence();
        let index = self.find(&target);
        self.probe = Some(Probe {
            target,
            sequence,
            sent_at: now,
            helpers: 0,
            nacks: 0,
            indirect: false,
        });
        if let Some(index) = index {
            events.push(self.ping(index, sequence));
        }
    }

    fn ping(&self, index: usize, sequence: u64) -> MembershipEvent {
        MembershipEvent::Send {
            to: self.members[index].gossip_addr,
            message: Message::Ping { sequence },
            first: self.refutable_record(index).into_iter().collect(),
        }
    }

    /// Returns the record of a member that is suspected or dead. Messages to the member carry it, so
    /// that the member can refute it early (Lifeguard's buddy system).
    fn refutable_record(&self, index: usize) -> Option<Rumor> {
        let record = &self.members[index];
        matches!(record.status, MemberStatus::Suspect | MemberStatus::Dead)
            .then(|| Rumor::Member(record.clone()))
    }

    fn fail_probe(
        &mut self,
        now: Duration,
        wall: WallMs,
        probe: &Probe,
        events: &mut Vec<MembershipEvent>,
    ) {
        self.raise_health(if probe.helpers == 0 {
            1
        } else {
            probe.helpers.saturating_sub(probe.nacks)
        });
        let Some(index) = self.find(&probe.target) else {
            return;
        };
        if self.members[index].status == MemberStatus::Leaving {
            // The member announced that it stops, so its death needs no confirmation.
            let mut record = self.members[index].clone();
            record.status = MemberStatus::Dead;
            events.push(self.put(now, wall, record));
            return;
        }
        self.suspect(now, wall, index, Some(self.id.clone()), events);
    }

    /// Starts the suspicion of a member, or adds `by` as a confirmation of it.
    fn suspect(
        &mut self,
        now: Duration,
        wall: WallMs,
        index: usize,
        by: Option<NodeId>,
        events: &mut Vec<MembershipEvent>,
    ) {
        let mut record = self.members[index].clone();
        if !matches!(record.status, MemberStatus::Alive | MemberStatus::Suspect) {
            return;
        }
        if record.status == MemberStatus::Alive {
            record.status = MemberStatus::Suspect;
            events.push(self.put(now, wall, record));
            self.info[index].suspicion = Some(Suspicion {
                since: now,
                reporters: Vec::new(),
            });
        }
        let Some(by) = by else {
            return;
        };
        let Some(suspicion) = &mut self.info[index].suspicion else {
            return;
        };
        if suspicion.reporters.len() <= SUSPICION_CONFIRMATIONS
            && !suspicion.reporters.contains(&by)
        {
            suspicion.reporters.push(by.clone());
            events.push(MembershipEvent::Spread(Rumor::Suspect {
                id: self.members[index].id.clone(),
                incarnation: self.members[index].incarnation,
                by,
            }));
        }
    }

    fn next_target(&mut self) -> Option<NodeId> {
        while !self.probe_order.is_empty() {
            if self.next_in_order >= self.probe_order.len() {
                self.probe_order.shuffle(&mut self.rng);
                self.next_in_order = 0;
            }
            let id = self.probe_order[self.next_in_order].clone();
            let index = self.find(&id);
            if index.is_some_and(|i| self.members[i].status != MemberStatus::Dead) {
                self.next_in_order += 1;
                return Some(id);
            }
            self.probe_order.remove(self.next_in_order);
            if let Some(index) = index {
                self.info[index].in_probe_order = false;
            }
        }
        None
    }

    fn drive_forwarded_probes(&mut self, now: Duration, events: &mut Vec<MembershipEvent>) {
        for forwarded in &mut self.forwarded_probes {
            if !forwarded.nacked && now.saturating_sub(forwarded.sent_at) >= PROBE_TIMEOUT {
                forwarded.nacked = true;
                events.push(MembershipEvent::Send {
                    to: forwarded.to,
                    message: Message::Nack {
                        sequence: forwarded.requester_sequence,
                    },
                    first: Vec::new(),
                });
            }
        }
        self.forwarded_probes
            .retain(|r| now.saturating_sub(r.sent_at) < PROBE_PERIOD * 2);
    }

    fn drive_death_checks(
        &mut self,
        now: Duration,
        wall: WallMs,
        events: &mut Vec<MembershipEvent>,
    ) {
        let mut budget = DEATH_CHECKS_PER_TICK;
        let mut index = 0;
        while index < self.death_checks.len() && budget > 0 {
            let check = &mut self.death_checks[index];
            let found = self
                .members
                .binary_search_by(|m| m.id.cmp(&check.record.id))
                .ok()
                .filter(|&i| {
                    let m = &self.members[i];
                    m.incarnation <= check.record.incarnation
                        && matches!(m.status, MemberStatus::Alive | MemberStatus::Suspect)
                });
            let Some(member) = found else {
                self.death_checks.swap_remove(index);
                continue;
            };
            if now >= check.due {
                budget -= 1;
                if check.pings == MAX_DEATH_CHECK_PINGS {
                    self.death_checks.swap_remove(index);
                    self.suspect(now, wall, member, Some(self.id.clone()), events);
                    continue;
                }
                check.pings += 1;
                check.due = now + DEATH_CHECK_PERIOD;
                let record = check.record.clone();
                let sequence = self.next_sequence();
                events.push(MembershipEvent::Send {
                    to: self.members[member].gossip_addr,
                    message: Message::Ping { sequence },
                    first: vec![Rumor::Member(record)],
                });
            }
            index += 1;
        }
    }

    fn reconnect(&mut self, now: Duration, events: &mut Vec<MembershipEvent>) {
        if now < self.next_reconnect {
            return;
        }
        let scale = u32::try_from(self.present.div_ceil(RECONNECT_FLEET_SIZE)).unwrap_or(u32::MAX);
        let jitter = self.rng.random_range(0.5..1.5);
        self.next_reconnect = now + (RECONNECT_PERIOD * scale).mul_f64(jitter);
        let dead: Vec<usize> = (0..self.members.len())
            .filter(|&i| self.members[i].status == MemberStatus::Dead && !self.info[i].left)
            .collect();
        if dead.is_empty() {
            return;
        }
        let index = dead[self.rng.random_range(0..dead.len())];
        let sequence = self.next_sequence();
        events.push(self.ping(index, sequence));
    }

    /// Handles a ping. The ack carries the record of the sender if it is suspected or dead here.
    #[must_use]
    pub fn on_ping(
        &self,
        from: &NodeId,
        to: SocketAddr,
        sequence: u64,
        mut first: Vec<Rumor>,
    ) -> MembershipEvent {
        first.extend(self.find(from).and_then(|i| self.refutable_record(i)));
        MembershipEvent::Send {
            to,
            message: Message::Ack { sequence },
            first,
        }
    }

    /// Handles a request to probe a member on behalf of another one.
    pub fn on_ping_req(
        &mut self,
        now: Duration,
        to: SocketAddr,
        requester_sequence: u64,
        target: &NodeId,
    ) -> MembershipEvent {
        let found = self
            .find(target)
            .filter(|_| self.forwarded_probes.len() < MAX_FORWARDED_PROBES);
        let Some(index) = found else {
            return MembershipEvent::Send {
                to,
                message: Message::Nack {
                    sequence: requester_sequence,
                },
                first: Vec::new(),
            };
        };
        let sequence = self.next_sequence();
        self.forwarded_probes.push(ForwardedProbe {
            sequence,
            to,
            requester_sequence,
            sent_at: now,
            nacked: false,
        });
        self.ping(index, sequence)
    }

    /// Handles the answer to a ping.
    pub fn on_ack(&mut self, sequence: u64) -> Option<MembershipEvent> {
        if self.probe.as_ref().is_some_and(|p| p.sequence == sequence) {
            self.probe = None;
            self.health = self.health.saturating_sub(1);
        }
        let index = self
            .forwarded_probes
            .iter()
            .position(|r| r.sequence == sequence)?;
        let forwarded = self.forwarded_probes.swap_remove(index);
        Some(MembershipEvent::Send {
            to: forwarded.to,
            message: Message::Ack {
                sequence: forwarded.requester_sequence,
            },
            first: Vec::new(),
        })
    }

    /// Handles the report of a helper that the target has not answered its indirect probe either.
    pub fn on_nack(&mut self, sequence: u64) {
        if let Some(probe) = &mut self.probe
            && probe.sequence == sequence
        {
            probe.nacks += 1;
        }
    }

    /// Handles a suspicion that another member spreads.
    pub fn on_suspect(
        &mut self,
        now: Duration,
        wall: WallMs,
        id: &NodeId,
        incarnation: u64,
        by: NodeId,
    ) -> Vec<MembershipEvent> {
        let mut events = Vec::new();
        if *id == self.id {
            if incarnation >= self.me().incarnation {
                events.push(self.refute(now, wall, incarnation));
            }
        } else if let Some(index) = self.find(id)
            && self.members[index].incarnation == incarnation
        {
            self.suspect(now, wall, index, Some(by), &mut events);
        }
        events
    }

    /// Merges the record of a member from a rumor.
    pub fn on_record(
        &mut self,
        now: Duration,
        wall: WallMs,
        update: Member,
    ) -> Vec<MembershipEvent> {
        self.merge(now, wall, update, false)
    }

    /// Merges the record of a member from a full exchange. The peer may report members as dead that
    /// only it could not reach; after a network partition that is every member on this side. A member
    /// that is alive here is therefore pinged first, and suspected only if it does not refute the
    /// report.
    pub fn on_synced_record(
        &mut self,
        now: Duration,
        wall: WallMs,
        update: Member,
    ) -> Vec<MembershipEvent> {
        self.merge(now, wall, update, true)
    }

    fn merge(
        &mut self,
        now: Duration,
        wall: WallMs,
        mut update: Member,
        synced: bool,
    ) -> Vec<MembershipEvent> {
        let mut events = Vec::new();
        if update.id == self.id {
            self.merge_own(now, wall, &update, &mut events);
            return events;
        }
        let found = self.find(&update.id);
        if let Some(index) = found {
            let current = &self.members[index];
            if (update.incarnation, update.status) <= (current.incarnation, current.status) {
                return events;
            }
            if synced
                && update.status == MemberStatus::Dead
                && matches!(current.status, MemberStatus::Alive | MemberStatus::Suspect)
            {
                if !self.death_checks.iter().any(|c| c.record.id == update.id) {
                    self.death_checks.push(DeathCheck {
                        record: update,
                        pings: 0,
                        due: now,
                    });
                }
                return events;
            }
        } else if update.status == MemberStatus::Dead {
            // Otherwise nodes would pass records of dead members back and forth and never remove them.
            return events;
        }
        let suspected = update.status == MemberStatus::Suspect;
        let unchanged = found.is_some_and(|i| self.members[i].incarnation == update.incarnation);
        if suspected {
            update.status = MemberStatus::Alive;
        }
        if !(suspected && unchanged) {
            events.push(self.put(now, wall, update.clone()));
        }
        if suspected && let Some(index) = self.find(&update.id) {
            self.suspect(now, wall, index, None, &mut events);
        }
        events
    }

    fn merge_own(
        &mut self,
        now: Duration,
        wall: WallMs,
        update: &Member,
        events: &mut Vec<MembershipEvent>,
    ) {
        let me = self.me();
        let newer = (update.incarnation, update.status) > (me.incarnation, me.status);
        if update.status == MemberStatus::Dead
            && update.started_at == me.started_at
            && self.refuted_death.is_none_or(|i| update.incarnation > i)
        {
            self.refuted_death = Some(update.incarnation);
            self.declared_dead_at = Some(now);
            events.push(MembershipEvent::DeclaredDead);
        }
        if newer {
            events.push(self.refute(now, wall, update.incarnation));
        }
    }

    fn refute(&mut self, now: Duration, wall: WallMs, incarnation: u64) -> MembershipEvent {
        self.raise_health(1);
        self.change_me(now, wall, |me| {
            me.incarnation = me.incarnation.max(incarnation.saturating_add(1));
        })
    }

    fn raise_health(&mut self, by: u32) {
        self.health = (self.health + by).min(MAX_HEALTH_SCORE);
    }

    /// Stores a record and updates the digest, the counters and the lists that depend on it.
    fn put(&mut self, now: Duration, wall: WallMs, record: Member) -> MembershipEvent {
        let (index, before) = match self.members.binary_search_by(|m| m.id.cmp(&record.id)) {
            Ok(index) => {
                let not_decreasing = record.incarnation >= self.members[index].incarnation;
                if !invariant::check(1, not_decreasing, "the incarnation of a member falls") {
                    let current = self.members[index].clone();
                    return MembershipEvent::Changed {
                        before: Some(current.clone()),
                        after: current,
                    };
                }
                let before = std::mem::replace(&mut self.members[index], record);
                (index, Some(before))
            }
            Err(index) => {
                self.members.insert(index, record);
                self.info.insert(index, MemberInfo::new());
                (index, None)
            }
        };
        let after = self.members[index].clone();
        let status_before = before.as_ref().map_or(MemberStatus::Dead, |b| b.status);
        if let Some(before) = &before {
            self.digest ^= member_hash(before);
        }
        self.digest ^= member_hash(&after);
        let was_present = status_before != MemberStatus::Dead;
        let is_present = after.status != MemberStatus::Dead;
        let info = &mut self.info[index];
        if after.status != MemberStatus::Suspect {
            info.suspicion = None;
        }
        if before
            .as_ref()
            .is_some_and(|b| b.started_at != after.started_at)
        {
            info.version = ConfigVersion::NONE;
            info.log_reachable = true;
        }
        info.left = after.status == MemberStatus::Leaving || (info.left && !is_present);
        info.dead_since = match (is_present, info.dead_since) {
            (true, _) => None,
            (false, since) => since.or(Some(now)),
        };
        if after.id != self.id {
            if is_present && !std::mem::replace(&mut info.in_probe_order, true) {
                let position = self.rng.random_range(0..=self.probe_order.len());
                self.probe_order.insert(position, after.id.clone());
            }
            if matches!(status_before, MemberStatus::Alive | MemberStatus::Suspect)
                && after.status >= MemberStatus::Leaving
            {
                self.departed.push(Departed {
                    id: after.id.clone(),
                    domain: after.domain.clone(),
                    at: self.departed.last().map_or(wall, |d| d.at.max(wall)),
                });
            }
        }
        match (was_present, is_present) {
            (false, true) => {
                self.present += 1;
                self.join_count += 1;
            }
            (true, false) => self.present -= 1,
            _ => (),
        }
        self.generation += 1;
        MembershipEvent::Changed { before, after }
    }
}

impl MemberInfo {
    fn new() -> Self {
        Self {
            version: ConfigVersion::NONE,
            log_reachable: true,
            suspicion: None,
            dead_since: None,
            left: false,
            in_probe_order: false,
        }
    }
}

/// Returns the time after which a suspected member is declared dead (Lifeguard, section IV.B).
#[must_use]
pub fn suspicion_timeout(members: usize, reporters: usize) -> Duration {
    let members_f64 = f64::from(u32::try_from(members).unwrap_or(u32::MAX));
    let shortest = PROBE_PERIOD.mul_f64(SUSPICION_FACTOR * members_f64.log10().max(1.0));
    if members < SUSPICION_CONFIRMATIONS + 2 {
        // The other members are too few for all confirmations.
        return shortest;
    }
    let ln = |n: usize| f64::from(u32::try_from(n).unwrap_or(u32::MAX)).ln();
    let confirmations = reporters.saturating_sub(1).min(SUSPICION_CONFIRMATIONS);
    let share = ln(confirmations + 1) / ln(SUSPICION_CONFIRMATIONS + 1);
    shortest.mul_f64(SUSPICION_MAX_RATIO - (SUSPICION_MAX_RATIO - 1.0) * share)
}

/// Returns the contribution of a member to the digest, zero for a dead one.
fn member_hash(member: &Member) -> u64 {
    if member.status == MemberStatus::Dead {
        return 0;
    }
    let leaving = u64::from(member.status == MemberStatus::Leaving);
    xxh3_64_with_seed(
        member.id.as_str().as_bytes(),
        member.incarnation.wrapping_mul(2).wrapping_add(leaving),
    )
}
