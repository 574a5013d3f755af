//! One running rollout: its steps, probes and reports.

use std::time::Duration;

use crate::coordination::evidence::Finding;
use crate::coordination::evidence::MAX_ROUTES;
use crate::coordination::evidence::Side;
use crate::coordination::evidence::Tally;
use crate::coordination::rollout::BEGIN_GRACE;
use crate::coordination::rollout::DWELL_DIVISOR;
use crate::coordination::rollout::FINISH_MARGIN;
use crate::coordination::rollout::LATE_STEP_TIME;
use crate::coordination::rollout::LOAD_FAULT_PROBES;
use crate::coordination::rollout::LOAD_FAULT_TIME;
use crate::coordination::rollout::MAX_FIRST_SHARE;
use crate::coordination::rollout::MAX_PROBE_TIME;
use crate::coordination::rollout::MAX_PROBES;
use crate::coordination::rollout::MAX_REPORT_ROUTES;
use crate::coordination::rollout::MAX_SLOT_UTILIZATION_PERCENT;
use crate::coordination::rollout::MILD_PROBE_CALLS;
use crate::coordination::rollout::MILD_PROBE_SHARE;
use crate::coordination::rollout::MIN_DWELL;
use crate::coordination::rollout::MIN_EXPECTED_BAD_CALLS;
use crate::coordination::rollout::MIN_PROBE_TIME;
use crate::coordination::rollout::PROBE_BACKOFF;
use crate::coordination::rollout::PROBE_SETTLE_TIME;
use crate::coordination::rollout::PROCESS_PAUSE;
use crate::coordination::rollout::PROCESS_PAUSE_GRACE;
use crate::coordination::rollout::REPORT_INTERVAL;
use crate::coordination::rollout::SEVERE_PROBE_CALLS;
use crate::coordination::rollout::SEVERE_PROBE_SHARE;
use crate::coordination::rollout::SEVERE_RATE;
use crate::coordination::rollout::STALL_REPORT_INTERVAL;
use crate::coordination::rollout::STALL_TIME;
use crate::coordination::rollout::WARM_UP;
use crate::coordination::rollout::is_newer;
use crate::coordination::rollout::observation::Observation;
use crate::coordination::rollout::sample::RolloutAction;
use crate::invariant;
use crate::protocol::document::Rollout;
use crate::protocol::gossip::EvidenceReport;
use crate::protocol::gossip::Rollback;
use crate::protocol::gossip::RolloutKey;
use crate::protocol::gossip::RolloutProgress;
use crate::protocol::name::NodeId;
use crate::protocol::name::RouteName;
use crate::protocol::record::OutcomeRecord;
use crate::protocol::time::WallMs;
use crate::protocol::time::millis;
use crate::result_code::ResultCode;

/// State of one rollout at one node.
#[derive(Debug)]
pub(super) struct ActiveRollout {
    pub(super) key: RolloutKey,
    pub(super) plan: Rollout,
    pub(super) progress: Option<RolloutProgress>,
    pub(super) rollback: Option<Rollback>,
    pub(super) from_slots: Option<u32>,
    pub(super) to_slots: Option<u32>,
    pub(super) first_tick: Option<Duration>,
    pub(super) last_tick: Option<Duration>,
    /// No decisions are made before this time, after a pause of the process.
    pub(super) no_decisions_until: Duration,
    pub(super) next_stall_report: Duration,
    pub(super) reported_complete: bool,
    pub(super) reported_held: bool,
    /// Consecutive probes in which neither version showed a fault.
    pub(super) fault_free_probes: u8,
    /// Rate of failed or slow calls for which this node began the last probe.
    pub(super) probe_trigger_rate: f64,
    /// Step of the last probe whose settle time has passed.
    pub(super) settled_probe_step: Option<u8>,
    pub(super) observation: Option<Box<Observation>>,
}

/// Context of one tick of a rollout at a serving node.
pub(super) struct TickContext<'a> {
    pub(super) node_id: &'a NodeId,
    pub(super) side: Side,
    pub(super) now: Duration,
    pub(super) wall: WallMs,
    pub(super) actions: &'a mut Vec<RolloutAction>,
}

