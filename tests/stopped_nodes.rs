//! Entries of nodes that have stopped.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::coordination::membership::stopped_nodes::STOPPED_ENTRY_TIME;
use sycamorewick::coordination::membership::stopped_nodes::StoppedNodes;
use sycamorewick::protocol::name::NodeId;

const STEP: Duration = Duration::from_secs(1);
/// Time in which one of ten nodes removes an entry although the others before it fail to.
const ALL_RANKS: Duration = Duration::from_mins(1);

fn node(index: usize) -> NodeId {
    format!("n{index}").as_str().into()
}

fn fleet() -> Vec<NodeId> {
    (0..10).map(node).collect()
}

/// Returns when each node of the fleet would remove the entry of a stopped node.
fn removal_times(stopped: &NodeId) -> Vec<Duration> {
    let fleet = fleet();
    let of_node = |own: &NodeId| {
        let mut nodes = StoppedNodes::default();
        nodes.on_stopped(Duration::ZERO, stopped);
        let mut now = Duration::ZERO;
        while nodes.due(now, own, &fleet.iter()) != Some(stopped) {
            now += STEP;
            assert!(now < STOPPED_ENTRY_TIME + ALL_RANKS, "{own} never does");
        }
        now
    };
    fleet.iter().map(of_node).collect()
}

/// Guards against an entry that is removed while late heartbeats may arrive, against all nodes that remove it at the
/// same time, and against one that always does.
#[gtest]
fn due_one_node_at_a_time() {
    let mut first = Vec::new();
    for index in 0..20 {
        let mut times = removal_times(&node(100 + index));
        let earliest = times.iter().min().copied();
        expect_that!(earliest, some(eq(STOPPED_ENTRY_TIME)));
        first.push(times.iter().position(|time| Some(*time) == earliest));
        times.sort_unstable();
        times.dedup();
        expect_that!(times.len(), eq(10));
    }
    first.sort_unstable();
    first.dedup();
    expect_that!(first.len(), gt(3));
}

/// Guards against the entry of a running node that is removed, since an earlier process of it had stopped, and against
/// an entry that is removed early since the node had stopped before as well.
#[gtest]
fn due_after_restart() {
    let fleet = fleet();
    let stopped = node(100);
    let due = |nodes: &StoppedNodes, now| {
        let mut own = fleet.iter();
        own.any(|own| nodes.due(now, own, &fleet.iter()).is_some())
    };
    let late = STOPPED_ENTRY_TIME + ALL_RANKS;
    let mut nodes = StoppedNodes::default();
    nodes.on_stopped(Duration::ZERO, &stopped);
    expect_true!(due(&nodes, late));
    nodes.forget(&stopped);
    expect_false!(due(&nodes, late));
    nodes.on_stopped(late, &stopped);
    expect_false!(due(
        &nodes,
        (late + STOPPED_ENTRY_TIME).saturating_sub(STEP)
    ));
    nodes.on_stopped(late + STEP, &stopped);
    expect_false!(due(&nodes, late + STOPPED_ENTRY_TIME));
    expect_true!(due(&nodes, late + STEP + STOPPED_ENTRY_TIME));
}
