//! Latency that the mesh adds to a call: caller to backend server directly, against caller to entry
//! node to serving node to backend server.
//!
//! Entry nodes have no backend server of their own, so that each call takes both hops.

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

/// Service and host that are called.
const SERVICE: &str = "archive";
/// Largest latency that is recorded, microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Time limit of the start of the fleet.
const START_LIMIT: Duration = Duration::from_secs(30);
/// Calls before the first round, which open the connections.
const WARM_UP: Duration = Duration::from_secs(2);

/// Options of the measurement.
#[derive(Clone, Debug)]
pub struct LatencyOptions {
    /// The `sycamorewick` binary.
    pub binary: PathBuf,
    /// Pairs of an entry node and a serving node.
    pub pairs: usize,
    /// Calls per second of each entry node, and of each serving node.
    pub rates: Vec<f64>,
    /// Rounds for each rate; a round measures both ways.
    pub rounds: usize,
    /// Time of each way in a round.
    pub seconds: f64,
    /// Plot of the added latency by rate.
    pub plot: Option<PathBuf>,
}

/// Percentiles of one way in one round or over all rounds, microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50_us: f64,
    /// 99th percentile.
    pub p99_us: f64,
    /// 99.9th percentile.
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
    /// Calls per second of each entry node.
    pub rate_per_node: f64,
    /// Rounds.
    pub rounds: usize,
    /// Directly, all rounds together.
    pub direct: Percentiles,
    /// Through both nodes, all rounds together.
    pub mesh: Percentiles,
    /// Differences of the medians of each round.
    pub added_p50_us: Spread,
    /// Differences of the 99th percentiles of each round.
    pub added_p99_us: Spread,
    /// Differences of the 99.9th percentiles of each round.
    pub added_p999_us: Spread,
    /// Differences of the percentiles over all rounds together.
    pub added_pooled: Percentiles,
    /// Answered calls per second through the mesh.
    pub mesh_rate: Spread,
    /// Processor time of both nodes together for one call, microseconds, control included.
    pub node_cpu_us_per_call: f64,
    /// Time for which both nodes together were ready to run and waited for a processor, for one call,
    /// microseconds. If it is not small, the machine is too busy for the upper percentiles.
    pub node_waited_us_per_call: f64,
    /// 99th percentiles of the caller's own delay in each round, both ways. Percentiles of latencies
    /// below it say nothing of the mesh.
    pub late_p99_us: Spread,
    /// Calls that failed or got a wrong answer, both ways.
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
        let result = bench.rate(options, *rate).await?;
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
    // Dropped after the backend servers, whose nodes then still run.
    fleet: Fleet,
}

impl Bench {
    async fn start(options: &LatencyOptions) -> eyre::Result<Self> {
        ensure!(options.pairs > 0, "at least one pair of nodes is needed");
        let fleet = Fleet::start(FleetOptions::new(&options.binary, options.pairs * 2))?;
        let ready = fleet.wait_ready(START_LIMIT).await;
        ready.wrap_err_with(|| format!("last output of n1:\n{}", fleet.output_tail(0, 5)))?;
        let servers = (0..options.pairs)
            .map(|i| {
                let mut backend = BackendOptions::new(&format!("b{}", i + 1), SERVICE, "v1");
                // The fleet's rates need more than the usual 10 slots only if a call takes long.
                backend.slots = 100;
                fleet.start_backend(options.pairs + i, backend)
            })
            .collect::<eyre::Result<Vec<_>>>()?;
        let reply = fleet.publish(0, None, &document(fleet.options())?).await?;
        let version = reply.version();
        ensure!(
            reply.status.is_success() && version.is_some(),
            "publication: {} {}",
            reply.status,
            reply.body
        );
        fleet
            .wait_version(version.unwrap_or_default(), START_LIMIT)
            .await?;
        // One interval of announcements, so that the entry nodes know all backend servers.
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

    async fn rate(&self, options: &LatencyOptions, rate: f64) -> eyre::Result<RateResult> {
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
            self.call(mesh, rate, WARM_UP).await;
        }
        for round in 0..options.rounds {
            let mut found = [Percentiles::default(); 2];
            // The first way changes from round to round, so that a drift of the machine's speed
            // does not favour one of them.
            for mesh in [round % 2 == 1, round % 2 == 0] {
                let before = self.usage()?;
                let report = self.call(mesh, rate, duration).await;
                if mesh {
                    let after = self.usage()?;
                    used.cpu += after.cpu.saturating_sub(before.cpu);
                    used.waited += after.waited.saturating_sub(before.waited);
                    mesh_calls += report.sent;
                }
                let mut one = histogram()?;
                for sample in report.samples.iter().filter(|s| s.status == 200) {
                    one.saturating_record(sample.latency_us);
                }
                let way = usize::from(mesh);
                pooled[way].add(&one)?;
                found[way] = Percentiles::of(&one);
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
                    percentiles: found[way],
                })?;
            }
            added.push(found[1].minus(found[0]));
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

    /// Sums the usage of all nodes.
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
    let three = |p: &Percentiles| format!("{:.0}/{:.0}/{:.0}", p.p50_us, p.p99_us, p.p999_us);
    let spread = |s: &Spread| format!("{:.0} ({:.0}..{:.0})", s.median, s.min, s.max);
    for r in results {
        table.row(vec![
            format!("{:.0}", r.rate_per_node),
            three(&r.direct),
            three(&r.mesh),
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
