//! Copy of the topics that a node follows, from which nodes beside it can follow as well. See
//! `docs/platform.md`, "Store".

use std::sync::Arc;

use bytes::Bytes;

/// The newest record of a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MirrorRecord {
    /// Key.
    pub key: Arc<str>,
    /// Value; empty if the key was dropped.
    pub value: Bytes,
    /// Offset in the topic.
    pub offset: u64,
}

/// One topic.
#[derive(Debug, Default)]
pub struct Mirror {
    /// Sorted by offset; one record a key.
    records: Vec<MirrorRecord>,
    end: u64,
    started: bool,
}

impl Mirror {
    /// Takes over a record that is newer than the one of its key.
    pub fn apply(&mut self, record: MirrorRecord) {
        self.records.retain(|other| other.key != record.key);
        let index = self
            .records
            .partition_point(|other| other.offset < record.offset);
        self.end = self.end.max(record.offset + 1);
        self.records.insert(index, record);
    }

    /// Takes note that all records before `end` were seen.
    pub fn advance(&mut self, end: u64) {
        self.end = self.end.max(end);
        self.started = true;
    }

    /// Offset behind the last record; `None` before the topic was read once.
    #[must_use]
    pub fn end(&self) -> Option<u64> {
        self.started.then_some(self.end)
    }

    /// Records from an offset on.
    #[must_use]
    pub fn since(&self, from: u64) -> &[MirrorRecord] {
        let index = self.records.partition_point(|record| record.offset < from);
        &self.records[index..]
    }
}
