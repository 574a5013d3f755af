//! An upstream was started four times under its id and has left each time. The process of its node is killed while the
//! store turns that machine away; the fifth start of the upstream leaves at the new process, which acknowledges that
//! as the store serves it again. After one more kill of the process a heartbeat from before the leave arrives late.
//!
//! Arguments: the sidecar's program and the file for the record. `TROUBLE=0` leaves out both kills and the store's fault.

use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use review_standin_2::platform;
use review_standin_2::platform::Machine;
use review_standin_2::platform::Sidecar;
use review_standin_2::platform::TempDir;
use review_standin_2::record::Record;
use review_standin_2::store::Store;
use review_standin_2::upstream::Upstream;
use review_standin_2::upstream::UpstreamOptions;

const HOST: &str = "ficu95.example";
const NODES: usize = ZONES.len();
/// Zones with one machine each, and their regions.
const ZONES: [(&str, &str); 10] = [
    ("accra-a", "accra"),
    ("takoradi-a", "takoradi"),
    ("keta-a", "keta"),
    ("accra-b", "accra"),
    ("takoradi-b", "takoradi"),
    ("keta-b", "keta"),
    ("accra-c", "accra"),
    ("takoradi-c", "takoradi"),
    ("keta-c", "keta"),
    ("accra-d", "accra"),
];
/// Times that the upstream has left under its id before.
const EARLIER_LEAVES: u64 = 4;
/// `beat-ms`, `drain-ms`, `contact-ms`, `grace-s` of the deployment.
const BEAT: Duration = Duration::from_millis(1_500);
const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
const GRACE_S: u32 = 6;
/// Time from a start of an upstream until it leaves.
const LIFE: Duration = Duration::from_millis(2_300);
/// Pause of the platform between the end of a process and its next start.
const RESTART_PAUSE: Duration = Duration::from_millis(300);
/// Time for which the store turns the machine away after the start of its process.
const BUSY: Duration = Duration::from_millis(600);
/// Time from the start of the process until the upstream leaves.
const LEAVES_AFTER: Duration = Duration::from_millis(900);
/// Time from the acknowledgement of the leave until the process is killed again.
const KILL_AFTER: Duration = Duration::from_millis(600);
/// Time by which the heartbeat is late.
const BEAT_LATE: Duration = Duration::from_millis(5_500);
/// Time from the acknowledgement of the leave until the upstream ends.
const SERVES_ON: Duration = Duration::from_millis(8_500);

fn config() -> String {
    let route = |prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout-ms\":2000,\"slo-ms\":600,\
             \"priority\":1,\"service\":\"huvo11a\",\"attempts\":{attempts}}}"
        )
    };
    format!(
        "{{\"version\":\"0000000c\",\"routes\":{{\"lookup\":{},\"claim\":{}}},\"services\":{{\"huvo11a\":{{\
         \"health-path\":\"/healthz\",\"max-conns\":110}}}},\"limits\":{{\"header-bytes\":16384,\"body-bytes\":67108864,\
         \"header-ms\":3000,\"idle-ms\":15000}}}}",
        route("/lookup/", "safe", 2),
        route("/claim/", "unsafe", 2)
    )
}

fn options(node: &Sidecar, index: usize, start: u64) -> UpstreamOptions {
    UpstreamOptions {
        id: format!("i-7f3a91c{index}"),
        born: 1_774_429_250_000 + start * 5_000 + index as u64,
        service: "huvo11a".into(),
        version: "v1".into(),
        listen: node.addrs.app,
        control: node.addrs.control,
        slots: 9,
        work: Duration::from_millis(78),
        long_work: Duration::from_millis(78),
        beat: BEAT,
    }
}

