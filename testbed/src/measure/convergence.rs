//! Measures, by fleet size, the time from a publication until its version is in force on the last
//! node, and the cost of control traffic for a node. The baseline is a fleet in which every node
//! reads the log itself.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use actix_http::Method;
use awc::Client;
use bytes::Bytes;
use eyre::WrapErr;
use eyre::ensure;
use futures_util::StreamExt;
use futures_util::stream;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use sycamorewick::protocol::codec;
use sycamorewick::protocol::document::Document;
use sycamorewick::protocol::name::ConfigVersion;
use sycamorewick::protocol::record::CONFIG_STREAM;
use sycamorewick::protocol::record::ConfigRecord;
use sycamorewick::protocol::record::Publish;
use sycamorewick::protocol::time::WallMs;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;
use tokio::sync::Notify;
use uuid::Uuid;

use crate::fleet::Fleet;
use crate::fleet::FleetOptions;
use crate::fleet::Metrics;
use crate::log_server::LogCounters;
use crate::log_server::LogServer;
use crate::measure::Spread;
use crate::measure::plot;
use crate::measure::print_json;
use crate::measure::process_usage::ProcessUsage;
use crate::measure::table::Table;
use crate::measure::to_f64;

/// Configuration changes per day at target size, see `docs/design.md`, section 2.4.
const CHANGES_PER_DAY: f64 = 1_100.0;
/// Seconds per day.
const DAY_S: f64 = 86_400.0;
/// Timeout of a fleet start and of a convergence.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_mins(1);
/// Time after a start for joins and state exchanges to finish before the idle cost is measured.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Interval of the requests whether a version is in force everywhere; the same as that of the
/// `publish` command.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(100);
/// Concurrent reads of metrics.
const MAX_CONCURRENT_READS: usize = 16;
/// Longest wait of a long poll of the baseline.
const POLL_WAIT: Duration = Duration::from_secs(30);
/// Timeout of the delivery of a record to the pollers of the baseline, including their connection
/// setup.
const POLL_DELIVERY_TIMEOUT: Duration = Duration::from_secs(5);

/// Options of the measurement.
#[derive(Clone, Debug)]
pub struct ConvergenceOptions {
    /// The `sycamorewick` binary.
    pub binary: PathBuf,
    /// Numbers of nodes of the fleets.
    pub sizes: Vec<usize>,
    /// Number of services in the document.
    pub services: usize,
    /// Number of publications in each fleet.
    pub publishes: usize,
    /// Interval between publications, seconds.
    pub publish_interval_s: f64,
    /// Time over which the idle cost is measured, seconds.
    pub idle_s: f64,
    /// File for a plot of the convergence times by fleet size.
    pub plot: Option<PathBuf>,
}

/// Bytes of control traffic of a node, averaged over the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ControlBytes {
    /// Gossip sent.
    pub gossip_sent: f64,
    /// Gossip received.
    pub gossip_received: f64,
    /// Exchanged configuration and state over HTTP.
    pub exchange: f64,
    /// Read from the log.
    pub log: f64,
}

impl ControlBytes {
    /// Reads the counters from the metrics of a node; their names are part of its operator
    /// interface.
    fn of(metrics: &Metrics) -> Self {
        Self {
            gossip_sent: metrics.get("sycamorewick_gossip_sent_bytes_total"),
            gossip_received: metrics.get("sycamorewick_gossip_received_bytes_total"),
            exchange: metrics.get("sycamorewick_exchange_bytes_total"),
            log: metrics.get("sycamorewick_log_bytes_total"),
        }
    }

    fn combine(self, other: Self, f: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            gossip_sent: f(self.gossip_sent, other.gossip_sent),
            gossip_received: f(self.gossip_received, other.gossip_received),
            exchange: f(self.exchange, other.exchange),
            log: f(self.log, other.log),
        }
    }

    fn scaled(self, factor: f64) -> Self {
        self.combine(Self::default(), |a, _| a * factor)
    }

    /// Sum of all kinds.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.gossip_sent + self.gossip_received + self.exchange + self.log
    }
}

