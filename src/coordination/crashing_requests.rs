//! Requests that crash backend servers, as one node of the platform knows them. See `docs/platform.md`,
//! "Requests that crash backend servers".
//!
//! Each node reports the crashes of its own backend server in its entry, which all nodes follow and which
//! lasts over restarts. A request that was running at two crashes is refused by all nodes. A crash also
//! ends the innocent requests that ran beside its cause; answers exempt them.

use std::time::Duration;

use crate::coordination::answered_requests::AnsweredRequests;
use crate::coordination::quarantine::QUARANTINE_TIME;
use crate::coordination::quarantine::Quarantine;
use crate::coordination::quarantine::QuarantineAction;
use crate::coordination::quarantine::hash_parts;
use crate::protocol::fleet::Incarnation;
use crate::protocol::fleet::RequestCrash;
use crate::protocol::gossip::CrashReport;
use crate::protocol::name::NodeId;
use crate::protocol::time::WallMs;
use crate::protocol::time::millis;

/// Crashes in the entry of one node; the oldest are dropped first. A crash of a backend server with 10
/// slots adds at most 10.
const MAX_REPORTED_CRASHES: usize = 32;

/// Requests that may crash backend servers, and those that were answered.
#[derive(Debug, Default)]
pub struct CrashingRequests {
    quarantine: Quarantine,
    answered: AnsweredRequests,
    /// Crashes of the own backend server with their times, oldest first.
    own: Vec<(Duration, RequestCrash)>,
}

impl CrashingRequests {
    /// Handles a crash of the own backend server while it ran these requests. Returns a description of each
    /// request that is refused from now on.
    pub fn on_crash(
        &mut self,
        now: Duration,
        node: &NodeId,
        incarnation: &Incarnation,
        fingerprints: &[u64],
    ) -> Vec<String> {
        let backend_start = start_hash(incarnation);
        let mut quarantined = Vec::new();
        for fingerprint in fingerprints {
            if !self.answered.is_suspect(*fingerprint, backend_start) {
                continue;
            }
            let crash = RequestCrash {
                fingerprint: *fingerprint,
                backend_start,
            };
            self.add_own(now, crash.clone());
            quarantined.extend(self.add(now, node, &crash));
        }
        quarantined
    }

    /// Handles the crashes in the entry of a node. Returns a description of each request that is refused
    /// from now on.
    pub fn on_entry(
        &mut self,
        now: Duration,
        node: &NodeId,
        crashes: &[RequestCrash],
    ) -> Vec<String> {
        let crashes = crashes.iter().take(MAX_REPORTED_CRASHES);
        crashes
            .flat_map(|crash| self.add(now, node, crash))
            .collect()
    }

    /// Takes over the crashes in the entry of an earlier process of this node.
    pub fn on_earlier_entry(
        &mut self,
        now: Duration,
        node: &NodeId,
        crashes: &[RequestCrash],
    ) -> Vec<String> {
        for crash in crashes.iter().take(MAX_REPORTED_CRASHES) {
            self.add_own(now, crash.clone());
        }
        self.on_entry(now, node, crashes)
    }

    /// Records that a request was answered, so that it is not the cause of a crash.
    pub fn on_answered(&mut self, now: Duration, fingerprint: u64) {
        self.answered.on_answered(fingerprint);
        self.quarantine.on_answered(fingerprint, age_clock(now));
    }

    /// Returns the time for which a request is refused, if it is.
    #[must_use]
    pub fn refused_for(&self, now: Duration, fingerprint: u64) -> Option<Duration> {
        self.quarantine.refused_for(fingerprint, age_clock(now))
    }

    /// Returns the crashes that the node's entry has to name.
    #[must_use]
    pub fn reported(&self, now: Duration) -> Vec<RequestCrash> {
        let live = |at: Duration| now.saturating_sub(at) < QUARANTINE_TIME;
        let crashes = self.own.iter().filter(|(at, _)| live(*at));
        crashes.map(|(_, crash)| crash.clone()).collect()
    }

    fn add_own(&mut self, now: Duration, crash: RequestCrash) {
        if self.own.iter().any(|(_, known)| *known == crash) {
            return;
        }
        if self.own.len() >= MAX_REPORTED_CRASHES {
            self.own.remove(0);
        }
        self.own.push((now, crash));
    }

    fn add(&mut self, now: Duration, node: &NodeId, crash: &RequestCrash) -> Vec<String> {
        let now = age_clock(now);
        let report = CrashReport {
            fingerprint: crash.fingerprint,
            node: node.clone(),
            backend_start: crash.backend_start,
            at: now,
        };
        let actions = self.quarantine.on_crash(&report, now).into_iter();
        let texts = actions.filter_map(|action| match action {
            QuarantineAction::Quarantined { text, .. } => Some(text),
            QuarantineAction::Spread(_) => None,
        });
        texts.collect()
    }
}

/// Returns the steady time as the quarantine counts it. Only ages are used, since wall clocks jump.
fn age_clock(now: Duration) -> WallMs {
    WallMs(millis(now))
}

fn start_hash((instance, born): &Incarnation) -> u64 {
    hash_parts(&[instance.as_bytes(), &born.to_le_bytes()])
}
