//! What a node keeps of the topics that it follows: read positions, local copies, and the source. See
//! `docs/platform.md`, "Store".

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::Notify;

use crate::coordination::startup::store_answer::StoreAnswer;
use crate::coordination::topic_cursor::TopicCursor;
use crate::coordination::topic_source::Source;
use crate::coordination::topic_source::SourceSelector;
use crate::platform::store::FLEET_TOPIC;
use crate::platform::store::MOVE_TOPIC;
use crate::platform::store::OPERATOR_TOPIC;
use crate::sidecar::relay_port::DroppedKey;
use crate::state::mirror::Mirror;

/// Topics that a node follows.
pub const TOPICS: [&str; 3] = [OPERATOR_TOPIC, FLEET_TOPIC, MOVE_TOPIC];
/// Index of the operator's topic. The age of a node's view is the age of its copy of this topic.
pub(super) const OPERATOR: usize = 0;
/// Index of the fleet's topic.
pub(super) const FLEET: usize = 1;
/// Index of the topic with the progress of rollouts.
pub(super) const MOVES: usize = 2;
/// Longest wait of a topic for the operator's topic to be readable again; then it is read anyway.
const INDEPENDENT_RETRY_AFTER: Duration = Duration::from_secs(4);
/// Dropped keys that are remembered for followers. There are about as many failure domains at most.
const MAX_DROPPED_KEYS: usize = 16;

/// Read positions, local copies and the source of the topics.
pub struct Feed {
    pub(super) cursors: RefCell<[TopicCursor; 3]>,
    /// Local copies of the topics.
    pub mirrors: RefCell<[Mirror; 3]>,
    /// Time at which the view of the operator's topic was last known to be complete.
    pub confirmed_at: Cell<Option<Duration>>,
    /// Age that this view had when the process started, if it is that of a peer and older than the process.
    pub(super) age_at_start: Cell<Duration>,
    /// Time at which the newest records of the operator's topic were last read.
    pub(super) operator_listed_at: Cell<Duration>,
    /// Keys of the operator's topic that the store has dropped in this era, oldest first.
    pub dropped_keys: RefCell<Vec<DroppedKey>>,
    /// Era that the read positions and the local copies belong to.
    pub(super) followed_era: Cell<Option<u64>>,
    /// Whether every topic has been read once.
    pub(super) is_started: Cell<bool>,
    /// Whether the store may have lost the own entry when it went back.
    pub(super) own_entry_unverified: Cell<bool>,
    /// Signals that the store has gone back, so that reads begin anew.
    pub(super) restored: Notify,
    /// Signals that records were applied.
    pub changed: Notify,
    /// Signals that the view of the operator's topic was found to be complete, or could not be checked.
    pub view_checked: Notify,
    /// Interrupts a long poll of the operator's topic, so that the view is confirmed at once.
    pub(super) interrupt_poll: Notify,
    /// Whether the next read of the operator's topic is not a long poll.
    pub(super) skip_wait: Cell<bool>,
    /// Whether a copy of all topics is being fetched from another node, or will be if the store stays silent.
    pub(super) fetching_topics: Cell<bool>,
    /// Node that sent the last call while the topics were not read.
    pub(super) peer_to_ask: Cell<Option<SocketAddr>>,
    /// How the store answers the reads of each topic.
    pub(super) store_answers: Cell<[StoreAnswer; 3]>,
    /// Signals that a read of a topic, or the request to another node, has failed.
    pub read_failed: Notify,
    /// Whether the last read of the operator's topic succeeded.
    pub(super) store_available: Cell<bool>,
    /// Signals that the store is available again.
    pub(super) store_recovered: Notify,
    pub(super) relay: RefCell<SourceSelector>,
    pub(super) source: RefCell<Source>,
    pub(super) source_changed: Notify,
}

impl Default for Feed {
    fn default() -> Self {
        Self {
            cursors: RefCell::default(),
            mirrors: RefCell::default(),
            confirmed_at: Cell::new(None),
            age_at_start: Cell::default(),
            operator_listed_at: Cell::default(),
            dropped_keys: RefCell::default(),
            followed_era: Cell::new(None),
            is_started: Cell::new(false),
            own_entry_unverified: Cell::new(false),
            restored: Notify::new(),
            changed: Notify::new(),
            view_checked: Notify::new(),
            interrupt_poll: Notify::new(),
            skip_wait: Cell::new(false),
            fetching_topics: Cell::new(false),
            peer_to_ask: Cell::new(None),
            store_answers: Cell::default(),
            read_failed: Notify::new(),
            store_available: Cell::new(true),
            store_recovered: Notify::new(),
            relay: RefCell::default(),
            source: RefCell::new(Source::Store),
            source_changed: Notify::new(),
        }
    }
}

