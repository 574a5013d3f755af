//! Circuit breaker of a backend server.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::coordination::breaker::Breaker;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A backend server that resets every connection must get only the first calls and single probes. It
/// looks idle because its calls end at once, and attracted so much traffic that 219 claims failed in
/// 5 s.
#[gtest]
fn admit_all_incomplete() {
    let mut breaker = Breaker::default();
    let mut sent = [0, 0];
    for step in 0..500_u64 {
        let now = ms(step * 10);
        let idempotent = step % 2 == 0;
        if breaker.admit(now, idempotent) {
            sent[usize::from(idempotent)] += 1;
            breaker.on_end(now, false);
        }
    }
    expect_that!(sent[0], le(2));
    expect_that!(sent[1], le(7));
}

/// A recovered backend server must get calls again.
#[gtest]
fn admit_after_probe() {
    let mut breaker = Breaker::default();
    for _ in 0..3 {
        breaker.on_end(ms(0), false);
    }
    expect_false!(breaker.admit(ms(100), true));
    expect_false!(breaker.admit(ms(400), false));
    expect_true!(breaker.admit(ms(400), true));
    expect_false!(breaker.admit(ms(400), true));
    breaker.on_end(ms(450), true);
    expect_true!(breaker.admit(ms(450), false));
}

/// A cancelled probe must not block further probes.
#[gtest]
fn admit_after_cancelled_probe() {
    let mut breaker = Breaker::default();
    for _ in 0..3 {
        breaker.on_end(ms(0), false);
    }
    expect_true!(breaker.admit(ms(400), true));
    breaker.on_cancelled();
    expect_true!(breaker.admit(ms(410), true));
}

/// Single incomplete responses must not open the breaker.
#[gtest]
fn admit_some_incomplete() {
    let mut breaker = Breaker::default();
    for step in 0..30_u64 {
        expect_true!(breaker.admit(ms(step), false));
        breaker.on_end(ms(step), step % 3 == 0);
    }
}

/// Guards against a service that is refused for good after some lost answers, since none of its calls is
/// idempotent. A backend server that has not recovered costs it one call in three seconds.
#[gtest]
fn admit_without_idempotent_calls() {
    let mut breaker = Breaker::default();
    let recovers_at = ms(20_000);
    let mut lost = 0;
    let mut served_from = None;
    for step in 0..3_000_u64 {
        let now = ms(step * 10);
        if !breaker.admit(now, false) {
            continue;
        }
        let is_complete = now >= recovers_at;
        breaker.on_end(now, is_complete);
        lost += u32::from(!is_complete);
        if is_complete {
            served_from = served_from.or(Some(now));
        }
    }
    expect_that!(lost, le(12));
    expect_that!(served_from, some(le(recovers_at + ms(3_000))));
}
