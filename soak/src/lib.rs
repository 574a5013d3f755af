//! Parts of the fault soak: the plan of faults, the proxy that injects them into connections, the
//! processes, the callers, and the check of a run. See `docs/soak.md`.

pub mod caller;
pub mod checker;
pub mod cluster;
pub mod plan;
pub mod proxy;
pub mod stray;
pub mod workspace_checker;
pub mod workspaces;
