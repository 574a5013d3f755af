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
/// Time between two calls of [`LocalBackend::on_tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without a tick beyond which the process is taken not to have handled events. Ticks are late by up to one
/// interval while the process is busy with short work.
const MAX_TICK_GAP: Duration = Duration::from_millis(200);
/// Leaves that are remembered, so that late heartbeats from before them are ignored.
const MAX_LEAVES: usize = 16;
/// Leaves that a node names in its entry for its next process. Each takes some 50 bytes.
const MAX_REPORTED_LEAVES: usize = 4;
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
    /// Time of the last tick; `None` if the owner does not report ticks.
    last_tick_at: Option<Duration>,
    /// Time since the last heartbeat, up to the last tick, in which this process handled no events.
    unattended: Duration,
    is_down: bool,
    /// Whether the incarnation of the last report has announced in a response that it leaves. Its later
    /// heartbeats may still report it as ready.
    is_leaving: bool,
    /// Leaves that this process or an earlier one of the node has acknowledged, oldest first.
    leaves: Vec<Leave>,
    /// Instances that deregistered without being known or naming their start, and when.
    unknown_left: Vec<(Arc<str>, Duration)>,
}

/// A leave of a backend server.
#[derive(Debug)]
struct Leave {
    left: LeftBackend,
    /// Whether it was the backend server of this node. Otherwise it may be any, since a deregistration
    /// names no service, and is forgotten first.
    is_known: bool,
}

impl LocalBackend {
    /// Creates the state before the first heartbeat.
    #[must_use]
    pub fn new(heartbeat_interval: Duration) -> Self {
        Self {
            report: None,
            last_heartbeat_at: Duration::ZERO,
            heartbeat_timeout: heartbeat_interval * MISSED_HEARTBEATS,
            last_tick_at: None,
            unattended: Duration::ZERO,
            is_down: false,
            is_leaving: false,
            leaves: Vec::new(),
            unknown_left: Vec::new(),
        }
    }

