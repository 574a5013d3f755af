//! State of a node: the fold of the log, document validation, snapshots, outcomes, routing table,
//! local backend server and topic copies.
//! See `docs/design.md`, section 4.

pub mod local_backend;
pub mod log_fold;
pub mod mirror;
pub mod outcome;
pub mod report_filter;
pub mod routing_table;
pub mod snapshot;
pub mod validate;
