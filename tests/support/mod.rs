//! A simulated gossip network for the tests.

#![allow(dead_code, reason = "each test file uses a part of the module")]

pub mod checks;
pub mod network;
pub mod node;

use sycamorewick::protocol::gossip::Member;
use sycamorewick::protocol::gossip::MemberStatus;
use sycamorewick::protocol::time::WallMs;

/// Returns the member record of node `index` in a fleet of two regions with three failure domains each.
pub fn member(index: usize, started_at: WallMs) -> Member {
    let region = format!("r{}", index % 2);
    let port = u16::try_from(index).expect("few nodes");
    Member {
        id: format!("n{index:02}").into(),
        incarnation: 0,
        status: MemberStatus::Alive,
        domain: format!("{region}d{}", index / 2 % 3).into(),
        region: region.into(),
        node_addr: ([127, 0, 0, 1], 20_000 + port).into(),
        gossip_addr: ([127, 0, 0, 1], 10_000 + port).into(),
        started_at,
        backend: None,
    }
}
