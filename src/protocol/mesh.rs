//! The configuration and the rollouts that operators order, as nodes use them. See
//! `docs/platform.md`, "Configuration".

use std::sync::Arc;
use std::time::Duration;

use crate::protocol::name::RouteName;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;

/// One complete configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MeshConfig {
    /// Version; increases, but not by a fixed amount.
    pub version: u64,
    /// Routes.
    pub routes: Vec<MeshRoute>,
    /// Services that routes may have as targets, sorted.
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
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Maximum time that a caller waits for a response.
    pub timeout: Duration,
    /// Latency objective.
    pub objective: Duration,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Maximum number of backend servers that may execute one request.
    pub max_attempts: u8,
    /// Target services with their weights; never empty.
    pub targets: Vec<(ServiceName, u32)>,
}

/// Limits for requests of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a body, bytes.
    pub body_bytes: usize,
}

/// An operator's order to roll out a version of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MoveOrder {
    /// Service.
    pub service: ServiceName,
    /// Version that receives all traffic at the end of the rollout.
    pub target: VersionName,
    /// Time after the order within which the rollout must be complete.
    pub within: Duration,
}
