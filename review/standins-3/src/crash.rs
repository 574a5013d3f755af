//! Two upstreams crash while a route that was just added gets its first requests.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Case;
use crate::Verdict;
use crate::http;
use crate::machine::Client;
use crate::machine::Machine;
use crate::machine::Place;
use crate::machine::Site;
use crate::machine::Work;
use crate::store::Store;

/// Smallest machines of gprbs-booths-grown.
const SITE: Site = Site {
    memory_mb: 160,
    fds: 4_100,
    cpu_share: 0.1,
    link_mbps: 10.0,
    slots: 12,
    config_ms: 3_000,
    grace_s: 6,
    retry_slack: 206,
};
const HOST: &str = "archive.example";
/// Deadline of `schedule-read`.
const DEADLINE: Duration = Duration::from_secs(12);
/// Two of fifteen upstreams crash, of 14 in 100 that the pages allow.
const MACHINES: usize = 15;
const CRASHED: usize = 2;
/// Work of each request; `schedule-read` takes 670 ms on average and 5,000 ms at most.
const WORK: Duration = Duration::from_millis(2_500);
/// `config-ms`, and a margin.
const IN_FORCE: Duration = Duration::from_millis(3_500);
/// Time from the first requests on the added route until the upstreams crash.
const CRASH_AFTER: Duration = Duration::from_millis(800);
/// Time for which they are down, as the pages allow.
const DOWN: Duration = Duration::from_millis(4_500);
/// Time after that until requests count: `contact-ms`, and the time for which an upstream is slow after its start.
const SETTLE: Duration = Duration::from_secs(6);
/// Time in which requests count.
const COUNTED: Duration = Duration::from_secs(20);
/// Clients of each machine that use the first route, and the added one.
const CLIENTS: [usize; 2] = [1, 4];
/// Prefixes of the first route, whose requests name different pages, and of the added one, which has one page.
const ROUTES: [&str; 2] = ["/schedule/", "/season/"];

fn config(version: u32, prefixes: &[&str]) -> String {
    let routes: Vec<String> = prefixes
        .iter()
        .map(|prefix| {
            format!(
                r#""r-{}":{{"host":"{HOST}","prefix":"{prefix}","kind":"safe","timeout-ms":6000,"slo-ms":4000,"priority":2,"service":"archive","attempts":2}}"#,
                prefix.trim_matches('/')
            )
        })
        .collect();
    format!(
        r#"{{"version":"{version:08x}","routes":{{{}}},
"services":{{"archive":{{"health-path":"/healthz","max-conns":560}}}},
"limits":{{"header-bytes":16384,"body-bytes":67108864,"header-ms":3000,"idle-ms":15000}}}}"#,
        routes.join(",")
    )
}

/// A request that was sent, and the status of its answer; 0 without one.
struct Sent {
    id: String,
    at: Instant,
    route: usize,
    status: u16,
}

struct Play {
    machines: Vec<Arc<Machine>>,
    client: Client,
    sent: Mutex<Vec<Sent>>,
    next_page: AtomicUsize,
    /// Whether clients use the added route.
    uses_added: AtomicBool,
    has_ended: AtomicBool,
}

pub fn play(case: &Case) -> Verdict {
    let store = Store::start().map_err(|e| e.to_string())?;
    store.put("keyed.op", "config", &config(1, &ROUTES[..1]));
    let work = Work {
        short: WORK,
        long: WORK,
        read_first: None,
    };
    let zones = [
        ("tbilisi", "tbs-vake"),
        ("imereti", "kut-center"),
        ("adjara", "bat-port"),
    ];
    let mut machines = Vec::new();
    for number in 1..=MACHINES {
        let (region, zone) = zones[number % zones.len()];
        let machine = Machine::start(
            &format!("side-{number}"),
            &Place { region, zone },
            "archive",
            &SITE,
            store.addr,
            work,
            &case.dir,
            &case.record,
        );
        machines.push(machine.map_err(|e| e.to_string())?);
    }
    for machine in &machines {
        if !machine.wait_ready(Duration::from_secs(15)) {
            return Err(format!("{} is not ready", machine.name));
        }
    }
    let play = Play {
        machines,
        client: Client::new(HOST, DEADLINE.as_millis() as u64),
        sent: Mutex::default(),
        next_page: AtomicUsize::new(0),
        uses_added: AtomicBool::new(false),
        has_ended: AtomicBool::new(false),
    };
    let verdict = thread::scope(|scope| {
        for index in 0..MACHINES {
            for (route, clients) in CLIENTS.into_iter().enumerate() {
                for _ in 0..clients {
                    let play = &play;
                    scope.spawn(move || play.use_route(index, route));
                }
            }
        }
        let verdict = play.run(case, &store);
        play.has_ended.store(true, Ordering::SeqCst);
        verdict
    });
    for machine in &play.machines {
        for text in ["backend server crashed", "request quarantined"] {
            for line in machine.log_lines(text).iter().take(1) {
                case.record
                    .line(&format!("log of {}: {line}", machine.name));
            }
        }
    }
    verdict
}

