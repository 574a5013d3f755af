//! The cases. Each plays a small deployment and returns the exit code.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http::free_addr;
use crate::proxy::Proxy;
use crate::world::{CONTACT, DRAIN, Record, Upstream, Work, World, post, unix_ms};

const HELD: i32 = 0;
const BROKEN: i32 = 1;
const NOT_RUN: i32 = 2;

/// A route: name, prefix, kind, service, `timeout-ms`, `slo-ms`, attempts.
type Route = (
    &'static str,
    &'static str,
    &'static str,
    &'static str,
    u32,
    u32,
    u8,
);

const LOOKUP: Route = ("lookup", "/wrecks/", "safe", "registry", 1000, 250, 2);
const CLAIM: Route = ("claim", "/claims/", "unsafe", "registry", 1200, 300, 1);
/// Zones of the two nodes, each with an upstream of `registry` beside it.
const ZONES: [&str; 2] = ["accra-a", "accra-b"];
/// Clients that send at the same time while answers are lost.
const CLIENTS: usize = 4;
/// Pause of a client between two requests, seconds.
const PAUSE: f64 = 0.03;
/// `recover-s` of the bounds.
const RECOVER: Duration = Duration::from_secs(15);
const START_LIMIT: Duration = Duration::from_secs(10);

pub fn run(case: &str, record: Record) -> i32 {
    let log = record.clone();
    let code = match case {
        "lost-answers" => lost_answers(World::new(record)),
        "cut-uploads" => cut_uploads(World::new(record)),
        "stop-half-sent" => stop_half_sent(World::new(record)),
        "foreign-service" => foreign_service(World::new(record)),
        "leave-and-kill" => leave_and_kill(World::new(record)),
        "heartbeat-without-born" => heartbeat_without_born(World::new(record)),
        _ => NOT_RUN,
    };
    let text = match code {
        HELD => "result: the rule held",
        BROKEN => "result: the rule was broken",
        _ => "result: the case could not run",
    };
    log.line(text);
    code
}

fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// Starts two nodes with an upstream each, and waits until they are ready and in touch.
fn start(world: &mut World, route: Route) -> Option<Vec<Arc<Upstream>>> {
    let store = world.store.addr;
    start_with_store(world, route, store)
}

/// The same; the first node reaches the store at `store`.
fn start_with_store(
    world: &mut World,
    route: Route,
    store: SocketAddr,
) -> Option<Vec<Arc<Upstream>>> {
    world.put_config(1, &[route]);
    let mut upstreams = Vec::new();
    for (index, zone) in ZONES.iter().enumerate() {
        let store = if index == 0 { store } else { world.store.addr };
        world.add_node(zone, "registry", store);
        world.start_node(index);
        let work = Work {
            time: Duration::from_millis(78),
            body_bytes: 400,
        };
        let id = format!("i-7f3a91c{index}");
        upstreams.push(Upstream::start(world, index, &id, "registry", zone, work));
    }
    if !world.wait_ready(START_LIMIT) {
        return None;
    }
    sleep(CONTACT.as_secs_f64() + 1.0);
    // Before the disruption both upstreams are used.
    for index in (0..20).map(|number| number % world.nodes.len()) {
        send(world, index, route);
    }
    let are_used = upstreams
        .iter()
        .all(|upstream| !upstream.runs.lock().unwrap().is_empty());
    are_used.then_some(upstreams)
}

/// Sends a request of a route to a node. Returns whether it was served.
fn send(world: &World, index: usize, (_, prefix, kind, _, timeout, ..): Route) -> bool {
    let method = if kind == "unsafe" { "POST" } else { "GET" };
    let (response, _) = world.client(index, method, &format!("{prefix}17"), timeout);
    response.is_some_and(|response| response.status == 200)
}

/// Sends requests to the nodes in turn for a time. Returns how many were sent and served.
fn traffic(world: &World, route: Route, seconds: f64) -> (u32, u32) {
    let until = world.record.now() + Duration::from_secs_f64(seconds);
    let (mut sent, mut served) = (0, 0);
    while world.record.now() < until {
        let is_served = send(world, sent as usize % world.nodes.len(), route);
        sent += 1;
        served += u32::from(is_served);
        sleep(PAUSE);
    }
    (sent, served)
}

