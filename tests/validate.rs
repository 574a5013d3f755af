//! Tests of `state::validate`.

use std::path::Path;

use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sycamorewick::protocol::document::Document;
use sycamorewick::protocol::document::Rollout;
use sycamorewick::protocol::time::WallMs;
use sycamorewick::result_code::Failure;
use sycamorewick::result_code::ResultCode;
use sycamorewick::state::validate::MAX_DOCUMENT_BYTES;
use sycamorewick::state::validate::MAX_FAILURES;
use sycamorewick::state::validate::normalise;
use sycamorewick::state::validate::parse_document;
use sycamorewick::state::validate::validate;

const EXAMPLES: [&str; 2] = ["registry", "booth"];

fn example(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    std::fs::read_to_string(root.join("examples").join(name).join("document.jsonc")).unwrap()
}

fn registry() -> Document {
    parse_document(&example("registry"), "document.jsonc").unwrap()
}

/// Returns the failures of the Registry document after a change.
fn failures_after(change: impl FnOnce(&mut Document)) -> Vec<Failure> {
    let mut document = registry();
    change(&mut document);
    validate(&document).err().unwrap_or_default()
}

fn failures_with_rollout(change: impl FnOnce(&mut Rollout)) -> Vec<Failure> {
    failures_after(|d| change(d.services[1].rollout.as_mut().unwrap()))
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5eed),
        ..ProptestConfig::default()
    }
}

/// Guards against an example that operators copy and that a node then refuses.
#[gtest]
fn parse_document_examples() {
    for name in EXAMPLES {
        expect_that!(parse_document(&example(name), name), ok(anything()));
    }
}

/// Guards against a field table that differs from the document types: every field that serde writes
/// must be known to the parser and keep its value.
#[gtest]
fn parse_document_round_trip() {
    let document = registry();
    let text = serde_json::to_string(&document).unwrap();
    expect_that!(parse_document(&text, "f"), ok(eq(&document)));
}

/// Guards against reports that stop at the first failure or point to the wrong place.
#[gtest]
fn parse_document_all_structure_failures() {
    let text = r#"{
  "regions": [{ "name": "r", "failure_domains": ["é", 7], "zone": 1 }],
  "services": [{ "name": "s", "versions": [{ "name": "v", "share": 300 }], "slots": -1 },
               { "rollout": null }],
  "routes": {},
  "routes": []
}"#;
    let failures = parse_document(text, "f.jsonc").unwrap_err();
    let texts: Vec<String> = failures.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(texts.join("\n"));
}

/// Guards against rules that stop the check of the others, and against paths of the sorted document.
#[gtest]
fn parse_document_all_rule_failures() {
    let text = r#"{
  "regions": [{ "name": "R", "failure_domains": ["a", "a"] }],
  "services": [
    { "name": "s",
      "versions": [{ "name": "v1", "share": 50 }, { "name": "v1", "share": 40 }],
      "rollout": { "from": "v1", "to": "v2", "start_ms": 9000, "finish_by_ms": 9000,
                   "steps": [50, 20] } }
  ],
  "routes": [
    { "name": "a", "path_prefix": "x", "service": "t", "idempotent": true, "deadline_ms": 5 },
    { "name": "a", "path_prefix": "/", "service": "s", "idempotent": true, "methods": ["GET"] },
    { "name": "b", "path_prefix": "/", "service": "s", "idempotent": true }
  ]
}"#;
    let failures = parse_document(text, "f.jsonc").unwrap_err();
    let texts: Vec<String> = failures.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(texts.join("\n"));
}

/// Guards against options of the parser that accept more than JSON with comments and trailing commas.
#[gtest]
fn parse_document_syntax_error() {
    let failures = parse_document("{\n  \"regions\": [,]\n}", "f").unwrap_err();
    expect_that!(failures, len(eq(1)));
    expect_that!(failures[0].code, eq(ResultCode::SyntaxError));
    expect_that!(failures[0].text, starts_with("f:2:15: "));
    for text in [
        "",
        "{'regions': []}",
        "{regions: []}",
        "[1 2]",
        "[0x1]",
        "{} {}",
    ] {
        let failures = parse_document(text, "f").unwrap_err();
        expect_that!(failures[0].code, eq(ResultCode::SyntaxError), "{text:?}");
    }
}

