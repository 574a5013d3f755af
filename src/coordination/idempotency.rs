//! Keys of non-idempotent calls: at most one run per key, see `docs/design.md`, section 3, "At most
//! once".
//!
//! A [`Claimant`] at the entry node claims the key at its three key replicas ([`replicas_for`]) and
//! dispatches after two grants. A [`KeyReplica`] grants a key to one claim and to no other one until
//! that claim is released. A claim is released only by a claimant that has not dispatched and never
//! will. Two claims of a key therefore cannot both have two grants:
//!
//! * Two pairs of three replicas have one in common, and that one has granted both claims only if
//!   the first was released before.
//! * A key replica that may have forgotten a grant, because it started or replaced another one,
//!   abstains. The exception is a key that was created after that event, by its `UUIDv7` timestamp
//!   and [`MAX_CLOCK_SKEW`]. What the clocks do not use up of the skew is time for the event to
//!   become known to the other nodes.
//! * A claim that is granted late, after its claimant gave up, only blocks the key. The claimant
//!   therefore releases also where it got no reply, and the replica remembers released claims for
//!   [`TOMBSTONE_TIME`], so that a release that overtakes its claim takes effect.
//! * A grant counts only if it arrives within [`CLAIM_TIMEOUT`], and a claim expires after
//!   [`MAX_CLAIM_AGE`], long before the records of it do.
//!
//! # What can still fail
//!
//! * A key can run twice if the member views diverge in two failure domains for the same key at the
//!   same moment for longer than [`MAX_CLOCK_SKEW`], so that two pairs of replicas exist.
//! * The same holds while nodes have different lists of regions or failure domains, that is for
//!   keys in flight while a configuration that changes these lists is coming into force.
//! * An opaque key, or a `UUIDv7` key from a clock ahead by more than [`MAX_CLOCK_SKEW`], can run
//!   again after [`KEY_WINDOW`].
//! * A key can run twice if clocks differ by more than [`MAX_CLOCK_SKEW`] and a key replica
//!   restarts at the same time, in two failure domains.
//! * A node that is paused between [`Claimant::dispatch`] and the write to its socket sends the
//!   request late. This is harmless within [`KEY_WINDOW`], since the replicas keep the claim.
//! * A release that is lost, or a claim that arrives more than [`TOMBSTONE_TIME`] after its release,
//!   leaves the key blocked at that replica: later claims get `Running`, then `Unknown`, although
//!   nothing ran. The error is on the safe side.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use uuid::Uuid;

use crate::coordination::membership::Departed;
use crate::coordination::rendezvous;
use crate::invariant;
use crate::protocol::call::Run;
use crate::protocol::claim::ClaimId;
use crate::protocol::claim::ClaimReply;
use crate::protocol::claim::ClaimRequest;
use crate::protocol::claim::CompleteRequest;
use crate::protocol::claim::RecordedAnswer;
use crate::protocol::claim::ReleaseRequest;
use crate::protocol::document::Region;
use crate::protocol::gossip::Member;
use crate::protocol::gossip::MemberStatus;
use crate::protocol::name::DomainName;
use crate::protocol::name::NodeId;
use crate::protocol::name::RouteName;
use crate::protocol::time::WallMs;
use crate::result_code::ResultCode;

