//! Settings of a sidecar.

use std::fs;

use googletest::prelude::*;
use sycamorewick::sidecar::settings;

const SETTINGS: &str = r#"{
  // Values that the platform fills in.
  "id": "side-accra-a-1", "region": "accra", "failure_domain": "accra-a", "service": "registry",
  "backend_addr": "127.0.0.1:8147", "caller_addr": "127.0.0.1:8141", "node_addr": "127.0.0.1:8145",
  "ready_addr": "127.0.0.1:8140", "heartbeat_addr": "127.0.0.1:8146", "metrics_addr": "127.0.0.1:9464",
  "store_addr": "127.0.0.1:8142", "heartbeat_interval_ms": 1500, "config_within_ms": 2000,
  "stop_within_s": 6.0, "cpu_share": 0.2, "link_mbps": 1000.0,
  "retry_ratio": 0.2, "retry_slack": 56, "retry_window_s": 10
}"#;

/// Guards against a settings template with missing or unknown fields.
#[gtest]
fn parse_template_fields() {
    let template = fs::read_to_string("platform/settings.template.jsonc").expect("the template");
    for field in settings::field_names() {
        expect_true!(template.contains(&format!("\"{field}\": ")), "{field}");
    }
    let fields = template
        .lines()
        .filter(|line| line.contains("\": "))
        .count();
    expect_that!(fields, eq(settings::field_names().len()));
}

/// Guards against values that are converted from a wrong unit.
#[gtest]
fn parse_units() {
    let settings = settings::parse(SETTINGS, "test").expect("valid settings");
    expect_that!(settings.stop_within().as_secs(), eq(6));
    expect_that!(settings.heartbeat_interval().as_millis(), eq(1_500));
    expect_that!(settings.retry_budget().window.as_secs(), eq(10));
    expect_that!(settings.capacity(), eq(20_000));
}

/// Guards against accepting invalid settings.
#[gtest]
fn parse_failures() {
    for (found, invalid) in [
        (r#""stop_within_s": 6.0"#, r#""stop_within_s": 0"#),
        (r#""retry_ratio": 0.2"#, r#""retry_ratio": "much""#),
        (r#""127.0.0.1:8142""#, r#""nowhere""#),
        (r#""cpu_share": 0.2,"#, ""),
        (r#""cpu_share": 0.2"#, r#""cpu_share": 0.2, "unknown": 1"#),
    ] {
        let text = SETTINGS.replacen(found, invalid, 1);
        expect_true!(settings::parse(&text, "test").is_err(), "{invalid}");
    }
}
