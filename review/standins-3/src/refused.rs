//! Upstreams that fail part of their requests with 503 after they have run them.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
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
/// One of eight upstreams fails, of 14 in 100 that the pages allow.
const MACHINES: usize = 8;
/// One request in so many fails there, of 45 in 100.
const FAILS_EACH: usize = 3;
/// Clients of the machine beside it.
const CLIENTS: usize = 6;
/// Time for which it fails, of 6.5 s.
const FAILS_FOR: Duration = Duration::from_millis(6_000);

const CONFIG: &str = r#"{"version":"00000001","routes":{
"r-lodge":{"host":"entries.example","prefix":"/lodge/","kind":"unsafe","timeout-ms":3000,"slo-ms":1500,"priority":1,"service":"entries","attempts":2}},
"services":{"entries":{"health-path":"/healthz","max-conns":600}},
"limits":{"header-bytes":16384,"body-bytes":67108864,"header-ms":3000,"idle-ms":15000}}"#;

pub fn play(case: &Case) -> Verdict {
    let store = Store::start().map_err(|e| e.to_string())?;
    store.put("keyed.op", "config", CONFIG);
    let work = Work {
        short: Duration::from_millis(20),
        long: Duration::from_millis(20),
        read_first: None,
    };
    let mut machines = Vec::new();
    for number in 1..=MACHINES {
        let (region, zone) = match number % 4 {
            0 => ("pwani", "pwani-kurasini"),
            1 => ("pwani", "pwani-ubungo"),
            2 => ("kaskazini", "kask-njiro"),
            _ => ("kaskazini", "kask-kisongo"),
        };
        let place = Place { region, zone };
        let name = format!("side-{number}");
        let machine = Machine::start(
            &name,
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
    let client = Client::new(HOST, 6_000);
    let until = Instant::now() + Duration::from_secs(20);
    for machine in &machines {
        let mut served = 0;
        while served < 10 {
            if client.call(machine, "POST", "/lodge/0", None, b"").1 == 200 {
                served += 1;
            } else {
                thread::sleep(Duration::from_millis(100));
            }
            if Instant::now() > until {
                return Err("the service is not served".to_owned());
            }
        }
    }
    // In touch: no disruption for contact-ms.
    thread::sleep(Duration::from_millis(4_200));
    let has_run = |id: &str| {
        machines
            .iter()
            .any(|machine| machine.upstream.find(id).is_some())
    };
    if case.trouble {
        machines[0].upstream.set_failing(FAILS_EACH);
        case.record.line(
            "upstream i-side-1 begins to fail part of its requests, its health check is good",
        );
    }
    let began = Instant::now();
    let declarations = AtomicUsize::new(0);
    let (false_refusals, twice) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let lodge = || {
        while began.elapsed() < FAILS_FOR {
            let number = declarations.fetch_add(1, Ordering::SeqCst);
            let target = format!("/lodge/{number}");
            let mut runs = 0;
            // A client repeats a request that is not idempotent once, and only after a promise that it has not run.
            for _ in 0..2 {
                let (id, status) = client.call(&machines[0], "POST", &target, None, b"");
                let has_run = has_run(&id);
                runs += usize::from(has_run);
                let is_promise = [408, 421, 429, 503].contains(&status);
                if is_promise && has_run {
                    false_refusals.fetch_add(1, Ordering::SeqCst);
                    let text = format!("{id} {target}: answered {status}, has run");
                    case.record.line(&text);
                }
                if !is_promise {
                    break;
                }
            }
            twice.fetch_add(usize::from(runs > 1), Ordering::SeqCst);
            thread::sleep(Duration::from_millis(20));
        }
    };
    thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(lodge);
        }
    });
    let (false_refusals, twice) = (false_refusals.into_inner(), twice.into_inner());
    let declarations = declarations.into_inner();
    machines[0].upstream.set_failing(0);
    case.record.line(&format!(
        "{false_refusals} requests that are not idempotent were answered with a promise and have run; {twice} of {declarations} declarations were lodged twice"
    ));
    Ok(false_refusals > 0)
}
