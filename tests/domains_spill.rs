//! Spillover between failure domains under load patterns. Placement, shares and slot queues are the real ones; the
//! model adds callers, run times, paths and a link between the domains, in virtual time.

mod fleet_common;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use fleet_common::SERVICE;
use fleet_common::entry;
use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sycamorewick::coordination::domains::evacuation::Evacuations;
use sycamorewick::coordination::domains::homes::AllowedRegions;
use sycamorewick::coordination::domains::spill::SpillCosts;
use sycamorewick::coordination::domains::spill::SpillEnd;
use sycamorewick::coordination::domains::spill::SpillShares;
use sycamorewick::coordination::placement::AttemptEnd;
use sycamorewick::coordination::placement::Feedback;
use sycamorewick::coordination::placement::Pick;
use sycamorewick::coordination::placement::PickRequest;
use sycamorewick::coordination::placement::Placement;
use sycamorewick::coordination::slot_queue::Admit;
use sycamorewick::coordination::slot_queue::Offer;
use sycamorewick::coordination::slot_queue::SlotQueue;
use sycamorewick::coordination::slot_queue::Ticket;
use sycamorewick::protocol::fleet::FleetEntry;
use sycamorewick::protocol::hop::BackendTotals;
use sycamorewick::protocol::hop::Load;
use sycamorewick::protocol::name::NodeId;
use sycamorewick::protocol::name::RouteName;

const DOMAINS: [&str; 2] = ["accra-a", "keta-a"];
const NODES_PER_DOMAIN: usize = 4;
/// A domain of four serves 400 calls a second at a run time of 60 ms.
const SLOTS: u32 = 6;
const RUN_MS: u64 = 60;
const OBJECTIVE: Duration = Duration::from_millis(250);
const DEADLINE: Duration = Duration::from_secs(1);
/// One way between the domains, milliseconds.
const PATH_MS: u64 = 8;
const RESPONSE_BYTES: u32 = 2_000;
/// Interval of the counts, milliseconds.
const WINDOW_MS: u128 = 500;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

struct Call {
    origin: usize,
    arrived: Duration,
    tried: Vec<NodeId>,
    accepts_late: bool,
    tries: u32,
    sent: Duration,
    pick: Option<Pick>,
    began: Duration,
    run: Duration,
    report: Load,
    end: AttemptEnd,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    New(usize),
    Arrive(usize),
    Done(usize),
    Answer(usize),
    Advance,
}

/// Counts of the callers of one domain in one window.
#[derive(Clone, Copy, Default)]
struct Counts {
    calls: u32,
    in_time: u32,
    sent_away: u32,
    ran_away: u32,
    response_ms: u64,
}

struct Model {
    rng: StdRng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, usize, Event)>>,
    next_event: usize,
    calls: Vec<Call>,
    entries: Vec<Placement>,
    queues: Vec<SlotQueue>,
    waiting: Vec<(usize, Ticket, usize)>,
    /// Calls a second at each node of a domain, by window.
    demand: Box<dyn Fn(usize, Duration) -> f64>,
    /// Factor of the run times in a domain.
    slowness: [f64; 2],
    /// Bytes per millisecond between the domains, and when each direction is free again.
    link: f64,
    link_free: [Duration; 2],
    /// Part of the responses between the domains that take longer, and by how much.
    slow_responses: Option<(f64, Duration)>,
    counts: [Vec<Counts>; 2],
}

fn domain_of(node: usize) -> usize {
    node / NODES_PER_DOMAIN
}

fn name(node: usize) -> NodeId {
    format!("n{node}").as_str().into()
}

fn placement(fleet: &[FleetEntry], node: usize) -> Placement {
    let entry = &fleet[node];
    let (region, domain) = (entry.region.clone(), entry.domain.clone());
    let mut placement = Placement::new(entry.node.clone(), region, domain);
    for entry in fleet {
        placement.on_entry(ms(0), entry);
    }
    placement
}

