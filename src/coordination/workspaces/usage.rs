//! Counts of the requests of workspaces with a quota, and the collector of a failure domain. See
//! `docs/design/quotas.md`.
//!
//! The nodes of a failure domain report to one collector, and the collectors of all domains exchange their
//! sums. Each collector keeps the level of the fleet's token bucket for each workspace. Counts are cumulative,
//! so that a lost or repeated message does no harm.

use std::time::Duration;

use crate::coordination::workspaces::quota::LOST_AGE;
use crate::coordination::workspaces::quota::MIN_REPORT_INTERVAL;
use crate::coordination::workspaces::quota::QuotaBounds;
use crate::protocol::mesh::Quota;
use crate::protocol::mesh::Workspace;
use crate::protocol::name::DomainName;
use crate::protocol::name::NodeId;
use crate::protocol::name::WorkspaceName;
use crate::protocol::time::millis;
use crate::protocol::usage::DomainUsage;
use crate::protocol::usage::UsageReport;
use crate::protocol::usage::UsageTotals;
use crate::protocol::usage::WorkspaceSum;
use crate::protocol::usage::WorkspaceTotal;

/// Time over which demand is counted.
pub const DEMAND_WINDOW: Duration = Duration::from_secs(2);
const BUCKETS: usize = 8;
/// Time between two exchanges of two failure domains.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_millis(320);
/// Age of the sums of another failure domain from which on it is assumed to use its equal share. One lost
/// exchange is tolerated.
const DOMAIN_STALE_AGE: Duration = Duration::from_millis(800);
/// Time for which a node that did not answer is not tried; doubled after each failure.
const FIRST_AVOID_TIME: Duration = Duration::from_secs(4);
/// Longest such time.
const MAX_AVOID_TIME: Duration = Duration::from_secs(8);
/// The same for a node that is not the collector of its failure domain, which it may become soon.
const RETRY_TIME: Duration = Duration::from_millis(200);
/// Time without a report after which a collector no longer exchanges sums.
const ACTIVE_TIME: Duration = Duration::from_secs(1);
/// Time without a report after which the demand of a node no longer counts; nodes report until their
/// demand is zero. From then on until [`LOST_AGE`] the node is assumed to use its equal share.
const NODE_EXPIRY: Duration = Duration::from_secs(1);
/// Largest debt, as a share of what a window admits, so that a wrong count ends soon.
const MAX_DEBT: f64 = 0.3;
/// Time after which the sums of a silent collector are forgotten.
const FORGET_COLLECTOR: Duration = Duration::from_secs(10);
/// Time after which the counts of a silent node are forgotten.
const FORGET_NODE: Duration = Duration::from_mins(1);
/// Difference of a level from the one that nodes expect, as a share of the bucket, from which on it is sent.
const LEVEL_CHANGE: f64 = 0.02;
/// The same for the demand.
const DEMAND_CHANGE: f64 = 0.1;
/// Use of a bucket since the last exchange, as a share of it, from which on the next one is brought forward.
const SURGE_USE: f64 = 0.1;

/// Requests within [`DEMAND_WINDOW`].
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandWindow {
    buckets: [(u64, u32); BUCKETS],
}

impl DemandWindow {
    /// Counts a request.
    pub fn count(&mut self, now: Duration) {
        let number = Self::number(now);
        let slot = usize::try_from(number % BUCKETS as u64).unwrap_or_default();
        let bucket = &mut self.buckets[slot];
        if bucket.0 != number {
            *bucket = (number, 0);
        }
        bucket.1 = bucket.1.saturating_add(1);
    }

    /// Returns the number of requests in the window.
    #[must_use]
    pub fn sum(&self, now: Duration) -> u32 {
        let oldest = (Self::number(now) + 1).saturating_sub(BUCKETS as u64);
        let buckets = self.buckets.iter();
        let in_window = buckets.filter(|bucket| bucket.0 >= oldest);
        in_window.fold(0, |sum, bucket| sum.saturating_add(bucket.1))
    }

    fn number(now: Duration) -> u64 {
        let length = DEMAND_WINDOW.as_millis() / BUCKETS as u128;
        // Numbers begin at one; zero marks an empty bucket.
        u64::try_from(now.as_millis() / length).unwrap_or(u64::MAX - 1) + 1
    }
}

