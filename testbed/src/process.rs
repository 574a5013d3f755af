//! A child process that a test starts, signals and ends. Signals go only to own children, by their
//! process ids.

use std::fs;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use eyre::WrapErr;
use eyre::ensure;
use rustix::process::Pid;
use rustix::process::Signal;

/// Held while a port is checked and while a process is started. Until its `exec`, a new process
/// holds copies of all sockets, which would keep a port in use after the check.
static SPAWN_LOCK: Mutex<()> = Mutex::new(());

/// Takes the lock that is held while a process is started.
pub fn lock_spawn() -> MutexGuard<'static, ()> {
    SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A process whose output is appended to a file. Dropping it kills the process.
#[derive(Debug)]
pub struct ManagedProcess {
    name: String,
    output_file: PathBuf,
    child: Option<Child>,
}

impl ManagedProcess {
    /// Creates a process description without starting the process.
    #[must_use]
    pub fn new(name: &str, output_file: PathBuf) -> Self {
        Self {
            name: name.into(),
            output_file,
            child: None,
        }
    }

    /// File with the standard output and standard error of all starts.
    #[must_use]
    pub fn output_file(&self) -> &Path {
        &self.output_file
    }

    /// Content of the output file.
    #[must_use]
    pub fn output(&self) -> String {
        fs::read_to_string(&self.output_file).unwrap_or_default()
    }

    /// Process id, if the process was started and its end was not observed.
    #[must_use]
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Starts the process.
    ///
    /// # Errors
    /// If it is already running or cannot be started.
    pub fn start(&mut self, command: &mut Command) -> eyre::Result<()> {
        ensure!(self.child.is_none(), "{} is already running", self.name);
        let output = File::options()
            .create(true)
            .append(true)
            .open(&self.output_file)?;
        command
            .stdin(Stdio::null())
            .stdout(output.try_clone()?)
            .stderr(output);
        let lock = lock_spawn();
        let child = command
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", self.name))?;
        drop(lock);
        self.child = Some(child);
        Ok(())
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// If the process is not running.
    pub fn signal(&self, signal: Signal) -> eyre::Result<()> {
        let child = self
            .child
            .as_ref()
            .ok_or_else(|| eyre::eyre!("{} is not running", self.name))?;
        let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| eyre::eyre!("process id {} is invalid", child.id()))?;
        rustix::process::kill_process(pid, signal)
            .wrap_err_with(|| format!("cannot signal {}", self.name))
    }

    /// Kills the process with SIGKILL, if it runs.
    ///
    /// # Errors
    /// If it cannot be signalled.
    pub fn kill(&mut self) -> eyre::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Returns the exit status of a process that has ended since it was started.
    ///
    /// # Errors
    /// If the state of the process cannot be read.
    pub fn try_wait(&mut self) -> eyre::Result<Option<ExitStatus>> {
        let Some(child) = &mut self.child else {
            return Ok(None);
        };
        let status = child.try_wait()?;
        if status.is_some() {
            self.child = None;
        }
        Ok(status)
    }

    /// Whether the process was started and its end was not observed.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }
}

impl Drop for ManagedProcess {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.kill();
    }
}