fn model(seed: u64, backends: [usize; 2]) -> Model {
    let count = DOMAINS.len() * NODES_PER_DOMAIN;
    let fleet: Vec<FleetEntry> = (0..count)
        .map(|node| {
            let domain = DOMAINS[domain_of(node)];
            let port = 7_000 + u16::try_from(node).unwrap_or(0);
            let mut entry = entry(name(node).as_str(), &domain[..4], domain, port, SLOTS);
            if node % NODES_PER_DOMAIN >= backends[domain_of(node)] {
                entry.backend = None;
            }
            entry
        })
        .collect();
    let mut model = Model {
        rng: StdRng::seed_from_u64(seed),
        now: ms(0),
        events: BinaryHeap::new(),
        next_event: 0,
        calls: Vec::new(),
        entries: (0..count)
            .map(|node| placement(&fleet, node).with_spillover())
            .collect(),
        queues: (0..count).map(|_| SlotQueue::new(SLOTS)).collect(),
        waiting: Vec::new(),
        demand: Box::new(|_, _| 40.0),
        slowness: [1.0; 2],
        link: 1e6,
        link_free: [ms(0); 2],
        slow_responses: None,
        counts: [Vec::new(), Vec::new()],
    };
    (0..count).for_each(|node| model.at(ms(0), Event::New(node)));
    model.at(ms(0), Event::Advance);
    model
}

