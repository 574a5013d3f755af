//! Simulation of a rollout in virtual time: three backend servers of the old version and three of the new
//! one, a node with a rollout engine beside each, and one node without a backend server. Traffic and network
//! delays depend on a seed.

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
/// Number of backend servers; the first half runs the old version.
pub const SERVERS: usize = 6;
const NODES: usize = SERVERS + 1;
/// Slots of each backend server.
const SLOTS: u32 = 10;
/// Virtual time of one simulation step.
const STEP_MS: u64 = 10;

/// Fault that makes calls fail or slow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The new version fails this fraction of its calls from a time onwards.
    Errors { from_ms: u64, fraction: f64 },
    /// The new version fails this fraction of its calls on route 0 only.
    OneRoute { fraction: f64 },
    /// The latency of the new version is multiplied by this factor.
    Slow { factor: f64 },
    /// The new version fails this fraction of the calls that start while its backend server runs at least
    /// `running` calls.
    UnderLoad { running: usize, fraction: f64 },
    /// This fraction of the calls crashes the backend server, on the new version.
    Crashes { fraction: f64 },
    /// Both versions are slower by this factor in a time span.
    SharedSlow {
        from_ms: u64,
        to_ms: u64,
        factor: f64,
    },
    /// Both versions fail this fraction of their calls in a time span.
    SharedErrors {
        from_ms: u64,
        to_ms: u64,
        fraction: f64,
    },
    /// One backend server fails this fraction of its calls, whatever its version.
    OneServer { server: usize, fraction: f64 },
    /// One backend server restarts at a time: it is down for two seconds, then ten times slower for two more.
    Restart { server: usize, at_ms: u64 },
    /// One backend server pauses for half a second every ten seconds, which delays its calls.
    Pauses { server: usize },
    /// Every two seconds a caller sends the same request, which crashes any backend server.
    CrashingRequest { from_ms: u64 },
}

/// Policy that sets the traffic shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// The rollout engines decide on evidence.
    Evidence,
    /// Each step takes the same time, whatever the calls show. The baseline of a comparison.
    FixedSchedule,
}

/// Parameters of a simulated session.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub policy: Policy,
    pub faults: Vec<Fault>,
    /// Calls per second to the service.
    pub call_rate: f64,
    /// Fraction of the calls that fail on both versions.
    pub base_error_rate: f64,
    /// Standard deviation of the logarithm of the latency.
    pub latency_sigma: f64,
    /// Median latency of route 0.
    pub latency_ms: f64,
    pub routes: usize,
    pub steps: Vec<u8>,
    pub schedule_ms: u64,
    pub hold_s: u64,
    /// Virtual time to simulate after the end of the schedule.
    pub after_ms: u64,
    pub message_loss: f64,
    pub max_delay_ms: u64,
    /// Largest difference between the clocks of two nodes. Each is off by at most half of it.
    pub skew_ms: u64,
    /// Nodes that are paused in a time span: node, from, to.
    pub pauses: Vec<(usize, u64, u64)>,
    /// Nodes that neither send nor receive messages in a time span: node, from, to.
    pub isolations: Vec<(usize, u64, u64)>,
    /// Restarts of a node without its state: node, time.
    pub restarts: Vec<(usize, u64)>,
    /// Whether there are backend servers of the new version.
    pub new_version_up: bool,
}

impl Scenario {
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            policy: Policy::Evidence,
            faults: Vec::new(),
            call_rate: 50.0,
            base_error_rate: 0.005,
            latency_sigma: 0.5,
            latency_ms: 15.0,
            routes: 3,
            steps: vec![5, 25, 50, 75, 100],
            schedule_ms: 120_000,
            hold_s: 60,
            after_ms: 20_000,
            message_loss: 0.02,
            max_delay_ms: 60,
            skew_ms: 1_000,
            pauses: Vec::new(),
            isolations: Vec::new(),
            restarts: Vec::new(),
            new_version_up: true,
        }
    }

    pub fn finish_ms(&self) -> u64 {
        START_MS + self.schedule_ms
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

    /// Returns the share of the new version under [`Policy::FixedSchedule`].
    fn scheduled_share(&self, at_ms: u64) -> u8 {
        if at_ms < START_MS {
            return 0;
        }
        let last = self.steps.len() as u64 - 1;
        let step = (at_ms - START_MS) * last / self.schedule_ms;
        self.steps[usize::try_from(step.min(last)).unwrap()]
    }
}

