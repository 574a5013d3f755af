//! Choice of the serving node for a call under various load patterns.

mod fleet_common;

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sycamorewick::coordination::domains::evacuation::Evacuations;
use sycamorewick::coordination::domains::homes::AllowedRegions;
use sycamorewick::coordination::placement::AttemptEnd;
use sycamorewick::coordination::placement::Feedback;
use sycamorewick::coordination::placement::PickRequest;
use sycamorewick::coordination::placement::Placement;
use sycamorewick::protocol::fleet::BackendPhase;
use sycamorewick::protocol::fleet::BackendReport;
use sycamorewick::protocol::fleet::FleetEntry;
use sycamorewick::protocol::hop::BackendTotals;
use sycamorewick::protocol::hop::Load;
use sycamorewick::protocol::hop::RequestRate;
use sycamorewick::protocol::name::NodeId;
use sycamorewick::protocol::name::RouteName;
use sycamorewick::protocol::name::ServiceName;

const SLOTS: u32 = 9;

/// Returns the address of a node with a one-letter name.
fn addr(node: &str) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_400 + u16::from(node.as_bytes()[0])))
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn entry(node: &str, region: &str, domain: &str) -> FleetEntry {
    fleet_common::entry(node, region, domain, addr(node).port(), SLOTS)
}

struct EntryNode {
    placement: Placement,
    rng: StdRng,
    service: ServiceName,
    route: RouteName,
    /// Size of the bodies of its calls.
    request_bytes: usize,
}

/// Returns entry node `a` in `accra-a`, with `b` in another failure domain of the region and `c` in
/// another region.
fn fleet() -> EntryNode {
    let mut placement = Placement::new("a".into(), "accra".into(), "accra-a".into());
    for (node, region, domain) in [
        ("a", "accra", "accra-a"),
        ("b", "accra", "accra-b"),
        ("c", "keta", "keta-a"),
    ] {
        placement.on_entry(ms(0), &entry(node, region, domain));
    }
    EntryNode {
        placement,
        rng: StdRng::seed_from_u64(1),
        service: "registry".into(),
        route: "lookup".into(),
        request_bytes: 0,
    }
}

impl EntryNode {
    fn pick(&mut self, now: Duration, tried: &[NodeId]) -> Option<String> {
        let is_allowed = |_: &NodeId, _: &_| true;
        let request = PickRequest {
            service: &self.service,
            route: &self.route,
            objective: ms(250),
            idempotent: true,
            request_bytes: self.request_bytes,
            tried,
            is_allowed: &is_allowed,
            regions: &AllowedRegions::Any,
            evacuations: &Evacuations::default(),
        };
        let pick = self.placement.pick(now, &mut self.rng, &request)?;
        Some(pick.node.as_str().to_owned())
    }

    fn end(&mut self, now: Duration, node: &str, end: AttemptEnd) {
        let feedback = Feedback {
            incarnation: &(node.into(), 1),
            end,
            run: ms(60),
            report: None,
            bytes: 400,
        };
        let node = NodeId::from(node);
        self.placement.on_start(&node);
        self.placement.on_end(now, &node, &self.route, &feedback);
    }

    fn ran(&mut self, now: Duration, node: &str, route: &str, run: Duration) {
        let feedback = Feedback {
            incarnation: &(node.into(), 1),
            end: AttemptEnd::Ran { failed: false },
            run,
            report: None,
            bytes: 400,
        };
        let node = NodeId::from(node);
        self.placement.on_start(&node);
        self.placement.on_end(now, &node, &route.into(), &feedback);
    }

    fn load(&mut self, now: Duration, node: &str, running: u32, waiting: u32) {
        let load = Load {
            running,
            waiting,
            slots: SLOTS,
            mean_run_ms: 60,
            ..Load::default()
        };
        self.placement
            .on_report(now, &node.into(), load, BackendTotals::default());
    }
}

