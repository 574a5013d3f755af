//! Adapter to the platform: names and formats.

mod name_common;

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use googletest::prelude::*;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;
use sycamorewick::platform::config;
use sycamorewick::platform::config::OperatorKey;
use sycamorewick::platform::heartbeat;
use sycamorewick::platform::heartbeat::BackendCall;
use sycamorewick::platform::requests;
use sycamorewick::platform::requests::Execution;
use sycamorewick::protocol::fleet::BackendPhase;
use sycamorewick::protocol::fleet::MoveState;
use sycamorewick::protocol::mesh::KeyHash;
use sycamorewick::protocol::mesh::MoveOrder;
use sycamorewick::state::routing_table;

const CONFIG: &str = r#"{"version":"0000000c","routes":{
    "r-claims":{"host":"a.example","prefix":"/claims/","kind":"unsafe","timeout-ms":1200,"slo-ms":300,"priority":1,"service":"registry","attempts":2},
    "r-lookup":{"host":"a.example","prefix":"/wrecks/","kind":"safe","timeout-ms":1000,"slo-ms":250,"priority":2,"split":[{"service":"registry","weight":90},{"service":"archive","weight":10}],"attempts":2}},
    "services":{"registry":{"health-path":"/healthz","max-conns":110},"archive":{"health-path":"/healthz","max-conns":110}},
    "limits":{"header-bytes":16384,"body-bytes":1024,"header-ms":3000,"idle-ms":15000}}"#;

/// Guards against a version that is parsed as a decimal number, and against swapped fields.
#[gtest]
fn read_config_fields() {
    let parsed = config::read_config(CONFIG.as_bytes()).expect("a valid configuration");
    expect_that!(parsed.unknown_kinds.len(), eq(0));
    let config = parsed.config;
    expect_that!(config.version, eq(12));
    expect_that!(config.limits.body_bytes, eq(1_024));
    let claims = &config.routes[0];
    expect_false!(claims.idempotent);
    expect_that!(claims.objective, eq(Duration::from_millis(300)));
    expect_that!(claims.timeout, eq(Duration::from_millis(1_200)));
    expect_that!(claims.targets.len(), eq(1));
    let weights: Vec<u32> = config.routes[1]
        .targets
        .iter()
        .map(|(_, weight)| *weight)
        .collect();
    expect_that!(weights, eq(&vec![90_000, 10_000]));
}

