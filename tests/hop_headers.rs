//! Headers of calls between nodes.

mod name_common;

use std::time::Duration;

use actix_http::header::HeaderValue;
use googletest::prelude::*;
use sycamorewick::protocol::call::Executed;
use sycamorewick::protocol::hop::BackendTotals;
use sycamorewick::protocol::hop::HopRequestHeader;
use sycamorewick::protocol::hop::HopResponseHeader;
use sycamorewick::protocol::hop::Load;
use sycamorewick::protocol::hop::RouteTotals;

fn totals(runs: u64, failures: u64) -> BackendTotals {
    BackendTotals {
        runs,
        failures,
        latency_percent: 40 * runs,
    }
}

fn routes(of: &[(&str, BackendTotals)]) -> RouteTotals {
    let mut routes = RouteTotals::default();
    for (route, tally) in of {
        if let Some(sum) = routes.entry(&(*route).into()) {
            sum.add(tally);
        }
    }
    routes
}

fn header(route_tallies: RouteTotals) -> HopResponseHeader {
    HopResponseHeader {
        run: Executed::Yes,
        arrived: true,
        code: 0,
        run_ms: 12,
        load: Load {
            slots: 4,
            ..Load::default()
        },
        tally: totals(90, 3),
        route_tallies,
    }
}

/// Guards against results by route that are lost between nodes, or that make the header unreadable for a node
/// of an earlier build, which reads the fields before them only.
#[gtest]
fn response_header_with_routes() {
    let sent = header(routes(&[
        ("claims", totals(30, 3)),
        ("lookup", totals(60, 0)),
    ]));
    expect_that!(HopResponseHeader::decode(&sent.encode()), some(eq(&sent)));
    let plain = header(RouteTotals::default());
    expect_that!(HopResponseHeader::decode(&plain.encode()), some(eq(&plain)));
    expect_that!(sent.encode(), starts_with(plain.encode()));
    for cut in [";claims", ";claims;30", ";claims;30;x;1"] {
        let text = format!("{}{cut}", plain.encode());
        expect_that!(HopResponseHeader::decode(&text), some(eq(&plain)));
    }
}

/// Guards against a time of work that is lost between nodes, and against a header that differs from that of earlier
/// builds although no time of work is reported.
#[gtest]
fn response_header_with_work_time() {
    let mut sent = header(routes(&[("claims", totals(30, 3))]));
    sent.load.transfer_wait_ms = 15;
    let without = sent.encode();
    expect_that!(without, contains_substring(";15;claims;"));
    expect_that!(HopResponseHeader::decode(&without), some(eq(&sent)));
    sent.load.work_time_percent = Some(250);
    expect_that!(HopResponseHeader::decode(&sent.encode()), some(eq(&sent)));
    // A node that cannot read the figure reads the rest.
    let unreadable = sent.encode().replace(",250", ",x");
    sent.load.work_time_percent = None;
    expect_that!(HopResponseHeader::decode(&unreadable), some(eq(&sent)));
}

/// Guards against routes of which a node never learns, since its own callers do not use them.
#[gtest]
fn extract_takes_turns() {
    let all = routes(&[
        ("claims", totals(30, 3)),
        ("lookup", totals(60, 0)),
        ("search", totals(9, 0)),
    ]);
    let mut known = RouteTotals::default();
    for turn in 0..3 {
        let part = all.extract(&"lookup".into(), turn);
        expect_that!(part.iter().count(), le(2));
        expect_that!(part.get(&"lookup".into()), eq(totals(60, 0)));
        for (route, tally) in part.iter() {
            if let Some(known) = known.entry(route) {
                *known = *tally;
            }
        }
    }
    expect_that!(known, eq(&all));
}

fn request_header(workspace: Option<&str>, is_spillover: bool) -> HopRequestHeader {
    HopRequestHeader {
        route: "lookup".into(),
        service: "registry".into(),
        version: "v1".into(),
        idempotent: true,
        accepts_late: false,
        priority: 2,
        objective: Duration::from_millis(250),
        left: Duration::from_millis(900),
        is_overdue: false,
        limit: None,
        workspace: workspace.map(Into::into),
        workspace_priority: u8::from(workspace.is_some()),
        is_spillover,
    }
}

/// Guards against a spillover call that takes capacity like any other because the flag is lost, or that loses its
/// workspace or gets one, and against a header that differs from that of earlier builds for other calls.
#[gtest]
fn request_header_with_spillover() {
    for workspace in [None, Some("acme")] {
        let plain = request_header(workspace, false);
        let spillover = request_header(workspace, true);
        for sent in [&plain, &spillover] {
            expect_that!(HopRequestHeader::decode(&sent.encode()), some(eq(sent)));
        }
        expect_that!(spillover.encode(), starts_with(plain.encode()));
    }
    let plain = "lookup;registry;v1;1;0;2;250;900;;0";
    expect_that!(request_header(None, false).encode(), eq(plain));
    // An earlier build sends nothing after these fields.
    let earlier = HopRequestHeader::decode(plain);
    expect_that!(earlier, some(eq(&request_header(None, false))));
}

