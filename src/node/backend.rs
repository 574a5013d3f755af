//! The backend server beside the node: its announcements and what the node derives from them.
//! See `docs/design.md`, section 5.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

use crate::protocol::gossip::BackendState;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;

/// Time without an announcement after which a backend server counts as down; it announces itself
/// every second.
pub const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);
/// Slots above this number are taken for a mistake of the backend server.
const MAX_SLOTS: u32 = 1_000;

/// What a backend server says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct BackendAnnouncement {
    /// Service that it serves.
    pub service: ServiceName,
    /// Version that it runs.
    pub version: VersionName,
    /// Address at which it takes requests; must be on the same instance.
    pub addr: SocketAddr,
    /// Requests that it can run at the same time.
    pub slots: u32,
}

/// The backend server as its node sees it.
#[derive(Clone, Debug, Default)]
pub struct Backend {
    announced: Option<BackendAnnouncement>,
    last_seen: Duration,
    up: bool,
    came_up: Duration,
    starts: u64,
}

impl Backend {
    /// Takes an announcement; returns true if the state that the fleet sees has changed.
    pub fn announce(&mut self, now: Duration, announcement: BackendAnnouncement) -> bool {
        self.last_seen = now;
        let same = self.announced.as_ref() == Some(&announcement);
        if same && self.up {
            return false;
        }
        if !self.up {
            self.starts += 1;
            self.came_up = now;
        }
        self.up = true;
        self.announced = Some(announcement);
        true
    }

    /// Marks the backend server as down; returns true if it was up.
    pub fn mark_down(&mut self) -> bool {
        std::mem::replace(&mut self.up, false)
    }

    /// Marks the backend server as down if it has not announced itself for too long.
    pub fn expire(&mut self, now: Duration) -> bool {
        let silent = self.up && now.saturating_sub(self.last_seen) > ANNOUNCE_TIMEOUT;
        silent && self.mark_down()
    }

    /// Returns the announcement if the backend server takes work.
    #[must_use]
    pub fn available(&self) -> Option<&BackendAnnouncement> {
        self.announced.as_ref().filter(|_| self.up)
    }

    /// Returns the state that the fleet sees.
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

    /// Number of times that it came up, which tells crashes of different starts apart.
    #[must_use]
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// Whether it came up less than `cold_start` ago.
    #[must_use]
    pub fn is_cold(&self, now: Duration, cold_start: Duration) -> bool {
        now.saturating_sub(self.came_up) < cold_start
    }
}
