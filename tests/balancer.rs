//! Choice of the serving node for an attempt.

mod request_common;

use std::time::Duration;

use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use request_common::SERVICE;
use request_common::VERSION;
use request_common::for_seeds;
use request_common::member;
use request_common::ms;
use sycamorewick::coordination::balancer::AttemptEnd;
use sycamorewick::coordination::balancer::Balancer;
use sycamorewick::coordination::balancer::EJECTION_BASE;
use sycamorewick::coordination::balancer::EJECTION_MAX;
use sycamorewick::coordination::balancer::Feedback;
use sycamorewick::coordination::balancer::MAX_FAILURES;
use sycamorewick::coordination::balancer::OVERLOAD_PAUSE;
use sycamorewick::coordination::balancer::Pick;
use sycamorewick::coordination::balancer::PickReason;
use sycamorewick::coordination::balancer::SLOW_START;
use sycamorewick::coordination::balancer::SUBSET_SIZE;
use sycamorewick::protocol::gossip::Member;
use sycamorewick::protocol::gossip::MemberStatus;
use sycamorewick::protocol::name::NodeId;

fn members(domains: &[(&str, u16)]) -> Vec<Member> {
    let mut members = Vec::new();
    for (domain, count) in domains {
        for i in 0..*count {
            members.push(member(&format!("{domain}-{i}"), domain, i));
        }
    }
    members
}

fn balancer(members: &[Member]) -> Balancer {
    let mut balancer = Balancer::new("me".into(), "accra".into(), "accra-1".into());
    balancer.on_members(ms(0), members);
    balancer
}

fn pick(balancer: &Balancer, now: Duration, rng: &mut StdRng, exclude: &[NodeId]) -> Option<Pick> {
    balancer.pick(now, rng, &SERVICE.into(), &VERSION.into(), exclude)
}

fn finish(balancer: &mut Balancer, now: Duration, node: &NodeId, end: AttemptEnd) {
    let feedback = Feedback {
        end,
        latency: ms(5),
        load: None,
    };
    balancer.on_start(node);
    balancer.on_finish(now, node, feedback);
}

/// The subset must be bounded, prefer near candidates and differ between entry nodes.
#[gtest]
fn subset_prefers_near_candidates() {
    let members = members(&[("accra-1", 3), ("accra-2", 20), ("tbilisi-1", 20)]);
    let mut union: Vec<NodeId> = Vec::new();
    for entry in 0..50 {
        let mut balancer = Balancer::new(
            format!("e{entry}").as_str().into(),
            "accra".into(),
            "accra-1".into(),
        );
        balancer.on_members(ms(0), &members);
        let (local, remote) = balancer.subset(&SERVICE.into(), &VERSION.into());
        expect_that!(local.len(), eq(SUBSET_SIZE));
        expect_that!(remote.len(), eq(SUBSET_SIZE));
        for near in &members[..3] {
            expect_that!(local, contains(eq(&near.id)));
        }
        union.extend_from_slice(local);
    }
    union.sort();
    union.dedup();
    expect_that!(union.len(), eq(23));
}

/// Traffic to other regions is billed, so it must occur only when the local region has no usable
/// candidate, and then it must occur.
#[gtest]
fn remote_region_is_used_only_without_local_candidates() {
    let mut members = members(&[("accra-1", 2), ("accra-2", 1), ("tbilisi-1", 2)]);
    let mut balancer = balancer(&members);
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..100 {
        let picked = pick(&balancer, ms(1), &mut rng, &[]).unwrap();
        expect_that!(picked.reason, eq(PickReason::LocalByScore));
        expect_that!(picked.node.as_str(), starts_with("accra"));
    }
    for local in &members[..3] {
        finish(&mut balancer, ms(1), &local.id, AttemptEnd::Overloaded);
    }
    let picked = pick(&balancer, ms(2), &mut rng, &[]).unwrap();
    expect_that!(picked.reason, eq(PickReason::RemoteRegion));
    let later = ms(2) + OVERLOAD_PAUSE;
    let tried = [members[0].id.clone(), members[2].id.clone()];
    let picked = pick(&balancer, later, &mut rng, &tried).unwrap();
    expect_that!(picked.node, eq(&members[1].id));
    expect_that!(picked.reason, eq(PickReason::OnlyLocal));
    for member in &mut members {
        member.backend.as_mut().unwrap().up = false;
        member.incarnation += 1;
        balancer.on_member(later, member);
    }
    expect_that!(pick(&balancer, later, &mut rng, &[]), none());
}