/// Guards against unbounded work and unbounded reports on hostile text.
#[gtest]
fn parse_document_limits() {
    let large = " ".repeat(MAX_DOCUMENT_BYTES + 1);
    let failures = parse_document(&large, "f").unwrap_err();
    expect_that!(failures[0].code, eq(ResultCode::LimitExceeded));

    let many = format!("{{\"regions\": [{}]}}", "1,".repeat(MAX_FAILURES + 5));
    let failures = parse_document(&many, "f").unwrap_err();
    expect_that!(failures, len(eq(MAX_FAILURES + 1)));
    expect_that!(
        failures[MAX_FAILURES].text,
        contains_substring("7 more failures")
    );

    let deep = "[".repeat(100_000);
    expect_that!(parse_document(&deep, "f"), err(anything()));
}

/// Guards against a rule that is documented but not applied: each change breaks exactly one rule.
#[gtest]
fn validate_each_rule() {
    let cases: Vec<(&str, ResultCode, Vec<Failure>)> = vec![
        (
            "regions",
            ResultCode::LimitExceeded,
            failures_after(|d| d.regions.clear()),
        ),
        (
            "regions[0].name",
            ResultCode::InvalidField,
            failures_after(|d| d.regions[0].name = String::new().into()),
        ),
        (
            "regions[1].failure_domains[0]",
            ResultCode::DuplicateName,
            failures_after(|d| d.regions[1].failure_domains[0] = "accra-a".into()),
        ),
        (
            "services[0].name",
            ResultCode::InvalidField,
            failures_after(|d| {
                let name = "n".repeat(64);
                d.services[0].name = name.as_str().into();
                for route in &mut d.routes {
                    if route.service.as_str() == "archive" {
                        route.service = name.as_str().into();
                    }
                }
            }),
        ),
        (
            "services[0].versions",
            ResultCode::InvalidShares,
            failures_after(|d| d.services[0].versions[0].share = 99),
        ),
        (
            "services[1].rollout.to",
            ResultCode::DanglingReference,
            failures_with_rollout(|r| r.to = "v43".into()),
        ),
        (
            "services[1].rollout.from",
            ResultCode::DanglingReference,
            failures_with_rollout(|r| r.from = "v40".into()),
        ),
        (
            "services[1].rollout.to",
            ResultCode::InvalidRollout,
            failures_with_rollout(|r| r.to = "v41".into()),
        ),
        (
            "services[1].rollout.to",
            ResultCode::InvalidRollout,
            failures_after(|d| {
                d.services[1].versions[0].share = 80;
                d.services[1].versions[1].share = 20;
            }),
        ),
        (
            "services[1].rollout.steps[0]",
            ResultCode::InvalidRollout,
            failures_with_rollout(|r| r.steps[0] = 11),
        ),
        (
            "services[1].rollout.steps[0]",
            ResultCode::InvalidRollout,
            failures_with_rollout(|r| r.steps[0] = 0),
        ),
        (
            "services[1].rollout.steps[2]",
            ResultCode::InvalidRollout,
            failures_with_rollout(|r| r.steps[2] = 20),
        ),
        (
            "services[1].rollout.steps[3]",
            ResultCode::InvalidRollout,
            failures_with_rollout(|r| r.steps[3] = 99),
        ),
        (
            "services[1].rollout.steps",
            ResultCode::LimitExceeded,
            failures_with_rollout(|r| r.steps = (1..=16).chain([100]).collect()),
        ),
        (
            "services[1].rollout.finish_by_ms",
            ResultCode::InvalidRollout,
            failures_with_rollout(|r| r.finish_by_ms = WallMs(r.start_ms.0 + 7_999)),
        ),
        (
            "services[1].rollout.min_calls",
            ResultCode::LimitExceeded,
            failures_with_rollout(|r| r.min_calls = 0),
        ),
        (
            "services[0].slots",
            ResultCode::LimitExceeded,
            failures_after(|d| d.services[0].slots = 0),
        ),
        (
            "routes[0].name",
            ResultCode::InvalidField,
            failures_after(|d| d.routes[0].name = "Claim".into()),
        ),
        (
            "routes[1].name",
            ResultCode::DuplicateName,
            failures_after(|d| d.routes[1].name = d.routes[0].name.clone()),
        ),
        (
            "routes[0].service",
            ResultCode::DanglingReference,
            failures_after(|d| d.routes[0].service = "gone".into()),
        ),
        (
            "routes[0].path_prefix",
            ResultCode::InvalidField,
            failures_after(|d| d.routes[0].path_prefix = "claims".into()),
        ),
        (
            "routes[0].host",
            ResultCode::InvalidField,
            failures_after(|d| d.routes[0].host = "Example.org".into()),
        ),
        (
            "routes[0].methods[0]",
            ResultCode::InvalidField,
            failures_after(|d| d.routes[0].methods[0] = "post".into()),
        ),
        (
            "routes[1]",
            ResultCode::AmbiguousRoute,
            failures_after(|d| d.routes[1].methods.clear()),
        ),
        (
            "routes[0].attempt_timeout_ms",
            ResultCode::LimitExceeded,
            failures_after(|d| d.routes[0].attempt_timeout_ms = 2_001),
        ),
        (
            "routes[0].attempt_timeout_ms",
            ResultCode::LimitExceeded,
            failures_after(|d| d.routes[0].attempt_timeout_ms = 0),
        ),
        (
            "routes[0].deadline_ms",
            ResultCode::LimitExceeded,
            failures_after(|d| d.routes[0].deadline_ms = 600_001),
        ),
    ];
    for (path, code, failures) in cases {
        let found: Vec<String> = failures.iter().map(ToString::to_string).collect();
        expect_that!(found, len(eq(1)), "{path}: {found:?}");
        expect_that!(found, each(contains_substring(format!(": {path}: "))));
        expect_that!(
            failures.iter().all(|f| f.code == code),
            eq(true),
            "{path}: {found:?}"
        );
    }
}

