//! Tests of `protocol::auth`.

use std::time::Duration;

use proptest::prelude::*;
use sycamorewick::protocol::auth::AUTH_OVERHEAD;
use sycamorewick::protocol::auth::AuthKey;
use sycamorewick::protocol::auth::MAX_AGE;
use sycamorewick::protocol::auth::MAX_CLOCK_SKEW;
use sycamorewick::protocol::auth::REPLAY_CAPACITY;
use sycamorewick::protocol::auth::ReplayWindow;
use sycamorewick::protocol::auth::RequestParts;
use sycamorewick::protocol::auth::check_header;
use sycamorewick::protocol::auth::header_value;
use sycamorewick::protocol::auth::open;
use sycamorewick::protocol::auth::seal;
use sycamorewick::protocol::codec;
use sycamorewick::protocol::gossip::Packet;
use sycamorewick::protocol::time::WallMs;
use sycamorewick::result_code::ResultCode;

const NOW: WallMs = WallMs(1_700_000_000_000);
const STEP: Duration = Duration::from_millis(1);

fn key(text: &str) -> AuthKey {
    AuthKey::derive(text.as_bytes()).expect("long enough")
}

fn window() -> ReplayWindow {
    ReplayWindow::new(WallMs(0))
}

fn code<T>(result: Result<T, sycamorewick::result_code::Failure>) -> Option<ResultCode> {
    result.err().map(|f| f.code)
}

/// Guards against a changed datagram that is accepted: anybody on the network could then impersonate a
/// node.
#[test]
fn open_every_changed_byte_fails() {
    let keys = [key("the key of this fleet")];
    let sealed = seal(&keys[0], NOW, 7, b"payload");
    assert_eq!(sealed.len(), AUTH_OVERHEAD + 7);
    for index in 0..sealed.len() {
        let mut changed = sealed.clone();
        changed[index] ^= 1;
        let result = open(&keys, &mut window(), NOW, &changed);
        assert_eq!(code(result), Some(ResultCode::AuthFailed), "byte {index}");
    }
    assert_eq!(
        open(&keys, &mut window(), NOW, &sealed),
        Ok(&b"payload"[..])
    );
}

/// Guards against a key rotation that cuts off nodes with the other of the two keys, and against
/// accepting any third key.
#[test]
fn open_accepts_current_and_previous_key() {
    let (old, new, other) = (
        key("the previous key..."),
        key("the current key...."),
        key("some other key....."),
    );
    let keys = [new, old.clone()];
    for (key, expected) in [
        (&keys[0], None),
        (&old, None),
        (&other, Some(ResultCode::AuthFailed)),
    ] {
        let sealed = seal(key, NOW, 1, b"x");
        assert_eq!(code(open(&keys, &mut window(), NOW, &sealed)), expected);
    }
    assert_eq!(key("a key with line end\n"), key("a key with line end"));
    let short = AuthKey::derive(b"short\n");
    assert_eq!(code(short), Some(ResultCode::InvalidSettings));
}

/// Guards against accepting a replayed message, in particular at the limits of the accepted age.
#[test]
fn open_repeat_and_age() {
    let keys = [key("the key of this fleet")];
    let mut window = window();
    let mut check = |now: WallMs, at: WallMs, nonce| {
        let sealed = seal(&keys[0], at, nonce, b"x");
        code(open(&keys, &mut window, now, &sealed))
    };
    assert_eq!(check(NOW, NOW, 1), None);
    assert_eq!(check(NOW, NOW, 1), Some(ResultCode::Replayed));
    assert_eq!(
        check(NOW, NOW, 2),
        None,
        "a different nonce makes it a different message"
    );
    let oldest = NOW.plus(MAX_AGE);
    assert_eq!(check(oldest, NOW, 1), Some(ResultCode::Replayed));
    assert_eq!(check(oldest, NOW, 3), None);
    assert_eq!(
        check(oldest.plus(STEP), NOW, 4),
        Some(ResultCode::AuthFailed)
    );
    let ahead = oldest.plus(MAX_CLOCK_SKEW);
    assert_eq!(check(oldest, ahead, 5), None);
    assert_eq!(
        check(oldest, ahead.plus(STEP), 6),
        Some(ResultCode::AuthFailed)
    );
    // The clock steps back: messages dropped from the window must still be rejected.
    assert_eq!(check(oldest.plus(MAX_AGE), oldest, 7), None);
    assert_eq!(check(NOW, NOW, 1), Some(ResultCode::Replayed));
}

/// Guards against a process that accepts messages which its predecessor may have received.
#[test]
fn open_from_before_the_start_fails() {
    let keys = [key("the key of this fleet")];
    let mut window = ReplayWindow::new(NOW);
    let before = seal(&keys[0], WallMs(NOW.0 - 1), 1, b"x");
    assert_eq!(
        code(open(&keys, &mut window, NOW, &before)),
        Some(ResultCode::Replayed)
    );
    let after = seal(&keys[0], NOW, 1, b"x");
    assert_eq!(code(open(&keys, &mut window, NOW, &after)), None);
}

