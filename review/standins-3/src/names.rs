//! Changes of the configuration that bring names with other characters than before.

use std::sync::Arc;
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

/// Smallest machines of comhar-mesh-grown.
const SITE: Site = Site {
    memory_mb: 160,
    fds: 4_100,
    cpu_share: 0.1,
    link_mbps: 10.0,
    slots: 6,
    config_ms: 3_000,
    grace_s: 6,
    retry_slack: 208,
};
const HOST: &str = "returns.example";
/// Time after the acknowledgement from which requests count, beyond `config-ms`.
const MARGIN: Duration = Duration::from_millis(500);
/// `recover-s`.
const RECOVER: Duration = Duration::from_secs(15);
/// Requests of each kind before and after the change.
const REQUESTS: usize = 30;

fn config(version: u32, routes: &str, tenants: &str) -> String {
    let route = r#""r-status":{"host":"returns.example","prefix":"/status/","kind":"safe","timeout-ms":800,"slo-ms":400,"priority":1,"service":"returns-desk","attempts":2,"public":false},
"r-submit":{"host":"returns.example","prefix":"/submit/","kind":"unsafe","timeout-ms":1000,"slo-ms":600,"priority":1,"service":"returns-desk","attempts":2,"public":false}"#;
    format!(
        r#"{{"version":"{version:08x}","routes":{{{route}{routes}}},
"services":{{"returns-desk":{{"health-path":"/healthz","max-conns":560}},"assessment-engine":{{"health-path":"/healthz","max-conns":560}}}},
"limits":{{"header-bytes":16384,"body-bytes":67108864,"header-ms":3000,"idle-ms":15000}},"tenants":{{{tenants}}}}}"#
    )
}

struct Fleet {
    store: Store,
    machines: Vec<Arc<Machine>>,
    client: Client,
}

/// Starts two machines of the registry-like service and one of the other service, with a first configuration.
fn start(case: &Case, config: &str) -> Result<Fleet, String> {
    let store = Store::start().map_err(|e| e.to_string())?;
    store.put("keyed.op", "config", config);
    let work = Work {
        short: Duration::from_millis(20),
        long: Duration::from_millis(20),
        read_first: None,
    };
    let machines = [
        ("side-dublin-1", "leinster", "dublin-a", "returns-desk"),
        ("side-cork-1", "munster", "cork-a", "returns-desk"),
        ("side-dublin-2", "leinster", "dublin-a", "assessment-engine"),
    ];
    let mut started = Vec::new();
    for (name, region, zone, service) in machines {
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
        started.push(machine.map_err(|e| e.to_string())?);
    }
    Ok(Fleet {
        store,
        machines: started,
        client: Client::new(HOST, 2_000),
    })
}

impl Fleet {
    fn wait_served(&self, target: &str, key: Option<&str>) -> Result<(), String> {
        for machine in &self.machines {
            let until = Instant::now() + Duration::from_secs(15);
            let mut served = 0;
            while served < 5 {
                if self.client.call(machine, "GET", target, key, b"").1 == 200 {
                    served += 1;
                } else {
                    served = 0;
                    thread::sleep(Duration::from_millis(100));
                }
                if Instant::now() > until {
                    return Err(format!("{} does not serve {target}", machine.name));
                }
            }
        }
        Ok(())
    }

    fn has_run(&self, id: &str) -> bool {
        self.machines
            .iter()
            .any(|machine| machine.upstream.find(id).is_some())
    }

    /// Sends requests to a machine and returns their statuses and how many have run.
    fn send(
        &self,
        case: &Case,
        machine: &Machine,
        method: &str,
        target: &str,
        key: Option<&str>,
        count: usize,
    ) -> (Vec<u16>, usize) {
        let mut statuses = Vec::new();
        let mut run = 0;
        for _ in 0..count {
            let (id, status) = self.client.call(machine, method, target, key, b"");
            run += usize::from(self.has_run(&id));
            statuses.push(status);
        }
        let mut counted: Vec<(u16, usize)> = Vec::new();
        for status in &statuses {
            match counted.iter_mut().find(|(known, _)| known == status) {
                Some((_, count)) => *count += 1,
                None => counted.push((*status, 1)),
            }
        }
        case.record.line(&format!(
            "{}: {count} requests {method} {target} with key {key:?}: (status, number) {counted:?}, run {run}",
            machine.name
        ));
        (statuses, run)
    }

    fn record_log(&self, case: &Case, text: &str) {
        for machine in &self.machines {
            for line in machine.log_lines(text).iter().take(2) {
                case.record
                    .line(&format!("log of {}: {line}", machine.name));
            }
        }
    }
}

fn count(statuses: &[u16], status: u16) -> usize {
    statuses.iter().filter(|other| **other == status).count()
}

