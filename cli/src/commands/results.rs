//! `job results`: reads all pages of a job's results.

use std::path::PathBuf;

use clap::ArgMatches;
use limpetweir_protocol::http::{
    JobResults,
    JobState, //
};
use limpetweir_state::JobId;

use super::arg;
use super::job::read_status;
use crate::error::Error;
use crate::fleet::{
    Call,
    Fleet, //
};
use crate::options::Options;
use crate::output::{
    LineSink,
    to_json, //
};

/// Runs `job results`.
pub(super) fn run(matches: &ArgMatches, options: &Options) -> Result<(), Error> {
    let job: &JobId = arg(matches, "job")?;
    let page: u32 = *arg(matches, "page")?;
    let path = matches.get_one::<PathBuf>("output");
    let mut fleet = options.public()?;
    let mut sink = LineSink::open(path.map(PathBuf::as_path))?;
    // Read before the results: if the job has ended by then, the results are complete.
    let status = async_io::block_on(read_status(&mut fleet, job))?;
    async_io::block_on(copy_pages(&mut fleet, job, page, &mut sink))?;
    sink.finish()?;
    if status.state == JobState::Running {
        eprintln!("job {job} was still running: these are the items finished so far");
    }
    Ok(())
}

/// Writes the results of all pages to `sink`.
async fn copy_pages(
    fleet: &mut Fleet,
    job: &JobId,
    page: u32,
    sink: &mut LineSink,
) -> Result<(), Error> {
    let mut from = 0;
    loop {
        let call = Call::get(format!("/v1/jobs/{job}/results?from={from}&limit={page}"));
        let results: JobResults = fleet.json(&call).await?;
        let mut lines = String::new();
        for result in &results.results {
            lines.push_str(&to_json(result));
            lines.push('\n');
        }
        sink.write(&lines)?;
        let Some(next) = results.next else {
            return Ok(());
        };
        if next <= from {
            return Err(Error::MalformedResponse {
                request: call.name(),
                cause: format!("the next page after {from} begins at {next}"),
            });
        }
        from = next;
    }
}
