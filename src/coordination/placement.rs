//! Choice of the serving node for a call on the platform. See `docs/platform.md`, "Placement".
//!
//! The node with the least expected cost wins. Its time is the way there, the wait for a slot, and
//! the run time by the node's measured speed; time beyond the latency objective counts more. Bytes
//! between failure domains and regions are billed, so they cost a part of the objective, by the
//! measured size of the route's answers: a call that is in time nearby does not leave its failure
//! domain. Figures lose weight with their age, so that a node that once looked bad is tried again.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::coordination::backoff::doubled;
use crate::coordination::slot_queue::COLD_FACTOR;
use crate::coordination::slot_queue::UNKNOWN_RUN_SHARE;
use crate::protocol::fleet::BackendPhase;
use crate::protocol::fleet::BackendReport;
use crate::protocol::fleet::FleetEntry;
use crate::protocol::hop::Load;
use crate::protocol::hop::Tally;
use crate::protocol::name::DomainName;
use crate::protocol::name::NodeId;
use crate::protocol::name::RegionName;
use crate::protocol::name::RouteName;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;

/// Time for a hop to another node of the own failure domain: a second parse and the way.
const SAME_DOMAIN_MS: f64 = 2.0;
/// The same to another failure domain of the region, about 1 ms away.
const OTHER_DOMAIN_MS: f64 = 4.0;
/// The same to another region, about 8 ms away.
const OTHER_REGION_MS: f64 = 20.0;
/// Part of the objective that a kilobyte between failure domains of a region costs.
const OTHER_DOMAIN_KB_SHARE: f64 = 0.06;
/// Part of the objective that a kilobyte between regions costs; those links are narrow and shared.
const OTHER_REGION_KB_SHARE: f64 = 0.10;
/// Largest part of the objective that bytes cost. A call that would be late nearby goes further.
const MAX_BYTES_SHARE: f64 = 0.6;
/// Bytes of heads and of the request that come on top of the body of an answer, kilobytes.
const HEADS_KB: f64 = 0.7;
/// Size that is assumed for the answers of a route without answers, kilobytes.
const UNKNOWN_ANSWER_KB: f64 = 1.0;
/// Part of the objective from which an expected time counts as late: run times spread.
const LATE_SHARE: f64 = 0.75;
/// Factor on the expected time beyond that part.
const LATE_FACTOR: f64 = 2.0;
/// Answers of a route from which on its run time can be foretold.
const MIN_ANSWERS: u32 = 20;
/// Weight of one answer in a node's speed.
const SPEED_WEIGHT: f64 = 0.1;
/// Least weight of one answer in the means of its route, which change less than a node's speed.
const MEAN_WEIGHT: f64 = 0.03;
/// Weight of one result in a node's failure rate.
const FAILURE_WEIGHT: f64 = 0.15;
/// Time in which a failure rate halves without results.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Run times that a certain failure costs; the caller has to start again elsewhere.
const FAILURE_RUNS: f64 = 8.0;
/// The same for a call that is not idempotent, which is lost by most failures.
const FAILURE_RUNS_NOT_IDEMPOTENT: f64 = 12.0;
/// Age at which a load figure has lost all its weight.
const LOAD_LIFETIME: Duration = Duration::from_secs(1);
/// Share of the slots from which backend servers become slower.
const BUSY_SHARE: f64 = 0.75;
/// Slowdown of a backend server whose slots are all used, in run times.
const FULL_SLOWDOWN: f64 = 0.6;
/// Random part of a score, so that nodes with the same figures do not choose alike.
const JITTER: f64 = 0.1;
/// First pause after a node could not be reached or had no backend server; doubled each time.
const PAUSE_BASE: Duration = Duration::from_millis(200);
/// Longest such pause; a node that came back is used again within this time.
const PAUSE_MAX: Duration = Duration::from_secs(2);
/// Pause after a refusal for load.
const OVERLOAD_PAUSE: Duration = Duration::from_millis(20);

/// How an attempt at a node ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The backend server ran the call; the flag says whether it failed.
    Ran {
        /// Status of 500 or higher.
        failed: bool,
    },
    /// Refused for load by the node.
    Overloaded,
    /// Refused by the backend server itself.
    Shed,
    /// The node has no backend server for the call.
    NoBackend,
    /// No connection.
    Unreachable,
    /// No complete answer.
    Broken,
    /// Abandoned by the caller; says nothing about the node.
    Cancelled,
    /// Abandoned since a second attempt was answered first; it took at least the run time given.
    Outrun,
}

