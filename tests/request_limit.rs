//! A backend server that names a limit on its requests, under loads above it.

use std::time::Duration;

use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sycamorewick::coordination::slot_queue::Admit;
use sycamorewick::coordination::slot_queue::Offer;
use sycamorewick::coordination::slot_queue::SlotQueue;
use sycamorewick::coordination::slot_queue::Ticket;
use sycamorewick::protocol::hop::RequestRate;
use sycamorewick::protocol::name::RouteName;

const ROUTE: &str = "lookup";
const SLOTS: u32 = 9;
const RUN_TIME: Duration = Duration::from_millis(60);
/// Time for which the rules sum the requests, and the requests that they allow beyond the limit.
const WINDOW: Duration = Duration::from_secs(4);
/// Share of the limit that may be used at most in a window; the rules allow 1.5 times the limit.
const MAX_SHARE: f64 = 1.2;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn offer(now: Duration, priority: u8) -> Offer {
    Offer {
        route: ROUTE.into(),
        workspace: None,
        workspace_priority: 0,
        priority,
        objective: ms(250),
        objective_at: now + ms(250),
        deadline: now + ms(1_000),
        accepts_late: priority % 2 == 1,
        is_spillover: false,
    }
}

fn rate(per_s: f64) -> RequestRate {
    RequestRate::from_per_s(per_s).expect("a rate")
}

fn count(items: usize) -> f64 {
    f64::from(u32::try_from(items).unwrap_or(u32::MAX))
}

/// Offers calls at random times and returns when calls started, with their priorities. The backend
/// server names its limit in each response.
fn starts(queue: &mut SlotQueue, limit: f64, offered_per_s: f64, seed: u64) -> Vec<(Duration, u8)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut started = Vec::new();
    let mut ends: Vec<Duration> = Vec::new();
    let mut waiting: Vec<(Ticket, u8)> = Vec::new();
    let mut next_offer = ms(0);
    let mut now = ms(0);
    while now < ms(20_000) {
        let changes = if ends.first().is_some_and(|end| *end <= now) {
            ends.remove(0);
            queue.on_limit(now, Some(rate(limit)));
            queue.finish(now, &RouteName::from(ROUTE), Some(RUN_TIME))
        } else {
            queue.advance(now)
        };
        for ticket in changes.start {
            let index = waiting.iter().position(|(other, _)| *other == ticket);
            let (_, priority) = waiting.remove(index.expect("a call that waits"));
            started.push((now, priority));
            ends.push(now + RUN_TIME);
        }
        if next_offer <= now {
            let priority = rng.random_range(1..3);
            match queue.offer(now, &offer(now, priority)) {
                Admit::Start => {
                    started.push((now, priority));
                    ends.push(now + RUN_TIME);
                }
                Admit::Wait(ticket, _) => waiting.push((ticket, priority)),
                Admit::Refuse(_) => {}
            }
            let gap: f64 = -rng.random_range(f64::EPSILON..1.0_f64).ln() / offered_per_s;
            next_offer += Duration::from_secs_f64(gap);
        }
        let events = [
            ends.first().copied(),
            queue.next_start_at(now),
            Some(next_offer),
        ];
        let next = events.into_iter().flatten().min().unwrap_or(next_offer);
        now = next.max(now + Duration::from_micros(100));
    }
    started
}

/// Guards against a backend server that gets more requests than the limit that it has named: four of six
/// backend servers got 1.9 times their limit. The load is a multiple of the limit, as when most backend
/// servers of a service name one.
#[gtest]
fn on_limit_load_above_it() {
    for (seed, limit) in [0.8, 2.5, 10.0, 24.1, 48.8].into_iter().enumerate() {
        let mut queue = SlotQueue::new(SLOTS);
        queue.on_limit(ms(0), Some(rate(limit)));
        let started = starts(&mut queue, limit, limit * 3.0 + 20.0, seed as u64);
        for (first, (at, _)) in started.iter().enumerate() {
            let in_window = started[first..].partition_point(|(other, _)| *other < *at + WINDOW);
            let allowed = limit * WINDOW.as_secs_f64() * MAX_SHARE + 2.0;
            assert_that!(count(in_window), le(allowed), "limit {limit} at {at:?}");
        }
        let used = count(started.len()) / 20.0;
        expect_that!(used, ge(limit * 0.85), "limit {limit}");
    }
}

/// Guards against urgent calls that lose the few requests of a limited backend server to less urgent ones.
#[gtest]
fn on_limit_urgent_first() {
    let mut queue = SlotQueue::new(SLOTS);
    queue.on_limit(ms(0), Some(rate(20.0)));
    let started = starts(&mut queue, 20.0, 60.0, 3);
    let urgent = started
        .iter()
        .filter(|(_, priority)| *priority == 1)
        .count();
    expect_that!(urgent * 10, ge(started.len() * 7));
}

/// Guards against a call that waits for a limit under which it cannot be in time, instead of being refused
/// at once with the time after which it may come back.
#[gtest]
fn on_limit_hopeless_call() {
    let mut queue = SlotQueue::new(SLOTS);
    queue.on_limit(ms(0), Some(rate(2.0)));
    let call = offer(ms(0), 2);
    expect_that!(queue.offer(ms(0), &call), eq(Admit::Start));
    expect_that!(queue.offer(ms(0), &call), eq(Admit::Refuse(ms(500))));
}

/// Guards against a limit that goes on after the backend server has stopped naming it, and against one
/// that another incarnation named.
#[gtest]
fn on_limit_ends() {
    let mut queue = SlotQueue::new(SLOTS);
    let call = offer(ms(0), 2);
    expect_true!(queue.on_limit(ms(0), Some(rate(1.0))));
    expect_false!(queue.on_limit(ms(0), Some(rate(1.0))));
    expect_that!(queue.offer(ms(0), &call), eq(Admit::Start));
    expect_that!(
        queue.offer(ms(0), &call),
        matches_pattern!(Admit::Refuse(_))
    );
    expect_true!(queue.on_limit(ms(0), None));
    expect_that!(queue.offer(ms(0), &call), eq(Admit::Start));
    queue.on_limit(ms(0), Some(rate(1.0)));
    queue.on_start(ms(0));
    expect_that!(queue.load().limit, none());
}

/// Guards against a burst at a limited backend server after a restart of the node beside it, which has
/// forgotten the limit: the other nodes report it. The first answer of the backend server replaces it.
#[gtest]
fn on_reported_limit_after_restart() {
    let mut queue = SlotQueue::new(SLOTS);
    let call = offer(ms(0), 2);
    expect_true!(queue.on_reported_limit(ms(0), rate(1.0)));
    expect_that!(queue.offer(ms(0), &call), eq(Admit::Start));
    expect_that!(
        queue.offer(ms(0), &call),
        matches_pattern!(Admit::Refuse(_))
    );
    queue.on_limit(ms(0), None);
    expect_false!(queue.on_reported_limit(ms(0), rate(1.0)));
    expect_that!(queue.offer(ms(0), &call), eq(Admit::Start));
}

/// Guards against a backend server with a limit of zero that is never asked again, so that the end of the
/// limit is not noticed.
#[gtest]
fn on_limit_zero() {
    let mut queue = SlotQueue::new(SLOTS);
    queue.on_limit(ms(0), Some(rate(0.0)));
    expect_that!(queue.offer(ms(0), &offer(ms(0), 2)), eq(Admit::Start));
    let later = ms(2_000);
    expect_that!(queue.offer(later, &offer(later, 2)), eq(Admit::Start));
}
