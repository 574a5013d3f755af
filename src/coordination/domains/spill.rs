//! Share of the calls of a service that may leave their failure domain. See `docs/design/leaving-a-domain.md`.
//!
//! All entry nodes of a failure domain see the same reports. If each of them sent each call to the node with the
//! least cost, they would leave together and come back together. An entry node therefore sends only a share of the
//! calls for which leaving is cheaper to another domain. The share grows while leaving pays and the target accepts
//! such calls, in proportion to what is gained, and shrinks as soon as one of both ends.

use std::mem;
use std::time::Duration;

use crate::coordination::backoff::exponential_delay;
use crate::protocol::name::DomainName;
use crate::protocol::name::NodeId;
use crate::protocol::name::ServiceName;

/// Share while nothing is known of the target, so that the first calls probe it.
const PROBE_SHARE: f64 = 0.1;
/// Least share while the target refuses calls or its path is slow; the calls that leave show when that ends.
const MIN_SHARE: f64 = 0.005;
/// Largest share before the target has accepted a call.
const UNPROVEN_SHARE: f64 = 0.3;
/// Largest growth of the share in a second. A share of 1 is reached in half a second, so that callers in a burst of
/// 3 s get help.
const GROWTH_PER_S: f64 = 2.0;
/// Largest rate at which the share decays, per second; after one second a twelfth is left.
const DECAY_PER_S: f64 = 2.5;
/// Part of the objective by which leaving has to be cheaper, so that the share does not grow by chance.
const MARGIN: f64 = 0.04;
/// Advantage beyond the margin, as a part of the objective, at which the share grows at its largest rate. Below, it
/// grows in proportion, so that it settles where leaving barely pays.
const FULL_GROWTH_ADVANTAGE: f64 = 0.4;
/// The same for a disadvantage and the decay.
const FULL_DECAY_ADVANTAGE: f64 = 0.2;
/// Weight of one call in the mean advantage.
const ADVANTAGE_WEIGHT: f64 = 0.2;
/// Longest time between two calls that counts; a node without calls learns nothing meanwhile.
const MAX_STEP: Duration = Duration::from_millis(100);
/// Growth of the share in a second after a slow path has reduced it, relative to the share, so that it stays near what
/// the path carries, however small that is.
const CAUTIOUS_GROWTH_PER_S: f64 = 1.5;
/// Part of the share before the path became slow up to which the share grows faster again. All calls that wait on a
/// full path are answered late, so the share shrinks for long after too few calls leave.
const CARRIED_PART: f64 = 0.25;
/// Growth of the share in a second up to that part, relative to the share. With the cautious one alone the path
/// stayed nearly unused for three seconds.
const RECOVERY_GROWTH_PER_S: f64 = 4.0;
/// Time without a slow answer after which that value no longer counts.
const CAUTION: Duration = Duration::from_secs(5);
/// Weight of one result in the mean part of refused calls.
const REFUSED_WEIGHT: f64 = 0.2;
/// Part of refused calls up to which the share does not shrink. A target with spare slots refuses some calls, since
/// entry nodes know its load only from its answers, and a refusal costs no more than the way there and back.
const TOLERATED_REFUSED: f64 = 0.7;
/// Factor on the share after a refusal or on a slow path.
const SHRINK_FACTOR: f64 = 0.7;
/// Time after which the share shrinks again; results in between are of calls that were sent before.
const SHRINK_INTERVAL: Duration = Duration::from_millis(30);
/// First time without growth after a refusal; doubled after each further one without an accepted call in between.
const HOLD_BASE: Duration = Duration::from_millis(100);
/// Longest time without growth, and the time for which no call is sent to a target that cannot be reached.
const HOLD_MAX: Duration = Duration::from_secs(2);
/// Time that a path may take beyond one and a half times its usual time until it counts as slow, milliseconds.
const SLOW_PATH_MS: f64 = 10.0;
/// Part of slow answers from which on a slow one after a fast one counts. Below, the path is not full: an answer may be
/// late because of an instance that was slow for a moment. Two slow ones in a row count in any case. With 0.35 instead
/// of 0.5, fewer calls are in time, both on a full link and on one with isolated slow answers.
const SLOW_PART: f64 = 0.5;
/// Weight of one answer in the mean part of slow answers.
const SLOW_WEIGHT: f64 = 0.2;
/// Weight of one answer in the mean excess of the path's time.
const EXCESS_WEIGHT: f64 = 0.2;
/// Time constant with which the usual time of a path follows a longer one.
const PATH_MEMORY_S: f64 = 60.0;
/// Bounds of the usual path time, in hops and in milliseconds for a kilobyte, about a link of 10 Mbit/s. A node that
/// starts while the path is full would take that for usual.
const MAX_USUAL_HOPS: f64 = 1.5;
const MAX_USUAL_MS_PER_KB: f64 = 1.0;
/// Time without any answer, beyond twice the expected time, after which no further call is sent.
const MAX_SILENCE: Duration = Duration::from_millis(150);
/// Classes of sizes, by powers of four of a kilobyte, whose path times are kept apart.
const SIZE_CLASSES: usize = 8;

