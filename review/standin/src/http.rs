//! Minimal HTTP/1.1 server and client on threads.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

pub type Headers = Vec<(String, String)>;

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

#[derive(Clone, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }
    pub fn get(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

impl Request {
    pub fn get(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
    pub fn query(&self, key: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        query.split('&').find_map(|pair| {
            let (name, value) = pair.split_once('=')?;
            (name == key).then(|| value.to_string())
        })
    }
}

pub fn find<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(n, _)| n.eq_ignore_ascii_case(name))
        .map(|(_, v)| v.as_str())
}

fn read_line(r: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if r.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_string())
}

fn read_headers(r: &mut impl BufRead) -> io::Result<Headers> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(r)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_string(), value.trim().to_string()));
        }
    }
}

fn read_body(r: &mut impl BufRead, headers: &Headers) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if find(headers, "transfer-encoding").is_some_and(|v| v.contains("chunked")) {
        loop {
            let size = usize::from_str_radix(&read_line(r)?, 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size];
            r.read_exact(&mut chunk)?;
            read_line(r)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    let length = find(headers, "content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    body.resize(length, 0);
    r.read_exact(&mut body)?;
    Ok(body)
}

pub fn read_request(r: &mut impl BufRead) -> io::Result<Request> {
    let line = read_line(r)?;
    let mut parts = line.split(' ');
    let method = parts.next().unwrap_or("").to_string();
    let target = parts.next().unwrap_or("").to_string();
    let headers = read_headers(r)?;
    let body = read_body(r, &headers)?;
    Ok(Request {
        method,
        target,
        headers,
        body,
    })
}

pub fn read_response(r: &mut impl BufRead) -> io::Result<Response> {
    let line = read_line(r)?;
    let status = line
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let headers = read_headers(r)?;
    let body = read_body(r, &headers)?;
    Ok(Response {
        status,
        headers,
        body,
    })
}

/// Reads the head of a response. Returns the status line and the length of the body.
pub fn read_response_head(r: &mut impl BufRead) -> io::Result<(String, usize)> {
    let line = read_line(r)?;
    let headers = read_headers(r)?;
    let length = find(&headers, "content-length").and_then(|v| v.parse().ok());
    Ok((line, length.ok_or_else(|| io::Error::other("no length"))?))
}

pub fn write_response(w: &mut impl Write, response: &Response) -> io::Result<()> {
    let mut out = format!(
        "HTTP/1.1 {} X\r\ncontent-length: {}\r\n",
        response.status,
        response.body.len()
    );
    for (name, value) in &response.headers {
        out += &format!("{name}: {value}\r\n");
    }
    out += "\r\n";
    let mut bytes = out.into_bytes();
    bytes.extend(&response.body);
    w.write_all(&bytes)
}

pub fn free_addr() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .and_then(|l| l.local_addr())
        .expect("free port")
}

/// Serves requests, one thread a connection. `handle` returns `None` to close without an answer.
pub fn serve<F>(addr: SocketAddr, stop: Arc<AtomicBool>, handle: F) -> io::Result<()>
where
    F: Fn(Request, &TcpStream) -> Option<Response> + Send + Sync + 'static,
{
    let listener = TcpListener::bind(addr)?;
    listener.set_nonblocking(true)?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let (handle, stop) = (handle.clone(), stop.clone());
            thread::spawn(move || {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let Ok(mut writer) = stream.try_clone() else {
                    return;
                };
                let mut reader = BufReader::new(stream);
                while let Ok(request) = read_request(&mut reader) {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let Some(response) = handle(request, reader.get_ref()) else {
                        return;
                    };
                    if write_response(&mut writer, &response).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

pub fn request_bytes(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        out += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() || method == "POST" {
        out += &format!("content-length: {}\r\n", body.len());
    }
    out += "\r\n";
    let mut bytes = out.into_bytes();
    bytes.extend(body);
    bytes
}

/// Sends a request on a connection of its own and reads the whole answer.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(&request_bytes(method, target, headers, body))?;
    read_response(&mut BufReader::new(stream))
}