/// Under light load, calls must not cross failure domains, since that traffic is billed.
#[gtest]
fn pick_light_load_stays_local() {
    let mut entry = fleet();
    for step in 0..100 {
        expect_that!(entry.pick(ms(step * 10), &[]), some(eq("a")));
    }
}

/// When the local backend server is full, a call must neither wait for it while the region has free
/// slots nor leave the region.
#[gtest]
fn pick_local_full_stays_in_region() {
    let mut entry = fleet();
    entry.load(ms(100), "a", SLOTS, 3);
    expect_that!(entry.pick(ms(110), &[]), some(eq("b")));
}

/// Guards against a call that is refused for want of a connection to another node although the own one may serve it: it
/// has to be left as the only choice.
#[gtest]
fn pick_without_nodes_besides() {
    let mut entry = fleet();
    entry.load(ms(100), "a", SLOTS, 3);
    let others = entry.placement.nodes_besides(&"a".into());
    expect_that!(
        others,
        unordered_elements_are![eq(&NodeId::from("b")), eq(&NodeId::from("c"))]
    );
    expect_that!(entry.pick(ms(110), &others), some(eq("a")));
    // Once the own node has refused the call as well, none is left.
    let all = [&others[..], &["a".into()]].concat();
    expect_that!(entry.pick(ms(110), &all), none());
}

/// When a whole region is full, a call must not wait long while another region has free slots.
#[gtest]
fn pick_region_full_leaves_region() {
    let mut entry = fleet();
    entry.load(ms(100), "a", SLOTS, 12);
    entry.load(ms(100), "b", SLOTS, 12);
    expect_that!(entry.pick(ms(110), &[]), some(eq("c")));
}

/// A backend server that fails immediately looks idle and must not attract traffic.
#[gtest]
fn pick_fast_failures() {
    let mut entry = fleet();
    for step in 0..6 {
        entry.end(ms(step), "a", AttemptEnd::Shed);
    }
    expect_that!(entry.pick(ms(10), &[]), some(eq("b")));
    // The failure rate decays, so the node is tried again after some seconds without results.
    expect_that!(entry.pick(ms(20_000), &[]), some(eq("a")));
}

/// A node that was unreachable must be tried by at most one call at a time.
#[gtest]
fn pick_unreachable_one_call_at_a_time() {
    let mut entry = fleet();
    entry.end(ms(0), "a", AttemptEnd::Unreachable);
    expect_that!(entry.pick(ms(10), &[]), some(eq("b")));
    expect_that!(entry.pick(ms(500), &[]), some(eq("a")));
    entry.placement.on_start(&"a".into());
    expect_that!(entry.pick(ms(500), &[]), some(eq("b")));
}

/// A call must not be refused while an untried node is left, even a paused one.
#[gtest]
fn pick_last_resort() {
    let mut entry = fleet();
    entry.end(ms(0), "a", AttemptEnd::Unreachable);
    let tried = ["b".into(), "c".into()];
    expect_that!(entry.pick(ms(10), &tried), some(eq("a")));
    let tried = ["a".into(), "b".into(), "c".into()];
    expect_that!(entry.pick(ms(10), &tried), none());
}

/// Nodes that have just refused a call because of load must be tried before an unreachable one.
#[gtest]
fn pick_overloaded_before_unreachable() {
    let mut entry = fleet();
    entry.end(ms(0), "a", AttemptEnd::Unreachable);
    entry.end(ms(0), "b", AttemptEnd::Overloaded);
    entry.end(ms(0), "c", AttemptEnd::Overloaded);
    expect_that!(entry.pick(ms(10), &[]), some(eq("b")));
    expect_that!(entry.pick(ms(10), &["b".into()]), some(eq("c")));
}

/// When a machine is lost and its address is assigned to another one, no calls for the lost node
/// may be sent to that address.
#[gtest]
fn on_entry_address_reassigned() {
    let mut entry = fleet();
    let mut successor = own_entry("d");
    successor.addr = addr("b");
    entry.placement.on_entry(ms(1), &successor);
    let entries = entry.placement.entries();
    let names: Vec<&str> = entries.map(|entry| entry.node.as_str()).collect();
    expect_that!(names, eq(&vec!["a", "c", "d"]));
}

