//! Configuration of one run of the command, independent of the argument parser.

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
    /// If the output is a terminal and `NO_COLOR` is not set.
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
    /// Author of the publication.
    pub author: String,
    /// Whether to wait until the version is in force everywhere.
    pub wait: bool,
    /// Time after which waiting ends.
    pub timeout: Duration,
}

/// Request of a caller of which a node is asked where it would send it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ExplainOptions {
    /// Value of the `Host` header.
    pub host: String,
    /// Path.
    pub path: String,
    /// File with the credential.
    pub key_file: Option<PathBuf>,
    /// Workspace whose credential the request has, instead of the credential.
    pub workspace: Option<String>,
    /// Size of the body.
    pub body_bytes: u64,
    /// Time until the deadline of the caller, milliseconds.
    pub time_left_ms: Option<u64>,
}

/// A subcommand with its arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Run a node.
    Node {
        /// Settings file.
        settings: PathBuf,
    },
    /// Run a node as a sidecar on a platform with a store.
    Sidecar {
        /// Settings file.
        settings: PathBuf,
    },
    /// Check the settings file of a sidecar.
    CheckSidecarSettings {
        /// Settings file.
        settings: PathBuf,
    },
    /// Check the settings file of a node.
    CheckSettings {
        /// Settings file.
        settings: PathBuf,
    },
    /// Check a configuration document.
    Validate {
        /// Document file.
        file: PathBuf,
    },
    /// Publish a configuration document.
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
        /// Old document; the new one if `other` is absent.
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
        /// The command ends after the first outcome that contains this text.
        until: Option<String>,
        /// Time after which the command ends.
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
    /// Print how to open the console.
    Console {
        /// Node that serves the console.
        access: OperatorAccess,
    },
    /// Show where a request would be sent, without sending it.
    Explain {
        /// Metrics port of the sidecar to ask.
        addr: SocketAddr,
        /// The request.
        options: ExplainOptions,
    },
    /// Print a completion script.
    Completions {
        /// Name of the shell.
        shell: String,
    },
}
