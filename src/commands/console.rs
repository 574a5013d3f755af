//! `sycamorewick console`

use std::time::Duration;

use serde_json::json;

use crate::commands::operator_client::OperatorClient;
use crate::commands::output::Output;
use crate::config::OperatorAccess;
use crate::exit_code::ExitCode;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Prints the address of the console. The token itself is not printed, since terminal output may be
/// recorded.
pub async fn run(access: &OperatorAccess, output: Output) -> ExitCode {
    let response = match OperatorClient::new(access) {
        Ok(client) => client.get("/v1/status", REQUEST_TIMEOUT).await,
        Err(e) => Err(e),
    };
    if let Err(e) = response {
        return output.print_failure(&e.to_string(), e.exit_code());
    }
    let address = format!("http://{}/console", access.addr);
    let file = access.token_file.display().to_string();
    let text = format!("open {address} in a browser and sign in with the token in {file}");
    let extra = json!({ "address": address, "token_file": file });
    output.print_result("console", &text, &extra, ExitCode::Success)
}
