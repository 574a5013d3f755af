//! Quarantine of requests that crash backend servers, see `docs/design.md`, section 3, "A request
//! that crashes backend servers".

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
/// Maximum number of stored fingerprints, about 100 KB; the oldest is evicted first. One crash of a
/// backend server with 10 slots adds at most 10.
pub const MAX_FINGERPRINTS: usize = 1_024;
/// Maximum number of crashes stored for one fingerprint; further ones only extend the quarantine.
pub const MAX_CRASHES_PER_FINGERPRINT: usize = 4;

/// Time after an answer during which crashes are not attributed to a request. Otherwise a version
/// that crashes on any request would get frequent requests refused everywhere, on the old version
/// too.
pub const ANSWERED_TIME: Duration = Duration::from_mins(1);
/// Size of the table of answered requests, 64 KB; a later request replaces one with the same
/// remainder.
const ANSWERED_TABLE_SIZE: usize = 4_096;

/// Action for the owner of a [`Quarantine`] after an event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineAction {
    /// Spread the report by gossip.
    Spread(CrashReport),
    /// The request is refused from now on: report the outcome and tell
    /// [`RolloutEngine::on_quarantined_request`](crate::coordination::rollout::RolloutEngine::on_quarantined_request).
    Quarantined {
        /// Hash of the request.
        fingerprint: u64,
        /// Result code of the outcome.
        code: ResultCode,
        /// Nodes beside the backend servers that crashed. Only they report the outcome; 1,300
        /// reports from the whole fleet would add no information.
        nodes: Vec<NodeId>,
        /// Wall time of the first crash, equal on all nodes; part of the outcome's identity.
        since: WallMs,
        /// Outcome text with the number of crashes and the nodes.
        text: String,
    },
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: u64,
    crashes: Vec<CrashReport>,
    last_crash: WallMs,
    quarantined: bool,
}

