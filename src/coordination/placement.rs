//! Choice of the serving node for a call on the platform. See `docs/platform.md`, "Placement".
//!
//! The node with the lowest expected cost is chosen. The cost is the expected response time: the
//! network hop, the wait for a slot, and the run time scaled by the measured factor of the node.
//! Time beyond the latency objective is weighted higher. Traffic between failure domains and
//! regions is billed, so it adds a fraction of the objective in proportion to the measured response
//! size of the route; a call that meets its objective locally therefore stays in its failure
//! domain. The run time is also scaled by the time that work takes on the node's instance at this moment, if
//! that is reported; the factor of the node is learned without it. Load figures and failure rates decay with
//! age, so that a node with poor figures is tried again.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::coordination::backoff::exponential_delay;
use crate::coordination::domains::evacuation::Evacuations;
use crate::coordination::domains::homes::AllowedRegions;
use crate::coordination::domains::spill::SpillCosts;
use crate::coordination::domains::spill::SpillEnd;
use crate::coordination::domains::spill::SpillShares;
use crate::coordination::slot_queue::ASSUMED_RUN_SHARE;
use crate::coordination::slot_queue::COLD_START_FACTOR;
use crate::protocol::explain::Availability;
use crate::protocol::explain::CandidateView;
use crate::protocol::explain::NotChosen;
use crate::protocol::fleet::BackendPhase;
use crate::protocol::fleet::BackendReport;
use crate::protocol::fleet::FleetEntry;
use crate::protocol::fleet::Incarnation;
use crate::protocol::hop::BackendTotals;
use crate::protocol::hop::Load;
use crate::protocol::hop::RequestRate;
use crate::protocol::hop::RouteTotals;
use crate::protocol::name::DomainName;
use crate::protocol::name::NodeId;
use crate::protocol::name::RegionName;
use crate::protocol::name::RouteName;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;
use crate::protocol::time::millis;
use crate::result_code::ResultCode;

/// Time for a hop to another node of the same failure domain: parsing the request a second time and
/// the network round trip.
const SAME_DOMAIN_MS: f64 = 2.0;
/// Time for a hop to another failure domain of the region, about 1 ms away.
const OTHER_DOMAIN_MS: f64 = 4.0;
/// Time for a hop to another region, about 8 ms away.
const OTHER_REGION_MS: f64 = 20.0;
/// Cost of a kilobyte sent between failure domains of a region, as a fraction of the objective.
const OTHER_DOMAIN_KB_SHARE: f64 = 0.06;
/// Cost of a kilobyte sent between regions, as a fraction of the objective; these links have little
/// bandwidth and are shared.
const OTHER_REGION_KB_SHARE: f64 = 0.10;
/// Upper bound of the traffic cost, as a fraction of the objective, so that a call that would be
/// late locally is sent to another failure domain or region.
const MAX_BYTES_SHARE: f64 = 0.6;
/// Size of the request and of the response headers, which is added to the response body, in
/// kilobytes.
const OVERHEAD_KB: f64 = 0.7;
/// Size of a request body from which on the node receives it in turn with others, in kilobytes.
const LARGE_BODY_KB: f64 = 16.0;
/// Assumed response size of a route without measurements, in kilobytes.
const UNKNOWN_RESPONSE_KB: f64 = 1.0;
/// Fraction of the objective above which an expected time counts as late; it is below 1 because run
/// times vary.
const LATE_SHARE: f64 = 0.75;
/// Weight of the expected time beyond [`LATE_SHARE`].
const LATE_FACTOR: f64 = 2.0;
/// Number of responses of a route after which its run time can be predicted.
const MIN_RESPONSES: u32 = 20;
/// Weight of one response in the EWMA of a node's run time factor.
const RUN_TIME_FACTOR_WEIGHT: f64 = 0.1;
/// Minimum weight of one response in the means of its route, which change less than the factor of a
/// node.
const MEAN_WEIGHT: f64 = 0.03;
/// Weight of one result in the EWMA of a node's failure rate.
const FAILURE_WEIGHT: f64 = 0.15;
/// Half-life of a failure rate while no results arrive.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);
/// Cost of a certain failure, in mean run times; the call has to be retried on another node.
const FAILURE_COST_RUNS: f64 = 8.0;
/// Cost of a certain failure of a call that is not idempotent, which most failures lose.
const FAILURE_COST_RUNS_NOT_IDEMPOTENT: f64 = 12.0;
/// Age at which a load report no longer counts.
const LOAD_LIFETIME: Duration = Duration::from_secs(1);
/// Age at which a reported time of work no longer counts. Instances are slow for some 600 ms at a time, so that one
/// that was slow when it reported is still slow with a probability that falls evenly to zero by then.
pub const WORK_TIME_LIFETIME: Duration = Duration::from_millis(600);
/// Bounds of the time of work that is used, in percent of the usual time, so that a wrong figure does not
/// decide alone.
const WORK_TIME_BOUNDS: (u32, u32) = (50, 400);
/// Weight of one report in the mean load of a service.
const SERVICE_LOAD_WEIGHT: f64 = 0.05;
/// Largest load that counts in that mean, as a share of the slots; a queue is a few times as long.
const MAX_LOAD_SHARE: f64 = 4.0;
/// Fraction of used slots above which backend servers become slower.
const BUSY_SHARE: f64 = 0.75;
/// Additional run time of a backend server whose slots are all used, in mean run times.
const FULL_LOAD_SLOWDOWN: f64 = 0.6;
/// Relative random part of a cost, so that entry nodes with the same figures choose different
/// nodes.
const JITTER: f64 = 0.1;
/// First pause after a node was unreachable or had no backend server; doubled after each further
/// failure.
const PAUSE_BASE: Duration = Duration::from_millis(200);
/// Upper bound of that pause; a recovered node is used again within this time.
const PAUSE_MAX: Duration = Duration::from_secs(2);
/// Pause after a node refused a call because of load.
const OVERLOAD_PAUSE: Duration = Duration::from_millis(20);

