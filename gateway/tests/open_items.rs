//! Open items: their assignment to instances, the step after a run, and when they are given up.

#[path = "support/partition.rs"]
mod partition;

use std::collections::HashMap;
use std::time::Duration;

use hyper::body::Bytes;
use limpetweir_gateway::{
    BackendKey,
    BatchTerms,
    ByteBudget,
    Change,
    Configuration,
    ConfigurationParts,
    Decision,
    ItemKey,
    NewItem,
    OpenItems,
    Outcome,
    Partition,
    Pending,
    Phase,
    Progress,
    Record,
    Route,
    RouteKind,
    RunEnd,
    Step,
    Submission,
    decide, //
};
use limpetweir_state::Timestamp;
use rstest::rstest;

use partition::{
    apply_next,
    empty,
    jobs, //
};

/// Time of the submission in Unix milliseconds.
const SUBMITTED: u64 = 1_000_000;

fn config() -> Configuration {
    let route = Route {
        name: "route".to_owned(),
        host: "host".to_owned(),
        prefix: "/p/".to_owned(),
        kind: RouteKind::Batch,
        timeout: Duration::from_secs(15),
        objective: Duration::from_millis(400),
        attempts: 3,
        priority: 0,
        public: false,
        resumable: true,
        services: vec![("service".to_owned(), 1)],
        batch: Some(BatchTerms {
            waiting_tokens: None,
            completion_target: Duration::from_secs(18),
            retention: Duration::from_secs(60),
        }),
    };
    Configuration::from(ConfigurationParts {
        version: 1,
        routes: vec![route],
        services: HashMap::new(),
        organisations: Vec::new(),
        limits: None,
    })
}

fn records(items: usize) -> Vec<Record> {
    let items = (0..items).map(|n| NewItem {
        id: format!("item-{n}"),
        path: "/p/1".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
        tokens: 1,
    });
    let submission = Submission {
        id: "job".to_owned(),
        organisation: "org".to_owned(),
        route: "route".to_owned(),
        host: "host".to_owned(),
        submitted: SUBMITTED,
        waiting_tokens: None,
        items: items.collect(),
    };
    let change = Change::Submit(submission);
    let state = empty();
    let decision = decide(jobs(&state), &mut Pending::default(), &change, 1 << 20);
    let Ok(Decision::Append(records)) = decision else {
        panic!("expected records and got {decision:?}");
    };
    records
}

fn partition(items: usize) -> Partition {
    let mut state = empty();
    let records = records(items);
    for record in records {
        apply_next(&mut state, &record).expect("a record of this format");
    }
    state
}

/// A confirmation of the configuration long after the start.
const CONFIRMED: Option<Timestamp> = Some(Timestamp::from_millis(u64::MAX / 2_000));

/// Returns `names` as the instances of a single partition.
fn names(names: &[&str]) -> [Vec<String>; 1] {
    [names.iter().map(|name| (*name).to_owned()).collect()]
}

fn open(me: &str, instances: &[&str], config: Option<&Configuration>) -> OpenItems {
    let mut items = OpenItems::default();
    items.refresh(
        &[partition(20)],
        config,
        me,
        &names(instances),
        Timestamp::default(),
    );
    items
}

fn run(items: &mut OpenItems, key: ItemKey, end: &RunEnd, events: u64) -> Step {
    items.get_mut(key).expect("an open item").phase = Phase::Running(BackendKey(1));
    let mut progress = Progress::default();
    for n in 0..events {
        let added = progress.add(n, &n.to_string(), 1 << 20, &ByteBudget::new(1 << 20));
        added.expect("room");
    }
    items.run_ended(key, end, progress, 3, Timestamp::default())
}

/// Guards against items that are started by several instances, or by none.
#[test]
fn each_item_is_assigned_to_one_instance() {
    let config = config();
    let all = ["a", "b", "c"];
    let mut owners: HashMap<ItemKey, u32> = HashMap::new();
    for me in all {
        let items = open(me, &all, Some(&config));
        for waiting in items.waiting(Timestamp::default(), SUBMITTED) {
            *owners.entry(waiting.item).or_default() += 1;
        }
    }
    assert_eq!(owners.len(), 20);
    assert!(owners.values().all(|count| *count == 1));
}