impl Model {
    /// Sends each call to the node with the least cost, as without the setting `spillover`.
    fn without_shares(&mut self) {
        let fleet: Vec<FleetEntry> = self.entries[0].entries().cloned().collect();
        let nodes = 0..fleet.len();
        self.entries = nodes.map(|node| placement(&fleet, node)).collect();
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    fn count(&mut self, domain: usize, arrived: Duration) -> &mut Counts {
        let window = usize::try_from(arrived.as_millis() / WINDOW_MS).unwrap_or(0);
        let counts = &mut self.counts[domain];
        if counts.len() <= window {
            counts.resize(window + 1, Counts::default());
        }
        &mut counts[window]
    }

    fn run(&mut self, until_ms: u64) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > ms(until_ms) {
                self.at(at, event);
                return;
            }
            self.now = at;
            match event {
                Event::New(node) => self.on_new(node),
                Event::Arrive(id) => self.on_arrive(id),
                Event::Done(id) => self.on_done(id),
                Event::Answer(id) => self.on_answer(id),
                Event::Advance => {
                    for node in 0..self.queues.len() {
                        let changes = self.queues[node].advance(at);
                        self.apply(node, &changes.start, &changes.refuse);
                    }
                    self.at(at + ms(5), Event::Advance);
                }
            }
        }
    }

    fn on_new(&mut self, origin: usize) {
        let per_s = (self.demand)(domain_of(origin), self.now);
        let gap = -self.rng.random_range(1e-6_f64..1.0).ln() / per_s;
        self.at(self.now + Duration::from_secs_f64(gap), Event::New(origin));
        self.count(domain_of(origin), self.now).calls += 1;
        self.calls.push(Call {
            origin,
            arrived: self.now,
            tried: Vec::new(),
            accepts_late: false,
            tries: 0,
            sent: self.now,
            pick: None,
            began: self.now,
            run: ms(0),
            report: Load::default(),
            end: AttemptEnd::Cancelled,
        });
        self.send(self.calls.len() - 1);
    }

    fn send(&mut self, id: usize) {
        let call = &mut self.calls[id];
        let (origin, now) = (call.origin, self.now);
        let used = now.saturating_sub(call.arrived);
        call.tries += 1;
        if call.tries > 8 || used >= DEADLINE {
            return;
        }
        let entry = &mut self.entries[origin];
        let own = self.queues[origin].load_at(now);
        entry.on_report(now, &name(origin), own, BackendTotals::default());
        let request = PickRequest {
            service: &SERVICE.into(),
            route: &"lookup".into(),
            objective: OBJECTIVE,
            idempotent: true,
            request_bytes: 0,
            tried: &call.tried,
            is_allowed: &|_, _| true,
            regions: &AllowedRegions::Any,
            evacuations: &Evacuations::default(),
        };
        let Some(pick) = entry.pick(now, &mut self.rng, &request) else {
            if !call.accepts_late {
                call.accepts_late = true;
                call.tried.clear();
                self.send(id);
            }
            return;
        };
        entry.on_start(&pick.node);
        if pick.is_spillover {
            let shares = entry.spill_mut().expect("spillover is on");
            shares.on_start(now, &SERVICE.into(), &pick.domain);
        }
        call.sent = now;
        let arrived = call.arrived;
        let target = self.index_of(&pick.node);
        self.calls[id].pick = Some(pick);
        if domain_of(target) != domain_of(origin) {
            self.count(domain_of(origin), arrived).sent_away += 1;
        }
        let at = self.deliver(origin, target, 500.0);
        self.at(at, Event::Arrive(id));
    }

    fn index_of(&self, node: &NodeId) -> usize {
        let mut names = (0..self.queues.len()).map(name);
        names.position(|other| other == *node).expect("a node")
    }

    fn target_of(&self, id: usize) -> usize {
        let pick = self.calls[id].pick.as_ref().expect("a pick");
        self.index_of(&pick.node)
    }

    /// Returns when a message arrives. All messages between the domains share the link.
    fn deliver(&mut self, from: usize, to: usize, bytes: f64) -> Duration {
        if from == to {
            return self.now;
        }
        if domain_of(from) == domain_of(to) {
            return self.now + ms(1);
        }
        let free = &mut self.link_free[domain_of(from)];
        *free = (*free).max(self.now) + Duration::from_secs_f64(bytes / self.link / 1e3);
        *free + ms(PATH_MS)
    }

    fn on_arrive(&mut self, id: usize) {
        let (now, node) = (self.now, self.target_of(id));
        let call = &self.calls[id];
        let used = call.sent.saturating_sub(call.arrived);
        let offer = Offer {
            route: "lookup".into(),
            workspace: None,
            workspace_priority: 0,
            priority: 1,
            objective: OBJECTIVE.saturating_sub(used),
            objective_at: now + OBJECTIVE.saturating_sub(used),
            deadline: now + DEADLINE.saturating_sub(used),
            accepts_late: call.accepts_late,
            is_spillover: call.pick.as_ref().is_some_and(|pick| pick.is_spillover),
        };
        match self.queues[node].offer(now, &offer) {
            Admit::Start => self.start(id),
            Admit::Refuse(_) => self.answer(id, AttemptEnd::Overloaded),
            Admit::Wait(ticket, _) => self.waiting.push((node, ticket, id)),
        }
    }

    fn apply(&mut self, node: usize, start: &[Ticket], refuse: &[(Ticket, Duration)]) {
        let mut take = |ticket: Ticket| {
            let waiting = self.waiting.iter();
            let index = waiting
                .clone()
                .position(|entry| (entry.0, entry.1) == (node, ticket));
            self.waiting.swap_remove(index.expect("a waiting call")).2
        };
        let started: Vec<usize> = start.iter().map(|ticket| take(*ticket)).collect();
        let refused: Vec<usize> = refuse.iter().map(|(ticket, _)| take(*ticket)).collect();
        for id in started {
            self.start(id);
        }
        for id in refused {
            self.answer(id, AttemptEnd::Overloaded);
        }
    }

    fn start(&mut self, id: usize) {
        let factor = self.slowness[domain_of(self.target_of(id))];
        let run = self.rng.random_range(RUN_MS / 2..RUN_MS * 3 / 2);
        self.calls[id].run = ms(run).mul_f64(factor);
        self.calls[id].began = self.now;
        self.at(self.now + self.calls[id].run, Event::Done(id));
    }

    fn on_done(&mut self, id: usize) {
        let (node, run) = (self.target_of(id), self.calls[id].run);
        let route = RouteName::from("lookup");
        let changes = self.queues[node].finish(self.now, &route, Some(run));
        self.apply(node, &changes.start, &changes.refuse);
        self.answer(id, AttemptEnd::Ran { failed: false });
    }

    fn answer(&mut self, id: usize, end: AttemptEnd) {
        let (node, origin) = (self.target_of(id), self.calls[id].origin);
        self.calls[id].end = end;
        self.calls[id].report = self.queues[node].load_at(self.now);
        let ran = matches!(end, AttemptEnd::Ran { .. });
        let bytes = if ran {
            f64::from(RESPONSE_BYTES)
        } else {
            200.0
        };
        let mut at = self.deliver(node, origin, bytes);
        if let Some((part, delay)) = self.slow_responses
            && domain_of(node) != domain_of(origin)
            && self.rng.random_bool(part)
        {
            at += delay;
        }
        self.at(at, Event::Answer(id));
    }

    fn on_answer(&mut self, id: usize) {
        let now = self.now;
        let call = &mut self.calls[id];
        let (origin, arrived) = (call.origin, call.arrived);
        let pick = call.pick.take().expect("a pick");
        let ran = matches!(call.end, AttemptEnd::Ran { .. });
        let feedback = Feedback {
            incarnation: &pick.incarnation,
            end: call.end,
            run: if ran { call.run } else { ms(0) },
            report: Some((call.report, BackendTotals::default())),
            bytes: if ran { RESPONSE_BYTES as usize } else { 0 },
        };
        let elapsed = now.saturating_sub(call.sent);
        let entry = &mut self.entries[origin];
        if pick.is_spillover {
            entry.on_spillover_end(now, &SERVICE.into(), &pick, &feedback, elapsed, 0);
        }
        entry.on_end(now, &pick.node, &"lookup".into(), &feedback);
        if !ran {
            call.tried.push(pick.node);
            self.send(id);
            return;
        }
        let domain = domain_of(origin);
        let is_away = pick.domain.as_str() != DOMAINS[domain];
        let took = now.saturating_sub(arrived);
        let counts = self.count(domain, arrived);
        counts.in_time += u32::from(took <= OBJECTIVE);
        counts.ran_away += u32::from(is_away);
        counts.response_ms += u64::try_from(took.as_millis()).unwrap_or(0);
    }

    /// Sums the counts of a domain over a time in seconds.
    fn sum(&self, domain: usize, seconds: std::ops::Range<usize>) -> Counts {
        let windows = seconds.start * 2..seconds.end * 2;
        let mut sum = Counts::default();
        for counts in &self.counts[domain][windows] {
            sum.calls += counts.calls;
            sum.in_time += counts.in_time;
            sum.sent_away += counts.sent_away;
            sum.ran_away += counts.ran_away;
            sum.response_ms += counts.response_ms;
        }
        sum
    }
}

