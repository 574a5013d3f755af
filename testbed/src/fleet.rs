//! A fleet of real node processes with a log and backend servers in this process.
//!
//! All addresses are on the loopback interface. The fleet signals only processes that it started.

use std::fs;
use std::future::Future;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::ExitStatus;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use actix_http::Method;
use actix_http::StatusCode;
use awc::Client;
use bytes::Bytes;
use eyre::bail;
use eyre::ensure;
use futures_util::StreamExt;
use futures_util::stream;
use rustix::process::Signal;
use serde_json::Value;
use serde_json::json;
use sycamorewick::protocol::document::Document;
use tempfile::TempDir;
use uuid::Uuid;

use crate::backend_server::BackendHandle;
use crate::backend_server::BackendOptions;
use crate::backend_server::BackendServer;
use crate::log_server::LogHandle;
use crate::log_server::LogServer;
use crate::process::ManagedProcess;
use crate::process::lock_spawn;

/// First port that a fleet tries. Outgoing connections take no ports below 32,768, so that the
/// ports of a node are still free when it is started again.
const FIRST_PORT: u16 = 12_000;
/// Number of ports that the fleets of a process use in rotation.
const PORT_COUNT: u16 = 18_000;
/// Number of seeds in the settings of each node.
const SEED_COUNT: usize = 3;
/// Concurrent requests to operator ports.
const MAX_CONCURRENT_REQUESTS: usize = 32;
/// Timeout of a request to an operator port.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Largest response of an operator port, bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Bearer token of the operator ports.
const OPERATOR_TOKEN: &str = "testbed-operator-token";
/// Content of the key file that the nodes share.
const CLUSTER_KEY: &str = "testbed-cluster-key-0123456789abcdef";

/// Options of a fleet.
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// The `sycamorewick` binary.
    pub binary: PathBuf,
    /// Number of nodes; they are spread evenly over the failure domains.
    pub nodes: usize,
    /// Number of regions.
    pub regions: usize,
    /// Failure domains of each region.
    pub domains_per_region: usize,
    /// Log level of the nodes: `error`, `warning`, `info` or `debug`.
    pub log_level: String,
}

impl FleetOptions {
    /// Options of a fleet with two regions of three failure domains each, as at the target size.
    #[must_use]
    pub fn new(binary: impl Into<PathBuf>, nodes: usize) -> Self {
        Self {
            binary: binary.into(),
            nodes,
            regions: 2,
            domains_per_region: 3,
            log_level: "warning".into(),
        }
    }

    /// Name of the region of a node.
    #[must_use]
    pub fn region(&self, node: usize) -> String {
        format!("r{}", node % self.regions + 1)
    }

    /// Name of the failure domain of a node.
    #[must_use]
    pub fn domain(&self, node: usize) -> String {
        let domain = node / self.regions % self.domains_per_region;
        format!("{}-{}", self.region(node), domain + 1)
    }

    /// Value of `regions` in a document for this fleet.
    #[must_use]
    pub fn regions_json(&self) -> Value {
        let regions: Vec<Value> = (1..=self.regions)
            .map(|r| {
                let domains: Vec<String> = (1..=self.domains_per_region)
                    .map(|d| format!("r{r}-{d}"))
                    .collect();
                json!({ "name": format!("r{r}"), "failure_domains": domains })
            })
            .collect();
        Value::from(regions)
    }
}

/// One node process with its addresses.
#[derive(Debug)]
pub struct NodeProcess {
    /// Id of the node.
    pub id: String,
    /// Listen address for callers and for the announcements of the backend server.
    pub request_addr: SocketAddr,
    /// Listen address for other nodes.
    pub node_addr: SocketAddr,
    /// Listen address for operators.
    pub operator_addr: SocketAddr,
    /// Listen address for gossip.
    pub gossip_addr: SocketAddr,
    /// Settings file.
    pub settings_file: PathBuf,
    process: ManagedProcess,
}

impl NodeProcess {
    /// Process id, if the process was started and its end was not observed.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.process.pid()
    }

    /// File with the standard output and standard error.
    #[must_use]
    pub fn output_file(&self) -> &Path {
        self.process.output_file()
    }
}

/// Response to a publication.
#[derive(Clone, Debug)]
pub struct PublishResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// JSON body, or null if the body is not JSON.
    pub body: Value,
    /// Duration of the request.
    pub took: Duration,
}

impl PublishResponse {
    /// The version that the publication defined.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.body["version"].as_u64()
    }
}

/// A running fleet. Dropping it kills its nodes and stops its log.
#[derive(Debug)]
pub struct Fleet {
    options: FleetOptions,
    nodes: Vec<NodeProcess>,
    log: LogHandle,
    dir: TempDir,
    key_file: PathBuf,
    token_file: PathBuf,
}

