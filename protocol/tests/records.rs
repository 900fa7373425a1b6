//! Records of the log streams: codec, corrupted records and splitting.

// Test helpers unwrap, which clippy.toml allows only in test functions.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use limpetweir_protocol::records::*;
use limpetweir_state::*;
use proptest::prelude::*;
use rstest::rstest;

fn incarnation() -> Incarnation {
    Incarnation {
        instance: InstanceId::try_from("a".repeat(64)).unwrap(),
        started: u64::MAX,
    }
}

fn entry<R>(body: EntryBody<R>) -> Entry<R> {
    let writer = WriterId {
        incarnation: incarnation(),
        sequence: u64::MAX,
    };
    Entry { writer, body }
}

fn data<R>(record: R) -> Entry<R> {
    entry(EntryBody::Data(record))
}

fn job() -> JobId {
    JobId::try_from("7".repeat(64)).unwrap()
}

fn change(change: JobChange) -> Entry<JobRecord> {
    data(JobRecord {
        epoch: Epoch(u64::MAX),
        at: UnixMillis(u64::MAX),
        change,
    })
}

fn group() -> GroupId {
    GroupId {
        kind: GroupKind::Engine,
        index: 15,
    }
}

fn new_item(prompt: usize) -> NewItem {
    NewItem {
        id: "item".into(),
        prompt: "x".repeat(prompt).into(),
        max_tokens: u32::MAX,
    }
}

fn completion(index: u32, text: usize) -> Completion {
    let text = "x".repeat(text).into();
    let outcome = match index % 2 {
        0 => Outcome::Finished(text),
        _ => Outcome::Failed(text),
    };
    Completion {
        index,
        outcome,
        usage: Usage {
            prompt_tokens: u32::MAX,
            completion_tokens: u32::MAX,
        },
    }
}

fn submission() -> JobChange {
    JobChange::Submit(Submission {
        submission: SubmissionId(3),
        parts: 2,
        job: job(),
        organisation: OrganisationId::try_from("org").unwrap(),
        key: "any key, even with spaces".into(),
        digest: [200; 32],
        service: ServiceId::try_from("chat").unwrap(),
        model: ModelId::try_from("small").unwrap(),
        deadline: UnixMillis(60_000),
        result_retention: Duration::from_secs(86_400),
    })
}

fn publish(document: usize) -> Entry<Publish> {
    data(Publish {
        id: PublicationId::try_from("p").unwrap(),
        base: Version(4),
        document: "x".repeat(document),
    })
}

/// Guards against a job change with a field that encoding or decoding drops or alters.
#[rstest]
#[case::open(JobChange::Open)]
#[case::part(JobChange::SubmitPart {
    submission: SubmissionId(3),
    part: 1,
    items: vec![new_item(0), new_item(5_000)],
})]
#[case::submit(submission())]
#[case::cancel(JobChange::Cancel { job: job() })]
#[case::completed(JobChange::Completed {
    job: job(),
    items: vec![completion(0, 9_000), completion(1, 3)],
})]
#[case::attempts(JobChange::Attempts { job: job(), counts: vec![(1, 2), (3, 4)] })]
#[case::tick(JobChange::Tick)]
fn job_records_round_trip(#[case] body: JobChange) {
    let entry = change(body);
    let buf = encode(entry.clone()).unwrap();
    assert_eq!(decode::<JobRecord>(&buf).unwrap(), entry);
}

/// Guards against a claim record with a field that encoding or decoding drops or alters.
#[rstest]
#[case::claim(ClaimRecord::Claim {
    group: group(),
    holder: incarnation(),
    lease: Duration::from_millis(3_001),
})]
#[case::release(ClaimRecord::Release { group: group(), epoch: Epoch(9) })]
fn claim_records_round_trip(#[case] record: ClaimRecord) {
    let entry = data(record);
    let buf = encode(entry.clone()).unwrap();
    assert_eq!(decode::<ClaimRecord>(&buf).unwrap(), entry);
}

