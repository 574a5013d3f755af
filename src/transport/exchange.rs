//! HTTP/1.1 client with connection pooling and explicit control over each connection. See
//! `docs/platform.md`, "Connections".
//!
//! It uses the codec of `actix-http` and adds seven rules: a response to another request is skipped, a
//! request is not sent again on a connection that has carried it, a response without a length is complete
//! only if its connection is closed without an error (RFC 9112, section 6.3), a connection with
//! unexpected bytes is closed, a head that two responses share is refused, as is one that breaks
//! the grammar, and a response of any form ends within a bounded number of bytes.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
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
use actix_http::header::EXPECT;
use actix_http::header::HOST;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_http::header::TRANSFER_ENCODING;
use actix_http::uri::PathAndQuery;
use actix_rt::net::TcpStream;
use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use xxhash_rust::xxh3::xxh3_64;

use crate::transport::body_budget::BodyBudget;
use crate::transport::body_budget::HeldBytes;
use crate::transport::connection_limit::ConnectionLimit;
use crate::transport::connection_limit::ConnectionSlot;
use crate::transport::connection_limit::LimitCounts;
use crate::transport::cut_response;
use crate::transport::http_client::HttpResponse;
use crate::transport::response_head;

/// Time limit for opening a connection. Regions are about 8 ms apart, and a SYN packet that is dropped
/// at a full queue is retransmitted only after seconds.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest time that a request waits for a connection at the limit of the pool, as long as opening one may take.
/// Then nothing was sent, and the caller learns it early enough to try again.
pub const CONNECTION_WAIT: Duration = CONNECT_TIMEOUT;
/// Time before the end of [`SendOptions::time_left`] at which the wait for a connection ends, so that the caller still
/// learns that nothing was sent.
const CONNECTION_WAIT_MARGIN: Duration = Duration::from_millis(20);
/// Time after which unacknowledged data, or unanswered keep-alive probes, end a connection. Nothing else
/// detects a connection that a middlebox has dropped silently. The kernel takes keep-alive times in
/// whole seconds; a shorter time disables them.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes that end a connection.
const KEEPALIVE_PROBES: u32 = 2;
/// Idle connections kept for each address; a backend server accepts about 100 from all its clients.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Responses to other requests that are skipped on one connection before it is closed.
const MAX_SKIPPED_RESPONSES: usize = 4;
/// Requests that are remembered for each connection, so that none is sent there again. A request comes
/// back to the same peer within its deadline, if at all.
const MAX_RECENT_IDS: usize = 32;
/// Largest head of a response, with the informational responses before it, bytes.
const MAX_HEAD_BYTES: usize = 128 << 10;
/// Bytes of the framing of a chunked body that are accepted for any body.
const FRAMING_BYTES: usize = 64 << 10;
/// Bytes of the framing for each byte of a chunked body. With chunks of less than five bytes on average a long
/// body takes more time to decode than a small instance has.
const FRAMING_BYTES_PER_BYTE: usize = 1;
/// Bytes of response bodies that all connections of a pool may buffer together. The smallest instances
/// have 160 MB, and a buffer may have twice the size of its content.
pub const MAX_BUFFERED_BYTES: usize = 32 << 20;
/// Part of [`MAX_BUFFERED_BYTES`] that the responses of one address may have, so that a faulty peer leaves room
/// for the others. The largest response fits.
const MAX_BUFFERED_BYTES_PER_ADDRESS: usize = MAX_BUFFERED_BYTES / 2;
/// Bytes of each response that do not count there. A peer that answers many requests at the same time without
/// end takes this for each of them; a backend server has some 10 slots.
const UNCOUNTED_RESPONSE_BYTES: usize = 64 << 10;
/// Connections of a pool without a limit of its own.
const DEFAULT_MAX_CONNECTIONS: usize = 512;
/// Smallest body of a request that is written without a copy, bytes.
const MIN_UNCOPIED_BYTES: usize = 16 << 10;
/// Initial size of a read buffer, bytes; most responses fit.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// A request to one address.
#[derive(Debug)]
pub struct Exchange<'a> {
    /// Address of the peer.
    pub addr: SocketAddr,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: PathAndQuery,
    /// Headers other than `content-length`.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Complete body.
    pub body: Bytes,
    /// Longest idle time of a connection that is reused.
    pub max_idle: Duration,
    /// Header that the response repeats. A response with another value belongs to another request and
    /// is skipped. One without the header is accepted as the first response on a connection; a later one
    /// could be a repetition and counts as broken.
    pub echo: Option<(&'a HeaderName, &'a HeaderValue)>,
    /// Whether the body is sent only after the peer has asked for it (RFC 9110, section 10.1.1).
    pub expect_continue: bool,
    /// Set once the head of a response has arrived, so that a caller can tell a slow response from a lost
    /// peer.
    pub responding: Option<&'a Cell<bool>>,
    /// Largest body of the response, bytes.
    pub max_response_bytes: usize,
}

