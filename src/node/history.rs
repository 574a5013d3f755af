//! Publications as the log's `config` stream tells them.

use std::rc::Rc;
use std::time::Duration;

use serde::Serialize;

use crate::node::Node;
use crate::protocol::codec;
use crate::protocol::name::ConfigVersion;
use crate::protocol::record::CONFIG_STREAM;
use crate::protocol::record::ConfigRecord;
use crate::protocol::record::Publish;
use crate::protocol::record::PublishId;
use crate::protocol::record::VersionedDocument;
use crate::protocol::time::WallMs;
use crate::result_code::Failure;
use crate::result_code::ResultCode;
use crate::state::log_fold::FoldEvent;
use crate::state::log_fold::LogFold;
use crate::state::validate;
use crate::transport::log_client::LogBatch;

/// Records read at a time; fewer than readers take, since this reads beside the normal work.
const BATCH_RECORDS: usize = 16;
/// Entries that are kept while the log is read; older ones are left out.
pub const MAX_ENTRIES: usize = 1_000;
/// Time for the whole reading.
const READ_LIMIT: Duration = Duration::from_secs(5);

/// One publication.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// Offset of the record.
    pub offset: u64,
    /// Version that it defined.
    pub version: Option<ConfigVersion>,
    /// `accepted`, `refused`, `duplicate` or `unknown`.
    pub result: &'static str,
    /// Version that it was based on.
    pub base: ConfigVersion,
    /// Who published.
    pub author: String,
    /// Wall time of the publication.
    pub at: WallMs,
    /// Identity of the publication.
    pub publish_id: PublishId,
    /// Why it was refused.
    pub reason: Option<String>,
}

/// What the log still tells.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Publications, oldest first.
    pub entries: Vec<Entry>,
    /// The version that was asked for, if the log has it.
    pub wanted: Option<VersionedDocument>,
}

/// Reads the publications that the log retains.
///
/// A fold of its own decides which of them took effect, by the same rules as every reader.
///
/// # Errors
/// If the log does not answer, or not in time.
pub async fn read(node: &Node, wanted: Option<ConfigVersion>) -> Result<History, Failure> {
    let limit = node.clock.now() + READ_LIMIT;
    let mut fold = LogFold::new();
    let mut history = History::default();
    loop {
        let batch = read_batch(node, fold.next_offset()).await?;
        for record in &batch.records {
            // A checkpoint moves the fold back behind records that were folded without effect.
            if (batch.oldest..record.0).contains(&fold.next_offset()) {
                break;
            }
            let events = fold.on_records(batch.oldest, std::slice::from_ref(record));
            note(&mut history, record, &events, wanted);
        }
        if fold.next_offset() >= batch.end || batch.records.is_empty() {
            return Ok(history);
        }
        if node.clock.now() > limit {
            let text = "the log was not read to its end in time";
            return Err(Failure::new(ResultCode::LogUnavailable, text));
        }
    }
}

async fn read_batch(node: &Node, from: u64) -> Result<LogBatch, Failure> {
    let read = |from| {
        node.log_client
            .read(CONFIG_STREAM, from, BATCH_RECORDS, Duration::ZERO)
    };
    match read(from).await {
        Err(failure) if failure.code == ResultCode::LogTruncated => {
            let oldest = node.log_client.bounds(CONFIG_STREAM).await?.oldest;
            read(oldest).await
        }
        other => other,
    }
}

fn note(
    history: &mut History,
    (offset, bytes): &(u64, Vec<u8>),
    events: &[FoldEvent],
    wanted: Option<ConfigVersion>,
) {
    for event in events {
        if let FoldEvent::Accepted { current, .. } | FoldEvent::Restored { current } = event
            && wanted == Some(current.version)
        {
            history.wanted = Some(current.clone());
        }
    }
    let Ok(ConfigRecord::Publish(publish)) = codec::decode::<ConfigRecord>(bytes) else {
        return;
    };
    let (result, version, reason) = events
        .iter()
        .find_map(|event| match event {
            FoldEvent::Accepted { current, .. } => Some(("accepted", Some(current.version), None)),
            FoldEvent::Rejected { failure, .. } => {
                Some(("refused", None, Some(failure.to_string())))
            }
            FoldEvent::Duplicate { version, .. } => Some(("duplicate", *version, None)),
            _ => None,
        })
        .unwrap_or(("unknown", None, None));
    let entry = Entry {
        offset: *offset,
        version,
        result,
        base: publish.base,
        author: publish.author,
        at: publish.at,
        publish_id: publish.publish_id,
        reason,
    };
    // A record that is folded again after a checkpoint replaces its first entry.
    if let Some(at) = history.entries.iter().position(|e| e.offset == *offset) {
        history.entries[at] = entry;
        return;
    }
    if history.entries.len() >= MAX_ENTRIES {
        history.entries.remove(0);
    }
    history.entries.push(entry);
}

/// Returns the document of a version: the one in force, or what the log still has of it.
///
/// # Errors
/// If the log does not answer, or no longer has the version.
pub async fn document(
    node: &Rc<Node>,
    version: ConfigVersion,
) -> Result<VersionedDocument, Failure> {
    if let Some(snapshot) = node.snapshot().filter(|s| s.version() == version) {
        return Ok(snapshot.versioned().clone());
    }
    read(node, Some(version)).await?.wanted.ok_or_else(|| {
        let text = format!(
            "the log has no version {version}: it was never in force, or is no longer retained"
        );
        Failure::new(ResultCode::LogTruncated, text)
    })
}

/// Returns the publication that took effect on `base`, with the version that it defined.
///
/// By rule 1 of the fold it is the first valid one in the log that has this base. Unlike the list of
/// recent publications, which a node that got its state from a peer does not have, this finds a
/// publication whose append answer was lost.
///
/// # Errors
/// If the log does not answer or no longer has the records.
pub async fn successor(
    node: &Node,
    base: ConfigVersion,
) -> Result<Option<(ConfigVersion, Publish)>, Failure> {
    let mut from = base.0;
    loop {
        let batch = node
            .log_client
            .read(CONFIG_STREAM, from, BATCH_RECORDS, Duration::ZERO)
            .await?;
        for (offset, bytes) in &batch.records {
            if let Ok(ConfigRecord::Publish(publish)) = codec::decode(bytes)
                && publish.base == base
                && validate::validate(&publish.document).is_ok()
            {
                return Ok(Some((ConfigVersion::from_offset(*offset), publish)));
            }
            from = offset + 1;
        }
        if batch.records.is_empty() || from >= batch.end {
            return Ok(None);
        }
    }
}
