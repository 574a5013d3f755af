//! Metrics by workspace.

use googletest::prelude::*;
use sycamorewick::protocol::name::WorkspaceName;
use sycamorewick::sidecar::metrics::SidecarMetrics;
use sycamorewick::sidecar::workspace_metrics::MAX_WORKSPACES;
use sycamorewick::sidecar::workspace_metrics::WorkspaceEvent;

/// Workspaces beyond the limit.
const FURTHER: usize = 50;

/// Returns the labels and values of a metric.
fn values(text: &str, metric: &str) -> Vec<(String, u64)> {
    let prefix = format!("{metric}{{workspace=\"");
    let lines = text.lines().filter_map(|line| line.strip_prefix(&prefix));
    let values = lines.filter_map(|line| {
        let (name, value) = line.split_once("\"} ")?;
        Some((name.to_owned(), value.parse().ok()?))
    });
    values.collect()
}

/// Guards against a number of counters that grows with the names of a configuration, against requests that are
/// counted for no workspace then, and against events that are counted as others.
#[gtest]
fn count_is_limited() {
    let metrics = actix_rt::System::new()
        .block_on(async { SidecarMetrics::install() })
        .expect("the only recorder of the process");
    let names = (0..MAX_WORKSPACES + FURTHER).map(|index| WorkspaceName::from(format!("w{index}")));
    let names: Vec<WorkspaceName> = names.collect();
    for name in names.iter().chain(&names) {
        metrics
            .workspaces
            .count(Some(name), WorkspaceEvent::Admitted);
    }
    metrics
        .workspaces
        .count(Some(&names[0]), WorkspaceEvent::QuotaRefused);
    metrics.workspaces.count(None, WorkspaceEvent::Refused);
    let text = metrics.render();
    let admitted = values(&text, "sycamorewick_workspace_admitted_total");
    expect_that!(admitted.len(), eq(MAX_WORKSPACES + 1));
    for (name, value) in &admitted {
        let expected = if name == "other" { 2 * FURTHER } else { 2 };
        expect_that!(usize::try_from(*value), ok(eq(expected)), "{name}");
    }
    let refused = values(&text, "sycamorewick_workspace_quota_refused_total");
    let refused: Vec<_> = refused.iter().filter(|(_, value)| *value > 0).collect();
    expect_that!(refused, elements_are![eq(&&("w0".to_owned(), 1))]);
    for metric in ["refused_total", "served_total"] {
        let others = values(&text, &format!("sycamorewick_workspace_{metric}"));
        expect_true!(others.iter().all(|(_, value)| *value == 0), "{others:?}");
    }
}
