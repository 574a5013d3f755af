//! Stores leaves of the backend server before they are acknowledged. See `docs/platform.md`, "Leaves".
//!
//! A node keeps nothing over a restart, and all processes may end right after an acknowledgement, so only
//! the store counts. A node that the store turns away has another node write its entry.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::uri::PathAndQuery;
use futures_util::future::select_ok;
use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;
use slog::info;
use slog::warn;

use crate::platform::store::FLEET_TOPIC;
use crate::protocol::codec;
use crate::protocol::fleet::FleetEntry;
use crate::protocol::time::millis;
use crate::sidecar::Sidecar;
use crate::sidecar::announcer;
use crate::sidecar::announcer::WrittenEntry;
use crate::transport::exchange::Exchange;
use crate::transport::http_server;
use crate::transport::http_server::BODY_TIMEOUT;

/// Path of a request to write the sender's entry.
pub const ENTRY_PATH: &str = "/sw/entry";
/// Time limit for storing a leave. The backend server waits 1 s for the acknowledgement.
const STORE_LIMIT: Duration = Duration::from_millis(850);
/// Time after which other nodes are asked, although the own write may still succeed.
const OWN_WRITE_TIME: Duration = Duration::from_millis(400);
/// Time limit for a request to another node.
const PEER_TIMEOUT: Duration = Duration::from_millis(250);
/// Nodes that are asked at the same time, in case one of them is gone.
const PEERS_AT_A_TIME: usize = 2;
/// Nodes that are asked at most.
const MAX_PEERS: usize = 4;
/// Idle time after which a connection to another node is not reused.
const MAX_IDLE: Duration = Duration::from_secs(3);
/// Largest entry, bytes; one has some 300.
const MAX_ENTRY_BYTES: usize = 64 << 10;
/// Largest response to a request to write an entry, bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 10;

/// Response to a request to write an entry.
#[derive(Debug, Deserialize, Serialize)]
struct EntryWritten {
    offset: u64,
    /// Era of the offset.
    era: Option<u64>,
}

/// Waits until the store has the last leave of an instance of the backend server. Returns whether it has
/// it; only then may the leave be acknowledged.
pub async fn store_leave(cx: &Rc<Sidecar>, instance: &str) -> bool {
    if is_stored(cx, instance) {
        return true;
    }
    let began = cx.clock.now();
    cx.entry_changed.notify_one();
    let stored = async {
        let own_write = wait_until_stored(cx, instance);
        if let Ok(true) = actix_rt::time::timeout(OWN_WRITE_TIME, own_write).await {
            return "own write";
        }
        if write_by_peers(cx, instance).await {
            return "another node";
        }
        while !wait_until_stored(cx, instance).await {
            cx.entry_tried.notified().await;
        }
        "own write"
    };
    let stored = actix_rt::time::timeout(STORE_LIMIT, stored).await;
    let took_ms = millis(cx.clock.since(began));
    let Ok(by) = stored else {
        warn!(cx.log, "leave not stored"; "instance" => instance, "took_ms" => took_ms);
        return false;
    };
    info!(cx.log, "leave stored"; "instance" => instance, "by" => by, "took_ms" => took_ms);
    true
}

/// Whether the store has acknowledged an entry with the last leave of an instance.
fn is_stored(cx: &Sidecar, instance: &str) -> bool {
    let state = cx.state.borrow();
    let Some(last) = state.backend.last_leave(instance) else {
        return true;
    };
    let written = state.written.iter().flat_map(|w| w.entry.leaves());
    let mut of_incarnation = written.filter(|left| left.incarnation == last.incarnation);
    of_incarnation.any(|left| left.sequence >= last.sequence)
}

/// Waits until the store has a leave, or a write of the own entry fails. Returns whether it has it.
async fn wait_until_stored(cx: &Sidecar, instance: &str) -> bool {
    loop {
        let tried = cx.entry_tried.notified();
        if is_stored(cx, instance) {
            return true;
        }
        if cx.entry_write_failed.get() {
            return false;
        }
        tried.await;
    }
}

