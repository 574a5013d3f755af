//! Ordinary clients send further safe requests before the first one is answered, and read all answers, while a crowd that
//! nobody controls sends bodies of legal size that stop just short of their end.
//!
//! Arguments: the sidecar's program and the file for the record. `TROUBLE=0` leaves out the crowd.

use std::collections::HashSet;
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

use review_standin_2::http::Reader;
use review_standin_2::platform;
use review_standin_2::platform::Machine;
use review_standin_2::platform::Sidecar;
use review_standin_2::platform::TempDir;
use review_standin_2::record::Record;
use review_standin_2::store::Store;
use review_standin_2::upstream::Upstream;
use review_standin_2::upstream::UpstreamOptions;

const HOST: &str = "ficu95.example";
const MACHINES: usize = 4;
/// Memory and descriptors of the smallest machines of the deployment.
const MEMORY_MB: u32 = 160;
const FDS: u32 = 4_100;
/// Connections of the crowd, and the bodies that they announce and send.
const CROWD: usize = 1_200;
const ANNOUNCED_BYTES: usize = 65_000;
const SENT_BYTES: usize = 60_000;
const WAVE: Duration = Duration::from_millis(2_500);
const PAUSE: Duration = Duration::from_millis(2_000);
/// Ordinary clients, and the requests that each sends before the first answer.
const CLIENTS: usize = 3;
const AHEAD: usize = 8;
const DEADLINE: Duration = Duration::from_millis(4_000);
const PLAY: Duration = Duration::from_secs(24);

fn config() -> String {
    let route = |prefix: &str, kind: &str| {
        format!(
            "{{\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout-ms\":4000,\"slo-ms\":2000,\
             \"priority\":1,\"service\":\"huvo11a\",\"attempts\":2}}"
        )
    };
    format!(
        "{{\"version\":\"0000000c\",\"routes\":{{\"archive\":{},\"submit\":{}}},\"services\":{{\"huvo11a\":{{\
         \"health-path\":\"/healthz\",\"max-conns\":560}}}},\"limits\":{{\"header-bytes\":16384,\"body-bytes\":67108864,\
         \"header-ms\":3000,\"idle-ms\":15000}}}}",
        route("/archive/", "safe"),
        route("/submit/", "unsafe")
    )
}

/// Keeps connections open on each of which a body stops just short of its end.
fn crowd(outbound: SocketAddr, stop: &AtomicBool) {
    let body = vec![b'x'; SENT_BYTES];
    let mut number = 0_u64;
    let mut connections: Vec<Option<(TcpStream, Vec<u8>)>> = Vec::new();
    connections.resize_with(CROWD, || None);
    let mut part = [0; 4 << 10];
    let mut wave_until = Instant::now() + WAVE;
    while !stop.load(Ordering::SeqCst) {
        let mut has_sent = false;
        if Instant::now() >= wave_until {
            // The crowd leaves, and comes again.
            connections.fill_with(|| None);
            thread::sleep(PAUSE);
            wave_until = Instant::now() + WAVE;
        }
        for slot in &mut connections {
            if slot.is_none() {
                let Ok(stream) = TcpStream::connect_timeout(&outbound, Duration::from_millis(200))
                else {
                    continue;
                };
                if stream.set_nonblocking(true).is_err() {
                    continue;
                }
                number += 1;
                let head = format!(
                    "POST /submit/{number} HTTP/1.1\r\nHost: {HOST}\r\nX-Sycamorewick-Attempt-Id: c{number:012}\r\n\
                     X-Sycamorewick-Deadline-Ms: 4000\r\nContent-Length: {ANNOUNCED_BYTES}\r\n\r\n"
                );
                let mut bytes = head.into_bytes();
                bytes.extend_from_slice(&body);
                *slot = Some((stream, bytes));
            }
            let Some((stream, rest)) = slot else { continue };
            let result = if rest.is_empty() {
                // A connection that has ended is opened anew.
                io::Read::read(stream, &mut part)
            } else {
                stream.write(rest)
            };
            match result {
                Ok(0) => *slot = None,
                Ok(count) if !rest.is_empty() => {
                    rest.drain(..count);
                    has_sent = true;
                }
                Ok(_) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => *slot = None,
            }
        }
        if !has_sent {
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Requests that were sent on connections which the machine closed before it answered them.
type Unanswered = Arc<Mutex<Vec<String>>>;

/// Sends requests ahead on a kept connection and reads all answers.
fn client(
    outbound: SocketAddr,
    name: &str,
    stop: &AtomicBool,
    unanswered: &Unanswered,
    record: &Record,
) {
    let mut number = 0_u64;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(50));
        let Ok(mut stream) = TcpStream::connect_timeout(&outbound, Duration::from_secs(1)) else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(DEADLINE + Duration::from_secs(1)));
        let Ok(reading) = stream.try_clone() else {
            continue;
        };
        let mut reader = Reader::new(reading);
        let mut batches = 0;
        'connection: while !stop.load(Ordering::SeqCst) {
            let mut ids = Vec::new();
            let mut bytes = Vec::new();
            for index in 0..AHEAD {
                number += 1;
                let id = format!("{name}-{number}");
                // The first one runs once at most. Work times vary: one of them is done before the others.
                let target = match index {
                    0 => "POST /submit/long",
                    1 => "GET /archive/short",
                    _ => "GET /archive/long",
                };
                let request = format!(
                    "{target}/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Sycamorewick-Attempt-Id: {id}\r\n\
                     X-Sycamorewick-Deadline-Ms: {}\r\nContent-Length: 0\r\n\r\n",
                    DEADLINE.as_millis()
                );
                bytes.extend_from_slice(request.as_bytes());
                ids.push(id);
            }
            record.line(&format!(
                "client {name} sends {} to {} on one connection",
                ids[0],
                ids[AHEAD - 1]
            ));
            if stream.write_all(&bytes).is_err() {
                break;
            }
            for answered in 0..AHEAD {
                let answer = match reader.read() {
                    Ok(Some(answer)) => answer,
                    Ok(None) | Err(_) => {
                        record.line(&format!(
                            "client {name}: connection closed after {batches} batches and {answered} answers of this one, without an answer to {}",
                            ids[answered..].join(" ")
                        ));
                        // The first batch may be on a connection that is not kept yet.
                        if batches > 0 {
                            unanswered
                                .lock()
                                .unwrap()
                                .extend_from_slice(&ids[answered..]);
                        }
                        break 'connection;
                    }
                };
                let closes = answer
                    .header("connection")
                    .is_some_and(|text| text.eq_ignore_ascii_case("close"));
                record.line(&format!(
                    "client {name} {} -> {} closes={closes}",
                    ids[answered],
                    answer.status()
                ));
                if closes {
                    break 'connection;
                }
            }
            batches += 1;
            thread::sleep(Duration::from_millis(20));
        }
    }
}

