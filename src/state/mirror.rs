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
}