/// Starts the upstream beside the first node, as soon as its address is free.
fn start_upstream(node: &Sidecar, start: u64, record: &Record) -> std::io::Result<Upstream> {
    let until = record.now() + Duration::from_secs(5);
    loop {
        let started = Upstream::start(options(node, 0, start), record.clone());
        if started.is_ok() || record.now() > until {
            return started;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

fn run(binary: &Path, record: &Record) -> std::io::Result<Option<bool>> {
    let has_trouble = !std::env::var("TROUBLE").is_ok_and(|text| text == "0");
    let dir = TempDir::create("leave")?;
    let store = Store::start()?;
    let door = store.door()?;
    store.put("keyed.op", "config", config().as_bytes());
    let mut nodes = Vec::new();
    let mut upstreams = Vec::new();
    for index in 0..NODES {
        let machine = Machine {
            node: format!("side-{}-1", ZONES[index].0),
            zone: ZONES[index].0.into(),
            region: ZONES[index].1.into(),
            service: "huvo11a".into(),
            cpu_share: 0.2,
            link_mbps: 1000.0,
            memory_mb: 260,
            fds: 4_100,
            beat_ms: u32::try_from(BEAT.as_millis()).unwrap(),
            config_ms: 2_000,
            grace_s: GRACE_S,
            retry_slack: 56,
        };
        let addr = if index == 0 { door.addr } else { store.addr };
        let mut node = Sidecar::new(&dir.0, binary, addr, machine, record)?;
        node.start()?;
        if !node.wait_ready(Duration::from_secs(10)) {
            return Ok(None);
        }
        if index > 0 {
            upstreams.push(Upstream::start(options(&node, index, 0), record.clone())?);
        }
        nodes.push(node);
    }
    // Clients send claims, which run once at most, to all machines that are ready.
    let sent: Arc<Mutex<Vec<(String, Duration, usize)>>> = Arc::default();
    let targets: Arc<Mutex<Vec<bool>>> = Arc::new(Mutex::new(vec![true; NODES]));
    let ended = Arc::new(Mutex::new(false));
    let mut clients = Vec::new();
    for index in 0..NODES {
        for client in 0..2 {
            let (outbound, record) = (nodes[index].addrs.outbound, record.clone());
            let (sent, targets, ended) = (sent.clone(), targets.clone(), ended.clone());
            let node = nodes[index].machine.node.clone();
            clients.push(thread::spawn(move || {
                let mut number = 0;
                while !*ended.lock().unwrap() {
                    thread::sleep(Duration::from_millis(40));
                    if !targets.lock().unwrap()[index] {
                        continue;
                    }
                    number += 1;
                    let id = format!("{index}{client}{number:06}");
                    sent.lock().unwrap().push((id.clone(), record.now(), index));
                    let path = format!("/claim/{id}");
                    let (status, is_sealed) = platform::request(
                        outbound,
                        "POST",
                        &path,
                        HOST,
                        &id,
                        Duration::from_millis(1_200),
                    );
                    record.line(&format!(
                        "client at {node} POST {path} -> {status} sealed={is_sealed}"
                    ));
                }
            }));
        }
    }
    for start in 0..EARLIER_LEAVES {
        let upstream = start_upstream(&nodes[0], start, record)?;
        thread::sleep(LIFE);
        if upstream.deregister() != 200 {
            record.line("an earlier leave was not acknowledged");
            return Ok(None);
        }
        thread::sleep(DRAIN + Duration::from_millis(200));
        upstream.end();
    }
    let leaving = start_upstream(&nodes[0], EARLIER_LEAVES, record)?;
    thread::sleep(LIFE);
    let restart = |node: &mut Sidecar| {
        targets.lock().unwrap()[0] = false;
        node.kill();
        thread::sleep(RESTART_PAUSE);
        node.start()
    };
    if has_trouble {
        door.set_busy(true);
        record.line("the store turns the first machine away");
        restart(&mut nodes[0])?;
        let (door, record) = (door.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(BUSY);
            door.set_busy(false);
            record.line("the store serves the first machine again");
        });
    }
    thread::sleep(LEAVES_AFTER);
    // The last heartbeat before the leave, which the network delivers late.
    leaving.stop_beats();
    let (sequence, late_beat) = leaving.next_beat("ready");
    let beat_sent_at = record.now();
    record.line(&format!(
        "{} heartbeat seq={sequence} (ready) sent, is late on its way",
        leaving.id()
    ));
    if leaving.deregister() != 200 {
        record.line("the leave was not acknowledged");
        return Ok(None);
    }
    let left_at = record.now();
    record.line("the leave is acknowledged");
    let end = {
        let leaving = leaving.clone();
        thread::spawn(move || {
            thread::sleep(SERVES_ON);
            leaving.end();
        })
    };
    // A machine is in touch from `contact-ms` after its start on, if the store is calm.
    let mut in_touch_from = Duration::ZERO;
    if has_trouble {
        thread::sleep(KILL_AFTER);
        restart(&mut nodes[0])?;
        in_touch_from = record.now() + CONTACT;
        if !nodes[0].wait_ready(Duration::from_secs(5)) {
            return Ok(None);
        }
        targets.lock().unwrap()[0] = true;
    }
    thread::sleep((beat_sent_at + BEAT_LATE).saturating_sub(record.now()));
    let _ = leaving.send_beat(sequence, &late_beat);
    end.join().unwrap();
    thread::sleep(Duration::from_millis(1_500));
    *ended.lock().unwrap() = true;
    for client in clients {
        client.join().unwrap();
    }
    let sent = sent.lock().unwrap();
    let mut broken = 0;
    for run in leaving.runs() {
        let Some((_, sent_at, index)) = sent.iter().find(|(id, ..)| *id == run.attempt) else {
            continue;
        };
        if run.at > left_at + DRAIN {
            let in_touch = *sent_at >= in_touch_from;
            broken += u32::from(in_touch);
            record.line(&format!(
                "request {} from machine {} reached {} {} ms after the acknowledgement of its leave, all machines in touch: {in_touch}",
                run.attempt,
                index + 1,
                leaving.id(),
                (run.at - left_at).as_millis()
            ));
        }
    }
    let served: usize = upstreams.iter().map(|upstream| upstream.runs().len()).sum();
    record.line(&format!(
        "{} requests sent, {served} runs, {broken} of them against the rule DRAIN",
        sent.len()
    ));
    Ok((served > 100).then_some(broken > 0))
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
