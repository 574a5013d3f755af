//! Measures the latency that the mesh adds to a call. It compares direct calls from the caller to
//! the backend server with calls through an entry node and a serving node.
//!
//! Entry nodes have no backend servers of their own, so that each call takes both hops.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use eyre::WrapErr;
use eyre::ensure;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::json;
use sycamorewick::protocol::document::Document;

use crate::backend_server::BackendHandle;
use crate::backend_server::BackendOptions;
use crate::caller;
use crate::caller::CallerOptions;
use crate::caller::CallerReport;
use crate::fleet::Fleet;
use crate::fleet::FleetOptions;
use crate::fleet::NodeProcess;
use crate::measure::Spread;
use crate::measure::plot;
use crate::measure::print_json;
use crate::measure::process_usage::ProcessUsage;
use crate::measure::table::Table;

/// Name of the called service, also used as host.
const SERVICE: &str = "archive";
/// Largest latency that is recorded, microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Timeout of the fleet start.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time of calls before the first round, which open the connections.
const WARM_UP_TIME: Duration = Duration::from_secs(2);

/// Options of the measurement.
#[derive(Clone, Debug)]
pub struct LatencyOptions {
    /// The `sycamorewick` binary.
    pub binary: PathBuf,
    /// Pairs of an entry node and a serving node.
    pub pairs: usize,
    /// Calls per second to each entry node, and thereby to each serving node.
    pub rates: Vec<f64>,
    /// Rounds for each rate; a round measures direct calls and calls through the mesh.
    pub rounds: usize,
    /// Duration of each of the two runs in a round, seconds.
    pub seconds: f64,
    /// File for a plot of the added latency by rate.
    pub plot: Option<PathBuf>,
}

/// Latency percentiles of the direct calls or the calls through the mesh, in one round or over all
/// rounds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Median, microseconds.
    pub p50_us: f64,
    /// 99th percentile, microseconds.
    pub p99_us: f64,
    /// 99.9th percentile, microseconds.
    pub p999_us: f64,
}

impl Percentiles {
    #[allow(clippy::cast_precision_loss)]
    fn of(histogram: &Histogram<u64>) -> Self {
        let at = |q| histogram.value_at_quantile(q) as f64;
        Self {
            p50_us: at(0.5),
            p99_us: at(0.99),
            p999_us: at(0.999),
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            p50_us: self.p50_us - other.p50_us,
            p99_us: self.p99_us - other.p99_us,
            p999_us: self.p999_us - other.p999_us,
        }
    }
}

#[derive(Clone, Debug, Serialize)]
struct RoundResult {
    measure: &'static str,
    rate_per_node: f64,
    round: usize,
    way: &'static str,
    calls: u64,
    ok: u64,
    wrong: u64,
    rate: f64,
    late_p99_us: u64,
    #[serde(flatten)]
    percentiles: Percentiles,
}

/// Result for one rate.
#[derive(Clone, Debug, Serialize)]
pub struct RateResult {
    measure: &'static str,
    /// Calls per second to each entry node.
    pub rate_per_node: f64,
    /// Number of rounds.
    pub rounds: usize,
    /// Latency of direct calls over all rounds.
    pub direct: Percentiles,
    /// Latency of calls through both nodes over all rounds.
    pub mesh: Percentiles,
    /// Added latency by round: difference of the medians, microseconds.
    pub added_p50_us: Spread,
    /// Added latency by round: difference of the 99th percentiles, microseconds.
    pub added_p99_us: Spread,
    /// Added latency by round: difference of the 99.9th percentiles, microseconds.
    pub added_p999_us: Spread,
    /// Added latency over all rounds: differences of the percentiles.
    pub added_pooled: Percentiles,
    /// Calls per second through the mesh with a response of status 200.
    pub mesh_rate: Spread,
    /// Processor time of both nodes together per call, including control traffic, microseconds.
    pub node_cpu_us_per_call: f64,
    /// Time per call for which the threads of both nodes were ready to run and waited for a
    /// processor, microseconds. A large value means that the machine is too busy for valid upper
    /// percentiles.
    pub node_waited_us_per_call: f64,
    /// 99th percentiles by round of the caller's own send delay, for direct calls and calls through
    /// the mesh. Latency percentiles below this value say nothing about the mesh.
    pub late_p99_us: Spread,
    /// Calls that failed or got a wrong response, directly and through the mesh.
    pub failed: u64,
}

