//! Evidence that a serving node collects about the versions of a rollout: its own calls and the reports of
//! other nodes.

use std::time::Duration;

use crate::coordination::evidence::Evidence;
use crate::coordination::evidence::Finding;
use crate::coordination::evidence::MAX_ROUTES;
use crate::coordination::evidence::Side;
use crate::coordination::evidence::Tally;
use crate::coordination::rollout::CRASH_RATIO;
use crate::coordination::rollout::LOCAL_SOURCE;
use crate::coordination::rollout::MAX_REPORT_GAP;
use crate::coordination::rollout::MAX_REPORTERS;
use crate::coordination::rollout::MIN_CRASHES;
use crate::coordination::rollout::tally_mut;
use crate::protocol::gossip::EvidenceReport;
use crate::protocol::gossip::RollbackCause;
use crate::protocol::name::NodeId;
use crate::protocol::name::RouteName;

/// Reported counters of another serving node.
#[derive(Debug)]
pub(super) struct Reporter {
    pub(super) node: NodeId,
    pub(super) side: Side,
    pub(super) first_sequence: u64,
    pub(super) last_sequence: u64,
    /// Time of the last report.
    pub(super) last_report_at: Duration,
    pub(super) crashes: u32,
    /// Sorted by route: sequence number of the last report of the route, and the counters in it.
    pub(super) routes: Vec<(RouteName, u64, Tally)>,
}

/// Crash of the local backend server that does not count yet, since a quarantined request may explain it.
#[derive(Debug)]
pub(super) struct PendingCrash {
    pub(super) backend_start: u64,
    pub(super) side: Side,
    pub(super) route: RouteName,
    pub(super) fingerprints: Vec<u64>,
    /// Time at which the crash counts.
    pub(super) due: Duration,
}

/// Part of a rollout's state that only nodes with a backend server of the service keep.
#[derive(Debug)]
pub(super) struct Observation {
    pub(super) evidence: Evidence,
    pub(super) reporters: Vec<Reporter>,
    /// Call counts of the local backend server since the last tick, sorted by route.
    pub(super) staged: Vec<(RouteName, Tally)>,
    /// Cumulative call counts of the local backend server, sorted by route.
    pub(super) local_totals: Vec<(RouteName, Tally)>,
    pub(super) local_side: Option<Side>,
    pub(super) local_crashes: u32,
    pub(super) pending_crashes: Vec<PendingCrash>,
    pub(super) next_report: Duration,
    pub(super) sequence: u64,
    /// Time of the last event.
    pub(super) last_event_at: Duration,
}

impl Observation {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            evidence: Evidence::new(now),
            reporters: Vec::new(),
            staged: Vec::new(),
            local_totals: Vec::new(),
            local_side: None,
            local_crashes: 0,
            pending_crashes: Vec::new(),
            next_report: now,
            sequence: 0,
            last_event_at: now,
        }
    }

    /// Resets the local counters if the backend server was replaced by one of another version.
    pub(super) fn set_local_side(&mut self, side: Side) {
        if self.local_side != Some(side) {
            self.local_side = Some(side);
            self.local_totals.clear();
            self.staged.clear();
            self.local_crashes = 0;
        }
    }

    pub(super) fn on_report(
        &mut self,
        now: Duration,
        from: &NodeId,
        side: Side,
        report: &EvidenceReport,
    ) {
        if side == Side::Old {
            self.evidence.on_old_report(now);
        }
        let known = self
            .reporters
            .iter()
            .position(|r| r.node == *from && r.side == side);
        let at = match known {
            Some(at) => at,
            None if self.reporters.len() < MAX_REPORTERS => {
                self.reporters.push(Reporter {
                    node: from.clone(),
                    side,
                    first_sequence: report.sequence,
                    last_sequence: 0,
                    last_report_at: now,
                    crashes: 0,
                    routes: Vec::new(),
                });
                self.reporters.len() - 1
            }
            None => return,
        };
        let source = u8::try_from(at).unwrap_or(LOCAL_SOURCE);
        let reporter = &mut self.reporters[at];
        // The calls of a longer gap would be compared with those of the last second.
        if now.saturating_sub(reporter.last_report_at) > MAX_REPORT_GAP {
            reporter.first_sequence = report.sequence;
        }
        let first = report.sequence == reporter.first_sequence;
        reporter.last_report_at = now;
        if report.sequence >= reporter.last_sequence {
            reporter.last_sequence = report.sequence;
            reporter.crashes = report.crashes;
        }
        for counts in &report.routes {
            let tally = Tally::from(counts);
            let found = reporter
                .routes
                .binary_search_by(|(route, ..)| route.cmp(&counts.route));
            let delta = match found {
                Ok(at) if report.sequence <= reporter.routes[at].1 => continue,
                Ok(at) => {
                    let delta = if first {
                        Tally::default()
                    } else {
                        tally.increase(&reporter.routes[at].2)
                    };
                    reporter.routes[at].1 = report.sequence;
                    reporter.routes[at].2 = tally;
                    delta
                }
                Err(_) if reporter.routes.len() >= MAX_ROUTES => continue,
                Err(at) => {
                    let entry = (counts.route.clone(), report.sequence, tally);
                    reporter.routes.insert(at, entry);
                    // The first report of a node may cover any length of time; only later increases count.
                    if first {
                        continue;
                    }
                    tally
                }
            };
            self.evidence.add(now, side, source, &counts.route, &delta);
        }
    }

    /// Adds the local call counts since the last tick to the evidence.
    pub(super) fn commit_staged(&mut self, now: Duration, side: Side) {
        if side == Side::Old {
            self.evidence.on_old_report(now);
        }
        let (due, pending) = std::mem::take(&mut self.pending_crashes)
            .into_iter()
            .partition(|crash| crash.due <= now);
        self.pending_crashes = pending;
        let due: Vec<PendingCrash> = due;
        for crash in due {
            if crash.side == side {
                self.local_crashes += 1;
                // A crash counts as one failed call, no matter how many calls it ended.
                let tally = tally_mut(&mut self.staged, &crash.route);
                tally.calls += 1;
                tally.errors += 1;
            }
        }
        for (route, tally) in std::mem::take(&mut self.staged) {
            self.evidence.add(now, side, LOCAL_SOURCE, &route, &tally);
            tally_mut(&mut self.local_totals, &route).add(&tally);
        }
    }

    pub(super) fn crashes(&self, side: Side) -> u32 {
        let others = self.reporters.iter().filter(|r| r.side == side);
        let local = if self.local_side == Some(side) {
            self.local_crashes
        } else {
            0
        };
        others.map(|r| r.crashes).sum::<u32>() + local
    }

    pub(super) fn crash_finding(&self) -> Option<Finding> {
        let (old, new) = (self.crashes(Side::Old), self.crashes(Side::New));
        (new >= MIN_CRASHES + CRASH_RATIO * old).then(|| Finding {
            cause: RollbackCause::Crashes,
            route: None,
            text: format!("backend servers of the new version crashed {new} times, those of the old one {old} times"),
            concurrent: true,
            rate: 1.0,
        })
    }
}