/// Time for which a key is protected after its claim.
pub const KEY_WINDOW: Duration = Duration::from_mins(10);
/// Largest difference between two clocks of the fleet and its callers.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);
/// Time after its claim at which a call that has not ended is reported as `Unknown` instead of
/// `Running`. Longer than the deadlines of ordinary calls; a later completion still counts.
pub const RUNNING_TIME: Duration = Duration::from_secs(30);
/// Time for which a released claim is remembered. Messages older than 30 s are dropped as not
/// authentic, so that no claim arrives later than that.
pub const TOMBSTONE_TIME: Duration = Duration::from_mins(1);
/// Time for which a claimant waits for grants; several round trips between regions (8 ms each).
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(100);
/// Age at which a claim must not be dispatched any more, whatever the call's deadline is.
pub const MAX_CLAIM_AGE: Duration = Duration::from_secs(30);
/// Time between two ticks after which a key replica assumes that it was paused and that another
/// member may have replaced it meanwhile; below the shortest suspicion timeout plus one probe.
pub const PAUSE_LIMIT: Duration = Duration::from_secs(3);
/// Key replicas of a key.
pub const REPLICAS: usize = 3;
/// Grants that a claimant needs.
pub const QUORUM: usize = 2;
/// Largest body that is kept with a key, bytes.
pub const MAX_ANSWER_BYTES: usize = 4 << 10;
/// Bodies that a key replica keeps in total, bytes.
pub const MAX_ANSWERS_BYTES: usize = 4 << 20;
/// Keys that a key replica keeps; more claims get `Abstain`. The expected number is 7,000.
pub const MAX_KEYS: usize = 1 << 15;
/// Released claims that a key replica remembers; the oldest are forgotten first.
pub const MAX_TOMBSTONES: usize = 1 << 13;
/// Records are dropped in groups of this time, so that expiry moves no records.
const BUCKET_SPAN: Duration = Duration::from_mins(1);

/// Returns the key under which a caller's key of a route is claimed.
#[must_use]
pub fn scoped_key(route: &RouteName, key: &str) -> Arc<str> {
    format!("{route}/{key}").into()
}

/// Returns the creation time of a key that ends with a `UUIDv7`.
#[must_use]
pub fn created_at(key: &str) -> Option<WallMs> {
    let start = key.len().checked_sub(uuid::fmt::Hyphenated::LENGTH)?;
    let id = Uuid::parse_str(key.get(start..)?).ok()?;
    if id.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = id.get_timestamp()?.to_unix();
    Some(WallMs(seconds * 1_000 + u64::from(nanos) / 1_000_000))
}

/// What a key replica knows of the fleet when it decides on a claim.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaView<'a> {
    /// All members, this node included, in any order.
    pub members: &'a [Member],
    /// Start of this process.
    pub started_at: WallMs,
    /// When this node last learned that others had declared it dead.
    pub declared_dead_at: Option<WallMs>,
    /// Members that left within [`KEY_WINDOW`].
    pub departed: &'a [Departed],
}

fn may_be_replica(member: &Member) -> bool {
    matches!(member.status, MemberStatus::Alive | MemberStatus::Suspect)
}

/// Returns the key replica of a failure domain.
#[must_use]
pub fn replica_in<'a>(key: &str, domain: &DomainName, members: &'a [Member]) -> Option<&'a Member> {
    members
        .iter()
        .filter(|member| may_be_replica(member) && member.domain == *domain)
        .max_by_key(|member| {
            let weight = rendezvous::weight(key, member.id.as_str());
            (weight, &member.id)
        })
}

/// Returns the key replicas of a key, one for each of three failure domains: those of the key's
/// home region by rendezvous hash, filled up from the next regions. A failure domain without
/// members is `None` and still counts, since the quorum must not shrink with the view.
#[must_use]
pub fn replicas_for(
    key: &str,
    regions: &[Region],
    members: &[Member],
) -> [Option<(DomainName, NodeId, SocketAddr)>; REPLICAS] {
    let mut ranked: Vec<&Region> = regions.iter().collect();
    ranked.sort_by_cached_key(|region| {
        let weight = rendezvous::weight(key, region.name.as_str());
        (u64::MAX - weight, &region.name)
    });
    let mut replicas = [const { None }; REPLICAS];
    let domains = ranked.into_iter().flat_map(|region| {
        let mut domains: Vec<&DomainName> = region.failure_domains.iter().collect();
        domains.sort_by_cached_key(|domain| {
            let weight = rendezvous::weight(key, domain.as_str());
            (u64::MAX - weight, *domain)
        });
        domains
    });
    for (slot, domain) in replicas.iter_mut().zip(domains) {
        *slot = replica_in(key, domain, members)
            .map(|member| (domain.clone(), member.id.clone(), member.node_addr));
    }
    replicas
}

