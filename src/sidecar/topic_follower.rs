//! Follows the topics of the platform's store, either at the store itself or through a reader, a node
//! of the same failure domain that reads the store for the others.
//! See `docs/platform.md`, "Store".

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::select;
use rand::RngExt;
use slog::info;
use slog::warn;

use crate::coordination::domains::evacuation::RECHECK_INTERVAL;
use crate::coordination::startup::store_answer::StoreAnswer;
use crate::coordination::topic_cursor::NextRead;
use crate::coordination::topic_cursor::ReadCall;
use crate::coordination::topic_cursor::RecordUse;
use crate::coordination::topic_source::Source;
use crate::platform::store::KeyedBatch;
use crate::platform::store::KeyedRecord;
use crate::platform::store::StoreFailure;
use crate::protocol::name::NodeId;
use crate::sidecar::Sidecar;
use crate::sidecar::announcer;
use crate::sidecar::feed::FLEET;
use crate::sidecar::feed::MOVES;
use crate::sidecar::feed::OPERATOR;
use crate::sidecar::feed::TOPICS;
use crate::sidecar::health_check;
use crate::sidecar::records;
use crate::sidecar::records::ReadingKind;
use crate::sidecar::relay_port;
use crate::sidecar::relay_port::DroppedKey;
use crate::sidecar::relay_port::FetchFailure;
use crate::sidecar::relay_port::FetchMode;
use crate::sidecar::relay_port::FollowResponse;
use crate::state::mirror::MirrorRecord;

/// Pause after a read that returned records, so that a burst of changes costs few calls. It is well
/// below the 2 s within which a configuration has to be in force.
const BURST_PAUSE: Duration = Duration::from_millis(250);
/// [`BURST_PAUSE`] for the fleet's topic. When all nodes start together, their entries arrive over a
/// heartbeat interval. A node that is selected meanwhile by an outdated entry refuses the call.
const FLEET_BURST_PAUSE: Duration = Duration::from_millis(700);
/// Pause after the first read of the fleet's topic. Nodes that start together write their entries
/// within a heartbeat interval, after which a reader of the own failure domain can be followed.
const FLEET_START_PAUSE: Duration = Duration::from_secs(2);
/// Long-poll time of the operator's topic at the store and of a follower at its reader, as a share of
/// the time within which a configuration has to be in force. A record that a poll misses, or a reader
/// that is cut off, is detected within it, which leaves the other half of the time for reading.
const LONG_POLL_SHARE: f64 = 0.45;
/// Time beyond a long poll up to which a view is fresh enough to be followed, for a round trip to a
/// healthy store.
const VIEW_AGE_MARGIN: Duration = Duration::from_millis(350);
/// Pause before the topics other than the operator's are read at the store after a reader failed.
const STORE_FALLBACK_PAUSE: Duration = Duration::from_millis(500);
/// Age of the own view up to which another reader is tried instead of the store, as a share of the
/// time within which a configuration has to be in force. The rest is left for reading the store.
const FAILOVER_AGE_SHARE: f64 = 0.75;
/// Time until a follow request after a failure fails as well, if the next reader is down, too.
const FAILOVER_MARGIN: Duration = Duration::from_millis(500);
/// Interval at which the source is checked while it is the store.
const SOURCE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Long-poll time of the operator's topic at the store, and of a follow request.
pub fn long_poll_wait(cx: &Sidecar) -> Duration {
    cx.settings.config_within().mul_f64(LONG_POLL_SHARE)
}

/// Longest time for which a read of a topic may wait at the store. A poll may miss a record, which is
/// read only by the next one. Entries of nodes and steps of rollouts may arrive later than a
/// configuration, which saves calls.
fn longest_wait(cx: &Sidecar, topic: usize) -> Duration {
    if topic == OPERATOR {
        long_poll_wait(cx)
    } else {
        cx.settings.config_within()
    }
}

/// Largest age of a view that other nodes may follow.
pub fn max_followed_age(cx: &Sidecar) -> Duration {
    long_poll_wait(cx) + VIEW_AGE_MARGIN
}

/// Age of the own view up to which another reader is tried after one failed.
fn max_failover_age(cx: &Sidecar) -> Duration {
    let oldest = cx.settings.config_within().mul_f64(FAILOVER_AGE_SHARE);
    oldest.saturating_sub(FAILOVER_MARGIN)
}