/// Result for one fleet size.
#[derive(Clone, Debug, Serialize)]
pub struct SizeResult {
    measure: &'static str,
    /// Number of nodes.
    pub nodes: usize,
    /// Size of the document as JSON, bytes.
    pub document_bytes: usize,
    /// Time from the start of the first process until all nodes are ready, ms.
    pub start_ms: f64,
    /// Time from the publish request to its response, ms.
    pub accepted_ms: Spread,
    /// Time from the publish request until the version is in force on the median node, ms. It is
    /// read from the log lines of the nodes, because polling all nodes would slow them down.
    pub median_node_ms: Spread,
    /// Time from the publish request until the version is in force on the last node, ms.
    pub last_node_ms: Spread,
    /// Time from the publish request until the node that served it reports that the version is in
    /// force everywhere, ms.
    pub confirmed_ms: Spread,
    /// Control bytes per node and second without publications.
    pub idle_bytes_per_s: ControlBytes,
    /// Control bytes per node for one publication, without the idle traffic.
    pub bytes_per_publish: ControlBytes,
    /// Control bytes per node and second with 1,100 changes per day: the idle traffic plus the
    /// bytes of one publication times 1,100 / 86,400 s.
    pub bytes_per_s_at_target: f64,
    /// Processor time of a node while idle, percent of a core: median and range over the nodes.
    pub idle_cpu_percent: Spread,
    /// Resident memory of a node, MiB: median and range over the nodes.
    pub rss_mib: Spread,
    /// Duration of a mass restart, ms: all nodes were killed; the time runs from their start until
    /// all of them are ready and have the last version in force.
    pub herd_ms: f64,
    /// Control bytes per node during the mass restart.
    pub herd_bytes: ControlBytes,
    /// Requests to the log during the mass restart.
    pub herd_log_requests: u64,
    /// Result of the baseline.
    pub baseline: BaselineResult,
}

/// Result of the baseline for one fleet size: every node reads the log by long polling.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct BaselineResult {
    /// Time from the append until the last poller has received the record, ms.
    pub last_poller_ms: Spread,
    /// Bytes per node and second without publications, with back-to-back polls of 30 s.
    pub idle_bytes_per_s: f64,
    /// Bytes per node for one publication.
    pub bytes_per_publish: f64,
    /// Bytes per node and second with 1,100 changes per day.
    pub bytes_per_s_at_target: f64,
}

/// Runs the measurement.
///
/// # Errors
/// Returns an error if a fleet does not start or a publication does not converge in time.
pub async fn run(options: &ConvergenceOptions) -> eyre::Result<Vec<SizeResult>> {
    let mut results = Vec::new();
    for size in &options.sizes {
        let result = measure_size(options, *size)
            .await
            .wrap_err_with(|| format!("fleet of {size} nodes"))?;
        print_json(&result)?;
        results.push(result);
    }
    print_table(&results);
    if let Some(file) = &options.plot {
        write_plot(file, &results)?;
    }
    Ok(results)
}