/// Cumulative admitted requests and demand of a workspace at a node or in a failure domain.
#[derive(Clone, Debug)]
struct KnownCount {
    workspace: WorkspaceName,
    admitted: i64,
    demand: u32,
}

#[derive(Debug)]
struct CollectedWorkspace {
    workspace: WorkspaceName,
    quota: Quota,
    size: f64,
    level: f64,
    level_at: Duration,
    /// Requests admitted in the nodes that report, since the beginning of the term.
    admitted: i64,
    demand: u32,
    /// Number of the last change of the sum of this domain.
    sum_changed: u64,
    /// Admitted requests since the last exchange.
    unsent: i64,
    /// Number of the last change of the totals, and the totals of then.
    total_changed: u64,
    published_level: f64,
    published_at: Duration,
    published_demand: u32,
}

#[derive(Debug)]
struct CollectedNode {
    node: NodeId,
    run: u64,
    heard_at: Duration,
    /// Whether the use since its last report has been estimated.
    is_charged: bool,
    /// Sorted by workspace.
    counts: Vec<KnownCount>,
}

impl CollectedNode {
    /// Whether the node no longer reports, although it had a demand, and may still admit requests.
    fn is_lost(&self, now: Duration) -> bool {
        let silent = now.saturating_sub(self.heard_at);
        let had_demand = self.counts.iter().any(|count| count.demand > 0);
        had_demand && silent > NODE_EXPIRY && silent <= LOST_AGE
    }
}

/// Collector of another failure domain. For a short time there may be several, with counts of different
/// nodes.
#[derive(Debug)]
struct PeerCollector {
    term: u64,
    clock_ms: u64,
    sequence: u64,
    heard_at: Duration,
    lost_nodes: usize,
    /// Sums of this domain that the other collector has.
    acknowledged: u64,
    /// Sorted by workspace.
    sums: Vec<KnownCount>,
}

impl PeerCollector {
    fn is_fresh(&self, now: Duration) -> bool {
        now.saturating_sub(self.heard_at) <= DOMAIN_STALE_AGE
    }
}

#[derive(Debug)]
struct PeerDomain {
    domain: DomainName,
    nodes: usize,
    /// Whether tokens have been taken for the time before the domain was known to be out of contact.
    is_charged: bool,
    tried_at: Option<Duration>,
    /// Collectors, in the order in which they were last heard of.
    collectors: Vec<PeerCollector>,
}

impl PeerDomain {
    fn heard_at(&self) -> Option<Duration> {
        self.collectors.last().map(|collector| collector.heard_at)
    }

    /// Whether the domain had no demand when it was last heard of. Its collector then stops to exchange sums.
    fn is_idle(&self) -> bool {
        let mut sums = self.collectors.iter().flat_map(|known| &known.sums);
        sums.all(|sum| sum.demand == 0)
    }

    fn fresh(&self, now: Duration) -> impl Iterator<Item = &PeerCollector> {
        let collectors = self.collectors.iter();
        collectors.filter(move |collector| collector.is_fresh(now))
    }
}

/// Collector of a failure domain. Every node has one; it is idle until nodes report to it.
#[derive(Debug)]
pub struct Collector {
    domain: DomainName,
    run: u64,
    /// Id of the time since which nodes have reported without a gap; the sums begin with it.
    term: u64,
    bounds: QuotaBounds,
    /// Sorted by workspace.
    workspaces: Vec<CollectedWorkspace>,
    /// Sorted by node.
    nodes: Vec<CollectedNode>,
    /// Other failure domains, sorted by name.
    domains: Vec<PeerDomain>,
    own_nodes: usize,
    sequence: u64,
    reported_at: Option<Duration>,
}

impl Collector {
    /// Creates a collector for a failure domain. `run` is the random id of the process.
    #[must_use]
    pub fn new(domain: DomainName, run: u64, bounds: QuotaBounds) -> Self {
        Self {
            domain,
            run,
            term: run,
            bounds,
            workspaces: Vec::new(),
            nodes: Vec::new(),
            domains: Vec::new(),
            own_nodes: 1,
            sequence: 0,
            reported_at: None,
        }
    }

