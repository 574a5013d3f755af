//! Follows the topics of the platform's store. See `docs/platform.md`, "Store".

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use slog::info;
use slog::warn;

use crate::coordination::topic_cursor::NextRead;
use crate::coordination::topic_cursor::TopicCursor;
use crate::platform::config;
use crate::platform::config::OperatorKey;
use crate::platform::store::FLEET_TOPIC;
use crate::platform::store::KeyedBatch;
use crate::platform::store::KeyedRecord;
use crate::platform::store::MOVE_TOPIC;
use crate::platform::store::OPERATOR_TOPIC;
use crate::platform::store::StoreFailure;
use crate::protocol::codec;
use crate::protocol::fleet::FleetEntry;
use crate::protocol::fleet::MoveRecord;
use crate::protocol::name::NodeId;
use crate::protocol::name::ServiceName;
use crate::sidecar::Sidecar;
use crate::state::routing_table::RoutingTable;

/// Pause between two reads with records, so that a storm of changes costs few calls. It is well
/// below the 2 s within which a configuration has to be in force.
const STORM_PAUSE: Duration = Duration::from_millis(250);
/// First pause after a read that failed; doubled up to [`RETRY_MAX`].
const RETRY_BASE: Duration = Duration::from_millis(100);
/// Longest such pause. Entries have to be back within 2 s of the store's return.
const RETRY_MAX: Duration = Duration::from_millis(800);

/// Starts to follow all topics.
pub fn start(cx: &Rc<Sidecar>) {
    for (topic, apply) in [
        (OPERATOR_TOPIC, apply_operator as Apply),
        (FLEET_TOPIC, apply_fleet),
        (MOVE_TOPIC, apply_moves),
    ] {
        let cx = cx.clone();
        actix_rt::spawn(async move { follow(&cx, topic, apply).await });
    }
}

type Apply = fn(&Rc<Sidecar>, &KeyedRecord);

async fn follow(cx: &Rc<Sidecar>, topic: &'static str, apply: Apply) {
    let mut cursor = TopicCursor::default();
    let mut failures = 0_u32;
    loop {
        let next = cursor.next();
        let began = cx.clock.now();
        let read = match next {
            NextRead::Newest => read_all(cx, topic).await,
            NextRead::From(from) => cx.store.read(topic, from, cursor.wait()).await,
        };
        match read {
            Ok(batch) => {
                if failures > 0 {
                    info!(cx.log, "store answers again"; "topic" => topic, "failures" => failures);
                }
                failures = 0;
                let took = cx.clock.since(began);
                let changed = !batch.records.is_empty();
                take_over(cx, &mut cursor, next, batch, took, apply);
                if topic == FLEET_TOPIC {
                    cx.state.borrow_mut().fleet_known = true;
                }
                if changed && next != NextRead::Newest {
                    actix_rt::time::sleep(STORM_PAUSE).await;
                }
            }
            Err(StoreFailure::Expired) => {
                info!(cx.log, "records expired"; "topic" => topic, "next" => format!("{next:?}"));
                cursor.on_expired();
            }
            Err(failure) => {
                cx.metrics.store_failures.increment(1);
                cursor.on_failure();
                if failures == 0 {
                    warn!(cx.log, "store does not answer"; "topic" => topic, "why" => format!("{failure:?}"));
                }
                let pause = RETRY_BASE * 2_u32.saturating_pow(failures.min(8));
                let factor = cx.state.borrow_mut().rng.random_range(0.5..1.0);
                failures += 1;
                actix_rt::time::sleep(pause.min(RETRY_MAX).mul_f64(factor)).await;
            }
        }
    }
}

/// Applies the records that are news, in the order of their offsets.
fn take_over(
    cx: &Rc<Sidecar>,
    cursor: &mut TopicCursor,
    read: NextRead,
    mut batch: KeyedBatch,
    took: Duration,
    apply: Apply,
) {
    if read == NextRead::Newest {
        let offsets: Vec<u64> = batch.records.iter().map(|record| record.offset).collect();
        cursor.on_newest(&offsets, batch.first_page, batch.end);
        batch.records.sort_unstable_by_key(|record| record.offset);
    } else {
        cursor.on_read(batch.end, took);
    }
    for record in &batch.records {
        if cursor.is_news(&record.key, record.offset) {
            apply(cx, record);
        }
    }
}

/// A topic that nobody has written to does not exist.
async fn read_all(cx: &Sidecar, topic: &str) -> Result<KeyedBatch, StoreFailure> {
    match cx.store.newest(topic).await {
        Err(StoreFailure::Refused(404)) => Ok(KeyedBatch::default()),
        other => other,
    }
}

