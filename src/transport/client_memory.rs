//! Account of the memory that clients make a process hold. See `docs/design/misbehaving-clients.md`.
//!
//! A request costs memory from its head until its response is sent, and clients decide how many there are. One
//! account for all of them keeps a process within the memory of its instance.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::IpAddr;
use std::rc::Rc;

use tokio::sync::Notify;

/// Memory of a process without clients, MB: program, configuration, connections to other nodes.
const BASE_MB: f64 = 24.0;
/// Share of the other memory that clients may use. The rest is for responses that are being received and for
/// what the allocator cannot reuse. On an instance of 160 MB a body of 64 MiB fits.
const CLIENT_SHARE: f64 = 0.6;
/// Smallest account, bytes.
const MIN_BYTES: usize = 8 << 20;
/// Eighths of the account that large bodies, or one address, may use.
const BOUNDED_EIGHTHS: usize = 7;
/// Largest body that may use the rest as well, bytes.
pub const SMALL_BODY_BYTES: usize = 64 << 10;
/// Part of the account that one connection may use for requests that it sends ahead.
const AHEAD_PARTS: usize = 64;

/// Returns the bytes that clients may use on an instance with so many MB.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float saturates at the bounds of the integer"
)]
pub fn account_bytes(memory_mb: f64) -> usize {
    let bytes = (memory_mb - BASE_MB) * CLIENT_SHARE * 1e6;
    (bytes as usize).max(MIN_BYTES)
}

/// Events at the limits of clients since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ClientCounts {
    /// Requests refused as not run.
    pub refused: u64,
    /// Connections that had to end to make room.
    pub evicted: u64,
    /// New connections closed at once, with no other that could make room.
    pub rejected: u64,
}

#[derive(Debug)]
struct Account {
    max_bytes: usize,
    held: Cell<usize>,
    counts: Cell<ClientCounts>,
    connections: RefCell<Vec<Rc<Holder>>>,
}

/// What one connection holds.
#[derive(Debug)]
struct Holder {
    addr: Option<IpAddr>,
    /// Number of the port.
    port: usize,
    held: Cell<usize>,
    /// Received bytes of the body that is being read, which its reader counts in the account.
    body: Cell<usize>,
    /// Whether the client is the reason that the memory is held.
    waits_for_client: Cell<bool>,
    evicted: Notify,
}

impl Holder {
    fn bytes(&self) -> usize {
        self.held.get() + self.body.get()
    }
}

/// The account of a process.
#[derive(Clone, Debug)]
pub struct ClientMemory(Rc<Account>);

/// Part of one connection in the account.
#[derive(Debug)]
pub struct ConnectionMemory {
    account: ClientMemory,
    holder: Rc<Holder>,
}

/// Bytes that are counted until they are dropped.
#[derive(Debug)]
pub struct HeldMemory {
    account: ClientMemory,
    holder: Option<Rc<Holder>>,
    bytes: usize,
}

impl ClientMemory {
    /// Creates an account of `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self(Rc::new(Account {
            max_bytes,
            held: Cell::default(),
            counts: Cell::default(),
            connections: RefCell::default(),
        }))
    }

    /// Returns the bytes that are held.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.0.held.get()
    }

    /// Returns the events at the limits of clients.
    #[must_use]
    pub fn counts(&self) -> ClientCounts {
        self.0.counts.get()
    }

    /// Counts a request that is refused as not run.
    pub fn count_refused(&self) {
        self.count(|counts| counts.refused += 1);
    }

    /// Counts a new connection that is closed at once.
    pub fn count_rejected(&self) {
        self.count(|counts| counts.rejected += 1);
    }

    fn count(&self, change: impl FnOnce(&mut ClientCounts)) {
        let mut counts = self.0.counts.get();
        change(&mut counts);
        self.0.counts.set(counts);
    }

    /// Adds a connection to a port. The numbers of ports distinguish them for [`Self::evict_oldest`].
    #[must_use]
    pub fn connect(&self, addr: Option<IpAddr>, port: usize) -> ConnectionMemory {
        let holder = Rc::new(Holder {
            addr,
            port,
            held: Cell::default(),
            body: Cell::default(),
            waits_for_client: Cell::default(),
            evicted: Notify::new(),
        });
        self.0.connections.borrow_mut().push(holder.clone());
        ConnectionMemory {
            account: self.clone(),
            holder,
        }
    }

    /// Starts to count a body, which is empty at first.
    #[must_use]
    pub fn hold_body(&self) -> HeldMemory {
        HeldMemory {
            account: self.clone(),
            holder: None,
            bytes: 0,
        }
    }

    /// Returns the largest size of a body, or of what one address holds.
    #[must_use]
    pub fn bounded_bytes(&self) -> usize {
        self.0.max_bytes / 8 * BOUNDED_EIGHTHS
    }

    fn address_bytes(&self, addr: Option<IpAddr>) -> usize {
        let connections = self.0.connections.borrow();
        let same = connections.iter().filter(|holder| holder.addr == addr);
        same.map(|holder| holder.bytes()).sum()
    }

    /// Ends the oldest connection of a port that waits for its client. Returns whether there is one.
    #[must_use]
    pub fn evict_oldest(&self, port: usize) -> bool {
        let connections = self.0.connections.borrow();
        let mut waiting = connections
            .iter()
            .filter(|holder| holder.port == port && holder.waits_for_client.get());
        let oldest = waiting.next();
        if let Some(oldest) = oldest {
            // It is chosen once.
            oldest.waits_for_client.set(false);
            self.count(|counts| counts.evicted += 1);
            oldest.evicted.notify_one();
        }
        oldest.is_some()
    }

    /// Ends the connection that holds most because of its client, of those that may be chosen.
    fn evict_largest(&self, may_end: impl Fn(&Rc<Holder>) -> bool) {
        let connections = self.0.connections.borrow();
        let waiting = connections
            .iter()
            .filter(|holder| holder.waits_for_client.get() && may_end(holder));
        if let Some(largest) = waiting.max_by_key(|holder| holder.bytes()) {
            // It is chosen once.
            largest.waits_for_client.set(false);
            self.count(|counts| counts.evicted += 1);
            largest.evicted.notify_one();
        }
    }
}

