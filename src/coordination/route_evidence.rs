//! Evidence against a new version by route. See `docs/platform.md`, "Moves".
//!
//! A fault of a single route disappears in the sum over all routes: 3 failures in 100 of a route with 3 in
//! 10 requests are 1 in 100. Each route is compared with its own results at the old version.

use crate::protocol::hop::BackendTotals;
use crate::protocol::hop::RouteTotals;

/// Failure rate of the new version below which a route is not faulty.
const MIN_FAULTY_RATE: f64 = 0.01;
/// Ratio of the new version's failure rate to the old one's below which a route is not faulty.
const MIN_RATIO: f64 = 3.0;
/// Logarithm of the likelihood ratio above which a route is faulty, for all runs of the move. In 1,000 moves
/// each at failure rates of 0.5 and 1 in 100 on both versions, routes of four and of none exceeded it.
const THRESHOLD: f64 = 7.5;
/// The same for the runs since the route last looked sound, whose begin is chosen by their failures.
const LATE_THRESHOLD: f64 = 10.0;
/// Failures below which a route is not faulty, so that a single faulty request does not end a move.
const MIN_FAILURES: u64 = 3;
/// Logarithm of the likelihood ratio, and failures, from which a route is suspect: the version's share does
/// not grow until more runs have decided.
const SUSPECT_THRESHOLD: f64 = 3.0;
const MIN_SUSPECT_FAILURES: u64 = 2;
/// Minimum runs for a comparison of latencies.
const MIN_LATENCY_RUNS: u64 = 40;
const MIN_BASELINE_RUNS: u64 = 100;
/// Ratio of the mean latency to that of the old version above which a version is faulty. A good version that
/// takes most of the traffic on fewer slots may take up to twice as long.
const MAX_SLOWDOWN: f64 = 3.0;

/// Evidence of one move against the new version, by route.
///
/// The test is the ratio of two likelihoods: that each version has a failure rate of its own, and that both
/// have the same. It is as strict with few runs of the old version as with few of the new one. It uses all
/// runs of the move, and besides those since the route last looked sound, so that a fault that begins late is
/// not hidden by the runs before.
#[derive(Debug, Default)]
pub struct RouteEvidence {
    /// Results of the new and the old version at the first update.
    first: Option<(RouteTotals, RouteTotals)>,
    /// Results of the new version when each route last looked sound: it had no more failures than the old
    /// version's rate lets expect.
    last_sound: RouteTotals,
    is_suspect: bool,
}

/// Returns the logarithm of the likelihood ratio of two failure rates to one, or zero if the new rate is not
/// that of a faulty route. Failures are rare, so that their number counts as Poisson distributed.
#[allow(
    clippy::cast_precision_loss,
    reason = "numbers of runs are far below 2^52"
)]
fn ln_ratio(new: &BackendTotals, old: &BackendTotals, min_failures: u64) -> f64 {
    let is_higher = new.failure_rate() > MIN_FAULTY_RATE.max(MIN_RATIO * old.failure_rate());
    if new.failures < min_failures || !is_higher {
        return 0.0;
    }
    let mut both = *new;
    both.add(old);
    let term = |tally: &BackendTotals| match tally.failures {
        0 => 0.0,
        failures => failures as f64 * (tally.failure_rate() / both.failure_rate()).ln(),
    };
    term(new) + term(old)
}

impl RouteEvidence {
    /// Whether a route may be faulty, with too few runs for a verdict.
    #[must_use]
    pub fn is_suspect(&self) -> bool {
        self.is_suspect
    }

    /// Evaluates the results of both versions since the first update, and describes the fault of the first
    /// route that has one.
    pub fn update(&mut self, new: &RouteTotals, old: &RouteTotals) -> Option<String> {
        if self.first.is_none() {
            self.last_sound = new.clone();
        }
        let (first_new, first_old) = self.first.get_or_insert_with(|| (new.clone(), old.clone()));
        self.is_suspect = false;
        new.iter().find_map(|(route, new)| {
            let baseline = old.get(route).since(&first_old.get(route));
            let all = new.since(&first_new.get(route));
            let last_sound = self.last_sound.entry(route)?;
            let late = new.since(last_sound);
            if looks_sound(&late, &baseline) {
                *last_sound = *new;
            }
            let is_suspect = ln_ratio(&all, &baseline, MIN_SUSPECT_FAILURES) > SUSPECT_THRESHOLD;
            self.is_suspect |= is_suspect;
            let fault = find_fault(&all, &late, &baseline)?;
            Some(format!("route {route}: {fault}"))
        })
    }
}

#[allow(
    clippy::cast_precision_loss,
    reason = "numbers of runs are far below 2^52"
)]
fn looks_sound(late: &BackendTotals, baseline: &BackendTotals) -> bool {
    let expected = late.runs as f64 * baseline.failure_rate().max(MIN_FAULTY_RATE);
    (late.failures as f64) < expected
}

fn find_fault(
    all: &BackendTotals,
    late: &BackendTotals,
    baseline: &BackendTotals,
) -> Option<String> {
    let is_faulty = ln_ratio(all, baseline, MIN_FAILURES) > THRESHOLD
        || ln_ratio(late, baseline, MIN_FAILURES) > LATE_THRESHOLD;
    if is_faulty {
        return Some(describe_failures(all, baseline));
    }
    let is_comparable = all.runs >= MIN_LATENCY_RUNS && baseline.runs >= MIN_BASELINE_RUNS;
    find_slowdown(all, baseline).filter(|_| is_comparable)
}

/// Describes the failures of a new version beside those of the old one.
#[must_use]
pub fn describe_failures(new: &BackendTotals, old: &BackendTotals) -> String {
    format!(
        "{} of {} runs failed, {} of {} of the old version",
        new.failures, new.runs, old.failures, old.runs
    )
}

/// Describes by how much a new version is slower than the old one, if it is faulty for that.
#[must_use]
pub fn find_slowdown(new: &BackendTotals, old: &BackendTotals) -> Option<String> {
    let slowdown = new.mean_latency_percent() / old.mean_latency_percent().max(1.0);
    (slowdown > MAX_SLOWDOWN).then(|| {
        format!(
            "mean latency of {} runs is {slowdown:.1} times that of the old version",
            new.runs
        )
    })
}
