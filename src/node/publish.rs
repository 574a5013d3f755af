//! Publications through this node and the question whether a version is in force everywhere.

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

/// Time within which the log's records up to a publication must have been read.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(5);
/// Versions whose way is followed at a time; 1,100 publications per day are less than one in a
/// minute.
const FOLLOWED_VERSIONS: usize = 8;
/// Names of nodes in an outcome.
const SHOWN_NODES: usize = 8;
/// Longest name of an author, bytes; it stands in each record and outcome.
const MAX_AUTHOR_BYTES: usize = 64;

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
    /// Start of the last question to the members, monotonic.
    #[serde(skip)]
    pub asked_at: Option<Duration>,
}

/// Publishes a document: checks it, appends it once, reads the log up to it and reports the result
/// as an outcome.
///
/// The work is a task of its own, so that it ends and is reported also if the operator's connection
/// breaks.
pub async fn publish(node: &Rc<Node>, request: PublishRequest) -> PublishAnswer {
    let node = node.clone();
    let task = actix_rt::spawn(async move { publish_and_report(&node, request).await });
    task.await.unwrap_or_else(|e| {
        let text = format!("the task of the publication failed: {e}");
        not_confirmed(&Failure::new(ResultCode::PublishUnconfirmed, text))
    })
}

async fn publish_and_report(node: &Rc<Node>, request: PublishRequest) -> PublishAnswer {
    let id = request.publish_id;
    let author = request.author.clone();
    let result = try_publish(node, request).await;
    let answer = result.unwrap_or_else(|failure| not_confirmed(&failure));
    let identity = match answer.result {
        "not confirmed" => format!("publish-not-confirmed/{id}"),
        _ => format!("publish/{id}"),
    };
    let code = ResultCode::from_number(answer.code).unwrap_or(ResultCode::PublishInvalid);
    // A control character in a refused name must not reach a terminal.
    let author: String = author
        .chars()
        .filter(|c| !c.is_control())
        .take(MAX_AUTHOR_BYTES)
        .collect();
    node.report(
        code,
        identity,
        format!("publication {id} by {author}"),
        answer.text.clone(),
    );
    answer
}

fn not_confirmed(failure: &Failure) -> PublishAnswer {
    PublishAnswer {
        result: "not confirmed",
        version: None,
        code: ResultCode::PublishUnconfirmed.number(),
        text: format!(
            "the publication may or may not take effect: {failure}; it is safe to publish again \
             on the same base"
        ),
    }
}

