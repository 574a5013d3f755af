//! Settings of a sidecar, a file in JSON with comments. See `docs/settings.md`.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

use crate::coordination::retry_quota::RetryBudget;
use crate::jsonc::Findings;
use crate::jsonc::Schema;
use crate::jsonc::Source;
use crate::jsonc::optional;
use crate::jsonc::required;
use crate::protocol::name::DomainName;
use crate::protocol::name::NodeId;
use crate::protocol::name::RegionName;
use crate::protocol::name::ServiceName;
use crate::result_code::Failure;
use crate::result_code::ResultCode;
use crate::settings::MAX_SETTINGS_BYTES;

/// Settings of one sidecar.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct SidecarSettings {
    /// Identity of the node, unique in the fleet.
    pub id: NodeId,
    /// Region of the instance.
    pub region: RegionName,
    /// Failure domain of the instance.
    pub failure_domain: DomainName,
    /// Service of the backend server on the instance.
    pub service: ServiceName,
    /// Address of that backend server.
    pub backend_addr: SocketAddr,
    /// Address for calls of clients and of the backend server.
    pub caller_addr: SocketAddr,
    /// Address for calls from other nodes.
    pub node_addr: SocketAddr,
    /// Address at which other nodes reach `node_addr`, if it differs, for example because of network
    /// address translation.
    #[serde(default)]
    pub advertised_node_addr: Option<SocketAddr>,
    /// Address for readiness probes of the platform.
    pub ready_addr: SocketAddr,
    /// Address for heartbeats of the backend server.
    pub heartbeat_addr: SocketAddr,
    /// Address for metrics.
    pub metrics_addr: SocketAddr,
    /// Address of the platform's store.
    pub store_addr: SocketAddr,
    /// Time between two heartbeats, milliseconds.
    pub heartbeat_interval_ms: f64,
    /// Time from the acknowledgement of a configuration by the store until it has to be in force,
    /// milliseconds.
    pub config_within_ms: f64,
    /// Time from SIGTERM until the process is killed, seconds.
    pub stop_within_s: f64,
    /// CPU share of the process, cores.
    pub cpu_share: f64,
    /// Network bandwidth of the instance, Mbit/s.
    pub link_mbps: f64,
    /// Retries allowed for each request to a service, in the whole fleet.
    pub retry_ratio: f64,
    /// Retries allowed in a window in addition to the ratio, in the whole fleet.
    pub retry_slack: f64,
    /// Window over which retries are counted, seconds.
    pub retry_window_s: f64,
    /// Failure domains with their regions, so that names in a configuration can be checked.
    #[serde(default)]
    pub domains: Vec<DomainRegion>,
    /// Whether requests with a credential are refused while credentials may have been revoked unnoticed.
    #[serde(default)]
    pub strict_revoke: bool,
    /// Age of the view of the configuration from which on that is assumed, milliseconds.
    #[serde(default = "default_revoke_within_ms")]
    pub revoke_within_ms: f64,
    /// Window over which quotas are counted, seconds.
    #[serde(default = "default_quota_window_s")]
    pub quota_window_s: f64,
    /// Requests allowed beyond a quota, as a share of it.
    #[serde(default = "default_quota_excess")]
    pub quota_excess: f64,
    /// Requests allowed beyond that in a window.
    #[serde(default = "default_quota_slack")]
    pub quota_slack: f64,
    /// Requests allowed to a cold backend server in a second, as a factor on the rate that it tolerates.
    #[serde(default = "default_cold_excess")]
    pub cold_excess: f64,
    /// Requests allowed beyond that.
    #[serde(default)]
    pub cold_slack: f64,
    /// Whether the calls that leave a failure domain are bounded by shares, and to spare capacity of other ones.
    #[serde(default)]
    pub spillover: bool,
    /// Memory of the instance, MB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// File descriptors that the process may open.
    #[serde(default = "default_max_open_files")]
    pub max_open_files: u32,
}

/// A failure domain and its region.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DomainRegion {
    /// Failure domain.
    pub domain: DomainName,
    /// Its region.
    pub region: RegionName,
}

fn default_revoke_within_ms() -> f64 {
    5_000.0
}

fn default_quota_window_s() -> f64 {
    5.0
}

fn default_quota_excess() -> f64 {
    0.1
}

fn default_quota_slack() -> f64 {
    20.0
}

fn default_cold_excess() -> f64 {
    1.0
}

/// Memory of the smallest instances.
fn default_memory_mb() -> f64 {
    160.0
}

/// File descriptors of the smallest instances.
fn default_max_open_files() -> u32 {
    4_100
}

const DOMAIN_REGION: Schema = Schema::Object(&[
    required("domain", Schema::String),
    required("region", Schema::String),
]);

