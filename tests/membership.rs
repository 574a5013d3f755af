//! Membership and dissemination in scripted scenarios on a simulated network.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use sycamorewick::coordination::dissemination::CRASH_EXPIRY;
use sycamorewick::coordination::dissemination::Gossip;
use sycamorewick::coordination::dissemination::GossipAction;
use sycamorewick::coordination::dissemination::GossipConfig;
use sycamorewick::coordination::dissemination::MAX_SYNCS_SERVED;
use sycamorewick::coordination::membership::DEAD_MEMBER_RETENTION;
use sycamorewick::coordination::membership::DEPARTED_WINDOW;
use sycamorewick::coordination::membership::suspicion_timeout;
use sycamorewick::protocol::codec;
use sycamorewick::protocol::gossip::BackendState;
use sycamorewick::protocol::gossip::CrashReport;
use sycamorewick::protocol::gossip::EvidenceReport;
use sycamorewick::protocol::gossip::Header;
use sycamorewick::protocol::gossip::LATENCY_BUCKETS;
use sycamorewick::protocol::gossip::Member;
use sycamorewick::protocol::gossip::MemberStatus;
use sycamorewick::protocol::gossip::Message;
use sycamorewick::protocol::gossip::Packet;
use sycamorewick::protocol::gossip::Rollback;
use sycamorewick::protocol::gossip::RollbackCause;
use sycamorewick::protocol::gossip::RolloutKey;
use sycamorewick::protocol::gossip::RouteEvidence;
use sycamorewick::protocol::gossip::Rumor;
use sycamorewick::protocol::gossip::SyncState;
use sycamorewick::protocol::name::ConfigVersion;
use sycamorewick::protocol::name::NodeId;
use sycamorewick::protocol::record::ServiceSince;
use sycamorewick::protocol::time::WallMs;

use support::checks;
use support::member;
use support::network::Network;
use support::node::wall;

const SECOND: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(100);
const WALL: WallMs = WallMs(1_700_000_000_000);

fn fleet(count: usize, seed: u64) -> Network {
    let mut net = Network::new(count, seed);
    let joined = net.run_until(SECOND * 30, TICK, checks::has_converged);
    assert!(joined.is_some(), "nodes do not see each other after 30 s");
    net
}

fn status(gossip: &Gossip, id: &str) -> Option<MemberStatus> {
    let found = gossip.members().iter().find(|m| m.id.as_str() == id);
    found.map(|m| m.status)
}

fn rollback(by: &NodeId, at: WallMs) -> Rollback {
    Rollback {
        key: RolloutKey {
            service: "booking".into(),
            to: "v2".into(),
            since: ConfigVersion(1),
        },
        cause: RollbackCause::Errors,
        route: None,
        at,
        by: by.clone(),
    }
}

/// Returns the state of a node that knows `count` members, this one included.
fn gossip_with_members(count: usize) -> Gossip {
    let cfg = GossipConfig { seeds: Vec::new() };
    let mut gossip = Gossip::new(member(0, WALL), 1, cfg);
    let members = (1..count).map(|i| member(i, WALL)).collect();
    let state = SyncState {
        members,
        ..SyncState::default()
    };
    gossip.on_sync(Duration::ZERO, WALL, state);
    gossip
}

fn packet(
    from: &Member,
    version: u64,
    message: Message,
    rumors: Vec<Rumor>,
) -> (SocketAddr, Packet) {
    let header = Header {
        from: from.id.clone(),
        incarnation: from.incarnation,
        version: ConfigVersion(version),
        digest: 0,
        log_reachable: true,
    };
    let packet = Packet {
        header,
        message,
        rumors,
    };
    (from.gossip_addr, packet)
}

/// Guards against a split fleet after a mass restart: seeds that joined in separate groups stay apart
/// unless nodes keep contacting seeds that are not members.
#[test]
fn join_after_mass_restart_converges() {
    for seed in 0..10 {
        let mut net = Network::new(20, seed);
        let took = net.run_until(SECOND * 10, TICK, checks::has_converged);
        assert!(took.is_some(), "seed {seed}");
    }
}

