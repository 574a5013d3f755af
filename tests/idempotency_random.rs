//! Randomised runs of claimants and key replicas in virtual time on a faulty network. They check
//! invariant 7: no key is dispatched twice.

mod request_common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use rand::RngExt;
use rand::rngs::StdRng;
use request_common::for_seeds;
use request_common::key_at;
use request_common::member;
use request_common::ms;
use sycamorewick::coordination::idempotency::Claimant;
use sycamorewick::coordination::idempotency::Decision;
use sycamorewick::coordination::idempotency::KeyReplica;
use sycamorewick::coordination::idempotency::REPLICAS;
use sycamorewick::coordination::idempotency::ReplicaView;
use sycamorewick::coordination::idempotency::replicas_for;
use sycamorewick::coordination::membership::Departed;
use sycamorewick::protocol::call::Executed;
use sycamorewick::protocol::claim::ClaimId;
use sycamorewick::protocol::claim::ClaimReply;
use sycamorewick::protocol::claim::ClaimRequest;
use sycamorewick::protocol::claim::CompleteRequest;
use sycamorewick::protocol::claim::RecordedAnswer;
use sycamorewick::protocol::claim::ReleaseRequest;
use sycamorewick::protocol::document::Region;
use sycamorewick::protocol::gossip::Member;
use sycamorewick::protocol::gossip::MemberStatus;
use sycamorewick::protocol::time::WallMs;
use sycamorewick::result_code::ResultCode;

const DOMAINS: [&str; 4] = ["accra-1", "accra-2", "accra-3", "tbilisi-1"];
const REPLICAS_PER_DOMAIN: usize = 2;
/// Number of nodes that are entry nodes only. Their indexes follow those of the key replicas.
const ENTRY_NODES: usize = 4;
const KEYS: usize = 60;
const RUN_TIME: Duration = Duration::from_mins(2);
/// Time at which the calls start, after the time in which a started key replica grants no opaque key.
const EPOCH: Duration = Duration::from_hours(1);
const WALL_BASE: u64 = 1_700_000_000_000;

/// Probabilities per message, call or second.
#[derive(Clone, Copy, Default)]
struct Faults {
    drop: f64,
    duplicate: f64,
    slow: f64,
    cut: f64,
    pause: f64,
    restart: f64,
    claimant_crash: f64,
    /// A key replica leaves or is declared dead, is replaced, and returns.
    replaced: f64,
    /// Maximum difference between a clock and the mean of all clocks.
    skew_ms: u64,
}

/// Events at one node, except `Fault`, which concerns all nodes.
enum Event {
    /// Key, and number of retries that the caller has left.
    Call(usize, u8),
    /// Sender, call, index of the key replica in the call.
    Claim(usize, usize, usize, ClaimRequest),
    /// Call, index of the key replica in the call.
    Reply(usize, usize, ClaimReply),
    Release(ReleaseRequest),
    Complete(CompleteRequest),
    /// Call.
    Timeout(usize),
    Dispatch(usize),
    RunEnd(usize),
    /// Member, and its new status in the membership view of the node.
    View(usize, MemberStatus),
    Restart,
    Fault,
}

struct Node {
    replica: KeyReplica,
    members: Vec<Member>,
    departed: Vec<Departed>,
    declared_dead_at: Option<WallMs>,
    started_at: WallMs,
    started: Duration,
    skew: u64,
    paused_until: Duration,
    claims: u64,
}

struct Call {
    claimant: Option<Claimant>,
    key: usize,
    entry: usize,
    replicas: [Option<usize>; REPLICAS],
    dispatched: bool,
    retries_left: u8,
}

#[derive(Debug, Default)]
struct Totals {
    runs: Vec<u32>,
    replays: u32,
    refused_not_run: u32,
    in_use: u32,
    unknown: u32,
}

struct Simulation<'a> {
    rng: &'a mut StdRng,
    faults: Faults,
    /// Node and event by time.
    queue: BTreeMap<(Duration, u64), (usize, Event)>,
    sequence: u64,
    time: Duration,
    nodes: Vec<Node>,
    regions: Vec<Region>,
    keys: Vec<Arc<str>>,
    calls: Vec<Call>,
    cut: Vec<(usize, usize, Duration)>,
    settled_at: Duration,
    totals: Totals,
}

