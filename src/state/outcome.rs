//! Outcomes that are reported to operators unprompted, see `docs/design.md`, section 8.

use std::collections::VecDeque;

use crate::protocol::record::OutcomeRecord;

/// Number of outcomes that a node keeps for its operator port.
const MAX_KEPT_OUTCOMES: usize = 1_000;
/// Maximum number of outcomes that wait to be appended to the log; about a day of outcomes at the
/// target rate of change.
const MAX_PENDING_OUTCOMES: usize = 4_096;

/// Outcomes of this node, and those of other nodes that were read from the log.
#[derive(Debug, Default)]
pub struct Outcomes {
    /// Most recent outcomes, oldest first.
    kept: VecDeque<OutcomeRecord>,
    /// Outcomes of this node that the log does not have yet, oldest first.
    pending: VecDeque<OutcomeRecord>,
    /// Pending outcomes that were dropped because the queue was full.
    dropped: u64,
}

impl Outcomes {
    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an outcome that this node reports; returns false if it is already known.
    ///
    /// The outcome is pending until [`Outcomes::on_appended`] is called after its append. If the log is
    /// unavailable for so long that the queue is full, the oldest pending outcome is dropped and
    /// counted.
    pub fn report(&mut self, outcome: OutcomeRecord) -> bool {
        if !self.insert(outcome.clone()) {
            return false;
        }
        if self.pending.len() >= MAX_PENDING_OUTCOMES {
            self.pending.pop_front();
            self.dropped += 1;
        }
        self.pending.push_back(outcome);
        true
    }

    /// Adds an outcome that was read from the log; returns false if it is already known.
    pub fn insert(&mut self, outcome: OutcomeRecord) -> bool {
        if self
            .kept
            .iter()
            .any(|other| other.identity == outcome.identity)
        {
            return false;
        }
        if self.kept.len() >= MAX_KEPT_OUTCOMES {
            self.kept.pop_front();
        }
        self.kept.push_back(outcome);
        true
    }

    /// Returns the oldest outcome that waits to be appended to the log.
    #[must_use]
    pub fn next_pending(&self) -> Option<&OutcomeRecord> {
        self.pending.front()
    }

    /// Removes the outcome with this identity from the queue after it was appended to the log.
    pub fn on_appended(&mut self, identity: &str) {
        self.pending.retain(|outcome| outcome.identity != identity);
    }

    /// Returns the kept outcomes, oldest first.
    #[must_use]
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &OutcomeRecord> {
        self.kept.iter()
    }

    /// Returns the number of outcomes that wait to be appended to the log.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of outcomes that were dropped because the log was unavailable for too
    /// long.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
