//! A fleet of real sidecar processes on the loopback interface. It signals only processes that it
//! started.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;
use std::time::Instant;

use eyre::ensure;
use rustix::process::Signal;
use serde_json::json;
use tempfile::TempDir;

use crate::fleet::free_addr;
use crate::platform::backend::HEARTBEAT_INTERVAL;
use crate::process::ManagedProcess;

/// Interval between checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Addresses of a sidecar and of the servers that it calls. Tests replace some of them by the
/// addresses of proxies.
#[derive(Clone, Debug)]
pub struct SidecarAddrs {
    /// Listen address for callers.
    pub caller: SocketAddr,
    /// Listen address for other nodes.
    pub node: SocketAddr,
    /// Address at which other nodes reach the sidecar.
    pub advertised_node: SocketAddr,
    /// Listen address for the readiness checks of the platform.
    pub ready: SocketAddr,
    /// Listen address for heartbeats.
    pub heartbeat: SocketAddr,
    /// Listen address for metrics.
    pub metrics: SocketAddr,
    /// Listen address of the backend server beside the sidecar.
    pub backend: SocketAddr,
    /// Address at which the sidecar reaches that backend server.
    pub backend_proxy: SocketAddr,
    /// Address at which the sidecar reaches the store.
    pub store: SocketAddr,
}

impl SidecarAddrs {
    /// Returns the command of a process with the backend server beside the sidecar, as the program of the testbed
    /// understands it; further arguments may follow.
    #[must_use]
    pub fn backend_command(
        &self,
        testbed: &Path,
        id: &str,
        service: &str,
        version: &str,
    ) -> Command {
        let mut command = Command::new(testbed);
        command
            .arg("platform-backend")
            .args(["--id", id, "--version-name", version])
            .args(["--service", service])
            .args(["--listen", &self.backend.to_string()])
            .args(["--heartbeat", &self.heartbeat.to_string()]);
        command
    }
}

/// Options of a sidecar.
#[derive(Clone, Debug)]
pub struct SidecarOptions {
    /// Id.
    pub id: String,
    /// Failure domain; the part before the dash is the region.
    pub domain: String,
    /// Service of the backend server beside the sidecar.
    pub service: String,
    /// Time within which a new configuration has to be in force, milliseconds.
    pub config_within_ms: u64,
    /// Time from SIGTERM to SIGKILL, seconds.
    pub stop_within_s: u64,
    /// Requests allowed to a cold backend server in a second: a factor on the rate that it tolerates, and a number
    /// beyond that.
    pub cold_excess_and_slack: (f64, f64),
    /// Failure domains that the settings list, named like [`Self::domain`]; none if it is empty.
    pub known_domains: Vec<String>,
    /// Memory of the instance, MB; `None` leaves the setting out.
    pub memory_mb: Option<u32>,
    /// Age of the view of the configuration from which on requests with a key are refused, milliseconds; `None` if
    /// they are accepted at any age.
    pub strict_revoke_ms: Option<u64>,
    /// File descriptors that the process may open; `None` leaves the setting out.
    pub max_open_files: Option<u32>,
}

/// Returns the region of a failure domain.
fn region_of(domain: &str) -> &str {
    domain.split('-').next().unwrap_or_default()
}

impl SidecarOptions {
    /// Options with the time limits of a small deployment.
    #[must_use]
    pub fn new(id: &str, domain: &str, service: &str) -> Self {
        Self {
            id: id.into(),
            domain: domain.into(),
            service: service.into(),
            config_within_ms: 2_000,
            stop_within_s: 5,
            cold_excess_and_slack: (1.0, 0.0),
            known_domains: Vec::new(),
            memory_mb: None,
            strict_revoke_ms: None,
            max_open_files: None,
        }
    }
}

/// One sidecar.
#[derive(Debug)]
pub struct SidecarNode {
    /// Its options.
    pub options: SidecarOptions,
    /// Its addresses.
    pub addrs: SidecarAddrs,
    /// Its process.
    pub process: ManagedProcess,
    settings_file: PathBuf,
}

/// Sidecars with the directory of their settings and output.
#[derive(Debug)]
pub struct SidecarFleet {
    binary: PathBuf,
    dir: TempDir,
    nodes: Vec<SidecarNode>,
}

impl SidecarFleet {
    /// Creates a fleet without nodes.
    ///
    /// # Errors
    /// If the binary is missing or no directory can be created.
    pub fn new(binary: impl Into<PathBuf>) -> eyre::Result<Self> {
        let binary = binary.into();
        ensure!(binary.is_file(), "{} is not a file", binary.display());
        let dir = tempfile::Builder::new()
            .prefix("sycamorewick-sidecars-")
            .tempdir()?;
        Ok(Self {
            binary,
            dir,
            nodes: Vec::new(),
        })
    }

    /// Returns free addresses for a node that uses this store.
    ///
    /// # Errors
    /// If no port is free.
    pub fn free_addrs(store: SocketAddr) -> eyre::Result<SidecarAddrs> {
        let (node, backend) = (free_addr()?, free_addr()?);
        Ok(SidecarAddrs {
            caller: free_addr()?,
            node,
            advertised_node: node,
            ready: free_addr()?,
            heartbeat: free_addr()?,
            metrics: free_addr()?,
            backend,
            backend_proxy: backend,
            store,
        })
    }

