//! A backend server that is cold, under loads above the rate that it tolerates.

use std::time::Duration;

use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sycamorewick::coordination::room::cold_start::ColdBound;
use sycamorewick::coordination::room::cold_start::ColdStart;
use sycamorewick::coordination::room::cold_start::PROBE_TIMEOUT;
use sycamorewick::coordination::slot_queue::Admit;
use sycamorewick::coordination::slot_queue::Offer;
use sycamorewick::coordination::slot_queue::SlotQueue;
use sycamorewick::coordination::slot_queue::Ticket;
use sycamorewick::protocol::hop::RequestRate;
use sycamorewick::protocol::name::RouteName;

const ROUTE: &str = "lookup";
const SLOTS: u32 = 6;
/// Rate that a cold backend server tolerates, and the rule for requests beyond it.
const PER_S: f64 = 13.0;
const EXCESS: f64 = 1.5;
const SLACK: f64 = 8.0;
const WINDOW: Duration = Duration::from_secs(1);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn rate(per_s: f64) -> RequestRate {
    RequestRate::from_per_s(per_s).expect("a rate")
}

fn bound() -> ColdBound {
    ColdBound::new(rate(PER_S), EXCESS, SLACK)
}

fn count(items: usize) -> f64 {
    f64::from(u32::try_from(items).unwrap_or(u32::MAX))
}

fn offer(now: Duration, priority: u8) -> Offer {
    Offer {
        route: ROUTE.into(),
        workspace: None,
        workspace_priority: 0,
        priority,
        objective: ms(500),
        objective_at: now + ms(500),
        deadline: now + ms(2_000),
        accepts_late: priority % 2 == 1,
        is_spillover: false,
    }
}

/// A queue of a process that has just started.
fn started_queue(now: Duration, bound: Option<ColdBound>) -> SlotQueue {
    let mut queue = SlotQueue::new(SLOTS);
    queue.cold_start_mut().set_bound(now, bound);
    queue
}

fn new_queue(bound: Option<ColdBound>) -> SlotQueue {
    started_queue(ms(0), bound)
}

/// A backend server and the node beside it, with calls at random times.
struct Bench {
    rng: StdRng,
    now: Duration,
    queue: SlotQueue,
    offered_per_s: f64,
    /// Number of priorities, which are equally frequent.
    priorities: u8,
    next_offer: Duration,
    /// Ends of the running calls, unsorted.
    ends: Vec<(Duration, Duration)>,
    waiting: Vec<(Ticket, u8)>,
    /// Calls that were offered, by priority.
    offered: [usize; 3],
    started: Vec<(Duration, u8)>,
    /// Whether the backend server is cold until this time.
    cold_until: Duration,
    cold_since: Duration,
    /// Time from which on the process knows that, or has to assume it.
    known_at: Option<Duration>,
    /// Time at which the backend server became cold once more while it was cold, and the end of the cold state
    /// that the process knows until a report from after that arrives.
    extended: Option<(Duration, Duration)>,
    next_heartbeat: Duration,
    /// Reports on their way: arrival, sending, remaining time.
    reports: Vec<(Duration, Duration, Duration)>,
    /// Latest delay of a report.
    max_delay_ms: u64,
    /// Factor of the run times while the backend server is cold.
    cold_slowness: u32,
    /// Time of an answer of the health path; `None` if it does not answer.
    probe_delay: Option<Duration>,
    probes: Vec<Duration>,
    /// Arrival of the last report.
    reported_at: Duration,
    /// Starts in windows that ended while the backend server was known to be cold: the most that were found.
    most: usize,
}

