//! Retries of calls: recorded sessions of an entry node with serving nodes, random results, and
//! retry amplification in a deep call tree.

mod request_common;

use std::fmt::Write;
use std::time::Duration;

use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use request_common::SERVICE;
use request_common::VERSION;
use request_common::for_seeds;
use request_common::member;
use request_common::ms;
use sycamorewick::coordination::admission::Admission;
use sycamorewick::coordination::admission::Admit;
use sycamorewick::coordination::admission::CallState;
use sycamorewick::coordination::admission::RunEnd;
use sycamorewick::coordination::balancer::AttemptEnd;
use sycamorewick::coordination::balancer::Balancer;
use sycamorewick::coordination::balancer::Feedback;
use sycamorewick::coordination::retry::AttemptResult;
use sycamorewick::coordination::retry::BACKOFF_BASE;
use sycamorewick::coordination::retry::CallPlan;
use sycamorewick::coordination::retry::CallSpec;
use sycamorewick::coordination::retry::Next;
use sycamorewick::coordination::retry::RETRY_RESERVE;
use sycamorewick::coordination::retry::TokenBucket;
use sycamorewick::protocol::call::Executed;
use sycamorewick::protocol::gossip::Member;
use sycamorewick::protocol::gossip::MemberStatus;
use sycamorewick::protocol::name::NodeId;
use sycamorewick::result_code::ResultCode;

const DEADLINE: Duration = Duration::from_secs(2);
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);

fn spec(idempotent: bool, attempts: Option<u8>) -> CallSpec {
    CallSpec {
        idempotent,
        deadline: DEADLINE,
        attempt_timeout: ATTEMPT_TIMEOUT,
        attempts,
    }
}

fn responded(status: u16) -> AttemptResult {
    AttemptResult::Responded {
        status,
        attempts_left: None,
    }
}

/// One entry node and three serving nodes in its failure domain; the log is compared with a
/// snapshot.
struct Session {
    rng: StdRng,
    balancer: Balancer,
    bucket: TokenBucket,
    members: Vec<Member>,
    time: Duration,
    log: String,
}

struct Call {
    name: &'static str,
    plan: CallPlan,
    tried: Vec<NodeId>,
    next: Next,
}

impl Session {
    fn new() -> Self {
        let members: Vec<Member> = (0..3)
            .map(|i| member(&format!("n{i}"), "accra-1", i))
            .collect();
        let mut balancer = Balancer::new("me".into(), "accra".into(), "accra-1".into());
        balancer.on_members(ms(0), &members);
        Self {
            rng: StdRng::seed_from_u64(1),
            balancer,
            bucket: TokenBucket::new(),
            members,
            time: ms(0),
            log: String::new(),
        }
    }

    fn note(&mut self, text: &str) {
        writeln!(self.log, "{:>5} ms  {text}", self.time.as_millis()).unwrap();
    }

    fn call(&mut self, name: &'static str, idempotent: bool) -> Call {
        let mut plan = CallPlan::new(spec(idempotent, None));
        let next = plan.first(self.time, &mut self.bucket);
        let mut call = Call {
            name,
            plan,
            tried: Vec::new(),
            next,
        };
        self.attempt(&mut call);
        call
    }

    /// Starts the attempt that the plan asks for.
    fn attempt(&mut self, call: &mut Call) {
        let Next::Try {
            after,
            timeout,
            attempts_to_pass_on,
            reset_exclusions,
        } = call.next
        else {
            self.note(&format!("{}: {:?}", call.name, call.next));
            return;
        };
        if reset_exclusions {
            call.tried.clear();
        }
        self.time += after;
        let (service, version) = (SERVICE.into(), VERSION.into());
        let picked = self
            .balancer
            .pick(self.time, &mut self.rng, &service, &version, &call.tried)
            .unwrap();
        self.balancer.on_start(&picked.node);
        self.note(&format!(
            "{}: try at {} for {timeout:?}, passing on {attempts_to_pass_on}",
            call.name, picked.node
        ));
        call.tried.push(picked.node);
    }

