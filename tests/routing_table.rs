//! Tests of `state::routing_table`.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::coordination::workspaces::credentials::Verdict;
use sycamorewick::coordination::workspaces::credentials::ViewLimits;
use sycamorewick::protocol::mesh::CallerLimits;
use sycamorewick::protocol::mesh::KeyHash;
use sycamorewick::protocol::mesh::MeshConfig;
use sycamorewick::protocol::mesh::MeshRoute;
use sycamorewick::protocol::mesh::Workspace;
use sycamorewick::protocol::name::WorkspaceName;
use sycamorewick::state::routing_table::RoutingTable;
use sycamorewick::state::routing_table::choose_service;

fn route(name: &str, host: &str, prefix: &str) -> MeshRoute {
    MeshRoute {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        idempotent: true,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(250),
        priority: 2,
        max_attempts: 2,
        targets: vec![("registry".into(), 1)],
        is_public: false,
        homes: Vec::new(),
    }
}

fn table(routes: Vec<MeshRoute>) -> RoutingTable {
    RoutingTable::new(MeshConfig {
        version: 1,
        routes,
        services: Vec::new(),
        limits: CallerLimits {
            body_bytes: 1_024,
            ..CallerLimits::default()
        },
        workspaces: Vec::new(),
    })
}

fn found(table: &RoutingTable, host: &str, path: &str) -> Option<String> {
    table
        .find(host, path)
        .map(|route| route.name.as_str().to_owned())
}

/// Guards against a shorter prefix that wins over a longer one, and against a route of another host.
#[gtest]
fn find_longest_prefix() {
    let table = table(vec![
        route("root", "a.example", "/"),
        route("wrecks", "a.example", "/wrecks/"),
        route("deep", "a.example", "/wrecks/deep/"),
        route("other", "b.example", "/wrecks/"),
    ]);
    expect_that!(
        found(&table, "a.example", "/wrecks/deep/2f"),
        some(eq("deep"))
    );
    expect_that!(
        found(&table, "a.example", "/wrecks/deep"),
        some(eq("wrecks"))
    );
    expect_that!(found(&table, "a.example", "/wrecks/"), some(eq("wrecks")));
    expect_that!(
        found(&table, "a.example", "/wrecksother/1"),
        some(eq("root"))
    );
    expect_that!(found(&table, "b.example", "/wrecks/1"), some(eq("other")));
    expect_that!(found(&table, "b.example", "/"), none());
    expect_that!(found(&table, "c.example", "/wrecks/1"), none());
}

/// Guards against a traffic split that differs from the weights of the route.
#[gtest]
fn choose_service_by_weight() {
    let mut split = route("split", "a.example", "/");
    split.targets = vec![("registry".into(), 90), ("archive".into(), 10)];
    let archive = (0..1_000)
        .filter(|point| choose_service(&split, f64::from(*point) / 1_000.0).as_str() == "archive");
    expect_that!(archive.count(), eq(100));
}

/// Guards against requests for a service whose weight is zero.
#[gtest]
fn choose_service_without_weight() {
    let mut split = route("split", "a.example", "/");
    split.targets = vec![("archive".into(), 0), ("registry".into(), 5)];
    expect_that!(choose_service(&split, 0.0).as_str(), eq("registry"));
    expect_that!(choose_service(&split, 0.999).as_str(), eq("registry"));
}

/// Guards against credentials of an earlier configuration that are still accepted after a new one is in
/// force, and against those of a new one that are not.
#[gtest]
fn credentials_of_configuration() {
    let with_key = |text: &str| {
        RoutingTable::new(MeshConfig {
            version: 1,
            routes: Vec::new(),
            services: Vec::new(),
            limits: CallerLimits::default(),
            workspaces: vec![Workspace {
                name: "acme".into(),
                keys: vec![KeyHash::of(text.as_bytes())],
                priority: 1,
                quota: None,
                homes: Vec::new(),
            }],
        })
    };
    let limits = ViewLimits {
        config_within: Duration::from_secs(3),
        revoke_within: None,
    };
    let acme = WorkspaceName::from("acme");
    for (in_force, verdict) in [
        ("key-a", Verdict::Valid(&acme, 1)),
        ("key-b", Verdict::Unknown),
    ] {
        let table = with_key(in_force);
        let key = Some(KeyHash::of(b"key-a"));
        let credentials = table.credentials();
        let judged = credentials.judge(false, key, Some(Duration::ZERO), &limits);
        expect_that!(judged, eq(verdict));
        expect_that!(
            table.workspace(&acme).map(|workspace| workspace.priority),
            some(eq(1))
        );
        expect_that!(table.workspace(&"birch".into()), none());
    }
}