/// Asks other nodes to write the own entry. Returns whether one of them has written it.
async fn write_by_peers(cx: &Rc<Sidecar>, instance: &str) -> bool {
    if !announcer::may_write(cx) {
        return false;
    }
    let mut peers = cx.state.borrow().placement.reachable_peers();
    peers.shuffle(&mut cx.state.borrow_mut().rng);
    peers.truncate(MAX_PEERS);
    for peers in peers.chunks(PEERS_AT_A_TIME) {
        let entry = announcer::next_entry(cx);
        let Ok(value) = codec::encode(&entry) else {
            return false;
        };
        let requests = peers
            .iter()
            .map(|addr| Box::pin(write_by_peer(cx, *addr, &value)));
        match select_ok(requests).await {
            Ok((written, _)) => {
                info!(cx.log, "node entry written by another node"; "offset" => written.offset);
                announcer::on_written(
                    cx,
                    WrittenEntry {
                        entry,
                        offset: written.offset,
                    },
                );
                return is_stored(cx, instance);
            }
            Err(why) => {
                info!(cx.log, "node entry not written by another node"; "why" => why);
            }
        }
    }
    false
}

async fn write_by_peer(
    cx: &Sidecar,
    addr: SocketAddr,
    value: &[u8],
) -> Result<EntryWritten, String> {
    let exchange = Exchange {
        addr,
        method: Method::POST,
        target: PathAndQuery::from_static(ENTRY_PATH),
        headers: Vec::new(),
        body: value.to_vec().into(),
        max_idle: MAX_IDLE,
        echo: None,
        expect_continue: false,
        responding: None,
        max_response_bytes: MAX_RESPONSE_BYTES,
    };
    let response = actix_rt::time::timeout(PEER_TIMEOUT, cx.control_pool.send(exchange))
        .await
        .map_err(|_| format!("{addr}: no response in time"))?
        .map_err(|failure| format!("{addr}: {failure}"))?;
    if response.status != StatusCode::OK {
        return Err(format!("{addr}: status {}", response.status.as_u16()));
    }
    let written: EntryWritten =
        codec::decode(&response.body).map_err(|failure| format!("{addr}: {}", failure.text))?;
    if written.era != cx.store.era() {
        // The offset could not be compared with those that this node reads.
        return Err(format!("{addr}: era {:?}", written.era));
    }
    Ok(written)
}

/// Writes the entry of another node, which the store turns away.
pub async fn serve(cx: &Sidecar, req: &mut Request) -> Response<BoxBody> {
    let mut payload = req.take_payload();
    let bodies = &cx.control_bodies;
    let read = http_server::read_body_within(&mut payload, MAX_ENTRY_BYTES, bodies, BODY_TIMEOUT);
    let Ok((body, _held)) = read.await else {
        return http_server::empty(StatusCode::BAD_REQUEST);
    };
    let entry = codec::decode::<FleetEntry>(&body).ok();
    let Some(entry) = entry.filter(|entry| entry.defect().is_none()) else {
        return http_server::empty(StatusCode::BAD_REQUEST);
    };
    if !cx.feed.is_store_available() || entry.node == cx.settings.id {
        return http_server::empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let put = cx.store.put(FLEET_TOPIC, entry.node.as_str(), &body, None);
    let written = match put.await {
        Ok(offset) => EntryWritten {
            offset,
            era: cx.store.era(),
        },
        Err(failure) => {
            info!(cx.log, "entry of another node not written"; "peer" => entry.node.as_str(), "why" => format!("{failure:?}"));
            return http_server::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
    };
    info!(cx.log, "entry of another node written"; "peer" => entry.node.as_str(), "offset" => written.offset);
    match codec::encode(&written) {
        Ok(bytes) => Response::with_body(StatusCode::OK, BoxBody::new(bytes)),
        Err(_) => http_server::empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
