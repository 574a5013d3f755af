//! Admission control on the serving node: queue, concurrency limit, draining, and overload.

mod request_common;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use request_common::for_seeds;
use request_common::ms;
use sycamorewick::coordination::admission::Admission;
use sycamorewick::coordination::admission::Admit;
use sycamorewick::coordination::admission::CallState;
use sycamorewick::coordination::admission::Changes;
use sycamorewick::coordination::admission::MAX_QUEUE_WAIT;
use sycamorewick::coordination::admission::Permit;
use sycamorewick::coordination::admission::RunEnd;
use sycamorewick::coordination::admission::STANDING_INTERVAL;
use sycamorewick::coordination::admission::Ticket;
use sycamorewick::protocol::call::Executed;
use sycamorewick::result_code::ResultCode;

const LATER: Duration = Duration::from_secs(10);

fn run(admission: &mut Admission, now: Duration) -> Permit {
    match admission.offer(now, LATER) {
        Admit::Run(permit) => permit,
        other => panic!("expected a permit, found {other:?}"),
    }
}

fn wait(admission: &mut Admission, now: Duration, deadline: Duration) -> Ticket {
    match admission.offer(now, deadline) {
        Admit::Wait(ticket) => ticket,
        other => panic!("expected a ticket, found {other:?}"),
    }
}

/// The queue must be bounded and start calls in the order of arrival, and the wait must be bounded.
#[gtest]
fn queue_is_first_in_first_out_and_bounded() {
    let mut admission = Admission::new(1, 3);
    let permit = run(&mut admission, ms(0));
    let first = wait(&mut admission, ms(1), LATER);
    let short = wait(&mut admission, ms(2), ms(20));
    let last = wait(&mut admission, ms(3), LATER);
    expect_that!(
        admission.offer(ms(4), LATER),
        eq(&Admit::Refuse(ResultCode::Overloaded))
    );
    expect_that!(admission.load(), eq(4));
    expect_that!(admission.next_tick(ms(4)), some(eq(ms(20))));
    let changes = admission.tick(ms(20));
    expect_that!(
        changes.refuse,
        elements_are![eq(&(short, ResultCode::DeadlineExceeded))]
    );
    let changes = admission.finish(ms(30), permit, RunEnd::Responded);
    expect_that!(
        changes.start.iter().map(|s| s.0).collect::<Vec<_>>(),
        eq(&[first])
    );
    let changes = admission.tick(ms(3) + MAX_QUEUE_WAIT);
    expect_that!(
        changes.refuse,
        elements_are![eq(&(last, ResultCode::Overloaded))]
    );
    let late = admission.offer(ms(200), ms(200));
    expect_that!(late, eq(&Admit::Refuse(ResultCode::DeadlineExceeded)));
}

/// A standing queue must start the newest call first and refuse others early. In the order of arrival,
/// each call would run only after its caller has given up.
#[gtest]
fn standing_queue_starts_newest_and_refuses_early() {
    let mut admission = Admission::new(1, 100);
    let mut permit = run(&mut admission, ms(0));
    let mut refused = Vec::new();
    for time in 0..200 {
        wait(&mut admission, ms(time), LATER);
        let changes = admission.tick(ms(time));
        refused.extend(changes.refuse.iter().map(|_| time));
        if time % 10 == 9 {
            let mut changes = admission.finish(ms(time), permit, RunEnd::Responded);
            refused.extend(changes.refuse.iter().map(|_| time));
            permit = changes.start.remove(0).1;
        }
    }
    let first = refused.first().copied().unwrap_or_default();
    expect_that!(ms(first), ge(STANDING_INTERVAL));
    // Two starts, 10 ms apart, and the running call.
    expect_that!(admission.load(), lt(25));
}