/// A backend server that is draining or has left must not receive new calls.
#[gtest]
fn pick_skips_leaving_nodes() {
    let mut entry = fleet();
    let mut leaving = own_entry("a");
    if let Some(backend) = &mut leaving.backend {
        backend.phase = BackendPhase::Draining;
    }
    entry.placement.on_entry(ms(1), &leaving);
    expect_that!(entry.pick(ms(2), &[]), some(eq("b")));
    entry.placement.forget(&"b".into());
    expect_that!(entry.pick(ms(3), &[]), some(eq("c")));
}

fn own_entry(node: &str) -> FleetEntry {
    entry(node, "accra", "accra-a")
}

/// In a service with short and long routes, a node must not count as slow because it ran more calls
/// of the long route.
#[gtest]
fn pick_speed_by_route() {
    let mut entry = fleet();
    for step in 0..200 {
        entry.ran(ms(step), "a", "long", ms(450));
        entry.ran(ms(step), "b", "lookup", ms(60));
        entry.ran(ms(step), "b", "long", ms(450));
        entry.ran(ms(step), "a", "long", ms(450));
    }
    expect_that!(entry.pick(ms(300), &[]), some(eq("a")));
}

/// Calls must leave the local backend server when it becomes several times slower.
#[gtest]
fn pick_slow() {
    let mut entry = fleet();
    for step in 0..40 {
        entry.ran(ms(step), "b", "lookup", ms(60));
        entry.ran(ms(step), "c", "lookup", ms(60));
        entry.ran(ms(step), "a", "lookup", ms(360));
    }
    expect_that!(entry.pick(ms(300), &[]), some(eq("b")));
}

/// A backend server that has named a limit must not get calls that wait there for the limit while others
/// have free slots.
#[gtest]
fn pick_limited_backend_server() {
    let mut entry = fleet();
    let limit = RequestRate::from_per_s(16.0);
    let load = Load {
        running: 1,
        slots: 1,
        mean_run_ms: 62,
        limit,
        ..Load::default()
    };
    entry.ran(ms(0), "a", "lookup", ms(60));
    expect_that!(entry.pick(ms(100), &[]), some(eq("a")));
    let report = BackendTotals::default();
    entry
        .placement
        .on_report(ms(100), &"a".into(), load, report);
    expect_that!(entry.pick(ms(100), &[]), some(eq("b")));
}

/// A backend server that is cold may use one slot of nine. The entry node must not wait for the eight others,
/// and must use them again once they are reported.
#[gtest]
fn pick_cold_backend_server() {
    let mut entry = fleet();
    let mut report = |now, slots| {
        let load = Load {
            running: 1,
            slots,
            mean_run_ms: 77,
            ..Load::default()
        };
        entry
            .placement
            .on_report(now, &"a".into(), load, BackendTotals::default());
        entry.pick(now, &[])
    };
    expect_that!(report(ms(100), 1), some(eq("b")));
    expect_that!(report(ms(200), SLOTS), some(eq("a")));
}

/// A node that has just started does not know the slots of its backend server yet, and reports one. The entry node
/// must not take that for a bound on the backend server that it knows.
#[gtest]
fn pick_after_refusal_without_backend() {
    let mut entry = fleet();
    let report = |running, slots| {
        let load = Load {
            running,
            slots,
            mean_run_ms: 0,
            ..Load::default()
        };
        (load, BackendTotals::default())
    };
    for step in 0..100 {
        let (load, tally) = report(4, SLOTS);
        for node in ["b", "c"] {
            let node = NodeId::from(node);
            entry.placement.on_report(ms(step), &node, load, tally);
        }
    }
    let feedback = Feedback {
        incarnation: &("a".into(), 1),
        end: AttemptEnd::NoBackend,
        run: ms(0),
        report: Some(report(0, 1)),
        bytes: 0,
    };
    let node = NodeId::from("a");
    entry.placement.on_start(&node);
    entry
        .placement
        .on_end(ms(100), &node, &entry.route, &feedback);
    expect_that!(entry.pick(ms(900), &[]), some(eq("a")));
}

