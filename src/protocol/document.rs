//! The configuration document that operators publish, see `docs/configuration.md`.

use serde::Deserialize;
use serde::Serialize;

use crate::protocol::name::DomainName;
use crate::protocol::name::RegionName;
use crate::protocol::name::RouteName;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;
use crate::protocol::time::WallMs;

/// A complete configuration, valid only after `state::validate` has accepted it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Regions and their failure domains; they determine where idempotency keys are stored.
    pub regions: Vec<Region>,
    /// Services, sorted by name after validation.
    pub services: Vec<Service>,
    /// Routes, sorted by name after validation.
    pub routes: Vec<Route>,
}

/// A region with its failure domains.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Name of the region.
    pub name: RegionName,
    /// Parts of the region that each can fail as a unit.
    pub failure_domains: Vec<DomainName>,
}

/// A service, its backend server versions and an optional rollout between two of them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Number of slots of a backend server that does not announce it.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Time after the start of a backend server in which its latency does not count as evidence,
    /// milliseconds.
    #[serde(default = "default_cold_start_ms")]
    pub cold_start_ms: u64,
    /// Versions that may receive traffic; the shares add up to 100.
    pub versions: Vec<VersionShare>,
    /// Scheduled rollout that shifts traffic from one version to another.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<Rollout>,
}

/// Traffic share of one version while no rollout is running.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VersionShare {
    /// Name of the version.
    pub name: VersionName,
    /// Percentage of the service's calls, 0 to 100.
    pub share: u8,
}

/// A rollout that shifts the traffic from one version to another by a set time, see `docs/design.md`,
/// section 6.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// Version that has the traffic before the rollout.
    pub from: VersionName,
    /// Version that has the traffic after the rollout.
    pub to: VersionName,
    /// Time of the first step, Unix milliseconds.
    pub start_ms: WallMs,
    /// Time by which the new version has all traffic unless it is rolled back, Unix milliseconds.
    pub finish_by_ms: WallMs,
    /// Traffic percentages of the new version in ascending order; the last one is 100.
    pub steps: Vec<u8>,
    /// Time after completion in which a late fault still rolls the version back, seconds.
    #[serde(default = "default_hold_s")]
    pub hold_s: u64,
    /// Number of calls of the new version that a step requires as evidence if there is enough
    /// traffic.
    #[serde(default = "default_min_calls")]
    pub min_calls: u32,
}

/// A route that maps requests of callers to a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Value of the `Host` header without the port, or `*` for any host.
    #[serde(default = "default_host")]
    pub host: String,
    /// HTTP methods; empty means all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Path prefix; the longest match wins.
    pub path_prefix: String,
    /// Service that handles the requests.
    pub service: ServiceName,
    /// Whether a call may safely be executed more than once.
    pub idempotent: bool,
    /// Time limit of a call with all its attempts, unless the caller sets a shorter one, milliseconds.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Time limit of one attempt, milliseconds.
    #[serde(default = "default_attempt_timeout_ms")]
    pub attempt_timeout_ms: u64,
}

fn default_slots() -> u32 {
    10
}

fn default_cold_start_ms() -> u64 {
    2_000
}

fn default_hold_s() -> u64 {
    600
}

fn default_min_calls() -> u32 {
    50
}

fn default_host() -> String {
    "*".into()
}

fn default_deadline_ms() -> u64 {
    2_000
}

fn default_attempt_timeout_ms() -> u64 {
    1_000
}