impl<'a> Simulation<'a> {
    fn new(rng: &'a mut StdRng, faults: Faults) -> Self {
        let replicas = DOMAINS.len() * REPLICAS_PER_DOMAIN;
        let mut members = Vec::new();
        for index in 0..replicas + ENTRY_NODES {
            let domain = DOMAINS
                .get(index / REPLICAS_PER_DOMAIN)
                .unwrap_or(&"lome-1");
            members.push(member(
                &format!("n{index}"),
                domain,
                u16::try_from(index).unwrap(),
            ));
        }
        let nodes = members
            .iter()
            .map(|member| Node {
                replica: KeyReplica::new(member.id.clone(), member.domain.clone()),
                members: members.clone(),
                departed: Vec::new(),
                declared_dead_at: None,
                started_at: WallMs(0),
                started: Duration::ZERO,
                skew: rng.random_range(0..=2 * faults.skew_ms),
                paused_until: Duration::ZERO,
                claims: 0,
            })
            .collect();
        let region = |name: &str, domains: &[&str]| Region {
            name: name.into(),
            failure_domains: domains.iter().map(|domain| (*domain).into()).collect(),
        };
        Self {
            rng,
            faults,
            queue: BTreeMap::new(),
            sequence: 0,
            time: EPOCH,
            nodes,
            regions: vec![
                region("accra", &DOMAINS[..3]),
                region("tbilisi", &DOMAINS[3..]),
            ],
            keys: Vec::new(),
            calls: Vec::new(),
            cut: Vec::new(),
            settled_at: EPOCH,
            totals: Totals {
                runs: vec![0; KEYS],
                ..Totals::default()
            },
        }
    }

    fn wall(&self, node: usize) -> WallMs {
        let millis = u64::try_from(self.time.as_millis()).unwrap();
        WallMs(WALL_BASE + millis + self.nodes[node].skew)
    }

    fn now(&self, node: usize) -> Duration {
        self.time.saturating_sub(self.nodes[node].started)
    }

