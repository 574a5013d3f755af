//! Shares of the file descriptors of an instance.

use googletest::prelude::*;
use sycamorewick::sidecar::file_shares::FileShares;

/// Connections that are kept idle for each node.
const IDLE_CONNECTIONS: usize = 32;
/// Nodes of a service that an entry node calls.
const CALLED_NODES: usize = 8;

/// Guards against limits that each hold while their sum exceeds the descriptors of the instance.
#[gtest]
fn new_sum_within_max_open_files() {
    for max_open_files in 200..=10_000 {
        let shares = FileShares::new(max_open_files);
        let max_open_files = usize::try_from(max_open_files).expect("a small number");
        expect_that!(shares.total(), lt(max_open_files), "{shares:?}");
        expect_that!(shares.backend, all!(ge(2), lt(shares.calls)));
        expect_that!(shares.store, all!(ge(4), lt(shares.control)));
    }
}

/// Guards against a limit that ordinary service meets on the smallest instances: an entry node that calls 8 nodes of
/// each of 3 services, with as many idle connections as it keeps, beside its backend server.
#[gtest]
fn new_smallest_instance() {
    let shares = FileShares::new(4_100);
    expect_that!(shares.callers, eq(1_800));
    expect_that!(shares.nodes, eq(1_189));
    expect_that!(shares.platform, eq(64));
    let to_nodes = shares.calls - shares.backend;
    expect_that!(to_nodes, ge(3 * CALLED_NODES * IDLE_CONNECTIONS));
    expect_that!(shares.backend, ge(IDLE_CONNECTIONS));
}

/// Guards against settings with very few descriptors that leave a process without any connection of a kind.
#[gtest]
fn new_few_descriptors() {
    for max_open_files in [0, 1, 50, 199] {
        let shares = FileShares::new(max_open_files);
        expect_that!(shares.callers, ge(1));
        expect_that!(shares.nodes, ge(1));
        expect_that!(shares.platform, ge(1));
        expect_that!(shares.calls - shares.backend, ge(2));
        expect_that!(shares.backend, ge(2));
        expect_that!(shares.control - shares.store, ge(2));
        expect_that!(shares.store, ge(2));
    }
}
