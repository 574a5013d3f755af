//! Moves of a service's traffic to a new version on the platform.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::coordination::placement::Results;
use sycamorewick::coordination::version_move::MoveAction;
use sycamorewick::coordination::version_move::Moves;
use sycamorewick::coordination::version_move::cancelled_percent;
use sycamorewick::protocol::fleet::MoveRecord;
use sycamorewick::protocol::fleet::MoveState;
use sycamorewick::protocol::hop::BackendTotals;
use sycamorewick::protocol::mesh::MoveOrder;
use sycamorewick::protocol::name::NodeId;
use sycamorewick::protocol::name::ServiceName;
use sycamorewick::protocol::name::VersionName;

const WITHIN: Duration = Duration::from_secs(15);
const ORDER: u64 = 4;

/// One node's view of a move: the results of both versions.
struct MoveSimulation {
    moves: Moves,
    now: Duration,
    old: BackendTotals,
    new: BackendTotals,
    new_slots: u32,
}

impl MoveSimulation {
    /// A move whose order is read when the process starts.
    fn new() -> Self {
        Self::ordered_at(Duration::ZERO)
    }

    fn ordered_at(now: Duration) -> Self {
        let mut moves = Moves::default();
        let order = MoveOrder {
            service: "registry".into(),
            target: "v2".into(),
            within: WITHIN,
        };
        moves.on_order(now, ORDER, order);
        // A process that starts reads whether the rollout has ended.
        moves.on_result(now, ORDER, None);
        Self {
            moves,
            now,
            old: BackendTotals::default(),
            new: BackendTotals::default(),
            new_slots: 54,
        }
    }

    fn tick(&mut self, rank: usize) -> Vec<MoveAction> {
        let (old, new, new_slots) = (self.old, self.new, self.new_slots);
        self.moves.tick(self.now, rank, |_, of| {
            let is_new = of(&VersionName::from("v2"));
            Results {
                tally: if is_new { new } else { old },
                slots: if is_new { new_slots } else { 54 },
                ..Results::default()
            }
        })
    }

    fn record(&mut self, state: MoveState) -> bool {
        let record = MoveRecord {
            order: ORDER,
            state,
            elapsed_ms: u64::try_from(self.now.as_millis()).expect("a short time"),
            author: "a".into(),
            era: None,
        };
        self.moves
            .on_record(self.now, &ServiceName::from("registry"), record)
    }

    /// Advances the time by a quarter of a second with `calls` calls, of which the new version gets its
    /// share. Returns the state that the node records, if any.
    fn advance(
        &mut self,
        calls: f64,
        failure_rate: f64,
        latency_percent: u64,
    ) -> Option<MoveState> {
        self.now += Duration::from_millis(250);
        let share = self.share();
        let new = (calls * share).round();
        let whole = |calls: f64| {
            format!("{calls:.0}")
                .parse::<u64>()
                .expect("a whole number")
        };
        self.new.runs += whole(new);
        self.new.failures += whole(new * failure_rate);
        self.new.latency_percent += whole(new) * latency_percent;
        self.old.runs += whole(calls - new);
        self.old.latency_percent += whole(calls - new) * 30;
        let action = self.tick(0).into_iter().next()?;
        self.record(action.state);
        Some(action.state)
    }

    fn share(&self) -> f64 {
        self.moves
            .plan(&"registry".into())
            .map_or(1.0, |plan| plan.share)
    }
}

/// Guards against a good version that is not complete in time.
#[gtest]
fn tick_good() {
    let mut simulation = MoveSimulation::new();
    let mut last = None;
    while last != Some(MoveState::Complete) {
        last = simulation.advance(100.0, 0.0, 30).or(last);
        assert_that!(simulation.now, lt(WITHIN));
    }
    expect_that!(simulation.share(), eq(1.0));
}