/// Time for which a refusal because of load counts as one of the node's failure domain. The retries of a call
/// follow at once.
const REFUSAL_MEMORY: Duration = Duration::from_millis(250);
/// Time for which a node whose report shows no spare slot is not sent spillover calls; a run takes about as long.
const SPARE_LIFETIME: Duration = Duration::from_millis(60);
/// Nodes of other failure domains that a spillover call may try if its own one is expected to refuse it.
const MAX_SPILLOVER_TRIES: usize = 2;

/// Nodes that have left of which the last entry is remembered. The store goes back by seconds, in which few
/// nodes leave.
const MAX_DEPARTED_NODES: usize = 64;

/// Result of an attempt on a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The backend server ran the call; the flag says whether it failed.
    Ran {
        /// Status of 500 or higher.
        failed: bool,
    },
    /// The node refused the call because of load.
    Overloaded,
    /// The backend server itself refused the call.
    Shed,
    /// The node has no backend server for the call.
    NoBackend,
    /// The node could not be connected to.
    Unreachable,
    /// The connection ended without a complete response.
    Incomplete,
    /// Cancelled by the caller; says nothing about the node.
    Cancelled,
    /// Cancelled because a hedged attempt was answered first; the call ran at least for the given
    /// time.
    Superseded,
}

/// Measurements from a finished attempt.
#[derive(Clone, Copy, Debug)]
pub struct Feedback<'a> {
    /// Incarnation of the backend server that was chosen.
    pub incarnation: &'a Incarnation,
    /// Result of the attempt.
    pub end: AttemptEnd,
    /// Run time of the call on the backend server.
    pub run: Duration,
    /// Load and results that the node reported with its response.
    pub report: Option<(Load, BackendTotals)>,
    /// Size of the response body in bytes; zero without a response.
    pub bytes: usize,
}

/// A chosen node.
#[derive(Clone, Debug)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "independent facts about the choice"
)]
pub struct Pick {
    /// The node.
    pub node: NodeId,
    /// Its address for calls.
    pub addr: SocketAddr,
    /// Version of its backend server.
    pub version: VersionName,
    /// Incarnation of its backend server.
    pub incarnation: Incarnation,
    /// Limit of its backend server, as last reported.
    pub limit: Option<RequestRate>,
    /// Expected cost in milliseconds.
    pub cost_ms: f64,
    /// Expected time until the response in milliseconds.
    pub time_ms: f64,
    /// Estimated number of running and waiting calls on the node.
    pub load: f64,
    /// Age of the last load report.
    pub load_age: Duration,
    /// Expected time of work on the instance at this moment, relative to the usual one.
    pub work_time: f64,
    /// Whether the node was unreachable or had no backend server when it was last tried.
    pub is_unreachable: bool,
    /// Whether its backend server probably has free slots and does not become slower with one more
    /// call.
    pub has_free_slot: bool,
    /// Whether enough measurements exist to tell that a response is slow.
    pub is_predictable: bool,
    /// Whether the call leaves its failure domain although that has a node which may serve it.
    pub is_spillover: bool,
    /// Share of the calls that may leave for the failure domain of the node, if the call does.
    pub spill_share: f64,
    /// Failure domain of the node.
    pub domain: DomainName,
}