/// Guards against a workspace that is lost between nodes, a call without a workspace that loses its priority, and a
/// header that differs from that of earlier builds although there are no workspaces.
#[gtest]
fn request_header_with_workspace() {
    let head = |workspace: Option<&str>, workspace_priority| HopRequestHeader {
        route: "lookup".into(),
        service: "registry".into(),
        version: "v1".into(),
        idempotent: true,
        accepts_late: false,
        priority: 1,
        objective: Duration::from_millis(250),
        left: Duration::from_secs(1),
        is_overdue: false,
        limit: None,
        workspace: workspace.map(Into::into),
        workspace_priority,
        is_spillover: false,
    };
    let plain = head(None, 0);
    expect_that!(plain.encode(), eq("lookup;registry;v1;1;0;1;250;1000;;0"));
    for sent in [
        plain.clone(),
        head(None, 2),
        head(Some("acme"), 0),
        head(Some("acme corp."), 3),
    ] {
        let text = sent.encode();
        expect_that!(HopRequestHeader::decode(&text), some(eq(&sent)), "{text}");
        expect_that!(text, starts_with(plain.encode()));
    }
}

/// Fails if a header between nodes is not visible ASCII text, or would lose blanks on the way.
fn expect_header_text(text: &str) {
    let value = HeaderValue::from_str(text);
    let read = value.as_ref().ok().and_then(|value| value.to_str().ok());
    expect_that!(read, some(eq(text.trim())), "{text:?}");
}

/// Guards against a call that another node cannot read, or reads with other fields, because of a character in the name
/// of its route, service, version or workspace.
#[gtest]
fn request_header_with_random_names() {
    let names = [
        name_common::any_names(1, 2_000),
        name_common::sendable_names(1, 200),
    ]
    .concat();
    for (index, name) in names.iter().enumerate() {
        let other = names[(index * 7 + 3) % names.len()].as_str();
        let sent = HopRequestHeader {
            route: name.as_str().into(),
            service: other.into(),
            version: name.as_str().into(),
            ..request_header(Some(other), index % 2 == 0)
        };
        let text = sent.encode();
        expect_header_text(&text);
        expect_that!(HopRequestHeader::decode(&text), some(eq(&sent)), "{text}");
    }
}

/// Guards against results by route that are lost, or taken for those of another route, because of a character in the
/// name of a route.
#[gtest]
fn response_header_with_random_names() {
    let names = [
        name_common::any_names(2, 2_000),
        name_common::sendable_names(2, 200),
    ]
    .concat();
    for pair in names.chunks_exact(2) {
        let tallies = [(&*pair[0], totals(30, 3)), (&*pair[1], totals(60, 0))];
        let sent = header(routes(&tallies));
        let text = sent.encode();
        expect_header_text(&text);
        expect_that!(HopResponseHeader::decode(&text), some(eq(&sent)), "{text}");
    }
}

/// Guards against a name that differs from that of earlier builds although these can read it, and against a field of
/// an earlier build that is read as another name.
#[gtest]
fn names_of_earlier_builds() {
    for name in ["lookup", "acme corp.", "a=b,c", "\"x\""] {
        let sent = HopRequestHeader {
            route: name.into(),
            ..request_header(None, false)
        };
        expect_that!(sent.encode(), starts_with(format!("{name};registry;")));
    }
    let earlier = HopRequestHeader::decode("100%;registry;v1;1;0;2;250;900;;0");
    let route = earlier.map(|head| head.route.as_str().to_owned());
    expect_that!(route, some(eq("100%")));
    // Not UTF-8.
    expect_that!(
        HopRequestHeader::decode("%ff;registry;v1;1;0;2;250;900;;0"),
        none()
    );
}

/// Guards against a response that no node accepts since the name of a route is too long for a head, and against a call
/// that is sent with such a name.
#[gtest]
fn names_beyond_the_limit() {
    let long = "é".repeat(2_048);
    let too_long = format!("{long}x");
    let tallies = [(&*long, totals(30, 3)), (&*too_long, totals(60, 0))];
    let sent = header(routes(&tallies));
    let read = HopResponseHeader::decode(&sent.encode());
    let expected = header(routes(&tallies[..1]));
    expect_that!(read, some(eq(&expected)));
    let plain = request_header(None, false);
    let heads = |name: &str| {
        [
            HopRequestHeader {
                route: name.into(),
                ..plain.clone()
            },
            HopRequestHeader {
                service: name.into(),
                ..plain.clone()
            },
            HopRequestHeader {
                version: name.into(),
                ..plain.clone()
            },
            request_header(Some(name), false),
        ]
    };
    for (name, is_sendable) in [("", true), (&*long, true), (&*too_long, false)] {
        for head in heads(name) {
            expect_that!(head.is_sendable(), eq(is_sendable), "{} bytes", name.len());
        }
    }
}
