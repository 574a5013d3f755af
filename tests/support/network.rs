//! A simulated network of `Gossip` instances in virtual time, with delays, lost and duplicate datagrams,
//! partitions and pauses that depend on a seed. Every datagram is checked against the size limit, and every
//! step against the rule that incarnations, versions and grow-only state never decrease.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sycamorewick::coordination::dissemination::Gossip;
use sycamorewick::coordination::dissemination::GossipAction;
use sycamorewick::protocol::auth::AUTH_OVERHEAD;
use sycamorewick::protocol::codec;
use sycamorewick::protocol::gossip::MAX_DATAGRAM_BYTES;
use sycamorewick::protocol::gossip::Member;
use sycamorewick::protocol::gossip::Packet;
use sycamorewick::protocol::gossip::SyncState;
use sycamorewick::protocol::name::ConfigVersion;
use sycamorewick::protocol::time::WallMs;

use super::checks;
use super::node::Node;
use super::node::wall;

/// Size of the IP and UDP headers, counted with every datagram.
const IP_UDP_HEADER_BYTES: usize = 28;
/// Time for which a sync occupies a slot of the node that serves it.
const SYNC_SERVICE_TIME: Duration = Duration::from_millis(20);
const TICK_INTERVAL: Duration = Duration::from_millis(100);

enum Event {
    Tick,
    Datagram(SocketAddr, Packet),
    SyncRequest(usize, SyncState),
    SyncServed,
    SyncReply(Option<SyncState>),
    PullRequest(usize),
    PullReply(Option<ConfigVersion>),
}

pub struct Network {
    pub nodes: Vec<Node>,
    pub now: Duration,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Probability that a datagram arrives twice.
    pub duplicate: f64,
    /// Maximum additional delay, which reorders datagrams.
    pub jitter: Duration,
    /// Whether every step is checked. The cost of a check is proportional to the number of nodes.
    pub check_steps: bool,
    /// Recorded lines on member changes, syncs and pulls; `None` records nothing.
    pub trace: Option<Vec<String>>,
    rng: StdRng,
    /// Events with their node and its epoch, ordered by time and number.
    queue: BTreeMap<(Duration, u64), (usize, u32, Event)>,
    scheduled: u64,
}

impl Network {
    /// Starts `count` nodes that use the first four as seeds.
    pub fn new(count: usize, seed: u64) -> Self {
        let mut net = Self {
            nodes: Vec::new(),
            now: Duration::ZERO,
            loss: 0.0,
            duplicate: 0.0,
            jitter: Duration::ZERO,
            check_steps: true,
            trace: None,
            rng: StdRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            scheduled: 0,
        };
        for index in 0..count {
            let node = Node::start(index, net.now, net.rng.random());
            net.nodes.push(node);
            net.schedule_tick(index);
        }
        net
    }

