//! Tests of `state::log_fold`.

mod config_support;

use std::fmt::Write as _;
use std::time::Duration;

use config_support::document;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sycamorewick::protocol::codec;
use sycamorewick::protocol::document::Document;
use sycamorewick::protocol::gossip::Rollback;
use sycamorewick::protocol::gossip::RollbackCause;
use sycamorewick::protocol::gossip::RolloutKey;
use sycamorewick::protocol::name::ConfigVersion;
use sycamorewick::protocol::record::Checkpoint;
use sycamorewick::protocol::record::ConfigRecord;
use sycamorewick::protocol::record::Publish;
use sycamorewick::protocol::record::PublishId;
use sycamorewick::protocol::record::VersionedDocument;
use sycamorewick::protocol::time::WallMs;
use sycamorewick::result_code::Failure;
use sycamorewick::result_code::ResultCode;
use sycamorewick::state::log_fold::FoldEvent;
use sycamorewick::state::log_fold::LogFold;
use sycamorewick::state::log_fold::RECENT_PUBLISHES;
use sycamorewick::state::log_fold::RetentionState;
use sycamorewick::state::log_fold::check_publish;
use sycamorewick::state::log_fold::checkpoint_due;

fn publish(id: u128, base: u64, document: Document) -> Publish {
    Publish {
        publish_id: PublishId::from_u128(id),
        base: ConfigVersion(base),
        author: "alice".to_owned(),
        at: WallMs(0),
        document,
    }
}

fn rollback(service: &str, since: u64) -> Rollback {
    Rollback {
        key: RolloutKey {
            service: service.into(),
            to: "v2".into(),
            since: ConfigVersion(since),
        },
        cause: RollbackCause::Errors,
        route: None,
        at: WallMs(0),
        by: "node".into(),
    }
}

/// A log with retention.
#[derive(Clone, Default)]
struct Log {
    oldest: u64,
    records: Vec<Vec<u8>>,
}

impl Log {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }

    fn append(&mut self, record: &ConfigRecord) -> u64 {
        self.records.push(codec::encode(record).unwrap());
        self.end() - 1
    }

    fn read(&self, from: u64, max: usize) -> Vec<(u64, Vec<u8>)> {
        let retained = (0..)
            .zip(&self.records)
            .skip_while(|(o, _)| *o < from.max(self.oldest));
        retained
            .take(max)
            .map(|(o, bytes)| (o, bytes.clone()))
            .collect()
    }

    /// Makes a reader read to the end of the log.
    fn follow(&self, fold: &mut LogFold, batch: usize) -> Vec<FoldEvent> {
        let mut events = Vec::new();
        // A reader reads each record at most twice: while it searches for a checkpoint, and after it
        // has found one.
        for _ in 0..=2 * self.records.len() {
            let records = self.read(fold.next_offset(), batch);
            events.extend(fold.on_records(self.oldest, &records));
            if fold.next_offset() >= self.end() {
                return events;
            }
        }
        panic!("the reader does not reach the end of the log");
    }
}

fn describe(current: &VersionedDocument) -> String {
    let since: Vec<String> = current
        .since
        .iter()
        .map(|entry| format!("{} since {}", entry.service, entry.since))
        .collect();
    format!("version {} ({})", current.version, since.join(", "))
}

fn describe_event(event: &FoldEvent) -> String {
    match event {
        FoldEvent::Accepted {
            publish_id,
            author,
            current,
        } => format!(
            "accepted {} by {author}: {}",
            publish_id.as_u128(),
            describe(current)
        ),
        FoldEvent::Rejected {
            publish_id,
            failure,
        } => {
            format!("rejected {}: {failure}", publish_id.as_u128())
        }
        FoldEvent::Duplicate {
            publish_id,
            version,
        } => {
            let version = version.map_or("none".to_owned(), |v| v.to_string());
            format!("duplicate {} of version {version}", publish_id.as_u128())
        }
        FoldEvent::Restored { current } => format!("restored {}", describe(current)),
        FoldEvent::RolledBack(rollback) => format!(
            "rolled back {} of {} since {}",
            rollback.key.to, rollback.key.service, rollback.key.since
        ),
        FoldEvent::DigestMismatch {
            offset,
            ours,
            theirs,
        } => {
            format!(
                "digest mismatch at {offset}: version {} and {}",
                ours.0, theirs.0
            )
        }
        FoldEvent::Truncated { needed, oldest } => format!("truncated: {needed} to {oldest}"),
        FoldEvent::Undecodable { offset, failure } => {
            format!("undecodable {offset}: {}", failure.code)
        }
    }
}