    /// Applies the workspaces of a configuration, sorted by name.
    pub fn set_workspaces(&mut self, now: Duration, workspaces: &[Workspace]) {
        let mut before = std::mem::take(&mut self.workspaces);
        self.sequence += 1;
        for workspace in workspaces {
            let Some(quota) = workspace.quota else {
                continue;
            };
            let size = self.bounds.size(quota);
            let known = before.binary_search_by(|known| known.workspace.cmp(&workspace.name));
            let collected = if let Ok(index) = known {
                let mut known = before.remove(index);
                known.level = known.level.min(size);
                CollectedWorkspace {
                    quota,
                    size,
                    total_changed: self.sequence,
                    ..known
                }
            } else {
                CollectedWorkspace {
                    workspace: workspace.name.clone(),
                    quota,
                    size,
                    level: size,
                    level_at: now,
                    admitted: 0,
                    demand: 0,
                    sum_changed: 0,
                    unsent: 0,
                    total_changed: self.sequence,
                    published_level: size,
                    published_at: now,
                    published_demand: 0,
                }
            };
            self.workspaces.push(collected);
        }
    }

    /// Applies the numbers of nodes of all failure domains, sorted by name.
    pub fn set_domains(&mut self, domains: &[(DomainName, usize)]) {
        let mut before = std::mem::take(&mut self.domains);
        for (domain, nodes) in domains {
            if *domain == self.domain {
                self.own_nodes = *nodes;
                continue;
            }
            let known = before.binary_search_by(|known| known.domain.cmp(domain));
            let peer = if let Ok(index) = known {
                let known = before.remove(index);
                PeerDomain {
                    nodes: *nodes,
                    ..known
                }
            } else {
                PeerDomain {
                    domain: domain.clone(),
                    nodes: *nodes,
                    is_charged: false,
                    tried_at: None,
                    collectors: Vec::new(),
                }
            };
            self.domains.push(peer);
        }
    }

    /// Whether nodes report to this collector.
    #[must_use]
    pub fn is_active(&self, now: Duration) -> bool {
        self.reported_at
            .is_some_and(|at| now.saturating_sub(at) <= ACTIVE_TIME)
    }

    /// Applies the report of a node of this failure domain. Returns the fleet's totals.
    pub fn on_report(&mut self, now: Duration, report: &UsageReport) -> UsageTotals {
        self.sequence += 1;
        self.advance(now);
        if !self.is_active(now) {
            // Other collectors may have forgotten the sums of an earlier time, or count them as new.
            self.term = self.term.wrapping_add(1);
            for workspace in &mut self.workspaces {
                workspace.admitted = 0;
                workspace.sum_changed = self.sequence;
            }
        }
        self.reported_at = Some(now);
        let at = match self
            .nodes
            .binary_search_by(|known| known.node.cmp(&report.node))
        {
            Ok(index) => index,
            Err(index) => {
                let node = CollectedNode {
                    node: report.node.clone(),
                    run: report.run,
                    heard_at: now,
                    is_charged: false,
                    counts: Vec::new(),
                };
                self.nodes.insert(index, node);
                index
            }
        };
        let node = &mut self.nodes[at];
        if node.run != report.run {
            node.run = report.run;
            node.counts.clear();
        }
        node.heard_at = now;
        node.is_charged = false;
        let is_continued = report.acknowledged_by == self.run;
        for count in &report.counts {
            let known = node
                .counts
                .binary_search_by(|known| known.workspace.cmp(&count.workspace));
            let base = match known {
                // The response to the last report may have been lost.
                Ok(index) if is_continued => node.counts[index].admitted,
                _ => count.acknowledged,
            };
            let counted = KnownCount {
                workspace: count.workspace.clone(),
                admitted: count.admitted,
                demand: count.demand,
            };
            match known {
                Ok(index) => node.counts[index] = counted,
                Err(index) => node.counts.insert(index, counted),
            }
            let workspaces = &mut self.workspaces;
            if let Ok(index) =
                workspaces.binary_search_by(|known| known.workspace.cmp(&count.workspace))
            {
                let workspace = &mut workspaces[index];
                if let (Some(level), false) = (count.level, is_continued) {
                    workspace.level = workspace.level.min(f64::from(level));
                }
                let added = count.admitted.saturating_sub(base);
                workspace.admitted += added;
                workspace.unsent += added;
                workspace.use_tokens(added, &self.bounds);
                workspace.sum_changed = self.sequence;
            }
        }
        self.sum_demand(now);
        self.publish(now);
        self.totals(now, is_continued.then_some(report.since))
    }

