//! Refuses requests that crash backend servers, see `docs/design.md`, section 3, "A request that
//! crashes backend servers".

use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use crate::protocol::gossip::CrashReport;
use crate::protocol::name::NodeId;
use crate::protocol::time::WallMs;
use crate::result_code::ResultCode;

/// Time for which a quarantined request is refused after its last crash.
pub const QUARANTINE_TIME: Duration = Duration::from_mins(10);
/// Distinct crashes of backend servers after which a request is quarantined.
pub const QUARANTINE_CRASHES: usize = 2;
/// Largest number of fingerprints that are remembered, about 100 KB; the oldest is dropped first.
/// One crash of a backend server with 10 slots adds at most 10.
pub const MAX_FINGERPRINTS: usize = 1_024;
/// Largest number of crashes remembered for one fingerprint; further ones only extend the time.
pub const MAX_CRASHES_PER_FINGERPRINT: usize = 4;

/// Time for which an answer shows that a request is not the cause of crashes. A version that crashes
/// on any request would otherwise have the popular ones refused everywhere, on the old version too.
pub const ANSWERED_TIME: Duration = Duration::from_mins(1);
/// Answered requests that are remembered, 64 KB; a later one displaces one with the same remainder.
const ANSWERED_SLOTS: usize = 4_096;

/// What the owner of a [`Quarantine`] does after an event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineAction {
    /// Pass the report on as a rumor.
    Spread(CrashReport),
    /// The request is refused from now on: report the outcome and tell
    /// [`RolloutEngine::on_explained`](crate::coordination::rollout::RolloutEngine::on_explained).
    Quarantined {
        /// Hash of the request.
        fingerprint: u64,
        /// Result code of the outcome.
        code: ResultCode,
        /// Nodes beside the backend servers that crashed. They report the outcome, since 1,300
        /// reports of the whole fleet would say nothing more.
        nodes: Vec<NodeId>,
        /// Wall time of the first crash, equal on all nodes; part of the outcome's identity.
        since: WallMs,
        /// One sentence with the figures.
        text: String,
    },
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: u64,
    crashes: Vec<CrashReport>,
    last: WallMs,
    quarantined: bool,
}

/// Crash reports of the fleet by request.
#[derive(Clone, Debug)]
pub struct Quarantine {
    /// Sorted by fingerprint.
    entries: Vec<Entry>,
    /// Requests answered last and when, by the remainder of their fingerprint.
    answered: Vec<(u64, WallMs)>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the hash by which a request is recognised when it is sent again.
#[must_use]
pub fn fingerprint(method: &str, route: &str, path: &str, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in [method.as_bytes(), route.as_bytes(), path.as_bytes(), body] {
        // The length separates the parts, so that moving a byte between them changes the hash.
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}

impl Quarantine {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self {
            entries: Vec::new(),
            answered: vec![(0, WallMs(0)); ANSWERED_SLOTS],
        }
    }

    /// Enters a crash that this node saw at its own backend server.
    pub fn on_crash(&mut self, report: &CrashReport, wall: WallMs) -> Vec<QuarantineAction> {
        let mut actions = Vec::new();
        if self.insert(report, wall) && !self.was_answered(report.fingerprint, wall) {
            actions.push(QuarantineAction::Spread(report.clone()));
            actions.extend(self.decide(report.fingerprint));
        }
        actions
    }

    /// Enters a crash that another node reports; returns no action if it is known already.
    pub fn on_report(&mut self, report: &CrashReport, wall: WallMs) -> Vec<QuarantineAction> {
        self.on_crash(report, wall)
    }

    /// Notes that a request was answered. One that crashed a single backend server is then cleared,
    /// since the requests that ran beside the cause of a crash are reported together with it. For
    /// [`ANSWERED_TIME`] further crashes are not counted against the request.
    pub fn on_answered(&mut self, fingerprint: u64, wall: WallMs) {
        self.answered[slot_of(fingerprint)] = (fingerprint, wall);
        if let Ok(at) = self.position(fingerprint)
            && !self.entries[at].quarantined
        {
            self.entries.remove(at);
        }
    }

    /// Tells whether the request is refused at `wall`.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: u64, wall: WallMs) -> bool {
        self.position(fingerprint)
            .is_ok_and(|at| self.entries[at].quarantined && !self.entries[at].expired(wall))
    }

