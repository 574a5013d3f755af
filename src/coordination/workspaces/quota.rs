//! Limiter of the requests of workspaces with a quota, at each entry node. See `docs/design/quotas.md`.
//!
//! All nodes together behave like one token bucket. The collector of the failure domain keeps its level
//! (`usage.rs`). A node may use its share of that level, by its part of the fleet's demand, until the next
//! totals. While the level is high, it may admit a few requests beyond its share, since most nodes get a
//! request of a small workspace less than once a window and have no share to speak of.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::coordination::workspaces::usage::DEMAND_WINDOW;
use crate::coordination::workspaces::usage::DemandWindow;
use crate::protocol::explain::QuotaView;
use crate::protocol::mesh::Quota;
use crate::protocol::mesh::Workspace;
use crate::protocol::name::WorkspaceName;
use crate::protocol::time::millis;
use crate::protocol::usage::UsageTotals;
use crate::protocol::usage::WorkspaceCount;

/// Time between two reports of a node.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(320);
/// Time between two reports during a surge.
pub const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Time without an answer to a report from which on a node with a share of at least one request admits none beyond
/// it. All nodes of the domain have lost their collector then, and none sees what the others admit.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// Age of the totals up to which requests beyond the share are admitted.
pub const EXTRA_AGE: Duration = Duration::from_secs(1);
/// Time within which the first request of a node that was idle brings newer totals. Until then the old ones count,
/// since all callers may have moved to it at one moment.
const FIRST_TOTALS_TIME: Duration = Duration::from_millis(100);
/// Age of the totals from which on the share shrinks to an equal one.
pub const STALE_AGE: Duration = Duration::from_secs(2);
/// Age at which it is the equal one.
const EQUAL_AGE: Duration = Duration::from_secs(3);
/// Age from which on it shrinks further, until [`LOST_AGE`], to a part of what is tolerated beyond the quota.
const LAST_EQUAL_AGE: Duration = Duration::from_secs(4);
/// Age from which on other nodes may use the share of a node, which they cannot tell from a dead one.
pub const LOST_AGE: Duration = Duration::from_secs(5);
/// Part of the tolerance that nodes without totals use, all together.
const LOST_TOLERANCE: f64 = 0.5;
/// Time without a report after which a node is idle.
const IDLE_TIME: Duration = Duration::from_secs(1);
/// Part of the slack that is added to the bucket, so that random peaks of small workspaces are admitted. The
/// rest, and the excess, cover what nodes admit before they know of each other.
const SIZE_SLACK: f64 = 0.3;
/// Part of the demand that is counted as evenly distributed over the nodes.
const EVEN_DEMAND: f64 = 0.25;
/// Level, as a share of the bucket, from which on requests beyond the share are admitted.
const EXTRA_LEVEL: f64 = 0.25;
/// Demand of the fleet, as a share of the rate, from which on a node with a share of at least one request admits
/// none beyond it. Otherwise all nodes do whenever the level of a contended bucket rises, and empty it together
/// far below zero: 1,559 requests of a workspace in 5 s were seen, where 1,518 are allowed.
const EXTRA_DEMAND: f64 = 1.25;
/// Requests beyond that, so that random peaks of small workspaces do not count.
const EXTRA_DEMAND_SLACK: f64 = 4.0;
/// Requests beyond the share until the next totals, as a share of the level; at least one.
const EXTRA_SHARE: f64 = 0.125;
/// Requests beyond the share from which on the next report is brought forward.
const SURGE_EXTRAS: u32 = 2;
/// Level, as a share of the bucket, below which one such request brings the next report forward.
const SURGE_LEVEL: f64 = 0.6;
/// Time for which a token is kept for a request whose body arrives. Later, it gets a token of the time of its end.
const RESERVED_TIME: Duration = REPORT_INTERVAL;
/// Shortest time after which a refused caller should retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);