/// Runs the measurement.
///
/// # Errors
/// Returns an error if the fleet does not start or the document is refused.
pub async fn run(options: &LatencyOptions) -> eyre::Result<Vec<RateResult>> {
    let bench = Bench::start(options).await?;
    let mut results = Vec::new();
    for rate in &options.rates {
        let result = bench.measure_rate(options, *rate).await?;
        print_json(&result)?;
        results.push(result);
    }
    print_table(&results);
    if let Some(file) = &options.plot {
        write_plot(file, &results)?;
    }
    Ok(results)
}

struct Bench {
    entries: Vec<SocketAddr>,
    servers: Vec<BackendHandle>,
    // Dropped after the backend servers, so that the nodes still run while these stop.
    fleet: Fleet,
}

impl Bench {
    async fn start(options: &LatencyOptions) -> eyre::Result<Self> {
        ensure!(options.pairs > 0, "at least one pair of nodes is required");
        let fleet = Fleet::start(FleetOptions::new(&options.binary, options.pairs * 2))?;
        let ready = fleet.wait_ready(START_TIMEOUT).await;
        ready.wrap_err_with(|| format!("last output of n1:\n{}", fleet.output_tail(0, 5)))?;
        let servers = (0..options.pairs)
            .map(|i| {
                let mut backend = BackendOptions::new(&format!("b{}", i + 1), SERVICE, "v1");
                // The measured rates occupy more than the usual 10 slots only if a call takes long.
                backend.slots = 100;
                fleet.start_backend(options.pairs + i, backend)
            })
            .collect::<eyre::Result<Vec<_>>>()?;
        let reply = fleet.publish(0, None, &document(fleet.options())?).await?;
        let version = reply.version();
        ensure!(
            reply.status.is_success() && version.is_some(),
            "the publication got status {}: {}",
            reply.status,
            reply.body
        );
        fleet
            .wait_version(version.unwrap_or_default(), START_TIMEOUT)
            .await?;
        // Longer than one announcement interval, so that the entry nodes know all backend servers.
        actix_rt::time::sleep(Duration::from_secs(2)).await;
        let entries = fleet.nodes()[..options.pairs]
            .iter()
            .map(|node| node.request_addr)
            .collect();
        Ok(Self {
            entries,
            servers,
            fleet,
        })
    }

    async fn call(&self, mesh: bool, rate: f64, duration: Duration) -> CallerReport {
        let targets = if mesh {
            self.entries.clone()
        } else {
            self.servers.iter().map(BackendHandle::addr).collect()
        };
        let pairs = u32::try_from(targets.len()).unwrap_or(u32::MAX);
        let mut options = CallerOptions::new(targets, rate * f64::from(pairs), duration);
        options.host = Some(SERVICE.into());
        options.path = "/sheets/1".into();
        options.keep_samples = true;
        caller::run(options).await
    }

    async fn measure_rate(&self, options: &LatencyOptions, rate: f64) -> eyre::Result<RateResult> {
        let duration = Duration::try_from_secs_f64(options.seconds)?;
        let histogram = || Histogram::<u64>::new_with_max(MAX_LATENCY_US, 3);
        let mut pooled = [histogram()?, histogram()?];
        let mut added: Vec<Percentiles> = Vec::new();
        let mut mesh_rates = Vec::new();
        let mut late = Vec::new();
        let mut failed = 0;
        let mut used = ProcessUsage::default();
        let mut mesh_calls = 0;
        for mesh in [false, true] {
            self.call(mesh, rate, WARM_UP_TIME).await;
        }
        for round in 0..options.rounds {
            let mut round_percentiles = [Percentiles::default(); 2];
            // The order of direct calls and calls through the mesh alternates, so that a drift of
            // the machine's speed favours neither of them.
            for mesh in [round % 2 == 1, round % 2 == 0] {
                let before = self.usage()?;
                let report = self.call(mesh, rate, duration).await;
                if mesh {
                    let after = self.usage()?;
                    used.cpu += after.cpu.saturating_sub(before.cpu);
                    used.waited += after.waited.saturating_sub(before.waited);
                    mesh_calls += report.sent;
                }
                let mut latencies = histogram()?;
                for sample in report.samples.iter().filter(|s| s.status == 200) {
                    latencies.saturating_record(sample.latency_us);
                }
                let way = usize::from(mesh);
                pooled[way].add(&latencies)?;
                round_percentiles[way] = Percentiles::of(&latencies);
                let ok = report.with_status(200);
                let wrong = report.mismatched + report.malformed;
                failed += report.sent + report.not_sent - ok + wrong;
                late.push(f64::from(
                    u32::try_from(report.late_p99_us).unwrap_or(u32::MAX),
                ));
                if mesh {
                    mesh_rates.push(report.rate);
                }
                print_json(&RoundResult {
                    measure: "latency-round",
                    rate_per_node: rate,
                    round,
                    way: if mesh { "mesh" } else { "direct" },
                    calls: report.sent,
                    ok,
                    wrong,
                    rate: report.rate,
                    late_p99_us: report.late_p99_us,
                    percentiles: round_percentiles[way],
                })?;
            }
            added.push(round_percentiles[1].minus(round_percentiles[0]));
        }
        let spread = |value: fn(&Percentiles) -> f64| {
            Spread::of(&added.iter().map(value).collect::<Vec<f64>>())
        };
        let direct = Percentiles::of(&pooled[0]);
        let mesh = Percentiles::of(&pooled[1]);
        Ok(RateResult {
            measure: "latency",
            rate_per_node: rate,
            rounds: options.rounds,
            direct,
            mesh,
            added_p50_us: spread(|p| p.p50_us),
            added_p99_us: spread(|p| p.p99_us),
            added_p999_us: spread(|p| p.p999_us),
            added_pooled: mesh.minus(direct),
            mesh_rate: Spread::of(&mesh_rates),
            node_cpu_us_per_call: per_call_us(used.cpu, mesh_calls),
            node_waited_us_per_call: per_call_us(used.waited, mesh_calls),
            late_p99_us: Spread::of(&late),
            failed,
        })
    }

