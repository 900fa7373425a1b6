//! The subcommands of the tool.

mod bound;
mod check;
mod complete;
mod config;
mod explain;
mod held;
mod job;
mod key;
mod plot;
mod publish;
mod results;
mod submit;
mod trace;

use std::io;

use clap::ArgMatches;
use clap_complete::Shell;
use limpetweir_protocol::http::Addresses;

use crate::args;
use crate::error::Error;
use crate::fleet::{
    Call,
    addresses_path, //
};
use crate::options::Options;
use crate::output;

/// Runs the command `name`.
pub(crate) fn run(name: &str, matches: &ArgMatches) -> Result<(), Error> {
    match name {
        "config" => config::run(matches),
        "key" => key::run(matches),
        "job" => job::run(matches),
        "complete" => complete::run(matches),
        "explain" => explain::run(matches),
        "held" => held::run(matches),
        "trace" => trace::run(matches),
        "plot" => plot::run(matches),
        "bound" => bound::run(matches),
        "addresses" => addresses(&Options::new(matches)?),
        "completions" => completions(matches),
        other => Err(unknown_command(other)),
    }
}

fn unknown_command(command: &str) -> Error {
    Error::usage(format!("unknown command {command}"))
}

/// Returns a required argument; clap has already checked that it is present.
fn arg<'m, T: Clone + Send + Sync + 'static>(
    matches: &'m ArgMatches,
    name: &str,
) -> Result<&'m T, Error> {
    let missing = || Error::usage(format!("{name} is missing"));
    matches.get_one(name).ok_or_else(missing)
}

/// Returns the subcommand of a command that requires one.
fn subcommand(matches: &ArgMatches) -> Result<(&str, &ArgMatches), Error> {
    let missing = || Error::usage("a subcommand is required");
    matches.subcommand().ok_or_else(missing)
}

fn addresses(options: &Options) -> Result<(), Error> {
    let mut fleet = options.public_without_discovery()?;
    let zone = options.zone.as_ref().map(|zone| zone.as_str());
    let call = Call::get(addresses_path(zone));
    let response: Addresses = async_io::block_on(fleet.json(&call))?;
    if options.json {
        return output::json(&response);
    }
    let mut rows = vec![["INSTANCE", "ZONE", "ADDRESS"].map(str::to_owned).to_vec()];
    for entry in &response.addresses {
        let address = entry.address.to_string();
        rows.push(vec![
            entry.instance.to_string(),
            entry.zone.to_string(),
            address,
        ]);
    }
    output::table(&rows)
}

fn completions(matches: &ArgMatches) -> Result<(), Error> {
    let name: &String = arg(matches, "shell")?;
    let shell: Shell = name.parse().map_err(Error::usage)?;
    clap_complete::generate(
        shell,
        &mut args::command(),
        "limpetweir",
        &mut io::stdout().lock(),
    );
    Ok(())
}
