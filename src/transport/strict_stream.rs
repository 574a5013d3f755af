//! TCP stream that reports the end of the connection, or an invalid head of a response, as an error.
//!
//! `awc` treats the end of the connection as the end of the body, so a truncated response would look
//! like a shorter complete one (invariant 5). A complete response ends with its `content-length` or its
//! last chunk, before the end of the connection is read. A response without either, which RFC 9112,
//! section 6.3, allows, cannot be distinguished from a truncated one and becomes an error as well.
//! `awc` also accepts heads that break the grammar, see [`response_head`].

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use actix_http::Uri;
use actix_rt::net::ActixStream;
use actix_rt::net::Ready;
use actix_rt::net::TcpStream;
use actix_service::Service;
use actix_service::ServiceExt;
use actix_tls::connect::ConnectError;
use actix_tls::connect::ConnectInfo;
use actix_tls::connect::Connection;
use actix_tls::connect::Connector;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::transport::response_head;

/// Stream that reports its end as [`io::ErrorKind::UnexpectedEof`] and an invalid head as [`io::ErrorKind::Other`].
#[derive(Debug)]
pub struct StrictStream {
    stream: TcpStream,
    /// Received part of the head of the response, `None` from its end until the next request is written. `awc` reads
    /// only after it has written the whole request.
    head: Option<Vec<u8>>,
}

/// Returns a service that opens [`StrictStream`]s.
#[must_use]
pub fn connector()
-> impl Service<ConnectInfo<Uri>, Response = Connection<Uri, StrictStream>, Error = ConnectError>
+ Clone
+ 'static {
    Connector::default()
        .service()
        .map(|connection: Connection<Uri, TcpStream>| {
            let (stream, uri) = connection.into_parts();
            Connection::new(uri, StrictStream { stream, head: None })
        })
}

impl AsyncRead for StrictStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let had_room = buf.remaining() > 0;
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if had_room && buf.filled().len() == before {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        if let Some(head) = &mut self.head {
            head.extend_from_slice(&buf.filled()[before..]);
            // `awc` never sees the end of an invalid head.
            if response_head::check(head)? {
                self.head = None;
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for StrictStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.head.get_or_insert_default();
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl ActixStream for StrictStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, cx)
    }
}
