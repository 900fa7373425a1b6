//! The open connections to the store go silent for good while new ones work, and a key is taken away.

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
    TENANTS,
    job_body,
    key,
    manifest,
    online,
    submit, //
};

/// `stabilityWindowMs`, after which the machines are in touch, and `configurationApplyMs`.
const STABILITY: Duration = Duration::from_millis(3_000);
const APPLY: Duration = Duration::from_millis(2_000);

/// Time for which jobs come, and the pause between two of one tenant.
const TRAFFIC_TIME: Duration = Duration::from_secs(6);
const SUBMIT_PAUSE: Duration = Duration::from_millis(400);

/// Time from the silence to the version without the key.
const REVOKE_AFTER: Duration = Duration::from_millis(500);

pub fn silenced(root: &Path, folder: &Path, record: &Record, trouble: bool) -> io::Result<End> {
    let output = Output {
        events: 20,
        bytes: 60,
        pause: Duration::from_millis(2),
        is_framed: true,
    };
    let site = Site::start(root, folder, 3, 300, &output, record)?;
    // Ordinary jobs of all tenants, up to the disruption.
    let until = Instant::now() + TRAFFIC_TIME;
    thread::scope(|scope| {
        for tenant in 0..TENANTS {
            let (site, record) = (&site, &record);
            scope.spawn(move || {
                for n in 0.. {
                    if Instant::now() > until {
                        return;
                    }
                    let job = format!("7c41e09b5{tenant:02x}{n:05x}");
                    let body = job_body(&job, 10, 1_500);
                    let statuses = submit(site, tenant + n, tenant, &job, &body, 3);
                    record.count(&format!("submissions answered {statuses:?}"));
                    thread::sleep(SUBMIT_PAUSE);
                }
            });
        }
    });
    let silent_at = Instant::now();
    if trouble {
        site.store.silence();
        record.line("all open connections to the store go silent");
    }
    thread::sleep(REVOKE_AFTER);
    let revoked = key(3);
    site.store.put(
        "keyed.op",
        "config",
        &manifest(9, true).replace(&revoked, "another-key-of-the-tenant"),
    );
    let acknowledged = Instant::now();
    record.line("version 9 is acknowledged: the key of tenant 3 is taken away");
    let from = (acknowledged + APPLY).max(silent_at + STABILITY);
    let mut broken = 0;
    let mut n = 0;
    while acknowledged.elapsed() < Duration::from_secs(9) {
        for machine in &site.platform.machines {
            let id = format!("9c41d07be2{n:06x}");
            n += 1;
            let sent = Instant::now();
            let status = online(machine.frontend, &revoked, &id, None);
            if sent >= from && status == 200 {
                broken += 1;
                record.line(&format!(
                    "{}: request {id} with the old key: {status}, too late",
                    machine.name
                ));
            } else {
                record.count(&format!("{} answered {status}", machine.name));
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(match broken {
        0 => End::Held,
        _ => End::Broken,
    })
}
