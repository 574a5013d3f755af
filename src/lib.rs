//! Distributes configuration across a service mesh and shifts traffic between versions of backend
//! servers. `docs/design.md` describes the design; the layers are [`transport`], [`protocol`],
//! [`coordination`] and [`state`].

pub mod coordination;
pub mod invariant;
pub mod protocol;
pub mod result_code;
pub mod state;
pub mod transport;
