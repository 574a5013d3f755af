//! Detects an excess of failed or of slow calls of the new version on one route.

use std::collections::VecDeque;
use std::time::Duration;

use crate::coordination::evidence::ALARM_EVIDENCE;
use crate::coordination::evidence::CONFIRM_LATENCY_TIME;
use crate::coordination::evidence::CONFIRM_RATIO;
use crate::coordination::evidence::CONFIRM_TIME;
use crate::coordination::evidence::ERROR_EFFECTS;
use crate::coordination::evidence::HISTORY_DECAY;
use crate::coordination::evidence::KEPT_BLOCKS;
use crate::coordination::evidence::MAX_BLOCK_EVIDENCE;
use crate::coordination::evidence::MAX_CONFIRM_TIME;
use crate::coordination::evidence::MAX_SKIPPED_BLOCKS;
use crate::coordination::evidence::MIN_BASELINE_CALLS;
use crate::coordination::evidence::MIN_CONFIRMING_BAD_CALLS;
use crate::coordination::evidence::MIN_DISTURBANCE;
use crate::coordination::evidence::MIN_ERROR_EXCESS;
use crate::coordination::evidence::MIN_OTHER_CALLS;
use crate::coordination::evidence::MIN_OTHER_EVIDENCE;
use crate::coordination::evidence::MIN_OTHER_FRACTION;
use crate::coordination::evidence::MIN_RATIO;
use crate::coordination::evidence::MIN_SLOW_EXCESS;
use crate::coordination::evidence::PRIOR_ERRORS;
use crate::coordination::evidence::PRIOR_SLOW;
use crate::coordination::evidence::RECOVERY_BLOCKS;
use crate::coordination::evidence::SHARED_FAULT_RATIO;
use crate::coordination::evidence::SINGLE_SERVER_ALARM_TIME;
use crate::coordination::evidence::SLOW_EFFECTS;
use crate::coordination::evidence::SMOOTHED_BLOCKS;
use crate::coordination::evidence::SOURCE_DECAY;
use crate::protocol::gossip::RollbackCause;

/// Calls, and bad (failed or slow) calls among them, of both versions.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PairedCounts {
    pub(super) old_calls: f64,
    pub(super) old_bad: f64,
    pub(super) new_calls: f64,
    pub(super) new_bad: f64,
}

impl PairedCounts {
    pub(super) fn add(&mut self, other: &Self) {
        self.old_calls += other.old_calls;
        self.old_bad += other.old_bad;
        self.new_calls += other.new_calls;
        self.new_bad += other.new_bad;
    }

    pub(super) fn old_rate(&self) -> f64 {
        rate(self.old_bad, self.old_calls)
    }

    pub(super) fn new_rate(&self) -> f64 {
        rate(self.new_bad, self.new_calls)
    }

    /// Returns a lower bound of the old version's rate, two standard deviations below the observed one.
    pub(super) fn old_rate_lower(&self) -> f64 {
        rate(
            (self.old_bad - 2.0 * self.old_bad.sqrt()).max(0.0),
            self.old_calls,
        )
    }
}

pub(super) fn rate(bad_calls: f64, calls: f64) -> f64 {
    if calls > 0.0 { bad_calls / calls } else { 0.0 }
}

/// Parameters of a measure: failed calls or slow calls.
#[derive(Clone, Copy, Debug)]
pub(super) struct Measure {
    pub(super) cause: RollbackCause,
    /// Assumed increases of the rate.
    pub(super) effects: [f64; 4],
    /// Prior rate of the old version and its weight in calls.
    pub(super) prior: (f64, f64),
    /// Minimum difference of the rates that counts as a fault.
    pub(super) min_excess: f64,
    /// Maximum evidence that one block adds.
    pub(super) max_block_evidence: f64,
    /// Time for which an alarm must last.
    pub(super) confirm_time: Duration,
}

pub(super) const ERRORS: Measure = Measure {
    cause: RollbackCause::Errors,
    effects: ERROR_EFFECTS,
    prior: PRIOR_ERRORS,
    min_excess: MIN_ERROR_EXCESS,
    max_block_evidence: f64::INFINITY,
    confirm_time: CONFIRM_TIME,
};
pub(super) const LATENCY: Measure = Measure {
    cause: RollbackCause::Latency,
    effects: SLOW_EFFECTS,
    prior: PRIOR_SLOW,
    min_excess: MIN_SLOW_EXCESS,
    max_block_evidence: MAX_BLOCK_EVIDENCE,
    confirm_time: CONFIRM_LATENCY_TIME,
};