    /// Returns the domains with which sums have to be exchanged, with the message for each.
    pub fn due_exchanges(&mut self, now: Duration) -> Vec<(DomainName, DomainUsage)> {
        if !self.is_active(now) {
            return Vec::new();
        }
        self.advance(now);
        let is_surge = self
            .workspaces
            .iter()
            .any(|workspace| as_f64(workspace.unsent) > (SURGE_USE * workspace.size).max(2.0));
        let interval = if is_surge {
            MIN_REPORT_INTERVAL
        } else {
            EXCHANGE_INTERVAL
        };
        let is_due = |at: Option<Duration>| at.is_none_or(|at| now.saturating_sub(at) >= interval);
        let mut due = Vec::new();
        for index in 0..self.domains.len() {
            let peer = &mut self.domains[index];
            if is_due(peer.tried_at) && is_due(peer.heard_at()) {
                peer.tried_at = Some(now);
                let name = peer.domain.clone();
                due.push((name, self.message(now, index)));
            }
        }
        if !due.is_empty() {
            for workspace in &mut self.workspaces {
                workspace.unsent = 0;
            }
        }
        due
    }

    /// Applies the sums of another failure domain, and returns those of this one.
    pub fn on_exchange(&mut self, now: Duration, usage: &DomainUsage) -> Option<DomainUsage> {
        let index = self.on_sums(now, usage)?;
        Some(self.message(now, index))
    }

    /// Applies the response to an exchange.
    pub fn on_exchange_response(&mut self, now: Duration, usage: &DomainUsage) {
        self.on_sums(now, usage);
    }

    /// Handles an exchange without a response; another node of the domain can be tried at once.
    pub fn on_exchange_failed(&mut self, domain: &DomainName) {
        if let Some(peer) = self.domains.iter_mut().find(|peer| peer.domain == *domain) {
            peer.tried_at = None;
        }
    }

    fn on_sums(&mut self, now: Duration, usage: &DomainUsage) -> Option<usize> {
        let domains = &self.domains;
        let index = domains
            .binary_search_by(|known| known.domain.cmp(&usage.domain))
            .ok()?;
        self.advance(now);
        let peer = &mut self.domains[index];
        let was_fresh = peer.fresh(now).next().is_some();
        let known = &mut peer.collectors;
        let position = known.iter().position(|known| known.term == usage.term);
        let mut collector = match position {
            Some(position) if usage.sequence < known[position].sequence => return Some(index),
            Some(position) => known.remove(position),
            None => PeerCollector {
                term: usage.term,
                clock_ms: usage.clock_ms,
                sequence: 0,
                heard_at: now,
                lost_nodes: 0,
                acknowledged: 0,
                sums: Vec::new(),
            },
        };
        // The sums of a collector that has just taken over are counted whole. After a gap, which either
        // process may have spent paused, the use of the other domain has been assumed already; then its level
        // is taken if it is lower.
        let elapsed_there = usage.clock_ms.saturating_sub(collector.clock_ms);
        let is_continued = was_fresh
            && collector.is_fresh(now)
            && Duration::from_millis(elapsed_there) <= DOMAIN_STALE_AGE;
        known.retain(|known| now.saturating_sub(known.heard_at) <= FORGET_COLLECTOR);
        peer.is_charged = false;
        collector.clock_ms = usage.clock_ms;
        collector.sequence = usage.sequence;
        collector.heard_at = now;
        collector.lost_nodes = usage.lost_nodes;
        collector.acknowledged = if usage.known_term == self.term {
            usage.known_sequence
        } else {
            0
        };
        for sum in &usage.sums {
            let known = collector
                .sums
                .binary_search_by(|known| known.workspace.cmp(&sum.workspace));
            let before = match known {
                Ok(index) => collector.sums[index].admitted,
                Err(_) => 0,
            };
            let counted = KnownCount {
                workspace: sum.workspace.clone(),
                admitted: sum.admitted,
                demand: sum.demand,
            };
            match known {
                Ok(index) => collector.sums[index] = counted,
                Err(index) => collector.sums.insert(index, counted),
            }
            let workspaces = &mut self.workspaces;
            if let Ok(index) =
                workspaces.binary_search_by(|known| known.workspace.cmp(&sum.workspace))
            {
                let workspace = &mut workspaces[index];
                if is_continued {
                    let added = sum.admitted.saturating_sub(before);
                    workspace.use_tokens(added, &self.bounds);
                } else {
                    workspace.level = workspace.level.min(f64::from(sum.level));
                }
            }
        }
        peer.collectors.push(collector);
        Some(index)
    }