#[derive(Debug)]
enum KeyState {
    /// Granted to the claim, whose end is not known.
    Held,
    /// Ran; the response.
    Done(RecordedAnswer),
    /// Dispatched; the outcome is unknown.
    Unknown,
}

#[derive(Debug)]
struct KeyRecord {
    key: Arc<str>,
    fingerprint: u64,
    claim: ClaimId,
    claimed_at: Duration,
    state: KeyState,
}

impl KeyRecord {
    fn held(now: Duration, key: &Arc<str>, fingerprint: u64, claim: &ClaimId) -> Self {
        Self {
            key: key.clone(),
            fingerprint,
            claim: claim.clone(),
            claimed_at: now,
            state: KeyState::Held,
        }
    }
}

impl KeyRecord {
    fn body_len(&self) -> usize {
        match &self.state {
            KeyState::Done(answer) => answer.body.as_ref().map_or(0, Vec::len),
            KeyState::Held | KeyState::Unknown => 0,
        }
    }
}

#[derive(Debug)]
struct Bucket {
    since: Duration,
    /// Sorted by key.
    records: Vec<KeyRecord>,
}

#[derive(Debug)]
struct Tombstone {
    key: Arc<str>,
    claim: ClaimId,
    at: Duration,
}

/// Keeps the keys of which this node is a key replica.
#[derive(Debug)]
pub struct KeyReplica {
    me: NodeId,
    domain: DomainName,
    /// Oldest first; a key stands in one bucket only.
    buckets: VecDeque<Bucket>,
    len: usize,
    /// Oldest first.
    tombstones: VecDeque<Tombstone>,
    /// Keys with stored bodies, oldest first; may contain keys that are gone.
    stored: VecDeque<Arc<str>>,
    stored_bytes: usize,
    ticked: Option<(Duration, WallMs)>,
    paused_at: Option<WallMs>,
}

impl KeyReplica {
    /// Creates the key replica of the node `me` in the failure domain `domain`.
    #[must_use]
    pub fn new(me: NodeId, domain: DomainName) -> Self {
        Self {
            me,
            domain,
            buckets: VecDeque::new(),
            len: 0,
            tombstones: VecDeque::new(),
            stored: VecDeque::new(),
            stored_bytes: 0,
            ticked: None,
            paused_at: None,
        }
    }

    /// Number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether no key is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Bytes of the bodies that are kept.
    #[must_use]
    pub fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Drops what has expired and detects that this process was paused. Must be called at least
    /// once per second.
    pub fn tick(&mut self, now: Duration, wall: WallMs) {
        if let Some((last, last_wall)) = self.ticked {
            let gap = now.saturating_sub(last).max(wall.since(last_wall));
            if gap > PAUSE_LIMIT {
                self.paused_at = Some(wall);
            }
        }
        self.ticked = Some((now, wall));
        // A `UUIDv7` key must be older than the window by the time its record is dropped.
        let kept = KEY_WINDOW + 2 * MAX_CLOCK_SKEW + BUCKET_SPAN;
        while let Some(bucket) = self.buckets.pop_front_if(|b| b.since + kept <= now) {
            self.len -= bucket.records.len();
            self.stored_bytes -= bucket
                .records
                .iter()
                .map(KeyRecord::body_len)
                .sum::<usize>();
        }
        while let Some(key) = self.stored.front()
            && self.find(key).is_none()
        {
            self.stored.pop_front();
        }
        while self
            .tombstones
            .pop_front_if(|t| t.at + TOMBSTONE_TIME <= now)
            .is_some()
        {}
    }

