//! Phases of a graceful shutdown. See `docs/platform.md`, "Stop".

use std::time::Duration;

/// Time for which a stopping node still accepts new connections: the platform probes its readiness
/// once a second and stops sending callers after two failed probes.
const WITHDRAWAL_TIME: Duration = Duration::from_millis(2_600);
/// Part of the allowed time that is reserved for the exit of the process; the smallest instances
/// have a tenth of a core.
const EXIT_MARGIN: Duration = Duration::from_millis(700);
/// Time before the exit of the process by which every call must be answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);
/// Time between two steps above which the process counts as having been suspended.
const MAX_STEP_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a process that was suspended beyond its end continues, to deliver ready
/// responses.
const RESUME_TIME: Duration = Duration::from_millis(200);
/// Time without an open call before the process exits. Callers with open connections send calls
/// until a response closes the connection, and the last responses have to be transmitted.
const IDLE_TIME: Duration = Duration::from_millis(150);

/// Phase of a stopping node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopPhase {
    /// Accept new connections and serve all calls.
    Serve,
    /// Accept no new connections, but serve the open ones.
    Withdrawn,
    /// Exit the process.
    Exit,
}

/// State of a graceful shutdown.
#[derive(Debug)]
pub struct StopPlan {
    began: Duration,
    end: Duration,
    last_step: Duration,
    idle_since: Option<Duration>,
}

impl StopPlan {
    /// Begins a shutdown that must end `within` this time from now.
    #[must_use]
    pub fn new(now: Duration, within: Duration) -> Self {
        Self {
            began: now,
            end: now + within.saturating_sub(EXIT_MARGIN),
            last_step: now,
            idle_since: None,
        }
    }

    /// Returns the time limit of a call that arrives now, at most the `limit` of its caller and
    /// route, or `None` if the call is refused. While the platform still sends callers, calls are
    /// served with a shorter limit if necessary: nodes refuse calls that cannot start within it,
    /// and a backend server ends calls that run beyond it with a response. Later, a caller with an
    /// open connection can use another node.
    #[must_use]
    pub fn call_time_limit(&self, now: Duration, limit: Duration) -> Option<Duration> {
        let remaining = self.end.saturating_sub(now + ANSWER_MARGIN);
        if limit <= remaining {
            Some(limit)
        } else {
            (now < self.began + WITHDRAWAL_TIME).then_some(remaining)
        }
    }

    /// Returns the current phase while `open_calls` calls are open.
    pub fn step(&mut self, now: Duration, open_calls: usize) -> StopPhase {
        let interval = now.saturating_sub(self.last_step);
        self.last_step = now;
        if interval > MAX_STEP_INTERVAL {
            // The process was suspended; responses that arrived meanwhile are still delivered.
            self.end = self.end.max(now + RESUME_TIME);
        }
        if now >= self.end {
            return StopPhase::Exit;
        }
        if open_calls > 0 {
            self.idle_since = None;
        }
        if now < self.began + WITHDRAWAL_TIME {
            return StopPhase::Serve;
        }
        if open_calls > 0 {
            return StopPhase::Withdrawn;
        }
        let idle_since = *self.idle_since.get_or_insert(now);
        if now.saturating_sub(idle_since) >= IDLE_TIME {
            StopPhase::Exit
        } else {
            StopPhase::Withdrawn
        }
    }
}