/// Kind of a probe: a part of the hold period in which the old version gets traffic again, so that both
/// versions can be compared.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Probe {
    /// No probe: the new version has all traffic.
    None,
    /// Probe after a large rise of the failure rate.
    Severe,
    /// Probe after a small rise of the failure rate.
    Mild,
}

/// Times between which a step ends.
pub(super) struct StepTimes {
    /// End of the minimum time in the step.
    pub(super) earliest: WallMs,
    /// The step ends at this time even without enough calls.
    pub(super) latest: WallMs,
    /// The step ends at this time even if the new version is suspected of a fault.
    pub(super) latest_if_suspected: WallMs,
}

impl ActiveRollout {
    pub(super) fn new(key: RolloutKey, plan: Rollout) -> Self {
        Self {
            key,
            plan,
            progress: None,
            rollback: None,
            from_slots: None,
            to_slots: None,
            first_tick: None,
            last_tick: None,
            no_decisions_until: Duration::ZERO,
            next_stall_report: Duration::ZERO,
            reported_complete: false,
            reported_held: false,
            fault_free_probes: 0,
            probe_trigger_rate: 0.0,
            settled_probe_step: None,
            observation: None,
        }
    }

    pub(super) fn side(&self, version: &str) -> Option<Side> {
        if self.plan.to.as_str() == version {
            Some(Side::New)
        } else if self.plan.from.as_str() == version {
            Some(Side::Old)
        } else {
            None
        }
    }

    pub(super) fn last_step(&self) -> u8 {
        u8::try_from(self.plan.steps.len().saturating_sub(1)).unwrap_or(u8::MAX)
    }

    /// Returns the probe that a step number stands for.
    ///
    /// Step numbers beyond the last step of the document repeat in groups of three: a probe after a
    /// small rise, a probe after a large rise, and all traffic again. Since the numbers only grow, nodes
    /// merge them like other steps.
    pub(super) fn probe(&self, step: u8) -> Probe {
        match step.saturating_sub(self.last_step()) % 3 {
            1 => Probe::Mild,
            2 => Probe::Severe,
            _ => Probe::None,
        }
    }

    pub(super) fn step_share(&self, step: u8) -> u8 {
        match self.probe(step) {
            Probe::Severe => SEVERE_PROBE_SHARE,
            Probe::Mild => MILD_PROBE_SHARE,
            Probe::None => {
                let step = step.min(self.last_step());
                let share = self.plan.steps.get(usize::from(step)).copied();
                let share = share.unwrap_or(0);
                if step == 0 {
                    share.min(MAX_FIRST_SHARE)
                } else {
                    share
                }
            }
        }
    }

    pub(super) fn span(&self) -> Duration {
        self.plan.finish_by_ms.since(self.plan.start_ms)
    }

    /// Returns the time at which the new version has all traffic unless it is rolled back.
    ///
    /// This is `finish_by`, unless the rollout began so late that a bad version would get all traffic
    /// before its faults show: then each step gets a short time from the actual begin.
    pub(super) fn deadline(&self) -> WallMs {
        let steps = u32::from(self.last_step()).max(1);
        let late_step = LATE_STEP_TIME.min(self.span() / (2 * steps));
        let began = self.progress.as_ref().map_or(WallMs(0), |p| p.began_at);
        self.plan.finish_by_ms.max(began.plus(late_step * steps))
    }

    pub(super) fn completed_at(&self) -> Option<WallMs> {
        let progress = self.progress.as_ref()?;
        Some(if progress.step >= self.last_step() {
            progress.entered_at
        } else {
            self.deadline()
        })
    }

    /// Returns the end of the hold period, `None` until the rollout is complete. A probe restarts the
    /// period.
    pub(super) fn hold_end(&self) -> Option<WallMs> {
        let hold = Duration::from_secs(self.plan.hold_s);
        self.completed_at().map(|completed| completed.plus(hold))
    }

