//! Quotas of workspaces in a running node: the limiter and the collector with their messages. See
//! `docs/design/quotas.md`.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use actix_http::body::BoxBody;
use actix_http::uri::PathAndQuery;
use rand::Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::info;
use tokio::sync::Notify;

use crate::coordination::placement::Placement;
use crate::coordination::workspaces::quota::QuotaBounds;
use crate::coordination::workspaces::quota::QuotaDecision;
use crate::coordination::workspaces::quota::QuotaLimiter;
use crate::coordination::workspaces::quota::QuotaRefusal;
use crate::coordination::workspaces::quota::Reservation;
use crate::coordination::workspaces::usage::Collector;
use crate::coordination::workspaces::usage::CollectorChoice;
use crate::protocol::codec;
use crate::protocol::name::DomainName;
use crate::protocol::name::NodeId;
use crate::protocol::name::WorkspaceName;
use crate::protocol::time::millis;
use crate::protocol::usage::DomainUsage;
use crate::protocol::usage::UsageReport;
use crate::protocol::usage::UsageRequest;
use crate::protocol::usage::UsageTotals;
use crate::result_code::ResultCode;
use crate::sidecar::Sidecar;
use crate::sidecar::settings::SidecarSettings;
use crate::state::routing_table::RoutingTable;
use crate::transport::exchange::Exchange;
use crate::transport::http_server;
use crate::transport::http_server::BODY_TIMEOUT;

/// Path of a report or an exchange of sums.
pub const USAGE_PATH: &str = "/sw/usage";
/// Interval at which due messages are looked for while there are requests with a quota.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the nodes of each failure domain are counted, unless their number changes.
const FLEET_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit for a response within the failure domain, and from another one.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle time after which a connection is not reused.
const MAX_IDLE: Duration = Duration::from_secs(3);
/// Largest message, bytes; a workspace takes some 40.
const MAX_MESSAGE_BYTES: usize = 256 << 10;

/// Limiter and collector of a node.
pub struct Quotas {
    state: RefCell<QuotaState>,
    /// Signals a request of a workspace with a quota, a report or a configuration.
    changed: Notify,
    is_reporting: Cell<bool>,
}

struct QuotaState {
    limiter: QuotaLimiter,
    collector: Collector,
    choice: CollectorChoice,
    reports_to: Option<NodeId>,
    applied: Applied,
}

/// What the limiter and the collector know of the rest of the node.
#[derive(Clone, Copy, Default)]
struct Applied {
    config_version: Option<u64>,
    fleet_counted_at: Option<Duration>,
    nodes: usize,
}

/// Why a request got no response.
enum Failed {
    /// The node is not the collector of its failure domain.
    NotCollecting,
    Other(String),
}

impl Quotas {
    /// Creates the state of a new process.
    #[must_use]
    pub fn new(settings: &SidecarSettings, run: u64) -> Self {
        let bounds = QuotaBounds {
            window: Duration::from_secs_f64(settings.quota_window_s),
            excess: settings.quota_excess,
            slack: settings.quota_slack,
        };
        Self {
            state: RefCell::new(QuotaState {
                limiter: QuotaLimiter::new(bounds),
                collector: Collector::new(settings.failure_domain.clone(), run, bounds),
                choice: CollectorChoice::default(),
                reports_to: None,
                applied: Applied::default(),
            }),
            changed: Notify::new(),
            is_reporting: Cell::new(false),
        }
    }
}

/// Token that is kept for a request whose body arrives, until this is dropped.
pub struct ReservedToken {
    cx: Rc<Sidecar>,
    reservation: Reservation,
}

impl Drop for ReservedToken {
    fn drop(&mut self) {
        let mut state = self.cx.quotas.state.borrow_mut();
        state.limiter.release(&self.reservation);
    }
}

/// Keeps a token for a request before its body is read. `None` if the workspace has no quota.
///
/// # Errors
/// The time after which a token is expected, if the quota of the workspace is used up.
pub fn reserve(
    cx: &Rc<Sidecar>,
    workspace: &WorkspaceName,
    attempt: &str,
) -> Result<Option<ReservedToken>, Duration> {
    let now = cx.clock.now();
    update(cx, now);
    let reserved = {
        let limiter = &mut cx.quotas.state.borrow_mut().limiter;
        limiter.reserve(now, workspace)
    };
    match reserved {
        Ok(reservation) => Ok(reservation.map(|reservation| ReservedToken {
            cx: cx.clone(),
            reservation,
        })),
        Err(refusal) => Err(on_refused(cx, workspace, attempt, &refusal)),
    }
}