/// Guards against a publication or a snapshot part that encoding or decoding alters.
#[rstest]
#[case::publish(publish(5_000))]
#[case::snapshot(entry(EntryBody::Snapshot(SnapshotPart {
    as_of: Offset(7),
    part: 1,
    parts: 2,
    bytes: (0..=255).cycle().take(10_000).collect(),
})))]
fn config_records_round_trip(#[case] entry: Entry<Publish>) {
    let buf = encode(entry.clone()).unwrap();
    assert_eq!(decode::<Publish>(&buf).unwrap(), entry);
}

/// Guards against a record, truncated at any length, that is decoded or reported as another kind of
/// error.
#[test]
fn truncated_record_is_reported_as_truncated() {
    let buf = encode(change(submission())).unwrap();
    for len in 0..buf.len() {
        let err = decode::<JobRecord>(&buf[..len]).unwrap_err();
        assert_eq!(err.kind(), RecordErrorKind::Truncated, "{len} bytes: {err}");
    }
}

/// Guards against a record of a later version or of another stream that is misread or that stops a
/// reader.
#[rstest]
#[case::version(vec![RECORD_VERSION + 1, 0xa0])]
#[case::other_stream(encode(publish(1)).unwrap())]
#[case::unknown_change(replace(encode(change(JobChange::Tick)).unwrap(), b"Tick", b"Tock"))]
#[case::bad_identifier(replace(
    encode(change(JobChange::Cancel { job: job() })).unwrap(),
    b"7777",
    b"7 77",
))]
#[case::part_beyond_the_last(replace(
    encode(entry::<JobRecord>(EntryBody::Snapshot(SnapshotPart {
        as_of: Offset(7),
        part: 0,
        parts: 1,
        bytes: Vec::new(),
    })))
    .unwrap(),
    b"parts\x01",
    b"parts\x00",
))]
fn unknown_record_is_reported_as_unknown(#[case] buf: Vec<u8>) {
    let err = decode::<JobRecord>(&buf).unwrap_err();
    assert_eq!(err.kind(), RecordErrorKind::Unknown, "{err}");
}

fn replace(mut buf: Vec<u8>, from: &[u8], to: &[u8]) -> Vec<u8> {
    let mut windows = buf.windows(from.len());
    let at = windows.position(|window| window == from).unwrap();
    buf[at..at + from.len()].copy_from_slice(to);
    buf
}

/// Guards against corrupted records that are reported as unknown ones.
#[rstest]
#[case::trailing(|buf: &mut Vec<u8>| buf.push(0))]
#[case::not_cbor(|buf: &mut Vec<u8>| buf[1] = 0xfe)]
fn corrupted_record_is_reported_as_malformed(#[case] corrupt: fn(&mut Vec<u8>)) {
    let mut buf = encode(change(JobChange::Tick)).unwrap();
    corrupt(&mut buf);
    let err = decode::<JobRecord>(&buf).unwrap_err();
    assert_eq!(err.kind(), RecordErrorKind::Malformed, "{err}");
}

/// Guards against an entry that the log service would reject because of its size.
#[test]
fn record_over_the_limit_is_rejected() {
    let err = encode(publish(MAX_RECORD_BYTES)).unwrap_err();
    assert!(matches!(err, RecordError::TooLarge { .. }), "{err}");
    assert_eq!(err.verdict(), Verdict::NotRun);
    let buf = vec![RECORD_VERSION; MAX_RECORD_BYTES + 1];
    assert!(decode::<Publish>(&buf).is_err());
}

/// Guards against parts of a submission that exceed the size limit, or lose or reorder items.
#[rstest]
#[case::small(100_000, 0)]
#[case::medium(10_000, 700)]
#[case::large(9, 1_000_000)]
fn submission_parts_fit_into_records(#[case] count: usize, #[case] prompt: usize) {
    let mut items = vec![new_item(prompt); count];
    for (index, item) in items.iter_mut().enumerate() {
        item.id = index.to_string().into();
    }
    let parts = split_items(items.clone()).unwrap();
    assert!(parts.len() > 1);
    for part in &parts {
        let body = JobChange::SubmitPart {
            submission: SubmissionId(u64::MAX),
            part: u32::MAX,
            items: part.clone(),
        };
        encode(change(body)).unwrap();
    }
    assert_eq!(parts.concat(), items);
}

