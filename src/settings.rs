//! Settings of a node process, read from a JSON file with comments. See `docs/settings.md`.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;

use crate::jsonc::Findings;
use crate::jsonc::Schema;
use crate::jsonc::Source;
use crate::jsonc::optional;
use crate::jsonc::required;
use crate::protocol::auth::AuthKey;
use crate::protocol::name::DomainName;
use crate::protocol::name::NodeId;
use crate::protocol::name::RegionName;
use crate::result_code::Failure;
use crate::result_code::ResultCode;
use crate::state::validate::check_name;

/// Format of the log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One line of text per record.
    #[default]
    Text,
    /// One JSON object per record.
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
    /// Also the messages between nodes.
    Debug,
}

/// Settings of one node.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the node, unique in the fleet.
    pub id: NodeId,
    /// Region of the instance.
    pub region: RegionName,
    /// Failure domain of the instance.
    pub failure_domain: DomainName,
    /// Address at which callers and the backend server beside the node reach the node.
    pub request_addr: SocketAddr,
    /// Address at which other nodes reach the node over HTTP.
    pub node_addr: SocketAddr,
    /// Address at which operators reach the node.
    pub operator_addr: SocketAddr,
    /// UDP address for gossip.
    pub gossip_addr: SocketAddr,
    /// Address of the platform's log.
    pub log_addr: SocketAddr,
    /// Node addresses of some other nodes; the log's `members` stream is used if none responds.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// File with the key that nodes share; a second line may hold the previous key.
    pub cluster_key_file: PathBuf,
    /// File with the bearer token for the operator port.
    pub operator_token_file: PathBuf,
    /// Format of the log lines.
    #[serde(default)]
    pub log_format: LogFormat,
    /// Least severe level that is logged.
    #[serde(default)]
    pub log_level: LogLevel,
}

/// Size limit of a settings file.
pub const MAX_SETTINGS_BYTES: usize = 64 << 10;
/// Maximum number of seeds; a starting node asks them one after the other.
pub const MAX_SEEDS: usize = 64;

/// Fields of the file. They are checked before deserialisation, since serde stops at the first
/// failure.
const SETTINGS: Schema = Schema::Object(&[
    required("id", Schema::String),
    required("region", Schema::String),
    required("failure_domain", Schema::String),
    required("request_addr", Schema::Address),
    required("node_addr", Schema::Address),
    required("operator_addr", Schema::Address),
    required("gossip_addr", Schema::Address),
    required("log_addr", Schema::Address),
    optional("seeds", Schema::List(&Schema::Address)),
    required("cluster_key_file", Schema::String),
    required("operator_token_file", Schema::String),
    optional("log_format", Schema::OneOf(&["text", "json"])),
    optional(
        "log_level",
        Schema::OneOf(&["error", "warning", "info", "debug"]),
    ),
]);

/// Returns the names of all fields of a settings file.
#[must_use]
pub fn field_names() -> Vec<&'static str> {
    match SETTINGS {
        Schema::Object(fields) => fields.iter().map(|field| field.name).collect(),
        _ => Vec::new(),
    }
}

/// Reads and checks a settings file. Relative paths of the key and token files are resolved
/// against the directory of the settings file.
///
/// # Errors
/// Every failure found, each with file, line, column and field.
pub fn load(file: &Path) -> Result<Settings, Vec<Failure>> {
    let name = file.display();
    let text = fs::read_to_string(file).map_err(|e| {
        let text = format!("cannot read {name}: {e}");
        vec![Failure::new(ResultCode::InvalidSettings, text)]
    })?;
    let mut settings = parse(&text, &name.to_string())?;
    let dir = file.parent().unwrap_or(Path::new(""));
    settings.cluster_key_file = dir.join(&settings.cluster_key_file);
    settings.operator_token_file = dir.join(&settings.operator_token_file);
    Ok(settings)
}

/// Checks the text of a settings file; `name` is the file name in failures.
///
/// # Errors
/// Every failure found, each with file, line, column and field.
pub fn parse(text: &str, name: &str) -> Result<Settings, Vec<Failure>> {
    let source = Source::parse(text, name, MAX_SETTINGS_BYTES)?;
    source.check(&SETTINGS)?;
    let settings: Settings = source.deserialize()?;
    let mut findings = Findings::default();
    check_names(&settings, &mut findings);
    check_addresses(&settings, &mut findings);
    check_file_names(&settings, &mut findings);
    if findings.is_empty() {
        Ok(settings)
    } else {
        Err(source.failures(findings))
    }
}

