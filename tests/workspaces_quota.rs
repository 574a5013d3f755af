//! Quotas of workspaces over all nodes, in a model of a fleet in virtual time.
//!
//! The model has nodes with a limiter and a collector each, messages with delays, and clients that send at
//! random times. It counts what all nodes admit for a workspace in any window.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sycamorewick::coordination::workspaces::quota::QuotaBounds;
use sycamorewick::coordination::workspaces::quota::QuotaDecision;
use sycamorewick::coordination::workspaces::quota::QuotaLimiter;
use sycamorewick::coordination::workspaces::usage::Collector;
use sycamorewick::coordination::workspaces::usage::CollectorChoice;
use sycamorewick::protocol::hop::RequestRate;
use sycamorewick::protocol::mesh::Quota;
use sycamorewick::protocol::mesh::Workspace;
use sycamorewick::protocol::name::DomainName;
use sycamorewick::protocol::name::NodeId;
use sycamorewick::protocol::name::WorkspaceName;
use sycamorewick::protocol::usage::DomainUsage;
use sycamorewick::protocol::usage::UsageReport;
use sycamorewick::protocol::usage::UsageTotals;
use sycamorewick::protocol::usage::WorkspaceCount;

const NODES: usize = 84;
const DOMAINS: usize = 5;
const WORKSPACES: usize = 84;
/// Requests a second of all workspaces together.
const DEMAND: f64 = 1_800.0;
/// Quota as a multiple of the usual demand.
const QUOTA_FACTOR: f64 = 1.6;
const TICK_MS: u64 = 5;
/// Time after which a node takes another one as gone.
const TIMEOUT_MS: u64 = 200;
const SEEDS: [u64; 3] = [11, 12, 13];
const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(5),
    excess: 0.1,
    slack: 20.0,
};

struct Node {
    limiter: QuotaLimiter,
    collector: Collector,
    is_dead: bool,
    paused_until: u64,
    /// Time after which the node handles what it receives, since its processor is busy.
    busy_ms: u64,
    /// Time that the node's clock lags behind because of pauses.
    lag: u64,
    is_waiting: bool,
    reports_to: usize,
    choice: CollectorChoice,
}

enum Message {
    Report(UsageReport),
    Totals(Vec<WorkspaceCount>, UsageTotals),
    Exchange(DomainUsage),
    Response(DomainUsage),
    NotCollecting,
    Failed,
}

/// Due time, order of sending, sender and receiver of a message.
type Sent = (u64, u64, usize, usize);

/// Changes of the fleet at a time.
enum Change {
    Kill(Vec<usize>),
    Pause(usize, u64),
    /// The nodes handle what they receive after this time, in milliseconds.
    Busy(fn(usize) -> u64),
    /// Messages for which this is true are lost.
    Cut(fn(usize, usize) -> bool),
    /// All workspaces get this multiple of their quota.
    Quotas(f64),
    /// All nodes know this number of nodes.
    Known(usize),
}

/// What clients do: requests a second of a workspace, and the node that a request goes to.
struct Pattern {
    rate: fn(f64, usize) -> f64,
    node: fn(f64, usize, &mut StdRng) -> usize,
}

/// Requests of a workspace, with the times of those admitted and an ideal bucket.
struct Seen {
    quota: Quota,
    admitted: Vec<u64>,
    ideal: f64,
    sent: u32,
    refused_below: u32,
}

struct Fleet {
    now: u64,
    rng: StdRng,
    nodes: Vec<Node>,
    messages: BinaryHeap<Reverse<Sent>>,
    bodies: Vec<Option<Message>>,
    cut: fn(usize, usize) -> bool,
    workspaces: Vec<Workspace>,
    seen: Vec<Seen>,
}

fn domain_of(node: usize) -> usize {
    node % DOMAINS
}

fn node_name(node: usize) -> NodeId {
    format!("n{node:02}").into()
}

fn domain_name(domain: usize) -> DomainName {
    DomainName::from(format!("d{domain}"))
}

/// Usual requests a second of a workspace; the largest one sends some 250 times as many as the smallest.
fn usual(workspace: usize) -> f64 {
    let weight =
        |workspace: usize| 1.0 / f64::from(u32::try_from(workspace + 1).unwrap()).powf(1.25);
    DEMAND * weight(workspace) / (0..WORKSPACES).map(weight).sum::<f64>()
}

