//! Admission queue of a backend server under various load patterns.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::coordination::room::cold_start::ColdBound;
use sycamorewick::coordination::slot_queue::Admit;
use sycamorewick::coordination::slot_queue::Offer;
use sycamorewick::coordination::slot_queue::SlotQueue;
use sycamorewick::coordination::slot_queue::Ticket;
use sycamorewick::protocol::hop::RequestRate;
use sycamorewick::protocol::name::RouteName;

const LOOKUP: &str = "lookup";

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn offer(now: Duration, priority: u8) -> Offer {
    Offer {
        route: LOOKUP.into(),
        workspace: None,
        workspace_priority: 0,
        priority,
        objective: ms(250),
        objective_at: now + ms(250),
        deadline: now + ms(1_000),
        accepts_late: false,
        is_spillover: false,
    }
}

/// A queue with two slots whose lookups are known to take 60 ms.
fn queue() -> SlotQueue {
    let mut queue = SlotQueue::new(2);
    assert_eq!(queue.offer(ms(0), &offer(ms(0), 2)), Admit::Start);
    queue.finish(ms(60), &RouteName::from(LOOKUP), Some(ms(60)));
    queue
}

fn ticket(admit: Admit) -> Ticket {
    match admit {
        Admit::Wait(ticket, _) => ticket,
        other => panic!("the call should wait: {other:?}"),
    }
}

/// A backend server must not run more calls than it has slots.
#[gtest]
fn offer_beyond_slots() {
    let mut queue = queue();
    expect_that!(queue.offer(ms(100), &offer(ms(100), 2)), eq(Admit::Start));
    expect_that!(queue.offer(ms(100), &offer(ms(100), 2)), eq(Admit::Start));
    let waiting = ticket(queue.offer(ms(100), &offer(ms(100), 2)));
    expect_that!(queue.load().running, eq(2));
    let changes = queue.finish(ms(160), &RouteName::from(LOOKUP), Some(ms(60)));
    expect_that!(changes.start, elements_are![eq(&waiting)]);
    expect_that!(queue.load().running, eq(2));
}

/// In a burst of three times the capacity, not every call may end up late: a call that cannot start
/// in time for its objective must be refused immediately, with the time until a slot is free.
#[gtest]
fn offer_burst() {
    let mut queue = queue();
    let now = ms(1_000);
    let results: Vec<Admit> = (0..30).map(|_| queue.offer(now, &offer(now, 2))).collect();
    let refused = results
        .iter()
        .filter(|admit| matches!(admit, Admit::Refuse(_)));
    let refused: Vec<_> = refused.collect();
    // 160 ms are left to start with a margin, and two slots start a call each 30 ms.
    expect_that!(results.len() - refused.len(), all![ge(5), le(8)]);
    expect_true!(
        refused
            .iter()
            .all(|admit| matches!(admit, Admit::Refuse(after) if *after >= ms(100)))
    );
}

/// Under overload by lookups, claims have a higher priority and must not wait behind them.
#[gtest]
fn offer_high_priority_first() {
    let mut queue = queue();
    let now = ms(1_000);
    for _ in 0..2 {
        expect_that!(queue.offer(now, &offer(now, 2)), eq(Admit::Start));
    }
    let lookup = ticket(queue.offer(now, &offer(now, 2)));
    let claim = ticket(queue.offer(now, &offer(now, 1)));
    let next = queue.finish(ms(1_030), &RouteName::from(LOOKUP), Some(ms(60)));
    expect_that!(next.start, elements_are![eq(&claim)]);
    let next = queue.finish(ms(1_060), &RouteName::from(LOOKUP), Some(ms(60)));
    expect_that!(next.start, elements_are![eq(&lookup)]);
}

/// Under overload by workspaces of low priority, calls of an urgent workspace must not wait behind them, whatever the
/// priorities of the routes are.
#[gtest]
fn offer_workspace_priority_first() {
    let mut queue = queue();
    let now = ms(1_000);
    let offer_of = |workspace_priority, priority| Offer {
        workspace_priority,
        ..offer(now, priority)
    };
    for _ in 0..2 {
        expect_that!(queue.offer(now, &offer_of(3, 0)), eq(Admit::Start));
    }
    let last = ticket(queue.offer(now, &offer_of(3, 0)));
    let second = ticket(queue.offer(now, &offer_of(1, 2)));
    let first = ticket(queue.offer(now, &offer_of(1, 1)));
    for (step, expected) in [first, second, last].into_iter().enumerate() {
        let at = ms(1_030) + ms(30) * u32::try_from(step).unwrap_or_default();
        let next = queue.finish(at, &RouteName::from(LOOKUP), Some(ms(60)));
        expect_that!(next.start, elements_are![eq(&expected)]);
    }
}

/// A call that calls of higher priority have delayed until it can no longer be answered must be
/// refused before its deadline.
#[gtest]
fn advance_refuses_too_late() {
    let mut queue = queue();
    let now = ms(1_000);
    for _ in 0..2 {
        let _ = queue.offer(now, &offer(now, 2));
    }
    let too_late = ticket(queue.offer(now, &offer(now, 2)));
    let changes = queue.advance(ms(1_950));
    expect_that!(changes.refuse.len(), eq(1));
    expect_that!(changes.refuse[0].0, eq(too_late));
}