    /// Returns the sums that another domain does not have yet.
    fn message(&self, now: Duration, index: usize) -> DomainUsage {
        let peer = self.domains[index].collectors.last();
        let acknowledged = peer.map_or(0, |peer| peer.acknowledged);
        let workspaces = self.workspaces.iter();
        let changed = workspaces.filter(|workspace| workspace.sum_changed > acknowledged);
        #[allow(
            clippy::cast_possible_truncation,
            reason = "the precision of a float of 32 bits suffices for a level"
        )]
        let sums = changed.map(|workspace| WorkspaceSum {
            workspace: workspace.workspace.clone(),
            admitted: workspace.admitted,
            demand: workspace.demand,
            level: workspace.level as f32,
        });
        DomainUsage {
            domain: self.domain.clone(),
            term: self.term,
            clock_ms: millis(now),
            sequence: self.sequence,
            lost_nodes: self.lost_nodes(now),
            known_term: peer.map_or(0, |peer| peer.term),
            known_sequence: peer.map_or(0, |peer| peer.sequence),
            sums: sums.collect(),
        }
    }

    fn lost_nodes(&self, now: Duration) -> usize {
        self.nodes.iter().filter(|node| node.is_lost(now)).count()
    }

    /// Share of the fleet's nodes whose domains are in contact.
    fn covered(&self, now: Duration) -> f64 {
        let present = self.own_nodes.saturating_sub(self.lost_nodes(now));
        let (mut fresh, mut all) = (present, self.own_nodes);
        for peer in &self.domains {
            all += peer.nodes;
            if let Some(lost) = peer.fresh(now).map(|known| known.lost_nodes).max() {
                fresh += peer.nodes.saturating_sub(lost);
            }
        }
        as_f64(i64::try_from(fresh).unwrap_or(i64::MAX))
            / as_f64(i64::try_from(all.max(1)).unwrap_or(i64::MAX))
    }

    /// Refills the buckets. Domains that are out of contact are assumed to use their equal share.
    fn advance(&mut self, now: Duration) {
        // Without traffic in this domain there are no exchanges either, which says nothing about the others.
        let is_active = self.is_active(now);
        let covered = if is_active { self.covered(now) } else { 1.0 };
        let mut charged_s = 0.0;
        if is_active {
            charged_s = self.charge_stale_domains(now);
            self.charge_lost_nodes(now);
        }
        for workspace in &mut self.workspaces {
            workspace.level -= charged_s * workspace.quota.rate.per_s();
            let elapsed = now.saturating_sub(workspace.level_at).as_secs_f64();
            let added = workspace.quota.rate.per_s() * elapsed;
            let size = workspace.size * covered;
            workspace.level = if workspace.level > size {
                (workspace.level - added * (1.0 - covered)).max(size)
            } else {
                (workspace.level + added * covered).min(size)
            };
            workspace.level_at = now;
        }
    }

    /// Returns what domains that have just gone out of contact are assumed to have used since their last
    /// sums, in seconds of the quota.
    fn charge_stale_domains(&mut self, now: Duration) -> f64 {
        let peers = self.domains.iter().map(|peer| peer.nodes);
        let all = as_f64(i64::try_from(self.own_nodes + peers.sum::<usize>()).unwrap_or(i64::MAX));
        let mut charged_s = 0.0;
        for peer in &mut self.domains {
            let Some(heard_at) = peer.heard_at() else {
                continue;
            };
            let silent = now.saturating_sub(heard_at);
            if silent <= DOMAIN_STALE_AGE || peer.is_charged {
                continue;
            }
            peer.is_charged = true;
            // After a longer time there was no traffic that asked for sums, nor for those of an idle domain.
            if silent <= 2 * DOMAIN_STALE_AGE && !peer.is_idle() {
                let nodes = as_f64(i64::try_from(peer.nodes).unwrap_or(i64::MAX));
                charged_s += nodes / all * silent.as_secs_f64();
            }
        }
        charged_s
    }

    /// Counts what nodes that are lost may have admitted since their last reports, in the sums as well.
    fn charge_lost_nodes(&mut self, now: Duration) {
        let mut silent_s = 0.0;
        for node in &mut self.nodes {
            if node.is_lost(now) && !node.is_charged {
                node.is_charged = true;
                silent_s += now.saturating_sub(node.heard_at).as_secs_f64();
            }
        }
        if silent_s == 0.0 {
            return;
        }
        let peers = self.domains.iter().map(|peer| peer.nodes);
        let all = as_f64(i64::try_from(self.own_nodes + peers.sum::<usize>()).unwrap_or(i64::MAX));
        for workspace in &mut self.workspaces {
            #[allow(
                clippy::cast_possible_truncation,
                reason = "a small number of requests"
            )]
            let used = (workspace.quota.rate.per_s() * silent_s / all) as i64;
            workspace.admitted += used;
            workspace.sum_changed = self.sequence;
            workspace.use_tokens(used, &self.bounds);
        }
    }

    fn sum_demand(&mut self, now: Duration) {
        self.nodes
            .retain(|node| now.saturating_sub(node.heard_at) <= FORGET_NODE);
        for workspace in &mut self.workspaces {
            let nodes = self.nodes.iter();
            let live = nodes.filter(|node| now.saturating_sub(node.heard_at) <= NODE_EXPIRY);
            let demand = live.map(|node| demand_of(&node.counts, &workspace.workspace));
            let demand = demand.fold(0, u32::saturating_add);
            if demand != workspace.demand {
                workspace.demand = demand;
                workspace.sum_changed = self.sequence;
            }
        }
    }

    /// Marks the totals that differ from what the nodes expect.
    fn publish(&mut self, now: Duration) {
        let covered = self.covered(now);
        for index in 0..self.workspaces.len() {
            let demand = self.fleet_demand(now, index);
            let workspace = &mut self.workspaces[index];
            let elapsed = now.saturating_sub(workspace.published_at).as_secs_f64();
            let expected =
                workspace.published_level + workspace.quota.rate.per_s() * covered * elapsed;
            let difference = (expected.min(workspace.size * covered) - workspace.level).abs();
            let is_changed = difference > LEVEL_CHANGE * workspace.size
                || f64::from(demand.abs_diff(workspace.published_demand))
                    > DEMAND_CHANGE * f64::from(demand);
            if is_changed {
                workspace.total_changed = self.sequence;
                workspace.published_level = workspace.level;
                workspace.published_at = now;
                workspace.published_demand = demand;
            }
        }
    }

    fn fleet_demand(&self, now: Duration, index: usize) -> u32 {
        let workspace = &self.workspaces[index];
        let fresh = self.domains.iter().flat_map(|peer| peer.fresh(now));
        let demand = fresh.map(|peer| demand_of(&peer.sums, &workspace.workspace));
        demand.fold(workspace.demand, u32::saturating_add)
    }

    fn totals(&self, now: Duration, since: Option<u64>) -> UsageTotals {
        let covered = self.covered(now);
        let workspaces = self.workspaces.iter().enumerate();
        let changed = workspaces
            .filter(|(_, workspace)| since.is_none_or(|since| workspace.total_changed > since));
        #[allow(
            clippy::cast_possible_truncation,
            reason = "the precision of a float of 32 bits suffices for a level"
        )]
        let totals = changed.map(|(index, workspace)| WorkspaceTotal {
            workspace: workspace.workspace.clone(),
            // The domains out of contact may use the rest of the level.
            level: workspace.level.min(workspace.size * covered) as f32,
            demand: self.fleet_demand(now, index),
        });
        #[allow(
            clippy::cast_possible_truncation,
            reason = "the precision of a float of 32 bits suffices for a share"
        )]
        UsageTotals {
            run: self.run,
            sequence: self.sequence,
            covered: covered as f32,
            totals: totals.collect(),
        }
    }
}

