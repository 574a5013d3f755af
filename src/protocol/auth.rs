//! Authentication of messages between nodes by keyed BLAKE3 with a shared key, see `docs/design.md`,
//! section 7.
//!
//! A message carries the wall time of its sender. It is rejected if it is older than [`MAX_AGE`], or
//! if a [`ReplayWindow`] has already recorded it.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use crate::protocol::time::WallMs;
use crate::protocol::time::millis;
use crate::result_code::Failure;
use crate::result_code::ResultCode;

/// Age above which a message is rejected.
pub const MAX_AGE: Duration = Duration::from_secs(30);
/// How far a sender's clock may be ahead. A replay window of bounded size cannot cover messages whose
/// time is arbitrarily far in the future.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);
/// Length of the authentication tag, bytes; forging one takes 2^128 attempts.
pub const TAG_BYTES: usize = 16;
/// Bytes that [`seal`] adds: tag, time and nonce.
pub const AUTH_OVERHEAD: usize = TAG_BYTES + 8 + 8;
/// Number of messages that a [`ReplayWindow`] remembers, 8 bytes each: 256 KiB of a node's 32 MB,
/// enough for 900 messages/s over the 35 s in which a message is accepted.
pub const REPLAY_CAPACITY: usize = 32_768;
/// Minimum length of a key file's content, bytes.
pub const MIN_KEY_FILE_BYTES: usize = 16;

const KEY_CONTEXT: &str = "sycamorewick 2026 node authentication v1";
const BUCKET_MS: u64 = 1_000;
// Domain separation: the tag of a datagram is never valid for a request.
const DATAGRAM_DOMAIN: u8 = 1;
const REQUEST_DOMAIN: u8 = 2;

/// Key shared by all nodes.
#[derive(Clone, Eq, PartialEq)]
pub struct AuthKey([u8; 32]);

impl AuthKey {
    /// Derives the key from the content of a key file. Trailing white space is ignored, since editors
    /// add it.
    ///
    /// # Errors
    /// [`ResultCode::InvalidSettings`] if the content is shorter than [`MIN_KEY_FILE_BYTES`].
    pub fn derive(content: &[u8]) -> Result<Self, Failure> {
        let content = content.trim_ascii_end();
        if content.len() < MIN_KEY_FILE_BYTES {
            let text = format!(
                "key file has {} bytes, at least {MIN_KEY_FILE_BYTES} are required",
                content.len()
            );
            return Err(Failure::new(ResultCode::InvalidSettings, text));
        }
        Ok(Self(blake3::derive_key(KEY_CONTEXT, content)))
    }
}

impl fmt::Debug for AuthKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("AuthKey(..)")
    }
}

/// Parts of an HTTP request that its authentication covers.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// Method.
    pub method: &'a str,
    /// Path with query.
    pub path: &'a str,
    /// Names and values of the covered headers, in an order on which both sides agree.
    pub headers: &'a [(&'a str, &'a [u8])],
    /// Body.
    pub body: &'a [u8],
}

/// Returns an authenticated datagram: tag, time, nonce and payload. The nonce distinguishes messages
/// with equal payloads that are sent in the same millisecond.
#[must_use]
pub fn seal(key: &AuthKey, wall: WallMs, nonce: u64, payload: &[u8]) -> Vec<u8> {
    let mut buf = Vec::with_capacity(AUTH_OVERHEAD + payload.len());
    buf.extend_from_slice(&datagram_tag(key, wall, nonce, payload));
    buf.extend_from_slice(&wall.0.to_be_bytes());
    buf.extend_from_slice(&nonce.to_be_bytes());
    buf.extend_from_slice(payload);
    buf
}

