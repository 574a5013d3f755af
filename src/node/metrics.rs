//! Metrics of a node, exported on the operator port. See `docs/operators.md`.

use std::cell::Cell;
use std::time::Duration;

use metrics::Counter;
use metrics::Gauge;
use metrics::Histogram;
use metrics::counter;
use metrics::gauge;
use metrics::histogram;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

/// Interval at which observations are summed up. A node with 2,000 requests a second keeps some 100 kB of
/// them until then.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(2);

/// A counter whose value the node itself can read.
pub struct ReadableCounter {
    counter: Counter,
    value: Cell<u64>,
}

impl ReadableCounter {
    /// Adds `by` to the counter.
    pub fn increment(&self, by: u64) {
        self.counter.increment(by);
        self.value.set(self.value.get() + by);
    }

    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.value.get()
    }
}

macro_rules! readable {
    ($name:literal) => {
        ReadableCounter {
            counter: counter!($name),
            value: Cell::new(0),
        }
    };
}

macro_rules! handle {
    (counter) => {
        Counter
    };
    (readable) => {
        ReadableCounter
    };
    (gauge) => {
        Gauge
    };
    (histogram) => {
        Histogram
    };
}

macro_rules! node_metrics {
    ($($(#[$doc:meta])* $field:ident: $kind:ident = $name:literal;)*) => {
        /// Names of all metrics; `docs/operators.md` describes them.
        pub const METRIC_NAMES: &[&str] = &[$($name,)*];

        /// Handles of all metrics. They are looked up once, since each look-up hashes the labels.
        pub struct NodeMetrics {
            $($(#[$doc])* pub $field: handle!($kind),)*
            prometheus: PrometheusHandle,
        }

        impl NodeMetrics {
            fn register(prometheus: PrometheusHandle) -> Self {
                Self {
                    $($field: $kind!($name),)*
                    prometheus,
                }
            }
        }
    };
}

node_metrics! {
    /// Requests of callers.
    calls: counter = "sycamorewick_calls_total";
    /// Attempts beyond the first.
    retries: counter = "sycamorewick_retries_total";
    /// Error responses that the node made itself for calls that did not run.
    refusals: counter = "sycamorewick_refusals_total";
    /// Calls whose outcome is unknown.
    unknown_outcomes: counter = "sycamorewick_unknown_outcomes_total";
    /// Time from the arrival of a caller's request to its response, seconds.
    call_latency: histogram = "sycamorewick_call_seconds";
    /// Time from forwarding a call to the backend server to its response, seconds.
    backend_latency: histogram = "sycamorewick_backend_seconds";
    /// Bytes of gossip datagrams sent, IP and UDP headers included.
    gossip_bytes_sent: counter = "sycamorewick_gossip_sent_bytes_total";
    /// Bytes of gossip datagrams received, IP and UDP headers included.
    gossip_bytes_received: counter = "sycamorewick_gossip_received_bytes_total";
    /// Datagrams that failed authentication or decoding.
    gossip_rejected: readable = "sycamorewick_gossip_rejected_total";
    /// Bytes of configuration and state exchanges over HTTP, without headers.
    exchange_bytes: counter = "sycamorewick_exchange_bytes_total";
    /// Bytes read from the log.
    log_bytes: counter = "sycamorewick_log_bytes_total";
    /// Configuration version in force.
    version: gauge = "sycamorewick_config_version";
    /// Members that are not dead.
    members: gauge = "sycamorewick_members";
    /// Completed rollouts that this node reported.
    rollouts_completed: counter = "sycamorewick_rollouts_completed_total";
    /// Rolled back versions that this node reported.
    rollbacks: counter = "sycamorewick_rollbacks_total";
    /// Time from the publication to this node's switch, seconds.
    convergence: histogram = "sycamorewick_convergence_seconds";
    /// Violations of invariants.
    violations: gauge = "sycamorewick_invariant_violations";
    /// Outcomes that have not been appended to the log yet.
    outcomes_pending: gauge = "sycamorewick_outcomes_pending";
    /// Outcomes that were dropped because the log was unavailable for too long.
    outcomes_dropped: gauge = "sycamorewick_outcomes_dropped";
    /// Requests to the operator port without a token or with a wrong one.
    operator_auth_failures: gauge = "sycamorewick_operator_auth_failures";
    /// Log lines that were dropped because the output was too slow.
    log_lines_dropped: gauge = "sycamorewick_log_lines_dropped";
    /// Duration of the current log outage, seconds; zero while the log is reachable.
    log_failing: gauge = "sycamorewick_log_failing_seconds";
}

/// Sums up the observations of all histograms at an interval. They are kept one by one until then, and
/// nobody may ever ask for the metrics.
pub fn start_upkeep(prometheus: PrometheusHandle) {
    actix_rt::spawn(async move {
        loop {
            actix_rt::time::sleep(UPKEEP_INTERVAL).await;
            prometheus.run_upkeep();
        }
    });
}

impl NodeMetrics {
    /// Installs the recorder of the process and registers all metrics.
    ///
    /// # Errors
    /// If a recorder is already installed in the process.
    pub fn install() -> eyre::Result<Self> {
        let prometheus = PrometheusBuilder::new()
            .set_buckets(&[
                0.000_1, 0.000_2, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 1.0, 4.0,
            ])?
            .install_recorder()?;
        start_upkeep(prometheus.clone());
        Ok(Self::register(prometheus))
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.prometheus.run_upkeep();
        self.prometheus.render()
    }
}