/// Result of a simulated session.
#[derive(Debug, Default)]
pub struct SessionResult {
    /// Reported outcomes in order, with their virtual time.
    pub lines: Vec<String>,
    /// First time at which all nodes sent all traffic to the new version.
    pub complete_ms: Option<u64>,
    /// Time of the first call that a fault of the new version failed or slowed down.
    pub first_fault_ms: Option<u64>,
    /// First time after a rollback at which all nodes except paused ones sent the new version no traffic.
    pub zero_share_ms: Option<u64>,
    /// Whether any node decided on a rollback.
    pub rolled_back: bool,
    /// Number of calls that a fault of the new version failed or slowed down.
    pub affected_calls: u64,
    /// Number of all calls.
    pub calls: u64,
    /// Number of crashes of backend servers.
    pub crashes: u64,
    /// Maximum size of an encoded evidence report.
    pub report_bytes: usize,
}

impl SessionResult {
    /// Returns the result as the text of a golden file.
    pub fn text(&self) -> String {
        let mut text = self.lines.join("\n");
        let seconds = |ms: Option<u64>| {
            ms.map_or_else(|| "never".into(), |ms| format!("{:.1} s", ms as f64 / 1e3))
        };
        let _ = write!(
            text,
            "\ncomplete: {}, first fault: {}, share 0: {}, affected: {} of {} calls, crashes: {}",
            seconds(self.complete_ms),
            seconds(self.first_fault_ms),
            seconds(self.zero_share_ms),
            self.affected_calls,
            self.calls,
            self.crashes
        );
        text
    }

    /// Whether an outcome with this code was reported.
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
    fingerprint: u64,
}

struct Node {
    id: NodeId,
    engine: RolloutEngine,
    quarantine: Quarantine,
    /// Difference of the node's clock to the virtual time.
    clock_offset_ms: i64,
    /// Offset of the node's ticks.
    tick_offset_ms: u64,
    calls: Vec<Call>,
    /// Number of starts of the backend server.
    starts: u64,
    down_until_ms: u64,
    cold_until_ms: u64,
    /// Factor of the latency of the backend server's calls.
    latency_factor: f64,
}

struct Simulation<'a> {
    scenario: &'a Scenario,
    rng: StdRng,
    nodes: Vec<Node>,
    in_flight: Vec<Delivery>,
    routes: Vec<RouteName>,
    session: SessionResult,
    now_ms: u64,
    /// Identities of the outcomes that were reported.
    identities: Vec<String>,
    /// Times at which the crashing request is sent.
    crashing_requests: VecDeque<u64>,
}

/// Simulates a session.
pub fn run(scenario: &Scenario) -> SessionResult {
    let mut rng = StdRng::seed_from_u64(scenario.seed);
    let nodes = (0..NODES)
        .map(|i| {
            let half = (scenario.skew_ms / 2).cast_signed();
            Node {
                id: NodeId::from(format!("n{i}")),
                engine: start_engine(scenario, i),
                quarantine: Quarantine::new(),
                clock_offset_ms: rng.random_range(-half..=half),
                tick_offset_ms: rng.random_range(0..20) * STEP_MS,
                calls: Vec::new(),
                starts: 1,
                down_until_ms: 0,
                cold_until_ms: 0,
                latency_factor: rng.random_range(0.9..1.1),
            }
        })
        .collect();
    let mut simulation = Simulation {
        scenario,
        rng,
        nodes,
        in_flight: Vec::new(),
        routes: (0..scenario.routes)
            .map(|i| format!("r{i}").into())
            .collect(),
        session: SessionResult::default(),
        now_ms: 0,
        identities: Vec::new(),
        crashing_requests: VecDeque::new(),
    };
    let end = scenario.finish_ms() + scenario.after_ms;
    while simulation.now_ms < end {
        simulation.step();
        // Nothing changes after a rollback is known to all nodes.
        if simulation
            .session
            .zero_share_ms
            .is_some_and(|zero| simulation.now_ms > zero + 3_000)
        {
            break;
        }
        simulation.now_ms += STEP_MS;
    }
    simulation.session
}