    /// Returns the observation from the warm-up to the end of the hold period; drops it outside of that
    /// time and after a rollback.
    pub(super) fn observe(&mut self, now: Duration, wall: WallMs) -> Option<&mut Observation> {
        let begins = WallMs(self.plan.start_ms.0.saturating_sub(millis(WARM_UP)));
        let ended = self.hold_end().is_some_and(|end| wall >= end);
        if wall < begins || ended || self.rollback.is_some() {
            self.observation = None;
            return None;
        }
        let create = || Box::new(Observation::new(now));
        let observation = self.observation.get_or_insert_with(create);
        observation.last_event_at = now;
        Some(observation)
    }

    pub(super) fn has_backends(&self, serves_new: bool) -> bool {
        serves_new || self.to_slots != Some(0)
    }

    /// Returns whether the rollout's finish time has passed and only the new version has slots.
    ///
    /// A restart of all nodes after a rollout loses its progress. Traffic must still not return to the old
    /// version, which has no backend servers any more.
    pub(super) fn is_only_version(&self, wall: WallMs) -> bool {
        let only_new_has_slots =
            self.from_slots == Some(0) && self.to_slots.is_some_and(|slots| slots > 0);
        only_new_has_slots && wall >= self.plan.finish_by_ms
    }

    /// Returns the share of the new version, percent.
    pub(super) fn share(&self, wall: WallMs, serves_new: bool) -> u8 {
        let planned = match &self.progress {
            _ if self.rollback.is_some() || !self.has_backends(serves_new) => 0,
            _ if self.is_only_version(wall) => 100,
            // No node has begun the rollout: either no backend server of the new version is up, or no
            // serving node knows of one. The old version keeps the traffic.
            None => 0,
            Some(p) if wall >= self.deadline() && p.step <= self.last_step() => 100,
            Some(progress) => self.step_share(progress.step),
        };
        let cap = self.share_cap(wall, serves_new);
        if invariant::check(4, planned <= cap, "share of a version above its cap") {
            planned
        } else {
            cap
        }
    }

    /// Returns the maximum share of the new version. It is computed independently of the planned share,
    /// as a check of it.
    pub(super) fn share_cap(&self, wall: WallMs, serves_new: bool) -> u8 {
        if self.rollback.is_some() || !self.has_backends(serves_new) {
            return 0;
        }
        if self.is_only_version(wall) {
            return 100;
        }
        let Some(progress) = &self.progress else {
            return 0;
        };
        if progress.step > self.last_step() {
            match self.probe(progress.step) {
                Probe::Severe => SEVERE_PROBE_SHARE,
                Probe::Mild => MILD_PROBE_SHARE,
                Probe::None => 100,
            }
        } else if wall >= self.deadline() {
            100
        } else if progress.step == 0 {
            MAX_FIRST_SHARE
        } else {
            let steps = self.plan.steps.iter().take(usize::from(progress.step) + 1);
            steps.copied().max().unwrap_or(0)
        }
    }

    pub(super) fn merge_progress(&mut self, progress: RolloutProgress) -> bool {
        if progress.step > self.last_step().saturating_add(3 * MAX_PROBES) {
            return false;
        }
        let current = self.progress.as_ref();
        if current.is_some_and(|current| !is_newer(&progress, current)) {
            return false;
        }
        let advances = current.is_none_or(|current| current.step < progress.step);
        let in_hold = progress.step > self.last_step();
        let probed = current.is_some_and(|current| self.probe(current.step) != Probe::None);
        if advances && let Some(observation) = &mut self.observation {
            let normal = observation.evidence.is_normal();
            observation.evidence.begin_step();
            if in_hold {
                observation.evidence.restart(observation.last_event_at);
            }
            if probed {
                self.fault_free_probes = if normal {
                    self.fault_free_probes + 1
                } else {
                    0
                };
            }
        }
        self.progress = Some(progress);
        true
    }

    pub(super) fn tick(&mut self, context: &mut TickContext<'_>) {
        let (now, wall) = (context.now, context.wall);
        let paused = self
            .last_tick
            .is_some_and(|last| now.saturating_sub(last) > PROCESS_PAUSE);
        self.last_tick = Some(now);
        self.first_tick.get_or_insert(now);
        if paused {
            self.no_decisions_until = now + PROCESS_PAUSE_GRACE;
        }
        if self.observe(now, wall).is_some() {
            self.collect_and_report(context, paused);
            self.begin(context);
            self.evaluate(context);
            self.advance(context);
            self.report_stall(context);
        }
        self.report_end(context);
    }

