//! Plain configuration of one run of the command.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What one run of the command does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Config {
    /// The subcommand with its arguments.
    pub action: Action,
    /// Whether results are printed as JSON.
    pub json: bool,
}

/// How an operator command reaches a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OperatorAccess {
    /// Address of the node's operator port.
    pub addr: SocketAddr,
    /// File that holds the bearer token.
    pub token_file: PathBuf,
}

/// A subcommand with its arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Run a node.
    Node {
        /// Settings file.
        settings: PathBuf,
    },
    /// Check a settings file.
    CheckSettings {
        /// Settings file.
        settings: PathBuf,
    },
    /// Check a document.
    Validate {
        /// Document file.
        file: PathBuf,
    },
    /// Publish a document.
    Publish {
        /// Node to publish through.
        access: OperatorAccess,
        /// Document file.
        file: PathBuf,
        /// Version that the document is based on; the one in force if absent.
        base: Option<u64>,
        /// Who publishes.
        author: String,
        /// Whether to wait until the version is in force everywhere.
        wait: bool,
        /// Longest wait.
        timeout: Duration,
    },
    /// Print outcomes as they are reported.
    Watch {
        /// Node to ask.
        access: OperatorAccess,
        /// Text whose appearance ends the command.
        until: Option<String>,
        /// Longest wait.
        timeout: Option<Duration>,
    },
    /// Show the state of a node.
    Status {
        /// Node to ask.
        access: OperatorAccess,
    },
}
