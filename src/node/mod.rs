//! The node process, which combines transport, coordination and state. See `docs/design.md`,
//! section 7.

mod alerts;
pub mod backend;
pub mod clock;
mod config_reader;
mod console;
mod entry;
mod gossip_loop;
mod history;
mod hop;
mod keyed;
mod local_port;
mod log_writer;
pub mod metrics;
mod node_port;
mod operator_port;
mod peer_client;
mod publish;
mod serving;
mod shutdown;
mod status;

use std::cell::Cell;
use std::cell::RefCell;
use std::fs;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::net::TcpListener;
use actix_rt::net::UdpSocket;
use eyre::WrapErr;
use rand::SeedableRng;
use rand::rngs::StdRng;
use slog::Logger;
use slog::info;

use crate::coordination::admission::Admission;
use crate::coordination::answered_requests::AnsweredRequests;
use crate::coordination::balancer::Balancer;
use crate::coordination::dissemination::Gossip;
use crate::coordination::dissemination::GossipConfig;
use crate::coordination::idempotency::KeyReplica;
use crate::coordination::quarantine::Quarantine;
use crate::coordination::readiness::Readiness;
use crate::coordination::retry::TokenBucket;
use crate::coordination::rollout::RolloutEngine;
use crate::logging;
use crate::node::backend::Backend;
use crate::node::clock::Clock;
use crate::node::metrics::NodeMetrics;
use crate::node::publish::Convergence;
use crate::node::serving::RunningCalls;
use crate::node::serving::WaitingCalls;
use crate::protocol::auth::AuthKey;
use crate::protocol::auth::ReplayWindow;
use crate::protocol::gossip::Member;
use crate::protocol::gossip::MemberStatus;
use crate::protocol::name::NodeId;
use crate::protocol::record::OutcomeRecord;
use crate::result_code::ResultCode;
use crate::settings::Settings;
use crate::state::log_fold::LogFold;
use crate::state::outcome::Outcomes;
use crate::state::snapshot::ConfigStore;
use crate::state::snapshot::Snapshot;
use crate::transport::http_client::HttpClient;
use crate::transport::http_server::HttpServer;
use crate::transport::log_client::LogClient;

/// Maximum connections to the backend server beside the node, which accepts about 100.
const MAX_BACKEND_CONNECTIONS: usize = 64;
/// Maximum connections to one peer, whose backend server runs about 10 calls at a time.
const MAX_PEER_CONNECTIONS: usize = 64;
/// Maximum open connections on the request port.
const MAX_CALLER_CONNECTIONS: usize = 1_024;
/// Maximum open connections on the node port: one or two from each node that calls this service.
const MAX_NODE_CONNECTIONS: usize = 4_096;
/// Maximum open connections on the operator port.
const MAX_OPERATOR_CONNECTIONS: usize = 64;
/// Maximum number of calls that wait for a slot of the backend server.
const MAX_QUEUED_CALLS: usize = 64;
/// Number of slots until the backend server announces its own.
const INITIAL_SLOTS: u32 = 10;

/// Data shared by the tasks of a node, all of which run on one thread.
pub struct Node {
    settings: Settings,
    clock: Clock,
    log: Logger,
    metrics: NodeMetrics,
    keys: Vec<AuthKey>,
    operator_token: String,
    udp: UdpSocket,
    peers: HttpClient,
    backend_http: HttpClient,
    log_client: LogClient,
    stopping: Cell<bool>,
    open_calls: Cell<usize>,
    /// Requests to the operator port with a wrong token.
    operator_auth_failures: Cell<u64>,
    state: RefCell<NodeState>,
}