fn load_with_work_time(percent: Option<u32>) -> Load {
    Load {
        running: 1,
        slots: SLOTS,
        mean_run_ms: 60,
        work_time_percent: percent,
        ..Load::default()
    }
}

/// An instance that is 2.5 times slower for some 600 ms must not get calls meanwhile that others serve sooner, and
/// an old report of it must not keep calls away.
#[gtest]
fn pick_slow_at_this_moment() {
    let mut entry = fleet();
    let slow = load_with_work_time(Some(250));
    let results = BackendTotals::default();
    entry
        .placement
        .on_report(ms(1_000), &"a".into(), slow, results);
    expect_that!(entry.pick(ms(1_010), &[]), some(eq("b")));
    expect_that!(entry.pick(ms(1_600), &[]), some(eq("a")));
    let usual = load_with_work_time(Some(100));
    entry
        .placement
        .on_report(ms(1_020), &"a".into(), usual, results);
    expect_that!(entry.pick(ms(1_030), &[]), some(eq("a")));
    let wrong = load_with_work_time(Some(u32::MAX));
    for node in ["a", "b", "c"] {
        entry
            .placement
            .on_report(ms(2_000), &node.into(), wrong, results);
    }
    expect_that!(entry.pick(ms(2_010), &[]), some(eq("a")));
}

/// A node of which many runs fell into slow moments must not look slow for good: the time of work would count
/// twice. Without the figure it does.
#[gtest]
fn on_end_run_time_without_work_time() {
    for (percent, expected) in [(Some(250), "a"), (None, "b")] {
        let mut entry = fleet();
        for step in 0..60 {
            entry.ran(ms(step * 10), "b", "lookup", ms(60));
            let report = (load_with_work_time(percent), BackendTotals::default());
            let feedback = Feedback {
                incarnation: &("a".into(), 1),
                end: AttemptEnd::Ran { failed: false },
                run: ms(150),
                report: Some(report),
                bytes: 400,
            };
            let node = NodeId::from("a");
            entry.placement.on_start(&node);
            entry
                .placement
                .on_end(ms(step * 10), &node, &entry.route, &feedback);
        }
        let usual = percent.map(|_| 100);
        let report = load_with_work_time(usual);
        entry
            .placement
            .on_report(ms(700), &"a".into(), report, BackendTotals::default());
        expect_that!(entry.pick(ms(710), &[]), some(eq(expected)));
    }
}

/// Runs calls at three nodes of which each is 2.5 times slower for 600 ms in 4.2 s, and returns their mean run time
/// in milliseconds. Reports come with each answer.
fn mean_run_at_changing_speed(is_reported: bool, seed: u64) -> f64 {
    let mut entry = fleet();
    let nodes = ["a", "d", "e"];
    for node in ["d", "e"] {
        let added = self::entry(node, "accra", "accra-a");
        entry.placement.on_entry(ms(0), &added);
    }
    entry.rng = StdRng::seed_from_u64(seed);
    let phase_of = |node: &str| nodes.iter().position(|other| *other == node);
    let is_slow = |node: &str, now: u64| {
        let phase = u64::try_from(phase_of(node).unwrap_or(0)).unwrap_or(0);
        (now + phase * 1_400 + seed * 131) % 4_200 < 600
    };
    let mut running: Vec<(u64, String, u64)> = Vec::new();
    let (mut runs, mut sum) = (0_u32, 0_u32);
    for now in 0..40_000 {
        while let Some(index) = running.iter().position(|(end, ..)| *end <= now) {
            let (_, node, run) = running.remove(index);
            let percent = if is_slow(&node, now) { 250 } else { 100 };
            let load = Load {
                running: u32::try_from(
                    running
                        .iter()
                        .filter(|(_, other, _)| *other == node)
                        .count(),
                )
                .unwrap_or(0),
                ..load_with_work_time(is_reported.then_some(percent))
            };
            let feedback = Feedback {
                incarnation: &(node.as_str().into(), 1),
                end: AttemptEnd::Ran { failed: false },
                run: ms(run),
                report: Some((load, BackendTotals::default())),
                bytes: 400,
            };
            let id = NodeId::from(node.as_str());
            entry
                .placement
                .on_end(ms(now), &id, &entry.route, &feedback);
        }
        if now % 15 == 0
            && let Some(node) = entry.pick(ms(now), &[])
        {
            let run = if is_slow(&node, now) { 150 } else { 60 };
            (runs, sum) = (runs + 1, sum + u32::try_from(run).unwrap_or(0));
            entry.placement.on_start(&node.as_str().into());
            running.push((now + run, node, run));
        }
    }
    f64::from(sum) / f64::from(runs)
}

