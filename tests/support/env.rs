//! Environment for tests of the whole command: a log server in the test process, real node processes, and
//! commands that run against them. All traffic is on the loopback interface, and the environment ends only
//! processes that it started.

#![allow(dead_code, reason = "each test file uses a part of the module")]

use std::fs;
use std::fs::File;
use std::io::Read as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;
use testbed::fleet::free_addr;
use testbed::log_server::LogHandle;
use testbed::log_server::LogServer;

/// Bearer token of the operator ports.
pub const TOKEN: &str = "test-operator-token";
/// Timeout of a command and of a wait for a condition.
pub const TIMEOUT: Duration = Duration::from_secs(40);
/// Attempts to start an environment on free ports.
const START_ATTEMPTS: usize = 5;
/// Time between two checks of a condition.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the command outside an environment and waits until it ends.
pub fn command(args: &[&str]) -> CommandResult {
    start(args, &[]).finish()
}

/// Starts the command with environment variables.
pub fn start(args: &[&str], env: &[(&str, &str)]) -> RunningCommand {
    let dir = tempfile::tempdir().expect("a directory");
    let file = |name: &str| File::create(dir.path().join(name)).expect("a file");
    let child = Command::new(env!("CARGO_BIN_EXE_sycamorewick"))
        .args(args)
        .env_remove("NO_COLOR")
        .envs(env.iter().copied())
        .stdin(Stdio::null())
        .stdout(file("stdout"))
        .stderr(file("stderr"))
        .spawn()
        .expect("the command starts");
    RunningCommand { child, dir }
}

/// A running command. Its output goes to files, so that it never blocks on a full pipe.
pub struct RunningCommand {
    child: Child,
    dir: TempDir,
}

impl RunningCommand {
    /// Standard output of the command so far.
    pub fn stdout(&self) -> String {
        fs::read_to_string(self.dir.path().join("stdout")).expect("the output")
    }

    /// Standard error of the command so far.
    pub fn stderr(&self) -> String {
        fs::read_to_string(self.dir.path().join("stderr")).expect("the output")
    }

    /// Waits for the end of the command.
    pub fn finish(mut self) -> CommandResult {
        let until = Instant::now() + TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("the state of the command") {
                return CommandResult {
                    code: status.code(),
                    stdout: self.stdout(),
                    stderr: self.stderr(),
                };
            }
            assert!(
                Instant::now() < until,
                "command did not end within {TIMEOUT:?}: {}{}",
                self.stdout(),
                self.stderr()
            );
            thread::sleep(CHECK_INTERVAL);
        }
    }
}

impl Drop for RunningCommand {
    fn drop(&mut self) {
        // Fails if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A command that has ended.
#[derive(Debug)]
pub struct CommandResult {
    pub code: Option<i32>,
    pub stdout: String,
    pub stderr: String,
}

impl CommandResult {
    /// Parses standard output as one JSON value.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout)
            .unwrap_or_else(|e| panic!("{e}: {:?} {:?}", self.stdout, self.stderr))
    }

    /// Asserts the exit code; the failure message has the output.
    pub fn expect(self, code: i32) -> Self {
        assert_eq!(self.code, Some(code), "{:?} {:?}", self.stdout, self.stderr);
        self
    }
}

/// Waits until `condition` returns a value, and fails the test after [`TIMEOUT`].
pub fn wait_for<T>(what: &str, mut condition: impl FnMut() -> Option<T>) -> T {
    let until = Instant::now() + TIMEOUT;
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(Instant::now() < until, "not within {TIMEOUT:?}: {what}");
        thread::sleep(CHECK_INTERVAL);
    }
}

/// One node of an environment.
pub struct TestNode {
    pub request_addr: SocketAddr,
    pub operator_addr: SocketAddr,
    pub gossip_addr: SocketAddr,
    pub settings_file: PathBuf,
    output_file: PathBuf,
    child: Option<Child>,
}

/// A log server and nodes, each in a failure domain of its own.
pub struct TestEnv {
    pub log: LogHandle,
    pub nodes: Vec<TestNode>,
    dir: TempDir,
}