    pub(super) fn collect_and_report(&mut self, context: &mut TickContext<'_>, paused: bool) {
        let step = self.progress.as_ref().map_or(0, |p| p.step);
        let Some(observation) = &mut self.observation else {
            return;
        };
        observation.set_local_side(context.side);
        if paused {
            observation.staged.clear();
            observation.evidence.clear_alarms(context.now);
        }
        observation.commit_staged(context.now, context.side);
        if context.now < observation.next_report {
            return;
        }
        observation.next_report = context.now + REPORT_INTERVAL;
        observation.sequence = context.wall.0.max(observation.sequence + 1);
        let version = match context.side {
            Side::Old => &self.plan.from,
            Side::New => &self.plan.to,
        };
        // A report without routes still tells the other nodes that its sender has no calls.
        let to_evidence = |(route, tally): &(RouteName, Tally)| tally.to_evidence(route.clone());
        let routes: Vec<_> = observation
            .local_totals
            .iter()
            .take(MAX_ROUTES)
            .map(to_evidence)
            .collect();
        let mut chunks: Vec<_> = routes
            .chunks(MAX_REPORT_ROUTES)
            .map(<[_]>::to_vec)
            .collect();
        if chunks.is_empty() {
            chunks.push(Vec::new());
        }
        let reports = chunks.into_iter().map(|routes| {
            RolloutAction::SendReport(EvidenceReport {
                key: self.key.clone(),
                version: version.clone(),
                step,
                sequence: observation.sequence,
                crashes: observation.local_crashes,
                routes,
            })
        });
        context.actions.extend(reports);
    }

    /// Begins step 0 if this node knows of a backend server of the new version.
    pub(super) fn begin(&mut self, context: &mut TickContext<'_>) {
        let start = self.plan.start_ms;
        let has_new_backend =
            context.side == Side::New || self.to_slots.is_some_and(|slots| slots > 0);
        if self.progress.is_some() || context.wall < start || !has_new_backend {
            return;
        }
        // A node that starts during a rollout learns its progress before it begins one itself.
        let running = context
            .now
            .saturating_sub(self.first_tick.unwrap_or(context.now));
        if context.wall >= start.plus(BEGIN_GRACE) && running < BEGIN_GRACE {
            return;
        }
        self.enter_step(context, 0, "its start time has come");
    }

    pub(super) fn evaluate(&mut self, context: &mut TickContext<'_>) {
        let decisions_paused = context.now < self.no_decisions_until || !self.settle_probe(context);
        let Some(observation) = &mut self.observation else {
            return;
        };
        let finding = observation.evidence.tick(context.now);
        let has_recent_old_report = observation.evidence.has_recent_old_report(context.now);
        let finding = finding.or_else(|| observation.crash_finding());
        let (Some(finding), Some(step), false) = (
            finding,
            self.progress.as_ref().map(|p| p.step),
            decisions_paused,
        ) else {
            return;
        };
        let entered = self
            .progress
            .as_ref()
            .map_or(context.wall, |p| p.entered_at);
        if context.wall.since(entered) > LOAD_FAULT_TIME {
            self.fault_free_probes = 0;
        }
        // A fault that appears under full traffic, disappears with less and appears again is caused by the
        // new version under load.
        let caused_by_load =
            self.fault_free_probes >= LOAD_FAULT_PROBES && self.probe(step) == Probe::None;
        // At 100 % the old version gets only isolated calls, from nodes that enter or leave a probe.
        let compared = finding.concurrent && self.probe(step) != Probe::None;
        if step >= self.last_step() && !compared && !caused_by_load {
            self.begin_probe(context, step, &finding);
            return;
        }
        // The old version has few calls, but its nodes report and would show a shared fault. Its next calls
        // allow a comparison.
        if step < self.last_step() && !finding.concurrent && has_recent_old_report {
            return;
        }
        let share = self.share(context.wall, context.side == Side::New);
        let rollback = Rollback {
            key: self.key.clone(),
            cause: finding.cause,
            route: finding.route.clone(),
            at: context.wall,
            by: context.node_id.clone(),
        };
        self.rollback = Some(rollback.clone());
        let route = finding.route.as_ref();
        let place = route.map_or_else(|| "all routes".to_owned(), |r| format!("route {r}"));
        let text = format!("at {share} %, {place}: {}", finding.text);
        context.actions.push(RolloutAction::RollBack(rollback));
        self.push_outcome(context, ResultCode::RolledBack, "rolled-back", text);
    }

