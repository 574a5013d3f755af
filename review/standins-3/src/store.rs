//! Stand-in for the platform's store: keyed topics of one partition that lose nothing.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Connection;
use crate::http::Head;
use crate::http::Response;

type Records = Vec<(String, Vec<u8>)>;

#[derive(Default)]
struct Shared {
    topics: Mutex<HashMap<String, Records>>,
    appended: Condvar,
}

pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let serving = shared.clone();
        http::serve(listener, move |mut connection| {
            while let Ok(head) = connection.read_head() {
                let Ok(response) = answer(&serving, &mut connection, &head) else {
                    return;
                };
                if response.write(&mut connection.stream).is_err() {
                    return;
                }
            }
        });
        Ok(Self { addr, shared })
    }

    /// Appends the value of a key, as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let record = (key.to_owned(), value.as_bytes().to_vec());
        let mut topics = self.shared.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push(record);
        drop(topics);
        self.shared.appended.notify_all();
    }
}

fn answer(shared: &Shared, connection: &mut Connection, head: &Head) -> std::io::Result<Response> {
    let body = connection.read_body(head.length())?;
    let topic = head.query("topic").unwrap_or_default();
    Ok(match (head.method.as_str(), head.path()) {
        ("POST", "/sycamorewick/log-append") => append(shared, head, &topic, &body),
        ("GET", "/sycamorewick/log-read") => read(shared, head, &topic),
        ("GET", "/sycamorewick/log-newest") => newest(shared, &topic),
        _ => Response::new(404, "{}"),
    })
}

fn append(shared: &Shared, head: &Head, topic: &str, body: &[u8]) -> Response {
    if topic == "keyed.op" {
        return Response::new(403, "{}");
    }
    let mut added = Vec::new();
    let mut rest = body;
    while rest.len() >= 5 {
        let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
        if rest.len() < 4 + length || length == 0 {
            return Response::new(400, "{}");
        }
        let record = &rest[4..4 + length];
        let key = usize::from(record[0]);
        let text = String::from_utf8_lossy(&record[1..=key]).into_owned();
        added.push((text, record[1 + key..].to_vec()));
        rest = &rest[4 + length..];
    }
    let mut topics = shared.topics.lock().unwrap();
    let records = topics.entry(topic.to_owned()).or_default();
    let at: Option<usize> = head.query("at").and_then(|text| text.parse().ok());
    if at.is_some_and(|at| at != records.len()) {
        return Response::new(412, format!("{{\"end-offset\":{}}}", records.len()));
    }
    let offset = records.len();
    records.extend(added);
    let end = records.len();
    drop(topics);
    shared.appended.notify_all();
    Response::new(200, format!("{{\"offset\":{offset},\"end-offset\":{end}}}"))
}

fn read(shared: &Shared, head: &Head, topic: &str) -> Response {
    let number = |name| head.query(name).and_then(|text| text.parse().ok());
    let from = number("from").unwrap_or(0) as usize;
    let until = Instant::now() + Duration::from_millis(number("wait-ms").unwrap_or(0).min(30_000));
    let mut topics = shared.topics.lock().unwrap();
    loop {
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let left = until.saturating_duration_since(Instant::now());
        if records.len() > from || left.is_zero() {
            let mut body = (records.len() as u64).to_be_bytes().to_vec();
            body.extend(0_u64.to_be_bytes());
            for (key, value) in records.iter().skip(from) {
                let length = 1 + key.len() + value.len();
                body.extend((length as u32).to_be_bytes());
                body.push(key.len() as u8);
                body.extend(key.as_bytes());
                body.extend(value);
            }
            return Response::new(200, body);
        }
        topics = shared.appended.wait_timeout(topics, left).unwrap().0;
    }
}

fn newest(shared: &Shared, topic: &str) -> Response {
    let topics = shared.topics.lock().unwrap();
    let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
    let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
    for (offset, (key, value)) in records.iter().enumerate() {
        if value.is_empty() {
            newest.remove(key.as_str());
        } else {
            newest.insert(key, (offset, value));
        }
    }
    let items = newest.iter().map(|(key, (offset, value))| {
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
            base64(value)
        )
    });
    let items: Vec<String> = items.collect();
    let end = records.len();
    let body = format!(
        "{{\"items\":[{}],\"has-more\":false,\"end-offset\":{end}}}",
        items.join(",")
    );
    Response::new(200, body)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0_u8; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for index in 0..4 {
            if index > chunk.len() {
                text.push('=');
            } else {
                let digit = (word >> (18 - 6 * index)) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            }
        }
    }
    text
}
