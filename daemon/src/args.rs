//! Command line of the daemon.

use std::path::PathBuf;

use clap::{
    Arg,
    ArgAction,
    ArgMatches,
    Command,
    value_parser, //
};
use limpetweir_protocol::settings::Override;

/// What the command line asks for.
#[derive(Clone, Debug)]
pub(crate) struct Args {
    /// Settings file.
    pub(crate) config: PathBuf,
    /// Whether to check the settings only.
    pub(crate) check: bool,
    /// Replaced fields, in the order of the command line.
    pub(crate) overrides: Vec<Override>,
}

/// Returns the description of the command line.
fn command() -> Command {
    let config = Arg::new("config")
        .long("config")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Reads the settings from a TOML file");
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Checks the settings and exits");
    let set = Arg::new("set")
        .long("set")
        .value_name("KEY=VALUE")
        .action(ArgAction::Append)
        .value_parser(|text: &str| text.parse::<Override>())
        .help("Replaces one field of the settings, such as runtime.threads=4");
    Command::new("limpetweird")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Serves inference requests, batch jobs and plain services")
        .args([config, check, set])
}

/// Reads the command line; exits with a message if it is not accepted.
pub(crate) fn parse() -> Args {
    let matches = command().get_matches();
    from_matches(matches)
}

fn from_matches(mut matches: ArgMatches) -> Args {
    let overrides = matches.remove_many("set");
    Args {
        config: matches.remove_one("config").unwrap_or_default(),
        check: matches.get_flag("check"),
        overrides: overrides.into_iter().flatten().collect(),
    }
}
