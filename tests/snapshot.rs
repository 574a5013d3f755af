//! Tests of `state::snapshot`.

mod config_support;

use std::rc::Rc;

use config_support::document;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sycamorewick::protocol::codec;
use sycamorewick::protocol::document::Document;
use sycamorewick::protocol::name::ConfigVersion;
use sycamorewick::protocol::record::ServiceSince;
use sycamorewick::protocol::record::VersionedDocument;
use sycamorewick::result_code::Failure;
use sycamorewick::result_code::ResultCode;
use sycamorewick::state::snapshot::ConfigStore;
use sycamorewick::state::snapshot::ConfigTransfer;
use sycamorewick::state::snapshot::KEPT_SNAPSHOTS;
use sycamorewick::state::snapshot::Snapshot;
use sycamorewick::state::snapshot::apply_delta;

fn versioned(version: u64, document: Document) -> VersionedDocument {
    let since = document.services.iter().map(|service| ServiceSince {
        service: service.name.clone(),
        since: ConfigVersion(version),
    });
    VersionedDocument {
        version: ConfigVersion(version),
        since: since.collect(),
        document,
    }
}

fn snapshot(version: u64, services: &[(&str, u32)]) -> Snapshot {
    Snapshot::build(versioned(version, document(services))).unwrap()
}

fn code<T>(result: Result<T, Failure>) -> Option<ResultCode> {
    result.err().map(|failure| failure.code)
}

/// Encodes and decodes a transfer as it would be sent between nodes.
fn round_trip(transfer: &ConfigTransfer) -> ConfigTransfer {
    codec::decode(&codec::encode(transfer).unwrap()).unwrap()
}

/// Guards against a route or rollout that refers to a service or version that is not in the document
/// (invariant 2).
#[gtest]
fn build_dangling_reference() {
    let mut route = document(&[("a", 1), ("b", 1)]);
    route.services.pop();
    let mut rollout = document(&[("a", 1)]);
    rollout.services[0].rollout.as_mut().unwrap().to = "v3".into();
    for document in [route, rollout] {
        let result = Snapshot::build(versioned(1, document));
        expect_that!(code(result), some(eq(ResultCode::DanglingReference)));
    }
}

/// Guards against a `since` that would restart a rollout, or that no reader of the log can have
/// computed.
#[gtest]
fn build_impossible_since() {
    let good = versioned(5, document(&[("a", 1), ("b", 1)]));
    let mut missing = good.clone();
    missing.since.pop();
    let mut future = good.clone();
    future.since[0].since = ConfigVersion(6);
    let mut unpublished = good.clone();
    unpublished.version = ConfigVersion::NONE;
    for bad in [missing, future, unpublished] {
        expect_that!(
            code(Snapshot::build(bad)),
            some(eq(ResultCode::InvalidField))
        );
    }
    expect_that!(Snapshot::build(good), ok(anything()));
}

/// Guards against a digest that depends on the order in which the operator wrote the document.
#[gtest]
fn digest_order() {
    let sorted = snapshot(1, &[("a", 1), ("b", 2)]);
    let reversed = snapshot(1, &[("b", 2), ("a", 1)]);
    expect_that!(reversed.digest(), eq(sorted.digest()));
    expect_that!(
        snapshot(2, &[("a", 1), ("b", 2)]).digest(),
        not(eq(sorted.digest()))
    );
    expect_that!(reversed.service("b").unwrap().slots, eq(2));
    expect_that!(reversed.service("c"), none());
    expect_that!(reversed.since("b"), eq(ConfigVersion(1)));
    expect_that!(reversed.since("c"), eq(ConfigVersion::NONE));
}

