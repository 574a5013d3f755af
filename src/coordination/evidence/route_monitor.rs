//! Monitors the failures and the latency of one route, or of all routes together.

use std::time::Duration;

use crate::coordination::evidence::ASSUMED_ERROR_RATE;
use crate::coordination::evidence::BLOCK_TIME;
use crate::coordination::evidence::Finding;
use crate::coordination::evidence::HISTORY_DECAY;
use crate::coordination::evidence::LOAD_RATIO_STEPS;
use crate::coordination::evidence::MAX_BASELINE_SLOW_FRACTION;
use crate::coordination::evidence::MAX_DOWNSTREAM_FAILURES;
use crate::coordination::evidence::MAX_LOAD_RISE;
use crate::coordination::evidence::MAX_SKIPPED_BLOCKS;
use crate::coordination::evidence::MIN_BASELINE_CALLS;
use crate::coordination::evidence::MIN_LOAD_FRACTION;
use crate::coordination::evidence::OLD_VERSION_TIMEOUT;
use crate::coordination::evidence::detector::Detection;
use crate::coordination::evidence::detector::Detector;
use crate::coordination::evidence::detector::DetectorContext;
use crate::coordination::evidence::detector::ERRORS;
use crate::coordination::evidence::detector::LATENCY;
use crate::coordination::evidence::detector::PairedCounts;
use crate::coordination::evidence::detector::Reference;
use crate::coordination::evidence::tally::Side;
use crate::coordination::evidence::tally::Tally;
use crate::coordination::evidence::tally::bucket_limit;
use crate::protocol::gossip::LATENCY_BUCKETS;
use crate::protocol::gossip::RollbackCause;
use crate::protocol::name::RouteName;

/// Calls of one backend server of the old version over all routes, decaying.
#[derive(Clone, Copy, Debug)]
pub(super) struct OldSource {
    pub(super) id: u8,
    pub(super) calls: f64,
    pub(super) errors: f64,
    /// Time since which it fails much more often than the other backend servers.
    pub(super) outlier_since: Option<Duration>,
}

/// Detectors of failed and of slow calls on one route, or on the sum of all routes.
#[derive(Clone, Debug)]
pub(super) struct RouteMonitor {
    pub(super) route: Option<RouteName>,
    /// Calls of the open block, by [`Side`].
    pub(super) open: [Tally; 2],
    /// Begin of the open block.
    pub(super) opened: Duration,
    pub(super) errors: Detector,
    pub(super) latency: Detector,
    /// Latency histogram of the old version, decaying; without blocks of much lower load.
    pub(super) histogram: [f64; LATENCY_BUCKETS],
    /// Calls per second of the old version in the blocks of the histogram, decaying.
    pub(super) histogram_load: f64,
    /// Consecutive blocks left out of the histogram.
    pub(super) skipped: u32,
    /// Calls per second of the new version, decaying.
    pub(super) new_load: f64,
    /// Calls per second of both versions in blocks with calls of the old one, decaying.
    pub(super) normal_load: f64,
    /// End of the last block with calls of the old version.
    pub(super) old_seen: Option<Duration>,
}

impl RouteMonitor {
    pub(super) fn new(route: Option<RouteName>, now: Duration) -> Self {
        Self {
            route,
            open: [Tally::default(); 2],
            opened: now,
            errors: Detector::new(ERRORS),
            latency: Detector::new(LATENCY),
            histogram: [0.0; LATENCY_BUCKETS],
            histogram_load: 0.0,
            skipped: 0,
            new_load: 0.0,
            normal_load: 0.0,
            old_seen: None,
        }
    }

    pub(super) fn add(&mut self, side: Side, source: u8, tally: &Tally) {
        self.open[side as usize].add(tally);
        let (calls, errors) = (tally.calls.into(), tally.errors.into());
        let (timed, slow) = match self.slow_limit() {
            Some(limit) => slow_calls(tally, limit),
            None => (0.0, 0.0),
        };
        if side == Side::Old {
            self.errors.add_old(calls, errors);
            self.latency.add_old(timed, slow);
        } else {
            self.errors.add_new(source, calls, errors);
            self.latency.add_new(source, timed, slow);
        }
    }