fn run(binary: &Path, record: &Record) -> io::Result<Option<bool>> {
    let has_trouble = !std::env::var("TROUBLE").is_ok_and(|text| text == "0");
    if !platform::allow_files(4_100) {
        record.line("the limit of descriptors is too low for the case");
        return Ok(None);
    }
    let dir = TempDir::create("crowd")?;
    let store = Store::start()?;
    store.put("keyed.op", "config", config().as_bytes());
    let mut nodes = Vec::new();
    let mut upstreams = Vec::new();
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
            slots: 18,
            work: Duration::from_millis(50),
            long_work: Duration::from_millis(600),
            beat: Duration::from_millis(1_500),
        };
        upstreams.push(Upstream::start(options, record.clone())?);
        nodes.push(node);
    }
    thread::sleep(Duration::from_secs(2));
    let stop = Arc::new(AtomicBool::new(false));
    let unanswered = Unanswered::default();
    let outbound = nodes[0].addrs.outbound;
    let mut threads = Vec::new();
    for index in 0..CLIENTS {
        let (stop, unanswered, record) = (stop.clone(), unanswered.clone(), record.clone());
        let name = format!("p{index}");
        threads.push(thread::spawn(move || {
            client(outbound, &name, &stop, &unanswered, &record)
        }));
    }
    if has_trouble {
        let stop = stop.clone();
        threads.push(thread::spawn(move || crowd(outbound, &stop)));
    }
    thread::sleep(PLAY);
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        thread.join().unwrap();
    }
    let has_ended = nodes[0].has_ended();
    let runs: HashSet<String> = upstreams
        .iter()
        .flat_map(|upstream| upstream.runs())
        .map(|run| run.attempt)
        .collect();
    let unanswered = unanswered.lock().unwrap();
    let lost: Vec<_> = unanswered.iter().filter(|id| runs.contains(*id)).collect();
    let firsts = lost.iter().filter(|id| {
        let number: usize = id
            .rsplit('-')
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        number % AHEAD == 1
    });
    let unsafe_lost = firsts.count();
    for id in &lost {
        record.line(&format!("{id} was passed on to a sound upstream, and its kept connection was closed without an answer"));
    }
    record.line(&format!(
        "{} runs, {} requests without an answer on kept connections, {} of them passed on ({unsafe_lost} that may run once at most); process ended by itself: {has_ended}",
        runs.len(),
        unanswered.len(),
        lost.len()
    ));
    Ok((runs.len() > 100).then_some(lost.len() > 3))
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
