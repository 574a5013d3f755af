//! A service of three old and three new backend servers, with an engine beside each and one entry node,
//! in virtual time with seeded traffic and a seeded network.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "virtual times and call counts are small"
)]
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::VecDeque;
use std::fmt::Write as _;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sycamorewick::coordination::quarantine::Quarantine;
use sycamorewick::coordination::quarantine::QuarantineAction;
use sycamorewick::coordination::quarantine::fingerprint;
use sycamorewick::coordination::rollout::CallOutcome;
use sycamorewick::coordination::rollout::CallSample;
use sycamorewick::coordination::rollout::CrashSample;
use sycamorewick::coordination::rollout::RolloutAction;
use sycamorewick::coordination::rollout::RolloutEngine;
use sycamorewick::protocol::document::Document;
use sycamorewick::protocol::document::Rollout;
use sycamorewick::protocol::document::Service;
use sycamorewick::protocol::document::VersionShare;
use sycamorewick::protocol::gossip::CrashReport;
use sycamorewick::protocol::gossip::EvidenceReport;
use sycamorewick::protocol::gossip::Rollback;
use sycamorewick::protocol::gossip::RolloutProgress;
use sycamorewick::protocol::name::ConfigVersion;
use sycamorewick::protocol::name::NodeId;
use sycamorewick::protocol::name::RouteName;
use sycamorewick::protocol::record::VersionedDocument;
use sycamorewick::protocol::time::WallMs;

/// Wall time at virtual time 0, milliseconds.
pub const EPOCH_MS: u64 = 1_000_000;
/// Start of the rollout, milliseconds of virtual time.
pub const START_MS: u64 = 10_000;
/// Backend servers; the first half runs the old version.
pub const SERVERS: usize = 6;
const NODES: usize = SERVERS + 1;
const SLOTS: u32 = 10;
const STEP_MS: u64 = 10;

/// Way in which calls go wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The new version fails this part of its calls from a time on.
    Errors { from_ms: u64, part: f64 },
    /// The new version fails on route 0 only.
    OneRoute { part: f64 },
    /// The new version takes longer by this factor.
    Slow { factor: f64 },
    /// The new version fails when a backend server runs at least this many calls.
    Load { running: usize, part: f64 },
    /// Backend servers of the new version crash at this part of the calls.
    Crashes { part: f64 },
    /// Both versions are slower in a time span.
    SharedSlow {
        from_ms: u64,
        to_ms: u64,
        factor: f64,
    },
    /// Both versions fail this part of their calls in a time span.
    SharedErrors { from_ms: u64, to_ms: u64, part: f64 },
    /// One backend server fails this part of its calls, whatever its version.
    OneServer { server: usize, part: f64 },
    /// One backend server goes down at a time and starts cold, ten times slower for two seconds.
    Restart { server: usize, at_ms: u64 },
    /// One backend server stops for half a second every ten seconds, which delays its calls.
    Stops { server: usize },
    /// A caller sends a request that crashes every backend server, every two seconds.
    CrashingRequest { from_ms: u64 },
}

/// What decides on the shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// The engines.
    Evidence,
    /// Equal time for each step, no evidence: the comparison.
    FixedSchedule,
}

/// Description of a session.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub policy: Policy,
    pub faults: Vec<Fault>,
    /// Calls per second.
    pub rate: f64,
    /// Part of the calls that fail on both versions.
    pub base_errors: f64,
    /// Standard deviation of the logarithm of the latency.
    pub noise: f64,
    /// Median latency of route 0.
    pub latency_ms: f64,
    pub routes: usize,
    pub steps: Vec<u8>,
    pub span_ms: u64,
    pub hold_s: u64,
    /// Virtual time after the end of the schedule.
    pub after_ms: u64,
    pub loss: f64,
    pub max_delay_ms: u64,
    /// Difference of each node's clock, at most half of this either way.
    pub skew_ms: u64,
    /// Nodes that do nothing in a time span: node, from, to.
    pub pauses: Vec<(usize, u64, u64)>,
    /// Nodes that no message reaches or leaves in a time span: node, from, to.
    pub cuts: Vec<(usize, u64, u64)>,
    /// Times at which a node starts again without state: node, time.
    pub restarts: Vec<(usize, u64)>,
    /// Whether backend servers of the new version exist.
    pub new_version_up: bool,
}

