//! Headers of a call between two nodes: one for the request, one for the response. See
//! `docs/platform.md`, "Between nodes".

use std::fmt::Write;
use std::time::Duration;

use crate::protocol::call::Executed;
use crate::protocol::name::RouteName;
use crate::protocol::name::ServiceName;
use crate::protocol::name::VersionName;
use crate::protocol::name::WorkspaceName;
use crate::protocol::name_field;
use crate::protocol::name_field::SEPARATOR;
use crate::protocol::time::millis;

/// Request header with the [`HopRequestHeader`].
pub const HOP_REQUEST_HEADER: &str = "sw-hop";
/// Request header with the address at which other nodes reach the entry node.
pub const ORIGIN_HEADER: &str = "sw-origin";
/// Response header with the [`HopResponseHeader`].
pub const HOP_RESPONSE_HEADER: &str = "sw-end";
/// Routes of one service whose results are kept apart.
const MAX_ROUTES: usize = 128;

/// Information about a call that the entry node sends to the serving node.
#[derive(Clone, Debug, Eq, PartialEq)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "independent facts about the call"
)]
pub struct HopRequestHeader {
    /// Route that the entry node chose.
    pub route: RouteName,
    /// Service that the call is sent to.
    pub service: ServiceName,
    /// Version that the entry node chose.
    pub version: VersionName,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// Whether a response that misses the latency objective is better than none.
    pub accepts_late: bool,
    /// Priority of the route; 0 is the highest.
    pub priority: u8,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Time until the deadline of the caller or the route.
    pub left: Duration,
    /// Whether the caller has spent its latency objective before this try, so that other calls that can
    /// still be in time go first.
    pub is_overdue: bool,
    /// Limit of the backend server as the entry node last heard of it. A serving node that has just
    /// started uses it until the first answer of its backend server.
    pub limit: Option<RequestRate>,
    /// Workspace whose credential the entry node has found valid.
    pub workspace: Option<WorkspaceName>,
    /// Priority of the workspace, which goes before that of the route; 0 is the highest. A call without a workspace
    /// has that of the most urgent workspace.
    pub workspace_priority: u8,
    /// Whether the call has left its failure domain although that could serve it; it may only use spare
    /// capacity.
    pub is_spillover: bool,
}

impl HopRequestHeader {
    /// Whether the names of the call are short enough to be sent to another node.
    #[must_use]
    pub fn is_sendable(&self) -> bool {
        let workspace = self.workspace.as_ref().map(WorkspaceName::as_str);
        let names = [
            self.route.as_str(),
            self.service.as_str(),
            self.version.as_str(),
        ];
        let mut names = names.into_iter().chain(workspace);
        names.all(name_field::is_sendable)
    }

    /// Returns the header value.
    #[must_use]
    pub fn encode(&self) -> String {
        let workspace = match &self.workspace {
            Some(workspace) => {
                let name = name_field::encode(workspace.as_str());
                format!(";{name};{}", self.workspace_priority)
            }
            // Without workspaces in the configuration the header is that of earlier builds.
            None if self.workspace_priority == 0 && !self.is_spillover => String::new(),
            None => format!(";;{}", self.workspace_priority),
        };
        let spillover = if self.is_spillover { ";1" } else { "" };
        format!(
            "{};{};{};{};{};{};{};{};{};{}{workspace}{spillover}",
            name_field::encode(self.route.as_str()),
            name_field::encode(self.service.as_str()),
            name_field::encode(self.version.as_str()),
            u8::from(self.idempotent),
            u8::from(self.accepts_late),
            self.priority,
            millis(self.objective),
            millis(self.left),
            encode_limit(self.limit),
            u8::from(self.is_overdue)
        )
    }

    /// Parses the header value; returns `None` if it is malformed.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        let mut fields = text.split(SEPARATOR);
        Some(Self {
            route: decode_name(fields.next())?,
            service: decode_name(fields.next())?,
            version: decode_name(fields.next())?,
            idempotent: fields.next()? == "1",
            accepts_late: fields.next()? == "1",
            priority: fields.next()?.parse().ok()?,
            objective: Duration::from_millis(fields.next()?.parse().ok()?),
            left: Duration::from_millis(fields.next()?.parse().ok()?),
            limit: decode_limit(fields.next()),
            // Nodes of earlier builds do not send the fields from here on.
            is_overdue: fields.next() == Some("1"),
            workspace: match fields.next() {
                None | Some("") => None,
                field => Some(decode_name(field)?),
            },
            workspace_priority: fields
                .next()
                .and_then(|field| field.parse().ok())
                .unwrap_or(0),
            is_spillover: fields.next() == Some("1"),
        })
    }
}

