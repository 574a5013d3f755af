//! Decisions of a process that has no configuration yet, without a network.

use std::time::Duration;

use googletest::prelude::*;
use sycamorewick::coordination::startup::hold;
use sycamorewick::coordination::startup::hold::EarlyRequest;
use sycamorewick::coordination::startup::hold::HoldCounts;
use sycamorewick::coordination::startup::hold::HoldEnd;
use sycamorewick::coordination::startup::hold::MAX_AGE;
use sycamorewick::coordination::startup::hold::StartState;
use sycamorewick::coordination::startup::hold::Verdict;
use sycamorewick::coordination::startup::store_answer::MAX_SILENCE;
use sycamorewick::coordination::startup::store_answer::StoreAnswer;

/// Time of the transfer of a configuration of 417 kB from the store at 10 Mbit/s.
const STORE_TRANSFER: Duration = Duration::from_millis(450);
/// Interval at which bytes of a transfer arrive.
const CHUNK_INTERVAL: Duration = Duration::from_millis(10);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a second transfer of the configuration next to a response of the store that arrives slowly.
#[gtest]
fn ask_peer_slow_transfer() {
    let mut answer = StoreAnswer::default();
    answer.on_call(ms(20));
    let mut now = ms(200);
    while now < ms(200) + STORE_TRANSFER {
        expect_that!(answer.ask_peer_at(), gt(now));
        answer.on_receive(now);
        now += CHUNK_INTERVAL;
    }
}

/// Guards against a node that waits for a store that does not answer, at its first read or at a later one.
#[gtest]
fn ask_peer_silent_store() {
    let mut answer = StoreAnswer::default();
    expect_that!(answer.ask_peer_at(), eq(MAX_SILENCE));
    answer.on_call(ms(20));
    expect_that!(answer.ask_peer_at(), eq(ms(20) + MAX_SILENCE));
}

/// Guards against a node that waits for the rest of a response until the call times out.
#[gtest]
fn ask_peer_stalled_transfer() {
    let mut answer = StoreAnswer::default();
    answer.on_call(ms(20));
    answer.on_receive(ms(100));
    expect_that!(answer.ask_peer_at(), eq(ms(100) + MAX_SILENCE));
}

/// Guards against a wait after the store could not be reached, also while the next attempts run, and against
/// requests to a peer after the store answers again.
#[gtest]
fn ask_peer_failed_read() {
    let mut answer = StoreAnswer::default();
    for at in [20, 200, 500] {
        answer.on_call(ms(at));
        answer.on_failure();
        expect_that!(answer.ask_peer_at(), le(ms(at)));
    }
    answer.on_call(ms(900));
    expect_that!(answer.ask_peer_at(), le(ms(900)));
    expect_that!(answer.has_failed(), eq(true));
    answer.on_receive(ms(910));
    expect_that!(answer.ask_peer_at(), eq(ms(910) + MAX_SILENCE));
    expect_that!(answer.has_failed(), eq(false));
}

/// Guards against a peer that sends the configuration once more, since the entries of the nodes arrive after it.
#[gtest]
fn ask_peer_entries_after_configuration() {
    let mut config = StoreAnswer::default();
    let mut entries = StoreAnswer::default();
    config.on_call(ms(20));
    entries.on_call(ms(20));
    config.on_receive(ms(900));
    let awaited = entries.with_sign_of(config);
    expect_that!(awaited.ask_peer_at(), eq(ms(900) + MAX_SILENCE));
    entries.on_failure();
    expect_that!(entries.with_sign_of(config).has_failed(), eq(true));
}

/// Nodes that start at the same moment.
const NODES: u64 = 57;
/// Time of a step of the simulation.
const STEP: Duration = Duration::from_millis(5);
/// Interval at which a node gets requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Time at which a peer that has not been restarted calls a node.
const PEER_CALL: Duration = Duration::from_millis(50);
/// Time of the transfer of all topics from a peer at 10 Mbit/s.
const PEER_TRANSFER: Duration = Duration::from_millis(350);

