//! Inputs and results of the rollout engine.

use std::time::Duration;

use crate::protocol::document::VersionShare;
use crate::protocol::gossip::EvidenceReport;
use crate::protocol::gossip::Rollback;
use crate::protocol::gossip::RolloutProgress;
use crate::protocol::name::RouteName;
use crate::protocol::name::VersionName;
use crate::protocol::record::OutcomeRecord;

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
