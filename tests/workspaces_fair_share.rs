//! Workspaces that compete for the slots of one backend server, in virtual time. Each pattern demands more than the
//! backend server can serve.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sycamorewick::coordination::slot_queue::Admit;
use sycamorewick::coordination::slot_queue::Changes;
use sycamorewick::coordination::slot_queue::Offer;
use sycamorewick::coordination::slot_queue::SlotQueue;
use sycamorewick::coordination::slot_queue::Ticket;
use sycamorewick::coordination::workspaces::fair_share::FairShare;
use sycamorewick::coordination::workspaces::fair_share::WorkspaceShare;
use sycamorewick::protocol::name::RouteName;

const SLOTS: u32 = 6;
const RUN: Duration = Duration::from_millis(60);
const OBJECTIVE: Duration = Duration::from_millis(300);
const DEADLINE: Duration = Duration::from_secs(2);
/// Calls a second that the backend server can run.
const CAPACITY: f64 = 100.0;
/// Length of a run, and its beginning that is not counted.
const LENGTH: Duration = Duration::from_secs(15);
const WARM_UP: Duration = Duration::from_secs(3);
const COUNTED: Duration = LENGTH.saturating_sub(WARM_UP);
/// Pause of a client that comes back at once after a refusal: the round trip.
const AT_ONCE: Duration = Duration::from_millis(20);
/// Least part of the average share that a workspace has to get.
const LEAST_PART: f64 = 0.25;
const SEEDS: std::ops::RangeInclusive<u64> = 1..=2;

/// Calls of a workspace.
#[derive(Clone, Copy, Debug)]
enum Demand {
    /// Calls a second, whatever the responses are.
    Open(f64),
    /// Connections that each send the next call as soon as the one before is answered.
    Connections(u32),
}

/// What clients do after a refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Retry {
    Never,
    /// They retry at once, until their deadline.
    AtOnce,
    /// They retry after the time that the refusal names, until their deadline.
    AsAsked,
}

#[derive(Clone, Debug)]
struct Client {
    workspace: Option<WorkspaceShare>,
    workspace_priority: u8,
    demand: Demand,
    retry: Retry,
}

fn client(name: &str, weight: f64, demand: Demand, retry: Retry) -> Client {
    let name = name.into();
    Client {
        workspace: Some(WorkspaceShare { name, weight }),
        workspace_priority: 0,
        demand,
        retry,
    }
}

#[derive(Clone, Copy)]
struct Call {
    client: usize,
    began: Duration,
    ticket: Option<Ticket>,
}

#[derive(Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival(usize),
    Try(usize),
    WaitEnds(usize),
    RunEnds(usize),
}

struct Simulation<'a> {
    queue: SlotQueue,
    rng: StdRng,
    clients: &'a [Client],
    calls: Vec<Call>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    /// Waiting calls, sorted by ticket.
    waiting: Vec<(Ticket, usize)>,
    /// Served calls by client.
    served: Vec<u32>,
}

impl<'a> Simulation<'a> {
    /// Returns the number of calls that were served in time for their deadline, by client.
    fn run(seed: u64, clients: &'a [Client]) -> Vec<f64> {
        let mut simulation = Self {
            queue: SlotQueue::new(SLOTS),
            rng: StdRng::seed_from_u64(seed),
            clients,
            calls: Vec::new(),
            events: BinaryHeap::new(),
            waiting: Vec::new(),
            served: vec![0; clients.len()],
        };
        for (index, client) in clients.iter().enumerate() {
            match client.demand {
                Demand::Open(_) => simulation.schedule(Duration::ZERO, Event::Arrival(index)),
                Demand::Connections(count) => {
                    for _ in 0..count {
                        simulation.new_call(Duration::ZERO, index);
                    }
                }
            }
        }
        while let Some(Reverse((now, event))) = simulation.events.pop() {
            if now > LENGTH {
                break;
            }
            match event {
                Event::Arrival(client) => simulation.on_arrival(now, client),
                Event::Try(call) => simulation.on_try(now, call),
                Event::WaitEnds(call) => simulation.on_wait_end(now, call),
                Event::RunEnds(call) => simulation.on_run_end(now, call),
            }
        }
        simulation.served.into_iter().map(f64::from).collect()
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.events.push(Reverse((at, event)));
    }

    fn new_call(&mut self, at: Duration, client: usize) {
        self.calls.push(Call {
            client,
            began: at,
            ticket: None,
        });
        self.schedule(at, Event::Try(self.calls.len() - 1));
    }