/// Guards against requests that are routed to the wrong service.
#[gtest]
fn find_route_choice() {
    let mut document = document(&[("s", 1)]);
    let base = document.routes[0].clone();
    let routes = [
        ("any", "*", "/", &[][..]),
        ("claims", "*", "/claims", &[]),
        ("claim", "*", "/claims/new", &["POST"]),
        ("files", "*", "/files/", &[]),
        ("host", "a.org", "/claims", &["GET"]),
    ];
    document.routes = routes
        .iter()
        .map(|&(name, host, prefix, methods)| {
            let mut route = base.clone();
            route.name = name.into();
            host.clone_into(&mut route.host);
            prefix.clone_into(&mut route.path_prefix);
            route.methods = methods.iter().map(|&method| method.to_owned()).collect();
            route
        })
        .collect();
    let snapshot = Snapshot::build(versioned(1, document)).unwrap();
    let cases = [
        // The longest prefix that ends at a segment boundary wins.
        ("b.org", "GET", "/claims", "claims"),
        ("b.org", "GET", "/claims/7", "claims"),
        ("b.org", "GET", "/claims?x=/new", "claims"),
        ("b.org", "GET", "/claimsets", "any"),
        ("b.org", "POST", "/claims/new/1", "claim"),
        // If the method of the longest prefix does not match, the next shorter prefix is used.
        ("b.org", "GET", "/claims/new", "claims"),
        ("b.org", "GET", "/files", "any"),
        ("b.org", "GET", "/files/", "files"),
        ("b.org", "GET", "/files/x", "files"),
        // The exact host has precedence; its case and port are ignored.
        ("a.org", "GET", "/claims/new", "host"),
        ("A.ORG:8080", "GET", "/claims", "host"),
        ("a.org", "POST", "/claims", "claims"),
        ("a.org", "GET", "/", "any"),
        ("", "GET", "/", "any"),
    ];
    for (host, method, path, name) in cases {
        let found = snapshot.find_route(host, method, path);
        let found = found.map(|route| route.name.as_str());
        expect_that!(found, some(eq(name)), "{host} {method} {path}");
    }
    expect_that!(snapshot.find_route("b.org", "OPTIONS", "*"), none());
    expect_that!(snapshot.find_route("b.org", "GET", ""), none());
    let long = format!("/claims/{}", "x/".repeat(100_000));
    expect_that!(
        snapshot.find_route("b.org", "GET", &long).is_some(),
        eq(true)
    );
}

/// Guards against a node that returns to an older configuration (invariant 1).
#[gtest]
fn install_older_version() {
    let mut store = ConfigStore::new();
    store.install(snapshot(5, &[("a", 1)])).unwrap();
    for version in [4, 5] {
        let result = store.install(snapshot(version, &[("a", 2)]));
        expect_that!(code(result), some(eq(ResultCode::VersionNotNewer)));
    }
    expect_that!(store.version(), eq(ConfigVersion(5)));
    // Late responses of peers are normal: they must not fail, and must not be applied.
    let late = ConfigTransfer::Whole {
        versioned: versioned(4, document(&[("a", 2)])),
        digest: 0,
    };
    expect_that!(store.receive(late), ok(none()));
    expect_that!(store.current().unwrap().service("a").unwrap().slots, eq(1));
}

/// Guards against a new version that changes the snapshot which a running call uses.
#[gtest]
fn install_swap() {
    let mut store = ConfigStore::new();
    let old = store.install(snapshot(1, &[("a", 1), ("b", 1)])).unwrap();
    store.install(snapshot(2, &[("a", 2)])).unwrap();
    expect_that!(old.service("b").is_some(), eq(true));
    expect_that!(store.current().unwrap().service("b"), none());
}

/// Guards against an invalid configuration that is applied completely or partly (invariant 3).
#[gtest]
fn receive_invalid_document() {
    let mut store = ConfigStore::new();
    let before = store.install(snapshot(1, &[("a", 1)])).unwrap();
    let mut invalid = versioned(2, document(&[("a", 2)]));
    invalid.document.services[0].versions[0].share = 90;
    let digest = sycamorewick::state::snapshot::digest_of(&invalid).unwrap();
    let whole = ConfigTransfer::Whole {
        versioned: invalid,
        digest,
    };
    expect_that!(
        code(store.receive(whole)),
        some(eq(ResultCode::InvalidShares))
    );
    expect_that!(Rc::ptr_eq(&before, &store.current().unwrap()), eq(true));
}

