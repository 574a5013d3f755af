//! Headers of a call between nodes, see `docs/design.md`, section 3.

/// Id of a call. The response repeats it, and the entry node compares it.
pub const CALL_HEADER: &str = "sw-call";
/// Remaining time of a call, milliseconds.
pub const DEADLINE_HEADER: &str = "sw-deadline-ms";
/// Remaining retries of the whole call tree.
pub const ATTEMPTS_HEADER: &str = "sw-attempts";
/// Route that the entry node chose.
pub const ROUTE_HEADER: &str = "sw-route";
/// Service that the call is sent to.
pub const SERVICE_HEADER: &str = "sw-service";
/// Version that the entry node chose.
pub const VERSION_HEADER: &str = "sw-version";
/// Method and path of the caller's request, on the hop between two nodes.
pub const TARGET_HEADER: &str = "sw-target";
/// Authentication of a request between nodes.
pub const AUTH_HEADER: &str = "sw-auth";
/// Whether the request was executed: `no`, `yes` or `unknown`.
pub const RUN_HEADER: &str = "sw-run";
/// Result code of a response that a node generated itself.
pub const CODE_HEADER: &str = "sw-code";
/// Number of calls that are running or waiting at the serving node.
pub const LOAD_HEADER: &str = "sw-load";
/// Idempotency key that the caller set for a non-idempotent call.
pub const KEY_HEADER: &str = "idempotency-key";

/// Largest body of a request, bytes.
pub const MAX_BODY_BYTES: usize = 1 << 20;
/// Largest body of a response, bytes. Responses are buffered completely, so that a truncated one
/// becomes an error; with 10 slots a serving node buffers at most 160 MiB of them.
pub const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// Retry budget of a call tree if the caller set none.
pub const DEFAULT_ATTEMPTS: u8 = 3;

/// Whether a request was executed by a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Executed {
    /// The request was never forwarded.
    No,
    /// The request was executed and its response is complete.
    Yes,
    /// The request was forwarded, but it is not known whether it was executed completely.
    Unknown,
}

impl Executed {
    /// Returns the value of the [`RUN_HEADER`].
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }

    /// Parses the value of the [`RUN_HEADER`]. Anything except `no` and `yes` is unknown, since only
    /// an explicit value may be relied on.
    #[must_use]
    pub fn from_header(text: &str) -> Self {
        match text {
            "no" => Self::No,
            "yes" => Self::Yes,
            _ => Self::Unknown,
        }
    }
}
