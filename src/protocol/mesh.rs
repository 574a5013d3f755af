//! The configuration and the orders of operators as nodes use them. See `docs/platform.md`,
//! "Configuration".

use std::sync::Arc;
use std::time::Duration;

use crate::protocol::name::RouteName;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;

/// One complete configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MeshConfig {
    /// Version; rises in uneven steps.
    pub version: u64,
    /// Routes.
    pub routes: Vec<MeshRoute>,
    /// Services that routes may go to, sorted.
    pub services: Vec<ServiceName>,
    /// Limits for callers.
    pub limits: CallerLimits,
}

/// A route of the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MeshRoute {
    /// Name.
    pub name: RouteName,
    /// Host that it applies to.
    pub host: Arc<str>,
    /// Path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Latency objective.
    pub objective: Duration,
    /// Rank, 0 is the most urgent.
    pub priority: u8,
    /// Most backend servers that run one request.
    pub attempts: u8,
    /// Services with their weights; never empty.
    pub targets: Vec<(ServiceName, u32)>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest body, bytes.
    pub body_bytes: usize,
}

/// An order to move a service to a version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MoveOrder {
    /// Service.
    pub service: ServiceName,
    /// Version that is to get all traffic.
    pub target: VersionName,
    /// Time from the order within which the move has to be complete.
    pub within: Duration,
}
