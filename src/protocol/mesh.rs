//! The configuration and the rollouts that operators order, as nodes use them. See
//! `docs/platform.md`, "Configuration".

use std::fmt;
use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use crate::protocol::hop::RequestRate;
use crate::protocol::name::RegionName;
use crate::protocol::name::RouteName;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;
use crate::protocol::name::WorkspaceName;

/// One complete configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MeshConfig {
    /// Version; increases, but not by a fixed amount.
    pub version: u64,
    /// Routes.
    pub routes: Vec<MeshRoute>,
    /// Services that routes may have as targets, sorted by name.
    pub services: Vec<MeshService>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// Workspaces, sorted by name. Without any, requests need no credential.
    pub workspaces: Vec<Workspace>,
}

/// A service of the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MeshService {
    /// Name.
    pub name: ServiceName,
    /// Path at which its backend servers report their health.
    pub health_path: Option<Arc<str>>,
    /// How its backend servers have to be treated while they are cold; `None` if they bear any load.
    pub cold: Option<ColdLimit>,
}

/// Limit on the requests to a backend server that is cold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ColdLimit {
    /// Requests that it tolerates meanwhile, from all nodes together.
    pub rate: RequestRate,
}

/// A workspace of the configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Workspace {
    /// Name.
    pub name: WorkspaceName,
    /// Hashes of its credentials, sorted.
    pub keys: Vec<KeyHash>,
    /// Priority, which goes before that of the route; 0 is the highest.
    pub priority: u8,
    /// Quota over all nodes together; `None` if it has no limit.
    pub quota: Option<Quota>,
    /// Regions that may serve it, sorted; empty if all may.
    pub homes: Vec<RegionName>,
}

/// Quota of a workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Quota {
    /// Requests a second.
    pub rate: RequestRate,
    /// Requests that it may send at once beyond the rate.
    pub burst: u32,
}

/// Hash of a credential. The credential itself is not kept, so that it cannot get into logs or messages, and
/// the time of a lookup depends on the hash only.
#[derive(Clone, Copy, Eq, Ord, PartialEq, PartialOrd)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Returns the hash of a credential (BLAKE3).
    #[must_use]
    pub fn of(credential: &[u8]) -> Self {
        Self(*blake3::hash(credential).as_bytes())
    }

    /// Returns the hash as 64 hexadecimal digits.
    #[must_use]
    pub fn to_hex(self) -> String {
        let mut text = String::with_capacity(64);
        for byte in self.0 {
            let _ = write!(text, "{byte:02x}");
        }
        text
    }

    /// Reads what [`Self::to_hex`] returns; `None` if it is something else.
    #[must_use]
    pub fn from_hex(text: &str) -> Option<Self> {
        let is_hex = text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hex {
            return None;
        }
        let mut hash = [0; 32];
        for (index, byte) in hash.iter_mut().enumerate() {
            *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
        }
        Some(Self(hash))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyHash")
    }
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
    /// Whether requests need no credential, although there are workspaces.
    pub is_public: bool,
    /// Regions that may serve it, sorted; empty if all may.
    pub homes: Vec<RegionName>,
}

/// Limits for requests of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Maximum size of a request head, bytes.
    pub header_bytes: usize,
    /// Maximum size of a body, bytes.
    pub body_bytes: usize,
    /// Maximum time for the head of a request.
    pub header_time: Duration,
    /// Time for which a connection may be idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    /// The limits until a configuration sets them.
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 1 << 20,
            header_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(30),
        }
    }
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
