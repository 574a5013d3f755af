//! HTTP/1.1 servers of a node: accept loop, limits and graceful stop.

use std::cell::Cell;
use std::ops::Deref;
use std::ops::DerefMut;
use std::rc::Rc;
use std::time::Duration;

use actix_http::ConnectionType;
use actix_http::HttpService;
use actix_http::Payload;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::header::HeaderMap;
use actix_rt::net::TcpListener;
use actix_rt::net::TcpStream;
use actix_rt::task::JoinHandle;
use actix_service::Service;
use actix_service::ServiceFactory;
use actix_service::fn_service;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;

use crate::protocol::mesh::CallerLimits;
use crate::result_code::Failure;
use crate::result_code::ResultCode;
use crate::transport::body_budget::BodyBudget;
use crate::transport::body_budget::HeldBytes;
use crate::transport::client_memory;
use crate::transport::client_memory::ClientMemory;
use crate::transport::client_memory::SMALL_BODY_BYTES;
use crate::transport::pipeline::MayOverlap;
use crate::transport::pipeline::Pipeline;
use crate::transport::pipeline::PipelineOptions;
use crate::transport::unsent::CountedStream;
use crate::transport::unsent::UnsentCount;

/// Pause after a failed accept, for example because the process has no file descriptors left.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Idle time after which a server closes a connection. It is longer than the time for which
/// clients reuse idle connections, so that a client never sends on a connection that the server is
/// about to close.
pub const KEEP_ALIVE: Duration = Duration::from_secs(30);
/// Time limit for a client to send the head of its request.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Time limit for a client to send the body of a request that has no deadline of its own.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(15);

/// Memory of the smallest instances, MB.
const DEFAULT_MEMORY_MB: f64 = 160.0;
/// Steps in which a body is charged ahead, bytes.
const BODY_STEP_BYTES: usize = 1 << 20;
/// Bytes of a body for which room is reserved before they arrive. A buffer that grows step by step leaves as much
/// again behind in the heap; untouched memory costs nothing.
const MAX_RESERVED_BYTES: usize = 64 << 20;

/// Handles one request.
pub type Handler = Rc<dyn Fn(Request) -> LocalBoxFuture<'static, Response<BoxBody>>>;

/// Decides whether the body of a request with `expect: 100-continue` may be sent (RFC 9110, section
/// 10.1.1). The error is the final response.
pub type Gate = Rc<dyn Fn(Request) -> LocalBoxFuture<'static, Result<Request, Response<BoxBody>>>>;

/// A running server. Dropping it closes the listening socket.
pub struct HttpServer {
    accept_loop: JoinHandle<()>,
    connections: Rc<Cell<usize>>,
    unsent: UnsentCount,
}

impl HttpServer {
    /// Starts to serve `listener` with at most `max_connections` open connections.
    ///
    /// Connections beyond the limit are closed at once, so that a flood of connections cannot exhaust
    /// the file descriptors and memory that open calls need.
    #[must_use]
    pub fn start(listener: TcpListener, max_connections: usize, handler: Handler) -> Self {
        let gate: Gate = Rc::new(|req| Box::pin(async { Ok(req) }));
        Self::start_with_gate(listener, max_connections, handler, gate)
    }

    /// Like [`Self::start`]; `gate` decides on bodies that are announced before they are sent.
    #[must_use]
    pub fn start_with_gate(
        listener: TcpListener,
        max_connections: usize,
        handler: Handler,
        gate: Gate,
    ) -> Self {
        let connections = Rc::new(Cell::new(0));
        let unsent = UnsentCount::default();
        let accept_loop = actix_rt::spawn(accept(
            listener,
            max_connections,
            handler,
            gate,
            connections.clone(),
            unsent.clone(),
        ));
        Self {
            accept_loop,
            connections,
            unsent,
        }
    }

    /// Like [`Self::start`]; pipelined requests that `may_overlap` accepts run at the same time.
    #[must_use]
    pub fn start_pipelined(
        listener: TcpListener,
        max_connections: usize,
        handler: Handler,
        may_overlap: MayOverlap,
    ) -> Self {
        let options = PipelineOptions {
            handler,
            may_overlap,
            gate: None,
            limits: Rc::new(CallerLimits::default),
            memory: ClientMemory::new(client_memory::account_bytes(DEFAULT_MEMORY_MB)),
            refuses: true,
            port: 0,
            any_fields: true,
        };
        Self::start_with_options(listener, max_connections, options)
    }

