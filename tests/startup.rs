//! Decisions of a process that has no configuration yet, without a network.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::coordination::startup::store_answer::MAX_SILENCE;
use sycamorewick::coordination::startup::store_answer::StoreAnswer;

/// Time of the transfer of a configuration of 417 kB from the store at 10 Mbit/s.
const STORE_TRANSFER: Duration = Duration::from_millis(450);
/// Interval at which bytes of a transfer arrive.
const CHUNK_INTERVAL: Duration = Duration::from_millis(10);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a second transfer of the configuration next to a response of the store that arrives slowly.
#[gtest]
fn ask_peer_slow_transfer() {
    let mut answer = StoreAnswer::default();
    answer.on_call(ms(20));
    let mut now = ms(200);
    while now < ms(200) + STORE_TRANSFER {
        expect_that!(answer.ask_peer_at(), gt(now));
        answer.on_receive(now);
        now += CHUNK_INTERVAL;
    }
}

/// Guards against a node that waits for a store that does not answer, at its first read or at a later one.
#[gtest]
fn ask_peer_silent_store() {
    let mut answer = StoreAnswer::default();
    expect_that!(answer.ask_peer_at(), eq(MAX_SILENCE));
    answer.on_call(ms(20));
    expect_that!(answer.ask_peer_at(), eq(ms(20) + MAX_SILENCE));
}

/// Guards against a node that waits for the rest of a response until the call times out.
#[gtest]
fn ask_peer_stalled_transfer() {
    let mut answer = StoreAnswer::default();
    answer.on_call(ms(20));
    answer.on_receive(ms(100));
    expect_that!(answer.ask_peer_at(), eq(ms(100) + MAX_SILENCE));
}

/// Guards against a wait after the store could not be reached, also while the next attempts run, and against
/// requests to a peer after the store answers again.
#[gtest]
fn ask_peer_failed_read() {
    let mut answer = StoreAnswer::default();
    for at in [20, 200, 500] {
        answer.on_call(ms(at));
        answer.on_failure();
        expect_that!(answer.ask_peer_at(), le(ms(at)));
    }
    answer.on_call(ms(900));
    expect_that!(answer.ask_peer_at(), le(ms(900)));
    expect_that!(answer.has_failed(), eq(true));
    answer.on_receive(ms(910));
    expect_that!(answer.ask_peer_at(), eq(ms(910) + MAX_SILENCE));
    expect_that!(answer.has_failed(), eq(false));
}

/// Guards against a peer that sends the configuration once more, since the entries of the nodes arrive after it.
#[gtest]
fn ask_peer_entries_after_configuration() {
    let mut config = StoreAnswer::default();
    let mut entries = StoreAnswer::default();
    config.on_call(ms(20));
    entries.on_call(ms(20));
    config.on_receive(ms(900));
    let awaited = entries.with_sign_of(config);
    expect_that!(awaited.ask_peer_at(), eq(ms(900) + MAX_SILENCE));
    entries.on_failure();
    expect_that!(entries.with_sign_of(config).has_failed(), eq(true));
}
