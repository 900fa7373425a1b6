//! Records of jobs in the store.

use limpetweir_gateway::{
    Change,
    Decision,
    NewItem,
    Outcome,
    Partition,
    Pending,
    Record,
    Submission,
    decide, //
};
use proptest::prelude::*;

use super::bytes::{
    fuzz,
    mutated, //
};
use super::partition::{
    apply_next,
    empty,
    jobs, //
};

/// Keys of records of the job, of another one and of none.
const KEYS: [&str; 12] = [
    "j/job",
    "p/job/0000",
    "p/job/4294967295",
    "r/job/0000",
    "r/job/4294967296",
    "e/job",
    "x",
    "",
    "r/job/-1",
    "j/other",
    "p/other/0000",
    "r/other/0000",
];

const RECORD_BYTES: usize = 64 << 10;

fn submission() -> Submission {
    let item = |n: usize| NewItem {
        id: format!("item-{n}"),
        path: "/path".to_owned(),
        headers: vec![("X-Model".to_owned(), "m".to_owned())],
        body: vec![7; 10].into(),
        tokens: 100,
    };
    Submission {
        id: "job".to_owned(),
        organisation: "org".to_owned(),
        route: "route".to_owned(),
        host: "host".to_owned(),
        submitted: 1_000,
        waiting_tokens: None,
        items: (0..3).map(item).collect(),
    }
}

fn append(state: &mut Partition, change: &Change) -> Vec<Record> {
    let decision = decide(jobs(state), &mut Pending::default(), change, RECORD_BYTES);
    let Ok(Decision::Append(records)) = decision else {
        panic!("expected records and got {decision:?}");
    };
    for record in &records {
        apply_next(state, record).expect("a record of this format");
    }
    records
}

/// Returns the records of a job with one result.
fn records() -> Vec<Record> {
    let mut state = empty();
    let mut records = append(&mut state, &Change::Submit(submission()));
    let finish = Change::Finish {
        job: "job".to_owned(),
        item: 1,
        outcome: Outcome::Completed,
        text: "text".to_owned(),
    };
    records.extend(append(&mut state, &finish));
    let end = "job".to_owned();
    records.extend(append(&mut state, &Change::End { job: end }));
    records
}

/// Guards against a record that stops an instance, and against a job whose results are more than its
/// items.
#[test]
fn a_record_of_any_bytes_is_applied_or_skipped() {
    let records = records();
    let values = records.iter().map(|record| record.value.to_vec());
    let inputs = (prop::sample::select(&KEYS[..]), mutated(values.collect()));
    let inputs = prop::collection::vec(inputs, 1..4);
    let mut applied = 0;
    fuzz(0x6c77_0203, inputs, |odd| {
        let mut state = empty();
        // Odd records before, between and after the good ones.
        let mut good = records.iter();
        for (key, value) in &odd {
            let odd = Record {
                key: (*key).to_owned(),
                value: value.clone().into(),
            };
            applied += usize::from(apply_next(&mut state, &odd).is_ok());
            if let Some(record) = good.next() {
                apply_next(&mut state, record).expect("a record of this format");
            }
        }
        for record in good {
            apply_next(&mut state, record).expect("a record of this format");
        }
        let bytes: usize = odd.iter().map(|(_, value)| value.len()).sum();
        for (_, job) in jobs(&state).iter() {
            assert!(job.results.len() <= job.items.len());
            assert!(job.results.iter().all(|r| r.item < job.items.len()));
            assert!(job.items.len() <= bytes + 3);
            job.waiting_tokens();
        }
    });
    assert!(applied > 0);
}
