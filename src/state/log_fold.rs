//! Deterministic fold of the `config` stream, see `docs/design.md`, section 4.
//!
//! Every reader applies these rules to a publish record at offset `o`, in log order:
//!
//! 1. The publication takes effect, as version `o + 1`, if and only if its `base` is the version in
//!    force and its document is valid. Nothing else matters, in particular not the list of recent
//!    publications, so a reader without that list (see [`LogFold::resume`]) computes the same
//!    versions.
//! 2. Otherwise the publication is a duplicate if its `publish_id` is in the list of recent
//!    publications, and rejected if it is not. By rule 1 a repeated append never takes effect twice:
//!    versions only increase, so its `base` is no longer in force.
//! 3. By rule 1 a publication whose `base` does not exist yet is rejected, and a copy of it that is
//!    appended while that version is in force takes effect.
//!
//! A reader that cannot find a usable checkpoint accepts no publication. If no reader has the full
//! state any more, an operator continues the stream by appending a checkpoint whose `as_of` is the
//! last offset and whose version is `as_of + 1`.
//!
//! Offsets are dense: the record after offset `o` has offset `o + 1`.

use std::time::Duration;

use crate::invariant;
use crate::protocol::codec;
use crate::protocol::document::Document;
use crate::protocol::document::Service;
use crate::protocol::gossip::Rollback;
use crate::protocol::name::ConfigVersion;
use crate::protocol::record::Checkpoint;
use crate::protocol::record::ConfigRecord;
use crate::protocol::record::Publish;
use crate::protocol::record::PublishId;
use crate::protocol::record::SeenPublish;
use crate::protocol::record::ServiceSince;
use crate::protocol::record::VersionedDocument;
use crate::result_code::Failure;
use crate::result_code::ResultCode;
use crate::state::snapshot::check_versioned;
use crate::state::snapshot::digest_of;
use crate::state::snapshot::first_failure;
use crate::state::snapshot::since_of;
use crate::state::validate;

/// Number of publications that a reader remembers to recognise repeated appends. Publishers repeat
/// an append for seconds; at 1,100 publications per day the list covers about five hours.
pub const RECENT_PUBLISHES: usize = 256;

/// Result of applying a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FoldEvent {
    /// A publication took effect.
    Accepted {
        /// Identity of the publication.
        publish_id: PublishId,
        /// Operator who published it.
        author: String,
        /// Configuration in force from now on.
        current: VersionedDocument,
    },
    /// A publication did not take effect.
    Rejected {
        /// Identity of the publication.
        publish_id: PublishId,
        /// Reason for the rejection.
        failure: Failure,
    },
    /// A publication had already been appended.
    Duplicate {
        /// Identity of the publication.
        publish_id: PublishId,
        /// Version that the first append defined, or `None` if it was rejected.
        version: Option<ConfigVersion>,
    },
    /// A checkpoint replaced the state of the reader by a newer one.
    Restored {
        /// Configuration in force from now on.
        current: VersionedDocument,
    },
    /// A rollout in the configuration in force was rolled back.
    RolledBack(Rollback),
    /// The writer of a checkpoint computed another state than this reader at the same offset. This
    /// can happen when readers run different software; an operator must investigate it.
    DigestMismatch {
        /// Offset of the checkpoint.
        offset: u64,
        /// Version and digest of this reader.
        ours: (ConfigVersion, u64),
        /// Version and digest of the checkpoint.
        theirs: (ConfigVersion, u64),
    },
    /// The log no longer retains the record at the reader's position. The reader keeps its state
    /// and searches for a checkpoint.
    Truncated {
        /// Offset at which the reader wanted to continue.
        needed: u64,
        /// Offset of the oldest retained record.
        oldest: u64,
    },
    /// A record was skipped, since it cannot be decoded or is inconsistent.
    Undecodable {
        /// Offset of the record.
        offset: u64,
        /// Reason why it was skipped.
        failure: Failure,
    },
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mode {
    /// The state includes every record before the next offset.
    Following,
    /// Records are missing, so the state may be outdated until a checkpoint is found.
    Searching,
}

