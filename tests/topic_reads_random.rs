//! Randomised reads of a topic at a simulated store, in virtual time.

use std::time::Duration;

use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sycamorewick::coordination::topic_cursor::NextRead;
use sycamorewick::coordination::topic_cursor::TopicCursor;

/// Time within which a record has to be known after the store has acknowledged it.
const REQUIRED_TIME: Duration = Duration::from_secs(2);
/// Time after a disturbance of the store from which [`REQUIRED_TIME`] holds.
const CONTACT: Duration = Duration::from_secs(3);
/// Longest wait of a read, 0.45 of [`REQUIRED_TIME`] as in the sidecar.
const LONGEST_WAIT: Duration = Duration::from_millis(900);
/// Pause after a read that returned records, as in the sidecar.
const BURST_PAUSE: Duration = Duration::from_millis(250);
/// Time for which records are appended.
const RUN_LENGTH: Duration = Duration::from_secs(40);
const SEEDS: u64 = 3_000;

/// A record and the times at which the store began and finished to append it.
#[derive(Clone, Copy, Debug)]
struct Append {
    begun: Duration,
    done: Duration,
}

/// What the store does to the calls that it has in a period.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Disturbance {
    /// Calls take 60 times as long.
    Slow,
    /// Calls that wait or arrive get no response.
    Silent,
    /// Calls that wait or arrive are refused.
    Refusing,
}

#[derive(Debug)]
struct Store {
    appends: Vec<Append>,
    disturbances: Vec<(Duration, Duration, Disturbance)>,
    one_way: Duration,
}

/// Response of the store: its end offset, and when it is received.
enum Response {
    End(u64, Duration),
    Refused(Duration),
    Lost,
}

impl Store {
    fn random(rng: &mut StdRng) -> Self {
        let mut appends = Vec::new();
        let mut at = Duration::from_millis(rng.random_range(0..3_000));
        while at < RUN_LENGTH {
            appends.push(at);
            // Most gaps are close to the cycle of a reader, where reads and appends meet.
            let gap = match rng.random_range(0..4) {
                0 => rng.random_range(100..400),
                1 => rng.random_range(1_240..1_340),
                2 => rng.random_range(1_100..2_400),
                _ => rng.random_range(3_000..9_000),
            };
            at += Duration::from_millis(gap) + Duration::from_micros(rng.random_range(0..1_000));
        }
        let mut disturbances = Vec::new();
        if rng.random_bool(0.5) {
            let begin = Duration::from_millis(rng.random_range(2_000..20_000));
            let length = Duration::from_millis(rng.random_range(500..9_000));
            let kinds = [
                Disturbance::Slow,
                Disturbance::Silent,
                Disturbance::Refusing,
            ];
            let kind = kinds[rng.random_range(0..kinds.len())];
            disturbances.push((begin, begin + length, kind));
        }
        let mut store = Self {
            appends: Vec::new(),
            disturbances,
            one_way: Duration::from_micros(rng.random_range(300..12_000)),
        };
        for begun in appends {
            let done = begun + Duration::from_millis(4) * store.factor(begun);
            store.appends.push(Append { begun, done });
        }
        store.appends.sort_unstable_by_key(|append| append.done);
        store
    }

    fn disturbance(&self, now: Duration) -> Option<Disturbance> {
        let found = self
            .disturbances
            .iter()
            .find(|(from, to, _)| (*from..*to).contains(&now));
        found.map(|(_, _, kind)| *kind)
    }

    fn factor(&self, now: Duration) -> u32 {
        if self.disturbance(now) == Some(Disturbance::Slow) {
            60
        } else {
            1
        }
    }

    fn end(&self, now: Duration) -> u64 {
        self.appends.partition_point(|append| append.done <= now) as u64
    }

    /// Responds to a read that is sent at `sent`. An append that is in progress while the read arrives
    /// does not wake the read.
    fn read(&self, sent: Duration, from: Option<u64>, wait: Duration) -> Response {
        let arrived = sent + self.one_way;
        match self.disturbance(arrived) {
            Some(Disturbance::Silent) => return Response::Lost,
            Some(Disturbance::Refusing) => return Response::Refused(arrived + self.one_way),
            _ => {}
        }
        let ready = match from {
            Some(from) if self.end(arrived) <= from => {
                let woken = self.appends.iter().find(|append| append.begun > arrived);
                let woken = woken.map_or(Duration::MAX, |append| append.done);
                woken.min(arrived + wait)
            }
            _ => arrived,
        };
        let lost = |(from, to, kind): &(Duration, Duration, Disturbance)| {
            *kind != Disturbance::Slow && *from <= ready && *to > arrived
        };
        if self.disturbances.iter().any(lost) {
            // A call that waits when the outage begins gets no response either.
            return Response::Lost;
        }
        let sent_back = ready + Duration::from_millis(1) * self.factor(ready);
        Response::End(self.end(ready), sent_back + self.one_way)
    }

    /// Time by which a node in touch has to know a record.
    fn due(&self, append: Append) -> Duration {
        let begun_before =
            |(from, _, _): &&(Duration, Duration, Disturbance)| *from < append.done + REQUIRED_TIME;
        let disturbed = self.disturbances.iter().filter(begun_before);
        let calm = disturbed.map(|(_, to, _)| *to + CONTACT).max();
        append.done.max(calm.unwrap_or_default()) + REQUIRED_TIME
    }
}

/// Times at which the reader knew each number of records.
fn run_reader(store: &Store, rng: &mut StdRng) -> Vec<(u64, Duration)> {
    let mut cursor = TopicCursor::default();
    let mut known = Vec::new();
    let mut now = Duration::ZERO;
    while now < RUN_LENGTH + Duration::from_secs(30) {
        let call = cursor.next_call(LONGEST_WAIT);
        let from = match call.read {
            NextRead::Newest => None,
            NextRead::From(from) => Some(from),
        };
        let timeout = call.wait + call.timeout;
        let began = now;
        match store.read(now, from, call.wait) {
            Response::End(end, received) if received <= began + timeout => {
                now = received;
                match from {
                    None => cursor.on_newest(&[end.saturating_sub(1)], usize::from(end > 0), end),
                    Some(_) => cursor.on_read(end),
                }
                known.push((end, now));
                if from.is_some_and(|from| end > from) {
                    now += BURST_PAUSE;
                }
                // Timers fire late and other work takes the processor.
                now += Duration::from_micros(rng.random_range(0..20_000));
            }
            response => {
                now = match response {
                    Response::Refused(at) => at,
                    _ => began + timeout,
                };
                now += cursor.on_failure(rng.random_range(0.5..1.0));
            }
        }
    }
    known
}

/// Guards against a record that a long poll misses because it is appended while the poll arrives, or
/// that is lost with a poll that gets no response: the node stays on an old configuration until the next
/// change, or for 25 s.
#[gtest]
fn reads_any_order() {
    let mut late = Vec::new();
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let store = Store::random(&mut rng);
        let known = run_reader(&store, &mut rng);
        for (index, append) in store.appends.iter().enumerate() {
            let known_at = known.iter().find(|(end, _)| *end > index as u64);
            let due = store.due(*append);
            if known_at.is_none_or(|(_, at)| *at > due) {
                late.push((seed, index, append.done, known_at.map(|(_, at)| *at)));
            }
        }
    }
    late.truncate(5);
    expect_that!(late, is_empty());
}
