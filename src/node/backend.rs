//! The backend server beside the node: its announcements, and the state derived from them.
//! See `docs/design.md`, section 5.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::protocol::gossip::BackendState;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;

/// Time without an announcement after which a backend server is considered down. Backend servers
/// announce themselves every second.
pub const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of slots; a larger announced number is considered an error and clamped.
const MAX_SLOTS: u32 = 1_000;

/// Announcement of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BackendAnnouncement {
    /// Service of the backend server.
    pub service: ServiceName,
    /// Version of the service.
    pub version: VersionName,
    /// Address that accepts requests; must be on the same instance.
    pub addr: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// The backend server as its node sees it.
#[derive(Clone, Debug, Default)]
pub struct Backend {
    announced: Option<BackendAnnouncement>,
    last_seen: Duration,
    up: bool,
    up_since: Duration,
    starts: u64,
}

impl Backend {
    /// Processes an announcement; returns true if the state visible to the fleet has changed.
    pub fn announce(&mut self, now: Duration, announcement: BackendAnnouncement) -> bool {
        self.last_seen = now;
        let is_same = self.announced.as_ref() == Some(&announcement);
        if is_same && self.up {
            return false;
        }
        if !self.up {
            self.starts += 1;
            self.up_since = now;
        }
        self.up = true;
        self.announced = Some(announcement);
        true
    }

    /// Marks the backend server as down; returns true if it was up.
    pub fn mark_down(&mut self) -> bool {
        std::mem::replace(&mut self.up, false)
    }

    /// Marks the backend server as down if its last announcement is older than
    /// [`ANNOUNCE_TIMEOUT`]; returns true if it was up until now.
    pub fn expire(&mut self, now: Duration) -> bool {
        let is_expired = self.up && now.saturating_sub(self.last_seen) > ANNOUNCE_TIMEOUT;
        is_expired && self.mark_down()
    }

    /// Returns the announcement if the backend server is up.
    #[must_use]
    pub fn available(&self) -> Option<&BackendAnnouncement> {
        self.announced.as_ref().filter(|_| self.up)
    }

    /// Returns the state visible to the fleet.
    #[must_use]
    pub fn state(&self) -> Option<BackendState> {
        let announced = self.announced.as_ref()?;
        Some(BackendState {
            service: announced.service.clone(),
            version: announced.version.clone(),
            slots: announced.slots.clamp(1, MAX_SLOTS),
            up: self.up,
        })
    }

    /// Number of times that the backend server came up; distinguishes crashes of different starts.
    #[must_use]
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// Returns true if the backend server came up less than `cold_start` ago.
    #[must_use]
    pub fn is_cold(&self, now: Duration, cold_start: Duration) -> bool {
        now.saturating_sub(self.up_since) < cold_start
    }
}