    /// Decides on a claim.
    pub fn claim(
        &mut self,
        now: Duration,
        wall: WallMs,
        view: &ReplicaView<'_>,
        request: &ClaimRequest,
    ) -> ClaimReply {
        self.tick(now, wall);
        if self.is_released(&request.key, &request.claim) {
            return ClaimReply::Abstain;
        }
        if let Some(record) = self.find(&request.key) {
            return Self::repeated(now, view, record, request);
        }
        let mine = replica_in(&request.key, &request.domain, view.members)
            .is_some_and(|member| member.id == self.me);
        if !mine || request.domain != self.domain || self.len >= MAX_KEYS {
            return ClaimReply::Abstain;
        }
        // A timestamp in the future says nothing about the order of events.
        let created =
            created_at(&request.key).filter(|created| *created <= wall.plus(MAX_CLOCK_SKEW));
        if created.is_some_and(|created| wall.since(created) > KEY_WINDOW) {
            return ClaimReply::Unknown;
        }
        let complete_since = self.complete_since(view, &request.key);
        let created_after =
            created.is_some_and(|created| created > complete_since.plus(MAX_CLOCK_SKEW));
        let window_passed = wall.since(complete_since) > KEY_WINDOW;
        if !created_after && !window_passed {
            return ClaimReply::Abstain;
        }
        self.insert(
            now,
            KeyRecord::held(now, &request.key, request.fingerprint, &request.claim),
        );
        ClaimReply::Granted
    }

    /// Gives up a claim that was not dispatched. Takes effect also if the claim arrives later.
    ///
    /// # Panics
    /// In builds with debug assertions, if the claim was reported as dispatched before (invariant
    /// 7).
    pub fn release(&mut self, now: Duration, request: &ReleaseRequest) {
        if let Some((bucket, index)) = self.position(&request.key) {
            let record = &self.buckets[bucket].records[index];
            if record.claim == request.claim {
                let held = matches!(record.state, KeyState::Held);
                if !invariant::check(7, held, "release of a claim that was dispatched") {
                    return;
                }
                self.buckets[bucket].records.remove(index);
                self.len -= 1;
            }
        }
        if !self.is_released(&request.key, &request.claim) {
            if self.tombstones.len() >= MAX_TOMBSTONES {
                self.tombstones.pop_front();
            }
            self.tombstones.push_back(Tombstone {
                key: request.key.clone(),
                claim: request.claim.clone(),
                at: now,
            });
        }
    }

    /// Records the end of a dispatched call, also if this replica did not grant its claim.
    ///
    /// # Panics
    /// In builds with debug assertions, if another claim of the key was dispatched, too, or this
    /// one was released (invariant 7).
    pub fn complete(&mut self, now: Duration, request: &CompleteRequest) {
        let released = self.is_released(&request.key, &request.claim);
        let _ = invariant::check(7, !released, "completion of a claim that was released");
        let state = match &request.answer {
            None => KeyState::Unknown,
            Some(answer) => {
                let mut answer = answer.clone();
                answer.body = answer.body.filter(|body| body.len() <= MAX_ANSWER_BYTES);
                KeyState::Done(answer)
            }
        };
        let (bucket, index) = if let Some(position) = self.position(&request.key) {
            position
        } else {
            if self.len >= MAX_KEYS {
                return;
            }
            self.insert(
                now,
                KeyRecord::held(now, &request.key, request.fingerprint, &request.claim),
            )
        };
        let record = &mut self.buckets[bucket].records[index];
        if record.claim != request.claim {
            // The other claim has at most this one grant and will be released.
            let held = matches!(record.state, KeyState::Held);
            if !invariant::check(7, held, "two claims of one key were dispatched") {
                return;
            }
            record.claim = request.claim.clone();
            record.fingerprint = request.fingerprint;
        }
        if matches!(record.state, KeyState::Done(_)) {
            return;
        }
        record.state = state;
        let bytes = record.body_len();
        if bytes > 0 {
            self.stored.push_back(request.key.clone());
            self.stored_bytes += bytes;
            self.evict();
        }
    }

    fn repeated(
        now: Duration,
        view: &ReplicaView<'_>,
        record: &KeyRecord,
        request: &ClaimRequest,
    ) -> ClaimReply {
        if record.fingerprint != request.fingerprint {
            return ClaimReply::Mismatch;
        }
        match &record.state {
            KeyState::Done(answer) => ClaimReply::Done(answer.clone()),
            KeyState::Unknown => ClaimReply::Unknown,
            KeyState::Held if record.claim == request.claim => ClaimReply::Granted,
            KeyState::Held => {
                let claimant_lives = view.members.iter().any(|member| {
                    member.id == record.claim.node
                        && member.status != MemberStatus::Dead
                        && member.started_at.0 <= record.claim.started_ms
                });
                if claimant_lives && now.saturating_sub(record.claimed_at) < RUNNING_TIME {
                    ClaimReply::Running
                } else {
                    ClaimReply::Unknown
                }
            }
        }
    }