fn any_node(_: f64, _: usize, rng: &mut StdRng) -> usize {
    rng.random_range(0..NODES)
}

fn usual_rate(_: f64, workspace: usize) -> f64 {
    usual(workspace)
}

const USUAL: Pattern = Pattern {
    rate: usual_rate,
    node: any_node,
};

fn workspaces(factor: f64) -> Vec<Workspace> {
    let workspace = |index: usize| {
        let per_s = usual(index) * QUOTA_FACTOR * factor;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let burst = per_s.ceil() as u32;
        Workspace {
            name: format!("t{index:02}").into(),
            keys: Vec::new(),
            priority: 0,
            quota: Some(Quota {
                rate: RequestRate::from_per_s(per_s).unwrap(),
                burst,
            }),
            homes: Vec::new(),
        }
    };
    (0..WORKSPACES).map(workspace).collect()
}

fn name_of(workspace: usize) -> WorkspaceName {
    format!("t{workspace:02}").into()
}

impl Fleet {
    fn new(seed: u64) -> Self {
        Self::with_known_nodes(seed, NODES)
    }

    /// Creates a fleet whose nodes know this number of nodes when they apply the configuration.
    fn with_known_nodes(seed: u64, known: usize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let workspaces = workspaces(1.0);
        let domains: Vec<(DomainName, usize)> = (0..DOMAINS)
            .map(|domain| {
                let nodes = (0..NODES).filter(|node| domain_of(*node) == domain);
                (domain_name(domain), nodes.count())
            })
            .collect();
        let nodes = (0..NODES).map(|index| {
            let mut limiter = QuotaLimiter::new(BOUNDS);
            limiter.set_nodes(known);
            limiter.set_workspaces(Duration::ZERO, &workspaces, &mut rng);
            let run = u64::try_from(index).unwrap() + 1;
            let mut collector = Collector::new(domain_name(domain_of(index)), run, BOUNDS);
            collector.set_workspaces(Duration::ZERO, &workspaces);
            collector.set_domains(&domains);
            Node {
                limiter,
                collector,
                is_dead: false,
                paused_until: 0,
                busy_ms: 0,
                lag: 0,
                is_waiting: false,
                reports_to: usize::MAX,
                choice: CollectorChoice::default(),
            }
        });
        let nodes = nodes.collect();
        let all_seen = workspaces.iter().map(|workspace| {
            let quota = workspace.quota.unwrap();
            Seen {
                quota,
                admitted: Vec::new(),
                ideal: f64::from(quota.burst),
                sent: 0,
                refused_below: 0,
            }
        });
        Self {
            now: 0,
            rng,
            nodes,
            messages: BinaryHeap::new(),
            bodies: Vec::new(),
            cut: |_, _| false,
            seen: all_seen.collect(),
            workspaces,
        }
    }

    /// Runs for some seconds.
    fn run(&mut self, seconds: u64, pattern: &Pattern, changes: &[(u64, Change)]) {
        let begin = self.now;
        while self.now < begin + seconds * 1_000 {
            for (at, change) in changes {
                if begin + at == self.now {
                    self.change(change);
                }
            }
            self.deliver();
            for node in 0..NODES {
                self.step(node);
            }
            for workspace in 0..WORKSPACES {
                self.send_requests(workspace, pattern, begin);
            }
            self.now += TICK_MS;
        }
    }

    fn change(&mut self, change: &Change) {
        match change {
            Change::Kill(nodes) => nodes.iter().for_each(|n| self.nodes[*n].is_dead = true),
            Change::Pause(node, ms) => {
                self.nodes[*node].paused_until = self.now + ms;
                self.nodes[*node].lag += ms;
            }
            Change::Busy(busy_ms) => {
                for (index, node) in self.nodes.iter_mut().enumerate() {
                    node.busy_ms = busy_ms(index);
                }
            }
            Change::Cut(cut) => self.cut = *cut,
            Change::Known(nodes) => {
                let known = self.nodes.iter_mut();
                known.for_each(|node| node.limiter.set_nodes(*nodes));
            }
            Change::Quotas(factor) => {
                self.workspaces = workspaces(*factor);
                for node in 0..NODES {
                    let now = self.clock(node);
                    let known = &mut self.nodes[node];
                    known
                        .limiter
                        .set_workspaces(now, &self.workspaces, &mut self.rng);
                    known.collector.set_workspaces(now, &self.workspaces);
                }
                for (seen, workspace) in self.seen.iter_mut().zip(&self.workspaces) {
                    seen.quota = workspace.quota.unwrap();
                }
            }
        }
    }