#[allow(clippy::cast_precision_loss)]
async fn measure_size(options: &ConvergenceOptions, size: usize) -> eyre::Result<SizeResult> {
    let mut fleet_options = FleetOptions::new(&options.binary, size);
    // Nodes log the installation of a version at this level.
    fleet_options.log_level = "info".into();
    let begun = Instant::now();
    let mut fleet = Fleet::start(fleet_options)?;
    let ready = fleet.wait_ready(CONVERGENCE_TIMEOUT).await;
    ready.wrap_err_with(|| format!("last output of n1:\n{}", fleet.output_tail(0, 5)))?;
    let start_ms = ms(begun.elapsed());

    let first = document(fleet.options(), options.services, 0)?;
    publish(&fleet, 0, &first).await?;
    actix_rt::time::sleep(SETTLE_TIME).await;

    let (idle_bytes_per_s, idle_cpu_percent) = idle(&fleet, options.idle_s).await?;
    let published = publishes(options, &fleet).await?;
    let beyond_idle = published
        .bytes
        .combine(idle_bytes_per_s.scaled(published.seconds), |a, b| a - b);
    let bytes_per_publish = beyond_idle.scaled(1.0 / options.publishes.max(1) as f64);
    let rss: Vec<f64> = usages(&fleet)?
        .iter()
        .map(|u| u.rss_kib as f64 / 1_024.0)
        .collect();

    let log_before = fleet.log().report().counters;
    for index in 0..size {
        fleet.kill_node(index)?;
    }
    let begun = Instant::now();
    for index in 0..size {
        fleet.start_node(index)?;
    }
    fleet.wait_ready(CONVERGENCE_TIMEOUT).await?;
    fleet
        .wait_version(published.version, CONVERGENCE_TIMEOUT)
        .await?;
    let herd_ms = ms(begun.elapsed());
    // The counters of the restarted processes started at zero.
    let herd_bytes = mean_bytes(&metrics(&fleet).await?);
    let herd_log_requests =
        log_requests(&fleet.log().report().counters) - log_requests(&log_before);
    let document_bytes = serde_json::to_vec(&first)?.len();
    drop(fleet);

    let baseline = baseline(options, size, &first).await?;
    Ok(SizeResult {
        measure: "convergence",
        nodes: size,
        document_bytes,
        start_ms,
        accepted_ms: Spread::of(&published.accepted_ms),
        median_node_ms: Spread::of(&published.median_node_ms),
        last_node_ms: Spread::of(&published.last_node_ms),
        confirmed_ms: Spread::of(&published.confirmed_ms),
        idle_bytes_per_s,
        bytes_per_publish,
        bytes_per_s_at_target: at_target(idle_bytes_per_s.total(), bytes_per_publish.total()),
        idle_cpu_percent,
        rss_mib: Spread::of(&rss),
        herd_ms,
        herd_bytes,
        herd_log_requests,
        baseline,
    })
}

fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

fn at_target(idle_per_s: f64, per_publish: f64) -> f64 {
    idle_per_s + per_publish * CHANGES_PER_DAY / DAY_S
}

fn log_requests(counters: &LogCounters) -> u64 {
    [
        counters.append,
        counters.read,
        counters.bounds,
        counters.refused,
    ]
    .iter()
    .map(|kind| kind.requests)
    .sum()
}

/// Returns a document with one route for each service, as at the target size. Each revision changes
/// one service.
fn document(fleet: &FleetOptions, services: usize, revision: usize) -> eyre::Result<Document> {
    let names: Vec<String> = (0..services.max(1))
        .map(|i| format!("service-{i}"))
        .collect();
    let changed = revision % names.len();
    let services: Vec<Value> = names
        .iter()
        .enumerate()
        .map(|(index, name)| {
            let share = if index == changed { revision % 100 } else { 0 };
            json!({
                "name": name,
                "versions": [
                    { "name": "v1", "share": 100 - share },
                    { "name": "v2", "share": share },
                ],
            })
        })
        .collect();
    let routes: Vec<Value> = names
        .iter()
        .map(|name| {
            json!({
                "name": name,
                "host": name,
                "path_prefix": "/",
                "service": name,
                "idempotent": true,
            })
        })
        .collect();
    let document = json!({
        "regions": fleet.regions_json(),
        "services": services,
        "routes": routes,
    });
    Ok(serde_json::from_value(document)?)
}

async fn publish(fleet: &Fleet, through: usize, document: &Document) -> eyre::Result<(u64, f64)> {
    let reply = fleet.publish(through, None, document).await?;
    let version = reply.version();
    ensure!(
        reply.status.is_success() && version.is_some(),
        "the publication got status {}: {}",
        reply.status,
        reply.body
    );
    Ok((version.unwrap_or_default(), ms(reply.took)))
}

