//! Stand-ins for the systems around the nodes (log, backend server, caller, and the users'
//! platform), fleets of real node processes, and the measuring tool. This crate is not shipped.

pub mod backend_server;
pub mod caller;
pub mod fleet;
pub mod http;
pub mod log_server;
pub mod measure;
pub mod platform;
pub mod process;
pub mod relay;
