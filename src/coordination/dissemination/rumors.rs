//! The rumor queue: which changes are spread, in which order and how often.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use rand::RngExt;

use crate::coordination::dissemination::BACKLOG_THRESHOLD;
use crate::coordination::dissemination::CRASH_EXPIRY;
use crate::coordination::dissemination::CROSS_REGION_HINT_PROBABILITY;
use crate::coordination::dissemination::Gossip;
use crate::coordination::dissemination::GossipAction;
use crate::coordination::dissemination::HINT_FANOUT;
use crate::coordination::dissemination::MAX_RUMORS;
use crate::coordination::dissemination::MIN_RUMOR_SENDS;
use crate::coordination::dissemination::RUMOR_FACTOR;
use crate::coordination::dissemination::SPREAD_FANOUT;
use crate::coordination::dissemination::URGENT_FANOUT;
use crate::coordination::membership::MembershipEvent;
use crate::protocol::auth::AUTH_OVERHEAD;
use crate::protocol::auth::MAX_CLOCK_SKEW;
use crate::protocol::codec;
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
use crate::protocol::name::ConfigVersion;
use crate::protocol::name::NodeId;
use crate::protocol::record::ServiceSince;
use crate::protocol::time::WallMs;

#[derive(Debug)]
pub(super) struct QueuedRumor {
    pub(super) rumor: Rumor,
    pub(super) size: usize,
    pub(super) sends: u32,
    pub(super) urgent: bool,
}

impl Gossip {
    /// Spreads the progress of a rollout.
    pub fn submit_progress(
        &mut self,
        _now: Duration,
        _wall: WallMs,
        progress: RolloutProgress,
    ) -> Vec<GossipAction> {
        self.merge_progress(progress, false);
        self.take_actions()
    }

    /// Spreads a rollback immediately and on the following ticks.
    pub fn submit_rollback(
        &mut self,
        _now: Duration,
        _wall: WallMs,
        rollback: Rollback,
    ) -> Vec<GossipAction> {
        self.merge_rollback(rollback, false);
        self.send_urgent();
        self.take_actions()
    }

    /// Spreads a crash report immediately and on the following ticks.
    pub fn submit_crash(
        &mut self,
        _now: Duration,
        wall: WallMs,
        crash: CrashReport,
    ) -> Vec<GossipAction> {
        self.merge_crash(wall, crash, false);
        self.send_urgent();
        self.take_actions()
    }