    /// Tells whether the request, and not the version, explains a crash.
    #[must_use]
    pub fn is_explained(&self, fingerprint: u64) -> bool {
        self.position(fingerprint)
            .is_ok_and(|at| self.entries[at].quarantined)
    }

    /// Returns the reports that are still in force, for the full exchange of state.
    #[must_use]
    pub fn reports(&self, wall: WallMs) -> Vec<CrashReport> {
        let live = self.entries.iter().filter(|entry| !entry.expired(wall));
        live.flat_map(|entry| entry.crashes.iter().cloned())
            .collect()
    }

    /// Drops what has expired.
    pub fn tick(&mut self, wall: WallMs) {
        self.entries.retain(|entry| !entry.expired(wall));
    }

    fn was_answered(&self, fingerprint: u64, wall: WallMs) -> bool {
        let (known, at) = self.answered[slot_of(fingerprint)];
        known == fingerprint && wall.since(at) < ANSWERED_TIME
    }

    fn position(&self, fingerprint: u64) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&fingerprint, |entry| entry.fingerprint)
    }

    fn insert(&mut self, report: &CrashReport, wall: WallMs) -> bool {
        // A report from a clock that is ahead must not extend the quarantine beyond its time.
        let at = report.at.min(wall);
        if wall.since(at) >= QUARANTINE_TIME {
            return false;
        }
        self.tick(wall);
        let slot = match self.position(report.fingerprint) {
            Ok(slot) => slot,
            Err(_) => self.add(report.fingerprint, at),
        };
        let entry = &mut self.entries[slot];
        let same = |known: &CrashReport| {
            known.node == report.node && known.backend_start == report.backend_start
        };
        if entry.crashes.iter().any(same) {
            return false;
        }
        if entry.crashes.len() == MAX_CRASHES_PER_FINGERPRINT {
            // Only a later crash says anything new. Replacing any other report would let two nodes
            // pass the same reports to each other for ever.
            if at <= entry.last {
                return false;
            }
            entry.crashes.pop();
        }
        entry.last = entry.last.max(at);
        entry.crashes.push(report.clone());
        true
    }

    fn add(&mut self, fingerprint: u64, at: WallMs) -> usize {
        if self.entries.len() == MAX_FINGERPRINTS {
            // Quarantined requests are kept before suspected ones: forgetting them costs a crash.
            let oldest = (0..self.entries.len())
                .min_by_key(|i| (self.entries[*i].quarantined, self.entries[*i].last));
            if let Some(oldest) = oldest {
                self.entries.remove(oldest);
            }
        }
        let slot = self.position(fingerprint).unwrap_or_else(|slot| slot);
        let entry = Entry {
            fingerprint,
            crashes: Vec::new(),
            last: at,
            quarantined: false,
        };
        self.entries.insert(slot, entry);
        slot
    }

    fn decide(&mut self, fingerprint: u64) -> Option<QuarantineAction> {
        let at = self.position(fingerprint).ok()?;
        let entry = &mut self.entries[at];
        if entry.quarantined || entry.crashes.len() < QUARANTINE_CRASHES {
            return None;
        }
        entry.quarantined = true;
        let nodes: Vec<NodeId> = entry.crashes.iter().map(|c| c.node.clone()).collect();
        let names: Vec<&str> = nodes.iter().map(NodeId::as_str).collect();
        let first = entry.crashes.iter().map(|crash| crash.at).min();
        let text = format!(
            "request {fingerprint:016x} crashed {} backend servers beside {}; refused for {} s",
            entry.crashes.len(),
            names.join(", "),
            QUARANTINE_TIME.as_secs()
        );
        Some(QuarantineAction::Quarantined {
            fingerprint,
            code: ResultCode::Quarantined,
            nodes,
            since: first.unwrap_or_default(),
            text,
        })
    }
}

fn slot_of(fingerprint: u64) -> usize {
    usize::try_from(fingerprint % ANSWERED_SLOTS as u64).unwrap_or_default()
}

impl Entry {
    fn expired(&self, wall: WallMs) -> bool {
        wall.since(self.last) >= QUARANTINE_TIME
    }
}
