//! Names as fields of the headers between nodes. See `docs/platform.md`, "Between nodes".
//!
//! Operators choose names freely, while a header is visible ASCII text whose fields end with a separator. A name of
//! visible ASCII characters is its own field, as in earlier builds; other bytes are percent-encoded
//! (RFC 3986, section 2.1).

use std::borrow::Cow;

use percent_encoding::AsciiSet;
use percent_encoding::CONTROLS;
use percent_encoding::percent_decode_str;
use percent_encoding::utf8_percent_encode;

/// Longest name that is sent between nodes, bytes. Heads have a limit, and a longer name would cost other calls their
/// responses, which carry results of several routes.
pub const MAX_NAME_BYTES: usize = 4 << 10;
/// Longest field of such a name: each byte takes up to three characters.
pub const MAX_FIELD_BYTES: usize = 3 * MAX_NAME_BYTES;
/// Separates the fields of a header.
pub const SEPARATOR: char = ';';
/// Encoded characters, besides those outside of ASCII.
const ENCODED: &AsciiSet = &CONTROLS.add(b'%').add(SEPARATOR as u8);
/// The same for a name with a blank at one of its ends, which is not part of a header's value
/// (RFC 9110, section 5.5).
const ENCODED_WITH_BLANKS: &AsciiSet = &ENCODED.add(b' ');
/// Field of an empty name, so that it differs from a field without a name. No other name is encoded like this.
const EMPTY_NAME: &str = "%";

/// Whether a name is sent between nodes.
#[must_use]
pub fn is_sendable(name: &str) -> bool {
    name.len() <= MAX_NAME_BYTES
}

/// Returns the field of a name. It is not empty.
#[must_use]
pub fn encode(name: &str) -> Cow<'_, str> {
    if name.is_empty() {
        return EMPTY_NAME.into();
    }
    let has_outer_blank = name.starts_with(' ') || name.ends_with(' ');
    let encoded = if has_outer_blank {
        ENCODED_WITH_BLANKS
    } else {
        ENCODED
    };
    utf8_percent_encode(name, encoded).into()
}

/// Returns the name of a field; `None` if it is not UTF-8. An empty field counts as an empty name.
#[must_use]
pub fn decode(field: &str) -> Option<Cow<'_, str>> {
    if field == EMPTY_NAME {
        return Some("".into());
    }
    percent_decode_str(field).decode_utf8().ok()
}