impl Counts {
    fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.calls.max(1))
    }

    fn away_share(&self) -> f64 {
        f64::from(self.sent_away) / f64::from(self.calls.max(1))
    }
}

/// Runs a pattern for 10 s, once with shares and once by least cost, and prints the figures of both.
fn both(label: &str, seed: u64, setup: impl Fn(u64) -> Model) -> [Model; 2] {
    [false, true].map(|by_least_cost| {
        let mut model = setup(seed);
        if by_least_cost {
            model.without_shares();
        }
        model.run(11_000);
        for domain in 0..2 {
            let sum = model.sum(domain, 1..10);
            let shares = model.counts[domain][2..20].iter().map(Counts::away_share);
            let shares: Vec<String> = shares.map(|share| format!("{share:.2}")).collect();
            println!(
                "{label} seed {seed} least_cost {by_least_cost} domain {domain}: in time {:.3}, sent away {:.3}, ran away {:.3}, mean {} ms, windows {}",
                sum.in_time_share(),
                sum.away_share(),
                f64::from(sum.ran_away) / f64::from(sum.calls.max(1)),
                sum.response_ms / u64::from(sum.calls.max(1)),
                shares.join(" ")
            );
        }
        model
    })
}

const SEEDS: std::ops::Range<u64> = 0..3;
/// Seeds of patterns whose figures depend much on the seed.
const MORE_SEEDS: std::ops::Range<u64> = 0..12;

/// One domain has a quarter of its backend servers.
fn one_short(seed: u64) -> Model {
    let mut model = model(seed, [1, 4]);
    model.demand = Box::new(|domain, _| if domain == 0 { 50.0 } else { 40.0 });
    model
}

/// Guards against callers that are refused at home while another domain has spare slots, and against calls that
/// take the slots which the other domain's own callers need.
#[gtest]
fn spill_one_domain_short() {
    for seed in SEEDS {
        let [with, _] = both("one short", seed, one_short);
        expect_that!(with.sum(0, 1..10).in_time_share(), gt(0.95), "seed {seed}");
        expect_that!(with.sum(1, 1..10).in_time_share(), gt(0.99), "seed {seed}");
        // Help comes within a second.
        expect_that!(with.sum(0, 1..2).in_time_share(), gt(0.8), "seed {seed}");
    }
}

