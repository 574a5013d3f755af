//! Stand-ins for the users' platform: its store, its backend servers, and a fleet of real sidecar
//! processes. Only this module of the testbed uses the protocols of the platform, see
//! `docs/platform.md`.

pub mod backend;
pub mod fleet;
pub mod store;