/// How many requests beyond a quota are tolerated, and over which window that is counted.
#[derive(Clone, Copy, Debug)]
pub struct QuotaBounds {
    /// Window.
    pub window: Duration,
    /// Requests beyond the quota, as a share of it.
    pub excess: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl QuotaBounds {
    /// Largest number of requests in a window.
    #[must_use]
    pub fn limit(&self, quota: Quota) -> f64 {
        self.within_quota(quota) * (1.0 + self.excess) + self.slack
    }

    /// Size of the fleet's bucket.
    #[must_use]
    pub fn size(&self, quota: Quota) -> f64 {
        f64::from(quota.burst) + SIZE_SLACK * self.slack
    }

    /// Part of the quota that all nodes without totals together use.
    fn lost_factor(&self, quota: Quota) -> f64 {
        let within = self.within_quota(quota);
        (LOST_TOLERANCE * (self.limit(quota) - within) / within).min(1.0)
    }

    /// Largest number of requests in a window without what is tolerated beyond the quota.
    pub(super) fn within_quota(&self, quota: Quota) -> f64 {
        quota.rate.per_s() * self.window.as_secs_f64() + f64::from(quota.burst)
    }
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaDecision {
    /// The workspace has no quota.
    Unlimited,
    /// The request is admitted and counted.
    Admitted,
    /// The request is refused.
    Refused(QuotaRefusal),
}

/// Refusal of a request, with the inputs of the decision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRefusal {
    /// Time after which a token is expected.
    pub retry_after: Duration,
    /// Part of the quota that this node may use.
    pub share: f64,
    /// Tokens of this node.
    pub tokens: f64,
    /// Level of the fleet's bucket.
    pub level: f64,
    /// Age of the totals, if there are any.
    pub totals_age: Option<Duration>,
}

/// Token that is kept for a request whose body arrives.
#[derive(Debug)]
pub struct Reservation {
    workspace: WorkspaceName,
    number: u64,
}

/// Where the token of a request comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TokenSource {
    /// The share of this node.
    Share,
    /// What may be admitted beyond it.
    Extra,
}

#[derive(Clone, Debug)]
struct KeptToken {
    at: Duration,
    number: u64,
    source: TokenSource,
}

#[derive(Clone, Debug)]
struct WorkspaceBucket {
    workspace: WorkspaceName,
    quota: Quota,
    size: f64,
    /// Part of the equal share that nodes without totals use.
    lost_factor: f64,
    /// Admitted requests since the start of the process, less those that ended as not run.
    admitted: i64,
    /// The same as a collector last acknowledged it.
    acknowledged: i64,
    demand: DemandWindow,
    reported_demand: u32,
    /// Level of the fleet's bucket, and the time from which on it is extrapolated.
    level: f64,
    level_at: Duration,
    is_level_known: bool,
    /// Demand of the fleet within [`DEMAND_WINDOW`] by the last totals.
    fleet_demand: u32,
    /// Part of the quota that this node may use.
    share: f64,
    /// Whether the share is that of the fleet's demand, and not an equal one since there was no demand.
    has_demand_share: bool,
    tokens: f64,
    tokens_at: Duration,
    /// Tokens needed for the next request, from 0 to 1. On average over all nodes, the requests that are
    /// admitted at once are then as many as the tokens, although each node has a fraction of one.
    threshold: f64,
    /// Requests admitted beyond the share since the last totals.
    extras: u32,
    /// Tokens kept for requests whose bodies arrive.
    reserved: Vec<KeptToken>,
}

/// Limiter of one node.
#[derive(Clone, Debug)]
pub struct QuotaLimiter {
    bounds: QuotaBounds,
    nodes: usize,
    /// Sorted by workspace.
    buckets: Vec<WorkspaceBucket>,
    totals_at: Option<Duration>,
    covered: f64,
    acknowledged_by: u64,
    since: u64,
    last_report_at: Option<Duration>,
    /// Time of the first request since the last totals, from which on these should be newer.
    awaits_totals_since: Option<Duration>,
    /// Time of the first report since the last totals.
    unanswered_since: Option<Duration>,
    /// Whether the next report has to contain all workspaces with a demand.
    is_full_report_due: bool,
    last_reservation: u64,
}

impl QuotaLimiter {
    /// Creates a limiter without workspaces.
    #[must_use]
    pub fn new(bounds: QuotaBounds) -> Self {
        Self {
            bounds,
            nodes: 1,
            buckets: Vec::new(),
            totals_at: None,
            covered: 1.0,
            acknowledged_by: 0,
            since: 0,
            last_report_at: None,
            awaits_totals_since: None,
            unanswered_since: None,
            is_full_report_due: true,
            last_reservation: 0,
        }
    }

