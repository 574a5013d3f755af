//! Sidecar process of a backend server. It reads the other nodes, its configuration and the orders of
//! operators from the platform's store. See `docs/platform.md`.

pub mod admission;
mod announcer;
mod body_gate;
mod crashes;
mod decision;
mod entry;
mod explain_port;
mod feed;
pub mod file_shares;
mod first_config;
mod health_check;
mod health_probe;
mod heartbeat_port;
mod hop;
mod leaves;
mod limit_events;
pub mod metrics;
mod peer_topics;
mod records;
mod relay_port;
mod rollouts;
mod serving;
pub mod settings;
mod shutdown;
mod status_ports;
mod stopped_nodes;
mod topic_follower;
mod usage_port;
pub mod workspace_metrics;
mod workspaces;

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Request;
use actix_http::Response;
use actix_http::body::BoxBody;
use actix_http::header::HeaderValue;
use actix_rt::net::TcpListener;
use eyre::WrapErr;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::Xoshiro256PlusPlus;
use slog::Logger;
use slog::info;
use tokio::sync::Notify;

use crate::coordination::breaker::Breaker;
use crate::coordination::caller_age::CallerAges;
use crate::coordination::crash_watch::CrashWatch;
use crate::coordination::crashing_requests::CrashingRequests;
use crate::coordination::domains::evacuation::Evacuations;
use crate::coordination::membership::heartbeat_hold::HeartbeatHold;
use crate::coordination::membership::stopped_nodes::StoppedNodes;
use crate::coordination::placement::Placement;
use crate::coordination::query_limit::QueryLimit;
use crate::coordination::retry_quota::RetryQuota;
use crate::coordination::startup::hold::HoldCounts;
use crate::coordination::stop_plan::StopPlan;
use crate::coordination::version_move::Moves;
use crate::logging;
use crate::node::clock::Clock;
use crate::platform::store::Store;
use crate::protocol::hop::BackendTotals;
use crate::protocol::hop::RouteTotals;
use crate::protocol::mesh::CallerLimits;
use crate::protocol::name::NodeId;
use crate::protocol::name::ServiceName;
use crate::protocol::name_field::MAX_FIELD_BYTES;
use crate::result_code::ResultCode;
use crate::sidecar::admission::AdmissionQueue;
use crate::sidecar::announcer::WrittenEntry;
use crate::sidecar::decision::Decision;
use crate::sidecar::feed::Feed;
use crate::sidecar::file_shares::FileShares;
use crate::sidecar::metrics::SidecarMetrics;
use crate::sidecar::settings::SidecarSettings;
use crate::sidecar::usage_port::Quotas;
use crate::state::local_backend::LocalBackend;
use crate::state::report_filter::ReportFilter;
use crate::state::routing_table::RoutingTable;
use crate::transport::body_budget::BodyBudget;
use crate::transport::client_memory;
use crate::transport::client_memory::ClientMemory;
use crate::transport::connection_limit::ConnectionLimit;
use crate::transport::exchange::ConnectionPool;
use crate::transport::http_server::Handler;
use crate::transport::http_server::HttpServer;
use crate::transport::http_server::KEEP_ALIVE;
use crate::transport::pipeline::CurrentLimits;
use crate::transport::pipeline::PipelineOptions;

/// Bytes of the headers that nodes add to the head of a call: its route, service, version and workspace, and others.
const HOP_HEADER_BYTES: usize = 4 * MAX_FIELD_BYTES + (16 << 10);
/// Bytes of the bodies of messages about the state of nodes that are held at a time. The connections of the port
/// could hold far more than an instance has. They are kept apart from the account of clients, so that a crowd of
/// callers does not cut a node off from the quotas.
const MAX_CONTROL_BYTES: usize = 8 << 20;
/// Slots of the backend server until its first heartbeat.
const INITIAL_SLOTS: u32 = 1;

