//! Requests that the backend server beside this node has answered, see `docs/design.md`, section 3,
//! "A request that crashes backend servers".
//!
//! A crash ends all calls that run on the backend server. A frequent request is among them at most
//! crashes, and must not be quarantined for it.

/// Fingerprints in each of the two generations, 32 KiB together.
const GENERATION: usize = 2_048;
/// Crashes of answered requests that are remembered; a backend server with 10 slots adds at most 10
/// at once.
const MAX_EXCUSED: usize = 256;

/// Fingerprints of answered requests.
#[derive(Clone, Debug, Default)]
pub struct Answered {
    /// Sorted.
    recent: Vec<u64>,
    /// Sorted; replaced when `recent` is full.
    older: Vec<u64>,
    /// Requests that have not been answered since they were in a crash, each with the start of the
    /// backend server that crashed, oldest first.
    excused: Vec<(u64, u64)>,
}

impl Answered {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a request was answered.
    pub fn on_answered(&mut self, fingerprint: u64) {
        let Err(at) = self.recent.binary_search(&fingerprint) else {
            return;
        };
        self.recent.insert(at, fingerprint);
        self.excused.retain(|(known, _)| *known != fingerprint);
        if self.recent.len() >= GENERATION {
            self.older = std::mem::take(&mut self.recent);
        }
    }

    /// Tells whether a request that ended with a crash may be its cause. One that was answered before
    /// is excused once; if it is in the next crash without an answer in between, it is suspected.
    pub fn is_suspect(&mut self, fingerprint: u64, backend_start: u64) -> bool {
        let mut answered = false;
        for known in [&mut self.recent, &mut self.older] {
            if let Ok(at) = known.binary_search(&fingerprint) {
                known.remove(at);
                answered = true;
            }
        }
        if answered {
            if self.excused.len() >= MAX_EXCUSED {
                self.excused.remove(0);
            }
            self.excused.push((fingerprint, backend_start));
        }
        !self.excused.contains(&(fingerprint, backend_start))
    }
}