/// A draining node must neither accept new calls nor keep queued ones (invariant 9).
#[gtest]
fn drain_hands_queue_back_and_lets_calls_finish() {
    let mut admission = Admission::new(1, 3);
    let permit = run(&mut admission, ms(0));
    let queued = wait(&mut admission, ms(1), LATER);
    let cancelled = wait(&mut admission, ms(1), LATER);
    expect_that!(admission.cancel(cancelled), eq(true));
    expect_that!(admission.cancel(cancelled), eq(false));
    expect_that!(admission.drain(), eq(&[queued]));
    expect_that!(
        admission.offer(ms(2), LATER),
        eq(&Admit::Refuse(ResultCode::Draining))
    );
    expect_that!(admission.is_drained(), eq(false));
    let changes = admission.finish(ms(9), permit, RunEnd::Responded);
    expect_that!(changes, eq(&Changes::default()));
    expect_that!(admission.is_drained(), eq(true));
}

/// A forwarded call must not be answered with "not run".
#[gtest]
#[should_panic(expected = "invariant violated: number 6")]
fn answer_not_run_for_forwarded_call_violates_invariant_6() {
    let mut admission = Admission::new(1, 3);
    let permit = run(&mut admission, ms(0));
    let mut refused = CallState::new();
    expect_that!(refused.answer(Executed::No), eq(Executed::No));
    let mut state = CallState::new();
    state.forward(&permit);
    let _ = state.answer(Executed::No);
}

/// There must be no more permits than slots, no lost calls, and one decision for each ticket.
#[gtest]
fn random_sessions_account_for_all_calls() {
    for_seeds(
        "admission::random_sessions_account_for_all_calls",
        200,
        |_, rng| {
            let slots = rng.random_range(1..=10);
            let mut admission = Admission::new(slots, 8);
            let mut running: Vec<Permit> = Vec::new();
            let mut waiting: Vec<Ticket> = Vec::new();
            let mut now = ms(0);
            for _ in 0..500 {
                now += Duration::from_micros(rng.random_range(0..8_000));
                let mut changes = Changes::default();
                match rng.random_range(0..10) {
                    0..=4 => {
                        let deadline = now + ms(rng.random_range(1..200));
                        match admission.offer(now, deadline) {
                            Admit::Run(permit) => running.push(permit),
                            Admit::Wait(ticket) => waiting.push(ticket),
                            Admit::Refuse(code) => assert_eq!(code, ResultCode::Overloaded),
                        }
                    }
                    5..=7 if !running.is_empty() => {
                        let permit = running.swap_remove(rng.random_range(0..running.len()));
                        let ends = [RunEnd::Responded, RunEnd::Responded, RunEnd::Shed];
                        let end = ends[rng.random_range(0..ends.len())];
                        changes = admission.finish(now, permit, end);
                    }
                    8 if !waiting.is_empty() => {
                        let ticket = waiting.swap_remove(rng.random_range(0..waiting.len()));
                        assert!(admission.cancel(ticket));
                    }
                    _ => changes = admission.tick(now),
                }
                let refused = changes.refuse.iter().map(|refused| refused.0);
                let started = changes.start.iter().map(|started| started.0);
                for ticket in started.chain(refused).collect::<Vec<_>>() {
                    let index = waiting.iter().position(|waits| *waits == ticket);
                    waiting.swap_remove(index.expect("a ticket got two decisions"));
                }
                running.extend(changes.start.into_iter().map(|started| started.1));
                assert_eq!(admission.load() as usize, running.len() + waiting.len());
                assert!(running.len() <= slots as usize);
                assert!(admission.limit() >= 1);
                assert!(admission.next_tick(now).is_some() || waiting.is_empty());
            }
        },
    );
}

#[derive(Clone, Copy)]
enum Queue {
    Fifo,
    Fixed,
    Adaptive,
}

/// A backend server with 10 announced slots.
#[derive(Clone, Copy)]
struct Backend {
    mean: Duration,
    /// Concurrency above which calls slow each other down quadratically.
    knee: u32,
}

#[derive(Debug, Default)]
struct Outcome {
    good: u32,
    late: u32,
    refused: u32,
    latency: Vec<Duration>,
}

const SLOTS: u32 = 10;
const DEADLINE: Duration = Duration::from_millis(300);
const EXPERIMENT: Duration = Duration::from_secs(20);

enum Step {
    Arrive,
    Finish {
        start: Duration,
        permit: Option<Permit>,
        began: Duration,
    },
    Tick,
}

