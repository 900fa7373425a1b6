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

/// Environment variable with the path of the settings file, for the subcommand `gateway`.
const SETTINGS_VARIABLE: &str = "LIMPETWEIR_SETTINGS";

/// The parsed command line: one variant for each mode of the daemon.
#[derive(Clone, Debug)]
pub(crate) enum Mode {
    /// Serves with the platform's list service and log service.
    Serve(Args),
    /// Serves routed requests on a platform with a store.
    Gateway(GatewayArgs),
}

/// Arguments of the subcommand `gateway`.
#[derive(Clone, Debug)]
pub(crate) struct GatewayArgs {
    /// Settings file.
    pub(crate) settings: PathBuf,
    /// Whether only to check the settings.
    pub(crate) check: bool,
}

/// Arguments without a subcommand.
#[derive(Clone, Debug)]
pub(crate) struct Args {
    /// Settings file.
    pub(crate) config: PathBuf,
    /// Whether only to check the settings.
    pub(crate) check: bool,
    /// Overrides of settings fields, in the order of the command line.
    pub(crate) overrides: Vec<Override>,
}

/// Defines the command line.
fn command() -> Command {
    let config = Arg::new("config")
        .long("config")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Reads the settings from a TOML file");
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .env(SETTINGS_VARIABLE)
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Reads the settings from a TOML file");
    let gateway_check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Checks the settings and exits");
    let gateway = Command::new("gateway")
        .about("Serves routed requests and batch jobs on a platform with a store")
        .args([settings, gateway_check]);
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
        .subcommand(gateway)
        .subcommand_negates_reqs(true)
        .args_conflicts_with_subcommands(true)
}

/// Parses the command line; exits with a message if it is invalid.
pub(crate) fn parse() -> Mode {
    let mut matches = command().get_matches();
    match matches.remove_subcommand() {
        Some((_, mut matches)) => Mode::Gateway(GatewayArgs {
            settings: matches.remove_one("settings").unwrap_or_default(),
            check: matches.get_flag("check"),
        }),
        None => Mode::Serve(from_matches(matches)),
    }
}

fn from_matches(mut matches: ArgMatches) -> Args {
    let overrides = matches.remove_many("set");
    Args {
        config: matches.remove_one("config").unwrap_or_default(),
        check: matches.get_flag("check"),
        overrides: overrides.into_iter().flatten().collect(),
    }
}