/// Guards against a flood of messages that makes the window grow without bound or accept a message
/// twice.
#[test]
fn open_at_capacity_refuses_old_and_repeated() {
    let keys = [key("the key of this fleet")];
    let mut window = window();
    let count = REPLAY_CAPACITY as u64 + 5_000;
    // 3,000 messages per second, so that the capacity is reached after 11 s.
    let at = |nonce: u64| NOW.plus(Duration::from_millis(nonce / 3));
    let message = |nonce: u64| seal(&keys[0], at(nonce), nonce, b"x");
    for nonce in 0..count {
        let now = at(nonce);
        let sealed = message(nonce);
        assert_eq!(
            code(open(&keys, &mut window, now, &sealed)),
            None,
            "{nonce}"
        );
        assert!(window.len() <= REPLAY_CAPACITY);
    }
    let now = at(count);
    for nonce in 0..count {
        let result = open(&keys, &mut window, now, &message(nonce)).map(<[u8]>::len);
        assert_eq!(code(result), Some(ResultCode::Replayed), "{nonce}");
    }
}

/// Guards against parts of a request that can be changed in transit, since the tag does not cover
/// them or does not separate them from each other.
#[test]
fn check_header_covers_all_parts() {
    let keys = [key("the key of this fleet")];
    let headers: [(&str, &[u8]); 2] = [("sw-call", b"1"), ("sw-attempts", b"3")];
    let req = RequestParts {
        method: "POST",
        path: "/peer/call",
        headers: &headers,
        body: b"body",
    };
    let value = header_value(&keys[0], NOW, 9, &req);
    let check = |value: &str, req: &RequestParts<'_>| {
        code(check_header(&keys, &mut window(), NOW, value, req))
    };
    assert_eq!(check(&value, &req), None);
    let failed = Some(ResultCode::AuthFailed);
    assert_eq!(
        check(
            &value,
            &RequestParts {
                method: "PUT",
                ..req
            }
        ),
        failed
    );
    assert_eq!(
        check(
            &value,
            &RequestParts {
                path: "/peer/cal",
                ..req
            }
        ),
        failed
    );
    assert_eq!(
        check(
            &value,
            &RequestParts {
                body: b"lbody",
                ..req
            }
        ),
        failed
    );
    assert_eq!(
        check(
            &value,
            &RequestParts {
                headers: &headers[..1],
                ..req
            }
        ),
        failed
    );
    let moved: [(&str, &[u8]); 2] = [("sw-call", b"1s"), ("w-attempts", b"3")];
    assert_eq!(
        check(
            &value,
            &RequestParts {
                headers: &moved,
                ..req
            }
        ),
        failed
    );
    assert_eq!(check("", &req), failed);
    assert_eq!(check(&value.replace('-', "_"), &req), failed);
    let mut window = window();
    assert_eq!(
        code(check_header(&keys, &mut window, NOW, &value, &req)),
        None
    );
    let again = check_header(&keys, &mut window, NOW, &value, &req);
    assert_eq!(code(again), Some(ResultCode::Replayed));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a panic on, and against accepting, an arbitrary datagram.
    #[test]
    fn open_arbitrary_bytes_fails(bytes in proptest::collection::vec(any::<u8>(), 0..1_500)) {
        let keys = [key("the key of this fleet")];
        prop_assert!(open(&keys, &mut window(), NOW, &bytes).is_err());
    }

    /// Guards against a panic on, and against accepting, an arbitrary header value.
    #[test]
    fn check_header_arbitrary_text_fails(value in "[0-9a-f-]{0,80}|\\PC*") {
        let req = RequestParts { method: "GET", path: "/", headers: &[], body: b"" };
        let keys = [key("the key of this fleet")];
        prop_assert!(check_header(&keys, &mut window(), NOW, &value, &req).is_err());
    }

    /// Guards against a panic on an authenticated datagram with an arbitrary payload or time, for
    /// example from a node with another software version or a wrong clock.
    #[test]
    fn decode_sealed_arbitrary_bytes_does_not_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..1_500),
        at in any::<u64>(),
        now in any::<u64>(),
        nonce in any::<u64>(),
    ) {
        let keys = [key("the key of this fleet")];
        let sealed = seal(&keys[0], WallMs(at), nonce, &bytes);
        let mut window = window();
        let _ = open(&keys, &mut window, WallMs(now), &sealed);
        let opened = open(&keys, &mut window, WallMs(at), &sealed);
        if let Ok(payload) = opened {
            prop_assert_eq!(payload, &bytes[..]);
        }
        let _ = codec::decode::<Packet>(&bytes);
    }
}
