//! Tests that the proxy applies each fault to its connections.

use std::net::SocketAddr;
use std::time::Duration;

use googletest::prelude::*;
use soak::proxy::LinkFault;
use soak::proxy::Proxy;
use testbed::fleet::free_addr;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Time after which a response counts as missing.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts an echo server and a proxy to it.
async fn start_echo() -> eyre::Result<(Proxy, SocketAddr)> {
    let server = TcpListener::bind("127.0.0.1:0").await?;
    let to = server.local_addr()?;
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = server.accept().await {
            actix_rt::spawn(async move {
                let (mut from, mut to) = stream.split();
                // Ends with the connection.
                let _ = tokio::io::copy(&mut from, &mut to).await;
            });
        }
    });
    let listen = free_addr()?;
    Ok((Proxy::start(listen, to, 1).await?, listen))
}

/// Sends a word and reads it back. Returns `None` if nothing comes back within the timeout.
async fn ping(stream: &mut TcpStream) -> Option<std::io::Result<usize>> {
    let mut buf = [0; 4];
    if let Err(e) = stream.write_all(b"word").await {
        return Some(Err(e));
    }
    let read = stream.read_exact(&mut buf);
    actix_rt::time::timeout(RESPONSE_TIMEOUT, read).await.ok()
}

/// Guards against faults that have no effect, on open and on new connections.
#[gtest]
fn set_fault_applies_faults() {
    let test = async {
        let (proxy, listen) = start_echo().await?;
        let mut open = TcpStream::connect(listen).await?;
        expect_true!(ping(&mut open).await.is_some_and(|read| read.is_ok()));
        for fault in [
            LinkFault::Stall,
            LinkFault::DropRequests,
            LinkFault::DropResponses,
        ] {
            proxy.set_fault(fault);
            let mut new = TcpStream::connect(listen).await?;
            expect_true!(ping(&mut new).await.is_none(), "{fault:?}");
            proxy.set_fault(LinkFault::None);
        }
        proxy.set_fault(LinkFault::Delay(Duration::from_millis(50)));
        expect_true!(ping(&mut open).await.is_some_and(|read| read.is_ok()));
        proxy.set_fault(LinkFault::Reset);
        let mut new = TcpStream::connect(listen).await?;
        expect_true!(ping(&mut open).await.is_some_and(|read| read.is_err()));
        expect_true!(ping(&mut new).await.is_some_and(|read| read.is_err()));
        Ok::<_, eyre::Report>(())
    };
    if let Err(e) = actix_rt::System::new().block_on(test) {
        panic!("{e:#}");
    }
}
