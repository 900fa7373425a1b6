//! `job`: shows, watches and cancels batch jobs.

use std::time::Duration;

use clap::ArgMatches;
use indicatif::{
    ProgressBar,
    ProgressStyle, //
};
use jiff::Timestamp;
use limpetweir_protocol::http::{
    JobState,
    JobStatus, //
};
use limpetweir_state::{
    JobId,
    UnixMillis, //
};
use limpetweir_transport::sleep;

use super::{
    arg,
    results,
    subcommand,
    submit,
    unknown_command, //
};
use crate::error::Error;
use crate::fleet::{
    Call,
    Fleet, //
};
use crate::options::Options;
use crate::output;

/// Interval at which `job watch` polls the state of a job.
const WATCH_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Runs a subcommand of `job`.
pub(super) fn run(matches: &ArgMatches) -> Result<(), Error> {
    let (name, matches) = subcommand(matches)?;
    let options = Options::new(matches)?;
    match name {
        "submit" => submit::run(matches, &options),
        "watch" => watch(matches, &options),
        "results" => results::run(matches, &options),
        "cancel" => cancel(matches, &options),
        "status" => status(matches, &options),
        other => Err(unknown_command(other)),
    }
}

fn status(matches: &ArgMatches, options: &Options) -> Result<(), Error> {
    let job: &JobId = arg(matches, "job")?;
    let mut fleet = options.public()?;
    let status = async_io::block_on(read_status(&mut fleet, job))?;
    print_status(options, &status)
}

fn cancel(matches: &ArgMatches, options: &Options) -> Result<(), Error> {
    let job: &JobId = arg(matches, "job")?;
    let mut fleet = options.public()?;
    let call = Call::post(format!("/v1/jobs/{job}/cancel"), "").idempotent();
    let status: JobStatus = async_io::block_on(fleet.json(&call))?;
    print_status(options, &status)
}

/// Requests the state of a job.
pub(super) async fn read_status(fleet: &mut Fleet, job: &JobId) -> Result<JobStatus, Error> {
    fleet.json(&Call::get(format!("/v1/jobs/{job}"))).await
}

fn watch(matches: &ArgMatches, options: &Options) -> Result<(), Error> {
    let job: &JobId = arg(matches, "job")?;
    let mut fleet = options.public()?;
    let status = async_io::block_on(follow(&mut fleet, options, job))?;
    if !options.json {
        print_status(options, &status)?;
    }
    if status.state == JobState::Cancelled {
        let job = job.to_string();
        return Err(Error::JobCancelled { job });
    }
    Ok(())
}

/// Shows the progress of a job until it ends, and returns its final state.
async fn follow(fleet: &mut Fleet, options: &Options, job: &JobId) -> Result<JobStatus, Error> {
    let bar = progress_bar();
    let mut last: Option<JobStatus> = None;
    loop {
        let status = read_status(fleet, job).await?;
        bar.set_length(u64::from(status.items));
        bar.set_position(u64::from(status.completed) + u64::from(status.failed));
        bar.set_message(format!("{} failed", status.failed));
        if options.json && last.as_ref() != Some(&status) {
            output::json(&status)?;
        }
        if status.state != JobState::Running {
            bar.finish_and_clear();
            return Ok(status);
        }
        last = Some(status);
        sleep(WATCH_POLL_INTERVAL).await;
    }
}

fn progress_bar() -> ProgressBar {
    let bar = ProgressBar::new(0);
    let template = "{bar:40} {pos}/{len} items, {msg}, {eta} left";
    if let Ok(style) = ProgressStyle::with_template(template) {
        bar.set_style(style);
    }
    bar
}

fn print_status(options: &Options, status: &JobStatus) -> Result<(), Error> {
    if options.json {
        return output::json(status);
    }
    let usage = &status.usage;
    let rows = [
        ("job", status.id.to_string()),
        ("state", status.state.to_string()),
        ("service", status.service.to_string()),
        ("model", status.model.to_string()),
        ("deadline", format_time(status.deadline)),
        ("items", status.items.to_string()),
        ("completed", status.completed.to_string()),
        ("failed", status.failed.to_string()),
        ("prompt tokens", usage.prompt_tokens.to_string()),
        ("completion tokens", usage.completion_tokens.to_string()),
    ];
    let rows: Vec<_> = rows
        .map(|(name, value)| vec![name.to_owned(), value])
        .to_vec();
    output::table(&rows)
}

fn format_time(time: UnixMillis) -> String {
    let ms = i64::try_from(time.0).ok();
    let time = ms.and_then(|ms| Timestamp::from_millisecond(ms).ok());
    time.map_or("unknown".to_owned(), |time| time.to_string())
}