/// Guards against a domain that loses its own calls because it takes in more than its spare slots: 280 calls a second
/// of its own, of 400, and as many callers in a domain that serves 100.
#[gtest]
fn spill_target_nearly_full() {
    for seed in SEEDS {
        let [with, least_cost] = both("nearly full", seed, |seed| {
            let mut model = model(seed, [1, 4]);
            model.demand = Box::new(|_, _| 70.0);
            model
        });
        let own = with.sum(1, 1..10).in_time_share();
        expect_that!(own, gt(0.97), "seed {seed}");
        let before = least_cost.sum(1, 1..10).in_time_share();
        expect_that!(own, gt(before), "seed {seed}");
        expect_that!(with.sum(1, 1..10).ran_away, eq(0), "seed {seed}");
    }
}

/// Guards against domains that are both short and exchange their overflow: the same calls are served, and the traffic
/// is billed.
#[gtest]
fn spill_all_short() {
    for seed in SEEDS {
        let [with, least_cost] = both("all short", seed, |seed| {
            let mut model = model(seed, [4, 4]);
            model.demand = Box::new(|_, _| 150.0);
            model
        });
        for domain in 0..2 {
            let sum = with.sum(domain, 1..10);
            expect_that!(sum.away_share(), lt(0.05), "seed {seed}");
            expect_that!(sum.ran_away, lt(sum.calls / 200), "seed {seed}");
            let before = least_cost.sum(domain, 1..10).in_time_share();
            let in_time = sum.in_time_share();
            expect_that!(in_time, gt(before - 0.03), "seed {seed}");
        }
    }
}

/// Guards against callers that stay with the slow backend servers of their domain.
#[gtest]
fn spill_slow_backend_servers() {
    for seed in SEEDS {
        let slow = |slowness: f64, is_alone: bool| {
            move |seed: u64| {
                let mut model = model(seed, [4, if is_alone { 0 } else { 4 }]);
                model.slowness = [slowness, 1.0];
                model.demand = Box::new(move |domain, _| match domain {
                    1 if is_alone => 0.001,
                    _ => 40.0,
                });
                model
            }
        };
        let [with, _] = both("slow", seed, slow(3.0, false));
        let mut alone = slow(3.0, true)(seed);
        alone.run(11_000);
        let in_time = with.sum(0, 1..10).in_time_share();
        expect_that!(in_time, gt(0.9), "seed {seed}");
        let without = alone.sum(0, 1..10).in_time_share();
        expect_that!(in_time, gt(without + 0.2), "seed {seed}");
        expect_that!(with.sum(1, 1..10).in_time_share(), gt(0.99), "seed {seed}");
    }
}

/// Guards against a link that fills: the response times of all calls that cross it grow without bound. The link
/// carries 50 responses a second, a quarter of the calls.
#[gtest]
fn spill_saturated_link() {
    for seed in MORE_SEEDS {
        let [with, least_cost] = both("link", seed, |seed| {
            let mut model = one_short(seed);
            model.link = 100.0;
            model
        });
        let sum = with.sum(0, 2..10);
        expect_that!(sum.ran_away, lt(sum.calls * 24 / 100), "seed {seed}");
        expect_that!(sum.ran_away, gt(sum.calls * 10 / 100), "seed {seed}");
        expect_that!(sum.in_time_share(), gt(0.6), "seed {seed}");
        let before = least_cost.sum(0, 2..10);
        expect_that!(
            sum.in_time_share(),
            gt(before.in_time_share()),
            "seed {seed}"
        );
        let mean_ms = |sum: Counts| sum.response_ms / u64::from(sum.calls.max(1));
        expect_that!(mean_ms(sum), lt(mean_ms(before)), "seed {seed}");
        expect_that!(mean_ms(sum), lt(250), "seed {seed}");
    }
}

/// A domain that is short, and a link on which one response in five takes 100 ms longer.
fn one_in_five_slow(seed: u64, link: f64) -> Model {
    let mut model = one_short(seed);
    model.link = link;
    model.slow_responses = Some((0.2, ms(100)));
    model
}

