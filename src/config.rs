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
    /// When text is coloured.
    pub color: Color,
}

/// When text is coloured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Color {
    /// On a terminal, unless `NO_COLOR` is set.
    Auto,
    /// Always.
    Always,
    /// Never.
    Never,
}

/// How an operator command reaches a node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OperatorAccess {
    /// Address of the node's operator port.
    pub addr: SocketAddr,
    /// File that holds the bearer token.
    pub token_file: PathBuf,
}

/// How a document is published.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PublishOptions {
    /// Version that the document is based on; the one in force if absent.
    pub base: Option<u64>,
    /// Who publishes.
    pub author: String,
    /// Whether to wait until the version is in force everywhere.
    pub wait: bool,
    /// Longest wait.
    pub timeout: Duration,
}

/// A subcommand with its arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Run a node.
    Node {
        /// Settings file.
        settings: PathBuf,
    },
    /// Run a node on the users' platform.
    Sidecar {
        /// Settings file.
        settings: PathBuf,
    },
    /// Check the settings file of a node on the users' platform.
    CheckSidecarSettings {
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
        /// How to publish.
        options: PublishOptions,
    },
    /// Compare a document with another one or with the one in force.
    Diff {
        /// Node to ask.
        access: OperatorAccess,
        /// Old document, or the only one.
        file: PathBuf,
        /// New document; if absent, `file` is compared with the one in force.
        other: Option<PathBuf>,
    },
    /// List the publications in the log.
    History {
        /// Node to ask.
        access: OperatorAccess,
        /// Number of publications shown.
        limit: u64,
    },
    /// Show the state of a node.
    Status {
        /// Node to ask.
        access: OperatorAccess,
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
    /// Publish the contents of an earlier version again.
    Revert {
        /// Node to publish through.
        access: OperatorAccess,
        /// Version whose contents are published.
        version: u64,
        /// How to publish.
        options: PublishOptions,
    },
    /// Tell how to open the console.
    Console {
        /// Node whose console is meant.
        access: OperatorAccess,
    },
    /// Print a completion script.
    Completions {
        /// Name of the shell.
        shell: String,
    },
}
