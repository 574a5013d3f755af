//! Entries of nodes in failure domains.

use std::net::SocketAddr;

use sycamorewick::protocol::fleet::BackendPhase;
use sycamorewick::protocol::fleet::BackendReport;
use sycamorewick::protocol::fleet::FleetEntry;

/// Service of the backend servers.
pub const SERVICE: &str = "registry";

/// Returns the entry of a node beside a backend server that is ready.
pub fn entry(node: &str, region: &str, domain: &str, port: u16, slots: u32) -> FleetEntry {
    FleetEntry {
        node: node.into(),
        run: 1,
        revision: 1,
        addr: SocketAddr::from(([127, 0, 0, 1], port)),
        region: region.into(),
        domain: domain.into(),
        capacity: 20_000,
        backend: Some(BackendReport {
            instance: node.into(),
            born: 1,
            sequence: 1,
            service: SERVICE.into(),
            version: "v1".into(),
            slots,
            phase: BackendPhase::Ready,
            cold_left_ms: 0,
        }),
        left: None,
        earlier_left: Vec::new(),
        crashes: Vec::new(),
        is_stopped: false,
    }
}