/// Conditions under which a request is sent.
pub struct SendOptions<'a> {
    /// Whether the request may still be sent when it has got a connection, since that may take some time.
    pub may_send: &'a dyn Fn() -> bool,
    /// Whether an announced body may be sent when the peer asks for it, since the peer may take some time.
    pub may_send_body: &'a dyn Fn() -> bool,
    /// Time after which the caller gives up, if it takes a request that was given up for one that may have run. The
    /// wait for a connection ends before it.
    pub time_left: Option<Duration>,
    /// Set once the request has got a connection, or the permission to open one.
    pub started: Option<&'a Cell<Option<Started>>>,
    /// Called each time bytes of the response have arrived, so that a caller can tell a slow response from a stalled
    /// one.
    pub on_receive: &'a dyn Fn(),
}

/// End of the wait for a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Started {
    /// Time at which it ended.
    pub at: Instant,
    /// Whether the connection is reused.
    pub reused: bool,
}

impl Default for SendOptions<'_> {
    fn default() -> Self {
        Self {
            may_send: &|| true,
            may_send_body: &|| true,
            time_left: None,
            started: None,
            on_receive: &|| {},
        }
    }
}

/// Reason why no complete response was received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ExchangeFailure {
    /// No byte of the request was sent.
    NotSent(String),
    /// No byte of the request was sent, since this process has as many connections as it may open. That says nothing
    /// about the peer.
    NoConnection,
    /// No byte of the request was sent, since [`SendOptions::may_send`] no longer allowed it. That says nothing about the
    /// peer.
    Withdrawn,
    /// After the request was written, the connection ended or the response was malformed.
    Broken {
        /// Description of the failure.
        text: String,
        /// Whether the connection was reused, so that the peer may have closed it while it was idle.
        reused: bool,
    },
    /// The response exceeds its size limit.
    TooLarge,
}

impl fmt::Display for ExchangeFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent(text) => write!(f, "not sent: {text}"),
            Self::NoConnection => f.write_str("not sent: limit of connections reached"),
            Self::Withdrawn => f.write_str("not sent: withdrawn while waiting for a connection"),
            Self::Broken { text, reused } => {
                write!(f, "connection broke: {text}, reused: {reused}")
            }
            Self::TooLarge => f.write_str("response too large"),
        }
    }
}

struct IdleConnection {
    stream: TcpStream,
    // Dropped after the stream is closed.
    slot: ConnectionSlot,
    since: Instant,
    recent_ids: RecentIds,
}

/// Hashes of the ids of the last requests on a connection. A peer may write a response once more, which
/// could not be told from the response to the same request if that was sent there again.
#[derive(Default)]
struct RecentIds(VecDeque<u64>);

impl RecentIds {
    fn contains(&self, id: Option<u64>) -> bool {
        id.is_some_and(|id| self.0.contains(&id))
    }

    fn add(&mut self, id: Option<u64>) {
        let Some(id) = id else {
            return;
        };
        if self.0.len() >= MAX_RECENT_IDS {
            self.0.pop_front();
        }
        self.0.push_back(id);
    }
}

/// What a request takes from the pool.
enum Taken {
    Idle(IdleConnection),
    Slot(ConnectionSlot),
}

struct AddressPool {
    addr: SocketAddr,
    idle: Vec<IdleConnection>,
    /// Bodies that are being received from the address.
    buffered: BodyBudget,
}

impl AddressPool {
    fn new(addr: SocketAddr) -> Self {
        let buffered = BodyBudget::new(MAX_BUFFERED_BYTES_PER_ADDRESS);
        Self {
            addr,
            idle: Vec::new(),
            buffered: buffered.with_uncounted_bytes(UNCOUNTED_RESPONSE_BYTES),
        }
    }
}

