//! Messages between nodes with the requests of workspaces that have a quota. See `docs/design/quotas.md`.
//!
//! Later builds add fields at the end of the messages and of [`WorkspaceCount`] and [`WorkspaceTotal`], with
//! defaults, so that messages of other builds stay readable.

use serde::Deserialize;
use serde::Serialize;

use crate::protocol::name::DomainName;
use crate::protocol::name::NodeId;
use crate::protocol::name::WorkspaceName;

/// Request to a node that collects the counts of its failure domain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum UsageRequest {
    /// Counts of a node of the same failure domain; answered with [`UsageTotals`].
    Report(UsageReport),
    /// Sums of another failure domain; answered with the sums of this one.
    Exchange(DomainUsage),
}

/// Counts of a node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageReport {
    /// Node that counted.
    pub node: NodeId,
    /// Its process; the counts begin with it.
    pub run: u64,
    /// Process of the collector that acknowledged the last report, or 0.
    pub acknowledged_by: u64,
    /// Number of the last totals that the node has from that collector.
    pub since: u64,
    /// Workspaces whose counts have changed since the last acknowledged report.
    pub counts: Vec<WorkspaceCount>,
}

/// Requests of a workspace at a node.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkspaceCount {
    /// Workspace.
    #[serde(rename = "t")]
    pub workspace: WorkspaceName,
    /// Admitted requests as last acknowledged by a collector.
    #[serde(rename = "k")]
    pub acknowledged: i64,
    /// Admitted requests since the start of the process.
    #[serde(rename = "a")]
    pub admitted: i64,
    /// Requests within the last [`DEMAND_WINDOW`](crate::coordination::workspaces::usage::DEMAND_WINDOW),
    /// refused ones included.
    #[serde(rename = "d")]
    pub demand: u32,
    /// Level of the fleet's bucket, if it is known from another collector.
    #[serde(default, rename = "l")]
    pub level: Option<f32>,
}

/// Totals of the fleet, as a collector knows them.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UsageTotals {
    /// Process of the collector.
    pub run: u64,
    /// Number of these totals.
    pub sequence: u64,
    /// Share of the fleet's nodes whose counts the totals contain.
    pub covered: f32,
    /// Workspaces whose totals have changed since the totals that the node has.
    pub totals: Vec<WorkspaceTotal>,
}

/// Total of a workspace.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkspaceTotal {
    /// Workspace.
    #[serde(rename = "t")]
    pub workspace: WorkspaceName,
    /// Level of the fleet's bucket.
    #[serde(rename = "l")]
    pub level: f32,
    /// Requests of the fleet within the window of the demand.
    #[serde(rename = "d")]
    pub demand: u32,
}

/// Sums of a failure domain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainUsage {
    /// Failure domain.
    pub domain: DomainName,
    /// Id of the time since which the sender has collected; the sums begin with it.
    pub term: u64,
    /// Time since the start of the process, milliseconds. Shows a pause of either process.
    pub clock_ms: u64,
    /// Number of these sums.
    pub sequence: u64,
    /// Nodes that stopped reporting a short time ago and may still admit requests.
    pub lost_nodes: usize,
    /// Id of the receiver's time whose sums the sender has, or 0.
    pub known_term: u64,
    /// Number of those sums.
    pub known_sequence: u64,
    /// Workspaces whose sums have changed since those that the receiver has.
    pub sums: Vec<WorkspaceSum>,
}

/// Sum of a workspace in a failure domain.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct WorkspaceSum {
    /// Workspace.
    #[serde(rename = "t")]
    pub workspace: WorkspaceName,
    /// Admitted requests since the start of the collector.
    #[serde(rename = "a")]
    pub admitted: i64,
    /// Requests within the window of the demand.
    #[serde(rename = "d")]
    pub demand: u32,
    /// Level of the fleet's bucket as the sender knows it.
    #[serde(rename = "l")]
    pub level: f32,
}
