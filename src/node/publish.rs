//! Publishes configuration documents and tracks whether a version is in force on all nodes.

use std::rc::Rc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use slog::info;

use crate::coordination::dissemination::VERSION_QUERY_TIMEOUT;
use crate::node::Node;
use crate::node::config_reader;
use crate::node::history;
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

/// Timeout for reading the log up to a publication.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of versions whose convergence is tracked at a time; 1,100 publications per day
/// are less than one per minute.
const MAX_TRACKED_VERSIONS: usize = 8;
/// Maximum number of node names listed in an outcome.
const MAX_LISTED_NODES: usize = 8;
/// Maximum length of an author's name, bytes; each record and outcome contains the name.
const MAX_AUTHOR_BYTES: usize = 64;

/// A publication request at the operator port.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRequest {
    /// Identity of the publication; the same in each retry.
    pub publish_id: PublishId,
    /// Version that the publication is based on; defaults to the version in force.
    pub base: Option<ConfigVersion>,
    /// Name of the operator who publishes.
    pub author: String,
    /// Document to publish.
    pub document: Document,
}

/// Result of a publication.
#[derive(Clone, Debug, Serialize)]
pub struct PublishResponse {
    /// `accepted`, `refused` or `not confirmed`.
    pub result: &'static str,
    /// Version that the publication defined.
    pub version: Option<ConfigVersion>,
    /// Result code.
    pub code: u16,
    /// Description of the result in one sentence.
    pub text: String,
}

/// Progress of a version towards all members, as of the last query of this node.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Convergence {
    /// Version that was queried.
    pub version: ConfigVersion,
    /// Number of members that have this or a higher version in force.
    pub have: usize,
    /// Number of members that are not dead.
    pub total: usize,
    /// Some of the members that lack the version.
    pub missing: Vec<NodeId>,
    /// Whether all members have the version.
    pub everywhere: bool,
    /// Wall time of the publication, if this node published it.
    #[serde(skip)]
    pub published_at: Option<WallMs>,
    /// Monotonic time of the last query to the members.
    #[serde(skip)]
    pub asked_at: Option<Duration>,
}

/// Publishes a document: validates it, appends it to the log once, reads the log up to the new
/// record and reports the result as an outcome.
///
/// This runs in its own task, so that it is finished and reported even if the operator's connection
/// breaks.
pub async fn publish(node: &Rc<Node>, request: PublishRequest) -> PublishResponse {
    let node = node.clone();
    let task = actix_rt::spawn(async move { publish_and_report(&node, request).await });
    task.await.unwrap_or_else(|e| {
        let text = format!("the publication task failed: {e}");
        not_confirmed(&Failure::new(ResultCode::PublishUnconfirmed, text))
    })
}

async fn publish_and_report(node: &Rc<Node>, request: PublishRequest) -> PublishResponse {
    let id = request.publish_id;
    let author = request.author.clone();
    let result = try_publish(node, request).await;
    let response = result.unwrap_or_else(|failure| not_confirmed(&failure));
    let identity = match response.result {
        "not confirmed" => format!("publish-not-confirmed/{id}"),
        _ => format!("publish/{id}"),
    };
    let code = ResultCode::from_number(response.code).unwrap_or(ResultCode::PublishInvalid);
    // The name may have been refused for its control characters, which must not reach a terminal.
    let author: String = author
        .chars()
        .filter(|c| !c.is_control())
        .take(MAX_AUTHOR_BYTES)
        .collect();
    node.report(
        code,
        identity,
        format!("publication {id} by {author}"),
        response.text.clone(),
    );
    response
}

fn not_confirmed(failure: &Failure) -> PublishResponse {
    PublishResponse {
        result: "not confirmed",
        version: None,
        code: ResultCode::PublishUnconfirmed.number(),
        text: format!(
            "the publication may or may not take effect: {failure}; it is safe to publish again \
             on the same base"
        ),
    }
}

