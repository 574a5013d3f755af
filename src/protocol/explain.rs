//! Question where a node would send a request, and its answer, as JSON. See `docs/operators.md`, "Where a
//! request would go".

use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error as _;
use serde_path_to_error::Segment;

use crate::protocol::mesh::KeyHash;
use crate::protocol::name::DomainName;
use crate::protocol::name::NodeId;
use crate::protocol::name::RegionName;
use crate::protocol::name::RouteName;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;
use crate::protocol::name::WorkspaceName;

/// Path of the question at the metrics port.
pub const EXPLAIN_PATH: &str = "/explain";
/// Largest question, bytes.
pub const MAX_REQUEST_BYTES: usize = 64 << 10;

/// Fields of a question and what they must be, sorted.
const FIELDS: [(&str, &str); 6] = [
    ("body_bytes", "must be a whole number, at least 0"),
    ("host", "must be a string"),
    ("key_hash", "must be a BLAKE3 hash of 64 hexadecimal digits"),
    ("path", "must be a string"),
    ("time_left_ms", "must be a whole number, at least 0"),
    ("workspace", "must be the name of a workspace"),
];
/// Longest name of an unknown field that an error repeats.
const MAX_FIELD_NAME_BYTES: usize = 32;
const NOT_JSON: &str = "body: must be one JSON object";

/// A request of a caller that is not sent.
#[derive(Clone, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ExplainRequest {
    /// Value of the `Host` header.
    pub host: String,
    /// Path; a query is ignored.
    pub path: String,
    /// Hash of the credential. The credential itself stays with the operator, so that no node can log it.
    #[serde(
        default,
        deserialize_with = "read_key_hash",
        serialize_with = "write_key_hash",
        skip_serializing_if = "Option::is_none"
    )]
    pub key_hash: Option<KeyHash>,
    /// Workspace whose credential the request has, instead of the credential.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceName>,
    /// Size of the body.
    #[serde(default)]
    pub body_bytes: usize,
    /// Time until the deadline of the caller, milliseconds; `None` if it sends none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub time_left_ms: Option<u64>,
}

impl ExplainRequest {
    /// Reads a question.
    ///
    /// # Errors
    /// The field that is invalid, and why.
    pub fn parse(body: &[u8]) -> Result<Self, String> {
        let mut de = serde_json::Deserializer::from_slice(body);
        let request: Self = serde_path_to_error::deserialize(&mut de).map_err(|e| defect(&e))?;
        de.end().map_err(|_| NOT_JSON)?;
        request.check()?;
        Ok(request)
    }

    /// Checks what the types do not show.
    ///
    /// # Errors
    /// The field that is invalid, and why.
    pub fn check(&self) -> Result<(), String> {
        let is_visible = |text: &str| text.bytes().all(|byte| byte.is_ascii_graphic());
        if self.host.is_empty() || !is_visible(&self.host) {
            return Err("host: must be visible ASCII characters, at least one".into());
        }
        if !self.path.starts_with('/') || !is_visible(&self.path) {
            return Err(
                "path: must begin with a slash and have visible ASCII characters only".into(),
            );
        }
        if self.key_hash.is_some() && self.workspace.is_some() {
            return Err("workspace: must be absent if key_hash is present".into());
        }
        Ok(())
    }

    /// Returns the path without a query.
    #[must_use]
    pub fn path_only(&self) -> &str {
        self.path.split('?').next().unwrap_or_default()
    }

    /// Returns the time until the deadline of the caller.
    #[must_use]
    pub fn time_left(&self) -> Option<Duration> {
        self.time_left_ms.map(Duration::from_millis)
    }
}