    fn end(&mut self, call: &mut Call, result: AttemptResult) {
        self.note(&format!("{}: {result:?}", call.name));
        let node = call.tried.last().unwrap().clone();
        let end = match result {
            AttemptResult::Responded { .. } => AttemptEnd::Succeeded,
            AttemptResult::Refused(ResultCode::Overloaded) => AttemptEnd::Overloaded,
            AttemptResult::Refused(_) => AttemptEnd::Refused,
            AttemptResult::ConnectFailed => AttemptEnd::ConnectFailed,
            AttemptResult::TimedOut => AttemptEnd::TimedOut,
            _ => AttemptEnd::Failed,
        };
        let feedback = Feedback {
            end,
            latency: ms(10),
            load: None,
        };
        self.balancer.on_finish(self.time, &node, feedback);
        let others = self
            .balancer
            .has_untried(&SERVICE.into(), &VERSION.into(), &call.tried);
        let (now, rng) = (self.time, &mut self.rng);
        call.next = call
            .plan
            .on_result(now, rng, &mut self.bucket, result, others);
        self.attempt(call);
    }
}

/// A leaving node must let running calls finish, return queued calls for a retry and receive no new
/// ones.
#[gtest]
fn leave_during_calls() {
    let mut s = Session::new();
    let mut first = s.call("running", false);
    let leaving = first.tried[0].clone();
    let mut serving = Admission::new(1, 10);
    let Admit::Run(permit) = serving.offer(s.time, DEADLINE) else {
        panic!("the slot is free");
    };
    let mut first_state = CallState::new();
    first_state.forward(&permit);
    let mut second = s.call("queued", false);
    while second.tried[0] != leaving {
        s.end(&mut second, responded(200));
        second = s.call("queued", false);
    }
    expect_that!(
        serving.offer(s.time, DEADLINE),
        matches_pattern!(Admit::Wait(_))
    );
    s.time += ms(20);
    s.note(&format!("{leaving} drains"));
    for _ in serving.drain() {
        let run = CallState::new().answer(Executed::No);
        expect_that!(run, eq(Executed::No));
        s.end(&mut second, AttemptResult::Refused(ResultCode::Draining));
    }
    s.time += ms(5);
    s.end(&mut second, responded(201));
    for _ in 0..4 {
        let mut new = s.call("new", false);
        expect_that!(new.tried[0], not(eq(&leaving)));
        s.end(&mut new, responded(200));
    }
    s.time += ms(3_000);
    s.note("the pause is over, the update has arrived");
    let index = s.members.iter().position(|m| m.id == leaving).unwrap();
    s.members[index].status = MemberStatus::Leaving;
    s.balancer.on_member(s.time, &s.members[index]);
    let (local, _) = s.balancer.subset(&SERVICE.into(), &VERSION.into());
    expect_that!(local, not(contains(eq(&leaving))));
    expect_that!(first_state.answer(Executed::Yes), eq(Executed::Yes));
    let _ = serving.finish(s.time, permit, RunEnd::Responded);
    expect_that!(serving.is_drained(), eq(true));
    s.end(&mut first, responded(201));
    insta::assert_snapshot!(s.log);
}

/// A request must not crash one backend server after another by being retried.
#[gtest]
fn crashing_call_is_retried_once() {
    let mut s = Session::new();
    let mut call = s.call("lookup", true);
    s.time += ms(10);
    s.end(&mut call, AttemptResult::ConnectionDied);
    s.time += ms(10);
    s.end(&mut call, AttemptResult::ConnectionDied);
    let mut call = s.call("claim", false);
    s.time += ms(10);
    s.end(&mut call, AttemptResult::ConnectionDied);
    insta::assert_snapshot!(s.log);
}

/// A call must not spend its whole time on an unresponsive connection if it may be retried.
#[gtest]
fn unresponsive_connection_leaves_time_for_retry() {
    let mut s = Session::new();
    let mut call = s.call("lookup", true);
    s.time += ATTEMPT_TIMEOUT;
    s.end(&mut call, AttemptResult::TimedOut);
    s.time += ms(10);
    s.end(&mut call, responded(200));
    let mut call = s.call("claim", false);
    s.time = DEADLINE;
    s.end(&mut call, AttemptResult::TimedOut);
    insta::assert_snapshot!(s.log);
}

/// When all candidates are overloaded, retries must back off.
#[gtest]
fn overload_everywhere_backs_off() {
    let mut s = Session::new();
    let mut call = s.call("claim", false);
    for _ in 0..4 {
        s.time += ms(1);
        s.end(&mut call, AttemptResult::Refused(ResultCode::Overloaded));
    }
    expect_that!(
        call.next,
        eq(Next::Fail(ResultCode::RetryBudgetExhausted, Executed::No))
    );
    insta::assert_snapshot!(s.log);
}