/// Instances whose speed changes faster than run times are learned must get fewer calls while they are slow.
#[gtest]
fn pick_changing_speed() {
    for seed in 0..5 {
        let without = mean_run_at_changing_speed(false, seed);
        let with = mean_run_at_changing_speed(true, seed);
        // An even distribution would have 60 ms + 90 ms / 7.
        expect_that!(with, lt(without - 2.0), "seed {seed}");
        expect_that!(with, lt(68.0), "seed {seed}, {without} without");
    }
}

/// A node that restarts beside a leaving backend server announces it as ready again. An entry node that
/// has passed on the server's notice must not send calls there; another incarnation gets calls.
#[gtest]
fn pick_leaving_after_node_restart() {
    let mut entry = fleet();
    let load = Load {
        is_leaving: true,
        ..Load::default()
    };
    let feedback = Feedback {
        incarnation: &("a".into(), 1),
        end: AttemptEnd::Ran { failed: false },
        run: ms(60),
        report: Some((load, BackendTotals::default())),
        bytes: 400,
    };
    entry.placement.on_start(&"a".into());
    entry
        .placement
        .on_end(ms(0), &"a".into(), &entry.route, &feedback);
    expect_that!(entry.pick(ms(1), &[]), some(eq("b")));
    let mut restarted = self::entry("a", "accra", "accra-a");
    restarted.run = 2;
    entry.placement.on_entry(ms(2_000), &restarted);
    expect_that!(entry.pick(ms(2_001), &[]), some(eq("b")));
    if let Some(backend) = &mut restarted.backend {
        backend.born = 2;
    }
    entry.placement.on_entry(ms(3_000), &restarted);
    expect_that!(entry.pick(ms(3_001), &[]), some(eq("a")));
}

/// When hedged attempts are answered before those on a slow backend server, its runs are cancelled
/// and never measured to their end. The node must count as slow all the same.
#[gtest]
fn pick_slow_with_hedging() {
    let mut entry = fleet();
    for step in 0..40 {
        entry.ran(ms(step), "b", "lookup", ms(60));
        let feedback = Feedback {
            incarnation: &("a".into(), 1),
            end: AttemptEnd::Superseded,
            run: ms(300),
            report: None,
            bytes: 0,
        };
        entry.placement.on_start(&"a".into());
        entry
            .placement
            .on_end(ms(step), &"a".into(), &entry.route, &feedback);
    }
    expect_that!(entry.pick(ms(300), &[]), some(eq("b")));
}

/// Results must not shrink when a node leaves or restarts: a good version was rolled back because
/// the remaining results of the old version looked six times faster.
#[gtest]
fn results_after_nodes_left() {
    let mut entry = fleet();
    let tally = |runs| BackendTotals {
        runs,
        failures: 1,
        latency_percent: runs * 30,
    };
    let load = Load::default();
    entry
        .placement
        .on_report(ms(0), &"a".into(), load, tally(100));
    entry
        .placement
        .on_report(ms(1), &"b".into(), load, tally(50));
    entry
        .placement
        .on_report(ms(2), &"a".into(), load, tally(120));
    entry.placement.forget(&"b".into());
    entry
        .placement
        .on_report(ms(3), &"a".into(), load, tally(10));
    let results = entry.placement.results(&"registry".into(), |_| true);
    expect_that!(results.tally.runs, eq(180));
    expect_that!(results.tally.latency_percent, eq(180 * 30));
}

