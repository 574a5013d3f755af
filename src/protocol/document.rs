//! The configuration document that operators publish, see `docs/configuration.md`.

use serde::Deserialize;
use serde::Serialize;

use crate::protocol::name::DomainName;
use crate::protocol::name::RegionName;
use crate::protocol::name::RouteName;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;
use crate::protocol::time::WallMs;

/// One whole configuration, valid only after `state::validate` has accepted it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Regions and their failure domains; they decide where keys of non-idempotent calls are kept.
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
    /// Parts of the region that fail as one.
    pub failure_domains: Vec<DomainName>,
}

/// A service, its backend server versions and an optional rollout between two of them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Slots of a backend server that does not announce its own number.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Time after its start in which a backend server's latency is no evidence, milliseconds.
    #[serde(default = "default_cold_start_ms")]
    pub cold_start_ms: u64,
    /// Versions that may receive traffic; the shares add up to 100.
    pub versions: Vec<VersionShare>,
    /// Scheduled rollout that shifts the traffic from one version to another.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rollout: Option<Rollout>,
}

/// Share of the traffic of one version when no rollout is on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct VersionShare {
    /// Name of the version.
    pub name: VersionName,
    /// Percentage of the service's calls, 0 to 100.
    pub share: u8,
}

/// A rollout that shifts the traffic between two versions by a set time, see `docs/design.md`, section 6.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    /// Version that has the traffic before the rollout.
    pub from: VersionName,
    /// Version that has the traffic after the rollout.
    pub to: VersionName,
    /// Time of the first step, Unix milliseconds.
    pub start_ms: WallMs,
    /// Time by which a good version has all traffic, Unix milliseconds.
    pub finish_by_ms: WallMs,
    /// Percentages of the new version, ascending, the last one 100.
    pub steps: Vec<u8>,
    /// Time after completion in which a late fault still takes the version back, seconds.
    #[serde(default = "default_hold_s")]
    pub hold_s: u64,
    /// Calls of the new version that a step needs as evidence when there is traffic enough.
    #[serde(default = "default_min_calls")]
    pub min_calls: u32,
}

/// A route from callers' requests to a service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Value of the `Host` header without port, or `*` for any.
    #[serde(default = "default_host")]
    pub host: String,
    /// HTTP methods; empty means all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Prefix of the path; the longest match wins.
    pub path_prefix: String,
    /// Service that serves the route.
    pub service: ServiceName,
    /// Whether a call may run more than once without harm.
    pub idempotent: bool,
    /// Time limit of a whole call unless the caller sets a shorter one, milliseconds.
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