/// Evidence above [`ALARM_EVIDENCE`] that is not confirmed yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Alarm {
    /// Whether it compares calls of the same time.
    pub(super) concurrent: bool,
    pub(super) raised: Duration,
    /// Begin of the confirmation time.
    pub(super) confirming_since: Duration,
    /// Calls and bad calls of both versions since the alarm.
    pub(super) new_calls: f64,
    pub(super) new_bad: f64,
    pub(super) old_calls: f64,
    pub(super) old_bad: f64,
}

impl Alarm {
    /// Returns whether the old version has shown the fault too since the alarm.
    pub(super) fn is_shared(&self, normal: f64) -> bool {
        let old = rate(self.old_bad, self.old_calls);
        let new = rate(self.new_bad, self.new_calls);
        old > normal + MIN_DISTURBANCE && new < CONFIRM_RATIO * old
    }

    pub(super) fn new(concurrent: bool, raised: Duration, confirming_since: Duration) -> Self {
        Self {
            concurrent,
            raised,
            confirming_since,
            new_calls: 0.0,
            new_bad: 0.0,
            old_calls: 0.0,
            old_bad: 0.0,
        }
    }
}

/// Cumulative sums (CUSUM) of the evidence for each assumed effect, never below zero.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cusum {
    pub(super) sums: [f64; 4],
    /// Number of closed blocks since each sum was last zero.
    pub(super) ages: [usize; 4],
}

impl Cusum {
    pub(super) fn add(&mut self, evidence: [f64; 4]) {
        for (i, value) in evidence.into_iter().enumerate() {
            // The upper limit lets the sum fall again after an alarm whose effect is negligible.
            self.sums[i] = (self.sums[i] + value).clamp(0.0, 2.0 * ALARM_EVIDENCE);
            self.ages[i] = if self.sums[i] > 0.0 {
                (self.ages[i] + 1).min(KEPT_BLOCKS)
            } else {
                0
            };
        }
    }

    /// Returns the largest sum, including the evidence of the open block, and the age of that sum.
    pub(super) fn top(&self, open: [f64; 4]) -> (f64, usize) {
        let sums = (0..4).map(|i| (self.sums[i] + open[i], self.ages[i]));
        sums.fold((0.0, 0), |top, sum| if sum.0 > top.0 { sum } else { top })
    }

    pub(super) fn max(&self) -> f64 {
        self.sums.into_iter().fold(0.0, f64::max)
    }
}

/// Detector of one measure on one route.
#[derive(Clone, Debug)]
pub(super) struct Detector {
    pub(super) measure: Measure,
    /// Evidence against calls of the old version at the same time.
    pub(super) concurrent: Cusum,
    /// Evidence against the stored baseline; reset as soon as the old version has calls at the same time.
    pub(super) baseline: Cusum,
    pub(super) blocks: VecDeque<PairedCounts>,
    /// Calls and bad calls of the old version, decaying.
    pub(super) history: (f64, f64),
    /// Consecutive blocks left out of the history.
    pub(super) skipped: u32,
    pub(super) alarm: Option<Alarm>,
    pub(super) sources: Vec<Source>,
}

/// Source of the old version's rate in a block.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Reference {
    /// Calls of the old version at the same time.
    Concurrent,
    /// Limit from the old version's history, or an assumed limit if there is no history.
    Baseline(f64),
    /// The rate is unknown.
    Unknown,
}

