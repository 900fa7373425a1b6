//! `job results`: reads every page of a job's results.

use std::path::PathBuf;

use clap::ArgMatches;
use limpetweir_protocol::http::JobResults;
use limpetweir_state::JobId;

use super::arg;
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
    let complete = async_io::block_on(copy(&mut fleet, job, page, &mut sink))?;
    sink.finish()?;
    if !complete {
        eprintln!("job {job} is still running: these are the items finished so far");
    }
    Ok(())
}

/// Copies all pages; returns whether the last item of the job was among them.
async fn copy(
    fleet: &mut Fleet,
    job: &JobId,
    page: u32,
    sink: &mut LineSink,
) -> Result<bool, Error> {
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
        match results.next {
            None => return Ok(true),
            // Only items that have not finished are left.
            Some(next) if next <= from => return Ok(false),
            Some(next) => from = next,
        }
    }
}