/// Guards against applying a transfer of which parts were lost or altered (invariant 3): the result of
/// each altered transfer would still be a valid document.
#[gtest]
fn receive_altered_transfer() {
    let mut store = ConfigStore::new();
    let before = store.install(snapshot(1, &[("a", 1), ("b", 1)])).unwrap();
    let target = snapshot(2, &[("a", 2), ("b", 1), ("c", 3)]);
    let good = target.delta_from(&before);
    let mut without_route = good.clone();
    without_route.routes.clear();
    let mut changed = good.clone();
    changed.services[0].slots = 7;
    let mut other_base = good.clone();
    other_base.base_digest += 1;
    for bad in [without_route, changed, other_base] {
        let result = store.receive(ConfigTransfer::Delta(bad));
        expect_that!(code(result), some(eq(ResultCode::DeltaMismatch)));
    }
    let whole = ConfigTransfer::Whole {
        versioned: target.versioned().clone(),
        digest: target.digest() + 1,
    };
    expect_that!(
        code(store.receive(whole)),
        some(eq(ResultCode::DigestMismatch))
    );
    expect_that!(Rc::ptr_eq(&before, &store.current().unwrap()), eq(true));
    expect_that!(
        store.receive(ConfigTransfer::Delta(good)),
        ok(some(anything()))
    );
}

/// Guards against peers that cannot be brought up to date, and against complete transfers where a
/// delta is sufficient.
#[gtest]
fn transfer_each_kind() {
    let mut sender = ConfigStore::new();
    expect_that!(
        sender.transfer(ConfigVersion(3), 1),
        eq(&ConfigTransfer::Unchanged)
    );
    let history: Vec<Rc<Snapshot>> = (1..=6)
        .map(|v| sender.install(snapshot(v, &[("a", 1), ("b", u32::try_from(v).unwrap())])))
        .map(Result::unwrap)
        .collect();
    let newest = history.last().unwrap();
    for (age, have) in history.iter().rev().enumerate() {
        let transfer = round_trip(&sender.transfer(have.version(), have.digest()));
        let kind = match &transfer {
            ConfigTransfer::Unchanged => age == 0,
            ConfigTransfer::Delta(_) => (1..KEPT_SNAPSHOTS).contains(&age),
            ConfigTransfer::Whole { .. } => age >= KEPT_SNAPSHOTS,
        };
        expect_that!(kind, eq(true), "{age} versions behind: {transfer:?}");
        let mut receiver = ConfigStore::new();
        receiver
            .install(Snapshot::build(have.versioned().clone()).unwrap())
            .unwrap();
        receiver.receive(transfer).unwrap();
        expect_that!(receiver.current().unwrap().digest(), eq(newest.digest()));
    }
    // A peer that is ahead needs nothing; one with an unknown digest gets the complete configuration.
    expect_that!(
        sender.transfer(ConfigVersion(7), 1),
        eq(&ConfigTransfer::Unchanged)
    );
    let unknown = sender.transfer(ConfigVersion(5), 1);
    expect_that!(matches!(unknown, ConfigTransfer::Whole { .. }), eq(true));
}

/// Guards against two different configurations with the same version that go unnoticed.
#[gtest]
fn receive_same_version_other_digest() {
    let mut sender = ConfigStore::new();
    sender.install(snapshot(5, &[("a", 1)])).unwrap();
    let mut receiver = ConfigStore::new();
    let ours = receiver.install(snapshot(5, &[("a", 2)])).unwrap();
    let transfer = sender.transfer(ours.version(), ours.digest());
    expect_that!(
        code(receiver.receive(transfer)),
        some(eq(ResultCode::DigestMismatch))
    );
}

fn arbitrary_services() -> impl Strategy<Value = Vec<(&'static str, u32)>> {
    let names = vec!["a", "b", "c", "d", "e"];
    let names = prop::sample::subsequence(names, 0..=5).prop_shuffle();
    names.prop_flat_map(|names| {
        let slots = prop::collection::vec(1u32..4, names.len());
        slots.prop_map(move |slots| names.iter().copied().zip(slots).collect())
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0xde17a),
        ..ProptestConfig::default()
    })]

    /// Guards against a delta that omits a change, including one of `since` alone.
    #[test]
    fn apply_delta_gives_target(old in arbitrary_services(), new in arbitrary_services(),
                                since in 1u64..=9, region in any::<bool>()) {
        let base = snapshot(4, &old);
        let mut target = versioned(9, document(&new));
        for entry in target.since.iter_mut().step_by(2) {
            entry.since = ConfigVersion(since);
        }
        if region {
            target.document.regions[0].failure_domains.pop();
        }
        let target = Snapshot::build(target).unwrap();
        let result = apply_delta(&base, &target.delta_from(&base)).unwrap();
        prop_assert_eq!(result.versioned(), target.versioned());
        prop_assert_eq!(result.digest(), target.digest());
    }
}
