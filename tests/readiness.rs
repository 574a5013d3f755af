//! Readiness of a node after its start.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::coordination::readiness::Confirmation;
use sycamorewick::coordination::readiness::MAX_ANSWER_AGE;
use sycamorewick::coordination::readiness::PeerAnswer;
use sycamorewick::coordination::readiness::Readiness;
use sycamorewick::coordination::readiness::ReadyState;
use sycamorewick::protocol::name::ConfigVersion;

const NOW: Duration = Duration::from_secs(10);

fn answer(domain: &str, version: u64) -> PeerAnswer {
    PeerAnswer {
        domain: domain.into(),
        version: ConfigVersion(version),
        ready: true,
    }
}

fn ready(version: u64, confirmation: Confirmation) -> ReadyState {
    ReadyState::Ready {
        version: ConfigVersion(version),
        confirmation,
    }
}

fn text(readiness: &mut Readiness) -> String {
    readiness.state(NOW).to_string()
}

/// A node must not serve an outdated version that a single lagging peer reported.
#[gtest]
fn state_needs_two_domains() {
    let mut readiness = Readiness::new();
    expect_that!(
        text(&mut readiness),
        eq(
            "waits for the end of the log or for ready peers in 2 more failure domains; in force is \
            version 0"
        )
    );
    readiness.on_peer(NOW, &answer("a", 7));
    readiness.on_peer(NOW, &answer("a", 7));
    readiness.on_in_force(ConfigVersion(7));
    expect_that!(
        text(&mut readiness),
        eq(
            "waits for the end of the log or for ready peers in 1 more failure domain than a; in \
            force is version 7"
        )
    );
    readiness.on_peer(NOW, &answer("b", 9));
    expect_that!(
        text(&mut readiness),
        eq("waits for version 9, the newest one known, to be in force; in force is 7")
    );
    readiness.on_in_force(ConfigVersion(9));
    expect_that!(readiness.state(NOW), eq(&ready(9, Confirmation::Peers)));
    expect_that!(
        text(&mut readiness),
        eq("ready with version 9, confirmed by peers")
    );
}

/// Nodes that start together without state must not confirm each other.
#[gtest]
fn state_unready_peers() {
    let mut readiness = Readiness::new();
    for domain in ["a", "b", "c"] {
        let mut starting = answer(domain, 7);
        starting.ready = false;
        readiness.on_peer(NOW, &starting);
        readiness.on_peer(NOW, &answer(domain, 0));
    }
    readiness.on_in_force(ConfigVersion(7));
    expect_that!(
        matches!(readiness.state(NOW), ReadyState::Waiting(_)),
        eq(true)
    );
    // The reported version still counts as the newest known one.
    readiness.on_log_end(ConfigVersion(6));
    expect_that!(readiness.state(NOW), eq(&ready(7, Confirmation::Log)));
}

/// An old answer may predate a newer version and must not count.
#[gtest]
fn state_old_answer() {
    let mut readiness = Readiness::new();
    readiness.on_in_force(ConfigVersion(7));
    readiness.on_peer(Duration::ZERO, &answer("a", 7));
    let late = MAX_ANSWER_AGE + Duration::from_millis(1);
    readiness.on_peer(late, &answer("b", 7));
    expect_that!(
        matches!(readiness.state(late), ReadyState::Waiting(_)),
        eq(true)
    );
    readiness.on_peer(late, &answer("a", 7));
    expect_that!(readiness.state(late), eq(&ready(7, Confirmation::Peers)));
}

/// Without any publication, a node must not become ready while the log is down, and must become
/// ready when the log confirms that nothing has been published.
#[gtest]
fn state_first_start() {
    let mut readiness = Readiness::new();
    readiness.on_peer(NOW, &answer("a", 0));
    readiness.on_peer(NOW, &answer("b", 0));
    expect_that!(
        matches!(readiness.state(NOW), ReadyState::Waiting(_)),
        eq(true)
    );
    readiness.on_log_end(ConfigVersion::NONE);
    expect_that!(readiness.state(NOW), eq(&ready(0, Confirmation::Log)));
}

/// A node must not become ready by a log whose records it has lost, and must stay ready when the
/// log fails later.
#[gtest]
fn state_log_lost() {
    let mut readiness = Readiness::new();
    readiness.on_log_end(ConfigVersion(3));
    readiness.on_log_lost();
    readiness.on_in_force(ConfigVersion(3));
    expect_that!(
        matches!(readiness.state(NOW), ReadyState::Waiting(_)),
        eq(true)
    );
    readiness.on_log_end(ConfigVersion(3));
    expect_that!(readiness.state(NOW), eq(&ready(3, Confirmation::Log)));
    readiness.on_log_lost();
    readiness.on_peer(NOW, &answer("a", 8));
    expect_that!(readiness.state(NOW), eq(&ready(3, Confirmation::Log)));
}
