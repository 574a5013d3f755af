//! Detects an excess of one kind of bad calls on the new version of a route.

use std::collections::VecDeque;
use std::time::Duration;

use crate::coordination::evidence::ALARM_EVIDENCE;
use crate::coordination::evidence::CALM_BLOCKS;
use crate::coordination::evidence::CONFIRM_LATENCY_TIME;
use crate::coordination::evidence::CONFIRM_RATIO;
use crate::coordination::evidence::CONFIRM_TIME;
use crate::coordination::evidence::DISTURBANCE;
use crate::coordination::evidence::ERROR_EFFECTS;
use crate::coordination::evidence::HISTORY_DECAY;
use crate::coordination::evidence::KEPT_BLOCKS;
use crate::coordination::evidence::LONE_ALARM_TIME;
use crate::coordination::evidence::MAX_BLOCK_EVIDENCE;
use crate::coordination::evidence::MAX_CONFIRM_TIME;
use crate::coordination::evidence::MAX_SKIPPED_BLOCKS;
use crate::coordination::evidence::MIN_BASELINE_CALLS;
use crate::coordination::evidence::MIN_CONFIRMING_HITS;
use crate::coordination::evidence::MIN_ERROR_EXCESS;
use crate::coordination::evidence::MIN_OTHER_CALLS;
use crate::coordination::evidence::MIN_OTHER_EVIDENCE;
use crate::coordination::evidence::MIN_OTHER_PART;
use crate::coordination::evidence::MIN_RATIO;
use crate::coordination::evidence::MIN_SLOW_EXCESS;
use crate::coordination::evidence::PRIOR_ERRORS;
use crate::coordination::evidence::PRIOR_SLOW;
use crate::coordination::evidence::SHARED_FAULT_RATIO;
use crate::coordination::evidence::SLOW_EFFECTS;
use crate::coordination::evidence::SMOOTHED_BLOCKS;
use crate::coordination::evidence::SOURCE_DECAY;
use crate::protocol::gossip::RollbackCause;

/// Hits (failures or slow calls) among calls of both versions.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pair {
    pub(super) old_calls: f64,
    pub(super) old_hits: f64,
    pub(super) new_calls: f64,
    pub(super) new_hits: f64,
}

impl Pair {
    pub(super) fn add(&mut self, other: &Self) {
        self.old_calls += other.old_calls;
        self.old_hits += other.old_hits;
        self.new_calls += other.new_calls;
        self.new_hits += other.new_hits;
    }

    pub(super) fn old_rate(&self) -> f64 {
        rate(self.old_hits, self.old_calls)
    }

    pub(super) fn new_rate(&self) -> f64 {
        rate(self.new_hits, self.new_calls)
    }

    /// Rate of the old version that chance alone hardly exceeds the true one with.
    pub(super) fn old_rate_lower(&self) -> f64 {
        rate(
            (self.old_hits - 2.0 * self.old_hits.sqrt()).max(0.0),
            self.old_calls,
        )
    }
}

pub(super) fn rate(hits: f64, calls: f64) -> f64 {
    if calls > 0.0 { hits / calls } else { 0.0 }
}

/// Least effect and timing of a measure.
#[derive(Clone, Copy, Debug)]
pub(super) struct Measure {
    pub(super) cause: RollbackCause,
    pub(super) effects: [f64; 4],
    pub(super) prior: (f64, f64),
    pub(super) min_excess: f64,
    pub(super) max_block: f64,
    pub(super) confirm: Duration,
}

pub(super) const ERRORS: Measure = Measure {
    cause: RollbackCause::Errors,
    effects: ERROR_EFFECTS,
    prior: PRIOR_ERRORS,
    min_excess: MIN_ERROR_EXCESS,
    max_block: f64::INFINITY,
    confirm: CONFIRM_TIME,
};
pub(super) const LATENCY: Measure = Measure {
    cause: RollbackCause::Latency,
    effects: SLOW_EFFECTS,
    prior: PRIOR_SLOW,
    min_excess: MIN_SLOW_EXCESS,
    max_block: MAX_BLOCK_EVIDENCE,
    confirm: CONFIRM_LATENCY_TIME,
};

#[derive(Clone, Copy, Debug)]
pub(super) struct Alarm {
    pub(super) concurrent: bool,
    pub(super) raised: Duration,
    /// Begin of the time to confirm.
    pub(super) since: Duration,
    /// Calls and hits of both versions since then.
    pub(super) new_calls: f64,
    pub(super) new_hits: f64,
    pub(super) old_calls: f64,
    pub(super) old_hits: f64,
}

impl Alarm {
    /// Tells whether the old version has had the fault too since the alarm.
    pub(super) fn is_shared(&self, normal: f64) -> bool {
        let old = rate(self.old_hits, self.old_calls);
        let new = rate(self.new_hits, self.new_calls);
        old > normal + DISTURBANCE && new < CONFIRM_RATIO * old
    }

