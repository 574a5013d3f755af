//! Clients that nobody controls send many requests ahead on their connections and read no answers. The platform kills
//! a process that exceeds the memory of its machine, and starts it again.
//!
//! Arguments: the sidecar's program and the file for the record. `TROUBLE=0` leaves out these clients.

use std::fs;
use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use review_standin_2::platform;
use review_standin_2::platform::Machine;
use review_standin_2::platform::Sidecar;
use review_standin_2::platform::TempDir;
use review_standin_2::record::Record;
use review_standin_2::store::Store;
use review_standin_2::upstream::Upstream;
use review_standin_2::upstream::UpstreamOptions;

const HOST: &str = "ficu95.example";
const MACHINES: usize = 2;
/// Memory and descriptors of the smallest machines of the deployment.
const MEMORY_MB: u32 = 160;
const FDS: u32 = 4_100;
/// Connections of the clients that send ahead, on each machine.
const CONNECTIONS: usize = 1_500;
/// Length of a header of theirs; the whole head is far below `header-bytes`.
const HEADER_BYTES: usize = 300;
/// Ends by itself, on each machine, that break the rule.
const ENDS: u32 = 3;
/// Longest time with the crowd.
const LIMIT: Duration = Duration::from_secs(60);
/// Pause of the platform between the end of a process and its next start.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

fn config() -> String {
    format!(
        "{{\"version\":\"0000000c\",\"routes\":{{\"lookup\":{{\"host\":\"{HOST}\",\"prefix\":\"/lookup/\",\"kind\":\"safe\",\
         \"timeout-ms\":1500,\"slo-ms\":400,\"priority\":1,\"service\":\"huvo11a\",\"attempts\":2}}}},\
         \"services\":{{\"huvo11a\":{{\"health-path\":\"/healthz\",\"max-conns\":560}}}},\"limits\":{{\
         \"header-bytes\":16384,\"body-bytes\":67108864,\"header-ms\":3000,\"idle-ms\":15000}}}}"
    )
}

