//! Puts configuration versions in force. The node reads them from the log if it is an elected
//! reader, and from peers otherwise. See `docs/design.md`, section 4.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use rand::seq::IndexedRandom;
use serde::Deserialize;
use serde::Serialize;
use slog::debug;
use slog::info;
use slog::warn;

use crate::coordination::readiness::PeerAnswer;
use crate::coordination::readiness::ReadyState;
use crate::node::Node;
use crate::node::gossip_loop;
use crate::node::log_writer;
use crate::protocol::codec;
use crate::protocol::gossip::Member;
use crate::protocol::gossip::MemberStatus;
use crate::protocol::name::ConfigVersion;
use crate::protocol::name::DomainName;
use crate::protocol::name::NodeId;
use crate::protocol::record::CONFIG_STREAM;
use crate::protocol::record::ConfigRecord;
use crate::protocol::record::VersionedDocument;
use crate::result_code::Failure;
use crate::result_code::ResultCode;
use crate::state::log_fold::FoldEvent;
use crate::state::log_fold::LogFold;
use crate::state::log_fold::RetentionState;
use crate::state::log_fold::checkpoint_due;
use crate::state::snapshot::ConfigTransfer;
use crate::state::snapshot::Snapshot;
use crate::transport::log_client::LogBatch;

/// Time for which the log server holds a read request until a record arrives (long poll).
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(10);
/// Records per read request; fewer if the response would exceed the maximum message size.
const MAX_BATCH_RECORDS: usize = 64;
/// Delay after a failed read of the log; multiplied by a random factor of up to 2.
const LOG_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Period at which a node that is not a reader checks whether it has been elected.
const ELECTION_CHECK_PERIOD: Duration = Duration::from_millis(500);
/// Timeout of a configuration request to a peer.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);
/// Period at which a starting node checks whether it is ready.
const READY_CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Minimum time for which a starting node requests the configuration from its peers only.
const MIN_PEERS_ONLY_TIME: Duration = Duration::from_secs(1);
/// Jitter added to [`MIN_PEERS_ONLY_TIME`], so that 1,300 nodes that start at once do not all
/// request the bounds of the log at the same moment.
const PEERS_ONLY_JITTER: Duration = Duration::from_secs(2);
/// Maximum length of the log, in records, that a starting node reads even if it is not a reader. If
/// the log is longer, the node waits for the elected readers, so that 1,300 nodes that start at
/// once do not read the whole log 1,300 times.
const MAX_DIRECT_READ_RECORDS: u64 = 8;
/// Time after which a starting node reads the log regardless of its length, in case it finds no
/// peer.
const MAX_PEERS_ONLY_TIME: Duration = Duration::from_secs(10);
/// Time after which a starting node serves calls even if it has found no peer. Until then it waits
/// for the first state exchange, since the log contains neither the backend servers nor the
/// progress of rollouts.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of failure domains in which a starting node asks a peer at the same time.
const MAX_ASKED_DOMAINS: usize = 3;

/// Requests the configuration of a peer.
#[derive(Debug, Deserialize, Serialize)]
pub struct ConfigRequest {
    /// Version in force at the requesting node.
    pub have: ConfigVersion,
    /// Digest of that version.
    pub digest: u64,
}

/// Response to a [`ConfigRequest`].
#[derive(Debug, Deserialize, Serialize)]
pub struct ConfigResponse {
    /// Configuration that the requesting node lacks.
    pub transfer: ConfigTransfer,
    /// Version in force at the peer.
    pub version: ConfigVersion,
    /// Failure domain of the peer.
    pub domain: DomainName,
    /// Whether the peer is ready.
    pub ready: bool,
}

/// Starts to follow the configuration.
pub fn start(node: &Rc<Node>) {
    let log_task_node = node.clone();
    actix_rt::spawn(async move { follow_log(&log_task_node).await });
    let ready_task_node = node.clone();
    actix_rt::spawn(async move { become_ready(&ready_task_node).await });
}

/// Handles the configuration request of a peer.
pub fn on_config_request(node: &Node, body: &[u8]) -> Result<Vec<u8>, Failure> {
    let request: ConfigRequest = codec::decode(body)?;
    let state = node.state.borrow();
    codec::encode(&ConfigResponse {
        transfer: state.store.transfer(request.have, request.digest),
        version: state.store.version(),
        domain: node.settings.failure_domain.clone(),
        ready: state.ready,
    })
}