/// Pool of the idle connections to all peers, sorted by address.
pub struct ConnectionPool {
    pools: RefCell<Vec<AddressPool>>,
    /// Bodies that are being received.
    buffered: BodyBudget,
    limit: ConnectionLimit,
}

impl Default for ConnectionPool {
    fn default() -> Self {
        Self::new(ConnectionLimit::new(DEFAULT_MAX_CONNECTIONS))
    }
}

impl ConnectionPool {
    /// Creates a pool with a limit on its connections, open and idle.
    #[must_use]
    pub fn new(limit: ConnectionLimit) -> Self {
        Self {
            pools: RefCell::default(),
            buffered: BodyBudget::new(MAX_BUFFERED_BYTES)
                .with_uncounted_bytes(UNCOUNTED_RESPONSE_BYTES),
            limit,
        }
    }

    /// Returns the events at the limit of connections.
    #[must_use]
    pub fn limit_counts(&self) -> LimitCounts {
        self.limit.counts()
    }

    /// Returns the number of connections, open and idle.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.limit.open_connections()
    }

    /// Sends a request and returns the complete response.
    ///
    /// If the future is dropped, the connection is closed, which cancels the request at the peer.
    ///
    /// # Errors
    /// An [`ExchangeFailure`], which tells whether the peer may have received the request.
    pub async fn send(&self, exchange: Exchange<'_>) -> Result<HttpResponse, ExchangeFailure> {
        self.send_with(exchange, &SendOptions::default()).await
    }

    /// Sends a request like [`Self::send`] under further conditions.
    ///
    /// # Errors
    /// An [`ExchangeFailure`]; [`ExchangeFailure::Withdrawn`] if the request may no longer be sent, and
    /// [`ExchangeFailure::NotSent`] if its body may not.
    pub async fn send_with(
        &self,
        exchange: Exchange<'_>,
        options: &SendOptions<'_>,
    ) -> Result<HttpResponse, ExchangeFailure> {
        let addr = exchange.addr;
        let id = exchange.echo.map(|(_, id)| xxh3_64(id.as_bytes()));
        let try_take = || {
            let idle = self.take_idle(addr, exchange.max_idle, id).map(Taken::Idle);
            idle.or_else(|| self.try_take_slot(addr).map(Taken::Slot))
        };
        let wait = connection_wait(options.time_left);
        if let Some(started) = options.started {
            started.set(None);
        }
        let taken = self.take(addr, wait, try_take).await;
        let taken = taken.ok_or(ExchangeFailure::NoConnection)?;
        if let Some(started) = options.started {
            let at = Instant::now();
            let reused = matches!(taken, Taken::Idle(_));
            started.set(Some(Started { at, reused }));
        }
        let (idle, reused) = match taken {
            Taken::Idle(idle) => (idle, true),
            Taken::Slot(slot) => {
                let not_sent = |e: io::Error| ExchangeFailure::NotSent(e.to_string());
                (connect(addr, slot).await.map_err(not_sent)?, false)
            }
        };
        if !(options.may_send)() {
            if let Some(started) = options.started {
                started.set(None);
            }
            self.put_idle(addr, idle);
            return Err(ExchangeFailure::Withdrawn);
        }
        let mut connection = Connection::new(idle, self.budgets(addr), options.on_receive);
        connection.recent_ids.add(id);
        let broken = |e: io::Error| ExchangeFailure::Broken {
            text: e.to_string(),
            reused,
        };
        let (echo, max_response_bytes) = (exchange.echo, exchange.max_response_bytes);
        let responding = exchange.responding;
        connection
            .write_request(exchange, options.may_send_body)
            .await?;
        for _ in 0..=MAX_SKIPPED_RESPONSES {
            connection.write_unsent().await.map_err(broken)?;
            let response = connection
                .read_response(max_response_bytes, responding)
                .await
                .map_err(|e| {
                    if e.kind() == io::ErrorKind::FileTooLarge {
                        ExchangeFailure::TooLarge
                    } else {
                        broken(e)
                    }
                })?;
            match compare_echo(&response, echo) {
                Echo::Missing if reused => {
                    return Err(broken(io::Error::other(
                        "the response does not name its request",
                    )));
                }
                Echo::Matches | Echo::Missing => {
                    if connection.is_reusable() {
                        self.put_idle(addr, connection.into_idle());
                    }
                    return Ok(response);
                }
                Echo::Differs => {}
            }
        }
        Err(broken(io::Error::other(
            "only responses to other requests were received",
        )))
    }

    /// Opens a connection and keeps it for the next request.
    ///
    /// # Errors
    /// If the peer refuses the connection, or does not accept it within [`CONNECT_TIMEOUT`];
    /// [`io::ErrorKind::QuotaExceeded`] at the limit of connections.
    pub async fn open(&self, addr: SocketAddr) -> io::Result<()> {
        let try_take = || self.try_take_slot(addr);
        let slot = self.take(addr, CONNECTION_WAIT, try_take).await;
        let slot = slot.ok_or(io::ErrorKind::QuotaExceeded)?;
        let opened = connect(addr, slot).await?;
        self.put_idle(addr, opened);
        Ok(())
    }

    /// Takes a connection or the permission for one, in the order of the requests that wait. `None` after
    /// the time `wait`.
    async fn take<T>(
        &self,
        addr: SocketAddr,
        wait: Duration,
        try_take: impl Fn() -> Option<T>,
    ) -> Option<T> {
        let taken = async {
            let _turn = self.limit.turn(addr).await;
            loop {
                if let Some(taken) = try_take() {
                    return taken;
                }
                self.limit.changed(addr).await;
            }
        };
        let taken = actix_rt::time::timeout(wait, taken).await;
        if taken.is_err() {
            self.limit.count_not_sent();
        }
        taken.ok()
    }

    /// Takes the permission for a new connection. At the limit, the idle connection that was not used for the longest
    /// time is closed.
    fn try_take_slot(&self, addr: SocketAddr) -> Option<ConnectionSlot> {
        let slot = self.limit.try_take(addr);
        if slot.is_some() {
            return slot;
        }
        self.close_oldest_idle(addr)
            .then(|| self.limit.try_take(addr))
            .flatten()
    }

    /// Closes the oldest idle connection that makes room for one to a peer. Returns whether there is one.
    fn close_oldest_idle(&self, addr: SocketAddr) -> bool {
        let mut pools = self.pools.borrow_mut();
        let candidates = pools
            .iter_mut()
            .filter(|pool| self.limit.makes_room(pool.addr, addr) && !pool.idle.is_empty());
        // The connections of a peer are in the order of their last use.
        let oldest = candidates.min_by_key(|pool| pool.idle[0].since);
        let Some(oldest) = oldest else {
            return false;
        };
        oldest.idle.remove(0);
        self.limit.count_idle_closed();
        true
    }

    /// Returns the bytes of the bodies that are being received.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffered.held_bytes()
    }

    /// Returns the budgets that a body received from an address has to fit into.
    fn budgets(&self, addr: SocketAddr) -> [BodyBudget; 2] {
        let mut pools = self.pools.borrow_mut();
        let of_address = address_pool(&mut pools, addr).buffered.clone();
        [of_address, self.buffered.clone()]
    }

    /// Closes the idle connections to a peer, for example because one of them has failed.
    pub fn close_idle(&self, addr: SocketAddr) {
        let mut pools = self.pools.borrow_mut();
        if let Ok(index) = pools.binary_search_by_key(&addr, |pool| pool.addr) {
            if pools[index].buffered.held_bytes() == 0 {
                pools.remove(index);
            } else {
                // Bodies that are being received go on to count.
                pools[index].idle.clear();
            }
        }
    }

    /// Takes an idle connection that has not carried the request with this id yet.
    fn take_idle(
        &self,
        addr: SocketAddr,
        max_idle: Duration,
        id: Option<u64>,
    ) -> Option<IdleConnection> {
        let mut pools = self.pools.borrow_mut();
        let index = pools.binary_search_by_key(&addr, |pool| pool.addr).ok()?;
        let idle = &mut pools[index].idle;
        let expired = idle.partition_point(|entry| entry.since.elapsed() > max_idle);
        idle.drain(..expired);
        loop {
            let index = idle
                .iter()
                .rposition(|entry| !entry.recent_ids.contains(id))?;
            let entry = idle.remove(index);
            // A readable idle connection was closed by the peer or has bytes that belong to no request.
            let usable = matches!(entry.stream.try_read(&mut [0]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock);
            if usable {
                return Some(entry);
            }
        }
    }

    fn put_idle(&self, addr: SocketAddr, entry: IdleConnection) {
        let mut pools = self.pools.borrow_mut();
        let idle = &mut address_pool(&mut pools, addr).idle;
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(entry);
            self.limit.on_idle();
        }
    }
}

