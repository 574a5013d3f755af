//! HTTP/1.1 exchanges over pooled connections, with the control over each connection that the
//! request path needs. See `docs/platform.md`, "Connections".
//!
//! The codec is that of `actix-http`. What it does not offer is decided here: an answer that belongs
//! to another request is skipped, an answer without a length is whole only at an orderly end of its
//! connection (RFC 9112, section 6.3), and a connection with bytes that nobody asked for is closed.

use std::cell::RefCell;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use actix_http::ConnectionType;
use actix_http::Method;
use actix_http::RequestHead;
use actix_http::RequestHeadType;
use actix_http::ResponseHead;
use actix_http::StatusCode;
use actix_http::Uri;
use actix_http::body::BodySize;
use actix_http::h1::ClientCodec;
use actix_http::h1::Message;
use actix_http::h1::MessageType;
use actix_http::header::CONTENT_LENGTH;
use actix_http::header::HOST;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_http::header::TRANSFER_ENCODING;
use actix_http::uri::PathAndQuery;
use actix_rt::net::TcpStream;
use bytes::Bytes;
use bytes::BytesMut;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use crate::transport::http_client::HttpAnswer;

/// Time limit for opening a connection; regions are about 8 ms apart and the opening packet of a
/// connection that meets a full queue is repeated only after seconds.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which unacknowledged bytes, or probes on a quiet connection, end it. A connection
/// that something between its ends has lost track of is found in this way only. The kernel counts
/// keep-alive times in whole seconds; a shorter one means none.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// Keep-alive probes without an answer that end a connection.
const SILENCE_PROBES: u32 = 2;
/// Idle connections kept to one address; a backend server takes about 100 from all its callers.
const MAX_IDLE: usize = 32;
/// Answers to other requests that are skipped on one connection before it is given up.
const MAX_FOREIGN_ANSWERS: usize = 4;
/// Initial size of a read buffer, bytes; most answers fit.
const READ_BUFFER: usize = 8 << 10;

/// A request to one address.
#[derive(Debug)]
pub struct Exchange<'a> {
    /// Address of the peer.
    pub addr: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: PathAndQuery,
    /// Headers besides `content-length`.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Whole body.
    pub body: Bytes,
    /// Longest time for which the connection may have been idle.
    pub max_idle: Duration,
    /// Header that the answer must repeat unless it lacks it, so that an answer to another request
    /// is recognised.
    pub echo: Option<(&'a HeaderName, &'a HeaderValue)>,
    /// Largest body of the answer, bytes.
    pub max_answer: usize,
}

/// Why no complete answer was received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ExchangeFailure {
    /// No byte of the request left this process.
    NotSent(String),
    /// The connection ended, or its bytes were no answer, after the request was written.
    Broken {
        /// What was found.
        text: String,
        /// Whether the connection had been used before; the peer may have closed it while idle.
        reused: bool,
    },
    /// The answer exceeds the limit.
    TooLarge,
}

impl fmt::Display for ExchangeFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(text) => write!(f, "not sent: {text}"),
            Self::Broken { text, reused } => write!(f, "broken: {text}, reused: {reused}"),
            Self::TooLarge => f.write_str("answer too large"),
        }
    }
}

struct Idle {
    stream: TcpStream,
    since: Instant,
}

struct AddressPool {
    addr: SocketAddr,
    idle: Vec<Idle>,
}

/// Connections to all peers, the idle ones sorted by address.
#[derive(Default)]
pub struct ConnectionPool {
    pools: RefCell<Vec<AddressPool>>,
}