/// Guards against limits that are off by one: the limit itself is allowed, one more is not.
#[gtest]
fn validate_counts() {
    let services = |count: usize| {
        failures_after(|d| {
            let service = d.services[0].clone();
            d.services.extend((2..count).map(|i| {
                let mut service = service.clone();
                service.name = format!("s{i}").into();
                service
            }));
        })
    };
    let routes = |count: usize| {
        failures_after(|d| {
            let route = d.routes[0].clone();
            d.routes.extend((4..count).map(|i| {
                let mut route = route.clone();
                route.name = format!("r{i}").into();
                route.path_prefix = format!("/{i}");
                route
            }));
        })
    };
    let versions = |count: usize| {
        failures_after(|d| {
            let mut version = d.services[0].versions[0].clone();
            version.share = 0;
            d.services[0].versions.extend((1..count).map(|i| {
                let mut version = version.clone();
                version.name = format!("x{i}").into();
                version
            }));
        })
    };
    expect_that!(services(1_000), is_empty());
    expect_that!(services(1_001), len(eq(1)));
    expect_that!(routes(10_000), is_empty());
    expect_that!(routes(10_001), len(eq(1)));
    expect_that!(versions(16), is_empty());
    expect_that!(versions(17), len(eq(1)));
}

/// Guards against a valid document that is too large for one message between nodes.
#[gtest]
fn validate_encoded_size() {
    let failures = failures_after(|d| {
        let route = d.routes[0].clone();
        d.routes.extend((0..9_000).map(|i| {
            let mut route = route.clone();
            route.name = format!("r{i}").into();
            route.path_prefix = format!("/{i}/{}", "p".repeat(200));
            route
        }));
    });
    expect_that!(failures, len(eq(1)));
    expect_that!(failures[0].text, contains_substring("bytes encoded"));
}

/// Guards against a digest or `since` that depends on the order of sections in the text.
#[gtest]
fn normalise_order() {
    let mut reversed = registry();
    reversed.services.reverse();
    reversed.routes.reverse();
    reversed.services[0].versions.reverse();
    normalise(&mut reversed);
    expect_that!(reversed, eq(&registry()));
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a panic on text from an operator or a peer.
    #[test]
    fn parse_document_arbitrary_text(text in any::<String>()) {
        let _ = parse_document(&text, "f");
    }

    /// Mutates a valid document, since arbitrary text seldom gets past the syntax.
    #[test]
    fn parse_document_mutated_text(at in any::<prop::sample::Index>(), cut in 0usize..40,
                                   insert in "[\\[\\]{}\",:0-9a-z\u{e9} ]{0,6}") {
        let mut chars: Vec<char> = example("registry").chars().collect();
        let start = at.index(chars.len());
        let end = (start + cut).min(chars.len());
        chars.splice(start..end, insert.chars());
        let text: String = chars.into_iter().collect();
        if let Ok(document) = parse_document(&text, "f") {
            prop_assert!(validate(&document).is_ok());
        }
    }
}
