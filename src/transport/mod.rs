//! Sockets, HTTP servers and clients, and the client of the platform's log.
//! See `docs/design.md`, section 7.

pub mod body_budget;
pub mod client_memory;
pub mod connection_limit;
pub mod cut_response;
pub mod exchange;
pub mod headers;
pub mod http_client;
pub mod http_server;
pub mod log_client;
pub mod pipeline;
pub mod request_head;
pub mod response_head;
pub mod strict_stream;
pub mod udp;
pub mod unsent;