/// Mutable state of a node. It is never borrowed across an await point.
struct NodeState {
    rng: StdRng,
    replay: ReplayWindow,
    store: ConfigStore,
    fold: LogFold,
    readiness: Readiness,
    /// Whether the node has become ready; never reset.
    ready: bool,
    /// Oldest offset and end offset of the `config` stream at the last read.
    log_bounds: (u64, u64),
    gossip: Gossip,
    balancer: Balancer,
    retry_tokens: TokenBucket,
    admission: Admission,
    waiting: WaitingCalls,
    running: RunningCalls,
    rollouts: RolloutEngine,
    quarantine: Quarantine,
    answered: AnsweredRequests,
    backend: Backend,
    outcomes: Outcomes,
    /// Versions whose convergence is tracked, oldest first.
    convergence: Vec<Convergence>,
    key_replica: KeyReplica,
    /// Number of claims that this process has made.
    claim_count: u64,
}

impl Node {
    /// Reports an outcome: writes a log line, keeps the outcome and queues it for the log server.
    fn report(&self, code: ResultCode, identity: String, subject: String, text: String) {
        let outcome = OutcomeRecord {
            code: code.number(),
            identity,
            at: self.clock.wall(),
            node: self.settings.id.clone(),
            subject,
            text,
        };
        self.report_record(outcome);
    }

    fn report_record(&self, outcome: OutcomeRecord) {
        let mut state = self.state.borrow_mut();
        let code = outcome.code;
        let (subject, text) = (outcome.subject.clone(), outcome.text.clone());
        if !state.outcomes.report(outcome) {
            return;
        }
        info!(self.log, "outcome"; "code" => code, "subject" => subject, "text" => text);
        match ResultCode::from_number(code) {
            Some(ResultCode::RolloutCompleted) => self.metrics.rollouts_completed.increment(1),
            Some(ResultCode::RolledBack) => self.metrics.rollbacks.increment(1),
            _ => {}
        }
    }

    fn snapshot(&self) -> Option<Rc<Snapshot>> {
        self.state.borrow().store.current()
    }
}

/// Runs a node until it receives SIGTERM or SIGINT.
///
/// # Errors
/// If a file of the settings cannot be read or an address cannot be bound.
pub async fn run(settings: Settings) -> eyre::Result<()> {
    let (log, guard) = logging::start(settings.log_format, settings.log_level);
    let node = Rc::new(open(settings, log.clone()).await?);
    let servers = start_servers(&node).await?;
    info!(log, "node started"; "node" => node.settings.id.as_str(),
        "request_addr" => node.settings.request_addr.to_string());
    gossip_loop::start(&node);
    config_reader::start(&node);
    log_writer::start(&node);
    alerts::start(&node);
    keyed::start(&node);
    shutdown::wait_for_signal().await?;
    shutdown::drain(&node, &servers).await;
    info!(log, "node stopped"; "node" => node.settings.id.as_str());
    drop(guard);
    Ok(())
}

async fn open(settings: Settings, log: Logger) -> eyre::Result<Node> {
    let keys = read_keys(&settings)?;
    let token_file = &settings.operator_token_file;
    let operator_token = fs::read_to_string(token_file)
        .wrap_err_with(|| format!("cannot read {}", token_file.display()))?;
    let udp = UdpSocket::bind(settings.gossip_addr)
        .await
        .wrap_err_with(|| format!("{}: {}", ResultCode::BindFailed, settings.gossip_addr))?;
    let clock = Clock::start();
    let mut rng = StdRng::try_from_rng(&mut rand::rngs::SysRng)?;
    let seed = rand::Rng::next_u64(&mut rng);
    let me = own_member(&settings, clock);
    let id: NodeId = settings.id.clone();
    let key_replica = KeyReplica::new(id.clone(), settings.failure_domain.clone());
    let state = NodeState {
        rng,
        replay: ReplayWindow::new(clock.wall()),
        store: ConfigStore::new(),
        fold: LogFold::new(),
        readiness: Readiness::new(),
        ready: false,
        log_bounds: (0, 0),
        gossip: Gossip::new(
            me,
            seed,
            GossipConfig {
                seeds: settings.seeds.clone(),
            },
        ),
        balancer: Balancer::new(
            id.clone(),
            settings.region.clone(),
            settings.failure_domain.clone(),
        ),
        retry_tokens: TokenBucket::new(),
        admission: Admission::new(INITIAL_SLOTS, MAX_QUEUED_CALLS),
        waiting: WaitingCalls::default(),
        running: RunningCalls::default(),
        rollouts: RolloutEngine::new(id),
        quarantine: Quarantine::new(),
        answered: AnsweredRequests::new(),
        backend: Backend::default(),
        outcomes: Outcomes::new(),
        convergence: Vec::new(),
        key_replica,
        claim_count: 0,
    };
    Ok(Node {
        clock,
        log,
        metrics: NodeMetrics::install()?,
        keys,
        operator_token: operator_token.trim().to_owned(),
        udp,
        peers: HttpClient::new(MAX_PEER_CONNECTIONS),
        backend_http: HttpClient::new(MAX_BACKEND_CONNECTIONS),
        log_client: LogClient::new(settings.log_addr),
        stopping: Cell::new(false),
        open_calls: Cell::new(0),
        operator_auth_failures: Cell::new(0),
        state: RefCell::new(state),
        settings,
    })
}

