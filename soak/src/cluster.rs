//! The processes of one run: a store, sidecars and backend servers, with fault proxies between them.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use eyre::ensure;
use rustix::process::Signal;
use serde_json::json;
use testbed::fleet::free_addr;
use testbed::log_server::Outage;
use testbed::measure::process_usage::ProcessUsage;
use testbed::platform::backend::CREDENTIAL_HEADER;
use testbed::platform::backend::monotonic_millis;
use testbed::platform::fleet::SidecarFleet;
use testbed::platform::fleet::SidecarOptions;
use testbed::platform::store::OPERATOR_TOPIC;
use testbed::platform::store::RESULT_TOPIC;
use testbed::platform::store::StoreControlChange;
use testbed::process::ManagedProcess;
use tokio::sync::Mutex;

use crate::caller::HOST;
use crate::caller::UPLOAD_PREFIX;
use crate::checker::ProcessorUse;
use crate::plan::Event;
use crate::plan::LinkKind;
use crate::plan::Load;
use crate::plan::StoreFault;
use crate::plan::StrayMessage;
use crate::proxy::LinkFault;
use crate::proxy::Proxy;
use crate::stray;
use crate::stray::Sent;
use crate::stray::Target;
use crate::workspaces;
use crate::workspaces::CHANGE_AFTER_CUT;
use crate::workspaces::KEY_TEXT;
use crate::workspaces::KeyRing;
use crate::workspaces::REVOKE_WITHIN;
use crate::workspaces::SoakWorkspace;
use crate::workspaces::WorkspaceChange;
use crate::workspaces::WorkspacePlan;
use crate::workspaces::WrittenConfig;

/// Number of nodes with a backend server of the old version.
pub const NODES: usize = 8;
/// Number of further nodes, with a backend server of the new version. They start when a move is ordered.
pub const NEW_VERSION_NODES: usize = 2;
/// Number of further nodes beside backend servers of [`UNSAFE_SERVICE`].
pub const UNSAFE_SERVICE_NODES: usize = 2;
/// Number of all nodes.
pub const ALL_NODES: usize = NODES + NEW_VERSION_NODES + UNSAFE_SERVICE_NODES;
/// Service without idempotent routes.
const UNSAFE_SERVICE: &str = "harbour";
/// Service of all other routes.
const SERVICE: &str = "registry";
/// Time from the begin of a leave until a heartbeat from before it arrives.
const LATE_HEARTBEAT_DELAY: Duration = Duration::from_millis(350);
/// Maximum delay of data on connections that become silent, so that bodies are on their way then.
const MAX_SLOW_DELAY: Duration = Duration::from_millis(300);
/// Time within which a new configuration has to be in force, milliseconds.
pub const CONFIG_WITHIN_MS: u64 = 2_000;
/// Timeout of a route.
pub const ROUTE_TIMEOUT: Duration = Duration::from_secs(2);
/// Version of the backend servers before a move.
pub const OLD_VERSION: &str = "v1";
/// Target version of a move.
pub const NEW_VERSION: &str = "v2";
/// Time limit of a move.
const MOVE_TIME_LIMIT_S: u64 = 8;
/// Share of the requests that a bad version answers with an error.
const BAD_ERROR_RATE: f64 = 0.6;
/// Time without service before the store goes back to its copy.
const RESTORE_DURATION: Duration = Duration::from_millis(400);
/// Time for which an older or truncated configuration is the newest one in the store.
const OLD_CONFIG_DURATION: Duration = Duration::from_millis(200);
/// Timeout of the start of all processes.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time beyond its stop timeout after which a node that got SIGTERM is killed.
const STOP_TIMEOUT_SLACK: Duration = Duration::from_millis(500);
/// Time that the end of a fault may be late.
const FAULT_END_SLACK: Duration = Duration::from_millis(100);
/// Time between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A fault of a node or of its backend server. Times are milliseconds of the monotonic clock.
#[derive(Clone, Debug)]
pub struct FaultInterval {
    /// Index of the node.
    pub node: usize,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start of the fault.
    pub from: u64,
    /// End of the fault.
    pub to: u64,
}

