//! Follows the topics of the platform's store, at the store or at a node of the same failure domain.
//! See `docs/platform.md`, "Store".

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::select;
use rand::RngExt;
use slog::info;
use slog::warn;
use tokio::sync::Notify;

use crate::coordination::relay::Relay;
use crate::coordination::relay::Source;
use crate::coordination::store_retry;
use crate::coordination::topic_cursor::NextRead;
use crate::coordination::topic_cursor::TopicCursor;
use crate::platform::store::FLEET_TOPIC;
use crate::platform::store::KeyedBatch;
use crate::platform::store::KeyedRecord;
use crate::platform::store::MOVE_TOPIC;
use crate::platform::store::OPERATOR_TOPIC;
use crate::platform::store::StoreFailure;
use crate::sidecar::Sidecar;
use crate::sidecar::records;
use crate::sidecar::relay_port;
use crate::sidecar::relay_port::FollowAnswer;
use crate::sidecar::relay_port::Wanted;
use crate::state::mirror::Mirror;
use crate::state::mirror::MirrorRecord;

/// Topics that a node follows.
pub const TOPICS: [&str; 3] = [OPERATOR_TOPIC, FLEET_TOPIC, MOVE_TOPIC];
/// Place of the operator's topic, by which the age of a node's view is measured.
const OPERATOR: usize = 0;
/// Place of the fleet's topic.
const FLEET: usize = 1;
/// Place of the topic of moves.
const MOVES: usize = 2;
/// Pause between two reads with records, so that a storm of changes costs few calls. It is well
/// below the 2 s within which a configuration has to be in force.
const STORM_PAUSE: Duration = Duration::from_millis(250);
/// The same for the fleet's topic. When all nodes start together, their entries come over a
/// heartbeat's interval; a node that is chosen meanwhile although it has gone refuses by itself.
const FLEET_STORM_PAUSE: Duration = Duration::from_millis(700);
/// Pause after the newest entries were read. Nodes that started together announce themselves within a
/// heartbeat's interval, and those of the own failure domain are followed from then on.
const FLEET_START_PAUSE: Duration = Duration::from_secs(2);
/// Time after which a topic is tried although the operator's topic is not answered.
const RETRY_ALONE: Duration = Duration::from_secs(4);
/// Part of the time within which a configuration has to be in force for which a reader waits at the
/// operator's topic and a follower at a reader. One that is cut off is found within it, and the other
/// half is left to read the store.
const FRESH_SHARE: f64 = 0.45;
/// Wait of a follower whose last reader failed: time for the next one to confirm its view at the store.
const HURRIED_WAIT: Duration = Duration::from_millis(150);
/// Time beyond such a wait up to which a view may be followed: the way to a store that is well.
const AGE_MARGIN: Duration = Duration::from_millis(350);
/// Time after a follower's last question for which a node reads as a reader does.
const FOLLOWED_FOR: Duration = Duration::from_secs(4);
/// Pause before the other topics are read at the store after a reader was lost.
const TAKE_OVER_PAUSE: Duration = Duration::from_millis(500);
/// Part of the time within which a configuration has to be in force up to which a view may age before
/// the store is read; the rest is left for that read.
const HURRY_SHARE: f64 = 0.75;
/// Time that a hurried question takes if the next reader is gone as well.
const HURRY_MARGIN: Duration = Duration::from_millis(500);
/// Pause between two looks at a source that is the store.
const SOURCE_CHECK: Duration = Duration::from_millis(500);

/// What a node has read, and where it reads.
pub struct Feed {
    cursors: RefCell<[TopicCursor; 3]>,
    /// Copies of the topics.
    pub mirrors: RefCell<[Mirror; 3]>,
    /// Time at which the view of the operator's topic was last known to be complete.
    pub confirmed_at: Cell<Option<Duration>>,
    /// Time of the last question of a follower.
    followed_at: Cell<Option<Duration>>,
    /// Signals that a record came.
    pub changed: Notify,
    /// Signals that the view of the operator's topic was found to be complete, or could not be checked.
    pub view_checked: Notify,
    /// Signals that the view of the operator's topic has to be confirmed without waiting for a record.
    confirm_now: Notify,
    /// Whether the next read of the operator's topic does not wait.
    without_wait: Cell<bool>,
    /// Whether another node is being asked for all that it has read.
    learning: Cell<bool>,
    /// Whether the last call to the operator's topic was answered.
    store_answers: Cell<bool>,
    /// Signals that the store answers again.
    store_returned: Notify,
    relay: RefCell<Relay>,
    source: RefCell<Source>,
    source_changed: Notify,
}