/// How the sources of a starting node behave. Times count from its start.
#[derive(Clone, Copy, Debug, Default)]
struct Sources {
    /// Begin and end of the response of the store.
    store: Option<(Duration, Duration)>,
    /// Time at which the read of the store fails.
    store_fails: Option<Duration>,
    /// Whether a peer answers.
    has_peer: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    served: u32,
    refused: u32,
    longest: Duration,
    /// Transfers from a peer that began.
    peer_transfers: u32,
}

/// Simulates one node that gets requests with `time_left` from its start on until it is 2 s old.
fn simulate(sources: Sources, time_left: Option<Duration>) -> Outcome {
    let mut answer = StoreAnswer::default();
    let mut asked_at = None;
    let mut has_config = false;
    let mut held: Vec<EarlyRequest> = Vec::new();
    let mut outcome = Outcome::default();
    let mut now = Duration::ZERO;
    while now < ms(2_000) {
        if let Some((begin, end)) = sources.store
            && now >= begin
            && now <= end
        {
            answer.on_receive(now);
            has_config |= now == end;
        }
        if sources.store_fails == Some(now) {
            answer.on_failure();
        }
        let knows_peer = sources.has_peer && now >= PEER_CALL;
        if knows_peer && !has_config && asked_at.is_none() && answer.ask_peer_at() <= now {
            asked_at = Some(now);
            outcome.peer_transfers += 1;
        }
        has_config |= asked_at.is_some_and(|at| now >= at + PEER_TRANSFER);
        if now.as_millis().is_multiple_of(REQUEST_INTERVAL.as_millis()) {
            held.push(EarlyRequest {
                arrived: now,
                time_left,
            });
        }
        let state = StartState {
            has_config,
            answer,
            failures: u32::from(answer.has_failed()),
            is_asking_peer: knows_peer,
            is_stopping: false,
        };
        held.retain(|request| {
            let verdict = hold::decide(now, request, &state);
            let waited = now.saturating_sub(request.arrived);
            match verdict {
                _ if has_config => outcome.served += 1,
                Verdict::Hold(_) => return true,
                Verdict::Proceed => outcome.served += 1,
                Verdict::Refuse(_) => outcome.refused += 1,
            }
            outcome.longest = outcome.longest.max(waited);
            false
        });
        now += STEP;
    }
    outcome
}

/// Guards against refusals of requests that would have been served within half of their time, when all nodes start
/// at once and the configuration is in force 0.62 to 1.27 s later.
#[gtest]
fn hold_store_in_time() {
    for node in 0..NODES {
        let end = ms(620 + 650 * node / (NODES - 1) / 5 * 5);
        let sources = Sources {
            store: Some((ms(200), end)),
            ..Sources::default()
        };
        let long = simulate(sources, Some(ms(4_000)));
        expect_that!(long.refused, eq(0), "configuration after {end:?}");
        expect_that!(long.longest, le(end));
        expect_that!(long.peer_transfers, eq(0));
        let short = simulate(sources, Some(ms(1_000)));
        let early = end
            .saturating_sub(ms(500))
            .div_duration_f64(REQUEST_INTERVAL)
            .ceil();
        expect_that!(
            f64::from(short.refused),
            le(early),
            "configuration after {end:?}"
        );
        expect_that!(short.longest, le(ms(500)));
    }
}

/// Guards against a configuration that is transferred by the store and a peer at the same time, and against requests
/// that are refused although a peer answers.
#[gtest]
fn hold_peer_answers() {
    let has_peer = true;
    let answering = Sources {
        store: Some((ms(200), ms(650))),
        has_peer,
        ..Sources::default()
    };
    let failing = Sources {
        store_fails: Some(ms(100)),
        has_peer,
        ..Sources::default()
    };
    let silent = Sources {
        has_peer,
        ..Sources::default()
    };
    for (sources, transfers) in [(answering, 0), (failing, 1), (silent, 1)] {
        let outcome = simulate(sources, Some(ms(2_500)));
        expect_that!(outcome.refused, eq(0), "{sources:?}");
        expect_that!(outcome.longest, le(ms(650)), "{sources:?}");
        expect_that!(outcome.peer_transfers, eq(transfers), "{sources:?}");
    }
}