/// Kind of a [`FaultInterval`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// The node was killed.
    NodeKilled,
    /// The node was paused.
    NodePaused,
    /// The backend server was killed or paused, or the connection to it had a fault.
    BackendFault,
    /// The node may not have reached the store, or only late.
    StoreFault,
    /// The store may have lost configurations that it had acknowledged.
    StoreReverted,
}

/// Paths of the programs.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The `sycamorewick` binary.
    pub sycamorewick: PathBuf,
    /// The `testbed` binary.
    pub testbed: PathBuf,
}

struct Backend {
    process: ManagedProcess,
    starts: u32,
    id: String,
}

/// The processes and proxies of a run.
pub struct Cluster {
    programs: Programs,
    load: Load,
    fleet: RefCell<SidecarFleet>,
    backends: RefCell<Vec<Backend>>,
    /// Held so that the store process runs as long as this value lives.
    _store: ManagedProcess,
    store_addr: SocketAddr,
    links: Vec<[Proxy; 3]>,
    /// Version of the last configuration that the store acknowledged.
    pub config_version: Cell<u32>,
    /// Faults that were injected.
    pub faults: RefCell<Vec<FaultInterval>>,
    /// Violations that were seen while the faults were injected.
    pub violations: RefCell<Vec<String>>,
    /// Last start of each node, milliseconds of the monotonic clock.
    pub node_started_ms: RefCell<Vec<u64>>,
    /// `Some` after a move was ordered; true if it is to a bad version.
    pub move_to_bad_version: Cell<Option<bool>>,
    is_new_version_bad: Cell<bool>,
    is_restoring: Cell<bool>,
    /// Keys and quotas, in a run with workspaces.
    keys: Option<Rc<KeyRing>>,
    /// Configurations that were written, in a run with workspaces.
    pub written: RefCell<Vec<WrittenConfig>>,
    /// Held while a configuration is written, so that each version has one content.
    operator: Mutex<()>,
    client: awc::Client,
}

impl Cluster {
    /// Starts all processes except those that start with a move, and waits until the nodes serve.
    ///
    /// # Errors
    /// If a process cannot be started, or is not ready within the timeout.
    pub async fn start(
        programs: Programs,
        seed: u64,
        load: Load,
        workspaces: Option<(&WorkspacePlan, Rc<KeyRing>)>,
    ) -> eyre::Result<Rc<Self>> {
        let is_strict = workspaces.as_ref().is_some_and(|(plan, _)| plan.is_strict);
        let mut fleet = SidecarFleet::new(&programs.sycamorewick)?;
        let store_addr = free_addr()?;
        let mut store = ManagedProcess::new("store", fleet.dir().join("store.log"));
        let mut command = Command::new(&programs.testbed);
        command.arg("platform-store").arg("--listen");
        store.start(command.arg(store_addr.to_string()))?;
        let mut links = Vec::new();
        let mut backends = Vec::new();
        for index in 0..ALL_NODES {
            let mut addrs = SidecarFleet::free_addrs(store_addr)?;
            addrs.store = free_addr()?;
            addrs.advertised_node = free_addr()?;
            addrs.backend_proxy = free_addr()?;
            let seed = seed * 1_000 + u64::try_from(index)? * 10;
            links.push([
                Proxy::start(addrs.store, store_addr, seed).await?,
                Proxy::start(addrs.advertised_node, addrs.node, seed + 1).await?,
                Proxy::start(addrs.backend_proxy, addrs.backend, seed + 2).await?,
            ]);
            let domain = if index % 2 == 0 { "keta-a" } else { "keta-b" };
            let mut options = SidecarOptions::new(&format!("n{index}"), domain, service_of(index));
            let revoke_within_ms = u64::try_from(REVOKE_WITHIN.as_millis())?;
            options.config_within_ms = CONFIG_WITHIN_MS;
            options.strict_revoke_ms = is_strict.then_some(revoke_within_ms);
            fleet.add(options, addrs)?;
            let output = fleet.dir().join(format!("b{index}.out"));
            backends.push(Backend {
                process: ManagedProcess::new(&format!("b{index}"), output),
                starts: 0,
                id: String::new(),
            });
        }
        let cluster = Rc::new(Self {
            programs,
            load,
            fleet: RefCell::new(fleet),
            backends: RefCell::new(backends),
            _store: store,
            store_addr,
            links,
            config_version: Cell::new(0),
            faults: RefCell::default(),
            violations: RefCell::default(),
            node_started_ms: RefCell::new(vec![0; ALL_NODES]),
            move_to_bad_version: Cell::new(None),
            is_new_version_bad: Cell::new(false),
            is_restoring: Cell::new(false),
            keys: workspaces.map(|(_, keys)| keys),
            written: RefCell::default(),
            operator: Mutex::new(()),
            client: awc::Client::builder()
                .timeout(Duration::from_secs(2))
                .finish(),
        });
        let until = Instant::now() + START_TIMEOUT;
        while !cluster.put_config().await {
            ensure!(Instant::now() < until, "store does not answer");
            actix_rt::time::sleep(CHECK_INTERVAL).await;
        }
        for index in (0..NODES).chain(unsafe_service_nodes()) {
            cluster.start_node(index);
            cluster.start_backend(index, false);
        }
        for index in (0..NODES).chain(unsafe_service_nodes()) {
            while !cluster.is_serving(index).await {
                ensure!(Instant::now() < until, "node {index} does not serve");
                actix_rt::time::sleep(CHECK_INTERVAL).await;
            }
        }
        Ok(cluster)
    }

