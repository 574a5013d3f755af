//! Calls with an idempotency key on routes that are not idempotent. The entry node claims the key
//! at the key replicas before the first attempt; each node is also a key replica for other nodes.
//! See `docs/design.md`, section 3, "At most once".

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::CONTENT_TYPE;
use actix_http::header::HeaderValue;
use bytes::Bytes;
use slog::info;
use tokio::sync::mpsc;

use crate::coordination::idempotency::Claimant;
use crate::coordination::idempotency::Decision;
use crate::coordination::idempotency::KEY_WINDOW;
use crate::coordination::idempotency::MAX_ANSWER_BYTES;
use crate::coordination::idempotency::REPLICAS;
use crate::coordination::idempotency::ReplicaView;
use crate::coordination::idempotency::replicas_for;
use crate::coordination::idempotency::scoped_key;
use crate::node::Node;
use crate::node::entry;
use crate::node::entry::CallResult;
use crate::node::entry::EntryCall;
use crate::node::run_periodically;
use crate::node::serving::DownstreamUsage;
use crate::node::serving::ServeResponse;
use crate::protocol::call::Executed;
use crate::protocol::claim::ClaimId;
use crate::protocol::claim::ClaimReply;
use crate::protocol::claim::ClaimRequest;
use crate::protocol::claim::CompleteRequest;
use crate::protocol::claim::RecordedAnswer;
use crate::protocol::claim::ReleaseRequest;
use crate::protocol::codec;
use crate::protocol::gossip::MemberStatus;
use crate::protocol::name::NodeId;
use crate::protocol::time::WallMs;
use crate::protocol::time::millis;
use crate::result_code::Failure;
use crate::result_code::ResultCode;

/// Timeout of one request that reports a completion or release; both are retried until
/// acknowledged.
const REPORT_TIMEOUT: Duration = Duration::from_secs(1);
/// First retry delay of a completion or release; doubles up to [`MAX_REPORT_RETRY_DELAY`].
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum retry delay of a completion or release.
const MAX_REPORT_RETRY_DELAY: Duration = Duration::from_secs(10);
/// Period at which expired keys are dropped. The key replica interprets a gap of 3 s between two
/// ticks as a pause of the process.
const KEY_EXPIRY_PERIOD: Duration = Duration::from_millis(500);

type Replica = Option<(NodeId, SocketAddr)>;

/// Starts the periodic removal of expired keys and the detection of pauses of this process.
pub fn start(node: &Rc<Node>) {
    run_periodically(node, KEY_EXPIRY_PERIOD, |node| {
        let (now, wall) = (node.clock.now(), node.clock.wall());
        node.state.borrow_mut().key_replica.tick(now, wall);
    });
}

/// A call with an idempotency key at the entry node, from its claim to its end.
pub struct KeyedCall {
    node: Rc<Node>,
    claimant: Claimant,
    replicas: [Replica; REPLICAS],
}

impl KeyedCall {
    /// Marks the claim as dispatched for one attempt, or returns the refusal for the caller.
    pub fn begin_attempt(&mut self, node: &Node) -> Result<(), (ResultCode, Executed)> {
        self.claimant
            .dispatch(node.clock.now(), node.clock.wall())
            .map_err(|decision| match decision {
                Decision::Refuse(code, run) => (code, run),
                Decision::Dispatch | Decision::Replay(_) => {
                    (ResultCode::OutcomeUnknown, Executed::Unknown)
                }
            })
    }

    /// Records that the last attempt was not executed.
    pub fn attempt_not_run(&mut self) {
        self.claimant.not_run();
    }

    fn end(&mut self, result: &CallResult) {
        let response = match result {
            CallResult::Responded(response) => Some(recorded_response(response)),
            CallResult::Failed(..) => None,
        };
        if let Some(request) = self.claimant.complete(response) {
            self.report_to_all(&request);
        }
    }

    fn report_to_all(&self, request: &CompleteRequest) {
        for (node, addr) in self.replicas.iter().flatten() {
            report_to_replica(
                &self.node,
                node,
                *addr,
                "/peer/complete",
                request.clone(),
                |node, request| {
                    let now = node.clock.now();
                    node.state.borrow_mut().key_replica.complete(now, request);
                },
            );
        }
    }
}

