//! Limit on the requests that a backend server accepts from all nodes together. See
//! `docs/platform.md`, "Limits of backend servers".
//!
//! Only the node beside a backend server sends requests to it, so that node alone keeps the limit, as a
//! token bucket.

use std::time::Duration;

use crate::protocol::hop::RequestRate;

/// Time for which unused requests are kept, so that calls that arrive together can start together.
const BURST: Duration = Duration::from_millis(500);
/// Lowest rate that is used, requests a second. A backend server that accepts no requests could not
/// announce the end of its limit otherwise.
const MIN_PER_S: f64 = 0.5;

/// Token bucket of one limit.
#[derive(Clone, Copy, Debug)]
pub struct RequestLimit {
    rate: RequestRate,
    tokens: f64,
    updated_at: Duration,
}

impl RequestLimit {
    /// Creates the bucket of a limit that was named at `now`. It holds one request, since earlier ones
    /// may just have been sent.
    #[must_use]
    pub fn new(now: Duration, rate: RequestRate) -> Self {
        Self {
            rate,
            tokens: 1.0,
            updated_at: now,
        }
    }

    /// Returns the limit.
    #[must_use]
    pub fn rate(&self) -> RequestRate {
        self.rate
    }

    /// Changes the limit; the requests that were saved under the previous one are kept up to the burst
    /// of the new one.
    pub fn set_rate(&mut self, now: Duration, rate: RequestRate) {
        self.refill(now);
        self.rate = rate;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Takes a request if the limit allows one now.
    pub fn take(&mut self, now: Duration) -> bool {
        self.refill(now);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }

    /// Returns the time from `now` until the limit allows a request behind `ahead` other ones.
    #[must_use]
    pub fn delay(&self, now: Duration, ahead: usize) -> Duration {
        #[allow(clippy::cast_precision_loss, reason = "queues are short")]
        let missing = (ahead as f64 + 1.0 - self.tokens_at(now)).max(0.0);
        Duration::from_secs_f64(missing / self.per_s())
    }

    /// Returns the requests a second that are used.
    #[must_use]
    pub fn per_s(&self) -> f64 {
        self.rate.per_s().max(MIN_PER_S)
    }

    fn capacity(&self) -> f64 {
        (self.per_s() * BURST.as_secs_f64()).max(1.0)
    }

    fn tokens_at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        (self.tokens + elapsed * self.per_s()).min(self.capacity())
    }

    fn refill(&mut self, now: Duration) {
        self.tokens = self.tokens_at(now);
        self.updated_at = now;
    }
}