/// Returns the expected time of work relative to the usual one, if it was reported in percent some time ago. A
/// report that is older than [`WORK_TIME_LIFETIME`] says nothing.
#[must_use]
pub fn work_time_factor(percent: Option<u32>, age: Duration) -> f64 {
    let (least, most) = WORK_TIME_BOUNDS;
    let reported = f64::from(percent.unwrap_or(100).clamp(least, most)) / 100.0;
    let weight = (1.0 - age.as_secs_f64() / WORK_TIME_LIFETIME.as_secs_f64()).max(0.0);
    1.0 + (reported - 1.0) * weight
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Distance {
    Local,
    SameDomain,
    SameRegion,
    OtherRegion,
}

impl Distance {
    /// Network time of a hop in milliseconds.
    fn hop_ms(self) -> f64 {
        match self {
            Self::Local => 0.0,
            Self::SameDomain => SAME_DOMAIN_MS,
            Self::SameRegion => OTHER_DOMAIN_MS,
            Self::OtherRegion => OTHER_REGION_MS,
        }
    }

    /// Traffic cost of a call, as a fraction of its objective.
    fn bytes_share(self, kilobytes: f64) -> f64 {
        let share = match self {
            Self::Local | Self::SameDomain => 0.0,
            Self::SameRegion => OTHER_DOMAIN_KB_SHARE,
            Self::OtherRegion => OTHER_REGION_KB_SHARE,
        };
        (share * (kilobytes + OVERHEAD_KB)).min(MAX_BYTES_SHARE)
    }
}

#[derive(Clone, Debug)]
struct Candidate {
    entry: FleetEntry,
    distance: Distance,
    warm_at: Duration,
    in_flight: u32,
    load: Load,
    load_at: Duration,
    tally: BackendTotals,
    routes: RouteTotals,
    /// EWMA of the run time relative to the mean of the route.
    run_time_factor: f64,
    failure_rate: f64,
    failure_at: Duration,
    pauses: u32,
    paused_until: Duration,
    /// Time of its last refusal of a call because of load.
    refused_at: Option<Duration>,
    /// Last incarnation of its backend server that has announced in a response that it leaves. A
    /// restarted node may announce it as ready again.
    leaving: Option<Incarnation>,
}

impl Candidate {
    fn backend(&self) -> Option<&BackendReport> {
        let backend = self.entry.backend.as_ref()?;
        let is_leaving = self
            .leaving
            .as_ref()
            .is_some_and(|left| backend.is_of(left));
        (backend.phase == BackendPhase::Ready && !is_leaving).then_some(backend)
    }

    /// Slots of the backend server that its limit, or the bound while it is cold, allows to use, by a recent
    /// report.
    fn usable_slots(&self, now: Duration, backend: &BackendReport) -> u32 {
        let is_recent = now.saturating_sub(self.load_at) < LOAD_LIFETIME;
        let is_bounded = self.load.limit.is_some() || (1..backend.slots).contains(&self.load.slots);
        if is_recent && is_bounded {
            self.load.slots.clamp(1, backend.slots.max(1))
        } else {
            backend.slots
        }
    }

    fn failure_rate(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.failure_at).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    fn record_result(&mut self, now: Duration, failed: bool) {
        let rate = self.failure_rate(now);
        self.failure_rate = rate + (f64::from(u8::from(failed)) - rate) * FAILURE_WEIGHT;
        self.failure_at = now;
    }

    /// Weight of the reported load, which decreases with its age.
    fn load_weight(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.load_at).as_secs_f64();
        (1.0 - age / LOAD_LIFETIME.as_secs_f64()).max(0.0)
    }

    /// Estimated number of running and waiting calls on the node. As its report ages, the mean load of
    /// the service counts: in a large fleet most reports are old, and nodes that look idle for want of a
    /// report would get the calls of all entry nodes.
    fn estimated_load(&self, now: Duration, service_load: f64) -> f64 {
        let weight = self.load_weight(now);
        let reported = f64::from(self.load.running) + f64::from(self.load.waiting);
        let slots = self.backend().map_or(0, |backend| backend.slots);
        let usual = service_load * f64::from(slots);
        // The calls of this entry node are counted exactly; the excess comes from others.
        let own = f64::from(self.in_flight);
        let expected = reported * weight + usual * (1.0 - weight);
        own + (expected - own).max(0.0)
    }

    fn has_free_slot(&self, now: Duration, service_load: f64) -> bool {
        let slots = self.backend();
        let slots = slots.map_or(0, |backend| self.usable_slots(now, backend));
        self.estimated_load(now, service_load) + 1.0 <= f64::from(slots) * BUSY_SHARE
    }

    /// Expected time of work on the node's instance relative to the usual one.
    fn work_time(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.load_at);
        work_time_factor(self.load.work_time_percent, age)
    }

    /// Expected time until the response in milliseconds.
    fn time_ms(&self, now: Duration, backend: &BackendReport, call: &CallCost) -> f64 {
        let cold = if self.warm_at > now {
            COLD_START_FACTOR
        } else {
            1.0
        };
        let run = call.run_ms * self.run_time_factor * cold * self.work_time(now);
        let slots = f64::from(self.usable_slots(now, backend));
        let load = self.estimated_load(now, call.service_load);
        let busy = ((load / slots - BUSY_SHARE) / (1.0 - BUSY_SHARE)).clamp(0.0, 1.0);
        let waiting_run = match self.load.mean_run_ms {
            0 => run,
            measured => f64::from(measured),
        };
        let wait = (load + 1.0 - slots).max(0.0) * waiting_run / slots;
        let transfer = if call.request_kb < LARGE_BODY_KB || self.distance == Distance::Local {
            0.0
        } else {
            f64::from(self.load.transfer_wait_ms) * self.load_weight(now)
        };
        self.distance.hop_ms() + transfer + run * (1.0 + FULL_LOAD_SLOWDOWN * busy) + wait
    }

    fn cost_ms(&self, now: Duration, time_ms: f64, call: &CallCost) -> f64 {
        let late = (time_ms - call.objective_ms * LATE_SHARE).max(0.0) * LATE_FACTOR;
        let bytes = self
            .distance
            .bytes_share(call.request_kb + call.response_kb)
            * call.objective_ms;
        let failures = self.failure_rate(now) * call.failure_cost_runs * call.run_ms;
        time_ms + late + bytes + failures
    }

    /// Whether the node has just reported that it has no spare slot for a call of another failure domain.
    fn refuses_spillover(&self, now: Duration, backend: &BackendReport) -> bool {
        let slots = f64::from(self.usable_slots(now, backend));
        let busy = f64::from(self.load.running.max(self.in_flight)) + 1.0;
        let is_recent = now.saturating_sub(self.load_at) < SPARE_LIFETIME;
        is_recent && (self.load.waiting > 0 || busy > slots)
    }

    fn is_in_domain(&self) -> bool {
        matches!(self.distance, Distance::Local | Distance::SameDomain)
    }

    fn has_refused(&self, now: Duration) -> bool {
        let refused_at = self.refused_at;
        refused_at.is_some_and(|at| now.saturating_sub(at) < REFUSAL_MEMORY)
    }

    /// A node that was unreachable when it was last tried gets one call at a time.
    fn availability(&self, now: Duration) -> Availability {
        let is_paused = self.paused_until > now;
        if self.pauses > 0 && (is_paused || self.in_flight > 0) {
            Availability::Unreachable
        } else if is_paused {
            Availability::Overloaded
        } else {
            Availability::Available
        }
    }

    fn pause(&mut self, now: Duration) {
        self.paused_until = now + exponential_delay(PAUSE_BASE, PAUSE_MAX, self.pauses);
        self.pauses += 1;
    }
}

/// Results of all known backend servers of a version.
#[derive(Clone, Debug)]
struct VersionTotal {
    service: ServiceName,
    version: VersionName,
    tally: BackendTotals,
    routes: RouteTotals,
}

/// Mean run time and response size of a route over all backend servers.
#[derive(Clone, Debug)]
struct RouteMeans {
    route: RouteName,
    responses: u32,
    run_ms: f64,
    response_kb: f64,
}

/// Parameters of the cost function that do not depend on the node.
struct CallCost {
    run_ms: f64,
    objective_ms: f64,
    /// Size of the request body, and the expected one of the response body.
    request_kb: f64,
    response_kb: f64,
    failure_cost_runs: f64,
    /// Mean load of the service's backend servers, as a share of their slots.
    service_load: f64,
}

/// A node that a call may be sent to, with its cost.
struct Choice<'a> {
    availability: Availability,
    cost_ms: f64,
    time_ms: f64,
    /// Whether the node is expected to refuse the call if it comes from another failure domain.
    is_full: bool,
    candidate: &'a Candidate,
}