/// Verifies a datagram with the accepted keys and returns its payload. Several keys are accepted
/// during key rotation.
///
/// # Errors
/// [`ResultCode::AuthFailed`] or [`ResultCode::Replayed`].
pub fn open<'a>(
    keys: &[AuthKey],
    window: &mut ReplayWindow,
    now: WallMs,
    bytes: &'a [u8],
) -> Result<&'a [u8], Failure> {
    let parts = bytes
        .split_first_chunk::<TAG_BYTES>()
        .and_then(|(tag, rest)| {
            let (wall, rest) = rest.split_first_chunk::<8>()?;
            let (nonce, payload) = rest.split_first_chunk::<8>()?;
            Some((
                *tag,
                WallMs(u64::from_be_bytes(*wall)),
                u64::from_be_bytes(*nonce),
                payload,
            ))
        });
    let Some((tag, wall, nonce, payload)) = parts else {
        let text = format!("datagram of {} bytes is too short", bytes.len());
        return Err(Failure::new(ResultCode::AuthFailed, text));
    };
    check_tag(keys, tag, |key| datagram_tag(key, wall, nonce, payload))?;
    window.record(now, wall, tag)?;
    Ok(payload)
}

/// Returns the value of the `sw-auth` header of a request.
#[must_use]
pub fn header_value(key: &AuthKey, wall: WallMs, nonce: u64, req: &RequestParts<'_>) -> String {
    let tag = u128::from_be_bytes(request_tag(key, wall, nonce, req));
    format!("{wall}-{nonce:016x}-{tag:032x}")
}

/// Verifies the value of the `sw-auth` header of a request.
///
/// # Errors
/// [`ResultCode::AuthFailed`] or [`ResultCode::Replayed`].
pub fn check_header(
    keys: &[AuthKey],
    window: &mut ReplayWindow,
    now: WallMs,
    value: &str,
    req: &RequestParts<'_>,
) -> Result<(), Failure> {
    let Some((wall, nonce, tag)) = parse_header(value) else {
        return Err(Failure::new(
            ResultCode::AuthFailed,
            "authentication header is malformed",
        ));
    };
    check_tag(keys, tag, |key| request_tag(key, wall, nonce, req))?;
    window.record(now, wall, tag)
}

fn parse_header(value: &str) -> Option<(WallMs, u64, [u8; TAG_BYTES])> {
    let mut parts = value.splitn(3, '-');
    let wall = WallMs(parts.next()?.parse().ok()?);
    let nonce = u64::from_str_radix(parts.next()?, 16).ok()?;
    let tag = u128::from_str_radix(parts.next()?, 16).ok()?;
    Some((wall, nonce, tag.to_be_bytes()))
}

fn check_tag(
    keys: &[AuthKey],
    tag: [u8; TAG_BYTES],
    expected: impl Fn(&AuthKey) -> [u8; TAG_BYTES],
) -> Result<(), Failure> {
    // `blake3::Hash` values are compared in constant time.
    let pad = |tag: [u8; TAG_BYTES]| {
        let mut hash = [0; blake3::OUT_LEN];
        hash[..TAG_BYTES].copy_from_slice(&tag);
        blake3::Hash::from_bytes(hash)
    };
    if keys.iter().any(|key| pad(expected(key)) == pad(tag)) {
        return Ok(());
    }
    Err(Failure::new(
        ResultCode::AuthFailed,
        "tag does not match any accepted key",
    ))
}

fn datagram_tag(key: &AuthKey, wall: WallMs, nonce: u64, payload: &[u8]) -> [u8; TAG_BYTES] {
    let mut hasher = new_hasher(key, DATAGRAM_DOMAIN, wall, nonce);
    hasher.update(payload);
    finalize(&hasher)
}

fn request_tag(key: &AuthKey, wall: WallMs, nonce: u64, req: &RequestParts<'_>) -> [u8; TAG_BYTES] {
    let mut hasher = new_hasher(key, REQUEST_DOMAIN, wall, nonce);
    // Each field is preceded by its length, so that bytes cannot move from one field to the next.
    let mut field = |bytes: &[u8]| {
        hasher.update(&(bytes.len() as u64).to_be_bytes());
        hasher.update(bytes);
    };
    field(req.method.as_bytes());
    field(req.path.as_bytes());
    for (name, value) in req.headers {
        field(name.to_ascii_lowercase().as_bytes());
        field(value);
    }
    field(req.body);
    finalize(&hasher)
}

