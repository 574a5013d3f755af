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
}

impl StoreHistory {
    /// Returns the newest known era; `None` before the first answer that names one.
    #[must_use]
    pub fn era(&self) -> Option<u64> {
        self.era
    }

    /// Handles the era that an answer names.
    pub fn observe(&mut self, era: u64) -> HistoryCheck {
        match self.era {
            Some(known) if era < known => HistoryCheck::Outdated,
            Some(known) if era > known => {
                self.era = Some(era);
                HistoryCheck::Restored
            }
            _ => {
                self.era = Some(era);
                HistoryCheck::Current
            }
        }
    }
}