fn usages(fleet: &Fleet) -> eyre::Result<Vec<ProcessUsage>> {
    fleet
        .nodes()
        .iter()
        .filter_map(crate::fleet::NodeProcess::pid)
        .map(ProcessUsage::read)
        .collect()
}

async fn metrics(fleet: &Fleet) -> eyre::Result<Vec<Metrics>> {
    let reads = (0..fleet.nodes().len()).map(|index| fleet.metrics(index));
    let results: Vec<eyre::Result<Metrics>> = stream::iter(reads)
        .buffered(MAX_CONCURRENT_READS)
        .collect()
        .await;
    results.into_iter().collect()
}

#[allow(clippy::cast_precision_loss)]
fn mean_bytes(metrics: &[Metrics]) -> ControlBytes {
    let sum = metrics
        .iter()
        .map(ControlBytes::of)
        .fold(ControlBytes::default(), |a, b| a.combine(b, |x, y| x + y));
    sum.scaled(1.0 / metrics.len().max(1) as f64)
}

async fn idle(fleet: &Fleet, seconds: f64) -> eyre::Result<(ControlBytes, Spread)> {
    let before = mean_bytes(&metrics(fleet).await?);
    // Reading the metrics takes processor time of the nodes, so it stays outside the interval.
    let usage_before = usages(fleet)?;
    let begun = Instant::now();
    actix_rt::time::sleep(Duration::try_from_secs_f64(seconds)?).await;
    let usage_after = usages(fleet)?;
    let elapsed = begun.elapsed().as_secs_f64();
    let after = mean_bytes(&metrics(fleet).await?);
    let cpu: Vec<f64> = usage_after
        .iter()
        .zip(&usage_before)
        .map(|(a, b)| a.cpu.saturating_sub(b.cpu).as_secs_f64() / elapsed * 100.0)
        .collect();
    let bytes = after.combine(before, |a, b| a - b).scaled(1.0 / elapsed);
    Ok((bytes, Spread::of(&cpu)))
}

#[derive(Debug, Default)]
struct PublishMeasurements {
    version: u64,
    accepted_ms: Vec<f64>,
    median_node_ms: Vec<f64>,
    last_node_ms: Vec<f64>,
    confirmed_ms: Vec<f64>,
    bytes: ControlBytes,
    seconds: f64,
}

async fn publishes(
    options: &ConvergenceOptions,
    fleet: &Fleet,
) -> eyre::Result<PublishMeasurements> {
    let mut measured = PublishMeasurements::default();
    let bytes_before = mean_bytes(&metrics(fleet).await?);
    let begun = Instant::now();
    for revision in 1..=options.publishes {
        let next = begun
            + Duration::try_from_secs_f64(options.publish_interval_s)?.mul_f64(to_f64(revision));
        let document = document(fleet.options(), options.services, revision)?;
        // Changes the publishing node each time, because it has the version before the others.
        let through = revision * 7 % fleet.nodes().len();
        let sent = Instant::now();
        let sent_wall = OffsetDateTime::now_utc();
        let (version, accepted) = publish(fleet, through, &document).await?;
        confirm(fleet, through, version).await?;
        measured.confirmed_ms.push(ms(sent.elapsed()));
        let times = in_force_times(fleet, version, sent_wall).await?;
        let times = Spread::of(&times);
        measured.accepted_ms.push(accepted);
        measured.median_node_ms.push(times.median);
        measured.last_node_ms.push(times.max);
        measured.version = version;
        actix_rt::time::sleep(next.saturating_duration_since(Instant::now())).await;
    }
    let after = metrics(fleet).await?;
    measured.seconds = begun.elapsed().as_secs_f64();
    measured.bytes = mean_bytes(&after).combine(bytes_before, |a, b| a - b);
    Ok(measured)
}