    /// Time of a node's steady clock.
    fn clock(&self, node: usize) -> Duration {
        Duration::from_millis(self.now.saturating_sub(self.nodes[node].lag) + 60_000)
    }

    fn is_running(&self, node: usize) -> bool {
        !self.nodes[node].is_dead && self.nodes[node].paused_until <= self.now
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_lost = (self.cut)(from, to) || self.nodes[to].is_dead;
        let (delay, message) = match (is_lost, &message) {
            (true, Message::Report(_) | Message::Exchange(_)) => {
                // The sender learns it at the end of its time limit.
                return self.push(TIMEOUT_MS, to, from, Message::Failed);
            }
            (true, _) => return,
            _ if domain_of(from) == domain_of(to) => (self.rng.random_range(1..10), message),
            _ => (self.rng.random_range(5..60), message),
        };
        let delay = delay + self.nodes[to].busy_ms;
        let is_request = matches!(message, Message::Report(_) | Message::Exchange(_));
        if is_request && delay > TIMEOUT_MS {
            self.push(TIMEOUT_MS, to, from, Message::Failed);
        }
        self.push(delay, from, to, message);
    }

    fn push(&mut self, delay: u64, from: usize, to: usize, message: Message) {
        let order = u64::try_from(self.bodies.len()).unwrap();
        self.messages
            .push(Reverse((self.now + delay, order, from, to)));
        self.bodies.push(Some(message));
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, order, from, to))) = self.messages.peek().copied() {
            if at > self.now {
                return;
            }
            self.messages.pop();
            let body = self.bodies[usize::try_from(order).unwrap()].take().unwrap();
            if self.nodes[to].is_dead {
                continue;
            }
            if !self.is_running(to) {
                // It waits in the socket; the sender gives up.
                if matches!(body, Message::Report(_) | Message::Exchange(_)) {
                    self.push(TIMEOUT_MS, to, from, Message::Failed);
                }
                let until = self.nodes[to].paused_until - self.now;
                self.push(until, from, to, body);
                continue;
            }
            self.receive(from, to, body);
        }
    }

    fn receive(&mut self, from: usize, to: usize, body: Message) {
        let now = self.clock(to);
        let node = &mut self.nodes[to];
        match body {
            Message::Report(_)
                if from != to && node.reports_to != to && node.limiter.has_recent_totals(now) =>
            {
                self.send(to, from, Message::NotCollecting);
            }
            Message::Report(report) => {
                let totals = node.collector.on_report(now, &report);
                self.send(to, from, Message::Totals(report.counts, totals));
            }
            Message::Totals(counts, totals) if node.is_waiting && node.reports_to == from => {
                node.is_waiting = false;
                node.choice.on_answered(&node_name(from));
                node.limiter.on_totals(now, &counts, &totals);
            }
            Message::Exchange(usage) => {
                // Only the node that collects answers.
                if node.collector.is_active(now) || node.limiter.is_idle(now) {
                    let response = node.collector.on_exchange(now, &usage).unwrap();
                    self.send(to, from, Message::Response(response));
                } else {
                    self.send(to, from, Message::NotCollecting);
                }
            }
            Message::Response(usage) => {
                node.choice.on_answered(&node_name(from));
                node.collector.on_exchange_response(now, &usage);
            }
            Message::NotCollecting => {
                node.choice.on_not_collecting(now, &node_name(from));
                let domain = domain_name(domain_of(from));
                node.collector.on_exchange_failed(&domain);
                if node.reports_to == from {
                    node.is_waiting = false;
                }
            }
            Message::Failed => {
                node.choice.on_failed(now, &node_name(from));
                let domain = domain_name(domain_of(from));
                node.collector.on_exchange_failed(&domain);
                if node.reports_to == from {
                    node.is_waiting = false;
                }
            }
            Message::Totals(..) => {}
        }
    }

    fn choose(&self, node: usize, domain: usize) -> usize {
        let names: Vec<NodeId> = (0..NODES)
            .filter(|other| domain_of(*other) == domain)
            .map(node_name)
            .collect();
        let chosen = self.nodes[node]
            .choice
            .choose(self.clock(node), names.iter());
        chosen.unwrap().as_str()[1..].parse().unwrap()
    }

    fn step(&mut self, node: usize) {
        if !self.is_running(node) {
            return;
        }
        let now = self.clock(node);
        if !self.nodes[node].is_waiting && self.nodes[node].limiter.is_report_due(now) {
            let to = self.choose(node, domain_of(node));
            let known = &mut self.nodes[node];
            let is_new = known.reports_to != to;
            let (counts, acknowledged_by, since) = known.limiter.report(now, is_new);
            known.reports_to = to;
            known.is_waiting = true;
            let report = UsageReport {
                node: node_name(node),
                run: 1,
                acknowledged_by,
                since,
                counts,
            };
            self.send(node, to, Message::Report(report));
        }
        for (domain, usage) in self.nodes[node].collector.due_exchanges(now) {
            let domain = (0..DOMAINS).find(|d| domain_name(*d) == domain).unwrap();
            let to = self.choose(node, domain);
            if !self.nodes[node].choice.is_avoided(now, &node_name(to)) {
                self.send(node, to, Message::Exchange(usage));
            }
        }
    }

    fn send_requests(&mut self, workspace: usize, pattern: &Pattern, begin: u64) {
        #[allow(clippy::cast_precision_loss)]
        let (at, tick_s) = ((self.now - begin) as f64 / 1e3, TICK_MS as f64 / 1e3);
        let per_s = self.seen[workspace].quota.rate.per_s();
        let burst = f64::from(self.seen[workspace].quota.burst);
        let seen = &mut self.seen[workspace];
        seen.ideal = (seen.ideal + per_s * tick_s).min(burst);
        // A Poisson process.
        let mut left = (pattern.rate)(at, workspace) * tick_s;
        loop {
            left += self.rng.random_range(f64::MIN_POSITIVE..1.0).ln();
            if left < 0.0 {
                return;
            }
            let node = (pattern.node)(at, workspace, &mut self.rng);
            if !self.is_running(node) {
                continue;
            }
            let now = self.clock(node);
            let limiter = &mut self.nodes[node].limiter;
            let decision = limiter.admit(now, &name_of(workspace), &mut self.rng);
            let seen = &mut self.seen[workspace];
            seen.sent += 1;
            if decision == QuotaDecision::Admitted {
                seen.admitted.push(self.now);
                seen.ideal -= 1.0;
            } else {
                seen.refused_below += u32::from(seen.ideal >= 1.0);
            }
        }
    }

    /// Largest number of admitted requests in a window that begins at `from` or later, as a share of what
    /// is allowed, with the workspace.
    fn worst(&self, from: u64) -> (f64, usize) {
        let mut worst = (0.0, 0);
        for (workspace, seen) in self.seen.iter().enumerate() {
            let limit = BOUNDS.limit(seen.quota);
            let mut begin = 0;
            for (end, at) in seen.admitted.iter().enumerate() {
                while seen.admitted[begin] + 5_000 <= *at
                    || seen.admitted[begin] < from && begin < end
                {
                    begin += 1;
                }
                let count = f64::from(u32::try_from(end + 1 - begin).unwrap());
                if count / limit > worst.0 {
                    worst = (count / limit, workspace);
                }
            }
        }
        worst
    }

    fn refused_share(&self) -> f64 {
        let sent: u32 = self.seen.iter().map(|seen| seen.sent).sum();
        let refused: u32 = self.seen.iter().map(|seen| seen.refused_below).sum();
        f64::from(refused) / f64::from(sent)
    }

    fn reset_counts(&mut self) {
        for seen in &mut self.seen {
            seen.sent = 0;
            seen.refused_below = 0;
        }
    }
}

