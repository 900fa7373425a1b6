//! The decisions of the writer of the jobs, over all orders of a few events, with a store that is a
//! model.

#[path = "support/partition.rs"]
mod partition;

use std::time::Duration;

use hyper::body::Bytes;
use limpetweir_gateway::{
    CallEnd,
    CallLimits,
    Change,
    ChangeQueue,
    NewItem,
    Outcome,
    Partition,
    Pending,
    PreparedCall,
    QueuedChange,
    Record,
    Submission,
    WriteError,
    decide, //
};
use limpetweir_state::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::{
    Config,
    RngSeed,
    TestRunner, //
};

use partition::{
    apply_next,
    empty,
    jobs, //
};

const LIMITS: CallLimits = CallLimits {
    record_bytes: 4_096,
    call_bytes: 16_384,
};

/// Time for which a caller waits.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Number of items of the first job, each of which may be finished once.
const ITEMS: usize = 10;

/// Number of jobs that may be ended once.
const JOBS: usize = 10;

/// What becomes of an append, and what the writer hears of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// It is executed, and the answer arrives.
    Answered,
    /// It is executed, and the answer is lost.
    AnswerLost,
    /// The writer gives it up, and it is executed later if its condition still holds.
    Late,
    /// It is never executed, and the writer does not know.
    Lost,
    /// 503.
    Rejected,
    /// 400.
    Refused,
    /// 500 without an effect.
    Failed,
    /// 500, and it is executed.
    FailedLate,
    /// The writer panics; the append is executed.
    Panic,
    /// The writer panics; the append is executed later.
    PanicLate,
}

/// An event.
#[derive(Clone, Debug)]
enum Step {
    Submit,
    End,
    Finish,
    /// The writer makes a call.
    Call(Fate),
    /// Another instance appends this many records at once.
    Other(usize),
    /// The store executes the appends that are late.
    Execute,
    /// This instance reads this many records.
    Read(usize),
    ReadToEnd,
    Wait(u64),
    Settle,
}

fn step() -> impl Strategy<Value = Step> {
    let fate = prop::sample::select(
        &[
            Fate::Answered,
            Fate::AnswerLost,
            Fate::Late,
            Fate::Lost,
            Fate::Rejected,
            Fate::Refused,
            Fate::Failed,
            Fate::FailedLate,
            Fate::Panic,
            Fate::PanicLate,
        ][..],
    );
    prop_oneof![
        4 => Just(Step::Submit),
        2 => Just(Step::End),
        2 => Just(Step::Finish),
        10 => fate.prop_map(Step::Call),
        2 => (1..4_usize).prop_map(Step::Other),
        4 => Just(Step::Execute),
        4 => (1..4_usize).prop_map(Step::Read),
        4 => Just(Step::ReadToEnd),
        4 => (100..1_500_u64).prop_map(Step::Wait),
        6 => Just(Step::Settle),
    ]
}

fn submission(id: String, items: usize) -> Change {
    let item = |n| NewItem {
        id: format!("{id}-{n}"),
        path: "/p".to_owned(),
        headers: Vec::new(),
        body: Bytes::from(vec![7; 1_000]),
        tokens: 1,
    };
    Change::Submit(Submission {
        items: (0..items).map(item).collect(),
        id,
        organisation: "org".to_owned(),
        route: "route".to_owned(),
        host: "host".to_owned(),
        submitted: 0,
        waiting_tokens: None,
    })
}

/// Returns the records of a change, decided on the state of the store itself.
fn records_of(state: &Partition, change: &Change) -> Vec<Record> {
    let mut queue = ChangeQueue::default();
    queue.push(QueuedChange::new(change.clone(), None, 0));
    prepare(&mut queue, state).records
}

fn prepare(queue: &mut ChangeQueue<usize>, state: &Partition) -> PreparedCall {
    queue.prepare(
        jobs(state),
        LIMITS,
        |pending: &mut Pending, change: &Change| {
            decide(jobs(state), pending, change, LIMITS.record_bytes / 2)
        },
    )
}

