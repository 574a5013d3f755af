//! `sycamorewick explain`

use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use actix_http::header::CONTENT_TYPE;
use actix_http::header::HeaderValue;
use actix_http::uri::PathAndQuery;
use serde_json::Value;
use sycamorewick::protocol::codec::MAX_MESSAGE_BYTES;
use sycamorewick::protocol::explain::EXPLAIN_PATH;
use sycamorewick::protocol::explain::ExplainRequest;
use sycamorewick::protocol::explain::NotChosen;
use sycamorewick::protocol::mesh::KeyHash;
use sycamorewick::transport::http_client::HttpClient;
use sycamorewick::transport::http_client::OutgoingRequest;

use crate::commands::output::Output;
use crate::commands::output::Style;
use crate::commands::output::print_line;
use crate::commands::table::Table;
use crate::config::ExplainOptions;
use crate::exit_code::ExitCode;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest key file. All header fields of a request have at most 16 KiB by default, and a key is one of them.
const MAX_KEY_FILE_BYTES: u64 = 8 << 10;

/// Why a command failed.
type Failed = (String, ExitCode);

/// Asks a sidecar where it would send a request.
pub async fn run(addr: SocketAddr, options: &ExplainOptions, output: Output) -> ExitCode {
    let explanation = match request(options) {
        Ok(request) => ask(addr, &request).await,
        Err(failed) => Err(failed),
    };
    match explanation {
        Ok(explanation) if output.json => {
            print_line(&explanation.to_string());
        }
        Ok(explanation) => print(&explanation, output),
        Err((text, code)) => return output.print_failure(&text, code),
    }
    ExitCode::Success
}

fn request(options: &ExplainOptions) -> Result<ExplainRequest, Failed> {
    let key_hash = options.key_file.as_deref().map(read_key).transpose()?;
    let request = ExplainRequest {
        host: options.host.clone(),
        path: options.path.clone(),
        key_hash,
        workspace: options.workspace.as_deref().map(Into::into),
        body_bytes: usize::try_from(options.body_bytes).unwrap_or(usize::MAX),
        time_left_ms: options.time_left_ms,
    };
    request.check().map_err(|text| (text, ExitCode::Usage))?;
    Ok(request)
}

/// Reads a credential and returns its hash, so that the credential itself is not sent.
fn read_key(file: &Path) -> Result<KeyHash, Failed> {
    let name = file.display();
    let failed = |text| (text, ExitCode::GeneralError);
    let mut key = Vec::new();
    let opened = File::open(file);
    // A device may have no end.
    let read = opened.and_then(|file| file.take(MAX_KEY_FILE_BYTES + 1).read_to_end(&mut key));
    let bytes = read.map_err(|e| failed(format!("cannot read key file {name}: {e}")))?;
    if u64::try_from(bytes).unwrap_or(u64::MAX) > MAX_KEY_FILE_BYTES {
        let text = format!("key file {name} has more than {MAX_KEY_FILE_BYTES} bytes");
        return Err((text, ExitCode::Usage));
    }
    match key.trim_ascii() {
        [] => Err(failed(format!("key file {name} is empty"))),
        key => Ok(KeyHash::of(key)),
    }
}

async fn ask(addr: SocketAddr, request: &ExplainRequest) -> Result<Value, Failed> {
    let general = |text| (text, ExitCode::GeneralError);
    let body = serde_json::to_vec(request).map_err(|e| general(e.to_string()))?;
    let outgoing = OutgoingRequest {
        method: Method::POST,
        target: PathAndQuery::from_static(EXPLAIN_PATH),
        headers: vec![(CONTENT_TYPE, HeaderValue::from_static("application/json"))],
        body: body.into(),
        timeout: REQUEST_TIMEOUT,
        max_response_bytes: MAX_MESSAGE_BYTES,
    };
    let response = HttpClient::new(1).send(addr, outgoing).await.map_err(|e| {
        let text = format!(
            "the node at {addr} does not answer: {e}; is it running, and is this its metrics port?"
        );
        (text, ExitCode::Unreachable)
    })?;
    let message = String::from_utf8_lossy(&response.body).trim().to_owned();
    match response.status {
        // A node of an earlier build sends its metrics.
        StatusCode::OK => serde_json::from_slice(&response.body).map_err(|_| {
            let text = format!(
                "the response of {addr} is not JSON; is this the metrics port of a sidecar that knows \
                 the command?"
            );
            general(text)
        }),
        StatusCode::BAD_REQUEST => Err((message, ExitCode::Usage)),
        status => {
            let text = format!("the node at {addr} responds with {status}: {message}");
            Err(general(text))
        }
    }
}

fn print(explanation: &Value, output: Output) {
    print_line(&config_line(explanation));
    print_line(&route_line(&explanation["route"]));
    if let Some(line) = workspace_line(&explanation["workspace"]) {
        print_line(&line);
    }
    if let Some(service) = explanation["service"].as_str() {
        print_line(&service_line(service, explanation));
    }
    if let Some(regions) = explanation["regions"].as_array() {
        let regions: Vec<&str> = regions.iter().map(text).collect();
        print_line(&format!("allowed regions: {}", regions.join(", ")));
    }
    if let Some(millis) = explanation["time_limit_ms"].as_u64() {
        print_line(&format!("time limit: {millis} ms"));
    }
    print_candidates(explanation, output);
    let chosen = &explanation["chosen"];
    let refusal = &explanation["refusal"];
    if chosen.is_object() {
        let sent = output.paint(Style::Success, "sent to");
        print_line(&format!("{sent} {}", chosen_text(chosen)));
    } else {
        let refused = output.paint(Style::Error, "refused");
        print_line(&format!("{refused}: {}", refusal_text(refusal)));
    }
}

