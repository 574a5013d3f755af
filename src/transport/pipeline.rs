//! HTTP/1.1 connections whose pipelined requests run at the same time. See `docs/platform.md`,
//! "Pipelined requests".
//!
//! A client may send further requests before the first one is answered (RFC 9112, section 9.3.2). The
//! dispatcher of `actix-http` starts each of them after the response to the one before, so that a client
//! waits for the sum of their times. This one uses the codec of `actix-http`, starts idempotent requests
//! as they arrive, and writes the responses in the order of the requests.

use std::collections::VecDeque;
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::ConnectionType;
use actix_http::KeepAlive;
use actix_http::Method;
use actix_http::Payload;
use actix_http::Request;
use actix_http::Response;
use actix_http::ServiceConfig;
use actix_http::ServiceConfigBuilder;
use actix_http::StatusCode;
use actix_http::Version;
use actix_http::body;
use actix_http::body::BodySize;
use actix_http::body::BoxBody;
use actix_http::body::MessageBody;
use actix_http::error::ParseError;
use actix_http::error::PayloadError;
use actix_http::h1::Codec;
use actix_http::h1::Message;
use actix_http::h1::MessageType;
use actix_http::header::HeaderValue;
use actix_http::header::RETRY_AFTER;
use actix_rt::net::TcpStream;
use actix_rt::task::JoinHandle;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::FutureExt;
use futures_util::Stream;
use futures_util::stream;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::Interest;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use crate::protocol::mesh::CallerLimits;
use crate::result_code::ResultCode;
use crate::transport::client_memory::ClientMemory;
use crate::transport::client_memory::ConnectionMemory;
use crate::transport::client_memory::HeldMemory;
use crate::transport::http_server;
use crate::transport::http_server::BODY_TIMEOUT;
use crate::transport::http_server::Gate;
use crate::transport::http_server::Handler;
use crate::transport::http_server::OwnedRequest;
use crate::transport::request_head;
use crate::transport::request_head::HeadSize;
use crate::transport::unsent::Unsent;
use crate::transport::unsent::UnsentCount;

/// Requests of one connection that run at the same time.
const MAX_OPEN_REQUESTS: usize = 16;
/// Initial size of the read buffer, bytes; most requests fit.
const READ_BUFFER_BYTES: usize = 4 << 10;
/// Chunks of a body that are read ahead of its handler.
const BODY_CHUNKS: usize = 8;
/// Memory that is counted for a request until its response is there, bytes: its state, and a usual response.
const REQUEST_BYTES: usize = 32 << 10;
/// Header fields of a usual request, whose memory is part of [`REQUEST_BYTES`].
const USUAL_FIELDS: usize = 32;
/// Memory of a further header field besides its bytes, in the request and in its copies that are forwarded, bytes.
/// A map of `actix-http` takes some 200 for each place, and up to twice as many places as fields.
const FIELD_BYTES: usize = 1_600;
/// Memory of a connection, bytes.
const CONNECTION_BYTES: usize = READ_BUFFER_BYTES + (2 << 10);
/// Turns that a request waits for the memory of a connection that has to end.
const ROOM_TURNS: usize = 4;
/// Largest memory for the head of a call of another node that is accepted in any case, bytes.
const MAX_UNREFUSED_BYTES: usize = 64 << 10;
/// Smallest body of a response that is written without a copy, bytes.
const MIN_UNCOPIED_BYTES: usize = 16 << 10;
/// Time for which a closed connection is still read, so that unread bytes do not reset it before the
/// client has received the last response (RFC 9112, section 9.6).
const LINGER_TIME: Duration = Duration::from_secs(1);
/// `retry-after` time of a request for which there is no memory, seconds. Connections that held it have ended by then.
const REFUSED_FOR: HeaderValue = HeaderValue::from_static("1");
/// Response that asks for an announced body (RFC 9110, section 15.2.1).
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Whether a request may start before the requests before it are answered. If one of their responses
/// closes the connection, the client sends the request again, so it has to be idempotent.
pub type MayOverlap = Rc<dyn Fn(&Request) -> bool>;

/// Time within which the client has to take a response, as an extension of the response;
/// [`BODY_TIMEOUT`] without it.
#[derive(Clone, Copy, Debug)]
pub struct TakeWithin(pub Duration);

