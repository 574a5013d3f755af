//! Dissemination time and cost by fleet size, in virtual time and without message faults.
//! `GOSSIP_SIZES=20,40` sets the sizes. Run it with `--release -- --nocapture` to see the table.

mod support;

use std::env;
use std::time::Duration;

use sycamorewick::coordination::dissemination::Gossip;
use sycamorewick::protocol::gossip::BackendState;
use sycamorewick::protocol::gossip::MemberStatus;
use sycamorewick::protocol::gossip::Rollback;
use sycamorewick::protocol::gossip::RollbackCause;
use sycamorewick::protocol::gossip::RolloutKey;
use sycamorewick::protocol::name::ConfigVersion;

use support::checks;
use support::network::Network;
use support::node::SentTraffic;

const SECOND: Duration = Duration::from_secs(1);
const TICK: Duration = Duration::from_millis(100);
const STEP: Duration = Duration::from_millis(20);
/// Time within which a change of a backend server or a rollback must be known everywhere.
const SPREAD_BOUND: Duration = Duration::from_secs(2);
/// Time within which a configuration must be in force everywhere.
const VERSION_BOUND: Duration = Duration::from_secs(4);
/// Limit of the steady control traffic of a node, bytes/s.
const TRAFFIC_BUDGET: f64 = 2_048.0;
const SECONDS_PER_DAY: f64 = 86_400.0;

fn sent(net: &Network) -> SentTraffic {
    let mut sum = SentTraffic::default();
    for sent in net.nodes.iter().map(|n| n.sent) {
        sum.datagrams += sent.datagrams;
        sum.bytes += sent.bytes;
        sum.syncs += sent.syncs;
        sum.sync_bytes += sent.sync_bytes;
    }
    sum
}

/// Applies `change`, and returns the time until all nodes know of it and the bytes of datagrams per node
/// that it causes until 5 s later.
fn spread(
    net: &mut Network,
    idle: f64,
    bound: Duration,
    change: impl FnOnce(&mut Network),
    known: impl Fn(&Gossip) -> bool,
) -> (Duration, f64) {
    let count = net.nodes.len();
    let before = (sent(net).bytes, net.now);
    change(net);
    let took = net.run_until(bound, STEP, |net| net.count(&known) == count);
    let took = took.unwrap_or_else(|| panic!("{} of {count} know", net.count(&known)));
    net.run(SECOND * 5);
    let bytes = per_node(sent(net).bytes - before.0, count);
    (
        took,
        bytes - idle * net.now.saturating_sub(before.1).as_secs_f64(),
    )
}

#[expect(clippy::cast_precision_loss)]
fn per_node(bytes: usize, count: usize) -> f64 {
    bytes as f64 / count as f64
}

fn measure(count: usize) {
    let mut net = Network::new(count, 1);
    net.check_steps = count <= 20;
    let join = net.run_until(SECOND * 300, TICK, checks::has_converged);
    let join = join.expect("all nodes see each other within 300 s");
    let after_join = sent(&net);
    net.run(SECOND * 30);
    let before = sent(&net);
    net.run(SECOND * 30);
    let after = sent(&net);
    let idle = per_node(after.bytes - before.bytes, count) / 30.0;

    let backend = |net: &mut Network| {
        net.act(1, |g, now, wall| {
            let backend = BackendState {
                service: "booking".into(),
                version: "v2".into(),
                slots: 10,
                up: true,
            };
            g.set_backend(now, wall, Some(backend))
        });
    };
    let rollback = |net: &mut Network| {
        net.act(2, |g, now, wall| {
            let rollback = Rollback {
                key: RolloutKey {
                    service: "booking".into(),
                    to: "v2".into(),
                    since: ConfigVersion(1),
                },
                cause: RollbackCause::Errors,
                route: None,
                at: wall,
                by: g.me().id.clone(),
            };
            g.submit_rollback(now, wall, rollback)
        });
    };
    let publish = |net: &mut Network| {
        net.act(3, |g, now, _| g.on_new_version(now, ConfigVersion(5)));
        net.act(3, |g, now, _| {
            g.start_version_query(now, ConfigVersion(5));
            Vec::new()
        });
    };
    let leave = |net: &mut Network| net.act(4, Gossip::leave);
    let has_backend = |g: &Gossip| g.members().iter().any(|m| m.backend.is_some());
    let has_rollback = |g: &Gossip| !g.sync_state().rollbacks.is_empty();
    let has_version = |g: &Gossip| g.version() == ConfigVersion(5);
    let has_left = |g: &Gossip| g.members()[4].status == MemberStatus::Leaving;
    let up = spread(&mut net, idle, SPREAD_BOUND, backend, has_backend);
    let back = spread(&mut net, idle, SPREAD_BOUND, rollback, has_rollback);
    let version = spread(&mut net, idle, VERSION_BOUND, publish, has_version);
    let left = spread(&mut net, idle, SPREAD_BOUND, leave, has_left);
    let reported = net.nodes[3].version_statuses.clone();

    // A restart makes four changes: leaving, dead, alive again, backend server up. Each costs as much as
    // the change of the backend server above.
    let daily = (270.0 * 4.0 * up.1 + 1_100.0 * version.1) / SECONDS_PER_DAY;
    println!(
        "{count:5} {:7.1} {:9.0} {:9.0} {:7.0} {:6.2} {:6.0} {:6.2} {:6.0} {:6.2} {:6.0} {:6.2} {:7.0} {:7.0}  {reported:?}",
        join.as_secs_f64(),
        per_node(after_join.bytes, count),
        per_node(after_join.sync_bytes, count),
        idle,
        up.0.as_secs_f64(),
        up.1,
        back.0.as_secs_f64(),
        back.1,
        version.0.as_secs_f64(),
        version.1,
        left.0.as_secs_f64(),
        left.1,
        idle + daily,
    );
    assert!(idle + daily < TRAFFIC_BUDGET, "{:.0} bytes/s", idle + daily);
}

