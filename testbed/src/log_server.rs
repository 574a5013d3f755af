//! Stand-in for the platform's append-only log, see `docs/design.md`, section 7.
//!
//! The log is kept in memory. The offsets of each stream start at zero and have no gaps.

use std::collections::VecDeque;
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
use bytes::Bytes;
use rmp_serde::config::BytesMode;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::http;
use crate::http::ServerThread;

/// Header with the offset that the next record of the stream will get.
pub const END_HEADER: &str = "log-end";
/// Header with the offset of the oldest retained record of the stream.
pub const OLDEST_HEADER: &str = "log-oldest";
/// Largest record, bytes; the same as the largest message that a node decodes.
pub const MAX_RECORD_BYTES: usize = sycamorewick::protocol::codec::MAX_MESSAGE_BYTES;
/// Largest number of records in a response unless the request sets another one.
const DEFAULT_READ_RECORDS: usize = 100;
/// Longest wait of a long poll.
const MAX_POLL_WAIT: Duration = Duration::from_mins(1);
/// Longest delay of an append under a rate limit; an append that would wait longer is refused.
const MAX_APPEND_WAIT: Duration = Duration::from_secs(10);

/// How the log treats requests, except those for `/control`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Outage {
    /// The log serves requests.
    #[default]
    Off,
    /// The log responds with status 503.
    Refuse,
    /// The log sends no response until the outage changes. Requests that waited get status 503
    /// then.
    Hang,
}

/// Settings of a running log.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct LogControl {
    /// Whether and how the log is out of service.
    pub outage: Outage,
    /// Delay of each request before it takes effect, milliseconds.
    pub delay_ms: u64,
    /// Number of following appends that take effect but get no response.
    pub lose_answers: u32,
    /// Records that each stream retains; zero for no limit.
    pub retention: usize,
    /// Appends per second over all streams; zero for no limit. Appends above the limit are delayed.
    pub append_rate: u32,
}

/// Change of some of the settings in [`LogControl`], the body of `POST /control`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LogControlChange {
    /// See [`LogControl::outage`].
    pub outage: Option<Outage>,
    /// See [`LogControl::delay_ms`].
    pub delay_ms: Option<u64>,
    /// See [`LogControl::lose_answers`].
    pub lose_answers: Option<u32>,
    /// See [`LogControl::retention`].
    pub retention: Option<usize>,
    /// See [`LogControl::append_rate`].
    pub append_rate: Option<u32>,
}

/// Number and size of the requests of one kind.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestCount {
    /// Requests that got a response.
    pub requests: u64,
    /// Bytes received, including request lines and headers.
    pub bytes_in: u64,
    /// Bytes sent, including status lines and headers.
    pub bytes_out: u64,
}

/// Requests since the start, by kind.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogCounters {
    /// Appends that took effect.
    pub append: RequestCount,
    /// Reads, including long polls.
    pub read: RequestCount,
    /// Reads with `max=0`, which return only the bounds of the stream.
    pub bounds: RequestCount,
    /// Requests refused with a status of 400 or above.
    pub refused: RequestCount,
    /// Appends that took effect but got no response, see [`LogControl::lose_answers`].
    pub lost_answers: u64,
}

/// Response body of `GET /control`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogReport {
    /// Current settings.
    pub control: LogControl,
    /// Requests since the start.
    pub counters: LogCounters,
    /// Name, oldest retained offset and end offset of each stream.
    pub streams: Vec<(String, u64, u64)>,
}

#[derive(Debug, Default)]
struct Stream {
    oldest: u64,
    records: VecDeque<Bytes>,
}

impl Stream {
    fn end(&self) -> u64 {
        self.oldest + u64::try_from(self.records.len()).unwrap_or(u64::MAX)
    }

    fn trim(&mut self, retention: usize) {
        while retention > 0 && self.records.len() > retention {
            self.records.pop_front();
            self.oldest += 1;
        }
    }
}

#[derive(Debug, Default)]
struct State {
    control: LogControl,
    counters: LogCounters,
    streams: Vec<(String, Stream)>,
    next_append: Option<Instant>,
}