    fn on_arrival(&mut self, now: Duration, client: usize) {
        if let Demand::Open(per_s) = self.clients[client].demand {
            let pause = -self.rng.random_range(1e-9_f64..1.0).ln() / per_s;
            self.schedule(now + Duration::from_secs_f64(pause), Event::Arrival(client));
        }
        self.new_call(now, client);
    }

    /// Offers a call as an entry node does: at first in time, then as one that may be late.
    fn on_try(&mut self, now: Duration, index: usize) {
        let call = self.calls[index];
        let client = &self.clients[call.client];
        let is_overdue = now > call.began + OBJECTIVE;
        let mut offer = Offer {
            route: "lookup".into(),
            workspace: client.workspace.clone(),
            workspace_priority: client.workspace_priority,
            priority: 1,
            objective: OBJECTIVE,
            objective_at: if is_overdue { now } else { now + OBJECTIVE },
            deadline: call.began + DEADLINE,
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
                self.calls[index].ticket = Some(ticket);
                self.waiting.push((ticket, index));
                self.schedule(until, Event::WaitEnds(index));
                let changes = self.queue.refuse_overtaken(now, ticket);
                self.apply(now, changes);
            }
            Admit::Refuse(retry_after) => self.on_refusal(now, index, retry_after),
        }
    }

    fn on_refusal(&mut self, now: Duration, index: usize, retry_after: Duration) {
        let call = self.calls[index];
        let client = &self.clients[call.client];
        let pause = match client.retry {
            Retry::Never => None,
            Retry::AtOnce => Some(AT_ONCE),
            Retry::AsAsked => Some(retry_after),
        };
        match pause {
            Some(pause) if now + pause < call.began + DEADLINE => {
                self.schedule(now + pause, Event::Try(index));
            }
            _ => self.end_call(now, index),
        }
    }

    /// A connection sends its next call.
    fn end_call(&mut self, now: Duration, index: usize) {
        let client = self.calls[index].client;
        if let Demand::Connections(_) = self.clients[client].demand {
            self.new_call(now + AT_ONCE, client);
        }
    }

    fn start(&mut self, now: Duration, index: usize) {
        let run = RUN.mul_f64(self.rng.random_range(0.5..1.5));
        self.schedule(now + run, Event::RunEnds(index));
    }

    fn on_wait_end(&mut self, now: Duration, index: usize) {
        if let Some(ticket) = self.calls[index].ticket {
            self.take(ticket);
            self.queue.cancel(ticket);
            self.on_refusal(now, index, Duration::from_millis(300));
        }
    }

    fn on_run_end(&mut self, now: Duration, index: usize) {
        let call = self.calls[index];
        let is_counted = now > WARM_UP && now <= call.began + DEADLINE;
        self.served[call.client] += u32::from(is_counted);
        let changes = self.queue.finish(now, &"lookup".into(), Some(RUN));
        self.apply(now, changes);
        self.end_call(now, index);
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
        let found = self
            .waiting
            .binary_search_by_key(&ticket, |(other, _)| *other);
        let (_, index) = self.waiting.remove(found.ok()?);
        self.calls[index].ticket = None;
        Some(index)
    }
}

fn count(items: usize) -> f64 {
    f64::from(u32::try_from(items).unwrap_or(u32::MAX))
}

/// Checks that the backend server was busy and that each workspace got its least part of the average share of its
/// rank, the served calls by weight.
fn check_shares(pattern: &str, seed: u64, clients: &[Client], served: &[f64]) {
    let busy = served.iter().sum::<f64>() / (COUNTED.as_secs_f64() * CAPACITY);
    expect_that!(busy, gt(0.85), "{pattern}, seed {seed}");
    for rank in [0, 1] {
        let of_rank = clients.iter().zip(served);
        let of_rank = of_rank.filter(|(client, _)| client.workspace_priority == rank);
        let shares: Vec<f64> = of_rank
            .filter_map(|(client, served)| Some(served / client.workspace.as_ref()?.weight))
            .collect();
        let average = shares.iter().sum::<f64>() / count(shares.len().max(1));
        for share in &shares {
            let part = share / average;
            expect_that!(part, ge(LEAST_PART), "{pattern}, seed {seed}: {served:?}");
        }
    }
}

/// A workspace that sends 7 times its share must not take the shares of others, whose clients give up after one
/// refusal, retry as asked, or retry at once.
#[gtest]
fn hot_workspace() {
    let share = CAPACITY / 10.0;
    for retry in [Retry::Never, Retry::AsAsked, Retry::AtOnce] {
        for hot_retry in [Retry::Never, Retry::AtOnce] {
            let hot = client("hot", 1.0, Demand::Open(7.0 * share), hot_retry);
            let mut clients = vec![hot];
            for number in 1..10 {
                let name = format!("t{number}");
                clients.push(client(&name, 1.0, Demand::Open(share), retry));
            }
            for seed in SEEDS {
                let served = Simulation::run(seed, &clients);
                let pattern = format!("hot workspace, {retry:?}, {hot_retry:?}");
                check_shares(&pattern, seed, &clients, &served);
                // The others stay within their shares, so nearly all of their calls are served.
                let sent = share * COUNTED.as_secs_f64();
                for served in &served[1..] {
                    expect_that!(served / sent, gt(0.8), "{pattern}, seed {seed}");
                }
            }
        }
    }
}