/// Mutable state of a sidecar.
struct SidecarState {
    /// Spreads load and pauses; an explanation of a call has a copy.
    rng: Xoshiro256PlusPlus,
    table: Option<Rc<RoutingTable>>,
    placement: Placement,
    quota: RetryQuota,
    caller_ages: CallerAges,
    backend: LocalBackend,
    heartbeat_hold: HeartbeatHold,
    report_filter: ReportFilter,
    breaker: Breaker,
    crash_watch: CrashWatch,
    crashing: CrashingRequests,
    /// Results of the backend server's current incarnation.
    tally: BackendTotals,
    /// The same by route, while a rollout runs.
    route_tallies: RouteTotals,
    /// Number of the last response with results by route.
    route_turn: usize,
    /// Time that work takes on the instance of the backend server, in percent of the usual time, and when that was
    /// reported.
    work_time: Option<(u32, Duration)>,
    moves: Moves,
    /// Nodes that receive the traffic share of a new version, sorted by service.
    exposed: Vec<(ServiceName, Vec<NodeId>)>,
    evacuations: Evacuations,
    /// Whether the entries of the other nodes have been read.
    fleet_read: bool,
    /// Own entry as last written to the store.
    written: Option<WrittenEntry>,
    /// Last process of another node whose entry named the address of this one.
    contested_by: Option<(NodeId, u64)>,
    stopped_nodes: StoppedNodes,
    /// Number of the last own entry that was sent to the store.
    entry_revision: u64,
}

impl SidecarState {
    /// Returns what the decisions on a call need.
    fn decision(&mut self) -> Decision<'_> {
        Decision {
            rng: &mut self.rng,
            placement: &mut self.placement,
            caller_ages: &mut self.caller_ages,
            table: self.table.as_ref(),
            moves: &self.moves,
            exposed: &self.exposed,
            evacuations: &self.evacuations,
        }
    }
}

/// One sidecar process.
struct Sidecar {
    settings: SidecarSettings,
    clock: Clock,
    log: Logger,
    metrics: SidecarMetrics,
    pool: Rc<ConnectionPool>,
    /// Connections to the store and, for its topics, to other nodes. Responses to calls do not take their
    /// memory.
    control_pool: Rc<ConnectionPool>,
    store: Store,
    /// Name of the own service, for the header with the service that sent a request.
    service_header: HeaderValue,
    /// Address at which other nodes reach this one, for the header with the sender of a call.
    origin: HeaderValue,
    /// Random id of this process.
    run: u64,
    stopping: Cell<bool>,
    /// Progress of the graceful stop, if one has begun.
    stop_plan: RefCell<Option<StopPlan>>,
    open_calls: Cell<usize>,
    /// Slots of the backend server.
    slots: Rc<AdmissionQueue>,
    /// What callers, other nodes and the platform make the process hold.
    client_memory: ClientMemory,
    /// Bodies of the requests of callers and other nodes.
    bodies: BodyBudget,
    /// Bodies of messages of other nodes about their state.
    control_bodies: BodyBudget,
    /// Transfers of large bodies from other nodes.
    transfers: Rc<AdmissionQueue>,
    /// Topics of the store.
    feed: Feed,
    /// Requests of callers that were held for the first configuration.
    hold_counts: Cell<HoldCounts>,
    /// Whether the last entry of this process is being written, or was removed, in a planned stop.
    is_entry_final: Cell<bool>,
    /// Signals to all that wait for it that a configuration has come into force.
    config_changed: Notify,
    /// Signals that the own entry may have to be written.
    entry_changed: Notify,
    /// Signals that a write of the own entry has succeeded or failed.
    entry_tried: Notify,
    /// Whether the last write of the own entry has failed and is not repeated yet.
    entry_write_failed: Cell<bool>,
    /// Queries of operators.
    queries: RefCell<QueryLimit>,
    /// Quotas of workspaces.
    quotas: Quotas,
    state: RefCell<SidecarState>,
}

impl Sidecar {
    fn is_ready(&self) -> bool {
        !self.stopping.get() && self.is_synchronized()
    }

    /// Whether the node has a configuration and the entries of the other nodes.
    fn is_synchronized(&self) -> bool {
        let state = self.state.borrow();
        state.table.is_some() && state.fleet_read
    }