async fn try_publish(node: &Rc<Node>, request: PublishRequest) -> Result<PublishAnswer, Failure> {
    let id = request.publish_id;
    if let Err(failure) = check_author(&request.author) {
        return Ok(refused(&[failure]));
    }
    catch_up(node, None).await?;
    match known(node, id) {
        Some(SeenPublish {
            version: Some(version),
            ..
        }) => return Ok(accepted(node, version)),
        Some(_) => return Ok(lost(node, request.base).await),
        None => {}
    }
    let (publish, stale) = {
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
    if let Some(failures) = stale {
        return refused_or_successor(node, &publish, &failures).await;
    }
    let record = codec::encode(&ConfigRecord::Publish(publish))?;
    let offset = node.log_client.append(CONFIG_STREAM, record).await?;
    info!(node.log, "publication appended"; "publish_id" => id.to_string(), "offset" => offset);
    catch_up(node, Some(offset)).await?;
    match known(node, id) {
        Some(SeenPublish {
            version: Some(version),
            ..
        }) => Ok(accepted(node, version)),
        Some(_) => Ok(lost(node, Some(base)).await),
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

/// A publication whose base is no longer in force was refused, unless it is the one that replaced
/// this base: then an earlier try was appended and its answer was lost.
async fn refused_or_successor(
    node: &Rc<Node>,
    publish: &Publish,
    failures: &[Failure],
) -> Result<PublishAnswer, Failure> {
    let in_force = node.state.borrow().fold.version();
    let stale = failures
        .iter()
        .any(|failure| failure.code == ResultCode::PublishStale);
    if !stale || publish.base > in_force {
        return Ok(refused(failures));
    }
    match history::successor(node, publish.base).await {
        Ok(Some((version, first))) if first.publish_id == publish.publish_id => {
            Ok(accepted(node, version))
        }
        Ok(Some((version, first))) => Ok(lost_to(node, publish.base, version, &first)),
        Ok(None) => Ok(refused(failures)),
        Err(failure) if failure.code == ResultCode::LogTruncated => Ok(refused(failures)),
        Err(failure) => Err(failure),
    }
}

/// Answer to a publication that the fold refused because another one took effect on its base.
async fn lost(node: &Rc<Node>, base: Option<ConfigVersion>) -> PublishAnswer {
    if let Some(base) = base
        && let Ok(Some((version, first))) = history::successor(node, base).await
    {
        return lost_to(node, base, version, &first);
    }
    let text = "another publication took effect first; compare with the version in force and \
                publish again";
    refused(&[Failure::new(ResultCode::PublishStale, text)])
}

fn lost_to(
    node: &Node,
    base: ConfigVersion,
    version: ConfigVersion,
    first: &Publish,
) -> PublishAnswer {
    let in_force = node.state.borrow().fold.version();
    let text = format!(
        "the publication is based on version {base}, but version {version} by {} took effect after \
         it and {in_force} is in force; compare with it and publish again",
        first.author
    );
    refused(&[Failure::new(ResultCode::PublishStale, text)])
}

/// Returns the version in force at the end of the log, on which a new publication is based.
///
/// # Errors
/// If the log does not answer.
pub async fn base(node: &Rc<Node>) -> Result<ConfigVersion, Failure> {
    catch_up(node, None).await?;
    Ok(node.state.borrow().fold.version())
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

/// Returns what became of a publication as far as the fold remembers it.
fn known(node: &Node, id: PublishId) -> Option<SeenPublish> {
    let state = node.state.borrow();
    state.fold.recent_publish(id).cloned()
}

fn accepted(node: &Node, version: ConfigVersion) -> PublishAnswer {
    let wall = node.clock.wall();
    ask_members(node, version, Some(wall));
    PublishAnswer {
        result: "accepted",
        version: Some(version),
        code: ResultCode::PublishAccepted.number(),
        text: format!("version {version} is accepted"),
    }
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

/// Returns how far a version has come, and asks the members that may lack it.
pub fn convergence(node: &Node, version: ConfigVersion) -> Convergence {
    ask_members(node, version, None);
    let state = node.state.borrow();
    let known = state.convergence.iter().find(|c| c.version == version);
    known.cloned().unwrap_or_default()
}

/// Starts to ask the members for a version unless that is done already. A query reports its result
/// when all members have the version, and otherwise at fixed ages, so that a query that is started
/// again and again would never report what is missing.
fn ask_members(node: &Node, version: ConfigVersion, published_at: Option<WallMs>) {
    let now = node.clock.now();
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    let list = &mut state.convergence;
    let at = list
        .iter()
        .position(|c| c.version == version)
        .unwrap_or_else(|| {
            if list.len() >= FOLLOWED_VERSIONS {
                list.remove(0);
            }
            list.push(Convergence {
                version,
                ..Convergence::default()
            });
            list.len() - 1
        });
    let known = &mut list[at];
    known.published_at = known.published_at.or(published_at);
    let running = known
        .asked_at
        .is_some_and(|at| now.saturating_sub(at) < VERSION_QUERY_TIMEOUT);
    if !known.everywhere && !running {
        known.asked_at = Some(now);
        state.gossip.start_version_query(now, version);
    }
}

/// Takes over what a version query found. Whether a publication is in force everywhere is reported
/// by the node that served it, also if nobody waits for the answer.
pub fn on_version_status(
    node: &Node,
    version: ConfigVersion,
    have: usize,
    total: usize,
    missing: &[NodeId],
) {
    let everywhere = have == total;
    let mut reports = Vec::new();
    for known in &mut node.state.borrow_mut().convergence {
        // A member that has a later version has this one as well.
        if known.everywhere || !(known.version == version || everywhere && known.version < version)
        {
            continue;
        }
        known.have = have;
        known.total = total;
        known.missing = missing.to_vec();
        known.everywhere = everywhere;
        reports.extend(known.published_at.map(|at| (known.version, at)));
    }
    for (version, published_at) in reports {
        let taken = node.clock.wall().since(published_at);
        let subject = format!("configuration version {version}");
        if everywhere {
            node.metrics.convergence.record(taken.as_secs_f64());
            let text = format!(
                "version {version} is in force on all {total} nodes after {} ms",
                taken.as_millis()
            );
            let identity = format!("in-force/{version}");
            node.report(ResultCode::InForce, identity, subject, text);
        } else {
            let text = format!(
                "version {version} is in force on {have} of {total} nodes after {} ms; missing: {}",
                taken.as_millis(),
                name_some(missing)
            );
            let identity = format!("not-in-force/{version}/{}", taken.as_secs());
            node.report(ResultCode::NotInForce, identity, subject, text);
        }
    }
}

fn name_some(nodes: &[NodeId]) -> String {
    let shown: Vec<&str> = nodes.iter().take(SHOWN_NODES).map(NodeId::as_str).collect();
    let rest = nodes.len().saturating_sub(shown.len());
    let names = shown.join(", ");
    if rest > 0 {
        format!("{names} and {rest} others")
    } else {
        names
    }
}
