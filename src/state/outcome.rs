//! Outcomes that operators learn without asking, see `docs/design.md`, section 8.

use std::collections::VecDeque;

use crate::protocol::record::OutcomeRecord;

/// Outcomes that a node keeps for its operator port.
const KEPT_OUTCOMES: usize = 1_000;
/// Outcomes that may wait for the log; about a day of them at the target's rate of change.
const PENDING_OUTCOMES: usize = 4_096;

/// Outcomes of this node and of the others as far as the log told them.
#[derive(Debug, Default)]
pub struct Outcomes {
    kept: VecDeque<OutcomeRecord>,
    pending: VecDeque<OutcomeRecord>,
    dropped: u64,
}

impl Outcomes {
    /// Creates an empty list.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an outcome that this node reports; returns false if it is known already.
    ///
    /// It waits here until [`Outcomes::appended`] says that the log has it. If the log is down for
    /// so long that the queue is full, the oldest waiting outcome is dropped and counted.
    pub fn report(&mut self, outcome: OutcomeRecord) -> bool {
        if !self.learn(outcome.clone()) {
            return false;
        }
        if self.pending.len() >= PENDING_OUTCOMES {
            self.pending.pop_front();
            self.dropped += 1;
        }
        self.pending.push_back(outcome);
        true
    }

    /// Adds an outcome that the log delivered; returns false if it is known already.
    pub fn learn(&mut self, outcome: OutcomeRecord) -> bool {
        if self
            .kept
            .iter()
            .any(|known| known.identity == outcome.identity)
        {
            return false;
        }
        if self.kept.len() >= KEPT_OUTCOMES {
            self.kept.pop_front();
        }
        self.kept.push_back(outcome);
        true
    }

    /// Returns the outcomes that wait for the log, oldest first.
    #[must_use]
    pub fn next_pending(&self) -> Option<&OutcomeRecord> {
        self.pending.front()
    }

    /// Removes the outcome with this identity from the queue once the log has it.
    pub fn appended(&mut self, identity: &str) {
        self.pending.retain(|outcome| outcome.identity != identity);
    }

    /// Returns the kept outcomes, oldest first.
    #[must_use]
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &OutcomeRecord> {
        self.kept.iter()
    }

    /// Number of outcomes that wait for the log.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Number of outcomes that were dropped because the log was down for too long.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
