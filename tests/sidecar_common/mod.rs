//! A fleet of sidecar processes with simulated platform services, for the tests that drive the node that
//! the platform starts.

#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use actix_http::StatusCode;
use bytes::Bytes;
use serde_json::json;
use sycamorewick::protocol::hop::HopRequestHeader;
use testbed::log_server::Outage;
use testbed::platform::backend::ATTEMPT_HEADER;
use testbed::platform::backend::PlatformBackend;
use testbed::platform::backend::PlatformBackendHandle;
use testbed::platform::backend::PlatformBackendOptions;
use testbed::platform::backend::SEAL_HEADER;
use testbed::platform::fleet::SidecarFleet;
use testbed::platform::fleet::SidecarOptions;
use testbed::platform::store::OPERATOR_TOPIC;
use testbed::platform::store::StoreControlChange;
use testbed::platform::store::StoreHandle;
use testbed::platform::store::StoreServer;

/// Time limit for conditions without a required time.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);
/// Required time from the end of an outage of the store until an entry is written, and from the
/// acknowledgement of a configuration until it is in force.
pub const REQUIRED_TIME: Duration = Duration::from_secs(2);
/// Time allowed beyond a required one for the calls that check a condition.
pub const POLL_MARGIN: Duration = Duration::from_millis(400);
pub const HOST: &str = "a.example";

/// Header of a call that another node sends for an idempotent request without a workspace.
pub fn hop_header(route: &str, left: Duration) -> HopRequestHeader {
    HopRequestHeader {
        route: route.into(),
        service: "registry".into(),
        version: "v1".into(),
        idempotent: true,
        accepts_late: true,
        priority: 1,
        objective: left,
        left,
        is_overdue: false,
        limit: None,
        workspace: None,
        workspace_priority: 0,
        is_spillover: false,
    }
}

/// A store, sidecars and their backend servers.
pub struct TestFleet {
    pub store: StoreHandle,
    pub fleet: SidecarFleet,
    pub backends: Vec<PlatformBackendHandle>,
    pub attempts: u64,
}

pub struct Reply {
    pub status: StatusCode,
    pub seal: Option<String>,
    pub body: Bytes,
}

impl TestFleet {
    /// Prepares nodes of one failure domain, with version 1 of the configuration in the store.
    pub fn new(nodes: usize) -> eyre::Result<Self> {
        let store = StoreServer::start(testbed::fleet::free_addr()?)?;
        put_config(&store, 1);
        let mut fleet = SidecarFleet::new(env!("CARGO_BIN_EXE_sycamorewick"))?;
        for index in 0..nodes {
            let options = SidecarOptions::new(&format!("n{index}"), "keta-a", "registry");
            fleet.add(options, SidecarFleet::free_addrs(store.addr())?)?;
        }
        Ok(Self {
            store,
            fleet,
            backends: Vec::new(),
            attempts: 0,
        })
    }

    /// Starts all nodes with backend servers and waits until each node can serve.
    pub async fn start(nodes: usize) -> eyre::Result<Self> {
        let mut env = Self::new(nodes)?;
        for index in 0..nodes {
            env.fleet.start(index)?;
            env.add_backend(index, 0.0)?;
        }
        env.fleet.wait_ready(WAIT_LIMIT).await?;
        for index in 0..nodes {
            env.wait_for(WAIT_LIMIT, index, "/wrecks/1", StatusCode::OK)
                .await?;
            env.wait_peers(index, nodes - 1).await?;
        }
        Ok(env)
    }

    /// Starts two nodes with backend servers of the versions `v1` and `v2`.
    pub fn start_two_versions() -> eyre::Result<Self> {
        let mut env = Self::new(2)?;
        for (index, version) in ["v1", "v2"].into_iter().enumerate() {
            env.fleet.start(index)?;
            env.add_version(index, version)?;
        }
        Ok(env)
    }

    /// Waits until all nodes are ready and know each other's backend servers.
    pub async fn wait_fleet(&mut self) -> eyre::Result<()> {
        self.fleet.wait_ready(WAIT_LIMIT).await?;
        let nodes = self.fleet.nodes().len();
        for index in 0..nodes {
            self.wait_peers(index, nodes - 1).await?;
        }
        Ok(())
    }

