//! Output of the commands: one sentence or JSON, coloured or plain.

use std::env;
use std::io;
use std::io::IsTerminal as _;
use std::io::Write as _;

use serde_json::Value;
use serde_json::json;
use sycamorewick::result_code::Failure;

use crate::config::Color;
use crate::exit_code::ExitCode;

/// Prints a line on standard output; returns false if nobody reads it any more, for example since
/// the output goes to `head`.
pub fn print_line(line: &str) -> bool {
    writeln!(io::stdout(), "{line}").is_ok()
}

/// How serious a piece of text is, for its colour.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Tone {
    /// Done or healthy.
    Good,
    /// Waits or needs attention.
    Caution,
    /// Failed.
    Bad,
    /// Heading.
    Strong,
}

/// Form of the output of one run.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    /// Whether results are JSON.
    pub json: bool,
    color: bool,
}

impl Output {
    /// Decides on colours once: by the option, the terminal and `NO_COLOR` (no-color.org).
    pub fn new(json: bool, color: Color) -> Self {
        let refused = env::var_os("NO_COLOR").is_some_and(|value| !value.is_empty());
        let color = match color {
            Color::Always => true,
            Color::Never => false,
            Color::Auto => io::stdout().is_terminal() && !refused,
        };
        Self { json, color }
    }

    /// Colours a text.
    pub fn paint(self, tone: Tone, text: &str) -> String {
        let code = match tone {
            Tone::Good => 32,
            Tone::Caution => 33,
            Tone::Bad => 31,
            Tone::Strong => 1,
        };
        if self.color {
            format!("\x1b[{code}m{text}\x1b[0m")
        } else {
            text.to_owned()
        }
    }

    /// Prints the result of a command as one sentence or one JSON object.
    pub fn finish(self, result: &str, text: &str, extra: &Value, code: ExitCode) -> ExitCode {
        if self.json {
            let mut object = json!({ "result": result, "text": text });
            if let (Some(object), Some(extra)) = (object.as_object_mut(), extra.as_object()) {
                object.extend(extra.clone());
            }
            print_line(&object.to_string());
        } else {
            let tone = match code {
                ExitCode::Success => Tone::Good,
                ExitCode::NotConfirmed => Tone::Caution,
                _ => Tone::Bad,
            };
            print_line(&format!("{}: {text}", self.paint(tone, result)));
        }
        code
    }

    /// Prints why a command failed.
    pub fn fail(self, text: &str, code: ExitCode) -> ExitCode {
        if self.json {
            print_line(&json!({ "result": "failed", "text": text }).to_string());
        } else {
            eprintln!("sycamorewick: {text}");
        }
        code
    }

    /// Prints the faults of a file.
    pub fn invalid(self, failures: &[Failure], summary: &str) -> ExitCode {
        if self.json {
            let failures: Vec<Value> = failures
                .iter()
                .map(|failure| json!({ "code": failure.code.number(), "text": failure.text }))
                .collect();
            print_line(
                &json!({ "result": "invalid", "text": summary, "failures": failures }).to_string(),
            );
        } else {
            for failure in failures {
                eprintln!("{failure}");
            }
            eprintln!("sycamorewick: {summary}");
        }
        ExitCode::Invalid
    }
}