/// Counts and logs a request that the quota of its workspace refuses. Returns the time after which a token is
/// expected.
fn on_refused(
    cx: &Sidecar,
    workspace: &WorkspaceName,
    attempt: &str,
    refusal: &QuotaRefusal,
) -> Duration {
    cx.metrics.quota_refused.increment(1);
    cx.quotas.changed.notify_one();
    info!(cx.log, "request refused by the quota of its workspace"; "attempt" => attempt,
        "code" => ResultCode::QuotaExceeded.number(), "workspace" => workspace.as_str(),
        "share" => format!("{:.4}", refusal.share), "tokens" => format!("{:.2}", refusal.tokens),
        "level" => format!("{:.1}", refusal.level), "totals_age_ms" => refusal.totals_age.map(millis),
        "retry_after_ms" => millis(refusal.retry_after));
    refusal.retry_after
}

/// Takes a token for a request that can run now. Returns whether its workspace has a quota.
///
/// # Errors
/// The time after which a token is expected, if the quota of the workspace is used up.
pub fn admit(cx: &Sidecar, workspace: &WorkspaceName, attempt: &str) -> Result<bool, Duration> {
    let now = cx.clock.now();
    update(cx, now);
    let decision = {
        let rng = &mut cx.state.borrow_mut().rng;
        let limiter = &mut cx.quotas.state.borrow_mut().limiter;
        limiter.admit(now, workspace, rng)
    };
    match decision {
        QuotaDecision::Unlimited => Ok(false),
        QuotaDecision::Admitted => {
            cx.metrics.quota_admitted.increment(1);
            cx.quotas.changed.notify_one();
            Ok(true)
        }
        QuotaDecision::Refused(refusal) => Err(on_refused(cx, workspace, attempt, &refusal)),
    }
}

/// Gives back the token of a request that has not run.
pub fn give_back(cx: &Sidecar, workspace: &WorkspaceName) {
    let mut state = cx.quotas.state.borrow_mut();
    state.limiter.give_back(workspace);
}

/// Starts reports and exchanges.
pub fn start(cx: &Rc<Sidecar>) {
    let cx = cx.clone();
    actix_rt::spawn(async move {
        loop {
            let now = cx.clock.now();
            update(&cx, now);
            if send_due(&cx, now) {
                actix_rt::time::sleep(CHECK_INTERVAL).await;
            } else {
                cx.quotas.changed.notified().await;
            }
        }
    });
}

/// Sends the messages that are due. Returns whether more will follow without a further request.
fn send_due(cx: &Rc<Sidecar>, now: Duration) -> bool {
    let mut state = cx.quotas.state.borrow_mut();
    if !state.limiter.has_quotas() {
        return false;
    }
    if let Some(age) = state.limiter.totals_age(now) {
        cx.metrics.quota_totals_age.set(age.as_secs_f64());
    }
    for (domain, usage) in state.collector.due_exchanges(now) {
        actix_rt::spawn(exchange(cx.clone(), domain, usage));
    }
    let is_due = state.limiter.is_report_due(now);
    let is_active = !state.limiter.is_idle(now) || state.collector.is_active(now);
    drop(state);
    if is_due && !cx.quotas.is_reporting.replace(true) {
        actix_rt::spawn(report(cx.clone()));
    }
    is_due || is_active
}

/// Applies a new configuration and the number of nodes.
fn update(cx: &Sidecar, now: Duration) {
    let Some(table) = cx.table() else {
        return;
    };
    let state = &mut *cx.quotas.state.borrow_mut();
    let sidecar = &mut *cx.state.borrow_mut();
    let (limiter, applied) = (&mut state.limiter, state.applied);
    let placement = &sidecar.placement;
    state.applied = update_limiter(limiter, applied, now, &table, placement, &mut sidecar.rng);
    if state.applied.config_version != applied.config_version {
        state.collector.set_workspaces(now, table.workspaces());
    }
    if state.applied.fleet_counted_at == applied.fleet_counted_at {
        return;
    }
    let mut domains: Vec<(DomainName, usize)> = Vec::new();
    for entry in placement.entries() {
        match domains.binary_search_by(|(domain, _)| domain.cmp(&entry.domain)) {
            Ok(index) => domains[index].1 += 1,
            Err(index) => domains.insert(index, (entry.domain.clone(), 1)),
        }
    }
    state.collector.set_domains(&domains);
}