/// Returns the limits that are in force.
pub type CurrentLimits = Rc<dyn Fn() -> CallerLimits>;

/// How the connections of a server are handled.
#[derive(Clone)]
pub struct PipelineOptions {
    /// Handles a request.
    pub handler: Handler,
    /// Decides whether a request may start before the ones before it are answered.
    pub may_overlap: MayOverlap,
    /// Decides on bodies that are announced before they are sent.
    pub gate: Option<Gate>,
    /// Limits for heads and for idle connections.
    pub limits: CurrentLimits,
    /// Account of the memory that clients hold.
    pub memory: ClientMemory,
    /// Whether requests are refused if the account is full. Usual calls of other nodes are not: the entry node has
    /// admitted them, and a refusal without the headers of a hop would leave their result unknown. The connection
    /// of an unusual one ends before it runs.
    pub refuses: bool,
    /// Number of the port in the account.
    pub port: usize,
    /// Whether heads may have any number of fields. Otherwise the library's bound applies; handlers of such
    /// ports need not take an [`OwnedRequest`].
    pub any_fields: bool,
}

/// Handles the connections of a server.
#[derive(Clone)]
pub struct Pipeline {
    config: ServiceConfig,
    options: PipelineOptions,
    unsent: UnsentCount,
}

/// A request that has started, until its response is written.
struct OpenRequest {
    response: JoinHandle<(Response<BoxBody>, HeldMemory)>,
    method: Method,
    version: Version,
    closes: bool,
    /// Counts the request until its response is sent.
    unsent: Option<Unsent>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        // A client that is gone cancels its requests.
        self.response.abort();
    }
}

/// What is read next from a connection.
enum Reading {
    Head,
    /// A complete head that is not decoded before there is memory for it.
    Undecoded,
    /// A request that has to wait until the ones before it are answered.
    Blocked(Box<OwnedRequest>, HeldMemory),
    Body(mpsc::Sender<Result<Bytes, PayloadError>>),
    /// Nothing, since the connection ends with the last open request.
    End,
}

/// What a connection waits for.
enum Event {
    Response((Response<BoxBody>, HeldMemory)),
    /// Whether the body of the newest request may be sent.
    Admitted(bool),
    Closed,
    Readable,
    Idle,
}

struct Connection {
    stream: TcpStream,
    pipeline: Pipeline,
    codec: Codec,
    buf: BytesMut,
    reading: Reading,
    open: VecDeque<OpenRequest>,
    /// Signals that the body of the newest request may be sent, if that waits for [`CONTINUE`].
    expects_continue: Option<oneshot::Receiver<()>>,
    memory: Rc<ConnectionMemory>,
    /// Memory of the connection without its requests.
    held: HeldMemory,
    /// Time at which the connection ends unless it is used.
    idle_until: Instant,
    /// Counts the last response until the client has closed the connection, which it does when it has
    /// received it.
    last_unsent: Option<Unsent>,
}

/// Returns the body of a request from its chunks. Only an empty chunk ends it: a body that is cut off must
/// not look complete.
fn body_stream(
    rx: mpsc::Receiver<Result<Bytes, PayloadError>>,
) -> impl Stream<Item = Result<Bytes, PayloadError>> {
    stream::unfold(Some(rx), |rx| async move {
        let mut rx = rx?;
        match rx.recv().await {
            Some(Ok(chunk)) if chunk.is_empty() => None,
            Some(Ok(chunk)) => Some((Ok(chunk), Some(rx))),
            Some(Err(e)) => Some((Err(e), None)),
            None => Some((Err(PayloadError::Incomplete(None)), None)),
        }
    })
}

impl Pipeline {
    /// Creates the handling of the connections of a server.
    #[must_use]
    pub fn new(options: PipelineOptions, unsent: UnsentCount) -> Self {
        // The times of the connections are kept here, not by the library.
        let config = ServiceConfigBuilder::new().keep_alive(KeepAlive::Os);
        Self {
            config: config.build(),
            options,
            unsent,
        }
    }