/// A node of low capacity must not become the relay for all others of its failure domain.
#[gtest]
fn domain_nodes_by_capacity() {
    let mut entry = fleet();
    let mut strong = own_entry("z");
    strong.capacity = 90_000;
    entry.placement.on_entry(ms(1), &strong);
    let nodes = entry.placement.domain_nodes();
    let names: Vec<&str> = nodes.iter().map(|(node, _)| node.as_str()).collect();
    expect_that!(names, eq(&vec!["z", "a"]));
}

/// An entry of another writer may decode and still name no node that can be called.
#[gtest]
fn defect_of_entries() {
    let valid = entry("b", "accra", "accra-b");
    expect_that!(valid.defect(), none());
    let mut no_backend = valid.clone();
    no_backend.backend = None;
    expect_that!(no_backend.defect(), none());
    let mut no_port = valid.clone();
    no_port.addr.set_port(0);
    expect_that!(no_port.defect(), some(anything()));
    let mut no_name = valid.clone();
    no_name.node = "".into();
    expect_that!(no_name.defect(), some(anything()));
    for change in [
        |backend: &mut BackendReport| backend.slots = 0,
        |backend: &mut BackendReport| backend.instance = "".into(),
        |backend: &mut BackendReport| backend.service = "".into(),
    ] {
        let mut entry = valid.clone();
        entry.backend.iter_mut().for_each(change);
        expect_that!(entry.defect(), some(anything()));
    }
}

/// A backend server that reports no slots, or more than can be counted, must not end the process that
/// chooses between backend servers with a limit.
#[gtest]
fn pick_with_slots_out_of_range() {
    let mut fleet = fleet();
    for (node, slots) in [("b", 0), ("c", u32::MAX)] {
        let mut odd = entry(node, "accra", "accra-b");
        odd.backend
            .iter_mut()
            .for_each(|backend| backend.slots = slots);
        fleet.placement.on_entry(ms(0), &odd);
        let load = Load {
            running: u32::MAX,
            waiting: u32::MAX,
            slots: u32::MAX,
            limit: RequestRate::from_per_s(5.0),
            ..Load::default()
        };
        fleet
            .placement
            .on_report(ms(100), &NodeId::from(node), load, BackendTotals::default());
    }
    expect_that!(fleet.pick(ms(150), &[]), some(eq("a")));
    let results = fleet.placement.results(&fleet.service, |_| true);
    expect_that!(results.slots, eq(u32::MAX));
}

/// Head-of-line blocking on a narrow link: a large body must not go to a node that is still receiving
/// others, while small calls may.
#[gtest]
fn pick_large_body_avoids_busy_link() {
    let mut fleet = fleet();
    let d = entry("d", "accra", "accra-b");
    fleet.placement.on_entry(ms(0), &d);
    fleet.placement.forget(&NodeId::from("a"));
    let load = Load {
        slots: SLOTS,
        mean_run_ms: 60,
        transfer_wait_ms: 150,
        ..Load::default()
    };
    for at in [100, 200, 300] {
        for node in ["b", "d"] {
            fleet.ran(ms(at), node, "lookup", ms(60));
        }
    }
    fleet
        .placement
        .on_report(ms(300), &NodeId::from("b"), load, BackendTotals::default());
    let picks = |fleet: &mut EntryNode| -> Vec<String> {
        let picks = (0..20).filter_map(|_| fleet.pick(ms(310), &[]));
        picks.collect()
    };
    expect_that!(picks(&mut fleet), contains(eq("b")));
    fleet.request_bytes = 60_000;
    expect_that!(picks(&mut fleet), each(eq("d")));
}

