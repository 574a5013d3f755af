//! Runs the subcommands and turns their failures into one plain line on stderr and an exit code.

mod operator_client;
mod publish;
mod status;
mod validate;
mod watch;

use std::future::Future;
use std::path::Path;

use sycamorewick::node;
use sycamorewick::result_code::Failure;
use sycamorewick::settings;

use crate::config::Action;
use crate::config::Config;
use crate::exit_code::ExitCode;

/// Runs what the configuration asks for.
pub fn run(config: &Config) -> ExitCode {
    match &config.action {
        Action::Node { settings } => run_node(settings),
        Action::CheckSettings { settings } => check_settings(settings),
        Action::Validate { file } => validate::run(file),
        Action::Publish {
            access,
            file,
            base,
            author,
            wait,
            timeout,
        } => {
            let request = publish::Request {
                file,
                base: *base,
                author,
                wait: *wait,
                timeout: *timeout,
            };
            block_on(publish::run(access, &request, config.json))
        }
        Action::Watch {
            access,
            until,
            timeout,
        } => block_on(watch::run(access, until.as_deref(), *timeout, config.json)),
        Action::Status { access } => block_on(status::run(access, config.json)),
    }
}

fn run_node(file: &Path) -> ExitCode {
    let settings = match settings::load(file) {
        Ok(settings) => settings,
        Err(failures) => return report(&failures, ExitCode::Invalid),
    };
    if let Err(failures) = settings::check_secrets(&settings) {
        return report(&failures, ExitCode::Invalid);
    }
    match block_on(node::run(settings)) {
        Ok(()) => ExitCode::Success,
        Err(e) => {
            eprintln!("sycamorewick: {e:#}");
            ExitCode::GeneralError
        }
    }
}

/// Unreadable secrets are a note only, since settings are also checked where no secrets are.
fn check_settings(file: &Path) -> ExitCode {
    match settings::load(file) {
        Ok(settings) => {
            println!(
                "{}: settings of node {} are valid",
                file.display(),
                settings.id
            );
            for failure in settings::check_secrets(&settings).err().unwrap_or_default() {
                eprintln!("note: the node will not start here: {}", failure.text);
            }
            ExitCode::Success
        }
        Err(failures) => report(&failures, ExitCode::Invalid),
    }
}

fn report(failures: &[Failure], code: ExitCode) -> ExitCode {
    for failure in failures {
        eprintln!("sycamorewick: {failure}");
    }
    code
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    actix_rt::System::new().block_on(future)
}
