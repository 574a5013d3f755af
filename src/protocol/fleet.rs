//! What nodes tell each other about themselves and their backend servers through the platform's
//! store. See `docs/platform.md`, "Membership".

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::protocol::name::DomainName;
use crate::protocol::name::NodeId;
use crate::protocol::name::RegionName;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum BackendPhase {
    /// It takes new work.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// What a backend server says of itself in a heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackendReport {
    /// Identity of its incarnation; mostly new at each start.
    pub instance: Arc<str>,
    /// Start of the incarnation, Unix milliseconds of its own clock. It only tells incarnations with
    /// one identity apart.
    pub born: u64,
    /// Number of the report within the incarnation; a lower one is late.
    pub sequence: u64,
    /// Service.
    pub service: ServiceName,
    /// Version of its software.
    pub version: VersionName,
    /// Requests that it processes at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub phase: BackendPhase,
    /// Time for which it is still slow after its start, milliseconds.
    pub cold_left_ms: u64,
}

impl BackendReport {
    /// Whether this report replaces `earlier`: another incarnation that was born later, or a later
    /// report of the same one.
    #[must_use]
    pub fn replaces(&self, earlier: &Self) -> bool {
        if self.is_same_incarnation(earlier) {
            self.sequence > earlier.sequence
        } else {
            self.born >= earlier.born
        }
    }

    /// Whether both reports come from one start of the backend server.
    #[must_use]
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.instance == other.instance && self.born == other.born
    }

    /// Whether other nodes must learn of the step from `earlier` to this report.
    #[must_use]
    pub fn changes(&self, earlier: &Self) -> bool {
        !self.is_same_incarnation(earlier)
            || self.phase != earlier.phase
            || self.service != earlier.service
            || self.version != earlier.version
            || self.slots != earlier.slots
    }
}

/// Entry of one node in the fleet's topic; the key is its id.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetEntry {
    /// Identity of the node.
    pub node: NodeId,
    /// Random number of the node's process, so that a late write of an earlier process is seen.
    pub run: u64,
    /// Address for calls from other nodes.
    pub addr: SocketAddr,
    /// Region of the instance.
    pub region: RegionName,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// What the instance can carry for others, in hundredths of a core times Mbit/s.
    pub capacity: u32,
    /// The backend server beside the node, if it takes work.
    pub backend: Option<BackendReport>,
}

/// How far a move to a new version is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MoveState {
    /// The new version gets the share of this step.
    Step(u8),
    /// The new version has all traffic for good.
    Complete,
    /// The new version was taken back.
    Reverted,
}

/// Progress of the move of one service; the key is the service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MoveRecord {
    /// Offset of the order in the operator's topic.
    pub order: u64,
    /// State.
    pub state: MoveState,
    /// Time from the order to this record as its writer measured it, milliseconds. Wall clocks are
    /// not compared, see `docs/platform.md`, "Time".
    pub elapsed_ms: u64,
    /// Node that wrote it.
    pub author: NodeId,
}