/// Runs a pattern after 6 s of usual requests, once for each seed, and checks that no window has more than
/// is allowed. `check` gets the fleet at the end, with the counts since the beginning of the pattern.
fn run_pattern(
    seconds: u64,
    pattern: &Pattern,
    changes: impl Fn() -> Vec<(u64, Change)>,
    check: impl Fn(&Fleet, u64),
) {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed);
        fleet.run(6, &USUAL, &[]);
        fleet.reset_counts();
        fleet.run(seconds, pattern, &changes());
        let (worst, workspace) = fleet.worst(0);
        println!(
            "seed {seed}: worst window {worst:.3} of the limit (workspace {workspace}), refused below the limit {:.5}",
            fleet.refused_share()
        );
        expect_that!(worst, le(1.0), "seed {seed}, workspace {workspace}");
        check(&fleet, seed);
    }
}

/// Requests below the quota must not be refused, also of workspaces with less than one request a window and
/// node.
#[gtest]
fn admit_usual_demand() {
    run_pattern(20, &USUAL, Vec::new, |fleet, seed| {
        expect_that!(fleet.refused_share(), lt(0.005), "seed {seed}");
    });
}

/// A workspace that sends seven times its usual rate must be held to its quota, which it must still get.
#[gtest]
fn admit_seven_times_usual() {
    for hot in [0_usize, 3, 10, 30, 80] {
        println!("workspace {hot}");
        let rate: fn(f64, usize) -> f64 = match hot {
            0 => |at, t| usual(t) * if t == 0 && at < 5.0 { 7.0 } else { 1.0 },
            3 => |at, t| usual(t) * if t == 3 && at < 5.0 { 7.0 } else { 1.0 },
            10 => |at, t| usual(t) * if t == 10 && at < 5.0 { 7.0 } else { 1.0 },
            30 => |at, t| usual(t) * if t == 30 && at < 5.0 { 7.0 } else { 1.0 },
            _ => |at, t| usual(t) * if t == 80 && at < 5.0 { 7.0 } else { 1.0 },
        };
        let pattern = Pattern {
            rate,
            node: any_node,
        };
        run_pattern(8, &pattern, Vec::new, |fleet, seed| {
            let seen = &fleet.seen[hot];
            let since = seen
                .admitted
                .iter()
                .filter(|at| (6_000..11_000).contains(*at));
            let admitted = f64::from(u32::try_from(since.count()).unwrap());
            let quota = seen.quota.rate.per_s() * 5.0;
            println!("admitted {admitted} of {quota:.0}");
            expect_that!(admitted, ge(0.8 * quota), "seed {seed}, workspace {hot}");
        });
    }
}

