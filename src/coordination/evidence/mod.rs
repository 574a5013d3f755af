//! Evidence of a rollout and the sequential test of the new version against the old one, see
//! `docs/design.md`, section 6.
//!
//! The evidence of each route is cut into blocks of about a second. For a block with `n_a` calls and
//! `e_a` failures of the old version and `n_b`, `e_b` of the new one, and guesses `p_a`, `p_b` of the
//! two rates made before the block, the likelihood ratio against the pooled rate
//! `p_0 = (n_a p_a + n_b p_b) / (n_a + n_b)` has an expectation of at most 1 whenever both versions
//! have the same rate, whatever that rate is in this block (Turner, Ly and Grünwald, "Generic
//! E-variables for exact sequential k-sample tests that allow for optional stopping", 2024). A fault
//! that both versions share therefore yields no evidence, and looking at the result again and again
//! does not raise the rate of false alarms. The ratios of several guesses are summed up by CUSUM
//! (Page, 1954; as e-detector: Shin, Ramdas and Rinaldo, 2024), so that a fault that begins late is
//! found as fast as one that was there from the start.
//!
//! Limits: calls are taken as independent; bursts are covered by [`MAX_BLOCK_EVIDENCE`], the
//! confirmation time and the least effects only. A fault that only one of several backend servers of the
//! new version shows is taken to be the server's, so that a version that is bad on one of them is not
//! found. A node that hears no report of the old version cannot tell a fault of both from one of the new
//! version; it accuses the new one when more than [`ASSUMED_ERROR_RATE`] of its calls fail, or
//! clearly more than the old one's before.

mod detector;
mod tally;
mod track;

use std::time::Duration;

use crate::coordination::evidence::detector::rate;
use crate::coordination::evidence::track::OldSource;
use crate::coordination::evidence::track::Track;
use crate::coordination::evidence::track::stronger;
use crate::protocol::gossip::RollbackCause;
use crate::protocol::name::RouteName;

pub use crate::coordination::evidence::tally::Side;
pub use crate::coordination::evidence::tally::Tally;
pub use crate::coordination::evidence::tally::bucket_limit;
pub use crate::coordination::evidence::tally::latency_bucket;

