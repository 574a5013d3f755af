//! Small HTTP server on a thread of its own, shared by the test doubles.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;

use actix_http::Extensions;
use actix_http::HttpMessage;
use actix_http::HttpService;
use actix_http::KeepAlive;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BodySize;
use actix_http::body::BoxBody;
use actix_http::body::MessageBody;
use actix_http::error::PayloadError;
use actix_http::header;
use actix_http::header::HeaderMap;
use actix_rt::net::TcpStream;
use actix_service::Service;
use actix_service::ServiceFactory;
use actix_service::fn_service;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use futures_util::future;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::oneshot;

/// Time after which the doubles close an idle connection.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Bytes of a `date` header line that the server adds to each answer.
const DATE_LINE_BYTES: usize = "date: Thu, 01 Jan 1970 00:00:00 GMT\r\n".len();

/// Attempts to bind an address that is in use, and the pause between them.
const BIND_ATTEMPTS: u32 = 100;
const BIND_PAUSE: Duration = Duration::from_millis(20);

/// Binds an address. A process that another thread starts holds copies of all sockets until it has
/// loaded its program, among them the one by which the address was found to be free.
fn bind(addr: SocketAddr) -> io::Result<std::net::TcpListener> {
    for _ in 1..BIND_ATTEMPTS {
        match std::net::TcpListener::bind(addr) {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => std::thread::sleep(BIND_PAUSE),
            result => return result,
        }
    }
    std::net::TcpListener::bind(addr)
}

/// A server that runs on its own thread with its own `actix` system until it is stopped or dropped.
#[derive(Debug)]
pub struct ServerThread {
    addr: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl ServerThread {
    /// Binds `addr` and runs `run` on a new thread. Dropping the future closes all connections.
    ///
    /// # Errors
    /// Returns the error of the bind or of the start of the thread.
    pub fn start<R, F>(name: &str, addr: SocketAddr, run: R) -> io::Result<Self>
    where
        R: FnOnce(TcpListener) -> F + Send + 'static,
        F: Future<Output = ()> + 'static,
    {
        let listener = bind(addr)?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::Builder::new()
            .name(name.into())
            .spawn(move || {
                actix_rt::System::new().block_on(async move {
                    match TcpListener::from_std(listener) {
                        Ok(listener) => {
                            future::select(pin!(stopped), pin!(run(listener))).await;
                        }
                        Err(e) => eprintln!("listener on {addr} is unusable: {e}"),
                    }
                });
            })?;
        Ok(Self {
            addr,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Address that the server listens on, with the port that the system chose.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Whether the server still runs.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.thread.as_ref().is_some_and(|t| !t.is_finished())
    }

    /// Ends the server at once; open connections are closed without an answer.
    pub fn kill(&mut self) {
        if let Some(stop) = self.stop.take() {
            // The receiver is gone if the server has ended by itself.
            let _ = stop.send(());
        }
        self.join();
    }

    /// Waits for the server to end by itself.
    pub fn join(&mut self) {
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            eprintln!("server thread on {} panicked", self.addr);
        }
    }
}

impl Drop for ServerThread {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Accepts connections for ever and answers each request with `handler`. `on_connect` returns
/// whether a new connection is kept, and may attach data to it.
pub async fn serve<C, H, F>(listener: TcpListener, on_connect: C, handler: H)
where
    C: Fn(&mut Extensions) + 'static,
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
        // An open connection without a request is legal for the doubles' callers.
        .client_request_timeout(Duration::ZERO)
        // A closed connection cancels the request that runs on it.
        .h1_allow_half_closed(false)
        .on_connect_ext(move |_: &TcpStream, data| on_connect(data))
        .finish(fn_service(move |req: Request| {
            let answer = handler(req);
            async move { Ok::<_, actix_http::Error>(answer.await) }
        }))
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        eprintln!("HTTP service cannot be created");
        return;
    };
    let service = Rc::new(service);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Without it small answers wait for delayed acknowledgements.
                let _ = stream.set_nodelay(true);
                let service = Rc::clone(&service);
                actix_rt::spawn(async move {
                    // A caller that closes its connection early is no fault of the server.
                    let _ = service.call(stream).await;
                });
            }
            Err(e) => {
                eprintln!("accept failed: {e}");
                actix_rt::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Reads the whole body of a request.
///
/// # Errors
/// Returns the error of the connection, or [`PayloadError::Overflow`] beyond `max` bytes.
pub async fn read_body(req: &mut Request, max: usize) -> Result<Bytes, PayloadError> {
    let mut payload = req.take_payload();
    let mut buf = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk?;
        if buf.len() + chunk.len() > max {
            return Err(PayloadError::Overflow);
        }
        buf.extend_from_slice(&chunk);
    }
    Ok(buf.freeze())
}

/// Builds an answer with a plain text body.
#[must_use]
pub fn text(status: StatusCode, body: impl Into<String>) -> Response<BoxBody> {
    Response::build(status)
        .insert_header((header::CONTENT_TYPE, "text/plain; charset=utf-8"))
        .body(body.into())
        .map_into_boxed_body()
}

/// Builds an answer with a JSON body.
#[must_use]
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<BoxBody> {
    match serde_json::to_vec(value) {
        Ok(body) => Response::build(status)
            .insert_header((header::CONTENT_TYPE, "application/json"))
            .body(Bytes::from(body))
            .map_into_boxed_body(),
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, e.to_string()),
    }
}

/// Returns the value of a request header as text.
#[must_use]
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok())
}

/// Returns the value of a parameter of the query string, without percent decoding.
#[must_use]
pub fn query_param<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

/// Bytes of a request on the wire: request line, headers and body.
#[must_use]
pub fn request_bytes(req: &Request, body: usize) -> u64 {
    let line = req.method().as_str().len()
        + req.uri().path_and_query().map_or(1, |p| p.as_str().len())
        + "  HTTP/1.1\r\n".len();
    to_u64(line + header_bytes(req.headers()) + body)
}

/// Bytes of an answer on the wire: status line, headers and body.
#[must_use]
pub fn response_bytes(res: &Response<BoxBody>) -> u64 {
    let reason = res.status().canonical_reason().unwrap_or_default().len();
    let body = match res.body().size() {
        BodySize::Sized(n) => n,
        BodySize::None | BodySize::Stream => 0,
    };
    let length_line = "content-length: \r\n".len() + body.to_string().len();
    let line = "HTTP/1.1 200 \r\n".len() + reason;
    to_u64(line + length_line + DATE_LINE_BYTES + header_bytes(res.headers())) + body
}

fn header_bytes(headers: &HeaderMap) -> usize {
    let lines: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum();
    lines + "\r\n".len()
}

fn to_u64(n: usize) -> u64 {
    u64::try_from(n).unwrap_or(u64::MAX)
}
