//! Document files of the commands.

use std::fs;
use std::path::Path;

use sycamorewick::protocol::document::Document;
use sycamorewick::state::validate::parse_document;

use crate::commands::output::Output;
use crate::exit_code::ExitCode;

/// Reads and checks a document; prints what is wrong with it.
pub fn load(file: &Path, output: Output) -> Result<Document, ExitCode> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file)
        .map_err(|e| output.fail(&format!("cannot read {name}: {e}"), ExitCode::GeneralError))?;
    parse_document(&text, &name).map_err(|failures| {
        let count = failures.len();
        let errors = if count == 1 { "error" } else { "errors" };
        let summary = format!("{name} has {count} {errors}; nothing was published");
        output.invalid(&failures, &summary)
    })
}
