//! Datagrams between nodes, see `docs/design.md`, sections 4 to 7.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::protocol::name::ConfigVersion;
use crate::protocol::name::DomainName;
use crate::protocol::name::NodeId;
use crate::protocol::name::RegionName;
use crate::protocol::name::RouteName;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;
use crate::protocol::time::WallMs;

/// Largest datagram, bytes; fits one Ethernet frame together with the IP and UDP headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// State of a member, in order of precedence within one incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberStatus {
    /// Answers probes.
    Alive,
    /// Missed probes, not yet confirmed dead.
    Suspect,
    /// Stops gracefully and takes no new work.
    Leaving,
    /// Declared dead or gone.
    Dead,
}

/// State of the backend server beside a node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackendState {
    /// Service that it serves.
    pub service: ServiceName,
    /// Version that it runs.
    pub version: VersionName,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes new work.
    pub up: bool,
}

/// What the fleet knows of one node. A higher incarnation wins, then the higher status.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The node.
    pub id: NodeId,
    /// Raised by the node itself on every change of its own record and to refute a suspicion.
    pub incarnation: u64,
    /// State of the node.
    pub status: MemberStatus,
    /// Region of the node.
    pub region: RegionName,
    /// Failure domain of the node.
    pub domain: DomainName,
    /// Address of its HTTP node port.
    pub node_addr: SocketAddr,
    /// Address of its gossip socket.
    pub gossip_addr: SocketAddr,
    /// Wall time of the start of the process.
    pub started_at: WallMs,
    /// Its backend server, if one has announced itself.
    pub backend: Option<BackendState>,
}

/// Identifies one rollout of one service; `since` separates it from later rollouts to the same version.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RolloutKey {
    /// Service whose traffic shifts.
    pub service: ServiceName,
    /// Version that gets the traffic.
    pub to: VersionName,
    /// Configuration version in which the section of the service last changed.
    pub since: ConfigVersion,
}

/// Progress of a rollout; merges by the highest step, then the earliest times, so that two nodes
/// that advance at once end up with the same state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RolloutProgress {
    /// The rollout.
    pub key: RolloutKey,
    /// Index into the steps of the rollout.
    pub step: u8,
    /// Wall time at which the step began.
    pub entered_at: WallMs,
    /// Wall time at which step 0 began.
    pub began_at: WallMs,
    /// Node that advanced the rollout.
    pub by: NodeId,
}

/// Reason for which a version was taken back.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum RollbackCause {
    /// Its calls fail more often than those of the old version.
    Errors,
    /// Its calls are slower than those of the old version.
    Latency,
    /// Its backend servers crash.
    Crashes,
}

/// A version that must get no traffic in this rollout. Grow-only: it is never removed while the rollout
/// stands in the document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rollback {
    /// The rollout that is rolled back.
    pub key: RolloutKey,
    /// Why.
    pub cause: RollbackCause,
    /// Route that showed the fault, if only one did.
    pub route: Option<RouteName>,
    /// Wall time of the decision.
    pub at: WallMs,
    /// Node that decided.
    pub by: NodeId,
}

/// A crash of a backend server while it ran a request.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashReport {
    /// Hash of the request.
    pub fingerprint: u64,
    /// Node beside the backend server that crashed.
    pub node: NodeId,
    /// Counts the starts of that backend server as its node saw them.
    pub backend_start: u64,
    /// Wall time of the crash.
    pub at: WallMs,
}

/// A piece of replicated state that travels on datagrams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Rumor {
    /// A change of a member.
    Member(Member),
    /// A member that misses probes. It names its accuser, since independent accusers shorten the
    /// time until the member is declared dead.
    Suspect {
        /// The member.
        id: NodeId,
        /// Its incarnation that misses probes; a higher one refutes the suspicion.
        incarnation: u64,
        /// Member that probed it itself.
        by: NodeId,
    },
    /// A step of a rollout.
    Progress(RolloutProgress),
    /// A version that was taken back.
    Rollback(Rollback),
    /// A crash of a backend server.
    Crash(CrashReport),
}