/// Guards against members that stay unknown to some nodes after a mass restart of a larger fleet, where
/// rumors miss members that join through other nodes at the same time.
#[test]
fn join_after_mass_restart_of_larger_fleet_converges() {
    for seed in 0..3 {
        let mut net = Network::new(80, seed);
        net.check_steps = false;
        let took = net.run_until(SECOND * 10, TICK, checks::has_converged);
        assert!(took.is_some(), "seed {seed}");
    }
}

/// Guards against a death that some node never learns: that node would keep choosing a dead key replica.
#[test]
fn kill_dead_everywhere_and_stays_dead() {
    for seed in 0..5 {
        let mut net = fleet(20, seed);
        net.nodes[9].paused_until = net.now + SECOND * 45;
        net.run(SECOND);
        net.kill(7);
        let bound = SECOND * 2 + suspicion_timeout(20, 1);
        let dead = |g: &Gossip| status(g, "n07") == Some(MemberStatus::Dead);
        let others = |net: &Network| net.count(dead) >= 18;
        let took = net.run_until(bound, TICK, others);
        assert!(took.is_some(), "seed {seed}: {} know", net.count(dead));
        // Node 9 resumes with a record from before the death.
        let took = net.run_until(SECOND * 90, TICK, |net| net.count(dead) == 19);
        assert!(took.is_some(), "seed {seed}: {} know", net.count(dead));
        for _ in 0..60 {
            net.run(SECOND);
            assert_eq!(
                net.count(dead),
                19,
                "seed {seed}: the dead member became alive again"
            );
        }
    }
}

/// Guards against slow spread of a leave: an entry node that does not know of it still sends requests
/// to the leaving backend server.
#[test]
fn leave_known_everywhere_within_two_seconds() {
    for seed in 0..20 {
        let mut net = fleet(20, seed);
        net.act(5, Gossip::leave);
        let left = |g: &Gossip| status(g, "n05") == Some(MemberStatus::Leaving);
        let took = net.run_until(SECOND * 2, TICK, |net| net.count(left) == 20);
        assert!(took.is_some(), "seed {seed}: {} know", net.count(left));
    }
}

/// Guards against urgent rumors that are only carried by probes: they take 3 to 4 s to reach 20 nodes.
#[test]
fn urgent_changes_known_everywhere_within_two_seconds() {
    for seed in 0..20 {
        let mut net = fleet(20, seed);
        net.act(5, |g, now, wall| {
            let backend = BackendState {
                service: "booking".into(),
                version: "v2".into(),
                slots: 10,
                up: false,
            };
            g.set_backend(now, wall, Some(backend))
        });
        net.act(6, |g, now, wall| {
            let rollback = rollback(&g.me().id.clone(), wall);
            g.submit_rollback(now, wall, rollback)
        });
        let known = |g: &Gossip| {
            let backend = g.members().iter().any(|m| m.backend.is_some());
            backend && !g.sync_state().rollbacks.is_empty()
        };
        let took = net.run_until(SECOND * 2, TICK, |net| net.count(known) == 20);
        assert!(took.is_some(), "seed {seed}: {} know", net.count(known));
    }
}

/// Guards against a partition that never heals: two regions that declared each other dead reconnect only
/// if nodes ping dead members.
#[test]
fn partition_for_an_hour_heals() {
    let mut net = fleet(12, 3);
    for index in (0..12).step_by(2) {
        net.nodes[index].partition = 1;
    }
    net.act(0, |g, now, _| g.on_new_version(now, ConfigVersion(5)));
    net.run(SECOND * 3_600);
    let alive = |g: &Gossip| {
        g.members()
            .iter()
            .filter(|m| m.status == MemberStatus::Alive)
            .count()
    };
    assert_eq!(net.count(|g| alive(g) == 6), 12, "each side sees itself");
    assert_eq!(net.count(|g| g.version() == ConfigVersion(5)), 6);
    net.nodes.iter_mut().for_each(|n| n.partition = 0);
    let own_side = |g: &Gossip| {
        let own = g.members().iter().filter(|m| m.region == g.me().region);
        own.filter(|m| m.status != MemberStatus::Dead).count() == 6
    };
    let took = net.run_until(SECOND * 120, TICK, |net| {
        // Each side learns that the other one declared it dead, and must not adopt that.
        assert_eq!(
            net.count(own_side),
            12,
            "a member was declared dead on its own side"
        );
        checks::has_converged(net)
    });
    assert!(took.is_some(), "no agreement 120 s after the partition");
    let current = |g: &Gossip| g.version() == ConfigVersion(5);
    let took = net.run_until(SECOND * 4, TICK, |net| net.count(current) == 12);
    assert!(
        took.is_some(),
        "{} of 12 have the version",
        net.count(current)
    );
}