impl TestEnv {
    /// Starts a log server and `nodes` nodes, and waits until they are ready and know each other.
    ///
    /// Another process may bind a port between the search for a free one and its use; the environment is
    /// then started again on other ports.
    pub fn start(nodes: usize) -> Self {
        (0..START_ATTEMPTS)
            .find_map(|_| Self::try_start(nodes))
            .expect("free ports for the environment")
    }

    fn try_start(nodes: usize) -> Option<Self> {
        let dir = tempfile::tempdir().expect("a directory");
        let log = LogServer::start(free_addr().expect("an address")).ok()?;
        fs::write(
            dir.path().join("cluster.key"),
            "test-cluster-key-0123456789",
        )
        .expect("a file");
        fs::write(dir.path().join("operator.token"), TOKEN).expect("a file");
        let addrs: Vec<[SocketAddr; 4]> = (0..nodes)
            .map(|_| std::array::from_fn(|_| free_addr().expect("an address")))
            .collect();
        let seeds: Vec<SocketAddr> = addrs.iter().map(|addr| addr[1]).collect();
        let nodes = addrs.iter().enumerate().map(|(index, addr)| {
            let settings = json!({
                "id": format!("n{index}"),
                "region": "r",
                "failure_domain": format!("d{index}"),
                "request_addr": addr[0],
                "node_addr": addr[1],
                "operator_addr": addr[2],
                "gossip_addr": addr[3],
                "log_addr": log.addr(),
                "seeds": seeds,
                "cluster_key_file": "cluster.key",
                "operator_token_file": "operator.token",
                "log_level": "info",
            });
            let settings_file = dir.path().join(format!("n{index}.jsonc"));
            fs::write(&settings_file, settings.to_string()).expect("a file");
            TestNode {
                request_addr: addr[0],
                operator_addr: addr[2],
                gossip_addr: addr[3],
                settings_file,
                output_file: dir.path().join(format!("n{index}.log")),
                child: None,
            }
        });
        let nodes = nodes.collect();
        let mut env = Self { log, nodes, dir };
        for index in 0..env.nodes.len() {
            env.start_node(index);
        }
        let ready = (0..env.nodes.len()).all(|index| env.becomes_ready(index));
        ready.then_some(env)
    }

    /// Waits until a node is ready. Returns false if the node could not bind a port.
    fn becomes_ready(&mut self, index: usize) -> bool {
        let child = self.nodes[index].child.as_mut().expect("the node runs");
        let pid = child.id();
        let until = Instant::now() + TIMEOUT;
        loop {
            let child = self.nodes[index].child.as_mut().expect("the node runs");
            if let Some(status) = child.try_wait().expect("the state of the node") {
                let output = self.output(index);
                assert!(
                    output.contains("9003"),
                    "node {index} ended with {status}: {output}"
                );
                return false;
            }
            if self.is_ready(index) {
                return true;
            }
            assert!(
                Instant::now() < until,
                "node {index} (process {pid}) is not ready within {TIMEOUT:?}: {}",
                self.output(index)
            );
            thread::sleep(CHECK_INTERVAL);
        }
    }

