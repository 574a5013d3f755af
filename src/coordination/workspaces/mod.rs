//! Decisions about workspaces: credentials, quotas, and the shares of those who compete for the same backend servers.

pub mod credentials;
pub mod fair_share;
pub mod quota;
pub mod usage;
