//! Calls whose connection to the local backend server broke, until it is known whether the backend server
//! has crashed. See `docs/platform.md`, "Requests that crash backend servers".
//!
//! A connection also breaks if a faulty backend server breaks off a response, so a broken call alone says
//! nothing. A crash breaks all calls that run, and any of them may be its cause.

use crate::protocol::fleet::Incarnation;

/// Broken calls of one incarnation that are kept. One with 10 slots has about 10.
const MAX_BROKEN_CALLS: usize = 64;

/// Broken calls of the incarnation that is being checked.
#[derive(Debug, Default)]
pub struct CrashWatch {
    checked: Option<Incarnation>,
    /// Fingerprints of the calls, without duplicates.
    fingerprints: Vec<u64>,
}

impl CrashWatch {
    /// Records a broken call. Returns whether a check of the backend server has to begin; at most one runs
    /// at a time.
    pub fn on_broken(&mut self, incarnation: &Incarnation, fingerprint: u64) -> bool {
        let is_checked = self.checked.as_ref() == Some(incarnation);
        if !is_checked {
            self.checked = Some(incarnation.clone());
            self.fingerprints.clear();
        }
        if !self.fingerprints.contains(&fingerprint) && self.fingerprints.len() < MAX_BROKEN_CALLS {
            self.fingerprints.push(fingerprint);
        }
        !is_checked
    }

    /// Ends the check of an incarnation and returns the fingerprints of its broken calls.
    pub fn finish(&mut self, incarnation: &Incarnation) -> Vec<u64> {
        if self
            .checked
            .take_if(|checked| checked == incarnation)
            .is_none()
        {
            return Vec::new();
        }
        std::mem::take(&mut self.fingerprints)
    }
}