    /// Resets the evidence of a probe when its settle time ends; returns whether that time has passed.
    pub(super) fn settle_probe(&mut self, context: &TickContext<'_>) -> bool {
        let Some(progress) = &self.progress else {
            return true;
        };
        if self.probe(progress.step) == Probe::None
            || self.settled_probe_step == Some(progress.step)
        {
            return true;
        }
        let settled = context.wall.since(progress.entered_at) >= PROBE_SETTLE_TIME;
        if settled {
            self.settled_probe_step = Some(progress.step);
            if let Some(observation) = &mut self.observation {
                observation.evidence.restart(context.now);
            }
        }
        settled
    }

    /// Gives the old version traffic again for a short time, so that both versions can be compared.
    pub(super) fn begin_probe(
        &mut self,
        context: &mut TickContext<'_>,
        step: u8,
        finding: &Finding,
    ) {
        let probes = (step - self.last_step()) / 3;
        let entered = self
            .progress
            .as_ref()
            .map_or(context.wall, |p| p.entered_at);
        let pause = if probes == 0 {
            Duration::ZERO
        } else {
            PROBE_BACKOFF * (1 << u32::from(probes.min(10)))
        };
        if self.probe(step) != Probe::None || context.wall < entered.plus(pause) {
            return;
        }
        if self.from_slots == Some(0) || probes >= MAX_PROBES {
            self.report_missing_comparison(context, step, finding);
            return;
        }
        let next = if finding.rate >= SEVERE_RATE { 2 } else { 1 };
        self.probe_trigger_rate = finding.rate;
        let why = format!("comparison with the old version: {}", finding.text);
        self.enter_step(context, step + next, &why);
    }

    /// Reports a rise of the failure rate that cannot be compared with the old version, so that the
    /// operators have to act on it.
    pub(super) fn report_missing_comparison(
        &mut self,
        context: &mut TickContext<'_>,
        step: u8,
        finding: &Finding,
    ) {
        if context.now < self.next_stall_report {
            return;
        }
        self.next_stall_report = context.now + STALL_REPORT_INTERVAL;
        let slots = self.from_slots.unwrap_or(0);
        let minute = context.wall.0 / millis(STALL_REPORT_INTERVAL);
        let text = format!(
            "cannot compare with the old version, which has {slots} slots: {}",
            finding.text
        );
        let identity = format!("stalled-{step}-{minute}");
        self.push_outcome(context, ResultCode::RolloutStalled, &identity, text);
    }

    pub(super) fn end_probe(&mut self, context: &mut TickContext<'_>, progress: &RolloutProgress) {
        let (calls, rest) = match self.probe(progress.step) {
            Probe::None => return,
            Probe::Severe => (SEVERE_PROBE_CALLS, 1),
            Probe::Mild => (MILD_PROBE_CALLS, 2),
        };
        let Some(observation) = &self.observation else {
            return;
        };
        let evidence = &observation.evidence;
        let (new, old) = (
            evidence.step_calls(Side::New),
            evidence.step_calls(Side::Old),
        );
        let time = context.wall.since(progress.entered_at);
        let vanished = self.probe_trigger_rate * f64::from(new) >= MIN_EXPECTED_BAD_CALLS
            && evidence.is_normal();
        let enough = vanished || new >= calls && old >= calls;
        let clear = enough && !evidence.is_suspicious();
        if time >= MAX_PROBE_TIME || time >= MIN_PROBE_TIME && clear {
            let why =
                format!("no difference in {new} calls of the new and {old} of the old version");
            self.enter_step(context, progress.step + rest, &why);
        }
    }

