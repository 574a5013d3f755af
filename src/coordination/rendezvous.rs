//! Rendezvous hashing (Thaler and Ravishankar, 1998). All nodes rank the same candidates equally
//! without coordination, and a candidate that is added or removed only affects its own share of the
//! keys.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of `candidate` for `key`; the candidate with the highest weight wins.
#[must_use]
pub fn weight(key: &str, candidate: &str) -> u64 {
    let key_hash = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(candidate.as_bytes(), key_hash)
}