    /// Returns the bucket of the old version's 95th percentile, adjusted for load; calls in higher
    /// buckets are slow.
    pub(super) fn slow_limit(&self) -> Option<usize> {
        let total: f64 = self.histogram.iter().sum();
        if total < MIN_BASELINE_CALLS {
            return None;
        }
        let mut sum = 0.0;
        let limit = self.histogram.iter().position(|n| {
            sum += n;
            sum >= 0.95 * total
        })?;
        // The limit rises by half an octave (one bucket) for each step of the load ratio.
        let load_ratio = self.new_load / self.histogram_load.max(f64::MIN_POSITIVE);
        let slack = LOAD_RATIO_STEPS
            .iter()
            .filter(|step| load_ratio > **step)
            .count();
        Some((limit + slack).min(LATENCY_BUCKETS - 1))
    }

    pub(super) fn error_pair(&self) -> PairedCounts {
        PairedCounts {
            old_calls: self.open[0].calls.into(),
            old_bad: self.open[0].errors.into(),
            new_calls: self.open[1].calls.into(),
            new_bad: self.open[1].errors.into(),
        }
    }

    pub(super) fn slow_pair(&self) -> PairedCounts {
        let Some(limit) = self.slow_limit() else {
            return PairedCounts::default();
        };
        let (old_calls, old_bad) = slow_calls(&self.open[0], limit);
        let (new_calls, new_bad) = slow_calls(&self.open[1], limit);
        PairedCounts {
            old_calls,
            old_bad,
            new_calls,
            new_bad,
        }
    }

    pub(super) fn is_old_version_idle(&self, now: Duration) -> bool {
        self.old_seen
            .is_none_or(|at| now.saturating_sub(at) >= OLD_VERSION_TIMEOUT)
    }

    pub(super) fn contexts(
        &self,
        now: Duration,
        last_old_report: Option<Duration>,
    ) -> (DetectorContext, DetectorContext) {
        let old_version_idle = self.is_old_version_idle(now);
        let has_baseline = self.errors.history.0 >= MIN_BASELINE_CALLS;
        let errors = if self.errors.smoothed_old_calls(&self.error_pair()) > 0.0 {
            Reference::Concurrent
        } else if old_version_idle && has_baseline {
            Reference::Baseline(self.errors.baseline_limit())
        } else {
            Reference::Baseline(ASSUMED_ERROR_RATE)
        };
        let latency = if self.latency.smoothed_old_calls(&self.slow_pair()) > 0.0 {
            Reference::Concurrent
        } else if old_version_idle && self.slow_limit().is_some() {
            Reference::Baseline(self.latency.baseline_limit())
        } else {
            Reference::Unknown
        };
        let failed = f64::from(self.open[1].downstream_failed);
        let otherwise_explained =
            failed > MAX_DOWNSTREAM_FAILURES * (f64::from(self.open[1].calls) + failed);
        let age = now.saturating_sub(self.opened).as_secs_f64();
        let calls: f64 = self.open.iter().map(|side| f64::from(side.calls)).sum();
        let overload = self.normal_load > 0.0
            && calls > MAX_LOAD_RISE * self.normal_load * age.max(BLOCK_TIME.as_secs_f64());
        let context = |reference, otherwise_explained| DetectorContext {
            reference,
            last_old_report,
            otherwise_explained,
        };
        (
            context(errors, otherwise_explained),
            context(latency, otherwise_explained || overload),
        )
    }

    pub(super) fn tick(
        &mut self,
        now: Duration,
        last_old_report: Option<Duration>,
    ) -> Option<Finding> {
        let (errors_context, latency_context) = self.contexts(now, last_old_report);
        let (errors, slow) = (self.error_pair(), self.slow_pair());
        let found = self.errors.evaluate(now, &errors, &errors_context);
        let mut finding = found.map(|found| self.finding(&self.errors, &found, errors_context));
        let found = self.latency.evaluate(now, &slow, &latency_context);
        if finding.is_none() {
            finding = found.map(|found| self.finding(&self.latency, &found, latency_context));
        }
        let age = now.saturating_sub(self.opened);
        // A block without calls of one version yields no evidence. It stays open for longer, so that
        // versions with little traffic can be compared.
        let both_have_calls = errors.old_calls > 0.0 && errors.new_calls > 0.0;
        let settled = both_have_calls || errors.new_calls == 0.0 || self.is_old_version_idle(now);
        if age >= OLD_VERSION_TIMEOUT || age >= BLOCK_TIME && settled {
            self.close(now, age, (errors, errors_context), (slow, latency_context));
        }
        finding
    }