/// A cancelled call must not keep its place in the queue.
#[gtest]
fn cancel_waiting() {
    let mut queue = queue();
    let now = ms(1_000);
    for _ in 0..2 {
        let _ = queue.offer(now, &offer(now, 2));
    }
    let cancelled = ticket(queue.offer(now, &offer(now, 2)));
    let next = ticket(queue.offer(now, &offer(now, 2)));
    queue.cancel(cancelled);
    let changes = queue.finish(ms(1_060), &RouteName::from(LOOKUP), None);
    expect_that!(changes.start, elements_are![eq(&next)]);
}

/// A call whose deadline has passed must not run.
#[gtest]
fn offer_after_deadline() {
    let mut queue = queue();
    let mut late = offer(ms(0), 2);
    late.deadline = ms(500);
    expect_that!(
        queue.offer(ms(600), &late),
        matches_pattern!(Admit::Refuse(_))
    );
}

/// Under sustained overload, slots must not go to calls that are already late while others can
/// still meet their objective; the late calls must be served afterwards.
#[gtest]
fn offer_late_behind_others() {
    let mut queue = queue();
    let now = ms(1_000);
    for _ in 0..2 {
        expect_that!(queue.offer(now, &offer(now, 2)), eq(Admit::Start));
    }
    while matches!(queue.offer(now, &offer(now, 2)), Admit::Wait(..)) {}
    let mut patient = offer(now, 2);
    patient.accepts_late = true;
    patient.objective_at = now;
    let patient = ticket(queue.offer(now, &patient));
    let mut started = Vec::new();
    for step in 1..20 {
        let changes = queue.finish(
            ms(1_000 + step * 30),
            &RouteName::from(LOOKUP),
            Some(ms(60)),
        );
        started.extend(changes.start);
    }
    expect_that!(started.last(), some(eq(&patient)));
}

/// A call that accepts to be late must not join a queue longer than its objective, which would only
/// delay the refusal.
#[gtest]
fn offer_accepts_late_to_long_queue() {
    let mut queue = queue();
    let now = ms(1_000);
    let mut patient = offer(now, 2);
    patient.accepts_late = true;
    let results: Vec<Admit> = (0..40).map(|_| queue.offer(now, &patient)).collect();
    expect_that!(results[39], matches_pattern!(Admit::Refuse(_)));
    let waiting = results
        .iter()
        .filter(|admit| matches!(admit, Admit::Wait(..)))
        .count();
    expect_that!(waiting, le(9));
}

/// When all backend servers start cold after a power loss, no run times are known. The queue must
/// then assume slow runs; when it expected calls to be on time, all of them were late for 3 s.
#[gtest]
fn offer_after_start() {
    let mut queue = queue();
    queue.on_start(ms(4_000));
    let call = |now| offer(ms(now), 2);
    expect_that!(queue.offer(ms(1_000), &call(1_000)), eq(Admit::Start));
    expect_that!(queue.offer(ms(1_000), &call(1_000)), eq(Admit::Start));
    // With two slots and runs of 175 ms while cold, the third would start after 87 ms and end after
    // 262 ms.
    let third = queue.offer(ms(1_000), &call(1_000));
    expect_that!(third, matches_pattern!(Admit::Refuse(_)));
    // Once the backend server is warm, runs of 87 ms are assumed.
    let warm = queue.offer(ms(5_000), &call(5_000));
    expect_that!(warm, matches_pattern!(Admit::Wait(_, _)));
}

/// The first measured run must not dominate the mean for long, since short runs end first.
#[gtest]
fn finish_first_runs() {
    let mut queue = queue();
    let lookup = RouteName::from(LOOKUP);
    queue.on_start(ms(0));
    queue.finish(ms(100), &lookup, Some(ms(20)));
    for _ in 0..4 {
        queue.finish(ms(200), &lookup, Some(ms(120)));
    }
    // The mean is now 100 ms: with both slots taken, a third call would end after 150 ms and its
    // margin.
    expect_that!(queue.offer(ms(300), &offer(ms(300), 2)), eq(Admit::Start));
    expect_that!(queue.offer(ms(300), &offer(ms(300), 2)), eq(Admit::Start));
    let third = queue.offer(ms(300), &offer(ms(300), 2));
    expect_that!(third, matches_pattern!(Admit::Wait(_, _)));
    let fourth = queue.offer(ms(300), &offer(ms(300), 2));
    let fifth = queue.offer(ms(300), &offer(ms(300), 2));
    expect_that!(fourth, matches_pattern!(Admit::Wait(_, _)));
    expect_that!(fifth, matches_pattern!(Admit::Refuse(_)));
}

