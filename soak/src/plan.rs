//! Faults of one run, drawn from its seed: in series, overlapping, bounded in count and time.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::proxy::LinkFault;

/// Longest time of a fault that ends by itself.
const MAX_FAULT: Duration = Duration::from_secs(4);
/// Shortest such time.
const MIN_FAULT: Duration = Duration::from_millis(150);
/// Pause between two faults that are not of one series, at most.
const MAX_GAP_MS: u64 = 900;
/// Pause between two faults of one series, at most.
const MAX_SERIES_GAP_MS: u64 = 60;

/// A connection that faults are put on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkKind {
    /// Between a node and the store.
    Store,
    /// Between other nodes and a node.
    Node,
    /// Between a node and its backend server.
    Backend,
}

/// Fault of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreFault {
    /// Calls are refused.
    Refuse,
    /// Calls hang.
    Hang,
    /// Calls take longer.
    Slow,
    /// Answers of some appends are lost.
    LoseAnswers,
    /// Some appends are not answered and take effect late.
    LateAppends,
    /// Waiting reads do not notice some appends.
    MissedWakeups,
    /// Records expire early.
    Expire,
}

/// One event of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// A node gets SIGTERM and is started again after it has ended.
    StopNode(usize),
    /// A node is killed and started again.
    KillNode(usize, Duration),
    /// A node is paused.
    PauseNode(usize, Duration),
    /// A node gets SIGHUP.
    ReloadNode(usize),
    /// A backend server is killed and started again; the flag says under its old identity.
    KillBackend(usize, Duration, bool),
    /// A backend server leaves as planned and is started again.
    StopBackend(usize),
    /// A backend server is paused.
    PauseBackend(usize, Duration),
    /// A link has a fault.
    Link(LinkKind, usize, LinkFault, Duration),
    /// The store has a fault.
    Store(StoreFault, Duration),
    /// The configuration changes.
    Config,
    /// An older configuration or a broken one is written behind the newest.
    OldConfig(bool),
    /// A service is moved to a version; the flag says whether it is bad.
    Move(bool),
}

/// Load of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Callers of each node.
    pub callers: usize,
    /// Slots of each backend server.
    pub slots: usize,
    /// Longest service time, milliseconds.
    pub service_ms: u64,
}

impl Load {
    /// Whether the callers cannot fill the slots, so that each call has to be served.
    #[must_use]
    pub fn is_light(&self) -> bool {
        self.callers <= self.slots
    }
}

/// Draws the load of a run. In about half of the runs there is more work than slots.
#[must_use]
pub fn draw_load(seed: u64) -> Load {
    // Not the numbers that the events are drawn from.
    let mut rng = StdRng::seed_from_u64(!seed);
    Load {
        callers: rng.random_range(1..=8),
        slots: rng.random_range(2..=6),
        service_ms: rng.random_range(20..=200),
    }
}

/// Draws the events of a run with their times.
#[must_use]
pub fn draw(seed: u64, nodes: usize, length: Duration) -> Vec<(Duration, Event)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut events = Vec::new();
    let mut at = Duration::from_millis(500);
    let mut moved = false;
    while at < length {
        let series = if rng.random_bool(0.25) {
            rng.random_range(2..=4)
        } else {
            1
        };
        let first = event(&mut rng, nodes, &mut moved);
        for step in 0..series {
            // A series hits neighbours with the same kind of fault, or the same node again.
            let next = if step == 0 || rng.random_bool(0.5) {
                first
            } else {
                event(&mut rng, nodes, &mut moved)
            };
            events.push((at, next));
            at += Duration::from_millis(rng.random_range(0..=MAX_SERIES_GAP_MS));
        }
        at += Duration::from_millis(rng.random_range(50..=MAX_GAP_MS));
    }
    events
}

fn event(rng: &mut StdRng, nodes: usize, moved: &mut bool) -> Event {
    let node = rng.random_range(0..nodes);
    let time = time(rng, MAX_FAULT);
    match rng.random_range(0..100) {
        0..10 => Event::StopNode(node),
        10..18 => Event::KillNode(node, time / 2),
        18..26 => Event::PauseNode(node, time),
        26..28 => Event::ReloadNode(node),
        28..36 => Event::KillBackend(node, time / 2, rng.random_bool(0.3)),
        36..44 => Event::StopBackend(node),
        44..49 => Event::PauseBackend(node, time),
        49..73 => {
            let kind = match rng.random_range(0..3) {
                0 => LinkKind::Store,
                1 => LinkKind::Node,
                _ => LinkKind::Backend,
            };
            Event::Link(kind, node, link_fault(rng), time)
        }
        73..85 => Event::Store(store_fault(rng), time),
        85..94 => Event::Config,
        94..98 => Event::OldConfig(rng.random_bool(0.5)),
        _ if *moved => Event::Config,
        _ => {
            *moved = true;
            Event::Move(rng.random_bool(0.7))
        }
    }
}

fn link_fault(rng: &mut StdRng) -> LinkFault {
    match rng.random_range(0..5) {
        0 => LinkFault::Delay(time(rng, Duration::from_millis(400))),
        1 => LinkFault::Reset,
        2 => LinkFault::CutRequests,
        3 => LinkFault::CutAnswers,
        _ => LinkFault::Silence,
    }
}

fn store_fault(rng: &mut StdRng) -> StoreFault {
    match rng.random_range(0..7) {
        0 => StoreFault::Refuse,
        1 => StoreFault::Hang,
        2 => StoreFault::Slow,
        3 => StoreFault::LoseAnswers,
        4 => StoreFault::LateAppends,
        5 => StoreFault::MissedWakeups,
        _ => StoreFault::Expire,
    }
}

fn time(rng: &mut impl Rng, longest: Duration) -> Duration {
    let share = rng.random_range(0.0..1.0_f64);
    MIN_FAULT.min(longest) + longest.saturating_sub(MIN_FAULT).mul_f64(share * share)
}
