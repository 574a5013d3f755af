//! HTTP/1.1 messages with bodies of a known length.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Status of a response.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.start
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }

    /// Method of a request.
    #[must_use]
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Path and query of a request.
    #[must_use]
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Parameter of the query of a request, without decoding.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    /// Reads from a stream.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut part = [0; 16 << 10];
        let count = self.stream.read(&mut part)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buf.extend_from_slice(&part[..count]);
        Ok(())
    }

    /// Reads the next message. `Ok(None)` if the peer has closed the connection between messages.
    ///
    /// # Errors
    /// If the connection breaks.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = self.buf.windows(4).position(|part| part == b"\r\n\r\n") {
                break end;
            }
            let was_empty = self.buf.is_empty();
            match self.fill() {
                Err(e) if was_empty && e.kind() == io::ErrorKind::UnexpectedEof => return Ok(None),
                other => other?,
            }
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            start: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        if message.header("transfer-encoding").is_some() {
            return Err(io::Error::other(
                "this stand-in expects bodies with a length",
            ));
        }
        let length = message
            .header("content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        while self.buf.len() < length {
            self.fill()?;
        }
        message.body = self.buf.drain(..length).collect();
        Ok(Some(message))
    }
}

/// Writes a message with its length.
///
/// # Errors
/// If the connection breaks.
pub fn write(
    stream: &mut TcpStream,
    start: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut out = format!("{start}\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = out.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends a request on a new connection and returns the response.
///
/// # Errors
/// If there is no complete response in time.
pub fn call(
    addr: SocketAddr,
    start: &str,
    headers: &[(&str, String)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    write(&mut stream, &format!("{start} HTTP/1.1"), headers, body)?;
    let response = Reader::new(stream).read()?;
    response.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