    /// Applies the workspaces of a configuration, sorted by name. Counts of workspaces that stay are kept.
    pub fn set_workspaces(&mut self, now: Duration, workspaces: &[Workspace], rng: &mut impl Rng) {
        let mut before = std::mem::take(&mut self.buckets);
        for workspace in workspaces {
            let Some(quota) = workspace.quota else {
                continue;
            };
            let size = self.bounds.size(quota);
            let lost_factor = self.bounds.lost_factor(quota);
            let known = before.binary_search_by(|bucket| bucket.workspace.cmp(&workspace.name));
            let bucket = if let Ok(index) = known {
                let mut bucket = before.remove(index);
                bucket.tokens = bucket.tokens.min(size * bucket.share);
                bucket.level = bucket.level.min(size);
                WorkspaceBucket {
                    quota,
                    size,
                    lost_factor,
                    ..bucket
                }
            } else {
                let share = 1.0 / as_f64(self.nodes);
                WorkspaceBucket {
                    workspace: workspace.name.clone(),
                    quota,
                    size,
                    lost_factor,
                    admitted: 0,
                    acknowledged: 0,
                    demand: DemandWindow::default(),
                    reported_demand: 0,
                    level: size,
                    level_at: now,
                    is_level_known: false,
                    fleet_demand: 0,
                    share,
                    has_demand_share: false,
                    tokens: size * share,
                    tokens_at: now,
                    threshold: rng.random_range(0.0..1.0),
                    extras: 0,
                    reserved: Vec::new(),
                }
            };
            self.buckets.push(bucket);
        }
    }

    /// Applies the number of nodes of the fleet. Equal shares are those of this number: processes that start together
    /// know of no other node at first, and each of them would keep the whole quota until there is a demand.
    pub fn set_nodes(&mut self, nodes: usize) {
        let nodes = nodes.max(1);
        if nodes == self.nodes {
            return;
        }
        self.nodes = nodes;
        let share = 1.0 / self.covered_nodes();
        let equal = self.buckets.iter_mut();
        for bucket in equal.filter(|bucket| !bucket.has_demand_share) {
            bucket.share = share;
            bucket.tokens = bucket.tokens.min(bucket.size * share);
        }
    }

    /// Whether any workspace has a quota.
    #[must_use]
    pub fn has_quotas(&self) -> bool {
        !self.buckets.is_empty()
    }

    /// Returns the age of the totals.
    #[must_use]
    pub fn totals_age(&self, now: Duration) -> Option<Duration> {
        self.totals_at.map(|at| now.saturating_sub(at))
    }

    /// Decides on a request of a workspace that can run now.
    pub fn admit(
        &mut self,
        now: Duration,
        workspace: &WorkspaceName,
        rng: &mut impl Rng,
    ) -> QuotaDecision {
        let Ok(index) = self.index(workspace) else {
            return QuotaDecision::Unlimited;
        };
        let decided = self.decide(now, index, &[]);
        self.count_demand(now, index);
        let bucket = &mut self.buckets[index];
        match decided {
            Ok(TokenSource::Share) => {
                bucket.tokens -= 1.0;
                bucket.threshold = rng.random_range(0.0..1.0);
            }
            Ok(TokenSource::Extra) => bucket.extras += 1,
            Err(refusal) => return QuotaDecision::Refused(refusal),
        }
        bucket.admitted += 1;
        QuotaDecision::Admitted
    }

    /// Decides on a request whose body may still arrive. Its token is kept for at most [`RESERVED_TIME`], until
    /// [`release`](Self::release). The request counts only from [`admit`](Self::admit) on, when it can run: with
    /// tokens of the time of their heads, requests that arrive slowly and end together would pass the bound. `None`
    /// if the workspace has no quota.
    ///
    /// # Errors
    /// The request is refused.
    pub fn reserve(
        &mut self,
        now: Duration,
        workspace: &WorkspaceName,
    ) -> Result<Option<Reservation>, QuotaRefusal> {
        let Ok(index) = self.index(workspace) else {
            return Ok(None);
        };
        let mut reserved = std::mem::take(&mut self.buckets[index].reserved);
        reserved.retain(|kept| now.saturating_sub(kept.at) <= RESERVED_TIME);
        let decided = self.decide(now, index, &reserved);
        let decided = decided.map(|source| {
            self.last_reservation += 1;
            let number = self.last_reservation;
            reserved.push(KeptToken {
                at: now,
                number,
                source,
            });
            let workspace = workspace.clone();
            Some(Reservation { workspace, number })
        });
        self.buckets[index].reserved = reserved;
        if decided.is_err() {
            self.count_demand(now, index);
        }
        decided
    }