/// Guards against a missing refutation: a node that was paused would stay dead for its peers.
#[test]
fn pause_of_a_minute_is_refuted() {
    for seed in 0..5 {
        let mut net = fleet(20, seed);
        net.nodes[4].paused_until = net.now + SECOND * 60;
        net.run(SECOND * 60);
        let dead = |g: &Gossip| status(g, "n04") == Some(MemberStatus::Dead);
        assert_eq!(net.count(dead), 19, "seed {seed}");
        let took = net.run_until(SECOND * 30, TICK, checks::has_converged);
        assert!(
            took.is_some(),
            "seed {seed}: not alive everywhere after 30 s"
        );
        assert!(net.nodes[4].declared_dead >= 1);
        assert!(net.nodes[4].gossip.declared_dead_at().is_some());
        let others = net.nodes.iter().map(|n| n.declared_dead).sum::<usize>();
        assert_eq!(
            others, net.nodes[4].declared_dead,
            "seed {seed}: another node was declared dead"
        );
    }
}

/// Guards against missing hints to other regions: a version would stay in the region whose reader read
/// it.
#[test]
fn new_version_reaches_both_regions_from_one_reader() {
    for seed in 0..10 {
        let mut net = fleet(20, seed);
        net.act(2, |g, now, _| g.on_new_version(now, ConfigVersion(9)));
        net.act(2, |g, now, _| {
            g.start_version_query(now, ConfigVersion(9));
            Vec::new()
        });
        let took = net.run_until(SECOND * 4, TICK, |net| {
            net.count(|g| g.version() == ConfigVersion(9)) == 20
        });
        assert!(took.is_some(), "seed {seed}");
        net.run(SECOND);
        assert_eq!(net.nodes[2].version_statuses, [(20, 20)], "seed {seed}");
    }
}

/// Guards against a version that is reported as in force everywhere although a member does not have it.
#[test]
fn version_query_names_the_members_without_the_version() {
    let mut net = fleet(8, 1);
    net.nodes[3].paused_until = net.now + TICK * 45;
    net.act(2, |g, now, _| g.on_new_version(now, ConfigVersion(9)));
    net.act(2, |g, now, _| {
        g.start_version_query(now, ConfigVersion(9));
        Vec::new()
    });
    net.run(SECOND * 12);
    assert_eq!(net.nodes[2].version_statuses, [(7, 8), (8, 8)]);
}

/// Guards against two readers in one failure domain, which would fail together, and against a region
/// without a reader because its nodes disagree about the readers.
#[test]
fn readers_two_domains_of_each_region_and_reachable() {
    let mut net = fleet(20, 2);
    let readers = |net: &Network| -> Vec<usize> {
        let nodes = net.nodes.iter().enumerate();
        let readers = nodes.filter(|(_, n)| n.running && n.gossip.is_reader());
        readers.map(|(i, _)| i).collect()
    };
    let domain = |net: &Network, i: usize| net.nodes[i].gossip.me().domain.clone();
    let check = |net: &Network| {
        let chosen = readers(net);
        for region in 0..2 {
            let own: Vec<_> = chosen.iter().filter(|i| **i % 2 == region).collect();
            assert_eq!(own.len(), 2, "{chosen:?}");
            assert_ne!(domain(net, *own[0]), domain(net, *own[1]));
        }
        chosen
    };
    let first = check(&net);
    let other = (0..20).find(|i| !first.contains(i)).expect("16 others");
    net.kill(other);
    net.run(SECOND * 40);
    assert_eq!(
        check(&net),
        first,
        "another member's death changed the readers"
    );
    net.act(first[0], |g, now, _| g.set_log_reachable(now, false));
    net.run(SECOND);
    let second = check(&net);
    assert!(
        !second.contains(&first[0]),
        "a node that cannot reach the log is still a reader"
    );
    let kept = first[1..].iter().filter(|r| second.contains(r)).count();
    assert!(kept >= 2, "{first:?} to {second:?}");
    for index in (0..20).filter(|i| *i != other) {
        net.act(index, |g, now, _| g.set_log_reachable(now, false));
    }
    net.run(SECOND * 2);
    assert!(
        !readers(&net).is_empty(),
        "no node tries to reach the log any more"
    );
}

