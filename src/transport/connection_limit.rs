//! Limit on the connections that a process opens itself. See `docs/design/misbehaving-clients.md`, "Outgoing
//! connections".

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::sync::Mutex;
use tokio::sync::MutexGuard;
use tokio::sync::Notify;

/// Connections to one peer that others cannot take.
#[derive(Clone, Copy, Debug)]
struct Reserved {
    addr: SocketAddr,
    connections: usize,
}

/// Connections to the peer with reserved ones, or to all others. Each kind waits in a queue of its own, so that calls
/// to other nodes do not hold up those to the backend server.
#[derive(Debug, Default)]
struct Kind {
    open: Cell<usize>,
    /// Held by the first one that waits; the others wait for it in their order.
    turn: Mutex<()>,
    /// Signals that a connection was closed or became idle.
    changed: Notify,
}

/// Events at the limit since the start of the process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LimitCounts {
    /// Idle connections that were closed for others.
    pub idle_closed: u64,
    /// Requests that were not sent.
    pub not_sent: u64,
}

#[derive(Debug, Default)]
struct Kinds {
    reserved: Kind,
    others: Kind,
}

/// Limit on the open connections of a pool, idle ones included.
#[derive(Debug)]
pub struct ConnectionLimit {
    max_connections: usize,
    reserved: Option<Reserved>,
    kinds: Rc<Kinds>,
    counts: Cell<LimitCounts>,
}

/// Permission for one connection until it is dropped.
#[derive(Debug)]
pub struct ConnectionSlot {
    kinds: Rc<Kinds>,
    is_reserved: bool,
}

impl ConnectionLimit {
    /// Creates a limit without reserved connections.
    #[must_use]
    pub fn new(max_connections: usize) -> Self {
        Self {
            max_connections,
            reserved: None,
            kinds: Rc::default(),
            counts: Cell::default(),
        }
    }

    /// Reserves some of the connections for a peer, which may take more of them while they are free.
    #[must_use]
    pub fn with_reserved(self, addr: SocketAddr, connections: usize) -> Self {
        let connections = connections.min(self.max_connections);
        Self {
            reserved: Some(Reserved { addr, connections }),
            ..self
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.kinds.reserved.open.get() + self.kinds.others.open.get()
    }

    /// Returns the events at the limit.
    #[must_use]
    pub fn counts(&self) -> LimitCounts {
        self.counts.get()
    }

    /// Counts an idle connection that is closed for another one.
    pub fn count_idle_closed(&self) {
        self.count(|counts| counts.idle_closed += 1);
    }

    /// Counts a request that is not sent.
    pub fn count_not_sent(&self) {
        self.count(|counts| counts.not_sent += 1);
    }

    fn count(&self, change: impl FnOnce(&mut LimitCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    fn is_reserved(&self, addr: SocketAddr) -> bool {
        self.reserved.is_some_and(|reserved| reserved.addr == addr)
    }

    fn kind(&self, addr: SocketAddr) -> &Kind {
        self.kinds.of(self.is_reserved(addr))
    }

    /// Whether the other peers have all connections that are not reserved.
    fn are_others_full(&self) -> bool {
        let reserved = self.reserved.map_or(0, |reserved| reserved.connections);
        self.kinds.others.open.get() >= self.max_connections - reserved
    }

    /// Takes the permission for a connection to a peer, if there is one.
    #[must_use]
    pub fn try_take(&self, addr: SocketAddr) -> Option<ConnectionSlot> {
        let is_reserved = self.is_reserved(addr);
        let is_full = self.open_connections() >= self.max_connections;
        if is_full || (!is_reserved && self.are_others_full()) {
            return None;
        }
        let open = &self.kinds.of(is_reserved).open;
        open.set(open.get() + 1);
        Some(ConnectionSlot {
            kinds: self.kinds.clone(),
            is_reserved,
        })
    }

    /// Whether closing a connection to `other` makes room for one to `addr`.
    #[must_use]
    pub fn makes_room(&self, other: SocketAddr, addr: SocketAddr) -> bool {
        self.is_reserved(addr) || !self.are_others_full() || !self.is_reserved(other)
    }

    /// Waits for the turn to take a connection to a peer.
    pub async fn turn(&self, addr: SocketAddr) -> MutexGuard<'_, ()> {
        self.kind(addr).turn.lock().await
    }

    /// Waits until a connection was closed or became idle since the last call. Needs the turn.
    pub async fn changed(&self, addr: SocketAddr) {
        self.kind(addr).changed.notified().await;
    }

    /// Signals that a connection became idle.
    pub fn on_idle(&self) {
        self.kinds.notify();
    }
}

impl Kinds {
    fn of(&self, is_reserved: bool) -> &Kind {
        if is_reserved {
            &self.reserved
        } else {
            &self.others
        }
    }

    fn notify(&self) {
        self.reserved.changed.notify_one();
        self.others.changed.notify_one();
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let open = &self.kinds.of(self.is_reserved).open;
        open.set(open.get() - 1);
        self.kinds.notify();
    }
}
