//! Read position in a topic of the platform's store.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::coordination::topic_cursor::NextRead;
use sycamorewick::coordination::topic_cursor::RecordUse;
use sycamorewick::coordination::topic_cursor::TopicCursor;

const WAIT: Duration = Duration::from_millis(900);
const NOW: Duration = Duration::from_mins(1);

/// Guards against missing a record that the reported end offset counts but the response does not
/// contain.
#[gtest]
fn on_newest_end_ahead_of_records() {
    let mut cursor = TopicCursor::default();
    expect_that!(cursor.next(), eq(NextRead::Newest));
    cursor.on_newest(&[3, 23], 2, 25);
    expect_that!(cursor.next(), eq(NextRead::From(24)));
}

/// Guards against skipping a change to a key of an earlier page, since the pages are not a snapshot.
#[gtest]
fn on_newest_several_pages() {
    let mut cursor = TopicCursor::default();
    cursor.on_newest(&[3, 9, 40], 2, 12);
    expect_that!(cursor.next(), eq(NextRead::From(10)));
}

/// Guards against an old record that replaces a newer one of its key when records are delivered twice.
#[gtest]
fn update_if_newer_older_record() {
    let mut cursor = TopicCursor::default();
    expect_true!(cursor.update_if_newer(NOW, "config", 23));
    expect_false!(cursor.update_if_newer(NOW, "config", 23));
    expect_false!(cursor.update_if_newer(NOW, "config", 20));
    expect_true!(cursor.update_if_newer(NOW, "other", 20));
    expect_true!(cursor.update_if_newer(NOW, "config", 24));
}

/// Guards against requesting expired records forever if there are no newer ones.
#[gtest]
fn on_expired_behind_seen() {
    let mut cursor = TopicCursor::default();
    cursor.on_newest(&[3], 1, 25);
    cursor.on_expired();
    expect_that!(cursor.next(), eq(NextRead::Newest));
    cursor.on_newest(&[3, 24], 2, 26);
    expect_that!(cursor.next(), eq(NextRead::From(25)));
}

/// Guards against reading on from an old position after the records there have expired.
#[gtest]
fn on_expired_after_reading() {
    let mut cursor = TopicCursor::default();
    cursor.on_newest(&[3], 1, 4);
    cursor.on_read(9);
    cursor.on_expired();
    expect_that!(cursor.next(), eq(NextRead::Newest));
    cursor.on_newest(&[30], 1, 31);
    expect_that!(cursor.next(), eq(NextRead::From(31)));
}

/// Guards against missing a record for good that has expired before the store has listed it with the newest ones.
#[gtest]
fn on_expired_before_listed() {
    let mut cursor = TopicCursor::default();
    cursor.on_newest(&[3], 1, 25);
    cursor.on_expired();
    expect_true!(cursor.awaits_listing());
    expect_that!(cursor.next(), eq(NextRead::Newest));
    // Record 24 is not listed yet.
    cursor.on_newest(&[3], 1, 25);
    expect_that!(cursor.next(), eq(NextRead::From(4)));
    cursor.on_expired();
    cursor.on_newest(&[24], 1, 27);
    expect_that!(cursor.next(), eq(NextRead::From(25)));
    cursor.on_read(27);
    expect_false!(cursor.awaits_listing());
    expect_that!(cursor.next(), eq(NextRead::From(27)));
}

/// Guards against requesting expired records forever if they were removals, and against moving on to an end that was
/// reported later, before which there may be records that are not listed yet.
#[gtest]
fn on_expired_removals() {
    let mut cursor = TopicCursor::default();
    for end in [25, 26, 27] {
        cursor.on_newest(&[3], 1, end);
        expect_that!(cursor.next(), eq(NextRead::From(4)));
        cursor.on_expired();
        expect_that!(cursor.next(), eq(NextRead::Newest));
    }
    expect_false!(cursor.awaits_listing());
    cursor.on_newest(&[3], 1, 28);
    expect_that!(cursor.next(), eq(NextRead::From(25)));
}

/// Guards against a long poll that waits longer than the caller allows: a poll may miss a record, which
/// left nodes on an old configuration for 11 s and for 2.7 s. No earlier read makes a longer wait safe.
#[gtest]
fn next_call_wait() {
    let mut cursor = TopicCursor::default();
    expect_that!(cursor.next_call(WAIT).wait, eq(Duration::ZERO));
    cursor.on_newest(&[3], 1, 4);
    for end in [4, 4, 4, 5, 5] {
        expect_that!(cursor.next_call(WAIT).wait, eq(WAIT));
        cursor.on_read(end);
    }
    cursor.on_relayed(9);
    expect_that!(cursor.next_call(WAIT).wait, eq(WAIT));
}