impl Bench {
    fn new(seed: u64, bound: ColdBound, offered_per_s: f64) -> Self {
        let mut queue = new_queue(Some(bound));
        let cold = queue.cold_start_mut();
        cold.set_heartbeat_interval(HEARTBEAT_INTERVAL);
        Self {
            rng: StdRng::seed_from_u64(seed),
            now: ms(0),
            queue,
            offered_per_s,
            priorities: 3,
            next_offer: ms(0),
            ends: Vec::new(),
            waiting: Vec::new(),
            offered: [0; 3],
            started: Vec::new(),
            cold_until: ms(0),
            cold_since: ms(0),
            known_at: None,
            extended: None,
            next_heartbeat: ms(200),
            reports: Vec::new(),
            max_delay_ms: 300,
            cold_slowness: 2,
            probe_delay: None,
            probes: Vec::new(),
            reported_at: ms(0),
            most: 0,
        }
    }

    fn start(&mut self, priority: u8) {
        let now = self.now;
        self.started.push((now, priority));
        let slow = if now < self.cold_until {
            self.cold_slowness
        } else {
            1
        };
        let run = ms(self.rng.random_range(22..220)) * slow;
        self.ends.push((now + run, run));
        if self.is_known_cold() {
            let first = self.started.partition_point(|(at, _)| *at + WINDOW <= now);
            self.most = self.most.max(self.started.len() - first);
        }
    }

    fn is_known_cold(&self) -> bool {
        self.now < self.cold_until
            && self.known_at.is_some_and(|at| at <= self.now)
            && self.extended.is_none_or(|(_, end)| self.now < end)
    }

    /// Makes the backend server cold, which the process does not know before the next report.
    fn become_cold(&mut self, for_time: Duration) {
        if self.now >= self.cold_until {
            self.known_at = None;
            self.cold_since = self.now;
        } else if self.extended.is_none() {
            self.extended = Some((self.now, self.cold_until));
        }
        self.cold_until = self.now + for_time;
    }

    /// Replaces the process beside the backend server. It knows nothing and has to assume a cold state.
    fn restart_process(&mut self, bound: ColdBound) {
        self.queue = started_queue(self.now, Some(bound));
        let cold = self.queue.cold_start_mut();
        cold.set_heartbeat_interval(HEARTBEAT_INTERVAL);
        self.ends.clear();
        self.waiting.clear();
        self.known_at = Some(self.now);
    }

    /// Starts the backend server anew. The first heartbeat names its state.
    fn restart_backend(&mut self, cold_for: Duration) {
        self.queue.cold_start_mut().on_lost(self.now);
        self.ends.clear();
        self.known_at = Some(self.now);
        self.cold_since = self.now;
        self.extended = None;
        self.cold_until = self.now + cold_for;
        self.queue.on_start(self.cold_until);
        self.reports.clear();
        self.next_heartbeat = self.now + ms(50);
    }

    fn heartbeats(&mut self) {
        if self.next_heartbeat <= self.now {
            let delay = ms(self.rng.random_range(0..=self.max_delay_ms));
            let left = self.cold_until.saturating_sub(self.now);
            self.reports.push((self.now + delay, self.now, left));
            self.next_heartbeat = self.now + HEARTBEAT_INTERVAL;
        }
        while self.reports.first().is_some_and(|(at, ..)| *at <= self.now) {
            let (_, sent, left) = self.reports.remove(0);
            self.queue.cold_start_mut().on_report(self.now, left);
            self.reported_at = self.now;
            // A late report from before the cold state may end what the process knows of it.
            let is_current = left > ms(0) && sent >= self.cold_since;
            self.known_at = is_current.then(|| self.known_at.unwrap_or(self.now));
            self.extended = self.extended.filter(|(at, _)| sent < *at);
        }
    }

    /// Asks the health path for want of heartbeats, as the sidecar does for each call.
    fn probe_if_silent(&mut self) {
        let cold = self.queue.cold_start_mut();
        if cold.is_silent(self.now) && cold.probe(self.now) {
            self.probes.push(self.now);
            if let Some(delay) = self.probe_delay {
                let left = self.cold_until.saturating_sub(self.now);
                self.reports.push((self.now + delay, self.now, left));
            }
        }
    }

