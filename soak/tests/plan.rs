//! Tests that the plan of a run depends only on its seed and is bounded.

use std::time::Duration;

use googletest::prelude::*;
use soak::plan::draw;

const LENGTH: Duration = Duration::from_secs(12);

/// Guards against a plan that cannot be reproduced from its seed.
#[gtest]
fn draw_depends_on_seed_only() {
    expect_that!(draw(7, 8, LENGTH), eq(&draw(7, 8, LENGTH)));
    expect_that!(draw(7, 8, LENGTH), not(eq(&draw(8, 8, LENGTH))));
}

/// Guards against plans with too few or too many events, or with events after the end of the run.
#[gtest]
fn draw_is_bounded() {
    for seed in 0..200 {
        let events = draw(seed, 8, LENGTH);
        expect_that!(events.len(), ge(10), "seed {seed}");
        expect_that!(events.len(), le(150), "seed {seed}");
        let last = events.iter().map(|(at, _)| *at).max();
        expect_that!(last, some(le(LENGTH + Duration::from_secs(1))));
    }
}
