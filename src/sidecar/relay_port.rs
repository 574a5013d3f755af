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
use serde::Deserialize;
use serde::Serialize;

use crate::platform::store::KeyedRecord;
use crate::protocol::codec;
use crate::protocol::codec::MAX_MESSAGE_BYTES;
use crate::protocol::time::millis;
use crate::sidecar::Sidecar;
use crate::sidecar::followers;
use crate::state::mirror::Mirror;
use crate::transport::exchange::Exchange;
use crate::transport::headers;

/// Path of a follower's question.
pub const FOLLOW_PATH: &str = "/sw/follow";
/// Header of the question with the offsets from which the topics are wanted.
const FROM_HEADER: &str = "sw-from";
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

/// Answers a follower as soon as there is news, or after its wait.
pub async fn serve(cx: &Rc<Sidecar>, req: &Request) -> Response<BoxBody> {
    let now = cx.clock.now();
    cx.feed.followed_at.set(Some(now));
    let from = headers::text(req.headers(), FROM_HEADER).and_then(parse_offsets);
    let Some(from) = from else {
        return empty(StatusCode::BAD_REQUEST);
    };
    // A view that is behind is of no use, and one that was never followed is not kept fresh.
    let news = cx.feed.changed.notified();
    let is_news = |mirrors: &[Mirror; 3]| {
        let pairs = mirrors.iter().zip(from);
        pairs
            .into_iter()
            .any(|(mirror, from)| !mirror.since(from).is_empty())
    };
    if !is_news(&cx.feed.mirrors.borrow()) {
        // Either end is fine: the answer is made from what is there then.
        let _ = actix_rt::time::timeout(followers::fresh_wait(cx), news).await;
    }
    let now = cx.clock.now();
    let age = cx.feed.confirmed_at.get().map(|at| now.saturating_sub(at));
    let Some(age) = age.filter(|age| *age <= followers::max_age(cx) && !cx.stopping.get()) else {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    };
    let Some(answer) = answer(cx, from, age) else {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    };
    match codec::encode(&answer) {
        Ok(bytes) => Response::with_body(StatusCode::OK, BoxBody::new(bytes)),
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
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

fn empty(status: StatusCode) -> Response<BoxBody> {
    Response::with_body(status, BoxBody::new(()))
}

/// Why a reader is of no use.
pub struct AskFailure {
    /// Whether it answered that it has no fresh view.
    pub is_behind: bool,
    /// What was found.
    pub why: String,
}

impl AskFailure {
    fn lost(why: impl fmt::Display) -> Self {
        Self {
            is_behind: false,
            why: why.to_string(),
        }
    }
}

/// Asks a reader for what is missing here.
///
/// # Errors
/// An [`AskFailure`].
pub async fn ask(
    cx: &Sidecar,
    addr: SocketAddr,
    from: [u64; 3],
) -> Result<FollowAnswer, AskFailure> {
    let offsets = from.map(|offset| offset.to_string()).join(",");
    let offsets = HeaderValue::try_from(offsets).map_err(AskFailure::lost)?;
    let exchange = Exchange {
        addr,
        method: Method::GET,
        target: PathAndQuery::from_static(FOLLOW_PATH),
        headers: vec![(HeaderName::from_static(FROM_HEADER), offsets)],
        body: Bytes::new(),
        max_idle: MAX_IDLE,
        echo: None,
        max_answer: MAX_MESSAGE_BYTES,
    };
    let limit = followers::fresh_wait(cx) + ANSWER_MARGIN;
    let answer = match actix_rt::time::timeout(limit, cx.pool.send(exchange)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(failure)) => return Err(AskFailure::lost(failure)),
        Err(_) => return Err(AskFailure::lost("no answer in time")),
    };
    if answer.status != StatusCode::OK {
        return Err(AskFailure {
            is_behind: answer.status == StatusCode::SERVICE_UNAVAILABLE,
            why: format!("status {}", answer.status.as_u16()),
        });
    }
    codec::decode(&answer.body).map_err(AskFailure::lost)
}