/// Starts to follow all topics.
pub fn start(cx: &Rc<Sidecar>) {
    for topic in 0..TOPICS.len() {
        let cx = cx.clone();
        actix_rt::spawn(async move { follow_store(&cx, topic).await });
    }
    let cx = cx.clone();
    actix_rt::spawn(async move { follow_peer(&cx).await });
}

/// Begins to follow all topics anew if the store has gone back to an earlier state. What the topics said
/// before stays in force until their records of the new era replace it.
pub fn sync_history(cx: &Rc<Sidecar>) {
    let era = cx.store.era();
    let followed = cx.feed.followed_era.replace(era);
    if followed == era {
        return;
    }
    if followed.is_none() {
        cx.state.borrow_mut().moves.on_first_era(era);
        return;
    }
    warn!(cx.log, "store went back"; "era" => era, "before" => followed);
    cx.metrics.store_restores.increment(1);
    *cx.feed.cursors.borrow_mut() = Default::default();
    *cx.feed.mirrors.borrow_mut() = Default::default();
    if !cx.state.borrow().moves.has_orders() {
        cx.feed.mark_as_read(MOVES);
    }
    let now = cx.clock.now();
    cx.state.borrow_mut().moves.on_store_restored(now, era);
    cx.state.borrow_mut().evacuations.on_new_era();
    cx.feed.dropped_keys.borrow_mut().clear();
    cx.feed.own_entry_unverified.set(true);
    cx.feed.restored.notify_waiters();
}

/// Applies a record to this process. Returns whether a record of the operator stands for the earlier ones of its key.
fn apply(cx: &Rc<Sidecar>, topic: usize, record: &KeyedRecord) -> bool {
    match topic {
        OPERATOR => return records::apply_operator(cx, record),
        FLEET => records::apply_fleet(cx, record),
        _ => records::apply_moves(cx, record),
    }
    true
}

/// Reads one topic from the store while the store is the source.
async fn follow_store(cx: &Rc<Sidecar>, topic: usize) {
    if topic == MOVES {
        // Without an order there is no rollout to follow.
        cx.feed.mark_as_read(topic);
        while !cx.state.borrow().moves.has_orders() {
            cx.feed.changed.notified().await;
        }
    }
    loop {
        if *cx.feed.source.borrow() != Source::Store {
            cx.feed.source_changed.notified().await;
            if topic == OPERATOR {
                let window = cx.settings.config_within();
                let mut cursors = cx.feed.cursors.borrow_mut();
                cursors[topic].skip_replaced(cx.clock.now(), window);
            } else {
                // Usually another reader is followed as soon as the view was confirmed, and the other
                // topics need not be read here.
                actix_rt::time::sleep(STORE_FALLBACK_PAUSE).await;
            }
            continue;
        }
        if topic != OPERATOR && cx.feed.wait_for_store().await {
            actix_rt::time::sleep(STORE_FALLBACK_PAUSE).await;
            continue;
        }
        if topic == OPERATOR && is_recheck_due(cx) {
            cx.feed.cursors.borrow_mut()[topic].recheck();
        }
        let mut call = cx.feed.cursors.borrow()[topic].next_call(longest_wait(cx, topic));
        if topic == OPERATOR && cx.feed.skip_wait.take() {
            call.wait = Duration::ZERO;
        }
        let next = call.read;
        let was_behind = cx.feed.cursors.borrow()[topic].is_behind();
        let era = cx.feed.era();
        let read = tokio::select! {
            read = read_store(cx, topic, call) => read,
            () = cx.feed.restored.notified() => continue,
            () = cx.feed.source_changed.notified() => continue,
            () = cx.feed.interrupt_poll.notified(), if topic == OPERATOR => continue,
        };
        sync_history(cx);
        if era.is_some() && era != cx.feed.era() {
            // The offset of the read belongs to an earlier era.
            continue;
        }
        match read {
            Ok(batch) => {
                let failures = cx.feed.cursors.borrow()[topic].failures();
                if failures > 0 {
                    info!(cx.log, "store available again"; "topic" => TOPICS[topic], "failures" => failures);
                }
                cx.feed.set_store_available(true);
                let changed = !batch.records.is_empty();
                let is_start = !cx.state.borrow().fleet_read;
                let has_new = apply_read(cx, topic, next, batch);
                let pause = match (topic, next) {
                    // Without another node, the fleet is new: each node would use the whole quotas of workspaces.
                    (FLEET, NextRead::Newest) if is_start && is_alone(cx) => FLEET_BURST_PAUSE,
                    (FLEET, NextRead::Newest) if is_start => FLEET_START_PAUSE,
                    (FLEET, _) if changed => FLEET_BURST_PAUSE,
                    (_, NextRead::From(_)) if changed => BURST_PAUSE,
                    (_, NextRead::Newest) if was_behind && has_new => BURST_PAUSE,
                    _ => continue,
                };
                actix_rt::time::sleep(pause).await;
            }
            Err(StoreFailure::Expired) => {
                info!(cx.log, "records expired"; "topic" => TOPICS[topic], "next" => format!("{next:?}"));
                cx.feed.cursors.borrow_mut()[topic].on_expired();
                if cx.feed.cursors.borrow()[topic].awaits_listing() {
                    actix_rt::time::sleep(BURST_PAUSE).await;
                }
            }
            Err(failure) => {
                cx.metrics.store_failures.increment(1);
                if cx.feed.cursors.borrow()[topic].failures() == 0 {
                    warn!(cx.log, "store unavailable"; "topic" => TOPICS[topic], "why" => format!("{failure:?}"));
                }
                let factor = cx.state.borrow_mut().rng.random_range(0.5..1.0);
                let pause = cx.feed.cursors.borrow_mut()[topic].on_failure(factor);
                if topic == OPERATOR {
                    cx.feed.set_store_available(false);
                    let now = cx.clock.now();
                    cx.feed.relay.borrow_mut().on_store_failure(now);
                    cx.feed.view_checked.notify_waiters();
                }
                actix_rt::time::sleep(pause).await;
            }
        }
    }
}