    /// Handles a connection until it is closed.
    ///
    /// # Errors
    /// If the connection breaks, or has to end to make room. Its open requests are cancelled.
    pub async fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let addr: Option<IpAddr> = stream.peer_addr().ok().map(|addr| addr.ip());
        let memory = Rc::new(self.options.memory.connect(addr, self.options.port));
        let connection = Connection {
            stream,
            pipeline: self.clone(),
            codec: Codec::new(self.config.clone()),
            buf: BytesMut::with_capacity(READ_BUFFER_BYTES),
            reading: Reading::Head,
            open: VecDeque::new(),
            expects_continue: None,
            held: memory.hold(CONNECTION_BYTES),
            memory: memory.clone(),
            idle_until: Instant::now() + (self.options.limits)().idle_time,
            last_unsent: None,
        };
        tokio::select! {
            served = connection.serve() => served,
            () = memory.evicted() => Err(io::Error::other("no memory left for the connection")),
        }
    }
}

/// Returns the memory that the head of a request takes.
fn head_memory(size: HeadSize) -> usize {
    2 * size.bytes + FIELD_BYTES * size.fields.saturating_sub(USUAL_FIELDS)
}

/// Returns the memory that a response takes.
fn response_memory(response: &Response<BoxBody>) -> usize {
    let body = match response.body().size() {
        BodySize::Sized(bytes) => usize::try_from(bytes).unwrap_or(usize::MAX / 4),
        BodySize::None | BodySize::Stream => 0,
    };
    body + FIELD_BYTES * response.headers().len().saturating_sub(USUAL_FIELDS)
}

impl Connection {
    async fn serve(mut self) -> io::Result<()> {
        while self.step().await? {}
        self.linger().await
    }

    /// Whether the client has closed the connection, also if it has sent more than is read.
    fn is_closed(&self) -> bool {
        self.stream
            .ready(Interest::PRIORITY)
            .now_or_never()
            .is_some()
    }

    /// Makes one step. Returns false once the last response was written.
    async fn step(&mut self) -> io::Result<bool> {
        if let Some(status) = self.decode_available().await? {
            self.reading = Reading::End;
            self.respond_after_open(status);
        }
        let has_open = !self.open.is_empty();
        if matches!(self.reading, Reading::End) {
            if !has_open {
                return Ok(false);
            }
            // Only the end of the connection matters, which cancels the open requests.
            self.buf.clear();
        }
        let was_empty = self.buf.is_empty();
        let limits = (self.pipeline.options.limits)();
        // Requests that cannot start yet stay in the socket.
        let may_read = match &self.reading {
            Reading::Head => {
                self.open.len() < MAX_OPEN_REQUESTS && self.buf.len() <= limits.header_bytes
            }
            Reading::Undecoded | Reading::Blocked(..) => false,
            Reading::Body(_) | Reading::End => true,
        };
        let is_body = matches!(self.reading, Reading::Body(_));
        // Responses to requests that were sent ahead wait for the first one.
        let mut later = self.open.iter().skip(1);
        let has_unsent = later.any(|open| open.response.is_finished());
        self.memory.set_waiting(!has_open || is_body || has_unsent);
        self.held.set(CONNECTION_BYTES + self.buf.len());
        let may_continue = self.open.len() == 1;
        let expects_continue = &mut self.expects_continue;
        let admitted = async {
            match expects_continue {
                Some(rx) if may_continue => rx.await.is_ok(),
                _ => std::future::pending().await,
            }
        };
        let response = async {
            match self.open.front_mut() {
                Some(first) => (&mut first.response).await,
                None => std::future::pending().await,
            }
        };
        let closed = async {
            if may_read {
                return std::future::pending().await;
            }
            self.stream.ready(Interest::PRIORITY).await
        };
        let event = tokio::select! {
            biased;
            response = response => Event::Response(response.map_err(io::Error::other)?),
            is_admitted = admitted => Event::Admitted(is_admitted),
            closed = closed => {
                closed?;
                Event::Closed
            }
            readable = self.stream.readable(), if may_read => {
                readable?;
                Event::Readable
            }
            () = tokio::time::sleep_until(self.idle_until), if !has_open => Event::Idle,
        };
        match event {
            Event::Response((response, held)) => self.write_response(response, held).await?,
            Event::Admitted(is_admitted) => {
                self.expects_continue = None;
                if is_admitted {
                    // A client that takes nothing must not hold the connection for good.
                    let write = self.stream.write_all(CONTINUE);
                    tokio::time::timeout(BODY_TIMEOUT, write)
                        .await
                        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
                }
            }
            Event::Closed => return Err(io::ErrorKind::UnexpectedEof.into()),
            Event::Readable => {
                match self.stream.try_read_buf(&mut self.buf) {
                    Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                    Ok(_) => {}
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                    Err(e) => return Err(e),
                }
                if was_empty {
                    self.idle_until = Instant::now() + limits.header_time;
                }
            }
            Event::Idle => {
                if self.buf.is_empty() {
                    return Ok(false);
                }
                self.reading = Reading::End;
                self.respond_after_open(StatusCode::REQUEST_TIMEOUT);
            }
        }
        Ok(true)
    }