/// Releases or completes the claim if the call is cancelled before its end.
impl Drop for KeyedCall {
    fn drop(&mut self) {
        if !self.claimant.abandon() {
            if let Some(request) = self.claimant.complete(None) {
                self.report_to_all(&request);
            }
            return;
        }
        for (replica, request) in self.claimant.releases() {
            let Some((node, addr)) = &self.replicas[replica] else {
                continue;
            };
            report_to_replica(
                &self.node,
                node,
                *addr,
                "/peer/release",
                request,
                |node, request| {
                    let now = node.clock.now();
                    node.state.borrow_mut().key_replica.release(now, request);
                },
            );
        }
    }
}

/// Reports a completion or release to a key replica, which may be this node itself (`apply_here`).
fn report_to_replica<Q: serde::Serialize + 'static>(
    node: &Rc<Node>,
    to: &NodeId,
    addr: SocketAddr,
    path: &'static str,
    request: Q,
    apply_here: impl Fn(&Node, &Q),
) {
    if *to == node.settings.id {
        apply_here(node, &request);
        return;
    }
    let (node, to) = (node.clone(), to.clone());
    actix_rt::spawn(async move {
        let deadline = node.clock.now() + KEY_WINDOW;
        let mut delay = REPORT_RETRY_DELAY;
        while node.clock.now() < deadline {
            let result: Result<(), Failure> =
                node.ask_peer(addr, path, &request, REPORT_TIMEOUT).await;
            // A replica whose process has ended has also lost its keys.
            if result.is_ok() || is_dead(&node, &to) {
                return;
            }
            actix_rt::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_REPORT_RETRY_DELAY);
        }
    });
}

fn is_dead(node: &Node, id: &NodeId) -> bool {
    let state = node.state.borrow();
    let members = state.gossip.members();
    members
        .binary_search_by(|member| member.id.cmp(id))
        .is_ok_and(|at| members[at].status == MemberStatus::Dead)
}

fn recorded_response(response: &ServeResponse) -> RecordedAnswer {
    let content_type = response
        .headers
        .iter()
        .find(|(name, _)| *name == CONTENT_TYPE);
    RecordedAnswer {
        status: response.status.as_u16(),
        content_type: content_type
            .and_then(|(_, value)| value.to_str().ok())
            .map(str::to_owned),
        body: (response.body.len() <= MAX_ANSWER_BYTES).then(|| response.body.to_vec()),
    }
}

/// Claims the key, then makes the call or replays the recorded response.
pub async fn run(
    node: &Rc<Node>,
    call: &EntryCall,
    key: Arc<str>,
    downstream: &mut DownstreamUsage,
) -> CallResult {
    let mut keyed = match new_keyed_call(node, call, &key) {
        Ok(keyed) => keyed,
        Err((code, run)) => return CallResult::Failed(code, run),
    };
    let decision = claim(node, &mut keyed).await;
    info!(node.log, "key claimed"; "call" => format!("{:016x}", call.call),
    "decision" => match &decision {
        Decision::Dispatch => "dispatch",
        Decision::Replay(_) => "replay",
        Decision::Refuse(..) => "refuse",
    });
    match decision {
        Decision::Dispatch => {}
        Decision::Replay(response) => return replay(response),
        Decision::Refuse(code, run) => return CallResult::Failed(code, run),
    }
    let result = entry::make_attempts(node, call, Some(&mut keyed), downstream).await;
    keyed.end(&result);
    result
}

fn new_keyed_call(
    node: &Rc<Node>,
    call: &EntryCall,
    key: &str,
) -> Result<KeyedCall, (ResultCode, Executed)> {
    let snapshot = node
        .snapshot()
        .ok_or((ResultCode::NotReady, Executed::No))?;
    let key = scoped_key(&call.route.name, key);
    let mut state = node.state.borrow_mut();
    let regions = &snapshot.versioned().document.regions;
    let replicas = replicas_for(&key, regions, state.gossip.members());
    state.claim_count += 1;
    let claim = ClaimId {
        node: node.settings.id.clone(),
        started_ms: state.gossip.me().started_at.0,
        sequence: state.claim_count,
    };
    drop(state);
    let domains = [0, 1, 2].map(|i| replicas[i].as_ref().map(|(domain, ..)| domain.clone()));
    let (now, wall) = (node.clock.now(), node.clock.wall());
    Ok(KeyedCall {
        node: node.clone(),
        claimant: Claimant::new(
            now,
            wall,
            call.deadline,
            claim,
            key,
            call.fingerprint,
            domains,
        ),
        replicas: replicas.map(|replica| replica.map(|(_, id, addr)| (id, addr))),
    })
}

