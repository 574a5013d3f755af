//! Bound on the requests to a backend server that is cold. See `docs/design/cold-backend-servers.md`.
//!
//! A cold backend server crashes at a rate that it bears easily when it is warm. The node beside it sends all
//! of its requests and therefore keeps the bound alone. Reports arrive late and a backend server may become cold
//! at any time, so a state that is not known counts as cold, and a report counts only for a time
//! ([`ColdStart::report_lifetime`]).

use std::collections::VecDeque;
use std::time::Duration;

use crate::coordination::workspaces::fair_share::Rank;
use crate::protocol::hop::RequestRate;
use crate::protocol::name::RouteName;

/// Period over which requests to a cold backend server are counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Time for which unused requests are kept, so that calls that arrive together can start together.
const BURST: Duration = Duration::from_millis(250);
/// Lowest rate that is used, as a share of one request in a [`WINDOW`]. It applies if the rule leaves no room for
/// more than one request in a window.
const MIN_WINDOW_SHARE: f64 = 0.9;
/// Tokens that are kept for the most urgent calls. Without them less urgent calls use up each token as it comes,
/// and urgent calls that arrive together are refused.
const MAX_RESERVE: f64 = 2.0;
/// Time without an urgent call after which nothing is kept for such calls.
const RESERVE_TIME: Duration = Duration::from_secs(2);
/// Starts that are remembered. A backend server gets far fewer requests in a [`WINDOW`].
const MAX_STARTS: usize = 4_096;
/// Time after the reported end of the cold state for which the rate is still limited, so that the calls of
/// many callers do not all start in the first moment.
const RISE_TIME: Duration = Duration::from_millis(500);
/// Rate in the [`RISE_TIME`] relative to the rate before it.
const RISE_FACTOR: f64 = 2.0;
/// Shortest time between two probes of the health path, each of which is billed.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Heartbeat intervals without a report after which the backend server counts as silent, and is asked.
const SILENT_HEARTBEATS: u32 = 2;
/// Time for the answer. Without one the backend server counts as cold from then on.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Runs of which the mean decides whether runs have become longer. Run times vary by about 50 %, so the mean of
/// fewer runs often exceeds [`SLOW_RATIO`] by chance.
const COMPARED_RUNS: usize = 8;
/// Mean run time relative to the usual one from which on the backend server may be cold. A cold one takes about
/// twice as long.
const SLOW_RATIO: f64 = 1.6;
/// Minimum weight of one run in the usual run time of its route. The usual time must hardly change while
/// [`COMPARED_RUNS`] runs are compared with it.
const USUAL_WEIGHT: f64 = 0.02;
/// Runs of a route after which its usual run time is known.
const MIN_USUAL_RUNS: u32 = 20;
/// Routes of which run times are kept. Peers choose the names of routes, so their number is bounded.
const MAX_ROUTES: usize = 128;
/// Token counts this close to one count as one, since they are computed from rounded times.
const ROUNDING: f64 = 1e-6;

/// Rate and burst that keep within the rule for cold backend servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBound {
    per_s: f64,
    burst: f64,
}

impl ColdBound {
    /// Returns the bound of a service whose cold backend servers tolerate `rate`, while `rate` x `excess` +
    /// `slack` requests in any second violate the rule.
    #[must_use]
    pub fn new(rate: RequestRate, excess: f64, slack: f64) -> Self {
        let allowed = rate.per_s() * excess.max(0.0) + slack.max(0.0);
        Self::within(rate.per_s(), allowed)
    }

    /// Returns the bound for a service whose configuration is not known yet. The slack may be used whatever
    /// rate the configuration names. `None` without a slack.
    #[must_use]
    pub fn without_configuration(slack: f64) -> Option<Self> {
        (slack > 0.0).then(|| Self::within(slack / 2.0, slack))
    }

    /// A token bucket lets at most its rate times the window plus its burst start in a window.
    fn within(per_s: f64, allowed: f64) -> Self {
        let burst = (per_s * BURST.as_secs_f64()).min(allowed - per_s).max(1.0);
        let min_per_s = per_s.min(MIN_WINDOW_SHARE / WINDOW.as_secs_f64());
        let per_s = per_s.min(allowed - burst).max(min_per_s);
        Self { per_s, burst }
    }

    /// Requests a second.
    #[must_use]
    pub fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Most requests that start in any second.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float saturates at the bounds of the integer"
    )]
    pub fn per_window(&self) -> usize {
        (self.per_s * WINDOW.as_secs_f64() + self.burst) as usize
    }
}

