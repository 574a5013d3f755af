//! Settings of a node process, a file in JSON with comments. See `docs/configuration.md`.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use serde::Deserialize;

use crate::protocol::name::DomainName;
use crate::protocol::name::NodeId;
use crate::protocol::name::RegionName;
use crate::result_code::Failure;
use crate::result_code::ResultCode;

/// Form of the log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One line of text a record, for people.
    #[default]
    Text,
    /// One JSON object a record, for programs.
    Json,
}

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures only.
    Error,
    /// Failures and warnings.
    Warning,
    /// Also each routing and placement decision.
    #[default]
    Info,
    /// Also messages between nodes.
    Debug,
}

/// Settings of one node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Identity of the node, unique in the fleet.
    pub id: NodeId,
    /// Region of the instance.
    pub region: RegionName,
    /// Failure domain of the instance.
    pub failure_domain: DomainName,
    /// Address at which callers and the backend server beside the node reach it.
    pub request_addr: SocketAddr,
    /// Address at which other nodes reach it over HTTP.
    pub node_addr: SocketAddr,
    /// Address at which operators reach it.
    pub operator_addr: SocketAddr,
    /// UDP address for gossip.
    pub gossip_addr: SocketAddr,
    /// Address of the platform's log.
    pub log_addr: SocketAddr,
    /// Node addresses of some other nodes; the log's `members` stream is used if none answers.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// File with the key that nodes share; a second line may hold the previous key.
    pub cluster_key_file: PathBuf,
    /// File with the bearer token for the operator port.
    pub operator_token_file: PathBuf,
    /// Form of the log lines.
    #[serde(default)]
    pub log_format: LogFormat,
    /// Least severe level that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
}

/// Reads and checks a settings file.
///
/// # Errors
/// [`ResultCode::InvalidSettings`] with the file, the place and what was found there.
pub fn load(file: &Path) -> Result<Settings, Failure> {
    let name = file.display();
    let text = fs::read_to_string(file).map_err(|e| {
        Failure::new(
            ResultCode::InvalidSettings,
            format!("cannot read {name}: {e}"),
        )
    })?;
    parse(&text, &name.to_string())
}

/// Checks the text of a settings file.
///
/// # Errors
/// [`ResultCode::InvalidSettings`] with the file, the place and what was found there.
pub fn parse(text: &str, name: &str) -> Result<Settings, Failure> {
    let invalid =
        |found: String| Failure::new(ResultCode::InvalidSettings, format!("{name}: {found}"));
    let parsed =
        jsonc_parser::parse_to_ast(text, &CollectOptions::default(), &ParseOptions::default())
            .map_err(|e| invalid(e.to_string()))?;
    let root = parsed
        .value
        .ok_or_else(|| invalid("found no value, required is an object".into()))?;
    let value = serde_json::Value::from(root);
    let settings: Settings =
        serde_path_to_error::deserialize(value).map_err(|e| invalid(e.to_string()))?;
    Ok(settings)
}