impl Feed {
    /// Returns the offset from which a reader is asked for each topic, or `None` until every topic was read once.
    pub(super) fn positions(&self) -> Option<[u64; 3]> {
        self.is_started
            .set(self.is_started.get() || self.is_complete());
        let mirrors = self.mirrors.borrow();
        let cursors = self.cursors.borrow();
        let from = std::array::from_fn(|topic| {
            let copied = mirrors[topic].end().unwrap_or(0);
            cursors[topic].follow_from(copied)
        });
        self.is_started.get().then_some(from)
    }

    /// Whether every topic has been read, in the current era.
    pub fn is_complete(&self) -> bool {
        let mirrors = self.mirrors.borrow();
        mirrors.iter().all(|mirror| mirror.end().is_some())
    }

    /// Records that the store has dropped the record of a key of the operator's topic without a later one, so that
    /// followers learn of it. A later record of the key stays.
    pub(super) fn add_dropped(&self, key: String, offset: u64) {
        self.mirrors.borrow_mut()[OPERATOR].forget(&key, offset);
        let mut dropped = self.dropped_keys.borrow_mut();
        dropped.retain(|other| other.key != key);
        if dropped.len() >= MAX_DROPPED_KEYS {
            dropped.remove(0);
        }
        dropped.push(DroppedKey { key, offset });
    }

    /// Returns the era that the read positions and the local copies belong to.
    pub fn era(&self) -> Option<u64> {
        self.followed_era.get()
    }

    /// Returns the age of the view of the operator's topic: the time since it was last known to be
    /// complete. `None` before the topic was read.
    pub fn view_age(&self, now: Duration) -> Option<Duration> {
        let confirmed_at = self.confirmed_at.get();
        confirmed_at.map(|at| now.saturating_sub(at) + self.age_at_start.get())
    }

    /// Waits while the store is unavailable. Only reads of the operator's topic probe it meanwhile, since
    /// failed calls are charged as well. Returns whether it waited until the store was available again.
    /// After a timeout the caller tries its own call, since an outage may affect single topics.
    pub async fn wait_for_store(&self) -> bool {
        if self.store_available.get() {
            return false;
        }
        let recovered = self.store_recovered.notified();
        let waited = actix_rt::time::timeout(INDEPENDENT_RETRY_AFTER, recovered).await;
        waited.is_ok()
    }

    /// Whether the last read of the operator's topic succeeded, at the store or at a reader.
    pub fn is_store_available(&self) -> bool {
        self.store_available.get()
    }

    pub(super) fn set_store_available(&self, available: bool) {
        if available && !self.store_available.replace(true) {
            self.store_recovered.notify_waiters();
        } else if !available {
            self.store_available.set(false);
        }
    }

    pub(super) fn update_answer(&self, topic: usize, update: impl FnOnce(&mut StoreAnswer)) {
        let mut answers = self.store_answers.get();
        update(&mut answers[topic]);
        self.store_answers.set(answers);
    }

    /// Returns how the store answers the reads of the topic that a starting process waits for: the operator's topic
    /// until there is a configuration, then the fleet's topic. A store that has just sent the configuration is not
    /// silent, although the entries of the nodes may arrive later.
    pub(super) fn awaited_answer(&self, has_config: bool) -> StoreAnswer {
        let answers = self.store_answers.get();
        if has_config {
            answers[FLEET].with_sign_of(answers[OPERATOR])
        } else {
            answers[OPERATOR]
        }
    }

    /// Marks a topic that need not be read yet as read.
    pub(super) fn mark_as_read(&self, topic: usize) {
        self.mirrors.borrow_mut()[topic].advance(0);
    }

    /// Interrupts the long poll of the operator's topic and makes the next read return at once.
    pub fn interrupt_long_poll(&self) {
        self.skip_wait.set(true);
        self.interrupt_poll.notify_waiters();
    }
}
