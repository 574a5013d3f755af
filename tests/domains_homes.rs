//! Home regions: which regions may serve a call, which nodes are chosen, and which configurations are refused.

mod fleet_common;

use std::time::Duration;

use fleet_common::SERVICE;
use fleet_common::entry;
use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use sycamorewick::coordination::attempts::Attempts;
use sycamorewick::coordination::attempts::CallLimits;
use sycamorewick::coordination::attempts::Choice;
use sycamorewick::coordination::attempts::Outcome;
use sycamorewick::coordination::domains::evacuation::Evacuations;
use sycamorewick::coordination::domains::homes;
use sycamorewick::coordination::domains::homes::AllowedRegions;
use sycamorewick::coordination::domains::homes::allowed_regions;
use sycamorewick::coordination::placement::AttemptEnd;
use sycamorewick::coordination::placement::Feedback;
use sycamorewick::coordination::placement::PickRequest;
use sycamorewick::coordination::placement::Placement;
use sycamorewick::platform::config;
use sycamorewick::protocol::name::NodeId;
use sycamorewick::protocol::name::RegionName;
use sycamorewick::protocol::name::ServiceName;
use sycamorewick::result_code::ResultCode;

const NOW: Duration = Duration::from_secs(1);
const SLOTS: u32 = 4;

fn regions(names: &[&str]) -> Vec<RegionName> {
    names.iter().map(|name| RegionName::from(*name)).collect()
}

fn only(names: &[&str]) -> AllowedRegions {
    AllowedRegions::Only(regions(names))
}

/// Returns entry node `a` in `accra`, with `b` there and `c` in `keta`.
fn placement() -> Placement {
    let mut placement = Placement::new("a".into(), "accra".into(), "accra-a".into());
    for (node, region, port) in [("a", "accra", 1), ("b", "accra", 2), ("c", "keta", 3)] {
        let domain = format!("{region}-a");
        placement.on_entry(NOW, &entry(node, region, &domain, port, SLOTS));
    }
    placement
}

fn pick(placement: &mut Placement, regions: &AllowedRegions, tried: &[NodeId]) -> Option<NodeId> {
    let request = PickRequest {
        service: &SERVICE.into(),
        route: &"lookup".into(),
        objective: Duration::from_millis(250),
        idempotent: true,
        request_bytes: 0,
        tried,
        is_allowed: &|_: &NodeId, _: &_| true,
        regions,
        evacuations: &Evacuations::default(),
    };
    let pick = placement.pick(NOW, &mut StdRng::seed_from_u64(1), &request)?;
    Some(pick.node)
}

/// Guards against an empty list that forbids all regions, and against a workspace's home regions that widen those of
/// the route.
#[gtest]
fn allowed_regions_both_lists() {
    let (accra, both) = (regions(&["accra"]), regions(&["accra", "keta"]));
    expect_that!(allowed_regions(&[], &[]), eq(&AllowedRegions::Any));
    expect_that!(allowed_regions(&accra, &[]), eq(&only(&["accra"])));
    expect_that!(allowed_regions(&[], &accra), eq(&only(&["accra"])));
    expect_that!(allowed_regions(&both, &accra), eq(&only(&["accra"])));
    expect_that!(allowed_regions(&accra, &both), eq(&only(&["accra"])));
    let none = allowed_regions(&accra, &regions(&["keta"]));
    expect_that!(none, eq(&only(&[])));
    expect_false!(none.allows(&"accra".into()));
    expect_true!(AllowedRegions::Any.allows(&"accra".into()));
}

/// Guards against a call in flight that follows only the newest configuration, or only the one it was routed with.
#[gtest]
fn restricted_to_changed_homes() {
    let routed = allowed_regions(&regions(&["accra", "keta"]), &[]);
    let now = routed.clone().restricted_to(&regions(&["keta"]));
    expect_that!(now, eq(&only(&["keta"])));
    expect_that!(routed.clone().restricted_to(&[]), eq(&routed));
    let moved = allowed_regions(&regions(&["accra"]), &[]).restricted_to(&regions(&["keta"]));
    expect_that!(moved, eq(&only(&[])));
}

