//! What a node knows of the backend server beside it. See `docs/platform.md`, "Membership".

use std::sync::Arc;
use std::time::Duration;

use crate::protocol::fleet::BackendPhase;
use crate::protocol::fleet::BackendReport;

/// Heartbeats that may be missing before the backend server counts as gone. A crash shows sooner,
/// by a refused connection.
const MISSED_HEARTBEATS: u32 = 4;
/// Incarnations that said farewell and are remembered, so that their late heartbeats are ignored.
const MAX_DEPARTED: usize = 16;

/// What a report changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// It is late or of an incarnation that has left.
    Ignored,
    /// Nothing that other nodes must learn.
    Refreshed,
    /// Other nodes must learn of it.
    Changed,
}

/// The backend server beside a node.
#[derive(Debug)]
pub struct LocalBackend {
    report: Option<BackendReport>,
    heard_at: Duration,
    silence_limit: Duration,
    is_down: bool,
    departed: Vec<(Arc<str>, u64)>,
}

impl LocalBackend {
    /// Creates the state before the first heartbeat.
    #[must_use]
    pub fn new(heartbeat_interval: Duration) -> Self {
        Self {
            report: None,
            heard_at: Duration::ZERO,
            silence_limit: heartbeat_interval * MISSED_HEARTBEATS,
            is_down: false,
            departed: Vec::new(),
        }
    }

    /// Takes over a heartbeat.
    pub fn on_heartbeat(&mut self, now: Duration, report: BackendReport) -> Change {
        let left = |(instance, born): &(Arc<str>, u64)| {
            *instance == report.instance && *born == report.born
        };
        if self.departed.iter().any(left) {
            return Change::Ignored;
        }
        if let Some(current) = &self.report
            && !report.replaces(current)
        {
            return Change::Ignored;
        }
        let changed = self.is_down || self.report.as_ref().is_none_or(|old| report.changes(old));
        self.heard_at = now;
        self.is_down = false;
        self.report = Some(report);
        if changed {
            Change::Changed
        } else {
            Change::Refreshed
        }
    }

    /// Takes over a farewell. Returns whether it is that of the backend server known here.
    pub fn on_farewell(&mut self, instance: &str) -> bool {
        let Some(report) = self.report.take_if(|report| &*report.instance == instance) else {
            return false;
        };
        if self.departed.len() >= MAX_DEPARTED {
            self.departed.remove(0);
        }
        self.departed.push((report.instance, report.born));
        true
    }

    /// Notes that the backend server refuses connections or that another incarnation has its
    /// address; the next heartbeat takes that back. Returns whether it was believed to be up.
    pub fn mark_down(&mut self) -> bool {
        let was_up = !self.is_down && self.report.is_some();
        self.is_down = true;
        was_up
    }

    /// The backend server, if it takes new work.
    #[must_use]
    pub fn available(&self, now: Duration) -> Option<&BackendReport> {
        let silent = now.saturating_sub(self.heard_at) > self.silence_limit;
        self.report
            .as_ref()
            .filter(|report| report.phase == BackendPhase::Ready && !self.is_down && !silent)
    }

    /// The last report, also of a backend server that drains.
    #[must_use]
    pub fn report(&self) -> Option<&BackendReport> {
        self.report.as_ref()
    }
}
