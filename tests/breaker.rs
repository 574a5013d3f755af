//! Circuit breaker beside a backend server.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::coordination::breaker::Breaker;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Load: a backend server resets every connection at once, so it looks idle (ggwra-mesh inc-b269: 219
/// claims lost in 5 s). Guards against sending it more than the first calls and single trials.
#[gtest]
fn admit_all_broken() {
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

/// Guards against a backend server that works again and gets no work.
#[gtest]
fn admit_after_trial() {
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

/// Guards against a trial that is cancelled and blocks all others.
#[gtest]
fn admit_after_cancelled_trial() {
    let mut breaker = Breaker::default();
    for _ in 0..3 {
        breaker.on_end(ms(0), false);
    }
    expect_true!(breaker.admit(ms(400), true));
    breaker.on_cancelled();
    expect_true!(breaker.admit(ms(410), true));
}

/// Guards against opening for single lost answers.
#[gtest]
fn admit_some_broken() {
    let mut breaker = Breaker::default();
    for step in 0..30_u64 {
        expect_true!(breaker.admit(ms(step), false));
        breaker.on_end(ms(step), step % 3 == 0);
    }
}