/// Expected costs of a call, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct SpillCosts {
    /// Cost of the best node of the own failure domain; `None` if none is left.
    pub home_ms: Option<f64>,
    /// Cost of the best node of the target.
    pub away_ms: f64,
    /// Expected time until the response of that node.
    pub away_time_ms: f64,
    /// Latency objective of the call.
    pub objective_ms: f64,
    /// Whether the own failure domain is expected to refuse the call.
    pub is_refusal_expected: bool,
}

/// Result of a spillover call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SpillEnd {
    /// The target accepted the call.
    Accepted {
        /// Time of the exchange without the run, milliseconds.
        path_ms: f64,
        /// Size of the request and of the response.
        kilobytes: f64,
        /// Time for a small message there and back on an idle path, milliseconds.
        hop_ms: f64,
    },
    /// The target refused the call because of load.
    Refused,
    /// The target could not be reached, or its response did not arrive.
    Unreachable,
    /// Nothing is known of the target.
    Cancelled,
}

/// State of one service and target.
#[derive(Clone, Debug)]
struct Target {
    service: ServiceName,
    domain: DomainName,
    share: f64,
    /// Mean of what is gained by leaving, as a part of the objective.
    advantage: f64,
    updated_at: Duration,
    has_accepted: bool,
    /// Mean part of the calls that the target refuses.
    refused: f64,
    /// Share that the path is taken to carry since it became slow, and the time of the last slow answer.
    carried: Option<(f64, Duration)>,
    /// Whether the last answer was slow.
    is_path_slow: bool,
    /// Mean part of slow answers.
    slow: f64,
    /// Refusals and other bad results since the last good one.
    refusals: u32,
    shrunk_at: Duration,
    hold_until: Duration,
    closed_until: Duration,
    /// Node that could not be reached since the last result of another kind.
    lost: Option<NodeId>,
    in_flight: u32,
    /// Last result, or the start of the first call since none was under way.
    heard_at: Duration,
    /// Time after that by which a result is expected.
    silence: Duration,
    /// Usual path time by class of size; zero if not known.
    path_ms: [f64; SIZE_CLASSES],
    path_at: Duration,
    /// Mean time that the path takes beyond the usual one.
    excess_ms: f64,
}

/// Shares of one entry node, by service and target.
#[derive(Clone, Debug, Default)]
pub struct SpillShares {
    /// Sorted by service and domain.
    targets: Vec<Target>,
}

impl Target {
    fn new(service: &ServiceName, domain: &DomainName, now: Duration) -> Self {
        Self {
            service: service.clone(),
            domain: domain.clone(),
            share: PROBE_SHARE,
            advantage: 0.0,
            updated_at: now,
            has_accepted: false,
            refused: 0.0,
            carried: None,
            is_path_slow: false,
            slow: 0.0,
            refusals: 0,
            shrunk_at: Duration::ZERO,
            hold_until: Duration::ZERO,
            closed_until: Duration::ZERO,
            lost: None,
            in_flight: 0,
            heard_at: now,
            silence: MAX_SILENCE,
            path_ms: [0.0; SIZE_CLASSES],
            path_at: now,
            excess_ms: 0.0,
        }
    }

