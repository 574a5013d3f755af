//! TCP forwarder that closes connections at once or in the middle of a response, or drops bytes without
//! closing them.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

/// Value of `Shared::response_limit` with which every response is forwarded completely.
const UNLIMITED: usize = usize::MAX;

#[derive(Debug)]
struct Shared {
    target: SocketAddr,
    /// Bytes from the server after which a connection is closed.
    response_limit: AtomicUsize,
    /// Number of the first connection that forwards bytes; connections with a lower number drop them.
    first_forwarding: AtomicU64,
    accepted: AtomicU64,
    dropped_bytes: AtomicUsize,
    request_bytes: AtomicUsize,
    /// Whether connections are closed before their bytes are forwarded.
    turns_away: AtomicBool,
}

/// A running forwarder. Its threads run until the test process exits.
#[derive(Debug)]
pub struct Forwarder {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Forwarder {
    /// Starts to forward connections to `target`.
    pub fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target,
            response_limit: AtomicUsize::new(UNLIMITED),
            first_forwarding: AtomicU64::new(0),
            accepted: AtomicU64::new(0),
            dropped_bytes: AtomicUsize::new(0),
            request_bytes: AtomicUsize::new(0),
            turns_away: AtomicBool::new(false),
        });
        let accept_shared = shared.clone();
        thread::spawn(move || accept(&listener, &accept_shared));
        Ok(Self { addr, shared })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes each connection after this many bytes from the server; `None` removes the limit.
    pub fn close_after_bytes(&self, bytes: Option<usize>) {
        let bytes = bytes.unwrap_or(UNLIMITED);
        self.shared.response_limit.store(bytes, Ordering::SeqCst);
    }

    /// Drops all further bytes of the connections that are open now. New connections are forwarded.
    pub fn black_hole(&self) {
        let next = self.accepted();
        self.shared.first_forwarding.store(next, Ordering::SeqCst);
    }

    /// Closes all connections without forwarding anything, or forwards new ones again.
    pub fn turn_away(&self, turns_away: bool) {
        self.shared.turns_away.store(turns_away, Ordering::SeqCst);
    }

    /// Number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::SeqCst)
    }

    /// Number of bytes that clients have sent so far.
    pub fn request_bytes(&self) -> usize {
        self.shared.request_bytes.load(Ordering::SeqCst)
    }

    /// Number of bytes dropped since `black_hole` was called.
    pub fn dropped_bytes(&self) -> usize {
        self.shared.dropped_bytes.load(Ordering::SeqCst)
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for client in listener.incoming().flatten() {
        let number = shared.accepted.fetch_add(1, Ordering::SeqCst);
        if shared.turns_away.load(Ordering::SeqCst) {
            continue;
        }
        let Ok(server) = TcpStream::connect(shared.target) else {
            continue;
        };
        let halves = (client.try_clone(), server.try_clone());
        let (Ok(client_read), Ok(server_read)) = halves else {
            continue;
        };
        let (requests, responses) = (shared.clone(), shared.clone());
        thread::spawn(move || copy(&requests, number, client_read, server, false));
        thread::spawn(move || copy(&responses, number, server_read, client, true));
    }
}

/// Forwards one direction of a connection.
fn copy(shared: &Shared, number: u64, mut from: TcpStream, mut to: TcpStream, is_response: bool) {
    let mut buf = [0; 16 << 10];
    let mut forwarded = 0;
    loop {
        let length = match from.read(&mut buf) {
            Ok(0) | Err(_) => break,
            Ok(length) => length,
        };
        if !is_response {
            shared.request_bytes.fetch_add(length, Ordering::SeqCst);
        }
        if shared.turns_away.load(Ordering::SeqCst) {
            break;
        }
        if number < shared.first_forwarding.load(Ordering::SeqCst) {
            shared.dropped_bytes.fetch_add(length, Ordering::SeqCst);
            continue;
        }
        let remaining = match shared.response_limit.load(Ordering::SeqCst) {
            limit if is_response && limit != UNLIMITED => limit.saturating_sub(forwarded),
            _ => UNLIMITED,
        };
        let allowed = length.min(remaining);
        if to.write_all(&buf[..allowed]).is_err() || allowed < length {
            break;
        }
        forwarded += allowed;
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