impl Scenario {
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            policy: Policy::Evidence,
            faults: Vec::new(),
            rate: 50.0,
            base_errors: 0.005,
            noise: 0.5,
            latency_ms: 15.0,
            routes: 3,
            steps: vec![5, 25, 50, 75, 100],
            span_ms: 120_000,
            hold_s: 60,
            after_ms: 20_000,
            loss: 0.02,
            max_delay_ms: 60,
            skew_ms: 1_000,
            pauses: Vec::new(),
            cuts: Vec::new(),
            restarts: Vec::new(),
            new_version_up: true,
        }
    }

    pub fn finish_ms(&self) -> u64 {
        START_MS + self.span_ms
    }

    pub fn document(&self) -> VersionedDocument {
        let share = |name: &str, share| VersionShare {
            name: name.into(),
            share,
        };
        let service = Service {
            name: "registry".into(),
            slots: SLOTS,
            cold_start_ms: 2_000,
            versions: vec![share("v1", 100), share("v2", 0)],
            rollout: Some(Rollout {
                from: "v1".into(),
                to: "v2".into(),
                start_ms: WallMs(EPOCH_MS + START_MS),
                finish_by_ms: WallMs(EPOCH_MS + self.finish_ms()),
                steps: self.steps.clone(),
                hold_s: self.hold_s,
                min_calls: 50,
            }),
        };
        VersionedDocument {
            version: ConfigVersion(7),
            document: Document {
                services: vec![service],
                ..Document::default()
            },
            since: Vec::new(),
        }
    }

    /// Share of the new version on a schedule that knows no evidence.
    fn scheduled_share(&self, at_ms: u64) -> u8 {
        if at_ms < START_MS {
            return 0;
        }
        let last = self.steps.len() as u64 - 1;
        let step = (at_ms - START_MS) * last / self.span_ms;
        self.steps[usize::try_from(step.min(last)).unwrap()]
    }
}

/// What a session showed.
#[derive(Debug, Default)]
pub struct Session {
    /// Outcomes in order, with virtual time.
    pub lines: Vec<String>,
    /// First time at which all nodes gave all traffic to the new version.
    pub complete_ms: Option<u64>,
    /// First failed call that a fault caused.
    pub first_fault_ms: Option<u64>,
    /// First time at which all nodes that are not paused gave none after a rollback.
    pub zero_ms: Option<u64>,
    /// Whether any node decided on a rollback.
    pub rolled_back: bool,
    /// Calls that the fault of the new version failed or slowed down.
    pub spoiled: u64,
    /// All calls.
    pub calls: u64,
    /// Backend servers crashed.
    pub crashes: u64,
    /// Largest size of an encoded report, bytes.
    pub report_bytes: usize,
}

impl Session {
    /// The session as golden text.
    pub fn text(&self) -> String {
        let mut text = self.lines.join("\n");
        let seconds = |ms: Option<u64>| {
            ms.map_or_else(|| "never".into(), |ms| format!("{:.1} s", ms as f64 / 1e3))
        };
        let _ = write!(
            text,
            "\ncomplete: {}, first fault: {}, share 0: {}, spoiled: {} of {} calls, crashes: {}",
            seconds(self.complete_ms),
            seconds(self.first_fault_ms),
            seconds(self.zero_ms),
            self.spoiled,
            self.calls,
            self.crashes
        );
        text
    }

    pub fn has(&self, code: u16) -> bool {
        self.lines.iter().any(|l| l.contains(&format!(" {code} ")))
    }
}

#[derive(Clone)]
enum Message {
    Report(EvidenceReport),
    Progress(RolloutProgress),
    Rollback(Rollback),
    Crash(CrashReport),
}