/// Evidence (natural logarithm of the likelihood ratio) at which the new version is taken to be worse.
/// One start of a CUSUM raises a false alarm with a probability of at most `exp(-16)`, about 1e-7; an
/// hour, 5 routes, 2 measures and 4 guesses make 1.4e5 starts.
pub const ALARM_EVIDENCE: f64 = 16.0;
/// Evidence from which a rollout does not advance ahead of its latest time.
pub const SUSPICION_EVIDENCE: f64 = 6.0;
/// Most evidence that one block adds, so that a burst of latency within one second cannot raise an alarm.
pub const MAX_BLOCK_EVIDENCE: f64 = 7.0;
/// Least difference of the failure rates that matters.
pub const MIN_ERROR_EXCESS: f64 = 0.02;
/// Least difference of the shares of slow calls that matters.
pub const MIN_SLOW_EXCESS: f64 = 0.12;
/// Least ratio of the new version's rate to the old one's that matters.
pub const MIN_RATIO: f64 = 1.5;
/// A disturbance of the old version counts as shared unless the new version is worse by this factor.
pub const SHARED_FAULT_RATIO: f64 = 2.0;
/// The same factor for the calls after an alarm, where the old version's reports lag by up to a second and
/// still contain calls from before a shared fault.
pub const CONFIRM_RATIO: f64 = 3.0;
/// Rise of the old version's rate over its own history that counts as a disturbance.
pub const DISTURBANCE: f64 = 0.05;
/// Time for which an alarm must last. Reports of the old version, sent once a second, arrive in it and
/// show whether it has the same fault.
pub const CONFIRM_TIME: Duration = Duration::from_millis(1_200);
/// Longest wait for a report of the old version.
pub const MAX_CONFIRM_TIME: Duration = Duration::from_millis(2_200);
/// Time for which an alarm on latency must last, since slowness passes more often than errors do.
pub const CONFIRM_LATENCY_TIME: Duration = Duration::from_secs(3);
/// Failures (or slow calls) of the new version after the alarm that confirm it.
pub const MIN_CONFIRMING_HITS: f64 = 2.0;
/// Evidence that must remain without the worst backend server. One start of a CUSUM reaches it by chance with a
/// probability of at most `exp(-8)`, so that an alarm that a single server keeps up for some minutes
/// stays its own.
pub const MIN_OTHER_EVIDENCE: f64 = 8.0;
/// Part of the evidence against the worst backend server that the others must reach together.
pub const MIN_OTHER_PART: f64 = 0.4;
/// Calls at the other backend servers needed to tell a fault of the version from one of a server.
pub const MIN_OTHER_CALLS: f64 = 2.0;
/// Time after which an alarm counts although the other backend servers have too few calls.
pub const LONE_ALARM_TIME: Duration = Duration::from_secs(10);
/// Shortest block.
pub const BLOCK_TIME: Duration = Duration::from_secs(1);
/// Time without calls of the old version after which its stored baseline takes their place.
pub const OLD_SILENCE: Duration = Duration::from_secs(5);
/// Failure rate that a version may have as long as nothing is known of the old one.
pub const ASSUMED_ERROR_RATE: f64 = 0.3;
/// Calls of the old version needed for a baseline of its latency.
pub const MIN_BASELINE_CALLS: f64 = 50.0;
/// Share of calls with failed downstream calls above which the stored baseline accuses nobody.
pub const MAX_DOWNSTREAM_FAILURES: f64 = 0.05;
/// Part of its former load that the old version must carry for its latency to count as normal.
pub const MIN_LOAD_PART: f64 = 0.6;
/// Share of slow calls of the old version above which a block does not count as normal; a passing slowness
/// would else hide a slow new version for a minute.
pub const MAX_SLOW_BLOCK: f64 = 0.3;
/// Disturbed blocks left out of the old version's history in sequence, after which they are normal.
pub const MAX_SKIPPED_BLOCKS: u32 = 20;
/// Ratios of the new version's load to the old one's at which the limit of slow calls rises by half an
/// octave. A backend server at 60 % of its slots is commonly half as slow again as an idle one.
pub const LOAD_STEPS: [f64; 3] = [1.5, 3.0, 6.0];
/// Rise of the call rate over the baseline above which slowness counts as overload.
pub const MAX_LOAD_RISE: f64 = 1.5;
/// Rise of the failure rate of one backend server of the old version, over `SICK_RATIO` times that of the
/// others, at which its calls no longer stand for the version.
pub const SICK_EXCESS: f64 = 0.1;
/// See [`SICK_EXCESS`].
pub const SICK_RATIO: f64 = 2.0;
/// Calls of the backend server and of the others needed for that.
pub const MIN_SICK_CALLS: f64 = 20.0;
/// Time for which it must last; a fault of all backend servers arrives with reports up to a second apart.
pub const SICK_TIME: Duration = Duration::from_secs(5);
/// Routes tracked; further ones count in the sum of all routes only.
pub const MAX_ROUTES: usize = 64;
/// Weight of a second in the old version's history after another second.
const HISTORY_DECAY: f64 = 0.99;
/// Weight of a block in the figures of a single backend server after another block.
const SOURCE_DECAY: f64 = 0.95;
/// Calls of a backend server of the old version after which its figures decay by [`SOURCE_DECAY`].
const OLD_SOURCE_CALLS: f64 = 5.0;
/// Closed blocks that are kept.
const KEPT_BLOCKS: usize = 32;
/// Blocks that tell whether a fault is over.
const CALM_BLOCKS: usize = 3;
/// Blocks of the old version that a block of the new one is compared with; covers the time between
/// two reports.
const SMOOTHED_BLOCKS: usize = 3;
/// Assumed increases of the failure rate.
const ERROR_EFFECTS: [f64; 4] = [0.03, 0.1, 0.3, 0.9];
/// Assumed increases of the share of slow calls.
const SLOW_EFFECTS: [f64; 4] = [0.15, 0.3, 0.6, 0.9];
/// Failure rate of the old version before anything is known, and its weight in calls.
const PRIOR_ERRORS: (f64, f64) = (0.005, 50.0);
/// Share of slow calls, by the definition of the 95th percentile, and its weight.
const PRIOR_SLOW: (f64, f64) = (0.05, 50.0);

/// Finding against the new version.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// What is worse.
    pub cause: RollbackCause,
    /// Route that shows it, `None` if only the sum of all routes does.
    pub route: Option<RouteName>,
    /// Figures of both versions.
    pub text: String,
    /// Whether the old version served calls at the same time. Without them a fault of the
    /// surroundings cannot be told from one of the version.
    pub concurrent: bool,
    /// Failures, or slow calls, of the new version per call since the alarm.
    pub rate: f64,
}

/// Evidence of one rollout from all serving nodes of the service.
#[derive(Clone, Debug)]
pub struct Evidence {
    total: Track,
    /// Sorted by route.
    routes: Vec<Track>,
    old_heard: Option<Duration>,
    old_sources: Vec<OldSource>,
    step: [Tally; 2],
}

