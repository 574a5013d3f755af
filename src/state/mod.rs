//! State that a node owns: the fold of the log, validation, snapshots and outcomes.
//! See `docs/design.md`, section 4.

pub mod local_backend;
pub mod log_fold;
pub mod mirror;
pub mod outcome;
pub mod routing_table;
pub mod snapshot;
pub mod validate;
