//! Metrics of a sidecar, described in `docs/OPERATIONS.md`.

use metrics::Counter;
use metrics::Gauge;
use metrics::Histogram;
use metrics::counter;
use metrics::gauge;
use metrics::histogram;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

use crate::logging;
use crate::node::metrics::start_upkeep;
use crate::result_code::ResultCode;
use crate::sidecar::workspace_metrics::WorkspaceMetrics;

/// Bucket bounds of the latency histograms, seconds, from a local call to the longest deadline.
const LATENCY_BOUNDS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 12.0];

/// Handles of all metrics, registered once.
pub struct SidecarMetrics {
    /// Requests of callers.
    pub calls: Counter,
    /// Calls refused without being run.
    pub refusals: Counter,
    /// Requests of callers that were held for the first configuration.
    pub start_holds: Counter,
    /// Requests of callers refused since there was no configuration, held before or not.
    pub start_refusals: Counter,
    /// Calls whose result is unknown.
    pub unknown_outcomes: Counter,
    /// Attempts after the first one of a call.
    pub attempts_beyond_first: Counter,
    /// Retries and hedged attempts taken from the fleet's retry budget.
    pub retries: Counter,
    /// Calls refused by the admission of the local backend server.
    pub gate_refusals: Counter,
    /// Calls that have left their failure domain although it could serve them.
    pub spillover_sent: Counter,
    /// Such calls that the other failure domain accepted.
    pub spillover_accepted: Counter,
    /// Such calls that the other failure domain refused because of load.
    pub spillover_refused: Counter,
    /// Failed calls to the platform's store.
    pub store_failures: Counter,
    /// Times that the platform's store has gone back to an earlier state.
    pub store_restores: Counter,
    /// Crashes of the local backend server.
    pub backend_crashes: Counter,
    /// Requests that are refused since they crash backend servers.
    pub quarantined_requests: Counter,
    /// Requests of workspaces with a quota that were admitted.
    pub quota_admitted: Counter,
    /// Requests refused since the quota of their workspace is used up.
    pub quota_refused: Counter,
    /// Requests by workspace.
    pub workspaces: WorkspaceMetrics,
    /// Age of the fleet's totals of requests with a quota, seconds.
    pub quota_totals_age: Gauge,
    /// Requests refused at the limits of clients.
    pub client_refusals: Counter,
    /// Connections of clients that had to end to make room.
    pub client_evictions: Counter,
    /// New connections of clients closed at once.
    pub client_rejections: Counter,
    /// Idle outgoing connections closed at the limit of connections.
    pub outgoing_idle_closed: Counter,
    /// Requests not sent at the limit of connections.
    pub outgoing_not_sent: Counter,
    /// Configuration version in force.
    pub config_version: Gauge,
    /// Requests a second that the local backend server accepts at most; zero without a limit.
    pub backend_limit: Gauge,
    /// Requests a second that the local backend server may get since it is cold; zero while it is not.
    pub backend_cold_bound: Gauge,
    /// Probes of the health path of the local backend server.
    pub health_probes: Counter,
    /// Number of known nodes.
    pub nodes: Gauge,
    /// Calls refused because of their home regions, by the entry node or the serving node.
    pub home_refusals: Counter,
    /// Calls refused because of an evacuation, by the entry node or the serving node.
    pub evacuation_refusals: Counter,
    /// Number of evacuated failure domains.
    pub evacuated_domains: Gauge,
    /// Time from a caller's request to its response, seconds.
    pub call_latency: Histogram,
    /// Response time of the local backend server, seconds.
    pub backend_latency: Histogram,
    log_lines_dropped: Gauge,
    render: PrometheusHandle,
}

impl SidecarMetrics {
    /// Installs the metrics recorder of the process, registers all metrics and starts their upkeep.
    ///
    /// # Errors
    /// If the process already has a metrics recorder.
    pub fn install() -> eyre::Result<Self> {
        let render = PrometheusBuilder::new()
            .set_buckets(&LATENCY_BOUNDS)?
            .install_recorder()?;
        start_upkeep(render.clone());
        Ok(Self {
            calls: counter!("sycamorewick_calls_total"),
            refusals: counter!("sycamorewick_refusals_total"),
            start_holds: counter!("sycamorewick_start_holds_total"),
            start_refusals: counter!("sycamorewick_start_refusals_total"),
            unknown_outcomes: counter!("sycamorewick_unknown_outcomes_total"),
            attempts_beyond_first: counter!("sycamorewick_attempts_beyond_first_total"),
            retries: counter!("sycamorewick_repeats_total"),
            gate_refusals: counter!("sycamorewick_gate_refusals_total"),
            spillover_sent: counter!("sycamorewick_spillover_sent_total"),
            spillover_accepted: counter!("sycamorewick_spillover_accepted_total"),
            spillover_refused: counter!("sycamorewick_spillover_refused_total"),
            store_failures: counter!("sycamorewick_store_failures_total"),
            store_restores: counter!("sycamorewick_store_restores_total"),
            backend_crashes: counter!("sycamorewick_backend_crashes_total"),
            quarantined_requests: counter!("sycamorewick_quarantined_requests_total"),
            quota_admitted: counter!("sycamorewick_quota_admitted_total"),
            quota_refused: counter!("sycamorewick_quota_refused_total"),
            workspaces: WorkspaceMetrics::default(),
            quota_totals_age: gauge!("sycamorewick_quota_totals_age_seconds"),
            client_refusals: counter!("sycamorewick_client_refusals_total"),
            client_evictions: counter!("sycamorewick_client_evictions_total"),
            client_rejections: counter!("sycamorewick_client_rejections_total"),
            outgoing_idle_closed: counter!("sycamorewick_outgoing_idle_closed_total"),
            outgoing_not_sent: counter!("sycamorewick_outgoing_not_sent_total"),
            config_version: gauge!("sycamorewick_config_version"),
            backend_limit: gauge!("sycamorewick_backend_limit"),
            backend_cold_bound: gauge!("sycamorewick_backend_cold_bound"),
            health_probes: counter!("sycamorewick_health_probes_total"),
            nodes: gauge!("sycamorewick_nodes"),
            home_refusals: counter!("sycamorewick_home_refusals_total"),
            evacuation_refusals: counter!("sycamorewick_evacuation_refusals_total"),
            evacuated_domains: gauge!("sycamorewick_evacuated_domains"),
            call_latency: histogram!("sycamorewick_call_seconds"),
            backend_latency: histogram!("sycamorewick_backend_seconds"),
            log_lines_dropped: gauge!("sycamorewick_log_lines_dropped"),
            render,
        })
    }

    /// Counts a call that is refused because of the places where it may be served.
    pub fn count_location_refusal(&self, code: ResultCode) {
        match code {
            ResultCode::OutsideHome => self.home_refusals.increment(1),
            ResultCode::DomainEvacuated => self.evacuation_refusals.increment(1),
            _ => {}
        }
    }

    /// Returns all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        #[allow(clippy::cast_precision_loss, reason = "a gauge is a float")]
        self.log_lines_dropped.set(logging::dropped_lines() as f64);
        self.render.run_upkeep();
        self.render.render()
    }
}
