//! Lets nodes of the same failure domain follow the topics that this node has read. See
//! `docs/platform.md`, "Store".

use std::fmt;
use std::net::SocketAddr;
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

use crate::coordination::relay::ReaderFailure;
use crate::platform::store::KeyedRecord;
use crate::protocol::codec;
use crate::protocol::codec::MAX_MESSAGE_BYTES;
use crate::protocol::time::millis;
use crate::sidecar::Sidecar;
use crate::sidecar::followers;
use crate::transport::exchange::Exchange;
use crate::transport::headers;
use crate::transport::http_server;

/// Path of a follower's question.
pub const FOLLOW_PATH: &str = "/sw/follow";
/// Header of the question with the offsets from which the topics are wanted.
const FROM_HEADER: &str = "sw-from";
/// Header of the question with the time for which the reader may wait for news, milliseconds. Without
/// it the reader answers at once with what it has.
const WAIT_HEADER: &str = "sw-wait-ms";
/// Time beyond its wait after which a question has failed; the way inside a failure domain is short.
const ANSWER_MARGIN: Duration = Duration::from_millis(350);
/// Idle time of a connection after which it is not used again.
const MAX_IDLE: Duration = Duration::from_secs(3);

/// Answer to a follower.
#[derive(Debug, Deserialize, Serialize)]
pub struct FollowAnswer {
    /// Age of the reader's view, milliseconds.
    pub age_ms: u64,
    /// One part a topic.
    pub topics: Vec<TopicPart>,
}

/// Records of one topic.
#[derive(Debug, Deserialize, Serialize)]
pub struct TopicPart {
    /// Offset to follow on from.
    pub end: u64,
    records: Vec<RelayedRecord>,
}

#[derive(Debug, Deserialize, Serialize)]
struct RelayedRecord {
    key: String,
    #[serde(with = "serde_bytes")]
    value: Vec<u8>,
    offset: u64,
}

