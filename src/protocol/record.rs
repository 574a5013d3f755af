//! Records in the platform's log, see `docs/design.md`, section 4.

use serde::Deserialize;
use serde::Serialize;

use crate::protocol::document::Document;
use crate::protocol::gossip::Member;
use crate::protocol::gossip::Rollback;
use crate::protocol::name::ConfigVersion;
use crate::protocol::name::NodeId;
use crate::protocol::name::ServiceName;
use crate::protocol::time::WallMs;

/// Stream of configuration records.
pub const CONFIG_STREAM: &str = "config";
/// Stream of outcomes.
pub const OUTCOME_STREAM: &str = "outcomes";
/// Stream of announcements with which nodes discover each other.
pub const MEMBER_STREAM: &str = "members";

/// Identity of a publication, chosen by the publisher; makes a repeated append harmless.
pub type PublishId = uuid::Uuid;

/// An operator's request to put a document in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Publish {
    /// Identity of the publication across repeated appends.
    pub publish_id: PublishId,
    /// Version that the operator's change is based on.
    pub base: ConfigVersion,
    /// Operator who publishes the document.
    pub author: String,
    /// Wall time of the publication.
    pub at: WallMs,
    /// The complete document.
    pub document: Document,
}

/// Configuration version in which the section of a service last changed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceSince {
    /// The service.
    pub service: ServiceName,
    /// Configuration version of the last change.
    pub since: ConfigVersion,
}

/// A configuration version as it is stored and transferred.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionedDocument {
    /// The version.
    pub version: ConfigVersion,
    /// The validated document.
    pub document: Document,
    /// Last change of each service, sorted by service.
    pub since: Vec<ServiceSince>,
}

/// A publication that readers remember to recognise repeated appends.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SeenPublish {
    /// Identity of the publication.
    pub publish_id: PublishId,
    /// Version that it defined, or `None` if it was rejected.
    pub version: Option<ConfigVersion>,
}

/// The complete state of the fold, appended before retention drops the records from which it was
/// computed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Checkpoint {
    /// Offset of the last record that the state includes.
    pub as_of: u64,
    /// The configuration in force at that offset.
    pub current: VersionedDocument,
    /// Most recent publications, oldest first.
    pub recent: Vec<SeenPublish>,
    /// Rollbacks of rollouts that the document still contains.
    pub rollbacks: Vec<Rollback>,
}

/// A record of the `config` stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ConfigRecord {
    /// An operator's publication.
    Publish(Publish),
    /// The state of the fold.
    Checkpoint(Checkpoint),
    /// A rollback, stored in the log so that it survives a restart of the whole fleet.
    Rollback(Rollback),
}

/// A record of the `outcomes` stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OutcomeRecord {
    /// Result code, see `docs/result-codes.md`.
    pub code: u16,
    /// Identity of the outcome, for deduplication: several nodes may report the same outcome.
    pub identity: String,
    /// Wall time of the outcome.
    pub at: WallMs,
    /// Node that reports it.
    pub node: NodeId,
    /// Subject of the outcome, for example a service and version.
    pub subject: String,
    /// One plain sentence with the cause and the relevant numbers.
    pub text: String,
}

/// A record of the `members` stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Announcement {
    /// The announced member.
    pub member: Member,
}
