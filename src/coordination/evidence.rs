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

use std::collections::VecDeque;
use std::time::Duration;

use crate::protocol::gossip::LATENCY_BUCKETS;
use crate::protocol::gossip::RollbackCause;
use crate::protocol::gossip::RouteEvidence;
use crate::protocol::name::RouteName;

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

/// Version that a figure belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Side {
    /// The version that has the traffic before the rollout.
    Old,
    /// The version that is rolled out.
    New,
}

/// Calls since the last look.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Finished calls.
    pub calls: u32,
    /// Failed calls among them.
    pub errors: u32,
    /// Failed calls not among them, since a call they depend on failed.
    pub downstream_failed: u32,
    /// Calls by latency.
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

    /// Returns the increase from `earlier`, or all of it if the sender has counted anew.
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

    /// Puts the tally into a message.
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
    /// A sender cannot report more failures than calls; the surplus of a faulty one is cut.
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

/// Hits (failures or slow calls) among calls of both versions.
#[derive(Clone, Copy, Debug, Default)]
struct Pair {
    old_calls: f64,
    old_hits: f64,
    new_calls: f64,
    new_hits: f64,
}

impl Pair {
    fn add(&mut self, other: &Self) {
        self.old_calls += other.old_calls;
        self.old_hits += other.old_hits;
        self.new_calls += other.new_calls;
        self.new_hits += other.new_hits;
    }

    fn old_rate(&self) -> f64 {
        rate(self.old_hits, self.old_calls)
    }

    fn new_rate(&self) -> f64 {
        rate(self.new_hits, self.new_calls)
    }

    /// Rate of the old version that chance alone hardly exceeds the true one with.
    fn old_rate_lower(&self) -> f64 {
        rate(
            (self.old_hits - 2.0 * self.old_hits.sqrt()).max(0.0),
            self.old_calls,
        )
    }
}

fn rate(hits: f64, calls: f64) -> f64 {
    if calls > 0.0 { hits / calls } else { 0.0 }
}

/// Least effect and timing of a measure.
#[derive(Clone, Copy, Debug)]
struct Measure {
    cause: RollbackCause,
    effects: [f64; 4],
    prior: (f64, f64),
    min_excess: f64,
    max_block: f64,
    confirm: Duration,
}

const ERRORS: Measure = Measure {
    cause: RollbackCause::Errors,
    effects: ERROR_EFFECTS,
    prior: PRIOR_ERRORS,
    min_excess: MIN_ERROR_EXCESS,
    max_block: f64::INFINITY,
    confirm: CONFIRM_TIME,
};

const LATENCY: Measure = Measure {
    cause: RollbackCause::Latency,
    effects: SLOW_EFFECTS,
    prior: PRIOR_SLOW,
    min_excess: MIN_SLOW_EXCESS,
    max_block: MAX_BLOCK_EVIDENCE,
    confirm: CONFIRM_LATENCY_TIME,
};

#[derive(Clone, Copy, Debug)]
struct Alarm {
    concurrent: bool,
    raised: Duration,
    /// Begin of the time to confirm.
    since: Duration,
    /// Calls and hits of both versions since then.
    new_calls: f64,
    new_hits: f64,
    old_calls: f64,
    old_hits: f64,
}

impl Alarm {
    /// Tells whether the old version has had the fault too since the alarm.
    fn is_shared(&self, normal: f64) -> bool {
        let old = rate(self.old_hits, self.old_calls);
        let new = rate(self.new_hits, self.new_calls);
        old > normal + DISTURBANCE && new < CONFIRM_RATIO * old
    }

    fn new(concurrent: bool, raised: Duration, since: Duration) -> Self {
        Self {
            concurrent,
            raised,
            since,
            new_calls: 0.0,
            new_hits: 0.0,
            old_calls: 0.0,
            old_hits: 0.0,
        }
    }
}

/// Cumulative sums of the evidence for each assumed effect, never below zero.
#[derive(Clone, Copy, Debug, Default)]
struct Cusum {
    sums: [f64; 4],
    /// Closed blocks since each sum was zero last.
    ages: [usize; 4],
}