/// DRAIN: counts the requests that reached an upstream too late after its leave was acknowledged.
fn late_runs(world: &World, upstream: &Upstream, acknowledged: Duration, since: Duration) -> i32 {
    let runs = upstream.runs.lock().unwrap().clone();
    let is_late = |at: Duration| at > acknowledged + DRAIN && at > since;
    let late: Vec<_> = runs.iter().filter(|run| is_late(run.at)).collect();
    for run in late.iter().take(3) {
        world.record.line(format!(
            "late: {} reached {} {:.3} s after its leave was acknowledged",
            run.attempt,
            upstream.id,
            (run.at - acknowledged).as_secs_f64()
        ));
    }
    world.record.line(format!(
        "{} requests reached {} more than 2 s after that",
        late.len(),
        upstream.id
    ));
    if late.is_empty() { HELD } else { BROKEN }
}

/// All processes are killed and started again. Then a heartbeat of another writer, for a service that no
/// configuration names, comes to each node.
fn foreign_service(mut world: World) -> i32 {
    let Some(upstreams) = start(&mut world, LOOKUP) else {
        return NOT_RUN;
    };
    kill_and_restart_all(&mut world);
    if !world.wait_ready(START_LIMIT) {
        return NOT_RUN;
    }
    let back = world.record.now();
    sleep(3.0);
    if world.trouble {
        for upstream in &upstreams {
            let body = format!(
                r#"{{"address":"{}","born":{},"info":{{"service":"harbour","version":"v1","zone":"{}","slots":9}},"status":{{"state":"ready","seq":1,"cold-left-ms":0}}}}"#,
                upstream.addr,
                unix_ms(),
                upstream.zone
            );
            let what = "from another writer: service harbour, which is not named anywhere";
            post(
                &world.record,
                upstream.control,
                "i-00000001",
                "Heartbeat",
                &body,
                what,
            );
        }
    }
    while world.record.now() < back + RECOVER {
        traffic(&world, LOOKUP, 0.5);
    }
    recovery(&world, LOOKUP)
}

/// An upstream deregisters and goes on serving, while the store turns its node away. The process of the node
/// is killed and started again. A heartbeat that the upstream had sent before it left arrives seconds late.
fn leave_and_kill(mut world: World) -> i32 {
    let is_turned_away = Arc::new(AtomicBool::new(false));
    let store = free_addr();
    world.store.listen(store, is_turned_away.clone());
    let Some(upstreams) = start_with_store(&mut world, LOOKUP, store) else {
        return NOT_RUN;
    };
    let leaving = &upstreams[0];
    let seq = leaving.stop_beats() + 1;
    let delayed = leaving.beat_body("ready", seq);
    let sent = world.record.now();
    world.record.line(format!(
        "Heartbeat of {} (ready, seq {seq}): sent, arrives late",
        leaving.id
    ));
    if world.trouble {
        is_turned_away.store(true, Ordering::Relaxed);
        world
            .record
            .line("store: turns the first machine away with 503, and serves the other one");
    }
    sleep(0.5);
    if !leaving.deregister() {
        return NOT_RUN;
    }
    let acknowledged = world.record.now();
    sleep(0.5);
    let mut back = acknowledged;
    if world.trouble {
        world.kill_node(0);
        sleep(1.0);
        world.start_node(0);
        sleep(0.3);
        is_turned_away.store(false, Ordering::Relaxed);
        world.record.line("store: serves both machines");
        if !world.wait_ready(START_LIMIT) {
            return NOT_RUN;
        }
        back = world.record.now();
        world.record.line("both nodes are ready");
    }
    let lateness = Duration::from_millis(4000);
    thread::sleep((sent + lateness).saturating_sub(world.record.now()));
    leaving.send(
        "Heartbeat",
        &delayed,
        &format!("ready, seq {seq}, {} ms late", lateness.as_millis()),
    );
    traffic(&world, LOOKUP, 5.5);
    // Only what was sent once the machine and the store were calm for long enough counts.
    late_runs(&world, leaving, acknowledged, back + CONTACT)
}