    /// Returns the time since which no grant of this key can be missing here.
    fn complete_since(&self, view: &ReplicaView<'_>, key: &str) -> WallMs {
        let own = rendezvous::weight(key, self.me.as_str());
        let outranked = view
            .departed
            .iter()
            .filter(|departed| {
                departed.domain == self.domain
                    && (rendezvous::weight(key, departed.id.as_str()), &departed.id)
                        > (own, &self.me)
            })
            .map(|departed| departed.at);
        [Some(view.started_at), view.declared_dead_at, self.paused_at]
            .into_iter()
            .flatten()
            .chain(outranked)
            .max()
            .unwrap_or_default()
    }

    fn is_released(&self, key: &str, claim: &ClaimId) -> bool {
        self.tombstones
            .iter()
            .any(|tombstone| tombstone.claim == *claim && *tombstone.key == *key)
    }

    fn position(&self, key: &str) -> Option<(usize, usize)> {
        self.buckets
            .iter()
            .enumerate()
            .rev()
            .find_map(|(at, bucket)| {
                let index = bucket
                    .records
                    .binary_search_by(|record| (*record.key).cmp(key))
                    .ok()?;
                Some((at, index))
            })
    }

    fn find(&self, key: &str) -> Option<&KeyRecord> {
        let (bucket, index) = self.position(key)?;
        Some(&self.buckets[bucket].records[index])
    }

    fn insert(&mut self, now: Duration, record: KeyRecord) -> (usize, usize) {
        let current = self
            .buckets
            .back()
            .is_some_and(|bucket| now < bucket.since + BUCKET_SPAN);
        if !current {
            self.buckets.push_back(Bucket {
                since: now,
                records: Vec::new(),
            });
        }
        let last = self.buckets.len() - 1;
        let records = &mut self.buckets[last].records;
        let index = records
            .binary_search_by(|other| other.key.cmp(&record.key))
            .unwrap_or_else(|index| index);
        records.insert(index, record);
        self.len += 1;
        (last, index)
    }

    /// Drops the oldest bodies until the rest fits; their keys stay and are answered with 409.
    fn evict(&mut self) {
        while self.stored_bytes > MAX_ANSWERS_BYTES {
            let Some(key) = self.stored.pop_front() else {
                return;
            };
            let Some((bucket, index)) = self.position(&key) else {
                continue;
            };
            let record = &mut self.buckets[bucket].records[index];
            self.stored_bytes -= record.body_len();
            if let KeyState::Done(answer) = &mut record.state {
                answer.body = None;
            }
        }
    }
}

/// Decision of a claimant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Decision {
    /// The call may be dispatched, see [`Claimant::dispatch`].
    Dispatch,
    /// The key ran; answer with its response.
    Replay(RecordedAnswer),
    /// The call is refused.
    Refuse(ResultCode, Run),
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Stage {
    /// Waits for replies.
    Claiming,
    /// Has two grants and may dispatch.
    Granted,
    /// An attempt is under way or may have run.
    Dispatched,
    /// Will never dispatch; the claim is released.
    GivenUp,
    /// The call ran to its end or to an unknown outcome.
    Ended,
}

/// Claims one key for one call at the entry node.
#[derive(Debug)]
pub struct Claimant {
    claim: ClaimId,
    key: Arc<str>,
    fingerprint: u64,
    started: Duration,
    started_wall: WallMs,
    deadline: Duration,
    domains: [Option<DomainName>; REPLICAS],
    replies: [Option<ClaimReply>; REPLICAS],
    unreachable: [bool; REPLICAS],
    stage: Stage,
}

