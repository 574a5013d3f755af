//! `sycamorewick history`

use std::time::Duration;

use serde_json::Value;
use serde_json::json;

use crate::commands::operator_client::OperatorClient;
use crate::commands::output::Output;
use crate::commands::output::Style;
use crate::commands::output::print_line;
use crate::commands::table::Table;
use crate::commands::table::format_time;
use crate::config::OperatorAccess;
use crate::exit_code::ExitCode;

/// Timeout of the request; the node reads the log for at most 5 s.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Lists the publications that the log retains.
pub async fn run(access: &OperatorAccess, limit: u64, output: Output) -> ExitCode {
    let path = format!("/v1/history?limit={limit}");
    let response = match OperatorClient::new(access) {
        Ok(client) => client.get(&path, REQUEST_TIMEOUT).await,
        Err(e) => Err(e),
    };
    let entries = match response {
        Ok(Value::Array(entries)) => entries,
        Ok(_) => {
            return output
                .print_failure("the node's response is not a list", ExitCode::GeneralError);
        }
        Err(e) => return output.print_failure(&e.to_string(), e.exit_code()),
    };
    if output.json {
        print_line(&json!(entries).to_string());
        return ExitCode::Success;
    }
    if entries.is_empty() {
        print_line("the log has no publications");
        return ExitCode::Success;
    }
    let mut table = Table::new(&["VERSION", "BASE", "TIME (UTC)", "AUTHOR", "RESULT"]);
    for entry in &entries {
        let result = entry["result"].as_str().unwrap_or_default();
        let style = match result {
            "accepted" => Some(Style::Success),
            "refused" => Some(Style::Error),
            _ => None,
        };
        let reason = entry["reason"].as_str();
        let result = reason.map_or(result.to_owned(), |reason| format!("{result}: {reason}"));
        let version = entry["version"].as_u64();
        table.add_row(
            vec![
                version.map_or("-".into(), |version| version.to_string()),
                entry["base"].to_string(),
                format_time(&entry["at"]),
                entry["author"].as_str().unwrap_or_default().to_owned(),
                result,
            ],
            style,
        );
    }
    table.print(output);
    ExitCode::Success
}