/// State of a reader of the `config` stream.
#[derive(Clone, Debug)]
pub struct LogFold {
    mode: Mode,
    next_offset: u64,
    current: Option<VersionedDocument>,
    /// Recent publications, oldest first, at most [`RECENT_PUBLISHES`].
    recent: Vec<SeenPublish>,
    /// Sorted by key.
    rollbacks: Vec<Rollback>,
    /// Offset after the `as_of` of the last checkpoint; the records from this offset on suffice to
    /// restore the state.
    restorable_from: u64,
}

impl Default for LogFold {
    fn default() -> Self {
        Self::new()
    }
}

impl LogFold {
    /// Creates a reader without state.
    #[must_use]
    pub fn new() -> Self {
        Self {
            mode: Mode::Following,
            next_offset: 0,
            current: None,
            recent: Vec::new(),
            rollbacks: Vec::new(),
            restorable_from: 0,
        }
    }

    /// Creates a reader from the state of a peer. The reader continues after the record that
    /// defined the version.
    ///
    /// The list of recent publications starts out empty, so a repeated append is reported as
    /// rejected instead of duplicate; the versions are the same. Rollbacks are passed separately to
    /// [`LogFold::merge_rollbacks`].
    #[must_use]
    pub fn resume(versioned: VersionedDocument) -> Self {
        if versioned.version == ConfigVersion::NONE {
            return Self::new();
        }
        Self {
            next_offset: versioned.version.0,
            current: Some(versioned),
            ..Self::new()
        }
    }

    /// Returns the offset from which the caller must read next. The offset moves back once when a
    /// checkpoint is found, since records after the checkpoint's `as_of` may precede the checkpoint
    /// in the log.
    #[must_use]
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn current(&self) -> Option<&VersionedDocument> {
        self.current.as_ref()
    }