struct World {
    log: Vec<Record>,
    /// State of the store, as of all its records.
    truth: Partition,
    /// State of this instance.
    known: Partition,
    late: Vec<(u64, Vec<Record>)>,
    queue: ChangeQueue<usize>,
    changes: Vec<Change>,
    /// Changes of which it was said that they have no effect.
    denied: Vec<usize>,
    now: Timestamp,
    others: usize,
    finished: usize,
    ended: usize,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            log: Vec::new(),
            truth: empty(),
            known: empty(),
            late: Vec::new(),
            queue: ChangeQueue::default(),
            changes: Vec::new(),
            denied: Vec::new(),
            now: Timestamp::from_millis(1_000),
            others: 0,
            finished: 0,
            ended: 0,
        };
        let first = submission("first".to_owned(), ITEMS);
        world.append(records_of(&world.truth, &first));
        for n in 0..JOBS {
            let job = submission(format!("open-{n}"), 1);
            world.append(records_of(&world.truth, &job));
        }
        world.read(usize::MAX);
        world
    }

    fn append(&mut self, records: Vec<Record>) {
        for record in records {
            apply_next(&mut self.truth, &record).expect("a record of a job");
            self.log.push(record);
        }
    }

    /// Executes an append if its condition holds.
    fn execute(&mut self, at: u64, records: Vec<Record>) -> bool {
        let holds = at == self.log.len() as u64;
        if holds {
            self.append(records);
        }
        holds
    }

    fn read(&mut self, most: usize) {
        let next = self.known.next() as usize;
        let end = self.log.len().min(next.saturating_add(most));
        for record in &self.log[next..end] {
            apply_next(&mut self.known, record).expect("a record of a job");
        }
    }

    fn push(&mut self, change: Change) {
        let is_urgent = !matches!(change, Change::Finish { .. });
        let deadline = is_urgent.then(|| self.now + CALL_TIMEOUT);
        let ticket = self.changes.len();
        self.changes.push(change.clone());
        self.queue.push(QueuedChange::new(change, deadline, ticket));
    }

    fn call(&mut self, fate: Fate) {
        let PreparedCall { at, records } = prepare(&mut self.queue, &self.known);
        self.check_settled();
        if records.is_empty() {
            return;
        }
        let unknown = || CallEnd::Unknown("no answer".to_owned());
        let end = match fate {
            Fate::Answered => match self.execute(at, records.clone()) {
                true => {
                    // The instance applies what it has appended.
                    self.read(records.len());
                    CallEnd::Done
                }
                false => CallEnd::OffsetMismatch,
            },
            Fate::AnswerLost => {
                self.execute(at, records);
                unknown()
            }
            Fate::Late => {
                self.late.push((at, records));
                unknown()
            }
            Fate::Lost => unknown(),
            Fate::Rejected => CallEnd::NotDone("status 503".to_owned()),
            Fate::Refused => CallEnd::Refused("status 400".to_owned()),
            Fate::Failed => CallEnd::Failed("status 500".to_owned()),
            Fate::FailedLate => {
                self.execute(at, records);
                CallEnd::Failed("status 500".to_owned())
            }
            Fate::Panic | Fate::PanicLate => {
                if fate == Fate::Panic {
                    self.execute(at, records);
                } else {
                    self.late.push((at, records));
                }
                self.queue.recover();
                return;
            }
        };
        self.queue.call_ended(end);
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Submit => {
                let id = format!("job-{}", self.changes.len());
                self.push(submission(id, 1 + self.changes.len() % 4));
            }
            Step::End if self.ended < JOBS => {
                self.push(Change::End {
                    job: format!("open-{}", self.ended),
                });
                self.ended += 1;
            }
            Step::Finish if self.finished < ITEMS => {
                self.push(Change::Finish {
                    job: "first".to_owned(),
                    item: self.finished,
                    outcome: Outcome::Completed,
                    text: "text".to_owned(),
                });
                self.finished += 1;
            }
            Step::End | Step::Finish => {}
            Step::Call(fate) => self.call(*fate),
            Step::Other(items) => {
                self.others += 1;
                let change = submission(format!("other-{}", self.others), *items * 2);
                self.append(records_of(&self.truth, &change));
            }
            Step::Execute => {
                for (at, records) in std::mem::take(&mut self.late) {
                    self.execute(at, records);
                }
            }
            Step::Read(most) => self.read(*most),
            Step::ReadToEnd => {
                self.read(usize::MAX);
                self.queue.read_to_end(self.known.next());
            }
            Step::Wait(ms) => self.now = self.now + Duration::from_millis(*ms),
            Step::Settle => self.queue.settle_known(self.known.loaded(), self.now),
        }
        self.check_settled();
    }

    fn check_settled(&mut self) {
        for settled in self.queue.take_settled() {
            let change = &self.changes[settled.ticket];
            match settled.outcome {
                Ok(()) => assert!(change.is_done(jobs(&self.truth)), "not there: {change:?}"),
                Err(WriteError::Unknown { .. }) => {}
                Err(_) => self.denied.push(settled.ticket),
            }
        }
        for ticket in &self.denied {
            let change = &self.changes[*ticket];
            assert!(
                !change.is_done(jobs(&self.truth)),
                "denied, and there: {change:?}"
            );
        }
    }
}

/// Guards against a caller that is told that its change has no effect while its record is in the store
/// or can still arrive there, and against one that is told that it is there when it is not.
#[test]
fn no_change_is_denied_that_is_there_or_can_still_arrive() {
    let config = Config {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(0x6c77_0301),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = prop::collection::vec(step(), 5..60);
    let result = TestRunner::new(config).run(&steps, |steps| {
        let mut world = World::new();
        for step in &steps {
            world.step(step);
        }
        world.step(&Step::Execute);
        Ok(())
    });
    result.expect("every outcome is true");
}

/// Guards against a change that is forgotten, whatever happens to the calls before.
#[test]
fn every_change_gets_an_outcome_once_calls_succeed() {
    let config = Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(0x6c77_0302),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = prop::collection::vec(step(), 5..60);
    let result = TestRunner::new(config).run(&steps, |steps| {
        let mut world = World::new();
        for step in &steps {
            world.step(step);
        }
        world.step(&Step::Execute);
        for _ in 0..200 {
            world.step(&Step::ReadToEnd);
            world.step(&Step::Settle);
            world.step(&Step::Call(Fate::Answered));
        }
        assert!(world.queue.is_empty(), "{:?}", world.queue);
        Ok(())
    });
    result.expect("an empty queue");
}
