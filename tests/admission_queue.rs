//! Calls that wait for a slot of the backend server and are cancelled.

use std::time::Duration;

use actix_rt::System;
use futures_util::FutureExt;
use googletest::prelude::*;
use sycamorewick::coordination::slot_queue::Offer;
use sycamorewick::node::clock::Clock;
use sycamorewick::sidecar::admission::AdmissionQueue;

fn offer(clock: Clock) -> Offer {
    let objective = Duration::from_secs(5);
    Offer {
        route: "lookup".into(),
        workspace: None,
        workspace_priority: 0,
        priority: 1,
        objective,
        objective_at: clock.now() + objective * 10,
        deadline: clock.now() + objective * 20,
        accepts_late: false,
        is_spillover: false,
    }
}

/// A caller that leaves between the decision to start its call and the start must not keep the slot: a
/// backend server with a few slots would soon get no calls at all.
#[gtest]
fn admit_cancelled_after_decision() {
    System::new().block_on(async {
        let clock = Clock::start();
        let admission = AdmissionQueue::new(clock, 1);
        let first = admission.admit(&offer(clock)).await.ok();
        expect_true!(first.is_some());
        let offer_of_second = offer(clock);
        let mut second = Box::pin(admission.admit(&offer_of_second));
        expect_true!(second.as_mut().now_or_never().is_none());
        drop(first);
        expect_that!(admission.with(|queue| queue.load().running), eq(1));
        drop(second);
        expect_that!(admission.with(|queue| queue.load().running), eq(0));
        expect_true!(admission.admit(&offer(clock)).now_or_never().is_some());
    });
}

/// A waiting call that is cancelled must neither start nor count as waiting.
#[gtest]
fn admit_cancelled_while_waiting() {
    System::new().block_on(async {
        let clock = Clock::start();
        let admission = AdmissionQueue::new(clock, 1);
        let first = admission.admit(&offer(clock)).await.ok();
        let offers = [offer(clock), offer(clock)];
        let mut second = Box::pin(admission.admit(&offers[0]));
        let mut third = Box::pin(admission.admit(&offers[1]));
        expect_true!(second.as_mut().now_or_never().is_none());
        expect_true!(third.as_mut().now_or_never().is_none());
        drop(second);
        expect_that!(admission.with(|queue| queue.load().waiting), eq(1));
        drop(first);
        expect_that!(third.await.is_ok(), eq(true));
        expect_that!(admission.with(|queue| queue.load().running), eq(0));
    });
}
