//! Explanations of the choice of a node, against the choices themselves.

mod fleet_common;

use std::cell::Cell;
use std::time::Duration;

use fleet_common::SERVICE;
use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use sycamorewick::coordination::domains::evacuation::Evacuations;
use sycamorewick::coordination::domains::homes::AllowedRegions;
use sycamorewick::coordination::placement::AttemptEnd;
use sycamorewick::coordination::placement::Feedback;
use sycamorewick::coordination::placement::Pick;
use sycamorewick::coordination::placement::PickRequest;
use sycamorewick::coordination::placement::Placement;
use sycamorewick::coordination::workspaces::quota::QuotaBounds;
use sycamorewick::coordination::workspaces::quota::QuotaDecision;
use sycamorewick::coordination::workspaces::quota::QuotaLimiter;
use sycamorewick::protocol::explain::Availability;
use sycamorewick::protocol::explain::CandidateView;
use sycamorewick::protocol::explain::ExplainRequest;
use sycamorewick::protocol::explain::NotChosen;
use sycamorewick::protocol::fleet::FleetEntry;
use sycamorewick::protocol::hop::BackendTotals;
use sycamorewick::protocol::hop::Load;
use sycamorewick::protocol::hop::RequestRate;
use sycamorewick::protocol::mesh::KeyHash;
use sycamorewick::protocol::mesh::Quota;
use sycamorewick::protocol::mesh::Workspace;
use sycamorewick::protocol::name::NodeId;
use sycamorewick::protocol::name::VersionName;
use sycamorewick::protocol::usage::UsageTotals;
use sycamorewick::protocol::usage::WorkspaceTotal;

const SLOTS: u32 = 8;
const ROUTE: &str = "lookup";
/// Regions with two failure domains each.
const REGIONS: [&str; 2] = ["accra", "keta"];
/// Seeds of the fleets with random loads and failures.
const SEEDS: u64 = 200;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn name(index: usize) -> NodeId {
    format!("n{index}").as_str().into()
}

fn entry(index: usize, domain: &str, service: &str, version: &str) -> FleetEntry {
    let region = domain.split('-').next().unwrap_or_default();
    let port = 7_000 + u16::try_from(index).unwrap_or(0);
    let mut entry = fleet_common::entry(name(index).as_str(), region, domain, port, SLOTS);
    if let Some(backend) = &mut entry.backend {
        backend.service = service.into();
        backend.version = version.into();
    }
    entry
}

/// Returns the placement of node `n0` in `accra-a`.
fn placement(is_spilling: bool) -> Placement {
    let placement = Placement::new(name(0), "accra".into(), "accra-a".into());
    if is_spilling {
        placement.with_spillover()
    } else {
        placement
    }
}

/// What a call requires of a node.
struct Requirements {
    tried: Vec<NodeId>,
    version: Option<VersionName>,
    regions: AllowedRegions,
    evacuations: Evacuations,
}

impl Requirements {
    fn none() -> Self {
        Self {
            tried: Vec::new(),
            version: None,
            regions: AllowedRegions::Any,
            evacuations: Evacuations::default(),
        }
    }