/// Guards against two readers in one failure domain. Whether they share one depends on the hash of their
/// ids, so the test covers several fleets.
#[test]
fn readers_two_domains_in_any_fleet() {
    for first in (0..60).step_by(6) {
        let all = SyncState {
            members: (first..first + 12).map(|i| member(i, WALL)).collect(),
            ..SyncState::default()
        };
        let mut readers: Vec<Member> = Vec::new();
        for index in first..first + 12 {
            let cfg = GossipConfig { seeds: Vec::new() };
            let mut gossip = Gossip::new(member(index, WALL), 1, cfg);
            gossip.on_sync(Duration::ZERO, WALL, all.clone());
            gossip.tick(TICK, WALL);
            if gossip.is_reader() {
                readers.push(gossip.me().clone());
            }
        }
        readers.sort_by(|a, b| a.domain.cmp(&b.domain));
        readers.dedup_by(|a, b| a.domain == b.domain);
        let regions: Vec<_> = readers.iter().map(|m| m.region.as_str()).collect();
        assert_eq!(regions, ["r0", "r0", "r1", "r1"], "from node {first}");
    }
}

/// Guards against departed members that are dropped too early: a key replica would grant a key twice.
#[test]
fn departed_lists_members_for_the_key_window() {
    let mut net = fleet(6, 1);
    net.act(5, Gossip::leave);
    net.run(SECOND * 2);
    net.kill(5);
    net.kill(4);
    net.run(SECOND * 60);
    let departed = |net: &Network| -> Vec<String> {
        let gossip = &net.nodes[0].gossip;
        let listed = gossip.departed(wall(0, net.now)).iter();
        listed.map(|d| d.id.to_string()).collect()
    };
    assert_eq!(departed(&net), ["n05", "n04"]);
    net.restart(4);
    net.run(SECOND * 10);
    assert_eq!(
        status(&net.nodes[0].gossip, "n04"),
        Some(MemberStatus::Alive)
    );
    assert_eq!(
        departed(&net),
        ["n05", "n04"],
        "a member that returned is still listed"
    );
    net.run(DEPARTED_WINDOW);
    assert!(departed(&net).is_empty());
}

/// Guards against an old rumor that makes a dead member alive again, and against a restarted process
/// under the same id that stays dead.
#[test]
fn dead_member_returns_only_with_a_higher_incarnation() {
    let mut gossip = gossip_with_members(3);
    let old = member(1, WALL);
    let mut dead = old.clone();
    dead.status = MemberStatus::Dead;
    let mut now = SECOND;
    let receive = |gossip: &mut Gossip, now, rumor| {
        let (from, packet) = packet(&member(2, WALL), 0, Message::Hint, vec![rumor]);
        gossip.on_packet(now, WALL, from, packet);
        status(gossip, "n01")
    };
    assert_eq!(
        receive(&mut gossip, now, Rumor::Member(dead.clone())),
        Some(MemberStatus::Dead)
    );
    assert_eq!(
        receive(&mut gossip, now, Rumor::Member(old)),
        Some(MemberStatus::Dead)
    );
    while now < DEAD_MEMBER_RETENTION + SECOND * 2 {
        gossip.tick(now, WALL);
        now += SECOND * 2;
    }
    assert_eq!(status(&gossip, "n01"), None, "its record expires");
    assert_eq!(
        receive(&mut gossip, now, Rumor::Member(dead)),
        None,
        "an unknown member is not added as dead"
    );
    let new = member(1, WALL.plus(SECOND));
    assert_eq!(
        receive(&mut gossip, now, Rumor::Member(new)),
        Some(MemberStatus::Alive)
    );
}