/// Records the operations on a log and the events of its readers as text.
#[derive(Default)]
struct Session {
    log: Log,
    text: String,
}

impl Session {
    fn note(&mut self, line: &str) {
        writeln!(self.text, "{line}").unwrap();
    }

    fn publish(&mut self, id: u128, base: u64, services: &[(&str, u32)]) {
        let record = ConfigRecord::Publish(publish(id, base, document(services)));
        let offset = self.log.append(&record);
        self.note(&format!(
            "[{offset}] publish {id} on base {base}: {services:?}"
        ));
    }

    fn rollback(&mut self, service: &str, since: u64) {
        let offset = self
            .log
            .append(&ConfigRecord::Rollback(rollback(service, since)));
        self.note(&format!("[{offset}] rollback of {service} since {since}"));
    }

    fn checkpoint(&mut self, checkpoint: Checkpoint) {
        let (as_of, version) = (checkpoint.as_of, checkpoint.current.version);
        let offset = self.log.append(&ConfigRecord::Checkpoint(checkpoint));
        self.note(&format!(
            "[{offset}] checkpoint of version {version} as of {as_of}"
        ));
    }

    fn truncate(&mut self, oldest: u64) {
        self.log.oldest = oldest;
        self.note(&format!("retention drops the records before {oldest}"));
    }

    fn read(&mut self, name: &str, fold: &mut LogFold) {
        for event in self.log.follow(fold, 2) {
            self.note(&format!("    {name}: {}", describe_event(&event)));
        }
        let complete = if fold.is_complete() {
            "complete"
        } else {
            "searching"
        };
        self.note(&format!(
            "    {name}: at {}, {complete}, version {}",
            fold.next_offset(),
            fold.version()
        ));
    }

    fn due(&mut self, fold: &LogFold) {
        let state = RetentionState {
            restorable_from: fold.restorable_from(),
            oldest: self.log.oldest,
            end: self.log.end(),
            age: None,
            retention: None,
        };
        self.note(&format!("    checkpoint due: {}", checkpoint_due(&state)));
    }
}

/// Guards against two operators overwriting each other's changes, and against a rollout of `b` that
/// restarts because `a` changed (invariant 10).
#[gtest]
fn session_racing_publishes() {
    let mut s = Session::default();
    let mut reader = LogFold::new();
    s.publish(1, 0, &[("a", 1), ("b", 1)]);
    s.publish(2, 1, &[("a", 2), ("b", 1)]);
    s.publish(3, 1, &[("a", 3), ("b", 1)]);
    s.read("reader", &mut reader);
    s.note("the second publisher reads version 2 and publishes again");
    s.publish(4, 2, &[("b", 1), ("a", 3)]);
    s.publish(5, 4, &[("a", 0), ("b", 1)]);
    s.publish(5, 4, &[("a", 0), ("b", 1)]);
    s.note("a base that does not exist yet, repeated when it does");
    s.publish(6, 8, &[("a", 6), ("b", 1)]);
    s.publish(7, 4, &[("a", 7), ("b", 1)]);
    s.publish(6, 8, &[("a", 6), ("b", 1)]);
    s.read("reader", &mut reader);
    insta::assert_snapshot!(s.text);
}

/// Guards against a publication that takes effect twice when its append is repeated, and so undoes
/// a publication in between.
#[gtest]
fn session_lost_append_response() {
    let mut s = Session::default();
    let mut reader = LogFold::new();
    s.publish(1, 0, &[("a", 1)]);
    s.note("the response to the next append is lost, the publisher repeats it");
    s.publish(2, 1, &[("a", 2)]);
    s.publish(2, 1, &[("a", 2)]);
    s.publish(3, 2, &[("a", 3)]);
    s.publish(2, 1, &[("a", 2)]);
    s.read("reader", &mut reader);
    let outcome = reader.recent_publish(PublishId::from_u128(2)).cloned();
    s.note(&format!("    outcome of 2: {:?}", outcome.unwrap().version));
    insta::assert_snapshot!(s.text);
}

