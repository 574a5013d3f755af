//! Members, seeds and keys for the tests of the request path.
#![allow(dead_code, reason = "each test uses a part")]

use std::net::SocketAddr;
use std::panic;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use sycamorewick::protocol::gossip::BackendState;
use sycamorewick::protocol::gossip::Member;
use sycamorewick::protocol::gossip::MemberStatus;
use sycamorewick::protocol::time::WallMs;

pub const SERVICE: &str = "registry";
pub const VERSION: &str = "v1";

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns a live member with a backend server that is up. The domain starts with the region's name.
pub fn member(id: &str, domain: &str, index: u16) -> Member {
    let addr = SocketAddr::from(([127, 0, 0, 1], 10_000 + index));
    Member {
        id: id.into(),
        incarnation: 1,
        status: MemberStatus::Alive,
        region: domain.split('-').next().unwrap_or(domain).into(),
        domain: domain.into(),
        node_addr: addr,
        gossip_addr: addr,
        started_at: WallMs(0),
        backend: Some(BackendState {
            service: SERVICE.into(),
            version: VERSION.into(),
            slots: 10,
            up: true,
        }),
    }
}

/// Returns an idempotency key with a `UUIDv7` of this time.
pub fn key_at(wall: WallMs, number: u64) -> String {
    let mut bytes = [0_u8; 10];
    bytes[2..].copy_from_slice(&number.to_be_bytes());
    let id = uuid::Builder::from_unix_timestamp_millis(wall.0, &bytes).into_uuid();
    format!("claim/{id}")
}

/// Runs a test for a number of seeds, or for the one in `SEED`; `RUNS` overrides the number. A
/// failing seed prints the command that reproduces it.
pub fn for_seeds(test: &str, runs: u64, body: impl Fn(u64, &mut StdRng)) {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let seeds = match number("SEED") {
        Some(seed) => seed..seed + 1,
        None => 1..number("RUNS").unwrap_or(runs) + 1,
    };
    for seed in seeds {
        let run = panic::AssertUnwindSafe(|| body(seed, &mut StdRng::seed_from_u64(seed)));
        if let Err(cause) = panic::catch_unwind(run) {
            let file = test.split("::").next().unwrap_or(test);
            let name = test.rsplit("::").next().unwrap_or(test);
            println!("failing seed; repeat with: SEED={seed} cargo test --test {file} {name}");
            panic::resume_unwind(cause);
        }
    }
}
