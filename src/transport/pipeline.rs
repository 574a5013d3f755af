//! HTTP/1.1 connections whose pipelined requests run at the same time. See `docs/platform.md`,
//! "Pipelined requests".
//!
//! A client may send further requests before the first one is answered (RFC 9112, section 9.3.2). The
//! dispatcher of `actix-http` starts each of them after the response to the one before, so that a client
//! waits for the sum of their times. This one uses the codec of `actix-http`, starts idempotent requests
//! as they arrive, and writes the responses in the order of the requests.

use std::collections::VecDeque;
use std::io;
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
use actix_rt::net::TcpStream;
use actix_rt::task::JoinHandle;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::Stream;
use futures_util::stream;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use crate::transport::http_server::HEAD_TIMEOUT;
use crate::transport::http_server::Handler;
use crate::transport::http_server::KEEP_ALIVE;
use crate::transport::unsent::Unsent;
use crate::transport::unsent::UnsentCount;

/// Requests of one connection that run at the same time.
const MAX_OPEN_REQUESTS: usize = 16;
/// Initial size of the read buffer, bytes; most requests fit.
const READ_BUFFER_BYTES: usize = 4 << 10;
/// Chunks of a body that are read ahead of its handler.
const BODY_CHUNKS: usize = 8;
/// Bytes that are read ahead of the request that is decoded next; the largest head is half of them.
const MAX_READ_AHEAD: usize = 256 << 10;
/// Time for which a closed connection is still read, so that unread bytes do not reset it before the
/// client has received the last response (RFC 9112, section 9.6).
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Response that asks for an announced body (RFC 9110, section 15.2.1).
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Whether a request may start before the requests before it are answered. If one of their responses
/// closes the connection, the client sends the request again, so it has to be idempotent.
pub type MayOverlap = Rc<dyn Fn(&Request) -> bool>;

/// How the connections of a server are handled.
#[derive(Clone)]
pub struct Pipeline {
    config: ServiceConfig,
    handler: Handler,
    may_overlap: MayOverlap,
    unsent: UnsentCount,
}

/// A request that has started, until its response is written.
struct OpenRequest {
    response: JoinHandle<Response<BoxBody>>,
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
    /// A request that has to wait until the ones before it are answered.
    Blocked(Box<Request>),
    Body(mpsc::Sender<Result<Bytes, PayloadError>>),
    /// Nothing, since the connection ends with the last open request.
    End,
}

struct Connection {
    stream: TcpStream,
    pipeline: Pipeline,
    codec: Codec,
    buf: BytesMut,
    reading: Reading,
    open: VecDeque<OpenRequest>,
    /// Whether the newest request waits for [`CONTINUE`].
    expects_continue: bool,
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
    pub fn new(handler: Handler, may_overlap: MayOverlap, unsent: UnsentCount) -> Self {
        let config = ServiceConfigBuilder::new().keep_alive(KeepAlive::Timeout(KEEP_ALIVE));
        Self {
            config: config.build(),
            handler,
            may_overlap,
            unsent,
        }
    }

    /// Handles a connection until it is closed.
    ///
    /// # Errors
    /// If the connection breaks. Its open requests are cancelled.
    pub async fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut connection = Connection {
            stream,
            pipeline: self.clone(),
            codec: Codec::new(self.config.clone()),
            buf: BytesMut::with_capacity(READ_BUFFER_BYTES),
            reading: Reading::Head,
            open: VecDeque::new(),
            expects_continue: false,
            idle_until: Instant::now() + KEEP_ALIVE,
            last_unsent: None,
        };
        while connection.step().await? {}
        connection.linger().await
    }
}

