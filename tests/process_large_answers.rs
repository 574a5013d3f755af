//! Answers that take seconds to send, beside the stop of a real sidecar process.

mod sidecar_common;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use googletest::prelude::*;
use rustix::process::Signal;
use sidecar_common::HOST;
use sidecar_common::TestFleet;
use sidecar_common::WAIT_LIMIT;
use sidecar_common::run;
use testbed::platform::backend::ATTEMPT_HEADER;
use testbed::platform::fleet::SidecarFleet;
use testbed::platform::fleet::SidecarOptions;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;

/// Size of an answer, bytes.
const ANSWER_BYTES: usize = 12 << 20;
/// Bytes that a caller takes in a second: 30 Mbit/s.
const CALLER_RATE: f64 = 30e6 / 8.0;
/// Small receive buffer of a caller, bytes, so that it takes an answer no faster than it reads.
const RECEIVE_BUFFER: u32 = 64 << 10;
/// Time that the node has for its stop, seconds.
const STOP_WITHIN_S: u64 = 8;
/// Time from SIGTERM to a call: its answer is whole after the time for which callers are served, and before the
/// node has to end.
const CALL_AFTER: Duration = Duration::from_millis(1_200);

/// Sends a call and takes so many bytes of the answer a second. Returns the bytes that arrive.
async fn read_answer(addr: SocketAddr, bytes_per_s: f64) -> eyre::Result<usize> {
    let socket = TcpSocket::new_v4()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    let mut stream = socket.connect(addr).await?;
    let call = format!(
        "GET /wrecks/1 HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\n{ATTEMPT_HEADER}: slow\r\n\r\n"
    );
    stream.write_all(call.as_bytes()).await?;
    let mut buf = vec![0; 16 << 10];
    let mut received = stream.read(&mut buf).await?;
    let began = Instant::now();
    loop {
        let count = stream.read(&mut buf).await?;
        received += count;
        if count == 0 || received >= ANSWER_BYTES {
            return Ok(received);
        }
        #[allow(clippy::cast_precision_loss, reason = "a few million bytes")]
        let due = Duration::from_secs_f64(received as f64 / bytes_per_s);
        actix_rt::time::sleep(due.saturating_sub(began.elapsed())).await;
    }
}

/// Guards against a node that ends at a stop while it still sends an answer: its caller got two thirds of it.
#[gtest]
fn stop_sends_large_answers() {
    run(async {
        let mut env = TestFleet::new(0)?;
        for (index, id) in ["n0", "n1"].into_iter().enumerate() {
            let options = SidecarOptions {
                stop_within_s: STOP_WITHIN_S,
                ..SidecarOptions::new(id, "keta-a", "registry")
            };
            let addrs = SidecarFleet::free_addrs(env.store.addr())?;
            env.fleet.add(options, addrs)?;
            env.fleet.start(index)?;
            env.start_backend_of_size(index, "v1", 0.0, Duration::from_millis(10), ANSWER_BYTES)?;
        }
        env.fleet.wait_ready(WAIT_LIMIT).await?;
        // A stopping node sends calls to the backend servers of other nodes.
        env.wait_peers(0, 1).await?;
        let addr = env.fleet.nodes()[0].addrs.caller;
        let until = Instant::now() + WAIT_LIMIT;
        while read_answer(addr, f64::INFINITY).await? < ANSWER_BYTES {
            eyre::ensure!(Instant::now() < until, "no answer");
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        env.fleet.signal(0, Signal::TERM)?;
        actix_rt::time::sleep(CALL_AFTER).await;
        expect_that!(read_answer(addr, CALLER_RATE).await?, ge(ANSWER_BYTES));
        Ok(())
    });
}
