//! `held`: shows which requests a gateway holds back, and serves them again.

use clap::ArgMatches;

use crate::error::Error;
use crate::fleet::Call;
use crate::options::Options;
use crate::output;

/// Path of the open cases on the peer port of an instance.
const CASES_PATH: &str = "/held-parts";

/// Runs `held`.
pub(super) fn run(matches: &ArgMatches) -> Result<(), Error> {
    let options = Options::new(matches)?;
    let call = match matches.get_one::<u64>("release") {
        Some(key) => Call::delete(format!("{CASES_PATH}/{key:x}")),
        None => Call::get(CASES_PATH),
    };
    let mut fleet = options.peers()?;
    let response = async_io::block_on(fleet.request(&call))?;
    let text = String::from_utf8_lossy(&response.body);
    let lines: Vec<&str> = text.lines().collect();
    if options.json {
        return output::json(&lines);
    }
    if lines.is_empty() {
        return output::line("no request is held back");
    }
    lines.into_iter().try_for_each(output::line)
}
