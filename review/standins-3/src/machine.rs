//! A machine of the platform: a sidecar process and the upstream beside it.

use std::fs;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Connection;
use crate::http::Head;
use crate::http::Response;
use crate::record::Record;

/// Processes of all machines; `None` once the case has ended, so that none is started any more.
static PROCESSES: Mutex<Option<Vec<Child>>> = Mutex::new(Some(Vec::new()));

/// Ends all processes at the end of a case.
pub fn end_all() {
    let processes = PROCESSES.lock().unwrap().take();
    for mut child in processes.into_iter().flatten() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Figures of a deployment.
#[derive(Clone, Copy)]
pub struct Site {
    pub memory_mb: u32,
    pub fds: u32,
    pub cpu_share: f64,
    pub link_mbps: f64,
    pub slots: usize,
    pub config_ms: u64,
    pub grace_s: u64,
    pub retry_slack: u32,
}

/// A run of a request at an upstream.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    /// How it ended; `None` while it runs.
    pub end: Option<&'static str>,
}

/// What the upstreams of a case do with requests.
#[derive(Clone, Copy)]
pub struct Work {
    /// Time of a request without a long body.
    pub short: Duration,
    /// Time of a request with a long body.
    pub long: Duration,
    /// Part of a long body that is read before the work; the rest is read after it.
    pub read_first: Option<usize>,
}

/// Start of the upstreams.
const BORN: u64 = 1_780_000_000_000;
/// Body from which on a request counts as long.
pub const LONG_BODY: usize = 64 << 10;

pub struct Upstream {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub runs: Mutex<Vec<Run>>,
    work: Work,
    slots: usize,
    running: AtomicUsize,
    /// One of so many requests fails after its work; none if it is zero.
    fails_each: AtomicUsize,
    record: Arc<Record>,
}

impl Upstream {
    fn start(
        id: &str,
        service: &str,
        slots: usize,
        work: Work,
        record: Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let upstream = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            addr: listener.local_addr()?,
            runs: Mutex::default(),
            work,
            slots,
            running: AtomicUsize::new(0),
            fails_each: AtomicUsize::new(0),
            record,
        });
        let serving = upstream.clone();
        http::serve(listener, move |mut connection| {
            while let Ok(head) = connection.read_head() {
                if serving.handle(&mut connection, &head).is_err() {
                    return;
                }
            }
        });
        Ok(upstream)
    }

    fn handle(&self, connection: &mut Connection, head: &Head) -> io::Result<()> {
        if head.path() == "/healthz" {
            let response = Response::new(200, "").with("X-Sycamorewick-Instance", &self.id);
            return response.write(&mut connection.stream);
        }
        let id = head.field("x-sycamorewick-attempt-id").unwrap_or_default();
        let not_run = |status, connection: &mut Connection| {
            connection.drop_body(head.length())?;
            let response = Response::new(status, "")
                .with("X-Sycamorewick-Attempt-Id", id)
                .with("X-Sycamorewick-Instance", &self.id)
                .with("X-Sycamorewick-Not-Executed", "1");
            response.write(&mut connection.stream)
        };
        if id.is_empty() {
            return not_run(400, connection);
        }
        let expected = head.field("x-sycamorewick-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return not_run(421, connection);
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return not_run(503, connection);
        }
        let index = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                id: id.to_owned(),
                end: None,
            });
            runs.len() - 1
        };
        let each = self.fails_each.load(Ordering::SeqCst);
        let fails = each > 0 && index % each == 0;
        let is_long = head.length() >= LONG_BODY;
        if is_long {
            self.record.line(&format!(
                "upstream {} begins to run {id}, body {} bytes",
                self.id,
                head.length()
            ));
        }
        let result = self.run(connection, head, id, fails);
        let end = if result.is_ok() {
            "answered"
        } else {
            "connection broke"
        };
        self.runs.lock().unwrap()[index].end = Some(end);
        self.running.fetch_sub(1, Ordering::SeqCst);
        if is_long {
            self.record
                .line(&format!("upstream {}: {id} {end}", self.id));
        }
        result
    }

    fn run(
        &self,
        connection: &mut Connection,
        head: &Head,
        id: &str,
        fails: bool,
    ) -> io::Result<()> {
        let length = head.length();
        if length >= LONG_BODY {
            let first = self.work.read_first.unwrap_or(length).min(length);
            connection.drop_body(first)?;
            thread::sleep(self.work.long);
            connection.drop_body(length - first)?;
        } else {
            connection.drop_body(length)?;
            thread::sleep(self.work.short);
        }
        let status = if fails { 503 } else { 200 };
        let response = Response::new(status, format!("{} {}", self.id, head.target))
            .with("X-Sycamorewick-Attempt-Id", id)
            .with("X-Sycamorewick-Response-Seal", &format!("{}.{id}", self.id));
        response.write(&mut connection.stream)
    }

    pub fn find(&self, id: &str) -> Option<Run> {
        let runs = self.runs.lock().unwrap();
        runs.iter().find(|run| run.id == id).cloned()
    }

    /// Makes one of so many requests fail after its work, or none if the number is zero.
    pub fn set_failing(&self, each: usize) {
        self.fails_each.store(each, Ordering::SeqCst);
    }

    pub fn running(&self) -> usize {
        self.running.load(Ordering::SeqCst)
    }
}