/// Whether the newest records of the operator's topic have to be read again, since the store may have dropped the
/// key of an evacuation.
fn is_recheck_due(cx: &Sidecar) -> bool {
    let has_evacuations = cx.state.borrow().evacuations.count() > 0;
    has_evacuations && cx.clock.since(cx.feed.operator_listed_at.get()) >= RECHECK_INTERVAL
}

/// Makes a call to the store.
async fn read_store(
    cx: &Sidecar,
    topic: usize,
    call: ReadCall,
) -> Result<KeyedBatch, StoreFailure> {
    let on_receive = || {
        let now = cx.clock.now();
        cx.feed
            .update_answer(topic, |answer| answer.on_receive(now));
    };
    let now = cx.clock.now();
    cx.feed.update_answer(topic, |answer| answer.on_call(now));
    let result = match call.read {
        NextRead::From(from) => {
            cx.store
                .read(TOPICS[topic], from, call.wait, call.timeout)
                .await
        }
        NextRead::Newest => {
            let newest = cx
                .store
                .newest_with(TOPICS[topic], call.timeout, &on_receive);
            match newest.await {
                // A topic does not exist before its first record.
                Err(StoreFailure::Refused(404)) => Ok(KeyedBatch::default()),
                other => other,
            }
        }
    };
    if result.is_ok() {
        on_receive();
    } else {
        cx.feed.update_answer(topic, StoreAnswer::on_failure);
        cx.feed.read_failed.notify_waiters();
    }
    result
}

/// Applies the result of a read from the store. Returns whether it has shown records that were not seen before.
fn apply_read(cx: &Rc<Sidecar>, topic: usize, read: NextRead, mut batch: KeyedBatch) -> bool {
    let mut kind = ReadingKind::Changes;
    {
        let mut cursors = cx.feed.cursors.borrow_mut();
        if read == NextRead::Newest {
            kind = if cursors[topic].is_rechecking() {
                ReadingKind::Recheck
            } else {
                ReadingKind::Complete
            };
        }
        if read == NextRead::Newest {
            let offsets: Vec<u64> = batch.records.iter().map(|record| record.offset).collect();
            cursors[topic].on_newest(&offsets, batch.first_page, batch.end);
            batch.records.sort_unstable_by_key(|record| record.offset);
        } else {
            cursors[topic].on_read(batch.end);
        }
    }
    let end = cx.feed.cursors.borrow()[topic].position().unwrap_or(0);
    let applied = apply_all(cx, topic, kind, &batch.records, end);
    if applied.replaced > 0 {
        cx.feed.cursors.borrow_mut()[topic].on_replaced();
    }
    if topic == FLEET {
        health_check::on_entry_read(cx);
    }
    if topic == OPERATOR {
        finish_operator_reading(cx, kind, &batch.records, end);
        cx.feed.confirmed_at.set(Some(cx.clock.now()));
        cx.feed.age_at_start.set(Duration::ZERO);
        cx.feed.view_checked.notify_waiters();
    }
    applied.new > 0
}

