//! `sycamorewick status`

use std::time::Duration;

use serde_json::Value;

use crate::commands::operator_client::OperatorClient;
use crate::commands::output::Output;
use crate::commands::output::Style;
use crate::commands::output::print_line;
use crate::commands::table::Table;
use crate::commands::table::format_time;
use crate::commands::watch::outcome_line;
use crate::config::OperatorAccess;
use crate::exit_code::ExitCode;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest fleet of which every member is listed.
const MAX_LISTED_MEMBERS: usize = 50;

/// Shows the state of a node and of the fleet as that node sees it.
pub async fn run(access: &OperatorAccess, output: Output) -> ExitCode {
    let response = match OperatorClient::new(access) {
        Ok(client) => client.get("/v1/status", REQUEST_TIMEOUT).await,
        Err(e) => Err(e),
    };
    match response {
        Ok(status) if output.json => {
            print_line(&status.to_string());
        }
        Ok(status) => print(&status, output),
        Err(e) => return output.print_failure(&e.to_string(), e.exit_code()),
    }
    ExitCode::Success
}

fn print(status: &Value, output: Output) {
    print_node(status, output);
    print_fleet(status, output);
    print_services(status, output);
    print_rollbacks(status, output);
    print_line("");
    print_line(&output.paint(Style::Heading, "RECENT OUTCOMES"));
    let outcomes = list(&status["recent_outcomes"]);
    if outcomes.is_empty() {
        print_line("none");
    }
    for outcome in outcomes {
        print_line(&outcome_line(outcome));
    }
}

fn print_node(status: &Value, output: Output) {
    let ready = if status["ready"] == true {
        output.paint(Style::Success, "ready")
    } else {
        output.paint(Style::Warning, "not ready")
    };
    let version = match status["version"].as_u64() {
        Some(0) | None => "no configuration is in force".to_owned(),
        Some(version) => format!("version {version} is in force"),
    };
    print_line(&format!("node {}: {ready}, {version}", text(&status["id"])));
    if let Some(seconds) = status["log_failing_s"].as_u64() {
        let line = format!("the log has not responded to this node for {seconds} s");
        print_line(&output.paint(Style::Error, &line));
    }
    let waiting = status["outcomes_waiting_for_the_log"].as_u64();
    if let Some(waiting) = waiting.filter(|&waiting| waiting > 0) {
        print_line(&format!("{waiting} outcomes are waiting for the log"));
    }
    let violations = status["invariant_violations"].as_u64();
    if let Some(violations) = violations.filter(|&violations| violations > 0) {
        let line = format!("{violations} invariant violations; report them as a bug");
        print_line(&output.paint(Style::Error, &line));
    }
}

fn print_fleet(status: &Value, output: Output) {
    let members = list(&status["members"]);
    print_line("");
    print_line(&format!(
        "{} of {} nodes are alive",
        status["alive"],
        members.len()
    ));
    let large = members.len() > MAX_LISTED_MEMBERS;
    if large {
        print_failure_domains(members, output);
        print_line("");
        print_line("nodes that are not alive, and those whose backend server is down:");
    }
    let healthy = |member: &Value| member["status"] == "alive" && member["backend"]["up"] != false;
    let mut table = Table::new(&[
        "NODE",
        "REGION",
        "FAILURE DOMAIN",
        "BACKEND SERVER",
        "STATUS",
    ]);
    for member in members.iter().filter(|m| !large || !healthy(m)) {
        let backend = &member["backend"];
        let server = if backend.is_null() {
            "-".to_owned()
        } else {
            let up = if backend["up"] == true { "up" } else { "down" };
            let (service, version) = (text(&backend["service"]), text(&backend["version"]));
            format!("{service} {version} {up}")
        };
        let state = text(&member["status"]);
        let style = match state {
            "alive" => Style::Success,
            "dead" => Style::Error,
            _ => Style::Warning,
        };
        table.add_row(
            vec![
                text(&member["id"]).to_owned(),
                text(&member["region"]).to_owned(),
                text(&member["failure_domain"]).to_owned(),
                server,
                state.to_owned(),
            ],
            Some(style),
        );
    }
    table.print(output);
}

/// Prints one row per failure domain.
fn print_failure_domains(members: &[Value], output: Output) {
    let mut domains: Vec<(&str, &str)> = members
        .iter()
        .map(|member| (text(&member["region"]), text(&member["failure_domain"])))
        .collect();
    domains.sort_unstable();
    domains.dedup();
    let mut table = Table::new(&["REGION", "FAILURE DOMAIN", "NODES", "SERVERS UP", "ALIVE"]);
    for (region, domain) in domains {
        let in_domain = || members.iter().filter(|m| m["failure_domain"] == domain);
        let total = in_domain().count();
        let alive = in_domain().filter(|m| m["status"] == "alive").count();
        let up = in_domain().filter(|m| m["backend"]["up"] == true).count();
        let style = if alive == total {
            Style::Success
        } else {
            Style::Error
        };
        let cells = vec![
            region.to_owned(),
            domain.to_owned(),
            total.to_string(),
            up.to_string(),
            alive.to_string(),
        ];
        table.add_row(cells, Some(style));
    }
    table.print(output);
}

fn print_services(status: &Value, output: Output) {
    print_line("");
    let mut table = Table::new(&["SERVICE", "SHARES", "ROLLOUT"]);
    for service in list(&status["services"]) {
        let shares: Vec<String> = list(&service["shares"])
            .iter()
            .map(|share| format!("{} {}%", text(&share["version"]), share["share"]))
            .collect();
        let (rollout, style) = describe_rollout(&service["rollout"]);
        let name = text(&service["service"]).to_owned();
        table.add_row(vec![name, shares.join(", "), rollout], style);
    }
    table.print(output);
}

fn describe_rollout(rollout: &Value) -> (String, Option<Style>) {
    if rollout.is_null() {
        return ("-".into(), None);
    }
    let phase = text(&rollout["phase"]);
    let style = match phase {
        "complete" => Some(Style::Success),
        "taken back" => Some(Style::Error),
        "waiting" => Some(Style::Warning),
        _ => None,
    };
    let (from, to) = (text(&rollout["from"]), text(&rollout["to"]));
    let until = format_time(&rollout["finish_by_ms"]);
    let line = if let Some(step) = rollout["step"].as_u64() {
        let steps = list(&rollout["steps"]).len();
        let step = step + 1;
        format!("{from} to {to}, {phase}, step {step} of {steps}, until {until}")
    } else {
        let start = format_time(&rollout["start_ms"]);
        format!("{from} to {to}, {phase}, {start} until {until}")
    };
    match rollout["stalled"].as_str() {
        Some(stalled) => (format!("{line}, stalled: {stalled}"), Some(Style::Warning)),
        None => (line, style),
    }
}

fn print_rollbacks(status: &Value, output: Output) {
    for rollback in list(&status["rollbacks"]) {
        let key = &rollback["key"];
        let line = format!(
            "{} {} was taken back at {}: {}",
            text(&key["service"]),
            text(&key["to"]),
            format_time(&rollback["at"]),
            text(&rollback["cause"])
        );
        print_line(&output.paint(Style::Error, &line));
    }
}

/// Returns a text of the status, or `?` if it is absent.
fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("?")
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}
