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

/// A call that the local backend server finished.
///
/// A call that ended with a crash of the backend server is passed to
/// [`RolloutEngine::record_crash`](crate::coordination::rollout::RolloutEngine::record_crash) instead.
#[derive(Clone, Copy, Debug)]
pub struct CallSample<'a> {
    /// Service of the backend server.
    pub service: &'a str,
    /// Version of the backend server.
    pub version: &'a str,
    /// Route of the call.
    pub route: &'a RouteName,
    /// Outcome of the call.
    pub outcome: CallOutcome,
    /// Time from dispatch to the end of the response, without the wait for a slot.
    pub latency: Duration,
    /// Part of the latency spent in calls to other services.
    pub downstream: Duration,
    /// Whether a call to another service that this call depends on failed.
    pub downstream_failed: bool,
    /// Whether the backend server was in its cold start.
    pub cold: bool,
}

/// A call during which the local backend server crashed.
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
    /// Start number of the backend server; calls that ended with the same crash have the same number.
    pub backend_start: u64,
}

/// Action for the owner of a [`RolloutEngine`](crate::coordination::rollout::RolloutEngine) to take after a tick.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutAction {
    /// Send the report to the other serving nodes of the service.
    SendReport(EvidenceReport),
    /// Spread the step as a rumor; the engine has already entered it.
    Advance(RolloutProgress),
    /// Spread the rollback as a rumor and append it to the log; the engine has already applied it.
    RollBack(Rollback),
    /// Report the outcome to the operators.
    Outcome(OutcomeRecord),
}

/// Traffic shares of a service's versions; they add up to 100.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Shares<'a> {
    /// The service has no rollout.
    Fixed(&'a [VersionShare]),
    /// A rollout divides the traffic.
    Split {
        /// Old version, which has the rest of the traffic.
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
