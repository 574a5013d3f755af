//! Position of a reader in a topic of which the newest record of each key is kept. See
//! `docs/platform.md`, "Store".
//!
//! A reader first takes the newest record of each key and then reads on. The end that the store
//! reports with the newest records is not trusted as the place to read on from: a slow store was seen
//! to report an end that already counted a record which the records did not have yet, and the reader
//! then missed it until the next change. Reading on from behind the records that were seen closes
//! that gap; records that come twice are recognised by their offset.

use std::sync::Arc;
use std::time::Duration;

/// Longest wait of one read; the store allows 30 s.
pub const LONG_WAIT: Duration = Duration::from_secs(25);
/// Wait of a read while the store may be slow. A slow store was seen to leave a read waiting although
/// a record had come while the read was on its way; the read ended with the next record only. The
/// wait keeps such a record within the 2 s in which a configuration has to be in force.
pub const SHORT_WAIT: Duration = Duration::from_secs(1);
/// Time beyond its wait that a read takes at most if the store is not slow.
const PROMPT: Duration = Duration::from_millis(60);

/// What the reader asks the store for next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextRead {
    /// The newest record of each key.
    Newest,
    /// Records from this offset on.
    From(u64),
}

/// Position in one topic.
#[derive(Debug, Default)]
pub struct TopicCursor {
    from: Option<u64>,
    /// End that the store reported with the newest records, to go on from if the records behind the
    /// ones that were seen have expired.
    reported_end: u64,
    /// Whether the position is the reported end and the newest records have to be read once more.
    unverified: bool,
    /// Whether the last read waited to its end and came back promptly.
    settled: bool,
    /// Offset of the last record of each key, sorted by key.
    seen: Vec<(Arc<str>, u64)>,
}

impl TopicCursor {
    /// Returns what to ask for next.
    #[must_use]
    pub fn next(&self) -> NextRead {
        match self.from {
            Some(from) if !self.unverified => NextRead::From(from),
            _ => NextRead::Newest,
        }
    }

    /// Returns how long the next read may wait for a record.
    #[must_use]
    pub fn wait(&self) -> Duration {
        if self.settled { LONG_WAIT } else { SHORT_WAIT }
    }

    /// Takes note of the newest records; `first_page` is the number of those that came first, and
    /// `end` the end that came with them.
    pub fn on_newest(&mut self, offsets: &[u64], first_page: usize, end: u64) {
        let behind_seen = offsets[..first_page.min(offsets.len())]
            .iter()
            .max()
            .map_or(0, |last| last + 1);
        self.reported_end = end;
        self.from = Some(if self.unverified {
            // What lies between was asked for and has expired.
            self.from.unwrap_or(end)
        } else {
            behind_seen.min(end)
        });
        self.unverified = false;
    }

    /// Takes note of records up to `end`, from a read that could wait for `wait` and took `took`. One
    /// that could not wait says nothing about a record that was just being written.
    pub fn on_read(&mut self, end: u64, wait: Duration, took: Duration) {
        let waited_out = self.from == Some(end) && wait >= SHORT_WAIT;
        self.settled = waited_out && took <= wait + PROMPT;
        self.from = Some(end);
    }

    /// Takes note of records up to `end` that another node has read.
    pub fn on_relayed(&mut self, end: u64) {
        self.from = Some(self.from.map_or(end, |from| from.max(end)));
        self.settled = false;
    }

    /// Takes note of a read that failed.
    pub fn on_failure(&mut self) {
        self.settled = false;
    }

    /// Takes note that the records asked for have expired.
    pub fn on_expired(&mut self) {
        match self.from {
            Some(from) if from < self.reported_end => {
                self.from = Some(self.reported_end);
                self.unverified = true;
            }
            _ => self.from = None,
        }
    }

    /// Whether a record is newer than what was seen of its key.
    pub fn is_news(&mut self, key: &str, offset: u64) -> bool {
        match self.seen.binary_search_by(|(seen, _)| (**seen).cmp(key)) {
            Ok(index) if self.seen[index].1 >= offset => false,
            Ok(index) => {
                self.seen[index].1 = offset;
                true
            }
            Err(index) => {
                self.seen.insert(index, (key.into(), offset));
                true
            }
        }
    }
}
