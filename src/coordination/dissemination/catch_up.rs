//! Anti-entropy: joining, comparison of digests, full exchanges, configuration pulls and version
//! queries.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;

use crate::coordination::backoff::exponential_delay;
use crate::coordination::dissemination::DIGEST_MISMATCH_TIME;
use crate::coordination::dissemination::FIRST_REJOIN_DELAY;
use crate::coordination::dissemination::Gossip;
use crate::coordination::dissemination::GossipAction;
use crate::coordination::dissemination::HINT_REPEAT_DELAY;
use crate::coordination::dissemination::IN_FORCE_BOUND;
use crate::coordination::dissemination::JOIN_JITTER;
use crate::coordination::dissemination::JOIN_PHASE;
use crate::coordination::dissemination::JOIN_RETRY;
use crate::coordination::dissemination::JOIN_SYNC_PERIOD;
use crate::coordination::dissemination::MAX_DISAGREEMENT_TIME;
use crate::coordination::dissemination::MAX_PULL_PEERS;
use crate::coordination::dissemination::MAX_SPREAD_SYNC_RECORDS;
use crate::coordination::dissemination::MAX_SYNCS_SERVED;
use crate::coordination::dissemination::MAX_VERSION_QUERIES;
use crate::coordination::dissemination::PULL_TIMEOUT;
use crate::coordination::dissemination::REJOIN_FLEET_SIZE;
use crate::coordination::dissemination::REJOIN_PERIOD;
use crate::coordination::dissemination::REMOTE_PULL_DELAY;
use crate::coordination::dissemination::SYNC_PERIOD;
use crate::coordination::dissemination::SYNC_TIMEOUT;
use crate::coordination::dissemination::VERSION_QUERIES_PER_TICK;
use crate::coordination::dissemination::VERSION_QUERY_RETRY;
use crate::coordination::dissemination::VERSION_QUERY_TIMEOUT;
use crate::invariant;
use crate::protocol::gossip::MemberStatus;
use crate::protocol::gossip::Message;
use crate::protocol::gossip::SyncState;
use crate::protocol::name::ConfigVersion;
use crate::protocol::name::NodeId;
use crate::protocol::time::WallMs;

/// A digest of a peer that differed, and that is compared again when the check is due.
#[derive(Debug)]
pub(super) struct DigestCheck {
    pub(super) peer: NodeId,
    pub(super) mine: u64,
    pub(super) theirs: u64,
    pub(super) due: Duration,
    /// Whether the peer was pinged for its present digest.
    pub(super) pinged: bool,
}

#[derive(Debug)]
pub(super) struct VersionQuery {
    pub(super) version: ConfigVersion,
    pub(super) started: Duration,
    pub(super) reported: bool,
}