/// A version that fails half of its calls from the start, at 400 calls a second. Guards against
/// exposing more than a tenth of the calls plus 50.
#[gtest]
fn tick_bad_at_once() {
    let mut simulation = MoveSimulation::new();
    while simulation.advance(100.0, 0.5, 30) != Some(MoveState::Reverted) {
        assert_that!(simulation.now, lt(WITHIN));
    }
    expect_that!(simulation.new.runs, lt(100));
    expect_true!(
        simulation
            .moves
            .plan(&"registry".into())
            .is_some_and(|plan| plan.banned)
    );
}

/// The fault begins when the new version has most of the traffic. Guards against the good results of
/// the first seconds hiding the fault.
#[gtest]
fn tick_bad_late() {
    let mut simulation = MoveSimulation::new();
    let mut state = None;
    while simulation.share() < 0.5 {
        state = simulation.advance(100.0, 0.0, 30).or(state);
    }
    let before = simulation.now;
    while state != Some(MoveState::Reverted) {
        state = simulation.advance(100.0, 0.4, 30).or(state);
        assert_that!(
            simulation.now.saturating_sub(before),
            lt(Duration::from_secs(1))
        );
    }
    expect_that!(simulation.share(), eq(0.0));
}

/// A version that is several times slower. Guards against evaluating only failures.
#[gtest]
fn tick_slow() {
    let mut simulation = MoveSimulation::new();
    while simulation.advance(100.0, 0.0, 120) != Some(MoveState::Reverted) {
        assert_that!(simulation.now, lt(Duration::from_secs(4)));
    }
}

/// Both versions fail at the same rate for a common reason. Guards against reverting a good
/// version for it.
#[gtest]
fn tick_shared_fault() {
    let mut simulation = MoveSimulation::new();
    for _ in 0..20 {
        simulation.old.failures += 10;
        expect_that!(
            simulation.advance(100.0, 0.1, 30),
            not(some(eq(MoveState::Reverted)))
        );
    }
}

/// Guards against a share that grows while the new version has too few backend servers: the old ones are
/// stopped after the move.
#[gtest]
fn tick_few_slots() {
    let mut simulation = MoveSimulation::new();
    simulation.new_slots = 9;
    for _ in 0..80 {
        simulation.advance(100.0, 0.0, 30);
    }
    expect_that!(simulation.share(), le(0.1));
}

/// Guards against all nodes recording the same step.
#[gtest]
fn tick_rank() {
    let mut simulation = MoveSimulation::ordered_at(Duration::from_secs(10));
    expect_true!(simulation.tick(1).is_empty());
    expect_that!(simulation.tick(0).len(), eq(1));
    simulation.now += Duration::from_millis(300);
    expect_that!(simulation.tick(1).len(), eq(1));
}

/// Guards against a faulty version that is completed by a node which sees no fault, while the node that has
/// found it waits for those of lower rank: the last steps of a move of 10 s take 1.6 s.
#[gtest]
fn tick_fault_found_by_high_rank() {
    let mut simulation = MoveSimulation::ordered_at(Duration::from_secs(10));
    expect_true!(simulation.record(MoveState::Step(3)));
    expect_that!(simulation.tick(7).len(), eq(0));
    simulation.new.runs += 20;
    simulation.new.failures += 10;
    let found_at = simulation.now;
    while simulation.tick(90).is_empty() {
        simulation.now += Duration::from_millis(250);
    }
    let waited = simulation.now.saturating_sub(found_at);
    expect_that!(waited, le(Duration::from_secs(1)));
}

/// Guards against a process that starts after the store has gone back, finds an order without its result, and
/// sends calls to a version that has been taken back.
#[gtest]
fn tick_after_start_with_lost_result() {
    let mut simulation = MoveSimulation::new();
    while simulation.now < Duration::from_secs(2) {
        expect_that!(simulation.advance(100.0, 0.0, 30), none());
    }
    expect_that!(simulation.new.runs, eq(0));
    // The other nodes write the result again.
    expect_true!(simulation.record(MoveState::Reverted));
    for _ in 0..20 {
        expect_that!(simulation.advance(100.0, 0.0, 30), none());
    }
    expect_that!(simulation.new.runs, eq(0));
}

