//! Decides when a reader answers the follow request of another node of its failure domain. See
//! `docs/platform.md`, "Store".
//!
//! The follower's configuration is as old as the reader's view, so a reader whose view can no longer
//! be followed says so at once instead of at the end of the long poll. Otherwise a follower of a reader
//! that is cut off from the store learns it two polls after the last confirmation, which takes 0.9 of
//! the time within which a configuration has to be in force.

use std::time::Duration;

/// Time that a reader without a fresh view has to confirm it at the store before it answers, enough
/// for a read of a healthy store.
pub const CONFIRMATION_TIME: Duration = Duration::from_millis(150);

/// A follow request that waits for an answer.
#[derive(Clone, Copy, Debug)]
pub struct FollowPoll {
    /// Time at which the request arrived.
    pub began: Duration,
    /// Time at which the long poll ends.
    pub until: Duration,
    /// Whether the follower's last reader was lost, so that it needs a fresh view at once, with or
    /// without new records.
    pub is_failover: bool,
    /// Whether the follower cannot read the store either. The reader then takes the whole long poll to
    /// confirm its view, since an early refusal would only add failed calls to the store.
    pub is_store_away: bool,
    /// Age from which the reader's view cannot be followed.
    pub max_view_age: Duration,
}

/// Answer of the reader to a follow request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FollowStep {
    /// The reader sends its records and the age of its view.
    Respond,
    /// The reader's view is too old, and the follower has to use another source.
    RefuseAsBehind,
    /// The reader waits for a change, at most until this time.
    Wait(Duration),
}

impl FollowPoll {
    /// Returns what to do now. `confirmed_at` is the time at which the reader's view was last known to
    /// be complete, and `has_news` tells whether the reader has records that the follower lacks.
    #[must_use]
    pub fn next(
        &self,
        now: Duration,
        confirmed_at: Option<Duration>,
        has_news: bool,
    ) -> FollowStep {
        let expires_at = confirmed_at.map_or(Duration::ZERO, |at| at + self.max_view_age);
        let is_fresh = now < expires_at;
        let is_confirmed = confirmed_at.is_some_and(|at| at > self.began);
        if is_fresh && (is_confirmed || has_news || self.is_failover || now >= self.until) {
            return FollowStep::Respond;
        }
        let ends_at = if self.is_store_away {
            self.until
        } else {
            self.until
                .min(expires_at.max(self.began + CONFIRMATION_TIME))
        };
        if now >= ends_at {
            FollowStep::RefuseAsBehind
        } else {
            FollowStep::Wait(ends_at)
        }
    }

    /// Returns the wait that a follower whose own view has this age asks for. The follower's view would be
    /// too old at the end of a longer one, and the reader may have been lost meanwhile.
    #[must_use]
    pub fn requested_wait(
        long_poll: Duration,
        view_age: Option<Duration>,
        max_view_age: Duration,
    ) -> Duration {
        let left = max_view_age.saturating_sub(view_age.unwrap_or_default());
        long_poll.min(left.max(CONFIRMATION_TIME))
    }
}