/// What the end of an attempt tells about a node.
#[derive(Clone, Copy, Debug)]
pub struct Feedback {
    /// How it ended.
    pub end: AttemptEnd,
    /// Time that the call ran at the backend server.
    pub run: Duration,
    /// Load and results that the node reported with its answer.
    pub report: Option<(Load, Tally)>,
    /// Size of the answer's body, bytes; zero if there was none.
    pub bytes: usize,
}

/// A chosen node.
#[derive(Clone, Debug)]
pub struct Pick {
    /// The node.
    pub node: NodeId,
    /// Its address for calls.
    pub addr: SocketAddr,
    /// Version of its backend server.
    pub version: VersionName,
    /// Expected cost, milliseconds.
    pub cost_ms: f64,
    /// Expected time until the answer, milliseconds.
    pub time_ms: f64,
    /// Calls that the node is believed to have.
    pub load: f64,
    /// Age of the last load report.
    pub load_age: Duration,
    /// Whether the node could not be reached, or had no backend server, when it was last tried.
    pub is_lost: bool,
    /// Whether its backend server is believed to have free slots, and not to become slower by one more
    /// call.
    pub has_room: bool,
    /// Whether its time is known well enough to call an answer slow.
    pub is_predictable: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Distance {
    Own,
    SameDomain,
    SameRegion,
    OtherRegion,
}

impl Distance {
    /// Time for the way, milliseconds.
    fn way_ms(self) -> f64 {
        match self {
            Self::Own => 0.0,
            Self::SameDomain => SAME_DOMAIN_MS,
            Self::SameRegion => OTHER_DOMAIN_MS,
            Self::OtherRegion => OTHER_REGION_MS,
        }
    }

    /// Cost of the bytes of a call, as a part of its objective.
    fn bytes_share(self, kilobytes: f64) -> f64 {
        let share = match self {
            Self::Own | Self::SameDomain => 0.0,
            Self::SameRegion => OTHER_DOMAIN_KB_SHARE,
            Self::OtherRegion => OTHER_REGION_KB_SHARE,
        };
        (share * (kilobytes + HEADS_KB)).min(MAX_BYTES_SHARE)
    }
}

/// Order in which nodes are considered, whatever they cost.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Standing {
    Free,
    /// It refused for load a moment ago.
    Overloaded,
    /// It could not be reached or had no backend server when it was last tried.
    Lost,
}

#[derive(Debug)]
struct Candidate {
    entry: FleetEntry,
    distance: Distance,
    warm_at: Duration,
    in_flight: u32,
    load: Load,
    load_at: Duration,
    tally: Tally,
    /// Run time relative to the mean of its service.
    speed: f64,
    failure_rate: f64,
    failure_at: Duration,
    pauses: u32,
    paused_until: Duration,
}

impl Candidate {
    fn backend(&self) -> Option<&BackendReport> {
        let backend = self.entry.backend.as_ref()?;
        (backend.phase == BackendPhase::Ready).then_some(backend)
    }

    fn failure_rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failure_at).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    fn note_failure(&mut self, now: Duration, failed: bool) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + (f64::from(u8::from(failed)) - rate) * FAILURE_WEIGHT;
        self.failure_at = now;
    }

    /// Calls that the node is believed to have besides the next one.
    fn believed_load(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.load_at).as_secs_f64();
        let weight = (1.0 - age / LOAD_LIFETIME.as_secs_f64()).max(0.0);
        let reported = f64::from(self.load.running + self.load.waiting);
        // The own calls are counted exactly; what is reported beyond them comes from others.
        let own = f64::from(self.in_flight);
        own + (reported - own).max(0.0) * weight
    }

    fn has_room(&self, now: Duration) -> bool {
        let slots = self.backend().map_or(0, |backend| backend.slots);
        self.believed_load(now) + 1.0 <= f64::from(slots) * BUSY_SHARE
    }

    /// Expected time until the answer, milliseconds.
    fn time_ms(&self, now: Duration, backend: &BackendReport, run_ms: f64) -> f64 {
        let cold = if self.warm_at > now { COLD_FACTOR } else { 1.0 };
        let run = run_ms * self.speed * cold;
        let slots = f64::from(backend.slots);
        let load = self.believed_load(now);
        let busy = ((load / slots - BUSY_SHARE) / (1.0 - BUSY_SHARE)).clamp(0.0, 1.0);
        let waiting_run = match self.load.mean_run_ms {
            0 => run,
            measured => f64::from(measured),
        };
        let wait = (load + 1.0 - slots).max(0.0) * waiting_run / slots;
        self.distance.way_ms() + run * (1.0 + FULL_SLOWDOWN * busy) + wait
    }

    fn cost_ms(&self, now: Duration, time: f64, call: &CallCost) -> f64 {
        let late = (time - call.objective_ms * LATE_SHARE).max(0.0) * LATE_FACTOR;
        let bytes = self.distance.bytes_share(call.answer_kb) * call.objective_ms;
        let failures = self.failure_rate(now) * call.failure_runs * call.run_ms;
        time + late + bytes + failures
    }

    /// A node that could not be reached last is tried by one call at a time.
    fn standing(&self, now: Duration) -> Standing {
        let is_paused = self.paused_until > now;
        if self.pauses > 0 && (is_paused || self.in_flight > 0) {
            Standing::Lost
        } else if is_paused {
            Standing::Overloaded
        } else {
            Standing::Free
        }
    }

    fn pause(&mut self, now: Duration) {
        self.paused_until = now + doubled(PAUSE_BASE, PAUSE_MAX, self.pauses);
        self.pauses += 1;
    }
}

