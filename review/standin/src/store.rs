//! Stand-in for the platform's store: topics of keyed records with one partition, in memory.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, Response, serve};

/// Time of one append, as the site files say.
const APPEND: Duration = Duration::from_millis(4);

#[derive(Default)]
pub struct Inner {
    topics: BTreeMap<String, Vec<(String, Vec<u8>)>>,
}

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    inner: Arc<(Mutex<Inner>, Condvar)>,
}

impl Store {
    pub fn start(addr: SocketAddr) -> Self {
        let store = Self {
            addr,
            inner: Arc::default(),
        };
        store.listen(addr, Arc::default());
        store
    }

    /// Serves the same records at a further address, which may turn its callers away with 503.
    pub fn listen(&self, addr: SocketAddr, turned_away: Arc<AtomicBool>) {
        let store = self.clone();
        serve(addr, Arc::default(), move |req, _| {
            if turned_away.load(Ordering::Relaxed) {
                return Some(Response::new(503, ""));
            }
            let response = store.handle(&req);
            // A waiting read is turned away as well.
            if turned_away.load(Ordering::Relaxed) {
                return Some(Response::new(503, ""));
            }
            Some(response)
        })
        .expect("store");
    }

    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let (lock, changed) = &*self.inner;
        let mut inner = lock.lock().unwrap();
        inner
            .topics
            .entry(topic.into())
            .or_default()
            .push((key.into(), value.into()));
        changed.notify_all();
    }

    fn handle(&self, req: &Request) -> Response {
        let topic = req.query("topic").unwrap_or_default();
        let (lock, changed) = &*self.inner;
        match (req.method.as_str(), req.path()) {
            ("POST", "/sycamorewick/log-append") => {
                std::thread::sleep(APPEND);
                let mut inner = lock.lock().unwrap();
                let records = inner.topics.entry(topic).or_default();
                let end = records.len();
                if req.query("at").is_some_and(|at| at != end.to_string()) {
                    return Response::new(412, format!("{{\"end-offset\":{end}}}"));
                }
                let mut rest = &req.body[..];
                while rest.len() >= 4 {
                    let len = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
                    let record = &rest[4..4 + len];
                    let key_len = record[0] as usize;
                    let key = String::from_utf8_lossy(&record[1..1 + key_len]).into_owned();
                    records.push((key, record[1 + key_len..].to_vec()));
                    rest = &rest[4 + len..];
                }
                let body = format!("{{\"offset\":{end},\"end-offset\":{}}}", records.len());
                changed.notify_all();
                Response::new(200, body)
            }
            ("GET", "/sycamorewick/log-read") => {
                let from: usize = req.query("from").and_then(|v| v.parse().ok()).unwrap_or(0);
                let wait: u64 = req
                    .query("wait-ms")
                    .and_then(|v| v.parse().ok())
                    .unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let mut inner = lock.lock().unwrap();
                loop {
                    let records = inner.topics.entry(topic.clone()).or_default();
                    let left = until.saturating_duration_since(Instant::now());
                    if records.len() > from || left.is_zero() {
                        let mut body = Vec::new();
                        body.extend((records.len() as u64).to_be_bytes());
                        body.extend(0u64.to_be_bytes());
                        for (key, value) in records.iter().skip(from) {
                            body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                            body.push(key.len() as u8);
                            body.extend(key.as_bytes());
                            body.extend(value);
                        }
                        return Response::new(200, body);
                    }
                    inner = changed.wait_timeout(inner, left).unwrap().0;
                }
            }
            ("GET", "/sycamorewick/log-newest") => {
                let mut inner = lock.lock().unwrap();
                let records = inner.topics.entry(topic).or_default();
                let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
                for (offset, (key, value)) in records.iter().enumerate() {
                    newest.insert(key, (offset, value));
                }
                let items: Vec<String> = newest
                    .iter()
                    .filter(|(_, (_, value))| !value.is_empty())
                    .map(|(key, (offset, value))| {
                        format!(
                            "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                            base64(value)
                        )
                    })
                    .collect();
                let body = format!(
                    "{{\"items\":[{}],\"has-more\":false,\"end-offset\":{}}}",
                    items.join(","),
                    records.len()
                );
                Response::new(200, body)
            }
            _ => Response::new(404, ""),
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const CHARS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .enumerate()
            .fold(0u32, |w, (i, b)| w | u32::from(*b) << (16 - 8 * i));
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(CHARS[(word >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