impl CollectedWorkspace {
    /// Takes tokens for admitted requests.
    fn use_tokens(&mut self, requests: i64, bounds: &QuotaBounds) {
        let lowest = -MAX_DEBT * bounds.within_quota(self.quota);
        let highest = self.size.max(self.level);
        self.level = (self.level - as_f64(requests)).clamp(lowest, highest);
    }
}

fn demand_of(counts: &[KnownCount], workspace: &WorkspaceName) -> u32 {
    let known = counts.binary_search_by(|known| known.workspace.cmp(workspace));
    known.map_or(0, |index| counts[index].demand)
}

#[allow(clippy::cast_precision_loss, reason = "a number of requests")]
fn as_f64(number: i64) -> f64 {
    number as f64
}

/// Returns the positions of a list in the order in which its nodes are tried: the first two, the last one, the one
/// in the middle, and those between at ever smaller distances. Nodes next to each other in the list are likely to
/// fail together, and each that has failed costs a time limit. Positions may be repeated.
fn trial_order(nodes: usize) -> impl Iterator<Item = usize> {
    let ends = [0, 1.min(nodes.saturating_sub(1)), nodes.saturating_sub(1)];
    let parts = (1..usize::BITS).map(|halvings| 1_usize << halvings);
    let parts = parts.take_while(move |parts| *parts < 2 * nodes);
    let between = parts.flat_map(move |parts| {
        let odd = (1..parts).step_by(2);
        odd.map(move |part| part * nodes / parts)
    });
    let ends = ends.into_iter().filter(move |_| nodes > 0);
    ends.chain(between).chain(0..nodes)
}

