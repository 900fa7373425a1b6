//! Builders shared by the tests.

// Each test target compiles this module and uses only some of it. clippy.toml allows unwrap only in
// test functions.
#![allow(dead_code, unreachable_pub, clippy::unwrap_used)]

use limpetweir_state::*;

pub fn incarnation(name: &str) -> Incarnation {
    Incarnation {
        instance: InstanceId::try_from(name).unwrap(),
        started: 1_000,
    }
}

pub fn writer(name: &str, sequence: u64) -> WriterId {
    WriterId {
        incarnation: incarnation(name),
        sequence,
    }
}

pub fn data<R>(name: &str, sequence: u64, record: R) -> Entry<R> {
    Entry {
        writer: writer(name, sequence),
        body: EntryBody::Data(record),
    }
}

/// Splits a snapshot into entries with consecutive sequences, starting at `sequence`.
pub fn snapshot_entries<R>(
    name: &str,
    sequence: u64,
    snapshot: &Snapshot,
    parts: usize,
) -> Vec<Entry<R>> {
    let size = snapshot.bytes.len().div_ceil(parts);
    let chunks: Vec<&[u8]> = snapshot.bytes.chunks(size).collect();
    let total = u32::try_from(chunks.len()).unwrap();
    let entry = |(index, chunk): (usize, &&[u8])| Entry {
        writer: writer(name, sequence + index as u64),
        body: EntryBody::Snapshot(SnapshotPart {
            as_of: snapshot.as_of,
            part: u32::try_from(index).unwrap(),
            parts: total,
            bytes: chunk.to_vec(),
        }),
    };
    chunks.iter().enumerate().map(entry).collect()
}

pub fn publish(id: &str, base: u64, document: &str) -> Publish {
    Publish {
        id: PublicationId::try_from(id).unwrap(),
        base: Version(base),
        document: document.to_owned(),
    }
}

pub const RETENTION_MS: u64 = 1_000;

pub fn record(epoch: u64, at: u64, change: JobChange) -> JobRecord {
    JobRecord {
        epoch: Epoch(epoch),
        at: UnixMillis(at),
        change,
    }
}

pub fn organisation(name: &str) -> OrganisationId {
    OrganisationId::try_from(name).unwrap()
}

pub fn job(name: &str) -> JobId {
    JobId::try_from(name).unwrap()
}

pub fn new_item(n: u32) -> NewItem {
    NewItem {
        id: format!("item {n}").into(),
        prompt: format!("prompt {n}").into(),
        max_tokens: 16,
    }
}

pub fn part(submission: u64, part: u32, items: std::ops::Range<u32>) -> JobChange {
    JobChange::SubmitPart {
        submission: SubmissionId(submission),
        part,
        items: items.map(new_item).collect(),
    }
}

/// Returns the submission of a job of the organisation `org`; its identifier equals its key.
pub fn submit(submission: u64, parts: u32, key: &str, digest: u8) -> JobChange {
    JobChange::Submit(Submission {
        submission: SubmissionId(submission),
        parts,
        job: job(key),
        organisation: organisation("org"),
        key: key.into(),
        digest: [digest; 32],
        service: ServiceId::try_from("chat").unwrap(),
        model: ModelId::try_from("small").unwrap(),
        deadline: UnixMillis(60_000),
        result_retention: std::time::Duration::from_millis(RETENTION_MS),
    })
}

pub fn finished(index: u32, text: &str) -> Completion {
    Completion {
        index,
        outcome: Outcome::Finished(text.into()),
        usage: Usage {
            prompt_tokens: 2,
            completion_tokens: 3,
        },
    }
}

pub fn failed(index: u32) -> Completion {
    Completion {
        index,
        outcome: Outcome::Failed("no engine accepts the prompt".into()),
        usage: Usage::default(),
    }
}

pub fn completed(key: &str, items: Vec<Completion>) -> JobChange {
    let job = job(key);
    JobChange::Completed { job, items }
}

pub fn cancel(key: &str) -> JobChange {
    JobChange::Cancel { job: job(key) }
}

/// Configuration of a property test with a fixed seed, so that every run is the same.
pub fn seeded_config(seed: u64, cases: u32) -> proptest::test_runner::Config {
    proptest::test_runner::Config {
        cases,
        rng_seed: proptest::test_runner::RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Default::default()
    }
}