impl Claimant {
    /// Creates the claimant of a call. `now` must be taken before the first claim is sent;
    /// `deadline` is on the same clock. `domains` comes from [`replicas_for`].
    #[must_use]
    pub fn new(
        now: Duration,
        wall: WallMs,
        deadline: Duration,
        claim: ClaimId,
        key: Arc<str>,
        fingerprint: u64,
        domains: [Option<DomainName>; REPLICAS],
    ) -> Self {
        Self {
            claim,
            key,
            fingerprint,
            started: now,
            started_wall: wall,
            deadline,
            domains,
            replies: [const { None }; REPLICAS],
            unreachable: [false; REPLICAS],
            stage: Stage::Claiming,
        }
    }

    /// Returns the claim for a key replica, `None` if its failure domain has no member.
    #[must_use]
    pub fn request(&self, replica: usize) -> Option<ClaimRequest> {
        Some(ClaimRequest {
            key: self.key.clone(),
            fingerprint: self.fingerprint,
            claim: self.claim.clone(),
            domain: self.domains[replica].clone()?,
        })
    }

    /// Time at which [`Claimant::on_timeout`] must be called.
    #[must_use]
    pub fn timeout_at(&self) -> Duration {
        self.deadline.min(self.started + CLAIM_TIMEOUT)
    }

    /// Takes a reply. Returns the decision once it is made, and never a second one. After `Replay`
    /// and `Refuse` the claim must be released with [`Claimant::releases`].
    pub fn on_reply(
        &mut self,
        now: Duration,
        replica: usize,
        reply: ClaimReply,
    ) -> Option<Decision> {
        if self.stage != Stage::Claiming || self.replies[replica].is_some() {
            return None;
        }
        // That the key ran is true however late it is said.
        if let ClaimReply::Done(answer) = reply {
            self.stage = Stage::GivenUp;
            self.replies[replica] = Some(ClaimReply::Unknown);
            let decision = if answer.body.is_some() {
                Decision::Replay(answer)
            } else {
                Decision::Refuse(ResultCode::AnswerNotKept, Run::Yes)
            };
            return Some(decision);
        }
        if now >= self.timeout_at() {
            return self.on_timeout(now);
        }
        self.replies[replica] = Some(reply);
        self.decide()
    }

    /// Notes that a key replica cannot be reached: the claim was not sent, or its fate is unknown.
    pub fn on_unreachable(&mut self, now: Duration, replica: usize) -> Option<Decision> {
        if self.stage != Stage::Claiming {
            return None;
        }
        if now >= self.timeout_at() {
            return self.on_timeout(now);
        }
        self.unreachable[replica] = true;
        self.decide()
    }

    /// Decides without the replies that are missing.
    pub fn on_timeout(&mut self, now: Duration) -> Option<Decision> {
        if self.stage != Stage::Claiming || now < self.timeout_at() {
            return None;
        }
        Some(self.refuse())
    }

    /// Must be called immediately before each attempt; only `Ok` permits it. An attempt that ended
    /// as not run is reported with [`Claimant::not_run`] before the next one.
    ///
    /// # Errors
    /// The answer for the caller, if the claim or the call is too old. The claim must then be
    /// released.
    ///
    /// # Panics
    /// In builds with debug assertions, if the claim was dispatched before or has no quorum
    /// (invariant 7).
    pub fn dispatch(&mut self, now: Duration, wall: WallMs) -> Result<(), Decision> {
        let may_dispatch = self.stage == Stage::Granted && self.grants() >= QUORUM;
        if !invariant::check(7, may_dispatch, "dispatch without the right to it") {
            return Err(Decision::Refuse(
                ResultCode::InvariantViolated,
                Run::Unknown,
            ));
        }
        // The wall clock also shows the time in which the whole machine was suspended.
        let age = now
            .saturating_sub(self.started)
            .max(wall.since(self.started_wall));
        let time_left = self.deadline.saturating_sub(self.started);
        if age >= MAX_CLAIM_AGE.min(time_left) {
            self.stage = Stage::GivenUp;
            return Err(Decision::Refuse(ResultCode::DeadlineExceeded, Run::No));
        }
        self.stage = Stage::Dispatched;
        Ok(())
    }

