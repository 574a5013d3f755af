//! A request that ends every backend server that runs it, sent again and again through sidecar processes.

mod sidecar_common;

use std::time::Duration;
use std::time::Instant;

use actix_http::StatusCode;
use googletest::prelude::*;
use sidecar_common::TestFleet;
use sidecar_common::WAIT_LIMIT;
use sidecar_common::run;
use testbed::log_server::Outage;
use testbed::platform::backend::PlatformBackendHandle;

const CRASHING_PATH: &str = "/wrecks/crash";
const NODES: usize = 4;
/// Crashes after which a request is a known cause of crashes.
const KNOWN_CRASHES: usize = 3;
/// Time after the last of them from which nodes that reach the store have to know it.
const CONTACT: Duration = Duration::from_secs(3);
/// Runs that are allowed after that time.
const MAX_LATE_RUNS: usize = 3;
/// Time until a backend server that has crashed is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// Time for which a fleet is observed that stops the request before [`KNOWN_CRASHES`].
const OBSERVED: Duration = Duration::from_secs(10);

/// A fleet whose backend servers crash on one path and are started again.
struct CrashingFleet {
    env: TestFleet,
    /// Index of the current backend server of each node, and when it was found to have ended.
    current: Vec<(usize, Option<Instant>)>,
    crashes: usize,
    /// Attempts of the crashing request.
    crashing: Vec<String>,
}

impl CrashingFleet {
    async fn start() -> eyre::Result<Self> {
        let env = TestFleet::start(NODES).await?;
        for backend in &env.backends {
            backend.crash_on(CRASHING_PATH);
        }
        Ok(Self {
            env,
            current: (0..NODES).map(|index| (index, None)).collect(),
            crashes: 0,
            crashing: Vec::new(),
        })
    }

    /// Counts backend servers that have ended, and starts them again after a while.
    fn restart_ended(&mut self) -> eyre::Result<()> {
        for node in 0..NODES {
            let (backend, ended) = &mut self.current[node];
            if self.env.backends[*backend].is_running() {
                continue;
            }
            match *ended {
                None => {
                    *ended = Some(Instant::now());
                    self.crashes += 1;
                }
                Some(at) if at.elapsed() >= RESTART_DELAY => {
                    self.current[node] = (self.env.backends.len(), None);
                    self.env.add_backend(node, 0.0)?;
                    self.env.backends[self.current[node].0].crash_on(CRASHING_PATH);
                }
                Some(_) => {}
            }
        }
        Ok(())
    }

    /// Sends the crashing request to a node and returns the status of the response.
    async fn send_crashing(&mut self, node: usize) -> eyre::Result<StatusCode> {
        let reply = self.env.call(node, CRASHING_PATH).await?;
        self.crashing.push(format!("t{}", self.env.attempts));
        Ok(reply.status)
    }

    /// Number of runs of the crashing request.
    fn runs(&self) -> usize {
        let backends = self.env.backends.iter();
        let runs = backends.flat_map(PlatformBackendHandle::runs);
        runs.filter(|run| self.crashing.contains(run)).count()
    }
}

/// Guards against a request that ends each backend server that runs it and is passed on to further ones
/// however often it has done so: its callers end the service. Its repetitions come at all nodes.
#[gtest]
fn crashing_request_known_by_all_nodes() {
    run(async {
        let mut fleet = CrashingFleet::start().await?;
        let mut known_at = None;
        let mut runs_before = 0;
        let until = Instant::now() + OBSERVED;
        let mut node = 0;
        let frequent_refused = loop {
            node = (node + 1) % NODES;
            fleet.send_crashing(node).await?;
            // A frequent request runs beside the crashing one and is no cause of the crashes.
            let frequent = fleet.env.call_together((node + 1) % NODES, 3).await?;
            let is_ok = |status: &&StatusCode| **status == StatusCode::OK;
            let refused = 3 - frequent.iter().filter(is_ok).count();
            fleet.restart_ended()?;
            let now = Instant::now();
            if known_at.is_none() && fleet.crashes >= KNOWN_CRASHES {
                known_at = Some(now + CONTACT);
            }
            if known_at.is_none_or(|at| now < at) {
                runs_before = fleet.runs();
            }
            // A fleet that stops the request earlier never sees the third crash.
            let end = known_at.map_or(until, |at| at + CONTACT);
            if now >= end || fleet.runs() > runs_before + 4 * MAX_LATE_RUNS {
                break refused;
            }
            actix_rt::time::sleep(Duration::from_millis(100)).await;
        };
        expect_that!(fleet.runs() - runs_before, le(MAX_LATE_RUNS));
        expect_that!(frequent_refused, eq(0), "frequent requests are served");
        let status = fleet.send_crashing(node).await?;
        expect_that!(status, eq(StatusCode::SERVICE_UNAVAILABLE));
        Ok(())
    });
}

