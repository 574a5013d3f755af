//! Rendezvous hashing (Thaler and Ravishankar, 1998): every node ranks the same candidates alike
//! without agreement, and a candidate that goes or comes changes only its own share of the keys.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of `candidate` for `key`; the candidate with the highest weight wins.
#[must_use]
pub fn weight(key: &str, candidate: &str) -> u64 {
    let key_hash = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(candidate.as_bytes(), key_hash)
}
