//! The platform around the sidecars: their settings, their processes, the configuration, and the clients' requests.

use std::fs;
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;

pub const SIGTERM: i32 = 15;

const RLIMIT_NOFILE: i32 = 7;

#[repr(C)]
struct FileLimit {
    soft: u64,
    hard: u64,
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn getrlimit(resource: i32, limit: *mut FileLimit) -> i32;
    fn setrlimit(resource: i32, limit: *const FileLimit) -> i32;
}

/// Raises the own soft limit of descriptors, within the hard one. Returns whether that many are allowed then.
#[must_use]
pub fn allow_files(count: u64) -> bool {
    let mut limit = FileLimit { soft: 0, hard: 0 };
    // SAFETY: the structure has the layout of `struct rlimit` on 64-bit Linux.
    unsafe {
        if getrlimit(RLIMIT_NOFILE, &raw mut limit) != 0 || limit.hard < count {
            return false;
        }
        limit.soft = limit.soft.max(count);
        setrlimit(RLIMIT_NOFILE, &raw const limit) == 0
    }
}

/// Returns a free loopback address.
///
/// # Errors
/// If there is none.
pub fn free_addr() -> io::Result<SocketAddr> {
    // Below the ports that outgoing connections get, which could take one before its process starts. None is given twice.
    static GIVEN: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = GIVEN.fetch_add(1, Ordering::SeqCst);
        let port = 12_000 + (std::process::id() * 131 + number) % 20_000;
        let addr = SocketAddr::from(([127, 0, 0, 1], u16::try_from(port).unwrap()));
        match TcpListener::bind(addr) {
            Ok(_) => return Ok(addr),
            Err(_) if number < 20_000 => {}
            Err(e) => return Err(e),
        }
    }
}

/// Settings of one machine that differ between cases.
#[derive(Clone)]
pub struct Machine {
    pub node: String,
    pub zone: String,
    pub region: String,
    pub service: String,
    pub cpu_share: f64,
    pub link_mbps: f64,
    pub memory_mb: u32,
    pub fds: u32,
    pub beat_ms: u32,
    pub config_ms: u32,
    pub grace_s: u32,
    pub retry_slack: u32,
}

/// Addresses of one machine.
#[derive(Clone)]
pub struct Addrs {
    pub app: SocketAddr,
    pub outbound: SocketAddr,
    pub inbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub metrics: SocketAddr,
}

/// The process of a machine.
pub struct Sidecar {
    pub machine: Machine,
    pub addrs: Addrs,
    binary: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    record: Record,
    starts: u32,
}

impl Sidecar {
    /// Writes the settings file that the template of the repository gives for a machine.
    ///
    /// # Errors
    /// If no ports are free, or the file cannot be written.
    pub fn new(
        dir: &Path,
        binary: &Path,
        store: SocketAddr,
        machine: Machine,
        record: &Record,
    ) -> io::Result<Self> {
        let addrs = Addrs {
            app: free_addr()?,
            outbound: free_addr()?,
            inbound: free_addr()?,
            ready: free_addr()?,
            control: free_addr()?,
            metrics: free_addr()?,
        };
        let Machine {
            node,
            zone,
            region,
            service,
            ..
        } = &machine;
        let text = format!(
            "{{\"id\":\"{node}\",\"region\":\"{region}\",\"failure_domain\":\"{zone}\",\"service\":\"{service}\",\
             \"backend_addr\":\"{}\",\"caller_addr\":\"{}\",\"node_addr\":\"{}\",\"advertised_node_addr\":\"{}\",\
             \"ready_addr\":\"{}\",\"heartbeat_addr\":\"{}\",\"metrics_addr\":\"{}\",\"store_addr\":\"{store}\",\
             \"heartbeat_interval_ms\":{},\"config_within_ms\":{},\"stop_within_s\":{},\"cpu_share\":{},\
             \"link_mbps\":{},\"retry_ratio\":0.2,\"retry_slack\":{},\"retry_window_s\":10,\"spillover\":true,\
             \"memory_mb\":{},\"max_open_files\":{}}}",
            addrs.app,
            addrs.outbound,
            addrs.inbound,
            addrs.inbound,
            addrs.ready,
            addrs.control,
            addrs.metrics,
            machine.beat_ms,
            machine.config_ms,
            machine.grace_s,
            machine.cpu_share,
            machine.link_mbps,
            machine.retry_slack,
            machine.memory_mb,
            machine.fds
        );
        let settings = dir.join(format!("{node}.json"));
        fs::write(&settings, text)?;
        Ok(Self {
            log: dir.join(format!("{node}.log")),
            machine,
            addrs,
            binary: binary.to_owned(),
            settings,
            child: None,
            record: record.clone(),
            starts: 0,
        })
    }

    /// Starts the process with the command of the deploy file.
    ///
    /// # Errors
    /// If it cannot be started.
    pub fn start(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.binary);
        command.arg("sidecar").arg("--settings").arg(&self.settings);
        self.child = Some(
            command
                .stdin(Stdio::null())
                .stderr(log.try_clone()?)
                .stdout(log)
                .spawn()?,
        );
        self.starts += 1;
        self.record.line(&format!(
            "{} process started, start {}",
            self.machine.node, self.starts
        ));
        Ok(())
    }

    /// Id of the process, if it was started and not ended by a call here.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        if let Some(pid) = self.pid() {
            // SAFETY: plain system call for a child that was not waited for yet.
            unsafe { kill(i32::try_from(pid).unwrap(), SIGTERM) };
            self.record
                .line(&format!("{} gets SIGTERM", self.machine.node));
        }
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child
            .as_mut()
            .is_none_or(|child| matches!(child.try_wait(), Ok(Some(_)) | Err(_)))
    }

    /// Waits until the process has ended, and kills it after the time that it has.
    pub fn wait_end(&mut self, limit: Duration) {
        let until = Instant::now() + limit;
        while !self.has_ended() && Instant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
        if !self.has_ended() {
            self.record.line(&format!(
                "{} still runs at the end of its grace",
                self.machine.node
            ));
            self.kill();
        }
        self.child = None;
        self.record
            .line(&format!("{} process ended", self.machine.node));
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.record.line(&format!("{} killed", self.machine.node));
        }
    }

    /// Whether the process says that it is ready.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let headers = [("Host", self.addrs.ready.to_string())];
        let sent = http::call(
            self.addrs.ready,
            "GET /sycamorewick/readyz",
            &headers,
            b"",
            Duration::from_millis(500),
        );
        sent.is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until the process is ready. Returns whether it is.
    #[must_use]
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while !self.is_ready() {
            if Instant::now() >= until {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.line(&format!("{} ready", self.machine.node));
        true
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A client's request. The result is the status, 0 without a complete answer, and whether an upstream has sealed it.
#[must_use]
pub fn request(
    outbound: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    id: &str,
    deadline: Duration,
) -> (u16, bool) {
    let headers = [
        ("Host", host.to_owned()),
        ("X-Sycamorewick-Attempt-Id", id.to_owned()),
        (
            "X-Sycamorewick-Deadline-Ms",
            deadline.as_millis().to_string(),
        ),
    ];
    let sent = http::call(
        outbound,
        &format!("{method} {path}"),
        &headers,
        b"",
        deadline,
    );
    sent.map_or((0, false), |answer| {
        (
            answer.status(),
            answer.header("x-sycamorewick-response-seal").is_some(),
        )
    })
}

/// Directory for settings and logs, removed at the end.
pub struct TempDir(pub PathBuf);

impl TempDir {
    /// Creates the directory.
    ///
    /// # Errors
    /// If it cannot be created.
    pub fn create(name: &str) -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}