/// Simulates open-loop arrivals at `rate` calls per second after one second at a tenth of that
/// rate. Returns the results of the calls that arrived after two seconds.
fn overload(queue: Queue, backend: Backend, rate: f64, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut admission = Admission::new(SLOTS, 100);
    let mut fifo: VecDeque<Duration> = VecDeque::new();
    let mut arrivals: Vec<(Ticket, Duration)> = Vec::new();
    let mut running = 0_u32;
    let mut events = BTreeMap::from([((ms(0), 0), Step::Arrive), ((ms(0), 1), Step::Tick)]);
    let mut sequence = 2;
    let mut result = Outcome::default();
    let measured = ms(2_000);
    while let Some(((now, _), step)) = events.pop_first() {
        let mut start: Vec<(Duration, Option<Permit>)> = Vec::new();
        let mut changes = Changes::default();
        let mut push = |time: Duration, step: Step| {
            sequence += 1;
            events.insert((time, sequence), step);
        };
        match step {
            Step::Arrive => {
                let rate = if now < ms(1_000) { rate / 10.0 } else { rate };
                let gap = -rng.random::<f64>().max(1e-9).ln() / rate;
                if now < EXPERIMENT {
                    push(now + Duration::from_secs_f64(gap), Step::Arrive);
                }
                match queue {
                    Queue::Fifo if running < SLOTS => start.push((now, None)),
                    Queue::Fifo => fifo.push_back(now),
                    Queue::Fixed | Queue::Adaptive => match admission.offer(now, now + DEADLINE) {
                        Admit::Run(permit) => start.push((now, Some(permit))),
                        Admit::Wait(ticket) => arrivals.push((ticket, now)),
                        Admit::Refuse(_) => result.refused += u32::from(now >= measured),
                    },
                }
            }
            Step::Finish {
                start: arrived,
                permit,
                began,
            } => {
                running -= 1;
                if arrived >= measured {
                    let latency = now.checked_sub(arrived).unwrap();
                    if latency <= DEADLINE {
                        result.good += 1;
                        result.latency.push(latency);
                    } else {
                        result.late += 1;
                    }
                }
                match (queue, permit) {
                    (Queue::Fifo, _) => start.extend(fifo.pop_front().map(|a| (a, None))),
                    (Queue::Fixed, Some(permit)) => {
                        changes = admission.finish(now, permit, RunEnd::Aborted);
                    }
                    (Queue::Adaptive, Some(permit)) => {
                        let timed_out = now.checked_sub(began).unwrap() > DEADLINE;
                        let end = if timed_out {
                            RunEnd::TimedOut
                        } else {
                            RunEnd::Responded
                        };
                        changes = admission.finish(now, permit, end);
                    }
                    _ => unreachable!(),
                }
            }
            Step::Tick => {
                changes = admission.tick(now);
                if now < EXPERIMENT {
                    push(now + ms(1), Step::Tick);
                }
            }
        }
        let mut arrived = |ticket: Ticket| {
            let index = arrivals.iter().position(|entry| entry.0 == ticket).unwrap();
            arrivals.swap_remove(index).1
        };
        for (ticket, _) in changes.refuse {
            result.refused += u32::from(arrived(ticket) >= measured);
        }
        for (ticket, permit) in changes.start {
            start.push((arrived(ticket), Some(permit)));
        }
        for (arrived, permit) in start {
            running += 1;
            let contention = (f64::from(running) / f64::from(backend.knee)).max(1.0);
            let mean = backend.mean.as_secs_f64() * contention * contention;
            let time = -rng.random::<f64>().max(1e-9).ln() * mean;
            let step = Step::Finish {
                start: arrived,
                permit,
                began: now,
            };
            push(now + Duration::from_secs_f64(time), step);
        }
    }
    result.latency.sort_unstable();
    result
}