/// Guards against isolated slow responses that keep calls in a domain which refuses them, although most responses of
/// the other one are fast and even the slow ones are in time.
#[gtest]
fn spill_one_response_in_five_slow() {
    for seed in MORE_SEEDS {
        let [with, _] = both("one in five slow", seed, |seed| one_in_five_slow(seed, 1e6));
        expect_that!(with.sum(0, 2..10).in_time_share(), gt(0.9), "seed {seed}");
        expect_that!(with.sum(1, 2..10).in_time_share(), gt(0.99), "seed {seed}");
    }
}

/// Guards against a link that fills because slow responses no longer show it when fast ones are between them.
#[gtest]
fn spill_one_response_in_five_slow_full_link() {
    for seed in MORE_SEEDS {
        let [with, least_cost] = both("one in five slow, full", seed, |seed| {
            one_in_five_slow(seed, 100.0)
        });
        let (sum, before) = (with.sum(0, 2..10), least_cost.sum(0, 2..10));
        let in_time = sum.in_time_share();
        expect_that!(in_time, gt(before.in_time_share()), "seed {seed}");
        let mean_ms = sum.response_ms / u64::from(sum.calls.max(1));
        expect_that!(mean_ms, lt(250), "seed {seed}");
    }
}

/// Guards against help that comes too late for callers, and calls that still leave after the cause is over.
#[gtest]
fn spill_moving_demand() {
    for seed in SEEDS {
        let [with, _] = both("moving", seed, |seed| {
            let mut model = model(seed, [4, 4]);
            model.demand = Box::new(|domain, now| {
                let is_here = (now >= ms(5_000)) == (domain == 1);
                if is_here { 130.0 } else { 30.0 }
            });
            model
        });
        expect_that!(with.sum(0, 1..5).in_time_share(), gt(0.95), "seed {seed}");
        expect_that!(with.sum(1, 5..6).in_time_share(), gt(0.9), "seed {seed}");
        expect_that!(with.sum(1, 6..10).in_time_share(), gt(0.95), "seed {seed}");
        expect_that!(with.sum(0, 6..10).sent_away, eq(0), "seed {seed}");
    }
}

/// Guards against a domain whose calls leave and come back together while its load is constant.
#[gtest]
fn spill_constant_load_no_swing() {
    for seed in SEEDS {
        let [with, _] = both("no swing", seed, |seed| {
            let mut model = model(seed, [2, 4]);
            model.demand = Box::new(|domain, _| if domain == 0 { 70.0 } else { 30.0 });
            model
        });
        let windows = with.counts[0][4..20].iter().map(Counts::away_share);
        let windows: Vec<f64> = windows.collect();
        let least = windows.iter().copied().fold(1.0, f64::min);
        let most = windows.iter().copied().fold(0.0, f64::max);
        // Chance alone varies the share of 140 calls by about 0.1 each way.
        expect_that!(most - least, lt(0.4), "seed {seed}: {windows:?}");
        expect_that!(least, gt(0.05), "seed {seed}");
    }
}

/// Guards against a small difference that sends calls to another domain, and against any effect with spare capacity.
#[gtest]
fn spill_light_load_stays() {
    for seed in SEEDS {
        let [with, _] = both("light", seed, |seed| model(seed, [4, 4]));
        for domain in 0..2 {
            let sum = with.sum(domain, 0..10);
            expect_that!(sum.sent_away, eq(0), "seed {seed}");
            expect_that!(sum.in_time_share(), gt(0.99), "seed {seed}");
        }
    }
}

const AWAY: &str = "keta-a";

/// Compares calls every 10 ms for some time, of which half would be cheaper elsewhere if leaving pays.
fn compare(shares: &mut SpillShares, from_ms: u64, until_ms: u64, home_ms: f64) -> f64 {
    let costs = SpillCosts {
        home_ms: Some(home_ms),
        away_ms: 100.0,
        away_time_ms: 90.0,
        objective_ms: 250.0,
        is_refusal_expected: false,
    };
    let mut share = 0.0;
    for now in (from_ms..until_ms).step_by(10) {
        share = shares.on_costs(ms(now), &SERVICE.into(), &AWAY.into(), &costs);
    }
    share
}

/// Time at which the share of [`full_share`] is 1.
const FULL_AT: u64 = 1_000;