/// Guards against a read that waits at a store whose outage has just ended, and against retries whose
/// timeout and pause together exceed the time within which a configuration has to be in force.
#[gtest]
fn next_call_after_failure() {
    let mut cursor = TopicCursor::default();
    cursor.on_newest(&[3], 1, 4);
    for failures in 1..9 {
        let pause = cursor.on_failure(1.0);
        let call = cursor.next_call(WAIT);
        expect_that!(cursor.failures(), eq(failures));
        expect_that!(call.wait, eq(Duration::ZERO));
        expect_that!(call.timeout + pause, le(Duration::from_millis(1_900)));
    }
    cursor.on_read(4);
    expect_that!(cursor.failures(), eq(0));
    expect_that!(cursor.next_call(WAIT).wait, eq(WAIT));
}

/// Guards against reading each configuration of a quick succession over a slow link after a reader was lost,
/// which made the last one late.
#[gtest]
fn skip_replaced_configurations_in_quick_succession() {
    let window = Duration::from_secs(3);
    let mut cursor = TopicCursor::default();
    cursor.on_newest(&[3], 1, 4);
    expect_true!(cursor.update_if_newer(NOW, "config", 3));
    cursor.on_relayed(6);
    expect_true!(cursor.update_if_newer(NOW + window, "config", 4));
    expect_true!(cursor.update_if_newer(NOW + window, "other", 5));
    cursor.skip_replaced(NOW + window, window);
    expect_that!(cursor.next(), eq(NextRead::From(6)), "one replaced record");
    expect_true!(cursor.update_if_newer(NOW + window * 2, "config", 6));
    cursor.on_relayed(7);
    cursor.skip_replaced(NOW + window * 3, window);
    expect_that!(
        cursor.next(),
        eq(NextRead::From(7)),
        "long after the first one"
    );
    cursor.skip_replaced(NOW + window * 2, window);
    expect_that!(cursor.next(), eq(NextRead::Newest));
    cursor.on_newest(&[3, 9], 2, 10);
    expect_that!(cursor.next(), eq(NextRead::From(10)));
}

/// Guards against a check of the newest records that reads expired or known records again.
#[gtest]
fn recheck_keeps_position() {
    let mut cursor = TopicCursor::default();
    cursor.recheck();
    expect_false!(cursor.is_rechecking());
    cursor.on_newest(&[1, 3], 2, 4);
    cursor.on_read(9);
    cursor.recheck();
    expect_that!(cursor.next(), eq(NextRead::Newest));
    cursor.on_newest(&[1, 3], 2, 12);
    expect_false!(cursor.is_rechecking());
    expect_that!(cursor.next(), eq(NextRead::From(9)));
}

/// Guards against decoding each of several configurations that one read returns, although the last one replaces the
/// others at once, and against removals or records of other keys that are lost or change places.
#[gtest]
fn select_newest_of_each_key() {
    let mut cursor = TopicCursor::default();
    expect_true!(cursor.update_if_newer(NOW, "config", 3));
    let records = [
        ("config", 3),
        ("evacuate/a", 4),
        ("config", 5),
        ("rollout/s", 6),
        ("config", 7),
        ("evacuate/a", 8),
        ("evacuate/b", 9),
    ];
    let uses = cursor.select(NOW, records.into_iter());
    expect_that!(
        uses,
        elements_are![
            eq(&RecordUse::Known),
            eq(&RecordUse::Replaced),
            eq(&RecordUse::Replaced),
            eq(&RecordUse::Apply),
            eq(&RecordUse::Apply),
            eq(&RecordUse::Apply),
            eq(&RecordUse::Apply)
        ]
    );
    let again = cursor.select(NOW, records.into_iter());
    expect_true!(again.iter().all(|usage| *usage == RecordUse::Known));
}

