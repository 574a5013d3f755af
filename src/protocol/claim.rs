//! Messages by which an entry node claims the key of a non-idempotent call, see `docs/design.md`,
//! section 3, "At most once".

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::protocol::name::DomainName;
use crate::protocol::name::NodeId;

/// Identifies one attempt to run a keyed call; unique in the fleet.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimId {
    /// Node that claims.
    pub node: NodeId,
    /// Incarnation of the node's process, so that a restart does not reuse an id.
    pub started_ms: u64,
    /// Counts the claims of that process.
    pub sequence: u64,
}

/// Asks a key replica for the right to run a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRequest {
    /// Caller's idempotency key, prefixed with the route name.
    pub key: Arc<str>,
    /// Hash of the request, so that one key is not used for two different requests.
    pub fingerprint: u64,
    /// The attempt.
    pub claim: ClaimId,
    /// Failure domain that the receiver is asked to keep the key for.
    pub domain: DomainName,
}

/// Result that is kept with a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// `content-type` header, if there was one.
    pub content_type: Option<String>,
    /// Body; `None` if it was too large to keep.
    pub body: Option<Vec<u8>>,
}

/// Answer of a key replica to a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimReply {
    /// The key is claimed for this attempt.
    Granted,
    /// Another attempt holds the key and has not reported its end.
    Running,
    /// Another attempt has run the key.
    Done(RecordedAnswer),
    /// Another attempt may have run the key; its result is not known.
    Unknown,
    /// The key was used before for a different request.
    Mismatch,
    /// The key replica cannot exclude an earlier claim.
    Abstain,
}

/// Tells a key replica that an attempt dispatched nothing and gives its claim up.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReleaseRequest {
    /// The key.
    pub key: Arc<str>,
    /// The attempt.
    pub claim: ClaimId,
}

/// Tells a key replica how an attempt ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CompleteRequest {
    /// The key.
    pub key: Arc<str>,
    /// Hash of the request, for a key replica that has not seen the claim.
    pub fingerprint: u64,
    /// The attempt.
    pub claim: ClaimId,
    /// The answer; `None` if the outcome is unknown.
    pub answer: Option<RecordedAnswer>,
}
