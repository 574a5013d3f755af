//! Whether a process without a configuration asks another node for the topics while it reads them from the store.
//!
//! Both transfers would share the link of the instance: a configuration of 417 kB takes 0.45 s from the store at
//! 10 Mbit/s, and 0.8 s next to a transfer from another node. The other node is therefore asked only while the store
//! does not answer.

use std::time::Duration;

/// Time without a byte of the store after which another node is asked. A healthy store answers in 4 ms, and a
/// process on 0.1 cores may be suspended for up to 0.1 s at a time, also while it opens the connection. The transfer
/// from the other node takes 0.35 s at 10 Mbit/s and ends well within the time for which requests are held.
pub const MAX_SILENCE: Duration = Duration::from_millis(300);

/// How the store answers the reads of one topic.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreAnswer {
    /// Time at which the last read began or the last bytes of its response arrived.
    last_sign: Duration,
    /// Whether a read has failed and nothing has arrived since.
    failed: bool,
}

impl StoreAnswer {
    /// Handles the start of a read.
    pub fn on_call(&mut self, now: Duration) {
        self.last_sign = now;
    }

    /// Handles bytes of a response.
    pub fn on_receive(&mut self, now: Duration) {
        self.last_sign = now;
        self.failed = false;
    }

    /// Handles a read that failed. A later read that has not been answered does not change this, since a store that
    /// cannot be reached would otherwise delay the request to another node at each attempt.
    pub fn on_failure(&mut self) {
        self.failed = true;
    }

    /// Whether the last read that has ended or was answered has failed.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.failed
    }

    /// Returns this state with the last sign of the store in the answers of another topic, if that is later.
    #[must_use]
    pub fn with_sign_of(self, other: Self) -> Self {
        Self {
            last_sign: self.last_sign.max(other.last_sign),
            ..self
        }
    }

    /// Returns the time since the last sign of the store.
    #[must_use]
    pub fn silence(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_sign)
    }

    /// Returns the time at which another node is asked unless the store answers before.
    #[must_use]
    pub fn ask_peer_at(&self) -> Duration {
        if self.failed {
            Duration::ZERO
        } else {
            self.last_sign + MAX_SILENCE
        }
    }
}
