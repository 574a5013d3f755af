//! Command-line definition; no other module uses the argument parser.

use std::env;
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::builder::RangedU64ValueParser;
use clap::value_parser;
use clap_complete::Shell;

use crate::config::Action;
use crate::config::Color;
use crate::config::Config;
use crate::config::ExplainOptions;
use crate::config::OperatorAccess;
use crate::config::PublishOptions;
use crate::exit_code::ExitCode;

const PROGRAM_NAME: &str = "sycamorewick";
/// Operator address of a node on the same instance.
const DEFAULT_OPERATOR_ADDR: &str = "127.0.0.1:7403";
const DEFAULT_TOKEN_FILE: &str = "operator.token";
/// Author if neither `--author` nor `USER` is set.
const DEFAULT_AUTHOR: &str = "operator";
/// Longest value of `--timeout`: one day.
const MAX_TIMEOUT_S: u64 = 86_400;

/// Builds the command-line definition.
pub fn build() -> Command {
    Command::new(PROGRAM_NAME)
        .version(env!("CARGO_PKG_VERSION"))
        .about(
            "Distributes configuration across a service mesh and shifts traffic between versions",
        )
        .after_long_help(exit_codes())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .arg(
            Arg::new("json")
                .long("json")
                .global(true)
                .action(ArgAction::SetTrue)
                .help("Print JSON instead of text")
                .long_help("Print results as JSON on standard output, one object or list per line"),
        )
        .arg(
            Arg::new("color")
                .long("color")
                .global(true)
                .value_name("WHEN")
                .value_parser(["auto", "always", "never"])
                .default_value("auto")
                .help("When to colour the output")
                .long_help(
                    "When to colour the output. With auto, it is coloured on a terminal unless \
                     the environment variable NO_COLOR is set and not empty",
                ),
        )
        .subcommand(node_command())
        .subcommand(sidecar_command())
        .subcommand(validate_command())
        .subcommand(publish_command())
        .subcommand(diff_command())
        .subcommand(history_command())
        .subcommand(status_command())
        .subcommand(watch_command())
        .subcommand(revert_command())
        .subcommand(console_command())
        .subcommand(explain_command())
        .subcommand(completions_command())
}

/// Writes the completion script of a shell to standard output.
pub fn write_completions(shell: &str) {
    if let Ok(shell) = shell.parse::<Shell>() {
        clap_complete::generate(shell, &mut build(), PROGRAM_NAME, &mut io::stdout());
    }
}

fn exit_codes() -> String {
    let mut text = "Exit codes (docs/result-codes.md):\n".to_owned();
    for (code, meaning) in ExitCode::ALL {
        let _ = writeln!(text, "  {}  {meaning}", code.number());
    }
    text
}

fn node_command() -> Command {
    Command::new("node")
        .about("Run the node beside a backend server")
        .long_about(
            "Run the node beside a backend server until it receives SIGTERM or SIGINT. It then \
             leaves the fleet, finishes the calls in progress and exits with 0.",
        )
        .after_long_help(
            "Examples:\n  sycamorewick node --settings node.jsonc\n  \
             sycamorewick node --check-settings node.jsonc\n\n\
             docs/settings.md describes the settings file.",
        )
        .args(settings_args())
}

fn sidecar_command() -> Command {
    Command::new("sidecar")
        .about("Run the node beside a backend server on a platform with a store")
        .long_about(
            "Run the node beside a backend server on a platform whose store holds the configuration \
             and the orders of operators. On SIGTERM, it accepts no new calls, finishes the calls \
             in progress and exits with 0; on SIGHUP, it reloads its settings.",
        )
        .after_long_help(
            "Examples:\n  sycamorewick sidecar --settings sidecar.jsonc\n  \
             sycamorewick sidecar --check-settings sidecar.jsonc\n\n\
             docs/settings.md describes the settings file, docs/platform.md the platform.",
        )
        .args(settings_args())
}

