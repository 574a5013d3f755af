//! Retry budget that all nodes of the fleet share. See `docs/platform.md`, "Retries".
//!
//! In any window, the retries that arrive at a service may be at most a ratio of its requests plus
//! a fixed number. Each node limits itself to the ratio of its own requests plus an equal part of
//! the fixed number, so that the whole fleet stays within the budget without coordination.

use std::time::Duration;

use crate::protocol::name::ServiceName;

/// Number of buckets in which a window counts requests; the window slides by one bucket.
const BUCKETS: usize = 20;
/// Fraction of the budget that is used. Retried calls call other services again, and those calls
/// count as retries there, where this node does not see them.
const USABLE_FRACTION: f64 = 0.7;

/// Fraction of the quota that is reserved for urgent calls; when everything fails, the other calls
/// would use it up first.
const URGENT_FRACTION: f64 = 0.35;

/// Retry budget of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed per window, for the whole fleet.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    number: u64,
    requests: u32,
    retries: u32,
}

#[derive(Debug)]
struct ServiceWindow {
    service: ServiceName,
    buckets: [Bucket; BUCKETS],
}

/// Requests and retries of this node by service.
#[derive(Debug)]
pub struct RetryQuota {
    budget: RetryBudget,
    /// Sorted by service.
    windows: Vec<ServiceWindow>,
}

impl RetryQuota {
    /// Creates a quota without any requests or retries.
    #[must_use]
    pub fn new(budget: RetryBudget) -> Self {
        Self {
            budget,
            windows: Vec::new(),
        }
    }

    /// Counts a request to a service.
    pub fn on_request(&mut self, now: Duration, service: &ServiceName) {
        self.bucket(now, service).requests += 1;
    }

    /// Takes one retry from the quota and returns whether it is allowed. `nodes` is the number of
    /// nodes that share the budget; `urgent` marks calls that their callers cannot simply send
    /// again.
    pub fn take(
        &mut self,
        now: Duration,
        service: &ServiceName,
        nodes: usize,
        urgent: bool,
    ) -> bool {
        let current = self.bucket_number(now);
        let oldest = (current + 1).saturating_sub(BUCKETS as u64);
        let index = self.index(service);
        let in_window = |bucket: &&Bucket| bucket.number >= oldest;
        let buckets = self.windows[index].buckets.iter().filter(in_window);
        let (requests, retries) = buckets.fold((0, 0), |(requests, retries), bucket| {
            (requests + bucket.requests, retries + bucket.retries)
        });
        let nodes = u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
        let allowed = USABLE_FRACTION
            * (self.budget.ratio * f64::from(requests) + self.budget.slack / f64::from(nodes));
        let allowed = if urgent {
            allowed
        } else {
            allowed * (1.0 - URGENT_FRACTION)
        };
        if f64::from(retries + 1) > allowed {
            return false;
        }
        self.bucket(now, service).retries += 1;
        true
    }

    fn bucket_number(&self, now: Duration) -> u64 {
        let length = self.budget.window.as_millis() / BUCKETS as u128;
        u64::try_from(now.as_millis() / length.max(1)).unwrap_or(u64::MAX)
    }

    fn index(&mut self, service: &ServiceName) -> usize {
        match self
            .windows
            .binary_search_by(|window| window.service.cmp(service))
        {
            Ok(index) => index,
            Err(index) => {
                let window = ServiceWindow {
                    service: service.clone(),
                    buckets: [Bucket::default(); BUCKETS],
                };
                self.windows.insert(index, window);
                index
            }
        }
    }

    fn bucket(&mut self, now: Duration, service: &ServiceName) -> &mut Bucket {
        let number = self.bucket_number(now);
        let index = self.index(service);
        let slot = usize::try_from(number % BUCKETS as u64).unwrap_or_default();
        let bucket = &mut self.windows[index].buckets[slot];
        if bucket.number != number {
            *bucket = Bucket {
                number,
                ..Bucket::default()
            };
        }
        bucket
    }
}
