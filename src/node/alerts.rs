//! Turns counted failures of this node into outcomes, so that none of them stays silent. See
//! `docs/operators.md`.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use crate::invariant;
use crate::logging;
use crate::node::Node;
use crate::node::every;
use crate::result_code::ResultCode;

/// Period of the check.
const CHECK_PERIOD: Duration = Duration::from_secs(1);
/// Shortest time between two outcomes of one kind. If a fault is on all 1,300 nodes, the log gets
/// about two records per second of it.
const REPORT_INTERVAL: Duration = Duration::from_mins(10);
/// Time without an answer of the log after which it is reported; longer than the restart of its
/// servers, during which nothing is lost.
const LOG_PATIENCE: Duration = Duration::from_secs(10);
/// Time after the start within which a node is ready unless something is wrong.
const READY_PATIENCE: Duration = Duration::from_secs(30);
/// Rejected messages of other nodes that are reported. A few happen without a fault, for example
/// when a node is continued after a pause and its peers' messages are too old.
const MIN_REJECTED: u64 = 20;

/// A counter whose rise is reported.
struct Watched {
    kind: &'static str,
    code: ResultCode,
    /// Smallest rise that is reported.
    least: u64,
    /// Ends the sentence that begins with the number.
    what: &'static str,
    read: fn(&Node) -> u64,
    reported: u64,
    last_report: Option<Duration>,
}

fn watched(
    kind: &'static str,
    code: ResultCode,
    least: u64,
    what: &'static str,
    read: fn(&Node) -> u64,
) -> Watched {
    Watched {
        kind,
        code,
        least,
        what,
        read,
        reported: 0,
        last_report: None,
    }
}

fn all_watched() -> Vec<Watched> {
    vec![
        watched(
            "invariant",
            ResultCode::InvariantViolated,
            1,
            "violations of invariants; keep the node's log lines and report the fault",
            |_| invariant::violations(),
        ),
        watched(
            "log-lines",
            ResultCode::LogLinesDropped,
            1,
            "log lines were dropped, since their output was too slow",
            |_| logging::dropped_lines(),
        ),
        watched(
            "outcomes",
            ResultCode::OutcomesDropped,
            1,
            "outcomes were dropped, since the log did not take them for too long",
            |node| node.state.borrow().outcomes.dropped(),
        ),
        watched(
            "operator-token",
            ResultCode::TokenRefused,
            1,
            "requests to the operator port had no token or a wrong one",
            |node| node.operator_auth_failures.get(),
        ),
        watched(
            "node-auth",
            ResultCode::AuthFailed,
            MIN_REJECTED,
            "messages of other nodes were rejected; compare the cluster keys and the clocks",
            |node| node.metrics.gossip_rejected.get(),
        ),
    ]
}

/// Starts the check.
pub fn start(node: &Rc<Node>) {
    let counters = RefCell::new(all_watched());
    let log_outage = RefCell::new(None);
    every(node, CHECK_PERIOD, move |node| {
        for counter in counters.borrow_mut().iter_mut() {
            check_counter(node, counter);
        }
        check_log(node, &mut log_outage.borrow_mut());
        check_ready(node);
    });
}

fn check_counter(node: &Node, counter: &mut Watched) {
    let now = node.clock.now();
    let recent = |at: Duration| now.saturating_sub(at) < REPORT_INTERVAL;
    let value = (counter.read)(node);
    let rise = value.saturating_sub(counter.reported);
    if rise < counter.least || counter.last_report.is_some_and(recent) {
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
        format!("{rise} {}", counter.what),
    );
}

/// `outage` holds the length of the reported outage so far.
fn check_log(node: &Node, outage: &mut Option<Duration>) {
    let id = &node.settings.id;
    let wall = node.clock.wall();
    match (node.log_client.failing_for(), *outage) {
        (Some(length), None) if length >= LOG_PATIENCE => {
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
                ResultCode::LogAnswers,
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
    let (waits, started) = {
        let mut state = node.state.borrow_mut();
        if state.ready || now < READY_PATIENCE {
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
            "the node is not ready {} s after its start and takes no calls: {waits}",
            READY_PATIENCE.as_secs()
        ),
    );
}
