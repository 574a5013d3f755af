//! Load beyond the capacity of a backend server, with callers that come back, in virtual time. The
//! pattern is the metastable failure (`HotOS` 2021): callers that are refused come back late, and if they
//! take the slots of new ones, nearly every response is late, also long after the load has fallen.

use std::collections::BinaryHeap;
use std::time::Duration;

use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sycamorewick::coordination::caller_age::CallerAges;
use sycamorewick::coordination::slot_queue::Admit;
use sycamorewick::coordination::slot_queue::Changes;
use sycamorewick::coordination::slot_queue::Offer;
use sycamorewick::coordination::slot_queue::SlotQueue;
use sycamorewick::coordination::slot_queue::Ticket;
use sycamorewick::protocol::name::RouteName;

const SLOTS: u32 = 9;
const RUN: Duration = Duration::from_millis(300);
const OBJECTIVE: Duration = Duration::from_millis(800);
const DEADLINE: Duration = Duration::from_secs(5);
/// Callers wait for 85 to 100 % of the deadline.
const PATIENCE: std::ops::Range<f64> = 0.85..1.0;
const MAX_RETRIES: u32 = 2;

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// A request of one caller over all its tries.
#[derive(Clone, Copy)]
struct Request {
    began: Duration,
    deadline: Duration,
    retries: u32,
    ticket: Option<Ticket>,
}

#[derive(Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    NewRequest,
    Try(usize),
    WaitEnds(usize),
    RunEnds(usize),
}

/// Requests by the second in which they began.
#[derive(Clone, Copy, Debug, Default)]
struct Second {
    asked: u32,
    in_time: u32,
    late: u32,
}

struct Simulation {
    queue: SlotQueue,
    ages: CallerAges,
    route: RouteName,
    rng: StdRng,
    requests: Vec<Request>,
    /// Sorted by time, earliest first.
    events: BinaryHeap<std::cmp::Reverse<(Duration, Event)>>,
    seconds: Vec<Second>,
}

impl Simulation {
    /// Runs a backend server under a load, in multiples of its capacity, that depends on the time.
    fn run(seed: u64, length: usize, load: impl Fn(Duration) -> f64) -> Vec<Second> {
        let mut simulation = Self {
            queue: SlotQueue::new(SLOTS),
            ages: CallerAges::default(),
            route: "browse".into(),
            rng: StdRng::seed_from_u64(seed),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            seconds: vec![Second::default(); length + 1],
        };
        let end = Duration::from_secs(length as u64);
        simulation.schedule(Duration::ZERO, Event::NewRequest);
        while let Some(std::cmp::Reverse((now, event))) = simulation.events.pop() {
            match event {
                Event::NewRequest if now < end => simulation.on_new(now, load(now)),
                Event::NewRequest => {}
                Event::Try(index) => simulation.on_try(now, index),
                Event::WaitEnds(index) => simulation.on_wait_end(now, index),
                Event::RunEnds(index) => simulation.on_run_end(now, index),
            }
        }
        simulation.seconds
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.events.push(std::cmp::Reverse((at, event)));
    }

    fn second(&mut self, at: Duration) -> &mut Second {
        let index = usize::try_from(at.as_secs()).unwrap_or(usize::MAX);
        let last = self.seconds.len() - 1;
        &mut self.seconds[index.min(last)]
    }

    fn on_new(&mut self, now: Duration, load: f64) {
        let capacity = f64::from(SLOTS) / RUN.as_secs_f64();
        let pause = -self.rng.random_range(0.0_f64..1.0).max(1e-9).ln() / (capacity * load);
        self.schedule(now + secs(pause), Event::NewRequest);
        let patience = DEADLINE.mul_f64(self.rng.random_range(PATIENCE));
        self.requests.push(Request {
            began: now,
            deadline: now + patience,
            retries: 0,
            ticket: None,
        });
        self.second(now).asked += 1;
        self.on_try(now, self.requests.len() - 1);
    }

    fn on_try(&mut self, now: Duration, index: usize) {
        let request = self.requests[index];
        let left = request.deadline.saturating_sub(now);
        let is_overdue = self.ages.is_overdue(&self.route, left, OBJECTIVE);
        let mut offer = Offer {
            route: self.route.clone(),
            workspace: None,
            workspace_priority: 0,
            priority: 2,
            objective: OBJECTIVE,
            objective_at: if is_overdue { now } else { now + OBJECTIVE },
            deadline: request.deadline,
            accepts_late: is_overdue,
            is_spillover: false,
        };
        let mut admit = self.queue.offer(now, &offer);
        if matches!(admit, Admit::Refuse(_)) && !offer.accepts_late {
            offer.accepts_late = true;
            admit = self.queue.offer(now, &offer);
        }
        match admit {
            Admit::Start => self.start(now, index),
            Admit::Wait(ticket, until) => {
                self.requests[index].ticket = Some(ticket);
                self.schedule(until, Event::WaitEnds(index));
            }
            Admit::Refuse(retry_after) => self.on_refusal(now, index, retry_after),
        }
    }

