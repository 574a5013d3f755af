//! Decisions about regions and failure domains: where a call may be served, and when leaving a failure domain pays.

pub mod evacuation;
pub mod homes;
pub mod spill;
