//! Sign-in to the console: a signed cookie instead of state, so that a restart of the node signs
//! nobody out.

use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::header::COOKIE;
use actix_http::header::HOST;
use actix_http::header::ORIGIN;
use url::form_urlencoded;

use crate::protocol::time::WallMs;
use crate::transport::headers;

/// Name of the cookie.
pub const COOKIE_NAME: &str = "sw-console";
/// Time after which an operator signs in again, seconds; a working day.
pub const SESSION_S: u64 = 12 * 3_600;
/// Longest name of an operator, bytes; the limit of authors of publications.
pub const MAX_AUTHOR_BYTES: usize = 64;
/// Purposes of the keys that are derived from the token (BLAKE3 `derive_key` contexts).
const SESSION_CONTEXT: &str = "sycamorewick 2026 console session";
const FORM_CONTEXT: &str = "sycamorewick 2026 console form";

/// An operator who signed in.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Session {
    /// Name that the operator gave.
    pub author: String,
    /// Value of the cookie.
    pub value: String,
}

impl Session {
    /// Starts a session.
    pub fn new(token: &str, author: &str, now: WallMs) -> Self {
        let until = now.0.saturating_add(SESSION_S * 1_000);
        let encoded: String = form_urlencoded::byte_serialize(author.as_bytes()).collect();
        let signed = format!("{until}.{encoded}");
        let tag = tag(SESSION_CONTEXT, token, &signed);
        Self {
            author: author.to_owned(),
            value: format!("{signed}.{}", tag.to_hex()),
        }
    }

    /// Returns the session of a request, if it has a valid one.
    pub fn of(req: &Request, token: &str, now: WallMs) -> Option<Self> {
        let cookies = headers::text(req.headers(), COOKIE.as_str())?;
        let value = cookies.split(';').find_map(|cookie| {
            let (name, value) = cookie.trim().split_once('=')?;
            (name == COOKIE_NAME).then_some(value)
        })?;
        let (signed, given) = value.rsplit_once('.')?;
        // The comparison of hashes takes the same time for all values.
        let given = blake3::Hash::from_hex(given).ok()?;
        if tag(SESSION_CONTEXT, token, signed) != given {
            return None;
        }
        let (until, author) = signed.split_once('.')?;
        let until: u64 = until.parse().ok()?;
        if now.0 >= until {
            return None;
        }
        let (author, _) = form_urlencoded::parse(author.as_bytes()).next()?;
        Some(Self {
            author: author.into_owned(),
            value: value.to_owned(),
        })
    }

    /// Value that a form of this session carries. A page of another site can neither read nor guess
    /// it, so that it cannot send a form in the operator's name.
    pub fn form_token(&self, token: &str) -> String {
        tag(FORM_CONTEXT, token, &self.value).to_hex().to_string()
    }

    /// Whether a form was made for this session.
    pub fn accepts_form(&self, token: &str, given: &str) -> bool {
        blake3::Hash::from_hex(given)
            .is_ok_and(|given| given == tag(FORM_CONTEXT, token, &self.value))
    }
}

/// Whether a request that changes something comes from a page of this console, as far as the browser
/// tells.
pub fn is_same_origin(req: &Request) -> bool {
    let header = |name: &str| headers::text(req.headers(), name);
    if header("sec-fetch-site").is_some_and(|site| site != "same-origin" && site != "none") {
        return false;
    }
    match (header(ORIGIN.as_str()), header(HOST.as_str())) {
        (None, _) => true,
        (Some(origin), Some(host)) => {
            origin.split_once("://").map(|(_, authority)| authority) == Some(host)
        }
        (Some(_), None) => false,
    }
}

fn tag(context: &str, token: &str, message: &str) -> blake3::Hash {
    let key = blake3::derive_key(context, token.as_bytes());
    blake3::keyed_hash(&key, message.as_bytes())
}
