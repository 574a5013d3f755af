//! `sycamorewick validate`

use std::fs;
use std::path::Path;

use sycamorewick::state::validate::parse_document;

use crate::exit_code::ExitCode;

/// Checks a document and prints every error found.
pub fn run(file: &Path) -> ExitCode {
    let name = file.display().to_string();
    let text = match fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => {
            eprintln!("sycamorewick: cannot read {name}: {e}");
            return ExitCode::GeneralError;
        }
    };
    match parse_document(&text, &name) {
        Ok(document) => {
            println!(
                "{name}: valid, {} services, {} routes",
                document.services.len(),
                document.routes.len()
            );
            ExitCode::Success
        }
        Err(failures) => {
            for failure in &failures {
                eprintln!("{failure}");
            }
            eprintln!(
                "sycamorewick: {name} has {} errors; nothing was published",
                failures.len()
            );
            ExitCode::Invalid
        }
    }
}
