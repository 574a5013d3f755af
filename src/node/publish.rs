//! Publications through this node and the question whether a version is in force everywhere.

use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use slog::info;

use crate::node::Node;
use crate::node::config_reader;
use crate::protocol::codec;
use crate::protocol::document::Document;
use crate::protocol::name::ConfigVersion;
use crate::protocol::name::NodeId;
use crate::protocol::record::CONFIG_STREAM;
use crate::protocol::record::ConfigRecord;
use crate::protocol::record::Publish;
use crate::protocol::record::PublishId;
use crate::protocol::record::SeenPublish;
use crate::protocol::time::WallMs;
use crate::result_code::Failure;
use crate::result_code::ResultCode;
use crate::state::log_fold::check_publish;

/// Time within which the log's records up to a publication must have been read.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(5);

/// A publication as the operator port takes it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRequest {
    /// Identity of the publication across repeated requests.
    pub publish_id: PublishId,
    /// Version that it is based on; the one in force if absent.
    pub base: Option<ConfigVersion>,
    /// Who publishes.
    pub author: String,
    /// The document.
    pub document: Document,
}

/// What became of a publication.
#[derive(Clone, Debug, Serialize)]
pub struct PublishAnswer {
    /// `accepted`, `refused` or `not confirmed`.
    pub result: &'static str,
    /// Version that it defined.
    pub version: Option<ConfigVersion>,
    /// Result code.
    pub code: u16,
    /// One plain sentence.
    pub text: String,
}

/// How far a version has come, as far as this node has asked.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Convergence {
    /// Version that was asked for.
    pub version: ConfigVersion,
    /// Members that have it or a higher one in force.
    pub have: usize,
    /// Members that are not dead.
    pub total: usize,
    /// Some members without it.
    pub missing: Vec<NodeId>,
    /// Whether all have it.
    pub everywhere: bool,
    /// Wall time of the publication, if this node published it.
    #[serde(skip)]
    pub published_at: Option<WallMs>,
}

/// Publishes a document: checks it, appends it once and reads the log up to it.
pub async fn publish(node: &Rc<Node>, request: PublishRequest) -> PublishAnswer {
    match try_publish(node, request).await {
        Ok(answer) => answer,
        Err(failure) => PublishAnswer {
            result: "not confirmed",
            version: None,
            code: ResultCode::PublishUnconfirmed.number(),
            text: format!(
                "the publication may or may not take effect: {failure}; the same command again is safe"
            ),
        },
    }
}

async fn try_publish(node: &Rc<Node>, request: PublishRequest) -> Result<PublishAnswer, Failure> {
    let id = request.publish_id;
    catch_up(node, None).await?;
    if let Some(answer) = known(node, id) {
        return Ok(answer);
    }
    let publish = {
        let state = node.state.borrow();
        let publish = Publish {
            publish_id: id,
            base: request.base.unwrap_or_else(|| state.fold.version()),
            author: request.author,
            at: node.clock.wall(),
            document: request.document,
        };
        if let Err(failures) = check_publish(state.fold.current(), &publish) {
            return Ok(refused(&failures));
        }
        publish
    };
    let record = codec::encode(&ConfigRecord::Publish(publish))?;
    let offset = node.log_client.append(CONFIG_STREAM, record).await?;
    info!(node.log, "publication appended"; "publish_id" => id.to_string(), "offset" => offset);
    catch_up(node, Some(offset)).await?;
    known(node, id).ok_or_else(|| {
        Failure::new(
            ResultCode::PublishUnconfirmed,
            "the record was not found in the log",
        )
    })
}

/// Reads the log to its end, or at least beyond `offset`.
async fn catch_up(node: &Rc<Node>, offset: Option<u64>) -> Result<(), Failure> {
    let limit = node.clock.now() + CATCH_UP_LIMIT;
    loop {
        config_reader::read_log(node, Duration::ZERO).await?;
        let (next, end) = {
            let state = node.state.borrow();
            (state.fold.next_offset(), state.log_bounds.1)
        };
        if next >= end && offset.is_none_or(|offset| next > offset) {
            return Ok(());
        }
        if node.clock.now() > limit {
            return Err(Failure::new(
                ResultCode::LogUnavailable,
                "the log was not read to its end in time",
            ));
        }
    }
}

fn known(node: &Node, id: PublishId) -> Option<PublishAnswer> {
    let mut state = node.state.borrow_mut();
    let seen: SeenPublish = state.fold.outcome_of(id)?.clone();
    let Some(version) = seen.version else {
        return Some(PublishAnswer {
            result: "refused",
            version: None,
            code: ResultCode::PublishStale.number(),
            text: "another publication took effect first; compare with the version in force and publish again".into(),
        });
    };
    if state.convergence.version != version {
        state.convergence = Convergence {
            version,
            published_at: Some(node.clock.wall()),
            ..Convergence::default()
        };
    }
    Some(PublishAnswer {
        result: "accepted",
        version: Some(version),
        code: ResultCode::PublishAccepted.number(),
        text: format!("version {version} is accepted"),
    })
}

fn refused(failures: &[Failure]) -> PublishAnswer {
    let code = failures
        .first()
        .map_or(ResultCode::PublishInvalid, |failure| failure.code);
    let texts: Vec<String> = failures.iter().map(ToString::to_string).collect();
    PublishAnswer {
        result: "refused",
        version: None,
        code: code.number(),
        text: texts.join("; "),
    }
}

/// Returns how far a version has come and asks the members that may lack it.
pub fn convergence(node: &Node, version: ConfigVersion) -> Convergence {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    if state.convergence.version != version {
        state.convergence = Convergence {
            version,
            ..Convergence::default()
        };
    }
    if !state.convergence.everywhere {
        state.gossip.start_version_query(now, version);
    }
    state.convergence.clone()
}

/// Takes over what a version query found.
pub fn on_version_status(
    node: &Node,
    version: ConfigVersion,
    have: usize,
    total: usize,
    missing: &[NodeId],
) {
    let published_at = {
        let mut state = node.state.borrow_mut();
        if state.convergence.version != version || state.convergence.everywhere {
            return;
        }
        let published_at = state.convergence.published_at;
        state.convergence = Convergence {
            version,
            have,
            total,
            missing: missing.to_vec(),
            everywhere: have == total,
            published_at,
        };
        published_at
    };
    let Some(published_at) = published_at.filter(|_| have == total) else {
        return;
    };
    let taken = node.clock.wall().since(published_at);
    node.metrics.convergence.record(taken.as_secs_f64());
    node.report(
        ResultCode::InForce,
        format!("in-force/{version}"),
        format!("configuration version {version}"),
        format!(
            "version {version} is in force on all {total} nodes after {} ms",
            taken.as_millis()
        ),
    );
}