    /// Calls `decide` with the request of a call.
    fn with<T>(&self, decide: impl FnOnce(&PickRequest<'_>) -> T) -> T {
        let allows = |_: &NodeId, version: &VersionName| {
            self.version.as_ref().is_none_or(|only| only == version)
        };
        decide(&PickRequest {
            service: &SERVICE.into(),
            route: &ROUTE.into(),
            objective: ms(250),
            idempotent: true,
            request_bytes: 300,
            tried: &self.tried,
            is_allowed: &allows,
            regions: &self.regions,
            evacuations: &self.evacuations,
        })
    }
}

fn end(placement: &mut Placement, now: Duration, node: &NodeId, end: AttemptEnd) {
    let feedback = Feedback {
        incarnation: &(node.as_str().into(), 1),
        end,
        run: ms(60),
        report: None,
        bytes: 400,
    };
    placement.on_start(node);
    placement.on_end(now, node, &ROUTE.into(), &feedback);
}

fn load(placement: &mut Placement, now: Duration, node: &NodeId, running: u32, waiting: u32) {
    let load = Load {
        running,
        waiting,
        slots: SLOTS,
        mean_run_ms: 60,
        ..Load::default()
    };
    placement.on_report(now, node, load, BackendTotals::default());
}

/// Builds a fleet with random nodes, loads and ends of attempts.
fn random_fleet(rng: &mut StdRng) -> Placement {
    let mut placement = placement(rng.random_bool(0.6));
    let nodes = rng.random_range(1..12);
    for index in 0..nodes {
        let region = REGIONS[rng.random_range(0..2)];
        let part = if rng.random_bool(0.5) { "a" } else { "b" };
        let domain = if index == 0 {
            "accra-a".to_owned()
        } else {
            format!("{region}-{part}")
        };
        let service = if rng.random_bool(0.9) {
            SERVICE
        } else {
            "booth"
        };
        let version = if rng.random_bool(0.7) { "v1" } else { "v2" };
        placement.on_entry(ms(0), &entry(index, &domain, service, version));
    }
    for event in 0..rng.random_range(0..60) {
        let now = ms(1_000 + 20 * event);
        let node = name(rng.random_range(0..nodes));
        match rng.random_range(0..5) {
            0 => end(&mut placement, now, &node, AttemptEnd::Overloaded),
            1 => end(&mut placement, now, &node, AttemptEnd::Unreachable),
            2 => end(
                &mut placement,
                now,
                &node,
                AttemptEnd::Ran { failed: false },
            ),
            _ => load(
                &mut placement,
                now,
                &node,
                rng.random_range(0..=SLOTS),
                rng.random_range(0..6),
            ),
        }
    }
    placement
}

fn random_requirements(rng: &mut StdRng) -> Requirements {
    let mut requirements = Requirements::none();
    if rng.random_bool(0.3) {
        requirements.version = Some("v1".into());
    }
    if rng.random_bool(0.3) {
        let homes = [REGIONS[rng.random_range(0..2)].into()];
        requirements.regions = AllowedRegions::Any.restricted_to(&homes);
    }
    if rng.random_bool(0.2) {
        let evacuations = &mut requirements.evacuations;
        evacuations.on_record(ms(0), &"accra-b".into(), 1, true);
    }
    if rng.random_bool(0.2) {
        requirements.tried = vec![name(rng.random_range(0..4))];
    }
    requirements
}

/// Guards against an explanation that decides otherwise than a call, that draws other random numbers, or that
/// changes what it was asked of.
#[gtest]
fn explain_like_pick() {
    let mut spillovers = 0;
    let mut refused = 0;
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut placement = random_fleet(&mut rng);
        for call in 0..30 {
            let now = ms(2_200 + 10 * call);
            let requirements = random_requirements(&mut rng);
            let numbers = rng.random();
            let mut copy = placement.clone();
            let before = format!("{placement:?}");
            let mut copied_rng = StdRng::seed_from_u64(numbers);
            let (explained, views) =
                requirements.with(|request| copy.explain(now, &mut copied_rng, request));
            expect_that!(format!("{placement:?}"), eq(&before), "seed {seed}");

            let mut call_rng = StdRng::seed_from_u64(numbers);
            let picked = requirements.with(|request| placement.pick(now, &mut call_rng, request));
            expect_that!(format!("{explained:?}"), eq(&format!("{picked:?}")));
            expect_true!(copied_rng == call_rng, "seed {seed}: other random numbers");
            expect_that!(format!("{copy:?}"), eq(&format!("{placement:?}")));
            check_views(&views, picked.as_ref(), &placement);
            spillovers += u32::from(picked.as_ref().is_some_and(|pick| pick.is_spillover));
            refused += u32::from(picked.is_none());
            if let Some(pick) = picked {
                placement.on_start(&pick.node);
            }
        }
    }
    // The fleets have both.
    expect_that!(spillovers, gt(20));
    expect_that!(refused, gt(20));
}

