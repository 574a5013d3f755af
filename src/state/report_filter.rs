//! Decides whether a heartbeat is from the backend server beside a node. See `docs/platform.md`,
//! "Membership".

use std::net::SocketAddr;

use crate::protocol::name::ServiceName;

/// Accepts the heartbeats of one backend server, which the settings of its node describe. Another program
/// may send a heartbeat to the node, too, and must not replace what the node knows of its backend server.
#[derive(Debug)]
pub struct ReportFilter {
    service: ServiceName,
    addr: SocketAddr,
    /// Whether a heartbeat has named the address of the settings. Without one, the backend server may be
    /// reached through a translation of addresses, and any address is accepted.
    is_addr_confirmed: bool,
}

impl ReportFilter {
    /// Creates the filter for the service and the address in the settings.
    #[must_use]
    pub fn new(service: ServiceName, addr: SocketAddr) -> Self {
        Self {
            service,
            addr,
            is_addr_confirmed: false,
        }
    }

    /// Checks the service and the address that a heartbeat names.
    ///
    /// # Errors
    /// What differs from the settings.
    pub fn accept(&mut self, service: &ServiceName, addr: SocketAddr) -> Result<(), String> {
        if *service != self.service {
            return Err(format!(
                "it names the service {service}, and the one of this node is {}",
                self.service
            ));
        }
        if addr == self.addr {
            self.is_addr_confirmed = true;
        } else if self.is_addr_confirmed {
            return Err(format!(
                "it names the address {addr}, and the one of this node is {}",
                self.addr
            ));
        }
        Ok(())
    }
}