/// Checks that the key file and the token file can be read and are long enough.
///
/// This check is separate from [`load`], since settings files are also checked on machines without
/// the secrets.
///
/// # Errors
/// Every failure found, each with the field and the file.
pub fn check_secrets(settings: &Settings) -> Result<(), Vec<Failure>> {
    let mut failures = Vec::new();
    let mut report = |field: &str, file: &Path, found: &str| {
        let text = format!("{field}: {}: {found}", file.display());
        failures.push(Failure::new(ResultCode::InvalidSettings, text));
    };
    let file = &settings.cluster_key_file;
    match fs::read_to_string(file) {
        Ok(content) => {
            let mut keys = content.lines().filter(|line| !line.trim().is_empty());
            let lines = keys.clone().count();
            if lines == 0 {
                let found = "found no key; the first line must hold one";
                report("cluster_key_file", file, found);
            } else if let Some(e) = keys.find_map(|key| AuthKey::derive(key.as_bytes()).err()) {
                report("cluster_key_file", file, &e.text);
            }
        }
        Err(e) => report("cluster_key_file", file, &format!("cannot be read: {e}")),
    }
    let file = &settings.operator_token_file;
    match fs::read_to_string(file) {
        Ok(content) if content.trim().is_empty() => {
            report("operator_token_file", file, "found an empty token");
        }
        Ok(content) if !content.trim().bytes().all(|b| b.is_ascii_graphic()) => {
            let found = "the token has characters other than visible ASCII, which a header must not contain";
            report("operator_token_file", file, found);
        }
        Ok(_) => {}
        Err(e) => report("operator_token_file", file, &format!("cannot be read: {e}")),
    }
    if failures.is_empty() {
        Ok(())
    } else {
        Err(failures)
    }
}

fn check_names(settings: &Settings, findings: &mut Findings) {
    let names = [
        ("id", settings.id.as_str()),
        ("region", settings.region.as_str()),
        ("failure_domain", settings.failure_domain.as_str()),
    ];
    for (field, name) in names {
        check_name(field.into(), name, findings);
    }
}

fn check_addresses(settings: &Settings, findings: &mut Findings) {
    // Gossip uses UDP, so its address may equal a TCP address.
    let tcp = [
        ("request_addr", settings.request_addr),
        ("node_addr", settings.node_addr),
        ("operator_addr", settings.operator_addr),
        ("log_addr", settings.log_addr),
    ];
    for (i, (field, addr)) in tcp.iter().enumerate() {
        if let Some((other, _)) = tcp[..i].iter().find(|(_, other)| other == addr) {
            let text =
                format!("found {addr}, which {other} already uses; addresses must be unique");
            findings.add(ResultCode::DuplicateName, *field, text);
        }
    }
    let mut all: Vec<(String, SocketAddr)> =
        tcp.iter().map(|(f, a)| ((*f).to_owned(), *a)).collect();
    all.push(("gossip_addr".to_owned(), settings.gossip_addr));
    for (i, seed) in settings.seeds.iter().enumerate() {
        all.push((format!("seeds[{i}]"), *seed));
        if let Some(first) = settings.seeds[..i].iter().position(|other| other == seed) {
            let text =
                format!("found {seed}, which seeds[{first}] already has; seeds must be unique");
            findings.add(ResultCode::DuplicateName, format!("seeds[{i}]"), text);
        }
    }
    for (field, addr) in &all {
        if addr.port() == 0 {
            let text = format!("found port 0 in {addr}, allowed are 1 to 65535");
            findings.add(ResultCode::InvalidField, field.as_str(), text);
        }
        // Other nodes connect to these addresses, and an unspecified address (0.0.0.0 or ::) does not
        // lead them to this instance.
        if addr.ip().is_unspecified() && !matches!(field.as_str(), "request_addr" | "operator_addr")
        {
            let text = format!("found {addr}, allowed is an address that other nodes can reach");
            findings.add(ResultCode::InvalidField, field.as_str(), text);
        }
    }
    if settings.seeds.len() > MAX_SEEDS {
        let text = format!(
            "found {} entries, allowed are 0 to {MAX_SEEDS}",
            settings.seeds.len()
        );
        findings.add(ResultCode::LimitExceeded, "seeds", text);
    }
}

fn check_file_names(settings: &Settings, findings: &mut Findings) {
    let files = [
        ("cluster_key_file", &settings.cluster_key_file),
        ("operator_token_file", &settings.operator_token_file),
    ];
    for (field, file) in files {
        if file.as_os_str().is_empty() {
            let text = "found an empty file name";
            findings.add(ResultCode::InvalidField, field, text);
        }
    }
}
