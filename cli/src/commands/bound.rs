//! `bound`: prints how much worth any schedule could earn at most on a planned day.

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use clap::ArgMatches;
use limpetweir_simulation::{
    BoundOptions,
    Bounds,
    Earnings,
    Plan,
    bounds, //
};
use serde_json::{
    Value,
    json, //
};
use snafu::ResultExt;

use super::arg;
use crate::error::{
    Error,
    PlanSnafu,
    ReadSnafu, //
};
use crate::output;

/// Runs `bound`.
pub(super) fn run(matches: &ArgMatches) -> Result<(), Error> {
    let path: &PathBuf = arg(matches, "plan")?;
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let plan = Plan::try_from(text.as_str()).with_context(|_| PlanSnafu {
        file: path.display().to_string(),
    })?;
    let window: Duration = *arg(matches, "window")?;
    let options = BoundOptions {
        seed: *arg(matches, "seed")?,
        window,
        within_limits: matches.get_flag("within-limits"),
    };
    let bounds = bounds(&plan, &options);
    let rows = rows(&plan, &bounds, window);
    if matches.get_flag("json") {
        let parts: Vec<Value> = rows.iter().map(|(part, e)| to_json(part, e)).collect();
        return output::json(&json!({ "seed": options.seed, "parts": parts }));
    }
    let heading = [
        "PART", "REQUESTS", "OWED", "UPPER", "LOWER", "UPPER%", "LOWER%",
    ];
    let mut table = vec![heading.map(str::to_owned).to_vec()];
    table.extend(rows.iter().map(|(part, e)| cells(part, e)));
    output::table(&table)
}

/// Returns the name and the earnings of each part of the day.
fn rows(plan: &Plan, bounds: &Bounds, window: Duration) -> Vec<(String, Earnings)> {
    let mut rows = vec![("day".to_owned(), bounds.day)];
    let classes = plan.classes.iter().zip(&bounds.classes);
    rows.extend(classes.map(|(class, earnings)| (format!("class {}", class.name), *earnings)));
    let windows = bounds.windows.iter().zip(0_u32..);
    rows.extend(windows.map(|(earnings, index)| {
        let from = (window * index).as_secs_f64();
        (format!("from {from} s"), *earnings)
    }));
    rows
}

/// Returns a part of what is owed; 1 if nothing is.
fn share(worth: f64, owed: f64) -> f64 {
    if owed > 0.0 { worth / owed } else { 1.0 }
}

fn cells(part: &str, earnings: &Earnings) -> Vec<String> {
    let Earnings {
        requests,
        owed,
        upper,
        lower,
    } = *earnings;
    let worth = |worth: f64| format!("{worth:.1}");
    let percent = |worth: f64| format!("{:.1}", 100.0 * share(worth, owed));
    vec![
        part.to_owned(),
        requests.to_string(),
        worth(owed),
        worth(upper),
        worth(lower),
        percent(upper),
        percent(lower),
    ]
}

fn to_json(part: &str, earnings: &Earnings) -> Value {
    json!({
        "part": part,
        "requests": earnings.requests,
        "owed": earnings.owed,
        "upper": earnings.upper,
        "lower": earnings.lower,
    })
}