/// Reason to ask a backend server whether it is cold before its next heartbeat.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProbeReason {
    /// A connection broke or was refused, and the backend server answers again.
    ConnectionBack,
    /// Runs have suddenly become about twice as long.
    SlowRuns,
    /// A call arrives after heartbeats were missing.
    Silence,
    /// The evacuation of the failure domain was revoked.
    EvacuationRevoked,
}

impl ProbeReason {
    /// Returns the reason for the log.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionBack => "connection back",
            Self::SlowRuns => "slow runs",
            Self::Silence => "silence",
            Self::EvacuationRevoked => "evacuation revoked",
        }
    }
}

/// What is known of the backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Heat {
    /// It has not reported since its start or that of this process, or its last report is too old. It counts as
    /// cold.
    Unknown,
    /// By its last report it is cold until this time.
    Cold(Duration),
    /// It reported to be warm.
    Warm,
}

impl Heat {
    fn is_cold(self, now: Duration) -> bool {
        match self {
            Self::Unknown => true,
            Self::Cold(until) => now < until,
            Self::Warm => false,
        }
    }
}

#[derive(Debug)]
struct UsualRun {
    route: RouteName,
    mean_s: f64,
    runs: u32,
}

/// Cold state of one backend server and the requests that it may get.
#[derive(Debug)]
pub struct ColdStart {
    bound: Option<ColdBound>,
    /// Time between two heartbeats of the backend server; reports do not lapse before it is set.
    heartbeat_interval: Option<Duration>,
    /// What the last report said; see [`Self::heat`].
    reported: Heat,
    /// Time of the last report.
    reported_at: Option<Duration>,
    tokens: f64,
    updated_at: Duration,
    /// Starts within the last [`WINDOW`], oldest first. The bound also holds in a window that begins before it
    /// is known that the backend server is cold.
    starts: VecDeque<Duration>,
    /// Usual run times, sorted by route.
    usual: Vec<UsualRun>,
    /// Run times of the last runs relative to the usual ones.
    compared: VecDeque<f64>,
    last_probe_at: Option<Duration>,
    /// Most urgent rank of late, and the time of its last call.
    urgent: Option<(Rank, Duration)>,
}

impl Default for ColdStart {
    fn default() -> Self {
        Self {
            bound: None,
            heartbeat_interval: None,
            reported: Heat::Unknown,
            reported_at: None,
            // An earlier process of the node may just have used the whole burst.
            tokens: 0.0,
            updated_at: Duration::ZERO,
            starts: VecDeque::new(),
            usual: Vec::new(),
            compared: VecDeque::new(),
            last_probe_at: None,
            urgent: None,
        }
    }
}

impl ColdStart {
    /// Sets the time between two heartbeats of the backend server.
    pub fn set_heartbeat_interval(&mut self, interval: Duration) {
        self.heartbeat_interval = Some(interval);
    }

    /// Sets the bound of the configuration, `None` if the service has none. Returns whether that is a change.
    pub fn set_bound(&mut self, now: Duration, bound: Option<ColdBound>) -> bool {
        if self.bound == bound {
            return false;
        }
        self.refill(now);
        match bound {
            // Earlier starts were not counted, so the bucket begins empty.
            Some(_) if self.bound.is_none() => self.tokens = 0.0,
            Some(bound) => self.tokens = self.tokens.min(bound.burst),
            None => {
                self.starts.clear();
                self.usual.clear();
                self.compared.clear();
            }
        }
        self.bound = bound;
        true
    }

    /// Applies a report of the backend server that has just arrived; it replaces all earlier ones. Returns
    /// whether it says something else than what was known before.
    pub fn on_report(&mut self, now: Duration, cold_left: Duration) -> bool {
        self.refill(now);
        let known = |heat: Heat| (heat != Heat::Unknown).then(|| heat.is_cold(now));
        let before = self.heat(now);
        self.reported_at = Some(now);
        self.reported = match before {
            _ if !cold_left.is_zero() => Heat::Cold(now.saturating_add(cold_left)),
            Heat::Cold(until) => Heat::Cold(until.min(now)),
            Heat::Unknown | Heat::Warm => Heat::Warm,
        };
        known(self.reported) != known(before)
    }

    /// Handles the loss of the backend server. It counts as cold until its next report.
    pub fn on_lost(&mut self, now: Duration) {
        self.refill(now);
        self.reported = Heat::Unknown;
    }

    /// Handles a start of the backend server. Run times of the previous incarnation do not apply to it.
    pub fn on_start(&mut self) {
        self.usual.clear();
        self.compared.clear();
    }

