//! Evidence of a rollout and the sequential test of the new version against the old one, see
//! `docs/design.md`, section 6.
//!
//! The evidence of each route is divided into blocks of about a second. For a block with `n_a` calls and
//! `e_a` failures of the old version and `n_b`, `e_b` of the new one, and assumed rates `p_a`, `p_b` that
//! were fixed before the block, the likelihood ratio against the pooled rate
//! `p_0 = (n_a p_a + n_b p_b) / (n_a + n_b)` has an expectation of at most 1 whenever both versions
//! have the same rate, whatever that rate is in this block (Turner, Ly and Grünwald, "Generic
//! E-variables for exact sequential k-sample tests that allow for optional stopping", 2024). A fault
//! that both versions share therefore yields no evidence, and repeated evaluation does not raise the rate
//! of false alarms. CUSUM adds up the logarithms of the ratios for several assumed rates
//! (Page, 1954; as e-detector: Shin, Ramdas and Rinaldo, 2024), so that a fault that begins late is
//! found as fast as one that was present from the start.
//!
//! Limits: The test assumes independent calls; bursts are covered only by [`MAX_BLOCK_EVIDENCE`], the
//! confirmation time and the minimum effects. A fault that only one of several backend servers of the new
//! version shows is attributed to that server, so a version that is bad on one server only is not detected.
//! A node that receives no reports of the old version cannot tell a fault of both versions from one of the
//! new version; it raises an alarm against the new version when more than [`ASSUMED_ERROR_RATE`] of its
//! calls fail, or clearly more than those of the old version did before.

mod detector;
mod route_monitor;
mod tally;

use std::time::Duration;

use crate::coordination::evidence::detector::rate;
use crate::coordination::evidence::route_monitor::OldSource;
use crate::coordination::evidence::route_monitor::RouteMonitor;
use crate::coordination::evidence::route_monitor::prefer_concurrent;
use crate::protocol::gossip::RollbackCause;
use crate::protocol::name::RouteName;

pub use crate::coordination::evidence::tally::Side;
pub use crate::coordination::evidence::tally::Tally;
pub use crate::coordination::evidence::tally::bucket_limit;
pub use crate::coordination::evidence::tally::latency_bucket;