    /// Callers honour the retry delay up to a third of the time that they have left.
    fn on_refusal(&mut self, now: Duration, index: usize, retry_after: Duration) {
        let request = &mut self.requests[index];
        let left = request.deadline.saturating_sub(now);
        if request.retries < MAX_RETRIES {
            request.retries += 1;
            let delay = retry_after.mul_f64(self.rng.random_range(1.0..1.5));
            self.schedule(now + delay.min(left / 3), Event::Try(index));
        }
    }

    fn start(&mut self, now: Duration, index: usize) {
        let run = RUN.mul_f64(self.rng.random_range(0.5..1.5));
        self.schedule(now + run, Event::RunEnds(index));
    }

    fn on_wait_end(&mut self, now: Duration, index: usize) {
        if let Some(ticket) = self.requests[index].ticket.take() {
            self.queue.cancel(ticket);
            self.on_refusal(now, index, Duration::from_millis(300));
        }
    }

    fn on_run_end(&mut self, now: Duration, index: usize) {
        let request = self.requests[index];
        let in_time = now <= request.began + OBJECTIVE;
        let is_answered = now <= request.deadline;
        let second = self.second(request.began);
        second.in_time += u32::from(in_time);
        second.late += u32::from(!in_time && is_answered);
        let route = self.route.clone();
        let changes = self.queue.finish(now, &route, Some(RUN));
        self.apply(now, changes);
    }

    fn apply(&mut self, now: Duration, changes: Changes) {
        for ticket in changes.start {
            if let Some(index) = self.take(ticket) {
                self.start(now, index);
            }
        }
        for (ticket, retry_after) in changes.refuse {
            if let Some(index) = self.take(ticket) {
                self.on_refusal(now, index, retry_after);
            }
        }
    }

    fn take(&mut self, ticket: Ticket) -> Option<usize> {
        let mut requests = self.requests.iter();
        let index = requests.rposition(|request| request.ticket == Some(ticket))?;
        self.requests[index].ticket = None;
        Some(index)
    }
}

fn sum(seconds: &[Second]) -> Second {
    seconds.iter().fold(Second::default(), |mut sum, second| {
        sum.asked += second.asked;
        sum.in_time += second.in_time;
        sum.late += second.late;
        sum
    })
}

fn share(part: u32, of: u32) -> f64 {
    f64::from(part) / f64::from(of.max(1))
}

/// Under sustained overload more than 85 % of what is served must be in time, and the backend server
/// must stay busy with it.
#[gtest]
fn overload_is_served_in_time() {
    for (load, seed) in [(1.15, 1), (1.5, 2), (2.0, 3)] {
        let seconds = Simulation::run(seed, 30, |_| load);
        let all = sum(&seconds[5..25]);
        let served = all.in_time + all.late;
        expect_that!(share(all.in_time, served), gt(0.85), "load {load}: {all:?}");
        expect_that!(
            share(all.in_time, all.asked) * load,
            gt(0.8),
            "load {load}: {all:?}"
        );
    }
}

/// After an overload the service must come back by itself within 5 s of the load falling to 0.9 of the
/// capacity.
#[gtest]
fn overload_ends_with_the_load() {
    let load = |now: Duration| {
        if now < Duration::from_secs(10) {
            2.0
        } else {
            0.9
        }
    };
    for seed in 1..=5 {
        let seconds = Simulation::run(seed, 30, load);
        let after = sum(&seconds[15..25]);
        expect_that!(
            share(after.in_time, after.asked),
            gt(0.95),
            "seed {seed}: {after:?}"
        );
    }
}

/// The first try of a caller must not be taken for a later one, whatever its patience.
#[gtest]
fn is_overdue_only_callers_that_came_back() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut ages = CallerAges::default();
    let route = RouteName::from("browse");
    let mut overdue = 0;
    for number in 0..5_000 {
        let patience = DEADLINE.mul_f64(rng.random_range(PATIENCE));
        // Some callers wait much longer than all others.
        let patience = if number % 25 == 0 {
            patience * 4
        } else {
            patience
        };
        overdue += u32::from(ages.is_overdue(&route, patience, OBJECTIVE));
    }
    expect_that!(overdue, eq(0));
    let left = DEADLINE.mul_f64(0.85).saturating_sub(OBJECTIVE);
    expect_true!(ages.is_overdue(&route, left, OBJECTIVE));
}
