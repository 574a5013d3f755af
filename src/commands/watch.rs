//! `sycamorewick watch`

use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use sycamorewick::result_code::ResultCode;

use crate::commands::operator_client::OperatorClient;
use crate::commands::operator_client::RequestError;
use crate::commands::output::Output;
use crate::commands::output::print_line;
use crate::commands::table::time_of;
use crate::config::OperatorAccess;
use crate::exit_code::ExitCode;

/// Pause between two questions for outcomes.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time limit of one question; the node waits for the log for up to 4 s.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(6);

/// Prints each outcome once, until one contains `until` or the time is over.
pub async fn run(
    access: &OperatorAccess,
    until: Option<&str>,
    timeout: Option<Duration>,
    output: Output,
) -> ExitCode {
    let client = match OperatorClient::new(access) {
        Ok(client) => client,
        Err(e) => return output.fail(&e.to_string(), e.exit_code()),
    };
    let begun = Instant::now();
    let mut watch = Watch {
        until,
        output,
        seen: Vec::new(),
        next: None,
        trouble: None,
        closed: false,
    };
    loop {
        let path = match watch.next {
            Some(next) => format!("/v1/watch?from={next}"),
            None => "/v1/watch".to_owned(),
        };
        let mut more = false;
        let result = client.get(&path, REQUEST_TIMEOUT).await;
        match &result {
            Ok(answer) => {
                more = answer["more"] == true;
                if watch.on_answer(answer) || watch.closed {
                    return ExitCode::Success;
                }
            }
            Err(e) if !e.is_temporary() => return output.fail(&e.to_string(), e.exit_code()),
            Err(e) => watch.on_trouble(Some(&e.to_string())),
        }
        if timeout.is_some_and(|timeout| begun.elapsed() >= timeout) {
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
    /// Identities of printed outcomes, sorted.
    seen: Vec<String>,
    /// Offset in the log from which the next question asks. It is kept while the node is away, so
    /// that the outcomes of that time are shown afterwards.
    next: Option<u64>,
    /// What hinders the watch at present; told once.
    trouble: Option<String>,
    /// Whether nobody reads the output any more.
    closed: bool,
}

impl Watch<'_> {
    /// Returns true once an outcome contains the text that ends the command.
    fn on_answer(&mut self, answer: &Value) -> bool {
        let log_error = answer["log_error"].as_str().map(|error| {
            let node = answer["node"].as_str().unwrap_or_default();
            format!("{error}; only outcomes that node {node} knows itself are shown until then")
        });
        self.on_trouble(log_error.as_deref());
        if let Some(lost) = answer["lost"].as_u64().filter(|&lost| lost > 0) {
            eprintln!("sycamorewick: {lost} outcomes are no longer in the log and are not shown");
        }
        self.next = answer["next"].as_u64().or(self.next);
        let mut found = false;
        for outcome in answer["outcomes"].as_array().into_iter().flatten() {
            found |= self.on_outcome(outcome);
        }
        found
    }

    fn on_outcome(&mut self, outcome: &Value) -> bool {
        let identity = outcome["identity"].as_str().unwrap_or_default();
        let Err(index) = self
            .seen
            .binary_search_by(|known| known.as_str().cmp(identity))
        else {
            return false;
        };
        self.seen.insert(index, identity.to_owned());
        let line = line_of(outcome);
        let shown = if self.output.json {
            outcome.to_string()
        } else {
            line.clone()
        };
        self.closed |= !print_line(&shown);
        self.until.is_some_and(|until| line.contains(until))
    }

    /// Tells each change between trouble and none once.
    fn on_trouble(&mut self, trouble: Option<&str>) {
        match (trouble, &self.trouble) {
            (Some(text), None) => eprintln!("sycamorewick: {text}"),
            (None, Some(_)) => eprintln!("sycamorewick: the outcomes are complete again"),
            _ => {}
        }
        self.trouble = trouble.map(str::to_owned);
    }

    fn on_timeout(&self, error: Option<&RequestError>) -> ExitCode {
        match (error, self.until) {
            (Some(e), _) => self.output.fail(&e.to_string(), e.exit_code()),
            (None, Some(until)) => {
                let text = format!("no outcome contained {until:?} in time");
                self.output.fail(&text, ExitCode::NotConfirmed)
            }
            (None, None) => ExitCode::Success,
        }
    }
}

/// One plain sentence: time, number and meaning of the code, subject, cause and figures.
pub fn line_of(outcome: &Value) -> String {
    let code = outcome["code"]
        .as_u64()
        .and_then(|number| u16::try_from(number).ok());
    let meaning = code
        .and_then(ResultCode::from_number)
        .map_or("unknown code", ResultCode::text);
    let subject = outcome["subject"].as_str().unwrap_or_default();
    let text = outcome["text"].as_str().unwrap_or_default();
    let at = time_of(&outcome["at"]);
    format!("{at} {} {meaning}, {subject}: {text}", outcome["code"])
}