/// Names the invalid field. Values are not repeated, nor names that are none of a field, since a credential may have
/// been put there by mistake.
fn defect(error: &serde_path_to_error::Error<serde_json::Error>) -> String {
    if !error.inner().is_data() {
        return NOT_JSON.into();
    }
    let Some(Segment::Map { key }) = error.path().iter().next() else {
        // The messages of serde for these have no value.
        let text = error.inner().to_string();
        let begins = |kind: &str, field: &str| text.starts_with(&format!("{kind} field `{field}`"));
        let named = FIELDS.iter().find_map(|(field, _)| {
            let missing = begins("missing", field).then(|| format!("{field}: must be present"));
            let repeated = || begins("duplicate", field).then(|| format!("{field}: is repeated"));
            missing.or_else(repeated)
        });
        return named.unwrap_or_else(|| NOT_JSON.into());
    };
    match FIELDS.binary_search_by_key(&key.as_str(), |(field, _)| field) {
        Ok(index) if error.inner().to_string().starts_with("duplicate field") => {
            format!("{}: is repeated", FIELDS[index].0)
        }
        Ok(index) => {
            let (field, requirement) = FIELDS[index];
            format!("{field}: {requirement}")
        }
        Err(_) => {
            let is_plain = |byte: u8| byte.is_ascii_lowercase() || byte == b'_';
            if key.len() <= MAX_FIELD_NAME_BYTES && key.bytes().all(is_plain) {
                format!("{key}: is not a field of a query")
            } else {
                "body: has an unknown field".into()
            }
        }
    }
}

fn read_key_hash<'de, D: Deserializer<'de>>(de: D) -> Result<Option<KeyHash>, D::Error> {
    let text = Option::<String>::deserialize(de)?;
    let Some(text) = text else {
        return Ok(None);
    };
    // The text is not repeated, since it may be a credential that was put here by mistake.
    let hash = KeyHash::from_hex(&text);
    hash.map(Some)
        .ok_or_else(|| D::Error::custom("must be a BLAKE3 hash of 64 hexadecimal digits"))
}

#[allow(clippy::ref_option, reason = "the signature that serde calls")]
fn write_key_hash<S: Serializer>(hash: &Option<KeyHash>, s: S) -> Result<S::Ok, S::Error> {
    hash.map(KeyHash::to_hex).serialize(s)
}

/// Where a node would send a request now, and why.
#[derive(Clone, Debug, Serialize)]
pub struct Explanation {
    /// Node that was asked.
    pub node: NodeId,
    /// Configuration in force, if the node has one.
    pub config: Option<ConfigView>,
    /// Route of the request.
    pub route: Option<RouteView>,
    /// Workspace of the request; `None` if it needs none.
    pub workspace: Option<WorkspaceView>,
    /// Service that was chosen by the weights of the route.
    pub service: Option<ServiceName>,
    /// Rollout of the service, if there is one.
    pub rollout: Option<RolloutView>,
    /// Regions that may serve the request; `None` if all may.
    pub regions: Option<Vec<RegionName>>,
    /// Time within which the request has to be answered, milliseconds.
    pub time_limit_ms: Option<u64>,
    /// All known nodes, sorted by name; empty if none was chosen from.
    pub candidates: Vec<CandidateView>,
    /// Node that the request would be sent to.
    pub chosen: Option<ChosenView>,
    /// Answer of the node, if the request would be sent to none.
    pub refusal: Option<RefusalView>,
}

/// A configuration.
#[derive(Clone, Debug, Serialize)]
pub struct ConfigView {
    /// Version.
    pub version: u64,
    /// Time since it was last known to be the newest, milliseconds; `None` if that was never known.
    pub age_ms: Option<u64>,
}

/// A route.
#[derive(Clone, Debug, Serialize)]
pub struct RouteView {
    /// Name.
    pub name: RouteName,
    /// Host.
    pub host: String,
    /// Path prefix.
    pub prefix: String,
    /// Whether requests need no credential.
    pub is_public: bool,
}

/// A workspace.
#[derive(Clone, Debug, Serialize)]
pub struct WorkspaceView {
    /// Name.
    pub name: WorkspaceName,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Quota, if it has one.
    pub quota: Option<QuotaView>,
}

