//! Cases in which clients make instances hold more than the memory of their machines.

use std::collections::BTreeMap;
use std::io;
use std::net::{
    SocketAddr,
    TcpStream, //
};
use std::path::Path;
use std::sync::atomic::{
    AtomicUsize,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex, //
};
use std::thread;
use std::time::{
    Duration,
    Instant, //
};

use crate::End;
use crate::engine::Output;
use crate::net;
use crate::record::Record;
use crate::site::{
    JOBS_HOST,
    Site,
    TENANTS,
    field,
    job_body,
    key,
    read_results,
    submit, //
};

/// Memory of each machine in megabytes, as on the sheet of the site.
const MEMORY_MB: u64 = 300;

/// Ends of processes on a machine from which on the machine counts for the rule of faults.
const FAULT_ENDS: usize = 3;

/// Writes what became of the processes; returns the number of machines with three ends, and of all ends.
fn ends(site: &Site, record: &Record) -> (usize, usize) {
    let mut faulty = 0;
    let mut all = 0;
    for machine in &site.platform.machines {
        let ends = machine.kills.lock().expect("the kills").len();
        let peak = *machine.peak.lock().expect("the peak") as f64 / 1e6;
        record.line(&format!(
            "{}: {ends} ends for its memory, peak {peak:.0} MB",
            machine.name
        ));
        faulty += usize::from(ends >= FAULT_ENDS);
        all += ends;
    }
    (faulty, all)
}

/// Jobs of the batch case, and the clients that submit at the same time.
const JOBS: usize = 560;
const CLIENTS: usize = 16;
const ITEMS: usize = 12;

/// Bytes of the body of an item, and of an ordinary one.
const LARGE_ITEM: usize = 48_000;
const ORDINARY_ITEM: usize = 1_500;

/// Time after the last submission in which all items are to be listed.
const FINISH_TIME: Duration = Duration::from_secs(18);

/// Many jobs of legal size come at once. Each is accepted with 202 or refused.
pub fn jobs(root: &Path, folder: &Path, record: &Record, trouble: bool) -> io::Result<End> {
    let output = Output {
        events: 40,
        bytes: 60,
        pause: Duration::from_millis(5),
        is_framed: true,
    };
    let site = Arc::new(Site::start(root, folder, 3, MEMORY_MB, &output, record)?);
    let item_bytes = if trouble { LARGE_ITEM } else { ORDINARY_ITEM };
    let accepted: Arc<Mutex<Vec<(usize, String)>>> = Arc::default();
    let next = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (site, record) = (site.clone(), record.clone());
            let (accepted, next) = (accepted.clone(), next.clone());
            thread::spawn(move || {
                loop {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    if n >= JOBS {
                        return;
                    }
                    let (tenant, job) = (n % TENANTS, format!("7c41e09b52d6{n:04x}"));
                    let body = job_body(&job, ITEMS, item_bytes);
                    let statuses = submit(&site, n, tenant, &job, &body, 3);
                    record.line(&format!("job {job} of {} bytes: {statuses:?}", body.len()));
                    if statuses.last() == Some(&202) {
                        accepted.lock().expect("the jobs").push((tenant, job));
                    }
                }
            })
        })
        .collect();
    clients
        .into_iter()
        .for_each(|client| client.join().expect("a client"));
    let accepted = std::mem::take(&mut *accepted.lock().expect("the jobs"));
    record.line(&format!(
        "{} jobs accepted, {} bytes in the store",
        accepted.len(),
        site.store.bytes()
    ));
    thread::sleep(FINISH_TIME);
    // A job counts as lost if no instance can read it in the rest of the time.
    let until = Instant::now() + Duration::from_secs(15);
    let mut lost = Vec::new();
    let mut incomplete = 0;
    for (n, (tenant, job)) in accepted.iter().enumerate() {
        let mut last = BTreeMap::new();
        let found = loop {
            let at = n + last.values().sum::<usize>();
            let page = read_results(site.frontend(at), *tenant, job, 0);
            match page {
                Ok(page) if page.status() == 200 => break Some(page),
                Ok(page) => *last.entry(page.status().to_string()).or_insert(0) += 1,
                Err(err) => *last.entry(err.kind().to_string()).or_insert(0) += 1,
            }
            if Instant::now() > until {
                break None;
            }
            thread::sleep(Duration::from_millis(50));
        };
        match found {
            Some(page) => incomplete += usize::from(field(&page, "nextToken") != Some(ITEMS)),
            None => {
                record.line(&format!("job {job} cannot be read: {last:?}"));
                lost.push(job.clone());
            }
        }
    }
    let (faulty, all) = ends(&site, record);
    record.line(&format!(
        "{} accepted jobs cannot be read, {incomplete} are incomplete; {faulty} machines with three ends, {all} ends",
        lost.len()
    ));
    Ok(match !lost.is_empty() || faulty >= 2 {
        true => End::Broken,
        false => End::Held,
    })
}

