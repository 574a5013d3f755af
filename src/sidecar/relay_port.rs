//! Serves the topics that this node has read to followers, nodes of the same failure domain, and
//! fetches topics from other nodes. See `docs/platform.md`, "Store".

use std::cell::Cell;
use std::fmt;
use std::net::SocketAddr;
use std::ops::Not;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::HttpMessage;
use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_http::uri::PathAndQuery;
use bytes::Bytes;
use futures_util::future::select;
use serde::Deserialize;
use serde::Serialize;

use crate::coordination::follow_poll::CONFIRMATION_TIME;
use crate::coordination::follow_poll::FollowPoll;
use crate::coordination::follow_poll::FollowStep;
use crate::coordination::topic_source::ReaderFailure;
use crate::platform::store::KeyedRecord;
use crate::protocol::codec;
use crate::protocol::codec::MAX_MESSAGE_BYTES;
use crate::protocol::time::millis;
use crate::sidecar::Sidecar;
use crate::sidecar::topic_follower;
use crate::transport::exchange::Exchange;
use crate::transport::exchange::ExchangeFailure;
use crate::transport::headers;
use crate::transport::http_server;

/// Path of a follow request.
pub const FOLLOW_PATH: &str = "/sw/follow";
/// Header of a follow request with the offsets from which the topics are requested.
const FROM_HEADER: &str = "sw-from";
/// Header of a follow request with the era of these offsets.
const ERA_HEADER: &str = "sw-era";
/// Header of a follow request with the long-poll time, milliseconds. Without it the reader responds at
/// once with the records that it has.
const WAIT_HEADER: &str = "sw-wait-ms";
/// Header of a follow request of a node whose last reader was lost.
const FAILOVER_HEADER: &str = "sw-failover";
/// Header of a follow request of a node that cannot read the store either.
const STORE_AWAY_HEADER: &str = "sw-store-away";
/// Time beyond the long-poll time after which a follow request has failed. Round trips
/// within a failure domain are short.
const RESPONSE_MARGIN: Duration = Duration::from_millis(350);
/// Further time for a response that has begun, as a share of the time within which a configuration has to
/// be in force: 350 kB take 0.3 s on a link of 10 Mbit/s without other traffic.
const TRANSFER_SHARE: f64 = 0.25;
/// Idle time after which a connection to a reader is not reused.
const MAX_IDLE: Duration = Duration::from_secs(3);

/// Response to a follow request.
#[derive(Debug, Deserialize, Serialize)]
pub struct FollowResponse {
    /// Age of the reader's view, milliseconds.
    pub age_ms: u64,
    /// Records of each topic.
    pub topics: Vec<TopicRecords>,
    /// Era of the offsets.
    #[serde(default)]
    pub era: Option<u64>,
    /// Keys of the operator's topic that the store has dropped without a record.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub dropped: Vec<DroppedKey>,
}

/// A key whose record the store has dropped.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DroppedKey {
    /// Key.
    pub key: String,
    /// Offset of the record.
    pub offset: u64,
}

/// Records of one topic.
#[derive(Debug, Deserialize, Serialize)]
pub struct TopicRecords {
    /// Offset of the next record.
    pub end: u64,
    records: Vec<RelayedRecord>,
    /// Whether these are the records of all keys, also of those that the follower has not asked for. Earlier
    /// builds do not send or read it.
    #[serde(default, skip_serializing_if = "Not::not")]
    pub is_complete: bool,
}

#[derive(Debug, Deserialize, Serialize)]
struct RelayedRecord {
    key: String,
    #[serde(with = "serde_bytes")]
    value: Vec<u8>,
    offset: u64,
}

impl TopicRecords {
    /// Converts the records into those of the store.
    #[must_use]
    pub fn records(self) -> Vec<KeyedRecord> {
        let records = self.records.into_iter();
        records
            .map(|record| KeyedRecord {
                key: record.key,
                value: record.value.into(),
                offset: record.offset,
            })
            .collect()
    }
}

/// Offsets from which a follower requests the topics.
struct FollowerPosition {
    offsets: [u64; 3],
    /// Era of the offsets.
    era: Option<u64>,
}

impl FollowerPosition {
    /// Returns the offsets from which this node has to send the topics: all of them if the follower's
    /// offsets are of another era.
    fn in_era(&self, era: Option<u64>) -> [u64; 3] {
        if self.era.is_none() || self.era == era {
            self.offsets
        } else {
            [0; 3]
        }
    }
}

