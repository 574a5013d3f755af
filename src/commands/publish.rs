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

/// Time limit of one request; the node gives up on the log earlier.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two questions for the progress.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Pause between two tries of a publication.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Names of nodes that a sentence lists.
const SHOWN_NODES: usize = 8;

/// Publishes a document and ends with one sentence on the result.
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
        Err(e) => output.fail(&e.to_string(), e.exit_code()),
    }
}

/// Publishes the contents of an earlier version as a new one.
pub async fn revert(
    access: &OperatorAccess,
    version: u64,
    options: &PublishOptions,
    output: Output,
) -> ExitCode {
    let earlier = async {
        let client = OperatorClient::new(access)?;
        let path = format!("/v1/document?version={version}");
        let answer = client.get(&path, REQUEST_TIMEOUT).await?;
        let earlier: VersionedDocument = serde_json::from_value(answer)
            .map_err(|e| RequestError::Refused(format!("the node's answer is no document: {e}")))?;
        Ok::<_, RequestError>((client, earlier))
    };
    match earlier.await {
        Ok((client, earlier)) => publish(&client, &earlier.document, options, output).await,
        Err(e) => output.fail(&format!("nothing was published: {e}"), e.exit_code()),
    }
}

async fn publish(
    client: &OperatorClient,
    document: &Document,
    options: &PublishOptions,
    output: Output,
) -> ExitCode {
    let begun = Instant::now();
    let base = match base(client, options, begun).await {
        Ok(base) => base,
        Err(e) => {
            let text = format!("nothing was published: {e}");
            return output.finish("not confirmed", &text, &json!({}), e.exit_code());
        }
    };
    let answer = match submit(client, document, base, options, begun).await {
        Ok(answer) => answer,
        Err(e) => {
            let text = format!(
                "the publication may or may not take effect: {e}; publish again with --base {base}"
            );
            return output.finish("not confirmed", &text, &json!({}), e.exit_code());
        }
    };
    let text = answer["text"].as_str().unwrap_or_default();
    let extra = json!({ "version": answer["version"], "code": answer["code"] });
    let version = match (answer["result"].as_str(), answer["version"].as_u64()) {
        (Some("accepted"), Some(version)) => version,
        (Some("refused"), _) => return output.finish("refused", text, &extra, ExitCode::Refused),
        _ => {
            let text = format!("{text}, with --base {base}");
            return output.finish("not confirmed", &text, &extra, ExitCode::NotConfirmed);
        }
    };
    if !options.wait {
        return output.finish("accepted", text, &extra, ExitCode::Success);
    }
    wait_in_force(client, version, begun, options.timeout, output).await
}

/// Returns the version on which the publication is based.
///
/// It is fixed before the first try: a try whose answer was lost may have taken effect, and a later
/// one that was based on the result would publish the document twice.
async fn base(
    client: &OperatorClient,
    options: &PublishOptions,
    begun: Instant,
) -> Result<u64, RequestError> {
    if let Some(base) = options.base {
        return Ok(base);
    }
    loop {
        match client.get("/v1/base", REQUEST_TIMEOUT).await {
            Ok(answer) => {
                let missing = || RequestError::Refused("the node's answer has no version".into());
                return answer["version"].as_u64().ok_or_else(missing);
            }
            Err(e) if !e.is_temporary() || begun.elapsed() >= options.timeout => return Err(e),
            Err(_) => actix_rt::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Sends the publication until the node says what became of it. All tries have one publish id, by
/// which the node recognises them.
async fn submit(
    client: &OperatorClient,
    document: &Document,
    base: u64,
    options: &PublishOptions,
    begun: Instant,
) -> Result<Value, RequestError> {
    let body = json!({
        "publish_id": Uuid::now_v7(),
        "base": base,
        "author": options.author,
        "document": document,
    });
    loop {
        let result = client.post("/v1/publish", &body, REQUEST_TIMEOUT).await;
        let late = begun.elapsed() >= options.timeout;
        match result {
            Ok(answer) if answer["result"] != "not confirmed" || late => return Ok(answer),
            Err(e) if !e.is_temporary() || late => return Err(e),
            Ok(_) | Err(_) => actix_rt::time::sleep(RETRY_PAUSE).await,
        }
    }
}

async fn wait_in_force(
    client: &OperatorClient,
    version: u64,
    begun: Instant,
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
                let took = begun.elapsed().as_millis();
                let text = format!("version {version} is in force everywhere after {took} ms");
                let extra =
                    json!({ "version": version, "milliseconds": took, "nodes": state["total"] });
                return output.finish("in force", &text, &extra, ExitCode::Success);
            }
            // No answer of the members has come yet.
            Ok(state) if state["total"] == 0 => String::new(),
            Ok(state) => format!("in force on {} of {} nodes", state["have"], state["total"]),
            Err(e) => format!("progress unknown, {e}"),
        };
        if !output.json && !progress.is_empty() && progress != shown {
            eprintln!("version {version}: {progress}");
            shown.clone_from(&progress);
        }
        if begun.elapsed() >= timeout {
            let missing = state.as_ref().map(missing_nodes).unwrap_or_default();
            let progress = match progress.as_str() {
                "" => "no node was asked yet",
                progress => progress,
            };
            let text = format!("version {version} is accepted, but {progress}{missing}");
            return output.finish("not confirmed", &text, &extra, ExitCode::NotConfirmed);
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
    let rest = if names.len() > SHOWN_NODES {
        " and others"
    } else {
        ""
    };
    let shown = &names[..names.len().min(SHOWN_NODES)];
    format!("; missing: {}{rest}", shown.join(", "))
}
