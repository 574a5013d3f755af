//! Shares of workspaces whose calls wait for the same backend server. See `docs/design/workspaces.md`, "Fair sharing".
//!
//! Start-time fair queueing (Goyal, Vin and Cheng, 1996): each call has a virtual start time, and the waiting call
//! with the lowest one starts next. The virtual time of the queue is the start time of the call that started
//! last. The next call of a workspace starts at that time, or as long after the workspace's previous call as its weight
//! demands. So workspaces that always have calls waiting are served in proportion to their weights, a workspace that was
//! idle has no claim for that time, and the number of calls that a workspace sends changes nothing.
//!
//! Calls count the same whatever their run times are, since the weights are requests a second. Ranks are kept
//! apart: a call competes only with calls of its rank.

use crate::protocol::name::WorkspaceName;

/// Rank of a call: the priority of its workspace, then that of its route. Calls of a lower number start first.
pub type Rank = (u8, u8);
/// Rank of the least urgent calls.
pub const LOWEST_RANK: Rank = (u8::MAX, u8::MAX);

/// Weight of a workspace without a quota, in requests a second.
pub const DEFAULT_WEIGHT: f64 = 1.0;
/// Smallest weight, that of the smallest quota.
const MIN_WEIGHT: f64 = 0.001;
/// Ranks that are remembered. Peers choose the priorities, and a configuration uses few of them.
const MAX_RANKS: usize = 16;
/// Workspaces of one rank that are remembered. Peers choose the names; about 100 workspaces are usual.
const MAX_WORKSPACES: usize = 512;
/// Virtual time at which all times of a rank are reduced, far below the range in which the time of one call is
/// lost by rounding.
const MAX_VIRTUAL_TIME: f64 = 1e9;

/// Workspace of a call, and its weight at the node beside the backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceShare {
    /// Name.
    pub name: WorkspaceName,
    /// Part of the capacity relative to other workspaces.
    pub weight: f64,
}

impl WorkspaceShare {
    /// Virtual time that one call takes.
    fn call_time(&self) -> f64 {
        1.0 / self.weight.max(MIN_WEIGHT)
    }
}

#[derive(Debug)]
struct RankShares {
    rank: Rank,
    virtual_time: f64,
    /// Virtual times at which the next call of each workspace may start, sorted by workspace.
    workspaces: Vec<(WorkspaceName, f64)>,
    /// Number of the last start.
    last_used: u64,
}

/// Virtual times of the workspaces at one backend server.
#[derive(Debug, Default)]
pub struct FairShare {
    /// Sorted by rank.
    ranks: Vec<RankShares>,
    starts: u64,
}

impl FairShare {
    /// Returns the virtual time at which a call starts that has `ahead` calls of its workspace before it.
    #[must_use]
    pub fn start_time(&self, rank: Rank, workspace: &WorkspaceShare, ahead: u32) -> f64 {
        let first = match self.ranks.binary_search_by_key(&rank, |of| of.rank) {
            Ok(index) => self.ranks[index].start_time(&workspace.name),
            Err(_) => 0.0,
        };
        first + f64::from(ahead) * workspace.call_time()
    }

    /// Handles the start of a call.
    pub fn on_start(&mut self, rank: Rank, workspace: &WorkspaceShare) {
        self.starts += 1;
        let starts = self.starts;
        let shares = self.entry(rank);
        shares.last_used = starts;
        let start = shares.start_time(&workspace.name);
        shares.virtual_time = start;
        shares.set_next(&workspace.name, start + workspace.call_time());
        if shares.virtual_time > MAX_VIRTUAL_TIME {
            shares.reduce_times();
        }
    }

    /// Returns the number of workspaces that are remembered, over all ranks.
    #[must_use]
    pub fn workspace_count(&self) -> usize {
        self.ranks
            .iter()
            .map(|shares| shares.workspaces.len())
            .sum()
    }

    fn entry(&mut self, rank: Rank) -> &mut RankShares {
        let found = self.ranks.binary_search_by_key(&rank, |of| of.rank);
        let index = if let Ok(index) = found {
            index
        } else {
            self.make_room();
            let index = self.ranks.partition_point(|of| of.rank < rank);
            let shares = RankShares {
                rank,
                virtual_time: 0.0,
                workspaces: Vec::new(),
                last_used: 0,
            };
            self.ranks.insert(index, shares);
            index
        };
        &mut self.ranks[index]
    }

    /// Forgets the rank that was not used for longest if there are too many.
    fn make_room(&mut self) {
        if self.ranks.len() < MAX_RANKS {
            return;
        }
        let oldest = self.ranks.iter().map(|shares| shares.last_used).min();
        self.ranks.retain(|shares| Some(shares.last_used) != oldest);
    }
}

impl RankShares {
    fn start_time(&self, workspace: &WorkspaceName) -> f64 {
        let found = self
            .workspaces
            .binary_search_by(|(name, _)| name.cmp(workspace));
        let next = found.map_or(0.0, |index| self.workspaces[index].1);
        next.max(self.virtual_time)
    }

    fn set_next(&mut self, workspace: &WorkspaceName, next: f64) {
        if let Ok(index) = self
            .workspaces
            .binary_search_by(|(name, _)| name.cmp(workspace))
        {
            self.workspaces[index].1 = next;
            return;
        }
        if self.workspaces.len() >= MAX_WORKSPACES {
            self.forget_workspaces();
        }
        let index = self
            .workspaces
            .partition_point(|(name, _)| name < workspace);
        self.workspaces.insert(index, (workspace.clone(), next));
    }

    /// Forgets the workspaces whose next call would start now anyway, which changes nothing, or else the one whose
    /// next call is due first, which gains less than the time of one call.
    fn forget_workspaces(&mut self) {
        let virtual_time = self.virtual_time;
        self.workspaces.retain(|(_, next)| *next > virtual_time);
        if self.workspaces.len() >= MAX_WORKSPACES {
            let by_time = |a: &(usize, f64), b: &(usize, f64)| a.1.total_cmp(&b.1);
            let times = self.workspaces.iter().map(|(_, next)| *next).enumerate();
            if let Some((first, _)) = times.min_by(by_time) {
                self.workspaces.remove(first);
            }
        }
    }

    fn reduce_times(&mut self) {
        for (_, next) in &mut self.workspaces {
            *next = (*next - self.virtual_time).max(0.0);
        }
        self.virtual_time = 0.0;
    }
}