    pub(super) fn new(concurrent: bool, raised: Duration, since: Duration) -> Self {
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
pub(super) struct Cusum {
    pub(super) sums: [f64; 4],
    /// Closed blocks since each sum was zero last.
    pub(super) ages: [usize; 4],
}

impl Cusum {
    pub(super) fn add(&mut self, evidence: [f64; 4]) {
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
    pub(super) fn top(&self, open: [f64; 4]) -> (f64, usize) {
        let sums = (0..4).map(|i| (self.sums[i] + open[i], self.ages[i]));
        sums.fold((0.0, 0), |top, sum| if sum.0 > top.0 { sum } else { top })
    }

    pub(super) fn max(&self) -> f64 {
        self.sums.into_iter().fold(0.0, f64::max)
    }
}

/// Both sums of one measure on one route.
#[derive(Clone, Debug)]
pub(super) struct Detector {
    pub(super) measure: Measure,
    /// Against calls of the same time.
    pub(super) concurrent: Cusum,
    /// Against the stored baseline; void as soon as there are calls of the same time.
    pub(super) baseline: Cusum,
    pub(super) blocks: VecDeque<Pair>,
    /// Calls and hits of the old version, decaying.
    pub(super) history: (f64, f64),
    /// Consecutive blocks left out of the history.
    pub(super) skipped: u32,
    pub(super) alarm: Option<Alarm>,
    pub(super) sources: Vec<Source>,
}

/// How the old version's rate is known in a block.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Reference {
    /// From calls of the same time.
    Concurrent,
    /// From its history only, or a limit when even that is missing.
    Baseline(f64),
    /// Not at all.
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
        let (calls, hits) = self.history;
        ((hits + prior * weight) / (calls + weight)).clamp(0.002, 0.95)
    }

    pub(super) fn add_old(&mut self, calls: f64, hits: f64) {
        if let Some(alarm) = &mut self.alarm {
            alarm.old_calls += calls;
            alarm.old_hits += hits;
        }
    }

    pub(super) fn add_new(&mut self, id: u8, calls: f64, hits: f64) {
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
    pub(super) fn source_evidence(
        &self,
        source: &Source,
        open: &Pair,
        reference: Reference,
    ) -> [f64; 4] {
        let block = Pair {
            new_calls: source.open.0,
            new_hits: source.open.1,
            ..*open
        };
        self.evidence(&block, reference)
    }

    /// Tells whether the fault shows without the worst backend server of the new version too.
    pub(super) fn is_widespread(
        &self,
        open: &Pair,
        reference: Reference,
        raised: Duration,
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
            return raised >= LONE_ALARM_TIME;
        }
        let least = MIN_OTHER_EVIDENCE.max(MIN_OTHER_PART * worst);
        (0..4).any(|i| sum[i] - worst_sums[i] >= least)
    }

    /// Rate up to which the stored baseline accuses nobody.
    pub(super) fn baseline_limit(&self) -> f64 {
        MIN_RATIO * self.history_rate() + self.measure.min_excess / 2.0
    }

    /// Evidence of a block for each assumed effect.
    pub(super) fn evidence(&self, block: &Pair, reference: Reference) -> [f64; 4] {
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
    pub(super) fn smoothed(&self, block: &Pair) -> Pair {
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

    pub(super) fn old_calls_near(&self, block: &Pair) -> f64 {
        self.smoothed(block).old_calls
    }

    pub(super) fn close(&mut self, block: Pair, reference: Reference) {
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
    pub(super) fn add_history(&mut self, block: &Pair) {
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

    pub(super) fn reset(&mut self) {
        self.concurrent = Cusum::default();
        self.baseline = Cusum::default();
        for source in &mut self.sources {
            source.cusum = Cusum::default();
        }
        self.alarm = None;
    }

    /// Judges the open block; returns the figures if the new version is worse for certain.
    pub(super) fn judge(&mut self, now: Duration, open: &Pair, view: &View) -> Option<Judgement> {
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

    pub(super) fn is_calm(&self) -> bool {
        let recent = self.window(&Pair::default(), CALM_BLOCKS);
        let limit = MIN_RATIO * self.history_rate() + self.measure.min_excess;
        recent.old_rate_lower() <= limit && recent.new_rate() <= limit
    }

    pub(super) fn window(&self, open: &Pair, blocks: usize) -> Pair {
        let mut sum = *open;
        for block in self.blocks.iter().rev().take(blocks) {
            sum.add(block);
        }
        sum
    }

    pub(super) fn effect(&self, window: &Pair, open: &Pair, view: &View) -> Effect {
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
pub(super) struct Source {
    pub(super) id: u8,
    /// Calls and hits in the open block.
    pub(super) open: (f64, f64),
    /// Calls of closed blocks, decaying.
    pub(super) calls: f64,
    pub(super) cusum: Cusum,
}

/// Figures behind a finding.
#[derive(Clone, Copy, Debug)]
pub(super) struct Judgement {
    pub(super) window: Pair,
    pub(super) evidence: f64,
    /// Rate of the new version since the alarm.
    pub(super) rate: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Effect {
    Matters,
    Small,
    Shared,
}

/// What a detector needs to know of its surroundings.
#[derive(Clone, Copy, Debug)]
pub(super) struct View {
    pub(super) reference: Reference,
    /// Last report of the old version.
    pub(super) old_heard: Option<Duration>,
    /// Whether something else explains a difference from the stored baseline.
    pub(super) explained: bool,
}

pub(super) fn concurrent_evidence(block: &Pair, old: f64, new: f64) -> f64 {
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

pub(super) fn baseline_evidence(block: &Pair, limit: f64, new: f64) -> f64 {
    block.new_hits * (new / limit).ln()
        + (block.new_calls - block.new_hits) * ((1.0 - new) / (1.0 - limit)).ln()
}
