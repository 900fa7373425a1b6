//! Runs one case of the review: starts the stand-ins and the instances, and checks the promise.

mod engine;
mod exit;
mod memory;
mod net;
mod platform;
mod record;
mod route;
mod silence;
mod site;
mod store;
mod version;

use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;

use crate::record::Record;

/// How a case ended.
pub enum End {
    Held,
    Broken,
    /// The case could not run.
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, folder, record] = &args[..] else {
        eprintln!("usage: standins CASE ROOT FOLDER RECORD");
        return ExitCode::from(2);
    };
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let Ok(record) = Record::create(&PathBuf::from(record)) else {
        return ExitCode::from(2);
    };
    stop_in_time(&record);
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!("case {case}, with the disruption: {trouble}"));
    let end = match case.as_str() {
        "jobs" => memory::jobs(&root, &folder, &record, trouble),
        "pages" => memory::pages(&root, &folder, &record, trouble),
        "route" => route::removed(&root, &folder, &record, trouble),
        "exit" => exit::planned(&root, &folder, &record, trouble),
        "silence" => silence::silenced(&root, &folder, &record, trouble),
        "version" => version::outdated(&root, &folder, &record, trouble),
        _ => Ok(End::NotRun("no such case".to_owned())),
    };
    record.counts();
    let end = end.unwrap_or_else(|err| End::NotRun(err.to_string()));
    match end {
        End::Held => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        End::Broken => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        End::NotRun(cause) => {
            record.line(&format!("the case could not run: {cause}"));
            ExitCode::from(2)
        }
    }
}

/// Time after which a case is given up; its script ends the processes that are left.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn stop_in_time(record: &Record) {
    let record = record.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        record.line("the case takes too long");
        std::process::exit(2);
    });
}