/// What became of the records of a reading.
struct Applied {
    /// Number of records that were applied.
    new: usize,
    /// Number of records that were left out, because a later one of the same reading replaces them.
    replaced: usize,
}

/// Applies the records that were not seen before, in the order of their offsets, and keeps them for
/// followers. Of several records of one key in the operator's topic only the newest valid one is applied. In the
/// other topics a later record does not make up for an earlier one: the entry of an earlier process of this node
/// names leaves that it has acknowledged, and the states of a rollout recorded by several nodes are merged.
fn apply_all(
    cx: &Rc<Sidecar>,
    topic: usize,
    kind: ReadingKind,
    records: &[KeyedRecord],
    end: u64,
) -> Applied {
    let now = cx.clock.now();
    let pairs = records.iter();
    let pairs = pairs.map(|record| (record.key.as_str(), record.offset));
    let uses = cx.feed.cursors.borrow_mut()[topic].select(now, pairs);
    let mut applied = Applied {
        new: 0,
        replaced: 0,
    };
    for (index, (record, usage)) in records.iter().zip(&uses).enumerate() {
        match *usage {
            RecordUse::Known => {
                // The newest records of all keys contain those that were read before.
                if kind == ReadingKind::Changes {
                    info!(cx.log, "record skipped"; "topic" => TOPICS[topic], "key" => &record.key, "offset" => record.offset,
                        "why" => "not newer than the last one of its key");
                }
                continue;
            }
            RecordUse::Replaced if topic == OPERATOR => {
                applied.replaced += 1;
                continue;
            }
            RecordUse::Apply | RecordUse::Replaced => applied.new += 1,
        }
        if !apply(cx, topic, record) {
            let earlier = records[..index].iter().zip(&uses).rev();
            let mut replaced = earlier.filter(|(earlier, usage)| {
                **usage == RecordUse::Replaced && earlier.key == record.key
            });
            if !replaced.any(|(earlier, _)| apply(cx, topic, earlier)) {
                cx.feed.cursors.borrow_mut()[topic].on_refused(&record.key);
            }
        }
        cx.feed.mirrors.borrow_mut()[topic].apply(MirrorRecord {
            key: record.key.as_str().into(),
            value: record.value.clone(),
            offset: record.offset,
        });
    }
    let is_first = cx.feed.mirrors.borrow()[topic].end().is_none();
    cx.feed.mirrors.borrow_mut()[topic].advance(end);
    if topic == FLEET {
        cx.state.borrow_mut().fleet_read = true;
        if cx.feed.own_entry_unverified.take() {
            let mirrors = cx.feed.mirrors.borrow();
            let stored = mirrors[FLEET].value(cx.settings.id.as_str());
            announcer::verify_stored_entry(cx, stored);
        }
    }
    if applied.replaced > 0 {
        info!(cx.log, "replaced records skipped"; "topic" => TOPICS[topic], "count" => applied.replaced, "end" => end);
    }
    if is_first || !records.is_empty() {
        cx.feed.changed.notify_waiters();
    }
    applied
}

/// Handles the end of a reading of the operator's topic. Keys that the store has dropped are removed from the copy
/// for followers.
fn finish_operator_reading(cx: &Rc<Sidecar>, kind: ReadingKind, records: &[KeyedRecord], end: u64) {
    if kind != ReadingKind::Changes {
        cx.feed.operator_listed_at.set(cx.clock.now());
    }
    if kind == ReadingKind::Complete {
        // The copy of a reader may contain a removal that is older than a record which this node knows.
        let with_value = records.iter().filter(|record| !record.value.is_empty());
        let mut listed: Vec<&str> = with_value.map(|record| record.key.as_str()).collect();
        listed.sort_unstable();
        cx.feed.mirrors.borrow_mut()[OPERATOR].on_complete(&listed, end);
    }
    for (key, offset) in records::finish_operator_reading(cx, kind, records, end) {
        cx.feed.add_dropped(key, offset);
    }
}

