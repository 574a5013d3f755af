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

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(match code {
            ExitCode::Success => 0,
            ExitCode::GeneralError => 1,
            ExitCode::Usage => 2,
            ExitCode::Invalid => 3,
            ExitCode::Refused => 4,
            ExitCode::NotConfirmed => 5,
            ExitCode::Unreachable => 6,
        })
    }
}
