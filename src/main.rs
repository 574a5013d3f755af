//! Entry point: converts the arguments to a `Config`, runs it and returns the exit code.

mod cli;
mod commands;
mod config;
mod exit_code;

use std::process;

fn main() -> process::ExitCode {
    let config = cli::config_from(&cli::build().get_matches());
    commands::run(&config).into()
}