fn settings_args() -> [Arg; 2] {
    [
        Arg::new("settings")
            .long("settings")
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .required_unless_present("check-settings")
            .help("Settings file, JSON with comments"),
        Arg::new("check-settings")
            .long("check-settings")
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .conflicts_with("settings")
            .help("Check a settings file and exit"),
    ]
}

fn validate_command() -> Command {
    Command::new("validate")
        .about("Check a configuration document without publishing it")
        .long_about(
            "Check a configuration document without publishing it. Every error is printed with \
             its number, file, line, column and field. No node is contacted.",
        )
        .after_long_help(
            "Example:\n  sycamorewick validate mesh.jsonc\n\n\
             docs/configuration.md describes the document.",
        )
        .arg(file_arg())
}

fn publish_command() -> Command {
    with_publish_args(with_operator_args(Command::new("publish")))
        .about("Publish a configuration document")
        .long_about(
            "Publish a configuration document. The command checks the document, publishes it \
             through a node and waits until it is in force on every node. It ends with one \
             sentence: in force, refused and why, or not confirmed and why. If the result is not \
             confirmed, run the command again with the --base that it prints: a publication that \
             has already taken effect is then not published twice.",
        )
        .after_long_help(
            "Examples:\n  sycamorewick publish mesh.jsonc\n  \
             sycamorewick publish --base 41 --author ana mesh.jsonc\n  \
             sycamorewick publish --json --no-wait mesh.jsonc",
        )
        .arg(file_arg())
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("VERSION")
                .value_parser(value_parser!(u64))
                .help("Version that the document is based on [default: the one in force]")
                .long_help(
                    "Version that the document is based on [default: the one in force]. If \
                     another one is in force, the publication is refused, so that it cannot undo \
                     a change that its author has not seen",
                ),
        )
}

fn diff_command() -> Command {
    with_operator_args(Command::new("diff"))
        .about("Show what a document would change")
        .long_about(
            "Show the differences between the document in force and a file, or between two files. \
             Lines begin with + (added), - (removed) or ~ (changed).",
        )
        .after_long_help(
            "Examples:\n  sycamorewick diff mesh.jsonc\n  sycamorewick diff old.jsonc new.jsonc",
        )
        .arg(file_arg())
        .arg(
            Arg::new("other")
                .value_name("NEW")
                .value_parser(value_parser!(PathBuf))
                .help("Second document; FILE is then the old one, and no node is contacted"),
        )
}

fn history_command() -> Command {
    with_operator_args(Command::new("history"))
        .about("List the publications in the log")
        .long_about(
            "List the publications that the log retains, oldest first: version, author, time and \
             whether each was accepted, or refused and why.",
        )
        .after_long_help("Example:\n  sycamorewick history --limit 50")
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_name("NUMBER")
                .value_parser(RangedU64ValueParser::<u64>::new().range(1..=1_000))
                .default_value("20")
                .help("Number of most recent publications to show"),
        )
}

fn status_command() -> Command {
    with_operator_args(Command::new("status"))
        .about("Show the state of a node and the fleet")
        .long_about(
            "Show the fleet, the version in force, the traffic shares, the rollouts and the recent \
             outcomes as one node sees them.",
        )
        .after_long_help(
            "Examples:\n  sycamorewick status\n  sycamorewick status --json | jq .services",
        )
}

fn watch_command() -> Command {
    with_operator_args(Command::new("watch"))
        .about("Print the outcomes of all nodes as they are reported")
        .long_about(
            "Print the outcomes of all nodes: first the recent ones, then each new one. The \
             command continues while the node restarts or the log is down, reports this, and shows \
             the outcomes of that time afterwards.",
        )
        .after_long_help(
            "Examples:\n  sycamorewick watch\n  \
             sycamorewick watch --until 'rollout completed' --timeout 600",
        )
        .arg(
            Arg::new("until")
                .long("until")
                .value_name("TEXT")
                .help("Exit with success after the first outcome that contains this text"),
        )
        .arg(
            timeout_arg()
                .help("Give up after this time [default: never]")
                .long_help(
                    "Give up after this time [default: never]. The exit code is then 5 with \
                     --until, otherwise 0; it is 6 if the node does not answer at the end",
                ),
        )
}

