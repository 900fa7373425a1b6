//! Copies of the jobs that were listed in pages while records were appended, compared with one that
//! was read from the first record on. The store is a model.

#[path = "support/partition.rs"]
mod partition;

use std::collections::BTreeMap;

use hyper::body::Bytes;
use limpetweir_gateway::{
    Change,
    Decision,
    Job,
    Listing,
    NewItem,
    Outcome,
    Page,
    Partition,
    Pending,
    Record,
    Submission,
    decide, //
};
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

const JOBS: [&str; 3] = ["a", "job", "z"];

/// Largest record; a job has several parts.
const RECORD_BYTES: usize = 400;

/// Items of a job.
const ITEMS: usize = 5;

#[derive(Clone, Debug)]
enum Step {
    Submit(&'static str),
    /// Items end in one append; the records of some of them cannot be decoded.
    Finish(&'static str, Vec<(usize, bool)>),
    /// A writer that can read more records writes a result this far behind the listed ones.
    Other(&'static str, usize, usize),
    End(&'static str),
    Remove(&'static str),
    /// A page of this size is listed if the copy is not loaded.
    Page(usize),
    /// This many records are read if the copy is loaded.
    Read(usize),
    /// Records were missed; the first page of a new listing has this size.
    Missed(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let job = || prop::sample::select(&JOBS[..]);
    let finished = prop::collection::vec((0..ITEMS, prop::bool::weighted(0.3)), 1..4);
    prop_oneof![
        3 => job().prop_map(Step::Submit),
        6 => (job(), finished).prop_map(|(job, items)| Step::Finish(job, items)),
        2 => (job(), 0..3_usize, 0..=ITEMS).prop_map(|(job, by, item)| Step::Other(job, by, item)),
        1 => job().prop_map(Step::End),
        1 => job().prop_map(Step::Remove),
        8 => (1..6_usize).prop_map(Step::Page),
        4 => (1..6_usize).prop_map(Step::Read),
        1 => (1..6_usize).prop_map(Step::Missed),
    ]
}

struct World {
    log: Vec<Record>,
    /// Copy that reads every record as soon as it is appended.
    followed: Partition,
    listed: Partition,
    listing: Listing,
}

impl World {
    fn append(&mut self, records: Vec<Record>) {
        for record in records {
            // Damaged records are skipped.
            let _ = apply_next(&mut self.followed, &record);
            self.log.push(record);
        }
    }

    fn decide(&self, pending: &mut Pending, change: &Change) -> Vec<Record> {
        match decide(jobs(&self.followed), pending, change, RECORD_BYTES) {
            Ok(Decision::Append(records)) => records,
            _ => Vec::new(),
        }
    }

    fn change(&mut self, change: &Change) {
        let records = self.decide(&mut Pending::default(), change);
        self.append(records);
    }

    fn finish(&self, pending: &mut Pending, job: &str, item: usize) -> Vec<Record> {
        let change = Change::Finish {
            job: job.to_owned(),
            item,
            outcome: Outcome::Completed,
            text: format!("{item} at {}", self.log.len()),
        };
        self.decide(pending, &change)
    }

    /// Returns the page after the key `after`, as the store lists it.
    fn newest(&self, after: Option<&str>, size: usize) -> Page {
        let newest: BTreeMap<&str, (u64, &Record)> = (0..)
            .zip(&self.log)
            .map(|(offset, record)| (record.key.as_str(), (offset, record)))
            .collect();
        let kept = newest.into_iter().filter(|(key, (_, record))| {
            !record.value.is_empty() && after.is_none_or(|after| *key > after)
        });
        let mut records: Vec<_> = kept.map(|(_, (o, record))| (o, record.clone())).collect();
        let has_more = records.len() > size;
        records.truncate(size);
        let last = records.last().map(|(_, record)| record.key.clone());
        Page {
            records,
            next: last.filter(|_| has_more),
            end: self.log.len() as u64,
        }
    }

    fn page(&mut self, size: usize) {
        if self.listed.begin_listing() {
            self.listing = Listing::default();
        }
        let page = self.newest(self.listing.after(), size);
        let last = page.next.is_none();
        for (offset, record) in self.listing.add(page) {
            let _ = self.listed.apply(offset, &record);
        }
        if last {
            self.listed.end_listing(self.listing.end());
        }
    }

    fn read(&mut self, most: usize) {
        let next = self.listed.next() as usize;
        for record in self.log[next..].iter().take(most) {
            let _ = apply_next(&mut self.listed, record);
        }
    }

    /// Returns whether `job` is removed by a record that the listed copy has not read.
    fn is_removed(&self, job: &str) -> bool {
        let unread = &self.log[self.listed.next() as usize..];
        unread.iter().any(|record| {
            let id = record.key.strip_prefix("j/");
            record.value.is_empty() && id == Some(job)
        })
    }

    fn step(&mut self, step: &Step) {
        let is_loaded = self.listed.is_loaded();
        match step {
            Step::Submit(job) => self.change(&submission(job, self.log.len())),
            Step::Finish(job, items) => {
                let mut pending = Pending::default();
                let mut records = Vec::new();
                for (item, is_damaged) in items {
                    for mut record in self.finish(&mut pending, job, *item) {
                        if *is_damaged {
                            record.value = Bytes::from_static(b"\xff");
                        }
                        records.push(record);
                    }
                }
                self.append(records);
            }
            Step::Other(job, by, item) => {
                let known = jobs(&self.followed).get(job);
                let listed = known.map_or(0, |job| job.results.len());
                let mut records = self.finish(&mut Pending::default(), job, *item);
                for record in &mut records {
                    record.key = format!("r/{job}/{:04}", listed + by);
                }
                self.append(records);
            }
            Step::End(job) => self.change(&Change::End {
                job: (*job).to_owned(),
            }),
            Step::Remove(job) => self.change(&Change::Remove {
                job: (*job).to_owned(),
            }),
            Step::Page(size) if !is_loaded => self.page(*size),
            Step::Read(most) if is_loaded => self.read(*most),
            Step::Missed(size) if is_loaded => {
                self.listed.set_missed(u64::MAX);
                self.page(*size);
            }
            Step::Page(_) | Step::Read(_) | Step::Missed(_) => {}
        }
    }

    /// Checks that the results that the listed copy shows are those of the other copy.
    fn check(&self) {
        let Some(listed) = self.listed.loaded() else {
            return;
        };
        for (id, job) in listed.iter().filter(|(id, _)| !self.is_removed(id)) {
            let results = &jobs(&self.followed).get(id).expect("the job").results;
            assert!(
                results.starts_with(&job.results),
                "{id}: {:?} instead of {results:?}",
                job.results
            );
        }
    }
}

fn submission(id: &str, at: usize) -> Change {
    let item = |n| NewItem {
        id: format!("item-{n} at {at}"),
        path: "/p".to_owned(),
        headers: Vec::new(),
        body: Bytes::from(vec![7; 10]),
        tokens: 1,
    };
    Change::Submit(Submission {
        id: id.to_owned(),
        organisation: "org".to_owned(),
        route: "route".to_owned(),
        host: "host".to_owned(),
        submitted: at as u64,
        waiting_tokens: None,
        items: (0..ITEMS).map(item).collect(),
    })
}

fn view(partition: &Partition) -> BTreeMap<&String, String> {
    let view = |job: &Job| {
        let items: Vec<_> = job.items.iter().map(|item| &item.id).collect();
        format!("{} {items:?} {:?}", job.ended, job.results)
    };
    let jobs = jobs(partition).iter();
    jobs.map(|(id, job)| (id, view(job))).collect()
}

/// Guards against a result that an instance shows at a position where another one shows none or
/// another one, because one has listed the records and the other has read them one by one.
#[test]
fn a_listed_copy_shows_what_a_copy_that_read_every_record_shows() {
    let config = Config {
        cases: 600,
        rng_seed: RngSeed::Fixed(0x6c77_0303),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = prop::collection::vec(step(), 10..120);
    let result = TestRunner::new(config).run(&steps, |steps| {
        let mut world = World {
            log: Vec::new(),
            followed: empty(),
            listed: Partition::default(),
            listing: Listing::default(),
        };
        for step in &steps {
            world.step(step);
            world.check();
        }
        while !world.listed.is_loaded() {
            world.page(5);
        }
        world.read(usize::MAX);
        assert_eq!(view(&world.listed), view(&world.followed));
        Ok(())
    });
    result.expect("equal copies");
}