    /// Decodes what has been received. Returns the status of an error response for a malformed request.
    ///
    /// # Errors
    /// If the client has closed the connection: what it has sent ahead is not run.
    async fn decode_available(&mut self) -> io::Result<Option<StatusCode>> {
        loop {
            match std::mem::replace(&mut self.reading, Reading::Head) {
                Reading::End => {
                    self.reading = Reading::End;
                    return Ok(None);
                }
                Reading::Blocked(req, held) => {
                    if !self.open.is_empty() && !(self.pipeline.options.may_overlap)(&req) {
                        self.reading = Reading::Blocked(req, held);
                        return Ok(None);
                    }
                    if self.is_closed() {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                    self.start(*req, held);
                }
                Reading::Head | Reading::Undecoded if self.open.len() >= MAX_OPEN_REQUESTS => {
                    return Ok(None);
                }
                Reading::Head | Reading::Undecoded => {
                    if let Some(status) = self.decode_head().await? {
                        return Ok(Some(status));
                    }
                    if matches!(self.reading, Reading::Head | Reading::Undecoded) {
                        return Ok(None);
                    }
                }
                Reading::Body(tx) => match self.codec.decode(&mut self.buf) {
                    Ok(Some(Message::Chunk(Some(chunk)))) => {
                        self.memory.set_body(self.memory.body() + chunk.len());
                        // The handler has responded without the rest of the body.
                        let is_read = tx.send(Ok(chunk)).await.is_ok();
                        self.reading = if is_read {
                            Reading::Body(tx)
                        } else {
                            self.close_after_newest();
                            Reading::End
                        };
                    }
                    Ok(Some(_)) => {
                        let _ = tx.send(Ok(Bytes::new())).await;
                        self.end_if_closing();
                    }
                    Ok(None) => {
                        self.reading = Reading::Body(tx);
                        return Ok(None);
                    }
                    Err(_) => {
                        let _ = tx.send(Err(PayloadError::EncodingCorrupted)).await;
                        self.close_after_newest();
                        self.reading = Reading::End;
                    }
                },
            }
        }
    }

    /// Decodes the next head, if it is complete and there is memory for it. Returns the status of an error response
    /// for a malformed one.
    ///
    /// # Errors
    /// If the client has closed the connection, or there is no memory and requests are not refused.
    async fn decode_head(&mut self) -> io::Result<Option<StatusCode>> {
        let max_bytes = (self.pipeline.options.limits)().header_bytes;
        let size = request_head::complete_size(&self.buf);
        let mut held = None;
        if let Some(size) = size.filter(|size| size.bytes <= max_bytes) {
            held = self.room_for(head_memory(size)).await;
            if held.is_none() {
                self.on_no_room()?;
                return Ok(None);
            }
        }
        let any_fields = self.pipeline.options.any_fields;
        match request_head::decode(&mut self.codec, &mut self.buf, max_bytes, any_fields) {
            Ok(Some(decoded)) => {
                let held = held.unwrap_or_else(|| self.memory.hold(2 * decoded.bytes));
                self.reading = Reading::Blocked(Box::new(OwnedRequest::new(decoded.request)), held);
                Ok(None)
            }
            Ok(None) => Ok(None),
            Err(ParseError::TooLarge) => Ok(Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)),
            Err(_) => Ok(Some(StatusCode::BAD_REQUEST)),
        }
    }

    /// Handles a complete head for which there is no memory: it waits for the requests before it, or is refused.
    ///
    /// # Errors
    /// If the client has closed the connection, or requests are not refused.
    fn on_no_room(&mut self) -> io::Result<()> {
        if !self.open.is_empty() {
            self.reading = Reading::Undecoded;
        } else if self.is_closed() {
            return Err(io::ErrorKind::UnexpectedEof.into());
        } else if self.pipeline.options.refuses {
            self.refuse();
        } else {
            return Err(io::Error::other("no memory left for the request"));
        }
        Ok(())
    }

