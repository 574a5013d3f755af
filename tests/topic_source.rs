//! Selection of the source from which a node follows the store's topics, and the relayed records.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use sycamorewick::coordination::topic_source::ReaderFailure;
use sycamorewick::coordination::topic_source::Source;
use sycamorewick::coordination::topic_source::SourceSelector;
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

fn source(selector: &mut SourceSelector, secs: u64, me: &str, count: usize) -> Option<String> {
    source_with_view(selector, secs, me, count, 0)
}

fn source_with_view(
    selector: &mut SourceSelector,
    secs: u64,
    me: &str,
    count: usize,
    confirmed_secs: u64,
) -> Option<String> {
    let confirmed_at = Some(Duration::from_secs(confirmed_secs));
    let now = Duration::from_secs(secs);
    match selector.select(now, &me.into(), &domain(count), confirmed_at) {
        Source::Store => None,
        Source::Peer(node, _) => Some(node.as_str().to_owned()),
    }
}

/// Oldest view with which a node asks another reader before it reads the store.
const MAX_VIEW_AGE: Duration = Duration::from_secs(1);

fn on_failure(
    selector: &mut SourceSelector,
    secs: u64,
    node: &str,
    failure: ReaderFailure,
    view_age_secs: u64,
) {
    let now = Duration::from_secs(secs);
    let view_age = Duration::from_secs(view_age_secs);
    selector.on_failure(now, &node.into(), failure, view_age, MAX_VIEW_AGE);
}

/// Guards against every node of a large failure domain reading the store, which cost 7,400 calls to it in
/// a quiet run.
#[gtest]
fn source_large_domain() {
    let mut selector = SourceSelector::default();
    expect_that!(source(&mut selector, 0, "a", 6), none());
    for me in ["b", "c", "d", "e", "f"] {
        expect_that!(source(&mut selector, 0, me, 6), some(eq("a")));
    }
    expect_that!(source(&mut selector, 0, "b", 3), none());
}

/// Guards against one node that sends a configuration to all others of a failure domain of 220 nodes,
/// and against long chains of followers.
#[gtest]
fn source_fan_out() {
    let addr: SocketAddr = "127.0.0.1:7401".parse().expect("a valid address");
    let names: Vec<NodeId> = (0..220)
        .map(|n| format!("n{n:03}").as_str().into())
        .collect();
    let domain: Vec<_> = names.iter().map(|name| (name.clone(), addr)).collect();
    let mut sources = Vec::new();
    for name in &names {
        let source = SourceSelector::default().select(Duration::ZERO, name, &domain, None);
        sources.push(match source {
            Source::Store => None,
            Source::Peer(node, _) => names.binary_search(&node).ok(),
        });
    }
    expect_that!(
        sources.iter().filter(|source| source.is_none()).count(),
        eq(1)
    );
    for own in 0..names.len() {
        let followers = sources.iter().filter(|source| **source == Some(own));
        expect_that!(followers.count(), le(12));
        let (mut at, mut depth) = (own, 0);
        while let Some(next) = sources[at] {
            expect_that!(next, lt(at));
            (at, depth) = (next, depth + 1);
        }
        expect_that!(depth, le(3));
    }
}

/// A third of the instances are lost at once, readers among them. Guards against asking one dead reader
/// after the other while a configuration comes into force.
#[gtest]
fn source_readers_fail() {
    let mut selector = SourceSelector::default();
    on_failure(&mut selector, 1, "a", ReaderFailure::Lost, 2);
    expect_that!(source(&mut selector, 1, "f", 6), none());
    expect_that!(source(&mut selector, 4, "f", 6), some(eq("b")));
    on_failure(&mut selector, 5, "b", ReaderFailure::Lost, 2);
    expect_that!(source(&mut selector, 5, "f", 6), none());
    expect_that!(source(&mut selector, 8, "f", 6), some(eq("c")));
    expect_that!(source(&mut selector, 40, "f", 6), some(eq("a")));
}

/// Half of the nodes restart in turn, readers among them. Guards against all followers of a lost reader
/// reading the store for seconds although the next reader is available: the loss of 430 readers cost
/// 2,100 calls.
#[gtest]
fn source_reader_restarts() {
    let mut selector = SourceSelector::default();
    on_failure(&mut selector, 1, "a", ReaderFailure::Lost, 0);
    expect_that!(source(&mut selector, 1, "f", 6), some(eq("b")));
    expect_true!(selector.needs_prompt_answer());
    on_failure(&mut selector, 1, "b", ReaderFailure::Lost, 0);
    expect_that!(source(&mut selector, 1, "f", 6), some(eq("c")));
    selector.on_answer();
    expect_false!(selector.needs_prompt_answer());
    // After an old view the node reads the store.
    on_failure(&mut selector, 2, "c", ReaderFailure::Behind, 0);
    expect_that!(source(&mut selector, 2, "f", 6), none());
}