    /// Address at which a node accepts calls.
    #[must_use]
    pub fn caller_addr(&self, node: usize) -> SocketAddr {
        self.fleet.borrow().nodes()[node].addrs.caller
    }

    /// Output of a node's backend servers.
    #[must_use]
    pub fn backend_output(&self, node: usize) -> String {
        self.backends.borrow()[node].process.output()
    }

    /// Keeps the directory with the logs after the run and returns it.
    pub fn keep_dir(&self) -> PathBuf {
        self.fleet.borrow_mut().keep_dir()
    }

    async fn is_serving(&self, node: usize) -> bool {
        let url = format!("http://{}/wrecks/0", self.caller_addr(node));
        let req = self.client.get(url).insert_header(("host", HOST));
        let mut req = req.insert_header((testbed::platform::backend::ATTEMPT_HEADER, "start"));
        if let Some(keys) = &self.keys {
            req = req.insert_header((CREDENTIAL_HEADER, &*keys.draw_of(0)));
        }
        req.send()
            .await
            .is_ok_and(|response| response.status() == 200)
    }

    /// Writes the next configuration. Returns whether the store accepted it.
    pub async fn put_config(&self) -> bool {
        let _operator = self.operator.lock().await;
        self.put_next_config().await
    }

    /// Writes the next configuration, with the operator's lock held.
    async fn put_next_config(&self) -> bool {
        let version = self.config_version.get() + 1;
        let accepted = self.write_config(version).await;
        if accepted {
            self.config_version.set(version);
        }
        accepted
    }

    /// Writes a version with the newest workspaces, and records it.
    async fn write_config(&self, version: u32) -> bool {
        let workspaces = self.keys.as_ref().map(|keys| keys.workspaces());
        let config = config(version, workspaces.as_deref());
        let sent_ms = monotonic_millis();
        let accepted = self.put(OPERATOR_TOPIC, "config", config.to_string()).await;
        self.written.borrow_mut().push(WrittenConfig {
            version,
            sent_ms,
            acked_ms: accepted.then(monotonic_millis),
            is_stale: false,
            workspaces: Rc::new(workspaces.unwrap_or_default()),
        });
        accepted
    }

    async fn change_workspaces(&self, change: WorkspaceChange) {
        let _operator = self.operator.lock().await;
        if let Some(keys) = &self.keys {
            keys.apply(change);
            println!("workspaces at {} {change:?}", monotonic_millis());
        }
        self.put_next_config().await;
    }

