//! Reads CPU time and memory of a process from procfs.

use std::error::Error;
use std::fs;
use std::time::{
    Duration,
    Instant, //
};

/// CPU time that a process uses over a period.
pub(crate) struct Usage {
    pid: u32,
    started: Instant,
    cpu: Duration,
    elapsed: Duration,
}

impl Usage {
    pub(crate) fn start(pid: u32) -> Result<Self, Box<dyn Error>> {
        Ok(Self {
            pid,
            started: Instant::now(),
            cpu: cpu_time(pid)?,
            elapsed: Duration::ZERO,
        })
    }

    pub(crate) fn finish(mut self) -> Result<Self, Box<dyn Error>> {
        self.elapsed = self.started.elapsed();
        self.cpu = cpu_time(self.pid)?.saturating_sub(self.cpu);
        Ok(self)
    }

    /// Returns the CPU time as a share of one core.
    pub(crate) fn share(&self) -> f64 {
        self.cpu.as_secs_f64() / self.elapsed.as_secs_f64()
    }

    /// Returns the CPU time in microseconds per request, for `count` requests.
    pub(crate) fn micros_each(&self, count: u64) -> f64 {
        self.cpu.as_secs_f64() * 1e6 / count as f64
    }
}

fn cpu_time(pid: u32) -> Result<Duration, Box<dyn Error>> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The command name may contain spaces; the process state is the first field after it.
    let (_, fields) = stat
        .rsplit_once(')')
        .ok_or("/proc/<pid>/stat has no command name")?;
    let mut times = fields.split_whitespace().skip(11);
    let mut next = || -> Result<u64, Box<dyn Error>> {
        Ok(times
            .next()
            .ok_or("/proc/<pid>/stat has too few fields")?
            .parse()?)
    };
    let ticks = next()? + next()?;
    let per_second = rustix::param::clock_ticks_per_second();
    Ok(Duration::from_secs_f64(ticks as f64 / per_second as f64))
}

/// Returns the resident memory of a process in MiB.
pub(crate) fn resident_mib(pid: u32) -> Result<f64, Box<dyn Error>> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let line = line.ok_or("/proc/<pid>/status has no VmRSS line")?;
    let kib: u64 = line.trim().trim_end_matches(" kB").parse()?;
    Ok(kib as f64 / 1024.0)
}