impl Choice<'_> {
    fn rank(&self) -> Rank {
        (self.availability, self.is_full, self.cost_ms)
    }

    fn is_before(&self, other: &Self) -> bool {
        self.rank() < other.rank()
    }
}

/// Order in which nodes are preferred: availability, whether the node is full, and cost.
type Rank = (Availability, bool, f64);

/// What a choice was made by, for its explanation.
struct Evaluated {
    node: NodeId,
    rank: Rank,
    time_ms: f64,
}

/// Returns the reason why a node was not chosen, given the rank of the chosen one.
fn not_chosen(rank: Rank, chosen: Option<Rank>) -> NotChosen {
    let (availability, is_full, _) = rank;
    let is_worse = |chosen: Rank| (availability, is_full) > (chosen.0, chosen.1);
    // A node that ranks before the chosen one is ruled out by the bounds of the calls that leave.
    if chosen.is_some_and(|chosen| rank >= chosen && !is_worse(chosen)) {
        return NotChosen::CostsMore;
    }
    match availability {
        Availability::Unreachable => NotChosen::Unreachable,
        Availability::Overloaded => NotChosen::Overloaded,
        Availability::Available if is_full => NotChosen::NoSpareSlot,
        Availability::Available => NotChosen::SpilloverShare,
    }
}

/// Nodes that a call may be sent to.
struct Choices<'a> {
    /// The best one of each failure domain.
    best_of_domains: Vec<Choice<'a>>,
    /// Whether the own failure domain has a node that may serve the call, or that has just refused it.
    can_stay: bool,
    /// Nodes of other failure domains that have been tried.
    tried_away: usize,
}

/// Whether any failure domain has more than one of the nodes. With one in each, no domain can take the peaks of its
/// own calls, so that keeping them there costs more calls than the traffic is worth: 2 in 100 fewer were served.
fn has_pool(usable: &[(&Candidate, &BackendReport)]) -> bool {
    usable.iter().enumerate().any(|(index, (candidate, _))| {
        let domain = &candidate.entry.domain;
        let mut earlier = usable[..index].iter();
        earlier.any(|(other, _)| other.entry.domain == *domain)
    })
}

/// Returns the backend server of a node, if it may serve a call.
///
/// # Errors
/// The reason why it may not.
fn usable_backend<'a>(
    candidate: &'a Candidate,
    request: &PickRequest<'_>,
) -> Result<&'a BackendReport, NotChosen> {
    let entry = &candidate.entry;
    let backend = candidate.backend().ok_or(NotChosen::NoBackend)?;
    if backend.service != *request.service {
        Err(NotChosen::NoBackend)
    } else if !request.regions.allows(&entry.region) {
        Err(NotChosen::OutsideHome)
    } else if request.evacuations.contains(&entry.domain) {
        Err(NotChosen::Evacuated)
    } else if !(request.is_allowed)(&entry.node, &backend.version) {
        Err(NotChosen::VersionNotAllowed)
    } else {
        Ok(backend)
    }
}

/// Returns the nodes that a call may be sent to. `observe` is told of each of them.
fn choices<'a>(
    candidates: &'a [Candidate],
    now: Duration,
    rng: &mut impl Rng,
    request: &PickRequest<'_>,
    call: &CallCost,
    observe: &mut dyn FnMut(&Choice<'_>),
) -> Choices<'a> {
    let usable: Vec<(&Candidate, &BackendReport)> = candidates
        .iter()
        .filter_map(|candidate| Some((candidate, usable_backend(candidate, request).ok()?)))
        .collect();
    let is_tried = |candidate: &Candidate| request.tried.contains(&candidate.entry.node);
    let may_serve = |candidate: &Candidate| {
        candidate.is_in_domain()
            && candidate.availability(now) != Availability::Unreachable
            && (!is_tried(candidate) || candidate.has_refused(now))
    };
    let away = usable
        .iter()
        .filter(|(candidate, _)| !candidate.is_in_domain());
    let mut found = Choices {
        best_of_domains: Vec::new(),
        can_stay: has_pool(&usable) && usable.iter().any(|(candidate, _)| may_serve(candidate)),
        tried_away: away.filter(|(candidate, _)| is_tried(candidate)).count(),
    };
    for (candidate, backend) in usable {
        if is_tried(candidate) {
            continue;
        }
        let jitter = 1.0 + rng.random_range(0.0..JITTER);
        let time_ms = candidate.time_ms(now, backend, call);
        let choice = Choice {
            availability: candidate.availability(now),
            cost_ms: candidate.cost_ms(now, time_ms, call) * jitter,
            time_ms,
            is_full: found.can_stay
                && !candidate.is_in_domain()
                && candidate.refuses_spillover(now, backend),
            candidate,
        };
        observe(&choice);
        let mut known = found.best_of_domains.iter_mut();
        let domain = &candidate.entry.domain;
        match known.find(|best| best.candidate.entry.domain == *domain) {
            Some(best) if choice.is_before(best) => *best = choice,
            Some(_) => {}
            None => found.best_of_domains.push(choice),
        }
    }
    found
}

/// Requirements of a call on the chosen node.
pub struct PickRequest<'a> {
    /// Service of the call.
    pub service: &'a ServiceName,
    /// Route of the call.
    pub route: &'a RouteName,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Size of its body in bytes.
    pub request_bytes: usize,
    /// Nodes that this call has tried already.
    pub tried: &'a [NodeId],
    /// Whether the backend server of this node, which has this version, may be used.
    pub is_allowed: &'a dyn Fn(&NodeId, &VersionName) -> bool,
    /// Regions that may serve the call.
    pub regions: &'a AllowedRegions,
    /// Failure domains whose backend servers get no requests.
    pub evacuations: &'a Evacuations,
}

