//! Workspaces of a run: their keys and quotas, drawn from the seed, the changes that the operator makes, and
//! the keys that callers send. See `docs/soak.md`.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;

use crate::cluster::ALL_NODES;
use crate::plan::Event;
use crate::plan::Load;
use crate::proxy::LinkFault;

/// Text that all keys of all runs have in common, so that backend servers recognize them.
pub const KEY_TEXT: &str = "soakkey";
/// Key that belongs to no workspace. Callers of public routes send it as well.
pub const UNKNOWN_KEY: &str = "soakkey-unknown";
/// Value that callers send in the header with the name of the workspace, which nodes must replace.
pub const FORGED_WORKSPACE: &str = "forged";
/// Age of the view of the configuration from which on nodes refuse requests with a key, in the runs with
/// `strict_revoke`.
pub const REVOKE_WITHIN: Duration = Duration::from_secs(3);
/// Number of workspaces.
const WORKSPACES: usize = 5;
/// Number of workspaces, from the first on, that have the most urgent priority.
const URGENT_WORKSPACES: usize = 3;
/// Slots of each backend server in a run with contention.
const CONTENDED_SLOTS: usize = 2;
/// Number of keys of a workspace at the start.
const FIRST_KEYS: usize = 3;
/// Time from the cut of nodes from the store to the change that they cannot read.
pub const CHANGE_AFTER_CUT: Duration = Duration::from_millis(150);

/// A workspace in a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakWorkspace {
    /// Name.
    pub name: String,
    /// Priority.
    pub priority: u8,
    /// Requests a second over all nodes; zero if there is no limit.
    pub per_s: f64,
    /// Requests beyond that.
    pub burst: f64,
    /// Keys.
    pub keys: Vec<Rc<str>>,
}

/// Returns the name of the workspace that a key belongs to.
#[must_use]
pub fn owner<'a>(workspaces: &'a [SoakWorkspace], key: &str) -> Option<&'a str> {
    let mut owners = workspaces.iter();
    let owner = owners.find(|workspace| workspace.keys.iter().any(|other| &**other == key));
    Some(&owner?.name)
}

/// Returns the workspaces as the configuration describes them.
#[must_use]
pub fn encode(workspaces: &[SoakWorkspace]) -> Value {
    let encode = |workspace: &SoakWorkspace| {
        let keys: Vec<&str> = workspace.keys.iter().map(|key| &**key).collect();
        let value = json!({
            "api-keys": keys,
            "priority": workspace.priority,
            "per-s": workspace.per_s,
            "burst": workspace.burst,
        });
        (workspace.name.clone(), value)
    };
    Value::Object(workspaces.iter().map(encode).collect())
}

/// Configuration that the operator has written. Times are milliseconds of the monotonic clock.
#[derive(Clone, Debug)]
pub struct WrittenConfig {
    /// Version.
    pub version: u32,
    /// Begin of the write.
    pub sent_ms: u64,
    /// Acknowledgement of the write; `None` if it was not acknowledged.
    pub acked_ms: Option<u64>,
    /// Whether a later version was written before. Nodes that know that one ignore this one.
    pub is_stale: bool,
    /// Workspaces in it.
    pub workspaces: Rc<Vec<SoakWorkspace>>,
}

/// Change of the workspaces that the operator writes with the next configuration. Numbers are taken modulo the
/// number of what they choose from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WorkspaceChange {
    /// A key of a workspace is revoked.
    RevokeKey(usize, usize),
    /// A key of a workspace is moved to another one.
    MoveKey(usize, usize, usize),
    /// A workspace gets a further key.
    AddKey(usize),
    /// The quota of a workspace is multiplied by this factor.
    ScaleQuota(usize, f64),
}

/// Workspaces of a run.
#[derive(Clone, Debug)]
pub struct WorkspacePlan {
    /// Workspaces in the first configuration.
    pub workspaces: Vec<SoakWorkspace>,
    /// Whether nodes refuse requests with a key while their view of the configuration is older than
    /// [`REVOKE_WITHIN`].
    pub is_strict: bool,
    /// Whether backend servers are slow, so that workspaces contend for them in surges.
    pub is_contended: bool,
}