fn table(name: &str, backend: Backend, capacity: f64, base: Queue) -> Vec<(f64, f64)> {
    let seconds = EXPERIMENT.as_secs_f64() - 2.0;
    println!("{name}, capacity {capacity:.0}/s, deadline {DEADLINE:?}, goodput per second:");
    println!("load  base  good  late  p99 ms | adaptive  good  late  refused  p99 ms");
    let mut goodput = Vec::new();
    for load in [0.5, 1.0, 1.5, 2.0, 3.0, 4.0] {
        let results =
            [base, Queue::Adaptive].map(|queue| overload(queue, backend, load * capacity, 1));
        let [old, new] = results.each_ref().map(|r| f64::from(r.good) / seconds);
        let p99 = |r: &Outcome| {
            r.latency
                .get(r.latency.len() * 99 / 100)
                .map_or(0, Duration::as_millis)
        };
        println!(
            "{load:>4}       {old:>5.0} {:>5.0} {:>7} |          {new:>5.0} {:>5.0} {:>8.0} {:>7}",
            f64::from(results[0].late) / seconds,
            p99(&results[0]),
            f64::from(results[1].late) / seconds,
            f64::from(results[1].refused) / seconds,
            p99(&results[1]),
        );
        goodput.push((old, new));
    }
    goodput
}

/// Goodput must not collapse under overload, as it does with a plain FIFO queue.
#[gtest]
fn overload_keeps_goodput() {
    let backend = Backend {
        mean: ms(20),
        knee: SLOTS,
    };
    let capacity = 500.0;
    let goodput = table(
        "plain FIFO queue and admission",
        backend,
        capacity,
        Queue::Fifo,
    );
    for (load, (_, new)) in [0.5_f64, 1.0, 1.5, 2.0, 3.0, 4.0].into_iter().zip(&goodput) {
        expect_that!(*new, ge(0.9 * capacity * load.min(1.0)));
    }
    expect_that!(goodput[5].0, lt(0.2 * capacity));
}

/// The limit must fall below the announced slots if the backend server cannot serve that many calls
/// at once.
#[gtest]
fn overload_of_wrongly_sized_backend_reduces_limit() {
    let backend = Backend {
        mean: ms(20),
        knee: 4,
    };
    let capacity = 4.0 / 0.020;
    let goodput = table(
        "fixed and adaptive limit, knee at 4 of 10 slots",
        backend,
        capacity,
        Queue::Fixed,
    );
    for (old, new) in &goodput[2..] {
        expect_that!(*new, ge(1.2 * old));
    }
}

/// The limit must not fall below one, and must rise again after the backend server has recovered.
#[gtest]
fn limit_falls_by_shedding_and_recovers() {
    let mut admission = Admission::new(10, 100);
    let mut now = ms(0);
    let mut limits = Vec::new();
    for round in 0..60 {
        let mut permits: Vec<Permit> = Vec::new();
        while let Admit::Run(permit) = admission.offer(now, now + ms(50)) {
            permits.push(permit);
        }
        now += ms(20);
        for permit in permits {
            let end = if round < 10 {
                RunEnd::Shed
            } else {
                RunEnd::Responded
            };
            for (_, permit) in admission.finish(now, permit, end).start {
                let _ = admission.finish(now, permit, RunEnd::Aborted);
            }
        }
        now += ms(200);
        let _ = admission.tick(now);
        limits.push(admission.limit());
    }
    println!("limit by round, shed until round 10: {limits:?}");
    expect_that!(limits[9], eq(1));
    expect_that!(limits[59], eq(10));
}

/// The limit must not fall further and further when the calls themselves take longer.
#[gtest]
fn limit_ignores_latency_that_it_does_not_influence() {
    let mut admission = Admission::new(10, 100);
    let mut now = ms(0);
    let mut limits = Vec::new();
    for round in 0..150 {
        let mut permits: Vec<Permit> = Vec::new();
        while permits.len() < 10 {
            let Admit::Run(permit) = admission.offer(now, now + LATER) else {
                break;
            };
            permits.push(permit);
        }
        now += ms(if round < 50 { 20 } else { 100 });
        for permit in permits {
            let _ = admission.finish(now, permit, RunEnd::Responded);
        }
        let _ = admission.tick(now + MAX_QUEUE_WAIT);
        now += MAX_QUEUE_WAIT;
        limits.push(admission.limit());
    }
    println!(
        "limit by round, five times the latency from round 50: {:?}",
        &limits[45..]
    );
    expect_that!(limits, each(ge(&5)));
    expect_that!(limits[149], eq(10));
}