/// Chooses serving nodes for the calls of one entry node.
#[derive(Clone, Debug)]
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
    /// Mean load by service, as a share of the slots. Sorted by service.
    service_loads: Vec<(ServiceName, f64)>,
    /// Last entries of nodes that have left, oldest first.
    departed: Vec<DepartedNode>,
    /// Shares of calls that may leave the own failure domain; `None` if each call goes to the node with the
    /// least expected cost.
    spill: Option<SpillShares>,
}

/// Last entry of a node that has left the fleet.
#[derive(Clone, Debug)]
struct DepartedNode {
    node: NodeId,
    run: u64,
    revision: u64,
}

impl Placement {
    /// Creates a placement without any candidates.
    #[must_use]
    pub fn new(node: NodeId, region: RegionName, domain: DomainName) -> Self {
        Self {
            node,
            region,
            domain,
            candidates: Vec::new(),
            routes: Vec::new(),
            totals: Vec::new(),
            service_loads: Vec::new(),
            departed: Vec::new(),
            spill: None,
        }
    }

    /// Bounds the calls that leave the own failure domain by shares, and to spare capacity of other ones.
    #[must_use]
    pub fn with_spillover(self) -> Self {
        Self {
            spill: Some(SpillShares::default()),
            ..self
        }
    }

    /// Whether an entry is older than what is known of its node. The platform's store shows such an entry
    /// after it has gone back to an earlier state, or if it executes a write late.
    #[must_use]
    pub fn is_outdated(&self, entry: &FleetEntry) -> bool {
        let known = self.index(&entry.node).ok();
        let known = known.map(|index| &self.candidates[index].entry);
        let is_later =
            |known: &FleetEntry| known.run == entry.run && known.revision > entry.revision;
        let has_left = |departed: &DepartedNode| {
            departed.node == entry.node
                && departed.run == entry.run
                && departed.revision >= entry.revision
        };
        known.is_some_and(is_later) || self.departed.iter().any(has_left)
    }