/// Guards against a final state that a late record changes.
#[gtest]
fn on_record_after_end() {
    let mut simulation = MoveSimulation::new();
    expect_true!(simulation.record(MoveState::Step(1)));
    expect_false!(simulation.record(MoveState::Step(0)));
    expect_true!(simulation.record(MoveState::Reverted));
    expect_false!(simulation.record(MoveState::Complete));
    expect_false!(simulation.record(MoveState::Step(3)));
    expect_that!(simulation.share(), eq(0.0));
}

/// Guards against using the new version before any node has recorded the first step.
#[gtest]
fn plan_before_record() {
    let simulation = MoveSimulation::new();
    expect_that!(simulation.share(), eq(0.0));
}

/// Guards against a node that restarts and measures the age of the order from its restart.
#[gtest]
fn on_record_before_order() {
    let mut moves = Moves::default();
    let record = MoveRecord {
        order: ORDER,
        state: MoveState::Step(2),
        elapsed_ms: 9_000,
        author: "a".into(),
        era: None,
    };
    moves.on_record(Duration::ZERO, &"registry".into(), record);
    let order = MoveOrder {
        service: "registry".into(),
        target: "v2".into(),
        within: WITHIN,
    };
    moves.on_order(Duration::from_millis(1), ORDER, order);
    moves.on_result(Duration::from_millis(2), ORDER, None);
    let plan = moves.plan(&"registry".into()).expect("the order is known");
    expect_that!(plan.share, eq(0.6));
}

/// Guards against dividing a small share among all new backend servers, so that none of them would show a
/// fault under load.
#[gtest]
fn is_exposed_small_share() {
    let nodes: Vec<NodeId> = ["a", "b", "c", "d", "e", "f"].map(NodeId::from).to_vec();
    let exposed = |share| {
        nodes
            .iter()
            .filter(|node| Moves::is_exposed(share, &nodes, node))
            .count()
    };
    expect_that!(exposed(0.08), eq(1));
    expect_that!(exposed(0.3), eq(2));
    expect_that!(exposed(1.0), eq(6));
}

/// A version that is four times slower, whose runs are cancelled when second attempts finish first.
/// Guards against completing the move because only the remaining, faster runs count.
#[gtest]
fn cancelled_percent_slow_version() {
    let objective = Duration::from_millis(600);
    let percent = |millis| cancelled_percent(Duration::from_millis(millis), objective);
    // The old version takes 33% of the objective; second attempts start after 66% and end at 100%.
    expect_that!(percent(600), some(gt(3 * 33)));
    expect_that!(percent(400), some(ge(99)));
    // A run that the caller cancels early is no sign of a slow version.
    expect_that!(percent(200), none());
}

fn order_of(target: &str) -> MoveOrder {
    MoveOrder {
        service: "registry".into(),
        target: target.into(),
        within: WITHIN,
    }
}

/// Moves the simulation on until the move is complete.
fn completed() -> MoveSimulation {
    let mut simulation = MoveSimulation::new();
    while simulation.advance(100.0, 0.0, 30) != Some(MoveState::Complete) {}
    simulation
}

/// Ticks for some seconds and returns what the node records.
fn recorded(simulation: &mut MoveSimulation) -> Vec<(u64, MoveState)> {
    let mut recorded = Vec::new();
    for _ in 0..20 {
        simulation.now += Duration::from_millis(250);
        for action in simulation.tick(0) {
            let record = MoveRecord {
                order: action.offset,
                state: action.state,
                elapsed_ms: action.elapsed_ms,
                author: "a".into(),
                era: action.era,
            };
            simulation
                .moves
                .on_record(simulation.now, &"registry".into(), record);
            recorded.push((action.offset, action.state));
        }
    }
    recorded
}

