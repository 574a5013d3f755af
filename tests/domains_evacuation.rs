//! Evacuated failure domains: which records and readings begin and end an evacuation, and which nodes are chosen.

mod fleet_common;

use std::time::Duration;

use fleet_common::SERVICE;
use fleet_common::entry;
use googletest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sycamorewick::coordination::attempts::AttemptFailure;
use sycamorewick::coordination::attempts::Attempts;
use sycamorewick::coordination::attempts::CallLimits;
use sycamorewick::coordination::attempts::Choice;
use sycamorewick::coordination::domains::evacuation::Evacuations;
use sycamorewick::coordination::domains::evacuation::RECHECK_INTERVAL;
use sycamorewick::coordination::domains::evacuation::Reading;
use sycamorewick::coordination::domains::homes::AllowedRegions;
use sycamorewick::coordination::placement::PickRequest;
use sycamorewick::coordination::placement::Placement;
use sycamorewick::protocol::name::DomainName;
use sycamorewick::protocol::name::NodeId;
use sycamorewick::protocol::name::ServiceName;
use sycamorewick::result_code::ResultCode;

const NOW: Duration = Duration::from_secs(1);
const SLOTS: u32 = 4;

fn domain(name: &str) -> DomainName {
    name.into()
}

/// Returns a set with these failure domains, whose records have the offsets 10, 11 and so on.
fn evacuations(domains: &[&str]) -> Evacuations {
    let mut evacuations = Evacuations::default();
    for (offset, name) in (10..).zip(domains) {
        expect_true!(evacuations.on_record(NOW, &domain(name), offset, true));
    }
    evacuations
}

/// Applies a reading that shows these records, and returns the domains whose evacuation it ends.
fn read(
    evacuations: &mut Evacuations,
    is_complete: bool,
    end: u64,
    shown: &[(&str, u64)],
) -> Vec<String> {
    let shown = shown.iter().map(|(name, offset)| (domain(name), *offset));
    let reading = Reading {
        is_complete,
        end,
        shown: &shown.collect::<Vec<_>>(),
    };
    let ended = evacuations.on_reading(&reading);
    let names = ended.iter().map(|ended| ended.domain.as_str().to_owned());
    names.collect()
}

/// Returns entry node `a` in `accra-a`, with `b` there, `c` in `accra-b` and `d` in `keta-a`.
fn placement() -> Placement {
    let mut placement = Placement::new("a".into(), "accra".into(), "accra-a".into());
    for (node, region, domain, port) in [
        ("a", "accra", "accra-a", 1),
        ("b", "accra", "accra-a", 2),
        ("c", "accra", "accra-b", 3),
        ("d", "keta", "keta-a", 4),
    ] {
        placement.on_entry(NOW, &entry(node, region, domain, port, SLOTS));
    }
    placement
}

fn pick(
    placement: &mut Placement,
    evacuations: &Evacuations,
    regions: &AllowedRegions,
) -> Option<String> {
    let request = PickRequest {
        service: &SERVICE.into(),
        route: &"lookup".into(),
        objective: Duration::from_millis(250),
        idempotent: true,
        request_bytes: 0,
        tried: &[],
        is_allowed: &|_: &NodeId, _: &_| true,
        regions,
        evacuations,
    };
    let pick = placement.pick(NOW, &mut StdRng::seed_from_u64(1), &request)?;
    Some(pick.node.as_str().to_owned())
}

/// Guards against an evacuation that outlasts its removal, and against a late record that begins or ends it anew.
#[gtest]
fn on_record_removed_and_late() {
    let mut evacuations = evacuations(&["accra-a", "keta-a"]);
    expect_false!(evacuations.on_record(NOW, &domain("accra-a"), 9, false));
    expect_true!(evacuations.contains(&domain("accra-a")));
    expect_true!(evacuations.on_record(NOW, &domain("accra-a"), 12, false));
    expect_false!(evacuations.contains(&domain("accra-a")));
    expect_true!(evacuations.contains(&domain("keta-a")));
    expect_false!(evacuations.on_record(NOW, &domain("volta-a"), 13, false));
    expect_false!(evacuations.on_record(NOW, &domain("keta-a"), 14, true));
    expect_that!(evacuations.count(), eq(1));
}

