//! Proxy on the loopback interface that delays, resets, cuts or silences the connections through it.

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

/// What a proxy does to its connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkFault {
    /// Nothing.
    None,
    /// Each piece of data comes later by up to this time.
    Delay(Duration),
    /// Open connections are reset, and new ones as soon as they are accepted.
    Reset,
    /// Data towards the server is dropped; the other way works.
    CutRequests,
    /// Data from the server is dropped; the other way works.
    CutAnswers,
    /// Nothing passes, new connections included.
    Silence,
}

struct Link {
    to: SocketAddr,
    fault: Cell<LinkFault>,
    changed: Notify,
    rng: RefCell<StdRng>,
}

/// A running proxy; it ends with the thread's runtime.
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
            changed: Notify::new(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
        });
        let accepting = link.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                actix_rt::spawn(connect(accepting.clone(), stream));
            }
        });
        Ok(Self(link))
    }

    /// Sets the fault of the link.
    pub fn set(&self, fault: LinkFault) {
        self.0.fault.set(fault);
        self.0.changed.notify_waiters();
    }
}

async fn connect(link: Rc<Link>, client: TcpStream) {
    if link.fault.get() == LinkFault::Reset {
        reset(client);
        return;
    }
    while link.fault.get() == LinkFault::Silence {
        link.changed.notified().await;
    }
    let Ok(server) = TcpStream::connect(link.to).await else {
        reset(client);
        return;
    };
    // Without it small messages wait for delayed acknowledgements.
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    let requests = actix_rt::spawn(pass(
        link.clone(),
        from_client,
        to_server,
        LinkFault::CutRequests,
    ));
    let answers = actix_rt::spawn(pass(link, from_server, to_client, LinkFault::CutAnswers));
    // Each way ends by itself; the first one that breaks takes the other along.
    let (Ok(first), Ok(second)) = (requests.await, answers.await) else {
        return;
    };
    let _ = (first, second);
}

/// Passes data one way until the connection ends or is reset. `cut` is the fault that drops it.
async fn pass(link: Rc<Link>, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, cut: LinkFault) {
    let mut buf = vec![0; 16 << 10];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buf) => read,
            () = link.changed.notified() => {
                if link.fault.get() == LinkFault::Reset {
                    linger(to.as_ref());
                    linger(from.as_ref());
                    return;
                }
                continue;
            }
        };
        let Ok(size @ 1..) = read else {
            // An end or a reset; dropping the half passes the end on.
            return;
        };
        let mut fault = link.fault.get();
        while fault == LinkFault::Silence {
            link.changed.notified().await;
            fault = link.fault.get();
        }
        match fault {
            LinkFault::Delay(longest) => {
                let share = link.rng.borrow_mut().random_range(0.0..1.0);
                actix_rt::time::sleep(longest.mul_f64(share)).await;
            }
            LinkFault::Reset => {
                linger(to.as_ref());
                linger(from.as_ref());
                return;
            }
            fault if fault == cut => continue,
            _ => {}
        }
        if to.write_all(&buf[..size]).await.is_err() {
            return;
        }
    }
}

/// Makes the end of a connection a reset.
fn linger(stream: &TcpStream) {
    // A connection that has ended cannot be reset any more.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

fn reset(stream: TcpStream) {
    linger(&stream);
    drop(stream);
}