    /// Like [`Self::start_pipelined`], with limits for clients. If there are too many connections, the oldest
    /// that waits for its client makes room for a new one.
    #[must_use]
    pub fn start_with_options(
        listener: TcpListener,
        max_connections: usize,
        options: PipelineOptions,
    ) -> Self {
        let connections = Rc::new(Cell::new(0));
        let unsent = UnsentCount::default();
        let (memory, port) = (options.memory.clone(), options.port);
        let pipeline = Pipeline::new(options, unsent.clone());
        let counted = connections.clone();
        let rejecting = memory.clone();
        let make_room = move || memory.evict_oldest(port);
        let accept_loop = actix_rt::spawn(async move {
            accept_each(
                listener,
                max_connections,
                counted,
                make_room,
                move || rejecting.count_rejected(),
                |stream, guard| {
                    let pipeline = pipeline.clone();
                    actix_rt::spawn(async move {
                        // Connection errors are ignored, since each call reports its own result.
                        let _ = pipeline.serve(stream).await;
                        drop(guard);
                    });
                },
            )
            .await;
        });
        Self {
            accept_loop,
            connections,
            unsent,
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Returns the number of responses that are not sent completely.
    #[must_use]
    pub fn unsent_responses(&self) -> usize {
        self.unsent.get()
    }

    /// Closes the listening socket; open connections stay open.
    pub fn stop_accepting(&self) {
        self.accept_loop.abort();
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.accept_loop.abort();
    }
}

struct ConnectionGuard(Rc<Cell<usize>>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn accept(
    listener: TcpListener,
    max_connections: usize,
    handler: Handler,
    gate: Gate,
    connections: Rc<Cell<usize>>,
    unsent: UnsentCount,
) {
    let factory = HttpService::build()
        .keep_alive(KEEP_ALIVE)
        .client_request_timeout(HEAD_TIMEOUT)
        .client_disconnect_timeout(Duration::from_secs(1))
        .h1_allow_half_closed(false)
        .tcp_nodelay(true)
        .expect(fn_service(move |req: Request| gate(req)))
        .h1(fn_service(move |req: Request| {
            let response = handler(req);
            async move { Ok::<_, std::convert::Infallible>(response.await) }
        }));
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    accept_each(
        listener,
        max_connections,
        connections,
        || false,
        || (),
        |stream, guard| {
            let peer_addr = stream.peer_addr().ok();
            let connection = service.call((CountedStream::new(stream, unsent.clone()), peer_addr));
            actix_rt::spawn(async move {
                // Connection errors are ignored, since each call reports its own result.
                let _ = connection.await;
                drop(guard);
            });
        },
    )
    .await;
}

/// Accepts connections. One beyond the limit takes the place of another that `make_room` has ended, and is
/// closed at once if there is none.
async fn accept_each(
    listener: TcpListener,
    max_connections: usize,
    connections: Rc<Cell<usize>>,
    make_room: impl Fn() -> bool,
    on_rejected: impl Fn(),
    start: impl Fn(TcpStream, ConnectionGuard),
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        if connections.get() >= max_connections && make_room() {
            // The connection that has to end does so when its task runs.
            tokio::task::yield_now().await;
        }
        if connections.get() >= max_connections {
            drop(stream);
            on_rejected();
            continue;
        }
        connections.set(connections.get() + 1);
        start(stream, ConnectionGuard(connections.clone()));
    }
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
/// [`ResultCode::BodyTooLarge`] if it is longer, [`ResultCode::BadRequest`] if it is
/// truncated, [`ResultCode::DeadlineExceeded`] if it is not complete after [`BODY_TIMEOUT`].
pub async fn read_body(payload: &mut Payload, limit: usize) -> Result<Bytes, Failure> {
    let budget = BodyBudget::new(limit);
    let read = read_body_within(payload, limit, &budget, BODY_TIMEOUT).await;
    read.map(|(body, _)| body)
}

/// Like [`read_body`], if the body fits into the budget together with all others that are held, and is
/// complete after `time_limit`.
///
/// The peer may be gone without closing its connection, so a body needs a bound in time: what is held for
/// it would be lost for good.
///
/// # Errors
/// The same, and [`ResultCode::Overloaded`] if the budget is used up.
pub async fn read_body_within(
    payload: &mut Payload,
    limit: usize,
    budget: &BodyBudget,
    time_limit: Duration,
) -> Result<(Bytes, HeldBytes), Failure> {
    read_sized_body(payload, None, limit, budget, time_limit).await
}

/// Like [`read_body_within`], with the length that the head of the request announces.
///
/// # Errors
/// The same.
pub async fn read_sized_body(
    payload: &mut Payload,
    length: Option<usize>,
    limit: usize,
    budget: &BodyBudget,
    time_limit: Duration,
) -> Result<(Bytes, HeldBytes), Failure> {
    let reading = read_chunks(payload, length, limit, budget);
    let read = actix_rt::time::timeout(time_limit, reading);
    read.await.unwrap_or_else(|_| {
        let text = format!("the body is incomplete after {} ms", time_limit.as_millis());
        Err(Failure::new(ResultCode::DeadlineExceeded, text))
    })
}

async fn read_chunks(
    payload: &mut Payload,
    expected: Option<usize>,
    limit: usize,
    budget: &BodyBudget,
) -> Result<(Bytes, HeldBytes), Failure> {
    if expected.is_some_and(|bytes| bytes > limit) {
        return Err(too_large(limit));
    }
    let mut held = budget.hold();
    let mut first: Option<Bytes> = None;
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|e| {
            Failure::new(
                ResultCode::BadRequest,
                format!("the body is incomplete: {e}"),
            )
        })?;
        let length = first.as_ref().map_or(0, Bytes::len) + body.len() + chunk.len();
        if length > limit {
            return Err(too_large(limit));
        }
        if !held.set(charged_bytes(length, expected, limit)) {
            return Err(Failure::new(
                ResultCode::Overloaded,
                "the bodies of all requests exceed the memory for them",
            ));
        }
        // Most bodies arrive in one chunk, which is returned without a copy.
        if first.is_none() && body.is_empty() {
            first = Some(chunk);
            continue;
        }
        if let Some(first) = first.take() {
            body.reserve(reserved_bytes(length, expected, limit));
            body.extend_from_slice(&first);
        } else if length > body.capacity() {
            body.reserve(reserved_bytes(length, expected, limit) - body.len());
        }
        body.extend_from_slice(&chunk);
    }
    Ok((first.unwrap_or_else(|| body.freeze()), held))
}

/// Returns the bytes that a body of `length` so far is charged for. Beyond a small one it is charged ahead, so that
/// bodies that grow side by side are not all refused half-way, with as much memory left behind in the heap.
fn charged_bytes(length: usize, expected: Option<usize>, limit: usize) -> usize {
    if length <= SMALL_BODY_BYTES {
        return length;
    }
    let step = length.next_multiple_of(BODY_STEP_BYTES);
    step.min(expected.unwrap_or(limit)).max(length)
}

/// Returns the bytes for which a buffer has room when a body has reached `length`. A body that may still be refused gets
/// a small one: the start of each large one would stay in the heap at another place, with the memory of all of them.
fn reserved_bytes(length: usize, expected: Option<usize>, limit: usize) -> usize {
    let bytes = if length <= SMALL_BODY_BYTES {
        SMALL_BODY_BYTES.min(expected.unwrap_or(limit))
    } else {
        expected.unwrap_or(BODY_STEP_BYTES)
    };
    bytes.min(limit).min(MAX_RESERVED_BYTES).max(length)
}

/// Frees the fields of a request. The library keeps the maps of requests for later ones, with the room for the
/// largest number of fields that each has had.
pub fn release_fields(req: &mut Request) {
    *req.headers_mut() = HeaderMap::new();
}

/// A request whose fields are freed when it is dropped, also if its handler is cancelled.
#[derive(Debug)]
pub struct OwnedRequest(Request);

impl OwnedRequest {
    /// Takes a request.
    #[must_use]
    pub fn new(req: Request) -> Self {
        Self(req)
    }