async fn follow_log(node: &Rc<Node>) {
    wait_for_peers(node).await;
    loop {
        let (is_reader, ready) = {
            let state = node.state.borrow();
            (state.gossip.is_reader(), state.ready)
        };
        if ready && !is_reader {
            actix_rt::time::sleep(ELECTION_CHECK_PERIOD).await;
            continue;
        }
        let wait = if ready {
            LONG_POLL_TIMEOUT
        } else {
            READY_CHECK_PERIOD
        };
        if let Err(failure) = read_log(node, wait).await {
            warn!(node.log, "cannot read the log"; "failure" => failure.to_string());
            set_log_reachable(node, false);
            let delay = LOG_RETRY_DELAY.mul_f64(node.state.borrow_mut().rng.random_range(1.0..2.0));
            actix_rt::time::sleep(delay).await;
            continue;
        }
        set_log_reachable(node, true);
        if ready {
            append_checkpoint(node).await;
        }
    }
}

/// Waits until a starting node has become ready with the help of its peers, has been elected as a
/// reader, or has to read the log because the log is short or no peer was found in time.
async fn wait_for_peers(node: &Rc<Node>) {
    let jitter = node.state.borrow_mut().rng.random_range(0.0..1.0);
    actix_rt::time::sleep(MIN_PEERS_ONLY_TIME + PEERS_ONLY_JITTER.mul_f64(jitter)).await;
    while node.clock.now() < MAX_PEERS_ONLY_TIME {
        let done = {
            let state = node.state.borrow();
            state.ready || (state.gossip.joined() && state.gossip.is_reader())
        };
        if done {
            return;
        }
        let bounds = node.log_client.bounds(CONFIG_STREAM).await;
        if bounds
            .is_ok_and(|bounds| bounds.end.saturating_sub(bounds.oldest) <= MAX_DIRECT_READ_RECORDS)
        {
            return;
        }
        actix_rt::time::sleep(ELECTION_CHECK_PERIOD).await;
    }
}

fn set_log_reachable(node: &Rc<Node>, reachable: bool) {
    let mut state = node.state.borrow_mut();
    if !reachable {
        state.readiness.on_log_lost();
    }
    let actions = state.gossip.set_log_reachable(node.clock.now(), reachable);
    drop(state);
    gossip_loop::apply_actions(node, actions);
}

/// Reads one batch of records from the log and applies them.
///
/// # Errors
/// If the log does not answer.
pub async fn read_log(node: &Rc<Node>, wait: Duration) -> Result<(), Failure> {
    let from = {
        let mut state = node.state.borrow_mut();
        resume_fold(&mut state);
        state.fold.next_offset()
    };
    let batch = read_batch(node, from, wait).await?;
    let bytes: usize = batch.records.iter().map(|(_, record)| record.len()).sum();
    node.metrics.log_bytes.increment(bytes as u64);
    let events = node
        .state
        .borrow_mut()
        .fold
        .on_records(batch.oldest, &batch.records);
    for event in events {
        on_event(node, event);
    }
    let mut state = node.state.borrow_mut();
    state.log_bounds = (batch.oldest, batch.end);
    if state.fold.is_complete() && state.fold.next_offset() >= batch.end {
        let version = state.fold.version();
        state.readiness.on_log_end(version);
    }
    Ok(())
}

/// Reads records, and halves their number as long as the response exceeds the maximum message size.
async fn read_batch(node: &Node, from: u64, wait: Duration) -> Result<LogBatch, Failure> {
    let (mut from, mut wait, mut records) = (from, wait, MAX_BATCH_RECORDS);
    loop {
        let failure = match node
            .log_client
            .read(CONFIG_STREAM, from, records, wait)
            .await
        {
            Ok(batch) => return Ok(batch),
            Err(failure) => failure,
        };
        match failure.code {
            ResultCode::LogTruncated => {
                from = node.log_client.bounds(CONFIG_STREAM).await?.oldest;
                wait = Duration::ZERO;
            }
            ResultCode::MessageTooLarge if records > 1 => records /= 2,
            _ => return Err(failure),
        }
    }
}

/// Advances the fold to the version in force if that version came from a peer, so that a node that
/// becomes a reader does not read the log from its start.
fn resume_fold(state: &mut super::NodeState) {
    let Some(current) = state.store.current() else {
        return;
    };
    if current.version() > state.fold.version() {
        state.fold = LogFold::resume(current.versioned().clone());
        let rollbacks = state.rollouts.rollbacks();
        state.fold.merge_rollbacks(&rollbacks);
    }
}

