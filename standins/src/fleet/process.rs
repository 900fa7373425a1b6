//! An instance in a process of its own.

use std::fs;
use std::path::{
    Path,
    PathBuf, //
};
use std::time::Duration;

use snafu::{
    OptionExt,
    ensure, //
};

use super::error::{
    FailedSnafu,
    FleetError,
    TimedOutSnafu, //
};
use super::instance::{
    Addresses,
    Instance, //
};
use super::settings::InstanceSettings;
use crate::harness::{
    HarnessError,
    Launch,
    Process,
    binary, //
};

/// An instance that runs in a `limpetweird` process.
#[derive(Debug)]
pub struct ProcessInstance {
    process: Process,
    addresses: Addresses,
}

impl ProcessInstance {
    /// Returns the path of an instance's log file; `label` distinguishes the files of tests.
    pub fn log_file(directory: &Path, label: &str, name: &str) -> PathBuf {
        directory.join(format!("{label}-{name}.log"))
    }

    /// Starts an instance with its files in `directory`; the log of an earlier run is truncated.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written or the process does not start.
    pub fn start(
        settings: &InstanceSettings,
        directory: &Path,
        label: &str,
    ) -> Result<Self, FleetError> {
        let config = directory.join(format!("{label}-{}.toml", settings.name));
        fs::write(&config, settings.to_string())?;
        let log = Self::log_file(directory, label, &settings.name);
        fs::write(&log, "")?;
        let launch = Launch::new(binary("limpetweird")?);
        let launch = launch.arg("--config").arg(config).stderr(log);
        let process = launch.spawn()?;
        let field = |name| process.field(name).to_owned();
        let addresses = Addresses {
            name: field("name"),
            zone: settings.zone.clone(),
            public: field("public"),
            peer: field("peer"),
            admin: field("admin"),
        };
        Ok(Self { process, addresses })
    }

    /// Pauses the process.
    ///
    /// # Errors
    ///
    /// Returns the error of the signal call.
    pub fn pause(&mut self) -> Result<(), HarnessError> {
        self.process.pause()
    }

    /// Resumes the paused process.
    ///
    /// # Errors
    ///
    /// Returns the error of the signal call.
    pub fn resume(&mut self) -> Result<(), HarnessError> {
        self.process.resume()
    }

    /// Stops the process gracefully and waits until it exits.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not exit successfully within `timeout`.
    pub fn stop(mut self, timeout: Duration) -> Result<(), FleetError> {
        self.process.terminate()?;
        let what = "the graceful stop";
        let status = self.process.wait(timeout)?;
        let status = status.context(TimedOutSnafu { what, timeout })?;
        ensure!(status.success(), FailedSnafu { status });
        Ok(())
    }

    /// Kills the process and waits until it terminates.
    ///
    /// # Errors
    ///
    /// Returns the error of the kill or wait call.
    pub fn kill(mut self) -> Result<(), HarnessError> {
        self.process.kill()
    }
}

impl Instance for ProcessInstance {
    fn addresses(&self) -> &Addresses {
        &self.addresses
    }
}