/// Guards against a completed move that begins anew, or is no longer recorded, after the store has lost its
/// order and the operator has written it again at another offset, higher or lower.
#[gtest]
fn on_store_restored_order_written_again() {
    for offset in [ORDER - 2, ORDER, ORDER + 3] {
        let mut simulation = completed();
        simulation.moves.on_store_restored(simulation.now, Some(2));
        // Nothing can be recorded while the order has no offset in the new era.
        expect_that!(recorded(&mut simulation), is_empty());
        let new = simulation
            .moves
            .on_order(simulation.now, offset, order_of("v2"));
        expect_false!(new);
        expect_that!(simulation.share(), eq(1.0));
        let once = [(offset, MoveState::Complete)];
        expect_that!(recorded(&mut simulation), eq(&once));
    }
}

/// Guards against records that are written again although the store has kept them.
#[gtest]
fn on_store_restored_records_kept() {
    let complete = |order| MoveRecord {
        order,
        state: MoveState::Complete,
        elapsed_ms: 1,
        author: "b".into(),
        era: Some(2),
    };
    for is_record_first in [false, true] {
        let mut simulation = completed();
        let service = ServiceName::from("registry");
        let now = simulation.now;
        simulation.moves.on_store_restored(now, Some(2));
        if is_record_first {
            simulation.moves.on_record(now, &service, complete(ORDER));
        }
        simulation.moves.on_order(now, ORDER, order_of("v2"));
        if !is_record_first {
            simulation.moves.on_record(now, &service, complete(ORDER));
        }
        expect_that!(recorded(&mut simulation), is_empty());
        expect_that!(simulation.share(), eq(1.0));
    }
}

/// Guards against a node that was suspended while the others, who had not read the lost end of a move, ended
/// it otherwise: it would go on to ban the only version that is left.
#[gtest]
fn on_store_restored_other_end() {
    let mut simulation = MoveSimulation::new();
    let service = ServiceName::from("registry");
    simulation.record(MoveState::Reverted);
    let now = simulation.now;
    simulation.moves.on_store_restored(now, Some(2));
    simulation.moves.on_order(now, ORDER, order_of("v2"));
    let mut complete = |era| {
        let record = MoveRecord {
            order: ORDER,
            state: MoveState::Complete,
            elapsed_ms: 1,
            author: "b".into(),
            era,
        };
        simulation.moves.on_record(now, &service, record)
    };
    expect_false!(complete(Some(1)));
    expect_true!(complete(Some(2)));
    expect_that!(recorded(&mut simulation), is_empty());
    expect_that!(simulation.share(), eq(1.0));
}

/// Guards against a result that is lost although its progress, written a moment later, is not.
#[gtest]
fn on_store_restored_progress_of_earlier_era() {
    let mut simulation = completed();
    let now = simulation.now;
    simulation.moves.on_store_restored(now, Some(2));
    simulation.moves.on_order(now, ORDER, order_of("v2"));
    let record = MoveRecord {
        order: ORDER,
        state: MoveState::Complete,
        elapsed_ms: 1,
        author: "a".into(),
        era: Some(1),
    };
    simulation.moves.on_record(now, &"registry".into(), record);
    let once = [(ORDER, MoveState::Complete)];
    expect_that!(recorded(&mut simulation), eq(&once));
}

/// Guards against an order of the store's copy that takes the place of the later one, before the operator
/// has written that again, and against a later order that is not taken for a new one.
#[gtest]
fn on_store_restored_older_order() {
    let mut simulation = completed();
    let now = simulation.now;
    simulation.moves.on_order(now, ORDER + 2, order_of("v3"));
    simulation.moves.on_store_restored(now, Some(2));
    expect_false!(simulation.moves.on_order(now, ORDER, order_of("v2")));
    let plan = simulation.moves.plan(&"registry".into());
    expect_that!(plan.map(|plan| plan.target), some(eq(&"v3".into())));
    expect_false!(simulation.moves.on_order(now, ORDER + 1, order_of("v3")));
    expect_true!(simulation.moves.on_order(now, ORDER + 2, order_of("v4")));
}

