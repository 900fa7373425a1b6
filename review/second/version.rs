//! A client asks for a version of the weights that no engine has.

use std::io;
use std::path::Path;
use std::thread;
use std::time::{
    Duration,
    Instant, //
};

use crate::End;
use crate::engine::Output;
use crate::record::Record;
use crate::site::{
    Site,
    field,
    job_body,
    key,
    online,
    read_results,
    submit, //
};

/// Requests of the client, one each 200 ms.
const REQUESTS: usize = 20;
const PAUSE: Duration = Duration::from_millis(200);

/// Time after which the items of a job are to be listed, and the quiet time behind it.
const FINISH_TIME: Duration = Duration::from_secs(18);
const QUIET_TIME: Duration = Duration::from_secs(5);

/// Sends an online request; returns the status, 0 without a response.
fn ask(site: &Site, n: usize, tenant: usize, version: Option<&str>) -> u16 {
    let id = format!("9c41d07be2a3{tenant:02x}{n:02x}");
    online(site.frontend(n), &key(tenant), &id, version)
}

/// The requests of the client cannot be served. A job that another client submits afterwards is to be done.
pub fn outdated(root: &Path, folder: &Path, record: &Record, trouble: bool) -> io::Result<End> {
    let output = Output {
        events: 34,
        bytes: 60,
        pause: Duration::from_millis(5),
        is_framed: true,
    };
    let site = Site::start(root, folder, 3, 300, &output, record)?;
    let version = if trouble { "2" } else { "1" };
    for n in 0..REQUESTS {
        let status = ask(&site, n, 0, Some(version));
        record.line(&format!(
            "request {n} for version {version} of the weights: {status}"
        ));
        thread::sleep(PAUSE);
    }
    let (tenant, job, items) = (1, "7c41e09b52d6a3f8", 10);
    let statuses = submit(&site, 0, tenant, job, &job_body(job, items, 1_500), 6);
    record.line(&format!("job {job} of another tenant: {statuses:?}"));
    if statuses.last() != Some(&202) {
        return Ok(End::NotRun("the job was not accepted".to_owned()));
    }
    let until = Instant::now() + FINISH_TIME + QUIET_TIME;
    let mut listed = 0;
    let mut n = 0;
    while Instant::now() < until && listed < items {
        thread::sleep(Duration::from_millis(500));
        n += 1;
        let page = read_results(site.frontend(n), tenant, job, 0);
        listed = page
            .ok()
            .and_then(|page| field(&page, "nextToken"))
            .unwrap_or(listed);
    }
    record.line(&format!("{listed} of {items} items are listed"));
    for n in 0..6 {
        let status = ask(&site, n, 2, None);
        record.line(&format!("ordinary request {n} of a third tenant: {status}"));
    }
    Ok(match listed < items {
        true => End::Broken,
        false => End::Held,
    })
}