/// Parses a field with a name; `None` if it is missing or malformed.
fn decode_name<T: for<'a> From<&'a str>>(field: Option<&str>) -> Option<T> {
    Some(name_field::decode(field?)?.as_ref().into())
}

/// Cumulative results of a backend server since its node first heard of it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BackendTotals {
    /// Requests that it executed.
    pub runs: u64,
    /// Executed requests that failed.
    pub failures: u64,
    /// Sum of the latencies, each in percent of its route's objective, so that the latencies of
    /// different routes can be added.
    pub latency_percent: u64,
}

impl BackendTotals {
    /// Adds the results of another backend server or period.
    pub fn add(&mut self, other: &Self) {
        self.runs += other.runs;
        self.failures += other.failures;
        self.latency_percent += other.latency_percent;
    }

    /// Returns the part of the runs that failed.
    #[must_use]
    #[allow(
        clippy::cast_precision_loss,
        reason = "numbers of runs are far below 2^52"
    )]
    pub fn failure_rate(&self) -> f64 {
        self.failures as f64 / self.runs.max(1) as f64
    }

    /// Returns the mean latency in percent of the objective.
    #[must_use]
    #[allow(
        clippy::cast_precision_loss,
        reason = "numbers of runs are far below 2^52"
    )]
    pub fn mean_latency_percent(&self) -> f64 {
        self.latency_percent as f64 / self.runs.max(1) as f64
    }

    /// Returns the results since `earlier`, or all results if the backend server has restarted since
    /// then.
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

/// Results by route, sorted. Routes have their own objectives and faults, so that a sum over all of them
/// says little about one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RouteTotals(Vec<(RouteName, BackendTotals)>);

impl RouteTotals {
    /// Returns the results of a route.
    #[must_use]
    pub fn get(&self, route: &RouteName) -> BackendTotals {
        let found = self.0.binary_search_by(|(known, _)| known.cmp(route));
        found.map_or_else(|_| BackendTotals::default(), |index| self.0[index].1)
    }

    /// Returns the results of a route to change them; `None` if there are too many routes already.
    pub fn entry(&mut self, route: &RouteName) -> Option<&mut BackendTotals> {
        let index = match self.0.binary_search_by(|(known, _)| known.cmp(route)) {
            Ok(index) => index,
            Err(_) if self.0.len() >= MAX_ROUTES => return None,
            Err(index) => {
                let first = (route.clone(), BackendTotals::default());
                self.0.insert(index, first);
                index
            }
        };
        Some(&mut self.0[index].1)
    }

    /// Returns the results of a route and of one other, which changes with `turn`.
    #[must_use]
    pub fn extract(&self, route: &RouteName, turn: usize) -> Self {
        let other = turn % self.0.len().max(1);
        let is_chosen = |index: usize, known: &RouteName| index == other || known == route;
        let chosen = self.0.iter().enumerate();
        let chosen = chosen.filter(|(index, (known, _))| is_chosen(*index, known));
        Self(chosen.map(|(_, entry)| entry.clone()).collect())
    }

    /// Adds the results of other backend servers.
    pub fn add(&mut self, other: &Self) {
        for (route, tally) in &other.0 {
            if let Some(sum) = self.entry(route) {
                sum.add(tally);
            }
        }
    }

    /// Returns the routes and their results.
    pub fn iter(&self) -> impl Iterator<Item = &(RouteName, BackendTotals)> {
        self.0.iter()
    }
}

/// Number of requests a second that a backend server accepts, in thousandths.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestRate(u32);

impl RequestRate {
    /// Creates a rate; `None` if it is negative or not a number.
    #[must_use]
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a float saturates at the bounds of the integer"
        )]
        (per_s >= 0.0).then_some(Self((per_s * 1e3).round() as u32))
    }

    /// Returns the requests a second.
    #[must_use]
    pub fn per_s(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}

fn encode_limit(limit: Option<RequestRate>) -> String {
    limit.map_or_else(String::new, |limit| limit.0.to_string())
}

/// Parses a limit. Nodes of earlier builds do not send the field.
fn decode_limit(field: Option<&str>) -> Option<RequestRate> {
    field?.parse().ok().map(RequestRate)
}