/// Whether a run has workspaces by its seed: about half of the seeds, without those of `regressions.txt` that
/// are older than workspaces.
#[must_use]
pub fn has_workspaces(seed: u64) -> bool {
    seed % 4 < 2
}

fn generator(seed: u64) -> StdRng {
    // A generator of its own keeps the other events of a seed as they are.
    StdRng::seed_from_u64(seed.rotate_left(48))
}

/// Draws the workspaces of a run.
#[must_use]
pub fn draw_plan(seed: u64) -> WorkspacePlan {
    let mut rng = generator(seed);
    let draw = |index: usize| {
        // Without a quota a workspace has the weight 1, so that the others have far larger shares.
        let per_s = if index == 0 {
            0.0
        } else {
            f64::from(rng.random_range(8..=60_u32))
        };
        SoakWorkspace {
            name: format!("w{index}"),
            priority: u8::from(index >= URGENT_WORKSPACES),
            per_s,
            burst: per_s,
            keys: (0..FIRST_KEYS)
                .map(|key| format!("{KEY_TEXT}-{seed}-{index}-{key}").into())
                .collect(),
        }
    };
    let workspaces = (0..WORKSPACES).map(draw).collect();
    WorkspacePlan {
        workspaces,
        is_strict: rng.random_bool(0.5),
        is_contended: rng.random_bool(0.5),
    }
}

impl WorkspacePlan {
    /// Returns the load of the run. With contention a surge fills the slots of all backend servers many times.
    #[must_use]
    pub fn load(&self, load: Load) -> Load {
        if !self.is_contended {
            return load;
        }
        Load {
            // Some calls have to wait too long also without a surge, so the run does not count as one in which
            // every call must be served.
            callers: load.callers.max(CONTENDED_SLOTS + 1),
            slots: CONTENDED_SLOTS,
            service_ms: load.service_ms.max(400),
        }
    }
}

/// Draws the changes of the workspaces and the surges of a run.
#[must_use]
pub fn draw_events(seed: u64, nodes: usize, length: Duration) -> Vec<(Duration, Event)> {
    let mut rng = generator(!seed);
    let mut events = Vec::new();
    let changes = 2 + length.as_secs() / 3;
    for _ in 0..changes {
        let at = length.mul_f64(rng.random_range(0.05..0.9));
        let change = draw_change(&mut rng);
        let event = if rng.random_bool(0.5) {
            Event::ChangeWorkspaces(change)
        } else {
            let fault = if rng.random_bool(0.5) {
                LinkFault::Stall
            } else {
                LinkFault::Reset
            };
            // A node that is cut off learns the change from one that is not, unless all are.
            let count = if rng.random_bool(0.5) {
                ALL_NODES
            } else {
                rng.random_range(1..=nodes)
            };
            Event::ChangeDuringCut {
                first: rng.random_range(0..nodes),
                count,
                fault,
                duration: Duration::from_millis(rng.random_range(500..=5_000)),
                change,
            }
        };
        events.push((at, event));
    }
    let surges = 1 + length.as_secs() / 8;
    for _ in 0..surges {
        let at = length.mul_f64(rng.random_range(0.1..0.7));
        // Only the workspace without a quota fills the queues; the others show whether their quotas hold.
        let workspace = if rng.random_bool(0.5) {
            0
        } else {
            rng.random_range(1..WORKSPACES)
        };
        let duration = Duration::from_millis(rng.random_range(2_500..=4_000));
        events.push((at, Event::Surge(workspace, duration)));
    }
    events
}