impl Gossip {
    /// Merges the replicated state of a peer, from its answer to [`GossipAction::Sync`] or from its own
    /// request.
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
        let spread = events.len() <= MAX_SPREAD_SYNC_RECORDS;
        self.apply_events(events, spread);
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
        self.take_actions()
    }

    /// Reports that the exchange requested by [`GossipAction::Sync`] failed or that the peer was busy.
    pub fn on_sync_failed(&mut self, now: Duration) {
        self.sync = None;
        if !self.joined {
            let (shortest, longest) = JOIN_RETRY;
            let delay = exponential_delay(shortest, longest, self.join_failures);
            self.join_failures += 1;
            let jitter = self.membership.rng().random_range(0.5..1.5);
            self.join_at = Some(now + delay.mul_f64(jitter));
        }
    }

    /// Reports that the pull requested by [`GossipAction::PullConfig`] failed.
    pub fn on_pull_failed(&mut self, now: Duration) -> Vec<GossipAction> {
        if let Some((peer, _)) = self.pull.take() {
            self.pull_peers.retain(|(id, _)| *id != peer);
            self.start_pull(now);
        }
        self.take_actions()
    }

    /// Returns the replicated state for a full exchange.
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

    /// Acquires one of the [`MAX_SYNCS_SERVED`] slots for exchanges served to peers; `false` if all are
    /// in use. After a successful call, [`Gossip::release_sync_slot`] must be called.
    #[must_use]
    pub fn try_acquire_sync_slot(&mut self) -> bool {
        let free = self.syncs_served < MAX_SYNCS_SERVED;
        self.syncs_served += usize::from(free);
        free
    }

    /// Releases a slot acquired by [`Gossip::try_acquire_sync_slot`].
    pub fn release_sync_slot(&mut self) {
        self.syncs_served = self.syncs_served.saturating_sub(1);
    }

    /// Reports that this node has put a version in force.
    pub fn on_new_version(&mut self, now: Duration, version: ConfigVersion) -> Vec<GossipAction> {
        if version != self.version
            && invariant::check(1, version > self.version, "the version in force falls")
        {
            self.version = version;
            self.pull = None;
            self.remote_pull_at = None;
            self.pull_peers.retain(|(_, v)| *v > version);
            self.send_hints();
            self.hint_again_at = Some(now + HINT_REPEAT_DELAY);
            self.start_pull(now);
        }
        self.take_actions()
    }

    /// Queries all members for whether `version` is in force at them. The result is reported when all
    /// of them have it; until then also after [`IN_FORCE_BOUND`] and after [`VERSION_QUERY_TIMEOUT`].
    pub fn start_version_query(&mut self, now: Duration, version: ConfigVersion) {
        if self.queries.len() == MAX_VERSION_QUERIES {
            // A member that has a later version also counts for an earlier one, so the oldest query
            // is the least useful.
            self.queries.remove(0);
        }
        self.queries.push(VersionQuery {
            version,
            started: now,
            reported: false,
        });
    }

    /// Returns whether the node has exchanged its state with another member or has no seeds.
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

    pub(super) fn consider_pull(&mut self, now: Duration, peer: &NodeId, version: ConfigVersion) {
        self.pull_peers.retain(|(id, _)| id != peer);
        if self.pull_peers.len() == MAX_PULL_PEERS {
            self.pull_peers.remove(0);
        }
        self.pull_peers.push((peer.clone(), version));
        self.start_pull(now);
    }

    pub(super) fn start_pull(&mut self, now: Duration) {
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

    pub(super) fn drive_pull(&mut self, now: Duration) {
        if let Some((peer, since)) = &self.pull
            && now.saturating_sub(*since) >= PULL_TIMEOUT
        {
            let peer = peer.clone();
            self.pull = None;
            self.pull_peers.retain(|(id, _)| *id != peer);
        }
        self.start_pull(now);
    }

    pub(super) fn drive_queries(&mut self, now: Duration) {
        let Some(highest) = self.queries.iter().map(|q| q.version).max() else {
            self.queried_at.clear();
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
            let end = missing.is_empty() || age >= VERSION_QUERY_TIMEOUT;
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
            self.queried_at.clear();
            return;
        }
        let mut budget = VERSION_QUERIES_PER_TICK;
        for index in 0..self.members().len() {
            let member = &self.members()[index];
            let member_version = self.membership.info()[index].version;
            if budget == 0
                || member.status == MemberStatus::Dead
                || member_version >= highest
                || member.id == self.me().id
            {
                continue;
            }
            let to = member.gossip_addr;
            match self
                .queried_at
                .binary_search_by(|(id, _)| id.cmp(&member.id))
            {
                Ok(i) if now.saturating_sub(self.queried_at[i].1) < VERSION_QUERY_RETRY => continue,
                Ok(i) => self.queried_at[i].1 = now,
                Err(i) => self.queried_at.insert(i, (member.id.clone(), now)),
            }
            budget -= 1;
            let sequence = self.membership.next_sequence();
            self.send(to, Message::VersionQuery { sequence }, Vec::new());
        }
    }

    pub(super) fn drive_join(&mut self, now: Duration) {
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
        let scale = u32::try_from(self.membership.present().div_ceil(REJOIN_FLEET_SIZE));
        let longest = REJOIN_PERIOD * scale.unwrap_or(u32::MAX);
        let period = exponential_delay(FIRST_REJOIN_DELAY, longest, self.rejoins);
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

    pub(super) fn start_sync(&mut self, now: Duration, addr: SocketAddr) {
        let jitter = self.membership.rng().random_range(0.5..1.5);
        let period = if self.joining(now) {
            JOIN_SYNC_PERIOD
        } else {
            SYNC_PERIOD
        };
        self.next_sync = now + period.mul_f64(jitter);
        self.sync = Some((addr, now));
        self.check = None;
        self.actions.push(GossipAction::Sync { addr });
    }

    pub(super) fn joining(&self, now: Duration) -> bool {
        now.saturating_sub(self.joined_at) < JOIN_PHASE
    }

    pub(super) fn sync_with(&mut self, now: Duration, peer: &NodeId) {
        if self.sync.is_none()
            && now >= self.next_sync
            && let Some(index) = self.membership.find(peer)
        {
            self.start_sync(now, self.members()[index].node_addr);
        }
    }

    pub(super) fn compare_digests(
        &mut self,
        now: Duration,
        peer: &NodeId,
        theirs: u64,
        returned: bool,
    ) {
        let mine = self.digest();
        let Some(index) = self.membership.find(peer).filter(|_| !self.is_dead(peer)) else {
            return;
        };
        if mine == theirs {
            self.agreed_at = now;
            self.check.take_if(|c| c.peer == *peer);
            return;
        }
        // Peers in the node's own region are preferred, since traffic between regions is billed.
        let remote = self.members()[index].region != self.me().region;
        let limit = if self.joining(now) {
            JOIN_SYNC_PERIOD
        } else {
            MAX_DISAGREEMENT_TIME
        };
        let limit = if remote { limit * 2 } else { limit };
        if returned || now.saturating_sub(self.agreed_at) >= limit {
            self.sync_with(now, peer);
            return;
        }
        if let Some(check) = self.check.take_if(|c| c.peer == *peer && c.pinged) {
            if check.mine == mine && check.theirs == theirs {
                self.sync_with(now, peer);
            }
            return;
        }
        let is_remote = |id: &NodeId| {
            let found = self.membership.find(id);
            found.is_none_or(|i| self.members()[i].region != self.me().region)
        };
        let better = |check: &DigestCheck| !check.pinged && !remote && is_remote(&check.peer);
        if self.check.as_ref().is_none_or(better) {
            self.check = Some(DigestCheck {
                peer: peer.clone(),
                mine,
                theirs,
                due: now + DIGEST_MISMATCH_TIME,
                pinged: false,
            });
        }
    }

    pub(super) fn drive_check(&mut self, now: Duration) {
        let mine = self.digest();
        if let Some(check) = &mut self.check
            && now >= check.due
        {
            if check.pinged || check.mine != mine {
                self.check = None;
            } else {
                check.pinged = true;
                check.due = now + SYNC_TIMEOUT;
                let peer = check.peer.clone();
                self.ping(&peer);
            }
        }
    }
}
