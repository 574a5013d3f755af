//! A machine of the platform: a sidecar process and the upstream beside it.

use std::fs;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

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

/// Start of the upstreams that are not started again.
const BORN: u64 = 1_780_000_000_000;
/// Time for which an upstream that has been started again is slow, and the factor, as in the site files.
const COLD: Duration = Duration::from_secs(3);
const COLD_FACTOR: u32 = 2;
/// Body from which on a request counts as long.
pub const LONG_BODY: usize = 64 << 10;

/// One start of an upstream.
struct Incarnation {
    id: String,
    born: u64,
    /// Time until which it is slow.
    cold_until: Instant,
    /// Whether it runs. Once it has ended it accepts and answers nothing any more.
    is_up: AtomicBool,
    running: AtomicUsize,
    connections: Mutex<Vec<TcpStream>>,
}

pub struct Upstream {
    name: String,
    pub service: String,
    pub addr: SocketAddr,
    pub runs: Mutex<Vec<Run>>,
    work: Work,
    slots: usize,
    incarnation: Mutex<Arc<Incarnation>>,
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
        let incarnation = Arc::new(Incarnation {
            id: id.to_owned(),
            born: BORN,
            cold_until: Instant::now(),
            is_up: AtomicBool::new(true),
            running: AtomicUsize::new(0),
            connections: Mutex::default(),
        });
        let upstream = Arc::new(Self {
            name: id.to_owned(),
            service: service.to_owned(),
            addr: listener.local_addr()?,
            runs: Mutex::default(),
            work,
            slots,
            incarnation: Mutex::new(incarnation.clone()),
            record,
        });
        upstream.serve(listener, incarnation);
        Ok(upstream)
    }

    fn serve(self: &Arc<Self>, listener: TcpListener, incarnation: Arc<Incarnation>) {
        let serving = self.clone();
        let accepting = incarnation.clone();
        let is_up = move || accepting.is_up.load(Ordering::SeqCst);
        http::serve_while(listener, is_up, move |mut connection| {
            if let Ok(stream) = connection.stream.try_clone() {
                incarnation.connections.lock().unwrap().push(stream);
            }
            while let Ok(head) = connection.read_head() {
                let result = serving.handle(&mut connection, &head, &incarnation);
                if result.is_err() || !incarnation.is_up.load(Ordering::SeqCst) {
                    return;
                }
            }
        });
    }

    /// Ends the upstream as a crash does: all its connections end, and new ones are refused.
    pub fn crash(&self) {
        let incarnation = self.current();
        incarnation.is_up.store(false, Ordering::SeqCst);
        // The listener is closed by then.
        thread::sleep(2 * http::ACCEPT_INTERVAL);
        for stream in incarnation.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts a new incarnation at the same address, with an id of its own, after [`Self::crash`].
    pub fn start_again(self: &Arc<Self>) -> io::Result<()> {
        let listener = TcpListener::bind(self.addr)?;
        let born = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let born = u64::try_from(born.as_millis()).unwrap_or(BORN);
        let incarnation = Arc::new(Incarnation {
            id: format!("{}-{born}", self.name),
            born,
            cold_until: Instant::now() + COLD,
            is_up: AtomicBool::new(true),
            running: AtomicUsize::new(0),
            connections: Mutex::default(),
        });
        *self.incarnation.lock().unwrap() = incarnation.clone();
        self.serve(listener, incarnation);
        Ok(())
    }

    fn current(&self) -> Arc<Incarnation> {
        self.incarnation.lock().unwrap().clone()
    }

    fn handle(
        &self,
        connection: &mut Connection,
        head: &Head,
        incarnation: &Incarnation,
    ) -> io::Result<()> {
        let own_id = incarnation.id.as_str();
        if head.path() == "/healthz" {
            let response = Response::new(200, "").with("X-Sycamorewick-Instance", own_id);
            return response.write(&mut connection.stream);
        }
        let id = head.field("x-sycamorewick-attempt-id").unwrap_or_default();
        let not_run = |status, connection: &mut Connection| {
            connection.drop_body(head.length())?;
            let response = Response::new(status, "")
                .with("X-Sycamorewick-Attempt-Id", id)
                .with("X-Sycamorewick-Instance", own_id)
                .with("X-Sycamorewick-Not-Executed", "1");
            response.write(&mut connection.stream)
        };
        if id.is_empty() {
            return not_run(400, connection);
        }
        let expected = head.field("x-sycamorewick-expect-instance");
        if expected.is_some_and(|expected| expected != own_id) {
            return not_run(421, connection);
        }
        let running = &incarnation.running;
        if running.fetch_add(1, Ordering::SeqCst) >= self.slots {
            running.fetch_sub(1, Ordering::SeqCst);
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
        let is_long = head.length() >= LONG_BODY;
        if is_long {
            self.record.line(&format!(
                "upstream {own_id} begins to run {id}, body {} bytes",
                head.length()
            ));
        }
        let result = self.run(connection, head, id, incarnation);
        let end = if result.is_ok() {
            "answered"
        } else {
            "connection broke"
        };
        self.runs.lock().unwrap()[index].end = Some(end);
        running.fetch_sub(1, Ordering::SeqCst);
        if is_long {
            self.record.line(&format!("upstream {own_id}: {id} {end}"));
        }
        result
    }

    fn run(
        &self,
        connection: &mut Connection,
        head: &Head,
        id: &str,
        incarnation: &Incarnation,
    ) -> io::Result<()> {
        let is_cold = Instant::now() < incarnation.cold_until;
        let factor = if is_cold { COLD_FACTOR } else { 1 };
        let length = head.length();
        if length >= LONG_BODY {
            let first = self.work.read_first.unwrap_or(length).min(length);
            connection.drop_body(first)?;
            thread::sleep(self.work.long * factor);
            connection.drop_body(length - first)?;
        } else {
            connection.drop_body(length)?;
            thread::sleep(self.work.short * factor);
        }
        let response = Response::new(200, format!("{} {}", incarnation.id, head.target))
            .with("X-Sycamorewick-Attempt-Id", id)
            .with(
                "X-Sycamorewick-Response-Seal",
                &format!("{}.{id}", incarnation.id),
            );
        response.write(&mut connection.stream)
    }

    pub fn find(&self, id: &str) -> Option<Run> {
        let runs = self.runs.lock().unwrap();
        runs.iter().find(|run| run.id == id).cloned()
    }

    /// Returns the ids of all requests that have run.
    pub fn run_ids(&self) -> Vec<String> {
        let runs = self.runs.lock().unwrap();
        runs.iter().map(|run| run.id.clone()).collect()
    }

    pub fn running(&self) -> usize {
        self.current().running.load(Ordering::SeqCst)
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
    let first = u16::try_from(std::process::id() % 180).unwrap_or(0) * 110;
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
            let (mut seq, mut born) = (1, BORN);
            let mut next = Instant::now();
            while let Some(machine) = machine.upgrade() {
                let incarnation = machine.upstream.current();
                if incarnation.born != born {
                    (seq, born, next) = (1, incarnation.born, Instant::now());
                }
                if Instant::now() >= next && incarnation.is_up.load(Ordering::SeqCst) {
                    let _ = machine.send_heartbeat_of(&incarnation, seq);
                    seq += 1;
                    next = Instant::now() + Duration::from_millis(1_500);
                }
                drop(machine);
                thread::sleep(Duration::from_millis(10));
            }
        });
    }

    /// Sends a heartbeat that reports the upstream as ready, and returns the status of the answer.
    fn send_heartbeat_of(&self, incarnation: &Incarnation, seq: usize) -> io::Result<u16> {
        let upstream = &self.upstream;
        let cold_left = incarnation
            .cold_until
            .saturating_duration_since(Instant::now());
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"z\",\"slots\":{}}},\"status\":{{\"state\":\"ready\",\"seq\":{seq},\"cold-left-ms\":{}}}}}",
            upstream.addr,
            incarnation.born,
            upstream.service,
            upstream.slots,
            cold_left.as_millis()
        );
        let target = format!("/sycamorewick/Instances.Heartbeat/{}", incarnation.id);
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
