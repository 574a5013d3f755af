//! Choice of the serving node for an attempt, see `docs/design.md`, section 3, "Routing".
//!
//! * Subset: at most [`SUBSET_SIZE`] candidates of the local region, with those of the local failure
//!   domain first, and as many of other regions. Both are ranked by rendezvous hash, so that entry
//!   nodes spread over the backend servers and a membership change replaces few candidates.
//! * Choice: the better of two random candidates (Mitzenmacher, "The Power of Two Choices in
//!   Randomized Load Balancing", 2001). The score is the expected number of calls ahead times the
//!   latency EWMA. Load and latency figures decay with age, so that a candidate with poor figures is
//!   tried again.
//! * Outliers are ejected for a growing, bounded time, as in Envoy's outlier detection.
//! * A backend server that has just come up gets a growing share, as in Envoy's slow start.

use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::RngExt;

use crate::coordination::rendezvous;
use crate::invariant;
use crate::protocol::gossip::BackendState;
use crate::protocol::gossip::Member;
use crate::protocol::gossip::MemberStatus;
use crate::protocol::name::DomainName;
use crate::protocol::name::NodeId;
use crate::protocol::name::RegionName;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;

/// Candidates per region class and backend version.
pub const SUBSET_SIZE: usize = 8;
/// Age at which a load report no longer counts.
pub const LOAD_LIFETIME: Duration = Duration::from_secs(2);
/// Age at which the weight of the latency EWMA has halved.
pub const LATENCY_HALF_LIFE: Duration = Duration::from_secs(5);
/// Weight of one response in the latency EWMA.
const LATENCY_WEIGHT: f64 = 0.2;
/// Latencies below this are treated alike; about the distance between failure domains.
const MIN_LATENCY: Duration = Duration::from_millis(1);
/// Consecutive failures after which a candidate is ejected.
pub const MAX_FAILURES: u32 = 5;
/// Duration of the first ejection; doubled for each further one.
pub const EJECTION_BASE: Duration = Duration::from_secs(1);
/// Upper bound of the duration of an ejection.
pub const EJECTION_MAX: Duration = Duration::from_secs(30);
/// Time without an ejection after which the next one lasts [`EJECTION_BASE`] again.
pub const EJECTION_FORGET: Duration = Duration::from_mins(1);
/// Time for which a node that refused a call because of load is skipped while others are usable.
pub const OVERLOAD_PAUSE: Duration = Duration::from_millis(50);
/// Time for which a node that refused a call because it is draining is skipped; by then its new
/// state has arrived through gossip (bound of invariant 8).
pub const DRAIN_PAUSE: Duration = Duration::from_secs(2);
/// Time over which the traffic share of a backend server that came up grows to the full one.
pub const SLOW_START: Duration = Duration::from_secs(5);
/// Traffic share at the beginning of the slow start.
const SLOW_START_SHARE: f64 = 0.1;

/// Result of an attempt on a node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// A response that does not count as a failure of the backend server.
    Succeeded,
    /// A response with a status of 500 or higher, a truncated response or a broken connection.
    Failed,
    /// The node refused the call, which did not run, because of load.
    Overloaded,
    /// The node refused the call, which did not run, for another reason such as draining.
    Refused,
    /// No response in time.
    TimedOut,
    /// The connection could not be opened.
    ConnectFailed,
    /// Cancelled by the caller; says nothing about the node.
    Cancelled,
}

/// Measurements from a finished attempt.
#[derive(Clone, Copy, Debug)]
pub struct Feedback {
    /// Result of the attempt.
    pub end: AttemptEnd,
    /// Time since the start of the attempt.
    pub latency: Duration,
    /// Value of the response's `sw-load` header.
    pub load: Option<u32>,
}

/// Reason for a choice, which is logged with it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PickReason {
    /// The only usable candidate of the local region.
    OnlyLocal,
    /// The better of two candidates of the local region.
    LocalByScore,
    /// No candidate of the local region is usable.
    RemoteRegion,
    /// No candidate is usable, so one that is ejected or has refused a call is tried.
    LastResort,
}