/// Checks that all nodes are listed, and that the reasons agree with the figures.
fn check_views(views: &[CandidateView], pick: Option<&Pick>, placement: &Placement) {
    let listed: Vec<&NodeId> = views.iter().map(|view| &view.node).collect();
    let known: Vec<&NodeId> = placement.entries().map(|entry| &entry.node).collect();
    expect_that!(listed, eq(&known));
    let chosen = views.iter().filter(|view| view.not_chosen.is_none());
    let chosen: Vec<&CandidateView> = chosen.collect();
    expect_that!(
        chosen.first().map(|view| &view.node),
        eq(pick.map(|pick| &pick.node))
    );
    expect_that!(chosen.len(), eq(usize::from(pick.is_some())));
    for view in views {
        let costs_more = |view: &CandidateView| {
            chosen.iter().all(|chosen| {
                view.cost_ms >= chosen.cost_ms && view.availability >= chosen.availability
                    || view.availability > chosen.availability
            })
        };
        match view.not_chosen {
            None => expect_that!(view.cost_ms, eq(pick.map(|pick| pick.cost_ms))),
            Some(NotChosen::CostsMore) => expect_true!(costs_more(view), "{view:?} {chosen:?}"),
            Some(NotChosen::SpilloverShare) => {
                expect_that!(view.availability, eq(Availability::Available));
                expect_that!(view.failure_domain.as_str(), not(eq("accra-a")));
            }
            Some(NotChosen::NoSpareSlot) => {
                expect_that!(view.failure_domain.as_str(), not(eq("accra-a")));
            }
            Some(NotChosen::Unreachable) => {
                expect_that!(view.availability, eq(Availability::Unreachable));
            }
            Some(NotChosen::Overloaded) => {
                expect_that!(view.availability, eq(Availability::Overloaded));
            }
            Some(_) => expect_that!(view.cost_ms, none()),
        }
    }
}

/// Guards against a node with another reason than the one for which it was not chosen.
#[gtest]
fn explain_reasons() {
    let mut placement = placement(false);
    let nodes = [
        ("accra-a", SERVICE, "v1"),
        ("accra-a", "booth", "v1"),
        ("accra-b", SERVICE, "v2"),
        ("accra-c", SERVICE, "v1"),
        ("keta-a", SERVICE, "v1"),
        ("accra-a", SERVICE, "v1"),
        ("accra-a", SERVICE, "v1"),
        ("accra-d", SERVICE, "v1"),
        ("accra-a", SERVICE, "v1"),
    ];
    for (index, (domain, service, version)) in nodes.into_iter().enumerate() {
        placement.on_entry(ms(0), &entry(index, domain, service, version));
    }
    let now = ms(1_000);
    end(&mut placement, now, &name(5), AttemptEnd::Unreachable);
    end(&mut placement, now, &name(6), AttemptEnd::Overloaded);
    load(&mut placement, ms(900), &name(0), 1, 0);
    let mut requirements = Requirements::none();
    requirements.version = Some("v1".into());
    requirements.regions = AllowedRegions::Any.restricted_to(&["accra".into()]);
    requirements.tried = vec![name(8)];
    let evacuations = &mut requirements.evacuations;
    evacuations.on_record(ms(0), &"accra-c".into(), 1, true);
    let mut rng = StdRng::seed_from_u64(1);
    let (pick, views) = requirements.with(|request| placement.explain(now, &mut rng, request));
    expect_that!(pick.map(|pick| pick.node), some(eq(&name(0))));
    let reasons: Vec<Option<NotChosen>> = views.iter().map(|view| view.not_chosen).collect();
    expect_that!(
        reasons,
        elements_are![
            none(),
            some(eq(&NotChosen::NoBackend)),
            some(eq(&NotChosen::VersionNotAllowed)),
            some(eq(&NotChosen::Evacuated)),
            some(eq(&NotChosen::OutsideHome)),
            some(eq(&NotChosen::Unreachable)),
            some(eq(&NotChosen::Overloaded)),
            some(eq(&NotChosen::CostsMore)),
            some(eq(&NotChosen::Tried)),
        ]
    );
    expect_that!(views[0].load_age_ms, some(eq(100)));
    expect_that!(views[7].load_age_ms, none());
    expect_that!(views[7].region.as_str(), eq("accra"));
}

