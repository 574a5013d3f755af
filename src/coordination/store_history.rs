//! Era of the platform's store. See `docs/platform.md`, "A store that goes back".
//!
//! The store may come back from an outage with a copy that is some seconds old. Records since then are
//! lost, and their offsets are given out again, so an offset has a meaning only within one era. The store
//! names its era in all answers and raises it each time it goes back.

/// How an answer of the store relates to the history that a node knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HistoryCheck {
    /// The answer is from the known era, or the first one.
    Current,
    /// The store has gone back since the era before.
    Restored,
    /// The answer is from an era before the known one: it was late, and what it says may be lost.
    Outdated,
}

/// Newest era that a node knows.
#[derive(Debug, Default)]
pub struct StoreHistory {
    era: Option<u64>,
    /// If only another node has named the era: the number of the first call to the store after that.
    unconfirmed_since: Option<u64>,
}

impl StoreHistory {
    /// Returns the newest known era; `None` before the first answer that names one.
    #[must_use]
    pub fn era(&self) -> Option<u64> {
        self.era
    }

    /// Handles the era that an answer of the store names. `call` is the number of the call that it answers.
    ///
    /// An era that another node has named is dropped if the store names a lower one in the answer to a later
    /// call: otherwise a wrong one would make all answers of the store outdated for good.
    pub fn observe_answer(&mut self, era: u64, call: u64) -> HistoryCheck {
        if self.era.is_some_and(|known| era < known) {
            if self.unconfirmed_since.is_none_or(|first| call < first) {
                return HistoryCheck::Outdated;
            }
            self.unconfirmed_since = None;
            self.era = Some(era);
            return HistoryCheck::Restored;
        }
        self.unconfirmed_since = None;
        self.observe_later(era)
    }

    /// Handles the era that another node names. `next_call` is the number of the next call to the store.
    pub fn observe_report(&mut self, era: u64, next_call: u64) -> HistoryCheck {
        if self.era.is_some_and(|known| era < known) {
            return HistoryCheck::Outdated;
        }
        if self.era != Some(era) {
            self.unconfirmed_since = Some(next_call);
        }
        self.observe_later(era)
    }

    fn observe_later(&mut self, era: u64) -> HistoryCheck {
        let known = self.era.replace(era);
        if known.is_some_and(|known| known != era) {
            HistoryCheck::Restored
        } else {
            HistoryCheck::Current
        }
    }
}