impl PickReason {
    /// Returns the text for the log line.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OnlyLocal => "only usable candidate in the region",
            Self::LocalByScore => "better of two in the region",
            Self::RemoteRegion => "no usable candidate in the region",
            Self::LastResort => "no usable candidate at all",
        }
    }
}

/// A chosen serving node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Pick {
    /// The node.
    pub node: NodeId,
    /// Address of its node port.
    pub addr: SocketAddr,
    /// Reason for the choice.
    pub reason: PickReason,
}

#[derive(Debug)]
struct Peer {
    id: NodeId,
    addr: SocketAddr,
    incarnation: u64,
    status: MemberStatus,
    domain: DomainName,
    region: RegionName,
    backend: Option<BackendState>,
    up_since: Duration,
    in_flight: u32,
    other_load: f64,
    load_at: Duration,
    latency_s: f64,
    latency_at: Duration,
    failures: u32,
    ejections: u32,
    ejected_until: Duration,
    paused_until: Duration,
}

impl Peer {
    fn is_candidate(&self) -> bool {
        matches!(self.status, MemberStatus::Alive | MemberStatus::Suspect)
            && self.backend.as_ref().is_some_and(|backend| backend.up)
    }

    fn serves(&self, service: &ServiceName, version: &VersionName) -> bool {
        self.backend
            .as_ref()
            .is_some_and(|backend| backend.service == *service && backend.version == *version)
    }

    fn is_usable(&self, now: Duration) -> bool {
        self.ejected_until <= now && self.paused_until <= now
    }

    /// Expected time until a further call is answered; lower is better.
    fn score(&self, now: Duration) -> f64 {
        let load_age = now.saturating_sub(self.load_at).as_secs_f64();
        let load_weight = (1.0 - load_age / LOAD_LIFETIME.as_secs_f64()).max(0.0);
        let calls_ahead = f64::from(self.in_flight) + self.other_load * load_weight;
        let latency_age = now.saturating_sub(self.latency_at).as_secs_f64();
        let latency_weight = 1.0 / (1.0 + latency_age / LATENCY_HALF_LIFE.as_secs_f64());
        let min_s = MIN_LATENCY.as_secs_f64();
        let latency = min_s + (self.latency_s - min_s).max(0.0) * latency_weight;
        let up_for = now.saturating_sub(self.up_since).as_secs_f64();
        let share = (up_for / SLOW_START.as_secs_f64()).clamp(SLOW_START_SHARE, 1.0);
        (calls_ahead + 1.0) * latency / share
    }
}

/// Candidates of one backend version. They are kept by id, since an insertion into the peers
/// changes the indices.
#[derive(Debug)]
struct Pool {
    service: ServiceName,
    version: VersionName,
    local: Vec<NodeId>,
    remote: Vec<NodeId>,
}

/// Chooses serving nodes for the calls of one entry node.
#[derive(Debug)]
pub struct Balancer {
    own_id: NodeId,
    region: RegionName,
    domain: DomainName,
    /// Sorted by id. Members that have left or died stay until [`Balancer::on_members`] removes
    /// them, so that a late update about an earlier incarnation is recognised.
    peers: Vec<Peer>,
    /// Sorted by service and version.
    pools: Vec<Pool>,
}

impl Balancer {
    /// Creates the balancer of the entry node `own_id`.
    #[must_use]
    pub fn new(own_id: NodeId, region: RegionName, domain: DomainName) -> Self {
        Self {
            own_id,
            region,
            domain,
            peers: Vec::new(),
            pools: Vec::new(),
        }
    }

    /// Applies a complete member list and removes members that are not in it.
    pub fn on_members(&mut self, now: Duration, members: &[Member]) {
        let mut ids: Vec<&NodeId> = members.iter().map(|member| &member.id).collect();
        ids.sort_unstable();
        self.peers
            .retain(|peer| ids.binary_search(&&peer.id).is_ok());
        for member in members {
            self.update(now, member);
        }
        self.rebuild_all();
    }