    /// Starts a node that is not running.
    pub fn start_node(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        assert!(node.child.is_none(), "the node is running already");
        let output = File::options()
            .create(true)
            .append(true)
            .open(&node.output_file)
            .expect("a file");
        let child = Command::new(env!("CARGO_BIN_EXE_sycamorewick"))
            .args(["node", "--settings"])
            .arg(&node.settings_file)
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("a file"))
            .stderr(output)
            .spawn()
            .expect("the node starts");
        node.child = Some(child);
    }

    /// Kills a node with SIGKILL.
    pub fn kill_node(&mut self, index: usize) {
        if let Some(mut child) = self.nodes[index].child.take() {
            child.kill().expect("the node can be killed");
            child.wait().expect("the node ends");
        }
    }

    /// Waits until a node is ready and knows all running nodes.
    pub fn wait_ready(&self, index: usize) {
        wait_for("the node is ready and knows the others", || {
            self.is_ready(index).then_some(())
        });
    }

    fn is_ready(&self, index: usize) -> bool {
        let running = self.nodes.iter().filter(|n| n.child.is_some()).count();
        let Some(status) = self.get(index, "/v1/status") else {
            return false;
        };
        let alive = status["alive"]
            .as_u64()
            .and_then(|n| usize::try_from(n).ok());
        status["ready"] == true && alive >= Some(running)
    }

    /// Makes the log server drop its response to the next append. Waits first until the nodes have no
    /// outcomes to append, so that the dropped response is not for one of those.
    pub fn lose_next_response(&self) {
        for index in 0..self.nodes.len() {
            wait_for("the outcomes are appended", || {
                let status = self.get(index, "/v1/status")?;
                (status["outcomes_waiting_for_the_log"] == 0).then_some(())
            });
        }
        self.log.lose_responses(1);
    }

    /// Output of a node, for failure messages.
    pub fn output(&self, index: usize) -> String {
        fs::read_to_string(&self.nodes[index].output_file).unwrap_or_default()
    }

    /// Directory of the environment's files.
    pub fn dir(&self) -> &Path {
        self.dir.path()
    }

    /// Writes a document that gives `v1` this share of the traffic and `v2` the rest. Returns its path.
    pub fn document(&self, share: u8) -> String {
        let file = self.dir.path().join(format!("document-{share}.jsonc"));
        fs::write(&file, document(share).to_string()).expect("a file");
        file.display().to_string()
    }

    /// Runs an operator command against a node and waits until it ends.
    pub fn run(&self, index: usize, args: &[&str]) -> CommandResult {
        self.spawn(index, args).finish()
    }

    /// Starts an operator command against a node.
    pub fn spawn(&self, index: usize, args: &[&str]) -> RunningCommand {
        let addr = self.nodes[index].operator_addr.to_string();
        let token = self.dir.path().join("operator.token");
        let token = token.display().to_string();
        let access = ["--operator", addr.as_str(), "--token-file", token.as_str()];
        let args: Vec<&str> = args.iter().copied().chain(access).collect();
        start(&args, &[])
    }

    /// Gets JSON from the operator port of a node. Returns `None` if there is no JSON response.
    pub fn get(&self, index: usize, path: &str) -> Option<Value> {
        let response = self.request(index, "GET", path, &[bearer()], "")?;
        serde_json::from_str(&response.body).ok()
    }

    /// Posts JSON to the operator port of a node. Returns `None` if there is no JSON response.
    pub fn post(&self, index: usize, path: &str, body: &Value) -> Option<Value> {
        let response = self.request(index, "POST", path, &[bearer()], &body.to_string())?;
        serde_json::from_str(&response.body).ok()
    }

    /// Sends a request to the operator port of a node.
    pub fn request(
        &self,
        index: usize,
        method: &str,
        path: &str,
        headers: &[String],
        body: &str,
    ) -> Option<Response> {
        exchange(self.nodes[index].operator_addr, method, path, headers, body)
    }
}

impl Drop for TestEnv {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            if let Some(mut child) = node.child.take() {
                // Fails if the process has ended already.
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}

/// A document for an environment with up to three nodes.
pub fn document(share: u8) -> Value {
    json!({
        "regions": [{ "name": "r", "failure_domains": ["d0", "d1", "d2"] }],
        "services": [{
            "name": "orders",
            "versions": [{ "name": "v1", "share": share }, { "name": "v2", "share": 100 - share }],
        }],
        "routes": [
            { "name": "all", "path_prefix": "/", "service": "orders", "idempotent": true },
        ],
    })
}

/// Authorization header with the operator token.
pub fn bearer() -> String {
    format!("authorization: Bearer {TOKEN}")
}

/// An HTTP response.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Response {
    /// Value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            (key.to_ascii_lowercase() == name).then(|| value.trim())
        })
    }
}

/// Sends one request on a new connection.
pub fn exchange(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[String],
    body: &str,
) -> Option<Response> {
    let mut stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(TIMEOUT)).ok()?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\ncontent-length: {}\r\n",
        body.len()
    );
    for header in headers {
        head += header;
        head += "\r\n";
    }
    stream
        .write_all(format!("{head}\r\n{body}").as_bytes())
        .ok()?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).ok()?;
    let response = String::from_utf8(response).ok()?;
    let (head, body) = response.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Response {
        status,
        head: head.to_owned(),
        body: body.to_owned(),
    })
}
