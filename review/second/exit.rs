//! An engine leaves as planned and exits while items run on it, whose responses have neither a length nor chunks.

use std::io;
use std::path::Path;
use std::thread;
use std::time::{
    Duration,
    Instant, //
};

use crate::End;
use crate::engine::Output;
use crate::net::Message;
use crate::record::Record;
use crate::site::{
    Site,
    job_body,
    read_results,
    submit, //
};

/// Events of an item, and the pause between them: the mean length at the site, a run of 5 s.
const EVENTS: u64 = 237;
const PAUSE: Duration = Duration::from_millis(20);

/// Time from the start of the items to the report that the engines leave.
const LEAVE_AFTER: Duration = Duration::from_secs(1);

/// `drainMs`, and "a little longer", after which an engine that leaves exits.
const DRAIN_TIME: Duration = Duration::from_millis(2_300);

/// Engines that leave, of twelve.
const LEAVING: usize = 2;

pub fn planned(root: &Path, folder: &Path, record: &Record, trouble: bool) -> io::Result<End> {
    let output = Output {
        events: EVENTS,
        bytes: 60,
        pause: PAUSE,
        is_framed: false,
    };
    let site = Site::start(root, folder, 3, 300, &output, record)?;
    let (tenant, job, items) = (0, "7c41e09b52d6a3f8", 24);
    let statuses = submit(&site, 0, tenant, job, &job_body(job, items, 1_500), 4);
    record.line(&format!("job {job} of {items} items: {statuses:?}"));
    thread::sleep(LEAVE_AFTER);
    if trouble {
        for n in 0..LEAVING {
            site.enter(n, "draining");
        }
        record.line(&format!(
            "{LEAVING} engines are draining, by the store's acknowledgement"
        ));
        thread::sleep(DRAIN_TIME);
        for n in 0..LEAVING {
            site.engines[n].exit();
        }
        thread::sleep(Duration::from_millis(100));
        for n in 0..LEAVING {
            site.remove(n);
        }
    }
    let until = Instant::now() + Duration::from_secs(40);
    let mut results = Vec::new();
    while results.len() < items && Instant::now() < until {
        thread::sleep(Duration::from_millis(500));
        if let Ok(page) = read_results(site.frontend(1), tenant, job, 0) {
            results = texts(&page);
        }
    }
    let whole = EVENTS as usize;
    let mut broken = 0;
    for (item, state, events) in &results {
        if state == "completed" && *events != whole {
            record.line(&format!(
                "item {item} is completed with {events} of {whole} events"
            ));
            broken += 1;
        }
    }
    record.line(&format!(
        "{} of {items} items are listed, {broken} with a part of their output",
        results.len()
    ));
    Ok(match broken {
        0 if results.len() < items => End::NotRun("the job is not done in time".to_owned()),
        0 => End::Held,
        _ => End::Broken,
    })
}

/// Returns the identifier, the state and the number of events of each result of a page.
fn texts(page: &Message) -> Vec<(String, String, usize)> {
    let text = String::from_utf8_lossy(&page.body);
    let value = |part: &str, name: &str| {
        let (_, rest) = part.split_once(&format!("\"{name}\":\""))?;
        Some(rest.split('"').next()?.to_owned())
    };
    let results = text.split("{\"identifier\"").skip(1).filter_map(|part| {
        let part = format!("\"identifier\"{part}");
        let events = value(&part, "text")?;
        let events = match events.is_empty() {
            true => 0,
            false => events.split("\\n").count(),
        };
        Some((value(&part, "identifier")?, value(&part, "state")?, events))
    });
    results.collect()
}