    fn table(&self) -> Option<Rc<RoutingTable>> {
        self.state.borrow().table.clone()
    }
}

/// Runs a sidecar until it receives a signal to stop.
///
/// # Errors
/// If an address cannot be bound.
pub async fn run(file: &Path, settings: SidecarSettings) -> eyre::Result<()> {
    let (log, guard) = logging::start_buffered();
    let cx = Rc::new(new_sidecar(settings, log.clone())?);
    health_probe::apply_bound(&cx);
    let servers = start_servers(&cx).await?;
    info!(log, "node started"; "node" => cx.settings.id.as_str(), "run" => cx.run,
        "service" => cx.settings.service.as_str(), "failure_domain" => cx.settings.failure_domain.as_str());
    topic_follower::start(&cx);
    announcer::start(&cx);
    stopped_nodes::start(&cx);
    heartbeat_port::start(&cx);
    rollouts::start(&cx);
    usage_port::start(&cx);
    limit_events::start(&cx);
    shutdown::wait_for_signal(&cx, file).await?;
    shutdown::drain(&cx, &servers).await;
    info!(log, "node stopped"; "node" => cx.settings.id.as_str(),
        "open_calls" => cx.open_calls.get(), "log_lines_dropped" => logging::dropped_lines());
    drop(guard);
    Ok(())
}

fn new_placement(settings: &SidecarSettings) -> Placement {
    let placement = Placement::new(
        settings.id.clone(),
        settings.region.clone(),
        settings.failure_domain.clone(),
    );
    if settings.spillover {
        placement.with_spillover()
    } else {
        placement
    }
}

fn new_sidecar(settings: SidecarSettings, log: Logger) -> eyre::Result<Sidecar> {
    let mut rng = Xoshiro256PlusPlus::try_from_rng(&mut rand::rngs::SysRng)?;
    let run = rng.next_u64();
    let shares = FileShares::new(settings.max_open_files);
    let call_limit = ConnectionLimit::new(shares.calls);
    let call_limit = call_limit.with_reserved(settings.backend_addr, shares.backend);
    let control_limit = ConnectionLimit::new(shares.control);
    let control_limit = control_limit.with_reserved(settings.store_addr, shares.store);
    let control_pool = Rc::new(ConnectionPool::new(control_limit));
    let state = SidecarState {
        rng,
        table: None,
        placement: new_placement(&settings),
        quota: RetryQuota::new(settings.retry_budget()),
        caller_ages: CallerAges::default(),
        backend: LocalBackend::new(settings.heartbeat_interval()),
        heartbeat_hold: HeartbeatHold::default(),
        report_filter: ReportFilter::new(settings.service.clone(), settings.backend_addr),
        breaker: Breaker::default(),
        crash_watch: CrashWatch::default(),
        crashing: CrashingRequests::default(),
        tally: BackendTotals::default(),
        route_tallies: RouteTotals::default(),
        route_turn: 0,
        work_time: None,
        moves: Moves::default(),
        exposed: Vec::new(),
        evacuations: Evacuations::default(),
        fleet_read: false,
        written: None,
        contested_by: None,
        stopped_nodes: StoppedNodes::default(),
        entry_revision: 0,
    };
    let clock = Clock::start();
    let client_memory = ClientMemory::new(client_memory::account_bytes(settings.memory_mb));
    Ok(Sidecar {
        clock,
        metrics: SidecarMetrics::install()?,
        store: Store::new(settings.store_addr, control_pool.clone(), log.clone()),
        pool: Rc::new(ConnectionPool::new(call_limit)),
        control_pool,
        log,
        service_header: HeaderValue::from_str(settings.service.as_str())?,
        origin: HeaderValue::try_from(settings.advertised_addr().to_string())?,
        run,
        stopping: Cell::new(false),
        stop_plan: RefCell::new(None),
        open_calls: Cell::new(0),
        slots: AdmissionQueue::new(clock, INITIAL_SLOTS),
        bodies: BodyBudget::of_clients(&client_memory),
        client_memory,
        control_bodies: BodyBudget::new(MAX_CONTROL_BYTES),
        transfers: AdmissionQueue::new(clock, body_gate::max_transfers(settings.link_mbps)),
        feed: Feed::default(),
        hold_counts: Cell::default(),
        is_entry_final: Cell::new(false),
        config_changed: Notify::new(),
        entry_changed: Notify::new(),
        entry_tried: Notify::new(),
        entry_write_failed: Cell::new(false),
        queries: RefCell::default(),
        quotas: Quotas::new(&settings, run),
        state: RefCell::new(state),
        settings,
    })
}