/// Results of all backend servers of a version that this node has heard of.
#[derive(Debug)]
struct VersionTotal {
    service: ServiceName,
    version: VersionName,
    tally: Tally,
}

/// Means over the answers of all backend servers.
#[derive(Debug)]
struct RouteMeans {
    route: RouteName,
    answers: u32,
    run_ms: f64,
    answer_kb: f64,
}

/// What the cost of a call depends on besides the node.
struct CallCost {
    run_ms: f64,
    objective_ms: f64,
    answer_kb: f64,
    failure_runs: f64,
}

/// What a call needs.
pub struct Wanted<'a> {
    /// Service.
    pub service: &'a ServiceName,
    /// Route.
    pub route: &'a RouteName,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Nodes that this call has tried.
    pub tried: &'a [NodeId],
    /// Whether a backend server of this version, beside this node, may be used.
    pub permits: &'a dyn Fn(&NodeId, &VersionName) -> bool,
}

/// Nodes that an entry node can choose from.
#[derive(Debug)]
pub struct Placement {
    node: NodeId,
    region: RegionName,
    domain: DomainName,
    /// Sorted by node.
    candidates: Vec<Candidate>,
    /// Sorted by route.
    routes: Vec<RouteMeans>,
    /// Sorted by service and version.
    totals: Vec<VersionTotal>,
}

impl Placement {
    /// Creates the placement of an entry node that knows no other node.
    #[must_use]
    pub fn new(node: NodeId, region: RegionName, domain: DomainName) -> Self {
        Self {
            node,
            region,
            domain,
            candidates: Vec::new(),
            routes: Vec::new(),
            totals: Vec::new(),
        }
    }

    /// Takes over what a node says of itself. Returns whether it is news.
    pub fn on_entry(&mut self, now: Duration, entry: &FleetEntry) -> bool {
        // An address belongs to one node; the one that had it before is gone for good.
        self.candidates.retain(|candidate| {
            candidate.entry.addr != entry.addr || candidate.entry.node == entry.node
        });
        let warm_at = entry.backend.as_ref().map_or(now, |backend| {
            now + Duration::from_millis(backend.cold_left_ms)
        });
        let distance = self.distance(entry);
        match self.index(&entry.node) {
            Ok(index) => {
                let candidate = &mut self.candidates[index];
                if candidate.entry == *entry {
                    return false;
                }
                let same = match (&candidate.entry.backend, &entry.backend) {
                    (Some(old), Some(new)) => old.is_same_incarnation(new),
                    _ => false,
                };
                if !same {
                    candidate.speed = 1.0;
                    candidate.failure_rate = 0.0;
                    candidate.warm_at = warm_at;
                }
                candidate.distance = distance;
                candidate.entry = entry.clone();
                candidate.pauses = 0;
                candidate.paused_until = now;
            }
            Err(index) => self.candidates.insert(
                index,
                Candidate {
                    entry: entry.clone(),
                    distance,
                    warm_at,
                    in_flight: 0,
                    load: Load::default(),
                    load_at: Duration::ZERO,
                    tally: Tally::default(),
                    speed: 1.0,
                    failure_rate: 0.0,
                    failure_at: now,
                    pauses: 0,
                    paused_until: now,
                },
            ),
        }
        true
    }

    /// Forgets a node that has left for good.
    pub fn forget(&mut self, node: &NodeId) {
        if let Ok(index) = self.index(node) {
            self.candidates.remove(index);
        }
    }