/// Applies a new configuration and the number of nodes to a limiter. Returns what it has applied then. Each change of
/// the number counts at once: processes that start together know of no other node at first, and each of them would
/// use the whole quota until the next count.
fn update_limiter(
    limiter: &mut QuotaLimiter,
    mut applied: Applied,
    now: Duration,
    table: &RoutingTable,
    placement: &Placement,
    rng: &mut impl Rng,
) -> Applied {
    if applied.config_version != Some(table.version()) {
        applied.config_version = Some(table.version());
        limiter.set_workspaces(now, table.workspaces(), rng);
    }
    let nodes = placement.nodes();
    let is_counted = |at| nodes == applied.nodes && now.saturating_sub(at) < FLEET_INTERVAL;
    if limiter.has_quotas() && !applied.fleet_counted_at.is_some_and(is_counted) {
        applied.fleet_counted_at = Some(now);
        applied.nodes = nodes;
        limiter.set_nodes(nodes);
    }
    applied
}

/// Returns a copy of the limiter that is up to date, on which a request can be tried without taking a token.
pub fn limiter_copy(
    cx: &Sidecar,
    now: Duration,
    table: &RoutingTable,
    placement: &Placement,
    rng: &mut impl Rng,
) -> QuotaLimiter {
    let state = cx.quotas.state.borrow();
    let mut limiter = state.limiter.clone();
    update_limiter(&mut limiter, state.applied, now, table, placement, rng);
    limiter
}

/// Signals a new configuration.
pub fn on_config(cx: &Sidecar) {
    cx.quotas.changed.notify_one();
}

/// Nodes of a failure domain by descending capacity.
fn nodes_of(cx: &Sidecar, domain: &DomainName) -> Vec<(NodeId, SocketAddr)> {
    let placement = &cx.state.borrow().placement;
    let mut entries: Vec<_> = placement
        .entries()
        .filter(|entry| entry.domain == *domain)
        .collect();
    // The sort is stable, so nodes of equal capacity stay ordered by name.
    entries.sort_by_key(|entry| std::cmp::Reverse(entry.capacity));
    let nodes = entries.iter();
    nodes
        .map(|entry| (entry.node.clone(), entry.addr))
        .collect()
}

/// Chooses the collector of a failure domain.
fn choose(cx: &Sidecar, domain: &DomainName) -> Option<(NodeId, SocketAddr)> {
    let nodes = nodes_of(cx, domain);
    let state = cx.quotas.state.borrow();
    let names = nodes.iter().map(|(node, _)| node);
    let chosen = state.choice.choose(cx.clock.now(), names)?;
    nodes.iter().find(|(node, _)| node == chosen).cloned()
}

/// Reports the counts of this node to the collector of its failure domain.
async fn report(cx: Rc<Sidecar>) {
    let chosen = choose(&cx, &cx.settings.failure_domain);
    // Without entries of other nodes this one collects.
    let own = (cx.settings.id.clone(), cx.settings.advertised_addr());
    let (node, addr) = chosen.unwrap_or(own);
    let report = {
        let now = cx.clock.now();
        let state = &mut *cx.quotas.state.borrow_mut();
        let is_new = state.reports_to.as_ref() != Some(&node);
        if is_new {
            info!(cx.log, "collector of usage chosen"; "collector" => node.as_str(),
                "before" => state.reports_to.as_ref().map(|node| node.as_str().to_owned()),
                "totals_age_ms" => state.limiter.totals_age(now).map(millis));
            state.reports_to = Some(node.clone());
        }
        let (counts, acknowledged_by, since) = state.limiter.report(now, is_new);
        UsageReport {
            node: cx.settings.id.clone(),
            run: cx.run,
            acknowledged_by,
            since,
            counts,
        }
    };
    let totals = if node == cx.settings.id {
        let now = cx.clock.now();
        let mut state = cx.quotas.state.borrow_mut();
        Ok(state.collector.on_report(now, &report))
    } else {
        let request = UsageRequest::Report(report.clone());
        send::<UsageTotals>(&cx, addr, &request, REPORT_TIMEOUT).await
    };
    let now = cx.clock.now();
    let state = &mut *cx.quotas.state.borrow_mut();
    if let Some(totals) = on_response(&cx, state, now, &node, totals) {
        state.limiter.on_totals(now, &report.counts, &totals);
    }
    cx.quotas.is_reporting.set(false);
}