async fn try_publish(node: &Rc<Node>, request: PublishRequest) -> Result<PublishResponse, Failure> {
    let id = request.publish_id;
    if let Err(failure) = check_author(&request.author) {
        return Ok(refused(&[failure]));
    }
    catch_up(node, None).await?;
    match find_publish(node, id) {
        Some(SeenPublish {
            version: Some(version),
            ..
        }) => return Ok(accepted(node, version)),
        Some(_) => return Ok(superseded(node, request.base).await),
        None => {}
    }
    let (publish, check_failures) = {
        let state = node.state.borrow();
        let publish = Publish {
            publish_id: id,
            base: request.base.unwrap_or_else(|| state.fold.version()),
            author: request.author,
            at: node.clock.wall(),
            document: request.document,
        };
        let failures = check_publish(state.fold.current(), &publish).err();
        (publish, failures)
    };
    let base = publish.base;
    if let Some(failures) = check_failures {
        return refused_or_successor(node, &publish, &failures).await;
    }
    let record = codec::encode(&ConfigRecord::Publish(publish))?;
    let offset = node.log_client.append(CONFIG_STREAM, record).await?;
    info!(node.log, "publication appended"; "publish_id" => id.to_string(), "offset" => offset);
    catch_up(node, Some(offset)).await?;
    match find_publish(node, id) {
        Some(SeenPublish {
            version: Some(version),
            ..
        }) => Ok(accepted(node, version)),
        Some(_) => Ok(superseded(node, Some(base)).await),
        None => Err(Failure::new(
            ResultCode::PublishUnconfirmed,
            "the record was not found in the log",
        )),
    }
}

fn check_author(author: &str) -> Result<(), Failure> {
    let printable = !author.chars().any(char::is_control);
    if printable && (1..=MAX_AUTHOR_BYTES).contains(&author.len()) {
        return Ok(());
    }
    let text = format!(
        "author: found {} bytes{}, allowed are 1 to {MAX_AUTHOR_BYTES} without control characters",
        author.len(),
        if printable {
            ""
        } else {
            " with control characters"
        }
    );
    Err(Failure::new(ResultCode::PublishInvalid, text))
}

/// Returns the result of a publication that failed the check. If its base is no longer in force,
/// the publication is refused, unless it is itself the one that replaced the base: in that case an
/// earlier attempt was appended, but its acknowledgement was lost.
async fn refused_or_successor(
    node: &Rc<Node>,
    publish: &Publish,
    failures: &[Failure],
) -> Result<PublishResponse, Failure> {
    let in_force = node.state.borrow().fold.version();
    let is_stale = failures
        .iter()
        .any(|failure| failure.code == ResultCode::PublishStale);
    if !is_stale || publish.base > in_force {
        return Ok(refused(failures));
    }
    match history::successor(node, publish.base).await {
        Ok(Some((version, winner))) if winner.publish_id == publish.publish_id => {
            Ok(accepted(node, version))
        }
        Ok(Some((version, winner))) => Ok(superseded_by(node, publish.base, version, &winner)),
        Ok(None) => Ok(refused(failures)),
        Err(failure) if failure.code == ResultCode::LogTruncated => Ok(refused(failures)),
        Err(failure) => Err(failure),
    }
}

/// Returns the result of a publication that was refused because another one took effect on its
/// base.
async fn superseded(node: &Rc<Node>, base: Option<ConfigVersion>) -> PublishResponse {
    if let Some(base) = base
        && let Ok(Some((version, winner))) = history::successor(node, base).await
    {
        return superseded_by(node, base, version, &winner);
    }
    let text = "another publication took effect first; compare with the version in force and \
                publish again";
    refused(&[Failure::new(ResultCode::PublishStale, text)])
}

fn superseded_by(
    node: &Node,
    base: ConfigVersion,
    version: ConfigVersion,
    winner: &Publish,
) -> PublishResponse {
    let in_force = node.state.borrow().fold.version();
    let text = format!(
        "the publication is based on version {base}, but version {version} by {} took effect after \
         it and {in_force} is in force; compare with it and publish again",
        winner.author
    );
    refused(&[Failure::new(ResultCode::PublishStale, text)])
}

/// Returns the version in force at the end of the log, which is the base of a new publication.
///
/// # Errors
/// If the log does not answer.
pub async fn current_base(node: &Rc<Node>) -> Result<ConfigVersion, Failure> {
    catch_up(node, None).await?;
    Ok(node.state.borrow().fold.version())
}

/// Reads the log to its end, or at least beyond `offset`.
async fn catch_up(node: &Rc<Node>, offset: Option<u64>) -> Result<(), Failure> {
    let deadline = node.clock.now() + CATCH_UP_TIMEOUT;
    loop {
        config_reader::read_log(node, Duration::ZERO).await?;
        let (next, end) = {
            let state = node.state.borrow();
            (state.fold.next_offset(), state.log_bounds.1)
        };
        if next >= end && offset.is_none_or(|offset| next > offset) {
            return Ok(());
        }
        if node.clock.now() > deadline {
            return Err(Failure::new(
                ResultCode::LogUnavailable,
                "reading the log to its end timed out",
            ));
        }
    }
}

