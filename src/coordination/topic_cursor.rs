//! Read position in a compacted topic, of which the store keeps the newest record of each key. See
//! `docs/platform.md`, "Store".
//!
//! A reader first fetches the newest record of each key and then reads the records that follow. It
//! does not continue from the end offset that the store reports with the newest records: a slow store
//! can report an end that already counts a record which the response does not contain yet, and the
//! reader would miss that record until the next change. The reader therefore continues after the
//! highest offset that it received, and detects duplicates by their offset.
//!
//! A long poll can miss a record: the store does not wake a poll that arrives while the record is
//! being appended, and a poll that was waiting when an outage began may never be answered. The reader
//! cannot detect either, so the caller bounds each wait by the time within which a record has to be
//! known.
//!
//! While records of one key follow each other quickly, a reader that has fallen behind fetches the newest
//! records again. The records in between would be replaced at once, and take the time of a slow link: four
//! configurations of 125 kB take 0.4 s at 10 Mbit/s. A read that returned several records of one key shows
//! that the reader has fallen behind. It returns to reading records as soon as the newest records show that
//! none was replaced since the last read, since the store does not hold them back until there is a new one.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use crate::coordination::store_retry;

/// Number of reads at one position that have to find its records expired before the position moves to the end that
/// the store had reported before. The caller waits 0.25 s between these reads, so that a store that lists records
/// late has 0.5 s for it. `tests/topic_reads_random.rs` assumes up to 0.3 s; the time is not measured.
const EXPIRED_READS: u32 = 3;

/// The next request of the reader to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextRead {
    /// Read the newest record of each key.
    Newest,
    /// Read records from this offset on.
    From(u64),
}

/// The next call of the reader to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadCall {
    /// What is read.
    pub read: NextRead,
    /// Time for which the store may wait for a record.
    pub wait: Duration,
    /// Time beyond the wait after which the call has failed.
    pub timeout: Duration,
}

/// Use of a record that was read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordUse {
    /// The record is the newest one of its key.
    Apply,
    /// This record or a newer one of its key was read before.
    Known,
    /// A later record of the same reading replaces it.
    Replaced,
}

/// Records that were requested and have expired.
#[derive(Clone, Copy, Debug)]
struct ExpiredRecords {
    /// Position at which they were requested.
    from: u64,
    /// End that the store had reported before it was read there for the first time.
    end: u64,
    /// Number of reads that have found them expired.
    reads: u32,
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
    /// Whether the newest records are read once more, without a change of the position.
    rechecks: bool,
    /// Records that have expired at the position.
    expired: Option<ExpiredRecords>,
    /// Whether the newest records are read instead of those after the position, because several records of
    /// one key have accumulated there.
    is_behind: bool,
    /// Position before the newest records were read instead of those after it.
    skipped_from: Option<u64>,
    /// Number of calls that have failed since the last successful one.
    failures: u32,
    /// Offset of the newest record of each key, sorted by key.
    newest_offsets: Vec<(Arc<str>, u64)>,
    /// Times of the last two records that replaced one of the same key, the older one first.
    replaced_at: Option<(Option<Duration>, Duration)>,
}

impl TopicCursor {
    /// Returns the next request.
    #[must_use]
    pub fn next(&self) -> NextRead {
        match self.from {
            Some(from) if !self.unverified && !self.rechecks && !self.is_behind => {
                NextRead::From(from)
            }
            _ => NextRead::Newest,
        }
    }

    /// Returns the offset before which all records were read or replaced.
    #[must_use]
    pub fn position(&self) -> Option<u64> {
        self.from
    }

    /// Returns the next call to the store. A read after a failure does not wait, so that the end of an
    /// outage is noticed at once.
    #[must_use]
    pub fn next_call(&self, longest_wait: Duration) -> ReadCall {
        let read = self.next();
        let is_long_poll = self.failures == 0 && read != NextRead::Newest;
        ReadCall {
            read,
            wait: if is_long_poll {
                longest_wait
            } else {
                Duration::ZERO
            },
            timeout: store_retry::timeout(self.failures),
        }
    }

    /// Returns the number of calls that have failed since the last successful one.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Makes the next call read the newest record of each key once more. Reading goes on at the same position.
    /// A reader that has fallen behind reads them anyway.
    pub fn recheck(&mut self) {
        self.rechecks = self.from.is_some() && !self.is_behind;
    }

