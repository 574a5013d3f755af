//! Stand-in for the platform's store: an in-memory log whose topics have one partition each.
//!
//! It implements what the sidecar uses: appends, conditional appends, long-polling reads, and reads
//! of the newest record of each key. Consumer groups and producer sequence numbers are left out.

use std::collections::VecDeque;
use std::future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::sync::Notify;

use crate::http;
use crate::http::ServerThread;
use crate::log_server::Outage;
use crate::log_server::refused_by_outage;

/// Topic that only operators write.
pub const OPERATOR_TOPIC: &str = "keyed.op";
/// Topic with the results of rollouts.
pub const RESULT_TOPIC: &str = "keyed.status";
/// Header with a number that rises by one each time the store goes back to a copy.
const ERA_HEADER: &str = "store-era";
/// Largest request body, bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Longest wait of a long-polling read.
const MAX_READ_WAIT: Duration = Duration::from_secs(30);
/// Largest number of records in a page of newest records.
const PAGE_RECORDS: usize = 500;

/// Change of the settings of a running store, the body of `POST /control`. Settings whose fields
/// are absent stay unchanged.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoreControlChange {
    /// Whether and how the store is out of service.
    pub outage: Option<Outage>,
    /// Topics that an outage affects; all topics if empty.
    pub outage_topics: Option<Vec<String>>,
    /// Delay added to each call, milliseconds.
    pub delay_ms: Option<u64>,
    /// Number of following appends that take effect but get no response.
    pub lose_answers: Option<u32>,
    /// Number of following appends that get no response and take effect only after
    /// [`StoreControlChange::late_ms`], if their condition still holds then.
    pub late_appends: Option<u32>,
    /// Delay of late appends, milliseconds.
    pub late_ms: Option<u64>,
    /// Records that each topic retains, besides the newest of each key; zero for all.
    pub retention: Option<usize>,
    /// Number of following appends that do not wake waiting reads.
    pub missed_wakeups: Option<u32>,
    /// Keeps a copy of all records.
    #[serde(default)]
    pub take_copy: bool,
    /// Goes back to the copy that was taken last: what was appended since is lost, and its offsets are
    /// given out again.
    #[serde(default)]
    pub restore_copy: bool,
    /// Calls per second; calls above the limit get status 429. Zero for no limit.
    pub calls_per_s: Option<u32>,
}

/// Number of calls since the start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreCalls {
    /// Appends.
    pub appends: u64,
    /// Reads of records from an offset.
    pub reads: u64,
    /// Reads of the newest record of each key.
    pub newest: u64,
    /// Calls that got a status of 400 or above.
    pub refused: u64,
}

impl StoreCalls {
    /// Number of all calls.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.appends + self.reads + self.newest
    }
}

#[derive(Clone, Debug)]
struct Record {
    key: String,
    value: Bytes,
    /// Encoded key and value as they were appended, without the length prefix.
    raw: Bytes,
}

#[derive(Clone, Debug, Default)]
struct Topic {
    name: String,
    first: u64,
    records: VecDeque<Record>,
    /// Newest record of each key with its offset, sorted by key.
    newest: Vec<(String, u64, Bytes)>,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + u64::try_from(self.records.len()).unwrap_or(u64::MAX)
    }

    fn append(&mut self, mut body: Bytes, retention: usize) -> Result<u64, &'static str> {
        let begin = self.end();
        while body.has_remaining() {
            if body.remaining() < 4 {
                return Err("the length prefix of a record is incomplete");
            }
            let length = body.get_u32() as usize;
            if body.remaining() < length {
                return Err("a record is incomplete");
            }
            let raw = body.split_to(length);
            let mut rest = raw.clone();
            let key_length = if rest.has_remaining() {
                usize::from(rest.get_u8())
            } else {
                0
            };
            if rest.remaining() < key_length {
                return Err("the key of a record is incomplete");
            }
            let key = String::from_utf8_lossy(&rest.split_to(key_length)).into_owned();
            let offset = self.end();
            let found = self.newest.binary_search_by(|(other, ..)| other.cmp(&key));
            match (found, rest.is_empty()) {
                (Ok(index), true) => drop(self.newest.remove(index)),
                (Ok(index), false) => self.newest[index] = (key.clone(), offset, rest.clone()),
                (Err(index), false) => {
                    self.newest
                        .insert(index, (key.clone(), offset, rest.clone()));
                }
                (Err(_), true) => {}
            }
            self.records.push_back(Record {
                key,
                value: rest,
                raw,
            });
        }
        while retention > 0 && self.records.len() > retention {
            self.records.pop_front();
            self.first += 1;
        }
        Ok(begin)
    }
}