/// Guards against losing the configuration or a rollback when retention drops the oldest records.
#[gtest]
fn session_retention_with_checkpoint() {
    let mut s = Session::default();
    let mut writer = LogFold::new();
    s.publish(1, 0, &[("a", 1), ("b", 1)]);
    s.rollback("a", 1);
    s.rollback("b", 1);
    s.publish(2, 1, &[("a", 1), ("b", 2)]);
    s.read("writer", &mut writer);
    s.due(&writer);
    s.truncate(1);
    s.due(&writer);
    let checkpoint = writer.checkpoint().unwrap();
    s.publish(3, 4, &[("a", 1), ("b", 3)]);
    s.checkpoint(checkpoint);
    s.read("writer", &mut writer);
    s.due(&writer);
    s.truncate(4);
    let mut new = LogFold::new();
    s.read("new reader", &mut new);
    expect_that!(new.checkpoint(), eq(&writer.checkpoint()));
    let mut resumed = LogFold::resume(LogFold::current(&writer).unwrap().clone());
    s.read("resumed reader", &mut resumed);
    insta::assert_snapshot!(s.text);
}

/// Guards against a paused writer whose stale checkpoint restores an old version, and against a
/// reader that takes an old state for the newest one.
#[gtest]
fn session_stale_checkpoint() {
    let mut s = Session::default();
    let mut writer = LogFold::new();
    s.publish(1, 0, &[("a", 1)]);
    s.read("writer", &mut writer);
    let stale = writer.checkpoint().unwrap();
    s.note("the writer is paused before its append");
    s.publish(2, 1, &[("a", 2)]);
    s.publish(3, 2, &[("a", 3)]);
    s.checkpoint(stale);
    s.read("writer", &mut writer);
    s.truncate(2);
    let mut new = LogFold::new();
    s.read("new reader", &mut new);
    let mut behind = LogFold::new();
    let first = Log {
        oldest: 0,
        records: s.log.records[..2].to_vec(),
    };
    first.follow(&mut behind, 1);
    s.read("reader that is behind", &mut behind);
    s.checkpoint(writer.checkpoint().unwrap());
    s.read("writer", &mut writer);
    s.read("new reader", &mut new);
    s.read("reader that is behind", &mut behind);
    insta::assert_snapshot!(s.text);
}

/// Guards against a fleet that can never publish again after all complete readers and all checkpoints
/// were lost: an operator must be able to append a checkpoint with a document of their choice.
#[gtest]
fn on_records_operator_checkpoint() {
    let mut log = Log::default();
    let mut full = LogFold::new();
    log.append(&ConfigRecord::Publish(publish(1, 0, document(&[("a", 1)]))));
    log.follow(&mut full, 1);
    let mut checkpoint = full.checkpoint().unwrap();
    let mut resumed = LogFold::resume(checkpoint.current.clone());
    log.append(&ConfigRecord::Rollback(rollback("a", 1)));
    log.append(&ConfigRecord::Publish(publish(2, 1, document(&[]))));
    log.oldest = 2;
    let mut new = LogFold::new();
    for fold in [&mut new, &mut resumed] {
        log.follow(fold, 1);
        expect_that!(fold.is_complete(), eq(false));
    }
    (checkpoint.as_of, checkpoint.current.version) = (2, ConfigVersion(3));
    log.append(&ConfigRecord::Checkpoint(checkpoint));
    log.append(&ConfigRecord::Publish(publish(3, 3, document(&[("a", 2)]))));
    for fold in [&mut new, &mut resumed] {
        log.follow(fold, 1);
        expect_that!(fold.version(), eq(ConfigVersion(5)));
        expect_that!(fold.is_complete(), eq(true));
    }
}