impl Cusum {
    fn add(&mut self, evidence: [f64; 4]) {
        for (i, value) in evidence.into_iter().enumerate() {
            // The upper limit lets a version recover from an alarm whose effect is too small.
            self.sums[i] = (self.sums[i] + value).clamp(0.0, 2.0 * ALARM_EVIDENCE);
            self.ages[i] = if self.sums[i] > 0.0 {
                (self.ages[i] + 1).min(KEPT_BLOCKS)
            } else {
                0
            };
        }
    }

    /// Largest sum together with the evidence of the open block, and its age.
    fn top(&self, open: [f64; 4]) -> (f64, usize) {
        let sums = (0..4).map(|i| (self.sums[i] + open[i], self.ages[i]));
        sums.fold((0.0, 0), |top, sum| if sum.0 > top.0 { sum } else { top })
    }

    fn max(&self) -> f64 {
        self.sums.into_iter().fold(0.0, f64::max)
    }
}

/// Both sums of one measure on one route.
#[derive(Clone, Debug)]
struct Detector {
    measure: Measure,
    /// Against calls of the same time.
    concurrent: Cusum,
    /// Against the stored baseline; void as soon as there are calls of the same time.
    baseline: Cusum,
    blocks: VecDeque<Pair>,
    /// Calls and hits of the old version, decaying.
    history: (f64, f64),
    /// Consecutive blocks left out of the history.
    skipped: u32,
    alarm: Option<Alarm>,
    sources: Vec<Source>,
}

/// How the old version's rate is known in a block.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Reference {
    /// From calls of the same time.
    Concurrent,
    /// From its history only, or a limit when even that is missing.
    Baseline(f64),
    /// Not at all.
    Unknown,
}

impl Detector {
    fn new(measure: Measure) -> Self {
        Self {
            measure,
            concurrent: Cusum::default(),
            baseline: Cusum::default(),
            blocks: VecDeque::with_capacity(KEPT_BLOCKS),
            history: (0.0, 0.0),
            skipped: 0,
            alarm: None,
            sources: Vec::new(),
        }
    }

    fn history_rate(&self) -> f64 {
        let (prior, weight) = self.measure.prior;
        let (calls, hits) = self.history;
        ((hits + prior * weight) / (calls + weight)).clamp(0.002, 0.95)
    }

    fn add_old(&mut self, calls: f64, hits: f64) {
        if let Some(alarm) = &mut self.alarm {
            alarm.old_calls += calls;
            alarm.old_hits += hits;
        }
    }

    fn add_new(&mut self, id: u8, calls: f64, hits: f64) {
        if let Some(alarm) = &mut self.alarm {
            alarm.new_calls += calls;
            alarm.new_hits += hits;
        }
        let known = self.sources.iter().position(|s| s.id == id);
        let at = known.unwrap_or_else(|| {
            let source = Source {
                id,
                ..Source::default()
            };
            self.sources.push(source);
            self.sources.len() - 1
        });
        self.sources[at].open.0 += calls;
        self.sources[at].open.1 += hits;
    }

    /// Evidence of the open block against one backend server.
    fn source_evidence(&self, source: &Source, open: &Pair, reference: Reference) -> [f64; 4] {
        let block = Pair {
            new_calls: source.open.0,
            new_hits: source.open.1,
            ..*open
        };
        self.evidence(&block, reference)
    }

    /// Tells whether the fault shows without the worst backend server of the new version too.
    fn is_widespread(&self, open: &Pair, reference: Reference, raised: Duration) -> bool {
        let calls = |s: &Source| s.calls + s.open.0;
        let mut worst = 0.0;
        let (mut sum, mut all_calls, mut worst_calls) = ([0.0; 4], 0.0, 0.0);
        let mut worst_sums = [0.0; 4];
        for source in &self.sources {
            let mut sums = self.source_evidence(source, open, reference);
            for (i, value) in sums.iter_mut().enumerate() {
                *value = (*value + source.cusum.sums[i]).max(0.0);
                sum[i] += *value;
            }
            all_calls += calls(source);
            let top = sums.into_iter().fold(0.0, f64::max);
            if top >= worst {
                (worst, worst_sums, worst_calls) = (top, sums, calls(source));
            }
        }
        let active = self.sources.iter().filter(|s| calls(s) > 0.0).count();
        if active < 2 {
            return true;
        }
        if all_calls - worst_calls < MIN_OTHER_CALLS {
            return raised >= LONE_ALARM_TIME;
        }
        let least = MIN_OTHER_EVIDENCE.max(MIN_OTHER_PART * worst);
        (0..4).any(|i| sum[i] - worst_sums[i] >= least)
    }