fn read_keys(settings: &Settings) -> eyre::Result<Vec<AuthKey>> {
    let file = &settings.cluster_key_file;
    let content =
        fs::read_to_string(file).wrap_err_with(|| format!("cannot read {}", file.display()))?;
    let lines = content.lines().filter(|line| !line.trim().is_empty());
    let keys: Vec<AuthKey> = lines
        .map(|line| AuthKey::derive(line.as_bytes()))
        .collect::<Result<_, _>>()?;
    eyre::ensure!(!keys.is_empty(), "{} contains no key", file.display());
    Ok(keys)
}

/// Returns the member entry of this node. The incarnation starts at the wall time, so that the
/// entry of a restarted node replaces the one that the other nodes hold from its previous run.
fn own_member(settings: &Settings, clock: Clock) -> Member {
    Member {
        id: settings.id.clone(),
        incarnation: clock.wall().0,
        status: MemberStatus::Alive,
        region: settings.region.clone(),
        domain: settings.failure_domain.clone(),
        node_addr: settings.node_addr,
        gossip_addr: settings.gossip_addr,
        started_at: clock.wall(),
        backend: None,
    }
}

/// The servers of a node.
struct Servers {
    request: HttpServer,
    node: HttpServer,
    /// Kept so that the port stays open until the process ends.
    _operator: HttpServer,
}

async fn start_servers(node: &Rc<Node>) -> eyre::Result<Servers> {
    let settings = &node.settings;
    let request = bind(settings.request_addr).await?;
    let peer = bind(settings.node_addr).await?;
    let operator = bind(settings.operator_addr).await?;
    Ok(Servers {
        request: HttpServer::start(request, MAX_CALLER_CONNECTIONS, entry::handler(node)),
        node: HttpServer::start(peer, MAX_NODE_CONNECTIONS, node_port::handler(node)),
        _operator: HttpServer::start(
            operator,
            MAX_OPERATOR_CONNECTIONS,
            operator_port::handler(node),
        ),
    })
}

async fn bind(addr: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .wrap_err_with(|| format!("{}: {addr}", ResultCode::BindFailed))
}

/// Spawns a task that calls `step` once per `period`. The first call has a random offset, so that
/// nodes that start together do not act in lockstep.
fn run_periodically(node: &Rc<Node>, period: Duration, step: impl Fn(&Rc<Node>) + 'static) {
    let node = node.clone();
    actix_rt::spawn(async move {
        let offset = rand::RngExt::random_range(&mut node.state.borrow_mut().rng, 0.0..1.0);
        actix_rt::time::sleep(period.mul_f64(offset)).await;
        let mut interval = actix_rt::time::interval(period);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            step(&node);
        }
    });
}
