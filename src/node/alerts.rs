//! Reports failures of this node and of rollouts as outcomes, so that operators see them. See
//! `docs/operators.md`.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::coordination::rollout::STALL_TIME;
use crate::invariant;
use crate::logging;
use crate::node::Node;
use crate::node::NodeState;
use crate::node::run_periodically;
use crate::protocol::document::Rollout;
use crate::protocol::gossip::MemberStatus;
use crate::protocol::gossip::RolloutKey;
use crate::protocol::name::ConfigVersion;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;
use crate::protocol::time::WallMs;
use crate::protocol::time::millis;
use crate::result_code::ResultCode;

/// Period of the checks.
const CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Minimum time between two outcomes of the same kind. If a fault occurs on all 1,300 nodes, about
/// two records per second are appended to the log.
const REPORT_INTERVAL: Duration = Duration::from_mins(10);
/// Length of a log outage after which it is reported; longer than a restart of the log servers,
/// during which no data is lost.
const LOG_OUTAGE_THRESHOLD: Duration = Duration::from_secs(10);
/// Time after its start within which a healthy node becomes ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Minimum number of rejected messages from other nodes that is reported. A few are rejected
/// without a fault, for example when a node resumes after a pause and the messages that waited are
/// too old.
const MIN_REJECTED_MESSAGES: u64 = 20;

/// A counter whose increases are reported.
struct WatchedCounter {
    kind: &'static str,
    code: ResultCode,
    /// Minimum increase that is reported.
    min_increase: u64,
    /// Text of the outcome after the number.
    text: &'static str,
    read: fn(&Node) -> u64,
    reported: u64,
    last_report: Option<Duration>,
}

fn watched_counter(
    kind: &'static str,
    code: ResultCode,
    min_increase: u64,
    text: &'static str,
    read: fn(&Node) -> u64,
) -> WatchedCounter {
    WatchedCounter {
        kind,
        code,
        min_increase,
        text,
        read,
        reported: 0,
        last_report: None,
    }
}

fn watched_counters() -> Vec<WatchedCounter> {
    vec![
        watched_counter(
            "invariant",
            ResultCode::InvariantViolated,
            1,
            "violations of invariants; keep the node's log lines and report the fault",
            |_| invariant::violations(),
        ),
        watched_counter(
            "log-lines",
            ResultCode::LogLinesDropped,
            1,
            "log lines were dropped, since their output was too slow",
            |_| logging::dropped_lines(),
        ),
        watched_counter(
            "outcomes",
            ResultCode::OutcomesDropped,
            1,
            "outcomes were dropped, since the log did not take them for too long",
            |node| node.state.borrow().outcomes.dropped(),
        ),
        watched_counter(
            "operator-token",
            ResultCode::TokenRefused,
            1,
            "requests to the operator port had no token or a wrong one",
            |node| node.operator_auth_failures.get(),
        ),
        watched_counter(
            "node-auth",
            ResultCode::AuthFailed,
            MIN_REJECTED_MESSAGES,
            "messages of other nodes were rejected; compare the cluster keys and the clocks",
            |node| node.metrics.gossip_rejected.get(),
        ),
    ]
}

/// Starts the periodic checks.
pub fn start(node: &Rc<Node>) {
    let counters = RefCell::new(watched_counters());
    let log_outage = RefCell::new(None);
    run_periodically(node, CHECK_PERIOD, move |node| {
        for counter in counters.borrow_mut().iter_mut() {
            check_counter(node, counter);
        }
        check_log(node, &mut log_outage.borrow_mut());
        check_ready(node);
        check_unserved_rollouts(node);
    });
}

fn check_counter(node: &Node, counter: &mut WatchedCounter) {
    let now = node.clock.now();
    let is_recent = |at: Duration| now.saturating_sub(at) < REPORT_INTERVAL;
    let value = (counter.read)(node);
    let increase = value.saturating_sub(counter.reported);
    if increase < counter.min_increase || counter.last_report.is_some_and(is_recent) {
        return;
    }
    counter.reported = value;
    counter.last_report = Some(now);
    let id = &node.settings.id;
    let started = node.state.borrow().gossip.me().started_at;
    node.report(
        counter.code,
        format!("{}/{id}/{started}/{value}", counter.kind),
        format!("node {id}"),
        format!("{increase} {}", counter.text),
    );
}