/// Guards against accepting a checkpoint of a writer with a different state, or one that no writer can
/// have computed.
#[gtest]
fn on_records_bad_checkpoint() {
    let mut log = Log::default();
    let mut reader = LogFold::new();
    log.append(&ConfigRecord::Publish(publish(1, 0, document(&[("a", 1)]))));
    log.follow(&mut reader, 9);
    let good = reader.checkpoint().unwrap();
    let mut other = good.clone();
    other.current.document.services[0].slots = 2;
    let mut invalid = good.clone();
    invalid.current.document.services[0].slots = 0;
    let mut future = good.clone();
    future.as_of = 9;
    let mut newer = good.clone();
    newer.current.version = ConfigVersion(2);
    newer.as_of = 1;
    for checkpoint in [other, newer, invalid, future] {
        log.append(&ConfigRecord::Checkpoint(checkpoint));
    }
    let events = log.follow(&mut reader, 9);
    let lines: Vec<String> = events.iter().map(describe_event).collect();
    expect_that!(
        lines,
        elements_are![
            eq("digest mismatch at 1: version 1 and 1"),
            eq("digest mismatch at 2: version 1 and 2"),
            eq("undecodable 3: 3008 limit exceeded"),
            eq("undecodable 4: 5002 message malformed"),
        ]
    );
    expect_that!(reader.current(), some(eq(&good.current)));
    // A reader that misses records does not go back to a lower version (invariant 1).
    let mut current = good.current.clone();
    current.version = ConfigVersion(2);
    let mut behind = LogFold::resume(current);
    let mut lower = good;
    lower.as_of = 4;
    log.append(&ConfigRecord::Checkpoint(lower));
    log.oldest = 5;
    let lines: Vec<String> = log
        .follow(&mut behind, 9)
        .iter()
        .map(describe_event)
        .collect();
    expect_that!(
        lines,
        elements_are![
            eq("truncated: 2 to 5"),
            eq("digest mismatch at 5: version 2 and 1")
        ]
    );
    expect_that!(behind.version(), eq(ConfigVersion(2)));
    expect_that!(behind.is_complete(), eq(false));
    // A reader without state must not start from the invalid checkpoints either.
    log.records.pop();
    log.oldest = 3;
    let mut new = LogFold::new();
    log.follow(&mut new, 9);
    expect_that!(new.current(), none());
    expect_that!(new.is_complete(), eq(false));
    expect_that!(new.checkpoint(), none());
}

/// Guards against a list of recent publications that grows without bound.
#[gtest]
fn recent_publish_bounded() {
    let mut log = Log::default();
    for id in 0..=RECENT_PUBLISHES as u128 {
        log.append(&ConfigRecord::Publish(publish(id, 0, document(&[]))));
    }
    let mut reader = LogFold::new();
    log.follow(&mut reader, 50);
    expect_that!(reader.recent_publish(PublishId::from_u128(0)), none());
    expect_that!(
        reader
            .recent_publish(PublishId::from_u128(1))
            .unwrap()
            .version,
        none()
    );
    expect_that!(
        reader.checkpoint().unwrap().recent,
        len(eq(RECENT_PUBLISHES))
    );
}

/// Guards against a rollback that is forgotten while its rollout is in the document, or that blocks a
/// later rollout.
#[gtest]
fn rollbacks_lifetime() {
    let mut log = Log::default();
    let mut reader = LogFold::new();
    let services = |slots: u32, other: u32| document(&[("a", slots), ("b", other)]);
    log.append(&ConfigRecord::Publish(publish(1, 0, services(1, 1))));
    log.append(&ConfigRecord::Rollback(rollback("a", 1)));
    log.append(&ConfigRecord::Rollback(rollback("a", 1)));
    log.append(&ConfigRecord::Rollback(rollback("gone", 1)));
    let mut other_version = rollback("b", 1);
    other_version.key.to = "v1".into();
    log.append(&ConfigRecord::Rollback(other_version));
    log.append(&ConfigRecord::Publish(publish(2, 1, services(1, 2))));
    let events = log.follow(&mut reader, 3);
    expect_that!(events, len(eq(3)));
    expect_that!(reader.rollbacks(), elements_are![eq(&rollback("a", 1))]);
    log.append(&ConfigRecord::Publish(publish(3, 6, services(2, 2))));
    log.append(&ConfigRecord::Rollback(rollback("a", 1)));
    log.follow(&mut reader, 3);
    expect_that!(reader.rollbacks(), is_empty());
    // A resumed reader receives rollbacks by gossip.
    let mut resumed = LogFold::resume(reader.current().unwrap().clone());
    resumed.merge_rollbacks(&[rollback("a", 1), rollback("b", 6), rollback("a", 7)]);
    let kept = &resumed.checkpoint().unwrap().rollbacks;
    expect_that!(
        kept,
        elements_are![eq(&rollback("a", 7)), eq(&rollback("b", 6))]
    );
}

