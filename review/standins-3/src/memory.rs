//! Clients that leave before their deadline while their uploads run.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Case;
use crate::Verdict;
use crate::http::Connection;
use crate::machine::Client;
use crate::machine::Machine;
use crate::machine::Place;
use crate::machine::Site;
use crate::machine::Work;
use crate::store::Store;

/// Smallest machines of pwani-forodha-grown.
const SITE: Site = Site {
    memory_mb: 160,
    fds: 4_100,
    cpu_share: 0.1,
    link_mbps: 10.0,
    slots: 18,
    config_ms: 3_000,
    grace_s: 6,
    retry_slack: 220,
};
const HOST: &str = "entries.example";
/// Deadline and route's timeout of the uploads, as those of `lodge-entry`.
const DEADLINE_MS: u64 = 6_000;
/// Below the 4,200 ms that `lodge-entry` takes at most.
const WORK: Duration = Duration::from_millis(2_600);
/// Far below the `body-bytes` of the configuration.
const BODY_BYTES: usize = 40 << 20;
/// Clients that leave in a round, 3 in 10 of all as the pages allow.
const LEAVING: usize = 9;
const OTHERS: usize = 21;
/// Time in which uploads begin in a round, so that clients leave for less than 5 s.
const LEAVING_FOR: Duration = Duration::from_millis(3_800);
const ROUNDS: usize = 5;
const RESTART_AFTER: Duration = Duration::from_millis(500);

const CONFIG: &str = r#"{"version":"00000001","routes":{
"r-lodge":{"host":"entries.example","prefix":"/lodge/","kind":"unsafe","timeout-ms":3000,"slo-ms":1500,"priority":1,"service":"entries","attempts":2},
"r-tariff":{"host":"entries.example","prefix":"/tariff/","kind":"safe","timeout-ms":2000,"slo-ms":1000,"priority":2,"service":"entries","attempts":2}},
"services":{"entries":{"health-path":"/healthz","max-conns":600}},
"limits":{"header-bytes":16384,"body-bytes":67108864,"header-ms":3000,"idle-ms":15000}}"#;

struct Counts {
    ends: AtomicUsize,
    peak: AtomicU64,
}

pub fn play(case: &Case) -> Verdict {
    let store = Store::start().map_err(|e| e.to_string())?;
    store.put("keyed.op", "config", CONFIG);
    let place = Place {
        region: "pwani",
        zone: "pwani-kurasini",
    };
    let work = Work {
        short: Duration::from_millis(20),
        long: WORK,
        read_first: None,
    };
    let mut machines = Vec::new();
    for name in ["side-1", "side-2"] {
        let machine = Machine::start(
            name,
            &place,
            "entries",
            &SITE,
            store.addr,
            work,
            &case.dir,
            &case.record,
        );
        machines.push(machine.map_err(|e| e.to_string())?);
    }
    let done = Arc::new(AtomicBool::new(false));
    let mut watching = Vec::new();
    for machine in &machines {
        if !machine.wait_ready(Duration::from_secs(10)) {
            return Err(format!("{} is not ready", machine.name));
        }
        let counts = Arc::new(Counts {
            ends: AtomicUsize::new(0),
            peak: AtomicU64::new(0),
        });
        watching.push(counts.clone());
        watch(case, machine, counts, done.clone());
    }
    let client = Arc::new(Client::new(HOST, DEADLINE_MS));
    wait_served(&client, &machines)?;
    for round in 1..=ROUNDS {
        case.record.line(&format!("round {round}"));
        let threads = machines.iter().map(|machine| {
            let (machine, client, all) = (machine.clone(), client.clone(), machines.clone());
            let (record, trouble) = (case.record.clone(), case.trouble);
            thread::spawn(move || {
                let mut others = Vec::new();
                for _ in 0..OTHERS {
                    let (machine, client) = (machine.clone(), client.clone());
                    others.push(thread::spawn(move || {
                        thread::sleep(Duration::from_millis(300));
                        client.call(&machine, "GET", "/tariff/1", None, b"").1
                    }));
                }
                let began = Instant::now();
                let uploads: Vec<_> = (0..LEAVING)
                    .filter_map(|_| {
                        if began.elapsed() > LEAVING_FOR {
                            return None;
                        }
                        let (machine, client, record, all) =
                            (machine.clone(), client.clone(), record.clone(), all.clone());
                        let (started, uploaded) =
                            (Arc::new(AtomicBool::new(false)), Instant::now());
                        let is_started = started.clone();
                        let sent = thread::spawn(move || {
                            upload(&machine, &all, &client, &record, trouble, &is_started);
                        });
                        // The next one follows when this one runs, or was refused.
                        while !started.load(Ordering::SeqCst)
                            && uploaded.elapsed() < Duration::from_secs(2)
                        {
                            thread::sleep(Duration::from_millis(5));
                        }
                        Some(sent)
                    })
                    .collect();
                for sent in uploads {
                    let _ = sent.join();
                }
                let statuses: Vec<u16> = others.into_iter().filter_map(|t| t.join().ok()).collect();
                record.line(&format!(
                    "{}: small requests answered with {statuses:?}",
                    machine.name
                ));
                let until = Instant::now() + Duration::from_secs(8);
                let is_busy = || all.iter().any(|machine| machine.upstream.running() > 0);
                while is_busy() && Instant::now() < until {
                    thread::sleep(Duration::from_millis(20));
                }
            })
        });
        let threads: Vec<_> = threads.collect();
        for thread in threads {
            let _ = thread.join();
        }
        thread::sleep(Duration::from_secs(1));
        wait_served(&client, &machines)?;
    }
    done.store(true, Ordering::SeqCst);
    let mut broken = true;
    for (machine, counts) in machines.iter().zip(&watching) {
        let (ends, peak) = (
            counts.ends.load(Ordering::SeqCst),
            counts.peak.load(Ordering::SeqCst),
        );
        case.record.line(&format!(
            "{}: ended {ends} times over its memory of {} MB, most memory {:.1} MB",
            machine.name,
            SITE.memory_mb,
            peak as f64 / 1e6
        ));
        broken &= ends >= 3;
    }
    Ok(broken)
}

