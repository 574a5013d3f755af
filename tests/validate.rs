//! Tests of `state::validate`.

use std::path::Path;

use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sycamorewick::protocol::document::Document;
use sycamorewick::protocol::document::Region;
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

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5eed),
        ..ProptestConfig::default()
    }
}

/// Guards against a shipped example that nodes reject.
#[gtest]
fn parse_document_examples() {
    for name in EXAMPLES {
        expect_that!(parse_document(&example(name), name), ok(anything()));
    }
}

/// Guards against a parser structure that differs from the document types: the parser must accept every
/// field that serde writes and keep its value.
#[gtest]
fn parse_document_round_trip() {
    let document = registry();
    let text = serde_json::to_string(&document).unwrap();
    expect_that!(parse_document(&text, "f"), ok(eq(&document)));
}

/// Guards against reports that stop at the first failure or name the wrong position.
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

/// Guards against a failed rule that prevents the check of others, and against field paths that refer to
/// the sorted document instead of the text.
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

/// Guards against parser options that accept more than JSON with comments and trailing commas.
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

/// Guards against unbounded work and unbounded reports on malicious input.
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

/// Guards against a rule that is documented but not checked: each change of a valid text violates
/// exactly one rule, with values just outside of the limits.
#[gtest]
fn parse_document_each_rule() {
    let valid = r#"{
  "regions": [{ "name": "r1", "failure_domains": ["a"] }, { "name": "r2", "failure_domains": ["b"] }],
  "services": [{
    "name": "s", "slots": 1, "cold_start_ms": 600000,
    "versions": [{ "name": "v1", "share": 100 }, { "name": "v2", "share": 0 }],
    "rollout": { "from": "v1", "to": "v2", "start_ms": 1000, "finish_by_ms": 9000,
                 "steps": [10, 20, 50, 100], "hold_s": 604800, "min_calls": 1000000 }
  }],
  "routes": [
    { "name": "x", "host": "*", "methods": ["GET"], "path_prefix": "/", "service": "s",
      "idempotent": true, "deadline_ms": 600000, "attempt_timeout_ms": 600000 },
    { "name": "y", "host": "*", "methods": ["POST"], "path_prefix": "/", "service": "s",
      "idempotent": false, "deadline_ms": 1, "attempt_timeout_ms": 1 }
  ]
}"#;
    expect_that!(parse_document(valid, "f"), ok(anything()));
    let long_name = format!("\"{}\"", "n".repeat(64));
    let long_prefix = format!("\"/{}\"", "p".repeat(256));
    let cases = [
        (
            r#""r1", "failure_domains": ["a"]"#,
            r#""r1", "failure_domains": []"#,
        ),
        (r#""r1""#, r#""""#),
        (r#""r1""#, &long_name),
        (r#""r1""#, r#""r2""#),
        (r#"["a"]"#, r#"["b"]"#),
        (r#"["a"]"#, r#"["a b"]"#),
        (r#""slots": 1"#, r#""slots": 0"#),
        (r#""slots": 1"#, r#""slots": 10001"#),
        (r#""cold_start_ms": 600000"#, r#""cold_start_ms": 600001"#),
        (r#""share": 100"#, r#""share": 99"#),
        (
            r#""share": 100 }"#,
            r#""share": 100 }, { "name": "v1", "share": 0 }"#,
        ),
        (
            r#""share": 100 }, { "name": "v2", "share": 0"#,
            r#""share": 99 }, { "name": "v2", "share": 1"#,
        ),
        (r#""from": "v1""#, r#""from": "v3""#),
        (r#""to": "v2""#, r#""to": "v3""#),
        (r#""to": "v2""#, r#""to": "v1""#),
        ("[10, 20", "[11, 20"),
        ("[10, 20", "[0, 20"),
        ("20, 50", "50, 50"),
        ("50, 100]", "50, 99]"),
        ("[10, 20, 50, 100]", "[]"),
        (
            "9000,\n                 \"steps\": [10, 20, 50, 100]",
            "99000, \"steps\": [1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 100]",
        ),
        (r#""finish_by_ms": 9000"#, r#""finish_by_ms": 8999"#),
        ("604800", "604801"),
        ("1000000", "1000001"),
        ("1000000", "0"),
        (r#""name": "x""#, r#""name": "X""#),
        (r#""name": "x""#, r#""name": "y""#),
        (r#""service": "s""#, r#""service": "t""#),
        (r#""path_prefix": "/""#, r#""path_prefix": "p""#),
        (r#""path_prefix": "/""#, r#""path_prefix": "/?""#),
        (r#""/""#, &long_prefix),
        (r#""host": "*""#, r#""host": "Example.org""#),
        (r#""host": "*""#, r#""host": """#),
        (r#"["GET"]"#, r#"["get"]"#),
        (r#"["GET"]"#, r#"["GET", "GET"]"#),
        (r#"["GET"]"#, r#"["GET", "POST"]"#),
        (r#"["GET"]"#, "[]"),
        (r#""deadline_ms": 600000"#, r#""deadline_ms": 600001"#),
        (r#""deadline_ms": 600000"#, r#""deadline_ms": 599999"#),
        (
            r#""attempt_timeout_ms": 600000"#,
            r#""attempt_timeout_ms": 0"#,
        ),
    ];
    let mut lines = Vec::new();
    for (find, replace) in cases {
        expect_that!(valid, contains_substring(find));
        let failures = parse_document(&valid.replacen(find, replace, 1), "f").unwrap_err();
        expect_that!(failures, len(eq(1)), "{find} to {replace}");
        lines.extend(failures.iter().map(ToString::to_string));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against limits that are off by one: the limit itself is valid, one more is not.
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
    let regions = |count: usize| {
        failures_after(|d| {
            d.regions.truncate(count);
            d.regions.extend((3..count).map(|i| Region {
                name: format!("r{i}").into(),
                failure_domains: vec![format!("d{i}").into()],
            }));
        })
    };
    let methods = |count: u8| {
        failures_after(|d| {
            let letters = (b'A'..b'A' + count).map(char::from);
            d.routes[2].methods = letters.map(String::from).collect();
        })
    };
    expect_that!(regions(0), len(eq(1)));
    expect_that!(regions(16), is_empty());
    expect_that!(regions(17), len(eq(1)));
    expect_that!(methods(16), is_empty());
    expect_that!(methods(17), len(eq(1)));
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

/// Guards against a digest or `since` that depends on the order of entries in the text.
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

    /// Guards against a panic on, and against accepting, a document with random changes; arbitrary text
    /// rarely passes the syntax check.
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