    /// Most starts in a [`WINDOW`] that ends with a start in a time.
    fn most_starts(&self, from: Duration, until: Duration) -> usize {
        let ends = self.started.iter().enumerate();
        let ends = ends.filter(|(_, (at, _))| (from..until).contains(at));
        let counts = ends.map(|(last, (end, _))| {
            let first = self.started.partition_point(|(at, _)| *at + WINDOW <= *end);
            last + 1 - first
        });
        counts.max().unwrap_or(0)
    }

    fn step(&mut self) {
        self.heartbeats();
        let mut changes = vec![self.queue.advance(self.now)];
        self.ends.sort_unstable();
        while self.ends.first().is_some_and(|(end, _)| *end <= self.now) {
            let (_, run) = self.ends.remove(0);
            let route = RouteName::from(ROUTE);
            changes.push(self.queue.finish(self.now, &route, Some(run)));
        }
        for changes in changes {
            for (ticket, _) in changes.refuse {
                self.waiting.retain(|(other, _)| *other != ticket);
            }
            for ticket in changes.start {
                let index = self.waiting.iter().position(|(other, _)| *other == ticket);
                let (_, priority) = self.waiting.remove(index.expect("a call that waits"));
                self.start(priority);
            }
        }
        if self.next_offer <= self.now {
            self.probe_if_silent();
            let priority = self.rng.random_range(0..self.priorities);
            self.offered[usize::from(priority)] += 1;
            match self.queue.offer(self.now, &offer(self.now, priority)) {
                Admit::Start => self.start(priority),
                Admit::Wait(ticket, _) => self.waiting.push((ticket, priority)),
                Admit::Refuse(_) => {}
            }
            let gap = -self.rng.random_range(f64::EPSILON..1.0_f64).ln() / self.offered_per_s;
            self.next_offer += Duration::from_secs_f64(gap);
        }
        let events = [
            self.ends.iter().map(|(end, _)| *end).min(),
            self.reports.first().map(|(at, ..)| *at),
            self.queue.next_start_at(self.now),
            Some(self.next_offer),
            Some(self.next_heartbeat),
        ];
        let next = events.into_iter().flatten().min();
        let next = next.unwrap_or(self.next_offer);
        self.now = next.max(self.now + Duration::from_micros(100));
    }

    fn run_until(&mut self, until: Duration) {
        while self.now < until {
            self.step();
        }
    }
}

/// Guards against a cold backend server that crashes, since its node sends it what a warm one bears, under
/// overload: over restarts of the process, late reports, a backend server that becomes cold again, also twice
/// in a row, and one that starts anew.
#[gtest]
fn starts_under_overload() {
    for seed in 0..40 {
        let mut bench = Bench::new(seed, bound(), 100.0);
        bench.max_delay_ms = [0, 300, 1_200][usize::try_from(seed % 3).expect("a small number")];
        bench.cold_until = ms(6_000);
        bench.known_at = Some(ms(0));
        let mut until = ms(0);
        for _ in 0..20 {
            until += ms(bench.rng.random_range(300..4_000));
            bench.run_until(until);
            let cold_for = ms(bench.rng.random_range(1_500..8_000));
            match bench.rng.random_range(0..4) {
                0 if bench.is_known_cold() => bench.restart_process(bound()),
                1 => bench.restart_backend(cold_for),
                _ => bench.become_cold(cold_for),
            }
        }
        let allowed = PER_S * EXCESS + SLACK;
        assert_that!(count(bench.most), le(allowed), "seed {seed}");
        // The check is void if the bound has never been used.
        expect_that!(bench.most, ge(10), "seed {seed}");
    }
}