async fn claim(node: &Rc<Node>, keyed: &mut KeyedCall) -> Decision {
    let (tx, mut rx) = mpsc::unbounded_channel();
    for replica in 0..REPLICAS {
        let request = keyed.claimant.request(replica);
        let target = keyed.replicas[replica].clone();
        let (Some(request), Some((id, addr))) = (request, target) else {
            let failure = Failure::new(
                ResultCode::KeyReplicasUnreachable,
                "no member in the failure domain",
            );
            let _ = tx.send((replica, Err(failure)));
            continue;
        };
        if id == node.settings.id {
            let _ = tx.send((replica, Ok(decide_claim(node, &request))));
            continue;
        }
        let timeout = keyed.claimant.timeout_at().saturating_sub(node.clock.now());
        // The decision needs only two of the replies. The third request runs on in its own task,
        // since dropping it would close its connection on every keyed call.
        let (node, tx) = (node.clone(), tx.clone());
        actix_rt::spawn(async move {
            let reply = node.ask_peer(addr, "/peer/claim", &request, timeout).await;
            let _ = tx.send((replica, reply));
        });
    }
    drop(tx);
    while let Some((replica, reply)) = rx.recv().await {
        let now = node.clock.now();
        let decision = match reply {
            Ok(reply) => keyed.claimant.on_reply(now, replica, reply),
            Err(_) => keyed.claimant.on_unreachable(now, replica),
        };
        if let Some(decision) = decision {
            return decision;
        }
    }
    Decision::Refuse(ResultCode::KeyReplicasUnreachable, Executed::No)
}

fn replay(response: RecordedAnswer) -> CallResult {
    let Some(body) = response.body else {
        return CallResult::Failed(ResultCode::ResponseNotStored, Executed::Yes);
    };
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::OK);
    let content_type = response
        .content_type
        .and_then(|text| HeaderValue::try_from(text).ok());
    CallResult::Responded(ServeResponse {
        status,
        headers: content_type
            .map(|value| (CONTENT_TYPE, value))
            .into_iter()
            .collect(),
        body: Bytes::from(body),
        run: Executed::Yes,
        code: None,
        load: 0,
        retry_budget_left: 0,
    })
}

fn decide_claim(node: &Node, request: &ClaimRequest) -> ClaimReply {
    let (now, wall) = (node.clock.now(), node.clock.wall());
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    let dead_at = state.gossip.declared_dead_at();
    let view = ReplicaView {
        members: state.gossip.members(),
        started_at: state.gossip.me().started_at,
        declared_dead_at: dead_at.map(|at| wall_at(node, at)),
        departed: state.gossip.departed(wall),
    };
    state.key_replica.claim(now, wall, &view, request)
}

/// Converts a past monotonic time to wall time.
fn wall_at(node: &Node, at: Duration) -> WallMs {
    let ago = node.clock.now().saturating_sub(at);
    WallMs(node.clock.wall().0.saturating_sub(millis(ago)))
}

/// Handles a claim request of another node.
pub fn on_claim(node: &Node, body: &[u8]) -> Result<Vec<u8>, Failure> {
    let request = codec::decode(body)?;
    codec::encode(&decide_claim(node, &request))
}

/// Handles the release of a claim of another node.
pub fn on_release(node: &Node, body: &[u8]) -> Result<Vec<u8>, Failure> {
    let request: ReleaseRequest = codec::decode(body)?;
    node.state
        .borrow_mut()
        .key_replica
        .release(node.clock.now(), &request);
    codec::encode(&())
}

/// Handles the completion of a call of another node.
pub fn on_complete(node: &Node, body: &[u8]) -> Result<Vec<u8>, Failure> {
    let request: CompleteRequest = codec::decode(body)?;
    node.state
        .borrow_mut()
        .key_replica
        .complete(node.clock.now(), &request);
    codec::encode(&())
}