/// No call may go to a member that has left, is dead or has no backend server (invariant 8), for
/// random updates, some of which arrive late.
#[gtest]
fn pick_never_returns_members_out_of_service() {
    for_seeds(
        "balancer::pick_never_returns_members_out_of_service",
        100,
        |_, rng| {
            let mut current = members(&[("accra-1", 4), ("accra-2", 4), ("tbilisi-1", 4)]);
            let mut balancer = balancer(&current);
            let mut old = current.clone();
            for step in 0..300 {
                let now = ms(step * 20);
                let i = rng.random_range(0..current.len());
                match rng.random_range(0..8) {
                    0 => {
                        old[i] = current[i].clone();
                        let statuses = [
                            MemberStatus::Alive,
                            MemberStatus::Suspect,
                            MemberStatus::Leaving,
                            MemberStatus::Dead,
                        ];
                        current[i].status = statuses[rng.random_range(0..4)];
                        current[i].incarnation += 1;
                        balancer.on_member(now, &current[i]);
                    }
                    1 => {
                        old[i] = current[i].clone();
                        let up = rng.random_bool(0.5);
                        current[i].backend.as_mut().unwrap().up = up;
                        current[i].incarnation += 1;
                        balancer.on_member(now, &current[i]);
                    }
                    2 => balancer.on_member(now, &old[i]),
                    3 => balancer.on_members(now, &current),
                    _ => {}
                }
                let Some(picked) = pick(&balancer, now, rng, &[]) else {
                    continue;
                };
                let member = current.iter().find(|m| m.id == picked.node).unwrap();
                assert!(member.status <= MemberStatus::Suspect, "picked {member:?}");
                assert!(member.backend.as_ref().unwrap().up, "picked {member:?}");
                let ends = [
                    AttemptEnd::Succeeded,
                    AttemptEnd::Failed,
                    AttemptEnd::ConnectFailed,
                ];
                finish(
                    &mut balancer,
                    now,
                    &picked.node,
                    ends[rng.random_range(0..3)],
                );
            }
        },
    );
}

/// Failing candidates must be ejected, for a bounded time and only some of them at once.
#[gtest]
fn outliers_are_ejected_for_growing_bounded_time() {
    let members = members(&[("accra-1", 5)]);
    let mut balancer = balancer(&members);
    let mut now = ms(0);
    let bad = &members[0].id;
    let mut times = Vec::new();
    for _ in 0..8 {
        while !balancer.is_ejected(now, bad) {
            finish(&mut balancer, now, bad, AttemptEnd::Failed);
        }
        let start = now;
        while balancer.is_ejected(now, bad) {
            now += ms(500);
        }
        times.push(now.checked_sub(start).unwrap());
    }
    expect_that!(times[0], eq(EJECTION_BASE));
    expect_that!(times[1], eq(2 * EJECTION_BASE));
    expect_that!(times[7], eq(EJECTION_MAX));
    for member in &members {
        for _ in 0..MAX_FAILURES {
            finish(&mut balancer, now, &member.id, AttemptEnd::TimedOut);
        }
    }
    let ejected = members.iter().filter(|m| balancer.is_ejected(now, &m.id));
    expect_that!(ejected.count(), eq(2));
}

/// A node that refuses connections must receive no further calls, even if it is the only one of the
/// region.
#[gtest]
fn refused_connection_ejects_at_once() {
    let members = members(&[("accra-1", 1), ("tbilisi-1", 1)]);
    let mut balancer = balancer(&members);
    finish(
        &mut balancer,
        ms(1),
        &members[0].id,
        AttemptEnd::ConnectFailed,
    );
    let mut rng = StdRng::seed_from_u64(1);
    let picked = pick(&balancer, ms(2), &mut rng, &[]).unwrap();
    expect_that!(picked.node, eq(&members[1].id));
}