    /// Adds a node without starting it. Returns its index.
    ///
    /// # Errors
    /// If its settings cannot be written.
    pub fn add(&mut self, options: SidecarOptions, addrs: SidecarAddrs) -> eyre::Result<usize> {
        let settings_file = self.dir.path().join(format!("{}.jsonc", options.id));
        let domains = options.known_domains.iter();
        let domains: Vec<_> = domains
            .map(|domain| json!({ "domain": domain, "region": region_of(domain) }))
            .collect();
        let mut settings = json!({
            "id": options.id,
            "region": region_of(&options.domain),
            "domains": domains,
            "failure_domain": options.domain,
            "service": options.service,
            "backend_addr": addrs.backend_proxy,
            "caller_addr": addrs.caller,
            "node_addr": addrs.node,
            "advertised_node_addr": addrs.advertised_node,
            "ready_addr": addrs.ready,
            "heartbeat_addr": addrs.heartbeat,
            "metrics_addr": addrs.metrics,
            "store_addr": addrs.store,
            "heartbeat_interval_ms": HEARTBEAT_INTERVAL.as_millis(),
            "config_within_ms": options.config_within_ms,
            "stop_within_s": options.stop_within_s,
            "cpu_share": 0.5,
            "link_mbps": 1_000,
            "retry_ratio": 0.2,
            "retry_slack": 30,
            "retry_window_s": 10,
            "cold_excess": options.cold_excess_and_slack.0,
            "cold_slack": options.cold_excess_and_slack.1,
        });
        if let Some(memory_mb) = options.memory_mb {
            settings["memory_mb"] = memory_mb.into();
        }
        if let Some(revoke_within_ms) = options.strict_revoke_ms {
            settings["strict_revoke"] = true.into();
            settings["revoke_within_ms"] = revoke_within_ms.into();
        }
        if let Some(max_open_files) = options.max_open_files {
            settings["max_open_files"] = max_open_files.into();
        }
        fs::write(&settings_file, serde_json::to_vec_pretty(&settings)?)?;
        let output = self.dir.path().join(format!("{}.log", options.id));
        self.nodes.push(SidecarNode {
            process: ManagedProcess::new(&options.id, output),
            options,
            addrs,
            settings_file,
        });
        Ok(self.nodes.len() - 1)
    }

    /// The nodes, running or not.
    #[must_use]
    pub fn nodes(&self) -> &[SidecarNode] {
        &self.nodes
    }

    /// Directory of settings and output; removed with the fleet.
    #[must_use]
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Keeps the directory when the fleet is dropped, and returns it.
    pub fn keep_dir(&mut self) -> PathBuf {
        self.dir.disable_cleanup(true);
        self.dir.path().to_owned()
    }

    /// Starts a node that is not running.
    ///
    /// # Errors
    /// If it is already running or cannot be started.
    pub fn start(&mut self, index: usize) -> eyre::Result<()> {
        let node = &mut self.nodes[index];
        let mut command = Command::new(&self.binary);
        command
            .arg("sidecar")
            .arg("--settings")
            .arg(&node.settings_file);
        node.process.start(&mut command)
    }

    /// Kills a node with SIGKILL.
    ///
    /// # Errors
    /// If it cannot be signalled.
    pub fn kill(&mut self, index: usize) -> eyre::Result<()> {
        self.nodes[index].process.kill()
    }

    /// Whether a node runs, by the current state of its process.
    pub fn is_running_now(&mut self, index: usize) -> bool {
        matches!(self.nodes[index].process.try_wait(), Ok(None))
            && self.nodes[index].process.is_running()
    }

    /// Sends a signal to a running node.
    ///
    /// # Errors
    /// If it is not running.
    pub fn signal(&self, index: usize, signal: Signal) -> eyre::Result<()> {
        self.nodes[index].process.signal(signal)
    }

    /// Returns whether a node reports that it is ready.
    pub async fn is_ready(&self, index: usize) -> bool {
        let addr = self.nodes[index].addrs.ready;
        let url = format!("http://{addr}/sycamorewick/readyz");
        let sent = awc::Client::default().get(url).send().await;
        sent.is_ok_and(|response| response.status().is_success())
    }

    /// Waits until all running nodes are ready.
    ///
    /// # Errors
    /// If it takes longer than `limit`.
    pub async fn wait_ready(&mut self, limit: Duration) -> eyre::Result<()> {
        let until = Instant::now() + limit;
        for index in 0..self.nodes.len() {
            while self.nodes[index].process.is_running() && !self.is_ready(index).await {
                let id = &self.nodes[index].options.id;
                ensure!(Instant::now() < until, "node {id} is not ready");
                actix_rt::time::sleep(CHECK_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Lines of a node's log whose message is `message`.
    #[must_use]
    pub fn log_lines(&self, index: usize, message: &str) -> Vec<serde_json::Value> {
        let text = self.nodes[index].process.output();
        let lines = text
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        lines
            .filter(|line: &serde_json::Value| line["msg"] == message)
            .collect()
    }
}
