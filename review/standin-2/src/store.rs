//! The platform's store: a log whose topics have one partition each, of which the newest record of each key is kept.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::http::Reader;

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Topic {
    /// Records with their lengths, by offset.
    records: Vec<Vec<u8>>,
    /// Newest value and its offset by key.
    newest: BTreeMap<String, (Vec<u8>, usize)>,
}

#[derive(Default)]
struct Topics {
    topics: Mutex<BTreeMap<String, Topic>>,
    appended: Condvar,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    /// Its address.
    pub addr: SocketAddr,
    topics: Arc<Topics>,
    /// Whether each request at this address is turned away.
    is_busy: Arc<AtomicBool>,
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number = part
            .iter()
            .fold(0_u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for index in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= part.len() {
                char::from(digit)
            } else {
                '='
            });
        }
    }
    text
}

impl Topic {
    fn append(&mut self, mut body: &[u8]) -> bool {
        let mut records = Vec::new();
        while !body.is_empty() {
            if body.len() < 4 {
                return false;
            }
            let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
            if body.len() < 4 + length || length == 0 || usize::from(body[4]) >= length {
                return false;
            }
            records.push(body[4..4 + length].to_vec());
            body = &body[4 + length..];
        }
        for record in records {
            let key_end = 1 + usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
            let value = record[key_end..].to_vec();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (value, self.records.len()));
            }
            self.records.push(record);
        }
        true
    }
}

impl Store {
    /// Starts a store.
    ///
    /// # Errors
    /// If no port is free.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            addr: listener.local_addr()?,
            topics: Arc::default(),
            is_busy: Arc::default(),
        };
        store.listen(listener);
        Ok(store)
    }

    /// Another address of the same store, which can turn its clients away on its own.
    ///
    /// # Errors
    /// If no port is free.
    pub fn door(&self) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let door = Self {
            addr: listener.local_addr()?,
            topics: self.topics.clone(),
            is_busy: Arc::default(),
        };
        door.listen(listener);
        Ok(door)
    }

    fn listen(&self, listener: TcpListener) {
        let serving = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
    }

    /// Answers each request at this address with 503 from now on, or serves them again.
    pub fn set_busy(&self, is_busy: bool) {
        self.is_busy.store(is_busy, Ordering::SeqCst);
    }

    /// Writes the value of a key, as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![u8::try_from(key.len()).unwrap()];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let mut body = u32::try_from(record.len()).unwrap().to_be_bytes().to_vec();
        body.extend_from_slice(&record);
        let mut topics = self.topics.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().append(&body);
        self.topics.appended.notify_all();
    }

    /// Newest value of a key.
    #[must_use]
    pub fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let topics = self.topics.topics.lock().unwrap();
        Some(topics.get(topic)?.newest.get(key)?.0.clone())
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(reading);
        while let Ok(Some(request)) = reader.read() {
            thread::sleep(ANSWER_TIME);
            if self.is_busy.load(Ordering::SeqCst) {
                if http::write(&mut stream, "HTTP/1.1 503 -", &[], b"").is_err() {
                    return;
                }
                continue;
            }
            let (status, body) = self.answer(&request);
            let start = format!("HTTP/1.1 {status} -");
            let json = ("Content-Type", "application/json".to_owned());
            if http::write(&mut stream, &start, &[json], &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Vec<u8>) {
        let path = request.target().split('?').next().unwrap_or_default();
        let name = request.query("topic").unwrap_or_default().to_owned();
        let number = |key| {
            request
                .query(key)
                .and_then(|text| text.parse::<usize>().ok())
        };
        match (request.method(), path) {
            ("POST", "/sycamorewick/log-append") => {
                if name == "keyed.op" || name == "keyed.servers" {
                    return (403, Vec::new());
                }
                let mut topics = self.topics.topics.lock().unwrap();
                let topic = topics.entry(name).or_default();
                let end = topic.records.len();
                if number("at").is_some_and(|at| at != end) {
                    return (412, format!("{{\"end-offset\":{end}}}").into_bytes());
                }
                if !topic.append(&request.body) {
                    return (400, Vec::new());
                }
                self.topics.appended.notify_all();
                let answer = format!(
                    "{{\"offset\":{end},\"end-offset\":{}}}",
                    topic.records.len()
                );
                (200, answer.into_bytes())
            }
            ("GET", "/sycamorewick/log-read") => {
                let from = number("from").unwrap_or(0);
                let until = Instant::now()
                    + Duration::from_millis(number("wait-ms").unwrap_or(0).min(30_000) as u64);
                let mut topics = self.topics.topics.lock().unwrap();
                loop {
                    let topic = topics.entry(name.clone()).or_default();
                    let left = until.saturating_duration_since(Instant::now());
                    if topic.records.len() > from || left.is_zero() {
                        let mut body = (topic.records.len() as u64).to_be_bytes().to_vec();
                        body.extend_from_slice(&0_u64.to_be_bytes());
                        for record in topic.records.iter().skip(from) {
                            body.extend_from_slice(
                                &u32::try_from(record.len()).unwrap().to_be_bytes(),
                            );
                            body.extend_from_slice(record);
                        }
                        return (200, body);
                    }
                    topics = self.topics.appended.wait_timeout(topics, left).unwrap().0;
                }
            }
            ("GET", "/sycamorewick/log-newest") => {
                let mut topics = self.topics.topics.lock().unwrap();
                let topic = topics.entry(name).or_default();
                let items = topic.newest.iter().map(|(key, (value, offset))| {
                    format!(
                        "{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}",
                        base64(value)
                    )
                });
                let items = items.collect::<Vec<_>>().join(",");
                let end = topic.records.len();
                (
                    200,
                    format!("{{\"items\":[{items}],\"has-more\":false,\"end-offset\":{end}}}")
                        .into_bytes(),
                )
            }
            _ => (404, Vec::new()),
        }
    }
}