/// Guards against the same order, given again long after the store has gone back, that has no effect.
#[gtest]
fn on_store_restored_order_repeated_later() {
    let mut simulation = completed();
    simulation.moves.on_store_restored(simulation.now, Some(2));
    let mut order = |offset, after| {
        let at = simulation.now + Duration::from_secs(after);
        simulation.moves.on_order(at, offset, order_of("v2"))
    };
    expect_false!(order(ORDER, 1));
    // The operator writes all of its orders again.
    expect_false!(order(ORDER + 1, 2));
    expect_true!(order(ORDER + 2, 60));
}

/// Guards against a faulty version that is no longer banned, or of which the revert is not recorded, when the
/// store goes back in the midst of its move.
#[gtest]
fn on_store_restored_running_move() {
    let mut simulation = MoveSimulation::new();
    while simulation.advance(100.0, 0.0, 30) != Some(MoveState::Step(0)) {}
    simulation.moves.on_store_restored(simulation.now, Some(2));
    simulation.new.runs += 20;
    simulation.new.failures += 10;
    expect_that!(recorded(&mut simulation), is_empty());
    let plan = simulation.moves.plan(&"registry".into());
    expect_true!(plan.is_some_and(|plan| plan.banned));
    simulation
        .moves
        .on_order(simulation.now, ORDER + 1, order_of("v2"));
    let last = recorded(&mut simulation).pop();
    expect_that!(last, some(eq((ORDER + 1, MoveState::Reverted))));
}

/// Guards against a fault that is recorded before the nodes that know of a completed rollout have written its
/// lost result again, and against a node without the fault that goes on before the fault is recorded.
#[gtest]
fn on_store_restored_fault_waits_for_lost_end() {
    let mut faulty = MoveSimulation::new();
    faulty.record(MoveState::Step(3));
    faulty.now += WITHIN;
    faulty.moves.on_store_restored(faulty.now, Some(2));
    faulty.moves.on_order(faulty.now, ORDER, order_of("v2"));
    let restored = faulty.now;
    expect_that!(faulty.tick(0), is_empty());
    faulty.new.runs += 20;
    faulty.new.failures += 10;
    faulty.now = restored + Duration::from_millis(900);
    expect_that!(faulty.tick(0), is_empty());
    expect_that!(faulty.share(), eq(0.0));
    faulty.now = restored + Duration::from_millis(1_750);
    let state = faulty.tick(7).first().map(|action| action.state);
    expect_that!(state, some(eq(MoveState::Reverted)));

    let mut sound = MoveSimulation::new();
    sound.record(MoveState::Step(3));
    sound.now += WITHIN;
    sound.moves.on_store_restored(sound.now, Some(2));
    sound.moves.on_order(sound.now, ORDER, order_of("v2"));
    sound.now += Duration::from_millis(1_950);
    expect_that!(sound.tick(0), is_empty());
    // Another node records the step again.
    let record = MoveRecord {
        order: ORDER,
        state: MoveState::Step(3),
        elapsed_ms: 1,
        author: "b".into(),
        era: Some(2),
    };
    sound.moves.on_record(sound.now, &"registry".into(), record);
    expect_that!(sound.tick(0), is_empty());
    sound.now += Duration::from_millis(100);
    let state = sound.tick(0).first().map(|action| action.state);
    expect_that!(state, some(eq(MoveState::Complete)));
}

/// Guards against a state of a rollout that a process which starts later does not learn, because another
/// program has written a record in its place.
#[gtest]
fn on_unreadable_record_written_again() {
    let mut simulation = completed();
    let now = simulation.now;
    simulation
        .moves
        .on_unreadable_record(now, &"registry".into());
    let once = [(ORDER, MoveState::Complete)];
    expect_that!(recorded(&mut simulation), eq(&once));
    // A service without a rollout has no state to write.
    simulation
        .moves
        .on_unreadable_record(now, &"harbour".into());
    expect_that!(recorded(&mut simulation), is_empty());
}

