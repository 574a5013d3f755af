//! Conditions that tests check on a simulated network.

use sycamorewick::coordination::dissemination::Gossip;
use sycamorewick::protocol::gossip::MemberStatus;
use sycamorewick::protocol::gossip::SyncState;

use super::network::Network;

/// Asserts that versions, incarnations and grow-only state have not decreased. Crash reports expire, so the
/// tests compare them instead.
pub fn assert_monotonic(old: &SyncState, new: &SyncState) {
    assert!(
        new.version >= old.version,
        "configuration version decreased"
    );
    for member in &old.members {
        let found = new.members.binary_search_by(|m| m.id.cmp(&member.id));
        let now = found.map(|i| &new.members[i]);
        let rank = (member.incarnation, member.status);
        let kept = now.is_ok_and(|n| (n.incarnation, n.status) >= rank);
        assert!(kept, "member record went back: {member:?} to {now:?}");
    }
    for progress in &old.progress {
        let now = new.progress.iter().find(|p| p.key == progress.key);
        assert!(
            now.is_some_and(|n| n.step >= progress.step),
            "rollout step decreased"
        );
    }
    for rollback in &old.rollbacks {
        assert!(new.rollbacks.iter().any(|r| r.key == rollback.key));
    }
}

/// Whether every running node sees exactly the running nodes as alive, and all digests are equal.
pub fn has_converged(net: &Network) -> bool {
    let running = net.count(|_| true);
    let seen = |g: &Gossip, status| g.members().iter().filter(|m| m.status == status).count();
    let first = net.nodes.iter().find(|n| n.running);
    let digest = first.map_or(0, |n| n.gossip.digest());
    let agreed = net.count(|g| {
        g.digest() == digest
            && seen(g, MemberStatus::Alive) == running
            && seen(g, MemberStatus::Dead) + running == g.members().len()
    });
    agreed == running
}
