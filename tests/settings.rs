//! Settings files: which are accepted, and which failures are reported for the others.

use std::fs;
use std::path::Path;

use googletest::prelude::*;
use sycamorewick::settings;
use sycamorewick::settings::LogLevel;

const VALID: &str = r#"{
  "id": "node-1",
  "region": "a",
  "failure_domain": "a-1",
  "request_addr": "192.0.2.1:7401",
  "node_addr": "192.0.2.1:7402",
  "operator_addr": "127.0.0.1:7403",
  "gossip_addr": "192.0.2.1:7402",
  "log_addr": "192.0.2.9:7400",
  "seeds": ["192.0.2.2:7402"],
  "cluster_key_file": "cluster.key",
  "operator_token_file": "operator.token"
}"#;

fn failures(text: &str) -> Vec<String> {
    match settings::parse(text, "node.jsonc") {
        Ok(_) => Vec::new(),
        Err(failures) => failures.iter().map(ToString::to_string).collect(),
    }
}

/// Returns the failures after `from` is replaced by `to` in valid settings.
fn failures_with(from: &str, to: &str) -> Vec<String> {
    assert!(VALID.contains(from), "{from} is not in the valid settings");
    failures(&VALID.replace(from, to))
}

#[gtest]
fn parse_valid_settings_take_defaults() {
    let settings = settings::parse(VALID, "node.jsonc").expect("the settings are valid");
    expect_that!(settings.log_level, eq(LogLevel::Info));
    expect_that!(settings.id.as_str(), eq("node-1"));
}

/// Guards against messages that do not name the position of the error and the allowed values.
#[gtest]
fn parse_names_line_column_field_found_and_allowed() {
    expect_that!(
        failures_with(r#""192.0.2.9:7400""#, "7400"),
        elements_are![eq(
            "3003 invalid field: node.jsonc:9:15: log_addr: found the number 7400, allowed is an \
             IP address with port such as 192.0.2.1:7401"
        )]
    );
}

/// Guards against a check that stops at the first error, so that the operator has to start the node
/// once for each.
#[gtest]
fn parse_reports_all_failures_at_once() {
    let text = VALID
        .replace(r#""region": "a""#, r#""regions": "a""#)
        .replace(r#""seeds": ["#, r#""log_level": "loud", "seeds": [1, "#);
    expect_that!(
        failures(&text),
        unordered_elements_are![
            all![contains_substring("3002"), contains_substring("regions")],
            all![contains_substring("region: the field is missing")],
            all![
                contains_substring("log_level"),
                contains_substring("error, warning, info, debug")
            ],
            all![contains_substring("seeds[0]")],
        ]
    );
}

/// Guards against two listeners of one node on the same address, which otherwise fail only when the
/// node starts.
#[gtest]
fn parse_duplicate_address_is_refused() {
    expect_that!(
        failures_with("127.0.0.1:7403", "192.0.2.1:7401"),
        elements_are![all![
            contains_substring("3004"),
            contains_substring("operator_addr"),
            contains_substring("request_addr already uses")
        ]]
    );
}

/// Guards against a node that listens on a port chosen by the system, which no caller knows.
#[gtest]
fn parse_port_zero_is_refused() {
    expect_that!(
        failures_with("192.0.2.1:7401", "192.0.2.1:0"),
        elements_are![all![
            contains_substring("request_addr"),
            contains_substring("port 0")
        ]]
    );
    expect_that!(
        failures_with("192.0.2.2:7402", "192.0.2.2:0"),
        elements_are![contains_substring("seeds[0]")]
    );
}

/// Guards against a node that advertises an address at which other nodes cannot reach it.
#[gtest]
fn parse_unspecified_node_address_is_refused() {
    expect_that!(
        failures_with(r#""node_addr": "192.0.2.1"#, r#""node_addr": "0.0.0.0"#),
        elements_are![all![
            contains_substring("node_addr"),
            contains_substring("can reach")
        ]]
    );
}

/// Guards against names that are not allowed in a configuration document.
#[gtest]
fn parse_names_follow_rule_of_documents() {
    expect_that!(
        failures_with(r#""a-1""#, r#""A 1""#),
        elements_are![all![
            contains_substring("4:21"),
            contains_substring("failure_domain"),
            contains_substring("a-z")
        ]]
    );
}

/// Guards against settings that are read differently from what the operator meant, because the parser
/// accepts deviations from JSON or a repeated field.
#[gtest]
fn parse_loose_json_is_refused() {
    expect_that!(
        failures_with(r#""id""#, "id"),
        elements_are![contains_substring("3001")]
    );
    expect_that!(failures(""), elements_are![contains_substring("3001")]);
    expect_that!(
        failures_with(r#""id""#, r#""id": "node-2", "id""#),
        elements_are![contains_substring("more than once")]
    );
}

/// Guards against a node that starts without its key and token or with invalid ones.
#[gtest]
fn check_secrets_names_field_and_file() -> googletest::Result<()> {
    let dir = tempfile::tempdir()?;
    let file = dir.path().join("node.jsonc");
    fs::write(&file, VALID)?;
    let settings = settings::load(&file).expect("the settings are valid");
    let texts = |failures: Vec<sycamorewick::result_code::Failure>| -> Vec<String> {
        failures.into_iter().map(|failure| failure.text).collect()
    };
    let missing = settings::check_secrets(&settings).expect_err("the files are absent");
    expect_that!(
        texts(missing),
        elements_are![
            all![
                contains_substring("cluster_key_file"),
                contains_substring("cannot be read")
            ],
            all![
                contains_substring("operator_token_file"),
                contains_substring("cannot be read")
            ],
        ]
    );
    fs::write(dir.path().join("cluster.key"), "short\n")?;
    fs::write(dir.path().join("operator.token"), " \n")?;
    let unusable = settings::check_secrets(&settings).expect_err("the files are unusable");
    expect_that!(unusable.len(), eq(2));
    fs::write(
        dir.path().join("cluster.key"),
        "0123456789abcdef0123456789\n",
    )?;
    fs::write(dir.path().join("operator.token"), "token\n")?;
    expect_true!(settings::check_secrets(&settings).is_ok());
    Ok(())
}

/// Guards against examples that the current program refuses.
#[gtest]
fn load_examples_are_valid() {
    for name in ["registry", "booth"] {
        let file = format!("{}/examples/{name}/node.jsonc", env!("CARGO_MANIFEST_DIR"));
        expect_that!(settings::load(Path::new(&file)).err(), none());
    }
}