/// Evidence (natural logarithm of the likelihood ratio) at which the new version is taken to be worse.
/// Each start of a CUSUM from zero raises a false alarm with a probability of at most `exp(-16)`, about
/// 1e-7; one hour with 5 routes, 2 measures and 4 assumed effects has 1.4e5 starts.
pub const ALARM_EVIDENCE: f64 = 16.0;
/// Evidence from which a rollout does not advance before the latest time of its step.
pub const SUSPICION_EVIDENCE: f64 = 6.0;
/// Maximum evidence that one block adds on latency, so that a burst of slow calls within one second cannot
/// raise an alarm.
pub const MAX_BLOCK_EVIDENCE: f64 = 7.0;
/// Minimum difference of the failure rates that counts as a fault.
pub const MIN_ERROR_EXCESS: f64 = 0.02;
/// Minimum difference of the shares of slow calls that counts as a fault.
pub const MIN_SLOW_EXCESS: f64 = 0.12;
/// Minimum ratio of the new version's rate to the old one's that counts as a fault.
pub const MIN_RATIO: f64 = 1.5;
/// A disturbance of the old version counts as shared by both unless the new version is worse by this
/// factor.
pub const SHARED_FAULT_RATIO: f64 = 2.0;
/// Like [`SHARED_FAULT_RATIO`], for the calls after an alarm: the reports of the old version lag by up to a
/// second and still contain calls from before a shared fault.
pub const CONFIRM_RATIO: f64 = 3.0;
/// Rise of the old version's rate above its history that counts as a disturbance.
pub const MIN_DISTURBANCE: f64 = 0.05;
/// Time for which an alarm must last. Reports of the old version, sent once a second, arrive in this time
/// and show whether it has the same fault.
pub const CONFIRM_TIME: Duration = Duration::from_millis(1_200);
/// Maximum wait for a report of the old version.
pub const MAX_CONFIRM_TIME: Duration = Duration::from_millis(2_200);
/// Time for which an alarm on latency must last, since slowness is temporary more often than errors are.
pub const CONFIRM_LATENCY_TIME: Duration = Duration::from_secs(3);
/// Minimum number of failed or slow calls of the new version after an alarm to confirm it.
pub const MIN_CONFIRMING_BAD_CALLS: f64 = 2.0;
/// Minimum evidence without the worst backend server. Each start of a CUSUM reaches it by chance with a
/// probability of at most `exp(-8)`, so an alarm that a single server causes for some minutes stays
/// attributed to that server.
pub const MIN_OTHER_EVIDENCE: f64 = 8.0;
/// Minimum evidence against the other backend servers together, as a fraction of that against the worst
/// one.
pub const MIN_OTHER_FRACTION: f64 = 0.4;
/// Minimum calls at the other backend servers to tell a fault of the version from one of a server.
pub const MIN_OTHER_CALLS: f64 = 2.0;
/// Age from which an alarm counts although the other backend servers have too few calls.
pub const SINGLE_SERVER_ALARM_TIME: Duration = Duration::from_secs(10);
/// Minimum duration of a block.
pub const BLOCK_TIME: Duration = Duration::from_secs(1);
/// Time without calls of the old version after which the new version is compared with the stored baseline.
/// Also the time without its reports after which they count as missing, and the maximum duration of a
/// block.
pub const OLD_VERSION_TIMEOUT: Duration = Duration::from_secs(5);
/// Failure rate that the new version may have while the rate of the old one is unknown.
pub const ASSUMED_ERROR_RATE: f64 = 0.3;
/// Minimum calls of the old version for a baseline.
pub const MIN_BASELINE_CALLS: f64 = 50.0;
/// Fraction of calls with failed downstream calls above which a difference from the stored baseline is not
/// attributed to the new version.
pub const MAX_DOWNSTREAM_FAILURES: f64 = 0.05;
/// Fraction of its previous load that the old version must carry for its latency to enter the baseline.
pub const MIN_LOAD_FRACTION: f64 = 0.6;
/// Fraction of slow calls of the old version above which a block does not enter the baseline; otherwise a
/// temporary slowness would hide a slow new version for a minute.
pub const MAX_BASELINE_SLOW_FRACTION: f64 = 0.3;
/// Maximum number of consecutive disturbed blocks left out of the old version's history; later ones
/// count as normal.
pub const MAX_SKIPPED_BLOCKS: u32 = 20;
/// Ratios of the new version's load to the old one's at which the latency limit for slow calls rises by
/// half an octave each. The latency of a backend server at 60 % of its slots is typically 1.5 times that
/// of an idle one.
pub const LOAD_RATIO_STEPS: [f64; 3] = [1.5, 3.0, 6.0];
/// Ratio of the call rate to the baseline above which slowness is attributed to overload.
pub const MAX_LOAD_RISE: f64 = 1.5;
/// Excess of the failure rate of one backend server of the old version over [`OUTLIER_RATIO`] times that
/// of the others, above which the server is an outlier and its calls do not count for the version.
pub const OUTLIER_EXCESS: f64 = 0.1;
/// See [`OUTLIER_EXCESS`].
pub const OUTLIER_RATIO: f64 = 2.0;
/// Minimum calls of the backend server, and of the others together, to detect an outlier.
pub const MIN_OUTLIER_CALLS: f64 = 20.0;
/// Time for which a backend server must be an outlier; a fault of all backend servers shows in reports that
/// arrive up to a second apart.
pub const OUTLIER_TIME: Duration = Duration::from_secs(5);
/// Maximum number of routes with their own evidence; further routes count in the sum of all routes only.
pub const MAX_ROUTES: usize = 64;
/// Decay factor of the old version's history, per block.
const HISTORY_DECAY: f64 = 0.99;
/// Decay factor of the call counts of a single backend server, per block.
const SOURCE_DECAY: f64 = 0.95;
/// Calls of a backend server of the old version after which its counts decay by [`SOURCE_DECAY`].
const OLD_SOURCE_CALLS: f64 = 5.0;
/// Number of closed blocks kept.
const KEPT_BLOCKS: usize = 32;
/// Number of last blocks that show whether a fault is over.
const RECOVERY_BLOCKS: usize = 3;
/// Number of blocks of the old version that a block of the new one is compared with; covers the interval
/// between two reports.
const SMOOTHED_BLOCKS: usize = 3;
/// Assumed increases of the failure rate.
const ERROR_EFFECTS: [f64; 4] = [0.03, 0.1, 0.3, 0.9];
/// Assumed increases of the share of slow calls.
const SLOW_EFFECTS: [f64; 4] = [0.15, 0.3, 0.6, 0.9];
/// Prior failure rate of the old version and the weight of this prior in calls.
const PRIOR_ERRORS: (f64, f64) = (0.005, 50.0);
/// Prior share of slow calls, by the definition of the 95th percentile, and its weight in calls.
const PRIOR_SLOW: (f64, f64) = (0.05, 50.0);

