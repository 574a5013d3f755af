//! Account of the memory that clients hold: bounds of a connection and of an address, and which connection ends
//! if there is no room.

use std::net::IpAddr;
use std::net::Ipv4Addr;

use futures_util::FutureExt;
use googletest::prelude::*;
use sycamorewick::transport::client_memory;
use sycamorewick::transport::client_memory::ClientCounts;
use sycamorewick::transport::client_memory::ClientMemory;
use sycamorewick::transport::client_memory::ConnectionMemory;
use sycamorewick::transport::client_memory::SMALL_BODY_BYTES;

const ACCOUNT: usize = 64 << 20;
const MB: usize = 1 << 20;

fn address(last: u8) -> IpAddr {
    Ipv4Addr::new(127, 0, 0, last).into()
}

/// Returns whether a connection has to end.
fn is_evicted(connection: &ConnectionMemory) -> bool {
    connection.evicted().now_or_never().is_some()
}

/// Guards against a process that outgrows its instance because memory is counted too low, and against a body of
/// 64 MiB that is refused on an instance of 160 MB.
#[gtest]
fn account_bytes_of_instances() {
    let account = client_memory::account_bytes(160.0);
    expect_that!(account, all!(gt(80_000_000), lt(136_000_000)));
    expect_that!(ClientMemory::new(account).bounded_bytes(), ge(64 * MB));
    for memory_mb in [f64::MIN, -1.0, 0.0, f64::NAN] {
        expect_that!(client_memory::account_bytes(memory_mb), eq(8 * MB));
    }
}

/// Guards against ordinary clients that are refused in calm: 800 connections of one address, each with one request
/// of 4 kB, on the smallest instance.
#[gtest]
fn try_hold_in_calm() {
    // What the pipeline counts for a connection and for a request with a usual head.
    const CONNECTION: usize = 6 << 10;
    const REQUEST: usize = (32 << 10) + 1_000;
    let memory = ClientMemory::new(client_memory::account_bytes(160.0));
    let mut connections = Vec::new();
    let mut held = Vec::new();
    for _ in 0..800 {
        let connection = memory.connect(Some(address(1)), 0);
        held.push(connection.hold(CONNECTION));
        held.extend(connection.try_hold(REQUEST));
        let mut body = memory.hold_body();
        expect_true!(body.set_body(4_000));
        connection.set_body(4_000);
        held.push(body);
        connections.push(connection);
    }
    expect_that!(held.len(), eq(3 * 800));
}

/// Guards against bytes that stay counted after their request, or are freed twice.
#[gtest]
fn held_bytes_until_dropped() {
    let memory = ClientMemory::new(ACCOUNT);
    let connection = memory.connect(Some(address(1)), 0);
    let mut held = connection.hold(1_000);
    let other = connection.try_hold(500).expect("there is room");
    expect_that!(memory.held_bytes(), eq(1_500));
    held.set(200);
    expect_that!(memory.held_bytes(), eq(700));
    drop(connection);
    drop(other);
    expect_that!(memory.held_bytes(), eq(200));
    drop(held);
    expect_that!(memory.held_bytes(), eq(0));
}

/// Guards against an account that can be exceeded by requests, however small they are.
#[gtest]
fn try_hold_until_full() {
    let memory = ClientMemory::new(ACCOUNT);
    let mut held = Vec::new();
    for last in 1..=8 {
        let connection = memory.connect(Some(address(last)), 0);
        held.extend((0..20).map_while(|_| connection.try_hold(MB)));
    }
    expect_that!(held.len(), eq(64));
    expect_that!(memory.held_bytes(), eq(ACCOUNT));
    held.pop();
    let connection = memory.connect(Some(address(9)), 0);
    expect_true!(connection.try_hold(MB).is_some());
}