    async fn put_old_config(&self, truncated: bool) {
        {
            let _operator = self.operator.lock().await;
            let version = self.config_version.get().saturating_sub(1).max(1);
            let workspaces = {
                let written = self.written.borrow();
                let mut earlier = written.iter().filter(|other| other.version == version);
                earlier.next_back().map(|other| other.workspaces.clone())
            };
            let workspaces = workspaces.unwrap_or_default();
            let shown = self.keys.as_ref().map(|_| &**workspaces);
            let mut text = config(version, shown).to_string();
            if truncated {
                text.truncate(text.len() / 2);
            }
            let sent_ms = monotonic_millis();
            if !self.put(OPERATOR_TOPIC, "config", text).await {
                self.violations
                    .borrow_mut()
                    .push("store did not accept a control request".into());
            }
            if !truncated {
                self.written.borrow_mut().push(WrittenConfig {
                    version,
                    sent_ms,
                    acked_ms: Some(monotonic_millis()),
                    is_stale: true,
                    workspaces,
                });
            }
        }
        // The platform's store accepts only valid configurations. This one accepts all, so a valid one
        // follows: otherwise a node that starts later would find no valid configuration.
        actix_rt::time::sleep(OLD_CONFIG_DURATION).await;
        self.put_config().await;
    }

    async fn put(&self, topic: &str, key: &str, value: String) -> bool {
        let addr = self.store_addr;
        let url = format!("http://{addr}/control/put?topic={topic}&key={key}");
        let sent = self.client.post(url).send_body(value).await;
        sent.is_ok_and(|response| response.status().is_success())
    }

    /// State of the move, if one was recorded.
    pub async fn move_state(&self) -> Option<String> {
        let addr = self.store_addr;
        let url = format!("http://{addr}/control/newest?topic={RESULT_TOPIC}&key=rollout/registry");
        let mut response = self.client.get(url).send().await.ok()?;
        let body = response.body().await.ok()?;
        let body: serde_json::Value = serde_json::from_slice(&body).ok()?;
        Some(body["state"].as_str()?.to_owned())
    }

    async fn change_store(&self, change: &StoreControlChange) {
        let url = format!("http://{}/control", self.store_addr);
        if self.client.post(url).send_json(change).await.is_err() {
            self.violations
                .borrow_mut()
                .push("store did not accept a control request".into());
        }
    }

    fn start_node(&self, node: usize) {
        // Fails if another event has started the node meanwhile.
        if self.fleet.borrow_mut().start(node).is_ok() {
            self.node_started_ms.borrow_mut()[node] = monotonic_millis();
        }
    }

    fn start_backend(&self, node: usize, keep_id: bool) {
        let fleet = self.fleet.borrow();
        let addrs = &fleet.nodes()[node].addrs;
        let backend = &mut self.backends.borrow_mut()[node];
        backend.starts += 1;
        if !keep_id || backend.id.is_empty() {
            backend.id = format!("b{node}-{}", backend.starts);
        }
        let is_new = (NODES..NODES + NEW_VERSION_NODES).contains(&node);
        let version = if is_new { NEW_VERSION } else { OLD_VERSION };
        let error_rate = if is_new && self.is_new_version_bad.get() {
            BAD_ERROR_RATE
        } else {
            0.0
        };
        let testbed = &self.programs.testbed;
        let mut command = addrs.backend_command(testbed, &backend.id, service_of(node), version);
        command
            .args(["--born", &monotonic_millis().to_string()])
            .args(["--error-rate", &error_rate.to_string()])
            .args(["--slots", &self.load.slots.to_string()])
            .args(["--service-ms", &self.load.service_ms.to_string()])
            .args(["--seed", &backend.starts.to_string()]);
        if self.keys.is_some() {
            command.args(["--secret-text", KEY_TEXT]);
        }
        // Fails if another event has started the backend server meanwhile.
        let _ = backend.process.start(&mut command);
    }

    /// Records a fault that starts now and ends after `duration`.
    fn record_fault(&self, node: usize, kind: FaultKind, duration: Duration) {
        let from = monotonic_millis();
        let length = u64::try_from((duration + FAULT_END_SLACK).as_millis()).unwrap_or(u64::MAX);
        let to = from.saturating_add(length);
        let fault = FaultInterval {
            node,
            kind,
            from,
            to,
        };
        self.faults.borrow_mut().push(fault);
    }

    fn record_fault_of_all(&self, kind: FaultKind, duration: Duration) {
        for node in 0..ALL_NODES {
            self.record_fault(node, kind, duration);
        }
    }