/// A call must not be answered with "not run" if an earlier attempt may have run (invariant 6).
#[gtest]
fn refused_retry_of_unknown_attempt_is_unknown() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut bucket = TokenBucket::new();
    let mut plan = CallPlan::new(spec(true, None));
    plan.first(ms(0), &mut bucket);
    let mut result = |now, result| plan.on_result(now, &mut rng, &mut bucket, result, true);
    expect_that!(
        result(ms(500), AttemptResult::TimedOut),
        matches_pattern!(Next::Try { .. })
    );
    let refused = AttemptResult::Refused(ResultCode::RequestQuarantined);
    let expected = Next::Fail(ResultCode::RequestQuarantined, Executed::Unknown);
    expect_that!(result(ms(501), refused), eq(expected));
}

/// The rules of `docs/design.md`, section 3, must hold for any sequence of results.
#[gtest]
fn random_results_keep_the_rules() {
    for_seeds("retry::random_results_keep_the_rules", 5_000, |_, rng| {
        let idempotent = rng.random_bool(0.5);
        let budget = rng.random_range(0..6);
        let mut bucket = TokenBucket::new();
        for _ in 0..rng.random_range(0..RETRY_RESERVE) {
            bucket.take();
        }
        let tokens = bucket.available();
        let mut plan = CallPlan::new(spec(idempotent, Some(budget)));
        let mut now = ms(0);
        let mut next = plan.first(now, &mut bucket);
        let (mut tries, mut passed_on, mut ran, mut died) = (0, 0, false, 0);
        loop {
            match next {
                Next::Try {
                    after,
                    timeout,
                    attempts_to_pass_on,
                    ..
                } => {
                    now += after;
                    assert!(now + timeout <= DEADLINE, "attempt past the deadline");
                    assert!(idempotent || !ran, "retry of a call that may have run");
                    assert!(died < 2, "retry after two broken connections");
                    tries += 1;
                    assert!(
                        tries <= 1 + u32::from(budget),
                        "more retries than the budget"
                    );
                    assert!(tries <= 1 + tokens, "more retries than tokens");
                    assert!(
                        tries - 1 + passed_on + u32::from(attempts_to_pass_on) <= budget.into(),
                        "retries here and below exceed the budget"
                    );
                    let code = ResultCode::ALL[rng.random_range(0..ResultCode::ALL.len())];
                    let codes = [ResultCode::Overloaded, ResultCode::Draining, code];
                    let results = [
                        AttemptResult::Refused(codes[rng.random_range(0..3)]),
                        AttemptResult::ConnectFailed,
                        AttemptResult::Responded {
                            status: [200, 500, 503][rng.random_range(0..3)],
                            attempts_left: [None, Some(rng.random_range(0..9))]
                                [rng.random_range(0..2)],
                        },
                        AttemptResult::Unknown(ResultCode::InvalidResponse),
                        AttemptResult::TimedOut,
                        AttemptResult::ConnectionDied,
                    ];
                    let result = results[rng.random_range(0..results.len())];
                    now += if result == AttemptResult::TimedOut {
                        timeout
                    } else {
                        timeout.mul_f64(rng.random::<f64>())
                    };
                    let not_run = matches!(
                        result,
                        AttemptResult::Refused(_) | AttemptResult::ConnectFailed
                    );
                    if !not_run {
                        ran = true;
                        let left = match result {
                            AttemptResult::Responded { attempts_left, .. } => attempts_left,
                            _ => None,
                        };
                        let used = attempts_to_pass_on.saturating_sub(left.unwrap_or(0));
                        passed_on += u32::from(used);
                    }
                    died += u32::from(result == AttemptResult::ConnectionDied);
                    let others = rng.random_bool(0.7);
                    next = plan.on_result(now, rng, &mut bucket, result, others);
                    assert!(next != Next::Answer || ran);
                }
                Next::Answer => break,
                Next::Fail(_, run) => {
                    assert_eq!(run == Executed::No, !ran, "wrong statement on the run");
                    break;
                }
            }
        }
    });
}

