//! Authentication of messages between nodes by keyed BLAKE3 with a shared key, see `docs/design.md`,
//! section 7.
//!
//! A message carries the wall time of its sender. It is refused if it is older than [`MAX_AGE`], or if
//! a [`ReplayWindow`] has recorded it before.

use std::collections::VecDeque;
use std::fmt;
use std::time::Duration;

use crate::protocol::time::WallMs;
use crate::protocol::time::millis;
use crate::result_code::Failure;
use crate::result_code::ResultCode;

/// Age above which a message is refused.
pub const MAX_AGE: Duration = Duration::from_secs(30);
/// How far a sender's clock may be ahead. A window of bounded length cannot remember messages from an
/// unbounded future.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);
/// Length of the tag, bytes; forging one takes 2^128 attempts.
pub const TAG_BYTES: usize = 16;
/// Bytes that [`seal`] adds: tag, time and nonce.
pub const AUTH_OVERHEAD: usize = TAG_BYTES + 8 + 8;
/// Messages that a [`ReplayWindow`] remembers, 8 bytes each: 256 KiB of a node's 32 MB, enough for 900
/// messages/s over the 35 s in which a message is acceptable.
pub const REPLAY_CAPACITY: usize = 32_768;
/// Shortest content of a key file, bytes.
pub const MIN_KEY_FILE_BYTES: usize = 16;

const KEY_CONTEXT: &str = "sycamorewick 2026 node authentication v1";
const BUCKET_MS: u64 = 1_000;
const DATAGRAM_DOMAIN: u8 = 1;
const REQUEST_DOMAIN: u8 = 2;

/// Key shared by all nodes.
#[derive(Clone, Eq, PartialEq)]
pub struct AuthKey([u8; 32]);

impl AuthKey {
    /// Derives the key from the content of a key file. White space at the end is ignored, since
    /// editors add it.
    ///
    /// # Errors
    /// [`ResultCode::InvalidSettings`] if the content is shorter than [`MIN_KEY_FILE_BYTES`].
    pub fn derive(content: &[u8]) -> Result<Self, Failure> {
        let content = content.trim_ascii_end();
        if content.len() < MIN_KEY_FILE_BYTES {
            let text = format!(
                "key file has {} bytes, at least {MIN_KEY_FILE_BYTES} are needed",
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

/// Authenticates a datagram: tag, time, nonce, payload. The nonce makes equal payloads of one
/// millisecond different messages.
#[must_use]
pub fn seal(key: &AuthKey, wall: WallMs, nonce: u64, payload: &[u8]) -> Vec<u8> {
    let mut buf = Vec::with_capacity(AUTH_OVERHEAD + payload.len());
    buf.extend_from_slice(&datagram_tag(key, wall, nonce, payload));
    buf.extend_from_slice(&wall.0.to_be_bytes());
    buf.extend_from_slice(&nonce.to_be_bytes());
    buf.extend_from_slice(payload);
    buf
}

/// Checks a datagram against the accepted keys and returns its payload. Several keys are accepted
/// while a key is replaced.
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

/// Checks the value of the `sw-auth` header of a request.
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
    // A comparison of `blake3::Hash` values takes constant time.
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
    let mut hasher = start(key, DATAGRAM_DOMAIN, wall, nonce);
    hasher.update(payload);
    finish(&hasher)
}

fn request_tag(key: &AuthKey, wall: WallMs, nonce: u64, req: &RequestParts<'_>) -> [u8; TAG_BYTES] {
    let mut hasher = start(key, REQUEST_DOMAIN, wall, nonce);
    // Lengths precede the fields, so that bytes cannot move from one field to the next.
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
    finish(&hasher)
}

fn start(key: &AuthKey, domain: u8, wall: WallMs, nonce: u64) -> blake3::Hasher {
    let mut hasher = blake3::Hasher::new_keyed(&key.0);
    hasher.update(&[domain]);
    hasher.update(&wall.0.to_be_bytes());
    hasher.update(&nonce.to_be_bytes());
    hasher
}

fn finish(hasher: &blake3::Hasher) -> [u8; TAG_BYTES] {
    let mut tag = [0; TAG_BYTES];
    hasher.finalize_xof().fill(&mut tag);
    tag
}

/// Messages received lately, by the second of their sender's time.
///
/// At [`REPLAY_CAPACITY`] the oldest second is forgotten and every message up to its end is refused
/// from then on, so that a replay is never accepted. Refusing new messages instead would cut off the
/// node for up to 35 s; this way only senders whose clocks are behind are refused.
#[derive(Debug)]
pub struct ReplayWindow {
    /// Ascending by second.
    buckets: VecDeque<Bucket>,
    len: usize,
    /// Messages of an earlier time are refused.
    floor: WallMs,
}

#[derive(Debug)]
struct Bucket {
    second: u64,
    /// First halves of the tags, sorted. Two different messages of one second share one with a
    /// probability of 2^-64 a pair.
    seen: Vec<u64>,
}

impl ReplayWindow {
    /// Creates the window of a process started at `started_at`. Messages from before are refused, as a
    /// former process on this address may have received them.
    #[must_use]
    pub fn new(started_at: WallMs) -> Self {
        Self {
            buckets: VecDeque::new(),
            len: 0,
            floor: started_at,
        }
    }

    /// Number of messages that the window remembers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the window remembers no message.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn record(&mut self, now: WallMs, at: WallMs, tag: [u8; TAG_BYTES]) -> Result<(), Failure> {
        let oldest = WallMs(now.0.saturating_sub(millis(MAX_AGE)));
        if at < oldest || at > now.plus(MAX_CLOCK_SKEW) {
            let text = format!("message of time {at} at {now}: clocks differ or it was delayed");
            return Err(Failure::new(ResultCode::AuthFailed, text));
        }
        while self.buckets.front().is_some_and(|b| b.end() <= oldest) {
            self.drop_oldest();
        }
        if at < self.floor {
            let text = format!("message of time {at} is before {}", self.floor);
            return Err(Failure::new(ResultCode::Replayed, text));
        }
        let short = (u128::from_be_bytes(tag) >> 64) as u64;
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
        match seen.binary_search(&short) {
            Ok(_) => {
                let text = format!("message of time {at} was received before");
                return Err(Failure::new(ResultCode::Replayed, text));
            }
            Err(place) => seen.insert(place, short),
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
    /// First time after the bucket's second; saturates, since the time comes from a message.
    fn end(&self) -> WallMs {
        WallMs(self.second.saturating_add(1).saturating_mul(BUCKET_MS))
    }
}