/// Guards against a call that fails over to another region once all nodes of its home regions were tried.
#[gtest]
fn pick_home_nodes_tried() {
    let mut placement = placement();
    let (home, elsewhere) = (only(&["accra"]), only(&["keta"]));
    let tried: Vec<NodeId> = vec!["a".into(), "b".into()];
    expect_that!(
        pick(&mut placement, &home, &tried[..1]),
        some(eq(&tried[1]))
    );
    expect_that!(pick(&mut placement, &home, &tried), none());
    // The entry node itself is outside.
    expect_that!(
        pick(&mut placement, &elsewhere, &[]),
        some(eq(&NodeId::from("c")))
    );
    expect_that!(
        pick(&mut placement, &AllowedRegions::Any, &tried),
        some(eq(&NodeId::from("c")))
    );
}

/// Guards against a refusal without its reason, and against the reason `OutsideHome` for nodes that are only
/// unreachable.
#[gtest]
fn exclusion_home_without_node() {
    let mut placement = placement();
    for node in ["a", "b"] {
        let feedback = Feedback {
            incarnation: &(node.into(), 1),
            end: AttemptEnd::Unreachable,
            run: Duration::ZERO,
            report: None,
            bytes: 0,
        };
        placement.on_end(NOW, &node.into(), &"lookup".into(), &feedback);
    }
    let service = ServiceName::from(SERVICE);
    let evacuations = Evacuations::default();
    let outside = some(eq(ResultCode::OutsideHome));
    expect_that!(
        placement.exclusion(&service, &AllowedRegions::Any, &evacuations),
        none()
    );
    expect_that!(
        placement.exclusion(&service, &only(&["accra"]), &evacuations),
        none()
    );
    expect_that!(
        placement.exclusion(&service, &only(&["volta"]), &evacuations),
        outside
    );
    expect_that!(
        placement.exclusion(&service, &only(&[]), &evacuations),
        some(eq(ResultCode::OutsideHome))
    );
}

/// Guards against a call without a permitted node that waits for its deadline, and against a reason that hides
/// an earlier refusal.
#[gtest]
fn on_excluded_first_choice() {
    let mut attempts = Attempts::new(CallLimits {
        arrived: NOW,
        deadline: NOW + Duration::from_secs(3),
        objective: Duration::from_millis(250),
        idempotent: true,
        attempts: 2,
        is_overdue: false,
    });
    attempts.on_excluded(ResultCode::OutsideHome);
    expect_that!(attempts.on_choice(NOW, None), eq(Choice::Stop));
    expect_that!(
        attempts.outcome(),
        eq(Outcome::Refused {
            code: ResultCode::OutsideHome,
            retry_after: None,
        })
    );
    attempts.on_excluded(ResultCode::NoBackend);
    expect_that!(attempts.last(), some(eq(ResultCode::OutsideHome)));
}

/// Guards against a misspelt home region that makes every call of a route or a workspace fail.
#[gtest]
fn unknown_home_names_field() -> googletest::Result<()> {
    let read = |route: &[&str], workspace: &[&str]| {
        let config = json!({
            "version": "1",
            "routes": { "lookup": { "host": "a.example", "prefix": "/", "kind": "safe", "timeout-ms": 1000,
                "slo-ms": 100, "service": "registry", "home-regions": route } },
            "services": { "registry": {} },
            "tenants": { "harbour": { "home-regions": workspace } },
            "limits": { "body-bytes": 1024 },
        });
        config::read_config(config.to_string().as_bytes()).or_fail()
    };
    let known = regions(&["accra", "keta"]);
    let is_known = |region: &RegionName| known.contains(region);
    let sound = read(&["keta", "accra"], &["accra"])?;
    expect_that!(homes::unknown_home(&sound.config, is_known), none());
    let wrong = read(&["accra", "kita"], &[])?;
    expect_that!(
        homes::unknown_home(&wrong.config, is_known),
        some(all![
            contains_substring("route lookup"),
            contains_substring("home-regions"),
            contains_substring("kita")
        ])
    );
    let wrong = read(&[], &["kita"])?;
    expect_that!(
        homes::unknown_home(&wrong.config, is_known),
        some(contains_substring("workspace harbour: home-regions"))
    );
    Ok(())
}