    /// Performs an event and returns after its end.
    pub async fn perform(self: Rc<Self>, event: Event) {
        match event {
            Event::StopNode(node) => self.stop_node(node).await,
            Event::KillNode(node, downtime) => {
                self.record_fault(node, FaultKind::NodeKilled, Duration::ZERO);
                let killed = self.fleet.borrow_mut().kill(node);
                actix_rt::time::sleep(downtime).await;
                if killed.is_ok() {
                    self.start_node(node);
                }
            }
            Event::PauseNode(node, duration) => {
                self.record_fault(node, FaultKind::NodePaused, duration);
                let paused = self.fleet.borrow().signal(node, Signal::STOP).is_ok();
                actix_rt::time::sleep(duration).await;
                if paused {
                    // Fails if the node was killed meanwhile.
                    let _ = self.fleet.borrow().signal(node, Signal::CONT);
                }
            }
            Event::ReloadNode(node) => {
                // Fails if the node does not run.
                let _ = self.fleet.borrow().signal(node, Signal::HUP);
            }
            Event::KillBackend(node, downtime, keep_id) => {
                self.record_fault(node, FaultKind::BackendFault, downtime);
                // Fails if the process has ended after a leave.
                let _ = self.backends.borrow_mut()[node].process.kill();
                actix_rt::time::sleep(downtime).await;
                self.start_backend(node, keep_id);
            }
            Event::StopBackend(node) => self.stop_backend(node).await,
            Event::PauseBackend(node, duration) => {
                let signal = |signal| {
                    // Fails if the process has ended meanwhile.
                    let _ = self.backends.borrow()[node].process.signal(signal);
                };
                self.record_fault(node, FaultKind::BackendFault, duration);
                signal(Signal::STOP);
                actix_rt::time::sleep(duration).await;
                signal(Signal::CONT);
            }
            Event::LinkFault(kind, node, fault, duration) => {
                let link = link_index(kind);
                if kind == LinkKind::Backend {
                    self.record_fault(node, FaultKind::BackendFault, duration);
                }
                if kind == LinkKind::Store {
                    self.record_fault(node, FaultKind::StoreFault, duration);
                }
                self.links[node][link].set_fault(fault);
                actix_rt::time::sleep(duration).await;
                self.links[node][link].set_fault(LinkFault::None);
            }
            Event::StoreFault(StoreFault::GoBack, copy_age) => self.restore_store(copy_age).await,
            Event::StoreFault(fault, duration) => {
                if delays_reads(fault) {
                    self.record_fault_of_all(FaultKind::StoreFault, duration);
                }
                self.change_store(&store_change(fault)).await;
                actix_rt::time::sleep(duration).await;
                self.change_store(&healthy_store()).await;
            }
            Event::PutConfig => {
                self.put_config().await;
            }
            Event::PutOldConfig(truncated) => self.put_old_config(truncated).await,
            Event::OrderMove(bad) => self.order_move(bad).await,
            Event::StrayMessage(message) => {
                for node in (0..NODES).chain(unsafe_service_nodes()) {
                    self.send_stray(node, message).await;
                }
            }
            Event::LateHeartbeat(node) => {
                let late = async {
                    actix_rt::time::sleep(LATE_HEARTBEAT_DELAY).await;
                    let message = StrayMessage::HeartbeatWithoutStart;
                    self.send_stray(node, message).await;
                };
                tokio::join!(self.stop_backend(node), late);
            }
            Event::ServiceFault(fault, duration) => {
                self.inject_service_fault(fault, duration).await;
            }
            Event::SilenceConnections(kind, duration) => {
                self.silence_connections(kind, duration).await;
            }
            Event::ChangeWorkspaces(change) => self.change_workspaces(change).await,
            Event::ChangeDuringCut {
                first,
                count,
                fault,
                duration,
                change,
            } => {
                let nodes = (first..first + count).map(|node| node % ALL_NODES);
                self.change_during_cut(nodes, fault, duration, change).await;
            }
            // The callers belong to the run.
            Event::Surge(..) => {}
        }
    }