/// Callers that ask for the same page and do not read it, and the time for which they stay.
const READERS: usize = 800;
const READ_TIME: Duration = Duration::from_secs(5);

/// Callers of a machine that connect at the same time.
const CONNECTING: usize = 20;

/// Crowds of such callers, at each machine in turn.
const ROUNDS: usize = 12;

/// Crowds of callers ask for the results of one job and do not read them.
pub fn pages(root: &Path, folder: &Path, record: &Record, trouble: bool) -> io::Result<End> {
    // The results of the job fill a page: items as long as those of the site, which has up to 379 events.
    let output = Output {
        events: 237,
        bytes: 60,
        pause: Duration::from_millis(1),
        is_framed: true,
    };
    let site = Site::start(root, folder, 2, MEMORY_MB, &output, record)?;
    let (tenant, job, items) = (0, "7c41e09b52d6a3f8", 100);
    let statuses = submit(&site, 0, tenant, job, &job_body(job, items, 1_500), 4);
    record.line(&format!("job {job} of {items} items: {statuses:?}"));
    let until = Instant::now() + Duration::from_secs(30);
    loop {
        let page = read_results(site.frontend(0), tenant, job, items - 1)?;
        if field(&page, "nextToken") == Some(items) {
            break;
        }
        if Instant::now() > until {
            return Ok(End::NotRun("the job is not done in time".to_owned()));
        }
        thread::sleep(Duration::from_millis(200));
    }
    let page = read_results(site.frontend(1), tenant, job, 0)?;
    record.line(&format!("a page has {} bytes", page.body.len()));
    for round in 0..ROUNDS {
        if !site.platform.wait_ready(Duration::from_secs(10)) {
            record.line("the instances do not get ready again");
            break;
        }
        // An instance that has started reads the job first.
        thread::sleep(Duration::from_secs(1));
        match trouble {
            true => crowd(&site, round, tenant, job, record),
            false => orderly(&site, tenant, job, record),
        }
        record.line(&format!("crowd {round} has ended"));
        let machines = site.platform.machines.iter();
        let ends = machines.map(|machine| machine.kills.lock().expect("the kills").len());
        if ends.min() >= Some(FAULT_ENDS) {
            break;
        }
    }
    let (faulty, _) = ends(&site, record);
    Ok(match faulty >= 2 {
        true => End::Broken,
        false => End::Held,
    })
}

fn crowd(site: &Site, round: usize, tenant: usize, job: &str, record: &Record) {
    let until = Instant::now() + READ_TIME;
    let open: Mutex<Vec<TcpStream>> = Mutex::default();
    let addr = site.frontend(round);
    thread::scope(|scope| {
        for _ in 0..CONNECTING {
            scope.spawn(|| {
                for _ in 0..READERS / CONNECTING {
                    match ask(addr, tenant, job) {
                        Ok(stream) => open.lock().expect("the callers").push(stream),
                        Err(_) => record.count("callers without a connection"),
                    }
                    if Instant::now() > until {
                        return;
                    }
                }
            });
        }
    });
    let count = open.lock().expect("the callers").len();
    record.line(&format!(
        "{count} callers have asked for the page and do not read"
    ));
    thread::sleep(until.saturating_duration_since(Instant::now()));
}

/// Asks for the results of a job on a connection that is not read.
fn ask(addr: SocketAddr, tenant: usize, job: &str) -> io::Result<TcpStream> {
    let key = key(tenant);
    let headers = [("Host", JOBS_HOST), ("X-Api-Key", key.as_str())];
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    net::set_small_buffer(&stream);
    let target = format!("/lots/{job}?after=0");
    net::send_on(stream, "GET", &target, &headers, b"", READ_TIME)
}

/// The same number of reads, one after the other by a few callers, that are read to their ends.
fn orderly(site: &Site, tenant: usize, job: &str, record: &Record) {
    let reads: Vec<_> = (0..READERS).collect();
    thread::scope(|scope| {
        for part in reads.chunks(READERS / 4) {
            scope.spawn(move || {
                for n in part {
                    let page = read_results(site.frontend(*n), tenant, job, 0);
                    let status = page.map_or(0, |page| page.status());
                    record.count(&format!("pages with status {status}"));
                }
            });
        }
    });
}