    /// Releases the token that is kept for a request.
    pub fn release(&mut self, reservation: &Reservation) {
        if let Ok(index) = self.index(&reservation.workspace) {
            let reserved = &mut self.buckets[index].reserved;
            reserved.retain(|kept| kept.number != reservation.number);
        }
    }

    /// Decides on a request beside those for which tokens are kept.
    fn decide(
        &mut self,
        now: Duration,
        index: usize,
        reserved: &[KeptToken],
    ) -> Result<TokenSource, QuotaRefusal> {
        let totals_age = self.totals_age(now);
        let is_answered = self
            .unanswered_since
            .is_none_or(|since| now.saturating_sub(since) <= ANSWER_TIME);
        let is_new = totals_age.is_some_and(|age| age <= EXTRA_AGE);
        let is_recent = is_new || totals_age.is_some() && !self.awaits_totals(now);
        let (nodes, shrunk) = (as_f64(self.nodes), self.shrunk(now));
        let covered = self.covered;
        let kept_of = |source| reserved.iter().filter(|kept| kept.source == source).count();
        let bucket = &mut self.buckets[index];
        let rate = bucket.refill(now, nodes, shrunk, covered);
        let tokens = bucket.tokens - as_f64(kept_of(TokenSource::Share));
        if tokens >= bucket.threshold {
            return Ok(TokenSource::Share);
        }
        let level = bucket.level_now(now, covered);
        let extra_level = EXTRA_LEVEL * bucket.size * covered;
        // The level from before an idle time may be wrong, and many nodes may have been idle.
        let max_extras = if is_new {
            (level * EXTRA_SHARE).max(1.0)
        } else {
            1.0
        };
        let extras = f64::from(bucket.extras) + as_f64(kept_of(TokenSource::Extra));
        let has_extra = extras + 1.0 <= max_extras && !bucket.is_held_to_share(is_answered);
        if is_recent && bucket.is_level_known && level >= extra_level && has_extra {
            return Ok(TokenSource::Extra);
        }
        let mut wait_s = (bucket.threshold - tokens) / rate.max(f64::MIN_POSITIVE);
        if is_recent {
            let fleet_rate = bucket.quota.rate.per_s() * covered;
            let until_level = (extra_level - level) / fleet_rate.max(f64::MIN_POSITIVE);
            let until_totals = if has_extra {
                0.0
            } else {
                REPORT_INTERVAL.as_secs_f64()
            };
            wait_s = wait_s.min(until_level.max(until_totals));
        }
        let longest = self.bounds.window.as_secs_f64();
        Err(QuotaRefusal {
            retry_after: Duration::from_secs_f64(wait_s.clamp(0.0, longest)).max(MIN_RETRY_AFTER),
            share: rate / bucket.quota.rate.per_s(),
            tokens,
            level,
            totals_age,
        })
    }

    /// Returns what a request of a workspace would find now; `None` if it has no quota.
    #[must_use]
    pub fn view(&self, now: Duration, workspace: &WorkspaceName) -> Option<QuotaView> {
        let index = self.index(workspace).ok()?;
        let mut bucket = self.buckets[index].clone();
        let rate = bucket.refill(now, as_f64(self.nodes), self.shrunk(now), self.covered);
        let per_s = bucket.quota.rate.per_s();
        Some(QuotaView {
            per_s,
            burst: bucket.quota.burst,
            share: rate / per_s,
            tokens: bucket.tokens,
            level: bucket.level_now(now, self.covered),
            totals_age_ms: self.totals_age(now).map(millis),
        })
    }

    /// Gives back the token of an admitted request that ended as not run.
    pub fn give_back(&mut self, workspace: &WorkspaceName) {
        if let Ok(index) = self.index(workspace) {
            let bucket = &mut self.buckets[index];
            bucket.admitted -= 1;
            bucket.tokens += 1.0;
        }
    }