/// Guards against a check before the append that differs from the check after it: an operator would be
/// told "accepted" first and "rejected" later without a reason.
#[gtest]
fn check_publish_rules() {
    let mut log = Log::default();
    let mut reader = LogFold::new();
    log.append(&ConfigRecord::Publish(publish(1, 0, document(&[]))));
    log.follow(&mut reader, 1);
    let codes = |publish: &Publish| -> Vec<ResultCode> {
        let result = check_publish(reader.current(), publish);
        let failures: Vec<Failure> = result.err().unwrap_or_default();
        failures.iter().map(|failure| failure.code).collect()
    };
    let mut invalid = publish(2, 1, document(&[("a", 0)]));
    invalid.document.regions.clear();
    expect_that!(codes(&publish(2, 1, document(&[]))), is_empty());
    expect_that!(
        codes(&publish(2, 0, document(&[]))),
        elements_are![eq(&ResultCode::PublishStale)]
    );
    expect_that!(
        codes(&publish(2, 2, document(&[]))),
        elements_are![eq(&ResultCode::PublishStale)]
    );
    expect_that!(codes(&invalid), len(eq(2)));
    expect_that!(codes(&invalid), each(eq(&ResultCode::PublishInvalid)));
}

/// Guards against a checkpoint that is written only after retention has dropped the state, and against
/// one checkpoint per poll.
#[gtest]
fn checkpoint_due_half_of_retention() {
    let base = RetentionState {
        restorable_from: 50,
        oldest: 0,
        end: 100,
        age: None,
        retention: None,
    };
    let due = |state: RetentionState| checkpoint_due(&state);
    let hours = |hours: u64| Some(Duration::from_secs(hours * 3_600));
    expect_that!(due(base), eq(false));
    expect_that!(due(RetentionState { oldest: 1, ..base }), eq(true));
    expect_that!(
        due(RetentionState {
            oldest: 1,
            restorable_from: 51,
            ..base
        }),
        eq(false)
    );
    expect_that!(
        due(RetentionState {
            oldest: 100,
            ..base
        }),
        eq(true)
    );
    let aged = |age| RetentionState {
        age,
        retention: hours(24),
        ..base
    };
    expect_that!(due(aged(hours(11))), eq(false));
    expect_that!(due(aged(hours(12))), eq(true));
    expect_that!(due(aged(None)), eq(true));
}

#[derive(Clone, Debug)]
enum Step {
    /// The base is this many versions behind the one in force; negative if it does not exist yet.
    Publish {
        behind: i8,
        slots: u32,
    },
    /// Appends an earlier record again.
    Repeat(prop::sample::Index),
    /// Appends a checkpoint of the state as it was this many records ago.
    Checkpoint(usize),
    Rollback(&'static str),
    Garbage,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (prop_oneof![3 => Just(0i8), 1 => -3..3i8], 0..4u32)
            .prop_map(|(behind, slots)| Step::Publish { behind, slots }),
        2 => any::<prop::sample::Index>().prop_map(Step::Repeat),
        2 => (0..6usize).prop_map(Step::Checkpoint),
        1 => prop::sample::select(vec!["a", "b"]).prop_map(Step::Rollback),
        1 => Just(Step::Garbage),
    ]
}

/// A log and the state of the fold after each of its records.
struct History {
    log: Log,
    states: Vec<LogFold>,
}

fn history(steps: &[Step]) -> History {
    let mut log = Log::default();
    let mut fold = LogFold::new();
    let mut states: Vec<LogFold> = Vec::new();
    for (id, step) in (0u128..).zip(steps) {
        let version = fold.version();
        match step {
            Step::Publish { behind, slots } => {
                let base = version.0.saturating_add_signed(-i64::from(*behind));
                // Zero slots are invalid.
                let document = document(&[("a", *slots), ("b", 1 + u32::from(*slots == 3))]);
                log.append(&ConfigRecord::Publish(publish(id, base, document)));
            }
            Step::Repeat(index) if !log.records.is_empty() => {
                log.records.push(index.get(&log.records).clone());
            }
            Step::Checkpoint(ago) if states.len() > *ago => {
                match states[states.len() - 1 - ago].checkpoint() {
                    Some(checkpoint) => log.append(&ConfigRecord::Checkpoint(checkpoint)),
                    None => continue,
                };
            }
            Step::Rollback(service) => {
                let since = fold.current().map_or(ConfigVersion::NONE, |current| {
                    let entry = current
                        .since
                        .iter()
                        .find(|e| e.service.as_str() == *service);
                    entry.unwrap().since
                });
                log.append(&ConfigRecord::Rollback(rollback(service, since.0)));
            }
            Step::Garbage => log.records.push(vec![0xc1, 0xff]),
            Step::Repeat(_) | Step::Checkpoint(_) => continue,
        }
        log.follow(&mut fold, 1);
        states.push(fold.clone());
    }
    History { log, states }
}