#[derive(Debug, Default)]
struct State {
    control: StoreControlChange,
    calls: StoreCalls,
    /// Sorted by name.
    topics: Vec<Topic>,
    copy: Vec<Topic>,
    /// Number of times that the store went back to its copy.
    restores: u64,
    window_began: Option<Instant>,
    window_calls: u32,
}

impl State {
    fn topic(&mut self, name: &str) -> Option<&mut Topic> {
        let index = self
            .topics
            .binary_search_by(|topic| topic.name.as_str().cmp(name));
        Some(&mut self.topics[index.ok()?])
    }

    fn topic_or_new(&mut self, name: &str) -> &mut Topic {
        let found = self
            .topics
            .binary_search_by(|topic| topic.name.as_str().cmp(name));
        let index = found.unwrap_or_else(|index| {
            let topic = Topic {
                name: name.to_owned(),
                ..Topic::default()
            };
            self.topics.insert(index, topic);
            index
        });
        &mut self.topics[index]
    }

    fn outage(&self, topic: &str) -> Outage {
        let topics = self.control.outage_topics.as_deref().unwrap_or_default();
        if topics.is_empty() || topics.iter().any(|name| name == topic) {
            self.control.outage.unwrap_or_default()
        } else {
            Outage::Off
        }
    }

    /// Counts a call and returns whether it is within the rate limit.
    fn count_call(&mut self) -> bool {
        let limit = self.control.calls_per_s.unwrap_or(0);
        let now = Instant::now();
        if self
            .window_began
            .is_none_or(|began| now - began >= Duration::from_secs(1))
        {
            self.window_began = Some(now);
            self.window_calls = 0;
        }
        self.window_calls += 1;
        limit == 0 || self.window_calls <= limit
    }
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    /// Signals an append.
    appended: Notify,
    /// Signals a change of the settings.
    control_changed: Notify,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn change(&self, change: StoreControlChange) {
        let mut state = self.lock();
        let control = &mut state.control;
        control.outage = change.outage.or(control.outage);
        control.outage_topics = change.outage_topics.or(control.outage_topics.take());
        control.delay_ms = change.delay_ms.or(control.delay_ms);
        control.lose_answers = change.lose_answers.or(control.lose_answers);
        control.late_appends = change.late_appends.or(control.late_appends);
        control.late_ms = change.late_ms.or(control.late_ms);
        control.retention = change.retention.or(control.retention);
        control.missed_wakeups = change.missed_wakeups.or(control.missed_wakeups);
        control.calls_per_s = change.calls_per_s.or(control.calls_per_s);
        let State {
            topics,
            copy,
            restores,
            ..
        } = &mut *state;
        if change.take_copy {
            copy.clone_from(topics);
        }
        if change.restore_copy {
            topics.clone_from(copy);
            *restores += 1;
        }
        drop(state);
        if change.restore_copy {
            self.appended.notify_waiters();
        }
        self.control_changed.notify_waiters();
    }

    fn append(&self, topic: &str, body: Bytes, at: Option<u64>) -> Result<(u64, u64), AppendError> {
        let mut state = self.lock();
        let retention = state.control.retention.unwrap_or(0);
        let topic = state.topic_or_new(topic);
        if at.is_some_and(|at| at != topic.end()) {
            return Err(AppendError::EndMismatch(topic.end()));
        }
        let offset = topic
            .append(body, retention)
            .map_err(AppendError::Malformed)?;
        let end = topic.end();
        let missed = state.control.missed_wakeups.unwrap_or(0);
        state.control.missed_wakeups = Some(missed.saturating_sub(1));
        drop(state);
        if missed == 0 {
            self.appended.notify_waiters();
        }
        Ok((offset, end))
    }
}