/// Returns the pool of an address, and adds it if there is none.
fn address_pool(pools: &mut Vec<AddressPool>, addr: SocketAddr) -> &mut AddressPool {
    let index = pools
        .binary_search_by_key(&addr, |pool| pool.addr)
        .unwrap_or_else(|index| {
            pools.insert(index, AddressPool::new(addr));
            index
        });
    &mut pools[index]
}

async fn connect(addr: SocketAddr, slot: ConnectionSlot) -> io::Result<IdleConnection> {
    let connected = actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
    let timed_out = |_| io::Error::new(io::ErrorKind::TimedOut, "connect timed out");
    let stream = connected.map_err(timed_out)??;
    enable_dead_peer_detection(&stream)?;
    Ok(IdleConnection {
        stream,
        slot,
        since: Instant::now(),
        recent_ids: RecentIds::default(),
    })
}

/// Makes the kernel end a connection whose peer no longer responds.
///
/// # Errors
/// If a socket option cannot be set.
pub fn enable_dead_peer_detection(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(DEAD_PEER_TIMEOUT)
        .with_interval(DEAD_PEER_TIMEOUT)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(DEAD_PEER_TIMEOUT))
}

/// Whether a response names the request that it belongs to.
enum Echo {
    Matches,
    Differs,
    Missing,
}