    /// Applies the state of one member.
    pub fn on_member(&mut self, now: Duration, member: &Member) {
        let before = self.peer(&member.id).and_then(|peer| peer.backend.clone());
        if !self.update(now, member) {
            return;
        }
        for backend in [before.as_ref(), member.backend.as_ref()]
            .into_iter()
            .flatten()
        {
            self.rebuild(&backend.service, &backend.version);
        }
    }

    /// Removes a member.
    pub fn forget(&mut self, id: &NodeId) {
        let Ok(index) = self.peers.binary_search_by(|peer| peer.id.cmp(id)) else {
            return;
        };
        let peer = self.peers.remove(index);
        if let Some(backend) = peer.backend {
            self.rebuild(&backend.service, &backend.version);
        }
    }

    /// Chooses a node for an attempt. `exclude` lists the nodes that this call has tried already.
    ///
    /// # Panics
    /// In builds with debug assertions, if invariant 8 is violated.
    pub fn pick(
        &self,
        now: Duration,
        rng: &mut impl Rng,
        service: &ServiceName,
        version: &VersionName,
        exclude: &[NodeId],
    ) -> Option<Pick> {
        let pool = &self.pools[self.pool_index(service, version).ok()?];
        let usable = |peer: &Peer| peer.is_usable(now);
        let (peer, reason) =
            if let Some((peer, count)) = self.choose(now, rng, &pool.local, exclude, usable) {
                let reason = if count == 1 {
                    PickReason::OnlyLocal
                } else {
                    PickReason::LocalByScore
                };
                (peer, reason)
            } else if let Some((peer, _)) = self.choose(now, rng, &pool.remote, exclude, usable) {
                (peer, PickReason::RemoteRegion)
            } else {
                let any = |_: &Peer| true;
                let (peer, _) = self
                    .choose(now, rng, &pool.local, exclude, any)
                    .or_else(|| self.choose(now, rng, &pool.remote, exclude, any))?;
                (peer, PickReason::LastResort)
            };
        let in_service = peer.is_candidate() && peer.serves(service, version);
        if !invariant::check(
            8,
            in_service,
            "pick of a node whose backend server has left",
        ) {
            return None;
        }
        Some(Pick {
            node: peer.id.clone(),
            addr: peer.addr,
            reason,
        })
    }

    /// Whether a candidate exists outside `exclude`.
    #[must_use]
    pub fn has_untried(
        &self,
        service: &ServiceName,
        version: &VersionName,
        exclude: &[NodeId],
    ) -> bool {
        self.pool_index(service, version).is_ok_and(|index| {
            let pool = &self.pools[index];
            pool.local
                .iter()
                .chain(&pool.remote)
                .any(|id| !exclude.contains(id))
        })
    }

    /// Counts the start of an attempt.
    pub fn on_start(&mut self, node: &NodeId) {
        if let Some(peer) = self.peer_mut(node) {
            peer.in_flight += 1;
        }
    }

    /// Updates the figures of the node from a finished attempt.
    pub fn on_finish(&mut self, now: Duration, node: &NodeId, feedback: Feedback) {
        let Some(peer) = self.peer_mut(node) else {
            return;
        };
        peer.in_flight = peer.in_flight.saturating_sub(1);
        if let Some(load) = feedback.load {
            // The calls of this entry node are counted exactly and must not count twice.
            peer.other_load = f64::from(load.saturating_sub(peer.in_flight));
            peer.load_at = now;
        }
        match feedback.end {
            AttemptEnd::Succeeded => {
                peer.failures = 0;
                observe_latency(peer, now, feedback.latency);
            }
            AttemptEnd::Failed => {
                peer.failures += 1;
            }
            AttemptEnd::TimedOut => {
                peer.failures += 1;
                observe_latency(peer, now, feedback.latency);
            }
            AttemptEnd::Overloaded => peer.paused_until = now + OVERLOAD_PAUSE,
            AttemptEnd::Refused => peer.paused_until = now + DRAIN_PAUSE,
            AttemptEnd::ConnectFailed => peer.failures = MAX_FAILURES,
            AttemptEnd::Cancelled => {}
        }
        if peer.failures >= MAX_FAILURES && peer.ejected_until <= now {
            let refused = feedback.end == AttemptEnd::ConnectFailed;
            self.eject(now, node, refused);
        }
    }