impl ConnectionPool {
    /// Sends a request and returns the complete answer.
    ///
    /// The connection is closed if the future is dropped, which cancels the request at the peer.
    ///
    /// # Errors
    /// An [`ExchangeFailure`] that says whether the peer may have seen the request.
    pub async fn send(&self, exchange: Exchange<'_>) -> Result<HttpAnswer, ExchangeFailure> {
        let addr = exchange.addr;
        let (mut connection, reused) = match self.take_idle(addr, exchange.max_idle) {
            Some(stream) => (Connection::new(stream), true),
            None => (Connection::new(connect(addr).await?), false),
        };
        let broken = |e: io::Error| ExchangeFailure::Broken {
            text: e.to_string(),
            reused,
        };
        let (echo, max_answer) = (exchange.echo, exchange.max_answer);
        connection.write_request(exchange, reused).await?;
        for _ in 0..=MAX_FOREIGN_ANSWERS {
            let answer = connection.read_answer(max_answer).await.map_err(|e| {
                if e.kind() == io::ErrorKind::FileTooLarge {
                    ExchangeFailure::TooLarge
                } else {
                    broken(e)
                }
            })?;
            if is_echoed(&answer, echo) {
                if connection.is_reusable() {
                    self.put_back(addr, connection.stream);
                }
                return Ok(answer);
            }
        }
        Err(broken(io::Error::other("answers to other requests")))
    }

    /// Closes the idle connections to a peer, for example because one of them was found dead.
    pub fn retire(&self, addr: SocketAddr) {
        let mut pools = self.pools.borrow_mut();
        if let Ok(index) = pools.binary_search_by_key(&addr, |pool| pool.addr) {
            pools.remove(index);
        }
    }

    fn take_idle(&self, addr: SocketAddr, max_idle: Duration) -> Option<TcpStream> {
        let mut pools = self.pools.borrow_mut();
        let index = pools.binary_search_by_key(&addr, |pool| pool.addr).ok()?;
        let idle = &mut pools[index].idle;
        let fresh = idle.partition_point(|entry| entry.since.elapsed() > max_idle);
        idle.drain(..fresh);
        while let Some(entry) = idle.pop() {
            // Readable without a request means closed, or bytes that belong to no request.
            let quiet = matches!(entry.stream.try_read(&mut [0]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock);
            if quiet {
                return Some(entry.stream);
            }
        }
        None
    }

    fn put_back(&self, addr: SocketAddr, stream: TcpStream) {
        let entry = Idle {
            stream,
            since: Instant::now(),
        };
        let mut pools = self.pools.borrow_mut();
        match pools.binary_search_by_key(&addr, |pool| pool.addr) {
            Ok(index) if pools[index].idle.len() < MAX_IDLE => pools[index].idle.push(entry),
            Ok(_) => {}
            Err(index) => pools.insert(
                index,
                AddressPool {
                    addr,
                    idle: vec![entry],
                },
            ),
        }
    }
}

async fn connect(addr: SocketAddr) -> Result<TcpStream, ExchangeFailure> {
    let not_sent = |text: String| ExchangeFailure::NotSent(text);
    let stream = match actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(e)) => return Err(not_sent(e.to_string())),
        Err(_) => return Err(not_sent("connect timed out".into())),
    };
    guard_against_silence(&stream).map_err(|e| not_sent(e.to_string()))?;
    Ok(stream)
}

/// Makes the kernel end a connection whose peer has fallen silent.
///
/// # Errors
/// If the socket refuses an option.
pub fn guard_against_silence(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(SILENCE_LIMIT)
        .with_interval(SILENCE_LIMIT)
        .with_retries(SILENCE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(SILENCE_LIMIT))
}

fn is_echoed(answer: &HttpAnswer, echo: Option<(&HeaderName, &HeaderValue)>) -> bool {
    let Some((name, expected)) = echo else {
        return true;
    };
    answer
        .headers
        .get(name)
        .is_none_or(|found| found == expected)
}

/// How the end of an answer's body is found.
enum Framing {
    Empty,
    Measured,
    UntilEnd,
}

struct Connection {
    stream: TcpStream,
    buf: BytesMut,
    codec: Option<ClientCodec>,
    keep_alive: bool,
}

