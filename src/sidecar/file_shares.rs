//! Shares of the file descriptors of an instance. See `docs/design/misbehaving-clients.md`, "Outgoing connections".

/// Largest numbers of open connections of callers, of other nodes and of the platform. The smallest
/// instances allow 4,100 file descriptors.
const MAX_CALLER_CONNECTIONS: usize = 1_800;
const MAX_NODE_CONNECTIONS: usize = 1_200;
const MAX_PLATFORM_CONNECTIONS: usize = 64;
/// Parts of the file descriptors that make these numbers smaller on an instance that allows fewer, so that the
/// connections to backend servers and other nodes always have some.
const CALLER_PARTS: f64 = 0.44;
const NODE_PARTS: f64 = 0.29;
const PLATFORM_PARTS: f64 = 0.02;
/// Ports of the platform.
const PLATFORM_PORTS: usize = 3;
/// Descriptors for other purposes: listening sockets, standard streams, the event loop and signals, one connection
/// at each port that is accepted before one is closed for it, and a settings file that is read.
const OTHER_FILES: usize = 20;
/// Descriptors that no share has, so that the sum of all stays below the setting.
const SPARE_FILES: usize = 8;
/// Largest numbers of connections for control messages, and of those reserved for the backend server. Control messages
/// go to the store and to a few nodes at a time; a backend server accepts about 100 connections and has some 10 slots.
const MAX_CONTROL_CONNECTIONS: usize = 64;
const MAX_BACKEND_CONNECTIONS: usize = 56;
/// Smallest numbers of connections for control messages and for calls. Below 200 descriptors the sum of all shares may
/// exceed them.
const MIN_OUTGOING_CONNECTIONS: usize = 8;

/// Numbers of open connections of a process, idle ones included.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FileShares {
    /// From callers.
    pub callers: usize,
    /// From other nodes.
    pub nodes: usize,
    /// From the platform, for each of its ports.
    pub platform: usize,
    /// For calls, to other nodes and to the backend server.
    pub calls: usize,
    /// Those of them that are reserved for the backend server. Otherwise nodes that call each other would wait for
    /// each other's connections, with none left to run any of the calls.
    pub backend: usize,
    /// For control messages, to the store and to other nodes.
    pub control: usize,
    /// Those of them that are reserved for the store.
    pub store: usize,
}

impl FileShares {
    /// Returns the shares of a process that may open so many descriptors.
    #[must_use]
    pub fn new(max_open_files: u32) -> Self {
        let callers = part(max_open_files, CALLER_PARTS, MAX_CALLER_CONNECTIONS);
        let nodes = part(max_open_files, NODE_PARTS, MAX_NODE_CONNECTIONS);
        let platform = part(max_open_files, PLATFORM_PARTS, MAX_PLATFORM_CONNECTIONS);
        let incoming = callers + nodes + PLATFORM_PORTS * platform;
        let max_open_files = usize::try_from(max_open_files).unwrap_or(usize::MAX);
        let outgoing = max_open_files.saturating_sub(incoming + OTHER_FILES + SPARE_FILES);
        let control = (outgoing / 4).clamp(MIN_OUTGOING_CONNECTIONS, MAX_CONTROL_CONNECTIONS);
        let calls = outgoing
            .saturating_sub(control)
            .max(MIN_OUTGOING_CONNECTIONS);
        Self {
            callers,
            nodes,
            platform,
            calls,
            backend: (calls / 3).min(MAX_BACKEND_CONNECTIONS),
            control,
            store: control / 2,
        }
    }

    /// Returns the largest number of descriptors that the process has open.
    #[must_use]
    pub fn total(&self) -> usize {
        let incoming = self.callers + self.nodes + PLATFORM_PORTS * self.platform;
        incoming + self.calls + self.control + OTHER_FILES
    }
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a part of a number of file descriptors"
)]
fn part(max_open_files: u32, part: f64, most: usize) -> usize {
    let connections = f64::from(max_open_files) * part;
    (connections as usize).clamp(1, most)
}
