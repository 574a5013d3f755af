//! Status report: the state of a node, and of the fleet as this node sees it.

use serde_json::Value;
use serde_json::json;

use crate::invariant;
use crate::node::Node;
use crate::node::NodeState;
use crate::protocol::document::Service;
use crate::protocol::gossip::RolloutKey;
use crate::protocol::record::OutcomeRecord;
use crate::protocol::time::WallMs;
use crate::result_code::ResultCode;

/// Maximum number of recent outcomes in the status report.
const MAX_SHOWN_OUTCOMES: usize = 10;

/// Returns the status report for the `status` command and the console.
pub fn status(node: &Node) -> Value {
    let state = node.state.borrow();
    let wall = node.clock.wall();
    let members: Vec<_> = state
        .gossip
        .members()
        .iter()
        .map(|m| {
            json!({
                "id": m.id,
                "status": format!("{:?}", m.status).to_lowercase(),
                "region": m.region,
                "failure_domain": m.domain,
                "backend": m.backend,
            })
        })
        .collect();
    let alive = state.gossip.members_in_service();
    let current = state.store.current();
    let services: Vec<_> = current
        .iter()
        .flat_map(|snapshot| &snapshot.versioned().document.services)
        .map(|service| service_status(&state, service, wall))
        .collect();
    let mut outcomes: Vec<&OutcomeRecord> = state.outcomes.iter().collect();
    outcomes.sort_by_key(|outcome| outcome.at);
    let recent = &outcomes[outcomes.len().saturating_sub(MAX_SHOWN_OUTCOMES)..];
    json!({
        "id": node.settings.id,
        "at": wall,
        "version": state.store.version(),
        "digest": current.map(|s| format!("{:016x}", s.digest())),
        "ready": state.ready,
        "alive": alive,
        "reader": state.gossip.is_reader(),
        "log_failing_s": node.log_client.failing_for().map(|time| time.as_secs()),
        "invariant_violations": invariant::violations(),
        "outcomes_waiting_for_the_log": state.outcomes.pending(),
        "outcomes_dropped": state.outcomes.dropped(),
        "services": services,
        "rollbacks": state.rollouts.rollbacks(),
        "recent_outcomes": recent,
        "members": members,
    })
}

fn service_status(state: &NodeState, service: &Service, wall: WallMs) -> Value {
    let shares = state.rollouts.shares(service.name.as_str(), wall);
    let shares: Vec<_> = service
        .versions
        .iter()
        .map(|v| json!({ "version": v.name, "share": shares.map(|s| s.of(v.name.as_str())) }))
        .collect();
    let rollout = service.rollout.as_ref().map(|rollout| {
        let is_of_rollout = |key: &RolloutKey| key.service == service.name && key.to == rollout.to;
        let progress = state.rollouts.progress().into_iter();
        let progress = progress.filter(|p| is_of_rollout(&p.key)).last();
        let rolled_back = state
            .rollouts
            .rollbacks()
            .iter()
            .any(|r| is_of_rollout(&r.key));
        let step = progress.as_ref().map(|p| p.step);
        let is_last_step = step.is_some_and(|step| usize::from(step) + 1 >= rollout.steps.len());
        let phase = match (rolled_back, step) {
            (true, _) => "taken back",
            (_, None) if wall < rollout.start_ms => "scheduled",
            (_, None) => "waiting",
            _ if is_last_step => "complete",
            _ => "running",
        };
        json!({
            "from": rollout.from,
            "to": rollout.to,
            "start_ms": rollout.start_ms,
            "finish_by_ms": rollout.finish_by_ms,
            "steps": rollout.steps,
            "step": step,
            "phase": phase,
            "stalled": stall_reason(state, service.name.as_str(), rollout.to.as_str()),
        })
    });
    json!({ "service": service.name, "shares": shares, "rollout": rollout })
}

/// Returns the reason why a rollout is stalled, if its newest outcome says that it is.
fn stall_reason(state: &NodeState, service: &str, to: &str) -> Option<String> {
    let subject = format!("{service} {to}");
    let subject_outcomes = state.outcomes.iter().filter(|o| o.subject == subject);
    let newest = subject_outcomes.max_by_key(|outcome| outcome.at)?;
    (newest.code == ResultCode::RolloutStalled.number()).then(|| newest.text.clone())
}
