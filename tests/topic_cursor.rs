//! Read position in a topic of the platform's store.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::coordination::topic_cursor::LONG_WAIT;
use sycamorewick::coordination::topic_cursor::NextRead;
use sycamorewick::coordination::topic_cursor::SHORT_WAIT;
use sycamorewick::coordination::topic_cursor::TopicCursor;

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
    expect_true!(cursor.update_if_newer("config", 23));
    expect_false!(cursor.update_if_newer("config", 23));
    expect_false!(cursor.update_if_newer("config", 20));
    expect_true!(cursor.update_if_newer("other", 20));
    expect_true!(cursor.update_if_newer("config", 24));
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
    cursor.on_read(9, SHORT_WAIT, Duration::ZERO);
    cursor.on_expired();
    expect_that!(cursor.next(), eq(NextRead::Newest));
    cursor.on_newest(&[30], 1, 31);
    expect_that!(cursor.next(), eq(NextRead::From(31)));
}

/// Guards against a long poll that a slow store leaves waiting although a record has arrived, which left
/// a node on an old configuration for 11 s.
#[gtest]
fn wait_after_change() {
    let mut cursor = TopicCursor::default();
    cursor.on_newest(&[3], 1, 4);
    expect_that!(cursor.wait(), eq(SHORT_WAIT));
    cursor.on_read(4, SHORT_WAIT, SHORT_WAIT);
    expect_that!(cursor.wait(), eq(LONG_WAIT));
    cursor.on_read(5, LONG_WAIT, Duration::from_secs(7));
    expect_that!(cursor.wait(), eq(SHORT_WAIT));
}

/// Guards against a long wait directly after a read without a wait, while a slow store writes a record,
/// which left a node on an old configuration for 5 s.
#[gtest]
fn wait_after_read_without_wait() {
    let mut cursor = TopicCursor::default();
    cursor.on_newest(&[3], 1, 4);
    cursor.on_read(4, Duration::ZERO, Duration::from_millis(5));
    expect_that!(cursor.wait(), eq(SHORT_WAIT));
}

/// Guards against a long wait while the store is slow or after a read failed.
#[gtest]
fn wait_slow_store() {
    let mut cursor = TopicCursor::default();
    cursor.on_newest(&[3], 1, 4);
    cursor.on_read(4, SHORT_WAIT, SHORT_WAIT + Duration::from_millis(250));
    expect_that!(cursor.wait(), eq(SHORT_WAIT));
    cursor.on_read(4, SHORT_WAIT, SHORT_WAIT);
    cursor.on_failure();
    expect_that!(cursor.wait(), eq(SHORT_WAIT));
}
