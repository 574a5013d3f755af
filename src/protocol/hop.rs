//! Headers of a call between two nodes: one for the request, one for the answer. See
//! `docs/platform.md`, "Between nodes".

use std::time::Duration;

use crate::protocol::call::Run;
use crate::protocol::name::RouteName;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;
use crate::protocol::time::millis;

/// Header with the [`HopHead`] of a request.
pub const HOP_HEADER: &str = "sw-hop";
/// Header of a call with the address at which its entry node is reached by other nodes.
pub const ORIGIN_HEADER: &str = "sw-origin";
/// Header with the [`HopEnd`] of an answer.
pub const END_HEADER: &str = "sw-end";
/// Separates the fields of both headers; names of the platform do not have it.
const SEPARATOR: char = ';';

/// What the entry node tells the serving node about a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HopHead {
    /// Route that the entry node chose.
    pub route: RouteName,
    /// Service that the call is for.
    pub service: ServiceName,
    /// Version that the entry node chose.
    pub version: VersionName,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether an answer after the objective is better than none.
    pub accepts_late: bool,
    /// Rank of the route, 0 is the most urgent.
    pub priority: u8,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Time that is left until the caller or the route gives up.
    pub left: Duration,
}

impl HopHead {
    /// Writes the header's value.
    #[must_use]
    pub fn encode(&self) -> String {
        format!(
            "{};{};{};{};{};{};{};{}",
            self.route,
            self.service,
            self.version,
            u8::from(self.idempotent),
            u8::from(self.accepts_late),
            self.priority,
            millis(self.objective),
            millis(self.left)
        )
    }

    /// Reads the header's value.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        let mut fields = text.split(SEPARATOR);
        Some(Self {
            route: fields.next()?.into(),
            service: fields.next()?.into(),
            version: fields.next()?.into(),
            idempotent: fields.next()? == "1",
            accepts_late: fields.next()? == "1",
            priority: fields.next()?.parse().ok()?,
            objective: Duration::from_millis(fields.next()?.parse().ok()?),
            left: Duration::from_millis(fields.next()?.parse().ok()?),
        })
    }
}

/// Results of a backend server since its node knows it; only grows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tally {
    /// Requests that it ran.
    pub runs: u64,
    /// Runs that failed.
    pub failures: u64,
    /// Sum of the latencies in hundredths of the routes' objectives, so that routes can be added.
    pub latency_percent: u64,
}

impl Tally {
    /// Adds the results of another backend server or time.
    pub fn add(&mut self, other: &Self) {
        self.runs += other.runs;
        self.failures += other.failures;
        self.latency_percent += other.latency_percent;
    }

    /// What has come since `earlier`; all of it if the backend server was started anew meanwhile.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        if self.runs < earlier.runs {
            return *self;
        }
        Self {
            runs: self.runs - earlier.runs,
            failures: self.failures.saturating_sub(earlier.failures),
            latency_percent: self.latency_percent.saturating_sub(earlier.latency_percent),
        }
    }
}

/// How busy a serving node is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests at the backend server.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Slots of the backend server.
    pub slots: u32,
    /// Mean run time of its calls, milliseconds; zero before any.
    pub mean_run_ms: u32,
}

/// What the serving node tells the entry node with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HopEnd {
    /// Whether the call ran.
    pub run: Run,
    /// Whether it arrived at the backend server, even if that refused it.
    pub arrived: bool,
    /// Number of the result code if the node made the answer itself, otherwise zero.
    pub code: u16,
    /// Time that the call ran at the backend server, milliseconds.
    pub run_ms: u32,
    /// How busy the node is.
    pub load: Load,
    /// Results of its backend server.
    pub tally: Tally,
}

impl HopEnd {
    /// Writes the header's value.
    #[must_use]
    pub fn encode(&self) -> String {
        format!(
            "{};{};{};{};{};{};{};{};{};{};{}",
            self.run.as_str(),
            u8::from(self.arrived),
            self.code,
            self.run_ms,
            self.load.running,
            self.load.waiting,
            self.load.slots,
            self.load.mean_run_ms,
            self.tally.runs,
            self.tally.failures,
            self.tally.latency_percent
        )
    }

    /// Reads the header's value.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        let mut fields = text.split(SEPARATOR);
        Some(Self {
            run: Run::from_header(fields.next()?),
            arrived: fields.next()? == "1",
            code: fields.next()?.parse().ok()?,
            run_ms: fields.next()?.parse().ok()?,
            load: Load {
                running: fields.next()?.parse().ok()?,
                waiting: fields.next()?.parse().ok()?,
                slots: fields.next()?.parse().ok()?,
                mean_run_ms: fields.next()?.parse().ok()?,
            },
            tally: Tally {
                runs: fields.next()?.parse().ok()?,
                failures: fields.next()?.parse().ok()?,
                latency_percent: fields.next()?.parse().ok()?,
            },
        })
    }
}