/// Returns the result of a publication if it is among the recent ones that the fold keeps.
fn find_publish(node: &Node, id: PublishId) -> Option<SeenPublish> {
    let state = node.state.borrow();
    state.fold.recent_publish(id).cloned()
}

fn accepted(node: &Node, version: ConfigVersion) -> PublishResponse {
    let wall = node.clock.wall();
    query_members(node, version, Some(wall));
    PublishResponse {
        result: "accepted",
        version: Some(version),
        code: ResultCode::PublishAccepted.number(),
        text: format!("version {version} is accepted"),
    }
}

fn refused(failures: &[Failure]) -> PublishResponse {
    let code = failures
        .first()
        .map_or(ResultCode::PublishInvalid, |failure| failure.code);
    let texts: Vec<String> = failures.iter().map(ToString::to_string).collect();
    PublishResponse {
        result: "refused",
        version: None,
        code: code.number(),
        text: texts.join("; "),
    }
}

/// Returns the last known convergence of a version and queries the members that may lack it.
pub fn convergence(node: &Node, version: ConfigVersion) -> Convergence {
    query_members(node, version, None);
    let state = node.state.borrow();
    let entry = state.convergence.iter().find(|c| c.version == version);
    entry.cloned().unwrap_or_default()
}

/// Starts a query whether the members have a version, unless one is running. A query reports its
/// result when all members have the version, and otherwise at fixed times after its start.
/// Restarting a running query would therefore suppress the report of the missing members.
fn query_members(node: &Node, version: ConfigVersion, published_at: Option<WallMs>) {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    let list = &mut state.convergence;
    let index = list
        .iter()
        .position(|c| c.version == version)
        .unwrap_or_else(|| {
            if list.len() >= MAX_TRACKED_VERSIONS {
                list.remove(0);
            }
            list.push(Convergence {
                version,
                ..Convergence::default()
            });
            list.len() - 1
        });
    let entry = &mut list[index];
    entry.published_at = entry.published_at.or(published_at);
    let is_running = entry
        .asked_at
        .is_some_and(|at| now.saturating_sub(at) < VERSION_QUERY_TIMEOUT);
    if !entry.everywhere && !is_running {
        entry.asked_at = Some(now);
        state.gossip.start_version_query(now, version);
    }
}

/// Records the result of a version query. The node that handled a publication reports whether the
/// version is in force everywhere, even if no client waits for that.
pub fn on_version_status(
    node: &Node,
    version: ConfigVersion,
    have: usize,
    total: usize,
    missing: &[NodeId],
) {
    let everywhere = have == total;
    let mut reports = Vec::new();
    for entry in &mut node.state.borrow_mut().convergence {
        // A member with a higher version counts as having this one.
        if entry.everywhere || !(entry.version == version || everywhere && entry.version < version)
        {
            continue;
        }
        entry.have = have;
        entry.total = total;
        entry.missing = missing.to_vec();
        entry.everywhere = everywhere;
        reports.extend(entry.published_at.map(|at| (entry.version, at)));
    }
    for (version, published_at) in reports {
        let elapsed = node.clock.wall().since(published_at);
        let subject = format!("configuration version {version}");
        if everywhere {
            node.metrics.convergence.record(elapsed.as_secs_f64());
            let text = format!(
                "version {version} is in force on all {total} nodes after {} ms",
                elapsed.as_millis()
            );
            let identity = format!("in-force/{version}");
            node.report(ResultCode::InForce, identity, subject, text);
        } else {
            let text = format!(
                "version {version} is in force on {have} of {total} nodes after {} ms; missing: {}",
                elapsed.as_millis(),
                format_nodes(missing)
            );
            let identity = format!("not-in-force/{version}/{}", elapsed.as_secs());
            node.report(ResultCode::NotInForce, identity, subject, text);
        }
    }
}

fn format_nodes(nodes: &[NodeId]) -> String {
    let shown: Vec<&str> = nodes
        .iter()
        .take(MAX_LISTED_NODES)
        .map(NodeId::as_str)
        .collect();
    let omitted = nodes.len().saturating_sub(shown.len());
    let names = shown.join(", ");
    if omitted > 0 {
        format!("{names} and {omitted} others")
    } else {
        names
    }
}
