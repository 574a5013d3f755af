//! Plans of faults depend on the seed alone and are bounded.

use std::time::Duration;

use googletest::prelude::*;
use soak::plan::draw;

const LENGTH: Duration = Duration::from_secs(12);

/// Guards against a seed that cannot be run again.
#[gtest]
fn draw_same_seed() {
    expect_that!(draw(7, 8, LENGTH), eq(&draw(7, 8, LENGTH)));
    expect_that!(draw(7, 8, LENGTH), not(eq(&draw(8, 8, LENGTH))));
}

/// Guards against runs without end or with hardly a fault.
#[gtest]
fn draw_bounded() {
    for seed in 0..200 {
        let events = draw(seed, 8, LENGTH);
        expect_that!(events.len(), ge(10), "seed {seed}");
        expect_that!(events.len(), le(150), "seed {seed}");
        let last = events.iter().map(|(at, _)| *at).max();
        expect_that!(last, some(le(LENGTH + Duration::from_secs(1))));
    }
}
