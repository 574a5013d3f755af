//! Bound on the memory of all bodies that a process holds at a time.

use std::cell::Cell;
use std::rc::Rc;

use crate::transport::client_memory::ClientMemory;
use crate::transport::client_memory::HeldMemory;

/// Bytes that the bodies of one direction may occupy together.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    held: Rc<Cell<usize>>,
    max_bytes: usize,
    /// Bytes of each body that are not counted.
    uncounted_bytes: usize,
    /// Account of all that clients hold, if these bodies belong to it.
    memory: Option<ClientMemory>,
}

/// Bytes that one body occupies. They are free again when it is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: BodyBudget,
    counted: usize,
    memory: Option<HeldMemory>,
}

impl BodyBudget {
    /// Creates a budget of `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            held: Rc::default(),
            max_bytes,
            uncounted_bytes: 0,
            memory: None,
        }
    }

    /// Leaves the first bytes of each body uncounted, so that a few large bodies do not keep small ones out.
    /// The number of bodies needs a bound of its own.
    #[must_use]
    pub fn with_uncounted_bytes(self, uncounted_bytes: usize) -> Self {
        Self {
            uncounted_bytes,
            ..self
        }
    }

    /// Creates a budget of the bodies of clients, which count in the account of all that clients hold.
    #[must_use]
    pub fn of_clients(memory: &ClientMemory) -> Self {
        Self {
            memory: Some(memory.clone()),
            ..Self::new(memory.bounded_bytes())
        }
    }

    /// Starts to count a body, which is empty at first.
    #[must_use]
    pub fn hold(&self) -> HeldBytes {
        HeldBytes {
            budget: self.clone(),
            counted: 0,
            memory: self.memory.as_ref().map(ClientMemory::hold_body),
        }
    }

    /// Returns the counted bytes of all bodies.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.held.get()
    }
}

impl HeldBytes {
    /// Sets the size of the body. Returns whether all bodies together fit into the budget.
    pub fn set(&mut self, bytes: usize) -> bool {
        let counted = bytes.saturating_sub(self.budget.uncounted_bytes);
        let held = self.budget.held.get() - self.counted + counted;
        self.budget.held.set(held);
        self.counted = counted;
        let fits = self
            .memory
            .as_mut()
            .is_none_or(|memory| memory.set_body(bytes));
        fits && (counted == 0 || held <= self.budget.max_bytes)
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}