    /// Counts the memory of the next request. `None` if it has to wait or, as the only one, to be refused.
    async fn room_for(&self, bytes: usize) -> Option<HeldMemory> {
        if !self.open.is_empty() {
            return self.memory.try_hold_ahead(bytes + REQUEST_BYTES);
        }
        if !self.pipeline.options.refuses && bytes <= MAX_UNREFUSED_BYTES {
            return Some(self.memory.hold(bytes));
        }
        // The client has done its part, so others that need room must not end the connection.
        self.memory.set_waiting(false);
        for _ in 0..ROOM_TURNS {
            let held = self.memory.try_hold(bytes + REQUEST_BYTES);
            if held.is_some() {
                return held;
            }
            // A connection that had to end frees its memory meanwhile.
            tokio::task::yield_now().await;
        }
        None
    }

    /// Refuses a request for which there is no memory. It does not run.
    fn refuse(&mut self) {
        self.pipeline.options.memory.count_refused();
        let code = ResultCode::ClientLimit;
        let body = format!(
            "{{\"code\":{},\"error\":\"{}\"}}",
            code.number(),
            code.text()
        );
        let mut response = Response::with_body(StatusCode::SERVICE_UNAVAILABLE, BoxBody::new(body));
        response.headers_mut().insert(RETRY_AFTER, REFUSED_FOR);
        http_server::close_after(&mut response);
        // Nothing else that the client has sent is read.
        self.buf = BytesMut::with_capacity(READ_BUFFER_BYTES);
        self.push_response(response);
        self.reading = Reading::End;
    }

    /// Starts the handler of a request.
    fn start(&mut self, req: OwnedRequest, held: HeldMemory) {
        let (method, version) = (req.method().clone(), req.version());
        let closes = req.head().connection_type() != ConnectionType::KeepAlive;
        self.memory.set_body(0);
        self.reading = Reading::Head;
        let (admits, admitted) = oneshot::channel();
        self.expects_continue = req.head().expect().then_some(admitted);
        let gate = self.pipeline.options.gate.clone();
        let gate = gate.filter(|_| req.head().expect());
        let has_body = self.codec.message_type() != MessageType::None;
        let req = if has_body {
            let (tx, rx) = mpsc::channel(BODY_CHUNKS);
            self.reading = Reading::Body(tx);
            let payload: Payload = Payload::Stream {
                payload: Box::pin(body_stream(rx)),
            };
            OwnedRequest::new(req.into_inner().replace_payload(payload).0)
        } else {
            req
        };
        let handler = self.pipeline.options.handler.clone();
        let sent_ahead = (!self.open.is_empty()).then(|| self.memory.clone());
        let response = actix_rt::spawn(async move {
            let mut held = held;
            let admitted = match gate {
                Some(gate) => gate(req.into_inner()).await,
                None => Ok(req.into_inner()),
            };
            let response = match admitted {
                Ok(req) => {
                    // Nobody waits if no body was announced.
                    let _ = admits.send(());
                    handler(req).await
                }
                Err(response) => response,
            };
            // Counted until the client has taken it.
            if let Some(memory) = sent_ahead {
                // It may have to wait for the responses before it.
                memory.set_waiting(true);
            }
            held.set(response_memory(&response));
            (response, held)
        });
        self.open.push_back(OpenRequest {
            response,
            method,
            version,
            closes,
            unsent: Some(self.pipeline.unsent.begin()),
        });
        if !has_body {
            self.end_if_closing();
        }
    }

    /// Stops reading requests if the client asked to close the connection after the newest one.
    fn end_if_closing(&mut self) {
        self.reading = match self.open.back() {
            Some(newest) if newest.closes => Reading::End,
            _ => Reading::Head,
        };
    }

    fn close_after_newest(&mut self) {
        if let Some(newest) = self.open.back_mut() {
            newest.closes = true;
        }
    }

    /// Adds a response of the connection itself, after those to the open requests.
    fn respond_after_open(&mut self, status: StatusCode) {
        self.push_response(Response::with_body(status, BoxBody::new(())));
    }