fn compare_echo(response: &HttpResponse, echo: Option<(&HeaderName, &HeaderValue)>) -> Echo {
    let Some((name, expected)) = echo else {
        return Echo::Matches;
    };
    match response.headers.get(name) {
        None => Echo::Missing,
        Some(found) if found == expected => Echo::Matches,
        Some(_) => Echo::Differs,
    }
}

/// How the end of a response's body is determined.
enum Framing {
    NoBody,
    Delimited,
    UntilClose,
}

struct Connection<'a> {
    stream: TcpStream,
    // Dropped after the stream is closed.
    slot: ConnectionSlot,
    buf: BytesMut,
    codec: Option<ClientCodec>,
    keep_alive: bool,
    recent_ids: RecentIds,
    /// Part of the request that has not been written.
    unsent: Bytes,
    /// First error of a write of the request, if the start of a response had arrived before it.
    write_error: Option<io::Error>,
    /// Head of a response that arrived before the request was written.
    early_head: Option<ResponseHead>,
    /// Bytes received since the current part of a response began.
    received: usize,
    /// Bodies that are being received from the address, and by all connections of the pool.
    budgets: [BodyBudget; 2],
    on_receive: &'a dyn Fn(),
}

impl<'a> Connection<'a> {
    fn new(idle: IdleConnection, budgets: [BodyBudget; 2], on_receive: &'a dyn Fn()) -> Self {
        Self {
            stream: idle.stream,
            slot: idle.slot,
            buf: BytesMut::with_capacity(READ_BUFFER_BYTES),
            codec: Some(ClientCodec::default()),
            keep_alive: true,
            recent_ids: idle.recent_ids,
            unsent: Bytes::new(),
            write_error: None,
            early_head: None,
            received: 0,
            budgets,
            on_receive,
        }
    }