/// An upstream deregisters and goes on serving. A heartbeat of another writer, without `born`, comes with
/// the id of that upstream. No case of its own, see REPORT.md.
fn heartbeat_without_born(mut world: World) -> i32 {
    let Some(upstreams) = start(&mut world, LOOKUP) else {
        return NOT_RUN;
    };
    let leaving = &upstreams[0];
    if !leaving.deregister() {
        return NOT_RUN;
    }
    let acknowledged = world.record.now();
    sleep(0.5);
    if world.trouble {
        let body = format!(
            r#"{{"address":"{}","info":{{"service":"registry","version":"v1","zone":"accra-a","slots":9}},"status":{{"state":"ready","seq":3,"cold-left-ms":0}}}}"#,
            leaving.addr
        );
        post(
            &world.record,
            leaving.control,
            &leaving.id,
            "Heartbeat",
            &body,
            "from another writer: no born",
        );
    }
    traffic(&world, LOOKUP, 5.0);
    late_runs(&world, leaving, acknowledged, acknowledged)
}

/// All processes are killed and started again. Then the upstreams of a service whose requests are all
/// `unsafe` lose answers for four seconds.
fn lost_answers(mut world: World) -> i32 {
    let Some(upstreams) = start(&mut world, CLAIM) else {
        return NOT_RUN;
    };
    kill_and_restart_all(&mut world);
    if !world.wait_ready(START_LIMIT) {
        return NOT_RUN;
    }
    let back = world.record.now();
    traffic(&world, CLAIM, 3.0);
    set_lost(&world, &upstreams, if world.trouble { 40 } else { 0 });
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| traffic(&world, CLAIM, 4.0));
        }
    });
    set_lost(&world, &upstreams, 0);
    thread::sleep((back + RECOVER).saturating_sub(world.record.now()));
    recovery(&world, CLAIM)
}

fn set_lost(world: &World, upstreams: &[Arc<Upstream>], percent: u64) {
    for upstream in upstreams {
        upstream.lost_percent.store(percent, Ordering::Relaxed);
    }
    world.record.line(format!(
        "upstreams: lose {percent} in 100 of their answers from now on"
    ));
}

fn kill_and_restart_all(world: &mut World) {
    for index in 0..world.nodes.len() {
        world.kill_node(index);
    }
    sleep(1.0);
    for index in 0..world.nodes.len() {
        world.start_node(index);
    }
}

/// RECOVER: whether a quarter of the requests is served, later than 15 s after the processes are back.
fn recovery(world: &World, route: Route) -> i32 {
    let (sent, served) = traffic(world, route, 15.0);
    world.record.line(format!(
        "{served} of {sent} requests were served later than 15 s after the processes were back"
    ));
    if served * 4 < sent { BROKEN } else { HELD }
}

const UPLOAD: Route = ("claim", "/claims/", "unsafe", "registry", 1500, 800, 1);
/// Size of an upload, bytes.
const UPLOAD_BYTES: usize = 200_000;
/// Bandwidth of the links of both machines, the smallest of the grown site.
const LINK_MBPS: f64 = 10.0;
const UPLOAD_CLIENTS: usize = 6;

