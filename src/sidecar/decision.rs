//! Decisions on a call at its entry node: route, service, version and node. Calls and their explanations share them.
//! See `docs/platform.md`, "Request path".

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::Xoshiro256PlusPlus;

use crate::coordination::attempts::CallLimits;
use crate::coordination::attempts::ChosenNode;
use crate::coordination::caller_age::CallerAges;
use crate::coordination::domains::evacuation::Evacuations;
use crate::coordination::domains::homes;
use crate::coordination::domains::homes::AllowedRegions;
use crate::coordination::placement::Pick;
use crate::coordination::placement::PickRequest;
use crate::coordination::placement::Placement;
use crate::coordination::stop_plan::StopPlan;
use crate::coordination::version_move::Moves;
use crate::coordination::workspaces::credentials::CallWorkspace;
use crate::protocol::mesh::MeshRoute;
use crate::protocol::name::NodeId;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;
use crate::result_code::ResultCode;
use crate::sidecar::workspaces;
use crate::state::routing_table;
use crate::state::routing_table::RoutingTable;

/// State that the decisions on a call read, and the part that they change. An explanation has copies of that part.
pub struct Decision<'a> {
    pub rng: &'a mut Xoshiro256PlusPlus,
    pub placement: &'a mut Placement,
    pub caller_ages: &'a mut CallerAges,
    pub table: Option<&'a Rc<RoutingTable>>,
    pub moves: &'a Moves,
    /// Nodes that receive the traffic share of a new version, sorted by service.
    pub exposed: &'a [(ServiceName, Vec<NodeId>)],
    pub evacuations: &'a Evacuations,
}

/// What the choice of a node needs to know of a call.
pub struct RoutedCall<'a> {
    /// Route in the configuration that was in force when the call arrived.
    pub route: &'a Rc<MeshRoute>,
    pub service: &'a ServiceName,
    pub request_bytes: usize,
}

/// Returns the route of a request.
///
/// # Errors
/// The reason why there is none.
pub fn find_route<'a>(
    table: Option<&'a Rc<RoutingTable>>,
    host: &str,
    path: &str,
) -> Result<&'a Rc<MeshRoute>, ResultCode> {
    let table = table.ok_or(ResultCode::NotReady)?;
    table.find(host, path).ok_or(ResultCode::NoRoute)
}

/// Returns the time limit of a call, at most `limit`; it is shorter while the node stops.
///
/// # Errors
/// [`ResultCode::Draining`] if the node accepts no calls any more.
pub fn time_limit(
    stop_plan: Option<&StopPlan>,
    now: Duration,
    limit: Duration,
) -> Result<Duration, ResultCode> {
    let Some(plan) = stop_plan else {
        return Ok(limit);
    };
    plan.call_time_limit(now, limit).ok_or(ResultCode::Draining)
}

/// Returns the limits on the attempts of a call.
pub fn limits(
    route: &MeshRoute,
    arrived: Duration,
    deadline: Duration,
    is_overdue: bool,
) -> CallLimits {
    CallLimits {
        arrived,
        deadline,
        objective: route.objective,
        idempotent: route.idempotent,
        attempts: route.max_attempts,
        is_overdue,
    }
}

/// Returns the regions that may serve a call: those of the configuration that it was routed with, and of the one
/// in force. The latter counts for each attempt, so that a change binds calls in flight as well.
pub fn regions(
    table: Option<&Rc<RoutingTable>>,
    route: &Rc<MeshRoute>,
    workspace: &CallWorkspace,
) -> AllowedRegions {
    let workspace_homes = workspaces::homes(table, workspace.name.as_ref());
    let routed = homes::allowed_regions(&route.homes, workspace_homes);
    let current = table.and_then(|table| table.route(&route.name));
    match current {
        Some(current) if !Rc::ptr_eq(current, route) => routed.restricted_to(&current.homes),
        _ => routed,
    }
}

