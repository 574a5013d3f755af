//! Header handling of a proxy: which headers are forwarded, and access to header values.

use actix_http::header::CONNECTION;
use actix_http::header::CONTENT_LENGTH;
use actix_http::header::EXPECT;
use actix_http::header::HOST;
use actix_http::header::HeaderMap;
use actix_http::header::HeaderName;
use actix_http::header::HeaderValue;
use actix_http::header::PROXY_AUTHENTICATE;
use actix_http::header::PROXY_AUTHORIZATION;
use actix_http::header::TE;
use actix_http::header::TRAILER;
use actix_http::header::TRANSFER_ENCODING;
use actix_http::header::UPGRADE;

/// Prefix of the headers that nodes exchange with each other.
const INTERNAL_PREFIX: &str = "sw-";
/// Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that each hop sets itself.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Whether a header is forwarded unchanged.
#[must_use]
pub fn is_end_to_end(name: &HeaderName) -> bool {
    !HOP_BY_HOP.contains(name)
        && !name.as_str().starts_with(INTERNAL_PREFIX)
        && name.as_str() != "keep-alive"
}

/// Copies the headers that are forwarded, with capacity for `extra` more.
#[must_use]
pub fn end_to_end(headers: &HeaderMap, extra: usize) -> Vec<(HeaderName, HeaderValue)> {
    let mut forwarded = Vec::with_capacity(headers.len() + extra);
    for (name, value) in headers {
        if is_end_to_end(name) {
            forwarded.push((name.clone(), value.clone()));
        }
    }
    forwarded
}

/// Returns a header's value if it is visible ASCII text.
#[must_use]
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Parses a header's value.
#[must_use]
pub fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    text(headers, name)?.parse().ok()
}

/// Returns the host of a request without its port.
#[must_use]
pub fn host(headers: &HeaderMap) -> &str {
    let host = headers
        .get(HOST)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    without_port(host)
}

/// Returns the value of a `Host` header without its port.
#[must_use]
pub fn without_port(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}