fn start_engine(scenario: &Scenario, node: usize) -> RolloutEngine {
    let mut engine = RolloutEngine::new(NodeId::from(format!("n{node}")));
    engine.on_config(&scenario.document());
    if node < SERVERS / 2 {
        engine.set_serving(Some(("registry".into(), "v1".into())));
    } else if node < SERVERS && scenario.new_version_up {
        engine.set_serving(Some(("registry".into(), "v2".into())));
    }
    engine
}

fn is_within(spans: &[(usize, u64, u64)], node: usize, ms: u64) -> bool {
    spans
        .iter()
        .any(|(n, from, to)| *n == node && (*from..*to).contains(&ms))
}

impl Simulation<'_> {
    fn wall(&self, node: usize) -> WallMs {
        WallMs((EPOCH_MS + self.now_ms).saturating_add_signed(self.nodes[node].clock_offset_ms))
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    fn is_paused(&self, node: usize) -> bool {
        is_within(&self.scenario.pauses, node, self.now_ms)
    }

    fn step(&mut self) {
        for (node, at) in &self.scenario.restarts {
            if *at == self.now_ms {
                self.nodes[*node].engine = start_engine(self.scenario, *node);
            }
        }
        for fault in &self.scenario.faults {
            if let Fault::Restart { server, at_ms } = fault
                && *at_ms == self.now_ms
            {
                self.nodes[*server].down_until_ms = self.now_ms + 2_000;
                self.nodes[*server].cold_until_ms = self.now_ms + 4_000;
            }
        }
        if self.now_ms.is_multiple_of(500) {
            self.update_slots();
        }
        self.deliver();
        self.start_calls();
        for node in 0..SERVERS {
            self.finish_calls(node);
        }
        for node in 0..NODES {
            let due = self.now_ms % 200 == self.nodes[node].tick_offset_ms;
            if due && !self.is_paused(node) && self.scenario.policy == Policy::Evidence {
                self.tick(node);
            }
        }
        self.record_shares();
    }

    fn update_slots(&mut self) {
        let is_up = |node: &&Node| node.down_until_ms <= self.now_ms;
        let count = |nodes: &[Node]| nodes.iter().filter(is_up).count() as u32 * SLOTS;
        let old = count(&self.nodes[..SERVERS / 2]);
        let new = count(&self.nodes[SERVERS / 2..SERVERS]);
        let new = if self.scenario.new_version_up { new } else { 0 };
        for node in &mut self.nodes {
            node.engine.on_slots("registry", "v1", old);
            node.engine.on_slots("registry", "v2", new);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message, max_delay_ms: u64) {
        let is_cut_off = |node| is_within(&self.scenario.isolations, node, self.now_ms);
        if from == to
            || is_cut_off(from)
            || is_cut_off(to)
            || self.rng.random_bool(self.scenario.message_loss)
        {
            return;
        }
        let at_ms = self.now_ms + self.rng.random_range(1..=max_delay_ms);
        self.in_flight.push(Delivery {
            at_ms,
            from,
            to,
            message,
        });
    }

    fn broadcast(&mut self, from: usize, message: &Message) {
        for to in 0..NODES {
            // Gossip takes a few rounds to reach a node.
            self.send(from, to, message.clone(), 600);
        }
    }

    fn deliver(&mut self) {
        let mut i = 0;
        while i < self.in_flight.len() {
            let to = self.in_flight[i].to;
            if self.in_flight[i].at_ms > self.now_ms || self.is_paused(to) {
                i += 1;
                continue;
            }
            let delivery = self.in_flight.swap_remove(i);
            let (now, wall) = (self.now(), self.wall(to));
            let from = self.nodes[delivery.from].id.clone();
            let node = &mut self.nodes[to];
            match delivery.message {
                Message::Report(report) => node.engine.on_report(now, wall, &from, &report),
                Message::Progress(progress) => {
                    node.engine.on_progress(progress);
                }
                Message::Rollback(rollback) => {
                    node.engine.on_rollback(rollback);
                }
                Message::Crash(report) => {
                    let actions = node.quarantine.on_report(&report, wall);
                    self.perform_quarantine_actions(to, actions, false);
                }
            }
        }
    }

    fn perform_quarantine_actions(
        &mut self,
        node: usize,
        actions: Vec<QuarantineAction>,
        crashed_here: bool,
    ) {
        for action in actions {
            match action {
                QuarantineAction::Spread(report) if crashed_here => {
                    self.broadcast(node, &Message::Crash(report));
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
                        self.record_outcome(node, code.number(), &text);
                        self.identities.push(identity);
                    }
                }
            }
        }
    }

    fn record_outcome(&mut self, node: usize, code: u16, text: &str) {
        let seconds = self.now_ms as f64 / 1e3;
        self.session
            .lines
            .push(format!("{seconds:6.1} n{node} {code} {text}"));
    }

    fn start_calls(&mut self) {
        let expected = self.scenario.call_rate * STEP_MS as f64 / 1e3;
        let mut n = expected as u64;
        n += u64::from(self.rng.random_bool(expected.fract()));
        for _ in 0..n {
            let route = self.rng.random_range(0..self.routes.len());
            let fingerprint = self.rng.random();
            self.start_call(route, fingerprint, false);
        }
        for fault in &self.scenario.faults {
            if let Fault::CrashingRequest { from_ms } = fault
                && self.now_ms >= *from_ms
                && (self.now_ms - from_ms).is_multiple_of(2_000)
            {
                self.crashing_requests.push_back(self.now_ms);
            }
        }
        while self
            .crashing_requests
            .front()
            .is_some_and(|at| *at <= self.now_ms)
        {
            self.crashing_requests.pop_front();
            self.start_call(0, fingerprint("POST", "r0", "/crash", b"x"), true);
        }
    }

    fn start_call(&mut self, route: usize, fingerprint: u64, crashing: bool) {
        let entry = self.rng.random_range(0..NODES);
        let wall = self.wall(entry);
        if self.nodes[entry]
            .quarantine
            .is_quarantined(fingerprint, wall)
        {
            return;
        }
        let draw = self.rng.random_range(0..100);
        let new = match self.scenario.policy {
            Policy::FixedSchedule => draw < self.scenario.scheduled_share(self.now_ms),
            Policy::Evidence => {
                let shares = self.nodes[entry].engine.shares("registry", wall).unwrap();
                assert_eq!(shares.of("v1") + shares.of("v2"), 100);
                shares.pick(draw).unwrap().as_str() == "v2"
            }
        };
        self.session.calls += 1;
        let half = SERVERS / 2;
        let range = if new { half..SERVERS } else { 0..half };
        let up = range.filter(|i| self.nodes[*i].down_until_ms <= self.now_ms);
        let offset = self.rng.random_range(0..half);
        let least_loaded = up.min_by_key(|i| (self.nodes[*i].calls.len(), (i + offset) % half));
        let Some(server) = least_loaded.filter(|i| self.nodes[*i].calls.len() < SLOTS as usize)
        else {
            return;
        };
        self.dispatch(server, new, route, fingerprint, crashing);
    }

    fn dispatch(
        &mut self,
        server: usize,
        new: bool,
        route: usize,
        fingerprint: u64,
        crashing: bool,
    ) {
        let ms = self.now_ms;
        // The sum of three numbers from -1 to 1 approximates the standard normal distribution.
        let normal: f64 = (0..3).map(|_| self.rng.random_range(-1.0..1.0)).sum();
        let mut latency = self.scenario.latency_ms
            * (route + 1) as f64
            * (normal * self.scenario.latency_sigma).exp();
        if self.rng.random_bool(0.01) {
            latency *= 8.0;
        }
        latency *= self.nodes[server].latency_factor;
        latency *= 1.0 + self.nodes[server].calls.len() as f64 / f64::from(SLOTS);
        if ms < self.nodes[server].cold_until_ms {
            latency *= 10.0;
        }
        let mut failed = self.rng.random_bool(self.scenario.base_error_rate);
        let (mut crash, mut affected) = (crashing, false);
        for fault in &self.scenario.faults {
            let fraction = match *fault {
                Fault::Errors { from_ms, fraction } if new && ms >= from_ms => fraction,
                Fault::OneRoute { fraction } if new && route == 0 => fraction,
                Fault::UnderLoad { running, fraction }
                    if new && self.nodes[server].calls.len() >= running =>
                {
                    fraction
                }
                Fault::Slow { factor } if new => {
                    latency *= factor;
                    affected = true;
                    0.0
                }
                Fault::Crashes { fraction } if new => {
                    crash |= self.rng.random_bool(fraction);
                    affected |= crash;
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
                    fraction,
                } if (from_ms..to_ms).contains(&ms) => {
                    failed |= self.rng.random_bool(fraction);
                    0.0
                }
                Fault::OneServer {
                    server: faulty,
                    fraction,
                } if faulty == server => {
                    failed |= self.rng.random_bool(fraction);
                    0.0
                }
                Fault::Pauses { server: paused } if paused == server && ms % 10_000 < 500 => {
                    latency += (500 - ms % 10_000) as f64;
                    0.0
                }
                _ => 0.0,
            };
            if fraction > 0.0 && self.rng.random_bool(fraction) {
                failed = true;
                affected = true;
            }
        }
        if affected {
            self.session.affected_calls += 1;
            self.session.first_fault_ms.get_or_insert(ms);
        }
        self.nodes[server].calls.push(Call {
            ends_ms: ms + (latency as u64).clamp(1, 2_000),
            started_ms: ms,
            route,
            failed,
            crash,
            fingerprint,
        });
    }

    fn finish_calls(&mut self, server: usize) {
        let version = if server < SERVERS / 2 { "v1" } else { "v2" };
        let (now, wall, ms) = (self.now(), self.wall(server), self.now_ms);
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
        let (now, wall, ms) = (self.now(), self.wall(server), self.now_ms);
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
                fingerprint: call.fingerprint,
                backend_start: start,
            };
            node.engine.record_crash(now, wall, &sample);
            let report = CrashReport {
                fingerprint: call.fingerprint,
                node: node.id.clone(),
                backend_start: start,
                at: wall,
            };
            let actions = node.quarantine.on_crash(&report, wall);
            self.perform_quarantine_actions(server, actions, true);
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
                    self.broadcast(node, &Message::Progress(progress));
                }
                RolloutAction::RollBack(rollback) => {
                    self.session.rolled_back = true;
                    self.broadcast(node, &Message::Rollback(rollback));
                }
                RolloutAction::Outcome(outcome) => {
                    // Several nodes may report the same outcome.
                    if !self.identities.contains(&outcome.identity) {
                        self.record_outcome(node, outcome.code, &outcome.text);
                        self.identities.push(outcome.identity);
                    }
                }
            }
        }
        if self.now_ms % 1_000 == self.nodes[node].tick_offset_ms {
            // A state exchange delivers what lost messages would have.
            let to = self.rng.random_range(0..NODES);
            for progress in self.nodes[node].engine.progress() {
                self.send(node, to, Message::Progress(progress), 100);
            }
            for rollback in self.nodes[node].engine.rollbacks() {
                self.send(node, to, Message::Rollback(rollback), 100);
            }
        }
    }

    fn record_shares(&mut self) {
        if self.scenario.policy == Policy::FixedSchedule || !self.now_ms.is_multiple_of(50) {
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
        let no_share = (0..NODES).all(|i| self.is_paused(i) || shares[i] == 0);
        let session = &mut self.session;
        if session.complete_ms.is_none() && shares.iter().all(|share| *share == 100) {
            session.complete_ms = Some(self.now_ms);
        }
        if session.rolled_back && session.zero_share_ms.is_none() && no_share {
            session.zero_share_ms = Some(self.now_ms);
        }
    }
}
