//! One node of the simulated network.

use std::time::Duration;

use sycamorewick::coordination::dissemination::Gossip;
use sycamorewick::coordination::dissemination::GossipConfig;
use sycamorewick::protocol::codec;
use sycamorewick::protocol::gossip::SyncState;
use sycamorewick::protocol::time::WallMs;
use sycamorewick::protocol::time::millis;

use super::member;

/// Wall time at virtual time 0, milliseconds.
const WALL_START_MS: u64 = 1_700_000_000_000;

/// Traffic that a node sent. Datagrams count with their IP and UDP headers.
#[derive(Clone, Copy, Debug, Default)]
pub struct SentTraffic {
    pub datagrams: usize,
    pub bytes: usize,
    pub syncs: usize,
    pub sync_bytes: usize,
}

pub struct Node {
    pub gossip: Gossip,
    pub running: bool,
    pub paused_until: Duration,
    /// Partition of the network; nodes of different partitions cannot reach each other.
    pub partition: u8,
    pub sent: SentTraffic,
    pub declared_dead: usize,
    /// Numbers of nodes that have a version and of all nodes, as reported by [`Gossip`].
    pub version_statuses: Vec<(usize, usize)>,
    /// Number of restarts and kills. Events for an earlier epoch are dropped.
    pub epoch: u32,
    pub started: Duration,
    pub last_state: SyncState,
}

impl Node {
    pub fn start(index: usize, now: Duration, seed: u64) -> Self {
        let seeds = (0..4).map(|i| member(i, WallMs(0)).node_addr).collect();
        let me = member(index, wall(index, now));
        Self {
            gossip: Gossip::new(me, seed, GossipConfig { seeds }),
            running: true,
            paused_until: Duration::ZERO,
            partition: 0,
            sent: SentTraffic::default(),
            declared_dead: 0,
            version_statuses: Vec::new(),
            epoch: 0,
            started: now,
            last_state: SyncState::default(),
        }
    }

    pub fn count_sync(&mut self) -> SyncState {
        let state = self.gossip.sync_state();
        self.sent.syncs += 1;
        self.sent.sync_bytes += codec::encode(&state).expect("encodes").len();
        state
    }
}

/// Wall time at a node. The clocks of nodes differ by up to half a second.
pub fn wall(index: usize, now: Duration) -> WallMs {
    let skew = index as u64 * 137 % 500;
    WallMs(WALL_START_MS + millis(now) + skew)
}