/// Guards against an evacuation that goes on although the store has dropped its key, and against one that ends
/// because a reading shows only the newest changes.
#[gtest]
fn on_reading_dropped_key() {
    let mut evacuations = evacuations(&["accra-a", "keta-a"]);
    expect_that!(read(&mut evacuations, false, 20, &[]), is_empty());
    let ended = read(&mut evacuations, true, 20, &[("keta-a", 11)]);
    expect_that!(ended, elements_are![eq("accra-a")]);
    expect_true!(evacuations.contains(&domain("keta-a")));
}

/// Guards against an evacuation that ends for a moment because the newest records of a slow store lack one that was
/// appended just before. A key that was dropped ends as soon as the records there were read without it.
#[gtest]
fn on_reading_behind_last_record() {
    let mut late = evacuations(&["accra-a"]);
    expect_that!(read(&mut late, true, 10, &[]), is_empty());
    expect_that!(read(&mut late, false, 11, &[("accra-a", 10)]), is_empty());
    expect_that!(read(&mut late, false, 12, &[]), is_empty());
    expect_true!(late.contains(&domain("accra-a")));

    let mut dropped = evacuations(&["accra-a"]);
    expect_that!(read(&mut dropped, true, 10, &[]), is_empty());
    expect_that!(
        read(&mut dropped, false, 11, &[]),
        elements_are![eq("accra-a")]
    );
}

/// Guards against an evacuation that outlasts a store that went back to a state without it, and against one that
/// ends before the topic was read anew.
#[gtest]
fn on_new_era_lost_record() {
    let mut evacuations = evacuations(&["accra-a", "keta-a"]);
    evacuations.on_new_era();
    expect_true!(evacuations.contains(&domain("accra-a")));
    // The record that is still there has a lower offset than any known before.
    expect_false!(evacuations.on_record(NOW, &domain("keta-a"), 2, true));
    let ended = read(&mut evacuations, true, 3, &[("keta-a", 2)]);
    expect_that!(ended, elements_are![eq("accra-a")]);
    expect_true!(evacuations.contains(&domain("keta-a")));
    expect_true!(evacuations.on_record(NOW, &domain("keta-a"), 3, false));
}

/// Guards against a running node that keeps an evacuation for good, because the store has dropped its key without a
/// record; and against one that ends it because a slow store lists the record late.
#[gtest]
fn on_recheck_dropped_key() {
    let mut evacuations = evacuations(&["accra-a", "keta-a"]);
    let shown = [(domain("keta-a"), 11)];
    let soon = NOW + Duration::from_secs(1);
    expect_that!(evacuations.on_recheck(soon, &shown), is_empty());
    // A recheck alone must not make the next changes end it.
    expect_that!(read(&mut evacuations, false, 20, &[]), is_empty());
    let ended = evacuations.on_recheck(NOW + RECHECK_INTERVAL, &shown);
    expect_that!(ended.len(), eq(1));
    expect_false!(evacuations.contains(&domain("accra-a")));
    expect_true!(evacuations.contains(&domain("keta-a")));
}

/// Guards against a follower that learns late that its reader has found a key dropped, and against one that takes
/// an earlier drop for the end of a later evacuation.
#[gtest]
fn on_dropped_by_offset() {
    let mut evacuations = evacuations(&["accra-a", "keta-a"]);
    expect_false!(evacuations.on_dropped(&domain("accra-a"), 9));
    expect_true!(evacuations.on_dropped(&domain("accra-a"), 10));
    expect_false!(evacuations.on_dropped(&domain("accra-a"), 10));
    expect_true!(evacuations.contains(&domain("keta-a")));
}