enum AppendError {
    /// The condition does not hold: the end of the topic is at this offset.
    EndMismatch(u64),
    /// The records cannot be decoded.
    Malformed(&'static str),
}

/// Encodes a record of a keyed topic.
#[must_use]
pub fn encode_record(key: &str, value: &[u8]) -> Bytes {
    let mut body = Vec::with_capacity(5 + key.len() + value.len());
    body.put_u32(u32::try_from(1 + key.len() + value.len()).unwrap_or(u32::MAX));
    body.put_u8(u8::try_from(key.len()).unwrap_or(u8::MAX));
    body.put_slice(key.as_bytes());
    body.put_slice(value);
    body.into()
}

/// The store.
#[derive(Debug)]
pub struct StoreServer;

impl StoreServer {
    /// Starts a store on its own thread.
    ///
    /// # Errors
    /// Returns the error of the bind or of the start of the thread.
    pub fn start(addr: SocketAddr) -> io::Result<StoreHandle> {
        let shared = Arc::new(Shared::default());
        let server = {
            let shared = shared.clone();
            ServerThread::start("store", addr, move |listener| {
                let handler = move |req| {
                    let shared = shared.clone();
                    async move { handle_request(&shared, req).await }
                };
                http::serve(listener, |_| {}, handler)
            })?
        };
        Ok(StoreHandle { shared, server })
    }
}

/// A running store; dropping the handle stops it.
#[derive(Debug)]
pub struct StoreHandle {
    shared: Arc<Shared>,
    server: ServerThread,
}

impl StoreHandle {
    /// Address that the store listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Changes settings of the running store.
    pub fn change(&self, change: StoreControlChange) {
        self.shared.change(change);
    }

    /// Appends a record as an operator does, even during an outage, and returns its offset.
    ///
    /// # Panics
    /// If the record is too large for its encoding.
    #[must_use]
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) -> u64 {
        let appended = self.shared.append(topic, encode_record(key, value), None);
        appended.map_or_else(
            |_| panic!("the record cannot be encoded"),
            |(offset, _)| offset,
        )
    }

    /// Drops a key without a record, as a store does that has removed the records of the key and what marked its
    /// end.
    pub fn drop_key(&self, topic: &str, key: &str) {
        let mut state = self.shared.lock();
        let topic = state.topic_or_new(topic);
        topic.newest.retain(|(other, ..)| other != key);
        for record in topic.records.iter_mut().filter(|record| record.key == key) {
            record.raw = Bytes::new();
            record.value = Bytes::new();
        }
    }

    /// Newest value of a key.
    #[must_use]
    pub fn newest(&self, topic: &str, key: &str) -> Option<Bytes> {
        let mut state = self.shared.lock();
        let topic = state.topic(topic)?;
        let found = topic.newest.iter().find(|(other, ..)| other == key);
        found.map(|(.., value)| value.clone())
    }

    /// Retained values of a key, oldest first.
    #[must_use]
    pub fn history(&self, topic: &str, key: &str) -> Vec<Bytes> {
        let mut state = self.shared.lock();
        let records = state.topic(topic).map(|topic| &topic.records);
        let records = records.into_iter().flatten();
        let of_key = records.filter(|record| record.key == key);
        of_key.map(|record| record.value.clone()).collect()
    }

    /// Keeps a copy of all records.
    pub fn take_copy(&self) {
        self.change(StoreControlChange {
            take_copy: true,
            ..StoreControlChange::default()
        });
    }

    /// Goes back to the copy that was taken last.
    pub fn restore_copy(&self) {
        self.change(StoreControlChange {
            restore_copy: true,
            ..StoreControlChange::default()
        });
    }

    /// Number of calls since the start.
    #[must_use]
    pub fn calls(&self) -> StoreCalls {
        self.shared.lock().calls
    }
}

