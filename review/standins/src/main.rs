//! Plays the cases of the review. Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the
//! case could not run.

mod cases;
mod engine;
mod fleet;
mod http;
mod jobs;
mod online;
mod record;
mod store;

use std::env;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// What a case gets.
pub struct Setting {
    pub record: Arc<Record>,
    /// Folder for settings and logs of instances.
    pub folder: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    if let [_, role, id] = &args[..]
        && role == "engine"
    {
        engine::run_process(id);
        return ExitCode::SUCCESS;
    }
    let (Some(case), Some(path), Some(folder)) = (args.get(1), args.get(2), args.get(3)) else {
        eprintln!("usage: review-standins CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let setting = Setting {
        record: Arc::new(Record::create(path)),
        folder: PathBuf::from(folder),
        trouble: env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    let outcome = match case.as_str() {
        "refused-and-run" => cases::refused_and_run(&setting),
        "late-copy" => cases::late_copy(&setting),
        "noise" => cases::noise(&setting),
        "oversized" => cases::oversized(&setting),
        "crash" => cases::crash(&setting),
        "crash-online" => cases::crash_online(&setting),
        "endless" => cases::endless(&setting),
        _ => Err(format!("unknown case {case}")),
    };
    match outcome {
        Ok(true) => {
            setting.record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            setting.record.line("the rule was broken");
            ExitCode::from(1)
        }
        Err(cause) => {
            setting
                .record
                .line(&format!("the case could not run: {cause}"));
            ExitCode::from(2)
        }
    }
}
