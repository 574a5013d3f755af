//! Bodies that stop arriving, on the ports of a real sidecar process.

mod sidecar_common;

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use actix_http::StatusCode;
use googletest::prelude::*;
use sidecar_common::HOST;
use sidecar_common::TestFleet;
use sidecar_common::WAIT_LIMIT;
use sidecar_common::hop_header;
use sidecar_common::run;
use sycamorewick::protocol::hop::HOP_REQUEST_HEADER;
use sycamorewick::result_code::ResultCode;
use testbed::platform::backend::ATTEMPT_HEADER;

/// Size of the announced bodies, bytes; large enough for the gate of large bodies.
const BODY_BYTES: usize = 200_000;
/// Bodies that the node lets pass at once over its link of 1 Gbit/s are fewer.
const STALLED_BODIES: usize = 200;
/// Time limit of a call between nodes.
const TIME_LEFT: Duration = Duration::from_secs(2);
/// Time limit of the route of the configuration.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(3);

/// Announces a large body to a node as another node does.
fn announce_body(addr: SocketAddr) -> eyre::Result<TcpStream> {
    let head = hop_header("lookup", TIME_LEFT);
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(TIME_LEFT))?;
    write!(
        stream,
        "POST /wrecks/1 HTTP/1.1\r\nhost: {HOST}\r\n{HOP_REQUEST_HEADER}: {}\r\nexpect: 100-continue\r\n\
         {ATTEMPT_HEADER}: t1\r\ncontent-length: {BODY_BYTES}\r\n\r\n",
        head.encode(),
    )?;
    Ok(stream)
}

/// Returns the status of the next response of a node.
fn read_status(stream: &mut TcpStream) -> eyre::Result<u16> {
    let mut buf = [0; 16 << 10];
    let length = stream.read(&mut buf)?;
    let text = String::from_utf8_lossy(&buf[..length]);
    let status = text.split(' ').nth(1).unwrap_or_default();
    status
        .parse()
        .map_err(|e| eyre::eyre!("{text:?} has no status: {e}"))
}

/// Guards against large bodies that are refused for good after a link was cut: the peers whose bodies have
/// stopped arriving keep all places at the gate.
#[gtest]
fn places_of_stalled_bodies() {
    run(async {
        let env = TestFleet::start(1).await?;
        let addr = env.fleet.nodes()[0].addrs.node;
        let mut stalled = Vec::new();
        let mut passed = 0;
        for _ in 0..STALLED_BODIES {
            let mut stream = announce_body(addr)?;
            passed += usize::from(read_status(&mut stream).is_ok_and(|status| status == 100));
            stalled.push(stream);
            if passed < stalled.len() {
                break;
            }
        }
        expect_that!(passed, all![gt(1), lt(STALLED_BODIES)]);
        actix_rt::time::sleep(TIME_LEFT).await;
        let mut stream = announce_body(addr)?;
        expect_that!(read_status(&mut stream)?, eq(100));
        stream.write_all(&vec![b'x'; BODY_BYTES])?;
        expect_that!(read_status(&mut stream)?, eq(200));
        // The connection of a body that was given up is closed, since its rest may still arrive.
        let first = &mut stalled[0];
        let mut rest = Vec::new();
        first.read_to_end(&mut rest)?;
        let text = String::from_utf8_lossy(&rest);
        let refused = format!("sw-end: no;0;{};", ResultCode::DeadlineExceeded.number());
        expect_that!(text, contains_substring(refused));
        Ok(())
    });
}

/// Guards against memory for bodies that is held for good by callers that are gone without closing their
/// connections, and against a stop that waits for them.
#[gtest]
fn stalled_body_of_caller() {
    run(async {
        let mut env = TestFleet::start(1).await?;
        let addr = env.fleet.nodes()[0].addrs.caller;
        let mut stream = TcpStream::connect(addr)?;
        stream.set_read_timeout(Some(WAIT_LIMIT))?;
        let began = Instant::now();
        write!(
            stream,
            "POST /wrecks/1 HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: 60000\r\n\r\npart of a body"
        )?;
        let status = actix_rt::task::spawn_blocking(move || read_status(&mut stream)).await??;
        expect_that!(status, eq(504));
        expect_that!(began.elapsed(), ge(ROUTE_TIMEOUT));
        env.wait_for(WAIT_LIMIT, 0, "/wrecks/1", StatusCode::OK)
            .await
    });
}
