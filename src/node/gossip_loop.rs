//! Connects the gossip and rollout state machines with the network and with each other.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use slog::debug;
use slog::info;

use crate::coordination::dissemination::GossipAction;
use crate::coordination::rollout::RolloutAction;
use crate::node::Node;
use crate::node::config_reader;
use crate::node::log_writer;
use crate::node::publish;
use crate::node::run_periodically;
use crate::protocol::auth;
use crate::protocol::codec;
use crate::protocol::gossip::EvidenceReport;
use crate::protocol::gossip::MAX_DATAGRAM_BYTES;
use crate::protocol::gossip::Member;
use crate::protocol::gossip::MemberStatus;
use crate::protocol::gossip::Packet;
use crate::protocol::gossip::SyncState;
use crate::protocol::record::ConfigRecord;
use crate::transport::udp;

/// Tick period of the gossip state machine.
const GOSSIP_PERIOD: Duration = Duration::from_millis(100);
/// Tick period of the rollout state machine.
const ROLLOUT_PERIOD: Duration = Duration::from_millis(200);
/// Timeout of a state exchange.
const SYNC_TIMEOUT: Duration = Duration::from_secs(3);
/// Size of the IPv4 and UDP headers, which the traffic metrics include, bytes.
const UDP_OVERHEAD_BYTES: u64 = 28;

/// Starts the tasks that receive datagrams and tick the state machines.
pub fn start(node: &Rc<Node>) {
    let receiver = node.clone();
    actix_rt::spawn(async move { receive(&receiver).await });
    run_periodically(node, GOSSIP_PERIOD, |node| {
        let (now, wall) = (node.clock.now(), node.clock.wall());
        let actions = node.state.borrow_mut().gossip.tick(now, wall);
        apply_actions(node, actions);
        expire_backend(node);
    });
    run_periodically(node, ROLLOUT_PERIOD, tick_rollouts);
}

async fn receive(node: &Rc<Node>) {
    let mut buf = [0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, from)) = udp::receive(&node.udp, &mut buf).await else {
            continue;
        };
        node.metrics
            .gossip_bytes_received
            .increment(length as u64 + UDP_OVERHEAD_BYTES);
        let Some(packet) = decode_datagram(node, &buf[..length]) else {
            node.metrics.gossip_rejected.increment(1);
            continue;
        };
        let (now, wall) = (node.clock.now(), node.clock.wall());
        let actions = node
            .state
            .borrow_mut()
            .gossip
            .on_packet(now, wall, from, packet);
        apply_actions(node, actions);
    }
}

fn decode_datagram(node: &Node, datagram: &[u8]) -> Option<Packet> {
    let mut state = node.state.borrow_mut();
    let opened = auth::open(&node.keys, &mut state.replay, node.clock.wall(), datagram);
    match opened.and_then(codec::decode) {
        Ok(packet) => Some(packet),
        Err(failure) => {
            debug!(node.log, "datagram rejected"; "failure" => failure.to_string());
            None
        }
    }
}

/// Executes the actions that the gossip state machine returned.
pub fn apply_actions(node: &Rc<Node>, actions: Vec<GossipAction>) {
    for action in actions {
        apply_action(node, action);
    }
}

fn apply_action(node: &Rc<Node>, action: GossipAction) {
    let now = node.clock.now();
    match action {
        GossipAction::Send { to, packet } => send(node, to, &packet),
        GossipAction::MemberChanged { before, after } => {
            on_member_changed(node, before.as_ref(), &after);
        }
        GossipAction::PullConfig { peer } => config_reader::pull(node, peer),
        GossipAction::Sync { addr } => sync(node, addr),
        GossipAction::Progress(progress) => {
            node.state.borrow_mut().rollouts.on_progress(progress);
        }
        GossipAction::Rollback(rollback) => {
            node.state.borrow_mut().rollouts.on_rollback(rollback);
        }
        GossipAction::Crash(report) => {
            let actions = node
                .state
                .borrow_mut()
                .quarantine
                .on_report(&report, node.clock.wall());
            node.apply_quarantine(actions);
        }
        GossipAction::Evidence { from, report } => {
            let wall = node.clock.wall();
            node.state
                .borrow_mut()
                .rollouts
                .on_report(now, wall, &from, &report);
        }
        GossipAction::VersionStatus {
            version,
            have,
            total,
            missing,
        } => {
            publish::on_version_status(node, version, have, total, &missing);
        }
        GossipAction::DeclaredDead => {
            info!(
                node.log,
                "this node was declared dead and has refuted the declaration"
            );
        }
    }
}

fn send(node: &Node, to: SocketAddr, packet: &Packet) {
    let Ok(payload) = codec::encode_compact(packet) else {
        return;
    };
    let nonce = node.state.borrow_mut().rng.next_u64();
    let datagram = auth::seal(&node.keys[0], node.clock.wall(), nonce, &payload);
    if udp::send(&node.udp, to, &datagram) {
        node.metrics
            .gossip_bytes_sent
            .increment(datagram.len() as u64 + UDP_OVERHEAD_BYTES);
    }
}