/// Guards against using a part of a configuration that is truncated, invalid, or refers to an unknown
/// service.
#[gtest]
fn read_config_invalid() {
    let truncated = &CONFIG.as_bytes()[..CONFIG.len() / 2];
    expect_that!(config::read_config(truncated).is_err(), eq(true));
    for (found, invalid) in [
        (
            r#""service":"registry","attempts""#,
            r#""service":"unknown","attempts""#,
        ),
        (r#""kind":"unsafe""#, r#""kind":7"#),
        (r#""kind":"unsafe","#, ""),
        (r#""host":"a.example""#, r#""host":"""#),
        (r#""timeout-ms":1200"#, r#""timeout-ms":-1"#),
        (r#""version":"0000000c""#, r#""version":"latest""#),
    ] {
        let text = CONFIG.replacen(found, invalid, 1);
        expect_that!(
            config::read_config(text.as_bytes()).is_err(),
            eq(true),
            "{invalid}"
        );
    }
}

/// Guards against a configuration that is refused whole because one route has a kind that this version
/// does not know, and against running such requests, or uploads, more than once.
#[gtest]
fn read_config_kinds() {
    for (kind, unknown) in [("upload", vec![]), ("unsafe", vec![]), ("odd", vec!["odd"])] {
        let text = CONFIG.replacen(r#""kind":"unsafe""#, &format!(r#""kind":"{kind}""#), 1);
        let parsed = config::read_config(text.as_bytes()).expect("a valid configuration");
        expect_that!(parsed.config.routes.len(), eq(2), "{kind}");
        expect_that!(parsed.config.routes[0].idempotent, eq(false), "{kind}");
        expect_that!(parsed.config.routes[1].idempotent, eq(true), "{kind}");
        expect_that!(parsed.unknown_kinds, eq(&unknown), "{kind}");
    }
}

/// Guards against a process that ends because a number of a configuration or order is beyond the range
/// of a duration or of a sum of weights.
#[gtest]
fn read_config_numbers_out_of_range() {
    let arrived = Duration::from_hours(1);
    for (found, number) in [
        (r#""timeout-ms":1200"#, r#""timeout-ms":1e300"#),
        (r#""slo-ms":300"#, r#""slo-ms":1e300"#),
        (r#""weight":90"#, r#""weight":1e300"#),
    ] {
        let text = CONFIG.replacen(found, number, 1);
        let config = config::read_config(text.as_bytes()).expect(number).config;
        for route in &config.routes {
            expect_true!(arrived.checked_add(route.timeout).is_some(), "{number}");
            expect_true!(arrived.checked_add(route.objective).is_some(), "{number}");
            let service = routing_table::choose_service(route, 0.5);
            expect_false!(service.as_str().is_empty(), "{number}");
        }
    }
    let lookup = CONFIG.replacen(r#""weight":10"#, r#""weight":1e300"#, 1);
    let lookup = lookup.replacen(r#""weight":90"#, r#""weight":1e300"#, 1);
    let config = config::read_config(lookup.as_bytes())
        .expect("weights")
        .config;
    let services =
        [0.2, 0.8].map(|at| routing_table::choose_service(&config.routes[1], at).as_str());
    expect_that!(services, eq(["registry", "archive"]));
    let body = br#"{"service":"registry","target":"v2","step-s":1e300}"#;
    let order = config::read_order(body).expect("an order");
    expect_true!(arrived.checked_add(order.within).is_some());
}

/// Guards against a configuration that is not used at all since a priority or a number of attempts has no place in a
/// byte.
#[gtest]
fn read_config_large_counts() {
    let text = CONFIG.replacen(r#""limits""#, TENANTS, 1);
    let read = |found: &str, replaced: &str| {
        let text = text.replacen(found, replaced, 1);
        config::read_config(text.as_bytes()).expect(replaced).config
    };
    let config = read(r#""priority":1,"service""#, r#""priority":1000,"service""#);
    let priorities: Vec<u8> = config.routes.iter().map(|route| route.priority).collect();
    expect_that!(priorities, elements_are![eq(&255), eq(&2)]);
    let config = read(r#""attempts":2"#, r#""attempts":300"#);
    expect_that!(config.routes[0].max_attempts, eq(255));
    let config = read(r#""priority":3"#, r#""priority":256"#);
    expect_that!(config.workspaces[0].priority, eq(255));
}

/// Guards against a process that ends, or that stops reading, because of one record of another writer:
/// nested deeply, with a number out of range, or with fields of another type.
#[gtest]
fn read_hostile_records() {
    for depth in [10, 1_000, 100_000] {
        let nested = format!("{}{}", "[".repeat(depth), "]".repeat(depth));
        let skipped = CONFIG.replacen(
            r#""health-path""#,
            &format!(r#""odd":{nested},"health-path""#),
            1,
        );
        let config = config::read_config(skipped.as_bytes());
        expect_that!(config.is_ok(), eq(depth < 100), "depth {depth}");
        expect_true!(config::read_config(nested.as_bytes()).is_err());
        expect_true!(config::read_order(nested.as_bytes()).is_err());
        expect_true!(heartbeat::read_body("i-1", nested.as_bytes()).is_err());
    }
    for number in [
        "1e400",
        "-1",
        "18446744073709551616",
        "99999999999999999999",
    ] {
        let body = format!(
            r#"{{"born":{number},"info":{{"service":"a","version":"v1","slots":{number}}},"status":{{"state":"ready","seq":1}}}}"#
        );
        expect_true!(heartbeat::read_body("i-1", body.as_bytes()).is_err());
    }
}

/// Guards against treating another record as a configuration.
#[gtest]
fn read_key_kinds() {
    expect_that!(config::read_key("config"), some(eq(&OperatorKey::Config)));
    expect_that!(
        config::read_key("rollout/registry"),
        some(eq(&OperatorKey::Move("registry")))
    );
    expect_that!(config::read_key("other"), none());
}

fn order() -> MoveOrder {
    let body = br#"{"service":"registry","target":"v2","step-s":12}"#;
    config::read_order(body).expect("a valid order")
}

/// Guards against the result of an earlier order that ends a later one with the same target.
#[gtest]
fn read_final_result_of_order() {
    let order = order();
    expect_that!(order.within, eq(Duration::from_secs(12)));
    let result = config::write_result(&order, 4, MoveState::Reverted);
    let read = |offset| config::read_final_result(&order, offset, &result);
    expect_that!(read(4), some(eq(MoveState::Reverted)));
    expect_that!(read(9), none());
    let running = config::write_result(&order, 4, MoveState::Step(2));
    expect_that!(config::read_final_result(&order, 4, &running), none());
}

/// Guards against the result of an earlier order that hides that the running one has none.
#[gtest]
fn is_result_of_order() {
    let order = order();
    let running = config::write_result(&order, 4, MoveState::Step(2));
    expect_true!(config::is_result_of(&order, 4, &running));
    expect_false!(config::is_result_of(&order, 9, &running));
    expect_false!(config::is_result_of(&order, 4, b"{"));
}

/// Guards against accepting a heartbeat with a missing or invalid field.
#[gtest]
fn read_body_of_heartbeat() {
    let body = r#"{"address":"10.0.0.9:80","born":1700000000000,"info":{"service":"registry","version":"v1","zone":"a","slots":12},"status":{"state":"draining","seq":4,"cold-left-ms":250}}"#;
    let read = heartbeat::read_body("i-1", body.as_bytes()).expect("a valid heartbeat");
    expect_that!(read.addr, eq(SocketAddr::from(([10, 0, 0, 9], 80))));
    let report = read.report;
    expect_that!(report.phase, eq(BackendPhase::Draining));
    expect_that!(report.born, eq(1_700_000_000_000));
    expect_that!(report.cold_left_ms, eq(250));
    for (found, invalid) in [
        (r#""slots":12"#, r#""slots":"many""#),
        (r#""state":"draining""#, r#""state":"gone""#),
        (r#""seq":4"#, r#""sequence":4"#),
        (r#""service":"registry","#, ""),
        (r#""address":"10.0.0.9:80","#, ""),
        (
            r#""address":"10.0.0.9:80""#,
            r#""address":"10.0.0.9:70000""#,
        ),
        (r#""slots":12"#, r#""slots":0"#),
    ] {
        let text = body.replacen(found, invalid, 1);
        expect_that!(
            heartbeat::read_body("i-1", text.as_bytes()).is_err(),
            eq(true),
            "{invalid}"
        );
    }
    expect_that!(heartbeat::read_body("", body.as_bytes()).is_err(), eq(true));
}

/// Guards against a deregistration with an unreadable body that ends the current backend server.
#[gtest]
fn read_deregistration_bodies() {
    let read = |body: &str| heartbeat::read_deregistration(body.as_bytes());
    expect_that!(read(""), eq(&Ok(None)));
    expect_that!(read("{}"), eq(&Ok(None)));
    let named = r#"{"born":1700000000000}"#;
    expect_that!(read(named), eq(&Ok(Some(1_700_000_000_000))));
    for body in [
        r#"{"born":"now"}"#,
        r#"{"born":-1}"#,
        r#"{"born":null}"#,
        "{",
        "\u{0}",
    ] {
        expect_true!(read(body).is_err(), "{body:?}");
    }
}

/// Guards against treating a deregistration as a heartbeat.
#[gtest]
fn read_path_calls() {
    let heartbeat = heartbeat::read_path("/sycamorewick/Instances.Heartbeat/i-1");
    expect_that!(heartbeat, some(eq(&BackendCall::Heartbeat("i-1".into()))));
    let deregister = heartbeat::read_path("/sycamorewick/Instances.Deregister/i-1");
    expect_that!(deregister, some(eq(&BackendCall::Deregister("i-1".into()))));
    expect_that!(heartbeat::read_path("/other"), none());
}

/// Guards against a backend server that refuses all its requests, since they expect its id as the path of its heartbeats
/// encodes it.
#[gtest]
fn read_path_ids() {
    let mut ids = name_common::any_names(7, 500);
    ids.extend(name_common::sendable_names(7, 100));
    for id in &ids {
        let encoded = utf8_percent_encode(id, NON_ALPHANUMERIC);
        let path = format!("/sycamorewick/Instances.Heartbeat/{encoded}");
        let expected = BackendCall::Heartbeat(id.as_str().into());
        expect_that!(heartbeat::read_path(&path), some(eq(&expected)));
        let path = format!("/sycamorewick/Instances.Deregister/{encoded}");
        let expected = BackendCall::Deregister(id.as_str().into());
        expect_that!(heartbeat::read_path(&path), some(eq(&expected)));
    }
    for id in ["50%", "%zz", "%ff"] {
        let path = format!("/sycamorewick/Instances.Heartbeat/{id}");
        let expected = BackendCall::Heartbeat(id.into());
        expect_that!(heartbeat::read_path(&path), some(eq(&expected)));
    }
}

/// Guards against requests that reach whatever listens at the address of a backend server, since no header can have its
/// id.
#[gtest]
fn read_body_ids() {
    let body = r#"{"address":"127.0.0.1:8080","info":{"service":"a","version":"v1","slots":2},"status":{"state":"ready","seq":1}}"#;
    let read = |id: &str| heartbeat::read_body(id, body.as_bytes());
    for id in name_common::sendable_names(8, 100) {
        let instance = read(&id).map(|heartbeat| heartbeat.report.instance);
        expect_that!(instance.as_deref(), ok(eq(id.as_str())));
        let headers = requests::backend_headers(Duration::from_secs(1), &id);
        let values: Vec<&[u8]> = headers.iter().map(|(_, value)| value.as_bytes()).collect();
        expect_that!(values, elements_are![eq(&&b"1000"[..]), eq(&id.as_bytes())]);
    }
    for id in ["", " i-1", "i-1\t", "i\n1"] {
        expect_true!(read(id).is_err(), "{id:?}");
    }
}

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        headers.insert(
            HeaderName::from_static(name),
            HeaderValue::from_bytes(value.as_bytes()).expect("a value"),
        );
    }
    headers
}

/// Guards against treating a request as not run although its response does not say so, and against
/// accepting a response without a seal.
#[gtest]
fn read_execution_of_responses() {
    let sealed = headers(&[("x-sycamorewick-response-seal", "3e1b")]);
    let refused = headers(&[("x-sycamorewick-not-executed", "1")]);
    let plain = headers(&[]);
    expect_that!(requests::read_execution(200, &sealed), eq(Execution::Ran));
    expect_that!(requests::read_execution(500, &sealed), eq(Execution::Ran));
    expect_that!(
        requests::read_execution(503, &refused),
        eq(Execution::NotRun)
    );
    expect_that!(
        requests::read_execution(503, &plain),
        eq(Execution::Unsealed)
    );
    expect_that!(
        requests::read_execution(200, &plain),
        eq(Execution::Unsealed)
    );
    expect_that!(
        requests::read_execution(421, &plain),
        eq(Execution::OtherInstance)
    );
}

/// Guards against forwarding a client's values of headers that only nodes set.
#[gtest]
fn is_set_by_node_headers() {
    let set = |name| requests::is_set_by_node(&HeaderName::from_static(name));
    expect_true!(set("x-sycamorewick-caller"));
    expect_true!(set("x-sycamorewick-deadline-ms"));
    expect_true!(set("x-sycamorewick-expect-instance"));
    expect_true!(set("x-sycamorewick-credential"));
    expect_true!(set("x-sycamorewick-tenant"));
    expect_false!(set("x-sycamorewick-attempt-id"));
}

/// Guards against a request that is judged by one of several credentials, or by an empty one.
#[gtest]
fn credential_of_requests() {
    let name = HeaderName::from_static("x-sycamorewick-credential");
    let mut sent = HeaderMap::new();
    expect_that!(requests::credential(&sent), none());
    sent.insert(name.clone(), HeaderValue::from_static(""));
    expect_that!(requests::credential(&sent), none());
    sent.insert(name.clone(), HeaderValue::from_static("key-a"));
    let single = requests::credential(&sent);
    expect_that!(single, some(eq(KeyHash::of(b"key-a"))));
    sent.append(name, HeaderValue::from_static("key-b"));
    let both = requests::credential(&sent);
    expect_that!(both, some(eq(KeyHash::of(b"key-a, key-b"))));
}

const TENANTS: &str = r#""tenants":{"birch":{"api-keys":["key-c"],"per-s":4.5,"burst":2,"home-regions":["keta"]},
    "acme":{"api-keys":["key-b","key-a","key-a"],"priority":3}},"limits""#;

/// Guards against tenants in an order that later lookups cannot use, and against a key that is kept itself.
#[gtest]
fn read_config_tenants() {
    let text = CONFIG.replacen(r#""limits""#, TENANTS, 1);
    let config = config::read_config(text.as_bytes()).expect("a valid configuration");
    let tenants = config.config.workspaces;
    let names: Vec<&str> = tenants.iter().map(|tenant| tenant.name.as_str()).collect();
    expect_that!(names, elements_are![eq(&"acme"), eq(&"birch")]);
    expect_that!(tenants[0].priority, eq(3));
    expect_that!(tenants[0].keys.len(), eq(2));
    expect_that!(tenants[0].quota, none());
    expect_that!(tenants[1].keys, elements_are![eq(&KeyHash::of(b"key-c"))]);
    expect_that!(tenants[1].quota.map(|quota| quota.burst), some(eq(2)));
    expect_that!(format!("{tenants:?}"), not(contains_substring("key-")));
}

/// Guards against a key that counts for whichever of two tenants is found first, and against an error text
/// with the key, which is logged.
#[gtest]
fn read_config_shared_key() {
    let text = CONFIG.replacen(r#""limits""#, TENANTS, 1);
    let text = text.replacen("key-c", "key-b", 1);
    let error = config::read_config(text.as_bytes()).expect_err("a shared key");
    expect_that!(error, contains_substring("acme"));
    expect_that!(error, contains_substring("birch"));
    expect_that!(error, not(contains_substring("key-b")));
}

/// Guards against an error text that quotes a key because it stands where something else is expected: the
/// text is logged.
#[gtest]
fn read_config_misplaced_key() {
    for invalid in [
        r#""tenants":"SECRET""#,
        r#""tenants":["SECRET"]"#,
        r#""tenants":{"acme":"SECRET"}"#,
        r#""tenants":{"acme":["SECRET"]}"#,
        r#""tenants":{"acme":{"api-keys":"SECRET"}}"#,
        r#""tenants":{"acme":{"api-keys":{"SECRET":1}}}"#,
        r#""tenants":{"acme":{"api-keys":["SECRET",1]}}"#,
        r#""tenants":{"acme":{"priority":"SECRET"}}"#,
        r#""tenants":{"acme":{"per-s":"SECRET"}}"#,
        r#""tenants":{"acme":{"home-regions":"SECRET"}}"#,
    ] {
        let text = CONFIG.replacen(r#""limits""#, &format!(r#"{invalid},"limits""#), 1);
        let error = config::read_config(text.as_bytes()).expect_err(invalid);
        expect_that!(error, not(contains_substring("SECRET")), "{invalid}");
        expect_that!(error, contains_substring("tenant"), "{invalid}");
    }
}

/// Guards against a tenant whose name costs all others the configuration, and against a name that is read as another
/// one.
#[gtest]
fn read_config_tenant_names() {
    let mut names = name_common::any_names(4, 500);
    names.extend(name_common::sendable_names(4, 100));
    for name in &names {
        let key = serde_json::to_string(name).expect("a JSON text");
        let tenants = format!(r#""tenants":{{{key}:{{}}}},"limits""#);
        let text = CONFIG.replacen(r#""limits""#, &tenants, 1);
        let read = config::read_config(text.as_bytes()).expect(name);
        let tenants = read.config.workspaces.iter();
        let read: Vec<&str> = tenants.map(|tenant| tenant.name.as_str()).collect();
        expect_that!(read, elements_are![eq(&name.as_str())]);
    }
}

/// Guards against a backend server that takes a request for one of another tenant, since its name is changed on the
/// way, and against names that are refused although a header can have them.
#[gtest]
fn workspace_header_values() {
    for name in name_common::sendable_names(5, 500) {
        let header = requests::workspace_header(&name.as_str().into());
        let value = header.map(|(_, value)| value.as_bytes().to_vec());
        expect_that!(value, some(eq(name.as_bytes())), "{name:?}");
    }
    for name in [" acme", "acme ", "acme\t", "a\nb", "a\0", "\u{7f}"] {
        expect_that!(requests::workspace_header(&name.into()), none(), "{name:?}");
    }
}

/// Guards against retry times rounded to whole seconds, which are too late for most callers.
#[gtest]
fn retry_after_fraction() {
    let (_, value) = requests::retry_after(Duration::from_millis(45));
    expect_that!(value.to_str().ok(), some(eq("0.045")));
}

/// Guards against a health response that makes a cold backend server look warm since its header is unreadable, and
/// against a value out of range.
#[gtest]
fn read_health_of_responses() {
    let cold_left =
        |text| requests::read_health(&headers(&[("x-sycamorewick-cold-ms", text)])).cold_left;
    expect_that!(cold_left("0"), some(eq(Duration::ZERO)));
    expect_that!(cold_left("1200"), some(eq(Duration::from_millis(1_200))));
    expect_that!(cold_left("0.4"), some(eq(Duration::from_millis(1))));
    for text in ["", "-1", "NaN", "inf", "soon"] {
        expect_that!(cold_left(text), none(), "{text}");
    }
    expect_that!(cold_left("1e300"), some(anything()));
    let named = requests::read_health(&headers(&[("x-sycamorewick-instance", "b7")]));
    expect_that!(named.instance, some(eq("b7")));
    let named = requests::read_health(&headers(&[("x-sycamorewick-instance", "bé 7")]));
    expect_that!(named.instance, some(eq("bé 7")));
}

/// Guards against a figure that is read from another place of the load header, and against one that is made up where
/// a backend server reports none.
#[gtest]
fn read_work_time_of_responses() {
    let work_time =
        |text| requests::read_work_time(&headers(&[("x-sycamorewick-upstream-load", text)]));
    expect_that!(work_time("3,0,6,250"), some(eq(250)));
    expect_that!(work_time("3, 0, 6, 100"), some(eq(100)));
    for text in ["3,0,6", "3,0,6,", "3,0,6,0", "3,0,6,-5", "3,0,6,fast", ""] {
        expect_that!(work_time(text), none(), "{text}");
    }
    expect_that!(requests::read_work_time(&headers(&[])), none());
}
