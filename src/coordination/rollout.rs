//! Rollouts: shifts traffic to a new version step by step while evidence allows it, and takes a bad
//! version back, see `docs/design.md`, section 6.

use std::time::Duration;

use crate::protocol::document::VersionShare;
use crate::protocol::gossip::EvidenceReport;
use crate::protocol::gossip::Rollback;
use crate::protocol::gossip::RolloutProgress;
use crate::protocol::name::NodeId;
use crate::protocol::name::RouteName;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;
use crate::protocol::record::OutcomeRecord;
use crate::protocol::record::VersionedDocument;
use crate::protocol::time::WallMs;

/// How a call ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallOutcome {
    /// The backend server answered without a server error.
    Success,
    /// Server error, broken answer or timeout.
    Failure,
}

/// A call that the backend server beside this node finished.
///
/// A call that ended with a crash of the backend server is passed to
/// [`RolloutEngine::record_crash`] instead.
#[derive(Clone, Copy, Debug)]
pub struct CallSample<'a> {
    /// Service of the backend server.
    pub service: &'a str,
    /// Version of the backend server.
    pub version: &'a str,
    /// Route of the call.
    pub route: &'a RouteName,
    /// How it ended.
    pub outcome: CallOutcome,
    /// Time from dispatch to the end of the answer, without the wait for a slot.
    pub latency: Duration,
    /// Part of the latency that was spent in calls to other services.
    pub downstream: Duration,
    /// Whether a call to another service that this call depends on failed.
    pub downstream_failed: bool,
    /// Whether the backend server was within its cold start.
    pub cold: bool,
}

/// A call during which the backend server beside this node crashed.
#[derive(Clone, Copy, Debug)]
pub struct CrashSample<'a> {
    /// Service of the backend server.
    pub service: &'a str,
    /// Version of the backend server.
    pub version: &'a str,
    /// Route of the call.
    pub route: &'a RouteName,
    /// Hash of the request.
    pub fingerprint: u64,
    /// Counts the starts of the backend server; calls that ended with the same crash share it.
    pub backend_start: u64,
}

/// What the owner of a [`RolloutEngine`] does after a tick.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutAction {
    /// Send the report to the other serving nodes of the service.
    SendReport(EvidenceReport),
    /// Spread the step as a rumor; the engine has entered it already.
    Advance(RolloutProgress),
    /// Spread the rollback as a rumor and append it to the log; the engine has entered it already.
    RollBack(Rollback),
    /// Report the outcome.
    Outcome(OutcomeRecord),
}

/// Traffic shares of a service's versions; they add up to 100.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shares<'a> {
    /// No rollout is on.
    Fixed(&'a [VersionShare]),
    /// A rollout divides the traffic.
    Split {
        /// Old version; it has the rest.
        from: &'a VersionName,
        /// New version.
        to: &'a VersionName,
        /// Percentage of the new version.
        to_share: u8,
    },
}

impl<'a> Shares<'a> {
    /// Returns the version for a number drawn uniformly from 0 to 99.
    #[must_use]
    pub fn pick(self, point: u8) -> Option<&'a VersionName> {
        match self {
            Self::Fixed(shares) => {
                let mut sum = 0;
                let mut passed = |share: &&VersionShare| {
                    sum += share.share;
                    point < sum
                };
                shares.iter().find(|s| passed(s)).map(|s| &s.name)
            }
            Self::Split { from, to, to_share } => Some(if point < to_share { to } else { from }),
        }
    }

    /// Returns the percentage of a version.
    #[must_use]
    pub fn of(self, version: &str) -> u8 {
        match self {
            Self::Fixed(shares) => {
                let found = shares.iter().find(|s| s.name.as_str() == version);
                found.map_or(0, |s| s.share)
            }
            Self::Split { from, to, to_share } => {
                if to.as_str() == version {
                    to_share
                } else if from.as_str() == version {
                    100 - to_share
                } else {
                    0
                }
            }
        }
    }
}

/// Rollouts of all services as one node sees them.
#[derive(Debug)]
pub struct RolloutEngine {
    me: NodeId,
    serving: Option<(ServiceName, VersionName)>,
}

impl RolloutEngine {
    /// Creates an engine without configuration.
    #[must_use]
    pub fn new(me: NodeId) -> Self {
        Self { me, serving: None }
    }

    /// Takes over a configuration; rollouts whose service, version and `since` are unchanged keep
    /// their state.
    pub fn on_config(&mut self, _doc: &VersionedDocument) {}

    /// Notes what the backend server beside this node serves, `None` if there is none.
    pub fn set_serving(&mut self, serving: Option<(ServiceName, VersionName)>) {
        self.serving = serving;
    }

    /// Notes the slots of all backend servers of a version that are up.
    pub fn on_slots(&mut self, _service: &str, _version: &str, _slots: u32) {}

    /// Counts a call that the backend server beside this node finished.
    pub fn record(&mut self, _now: Duration, _wall: WallMs, _call: &CallSample<'_>) {}

    /// Enters a call that ended with a crash of the backend server beside this node.
    pub fn record_crash(&mut self, _now: Duration, _wall: WallMs, _crash: &CrashSample<'_>) {}

    /// Withdraws the crashes that a quarantined request explains.
    pub fn on_explained(&mut self, _fingerprint: u64) {}

    /// Takes over the figures of another serving node.
    pub fn on_report(
        &mut self,
        _now: Duration,
        _wall: WallMs,
        _from: &NodeId,
        _report: EvidenceReport,
    ) {
    }

    /// Merges progress that another node reports; returns whether anything changed.
    pub fn on_progress(&mut self, _progress: RolloutProgress) -> bool {
        false
    }

    /// Merges a rollback that another node reports; returns whether anything changed.
    pub fn on_rollback(&mut self, _rollback: Rollback) -> bool {
        false
    }

    /// Returns the progress of all rollouts, sorted by key, for the full exchange of state.
    #[must_use]
    pub fn progress(&self) -> Vec<RolloutProgress> {
        Vec::new()
    }

    /// Returns all rollbacks, sorted by key, for the full exchange of state.
    #[must_use]
    pub fn rollbacks(&self) -> Vec<Rollback> {
        Vec::new()
    }

    /// Evaluates the evidence; call it about every 200 ms.
    pub fn tick(&mut self, _now: Duration, _wall: WallMs) -> Vec<RolloutAction> {
        let _ = &self.me;
        Vec::new()
    }

    /// Returns the traffic shares of a service, `None` if the configuration does not contain it.
    #[must_use]
    pub fn shares(&self, _service: &str, _wall: WallMs) -> Option<Shares<'_>> {
        None
    }
}