/// The bucket must allow one retry per ten calls beyond its reserve, and must refill.
#[gtest]
fn bucket_allows_a_tenth_and_a_reserve() {
    let mut bucket = TokenBucket::new();
    let mut taken = 0;
    for _ in 0..1_000 {
        bucket.on_call();
        taken += u32::from(bucket.take());
    }
    expect_that!(taken, eq(100 + RETRY_RESERVE - 1));
    expect_that!(BACKOFF_BASE, lt(ATTEMPT_TIMEOUT));
}

#[derive(Clone, Copy)]
struct Policy {
    name: &'static str,
    /// Whether levels pass on the budget; otherwise each level has the default one.
    budget: bool,
    /// Whether a response reports the remaining budget.
    reported: bool,
    /// Whether retries take tokens of the node.
    tokens: bool,
}

const LEVELS: usize = 9;

struct Tree<'a> {
    policy: Policy,
    rng: &'a mut StdRng,
    buckets: Vec<TokenBucket>,
    failing: f64,
    lowest: u64,
    all: u64,
}

impl Tree<'_> {
    /// Simulates a call to level `level` from the level above. Returns the status and the remaining
    /// retry budget.
    fn call(&mut self, level: usize, attempts: Option<u8>) -> (u16, u8) {
        self.all += 1;
        if level == LEVELS {
            self.lowest += 1;
            let failed = self.rng.random_bool(self.failing);
            return (if failed { 503 } else { 200 }, attempts.unwrap_or(0));
        }
        let attempts = attempts.filter(|_| self.policy.budget);
        let mut plan = CallPlan::new(spec(true, attempts));
        if !self.policy.tokens {
            self.buckets[level] = TokenBucket::new();
        }
        let mut next = plan.first(ms(0), &mut self.buckets[level]);
        let mut status = 200;
        while let Next::Try {
            attempts_to_pass_on,
            ..
        } = next
        {
            let (result, left) = self.call(level + 1, Some(attempts_to_pass_on));
            status = result;
            // Without a shared budget, retries at lower levels do not reduce the budget of this
            // level.
            let attempts_left = if self.policy.budget {
                self.policy.reported.then_some(left)
            } else {
                Some(attempts_to_pass_on)
            };
            let result = AttemptResult::Responded {
                status,
                attempts_left,
            };
            let bucket = &mut self.buckets[level];
            next = plan.on_result(ms(0), self.rng, bucket, result, true);
        }
        (status, plan.budget_left())
    }
}

/// Retries must not multiply over nine levels when the lowest one fails.
#[gtest]
fn deep_tree_amplification() {
    let policies = [
        Policy {
            name: "3 retries per level",
            budget: false,
            reported: false,
            tokens: false,
        },
        Policy {
            name: "tokens",
            budget: false,
            reported: false,
            tokens: true,
        },
        Policy {
            name: "budget of the tree",
            budget: true,
            reported: false,
            tokens: false,
        },
        Policy {
            name: "budget and tokens",
            budget: true,
            reported: false,
            tokens: true,
        },
        Policy {
            name: "reported budget and tokens",
            budget: true,
            reported: true,
            tokens: true,
        },
    ];
    println!("failing policy, calls of the lowest level and of all per call, share that succeeds:");
    for failing in [0.05, 0.5, 1.0] {
        for policy in policies {
            // Without any bound, one call causes 4^9 calls when all fail.
            let unbounded = !policy.budget && !policy.tokens && failing > 0.9;
            let calls = if unbounded { 2 } else { 2_000 };
            let mut rng = StdRng::seed_from_u64(1);
            let mut tree = Tree {
                policy,
                rng: &mut rng,
                buckets: vec![TokenBucket::new(); LEVELS],
                failing,
                lowest: 0,
                all: 0,
            };
            let good = (0..calls).filter(|_| tree.call(0, None).0 == 200).count();
            let [lowest, all, good] = [tree.lowest, tree.all, good as u64]
                .map(|count| f64::from(u32::try_from(count).unwrap()) / f64::from(calls));
            let all = all / f64::from(u32::try_from(LEVELS + 1).unwrap());
            let percent = failing * 100.0;
            println!(
                "{percent:>4.0}% {:<27} {lowest:>10.2} {all:>10.2} {good:>6.3}",
                policy.name
            );
            if policy.budget {
                expect_that!(lowest, le(4.0));
            }
            if policy.tokens {
                // Each level makes at most a tenth more calls than it receives, plus its reserve.
                expect_that!(all, le(1.1_f64.powi(9) + 0.1));
            }
        }
    }
}