    /// Restarts a node without its state, under the same id.
    pub fn restart(&mut self, index: usize) {
        let mut node = Node::start(index, self.now, self.rng.random());
        node.partition = self.nodes[index].partition;
        node.epoch = self.nodes[index].epoch + 1;
        self.nodes[index] = node;
        self.schedule_tick(index);
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].running = false;
        self.nodes[index].epoch += 1;
    }

    /// Calls the gossip instance of a node and performs the actions that it returns.
    pub fn act(
        &mut self,
        index: usize,
        call: impl FnOnce(&mut Gossip, Duration, WallMs) -> Vec<GossipAction>,
    ) {
        let wall = wall(index, self.now);
        let node = &mut self.nodes[index];
        let local = self.now.saturating_sub(node.started);
        let actions = call(&mut node.gossip, local, wall);
        if self.check_steps {
            let state = node.gossip.sync_state();
            checks::assert_monotonic(&node.last_state, &state);
            node.last_state = state;
        }
        for action in actions {
            self.perform(index, action);
        }
    }

    /// Runs the simulation for a time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= end
        {
            self.now = entry.key().0;
            let (index, epoch, event) = entry.remove();
            self.handle(index, epoch, event);
        }
        self.now = end;
    }

    /// Runs until the condition holds, and returns the elapsed time. Returns `None` after `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        step: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !condition(self) {
            if self.now.saturating_sub(start) >= limit {
                return None;
            }
            self.run(step);
        }
        Some(self.now.saturating_sub(start))
    }

    /// Returns the number of running nodes for which the condition holds.
    pub fn count(&self, condition: impl Fn(&Gossip) -> bool) -> usize {
        let running = self.nodes.iter().filter(|n| n.running);
        running.filter(|n| condition(&n.gossip)).count()
    }

    fn schedule(&mut self, delay: Duration, index: usize, event: Event) {
        self.scheduled += 1;
        let key = (self.now + delay, self.scheduled);
        let epoch = self.nodes[index].epoch;
        self.queue.insert(key, (index, epoch, event));
    }

    fn schedule_tick(&mut self, index: usize) {
        let phase = TICK_INTERVAL.mul_f64(self.rng.random_range(0.0..1.0));
        self.schedule(phase, index, Event::Tick);
    }

    fn handle(&mut self, index: usize, epoch: u32, event: Event) {
        let node = &mut self.nodes[index];
        if node.epoch != epoch || !node.running {
            return;
        }
        if node.paused_until > self.now {
            let wait = node.paused_until.saturating_sub(self.now);
            return self.schedule(wait, index, event);
        }
        match event {
            Event::Tick => {
                self.schedule(TICK_INTERVAL, index, Event::Tick);
                self.act(index, Gossip::tick);
            }
            Event::Datagram(from, packet) => {
                self.act(index, |g, now, wall| g.on_packet(now, wall, from, packet));
            }
            Event::SyncRequest(from, state) => {
                let served = node.gossip.try_acquire_sync_slot();
                let reply = served.then(|| self.nodes[index].count_sync());
                let delay = self.delay(index, from);
                self.schedule(delay, from, Event::SyncReply(reply));
                if served {
                    self.schedule(SYNC_SERVICE_TIME, index, Event::SyncServed);
                    self.act(index, |g, now, wall| g.on_sync(now, wall, state));
                }
            }
            Event::SyncServed => node.gossip.release_sync_slot(),
            Event::SyncReply(Some(state)) => {
                self.act(index, |g, now, wall| g.on_sync(now, wall, state));
            }
            Event::SyncReply(None) => {
                let local = self.now.saturating_sub(node.started);
                node.gossip.on_sync_failed(local);
            }
            Event::PullRequest(from) => {
                let version = node.gossip.version();
                let delay = self.delay(index, from);
                self.schedule(delay, from, Event::PullReply(Some(version)));
            }
            Event::PullReply(version) => self.act(index, |g, now, _| match version {
                Some(version) if version > g.version() => g.on_new_version(now, version),
                _ => g.on_pull_failed(now),
            }),
        }
    }

    fn perform(&mut self, index: usize, action: GossipAction) {
        match action {
            GossipAction::Send { to, packet } => self.send(index, to, &packet),
            GossipAction::Sync { addr } => {
                let state = self.nodes[index].count_sync();
                self.record(index, || format!("sync with {}", addr.port()));
                let request = Event::SyncRequest(index, state);
                self.request(index, addr, request, Event::SyncReply(None));
            }
            GossipAction::PullConfig { peer } => {
                self.record(index, || format!("pull from {}", peer.id));
                let request = Event::PullRequest(index);
                self.request(index, peer.node_addr, request, Event::PullReply(None));
            }
            GossipAction::MemberChanged { before, after } => {
                let status = |m: &Member| format!("{:?}", m.status);
                let before = before.as_ref().map_or("unknown".into(), status);
                if before != status(&after) {
                    self.record(index, || {
                        format!("{} {before} -> {:?}", after.id, after.status)
                    });
                }
            }
            GossipAction::DeclaredDead => {
                self.record(index, || "was declared dead".into());
                self.nodes[index].declared_dead += 1;
            }
            GossipAction::VersionStatus { have, total, .. } => {
                self.nodes[index].version_statuses.push((have, total));
            }
            _ => (),
        }
    }

    fn request(&mut self, index: usize, addr: SocketAddr, request: Event, failure: Event) {
        if let Some(to) = self.reachable(index, usize::from(addr.port()) - 20_000) {
            let delay = self.delay(index, to);
            self.schedule(delay, to, request);
        } else {
            self.schedule(Duration::from_secs(1), index, failure);
        }
    }

    fn send(&mut self, index: usize, to: SocketAddr, packet: &Packet) {
        let size = codec::encode_compact(packet).expect("encodes").len() + AUTH_OVERHEAD;
        assert!(
            size <= MAX_DATAGRAM_BYTES,
            "datagram of {size} bytes is too large"
        );
        let node = &mut self.nodes[index];
        node.sent.bytes += size + IP_UDP_HEADER_BYTES;
        node.sent.datagrams += 1;
        let from = node.gossip.me().gossip_addr;
        let Some(to) = self.reachable(index, usize::from(to.port()) - 10_000) else {
            return;
        };
        let copies = 1 + usize::from(self.rng.random_bool(self.duplicate));
        for _ in 0..copies {
            if !self.rng.random_bool(self.loss) {
                let delay = self.delay(index, to);
                self.schedule(delay, to, Event::Datagram(from, packet.clone()));
            }
        }
    }

    fn reachable(&self, from: usize, to: usize) -> Option<usize> {
        let node = self.nodes.get(to)?;
        (node.running && node.partition == self.nodes[from].partition).then_some(to)
    }

    fn delay(&mut self, from: usize, to: usize) -> Duration {
        let base = if from % 2 == to % 2 { 1 } else { 8 };
        let jitter = self.rng.random_range(0.0..1.0);
        Duration::from_millis(base) + self.jitter.mul_f64(jitter)
    }

    fn record(&mut self, index: usize, text: impl FnOnce() -> String) {
        let seconds = self.now.as_secs_f64();
        if let Some(trace) = &mut self.trace {
            trace.push(format!("{seconds:8.1} n{index:02} {}", text()));
        }
    }
}
