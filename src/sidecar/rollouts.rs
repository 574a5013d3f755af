//! Evaluates the rollouts of versions, called moves, and records their steps and results. See
//! `docs/platform.md`, "Moves".

use std::rc::Rc;
use std::time::Duration;

use slog::info;
use slog::warn;

use crate::coordination::domains::evacuation::Evacuations;
use crate::coordination::placement::Placement;
use crate::coordination::store_retry::FIRST_TIMEOUT;
use crate::coordination::version_move::MoveAction;
use crate::coordination::version_move::Moves;
use crate::platform::config;
use crate::platform::store::KeyedBatch;
use crate::platform::store::KeyedRecord;
use crate::platform::store::MOVE_TOPIC;
use crate::platform::store::RESULT_TOPIC;
use crate::platform::store::StoreFailure;
use crate::protocol::codec;
use crate::protocol::fleet::MoveRecord;
use crate::protocol::fleet::MoveState;
use crate::protocol::hop::RouteTotals;
use crate::protocol::name::NodeId;
use crate::protocol::name::ServiceName;
use crate::sidecar::Sidecar;
use crate::sidecar::topic_follower;

/// Interval at which rollouts and the local backend server are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Starts the evaluation of rollouts.
pub fn start(cx: &Rc<Sidecar>) {
    let cx = cx.clone();
    actix_rt::spawn(async move {
        loop {
            actix_rt::time::sleep(CHECK_INTERVAL).await;
            check_backend(&cx);
            apply_unread_results(&cx).await;
            for action in evaluate_moves(&cx) {
                record(&cx, action).await;
            }
        }
    });
}

/// Triggers a write of the own entry if the backend server became available or unavailable.
fn check_backend(cx: &Rc<Sidecar>) {
    let available = cx
        .state
        .borrow()
        .backend
        .available(cx.clock.now())
        .is_some();
    let was_available = cx
        .state
        .borrow()
        .written
        .as_ref()
        .is_some_and(|written| written.entry.backend.is_some());
    if available != was_available && !cx.stopping.get() {
        cx.entry_changed.notify_one();
    }
}

/// Reads the results of the orders that an earlier process may have ended without recording it for the other
/// nodes. Until then their versions are not used.
async fn apply_unread_results(cx: &Rc<Sidecar>) {
    let unread = cx.state.borrow().moves.unread_results();
    if unread.is_empty() || !cx.feed.is_store_available() {
        return;
    }
    let results = read_results(cx).await;
    topic_follower::sync_history(cx);
    let results = match results {
        Ok(results) if results.era == cx.feed.era() => results,
        Ok(_) => return,
        Err(failure) => {
            cx.metrics.store_failures.increment(1);
            info!(cx.log, "rollout results not read"; "why" => format!("{failure:?}"));
            return;
        }
    };
    let now = cx.clock.now();
    for (order, offset) in unread {
        let key = config::result_key(&order.service);
        let last = results.records.iter().find(|record| record.key == key);
        let end = last.and_then(|last| config::read_final_result(&order, offset, &last.value));
        cx.state.borrow_mut().moves.on_result(now, offset, end);
        info!(cx.log, "rollout result read"; "service" => order.service.as_str(),
            "target" => order.target.as_str(), "end" => end.map(|end| format!("{end:?}")));
    }
}

fn evaluate_moves(cx: &Rc<Sidecar>) -> Vec<MoveAction> {
    let now = cx.clock.now();
    let mut state = cx.state.borrow_mut();
    let state = &mut *state;
    if !state.moves.is_active() {
        state.route_tallies = RouteTotals::default();
        state.placement.clear_route_tallies();
        return Vec::new();
    }
    let (load, tally) = (cx.slots.with(|queue| queue.load_at(now)), state.tally);
    state.placement.on_report(now, &cx.settings.id, load, tally);
    for (route, tally) in state.route_tallies.iter() {
        state
            .placement
            .on_route_tally(&cx.settings.id, route, *tally);
    }
    let rank = state
        .placement
        .entries()
        .take_while(|entry| entry.node < cx.settings.id)
        .count();
    let placement = &state.placement;
    let actions = state.moves.tick(now, rank, |service, version_filter| {
        placement.results(service, version_filter)
    });
    state.exposed = exposed(&state.moves, placement, &state.evacuations);
    actions
}