/// The suspicion timeout of a single reporter is six times that of four independent ones.
#[test]
fn suspicion_timeout_shrinks_with_reporters() {
    let seconds = |members, reporters| suspicion_timeout(members, reporters).as_secs();
    assert_eq!([1, 2, 3, 4, 5].map(|n| seconds(10, n)), [24, 14, 8, 4, 4]);
    assert_eq!(seconds(1_300, 4), 12);
    assert_eq!(seconds(3, 1), 4, "no other member can confirm");
}

/// Guards against a node that declares a member dead right after its own pause, during which it could
/// not receive a refutation.
#[test]
fn suspicion_pause_of_the_reporter_gives_time_to_refute() {
    let mut gossip = gossip_with_members(10);
    gossip.tick(Duration::ZERO, WALL);
    for by in 2..6 {
        let rumor = Rumor::Suspect {
            id: "n01".into(),
            incarnation: 0,
            by: member(by, WALL).id,
        };
        let (from, packet) = packet(&member(2, WALL), 0, Message::Hint, vec![rumor]);
        gossip.on_packet(Duration::ZERO, WALL, from, packet);
    }
    gossip.tick(SECOND * 60, WALL);
    assert_eq!(status(&gossip, "n01"), Some(MemberStatus::Suspect));
    for second in 61..65 {
        gossip.tick(SECOND * second, WALL);
    }
    assert_eq!(status(&gossip, "n01"), Some(MemberStatus::Dead));
}

/// Guards against a version that decreases, which would put an older configuration in force again.
#[test]
#[cfg_attr(
    debug_assertions,
    should_panic(expected = "9001 invariant violated: number 1")
)]
fn new_version_lower_violates_the_invariant() {
    let mut gossip = gossip_with_members(2);
    gossip.on_new_version(SECOND, ConfigVersion(2));
    gossip.on_new_version(SECOND, ConfigVersion(1));
    assert_eq!(
        gossip.version(),
        ConfigVersion(2),
        "a lower version is ignored if the invariant check does not panic"
    );
}

/// Guards against a suspicion that is confirmed by repetitions from the same reporter.
#[test]
fn suspicion_same_reporter_is_no_confirmation() {
    let dead_after = |reporters: [usize; 4]| {
        let mut gossip = gossip_with_members(10);
        for by in reporters {
            let rumor = Rumor::Suspect {
                id: "n01".into(),
                incarnation: 0,
                by: member(by, WALL).id,
            };
            let (from, packet) = packet(&member(2, WALL), 0, Message::Hint, vec![rumor]);
            gossip.on_packet(Duration::ZERO, WALL, from, packet);
        }
        let mut now = Duration::ZERO;
        while status(&gossip, "n01") != Some(MemberStatus::Dead) {
            now += TICK;
            gossip.tick(now, WALL);
        }
        now
    };
    assert_eq!(dead_after([2, 3, 4, 5]), SECOND * 4);
    assert!(dead_after([2, 2, 2, 2]) > SECOND * 8);
}

/// Guards against a peer that serves any number of full exchanges at the same time, which overloads it in
/// a mass restart.
#[test]
fn sync_served_limit() {
    let mut gossip = gossip_with_members(2);
    for _ in 0..MAX_SYNCS_SERVED {
        assert!(gossip.try_acquire_sync_slot());
    }
    assert!(!gossip.try_acquire_sync_slot());
    gossip.release_sync_slot();
    assert!(gossip.try_acquire_sync_slot());
}

fn pulls(actions: Vec<GossipAction>) -> Vec<String> {
    let peer = |action| match action {
        GossipAction::PullConfig { peer } => Some(peer.id.to_string()),
        _ => None,
    };
    actions.into_iter().filter_map(peer).collect()
}