impl ConnectionMemory {
    /// Counts bytes for a request, if they fit; otherwise the largest holder that waits for its client loses its
    /// connection, so that there is room soon. Only a larger one than this connection: a request must not end
    /// those of others that are idle, or its own, whose client has to learn that it has not run.
    #[must_use]
    pub fn try_hold(&self, bytes: usize) -> Option<HeldMemory> {
        let account = &self.account;
        let held = account.held_bytes() + bytes;
        let fits = held <= account.0.max_bytes;
        let is_address_full = held > account.0.max_bytes / 2
            && account.address_bytes(self.holder.addr) + bytes > account.bounded_bytes();
        if !fits || is_address_full {
            // The connections of other addresses make no room for an address that has its part.
            account.evict_largest(|other| {
                other.bytes() > self.holder.bytes() && (!fits || other.addr == self.holder.addr)
            });
            return None;
        }
        Some(self.hold(bytes))
    }

    /// Counts bytes for a request that is sent ahead, if there is room to spare.
    #[must_use]
    pub fn try_hold_ahead(&self, bytes: usize) -> Option<HeldMemory> {
        let max_bytes = self.account.0.max_bytes;
        let fits = self.account.held_bytes() + bytes <= max_bytes / 2
            && self.holder.held.get() + bytes <= max_bytes / AHEAD_PARTS;
        fits.then(|| self.hold(bytes))
    }

    /// Counts bytes in any case.
    #[must_use]
    pub fn hold(&self, bytes: usize) -> HeldMemory {
        let mut held = HeldMemory {
            account: self.account.clone(),
            holder: Some(self.holder.clone()),
            bytes: 0,
        };
        held.replace(bytes);
        held
    }

    /// Sets whether the client is the reason that memory is held.
    pub fn set_waiting(&self, is_waiting: bool) {
        self.holder.waits_for_client.set(is_waiting);
    }

    /// Sets the received bytes of the body that is being read.
    pub fn set_body(&self, bytes: usize) {
        self.holder.body.set(bytes);
    }

    /// Returns the received bytes of the body that is being read.
    #[must_use]
    pub fn body(&self) -> usize {
        self.holder.body.get()
    }

    /// Waits until the connection has to end to make room.
    pub async fn evicted(&self) {
        self.holder.evicted.notified().await;
    }
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        let mut connections = self.account.0.connections.borrow_mut();
        connections.retain(|holder| !Rc::ptr_eq(holder, &self.holder));
    }
}

impl HeldMemory {
    fn replace(&mut self, bytes: usize) {
        let held = self.account.held_bytes() - self.bytes + bytes;
        self.account.0.held.set(held);
        if let Some(holder) = &self.holder {
            holder.held.set(holder.held.get() - self.bytes + bytes);
        }
        self.bytes = bytes;
    }

    /// Sets the size in any case. If the account is exceeded, the largest holder that waits for its client loses
    /// its connection.
    pub fn set(&mut self, bytes: usize) {
        self.replace(bytes);
        if self.account.held_bytes() > self.account.0.max_bytes {
            self.account.evict_largest(|_| true);
        }
    }

    /// Sets the size of a body. Returns whether it fits.
    pub fn set_body(&mut self, bytes: usize) -> bool {
        let grows = bytes > self.bytes;
        self.replace(bytes);
        let max_bytes = if bytes <= SMALL_BODY_BYTES {
            self.account.0.max_bytes
        } else {
            self.account.bounded_bytes()
        };
        !grows || self.account.held_bytes() <= max_bytes
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.replace(0);
    }
}