/// Reports the start and the end of a log outage. `outage` is the length of the reported outage so
/// far.
fn check_log(node: &Node, outage: &mut Option<Duration>) {
    let id = &node.settings.id;
    let wall = node.clock.wall();
    match (node.log_client.failing_for(), *outage) {
        (Some(length), None) if length >= LOG_OUTAGE_THRESHOLD => {
            *outage = Some(length);
            node.report(
                ResultCode::LogUnavailable,
                format!("log-outage/{id}/{wall}"),
                format!("node {id}"),
                format!(
                    "the log has not answered this node for {} s; what is in force stays in force, \
                     publications are not possible through this node",
                    length.as_secs()
                ),
            );
        }
        (Some(length), Some(_)) => *outage = Some(length),
        (None, Some(length)) => {
            *outage = None;
            node.report(
                ResultCode::LogRecovered,
                format!("log-answers/{id}/{wall}"),
                format!("node {id}"),
                format!(
                    "the log answers this node again after {} s",
                    length.as_secs()
                ),
            );
        }
        _ => {}
    }
}

fn check_ready(node: &Node) {
    let now = node.clock.now();
    let (reason, started) = {
        let mut state = node.state.borrow_mut();
        if state.ready || now < READY_TIMEOUT {
            return;
        }
        let started = state.gossip.me().started_at;
        (state.readiness.state(now).to_string(), started)
    };
    let id = &node.settings.id;
    node.report(
        ResultCode::NotReady,
        format!("not-ready/{id}/{started}"),
        format!("node {id}"),
        format!(
            "the node is not ready {} s after its start and takes no calls: {reason}",
            READY_TIMEOUT.as_secs()
        ),
    );
}

/// Reports rollouts for which no backend server of either version is up. Otherwise nobody would
/// report them as stalled, since that is done by the nodes beside those backend servers. Only one
/// node of the fleet reports them; if two do so because their member lists differ, the outcomes are
/// merged.
fn check_unserved_rollouts(node: &Node) {
    let wall = node.clock.wall();
    let unserved = {
        let state = node.state.borrow();
        let members = state.gossip.members();
        let alive = members.iter().filter(|m| m.status == MemberStatus::Alive);
        let first = alive.map(|m| &m.id).min();
        if node.clock.now() < STALL_TIME || first != Some(&node.settings.id) {
            return;
        }
        unserved_rollouts(&state, wall)
    };
    for (service, since, rollout) in unserved {
        let (from, to) = (&rollout.from, &rollout.to);
        let bucket = wall.0 / millis(REPORT_INTERVAL);
        node.report(
            ResultCode::RolloutStalled,
            format!("rollout/{service}/{to}/{since}/unserved-{bucket}"),
            format!("{service} {to}"),
            format!("waits for a backend server of {from} or {to} that is up; there is none"),
        );
    }
}

fn unserved_rollouts(
    state: &NodeState,
    wall: WallMs,
) -> Vec<(ServiceName, ConfigVersion, Rollout)> {
    let Some(snapshot) = state.store.current() else {
        return Vec::new();
    };
    let (progress, rollbacks) = (state.rollouts.progress(), state.rollouts.rollbacks());
    let is_up = |service: &ServiceName, version: &VersionName| {
        let backends = state.gossip.members().iter().filter_map(|m| {
            let present = m.status < MemberStatus::Leaving;
            m.backend.as_ref().filter(|b| present && b.up)
        });
        backends
            .into_iter()
            .any(|b| b.service == *service && b.version == *version)
    };
    let services = snapshot.versioned().document.services.iter();
    services
        .filter_map(|service| {
            let rollout = service.rollout.as_ref()?;
            let name = &service.name;
            let since = snapshot.since(name.as_str());
            let is_same_rollout = |key: &RolloutKey| key.service == *name && key.since == since;
            let last_step = rollout.steps.len().saturating_sub(1);
            let ended = progress
                .iter()
                .any(|p| is_same_rollout(&p.key) && usize::from(p.step) >= last_step)
                || rollbacks.iter().any(|r| is_same_rollout(&r.key));
            let due = wall >= rollout.start_ms.plus(STALL_TIME);
            // Last condition, since it searches all members: few rollouts are still active here.
            let is_unserved =
                due && !ended && !is_up(name, &rollout.from) && !is_up(name, &rollout.to);
            is_unserved.then(|| (name.clone(), since, rollout.clone()))
        })
        .collect()
}