/// Addresses of a sidecar.
#[derive(Clone, Copy)]
pub struct Addrs {
    pub outbound: SocketAddr,
    pub inbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub metrics: SocketAddr,
}

/// Returns a free port below those that outgoing connections use, so that none of them takes it before the process
/// listens there.
fn free_addr() -> io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = u16::try_from(std::process::id() % 900).unwrap_or(0) * 20;
    for _ in 0..2_000 {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let port = 10_000 + first.wrapping_add(number) % 20_000;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() {
            return Ok(addr);
        }
    }
    Err(io::Error::other("no port is free"))
}

fn free_addrs() -> io::Result<Addrs> {
    Ok(Addrs {
        outbound: free_addr()?,
        inbound: free_addr()?,
        ready: free_addr()?,
        control: free_addr()?,
        metrics: free_addr()?,
    })
}

pub struct Machine {
    pub name: String,
    pub addrs: Addrs,
    pub upstream: Arc<Upstream>,
    /// Id of the process that runs.
    process: Mutex<Option<u32>>,
    settings: PathBuf,
    log: PathBuf,
}

/// Where a machine stands.
pub struct Place<'a> {
    pub region: &'a str,
    pub zone: &'a str,
}

impl Machine {
    pub fn start(
        name: &str,
        place: &Place<'_>,
        service: &str,
        site: &Site,
        store: SocketAddr,
        work: Work,
        dir: &Path,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let upstream = Upstream::start(
            &format!("i-{name}"),
            service,
            site.slots,
            work,
            record.clone(),
        )?;
        let addrs = free_addrs()?;
        let settings = dir.join(format!("{name}.json"));
        let text = format!(
            r#"{{"id":"{name}","region":"{region}","failure_domain":"{zone}","service":"{service}",
"backend_addr":"{}","caller_addr":"{}","node_addr":"{}","advertised_node_addr":"{}","ready_addr":"{}",
"heartbeat_addr":"{}","metrics_addr":"{}","store_addr":"{store}","heartbeat_interval_ms":1500,
"config_within_ms":{},"stop_within_s":{},"cpu_share":{},"link_mbps":{},"retry_ratio":0.2,"retry_slack":{},
"retry_window_s":10,"domains":[{{"domain":"{zone}","region":"{region}"}}],"spillover":true,"memory_mb":{},"max_open_files":{}}}"#,
            upstream.addr,
            addrs.outbound,
            addrs.inbound,
            addrs.inbound,
            addrs.ready,
            addrs.control,
            addrs.metrics,
            site.config_ms,
            site.grace_s,
            site.cpu_share,
            site.link_mbps,
            site.retry_slack,
            site.memory_mb,
            site.fds,
            region = place.region,
            zone = place.zone,
        );
        fs::write(&settings, text)?;
        let machine = Arc::new(Self {
            name: name.to_owned(),
            addrs,
            upstream,
            process: Mutex::new(None),
            settings,
            log: dir.join(format!("{name}.log")),
        });
        machine.start_process()?;
        machine.start_heartbeats();
        Ok(machine)
    }

    pub fn start_process(&self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut processes = PROCESSES.lock().unwrap();
        let Some(processes) = &mut *processes else {
            return Ok(());
        };
        let child = Command::new("target/release/sycamorewick")
            .args(["sidecar", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        *self.process.lock().unwrap() = Some(child.id());
        processes.push(child);
        Ok(())
    }

    pub fn pid(&self) -> Option<u32> {
        *self.process.lock().unwrap()
    }

    /// Ends the process as the platform does with one that exceeds its memory.
    pub fn kill(&self) {
        let mut processes = PROCESSES.lock().unwrap();
        let pid = self.process.lock().unwrap().take();
        let mut children = processes.iter_mut().flatten();
        if let Some(child) = children.find(|child| Some(child.id()) == pid) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) -> io::Result<()> {
        let Some(pid) = self.pid() else {
            return Ok(());
        };
        let command = format!("kill -TERM {pid}");
        let status = Command::new("sh").args(["-c", &command]).status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other("kill -TERM failed"))
        }
    }

    /// Returns the resident memory of the process, bytes.
    pub fn memory(&self) -> Option<u64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid()?)).ok()?;
        let line = text.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kb: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kb << 10)
    }

    fn start_heartbeats(self: &Arc<Self>) {
        let machine = Arc::downgrade(self);
        thread::spawn(move || {
            let mut seq = 1;
            while let Some(machine) = machine.upgrade() {
                let _ = machine.send_heartbeat(seq);
                seq += 1;
                drop(machine);
                thread::sleep(Duration::from_millis(1_500));
            }
        });
    }

    /// Sends a heartbeat that reports the upstream as ready, and returns the status of the answer.
    pub fn send_heartbeat(&self, seq: usize) -> io::Result<u16> {
        let upstream = &self.upstream;
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{BORN},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"z\",\"slots\":{}}},\"status\":{{\"state\":\"ready\",\"seq\":{seq},\"cold-left-ms\":0}}}}",
            upstream.addr, upstream.service, upstream.slots
        );
        self.report("Heartbeat", &body)
    }

    fn report(&self, call: &str, body: &str) -> io::Result<u16> {
        let target = format!("/sycamorewick/Instances.{call}/{}", self.upstream.id);
        let fields = [("Host", "platform"), ("Content-Type", "application/json")];
        let limit = Duration::from_secs(1);
        let control = self.addrs.control;
        let answer = http::call(control, "POST", &target, &fields, body.as_bytes(), limit)?;
        Ok(answer.status)
    }

    pub fn is_ready(&self) -> bool {
        let fields = [("Host", "platform")];
        let target = "/sycamorewick/readyz";
        let response = http::call(
            self.addrs.ready,
            "GET",
            target,
            &fields,
            b"",
            Duration::from_secs(1),
        );
        response.is_ok_and(|response| response.status == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the lines of the process's log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let Ok(file) = File::open(&self.log) else {
            return Vec::new();
        };
        let lines = io::BufReader::new(file).lines().map_while(Result::ok);
        lines.filter(|line| line.contains(text)).collect()
    }
}

