//! Memory that the metrics of a sidecar take while nobody fetches them.

mod sidecar_common;

use std::env;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process;
use std::thread;
use std::time::Duration;

use actix_rt::System;
use googletest::prelude::*;
use sidecar_common::HOST;
use sidecar_common::TestFleet;
use sidecar_common::run;
use sycamorewick::sidecar::metrics::SidecarMetrics;
use testbed::measure::process_usage::ProcessUsage;

/// Requests whose observations are recorded in one step, the steps, and the pause after each. Without upkeep
/// the second half of the steps takes 16 MB.
const STEP_REQUESTS: usize = 200_000;
const STEPS: usize = 20;
const STEP_PAUSE: Duration = Duration::from_millis(500);
/// Memory that may be added after a first part of the requests, kB.
const MAX_GROWTH_KB: i64 = 4_000;
/// Requests to a process. `SYCAMOREWICK_REQUESTS` sets another number, for runs by hand.
const REQUESTS: usize = 50_000;
/// Requests that are sent without waiting for the answers to those before.
const PIPELINED: usize = 16;

/// Memory of a process, kB.
fn memory_kb(pid: u32) -> eyre::Result<i64> {
    Ok(i64::try_from(ProcessUsage::read(pid)?.rss_kib)?)
}

/// Guards against observations that are kept one by one until somebody fetches the metrics, some 25 bytes a
/// request.
#[gtest]
fn observations_without_fetch() {
    let memory = System::new().block_on(async {
        let metrics = SidecarMetrics::install().expect("the only recorder of the process");
        let mut memory = Vec::new();
        for _ in 0..STEPS {
            for _ in 0..STEP_REQUESTS {
                metrics.call_latency.record(0.01);
                metrics.backend_latency.record(0.01);
            }
            actix_rt::time::sleep(STEP_PAUSE).await;
            memory.push(memory_kb(process::id()).expect("the own status"));
        }
        memory
    });
    // Between two upkeeps four steps are kept.
    let first = memory[..STEPS / 2].iter().max();
    let second = memory[STEPS / 2..].iter().max();
    let growth = second.zip(first).map(|(second, first)| second - first);
    expect_that!(growth, some(le(MAX_GROWTH_KB)), "{memory:?}");
}

/// Sends requests without a route, and reads the answers.
fn send_requests(addr: SocketAddr, requests: usize) -> eyre::Result<()> {
    let mut stream = TcpStream::connect(addr)?;
    let batch = format!("GET /nowhere/1 HTTP/1.1\r\nhost: {HOST}\r\n\r\n").repeat(PIPELINED);
    let mut buf = vec![0; 64 << 10];
    for _ in 0..requests / PIPELINED {
        stream.write_all(batch.as_bytes())?;
        let mut answers = 0;
        // The body of an answer is the only place of a closing brace.
        while answers < PIPELINED {
            let count = stream.read(&mut buf)?;
            eyre::ensure!(count > 0, "the connection has ended");
            answers += buf[..count].split(|byte| *byte == b'}').count() - 1;
        }
    }
    Ok(())
}

/// Guards against a process whose memory grows with each request.
#[gtest]
fn memory_of_process_without_fetch() {
    run(async {
        let requests =
            env::var("SYCAMOREWICK_REQUESTS").map_or(Ok(REQUESTS), |text| text.parse())?;
        let fleet = TestFleet::start(1).await?;
        let node = &fleet.fleet.nodes()[0];
        let addr = node.addrs.caller;
        let pid = node.process.pid().unwrap_or_default();
        thread::spawn(move || send_requests(addr, requests / 10))
            .join()
            .expect("the client")?;
        let first = memory_kb(pid)?;
        thread::spawn(move || send_requests(addr, requests))
            .join()
            .expect("the client")?;
        let last = memory_kb(pid)?;
        println!("{requests} requests: {first} kB after a tenth, {last} kB at the end");
        expect_that!(last - first, le(MAX_GROWTH_KB));
        Ok(())
    });
}