    /// Waits until a node knows the backend servers of `peers` other nodes.
    pub async fn wait_peers(&self, index: usize, peers: usize) -> eyre::Result<()> {
        let until = Instant::now() + WAIT_LIMIT;
        loop {
            let lines = self.fleet.log_lines(index, "peer changed");
            let ready = lines.iter().filter(|line| line["backend"] != "none");
            if ready.count() >= peers {
                return Ok(());
            }
            eyre::ensure!(Instant::now() < until, "node {index} knows {lines:?}");
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }

    pub fn add_backend(&mut self, index: usize, error_rate: f64) -> eyre::Result<()> {
        self.start_backend(index, "v1", error_rate, Duration::from_millis(10))
    }

    /// Starts a backend server of a version.
    pub fn add_version(&mut self, index: usize, version: &str) -> eyre::Result<()> {
        self.start_backend(index, version, 0.0, Duration::from_millis(10))
    }

    pub fn add_slow_backend(&mut self, index: usize, service_time: Duration) -> eyre::Result<()> {
        self.start_backend(index, "v1", 0.0, service_time)
    }

    pub fn start_backend(
        &mut self,
        index: usize,
        version: &str,
        error_rate: f64,
        service_time: Duration,
    ) -> eyre::Result<()> {
        self.start_backend_of_size(index, version, error_rate, service_time, 400)
    }

    /// Starts a backend server whose responses have bodies of a bit more than `pad_bytes`.
    pub fn start_backend_of_size(
        &mut self,
        index: usize,
        version: &str,
        error_rate: f64,
        service_time: Duration,
        pad_bytes: usize,
    ) -> eyre::Result<()> {
        let addrs = &self.fleet.nodes()[index].addrs;
        self.backends
            .push(PlatformBackend::start(PlatformBackendOptions {
                id: format!("b{}", self.backends.len()),
                born: 1 + u64::try_from(self.backends.len())?,
                service: "registry".into(),
                version: version.into(),
                listen: addrs.backend,
                heartbeat_addr: addrs.heartbeat,
                slots: 4,
                service_ms: u64::try_from(service_time.as_millis())?,
                error_rate,
                pad_bytes,
                seed: 1,
                cold_ms: 0,
                secret_text: None,
            })?);
        Ok(())
    }

    pub async fn call(&mut self, index: usize, path: &str) -> eyre::Result<Reply> {
        self.attempts += 1;
        let addr = self.fleet.nodes()[index].addrs.caller;
        send_call(addr, format!("t{}", self.attempts), path).await
    }

    /// Sends calls to a node at the same time and returns the statuses of their responses.
    pub async fn call_together(
        &mut self,
        index: usize,
        calls: u64,
    ) -> eyre::Result<Vec<StatusCode>> {
        let addr = self.fleet.nodes()[index].addrs.caller;
        let first = self.attempts + 1;
        self.attempts += calls;
        let attempts = first..first + calls;
        let sent = attempts.map(|attempt| send_call(addr, format!("t{attempt}"), "/wrecks/1"));
        let replies = futures_util::future::try_join_all(sent).await?;
        Ok(replies.iter().map(|reply| reply.status).collect())
    }

    /// Waits until a node responds to a path with a status.
    pub async fn wait_for(
        &mut self,
        limit: Duration,
        index: usize,
        path: &str,
        status: StatusCode,
    ) -> eyre::Result<()> {
        let until = Instant::now() + limit;
        loop {
            let found = self.call(index, path).await.map(|reply| reply.status);
            if found.as_ref().is_ok_and(|found| *found == status) {
                return Ok(());
            }
            eyre::ensure!(
                Instant::now() < until,
                "node {index} responds with {found:?} to {path}, expected {status}: {}",
                self.fleet.nodes()[index].process.output()
            );
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits until the process of a node has ended.
    pub async fn wait_stopped(&mut self, index: usize) -> eyre::Result<()> {
        let until = Instant::now() + WAIT_LIMIT;
        while self.fleet.is_running_now(index) {
            eyre::ensure!(Instant::now() < until, "node {index} does not stop");
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    pub fn outage(&self, outage: Outage) {
        self.store.change(StoreControlChange {
            outage: Some(outage),
            ..StoreControlChange::default()
        });
    }
}

pub async fn send_call(addr: SocketAddr, attempt: String, path: &str) -> eyre::Result<Reply> {
    let client = awc::Client::builder()
        .timeout(Duration::from_secs(5))
        .finish();
    let mut response = client
        .get(format!("http://{addr}{path}"))
        .insert_header(("host", HOST))
        .insert_header((ATTEMPT_HEADER, attempt))
        .send()
        .await
        .map_err(|e| eyre::eyre!("{path}: {e}"))?;
    let seal = response.headers().get(SEAL_HEADER);
    let seal = seal.and_then(|value| Some(value.to_str().ok()?.to_owned()));
    let body = response.body().await?;
    Ok(Reply {
        status: response.status(),
        seal,
        body,
    })
}

/// Writes a configuration version with a route that only this version has. Returns its offset.
pub fn put_config(store: &StoreHandle, version: u32) -> u64 {
    let route = |prefix: &str| {
        json!({ "host": HOST, "prefix": prefix, "kind": "safe", "timeout-ms": 3000, "slo-ms": 500,
            "priority": 1, "service": "registry", "attempts": 2 })
    };
    let config = json!({
        "version": format!("{version:08x}"),
        "routes": { "lookup": route("/wrecks/"), "own": route(&format!("/v{version}/")) },
        "services": { "registry": { "health-path": "/healthz", "max-conns": 100 } },
        "limits": { "header-bytes": 16384, "body-bytes": 65536, "header-ms": 3000, "idle-ms": 15000 },
    });
    store.put(OPERATOR_TOPIC, "config", config.to_string().as_bytes())
}

pub fn run<F: Future<Output = eyre::Result<()>>>(test: F) {
    if let Err(e) = actix_rt::System::new().block_on(test) {
        panic!("{e:#}");
    }
}
