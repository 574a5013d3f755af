//! History of publications, read from the `config` stream of the log.

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

/// Records per read request; fewer than a reader requests, since the node serves calls meanwhile.
const MAX_BATCH_RECORDS: usize = 16;
/// Maximum number of entries; the oldest ones are omitted.
pub const MAX_ENTRIES: usize = 1_000;
/// Timeout for reading the whole log.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// One publication.
#[derive(Clone, Debug, Serialize)]
pub struct Entry {
    /// Offset of the record.
    pub offset: u64,
    /// Version that the publication defined.
    pub version: Option<ConfigVersion>,
    /// `accepted`, `refused`, `duplicate` or `unknown`.
    pub result: &'static str,
    /// Version that the publication was based on.
    pub base: ConfigVersion,
    /// Name of the operator who published.
    pub author: String,
    /// Wall time of the publication.
    pub at: WallMs,
    /// Identity of the publication.
    pub publish_id: PublishId,
    /// Reason of a refusal.
    pub reason: Option<String>,
}

/// Publications that the log retains.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Publications, oldest first.
    pub entries: Vec<Entry>,
    /// Document of the requested version, if the log retains it.
    pub requested: Option<VersionedDocument>,
}

/// Reads the publications that the log retains.
///
/// A separate fold decides which of them took effect, by the same rules as in a reader.
///
/// # Errors
/// If the log does not answer, or reading it times out.
pub async fn read(node: &Node, requested: Option<ConfigVersion>) -> Result<History, Failure> {
    let deadline = node.clock.now() + READ_TIMEOUT;
    let mut fold = LogFold::new();
    let mut history = History::default();
    loop {
        let batch = node
            .log_client
            .read_retained(
                CONFIG_STREAM,
                fold.next_offset(),
                MAX_BATCH_RECORDS,
                Duration::ZERO,
            )
            .await?;
        for record in &batch.records {
            // A checkpoint can move the fold back to records that had no effect the first time;
            // they are read again.
            if (batch.oldest..record.0).contains(&fold.next_offset()) {
                break;
            }
            let events = fold.on_records(batch.oldest, std::slice::from_ref(record));
            add_record(&mut history, record, &events, requested);
        }
        if fold.next_offset() >= batch.end || batch.records.is_empty() {
            return Ok(history);
        }
        if node.clock.now() > deadline {
            let text = "reading the log to its end timed out";
            return Err(Failure::new(ResultCode::LogUnavailable, text));
        }
    }
}

fn add_record(
    history: &mut History,
    (offset, bytes): &(u64, Vec<u8>),
    events: &[FoldEvent],
    requested: Option<ConfigVersion>,
) {
    for event in events {
        if let FoldEvent::Accepted { current, .. } | FoldEvent::Restored { current } = event
            && requested == Some(current.version)
        {
            history.requested = Some(current.clone());
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
    // If a record is folded a second time after a checkpoint, its new entry replaces the old one.
    if let Some(index) = history.entries.iter().position(|e| e.offset == *offset) {
        history.entries[index] = entry;
        return;
    }
    if history.entries.len() >= MAX_ENTRIES {
        history.entries.remove(0);
    }
    history.entries.push(entry);
}

/// Returns the document of a version, if the version is in force or retained in the log.
///
/// # Errors
/// If the log does not answer, or no longer retains the version.
pub async fn document(
    node: &Rc<Node>,
    version: ConfigVersion,
) -> Result<VersionedDocument, Failure> {
    if let Some(snapshot) = node.snapshot().filter(|s| s.version() == version) {
        return Ok(snapshot.versioned().clone());
    }
    read(node, Some(version)).await?.requested.ok_or_else(|| {
        let text = format!(
            "the log has no version {version}: it was never in force, or is no longer retained"
        );
        Failure::new(ResultCode::LogTruncated, text)
    })
}

/// Returns the publication that took effect on `base`, with the version that it defined.
///
/// By rule 1 of the fold this is the first valid publication in the log with this base. It is also
/// found on a node that received its state from a peer and therefore has no list of recent
/// publications, for example after the acknowledgement of an append was lost.
///
/// # Errors
/// If the log does not answer, or no longer retains the records.
pub async fn successor(
    node: &Node,
    base: ConfigVersion,
) -> Result<Option<(ConfigVersion, Publish)>, Failure> {
    let mut from = base.0;
    loop {
        let batch = node
            .log_client
            .read(CONFIG_STREAM, from, MAX_BATCH_RECORDS, Duration::ZERO)
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