    pub(super) fn close(
        &mut self,
        now: Duration,
        age: Duration,
        (errors, errors_context): (PairedCounts, DetectorContext),
        (slow, latency_context): (PairedCounts, DetectorContext),
    ) {
        self.errors.close(errors, errors_context.reference);
        self.latency.close(slow, latency_context.reference);
        if errors.old_calls > 0.0 {
            self.old_seen = Some(now);
            self.add_histogram(errors.old_calls / age.as_secs_f64());
            let load = (errors.old_calls + errors.new_calls) / age.as_secs_f64();
            self.normal_load = if self.normal_load == 0.0 {
                load
            } else {
                0.95 * self.normal_load + 0.05 * load
            };
        }
        let new_load = errors.new_calls / age.as_secs_f64();
        self.new_load = 0.8 * self.new_load + 0.2 * new_load;
        self.open = [Tally::default(); 2];
        self.opened = now;
    }

    /// Adds the open block to the histogram unless the old version carries much less load than before: its
    /// latency is then not comparable with that of a new version under full load.
    pub(super) fn add_histogram(&mut self, load: f64) {
        if load < MIN_LOAD_FRACTION * self.histogram_load {
            return;
        }
        let slow = self.slow_pair();
        if slow.old_rate() > MAX_BASELINE_SLOW_FRACTION && self.skipped < MAX_SKIPPED_BLOCKS {
            self.skipped += 1;
            return;
        }
        self.skipped = 0;
        for (sum, n) in self.histogram.iter_mut().zip(self.open[0].latency) {
            *sum = *sum * HISTORY_DECAY + f64::from(n);
        }
        self.histogram_load = if self.histogram_load == 0.0 {
            load
        } else {
            0.95 * self.histogram_load + 0.05 * load
        };
    }

    pub(super) fn finding(
        &self,
        detector: &Detector,
        found: &Detection,
        context: DetectorContext,
    ) -> Finding {
        let Detection {
            window, evidence, ..
        } = found;
        let what = match detector.measure.cause {
            RollbackCause::Latency => {
                let limit = self.slow_limit().map_or(0.0, bucket_limit);
                format!("calls slower than {:.1} ms", limit * 1e3)
            }
            _ => "failed calls".to_owned(),
        };
        let old = match context.reference {
            Reference::Concurrent => {
                format!("{} of {} of the old one", window.old_bad, window.old_calls)
            }
            Reference::Baseline(limit) => format!("a limit of {:.1} %", limit * 100.0),
            Reference::Unknown => "nothing".to_owned(),
        };
        Finding {
            cause: detector.measure.cause,
            route: self.route.clone(),
            text: format!(
                "{what}: {} of {} of the new version against {old}, evidence {evidence:.1}",
                window.new_bad, window.new_calls
            ),
            concurrent: context.reference == Reference::Concurrent,
            rate: found.rate,
        }
    }

    pub(super) fn max_evidence(&self) -> f64 {
        let detectors = [&self.errors, &self.latency];
        let sums = detectors.map(|d| d.concurrent.max().max(d.baseline.max()));
        sums[0].max(sums[1])
    }
}

/// Returns one of two findings; prefers one that compares calls at the same time.
pub(super) fn prefer_concurrent(
    first: Option<Finding>,
    second: Option<Finding>,
) -> Option<Finding> {
    match (&first, &second) {
        (Some(a), Some(b)) if b.concurrent && !a.concurrent => second,
        (None, _) => second,
        _ => first,
    }
}

/// Returns the calls with a latency and the slow ones among them.
pub(super) fn slow_calls(tally: &Tally, limit: usize) -> (f64, f64) {
    let count = |buckets: &[u32]| buckets.iter().map(|n| f64::from(*n)).sum::<f64>();
    (count(&tally.latency), count(&tally.latency[limit + 1..]))
}
