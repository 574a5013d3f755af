//! `sycamorewick diff`

use std::path::Path;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use sycamorewick::diff;
use sycamorewick::diff::Change;
use sycamorewick::protocol::document::Document;
use sycamorewick::protocol::record::VersionedDocument;

use crate::commands::document_file;
use crate::commands::operator_client::OperatorClient;
use crate::commands::operator_client::RequestError;
use crate::commands::output::Output;
use crate::commands::output::Style;
use crate::commands::output::print_line;
use crate::config::OperatorAccess;
use crate::exit_code::ExitCode;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Prints the differences from `file` to `other`, or from the document in force to `file`.
pub async fn run(
    access: &OperatorAccess,
    file: &Path,
    other: Option<&Path>,
    output: Output,
) -> ExitCode {
    let first = match document_file::load(file, output) {
        Ok(document) => document,
        Err(code) => return code,
    };
    let (old, new, names) = match other {
        Some(other) => match document_file::load(other, output) {
            Ok(second) => {
                let names = format!("{} and {}", file.display(), other.display());
                (first, second, names)
            }
            Err(code) => return code,
        },
        None => match in_force(access).await {
            Ok((version, document)) => {
                let names = format!(
                    "version {version}, which is in force, and {}",
                    file.display()
                );
                (document, first, names)
            }
            Err(e) => return output.print_failure(&e.to_string(), e.exit_code()),
        },
    };
    let changes = diff::changes(&old, &new);
    if !output.json {
        for change in &changes {
            print_line(&output.paint(style_of(change), &change.to_string()));
        }
    }
    let text = match changes.len() {
        0 => format!("no difference between {names}"),
        1 => format!("1 difference between {names}"),
        n => format!("{n} differences between {names}"),
    };
    let extra = json!({ "changes": changes });
    output.print_result("compared", &text, &extra, ExitCode::Success)
}

fn style_of(change: &Change) -> Style {
    match (&change.old, &change.new) {
        (None, _) => Style::Success,
        (_, None) => Style::Error,
        _ => Style::Warning,
    }
}

async fn in_force(access: &OperatorAccess) -> Result<(u64, Document), RequestError> {
    let client = OperatorClient::new(access)?;
    let response: Value = client.get("/v1/config", REQUEST_TIMEOUT).await?;
    let versioned: VersionedDocument = serde_json::from_value(response).map_err(|e| {
        RequestError::Refused(format!("the node's response is not a document: {e}"))
    })?;
    Ok((versioned.version.0, versioned.document))
}