    /// Whether a node is ejected; for metrics and the log.
    #[must_use]
    pub fn is_ejected(&self, now: Duration, node: &NodeId) -> bool {
        self.peer(node).is_some_and(|peer| peer.ejected_until > now)
    }

    /// Calls of this entry node in flight to a node; for metrics and the log.
    #[must_use]
    pub fn in_flight(&self, node: &NodeId) -> u32 {
        self.peer(node).map_or(0, |peer| peer.in_flight)
    }

    /// Candidates of a backend version: those of the local region and those of other regions.
    #[must_use]
    pub fn subset(&self, service: &ServiceName, version: &VersionName) -> (&[NodeId], &[NodeId]) {
        self.pool_index(service, version)
            .map_or((&[], &[]), |index| {
                let pool = &self.pools[index];
                (&pool.local, &pool.remote)
            })
    }

    /// Returns the better of two random peers among those that pass the filter, and their number.
    fn choose(
        &self,
        now: Duration,
        rng: &mut impl Rng,
        ids: &[NodeId],
        exclude: &[NodeId],
        filter: impl Fn(&Peer) -> bool,
    ) -> Option<(&Peer, usize)> {
        let mut found: [Option<&Peer>; SUBSET_SIZE] = [None; SUBSET_SIZE];
        let mut count = 0;
        for id in ids.iter().filter(|id| !exclude.contains(id)) {
            if let Some(peer) = self.peer(id).filter(|peer| filter(peer)) {
                found[count] = Some(peer);
                count += 1;
            }
        }
        if count < 2 {
            return found[0].map(|peer| (peer, count));
        }
        let first = rng.random_range(0..count);
        let second = (first + rng.random_range(1..count)) % count;
        let (first, second) = (found[first]?, found[second]?);
        let better = if second.score(now) < first.score(now) {
            second
        } else {
            first
        };
        Some((better, count))
    }

    /// Ejects a node unless too many are ejected already: for failures at most half of the
    /// candidates of its class (local or remote), for refused connections at most half of the whole
    /// subset. A refused connection proves that the node is unusable, and with a single candidate
    /// in the region every call would otherwise spend a retry on it.
    fn eject(&mut self, now: Duration, node: &NodeId, refused: bool) {
        let Some(backend) = self.peer(node).and_then(|peer| peer.backend.as_ref()) else {
            return;
        };
        let Ok(index) = self.pool_index(&backend.service, &backend.version) else {
            return;
        };
        let pool = &self.pools[index];
        let subset = pool.local.iter().chain(&pool.remote);
        let class: &[NodeId] = if pool.local.contains(node) {
            &pool.local
        } else {
            &pool.remote
        };
        let is_ejected = |id: &&NodeId| self.is_ejected(now, id);
        let (size, ejected) = if refused {
            (subset.clone().count(), subset.filter(is_ejected).count())
        } else {
            (class.len(), class.iter().filter(is_ejected).count())
        };
        if (ejected + 1) * 2 > size {
            return;
        }
        if let Some(peer) = self.peer_mut(node) {
            if now > peer.ejected_until + EJECTION_FORGET {
                peer.ejections = 0;
            }
            let time = EJECTION_BASE
                .saturating_mul(1 << peer.ejections.min(10))
                .min(EJECTION_MAX);
            peer.ejections += 1;
            peer.ejected_until = now + time;
            // A single failure after the ejection triggers the next one.
            peer.failures = MAX_FAILURES - 1;
        }
    }

