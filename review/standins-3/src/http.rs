//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Head of a request.
#[derive(Clone, Debug)]
pub struct Head {
    pub method: String,
    pub target: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then(|| value.to_owned())
        })
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        field(&self.fields, name)
    }

    pub fn length(&self) -> usize {
        self.field("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

fn field<'a>(fields: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut fields = fields.iter();
    let found = fields.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
    Some(&found.1)
}

/// A response.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self {
            status,
            fields: Vec::new(),
            body: body.into(),
        }
    }

    pub fn with(mut self, name: &str, value: &str) -> Self {
        self.fields.push((name.to_owned(), value.to_owned()));
        self
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        field(&self.fields, name)
    }

    pub fn write(&self, stream: &mut TcpStream) -> io::Result<()> {
        let mut out = format!("HTTP/1.1 {} Status\r\n", self.status);
        for (name, value) in &self.fields {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        out.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        let mut bytes = out.into_bytes();
        bytes.extend_from_slice(&self.body);
        stream.write_all(&bytes)
    }
}

/// A connection of a server or a client.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
    pub stream: TcpStream,
}

impl Connection {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream.try_clone()?),
            stream,
        })
    }

    pub fn open(addr: SocketAddr) -> io::Result<Self> {
        Self::new(TcpStream::connect_timeout(&addr, Duration::from_secs(1))?)
    }

    fn lines(&mut self) -> io::Result<(String, Vec<(String, String)>)> {
        let mut first = String::new();
        if self.reader.read_line(&mut first)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let mut fields = Vec::new();
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end();
            if line.is_empty() {
                return Ok((first.trim_end().to_owned(), fields));
            }
            if let Some((name, value)) = line.split_once(':') {
                fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    pub fn read_head(&mut self) -> io::Result<Head> {
        let (first, fields) = self.lines()?;
        let mut words = first.split(' ');
        Ok(Head {
            method: words.next().unwrap_or_default().to_owned(),
            target: words.next().unwrap_or_default().to_owned(),
            fields,
        })
    }

    /// Reads `count` bytes of a body and drops them.
    pub fn drop_body(&mut self, count: usize) -> io::Result<()> {
        let mut part = (&mut self.reader).take(count as u64);
        let read = io::copy(&mut part, &mut io::sink())?;
        if read < count as u64 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(())
    }

    pub fn read_body(&mut self, count: usize) -> io::Result<Vec<u8>> {
        let mut body = vec![0; count];
        self.reader.read_exact(&mut body)?;
        Ok(body)
    }

    pub fn read_response(&mut self) -> io::Result<Response> {
        let (first, fields) = self.lines()?;
        let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
        let mut response = Response {
            status: status.unwrap_or(0),
            fields,
            body: Vec::new(),
        };
        let length = response.field("content-length");
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        response.body = self.read_body(length)?;
        Ok(response)
    }

    pub fn send(
        &mut self,
        method: &str,
        target: &str,
        fields: &[(&str, &str)],
        body: &[u8],
    ) -> io::Result<()> {
        let mut head = format!("{method} {target} HTTP/1.1\r\n");
        for (name, value) in fields {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        if method != "GET" || !body.is_empty() {
            head.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        if body.len() < 64 << 10 {
            bytes.extend_from_slice(body);
            return self.stream.write_all(&bytes);
        }
        self.stream.write_all(&bytes)?;
        self.stream.write_all(body)
    }
}

/// Sends a request on a new connection and returns the response.
pub fn call(
    addr: SocketAddr,
    method: &str,
    target: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Response> {
    let mut connection = Connection::open(addr)?;
    connection.stream.set_read_timeout(Some(limit))?;
    connection.send(method, target, fields, body)?;
    connection.read_response()
}

/// Time between two looks for new connections.
pub const ACCEPT_INTERVAL: Duration = Duration::from_millis(2);

/// Accepts connections as long as a condition holds, each on a thread of its own, and closes the listener then.
pub fn serve_while(
    listener: TcpListener,
    may_serve: impl Fn() -> bool + Send + 'static,
    handle: impl Fn(Connection) + Send + Sync + 'static,
) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        if listener.set_nonblocking(true).is_err() {
            return;
        }
        while may_serve() {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(ACCEPT_INTERVAL);
                continue;
            };
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = stream.set_nonblocking(false);
                if let Ok(connection) = Connection::new(stream) {
                    handle(connection);
                }
            });
        }
    });
}

/// Accepts connections, each on a thread of its own. The threads end with the process.
pub fn serve(listener: TcpListener, handle: impl Fn(Connection) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                if let Ok(connection) = Connection::new(stream) {
                    handle(connection);
                }
            });
        }
    });
}
