//! Evacuated failure domains, whose backend servers get no requests. See `docs/design/homes-and-evacuation.md`.
//!
//! An evacuation ends with a record without a value, or when the store no longer has its key. The second case is
//! seen only by what a complete reading of the topic leaves out. Such a reading may lack a record that was appended
//! just before it, so a key that it leaves out beyond its end stays in force until the records there were read.

use std::time::Duration;

use crate::protocol::name::DomainName;

/// Interval at which the newest records are read again during an evacuation, since a running node would not notice
/// otherwise that the store has dropped the key without a record.
pub const RECHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Age of a record from which on the newest records show it. A slow store lists a record a moment after it has
/// appended it.
const LISTED_AFTER: Duration = Duration::from_secs(5);

/// An evacuated failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Evacuation {
    /// Failure domain.
    pub domain: DomainName,
    /// Offset of its record; `None` if that was read before the store went back, so that it means nothing now.
    pub offset: Option<u64>,
    /// Time at which the record was read.
    read_at: Duration,
    /// Whether the last complete reading did not show the record.
    is_missing: bool,
}

/// Records of evacuations that a reading of the operator's topic has shown.
#[derive(Clone, Copy, Debug)]
pub struct Reading<'a> {
    /// Whether the reading shows all keys of the topic.
    pub is_complete: bool,
    /// Offset up to which it shows all records.
    pub end: u64,
    /// Failure domains whose records it has shown, with the offsets of the records.
    pub shown: &'a [(DomainName, u64)],
}

impl Reading<'_> {
    fn shows(&self, evacuation: &Evacuation) -> bool {
        let mut shown = self.shown.iter();
        shown.any(|(domain, offset)| {
            *domain == evacuation.domain && Some(*offset) == evacuation.offset
        })
    }
}

/// Set of evacuated failure domains.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// Sorted by failure domain.
    evacuated: Vec<Evacuation>,
}

impl Evacuations {
    /// Whether a failure domain is evacuated.
    #[must_use]
    pub fn contains(&self, domain: &DomainName) -> bool {
        self.index(domain).is_ok()
    }

    /// Number of evacuated failure domains.
    #[must_use]
    pub fn count(&self) -> usize {
        self.evacuated.len()
    }

    /// Applies a record of a failure domain, which begins its evacuation or ends it. Returns whether that is a
    /// change.
    pub fn on_record(
        &mut self,
        now: Duration,
        domain: &DomainName,
        offset: u64,
        is_evacuated: bool,
    ) -> bool {
        let found = self.index(domain);
        match (found, is_evacuated) {
            (Ok(index), _) if self.evacuated[index].offset > Some(offset) => false,
            (Ok(index), false) => {
                self.evacuated.remove(index);
                true
            }
            (Ok(index), true) => {
                self.evacuated[index] = Evacuation {
                    domain: domain.clone(),
                    offset: Some(offset),
                    read_at: now,
                    is_missing: false,
                };
                false
            }
            (Err(_), false) => false,
            (Err(index), true) => {
                let evacuation = Evacuation {
                    domain: domain.clone(),
                    offset: Some(offset),
                    read_at: now,
                    is_missing: false,
                };
                self.evacuated.insert(index, evacuation);
                true
            }
        }
    }

    /// Handles a reading of the topic after its records were applied. Returns the evacuations that it has ended.
    pub fn on_reading(&mut self, reading: &Reading<'_>) -> Vec<Evacuation> {
        for evacuation in &mut self.evacuated {
            let is_read = reading.shows(evacuation);
            evacuation.is_missing = !is_read && (evacuation.is_missing || reading.is_complete);
        }
        let is_before_end =
            |evacuation: &Evacuation| evacuation.offset.is_none_or(|offset| offset < reading.end);
        let ended = self.evacuated.extract_if(.., |evacuation| {
            evacuation.is_missing && is_before_end(evacuation)
        });
        ended.collect()
    }

    /// Handles the newest records of all keys, read once more at [`RECHECK_INTERVAL`]. `shown` lists the failure
    /// domains with a record there. Returns the evacuations that this has ended.
    pub fn on_recheck(&mut self, now: Duration, shown: &[(DomainName, u64)]) -> Vec<Evacuation> {
        let is_dropped = |evacuation: &mut Evacuation| {
            let is_listed = shown.iter().any(|(domain, _)| *domain == evacuation.domain);
            !is_listed && now.saturating_sub(evacuation.read_at) >= LISTED_AFTER
        };
        self.evacuated.extract_if(.., is_dropped).collect()
    }

    /// Handles that the store has dropped the record of a failure domain, as another node has found. Returns whether
    /// that ends its evacuation.
    pub fn on_dropped(&mut self, domain: &DomainName, offset: u64) -> bool {
        let Ok(index) = self.index(domain) else {
            return false;
        };
        let is_dropped = self.evacuated[index]
            .offset
            .is_some_and(|known| known <= offset);
        if is_dropped {
            self.evacuated.remove(index);
        }
        is_dropped
    }

    /// Handles that the store has gone back to an earlier state. The evacuations stay in force until the topic was
    /// read anew.
    pub fn on_new_era(&mut self) {
        for evacuation in &mut self.evacuated {
            evacuation.offset = None;
        }
    }

    fn index(&self, domain: &DomainName) -> Result<usize, usize> {
        self.evacuated
            .binary_search_by(|evacuation| evacuation.domain.cmp(domain))
    }
}