/// Compares calls, and lets the target accept one, until the share is 1.
fn full_share() -> SpillShares {
    let mut shares = SpillShares::default();
    compare(&mut shares, 0, 100, 300.0);
    end(&mut shares, 100, 4, ACCEPTED);
    let share = compare(&mut shares, 100, FULL_AT, 300.0);
    assert_that!(share, eq(1.0));
    shares
}

fn end(shares: &mut SpillShares, now: u64, node: usize, end: SpillEnd) {
    let (service, domain) = (SERVICE.into(), AWAY.into());
    shares.on_start(ms(now), &service, &domain);
    shares.on_end(ms(now), &service, &domain, &name(node), end);
}

const ACCEPTED: SpillEnd = SpillEnd::Accepted {
    path_ms: 20.0,
    kilobytes: 2.0,
    hop_ms: 20.0,
};

/// A burst of 3 s must get help, and the share must be small again about a second after the cause is over.
#[gtest]
fn on_costs_grows_and_decays() {
    let mut shares = SpillShares::default();
    expect_that!(compare(&mut shares, 0, 10, 90.0), le(0.1));
    // Nothing has been accepted yet.
    expect_that!(
        compare(&mut shares, 10, 1_000, 300.0),
        all![ge(0.25), le(0.3)]
    );
    end(&mut shares, 1_000, 4, ACCEPTED);
    expect_that!(compare(&mut shares, 1_000, 1_600, 300.0), ge(0.99));
    expect_that!(compare(&mut shares, 1_600, 2_700, 60.0), le(0.15));
}

/// A target that refuses all calls must get hardly any, and help must come back when it accepts again.
#[gtest]
fn on_end_refused() {
    let mut shares = full_share();
    for step in 0..40 {
        let from = FULL_AT + step * 50;
        compare(&mut shares, from, from + 50, 300.0);
        end(&mut shares, from + 50, 4, SpillEnd::Refused);
    }
    let share = shares.share(ms(FULL_AT + 2_000), &SERVICE.into(), &AWAY.into());
    expect_that!(share, lt(0.02));
    for step in 80..160 {
        let from = FULL_AT + step * 50;
        compare(&mut shares, from, from + 50, 300.0);
        end(&mut shares, from + 50, 4, ACCEPTED);
    }
    let share = shares.share(ms(FULL_AT + 8_000), &SERVICE.into(), &AWAY.into());
    expect_that!(share, gt(0.9));
}

/// One slow response between fast ones must not delay the next relief, and a path whose responses are all slow must
/// not be used like before.
#[gtest]
fn on_end_slow_responses() {
    let (service, domain) = (SERVICE.into(), AWAY.into());
    let slow = SpillEnd::Accepted {
        path_ms: 150.0,
        kilobytes: 2.0,
        hop_ms: 20.0,
    };
    let mut shares = full_share();
    let mut now = FULL_AT;
    for _ in 0..8 {
        for end_with in [slow, ACCEPTED, ACCEPTED, ACCEPTED, ACCEPTED] {
            now += 40;
            end(&mut shares, now, 4, end_with);
        }
        expect_that!(shares.share(ms(now), &service, &domain), eq(1.0));
    }
    for _ in 0..8 {
        now += 40;
        end(&mut shares, now, 4, slow);
    }
    expect_that!(shares.share(ms(now), &service, &domain), lt(0.2));
}

/// No call may wait for a response from behind a cut link, while one lost node must not end all help.
#[gtest]
fn on_end_unreachable() {
    let mut shares = full_share();
    let (service, domain) = (SERVICE.into(), AWAY.into());
    end(&mut shares, FULL_AT + 10, 4, SpillEnd::Unreachable);
    end(&mut shares, FULL_AT + 20, 4, SpillEnd::Unreachable);
    expect_that!(shares.share(ms(FULL_AT + 30), &service, &domain), gt(0.5));
    end(&mut shares, FULL_AT + 30, 5, SpillEnd::Unreachable);
    expect_that!(shares.share(ms(FULL_AT + 40), &service, &domain), eq(0.0));
    expect_that!(
        compare(&mut shares, FULL_AT + 40, FULL_AT + 2_000, 300.0),
        eq(0.0)
    );
    expect_that!(
        compare(&mut shares, FULL_AT + 2_000, FULL_AT + 2_100, 300.0),
        gt(0.0)
    );
}

