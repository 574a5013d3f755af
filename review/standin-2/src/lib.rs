//! Stand-ins for the review's scripts, with the standard library only: the platform's store, upstreams, clients, and
//! the platform's handling of processes. They speak what the platform's protocol page says.

pub mod http;
pub mod platform;
pub mod record;
pub mod store;
pub mod upstream;