impl Detector {
    pub(super) fn new(measure: Measure) -> Self {
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

    pub(super) fn history_rate(&self) -> f64 {
        let (prior, weight) = self.measure.prior;
        let (calls, bad_calls) = self.history;
        ((bad_calls + prior * weight) / (calls + weight)).clamp(0.002, 0.95)
    }

    pub(super) fn add_old(&mut self, calls: f64, bad_calls: f64) {
        if let Some(alarm) = &mut self.alarm {
            alarm.old_calls += calls;
            alarm.old_bad += bad_calls;
        }
    }

    pub(super) fn add_new(&mut self, id: u8, calls: f64, bad_calls: f64) {
        if let Some(alarm) = &mut self.alarm {
            alarm.new_calls += calls;
            alarm.new_bad += bad_calls;
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
        self.sources[at].open.1 += bad_calls;
    }

    /// Returns the evidence of the open block against one backend server of the new version.
    pub(super) fn source_evidence(
        &self,
        source: &Source,
        open: &PairedCounts,
        reference: Reference,
    ) -> [f64; 4] {
        let block = PairedCounts {
            new_calls: source.open.0,
            new_bad: source.open.1,
            ..*open
        };
        self.evidence(&block, reference)
    }

    /// Returns whether the fault also shows without the worst backend server of the new version.
    pub(super) fn is_widespread(
        &self,
        open: &PairedCounts,
        reference: Reference,
        alarm_age: Duration,
    ) -> bool {
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
            return alarm_age >= SINGLE_SERVER_ALARM_TIME;
        }
        let least = MIN_OTHER_EVIDENCE.max(MIN_OTHER_FRACTION * worst);
        (0..4).any(|i| sum[i] - worst_sums[i] >= least)
    }

    /// Returns the rate of the new version up to which the stored baseline shows no fault.
    pub(super) fn baseline_limit(&self) -> f64 {
        MIN_RATIO * self.history_rate() + self.measure.min_excess / 2.0
    }

    /// Returns the evidence of a block for each assumed effect.
    pub(super) fn evidence(&self, block: &PairedCounts, reference: Reference) -> [f64; 4] {
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
            value.min(self.measure.max_block_evidence)
        })
    }

    /// Returns the block with the old version's calls averaged over the last blocks.
    pub(super) fn smoothed(&self, block: &PairedCounts) -> PairedCounts {
        let (mut calls, mut bad_calls, mut n) = (block.old_calls, block.old_bad, 1.0);
        for earlier in self.blocks.iter().rev().take(SMOOTHED_BLOCKS - 1) {
            calls += earlier.old_calls;
            bad_calls += earlier.old_bad;
            n += 1.0;
        }
        PairedCounts {
            old_calls: calls / n,
            old_bad: bad_calls / n,
            ..*block
        }
    }

    pub(super) fn smoothed_old_calls(&self, block: &PairedCounts) -> f64 {
        self.smoothed(block).old_calls
    }

    pub(super) fn close(&mut self, block: PairedCounts, reference: Reference) {
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

    /// Adds a block to the old version's history unless it shows a temporary disturbance, which would hide a
    /// late fault for the whole hold period.
    pub(super) fn add_history(&mut self, block: &PairedCounts) {
        let (calls, bad_calls) = self.history;
        let disturbed = block.old_rate_lower() > self.history_rate() + MIN_DISTURBANCE;
        if disturbed && calls >= MIN_BASELINE_CALLS && self.skipped < MAX_SKIPPED_BLOCKS {
            self.skipped += 1;
            return;
        }
        self.skipped = 0;
        self.history = (
            calls * HISTORY_DECAY + block.old_calls,
            bad_calls * HISTORY_DECAY + block.old_bad,
        );
    }

    pub(super) fn reset(&mut self) {
        self.concurrent = Cusum::default();
        self.baseline = Cusum::default();
        for source in &mut self.sources {
            source.cusum = Cusum::default();
        }
        self.alarm = None;
    }

    /// Evaluates the open block; returns the detected fault if the evidence against the new version is
    /// confirmed.
    pub(super) fn evaluate(
        &mut self,
        now: Duration,
        open: &PairedCounts,
        context: &DetectorContext,
    ) -> Option<Detection> {
        let concurrent = context.reference == Reference::Concurrent;
        let cusum = if concurrent {
            &self.concurrent
        } else {
            &self.baseline
        };
        let (top, age) = cusum.top(self.evidence(open, context.reference));
        if top < ALARM_EVIDENCE {
            self.alarm = None;
            return None;
        }
        let window = self.window(open, age.max(2));
        // An alarm from the baseline does not apply to a comparison of calls at the same time.
        let pending = self.alarm.filter(|alarm| alarm.concurrent == concurrent);
        let mut alarm = pending.unwrap_or(Alarm::new(concurrent, now, now));
        if !self.is_widespread(open, context.reference, now.saturating_sub(alarm.raised)) {
            // The confirmation time begins when the fault is attributed to the version, not to one server.
            alarm = Alarm::new(concurrent, alarm.raised, now);
        }
        self.alarm = Some(alarm);
        let lasted = now.saturating_sub(alarm.confirming_since);
        let old_reported = context
            .last_old_report
            .is_some_and(|at| at >= alarm.confirming_since + CONFIRM_TIME * 2 / 3);
        let confirmed =
            lasted >= self.measure.confirm_time && (old_reported || lasted >= MAX_CONFIRM_TIME);
        // A burst of bad calls that is over must not cause a rollback.
        let lasting = rate(alarm.new_bad, alarm.new_calls) >= window.new_rate() / 2.0;
        let shared = alarm.is_shared(self.history_rate());
        if !confirmed || alarm.new_bad < MIN_CONFIRMING_BAD_CALLS || !lasting || shared {
            return None;
        }
        match self.effect(&window, open, context) {
            Effect::Significant => Some(Detection {
                window,
                evidence: top,
                rate: rate(alarm.new_bad, alarm.new_calls),
            }),
            Effect::Negligible => None,
            Effect::Shared => {
                self.reset();
                None
            }
        }
    }

    pub(super) fn is_normal(&self) -> bool {
        let recent = self.window(&PairedCounts::default(), RECOVERY_BLOCKS);
        let limit = MIN_RATIO * self.history_rate() + self.measure.min_excess;
        recent.old_rate_lower() <= limit && recent.new_rate() <= limit
    }

    pub(super) fn window(&self, open: &PairedCounts, blocks: usize) -> PairedCounts {
        let mut sum = *open;
        for block in self.blocks.iter().rev().take(blocks) {
            sum.add(block);
        }
        sum
    }

    pub(super) fn effect(
        &self,
        window: &PairedCounts,
        open: &PairedCounts,
        context: &DetectorContext,
    ) -> Effect {
        let new = window.new_rate();
        let normal = self.history_rate();
        if let Reference::Baseline(limit) = context.reference {
            if context.otherwise_explained {
                return Effect::Shared;
            }
            let least = limit.max(normal + self.measure.min_excess);
            return if new >= least {
                Effect::Significant
            } else {
                Effect::Negligible
            };
        }
        let old = window.old_rate();
        if new - old < self.measure.min_excess || new < MIN_RATIO * old {
            return Effect::Negligible;
        }
        // Reports of the two versions cover slightly different seconds: at the end of a shared fault the
        // calls of the new version can still show it when those of the old one no longer do.
        let peaks = self.blocks.iter().rev().take(8).chain([open]);
        let peak = peaks.map(PairedCounts::old_rate_lower).fold(0.0, f64::max);
        if peak > 2.0 * normal + MIN_DISTURBANCE && new < SHARED_FAULT_RATIO * peak {
            return Effect::Shared;
        }
        Effect::Significant
    }
}

