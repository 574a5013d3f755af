//! Tenants of calls: credentials at the entry node, weights at the serving node. See
//! `docs/design/tenants.md`.

use std::rc::Rc;

use crate::coordination::tenants::credentials::CallTenant;
use crate::coordination::tenants::credentials::ViewLimits;
use crate::coordination::tenants::fair_share::DEFAULT_WEIGHT;
use crate::coordination::tenants::fair_share::TenantShare;
use crate::protocol::mesh::KeyHash;
use crate::protocol::mesh::MeshRoute;
use crate::protocol::name::RegionName;
use crate::protocol::name::TenantName;
use crate::result_code::ResultCode;
use crate::sidecar::Sidecar;
use crate::state::routing_table::RoutingTable;

/// Returns the tenant of a call by its credential and the configuration in force. The route is looked up
/// again by its name, since it may have become public, or no longer be, since the call arrived.
///
/// # Errors
/// The reason why the call is refused.
pub fn authorize(
    cx: &Sidecar,
    route: &MeshRoute,
    credential: Option<KeyHash>,
) -> Result<CallTenant, ResultCode> {
    let table = cx.table().ok_or(ResultCode::NotReady)?;
    let current = table.route(&route.name).map(|route| route.is_public);
    let is_public = current.unwrap_or(route.is_public);
    let view_age = cx.feed.view_age(cx.clock.now());
    let limits = ViewLimits {
        config_within: cx.settings.config_within(),
        revoke_within: cx.settings.revoke_within(),
    };
    let credentials = table.credentials();
    credentials.tenant(credentials.judge(is_public, credential, view_age, &limits))
}

/// Returns the home regions of a tenant in a configuration; empty if all regions may serve it.
pub fn homes<'a>(
    table: Option<&'a Rc<RoutingTable>>,
    name: Option<&TenantName>,
) -> &'a [RegionName] {
    let tenant = table.zip(name).and_then(|(table, name)| table.tenant(name));
    tenant.map_or(&[], |tenant| &tenant.homes)
}

/// Returns the share of a tenant at this node, by its own configuration.
pub fn share(cx: &Sidecar, tenant: Option<&TenantName>) -> Option<TenantShare> {
    let name = tenant?.clone();
    let table = cx.table();
    let known = table.as_ref().and_then(|table| table.tenant(&name));
    let quota = known.and_then(|tenant| tenant.quota);
    let weight = quota.map_or(DEFAULT_WEIGHT, |quota| quota.rate.per_s());
    Some(TenantShare { name, weight })
}
