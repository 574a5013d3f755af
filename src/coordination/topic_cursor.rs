//! Read position in a compacted topic, of which the store keeps the newest record of each key. See
//! `docs/platform.md`, "Store".
//!
//! A reader first fetches the newest record of each key and then reads the records that follow. It
//! does not continue from the end offset that the store reports with the newest records: a slow store
//! can report an end that already counts a record which the response does not contain yet, and the
//! reader would miss that record until the next change. The reader therefore continues after the
//! highest offset that it received, and detects duplicates by their offset.

use std::sync::Arc;
use std::time::Duration;

/// Longest wait of one long poll. The store allows at most 30 s.
pub const LONG_WAIT: Duration = Duration::from_secs(25);
/// Wait of one long poll while the store may be slow. A slow store can miss a record that arrives
/// while the read request is on its way, and answer the read only when the next record arrives. With
/// this wait the missed record is still read within the 2 s in which a configuration has to be in
/// force.
pub const SHORT_WAIT: Duration = Duration::from_secs(1);
/// Longest time that a read takes beyond its wait if the store is not slow.
const PROMPT_MARGIN: Duration = Duration::from_millis(60);

/// The next request of the reader to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextRead {
    /// Read the newest record of each key.
    Newest,
    /// Read records from this offset on.
    From(u64),
}

/// Read position in one topic.
#[derive(Debug, Default)]
pub struct TopicCursor {
    /// Offset from which to read on, `None` before the newest records were read.
    from: Option<u64>,
    /// End offset that the store reported with the newest records. Reading continues there if the
    /// records after the received ones have expired.
    reported_end: u64,
    /// Whether the position is the reported end, so that the newest records have to be read again.
    unverified: bool,
    /// Whether the last read waited for its full time without a record and then returned promptly.
    long_wait_safe: bool,
    /// Offset of the newest record of each key, sorted by key.
    newest_offsets: Vec<(Arc<str>, u64)>,
}

impl TopicCursor {
    /// Returns the next request.
    #[must_use]
    pub fn next(&self) -> NextRead {
        match self.from {
            Some(from) if !self.unverified => NextRead::From(from),
            _ => NextRead::Newest,
        }
    }

    /// Returns the longest time for which the next read waits for a record.
    #[must_use]
    pub fn wait(&self) -> Duration {
        if self.long_wait_safe {
            LONG_WAIT
        } else {
            SHORT_WAIT
        }
    }

    /// Handles the newest records. `first_page` is the number of records on the first page, and `end` is
    /// the end offset that the store reported with that page. The pages are not a snapshot: a key of the
    /// first page may change before a later page is read, so reading continues after the first page.
    pub fn on_newest(&mut self, offsets: &[u64], first_page: usize, end: u64) {
        let after_received = offsets[..first_page.min(offsets.len())]
            .iter()
            .max()
            .map_or(0, |last| last + 1);
        self.reported_end = end;
        self.from = Some(if self.unverified {
            // The records before this position were requested and have expired.
            self.from.unwrap_or(end)
        } else {
            after_received.min(end)
        });
        self.unverified = false;
    }

    /// Handles a read up to the offset `end` that was allowed to wait for `wait` and ended after
    /// `elapsed`. A read without a wait does not show whether the store was just writing a record.
    pub fn on_read(&mut self, end: u64, wait: Duration, elapsed: Duration) {
        let waited_fully = self.from == Some(end) && wait >= SHORT_WAIT;
        self.long_wait_safe = waited_fully && elapsed <= wait + PROMPT_MARGIN;
        self.from = Some(end);
    }

    /// Handles records up to the offset `end` that another node relayed.
    pub fn on_relayed(&mut self, end: u64) {
        self.from = Some(self.from.map_or(end, |from| from.max(end)));
        self.long_wait_safe = false;
    }

    /// Handles a read that failed.
    pub fn on_failure(&mut self) {
        self.long_wait_safe = false;
    }

    /// Handles the answer of the store that the requested records have expired.
    pub fn on_expired(&mut self) {
        match self.from {
            Some(from) if from < self.reported_end => {
                self.from = Some(self.reported_end);
                self.unverified = true;
            }
            _ => self.from = None,
        }
    }

    /// Returns whether a record is newer than all earlier ones of its key, and if so, remembers its
    /// offset.
    pub fn update_if_newer(&mut self, key: &str, offset: u64) -> bool {
        match self
            .newest_offsets
            .binary_search_by(|(other, _)| (**other).cmp(key))
        {
            Ok(index) if self.newest_offsets[index].1 >= offset => false,
            Ok(index) => {
                self.newest_offsets[index].1 = offset;
                true
            }
            Err(index) => {
                self.newest_offsets.insert(index, (key.into(), offset));
                true
            }
        }
    }
}
