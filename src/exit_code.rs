//! Exit codes of the command, see `docs/result-codes.md`.

use std::process;

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// The command succeeded.
    Success,
    /// The command failed for a reason without its own code.
    GeneralError,
    /// The arguments are wrong; `clap` exits with the same number.
    Usage,
    /// A document or settings file is invalid.
    Invalid,
    /// The publication was refused.
    Refused,
    /// The result could not be confirmed; the publication may or may not have taken effect.
    NotConfirmed,
    /// The node does not respond.
    Unreachable,
}

impl ExitCode {
    /// All codes with their meanings in ascending order, as listed in the help.
    pub const ALL: &[(Self, &str)] = &[
        (Self::Success, "done"),
        (Self::GeneralError, "failed for another reason"),
        (Self::Usage, "wrong arguments"),
        (Self::Invalid, "invalid document or settings file"),
        (Self::Refused, "publication refused"),
        (Self::NotConfirmed, "not confirmed in time"),
        (Self::Unreachable, "no answer from the node"),
    ];

    /// Returns the exit status of the process.
    pub fn number(self) -> u8 {
        match self {
            Self::Success => 0,
            Self::GeneralError => 1,
            Self::Usage => 2,
            Self::Invalid => 3,
            Self::Refused => 4,
            Self::NotConfirmed => 5,
            Self::Unreachable => 6,
        }
    }
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code.number())
    }
}
