//! Counters of the requests of each workspace at the entry node. See `docs/OPERATIONS.md`, "Workspaces".

use std::cell::RefCell;

use metrics::Counter;
use metrics::counter;

use crate::protocol::name::WorkspaceName;

/// Largest number of workspaces with counters of their own. The names come from the configuration, and a process
/// keeps a counter for good.
pub const MAX_WORKSPACES: usize = 200;
/// Label of all further workspaces.
pub const OTHER_WORKSPACES: &str = "other";

struct Counters {
    admitted: Counter,
    quota_refused: Counter,
    refused: Counter,
    served: Counter,
}

impl Counters {
    fn register(workspace: &str) -> Self {
        let label = || ("workspace", workspace.to_owned());
        Self {
            admitted: counter!("sycamorewick_workspace_admitted_total", &[label()]),
            quota_refused: counter!("sycamorewick_workspace_quota_refused_total", &[label()]),
            refused: counter!("sycamorewick_workspace_refused_total", &[label()]),
            served: counter!("sycamorewick_workspace_served_total", &[label()]),
        }
    }

    fn of(&self, event: WorkspaceEvent) -> &Counter {
        match event {
            WorkspaceEvent::Admitted => &self.admitted,
            WorkspaceEvent::QuotaRefused => &self.quota_refused,
            WorkspaceEvent::Refused => &self.refused,
            WorkspaceEvent::Served => &self.served,
        }
    }
}

/// What happens to a request of a workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkspaceEvent {
    /// It is within the quota, or there is none.
    Admitted,
    /// It is refused since the quota is used up.
    QuotaRefused,
    /// It is refused as not run for another reason.
    Refused,
    /// The caller gets the response of a backend server.
    Served,
}

/// Counters by workspace.
#[derive(Default)]
pub struct WorkspaceMetrics {
    /// Sorted by name.
    known: RefCell<Vec<(WorkspaceName, Counters)>>,
    other: RefCell<Option<Counters>>,
}

impl WorkspaceMetrics {
    /// Counts an event of a request, if it belongs to a workspace.
    pub fn count(&self, workspace: Option<&WorkspaceName>, event: WorkspaceEvent) {
        let Some(workspace) = workspace else {
            return;
        };
        let known = &mut *self.known.borrow_mut();
        match known.binary_search_by(|(name, _)| name.cmp(workspace)) {
            Ok(index) => known[index].1.of(event).increment(1),
            Err(index) if known.len() < MAX_WORKSPACES => {
                let counters = Counters::register(workspace.as_str());
                counters.of(event).increment(1);
                known.insert(index, (workspace.clone(), counters));
            }
            Err(_) => {
                let other = &mut *self.other.borrow_mut();
                let other = other.get_or_insert_with(|| Counters::register(OTHER_WORKSPACES));
                other.of(event).increment(1);
            }
        }
    }
}
