//! `sycamorewick validate`

use std::path::Path;

use serde_json::json;

use crate::commands::document_file;
use crate::commands::output::Output;
use crate::exit_code::ExitCode;

/// Checks a document and prints every error found.
pub fn run(file: &Path, output: Output) -> ExitCode {
    let document = match document_file::load(file, output) {
        Ok(document) => document,
        Err(code) => return code,
    };
    let (services, routes) = (document.services.len(), document.routes.len());
    let text = format!("{}: {services} services, {routes} routes", file.display());
    let extra = json!({ "services": services, "routes": routes });
    output.print_result("valid", &text, &extra, ExitCode::Success)
}