/// Returns for each service the nodes with the new version that receive its share of the traffic.
fn exposed(
    moves: &Moves,
    placement: &Placement,
    evacuations: &Evacuations,
) -> Vec<(ServiceName, Vec<NodeId>)> {
    let is_evacuated = |node: &NodeId| {
        let entry = placement.entry(node);
        entry.is_some_and(|entry| evacuations.contains(&entry.domain))
    };
    let plans = moves.plans().into_iter();
    plans
        .map(|(service, plan)| {
            let mut results = placement.results(&service, |version| *version == plan.target);
            results.nodes.retain(|node| !is_evacuated(node));
            let mut nodes = results.nodes.clone();
            nodes.retain(|node| Moves::is_exposed(plan.share, &results.nodes, node));
            (service, nodes)
        })
        .collect()
}

/// Records a step or the end of a rollout: first the result for the operator, then the progress for the
/// other nodes.
async fn record(cx: &Rc<Sidecar>, action: MoveAction) {
    let service = action.order.service.clone();
    info!(cx.log, "rollout step decided"; "service" => service.as_str(), "target" => action.order.target.as_str(),
        "state" => format!("{:?}", action.state), "elapsed_ms" => action.elapsed_ms, "why" => &action.why);
    let written = match write_result(cx, &action).await {
        Ok(state) => write_progress(cx, &action, state).await,
        Err(failure) => Err(failure),
    };
    topic_follower::sync_history(cx);
    if let Err(failure) = written {
        cx.metrics.store_failures.increment(1);
        warn!(cx.log, "rollout step not recorded"; "service" => service.as_str(), "why" => format!("{failure:?}"));
    }
}

/// Writes the result that operators read, unless the rollout has ended already. Returns the state that
/// is in force.
async fn write_result(cx: &Rc<Sidecar>, action: &MoveAction) -> Result<MoveState, StoreFailure> {
    let key = config::result_key(&action.order.service);
    let results = read_results(cx).await?;
    if results.era != action.era {
        return Err(StoreFailure::Outdated);
    }
    let last = results.records.iter().find(|record| record.key == key);
    if let Some(end) =
        last.and_then(|last| config::read_final_result(&action.order, action.offset, &last.value))
    {
        return Ok(end);
    }
    let is_running = matches!(action.state, MoveState::Step(_));
    let is_own =
        |last: &KeyedRecord| config::is_result_of(&action.order, action.offset, &last.value);
    if is_running && last.is_some_and(is_own) {
        return Ok(action.state);
    }
    let value = config::write_result(&action.order, action.offset, action.state);
    cx.store
        .put(RESULT_TOPIC, &key, &value, Some(results.topic_end()))
        .await?;
    info!(cx.log, "rollout result written"; "service" => action.order.service.as_str(), "state" => format!("{:?}", action.state));
    Ok(action.state)
}

async fn read_results(cx: &Sidecar) -> Result<KeyedBatch, StoreFailure> {
    match cx.store.newest(RESULT_TOPIC, FIRST_TIMEOUT).await {
        // The topic does not exist before its first record.
        Err(StoreFailure::Refused(404)) => Ok(KeyedBatch {
            era: cx.store.era(),
            ..KeyedBatch::default()
        }),
        other => other,
    }
}

async fn write_progress(
    cx: &Rc<Sidecar>,
    action: &MoveAction,
    state: MoveState,
) -> Result<(), StoreFailure> {
    let service = &action.order.service;
    let progress = MoveRecord {
        order: action.offset,
        state,
        elapsed_ms: action.elapsed_ms,
        author: cx.settings.id.clone(),
        era: action.era,
    };
    let value =
        codec::encode(&progress).map_err(|failure| StoreFailure::Unreadable(failure.text))?;
    cx.store
        .put(MOVE_TOPIC, service.as_str(), &value, None)
        .await?;
    let now = cx.clock.now();
    cx.state
        .borrow_mut()
        .moves
        .on_record(now, service, progress);
    Ok(())
}
