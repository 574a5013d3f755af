//! Plan of one run, drawn from its seed: faults that come alone or in series, may overlap, and are bounded
//! in number and duration.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::proxy::LinkFault;
use crate::workspaces::WorkspaceChange;

/// Maximum duration of a fault.
const MAX_FAULT_DURATION: Duration = Duration::from_secs(4);
/// Minimum duration of a fault.
const MIN_FAULT_DURATION: Duration = Duration::from_millis(150);
/// Maximum pause between two faults that are not in one series.
const MAX_GAP_MS: u64 = 900;
/// Maximum pause between two faults of one series.
const MAX_SERIES_GAP_MS: u64 = 60;

/// Connections that faults are injected into.
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
    /// Calls are delayed.
    Slow,
    /// Responses to some appends are lost.
    DropResponses,
    /// Some appends get no response and take effect late.
    LateAppends,
    /// Long-polling reads are not woken by some appends.
    MissedWakeups,
    /// Records expire early.
    ExpireEarly,
    /// The store goes back to the copy that it took at the begin of the fault, after a moment without
    /// service. The operator writes its newest records again.
    GoBack,
}

/// Message of another program that comes to all nodes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StrayMessage {
    /// Heartbeat of a service that is not the node's.
    HeartbeatOfOtherService,
    /// Heartbeat of a backend server at another address.
    HeartbeatOfOtherAddress,
    /// Heartbeat of the node's backend server that does not name its start.
    HeartbeatWithoutStart,
    /// Deregistration of an unknown backend server.
    UnknownDeregistration,
    /// Deregistration of the node's backend server with an unreadable start.
    UnreadableDeregistration,
    /// Unreadable record in the place of the node's entry.
    UnreadableEntry,
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
    /// A backend server is killed and started again; the flag says whether it keeps its id.
    KillBackend(usize, Duration, bool),
    /// A backend server gets SIGTERM, so that it leaves, and is started again.
    StopBackend(usize),
    /// A backend server is paused.
    PauseBackend(usize, Duration),
    /// A connection has a fault.
    LinkFault(LinkKind, usize, LinkFault, Duration),
    /// The store has a fault.
    StoreFault(StoreFault, Duration),
    /// The next configuration is written.
    PutConfig,
    /// An older configuration is written over the newest one; the flag says whether it is truncated.
    PutOldConfig(bool),
    /// The service is moved to the new version; the flag says whether that version is bad.
    OrderMove(bool),
    /// Another program sends a message to all nodes.
    StrayMessage(StrayMessage),
    /// A backend server leaves, and a heartbeat from before that, without its start, comes late.
    LateHeartbeat(usize),
    /// The connections to all backend servers of the service without idempotent routes have a fault.
    ServiceFault(LinkFault, Duration),
    /// All open connections of a kind become slow and then silent for good. New ones work.
    SilenceConnections(LinkKind, Duration),
    /// The next configuration is written with other workspaces.
    ChangeWorkspaces(WorkspaceChange),
    /// The connections between some nodes and the store have a fault, and meanwhile the next configuration is
    /// written with other workspaces.
    ChangeDuringCut {
        /// Index of the first node.
        first: usize,
        /// Number of nodes.
        count: usize,
        /// Fault.
        fault: LinkFault,
        /// Duration of the fault.
        duration: Duration,
        /// Change.
        change: WorkspaceChange,
    },
    /// A workspace sends many times its usual rate.
    Surge(usize, Duration),
}

/// Load of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Number of callers of each node.
    pub callers: usize,
    /// Slots of each backend server.
    pub slots: usize,
    /// Maximum service time, milliseconds.
    pub service_ms: u64,
}

impl Load {
    /// Whether the callers cannot fill the slots, so that every call must be served.
    #[must_use]
    pub fn is_light(&self) -> bool {
        self.callers <= self.slots
    }
}

/// Draws the load of a run. In about half of the runs there are more callers than slots.
#[must_use]
pub fn draw_load(seed: u64) -> Load {
    // The complement makes the load independent of the events, which are drawn from the seed itself.
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
        let series_length = if rng.random_bool(0.25) {
            rng.random_range(2..=4)
        } else {
            1
        };
        let first = draw_event(&mut rng, nodes, &mut moved);
        for index in 0..series_length {
            // A series repeats its first event or mixes in other ones, so that faults overlap.
            let next = if index == 0 || rng.random_bool(0.5) {
                first
            } else {
                draw_event(&mut rng, nodes, &mut moved)
            };
            events.push((at, next));
            at += Duration::from_millis(rng.random_range(0..=MAX_SERIES_GAP_MS));
        }
        at += Duration::from_millis(rng.random_range(50..=MAX_GAP_MS));
    }
    events.extend(draw_restores(seed, length));
    events.extend(draw_stray_events(seed, nodes, length));
    events.sort_by_key(|(at, _)| *at);
    events
}