impl Default for Feed {
    fn default() -> Self {
        Self {
            cursors: RefCell::default(),
            mirrors: RefCell::default(),
            confirmed_at: Cell::new(None),
            followed_at: Cell::new(None),
            changed: Notify::new(),
            view_checked: Notify::new(),
            confirm_now: Notify::new(),
            without_wait: Cell::new(false),
            learning: Cell::new(false),
            store_answers: Cell::new(true),
            store_returned: Notify::new(),
            relay: RefCell::default(),
            source: RefCell::new(Source::Store),
            source_changed: Notify::new(),
        }
    }
}

impl Feed {
    /// Offsets from which the topics are missing here; `None` before each of them was read once.
    fn positions(&self) -> Option<[u64; 3]> {
        let mirrors = self.mirrors.borrow();
        let [operator, fleet, moves] = &*mirrors;
        Some([operator.end()?, fleet.end()?, moves.end()?])
    }

    /// Waits while the store does not answer. Only the reads of the operator's topic try it then, since
    /// calls in vain are priced as well. Returns whether it had to wait and the store is back; without
    /// that a try is due all the same, in case a single topic answers.
    pub async fn wait_for_store(&self) -> bool {
        if self.store_answers.get() {
            return false;
        }
        let returned = self.store_returned.notified();
        let waited = actix_rt::time::timeout(RETRY_ALONE, returned).await;
        waited.is_ok()
    }

    fn note_store(&self, answers: bool) {
        if answers && !self.store_answers.replace(true) {
            self.store_returned.notify_waiters();
        } else if !answers {
            self.store_answers.set(false);
        }
    }

    /// Takes note that a topic needs no reading yet.
    fn skip(&self, topic: usize) {
        self.mirrors.borrow_mut()[topic].advance(0);
    }

    /// Takes note of a follower's question. The first one finds a read that waits for long, which is
    /// cut short.
    pub fn on_question(&self, now: Duration) {
        if !self.is_followed(now) {
            self.confirm();
        }
        self.followed_at.set(Some(now));
    }

    /// Makes the next read of the operator's topic one that does not wait.
    fn confirm(&self) {
        self.without_wait.set(true);
        self.confirm_now.notify_waiters();
    }

    fn is_followed(&self, now: Duration) -> bool {
        let since = self.followed_at.get();
        since.is_some_and(|since| now.saturating_sub(since) < FOLLOWED_FOR)
    }
}

/// Wait of a reader's read of the operator's topic, and of a follower's question.
pub fn fresh_wait(cx: &Sidecar) -> Duration {
    cx.settings.config_within().mul_f64(FRESH_SHARE)
}

/// Age of a view up to which others may follow it.
pub fn max_age(cx: &Sidecar) -> Duration {
    fresh_wait(cx) + AGE_MARGIN
}