fn revert_command() -> Command {
    with_publish_args(with_operator_args(Command::new("revert")))
        .about("Publish the contents of an earlier version again")
        .long_about(
            "Publish the contents of an earlier version as a new, higher version. Versions never \
             decrease; a rollout that the earlier version contains starts again.",
        )
        .after_long_help("Example:\n  sycamorewick revert 41")
        .arg(
            Arg::new("version")
                .value_name("VERSION")
                .value_parser(RangedU64ValueParser::<u64>::new().range(1..))
                .required(true)
                .help("Version whose contents are published"),
        )
}

fn console_command() -> Command {
    with_operator_args(Command::new("console"))
        .about("Print the address of a node's console and how to sign in")
        .after_long_help("Example:\n  sycamorewick console --operator 127.0.0.1:7403")
}

fn explain_command() -> Command {
    Command::new("explain")
        .about("Show where a sidecar would send a request, and why")
        .long_about(
            "Show where a sidecar would send a request now, and why, without sending it. The \
             sidecar makes the decisions of a call on a copy of its state; no token of a quota is \
             taken. A refusal of the request is a result: the exit code is then 0 as well.",
        )
        .after_long_help(
            "Examples:\n  sycamorewick explain --node 127.0.0.1:7406 --host shop.example --path /cart/7\n  \
             sycamorewick explain --node 127.0.0.1:7406 --host shop.example --path /cart/7 \\\n    \
             --workspace acme --json | jq .chosen",
        )
        .args([
            Arg::new("node")
                .long("node")
                .value_name("ADDRESS")
                .value_parser(value_parser!(SocketAddr))
                .required(true)
                .help("Address of the sidecar's metrics port (metrics_addr)"),
            Arg::new("host")
                .long("host")
                .value_name("HOST")
                .required(true)
                .help("Host header of the request"),
            Arg::new("path")
                .long("path")
                .value_name("PATH")
                .required(true)
                .help("Path of the request"),
            Arg::new("key-file")
                .long("key-file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("File with the key of a workspace; only its hash is sent"),
            Arg::new("workspace")
                .long("workspace")
                .value_name("NAME")
                .conflicts_with("key-file")
                .help("Workspace of the request, instead of a key"),
            Arg::new("body-bytes")
                .long("body-bytes")
                .value_name("NUMBER")
                .value_parser(value_parser!(u64))
                .default_value("0")
                .help("Size of the request body"),
            Arg::new("time-left-ms")
                .long("time-left-ms")
                .value_name("NUMBER")
                .value_parser(value_parser!(u64))
                .help("Time until the caller's deadline [default: the route's time limit]"),
        ])
}

fn completions_command() -> Command {
    Command::new("completions")
        .about("Print a completion script for a shell")
        .after_long_help(
            "Example:\n  sycamorewick completions bash > \
             ~/.local/share/bash-completion/completions/sycamorewick",
        )
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .value_parser(["bash", "elvish", "fish", "powershell", "zsh"])
                .required(true)
                .help("Shell"),
        )
}

fn file_arg() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .value_parser(value_parser!(PathBuf))
        .required(true)
        .help("Configuration document, JSON with comments")
}

fn timeout_arg() -> Arg {
    Arg::new("timeout")
        .long("timeout")
        .value_name("SECONDS")
        .value_parser(RangedU64ValueParser::<u64>::new().range(1..=MAX_TIMEOUT_S))
}

fn with_publish_args(command: Command) -> Command {
    command
        .arg(
            Arg::new("author")
                .long("author")
                .value_name("NAME")
                .help("Author of the publication [default: the user's name]"),
        )
        .arg(
            Arg::new("no-wait")
                .long("no-wait")
                .action(ArgAction::SetTrue)
                .help("Return as soon as the publication is accepted"),
        )
        .arg(
            timeout_arg()
                .default_value("30")
                .help("Give up waiting after this time"),
        )
}

fn with_operator_args(command: Command) -> Command {
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
}