    /// Returns whether the candidates may have changed.
    fn update(&mut self, now: Duration, member: &Member) -> bool {
        match self.peers.binary_search_by(|peer| peer.id.cmp(&member.id)) {
            Ok(index) => {
                let peer = &mut self.peers[index];
                let newer = (member.incarnation, member.status) >= (peer.incarnation, peer.status);
                if !newer {
                    return false;
                }
                let was_candidate = peer.is_candidate();
                let other_version = match (&peer.backend, &member.backend) {
                    (Some(old), Some(new)) => {
                        old.service != new.service || old.version != new.version
                    }
                    _ => true,
                };
                peer.incarnation = member.incarnation;
                peer.status = member.status;
                peer.domain = member.domain.clone();
                peer.region = member.region.clone();
                peer.addr = member.node_addr;
                peer.backend.clone_from(&member.backend);
                if peer.is_candidate() && (!was_candidate || other_version) {
                    peer.up_since = now;
                    peer.failures = 0;
                    peer.paused_until = Duration::ZERO;
                    peer.ejected_until = Duration::ZERO;
                    peer.latency_s = 0.0;
                    peer.other_load = 0.0;
                }
                true
            }
            Err(index) => {
                let peer = Peer {
                    id: member.id.clone(),
                    addr: member.node_addr,
                    incarnation: member.incarnation,
                    status: member.status,
                    domain: member.domain.clone(),
                    region: member.region.clone(),
                    backend: member.backend.clone(),
                    up_since: now,
                    in_flight: 0,
                    other_load: 0.0,
                    load_at: Duration::ZERO,
                    latency_s: 0.0,
                    latency_at: Duration::ZERO,
                    failures: 0,
                    ejections: 0,
                    ejected_until: Duration::ZERO,
                    paused_until: Duration::ZERO,
                };
                self.peers.insert(index, peer);
                true
            }
        }
    }

    fn rebuild_all(&mut self) {
        let mut keys: Vec<(ServiceName, VersionName)> = self
            .peers
            .iter()
            .filter_map(|peer| peer.backend.as_ref())
            .map(|backend| (backend.service.clone(), backend.version.clone()))
            .collect();
        keys.sort_unstable();
        keys.dedup();
        self.pools.clear();
        for (service, version) in keys {
            self.rebuild(&service, &version);
        }
    }

    fn rebuild(&mut self, service: &ServiceName, version: &VersionName) {
        let mut ranked: Vec<(bool, bool, u64, &NodeId)> = self
            .peers
            .iter()
            .filter(|peer| peer.is_candidate() && peer.serves(service, version))
            .map(|peer| {
                let weight = rendezvous::weight(self.own_id.as_str(), peer.id.as_str());
                let remote = peer.region != self.region;
                (
                    remote,
                    peer.domain != self.domain,
                    u64::MAX - weight,
                    &peer.id,
                )
            })
            .collect();
        ranked.sort_unstable();
        let subset = |remote: bool| -> Vec<NodeId> {
            ranked
                .iter()
                .filter(|entry| entry.0 == remote)
                .take(SUBSET_SIZE)
                .map(|entry| entry.3.clone())
                .collect()
        };
        let pool = Pool {
            service: service.clone(),
            version: version.clone(),
            local: subset(false),
            remote: subset(true),
        };
        let empty = pool.local.is_empty() && pool.remote.is_empty();
        match self.pool_index(service, version) {
            Ok(index) if empty => {
                self.pools.remove(index);
            }
            Ok(index) => self.pools[index] = pool,
            Err(_) if empty => {}
            Err(index) => self.pools.insert(index, pool),
        }
    }

    fn pool_index(&self, service: &ServiceName, version: &VersionName) -> Result<usize, usize> {
        self.pools
            .binary_search_by(|pool| (&pool.service, &pool.version).cmp(&(service, version)))
    }

    fn peer(&self, id: &NodeId) -> Option<&Peer> {
        let index = self.peers.binary_search_by(|peer| peer.id.cmp(id)).ok()?;
        Some(&self.peers[index])
    }

    fn peer_mut(&mut self, id: &NodeId) -> Option<&mut Peer> {
        let index = self.peers.binary_search_by(|peer| peer.id.cmp(id)).ok()?;
        Some(&mut self.peers[index])
    }
}

fn observe_latency(peer: &mut Peer, now: Duration, latency: Duration) {
    let sample = latency.as_secs_f64();
    peer.latency_s = if peer.latency_s == 0.0 {
        sample
    } else {
        peer.latency_s + (sample - peer.latency_s) * LATENCY_WEIGHT
    };
    peer.latency_at = now;
}
