//! Answers of a reader to follow requests.

use std::time::Duration;

use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sycamorewick::coordination::follow_poll::CONFIRMATION_TIME;
use sycamorewick::coordination::follow_poll::FollowPoll;
use sycamorewick::coordination::follow_poll::FollowStep;

/// Time within which a configuration has to be in force.
const REQUIRED_TIME: Duration = Duration::from_secs(3);
/// Long poll of a follower, 0.45 of [`REQUIRED_TIME`] as in the sidecar.
const WAIT: Duration = Duration::from_millis(1_350);
/// Age from which a view is not followed, as in the sidecar.
const MAX_VIEW_AGE: Duration = Duration::from_millis(1_700);
/// Part of [`REQUIRED_TIME`] that a follower may need to leave a reader with an old view. The rest is
/// for reading the store and for sending a large configuration over a slow link.
const LEAVE_SHARE: f64 = 0.65;
const SEEDS: u64 = 5_000;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn poll(began: Duration) -> FollowPoll {
    FollowPoll {
        began,
        until: began + WAIT,
        is_failover: false,
        is_store_away: false,
        max_view_age: MAX_VIEW_AGE,
    }
}

/// Guards against an idle follower that is answered before there is anything to tell, and against one
/// whose answer is held back although there is.
#[gtest]
fn next_fresh_view() {
    let at = ms(10_000);
    let confirmed = Some(at.saturating_sub(ms(200)));
    expect_that!(
        poll(at).next(at, confirmed, false),
        eq(FollowStep::Wait(at + WAIT))
    );
    expect_that!(poll(at).next(at, confirmed, true), eq(FollowStep::Respond));
    let later = at + ms(700);
    expect_that!(
        poll(at).next(later, Some(later), false),
        eq(FollowStep::Respond)
    );
    expect_that!(
        poll(at).next(at + WAIT, confirmed, false),
        eq(FollowStep::Respond)
    );
    let failover = FollowPoll {
        is_failover: true,
        ..poll(at)
    };
    expect_that!(failover.next(at, confirmed, false), eq(FollowStep::Respond));
}

/// Guards against records of an old view that are sent as the newest ones, and against a reader that
/// refuses before it had the time to confirm its view.
#[gtest]
fn next_old_view() {
    let at = ms(10_000);
    let old = Some(at.saturating_sub(MAX_VIEW_AGE));
    let waits = FollowStep::Wait(at + CONFIRMATION_TIME);
    for confirmed in [None, old] {
        expect_that!(poll(at).next(at, confirmed, true), eq(waits));
        let end = at + CONFIRMATION_TIME;
        expect_that!(
            poll(at).next(end, confirmed, true),
            eq(FollowStep::RefuseAsBehind)
        );
    }
}

/// Guards against a follower that takes a reader for lost which answers within the time that it was asked
/// for: the reader may have confirmed its view since its last answer, and then waits for news.
#[gtest]
fn requested_wait_reader_confirmed_meanwhile() {
    let at = ms(10_000);
    for view_age in [0, 400, 900, 1_350, 1_600, 5_000] {
        let wait = FollowPoll::requested_wait(WAIT, Some(ms(view_age)), MAX_VIEW_AGE);
        expect_that!(wait, all![ge(CONFIRMATION_TIME), le(WAIT)]);
        let follow = FollowPoll {
            until: at + wait,
            ..poll(at)
        };
        let confirmed = Some(at.saturating_sub(ms(1)));
        expect_that!(
            follow.next(at, confirmed, false),
            eq(FollowStep::Wait(at + wait))
        );
        expect_that!(
            follow.next(at + wait, confirmed, false),
            eq(FollowStep::Respond)
        );
    }
}

/// Guards against followers that try the store again after 0.15 s while it is away for all nodes. It took
/// 1,000 further calls to the store on a day with an outage of 8 s.
#[gtest]
fn next_store_is_away() {
    let at = ms(10_000);
    let follow = FollowPoll {
        is_store_away: true,
        ..poll(at)
    };
    expect_that!(follow.next(at, None, true), eq(FollowStep::Wait(at + WAIT)));
    expect_that!(
        follow.next(at + WAIT, None, true),
        eq(FollowStep::RefuseAsBehind)
    );
    let confirmed = at + ms(900);
    expect_that!(
        follow.next(confirmed, Some(confirmed), false),
        eq(FollowStep::Respond)
    );
}

/// Guards against a follower that stays with a reader which is cut off from the store, or silent as
/// well, until a configuration is late. The follower left 2.7 s after the reader's last confirmation,
/// with 3 s until the configuration had to be in force on an instance with 0.1 cores and 10 Mbit/s.
#[gtest]
fn next_reader_is_cut_off() {
    let mut latest = Duration::ZERO;
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let confirmed = ms(10_000);
        let silent_from = rng
            .random_bool(0.3)
            .then(|| confirmed + ms(rng.random_range(0..2_000)));
        let mut view_age_at = confirmed;
        // The follower asks again as soon as it has an answer, at any time of the reader's cycle.
        let mut began = confirmed.saturating_sub(ms(rng.random_range(0..1_350)));
        let left_at = loop {
            let view_age = began.saturating_sub(view_age_at);
            let wait = FollowPoll::requested_wait(WAIT, Some(view_age), MAX_VIEW_AGE);
            let follow = FollowPoll {
                until: began + wait,
                ..poll(began)
            };
            let mut now = began.max(confirmed);
            let step = loop {
                match follow.next(now, Some(confirmed), false) {
                    FollowStep::Wait(until) => now = until,
                    step => break step,
                }
            };
            let answered = silent_from.is_none_or(|from| now < from);
            if !answered || now > began + wait + ms(350) {
                break began + wait + ms(350);
            }
            if step == FollowStep::RefuseAsBehind {
                break now;
            }
            view_age_at = confirmed;
            began = now + ms(rng.random_range(1..30));
        };
        latest = latest.max(left_at.saturating_sub(confirmed));
    }
    let limit = REQUIRED_TIME.mul_f64(LEAVE_SHARE) + CONFIRMATION_TIME;
    expect_that!(latest, le(limit));
}
