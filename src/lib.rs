//! Distributes configuration across a service mesh and shifts traffic between versions of backend
//! servers. `docs/design.md` describes the design; the layers are [`transport`], [`protocol`],
//! [`coordination`] and [`state`]; [`node`] combines them in one process.

pub mod coordination;
pub mod diff;
pub mod invariant;
pub mod jsonc;
pub mod logging;
pub mod node;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod protocol;
pub mod result_code;
pub mod settings;
pub mod sidecar;
pub mod state;
pub mod transport;