async fn handle_request(shared: &Arc<Shared>, mut req: Request) -> Response<BoxBody> {
    let Ok(body) = http::read_body(&mut req, MAX_BODY_BYTES).await else {
        return http::text(
            StatusCode::BAD_REQUEST,
            "the request body is incomplete or too large",
        );
    };
    let query = req.uri().query().map(ToOwned::to_owned);
    let parameter = |name| http::query_param(query.as_deref(), name);
    let number = |name| parameter(name).and_then(|text| text.parse::<u64>().ok());
    let topic = parameter("topic").unwrap_or_default();
    if let Some(response) = control(shared, &req, topic, parameter("key"), &body) {
        return response;
    }
    let is_within_rate = {
        let mut state = shared.lock();
        match req.path() {
            "/sycamorewick/log-append" => state.calls.appends += 1,
            "/sycamorewick/log-read" => state.calls.reads += 1,
            _ => state.calls.newest += 1,
        }
        state.count_call()
    };
    let mut response = if is_within_rate {
        let delay = shared.lock().control.delay_ms.unwrap_or(0);
        if delay > 0 {
            actix_rt::time::sleep(Duration::from_millis(delay)).await;
        }
        match req.path() {
            _ if outage(shared, topic).await => http::text(
                StatusCode::SERVICE_UNAVAILABLE,
                "the store is out of service",
            ),
            "/sycamorewick/log-append" => append(shared, topic, body, number("at")).await,
            "/sycamorewick/log-read" => {
                let wait = Duration::from_millis(number("wait-ms").unwrap_or(0)).min(MAX_READ_WAIT);
                read(shared, topic, number("from").unwrap_or(0), wait).await
            }
            "/sycamorewick/log-newest" => newest(shared, topic, parameter("after")),
            _ => http::text(StatusCode::NOT_FOUND, "no such path"),
        }
    } else {
        http::text(StatusCode::TOO_MANY_REQUESTS, "the rate limit is exceeded")
    };
    let mut state = shared.lock();
    if response.status().as_u16() >= 400 {
        state.calls.refused += 1;
    }
    let era = HeaderValue::from(1 + state.restores);
    let name = HeaderName::from_static(ERA_HEADER);
    response.headers_mut().insert(name, era);
    response
}

/// Handles the calls by which a test controls a store that runs as a separate process.
fn control(
    shared: &Shared,
    req: &Request,
    topic: &str,
    key: Option<&str>,
    body: &Bytes,
) -> Option<Response<BoxBody>> {
    let response = match (req.method(), req.path()) {
        (&Method::GET, "/control") => http::json(StatusCode::OK, &shared.lock().calls),
        (&Method::POST, "/control") => match serde_json::from_slice(body) {
            Ok(change) => {
                shared.change(change);
                http::text(StatusCode::OK, "changed")
            }
            Err(e) => http::text(StatusCode::BAD_REQUEST, e.to_string()),
        },
        (&Method::POST, "/control/put") => {
            let record = encode_record(key.unwrap_or_default(), body);
            match shared.append(topic, record, None) {
                Ok((offset, _)) => http::text(StatusCode::OK, offset.to_string()),
                Err(_) => http::text(StatusCode::BAD_REQUEST, "the record is malformed"),
            }
        }
        (&Method::GET, "/control/newest") => {
            let mut state = shared.lock();
            let newest = state.topic(topic).and_then(|topic| {
                let found = topic
                    .newest
                    .iter()
                    .find(|(other, ..)| Some(other.as_str()) == key);
                found.map(|(.., value)| value.clone())
            });
            match newest {
                Some(value) => Response::with_body(StatusCode::OK, BoxBody::new(value)),
                None => http::text(StatusCode::NOT_FOUND, "no such key"),
            }
        }
        _ => return None,
    };
    Some(response)
}

/// Waits while an outage makes calls hang, and returns whether the call is refused.
async fn outage(shared: &Shared, topic: &str) -> bool {
    refused_by_outage(&shared.control_changed, || shared.lock().outage(topic)).await
}

