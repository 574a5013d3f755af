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

/// Largest datagram, bytes; fits in one Ethernet frame together with the IP and UDP headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// State of a member, in order of precedence within one incarnation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberStatus {
    /// The member answers probes.
    Alive,
    /// The member missed probes but is not confirmed dead yet.
    Suspect,
    /// The member is shutting down and accepts no new calls.
    Leaving,
    /// The member was declared dead or has left.
    Dead,
}

/// State of the local backend server of a node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackendState {
    /// Service that it provides.
    pub service: ServiceName,
    /// Version of its software.
    pub version: VersionName,
    /// Number of requests that it processes at the same time.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub up: bool,
}

/// Replicated record of one node. A higher incarnation wins, then a higher status.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The node.
    pub id: NodeId,
    /// Incremented by the node itself on every change of its record and to refute a suspicion.
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
    /// Its local backend server, if one has announced itself.
    pub backend: Option<BackendState>,
}

/// Identifies one rollout of one service. `since` distinguishes it from later rollouts to the same
/// version.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RolloutKey {
    /// Service whose traffic shifts.
    pub service: ServiceName,
    /// Version to which the traffic shifts.
    pub to: VersionName,
    /// Configuration version in which the section of the service last changed.
    pub since: ConfigVersion,
}

/// Progress of a rollout. When two records are merged, the highest step wins, then the earliest times,
/// so that nodes that advance the rollout concurrently converge to the same state.
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

/// Reason for a rollback.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum RollbackCause {
    /// Calls of the new version fail more often than those of the old version.
    Errors,
    /// Calls of the new version are slower than those of the old version.
    Latency,
    /// Backend servers of the new version crash.
    Crashes,
}

/// A rollback: the new version of the rollout must receive no traffic. The set of rollbacks is
/// grow-only: an entry is never removed while its rollout is in the document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Rollback {
    /// The rollout that is rolled back.
    pub key: RolloutKey,
    /// Reason for the rollback.
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
    /// Node whose local backend server crashed.
    pub node: NodeId,
    /// Number of starts of that backend server that its node has observed.
    pub backend_start: u64,
    /// Wall time of the crash.
    pub at: WallMs,
}

/// An update of the replicated state, carried by datagrams.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Rumor {
    /// A change of a member.
    Member(Member),
    /// A suspicion that a member is dead. It names the member that raised it, since independent
    /// suspicions shorten the time until the member is declared dead.
    Suspect {
        /// The suspected member.
        id: NodeId,
        /// Its suspected incarnation; a higher one refutes the suspicion.
        incarnation: u64,
        /// Member that raised the suspicion after its own probes were not answered.
        by: NodeId,
    },
    /// A step of a rollout.
    Progress(RolloutProgress),
    /// A rollback of a rollout.
    Rollback(Rollback),
    /// A crash of a backend server.
    Crash(CrashReport),
}

/// Number of latency buckets in a [`RouteEvidence`]. Bucket `i` counts calls that took less than
/// `2^(i/2)` × 125 µs, the last one also all slower calls (above 4 s). The bounds grow by the square
/// root of two, since with a factor of two a version that is slower by that factor could stay in the
/// bucket of the old version's 95th percentile.
pub const LATENCY_BUCKETS: usize = 32;

/// Calls of one route at one backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteEvidence {
    /// The route.
    pub route: RouteName,
    /// Completed calls that count as evidence.
    pub calls: u32,
    /// Failed calls among them.
    pub errors: u32,
    /// Failed calls that are not counted, since a downstream call that they depend on failed.
    pub downstream_failed: u32,
    /// Successful calls outside of cold starts by latency bucket. The latency excludes downstream
    /// calls.
    pub latency: [u32; LATENCY_BUCKETS],
}

/// Evidence of one serving node for one step of one rollout.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvidenceReport {
    /// The rollout.
    pub key: RolloutKey,
    /// Version of the sender's local backend server.
    pub version: VersionName,
    /// Step of the rollout at the sender.
    pub step: u8,
    /// Increases with every report of the sender, also across its restarts, so that late datagrams
    /// can be dropped.
    pub sequence: u64,
    /// Crashes of the backend server that are not explained by a quarantined request.
    pub crashes: u32,
    /// Counters of each route, sorted by route. They are cumulative since the sender began to observe
    /// the rollout, so that no calls are lost with a lost report or a step that the sender missed. A
    /// report that would exceed a datagram is split into several.
    pub routes: Vec<RouteEvidence>,
}

/// Header of every datagram.
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
    /// Whether the sender can reach the log, if it is a reader.
    pub log_reachable: bool,
}

/// Kind of a datagram, with its content.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// Asks the receiver for an [`Message::Ack`].
    Ping {
        /// Sequence number that the ack repeats.
        sequence: u64,
    },
    /// Answers a ping.
    Ack {
        /// Sequence number of the ping.
        sequence: u64,
    },
    /// Tells the sender of a [`Message::PingReq`] that the target has not answered. A missing nack
    /// indicates a fault of the sender's own connection (Lifeguard, section IV.A).
    Nack {
        /// Sequence number of the request.
        sequence: u64,
    },
    /// Asks the receiver to probe `target` and to forward its ack.
    PingReq {
        /// Sequence number that the ack repeats.
        sequence: u64,
        /// Node to probe.
        target: NodeId,
    },
    /// Expects no answer: its header announces a new configuration version at the sender, or it only
    /// carries rumors.
    Hint,
    /// Carries evidence between the serving nodes of one service.
    Evidence(EvidenceReport),
    /// Asks for a [`Message::VersionReply`].
    VersionQuery {
        /// Sequence number that the reply repeats.
        sequence: u64,
    },
    /// Answers a version query; the version is in the header.
    VersionReply {
        /// Sequence number of the query.
        sequence: u64,
    },
}

/// A datagram before authentication.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Packet {
    /// Sender and its state.
    pub header: Header,
    /// Kind of the datagram, with its content.
    pub message: Message,
    /// Updates of the replicated state that the sender spreads.
    pub rumors: Vec<Rumor>,
}

/// Complete replicated state of a node, exchanged over HTTP if digests differ for a long time.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SyncState {
    /// All members, including dead ones until they are removed, sorted by id.
    pub members: Vec<Member>,
    /// Progress of rollouts, sorted by key.
    pub progress: Vec<RolloutProgress>,
    /// Rollbacks, sorted by key.
    pub rollbacks: Vec<Rollback>,
    /// Crash reports that have not expired, sorted.
    pub crashes: Vec<CrashReport>,
    /// Configuration version in force at the sender.
    pub version: ConfigVersion,
}