impl Play {
    fn run(&self, case: &Case, store: &Store) -> Verdict {
        // In touch: no disruption for contact-ms.
        thread::sleep(Duration::from_secs(4));
        store.put("keyed.op", "config", &config(7, &ROUTES));
        case.record.line(&format!(
            "operator: version 7 acknowledged by the store: route {} added",
            ROUTES[1]
        ));
        thread::sleep(IN_FORCE);
        let begun = Instant::now();
        self.uses_added.store(true, Ordering::SeqCst);
        case.record.line("clients begin to use the added route");
        thread::sleep(CRASH_AFTER);
        let crashed_at = Instant::now();
        // Those that work on most requests.
        let mut crashed: Vec<&Arc<Machine>> = self.machines.iter().collect();
        crashed.sort_by_key(|machine| Reverse(machine.upstream.running()));
        crashed.truncate(CRASHED);
        if case.trouble {
            thread::scope(|scope| {
                for machine in &crashed {
                    scope.spawn(|| machine.upstream.crash());
                }
            });
            let names: Vec<&str> = crashed
                .iter()
                .map(|machine| machine.name.as_str())
                .collect();
            case.record
                .line(&format!("the upstreams of {} crash", names.join(" and ")));
        }
        thread::sleep(DOWN);
        if case.trouble {
            for machine in &crashed {
                let started = machine.upstream.start_again();
                started.map_err(|e| e.to_string())?;
            }
            case.record.line("they run again");
        }
        thread::sleep(SETTLE);
        let from = Instant::now();
        thread::sleep(COUNTED);
        let to = Instant::now();
        self.has_ended.store(true, Ordering::SeqCst);
        // The last requests are answered, or time out.
        thread::sleep(Duration::from_millis(6_500));
        for (when, from, to) in [
            ("sent before the crash", begun, crashed_at),
            ("sent from then on until all is calm", crashed_at, from),
        ] {
            for route in 0..ROUTES.len() {
                self.count(case, when, route, from, to);
            }
        }
        let (first, first_served) = self.count(case, "in the calm", 0, from, to);
        let (added, added_served) = self.count(case, "in the calm", 1, from, to);
        if first == 0 {
            return Err("no request on the first route".to_owned());
        }
        // At least 20 requests, served less than a quarter as often.
        Ok(added >= 20 && 4 * added_served * first < first_served * added)
    }

    /// Sends requests on a route until the end, from one client of a machine.
    fn use_route(&self, machine: usize, route: usize) {
        while !self.has_ended.load(Ordering::SeqCst) {
            if route == 0 {
                let page = self.next_page.fetch_add(1, Ordering::SeqCst);
                self.ask(machine, route, &format!("{}{page}", ROUTES[route]));
            } else if self.uses_added.load(Ordering::SeqCst) {
                self.ask(machine, route, ROUTES[route]);
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Asks for a page, and twice more after a failure.
    fn ask(&self, machine: usize, route: usize, page: &str) {
        let until = Instant::now() + DEADLINE;
        for _ in 0..3 {
            let at = Instant::now();
            let left = until.saturating_duration_since(at);
            if left < Duration::from_millis(500) || self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let (id, deadline) = (self.client.next_id(), left.as_millis().to_string());
            let fields = [
                ("Host", self.client.host),
                ("X-Sycamorewick-Attempt-Id", id.as_str()),
                ("X-Sycamorewick-Deadline-Ms", deadline.as_str()),
            ];
            let addr = self.machines[machine].addrs.outbound;
            let response = http::call(addr, "GET", page, &fields, b"", left);
            let status = response.as_ref().map_or(0, |response| response.status);
            self.sent.lock().unwrap().push(Sent {
                id,
                at,
                route,
                status,
            });
            if status == 200 {
                return;
            }
            let retry_after = response.ok().and_then(|response| {
                let text = response.field("retry-after")?;
                text.parse().ok()
            });
            // Clients honour it up to a third of the time that they have left.
            let longest = until.saturating_duration_since(Instant::now()) / 3;
            let pause = Duration::try_from_secs_f64(retry_after.unwrap_or(0.2));
            thread::sleep(pause.unwrap_or(longest).min(longest));
        }
    }

    /// Records the statuses and runs of the requests that were sent on a route in a time. Returns how many there were,
    /// and how many of them were served.
    fn count(
        &self,
        case: &Case,
        when: &str,
        route: usize,
        from: Instant,
        to: Instant,
    ) -> (usize, usize) {
        let runs: HashSet<String> = self
            .machines
            .iter()
            .flat_map(|machine| machine.upstream.run_ids())
            .collect();
        let (mut all, mut served, mut run) = (0, 0, 0);
        let mut statuses: BTreeMap<u16, usize> = BTreeMap::new();
        for request in self.sent.lock().unwrap().iter() {
            if request.route != route || request.at < from || request.at > to {
                continue;
            }
            all += 1;
            served += usize::from(request.status == 200);
            run += usize::from(runs.contains(&request.id));
            *statuses.entry(request.status).or_default() += 1;
        }
        case.record.line(&format!(
            "{}, {when}: {served} of {all} requests served, {run} have run; status and number: {statuses:?}",
            ROUTES[route]
        ));
        (all, served)
    }
}