/// Measures the time until the loss of a failure domain is known everywhere and until a network partition
/// between the regions has healed, and the bytes of datagrams and full exchanges per node.
fn measure_faults(count: usize) {
    let mut net = Network::new(count, 1);
    net.check_steps = false;
    let joined = net.run_until(SECOND * 300, TICK, checks::has_converged);
    assert!(joined.is_some());
    let dead = |g: &Gossip| {
        g.members()
            .iter()
            .filter(|m| m.status == MemberStatus::Dead)
            .count()
    };
    let mut lost = 0;
    for index in 0..count {
        if net.nodes[index].gossip.me().domain.as_str() == "r1d2" {
            net.kill(index);
            lost += 1;
        }
    }
    let left = count - lost;
    let before = sent(&net);
    let domain = net.run_until(SECOND * 300, TICK, |net| {
        net.count(|g| dead(g) == lost) == left
    });
    let domain = domain.expect("the loss is known everywhere within 300 s");
    let domain_bytes = sent(&net).bytes - before.bytes;

    for node in &mut net.nodes {
        node.partition = u8::from(node.gossip.me().region.as_str() == "r0");
    }
    let start = (net.now, net.count(|g| dead(g) > lost));
    net.run(SECOND * 120);
    assert!(start.1 == 0 && net.count(|g| dead(g) > lost) == left);
    for node in &mut net.nodes {
        node.partition = 0;
    }
    let before = sent(&net);
    let heal = net.run_until(SECOND * 600, TICK, checks::has_converged);
    let heal = heal.expect("the partition heals within 600 s");
    let after = sent(&net);
    println!(
        "{count:5} {:8.1} {:8.0} {:8.1} {:8.0} {:9.0}",
        domain.as_secs_f64(),
        per_node(domain_bytes, left),
        heal.as_secs_f64(),
        per_node(after.bytes - before.bytes, left),
        per_node(after.sync_bytes - before.sync_bytes, left),
    );
}

fn sizes() -> Vec<usize> {
    let sizes = env::var("GOSSIP_SIZES").unwrap_or_else(|_| "20,40".into());
    let sizes = sizes.split(',');
    sizes.map(|s| s.parse().expect("a number")).collect()
}

/// Guards against recovery that does not finish within its bounds as the fleet grows.
#[test]
fn recovery_by_size() {
    println!(" size domain_s domain_B   heal_s   heal_B heal_synB");
    sizes().into_iter().for_each(measure_faults);
}

/// Guards against dissemination that exceeds its time bounds or the traffic budget as the fleet grows.
#[test]
fn spread_and_cost_by_size() {
    println!(
        " size  join_s join_udpB join_synB idle_Bs   up_s    up_B  back_s back_B  ver_s  ver_B left_s  left_B day_Bs  version reports"
    );
    sizes().into_iter().for_each(measure);
}
