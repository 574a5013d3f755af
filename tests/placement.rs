//! Choice of the serving node, under the load patterns that it answers.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sycamorewick::coordination::placement::AttemptEnd;
use sycamorewick::coordination::placement::Feedback;
use sycamorewick::coordination::placement::Placement;
use sycamorewick::coordination::placement::Wanted;
use sycamorewick::protocol::fleet::BackendPhase;
use sycamorewick::protocol::fleet::BackendReport;
use sycamorewick::protocol::fleet::FleetEntry;
use sycamorewick::protocol::hop::Load;
use sycamorewick::protocol::hop::Tally;
use sycamorewick::protocol::name::NodeId;
use sycamorewick::protocol::name::RouteName;
use sycamorewick::protocol::name::ServiceName;

const SLOTS: u32 = 9;

/// Address of the node with a one-letter name.
fn addr(node: &str) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_400 + u16::from(node.as_bytes()[0])))
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn entry(node: &str, region: &str, domain: &str) -> FleetEntry {
    FleetEntry {
        node: node.into(),
        run: 1,
        addr: addr(node),
        region: region.into(),
        domain: domain.into(),
        capacity: 20_000,
        backend: Some(BackendReport {
            instance: node.into(),
            born: 1,
            sequence: 1,
            service: "registry".into(),
            version: "v1".into(),
            slots: SLOTS,
            phase: BackendPhase::Ready,
            cold_left_ms: 0,
        }),
    }
}

struct Entry {
    placement: Placement,
    rng: StdRng,
    service: ServiceName,
    route: RouteName,
}

/// Entry node `a` in `accra-a`; `b` in the other failure domain of its region, `c` in another region.
fn fleet() -> Entry {
    let mut placement = Placement::new("a".into(), "accra".into(), "accra-a".into());
    for (node, region, domain) in [
        ("a", "accra", "accra-a"),
        ("b", "accra", "accra-b"),
        ("c", "keta", "keta-a"),
    ] {
        placement.on_entry(ms(0), &entry(node, region, domain));
    }
    Entry {
        placement,
        rng: StdRng::seed_from_u64(1),
        service: "registry".into(),
        route: "lookup".into(),
    }
}

impl Entry {
    fn pick(&mut self, now: Duration, tried: &[NodeId]) -> Option<String> {
        let permits = |_: &NodeId, _: &_| true;
        let wanted = Wanted {
            service: &self.service,
            route: &self.route,
            objective: ms(250),
            idempotent: true,
            tried,
            permits: &permits,
        };
        let pick = self.placement.pick(now, &mut self.rng, &wanted)?;
        Some(pick.node.as_str().to_owned())
    }

    fn end(&mut self, now: Duration, node: &str, end: AttemptEnd) {
        let feedback = Feedback {
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
        };
        self.placement
            .on_report(now, &node.into(), load, Tally::default());
    }
}

/// Load: a calm day. Guards against bytes between failure domains without need.
#[gtest]
fn pick_calm_stays_local() {
    let mut entry = fleet();
    for step in 0..100 {
        expect_that!(entry.pick(ms(step * 10), &[]), some(eq("a")));
    }
}

/// Load: the own backend server is full. Guards against waiting there while the region has room, and
/// against leaving the region.
#[gtest]
fn pick_full_goes_to_region() {
    let mut entry = fleet();
    entry.load(ms(100), "a", SLOTS, 3);
    expect_that!(entry.pick(ms(110), &[]), some(eq("b")));
}

/// Load: a region is full. Guards against long waits while another region has room.
#[gtest]
fn pick_region_full_goes_away() {
    let mut entry = fleet();
    entry.load(ms(100), "a", SLOTS, 12);
    entry.load(ms(100), "b", SLOTS, 12);
    expect_that!(entry.pick(ms(110), &[]), some(eq("c")));
}

/// Load: a backend server fails at once, so it looks idle. Guards against it drawing traffic.
#[gtest]
fn pick_failing_fast() {
    let mut entry = fleet();
    for step in 0..6 {
        entry.end(ms(step), "a", AttemptEnd::Shed);
    }
    expect_that!(entry.pick(ms(10), &[]), some(eq("b")));
    // It is tried again after some seconds without results.
    expect_that!(entry.pick(ms(20_000), &[]), some(eq("a")));
}

/// Load: a node is gone. Guards against more than one call at a time finding that out.
#[gtest]
fn pick_unreachable_one_trial() {
    let mut entry = fleet();
    entry.end(ms(0), "a", AttemptEnd::Unreachable);
    expect_that!(entry.pick(ms(10), &[]), some(eq("b")));
    expect_that!(entry.pick(ms(500), &[]), some(eq("a")));
    entry.placement.on_start(&"a".into());
    expect_that!(entry.pick(ms(500), &[]), some(eq("b")));
}

/// Guards against refusing a call while a node is left, even a paused one.
#[gtest]
fn pick_last_resort() {
    let mut entry = fleet();
    entry.end(ms(0), "a", AttemptEnd::Unreachable);
    let tried = ["b".into(), "c".into()];
    expect_that!(entry.pick(ms(10), &tried), some(eq("a")));
    let tried = ["a".into(), "b".into(), "c".into()];
    expect_that!(entry.pick(ms(10), &tried), none());
}

/// Load: most nodes refuse for load and one is gone. Guards against trying the one that is gone
/// before those that only had no room a moment ago.
#[gtest]
fn pick_overloaded_before_lost() {
    let mut entry = fleet();
    entry.end(ms(0), "a", AttemptEnd::Unreachable);
    entry.end(ms(0), "b", AttemptEnd::Overloaded);
    entry.end(ms(0), "c", AttemptEnd::Overloaded);
    expect_that!(entry.pick(ms(10), &[]), some(eq("b")));
    expect_that!(entry.pick(ms(10), &["b".into()]), some(eq("c")));
}

/// Guards against calls for a machine that was lost for good and whose address went to another one
/// (gprbs-booths trouble-3, seed 689314201199).
#[gtest]
fn on_entry_address_taken_over() {
    let mut entry = fleet();
    let mut heir = own_entry("d");
    heir.addr = addr("b");
    entry.placement.on_entry(ms(1), &heir);
    let entries = entry.placement.entries();
    let names: Vec<&str> = entries.map(|entry| entry.node.as_str()).collect();
    expect_that!(names, eq(&vec!["a", "c", "d"]));
}

/// Guards against new work for a backend server that leaves or is gone.
#[gtest]
fn pick_without_leaving() {
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

/// Load: a service with short and long routes. Guards against taking a node for slow that ran more
/// calls of the long route.
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

/// Load: the own backend server turns several times slower. Guards against staying there.
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

/// Load: a backend server turns slow, and second attempts answer before it. Guards against a node that
/// keeps its good name because its slow runs never come to their end.
#[gtest]
fn pick_outrun() {
    let mut entry = fleet();
    for step in 0..40 {
        entry.ran(ms(step), "b", "lookup", ms(60));
        let feedback = Feedback {
            end: AttemptEnd::Outrun,
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

/// Guards against results that shrink when a node leaves or restarts: a good version was taken back
/// since the rest of the old one looked six times faster (ggwra-mesh-grown trouble-3).
#[gtest]
fn results_after_nodes_left() {
    let mut entry = fleet();
    let tally = |runs| Tally {
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

/// Guards against a node that can carry little relaying for all others of its failure domain.
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