/// Sends a request of a client of a machine.
pub struct Client {
    pub host: &'static str,
    pub deadline_ms: u64,
    next: AtomicUsize,
}

impl Client {
    pub fn new(host: &'static str, deadline_ms: u64) -> Self {
        Self {
            host,
            deadline_ms,
            next: AtomicUsize::new(1),
        }
    }

    pub fn next_id(&self) -> String {
        format!("{:016x}", self.next.fetch_add(1, Ordering::SeqCst))
    }

    /// Sends a request and returns its id and the status; 0 if there was no answer.
    pub fn call(
        &self,
        machine: &Machine,
        method: &str,
        target: &str,
        key: Option<&str>,
        body: &[u8],
    ) -> (String, u16) {
        let id = self.next_id();
        let deadline = self.deadline_ms.to_string();
        let mut fields = vec![
            ("Host", self.host),
            ("X-Sycamorewick-Attempt-Id", id.as_str()),
            ("X-Sycamorewick-Deadline-Ms", deadline.as_str()),
        ];
        if let Some(key) = key {
            fields.push(("X-Sycamorewick-Credential", key));
        }
        let limit = Duration::from_millis(self.deadline_ms + 500);
        let response = http::call(machine.addrs.outbound, method, target, &fields, body, limit);
        let status = response.map_or(0, |response| response.status);
        (id, status)
    }
}
