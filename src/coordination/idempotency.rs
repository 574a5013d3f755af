//! At-most-once execution of non-idempotent calls by idempotency keys. See `docs/design.md`, section
//! 3, "At most once".
//!
//! A [`Claimant`] at the entry node claims the key at its three key replicas ([`replicas_for`]) and
//! dispatches the call after two grants. A [`KeyReplica`] grants a key to one claim, and to no other
//! one until that claim is released. A claim is released only by a claimant that has not dispatched
//! the call and never will. Two claims of a key therefore cannot both have two grants:
//!
//! * Any two quorums of two out of three replicas share a replica, and that replica has granted both
//!   claims only if the first one was released before.
//! * A key replica that may lack a grant, because its process started or because it replaced another
//!   replica, abstains. The exception is a key that was created after that event, which its `UUIDv7`
//!   timestamp shows with a margin of [`MAX_CLOCK_SKEW`]. If the clocks differ by less than that, the
//!   rest of the margin is time for the other nodes to learn of the event.
//! * A claim that is granted late, after its claimant gave up, only blocks the key. The claimant
//!   therefore also sends a release to replicas that did not reply. A replica remembers released
//!   claims for [`TOMBSTONE_RETENTION`], so that a release that arrives before its claim takes effect.
//! * A grant counts only if it arrives within [`CLAIM_TIMEOUT`]. A claim expires after
//!   [`MAX_CLAIM_AGE`], long before the replicas drop its record.
//!
//! # Limitations
//!
//! * A key can run twice if the membership views of nodes differ in two failure domains for the same
//!   key at the same time for longer than [`MAX_CLOCK_SKEW`], so that two disjoint quorums exist.
//! * A key can also run twice while nodes have different lists of regions or failure domains. This
//!   concerns keys in flight while a configuration that changes these lists comes into force.
//! * An opaque key, or a `UUIDv7` key from a clock ahead by more than [`MAX_CLOCK_SKEW`], can run
//!   again after [`KEY_WINDOW`].
//! * A key can run twice if clocks differ by more than [`MAX_CLOCK_SKEW`] and a key replica
//!   restarts at the same time, in two failure domains.
//! * A node that is paused between [`Claimant::dispatch`] and the write to its socket sends the
//!   request late. This is safe within [`KEY_WINDOW`], since the replicas keep the claim.
//! * A release that is lost, or a claim that arrives more than [`TOMBSTONE_RETENTION`] after its release,
//!   leaves the key blocked at that replica. Later claims get `Running` and then `Unknown`, although
//!   nothing ran. No call runs twice because of this.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use uuid::Uuid;

use crate::coordination::membership::Departed;
use crate::coordination::rendezvous;
use crate::invariant;
use crate::protocol::call::Executed;
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
/// `Running`. It is longer than the deadlines of ordinary calls, and a later completion still counts.
pub const RUNNING_REPORT_TIME: Duration = Duration::from_secs(30);
/// Time for which a released claim is remembered. Authentication rejects messages that are older than
/// 30 s, so no claim arrives later than that.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_mins(1);
/// Time for which a claimant waits for grants. It covers several round trips between regions (8 ms
/// each).
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(100);
/// Age at which a claim expires: it must not be dispatched any more, regardless of the call's deadline.
pub const MAX_CLAIM_AGE: Duration = Duration::from_secs(30);
/// Time between two ticks above which a key replica assumes that it was paused and that another member
/// may have replaced it meanwhile. It is below the shortest suspicion timeout plus one probe.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(3);
/// Number of key replicas of a key.
pub const REPLICAS: usize = 3;
/// Number of grants that a claimant needs.
pub const QUORUM: usize = 2;
/// Maximum size of a body that is stored with a key, bytes.
pub const MAX_ANSWER_BYTES: usize = 4 << 10;
/// Maximum total size of the bodies that a key replica stores, bytes.
pub const MAX_TOTAL_ANSWER_BYTES: usize = 4 << 20;
/// Maximum number of keys that a key replica keeps. Further claims get `Abstain`. The expected number
/// is 7,000.
pub const MAX_KEYS: usize = 1 << 15;
/// Maximum number of released claims that a key replica remembers. The oldest are dropped first.
pub const MAX_TOMBSTONES: usize = 1 << 13;
/// Time span of a bucket. The records of a bucket are dropped together, so expiry moves no records.
const BUCKET_SPAN: Duration = Duration::from_mins(1);

