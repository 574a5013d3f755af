//! Output of the commands: text or JSON, with or without colours.

use std::env;
use std::io;
use std::io::IsTerminal as _;
use std::io::Write as _;

use serde_json::Value;
use serde_json::json;
use sycamorewick::result_code::Failure;

use crate::config::Color;
use crate::exit_code::ExitCode;

/// Prints a line on standard output. Returns false if the output is closed, for example because `head`
/// has exited.
pub fn print_line(line: &str) -> bool {
    writeln!(io::stdout(), "{line}").is_ok()
}

/// Meaning of a piece of text, which selects its colour.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Style {
    /// Done or healthy.
    Success,
    /// Waiting or in need of attention.
    Warning,
    /// Failed.
    Error,
    /// Heading of a table or list.
    Heading,
}

/// Output format of one run.
#[derive(Clone, Copy, Debug)]
pub struct Output {
    /// Whether results are printed as JSON.
    pub json: bool,
    color: bool,
}

impl Output {
    /// Decides whether to use colours, by the option, the terminal and `NO_COLOR` (no-color.org).
    pub fn new(json: bool, color: Color) -> Self {
        let no_color = env::var_os("NO_COLOR").is_some_and(|value| !value.is_empty());
        let color = match color {
            Color::Always => true,
            Color::Never => false,
            Color::Auto => io::stdout().is_terminal() && !no_color,
        };
        Self { json, color }
    }

    /// Adds the escape sequences of a style if colours are used.
    pub fn paint(self, style: Style, text: &str) -> String {
        let code = match style {
            Style::Success => 32,
            Style::Warning => 33,
            Style::Error => 31,
            Style::Heading => 1,
        };
        if self.color {
            format!("\x1b[{code}m{text}\x1b[0m")
        } else {
            text.to_owned()
        }
    }

    /// Prints the result of a command as one sentence or one JSON object.
    pub fn print_result(self, result: &str, text: &str, extra: &Value, code: ExitCode) -> ExitCode {
        if self.json {
            let mut object = json!({ "result": result, "text": text });
            if let (Some(object), Some(extra)) = (object.as_object_mut(), extra.as_object()) {
                object.extend(extra.clone());
            }
            print_line(&object.to_string());
        } else {
            let style = match code {
                ExitCode::Success => Style::Success,
                ExitCode::NotConfirmed => Style::Warning,
                _ => Style::Error,
            };
            print_line(&format!("{}: {text}", self.paint(style, result)));
        }
        code
    }

    /// Prints the reason why a command failed.
    pub fn print_failure(self, text: &str, code: ExitCode) -> ExitCode {
        if self.json {
            print_line(&json!({ "result": "failed", "text": text }).to_string());
        } else {
            eprintln!("sycamorewick: {text}");
        }
        code
    }

    /// Prints the errors in a file.
    pub fn print_errors(self, failures: &[Failure], summary: &str) -> ExitCode {
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
