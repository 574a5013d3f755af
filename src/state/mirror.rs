//! Local copies of the topics that a node reads, from which nearby nodes can read them as well. See
//! `docs/platform.md`, "Store".

use std::sync::Arc;

use bytes::Bytes;

/// The newest record of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MirrorRecord {
    /// Key.
    pub key: Arc<str>,
    /// Value; empty if the key was deleted.
    pub value: Bytes,
    /// Offset in the topic.
    pub offset: u64,
}

/// Copy of one topic, with the newest record of each key.
#[derive(Debug, Default)]
pub struct Mirror {
    /// One record per key, sorted by offset.
    records: Vec<MirrorRecord>,
    /// Offset after the last record seen.
    end: u64,
    is_initialised: bool,
    /// Offset before which records may be missing that were replaced or removed before they were read.
    gaps_before: u64,
}

/// Records for a follower.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FollowerRecords<'a> {
    /// Whether these are the records of all keys, so that a key without a record there was removed.
    pub is_complete: bool,
    /// Records, sorted by offset.
    pub records: &'a [MirrorRecord],
}

impl Mirror {
    /// Adds a record and removes the previous record of its key, which must be older.
    pub fn apply(&mut self, record: MirrorRecord) {
        self.records.retain(|other| other.key != record.key);
        let index = self
            .records
            .partition_point(|other| other.offset < record.offset);
        self.end = self.end.max(record.offset + 1);
        self.records.insert(index, record);
    }

    /// Removes the record of a key at this offset or before it, which the store no longer has.
    pub fn forget(&mut self, key: &str, offset: u64) {
        self.records
            .retain(|record| &*record.key != key || record.offset > offset);
    }

    /// Handles a reading of the newest record of each key, after its records were applied. `listed` are the keys
    /// that it has shown with a value, sorted, and `end` is the offset up to which it shows all records. A key
    /// without a record there was removed by a record that this node has not read.
    pub fn on_complete(&mut self, listed: &[&str], end: u64) {
        self.records.retain(|record| {
            let is_listed = listed.binary_search(&&*record.key).is_ok();
            is_listed || record.offset >= end || record.value.is_empty()
        });
        self.gaps_before = self.gaps_before.max(end);
    }

    /// Marks all records before `end` as seen.
    pub fn advance(&mut self, end: u64) {
        self.end = self.end.max(end);
        self.is_initialised = true;
    }

    /// Returns the offset after the last record, or `None` if the topic has not been read yet.
    #[must_use]
    pub fn end(&self) -> Option<u64> {
        self.is_initialised.then_some(self.end)
    }

    /// Returns the newest value of a key.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<&[u8]> {
        let found = self.records.iter().find(|record| &*record.key == key);
        found.map(|record| &*record.value)
    }

    /// Returns the records from an offset on.
    #[must_use]
    pub fn records_from(&self, from: u64) -> &[MirrorRecord] {
        let index = self.records.partition_point(|record| record.offset < from);
        &self.records[index..]
    }

    /// Returns the records for a follower that has read the topic before the offset `from`: those from there on,
    /// or all if a removal may be missing among them.
    #[must_use]
    pub fn follower_records(&self, from: u64) -> FollowerRecords<'_> {
        let is_complete = from < self.gaps_before;
        FollowerRecords {
            is_complete,
            records: if is_complete {
                &self.records
            } else {
                self.records_from(from)
            },
        }
    }
}