    async fn inject_service_fault(&self, fault: LinkFault, duration: Duration) {
        for node in unsafe_service_nodes() {
            self.record_fault(node, FaultKind::BackendFault, duration);
        }
        let index = link_index(LinkKind::Backend);
        let links = unsafe_service_nodes().map(|node| &self.links[node][index]);
        set_faults(links, fault, duration).await;
    }

    async fn silence_connections(&self, kind: LinkKind, duration: Duration) {
        match kind {
            LinkKind::Backend => self.record_fault_of_all(FaultKind::BackendFault, duration),
            LinkKind::Store => self.record_fault_of_all(FaultKind::StoreFault, duration),
            LinkKind::Node => {}
        }
        let links = self.links.iter().map(|links| &links[link_index(kind)]);
        set_faults(links.clone(), LinkFault::Delay(MAX_SLOW_DELAY), duration).await;
        links.for_each(Proxy::silence_connections);
    }

    /// Changes the workspaces while the connections of some nodes to the store have a fault.
    async fn change_during_cut(
        &self,
        nodes: impl Iterator<Item = usize> + Clone,
        fault: LinkFault,
        duration: Duration,
        change: WorkspaceChange,
    ) {
        for node in nodes.clone() {
            self.record_fault(node, FaultKind::StoreFault, duration);
        }
        let index = link_index(LinkKind::Store);
        let links = nodes.map(|node| &self.links[node][index]);
        let change = async {
            actix_rt::time::sleep(CHANGE_AFTER_CUT).await;
            self.change_workspaces(change).await;
        };
        tokio::join!(set_faults(links, fault, duration), change);
    }

    /// Lets the store go back to a copy of a given age. Restores do not overlap, since the store keeps one
    /// copy.
    async fn restore_store(&self, copy_age: Duration) {
        if self.is_restoring.replace(true) {
            return;
        }
        let copied_ms = monotonic_millis();
        let take_copy = StoreControlChange {
            take_copy: true,
            ..StoreControlChange::default()
        };
        self.change_store(&take_copy).await;
        actix_rt::time::sleep(copy_age).await;
        self.change_store(&store_change(StoreFault::Refuse)).await;
        actix_rt::time::sleep(RESTORE_DURATION).await;
        self.change_store(&StoreControlChange {
            restore_copy: true,
            ..healthy_store()
        })
        .await;
        if self.move_to_bad_version.get().is_some() {
            self.put_order().await;
        }
        {
            let _operator = self.operator.lock().await;
            self.write_config(self.config_version.get()).await;
        }
        let written_ms = monotonic_millis();
        for node in 0..ALL_NODES {
            self.faults.borrow_mut().push(FaultInterval {
                node,
                kind: FaultKind::StoreReverted,
                from: copied_ms,
                to: written_ms,
            });
        }
        self.is_restoring.set(false);
    }

    /// Sends a message of another program to a node. Nothing is expected of the answer.
    async fn send_stray(&self, node: usize, message: StrayMessage) {
        let (id, addrs) = {
            let fleet = self.fleet.borrow();
            let id = self.backends.borrow()[node].id.clone();
            (id, fleet.nodes()[node].addrs.clone())
        };
        let target = Target {
            id: &id,
            addr: addrs.backend,
            service: service_of(node),
            version: OLD_VERSION,
        };
        match stray::build(message, &target) {
            Sent::Request(path, body) => {
                let url = format!("http://{}/sycamorewick/{path}", addrs.heartbeat);
                let req = self.client.post(url);
                let _ = req.content_type("application/json").send_body(body).await;
            }
            Sent::Record(value) => {
                self.put(stray::FLEET_TOPIC, &format!("n{node}"), value)
                    .await;
            }
        }
    }

    /// Returns the process ids and the resident memory of the running nodes, in KiB.
    #[must_use]
    pub fn memory(&self) -> Vec<(u32, u64)> {
        let pids = (0..ALL_NODES).filter_map(|node| self.pid(node));
        let usages = pids.filter_map(|pid| Some((pid, ProcessUsage::read(pid).ok()?.rss_kib)));
        usages.collect()
    }