/// Converts the parsed arguments to the configuration of the run.
///
/// # Panics
/// If a required argument is absent; the parser refuses such a command line.
pub fn config_from(matches: &ArgMatches) -> Config {
    let (name, sub) = matches.subcommand().expect("a subcommand is required");
    let action = match name {
        "node" => match sub.get_one::<PathBuf>("check-settings") {
            Some(file) => Action::CheckSettings {
                settings: file.clone(),
            },
            None => Action::Node {
                settings: path_arg(sub, "settings"),
            },
        },
        "sidecar" => match sub.get_one::<PathBuf>("check-settings") {
            Some(file) => Action::CheckSidecarSettings {
                settings: file.clone(),
            },
            None => Action::Sidecar {
                settings: path_arg(sub, "settings"),
            },
        },
        "validate" => Action::Validate {
            file: path_arg(sub, "file"),
        },
        "publish" => Action::Publish {
            access: operator_access(sub),
            file: path_arg(sub, "file"),
            options: publish_options(sub, sub.get_one::<u64>("base").copied()),
        },
        "diff" => Action::Diff {
            access: operator_access(sub),
            file: path_arg(sub, "file"),
            other: sub.get_one::<PathBuf>("other").cloned(),
        },
        "history" => Action::History {
            access: operator_access(sub),
            limit: number_arg(sub, "limit"),
        },
        "status" => Action::Status {
            access: operator_access(sub),
        },
        "watch" => Action::Watch {
            access: operator_access(sub),
            until: sub.get_one::<String>("until").cloned(),
            timeout: sub
                .get_one::<u64>("timeout")
                .copied()
                .map(Duration::from_secs),
        },
        "revert" => Action::Revert {
            access: operator_access(sub),
            version: number_arg(sub, "version"),
            options: publish_options(sub, None),
        },
        "console" => Action::Console {
            access: operator_access(sub),
        },
        "explain" => Action::Explain {
            addr: *sub
                .get_one::<SocketAddr>("node")
                .expect("the argument is required"),
            options: ExplainOptions {
                host: text_arg(sub, "host"),
                path: text_arg(sub, "path"),
                key_file: sub.get_one::<PathBuf>("key-file").cloned(),
                workspace: sub.get_one::<String>("workspace").cloned(),
                body_bytes: number_arg(sub, "body-bytes"),
                time_left_ms: sub.get_one::<u64>("time-left-ms").copied(),
            },
        },
        "completions" => Action::Completions {
            shell: sub.get_one::<String>("shell").cloned().unwrap_or_default(),
        },
        other => unreachable!("undefined subcommand {other}"),
    };
    Config {
        action,
        json: sub.get_flag("json"),
        color: match sub.get_one::<String>("color").map(String::as_str) {
            Some("always") => Color::Always,
            Some("never") => Color::Never,
            _ => Color::Auto,
        },
    }
}

fn publish_options(matches: &ArgMatches, base: Option<u64>) -> PublishOptions {
    let author_arg = matches.get_one::<String>("author").cloned();
    let user = || env::var("USER").ok().filter(|user| !user.is_empty());
    PublishOptions {
        base,
        author: author_arg
            .or_else(user)
            .unwrap_or_else(|| DEFAULT_AUTHOR.into()),
        wait: !matches.get_flag("no-wait"),
        timeout: Duration::from_secs(number_arg(matches, "timeout")),
    }
}

fn number_arg(matches: &ArgMatches, name: &str) -> u64 {
    matches
        .get_one::<u64>(name)
        .copied()
        .expect("the argument is required or has a default")
}

fn text_arg(matches: &ArgMatches, name: &str) -> String {
    matches
        .get_one::<String>(name)
        .cloned()
        .expect("the argument is required")
}

fn path_arg(matches: &ArgMatches, name: &str) -> PathBuf {
    matches
        .get_one::<PathBuf>(name)
        .cloned()
        .expect("the argument is required")
}

fn operator_access(matches: &ArgMatches) -> OperatorAccess {
    OperatorAccess {
        addr: *matches
            .get_one::<SocketAddr>("operator")
            .expect("the argument has a default"),
        token_file: path_arg(matches, "token-file"),
    }
}