    pub(super) fn step_times(&self, progress: &RolloutProgress) -> StepTimes {
        let deadline = self.deadline();
        let margin = FINISH_MARGIN.min(self.span() / 4);
        let target = WallMs(deadline.0.saturating_sub(millis(margin)));
        let remaining_steps = u32::from(self.last_step().saturating_sub(progress.step)).max(1);
        // The remaining time is divided among the remaining steps, so that a rollout that is ahead of its
        // schedule or behind it still completes in time.
        let budget = target.since(progress.entered_at) / remaining_steps;
        let dwell = (budget / DWELL_DIVISOR).max(MIN_DWELL.min(budget));
        let latest = progress.entered_at.plus(budget);
        let later_steps_ms = millis(MIN_DWELL) * u64::from(remaining_steps - 1);
        let max_latest = progress.entered_at.plus(budget * 2);
        StepTimes {
            earliest: progress.entered_at.plus(dwell),
            latest,
            // Later steps need time too, and their larger shares show a fault faster.
            latest_if_suspected: WallMs(target.0.saturating_sub(later_steps_ms))
                .min(max_latest)
                .max(latest),
        }
    }

    /// Returns the calls of the new version required to end the step at `wall`; decreases to 0 until
    /// [`StepTimes::latest`].
    pub(super) fn required_calls(&self, times: &StepTimes, wall: WallMs) -> u64 {
        let period_ms = times.latest.0.saturating_sub(times.earliest.0).max(1);
        let remaining_ms = times.latest.0.saturating_sub(wall.0).min(period_ms);
        (u64::from(self.plan.min_calls) * remaining_ms).div_ceil(period_ms)
    }

    /// Returns whether the backend servers of the new version have enough slots for the share of a step.
    pub(super) fn has_capacity(&self, step: u8) -> bool {
        let share = self.plan.steps.get(usize::from(step)).copied();
        let (Some(share), Some(slots), Some(observation)) =
            (share, self.to_slots, self.observation.as_ref())
        else {
            return true;
        };
        observation.evidence.busy_slots() * f64::from(share)
            <= MAX_SLOT_UTILIZATION_PERCENT * f64::from(slots)
    }

    /// Returns the condition that keeps the rollout in the current step, `None` if the next step may begin.
    pub(super) fn blocking_condition(
        &self,
        progress: &RolloutProgress,
        context: &TickContext<'_>,
    ) -> Option<String> {
        let times = self.step_times(progress);
        let (wall, next) = (context.wall, progress.step + 1);
        let evidence = &self.observation.as_ref()?.evidence;
        let calls = evidence.step_calls(Side::New);
        let required = self.required_calls(&times, wall);
        if !self.has_backends(context.side == Side::New) {
            Some("a backend server of the new version that is up".to_owned())
        } else if !self.has_capacity(next) {
            let slots = self.to_slots.unwrap_or(0);
            let busy = evidence.busy_slots();
            Some(format!(
                "slots: the service occupies {busy:.1} and the new version has {slots}"
            ))
        } else if evidence.is_suspicious() && wall < times.latest_if_suspected {
            Some(format!(
                "a clear finding on a suspicion ({} of {calls} calls failed)",
                evidence.step_errors(Side::New)
            ))
        } else if u64::from(calls) < required {
            Some(format!("calls of the new version: {calls} of {required}"))
        } else if wall < times.earliest {
            Some("the minimum time in a step".to_owned())
        } else {
            None
        }
    }

    pub(super) fn advance(&mut self, context: &mut TickContext<'_>) {
        let Some(progress) = self.progress.clone() else {
            return;
        };
        let last = self.last_step();
        if self.rollback.is_some() || context.now < self.no_decisions_until {
            return;
        }
        if progress.step >= last {
            self.end_probe(context, &progress);
            return;
        }
        if context.wall >= self.deadline() {
            if self.has_backends(context.side == Side::New) {
                self.enter_step(context, last, "its deadline has come");
            }
            return;
        }
        if self.blocking_condition(&progress, context).is_none() {
            let evidence = self.observation.as_ref().map(|o| &o.evidence);
            let count =
                |side| evidence.map_or((0, 0), |e| (e.step_errors(side), e.step_calls(side)));
            let ((new_errors, new_calls), (old_errors, old_calls)) =
                (count(Side::New), count(Side::Old));
            let why = format!(
                "{new_errors} of {new_calls} calls of the new version and {old_errors} of {old_calls} of the old one failed in {:.1} s",
                context.wall.since(progress.entered_at).as_secs_f64()
            );
            self.enter_step(context, progress.step + 1, &why);
        }
    }