/// Under sustained overload, calls must not start so late that about half of them exceed their
/// deadline, as with 7 callers for 2 slots: their callers get 504 although the work was done.
#[gtest]
fn offer_late_start_before_deadline() {
    let mut queue = queue();
    queue.offer(ms(100), &offer(ms(100), 2));
    queue.offer(ms(100), &offer(ms(100), 2));
    let mut late = offer(ms(100), 2);
    late.accepts_late = true;
    late.deadline = ms(300);
    let waiting = queue.offer(ms(100), &late);
    // Runs take 60 ms, so one that starts at 240 ms meets the deadline only if it is not slower.
    expect_that!(waiting, eq(Admit::Wait(ticket(waiting), ms(210))));
    let changes = queue.finish(ms(230), &RouteName::from(LOOKUP), Some(ms(60)));
    expect_that!(changes.start.len(), eq(0));
    expect_that!(changes.refuse.len(), eq(1));
}

/// A cold backend server may name a limit as well. The stricter of the two binds, and a call that one of them
/// holds back must not use up a request of the other.
#[gtest]
fn offer_limit_while_cold() {
    let rate = |per_s| RequestRate::from_per_s(per_s).expect("a rate");
    let mut queue = queue();
    let cold = queue.cold_start_mut();
    cold.set_bound(ms(0), Some(ColdBound::new(rate(4.0), 1.5, 2.0)));
    cold.on_report(ms(0), ms(60_000));
    queue.on_limit(ms(1_000), Some(rate(2.0)));
    let patient = |now| Offer {
        accepts_late: true,
        ..offer(ms(now), 2)
    };
    // The bound has saved one request by now, and the limit begins with one.
    expect_that!(queue.offer(ms(1_000), &patient(1_000)), eq(Admit::Start));
    let refused = queue.offer(ms(1_000), &patient(1_000));
    expect_that!(refused, eq(Admit::Refuse(ms(500))));
    expect_that!(queue.offer(ms(1_500), &patient(1_500)), eq(Admit::Start));
    queue.finish(ms(1_560), &RouteName::from(LOOKUP), Some(ms(60)));
    queue.on_limit(ms(1_560), None);
    // The bound lets four a second start.
    let waiting = queue.offer(ms(1_560), &patient(1_560));
    expect_that!(waiting, matches_pattern!(Admit::Wait(_, _)));
    expect_that!(queue.next_start_at(ms(1_560)), some(eq(ms(1_750))));
}

fn spillover(now: Duration) -> Offer {
    Offer {
        is_spillover: true,
        accepts_late: true,
        ..offer(now, 0)
    }
}

/// A call that another failure domain could serve must start at once or be refused at once, however urgent it is.
#[gtest]
fn offer_spillover_never_waits() {
    let mut queue = SlotQueue::new(6);
    let now = ms(100);
    for _ in 0..6 {
        expect_that!(queue.offer(now, &spillover(now)), eq(Admit::Start));
    }
    expect_that!(queue.would_refuse(now, &spillover(now)), some(anything()));
    let refused = queue.offer(now, &spillover(now));
    expect_that!(refused, matches_pattern!(Admit::Refuse(ge(ms(30)))));
    expect_that!(queue.load().waiting, eq(0));
    expect_that!(queue.load().running, eq(6));
}

/// A failure domain whose own calls wait must not give its slots to the overflow of others.
#[gtest]
fn offer_spillover_keeps_margin() {
    let mut queue = SlotQueue::new(6);
    let route = RouteName::from(LOOKUP);
    for _ in 0..6 {
        let _ = queue.offer(ms(100), &offer(ms(100), 1));
    }
    for _ in 0..8 {
        let _ = queue.offer(ms(100), &offer(ms(100), 1));
    }
    let waiting = queue.load().waiting;
    expect_that!(waiting, gt(0));
    // Not even if a slot is free, while others wait.
    let changes = queue.finish(ms(160), &route, Some(ms(60)));
    expect_that!(changes.start.len(), eq(1));
    for step in 0..=u64::from(waiting) {
        queue.finish(ms(170 + step), &route, Some(ms(60)));
    }
    // Four of six slots, and then five once no call has waited for some time.
    while queue.load().running > 3 {
        queue.finish(ms(190), &route, Some(ms(60)));
    }
    while queue.load().running < 3 {
        let _ = queue.offer(ms(190), &offer(ms(190), 1));
    }
    expect_that!(queue.offer(ms(190), &spillover(ms(190))), eq(Admit::Start));
    let refused = queue.offer(ms(191), &spillover(ms(191)));
    expect_that!(refused, matches_pattern!(Admit::Refuse(anything())));
    expect_that!(queue.offer(ms(500), &spillover(ms(500))), eq(Admit::Start));
}

/// A cold backend server, or one with a limit, must not spend the requests that it tolerates on other domains.
#[gtest]
fn offer_spillover_under_limit() {
    let mut queue = SlotQueue::new(6);
    queue.on_limit(ms(0), RequestRate::from_per_s(1.0));
    expect_that!(queue.load().slots, eq(1));
    expect_that!(queue.offer(ms(10), &offer(ms(10), 1)), eq(Admit::Start));
    let refused = queue.offer(ms(10), &spillover(ms(10)));
    expect_that!(refused, matches_pattern!(Admit::Refuse(anything())));
}