impl State {
    fn stream(&mut self, name: &str) -> &mut Stream {
        let at = match self.streams.binary_search_by(|(n, _)| n.as_str().cmp(name)) {
            Ok(at) => at,
            Err(at) => {
                self.streams.insert(at, (name.into(), Stream::default()));
                at
            }
        };
        &mut self.streams[at].1
    }

    fn append(&mut self, name: &str, record: Bytes) -> u64 {
        let retention = self.control.retention;
        let stream = self.stream(name);
        let offset = stream.end();
        stream.records.push_back(record);
        stream.trim(retention);
        offset
    }

    fn change(&mut self, change: &LogControlChange) {
        let control = &mut self.control;
        control.outage = change.outage.unwrap_or(control.outage);
        control.delay_ms = change.delay_ms.unwrap_or(control.delay_ms);
        control.lose_answers = change.lose_answers.unwrap_or(control.lose_answers);
        control.retention = change.retention.unwrap_or(control.retention);
        control.append_rate = change.append_rate.unwrap_or(control.append_rate);
        let retention = control.retention;
        for (_, stream) in &mut self.streams {
            stream.trim(retention);
        }
    }

    /// Reserves the next time at which the rate limit allows an append. Returns the delay until
    /// then, or `None` if it exceeds [`MAX_APPEND_WAIT`].
    fn reserve_append(&mut self) -> Option<Duration> {
        let rate = self.control.append_rate;
        if rate == 0 {
            return Some(Duration::ZERO);
        }
        let now = Instant::now();
        let allowed = self.next_append.map_or(now, |at| at.max(now));
        let wait = allowed - now;
        if wait > MAX_APPEND_WAIT {
            return None;
        }
        self.next_append = Some(allowed + Duration::from_secs(1) / rate);
        Some(wait)
    }

    fn report(&self) -> LogReport {
        LogReport {
            control: self.control.clone(),
            counters: self.counters,
            streams: self
                .streams
                .iter()
                .map(|(name, s)| (name.clone(), s.oldest, s.end()))
                .collect(),
        }
    }
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    /// Signals an append or a change of the settings.
    changed: Notify,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The log.
#[derive(Debug)]
pub struct LogServer;

impl LogServer {
    /// Starts a log on its own thread. With port 0 the system chooses the port.
    ///
    /// # Errors
    /// Returns the error of the bind or of the start of the thread.
    pub fn start(addr: SocketAddr) -> io::Result<LogHandle> {
        let shared = Arc::new(Shared::default());
        let server = {
            let shared = Arc::clone(&shared);
            ServerThread::start("log", addr, move |listener| async move {
                http::serve(
                    listener,
                    |_| {},
                    move |req| {
                        let shared = Arc::clone(&shared);
                        async move { handle_request(&shared, req).await }
                    },
                )
                .await;
            })?
        };
        Ok(LogHandle { shared, server })
    }
}

/// A running log; dropping the handle stops the log and discards its records.
#[derive(Debug)]
pub struct LogHandle {
    shared: Arc<Shared>,
    server: ServerThread,
}

impl LogHandle {
    /// Address that the log listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Changes settings of the running log.
    pub fn change(&self, change: &LogControlChange) {
        self.shared.lock().change(change);
        self.shared.changed.notify_waiters();
    }

    /// Starts or ends an outage.
    pub fn set_outage(&self, outage: Outage) {
        self.change(&LogControlChange {
            outage: Some(outage),
            ..LogControlChange::default()
        });
    }

    /// Sets the delay of each request.
    pub fn set_delay(&self, delay: Duration) {
        self.change(&LogControlChange {
            delay_ms: Some(sycamorewick::protocol::time::millis(delay)),
            ..LogControlChange::default()
        });
    }

    /// Lets the next `count` appends take effect without a response.
    pub fn lose_responses(&self, count: u32) {
        self.change(&LogControlChange {
            lose_answers: Some(count),
            ..LogControlChange::default()
        });
    }

    /// Sets the number of records that each stream retains; zero for no limit.
    pub fn set_retention(&self, records: usize) {
        self.change(&LogControlChange {
            retention: Some(records),
            ..LogControlChange::default()
        });
    }

