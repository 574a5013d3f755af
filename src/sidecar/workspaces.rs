//! Workspaces of calls: credentials at the entry node, weights at the serving node. See
//! `docs/design/workspaces.md`.

use std::rc::Rc;

use crate::coordination::workspaces::credentials::CallWorkspace;
use crate::coordination::workspaces::credentials::ViewLimits;
use crate::coordination::workspaces::fair_share::DEFAULT_WEIGHT;
use crate::coordination::workspaces::fair_share::WorkspaceShare;
use crate::platform::requests;
use crate::protocol::mesh::KeyHash;
use crate::protocol::mesh::MeshRoute;
use crate::protocol::name::RegionName;
use crate::protocol::name::WorkspaceName;
use crate::result_code::ResultCode;
use crate::sidecar::Sidecar;
use crate::state::routing_table::RoutingTable;

/// Returns the workspace of a call by its credential and the configuration in force. The route is looked up
/// again by its name, since it may have become public, or no longer be, since the call arrived.
///
/// # Errors
/// The reason why the call is refused.
pub fn authorize(
    cx: &Sidecar,
    route: &MeshRoute,
    credential: Option<KeyHash>,
) -> Result<CallWorkspace, ResultCode> {
    let table = cx.table().ok_or(ResultCode::NotReady)?;
    let current = table.route(&route.name).map(|route| route.is_public);
    let is_public = current.unwrap_or(route.is_public);
    let view_age = cx.feed.view_age(cx.clock.now());
    let limits = ViewLimits {
        config_within: cx.settings.config_within(),
        revoke_within: cx.settings.revoke_within(),
    };
    let credentials = table.credentials();
    let workspace =
        credentials.workspace(credentials.judge(is_public, credential, view_age, &limits))?;
    check_name(workspace.name.as_ref())?;
    Ok(workspace)
}

/// Checks that backend servers can be told the workspace of a call.
///
/// # Errors
/// [`ResultCode::NameNotSendable`] if they cannot: they would take the call for one of another workspace, or of none.
pub fn check_name(workspace: Option<&WorkspaceName>) -> Result<(), ResultCode> {
    match workspace {
        Some(name) if requests::workspace_header(name).is_none() => {
            Err(ResultCode::NameNotSendable)
        }
        _ => Ok(()),
    }
}

/// Returns the home regions of a workspace in a configuration; empty if all regions may serve it.
pub fn homes<'a>(
    table: Option<&'a Rc<RoutingTable>>,
    name: Option<&WorkspaceName>,
) -> &'a [RegionName] {
    let workspace = table
        .zip(name)
        .and_then(|(table, name)| table.workspace(name));
    workspace.map_or(&[], |workspace| &workspace.homes)
}

/// Returns the share of a workspace at this node, by its own configuration.
pub fn share(cx: &Sidecar, workspace: Option<&WorkspaceName>) -> Option<WorkspaceShare> {
    let name = workspace?.clone();
    let table = cx.table();
    let known = table.as_ref().and_then(|table| table.workspace(&name));
    let quota = known.and_then(|workspace| workspace.quota);
    let weight = quota.map_or(DEFAULT_WEIGHT, |quota| quota.rate.per_s());
    Some(WorkspaceShare { name, weight })
}