impl TopicPart {
    /// Returns the records as the store would.
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

/// Answers a follower as soon as there is news or the view was confirmed, or after its wait.
pub async fn serve(cx: &Rc<Sidecar>, req: &Request) -> Response<BoxBody> {
    let from = headers::text(req.headers(), FROM_HEADER).and_then(parse_offsets);
    let Some(from) = from else {
        return http_server::empty(StatusCode::BAD_REQUEST);
    };
    let wait = headers::number(req.headers(), WAIT_HEADER).map(Duration::from_millis);
    if let Some(wait) = wait {
        wait_for_news(cx, from, wait).await;
    }
    if cx.stopping.get() {
        return http_server::empty(StatusCode::GONE);
    }
    // A view that is behind is of no use to a follower.
    let now = cx.clock.now();
    let age = match wait {
        Some(_) => fresh_age(cx, now),
        None => age(cx, now),
    };
    let Some(answer) = age.and_then(|age| answer(cx, from, age)) else {
        return http_server::empty(StatusCode::SERVICE_UNAVAILABLE);
    };
    match codec::encode(&answer) {
        Ok(bytes) => Response::with_body(StatusCode::OK, BoxBody::new(bytes)),
        Err(_) => http_server::empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Waits until there is news, until the view was confirmed, or up to `wait`.
async fn wait_for_news(cx: &Sidecar, from: [u64; 3], wait: Duration) {
    let began = cx.clock.now();
    cx.feed.on_question(began);
    let fresh_wait = followers::fresh_wait(cx);
    let is_hurried = wait < fresh_wait;
    let until = began + wait.min(fresh_wait);
    loop {
        let news = cx.feed.changed.notified();
        let checked = cx.feed.view_checked.notified();
        let now = cx.clock.now();
        let age = fresh_age(cx, now);
        let is_confirmed = age.is_some_and(|age| now.saturating_sub(age) > began);
        let is_answer = is_confirmed || (age.is_some() && (has_news(cx, from) || is_hurried));
        if now >= until || cx.stopping.get() || is_answer {
            return;
        }
        let either = select(Box::pin(news), Box::pin(checked));
        // Either end is fine: the answer is made from what is there then.
        let _ = actix_rt::time::timeout(until.saturating_sub(now), either).await;
    }
}

/// Age of the view of this node.
fn age(cx: &Sidecar, now: Duration) -> Option<Duration> {
    let confirmed_at = cx.feed.confirmed_at.get();
    confirmed_at.map(|at| now.saturating_sub(at))
}

/// The same, if others may follow it.
fn fresh_age(cx: &Sidecar, now: Duration) -> Option<Duration> {
    age(cx, now).filter(|age| *age <= followers::max_age(cx))
}

fn has_news(cx: &Sidecar, from: [u64; 3]) -> bool {
    let mirrors = cx.feed.mirrors.borrow();
    let mut pairs = mirrors.iter().zip(from);
    pairs.any(|(mirror, from)| !mirror.since(from).is_empty())
}

fn answer(cx: &Sidecar, from: [u64; 3], age: Duration) -> Option<FollowAnswer> {
    let mirrors = cx.feed.mirrors.borrow();
    let mut topics = Vec::with_capacity(mirrors.len());
    for (mirror, from) in mirrors.iter().zip(from) {
        let records = mirror.since(from).iter();
        topics.push(TopicPart {
            end: mirror.end()?,
            records: records
                .map(|record| RelayedRecord {
                    key: record.key.to_string(),
                    value: record.value.to_vec(),
                    offset: record.offset,
                })
                .collect(),
        });
    }
    let age_ms = millis(age);
    Some(FollowAnswer { age_ms, topics })
}

fn parse_offsets(text: &str) -> Option<[u64; 3]> {
    let mut offsets = text.split(',').map(|offset| offset.parse().ok());
    Some([offsets.next()??, offsets.next()??, offsets.next()??])
}

/// Why a reader is of no use.
pub struct AskFailure {
    /// How it failed.
    pub failure: ReaderFailure,
    /// What was found.
    pub why: String,
}

impl AskFailure {
    fn lost(why: impl fmt::Display) -> Self {
        Self {
            failure: ReaderFailure::Lost,
            why: why.to_string(),
        }
    }
}

/// What a question is for.
#[derive(Clone, Copy, Debug)]
pub enum Wanted {
    /// News; the reader waits up to this time for them, and does not answer with an old view.
    Fresh(Duration),
    /// All that the node has, of any age.
    Any,
}

/// Asks a reader for what is missing here.
///
/// # Errors
/// An [`AskFailure`].
pub async fn ask(
    cx: &Sidecar,
    addr: SocketAddr,
    from: [u64; 3],
    wanted: Wanted,
) -> Result<FollowAnswer, AskFailure> {
    let wait = match wanted {
        Wanted::Fresh(wait) => Some(wait),
        Wanted::Any => None,
    };
    let offsets = from.map(|offset| offset.to_string()).join(",");
    let offsets = HeaderValue::try_from(offsets).map_err(AskFailure::lost)?;
    let mut headers = vec![(HeaderName::from_static(FROM_HEADER), offsets)];
    if let Some(wait) = wait {
        let name = HeaderName::from_static(WAIT_HEADER);
        headers.push((name, millis(wait).into()));
    }
    let exchange = Exchange {
        addr,
        method: Method::GET,
        target: PathAndQuery::from_static(FOLLOW_PATH),
        headers,
        body: Bytes::new(),
        max_idle: MAX_IDLE,
        echo: None,
        max_answer: MAX_MESSAGE_BYTES,
    };
    let limit = wait.unwrap_or_default() + ANSWER_MARGIN;
    let answer = match actix_rt::time::timeout(limit, cx.pool.send(exchange)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(failure)) => return Err(AskFailure::lost(failure)),
        Err(_) => return Err(AskFailure::lost("no answer in time")),
    };
    if answer.status != StatusCode::OK {
        return Err(AskFailure {
            failure: if answer.status == StatusCode::SERVICE_UNAVAILABLE {
                ReaderFailure::Behind
            } else {
                ReaderFailure::Lost
            },
            why: format!("status {}", answer.status.as_u16()),
        });
    }
    codec::decode(&answer.body).map_err(AskFailure::lost)
}