struct Delivery {
    at_ms: u64,
    from: usize,
    to: usize,
    message: Message,
}

struct Call {
    ends_ms: u64,
    started_ms: u64,
    route: usize,
    failed: bool,
    crash: bool,
    print: u64,
}

struct Node {
    id: NodeId,
    engine: RolloutEngine,
    quarantine: Quarantine,
    clock_ms: i64,
    phase_ms: u64,
    calls: Vec<Call>,
    starts: u64,
    down_until_ms: u64,
    cold_until_ms: u64,
    speed: f64,
}

struct World<'a> {
    scenario: &'a Scenario,
    rng: StdRng,
    nodes: Vec<Node>,
    mail: Vec<Delivery>,
    routes: Vec<RouteName>,
    session: Session,
    ms: u64,
    identities: Vec<String>,
    resend: VecDeque<u64>,
}

/// Runs a session.
pub fn run(scenario: &Scenario) -> Session {
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    let nodes = (0..NODES)
        .map(|i| {
            let half = (scenario.skew_ms / 2).cast_signed();
            Node {
                id: NodeId::from(format!("n{i}")),
                engine: engine(scenario, i),
                quarantine: Quarantine::new(),
                clock_ms: rng.random_range(-half..=half),
                phase_ms: rng.random_range(0..20) * STEP_MS,
                calls: Vec::new(),
                starts: 1,
                down_until_ms: 0,
                cold_until_ms: 0,
                speed: rng.random_range(0.9..1.1),
            }
        })
        .collect();
    let mut world = World {
        scenario,
        rng,
        nodes,
        mail: Vec::new(),
        routes: (0..scenario.routes)
            .map(|i| format!("r{i}").into())
            .collect(),
        session: Session::default(),
        ms: 0,
        identities: Vec::new(),
        resend: VecDeque::new(),
    };
    let end = scenario.finish_ms() + scenario.after_ms;
    while world.ms < end {
        world.step();
        // Nothing changes once a rollback is known everywhere.
        if world
            .session
            .zero_ms
            .is_some_and(|zero| world.ms > zero + 3_000)
        {
            break;
        }
        world.ms += STEP_MS;
    }
    world.session
}

fn engine(scenario: &Scenario, node: usize) -> RolloutEngine {
    let mut engine = RolloutEngine::new(NodeId::from(format!("n{node}")));
    engine.on_config(&scenario.document());
    if node < SERVERS / 2 {
        engine.set_serving(Some(("registry".into(), "v1".into())));
    } else if node < SERVERS && scenario.new_version_up {
        engine.set_serving(Some(("registry".into(), "v2".into())));
    }
    engine
}

fn within(spans: &[(usize, u64, u64)], node: usize, ms: u64) -> bool {
    spans
        .iter()
        .any(|(n, from, to)| *n == node && (*from..*to).contains(&ms))
}

