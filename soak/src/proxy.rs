//! TCP proxy on the loopback interface that delays, resets or stalls the connections through it, or drops
//! the data of one direction.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;

/// Fault that a proxy injects into its connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkFault {
    /// No fault.
    None,
    /// Each piece of data is delayed by a random time of up to this one.
    Delay(Duration),
    /// Open connections are reset, and new ones after they are accepted.
    Reset,
    /// Data to the server is dropped; the other direction works.
    DropRequests,
    /// Data from the server is dropped; the other direction works.
    DropResponses,
    /// No data is forwarded until the fault ends, on open and new connections.
    Stall,
}

struct Link {
    to: SocketAddr,
    fault: Cell<LinkFault>,
    /// How often the open connections were silenced.
    silenced: Cell<u32>,
    changed: Notify,
    rng: RefCell<StdRng>,
}

/// A running proxy; it stops with the runtime of its thread.
#[derive(Clone)]
pub struct Proxy(Rc<Link>);

impl Proxy {
    /// Starts a proxy from `listen` to `to`.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub async fn start(listen: SocketAddr, to: SocketAddr, seed: u64) -> eyre::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let link = Rc::new(Link {
            to,
            fault: Cell::new(LinkFault::None),
            silenced: Cell::new(0),
            changed: Notify::new(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
        });
        let accepting = link.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(handle_connection(accepting.clone(), stream));
            }
        });
        Ok(Self(link))
    }

    /// Sets the fault of the link.
    pub fn set_fault(&self, fault: LinkFault) {
        self.0.fault.set(fault);
        self.0.changed.notify_waiters();
    }

    /// Makes the open connections silent for good: neither data nor their end is forwarded any more. New
    /// connections work.
    pub fn silence_connections(&self) {
        self.0.silenced.set(self.0.silenced.get() + 1);
        self.0.changed.notify_waiters();
    }
}

async fn handle_connection(link: Rc<Link>, client: TcpStream) {
    if link.fault.get() == LinkFault::Reset {
        close_with_reset(client);
        return;
    }
    while link.fault.get() == LinkFault::Stall {
        link.changed.notified().await;
    }
    let Ok(server) = TcpStream::connect(link.to).await else {
        close_with_reset(client);
        return;
    };
    // Nagle's algorithm would hold small messages back until the peer's delayed acknowledgement.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let requests = actix_rt::spawn(forward(
        link.clone(),
        from_client,
        to_server,
        LinkFault::DropRequests,
    ));
    let responses = actix_rt::spawn(forward(
        link,
        from_server,
        to_client,
        LinkFault::DropResponses,
    ));
    // The end of one direction closes its write half, so that the peer ends the other direction.
    let (Ok(first), Ok(second)) = (requests.await, responses.await) else {
        return;
    };
    let _ = (first, second);
}

/// Forwards data in one direction until the connection ends or is reset. `drop_fault` is the fault that
/// drops the data of this direction.
async fn forward(
    link: Rc<Link>,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    drop_fault: LinkFault,
) {
    let mut buf = vec![0; 16 << 10];
    let silenced_before = link.silenced.get();
    loop {
        if link.silenced.get() != silenced_before {
            // Both halves stay open, so that neither side notices.
            return std::future::pending().await;
        }
        let read = tokio::select! {
            read = from.read(&mut buf) => read,
            () = link.changed.notified() => {
                if link.fault.get() == LinkFault::Reset {
                    reset_on_close(to.as_ref());
                    reset_on_close(from.as_ref());
                    return;
                }
                continue;
            }
        };
        if link.silenced.get() != silenced_before {
            continue;
        }
        let Ok(size @ 1..) = read else {
            // The connection ended or was reset; dropping the write half passes that on.
            return;
        };
        let mut fault = link.fault.get();
        while fault == LinkFault::Stall {
            link.changed.notified().await;
            fault = link.fault.get();
        }
        match fault {
            LinkFault::Delay(max_delay) => {
                let fraction = link.rng.borrow_mut().random_range(0.0..1.0);
                actix_rt::time::sleep(max_delay.mul_f64(fraction)).await;
            }
            LinkFault::Reset => {
                reset_on_close(to.as_ref());
                reset_on_close(from.as_ref());
                return;
            }
            fault if fault == drop_fault => continue,
            _ => {}
        }
        if to.write_all(&buf[..size]).await.is_err() {
            return;
        }
    }
}

/// Makes the close of a connection send a reset.
fn reset_on_close(stream: &TcpStream) {
    // Fails only if the connection has ended already.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

fn close_with_reset(stream: TcpStream) {
    reset_on_close(&stream);
    drop(stream);
}
