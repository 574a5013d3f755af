//! State of the local backend server of a node, which runs on the same instance. See
//! `docs/platform.md`, "Membership".

use std::sync::Arc;
use std::time::Duration;

use crate::protocol::fleet::BackendPhase;
use crate::protocol::fleet::BackendReport;
use crate::protocol::fleet::Incarnation;
use crate::protocol::fleet::LeftBackend;

/// Number of heartbeat intervals without a heartbeat after which the backend server counts as
/// unavailable. A crash is detected sooner, by a refused connection.
const MISSED_HEARTBEATS: u32 = 4;
/// Number of deregistered incarnations that are remembered, so that their late heartbeats are
/// ignored.
const MAX_DEREGISTERED: usize = 16;

/// Start time of a report that names none.
const UNKNOWN_START: u64 = 0;

/// Time for which heartbeats from before a deregistration may still arrive.
const LATE_HEARTBEAT_TIME: Duration = Duration::from_secs(15);
/// Sequence number up to which a heartbeat counts as one of the first of its incarnation.
const MAX_FIRST_SEQUENCE: u64 = 2;

/// Effect of a heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatEffect {
    /// The heartbeat is late or from an incarnation that has deregistered.
    Ignored,
    /// The heartbeat does not name the start of its backend server, although the one of this node does, so
    /// it may be from another program.
    Refused,
    /// The heartbeat changes nothing that other nodes must be told.
    Refreshed,
    /// Other nodes must be told of the change.
    Changed,
}

/// The local backend server of a node.
#[derive(Debug)]
pub struct LocalBackend {
    report: Option<BackendReport>,
    last_heartbeat_at: Duration,
    heartbeat_timeout: Duration,
    is_down: bool,
    /// Whether the incarnation of the last report has announced in a response that it leaves. Its later
    /// heartbeats may still report it as ready.
    is_leaving: bool,
    /// Deregistered incarnations, oldest first.
    deregistered: Vec<Incarnation>,
    /// Instance that deregistered without being known or naming its start, and when.
    unknown_left: Option<(Arc<str>, Duration)>,
    /// Last incarnation that has left, as acknowledged by this process or by an earlier one of the node.
    left: Option<LeftBackend>,
}

impl LocalBackend {
    /// Creates the state before the first heartbeat.
    #[must_use]
    pub fn new(heartbeat_interval: Duration) -> Self {
        Self {
            report: None,
            last_heartbeat_at: Duration::ZERO,
            heartbeat_timeout: heartbeat_interval * MISSED_HEARTBEATS,
            is_down: false,
            is_leaving: false,
            deregistered: Vec::new(),
            unknown_left: None,
            left: None,
        }
    }

    /// Applies a heartbeat.
    pub fn on_heartbeat(&mut self, now: Duration, report: BackendReport) -> HeartbeatEffect {
        if self.is_of_unknown_start(&report) {
            return HeartbeatEffect::Refused;
        }
        if self.deregistered.iter().any(|left| report.is_of(left))
            || self.is_before_leave(&report)
            || self.is_of_unknown_left(now, &report)
        {
            return HeartbeatEffect::Ignored;
        }
        if let Some(current) = &self.report
            && !report.replaces(current)
            && !self.has_lapsed(now, &report)
        {
            return HeartbeatEffect::Ignored;
        }
        let changed = self.is_down
            || self
                .report
                .as_ref()
                .is_none_or(|old| report.needs_announcement_after(old));
        let is_same = |old: &BackendReport| old.is_same_incarnation(&report);
        self.is_leaving &= self.report.as_ref().is_some_and(is_same);
        if report.phase == BackendPhase::Draining {
            self.left = Some(LeftBackend {
                incarnation: report.incarnation(),
                sequence: report.sequence,
            });
        }
        self.last_heartbeat_at = now;
        self.is_down = false;
        self.report = Some(report);
        if changed {
            HeartbeatEffect::Changed
        } else {
            HeartbeatEffect::Refreshed
        }
    }

    /// Applies a deregistration, with the start time of its incarnation if it names one. Returns whether it
    /// is from the current backend server.
    pub fn on_deregister(&mut self, now: Duration, instance: &str, born: Option<u64>) -> bool {
        let is_current = |report: &mut BackendReport| {
            &*report.instance == instance && born.is_none_or(|born| report.born == born)
        };
        let report = self.report.take_if(is_current);
        let incarnation = match (&report, born) {
            (Some(report), _) => report.incarnation(),
            (None, Some(born)) => (instance.into(), born),
            (None, None) => {
                self.unknown_left = Some((instance.into(), now));
                return false;
            }
        };
        if self.deregistered.len() >= MAX_DEREGISTERED {
            self.deregistered.remove(0);
        }
        self.deregistered.push(incarnation.clone());
        self.left = Some(LeftBackend {
            incarnation,
            sequence: u64::MAX,
        });
        report.is_some()
    }

