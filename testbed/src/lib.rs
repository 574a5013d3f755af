//! Stand-ins for the platform around the nodes (log, backend server, caller), a fleet of real node
//! processes, and the measuring tool. Not shipped.

pub mod backend_server;
pub mod caller;
pub mod fleet;
pub mod http;
pub mod log_server;
pub mod measure;
pub mod relay;
