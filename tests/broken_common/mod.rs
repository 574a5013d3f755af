//! A peer whose responses are broken.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use socket2::SockRef;

/// What a peer does after a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// Waits for the next request.
    Open,
    /// Closes the connection.
    Close,
    /// Resets the connection, so that the response never ends.
    Reset,
    /// Closes its side of the connection, which ends the response, then resets the connection.
    CloseThenReset,
}

/// Starts a peer that answers each request, given its head, without reading its body.
pub fn start_peer(
    addr: SocketAddr,
    respond: impl Fn(&str) -> (Vec<u8>, End) + Clone + Send + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(addr)?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let respond = respond.clone();
            thread::spawn(move || serve(stream, respond));
        }
    });
    Ok(addr)
}

fn serve(mut stream: TcpStream, respond: impl Fn(&str) -> (Vec<u8>, End)) -> io::Result<()> {
    stream.set_nodelay(true)?;
    loop {
        let (response, end) = respond(&read_head(&mut stream)?);
        // In two segments, so that a head often arrives in parts.
        let (first, second) = response.split_at(response.len() / 2);
        stream.write_all(first)?;
        stream.write_all(second)?;
        match end {
            End::Open => continue,
            End::Close => return Ok(()),
            End::Reset => {}
            End::CloseThenReset => stream.shutdown(Shutdown::Write)?,
        }
        return SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    }
}

/// Reads a head, with the part of the body that arrives together with it.
fn read_head(stream: &mut TcpStream) -> io::Result<String> {
    let mut head = Vec::new();
    let mut buf = [0; 4 << 10];
    while !head.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
        let received = stream.read(&mut buf)?;
        if received == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        head.extend_from_slice(&buf[..received]);
    }
    Ok(String::from_utf8_lossy(&head).into_owned())
}

/// Heads of a response without a length, whose body ends with the connection. They end before the last empty line.
pub const HEADS_WITHOUT_LENGTH: [&str; 4] = [
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 200 OK\r\nconnection: close\r\n",
    "HTTP/1.1 200 OK\r\nconnection: keep-alive\r\n",
    "HTTP/1.0 200 OK\r\n",
];

/// Status lines with an invalid status code (RFC 9110, section 15).
pub const INVALID_STATUS_LINES: [&str; 11] = [
    "HTTP/1.1 000 Trouble",
    "HTTP/1.1 000 ",
    "HTTP/1.0 000 Trouble",
    "HTTP/1.1 001 Trouble",
    "HTTP/1.1 099 Trouble",
    "HTTP/1.1 00 Trouble",
    "HTTP/1.1 20 Trouble",
    "HTTP/1.1 2000 Trouble",
    "HTTP/1.1 -20 Trouble",
    "HTTP/1.1 600 Trouble",
    "HTTP/1.1 999 Trouble",
];

/// Fields whose name is not a token (RFC 9110, section 5.1).
pub const INVALID_FIELD_NAMES: [&str; 18] = [
    "x-note : 1",
    "x-note\t: 1",
    "x-note  \t: 1",
    "content-length : 2",
    "Content-Length : 1",
    "transfer-encoding : chunked",
    "x note: 1",
    "x\tnote: 1",
    "content length: 1",
    "transfer encoding: chunked",
    " x-note: 1",
    "x\u{1}note: 1",
    "x\0note: 1",
    "x-note\u{7f}: 1",
    "\u{1b}x-note: 1",
    "content-length\u{1}: 1",
    ": 1",
    "x-note",
];

/// Fields whose value is continued or holds a control byte (RFC 9110, section 5.5, and RFC 9112, section 5.2).
pub const INVALID_FIELD_VALUES: [&str; 4] = [
    "x-note: 1\r\n 2",
    "x-note: 1\r\n\t2",
    "x-note: 1\0",
    "x-note: 1\r2",
];

/// Complete heads with line endings or separators that break the grammar (RFC 9112, sections 2.2 and 4). The body has
/// two bytes.
pub const INVALID_LINES: [&str; 9] = [
    "HTTP/1.1 200 OK\ncontent-length: 2\n\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 2\n\r\n",
    "HTTP/1.1 200 OK\ncontent-length: 2\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\n",
    "\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n",
    "HTTP/1.1  200 OK\r\ncontent-length: 2\r\n\r\n",
    "HTTP/1.1\t200 OK\r\ncontent-length: 2\r\n\r\n",
    "HTTP/1.1 200\r\ncontent-length: 2\r\n\r\n",
    "HTTP/1.1 200 O\u{1}K\r\ncontent-length: 2\r\n\r\n",
];

/// Heads, without the last line ending, that frame the body ambiguously or with a coding that is not decoded (RFC 9112,
/// sections 6.1 and 6.3).
pub const INVALID_FRAMINGS: [&str; 14] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 2",
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 1",
    "HTTP/1.1 200 OK\r\ncontent-length: 2, 2",
    "HTTP/1.1 200 OK\r\ncontent-length: +2",
    "HTTP/1.1 200 OK\r\ncontent-length: -2",
    "HTTP/1.1 200 OK\r\ncontent-length: 2x",
    "HTTP/1.1 200 OK\r\ncontent-length:",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 2",
    "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked, chunked",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: identity",
    "HTTP/1.0 200 OK\r\ntransfer-encoding: chunked",
];
