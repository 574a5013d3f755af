//! A planned stop while an upstream that works on an upload reads it slowly.

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

const SITE: Site = Site {
    memory_mb: 512,
    fds: 8_192,
    cpu_share: 0.5,
    link_mbps: 200.0,
    slots: 18,
    config_ms: 3_000,
    grace_s: 6,
    retry_slack: 220,
};
const HOST: &str = "entries.example";
const DEADLINE_MS: u64 = 6_000;
/// Work of the upstream before it reads on; below the 4,200 ms that `lodge-entry` takes at most.
const WORK: Duration = Duration::from_millis(1_800);
const BODY_BYTES: usize = 24 << 20;
/// Uploads at the same time.
const UPLOADS: usize = 3;

const CONFIG: &str = r#"{"version":"00000001","routes":{
"r-lodge":{"host":"entries.example","prefix":"/lodge/","kind":"unsafe","timeout-ms":3000,"slo-ms":1500,"priority":1,"service":"entries","attempts":2},
"r-tariff":{"host":"entries.example","prefix":"/tariff/","kind":"safe","timeout-ms":2000,"slo-ms":1000,"priority":2,"service":"entries","attempts":2}},
"services":{"entries":{"health-path":"/healthz","max-conns":600}},
"limits":{"header-bytes":16384,"body-bytes":67108864,"header-ms":3000,"idle-ms":15000}}"#;

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
        read_first: Some(1 << 20),
    };
    let machine = Machine::start(
        "side-1",
        &place,
        "entries",
        &SITE,
        store.addr,
        work,
        &case.dir,
        &case.record,
    );
    let machine = machine.map_err(|e| e.to_string())?;
    if !machine.wait_ready(Duration::from_secs(10)) {
        return Err("the machine is not ready".to_owned());
    }
    let client = Client::new(HOST, DEADLINE_MS);
    let until = Instant::now() + Duration::from_secs(10);
    while client.call(&machine, "GET", "/tariff/1", None, b"").1 != 200 {
        if Instant::now() > until {
            return Err("the machine does not serve".to_owned());
        }
        thread::sleep(Duration::from_millis(100));
    }
    // In touch: no disruption for contact-ms.
    thread::sleep(Duration::from_millis(4_500));
    let mut broken = 0;
    let mut connections = Vec::new();
    for _ in 0..UPLOADS {
        let id = client.next_id();
        let connection = Connection::open(machine.addrs.outbound).map_err(|e| e.to_string())?;
        connections.push((id, connection));
    }
    let answers: Vec<_> = thread::scope(|scope| {
        let sent = connections.into_iter().map(|(id, mut connection)| {
            let record = case.record.clone();
            scope.spawn(move || {
                let deadline = DEADLINE_MS.to_string();
                let fields = [
                    ("Host", HOST),
                    ("X-Sycamorewick-Attempt-Id", id.as_str()),
                    ("X-Sycamorewick-Deadline-Ms", deadline.as_str()),
                ];
                let limit = Duration::from_millis(DEADLINE_MS + 500);
                let _ = connection.stream.set_read_timeout(Some(limit));
                let body = vec![b'd'; BODY_BYTES];
                let sent = connection.send("POST", "/lodge/1", &fields, &body);
                record.line(&format!(
                    "client {id}: body of {BODY_BYTES} bytes sent: {}",
                    sent.is_ok()
                ));
                let sent_at = Instant::now();
                let answer = connection.read_response();
                let took = sent_at.elapsed();
                record.line(&format!(
                    "client {id}: answer {:?} after {} ms",
                    answer.as_ref().map(|answer| answer.status),
                    took.as_millis()
                ));
                (
                    id,
                    answer.map(|answer| {
                        (
                            answer.status,
                            answer.field("x-sycamorewick-response-seal").is_some(),
                        )
                    }),
                    took,
                )
            })
        });
        let sent: Vec<_> = sent.collect();
        // The stop begins when all of them run.
        let until = Instant::now() + Duration::from_secs(1);
        while machine.upstream.running() < UPLOADS && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
        if case.trouble {
            match machine.terminate() {
                Ok(()) => case.record.line("platform: SIGTERM to side-1"),
                Err(e) => case
                    .record
                    .line(&format!("platform: no SIGTERM to side-1: {e}")),
            }
        }
        sent.into_iter()
            .filter_map(|thread| thread.join().ok())
            .collect()
    });
    thread::sleep(Duration::from_millis(500));
    for (id, answer, took) in answers {
        let run = machine.upstream.find(&id);
        let ran = run.is_some();
        let at_work = run.is_some_and(|run| run.end != Some("answered"));
        let is_own = !matches!(answer, Ok((_, true)));
        // Neither the deadline nor the route's timeout was reached.
        let is_early = took < Duration::from_millis(2_900);
        let is_broken_off = ran && at_work && is_own && is_early;
        case.record.line(&format!(
            "{id}: run {ran}, broken off while its upstream was at work: {is_broken_off}, around planned work: {}",
            case.trouble
        ));
        broken += usize::from(is_broken_off && case.trouble);
    }
    for line in machine.log_lines("no complete response from the backend server") {
        case.record.line(&format!("log: {line}"));
    }
    Ok(broken > 0)
}