fn apply_operator(cx: &Rc<Sidecar>, record: &KeyedRecord) {
    match config::read_key(&record.key) {
        Some(OperatorKey::Config) => apply_config(cx, record),
        Some(OperatorKey::Move(service)) => match config::read_order(&record.value) {
            Ok(order) => {
                let text = format!(
                    "{} to {} within {:?}",
                    order.service, order.target, order.within
                );
                let now = cx.clock.now();
                let new = cx
                    .state
                    .borrow_mut()
                    .moves
                    .on_order(now, record.offset, order);
                info!(cx.log, "order to move"; "order" => text, "offset" => record.offset, "new" => new);
            }
            Err(why) => {
                warn!(cx.log, "order ignored"; "service" => service, "offset" => record.offset, "why" => why);
            }
        },
        None => {
            info!(cx.log, "record ignored"; "key" => &record.key, "offset" => record.offset);
        }
    }
}

/// Puts a configuration in force unless it is older than the one in force or broken.
fn apply_config(cx: &Rc<Sidecar>, record: &KeyedRecord) {
    let config = match config::read_config(&record.value) {
        Ok(config) => config,
        Err(why) => {
            warn!(cx.log, "configuration refused"; "offset" => record.offset, "why" => why);
            return;
        }
    };
    let mut state = cx.state.borrow_mut();
    let in_force = state.table.as_ref().map_or(0, |table| table.version());
    if state.table.is_some() && config.version <= in_force {
        info!(cx.log, "configuration ignored"; "version" => config.version, "in_force" => in_force,
            "offset" => record.offset);
        return;
    }
    let table = RoutingTable::new(config);
    info!(cx.log, "configuration in force"; "version" => table.version(), "before" => in_force,
        "routes" => table.routes(), "offset" => record.offset);
    #[allow(clippy::cast_precision_loss, reason = "a gauge is a float")]
    cx.metrics.config_version.set(table.version() as f64);
    state.table = Some(Rc::new(table));
}

fn apply_fleet(cx: &Rc<Sidecar>, record: &KeyedRecord) {
    let now = cx.clock.now();
    let is_own = record.key == cx.settings.id.as_str();
    if record.value.is_empty() {
        if is_own {
            cx.state.borrow_mut().announced = None;
            cx.entry_changed.notify_one();
        } else {
            cx.state
                .borrow_mut()
                .placement
                .forget(&NodeId::from(&*record.key));
            info!(cx.log, "node left"; "peer" => &record.key, "offset" => record.offset);
        }
        return;
    }
    let entry: FleetEntry = match codec::decode(&record.value) {
        Ok(entry) => entry,
        Err(failure) => {
            warn!(cx.log, "entry ignored"; "key" => &record.key, "offset" => record.offset, "why" => failure.text);
            return;
        }
    };
    if is_own {
        // A late write of an earlier process must not stand.
        if entry.run != cx.run {
            cx.state.borrow_mut().announced = None;
            cx.entry_changed.notify_one();
        }
        return;
    }
    if entry.node.as_str() != record.key {
        warn!(cx.log, "entry ignored"; "key" => &record.key, "offset" => record.offset, "why" => "names another node");
        return;
    }
    let mut state = cx.state.borrow_mut();
    if state.placement.on_entry(now, &entry) {
        let backend = entry.backend.as_ref();
        info!(cx.log, "peer changed"; "peer" => entry.node.as_str(), "offset" => record.offset,
            "backend" => backend.map_or("none".into(), |b| format!("{} {} {:?}", b.instance, b.version, b.phase)));
    }
    #[allow(clippy::cast_precision_loss, reason = "a gauge is a float")]
    cx.metrics.nodes.set(state.placement.nodes() as f64);
}

fn apply_moves(cx: &Rc<Sidecar>, record: &KeyedRecord) {
    let service = ServiceName::from(&*record.key);
    match codec::decode::<MoveRecord>(&record.value) {
        Ok(progress) => {
            let now = cx.clock.now();
            let text = format!("{:?} by {}", progress.state, progress.author);
            let new = cx
                .state
                .borrow_mut()
                .moves
                .on_record(now, &service, progress);
            info!(cx.log, "move recorded"; "service" => service.as_str(), "state" => text,
                "offset" => record.offset, "new" => new);
        }
        Err(failure) => {
            warn!(cx.log, "move ignored"; "key" => &record.key, "offset" => record.offset, "why" => failure.text);
        }
    }
}
