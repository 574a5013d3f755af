//! A planned restart of two machines, of which one has an upstream that has just deregistered and goes on
//! to serve for a while.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Case;
use crate::Verdict;
use crate::machine::Client;
use crate::machine::Machine;
use crate::machine::Place;
use crate::machine::Site;
use crate::machine::Work;
use crate::store::Store;

/// A small deployment, gprbs-booths.
const SITE: Site = Site {
    memory_mb: 260,
    fds: 4_100,
    cpu_share: 0.2,
    link_mbps: 1_000.0,
    slots: 12,
    config_ms: 2_000,
    grace_s: 6,
    retry_slack: 56,
};
const HOST: &str = "booking.example";
const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time from the stop until the process is started again.
const RESTART_AFTER: Duration = Duration::from_millis(500);
/// Time after the acknowledgement at which the late heartbeat arrives.
const LATE: Duration = Duration::from_millis(4_500);
/// Time for which the upstream serves after the acknowledgement.
const SERVES: Duration = Duration::from_millis(10_000);

const CONFIG: &str = r#"{"version":"00000001","routes":{
"r-browse":{"host":"booking.example","prefix":"/browse/","kind":"safe","timeout-ms":3000,"slo-ms":500,"priority":1,"service":"booking","attempts":2},
"r-reserve":{"host":"booking.example","prefix":"/reserve/","kind":"unsafe","timeout-ms":4000,"slo-ms":600,"priority":1,"service":"booking","attempts":2}},
"services":{"booking":{"health-path":"/healthz","max-conns":110},"archive":{"health-path":"/healthz","max-conns":110}},
"limits":{"header-bytes":16384,"body-bytes":67108864,"header-ms":3000,"idle-ms":15000}}"#;

pub fn play(case: &Case) -> Verdict {
    let store = Store::start().map_err(|e| e.to_string())?;
    store.put("keyed.op", "config", CONFIG);
    let work = Work {
        short: Duration::from_millis(20),
        long: Duration::from_millis(20),
        read_first: None,
        fails_each: None,
    };
    let places = [
        ("side-vake-1", "tbilisi", "tbs-vake", "booking"),
        ("side-center-1", "imereti", "kut-center", "booking"),
        ("side-vake-2", "tbilisi", "tbs-vake", "archive"),
        ("side-old-1", "adjara", "bat-old", "archive"),
    ];
    let mut machines = Vec::new();
    for (name, region, zone, service) in places {
        let place = Place { region, zone };
        let machine = Machine::start(
            name,
            &place,
            service,
            &SITE,
            store.addr,
            work,
            &case.dir,
            &case.record,
        );
        machines.push(machine.map_err(|e| e.to_string())?);
    }
    let (leaving, entry, other) = (&machines[0], &machines[2], &machines[3]);
    let client = Client::new(HOST, 4_000);
    let until = Instant::now() + Duration::from_secs(15);
    let mut served = 0;
    while served < 20 {
        if client.call(entry, "POST", "/reserve/1", None, b"").1 == 200 {
            served += 1;
        }
        if Instant::now() > until {
            return Err("the service is not served".to_owned());
        }
        thread::sleep(Duration::from_millis(50));
    }
    // In touch: no disruption for contact-ms.
    thread::sleep(CONTACT);
    let last_seq = leaving.end_heartbeats();
    // The heartbeat that is late was sent before the leave.
    let late_seq = last_seq + 1;
    let status = leaving.deregister().map_err(|e| e.to_string())?;
    let left_at = Instant::now();
    case.record.line(&format!(
        "upstream i-side-vake-1 deregisters: answer {status}; its heartbeat {late_seq} is under way"
    ));
    if status != 200 {
        return Err("the leave was not acknowledged".to_owned());
    }
    thread::sleep(Duration::from_millis(200));
    if case.trouble {
        // Two machines at a time.
        let stopped = [leaving, other];
        for machine in stopped {
            machine.terminate().map_err(|e| e.to_string())?;
            case.record
                .line(&format!("platform: SIGTERM to {}", machine.name));
        }
        for machine in stopped {
            if !machine.wait_end(Duration::from_secs(SITE.grace_s)) {
                return Err(format!("{} did not end within grace-s", machine.name));
            }
        }
        case.record.line(&format!(
            "both have ended {} ms after the acknowledgement",
            left_at.elapsed().as_millis()
        ));
        thread::sleep(RESTART_AFTER);
        for machine in stopped {
            machine.start_process().map_err(|e| e.to_string())?;
        }
        for machine in stopped {
            if !machine.wait_ready(Duration::from_secs(3)) {
                return Err(format!("{} is not ready", machine.name));
            }
        }
        case.record
            .line("platform: both are started again and ready");
    }
    let started_at = Instant::now();
    thread::sleep(LATE.saturating_sub(left_at.elapsed()));
    let late = leaving
        .send_heartbeat(late_seq)
        .map_err(|e| e.to_string())?;
    case.record.line(&format!(
        "heartbeat {late_seq} arrives {} ms after the acknowledgement: answer {late}",
        left_at.elapsed().as_millis()
    ));
    // All machines are in touch again.
    thread::sleep((CONTACT + Duration::from_millis(200)).saturating_sub(started_at.elapsed()));
    let (mut sent, mut late_runs) = (0, 0);
    while left_at.elapsed() < SERVES {
        let after = left_at.elapsed();
        let (method, target) = if sent % 2 == 0 {
            ("POST", "/reserve/2")
        } else {
            ("GET", "/browse/2")
        };
        let (id, status) = client.call(entry, method, target, None, b"");
        sent += 1;
        if leaving.upstream.find(&id).is_some() {
            late_runs += 1;
            if late_runs <= 10 {
                case.record.line(&format!(
                    "{id}: {method} {target} sent {} ms after the acknowledgement runs at i-side-vake-1, answer {status}",
                    after.as_millis()
                ));
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    case.record.line(&format!(
        "{late_runs} of {sent} requests of a client of side-vake-2 reached the upstream that has left, later than {} ms after the acknowledgement",
        DRAIN.as_millis()
    ));
    for line in leaving.log_lines("node entry removed") {
        case.record.line(&format!("log of side-vake-1: {line}"));
    }
    Ok(late_runs > 0)
}