impl World<'_> {
    fn wall(&self, node: usize) -> WallMs {
        WallMs((EPOCH_MS + self.ms).saturating_add_signed(self.nodes[node].clock_ms))
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.ms)
    }

    fn paused(&self, node: usize) -> bool {
        within(&self.scenario.pauses, node, self.ms)
    }

    fn step(&mut self) {
        for (node, at) in &self.scenario.restarts {
            if *at == self.ms {
                self.nodes[*node].engine = engine(self.scenario, *node);
            }
        }
        for fault in &self.scenario.faults {
            if let Fault::Restart { server, at_ms } = fault
                && *at_ms == self.ms
            {
                self.nodes[*server].down_until_ms = self.ms + 2_000;
                self.nodes[*server].cold_until_ms = self.ms + 4_000;
            }
        }
        if self.ms.is_multiple_of(500) {
            self.announce_slots();
        }
        self.deliver();
        self.arrivals();
        for node in 0..SERVERS {
            self.finish_calls(node);
        }
        for node in 0..NODES {
            let due = self.ms % 200 == self.nodes[node].phase_ms;
            if due && !self.paused(node) && self.scenario.policy == Policy::Evidence {
                self.tick(node);
            }
        }
        self.observe();
    }

    fn announce_slots(&mut self) {
        let up = |node: &&Node| node.down_until_ms <= self.ms;
        let count = |nodes: &[Node]| nodes.iter().filter(up).count() as u32 * SLOTS;
        let old = count(&self.nodes[..SERVERS / 2]);
        let new = count(&self.nodes[SERVERS / 2..SERVERS]);
        let new = if self.scenario.new_version_up { new } else { 0 };
        for node in &mut self.nodes {
            node.engine.on_slots("registry", "v1", old);
            node.engine.on_slots("registry", "v2", new);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message, longest_ms: u64) {
        let cut = |node| within(&self.scenario.cuts, node, self.ms);
        if from == to || cut(from) || cut(to) || self.rng.random_bool(self.scenario.loss) {
            return;
        }
        let at_ms = self.ms + self.rng.random_range(1..=longest_ms);
        self.mail.push(Delivery {
            at_ms,
            from,
            to,
            message,
        });
    }

    fn spread(&mut self, from: usize, message: &Message) {
        for to in 0..NODES {
            // A rumor needs a few rounds of gossip.
            self.send(from, to, message.clone(), 600);
        }
    }

    fn deliver(&mut self) {
        let mut i = 0;
        while i < self.mail.len() {
            let to = self.mail[i].to;
            if self.mail[i].at_ms > self.ms || self.paused(to) {
                i += 1;
                continue;
            }
            let mail = self.mail.swap_remove(i);
            let (now, wall) = (self.now(), self.wall(to));
            let from = self.nodes[mail.from].id.clone();
            let node = &mut self.nodes[to];
            match mail.message {
                Message::Report(report) => node.engine.on_report(now, wall, &from, &report),
                Message::Progress(progress) => {
                    node.engine.on_progress(progress);
                }
                Message::Rollback(rollback) => {
                    node.engine.on_rollback(rollback);
                }
                Message::Crash(report) => {
                    let actions = node.quarantine.on_report(&report, wall);
                    self.quarantine_actions(to, actions, false);
                }
            }
        }
    }

    fn quarantine_actions(&mut self, node: usize, actions: Vec<QuarantineAction>, first: bool) {
        for action in actions {
            match action {
                QuarantineAction::Spread(report) if first => {
                    self.spread(node, &Message::Crash(report));
                }
                QuarantineAction::Spread(_) => {}
                QuarantineAction::Quarantined {
                    fingerprint,
                    code,
                    text,
                    ..
                } => {
                    self.nodes[node].engine.on_quarantined_request(fingerprint);
                    let identity = format!("quarantine/{fingerprint:x}");
                    if !self.identities.contains(&identity) {
                        self.line(node, code.number(), &text);
                        self.identities.push(identity);
                    }
                }
            }
        }
    }

    fn line(&mut self, node: usize, code: u16, text: &str) {
        let seconds = self.ms as f64 / 1e3;
        self.session
            .lines
            .push(format!("{seconds:6.1} n{node} {code} {text}"));
    }

    fn arrivals(&mut self) {
        let expected = self.scenario.rate * STEP_MS as f64 / 1e3;
        let mut n = expected as u64;
        n += u64::from(self.rng.random_bool(expected.fract()));
        for _ in 0..n {
            let route = self.rng.random_range(0..self.routes.len());
            let print = self.rng.random();
            self.call(route, print, false);
        }
        for fault in &self.scenario.faults {
            if let Fault::CrashingRequest { from_ms } = fault
                && self.ms >= *from_ms
                && (self.ms - from_ms).is_multiple_of(2_000)
            {
                self.resend.push_back(self.ms);
            }
        }
        while self.resend.front().is_some_and(|at| *at <= self.ms) {
            self.resend.pop_front();
            self.call(0, fingerprint("POST", "r0", "/crash", b"x"), true);
        }
    }

    fn call(&mut self, route: usize, print: u64, crashing: bool) {
        let entry = self.rng.random_range(0..NODES);
        let wall = self.wall(entry);
        if self.nodes[entry].quarantine.is_quarantined(print, wall) {
            return;
        }
        let draw = self.rng.random_range(0..100);
        let new = match self.scenario.policy {
            Policy::FixedSchedule => draw < self.scenario.scheduled_share(self.ms),
            Policy::Evidence => {
                let shares = self.nodes[entry].engine.shares("registry", wall).unwrap();
                assert_eq!(shares.of("v1") + shares.of("v2"), 100);
                shares.pick(draw).unwrap().as_str() == "v2"
            }
        };
        self.session.calls += 1;
        let half = SERVERS / 2;
        let range = if new { half..SERVERS } else { 0..half };
        let up = range.filter(|i| self.nodes[*i].down_until_ms <= self.ms);
        let offset = self.rng.random_range(0..half);
        let least = up.min_by_key(|i| (self.nodes[*i].calls.len(), (i + offset) % half));
        let Some(server) = least.filter(|i| self.nodes[*i].calls.len() < SLOTS as usize) else {
            return;
        };
        self.dispatch(server, new, route, print, crashing);
    }

    fn dispatch(&mut self, server: usize, new: bool, route: usize, print: u64, crashing: bool) {
        let ms = self.ms;
        // A sum of uniform numbers in place of a normal distribution.
        let normal: f64 = (0..3).map(|_| self.rng.random_range(-1.0..1.0)).sum();
        let mut latency =
            self.scenario.latency_ms * (route + 1) as f64 * (normal * self.scenario.noise).exp();
        if self.rng.random_bool(0.01) {
            latency *= 8.0;
        }
        latency *= self.nodes[server].speed;
        latency *= 1.0 + self.nodes[server].calls.len() as f64 / f64::from(SLOTS);
        if ms < self.nodes[server].cold_until_ms {
            latency *= 10.0;
        }
        let mut failed = self.rng.random_bool(self.scenario.base_errors);
        let (mut crash, mut spoiled) = (crashing, false);
        for fault in &self.scenario.faults {
            let part = match *fault {
                Fault::Errors { from_ms, part } if new && ms >= from_ms => part,
                Fault::OneRoute { part } if new && route == 0 => part,
                Fault::Load { running, part }
                    if new && self.nodes[server].calls.len() >= running =>
                {
                    part
                }
                Fault::Slow { factor } if new => {
                    latency *= factor;
                    spoiled = true;
                    0.0
                }
                Fault::Crashes { part } if new => {
                    crash |= self.rng.random_bool(part);
                    spoiled |= crash;
                    0.0
                }
                Fault::SharedSlow {
                    from_ms,
                    to_ms,
                    factor,
                } if (from_ms..to_ms).contains(&ms) => {
                    latency *= factor;
                    0.0
                }
                Fault::SharedErrors {
                    from_ms,
                    to_ms,
                    part,
                } if (from_ms..to_ms).contains(&ms) => {
                    failed |= self.rng.random_bool(part);
                    0.0
                }
                Fault::OneServer { server: sick, part } if sick == server => {
                    failed |= self.rng.random_bool(part);
                    0.0
                }
                Fault::Stops { server: stops } if stops == server && ms % 10_000 < 500 => {
                    latency += (500 - ms % 10_000) as f64;
                    0.0
                }
                _ => 0.0,
            };
            if part > 0.0 && self.rng.random_bool(part) {
                failed = true;
                spoiled = true;
            }
        }
        if spoiled {
            self.session.spoiled += 1;
            self.session.first_fault_ms.get_or_insert(ms);
        }
        self.nodes[server].calls.push(Call {
            ends_ms: ms + (latency as u64).clamp(1, 2_000),
            started_ms: ms,
            route,
            failed,
            crash,
            print,
        });
    }

    fn finish_calls(&mut self, server: usize) {
        let version = if server < SERVERS / 2 { "v1" } else { "v2" };
        let (now, wall, ms) = (self.now(), self.wall(server), self.ms);
        let node = &mut self.nodes[server];
        let mut crashed = false;
        let mut i = 0;
        while i < node.calls.len() {
            if node.calls[i].ends_ms > ms {
                i += 1;
                continue;
            }
            let call = node.calls.swap_remove(i);
            if call.crash {
                node.calls.push(call);
                crashed = true;
                break;
            }
            let outcome = if call.failed {
                CallOutcome::Failure
            } else {
                CallOutcome::Success
            };
            let sample = CallSample {
                service: "registry",
                version,
                route: &self.routes[call.route],
                outcome,
                latency: Duration::from_millis(ms - call.started_ms),
                downstream: Duration::ZERO,
                downstream_failed: false,
                cold: ms < node.cold_until_ms,
            };
            node.engine.record_call(now, wall, &sample);
        }
        if crashed {
            self.crash(server, version);
        }
    }

    fn crash(&mut self, server: usize, version: &str) {
        let (now, wall, ms) = (self.now(), self.wall(server), self.ms);
        self.session.crashes += 1;
        let start = self.nodes[server].starts;
        let calls = std::mem::take(&mut self.nodes[server].calls);
        self.nodes[server].starts += 1;
        self.nodes[server].down_until_ms = ms + 2_000;
        self.nodes[server].cold_until_ms = ms + 4_000;
        for call in &calls {
            let node = &mut self.nodes[server];
            let sample = CrashSample {
                service: "registry",
                version,
                route: &self.routes[call.route],
                fingerprint: call.print,
                backend_start: start,
            };
            node.engine.record_crash(now, wall, &sample);
            let report = CrashReport {
                fingerprint: call.print,
                node: node.id.clone(),
                backend_start: start,
                at: wall,
            };
            let actions = node.quarantine.on_crash(&report, wall);
            self.quarantine_actions(server, actions, true);
        }
    }

    fn tick(&mut self, node: usize) {
        let (now, wall) = (self.now(), self.wall(node));
        let actions = self.nodes[node].engine.tick(now, wall);
        for action in actions {
            match action {
                RolloutAction::SendReport(report) => {
                    let size = rmp_serde::to_vec(&report).unwrap().len();
                    self.session.report_bytes = self.session.report_bytes.max(size);
                    for to in 0..SERVERS {
                        let message = Message::Report(report.clone());
                        self.send(node, to, message, self.scenario.max_delay_ms);
                    }
                }
                RolloutAction::Advance(progress) => {
                    self.spread(node, &Message::Progress(progress));
                }
                RolloutAction::RollBack(rollback) => {
                    self.session.rolled_back = true;
                    self.spread(node, &Message::Rollback(rollback));
                }
                RolloutAction::Outcome(outcome) => {
                    // Several nodes may report the same outcome.
                    if !self.identities.contains(&outcome.identity) {
                        self.line(node, outcome.code, &outcome.text);
                        self.identities.push(outcome.identity);
                    }
                }
            }
        }
        if self.ms % 1_000 == self.nodes[node].phase_ms {
            // The exchange of state repairs lost rumors.
            let to = self.rng.random_range(0..NODES);
            for progress in self.nodes[node].engine.progress() {
                self.send(node, to, Message::Progress(progress), 100);
            }
            for rollback in self.nodes[node].engine.rollbacks() {
                self.send(node, to, Message::Rollback(rollback), 100);
            }
        }
    }

    fn observe(&mut self) {
        if self.scenario.policy == Policy::FixedSchedule || !self.ms.is_multiple_of(50) {
            return;
        }
        let shares: Vec<_> = (0..NODES)
            .map(|i| {
                self.nodes[i]
                    .engine
                    .shares("registry", self.wall(i))
                    .unwrap()
                    .of("v2")
            })
            .collect();
        let gone = (0..NODES).all(|i| self.paused(i) || shares[i] == 0);
        let session = &mut self.session;
        if session.complete_ms.is_none() && shares.iter().all(|share| *share == 100) {
            session.complete_ms = Some(self.ms);
        }
        if session.rolled_back && session.zero_ms.is_none() && gone {
            session.zero_ms = Some(self.ms);
        }
    }
}
