//! Appends to the log what must outlast this process: outcomes, rollbacks and announcements.

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

/// Pause between two looks at the waiting outcomes.
const OUTCOME_PERIOD: Duration = Duration::from_millis(200);
/// Pause after a failed append, up to twice as long.
const APPEND_RETRY: Duration = Duration::from_secs(1);
/// Longest pause between two attempts of an append.
const MAX_APPEND_RETRY: Duration = Duration::from_secs(30);
/// Largest delay of an announcement; 1,300 nodes that start at once append about 43 records/s.
const ANNOUNCE_JITTER: Duration = Duration::from_secs(30);
/// Announcements read when no seed answers.
const ANNOUNCEMENTS_READ: usize = 64;
/// Time without a seed after which the log is asked for members.
const SEED_PATIENCE: Duration = Duration::from_secs(2);

/// Starts to append waiting outcomes, and to look for members in the log if no seed answers.
pub fn start(node: &Rc<Node>) {
    let writer = node.clone();
    actix_rt::spawn(async move { append_outcomes(&writer).await });
    let seeker = node.clone();
    actix_rt::spawn(async move { find_members(&seeker).await });
}

async fn append_outcomes(node: &Rc<Node>) {
    let mut pause = APPEND_RETRY;
    loop {
        let next = node.state.borrow().outcomes.next_pending().cloned();
        let Some(outcome) = next else {
            actix_rt::time::sleep(OUTCOME_PERIOD).await;
            continue;
        };
        let record = codec::encode(&outcome).unwrap_or_default();
        if node.log_client.append(OUTCOME_STREAM, record).await.is_ok() {
            node.state
                .borrow_mut()
                .outcomes
                .on_appended(&outcome.identity);
            pause = APPEND_RETRY;
        } else {
            let jitter = node.state.borrow_mut().rng.random_range(1.0..2.0);
            actix_rt::time::sleep(pause.mul_f64(jitter)).await;
            pause = (pause * 2).min(MAX_APPEND_RETRY);
        }
    }
}

/// Appends a record to the `config` stream, trying until it succeeds. A record that is appended
/// twice has the same effect as once.
pub fn append_record(node: &Rc<Node>, record: &ConfigRecord) {
    let Ok(bytes) = codec::encode(record) else {
        return;
    };
    let node = node.clone();
    actix_rt::spawn(async move {
        let mut pause = APPEND_RETRY;
        while let Err(failure) = node.log_client.append(CONFIG_STREAM, bytes.clone()).await {
            warn!(node.log, "record not appended yet"; "failure" => failure.to_string());
            let jitter = node.state.borrow_mut().rng.random_range(1.0..2.0);
            actix_rt::time::sleep(pause.mul_f64(jitter)).await;
            pause = (pause * 2).min(MAX_APPEND_RETRY);
        }
    });
}

/// Announces this node in the `members` stream, after a random delay. A failure is not repeated,
/// since nodes also find each other by their seeds.
pub fn announce_member(node: &Rc<Node>) {
    let node = node.clone();
    actix_rt::spawn(async move {
        let delay = node.state.borrow_mut().rng.random_range(0.0..1.0);
        actix_rt::time::sleep(ANNOUNCE_JITTER.mul_f64(delay)).await;
        let member: Member = node.state.borrow().gossip.me().clone();
        if let Ok(record) = codec::encode(&Announcement { member }) {
            let _ = node.log_client.append(MEMBER_STREAM, record).await;
        }
    });
}

async fn find_members(node: &Rc<Node>) {
    loop {
        actix_rt::time::sleep(SEED_PATIENCE).await;
        if node.state.borrow().gossip.joined() {
            return;
        }
        let tail = node
            .log_client
            .read_tail(MEMBER_STREAM, ANNOUNCEMENTS_READ)
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
