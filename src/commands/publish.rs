//! `sycamorewick publish` and `sycamorewick revert`

use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use sycamorewick::protocol::document::Document;
use sycamorewick::protocol::record::VersionedDocument;
use uuid::Uuid;

use crate::commands::document_file;
use crate::commands::operator_client::OperatorClient;
use crate::commands::operator_client::RequestError;
use crate::commands::output::Output;
use crate::config::OperatorAccess;
use crate::config::PublishOptions;
use crate::exit_code::ExitCode;

/// Timeout of one request; longer than the node waits for the log.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay between two progress requests.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Delay between two attempts of a request.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Maximum number of missing nodes that are named.
const MAX_NAMED_NODES: usize = 8;

/// Publishes a document and prints the result.
pub async fn publish_file(
    access: &OperatorAccess,
    file: &Path,
    options: &PublishOptions,
    output: Output,
) -> ExitCode {
    let document = match document_file::load(file, output) {
        Ok(document) => document,
        Err(code) => return code,
    };
    match OperatorClient::new(access) {
        Ok(client) => publish(&client, &document, options, output).await,
        Err(e) => output.print_failure(&e.to_string(), e.exit_code()),
    }
}

/// Publishes the contents of an earlier version as a new one.
pub async fn revert(
    access: &OperatorAccess,
    version: u64,
    options: &PublishOptions,
    output: Output,
) -> ExitCode {
    let fetched = async {
        let client = OperatorClient::new(access)?;
        let path = format!("/v1/document?version={version}");
        let response = client.get(&path, REQUEST_TIMEOUT).await?;
        let earlier: VersionedDocument = serde_json::from_value(response).map_err(|e| {
            RequestError::Refused(format!("the node's response is not a document: {e}"))
        })?;
        Ok::<_, RequestError>((client, earlier))
    };
    match fetched.await {
        Ok((client, earlier)) => publish(&client, &earlier.document, options, output).await,
        Err(e) => output.print_failure(&format!("nothing was published: {e}"), e.exit_code()),
    }
}

async fn publish(
    client: &OperatorClient,
    document: &Document,
    options: &PublishOptions,
    output: Output,
) -> ExitCode {
    let started = Instant::now();
    let base = match publish_base(client, options, started).await {
        Ok(base) => base,
        Err(e) => {
            let text = format!("nothing was published: {e}");
            return output.print_result("not confirmed", &text, &json!({}), e.exit_code());
        }
    };
    let response = match submit(client, document, base, options, started).await {
        Ok(response) => response,
        Err(e) => {
            let text = format!(
                "the publication may or may not take effect: {e}; publish again with --base {base}"
            );
            return output.print_result("not confirmed", &text, &json!({}), e.exit_code());
        }
    };
    let text = response["text"].as_str().unwrap_or_default();
    let extra = json!({ "version": response["version"], "code": response["code"] });
    let version = match (response["result"].as_str(), response["version"].as_u64()) {
        (Some("accepted"), Some(version)) => version,
        (Some("refused"), _) => {
            return output.print_result("refused", text, &extra, ExitCode::Refused);
        }
        _ => {
            let text = format!("{text}, with --base {base}");
            return output.print_result("not confirmed", &text, &extra, ExitCode::NotConfirmed);
        }
    };
    if !options.wait {
        return output.print_result("accepted", text, &extra, ExitCode::Success);
    }
    wait_in_force(client, version, started, options.timeout, output).await
}

/// Returns the version on which the publication is based.
///
/// The base is fixed before the first attempt: an attempt whose response was lost may have taken
/// effect, and a retry based on the resulting version would publish the document twice.
async fn publish_base(
    client: &OperatorClient,
    options: &PublishOptions,
    started: Instant,
) -> Result<u64, RequestError> {
    if let Some(base) = options.base {
        return Ok(base);
    }
    loop {
        match client.get("/v1/base", REQUEST_TIMEOUT).await {
            Ok(response) => {
                let missing = || RequestError::Refused("the node's response has no version".into());
                return response["version"].as_u64().ok_or_else(missing);
            }
            Err(e) if !e.is_temporary() || started.elapsed() >= options.timeout => return Err(e),
            Err(_) => actix_rt::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Sends the publication until the node confirms a result. All attempts have the same publish id, by
/// which the node recognises retries.
async fn submit(
    client: &OperatorClient,
    document: &Document,
    base: u64,
    options: &PublishOptions,
    started: Instant,
) -> Result<Value, RequestError> {
    let body = json!({
        "publish_id": Uuid::now_v7(),
        "base": base,
        "author": options.author,
        "document": document,
    });
    loop {
        let result = client.post("/v1/publish", &body, REQUEST_TIMEOUT).await;
        let timed_out = started.elapsed() >= options.timeout;
        match result {
            Ok(response) if response["result"] != "not confirmed" || timed_out => {
                return Ok(response);
            }
            Err(e) if !e.is_temporary() || timed_out => return Err(e),
            Ok(_) | Err(_) => actix_rt::time::sleep(RETRY_DELAY).await,
        }
    }
}

async fn wait_in_force(
    client: &OperatorClient,
    version: u64,
    started: Instant,
    timeout: Duration,
    output: Output,
) -> ExitCode {
    let extra = json!({ "version": version });
    let path = format!("/v1/convergence?version={version}");
    let mut shown = String::new();
    loop {
        let state = client.get(&path, REQUEST_TIMEOUT).await;
        let progress = match &state {
            Ok(state) if state["everywhere"] == true => {
                let elapsed_ms = started.elapsed().as_millis();
                let text =
                    format!("version {version} is in force everywhere after {elapsed_ms} ms");
                let extra = json!({ "version": version, "milliseconds": elapsed_ms, "nodes": state["total"] });
                return output.print_result("in force", &text, &extra, ExitCode::Success);
            }
            // No member has responded yet.
            Ok(state) if state["total"] == 0 => String::new(),
            Ok(state) => format!("in force on {} of {} nodes", state["have"], state["total"]),
            Err(e) => format!("progress unknown: {e}"),
        };
        if !output.json && !progress.is_empty() && progress != shown {
            eprintln!("version {version}: {progress}");
            shown.clone_from(&progress);
        }
        if started.elapsed() >= timeout {
            let missing = state.as_ref().map(missing_nodes).unwrap_or_default();
            let progress = match progress.as_str() {
                "" => "no node has been asked yet",
                progress => progress,
            };
            let text = format!("version {version} is accepted, but {progress}{missing}");
            return output.print_result("not confirmed", &text, &extra, ExitCode::NotConfirmed);
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

fn missing_nodes(state: &Value) -> String {
    let names: Vec<&str> = state["missing"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(Value::as_str)
        .collect();
    if names.is_empty() {
        return String::new();
    }
    let suffix = if names.len() > MAX_NAMED_NODES {
        " and others"
    } else {
        ""
    };
    let shown = &names[..names.len().min(MAX_NAMED_NODES)];
    format!("; missing: {}{suffix}", shown.join(", "))
}