/// Guards against items of a lost instance that no other one takes over.
#[test]
fn the_items_of_a_lost_instance_are_taken_over() {
    let config = config();
    let mut items = open("a", &["a", "b"], Some(&config));
    let before = items.waiting(Timestamp::default(), SUBMITTED).len();
    assert!(before < 20);
    items.refresh(
        &[partition(20)],
        Some(&config),
        "a",
        &names(&["a"]),
        Timestamp::default(),
    );
    assert_eq!(items.waiting(Timestamp::default(), SUBMITTED).len(), 20);
}

/// Guards against an integer overflow by which every item that was read before the configuration
/// was given up.
#[test]
fn nothing_expires_before_the_configuration_is_known() {
    let items = open("a", &["a"], None);
    assert!(items.expired(SUBMITTED + 1_000, CONFIRMED).is_empty());
    assert!(items.expired(u64::MAX - 1, CONFIRMED).is_empty());
}

/// Guards against items that are given up too early, or never.
#[rstest]
#[case(59_000, 0)]
#[case(60_400, 0)]
#[case(60_600, 20)]
fn an_item_expires_after_its_retention(#[case] age: u64, #[case] expired: usize) {
    let config = config();
    let items = open("a", &["a"], Some(&config));
    assert_eq!(items.expired(SUBMITTED + age, CONFIRMED).len(), expired);
}

/// Guards against items of a new route that are given up by an instance that has not read the new
/// version, and against items of a removed route that stay open.
#[rstest]
#[case::unconfirmed(None, 0)]
#[case::confirmed_before_the_item(Some(900), 0)]
#[case::confirmed_with_the_item(Some(1_010), 0)]
#[case::confirmed_later(Some(3_100), 20)]
fn an_item_without_a_route_is_given_up_after_a_confirmation(
    #[case] confirmed_ms: Option<u64>,
    #[case] expired: usize,
) {
    let without_routes = Configuration::from(ConfigurationParts::default());
    let seen = Timestamp::from_millis(1_000);
    let mut items = OpenItems::default();
    let instances = names(&["a"]);
    items.refresh(
        &[partition(20)],
        Some(&without_routes),
        "a",
        &instances,
        seen,
    );
    let confirmed = confirmed_ms.map(Timestamp::from_millis);
    assert_eq!(items.expired(SUBMITTED, confirmed).len(), expired);
    let config = config();
    items.refresh(&[partition(20)], Some(&config), "a", &instances, seen);
    assert!(items.expired(SUBMITTED, confirmed).is_empty());
    assert_eq!(items.version(), config.version());
}

/// Guards against a wrong next step after the end of a run.
#[rstest]
#[case(RunEnd::Completed, Step::Finish(Outcome::Completed))]
#[case(RunEnd::Impossible, Step::Finish(Outcome::GivenUp))]
#[case(RunEnd::Failed, Step::Wait)]
#[case(RunEnd::Rejected, Step::Wait)]
#[case(RunEnd::Broken, Step::Wait)]
#[case(RunEnd::Silent, Step::Wait)]
#[case(RunEnd::Stopped, Step::Wait)]
fn the_end_of_a_run_determines_the_next_step(#[case] end: RunEnd, #[case] step: Step) {
    let config = config();
    let mut items = open("a", &["a"], Some(&config));
    let key = ItemKey::of("job", 0);
    assert_eq!(run(&mut items, key, &end, 2), step);
    let item = items.get(key).expect("an open item");
    assert_eq!(item.progress.last(), Some(1));
}

/// Guards against items that count as late too early, or only after their deadline. Completed items
/// had 200 events, 20 ms apart, and the items are due 18 s after their submission.
#[rstest]
#[case::no_measurement(0, 0, 17_900, false)]
#[case::after_the_deadline(0, 0, 18_100, true)]
#[case::in_time(200, 0, 13_900, false)]
#[case::too_little_left(200, 0, 14_100, true)]
#[case::partial_output(200, 150, 16_900, false)]
#[case::longer_than_most(200, 300, 17_900, false)]
fn an_item_is_late_when_too_little_time_is_left(
    #[case] completed: usize,
    #[case] has: u64,
    #[case] age: u64,
    #[case] late: bool,
) {
    let config = config();
    let mut items = open("a", &["a"], Some(&config));
    for _ in 0..30 {
        let elapsed = Duration::from_millis(10 * completed as u64);
        items.completed("service", elapsed, completed / 2, completed);
    }
    let key = ItemKey::of("job", 0);
    run(&mut items, key, &RunEnd::Stopped, has);
    let waiting = items.waiting(Timestamp::default(), SUBMITTED + age);
    let item = waiting.iter().find(|w| w.item == key);
    assert_eq!(item.map(|w| w.late), Some(late));
    let before = items.waiting(Timestamp::default(), SUBMITTED + age - 4_000);
    let before = before.iter().find(|w| w.item == key);
    assert_eq!(before.map(|w| (w.late, w.urgent)), Some((false, late)));
}