/// Exchanges sums with the collector of another failure domain.
async fn exchange(cx: Rc<Sidecar>, domain: DomainName, usage: DomainUsage) {
    let Some((node, addr)) = choose(&cx, &domain) else {
        return;
    };
    // If no node of the domain answers, tries and log lines would follow each other without a pause.
    let now = cx.clock.now();
    if cx.quotas.state.borrow().choice.is_avoided(now, &node) {
        return;
    }
    let request = UsageRequest::Exchange(usage);
    let response = send::<DomainUsage>(&cx, addr, &request, EXCHANGE_TIMEOUT).await;
    let now = cx.clock.now();
    let state = &mut *cx.quotas.state.borrow_mut();
    if let Some(usage) = on_response(&cx, state, now, &node, response) {
        state.collector.on_exchange_response(now, &usage);
    } else {
        state.collector.on_exchange_failed(&domain);
    }
}

/// Handles whether a node has answered as a collector.
fn on_response<T>(
    cx: &Sidecar,
    state: &mut QuotaState,
    now: Duration,
    node: &NodeId,
    response: Result<T, Failed>,
) -> Option<T> {
    match response {
        Ok(response) => {
            state.choice.on_answered(node);
            Some(response)
        }
        Err(Failed::NotCollecting) => {
            state.choice.on_not_collecting(now, node);
            None
        }
        Err(Failed::Other(why)) => {
            state.choice.on_failed(now, node);
            info!(cx.log, "usage not exchanged"; "peer" => node.as_str(), "why" => why,
                "totals_age_ms" => state.limiter.totals_age(now).map(millis));
            None
        }
    }
}

async fn send<T: DeserializeOwned>(
    cx: &Sidecar,
    addr: SocketAddr,
    request: &UsageRequest,
    time_limit: Duration,
) -> Result<T, Failed> {
    let body = codec::encode(request).map_err(|failure| Failed::Other(failure.text))?;
    let exchange = Exchange {
        addr,
        method: Method::POST,
        target: PathAndQuery::from_static(USAGE_PATH),
        headers: Vec::new(),
        body: body.into(),
        max_idle: MAX_IDLE,
        echo: None,
        expect_continue: false,
        responding: None,
        max_response_bytes: MAX_MESSAGE_BYTES,
    };
    let response = actix_rt::time::timeout(time_limit, cx.control_pool.send(exchange))
        .await
        .map_err(|_| Failed::Other("no response in time".into()))?
        .map_err(|failure| Failed::Other(failure.to_string()))?;
    match response.status {
        StatusCode::OK => {
            codec::decode(&response.body).map_err(|failure| Failed::Other(failure.text))
        }
        StatusCode::CONFLICT => Err(Failed::NotCollecting),
        status => Err(Failed::Other(format!("status {}", status.as_u16()))),
    }
}

/// Handles a report of a node of this failure domain, or the sums of another one.
pub async fn serve(cx: &Sidecar, req: &mut Request) -> Response<BoxBody> {
    let mut payload = req.take_payload();
    let bodies = &cx.control_bodies;
    let read = http_server::read_body_within(&mut payload, MAX_MESSAGE_BYTES, bodies, BODY_TIMEOUT);
    let Ok((body, _held)) = read.await else {
        return http_server::empty(StatusCode::BAD_REQUEST);
    };
    let now = cx.clock.now();
    update(cx, now);
    let state = &mut *cx.quotas.state.borrow_mut();
    cx.quotas.changed.notify_one();
    match codec::decode::<UsageRequest>(&body) {
        // Nodes that took this one for the collector find the one that it reports to.
        Ok(UsageRequest::Report(_)) if reports_elsewhere(cx, state, now) => {
            http_server::empty(StatusCode::CONFLICT)
        }
        Ok(UsageRequest::Report(report)) => respond(&state.collector.on_report(now, &report)),
        Ok(UsageRequest::Exchange(usage)) => {
            if !state.collector.is_active(now) && !state.limiter.is_idle(now) {
                return http_server::empty(StatusCode::CONFLICT);
            }
            match state.collector.on_exchange(now, &usage) {
                Some(response) => respond(&response),
                // This node does not know the failure domain yet.
                None => http_server::empty(StatusCode::CONFLICT),
            }
        }
        Err(failure) => {
            info!(cx.log, "message of usage not readable"; "code" => failure.code.number(), "why" => failure.text);
            http_server::empty(StatusCode::BAD_REQUEST)
        }
    }
}

/// Whether this node has a collector, which is another node.
fn reports_elsewhere(cx: &Sidecar, state: &QuotaState, now: Duration) -> bool {
    let is_other = |node: &NodeId| *node != cx.settings.id;
    state.reports_to.as_ref().is_some_and(is_other) && state.limiter.has_recent_totals(now)
}

fn respond<T: Serialize>(message: &T) -> Response<BoxBody> {
    match codec::encode(message) {
        Ok(bytes) => Response::with_body(StatusCode::OK, BoxBody::new(bytes)),
        Err(_) => http_server::empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
