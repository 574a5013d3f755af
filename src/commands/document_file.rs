//! Loading of configuration documents from files.

use std::fs;
use std::path::Path;

use sycamorewick::protocol::document::Document;
use sycamorewick::state::validate::parse_document;

use crate::commands::output::Output;
use crate::exit_code::ExitCode;

/// Reads and checks a document. Prints the errors and returns the exit code if it is not valid.
pub fn load(file: &Path, output: Output) -> Result<Document, ExitCode> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file).map_err(|e| {
        output.print_failure(&format!("cannot read {name}: {e}"), ExitCode::GeneralError)
    })?;
    parse_document(&text, &name).map_err(|failures| {
        let count = failures.len();
        let errors = if count == 1 { "error" } else { "errors" };
        let summary = format!("{name} has {count} {errors}; nothing was published");
        output.print_errors(&failures, &summary)
    })
}
