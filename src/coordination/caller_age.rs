//! Recognises callers that come back after a refusal, by the time that they have left. See
//! `docs/platform.md`, "Callers that come back".
//!
//! A caller counts its latency objective from its first try, but a node sees each try as a new request.
//! Under overload callers that come back are already late, and if they compete on equal terms with new
//! ones, all are served late (metastable failures, `HotOS` 2021). All callers of a route allow about the
//! same time, so one with much less left has used it up elsewhere.

use std::time::Duration;

use crate::protocol::name::RouteName;

/// Share of the callers of a route that have less time left than the reference. Callers that wait
/// unusually long must not make all others look late.
const REFERENCE_QUANTILE: f64 = 0.9;
/// Step of the estimate of the reference after each call, relative to the estimate.
const STEP: f64 = 0.01;
/// Calls of a route before the first estimate, which is their median: one unusual caller must not set it.
const FIRST_CALLS: usize = 9;

#[derive(Clone, Debug)]
struct RouteReference {
    route: RouteName,
    /// Time left of the first calls in seconds, sorted.
    first_s: Vec<f64>,
    /// Estimate of the quantile of the time left in seconds, after the first calls.
    left_s: Option<f64>,
}

/// Time that the callers of each route have left when they arrive.
#[derive(Clone, Debug, Default)]
pub struct CallerAges {
    /// Sorted by route.
    routes: Vec<RouteReference>,
}

impl CallerAges {
    /// Records a call whose caller waits for `left`, and returns whether the caller has spent the
    /// latency objective of the route before this try.
    pub fn is_overdue(&mut self, route: &RouteName, left: Duration, objective: Duration) -> bool {
        let left_s = left.as_secs_f64();
        let found = self.routes.binary_search_by(|known| known.route.cmp(route));
        let index = found.unwrap_or_else(|index| {
            let known = RouteReference {
                route: route.clone(),
                first_s: Vec::with_capacity(FIRST_CALLS),
                left_s: None,
            };
            self.routes.insert(index, known);
            index
        });
        let known = &mut self.routes[index];
        let Some(reference) = &mut known.left_s else {
            let index = known.first_s.partition_point(|first| *first < left_s);
            known.first_s.insert(index, left_s);
            if known.first_s.len() == FIRST_CALLS {
                known.left_s = Some(known.first_s[FIRST_CALLS / 2]);
                known.first_s = Vec::new();
            }
            return false;
        };
        let overdue = *reference - left_s > objective.as_secs_f64();
        // Stochastic approximation of the quantile: the steps balance where this share is below.
        let step = if left_s > *reference {
            REFERENCE_QUANTILE
        } else {
            REFERENCE_QUANTILE - 1.0
        };
        *reference *= 1.0 + STEP * step;
        overdue
    }

    /// Drops the references of the routes that are not in the sorted list.
    pub fn retain(&mut self, routes: &[RouteName]) {
        self.routes
            .retain(|known| routes.binary_search(&known.route).is_ok());
    }
}