    /// Notes that the attempt ended with an explicit "not run", so that another one is permitted.
    pub fn not_run(&mut self) {
        if self.stage == Stage::Dispatched {
            self.stage = Stage::Granted;
        }
    }

    /// Gives up before any attempt ran. Returns false if an attempt may have run, in which case the
    /// call must be completed.
    #[must_use]
    pub fn abandon(&mut self) -> bool {
        match self.stage {
            Stage::Claiming | Stage::Granted | Stage::GivenUp => {
                self.stage = Stage::GivenUp;
                true
            }
            Stage::Dispatched | Stage::Ended => false,
        }
    }

    /// Ends a dispatched call; `answer` is `None` if the outcome is unknown. The result goes to all
    /// three key replicas. Returns `None` if the call was not dispatched.
    pub fn complete(&mut self, answer: Option<RecordedAnswer>) -> Option<CompleteRequest> {
        if self.stage != Stage::Dispatched {
            return None;
        }
        self.stage = Stage::Ended;
        Some(CompleteRequest {
            key: self.key.clone(),
            fingerprint: self.fingerprint,
            claim: self.claim.clone(),
            answer,
        })
    }

    /// Returns the key replicas at which a claim that was given up must be released, with the
    /// message: those that granted it, and those whose reply is missing, since they may grant it
    /// later.
    pub fn releases(&self) -> impl Iterator<Item = (usize, ReleaseRequest)> {
        let given_up = self.stage == Stage::GivenUp;
        (0..REPLICAS)
            .filter(move |replica| {
                let may_hold = matches!(self.replies[*replica], None | Some(ClaimReply::Granted));
                given_up && may_hold && self.domains[*replica].is_some()
            })
            .map(|replica| {
                let request = ReleaseRequest {
                    key: self.key.clone(),
                    claim: self.claim.clone(),
                };
                (replica, request)
            })
    }

    fn grants(&self) -> usize {
        self.count(|reply| *reply == ClaimReply::Granted)
    }

    fn count(&self, matches: impl Fn(&ClaimReply) -> bool) -> usize {
        self.replies
            .iter()
            .flatten()
            .filter(|reply| matches(reply))
            .count()
    }

    fn decide(&mut self) -> Option<Decision> {
        // A different request under the key does not concern this one, which did not run.
        if self.count(|reply| *reply == ClaimReply::Mismatch) > 0 {
            self.stage = Stage::GivenUp;
            return Some(Decision::Refuse(ResultCode::KeyMismatch, Run::No));
        }
        // `Running` does not prevent the dispatch: the other claim cannot get two grants any more.
        // `Unknown` does, since the key may have run under another member view.
        let unknown = self.count(|reply| *reply == ClaimReply::Unknown) > 0;
        if self.grants() >= QUORUM && !unknown {
            self.stage = Stage::Granted;
            return Some(Decision::Dispatch);
        }
        let open = (0..REPLICAS).any(|replica| {
            self.domains[replica].is_some()
                && self.replies[replica].is_none()
                && !self.unreachable[replica]
        });
        (!open).then(|| self.refuse())
    }

    /// "Not run" is answered only if no reply hints at an earlier run of the key.
    fn refuse(&mut self) -> Decision {
        self.stage = Stage::GivenUp;
        if self.count(|reply| *reply == ClaimReply::Unknown) > 0 {
            Decision::Refuse(ResultCode::OutcomeUnknown, Run::Unknown)
        } else if self.count(|reply| *reply == ClaimReply::Running) > 0 {
            Decision::Refuse(ResultCode::KeyInUse, Run::Unknown)
        } else if self.count(|reply| *reply == ClaimReply::Abstain) > 0 {
            Decision::Refuse(ResultCode::OutcomeUnknown, Run::Unknown)
        } else {
            Decision::Refuse(ResultCode::KeyReplicasUnreachable, Run::No)
        }
    }
}