    /// Returns the request with its fields.
    #[must_use]
    pub fn into_inner(mut self) -> Request {
        std::mem::replace(&mut self.0, Request::new())
    }
}

impl Deref for OwnedRequest {
    type Target = Request;

    fn deref(&self) -> &Request {
        &self.0
    }
}

impl DerefMut for OwnedRequest {
    fn deref_mut(&mut self) -> &mut Request {
        &mut self.0
    }
}

impl Drop for OwnedRequest {
    fn drop(&mut self) {
        release_fields(&mut self.0);
    }
}

fn too_large(limit: usize) -> Failure {
    Failure::new(
        ResultCode::BodyTooLarge,
        format!("the body exceeds {limit} bytes"),
    )
}

/// Returns a response without a body.
#[must_use]
pub fn empty(status: StatusCode) -> Response<BoxBody> {
    Response::with_body(status, BoxBody::new(()))
}

/// Makes the server close the connection after this response, for a graceful stop.
pub fn close_after(response: &mut Response<BoxBody>) {
    response
        .head_mut()
        .set_connection_type(ConnectionType::Close);
}

/// Returns the HTTP status of an error response that the node itself generates.
#[must_use]
pub fn status_of(code: ResultCode) -> StatusCode {
    match code {
        ResultCode::NoRoute => StatusCode::NOT_FOUND,
        ResultCode::BadRequest => StatusCode::BAD_REQUEST,
        ResultCode::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ResultCode::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        ResultCode::OutcomeUnknown | ResultCode::InvalidResponse => StatusCode::BAD_GATEWAY,
        ResultCode::KeyInUse | ResultCode::ResponseNotStored => StatusCode::CONFLICT,
        ResultCode::KeyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
        ResultCode::CredentialUnknown => StatusCode::UNAUTHORIZED,
        ResultCode::QuotaExceeded => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