    /// Writes the first part of a request: head and body together, or the head alone if the peer has to
    /// ask for the body. If this fails, nothing was sent that the peer could run.
    async fn write_request(
        &mut self,
        exchange: Exchange<'_>,
        may_send_body: &dyn Fn() -> bool,
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
        if exchange.expect_continue {
            let value = HeaderValue::from_static("100-continue");
            head.headers.insert(EXPECT, value);
        }
        head.set_connection_type(ConnectionType::KeepAlive);
        let size = BodySize::Sized(exchange.body.len() as u64);
        let message = Message::Item((RequestHeadType::Owned(head), size));
        let not_sent = |e: io::Error| ExchangeFailure::NotSent(e.to_string());
        let copied = exchange.body.len().min(MIN_UNCOPIED_BYTES);
        let mut out = BytesMut::with_capacity(1_024 + copied);
        let codec = self.codec.get_or_insert_default();
        codec.encode(message, &mut out).map_err(not_sent)?;
        if exchange.expect_continue {
            self.stream.write_all(&out).await.map_err(not_sent)?;
            self.unsent = exchange.body;
            self.wait_for_continue().await.map_err(not_sent)?;
            if self.early_head.is_none() && !may_send_body() {
                return Err(not_sent(io::Error::other("the body may not be sent")));
            }
            return Ok(());
        }
        if exchange.body.len() < MIN_UNCOPIED_BYTES {
            out.extend_from_slice(&exchange.body);
        }
        let first = self.stream.write(&out).await.map_err(not_sent)?;
        let mut rest = out.split_off(first);
        self.unsent = if exchange.body.len() < MIN_UNCOPIED_BYTES {
            rest.freeze()
        } else if rest.is_empty() {
            exchange.body
        } else {
            rest.extend_from_slice(&exchange.body);
            rest.freeze()
        };
        Ok(())
    }

    /// Waits until the peer asks for the body, or responds without it.
    async fn wait_for_continue(&mut self) -> io::Result<()> {
        self.received = 0;
        loop {
            match self.decode_head()? {
                Some(head) if head.status == StatusCode::CONTINUE => return Ok(()),
                Some(head) if head.status.is_informational() => {}
                Some(head) => {
                    self.early_head = Some(head);
                    return Ok(());
                }
                None => {
                    self.check_head_size()?;
                    self.fill().await?;
                }
            }
        }
    }

    /// Checks the bytes received since a response began.
    ///
    /// # Errors
    /// If its head, with the informational responses before it, is too large.
    fn check_head_size(&self) -> io::Result<()> {
        if self.received > MAX_HEAD_BYTES {
            return Err(io::Error::other("the head of the response is too large"));
        }
        Ok(())
    }

    /// Writes the rest of the request, until a response arrives. A peer may respond before it has read
    /// a long body; the rest is then not sent, and the connection is not used again.
    async fn write_unsent(&mut self) -> io::Result<()> {
        while self.early_head.is_none() && !self.unsent.is_empty() {
            let (reader, mut writer) = self.stream.split();
            let is_readable = tokio::select! {
                written = writer.write(&self.unsent) => match written {
                    Ok(count) => {
                        self.unsent.advance(count);
                        false
                    }
                    Err(e) => {
                        // The response may have arrived before the peer closed the connection.
                        let Ok(head) = self.read_head().await else {
                            return Err(e);
                        };
                        self.early_head = Some(head);
                        // A later write fails with a broken pipe whatever ended the connection.
                        self.write_error.get_or_insert(e);
                        return Ok(());
                    }
                },
                readable = reader.readable() => {
                    readable?;
                    true
                }
            };
            if is_readable {
                self.read_early_head()?;
            }
        }
        Ok(())
    }

    /// Reads the available bytes and decodes the head of a response, if it is complete.
    fn read_early_head(&mut self) -> io::Result<()> {
        match self.stream.try_read_buf(&mut self.buf) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(received) => self.count_received(received),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        while let Some(head) = self.decode_head()? {
            if !head.status.is_informational() {
                self.early_head = Some(head);
                return Ok(());
            }
        }
        self.check_head_size()
    }

    fn decode_head(&mut self) -> io::Result<Option<ResponseHead>> {
        if cut_response::contains_second_status_line(&self.buf) {
            return Err(io::Error::other("the head is that of two responses"));
        }
        response_head::check(&self.buf)?;
        let codec = self.codec.get_or_insert_default();
        codec.decode(&mut self.buf).map_err(io::Error::other)
    }

    async fn read_response(
        &mut self,
        max_response_bytes: usize,
        responding: Option<&Cell<bool>>,
    ) -> io::Result<HttpResponse> {
        let head = self.read_head().await?;
        if let Some(responding) = responding {
            responding.set(true);
        }
        let codec = self.codec.take().unwrap_or_default();
        self.keep_alive &= codec.keep_alive();
        let body = match framing(&codec, &head) {
            Framing::NoBody => {
                self.codec = Some(codec);
                Bytes::new()
            }
            Framing::Delimited => self.read_delimited(codec, max_response_bytes).await?,
            Framing::UntilClose => self.read_until_close(max_response_bytes).await?,
        };
        Ok(HttpResponse {
            status: head.status,
            headers: head.headers,
            body,
        })
    }

