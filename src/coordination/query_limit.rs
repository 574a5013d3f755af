//! Limit on the queries of operators that a process answers. See `docs/operators.md`, "Where a request would go".
//!
//! A query judges every node of the fleet, on an instance that may have a tenth of a processor.

use std::collections::VecDeque;
use std::time::Duration;

/// Queries that may begin in any second.
pub const MAX_PER_S: usize = 5;
/// Queries that may be open at a time.
pub const MAX_OPEN: usize = 2;
const SECOND: Duration = Duration::from_secs(1);

/// Why a query is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueryRefusal {
    /// As many queries are open as may be.
    TooMany,
    /// As many queries have begun in the last second as may. The next one may begin after this time.
    TooFrequent(Duration),
}

impl QueryRefusal {
    /// Returns the time after which to try again.
    #[must_use]
    pub fn retry_after(self) -> Duration {
        match self {
            // An open query waits for its body, for a time that is not known.
            Self::TooMany => SECOND,
            // The header has whole milliseconds.
            Self::TooFrequent(delay) => delay.max(Duration::from_millis(1)),
        }
    }
}

/// Queries that are open or have begun in the last second.
#[derive(Clone, Debug, Default)]
pub struct QueryLimit {
    /// Times at which queries have begun, in their order.
    begun: VecDeque<Duration>,
    open: usize,
}

impl QueryLimit {
    /// Begins a query. [`Self::end`] has to be called if that is allowed. Refused queries do not count.
    ///
    /// # Errors
    /// The limit that is reached.
    pub fn begin(&mut self, now: Duration) -> Result<(), QueryRefusal> {
        while self.begun.front().is_some_and(|at| *at + SECOND <= now) {
            self.begun.pop_front();
        }
        if self.open >= MAX_OPEN {
            return Err(QueryRefusal::TooMany);
        }
        if let Some(oldest) = self.begun.front()
            && self.begun.len() >= MAX_PER_S
        {
            return Err(QueryRefusal::TooFrequent(
                (*oldest + SECOND).saturating_sub(now),
            ));
        }
        self.begun.push_back(now);
        self.open += 1;
        Ok(())
    }

    /// Ends a query that was begun.
    pub fn end(&mut self) {
        self.open = self.open.saturating_sub(1);
    }
}
