//! Detects the head of a response that was cut off and is continued by another response.
//!
//! A faulty peer may cut off a response in its head and go on with the next one on the same connection. The two
//! parse as one head, with the status or the headers of the first and the body of the second. See
//! `docs/platform.md`, "Connections".

/// Longest status line up to the end of its code, `HTTP/1.1 200`, bytes.
const STATUS_LINE_START_BYTES: usize = 12;

/// Whether a status line stands in the head at the begin of `buf` anywhere but at its own begin. Of a head that
/// is not complete yet only whole lines are searched.
#[must_use]
pub fn contains_second_status_line(buf: &[u8]) -> bool {
    let head = &buf[..head_len(buf)];
    let mut starts = head.windows(STATUS_LINE_START_BYTES).skip(1);
    starts.any(is_status_line_start)
}

/// Returns the length of the lines up to the empty one that ends the head, or of those that are there.
fn head_len(buf: &[u8]) -> usize {
    let mut end = 0;
    while let Some(len) = buf[end..].iter().position(|byte| *byte == b'\n') {
        let line = &buf[end..end + len];
        end += len + 1;
        if line.is_empty() || line == b"\r" {
            break;
        }
    }
    end
}

fn is_status_line_start(bytes: &[u8]) -> bool {
    let Some((b"HTTP/1.", rest)) = bytes.split_at_checked(7) else {
        return false;
    };
    matches!(rest, [minor, b' ', code @ ..] if minor.is_ascii_digit() && code.iter().all(u8::is_ascii_digit))
}
