//! Counts of calls and their latencies, as nodes report them.

use std::time::Duration;

use crate::protocol::gossip::LATENCY_BUCKETS;
use crate::protocol::gossip::RouteEvidence;
use crate::protocol::name::RouteName;

/// Version of a rollout that calls belong to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// The version that has the traffic before the rollout.
    Old,
    /// The version that is rolled out.
    New,
}

/// Counts of calls by result and latency.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Finished calls.
    pub calls: u32,
    /// Failed calls, included in `calls`.
    pub errors: u32,
    /// Calls that failed because a downstream call failed, not included in `calls`.
    pub downstream_failed: u32,
    /// Successful calls by latency bucket, without calls during a cold start.
    pub latency: [u32; LATENCY_BUCKETS],
}

impl Tally {
    /// Adds another tally.
    pub fn add(&mut self, other: &Self) {
        self.calls = self.calls.saturating_add(other.calls);
        self.errors = self.errors.saturating_add(other.errors);
        self.downstream_failed = self
            .downstream_failed
            .saturating_add(other.downstream_failed);
        for (sum, n) in self.latency.iter_mut().zip(other.latency) {
            *sum = sum.saturating_add(n);
        }
    }

    /// Returns the increase since `earlier`, or the whole tally if the sender has reset its counters.
    #[must_use]
    pub fn increase(&self, earlier: &Self) -> Self {
        if self.calls < earlier.calls || self.downstream_failed < earlier.downstream_failed {
            return *self;
        }
        let mut delta = *self;
        delta.calls -= earlier.calls;
        delta.errors = delta.errors.saturating_sub(earlier.errors);
        delta.downstream_failed -= earlier.downstream_failed;
        for (n, before) in delta.latency.iter_mut().zip(earlier.latency) {
            *n = n.saturating_sub(before);
        }
        delta
    }

    /// Converts the tally to the form used in reports.
    #[must_use]
    pub fn to_evidence(&self, route: RouteName) -> RouteEvidence {
        RouteEvidence {
            route,
            calls: self.calls,
            errors: self.errors,
            downstream_failed: self.downstream_failed,
            latency: self.latency,
        }
    }
}

impl From<&RouteEvidence> for Tally {
    /// Limits the failures to the number of calls, since a faulty sender may report more.
    fn from(evidence: &RouteEvidence) -> Self {
        Self {
            calls: evidence.calls,
            errors: evidence.errors.min(evidence.calls),
            downstream_failed: evidence.downstream_failed,
            latency: evidence.latency,
        }
    }
}

/// Returns the latency bucket of a call, see [`LATENCY_BUCKETS`].
#[must_use]
pub fn latency_bucket(latency: Duration) -> usize {
    let above = |i: &usize| latency.as_secs_f64() < bucket_limit(*i);
    (0..LATENCY_BUCKETS - 1)
        .find(above)
        .unwrap_or(LATENCY_BUCKETS - 1)
}

/// Returns the upper limit of a latency bucket in seconds.
#[must_use]
pub fn bucket_limit(bucket: usize) -> f64 {
    125e-6 * 2f64.powf(f64::from(u32::try_from(bucket).unwrap_or(u32::MAX)) / 2.0)
}
