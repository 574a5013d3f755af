//! Requests that crash backend servers, as several nodes learn them from each other's entries.

use std::time::Duration;

use googletest::prelude::*;
use serde::Serialize;
use sycamorewick::coordination::crashing_requests::CrashingRequests;
use sycamorewick::coordination::quarantine::QUARANTINE_TIME;
use sycamorewick::protocol::codec;
use sycamorewick::protocol::fleet::FleetEntry;
use sycamorewick::protocol::fleet::Incarnation;
use sycamorewick::protocol::name::NodeId;

const CRASHING: u64 = 7;
const BESIDE: u64 = 8;
const START: Duration = Duration::from_secs(100);

fn node(name: &str) -> NodeId {
    name.into()
}

fn incarnation(born: u64) -> Incarnation {
    ("b0".into(), born)
}

/// Copies the reports of one node to another one, as its entry does.
fn follow(reader: &mut CrashingRequests, now: Duration, name: &str, writer: &CrashingRequests) {
    let crashes = writer.reported(now);
    reader.on_entry(now, &node(name), &crashes);
}

/// Guards against a node that runs a request which two other nodes saw crash their backend servers, and
/// against one that refuses a request after a single crash.
#[gtest]
fn on_entry_two_nodes() {
    let [mut a, mut b, mut c] = [(); 3].map(|()| CrashingRequests::default());
    a.on_crash(START, &node("a"), &incarnation(1), &[CRASHING]);
    follow(&mut c, START, "a", &a);
    expect_that!(c.refused_for(START, CRASHING), none());
    b.on_crash(START, &node("b"), &incarnation(1), &[CRASHING]);
    follow(&mut c, START, "b", &b);
    expect_that!(c.refused_for(START, CRASHING), some(eq(QUARANTINE_TIME)));
    expect_that!(c.refused_for(START, BESIDE), none());
    let later = START + QUARANTINE_TIME;
    expect_that!(c.refused_for(later, CRASHING), none());
    expect_that!(a.reported(later), is_empty());
}

/// Guards against a crash that counts twice because the entry that names it is read again.
#[gtest]
fn on_entry_read_again() {
    let [mut a, mut c] = [(); 2].map(|()| CrashingRequests::default());
    a.on_crash(START, &node("a"), &incarnation(1), &[CRASHING]);
    for _ in 0..3 {
        follow(&mut c, START, "a", &a);
    }
    expect_that!(c.refused_for(START, CRASHING), none());
    // The same backend server after its restart.
    a.on_crash(START, &node("a"), &incarnation(2), &[CRASHING]);
    follow(&mut c, START, "a", &a);
    expect_that!(c.refused_for(START, CRASHING), some(anything()));
}

/// Guards against the refusal of a frequent request that ran beside the cause of the crashes.
#[gtest]
fn on_crash_beside_answered_request() {
    let [mut a, mut b, mut c] = [(); 3].map(|()| CrashingRequests::default());
    let calls = [BESIDE, CRASHING];
    for (name, peer) in [("a", &mut a), ("b", &mut b)] {
        peer.on_answered(START, BESIDE);
        peer.on_crash(START, &node(name), &incarnation(1), &calls);
    }
    follow(&mut c, START, "a", &a);
    follow(&mut c, START, "b", &b);
    expect_that!(c.refused_for(START, BESIDE), none());
    expect_that!(c.refused_for(START, CRASHING), some(anything()));
}

/// Guards against a restarted process that forgets the crashes of its backend server, and drops them from
/// its entry, so that processes that start later do not know them either.
#[gtest]
fn on_earlier_entry_keeps_reports() {
    let mut a = CrashingRequests::default();
    for born in 1..=2 {
        a.on_crash(START, &node("a"), &incarnation(born), &[CRASHING]);
    }
    let mut restarted = CrashingRequests::default();
    restarted.on_earlier_entry(START, &node("a"), &a.reported(START));
    expect_that!(restarted.refused_for(START, CRASHING), some(anything()));
    expect_that!(restarted.reported(START), eq(&a.reported(START)));
}

/// Guards against entries that grow with each crash.
#[gtest]
fn reported_is_bounded() {
    let mut a = CrashingRequests::default();
    for born in 0..100 {
        let calls: Vec<u64> = (born * 10..born * 10 + 10).collect();
        a.on_crash(START, &node("a"), &incarnation(born), &calls);
    }
    expect_that!(a.reported(START).len(), le(32));
}

/// Guards against a node that cannot read the entries of nodes of an earlier build.
#[gtest]
fn decode_entry_of_earlier_build() {
    #[derive(Serialize)]
    struct EarlierEntry {
        node: &'static str,
        run: u64,
        addr: std::net::SocketAddr,
        region: &'static str,
        domain: &'static str,
        capacity: u32,
        backend: Option<()>,
    }
    let earlier = EarlierEntry {
        node: "a",
        run: 1,
        addr: ([127, 0, 0, 1], 7_400).into(),
        region: "keta",
        domain: "keta-a",
        capacity: 1,
        backend: None,
    };
    let entry = codec::encode(&earlier).and_then(|bytes| codec::decode::<FleetEntry>(&bytes));
    let crashes = entry.map(|entry| entry.crashes.len());
    expect_that!(crashes.ok(), some(eq(0)));
}