    /// Applies a heartbeat.
    pub fn on_heartbeat(&mut self, now: Duration, report: BackendReport) -> HeartbeatEffect {
        if self.is_of_unknown_start(now, &report) {
            return HeartbeatEffect::Refused;
        }
        if self.is_before_leave(&report) || self.is_of_unknown_left(now, &report) {
            return HeartbeatEffect::Ignored;
        }
        let current = self.report.as_ref();
        let current = current.filter(|current| current.is_same_incarnation(&report));
        let drains = current.is_some_and(|current| current.phase == BackendPhase::Draining);
        if report.phase == BackendPhase::Draining && !drains {
            // Also if the report is late: it is acknowledged, and the current one may lapse.
            let is_known = current.is_some();
            let left = LeftBackend {
                incarnation: report.incarnation(),
                sequence: report.sequence,
            };
            self.add_leave(left, is_known);
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
        self.last_heartbeat_at = now;
        self.unattended = Duration::ZERO;
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
                self.add_unknown_left(now, instance.into());
                (instance.into(), UNKNOWN_START)
            }
        };
        let left = LeftBackend {
            incarnation,
            sequence: LeftBackend::DEREGISTERED,
        };
        self.add_leave(left, report.is_some());
        report.is_some()
    }

    fn add_unknown_left(&mut self, now: Duration, instance: Arc<str>) {
        if self.unknown_left.len() >= MAX_LEAVES {
            self.unknown_left.remove(0);
        }
        self.unknown_left.push((instance, now));
    }

    /// Remembers a leave. An earlier one of the same incarnation is replaced.
    fn add_leave(&mut self, left: LeftBackend, is_known: bool) {
        let is_same = |leave: &Leave| leave.left.incarnation == left.incarnation;
        let earlier = self.leaves.iter().position(is_same);
        let earlier = earlier.map(|index| self.leaves.remove(index));
        let leave = Leave {
            is_known: is_known || earlier.as_ref().is_some_and(|leave| leave.is_known),
            left: LeftBackend {
                sequence: earlier.map_or(left.sequence, |leave| {
                    leave.left.sequence.max(left.sequence)
                }),
                ..left
            },
        };
        if self.leaves.len() >= MAX_LEAVES {
            let unknown = self.leaves.iter().position(|leave| !leave.is_known);
            self.leaves.remove(unknown.unwrap_or(0));
        }
        self.leaves.push(leave);
    }

    /// Whether another report may replace the current one although that is newer. A report that came from
    /// another program, or whose backend server has ended unnoticed, would otherwise stay for good.
    fn has_lapsed(&self, now: Duration, report: &BackendReport) -> bool {
        let is_other = |current: &BackendReport| !current.is_same_incarnation(report);
        self.is_silent(now) || (self.is_down && self.report.as_ref().is_some_and(is_other))
    }

    /// Handles that this process handles events. Called every [`TICK_INTERVAL`].
    pub fn on_tick(&mut self, now: Duration) {
        self.unattended += self.unattended_since_tick(now);
        self.last_tick_at = Some(now);
    }

    /// Returns the time since the last tick in which this process handled no events.
    fn unattended_since_tick(&self, now: Duration) -> Duration {
        self.last_tick_at.map_or(Duration::ZERO, |tick| {
            let from = (tick + MAX_TICK_GAP).max(self.last_heartbeat_at);
            now.saturating_sub(from)
        })
    }

    /// Whether the backend server has sent no heartbeat for too long.
    ///
    /// Time in which this process did not handle events, for example while it hashed a large body on a small
    /// instance or was paused, does not count, since heartbeats wait unread then. At most one timeout is left
    /// out, so that a backend server that hangs is not used for long.
    fn is_silent(&self, now: Duration) -> bool {
        let unattended = self.unattended + self.unattended_since_tick(now);
        let silence = now.saturating_sub(self.last_heartbeat_at);
        silence.saturating_sub(unattended.min(self.heartbeat_timeout)) > self.heartbeat_timeout
    }

    /// Whether a report does not name its start, although the backend server of this node does, or the last
    /// one of the same instance. It cannot be told which incarnation it means.
    fn is_of_unknown_start(&self, now: Duration, report: &BackendReport) -> bool {
        let current = self.report.as_ref().filter(|_| !self.is_silent(now));
        let of_current = current.is_some_and(|current| current.born != UNKNOWN_START);
        let last = self.last_leave(&report.instance);
        let of_instance = last.is_some_and(|left| left.incarnation.1 != UNKNOWN_START);
        report.born == UNKNOWN_START && (of_current || of_instance)
    }

    /// Whether a report is a late one of a backend server that deregistered at a process that did not know
    /// it. The sequence numbers of a new incarnation start anew.
    fn is_of_unknown_left(&self, now: Duration, report: &BackendReport) -> bool {
        self.unknown_left.iter().any(|(instance, at)| {
            report.instance == *instance
                && report.sequence > MAX_FIRST_SEQUENCE
                && now.saturating_sub(*at) < LATE_HEARTBEAT_TIME
        })
    }

    /// Returns the leaves that a later process of this node has to know, oldest first.
    ///
    /// Those of backend servers that this node did not know give way first, except for the newest one: a
    /// deregistration is acknowledged only once an entry names it.
    #[must_use]
    pub fn reported_leaves(&self) -> Vec<LeftBackend> {
        let newest_unknown = self.leaves.iter().rposition(|leave| !leave.is_known);
        let rank = |index: usize| match self.leaves[index].is_known {
            false if Some(index) == newest_unknown => 0,
            true => 1,
            false => 2,
        };
        let mut reported: Vec<usize> = (0..self.leaves.len()).rev().collect();
        reported.sort_by_key(|index| rank(*index));
        reported.truncate(MAX_REPORTED_LEAVES);
        reported.sort_unstable();
        let leaves = reported.into_iter().map(|index| &self.leaves[index]);
        leaves.map(|leave| leave.left.clone()).collect()
    }

    /// Returns the last leave of an instance.
    #[must_use]
    pub fn last_leave(&self, instance: &str) -> Option<&LeftBackend> {
        let leaves = self.leaves.iter().map(|leave| &leave.left);
        leaves.rev().find(|left| &*left.incarnation.0 == instance)
    }

    /// Applies a leave that an earlier process of this node has acknowledged. Returns whether the current
    /// report is from before it.
    pub fn on_earlier_leave(&mut self, now: Duration, left: LeftBackend) -> bool {
        if left.incarnation.1 == UNKNOWN_START {
            self.add_unknown_left(now, left.incarnation.0.clone());
        }
        self.add_leave(left, true);
        let is_outdated = self
            .report
            .as_ref()
            .is_some_and(|report| self.is_before_leave(report));
        if is_outdated {
            self.report = None;
        }
        is_outdated
    }

    /// Whether a report was sent before its backend server left, although it arrives later. After a
    /// deregistration all reports of the incarnation were.
    fn is_before_leave(&self, report: &BackendReport) -> bool {
        self.leaves.iter().any(|Leave { left, .. }| {
            report.is_of(&left.incarnation)
                && (left.has_deregistered()
                    || report.phase == BackendPhase::Ready && report.sequence <= left.sequence)
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
        let is_left = |leave: &Leave| leave.left.incarnation == *incarnation;
        self.report.as_ref().is_some_and(is_leaving) || self.leaves.iter().any(is_left)
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
