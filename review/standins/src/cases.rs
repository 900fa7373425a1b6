//! The cases. Each returns whether its rule held.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::{
    AtomicBool,
    Ordering, //
};
use std::sync::{
    Arc,
    Mutex, //
};
use std::thread::sleep;
use std::time::{
    Duration,
    Instant, //
};

use crate::Setting;
use crate::engine::{
    Engine,
    EngineProcess,
    Manner,
    Noise,
    Runs,
    data,
    register, //
};
use crate::fleet;
use crate::http::call;
use crate::jobs::{
    self,
    Item, //
};
use crate::online;
use crate::store::Store;

fn items(job: &str, count: usize, path: &str, tokens: u64, bytes: usize) -> Vec<Item> {
    let item = |n| Item {
        id: format!("{job}-{n}"),
        path: path.to_owned(),
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
    let runs = Runs::default();
    let engines: Vec<_> = ["i-1", "i-2"]
        .map(|id| Engine::start(id, Manner::default(), &runs, record))
        .to_vec();
    for engine in &engines {
        register(&store, &engine.id, engine.addr, || true);
    }
    let instances = fleet::start(2, store.addr, &setting.folder)?;
    let addrs: Vec<_> = instances.iter().map(|instance| instance.public).collect();

    // Takes up all of the limit but 1,000 tokens; one of its items ends soon, the others run on.
    let mut first = items("first", 8, "/jobs/e200", 1_000, 100);
    first.extend(items("first-short", 1, "/jobs/e20", 1_000, 100));
    let body = jobs::submission(&first);
    if jobs::submit(record, addrs[0], "job-first", &body, jobs::TIME_LIMIT).status != 202 {
        return Err("the first job is not accepted".to_owned());
    }
    sleep(Duration::from_millis(800));

    let times = if setting.trouble { 60 } else { 1 };
    record.line(&format!(
        "answers of the store take {times} times as long for 4.5 s"
    ));
    store.set_slow(times);
    let slow = store.clone();
    let calm = std::thread::spawn(move || {
        sleep(Duration::from_millis(4_500));
        slow.set_slow(1);
    });
    // An append of 370 KB takes 22.5 ms at 20 MB/s, 1.35 s in the slow store.
    let second = items("second", 10, "/jobs/e6", 200, 37_000);
    let body = jobs::submission(&second);
    let statuses = jobs::submit_with_retries(record, &addrs, "job-second", &body);
    let _ = calm.join();
    record.line(&format!("the answers to all attempts: {statuses:?}"));
    sleep(Duration::from_secs(6));

    let ran = |item: &&Item| engines.iter().any(|engine| engine.runs(&item.id) > 0);
    let ran = second.iter().filter(ran).count();
    record.line(&format!(
        "{ran} of {} items of job-second have run",
        second.len()
    ));
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
    let engine = Engine::start("i-1", manner, &Runs::default(), record);
    register(&store, &engine.id, engine.addr, || true);
    let instances = fleet::start(2, store.addr, &setting.folder)?;
    let at = instances[0].public;

    let job = items("item", 1, "/jobs/e6", 200, 100);
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

/// Starts servers of which those that are asked for it send noise in the first run of an item.
fn noisy_engines(
    setting: &Setting,
    store: &Arc<Store>,
    ids: &[&str],
    noise: Noise,
    runs: &Runs,
) -> Vec<Arc<Engine>> {
    let manner = Manner {
        noise: setting.trouble.then_some(noise),
        ..Manner::default()
    };
    let start = |id: &&str| Engine::start(id, manner, runs, &setting.record);
    let engines: Vec<_> = ids.iter().map(start).collect();
    for engine in &engines {
        register(store, &engine.id, engine.addr, || true);
    }
    engines
}

/// Returns the text of an item with this many events.
fn whole_text(id: &str, events: u64) -> String {
    let lines: Vec<String> = (0..events).map(|n| data(id, n)).collect();
    lines.join("\\n")
}

/// MIXED: a server sends a block that is no event within the stream of an item, and breaks off. The block
/// takes the place of the next event in the text of the item.
pub fn noise(setting: &Setting) -> Result<bool, String> {
    let record = &setting.record;
    let store = Store::start();
    store.put("keyed.op", "config", &jobs::config(1, 3, 0));
    let noise = Noise {
        block_bytes: 20,
        blocks: Some(1),
        before: 3,
    };
    let _engines = noisy_engines(setting, &store, &["i-1", "i-2"], noise, &Runs::default());
    let instances = fleet::start(2, store.addr, &setting.folder)?;
    let at = instances[0].public;

    let job = items("item", 1, "/jobs/noisy/e8", 200, 100);
    let body = jobs::submission(&job);
    if jobs::submit(record, at, "job", &body, jobs::TIME_LIMIT).status != 202 {
        return Err("the job is not accepted".to_owned());
    }
    let listed = |text: &str| text.contains("\"state\"");
    let text = jobs::wait_for_results(at, "job", Duration::from_secs(20), listed);
    record.line(&format!("results: {text}"));
    if !listed(&text) {
        return Err("the item has no result".to_owned());
    }
    let whole = format!("\"text\":\"{}\"", whole_text("item-0", 8));
    Ok(!text.contains("\"completed\"") || text.contains(&whole))
}

/// LOST: a server sends 300 KB of blocks that are no events within the stream of one item. The result of
/// that item is larger than a record of the store, and no other result of the instance is written any more.
pub fn oversized(setting: &Setting) -> Result<bool, String> {
    let record = &setting.record;
    let store = Store::start();
    store.put("keyed.op", "config", &jobs::config(1, 3, 0));
    let noise = Noise {
        block_bytes: 1_000,
        blocks: Some(300),
        before: 3,
    };
    let engines = noisy_engines(setting, &store, &["i-1", "i-2"], noise, &Runs::default());
    let instances = fleet::start(2, store.addr, &setting.folder)?;
    let at = instances[0].public;

    let submit = |id: &str, job: &[Item]| {
        let body = jobs::submission(job);
        let answer = jobs::submit(record, at, id, &body, jobs::TIME_LIMIT);
        match answer.status {
            202 => Ok(()),
            _ => Err(format!("{id} is not accepted")),
        }
    };
    submit("job-noisy", &items("noisy", 1, "/jobs/noisy/e8", 200, 100))?;
    sleep(Duration::from_secs(3));
    let sound = items("sound", 20, "/jobs/e8", 200, 100);
    submit("job-sound", &sound)?;

    // `finishS`, and 5 s for the items to run.
    let all = |text: &str| text.matches("\"state\"").count() == sound.len();
    let text = jobs::wait_for_results(at, "job-sound", Duration::from_secs(23), all);
    let ran = |item: &&Item| engines.iter().any(|engine| engine.runs(&item.id) > 0);
    let ran = sound.iter().filter(ran).count();
    let listed = text.matches("\"state\"").count();
    record.line(&format!(
        "{ran} of {} items of job-sound have run, {listed} are listed",
        sound.len()
    ));
    let noisy = jobs::results(at, "job-noisy").unwrap_or_default();
    let noisy: String = noisy.chars().take(100).collect();
    record.line(&format!("results of job-noisy: {noisy}"));
    Ok(listed == sound.len())
}

/// LOST: a server sends blocks that are no events without end within the stream of an item. The instance keeps
/// them all until the platform kills it for its memory, and the requests of its callers are cut.
pub fn endless(setting: &Setting) -> Result<bool, String> {
    let record = &setting.record;
    let store = Store::start();
    store.put("keyed.op", "config", &jobs::config(1, 3, 0));
    let noise = Noise {
        block_bytes: 1_000,
        blocks: None,
        before: 40,
    };
    let runs = Runs::default();
    let faulty = noisy_engines(setting, &store, &["i-1"], noise, &runs);
    let mut instances = fleet::start(2, store.addr, &setting.folder)?;
    let addrs: Vec<SocketAddr> = instances.iter().map(|instance| instance.public).collect();

    let job = items("item", 1, "/jobs/noisy/e60", 200, 100);
    let body = jobs::submission(&job);
    if jobs::submit(record, addrs[0], "job", &body, jobs::TIME_LIMIT).status != 202 {
        return Err("the job is not accepted".to_owned());
    }
    let deadline = Instant::now() + Duration::from_secs(5);
    while faulty[0].runs("item-0") == 0 && Instant::now() < deadline {
        sleep(Duration::from_millis(5));
    }
    // The other servers come now, so that callers get sound ones and the item the faulty one.
    let sound = noisy_engines(setting, &store, &["i-2", "i-3", "i-4"], noise, &runs);
    sleep(Duration::from_millis(600));

    let stopped = Arc::new(AtomicBool::new(false));
    let closed: Arc<Mutex<Vec<(SocketAddr, String)>>> = Arc::default();
    let callers: Vec<_> = (0..20)
        .map(|n| {
            let caller = online::Caller {
                name: format!("c{n}"),
                delay: Duration::from_millis(30 * n as u64),
                at: addrs[n % addrs.len()],
                path: "/once/p500/e2".to_owned(),
                record: record.clone(),
                closed: closed.clone(),
                stopped: stopped.clone(),
            };
            std::thread::spawn(move || caller.run())
        })
        .collect();
    // The platform kills a process that exceeds `memoryMb`.
    let mut killed = HashSet::new();
    let mut most = 0;
    let until = Instant::now() + Duration::from_secs(12);
    while Instant::now() < until && killed.is_empty() {
        for instance in &mut instances {
            let memory = instance.memory_mb().unwrap_or(0);
            most = most.max(memory);
            if memory > MEMORY_MB {
                record.line(&format!("{} uses {memory} MB and is killed", instance.name));
                instance.signal("KILL");
                killed.insert(instance.name.clone());
                sleep(Duration::from_millis(300));
                instance.restart();
            }
        }
        sleep(Duration::from_millis(20));
    }
    sleep(Duration::from_millis(1_000));
    stopped.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let closed = closed.lock().unwrap();
    let passed_on = |(at, id): &&(SocketAddr, String)| {
        let machine = instances.iter().find(|i| i.public == *at);
        machine.is_some_and(|i| killed.contains(&i.name)) && sound.iter().any(|e| e.runs(id) > 0)
    };
    let lost = closed.iter().filter(passed_on).count();
    record.line(&format!(
        "at most {most} MB; {} processes were killed",
        killed.len()
    ));
    record.line(&format!(
        "{lost} requests that sound servers ran were closed without an answer"
    ));
    Ok(killed.is_empty() || lost <= 3)
}

/// MIXED: a server whose answers have no length crashes between two events of an item. The part of the text
/// that it has sent is listed as the whole.
pub fn crash(setting: &Setting) -> Result<bool, String> {
    let record = &setting.record;
    let store = Store::start();
    store.put("keyed.op", "config", &jobs::config(1, 3, 0));
    let mut engine = EngineProcess::start("i-1", record)?;
    let alive = Arc::new(AtomicBool::new(true));
    let is_alive = alive.clone();
    register(&store, &engine.id, engine.addr, move || is_alive.load(Ordering::SeqCst));
    let instances = fleet::start(2, store.addr, &setting.folder)?;
    let at = instances[0].public;

    let job = items("item", 1, "/jobs/e30", 200, 100);
    let body = jobs::submission(&job);
    if jobs::submit(record, at, "job", &body, jobs::TIME_LIMIT).status != 202 {
        return Err("the job is not accepted".to_owned());
    }
    let other = EngineProcess::start("i-2", record)?;
    register(&store, &other.id, other.addr, || true);
    sleep(Duration::from_millis(725));
    if setting.trouble {
        record.line("server i-1 crashes");
        engine.crash();
        alive.store(false, Ordering::SeqCst);
    }
    let listed = |text: &str| text.contains("\"state\"");
    let text = jobs::wait_for_results(at, "job", Duration::from_secs(20), listed);
    record.line(&format!("results: {text}"));
    if !listed(&text) {
        return Err("the item has no result".to_owned());
    }
    let whole = format!("\"text\":\"{}\"", whole_text("item-0", 30));
    Ok(!text.contains("\"completed\"") || text.contains(&whole))
}

/// ORDER: the same as [`crash`] for online streams, on a route that may be resumed and on one that may not.
pub fn crash_online(setting: &Setting) -> Result<bool, String> {
    let record = &setting.record;
    let store = Store::start();
    store.put("keyed.op", "config", &jobs::config(1, 3, 0));
    let mut engine = EngineProcess::start("i-1", record)?;
    let alive = Arc::new(AtomicBool::new(true));
    let is_alive = alive.clone();
    register(&store, &engine.id, engine.addr, move || is_alive.load(Ordering::SeqCst));
    let instances = fleet::start(2, store.addr, &setting.folder)?;
    let at = instances[0].public;
    let callers: Vec<_> = ["again", "once"]
        .map(|route| {
            let record = record.clone();
            std::thread::spawn(move || {
                let id = format!("request-{route}");
                let headers = [
                    ("Host", jobs::HOST),
                    ("X-Api-Key", jobs::KEY),
                    ("X-Request-Identifier", id.as_str()),
                    ("X-Deadline-Milliseconds", "5000"),
                ];
                let first = format!("POST /{route}/e30");
                let response = call(at, &first, &headers, b"hi", Duration::from_secs(6));
                let whole = response.as_ref().map(|r| r.text().contains(&data(&id, 29)));
                let status = response.as_ref().map_or(0, |r| r.status());
                record.line(&format!("{id}: status {status}, complete with the last event: {whole:?}"));
                // An answer that is cut is an error here.
                !matches!(whole, Ok(false)) || status != 200
            })
        })
        .into_iter()
        .collect();
    sleep(Duration::from_millis(300));
    let other = EngineProcess::start("i-2", record)?;
    register(&store, &other.id, other.addr, || true);
    sleep(Duration::from_millis(425));
    if setting.trouble {
        record.line("server i-1 crashes");
        engine.crash();
        alive.store(false, Ordering::SeqCst);
    }
    let held = callers.into_iter().map(|caller| caller.join().unwrap_or(true));
    Ok(held.fold(true, |all, held| all && held))
}

/// `memoryMb` of the machines.
const MEMORY_MB: u64 = 300;