    /// Returns the version in force.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.current
            .as_ref()
            .map_or(ConfigVersion::NONE, |current| current.version)
    }

    /// Returns whether the state includes every record before [`LogFold::next_offset`]. Only then
    /// does reaching the end of the log prove that the version in force is the newest one.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.mode == Mode::Following
    }

    /// Returns the offset from which the log can restore a reader without state, an input of
    /// [`checkpoint_due`]. Only a checkpoint or the start of the stream can restore it: a publish
    /// record does not prove that its base was in force. A reader that resumed from a peer has not
    /// seen the last checkpoint and returns zero.
    #[must_use]
    pub fn restorable_from(&self) -> u64 {
        self.restorable_from
    }

    /// Returns the entry of a publication in the list of recent publications, if it is there.
    #[must_use]
    pub fn recent_publish(&self, publish_id: PublishId) -> Option<&SeenPublish> {
        self.recent
            .iter()
            .rev()
            .find(|seen| seen.publish_id == publish_id)
    }

    /// Returns the rollbacks of rollouts in the configuration in force, sorted by key.
    #[must_use]
    pub fn rollbacks(&self) -> &[Rollback] {
        &self.rollbacks
    }

    /// Adds rollbacks received by gossip, so that a checkpoint includes them even if their records
    /// are before the position at which this reader resumed.
    pub fn merge_rollbacks(&mut self, rollbacks: &[Rollback]) {
        for rollback in rollbacks {
            self.add_rollback(rollback);
        }
    }

    /// Returns the state as a checkpoint, or `None` if there is no state or records are missing.
    #[must_use]
    pub fn checkpoint(&self) -> Option<Checkpoint> {
        let current = self.current.clone()?;
        let as_of = self.next_offset.checked_sub(1)?;
        self.is_complete().then(|| Checkpoint {
            as_of,
            current,
            recent: self.recent.clone(),
            rollbacks: self.rollbacks.clone(),
        })
    }

    /// Applies records that were read from [`LogFold::next_offset`] on. `oldest` is the offset of
    /// the oldest retained record, or the end of the log if no record is retained.
    ///
    /// Records before the next offset are ignored, so a batch may be delivered twice. Records after
    /// a gap are ignored too, since they come from a read at another position.
    pub fn on_records(&mut self, oldest: u64, records: &[(u64, Vec<u8>)]) -> Vec<FoldEvent> {
        let mut events = Vec::new();
        if oldest > self.next_offset {
            if self.is_complete() {
                let needed = self.next_offset;
                events.push(FoldEvent::Truncated { needed, oldest });
            }
            self.mode = Mode::Searching;
            self.next_offset = oldest;
        }
        let first = records.first().map_or(0, |(offset, _)| *offset);
        // Records are looked up by offset, since a checkpoint moves the position back.
        while let Some((offset, bytes)) = self
            .next_offset
            .checked_sub(first)
            .and_then(|at| records.get(usize::try_from(at).ok()?))
            .filter(|(offset, _)| *offset == self.next_offset)
        {
            self.next_offset = offset + 1;
            match codec::decode::<ConfigRecord>(bytes) {
                Ok(ConfigRecord::Publish(publish)) if self.is_complete() => {
                    events.push(self.on_publish(*offset, publish));
                }
                Ok(ConfigRecord::Rollback(rollback)) if self.is_complete() => {
                    if self.add_rollback(&rollback) {
                        events.push(FoldEvent::RolledBack(rollback));
                    }
                }
                Ok(ConfigRecord::Checkpoint(checkpoint)) => {
                    self.on_checkpoint(oldest, *offset, checkpoint, &mut events);
                }
                // Without the state before them these records cannot be applied.
                Ok(ConfigRecord::Publish(_) | ConfigRecord::Rollback(_)) => {}
                Err(failure) => events.push(FoldEvent::Undecodable {
                    offset: *offset,
                    failure,
                }),
            }
        }
        events
    }

    fn on_publish(&mut self, offset: u64, publish: Publish) -> FoldEvent {
        let publish_id = publish.publish_id;
        let failure = match check_publish(self.current.as_ref(), &publish) {
            Ok(()) => return self.accept(offset, publish),
            Err(failures) => first_failure(failures),
        };
        if let Some(seen) = self.recent_publish(publish_id) {
            let version = seen.version;
            return FoldEvent::Duplicate {
                publish_id,
                version,
            };
        }
        self.add_recent(publish_id, None);
        FoldEvent::Rejected {
            publish_id,
            failure,
        }
    }

    fn accept(&mut self, offset: u64, publish: Publish) -> FoldEvent {
        let Publish {
            publish_id,
            base,
            author,
            mut document,
            ..
        } = publish;
        let version = ConfigVersion::from_offset(offset);
        let previous = self.version();
        let is_successor = base == previous && version > previous;
        if !invariant::check(10, is_successor, "a publication does not follow its base") {
            let text = format!("version {version} on base {base} cannot follow {previous}");
            return FoldEvent::Rejected {
                publish_id,
                failure: Failure::new(ResultCode::InvariantViolated, text),
            };
        }
        validate::normalise(&mut document);
        let since = since_after(self.current.as_ref(), &document, version);
        let current = VersionedDocument {
            version,
            document,
            since,
        };
        self.set_current(current.clone());
        self.add_recent(publish_id, Some(version));
        FoldEvent::Accepted {
            publish_id,
            author,
            current,
        }
    }

    fn on_checkpoint(
        &mut self,
        oldest: u64,
        offset: u64,
        checkpoint: Checkpoint,
        events: &mut Vec<FoldEvent>,
    ) {
        if let Err(failure) = check_checkpoint(offset, &checkpoint) {
            events.push(FoldEvent::Undecodable { offset, failure });
            return;
        }
        if self.is_complete() {
            self.compare_checkpoint(offset, checkpoint, events);
            return;
        }
        let resume_at = checkpoint.as_of + 1;
        let theirs = checkpoint.current.version;
        if resume_at < oldest {
            // The checkpoint is stale, for example because its writer was paused: records after its
            // `as_of` are no longer retained.
            return;
        }
        if theirs <= self.version() {
            // The checkpoint includes all records that this reader has applied, so its version is
            // lower only if its writer computed a different state.
            let same = self.compare_digests(offset, &checkpoint.current, events);
            if !same && theirs < self.version() {
                return;
            }
        } else {
            if !invariant::check(
                1,
                theirs > self.version(),
                "a checkpoint brings an old version",
            ) {
                return;
            }
            let current = checkpoint.current;
            self.set_current(current.clone());
            events.push(FoldEvent::Restored { current });
        }
        self.mode = Mode::Following;
        self.next_offset = resume_at;
        self.restorable_from = resume_at;
        self.recent = checkpoint.recent;
        self.trim_recent();
        self.add_rollbacks(checkpoint.rollbacks, events);
    }

    /// Compares a checkpoint with the state of a reader that has applied all records before it.
    fn compare_checkpoint(
        &mut self,
        offset: u64,
        checkpoint: Checkpoint,
        events: &mut Vec<FoldEvent>,
    ) {
        let theirs = checkpoint.current.version;
        if theirs < self.version() && checkpoint.as_of < self.version().0 - 1 {
            // The checkpoint predates the version in force, so there is nothing to compare, but a
            // reader without state can start from it.
            self.restorable_from = self.restorable_from.max(checkpoint.as_of + 1);
            return;
        }
        if !self.compare_digests(offset, &checkpoint.current, events) {
            return;
        }
        // Restoring the state also needs the records between `as_of` and the checkpoint.
        self.restorable_from = self.restorable_from.max(checkpoint.as_of + 1);
        self.add_rollbacks(checkpoint.rollbacks, events);
    }

    fn compare_digests(
        &self,
        offset: u64,
        theirs: &VersionedDocument,
        events: &mut Vec<FoldEvent>,
    ) -> bool {
        let digest = |versioned: &VersionedDocument| digest_of(versioned).unwrap_or(0);
        let ours = self.current.as_ref();
        let ours = ours.map_or((ConfigVersion::NONE, 0), |ours| {
            (ours.version, digest(ours))
        });
        let theirs = (theirs.version, digest(theirs));
        if ours != theirs {
            events.push(FoldEvent::DigestMismatch {
                offset,
                ours,
                theirs,
            });
        }
        ours == theirs
    }

    fn set_current(&mut self, current: VersionedDocument) {
        self.rollbacks
            .retain(|rollback| is_current(&current, rollback));
        self.current = Some(current);
    }

    fn add_rollbacks(&mut self, rollbacks: Vec<Rollback>, events: &mut Vec<FoldEvent>) {
        for rollback in rollbacks {
            if self.add_rollback(&rollback) {
                events.push(FoldEvent::RolledBack(rollback));
            }
        }
    }

    /// Adds a rollback and returns true if it belongs to the configuration in force and is new.
    fn add_rollback(&mut self, rollback: &Rollback) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        let at = self
            .rollbacks
            .binary_search_by(|other| other.key.cmp(&rollback.key));
        match at {
            Err(at) if is_current(current, rollback) => {
                self.rollbacks.insert(at, rollback.clone());
                true
            }
            _ => false,
        }
    }

    fn add_recent(&mut self, publish_id: PublishId, version: Option<ConfigVersion>) {
        self.recent.push(SeenPublish {
            publish_id,
            version,
        });
        self.trim_recent();
    }

    fn trim_recent(&mut self) {
        let excess = self.recent.len().saturating_sub(RECENT_PUBLISHES);
        self.recent.drain(..excess);
    }
}