/// Simulates one entry node with calls of 10 ms, where the first node takes `slow` for each, and
/// returns the number of calls by node.
fn shares(balancer: &mut Balancer, members: &[Member], from: Duration, slow: Duration) -> Vec<u32> {
    let mut rng = StdRng::seed_from_u64(1);
    let mut counts = vec![0; members.len()];
    let mut running: Vec<(Duration, NodeId, Duration)> = Vec::new();
    for step in 0..1_000 {
        let now = from + ms(step);
        for (_, node, latency) in running.extract_if(.., |call| call.0 <= now) {
            let end = AttemptEnd::Succeeded;
            let load = Some(balancer.in_flight(&node) - 1);
            balancer.on_finish(now, &node, Feedback { end, latency, load });
        }
        let picked = pick(balancer, now, &mut rng, &[]).unwrap();
        let index = members.iter().position(|m| m.id == picked.node).unwrap();
        let latency = if index == 0 { slow } else { ms(10) };
        counts[index] += 1;
        balancer.on_start(&picked.node);
        running.push((now + latency, picked.node, latency));
    }
    for (_, node, latency) in running {
        let end = AttemptEnd::Cancelled;
        balancer.on_finish(
            from + ms(1_000),
            &node,
            Feedback {
                end,
                latency,
                load: None,
            },
        );
    }
    counts
}

/// A slow candidate must get less than its full share, and its full share again after it has
/// recovered.
#[gtest]
fn slow_candidate_gets_less_and_recovers() {
    let members = members(&[("accra-1", 4)]);
    let mut balancer = balancer(&members);
    let slow = shares(&mut balancer, &members, ms(10_000), ms(100));
    let later = shares(&mut balancer, &members, ms(40_000), ms(10));
    println!("calls by node, first one slow: {slow:?}, later equal: {later:?}");
    expect_that!(slow[0], all!(gt(0), lt(60)));
    expect_that!(later, each(gt(&150)));
}

/// A backend server that has just come up must not get its full share of calls at once.
#[gtest]
fn new_backend_server_starts_slowly() {
    let mut members = members(&[("accra-1", 4)]);
    let mut balancer = balancer(&members);
    shares(&mut balancer, &members, ms(10_000), ms(10));
    let up_at = ms(20_000);
    members[0].backend.as_mut().unwrap().up = false;
    balancer.on_member(up_at, &members[0]);
    members[0].backend.as_mut().unwrap().up = true;
    members[0].incarnation += 1;
    balancer.on_member(up_at, &members[0]);
    let first = shares(&mut balancer, &members, up_at, ms(10))[0];
    let full = shares(&mut balancer, &members, up_at + SLOW_START, ms(10))[0];
    println!("calls of 1000 in the first second: {first}, after the slow start: {full}");
    expect_that!(first, lt(100));
    expect_that!(full, gt(150));
}

/// Prints the CPU time of a pick at the target fleet size; the bound detects only a gross
/// regression.
#[gtest]
fn pick_cost_at_target_size() {
    let mut members = members(&[("accra-1", 434), ("accra-2", 433), ("tbilisi-1", 433)]);
    for (i, member) in members.iter_mut().enumerate() {
        member.backend.as_mut().unwrap().service = format!("service-{}", i % 180).into();
    }
    let mut balancer = balancer(&members);
    let mut rng = StdRng::seed_from_u64(1);
    let (service, version) = ("service-7".into(), VERSION.into());
    let start = std::time::Instant::now();
    for step in 0..20_000 {
        let picked = balancer
            .pick(ms(step), &mut rng, &service, &version, &[])
            .unwrap();
        finish(&mut balancer, ms(step), &picked.node, AttemptEnd::Succeeded);
    }
    let pick = start.elapsed() / 20_000;
    let start = std::time::Instant::now();
    for member in &members {
        balancer.on_member(ms(1), member);
    }
    let update = start.elapsed() / 1_300;
    println!("pick and finish {pick:?}, update of a member {update:?}");
    expect_that!(pick, lt(ms(1)));
}