fn versions(events: &[FoldEvent]) -> Vec<ConfigVersion> {
    events
        .iter()
        .filter_map(|event| match event {
            FoldEvent::Accepted { current, .. } | FoldEvent::Restored { current } => {
                Some(current.version)
            }
            _ => None,
        })
        .collect()
}

fn mismatches(events: &[FoldEvent]) -> usize {
    let mismatch = |event: &&FoldEvent| matches!(event, FoldEvent::DigestMismatch { .. });
    events.iter().filter(mismatch).count()
}

/// Returns whether a reader without state can start at the oldest retained record: all records after a
/// checkpoint's `as_of` up to the checkpoint itself are retained.
fn has_usable_checkpoint(log: &Log) -> bool {
    log.read(log.oldest, usize::MAX)
        .iter()
        .any(|(offset, bytes)| {
            matches!(
                codec::decode(bytes),
                Ok(ConfigRecord::Checkpoint(c)) if c.as_of < *offset && c.as_of + 1 >= log.oldest
            )
        })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0xf01d),
        ..ProptestConfig::default()
    })]

    /// Guards against readers that disagree (invariants 1 and 10): with any batch size, repeated
    /// delivery and start position, all readers compute the same, increasing versions.
    #[test]
    fn on_records_same_versions(steps in prop::collection::vec(step(), 1..40),
                                batch in 1..9usize, again in 0..4usize,
                                cut in any::<prop::sample::Index>(),
                                from in any::<prop::sample::Index>()) {
        let History { mut log, states } = history(&steps);
        prop_assume!(!states.is_empty());
        let full = states.last().unwrap();

        // A reader from the start of the log to which the last few records are delivered twice.
        let mut reader = LogFold::new();
        let mut events = Vec::new();
        while reader.next_offset() < log.end() {
            let records = log.read(reader.next_offset(), batch);
            events.extend(reader.on_records(0, &records));
            let next = reader.next_offset();
            let again = again.min(usize::try_from(next).unwrap());
            let earlier = log.read(next - again as u64, again);
            prop_assert_eq!(reader.on_records(0, &earlier), vec![]);
        }
        let all = versions(&events);
        prop_assert!(all.is_sorted_by(|a, b| a < b));
        prop_assert_eq!(mismatches(&events), 0);
        prop_assert_eq!(reader.checkpoint(), full.checkpoint());

        // A reader without state on a truncated log.
        log.oldest = cut.index(log.records.len() + 1) as u64;
        let mut new = LogFold::new();
        let events = log.follow(&mut new, batch);
        let found = versions(&events);
        prop_assert!(all.ends_with(&found) || log.oldest == 0);
        prop_assert_eq!(mismatches(&events), 0);
        prop_assert_eq!(new.is_complete(), log.oldest == 0 || has_usable_checkpoint(&log));
        if new.is_complete() {
            prop_assert_eq!(new.current(), full.current());
            prop_assert_eq!(new.rollbacks(), full.rollbacks());
        } else {
            prop_assert_eq!(new.current(), None);
        }

        // A reader that resumes from the configuration of a peer.
        let state = from.get(&states);
        if let Some(current) = state.current() {
            let mut resumed = LogFold::resume(current.clone());
            let events = log.follow(&mut resumed, batch);
            let found = versions(&events);
            prop_assert!(all.ends_with(&found));
            prop_assert!(found.iter().all(|version| *version > current.version));
            prop_assert_eq!(mismatches(&events), 0);
            if resumed.is_complete() {
                prop_assert_eq!(resumed.current(), full.current());
            } else {
                prop_assert_eq!(resumed.version(), current.version);
            }
        }
    }

    /// Guards against a panic on arbitrary log content.
    #[test]
    fn on_records_arbitrary_bytes(
        oldest in 0..9u64,
        records in prop::collection::vec((0..9u64, prop::collection::vec(any::<u8>(), 0..40)), 0..9),
    ) {
        let mut reader = LogFold::new();
        reader.on_records(oldest, &records);
        prop_assert!(reader.next_offset() <= 9);
    }
}