/// Guards against a backend server that becomes cold while its heartbeats are late or lost, and gets what a warm one
/// bears for as long as they are. Its runs take as long as before, so that nothing else shows it. Also guards against
/// probes beside heartbeats that come as usual, and against a bound that outlasts the next report.
#[gtest]
fn starts_without_heartbeats() {
    let health = [None, Some(ms(20)), Some(PROBE_TIMEOUT)];
    for (seed, probe_delay) in (0..30).zip(health.into_iter().cycle()) {
        let mut bench = Bench::new(seed, bound(), 100.0);
        bench.max_delay_ms = 1_200;
        bench.cold_slowness = 1;
        bench.probe_delay = probe_delay;
        bench.run_until(ms(20_000));
        expect_that!(bench.probes, is_empty(), "seed {seed}");
        // No further heartbeat is sent, and the backend server is cold just after the last report.
        bench.next_heartbeat = ms(60_000);
        while !bench.reports.is_empty() {
            bench.step();
        }
        let last_report = bench.reported_at;
        bench.become_cold(ms(60_000));
        let bounded_from = last_report + HEARTBEAT_INTERVAL * 2 + PROBE_TIMEOUT;
        bench.run_until(last_report + ms(12_000));

        let allowed = PER_S * EXCESS + SLACK;
        let most = bench.most_starts(bounded_from, bench.now);
        expect_that!(count(most), le(allowed), "seed {seed}");
        expect_that!(most, ge(10), "seed {seed}");
        // The check is void if the load never exceeds what a cold backend server tolerates.
        let before = bench.most_starts(last_report, bounded_from);
        expect_that!(count(before), gt(allowed), "seed {seed}");
        let first = *bench.probes.first().expect("a probe");
        let earliest = last_report + HEARTBEAT_INTERVAL * 2;
        expect_that!(first, all![gt(earliest), lt(earliest + ms(200))]);
        for pair in bench.probes.windows(2) {
            expect_that!(pair[1], ge(pair[0] + ms(500)), "seed {seed}");
        }
        if probe_delay.is_some() {
            // It said that it stays cold.
            expect_that!(bench.probes.len(), eq(1), "seed {seed}");
        }

        bench.cold_until = bench.now;
        bench.next_heartbeat = bench.now;
        let warm_from = bench.now + ms(2_200);
        bench.run_until(warm_from + WINDOW);
        let most = bench.most_starts(warm_from, bench.now);
        expect_that!(count(most), gt(allowed), "seed {seed}");
    }
}

/// Guards against a node that sends the burst of its bucket once more each time that its process restarts.
#[gtest]
fn starts_over_many_restarts() {
    let mut bench = Bench::new(1, bound(), 100.0);
    bench.become_cold(ms(20_000));
    bench.known_at = Some(ms(0));
    for step in 1..100 {
        bench.run_until(ms(step * 200));
        bench.restart_process(bound());
    }
    expect_that!(count(bench.most), le(PER_S + 1.0));
}

/// Guards against a bound of which only a part is used, and against urgent calls that lose the few requests of a
/// cold backend server to less urgent ones: as many of them start as without the others.
#[gtest]
fn starts_urgent_first() {
    for seed in 0..5 {
        let run = |offered_per_s, priorities| {
            let mut bench = Bench::new(seed, bound(), offered_per_s);
            bench.priorities = priorities;
            bench.become_cold(ms(60_000));
            bench.run_until(ms(60_000));
            bench
        };
        let urgent = |bench: &Bench| {
            let calls = bench.started.iter().filter(|(_, of)| *of == 0);
            count(calls.count()) / count(bench.offered[0])
        };
        let (alone, mixed) = (run(10.0, 1), run(30.0, 3));
        let per_s = count(mixed.started.len()) / 60.0;
        expect_that!(per_s, all![ge(PER_S * 0.85), le(PER_S * 1.02)], "{seed}");
        let shares = (urgent(&alone), urgent(&mixed));
        expect_that!(shares.1, ge(shares.0 * 0.9), "seed {seed}, {shares:?}");
        expect_that!(shares.1, ge(0.75), "seed {seed}, {shares:?}");
    }
}

/// Guards against an urgent call that waits behind less urgent ones, for which no request is left, although one is
/// kept for it.
#[gtest]
fn offer_urgent_beside_waiting() {
    let mut queue = new_queue(Some(bound()));
    queue.cold_start_mut().on_report(ms(0), ms(60_000));
    let now = ms(1_000);
    expect_that!(queue.offer(now, &offer(now, 0)), eq(Admit::Start));
    let less_urgent = queue.offer(now, &offer(now, 2));
    expect_that!(less_urgent, matches_pattern!(Admit::Wait(_, _)));
    expect_that!(queue.offer(now, &offer(now, 0)), eq(Admit::Start));
}

