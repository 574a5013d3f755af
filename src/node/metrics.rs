//! Metrics of a node, exported on the operator port. See `docs/operators.md`.

use metrics::Counter;
use metrics::Gauge;
use metrics::Histogram;
use metrics::counter;
use metrics::gauge;
use metrics::histogram;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

/// Handles that are looked up once, since a look-up per call costs a hash of its labels.
pub struct NodeMetrics {
    /// Requests of callers.
    pub calls: Counter,
    /// Attempts beyond the first.
    pub retries: Counter,
    /// Answers that a node made itself because a call did not run.
    pub refusals: Counter,
    /// Calls whose outcome is unknown.
    pub unknown_outcomes: Counter,
    /// Time from the arrival of a caller's request to its answer, seconds.
    pub call_latency: Histogram,
    /// Time of the backend server for a call, seconds.
    pub backend_latency: Histogram,
    /// Bytes of gossip datagrams sent, IP and UDP headers included.
    pub gossip_bytes_sent: Counter,
    /// Bytes of gossip datagrams received, IP and UDP headers included.
    pub gossip_bytes_received: Counter,
    /// Datagrams that failed authentication or decoding.
    pub gossip_rejected: Counter,
    /// Bytes of configuration and state exchanges over HTTP, without headers.
    pub exchange_bytes: Counter,
    /// Bytes read from the log.
    pub log_bytes: Counter,
    /// Configuration version in force.
    pub version: Gauge,
    /// Members that are not dead.
    pub members: Gauge,
    /// Rollouts completed as this node saw them.
    pub rollouts_completed: Counter,
    /// Versions taken back as this node saw them.
    pub rollbacks: Counter,
    /// Time from the publication to this node's switch, seconds.
    pub convergence: Histogram,
    /// Violations of invariants.
    pub violations: Gauge,
    /// Outcomes that wait for the log.
    pub outcomes_pending: Gauge,
    render: PrometheusHandle,
}

impl NodeMetrics {
    /// Installs the recorder of the process and registers all metrics.
    ///
    /// # Errors
    /// If the process has a recorder already.
    pub fn install() -> eyre::Result<Self> {
        let render = PrometheusBuilder::new()
            .set_buckets(&[
                0.000_1, 0.000_2, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.05, 0.2, 1.0, 4.0,
            ])?
            .install_recorder()?;
        Ok(Self {
            calls: counter!("sycamorewick_calls_total"),
            retries: counter!("sycamorewick_retries_total"),
            refusals: counter!("sycamorewick_refusals_total"),
            unknown_outcomes: counter!("sycamorewick_unknown_outcomes_total"),
            call_latency: histogram!("sycamorewick_call_seconds"),
            backend_latency: histogram!("sycamorewick_backend_seconds"),
            gossip_bytes_sent: counter!("sycamorewick_gossip_sent_bytes_total"),
            gossip_bytes_received: counter!("sycamorewick_gossip_received_bytes_total"),
            gossip_rejected: counter!("sycamorewick_gossip_rejected_total"),
            exchange_bytes: counter!("sycamorewick_exchange_bytes_total"),
            log_bytes: counter!("sycamorewick_log_bytes_total"),
            version: gauge!("sycamorewick_config_version"),
            members: gauge!("sycamorewick_members"),
            rollouts_completed: counter!("sycamorewick_rollouts_completed_total"),
            rollbacks: counter!("sycamorewick_rollbacks_total"),
            convergence: histogram!("sycamorewick_convergence_seconds"),
            violations: gauge!("sycamorewick_invariant_violations"),
            outcomes_pending: gauge!("sycamorewick_outcomes_pending"),
            render,
        })
    }

    /// Returns all metrics in the text format of Prometheus.
    #[must_use]
    pub fn render(&self) -> String {
        self.render.run_upkeep();
        self.render.render()
    }
}
