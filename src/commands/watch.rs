//! `sycamorewick watch`

use std::time::Duration;
use std::time::Instant;

use actix_http::Method;
use serde_json::Value;
use sycamorewick::result_code::ResultCode;

use crate::commands::operator_client::OperatorClient;
use crate::config::OperatorAccess;
use crate::exit_code::ExitCode;

/// Pause between two questions for outcomes.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit of one question.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Prints each outcome once, until one contains `until` or the time is over.
pub async fn run(
    access: &OperatorAccess,
    until: Option<&str>,
    timeout: Option<Duration>,
    json: bool,
) -> ExitCode {
    let client = match OperatorClient::new(access) {
        Ok(client) => client,
        Err(e) => {
            eprintln!("sycamorewick: {e:#}");
            return ExitCode::GeneralError;
        }
    };
    let begun = Instant::now();
    let mut seen: Vec<String> = Vec::new();
    let mut failing = false;
    loop {
        match client
            .send(Method::GET, "/v1/outcomes", None, REQUEST_TIMEOUT)
            .await
        {
            Ok((_, outcomes)) => {
                failing = false;
                if print_new(&outcomes, &mut seen, until, json) {
                    return ExitCode::Success;
                }
            }
            // The node may restart while it is watched; the failure is told once.
            Err(e) if !failing => {
                failing = true;
                eprintln!("sycamorewick: {e:#}");
            }
            Err(_) => {}
        }
        if timeout.is_some_and(|timeout| begun.elapsed() >= timeout) {
            return ExitCode::NotConfirmed;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns true once an outcome contains the text that ends the command.
fn print_new(outcomes: &Value, seen: &mut Vec<String>, until: Option<&str>, json: bool) -> bool {
    let mut found = false;
    for outcome in outcomes.as_array().into_iter().flatten() {
        let identity = outcome["identity"].as_str().unwrap_or_default();
        let Err(index) = seen.binary_search_by(|known| known.as_str().cmp(identity)) else {
            continue;
        };
        seen.insert(index, identity.to_owned());
        let line = line_of(outcome);
        if json {
            println!("{outcome}");
        } else {
            println!("{line}");
        }
        found |= until.is_some_and(|until| line.contains(until));
    }
    found
}

/// One plain sentence: number and meaning of the code, subject, cause and figures.
fn line_of(outcome: &Value) -> String {
    let code = outcome["code"]
        .as_u64()
        .and_then(|number| u16::try_from(number).ok());
    let meaning = code
        .and_then(ResultCode::from_number)
        .map_or("unknown code", ResultCode::text);
    let subject = outcome["subject"].as_str().unwrap_or_default();
    let text = outcome["text"].as_str().unwrap_or_default();
    format!("{} {meaning}, {subject}: {text}", outcome["code"])
}
