//! Definition of the command line; nothing else knows the argument parser.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use crate::config::Action;
use crate::config::Config;
use crate::config::OperatorAccess;

/// Default operator address of a node on the same instance.
const DEFAULT_OPERATOR_ADDR: &str = "127.0.0.1:7403";
/// Default name of the token file.
const DEFAULT_TOKEN_FILE: &str = "operator.token";

/// Builds the definition of the command line.
pub fn build() -> Command {
    Command::new("sycamorewick")
        .version(env!("CARGO_PKG_VERSION"))
        .about(
            "Distributes configuration across a service mesh and shifts traffic between versions",
        )
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(node_command())
        .subcommand(
            Command::new("validate")
                .about("Check a configuration document without publishing it")
                .arg(file_arg()),
        )
        .subcommand(publish_command())
        .subcommand(watch_command())
        .subcommand(with_access(
            Command::new("status").about("Show the state of a node and the fleet"),
        ))
}

fn node_command() -> Command {
    Command::new("node")
        .about("Run the node beside a backend server")
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .required_unless_present("check-settings")
                .help("Settings file, JSON with comments"),
        )
        .arg(
            Arg::new("check-settings")
                .long("check-settings")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .conflicts_with("settings")
                .help("Check a settings file and exit"),
        )
}

fn publish_command() -> Command {
    with_access(Command::new("publish").about("Put a configuration document in force"))
        .arg(file_arg())
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("VERSION")
                .value_parser(value_parser!(u64))
                .help("Version that the document is based on [default: the one in force]"),
        )
        .arg(
            Arg::new("author")
                .long("author")
                .value_name("NAME")
                .default_value("operator")
                .help("Who publishes"),
        )
        .arg(
            Arg::new("no-wait")
                .long("no-wait")
                .action(ArgAction::SetTrue)
                .help("Return as soon as the publication is accepted"),
        )
        .arg(
            Arg::new("timeout")
                .long("timeout")
                .value_name("SECONDS")
                .value_parser(value_parser!(u64))
                .default_value("30")
                .help("Give up waiting after this time"),
        )
}

fn watch_command() -> Command {
    with_access(Command::new("watch").about("Print the outcomes of all nodes as they are reported"))
        .arg(
            Arg::new("until")
                .long("until")
                .value_name("TEXT")
                .help("Exit with success after the first outcome that contains this text"),
        )
        .arg(
            Arg::new("timeout")
                .long("timeout")
                .value_name("SECONDS")
                .value_parser(value_parser!(u64))
                .help("Give up after this time [default: never]"),
        )
}

fn file_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help("Configuration document, JSON with comments")
}

fn with_access(command: Command) -> Command {
    command
        .arg(
            Arg::new("operator")
                .long("operator")
                .value_name("ADDRESS")
                .value_parser(value_parser!(SocketAddr))
                .default_value(DEFAULT_OPERATOR_ADDR)
                .help("Operator address of any node"),
        )
        .arg(
            Arg::new("token-file")
                .long("token-file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .default_value(DEFAULT_TOKEN_FILE)
                .help("File with the bearer token of the operator port"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Print JSON instead of text"),
        )
}

/// Turns parsed arguments into the plain configuration of the run.
///
/// # Panics
/// If an argument that the definition requires is absent, which the parser excludes.
pub fn config_from(matches: &ArgMatches) -> Config {
    let (name, sub) = matches.subcommand().expect("a subcommand is required");
    let action = match name {
        "node" => match sub.get_one::<PathBuf>("check-settings") {
            Some(file) => Action::CheckSettings {
                settings: file.clone(),
            },
            None => Action::Node {
                settings: path(sub, "settings"),
            },
        },
        "validate" => Action::Validate {
            file: path(sub, "file"),
        },
        "publish" => Action::Publish {
            access: access(sub),
            file: path(sub, "file"),
            base: sub.get_one::<u64>("base").copied(),
            author: sub.get_one::<String>("author").cloned().unwrap_or_default(),
            wait: !sub.get_flag("no-wait"),
            timeout: Duration::from_secs(
                sub.get_one::<u64>("timeout").copied().unwrap_or_default(),
            ),
        },
        "watch" => Action::Watch {
            access: access(sub),
            until: sub.get_one::<String>("until").cloned(),
            timeout: sub
                .get_one::<u64>("timeout")
                .copied()
                .map(Duration::from_secs),
        },
        "status" => Action::Status {
            access: access(sub),
        },
        other => unreachable!("undefined subcommand {other}"),
    };
    Config {
        action,
        json: sub
            .try_get_one::<bool>("json")
            .ok()
            .flatten()
            .copied()
            .unwrap_or_default(),
    }
}

fn path(matches: &ArgMatches, name: &str) -> PathBuf {
    matches
        .get_one::<PathBuf>(name)
        .cloned()
        .expect("the parser requires it")
}

fn access(matches: &ArgMatches) -> OperatorAccess {
    OperatorAccess {
        addr: *matches
            .get_one::<SocketAddr>("operator")
            .expect("the parser has a default"),
        token_file: path(matches, "token-file"),
    }
}