    /// Whether a collector has answered within the last second.
    #[must_use]
    pub fn has_recent_totals(&self, now: Duration) -> bool {
        self.totals_age(now).is_some_and(|age| age <= EXTRA_AGE)
    }

    /// Whether the node does not report, since it has no requests of workspaces with a quota.
    #[must_use]
    pub fn is_idle(&self, now: Duration) -> bool {
        self.last_report_at
            .is_none_or(|at| now.saturating_sub(at) > IDLE_TIME)
    }

    /// Whether a report is due, while none is under way.
    #[must_use]
    pub fn is_report_due(&self, now: Duration) -> bool {
        let Some(last) = self.last_report_at else {
            return self.has_quotas();
        };
        let elapsed = now.saturating_sub(last);
        // A report without an answer is repeated soon, likely at another node. The totals grow old meanwhile.
        let interval = if self.unanswered_since.is_some() {
            MIN_REPORT_INTERVAL
        } else {
            REPORT_INTERVAL
        };
        let is_surge = |bucket: &WorkspaceBucket| {
            let is_low = bucket.level < SURGE_LEVEL * bucket.size * self.covered;
            bucket.extras >= if is_low { 1 } else { SURGE_EXTRAS }
        };
        let is_changed = |bucket: &WorkspaceBucket| {
            bucket.admitted != bucket.acknowledged
                || bucket.reported_demand > 0
                || bucket.demand.sum(now) > 0
        };
        let is_any = |is: &dyn Fn(&WorkspaceBucket) -> bool| self.buckets.iter().any(is);
        elapsed >= interval
            && self.has_quotas()
            && (self.totals_at.is_none() || is_any(&is_changed))
            || elapsed >= MIN_REPORT_INTERVAL && is_any(&is_surge)
    }

    /// Returns the counts for a report to a collector, the process that acknowledged the last one and the
    /// number of the last totals. `is_new_collector` tells whether the report goes to another node than the
    /// last one.
    pub fn report(
        &mut self,
        now: Duration,
        is_new_collector: bool,
    ) -> (Vec<WorkspaceCount>, u64, u64) {
        self.last_report_at = Some(now);
        self.unanswered_since.get_or_insert(now);
        let is_full = is_new_collector || self.is_full_report_due;
        let counts = self.buckets.iter().filter_map(|bucket| {
            let demand = bucket.demand.sum(now);
            let is_changed =
                bucket.admitted != bucket.acknowledged || demand != bucket.reported_demand;
            #[allow(
                clippy::cast_possible_truncation,
                reason = "the precision of a float of 32 bits suffices for a level"
            )]
            let level = (is_full && bucket.is_level_known)
                // Without the refill since then, which is likely to have been used.
                .then_some(bucket.level as f32);
            (is_changed || is_full && (demand > 0 || level.is_some())).then(|| WorkspaceCount {
                workspace: bucket.workspace.clone(),
                acknowledged: bucket.acknowledged,
                admitted: bucket.admitted,
                demand,
                level,
            })
        });
        (counts.collect(), self.acknowledged_by, self.since)
    }

    /// Applies the response to a report with these counts.
    pub fn on_totals(&mut self, now: Duration, counts: &[WorkspaceCount], totals: &UsageTotals) {
        // A collector that does not know this node has only the counts that have changed.
        self.is_full_report_due = totals.run != self.acknowledged_by;
        self.acknowledged_by = totals.run;
        self.since = totals.sequence;
        self.totals_at = Some(now);
        self.awaits_totals_since = None;
        self.unanswered_since = None;
        self.covered = f64::from(totals.covered).clamp(0.0, 1.0);
        for count in counts {
            if let Ok(index) = self.index(&count.workspace) {
                let bucket = &mut self.buckets[index];
                bucket.acknowledged = count.admitted;
                bucket.reported_demand = count.demand;
            }
        }
        let covered_nodes = self.covered_nodes();
        let covered = self.covered;
        for bucket in &mut self.buckets {
            let known = &totals.totals;
            let total = known.binary_search_by(|total| total.workspace.cmp(&bucket.workspace));
            let demand = if let Ok(index) = total {
                bucket.level = f64::from(known[index].level);
                bucket.is_level_known = true;
                Some(known[index].demand)
            } else {
                bucket.level = bucket.level_now(now, covered);
                None
            };
            bucket.level_at = now;
            bucket.on_totals(now, demand, covered_nodes);
        }
    }

    fn count_demand(&mut self, now: Duration, index: usize) {
        self.buckets[index].demand.count(now);
        self.awaits_totals_since.get_or_insert(now);
    }

    /// Whether newer totals should have arrived. Totals of a node without requests are old because there was no
    /// reason to ask for newer ones, and its first request asks for them.
    fn awaits_totals(&self, now: Duration) -> bool {
        let since = self.awaits_totals_since;
        since.is_some_and(|since| now.saturating_sub(since) > FIRST_TOTALS_TIME)
    }

    /// How far the share has shrunk since the totals are old: to the equal share at 1, to a part of the
    /// tolerance at 2.
    fn shrunk(&self, now: Duration) -> f64 {
        let Some(age) = self.totals_age(now) else {
            // A new process begins at the equal share.
            return 1.0;
        };
        if !self.awaits_totals(now) {
            return 0.0;
        }
        let part = |from: Duration, to: Duration| {
            let over = age.saturating_sub(from).as_secs_f64();
            (over / to.saturating_sub(from).as_secs_f64()).min(1.0)
        };
        part(STALE_AGE, EQUAL_AGE) + part(LAST_EQUAL_AGE, LOST_AGE)
    }

    /// Number of nodes that the totals cover.
    fn covered_nodes(&self) -> f64 {
        (as_f64(self.nodes) * self.covered).max(1.0)
    }

    fn index(&self, workspace: &WorkspaceName) -> Result<usize, usize> {
        self.buckets
            .binary_search_by(|bucket| bucket.workspace.cmp(workspace))
    }
}