    /// Rate up to which the stored baseline accuses nobody.
    fn baseline_limit(&self) -> f64 {
        MIN_RATIO * self.history_rate() + self.measure.min_excess / 2.0
    }

    /// Evidence of a block for each assumed effect.
    fn evidence(&self, block: &Pair, reference: Reference) -> [f64; 4] {
        let old = self.history_rate();
        self.measure.effects.map(|effect| {
            let value = match reference {
                Reference::Concurrent => {
                    concurrent_evidence(&self.smoothed(block), old, (old + effect).min(0.95))
                }
                Reference::Baseline(limit) => {
                    let alternative = limit + effect;
                    if alternative > 0.95 && effect < 0.9 {
                        return 0.0;
                    }
                    baseline_evidence(block, limit, alternative.min(0.95))
                }
                Reference::Unknown => 0.0,
            };
            value.min(self.measure.max_block)
        })
    }

    /// The block with the old version's calls averaged over the last blocks.
    fn smoothed(&self, block: &Pair) -> Pair {
        let (mut calls, mut hits, mut n) = (block.old_calls, block.old_hits, 1.0);
        for earlier in self.blocks.iter().rev().take(SMOOTHED_BLOCKS - 1) {
            calls += earlier.old_calls;
            hits += earlier.old_hits;
            n += 1.0;
        }
        Pair {
            old_calls: calls / n,
            old_hits: hits / n,
            ..*block
        }
    }

    fn old_calls_near(&self, block: &Pair) -> f64 {
        self.smoothed(block).old_calls
    }

    fn close(&mut self, block: Pair, reference: Reference) {
        let evidence = self.evidence(&block, reference);
        let mut sources = std::mem::take(&mut self.sources);
        for source in &mut sources {
            let evidence = self.source_evidence(source, &block, reference);
            source.cusum.add(evidence);
            source.calls = source.calls * SOURCE_DECAY + source.open.0;
            source.open = (0.0, 0.0);
        }
        sources.retain(|s| s.calls > 0.1);
        self.sources = sources;
        match reference {
            Reference::Concurrent => {
                self.concurrent.add(evidence);
                self.baseline = Cusum::default();
            }
            Reference::Baseline(_) => self.baseline.add(evidence),
            Reference::Unknown => {}
        }
        if self.blocks.len() == KEPT_BLOCKS {
            self.blocks.pop_front();
        }
        self.blocks.push_back(block);
        if block.old_calls > 0.0 {
            self.add_history(&block);
        }
    }

    /// Adds a block to the old version's history unless it shows a passing disturbance, which would
    /// hide a late fault for the whole hold period.
    fn add_history(&mut self, block: &Pair) {
        let (calls, hits) = self.history;
        let disturbed = block.old_rate_lower() > self.history_rate() + DISTURBANCE;
        if disturbed && calls >= MIN_BASELINE_CALLS && self.skipped < MAX_SKIPPED_BLOCKS {
            self.skipped += 1;
            return;
        }
        self.skipped = 0;
        self.history = (
            calls * HISTORY_DECAY + block.old_calls,
            hits * HISTORY_DECAY + block.old_hits,
        );
    }

    fn reset(&mut self) {
        self.concurrent = Cusum::default();
        self.baseline = Cusum::default();
        for source in &mut self.sources {
            source.cusum = Cusum::default();
        }
        self.alarm = None;
    }

