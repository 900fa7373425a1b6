//! Test fleet: instances as processes, with stand-ins for the platform and the engines.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::fs;
use std::ops::Deref;
use std::path::{
    Path,
    PathBuf, //
};
use std::time::Duration;

use limpetweir_protocol::http::{
    ItemOutcome,
    ItemResult,
    JobAccepted,
    JobResults,
    JobState,
    JobStatus, //
};
use limpetweir_standins::client::Received;
use limpetweir_standins::engine::text::prompt_tokens;
use limpetweir_standins::engine::{
    EngineControl,
    RequestOutcome,
    RequestRecord, //
};
use limpetweir_standins::fleet::{
    self,
    Document,
    FleetError,
    InstanceSettings,
    Item,
    Platform,
    ProcessInstance,
    bearer,
    control, //
};
use limpetweir_standins::harness::{
    Launch,
    Process, //
};
use limpetweir_standins::log::{
    LogControl,
    Outage, //
};
use serde_json::Value;

/// Timeout of every wait, far longer than any test needs; reaching it means that the test hangs.
pub(crate) const WAIT: Duration = Duration::from_secs(90);

pub(crate) const MODEL: &str = "reef-1";

/// A configured model that no engine has loaded when it starts.
pub(crate) const SECOND_MODEL: &str = "reef-2";

pub(crate) const KEY: &str = "key-of-the-reef-organisation";
pub(crate) const OTHER_KEY: &str = "key-of-the-gulf-organisation";

/// Sizes of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Setup {
    /// Name of the test, used in its file names.
    pub(crate) name: &'static str,
    pub(crate) instances: usize,
    pub(crate) engines: usize,
    /// Fixed part of the duration of an engine step, in microseconds.
    pub(crate) step_us: u32,
}

impl Setup {
    /// Returns a setup of 3 instances and 2 engines with steps of 200 microseconds.
    pub(crate) fn named(name: &'static str) -> Self {
        Self {
            name,
            instances: 3,
            engines: 2,
            step_us: 200,
        }
    }
}

/// Time that an engine takes to load a model, in milliseconds.
const LOAD_TIME_MS: &str = "2000";

/// Slots of each engine.
pub(crate) const SLOTS: usize = 8;

/// A running fleet.
pub(crate) struct Fleet {
    // Fields are dropped in this order, so that the instances end before the stand-ins.
    members: fleet::Fleet<ProcessInstance>,
    pub(crate) engines: Vec<Process>,
    setup: Setup,
}

/// Returns the name of an instance.
fn name(index: usize) -> String {
    format!("a{index}")
}

/// Returns the directory of the files of the instances and the prefix of their names.
fn file_location(setup: Setup) -> (&'static Path, String) {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR"));
    (directory, format!("batch-{}", setup.name))
}

fn start_instance(setup: Setup, index: usize, platform: &Platform) -> ProcessInstance {
    let settings = InstanceSettings {
        groups: Some(4),
        timing: vec![("discovery_ttl_ms", 1000)],
        ..InstanceSettings::new(&name(index), &format!("z{index}"), platform)
    };
    let (directory, label) = file_location(setup);
    ProcessInstance::start(&settings, directory, &label).unwrap()
}

fn log_file(setup: Setup, index: usize) -> PathBuf {
    let (directory, label) = file_location(setup);
    ProcessInstance::log_file(directory, &label, &name(index))
}

fn engine(setup: Setup) -> Process {
    let step = setup.step_us.to_string();
    let slots = SLOTS.to_string();
    let launch = Launch::standin("engine").unwrap();
    let launch = launch.args(["--step-base-us", &step, "--step-per-sequence-us", "10"]);
    let launch = launch.args(["--load-time-ms", LOAD_TIME_MS, "--slots", &slots]);
    launch.spawn().unwrap()
}

impl Deref for Fleet {
    type Target = fleet::Fleet<ProcessInstance>;

    fn deref(&self) -> &Self::Target {
        &self.members
    }
}

impl Fleet {
    /// Starts a fleet and waits until the configuration is in force at each instance.
    pub(crate) fn start(setup: Setup) -> Self {
        let platform = Platform::start(&["--lag-ms", "0"]).unwrap();
        let mut members = fleet::Fleet::new(platform, WAIT);
        for index in 0..setup.instances {
            members.add(start_instance(setup, index, members.platform()));
        }
        let fleet = Self {
            members,
            engines: (0..setup.engines).map(|_| engine(setup)).collect(),
            setup,
        };
        let backends = (0..setup.engines).map(|n| format!("e{n}"));
        fleet.enlist(fleet.names(), backends).unwrap();
        fleet.publish_document();
        fleet
    }