    /// Number of known nodes, this one included.
    #[must_use]
    pub fn nodes(&self) -> usize {
        self.candidates.len().max(1)
    }

    /// Returns the entries of all known nodes.
    pub fn entries(&self) -> impl Iterator<Item = &FleetEntry> {
        self.candidates.iter().map(|candidate| &candidate.entry)
    }

    /// Nodes of the own failure domain with their addresses, this one included; those that can carry
    /// most come first.
    #[must_use]
    pub fn domain_nodes(&self) -> Vec<(NodeId, SocketAddr)> {
        let entries = self.entries().filter(|entry| entry.domain == self.domain);
        let mut entries: Vec<&FleetEntry> = entries.collect();
        // The sort is stable, so that nodes with one capacity stay in the order of their names.
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.capacity));
        let nodes = entries.into_iter();
        nodes
            .map(|entry| (entry.node.clone(), entry.addr))
            .collect()
    }

    /// Chooses the node with the least expected cost. A node that has just refused for load is used
    /// only if no other one is left, and one that is lost only after those.
    pub fn pick(&self, now: Duration, rng: &mut impl Rng, wanted: &Wanted<'_>) -> Option<Pick> {
        let means = self.means(wanted.route);
        let objective_ms = wanted.objective.as_secs_f64() * 1e3;
        let call = CallCost {
            run_ms: means.map_or(objective_ms * UNKNOWN_RUN_SHARE, |means| means.run_ms),
            objective_ms,
            answer_kb: means.map_or(UNKNOWN_ANSWER_KB, |means| means.answer_kb),
            failure_runs: if wanted.idempotent {
                FAILURE_RUNS
            } else {
                FAILURE_RUNS_NOT_IDEMPOTENT
            },
        };
        let mut best: Option<(Standing, f64, f64, &Candidate)> = None;
        for candidate in &self.candidates {
            let Some(backend) = candidate.backend() else {
                continue;
            };
            let node = &candidate.entry.node;
            if backend.service != *wanted.service
                || wanted.tried.contains(node)
                || !(wanted.permits)(node, &backend.version)
            {
                continue;
            }
            let standing = candidate.standing(now);
            let jitter = 1.0 + rng.random_range(0.0..JITTER);
            let time = candidate.time_ms(now, backend, call.run_ms);
            let cost = candidate.cost_ms(now, time, &call) * jitter;
            let better = best.is_none_or(|(best_standing, best_cost, ..)| {
                (standing, cost) < (best_standing, best_cost)
            });
            if better {
                best = Some((standing, cost, time, candidate));
            }
        }
        let (standing, cost_ms, time_ms, candidate) = best?;
        Some(Pick {
            node: candidate.entry.node.clone(),
            addr: candidate.entry.addr,
            version: candidate.backend()?.version.clone(),
            cost_ms,
            time_ms,
            load: candidate.believed_load(now),
            load_age: now.saturating_sub(candidate.load_at),
            is_lost: standing == Standing::Lost,
            has_room: candidate.has_room(now),
            is_predictable: candidate.warm_at <= now
                && means.is_some_and(|means| means.answers >= MIN_ANSWERS),
        })
    }

    /// Whether a backend server of a version that passes the filter takes work.
    #[must_use]
    pub fn has_any(&self, service: &ServiceName, of: impl Fn(&VersionName) -> bool) -> bool {
        let backends = self.candidates.iter().filter_map(Candidate::backend);
        let mut of_service = backends.filter(|backend| backend.service == *service);
        of_service.any(|backend| of(&backend.version))
    }

    /// Takes over the load and results that a node reported.
    pub fn on_report(&mut self, now: Duration, node: &NodeId, load: Load, tally: Tally) {
        let Ok(index) = self.index(node) else {
            return;
        };
        let candidate = &mut self.candidates[index];
        candidate.load = load;
        candidate.load_at = now;
        let added = tally.since(&candidate.tally);
        candidate.tally = tally;
        if added.runs == 0 {
            return;
        }
        if let Some(backend) = candidate.entry.backend.clone() {
            self.add_results(&backend, &added);
        }
    }

    /// Sums are kept by version and only grow: a node that leaves or restarts takes nothing back, which
    /// would make what is left look slow or failing.
    fn add_results(&mut self, backend: &BackendReport, added: &Tally) {
        let key = (&backend.service, &backend.version);
        let found = self
            .totals
            .binary_search_by(|total| (&total.service, &total.version).cmp(&key));
        let index = found.unwrap_or_else(|index| {
            let total = VersionTotal {
                service: backend.service.clone(),
                version: backend.version.clone(),
                tally: Tally::default(),
            };
            self.totals.insert(index, total);
            index
        });
        self.totals[index].tally.add(added);
    }

    /// Counts the start of an attempt.
    pub fn on_start(&mut self, node: &NodeId) {
        if let Ok(index) = self.index(node) {
            self.candidates[index].in_flight += 1;
        }
    }

    /// Takes over what the end of an attempt tells about a node and about the route.
    pub fn on_end(&mut self, now: Duration, node: &NodeId, route: &RouteName, feedback: &Feedback) {
        let mean_ms = match feedback.end {
            AttemptEnd::Ran { failed: false } => Some(self.observe(route, feedback)),
            AttemptEnd::Outrun => self.means(route).map(|means| means.run_ms.max(1.0)),
            _ => None,
        };
        let Ok(index) = self.index(node) else {
            return;
        };
        if let Some((load, tally)) = feedback.report {
            self.on_report(now, node, load, tally);
        }
        let candidate = &mut self.candidates[index];
        candidate.in_flight = candidate.in_flight.saturating_sub(1);
        match feedback.end {
            AttemptEnd::Ran { failed } => {
                candidate.pauses = 0;
                candidate.note_failure(now, failed);
            }
            AttemptEnd::Overloaded => candidate.paused_until = now + OVERLOAD_PAUSE,
            AttemptEnd::Shed | AttemptEnd::Broken => candidate.note_failure(now, true),
            AttemptEnd::NoBackend | AttemptEnd::Unreachable => candidate.pause(now),
            AttemptEnd::Cancelled | AttemptEnd::Outrun => {}
        }
        if let Some(mean_ms) = mean_ms {
            let relative = (feedback.run.as_secs_f64() * 1e3 / mean_ms).clamp(0.1, 20.0);
            candidate.speed += (relative - candidate.speed) * SPEED_WEIGHT;
        }
    }

    /// Results of all backend servers of some versions together, and the slots of those that take work.
    #[must_use]
    pub fn results(&self, service: &ServiceName, of: impl Fn(&VersionName) -> bool) -> Results {
        let mut results = Results::default();
        for total in &self.totals {
            if total.service == *service && of(&total.version) {
                results.tally.add(&total.tally);
            }
        }
        for candidate in &self.candidates {
            let Some(backend) = &candidate.entry.backend else {
                continue;
            };
            if backend.service != *service || !of(&backend.version) {
                continue;
            }
            if backend.phase == BackendPhase::Ready {
                results.slots += backend.slots;
                results.nodes.push(candidate.entry.node.clone());
            }
        }
        results
    }

    fn distance(&self, entry: &FleetEntry) -> Distance {
        if entry.node == self.node {
            Distance::Own
        } else if entry.domain == self.domain {
            Distance::SameDomain
        } else if entry.region == self.region {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }

    fn index(&self, node: &NodeId) -> Result<usize, usize> {
        self.candidates
            .binary_search_by(|candidate| candidate.entry.node.cmp(node))
    }

    fn means(&self, route: &RouteName) -> Option<&RouteMeans> {
        let index = self.routes.binary_search_by(|means| means.route.cmp(route));
        Some(&self.routes[index.ok()?])
    }

    /// Adds an answer to the means of its route and returns the mean run time, milliseconds.
    fn observe(&mut self, route: &RouteName, feedback: &Feedback) -> f64 {
        let run_ms = feedback.run.as_secs_f64() * 1e3;
        let answer_kb = f64::from(u32::try_from(feedback.bytes).unwrap_or(u32::MAX)) / 1e3;
        match self.routes.binary_search_by(|means| means.route.cmp(route)) {
            Ok(index) => {
                let means = &mut self.routes[index];
                means.answers = means.answers.saturating_add(1);
                let weight = MEAN_WEIGHT.max(1.0 / f64::from(means.answers));
                means.run_ms += (run_ms - means.run_ms) * weight;
                means.answer_kb += (answer_kb - means.answer_kb) * weight;
                means.run_ms.max(1.0)
            }
            Err(index) => {
                let run_ms = run_ms.max(1.0);
                let route = route.clone();
                self.routes.insert(
                    index,
                    RouteMeans {
                        route,
                        answers: 1,
                        run_ms,
                        answer_kb,
                    },
                );
                run_ms
            }
        }
    }
}

/// Results of the backend servers of one version.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// Sum of their results.
    pub tally: Tally,
    /// Slots of those that take work.
    pub slots: u32,
    /// Nodes beside those that take work, sorted.
    pub nodes: Vec<NodeId>,
}