/// Guards against a burst at the moment at which a report makes it known that the backend server is cold: the
/// requests of the second before count.
#[gtest]
fn on_report_cold_under_load() {
    let mut queue = new_queue(Some(bound()));
    queue.cold_start_mut().on_report(ms(0), ms(0));
    let route = RouteName::from(ROUTE);
    for step in 0..50 {
        let now = ms(1_000 + step * 10);
        expect_that!(queue.offer(now, &offer(now, 0)), eq(Admit::Start));
        queue.finish(now, &route, Some(ms(10)));
    }
    expect_true!(queue.cold_start_mut().on_report(ms(1_500), ms(5_000)));
    // The last 16 starts, which fill a window of the bound, are at 1,340 ms and later.
    let delay = queue.cold_start().delay(ms(1_500), 0, (0, 0));
    expect_that!(delay, eq(ms(840)));
}

/// Guards against a bound that a configuration with little or no room beyond the tolerated rate violates.
#[gtest]
fn bound_within_rule() {
    for (per_s, excess, slack) in [
        (13.0, 1.5, 8.0),
        (13.0, 1.0, 0.0),
        (13.0, 1.1, 0.0),
        (13.0, 0.5, 0.0),
        (2.0, 1.0, 0.0),
        (1.0, 1.0, 0.0),
        (200.0, 1.0, 3.0),
        (0.5, 1.0, 2.0),
    ] {
        let bound = ColdBound::new(rate(per_s), excess, slack);
        let allowed: f64 = per_s * excess + slack;
        expect_that!(count(bound.per_window()), le(allowed), "{bound:?}");
        expect_that!(bound.per_s(), all![gt(0.0), le(per_s)], "{bound:?}");
    }
    expect_that!(bound().per_s(), eq(PER_S));
}

/// Guards against a node that sends at full rate before it has read the configuration, beside a backend server
/// that has reported to be cold.
#[gtest]
fn bound_without_configuration() {
    let early = ColdBound::without_configuration(SLACK).expect("a bound");
    expect_that!(count(early.per_window()), le(SLACK));
    expect_that!(ColdBound::without_configuration(0.0), none());
    let mut queue = new_queue(Some(early));
    queue.cold_start_mut().on_report(ms(0), ms(0));
    expect_that!(queue.offer(ms(0), &offer(ms(0), 2)), eq(Admit::Start));
}

/// Guards against a process that has just started and takes the backend server for warm before any report, and
/// against an older report that goes before a newer one.
#[gtest]
fn on_report_newest_counts() {
    let mut cold = ColdStart::default();
    cold.set_bound(ms(0), Some(bound()));
    expect_true!(cold.is_cold(ms(60_000)));
    expect_true!(cold.on_report(ms(60_000), ms(0)));
    expect_that!(cold.per_s(ms(60_000)), none());
    expect_true!(cold.on_report(ms(61_000), ms(4_000)));
    expect_false!(cold.on_report(ms(62_000), ms(1_000)));
    expect_true!(cold.is_cold(ms(62_999)));
    expect_false!(cold.is_cold(ms(63_000)));
    // The rate rises before the bound ends.
    expect_that!(cold.per_s(ms(63_100)), some(eq(PER_S * 2.0)));
    expect_that!(cold.per_s(ms(63_500)), none());
    cold.on_lost(ms(70_000));
    expect_true!(cold.is_cold(ms(70_000)));
    cold.on_report(ms(70_500), ms(0));
    expect_that!(cold.per_s(ms(70_500)), none());
}

