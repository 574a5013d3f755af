//! Runs the subcommands and reports their failures as one line on standard error and an exit code.

mod console;
mod diff;
mod document_file;
mod explain;
mod history;
mod operator_client;
mod output;
mod publish;
mod status;
mod table;
mod validate;
mod watch;

use std::future::Future;
use std::path::Path;

use serde_json::json;
use sycamorewick::node;
use sycamorewick::settings;
use sycamorewick::sidecar;

use crate::cli;
use crate::commands::output::Output;
use crate::config::Action;
use crate::config::Config;
use crate::exit_code::ExitCode;

/// Runs the subcommand.
pub fn run(config: &Config) -> ExitCode {
    let output = Output::new(config.json, config.color);
    match &config.action {
        Action::Node { settings } => run_node(settings, output),
        Action::CheckSettings { settings } => check_settings(settings, output),
        Action::Sidecar { settings } => run_sidecar(settings, output),
        Action::CheckSidecarSettings { settings } => check_sidecar_settings(settings, output),
        Action::Validate { file } => validate::run(file, output),
        Action::Publish {
            access,
            file,
            options,
        } => block_on(publish::publish_file(access, file, options, output)),
        Action::Diff {
            access,
            file,
            other,
        } => block_on(diff::run(access, file, other.as_deref(), output)),
        Action::History { access, limit } => block_on(history::run(access, *limit, output)),
        Action::Status { access } => block_on(status::run(access, output)),
        Action::Watch {
            access,
            until,
            timeout,
        } => block_on(watch::run(access, until.as_deref(), *timeout, output)),
        Action::Revert {
            access,
            version,
            options,
        } => block_on(publish::revert(access, *version, options, output)),
        Action::Console { access } => block_on(console::run(access, output)),
        Action::Explain { addr, options } => block_on(explain::run(*addr, options, output)),
        Action::Completions { shell } => {
            cli::write_completions(shell);
            ExitCode::Success
        }
    }
}

fn run_node(file: &Path, output: Output) -> ExitCode {
    let checked = settings::load(file).and_then(|settings| {
        settings::check_secrets(&settings)?;
        Ok(settings)
    });
    let settings = match checked {
        Ok(settings) => settings,
        Err(failures) => return output.print_errors(&failures, "the node was not started"),
    };
    match block_on(node::run(settings)) {
        Ok(()) => ExitCode::Success,
        Err(e) => output.print_failure(&format!("{e:#}"), ExitCode::GeneralError),
    }
}

fn run_sidecar(file: &Path, output: Output) -> ExitCode {
    let settings = match sidecar::settings::load(file) {
        Ok(settings) => settings,
        Err(failures) => return output.print_errors(&failures, "the sidecar was not started"),
    };
    match block_on(sidecar::run(file, settings)) {
        Ok(()) => ExitCode::Success,
        Err(e) => output.print_failure(&format!("{e:#}"), ExitCode::GeneralError),
    }
}

fn check_sidecar_settings(file: &Path, output: Output) -> ExitCode {
    match sidecar::settings::load(file) {
        Ok(settings) => {
            let text = format!("{}: settings of sidecar {}", file.display(), settings.id);
            output.print_result("valid", &text, &json!({}), ExitCode::Success)
        }
        Err(failures) => {
            let summary = format!("{} is not valid", file.display());
            output.print_errors(&failures, &summary)
        }
    }
}

/// Missing or invalid secrets are reported as notes only, since settings files are also checked on
/// machines without the secrets.
fn check_settings(file: &Path, output: Output) -> ExitCode {
    let settings = match settings::load(file) {
        Ok(settings) => settings,
        Err(failures) => {
            let summary = format!("{} is not valid", file.display());
            return output.print_errors(&failures, &summary);
        }
    };
    let notes: Vec<String> = settings::check_secrets(&settings)
        .err()
        .unwrap_or_default()
        .into_iter()
        .map(|failure| format!("a node would not start here: {}", failure.text))
        .collect();
    if !output.json {
        for note in &notes {
            eprintln!("note: {note}");
        }
    }
    let text = format!("{}: settings of node {}", file.display(), settings.id);
    let extra = json!({ "notes": notes });
    output.print_result("valid", &text, &extra, ExitCode::Success)
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(future)
}