    fn schedule(&mut self, time: Duration, node: usize, event: Event) {
        self.sequence += 1;
        self.queue.insert((time, self.sequence), (node, event));
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    fn random_ms(&mut self, low: u64, high: u64) -> Duration {
        ms(self.rng.random_range(low..=high))
    }

    fn send(&mut self, from: usize, to: usize, event: impl Fn() -> Event) {
        let time = self.time;
        self.cut.retain(|cut| cut.2 > time);
        let pair = (from.min(to), from.max(to));
        let cut = self.cut.iter().any(|cut| (cut.0, cut.1) == pair);
        let copies = if cut || self.chance(self.faults.drop) {
            0
        } else {
            1 + usize::from(self.chance(self.faults.duplicate))
        };
        for _ in 0..copies {
            let slow = self.chance(self.faults.slow);
            let delay = self.random_ms(1, if slow { 20_000 } else { 8 });
            self.schedule(time + delay, to, event());
        }
    }

    fn run(mut self) -> Totals {
        for key in 0..KEYS {
            let start = EPOCH + self.random_ms(0, 100_000);
            let caller_skew = self.rng.random_range(0..=2 * self.faults.skew_ms);
            let created = WALL_BASE + u64::try_from(start.as_millis()).unwrap() + caller_skew;
            let opaque = self.chance(0.2);
            let name = if opaque {
                format!("claim/order-{key}")
            } else {
                key_at(WallMs(created), key as u64)
            };
            self.keys.push(name.into());
            let copies = self.rng.random_range(1..=3);
            for _ in 0..copies {
                let time = start + self.random_ms(0, 20);
                let entry = self.random_entry();
                self.schedule(time, entry, Event::Call(key, 10));
            }
        }
        self.schedule(EPOCH, 0, Event::Fault);
        while let Some(((time, sequence), (node, event))) = self.queue.pop_first() {
            let resume = self.nodes[node].paused_until;
            if resume > time && !matches!(event, Event::Fault) {
                self.queue.insert((resume, sequence), (node, event));
                continue;
            }
            self.time = time;
            self.handle(node, event);
        }
        self.totals
    }

    fn random_entry(&mut self) -> usize {
        let first = DOMAINS.len() * REPLICAS_PER_DOMAIN;
        self.rng.random_range(first..first + ENTRY_NODES)
    }

    fn handle(&mut self, at: usize, event: Event) {
        let (now, wall) = (self.now(at), self.wall(at));
        let node = &mut self.nodes[at];
        match event {
            Event::Call(key, retries_left) => self.start_call(key, at, retries_left),
            Event::Claim(from, call, slot, request) => {
                let view = ReplicaView {
                    members: &node.members,
                    started_at: node.started_at,
                    declared_dead_at: node.declared_dead_at,
                    departed: &node.departed,
                };
                let reply = node.replica.claim(now, wall, &view, &request);
                self.send(at, from, || Event::Reply(call, slot, reply.clone()));
            }
            Event::Reply(call, slot, reply) => {
                self.apply_decision(call, |claim| claim.on_reply(now, slot, reply));
            }
            Event::Timeout(call) => self.apply_decision(call, |claim| claim.on_timeout(now)),
            Event::Release(request) => node.replica.release(now, &request),
            Event::Complete(request) => node.replica.complete(now, &request),
            Event::Dispatch(call) => self.dispatch(at, call),
            Event::RunEnd(call) => {
                let answer = (!self.chance(self.faults.drop)).then(|| RecordedAnswer {
                    status: 201,
                    content_type: None,
                    body: Some(self.calls[call].key.to_be_bytes().to_vec()),
                });
                let known = answer.is_some();
                self.complete(at, call, answer);
                if !known || self.chance(0.3) {
                    self.repeat(call);
                }
            }
            Event::View(member, status) => {
                let entry = &mut node.members[member];
                entry.status = status;
                if status >= MemberStatus::Leaving {
                    let (id, domain) = (entry.id.clone(), entry.domain.clone());
                    let at = wall;
                    node.departed.push(Departed { id, domain, at });
                } else if at == member {
                    node.declared_dead_at = Some(wall);
                }
            }
            Event::Restart => {
                let Member { id, domain, .. } = node.members[at].clone();
                node.replica = KeyReplica::new(id, domain);
                node.departed.clear();
                node.declared_dead_at = None;
                node.started = self.time;
                node.started_at = wall;
            }
            Event::Fault => self.inject_faults(),
        }
    }

    fn start_call(&mut self, key: usize, entry: usize, retries_left: u8) {
        let placed = replicas_for(&self.keys[key], &self.regions, &self.nodes[entry].members);
        let number = |id: &str| id[1..].parse::<usize>().unwrap();
        let replicas = placed
            .each_ref()
            .map(|p| p.as_ref().map(|p| number(p.1.as_str())));
        let (now, wall) = (self.now(entry), self.wall(entry));
        let node = &mut self.nodes[entry];
        node.claims += 1;
        let claim = ClaimId {
            node: node.members[entry].id.clone(),
            started_ms: 0,
            sequence: node.claims,
        };
        let claimant = Claimant::new(
            now,
            wall,
            now + ms(2_000),
            claim,
            self.keys[key].clone(),
            key as u64,
            placed.map(|p| p.map(|p| p.0)),
        );
        let index = self.calls.len();
        for (slot, to) in replicas.iter().enumerate() {
            let (Some(to), Some(request)) = (*to, claimant.request(slot)) else {
                continue;
            };
            self.send(entry, to, || {
                Event::Claim(entry, index, slot, request.clone())
            });
        }
        let timeout = self.time + claimant.timeout_at().saturating_sub(now);
        self.schedule(timeout, entry, Event::Timeout(index));
        self.calls.push(Call {
            claimant: Some(claimant),
            key,
            entry,
            replicas,
            dispatched: false,
            retries_left,
        });
    }

    fn apply_decision(&mut self, call: usize, act: impl FnOnce(&mut Claimant) -> Option<Decision>) {
        let decision = self.calls[call].claimant.as_mut().and_then(act);
        match decision {
            None => {}
            Some(Decision::Dispatch) => {
                if self.chance(self.faults.claimant_crash) {
                    self.calls[call].claimant = None;
                    self.repeat(call);
                    return;
                }
                let time = self.time + self.random_ms(0, 2);
                let to = self.calls[call].entry;
                self.schedule(time, to, Event::Dispatch(call));
            }
            Some(decision) => self.refused(call, &decision),
        }
    }

    fn dispatch(&mut self, entry: usize, call: usize) {
        let (now, wall) = (self.now(entry), self.wall(entry));
        let Some(claimant) = self.calls[call].claimant.as_mut() else {
            return;
        };
        if let Err(decision) = claimant.dispatch(now, wall) {
            self.refused(call, &decision);
            return;
        }
        match self.rng.random_range(0..20) {
            0 => {
                self.calls[call].claimant.as_mut().unwrap().not_run();
                self.dispatch(entry, call);
            }
            1 => {
                let claimant = self.calls[call].claimant.as_mut().unwrap();
                claimant.not_run();
                assert!(claimant.abandon());
                self.refused(call, &Decision::Refuse(ResultCode::NoBackend, Executed::No));
            }
            _ => {
                let key = self.calls[call].key;
                self.calls[call].dispatched = true;
                self.totals.runs[key] += 1;
                assert!(self.totals.runs[key] < 2, "key {key} was dispatched twice");
                if self.chance(self.faults.claimant_crash) {
                    self.calls[call].claimant = None;
                    self.repeat(call);
                    return;
                }
                let time = self.time + self.random_ms(5, 500);
                self.schedule(time, entry, Event::RunEnd(call));
            }
        }
    }

    fn complete(&mut self, entry: usize, call: usize, answer: Option<RecordedAnswer>) {
        let claimant = self.calls[call].claimant.as_mut();
        let request = claimant
            .and_then(|claimant| claimant.complete(answer))
            .unwrap();
        for to in self.calls[call].replicas.into_iter().flatten() {
            self.send(entry, to, || Event::Complete(request.clone()));
        }
    }

    fn refused(&mut self, call: usize, decision: &Decision) {
        let Call {
            key,
            entry,
            dispatched,
            replicas,
            ..
        } = self.calls[call];
        let releases: Vec<_> = self.calls[call]
            .claimant
            .as_ref()
            .unwrap()
            .releases()
            .collect();
        for (slot, request) in releases {
            let to = replicas[slot].unwrap();
            self.send(entry, to, || Event::Release(request.clone()));
        }
        let ran = self.totals.runs[key] > 0;
        match decision {
            Decision::Replay(answer) => {
                assert!(ran, "key {key} is answered without a run");
                assert_eq!(answer.body.as_deref(), Some(&key.to_be_bytes()[..]));
                self.totals.replays += 1;
                return;
            }
            Decision::Refuse(code, Executed::No) => {
                assert!(!dispatched, "not run for a dispatched call");
                // Without any reply from a key replica, "not run" is a statement about this call only.
                let without_reply = *code == ResultCode::KeyReplicasUnreachable;
                assert!(
                    !ran || without_reply,
                    "{code}: not run for key {key}, which ran"
                );
                self.totals.refused_not_run += 1;
            }
            Decision::Refuse(ResultCode::KeyInUse, _) => self.totals.in_use += 1,
            Decision::Refuse(..) => self.totals.unknown += 1,
            Decision::Dispatch => unreachable!(),
        }
        self.repeat(call);
    }

    /// Lets the caller retry its request with the same key.
    fn repeat(&mut self, call: usize) {
        let Call {
            key, retries_left, ..
        } = self.calls[call];
        if retries_left > 0 {
            let time = self.time + self.random_ms(50, 3_000);
            let entry = self.random_entry();
            self.schedule(time, entry, Event::Call(key, retries_left - 1));
        }
    }

    fn inject_faults(&mut self) {
        let replicas = DOMAINS.len() * REPLICAS_PER_DOMAIN;
        let time = self.time;
        for node in 0..replicas {
            if self.nodes[node].paused_until <= time {
                let (now, wall) = (self.now(node), self.wall(node));
                self.nodes[node].replica.tick(now, wall);
            }
        }
        if self.chance(self.faults.cut) {
            let (a, b) = (self.rng.random_range(0..replicas), self.random_entry());
            let until = time + self.random_ms(100, 10_000);
            self.cut.push((a, b, until));
        }
        if self.chance(self.faults.pause) {
            let node = self.rng.random_range(0..self.nodes.len());
            self.nodes[node].paused_until = time + self.random_ms(50, 20_000);
        }
        if self.chance(self.faults.restart) {
            let to = self.rng.random_range(0..replicas);
            self.schedule(time, to, Event::Restart);
        }
        if time >= self.settled_at && self.chance(self.faults.replaced) {
            // The faults affect one failure domain at a time, see "Limitations" in `idempotency`.
            let member = self.rng.random_range(0..replicas);
            let down = self.random_ms(3_000, 15_000);
            let leaves = self.chance(0.5);
            let (status, learns_at) = if leaves {
                // A leaving node is the first to know that it leaves, and returns as a new process.
                self.schedule(time, member, Event::View(member, MemberStatus::Leaving));
                self.schedule(time + down, member, Event::Restart);
                (MemberStatus::Leaving, time + down)
            } else {
                self.nodes[member].paused_until = time + down;
                (MemberStatus::Dead, time + down + ms(500))
            };
            for to in (0..self.nodes.len()).filter(|to| *to != member) {
                let gone = time + self.random_ms(1_000, 3_000);
                self.schedule(gone, to, Event::View(member, status));
                let back = time + down + self.random_ms(1_000, 3_000);
                self.schedule(back, to, Event::View(member, MemberStatus::Alive));
            }
            self.schedule(learns_at, member, Event::View(member, MemberStatus::Alive));
            self.settled_at = time + down + ms(10_000);
        }
        if time < EPOCH + RUN_TIME {
            self.schedule(time + ms(1_000), 0, Event::Fault);
        }
    }
}

const ALL_FAULTS: Faults = Faults {
    drop: 0.05,
    duplicate: 0.1,
    slow: 0.05,
    cut: 0.5,
    pause: 0.1,
    restart: 0.03,
    claimant_crash: 0.05,
    replaced: 0.2,
    skew_ms: 1_000,
};

fn runs_at_most_once(test: &str, faults: Faults) {
    let total = std::cell::RefCell::new(Totals::default());
    for_seeds(test, 60, |_, rng| {
        let totals = Simulation::new(rng, faults).run();
        let mut total = total.borrow_mut();
        total.runs.extend(&totals.runs);
        total.replays += totals.replays;
        total.refused_not_run += totals.refused_not_run;
        total.in_use += totals.in_use;
        total.unknown += totals.unknown;
    });
    let total = total.into_inner();
    let ran = total.runs.iter().sum::<u32>();
    println!(
        "{test}: {} keys, {ran} ran, {} replays, {} not run, {} in use, {} unknown",
        total.runs.len(),
        total.replays,
        total.refused_not_run,
        total.in_use,
        total.unknown
    );
    // Key replicas that refused every claim would pass the checks above.
    assert!(
        ran as usize * 2 > total.runs.len(),
        "fewer than half of the keys ran"
    );
}

/// Guards against keys that do not run, or repeats that are not replayed, although nothing fails.
#[gtest]
fn keys_without_faults_run_exactly_once() {
    for_seeds(
        "idempotency_random::keys_without_faults_run_exactly_once",
        60,
        |_, rng| {
            let totals = Simulation::new(rng, Faults::default()).run();
            assert_that!(totals.runs, each(eq(&1)));
            assert_that!(totals.replays, gt(0));
            assert_that!(totals.unknown, eq(0));
        },
    );
}

/// Guards against double runs when messages are lost, duplicated, delayed and reordered.
#[gtest]
fn keys_on_faulty_network_run_at_most_once() {
    let faults = Faults {
        pause: 0.0,
        restart: 0.0,
        replaced: 0.0,
        skew_ms: 2_500,
        ..ALL_FAULTS
    };
    runs_at_most_once(
        "idempotency_random::keys_on_faulty_network_run_at_most_once",
        faults,
    );
}

/// Guards against double runs when key replicas lose their grants in restarts and clocks differ by the
/// permitted maximum.
#[gtest]
fn keys_with_restarting_replicas_run_at_most_once() {
    let faults = Faults {
        restart: 0.1,
        replaced: 0.0,
        skew_ms: 2_500,
        ..ALL_FAULTS
    };
    runs_at_most_once(
        "idempotency_random::keys_with_restarting_replicas_run_at_most_once",
        faults,
    );
}

/// Guards against double runs while nodes disagree about the key replica of one failure domain.
#[gtest]
fn keys_with_replaced_replicas_run_at_most_once() {
    runs_at_most_once(
        "idempotency_random::keys_with_replaced_replicas_run_at_most_once",
        ALL_FAULTS,
    );
}
