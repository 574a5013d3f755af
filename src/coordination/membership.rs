//! Membership by SWIM with the Lifeguard corrections, see `docs/design.md`, section 5.

use crate::protocol::name::DomainName;
use crate::protocol::name::NodeId;
use crate::protocol::time::WallMs;

/// A member that left or died.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Departed {
    /// The member.
    pub id: NodeId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Wall time at which this node learned of it.
    pub at: WallMs,
}
