//! Tests of the fleet with a stand-in for the node binary.

mod support;

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use googletest::prelude::*;
use support::TIMEOUT;
use support::block_on;
use support::wait_for;
use testbed::fleet::Fleet;
use testbed::fleet::FleetOptions;
use testbed::fleet::Metrics;
use testbed::fleet::NodeProcess;

/// Returns the path of a script that is started instead of the node binary. The scripts are files
/// of the repository, because a newly written file cannot always be executed while other threads
/// start processes.
fn stand_in_binary(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/support")
        .join(name)
}

fn is_alive(pid: u32) -> bool {
    PathBuf::from(format!("/proc/{pid}")).exists()
}

/// Guards against node processes that outlive their test.
#[gtest]
fn drop_ends_nodes() {
    let binary = stand_in_binary("sleeping_node.sh");
    let fleet = Fleet::start(FleetOptions::new(binary, 3)).unwrap();
    let pids: Vec<u32> = fleet.nodes().iter().filter_map(NodeProcess::pid).collect();
    expect_that!(pids.len(), eq(3));
    expect_that!(pids.iter().all(|pid| is_alive(*pid)), eq(true));
    fleet.pause_node(0).unwrap();
    drop(fleet);
    expect_that!(pids.iter().any(|pid| is_alive(*pid)), eq(false));
}

/// Guards against a stop without SIGTERM, and a stopped node that cannot be started again.
#[gtest]
fn stopped_node_starts_again() {
    let binary = stand_in_binary("stopping_node.sh");
    let mut fleet = Fleet::start(FleetOptions::new(binary, 1)).unwrap();
    wait_for("start", || fleet.output_tail(0, 1) == "started");
    let status = block_on(fleet.stop_node(0, TIMEOUT)).unwrap();
    expect_that!(status.code(), some(eq(7)));
    fleet.start_node(0).unwrap();
    expect_that!(fleet.nodes()[0].pid().is_some(), eq(true));
    fleet.kill_node(0).unwrap();
    expect_that!(fleet.nodes()[0].pid(), none());
}

/// Guards against settings that nodes would refuse or that make nodes collide: shared addresses, a
/// node that is its own seed, and nodes that are not spread over the failure domains.
#[gtest]
fn settings_name_distinct_addresses() {
    let binary = stand_in_binary("sleeping_node.sh");
    let fleet = Fleet::prepare(FleetOptions::new(binary, 7)).unwrap();
    let mut addrs = Vec::new();
    let mut domains = Vec::new();
    for node in fleet.nodes() {
        let text = fs::read_to_string(&node.settings_file).unwrap();
        let settings: serde_json::Value = serde_json::from_str(&text).unwrap();
        for name in ["request_addr", "node_addr", "operator_addr", "gossip_addr"] {
            addrs.push(settings[name].as_str().unwrap().to_owned());
        }
        domains.push(settings["failure_domain"].as_str().unwrap().to_owned());
        let seeds = settings["seeds"].as_array().unwrap();
        expect_that!(seeds.len(), eq(3));
        expect_that!(seeds.contains(&settings["node_addr"]), eq(false));
    }
    addrs.sort_unstable();
    addrs.dedup();
    expect_that!(addrs.len(), eq(28));
    domains.truncate(6);
    domains.sort_unstable();
    expect_that!(
        domains,
        elements_are![
            eq("r1-1"),
            eq("r1-2"),
            eq("r1-3"),
            eq("r2-1"),
            eq("r2-2"),
            eq("r2-3")
        ]
    );
}

/// Guards against a wait without a time limit, and an error that does not name the missing nodes.
#[gtest]
fn wait_names_missing_nodes() {
    let binary = stand_in_binary("sleeping_node.sh");
    let fleet = Fleet::start(FleetOptions::new(binary, 2)).unwrap();
    let limit = Duration::from_millis(100);
    let wait = fleet.wait_for_nodes("an even index", limit, |i| async move { i % 2 == 0 });
    let error = block_on(wait).unwrap_err().to_string();
    expect_that!(
        error,
        contains_substring("an even index on 1 of 2 nodes: n2")
    );
}

/// Guards against metrics with labels that are read as zero.
#[gtest]
fn metrics_parse() {
    let text = "# TYPE a counter\na 3\nb{x=\"1 2\"} 0.5\nc_sum 1e3\n";
    let metrics = Metrics::parse(text);
    expect_that!(metrics.get("a"), approx_eq(3.0));
    expect_that!(metrics.get("b{x=\"1 2\"}"), approx_eq(0.5));
    expect_that!(metrics.get("c_sum"), approx_eq(1_000.0));
    expect_that!(metrics.get("d"), approx_eq(0.0));
}