/// Crash reports of the fleet, by request fingerprint.
#[derive(Clone, Debug)]
pub struct Quarantine {
    /// Sorted by fingerprint.
    entries: Vec<Entry>,
    /// Recently answered requests with the time, indexed by the remainder of their fingerprint.
    answered: Vec<(u64, WallMs)>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns the hash that identifies repetitions of a request.
#[must_use]
pub fn fingerprint(method: &str, route: &str, path: &str, body: &[u8]) -> u64 {
    hash_parts(&[method.as_bytes(), route.as_bytes(), path.as_bytes(), body])
}

/// Returns a hash of several byte strings.
#[must_use]
pub fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        // The length prefix separates the parts, so that moving a byte between them changes the
        // hash.
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
            answered: vec![(0, WallMs(0)); ANSWERED_TABLE_SIZE],
        }
    }

    /// Records a crash of the backend server beside this node.
    pub fn on_crash(&mut self, report: &CrashReport, wall: WallMs) -> Vec<QuarantineAction> {
        let mut actions = Vec::new();
        if self.insert(report, wall) && !self.was_answered(report.fingerprint, wall) {
            actions.push(QuarantineAction::Spread(report.clone()));
            actions.extend(self.quarantine_if_due(report.fingerprint));
        }
        actions
    }

    /// Records a crash that another node reports. Returns no action if the crash is known already.
    pub fn on_report(&mut self, report: &CrashReport, wall: WallMs) -> Vec<QuarantineAction> {
        self.on_crash(report, wall)
    }

    /// Records that a request was answered and drops its crash reports if it is not quarantined,
    /// since a crash is reported for all requests that ran at the time. For [`ANSWERED_TIME`],
    /// further crashes are not attributed to the request.
    pub fn on_answered(&mut self, fingerprint: u64, wall: WallMs) {
        self.answered[answered_index(fingerprint)] = (fingerprint, wall);
        if let Ok(index) = self.position(fingerprint)
            && !self.entries[index].quarantined
        {
            self.entries.remove(index);
        }
    }

    /// Whether the request is refused at `wall`.
    #[must_use]
    pub fn is_quarantined(&self, fingerprint: u64, wall: WallMs) -> bool {
        self.refused_for(fingerprint, wall).is_some()
    }

    /// Returns the time for which the request is still refused at `wall`.
    #[must_use]
    pub fn refused_for(&self, fingerprint: u64, wall: WallMs) -> Option<Duration> {
        let entry = &self.entries[self.position(fingerprint).ok()?];
        let is_refused = entry.quarantined && !entry.is_expired(wall);
        is_refused.then(|| QUARANTINE_TIME.saturating_sub(wall.since(entry.last_crash)))
    }

    /// Whether crashes with this request are attributed to the request and not to the version.
    #[must_use]
    pub fn is_known_cause(&self, fingerprint: u64) -> bool {
        self.position(fingerprint)
            .is_ok_and(|index| self.entries[index].quarantined)
    }

    /// Returns the reports that have not expired, for the full state exchange.
    #[must_use]
    pub fn reports(&self, wall: WallMs) -> Vec<CrashReport> {
        let live = self.entries.iter().filter(|entry| !entry.is_expired(wall));
        live.flat_map(|entry| entry.crashes.iter().cloned())
            .collect()
    }

    /// Drops expired reports.
    pub fn tick(&mut self, wall: WallMs) {
        self.entries.retain(|entry| !entry.is_expired(wall));
    }

    fn was_answered(&self, fingerprint: u64, wall: WallMs) -> bool {
        let (stored, at) = self.answered[answered_index(fingerprint)];
        stored == fingerprint && wall.since(at) < ANSWERED_TIME
    }

    fn position(&self, fingerprint: u64) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&fingerprint, |entry| entry.fingerprint)
    }

    fn insert(&mut self, report: &CrashReport, wall: WallMs) -> bool {
        // A report from a clock that is ahead must not extend the quarantine.
        let at = report.at.min(wall);
        if wall.since(at) >= QUARANTINE_TIME {
            return false;
        }
        self.tick(wall);
        let index = match self.position(report.fingerprint) {
            Ok(index) => index,
            Err(_) => self.add(report.fingerprint, at),
        };
        let entry = &mut self.entries[index];
        let same = |known: &CrashReport| {
            known.node == report.node && known.backend_start == report.backend_start
        };
        if entry.crashes.iter().any(same) {
            return false;
        }
        if entry.crashes.len() == MAX_CRASHES_PER_FINGERPRINT {
            // Only a later crash is new information. Replacing any other report would let two nodes
            // send the same reports to each other for ever.
            if at <= entry.last_crash {
                return false;
            }
            entry.crashes.pop();
        }
        entry.last_crash = entry.last_crash.max(at);
        entry.crashes.push(report.clone());
        true
    }

    fn add(&mut self, fingerprint: u64, at: WallMs) -> usize {
        if self.entries.len() == MAX_FINGERPRINTS {
            // Suspected requests are evicted before quarantined ones, since losing a quarantined
            // one costs another crash.
            let oldest = (0..self.entries.len())
                .min_by_key(|i| (self.entries[*i].quarantined, self.entries[*i].last_crash));
            if let Some(oldest) = oldest {
                self.entries.remove(oldest);
            }
        }
        let index = self.position(fingerprint).unwrap_or_else(|index| index);
        let entry = Entry {
            fingerprint,
            crashes: Vec::new(),
            last_crash: at,
            quarantined: false,
        };
        self.entries.insert(index, entry);
        index
    }

    fn quarantine_if_due(&mut self, fingerprint: u64) -> Option<QuarantineAction> {
        let index = self.position(fingerprint).ok()?;
        let entry = &mut self.entries[index];
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

fn answered_index(fingerprint: u64) -> usize {
    usize::try_from(fingerprint % ANSWERED_TABLE_SIZE as u64).unwrap_or_default()
}

impl Entry {
    fn is_expired(&self, wall: WallMs) -> bool {
        wall.since(self.last_crash) >= QUARANTINE_TIME
    }
}
