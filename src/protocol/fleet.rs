//! Records about nodes, backend servers and rollouts that nodes exchange through the platform's
//! store. See `docs/platform.md`, "Membership".

use std::net::SocketAddr;
use std::ops::Not;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::protocol::name::DomainName;
use crate::protocol::name::NodeId;
use crate::protocol::name::RegionName;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum BackendPhase {
    /// It accepts new requests.
    Ready,
    /// It completes its running requests and then stops.
    Draining,
}

/// Instance and start time of an incarnation of a backend server.
pub type Incarnation = (Arc<str>, u64);

/// State that a backend server reports in a heartbeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackendReport {
    /// Identity of its incarnation; usually new at each start.
    pub instance: Arc<str>,
    /// Start time of the incarnation, Unix milliseconds of its own clock. It only distinguishes
    /// incarnations with the same identity.
    pub born: u64,
    /// Sequence number of the report within the incarnation; a report with a lower one is late.
    pub sequence: u64,
    /// Service that it provides.
    pub service: ServiceName,
    /// Version of its software.
    pub version: VersionName,
    /// Number of requests that it processes at the same time.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub phase: BackendPhase,
    /// Time for which it is still slow after its start, milliseconds.
    pub cold_left_ms: u64,
}

impl BackendReport {
    /// Returns whether this report replaces `earlier`: it is from an incarnation that did not start
    /// before the other one, or a later report of the same incarnation.
    #[must_use]
    pub fn replaces(&self, earlier: &Self) -> bool {
        if self.is_same_incarnation(earlier) {
            self.sequence > earlier.sequence
        } else {
            self.born >= earlier.born
        }
    }

    /// Returns the incarnation of the backend server.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        (self.instance.clone(), self.born)
    }

    /// Returns whether the report is from this incarnation of the backend server.
    #[must_use]
    pub fn is_of(&self, (instance, born): &Incarnation) -> bool {
        self.instance == *instance && self.born == *born
    }

    /// Returns whether both reports are from the same incarnation of the backend server.
    #[must_use]
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        self.instance == other.instance && self.born == other.born
    }

    /// Returns whether other nodes must be told of the difference between `earlier` and this report.
    #[must_use]
    pub fn needs_announcement_after(&self, earlier: &Self) -> bool {
        !self.is_same_incarnation(earlier)
            || self.phase != earlier.phase
            || self.service != earlier.service
            || self.version != earlier.version
            || self.slots != earlier.slots
    }
}

/// Entry of one node in the fleet topic; its key is the node's id.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetEntry {
    /// Identity of the node.
    pub node: NodeId,
    /// Random number of the node's process, to detect late writes of an earlier process.
    pub run: u64,
    /// Number of the entry within this process. An entry with a lower one is older, wherever it is read: the
    /// store may execute a write late, or go back to an earlier state.
    #[serde(default)]
    pub revision: u64,
    /// Address for calls from other nodes.
    pub addr: SocketAddr,
    /// Region of the instance.
    pub region: RegionName,
    /// Failure domain of the instance.
    pub domain: DomainName,
    /// Capacity of the instance for relaying to other nodes, in hundredths of a core times Mbit/s.
    pub capacity: u32,
    /// The local backend server, if it accepts new requests.
    pub backend: Option<BackendReport>,
    /// The last incarnation of the local backend server that has left, so that a restarted process of
    /// the node does not take a late heartbeat of it for a new one.
    #[serde(default)]
    pub left: Option<LeftBackend>,
    /// Those that left before it, oldest first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub earlier_left: Vec<LeftBackend>,
    /// Crashes of the local backend server, oldest first.
    #[serde(default)]
    pub crashes: Vec<RequestCrash>,
    /// Whether the node has stopped after its backend server left. The entry stays for the leaves that it names; the
    /// node is no longer one of the fleet.
    #[serde(default, skip_serializing_if = "Not::not")]
    pub is_stopped: bool,
}

/// A request that was running when a backend server crashed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestCrash {
    /// Hash that repetitions of the request share.
    pub fingerprint: u64,
    /// Hash of the incarnation that crashed.
    pub backend_start: u64,
}

/// An incarnation of a backend server whose leave its node has acknowledged.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeftBackend {
    /// Instance and start time.
    pub incarnation: Incarnation,
    /// Sequence number of the report with which it left, or [`Self::DEREGISTERED`].
    pub sequence: u64,
}

impl LeftBackend {
    /// Sequence number of an incarnation that has deregistered.
    pub const DEREGISTERED: u64 = u64::MAX;

    /// Whether the incarnation has deregistered, so that it cannot become ready again.
    #[must_use]
    pub fn has_deregistered(&self) -> bool {
        self.sequence == Self::DEREGISTERED
    }
}

impl FleetEntry {
    /// Returns the incarnations of the local backend server that have left, oldest first.
    pub fn leaves(&self) -> impl Iterator<Item = &LeftBackend> {
        self.earlier_left.iter().chain(&self.left)
    }

    /// Returns what makes the entry unusable, if anything. Another program may write to the topic, and an
    /// entry that decodes may still name no node that can be called.
    #[must_use]
    pub fn defect(&self) -> Option<&'static str> {
        if self.addr.port() == 0 || self.addr.ip().is_unspecified() {
            return Some("the address cannot be called");
        }
        if self.node.as_str().is_empty() {
            return Some("the name of the node is empty");
        }
        let backend = self.backend.as_ref()?;
        if backend.slots == 0 {
            return Some("the backend server has no slots");
        }
        let is_unnamed = backend.instance.is_empty() || backend.service.as_str().is_empty();
        is_unnamed.then_some("the backend server or its service has no name")
    }
}

/// Progress of a rollout.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum MoveState {
    /// The new version receives the share of this step.
    Step(u8),
    /// The new version receives all traffic, and the rollout can no longer be rolled back.
    Complete,
    /// The new version was rolled back.
    Reverted,
}

/// State of the rollout of one service; its key is the service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MoveRecord {
    /// Offset of the order in the operator's topic.
    pub order: u64,
    /// Progress of the rollout.
    pub state: MoveState,
    /// Time from the order to this record as measured by its writer, milliseconds. Wall clocks are
    /// not compared, see `docs/platform.md`, "Time".
    pub elapsed_ms: u64,
    /// Node that wrote the record.
    pub author: NodeId,
    /// Era of the store in which the result for the operator was there. The store may have gone back since
    /// then, and lost it.
    #[serde(default)]
    pub era: Option<u64>,
}
