//! Appends the records that must outlive this process to the log: outcomes, rollbacks and
//! announcements.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use slog::warn;

use crate::node::Node;
use crate::protocol::codec;
use crate::protocol::gossip::Member;
use crate::protocol::record::Announcement;
use crate::protocol::record::CONFIG_STREAM;
use crate::protocol::record::ConfigRecord;
use crate::protocol::record::MEMBER_STREAM;
use crate::protocol::record::OUTCOME_STREAM;

/// Period at which the queue of outcomes is checked while it is empty.
const OUTCOME_CHECK_PERIOD: Duration = Duration::from_millis(200);
/// First retry delay of an append; doubles up to [`MAX_APPEND_RETRY_DELAY`]. The delay is
/// multiplied by a random factor of up to 2.
const APPEND_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Maximum retry delay of an append, without the random factor.
const MAX_APPEND_RETRY_DELAY: Duration = Duration::from_secs(30);
/// Maximum random delay of an announcement; 1,300 nodes that start at once append about 43
/// records/s.
const MAX_ANNOUNCE_DELAY: Duration = Duration::from_secs(30);
/// Maximum number of announcements read if no seed answers.
const MAX_ANNOUNCEMENTS_READ: usize = 64;
/// Time without an answer from a seed after which members are looked up in the log.
const SEED_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts the tasks that append queued outcomes and that look up members in the log if no seed
/// answers.
pub fn start(node: &Rc<Node>) {
    let outcome_task_node = node.clone();
    actix_rt::spawn(async move { append_outcomes(&outcome_task_node).await });
    let member_task_node = node.clone();
    actix_rt::spawn(async move { find_members(&member_task_node).await });
}

async fn append_outcomes(node: &Rc<Node>) {
    let mut retry_delay = APPEND_RETRY_DELAY;
    loop {
        let next = node.state.borrow().outcomes.next_pending().cloned();
        let Some(outcome) = next else {
            actix_rt::time::sleep(OUTCOME_CHECK_PERIOD).await;
            continue;
        };
        let record = codec::encode(&outcome).unwrap_or_default();
        if node.log_client.append(OUTCOME_STREAM, record).await.is_ok() {
            node.state
                .borrow_mut()
                .outcomes
                .on_appended(&outcome.identity);
            retry_delay = APPEND_RETRY_DELAY;
        } else {
            let jitter = node.state.borrow_mut().rng.random_range(1.0..2.0);
            actix_rt::time::sleep(retry_delay.mul_f64(jitter)).await;
            retry_delay = (retry_delay * 2).min(MAX_APPEND_RETRY_DELAY);
        }
    }
}

/// Appends a record to the `config` stream and retries until it succeeds. Appending a record twice
/// has the same effect as appending it once.
pub fn append_record(node: &Rc<Node>, record: &ConfigRecord) {
    let Ok(bytes) = codec::encode(record) else {
        return;
    };
    let node = node.clone();
    actix_rt::spawn(async move {
        let mut retry_delay = APPEND_RETRY_DELAY;
        while let Err(failure) = node.log_client.append(CONFIG_STREAM, bytes.clone()).await {
            warn!(node.log, "cannot append a record; retrying"; "failure" => failure.to_string());
            let jitter = node.state.borrow_mut().rng.random_range(1.0..2.0);
            actix_rt::time::sleep(retry_delay.mul_f64(jitter)).await;
            retry_delay = (retry_delay * 2).min(MAX_APPEND_RETRY_DELAY);
        }
    });
}

/// Announces this node in the `members` stream after a random delay. A failed append is not
/// retried, since nodes also find each other through their seeds.
pub fn announce_member(node: &Rc<Node>) {
    let node = node.clone();
    actix_rt::spawn(async move {
        let factor = node.state.borrow_mut().rng.random_range(0.0..1.0);
        actix_rt::time::sleep(MAX_ANNOUNCE_DELAY.mul_f64(factor)).await;
        let member: Member = node.state.borrow().gossip.me().clone();
        if let Ok(record) = codec::encode(&Announcement { member }) {
            let _ = node.log_client.append(MEMBER_STREAM, record).await;
        }
    });
}

async fn find_members(node: &Rc<Node>) {
    loop {
        actix_rt::time::sleep(SEED_TIMEOUT).await;
        if node.state.borrow().gossip.joined() {
            return;
        }
        let tail = node
            .log_client
            .read_tail(MEMBER_STREAM, MAX_ANNOUNCEMENTS_READ)
            .await;
        let records = tail.map(|batch| batch.records).unwrap_or_default();
        let seeds: Vec<_> = records
            .iter()
            .filter_map(|(_, bytes)| codec::decode::<Announcement>(bytes).ok())
            .map(|announcement| announcement.member.node_addr)
            .filter(|addr| *addr != node.settings.node_addr)
            .collect();
        node.state.borrow_mut().gossip.add_seeds(&seeds);
    }
}
