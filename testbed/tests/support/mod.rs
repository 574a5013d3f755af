//! Helpers that the tests of the stand-ins share.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use awc::Client;
use bytes::Bytes;

/// Listen address; the system chooses the port.
pub const ANY_PORT: &str = "127.0.0.1:0";
/// Timeout of a request and of a wait.
pub const TIMEOUT: Duration = Duration::from_secs(5);

pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    pub fn text(&self) -> &str {
        std::str::from_utf8(&self.body).unwrap()
    }
}

pub fn any_port() -> SocketAddr {
    ANY_PORT.parse().unwrap()
}

pub fn block_on<F: Future>(future: F) -> F::Output {
    actix_rt::System::new().block_on(future)
}

pub async fn send(
    method: &str,
    url: String,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
    timeout: Duration,
) -> Result<Response, String> {
    let mut req = Client::builder()
        .timeout(timeout)
        .finish()
        .request(method.parse().unwrap(), url);
    for (name, value) in headers {
        req = req.insert_header((*name, *value));
    }
    let mut res = req
        .send_body(body.into())
        .await
        .map_err(|e| e.to_string())?;
    let body = res.body().await.map_err(|e| e.to_string())?;
    Ok(Response {
        status: res.status().as_u16(),
        headers: res
            .headers()
            .iter()
            .map(|(n, v)| (n.as_str().into(), v.to_str().unwrap_or_default().into()))
            .collect(),
        body,
    })
}

pub fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "not within {TIMEOUT:?}: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