/// Age of the own view up to which another reader is asked after one was lost.
fn max_hurry_age(cx: &Sidecar) -> Duration {
    let oldest = cx.settings.config_within().mul_f64(HURRY_SHARE);
    oldest.saturating_sub(HURRY_MARGIN)
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

/// Applies a record to this process.
fn apply(cx: &Rc<Sidecar>, topic: usize, record: &KeyedRecord) {
    match topic {
        OPERATOR => records::apply_operator(cx, record),
        FLEET => records::apply_fleet(cx, record),
        _ => records::apply_moves(cx, record),
    }
}

/// Reads one topic at the store while that is the source.
async fn follow_store(cx: &Rc<Sidecar>, topic: usize) {
    let mut failures = 0_u32;
    if topic == MOVES {
        // Without an order there is no move.
        cx.feed.skip(topic);
        while !cx.state.borrow().moves.has_orders() {
            cx.feed.changed.notified().await;
        }
    }
    loop {
        if *cx.feed.source.borrow() != Source::Store {
            cx.feed.source_changed.notified().await;
            if topic != OPERATOR {
                // Mostly the next reader is followed as soon as the view was confirmed.
                actix_rt::time::sleep(TAKE_OVER_PAUSE).await;
            }
            continue;
        }
        if topic != OPERATOR && cx.feed.wait_for_store().await {
            actix_rt::time::sleep(TAKE_OVER_PAUSE).await;
            continue;
        }
        let next = cx.feed.cursors.borrow()[topic].next();
        let began = cx.clock.now();
        let read = tokio::select! {
            read = read_store(cx, topic, next, failures) => read,
            () = cx.feed.source_changed.notified() => continue,
            () = cx.feed.confirm_now.notified(), if topic == OPERATOR => continue,
        };
        match read {
            Ok((batch, wait)) => {
                if failures > 0 {
                    info!(cx.log, "store answers again"; "topic" => TOPICS[topic], "failures" => failures);
                }
                failures = 0;
                cx.feed.note_store(true);
                let changed = !batch.records.is_empty();
                take_over(cx, topic, next, batch, wait, began);
                let pause = match (topic, next) {
                    (FLEET, NextRead::Newest) => FLEET_START_PAUSE,
                    (FLEET, _) if changed => FLEET_STORM_PAUSE,
                    (_, NextRead::From(_)) if changed => STORM_PAUSE,
                    _ => continue,
                };
                actix_rt::time::sleep(pause).await;
            }
            Err(StoreFailure::Expired) => {
                info!(cx.log, "records expired"; "topic" => TOPICS[topic], "next" => format!("{next:?}"));
                cx.feed.cursors.borrow_mut()[topic].on_expired();
            }
            Err(failure) => {
                cx.metrics.store_failures.increment(1);
                cx.feed.cursors.borrow_mut()[topic].on_failure();
                if failures == 0 {
                    warn!(cx.log, "store does not answer"; "topic" => TOPICS[topic], "why" => format!("{failure:?}"));
                }
                let factor = cx.state.borrow_mut().rng.random_range(0.5..1.0);
                let pause = store_retry::pause(failures, factor);
                failures += 1;
                if topic == OPERATOR {
                    cx.feed.note_store(false);
                    let now = cx.clock.now();
                    cx.feed.relay.borrow_mut().on_store_failure(now);
                    cx.feed.view_checked.notify_waiters();
                }
                actix_rt::time::sleep(pause).await;
            }
        }
    }
}

/// Reads a topic after so many failures in a row. Returns what came, and how long the read could wait.
async fn read_store(
    cx: &Sidecar,
    topic: usize,
    next: NextRead,
    failures: u32,
) -> Result<(KeyedBatch, Duration), StoreFailure> {
    let limit = store_retry::limit(failures);
    let from = match next {
        NextRead::From(from) => from,
        NextRead::Newest => {
            return match cx.store.newest(TOPICS[topic], limit).await {
                // A topic that nobody has written to does not exist.
                Err(StoreFailure::Refused(404)) => Ok((KeyedBatch::default(), Duration::ZERO)),
                other => Ok((other?, Duration::ZERO)),
            };
        }
    };
    let mut wait = cx.feed.cursors.borrow()[topic].wait();
    if failures > 0 || (topic == OPERATOR && cx.feed.without_wait.take()) {
        wait = Duration::ZERO;
    } else if topic == OPERATOR && cx.feed.is_followed(cx.clock.now()) {
        wait = wait.min(fresh_wait(cx));
    }
    let batch = cx.store.read(TOPICS[topic], from, wait, limit).await?;
    Ok((batch, wait))
}

/// Takes over what the store answered.
fn take_over(
    cx: &Rc<Sidecar>,
    topic: usize,
    read: NextRead,
    mut batch: KeyedBatch,
    wait: Duration,
    began: Duration,
) {
    let took = cx.clock.since(began);
    {
        let mut cursors = cx.feed.cursors.borrow_mut();
        if read == NextRead::Newest {
            let offsets: Vec<u64> = batch.records.iter().map(|record| record.offset).collect();
            cursors[topic].on_newest(&offsets, batch.first_page, batch.end);
            batch.records.sort_unstable_by_key(|record| record.offset);
        } else {
            cursors[topic].on_read(batch.end, wait, took);
        }
    }
    let end = match cx.feed.cursors.borrow()[topic].next() {
        NextRead::From(from) => from,
        NextRead::Newest => 0,
    };
    apply_all(cx, topic, &batch.records, end);
    if topic == OPERATOR {
        cx.feed.confirmed_at.set(Some(cx.clock.now()));
        cx.feed.view_checked.notify_waiters();
    }
}

/// Applies the records that are news, in the order of their offsets, and keeps them for followers.
fn apply_all(cx: &Rc<Sidecar>, topic: usize, records: &[KeyedRecord], end: u64) {
    for record in records {
        if !cx.feed.cursors.borrow_mut()[topic].is_news(&record.key, record.offset) {
            continue;
        }
        apply(cx, topic, record);
        cx.feed.mirrors.borrow_mut()[topic].apply(MirrorRecord {
            key: record.key.as_str().into(),
            value: record.value.clone(),
            offset: record.offset,
        });
    }
    cx.feed.mirrors.borrow_mut()[topic].advance(end);
    if topic == FLEET {
        cx.state.borrow_mut().fleet_known = true;
    }
    if !records.is_empty() {
        cx.feed.changed.notify_waiters();
    }
}

/// Chooses the source again and again, and follows it while it is a node.
async fn follow_peer(cx: &Rc<Sidecar>) {
    loop {
        let Some(positions) = cx.feed.positions() else {
            actix_rt::time::sleep(SOURCE_CHECK / 5).await;
            continue;
        };
        let source = choose_source(cx);
        let Source::Peer(node, addr) = source else {
            // A change may have brought the nodes that make a reader worthwhile.
            let changed = Box::pin(cx.feed.changed.notified());
            let either = select(changed, Box::pin(cx.feed.view_checked.notified()));
            let _ = actix_rt::time::timeout(SOURCE_CHECK, either).await;
            continue;
        };
        let wait = if cx.feed.relay.borrow().is_hurried() {
            HURRIED_WAIT
        } else {
            fresh_wait(cx)
        };
        match relay_port::ask(cx, addr, positions, Wanted::Fresh(wait)).await {
            Ok(answer) => {
                cx.feed.relay.borrow_mut().on_answer();
                cx.feed.note_store(true);
                take_over_relayed(cx, answer);
            }
            Err(failure) => {
                info!(cx.log, "reader passed over"; "reader" => node.as_str(), "failure" => format!("{:?}", failure.failure),
                    "why" => failure.why);
                let now = cx.clock.now();
                let view_age = cx
                    .feed
                    .confirmed_at
                    .get()
                    .map_or(now, |at| now.saturating_sub(at));
                let mut relay = cx.feed.relay.borrow_mut();
                relay.on_failure(now, &node, failure.failure, view_age, max_hurry_age(cx));
                drop(relay);
                cx.feed.confirm();
                // What was missed meanwhile is read without delay.
                for cursor in cx.feed.cursors.borrow_mut().iter_mut() {
                    cursor.on_failure();
                }
            }
        }
    }
}

/// Takes over what another node has read.
fn take_over_relayed(cx: &Rc<Sidecar>, answer: FollowAnswer) {
    for (topic, part) in answer.topics.into_iter().enumerate().take(TOPICS.len()) {
        let end = part.end;
        cx.feed.cursors.borrow_mut()[topic].on_relayed(end);
        apply_all(cx, topic, &part.records(), end);
    }
    let age = Duration::from_millis(answer.age_ms);
    let confirmed_at = cx.clock.now().saturating_sub(age);
    cx.feed.confirmed_at.set(Some(confirmed_at));
    cx.feed.view_checked.notify_waiters();
}

/// Asks the node at `origin`, which has just sent a call, for all that it has read. A node that starts
/// while the store is away knows no other node, but others know its address from before.
pub fn learn_from(cx: &Rc<Sidecar>, origin: SocketAddr) {
    if cx.feed.learning.replace(true) {
        return;
    }
    let cx = cx.clone();
    actix_rt::spawn(async move {
        match relay_port::ask(&cx, origin, [0; 3], Wanted::Any).await {
            Ok(answer) if !cx.is_informed() => {
                info!(cx.log, "learned from a peer"; "peer" => origin.to_string(), "age_ms" => answer.age_ms);
                take_over_relayed(&cx, answer);
            }
            // The store has answered meanwhile.
            Ok(_) => {}
            Err(failure) => {
                info!(cx.log, "not learned from a peer"; "peer" => origin.to_string(), "why" => failure.why);
            }
        }
        cx.feed.learning.set(false);
    });
}

fn choose_source(cx: &Rc<Sidecar>) -> Source {
    let now = cx.clock.now();
    let domain = cx.state.borrow().placement.domain_nodes();
    let source = cx.feed.relay.borrow_mut().source(
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