/// In a burst of all workspaces at once none may be left without service.
#[gtest]
fn burst_of_all() {
    let workspaces = 40;
    let demand = Demand::Open(7.0 * CAPACITY / f64::from(workspaces));
    for retry in [Retry::Never, Retry::AsAsked] {
        let clients: Vec<Client> = (0..workspaces)
            .map(|number| client(&format!("t{number}"), 1.0, demand, retry))
            .collect();
        for seed in SEEDS {
            let served = Simulation::run(seed, &clients);
            check_shares(&format!("burst, {retry:?}"), seed, &clients, &served);
        }
    }
}

/// Clients that retry at once must not get more than those that retry as asked.
#[gtest]
fn clients_that_retry_at_once() {
    let demand = Demand::Open(3.0 * CAPACITY / 12.0);
    let clients: Vec<Client> = (0..12)
        .map(|number| {
            let retry = if number < 4 {
                Retry::AtOnce
            } else {
                Retry::AsAsked
            };
            client(&format!("t{number}"), 1.0, demand, retry)
        })
        .collect();
    for seed in SEEDS {
        let served = Simulation::run(seed, &clients);
        check_shares("retries at once", seed, &clients, &served);
    }
}

/// Many small workspaces beside a large one: neither may the large one keep out the small ones, nor may their number
/// take its share.
#[gtest]
fn small_workspaces_beside_large_one() {
    let weight = 50.0;
    let small = 50;
    for retry in [Retry::Never, Retry::AtOnce] {
        for overload in [1.5, 3.0] {
            let unit = overload * CAPACITY / (weight + f64::from(small));
            let large = client("large", weight, Demand::Open(weight * unit), retry);
            let mut clients = vec![large];
            for number in 0..small {
                let name = format!("t{number}");
                clients.push(client(&name, 1.0, Demand::Open(unit), retry));
            }
            for seed in SEEDS {
                let served = Simulation::run(seed, &clients);
                let pattern = format!("large and small, {retry:?}, overload {overload}");
                check_shares(&pattern, seed, &clients, &served);
            }
        }
    }
}

/// A workspace must not get more by opening more connections.
#[gtest]
fn more_connections() {
    for retry in [Retry::Never, Retry::AtOnce] {
        let with = |connections| {
            let mut clients = vec![client("many", 1.0, Demand::Connections(connections), retry)];
            for number in 1..8 {
                let name = format!("t{number}");
                clients.push(client(&name, 1.0, Demand::Connections(8), Retry::AsAsked));
            }
            clients
        };
        for seed in SEEDS {
            let (few, many) = (with(8), with(100));
            let served_few = Simulation::run(seed, &few);
            let served_many = Simulation::run(seed, &many);
            check_shares("few connections", seed, &few, &served_few);
            check_shares("many connections", seed, &many, &served_many);
            let gain = served_many[0] / served_few[0];
            expect_that!(gain, lt(1.1), "{retry:?}, seed {seed}");
        }
    }
}

/// Calls of running requests, which have no workspace, must not wait behind new calls of workspaces of their rank.
#[gtest]
fn calls_of_running_requests_first() {
    let running = Client {
        workspace: None,
        ..client("none", 1.0, Demand::Open(20.0), Retry::Never)
    };
    let mut clients = vec![running];
    for number in 0..10 {
        let name = format!("t{number}");
        clients.push(client(&name, 1.0, Demand::Open(50.0), Retry::AtOnce));
    }
    for seed in SEEDS {
        let served = Simulation::run(seed, &clients);
        check_shares("running requests", seed, &clients, &served);
        let sent = 20.0 * COUNTED.as_secs_f64();
        expect_that!(served[0] / sent, gt(0.85), "seed {seed}");
    }
}

/// A workspace of an urgent rank must not be slowed down by the shares of others.
#[gtest]
fn urgent_workspace_first() {
    let mut clients = vec![client("urgent", 1.0, Demand::Open(50.0), Retry::Never)];
    for number in 0..10 {
        let name = format!("t{number}");
        let other = client(&name, 1.0, Demand::Open(30.0), Retry::AtOnce);
        clients.push(Client {
            workspace_priority: 1,
            ..other
        });
    }
    for seed in SEEDS {
        let served = Simulation::run(seed, &clients);
        let sent = 50.0 * COUNTED.as_secs_f64();
        expect_that!(served[0] / sent, gt(0.85), "seed {seed}: {served:?}");
        check_shares("below an urgent one", seed, &clients, &served);
    }
}