/// Evidence against one backend server of the new version.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Source {
    pub(super) id: u8,
    /// Calls and bad calls in the open block.
    pub(super) open: (f64, f64),
    /// Calls in closed blocks, decaying.
    pub(super) calls: f64,
    pub(super) cusum: Cusum,
}

/// Confirmed fault and the call counts that show it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Detection {
    pub(super) window: PairedCounts,
    pub(super) evidence: f64,
    /// Rate of bad calls of the new version since the alarm.
    pub(super) rate: f64,
}

/// Size of the difference between the versions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Effect {
    /// The new version is worse by at least the minimum effect.
    Significant,
    /// The difference is below the minimum effect.
    Negligible,
    /// The difference has a cause other than the new version.
    Shared,
}

/// Inputs of a detector that do not come from its own measure.
#[derive(Clone, Copy, Debug)]
pub(super) struct DetectorContext {
    pub(super) reference: Reference,
    /// Time of the last report of the old version.
    pub(super) last_old_report: Option<Duration>,
    /// Whether a difference from the stored baseline has another cause: downstream failures or overload.
    pub(super) otherwise_explained: bool,
}

/// Returns the logarithm of the likelihood ratio of the rates `old` and `new` against the pooled rate.
pub(super) fn concurrent_evidence(block: &PairedCounts, old: f64, new: f64) -> f64 {
    let (n_a, n_b) = (block.old_calls, block.new_calls);
    if n_a == 0.0 || n_b == 0.0 {
        return 0.0;
    }
    let pooled = (n_a * old + n_b * new) / (n_a + n_b);
    block.old_bad * (old / pooled).ln()
        + (n_a - block.old_bad) * ((1.0 - old) / (1.0 - pooled)).ln()
        + block.new_bad * (new / pooled).ln()
        + (n_b - block.new_bad) * ((1.0 - new) / (1.0 - pooled)).ln()
}

/// Returns the logarithm of the likelihood ratio of the new version's rate being `new` against `limit`.
pub(super) fn baseline_evidence(block: &PairedCounts, limit: f64, new: f64) -> f64 {
    block.new_bad * (new / limit).ln()
        + (block.new_calls - block.new_bad) * ((1.0 - new) / (1.0 - limit)).ln()
}