/// Guards against requests that are held for longer than half of their time, or after the process is 1.5 s old, by a
/// store that answers late or never.
#[gtest]
fn hold_store_late() {
    let late = Sources {
        store: Some((ms(200), ms(1_900))),
        ..Sources::default()
    };
    for sources in [late, Sources::default()] {
        for (time_left, limit) in [
            (Some(ms(10_000)), MAX_AGE),
            (Some(ms(1_000)), ms(500)),
            (Some(ms(250)), ms(125)),
            (None, ms(500)),
        ] {
            let outcome = simulate(sources, time_left);
            expect_that!(outcome.longest, le(limit), "{sources:?} {time_left:?}");
            expect_that!(outcome.refused, ge(70), "{sources:?} {time_left:?}");
        }
    }
}

/// Guards against requests that wait for a store that cannot be reached, without a peer.
#[gtest]
fn hold_store_unreachable() {
    let sources = Sources {
        store_fails: Some(Duration::ZERO),
        ..Sources::default()
    };
    let outcome = simulate(sources, Some(ms(4_000)));
    expect_that!(outcome.served, eq(0));
    expect_that!(outcome.longest, eq(Duration::ZERO));
}

fn waiting_state() -> StartState {
    StartState {
        has_config: false,
        answer: StoreAnswer::default(),
        failures: 0,
        is_asking_peer: false,
        is_stopping: false,
    }
}

fn early_request(arrived: Duration) -> EarlyRequest {
    EarlyRequest {
        arrived,
        time_left: Some(ms(4_000)),
    }
}

/// Guards against callers that come back before the configuration can be there, and that are told to wait for longer
/// than the hold could last.
#[gtest]
fn refuse_retry_after() {
    let request = EarlyRequest {
        arrived: Duration::ZERO,
        time_left: Some(ms(1_000)),
    };
    let state = waiting_state();
    expect_that!(
        hold::decide(ms(500), &request, &state),
        eq(Verdict::Refuse(ms(1_000)))
    );
    let late = hold::decide(ms(9_000), &early_request(ms(9_000)), &state);
    expect_that!(late, matches_pattern!(Verdict::Refuse(le(ms(1_000)))));
    let mut failed = waiting_state();
    failed.answer.on_failure();
    failed.failures = 1;
    let first = hold::decide(ms(20), &early_request(ms(20)), &failed);
    expect_that!(first, matches_pattern!(Verdict::Refuse(ge(ms(500)))));
    expect_that!(first, matches_pattern!(Verdict::Refuse(le(ms(1_000)))));
}

/// Guards against a stop that waits for held requests.
#[gtest]
fn refuse_stopping() {
    let mut state = waiting_state();
    let request = early_request(ms(100));
    expect_that!(
        hold::decide(ms(200), &request, &state),
        matches_pattern!(Verdict::Hold(_))
    );
    state.is_stopping = true;
    expect_that!(
        hold::decide(ms(200), &request, &state),
        matches_pattern!(Verdict::Refuse(_))
    );
}

/// Guards against requests that reach a node whose own entry is not read yet, by which its backend server is not used,
/// and against a wait for entries that do not arrive.
#[gtest]
fn proceed_without_entries() {
    let mut state = waiting_state();
    state.has_config = true;
    let request = early_request(ms(100));
    state.answer.on_receive(ms(200));
    expect_that!(
        hold::decide(ms(250), &request, &state),
        eq(Verdict::Hold(ms(200) + MAX_SILENCE))
    );
    let silent = ms(200) + MAX_SILENCE;
    expect_that!(hold::decide(silent, &request, &state), eq(Verdict::Proceed));
    state.answer.on_failure();
    expect_that!(
        hold::decide(ms(250), &request, &state),
        eq(Verdict::Proceed)
    );
}

/// Guards against a log line of the first held request that is missing or repeated, and against wrong numbers.
#[gtest]
fn count_holds() {
    let mut counts = HoldCounts::default();
    expect_that!(counts.begin(), eq(true));
    expect_that!(counts.begin(), eq(false));
    counts.end(HoldEnd::Refused, ms(300));
    counts.end(HoldEnd::Configured, ms(200));
    expect_that!(counts.begin(), eq(false));
    counts.end(HoldEnd::Cancelled, ms(100));
    expect_that!(
        counts,
        eq(HoldCounts {
            open: 0,
            configured: 1,
            refused: 1,
            cancelled: 1,
            longest: ms(300),
        })
    );
}
