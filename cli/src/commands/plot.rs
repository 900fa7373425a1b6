//! `plot`: draws the load between two times, computed from collected log files.

use std::path::PathBuf;

use clap::ArgMatches;
use serde_json::{
    Map,
    json, //
};
use strum::IntoEnumIterator;

use super::arg;
use super::trace::read_all;
use crate::error::Error;
use crate::load::{
    Curve,
    LoadSeries, //
};
use crate::output;

/// Runs `plot`.
pub(super) fn run(matches: &ArgMatches) -> Result<(), Error> {
    let lines = read_all(matches)?;
    let times = lines.iter().map(|line| line.time);
    let (Some(first), Some(last)) = (times.clone().min(), times.max()) else {
        return Err(Error::usage(
            "the files contain no log lines of the gateway",
        ));
    };
    let second = |name: &str| matches.get_one::<u64>(name).map(|s| first + s * 1_000);
    let from = second("from").unwrap_or(first);
    let to = second("to").unwrap_or(last + 1).min(last + 1);
    if from >= to {
        return Err(Error::usage("--from must be before --to and the last line"));
    }
    let series = LoadSeries::of(&lines, from, to);
    let file: &PathBuf = arg(matches, "output")?;
    series.draw(file).map_err(|cause| {
        let file = file.display();
        Error::usage(format!("cannot draw {file}: {cause}"))
    })?;
    let highest = |curve| series.values(curve).max().unwrap_or(0);
    if matches.get_flag("json") {
        let values = Curve::iter().map(|curve| (curve.to_string(), json!(highest(curve))));
        return output::json(&json!({ "highest": Map::from_iter(values) }));
    }
    for curve in Curve::iter() {
        output::line(&format!("{curve}: at most {} at once", highest(curve)))?;
    }
    Ok(())
}
