//! State of the local backend server of a node, which runs on the same instance. See
//! `docs/platform.md`, "Membership".

use std::sync::Arc;
use std::time::Duration;

use crate::protocol::fleet::BackendPhase;
use crate::protocol::fleet::BackendReport;

/// Number of heartbeat intervals without a heartbeat after which the backend server counts as
/// unavailable. A crash is detected sooner, by a refused connection.
const MISSED_HEARTBEATS: u32 = 4;
/// Number of deregistered incarnations that are remembered, so that their late heartbeats are
/// ignored.
const MAX_DEREGISTERED: usize = 16;

/// Effect of a heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatEffect {
    /// The heartbeat is late or from an incarnation that has deregistered.
    Ignored,
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
    /// Instance and start time of deregistered incarnations, oldest first.
    deregistered: Vec<(Arc<str>, u64)>,
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
            deregistered: Vec::new(),
        }
    }

    /// Applies a heartbeat.
    pub fn on_heartbeat(&mut self, now: Duration, report: BackendReport) -> HeartbeatEffect {
        let is_sender = |(instance, born): &(Arc<str>, u64)| {
            *instance == report.instance && *born == report.born
        };
        if self.deregistered.iter().any(is_sender) {
            return HeartbeatEffect::Ignored;
        }
        if let Some(current) = &self.report
            && !report.replaces(current)
        {
            return HeartbeatEffect::Ignored;
        }
        let changed = self.is_down
            || self
                .report
                .as_ref()
                .is_none_or(|old| report.needs_announcement_after(old));
        self.last_heartbeat_at = now;
        self.is_down = false;
        self.report = Some(report);
        if changed {
            HeartbeatEffect::Changed
        } else {
            HeartbeatEffect::Refreshed
        }
    }

    /// Applies a deregistration. Returns whether it is from the current backend server.
    pub fn on_deregister(&mut self, instance: &str) -> bool {
        let Some(report) = self.report.take_if(|report| &*report.instance == instance) else {
            return false;
        };
        if self.deregistered.len() >= MAX_DEREGISTERED {
            self.deregistered.remove(0);
        }
        self.deregistered.push((report.instance, report.born));
        true
    }

    /// Marks the backend server as down, since it refuses connections or another incarnation uses
    /// its address; the next heartbeat marks it as up again. Returns whether it was up before.
    pub fn mark_down(&mut self) -> bool {
        let was_up = !self.is_down && self.report.is_some();
        self.is_down = true;
        was_up
    }

    /// Returns the last report of the backend server if it accepts new requests.
    #[must_use]
    pub fn available(&self, now: Duration) -> Option<&BackendReport> {
        let is_silent = now.saturating_sub(self.last_heartbeat_at) > self.heartbeat_timeout;
        self.report
            .as_ref()
            .filter(|report| report.phase == BackendPhase::Ready && !self.is_down && !is_silent)
    }

    /// Returns the last report, even if the backend server is draining or down.
    #[must_use]
    pub fn report(&self) -> Option<&BackendReport> {
        self.report.as_ref()
    }
}