/// Guards against a version that was taken back and gets requests again, because the nodes were killed after
/// the operator's result was written and before it was recorded for them.
#[gtest]
fn on_result_read_at_start() {
    let service = ServiceName::from("registry");
    for end in [None, Some(MoveState::Reverted), Some(MoveState::Complete)] {
        let mut moves = Moves::default();
        let order = MoveOrder {
            service: service.clone(),
            target: "v2".into(),
            within: WITHIN,
        };
        moves.on_order(Duration::from_millis(10), ORDER, order);
        let step = MoveRecord {
            order: ORDER,
            state: MoveState::Step(3),
            elapsed_ms: 9_000,
            author: "a".into(),
            era: None,
        };
        moves.on_record(Duration::from_millis(20), &service, step);
        let share = |moves: &Moves| moves.plan(&service).map(|plan| plan.share);
        let awaits_result =
            |moves: &Moves| moves.plan(&service).is_some_and(|plan| plan.awaits_result);
        expect_that!(share(&moves), some(eq(0.0)));
        expect_true!(awaits_result(&moves));
        expect_that!(moves.unread_results().len(), eq(1));
        moves.on_result(Duration::from_millis(30), ORDER, end);
        expect_false!(awaits_result(&moves));
        expect_that!(moves.unread_results().len(), eq(0));
        let is_reverted = end == Some(MoveState::Reverted);
        let expected = if is_reverted { 0.0 } else { 1.0 };
        expect_that!(share(&moves), some(eq(expected)), "{end:?}");
        let banned = moves.plan(&service).is_some_and(|plan| plan.banned);
        expect_that!(banned, eq(is_reverted));
        // The end is recorded for the other nodes, which may not know it either.
        let tick =
            |moves: &mut Moves| moves.tick(Duration::from_millis(40), 0, |_, _| Results::default());
        let recorded = tick(&mut moves).first().map(|action| action.state);
        expect_that!(recorded, eq(end));
    }
}

/// Guards against a version that was taken back and is used again because the operator orders another one, and
/// against a ban that stays although the operator wants the version again.
#[gtest]
fn on_order_after_revert() {
    let service = ServiceName::from("registry");
    let is_banned = |moves: &Moves| moves.is_banned(&service, &"v2".into());
    let order = |target: &str| MoveOrder {
        service: service.clone(),
        target: target.into(),
        within: WITHIN,
    };
    let mut simulation = MoveSimulation::new();
    expect_true!(simulation.record(MoveState::Reverted));
    let moves = &mut simulation.moves;
    expect_false!(is_banned(moves));
    expect_true!(moves.plan(&service).is_some_and(|plan| plan.banned));
    moves.on_order(Duration::from_secs(5), ORDER + 1, order("v3"));
    expect_true!(is_banned(moves));
    expect_false!(moves.is_banned(&"archive".into(), &"v2".into()));
    moves.on_order(Duration::from_secs(6), ORDER + 2, order("v4"));
    expect_true!(is_banned(moves));
    expect_false!(moves.is_banned(&service, &"v3".into()));
    moves.on_order(Duration::from_secs(7), ORDER + 3, order("v2"));
    expect_false!(is_banned(moves));
}

/// Guards against a service that is refused for as long as the store is away, because the result of a rollout
/// that ran before the start of the process can't be read.
#[gtest]
fn plan_result_not_readable() {
    let service = ServiceName::from("registry");
    let mut moves = Moves::default();
    moves.on_order(Duration::from_millis(10), ORDER, order_of("v2"));
    let mut awaits_result_at = |millis| {
        let now = Duration::from_millis(millis);
        let _ = moves.tick(now, 0, |_, _| Results::default());
        moves.plan(&service).is_some_and(|plan| plan.awaits_result)
    };
    expect_true!(awaits_result_at(100));
    expect_true!(awaits_result_at(2_900));
    expect_false!(awaits_result_at(3_100));
}