/// Handles a follow request. Responds as soon as there are new records or the view was confirmed, at
/// the latest after the long-poll time, and refuses as soon as the view is too old to be followed.
pub async fn serve(cx: &Rc<Sidecar>, req: &Request) -> Response<BoxBody> {
    let from = headers::text(req.headers(), FROM_HEADER).and_then(parse_offsets);
    let Some(offsets) = from else {
        return http_server::empty(StatusCode::BAD_REQUEST);
    };
    let era = headers::number(req.headers(), ERA_HEADER);
    let from = FollowerPosition { offsets, era };
    if era > cx.feed.era() {
        // The store has gone back, which this node learns from the store itself.
        cx.feed.interrupt_long_poll();
        return http_server::empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    let wait = headers::number(req.headers(), WAIT_HEADER).map(Duration::from_millis);
    let may_respond = match wait {
        Some(wait) => {
            let began = cx.clock.now();
            let poll = FollowPoll {
                began,
                until: began + wait.min(topic_follower::long_poll_wait(cx)),
                is_failover: req.headers().contains_key(FAILOVER_HEADER),
                is_store_away: req.headers().contains_key(STORE_AWAY_HEADER),
                max_view_age: topic_follower::max_followed_age(cx),
            };
            wait_for_update(cx, &from, &poll).await
        }
        None => true,
    };
    if cx.stopping.get() {
        return http_server::empty(StatusCode::GONE);
    }
    let view_age = cx.feed.view_age(cx.clock.now()).filter(|_| may_respond);
    let Some(response) = view_age.and_then(|view_age| follow_response(cx, &from, view_age)) else {
        return http_server::empty(StatusCode::SERVICE_UNAVAILABLE);
    };
    match codec::encode(&response) {
        Ok(bytes) => Response::with_body(StatusCode::OK, BoxBody::new(bytes)),
        Err(_) => http_server::empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Waits until the reader can answer a follow request. Returns whether its view may be followed.
async fn wait_for_update(cx: &Sidecar, from: &FollowerPosition, poll: &FollowPoll) -> bool {
    loop {
        let changed = cx.feed.changed.notified();
        let checked = cx.feed.view_checked.notified();
        let now = cx.clock.now();
        let confirmed_at = cx.feed.confirmed_at.get();
        let step = if cx.feed.is_complete() {
            poll.next(now, confirmed_at, has_new_records(cx, from))
        } else if now < poll.until {
            // The topics are being read anew.
            FollowStep::Wait(poll.until)
        } else {
            FollowStep::RefuseAsBehind
        };
        let until = match step {
            FollowStep::Respond => return true,
            FollowStep::RefuseAsBehind => return false,
            FollowStep::Wait(_) if cx.stopping.get() => return false,
            FollowStep::Wait(until) => until,
        };
        let either = select(Box::pin(changed), Box::pin(checked));
        // The result does not matter, since the conditions are checked again.
        let _ = actix_rt::time::timeout(until.saturating_sub(now), either).await;
    }
}

fn has_new_records(cx: &Sidecar, from: &FollowerPosition) -> bool {
    let mirrors = cx.feed.mirrors.borrow();
    let mut pairs = mirrors.iter().zip(from.in_era(cx.feed.era()));
    pairs.any(|(mirror, from)| !mirror.records_from(from).is_empty())
}

fn follow_response(
    cx: &Sidecar,
    from: &FollowerPosition,
    view_age: Duration,
) -> Option<FollowResponse> {
    let era = cx.feed.era();
    let mirrors = cx.feed.mirrors.borrow();
    let mut topics = Vec::with_capacity(mirrors.len());
    for (mirror, from) in mirrors.iter().zip(from.in_era(era)) {
        let found = mirror.follower_records(from);
        topics.push(TopicRecords {
            end: mirror.end()?,
            is_complete: found.is_complete,
            records: found
                .records
                .iter()
                .map(|record| RelayedRecord {
                    key: record.key.to_string(),
                    value: record.value.to_vec(),
                    offset: record.offset,
                })
                .collect(),
        });
    }
    let age_ms = millis(view_age);
    Some(FollowResponse {
        age_ms,
        topics,
        era,
        dropped: cx.feed.dropped_keys.borrow().clone(),
    })
}

fn parse_offsets(text: &str) -> Option<[u64; 3]> {
    let mut offsets = text.split(',').map(|offset| offset.parse().ok());
    Some([offsets.next()??, offsets.next()??, offsets.next()??])
}

/// Failure of a follow request.
pub struct FetchFailure {
    /// Kind of the failure; `None` if it says nothing about the reader, since this process had no connection left.
    pub failure: Option<ReaderFailure>,
    /// Description for the log.
    pub why: String,
}

impl FetchFailure {
    /// The reader's view is too old.
    pub fn behind(why: String) -> Self {
        Self {
            failure: Some(ReaderFailure::Behind),
            why,
        }
    }

    fn lost(why: impl fmt::Display) -> Self {
        Self {
            failure: Some(ReaderFailure::Lost),
            why: why.to_string(),
        }
    }
}

/// Purpose of a follow request.
#[derive(Clone, Copy, Debug)]
pub enum FetchMode {
    /// Long poll for new records; the reader does not respond with an old view.
    Updates,
    /// The same after the last reader was lost: the reader responds as soon as its view is confirmed.
    Failover,
    /// All records that the node has, of any age.
    Everything,
}

/// Fetches the records from the offsets `from` on from the node at `addr`.
///
/// # Errors
/// A [`FetchFailure`].
pub async fn fetch(
    cx: &Sidecar,
    addr: SocketAddr,
    from: [u64; 3],
    mode: FetchMode,
) -> Result<FollowResponse, FetchFailure> {
    let is_store_away = !cx.feed.is_store_available();
    let view_age = cx.feed.view_age(cx.clock.now());
    let wait = match mode {
        FetchMode::Everything => None,
        FetchMode::Failover => Some(CONFIRMATION_TIME),
        FetchMode::Updates if is_store_away => Some(topic_follower::long_poll_wait(cx)),
        FetchMode::Updates => Some(FollowPoll::requested_wait(
            topic_follower::long_poll_wait(cx),
            view_age,
            topic_follower::max_followed_age(cx),
        )),
    };
    let offsets = from.map(|offset| offset.to_string()).join(",");
    let offsets = HeaderValue::try_from(offsets).map_err(FetchFailure::lost)?;
    let mut headers = vec![(HeaderName::from_static(FROM_HEADER), offsets)];
    if let Some(wait) = wait {
        let name = HeaderName::from_static(WAIT_HEADER);
        headers.push((name, millis(wait).into()));
    }
    if let Some(era) = cx.feed.era() {
        headers.push((HeaderName::from_static(ERA_HEADER), era.into()));
    }
    let mut add_flag = |name| {
        let name = HeaderName::from_static(name);
        headers.push((name, HeaderValue::from_static("1")));
    };
    if is_store_away {
        add_flag(STORE_AWAY_HEADER);
    }
    if matches!(mode, FetchMode::Failover) {
        add_flag(FAILOVER_HEADER);
    }
    let responding = Cell::new(false);
    let exchange = Exchange {
        addr,
        method: Method::GET,
        target: PathAndQuery::from_static(FOLLOW_PATH),
        headers,
        body: Bytes::new(),
        max_idle: MAX_IDLE,
        echo: None,
        expect_continue: false,
        responding: Some(&responding),
        max_response_bytes: MAX_MESSAGE_BYTES,
    };
    let timeout = wait.unwrap_or_default() + RESPONSE_MARGIN;
    let mut sent = pin!(cx.control_pool.send(exchange));
    let mut result = actix_rt::time::timeout(timeout, &mut sent).await;
    if result.is_err() && responding.get() {
        let transfer_time = cx.settings.config_within().mul_f64(TRANSFER_SHARE);
        result = actix_rt::time::timeout(transfer_time, sent).await;
    }
    let response = match result {
        Ok(Ok(response)) => response,
        Ok(Err(failure @ ExchangeFailure::NoConnection)) => {
            return Err(FetchFailure {
                failure: None,
                why: failure.to_string(),
            });
        }
        Ok(Err(failure)) => return Err(FetchFailure::lost(failure)),
        Err(_) => return Err(FetchFailure::lost("no response in time")),
    };
    if response.status != StatusCode::OK {
        return Err(FetchFailure {
            failure: Some(if response.status == StatusCode::SERVICE_UNAVAILABLE {
                ReaderFailure::Behind
            } else {
                ReaderFailure::Lost
            }),
            why: format!("status {}", response.status.as_u16()),
        });
    }
    codec::decode(&response.body).map_err(FetchFailure::lost)
}