/// Returns for each node the time from `sent` until the version was in force, ms. Waits for the log
/// lines of the nodes, which are written asynchronously.
async fn in_force_times(
    fleet: &Fleet,
    version: u64,
    sent: OffsetDateTime,
) -> eyre::Result<Vec<f64>> {
    let until = Instant::now() + CONVERGENCE_TIMEOUT;
    loop {
        let times: Vec<f64> = (0..fleet.nodes().len())
            .filter_map(|index| in_force_at(&fleet.log_lines(index), version))
            .map(|at| (at - sent).as_seconds_f64() * 1e3)
            .collect();
        if times.len() == fleet.nodes().len() {
            return Ok(times);
        }
        ensure!(
            Instant::now() < until,
            "only {} of {} nodes logged version {version} within {CONVERGENCE_TIMEOUT:?}",
            times.len(),
            fleet.nodes().len()
        );
        actix_rt::time::sleep(CONFIRM_INTERVAL).await;
    }
}

/// Returns when a node put this version or a later one in force.
fn in_force_at(lines: &[Value], version: u64) -> Option<OffsetDateTime> {
    let line = lines.iter().find(|line| {
        line["msg"] == "configuration in force"
            && line["version"].as_u64().is_some_and(|v| v >= version)
    })?;
    OffsetDateTime::parse(line["ts"].as_str()?, &Rfc3339).ok()
}

/// Waits until the node that served the publication reports that the version is in force
/// everywhere.
async fn confirm(fleet: &Fleet, through: usize, version: u64) -> eyre::Result<()> {
    let path = format!("/v1/convergence?version={version}");
    let until = Instant::now() + CONVERGENCE_TIMEOUT;
    loop {
        let (_, body) = fleet.operator(through, Method::GET, &path, None).await?;
        let state: Value = serde_json::from_slice(&body)?;
        if state["everywhere"] == true {
            return Ok(());
        }
        ensure!(
            Instant::now() < until,
            "not confirmed within {CONVERGENCE_TIMEOUT:?}: {state}"
        );
        actix_rt::time::sleep(CONFIRM_INTERVAL).await;
    }
}

/// Shared state of the pollers of the baseline.
#[derive(Default)]
struct Pollers {
    /// Number of records that the pollers have received in total.
    received: std::cell::Cell<usize>,
    arrived: Notify,
}