/// A reader stops answering. Guards against followers that keep reading the store after one read has
/// brought their view up to date.
#[gtest]
fn source_view_confirmed() {
    let mut selector = SourceSelector::default();
    on_failure(&mut selector, 10, "a", ReaderFailure::Lost, 2);
    expect_that!(source_with_view(&mut selector, 10, "f", 6, 8), none());
    expect_that!(source_with_view(&mut selector, 11, "f", 6, 8), none());
    let confirmed = source_with_view(&mut selector, 11, "f", 6, 11);
    expect_that!(confirmed, some(eq("b")));
}

/// The store is unavailable to all nodes (it reset connections for 8 s) or to some of them. Guards
/// against every node calling it several times a second, and against asking only a reader that cannot
/// reach it either: one call to the store follows each request to a reader, and three readers are asked
/// in turn.
#[gtest]
fn source_store_unavailable() {
    let mut selector = SourceSelector::default();
    let at = Duration::from_secs;
    for (secs, asked, next) in [(10, "a", "b"), (11, "b", "c"), (12, "c", "a")] {
        on_failure(&mut selector, secs, asked, ReaderFailure::Behind, 3);
        expect_that!(source(&mut selector, secs, "f", 6), none());
        selector.on_store_failure(at(secs));
        expect_that!(source(&mut selector, secs, "f", 6), some(eq(next)));
    }
    // A lost reader stays excluded.
    on_failure(&mut selector, 13, "a", ReaderFailure::Lost, 3);
    selector.on_store_failure(at(13));
    expect_that!(source(&mut selector, 13, "f", 6), some(eq("b")));
}

/// Guards against a follower that does not start to read the store when it becomes the reader.
#[gtest]
fn source_follower_is_next() {
    let mut selector = SourceSelector::default();
    on_failure(&mut selector, 1, "a", ReaderFailure::Lost, 2);
    expect_that!(source(&mut selector, 4, "b", 6), none());
}

/// Guards against excluding the next reader for long because it still followed the one that failed.
#[gtest]
fn source_reader_behind() {
    let mut selector = SourceSelector::default();
    on_failure(&mut selector, 1, "a", ReaderFailure::Lost, 2);
    on_failure(&mut selector, 3, "b", ReaderFailure::Behind, 2);
    expect_that!(source(&mut selector, 4, "f", 6), none());
    expect_that!(source(&mut selector, 7, "f", 6), some(eq("b")));
}

fn record(key: &str, offset: u64) -> MirrorRecord {
    MirrorRecord {
        key: key.into(),
        value: Bytes::from_static(b"value"),
        offset,
    }
}

/// Guards against followers that miss a key or receive an old record of it.
#[gtest]
fn records_from_newest_of_each_key() {
    let mut mirror = Mirror::default();
    expect_that!(mirror.end(), none());
    mirror.apply(record("config", 0));
    mirror.apply(record("rollout", 3));
    mirror.apply(record("config", 7));
    mirror.advance(9);
    let offsets = |from| {
        mirror
            .records_from(from)
            .iter()
            .map(|record| record.offset)
            .collect::<Vec<_>>()
    };
    expect_that!(offsets(0), eq(&vec![3, 7]));
    expect_that!(offsets(4), eq(&vec![7]));
    expect_that!(mirror.end(), some(eq(9)));
}

/// Guards against a follower that misses a removal which its reader has not read, because it has read the newest
/// records instead of all, and against a reader that hands on the removed record.
#[gtest]
fn follower_records_after_gap() {
    let mut mirror = Mirror::default();
    mirror.apply(record("config", 0));
    mirror.apply(record("evacuate/a", 1));
    mirror.apply(record("rollout/s", 2));
    mirror.apply(record("rollout/t", 9));
    mirror.advance(10);
    expect_that!(mirror.follower_records(3).is_complete, eq(false));
    // Records 3 to 6 were not read, and the newest records do not contain 9 yet.
    mirror.apply(record("config", 7));
    mirror.on_complete(&["config", "rollout/s"], 8);
    let offsets = |from| {
        let found = mirror.follower_records(from);
        let offsets: Vec<u64> = found.records.iter().map(|record| record.offset).collect();
        (found.is_complete, offsets)
    };
    expect_that!(offsets(3), eq(&(true, vec![2, 7, 9])));
    expect_that!(offsets(7), eq(&(true, vec![2, 7, 9])));
    expect_that!(offsets(8), eq(&(false, vec![9])));
    expect_that!(offsets(10), eq(&(false, vec![])));
}