/// Draws the times at which the store goes back, in about half of the runs. They have a generator of their
/// own, so that the other events of a seed stay as they were.
fn draw_restores(seed: u64, length: Duration) -> Vec<(Duration, Event)> {
    let mut rng = StdRng::seed_from_u64(seed.rotate_left(32));
    let restores = rng
        .random_range(0..=2_u32)
        .saturating_sub(rng.random_range(0..=1));
    let draw = |_| {
        let at = length.mul_f64(rng.random_range(0.0..0.8));
        let copy_age = draw_duration(&mut rng, MAX_FAULT_DURATION);
        (at, Event::StoreFault(StoreFault::GoBack, copy_age))
    };
    (0..restores).map(draw).collect()
}

/// Draws messages of other programs and faults of a whole service or of all connections of a kind. They have a
/// generator of their own as well.
fn draw_stray_events(seed: u64, nodes: usize, length: Duration) -> Vec<(Duration, Event)> {
    let mut rng = StdRng::seed_from_u64(seed.rotate_left(16));
    let count = rng.random_range(1..=6);
    let draw = |_| {
        let at = length.mul_f64(rng.random_range(0.1..0.95));
        let duration = draw_duration(&mut rng, MAX_FAULT_DURATION);
        let event = match rng.random_range(0..10) {
            0 => Event::StrayMessage(StrayMessage::HeartbeatOfOtherService),
            1 => Event::StrayMessage(StrayMessage::HeartbeatOfOtherAddress),
            2 => Event::StrayMessage(StrayMessage::HeartbeatWithoutStart),
            3 => Event::StrayMessage(StrayMessage::UnknownDeregistration),
            4 => Event::StrayMessage(StrayMessage::UnreadableDeregistration),
            5 => Event::StrayMessage(StrayMessage::UnreadableEntry),
            6 | 7 => Event::LateHeartbeat(rng.random_range(0..nodes)),
            8 => Event::ServiceFault(LinkFault::DropResponses, duration),
            _ => Event::SilenceConnections(draw_link_kind(&mut rng), duration / 2),
        };
        (at, event)
    };
    (0..count).map(draw).collect()
}

fn draw_event(rng: &mut StdRng, nodes: usize, moved: &mut bool) -> Event {
    let node = rng.random_range(0..nodes);
    let duration = draw_duration(rng, MAX_FAULT_DURATION);
    match rng.random_range(0..100) {
        0..10 => Event::StopNode(node),
        10..18 => Event::KillNode(node, duration / 2),
        18..26 => Event::PauseNode(node, duration),
        26..28 => Event::ReloadNode(node),
        28..36 => Event::KillBackend(node, duration / 2, rng.random_bool(0.3)),
        36..44 => Event::StopBackend(node),
        44..49 => Event::PauseBackend(node, duration),
        49..73 => {
            let kind = draw_link_kind(rng);
            Event::LinkFault(kind, node, draw_link_fault(rng), duration)
        }
        73..85 => Event::StoreFault(draw_store_fault(rng), duration),
        85..94 => Event::PutConfig,
        94..98 => Event::PutOldConfig(rng.random_bool(0.5)),
        _ if *moved => Event::PutConfig,
        _ => {
            *moved = true;
            Event::OrderMove(rng.random_bool(0.7))
        }
    }
}

fn draw_link_kind(rng: &mut StdRng) -> LinkKind {
    match rng.random_range(0..3) {
        0 => LinkKind::Store,
        1 => LinkKind::Node,
        _ => LinkKind::Backend,
    }
}

fn draw_link_fault(rng: &mut StdRng) -> LinkFault {
    match rng.random_range(0..5) {
        0 => LinkFault::Delay(draw_duration(rng, Duration::from_millis(400))),
        1 => LinkFault::Reset,
        2 => LinkFault::DropRequests,
        3 => LinkFault::DropResponses,
        _ => LinkFault::Stall,
    }
}

fn draw_store_fault(rng: &mut StdRng) -> StoreFault {
    match rng.random_range(0..7) {
        0 => StoreFault::Refuse,
        1 => StoreFault::Hang,
        2 => StoreFault::Slow,
        3 => StoreFault::DropResponses,
        4 => StoreFault::LateAppends,
        5 => StoreFault::MissedWakeups,
        _ => StoreFault::ExpireEarly,
    }
}

/// Draws a duration of at most `max`. Short durations are more likely than long ones.
fn draw_duration(rng: &mut impl Rng, max: Duration) -> Duration {
    let fraction = rng.random_range(0.0..1.0_f64);
    MIN_FAULT_DURATION.min(max)
        + max
            .saturating_sub(MIN_FAULT_DURATION)
            .mul_f64(fraction * fraction)
}
