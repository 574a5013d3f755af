//! Following the store's topics through a node of the same failure domain.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use sycamorewick::coordination::relay::Relay;
use sycamorewick::coordination::relay::Source;
use sycamorewick::protocol::name::NodeId;
use sycamorewick::state::mirror::Mirror;
use sycamorewick::state::mirror::MirrorRecord;

fn domain(count: usize) -> Vec<(NodeId, SocketAddr)> {
    let addr: SocketAddr = "127.0.0.1:7401".parse().expect("a valid address");
    let names = ["a", "b", "c", "d", "e", "f"];
    names[..count]
        .iter()
        .map(|name| (NodeId::from(*name), addr))
        .collect()
}

fn reader(relay: &mut Relay, secs: u64, me: &str, count: usize) -> Option<String> {
    match relay.source(Duration::from_secs(secs), &me.into(), &domain(count)) {
        Source::Store => None,
        Source::Peer(node, _) => Some(node.as_str().to_owned()),
    }
}

/// Guards against every node of a large failure domain reading the store: 7,400 calls on a quiet day
/// of ggwra-mesh-grown.
#[gtest]
fn source_large_domain() {
    let mut relay = Relay::default();
    expect_that!(reader(&mut relay, 0, "a", 6), none());
    for me in ["b", "c", "d", "e", "f"] {
        expect_that!(reader(&mut relay, 0, me, 6), some(eq("a")));
    }
    expect_that!(reader(&mut relay, 0, "b", 3), none());
}

/// Load: a third of the instances are lost at once, readers among them (ggwra-mesh-grown trouble-3).
/// Guards against trying one dead reader after the other while a configuration comes into force.
#[gtest]
fn source_readers_fail() {
    let mut relay = Relay::default();
    relay.on_failure(Duration::from_secs(1), &"a".into(), false);
    expect_that!(reader(&mut relay, 1, "f", 6), none());
    expect_that!(reader(&mut relay, 4, "f", 6), some(eq("b")));
    relay.on_failure(Duration::from_secs(5), &"b".into(), false);
    expect_that!(reader(&mut relay, 5, "f", 6), none());
    expect_that!(reader(&mut relay, 8, "f", 6), some(eq("c")));
    expect_that!(reader(&mut relay, 40, "f", 6), some(eq("a")));
}

/// Guards against a follower that becomes the reader without noticing.
#[gtest]
fn source_follower_is_next() {
    let mut relay = Relay::default();
    relay.on_failure(Duration::from_secs(1), &"a".into(), false);
    expect_that!(reader(&mut relay, 4, "b", 6), none());
}

/// Guards against passing over the next reader for long because it still followed the one that failed.
#[gtest]
fn source_reader_behind() {
    let mut relay = Relay::default();
    relay.on_failure(Duration::from_secs(1), &"a".into(), false);
    relay.on_failure(Duration::from_secs(3), &"b".into(), true);
    expect_that!(reader(&mut relay, 4, "f", 6), none());
    expect_that!(reader(&mut relay, 7, "f", 6), some(eq("b")));
}

fn record(key: &str, offset: u64) -> MirrorRecord {
    MirrorRecord {
        key: key.into(),
        value: Bytes::from_static(b"value"),
        offset,
    }
}

/// Guards against followers that miss a key or get an older record of it.
#[gtest]
fn since_newest_of_each_key() {
    let mut mirror = Mirror::default();
    expect_that!(mirror.end(), none());
    mirror.apply(record("config", 0));
    mirror.apply(record("rollout", 3));
    mirror.apply(record("config", 7));
    mirror.advance(9);
    let offsets = |from| {
        mirror
            .since(from)
            .iter()
            .map(|record| record.offset)
            .collect::<Vec<_>>()
    };
    expect_that!(offsets(0), eq(&vec![3, 7]));
    expect_that!(offsets(4), eq(&vec![7]));
    expect_that!(mirror.end(), some(eq(9)));
}
