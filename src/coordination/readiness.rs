//! Decides when a node may serve calls after its start, see `docs/design.md`, section 4, "Start of
//! a node".
//!
//! A node starts without state, so an outdated configuration from a single peer could put a
//! replaced version in force again. The node becomes ready when it has learned the newest version
//! from the end of the log, or from ready peers in [`REQUIRED_DOMAINS`] failure domains, and that
//! version is in force. It then stays ready: a later outage of the log must not take nodes out of
//! service.

use std::fmt;
use std::fmt::Write as _;
use std::time::Duration;

use crate::protocol::name::ConfigVersion;
use crate::protocol::name::DomainName;

/// Number of failure domains whose peers must answer if the log does not.
pub const REQUIRED_DOMAINS: usize = 2;
/// Age beyond which an answer of a peer no longer counts: a configuration is in force everywhere
/// within 4 s, so an older answer may predate the newest configuration.
pub const MAX_ANSWER_AGE: Duration = Duration::from_secs(4);

/// Answer of a peer that was asked for its configuration version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerAnswer {
    /// Failure domain of the peer.
    pub domain: DomainName,
    /// Version in force at the peer.
    pub version: ConfigVersion,
    /// Whether the peer itself is ready. Nodes that start at the same time without state must not
    /// confirm each other.
    pub ready: bool,
}

/// Source that confirmed the newest version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Confirmation {
    /// The log was read to its end.
    Log,
    /// Peers in enough failure domains agreed.
    Peers,
}

/// Whether a node may serve calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadyState {
    /// The node may serve calls.
    Ready {
        /// Newest version at the time when the node became ready; [`ConfigVersion::NONE`] if
        /// nothing has been published yet.
        version: ConfigVersion,
        /// Source that confirmed the version.
        confirmation: Confirmation,
    },
    /// The node must not serve calls yet; the text says what it waits for.
    Waiting(String),
}

impl fmt::Display for ReadyState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ready {
                version,
                confirmation,
            } => {
                let confirmation = match confirmation {
                    Confirmation::Log => "the log",
                    Confirmation::Peers => "peers",
                };
                write!(
                    f,
                    "ready with version {version}, confirmed by {confirmation}"
                )
            }
            Self::Waiting(text) => f.write_str(text),
        }
    }
}

/// State machine of a node's start.
#[derive(Clone, Debug, Default)]
pub struct Readiness {
    in_force: ConfigVersion,
    /// Highest version learned from any source.
    newest: ConfigVersion,
    /// Whether the log was read to its end and all retained records were folded.
    log_end_reached: bool,
    /// Last answer of a ready peer in each domain, sorted by domain.
    peer_answers: Vec<(DomainName, Duration)>,
    ready: Option<(ConfigVersion, Confirmation)>,
}

impl Readiness {
    /// Creates the state of a node that has just started.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Handles a read of the log to its end, after which the fold has `version`. Must be called
    /// only if the fold is complete, see
    /// [`LogFold::is_complete`](crate::state::log_fold::LogFold::is_complete).
    pub fn on_log_end(&mut self, version: ConfigVersion) {
        self.log_end_reached = true;
        self.newest = self.newest.max(version);
    }

    /// Handles that the log stopped answering, or that records between the last read and the oldest
    /// retained one are lost; the end of the log is then unknown.
    pub fn on_log_lost(&mut self) {
        self.log_end_reached = false;
    }

    /// Handles the answer of a peer at `now`. An answer without a version is not a confirmation,
    /// since only the log can tell that nothing has been published yet.
    pub fn on_peer(&mut self, now: Duration, answer: &PeerAnswer) {
        self.newest = self.newest.max(answer.version);
        if !answer.ready || answer.version == ConfigVersion::NONE {
            return;
        }
        let at = self
            .peer_answers
            .binary_search_by(|(domain, _)| domain.cmp(&answer.domain));
        match at {
            Ok(at) => self.peer_answers[at].1 = now,
            Err(at) => self.peer_answers.insert(at, (answer.domain.clone(), now)),
        }
    }

    /// Handles that a configuration version is in force at this node.
    pub fn on_in_force(&mut self, version: ConfigVersion) {
        self.in_force = self.in_force.max(version);
        self.newest = self.newest.max(version);
    }

    /// Returns whether the node may serve calls. The first [`ReadyState::Ready`] is final.
    pub fn state(&mut self, now: Duration) -> ReadyState {
        if self.ready.is_none() && self.in_force == self.newest {
            self.ready = self
                .confirmation(now)
                .map(|confirmation| (self.in_force, confirmation));
        }
        match self.ready {
            Some((version, confirmation)) => ReadyState::Ready {
                version,
                confirmation,
            },
            None => ReadyState::Waiting(self.waiting_text(now)),
        }
    }

    fn confirmation(&self, now: Duration) -> Option<Confirmation> {
        if self.log_end_reached {
            return Some(Confirmation::Log);
        }
        (self.confirming_domains(now).count() >= REQUIRED_DOMAINS).then_some(Confirmation::Peers)
    }

    fn confirming_domains(&self, now: Duration) -> impl Iterator<Item = &DomainName> {
        self.peer_answers
            .iter()
            .filter(move |(_, at)| now.saturating_sub(*at) <= MAX_ANSWER_AGE)
            .map(|(domain, _)| domain)
    }

    fn waiting_text(&self, now: Duration) -> String {
        if self.confirmation(now).is_some() {
            return format!(
                "waits for version {}, the newest one known, to be in force; in force is {}",
                self.newest, self.in_force
            );
        }
        let domains: Vec<&str> = self
            .confirming_domains(now)
            .map(DomainName::as_str)
            .collect();
        let missing = REQUIRED_DOMAINS - domains.len();
        let mut text = format!(
            "waits for the end of the log or for ready peers in {missing} more failure domain{}",
            if missing == 1 { "" } else { "s" }
        );
        if !domains.is_empty() {
            let _ = write!(text, " than {}", domains.join(", "));
        }
        let _ = write!(text, "; in force is version {}", self.in_force);
        if self.newest > self.in_force {
            let _ = write!(text, ", the newest one known is {}", self.newest);
        }
        text
    }
}
