//! A batch route is removed from the manifest while its jobs are kept.

use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::End;
use crate::engine::Output;
use crate::record::Record;
use crate::site::{
    Site,
    field,
    job_body,
    manifest,
    read_results,
    submit, //
};

/// The results of a job stay readable until `statusS` after its submission.
pub fn removed(root: &Path, folder: &Path, record: &Record, trouble: bool) -> io::Result<End> {
    let output = Output {
        events: 20,
        bytes: 60,
        pause: Duration::from_millis(2),
        is_framed: true,
    };
    let site = Site::start(root, folder, 3, 300, &output, record)?;
    let (tenant, job, items) = (0, "7c41e09b52d6a3f8", 10);
    let statuses = submit(&site, 0, tenant, job, &job_body(job, items, 1_500), 4);
    record.line(&format!("job {job}: {statuses:?}"));
    thread::sleep(Duration::from_secs(5));
    for n in 0..3 {
        let page = read_results(site.frontend(n), tenant, job, 0)?;
        record.line(&format!(
            "instance {n}: {} nextToken={:?}",
            page.status(),
            field(&page, "nextToken")
        ));
        if page.status() != 200 || field(&page, "nextToken") != Some(items) {
            return Ok(End::NotRun("the job is not done".to_owned()));
        }
    }
    // A version is written in both runs; only one of them removes the route.
    site.store.put("keyed.op", "config", &manifest(9, !trouble));
    record.line(&format!(
        "version 9 is acknowledged, with the batch route: {}",
        !trouble
    ));
    thread::sleep(Duration::from_secs(6));
    let mut broken = false;
    for n in 0..3 {
        let page = read_results(site.frontend(n), tenant, job, 0)?;
        let text = String::from_utf8_lossy(&page.body)
            .chars()
            .take(60)
            .collect::<String>();
        record.line(&format!("instance {n}: {} {text}", page.status()));
        broken |= matches!(page.status(), 404 | 410);
    }
    Ok(match broken {
        true => End::Broken,
        false => End::Held,
    })
}
