//! Decodes the heads of requests with any number of fields. See `docs/design/misbehaving-clients.md`.
//!
//! The parser of `actix-http` accepts 96 fields, far fewer than fit into the limit of the configuration. A head
//! with more is parsed here; the fields that determine the framing still go through the codec, which has the
//! rules for them.

use actix_http::Request;
use actix_http::error::ParseError;
use actix_http::h1::Codec;
use actix_http::h1::Message;
use actix_http::header::CONNECTION;
use actix_http::header::CONTENT_LENGTH;
use actix_http::header::EXPECT;
use actix_http::header::HOST;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_http::header::TRANSFER_ENCODING;
use actix_http::header::UPGRADE;
use bytes::BytesMut;
use tokio_util::codec::Decoder;

/// Lines of a head that the codec decodes by itself; its parser accepts 96 fields.
const MAX_CODEC_LINES: usize = 90;
/// Fields that the codec interprets.
const FRAMING_FIELDS: [HeaderName; 6] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// A decoded request.
#[derive(Debug)]
pub struct DecodedHead {
    /// Request without its body.
    pub request: Request,
    /// Size of its head.
    pub bytes: usize,
}

/// Size of the head of a request before it is decoded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HeadSize {
    /// Bytes, with empty lines before it.
    pub bytes: usize,
    /// Number of fields.
    pub fields: usize,
}

/// Returns the size of the head at the start of a buffer, if it is complete. Decoded fields take many times their
/// bytes, so the memory for them has to be known before.
#[must_use]
pub fn complete_size(buf: &[u8]) -> Option<HeadSize> {
    let (end, lines) = head_end(buf);
    end.map(|bytes| HeadSize {
        bytes,
        fields: lines - 1,
    })
}

/// Returns the length of the head at the start of a buffer and the number of its lines, if it is complete;
/// otherwise the lines so far.
fn head_end(buf: &[u8]) -> (Option<usize>, usize) {
    let mut lines = 0;
    let mut line_start = 0;
    for (index, _) in buf.iter().enumerate().filter(|(_, byte)| **byte == b'\n') {
        let is_empty = matches!(&buf[line_start..index], b"" | b"\r");
        line_start = index + 1;
        // Empty lines before a request are skipped (RFC 9112, section 2.2).
        if !is_empty {
            lines += 1;
        } else if lines > 0 {
            return (Some(index + 1), lines);
        }
    }
    (None, lines)
}

/// Decodes the next request, if its head is complete.
///
/// # Errors
/// [`ParseError::TooLarge`] if the head exceeds `max_bytes`, or has more fields than the library accepts unless
/// it may have any number; others if it is malformed.
pub fn decode(
    codec: &mut Codec,
    buf: &mut BytesMut,
    max_bytes: usize,
    any_fields: bool,
) -> Result<Option<DecodedHead>, ParseError> {
    let (end, lines) = head_end(buf);
    if end.unwrap_or(buf.len()) > max_bytes {
        return Err(ParseError::TooLarge);
    }
    if lines <= MAX_CODEC_LINES || !any_fields {
        let before = buf.len();
        let message = codec.decode(buf)?;
        let bytes = before - buf.len();
        return Ok(message.and_then(|message| match message {
            Message::Item(request) => Some(DecodedHead { request, bytes }),
            Message::Chunk(_) => None,
        }));
    }
    let Some(end) = end else {
        return Ok(None);
    };
    let head = buf.split_to(end).freeze();
    let mut fields = vec![httparse::EMPTY_HEADER; lines];
    let mut parsed = httparse::Request::new(&mut fields);
    if !parsed.parse(&head)?.is_complete() {
        return Err(ParseError::Incomplete);
    }
    let (Some(method), Some(path), Some(version)) = (parsed.method, parsed.path, parsed.version)
    else {
        return Err(ParseError::Incomplete);
    };
    let mut framing = BytesMut::from(format!("{method} {path} HTTP/1.{version}\r\n").as_str());
    let mut others = Vec::with_capacity(parsed.headers.len());
    for field in parsed.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).map_err(|_| ParseError::Header)?;
        if FRAMING_FIELDS.contains(&name) {
            for part in [field.name.as_bytes(), b": ", field.value, b"\r\n"] {
                framing.extend_from_slice(part);
            }
        } else {
            let value = HeaderValue::from_maybe_shared(head.slice_ref(field.value));
            others.push((name, value.map_err(|_| ParseError::Header)?));
        }
    }
    framing.extend_from_slice(b"\r\n");
    let Some(Message::Item(mut request)) = codec.decode(&mut framing)? else {
        return Err(ParseError::Incomplete);
    };
    for (name, value) in others {
        request.headers_mut().append(name, value);
    }
    Ok(Some(DecodedHead {
        request,
        bytes: end,
    }))
}