/// Guards against pulls from every peer with a newer version, which would transfer the same configuration
/// many times.
#[test]
fn pull_one_at_a_time_then_another_peer() {
    let mut gossip = gossip_with_members(10);
    let hint = |gossip: &mut Gossip, index| {
        let (from, packet) = packet(&member(index, WALL), 7, Message::Hint, Vec::new());
        pulls(gossip.on_packet(Duration::ZERO, WALL, from, packet))
    };
    assert!(
        hint(&mut gossip, 1).is_empty(),
        "a pull from another region is delayed"
    );
    assert_eq!(hint(&mut gossip, 2), ["n02"]);
    assert!(hint(&mut gossip, 4).is_empty());
    assert_eq!(pulls(gossip.on_pull_failed(TICK)), ["n04"]);
    let mut later = Vec::new();
    for i in 2..20 {
        later.extend(pulls(gossip.tick(TICK * i, WALL)));
    }
    assert_eq!(later, ["n01"], "the pull from n04 timed out");
    assert!(pulls(gossip.on_new_version(SECOND * 2, ConfigVersion(7))).is_empty());
    assert!(hint(&mut gossip, 2).is_empty(), "the version is in force");
}

/// Guards against an evidence report that exceeds a datagram and is lost.
#[test]
fn evidence_parts_fit_datagrams() {
    let mut net = fleet(4, 1);
    let route = |i| RouteEvidence {
        route: format!("a-rather-long-route-name-{i}").into(),
        calls: u32::MAX,
        errors: u32::MAX,
        downstream_failed: u32::MAX,
        latency: [u32::MAX; LATENCY_BUCKETS],
    };
    let report = EvidenceReport {
        key: rollback(&"n00".into(), WALL).key,
        version: "v2".into(),
        step: 1,
        sequence: 1,
        crashes: 0,
        routes: (0..50).map(route).collect(),
    };
    let mut sent = Vec::new();
    net.act(0, |g, now, _| {
        let actions = g.send_evidence(now, &["n01".into()], &report);
        for action in &actions {
            if let GossipAction::Send { packet, .. } = action
                && let Message::Evidence(part) = &packet.message
            {
                sent.extend(part.routes.clone());
            }
        }
        actions
    });
    assert_eq!(sent, report.routes);
}

/// Guards against datagrams that exceed the maximum size because rumors are packed by number.
#[test]
fn many_rumors_fit_datagrams() {
    let mut net = fleet(10, 1);
    net.act(0, |g, now, wall| {
        let mut actions = Vec::new();
        for i in 0..300 {
            let crash = CrashReport {
                fingerprint: u64::MAX - i,
                node: format!("node-{}", "x".repeat(usize::try_from(i).expect("small"))).into(),
                backend_start: i,
                at: wall,
            };
            actions.extend(g.submit_crash(now, wall, crash));
        }
        actions
    });
    let crashes = |g: &Gossip| g.sync_state().crashes.len();
    let took = net.run_until(SECOND * 60, TICK, |net| {
        net.count(|g| crashes(g) == 300) == 10
    });
    assert!(took.is_some(), "crash reports are missing after 60 s");
    net.run(CRASH_EXPIRY);
    assert_eq!(net.count(|g| crashes(g) == 0), 10, "reports do not expire");
    assert!(checks::has_converged(&net));
}