/// The body of a request is billed like that of a response: an upload must not leave its failure domain
/// as long as it can be in time there.
#[gtest]
fn pick_large_body_stays_in_failure_domain() {
    let mut fleet = fleet();
    fleet
        .placement
        .on_entry(ms(0), &entry("d", "accra", "accra-a"));
    fleet.placement.forget(&NodeId::from("a"));
    fleet.placement.forget(&NodeId::from("c"));
    // About 100 ms more in the own failure domain, which is still within the objective.
    let load = Load {
        running: SLOTS + 9,
        slots: SLOTS,
        mean_run_ms: 60,
        ..Load::default()
    };
    fleet.ran(ms(100), "d", "lookup", ms(60));
    fleet
        .placement
        .on_report(ms(300), &NodeId::from("d"), load, BackendTotals::default());
    expect_that!(fleet.pick(ms(300), &[]), some(eq("b")));
    fleet.request_bytes = 60_000;
    expect_that!(fleet.pick(ms(300), &[]), some(eq("d")));
}

/// Herd behaviour in a large fleet: a node without a recent report must not look idle while all others of
/// its service are full, or the calls of all entry nodes go there.
#[gtest]
fn pick_without_report_expects_mean_load() {
    let mut fleet = fleet();
    fleet.placement.forget(&NodeId::from("a"));
    let load = Load {
        running: SLOTS,
        waiting: 6,
        slots: SLOTS,
        mean_run_ms: 60,
        ..Load::default()
    };
    for number in 0..200 {
        let now = ms(10 * number);
        fleet
            .placement
            .on_report(now, &NodeId::from("b"), load, BackendTotals::default());
    }
    // `b` waits for 40 ms in its region; `c` is 20 ms away and was never heard of.
    expect_that!(fleet.pick(ms(2_000), &[]), some(eq("b")));
    // In a fleet that is not busy the distant node is not avoided.
    let idle = Load {
        slots: SLOTS,
        mean_run_ms: 60,
        ..Load::default()
    };
    for number in 0..200 {
        let now = ms(2_000 + 10 * number);
        fleet
            .placement
            .on_report(now, &NodeId::from("c"), idle, BackendTotals::default());
    }
    fleet.placement.on_report(
        ms(5_000),
        &NodeId::from("b"),
        load,
        BackendTotals::default(),
    );
    expect_that!(fleet.pick(ms(5_000), &[]), some(eq("c")));
}

/// Guards against a node or backend server that is used again because the store shows an older entry: it has
/// gone back to an earlier state, or has executed a write late.
#[gtest]
fn is_outdated_older_entry() {
    let mut env = fleet();
    let entry_of = |run, revision| FleetEntry {
        run,
        revision,
        ..entry("b", "accra", "accra-b")
    };
    env.placement.on_entry(ms(0), &entry_of(1, 5));
    expect_true!(env.placement.is_outdated(&entry_of(1, 4)));
    expect_false!(env.placement.is_outdated(&entry_of(1, 5)));
    expect_false!(env.placement.is_outdated(&entry_of(1, 6)));
    // Entries of different processes cannot be compared; the living one writes its entry again.
    expect_false!(env.placement.is_outdated(&entry_of(2, 1)));
    env.placement.forget(&"b".into());
    expect_true!(env.placement.is_outdated(&entry_of(1, 5)));
    expect_false!(env.placement.is_outdated(&entry_of(1, 6)));
    expect_false!(env.placement.is_outdated(&entry_of(2, 1)));
}

/// Guards against a node that no longer uses its own backend server, because an entry of another name has
/// its address.
#[gtest]
fn on_entry_with_own_address() {
    let mut fleet = fleet();
    let mut stranger = entry("x", "accra", "accra-a");
    stranger.addr = addr("a");
    fleet.placement.on_entry(ms(0), &stranger);
    let nodes = fleet.placement.entries().map(|entry| entry.node.as_str());
    expect_true!(nodes.collect::<Vec<_>>().contains(&"a"));
}
