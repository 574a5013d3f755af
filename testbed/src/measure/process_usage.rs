//! Processor time and memory of a process, read from `/proc`.

use std::fs;
use std::time::Duration;

/// Processor time and memory of a process at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessUsage {
    /// Processor time of all threads since the start.
    pub cpu: Duration,
    /// Time for which threads were ready to run and waited for a processor; it grows on a busy
    /// machine.
    pub waited: Duration,
    /// Resident memory, KiB.
    pub rss_kib: u64,
}

impl ProcessUsage {
    /// Reads the usage of a process. It reads `schedstat`, which counts nanoseconds, because the
    /// ticks of 10 ms in `stat` are too coarse for a node that uses less than one percent of a
    /// core.
    ///
    /// # Errors
    /// Returns an error if the process has ended.
    pub fn read(pid: u32) -> eyre::Result<Self> {
        let mut cpu = Duration::ZERO;
        let mut waited = Duration::ZERO;
        for task in fs::read_dir(format!("/proc/{pid}/task"))? {
            let file = task?.path().join("schedstat");
            // A thread may end between the listing and the read.
            let Ok(text) = fs::read_to_string(&file) else {
                continue;
            };
            let mut nanos = text
                .split_whitespace()
                .map(|n| Duration::from_nanos(n.parse().unwrap_or_default()));
            cpu += nanos.next().unwrap_or_default();
            waited += nanos.next().unwrap_or_default();
        }
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let rss_kib = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.split_whitespace().next())
            .and_then(|kib| kib.parse().ok())
            .ok_or_else(|| eyre::eyre!("the status of process {pid} has no VmRSS"))?;
        Ok(Self {
            cpu,
            waited,
            rss_kib,
        })
    }

    /// Reads the processor time of the first thread of a process, and the time for which it was ready to run and waited
    /// for a processor. A node handles all calls in that thread.
    ///
    /// # Errors
    /// Returns an error if the process has ended.
    pub fn read_main_thread(pid: u32) -> eyre::Result<(Duration, Duration)> {
        let text = fs::read_to_string(format!("/proc/{pid}/schedstat"))?;
        let numbers = text.split_whitespace().map(str::parse);
        let mut nanos = numbers.map(|n| n.map(Duration::from_nanos));
        match (nanos.next(), nanos.next()) {
            (Some(Ok(ran)), Some(Ok(waited))) => Ok((ran, waited)),
            _ => Err(eyre::eyre!("schedstat of {pid} is {text:?}")),
        }
    }
}