/// Checks a publication against the version in force by the rules of the fold, for use before the
/// append. A publication that passes is still rejected if another one is appended before it.
///
/// # Errors
/// [`ResultCode::PublishStale`] if its base is not in force, or one [`ResultCode::PublishInvalid`]
/// for each failure of the document.
pub fn check_publish(
    current: Option<&VersionedDocument>,
    publish: &Publish,
) -> Result<(), Vec<Failure>> {
    let version = current.map_or(ConfigVersion::NONE, |current| current.version);
    if publish.base != version {
        let text = format!(
            "the publication is based on version {}, but version {version} is in force",
            publish.base
        );
        return Err(vec![Failure::new(ResultCode::PublishStale, text)]);
    }
    validate::validate(&publish.document).map_err(|failures| {
        failures
            .into_iter()
            .map(|f| Failure::new(ResultCode::PublishInvalid, f.to_string()))
            .collect()
    })
}

/// Input of [`checkpoint_due`].
#[derive(Clone, Copy, Debug)]
pub struct RetentionState {
    /// Offset from which the log can restore the state, see [`LogFold::restorable_from`].
    pub restorable_from: u64,
    /// Offset of the oldest retained record.
    pub oldest: u64,
    /// Offset after the last record.
    pub end: u64,
    /// Time since the record at `restorable_from` was appended; `None` if the caller was not running
    /// then.
    pub age: Option<Duration>,
    /// Retention time of the log, if it is known.
    pub retention: Option<Duration>,
}