    /// Sends an evidence report to the given members. A report that does not fit into one datagram is
    /// split by routes into parts with the same sequence number.
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
        self.take_actions()
    }

    /// Recomputes the part of the digest that covers progress, rollbacks and crashes.
    pub(super) fn refresh_digest(&mut self) {
        let progress = self.progress.iter().map(|p| item_hash(0, p));
        let rollbacks = self.rollbacks.iter().map(|r| item_hash(1, r));
        let crashes = self.crashes.iter().map(|c| item_hash(2, c));
        let items = progress.chain(rollbacks).chain(crashes);
        self.rollout_digest = items.fold(0, |digest, hash| digest ^ hash);
    }

    pub(super) fn on_rumor(&mut self, now: Duration, wall: WallMs, rumor: Rumor) {
        match rumor {
            Rumor::Member(member) => {
                let events = self.membership.on_record(now, wall, member);
                self.apply_events(events, true);
            }
            Rumor::Suspect {
                id,
                incarnation,
                by,
            } => {
                let events = self.membership.on_suspect(now, wall, &id, incarnation, by);
                self.apply_events(events, true);
            }
            Rumor::Progress(progress) => self.merge_progress(progress, true),
            Rumor::Rollback(rollback) => self.merge_rollback(rollback, true),
            Rumor::Crash(crash) => self.merge_crash(wall, crash, true),
        }
    }

    pub(super) fn apply_events(
        &mut self,
        events: impl IntoIterator<Item = MembershipEvent>,
        spread: bool,
    ) {
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

    pub(super) fn merge_progress(&mut self, progress: RolloutProgress, report: bool) {
        if !is_current(&self.services, &progress.key) {
            return;
        }
        // The highest step wins, and of two equal steps the earlier one, so that all nodes converge.
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

    pub(super) fn merge_rollback(&mut self, rollback: Rollback, report: bool) {
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

    pub(super) fn merge_crash(&mut self, wall: WallMs, crash: CrashReport, report: bool) {
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

    pub(super) fn enqueue(&mut self, rumor: Rumor, urgent: bool) {
        self.queue.retain(|q| !supersedes(&rumor, &q.rumor));
        let size = encoded_size(&rumor);
        self.queue.push(QueuedRumor {
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

    pub(super) fn rumor_sends(&self) -> u32 {
        let members = f64::from(u32::try_from(self.membership.present()).unwrap_or(u32::MAX));
        let sends = (RUMOR_FACTOR * (members + 1.0).log10()).ceil();
        // The cast is exact: the logarithm of a number of members is small.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let sends = sends as u32;
        sends.max(MIN_RUMOR_SENDS)
    }

    pub(super) fn base_size(&self, message: &Message) -> usize {
        // The length of a list of more than 15 rumors takes two bytes more.
        encoded_size(&self.packet(message.clone())) + 2
    }

    pub(super) fn packet(&self, message: Message) -> Packet {
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

    /// Sends a datagram with the rumors in `first` and as many queued rumors as fit: urgent rumors
    /// first, and among them the ones that were sent least often.
    pub(super) fn send(&mut self, to: SocketAddr, message: Message, first: Vec<Rumor>) {
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

    pub(super) fn ping(&mut self, id: &NodeId) {
        let found = self.membership.find(id).filter(|_| *id != self.me().id);
        if let Some(index) = found {
            let to = self.members()[index].gossip_addr;
            let sequence = self.membership.next_sequence();
            self.send(to, Message::Ping { sequence }, Vec::new());
        }
    }

    /// Sends queued rumors to [`URGENT_FANOUT`] members without waiting for the next tick.
    pub(super) fn send_urgent(&mut self) {
        for _ in 0..URGENT_FANOUT {
            self.spread_once();
        }
    }

    pub(super) fn spread(&mut self) {
        let urgent = self.queue.iter().any(|q| q.urgent);
        let datagrams = if urgent {
            SPREAD_FANOUT
        } else {
            usize::from(self.queue.len() > BACKLOG_THRESHOLD)
        };
        for _ in 0..datagrams {
            self.spread_once();
        }
    }

    /// Sends queued rumors to the next member of a shuffled list. In a small fleet this misses fewer
    /// members than independent random choices, since no member is chosen twice in a round.
    pub(super) fn spread_once(&mut self) {
        if self.queue.is_empty() {
            return;
        }
        if self.spread_joins != self.membership.join_count() {
            self.spread_order.clear();
            self.spread_joins = self.membership.join_count();
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

    pub(super) fn send_hints(&mut self) {
        let region = self.me().region.clone();
        let rng = self.membership.rng();
        let remote = (0..HINT_FANOUT)
            .filter(|_| rng.random_bool(CROSS_REGION_HINT_PROBABILITY))
            .count();
        let mut targets = self.membership.choose(remote, |m| m.region != region);
        let local = HINT_FANOUT - targets.len();
        targets.extend(self.membership.choose(local, |m| m.region == region));
        if targets.len() < HINT_FANOUT {
            // A region with few members sends the rest of its hints to other regions.
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
}

/// Returns the maximum size of an encoded packet, which leaves room for the authentication code.
pub(super) fn datagram_budget() -> usize {
    MAX_DATAGRAM_BYTES - AUTH_OVERHEAD
}

pub(super) fn encoded_size<T: serde::Serialize>(value: &T) -> usize {
    // The types of messages can always be encoded. The fallback size keeps a value out of a datagram.
    codec::encode_compact(value).map_or(usize::MAX / 2, |bytes| bytes.len())
}

pub(super) fn item_hash<T: serde::Serialize>(kind: u8, value: &T) -> u64 {
    codec::encode_compact(&(kind, value)).map_or(0, |bytes| xxh3_64(&bytes))
}

/// Whether members that have not seen the change may send calls to the wrong node or disagree about
/// the key replicas of a key.
pub(super) fn is_urgent(before: Option<&Member>, after: &Member) -> bool {
    let accepts_calls =
        |m: &Member| matches!(m.status, MemberStatus::Alive | MemberStatus::Suspect);
    let Some(before) = before else {
        return true;
    };
    accepts_calls(before) != accepts_calls(after) || before.backend != after.backend
}

/// Whether the rollout is in the document in force, or may be in a newer one.
pub(super) fn is_current(services: &(ConfigVersion, Vec<ServiceSince>), key: &RolloutKey) -> bool {
    let (version, services) = services;
    key.since > *version
        || services
            .iter()
            .any(|s| s.service == key.service && s.since == key.since)
        || *version == ConfigVersion::NONE
}

/// Whether `old` can be dropped from the queue when `new` is added.
pub(super) fn supersedes(new: &Rumor, old: &Rumor) -> bool {
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
