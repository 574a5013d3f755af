//! Choice of the nodes that read the log for their region.

use std::time::Duration;

use rand::RngExt;

use crate::coordination::dissemination::Gossip;
use crate::coordination::dissemination::GossipAction;
use crate::coordination::dissemination::READER_CANDIDATES;
use crate::coordination::dissemination::READER_NOTICE_PERIOD;
use crate::coordination::dissemination::READERS;
use crate::coordination::rendezvous;
use crate::protocol::gossip::MemberStatus;
use crate::protocol::name::RegionName;

impl Gossip {
    /// Sets whether this node's polls of the log succeed, and tells the other candidates if that
    /// changed.
    pub fn set_log_reachable(&mut self, _now: Duration, reachable: bool) -> Vec<GossipAction> {
        if self.log_reachable != reachable {
            self.log_reachable = reachable;
            let me = self.me().id.clone();
            if let Some(index) = self.membership.find(&me) {
                self.membership.info_mut(index).log_reachable = reachable;
            }
            self.readers_generation = None;
            self.refresh_readers();
            if self.candidates.contains(&me) {
                for id in self.candidates.clone() {
                    self.ping(&id);
                }
            }
        }
        self.take_actions()
    }

    /// Returns whether this node has to read the log. In each region two members in different failure
    /// domains do: those that rank highest by rendezvous hash among the members that can reach the log.
    #[must_use]
    pub fn is_reader(&self) -> bool {
        self.readers.contains(&self.me().id)
    }

    pub(super) fn refresh_readers(&mut self) {
        let generation = self.membership.generation();
        if self.readers_generation.replace(generation) == Some(generation) {
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
        // If no member can reach the log, the highest ranked ones keep trying.
        let eligible = if reachable.is_empty() {
            ranked.iter().map(|&(_, i)| i).collect()
        } else {
            reachable
        };
        let domain = |i: usize| &self.members()[i].domain;
        let mut readers: Vec<usize> = Vec::new();
        for &index in &eligible {
            if readers.len() < READERS && readers.iter().all(|&r| domain(r) != domain(index)) {
                readers.push(index);
            }
        }
        for &index in &eligible {
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

    pub(super) fn notify_candidates(&mut self, now: Duration) {
        if now < self.next_notice || !self.candidates.contains(&self.me().id) {
            return;
        }
        self.next_notice = now + READER_NOTICE_PERIOD;
        let next = self.membership.rng().random_range(0..self.candidates.len());
        let id = self.candidates[next].clone();
        self.ping(&id);
    }
}
