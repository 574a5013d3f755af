//! TCP forwarder that cuts connections or drops bytes silently.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

/// Value of `cut_after` that lets answers pass whole.
const NEVER: usize = usize::MAX;

#[derive(Debug)]
struct Shared {
    to: SocketAddr,
    /// Bytes of an answer after which its connection is cut.
    cut_after: AtomicUsize,
    /// Connections with a lower number forward nothing any more.
    first_working: AtomicU64,
    accepted: AtomicU64,
    dropped_bytes: AtomicUsize,
}

/// A running forwarder; it ends with the process of the test.
#[derive(Debug)]
pub struct Forwarder {
    addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Forwarder {
    /// Starts to forward connections to `to`.
    pub fn start(to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            to,
            cut_after: AtomicUsize::new(NEVER),
            first_working: AtomicU64::new(0),
            accepted: AtomicU64::new(0),
            dropped_bytes: AtomicUsize::new(0),
        });
        let accepting = shared.clone();
        thread::spawn(move || accept(&listener, &accepting));
        Ok(Self { addr, shared })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Cuts each connection after this many bytes of answers, or none.
    pub fn cut_after(&self, bytes: Option<usize>) {
        let bytes = bytes.unwrap_or(NEVER);
        self.shared.cut_after.store(bytes, Ordering::SeqCst);
    }

    /// Drops all bytes of the connections that are open now; new ones work.
    pub fn black_hole(&self) {
        let next = self.accepted();
        self.shared.first_working.store(next, Ordering::SeqCst);
    }

    /// Connections so far.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::SeqCst)
    }

    /// Bytes that were dropped silently.
    pub fn dropped_bytes(&self) -> usize {
        self.shared.dropped_bytes.load(Ordering::SeqCst)
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for client in listener.incoming().flatten() {
        let number = shared.accepted.fetch_add(1, Ordering::SeqCst);
        let Ok(server) = TcpStream::connect(shared.to) else {
            continue;
        };
        let halves = (client.try_clone(), server.try_clone());
        let (Ok(client_read), Ok(server_read)) = halves else {
            continue;
        };
        let (up, down) = (shared.clone(), shared.clone());
        thread::spawn(move || copy(&up, number, client_read, server, false));
        thread::spawn(move || copy(&down, number, server_read, client, true));
    }
}

fn copy(shared: &Shared, number: u64, mut from: TcpStream, mut to: TcpStream, answers: bool) {
    let mut buf = [0; 16 << 10];
    let mut forwarded = 0;
    loop {
        let length = match from.read(&mut buf) {
            Ok(0) | Err(_) => break,
            Ok(length) => length,
        };
        if number < shared.first_working.load(Ordering::SeqCst) {
            shared.dropped_bytes.fetch_add(length, Ordering::SeqCst);
            continue;
        }
        let left = match shared.cut_after.load(Ordering::SeqCst) {
            limit if answers && limit != NEVER => limit.saturating_sub(forwarded),
            _ => NEVER,
        };
        let part = length.min(left);
        if to.write_all(&buf[..part]).is_err() || part < length {
            break;
        }
        forwarded += part;
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