/// Guards against a refusal that asks to come back before a request may start, or long after.
#[gtest]
fn offer_refused_until_token() {
    let bound = ColdBound::new(rate(2.0), 1.0, 1.0);
    let mut queue = new_queue(Some(bound));
    queue.cold_start_mut().on_report(ms(0), ms(60_000));
    let call = |now| offer(ms(now), 2);
    let refused = queue.offer(ms(0), &call(0));
    expect_that!(refused, eq(Admit::Refuse(ms(500))));
    expect_that!(
        queue.would_refuse(ms(0), &call(0)),
        some(eq(Duration::from_millis(500)))
    );
    expect_that!(queue.offer(ms(600), &call(600)), eq(Admit::Start));
    // After the end of the cold state the next token comes in half the time.
    queue.cold_start_mut().on_report(ms(600), ms(0));
    let waiting = queue.offer(ms(650), &call(650));
    expect_that!(waiting, matches_pattern!(Admit::Wait(_, _)));
}

/// Guards against a bound on services that have none: all decisions stay the same.
#[gtest]
fn offer_without_bound() {
    let mut plain = SlotQueue::new(SLOTS);
    let mut reported = new_queue(None);
    reported.cold_start_mut().on_report(ms(0), ms(60_000));
    let mut rng = StdRng::seed_from_u64(5);
    for step in 0..2_000 {
        let now = ms(step * 7);
        let call = offer(now, rng.random_range(0..3));
        expect_that!(reported.offer(now, &call), eq(plain.offer(now, &call)));
        let run = ms(rng.random_range(22..220));
        let route = RouteName::from(ROUTE);
        let changes = plain.finish(now, &route, Some(run));
        expect_that!(reported.finish(now, &route, Some(run)), eq(&changes));
        expect_that!(reported.load_at(now), eq(plain.load()));
        expect_that!(reported.next_start_at(now), none());
    }
    expect_false!(reported.cold_start_mut().probe(ms(0)));
}

/// Guards against entry nodes that count on all slots of a cold backend server.
#[gtest]
fn load_while_cold() {
    let mut queue = new_queue(Some(bound()));
    queue.finish(ms(0), &RouteName::from(ROUTE), Some(ms(160)));
    queue.cold_start_mut().on_report(ms(0), ms(5_000));
    expect_that!(queue.load_at(ms(1_000)).slots, eq(2));
    expect_that!(queue.load_at(ms(6_000)).slots, eq(SLOTS));
    expect_that!(queue.load_at(ms(1_000)).limit, none());
}

/// Guards against probes that cost more than they tell: for each call, or while the answer is known.
#[gtest]
fn probe_only_if_needed() {
    let mut cold = ColdStart::default();
    cold.set_heartbeat_interval(HEARTBEAT_INTERVAL);
    cold.set_bound(ms(0), Some(bound()));
    cold.on_report(ms(0), ms(0));
    let probes = (0..100).filter(|step| cold.probe(ms(step * 50)));
    expect_that!(probes.count(), eq(10));
    cold.on_report(ms(6_000), ms(5_000));
    expect_false!(cold.probe(ms(7_000)));
    expect_true!(cold.probe(ms(10_000)));
    expect_false!(cold.is_silent(ms(8_000)));
    expect_true!(cold.is_silent(ms(9_001)));
}

/// Guards against a backend server that becomes cold unnoticed between two heartbeats, and against probes that
/// run times within their usual spread cause.
#[gtest]
fn on_run_slow_runs() {
    let route = RouteName::from(ROUTE);
    let mut rng = StdRng::seed_from_u64(7);
    let (mut found_after, mut false_alarms) = (0, 0);
    for _ in 0..50 {
        let mut cold = ColdStart::default();
        cold.set_bound(ms(0), Some(bound()));
        cold.on_report(ms(0), ms(0));
        for _ in 0..200 {
            let run = ms(rng.random_range(22..220));
            false_alarms += usize::from(cold.on_run(ms(0), &route, run));
        }
        for run in 1..=100 {
            let slow = ms(rng.random_range(44..440));
            if cold.on_run(ms(0), &route, slow) {
                found_after += run;
                break;
            }
            assert_that!(run, lt(100));
        }
    }
    expect_that!(false_alarms, le(10));
    // A mean of 20 runs takes less than a heartbeat interval at 30 runs a second.
    expect_that!(found_after / 50, le(20));
}
