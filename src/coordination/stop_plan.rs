//! Order of a graceful stop. See `docs/platform.md`, "Stop".

use std::time::Duration;

/// Time for which a stopping node still takes new connections: the platform asks once a second
/// whether it is ready and stops sending callers after two misses.
const WITHDRAW_TIME: Duration = Duration::from_millis(2_600);
/// Part of the allowed time that is kept for the end of the process; the smallest instances have a
/// tenth of a core.
const EXIT_MARGIN: Duration = Duration::from_millis(700);
/// Time before the end of the process by which a call has its answer.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);
/// Time between two steps from which on the process counts as suspended meanwhile.
const MAX_GAP: Duration = Duration::from_millis(500);
/// Time for which a process that was suspended beyond its end goes on, to deliver ready answers.
const RESUME_TIME: Duration = Duration::from_millis(200);
/// Time without an open call before the process ends. Callers with open connections send until they
/// see an answer that closes theirs, and the last answers have to leave the process.
const QUIET_TIME: Duration = Duration::from_millis(150);

/// What a stopping node does now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StopStep {
    /// Serve everything.
    Serve,
    /// Take no new connections, serve the open ones.
    Withdrawn,
    /// End the process.
    Exit,
}

/// Progress of a stop.
#[derive(Debug)]
pub struct StopPlan {
    began: Duration,
    end: Duration,
    last_step: Duration,
    quiet_since: Option<Duration>,
}

impl StopPlan {
    /// Begins a stop that must end `within` from now.
    #[must_use]
    pub fn new(now: Duration, within: Duration) -> Self {
        Self {
            began: now,
            end: now + within.saturating_sub(EXIT_MARGIN),
            last_step: now,
            quiet_since: None,
        }
    }

    /// Returns the time that a call that comes now may take, out of the `patience` of its caller and
    /// route, or `None` if it is refused. While the platform still sends callers they are served, in
    /// less time if need be: nodes refuse what cannot start within it, and a backend server ends what
    /// runs beyond it with an answer. Later, a caller with an open connection can go elsewhere.
    #[must_use]
    pub fn time_for(&self, now: Duration, patience: Duration) -> Option<Duration> {
        let left = self.end.saturating_sub(now + ANSWER_MARGIN);
        if patience <= left {
            Some(patience)
        } else {
            (now < self.began + WITHDRAW_TIME).then_some(left)
        }
    }

    /// Returns what to do while `open_calls` calls are open.
    pub fn step(&mut self, now: Duration, open_calls: usize) -> StopStep {
        let gap = now.saturating_sub(self.last_step);
        self.last_step = now;
        if gap > MAX_GAP {
            // The process was suspended; answers that came meanwhile are still delivered.
            self.end = self.end.max(now + RESUME_TIME);
        }
        if now >= self.end {
            return StopStep::Exit;
        }
        if open_calls > 0 {
            self.quiet_since = None;
        }
        if now < self.began + WITHDRAW_TIME {
            return StopStep::Serve;
        }
        if open_calls > 0 {
            return StopStep::Withdrawn;
        }
        let quiet_since = *self.quiet_since.get_or_insert(now);
        if now.saturating_sub(quiet_since) >= QUIET_TIME {
            StopStep::Exit
        } else {
            StopStep::Withdrawn
        }
    }
}