    /// Updates a node from its fleet entry. Returns whether the entry is new or has changed.
    pub fn on_entry(&mut self, now: Duration, entry: &FleetEntry) -> bool {
        // An address belongs to one node, so the previous node with this address no longer exists, unless
        // it is this one.
        self.candidates.retain(|candidate| {
            let node = &candidate.entry.node;
            candidate.entry.addr != entry.addr || *node == entry.node || *node == self.node
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
                    candidate.run_time_factor = 1.0;
                    candidate.failure_rate = 0.0;
                    candidate.warm_at = warm_at;
                    candidate.load.limit = None;
                    candidate.load.slots = 0;
                    candidate.load.work_time_percent = None;
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
                    tally: BackendTotals::default(),
                    routes: RouteTotals::default(),
                    run_time_factor: 1.0,
                    failure_rate: 0.0,
                    failure_at: now,
                    pauses: 0,
                    paused_until: now,
                    refused_at: None,
                    leaving: None,
                },
            ),
        }
        true
    }

    /// Removes a node that has left the fleet.
    pub fn forget(&mut self, node: &NodeId) {
        if let Ok(index) = self.index(node) {
            let entry = self.candidates.remove(index).entry;
            self.add_departed(entry);
        }
    }

    /// Removes a node that has stopped, by its last entry.
    pub fn on_stopped(&mut self, entry: &FleetEntry) {
        if let Ok(index) = self.index(&entry.node) {
            self.candidates.remove(index);
        }
        self.add_departed(entry.clone());
    }

    fn add_departed(&mut self, entry: FleetEntry) {
        if self.departed.len() >= MAX_DEPARTED_NODES {
            self.departed.remove(0);
        }
        self.departed.push(DepartedNode {
            node: entry.node,
            run: entry.run,
            revision: entry.revision,
        });
    }

    /// Number of known nodes, including this one.
    #[must_use]
    pub fn nodes(&self) -> usize {
        self.candidates.len().max(1)
    }

    /// Returns the entries of all known nodes.
    pub fn entries(&self) -> impl Iterator<Item = &FleetEntry> + Clone {
        self.candidates.iter().map(|candidate| &candidate.entry)
    }

    /// Addresses of the other nodes, without those that could not be reached when they were last tried.
    #[must_use]
    pub fn reachable_peers(&self) -> Vec<SocketAddr> {
        let peers = self
            .candidates
            .iter()
            .filter(|candidate| candidate.entry.node != self.node && candidate.pauses == 0);
        peers.map(|candidate| candidate.entry.addr).collect()
    }

    /// Nodes of this failure domain with their addresses, including this one, by descending
    /// capacity.
    #[must_use]
    pub fn domain_nodes(&self) -> Vec<(NodeId, SocketAddr)> {
        let entries = self.entries().filter(|entry| entry.domain == self.domain);
        let mut entries: Vec<&FleetEntry> = entries.collect();
        // The sort is stable, so nodes of equal capacity stay ordered by name.
        entries.sort_by_key(|entry| std::cmp::Reverse(entry.capacity));
        let nodes = entries.into_iter();
        nodes
            .map(|entry| (entry.node.clone(), entry.addr))
            .collect()
    }

    /// Chooses the node with the lowest expected cost. A node that has just refused a call because
    /// of load is used only if no other one is left, and an unreachable node only after those. While the own
    /// failure domain can serve the call, only a share of the calls leaves it (see [`SpillShares`]).
    pub fn pick(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
        request: &PickRequest<'_>,
    ) -> Option<Pick> {
        self.pick_observed(now, rng, request, &mut |_| {})
    }

    /// Chooses a node like [`Self::pick`] and returns all nodes with the reasons why they were not chosen. It draws
    /// random numbers and changes the shares like a choice, so it is asked of a copy.
    pub fn explain(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
        request: &PickRequest<'_>,
    ) -> (Option<Pick>, Vec<CandidateView>) {
        let mut evaluated: Vec<Evaluated> = Vec::new();
        let pick = self.pick_observed(now, rng, request, &mut |choice| {
            evaluated.push(Evaluated {
                node: choice.candidate.entry.node.clone(),
                rank: choice.rank(),
                time_ms: choice.time_ms,
            });
        });
        let chosen = pick.as_ref().and_then(|pick| {
            let mut evaluated = evaluated.iter();
            evaluated.find(|known| known.node == pick.node)
        });
        let chosen_rank = chosen.map(|chosen| chosen.rank);
        // In the order of the candidates.
        let mut evaluated = evaluated.iter().peekable();
        let views = self.candidates.iter().map(|candidate| {
            let entry = &candidate.entry;
            let known = evaluated.next_if(|known| known.node == entry.node);
            let reason = match (usable_backend(candidate, request), known) {
                (Err(reason), _) => Some(reason),
                (Ok(_), None) => Some(NotChosen::Tried),
                (Ok(_), Some(_)) if chosen.is_some_and(|chosen| chosen.node == entry.node) => None,
                (Ok(_), Some(known)) => Some(not_chosen(known.rank, chosen_rank)),
            };
            let backend = candidate.backend();
            let has_reported = candidate.load_at > Duration::ZERO;
            CandidateView {
                node: entry.node.clone(),
                failure_domain: entry.domain.clone(),
                region: entry.region.clone(),
                service: backend.map(|backend| backend.service.clone()),
                version: backend.map(|backend| backend.version.clone()),
                availability: candidate.availability(now),
                time_ms: known.map(|known| known.time_ms),
                cost_ms: known.map(|known| known.rank.2),
                load_age_ms: has_reported.then(|| millis(now.saturating_sub(candidate.load_at))),
                not_chosen: reason,
            }
        });
        (pick, views.collect())
    }

    /// Chooses a node. `observe` is told of each node that the call may be sent to.
    fn pick_observed(
        &mut self,
        now: Duration,
        rng: &mut impl Rng,
        request: &PickRequest<'_>,
        observe: &mut dyn FnMut(&Choice<'_>),
    ) -> Option<Pick> {
        let means = self.means(request.route);
        let is_route_known = means.is_some_and(|means| means.responses >= MIN_RESPONSES);
        let objective_ms = request.objective.as_secs_f64() * 1e3;
        let call = CallCost {
            run_ms: means.map_or(objective_ms * ASSUMED_RUN_SHARE, |means| means.run_ms),
            objective_ms,
            request_kb: kilobytes(request.request_bytes),
            response_kb: means.map_or(UNKNOWN_RESPONSE_KB, |means| means.response_kb),
            failure_cost_runs: if request.idempotent {
                FAILURE_COST_RUNS
            } else {
                FAILURE_COST_RUNS_NOT_IDEMPOTENT
            },
            service_load: self.service_load(request.service),
        };
        let Choices {
            best_of_domains,
            can_stay,
            tried_away,
        } = choices(&self.candidates, now, rng, request, &call, observe);
        let best_of = |of: &dyn Fn(&Choice<'_>) -> bool| {
            let choices = best_of_domains.iter().filter(|choice| of(choice));
            choices.reduce(|best, choice| if choice.is_before(best) { choice } else { best })
        };
        let mut spill_share = 0.0;
        let (chosen, is_spillover) = if let (true, Some(spill)) = (can_stay, &mut self.spill) {
            let is_home = |choice: &Choice<'_>| choice.candidate.is_in_domain();
            let home = best_of(&|choice| {
                is_home(choice) && choice.availability != Availability::Unreachable
            });
            let away = best_of(&|choice| {
                !is_home(choice)
                    && choice.availability == Availability::Available
                    && !choice.is_full
            });
            let is_refusal_expected =
                home.is_none_or(|home| home.availability != Availability::Available);
            for choice in &best_of_domains {
                if is_home(choice) || choice.availability != Availability::Available {
                    continue;
                }
                let costs = SpillCosts {
                    home_ms: home.map(|home| home.cost_ms),
                    away_ms: choice.cost_ms,
                    away_time_ms: choice.time_ms,
                    objective_ms,
                    is_refusal_expected,
                };
                let domain = &choice.candidate.entry.domain;
                let share = spill.on_costs(now, request.service, domain, &costs);
                if away.is_some_and(|away| away.candidate.entry.domain == *domain) {
                    spill_share = share;
                }
            }
            // An unreachable node is used if no other one is left.
            let last_resort = best_of(&is_home).filter(|_| away.is_none());
            // A call that another failure domain has refused stays, if it may be served.
            let tries = if is_refusal_expected {
                MAX_SPILLOVER_TRIES
            } else {
                1
            };
            let away = away.filter(|away| {
                tried_away < tries
                    && home.is_none_or(|home| away.is_before(home))
                    && rng.random_range(0.0..1.0) < spill_share
            });
            let chosen = away.or(home).or(last_resort)?;
            (chosen, away.is_some())
        } else {
            (best_of(&|_| true)?, false)
        };
        let candidate = chosen.candidate;
        let backend = candidate.backend()?;
        Some(Pick {
            node: candidate.entry.node.clone(),
            addr: candidate.entry.addr,
            version: backend.version.clone(),
            incarnation: backend.incarnation(),
            limit: candidate.load.limit,
            cost_ms: chosen.cost_ms,
            time_ms: chosen.time_ms,
            load: candidate.estimated_load(now, call.service_load),
            load_age: now.saturating_sub(candidate.load_at),
            work_time: candidate.work_time(now),
            is_unreachable: chosen.availability == Availability::Unreachable,
            has_free_slot: candidate.has_free_slot(now, call.service_load),
            is_predictable: candidate.warm_at <= now && is_route_known,
            is_spillover,
            spill_share,
            domain: candidate.entry.domain.clone(),
        })
    }

    /// Returns the shares of calls that may leave the own failure domain.
    pub fn spill_mut(&mut self) -> Option<&mut SpillShares> {
        self.spill.as_mut()
    }

    /// Updates the share of calls that may leave from a finished spillover attempt. `elapsed` is the time of the
    /// whole exchange.
    pub fn on_spillover_end(
        &mut self,
        now: Duration,
        service: &ServiceName,
        pick: &Pick,
        feedback: &Feedback<'_>,
        elapsed: Duration,
        request_bytes: usize,
    ) {
        let index = self.index(&pick.node).ok();
        let hop_ms = index.map_or(OTHER_REGION_MS, |index| {
            self.candidates[index].distance.hop_ms()
        });
        let end = match feedback.end {
            AttemptEnd::Ran { .. } => SpillEnd::Accepted {
                hop_ms,
                path_ms: elapsed.saturating_sub(feedback.run).as_secs_f64() * 1e3,
                kilobytes: kilobytes(request_bytes + feedback.bytes) + OVERHEAD_KB,
            },
            AttemptEnd::Overloaded | AttemptEnd::Shed => SpillEnd::Refused,
            AttemptEnd::Unreachable | AttemptEnd::Incomplete => SpillEnd::Unreachable,
            // One node without a backend server says nothing of the others.
            AttemptEnd::NoBackend | AttemptEnd::Cancelled | AttemptEnd::Superseded => {
                SpillEnd::Cancelled
            }
        };
        let Some(spill) = &mut self.spill else {
            return;
        };
        spill.on_end(now, service, &pick.domain, &pick.node, end);
    }

    /// Whether a backend server of the service in these regions, with a version that passes the filter,
    /// accepts calls.
    #[must_use]
    pub fn has_backend_server(
        &self,
        service: &ServiceName,
        regions: &AllowedRegions,
        of: impl Fn(&VersionName) -> bool,
    ) -> bool {
        let mut entries = self.ready_entries(service, regions);
        entries.any(|(_, backend)| of(&backend.version))
    }

    /// Returns the nodes in these regions whose backend servers of the service accept calls.
    fn ready_entries<'a>(
        &'a self,
        service: &'a ServiceName,
        regions: &'a AllowedRegions,
    ) -> impl Iterator<Item = (&'a FleetEntry, &'a BackendReport)> {
        let ready = self
            .candidates
            .iter()
            .filter_map(|candidate| Some((&candidate.entry, candidate.backend()?)));
        ready.filter(move |(entry, backend)| {
            backend.service == *service && regions.allows(&entry.region)
        })
    }

    /// Returns the reason why no backend server of the service may serve a call, if home regions or evacuations
    /// are that reason.
    #[must_use]
    pub fn exclusion(
        &self,
        service: &ServiceName,
        regions: &AllowedRegions,
        evacuations: &Evacuations,
    ) -> Option<ResultCode> {
        let mut ready = self.ready_entries(service, regions).peekable();
        if ready.peek().is_none() {
            let is_restricted = *regions != AllowedRegions::Any;
            return is_restricted.then_some(ResultCode::OutsideHome);
        }
        ready
            .all(|(entry, _)| evacuations.contains(&entry.domain))
            .then_some(ResultCode::DomainEvacuated)
    }

    /// Returns the entry of a node.
    #[must_use]
    pub fn entry(&self, node: &NodeId) -> Option<&FleetEntry> {
        let index = self.index(node).ok()?;
        Some(&self.candidates[index].entry)
    }

    /// Returns the nodes that would refuse a call for the same reason as this node, as far as it is where the
    /// node stands.
    #[must_use]
    pub fn nodes_refusing_as(&self, node: &NodeId, reason: ResultCode) -> Vec<NodeId> {
        let Ok(index) = self.index(node) else {
            return Vec::new();
        };
        let refusing = &self.candidates[index].entry;
        let is_alike = |entry: &&FleetEntry| match reason {
            ResultCode::OutsideHome => entry.region == refusing.region,
            ResultCode::DomainEvacuated => entry.domain == refusing.domain,
            _ => false,
        };
        let alike = self.entries().filter(is_alike);
        alike.map(|entry| entry.node.clone()).collect()
    }

    /// Returns all nodes but this one.
    #[must_use]
    pub fn nodes_besides(&self, node: &NodeId) -> Vec<NodeId> {
        let others = self.entries().filter(|entry| entry.node != *node);
        others.map(|entry| entry.node.clone()).collect()
    }

    /// Applies the load and results that a node reported.
    pub fn on_report(&mut self, now: Duration, node: &NodeId, load: Load, tally: BackendTotals) {
        let Ok(index) = self.index(node) else {
            return;
        };
        let candidate = &mut self.candidates[index];
        candidate.load = load;
        candidate.load_at = now;
        if let Some(backend) = &candidate.entry.backend {
            let calls = f64::from(load.running) + f64::from(load.waiting);
            let share = (calls / f64::from(backend.slots.max(1))).min(MAX_LOAD_SHARE);
            let service = backend.service.clone();
            self.record_service_load(&service, share);
        }
        let candidate = &mut self.candidates[index];
        let added = tally.since(&candidate.tally);
        candidate.tally = tally;
        if added.runs == 0 {
            return;
        }
        if let Some(backend) = candidate.entry.backend.clone() {
            self.version_total(&backend).tally.add(&added);
        }
    }

    /// Applies the results for a route that a node reported.
    pub fn on_route_tally(&mut self, node: &NodeId, route: &RouteName, tally: BackendTotals) {
        let Ok(index) = self.index(node) else {
            return;
        };
        let candidate = &mut self.candidates[index];
        let Some(known) = candidate.routes.entry(route) else {
            return;
        };
        let added = tally.since(known);
        *known = tally;
        if let Some(backend) = candidate.entry.backend.clone()
            && let Some(sum) = self.version_total(&backend).routes.entry(route)
        {
            sum.add(&added);
        }
    }

    /// Forgets the results by route, which are counted while a rollout runs.
    pub fn clear_route_tallies(&mut self) {
        for candidate in &mut self.candidates {
            candidate.routes = RouteTotals::default();
        }
        for total in &mut self.totals {
            total.routes = RouteTotals::default();
        }
    }

    fn service_load(&self, service: &ServiceName) -> f64 {
        let loads = &self.service_loads;
        let found = loads.binary_search_by(|(known, _)| known.cmp(service));
        found.map_or(0.0, |index| loads[index].1)
    }

    fn record_service_load(&mut self, service: &ServiceName, share: f64) {
        let loads = &mut self.service_loads;
        match loads.binary_search_by(|(known, _)| known.cmp(service)) {
            Ok(index) => {
                let mean = &mut loads[index].1;
                *mean += (share - *mean) * SERVICE_LOAD_WEIGHT;
            }
            Err(index) => loads.insert(index, (service.clone(), share * SERVICE_LOAD_WEIGHT)),
        }
    }

    /// Totals are kept per version and only grow. If the results of a node that leaves or restarts
    /// were subtracted, the remaining ones could look slow or failing.
    fn version_total(&mut self, backend: &BackendReport) -> &mut VersionTotal {
        let key = (&backend.service, &backend.version);
        let found = self
            .totals
            .binary_search_by(|total| (&total.service, &total.version).cmp(&key));
        let index = found.unwrap_or_else(|index| {
            let total = VersionTotal {
                service: backend.service.clone(),
                version: backend.version.clone(),
                tally: BackendTotals::default(),
                routes: RouteTotals::default(),
            };
            self.totals.insert(index, total);
            index
        });
        &mut self.totals[index]
    }

    /// Counts the start of an attempt.
    pub fn on_start(&mut self, node: &NodeId) {
        if let Ok(index) = self.index(node) {
            self.candidates[index].in_flight += 1;
        }
    }

    /// Updates the figures of the node and of the route from a finished attempt.
    pub fn on_end(
        &mut self,
        now: Duration,
        node: &NodeId,
        route: &RouteName,
        feedback: &Feedback<'_>,
    ) {
        // The factor of the node is learned without the momentary slowness of its instance, which reports give.
        let work_time = match feedback.report {
            Some((load, _)) => work_time_factor(load.work_time_percent, Duration::ZERO),
            None => self
                .index(node)
                .map_or(1.0, |index| self.candidates[index].work_time(now)),
        };
        let run_ms = feedback.run.as_secs_f64() * 1e3 / work_time;
        let mean_ms = match feedback.end {
            AttemptEnd::Ran { failed: false } => {
                Some(self.record_response(route, run_ms, feedback.bytes))
            }
            AttemptEnd::Superseded => self.means(route).map(|means| means.run_ms.max(1.0)),
            _ => None,
        };
        let Ok(index) = self.index(node) else {
            return;
        };
        if let Some((load, tally)) = feedback.report {
            self.on_report(now, node, load, tally);
        }
        let candidate = &mut self.candidates[index];
        if feedback.report.is_some_and(|(load, _)| load.is_leaving) {
            candidate.leaving = Some(feedback.incarnation.clone());
        }
        candidate.in_flight = candidate.in_flight.saturating_sub(1);
        match feedback.end {
            AttemptEnd::Ran { failed } => {
                candidate.pauses = 0;
                candidate.record_result(now, failed);
            }
            AttemptEnd::Overloaded => {
                candidate.paused_until = now + OVERLOAD_PAUSE;
                candidate.refused_at = Some(now);
            }
            AttemptEnd::Shed | AttemptEnd::Incomplete => candidate.record_result(now, true),
            AttemptEnd::NoBackend | AttemptEnd::Unreachable => {
                candidate.pause(now);
                if candidate.load.limit.is_none() {
                    // A node that has not heard of its backend server yet does not know its slots.
                    candidate.load.slots = 0;
                }
            }
            AttemptEnd::Cancelled | AttemptEnd::Superseded => {}
        }
        if let Some(mean_ms) = mean_ms {
            let relative = (run_ms / mean_ms).clamp(0.1, 20.0);
            candidate.run_time_factor +=
                (relative - candidate.run_time_factor) * RUN_TIME_FACTOR_WEIGHT;
        }
    }

    /// Sums the results of all backend servers whose version passes the filter, and the slots of
    /// those that accept calls.
    #[must_use]
    pub fn results(&self, service: &ServiceName, of: impl Fn(&VersionName) -> bool) -> Results {
        let mut results = Results::default();
        for total in &self.totals {
            if total.service == *service && of(&total.version) {
                results.tally.add(&total.tally);
                results.routes.add(&total.routes);
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
                results.slots = results.slots.saturating_add(backend.slots);
                results.nodes.push(candidate.entry.node.clone());
            }
        }
        results
    }

    fn distance(&self, entry: &FleetEntry) -> Distance {
        if entry.node == self.node {
            Distance::Local
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

    /// Adds a response to the means of its route and returns the mean run time in milliseconds.
    fn record_response(&mut self, route: &RouteName, run_ms: f64, bytes: usize) -> f64 {
        let response_kb = kilobytes(bytes);
        match self.routes.binary_search_by(|means| means.route.cmp(route)) {
            Ok(index) => {
                let means = &mut self.routes[index];
                means.responses = means.responses.saturating_add(1);
                let weight = MEAN_WEIGHT.max(1.0 / f64::from(means.responses));
                means.run_ms += (run_ms - means.run_ms) * weight;
                means.response_kb += (response_kb - means.response_kb) * weight;
                means.run_ms.max(1.0)
            }
            Err(index) => {
                let run_ms = run_ms.max(1.0);
                let route = route.clone();
                self.routes.insert(
                    index,
                    RouteMeans {
                        route,
                        responses: 1,
                        run_ms,
                        response_kb,
                    },
                );
                run_ms
            }
        }
    }
}

fn kilobytes(bytes: usize) -> f64 {
    f64::from(u32::try_from(bytes).unwrap_or(u32::MAX)) / 1e3
}

/// Results of the backend servers of some versions.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// Sum of their results.
    pub tally: BackendTotals,
    /// Sum of their results by route.
    pub routes: RouteTotals,
    /// Total slots of the backend servers that accept calls.
    pub slots: u32,
    /// Nodes of the backend servers that accept calls, sorted.
    pub nodes: Vec<NodeId>,
}