fn draw_change(rng: &mut StdRng) -> WorkspaceChange {
    let workspace = rng.random_range(0..WORKSPACES);
    let key = rng.random_range(0..100);
    match rng.random_range(0..7) {
        0 | 1 => WorkspaceChange::RevokeKey(workspace, key),
        2 | 3 => {
            let other = (workspace + rng.random_range(1..WORKSPACES)) % WORKSPACES;
            WorkspaceChange::MoveKey(workspace, key, other)
        }
        4 => WorkspaceChange::AddKey(workspace),
        5 => WorkspaceChange::ScaleQuota(workspace, 4.0),
        _ => WorkspaceChange::ScaleQuota(workspace, rng.random_range(0.1..0.5)),
    }
}

/// The workspaces of the newest configuration, and the keys that callers send.
#[derive(Debug)]
pub struct KeyRing {
    workspaces: RefCell<Vec<SoakWorkspace>>,
    /// Keys that were revoked.
    revoked: RefCell<Vec<Rc<str>>>,
    added: RefCell<u32>,
    rng: RefCell<StdRng>,
}

impl KeyRing {
    /// Creates the state for a plan.
    #[must_use]
    pub fn new(plan: &WorkspacePlan, seed: u64) -> Self {
        Self {
            workspaces: RefCell::new(plan.workspaces.clone()),
            revoked: RefCell::default(),
            added: RefCell::new(0),
            rng: RefCell::new(generator(seed)),
        }
    }

    /// Workspaces of the newest configuration.
    #[must_use]
    pub fn workspaces(&self) -> Vec<SoakWorkspace> {
        self.workspaces.borrow().clone()
    }

    /// Changes the workspaces.
    pub fn apply(&self, change: WorkspaceChange) {
        let workspaces = &mut *self.workspaces.borrow_mut();
        let mut take_key = |workspace: usize, key: usize| {
            let keys = &mut workspaces[workspace].keys;
            // A workspace without keys would have no callers for the rest of the run.
            (keys.len() > 1).then(|| keys.remove(key % keys.len()))
        };
        match change {
            WorkspaceChange::RevokeKey(workspace, key) => {
                self.revoked.borrow_mut().extend(take_key(workspace, key));
            }
            WorkspaceChange::MoveKey(workspace, key, other) => {
                let key = take_key(workspace, key);
                workspaces[other].keys.extend(key);
            }
            WorkspaceChange::AddKey(workspace) => {
                let number = self.added.replace_with(|number| *number + 1);
                let key = format!("{KEY_TEXT}-added-{workspace}-{number}");
                workspaces[workspace].keys.push(key.into());
            }
            WorkspaceChange::ScaleQuota(workspace, factor) => {
                let workspace = &mut workspaces[workspace];
                workspace.per_s = (workspace.per_s * factor).clamp(0.0, 100.0);
                workspace.burst = workspace.per_s;
            }
        }
    }

    /// Draws the key of a call: mostly a valid one, some that were revoked, unknown ones and empty ones.
    #[must_use]
    pub fn draw(&self) -> Rc<str> {
        let (point, workspace) = {
            let rng = &mut *self.rng.borrow_mut();
            let workspace = rng.random_range(0..WORKSPACES);
            (rng.random_range(0.0..1.0), workspace)
        };
        match point {
            0.0..0.02 => "".into(),
            0.02..0.04 => UNKNOWN_KEY.into(),
            0.04..0.12 => {
                let revoked = self.revoked.borrow();
                let index = self.rng.borrow_mut().random_range(0..revoked.len().max(1));
                let key = revoked.get(index).cloned();
                key.unwrap_or_else(|| UNKNOWN_KEY.into())
            }
            _ => self.draw_of(workspace),
        }
    }

    /// Draws a valid key of a workspace.
    #[must_use]
    pub fn draw_of(&self, workspace: usize) -> Rc<str> {
        let workspaces = self.workspaces.borrow();
        let keys = &workspaces[workspace].keys;
        let index = self.rng.borrow_mut().random_range(0..keys.len().max(1));
        let key = keys.get(index).cloned();
        key.unwrap_or_else(|| UNKNOWN_KEY.into())
    }
}