/// Fault found in the new version.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Kind of the fault.
    pub cause: RollbackCause,
    /// Route that shows the fault, `None` if only the sum of all routes does.
    pub route: Option<RouteName>,
    /// Call counts of both versions, for operators.
    pub text: String,
    /// Whether the old version served calls at the same time. Without them, a fault of the environment
    /// cannot be told from one of the version.
    pub concurrent: bool,
    /// Rate of failed or slow calls of the new version since the alarm.
    pub rate: f64,
}

/// Evidence of one rollout from all serving nodes of the service.
#[derive(Clone, Debug)]
pub struct Evidence {
    total: RouteMonitor,
    /// Sorted by route.
    routes: Vec<RouteMonitor>,
    /// Time of the last report of the old version.
    last_old_report: Option<Duration>,
    old_sources: Vec<OldSource>,
    /// Calls since the step began, by [`Side`].
    step: [Tally; 2],
}

impl Evidence {
    /// Creates evidence without calls.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            total: RouteMonitor::new(None, now),
            routes: Vec::new(),
            last_old_report: None,
            old_sources: Vec::new(),
            step: [Tally::default(); 2],
        }
    }

    /// Notes that a report of the old version arrived, even if it contains no calls.
    pub fn on_old_report(&mut self, now: Duration) {
        self.last_old_report = Some(now);
    }

    /// Returns whether a report of the old version arrived recently.
    #[must_use]
    pub fn has_recent_old_report(&self, now: Duration) -> bool {
        self.last_old_report
            .is_some_and(|at| now.saturating_sub(at) < OLD_VERSION_TIMEOUT)
    }

    /// Adds calls of the backend server with the number `source`.
    pub fn add(&mut self, now: Duration, side: Side, source: u8, route: &RouteName, tally: &Tally) {
        self.step[side as usize].add(tally);
        if side == Side::Old && self.is_outlier(now, source, tally) {
            return;
        }
        self.total.add(side, source, tally);
        let found = self
            .routes
            .binary_search_by(|monitor| monitor.route.as_ref().cmp(&Some(route)));
        match found {
            Ok(at) => self.routes[at].add(side, source, tally),
            Err(at) if self.routes.len() < MAX_ROUTES => {
                self.routes
                    .insert(at, RouteMonitor::new(Some(route.clone()), now));
                self.routes[at].add(side, source, tally);
            }
            Err(_) => {}
        }
    }

    /// Returns whether a backend server of the old version fails much more often than the others. Its calls
    /// would make a bad new version look normal.
    fn is_outlier(&mut self, now: Duration, id: u8, tally: &Tally) -> bool {
        let known = self.old_sources.iter().position(|s| s.id == id);
        let at = known.unwrap_or_else(|| {
            self.old_sources.push(OldSource {
                id,
                calls: 0.0,
                errors: 0.0,
                outlier_since: None,
            });
            self.old_sources.len() - 1
        });
        let source = &mut self.old_sources[at];
        let keep = SOURCE_DECAY.powf(f64::from(tally.calls) / OLD_SOURCE_CALLS);
        source.calls = source.calls * keep + f64::from(tally.calls);
        source.errors = source.errors * keep + f64::from(tally.errors);
        let source = *source;
        let others = self.old_sources.iter().filter(|s| s.id != id);
        let (calls, errors) = others.fold((0.0, 0.0), |(calls, errors), s| {
            (calls + s.calls, errors + s.errors)
        });
        let excess = rate(source.errors, source.calls) - OUTLIER_RATIO * rate(errors, calls);
        let outlier = source.calls >= MIN_OUTLIER_CALLS
            && calls >= MIN_OUTLIER_CALLS
            && excess > OUTLIER_EXCESS;
        let since = source
            .outlier_since
            .filter(|_| outlier)
            .or(outlier.then_some(now));
        self.old_sources[at].outlier_since = since;
        since.is_some_and(|since| now.saturating_sub(since) >= OUTLIER_TIME)
    }

    /// Resets the call counts of the step; the sequential test continues.
    pub fn begin_step(&mut self) {
        self.step = [Tally::default(); 2];
    }

    /// Returns whether the recent rates of both versions are at the old version's baseline.
    #[must_use]
    pub fn is_normal(&self) -> bool {
        let mut monitors = self.routes.iter().chain([&self.total]);
        monitors.all(|monitor| monitor.errors.is_normal() && monitor.latency.is_normal())
    }

    /// Drops the evidence and the calls of the last blocks, but keeps the baseline of the old version.
    pub fn restart(&mut self, now: Duration) {
        self.discard_open_blocks(now);
        for monitor in self.routes.iter_mut().chain([&mut self.total]) {
            for detector in [&mut monitor.errors, &mut monitor.latency] {
                detector.reset();
                detector.blocks.clear();
            }
        }
    }

    /// Returns the calls of a version since the step began.
    #[must_use]
    pub fn step_calls(&self, side: Side) -> u32 {
        self.step[side as usize].calls
    }

    /// Returns the failed calls of a version since the step began.
    #[must_use]
    pub fn step_errors(&self, side: Side) -> u32 {
        self.step[side as usize].errors
    }

    /// Clears pending alarms, whose times are invalid after a pause of this process.
    pub fn clear_alarms(&mut self, now: Duration) {
        self.discard_open_blocks(now);
        for monitor in self.routes.iter_mut().chain([&mut self.total]) {
            monitor.errors.alarm = None;
            monitor.latency.alarm = None;
        }
    }

    fn discard_open_blocks(&mut self, now: Duration) {
        for monitor in self.routes.iter_mut().chain([&mut self.total]) {
            monitor.open = [Tally::default(); 2];
            monitor.opened = now;
            for detector in [&mut monitor.errors, &mut monitor.latency] {
                for source in &mut detector.sources {
                    source.open = (0.0, 0.0);
                }
            }
        }
    }

    /// Returns whether the new version is suspected of a fault, so that the rollout should wait.
    #[must_use]
    pub fn is_suspicious(&self) -> bool {
        let mut monitors = self.routes.iter().chain([&self.total]);
        monitors.any(|monitor| {
            monitor.max_evidence() >= SUSPICION_EVIDENCE
                || monitor.errors.alarm.is_some()
                || monitor.latency.alarm.is_some()
        })
    }

    /// Returns the average number of slots that all calls of the service occupy, by Little's law from the
    /// last blocks.
    #[must_use]
    pub fn busy_slots(&self) -> f64 {
        let total: f64 = self.total.histogram.iter().sum();
        if total == 0.0 {
            return 0.0;
        }
        // The bounds of a bucket differ by a factor of sqrt(2), so its middle is at 0.85 of the upper bound.
        let time = |(i, n): (usize, &f64)| n * bucket_limit(i) * 0.85;
        let mean: f64 = self.total.histogram.iter().enumerate().map(time).sum();
        mean / total * self.total.normal_load
    }

    /// Evaluates all routes. The owner calls it about every 200 ms.
    pub fn tick(&mut self, now: Duration) -> Option<Finding> {
        let last_old_report = self.last_old_report;
        let mut finding = None;
        for monitor in &mut self.routes {
            let found = monitor.tick(now, last_old_report);
            finding = prefer_concurrent(finding, found);
        }
        let total = self.total.tick(now, last_old_report);
        prefer_concurrent(finding, total)
    }
}
