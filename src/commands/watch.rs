//! `sycamorewick watch`

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use sycamorewick::result_code::ResultCode;

use crate::commands::operator_client::OperatorClient;
use crate::commands::operator_client::RequestError;
use crate::commands::output::Output;
use crate::commands::output::print_line;
use crate::commands::table::format_time;
use crate::config::OperatorAccess;
use crate::exit_code::ExitCode;

/// Delay between two requests for outcomes.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of one request; the node waits for the log for up to 4 s.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);

/// Prints each outcome once, until one contains `until` or the timeout has passed.
pub async fn run(
    access: &OperatorAccess,
    until: Option<&str>,
    timeout: Option<Duration>,
    output: Output,
) -> ExitCode {
    let client = match OperatorClient::new(access) {
        Ok(client) => client,
        Err(e) => return output.print_failure(&e.to_string(), e.exit_code()),
    };
    let started = Instant::now();
    let mut watch = Watch {
        until,
        output,
        printed: Vec::new(),
        next: None,
        problem: None,
        output_closed: false,
    };
    loop {
        let path = match watch.next {
            Some(next) => format!("/v1/watch?from={next}"),
            None => "/v1/watch".to_owned(),
        };
        let mut more = false;
        let result = client.get(&path, REQUEST_TIMEOUT).await;
        match &result {
            Ok(response) => {
                more = response["more"] == true;
                if watch.on_response(response) || watch.output_closed {
                    return ExitCode::Success;
                }
            }
            Err(e) if !e.is_temporary() => {
                return output.print_failure(&e.to_string(), e.exit_code());
            }
            Err(e) => watch.on_problem(Some(&e.to_string())),
        }
        if timeout.is_some_and(|timeout| started.elapsed() >= timeout) {
            return watch.on_timeout(result.err().as_ref());
        }
        if !more {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }
}

struct Watch<'a> {
    until: Option<&'a str>,
    output: Output,
    /// Identities of the printed outcomes, sorted.
    printed: Vec<String>,
    /// Log offset from which the next request reads. It is kept while the node is unavailable, so the
    /// outcomes of that time are shown afterwards.
    next: Option<u64>,
    /// Current problem; it is reported once.
    problem: Option<String>,
    /// Whether standard output is closed.
    output_closed: bool,
}

impl Watch<'_> {
    /// Returns true once an outcome contains the text that ends the command.
    fn on_response(&mut self, response: &Value) -> bool {
        let log_error = response["log_error"].as_str().map(|error| {
            let node = response["node"].as_str().unwrap_or_default();
            format!("{error}; meanwhile, only the outcomes known to node {node} are shown")
        });
        self.on_problem(log_error.as_deref());
        if let Some(dropped) = response["lost"].as_u64().filter(|&count| count > 0) {
            eprintln!(
                "sycamorewick: {dropped} outcomes are no longer in the log and are not shown"
            );
        }
        self.next = response["next"].as_u64().or(self.next);
        let mut found = false;
        for outcome in response["outcomes"].as_array().into_iter().flatten() {
            found |= self.on_outcome(outcome);
        }
        found
    }

    fn on_outcome(&mut self, outcome: &Value) -> bool {
        let identity = outcome["identity"].as_str().unwrap_or_default();
        let Err(index) = self
            .printed
            .binary_search_by(|printed| printed.as_str().cmp(identity))
        else {
            return false;
        };
        self.printed.insert(index, identity.to_owned());
        let line = outcome_line(outcome);
        let shown = if self.output.json {
            outcome.to_string()
        } else {
            line.clone()
        };
        self.output_closed |= !print_line(&shown);
        self.until.is_some_and(|until| line.contains(until))
    }

    /// Reports the start and the end of a problem once each.
    fn on_problem(&mut self, problem: Option<&str>) {
        match (problem, &self.problem) {
            (Some(text), None) => eprintln!("sycamorewick: {text}"),
            (None, Some(_)) => eprintln!("sycamorewick: the outcomes are complete again"),
            _ => {}
        }
        self.problem = problem.map(str::to_owned);
    }

    fn on_timeout(&self, error: Option<&RequestError>) -> ExitCode {
        match (error, self.until) {
            (Some(e), _) => self.output.print_failure(&e.to_string(), e.exit_code()),
            (None, Some(until)) => {
                let text = format!("no outcome contained {until:?} in time");
                self.output.print_failure(&text, ExitCode::NotConfirmed)
            }
            (None, None) => ExitCode::Success,
        }
    }
}

/// Formats an outcome as one line: time, number and text of the code, subject, cause and figures.
pub fn outcome_line(outcome: &Value) -> String {
    let code = outcome["code"]
        .as_u64()
        .and_then(|number| u16::try_from(number).ok());
    let code_text = code
        .and_then(ResultCode::from_number)
        .map_or("unknown code", ResultCode::text);
    let subject = outcome["subject"].as_str().unwrap_or_default();
    let text = outcome["text"].as_str().unwrap_or_default();
    let at = format_time(&outcome["at"]);
    format!("{at} {} {code_text}, {subject}: {text}", outcome["code"])
}