/// Returns what the attempts of a call need to know of its chosen node.
pub fn chosen(pick: &Pick) -> ChosenNode {
    ChosenNode {
        time_ms: pick.time_ms,
        is_unreachable: pick.is_unreachable,
        has_free_slot: pick.has_free_slot,
        is_predictable: pick.is_predictable,
    }
}

/// Whether the backend server of a node may be used, given its version.
type Permits<'a> = &'a dyn Fn(&NodeId, &VersionName) -> bool;

/// Chooses a node, usually by [`Placement::pick`].
pub type PickNode<'a> =
    &'a mut dyn FnMut(&mut Placement, &mut Xoshiro256PlusPlus, &PickRequest<'_>) -> Option<Pick>;

impl Decision<'_> {
    /// Chooses the service of a call, and tells whether its caller has spent the objective before this try.
    pub fn choose_service(
        &mut self,
        route: &MeshRoute,
        time_left: Option<Duration>,
    ) -> (ServiceName, bool) {
        let ages = &mut *self.caller_ages;
        let is_overdue =
            time_left.is_some_and(|left| ages.is_overdue(&route.name, left, route.objective));
        let point = self.rng.random_range(0.0..1.0);
        (
            routing_table::choose_service(route, point).clone(),
            is_overdue,
        )
    }

    /// Selects the version by the traffic share of the service's rollout, if one runs, then the node.
    pub fn choose(
        &mut self,
        now: Duration,
        call: &RoutedCall<'_>,
        workspace: &CallWorkspace,
        tried: &[NodeId],
    ) -> Option<Pick> {
        self.choose_with(call, workspace, tried, &mut |placement, rng, request| {
            placement.pick(now, rng, request)
        })
    }

    /// Like [`Self::choose`], with a function that chooses the node.
    pub fn choose_with(
        &mut self,
        call: &RoutedCall<'_>,
        workspace: &CallWorkspace,
        tried: &[NodeId],
        pick_node: PickNode<'_>,
    ) -> Option<Pick> {
        let service = call.service;
        let regions = regions(self.table, call.route, workspace);
        let Some(plan) = self.moves.plan(service) else {
            let permits = |_: &NodeId, _: &_| true;
            let request = pick_request(call, tried, &regions, self.evacuations, &permits);
            return pick_node(self.placement, self.rng, &request);
        };
        let exposed = self.exposed.binary_search_by(|(name, _)| name.cmp(service));
        let exposed = exposed.map_or(&[][..], |index| &self.exposed[index].1);
        let wants_target = self.rng.random_range(0.0..1.0) < plan.share;
        let target = &plan.target;
        let is_exposed = |node: &NodeId| plan.share >= 1.0 || exposed.binary_search(node).is_ok();
        let new = |node: &NodeId, version: &_| version == target && is_exposed(node);
        let moves = self.moves;
        let is_old = |version: &_| version != target && !moves.is_banned(service, version);
        let old = |_: &NodeId, version: &_| is_old(version);
        let any_new = |_: &NodeId, version: &_| version == target;
        let has_old = self.placement.has_backend_server(service, &regions, is_old);
        let preferences: [Option<Permits<'_>>; 2] = if wants_target {
            [Some(&new), Some(&old)]
        } else {
            // The new version gets traffic beyond its share only if no node runs the old version.
            let is_only_one = !plan.banned && !plan.awaits_result && !has_old;
            [Some(&old), is_only_one.then_some(&any_new as Permits<'_>)]
        };
        preferences.into_iter().flatten().find_map(|permits| {
            let request = pick_request(call, tried, &regions, self.evacuations, permits);
            pick_node(self.placement, self.rng, &request)
        })
    }
}

fn pick_request<'a>(
    call: &'a RoutedCall<'_>,
    tried: &'a [NodeId],
    regions: &'a AllowedRegions,
    evacuations: &'a Evacuations,
    permits: Permits<'a>,
) -> PickRequest<'a> {
    PickRequest {
        service: call.service,
        route: &call.route.name,
        objective: call.route.objective,
        idempotent: call.route.idempotent,
        request_bytes: call.request_bytes,
        tried,
        is_allowed: permits,
        regions,
        evacuations,
    }
}