impl Evidence {
    /// Creates evidence without figures.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            total: Track::new(None, now),
            routes: Vec::new(),
            old_heard: None,
            old_sources: Vec::new(),
            step: [Tally::default(); 2],
        }
    }

    /// Notes that figures of the old version arrived, even if they contain no calls.
    pub fn heard_old(&mut self, now: Duration) {
        self.old_heard = Some(now);
    }

    /// Tells whether reports of the old version arrive.
    #[must_use]
    pub fn hears_old(&self, now: Duration) -> bool {
        self.old_heard
            .is_some_and(|at| now.saturating_sub(at) < OLD_SILENCE)
    }

    /// Adds calls of the backend server with the number `source`.
    pub fn add(&mut self, now: Duration, side: Side, source: u8, route: &RouteName, tally: &Tally) {
        self.step[side as usize].add(tally);
        if side == Side::Old && self.is_sick(now, source, tally) {
            return;
        }
        self.total.add(side, source, tally);
        let found = self
            .routes
            .binary_search_by(|track| track.route.as_ref().cmp(&Some(route)));
        match found {
            Ok(at) => self.routes[at].add(side, source, tally),
            Err(at) if self.routes.len() < MAX_ROUTES => {
                self.routes.insert(at, Track::new(Some(route.clone()), now));
                self.routes[at].add(side, source, tally);
            }
            Err(_) => {}
        }
    }

    /// Tells whether a backend server of the old version is sick. Its calls would make a bad new version look
    /// normal.
    fn is_sick(&mut self, now: Duration, id: u8, tally: &Tally) -> bool {
        let known = self.old_sources.iter().position(|s| s.id == id);
        let at = known.unwrap_or_else(|| {
            self.old_sources.push(OldSource {
                id,
                calls: 0.0,
                errors: 0.0,
                sick_since: None,
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
        let excess = rate(source.errors, source.calls) - SICK_RATIO * rate(errors, calls);
        let sick =
            source.calls >= MIN_SICK_CALLS && calls >= MIN_SICK_CALLS && excess > SICK_EXCESS;
        let since = source.sick_since.filter(|_| sick).or(sick.then_some(now));
        self.old_sources[at].sick_since = since;
        since.is_some_and(|since| now.saturating_sub(since) >= SICK_TIME)
    }

    /// Starts the figures of a step anew; the test goes on.
    pub fn begin_step(&mut self) {
        self.step = [Tally::default(); 2];
    }

    /// Tells whether both versions have been as good lately as the old one normally is.
    #[must_use]
    pub fn is_calm(&self) -> bool {
        let mut tracks = self.routes.iter().chain([&self.total]);
        tracks.all(|track| track.errors.is_calm() && track.latency.is_calm())
    }

    /// Drops the evidence and the calls of the last blocks, but not what is known of the old version.
    pub fn restart(&mut self, now: Duration) {
        self.discard_open(now);
        for track in self.routes.iter_mut().chain([&mut self.total]) {
            for detector in [&mut track.errors, &mut track.latency] {
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

    /// Forgets pending alarms, whose times mean nothing after a pause of this process.
    pub fn forget_alarms(&mut self, now: Duration) {
        self.discard_open(now);
        for track in self.routes.iter_mut().chain([&mut self.total]) {
            track.errors.alarm = None;
            track.latency.alarm = None;
        }
    }

    fn discard_open(&mut self, now: Duration) {
        for track in self.routes.iter_mut().chain([&mut self.total]) {
            track.open = [Tally::default(); 2];
            track.opened = now;
            for detector in [&mut track.errors, &mut track.latency] {
                for source in &mut detector.sources {
                    source.open = (0.0, 0.0);
                }
            }
        }
    }

    /// Tells whether the new version may be worse, so that the rollout had better wait.
    #[must_use]
    pub fn is_suspicious(&self) -> bool {
        let mut tracks = self.routes.iter().chain([&self.total]);
        tracks.any(|track| {
            track.suspicion() >= SUSPICION_EVIDENCE
                || track.errors.alarm.is_some()
                || track.latency.alarm.is_some()
        })
    }

    /// Returns the slots that all calls of the service together occupy on average, by Little's law
    /// from the last blocks.
    #[must_use]
    pub fn busy_slots(&self) -> f64 {
        let total: f64 = self.total.histogram.iter().sum();
        if total == 0.0 {
            return 0.0;
        }
        let time = |(i, n): (usize, &f64)| n * bucket_limit(i) * 0.85;
        let mean: f64 = self.total.histogram.iter().enumerate().map(time).sum();
        mean / total * self.total.normal_load
    }

    /// Evaluates all routes; call it about every 200 ms.
    pub fn tick(&mut self, now: Duration) -> Option<Finding> {
        let old_heard = self.old_heard;
        let mut finding = None;
        for track in &mut self.routes {
            let found = track.tick(now, old_heard);
            finding = stronger(finding, found);
        }
        let total = self.total.tick(now, old_heard);
        stronger(finding, total)
    }
}
