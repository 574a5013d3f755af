//! `sycamorewick status`

use std::time::Duration;

use actix_http::Method;

use crate::commands::operator_client::OperatorClient;
use crate::config::OperatorAccess;
use crate::exit_code::ExitCode;

/// Shows the state of a node and of the fleet as that node sees it.
pub async fn run(access: &OperatorAccess, json: bool) -> ExitCode {
    let answer = match OperatorClient::new(access) {
        Ok(client) => {
            client
                .send(Method::GET, "/v1/status", None, Duration::from_secs(5))
                .await
        }
        Err(e) => Err(e),
    };
    match answer {
        Ok((_, status)) if json => println!("{status}"),
        Ok((_, status)) => println!(
            "{}",
            serde_json::to_string_pretty(&status).unwrap_or_default()
        ),
        Err(e) => {
            eprintln!("sycamorewick: {e:#}");
            return ExitCode::Unreachable;
        }
    }
    ExitCode::Success
}