    fn document(&self) -> Document {
        let models = format!("kind = \"model\"\nmodels = [\"{MODEL}\", \"{SECOND_MODEL}\"]");
        let limit = (10_000.0, 10_000.0);
        Document::new()
            .organisation("reef", limit, &["chat"], &[("k1", KEY)])
            .organisation("gulf", limit, &["chat"], &[("k1", OTHER_KEY)])
            .service(
                "chat",
                &models,
                'e',
                self.engines.iter().map(Process::address),
            )
    }

    /// Publishes the configuration and waits until it is in force at each instance.
    fn publish_document(&self) {
        let text = self.document().to_string();
        self.publish_accepted(&name(0), 0, "first", &text).unwrap();
        for index in 0..self.setup.instances {
            eventually("the configuration is in force", || {
                let response = self.call(index, "GET", "/v1/jobs/0-none", KEY, &[], Vec::new());
                response.is_ok_and(|response| response.status == 404)
            });
        }
    }

    /// Returns a running instance.
    pub(crate) fn instance(&self, index: usize) -> &ProcessInstance {
        self.get(&name(index)).unwrap()
    }

    pub(crate) fn instance_mut(&mut self, index: usize) -> &mut ProcessInstance {
        self.members.get_mut(&name(index)).unwrap()
    }

    /// Stops an instance gracefully and waits for its end.
    pub(crate) fn stop(&mut self, index: usize) {
        self.members
            .remove(&name(index))
            .unwrap()
            .stop(WAIT)
            .unwrap();
    }

    /// Kills an instance.
    pub(crate) fn kill(&mut self, index: usize) {
        self.members.remove(&name(index)).unwrap().kill().unwrap();
    }

    /// Returns the index of the instance that accepted a job as its owner, according to its log.
    pub(crate) fn owner_of(&self, job: &JobAccepted) -> usize {
        let line = format!("LW1810 job={} ", job.id);
        let accepted = |index: &usize| {
            let text = fs::read_to_string(log_file(self.setup, *index)).unwrap();
            text.contains(&line)
        };
        (0..self.setup.instances).find(accepted).unwrap()
    }

    /// Returns the distinct lines of one event in the logs of all instances.
    pub(crate) fn events(&self, number: &str) -> BTreeSet<String> {
        let logs = (0..self.setup.instances).map(|index| log_file(self.setup, index));
        let lines = logs.flat_map(|path| {
            let text = fs::read_to_string(path).unwrap();
            text.lines().map(str::to_owned).collect::<Vec<_>>()
        });
        let events = lines.filter_map(|line| Some(line.split_once(number)?.1.to_owned()));
        events.collect()
    }

    /// Checks that the engines completed `expected` items, each from its start only once.
    ///
    /// An item that is stopped just as it ends is completed a second time from its last token, so
    /// resumed runs are not counted. Instances may hand groups over to preferred owners at any
    /// time; each hand-over may repeat the items in flight.
    pub(crate) fn check_runs(&self, expected: usize) {
        let records = self.records();
        let completed = records
            .iter()
            .filter(|record| record.outcome == RequestOutcome::Completed);
        let items: BTreeSet<&str> = completed.clone().map(|r| r.content_hash.as_str()).collect();
        assert_eq!(items.len(), expected);
        let full_runs = completed.filter(|record| record.resume_tokens == 0).count();
        let hand_overs = self.events("LW1503").len() + self.events("LW1504").len();
        let in_flight = self.engines.len() * (SLOTS + 2);
        assert!(
            full_runs <= expected + hand_overs * in_flight,
            "{full_runs} full runs of {expected} items with {hand_overs} hand-overs"
        );
    }