/// Ends the process of a machine when it exceeds its memory, and starts it again, as the platform does.
fn watch(case: &Case, machine: &Arc<Machine>, counts: Arc<Counts>, done: Arc<AtomicBool>) {
    let (machine, record) = (machine.clone(), case.record.clone());
    thread::spawn(move || {
        while !done.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(2));
            let Some(memory) = machine.memory() else {
                continue;
            };
            counts.peak.fetch_max(memory, Ordering::SeqCst);
            if memory <= u64::from(SITE.memory_mb) << 20 {
                continue;
            }
            record.line(&format!(
                "platform: {} has {:.1} MB of {} MB and is killed",
                machine.name,
                memory as f64 / 1e6,
                SITE.memory_mb
            ));
            machine.kill();
            counts.ends.fetch_add(1, Ordering::SeqCst);
            thread::sleep(RESTART_AFTER);
            if done.load(Ordering::SeqCst) {
                return;
            }
            if let Err(e) = machine.start_process() {
                record.line(&format!("{} not started: {e}", machine.name));
            }
        }
    });
}

fn wait_served(client: &Client, machines: &[Arc<Machine>]) -> Result<(), String> {
    for machine in machines {
        let until = Instant::now() + Duration::from_secs(15);
        while client.call(machine, "GET", "/tariff/1", None, b"").1 != 200 {
            if Instant::now() > until {
                return Err(format!("{} does not serve", machine.name));
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
    Ok(())
}

/// Sends an upload. A client that leaves closes its connection 100 ms after its request has begun to run.
fn upload(
    machine: &Machine,
    all: &[Arc<Machine>],
    client: &Client,
    record: &crate::record::Record,
    leaves: bool,
    started: &AtomicBool,
) {
    let id = client.next_id();
    let body = vec![b'd'; BODY_BYTES];
    let deadline = DEADLINE_MS.to_string();
    let fields = [
        ("Host", HOST),
        ("X-Sycamorewick-Attempt-Id", id.as_str()),
        ("X-Sycamorewick-Deadline-Ms", deadline.as_str()),
    ];
    let Ok(mut connection) = Connection::open(machine.addrs.outbound) else {
        record.line(&format!("client {id}: no connection to {}", machine.name));
        started.store(true, Ordering::SeqCst);
        return;
    };
    let sent = connection.send("POST", "/lodge/1", &fields, &body);
    drop(body);
    record.line(&format!(
        "client {id}: body sent to {}: {}",
        machine.name,
        sent.is_ok()
    ));
    let began = Instant::now();
    let runs_at = || {
        let mut machines = all.iter();
        machines.find(|machine| machine.upstream.find(&id).is_some())
    };
    if leaves {
        // It leaves within 1,500 ms.
        while sent.is_ok() && began.elapsed() < Duration::from_millis(1_000) {
            if runs_at().is_some() {
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        thread::sleep(Duration::from_millis(100));
        started.store(true, Ordering::SeqCst);
        drop(connection);
        let place = runs_at().map(|machine| machine.name.as_str());
        record.line(&format!(
            "client {id}: leaves, its request runs at {place:?}"
        ));
        return;
    }
    let limit = Duration::from_millis(DEADLINE_MS + 500);
    let _ = connection.stream.set_read_timeout(Some(limit));
    let stop = Arc::new(AtomicBool::new(false));
    let answered = thread::scope(|scope| {
        scope.spawn(|| {
            while !stop.load(Ordering::SeqCst) && began.elapsed() < Duration::from_secs(1) {
                if runs_at().is_some() {
                    break;
                }
                thread::sleep(Duration::from_millis(5));
            }
            thread::sleep(Duration::from_millis(100));
            started.store(true, Ordering::SeqCst);
        });
        let answered = connection.read_response();
        stop.store(true, Ordering::SeqCst);
        answered
    });
    record.line(&format!(
        "client {id}: answered with {:?}",
        answered.map(|response| response.status)
    ));
}
