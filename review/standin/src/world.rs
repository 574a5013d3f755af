//! A small deployment: store, sidecar processes, upstreams, and the record of what happened.

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Response, call, free_addr, read_response_head, request_bytes, serve};
use crate::store::Store;

pub const HOST: &str = "ficu95.example";
pub const BEAT: Duration = Duration::from_millis(1500);
pub const DRAIN: Duration = Duration::from_secs(2);
pub const CONTACT: Duration = Duration::from_secs(3);

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = fs::File::create(path).expect("record");
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }
    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.now().as_secs_f64(), text.as_ref());
        print!("{line}");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

pub struct Node {
    pub id: String,
    pub settings: PathBuf,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub backend: SocketAddr,
    pub child: Option<Child>,
}

pub struct World {
    pub record: Record,
    pub trouble: bool,
    pub dir: PathBuf,
    pub store: Store,
    pub nodes: Vec<Node>,
    /// Body of the requests of `unsafe` routes.
    pub claim: Vec<u8>,
    attempts: AtomicU64,
}

impl Drop for World {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(child) = &mut node.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// The root of the repository, in which the platform starts the program.
fn root() -> PathBuf {
    PathBuf::from(std::env::var("REPO").expect("REPO"))
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

impl World {
    pub fn new(record: Record) -> Self {
        let dir = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&dir).expect("temporary folder");
        let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
        record.line(format!("trouble: {trouble}"));
        let store = Store::start(free_addr());
        Self {
            record,
            trouble,
            dir,
            store,
            nodes: Vec::new(),
            claim: b"claim".to_vec(),
            attempts: AtomicU64::new(0),
        }
    }

    /// Prepares a node. `store` is the address at which it reaches the store.
    pub fn add_node(&mut self, zone: &str, service: &str, store: SocketAddr) -> usize {
        let node = free_addr();
        self.add_node_behind(zone, service, store, node, node, 1000.0)
    }

    /// Prepares a node that listens at `node` for other nodes, and is reached by them at `advertised`.
    pub fn add_node_behind(
        &mut self,
        zone: &str,
        service: &str,
        store: SocketAddr,
        node: SocketAddr,
        advertised: SocketAddr,
        link_mbps: f64,
    ) -> usize {
        let index = self.nodes.len();
        let id = format!("side-{zone}-{index}");
        let [caller, ready, control, backend, metrics] = [(); 5].map(|()| free_addr());
        let region = zone.rsplit_once('-').map_or(zone, |(region, _)| region);
        let settings = self.dir.join(format!("{id}.jsonc"));
        let text = format!(
            r#"{{ "id": "{id}", "region": "{region}", "failure_domain": "{zone}", "service": "{service}",
  "backend_addr": "{backend}", "caller_addr": "{caller}", "node_addr": "{node}", "advertised_node_addr": "{advertised}",
  "ready_addr": "{ready}", "heartbeat_addr": "{control}", "metrics_addr": "{metrics}", "store_addr": "{store}",
  "heartbeat_interval_ms": 1500, "config_within_ms": 2000, "stop_within_s": 6, "cpu_share": 0.2, "link_mbps": {link_mbps:.1},
  "retry_ratio": 0.2, "retry_slack": 56, "retry_window_s": 10 }}"#
        );
        fs::write(&settings, text).expect("settings");
        self.nodes.push(Node {
            id,
            settings,
            caller,
            ready,
            control,
            backend,
            child: None,
        });
        index
    }

    pub fn start_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", node.id)))
            .expect("log");
        let child = Command::new(root().join("target/release/sycamorewick"))
            .current_dir(root())
            .args(["sidecar", "--settings"])
            .arg(&node.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("log"))
            .stdout(log)
            .spawn()
            .expect("sycamorewick; build it first");
        self.record.line(format!(
            "platform: started {} as process {}",
            node.id,
            child.id()
        ));
        node.child = Some(child);
    }

    /// Ends the process of a node with SIGKILL.
    pub fn kill_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        if let Some(mut child) = node.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record
                .line(format!("platform: SIGKILL to {}", node.id));
        }
    }

    /// Sends SIGTERM to the process of a node.
    pub fn terminate_node(&self, index: usize) {
        let node = &self.nodes[index];
        if let Some(child) = &node.child {
            let _ = Command::new("kill")
                .args(["-TERM", &child.id().to_string()])
                .status();
            self.record
                .line(format!("platform: SIGTERM to {}", node.id));
        }
    }

    pub fn is_ready(&self, index: usize) -> bool {
        let addr = self.nodes[index].ready;
        call(
            addr,
            "GET",
            "/sycamorewick/readyz",
            &[("host", "node")],
            b"",
            Duration::from_secs(1),
        )
        .is_ok_and(|response| response.status == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        (0..self.nodes.len()).all(|index| {
            loop {
                if self.is_ready(index) {
                    return true;
                }
                if Instant::now() > until {
                    return false;
                }
                thread::sleep(Duration::from_millis(50));
            }
        })
    }

    /// Writes a configuration. Each route is (name, prefix, kind, service, timeout-ms, slo-ms, attempts).
    pub fn put_config(&self, version: u32, routes: &[(&str, &str, &str, &str, u32, u32, u8)]) {
        let mut services = BTreeMap::new();
        let texts: Vec<String> = routes
            .iter()
            .map(|(name, prefix, kind, service, timeout, slo, attempts)| {
                services.insert(*service, ());
                format!(
                    r#""{name}":{{"host":"{HOST}","prefix":"{prefix}","kind":"{kind}","timeout-ms":{timeout},"slo-ms":{slo},"priority":1,"service":"{service}","attempts":{attempts}}}"#
                )
            })
            .collect();
        let services: Vec<String> = services
            .keys()
            .map(|name| format!(r#""{name}":{{"health-path":"/healthz","max-conns":110}}"#))
            .collect();
        let text = format!(
            r#"{{"version":"{version:08x}","routes":{{{}}},"services":{{{}}},"limits":{{"header-bytes":16384,"body-bytes":1048576,"header-ms":3000,"idle-ms":15000}}}}"#,
            texts.join(","),
            services.join(",")
        );
        self.store.put("keyed.op", "config", text.as_bytes());
        self.record.line(format!(
            "operator: configuration {version:08x} acknowledged"
        ));
    }

    pub fn attempt(&self) -> String {
        format!(
            "{:016x}",
            0x9c41_0000 + self.attempts.fetch_add(1, Ordering::Relaxed)
        )
    }

    /// Sends a request of a client that reads the answer at the speed of its link. Returns whether the
    /// request was answered: with the whole of what the node announced.
    pub fn slow_client(&self, index: usize, path: &str, mbps: f64, deadline_ms: u32) -> bool {
        let attempt = self.attempt();
        let deadline = deadline_ms.to_string();
        let headers = [
            ("host", HOST),
            ("x-sycamorewick-attempt-id", attempt.as_str()),
            ("x-sycamorewick-deadline-ms", deadline.as_str()),
        ];
        let sent = self.record.now();
        let read = || -> std::io::Result<(String, usize, usize)> {
            let mut stream = TcpStream::connect(self.nodes[index].caller)?;
            stream.write_all(&request_bytes("GET", path, &headers, b""))?;
            let mut reader = BufReader::new(stream);
            let (status, length) = read_response_head(&mut reader)?;
            let mut received = 0;
            let mut buf = vec![0; 16 << 10];
            while received < length {
                let count = reader.read(&mut buf).unwrap_or(0);
                if count == 0 {
                    break;
                }
                received += count;
                thread::sleep(Duration::from_secs_f64(count as f64 * 8.0 / (mbps * 1e6)));
            }
            Ok((status, received, length))
        };
        let result = read();
        let text = match &result {
            Ok((status, received, length)) => {
                format!("{status}, {received} of {length} bytes of the body")
            }
            Err(e) => format!("no answer: {e}"),
        };
        self.record.line(format!(
            "client: GET {path} {attempt} sent to {} at {:.3}, ended after {:.3} s: {text}",
            self.nodes[index].id,
            sent.as_secs_f64(),
            (self.record.now() - sent).as_secs_f64()
        ));
        result.is_ok_and(|(_, received, length)| received == length)
    }

    /// Sends a request of a client and records it with its answer. Returns status and attempt.
    pub fn client(
        &self,
        index: usize,
        method: &str,
        path: &str,
        deadline_ms: u32,
    ) -> (Option<Response>, String) {
        let attempt = self.attempt();
        let deadline = deadline_ms.to_string();
        let headers = [
            ("host", HOST),
            ("x-sycamorewick-attempt-id", attempt.as_str()),
            ("x-sycamorewick-deadline-ms", deadline.as_str()),
        ];
        let sent = self.record.now();
        let body = if method == "POST" {
            self.claim.clone()
        } else {
            Vec::new()
        };
        let timeout = Duration::from_millis(u64::from(deadline_ms) + 1000);
        let response = call(
            self.nodes[index].caller,
            method,
            path,
            &headers,
            &body,
            timeout,
        );
        let text = match &response {
            Ok(response) => format!(
                "{}, seal {}",
                response.status,
                response
                    .get("x-sycamorewick-response-seal")
                    .unwrap_or("none")
            ),
            Err(e) => format!("no answer: {e}"),
        };
        self.record.line(format!(
            "client: {method} {path} {attempt} sent to {} at {:.3}: {text}",
            self.nodes[index].id,
            sent.as_secs_f64()
        ));
        (response.ok(), attempt)
    }
}

/// One run of a request at an upstream.
#[derive(Clone)]
pub struct Run {
    pub attempt: String,
    pub at: Duration,
}

/// An upstream: serves requests and sends heartbeats to its node.
pub struct Upstream {
    pub id: String,
    pub service: String,
    pub version: String,
    pub born: u64,
    pub addr: SocketAddr,
    pub control: SocketAddr,
    pub zone: String,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub seq: Arc<AtomicU64>,
    pub beating: Arc<AtomicBool>,
    pub ended: Arc<AtomicBool>,
    /// Percentage of the runs of which the answer is lost: the connection is closed instead.
    pub lost_percent: Arc<AtomicU64>,
    pub record: Record,
}

pub struct Work {
    pub time: Duration,
    pub body_bytes: usize,
}

/// Draws which answers of an upstream are lost.
fn is_lost(number: u64, percent: u64) -> bool {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ (mixed >> 31)) % 100 < percent
}

impl Upstream {
    pub fn start(
        world: &World,
        index: usize,
        id: &str,
        service: &str,
        zone: &str,
        work: Work,
    ) -> Arc<Self> {
        let node = &world.nodes[index];
        let upstream = Arc::new(Self {
            id: id.into(),
            service: service.into(),
            version: "v1".into(),
            born: unix_ms(),
            addr: node.backend,
            control: node.control,
            zone: zone.into(),
            runs: Arc::default(),
            seq: Arc::default(),
            beating: Arc::new(AtomicBool::new(true)),
            ended: Arc::default(),
            lost_percent: Arc::default(),
            record: world.record.clone(),
        });
        let me = upstream.clone();
        serve(node.backend, upstream.ended.clone(), move |req, _| {
            let attempt = req
                .get("x-sycamorewick-attempt-id")
                .unwrap_or("none")
                .to_string();
            if req.path() == "/healthz" {
                return Some(
                    Response::new(200, "").header("X-Sycamorewick-Instance", me.id.clone()),
                );
            }
            if req
                .get("x-sycamorewick-expect-instance")
                .is_some_and(|id| id != me.id)
            {
                let response =
                    Response::new(421, "").header("X-Sycamorewick-Attempt-Id", attempt.clone());
                me.record.line(format!(
                    "upstream {}: {attempt} answered 421, not run",
                    me.id
                ));
                return Some(response.header("X-Sycamorewick-Not-Executed", "1"));
            }
            let at = me.record.now();
            me.record.line(format!(
                "upstream {}: runs {attempt} {} {}",
                me.id, req.method, req.target
            ));
            let number = {
                let mut runs = me.runs.lock().unwrap();
                runs.push(Run {
                    attempt: attempt.clone(),
                    at,
                });
                runs.len() as u64
            };
            thread::sleep(work.time);
            if is_lost(number, me.lost_percent.load(Ordering::Relaxed)) {
                me.record.line(format!(
                    "upstream {}: the answer to {attempt} is lost",
                    me.id
                ));
                return None;
            }
            let seal = format!("{}.{attempt}", me.id);
            let response = Response::new(200, vec![b'x'; work.body_bytes]);
            Some(
                response
                    .header("X-Sycamorewick-Attempt-Id", attempt)
                    .header("X-Sycamorewick-Response-Seal", seal),
            )
        })
        .expect("upstream");
        let me = upstream.clone();
        thread::spawn(move || {
            while !me.ended.load(Ordering::Relaxed) {
                if me.beating.load(Ordering::Relaxed) {
                    me.beat("ready");
                    thread::sleep(BEAT);
                } else {
                    thread::sleep(Duration::from_millis(20));
                }
            }
        });
        upstream
    }

    pub fn beat_body(&self, state: &str, seq: u64) -> String {
        format!(
            r#"{{"address":"{}","born":{},"info":{{"service":"{}","version":"{}","zone":"{}","slots":9}},"status":{{"state":"{state}","seq":{seq},"cold-left-ms":0}}}}"#,
            self.addr, self.born, self.service, self.version, self.zone
        )
    }

    pub fn beat(&self, state: &str) -> bool {
        let seq = self.seq.fetch_add(1, Ordering::Relaxed) + 1;
        self.send(
            "Heartbeat",
            &self.beat_body(state, seq),
            &format!("{state}, seq {seq}"),
        )
    }

    /// Sends a call about this upstream to its node. Returns whether it was acknowledged.
    pub fn send(&self, call_name: &str, body: &str, what: &str) -> bool {
        post(&self.record, self.control, &self.id, call_name, body, what)
    }

    /// Stops the regular heartbeats. Returns the sequence number of the last one.
    pub fn stop_beats(&self) -> u64 {
        self.beating.store(false, Ordering::Relaxed);
        self.seq.load(Ordering::Relaxed)
    }

    /// Sends the deregistration. Returns whether it was acknowledged.
    pub fn deregister(&self) -> bool {
        self.beating.store(false, Ordering::Relaxed);
        self.send(
            "Deregister",
            &format!(r#"{{"born":{}}}"#, self.born),
            "leaves",
        )
    }
}

/// Sends a heartbeat or a deregistration and records it.
pub fn post(
    record: &Record,
    control: SocketAddr,
    id: &str,
    call_name: &str,
    body: &str,
    what: &str,
) -> bool {
    let path = format!("/sycamorewick/Instances.{call_name}/{id}");
    let headers = [("host", "node"), ("content-type", "application/json")];
    let response = call(
        control,
        "POST",
        &path,
        &headers,
        body.as_bytes(),
        Duration::from_secs(1),
    );
    let status = response.map_or(0, |response| response.status);
    record.line(format!("{call_name} of {id} ({what}): answered {status}"));
    status / 100 == 2
}