    /// Sets the largest number of appends per second; zero for no limit.
    pub fn set_append_rate(&self, per_second: u32) {
        self.change(&LogControlChange {
            append_rate: Some(per_second),
            ..LogControlChange::default()
        });
    }

    /// Returns the settings, the counters and the bounds of the streams.
    #[must_use]
    pub fn report(&self) -> LogReport {
        self.shared.lock().report()
    }

    /// Appends a record directly, even during an outage, and returns its offset.
    pub fn append(&self, stream: &str, record: impl Into<Bytes>) -> u64 {
        let offset = self.shared.lock().append(stream, record.into());
        self.shared.changed.notify_waiters();
        offset
    }

    /// Returns the retained records of a stream with their offsets.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<(u64, Bytes)> {
        let mut state = self.shared.lock();
        let stream = state.stream(stream);
        (stream.oldest..)
            .zip(stream.records.iter().cloned())
            .collect()
    }

    /// Stops the log; open connections are closed without a response.
    pub fn stop(&mut self) {
        self.server.kill();
    }
}

#[derive(Clone, Copy)]
enum Kind {
    Append,
    Read,
    Bounds,
}

async fn handle_request(shared: &Shared, mut req: Request) -> Response<BoxBody> {
    let body = match http::read_body(&mut req, MAX_RECORD_BYTES).await {
        Ok(body) => body,
        Err(e) => return http::text(StatusCode::BAD_REQUEST, e.to_string()),
    };
    if req.path() == "/control" {
        return control(shared, &req, &body);
    }
    let bytes_in = http::request_bytes(&req, body.len());
    let (kind, res) = stream_request(shared, &req, body).await;
    let mut state = shared.lock();
    let counters = &mut state.counters;
    let count = if res.status().as_u16() >= 400 {
        &mut counters.refused
    } else {
        match kind {
            Kind::Append => &mut counters.append,
            Kind::Read => &mut counters.read,
            Kind::Bounds => &mut counters.bounds,
        }
    };
    count.requests += 1;
    count.bytes_in += bytes_in;
    count.bytes_out += http::response_bytes(&res);
    res
}

fn control(shared: &Shared, req: &Request, body: &Bytes) -> Response<BoxBody> {
    if *req.method() == Method::POST {
        match serde_json::from_slice::<LogControlChange>(body) {
            Ok(change) => {
                shared.lock().change(&change);
                shared.changed.notify_waiters();
            }
            Err(e) => return http::text(StatusCode::BAD_REQUEST, e.to_string()),
        }
    }
    http::json(StatusCode::OK, &shared.lock().report())
}

async fn stream_request(shared: &Shared, req: &Request, body: Bytes) -> (Kind, Response<BoxBody>) {
    let query = req.uri().query();
    let number = |name: &str| http::query_param(query, name).and_then(|v| v.parse::<u64>().ok());
    let max = number("max").map_or(DEFAULT_READ_RECORDS, |n| {
        usize::try_from(n).unwrap_or(usize::MAX)
    });
    let kind = if *req.method() == Method::POST {
        Kind::Append
    } else if max == 0 {
        Kind::Bounds
    } else {
        Kind::Read
    };
    let Some(name) = req
        .path()
        .strip_prefix("/streams/")
        .filter(|name| !name.is_empty() && !name.contains('/'))
    else {
        let res = http::text(StatusCode::NOT_FOUND, "no such path");
        return (kind, res);
    };
    let delay = Duration::from_millis(shared.lock().control.delay_ms);
    if !delay.is_zero() {
        actix_rt::time::sleep(delay).await;
    }
    if let Some(res) = outage(shared).await {
        return (kind, res);
    }
    let res = match kind {
        Kind::Append => append(shared, name, body).await,
        Kind::Bounds => bounds(shared, name),
        Kind::Read => {
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0)).min(MAX_POLL_WAIT);
            read(shared, name, number("from").unwrap_or(0), max, wait).await
        }
    };
    (kind, res)
}

/// Returns the error response if an outage refuses the request. Waits for the end of an outage that
/// makes requests hang.
async fn outage(shared: &Shared) -> Option<Response<BoxBody>> {
    let is_refused = refused_by_outage(&shared.changed, || shared.lock().control.outage).await;
    is_refused.then(|| http::text(StatusCode::SERVICE_UNAVAILABLE, "the log is out of service"))
}