async fn append(
    shared: &Arc<Shared>,
    topic: &str,
    body: Bytes,
    at: Option<u64>,
) -> Response<BoxBody> {
    if topic == OPERATOR_TOPIC {
        return http::text(
            StatusCode::FORBIDDEN,
            "only operators may write to this topic",
        );
    }
    let late = {
        let control = &mut shared.lock().control;
        let late = control.late_appends.unwrap_or(0);
        control.late_appends = Some(late.saturating_sub(1));
        (late > 0).then(|| Duration::from_millis(control.late_ms.unwrap_or(0)))
    };
    if let Some(delay) = late {
        let (shared, topic) = (shared.clone(), topic.to_owned());
        actix_rt::spawn(async move {
            actix_rt::time::sleep(delay).await;
            // A late append whose condition no longer holds has no effect.
            let _ = shared.append(&topic, body, at);
        });
        return future::pending().await;
    }
    let appended = shared.append(topic, body, at);
    let lost = {
        let control = &mut shared.lock().control;
        let lost = control.lose_answers.unwrap_or(0);
        control.lose_answers = Some(lost.saturating_sub(1));
        lost > 0
    };
    if lost {
        // The call ends with the caller's timeout, as if the network had lost the response.
        future::pending::<()>().await;
    }
    match appended {
        Ok((offset, end)) => http::json(
            StatusCode::OK,
            &json!({ "offset": offset, "end-offset": end }),
        ),
        Err(AppendError::EndMismatch(end)) => http::json(
            StatusCode::PRECONDITION_FAILED,
            &json!({ "end-offset": end }),
        ),
        Err(AppendError::Malformed(why)) => http::text(StatusCode::BAD_REQUEST, why),
    }
}

async fn read(shared: &Shared, topic: &str, from: u64, wait: Duration) -> Response<BoxBody> {
    let until = Instant::now() + wait;
    loop {
        let appended = shared.appended.notified();
        if outage(shared, topic).await {
            return http::text(
                StatusCode::SERVICE_UNAVAILABLE,
                "the store is out of service",
            );
        }
        {
            let mut state = shared.lock();
            let topic = state.topic_or_new(topic);
            if from < topic.first || from > topic.end() {
                let first = json!({ "first-offset": topic.first });
                return http::json(StatusCode::GONE, &first);
            }
            if from < topic.end() || Instant::now() >= until {
                return records(topic, from);
            }
        }
        // The timeout only ends the wait; the state of the topic determines the response.
        let left = until.saturating_duration_since(Instant::now());
        let _ = actix_rt::time::timeout(left, appended).await;
    }
}

fn records(topic: &Topic, from: u64) -> Response<BoxBody> {
    let mut body = Vec::new();
    body.put_u64(topic.end());
    body.put_u64(topic.first);
    let skip = usize::try_from(from.saturating_sub(topic.first)).unwrap_or(usize::MAX);
    for record in topic.records.iter().skip(skip) {
        body.put_u32(u32::try_from(record.raw.len()).unwrap_or(u32::MAX));
        body.put_slice(&record.raw);
    }
    Response::with_body(StatusCode::OK, BoxBody::new(Bytes::from(body)))
}

fn newest(shared: &Shared, topic: &str, after: Option<&str>) -> Response<BoxBody> {
    let mut state = shared.lock();
    let Some(topic) = state.topic(topic) else {
        return http::text(StatusCode::NOT_FOUND, "no such topic");
    };
    let rest = topic
        .newest
        .iter()
        .filter(|(key, ..)| after.is_none_or(|after| key.as_str() > after));
    let rest: Vec<_> = rest.collect();
    let item = |(key, offset, value): &&(String, u64, Bytes)| json!({ "key": key, "value": STANDARD.encode(value), "offset": offset });
    let items: Vec<_> = rest.iter().take(PAGE_RECORDS).map(item).collect();
    let page = json!({
        "items": items,
        "has-more": rest.len() > PAGE_RECORDS,
        "end-offset": topic.end(),
    });
    http::json(StatusCode::OK, &page)
}