/// Wraps a function that handles one request as the handler of a port.
fn handler<F>(cx: &Rc<Sidecar>, handle: fn(Rc<Sidecar>, Request) -> F) -> Handler
where
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let cx = cx.clone();
    Rc::new(move |req| Box::pin(handle(cx.clone(), req)))
}

/// HTTP servers of a sidecar.
struct Servers {
    caller: HttpServer,
    node: HttpServer,
    _platform: [HttpServer; 3],
}

impl Servers {
    /// Returns the number of answers to callers and other nodes that are not sent completely.
    fn unsent_responses(&self) -> usize {
        self.caller.unsent_responses() + self.node.unsent_responses()
    }
}

async fn start_servers(cx: &Rc<Sidecar>) -> eyre::Result<Servers> {
    let settings = &cx.settings;
    let caller = bind(settings.caller_addr).await?;
    let node = bind(settings.node_addr).await?;
    let ready = bind(settings.ready_addr).await?;
    let heartbeat = bind(settings.heartbeat_addr).await?;
    let metrics = bind(settings.metrics_addr).await?;
    let shares = FileShares::new(settings.max_open_files);
    let start_platform_server = |listener, handler, port| {
        let options = port_options(cx, handler, port);
        HttpServer::start_with_options(listener, shares.platform, options)
    };
    Ok(Servers {
        caller: HttpServer::start_with_options(
            caller,
            shares.callers,
            PipelineOptions {
                may_overlap: entry::may_overlap(cx),
                any_fields: true,
                limits: current_limits(cx, |limits| limits),
                ..port_options(cx, handler(cx, entry::handle), 0)
            },
        ),
        node: HttpServer::start_with_options(
            node,
            shares.nodes,
            PipelineOptions {
                gate: Some(body_gate::gate(cx)),
                limits: current_limits(cx, |limits| CallerLimits {
                    header_bytes: limits.header_bytes + HOP_HEADER_BYTES,
                    idle_time: KEEP_ALIVE,
                    ..limits
                }),
                refuses: false,
                any_fields: true,
                ..port_options(cx, handler(cx, hop::handle), 1)
            },
        ),
        _platform: [
            start_platform_server(ready, status_ports::ready_handler(cx), 2),
            start_platform_server(heartbeat, handler(cx, heartbeat_port::handle), 3),
            start_platform_server(metrics, status_ports::metrics_handler(cx), 4),
        ],
    })
}

/// Returns the options of a port whose clients are not callers: they keep connections longer than the
/// configuration allows callers.
fn port_options(cx: &Rc<Sidecar>, handler: Handler, port: usize) -> PipelineOptions {
    PipelineOptions {
        handler,
        may_overlap: Rc::new(|_| false),
        gate: None,
        limits: current_limits(cx, |limits| CallerLimits {
            idle_time: KEEP_ALIVE,
            ..limits
        }),
        memory: cx.client_memory.clone(),
        refuses: true,
        port,
        any_fields: false,
    }
}

/// Returns the limits of the configuration in force, changed for a port.
fn current_limits(cx: &Rc<Sidecar>, change: fn(CallerLimits) -> CallerLimits) -> CurrentLimits {
    let cx = cx.clone();
    Rc::new(move || {
        let limits = cx.table().map(|table| table.limits());
        change(limits.unwrap_or_default())
    })
}

async fn bind(addr: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(addr)
        .await
        .wrap_err_with(|| format!("{}: {addr}", ResultCode::BindFailed))
}
