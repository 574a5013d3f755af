//! Entry point: parses the arguments, builds one `Config`, runs it and returns its exit code.

mod cli;
mod commands;
mod config;
mod exit_code;

use std::process;

fn main() -> process::ExitCode {
    let config = cli::config_from(&cli::build().get_matches());
    commands::run(&config).into()
}
