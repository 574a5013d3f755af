//! Numbered result codes, see `docs/result-codes.md`.

use std::fmt;

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $text:literal;)*) => {
        /// Numbered result of an operation, listed in `docs/result-codes.md`.
        #[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
        #[repr(u16)]
        pub enum ResultCode {
            $($(#[$doc])* $name = $number,)*
        }

        impl ResultCode {
            /// All codes in ascending order.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the short text of the code.
            #[must_use]
            pub fn text(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

result_codes! {
    /// A configuration version is in force everywhere.
    InForce = 1001, "configuration in force everywhere";
    /// A rollout advanced by one step.
    RolloutAdvanced = 1002, "rollout advanced";
    /// A rollout has shifted all traffic to the new version.
    RolloutCompleted = 1003, "rollout completed";
    /// The hold period of a rollout ended without a fault.
    HoldPeriodEnded = 1004, "hold period ended";
    /// A version was rolled back.
    RolledBack = 1005, "version taken back";
    /// A rollout is waiting for a condition.
    RolloutStalled = 1006, "rollout stalled";
    /// A request was quarantined because it crashes backend servers.
    Quarantined = 1007, "request quarantined";
    /// A publication was appended and took effect.
    PublishAccepted = 1008, "publication accepted";
    /// A node became ready.
    NodeReady = 1009, "node ready";
    /// A node stopped gracefully.
    NodeStopped = 1010, "node stopped";
    /// The log responds to a node again after an outage.
    LogRecovered = 1011, "log answers again";

    /// A publication was based on a version that is no longer in force.
    PublishStale = 2001, "publication based on an old version";
    /// A publication's document is invalid.
    PublishInvalid = 2002, "publication invalid";
    /// A publication could not be confirmed.
    PublishUnconfirmed = 2003, "publication not confirmed";
    /// The log does not respond.
    LogUnavailable = 2004, "log unavailable";
    /// The log no longer has the requested records.
    LogTruncated = 2005, "log truncated";
    /// A configuration version was not in force on all nodes in time.
    NotInForce = 2006, "configuration not in force everywhere";

    /// The text is not valid JSON with comments.
    SyntaxError = 3001, "syntax error";
    /// A field is unknown.
    UnknownField = 3002, "unknown field";
    /// A field is missing or has a wrong type.
    InvalidField = 3003, "invalid field";
    /// A name occurs twice.
    DuplicateName = 3004, "duplicate name";
    /// Shares do not add up to 100.
    InvalidShares = 3005, "shares do not add up";
    /// A reference names an object that is not in the document.
    DanglingReference = 3006, "dangling reference";
    /// The schedule of a rollout is impossible.
    InvalidRollout = 3007, "invalid rollout";
    /// A limit of the document is exceeded.
    LimitExceeded = 3008, "limit exceeded";
    /// Two routes match the same requests.
    AmbiguousRoute = 3009, "ambiguous route";

    /// No route matches the request.
    NoRoute = 4001, "no route";
    /// No backend server is available for the request.
    NoBackend = 4002, "no backend server available";
    /// The backend server's queue is full, or the call waited in it for too long.
    Overloaded = 4003, "overloaded";
    /// The node is shutting down and accepts no new calls.
    Draining = 4004, "draining";
    /// The deadline of the call has passed.
    DeadlineExceeded = 4005, "deadline exceeded";
    /// The retry budget is exhausted.
    RetryBudgetExhausted = 4006, "retry budget exhausted";
    /// The call was forwarded and its outcome is unknown.
    OutcomeUnknown = 4007, "outcome unknown";
    /// The response of the backend server was incomplete or did not belong to the call.
    InvalidResponse = 4008, "broken answer";
    /// The body exceeds the size limit.
    BodyTooLarge = 4009, "body too large";
    /// The request is quarantined.
    RequestQuarantined = 4010, "request is quarantined";
    /// A call with the same key is still running.
    KeyInUse = 4011, "key in use";
    /// The key was used for a different request.
    KeyMismatch = 4012, "key used for another request";
    /// A call with the same key has run, but its response was not stored.
    ResponseNotStored = 4013, "already run, answer not kept";
    /// Too few replicas of the key can be reached.
    KeyReplicasUnreachable = 4014, "key replicas unreachable";
    /// The node has no configuration yet.
    NotReady = 4015, "node not ready";
    /// The request is malformed.
    BadRequest = 4016, "bad request";
    /// The request has no credential, or one that belongs to no workspace.
    CredentialUnknown = 4017, "credential unknown";
    /// No backend server in the home regions of the route or workspace may be used.
    OutsideHome = 4018, "outside the home regions";
    /// The quota of the workspace is used up.
    QuotaExceeded = 4019, "quota exceeded";
    /// The failure domain of the backend server is evacuated.
    DomainEvacuated = 4020, "failure domain evacuated";
    /// The memory that clients may use is taken, or the connections that the process may open.
    ClientLimit = 4021, "limit of clients";
    /// A name of the call cannot be sent to a backend server or another node.
    NameNotSendable = 4022, "name cannot be sent";

    /// A message between nodes could not be encoded.
    EncodeFailed = 5001, "encoding failed";
    /// A message between nodes is malformed.
    MessageMalformed = 5002, "message malformed";
    /// A message between nodes is too large.
    MessageTooLarge = 5003, "message too large";
    /// A message between nodes is not authentic.
    AuthFailed = 5004, "authentication failed";
    /// A message between nodes was already received.
    Replayed = 5005, "message replayed";
    /// A peer could not be reached.
    PeerUnreachable = 5006, "peer unreachable";
    /// A delta does not apply to the version that the node has.
    DeltaMismatch = 5007, "delta does not fit";
    /// A version is not newer than the one in force.
    VersionNotNewer = 5008, "version not newer";
    /// Two nodes have different configurations under one version.
    DigestMismatch = 5009, "configurations differ under one version";
    /// A request to the operator port had no valid token.
    TokenRefused = 5010, "operator token refused";

    /// An invariant of the program does not hold.
    InvariantViolated = 9001, "invariant violated";
    /// Settings of the process are invalid.
    InvalidSettings = 9002, "invalid settings";
    /// A socket could not be opened.
    BindFailed = 9003, "cannot listen";
    /// Log lines were dropped because their queue was full.
    LogLinesDropped = 9004, "log lines dropped";
    /// Outcomes were dropped because the log did not accept them for too long.
    OutcomesDropped = 9005, "outcomes dropped";
}

impl ResultCode {
    /// Returns the number of the code.
    #[must_use]
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns the code with this number.
    #[must_use]
    pub fn from_number(number: u16) -> Option<Self> {
        let index = Self::ALL
            .binary_search_by_key(&number, |code| code.number())
            .ok()?;
        Some(Self::ALL[index])
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.text())
    }
}

/// A failure with its code and a sentence that describes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Kind of the failure.
    pub code: ResultCode,
    /// What was found and where.
    pub text: String,
}

impl Failure {
    /// Creates a failure.
    pub fn new(code: ResultCode, text: impl Into<String>) -> Self {
        Self {
            code,
            text: text.into(),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.code, self.text)
    }
}

impl std::error::Error for Failure {}