impl Fleet {
    /// Starts a log and writes the settings of the nodes without starting them.
    ///
    /// # Errors
    /// Returns an error if the binary is missing, or files or ports are not available.
    pub fn prepare(options: FleetOptions) -> eyre::Result<Self> {
        ensure!(
            options.binary.is_file(),
            "{} is not a file",
            options.binary.display()
        );
        let dir = tempfile::Builder::new()
            .prefix("sycamorewick-testbed-")
            .tempdir()?;
        let key_file = dir.path().join("cluster.key");
        let token_file = dir.path().join("operator.token");
        fs::write(&key_file, CLUSTER_KEY)?;
        fs::write(&token_file, OPERATOR_TOKEN)?;
        let log = LogServer::start(free_addr()?)?;
        let mut fleet = Self {
            options,
            nodes: Vec::new(),
            log,
            dir,
            key_file,
            token_file,
        };
        for index in 0..fleet.options.nodes {
            let id = format!("n{}", index + 1);
            fleet.nodes.push(NodeProcess {
                request_addr: free_addr()?,
                node_addr: free_addr()?,
                operator_addr: free_addr()?,
                gossip_addr: free_addr()?,
                settings_file: fleet.dir.path().join(format!("{id}.json")),
                process: ManagedProcess::new(&id, fleet.dir.path().join(format!("{id}.log"))),
                id,
            });
        }
        for index in 0..fleet.nodes.len() {
            fleet.write_settings(index)?;
        }
        Ok(fleet)
    }

    /// Prepares a fleet and starts all of its nodes.
    ///
    /// # Errors
    /// Returns an error if the fleet cannot be prepared or a process cannot be started.
    pub fn start(options: FleetOptions) -> eyre::Result<Self> {
        let mut fleet = Self::prepare(options)?;
        for index in 0..fleet.nodes.len() {
            fleet.start_node(index)?;
        }
        Ok(fleet)
    }

    fn write_settings(&self, index: usize) -> eyre::Result<()> {
        let node = &self.nodes[index];
        let seeds: Vec<SocketAddr> = self
            .nodes
            .iter()
            .filter(|other| other.id != node.id)
            .take(SEED_COUNT)
            .map(|other| other.node_addr)
            .collect();
        let settings = json!({
            "id": node.id,
            "region": self.options.region(index),
            "failure_domain": self.options.domain(index),
            "request_addr": node.request_addr,
            "node_addr": node.node_addr,
            "operator_addr": node.operator_addr,
            "gossip_addr": node.gossip_addr,
            "log_addr": self.log.addr(),
            "seeds": seeds,
            "cluster_key_file": self.key_file,
            "operator_token_file": self.token_file,
            "log_format": "json",
            "log_level": self.options.log_level,
        });
        fs::write(&node.settings_file, serde_json::to_vec_pretty(&settings)?)?;
        Ok(())
    }

    /// Options that the fleet was started with.
    #[must_use]
    pub fn options(&self) -> &FleetOptions {
        &self.options
    }

    /// The nodes, running or not.
    #[must_use]
    pub fn nodes(&self) -> &[NodeProcess] {
        &self.nodes
    }

    /// The log.
    #[must_use]
    pub fn log(&self) -> &LogHandle {
        &self.log
    }

    /// Directory with the settings and output of the nodes; removed when the fleet is dropped.
    #[must_use]
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// File with the bearer token of the operator ports.
    #[must_use]
    pub fn token_file(&self) -> &Path {
        &self.token_file
    }

    /// Starts a node that is not running; its output is appended to its output file.
    ///
    /// # Errors
    /// Returns an error if the node is already running or the process cannot be started.
    pub fn start_node(&mut self, index: usize) -> eyre::Result<()> {
        let node = &mut self.nodes[index];
        let mut command = Command::new(&self.options.binary);
        command
            .arg("node")
            .arg("--settings")
            .arg(&node.settings_file);
        node.process.start(&mut command)
    }

    /// Kills a node with SIGKILL.
    ///
    /// # Errors
    /// Returns an error if the process cannot be signalled.
    pub fn kill_node(&mut self, index: usize) -> eyre::Result<()> {
        self.nodes[index].process.kill()
    }

    /// Sends SIGTERM to a node without waiting for its end.
    ///
    /// # Errors
    /// Returns an error if the node does not run.
    pub fn request_stop(&self, index: usize) -> eyre::Result<()> {
        self.nodes[index].process.signal(Signal::TERM)
    }