/// A configuration that adds a tenant with a semicolon in its name, takes a key away and adds a route.
pub fn play_tenant(case: &Case) -> Verdict {
    let before = r#""hule930":{"api-keys":["gjqnirth5mgjy5rcpihh"],"priority":1,"per-s":591,"burst":591},
"pufi114":{"api-keys":["acruddedev3nax7u27gx","q2m4tzkb7wy3hs5dvn8e"],"priority":1,"per-s":591,"burst":591}"#;
    let name = if case.trouble {
        "Murphy; Sons"
    } else {
        "Murphy and Sons"
    };
    let after = format!(
        r#""hule930":{{"api-keys":["gjqnirth5mgjy5rcpihh"],"priority":1,"per-s":591,"burst":591}},
"pufi114":{{"api-keys":["acruddedev3nax7u27gx"],"priority":1,"per-s":591,"burst":591}},
"{name}":{{"api-keys":["x9c3vbn5mlk7jhg2fdsa"],"priority":1,"per-s":591,"burst":591}}"#
    );
    let added = r#","r-amend":{"host":"returns.example","prefix":"/amend/","kind":"safe","timeout-ms":800,"slo-ms":400,"priority":1,"service":"returns-desk","attempts":2,"public":false}"#;
    let fleet = start(case, &config(1, "", before))?;
    let (kept, dropped) = ("gjqnirth5mgjy5rcpihh", "q2m4tzkb7wy3hs5dvn8e");
    fleet.wait_served("/status/1", Some(kept))?;
    for machine in &fleet.machines {
        fleet.send(case, machine, "GET", "/status/1", Some(kept), REQUESTS);
        fleet.send(case, machine, "POST", "/submit/1", Some(dropped), 5);
    }
    fleet
        .store
        .put("keyed.op", "config", &config(7, added, &after));
    case.record.line(&format!(
        "operator: version 7 acknowledged by the store: new tenant {name:?}, key {dropped} taken away, route /amend/ added"
    ));
    thread::sleep(Duration::from_millis(SITE.config_ms) + MARGIN);
    let (mut stale, mut refused, mut missing) = (0, 0, 0);
    for machine in &fleet.machines {
        let (_, run) = fleet.send(case, machine, "POST", "/submit/1", Some(dropped), REQUESTS);
        stale += run;
        let key = Some("x9c3vbn5mlk7jhg2fdsa");
        let (statuses, _) = fleet.send(case, machine, "GET", "/status/1", key, REQUESTS);
        refused += count(&statuses, 401);
        let (statuses, _) = fleet.send(case, machine, "GET", "/amend/1", Some(kept), REQUESTS);
        missing += count(&statuses, 404);
    }
    fleet.record_log(case, "configuration refused");
    // Not part of the verdict: the final fault of a day.
    for machine in &fleet.machines {
        machine.kill();
    }
    for machine in &fleet.machines {
        machine.start_process().map_err(|e| e.to_string())?;
    }
    thread::sleep(RECOVER);
    let mut served = 0;
    for machine in &fleet.machines {
        let (statuses, _) = fleet.send(case, machine, "GET", "/status/1", Some(kept), REQUESTS);
        served += count(&statuses, 200);
    }
    case.record.line(&format!(
        "aside: all processes were killed and started again; {} ms later {served} of {} requests are served",
        RECOVER.as_millis(),
        REQUESTS * fleet.machines.len()
    ));
    case.record.line(&format!(
        "later than config-ms after version 7: {stale} requests run with the dropped key, {refused} refused with 401 though the key is there, {missing} refused with 404 though the route is there"
    ));
    Ok(stale + refused + missing > 0)
}

/// A configuration that adds a route with a letter outside of ASCII in its name.
pub fn play_route(case: &Case) -> Verdict {
    let name = if case.trouble {
        "tuairiscí"
    } else {
        "tuairisci"
    };
    let added = format!(
        r#","{name}":{{"host":"returns.example","prefix":"/reports/","kind":"safe","timeout-ms":800,"slo-ms":400,"priority":1,"service":"returns-desk","attempts":2,"public":true}}"#
    );
    let tenants =
        r#""hule930":{"api-keys":["gjqnirth5mgjy5rcpihh"],"priority":1,"per-s":591,"burst":591}"#;
    let key = Some("gjqnirth5mgjy5rcpihh");
    let fleet = start(case, &config(1, "", tenants))?;
    fleet.wait_served("/status/1", key)?;
    fleet
        .store
        .put("keyed.op", "config", &config(7, &added, tenants));
    case.record.line(&format!(
        "operator: version 7 acknowledged by the store: route {name:?} added"
    ));
    thread::sleep(Duration::from_millis(SITE.config_ms) + MARGIN);
    let (mut all, mut denied, mut first, mut later) = (0, 0, 0, 0);
    // The clients of the other service's machine.
    let machine = &fleet.machines[2];
    for (target, served) in [("/status/1", &mut first), ("/reports/1", &mut later)] {
        let (statuses, _) = fleet.send(case, machine, "GET", target, key, 2 * REQUESTS);
        all += statuses.len();
        *served = count(&statuses, 200);
        let is_denied =
            |status: &&u16| (300..500).contains(*status) && ![408, 421, 429].contains(*status);
        denied += statuses.iter().filter(is_denied).count();
    }
    fleet.record_log(case, "call from a node refused");
    case.record.line(&format!(
        "{denied} of {all} requests ended with a 4xx of the system, allowed are {}; served: {first} on the first route, {later} on the added one",
        5 + all / 500
    ));
    let is_denied = denied > 5 + all / 500;
    let is_unserved = first >= 20 && 4 * later < first;
    Ok(is_denied || is_unserved)
}