fn share(name: &str, weight: f64) -> WorkspaceShare {
    let name = name.into();
    WorkspaceShare { name, weight }
}

/// Virtual times must give the shares of the weights, also after a workspace was idle.
#[gtest]
fn start_time_by_weight() {
    let mut shares = FairShare::default();
    let (small, large) = (share("small", 1.0), share("large", 3.0));
    let mut started = Vec::new();
    for _ in 0..8 {
        let is_small = shares.start_time((0, 1), &small, 0) < shares.start_time((0, 1), &large, 0);
        let next = if is_small { &small } else { &large };
        shares.on_start((0, 1), next);
        started.push(is_small);
    }
    expect_that!(started.iter().filter(|is_small| **is_small).count(), eq(2));
    for _ in 0..100 {
        shares.on_start((0, 1), &large);
    }
    // The idle workspace has no claim for the time in which it sent nothing.
    shares.on_start((0, 1), &small);
    let behind = shares.start_time((0, 1), &small, 0) - shares.start_time((0, 1), &large, 0);
    expect_that!(behind, gt(0.5));
    // Other ranks are not affected.
    expect_that!(shares.start_time((1, 1), &small, 0), eq(0.0));
    expect_that!(shares.start_time((1, 1), &small, 2), eq(2.0));
}

/// The memory must stay bounded when peers name ever new workspaces and priorities.
#[gtest]
fn workspace_count_bounded() {
    let mut shares = FairShare::default();
    for number in 0..200_000_u32 {
        let rank = (u8::try_from(number % 251).unwrap_or(0), 1);
        shares.on_start(rank, &share(&format!("t{}", number / 251), 1.0));
    }
    for number in 0..5_000 {
        shares.on_start((0, 0), &share(&format!("t{number}"), 0.0));
    }
    expect_that!(shares.workspace_count(), le(16 * 512));
    let time = shares.start_time((0, 0), &share("t4999", 1.0), 0);
    expect_true!(time.is_finite());
}

/// Virtual times of a process that runs for long must not lose the time of one call by rounding.
#[gtest]
fn start_time_after_long_run() {
    let mut shares = FairShare::default();
    let (rare, usual) = (share("rare", 0.001), share("usual", 4_000.0));
    for _ in 0..3_000_000 {
        shares.on_start((0, 0), &rare);
    }
    shares.on_start((0, 0), &usual);
    let first = shares.start_time((0, 0), &usual, 0);
    shares.on_start((0, 0), &usual);
    expect_that!(shares.start_time((0, 0), &usual, 0), gt(first));
}

/// A call of a workspace that fills the queue must be refused as soon as calls of others go before it, instead of
/// waiting in vain; a call that is refused is not one of those that go before.
#[gtest]
fn refuse_overtaken_last_calls() {
    let mut queue = SlotQueue::new(2);
    let lookup = RouteName::from("lookup");
    let now = Duration::from_secs(1);
    let offer = |name: &str| Offer {
        route: lookup.clone(),
        workspace: Some(share(name, 1.0)),
        workspace_priority: 0,
        priority: 1,
        objective: OBJECTIVE,
        objective_at: now + OBJECTIVE,
        deadline: now + DEADLINE,
        accepts_late: false,
        is_spillover: false,
    };
    queue.offer(Duration::ZERO, &offer("hot"));
    queue.finish(Duration::from_millis(60), &lookup, Some(RUN));
    let mut hot = Vec::new();
    loop {
        match queue.offer(now, &offer("hot")) {
            Admit::Start => {}
            Admit::Wait(ticket, _) => {
                expect_that!(queue.refuse_overtaken(now, ticket), eq(&Changes::default()));
                hot.push(ticket);
            }
            Admit::Refuse(_) => break,
        }
    }
    expect_that!(hot.len(), gt(3));
    let Admit::Wait(other, _) = queue.offer(now, &offer("other")) else {
        panic!("the call of the other workspace is not admitted");
    };
    let changes = queue.refuse_overtaken(now, other);
    let refused: Vec<Ticket> = changes.refuse.iter().map(|(ticket, _)| *ticket).collect();
    expect_that!(refused, eq(&vec![hot[hot.len() - 1]]));
    expect_that!(changes.start.len(), eq(0));
    let next = queue.finish(now, &lookup, Some(RUN));
    expect_that!(next.start, elements_are![eq(&other)]);
}
