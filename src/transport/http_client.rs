//! HTTP/1.1 client of a node. It has one connection pool for each peer, so that all connections to an
//! unresponsive peer can be dropped together. See `docs/design.md`, section 3, "Unresponsive
//! connections".

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use actix_http::Uri;
use actix_http::header::CONTENT_LENGTH;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_http::header::TRANSFER_ENCODING;
use actix_http::uri::Authority;
use actix_http::uri::PathAndQuery;
use actix_http::uri::Scheme;
use awc::Client;
use awc::Connector;
use awc::error::ConnectError;
use awc::error::SendRequestError;
use bytes::Bytes;

use crate::transport::strict_stream;

/// Idle time after which a connection is not reused. Middleboxes drop idle connections silently, and
/// a new connection costs about 1 ms.
pub const IDLE_REUSE: Duration = Duration::from_secs(2);
/// Age at which a connection is replaced even if it is in use.
pub const CONNECTION_LIFETIME: Duration = Duration::from_mins(5);
/// Time limit for opening a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest number of pools; the least recently used one is dropped first. An entry node calls about 8
/// nodes for each service.
pub const MAX_POOLS: usize = 512;

/// A complete response.
#[derive(Debug)]
pub struct HttpResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Returns a header's value if it is present and visible ASCII text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Reason why no complete response was received.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SendFailure {
    /// No connection could be opened, so the peer has not received the request.
    NotConnected(String),
    /// The connection broke after the request may have been sent.
    Broken(String),
    /// No complete response was received in time.
    TimedOut,
    /// The response exceeds its size limit.
    TooLarge,
}

impl fmt::Display for SendFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotConnected(text) => write!(f, "not connected: {text}"),
            Self::Broken(text) => write!(f, "connection broke: {text}"),
            Self::TimedOut => f.write_str("timed out"),
            Self::TooLarge => f.write_str("response too large"),
        }
    }
}

/// A request to one address.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: PathAndQuery,
    /// Headers other than `content-length`.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Complete body.
    pub body: Bytes,
    /// Time limit for the complete response.
    pub timeout: Duration,
    /// Largest body of the response, bytes.
    pub max_response_bytes: usize,
}

struct Pool {
    addr: SocketAddr,
    authority: Authority,
    client: Client,
    last_used: u64,
}

/// Sends requests and keeps the connections to each peer.
pub struct HttpClient {
    pools: RefCell<Vec<Pool>>,
    max_connections: usize,
    use_count: std::cell::Cell<u64>,
}

impl HttpClient {
    /// Creates a client that opens at most `max_connections` connections to each peer.
    #[must_use]
    pub fn new(max_connections: usize) -> Self {
        Self {
            pools: RefCell::default(),
            max_connections,
            use_count: std::cell::Cell::new(0),
        }
    }

    /// Sends a request and returns the complete response.
    ///
    /// If the future is dropped or times out, its connection is closed, so that a late response cannot
    /// be mistaken for the response to another request.
    ///
    /// # Errors
    /// A [`SendFailure`], which tells whether the peer may have received the request.
    pub async fn send(
        &self,
        addr: SocketAddr,
        outgoing: OutgoingRequest,
    ) -> Result<HttpResponse, SendFailure> {
        let timeout = outgoing.timeout;
        let (client, authority) = self.pool(addr);
        if let Ok(result) =
            actix_rt::time::timeout(timeout, exchange(client, authority, outgoing)).await
        {
            return result;
        }
        self.close_idle(addr);
        Err(SendFailure::TimedOut)
    }

    /// Drops all idle connections to a peer; the next request opens a new one.
    pub fn close_idle(&self, addr: SocketAddr) {
        let mut pools = self.pools.borrow_mut();
        if let Ok(index) = pools.binary_search_by_key(&addr, |pool| pool.addr) {
            pools.remove(index);
        }
    }

    fn pool(&self, addr: SocketAddr) -> (Client, Authority) {
        let use_number = self.use_count.get() + 1;
        self.use_count.set(use_number);
        let mut pools = self.pools.borrow_mut();
        let found = pools.binary_search_by_key(&addr, |pool| pool.addr);
        if let Ok(index) = found {
            pools[index].last_used = use_number;
            return (pools[index].client.clone(), pools[index].authority.clone());
        }
        if pools.len() >= MAX_POOLS
            && let Some(oldest) = (0..pools.len()).min_by_key(|&index| pools[index].last_used)
        {
            pools.remove(oldest);
        }
        let pool = Pool {
            addr,
            authority: Authority::try_from(addr.to_string())
                .expect("a socket address is a valid authority"),
            client: new_client(self.max_connections),
            last_used: use_number,
        };
        let result = (pool.client.clone(), pool.authority.clone());
        let index = pools.partition_point(|pool| pool.addr < addr);
        pools.insert(index, pool);
        result
    }
}

fn new_client(max_connections: usize) -> Client {
    let connector = Connector::new()
        .connector(strict_stream::connector())
        .limit(max_connections)
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(IDLE_REUSE)
        .conn_lifetime(CONNECTION_LIFETIME);
    Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .finish()
}

async fn exchange(
    client: Client,
    authority: Authority,
    outgoing: OutgoingRequest,
) -> Result<HttpResponse, SendFailure> {
    let mut parts = actix_http::uri::Parts::default();
    parts.scheme = Some(Scheme::HTTP);
    parts.authority = Some(authority);
    parts.path_and_query = Some(outgoing.target);
    let uri = Uri::from_parts(parts).map_err(|e| SendFailure::NotConnected(e.to_string()))?;
    let is_head = outgoing.method == Method::HEAD;
    let mut request = client.request(outgoing.method, uri).no_decompress();
    for (name, value) in outgoing.headers {
        request.headers_mut().append(name, value);
    }
    let mut response = request
        .send_body(outgoing.body)
        .await
        .map_err(convert_error)?;
    if !is_head && !has_known_end(response.status(), response.headers()) {
        return Err(SendFailure::Broken("the response has no length".into()));
    }
    let body = response
        .body()
        .limit(outgoing.max_response_bytes)
        .await
        .map_err(|e| match e {
            awc::error::PayloadError::Overflow => SendFailure::TooLarge,
            other => SendFailure::Broken(other.to_string()),
        })?;
    Ok(HttpResponse {
        status: response.status(),
        headers: response.headers().clone(),
        body,
    })
}

/// Whether the head of a response to any method but `HEAD` tells where its body ends. Otherwise the body ends with the
/// connection (RFC 9112, section 6.3), but `awc` returns an empty one.
fn has_known_end(status: StatusCode, headers: &HeaderMap) -> bool {
    matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
        || headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
}

/// Converts an error of the HTTP library. `ConnectError::Disconnected` is also reported if the
/// connection closes after the request was sent, so it is not converted to `NotConnected`.
fn convert_error(error: SendRequestError) -> SendFailure {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {
            SendFailure::Broken("connection closed without a response".into())
        }
        SendRequestError::Connect(other) => SendFailure::NotConnected(other.to_string()),
        SendRequestError::Timeout => SendFailure::TimedOut,
        other => SendFailure::Broken(other.to_string()),
    }
}