    /// Returns the processor use of each running node.
    #[must_use]
    pub fn processor_uses(&self) -> Vec<ProcessorUse> {
        let read = |node| {
            let pid = self.pid(node)?;
            let (ran, waited) = ProcessUsage::read_main_thread(pid).ok()?;
            Some(ProcessorUse {
                node,
                pid,
                at: monotonic_millis(),
                ran,
                waited,
            })
        };
        (0..ALL_NODES).filter_map(read).collect()
    }

    async fn stop_node(&self, node: usize) {
        // Fails if the node does not run.
        let Ok(()) = self.fleet.borrow().signal(node, Signal::TERM) else {
            return;
        };
        let stop_start = monotonic_millis();
        let pid = self.pid(node);
        let stop_timeout =
            Duration::from_secs(self.fleet.borrow().nodes()[node].options.stop_within_s);
        let until = Instant::now() + stop_timeout + STOP_TIMEOUT_SLACK;
        // A new pid means that another event has started the node again.
        while !self.has_ended(node) && self.pid(node) == pid {
            if Instant::now() > until {
                let was_paused = self.faults.borrow().iter().any(|other| {
                    other.node == node
                        && other.to >= stop_start
                        && other.kind == FaultKind::NodePaused
                });
                if !was_paused {
                    let text = format!("node {node} got SIGTERM at {stop_start} and still runs");
                    self.violations.borrow_mut().push(text);
                }
                // Fails if the node has ended just now.
                let _ = self.fleet.borrow_mut().kill(node);
                self.record_fault(node, FaultKind::NodeKilled, Duration::ZERO);
                break;
            }
            actix_rt::time::sleep(CHECK_INTERVAL).await;
        }
        self.start_node(node);
    }

    fn pid(&self, node: usize) -> Option<u32> {
        self.fleet.borrow().nodes()[node].process.pid()
    }

    fn has_ended(&self, node: usize) -> bool {
        !self.fleet.borrow_mut().is_running_now(node)
    }

    async fn stop_backend(&self, node: usize) {
        // Fails if the backend server does not run.
        let _ = self.backends.borrow()[node].process.signal(Signal::TERM);
        let until = Instant::now() + Duration::from_secs(12);
        while Instant::now() < until {
            let ended = self.backends.borrow_mut()[node].process.try_wait();
            if !matches!(ended, Ok(None)) || !self.backends.borrow()[node].process.is_running() {
                break;
            }
            actix_rt::time::sleep(CHECK_INTERVAL).await;
        }
        self.start_backend(node, false);
    }

    async fn order_move(&self, bad: bool) {
        self.is_new_version_bad.set(bad);
        for node in NODES..NODES + NEW_VERSION_NODES {
            self.start_node(node);
            self.start_backend(node, false);
        }
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        if self.put_order().await {
            self.move_to_bad_version.set(Some(bad));
        }
    }

    async fn put_order(&self) -> bool {
        let order =
            json!({ "service": SERVICE, "target": NEW_VERSION, "step-s": MOVE_TIME_LIMIT_S });
        self.put(OPERATOR_TOPIC, "rollout/registry", order.to_string())
            .await
    }

    /// Ends all faults and starts the processes that do not run.
    pub async fn clear_faults(&self) {
        for links in &self.links {
            for link in links {
                link.set_fault(LinkFault::None);
            }
        }
        self.change_store(&healthy_store()).await;
        let nodes = if self.move_to_bad_version.get().is_some() {
            NODES + NEW_VERSION_NODES
        } else {
            NODES
        };
        for node in (0..nodes).chain(unsafe_service_nodes()) {
            if self.has_ended(node) {
                self.start_node(node);
            }
            let ended = self.backends.borrow_mut()[node].process.try_wait();
            let is_running = self.backends.borrow()[node].process.is_running();
            if ended.is_ok_and(|status| status.is_some()) || !is_running {
                self.start_backend(node, false);
            }
        }
    }
}

/// Returns the nodes beside backend servers of the service without idempotent routes.
#[must_use]
pub fn unsafe_service_nodes() -> Range<usize> {
    NODES + NEW_VERSION_NODES..ALL_NODES
}

fn service_of(node: usize) -> &'static str {
    if unsafe_service_nodes().contains(&node) {
        UNSAFE_SERVICE
    } else {
        SERVICE
    }
}