/// Quota of a workspace at one node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct QuotaView {
    /// Requests a second, over all nodes together.
    pub per_s: f64,
    /// Requests that it may send at once beyond the rate.
    pub burst: u32,
    /// Part of the quota that this node may use.
    pub share: f64,
    /// Tokens of this node.
    pub tokens: f64,
    /// Level of the fleet's bucket.
    pub level: f64,
    /// Age of the fleet's totals, milliseconds, if there are any.
    pub totals_age_ms: Option<u64>,
}

/// Rollout of a service.
#[derive(Clone, Debug, Serialize)]
pub struct RolloutView {
    /// New version.
    pub target: VersionName,
    /// Share of the requests that are sent to it.
    pub share: f64,
    /// Whether it was taken back.
    pub is_taken_back: bool,
}

/// Class of a node; a node of an earlier class is preferred at any cost.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Availability {
    /// The node accepts calls, as far as is known.
    Available,
    /// The node has just refused a call because of load.
    Overloaded,
    /// The node was unreachable or had no backend server when it was last tried.
    Unreachable,
}

/// Why a node was not chosen.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum NotChosen {
    /// It has no backend server of the service that accepts calls.
    NoBackend,
    /// It is outside the home regions.
    OutsideHome,
    /// Its failure domain is evacuated.
    Evacuated,
    /// The rollout allows no request to the version of its backend server now.
    VersionNotAllowed,
    /// The call has tried it already.
    Tried,
    /// It was unreachable when it was last tried.
    Unreachable,
    /// It has just refused a call because of load.
    Overloaded,
    /// It has reported no spare slot for a call of another failure domain.
    NoSpareSlot,
    /// Another node costs less.
    CostsMore,
    /// It costs less, but only a share of the calls leaves the failure domain.
    SpilloverShare,
}

impl NotChosen {
    /// Returns the reason as text.
    #[must_use]
    pub fn text(self) -> &'static str {
        match self {
            Self::NoBackend => "no backend server of the service",
            Self::OutsideHome => "outside the home regions",
            Self::Evacuated => "failure domain evacuated",
            Self::VersionNotAllowed => "version not allowed by the rollout",
            Self::Tried => "tried already",
            Self::Unreachable => "unreachable",
            Self::Overloaded => "overloaded",
            Self::NoSpareSlot => "no spare slot for other failure domains",
            Self::CostsMore => "costs more",
            Self::SpilloverShare => "not in the share of calls that leave",
        }
    }
}

/// A node that a request may be sent to.
#[derive(Clone, Debug, Serialize)]
pub struct CandidateView {
    /// Node.
    pub node: NodeId,
    /// Its failure domain.
    pub failure_domain: DomainName,
    /// Its region.
    pub region: RegionName,
    /// Service of its backend server, if that accepts calls.
    pub service: Option<ServiceName>,
    /// Version of that backend server.
    pub version: Option<VersionName>,
    /// Availability.
    pub availability: Availability,
    /// Expected time until the response in milliseconds, if the node may serve the request.
    pub time_ms: Option<f64>,
    /// Expected cost in milliseconds, with its random part, if the node may serve the request.
    pub cost_ms: Option<f64>,
    /// Age of its load report, milliseconds, if it has sent one.
    pub load_age_ms: Option<u64>,
    /// Why it was not chosen; `None` for the chosen node.
    pub not_chosen: Option<NotChosen>,
}

/// The node that a request would be sent to.
#[derive(Clone, Debug, Serialize)]
pub struct ChosenView {
    /// Node.
    pub node: NodeId,
    /// Version of its backend server.
    pub version: VersionName,
    /// Whether the request leaves its failure domain although that has a node which may serve it.
    pub is_spillover: bool,
    /// Share of the calls that may leave for the best other failure domain; zero if calls stay or leave by their
    /// cost alone.
    pub spillover_share: f64,
}

/// Answer of a node to a request that is sent to no backend server.
#[derive(Clone, Debug, Serialize)]
pub struct RefusalView {
    /// HTTP status.
    pub status: u16,
    /// Number of the result code.
    pub code: u16,
    /// Text of the result code.
    pub text: String,
    /// Value of `Retry-After` in milliseconds, if the answer has one.
    pub retry_after_ms: Option<u64>,
}