/// Choice of the collector of a failure domain: the first node that answers, in an order that all nodes share.
#[derive(Debug, Default)]
pub struct CollectorChoice {
    failed: Vec<FailedNode>,
}

#[derive(Debug)]
struct FailedNode {
    node: NodeId,
    failures: u32,
    until: Duration,
}

impl CollectorChoice {
    /// Chooses among the nodes of a failure domain, given in an order that all nodes share. If all have
    /// failed, the one whose time ends first is tried.
    pub fn choose<'a>(
        &self,
        now: Duration,
        nodes: impl Iterator<Item = &'a NodeId>,
    ) -> Option<&'a NodeId> {
        let until = |node: &NodeId| {
            self.find(node)
                .map_or(Duration::ZERO, |failed| failed.until)
        };
        let nodes: Vec<_> = nodes.collect();
        let mut ordered = trial_order(nodes.len()).map(|index| nodes[index]);
        let usable = ordered.find(|node| until(node) <= now);
        usable.or_else(|| nodes.iter().copied().min_by_key(|node| until(node)))
    }

    /// Whether a node has failed a short time ago.
    #[must_use]
    pub fn is_avoided(&self, now: Duration, node: &NodeId) -> bool {
        self.find(node).is_some_and(|failed| failed.until > now)
    }

    /// Handles a node that did not answer.
    pub fn on_failed(&mut self, now: Duration, node: &NodeId) {
        let failures = self.find(node).map_or(0, |failed| failed.failures);
        let avoided = FIRST_AVOID_TIME.saturating_mul(1 << failures.min(8));
        self.avoid(node, failures + 1, now + avoided.min(MAX_AVOID_TIME));
    }

    /// Handles a node that answered that it is not the collector of its failure domain.
    pub fn on_not_collecting(&mut self, now: Duration, node: &NodeId) {
        self.avoid(node, 0, now + RETRY_TIME);
    }

    /// Handles a node that answered.
    pub fn on_answered(&mut self, node: &NodeId) {
        self.failed.retain(|failed| failed.node != *node);
    }

    fn avoid(&mut self, node: &NodeId, failures: u32, until: Duration) {
        self.on_answered(node);
        let node = node.clone();
        self.failed.push(FailedNode {
            node,
            failures,
            until,
        });
    }

    fn find(&self, node: &NodeId) -> Option<&FailedNode> {
        self.failed.iter().find(|failed| failed.node == *node)
    }
}
