//! Budget of repeated requests that all nodes share. See `docs/platform.md`, "Retries".
//!
//! A service may get, in any window, a share of the requests for it plus a fixed number in arrivals
//! beyond the first. Each node keeps to the share of its own requests and to an equal part of the
//! fixed number, so that the sum over all nodes keeps to the whole without any message.

use std::time::Duration;

use crate::protocol::name::ServiceName;

/// Parts of a window in which requests are counted; a window slides by one part.
const PARTS: usize = 20;
/// Share of the budget that is used. Repeated runs call other services again, and those calls count
/// as repeats there, where this node does not see them.
const SAFETY: f64 = 0.7;

/// Share of the quota that only urgent calls may use: when everything fails, the others would use it
/// up before them.
const URGENT_SHARE: f64 = 0.35;

/// The fleet's budget.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed besides, for the fleet.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    number: u64,
    requests: u32,
    repeats: u32,
}

#[derive(Debug)]
struct ServiceWindow {
    service: ServiceName,
    parts: [Part; PARTS],
}

/// Requests and repeats of this node by service.
#[derive(Debug)]
pub struct RetryQuota {
    budget: RetryBudget,
    /// Sorted by service.
    windows: Vec<ServiceWindow>,
}

impl RetryQuota {
    /// Creates an unused quota.
    #[must_use]
    pub fn new(budget: RetryBudget) -> Self {
        Self {
            budget,
            windows: Vec::new(),
        }
    }

    /// Counts a request of a caller.
    pub fn on_request(&mut self, now: Duration, service: &ServiceName) {
        self.part(now, service).requests += 1;
    }

    /// Takes the right to one repeat; `nodes` is the number of nodes that share the budget. Urgent are
    /// calls whose callers cannot simply send them again.
    pub fn take(
        &mut self,
        now: Duration,
        service: &ServiceName,
        nodes: usize,
        urgent: bool,
    ) -> bool {
        let current = self.part_number(now);
        let oldest = (current + 1).saturating_sub(PARTS as u64);
        let index = self.index(service);
        let in_window = |part: &&Part| part.number >= oldest;
        let parts = self.windows[index].parts.iter().filter(in_window);
        let (requests, repeats) = parts.fold((0, 0), |(requests, repeats), part| {
            (requests + part.requests, repeats + part.repeats)
        });
        let nodes = u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
        let allowed = SAFETY
            * (self.budget.ratio * f64::from(requests) + self.budget.slack / f64::from(nodes));
        let allowed = if urgent {
            allowed
        } else {
            allowed * (1.0 - URGENT_SHARE)
        };
        if f64::from(repeats + 1) > allowed {
            return false;
        }
        self.part(now, service).repeats += 1;
        true
    }

    fn part_number(&self, now: Duration) -> u64 {
        let length = self.budget.window.as_millis() / PARTS as u128;
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
                    parts: [Part::default(); PARTS],
                };
                self.windows.insert(index, window);
                index
            }
        }
    }

    fn part(&mut self, now: Duration, service: &ServiceName) -> &mut Part {
        let number = self.part_number(now);
        let index = self.index(service);
        let slot = usize::try_from(number % PARTS as u64).unwrap_or_default();
        let part = &mut self.windows[index].parts[slot];
        if part.number != number {
            *part = Part {
                number,
                ..Part::default()
            };
        }
        part
    }
}