/// A link that drops everything gives no answer at all. Calls that are under way must not be joined by others.
#[gtest]
fn share_without_answers() {
    let mut shares = full_share();
    let (service, domain) = (SERVICE.into(), AWAY.into());
    compare(&mut shares, FULL_AT, FULL_AT + 50, 300.0);
    shares.on_start(ms(FULL_AT + 50), &service, &domain);
    expect_that!(shares.share(ms(FULL_AT + 200), &service, &domain), gt(0.9));
    expect_that!(shares.share(ms(FULL_AT + 400), &service, &domain), eq(0.0));
    shares.on_end(ms(FULL_AT + 450), &service, &domain, &name(4), ACCEPTED);
    expect_that!(shares.share(ms(FULL_AT + 450), &service, &domain), gt(0.9));
}

fn pick(placement: &mut Placement, now: Duration, is_allowed: impl Fn(&NodeId) -> bool) -> Pick {
    let request = PickRequest {
        service: &SERVICE.into(),
        route: &"lookup".into(),
        objective: OBJECTIVE,
        idempotent: true,
        request_bytes: 0,
        tried: &[],
        is_allowed: &|node, _| is_allowed(node),
        regions: &AllowedRegions::Any,
        evacuations: &Evacuations::default(),
    };
    let mut rng = StdRng::seed_from_u64(1);
    placement.pick(now, &mut rng, &request).expect("a node")
}

/// A call that may not be served at home, for instance because of home regions or an evacuation, must not be refused
/// for want of spare capacity elsewhere.
#[gtest]
fn pick_without_node_at_home() {
    let mut model = model(0, [4, 4]);
    let away = pick(&mut model.entries[0], ms(0), |node| *node >= name(4));
    expect_that!(away.domain.as_str(), eq(AWAY));
    expect_false!(away.is_spillover);
    let home = pick(&mut model.entries[0], ms(0), |_| true);
    expect_that!(home.domain.as_str(), eq(DOMAINS[0]));
    expect_false!(home.is_spillover);
}

/// Without another failure domain nothing may change: a call must not be refused while an untried node is left, even
/// an unreachable one.
#[gtest]
fn pick_single_domain_last_resort() {
    let mut model = model(0, [4, 4]);
    let placement = &mut model.entries[0];
    let incarnation = ("n0".into(), 1);
    let feedback = |end| Feedback {
        incarnation: &incarnation,
        end,
        run: ms(0),
        report: None,
        bytes: 0,
    };
    let route = RouteName::from("lookup");
    placement.on_end(ms(0), &name(0), &route, &feedback(AttemptEnd::Overloaded));
    placement.on_end(ms(0), &name(1), &route, &feedback(AttemptEnd::Unreachable));
    let request = PickRequest {
        service: &SERVICE.into(),
        route: &route,
        objective: OBJECTIVE,
        idempotent: true,
        request_bytes: 0,
        tried: &[name(0)],
        is_allowed: &|node, _| *node <= name(1),
        regions: &AllowedRegions::Any,
        evacuations: &Evacuations::default(),
    };
    let mut rng = StdRng::seed_from_u64(1);
    let pick = placement.pick(ms(1), &mut rng, &request);
    let pick = pick.expect("the unreachable node");
    expect_that!(pick.node, eq(&name(1)));
    expect_false!(pick.is_spillover);
}

/// A deployment with one backend server of a service in each failure domain has no pool that could keep its own
/// calls, so a call must leave as soon as another domain is cheaper.
#[gtest]
fn pick_one_backend_server_in_each_domain() {
    let mut model = model(0, [1, 1]);
    let placement = &mut model.entries[0];
    let load = Load {
        running: 40,
        slots: 4,
        mean_run_ms: 100,
        ..Load::default()
    };
    placement.on_report(ms(0), &name(0), load, BackendTotals::default());
    placement.on_report(
        ms(0),
        &name(4),
        Load { running: 0, ..load },
        BackendTotals::default(),
    );
    let chosen = pick(placement, ms(1), |_| true);
    expect_that!(chosen.node, eq(&name(4)), "{chosen:?}");
    expect_false!(chosen.is_spillover);
}
