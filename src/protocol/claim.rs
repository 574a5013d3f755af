//! Messages with which an entry node claims the idempotency key of a non-idempotent call, see
//! `docs/design.md`, section 3, "At most once".

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::protocol::name::DomainName;
use crate::protocol::name::NodeId;

/// Identifies one attempt to execute a call with an idempotency key; unique in the fleet.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimId {
    /// Node that makes the claim.
    pub node: NodeId,
    /// Start time of the node's process, so that no id is reused after a restart.
    pub started_ms: u64,
    /// Sequence number of the claim within that process.
    pub sequence: u64,
}

/// Asks a key replica for the right to execute the call of a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimRequest {
    /// Caller's idempotency key, prefixed with the route name.
    pub key: Arc<str>,
    /// Hash of the request, to detect that one key is used for two different requests.
    pub fingerprint: u64,
    /// The attempt.
    pub claim: ClaimId,
    /// Failure domain for which the receiver is asked to store the key.
    pub domain: DomainName,
}

/// Response that is stored with a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// `content-type` header, if there was one.
    pub content_type: Option<String>,
    /// Body; `None` if it was too large to store.
    pub body: Option<Vec<u8>>,
}

/// Reply of a key replica to a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimReply {
    /// The key is claimed for this attempt.
    Granted,
    /// Another attempt holds the key and has not completed yet.
    Running,
    /// Another attempt has executed the call.
    Done(RecordedAnswer),
    /// Another attempt may have executed the call; its result is not known.
    Unknown,
    /// The key was used before for a different request.
    Mismatch,
    /// The key replica does not vote, since it cannot rule out an earlier claim.
    Abstain,
}

/// Tells a key replica that an attempt forwarded nothing to a backend server and releases its claim.
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
    /// The response; `None` if the outcome is unknown.
    pub answer: Option<RecordedAnswer>,
}