    /// Whether the backend server counts as cold.
    #[must_use]
    pub fn is_cold(&self, now: Duration) -> bool {
        self.heat(now).is_cold(now)
    }

    /// Returns the age of the last report.
    #[must_use]
    pub fn report_age(&self, now: Duration) -> Option<Duration> {
        self.reported_at.map(|at| now.saturating_sub(at))
    }

    /// Returns the requests a second that the backend server may get now; `None` if any number.
    #[must_use]
    pub fn per_s(&self, now: Duration) -> Option<f64> {
        let bound = self.bound?;
        match self.heat(now) {
            Heat::Unknown => Some(bound.per_s),
            Heat::Cold(until) if now < until => Some(bound.per_s),
            Heat::Cold(until) if now < until.saturating_add(RISE_TIME) => {
                Some(bound.per_s * RISE_FACTOR)
            }
            Heat::Cold(_) | Heat::Warm => None,
        }
    }

    /// Notes that a call of a rank has arrived.
    pub fn on_offer(&mut self, now: Duration, rank: Rank) {
        let is_kept = |(urgent, at): &(Rank, Duration)| *urgent < rank && now < *at + RESERVE_TIME;
        if self.bound.is_some() && !self.urgent.as_ref().is_some_and(is_kept) {
            self.urgent = Some((rank, now));
        }
    }

    /// Returns the time from `now` until a request of a rank may start behind `ahead` other ones.
    #[must_use]
    pub fn delay(&self, now: Duration, ahead: usize, rank: Rank) -> Duration {
        let (Some(bound), Some(per_s)) = (self.bound, self.per_s(now)) else {
            return Duration::ZERO;
        };
        #[allow(clippy::cast_precision_loss, reason = "queues are short")]
        let needed = ahead as f64 + 1.0 + self.reserve(now, &bound, rank);
        let missing = needed - self.tokens_at(now);
        let until_token = if missing <= ROUNDING {
            Duration::ZERO
        } else {
            self.time_for(now, missing / bound.per_s)
        };
        let delay = until_token.max(self.window_delay(now, &bound, per_s));
        match self.heat(now) {
            Heat::Cold(until) => delay.min(until.saturating_add(RISE_TIME).saturating_sub(now)),
            Heat::Unknown | Heat::Warm => delay,
        }
    }

    /// Whether a request of a rank may start now.
    #[must_use]
    pub fn allows(&self, now: Duration, rank: Rank) -> bool {
        self.delay(now, 0, rank).is_zero()
    }

    /// Counts the start of a request.
    pub fn take(&mut self, now: Duration) {
        if self.bound.is_none() {
            return;
        }
        self.refill(now);
        // A warm backend server gets more requests than the bucket has tokens.
        self.tokens = (self.tokens - 1.0).max(0.0);
        while self.starts.front().is_some_and(|at| *at + WINDOW <= now)
            || self.starts.len() >= MAX_STARTS
        {
            self.starts.pop_front();
        }
        self.starts.push_back(now);
    }

    /// Records a complete run. Returns whether the last runs took about twice as long as usual.
    pub fn on_run(&mut self, now: Duration, route: &RouteName, run_time: Duration) -> bool {
        if self.bound.is_none() || self.is_cold(now) {
            return false;
        }
        let run_time_s = run_time.as_secs_f64();
        let index = match self.usual.binary_search_by(|run| run.route.cmp(route)) {
            Ok(index) => index,
            Err(_) if self.usual.len() >= MAX_ROUTES => return false,
            Err(index) => {
                let first = UsualRun {
                    route: route.clone(),
                    mean_s: run_time_s,
                    runs: 0,
                };
                self.usual.insert(index, first);
                index
            }
        };
        let usual = &mut self.usual[index];
        if usual.runs >= MIN_USUAL_RUNS && usual.mean_s > 0.0 {
            if self.compared.len() >= COMPARED_RUNS {
                self.compared.pop_front();
            }
            self.compared.push_back(run_time_s / usual.mean_s);
        }
        usual.runs = usual.runs.saturating_add(1);
        let weight = USUAL_WEIGHT.max(1.0 / f64::from(usual.runs));
        usual.mean_s += (run_time_s - usual.mean_s) * weight;
        let sum: f64 = self.compared.iter().sum();
        #[allow(clippy::cast_precision_loss, reason = "the number is small")]
        let is_slow =
            self.compared.len() >= COMPARED_RUNS && sum > SLOW_RATIO * COMPARED_RUNS as f64;
        if is_slow {
            // If the backend server is not cold, the longer run times are its usual ones from now on.
            self.usual.clear();
            self.compared.clear();
        }
        is_slow
    }

