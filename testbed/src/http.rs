//! Small HTTP server on its own thread, shared by the stand-ins.

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

/// Time after which the stand-ins close an idle connection.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);
/// Bytes of the `date` header line that the server adds to each response.
const DATE_LINE_BYTES: usize = "date: Thu, 01 Jan 1970 00:00:00 GMT\r\n".len();

/// Attempts to bind an address that is in use.
const MAX_BIND_ATTEMPTS: u32 = 100;
/// Delay between these attempts.
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Binds an address, and retries while it is in use. A process that another thread starts holds
/// copies of all sockets until its `exec`, including the socket that was bound to check that the
/// address is free.
fn bind(addr: SocketAddr) -> io::Result<std::net::TcpListener> {
    for _ in 1..MAX_BIND_ATTEMPTS {
        match std::net::TcpListener::bind(addr) {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => std::thread::sleep(BIND_RETRY_DELAY),
            result => return result,
        }
    }
    std::net::TcpListener::bind(addr)
}

/// A server that runs on its own thread with its own `actix` system until it ends, is killed or is
/// dropped.
#[derive(Debug)]
pub struct ServerThread {
    addr: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl ServerThread {
    /// Binds `addr` and runs the future that `run` returns on a new thread. Dropping that future
    /// closes all connections.
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
                        Err(e) => eprintln!("cannot use the listener on {addr}: {e}"),
                    }
                });
            })?;
        Ok(Self {
            addr,
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Address that the server listens on, with the actual port.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Whether the server still runs.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.thread.as_ref().is_some_and(|t| !t.is_finished())
    }

    /// Ends the server at once; open connections are closed without a response.
    pub fn kill(&mut self) {
        if let Some(stop) = self.stop.take() {
            // The receiver no longer exists if the server has ended by itself.
            let _ = stop.send(());
        }
        self.join();
    }

    /// Waits until the server has ended by itself.
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

/// Accepts connections without end and handles each request with `handler`. `on_connect` may attach
/// data to a new connection.
pub async fn serve<C, H, F>(listener: TcpListener, on_connect: C, handler: H)
where
    C: Fn(&mut Extensions) + 'static,
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE_TIMEOUT))
        // Callers of the stand-ins may keep a connection open without a request.
        .client_request_timeout(Duration::ZERO)
        // The close of a connection cancels its running request.
        .h1_allow_half_closed(false)
        .on_connect_ext(move |_: &TcpStream, data| on_connect(data))
        .finish(fn_service(move |req: Request| {
            let response = handler(req);
            async move { Ok::<_, actix_http::Error>(response.await) }
        }))
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        eprintln!("cannot create the HTTP service");
        return;
    };
    let service = Rc::new(service);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Without TCP_NODELAY, small responses wait for delayed acknowledgements.
                let _ = stream.set_nodelay(true);
                let service = Rc::clone(&service);
                actix_rt::spawn(async move {
                    // An error means that the caller closed its connection early, which is not a
                    // server fault.
                    let _ = service.call(stream).await;
                });
            }
            Err(e) => {
                eprintln!("cannot accept a connection: {e}");
                actix_rt::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Reads the whole body of a request.
///
/// # Errors
/// Returns the error of the connection, or [`PayloadError::Overflow`] if the body has more than
/// `max` bytes.
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

/// Builds a response with a plain text body.
#[must_use]
pub fn text(status: StatusCode, body: impl Into<String>) -> Response<BoxBody> {
    Response::build(status)
        .insert_header((header::CONTENT_TYPE, "text/plain; charset=utf-8"))
        .body(body.into())
        .map_into_boxed_body()
}

/// Builds a response with a JSON body.
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
    std::str::from_utf8(headers.get(name)?.as_bytes()).ok()
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

/// Size of a request on the wire, bytes: request line, headers and body.
#[must_use]
pub fn request_bytes(req: &Request, body: usize) -> u64 {
    let line = req.method().as_str().len()
        + req.uri().path_and_query().map_or(1, |p| p.as_str().len())
        + "  HTTP/1.1\r\n".len();
    to_u64(line + header_bytes(req.headers()) + body)
}

/// Size of a response on the wire, bytes: status line, headers and body.
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