fn on_member_changed(node: &Rc<Node>, before: Option<&Member>, after: &Member) {
    let visible_state = |member: Option<&Member>| member.map(|m| (m.status, m.backend.clone()));
    if visible_state(before) != visible_state(Some(after)) {
        info!(node.log, "member changed"; "member" => after.id.as_str(),
        "status" => format!("{:?}", after.status), "incarnation" => after.incarnation,
        "backend" => after.backend.as_ref().map_or_else(String::new, |b| {
            format!("{} {} {}", b.service, b.version, if b.up { "up" } else { "down" })
        }));
    }
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    state.balancer.on_member(now, after);
    let backends = [before, Some(after)]
        .into_iter()
        .flatten()
        .filter_map(|m| m.backend.as_ref());
    for backend in backends {
        let members = state
            .gossip
            .members()
            .iter()
            .filter(|m| m.status < MemberStatus::Leaving);
        let slots = members
            .filter_map(|m| m.backend.as_ref())
            .filter(|b| b.up && b.service == backend.service && b.version == backend.version)
            .map(|b| b.slots)
            .sum();
        state
            .rollouts
            .on_slots(backend.service.as_str(), backend.version.as_str(), slots);
    }
    let alive = state.gossip.members_in_service();
    node.metrics
        .members
        .set(u32::try_from(alive).unwrap_or(u32::MAX));
}

fn sync(node: &Rc<Node>, addr: SocketAddr) {
    let node = node.clone();
    actix_rt::spawn(async move {
        let own_state = node.state.borrow().gossip.sync_state();
        let response: Result<SyncState, _> = node
            .ask_peer(addr, "/peer/sync", &own_state, SYNC_TIMEOUT)
            .await;
        match response {
            Ok(peer_state) => on_sync(&node, peer_state),
            Err(failure) => {
                debug!(node.log, "state exchange failed"; "failure" => failure.to_string());
                node.state
                    .borrow_mut()
                    .gossip
                    .on_sync_failed(node.clock.now());
            }
        }
    });
}

/// Merges the replicated state of a peer.
pub fn on_sync(node: &Rc<Node>, peer_state: SyncState) {
    let (now, wall) = (node.clock.now(), node.clock.wall());
    let actions = node
        .state
        .borrow_mut()
        .gossip
        .on_sync(now, wall, peer_state);
    apply_actions(node, actions);
    reconcile_rollouts(node);
}

/// Brings the gossip state machine and the rollout engine to the same progress and rollbacks. They
/// can differ because each drops entries of services that are not in its configuration, and because
/// gossip does not report a rollback that only replaces a later decision on the same version.
pub fn reconcile_rollouts(node: &Rc<Node>) {
    let (now, wall) = (node.clock.now(), node.clock.wall());
    let mut state = node.state.borrow_mut();
    let gossip_state = state.gossip.sync_state();
    for progress in &gossip_state.progress {
        state.rollouts.on_progress(progress.clone());
    }
    for rollback in &gossip_state.rollbacks {
        state.rollouts.on_rollback(rollback.clone());
    }
    let mut actions = Vec::new();
    for progress in state.rollouts.progress() {
        if !gossip_state.progress.contains(&progress) {
            actions.extend(state.gossip.submit_progress(now, wall, progress));
        }
    }
    for rollback in state.rollouts.rollbacks() {
        if !gossip_state.rollbacks.contains(&rollback) {
            actions.extend(state.gossip.submit_rollback(now, wall, rollback));
        }
    }
    drop(state);
    apply_actions(node, actions);
}

fn expire_backend(node: &Rc<Node>) {
    let now = node.clock.now();
    let expired = node.state.borrow_mut().backend.expire(now);
    if expired {
        info!(node.log, "backend server is down"; "reason" => "no announcement");
        backend_changed(node);
    }
}

/// Passes a change of the backend server beside the node to admission, rollouts and gossip.
pub fn backend_changed(node: &Rc<Node>) {
    let (now, wall) = (node.clock.now(), node.clock.wall());
    let mut state = node.state.borrow_mut();
    let backend = state.backend.state();
    if let Some(backend) = &backend {
        state.admission.set_slots(backend.slots);
    }
    let serving = backend
        .as_ref()
        .filter(|b| b.up)
        .map(|b| (b.service.clone(), b.version.clone()));
    state.rollouts.set_serving(serving);
    let actions = state.gossip.set_backend(now, wall, backend);
    drop(state);
    apply_actions(node, actions);
}

fn tick_rollouts(node: &Rc<Node>) {
    let (now, wall) = (node.clock.now(), node.clock.wall());
    let actions = node.state.borrow_mut().rollouts.tick(now, wall);
    for action in actions {
        let gossip_actions = match action {
            RolloutAction::SendReport(report) => send_report(node, &report),
            RolloutAction::Advance(progress) => {
                info!(node.log, "rollout advanced"; "service" => progress.key.service.as_str(),
                    "version" => progress.key.to.as_str(), "step" => progress.step);
                node.state
                    .borrow_mut()
                    .gossip
                    .submit_progress(now, wall, progress)
            }
            RolloutAction::RollBack(rollback) => {
                log_writer::append_record(node, &ConfigRecord::Rollback(rollback.clone()));
                node.state
                    .borrow_mut()
                    .gossip
                    .submit_rollback(now, wall, rollback)
            }
            RolloutAction::Outcome(outcome) => {
                node.report_record(outcome);
                Vec::new()
            }
        };
        apply_actions(node, gossip_actions);
    }
}

fn send_report(node: &Rc<Node>, report: &EvidenceReport) -> Vec<GossipAction> {
    let mut state = node.state.borrow_mut();
    let serves = |m: &&Member| {
        m.backend
            .as_ref()
            .is_some_and(|b| b.service == report.key.service)
    };
    let me = &node.settings.id;
    let recipients: Vec<_> = state
        .gossip
        .members()
        .iter()
        .filter(|m| m.status < MemberStatus::Leaving && m.id != *me)
        .filter(serves)
        .map(|m| m.id.clone())
        .collect();
    state
        .gossip
        .send_evidence(node.clock.now(), &recipients, report)
}