/// Guards against giving up an item for any reason other than failures of its backend servers.
#[test]
fn only_failures_count_towards_giving_up() {
    let config = config();
    let mut items = open("a", &["a"], Some(&config));
    let key = ItemKey::of("job", 0);
    for _ in 0..10 {
        assert_eq!(run(&mut items, key, &RunEnd::Broken, 0), Step::Wait);
        assert_eq!(run(&mut items, key, &RunEnd::Silent, 0), Step::Wait);
        assert_eq!(run(&mut items, key, &RunEnd::Stopped, 0), Step::Wait);
    }
    assert_eq!(run(&mut items, key, &RunEnd::Failed, 0), Step::Wait);
    assert_eq!(run(&mut items, key, &RunEnd::Failed, 0), Step::Wait);
    let last = run(&mut items, key, &RunEnd::Failed, 0);
    assert_eq!(last, Step::Finish(Outcome::GivenUp));
}

/// Guards against partial output that is discarded when the set of instances changes.
#[test]
fn an_instance_keeps_items_with_partial_output() {
    let config = config();
    let mut items = open("a", &["a"], Some(&config));
    let all = [partition(20)];
    let keys: Vec<ItemKey> = items.iter().map(|(key, _)| *key).collect();
    for key in &keys {
        run(&mut items, *key, &RunEnd::Stopped, 3);
    }
    items.refresh(
        &all,
        Some(&config),
        "a",
        &names(&["a", "b"]),
        Timestamp::default(),
    );
    assert_eq!(items.waiting(Timestamp::default(), SUBMITTED).len(), 20);
    assert_eq!(items.held().len(), 20);
}

/// Guards against the loss of partial output while a partition is listed again, and against items that take
/// slots or are given up on the terms of an older configuration meanwhile.
#[test]
fn items_stay_as_they_are_while_their_partition_is_listed() {
    let config = config();
    let now = Timestamp::default();
    let mut items = open("a", &["a"], None);
    let keys: Vec<ItemKey> = items.iter().map(|(key, _)| *key).collect();
    for key in &keys {
        run(&mut items, *key, &RunEnd::Stopped, 3);
    }
    let mut listed = partition(20);
    listed.set_missed(u64::MAX);
    for known in [&listed, &partition(20)] {
        let known = std::slice::from_ref(known);
        let ended = items.refresh(known, Some(&config), "a", &names(&["a"]), now);
        assert!(ended.is_empty());
        assert_eq!(items.held().len(), 20);
        let is_loaded = known[0].is_loaded();
        let waiting = items.waiting(now, SUBMITTED).len();
        assert_eq!(waiting, if is_loaded { 20 } else { 0 });
        let late = items.expired(u64::MAX, CONFIRMED).len();
        assert_eq!(late, if is_loaded { 20 } else { 0 });
    }
}

/// Guards against items that run again although they have results, because a listing contains jobs before
/// their results.
#[test]
fn items_of_a_job_that_is_being_listed_are_not_open() {
    let mut listed = Partition::default();
    listed.begin_listing();
    for (offset, record) in (0..).zip(records(20)) {
        listed
            .apply(offset, &record)
            .expect("a record of this format");
    }
    let mut items = OpenItems::default();
    let mut open = |known: &Partition| {
        let known = std::slice::from_ref(known);
        items.refresh(
            known,
            Some(&config()),
            "a",
            &names(&["a"]),
            Timestamp::default(),
        );
        items.iter().count()
    };
    assert_eq!(open(&listed), 0);
    listed.end_listing(9);
    assert_eq!(open(&listed), 20);
}