/// All clients of a workspace at one node must get the whole quota there, and no more.
#[gtest]
fn admit_all_clients_at_one_node() {
    let one_node = Pattern {
        rate: usual_rate,
        node: |_, workspace, rng| match workspace {
            0..8 => workspace * 7,
            _ => any_node(0.0, workspace, rng),
        },
    };
    run_pattern(12, &one_node, Vec::new, |fleet, seed| {
        expect_that!(fleet.refused_share(), lt(0.005), "seed {seed}");
    });
}

/// The same when they send four times their usual rate: seen by one node only.
#[gtest]
fn admit_surge_at_one_node() {
    let surge = Pattern {
        rate: |at, t| usual(t) * if t < 8 && at > 3.0 { 4.0 } else { 1.0 },
        node: |_, workspace, rng| match workspace {
            0..8 => workspace * 7,
            _ => any_node(0.0, workspace, rng),
        },
    };
    run_pattern(10, &surge, Vec::new, |fleet, seed| {
        for workspace in 0..8 {
            let seen = &fleet.seen[workspace];
            let last = seen.admitted.iter().filter(|at| **at >= 11_000);
            let admitted = f64::from(u32::try_from(last.count()).unwrap());
            let quota = seen.quota.rate.per_s() * 5.0;
            println!("workspace {workspace}: admitted {admitted} of {quota:.0}");
            expect_that!(
                admitted,
                ge(0.8 * quota),
                "seed {seed}, workspace {workspace}"
            );
        }
    });
}

/// Clients that move to another failure domain must not be refused below the quota, nor get it twice.
#[gtest]
fn admit_clients_that_move() {
    let moving = Pattern {
        rate: usual_rate,
        node: |at, workspace, rng| {
            let moves = usize::from(at > 4.0) + usize::from(at > 8.0);
            (workspace + moves) % DOMAINS + DOMAINS * rng.random_range(0..NODES / DOMAINS)
        },
    };
    run_pattern(12, &moving, Vec::new, |fleet, seed| {
        expect_that!(fleet.refused_share(), lt(0.005), "seed {seed}");
    });
}