/// Guards against one address that takes all memory by many connections: the others keep an eighth.
#[gtest]
fn try_hold_of_one_address() {
    let memory = ClientMemory::new(ACCOUNT);
    let connections: Vec<_> = (0..64)
        .map(|_| memory.connect(Some(address(1)), 0))
        .collect();
    let held: Vec<_> = connections
        .iter()
        .filter_map(|connection| connection.try_hold(MB))
        .collect();
    expect_that!(held.len(), eq(56));
    let other = memory.connect(Some(address(2)), 0);
    expect_true!(other.try_hold(8 * MB).is_some());
}

/// Guards against bodies that do not count for their address while they arrive.
#[gtest]
fn try_hold_beside_bodies_of_the_address() {
    let memory = ClientMemory::new(ACCOUNT);
    let sender = memory.connect(Some(address(1)), 0);
    let mut body = memory.hold_body();
    expect_true!(body.set_body(55 * MB));
    sender.set_body(55 * MB);
    let same = memory.connect(Some(address(1)), 0);
    expect_true!(same.try_hold(2 * MB).is_none());
    let other = memory.connect(Some(address(2)), 0);
    expect_true!(other.try_hold(2 * MB).is_some());
    sender.set_body(0);
    drop(body);
    expect_true!(same.try_hold(2 * MB).is_some());
}

/// Guards against requests that are sent ahead and take the memory of those that are not.
#[gtest]
fn try_hold_ahead_leaves_room() {
    let memory = ClientMemory::new(ACCOUNT);
    let mut held = Vec::new();
    for last in 0..200 {
        let connection = memory.connect(Some(address(last)), 0);
        let ahead: Vec<_> = (0..40)
            .map_while(|_| connection.try_hold_ahead(MB / 16))
            .collect();
        // One connection gets a 64th.
        expect_that!(ahead.len(), le(16));
        held.extend(ahead);
    }
    expect_that!(memory.held_bytes(), eq(ACCOUNT / 2));
    let connection = memory.connect(Some(address(201)), 0);
    expect_true!(connection.try_hold(8 * MB).is_some());
}

/// Guards against large bodies that leave no room for ordinary calls.
#[gtest]
fn set_body_leaves_room_for_small_ones() {
    let memory = ClientMemory::new(ACCOUNT);
    let mut large = memory.hold_body();
    expect_true!(large.set_body(memory.bounded_bytes()));
    let mut second = memory.hold_body();
    expect_false!(second.set_body(SMALL_BODY_BYTES + 1));
    drop(second);
    let mut small = memory.hold_body();
    expect_true!(small.set_body(SMALL_BODY_BYTES));
    // A body that does not grow is never the one that does not fit.
    expect_true!(large.set_body(memory.bounded_bytes()));
}

/// Guards against a full account that stays full, and against ending connections whose request runs.
#[gtest]
fn eviction_of_the_largest_that_waits() {
    let memory = ClientMemory::new(ACCOUNT);
    let connections: Vec<_> = (1..=4)
        .map(|last| memory.connect(Some(address(last)), 0))
        .collect();
    let sizes = [10, 20, 30, 4];
    let _held: Vec<_> = connections
        .iter()
        .zip(sizes)
        .map(|(connection, size)| connection.hold(size * MB))
        .collect();
    connections[0].set_waiting(true);
    connections[1].set_waiting(true);
    let next = memory.connect(Some(address(5)), 0);
    expect_true!(next.try_hold(MB).is_none());
    let evicted: Vec<bool> = connections.iter().map(is_evicted).collect();
    expect_that!(evicted, eq(&vec![false, true, false, false]));
    // The one that was chosen is not chosen again before it has ended.
    expect_true!(next.try_hold(MB).is_none());
    let evicted: Vec<bool> = connections.iter().map(is_evicted).collect();
    expect_that!(evicted, eq(&vec![true, false, false, false]));
    expect_true!(next.try_hold(MB).is_none());
    expect_false!(connections.iter().any(is_evicted));
}