/// Encodes the wait for a large body and, if the backend server reports it, the time that work takes.
fn encode_waits(load: &Load) -> String {
    match load.work_time_percent {
        None => load.transfer_wait_ms.to_string(),
        Some(percent) => format!("{},{percent}", load.transfer_wait_ms),
    }
}

/// Parses what [`encode_waits`] returns. Nodes of earlier builds do not send the field.
fn decode_waits(load: &mut Load, field: Option<&str>) {
    let mut parts = field.unwrap_or_default().split(',');
    let mut next = || parts.next().and_then(|part| part.parse().ok());
    load.transfer_wait_ms = next().unwrap_or_default();
    load.work_time_percent = next();
}

/// Load of a serving node and what its backend server has announced.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests that run at the backend server.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Slots of the backend server that its limit allows to use.
    pub slots: u32,
    /// Mean time for which a call occupies such a slot, milliseconds; zero before the first one.
    pub mean_run_ms: u32,
    /// Limit that the backend server has named.
    pub limit: Option<RequestRate>,
    /// Whether the backend server has announced that it leaves.
    pub is_leaving: bool,
    /// Expected time until the node can receive a large body, milliseconds.
    pub transfer_wait_ms: u32,
    /// Time that work takes on the instance of the backend server at this moment, in percent of the usual
    /// time; `None` if the backend server does not report it.
    pub work_time_percent: Option<u32>,
}

/// Information that the serving node sends to the entry node with a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HopResponseHeader {
    /// Whether the call was executed.
    pub run: Executed,
    /// Whether the call arrived at the backend server, even if the backend server refused it.
    pub arrived: bool,
    /// Number of the result code if the node generated the response itself, otherwise zero.
    pub code: u16,
    /// Run time of the call at the backend server, milliseconds.
    pub run_ms: u32,
    /// Load of the serving node.
    pub load: Load,
    /// Cumulative results of its backend server.
    pub tally: BackendTotals,
    /// Cumulative results of its backend server for some routes, while a rollout runs.
    pub route_tallies: RouteTotals,
}

impl HopResponseHeader {
    /// Returns the header value. Results of routes whose names are not sent between nodes are left out.
    #[must_use]
    pub fn encode(&self) -> String {
        let mut route_tallies = String::new();
        let all = self.route_tallies.iter();
        for (route, tally) in all.filter(|(route, _)| name_field::is_sendable(route.as_str())) {
            let BackendTotals {
                runs,
                failures,
                latency_percent,
            } = tally;
            let route = name_field::encode(route.as_str());
            let _ = write!(
                route_tallies,
                ";{route};{runs};{failures};{latency_percent}"
            );
        }
        format!(
            "{};{};{};{};{};{};{};{};{};{};{};{};{};{}{}",
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
            self.tally.latency_percent,
            encode_limit(self.load.limit),
            u8::from(self.load.is_leaving),
            encode_waits(&self.load),
            route_tallies
        )
    }

    /// Parses the header value; returns `None` if it is malformed.
    #[must_use]
    pub fn decode(text: &str) -> Option<Self> {
        let mut fields = text.split(SEPARATOR);
        let mut header = Self {
            run: Executed::from_header(fields.next()?),
            arrived: fields.next()? == "1",
            code: fields.next()?.parse().ok()?,
            run_ms: fields.next()?.parse().ok()?,
            load: Load {
                running: fields.next()?.parse().ok()?,
                waiting: fields.next()?.parse().ok()?,
                slots: fields.next()?.parse().ok()?,
                mean_run_ms: fields.next()?.parse().ok()?,
                ..Load::default()
            },
            tally: BackendTotals {
                runs: fields.next()?.parse().ok()?,
                failures: fields.next()?.parse().ok()?,
                latency_percent: fields.next()?.parse().ok()?,
            },
            route_tallies: RouteTotals::default(),
        };
        header.load.limit = decode_limit(fields.next());
        header.load.is_leaving = fields.next() == Some("1");
        decode_waits(&mut header.load, fields.next());
        while let Some(route) = fields.next().and_then(name_field::decode) {
            let mut number = || fields.next().and_then(|field| field.parse().ok());
            let (Some(runs), Some(failures), Some(latency_percent)) =
                (number(), number(), number())
            else {
                break;
            };
            if let Some(tally) = header.route_tallies.entry(&route.as_ref().into()) {
                *tally = BackendTotals {
                    runs,
                    failures,
                    latency_percent,
                };
            }
        }
        Some(header)
    }
}