fn on_event(node: &Rc<Node>, event: FoldEvent) {
    match event {
        FoldEvent::Accepted {
            author, current, ..
        } => {
            info!(node.log, "publication accepted"; "version" => current.version.0, "author" => author);
            install(node, current);
        }
        FoldEvent::Restored { current } => {
            info!(node.log, "configuration restored from a checkpoint"; "version" => current.version.0);
            install(node, current);
        }
        FoldEvent::RolledBack(rollback) => {
            let (now, wall) = (node.clock.now(), node.clock.wall());
            let mut state = node.state.borrow_mut();
            state.rollouts.on_rollback(rollback.clone());
            let actions = state.gossip.submit_rollback(now, wall, rollback);
            drop(state);
            gossip_loop::apply_actions(node, actions);
        }
        FoldEvent::Rejected {
            publish_id,
            failure,
            ..
        } => {
            let text = format!("publication {publish_id} was refused: {failure}");
            let subject = format!("publication {publish_id}");
            node.report(failure.code, format!("publish/{publish_id}"), subject, text);
        }
        FoldEvent::Duplicate { .. } => {
            info!(node.log, "publication appended again"; "event" => format!("{event:?}"));
        }
        FoldEvent::DigestMismatch {
            offset,
            ours,
            theirs,
        } => {
            let text = format!(
                "the checkpoint at offset {offset} has version {} with digest {:016x}, this node has \
                 version {} with digest {:016x}; nodes of different releases may read the log differently",
                theirs.0, theirs.1, ours.0, ours.1
            );
            report_stream_fault(node, ResultCode::DigestMismatch, offset, text);
        }
        FoldEvent::Truncated { needed, oldest } => {
            let text = format!(
                "the log has dropped the records from offset {needed} to {oldest} before this node read \
                 them; it keeps its configuration and looks for a checkpoint"
            );
            report_stream_fault(node, ResultCode::LogTruncated, needed, text);
        }
        FoldEvent::Undecodable { offset, failure } => {
            let text = format!("the record at offset {offset} was skipped: {failure}");
            report_stream_fault(node, ResultCode::MessageMalformed, offset, text);
        }
    }
}

/// Reports a fault of the stream. All readers find the same fault and report it with the same
/// identity.
fn report_stream_fault(node: &Node, code: ResultCode, offset: u64, text: String) {
    let identity = format!("stream/{}/{offset}", code.number());
    node.report(code, identity, format!("stream {CONFIG_STREAM}"), text);
}

fn install(node: &Rc<Node>, versioned: VersionedDocument) {
    if versioned.version <= node.state.borrow().store.version() {
        return;
    }
    let installed =
        Snapshot::build(versioned).and_then(|s| node.state.borrow_mut().store.install(s));
    match installed {
        Ok(snapshot) => on_installed(node, &snapshot),
        Err(failure) => node.report(
            failure.code,
            format!("install/{failure}"),
            "configuration".into(),
            format!("a configuration was not applied: {failure}"),
        ),
    }
}

fn on_installed(node: &Rc<Node>, snapshot: &Snapshot) {
    let now = node.clock.now();
    let version = snapshot.version();
    info!(node.log, "configuration in force"; "version" => version.0,
        "digest" => format!("{:016x}", snapshot.digest()));
    #[allow(clippy::cast_precision_loss)]
    node.metrics.version.set(version.0 as f64);
    let mut state = node.state.borrow_mut();
    state.readiness.on_in_force(version);
    state.rollouts.on_config(snapshot.versioned());
    state
        .gossip
        .set_services(version, &snapshot.versioned().since);
    let actions = state.gossip.on_new_version(now, version);
    drop(state);
    gossip_loop::apply_actions(node, actions);
    gossip_loop::reconcile_rollouts(node);
}

/// Requests the configuration from a peer that has announced a higher version.
pub fn pull(node: &Rc<Node>, peer: Member) {
    let node = node.clone();
    actix_rt::spawn(async move {
        if let Err(failure) = pull_config(&node, &peer).await {
            debug!(node.log, "configuration request failed"; 
                "peer" => peer.id.as_str(), "failure" => failure.to_string());
            report_refused(&node, &peer, &failure);
            let actions = node
                .state
                .borrow_mut()
                .gossip
                .on_pull_failed(node.clock.now());
            gossip_loop::apply_actions(&node, actions);
        }
    });
}

/// Reports that this node refused a configuration which a peer sent. An unreachable peer is not
/// reported, since the next peer is asked.
fn report_refused(node: &Node, peer: &Member, failure: &Failure) {
    if matches!(
        failure.code,
        ResultCode::PeerUnreachable | ResultCode::DeltaMismatch
    ) {
        return;
    }
    let identity = format!("refused/{}/{}", node.settings.id, failure.code.number());
    let text = format!(
        "node {} refused the configuration of node {}: {failure}",
        node.settings.id, peer.id
    );
    node.report(failure.code, identity, "configuration".into(), text);
}