impl Connection {
    /// Makes one step. Returns false once the last response was written.
    async fn step(&mut self) -> io::Result<bool> {
        if let Some(status) = self.decode_available().await {
            self.reading = Reading::End;
            self.respond_after_open(status);
        }
        if self.expects_continue && self.open.len() == 1 {
            self.expects_continue = false;
            self.stream.write_all(CONTINUE).await?;
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
        let may_read = self.buf.len() < MAX_READ_AHEAD;
        let response = async {
            match self.open.front_mut() {
                Some(first) => (&mut first.response).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            response = response => {
                // A handler that panicked has no response.
                let response = response.map_err(io::Error::other)?;
                self.write_response(response).await?;
            }
            read = self.stream.read_buf(&mut self.buf), if may_read => {
                if read? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                if was_empty {
                    self.idle_until = Instant::now() + HEAD_TIMEOUT;
                }
            }
            () = tokio::time::sleep_until(self.idle_until), if !has_open => {
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
    async fn decode_available(&mut self) -> Option<StatusCode> {
        loop {
            match std::mem::replace(&mut self.reading, Reading::Head) {
                Reading::End => {
                    self.reading = Reading::End;
                    return None;
                }
                Reading::Blocked(req) if !self.open.is_empty() => {
                    self.reading = Reading::Blocked(req);
                    return None;
                }
                Reading::Blocked(req) => self.start(*req),
                Reading::Head if self.open.len() >= MAX_OPEN_REQUESTS => return None,
                Reading::Head => match self.codec.decode(&mut self.buf) {
                    Ok(Some(Message::Item(req))) => {
                        let may_start = self.open.is_empty() || (self.pipeline.may_overlap)(&req);
                        if may_start {
                            self.start(req);
                        } else {
                            self.reading = Reading::Blocked(Box::new(req));
                        }
                    }
                    Ok(Some(Message::Chunk(_))) => {}
                    Ok(None) => return None,
                    Err(ParseError::TooLarge) => {
                        return Some(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
                    }
                    Err(_) => return Some(StatusCode::BAD_REQUEST),
                },
                Reading::Body(tx) => match self.codec.decode(&mut self.buf) {
                    Ok(Some(Message::Chunk(Some(chunk)))) => {
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
                        return None;
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

    /// Starts the handler of a request.
    fn start(&mut self, req: Request) {
        let (method, version) = (req.method().clone(), req.version());
        let closes = req.head().connection_type() != ConnectionType::KeepAlive;
        self.expects_continue = req.head().expect();
        let has_body = self.codec.message_type() != MessageType::None;
        let req = if has_body {
            let (tx, rx) = mpsc::channel(BODY_CHUNKS);
            self.reading = Reading::Body(tx);
            let payload: Payload = Payload::Stream {
                payload: Box::pin(body_stream(rx)),
            };
            req.replace_payload(payload).0
        } else {
            req
        };
        let handler = self.pipeline.handler.clone();
        let response = actix_rt::spawn(async move { handler(req).await });
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
        let response = Response::with_body(status, BoxBody::new(()));
        self.open.push_back(OpenRequest {
            response: actix_rt::spawn(async { response }),
            method: Method::GET,
            version: Version::HTTP_11,
            closes: true,
            unsent: Some(self.pipeline.unsent.begin()),
        });
    }

    /// Writes the response to the oldest open request.
    async fn write_response(&mut self, response: Response<BoxBody>) -> io::Result<()> {
        let Some(mut request) = self.open.pop_front() else {
            return Ok(());
        };
        let is_last = self.open.is_empty();
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
        let out = self.encode(&request, response, end).await?;
        self.idle_until = Instant::now() + KEEP_ALIVE;
        self.stream.write_all(&out).await?;
        if matches!(end, ConnectionType::Close) {
            self.last_unsent = request.unsent.take();
        }
        Ok(())
    }

    /// Encodes a response. The codec keeps what the response depends on from the request that it decoded
    /// last, which may be a later one, so each response has a codec of its own.
    async fn encode(
        &self,
        request: &OpenRequest,
        response: Response<BoxBody>,
        end: ConnectionType,
    ) -> io::Result<BytesMut> {
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
        let mut out = BytesMut::with_capacity(1_024 + content.len());
        let size = BodySize::Sized(content.len() as u64);
        codec.encode(Message::Item((response, size)), &mut out)?;
        if !content.is_empty() {
            codec.encode(Message::Chunk(Some(content)), &mut out)?;
        }
        codec.encode(Message::Chunk(None), &mut out)?;
        Ok(out)
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