    /// Least share to which missing gains reduce it.
    fn least(&self) -> f64 {
        if self.refusals > 0 {
            MIN_SHARE
        } else {
            PROBE_SHARE
        }
    }

    fn on_costs(&mut self, now: Duration, costs: &SpillCosts) {
        let step = now.saturating_sub(self.updated_at).min(MAX_STEP);
        let step_s = step.as_secs_f64();
        self.updated_at = now;
        let home_ms = costs.home_ms.unwrap_or(costs.away_ms + costs.objective_ms);
        let gain = (home_ms - costs.away_ms - self.excess_ms) / costs.objective_ms.max(1.0);
        let gain = if costs.is_refusal_expected {
            gain.max(MARGIN + FULL_GROWTH_ADVANTAGE)
        } else {
            gain
        };
        self.advantage += (gain.clamp(-1.0, 1.0) - self.advantage) * ADVANTAGE_WEIGHT;
        let beyond = self.advantage - MARGIN;
        let full = if beyond < 0.0 {
            FULL_DECAY_ADVANTAGE
        } else {
            FULL_GROWTH_ADVANTAGE
        };
        let rate = (beyond / full).clamp(-1.0, 1.0);
        if rate < 0.0 {
            // An expected probe costs little, so the share stays where the next shortage needs it.
            let decayed = self.share * (rate * DECAY_PER_S * step_s).exp();
            self.share = decayed.max(self.share.min(self.least()));
        } else if now >= self.hold_until {
            let most = if self.has_accepted {
                1.0
            } else {
                UNPROVEN_SHARE
            };
            let is_recent = |(_, at): &(f64, Duration)| now.saturating_sub(*at) < CAUTION;
            let growth_per_s = match self.carried.filter(is_recent) {
                Some((carried, _)) if self.share < carried => RECOVERY_GROWTH_PER_S * self.share,
                Some(_) => CAUTIOUS_GROWTH_PER_S * self.share,
                None => GROWTH_PER_S,
            };
            let grown = (self.share + rate * growth_per_s * step_s).min(most);
            self.share = grown.max(self.share);
        }
        // A path on which nothing is sent shows nothing; what was measured holds for about a second.
        self.excess_ms *= (-step_s).exp();
        self.silence = MAX_SILENCE + Duration::from_secs_f64(costs.away_time_ms.max(0.0) / 500.0);
    }

    /// Returns the share of the calls that may leave now.
    fn share(&self, now: Duration) -> f64 {
        let is_silent = self.in_flight > 0 && now.saturating_sub(self.heard_at) > self.silence;
        if is_silent || now < self.closed_until {
            0.0
        } else {
            self.share
        }
    }

    fn shrink(&mut self, now: Duration) {
        if now.saturating_sub(self.shrunk_at) < SHRINK_INTERVAL {
            return;
        }
        self.shrunk_at = now;
        self.share = (self.share * SHRINK_FACTOR).max(MIN_SHARE);
        self.hold_until = now + exponential_delay(HOLD_BASE, HOLD_MAX, self.refusals);
        self.refusals = self.refusals.saturating_add(1);
    }

    /// One lost node says little about its failure domain; a second one in a row does.
    fn on_lost(&mut self, now: Duration, node: &NodeId) {
        match &self.lost {
            Some(lost) if lost != node => {
                self.share = MIN_SHARE;
                self.has_accepted = false;
                self.closed_until = now + HOLD_MAX;
            }
            Some(_) => {}
            None => {
                self.lost = Some(node.clone());
                self.shrink(now);
            }
        }
    }