async fn pull_config(node: &Rc<Node>, peer: &Member) -> Result<(), Failure> {
    let response = request_config(node, peer, false).await?;
    let received = node.state.borrow_mut().store.receive(response.transfer);
    let received = match received {
        Err(failure) if failure.code == ResultCode::DeltaMismatch => {
            let whole_response = request_config(node, peer, true).await?;
            node.state
                .borrow_mut()
                .store
                .receive(whole_response.transfer)
        }
        other => other,
    };
    if let Some(snapshot) = received? {
        on_installed(node, &snapshot);
    }
    let peer_answer = PeerAnswer {
        domain: response.domain,
        version: response.version,
        ready: response.ready,
    };
    node.state
        .borrow_mut()
        .readiness
        .on_peer(node.clock.now(), &peer_answer);
    Ok(())
}

/// Requests the changes since the version in force at this node, or the whole configuration if
/// `request_whole` is set.
async fn request_config(
    node: &Rc<Node>,
    peer: &Member,
    request_whole: bool,
) -> Result<ConfigResponse, Failure> {
    let current = node.snapshot().filter(|_| !request_whole);
    let request = ConfigRequest {
        have: current
            .as_ref()
            .map_or(ConfigVersion::NONE, |s| s.version()),
        digest: current.as_ref().map_or(0, |s| s.digest()),
    };
    node.ask_peer(peer.node_addr, "/peer/config", &request, PULL_TIMEOUT)
        .await
}

/// Requests the configuration from peers in several failure domains until the node is ready.
/// Meanwhile [`follow_log`] reads the log.
async fn become_ready(node: &Rc<Node>) {
    let mut last_reason = String::new();
    loop {
        let now = node.clock.now();
        let ready = node.state.borrow_mut().readiness.state(now);
        match ready {
            ReadyState::Ready { .. } if !is_joining(node) => {
                info!(node.log, "node ready"; "state" => ready.to_string());
                node.state.borrow_mut().ready = true;
                log_writer::announce_member(node);
                return;
            }
            ReadyState::Waiting(reason) if reason != last_reason => {
                info!(node.log, "node not ready"; "state" => reason.as_str());
                last_reason = reason;
            }
            _ => {}
        }
        let peers = choose_peers(node);
        let pulls = peers.iter().map(|peer| pull_config(node, peer));
        futures_util::future::join_all(pulls).await;
        actix_rt::time::sleep(READY_CHECK_PERIOD).await;
    }
}

/// Returns true while a starting node should wait for a first state exchange with a peer.
pub fn is_joining(node: &Node) -> bool {
    !node.state.borrow().gossip.joined() && node.clock.now() < JOIN_TIMEOUT
}

fn choose_peers(node: &Node) -> Vec<Member> {
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    let me: &NodeId = &node.settings.id;
    let alive = |m: &&Member| m.status == MemberStatus::Alive && m.id != *me;
    let mut domains: Vec<&DomainName> = state
        .gossip
        .members()
        .iter()
        .filter(alive)
        .map(|m| &m.domain)
        .collect();
    domains.sort_unstable();
    domains.dedup();
    let mut peers = Vec::new();
    for domain in domains.sample(&mut state.rng, MAX_ASKED_DOMAINS) {
        let members: Vec<&Member> = state
            .gossip
            .members()
            .iter()
            .filter(alive)
            .filter(|m| m.domain == **domain)
            .collect();
        peers.extend(members.choose(&mut state.rng).map(|m| (*m).clone()));
    }
    peers
}

async fn append_checkpoint(node: &Rc<Node>) {
    let checkpoint = {
        let state = node.state.borrow();
        let (oldest, end) = state.log_bounds;
        let due = checkpoint_due(&RetentionState {
            restorable_from: state.fold.restorable_from(),
            oldest,
            end,
            age: None,
            retention: None,
        });
        due.then(|| state.fold.checkpoint()).flatten()
    };
    let Some(checkpoint) = checkpoint else {
        return;
    };
    let as_of = checkpoint.as_of;
    let Ok(record) = codec::encode(&ConfigRecord::Checkpoint(checkpoint)) else {
        return;
    };
    match node.log_client.append(CONFIG_STREAM, record).await {
        Ok(offset) => info!(node.log, "checkpoint appended"; "offset" => offset, "as_of" => as_of),
        Err(failure) => {
            warn!(node.log, "checkpoint not appended"; "failure" => failure.to_string());
        }
    }
}