    /// Returns the total usage of all nodes.
    fn usage(&self) -> eyre::Result<ProcessUsage> {
        let mut sum = ProcessUsage::default();
        for pid in self.fleet.nodes().iter().filter_map(NodeProcess::pid) {
            let usage = ProcessUsage::read(pid)?;
            sum.cpu += usage.cpu;
            sum.waited += usage.waited;
        }
        Ok(sum)
    }
}

#[allow(clippy::cast_precision_loss)]
fn per_call_us(time: Duration, calls: u64) -> f64 {
    time.as_secs_f64() * 1e6 / calls.max(1) as f64
}

fn document(fleet: &FleetOptions) -> eyre::Result<Document> {
    let document = json!({
        "regions": fleet.regions_json(),
        "services": [{
            "name": SERVICE,
            "versions": [{ "name": "v1", "share": 100 }],
        }],
        "routes": [{
            "name": SERVICE,
            "host": SERVICE,
            "path_prefix": "/",
            "service": SERVICE,
            "idempotent": true,
        }],
    });
    Ok(serde_json::from_value(document)?)
}

fn print_table(results: &[RateResult]) {
    let mut table = Table::new(&[
        "calls/s/node",
        "direct p50/p99/p99.9 us",
        "mesh p50/p99/p99.9 us",
        "added p50 us (min..max)",
        "added p99 us (min..max)",
        "added p99.9 us",
        "pooled p99 us",
        "calls/s",
        "CPU us/call",
        "waited us/call",
        "caller late p99 us",
        "failed",
    ]);
    let percentiles = |p: &Percentiles| format!("{:.0}/{:.0}/{:.0}", p.p50_us, p.p99_us, p.p999_us);
    let spread = |s: &Spread| format!("{:.0} ({:.0}..{:.0})", s.median, s.min, s.max);
    for r in results {
        table.row(vec![
            format!("{:.0}", r.rate_per_node),
            percentiles(&r.direct),
            percentiles(&r.mesh),
            spread(&r.added_p50_us),
            spread(&r.added_p99_us),
            spread(&r.added_p999_us),
            format!("{:.0}", r.added_pooled.p99_us),
            format!("{:.1}", r.mesh_rate.median),
            format!("{:.0}", r.node_cpu_us_per_call),
            format!("{:.0}", r.node_waited_us_per_call),
            spread(&r.late_p99_us),
            r.failed.to_string(),
        ]);
    }
    println!("{table}");
}

fn write_plot(file: &std::path::Path, results: &[RateResult]) -> eyre::Result<()> {
    let line = |name: &str, value: fn(&RateResult) -> f64| plot::Line {
        name: name.into(),
        points: results
            .iter()
            .map(|r| (r.rate_per_node, value(r)))
            .collect(),
    };
    plot::write(
        file,
        "Latency added by both hops",
        "calls per second and node",
        "microseconds",
        &[
            line("p50, median of rounds", |r| r.added_p50_us.median),
            line("p99, median of rounds", |r| r.added_p99_us.median),
            line("p99, all rounds", |r| r.added_pooled.p99_us),
        ],
    )
}