    fn push_response(&mut self, response: Response<BoxBody>) {
        let held = self.memory.hold(0);
        self.open.push_back(OpenRequest {
            response: actix_rt::spawn(async { (response, held) }),
            method: Method::GET,
            version: Version::HTTP_11,
            closes: true,
            unsent: Some(self.pipeline.unsent.begin()),
        });
    }

    /// Writes the response to the oldest open request.
    ///
    /// # Errors
    /// If the connection breaks, or the client does not take the response in time.
    async fn write_response(
        &mut self,
        response: Response<BoxBody>,
        _held: HeldMemory,
    ) -> io::Result<()> {
        let Some(mut request) = self.open.pop_front() else {
            return Ok(());
        };
        let is_last = self.open.is_empty();
        if is_last {
            // Its handler has ended, which held it.
            self.memory.set_body(0);
        }
        // A body that its handler has not read ends the connection as well.
        let is_unread = is_last && matches!(self.reading, Reading::Body(_));
        let asks_to_close = response.head().connection_type() == ConnectionType::Close;
        let closes = request.closes || asks_to_close || is_unread;
        if closes {
            // Requests that have started are answered before the connection is closed, and no further
            // one is started: the client sends it again.
            self.close_after_newest();
            if is_last || !matches!(self.reading, Reading::Body(_)) {
                self.reading = Reading::End;
            }
        }
        let end = if closes && is_last {
            ConnectionType::Close
        } else {
            ConnectionType::KeepAlive
        };
        let within = response.extensions().get::<TakeWithin>().copied();
        let within = within.map_or(BODY_TIMEOUT, |within| within.0);
        let (out, content) = self.encode(&request, response, end).await?;
        self.memory.set_waiting(true);
        let write = async {
            self.stream.write_all(&out).await?;
            self.stream.write_all(&content).await
        };
        tokio::time::timeout(within, write)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        let limits = (self.pipeline.options.limits)();
        let time = if self.buf.is_empty() {
            limits.idle_time
        } else {
            limits.header_time
        };
        self.idle_until = Instant::now() + time;
        if matches!(end, ConnectionType::Close) {
            self.last_unsent = request.unsent.take();
        }
        Ok(())
    }

    /// Encodes a response; a large body is returned beside its head. The codec keeps what the response depends on from the request that it decoded
    /// last, which may be a later one, so each response has a codec of its own.
    async fn encode(
        &self,
        request: &OpenRequest,
        response: Response<BoxBody>,
        end: ConnectionType,
    ) -> io::Result<(BytesMut, Bytes)> {
        let mut codec = Codec::new(self.pipeline.config.clone());
        let head = format!(
            "{} / {:?}\r\nhost: none\r\nconnection: keep-alive\r\n\r\n",
            request.method, request.version
        );
        codec
            .decode(&mut BytesMut::from(head.as_str()))
            .map_err(io::Error::other)?;
        let (mut answered, response_body) = response.into_parts();
        // The connection type of a response can be set once only.
        let mut response = Response::with_body(answered.status(), ());
        *response.headers_mut() = std::mem::take(answered.headers_mut());
        response.head_mut().set_connection_type(end);
        let content = match response_body.try_into_bytes() {
            Ok(content) => content,
            Err(response_body) => body::to_bytes(response_body)
                .await
                .map_err(|e| io::Error::other(e.to_string()))?,
        };
        let has_body = request.method != Method::HEAD
            && !matches!(
                response.status(),
                StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
            );
        let is_uncopied = has_body && content.len() >= MIN_UNCOPIED_BYTES;
        let copied = if is_uncopied { 0 } else { content.len() };
        let mut out = BytesMut::with_capacity(1_024 + copied);
        let size = BodySize::Sized(content.len() as u64);
        codec.encode(Message::Item((response, size)), &mut out)?;
        if is_uncopied {
            return Ok((out, content));
        }
        if !content.is_empty() {
            codec.encode(Message::Chunk(Some(content)), &mut out)?;
        }
        codec.encode(Message::Chunk(None), &mut out)?;
        Ok((out, Bytes::new()))
    }

    /// Closes the connection after the last response.
    async fn linger(mut self) -> io::Result<()> {
        self.stream.shutdown().await?;
        let drain = async {
            while self.stream.read_buf(&mut self.buf).await? > 0 {
                self.buf.clear();
            }
            Ok(())
        };
        tokio::time::timeout(LINGER_TIME, drain)
            .await
            .unwrap_or(Ok(()))
    }
}