    pub(super) fn enter_step(&mut self, context: &mut TickContext<'_>, step: u8, why: &str) {
        let began = self.progress.as_ref().map_or(context.wall, |p| p.began_at);
        let progress = RolloutProgress {
            key: self.key.clone(),
            step,
            entered_at: context.wall,
            began_at: began,
            by: context.node_id.clone(),
        };
        if self.merge_progress(progress.clone()) {
            context.actions.push(RolloutAction::Advance(progress));
            self.next_stall_report = Duration::ZERO;
            let share = self.share(context.wall, context.side == Side::New);
            let text = if step > self.last_step() {
                format!("hold at {share} %: {why}")
            } else {
                let steps = self.last_step() + 1;
                format!("step {} of {steps} at {share} %: {why}", step + 1)
            };
            self.push_outcome(
                context,
                ResultCode::RolloutAdvanced,
                &format!("step-{step}"),
                text,
            );
        }
    }

    pub(super) fn report_stall(&mut self, context: &mut TickContext<'_>) {
        if self.rollback.is_some() || context.now < self.next_stall_report {
            return;
        }
        let waiting = match &self.progress {
            None if context.wall >= self.plan.start_ms.plus(STALL_TIME) => {
                "a backend server of the new version that is up".to_owned()
            }
            None => return,
            Some(progress) => {
                let times = self.step_times(progress);
                let overdue = context.wall >= times.latest.min(times.earliest.plus(STALL_TIME));
                let complete = progress.step >= self.last_step();
                match self.blocking_condition(progress, context) {
                    Some(what) if overdue && !complete => what,
                    _ => return,
                }
            }
        };
        self.next_stall_report = context.now + STALL_REPORT_INTERVAL;
        let step = self.progress.as_ref().map_or(0, |p| p.step);
        let minute = context.wall.0 / millis(STALL_REPORT_INTERVAL);
        let text = format!("waits for {waiting}");
        let identity = format!("stalled-{step}-{minute}");
        self.push_outcome(context, ResultCode::RolloutStalled, &identity, text);
    }

    pub(super) fn report_end(&mut self, context: &mut TickContext<'_>) {
        let Some(completed) = self.completed_at() else {
            return;
        };
        if self.rollback.is_some() || context.wall < completed {
            return;
        }
        if !self.reported_complete {
            self.reported_complete = true;
            let late = context.wall.0.saturating_sub(self.plan.finish_by_ms.0);
            let text = if late > 0 {
                format!(
                    "all traffic on {} {late} ms after the set time",
                    self.plan.to
                )
            } else {
                let early = self.plan.finish_by_ms.since(completed).as_secs_f64();
                format!(
                    "all traffic on {} {early:.1} s before the set time",
                    self.plan.to
                )
            };
            self.push_outcome(context, ResultCode::RolloutCompleted, "completed", text);
        }
        if !self.reported_held && self.hold_end().is_some_and(|end| context.wall >= end) {
            self.reported_held = true;
            let text = format!("no late fault within {} s", self.plan.hold_s);
            self.push_outcome(context, ResultCode::HoldPeriodEnded, "held", text);
        }
    }

    pub(super) fn push_outcome(
        &self,
        context: &mut TickContext<'_>,
        code: ResultCode,
        what: &str,
        text: String,
    ) {
        let RolloutKey { service, to, since } = &self.key;
        context.actions.push(RolloutAction::Outcome(OutcomeRecord {
            code: code.number(),
            identity: format!("rollout/{service}/{to}/{since}/{what}"),
            at: context.wall,
            node: context.node_id.clone(),
            subject: format!("{service} {to}"),
            text,
        }));
    }
}
