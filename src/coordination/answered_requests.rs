//! Requests that the backend server beside this node has answered, see `docs/design.md`, section 3,
//! "A request that crashes backend servers".
//!
//! A crash ends all calls that run on the backend server. A frequent request is among them in most
//! crashes and must not be quarantined for that.

/// Fingerprints in each of the two generations, which take 32 KiB together.
const GENERATION_SIZE: usize = 2_048;
/// Exempted requests that are stored; a crash of a backend server with 10 slots adds at most 10.
const MAX_EXEMPTED: usize = 256;

/// Fingerprints of answered requests.
#[derive(Clone, Debug, Default)]
pub struct AnsweredRequests {
    /// Sorted.
    recent: Vec<u64>,
    /// Sorted; replaced when `recent` is full.
    older: Vec<u64>,
    /// Requests that were answered before a crash and not again since then, each with the start of
    /// the backend server that crashed, oldest first.
    exempted: Vec<(u64, u64)>,
}

impl AnsweredRequests {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request was answered.
    pub fn on_answered(&mut self, fingerprint: u64) {
        let Err(at) = self.recent.binary_search(&fingerprint) else {
            return;
        };
        self.recent.insert(at, fingerprint);
        self.exempted.retain(|(known, _)| *known != fingerprint);
        if self.recent.len() >= GENERATION_SIZE {
            self.older = std::mem::take(&mut self.recent);
        }
    }

    /// Whether a request that ran during a crash may be its cause. A request that was answered
    /// before is exempted once; if it is in the next crash without an answer in between, it is
    /// suspect.
    pub fn is_suspect(&mut self, fingerprint: u64, backend_start: u64) -> bool {
        let mut answered = false;
        for generation in [&mut self.recent, &mut self.older] {
            if let Ok(at) = generation.binary_search(&fingerprint) {
                generation.remove(at);
                answered = true;
            }
        }
        if answered {
            if self.exempted.len() >= MAX_EXEMPTED {
                self.exempted.remove(0);
            }
            self.exempted.push((fingerprint, backend_start));
        }
        !self.exempted.contains(&(fingerprint, backend_start))
    }
}
