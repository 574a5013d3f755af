//! Calls that wait for a decision of a [`SlotQueue`]. See `docs/platform.md`, "Admission".

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;

use crate::coordination::slot_queue::Admit;
use crate::coordination::slot_queue::Changes;
use crate::coordination::slot_queue::Offer;
use crate::coordination::slot_queue::SlotQueue;
use crate::coordination::slot_queue::Ticket;
use crate::node::clock::Clock;
use crate::protocol::name::RouteName;
use crate::sidecar::serving::NO_BACKEND_RETRY_AFTER;

/// A waiting call: its ticket, its route, and the channel for the decision.
type Waiting = (
    Ticket,
    RouteName,
    oneshot::Sender<Result<Admitted, Duration>>,
);

/// A queue for slots and the calls that wait in it.
pub struct AdmissionQueue {
    clock: Clock,
    queue: RefCell<SlotQueue>,
    /// Sorted by ticket.
    waiting: RefCell<Vec<Waiting>>,
    /// Whether waiting calls are about to be started because the limit of the backend server allows it.
    start_scheduled: Cell<bool>,
}

/// A slot, which is freed when the guard is dropped.
pub struct Admitted {
    admission: Rc<AdmissionQueue>,
    route: RouteName,
    /// Time for which the slot was used, if that says how long calls of the route take.
    pub run_time: Option<Duration>,
}

impl Drop for Admitted {
    fn drop(&mut self) {
        let now = self.admission.clock.now();
        let mut queue = self.admission.queue.borrow_mut();
        let changes = queue.finish(now, &self.route, self.run_time);
        drop(queue);
        self.admission.apply(changes);
        self.admission.schedule_limited_starts();
    }
}

/// Guard that removes a waiting call from the queue when it is cancelled.
struct WaitGuard<'a> {
    admission: &'a AdmissionQueue,
    ticket: Ticket,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.admission.queue.borrow_mut().cancel(self.ticket);
        // A decision that was sent but not received is dropped with the channel, which frees its slot.
        let waiting = self.admission.take(self.ticket);
        drop(waiting);
    }
}

impl AdmissionQueue {
    /// Creates a queue for `slots` slots.
    #[must_use]
    pub fn new(clock: Clock, slots: u32) -> Rc<Self> {
        Rc::new(Self {
            clock,
            queue: RefCell::new(SlotQueue::new(slots)),
            waiting: RefCell::default(),
            start_scheduled: Cell::new(false),
        })
    }

    /// Calls `f` with the queue. Waiting calls are not started; see [`Self::advance`].
    pub fn with<T>(&self, f: impl FnOnce(&mut SlotQueue) -> T) -> T {
        f(&mut self.queue.borrow_mut())
    }

    /// Starts waiting calls, for example after a change of the number of slots.
    pub fn advance(self: &Rc<Self>) {
        let changes = self.queue.borrow_mut().advance(self.clock.now());
        self.apply(changes);
        self.schedule_limited_starts();
    }

    /// Waits for a slot.
    ///
    /// # Errors
    /// The time after which a slot is expected to be free, if the call is refused.
    pub async fn admit(self: &Rc<Self>, offer: &Offer) -> Result<Admitted, Duration> {
        let now = self.clock.now();
        let decision = self.queue.borrow_mut().offer(now, offer);
        let (ticket, until) = match decision {
            Admit::Start => return Ok(self.admitted(offer.route.clone())),
            Admit::Refuse(retry_after) => return Err(retry_after),
            Admit::Wait(ticket, until) => (ticket, until),
        };
        let (tx, rx) = oneshot::channel();
        // Tickets ascend, so the list stays sorted.
        let waiting = (ticket, offer.route.clone(), tx);
        self.waiting.borrow_mut().push(waiting);
        let overtaken = self.queue.borrow_mut().refuse_overtaken(now, ticket);
        self.apply(overtaken);
        self.schedule_limited_starts();
        let guard = WaitGuard {
            admission: self,
            ticket,
        };
        let admitted = actix_rt::time::timeout(until.saturating_sub(now), rx).await;
        drop(guard);
        match admitted {
            Ok(Ok(decision)) => decision,
            // The wait ended without a decision of the queue.
            Ok(Err(_)) | Err(_) => Err(NO_BACKEND_RETRY_AFTER),
        }
    }

    /// Refuses all waiting calls at once, for example since the backend server may not be used any longer.
    pub fn refuse_waiting(&self) {
        for (_, _, tx) in self.waiting.take() {
            // The receiver is gone if the caller has cancelled the call.
            let _ = tx.send(Err(NO_BACKEND_RETRY_AFTER));
        }
    }

    fn admitted(self: &Rc<Self>, route: RouteName) -> Admitted {
        Admitted {
            admission: self.clone(),
            route,
            run_time: None,
        }
    }

    fn take(&self, ticket: Ticket) -> Option<Waiting> {
        let mut waiting = self.waiting.borrow_mut();
        let index = waiting.binary_search_by_key(&ticket, |(other, ..)| *other);
        Some(waiting.remove(index.ok()?))
    }

    /// Sends the decisions of the queue to the waiting calls.
    fn apply(self: &Rc<Self>, changes: Changes) {
        for (ticket, retry_after) in changes.refuse {
            if let Some((_, _, tx)) = self.take(ticket) {
                // The receiver is gone if the caller has cancelled the call.
                let _ = tx.send(Err(retry_after));
            }
        }
        for ticket in changes.start {
            let waiting = self.take(ticket);
            let route = waiting.as_ref().map(|(_, route, _)| route.clone());
            let admitted = self.admitted(route.unwrap_or_else(|| RouteName::from("")));
            if let Some((_, _, tx)) = waiting {
                // If the call was cancelled, the guard comes back and frees the slot again.
                let _ = tx.send(Ok(admitted));
            }
        }
    }

    /// Starts waiting calls as soon as the limit of the backend server allows it.
    fn schedule_limited_starts(self: &Rc<Self>) {
        let now = self.clock.now();
        let Some(at) = self.queue.borrow().next_start_at(now) else {
            return;
        };
        if self.start_scheduled.replace(true) {
            return;
        }
        let admission = self.clone();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(at.saturating_sub(now)).await;
            admission.start_scheduled.set(false);
            admission.advance();
        });
    }
}
