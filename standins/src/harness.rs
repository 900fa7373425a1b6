//! Starts and terminates stand-in and daemon processes for tests.

use std::{
    env,
    ffi::{
        OsStr,
        OsString, //
    },
    fs::File,
    io::{
        self,
        BufRead,
        BufReader, //
    },
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        ChildStdin,
        ChildStdout,
        Command,
        ExitStatus,
        Stdio, //
    },
    sync::mpsc::{
        self,
        Receiver,
        RecvTimeoutError, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    }, //
};

use rustix::process::{
    Pid,
    Signal,
    kill_process, //
};
use serde_json::Value;
use snafu::{
    OptionExt,
    ResultExt,
    Snafu, //
};

/// Timeout for the JSON line of a started process; long, because the machine may be busy.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between checks whether a process has exited.
const EXIT_POLL: Duration = Duration::from_millis(10);

/// A process could not be started or controlled.
#[derive(Debug, Snafu)]
pub enum HarnessError {
    /// The program does not exist; the workspace must be built with all targets first.
    #[snafu(display("{} does not exist; build the workspace with --all-targets", path.display()))]
    NotBuilt {
        /// Path of the program.
        path: PathBuf,
    },
    /// The directory of the running program could not be determined.
    #[snafu(display("could not determine the build directory"))]
    NoBuildDirectory,
    /// The process could not be started.
    #[snafu(display("could not start {}", path.display()))]
    Spawn {
        /// Path of the program.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The process printed no JSON line in time, or closed its standard output before.
    #[snafu(display("{} printed no JSON line: {reason}", path.display()))]
    NotAnnounced {
        /// Path of the program.
        path: PathBuf,
        /// Reason.
        reason: String,
    },
    /// A signal could not be sent, or the exit status could not be read.
    #[snafu(display("could not signal or wait for process {pid}"))]
    Control {
        /// Process id.
        pid: u32,
        /// Cause.
        source: io::Error,
    },
}

/// Returns the path of a binary of the workspace, such as `limpetweird`.
///
/// # Errors
///
/// Returns an error if it is not built.
pub fn binary(name: &str) -> Result<PathBuf, HarnessError> {
    built_program(Path::new(name))
}

/// Returns the path of a cargo example of the workspace, such as `standin`.
///
/// # Errors
///
/// Returns an error if it is not built.
pub fn example(name: &str) -> Result<PathBuf, HarnessError> {
    built_program(&Path::new("examples").join(name))
}

/// Finds a program relative to the running one: tests run in `deps`, examples in `examples`.
fn built_program(relative: &Path) -> Result<PathBuf, HarnessError> {
    let current = env::current_exe().ok().context(NoBuildDirectorySnafu)?;
    let directory = current.parent().context(NoBuildDirectorySnafu)?;
    let profile = match directory.file_name().and_then(OsStr::to_str) {
        Some("deps" | "examples") => directory.parent().context(NoBuildDirectorySnafu)?,
        _ => directory,
    };
    let path = profile.join(relative);
    if !path.is_file() {
        return NotBuiltSnafu { path }.fail();
    }
    Ok(path)
}

/// Program, arguments and environment of a process to start.
#[derive(Debug)]
pub struct Launch {
    program: PathBuf,
    args: Vec<OsString>,
    env: Vec<(OsString, OsString)>,
    stderr: Option<PathBuf>,
}

impl Launch {
    /// Returns a launch without arguments; standard error is inherited.
    pub fn new(program: impl Into<PathBuf>) -> Self {
        Self {
            program: program.into(),
            args: Vec::new(),
            env: Vec::new(),
            stderr: None,
        }
    }

    /// Returns the launch of a stand-in that exits when this process terminates, even by SIGKILL.
    ///
    /// # Errors
    ///
    /// Returns an error if the example `standin` is not built.
    pub fn standin(subcommand: &str) -> Result<Self, HarnessError> {
        Ok(Self::new(example("standin")?)
            .arg(subcommand)
            .arg("--until-stdin-closes"))
    }

    /// Adds an argument.
    #[must_use]
    pub fn arg(mut self, arg: impl Into<OsString>) -> Self {
        self.args.push(arg.into());
        self
    }

    /// Adds arguments.
    #[must_use]
    pub fn args<A: Into<OsString>>(mut self, args: impl IntoIterator<Item = A>) -> Self {
        self.args.extend(args.into_iter().map(Into::into));
        self
    }

    /// Sets an environment variable.
    #[must_use]
    pub fn env(mut self, name: impl Into<OsString>, value: impl Into<OsString>) -> Self {
        self.env.push((name.into(), value.into()));
        self
    }

    /// Appends standard error to a file, so that the lines before a restart are kept.
    #[must_use]
    pub fn stderr(mut self, path: impl Into<PathBuf>) -> Self {
        self.stderr = Some(path.into());
        self
    }

    /// Starts the process and waits for the JSON line on its standard output.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start or prints no JSON line; it is then killed.
    pub fn spawn(self) -> Result<Process, HarnessError> {
        let path = self.program.clone();
        let mut child = self
            .command()?
            .spawn()
            .context(SpawnSnafu { path: &path })?;
        let lines = child.stdout.take().map(read_lines);
        let stdin = child.stdin.take();
        let mut process = Process {
            child,
            _stdin: stdin,
            announced: Value::Null,
        };
        let lines = lines.context(NotAnnouncedSnafu {
            path: &path,
            reason: "no pipe",
        })?;
        process.announced = first_json(&path, &lines)?;
        Ok(process)
    }