/// Guards against a node of another failure domain that costs less, and whose reason does not say that only a share
/// of the calls leaves.
#[gtest]
fn explain_spillover_share() {
    let mut placement = placement(true);
    for (index, domain) in ["accra-a", "accra-a", "accra-b", "accra-b"]
        .into_iter()
        .enumerate()
    {
        placement.on_entry(ms(0), &entry(index, domain, SERVICE, "v1"));
    }
    let requirements = Requirements::none();
    let (mut stayed, mut left) = (0, 0);
    for call in 0..200 {
        let now = ms(1_000 + call);
        load(&mut placement, now, &name(0), SLOTS, 20);
        load(&mut placement, now, &name(1), SLOTS, 20);
        load(&mut placement, now, &name(2), 1, 0);
        load(&mut placement, now, &name(3), SLOTS, 9);
        let mut copy = placement.clone();
        let mut rng = StdRng::seed_from_u64(call);
        let (pick, views) = requirements.with(|request| copy.explain(now, &mut rng, request));
        let pick = pick.expect("a node");
        expect_that!(pick.spill_share, gt(0.0));
        expect_that!(views[3].not_chosen, some(eq(NotChosen::NoSpareSlot)));
        if pick.is_spillover {
            left += 1;
            expect_that!(pick.node, eq(&name(2)));
            expect_that!(views[0].not_chosen, some(eq(NotChosen::CostsMore)));
        } else {
            stayed += 1;
            expect_that!(views[2].not_chosen, some(eq(NotChosen::SpilloverShare)));
        }
    }
    // The explanations do not make the share grow, so about a tenth leaves.
    expect_that!(left, gt(0));
    expect_that!(stayed, gt(100));
}

fn limiter(now: Duration) -> QuotaLimiter {
    let bounds = QuotaBounds {
        window: ms(5_000),
        excess: 0.1,
        slack: 20.0,
    };
    let workspace = Workspace {
        name: "acme".into(),
        keys: Vec::new(),
        priority: 0,
        quota: RequestRate::from_per_s(10.0).map(|rate| Quota { rate, burst: 10 }),
        homes: Vec::new(),
    };
    let mut limiter = QuotaLimiter::new(bounds);
    limiter.set_nodes(2);
    limiter.set_workspaces(now, &[workspace], &mut StdRng::seed_from_u64(1));
    limiter
}

/// Guards against a view of a quota that differs from what the next request finds, and that takes a token.
#[gtest]
fn quota_view_like_admit() {
    let workspace = "acme".into();
    let mut limiter = limiter(ms(0));
    let mut rng = StdRng::seed_from_u64(2);
    let mut refusals = 0;
    for step in 1..400 {
        let now = ms(step * 20);
        if step == 200 {
            let totals = UsageTotals {
                run: 1,
                sequence: 1,
                covered: 1.0,
                totals: vec![WorkspaceTotal {
                    workspace: "acme".into(),
                    demand: 40,
                    level: 3.0,
                }],
            };
            limiter.on_totals(now, &[], &totals);
        }
        let before = format!("{limiter:?}");
        let view = limiter.view(now, &workspace).expect("a quota");
        expect_that!(format!("{limiter:?}"), eq(&before));
        expect_that!(limiter.view(now, &"birch".into()), none());
        expect_that!((view.per_s, view.burst), eq((10.0, 10)));
        if let QuotaDecision::Refused(refusal) = limiter.admit(now, &workspace, &mut rng) {
            refusals += 1;
            expect_that!(view.tokens, eq(refusal.tokens));
            expect_that!(view.share, eq(refusal.share));
            expect_that!(view.level, eq(refusal.level));
        }
    }
    expect_that!(refusals, gt(100));
}