    /// Judges the open block; returns the figures if the new version is worse for certain.
    fn judge(&mut self, now: Duration, open: &Pair, view: &View) -> Option<Judgement> {
        let concurrent = view.reference == Reference::Concurrent;
        let cusum = if concurrent {
            &self.concurrent
        } else {
            &self.baseline
        };
        let (top, age) = cusum.top(self.evidence(open, view.reference));
        if top < ALARM_EVIDENCE {
            self.alarm = None;
            return None;
        }
        let window = self.window(open, age.max(2));
        // An alarm against the baseline says nothing about calls of the same time.
        let pending = self.alarm.filter(|alarm| alarm.concurrent == concurrent);
        let mut alarm = pending.unwrap_or(Alarm::new(concurrent, now, now));
        if !self.is_widespread(open, view.reference, now.saturating_sub(alarm.raised)) {
            // The time to confirm begins when the fault is the version's.
            alarm = Alarm::new(concurrent, alarm.raised, now);
        }
        self.alarm = Some(alarm);
        let lasted = now.saturating_sub(alarm.since);
        let heard = view
            .old_heard
            .is_some_and(|at| at >= alarm.since + CONFIRM_TIME * 2 / 3);
        let confirmed = lasted >= self.measure.confirm && (heard || lasted >= MAX_CONFIRM_TIME);
        // A burst that is over is no reason to act.
        let lasting = rate(alarm.new_hits, alarm.new_calls) >= window.new_rate() / 2.0;
        let shared = alarm.is_shared(self.history_rate());
        if !confirmed || alarm.new_hits < MIN_CONFIRMING_HITS || !lasting || shared {
            return None;
        }
        match self.effect(&window, open, view) {
            Effect::Matters => Some(Judgement {
                window,
                evidence: top,
                rate: rate(alarm.new_hits, alarm.new_calls),
            }),
            Effect::Small => None,
            Effect::Shared => {
                self.reset();
                None
            }
        }
    }

    fn is_calm(&self) -> bool {
        let recent = self.window(&Pair::default(), CALM_BLOCKS);
        let limit = MIN_RATIO * self.history_rate() + self.measure.min_excess;
        recent.old_rate_lower() <= limit && recent.new_rate() <= limit
    }

    fn window(&self, open: &Pair, blocks: usize) -> Pair {
        let mut sum = *open;
        for block in self.blocks.iter().rev().take(blocks) {
            sum.add(block);
        }
        sum
    }

    fn effect(&self, window: &Pair, open: &Pair, view: &View) -> Effect {
        let new = window.new_rate();
        let normal = self.history_rate();
        if let Reference::Baseline(limit) = view.reference {
            if view.explained {
                return Effect::Shared;
            }
            let least = limit.max(normal + self.measure.min_excess);
            return if new >= least {
                Effect::Matters
            } else {
                Effect::Small
            };
        }
        let old = window.old_rate();
        if new - old < self.measure.min_excess || new < MIN_RATIO * old {
            return Effect::Small;
        }
        // Reports of the two versions cover slightly different seconds: at the end of a shared fault
        // the new version's figures can still show it when the old one's no longer do.
        let peaks = self.blocks.iter().rev().take(8).chain([open]);
        let peak = peaks.map(Pair::old_rate_lower).fold(0.0, f64::max);
        if peak > 2.0 * normal + DISTURBANCE && new < SHARED_FAULT_RATIO * peak {
            return Effect::Shared;
        }
        Effect::Matters
    }
}

/// Evidence against one backend server of the new version.
#[derive(Clone, Copy, Debug, Default)]
struct Source {
    id: u8,
    /// Calls and hits in the open block.
    open: (f64, f64),
    /// Calls of closed blocks, decaying.
    calls: f64,
    cusum: Cusum,
}