/// Sends requests ahead on many connections and reads nothing, until it is told to stop.
fn crowd(outbound: SocketAddr, stop: &AtomicBool) {
    let pad = "x".repeat(HEADER_BYTES);
    let mut number = 0_u64;
    let mut next = || {
        number += 1;
        format!(
            "GET /none/{number} HTTP/1.1\r\nHost: {HOST}\r\nX-Sycamorewick-Attempt-Id: c{number:012}\r\n\
             X-Sycamorewick-Deadline-Ms: 1500\r\nX-Note: {pad}\r\n\r\n"
        )
        .into_bytes()
    };
    let mut connections: Vec<Option<(TcpStream, Vec<u8>)>> = Vec::new();
    connections.resize_with(CONNECTIONS, || None);
    while !stop.load(Ordering::SeqCst) {
        let mut has_sent = false;
        for slot in &mut connections {
            if slot.is_none() {
                let Ok(stream) = TcpStream::connect_timeout(&outbound, Duration::from_millis(200))
                else {
                    thread::sleep(Duration::from_millis(20));
                    continue;
                };
                if stream.set_nonblocking(true).is_ok() {
                    *slot = Some((stream, Vec::new()));
                }
            }
            let Some((stream, rest)) = slot else { continue };
            if rest.is_empty() {
                *rest = next();
            }
            match stream.write(rest) {
                Ok(count) => {
                    rest.drain(..count);
                    has_sent = true;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => *slot = None,
            }
        }
        if !has_sent {
            thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Anonymous memory of a process, bytes.
fn anonymous_bytes(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"));
    let kilobytes = line.and_then(|text| text.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}

/// Number of accepted connections at an address, and the bytes received on them that are not read yet.
fn unread_bytes(addr: SocketAddr) -> (usize, u64) {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let port = format!(":{:04X}", addr.port());
    let (mut connections, mut bytes) = (0, 0);
    for line in table.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_open = fields.len() > 9
            && fields[1].ends_with(&port)
            && (fields[3] == "01" || fields[3] == "08");
        if !is_open || fields[9] == "0" {
            continue;
        }
        connections += 1;
        let unread = fields[4].split_once(':').map_or("0", |(_, unread)| unread);
        bytes += u64::from_str_radix(unread, 16).unwrap_or(0);
    }
    (connections, bytes)
}

fn run(binary: &Path, record: &Record) -> io::Result<Option<bool>> {
    let has_trouble = !std::env::var("TROUBLE").is_ok_and(|text| text == "0");
    if !platform::allow_files(4_100) {
        record.line("the limit of descriptors is too low for the case");
        return Ok(None);
    }
    let dir = TempDir::create("ahead")?;
    let store = Store::start()?;
    store.put("keyed.op", "config", config().as_bytes());
    let mut nodes = Vec::new();
    for index in 0..MACHINES {
        let machine = Machine {
            node: format!("side-dublin-a-{}", index + 1),
            zone: "dublin-a".into(),
            region: "leinster".into(),
            service: "huvo11a".into(),
            cpu_share: 0.1,
            link_mbps: 10.0,
            memory_mb: MEMORY_MB,
            fds: FDS,
            beat_ms: 1_500,
            config_ms: 3_000,
            grace_s: 6,
            retry_slack: 208,
        };
        let mut node = Sidecar::new(&dir.0, binary, store.addr, machine, record)?;
        node.start()?;
        if !node.wait_ready(Duration::from_secs(10)) {
            return Ok(None);
        }
        let options = UpstreamOptions {
            id: format!("i-7f3a91c{index}"),
            born: 1_774_429_250_000 + index as u64,
            service: "huvo11a".into(),
            version: "v1".into(),
            listen: node.addrs.app,
            control: node.addrs.control,
            slots: 6,
            work: Duration::from_millis(120),
            long_work: Duration::from_millis(120),
            beat: Duration::from_millis(1_500),
        };
        Upstream::start(options, record.clone())?;
        nodes.push(node);
    }
    thread::sleep(Duration::from_secs(2));
    let stop = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(Mutex::new(0_u32));
    let mut threads = Vec::new();
    for node in &nodes {
        let (outbound, name) = (node.addrs.outbound, node.machine.node.clone());
        let (stop_clients, record, lost) = (stop.clone(), record.clone(), lost.clone());
        threads.push(thread::spawn(move || {
            // An ordinary client, which reads its answers.
            let mut number = 0;
            while !stop_clients.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(250));
                number += 1;
                let path = format!("/lookup/{number}");
                let id = format!("{name}-{number}");
                let (status, _) = platform::request(
                    outbound,
                    "GET",
                    &path,
                    HOST,
                    &id,
                    Duration::from_millis(1_500),
                );
                record.line(&format!("ordinary client at {name} GET {path} -> {status}"));
                *lost.lock().unwrap() += u32::from(status == 0);
            }
        }));
        if has_trouble {
            let stop = stop.clone();
            threads.push(thread::spawn(move || crowd(outbound, &stop)));
        }
    }
    let until = Instant::now() + if has_trouble { LIMIT } else { LIMIT / 4 };
    let allowed = u64::from(MEMORY_MB) << 20;
    let mut ends = [0_u32; MACHINES];
    let mut most = [0_u64; MACHINES];
    let mut next_line = Instant::now();
    while Instant::now() < until && ends.iter().any(|ends| *ends < ENDS) {
        thread::sleep(Duration::from_millis(50));
        let writes = Instant::now() >= next_line;
        if writes {
            next_line = Instant::now() + Duration::from_millis(500);
        }
        for (index, node) in nodes.iter_mut().enumerate() {
            let name = node.machine.node.clone();
            if node.has_ended() {
                ends[index] += 1;
                record.line(&format!(
                    "{name} ended without a signal, end {}",
                    ends[index]
                ));
            } else {
                let own = node.pid().map_or(0, anonymous_bytes);
                let (connections, unread) = unread_bytes(node.addrs.outbound);
                most[index] = most[index].max(own + unread);
                let exceeds = own + unread > allowed;
                if writes || exceeds {
                    record.line(&format!(
                        "{name} memory {} kB, {connections} connections of clients with {} kB received and not read, allowed {} kB",
                        own >> 10,
                        unread >> 10,
                        allowed >> 10
                    ));
                }
                if !exceeds {
                    continue;
                }
                ends[index] += 1;
                record.line(&format!(
                    "{name} exceeds the memory of its machine, end {}",
                    ends[index]
                ));
                node.kill();
            }
            thread::sleep(RESTART_PAUSE);
            node.start()?;
        }
    }
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().unwrap();
    }
    let lost = *lost.lock().unwrap();
    for (index, node) in nodes.iter().enumerate() {
        record.line(&format!(
            "{}: {} ends by itself, most memory with unread bytes {} kB of {} kB",
            node.machine.node,
            ends[index],
            most[index] >> 10,
            allowed >> 10
        ));
    }
    record.line(&format!(
        "{lost} requests of ordinary clients got no complete answer"
    ));
    Ok(Some(
        ends.iter().filter(|ends| **ends >= ENDS).count() >= MACHINES,
    ))
}

fn main() -> ExitCode {
    let mut args = std::env::args_os().skip(1);
    let (Some(binary), Some(file)) = (args.next(), args.next()) else {
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(Path::new(&file)) else {
        return ExitCode::from(2);
    };
    match run(&PathBuf::from(binary), &record) {
        Ok(Some(true)) => ExitCode::from(1),
        Ok(Some(false)) => ExitCode::SUCCESS,
        Ok(None) => ExitCode::from(2),
        Err(e) => {
            record.line(&format!("the case could not run: {e}"));
            ExitCode::from(2)
        }
    }
}
