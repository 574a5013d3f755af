//! Counts the responses that are not sent yet, so that a stopping process does not cut them off. See
//! `docs/platform.md`, "Stop".

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use actix_rt::net::TcpStream;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Number of responses of a server that the kernel has not taken completely.
#[derive(Clone, Debug, Default)]
pub struct UnsentCount(Rc<Cell<usize>>);

impl UnsentCount {
    /// Returns the number of responses.
    #[must_use]
    pub fn get(&self) -> usize {
        self.0.get()
    }

    /// Counts a response until the guard is dropped.
    #[must_use]
    pub fn begin(&self) -> Unsent {
        self.0.set(self.0.get() + 1);
        Unsent(self.clone())
    }
}

/// Guard that counts a response as unsent.
#[derive(Debug)]
pub struct Unsent(UnsentCount);

impl Drop for Unsent {
    fn drop(&mut self) {
        self.0.0.set(self.0.0.get() - 1);
    }
}

/// A connection that counts as unsent between a write and the flush after it.
///
/// The dispatcher of `actix-http` flushes a connection only once the kernel has taken all that it has to
/// write, and reports the end of a response to nobody.
pub struct CountedStream {
    stream: TcpStream,
    count: UnsentCount,
    unsent: Option<Unsent>,
}

impl CountedStream {
    /// Wraps a connection of a server.
    #[must_use]
    pub fn new(stream: TcpStream, count: UnsentCount) -> Self {
        Self {
            stream,
            count,
            unsent: None,
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.unsent.is_none() {
            self.unsent = Some(self.count.begin());
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if flushed.is_ready() {
            self.unsent = None;
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