/// Number of latency buckets in a [`RouteEvidence`]; bucket `i` counts calls of less than
/// `2^(i/2)` × 125 µs, the last one all slower calls (4 s). Half octaves, since a version that is
/// slower by a factor of two would else stay in the bucket of the old version's 95th percentile.
pub const LATENCY_BUCKETS: usize = 32;

/// Calls of one route at one backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteEvidence {
    /// The route.
    pub route: RouteName,
    /// Finished calls that count as evidence.
    pub calls: u32,
    /// Failed calls among them.
    pub errors: u32,
    /// Failed calls that are not counted, since a call to another service that they depend on failed.
    pub downstream_failed: u32,
    /// Successful calls outside of cold starts by latency, downstream calls excluded.
    pub latency: [u32; LATENCY_BUCKETS],
}

/// Evidence of one serving node for one step of one rollout.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvidenceReport {
    /// The rollout.
    pub key: RolloutKey,
    /// Version that the sender's backend server runs.
    pub version: VersionName,
    /// Step that the sender is in.
    pub step: u8,
    /// Raised with every report of the sender, also across its restarts, so that late datagrams are
    /// dropped.
    pub sequence: u64,
    /// Crashes of the backend server that no quarantined request explains.
    pub crashes: u32,
    /// Figures by route, sorted by route, cumulative since the sender began to observe the rollout, so
    /// that a lost report or a step that the sender has not heard of loses no calls. A report that would
    /// exceed a datagram is sent as several.
    pub routes: Vec<RouteEvidence>,
}

/// First part of every datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Sender.
    pub from: NodeId,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Configuration version in force at the sender.
    pub version: ConfigVersion,
    /// Digest of the sender's replicated state.
    pub digest: u64,
    /// Whether the sender reaches the log, if it is a reader.
    pub log_reachable: bool,
}

/// Kinds of datagrams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Asks the receiver for an [`Message::Ack`].
    Ping {
        /// Number that the answer repeats.
        sequence: u64,
    },
    /// Answers a ping.
    Ack {
        /// Number of the ping.
        sequence: u64,
    },
    /// Tells the sender of a [`Message::PingReq`] that the target has not answered. A missing nack
    /// shows that the sender's own connection is at fault (Lifeguard, section IV.A).
    Nack {
        /// Number of the request.
        sequence: u64,
    },
    /// Asks the receiver to probe `target` and to pass its ack on.
    PingReq {
        /// Number that the ack repeats.
        sequence: u64,
        /// Node to probe.
        target: NodeId,
    },
    /// Asks for nothing: tells by its header that a new configuration version is in force at the sender,
    /// or carries rumors.
    Hint,
    /// Carries evidence between the serving nodes of one service.
    Evidence(EvidenceReport),
    /// Asks for a [`Message::VersionReply`].
    VersionQuery {
        /// Number that the answer repeats.
        sequence: u64,
    },
    /// Answers a version query; the version stands in the header.
    VersionReply {
        /// Number of the query.
        sequence: u64,
    },
}

/// A datagram before authentication.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Packet {
    /// Sender and its state.
    pub header: Header,
    /// What the datagram is for.
    pub message: Message,
    /// Replicated state that the sender passes on.
    pub rumors: Vec<Rumor>,
}

/// Replicated state of a node, exchanged whole over HTTP when digests differ for long.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncState {
    /// All members, dead ones included until they are forgotten, sorted by id.
    pub members: Vec<Member>,
    /// Progress of rollouts, sorted by key.
    pub progress: Vec<RolloutProgress>,
    /// Rollback versions, sorted by key.
    pub rollbacks: Vec<Rollback>,
    /// Crash reports that are still in force, sorted.
    pub crashes: Vec<CrashReport>,
    /// Configuration version in force at the sender.
    pub version: ConfigVersion,
}