/// Figures behind a finding.
#[derive(Clone, Copy, Debug)]
struct Judgement {
    window: Pair,
    evidence: f64,
    /// Rate of the new version since the alarm.
    rate: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Effect {
    Matters,
    Small,
    Shared,
}

/// What a detector needs to know of its surroundings.
#[derive(Clone, Copy, Debug)]
struct View {
    reference: Reference,
    /// Last report of the old version.
    old_heard: Option<Duration>,
    /// Whether something else explains a difference from the stored baseline.
    explained: bool,
}

fn concurrent_evidence(block: &Pair, old: f64, new: f64) -> f64 {
    let (n_a, n_b) = (block.old_calls, block.new_calls);
    if n_a == 0.0 || n_b == 0.0 {
        return 0.0;
    }
    let pooled = (n_a * old + n_b * new) / (n_a + n_b);
    block.old_hits * (old / pooled).ln()
        + (n_a - block.old_hits) * ((1.0 - old) / (1.0 - pooled)).ln()
        + block.new_hits * (new / pooled).ln()
        + (n_b - block.new_hits) * ((1.0 - new) / (1.0 - pooled)).ln()
}

fn baseline_evidence(block: &Pair, limit: f64, new: f64) -> f64 {
    block.new_hits * (new / limit).ln()
        + (block.new_calls - block.new_hits) * ((1.0 - new) / (1.0 - limit)).ln()
}

/// Calls of one backend server of the old version over all routes, decaying.
#[derive(Clone, Copy, Debug)]
struct OldSource {
    id: u8,
    calls: f64,
    errors: f64,
    /// Since when it fails much more often than the others.
    sick_since: Option<Duration>,
}

/// Both measures of one route, or of the sum of all routes.
#[derive(Clone, Debug)]
struct Track {
    route: Option<RouteName>,
    open: [Tally; 2],
    opened: Duration,
    errors: Detector,
    latency: Detector,
    /// Latency histogram of the old version under its highest load, decaying.
    histogram: [f64; LATENCY_BUCKETS],
    /// Calls per second of the old version in the blocks of the histogram.
    histogram_load: f64,
    /// Consecutive blocks left out of the histogram.
    skipped: u32,
    /// Calls per second of the new version, decaying.
    new_load: f64,
    /// Calls per second of both versions while the old one had traffic, decaying.
    normal_load: f64,
    /// Last block with calls of the old version.
    old_seen: Option<Duration>,
}

impl Track {
    fn new(route: Option<RouteName>, now: Duration) -> Self {
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

    fn add(&mut self, side: Side, source: u8, tally: &Tally) {
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

    /// Bucket of the old version's 95th percentile; slower calls are slow.
    fn slow_limit(&self) -> Option<usize> {
        let total: f64 = self.histogram.iter().sum();
        if total < MIN_BASELINE_CALLS {
            return None;
        }
        let mut sum = 0.0;
        let limit = self.histogram.iter().position(|n| {
            sum += n;
            sum >= 0.95 * total
        })?;
        // Half an octave for each step of load that the new version carries beyond the old one.
        let more = self.new_load / self.histogram_load.max(f64::MIN_POSITIVE);
        let slack = LOAD_STEPS.iter().filter(|step| more > **step).count();
        Some((limit + slack).min(LATENCY_BUCKETS - 1))
    }

    fn error_pair(&self) -> Pair {
        Pair {
            old_calls: self.open[0].calls.into(),
            old_hits: self.open[0].errors.into(),
            new_calls: self.open[1].calls.into(),
            new_hits: self.open[1].errors.into(),
        }
    }

    fn slow_pair(&self) -> Pair {
        let Some(limit) = self.slow_limit() else {
            return Pair::default();
        };
        let (old_calls, old_hits) = slow_calls(&self.open[0], limit);
        let (new_calls, new_hits) = slow_calls(&self.open[1], limit);
        Pair {
            old_calls,
            old_hits,
            new_calls,
            new_hits,
        }
    }

    fn is_old_silent(&self, now: Duration) -> bool {
        self.old_seen
            .is_none_or(|at| now.saturating_sub(at) >= OLD_SILENCE)
    }

    fn views(&self, now: Duration, old_heard: Option<Duration>) -> (View, View) {
        let silent = self.is_old_silent(now);
        let known = self.errors.history.0 >= MIN_BASELINE_CALLS;
        let errors = if self.errors.old_calls_near(&self.error_pair()) > 0.0 {
            Reference::Concurrent
        } else if silent && known {
            Reference::Baseline(self.errors.baseline_limit())
        } else {
            Reference::Baseline(ASSUMED_ERROR_RATE)
        };
        let latency = if self.latency.old_calls_near(&self.slow_pair()) > 0.0 {
            Reference::Concurrent
        } else if silent && self.slow_limit().is_some() {
            Reference::Baseline(self.latency.baseline_limit())
        } else {
            Reference::Unknown
        };
        let failed = f64::from(self.open[1].downstream_failed);
        let explained = failed > MAX_DOWNSTREAM_FAILURES * (f64::from(self.open[1].calls) + failed);
        let age = now.saturating_sub(self.opened).as_secs_f64();
        let calls: f64 = self.open.iter().map(|side| f64::from(side.calls)).sum();
        let overload = self.normal_load > 0.0
            && calls > MAX_LOAD_RISE * self.normal_load * age.max(BLOCK_TIME.as_secs_f64());
        let view = |reference, explained| View {
            reference,
            old_heard,
            explained,
        };
        (
            view(errors, explained),
            view(latency, explained || overload),
        )
    }

    fn tick(&mut self, now: Duration, old_heard: Option<Duration>) -> Option<Finding> {
        let (errors_view, latency_view) = self.views(now, old_heard);
        let (errors, slow) = (self.error_pair(), self.slow_pair());
        let found = self.errors.judge(now, &errors, &errors_view);
        let mut finding = found.map(|found| self.finding(&self.errors, &found, errors_view));
        let found = self.latency.judge(now, &slow, &latency_view);
        if finding.is_none() {
            finding = found.map(|found| self.finding(&self.latency, &found, latency_view));
        }
        let age = now.saturating_sub(self.opened);
        // A block without calls of one version has no evidence; it stays open for a while so that
        // versions with little traffic are compared at all.
        let both = errors.old_calls > 0.0 && errors.new_calls > 0.0;
        let settled = both || errors.new_calls == 0.0 || self.is_old_silent(now);
        if age >= OLD_SILENCE || age >= BLOCK_TIME && settled {
            self.close(now, age, (errors, errors_view), (slow, latency_view));
        }
        finding
    }

    fn close(
        &mut self,
        now: Duration,
        age: Duration,
        (errors, errors_view): (Pair, View),
        (slow, latency_view): (Pair, View),
    ) {
        self.errors.close(errors, errors_view.reference);
        self.latency.close(slow, latency_view.reference);
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

    /// Adds the open block unless the old version carries much less load than before: its latency is then
    /// no measure for a new version under full load.
    fn add_histogram(&mut self, load: f64) {
        if load < MIN_LOAD_PART * self.histogram_load {
            return;
        }
        let slow = self.slow_pair();
        if slow.old_rate() > MAX_SLOW_BLOCK && self.skipped < MAX_SKIPPED_BLOCKS {
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

    fn finding(&self, detector: &Detector, found: &Judgement, view: View) -> Finding {
        let Judgement {
            window, evidence, ..
        } = found;
        let what = match detector.measure.cause {
            RollbackCause::Latency => {
                let limit = self.slow_limit().map_or(0.0, bucket_limit);
                format!("calls slower than {:.1} ms", limit * 1e3)
            }
            _ => "failed calls".to_owned(),
        };
        let old = match view.reference {
            Reference::Concurrent => {
                format!("{} of {} of the old one", window.old_hits, window.old_calls)
            }
            Reference::Baseline(limit) => format!("a limit of {:.1} %", limit * 100.0),
            Reference::Unknown => "nothing".to_owned(),
        };
        Finding {
            cause: detector.measure.cause,
            route: self.route.clone(),
            text: format!(
                "{what}: {} of {} of the new version against {old}, evidence {evidence:.1}",
                window.new_hits, window.new_calls
            ),
            concurrent: view.reference == Reference::Concurrent,
            rate: found.rate,
        }
    }

    fn suspicion(&self) -> f64 {
        let detectors = [&self.errors, &self.latency];
        let sums = detectors.map(|d| d.concurrent.max().max(d.baseline.max()));
        sums[0].max(sums[1])
    }
}

/// Prefers a finding from calls of the same time.
fn stronger(first: Option<Finding>, second: Option<Finding>) -> Option<Finding> {
    match (&first, &second) {
        (Some(a), Some(b)) if b.concurrent && !a.concurrent => second,
        (None, _) => second,
        _ => first,
    }
}

fn slow_calls(tally: &Tally, limit: usize) -> (f64, f64) {
    let count = |buckets: &[u32]| buckets.iter().map(|n| f64::from(*n)).sum::<f64>();
    (count(&tally.latency), count(&tally.latency[limit + 1..]))
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