/// Returns the position of a connection among those of a node.
fn link_index(kind: LinkKind) -> usize {
    match kind {
        LinkKind::Store => 0,
        LinkKind::Node => 1,
        LinkKind::Backend => 2,
    }
}

/// Injects a fault into connections at the same time, and ends it.
async fn set_faults<'a>(
    links: impl Iterator<Item = &'a Proxy> + Clone,
    fault: LinkFault,
    duration: Duration,
) {
    links.clone().for_each(|link| link.set_fault(fault));
    actix_rt::time::sleep(duration).await;
    links.for_each(|link| link.set_fault(LinkFault::None));
}

/// Whether a fault of the store may delay reads beyond the time that nodes have for them.
fn delays_reads(fault: StoreFault) -> bool {
    match fault {
        StoreFault::Refuse | StoreFault::Hang | StoreFault::Slow => true,
        StoreFault::DropResponses
        | StoreFault::LateAppends
        | StoreFault::MissedWakeups
        | StoreFault::ExpireEarly
        | StoreFault::GoBack => false,
    }
}

/// Returns the configuration of a version. It has one route for each version so far, which shows callers
/// that the version is in force. These routes are public.
fn config(version: u32, workspaces: Option<&[SoakWorkspace]>) -> serde_json::Value {
    let route_to = |service: &str, prefix: &str, kind: &str| {
        json!({ "host": HOST, "prefix": prefix, "kind": kind, "slo-ms": 500, "priority": 1,
            "timeout-ms": ROUTE_TIMEOUT.as_millis(), "service": service, "attempts": 2 })
    };
    let route = |prefix: &str, kind: &str| route_to(SERVICE, prefix, kind);
    let mut routes = serde_json::Map::new();
    routes.insert("lookup".into(), route("/wrecks/", "safe"));
    routes.insert("claims".into(), route("/claims/", "unsafe"));
    routes.insert("sheets".into(), route(UPLOAD_PREFIX, "upload"));
    let moorings = route_to(UNSAFE_SERVICE, "/moorings/", "unsafe");
    routes.insert("moorings".into(), moorings);
    for version in 1..=version {
        let prefix = format!("/v{version}/");
        let mut route = route(&prefix, "safe");
        if workspaces.is_some() {
            route["public"] = true.into();
        }
        routes.insert(format!("v{version}"), route);
    }
    let mut config = json!({
        "version": format!("{version:08x}"),
        "routes": routes,
        "services": {
            SERVICE: { "health-path": "/healthz", "max-conns": 100 },
            UNSAFE_SERVICE: { "health-path": "/healthz", "max-conns": 100 },
        },
        "limits": { "header-bytes": 16384, "body-bytes": 65536, "header-ms": 3000, "idle-ms": 15000 },
    });
    if let Some(workspaces) = workspaces {
        config["tenants"] = workspaces::encode(workspaces);
    }
    config
}

fn store_change(fault: StoreFault) -> StoreControlChange {
    let mut change = StoreControlChange::default();
    match fault {
        StoreFault::Refuse => change.outage = Some(Outage::Refuse),
        StoreFault::Hang => change.outage = Some(Outage::Hang),
        StoreFault::Slow => change.delay_ms = Some(300),
        StoreFault::DropResponses => change.lose_answers = Some(5),
        StoreFault::LateAppends => {
            change.late_appends = Some(5);
            change.late_ms = Some(1_500);
        }
        StoreFault::MissedWakeups => change.missed_wakeups = Some(2),
        StoreFault::ExpireEarly => change.retention = Some(3),
        StoreFault::GoBack => change.restore_copy = true,
    }
    change
}

fn healthy_store() -> StoreControlChange {
    StoreControlChange {
        outage: Some(Outage::Off),
        delay_ms: Some(0),
        lose_answers: Some(0),
        late_appends: Some(0),
        missed_wakeups: Some(0),
        retention: Some(0),
        ..StoreControlChange::default()
    }
}

/// Checks that the binary of a program exists.
///
/// # Errors
/// If it does not exist.
pub fn check_program(path: &Path) -> eyre::Result<()> {
    ensure!(
        path.is_file(),
        "{} is not a file; build the workspace first",
        path.display()
    );
    Ok(())
}