/// Guards against an error that does not name the invalid field, or that repeats a key.
#[gtest]
fn explain_request_errors_name_field() {
    let key = "key-of-acme-51f0";
    let hash = KeyHash::of(key.as_bytes()).to_hex();
    let valid = r#""host": "a.example", "path": "/x""#;
    let with_hash = format!(r#"{{ {valid}, "key_hash": "{hash}" }}"#);
    let request = ExplainRequest::parse(with_hash.as_bytes()).expect("a valid request");
    expect_true!(request.key_hash == Some(KeyHash::of(key.as_bytes())));
    for (text, field) in [
        (r#"{ "path": "/x" }"#.to_owned(), "host"),
        (r#"{ "host": "", "path": "/x" }"#.to_owned(), "host"),
        (r#"{ "host": "a.example" }"#.to_owned(), "path"),
        (r#"{ "host": "a.example", "path": "x" }"#.to_owned(), "path"),
        (
            r#"{ "host": "a.example", "path": "/a b" }"#.to_owned(),
            "path",
        ),
        (format!(r#"{{ {valid}, "body_bytes": -1 }}"#), "body_bytes"),
        (
            format!(r#"{{ {valid}, "time_left_ms": "x" }}"#),
            "time_left_ms",
        ),
        (format!(r#"{{ {valid}, "key_hash": "{key}" }}"#), "key_hash"),
        (format!(r#"{{ {valid}, "colour": 1 }}"#), "colour"),
        (
            format!(r#"{{ {valid}, "key_hash": "{hash}", "workspace": "acme" }}"#),
            "workspace",
        ),
    ] {
        let error = ExplainRequest::parse(text.as_bytes()).err();
        let error = error.unwrap_or_default();
        expect_that!(error, contains_substring(field), "{text}");
        expect_that!(error, not(contains_substring(key)));
    }
    for hash in ["", "ab", &"g".repeat(64), &"é".repeat(32)] {
        expect_true!(KeyHash::from_hex(hash).is_none(), "{hash}");
    }
}

/// Guards against an error that sends a value of the body back, which may be a credential in the wrong place.
#[gtest]
fn explain_request_errors_without_values() {
    let key = "key-of-acme-51f0";
    let valid = r#""host": "a.example", "path": "/x""#;
    for (text, field) in [
        (format!(r#"{{ "host": ["{key}"], "path": "/x" }}"#), "host"),
        (format!(r#"{{ "host": "{key} ", "path": "/x" }}"#), "host"),
        (
            format!(r#"{{ "host": "a.example", "path": {{ "{key}": 1 }} }}"#),
            "path",
        ),
        (
            format!(r#"{{ {valid}, "key_hash": ["{key}"] }}"#),
            "key_hash",
        ),
        (
            format!(r#"{{ {valid}, "workspace": {{ "{key}": "{key}" }} }}"#),
            "workspace",
        ),
        (format!(r#"{{ {valid}, "workspace": 7151 }}"#), "workspace"),
        (
            format!(r#"{{ {valid}, "body_bytes": "{key}" }}"#),
            "body_bytes",
        ),
        (
            format!(r#"{{ {valid}, "body_bytes": -7151 }}"#),
            "body_bytes",
        ),
        (
            format!(r#"{{ {valid}, "time_left_ms": "{key}" }}"#),
            "time_left_ms",
        ),
        (format!(r#"{{ {valid}, "colour": "{key}" }}"#), "colour"),
        (format!(r#"{{ {valid}, "{key}": 1 }}"#), "body"),
        (format!(r#"{{ {valid}, "host": "{key}" }}"#), "host"),
        (format!(r#""{key}""#), "body"),
        (format!(r#"{{ {valid} }} "{key}""#), "body"),
        (format!(r"{{ {valid}, {key} }}"), "body"),
        (r#"{ "path": "/x" }"#.to_owned(), "host"),
        (r#"{ "host": "a.example" }"#.to_owned(), "path"),
    ] {
        let error = ExplainRequest::parse(text.as_bytes()).err();
        let error = error.unwrap_or_default();
        let named = error.split(':').next();
        expect_that!(named, some(eq(field)), "{text}: {error}");
        expect_that!(error, not(contains_substring(key)));
        expect_that!(error, not(contains_substring("7151")));
    }
}

/// Guards against a query whose cost grows faster than the fleet. Each node may be judged twice: for the choice, and
/// for the reason why it was not chosen.
#[gtest]
fn explain_evaluations_in_large_fleet() {
    const EVALUATIONS_PER_NODE: usize = 2;
    for (is_spilling, nodes) in [
        (false, 75),
        (false, 150),
        (false, 300),
        (true, 75),
        (true, 150),
        (true, 300),
    ] {
        let mut placement = placement(is_spilling);
        for index in 0..nodes {
            let domain = ["accra-a", "accra-b", "keta-a", "keta-b"][index % 4];
            placement.on_entry(ms(0), &entry(index, domain, SERVICE, "v1"));
            load(&mut placement, ms(1), &name(index), 3, 0);
        }
        let evaluations = Cell::new(0);
        let request = PickRequest {
            service: &SERVICE.into(),
            route: &ROUTE.into(),
            objective: ms(250),
            idempotent: true,
            request_bytes: 300,
            tried: &[],
            is_allowed: &|_, _| {
                evaluations.set(evaluations.get() + 1);
                true
            },
            regions: &AllowedRegions::Any,
            evacuations: &Evacuations::default(),
        };
        let mut rng = StdRng::seed_from_u64(1);
        let (pick, candidates) = placement.explain(ms(2), &mut rng, &request);
        expect_true!(pick.is_some());
        expect_that!(candidates.len(), eq(nodes));
        expect_that!(
            evaluations.get(),
            le(EVALUATIONS_PER_NODE * nodes),
            "{nodes} nodes"
        );
    }
}