/// Guards against responses that were not read and exceed the account: their set size is counted in any case.
#[gtest]
fn eviction_by_a_response() {
    let memory = ClientMemory::new(ACCOUNT);
    let (reader, other) = (
        memory.connect(Some(address(1)), 0),
        memory.connect(Some(address(2)), 0),
    );
    let _unread = reader.hold(40 * MB);
    reader.set_waiting(true);
    let mut response = other.hold(MB);
    response.set(23 * MB);
    expect_false!(is_evicted(&reader));
    response.set(25 * MB);
    expect_true!(is_evicted(&reader));
}

/// Guards against an address that is full and makes the connections of other addresses end, which would give it
/// no room.
#[gtest]
fn eviction_within_the_address_that_is_full() {
    let memory = ClientMemory::new(ACCOUNT);
    let other = memory.connect(Some(address(2)), 0);
    let _other = other.hold(7 * MB);
    other.set_waiting(true);
    let full: Vec<_> = (0..56)
        .map(|_| memory.connect(Some(address(1)), 0))
        .collect();
    let _held: Vec<_> = full.iter().map(|connection| connection.hold(MB)).collect();
    full[3].set_waiting(true);
    let next = memory.connect(Some(address(1)), 0);
    expect_true!(next.try_hold(MB / 2).is_none());
    expect_false!(is_evicted(&other));
    expect_true!(is_evicted(&full[3]));
}

/// Guards against a request that ends its own connection when it finds no room, so that its client does not learn
/// that it has not run.
#[gtest]
fn eviction_spares_the_connection_that_needs_room() {
    let memory = ClientMemory::new(ACCOUNT);
    let busy = memory.connect(Some(address(1)), 0);
    let _held = busy.hold(ACCOUNT - MB);
    let next = memory.connect(Some(address(2)), 0);
    let _head = next.hold(MB / 2);
    next.set_waiting(true);
    expect_true!(next.try_hold(MB).is_none());
    expect_false!(is_evicted(&next));
}

/// Guards against ended connections that no operator can see.
#[gtest]
fn counts_of_evictions() {
    let memory = ClientMemory::new(ACCOUNT);
    expect_that!(memory.counts(), eq(ClientCounts::default()));
    let connections: Vec<_> = (1..=2)
        .map(|last| memory.connect(Some(address(last)), 0))
        .collect();
    let _held: Vec<_> = connections
        .iter()
        .map(|connection| connection.hold(ACCOUNT / 2))
        .collect();
    for connection in &connections {
        connection.set_waiting(true);
    }
    let next = memory.connect(Some(address(3)), 0);
    expect_true!(next.try_hold(MB).is_none());
    expect_true!(memory.evict_oldest(0));
    // Nothing is left that could end.
    expect_true!(next.try_hold(MB).is_none());
    expect_false!(memory.evict_oldest(0));
    memory.count_refused();
    memory.count_rejected();
    let expected = ClientCounts {
        refused: 1,
        evicted: 2,
        rejected: 1,
    };
    expect_that!(memory.counts(), eq(expected));
}

/// Guards against a port without connections for new clients, and against one port that takes those of another.
#[gtest]
fn evict_oldest_of_the_port() {
    let memory = ClientMemory::new(ACCOUNT);
    let other_port = memory.connect(Some(address(1)), 1);
    other_port.set_waiting(true);
    let connections: Vec<_> = (0..3)
        .map(|_| memory.connect(Some(address(1)), 0))
        .collect();
    expect_false!(memory.evict_oldest(0));
    connections[1].set_waiting(true);
    connections[2].set_waiting(true);
    expect_true!(memory.evict_oldest(0));
    let evicted: Vec<bool> = connections.iter().map(is_evicted).collect();
    expect_that!(evicted, eq(&vec![false, true, false]));
    expect_true!(memory.evict_oldest(0));
    expect_true!(is_evicted(&connections[2]));
    expect_false!(memory.evict_oldest(0));
    expect_false!(is_evicted(&other_port));
    drop(connections);
    expect_false!(memory.evict_oldest(0));
}