    /// Stops a node with SIGTERM and returns its exit status.
    ///
    /// # Errors
    /// Returns an error if the node does not end within `limit`.
    pub async fn stop_node(&mut self, index: usize, limit: Duration) -> eyre::Result<ExitStatus> {
        self.request_stop(index)?;
        let until = Instant::now() + limit;
        loop {
            if let Some(status) = self.try_wait(index)? {
                return Ok(status);
            }
            if Instant::now() >= until {
                bail!("node {} did not end within {limit:?}", self.nodes[index].id);
            }
            actix_rt::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Returns the exit status of a node that has ended since it was started.
    ///
    /// # Errors
    /// Returns an error if the state of the process cannot be read.
    pub fn try_wait(&mut self, index: usize) -> eyre::Result<Option<ExitStatus>> {
        self.nodes[index].process.try_wait()
    }

    /// Pauses a node with SIGSTOP, like a process on a virtual machine that is paused.
    ///
    /// # Errors
    /// Returns an error if the node does not run.
    pub fn pause_node(&self, index: usize) -> eyre::Result<()> {
        self.nodes[index].process.signal(Signal::STOP)
    }

    /// Resumes a paused node.
    ///
    /// # Errors
    /// Returns an error if the node does not run.
    pub fn resume_node(&self, index: usize) -> eyre::Result<()> {
        self.nodes[index].process.signal(Signal::CONT)
    }

    /// Starts a backend server that announces itself to the node at `index`.
    ///
    /// # Errors
    /// Returns an error if it cannot be started.
    pub fn start_backend(
        &self,
        index: usize,
        mut options: BackendOptions,
    ) -> eyre::Result<BackendHandle> {
        options.node_addr = Some(self.nodes[index].request_addr);
        if options.listen.port() == 0 {
            options.listen = free_addr()?;
        }
        Ok(BackendServer::start(options)?)
    }

    /// Sends a request to the operator port of a node.
    ///
    /// # Errors
    /// Returns an error if there is no complete response.
    pub async fn operator(
        &self,
        index: usize,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> eyre::Result<(StatusCode, Bytes)> {
        operator_request(self.nodes[index].operator_addr, method, path, body).await
    }

    /// Returns the status document of a node.
    ///
    /// # Errors
    /// Returns an error if there is no complete response with status 200.
    pub async fn status(&self, index: usize) -> eyre::Result<Value> {
        let (status, body) = self
            .operator(index, Method::GET, "/v1/status", None)
            .await?;
        ensure!(
            status == StatusCode::OK,
            "the status request of a node got status {status}"
        );
        Ok(serde_json::from_slice(&body)?)
    }

    /// Returns the metrics of a node by name, including labels.
    ///
    /// # Errors
    /// Returns an error if there is no complete response with status 200.
    pub async fn metrics(&self, index: usize) -> eyre::Result<Metrics> {
        let (status, body) = self.operator(index, Method::GET, "/metrics", None).await?;
        ensure!(
            status == StatusCode::OK,
            "the metrics request of a node got status {status}"
        );
        Ok(Metrics::parse(std::str::from_utf8(&body)?))
    }

    /// Publishes a document through a node.
    ///
    /// # Errors
    /// Returns an error if there is no complete response; a refused publication is not an error.
    pub async fn publish(
        &self,
        index: usize,
        base: Option<u64>,
        document: &Document,
    ) -> eyre::Result<PublishResponse> {
        let body = json!({
            "publish_id": Uuid::now_v7(),
            "base": base,
            "author": "testbed",
            "document": document,
        });
        let start = Instant::now();
        let (status, body) = self
            .operator(index, Method::POST, "/v1/publish", Some(&body))
            .await?;
        Ok(PublishResponse {
            status,
            body: serde_json::from_slice(&body).unwrap_or_default(),
            took: start.elapsed(),
        })
    }

    /// Waits until `condition` has held for each running node, and returns the time that this took.
    /// The condition of a node is checked at intervals until it holds.
    ///
    /// # Errors
    /// Returns an error that names the missing nodes if it takes longer than `limit`.
    pub async fn wait_for_nodes<C, F>(
        &self,
        what: &str,
        limit: Duration,
        condition: C,
    ) -> eyre::Result<Duration>
    where
        C: Fn(usize) -> F,
        F: Future<Output = bool>,
    {
        let start = Instant::now();
        let mut missing: Vec<usize> = (0..self.nodes.len())
            .filter(|i| self.nodes[*i].process.is_running())
            .collect();
        loop {
            let checks = missing.iter().map(|index| {
                let check = condition(*index);
                async move { (*index, check.await) }
            });
            let results: Vec<(usize, bool)> = stream::iter(checks)
                .buffer_unordered(MAX_CONCURRENT_REQUESTS)
                .collect()
                .await;
            let took = start.elapsed();
            missing = results
                .into_iter()
                .filter_map(|(index, met)| (!met).then_some(index))
                .collect();
            if missing.is_empty() {
                return Ok(took);
            }
            if took >= limit {
                missing.sort_unstable();
                let names: Vec<&str> = missing.iter().map(|i| self.nodes[*i].id.as_str()).collect();
                bail!(
                    "not within {limit:?}: {what} on {} of {} nodes: {}",
                    names.len(),
                    self.nodes.len(),
                    names.join(" ")
                );
            }
            actix_rt::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Waits until all running nodes report that they are ready, and returns the time that this
    /// took.
    ///
    /// # Errors
    /// Returns an error that names the missing nodes if it takes longer than `limit`.
    pub async fn wait_ready(&self, limit: Duration) -> eyre::Result<Duration> {
        self.wait_for_nodes("ready", limit, |index| async move {
            self.operator(index, Method::GET, "/readyz", None)
                .await
                .is_ok_and(|(status, _)| status == StatusCode::OK)
        })
        .await
    }

    /// Waits until all running nodes have this version or a later one in force, and returns the
    /// time that this took.
    ///
    /// # Errors
    /// Returns an error that names the missing nodes if it takes longer than `limit`.
    pub async fn wait_version(&self, version: u64, limit: Duration) -> eyre::Result<Duration> {
        let what = format!("version {version} in force");
        self.wait_for_nodes(&what, limit, |index| async move {
            self.status(index)
                .await
                .is_ok_and(|s| s["version"].as_u64().is_some_and(|v| v >= version))
        })
        .await
    }

    /// Returns the log lines of a node. Lines that are not JSON objects are left out.
    #[must_use]
    pub fn log_lines(&self, index: usize) -> Vec<Value> {
        let text = self.nodes[index].process.output();
        text.lines()
            .filter_map(|line| serde_json::from_str(line).ok())
            .filter(Value::is_object)
            .collect()
    }

    /// Returns the last lines of a node's output, for an error message.
    #[must_use]
    pub fn output_tail(&self, index: usize, lines: usize) -> String {
        let text = self.nodes[index].process.output();
        let all: Vec<&str> = text.lines().collect();
        all[all.len().saturating_sub(lines)..].join("\n")
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // All nodes are killed before the first wait, so that no node reacts to the end of another
        // one.
        for node in &self.nodes {
            // The process may have ended by itself.
            let _ = node.process.signal(Signal::KILL);
        }
    }
}

/// Metrics of a node, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Metrics(Vec<(String, f64)>);

impl Metrics {
    /// Parses the Prometheus text format.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let mut values: Vec<(String, f64)> = text
            .lines()
            .filter(|line| !line.starts_with('#'))
            .filter_map(|line| line.rsplit_once(' '))
            .filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?)))
            .collect();
        values.sort_by(|a, b| a.0.cmp(&b.0));
        Self(values)
    }

    /// Value of a metric; zero if the node does not export it.
    #[must_use]
    pub fn get(&self, name: &str) -> f64 {
        self.0
            .binary_search_by(|(n, _)| n.as_str().cmp(name))
            .map_or(0.0, |at| self.0[at].1)
    }
}

async fn operator_request(
    addr: SocketAddr,
    method: Method,
    path: &str,
    body: Option<&Value>,
) -> eyre::Result<(StatusCode, Bytes)> {
    thread_local! {
        static CLIENT: Client = Client::builder().timeout(REQUEST_TIMEOUT).finish();
    }
    let req = CLIENT
        .with(|client| client.request(method, format!("http://{addr}{path}")))
        .insert_header(("authorization", format!("Bearer {OPERATOR_TOKEN}")));
    let sent = match body {
        Some(body) => req.send_json(body),
        None => req.send(),
    };
    let mut res = sent
        .await
        .map_err(|e| eyre::eyre!("{path} of {addr}: {e}"))?;
    let body = res
        .body()
        .limit(MAX_RESPONSE_BYTES)
        .await
        .map_err(|e| eyre::eyre!("{path} of {addr}: {e}"))?;
    Ok((res.status(), body))
}

/// Returns a loopback address whose port is free for both TCP and UDP.
///
/// # Errors
/// Returns an error if no port is free.
pub fn free_addr() -> eyre::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let _lock = lock_spawn();
    // The loopback address depends on the process id, so that no other test process takes the port
    // between this check and its use. Process ids have up to 22 bits.
    let pid = std::process::id();
    let octet = |bits: u32| u8::try_from(bits).unwrap_or_default();
    let host = [
        127,
        octet(1 + (pid >> 15 & 0x7f)),
        octet(pid >> 7 & 0xff),
        octet(1 + (pid & 0x7f)),
    ];
    for _ in 0..PORT_COUNT {
        let offset = NEXT.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
        let addr = SocketAddr::from((host, FIRST_PORT + offset));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return Ok(addr);
        }
    }
    bail!("no port from {FIRST_PORT} on is free")
}