    /// Whether another report may replace the current one although that is newer. A report that came from
    /// another program, or whose backend server has ended unnoticed, would otherwise stay for good.
    fn has_lapsed(&self, now: Duration, report: &BackendReport) -> bool {
        let is_other = |current: &BackendReport| !current.is_same_incarnation(report);
        self.is_silent(now) || (self.is_down && self.report.as_ref().is_some_and(is_other))
    }

    fn is_silent(&self, now: Duration) -> bool {
        now.saturating_sub(self.last_heartbeat_at) > self.heartbeat_timeout
    }

    /// Whether a report does not name its start, although the backend server of this node does. It cannot be
    /// told which incarnation it means.
    fn is_of_unknown_start(&self, report: &BackendReport) -> bool {
        let current = self.report.iter().map(|current| current.born);
        let left = self.left.iter().map(|left| left.incarnation.1);
        let mut known = current.chain(left);
        report.born == UNKNOWN_START && known.any(|born| born != UNKNOWN_START)
    }

    /// Whether a report is a late one of a backend server that deregistered at a process that did not know
    /// it. The sequence numbers of a new incarnation start anew.
    fn is_of_unknown_left(&self, now: Duration, report: &BackendReport) -> bool {
        self.unknown_left.as_ref().is_some_and(|(instance, at)| {
            report.instance == *instance
                && report.sequence > MAX_FIRST_SEQUENCE
                && now.saturating_sub(*at) < LATE_HEARTBEAT_TIME
        })
    }

    /// Returns the last incarnation that has left, which a later process of this node has to know.
    #[must_use]
    pub fn left(&self) -> Option<&LeftBackend> {
        self.left.as_ref()
    }

    /// Applies a leave that an earlier process of this node has acknowledged. Returns whether the current
    /// report is from before it.
    pub fn on_earlier_leave(&mut self, left: LeftBackend) -> bool {
        if self.left.is_some() {
            return false;
        }
        self.left = Some(left);
        let is_outdated = self
            .report
            .as_ref()
            .is_some_and(|report| self.is_before_leave(report));
        if is_outdated {
            self.report = None;
        }
        is_outdated
    }

    /// Whether a report was sent before its backend server left, although it arrives later.
    fn is_before_leave(&self, report: &BackendReport) -> bool {
        self.left.as_ref().is_some_and(|left| {
            report.is_of(&left.incarnation)
                && report.phase == BackendPhase::Ready
                && report.sequence <= left.sequence
        })
    }

    /// Handles a response in which this incarnation of the backend server announces that it leaves.
    /// Returns whether that is new.
    pub fn on_leaving(&mut self, incarnation: &BackendReport) -> bool {
        let current = self.report.as_ref();
        let is_current = current.is_some_and(|report| report.is_same_incarnation(incarnation));
        is_current && !std::mem::replace(&mut self.is_leaving, true)
    }

    /// Whether the backend server has announced in a response that it leaves.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving && self.report.is_some()
    }

    /// Marks the backend server as down, since it refuses connections or another incarnation uses
    /// its address; the next heartbeat marks it as up again. Returns whether it was up before.
    pub fn mark_down(&mut self) -> bool {
        let was_up = !self.is_down && self.report.is_some();
        self.is_down = true;
        was_up
    }

    /// Whether the backend server is marked as down.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.is_down
    }

    /// Whether an incarnation has announced that it leaves, or has deregistered.
    #[must_use]
    pub fn has_left(&self, incarnation: &Incarnation) -> bool {
        let is_leaving = |report: &BackendReport| self.is_leaving && report.is_of(incarnation);
        let is_left = |left: &LeftBackend| left.incarnation == *incarnation;
        self.report.as_ref().is_some_and(is_leaving)
            || self.left.as_ref().is_some_and(is_left)
            || self.deregistered.contains(incarnation)
    }

    /// Returns the last report of the backend server if it accepts new requests.
    #[must_use]
    pub fn available(&self, now: Duration) -> Option<&BackendReport> {
        let is_stopped = self.is_down || self.is_leaving || self.is_silent(now);
        self.report
            .as_ref()
            .filter(|report| report.phase == BackendPhase::Ready && !is_stopped)
    }

    /// Returns the last report, even if the backend server is draining or down.
    #[must_use]
    pub fn report(&self) -> Option<&BackendReport> {
        self.report.as_ref()
    }
}