/// Waits while an outage makes requests hang, and returns whether the request is refused. `changed`
/// signals that the value of `outage` may have changed.
pub async fn refused_by_outage(changed: &Notify, outage: impl Fn() -> Outage) -> bool {
    let mut waited = false;
    loop {
        let changed = changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        match outage() {
            Outage::Off => return waited,
            Outage::Refuse => return true,
            Outage::Hang => waited = true,
        }
        changed.await;
    }
}

async fn append(shared: &Shared, name: &str, body: Bytes) -> Response<BoxBody> {
    let reserved = shared.lock().reserve_append();
    let Some(wait) = reserved else {
        return http::text(
            StatusCode::SERVICE_UNAVAILABLE,
            "the append rate limit is exceeded",
        );
    };
    if !wait.is_zero() {
        actix_rt::time::sleep(wait).await;
    }
    let (offset, lost) = {
        let mut state = shared.lock();
        let offset = state.append(name, body);
        let lost = state.control.lose_answers > 0;
        if lost {
            state.control.lose_answers -= 1;
            state.counters.lost_answers += 1;
        }
        (offset, lost)
    };
    shared.changed.notify_waiters();
    if lost {
        // The call ends with the caller's timeout, as if the network had lost the response.
        std::future::pending::<()>().await;
    }
    http::text(StatusCode::OK, offset.to_string())
}

fn bounds(shared: &Shared, name: &str) -> Response<BoxBody> {
    let mut state = shared.lock();
    records_response(state.stream(name), &[])
}

async fn read(
    shared: &Shared,
    name: &str,
    from: u64,
    max: usize,
    wait: Duration,
) -> Response<BoxBody> {
    let until = Instant::now() + wait;
    loop {
        let changed = shared.changed.notified();
        tokio::pin!(changed);
        changed.as_mut().enable();
        if let Some(res) = outage(shared).await {
            return res;
        }
        {
            let mut state = shared.lock();
            let stream = state.stream(name);
            if from < stream.oldest {
                let text = format!(
                    "offset {from} is before the oldest retained offset {}",
                    stream.oldest
                );
                let mut res = http::text(StatusCode::GONE, text);
                add_bounds(&mut res, stream);
                return res;
            }
            if from < stream.end() || Instant::now() >= until {
                let skip = usize::try_from(from - stream.oldest).unwrap_or(usize::MAX);
                let records: Vec<(u64, Vec<u8>)> = (from..)
                    .zip(stream.records.iter().skip(skip).take(max))
                    .map(|(offset, record)| (offset, record.to_vec()))
                    .collect();
                return records_response(stream, &records);
            }
        }
        // The timeout only ends the wait; the state of the stream determines the response.
        let _ =
            actix_rt::time::timeout(until.saturating_duration_since(Instant::now()), changed).await;
    }
}

fn records_response(stream: &Stream, records: &[(u64, Vec<u8>)]) -> Response<BoxBody> {
    let mut body = Vec::new();
    // Encodes records as byte strings: in an array of numbers, each byte from 128 on takes two
    // bytes.
    let mut serializer =
        rmp_serde::Serializer::new(&mut body).with_bytes(BytesMode::ForceIterables);
    match records.serialize(&mut serializer) {
        Ok(()) => {
            let mut res = Response::build(StatusCode::OK)
                .insert_header(("content-type", "application/msgpack"))
                .body(Bytes::from(body))
                .map_into_boxed_body();
            add_bounds(&mut res, stream);
            res
        }
        Err(e) => http::text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

fn add_bounds(res: &mut Response<BoxBody>, stream: &Stream) {
    use actix_http::header::HeaderName;
    use actix_http::header::HeaderValue;
    let headers = res.headers_mut();
    headers.insert(
        HeaderName::from_static(OLDEST_HEADER),
        HeaderValue::from(stream.oldest),
    );
    headers.insert(
        HeaderName::from_static(END_HEADER),
        HeaderValue::from(stream.end()),
    );
}
