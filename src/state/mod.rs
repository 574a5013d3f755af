//! State that a node owns: the fold of the log, validation, snapshots and outcomes.
//! See `docs/design.md`, section 4.

pub mod log_fold;
pub mod outcome;
pub mod snapshot;
pub mod validate;