    /// Sends a request to an instance.
    pub(crate) fn call(
        &self,
        index: usize,
        method: &str,
        path: &str,
        key: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<Received, FleetError> {
        let authorization = bearer(key);
        let mut all = vec![("authorization", authorization.as_str())];
        all.extend_from_slice(headers);
        self.public(&name(index), method, path, &all, body)
    }

    /// Submits a body once and returns the response.
    pub(crate) fn post_job(&self, index: usize, key: &str, body: Vec<u8>) -> Received {
        let headers = [("idempotency-key", key)];
        let response = self.call(index, "POST", "/v1/jobs", KEY, &headers, body);
        response.unwrap()
    }

    /// Submits a body as a client does: repeats it while the response is a 503 with a retry delay.
    pub(crate) fn submit_body(&self, index: usize, key: &str, body: &Value) -> Received {
        let mut last = None;
        eventually("the job request gets a final response", || {
            let response = self.post_job(index, key, body.to_string().into_bytes());
            let retry = response.status == 503 && response.header("retry-after").is_some();
            last = Some(response);
            !retry
        });
        last.unwrap()
    }

    /// Submits a job and repeats it until it is accepted.
    pub(crate) fn submit(&self, index: usize, key: &str, items: &[Item]) -> JobAccepted {
        let response = self.submit_body(index, key, &job_body(items));
        assert_eq!(response.status, 200, "{}", response.text());
        response.json().unwrap()
    }

    /// Returns the status of a job; repeats the request while the instance responds with 503.
    pub(crate) fn status(&self, index: usize, job: &JobAccepted) -> JobStatus {
        let path = format!("/v1/jobs/{}", job.id);
        self.get_json(index, &path)
    }

    fn get_json<T: serde::de::DeserializeOwned>(&self, index: usize, path: &str) -> T {
        let mut found = None;
        eventually(path, || {
            let response = self.call(index, "GET", path, KEY, &[], Vec::new()).unwrap();
            assert!([200, 503].contains(&response.status), "{}", response.text());
            found = (response.status == 200).then(|| response.json().unwrap());
            found.is_some()
        });
        found.unwrap()
    }

    /// Waits until a job has ended and returns its status.
    pub(crate) fn await_end(&self, index: usize, job: &JobAccepted) -> JobStatus {
        let mut last = self.status(index, job);
        eventually("the job ends", || {
            last = self.status(index, job);
            last.state != JobState::Running
        });
        last
    }

    /// Reads all results in pages of `limit` items.
    pub(crate) fn results(&self, index: usize, job: &JobAccepted, limit: u32) -> Vec<ItemResult> {
        let mut results = Vec::new();
        let mut from = Some(0);
        while let Some(start) = from {
            let path = format!("/v1/jobs/{}/results?from={start}&limit={limit}", job.id);
            let page: JobResults = self.get_json(index, &path);
            assert!(page.results.len() <= limit as usize);
            results.extend(page.results);
            from = page.next;
        }
        results
    }

    /// Checks that each item of a job has exactly one correct result and is billed once.
    pub(crate) fn check_complete(&self, index: usize, job: &JobAccepted, items: &[Item]) {
        let status = self.await_end(index, job);
        assert_eq!(status.state, JobState::Completed);
        let results = self.results(index, job, 7);
        assert_eq!(results.len(), items.len());
        let mut usage = (0, 0);
        for (at, (result, item)) in results.iter().zip(items).enumerate() {
            assert_eq!(result.index as usize, at);
            assert_eq!(result.id, item.id);
            match &result.outcome {
                ItemOutcome::Failed { .. } => assert!(item.is_poison(), "{result:?}"),
                ItemOutcome::Completed { text, usage: used } => {
                    assert!(!item.is_poison());
                    assert_eq!(*text, item.text(), "item {at}");
                    assert_eq!(used.completion_tokens, item.tokens());
                    usage.0 += prompt_tokens(&item.prompt) as u64;
                    usage.1 += item.tokens();
                }
                ItemOutcome::Cancelled => panic!("{result:?}"),
            }
        }
        let billed = (status.usage.prompt_tokens, status.usage.completion_tokens);
        assert_eq!(billed, usage, "each item is billed once");
    }

    /// Returns the request records of all engines.
    pub(crate) fn records(&self) -> Vec<RequestRecord> {
        let records = |engine| fleet::records(engine, "requests").unwrap();
        self.engines.iter().flat_map(records).collect()
    }

    /// Returns the number of engine requests by outcome.
    pub(crate) fn outcomes(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for record in self.records() {
            *counts.entry(format!("{:?}", record.outcome)).or_default() += 1;
        }
        counts
    }

    pub(crate) fn control_engines(&self, change: &EngineControl) {
        for engine in &self.engines {
            control(engine, change).unwrap();
        }
    }

    pub(crate) fn set_outage(&self, outage: Outage) {
        let change = LogControl {
            outage: Some(outage),
            ..LogControl::default()
        };
        self.platform().control_log(&change).unwrap();
    }
}

/// Waits until `check` returns true.
pub(crate) fn eventually(what: &str, check: impl FnMut() -> bool) {
    fleet::eventually(what, WAIT, check).unwrap();
}

/// Returns `count` items with distinct prompts; every `poison`th item always fails.
pub(crate) fn items(count: usize, max_tokens: u32, poison: Option<usize>) -> Vec<Item> {
    fleet::items(MODEL, count, max_tokens, poison)
}

pub(crate) fn job_body(items: &[Item]) -> Value {
    let model = items.first().map_or(MODEL, |item| item.model);
    fleet::job_body(model, items)
}

/// Checks that a response is an error in the documented format and returns its code.
pub(crate) fn error_code(response: &Received, status: u16, verdict: &str) -> String {
    fleet::error_code(response, status, verdict).unwrap()
}