/// Guards against reading each configuration of a quick succession, and against reading the newest records, which
/// the store does not hold back until there is one, after the succession is over.
#[gtest]
fn on_replaced_until_caught_up() {
    let mut cursor = TopicCursor::default();
    cursor.on_newest(&[3], 1, 4);
    cursor.on_read(8);
    expect_that!(cursor.next(), eq(NextRead::From(8)));
    cursor.on_replaced();
    expect_true!(cursor.is_behind());
    expect_that!(cursor.next(), eq(NextRead::Newest));
    expect_that!(cursor.next_call(WAIT).wait, eq(Duration::ZERO));
    // Records 8 and 9 were replaced by record 10.
    cursor.on_newest(&[10], 1, 11);
    expect_that!(cursor.position(), some(eq(11)));
    expect_that!(cursor.next(), eq(NextRead::Newest));
    // Two records of different keys, neither of which has replaced one that was not read.
    cursor.on_newest(&[11, 12], 2, 13);
    expect_false!(cursor.is_behind());
    expect_that!(cursor.next(), eq(NextRead::From(13)));
}

/// Guards against missing a record that the reported end counts but the newest records do not contain yet, also if
/// they lack records that were read before.
#[gtest]
fn on_replaced_newest_records_late() {
    let mut cursor = TopicCursor::default();
    cursor.on_newest(&[3], 1, 4);
    cursor.on_read(8);
    cursor.on_replaced();
    cursor.on_newest(&[8], 1, 12);
    expect_that!(cursor.next(), eq(NextRead::From(9)));
    cursor.on_read(12);
    cursor.on_replaced();
    cursor.on_newest(&[9], 1, 13);
    expect_that!(cursor.next(), eq(NextRead::From(10)));
}

/// Guards against a reader that stays with the newest records after a failure, an expiry or a change of the source,
/// and against a check of the newest records that takes the place of reading them.
#[gtest]
fn on_replaced_and_other_events() {
    let mut cursor = TopicCursor::default();
    cursor.on_replaced();
    expect_false!(cursor.is_behind(), "nothing was read yet");
    cursor.on_newest(&[3], 1, 4);
    cursor.on_replaced();
    cursor.recheck();
    expect_false!(cursor.is_rechecking());
    cursor.on_failure(1.0);
    expect_that!(cursor.next(), eq(NextRead::Newest));
    cursor.on_relayed(9);
    expect_that!(cursor.next(), eq(NextRead::From(9)));
    cursor.on_replaced();
    cursor.on_newest(&[9], 1, 10);
    cursor.on_expired();
    expect_that!(cursor.next(), eq(NextRead::Newest));
    cursor.on_newest(&[30], 1, 31);
    expect_that!(cursor.next(), eq(NextRead::From(31)));
}

/// Guards against a valid record that is never applied, because a refused one of its key was the newest one, and
/// against reading the records in between a second time.
#[gtest]
fn on_refused_reads_skipped_records() {
    let mut cursor = TopicCursor::default();
    cursor.on_newest(&[3], 1, 4);
    cursor.on_refused("config");
    expect_that!(cursor.next(), eq(NextRead::From(4)), "nothing was skipped");
    cursor.on_read(8);
    cursor.on_replaced();
    cursor.on_newest(&[10], 1, 11);
    let uses = cursor.select(NOW, [("config", 10), ("rollout/s", 9)].into_iter());
    expect_true!(uses.iter().all(|usage| *usage == RecordUse::Apply));
    cursor.on_refused("config");
    expect_that!(cursor.next(), eq(NextRead::From(8)));
    cursor.on_read(11);
    let records = [("config", 8), ("rollout/s", 9), ("config", 10)];
    expect_that!(
        cursor.select(NOW, records.into_iter()),
        elements_are![
            eq(&RecordUse::Replaced),
            eq(&RecordUse::Known),
            eq(&RecordUse::Apply)
        ]
    );
    cursor.on_refused("config");
    expect_that!(cursor.next(), eq(NextRead::From(11)));
}

/// Guards against a node that follows another one from an offset behind records that the newest ones lacked: it would
/// end an evacuation that they have not listed yet.
#[gtest]
fn follow_from_position_that_went_back() {
    let mut cursor = TopicCursor::default();
    expect_that!(cursor.follow_from(0), eq(0));
    cursor.on_newest(&[3], 1, 4);
    cursor.on_read(13);
    expect_that!(cursor.follow_from(13), eq(13));
    cursor.on_replaced();
    cursor.on_newest(&[10], 1, 13);
    expect_that!(cursor.follow_from(13), eq(11));
    cursor.on_expired();
    expect_that!(cursor.follow_from(13), eq(11));
    cursor.on_relayed(14);
    expect_that!(cursor.follow_from(14), eq(14));
}