impl WorkspaceBucket {
    /// Adds the tokens since the last request. Returns the rate at which they are added.
    fn refill(&mut self, now: Duration, nodes: f64, shrunk: f64, covered: f64) -> f64 {
        let equal = 1.0 / nodes;
        let to_equal = shrunk.min(1.0);
        let mut share = self.share * covered;
        share += (equal - share) * to_equal;
        share *= 1.0 - (1.0 - self.lost_factor) * (shrunk - to_equal);
        let rate = self.quota.rate.per_s() * share;
        let elapsed = now.saturating_sub(self.tokens_at).as_secs_f64();
        self.tokens = (self.tokens + rate * elapsed).min(self.size * share);
        self.tokens_at = now;
        rate
    }

    /// Whether the share of this node is large enough to admit requests, and the fleet's demand is clearly larger than
    /// the quota, or is no longer known.
    fn is_held_to_share(&self, is_answered: bool) -> bool {
        let quota = self.quota.rate.per_s() * DEMAND_WINDOW.as_secs_f64();
        let is_large = f64::from(self.fleet_demand) > EXTRA_DEMAND * quota + EXTRA_DEMAND_SLACK;
        (is_large || !is_answered) && self.size * self.share >= 1.0
    }

    fn level_now(&self, now: Duration, covered: f64) -> f64 {
        let elapsed = now.saturating_sub(self.level_at).as_secs_f64();
        let added = self.quota.rate.per_s() * covered * elapsed;
        // A level above the size is that of a larger part of the fleet and shrinks at the collector.
        (self.level + added).min((self.size * covered).max(self.level))
    }

    fn on_totals(&mut self, now: Duration, fleet_demand: Option<u32>, nodes: f64) {
        if let Some(fleet_demand) = fleet_demand {
            self.fleet_demand = fleet_demand;
            let own = f64::from(self.reported_demand);
            let fleet = f64::from(fleet_demand).max(own);
            self.has_demand_share = fleet > 0.0;
            self.share = if self.has_demand_share {
                (own + EVEN_DEMAND * fleet / nodes) / (fleet * (1.0 + EVEN_DEMAND))
            } else {
                1.0 / nodes
            };
        }
        #[allow(
            clippy::cast_precision_loss,
            reason = "requests within one report interval"
        )]
        let unreported = (self.admitted - self.acknowledged) as f64;
        self.tokens = self.level * self.share - unreported;
        self.tokens_at = now;
        let unreported = u32::try_from(self.admitted - self.acknowledged).unwrap_or(0);
        self.extras = self.extras.min(unreported);
    }
}

#[allow(clippy::cast_precision_loss, reason = "a number of nodes")]
fn as_f64(nodes: usize) -> f64 {
    nodes as f64
}