/// All processes are killed and started again. Then the machine at which uploads arrive is cut off for five
/// seconds. No case of its own, see REPORT.md.
fn cut_uploads(mut world: World) -> i32 {
    world.claim = vec![b'c'; UPLOAD_BYTES];
    world.put_config(1, &[UPLOAD]);
    let store = world.store.addr;
    let node = free_addr();
    let entry = world.add_node_behind(ZONES[0], "archive", store, node, node, LINK_MBPS);
    let (node, advertised) = (free_addr(), free_addr());
    let serving = world.add_node_behind(ZONES[1], "registry", store, node, advertised, LINK_MBPS);
    let proxy = Proxy::start(advertised, node, LINK_MBPS);
    for index in [entry, serving] {
        world.start_node(index);
    }
    let work = || Work {
        time: Duration::from_millis(78),
        body_bytes: 400,
    };
    let _archive = Upstream::start(&world, entry, "i-7f3a91c0", "archive", ZONES[0], work());
    let _registry = Upstream::start(&world, serving, "i-7f3a91c1", "registry", ZONES[1], work());
    if !world.wait_ready(START_LIMIT) {
        return NOT_RUN;
    }
    sleep(CONTACT.as_secs_f64() + 1.0);
    if !send(&world, entry, UPLOAD) {
        return NOT_RUN;
    }
    kill_and_restart_all(&mut world);
    if !world.wait_ready(START_LIMIT) {
        return NOT_RUN;
    }
    let back = world.record.now();
    sleep(CONTACT.as_secs_f64());
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
        for _ in 0..UPLOAD_CLIENTS {
            scope.spawn(|| {
                while !is_over.load(Ordering::Relaxed) {
                    send(&world, entry, UPLOAD);
                    sleep(0.1);
                }
            });
        }
        sleep(3.0);
        if world.trouble {
            proxy.cut();
            world.record.line("link between the machines: cut");
        }
        sleep(5.0);
        if world.trouble {
            proxy.heal();
            world.record.line("link between the machines: whole again");
        }
        is_over.store(true, Ordering::Relaxed);
    });
    thread::sleep((back + RECOVER).saturating_sub(world.record.now()));
    let until = world.record.now() + Duration::from_secs(15);
    let (mut sent, mut served) = (0, 0);
    while world.record.now() < until {
        sent += 1;
        served += u32::from(send(&world, entry, UPLOAD));
        sleep(0.1);
    }
    world.record.line(format!(
        "{served} of {sent} uploads were served later than 15 s after the processes were back"
    ));
    if served * 4 < sent { BROKEN } else { HELD }
}

const SHEET: Route = ("sheet", "/sheets/", "safe", "archive", 2500, 1200, 2);
/// Size of a sheet, bytes.
const SHEET_BYTES: usize = 8_000_000;
/// Speed at which a client reads, Mbit/s.
const CLIENT_MBPS: f64 = 30.0;
/// Times after SIGTERM at which clients send requests, seconds. The platform asks once a second whether the
/// node is ready, and sends it no new work after the second miss.
const SENT_AT: [f64; 4] = [0.4, 0.9, 1.4, 1.9];

/// A node is stopped and started again on its own while clients read large answers.
fn stop_half_sent(mut world: World) -> i32 {
    world.put_config(1, &[SHEET]);
    let store = world.store.addr;
    for (index, service) in ["registry", "archive"].iter().enumerate() {
        world.add_node(ZONES[index], service, store);
        world.start_node(index);
    }
    let work = |body_bytes| Work {
        time: Duration::from_millis(150),
        body_bytes,
    };
    let _registry = Upstream::start(&world, 0, "i-7f3a91c0", "registry", ZONES[0], work(400));
    let _archive = Upstream::start(
        &world,
        1,
        "i-7f3a91c1",
        "archive",
        ZONES[1],
        work(SHEET_BYTES),
    );
    if !world.wait_ready(START_LIMIT) {
        return NOT_RUN;
    }
    sleep(CONTACT.as_secs_f64() + 1.0);
    if !world.slow_client(0, "/sheets/17", CLIENT_MBPS, 5000) {
        return NOT_RUN;
    }
    if world.trouble {
        world.terminate_node(0);
    }
    let whole = thread::scope(|scope| {
        let clients: Vec<_> = SENT_AT
            .iter()
            .map(|at| {
                let world = &world;
                scope.spawn(move || {
                    sleep(*at);
                    world.slow_client(0, "/sheets/17", CLIENT_MBPS, 5000)
                })
            })
            .collect();
        clients
            .into_iter()
            .filter_map(|client| client.join().ok())
            .filter(|is_whole| *is_whole)
            .count()
    });
    let lost = SENT_AT.len() - whole;
    world.record.line(format!(
        "{lost} of {} requests ended without a complete answer",
        SENT_AT.len()
    ));
    if lost > 0 { BROKEN } else { HELD }
}