/// The same when all clients move to a domain that had no requests before.
#[gtest]
fn admit_all_clients_in_one_domain() {
    let moving = Pattern {
        rate: usual_rate,
        node: |at, _, rng| {
            let domain = if at < 4.0 {
                0
            } else {
                1 + usize::from(at > 8.0)
            };
            domain + DOMAINS * rng.random_range(0..NODES / DOMAINS)
        },
    };
    run_pattern(12, &moving, Vec::new, |fleet, seed| {
        expect_that!(fleet.refused_share(), lt(0.005), "seed {seed}");
    });
}

/// The parts of a fleet that is cut must not admit the quota each.
#[gtest]
fn admit_cut_between_domains() {
    let hot = Pattern {
        rate: |_, t| usual(t) * if t % 3 == 0 { 4.0 } else { 1.0 },
        node: any_node,
    };
    let cut = || {
        let two_of_five = |a, b| (domain_of(a) < 2) != (domain_of(b) < 2);
        vec![
            (0, Change::Cut(two_of_five)),
            (8_000, Change::Cut(|_, _| false)),
        ]
    };
    run_pattern(14, &hot, cut, |_, _| {});
}

/// Nodes that cannot reach any collector must not admit the quota each.
#[gtest]
fn admit_cut_from_collectors() {
    let hot = Pattern {
        rate: |_, t| usual(t) * if t % 3 == 0 { 4.0 } else { 1.0 },
        node: any_node,
    };
    let cut = || {
        let every_second = |a, b| a / DOMAINS % 2 == 1 || b / DOMAINS % 2 == 1;
        vec![
            (0, Change::Cut(every_second)),
            (8_000, Change::Cut(|_, _| false)),
        ]
    };
    run_pattern(14, &hot, cut, |_, _| {});
}

/// The next collector must neither forget nor count twice what the last one knew.
#[gtest]
fn admit_collectors_die() {
    let hot = Pattern {
        rate: |_, t| usual(t) * if t % 3 == 0 { 4.0 } else { 1.0 },
        node: any_node,
    };
    let kill = || {
        let first = (0..DOMAINS).collect();
        let second = (DOMAINS..2 * DOMAINS).collect();
        vec![(2_000, Change::Kill(first)), (5_000, Change::Kill(second))]
    };
    run_pattern(12, &hot, kill, |_, _| {});
}

/// After the death of most nodes the others must get their part of the quota, and no more than it.
#[gtest]
fn admit_most_nodes_killed() {
    // Three of five, spread over the lists of all domains.
    let is_killed = |node: &usize| node / DOMAINS * 3 % 5 < 3;
    let kill = || vec![(1_000, Change::Kill((0..NODES).filter(is_killed).collect()))];
    let to_survivors = Pattern {
        rate: usual_rate,
        node: |at, _, rng| loop {
            let node = rng.random_range(0..NODES);
            if at < 1.0 || node / DOMAINS * 3 % 5 >= 3 {
                return node;
            }
        },
    };
    run_pattern(14, &to_survivors, kill, |fleet, seed| {
        // Three seconds of old totals and shares of the dead.
        expect_that!(fleet.refused_share(), lt(0.05), "seed {seed}");
    });
    let hot = Pattern {
        rate: |_, t| usual(t) * 3.0,
        ..to_survivors
    };
    run_pattern(14, &hot, kill, |_, _| {});
}

/// The same when the dead are the first of the list of each failure domain, so that a new collector is found
/// after ten time limits only.
#[gtest]
fn admit_first_nodes_killed() {
    const KILLED: usize = NODES * 6 / 10;
    let kill = || vec![(1_000, Change::Kill((0..KILLED).collect()))];
    let to_survivors = Pattern {
        rate: usual_rate,
        node: |at, _, rng| {
            let first = if at < 1.0 { 0 } else { KILLED };
            rng.random_range(first..NODES)
        },
    };
    run_pattern(14, &to_survivors, kill, |fleet, seed| {
        expect_that!(fleet.refused_share(), lt(0.05), "seed {seed}");
    });
    let hot = Pattern {
        rate: |_, t| usual(t) * 3.0,
        ..to_survivors
    };
    run_pattern(14, &hot, kill, |_, _| {});
}

