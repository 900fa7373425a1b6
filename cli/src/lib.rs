//! Command-line tool for operators and callers of limpetweir.

pub mod args;
mod commands;
pub mod document;
mod error;
mod fleet;
pub mod items;
pub mod load;
mod options;
mod output;
mod random;
pub mod retry;
mod secret;
pub mod span;
pub mod trace;

use std::ffi::OsString;
use std::process::ExitCode;

use clap::ArgMatches;

pub use error::{EXIT_FAILED, EXIT_INVALID, EXIT_USAGE, Error};

/// Runs the tool with the given arguments; the first one is the program name.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let env = env_logger::Env::new().filter_or("LIMPETWEIR_LOG", "warn");
    // Fails only if the process already has a logger, which is then used.
    let _ = env_logger::Builder::from_env(env)
        .format_timestamp(None)
        .try_init();
    let matches = match args::command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(err) => {
            // clap also returns help and version texts as an `Err`; they are no failures and are
            // printed to standard output.
            let _ = err.print();
            let code = if err.use_stderr() { EXIT_USAGE } else { 0 };
            return ExitCode::from(code);
        }
    };
    let Some((name, command)) = matches.subcommand() else {
        return ExitCode::from(EXIT_USAGE);
    };
    match commands::run(name, command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{}", err.report(json_requested(command)));
            ExitCode::from(err.exit_code())
        }
    }
}

/// Reads the flag from the innermost subcommand, because clap propagates global options only to
/// subcommands.
fn json_requested(matches: &ArgMatches) -> bool {
    match matches.subcommand() {
        Some((_, inner)) => json_requested(inner),
        None => matches.get_flag("json"),
    }
}
