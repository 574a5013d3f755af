//! Upstreams that fail part of their requests with 503 after they have run them.

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
const REQUESTS: usize = 60;
/// One request in so many fails: less than the pages allow.
const FAILS_EACH: usize = 4;

const CONFIG: &str = r#"{"version":"00000001","routes":{
"r-lodge":{"host":"entries.example","prefix":"/lodge/","kind":"unsafe","timeout-ms":3000,"slo-ms":1500,"priority":1,"service":"entries","attempts":2}},
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
        long: Duration::from_millis(20),
        read_first: None,
        fails_each: case.trouble.then_some(FAILS_EACH),
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
    let client = Client::new(HOST, 6_000);
    let until = Instant::now() + Duration::from_secs(15);
    while client.call(&machine, "POST", "/lodge/0", None, b"").1 != 200 {
        if Instant::now() > until {
            return Err("the machine does not serve".to_owned());
        }
        thread::sleep(Duration::from_millis(100));
    }
    let (mut false_refusals, mut twice) = (0, 0);
    for number in 1..=REQUESTS {
        let target = format!("/lodge/{number}");
        let mut runs = 0;
        // A client repeats a request that is not idempotent once, and only after a promise that it has not run.
        for _ in 0..2 {
            let (id, status) = client.call(&machine, "POST", &target, None, b"");
            let has_run = machine.upstream.find(&id).is_some();
            runs += usize::from(has_run);
            let is_promise = [408, 421, 429, 503].contains(&status);
            if is_promise && has_run {
                false_refusals += 1;
                case.record
                    .line(&format!("{id} {target}: answered {status}, has run"));
            }
            if !is_promise {
                break;
            }
        }
        twice += usize::from(runs > 1);
    }
    case.record.line(&format!(
        "{false_refusals} requests that are not idempotent were answered with a promise and have run; {twice} of {REQUESTS} declarations were lodged twice"
    ));
    Ok(false_refusals > 0)
}