/// A node that resumes after a pause has old totals that look fresh, since its clock stood still.
#[gtest]
fn admit_paused_node() {
    let hot = Pattern {
        rate: |_, t| usual(t) * if t % 3 == 0 { 4.0 } else { 1.0 },
        node: |_, workspace, rng| match workspace {
            // All clients of these are at the node that pauses, or at a collector that does.
            0 => 7,
            3 => 1,
            _ => any_node(0.0, workspace, rng),
        },
    };
    let pause = || {
        vec![
            (2_000, Change::Pause(7, 5_000)),
            (2_500, Change::Pause(1, 5_000)),
            (3_000, Change::Pause(2, 5_000)),
        ]
    };
    run_pattern(14, &hot, pause, |_, _| {});
}

/// Nodes that handle totals late, since their processors are busy, must not all admit requests beyond their shares
/// whenever they see the level of a contended quota rise.
#[gtest]
fn admit_busy_nodes() {
    let hot = Pattern {
        rate: |at, t| usual(t) * if t == 0 && at < 8.0 { 5.8 } else { 1.0 },
        node: any_node,
    };
    let busy = || vec![(0, Change::Busy(|node| if node < DOMAINS { 0 } else { 300 }))];
    run_pattern(10, &hot, busy, |_, _| {});
}

/// Processes that start together must not admit a bucket each. Like the processes, the nodes of the model apply the
/// configuration while they know of no other node; they know the fleet from 200 ms on, and have totals of a fleet
/// without requests when the callers begin at 1 s, far above the quotas, at eight nodes or at all.
#[gtest]
fn admit_first_requests_of_new_processes() {
    let at_eight = Pattern {
        rate: |at, t| if at < 1.0 { 0.0 } else { usual(t) * 8.5 },
        node: |_, _, rng| rng.random_range(0..8),
    };
    let at_all = Pattern {
        node: any_node,
        ..at_eight
    };
    for (name, pattern) in [("eight nodes", at_eight), ("all nodes", at_all)] {
        for seed in SEEDS {
            let mut fleet = Fleet::with_known_nodes(seed, 1);
            fleet.run(8, &pattern, &[(200, Change::Known(NODES))]);
            let (worst, workspace) = fleet.worst(0);
            println!(
                "{name}, seed {seed}: worst window {worst:.3} of the limit (workspace {workspace})"
            );
            expect_that!(worst, le(1.0), "{name}, seed {seed}, workspace {workspace}");
        }
    }
}

/// What bounds the first requests of new processes must not refuse those of workspaces below their quotas.
#[gtest]
fn admit_usual_demand_of_new_processes() {
    let usual_later = Pattern {
        rate: |at, t| if at < 1.0 { 0.0 } else { usual(t) },
        node: any_node,
    };
    for seed in SEEDS {
        let mut fleet = Fleet::with_known_nodes(seed, 1);
        fleet.run(11, &usual_later, &[(200, Change::Known(NODES))]);
        let refused = fleet.refused_share();
        println!("seed {seed}: refused below the limit {refused:.5}");
        expect_that!(refused, lt(0.005), "seed {seed}");
    }
}

/// A quota that is cut far below the demand is binding after one window.
#[gtest]
fn admit_quota_cut() {
    for seed in SEEDS {
        let mut fleet = Fleet::new(seed);
        fleet.run(6, &USUAL, &[]);
        fleet.run(12, &USUAL, &[(0, Change::Quotas(0.2))]);
        let (worst, workspace) = fleet.worst(6_000);
        println!("seed {seed}: worst window {worst:.3} of the limit (workspace {workspace})");
        expect_that!(worst, le(1.0), "seed {seed}, workspace {workspace}");
    }
}

/// Eight processes that start together, know of no other node at first, and have totals without any demand must not
/// admit a bucket each when their callers begin at one moment. Guards against shares that stay those of a single node:
/// 287 requests were admitted where 270 are allowed.
#[gtest]
fn admit_at_once_by_new_processes() {
    let quota = Quota {
        rate: RequestRate::from_per_s(38.0).unwrap(),
        burst: 38,
    };
    let workspace = Workspace {
        quota: Some(quota),
        ..workspaces(1.0).remove(0)
    };
    let mut rng = StdRng::seed_from_u64(1);
    let now = Duration::from_secs(1);
    let mut admitted = 0;
    for _ in 0..8 {
        let mut limiter = QuotaLimiter::new(BOUNDS);
        limiter.set_workspaces(Duration::ZERO, std::slice::from_ref(&workspace), &mut rng);
        limiter.set_nodes(1);
        let (counts, ..) = limiter.report(now, true);
        let totals = UsageTotals {
            run: 1,
            sequence: 1,
            covered: 1.0,
            totals: Vec::new(),
        };
        limiter.on_totals(now, &counts, &totals);
        limiter.set_nodes(8);
        while limiter.admit(now, &name_of(0), &mut rng) == QuotaDecision::Admitted {
            admitted += 1;
        }
    }
    // What is left is for the requests of the next five seconds.
    let left = BOUNDS.limit(quota) - quota.rate.per_s() * 5.0;
    expect_that!(f64::from(admitted), le(left));
}