    async fn read_head(&mut self) -> io::Result<ResponseHead> {
        if let Some(head) = self.early_head.take() {
            return Ok(head);
        }
        self.received = self.buf.len();
        loop {
            match self.decode_head()? {
                Some(head) if head.status.is_informational() => {}
                Some(head) => return Ok(head),
                None => {
                    self.check_head_size()?;
                    self.fill().await?;
                }
            }
        }
    }

    async fn read_delimited(&mut self, codec: ClientCodec, max_bytes: usize) -> io::Result<Bytes> {
        let mut codec = codec.into_payload_codec();
        let mut body = BytesMut::new();
        let mut held = self.budgets.each_ref().map(BodyBudget::hold);
        self.received = self.buf.len();
        loop {
            match codec.decode(&mut self.buf).map_err(io::Error::other)? {
                Some(Some(chunk)) => {
                    check_size(&mut held, body.len() + chunk.len(), max_bytes)?;
                    body.extend_from_slice(&chunk);
                }
                Some(None) => break,
                None => {
                    let framing = self.received.saturating_sub(body.len() + self.buf.len());
                    if framing > FRAMING_BYTES + FRAMING_BYTES_PER_BYTE * body.len() {
                        return Err(io::Error::other("the framing of the body is too large"));
                    }
                    self.fill().await?;
                }
            }
        }
        self.codec = Some(codec.into_message_codec());
        Ok(body.freeze())
    }

    /// Reads until the peer closes the connection. A reset does not complete the body. The kernel reports a reset only
    /// once, so after a failed write the next read returns an ordinary end.
    async fn read_until_close(&mut self, max_bytes: usize) -> io::Result<Bytes> {
        self.keep_alive = false;
        let mut held = self.budgets.each_ref().map(BodyBudget::hold);
        while self.stream.read_buf(&mut self.buf).await? > 0 {
            (self.on_receive)();
            check_size(&mut held, self.buf.len(), max_bytes)?;
        }
        match self.write_error.take() {
            // The first write to fail returns a broken pipe if the peer had closed the connection, and so ended its
            // response, before the reset.
            Some(e) if e.kind() != io::ErrorKind::BrokenPipe => Err(e),
            _ => Ok(self.buf.split().freeze()),
        }
    }

    async fn fill(&mut self) -> io::Result<()> {
        let received = self.stream.read_buf(&mut self.buf).await?;
        if received == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.count_received(received);
        Ok(())
    }

    fn count_received(&mut self, bytes: usize) {
        self.received += bytes;
        (self.on_receive)();
    }

    fn is_reusable(&self) -> bool {
        self.keep_alive && self.buf.is_empty() && self.unsent.is_empty()
    }

    fn into_idle(self) -> IdleConnection {
        IdleConnection {
            stream: self.stream,
            slot: self.slot,
            since: Instant::now(),
            recent_ids: self.recent_ids,
        }
    }
}

/// Returns the longest time that a request waits for a connection.
fn connection_wait(time_left: Option<Duration>) -> Duration {
    time_left.map_or(CONNECTION_WAIT, |left| {
        left.saturating_sub(CONNECTION_WAIT_MARGIN)
            .min(CONNECTION_WAIT)
    })
}

/// Sets the size of a body.
///
/// # Errors
/// If it exceeds `max_bytes`, or all bodies together exceed one of their budgets.
fn check_size(body: &mut [HeldBytes], bytes: usize, max_bytes: usize) -> io::Result<()> {
    let fits = body.iter_mut().all(|held| held.set(bytes));
    if !fits || bytes > max_bytes {
        return Err(io::ErrorKind::FileTooLarge.into());
    }
    Ok(())
}

/// Determines the framing of a body. The codec treats an HTTP/1.1 response without a length as empty,
/// although its body extends to the end of the connection.
fn framing(codec: &ClientCodec, head: &ResponseHead) -> Framing {
    let without_body = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    let has_length =
        head.headers.contains_key(CONTENT_LENGTH) || head.headers.contains_key(TRANSFER_ENCODING);
    match codec.message_type() {
        MessageType::Payload => Framing::Delimited,
        MessageType::None if has_length || without_body => Framing::NoBody,
        MessageType::None | MessageType::Stream => Framing::UntilClose,
    }
}
