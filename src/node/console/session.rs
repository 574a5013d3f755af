//! Console sessions. They are kept in signed cookies and not on the node, so a restart of the node
//! does not end them.

use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::header::COOKIE;
use actix_http::header::HOST;
use actix_http::header::ORIGIN;
use url::form_urlencoded;

use crate::protocol::time::WallMs;
use crate::transport::headers;

pub const COOKIE_NAME: &str = "sw-console";
/// Time after which an operator must sign in again; covers a working day.
pub const MAX_SESSION_S: u64 = 12 * 3_600;
/// Longest name of an operator; equals the limit of the authors of publications.
pub const MAX_AUTHOR_BYTES: usize = 64;
/// BLAKE3 `derive_key` contexts of the keys derived from the token.
const SESSION_CONTEXT: &str = "sycamorewick 2026 console session";
const FORM_CONTEXT: &str = "sycamorewick 2026 console form";

/// Session of an operator who has signed in.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Session {
    /// Name that the operator gave.
    pub author: String,
    /// Value of the session cookie.
    pub cookie: String,
}

impl Session {
    /// Starts a session.
    pub fn new(token: &str, author: &str, now: WallMs) -> Self {
        let until = now.0.saturating_add(MAX_SESSION_S * 1_000);
        let encoded: String = form_urlencoded::byte_serialize(author.as_bytes()).collect();
        let signed = format!("{until}.{encoded}");
        let mac = mac(SESSION_CONTEXT, token, &signed);
        Self {
            author: author.to_owned(),
            cookie: format!("{signed}.{}", mac.to_hex()),
        }
    }

    /// Returns the session of a request, if it has a valid one.
    pub fn from_request(req: &Request, token: &str, now: WallMs) -> Option<Self> {
        let cookies = headers::text(req.headers(), COOKIE.as_str())?;
        let value = cookies.split(';').find_map(|cookie| {
            let (name, value) = cookie.trim().split_once('=')?;
            (name == COOKIE_NAME).then_some(value)
        })?;
        let (signed, cookie_mac) = value.rsplit_once('.')?;
        // Hashes are compared in constant time.
        let cookie_mac = blake3::Hash::from_hex(cookie_mac).ok()?;
        if mac(SESSION_CONTEXT, token, signed) != cookie_mac {
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
            cookie: value.to_owned(),
        })
    }

    /// Returns the token that the forms of this session carry against cross-site request forgery: another
    /// site can neither read nor guess it.
    pub fn form_token(&self, token: &str) -> String {
        mac(FORM_CONTEXT, token, &self.cookie).to_hex().to_string()
    }

    /// Whether a form that carries `form_token` belongs to this session.
    pub fn accepts_form(&self, token: &str, form_token: &str) -> bool {
        blake3::Hash::from_hex(form_token)
            .is_ok_and(|form_mac| form_mac == mac(FORM_CONTEXT, token, &self.cookie))
    }
}

/// Whether a request comes from a page of this console, according to the headers that the browser sets.
/// Requests without these headers are accepted.
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

fn mac(context: &str, token: &str, message: &str) -> blake3::Hash {
    let key = blake3::derive_key(context, token.as_bytes());
    blake3::keyed_hash(&key, message.as_bytes())
}