    /// Returns the longest time for which a report that the backend server is warm counts. One that becomes cold
    /// without a restart gets no more than the bound at the latest this long after its last report, whether or not
    /// it could be asked.
    #[must_use]
    pub fn report_lifetime(&self) -> Option<Duration> {
        Some(self.silent_after()? + PROBE_TIMEOUT)
    }

    /// Returns the age of the last report after which the backend server counts as silent.
    fn silent_after(&self) -> Option<Duration> {
        Some(self.heartbeat_interval? * SILENT_HEARTBEATS)
    }

    /// Whether the last report is older than the heartbeats of a live backend server allow.
    #[must_use]
    pub fn is_silent(&self, now: Duration) -> bool {
        let ages = self.report_age(now).zip(self.silent_after());
        ages.is_some_and(|(age, longest)| age > longest)
    }

    /// Forgets a report whose lifetime has passed. Returns whether it has just passed.
    pub fn drop_lapsed(&mut self, now: Duration) -> bool {
        let has_lapsed = self.bound.is_some()
            && self.reported != Heat::Unknown
            && self.heat(now) == Heat::Unknown;
        if has_lapsed {
            self.on_lost(now);
        }
        has_lapsed
    }

    /// Whether the health path is to be probed for a reason. A backend server that is known to stay cold until
    /// after its next heartbeat is not asked.
    pub fn probe(&mut self, now: Duration) -> bool {
        let next_heartbeat = now.saturating_add(self.heartbeat_interval.unwrap_or_default());
        let stays_cold = matches!(self.heat(now), Heat::Cold(until) if until > next_heartbeat);
        let is_early = self
            .last_probe_at
            .is_some_and(|at| now < at + PROBE_INTERVAL);
        if self.bound.is_none() || stays_cold || is_early {
            return false;
        }
        self.last_probe_at = Some(now);
        true
    }

    /// What is known of the backend server now. A report that it is cold holds until the time that it names.
    fn heat(&self, now: Duration) -> Heat {
        let ages = self.report_age(now).zip(self.report_lifetime());
        let is_old = ages.is_some_and(|(age, lifetime)| age >= lifetime);
        if is_old && !self.reported.is_cold(now) {
            Heat::Unknown
        } else {
            self.reported
        }
    }

    /// Tokens that a call of a rank must leave.
    fn reserve(&self, now: Duration, bound: &ColdBound, rank: Rank) -> f64 {
        let is_less_urgent =
            |(urgent, at): (Rank, Duration)| urgent < rank && now < at + RESERVE_TIME;
        if self.urgent.is_some_and(is_less_urgent) {
            (bound.burst - 1.0).clamp(0.0, MAX_RESERVE)
        } else {
            0.0
        }
    }

    /// Time until a request fits into the [`WINDOW`] with the earlier ones.
    fn window_delay(&self, now: Duration, bound: &ColdBound, per_s: f64) -> Duration {
        let raised = ColdBound { per_s, ..*bound };
        let oldest = self.starts.len().checked_sub(raised.per_window().max(1));
        let oldest = oldest.and_then(|index| self.starts.get(index));
        oldest.map_or(Duration::ZERO, |at| (*at + WINDOW).saturating_sub(now))
    }

    /// Time from `now` in which the bucket gets what it gets in `seconds` of the cold state.
    fn time_for(&self, now: Duration, seconds: f64) -> Duration {
        let cold_s = match self.heat(now) {
            Heat::Cold(until) => until.saturating_sub(now).as_secs_f64().min(seconds),
            Heat::Unknown | Heat::Warm => seconds,
        };
        let time_s = cold_s + (seconds - cold_s) / RISE_FACTOR;
        Duration::try_from_secs_f64(time_s).unwrap_or(Duration::MAX)
    }

    fn tokens_at(&self, now: Duration) -> f64 {
        let Some(bound) = self.bound else {
            return 0.0;
        };
        let elapsed = now.saturating_sub(self.updated_at);
        let raised = match self.heat(now) {
            Heat::Cold(until) => now.saturating_sub(until.max(self.updated_at)),
            Heat::Unknown | Heat::Warm => Duration::ZERO,
        };
        let units = elapsed.as_secs_f64() + raised.as_secs_f64() * (RISE_FACTOR - 1.0);
        (self.tokens + units * bound.per_s).min(bound.burst)
    }

    fn refill(&mut self, now: Duration) {
        self.tokens = self.tokens_at(now);
        self.updated_at = now.max(self.updated_at);
    }
}