    /// Whether the newest records are read because the reader has fallen behind.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.is_behind
    }

    /// Handles that the records of a read have replaced each other: while records of one key follow each other
    /// that quickly, the newest records are read instead of all of them.
    pub fn on_replaced(&mut self) {
        self.is_behind = self.from.is_some();
    }

    /// Whether the next call reads the newest records only to check them.
    #[must_use]
    pub fn is_rechecking(&self) -> bool {
        self.rechecks && !self.is_behind
    }

    /// Handles the newest records. `first_page` is the number of records on the first page, and `end` is
    /// the end offset that the store reported with that page. The pages are not a snapshot: a key of the
    /// first page may change before a later page is read, so reading continues after the first page.
    pub fn on_newest(&mut self, offsets: &[u64], first_page: usize, end: u64) {
        self.failures = 0;
        if std::mem::take(&mut self.rechecks) && !self.is_behind {
            return;
        }
        let after_received = offsets[..first_page.min(offsets.len())]
            .iter()
            .max()
            .map_or(0, |last| last + 1);
        self.reported_end = end;
        let position = if self.unverified {
            // The records before this position were requested and have expired.
            self.from.unwrap_or(end)
        } else {
            // Before the former position if the newest records lack some that were read. Reading these again
            // shows whether they were removed, or are not listed yet.
            after_received.min(end)
        };
        let former = self.from.replace(position);
        self.skipped_from = former.filter(|former| self.is_behind && *former < position);
        self.is_behind =
            self.is_behind && former.is_some_and(|former| has_replaced(offsets, former..position));
        self.unverified = false;
    }

    /// Handles a read up to the offset `end`.
    pub fn on_read(&mut self, end: u64) {
        self.from = Some(end);
        self.skipped_from = None;
        self.failures = 0;
        self.expired = None;
    }

    /// Makes the next request one for the newest records if at least two records have replaced earlier ones
    /// within `window`, so that several more are likely to have followed while the reader fell behind.
    pub fn skip_replaced(&mut self, now: Duration, window: Duration) {
        let is_burst = self
            .replaced_at
            .and_then(|(older, _)| older)
            .is_some_and(|older| now.saturating_sub(older) <= window);
        if is_burst {
            self.from = None;
        }
    }

    /// Returns the offset from which another node is asked for records, by a node whose copy ends before `copied`.
    /// It is the position if that has gone back: the newest records then lacked some that the copy contains, and
    /// only these records show whether their keys were removed.
    #[must_use]
    pub fn follow_from(&self, copied: u64) -> u64 {
        let expired_from = self.expired.map(|expired| expired.from);
        let position = self.from.or(expired_from);
        position.map_or(copied, |position| position.min(copied))
    }

    /// Handles records up to the offset `end` that another node relayed.
    pub fn on_relayed(&mut self, end: u64) {
        self.from = Some(self.from.map_or(end, |from| from.max(end)));
        self.is_behind = false;
        self.skipped_from = None;
        self.expired = None;
    }

    /// Handles that the newest record of a key was refused. If records were skipped before it, they are read now,
    /// since an earlier one of the key may be valid.
    pub fn on_refused(&mut self, key: &str) {
        let Some(skipped_from) = self.skipped_from.take() else {
            return;
        };
        self.from = Some(skipped_from);
        self.is_behind = false;
        self.newest_offsets
            .retain(|(other, offset)| &**other != key || *offset < skipped_from);
    }

    /// Handles a call that failed and returns the pause before the next one. `factor` is a random
    /// number between 0.5 and 1, so that nodes do not retry at the same time.
    pub fn on_failure(&mut self, factor: f64) -> Duration {
        let pause = store_retry::pause(self.failures, factor);
        self.failures += 1;
        pause
    }

    /// Handles the answer of the store that the requested records have expired. The newest records are read again,
    /// and reading goes on after them, or at the end that the store had reported if they stay the same.
    pub fn on_expired(&mut self) {
        let Some(from) = self.from.filter(|from| *from < self.reported_end) else {
            self.from = None;
            self.expired = None;
            return;
        };
        let former = self.expired.filter(|expired| expired.from == from);
        let expired = ExpiredRecords {
            from,
            end: former.map_or(self.reported_end, |former| former.end),
            reads: former.map_or(1, |former| former.reads + 1),
        };
        if expired.reads < EXPIRED_READS {
            self.expired = Some(expired);
            self.from = None;
        } else {
            self.expired = None;
            self.from = Some(expired.end);
            self.unverified = true;
        }
    }

    /// Whether the newest records are read again because the records after them have expired. The caller waits before
    /// this read, so that a slow store has listed them.
    #[must_use]
    pub fn awaits_listing(&self) -> bool {
        self.expired.is_some()
    }

    /// Returns the use of each record of a reading, in the order of their offsets: of the records that are newer
    /// than all earlier ones of their keys, only the last one of each key is applied.
    pub fn select<'a>(
        &mut self,
        now: Duration,
        records: impl Iterator<Item = (&'a str, u64)>,
    ) -> Vec<RecordUse> {
        let mut uses = Vec::new();
        // Index of the newest record of each key, sorted by key.
        let mut newest: Vec<(&str, usize)> = Vec::new();
        for (index, (key, offset)) in records.enumerate() {
            if !self.update_if_newer(now, key, offset) {
                uses.push(RecordUse::Known);
                continue;
            }
            uses.push(RecordUse::Apply);
            match newest.binary_search_by(|(other, _)| (*other).cmp(key)) {
                Ok(found) => {
                    let replaced = std::mem::replace(&mut newest[found].1, index);
                    uses[replaced] = RecordUse::Replaced;
                }
                Err(at) => newest.insert(at, (key, index)),
            }
        }
        uses
    }

    /// Returns whether a record is newer than all earlier ones of its key, and if so, remembers its
    /// offset.
    pub fn update_if_newer(&mut self, now: Duration, key: &str, offset: u64) -> bool {
        match self
            .newest_offsets
            .binary_search_by(|(other, _)| (**other).cmp(key))
        {
            Ok(index) if self.newest_offsets[index].1 >= offset => false,
            Ok(index) => {
                self.newest_offsets[index].1 = offset;
                let last = self.replaced_at.map(|(_, last)| last);
                self.replaced_at = Some((last, now));
                true
            }
            Err(index) => {
                self.newest_offsets.insert(index, (key.into(), offset));
                true
            }
        }
    }
}

/// Whether a record at one of these offsets was replaced or removed: the newest records do not contain it.
fn has_replaced(newest: &[u64], offsets: Range<u64>) -> bool {
    let contained = newest.iter().filter(|offset| offsets.contains(offset));
    (contained.count() as u64) < offsets.end.saturating_sub(offsets.start)
}
