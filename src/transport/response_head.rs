//! Checks the head of a response before anything of it is used. See
//! `docs/incidents/2026-12-07-broken-responses.md`.
//!
//! The codec of `actix-http` repairs some heads that break the grammar of RFC 9112. The result may have other fields,
//! or another body, than the response that the sender meant or that another recipient sees, so such a head is refused.

use std::io;

use httparse::Header;
use httparse::Response;
use httparse::Status;

/// Fields that the codec accepts.
const MAX_FIELDS: usize = 96;
/// Length of the start of a status line, as in `HTTP/1.1 200`.
const STATUS_LINE_START_BYTES: usize = 12;

/// Checks the head at the start of a buffer. Returns whether it is complete.
///
/// # Errors
/// If the head breaks the grammar of RFC 9112, its status code is invalid (RFC 9110, section 15), or the framing of its
/// body is ambiguous.
pub fn check(buf: &[u8]) -> io::Result<bool> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = Response::new(&mut fields);
    // By default the parser refuses whitespace between a field name and its colon, which the codec accepts.
    let parsed = head.parse(buf).map_err(io::Error::other)?;
    let Status::Complete(len) = parsed else {
        return Ok(false);
    };
    check_lines(&buf[..len])?;
    if !matches!(head.code, Some(100..=599)) {
        return Err(io::Error::other("the status code is invalid"));
    }
    check_framing(head.version, head.headers)?;
    Ok(true)
}

/// Checks for what the parser accepts although the grammar does not: empty lines before the head, lines that end with a
/// bare LF (RFC 9112, section 2.2), and a status line without the space after its code (section 4).
fn check_lines(head: &[u8]) -> io::Result<()> {
    let mut lines = head.split_inclusive(|byte| *byte == b'\n');
    if !head.starts_with(b"HTTP/") || !lines.all(|line| line.ends_with(b"\r\n")) {
        return Err(io::Error::other("the head has invalid line endings"));
    }
    // The space is required even if no reason follows.
    if head.get(STATUS_LINE_START_BYTES) != Some(&b' ') {
        return Err(io::Error::other(
            "the status line has no space after its code",
        ));
    }
    Ok(())
}

/// Checks the transfer codings, which override the length of the body (RFC 9112, sections 6.1 and 6.3). Only `chunked`
/// is decoded, and HTTP/1.0 has none. The codec checks the length itself.
fn check_framing(version: Option<u8>, fields: &[Header<'_>]) -> io::Result<()> {
    let values = |name: &'static str| {
        fields
            .iter()
            .filter(move |field| field.name.eq_ignore_ascii_case(name))
            .map(|field| field.value)
    };
    let mut codings = values("transfer-encoding");
    let Some(coding) = codings.next() else {
        return Ok(());
    };
    let is_unambiguous = version == Some(1)
        && coding.trim_ascii().eq_ignore_ascii_case(b"chunked")
        && codings.next().is_none()
        && values("content-length").next().is_none();
    if !is_unambiguous {
        return Err(io::Error::other("the framing of the body is ambiguous"));
    }
    Ok(())
}