/// Guards against nodes that forget a crashing request when all of them are killed and started again.
#[gtest]
fn crashing_request_restarted_nodes() {
    run(async {
        let mut fleet = CrashingFleet::start().await?;
        let until = Instant::now() + OBSERVED;
        let mut node = 0;
        while fleet.crashes < KNOWN_CRASHES && Instant::now() < until {
            node = (node + 1) % NODES;
            fleet.send_crashing(node).await?;
            actix_rt::time::sleep(Duration::from_millis(100)).await;
            fleet.restart_ended()?;
        }
        let until = Instant::now() + CONTACT;
        while Instant::now() < until {
            actix_rt::time::sleep(RESTART_DELAY).await;
            fleet.restart_ended()?;
        }
        for node in 0..NODES {
            fleet.env.fleet.kill(node)?;
        }
        for node in 0..NODES {
            fleet.env.fleet.start(node)?;
        }
        fleet.env.fleet.wait_ready(WAIT_LIMIT).await?;
        for node in 0..NODES {
            fleet
                .env
                .wait_for(WAIT_LIMIT, node, "/wrecks/1", StatusCode::OK)
                .await?;
        }
        let runs_before = fleet.runs();
        for round in 0..4 * NODES {
            fleet.send_crashing(round % NODES).await?;
            fleet.restart_ended()?;
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        expect_that!(fleet.runs() - runs_before, le(MAX_LATE_RUNS));
        Ok(())
    });
}

/// Guards against an entry node that takes the serving node for lost since that refuses a crashing request.
/// The store is away, so that only the serving node knows the crashes.
#[gtest]
fn crashing_request_refused_by_serving_node() {
    run(async {
        let mut env = TestFleet::start(2).await?;
        env.backends[1].kill();
        env.outage(Outage::Refuse);
        let mut backend = 0;
        for _ in 0..2 {
            env.backends[backend].crash_on(CRASHING_PATH);
            let reply = env.call(0, CRASHING_PATH).await?;
            expect_that!(reply.status, not(eq(StatusCode::OK)));
            while env.backends[backend].is_running() {
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
            actix_rt::time::sleep(RESTART_DELAY).await;
            backend = env.backends.len();
            env.add_backend(0, 0.0)?;
            env.wait_for(WAIT_LIMIT, 0, "/wrecks/1", StatusCode::OK)
                .await?;
        }
        env.wait_for(WAIT_LIMIT, 1, "/wrecks/1", StatusCode::OK)
            .await?;
        let unavailable = StatusCode::SERVICE_UNAVAILABLE;
        expect_that!(env.call(1, CRASHING_PATH).await?.status, eq(unavailable));
        let last = env.call(1, "/wrecks/2").await?;
        expect_that!(last.status, eq(StatusCode::OK));
        let attempt = format!("t{}", env.attempts);
        // Lines are written with a delay.
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        let lines = env.fleet.log_lines(1, "call routed");
        let mut routed = lines.iter().filter(|line| line["attempt"] == *attempt);
        let is_lost = routed.next().map(|line| line["is_lost"] == true);
        expect_that!(is_lost, some(eq(false)));
        Ok(())
    });
}