/// Guards against parts of completions that exceed the size limit, or lose or reorder items.
#[rstest]
#[case::small(100_000, 0)]
#[case::medium(10_000, 700)]
#[case::large(9, 1_000_000)]
fn completion_parts_fit_into_records(#[case] count: u32, #[case] text: usize) {
    let item = |index| completion(u32::MAX - index, text);
    let items: Vec<Completion> = (0..count).map(item).collect();
    let parts = split_completions(items.clone()).unwrap();
    assert!(parts.len() > 1);
    for part in &parts {
        let items = part.clone();
        let body = JobChange::Completed { job: job(), items };
        encode(change(body)).unwrap();
    }
    assert_eq!(parts.concat(), items);
}

/// Guards against an accepted item that does not fit into a record.
#[test]
fn item_over_the_limit_is_rejected() {
    let err = split_items(vec![new_item(1), new_item(MAX_RECORD_BYTES)]).unwrap_err();
    assert!(matches!(err, RecordError::TooLarge { .. }), "{err}");
    let items = vec![completion(0, MAX_RECORD_BYTES)];
    let err = split_completions(items).unwrap_err();
    assert!(matches!(err, RecordError::TooLarge { .. }), "{err}");
}

/// Guards against an empty submission that is rejected or split into an empty part.
#[test]
fn no_items_give_no_parts() {
    assert_eq!(split_items(Vec::new()).unwrap(), Vec::<Vec<NewItem>>::new());
}

/// Guards against a snapshot of several records that does not end a gap.
#[test]
fn snapshot_of_several_records_ends_a_gap() {
    let mut source = Replica::<Jobs>::new();
    let mut next = Offset(0);
    let mut sequence = 0;
    let mut write = |replica: &mut Replica<Jobs>, body: EntryBody<JobRecord>| {
        sequence += 1;
        let mut entry = entry(body);
        entry.writer.sequence = sequence;
        let buf = encode(entry).unwrap();
        let at = next;
        next = at.next();
        replica.read(at, decode(&buf).unwrap())
    };
    let data = |change| {
        EntryBody::Data(JobRecord {
            epoch: Epoch(1),
            at: UnixMillis(1),
            change,
        })
    };
    write(&mut source, data(JobChange::Open));
    let parts = split_items(vec![new_item(3_000); 1_000]).unwrap();
    for (part, items) in (0..).zip(parts) {
        let submission = SubmissionId(3);
        write(
            &mut source,
            data(JobChange::SubmitPart {
                submission,
                part,
                items,
            }),
        );
    }
    let snapshot = source.snapshot().unwrap().unwrap();
    let parts = split_snapshot(&snapshot);
    assert!(parts.len() > 2);

    let mut reader = Replica::<Jobs>::new();
    reader.on_trimmed(source.next());
    let mut outcome = EntryOutcome::AlreadyRead;
    for part in parts {
        assert_eq!(reader.fold(), None);
        outcome = write(&mut reader, EntryBody::Snapshot(part));
    }
    assert!(
        matches!(outcome, EntryOutcome::Recovered { .. }),
        "{outcome:?}"
    );
    assert_eq!(reader.fold(), source.fold());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x6c77_0004),
        failure_persistence: None,
        ..Default::default()
    })]

    /// Guards against bytes that make the decoder panic or allocate unbounded memory.
    #[test]
    fn any_bytes_decode_to_an_entry_or_an_error(
        at in 0..400usize,
        byte in any::<u8>(),
        noise in prop::collection::vec(any::<u8>(), 0..64),
    ) {
        let mut buf = encode(change(submission())).unwrap();
        let at = at % buf.len();
        buf[at] = byte;
        let _ = decode::<JobRecord>(&buf);
        let _ = decode::<JobRecord>(&noise);
        let _ = decode::<ClaimRecord>(&[&[RECORD_VERSION], noise.as_slice()].concat());
    }
}
