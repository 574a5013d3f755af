//! Limit on the queries of operators.

use std::time::Duration;

use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sycamorewick::coordination::query_limit::MAX_OPEN;
use sycamorewick::coordination::query_limit::MAX_PER_S;
use sycamorewick::coordination::query_limit::QueryLimit;
use sycamorewick::coordination::query_limit::QueryRefusal;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Guards against more queries in a second than the limit, at any boundary, and against a delay after which a query
/// is refused again.
#[gtest]
fn begin_at_rate() {
    let mut limit = QueryLimit::default();
    for query in 0..5 {
        expect_that!(limit.begin(ms(100 * query)), ok(()), "query {query}");
        limit.end();
    }
    let refusal = limit.begin(ms(900));
    expect_that!(refusal, err(eq(QueryRefusal::TooFrequent(ms(100)))));
    expect_that!(limit.begin(ms(1_000)), ok(()));
    limit.end();
    let refusal = limit.begin(ms(1_000));
    expect_that!(refusal, err(eq(QueryRefusal::TooFrequent(ms(100)))));
}

/// Guards against a third query at a time, and against an ended one that still counts.
#[gtest]
fn begin_while_open() {
    let mut limit = QueryLimit::default();
    expect_that!(limit.begin(ms(0)), ok(()));
    expect_that!(limit.begin(ms(0)), ok(()));
    expect_that!(limit.begin(ms(5_000)), err(eq(QueryRefusal::TooMany)));
    limit.end();
    expect_that!(limit.begin(ms(5_000)), ok(()));
    expect_that!(limit.begin(ms(5_000)), err(eq(QueryRefusal::TooMany)));
}

/// Guards against refused queries that use up the limit, and against any second with too many queries.
#[gtest]
fn begin_random() {
    for seed in 0..50 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut limit = QueryLimit::default();
        let mut begun: Vec<Duration> = Vec::new();
        let mut open = 0;
        let mut now = ms(0);
        for _ in 0..500 {
            now += ms(rng.random_range(0..120));
            if open > 0 && rng.random_bool(0.6) {
                limit.end();
                open -= 1;
            }
            let within = begun.iter().filter(|at| **at + ms(1_000) > now).count();
            let is_allowed = open < MAX_OPEN && within < MAX_PER_S;
            let result = limit.begin(now);
            expect_that!(result.is_ok(), eq(is_allowed), "seed {seed} at {now:?}");
            if result.is_ok() {
                begun.push(now);
                open += 1;
            }
        }
        expect_that!(begun.len(), gt(100), "seed {seed}");
    }
}