/// Creates a limiter of a fleet of one node, with a quota of 10 requests a second and a burst of 4.
fn single_limiter(rng: &mut StdRng) -> QuotaLimiter {
    let workspace = Workspace {
        quota: Some(Quota {
            rate: RequestRate::from_per_s(10.0).unwrap(),
            burst: 4,
        }),
        ..workspaces(1.0).remove(0)
    };
    let mut limiter = QuotaLimiter::new(BOUNDS);
    limiter.set_workspaces(Duration::ZERO, &[workspace], rng);
    limiter
}

/// A caller that comes back after the time of its refusal must be admitted, and not much earlier.
#[gtest]
fn admit_after_retry_after() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut limiter = single_limiter(&mut rng);
    let mut now = Duration::from_secs(1);
    for _ in 0..30 {
        let wait = loop {
            match limiter.admit(now, &name_of(0), &mut rng) {
                QuotaDecision::Refused(refusal) => break refusal.retry_after,
                decision => expect_that!(decision, eq(QuotaDecision::Admitted)),
            }
        };
        expect_that!(wait, le(Duration::from_millis(210)));
        let early = limiter.admit(now + wait.mul_f64(0.9), &name_of(0), &mut rng);
        expect_that!(early, matches_pattern!(QuotaDecision::Refused(_)));
        now += wait + Duration::from_millis(1);
        let in_time = limiter.admit(now, &name_of(0), &mut rng);
        expect_that!(in_time, eq(QuotaDecision::Admitted));
    }
}

/// A call that ended as not run must not count against the quota.
#[gtest]
fn give_back_not_run() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut limiter = single_limiter(&mut rng);
    let now = Duration::from_secs(1);
    for _ in 0..100 {
        let decision = limiter.admit(now, &name_of(0), &mut rng);
        expect_that!(decision, eq(QuotaDecision::Admitted));
        limiter.give_back(&name_of(0));
    }
    let (counts, ..) = limiter.report(now, true);
    expect_that!(counts[0].admitted, eq(0));
}

/// Requests whose bodies arrive at the same time must not all be let in by the same tokens, and must not count before
/// they can run. A token that is not used must come back.
#[gtest]
fn reserve_while_bodies_arrive() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut limiter = single_limiter(&mut rng);
    let now = Duration::from_secs(1);
    let mut kept = Vec::new();
    while let Ok(reservation) = limiter.reserve(now, &name_of(0)) {
        kept.push(reservation.unwrap());
    }
    // A bucket of 4 and 0.3 x 20 tokens.
    expect_that!(kept.len(), all![ge(10), le(11)]);
    let (counts, ..) = limiter.report(now, true);
    expect_true!(counts.iter().all(|count| count.admitted == 0));
    limiter.release(&kept.pop().unwrap());
    expect_that!(limiter.reserve(now, &name_of(0)), ok(some(anything())));
    // Bodies that end much later get tokens of then, and these are not more than for other requests.
    let later = now + Duration::from_secs(20);
    expect_that!(limiter.reserve(later, &name_of(0)), ok(some(anything())));
    let mut admitted = 0;
    while limiter.admit(later, &name_of(0), &mut rng) == QuotaDecision::Admitted {
        admitted += 1;
    }
    expect_that!(admitted, all![ge(10), le(11)]);
}

/// A workspace without a quota must not be limited, and must not cause reports.
#[gtest]
fn admit_without_quota() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut limiter = QuotaLimiter::new(BOUNDS);
    let now = Duration::from_secs(1);
    for _ in 0..1_000 {
        let decision = limiter.admit(now, &name_of(0), &mut rng);
        expect_that!(decision, eq(QuotaDecision::Unlimited));
    }
    expect_false!(limiter.is_report_due(now));
}
