//! Parts of the fault soak: the plan of faults, the proxy that puts them on connections, the processes,
//! the callers, and the judge. See `docs/soak.md`.

pub mod caller;
pub mod judge;
pub mod plan;
pub mod proxy;
pub mod world;
