//! Exit codes of the command, see `docs/result-codes.md`.

use std::process;

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// It did what it was asked to do.
    Success,
    /// It failed for another reason than the ones below.
    GeneralError,
    /// The arguments are wrong; the same number that `clap` uses.
    Usage,
    /// A document or settings file is invalid.
    Invalid,
    /// The publication was refused.
    Refused,
    /// The result could not be confirmed; it may or may not have taken effect.
    NotConfirmed,
    /// The node does not answer.
    Unreachable,
}

impl ExitCode {
    /// All codes with what they mean, in ascending order; the help shows them.
    pub const ALL: &[(Self, &str)] = &[
        (Self::Success, "done"),
        (Self::GeneralError, "failed for another reason"),
        (Self::Usage, "wrong arguments"),
        (Self::Invalid, "invalid document or settings file"),
        (Self::Refused, "publication refused"),
        (Self::NotConfirmed, "not confirmed in time"),
        (Self::Unreachable, "no answer from the node"),
    ];

    /// Returns the number that the process exits with.
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
