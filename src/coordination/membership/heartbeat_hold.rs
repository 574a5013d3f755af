//! Heartbeats that a process has received before it knows the leaves which an earlier process of its node has
//! acknowledged. See `docs/platform.md`, "Leaves".
//!
//! A heartbeat from before such a leave may arrive late. The leaves are in the node's own entry in the store. A
//! process that cannot read it holds the heartbeat until the health path of the backend server confirms it.

use std::time::Duration;

use crate::protocol::fleet::BackendPhase;
use crate::protocol::fleet::BackendReport;
use crate::protocol::fleet::Incarnation;

/// Time for which a held heartbeat waits for the entry before the health path is asked, while the store is not known
/// to be away. A read of the store takes less, and health checks have a price.
const ENTRY_READ_TIME: Duration = Duration::from_secs(1);
/// Smallest interval between two health checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Whether the health of the local backend server can be checked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthPath {
    /// There is no configuration yet.
    Unknown,
    /// The configuration names no health path for the service.
    Missing,
    /// The configuration names one.
    Known,
}

/// Decides whether heartbeats are used.
#[derive(Debug, Default)]
pub struct HeartbeatHold {
    is_entry_read: bool,
    /// Newest heartbeat that waits, and when the first one of its incarnation arrived.
    held: Option<(BackendReport, Duration)>,
    /// Incarnation that a health check has confirmed.
    confirmed: Option<Incarnation>,
    is_checking: bool,
    checked_at: Option<Duration>,
}

impl HeartbeatHold {
    /// Handles a heartbeat. Returns it if it may be used now.
    ///
    /// Only heartbeats that report the backend server as ready are held: others do no harm.
    pub fn on_heartbeat(
        &mut self,
        now: Duration,
        report: BackendReport,
        health_path: HealthPath,
    ) -> Option<BackendReport> {
        let is_confirmed = |incarnation: &Incarnation| report.is_of(incarnation);
        if self.is_entry_read
            || report.phase == BackendPhase::Draining
            || health_path == HealthPath::Missing
            || self.confirmed.as_ref().is_some_and(is_confirmed)
        {
            return Some(report);
        }
        let since = match &self.held {
            Some((held, since)) if held.is_same_incarnation(&report) => *since,
            _ => now,
        };
        self.held = Some((report, since));
        None
    }

    /// Handles that the node's own entry has been read from the store. Returns the heartbeat that waits for it.
    pub fn on_entry_read(&mut self) -> Option<BackendReport> {
        self.is_entry_read = true;
        Some(self.held.take()?.0)
    }

    /// Handles a deregistration, with the start time of its incarnation if it names one. Returns the heartbeat of the
    /// incarnation that waits: it is from before the leave, and says which incarnation has left.
    pub fn on_deregister(&mut self, instance: &str, born: Option<u64>) -> Option<BackendReport> {
        let is_left = |(report, _): &mut (BackendReport, Duration)| {
            &*report.instance == instance && born.is_none_or(|born| report.born == born)
        };
        Some(self.held.take_if(is_left)?.0)
    }

    /// Handles that a configuration was learned while the store is away. Returns the heartbeat that waits if there is no
    /// health path that could confirm it.
    pub fn on_configured(&mut self, health_path: HealthPath) -> Option<BackendReport> {
        let held = self.held.take_if(|_| health_path == HealthPath::Missing);
        Some(held?.0)
    }

    /// Begins a health check if one is due. Returns the incarnation that it has to confirm.
    pub fn begin_check(
        &mut self,
        now: Duration,
        health_path: HealthPath,
        is_store_available: bool,
    ) -> Option<Incarnation> {
        let (report, since) = self.held.as_ref()?;
        let is_due = !is_store_available || now.saturating_sub(*since) >= ENTRY_READ_TIME;
        let is_too_early = self
            .checked_at
            .is_some_and(|at| now.saturating_sub(at) < CHECK_INTERVAL);
        if health_path != HealthPath::Known || self.is_checking || !is_due || is_too_early {
            return None;
        }
        self.is_checking = true;
        self.checked_at = Some(now);
        Some(report.incarnation())
    }

    /// Handles the end of a health check. Returns the heartbeat that it has confirmed.
    pub fn on_checked(
        &mut self,
        incarnation: &Incarnation,
        is_healthy: bool,
    ) -> Option<BackendReport> {
        self.is_checking = false;
        let confirmed = self
            .held
            .take_if(|(report, _)| is_healthy && report.is_of(incarnation));
        let (report, _) = confirmed?;
        self.confirmed = Some(incarnation.clone());
        Some(report)
    }
}