/// Returns the key to claim for a caller's key: its own key, prefixed with the route.
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

/// A key replica's view of the fleet, by which it decides on a claim.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaView<'a> {
    /// All members, this node included, in any order.
    pub members: &'a [Member],
    /// Time at which this process started.
    pub started_at: WallMs,
    /// Time at which this node last learned that others had declared it dead.
    pub declared_dead_at: Option<WallMs>,
    /// Members that left or died within [`KEY_WINDOW`].
    pub departed: &'a [Departed],
}

fn may_be_replica(member: &Member) -> bool {
    matches!(member.status, MemberStatus::Alive | MemberStatus::Suspect)
}

/// Returns the key replica of a key in a failure domain.
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

/// Returns the key replicas of a key, one in each of three failure domains. Rendezvous hashing chooses
/// the key's home region; if it has fewer than three failure domains, those of the regions next in rank
/// follow. A failure domain without members is `None` and still counts as a replica, since the quorum
/// must not shrink with the membership view.
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
    /// The key is granted to the claim, which has not ended as far as this replica knows.
    Held,
    /// The call ran; this is its response.
    Done(RecordedAnswer),
    /// The call was dispatched, and its outcome is unknown.
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

/// State of the keys of which this node is a key replica.
#[derive(Debug)]
pub struct KeyReplica {
    me: NodeId,
    domain: DomainName,
    /// Oldest first. Each key is in one bucket only.
    buckets: VecDeque<Bucket>,
    len: usize,
    /// Oldest first.
    tombstones: VecDeque<Tombstone>,
    /// Keys with stored bodies, oldest first. May contain keys whose record has expired.
    keys_with_body: VecDeque<Arc<str>>,
    stored_bytes: usize,
    last_tick: Option<(Duration, WallMs)>,
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
            keys_with_body: VecDeque::new(),
            stored_bytes: 0,
            last_tick: None,
            paused_at: None,
        }
    }

    /// Returns the number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no key is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the total size of the stored bodies, bytes.
    #[must_use]
    pub fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }

    /// Drops expired records and detects whether this process was paused. Must be called at least once
    /// per second.
    pub fn tick(&mut self, now: Duration, wall: WallMs) {
        if let Some((last, last_wall)) = self.last_tick {
            let gap = now.saturating_sub(last).max(wall.since(last_wall));
            if gap > PAUSE_THRESHOLD {
                self.paused_at = Some(wall);
            }
        }
        self.last_tick = Some((now, wall));
        // When its record is dropped, a `UUIDv7` key must be too old to be granted again.
        let retention = KEY_WINDOW + 2 * MAX_CLOCK_SKEW + BUCKET_SPAN;
        while let Some(bucket) = self.buckets.pop_front_if(|b| b.since + retention <= now) {
            self.len -= bucket.records.len();
            self.stored_bytes -= bucket
                .records
                .iter()
                .map(KeyRecord::body_len)
                .sum::<usize>();
        }
        while let Some(key) = self.keys_with_body.front()
            && self.find(key).is_none()
        {
            self.keys_with_body.pop_front();
        }
        while self
            .tombstones
            .pop_front_if(|t| t.at + TOMBSTONE_RETENTION <= now)
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
            return Self::reply_from_record(now, view, record, request);
        }
        let is_replica = replica_in(&request.key, &request.domain, view.members)
            .is_some_and(|member| member.id == self.me);
        if !is_replica || request.domain != self.domain || self.len >= MAX_KEYS {
            return ClaimReply::Abstain;
        }
        // A timestamp in the future does not show that the key was created after an event.
        let created =
            created_at(&request.key).filter(|created| *created <= wall.plus(MAX_CLOCK_SKEW));
        if created.is_some_and(|created| wall.since(created) > KEY_WINDOW) {
            return ClaimReply::Unknown;
        }
        let grants_complete_since = self.grants_complete_since(view, &request.key);
        let created_after =
            created.is_some_and(|created| created > grants_complete_since.plus(MAX_CLOCK_SKEW));
        let window_passed = wall.since(grants_complete_since) > KEY_WINDOW;
        if !created_after && !window_passed {
            return ClaimReply::Abstain;
        }
        self.insert(
            now,
            KeyRecord::held(now, &request.key, request.fingerprint, &request.claim),
        );
        ClaimReply::Granted
    }

    /// Releases a claim that was not dispatched. The release also takes effect if it arrives before the
    /// claim.
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

    /// Records the end of a dispatched call, even if this replica did not grant its claim.
    ///
    /// # Panics
    /// In builds with debug assertions, if another claim of the key was also dispatched or this one was
    /// released (invariant 7).
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
            // This claim was dispatched with a quorum, so the other one has at most this grant and
            // will be released.
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
            self.keys_with_body.push_back(request.key.clone());
            self.stored_bytes += bytes;
            self.evict_bodies();
        }
    }

    /// Returns the reply to a claim of a key that has a record.
    fn reply_from_record(
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
                let claimant_alive = view.members.iter().any(|member| {
                    member.id == record.claim.node
                        && member.status != MemberStatus::Dead
                        && member.started_at.0 <= record.claim.started_ms
                });
                if claimant_alive && now.saturating_sub(record.claimed_at) < RUNNING_REPORT_TIME {
                    ClaimReply::Running
                } else {
                    ClaimReply::Unknown
                }
            }
        }
    }

    /// Returns the time since which this replica cannot lack a grant of the key.
    fn grants_complete_since(&self, view: &ReplicaView<'_>, key: &str) -> WallMs {
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
            .find_map(|(bucket_index, bucket)| {
                let index = bucket
                    .records
                    .binary_search_by(|record| (*record.key).cmp(key))
                    .ok()?;
                Some((bucket_index, index))
            })
    }

    fn find(&self, key: &str) -> Option<&KeyRecord> {
        let (bucket, index) = self.position(key)?;
        Some(&self.buckets[bucket].records[index])
    }

    fn insert(&mut self, now: Duration, record: KeyRecord) -> (usize, usize) {
        let last_is_open = self
            .buckets
            .back()
            .is_some_and(|bucket| now < bucket.since + BUCKET_SPAN);
        if !last_is_open {
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

    /// Drops the oldest bodies until the rest fits. Their keys are kept, and claims of them are answered
    /// with 409.
    fn evict_bodies(&mut self) {
        while self.stored_bytes > MAX_TOTAL_ANSWER_BYTES {
            let Some(key) = self.keys_with_body.pop_front() else {
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
    /// The call ran before under this key; the caller gets the stored response.
    Replay(RecordedAnswer),
    /// The call is refused.
    Refuse(ResultCode, Executed),
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Stage {
    /// The claimant waits for replies.
    Claiming,
    /// The claimant has two grants and may dispatch.
    Granted,
    /// An attempt is running or may have run.
    Dispatched,
    /// The claimant will never dispatch, and its claim has to be released.
    GivenUp,
    /// The call ended, with a response or with an unknown outcome.
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
    /// Creates the claimant of a call. `now` must be read before the first claim is sent, and
    /// `deadline` is a time of the same clock. `domains` comes from [`replicas_for`].
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

    /// Returns the claim request for a key replica, `None` if its failure domain has no members.
    #[must_use]
    pub fn request(&self, replica: usize) -> Option<ClaimRequest> {
        Some(ClaimRequest {
            key: self.key.clone(),
            fingerprint: self.fingerprint,
            claim: self.claim.clone(),
            domain: self.domains[replica].clone()?,
        })
    }

    /// Returns the time at which [`Claimant::on_timeout`] must be called.
    #[must_use]
    pub fn timeout_at(&self) -> Duration {
        self.deadline.min(self.started + CLAIM_TIMEOUT)
    }

    /// Handles a reply. Returns the decision when it is made; later calls return `None`. After `Replay`
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
        // The reply that the key ran is valid even if it is late.
        if let ClaimReply::Done(answer) = reply {
            self.stage = Stage::GivenUp;
            self.replies[replica] = Some(ClaimReply::Unknown);
            let decision = if answer.body.is_some() {
                Decision::Replay(answer)
            } else {
                Decision::Refuse(ResultCode::ResponseNotStored, Executed::Yes)
            };
            return Some(decision);
        }
        if now >= self.timeout_at() {
            return self.on_timeout(now);
        }
        self.replies[replica] = Some(reply);
        self.decide()
    }

    /// Records that a key replica cannot be reached: the claim was not sent, or it is unknown whether it
    /// arrived.
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

    /// Decides without the missing replies.
    pub fn on_timeout(&mut self, now: Duration) -> Option<Decision> {
        if self.stage != Stage::Claiming || now < self.timeout_at() {
            return None;
        }
        Some(self.refuse())
    }

    /// Returns whether the call may be dispatched. Must be called immediately before each attempt, which
    /// only `Ok` permits. An attempt that did not run must be reported with [`Claimant::not_run`] before
    /// the next one.
    ///
    /// # Errors
    /// Returns the refusal for the caller if the claim or the call is too old. The claim must then be
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
                Executed::Unknown,
            ));
        }
        // Only the wall clock counts time during which the whole machine was suspended.
        let age = now
            .saturating_sub(self.started)
            .max(wall.since(self.started_wall));
        let time_left = self.deadline.saturating_sub(self.started);
        if age >= MAX_CLAIM_AGE.min(time_left) {
            self.stage = Stage::GivenUp;
            return Err(Decision::Refuse(ResultCode::DeadlineExceeded, Executed::No));
        }
        self.stage = Stage::Dispatched;
        Ok(())
    }

    /// Records that the attempt ended with an explicit "not run" result, so that another one is
    /// permitted.
    pub fn not_run(&mut self) {
        if self.stage == Stage::Dispatched {
            self.stage = Stage::Granted;
        }
    }

    /// Gives up the claim before any attempt ran. Returns false if an attempt may have run; the call
    /// must then be completed.
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

    /// Ends a dispatched call and returns the request to send to all three key replicas, or `None` if
    /// the call was not dispatched. `answer` is `None` if the outcome is unknown.
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

    /// Returns the release requests of a claim that was given up, each with its key replica: the
    /// replicas that granted the claim, and those whose reply is missing, since they may grant it later.
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
        // The key was used for a different request, so this one did not run.
        if self.count(|reply| *reply == ClaimReply::Mismatch) > 0 {
            self.stage = Stage::GivenUp;
            return Some(Decision::Refuse(ResultCode::KeyMismatch, Executed::No));
        }
        // A `Running` reply does not prevent the dispatch, since the other claim cannot get two grants
        // any more. An `Unknown` reply does, since the key may have run under another membership view.
        let unknown = self.count(|reply| *reply == ClaimReply::Unknown) > 0;
        if self.grants() >= QUORUM && !unknown {
            self.stage = Stage::Granted;
            return Some(Decision::Dispatch);
        }
        let pending = (0..REPLICAS).any(|replica| {
            self.domains[replica].is_some()
                && self.replies[replica].is_none()
                && !self.unreachable[replica]
        });
        (!pending).then(|| self.refuse())
    }

    /// Gives up the claim and returns the refusal. It says "not run" only if no reply indicates that the
    /// key may have run before.
    fn refuse(&mut self) -> Decision {
        self.stage = Stage::GivenUp;
        if self.count(|reply| *reply == ClaimReply::Unknown) > 0 {
            Decision::Refuse(ResultCode::OutcomeUnknown, Executed::Unknown)
        } else if self.count(|reply| *reply == ClaimReply::Running) > 0 {
            Decision::Refuse(ResultCode::KeyInUse, Executed::Unknown)
        } else if self.count(|reply| *reply == ClaimReply::Abstain) > 0 {
            Decision::Refuse(ResultCode::OutcomeUnknown, Executed::Unknown)
        } else {
            Decision::Refuse(ResultCode::KeyReplicasUnreachable, Executed::No)
        }
    }
}