/// Selects the source repeatedly, and follows it while it is another node.
async fn follow_peer(cx: &Rc<Sidecar>) {
    loop {
        sync_history(cx);
        let Some(positions) = cx.feed.positions() else {
            actix_rt::time::sleep(SOURCE_CHECK_INTERVAL / 5).await;
            continue;
        };
        let source = choose_source(cx);
        let Source::Peer(node, addr) = source else {
            // A change may have added nodes, so that following a reader costs fewer calls.
            let changed = Box::pin(cx.feed.changed.notified());
            let either = select(changed, Box::pin(cx.feed.view_checked.notified()));
            let _ = actix_rt::time::timeout(SOURCE_CHECK_INTERVAL, either).await;
            continue;
        };
        let mode = if cx.feed.relay.borrow().needs_prompt_answer() {
            FetchMode::Failover
        } else {
            FetchMode::Updates
        };
        match relay_port::fetch(cx, addr, positions, mode).await {
            Ok(response) if is_outdated(cx, &response) => {
                let why = format!("it follows era {:?}", response.era);
                on_reader_failure(cx, &node, &FetchFailure::behind(why));
            }
            Ok(response) => {
                cx.feed.relay.borrow_mut().on_answer();
                cx.feed.set_store_available(true);
                apply_relayed(cx, response);
                // The reader has read the fleet's topic since this process began, and so after the last write of
                // an earlier process of this node.
                if cx.clock.now() >= longest_wait(cx, FLEET) + max_followed_age(cx) {
                    health_check::on_entry_read(cx);
                }
            }
            Err(failure) => on_reader_failure(cx, &node, &failure),
        }
    }
}

/// Whether a reader has not noticed yet that the store has gone back.
pub(super) fn is_outdated(cx: &Sidecar, response: &FollowResponse) -> bool {
    response.era.is_some() && response.era < cx.store.era()
}

fn on_reader_failure(cx: &Sidecar, node: &NodeId, failure: &FetchFailure) {
    let Some(kind) = failure.failure else {
        // No other reader could be reached either, and the pool has waited for a connection.
        info!(cx.log, "reader not asked"; "reader" => node.as_str(), "why" => &failure.why);
        return;
    };
    info!(cx.log, "reader skipped"; "reader" => node.as_str(), "failure" => format!("{kind:?}"),
        "why" => &failure.why);
    let now = cx.clock.now();
    let view_age = cx.feed.view_age(now).unwrap_or(now);
    let mut relay = cx.feed.relay.borrow_mut();
    relay.on_failure(now, node, kind, view_age, max_failover_age(cx));
    drop(relay);
    cx.feed.interrupt_long_poll();
}

/// Applies the topics received from another node.
pub(super) fn apply_relayed(cx: &Rc<Sidecar>, response: FollowResponse) {
    if let Some(era) = response.era {
        cx.store.observe_reported_era(era);
        sync_history(cx);
    }
    let was_configured = cx.table().is_some();
    for (topic, part) in response.topics.into_iter().enumerate().take(TOPICS.len()) {
        let end = part.end;
        // Without a copy of its own this node has asked for the whole topic.
        let is_first = cx.feed.mirrors.borrow()[topic].end().is_none();
        let is_complete = is_first || (topic == OPERATOR && part.is_complete);
        let kind = if is_complete {
            ReadingKind::Complete
        } else {
            ReadingKind::Changes
        };
        let records = part.records();
        cx.feed.cursors.borrow_mut()[topic].on_relayed(end);
        apply_all(cx, topic, kind, &records, end);
        if topic == OPERATOR {
            finish_operator_reading(cx, kind, &records, end);
        }
    }
    for DroppedKey { key, offset } in response.dropped {
        records::apply_dropped(cx, &key, offset);
        cx.feed.add_dropped(key, offset);
    }
    if !was_configured {
        // After all topics, since the leaves in the own entry decide whether a heartbeat is late.
        health_check::on_topics_relayed(cx);
    }
    let age = Duration::from_millis(response.age_ms);
    let now = cx.clock.now();
    cx.feed.confirmed_at.set(Some(now.saturating_sub(age)));
    // The clock starts with the process, and the view may be older than that.
    cx.feed.age_at_start.set(age.saturating_sub(now));
    cx.feed.view_checked.notify_waiters();
}

/// Whether this node knows of no other one.
fn is_alone(cx: &Sidecar) -> bool {
    cx.state.borrow().placement.nodes() == 1
}

fn choose_source(cx: &Rc<Sidecar>) -> Source {
    let now = cx.clock.now();
    let domain = cx.state.borrow().placement.domain_nodes();
    let source = cx.feed.relay.borrow_mut().select(
        now,
        &cx.settings.id,
        &domain,
        cx.feed.confirmed_at.get(),
    );
    if *cx.feed.source.borrow() != source {
        info!(cx.log, "source of topics changed"; "to" => match &source {
            Source::Store => "store",
            Source::Peer(node, _) => node.as_str(),
        }.to_owned());
        *cx.feed.source.borrow_mut() = source.clone();
        cx.feed.source_changed.notify_waiters();
    }
    source
}