#[allow(clippy::cast_precision_loss)]
async fn baseline(
    options: &ConvergenceOptions,
    size: usize,
    document: &Document,
) -> eyre::Result<BaselineResult> {
    let log = LogServer::start(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let pollers = Rc::new(Pollers::default());
    let tasks: Vec<_> = (0..size)
        .map(|_| actix_rt::spawn(poll(log.addr(), Rc::clone(&pollers))))
        .collect();
    let record = codec::encode(&ConfigRecord::Publish(Publish {
        publish_id: Uuid::now_v7(),
        base: ConfigVersion::NONE,
        author: "testbed".into(),
        at: WallMs::default(),
        document: document.clone(),
    }))
    .map_err(|e| eyre::eyre!("{e}"))?;
    let record = Bytes::from(record);
    // The first record only ensures that all pollers are connected.
    append(&log, &pollers, size, &record).await?;
    let read_before = log.report().counters.read;
    let mut times = Vec::new();
    for publish in 1..=options.publishes {
        times.push(append(&log, &pollers, size * (publish + 1), &record).await?);
    }
    // The log counts a response before it sends it, so all received responses are counted here.
    let read_after = log.report().counters.read;
    for task in tasks {
        task.abort();
    }
    let bytes = (read_after.bytes_in - read_before.bytes_in)
        + (read_after.bytes_out - read_before.bytes_out);
    let per_publish = bytes as f64 / (size * options.publishes).max(1) as f64;
    // The size of an empty poll is that of a poll with one record, less the size of the record.
    let polls = read_after.requests - read_before.requests;
    let per_poll = bytes as f64 / polls.max(1) as f64 - record.len() as f64;
    let idle_bytes_per_s = per_poll.max(0.0) / POLL_WAIT.as_secs_f64();
    Ok(BaselineResult {
        last_poller_ms: Spread::of(&times),
        idle_bytes_per_s,
        bytes_per_publish: per_publish,
        bytes_per_s_at_target: at_target(idle_bytes_per_s, per_publish),
    })
}

/// Appends a record and waits until the pollers have received `expected` records in total. Returns
/// the time that this took, ms.
async fn append(
    log: &crate::log_server::LogHandle,
    pollers: &Pollers,
    expected: usize,
    record: &Bytes,
) -> eyre::Result<f64> {
    let begun = Instant::now();
    log.append(CONFIG_STREAM, record.clone());
    let all = async {
        while pollers.received.get() < expected {
            pollers.arrived.notified().await;
        }
    };
    actix_rt::time::timeout(POLL_DELIVERY_TIMEOUT, all)
        .await
        .wrap_err("the pollers of the baseline did not receive the record in time")?;
    Ok(ms(begun.elapsed()))
}

async fn poll(log: SocketAddr, pollers: Rc<Pollers>) {
    let client = Client::builder()
        .timeout(POLL_WAIT + POLL_DELIVERY_TIMEOUT)
        .no_default_headers()
        .finish();
    let mut from: u64 = 0;
    loop {
        let url = format!(
            "http://{log}/streams/{CONFIG_STREAM}?from={from}&max=16&wait_ms={}",
            POLL_WAIT.as_millis()
        );
        let Ok(mut res) = client.get(url).send().await else {
            return;
        };
        let Ok(body) = res.body().limit(codec::MAX_MESSAGE_BYTES).await else {
            return;
        };
        let Ok(records) = codec::decode::<Vec<(u64, Vec<u8>)>>(&body) else {
            return;
        };
        if let Some((offset, _)) = records.last() {
            from = offset + 1;
            pollers.received.set(pollers.received.get() + records.len());
            pollers.arrived.notify_one();
        }
    }
}

fn print_table(results: &[SizeResult]) {
    let mut table = Table::new(&[
        "nodes",
        "accepted ms",
        "median node ms",
        "last node ms (min..max)",
        "confirmed ms",
        "polled baseline ms",
        "idle B/s/node",
        "B/publish/node",
        "B/s/node at target",
        "baseline B/s/node",
        "idle CPU % (max)",
        "RSS MiB (max)",
        "herd ms",
        "herd log requests",
    ]);
    let spread = |s: &Spread| format!("{:.0} ({:.0}..{:.0})", s.median, s.min, s.max);
    for r in results {
        table.row(vec![
            r.nodes.to_string(),
            format!("{:.0}", r.accepted_ms.median),
            format!("{:.0}", r.median_node_ms.median),
            spread(&r.last_node_ms),
            format!("{:.0}", r.confirmed_ms.median),
            spread(&r.baseline.last_poller_ms),
            format!("{:.0}", r.idle_bytes_per_s.total()),
            format!("{:.0}", r.bytes_per_publish.total()),
            format!("{:.0}", r.bytes_per_s_at_target),
            format!("{:.0}", r.baseline.bytes_per_s_at_target),
            format!(
                "{:.2} ({:.2})",
                r.idle_cpu_percent.median, r.idle_cpu_percent.max
            ),
            format!("{:.1} ({:.1})", r.rss_mib.median, r.rss_mib.max),
            format!("{:.0}", r.herd_ms),
            r.herd_log_requests.to_string(),
        ]);
    }
    println!("{table}");
}

fn write_plot(file: &Path, results: &[SizeResult]) -> eyre::Result<()> {
    let line = |name: &str, value: fn(&SizeResult) -> f64| plot::Line {
        name: name.into(),
        points: results
            .iter()
            .map(|r| (to_f64(r.nodes), value(r)))
            .collect(),
    };
    plot::write(
        file,
        "Publication to in force on the last node",
        "nodes",
        "milliseconds",
        &[
            line("in force on the last node", |r| r.last_node_ms.median),
            line("in force on the median node", |r| r.median_node_ms.median),
            line("confirmed by the publishing node", |r| {
                r.confirmed_ms.median
            }),
            line("baseline: each node polls the log", |r| {
                r.baseline.last_poller_ms.median
            }),
        ],
    )
}
