//! Fetches the topics from another node while a process has just started and the store does not answer. See
//! `docs/design/process-start.md`.

use std::net::SocketAddr;
use std::rc::Rc;

use slog::info;

use crate::coordination::startup::hold::StartState;
use crate::protocol::time::millis;
use crate::sidecar::Sidecar;
use crate::sidecar::feed::FLEET;
use crate::sidecar::feed::OPERATOR;
use crate::sidecar::relay_port;
use crate::sidecar::relay_port::FetchMode;
use crate::sidecar::topic_follower;

/// Fetches all topics from the node at `origin`, which has just sent a call, unless the store answers. A node that
/// starts while the store is unavailable knows no other node, but others know its address from an earlier run.
pub fn fetch_topics(cx: &Rc<Sidecar>, origin: SocketAddr) {
    cx.feed.peer_to_ask.set(Some(origin));
    if cx.feed.fetching_topics.replace(true) {
        return;
    }
    let cx = cx.clone();
    actix_rt::spawn(async move {
        if let Some(origin) = wait_for_silence(&cx).await {
            fetch_topics_now(&cx, origin).await;
        }
        cx.feed.fetching_topics.set(false);
        cx.feed.read_failed.notify_waiters();
    });
}

/// Returns what a process without a configuration, or without the entries of the nodes, waits for.
pub fn start_state(cx: &Sidecar) -> StartState {
    let has_config = cx.table().is_some();
    let topic = if has_config { FLEET } else { OPERATOR };
    StartState {
        has_config,
        answer: cx.feed.awaited_answer(has_config),
        failures: cx.feed.cursors.borrow()[topic].failures(),
        is_asking_peer: cx.feed.fetching_topics.get(),
        is_stopping: cx.stopping.get(),
    }
}

/// Waits until the topics should be fetched from another node, and returns the one that sent the last call. `None` if
/// they were read from the store meanwhile.
async fn wait_for_silence(cx: &Sidecar) -> Option<SocketAddr> {
    let mut was_due = false;
    while !cx.is_synchronized() {
        let failed = cx.feed.read_failed.notified();
        let at = cx.feed.awaited_answer(cx.table().is_some()).ask_peer_at();
        let now = cx.clock.now();
        if at > now {
            was_due = false;
            // The answer of the store is checked again in either case.
            let _ = actix_rt::time::timeout(at.saturating_sub(now), failed).await;
        } else if was_due {
            return cx.feed.peer_to_ask.get();
        } else {
            // After a suspension of the process, bytes that have arrived meanwhile are read first.
            was_due = true;
            actix_rt::task::yield_now().await;
        }
    }
    None
}

async fn fetch_topics_now(cx: &Rc<Sidecar>, origin: SocketAddr) {
    let answer = cx.feed.awaited_answer(cx.table().is_some());
    info!(cx.log, "topics requested from a peer"; "peer" => origin.to_string(), "store_failed" => answer.has_failed(),
        "store_silent_ms" => millis(answer.silence(cx.clock.now())));
    match relay_port::fetch(cx, origin, [0; 3], FetchMode::Everything).await {
        Ok(response) if !cx.is_synchronized() && !topic_follower::is_outdated(cx, &response) => {
            info!(cx.log, "topics fetched from a peer"; "peer" => origin.to_string(), "age_ms" => response.age_ms);
            topic_follower::apply_relayed(cx, response);
        }
        // The topics were read from the store meanwhile.
        Ok(_) => {}
        Err(failure) => {
            info!(cx.log, "topics not fetched from a peer"; "peer" => origin.to_string(), "why" => failure.why);
        }
    }
}