/// Guards against requests to an evacuated failure domain, also the entry node's own, and against a call that waits
/// although all failure domains are evacuated.
#[gtest]
fn pick_evacuated_domains() {
    let mut placement = placement();
    let any = AllowedRegions::Any;
    let service = ServiceName::from(SERVICE);
    let mut gone = evacuations(&["accra-a"]);
    expect_that!(pick(&mut placement, &gone, &any), some(eq("c")));
    gone.on_record(NOW, &domain("accra-b"), 20, true);
    expect_that!(pick(&mut placement, &gone, &any), some(eq("d")));
    expect_that!(placement.exclusion(&service, &any, &gone), none());
    // Home regions hold during an evacuation.
    let home = AllowedRegions::Only(vec!["accra".into()]);
    expect_that!(pick(&mut placement, &gone, &home), none());
    let evacuated = some(eq(ResultCode::DomainEvacuated));
    expect_that!(placement.exclusion(&service, &home, &gone), evacuated);
    gone.on_record(NOW, &domain("keta-a"), 21, true);
    expect_that!(pick(&mut placement, &gone, &any), none());
    let evacuated = some(eq(ResultCode::DomainEvacuated));
    expect_that!(placement.exclusion(&service, &any, &gone), evacuated);
    gone.on_record(NOW, &domain("accra-b"), 22, false);
    expect_that!(pick(&mut placement, &gone, &any), some(eq("c")));
}

/// Guards against a call that is offered to each node of an evacuated failure domain in turn, by an entry node that
/// has not read the evacuation yet.
#[gtest]
fn take_location_refusal_skips_neighbours() {
    let mut attempts = Attempts::new(CallLimits {
        arrived: NOW,
        deadline: NOW + Duration::from_secs(3),
        objective: Duration::from_millis(250),
        idempotent: true,
        attempts: 2,
        is_overdue: false,
    });
    let refused = |code| AttemptFailure::Refused {
        code,
        arrived: false,
        retry_after: Duration::from_millis(300),
    };
    let node = NodeId::from("a");
    attempts.on_failure(&node, refused(ResultCode::NoBackend));
    expect_that!(attempts.take_location_refusal(), none());
    attempts.on_failure(&node, refused(ResultCode::DomainEvacuated));
    let expected = (node.clone(), ResultCode::DomainEvacuated);
    expect_that!(attempts.take_location_refusal(), some(eq(&expected)));
    expect_that!(attempts.take_location_refusal(), none());

    let placement = placement();
    let alike = |reason| placement.nodes_refusing_as(&node, reason);
    expect_that!(
        alike(ResultCode::DomainEvacuated),
        elements_are![eq(&node), eq(&NodeId::from("b"))]
    );
    expect_that!(alike(ResultCode::OutsideHome).len(), eq(3));
    expect_that!(alike(ResultCode::NoBackend), is_empty());
}

/// Guards against a body that is sent again to a node that refused it because of its region, once the call accepts a
/// late response.
#[gtest]
fn on_choice_keeps_location_refusals() {
    let mut attempts = Attempts::new(CallLimits {
        arrived: NOW,
        deadline: NOW + Duration::from_secs(3),
        objective: Duration::from_millis(250),
        idempotent: true,
        attempts: 2,
        is_overdue: false,
    });
    let refused = |code| AttemptFailure::Refused {
        code,
        arrived: false,
        retry_after: Duration::from_millis(300),
    };
    let [outside, neighbour, full] = ["a", "b", "c"].map(NodeId::from);
    attempts.on_failure(&outside, refused(ResultCode::OutsideHome));
    attempts.on_refused_alike(std::slice::from_ref(&neighbour));
    attempts.on_failure(&full, refused(ResultCode::Overloaded));
    expect_that!(attempts.on_choice(NOW, None), eq(Choice::OfferAgain));
    expect_that!(
        attempts.tried(),
        elements_are![eq(&outside), eq(&neighbour)]
    );
}