fn config_line(explanation: &Value) -> String {
    let node = text(&explanation["node"]);
    let config = &explanation["config"];
    let Some(version) = config["version"].as_u64() else {
        return format!("node {node}: no configuration");
    };
    let age = config["age_ms"].as_u64();
    let age = age.map_or("age unknown".to_owned(), |age| {
        format!("confirmed {age} ms ago")
    });
    format!("node {node}: configuration {version}, {age}")
}

fn route_line(route: &Value) -> String {
    if route.is_null() {
        return "route: none".to_owned();
    }
    let (name, host, prefix) = (
        text(&route["name"]),
        text(&route["host"]),
        text(&route["prefix"]),
    );
    let public = if route["is_public"] == true {
        ", public"
    } else {
        ""
    };
    format!("route: {name} ({host}{prefix}{public})")
}

fn workspace_line(workspace: &Value) -> Option<String> {
    let name = workspace["name"].as_str()?;
    let priority = &workspace["priority"];
    let quota = &workspace["quota"];
    let Some(per_s) = quota["per_s"].as_f64() else {
        return Some(format!("workspace: {name}, priority {priority}, no quota"));
    };
    let age = quota["totals_age_ms"].as_u64();
    let age = age.map_or("no totals yet".to_owned(), |age| {
        format!("totals {age} ms old")
    });
    Some(format!(
        "workspace: {name}, priority {priority}, quota {per_s} a second and a burst of {}; share of \
         this node {:.4}, tokens {:.2}, level {:.1}, {age}",
        quota["burst"],
        number(&quota["share"]),
        number(&quota["tokens"]),
        number(&quota["level"]),
    ))
}

fn service_line(service: &str, explanation: &Value) -> String {
    let version = explanation["chosen"]["version"].as_str();
    let version = version.map_or(String::new(), |version| format!(" version {version}"));
    let rollout = &explanation["rollout"];
    let Some(target) = rollout["target"].as_str() else {
        return format!("service: {service}{version}");
    };
    let state = if rollout["is_taken_back"] == true {
        ", taken back"
    } else {
        ""
    };
    let share = number(&rollout["share"]);
    format!("service: {service}{version}; rollout to {target}, share {share:.2}{state}")
}

fn print_candidates(explanation: &Value, output: Output) {
    let mut candidates: Vec<&Value> = explanation["candidates"]
        .as_array()
        .map_or(Vec::new(), |candidates| candidates.iter().collect());
    if candidates.is_empty() {
        return;
    }
    // The chosen node first, then those that it was compared with; the sort keeps the order by name.
    let rank = |candidate: &Value| {
        let cost = candidate["cost_ms"].as_f64();
        (
            !candidate["not_chosen"].is_null(),
            cost.unwrap_or(f64::INFINITY),
        )
    };
    candidates.sort_by(|a, b| {
        rank(a)
            .partial_cmp(&rank(b))
            .unwrap_or(std::cmp::Ordering::Equal)
    });
    let mut table = Table::new(&[
        "NODE",
        "FAILURE DOMAIN",
        "REGION",
        "VERSION",
        "STATE",
        "TIME MS",
        "COST MS",
        "LOAD AGE MS",
        "RESULT",
    ]);
    for candidate in candidates {
        let decimal = |field: &str| {
            let value = candidate[field].as_f64();
            value.map_or("-".to_owned(), |value| format!("{value:.1}"))
        };
        let age = candidate["load_age_ms"].as_u64();
        let (result, style) = if candidate["not_chosen"].is_null() {
            ("chosen".to_owned(), Some(Style::Success))
        } else {
            (not_chosen_text(&candidate["not_chosen"]), None)
        };
        let cells = vec![
            text(&candidate["node"]).to_owned(),
            text(&candidate["failure_domain"]).to_owned(),
            text(&candidate["region"]).to_owned(),
            candidate["version"].as_str().unwrap_or("-").to_owned(),
            text(&candidate["availability"]).to_owned(),
            decimal("time_ms"),
            decimal("cost_ms"),
            age.map_or("-".to_owned(), |age| age.to_string()),
            result,
        ];
        table.add_row(cells, style);
    }
    print_line("");
    table.print(output);
    print_line("");
}

/// A node of a later build may know further reasons, which are shown as they are.
fn not_chosen_text(reason: &Value) -> String {
    let known: Option<NotChosen> = serde_json::from_value(reason.clone()).ok();
    known.map_or_else(|| text(reason).to_owned(), |known| known.text().to_owned())
}

fn chosen_text(chosen: &Value) -> String {
    let node = text(&chosen["node"]);
    let share = number(&chosen["spillover_share"]);
    if chosen["is_spillover"] == true {
        format!("{node} as spillover, share {share:.2}")
    } else if share > 0.0 {
        format!("{node}, not spillover (share of calls that may leave: {share:.2})")
    } else {
        format!("{node}, not spillover")
    }
}

fn refusal_text(refusal: &Value) -> String {
    let (status, code) = (&refusal["status"], &refusal["code"]);
    let answer = format!("{status}, code {code} {}", text(&refusal["text"]));
    match refusal["retry_after_ms"].as_f64() {
        Some(millis) => format!("{answer}, Retry-After {:.3} s", millis / 1e3),
        None => answer,
    }
}

/// Returns a text of the explanation, or `?` if it is absent.
fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("?")
}

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or_default()
}