const SETTINGS: Schema = Schema::Object(&[
    required("id", Schema::String),
    required("region", Schema::String),
    required("failure_domain", Schema::String),
    required("service", Schema::String),
    required("backend_addr", Schema::Address),
    required("caller_addr", Schema::Address),
    required("node_addr", Schema::Address),
    optional("advertised_node_addr", Schema::Address),
    required("ready_addr", Schema::Address),
    required("heartbeat_addr", Schema::Address),
    required("metrics_addr", Schema::Address),
    required("store_addr", Schema::Address),
    required("heartbeat_interval_ms", Schema::Number),
    required("config_within_ms", Schema::Number),
    required("stop_within_s", Schema::Number),
    required("cpu_share", Schema::Number),
    required("link_mbps", Schema::Number),
    required("retry_ratio", Schema::Number),
    required("retry_slack", Schema::Number),
    required("retry_window_s", Schema::Number),
    optional("domains", Schema::List(&DOMAIN_REGION)),
    optional("strict_revoke", Schema::Bool),
    optional("revoke_within_ms", Schema::Number),
    optional("quota_window_s", Schema::Number),
    optional("quota_excess", Schema::Number),
    optional("quota_slack", Schema::Number),
    optional("cold_excess", Schema::Number),
    optional("cold_slack", Schema::Number),
    optional("spillover", Schema::Bool),
    optional("memory_mb", Schema::Number),
    optional("max_open_files", Schema::Integer(u32::MAX as u64)),
]);

/// Returns the names of all fields of a settings file.
#[must_use]
pub fn field_names() -> Vec<&'static str> {
    match SETTINGS {
        Schema::Object(fields) => fields.iter().map(|field| field.name).collect(),
        _ => Vec::new(),
    }
}

/// Reads and checks a settings file.
///
/// # Errors
/// All failures found, each with file, line, column and field.
pub fn load(file: &Path) -> Result<SidecarSettings, Vec<Failure>> {
    let name = file.display();
    let text = fs::read_to_string(file).map_err(|e| {
        let text = format!("cannot read {name}: {e}");
        vec![Failure::new(ResultCode::InvalidSettings, text)]
    })?;
    parse(&text, &name.to_string())
}

/// Parses and checks the text of a settings file; `name` is the file name for failures.
///
/// # Errors
/// All failures found, each with file, line, column and field.
pub fn parse(text: &str, name: &str) -> Result<SidecarSettings, Vec<Failure>> {
    let source = Source::parse(text, name, MAX_SETTINGS_BYTES)?;
    source.check(&SETTINGS)?;
    let settings: SidecarSettings = source.deserialize()?;
    let mut findings = Findings::default();
    let times = [
        ("heartbeat_interval_ms", settings.heartbeat_interval_ms),
        ("config_within_ms", settings.config_within_ms),
        ("stop_within_s", settings.stop_within_s),
        ("retry_window_s", settings.retry_window_s),
        ("revoke_within_ms", settings.revoke_within_ms),
        ("quota_window_s", settings.quota_window_s),
    ];
    for (field, value) in times {
        if value == 0.0 {
            let text = "found 0, allowed is a positive time";
            findings.add(ResultCode::InvalidField, field, text);
        }
    }
    if findings.is_empty() {
        Ok(settings)
    } else {
        Err(source.failures(findings))
    }
}

impl SidecarSettings {
    /// Time between two heartbeats.
    #[must_use]
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.heartbeat_interval_ms / 1e3)
    }

    /// Time from the acknowledgement of a configuration by the store until it has to be in force.
    #[must_use]
    pub fn config_within(&self) -> Duration {
        Duration::from_secs_f64(self.config_within_ms / 1e3)
    }

    /// Age of the view of the configuration from which on requests with a credential are refused; `None` if
    /// they are accepted at any age.
    #[must_use]
    pub fn revoke_within(&self) -> Option<Duration> {
        let limit = Duration::from_secs_f64(self.revoke_within_ms / 1e3);
        self.strict_revoke.then_some(limit)
    }

    /// Time from SIGTERM until the process is killed.
    #[must_use]
    pub fn stop_within(&self) -> Duration {
        Duration::from_secs_f64(self.stop_within_s)
    }

    /// Address at which other nodes reach this node.
    #[must_use]
    pub fn advertised_addr(&self) -> SocketAddr {
        self.advertised_node_addr.unwrap_or(self.node_addr)
    }

    /// Capacity of the instance as a reader for other nodes, in hundredths of a core times Mbit/s.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float saturates at the bounds of the integer"
    )]
    pub fn capacity(&self) -> u32 {
        (self.cpu_share * 100.0 * self.link_mbps) as u32
    }

    /// Retry budget of the fleet.
    #[must_use]
    pub fn retry_budget(&self) -> RetryBudget {
        RetryBudget {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: Duration::from_secs_f64(self.retry_window_s),
        }
    }
}
