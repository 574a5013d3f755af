//! Checks the head of a response before anything of it is used. See
//! `docs/incidents/2026-12-07-broken-responses.md`.
//!
//! The codec of `actix-http` repairs some heads that break the grammar of RFC 9112. The result may have other fields,
//! or another body, than the response that the sender meant or that another recipient sees, so such a head is refused.

use std::io;

use httparse::Response;

/// Fields that the codec accepts.
const MAX_FIELDS: usize = 96;

/// Checks the head at the start of a buffer. Returns whether it is complete.
///
/// # Errors
/// If the head breaks the grammar of RFC 9112.
pub fn check(buf: &[u8]) -> io::Result<bool> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = Response::new(&mut fields);
    // By default the parser refuses blanks between a name and its colon, which the codec accepts.
    let parsed = head.parse(buf).map_err(io::Error::other)?;
    Ok(parsed.is_complete())
}
