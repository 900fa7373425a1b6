//! Runs the daemon as a process.

use std::io::{
    self,
    Write, //
};
use std::process::ExitCode;

use async_signal::{
    Signal,
    Signals, //
};
use futures_lite::StreamExt;
use limpetweir_gateway::StartError as GatewayError;
use limpetweir_platform::Platform;
use limpetweir_protocol::settings::{
    Settings,
    SettingsError, //
};
use limpetweir_transport::{
    Runtime,
    Spawner, //
};
use snafu::{
    ResultExt,
    Snafu, //
};

use crate::args::{
    self,
    Args,
    GatewayArgs,
    Mode, //
};
use crate::daemon::{
    BoundAddresses,
    Daemon,
    StartError, //
};
use crate::events::{
    START_FAILED,
    STARTED, //
};
use crate::{
    event,
    logging, //
};

/// Exit code for an invalid command line or invalid settings, the same as clap's.
const USAGE_ERROR: u8 = 2;

/// Failure to start the process.
#[derive(Debug, Snafu)]
enum RunError {
    /// The settings file could not be read.
    #[snafu(display("cannot read {file}: {source}"))]
    Read { file: String, source: io::Error },
    /// The settings are invalid.
    #[snafu(context(false), display("{source}"))]
    Settings { source: SettingsError },
    /// The operating system could not create threads, register signal handlers or write output.
    #[snafu(display("cannot {action}: {source}"))]
    System {
        action: &'static str,
        source: io::Error,
    },
    /// The instance could not start.
    #[snafu(context(false), display("{source}"))]
    Start { source: StartError },
}

/// Runs the daemon with the arguments of the process until a signal stops it.
pub fn run() -> ExitCode {
    let args = match args::parse() {
        Mode::Serve(args) => args,
        Mode::Gateway(args) => return run_gateway(&args),
    };
    let settings = match load(&args) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("error: {err}");
            return ExitCode::from(USAGE_ERROR);
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    logging::start(settings.log_level);
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            event!(START_FAILED, "{err}");
            ExitCode::FAILURE
        }
    }
}

/// Serves routed requests on the platform until a signal stops the process.
fn run_gateway(args: &GatewayArgs) -> ExitCode {
    let result = if args.check {
        limpetweir_gateway::check(&args.settings)
    } else {
        limpetweir_gateway::run(&args.settings, Platform::new)
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("error: {err}");
            match err {
                GatewayError::Read { .. } | GatewayError::Settings { .. } => {
                    ExitCode::from(USAGE_ERROR)
                }
                _ => ExitCode::FAILURE,
            }
        }
    }
}

fn load(args: &Args) -> Result<Settings, RunError> {
    let file = args.config.display().to_string();
    let text = std::fs::read_to_string(&args.config);
    let text = text.context(ReadSnafu {
        file: file.as_str(),
    })?;
    Ok(Settings::load(&file, &text, &args.overrides)?)
}

fn serve(settings: Settings) -> Result<(), RunError> {
    let runtime = Runtime::start(settings.threads).context(SystemSnafu {
        action: "start the executor threads",
    })?;
    let spawner = runtime.spawner();
    runtime.block_on(serve_until_signal(spawner, settings))
}

async fn serve_until_signal(spawner: Spawner, settings: Settings) -> Result<(), RunError> {
    let action = "handle signals";
    // Registered before the addresses are written, so that a signal right afterwards causes a
    // graceful stop.
    let mut signals = Signals::new([Signal::Term, Signal::Int]).context(SystemSnafu { action })?;
    let daemon = Daemon::start(&spawner, settings)?;
    announce(&daemon.addresses())?;
    signals.next().await;
    daemon.stop().await;
    Ok(())
}

/// Writes the bound addresses as one JSON line on standard output.
fn announce(addresses: &BoundAddresses) -> Result<(), RunError> {
    let action = "write the addresses to standard output";
    let mut line = serde_json::to_vec(addresses)
        .map_err(io::Error::from)
        .context(SystemSnafu { action })?;
    line.push(b'\n');
    let mut out = io::stdout().lock();
    out.write_all(&line).context(SystemSnafu { action })?;
    out.flush().context(SystemSnafu { action })?;
    let BoundAddresses {
        name,
        public,
        peer,
        admin,
    } = addresses;
    event!(
        STARTED,
        "name={name} public={public} peer={peer} admin={admin}"
    );
    Ok(())
}
