//! The cases. Each returns whether its rule held.

use std::thread::sleep;
use std::time::Duration;

use crate::Setting;
use crate::engine::{
    Engine,
    Manner,
    register, //
};
use crate::fleet;
use crate::jobs::{
    self,
    Item, //
};
use crate::store::Store;

fn items(job: &str, count: usize, events: u64, tokens: u64, bytes: usize) -> Vec<Item> {
    let item = |n| Item {
        id: format!("{job}-{n}"),
        events,
        tokens,
        body: vec![b'x'; bytes],
    };
    (0..count).map(item).collect()
}

/// REFUSED: a job that does not fit at first (429) is submitted again while the store is slow. Its append
/// takes effect, and the caller is told 503. Both attempts are refused, and the job runs.
pub fn refused_and_run(setting: &Setting) -> Result<bool, String> {
    let record = &setting.record;
    let store = Store::start();
    store.put("keyed.op", "config", &jobs::config(1, 3, 10_000));
    let engines: Vec<_> = ["i-1", "i-2"]
        .map(|id| Engine::start(id, Manner::default(), record))
        .to_vec();
    for engine in &engines {
        register(&store, &engine.id, engine.addr, || true);
    }
    let instances = fleet::start(2, store.addr, &setting.folder)?;
    let addrs: Vec<_> = instances.iter().map(|instance| instance.public).collect();

    // Takes up all of the limit but 1,000 tokens; one of its items ends soon, the others run on.
    let mut first = items("first", 8, 200, 1_000, 100);
    first.extend(items("first-short", 1, 20, 1_000, 100));
    let body = jobs::submission(&first);
    if jobs::submit(record, addrs[0], "job-first", &body, jobs::TIME_LIMIT).status != 202 {
        return Err("the first job is not accepted".to_owned());
    }
    sleep(Duration::from_millis(800));

    let times = if setting.trouble { 60 } else { 1 };
    record.line(&format!("answers of the store take {times} times as long for 4.5 s"));
    store.set_slow(times);
    let slow = store.clone();
    let calm = std::thread::spawn(move || {
        sleep(Duration::from_millis(4_500));
        slow.set_slow(1);
    });
    // An append of 370 KB takes 22.5 ms at 20 MB/s, 1.35 s in the slow store.
    let second = items("second", 10, 6, 200, 37_000);
    let body = jobs::submission(&second);
    let statuses = jobs::submit_with_retries(record, &addrs, "job-second", &body);
    let _ = calm.join();
    record.line(&format!("the answers to all attempts: {statuses:?}"));
    sleep(Duration::from_secs(6));

    let ran = |item: &&Item| engines.iter().any(|engine| engine.runs(&item.id) > 0);
    let ran = second.iter().filter(ran).count();
    record.line(&format!("{ran} of {} items of job-second have run", second.len()));
    let promised = |status: &u16| [408, 421, 429, 503].contains(status);
    Ok(!(statuses.iter().all(promised) && ran > 0))
}

/// MIXED: a server answers the first run of an item with 500, and sends a second copy of that answer late,
/// where the answer to the next run is due. The item is given up though it failed only once.
pub fn late_copy(setting: &Setting) -> Result<bool, String> {
    let record = &setting.record;
    let store = Store::start();
    store.put("keyed.op", "config", &jobs::config(1, 2, 0));
    let manner = Manner {
        fails_first: true,
        repeats_failure: setting.trouble,
        ..Manner::default()
    };
    let engine = Engine::start("i-1", manner, record);
    register(&store, &engine.id, engine.addr, || true);
    let instances = fleet::start(2, store.addr, &setting.folder)?;
    let at = instances[0].public;

    let job = items("item", 1, 6, 200, 100);
    let body = jobs::submission(&job);
    if jobs::submit(record, at, "job", &body, jobs::TIME_LIMIT).status != 202 {
        return Err("the job is not accepted".to_owned());
    }
    let listed = |text: &str| text.contains("\"state\"");
    let text = jobs::wait_for_results(at, "job", Duration::from_secs(20), listed);
    sleep(Duration::from_secs(1));
    record.line(&format!("results: {text}"));
    if !listed(&text) {
        return Err("the item has no result".to_owned());
    }
    // The server answers each item with 500 once; the route allows two failures.
    Ok(!text.contains("dead_letter"))
}