/// Returns whether a checkpoint is due, that is, whether half of the retention has passed since the
/// record from which the state can be restored.
///
/// If the retention time is known, a checkpoint is due once the age of that record is half of it; an
/// unknown age counts as too old, since a superfluous checkpoint is harmless. As soon as the log has
/// dropped records, a checkpoint is also due once the record is in the older half of the retained
/// ones.
#[must_use]
pub fn checkpoint_due(state: &RetentionState) -> bool {
    let by_age = state
        .retention
        .is_some_and(|retention| state.age.is_none_or(|age| age >= retention / 2));
    let ahead = state.restorable_from.saturating_sub(state.oldest);
    let retained = state.end.saturating_sub(state.oldest);
    let is_dropped = state.restorable_from < state.oldest;
    let by_count = state.oldest > 0 && (is_dropped || ahead.saturating_mul(2) < retained);
    by_age || by_count
}

/// Returns the `since` of each service: the previous one if the section of the service is
/// unchanged, otherwise the new version.
fn since_after(
    previous: Option<&VersionedDocument>,
    document: &Document,
    version: ConfigVersion,
) -> Vec<ServiceSince> {
    let kept = |service: &Service| {
        let previous = previous?;
        let services = &previous.document.services;
        let at = services.binary_search_by(|old| old.name.cmp(&service.name));
        if &services[at.ok()?] != service {
            return None;
        }
        since_of(previous, service.name.as_str())
    };
    document
        .services
        .iter()
        .map(|service| ServiceSince {
            service: service.name.clone(),
            since: kept(service).unwrap_or(version),
        })
        .collect()
}

/// Returns whether the configuration contains the rollout that was rolled back.
fn is_current(current: &VersionedDocument, rollback: &Rollback) -> bool {
    let key = &rollback.key;
    let services = &current.document.services;
    let at = services.binary_search_by(|service| service.name.cmp(&key.service));
    let rollout = at.ok().and_then(|at| services[at].rollout.as_ref());
    rollout.is_some_and(|rollout| rollout.to == key.to)
        && since_of(current, key.service.as_str()) == Some(key.since)
}

fn check_checkpoint(offset: u64, checkpoint: &Checkpoint) -> Result<(), Failure> {
    let Checkpoint { as_of, current, .. } = checkpoint;
    if *as_of >= offset || current.version.0 > as_of + 1 {
        let text = format!(
            "a checkpoint with version {} as of offset {as_of} is impossible at offset {offset}",
            current.version
        );
        return Err(Failure::new(ResultCode::MessageMalformed, text));
    }
    check_versioned(current)?;
    let mut sorted = current.clone();
    validate::normalise(&mut sorted.document);
    sorted.since.sort_by(|a, b| a.service.cmp(&b.service));
    if sorted != *current {
        let text = "the document of a checkpoint is not sorted";
        return Err(Failure::new(ResultCode::MessageMalformed, text));
    }
    Ok(())
}