fn new_hasher(key: &AuthKey, domain: u8, wall: WallMs, nonce: u64) -> blake3::Hasher {
    let mut hasher = blake3::Hasher::new_keyed(&key.0);
    hasher.update(&[domain]);
    hasher.update(&wall.0.to_be_bytes());
    hasher.update(&nonce.to_be_bytes());
    hasher
}

fn finalize(hasher: &blake3::Hasher) -> [u8; TAG_BYTES] {
    let mut tag = [0; TAG_BYTES];
    hasher.finalize_xof().fill(&mut tag);
    tag
}

/// Recently received messages, grouped by the second of the time that their sender put into them.
///
/// When [`REPLAY_CAPACITY`] is exceeded, the oldest second is dropped and every message up to its end
/// is rejected from then on, so that a replay is never accepted. Rejecting new messages instead would
/// cut off the node for up to 35 s; this way only senders whose clocks are behind are rejected.
#[derive(Debug)]
pub struct ReplayWindow {
    /// Buckets in ascending order of their second.
    buckets: VecDeque<Bucket>,
    len: usize,
    /// Messages with an earlier time are rejected.
    floor: WallMs,
}

#[derive(Debug)]
struct Bucket {
    second: u64,
    /// First halves of the tags, sorted. Two different messages of the same second have the same
    /// first half with a probability of 2^-64.
    seen: Vec<u64>,
}

impl ReplayWindow {
    /// Creates the window of a process started at `started_at`. Messages from before that time are
    /// rejected, since a previous process on this address may have received them.
    #[must_use]
    pub fn new(started_at: WallMs) -> Self {
        Self {
            buckets: VecDeque::new(),
            len: 0,
            floor: started_at,
        }
    }

    /// Returns the number of messages that the window remembers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the window remembers no message.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn record(&mut self, now: WallMs, at: WallMs, tag: [u8; TAG_BYTES]) -> Result<(), Failure> {
        let oldest = WallMs(now.0.saturating_sub(millis(MAX_AGE)));
        if at < oldest || at > now.plus(MAX_CLOCK_SKEW) {
            let text = format!(
                "message with time {at} received at {now}: clocks differ or it was delayed"
            );
            return Err(Failure::new(ResultCode::AuthFailed, text));
        }
        while self.buckets.front().is_some_and(|b| b.end() <= oldest) {
            self.drop_oldest();
        }
        if at < self.floor {
            let text = format!(
                "message with time {at} is older than {}, the oldest time accepted",
                self.floor
            );
            return Err(Failure::new(ResultCode::Replayed, text));
        }
        let tag_prefix = (u128::from_be_bytes(tag) >> 64) as u64;
        let second = at.0 / BUCKET_MS;
        let index = match self.buckets.binary_search_by_key(&second, |b| b.second) {
            Ok(index) => index,
            Err(index) => {
                let seen = Vec::new();
                self.buckets.insert(index, Bucket { second, seen });
                index
            }
        };
        let seen = &mut self.buckets[index].seen;
        match seen.binary_search(&tag_prefix) {
            Ok(_) => {
                let text = format!("message with time {at} was already received");
                return Err(Failure::new(ResultCode::Replayed, text));
            }
            Err(position) => seen.insert(position, tag_prefix),
        }
        self.len += 1;
        while self.len > REPLAY_CAPACITY {
            self.drop_oldest();
        }
        Ok(())
    }

    fn drop_oldest(&mut self) {
        if let Some(bucket) = self.buckets.pop_front() {
            self.len -= bucket.seen.len();
            self.floor = self.floor.max(bucket.end());
        }
    }
}

impl Bucket {
    /// Returns the first time after the bucket's second. Saturates, since the time of a message can be
    /// any number.
    fn end(&self) -> WallMs {
        WallMs(self.second.saturating_add(1).saturating_mul(BUCKET_MS))
    }
}