    fn command(self) -> Result<Command, HarnessError> {
        let mut command = Command::new(&self.program);
        command
            .args(self.args)
            .envs(self.env)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped());
        if let Some(path) = self.stderr {
            let file = File::options().create(true).append(true).open(&path);
            let file = file.context(SpawnSnafu { path })?;
            command.stderr(file);
        }
        Ok(command)
    }
}

/// Reads standard output until it is closed, so that the process never blocks on a full pipe.
fn read_lines(stdout: ChildStdout) -> Receiver<String> {
    let (tx, rx) = mpsc::channel();
    thread::spawn(move || {
        for line in BufReader::new(stdout).lines().map_while(Result::ok) {
            // The receiver is dropped after the first JSON line; the rest is read and discarded.
            let _ = tx.send(line);
        }
    });
    rx
}

fn first_json(path: &Path, lines: &Receiver<String>) -> Result<Value, HarnessError> {
    let deadline = Instant::now() + ANNOUNCE_TIMEOUT;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let line = lines.recv_timeout(remaining).map_err(|err| {
            let reason = match err {
                RecvTimeoutError::Timeout => format!("none in {ANNOUNCE_TIMEOUT:?}"),
                RecvTimeoutError::Disconnected => "standard output was closed".to_owned(),
            };
            HarnessError::NotAnnounced {
                path: path.to_owned(),
                reason,
            }
        })?;
        if let Ok(value @ Value::Object(_)) = serde_json::from_str(&line) {
            return Ok(value);
        }
    }
}

/// A running process; it is killed when the value is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// Kept open, because a stand-in exits when its standard input is closed.
    _stdin: Option<ChildStdin>,
    announced: Value,
}

impl Process {
    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the JSON line that the process printed.
    pub fn announced(&self) -> &Value {
        &self.announced
    }

    /// Returns the field `address` of the JSON line, or an empty string.
    pub fn address(&self) -> &str {
        self.field("address")
    }

    /// Returns a string field of the JSON line, or an empty string.
    pub fn field(&self, name: &str) -> &str {
        self.announced
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Pauses the process (SIGSTOP).
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited or the signal call fails.
    pub fn pause(&mut self) -> Result<(), HarnessError> {
        self.signal(Signal::STOP)
    }

    /// Resumes a paused process (SIGCONT).
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited or the signal call fails.
    pub fn resume(&mut self) -> Result<(), HarnessError> {
        self.signal(Signal::CONT)
    }

    /// Requests a graceful shutdown of the process (SIGTERM).
    ///
    /// # Errors
    ///
    /// Returns an error if the process has exited or the signal call fails.
    pub fn terminate(&mut self) -> Result<(), HarnessError> {
        self.signal(Signal::TERM)
    }

    /// Kills the process (SIGKILL) and waits until it terminates. A second call has no effect.
    ///
    /// # Errors
    ///
    /// Returns the error of the kill or wait call.
    pub fn kill(&mut self) -> Result<(), HarnessError> {
        let pid = self.id();
        self.child.kill().context(ControlSnafu { pid })?;
        self.child.wait().context(ControlSnafu { pid })?;
        Ok(())
    }

    /// Waits at most `timeout` until the process exits; returns `None` if it is still running.
    ///
    /// # Errors
    ///
    /// Returns the error of the wait call.
    pub fn wait(&mut self, timeout: Duration) -> Result<Option<ExitStatus>, HarnessError> {
        let pid = self.id();
        let deadline = Instant::now() + timeout;
        loop {
            let status = self.child.try_wait().context(ControlSnafu { pid })?;
            if status.is_some() || Instant::now() >= deadline {
                return Ok(status);
            }
            thread::sleep(EXIT_POLL);
        }
    }

    fn signal(&mut self, signal: Signal) -> Result<(), HarnessError> {
        let pid = self.id();
        // After the process has exited, its id may be reused by another process.
        if self.wait(Duration::ZERO)?.is_some() {
            let source = io::Error::new(io::ErrorKind::NotFound, "the process has exited");
            return Err(HarnessError::Control { pid, source });
        }
        kill_process(Pid::from_child(&self.child), signal)
            .map_err(io::Error::from)
            .context(ControlSnafu { pid })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Err(err) = self.kill() {
            log::warn!("could not kill a process: {err}");
        }
    }
}

/// A group of processes that are killed when the value is dropped.
#[derive(Debug, Default)]
pub struct Processes {
    running: Vec<Process>,
}

impl Processes {
    /// Returns an empty group.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts a process and returns its index in the group.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start.
    pub fn spawn(&mut self, launch: Launch) -> Result<usize, HarnessError> {
        self.running.push(launch.spawn()?);
        Ok(self.running.len() - 1)
    }

    /// Returns a process by its index, or `None` if there is no such index.
    pub fn get(&mut self, index: usize) -> Option<&mut Process> {
        self.running.get_mut(index)
    }

    /// Kills all processes, newest first.
    pub fn remove_all(&mut self) {
        while self.running.pop().is_some() {}
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.remove_all();
    }
}
