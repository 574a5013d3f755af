//! Decisions of a process that has no configuration yet. See `docs/design/process-start.md`.

pub mod hold;
pub mod store_answer;
