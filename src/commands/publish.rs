//! `sycamorewick publish`

use std::fs;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use actix_http::Method;
use eyre::eyre;
use serde_json::Value;
use serde_json::json;
use sycamorewick::protocol::document::Document;
use sycamorewick::state::validate::parse_document;
use uuid::Uuid;

use crate::commands::operator_client::OperatorClient;
use crate::config::OperatorAccess;
use crate::exit_code::ExitCode;

/// Time limit of one request; the node answers long polls earlier.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two questions for the progress.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// What to publish.
pub struct Request<'a> {
    /// Document file.
    pub file: &'a Path,
    /// Version that it is based on.
    pub base: Option<u64>,
    /// Who publishes.
    pub author: &'a str,
    /// Whether to wait until it is in force everywhere.
    pub wait: bool,
    /// Longest wait.
    pub timeout: Duration,
}

/// Publishes a document and ends with one sentence on the result.
pub async fn run(access: &OperatorAccess, request: &Request<'_>, json: bool) -> ExitCode {
    let document = match load(request.file) {
        Ok(document) => document,
        Err(code) => return code,
    };
    match publish(access, request, &document, json).await {
        Ok(code) => code,
        Err(e) => {
            eprintln!("sycamorewick: not confirmed: {e:#}");
            ExitCode::Unreachable
        }
    }
}

fn load(file: &Path) -> Result<Document, ExitCode> {
    let name = file.display().to_string();
    let text = fs::read_to_string(file).map_err(|e| {
        eprintln!("sycamorewick: cannot read {name}: {e}");
        ExitCode::GeneralError
    })?;
    parse_document(&text, &name).map_err(|failures| {
        for failure in &failures {
            eprintln!("{failure}");
        }
        eprintln!(
            "sycamorewick: {name} has {} errors; nothing was published",
            failures.len()
        );
        ExitCode::Invalid
    })
}

/// One publish id is used for all tries, so that a try whose answer was lost cannot publish twice.
async fn publish(
    access: &OperatorAccess,
    request: &Request<'_>,
    document: &Document,
    json: bool,
) -> eyre::Result<ExitCode> {
    let client = OperatorClient::new(access)?;
    let publish_id = Uuid::now_v7();
    let begun = Instant::now();
    let body = json!({
        "publish_id": publish_id,
        "base": request.base,
        "author": request.author,
        "document": document,
    });
    let answer = loop {
        match client
            .send(Method::POST, "/v1/publish", Some(&body), REQUEST_TIMEOUT)
            .await
        {
            Ok((_, answer)) if answer["result"] != "not confirmed" => break answer,
            Ok((_, answer)) if begun.elapsed() >= request.timeout => break answer,
            Err(e) if begun.elapsed() >= request.timeout => return Err(e),
            Ok(_) | Err(_) => actix_rt::time::sleep(POLL_INTERVAL).await,
        }
    };
    match answer["result"].as_str() {
        Some("accepted") => {}
        Some("refused") => return Ok(finish(json, &answer, "refused", ExitCode::Refused)),
        _ => {
            return Ok(finish(
                json,
                &answer,
                "not confirmed",
                ExitCode::NotConfirmed,
            ));
        }
    }
    let version = answer["version"]
        .as_u64()
        .ok_or_else(|| eyre!("the node's answer has no version"))?;
    if !request.wait {
        return Ok(finish(json, &answer, "accepted", ExitCode::Success));
    }
    wait_in_force(&client, version, begun, request.timeout, json).await
}

async fn wait_in_force(
    client: &OperatorClient,
    version: u64,
    begun: Instant,
    timeout: Duration,
    json: bool,
) -> eyre::Result<ExitCode> {
    let mut shown = String::new();
    loop {
        let path = format!("/v1/convergence?version={version}");
        let (_, state) = client
            .send(Method::GET, &path, None, REQUEST_TIMEOUT)
            .await?;
        let progress = format!("in force on {} of {} nodes", state["have"], state["total"]);
        if !json && progress != shown {
            eprintln!("version {version}: {progress}");
            shown.clone_from(&progress);
        }
        if state["everywhere"] == true {
            let answer = json!({
                "version": version,
                "text": format!("version {version} is in force everywhere after {} ms", begun.elapsed().as_millis()),
            });
            return Ok(finish(json, &answer, "in force", ExitCode::Success));
        }
        if begun.elapsed() >= timeout {
            let text = format!(
                "version {version} is accepted but {progress}; missing: {}",
                state["missing"]
            );
            let answer = json!({ "version": version, "text": text });
            return Ok(finish(
                json,
                &answer,
                "not confirmed",
                ExitCode::NotConfirmed,
            ));
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
}

fn finish(json: bool, answer: &Value, result: &str, code: ExitCode) -> ExitCode {
    let text = answer["text"].as_str().unwrap_or_default();
    if json {
        println!(
            "{}",
            json!({ "result": result, "version": answer["version"], "text": text })
        );
    } else {
        println!("{result}: {text}");
    }
    code
}