impl Connection {
    fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: BytesMut::with_capacity(READ_BUFFER),
            codec: Some(ClientCodec::default()),
            keep_alive: true,
        }
    }

    /// Writes head and body at once. A connection that fails before it has taken the first byte has
    /// not passed anything on.
    async fn write_request(
        &mut self,
        exchange: Exchange<'_>,
        reused: bool,
    ) -> Result<(), ExchangeFailure> {
        let mut head = RequestHead::default();
        head.method = exchange.method;
        head.uri = Uri::from(exchange.target);
        for (name, value) in exchange.headers {
            head.headers.append(name, value);
        }
        if !head.headers.contains_key(HOST)
            && let Ok(host) = HeaderValue::try_from(exchange.addr.to_string())
        {
            head.headers.insert(HOST, host);
        }
        head.set_connection_type(ConnectionType::KeepAlive);
        let size = BodySize::Sized(exchange.body.len() as u64);
        let message = Message::Item((RequestHeadType::Owned(head), size));
        let not_sent = |e: io::Error| ExchangeFailure::NotSent(e.to_string());
        let mut out = BytesMut::with_capacity(1_024 + exchange.body.len());
        let codec = self.codec.get_or_insert_default();
        codec.encode(message, &mut out).map_err(not_sent)?;
        out.extend_from_slice(&exchange.body);
        let first = self.stream.write(&out).await.map_err(not_sent)?;
        // An answer may come before a long body is through; it is read all the same.
        let rest = self.stream.write_all(&out[first..]).await;
        match rest {
            Ok(()) => Ok(()),
            Err(_) if self.stream.try_read_buf(&mut self.buf).is_ok_and(|n| n > 0) => {
                self.keep_alive = false;
                Ok(())
            }
            Err(e) => Err(ExchangeFailure::Broken {
                text: e.to_string(),
                reused,
            }),
        }
    }

    async fn read_answer(&mut self, max_answer: usize) -> io::Result<HttpAnswer> {
        let head = self.read_head().await?;
        let codec = self.codec.take().unwrap_or_default();
        self.keep_alive &= codec.keep_alive();
        let body = match framing(&codec, &head) {
            Framing::Empty => {
                self.codec = Some(codec);
                Bytes::new()
            }
            Framing::Measured => self.read_measured(codec, max_answer).await?,
            Framing::UntilEnd => self.read_until_end(max_answer).await?,
        };
        Ok(HttpAnswer {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    async fn read_head(&mut self) -> io::Result<ResponseHead> {
        loop {
            let codec = self.codec.get_or_insert_default();
            let decoded = codec.decode(&mut self.buf).map_err(io::Error::other)?;
            match decoded {
                Some(head) if head.status.is_informational() => {}
                Some(head) => return Ok(head),
                None => self.fill().await?,
            }
        }
    }

    async fn read_measured(&mut self, codec: ClientCodec, max: usize) -> io::Result<Bytes> {
        let mut codec = codec.into_payload_codec();
        let mut body = BytesMut::new();
        loop {
            match codec.decode(&mut self.buf).map_err(io::Error::other)? {
                Some(Some(chunk)) => {
                    if body.len() + chunk.len() > max {
                        return Err(io::ErrorKind::FileTooLarge.into());
                    }
                    body.extend_from_slice(&chunk);
                }
                Some(None) => break,
                None => self.fill().await?,
            }
        }
        self.codec = Some(codec.into_message_codec());
        Ok(body.freeze())
    }

    /// A reset is an error of the read, so that only an orderly end completes the body.
    async fn read_until_end(&mut self, max: usize) -> io::Result<Bytes> {
        self.keep_alive = false;
        while self.stream.read_buf(&mut self.buf).await? > 0 {
            if self.buf.len() > max {
                return Err(io::ErrorKind::FileTooLarge.into());
            }
        }
        Ok(self.buf.split().freeze())
    }

    async fn fill(&mut self) -> io::Result<()> {
        if self.stream.read_buf(&mut self.buf).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(())
    }

    fn is_reusable(&self) -> bool {
        self.keep_alive && self.buf.is_empty()
    }
}

/// The codec takes an HTTP/1.1 answer without a length for an empty one.
fn framing(codec: &ClientCodec, head: &ResponseHead) -> Framing {
    let without_body = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    let measured =
        head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
    match codec.message_type() {
        MessageType::Payload => Framing::Measured,
        MessageType::None if measured || without_body => Framing::Empty,
        MessageType::None | MessageType::Stream => Framing::UntilEnd,
    }
}