/// Guards against state of finished rollouts that is kept, or merged again from a peer, and grows without
/// bound.
#[test]
fn services_drop_rollouts_of_old_configurations() {
    let mut gossip = gossip_with_members(2);
    let old = rollback(&"n01".into(), WALL);
    gossip.submit_rollback(SECOND, WALL, old.clone());
    let since = |version| ServiceSince {
        service: "booking".into(),
        since: ConfigVersion(version),
    };
    gossip.set_services(ConfigVersion(3), &[since(1)]);
    assert_eq!(gossip.sync_state().rollbacks.len(), 1);
    gossip.set_services(ConfigVersion(4), &[since(4)]);
    gossip.submit_rollback(SECOND, WALL, old);
    assert!(gossip.sync_state().rollbacks.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a malformed datagram from a faulty node that ends the receiving process.
    #[test]
    fn on_packet_damaged_packets_do_not_panic(
        places in proptest::collection::vec((any::<u16>(), any::<u8>()), 0..6),
        number in prop_oneof![Just(0), Just(u64::MAX), any::<u64>()],
        kind in 0..6,
    ) {
        let mut suspect = member(1, WallMs(number));
        suspect.incarnation = number;
        suspect.status = MemberStatus::Dead;
        let rumors = vec![
            Rumor::Member(suspect),
            Rumor::Suspect { id: "n00".into(), incarnation: number, by: "n03".into() },
            Rumor::Member(Member { status: MemberStatus::Dead, ..member(0, WALL) }),
            Rumor::Rollback(rollback(&"n01".into(), WallMs(number))),
        ];
        let message = match kind {
            0 => Message::Ping { sequence: number },
            1 => Message::Ack { sequence: number },
            2 => Message::Nack { sequence: 1 },
            3 => Message::PingReq { sequence: number, target: "n01".into() },
            4 => Message::VersionQuery { sequence: number },
            _ => Message::Hint,
        };
        let (from, packet) = packet(&member(2, WALL), number, message, rumors);
        let mut bytes = codec::encode_compact(&packet).expect("encodes");
        for (place, value) in places {
            let place = usize::from(place) % bytes.len();
            bytes[place] = value;
        }
        let mut gossip = gossip_with_members(6);
        gossip.tick(Duration::ZERO, WALL);
        if let Ok(packet) = codec::decode::<Packet>(&bytes) {
            gossip.on_packet(TICK, WALL, from, packet);
        }
        for i in 2..20 {
            gossip.tick(TICK * i * 10, WALL);
        }
    }
}

/// Runs a scenario and returns its trace, one line per event, which is compared with a golden file.
fn trace_of(net: &mut Network, mut run: impl FnMut(&mut Network)) -> String {
    net.trace = Some(Vec::new());
    run(net);
    net.trace.take().unwrap_or_default().join("\n")
}

/// Records how the nodes of a fleet find each other after a mass restart.
#[test]
fn session_herd_restart() {
    let mut net = fleet(5, 11);
    let trace = trace_of(&mut net, |net| {
        (0..5).for_each(|i| net.restart(i));
        net.run(SECOND * 20);
    });
    assert!(checks::has_converged(&net));
    insta::assert_snapshot!(trace);
}

/// Records what a network partition of an hour and its end cause.
#[test]
fn session_region_partition() {
    let mut net = fleet(4, 12);
    let trace = trace_of(&mut net, |net| {
        net.nodes[0].partition = 1;
        net.nodes[2].partition = 1;
        net.run(SECOND * 60);
        // Until the partition ends, the trace would only hold repeated attempts to reach a seed.
        let trace = net.trace.take();
        net.run(SECOND * 3_540);
        net.trace = trace;
        net.nodes.iter_mut().for_each(|n| n.partition = 0);
        net.run(SECOND * 60);
    });
    assert!(checks::has_converged(&net));
    insta::assert_snapshot!(trace);
}

/// Guards against a node that restarts beside a stale peer, which was cut off, and stays on an old
/// version.
#[test]
fn session_restart_beside_stale_peer() {
    let mut net = fleet(5, 13);
    let trace = trace_of(&mut net, |net| {
        net.act(0, |g, now, _| g.on_new_version(now, ConfigVersion(1)));
        net.run(SECOND * 2);
        net.nodes[1].partition = 1;
        net.run(SECOND);
        net.act(0, |g, now, _| g.on_new_version(now, ConfigVersion(2)));
        net.run(SECOND * 2);
        net.restart(2);
        net.nodes[1].partition = 0;
        net.run(SECOND * 30);
    });
    assert!(checks::has_converged(&net));
    assert_eq!(net.count(|g| g.version() == ConfigVersion(2)), 5);
    insta::assert_snapshot!(trace);
}

/// Records how a pause is detected and refuted.
#[test]
fn session_paused_node() {
    let mut net = fleet(5, 14);
    let trace = trace_of(&mut net, |net| {
        net.nodes[3].paused_until = net.now + SECOND * 60;
        net.run(SECOND * 90);
    });
    assert!(checks::has_converged(&net));
    insta::assert_snapshot!(trace);
}