    fn on_path(&mut self, now: Duration, path_ms: f64, kilobytes: f64, hop_ms: f64) {
        let class = (kilobytes.max(1.0).log2() / 2.0).floor();
        let classes = 0..SIZE_CLASSES - 1;
        let class = classes.fold(0, |found, index| {
            found + usize::from(class > f64::from(u32::try_from(index).unwrap_or(0)))
        });
        let age_s = now.saturating_sub(self.path_at).as_secs_f64();
        self.path_at = now;
        let usual = &mut self.path_ms[class];
        if *usual == 0.0 || path_ms < *usual {
            *usual = path_ms.max(0.1);
        } else {
            *usual += (path_ms - *usual) * (age_s / PATH_MEMORY_S).min(1.0);
        }
        *usual = usual.min(hop_ms * MAX_USUAL_HOPS + kilobytes * MAX_USUAL_MS_PER_KB);
        let is_slow = path_ms > *usual * 1.5 + SLOW_PATH_MS;
        self.excess_ms += (path_ms - *usual - self.excess_ms) * EXCESS_WEIGHT;
        self.slow += (f64::from(u8::from(is_slow)) - self.slow) * SLOW_WEIGHT;
        let was_slow = mem::replace(&mut self.is_path_slow, is_slow);
        if is_slow && !was_slow && self.slow < SLOW_PART {
            // The mean excess has it.
            return;
        }
        if is_slow {
            // A path that is slow has accepted the call, so its pause does not grow.
            self.refusals = 0;
            let carried = match self.carried {
                Some((carried, _)) if was_slow => carried,
                _ => self.share * CARRIED_PART,
            };
            self.carried = Some((carried, now));
            self.shrink(now);
            // The calls that were sent before show for as long that the path is slow.
            let drain = Duration::from_secs_f64(path_ms.max(0.0) / 1e3) * 2;
            self.hold_until = self.hold_until.max(now + drain);
        } else {
            self.refusals /= 2;
        }
    }
}

impl SpillShares {
    /// Takes in the expected costs of a call at home and at the target, and returns the share of such calls that may
    /// leave for it now.
    pub fn on_costs(
        &mut self,
        now: Duration,
        service: &ServiceName,
        domain: &DomainName,
        costs: &SpillCosts,
    ) -> f64 {
        let target = self.target(now, service, domain);
        target.on_costs(now, costs);
        target.share(now)
    }

    /// Returns the share of the calls that may leave for a domain now; zero if none has been compared.
    #[must_use]
    pub fn share(&self, now: Duration, service: &ServiceName, domain: &DomainName) -> f64 {
        let index = self.index(service, domain);
        index.map_or(0.0, |index| self.targets[index].share(now))
    }

    /// Counts the start of a spillover call.
    pub fn on_start(&mut self, now: Duration, service: &ServiceName, domain: &DomainName) {
        let target = self.target(now, service, domain);
        if target.in_flight == 0 {
            target.heard_at = now;
        }
        target.in_flight += 1;
    }

    /// Takes in the result of a spillover call.
    pub fn on_end(
        &mut self,
        now: Duration,
        service: &ServiceName,
        domain: &DomainName,
        node: &NodeId,
        end: SpillEnd,
    ) {
        let target = self.target(now, service, domain);
        target.in_flight = target.in_flight.saturating_sub(1);
        if end != SpillEnd::Cancelled {
            target.heard_at = now;
        }
        match end {
            SpillEnd::Accepted {
                path_ms,
                kilobytes,
                hop_ms,
            } => {
                target.has_accepted = true;
                target.lost = None;
                target.refused -= target.refused * REFUSED_WEIGHT;
                target.on_path(now, path_ms, kilobytes, hop_ms);
            }
            SpillEnd::Refused => {
                target.lost = None;
                target.refused += (1.0 - target.refused) * REFUSED_WEIGHT;
                if target.refused > TOLERATED_REFUSED {
                    target.shrink(now);
                }
            }
            SpillEnd::Unreachable => target.on_lost(now, node),
            SpillEnd::Cancelled => {}
        }
    }

    fn index(&self, service: &ServiceName, domain: &DomainName) -> Result<usize, usize> {
        let key = (service, domain);
        self.targets
            .binary_search_by(|target| (&target.service, &target.domain).cmp(&key))
    }

    fn target(&mut self, now: Duration, service: &ServiceName, domain: &DomainName) -> &mut Target {
        let index = match self.index(service, domain) {
            Ok(index) => index,
            Err(index) => {
                let target = Target::new(service, domain, now);
                self.targets.insert(index, target);
                index
            }
        };
        &mut self.targets[index]
    }
}
