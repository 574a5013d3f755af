//! Tests of `state::report_filter`.

use std::net::SocketAddr;

use googletest::prelude::*;
use sycamorewick::protocol::name::ServiceName;
use sycamorewick::state::report_filter::ReportFilter;

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 35], port))
}

fn filter() -> ReportFilter {
    ReportFilter::new(ServiceName::from("registry"), addr(8147))
}

/// Guards against a backend server that is replaced by the heartbeat of another service: its node ignored
/// its own heartbeats from then on, as those of an earlier incarnation.
#[gtest]
fn accept_other_service() {
    let mut filter = filter();
    for service in ["harbour", "", "Registry", "registry "] {
        let accepted = filter.accept(&ServiceName::from(service), addr(8147));
        expect_true!(accepted.is_err(), "{service:?}");
    }
    let accepted = filter.accept(&ServiceName::from("registry"), addr(8147));
    expect_that!(accepted, ok(anything()));
}

/// Guards against a heartbeat of a backend server on another instance that replaces the local one.
#[gtest]
fn accept_other_address() {
    let mut filter = filter();
    let service = ServiceName::from("registry");
    expect_that!(filter.accept(&service, addr(8147)), ok(anything()));
    expect_that!(filter.accept(&service, addr(8148)), err(anything()));
    expect_that!(filter.accept(&service, addr(8147)), ok(anything()));
}

/// Guards against a backend server behind a translation of addresses that is refused, since it never names
/// the address at which its node reaches it.
#[gtest]
fn accept_translated_address() {
    let mut filter = filter();
    let service = ServiceName::from("registry");
    for _ in 0..3 {
        expect_that!(filter.accept(&service, addr(9000)), ok(anything()));
    }
}
