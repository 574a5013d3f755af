//! Bound on the memory of all bodies that a process holds at a time.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that the bodies of one direction may occupy together.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    held: Rc<Cell<usize>>,
    max_bytes: usize,
}

/// Bytes that one body occupies. They are free again when it is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    budget: BodyBudget,
    bytes: usize,
}

impl BodyBudget {
    /// Creates a budget of `max_bytes`.
    #[must_use]
    pub fn new(max_bytes: usize) -> Self {
        Self {
            held: Rc::default(),
            max_bytes,
        }
    }

    /// Starts to count a body, which is empty at first.
    #[must_use]
    pub fn hold(&self) -> HeldBytes {
        HeldBytes {
            budget: self.clone(),
            bytes: 0,
        }
    }

    /// Returns the bytes of all bodies.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.held.get()
    }
}

impl HeldBytes {
    /// Sets the size of the body. Returns whether all bodies together fit into the budget.
    pub fn set(&mut self, bytes: usize) -> bool {
        let held = self.budget.held.get() - self.bytes + bytes;
        self.budget.held.set(held);
        self.bytes = bytes;
        held <= self.budget.max_bytes
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}
