//! Messages, records and names that are exchanged between processes, see `docs/design.md`, section 7.

pub mod auth;
pub mod call;
pub mod claim;
pub mod codec;
pub mod document;
pub mod explain;
pub mod fleet;
pub mod gossip;
pub mod hop;
pub mod mesh;
pub mod name;
pub mod name_field;
pub mod record;
pub mod time;
pub mod usage;
