//! Attribution of crashes to single requests, which share the other parts of their prompts.

use std::time::Duration;

use hyper::Method;
use hyper::body::Bytes;
use limpetweir_gateway::{
    Case,
    Crash,
    CrashKey,
    CrashNews,
    PartKey,
    PromptParts,
    Quarantine,
    RequestContent,
    RequestParts, //
};
use limpetweir_state::Timestamp;
use rstest::rstest;

const HOST: &str = "one.example";
const FIRST: PartKey = PartKey(0xf1);
const SESSION: PartKey = PartKey(0x5e);
const DEADLY: PartKey = PartKey(0xde);
const OTHER: PartKey = PartKey(0x07);

/// Largest payload of a datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_507;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Returns the content of a request of the organisation `org`.
fn content<'a>(
    method: &'a Method,
    host: &'a str,
    target: &'a str,
    body: &'a Bytes,
) -> RequestContent<'a> {
    RequestContent {
        organisation: Some("org"),
        host,
        method,
        target,
        body,
    }
}

/// Returns the keys of a request without output whose prompt, and so its body, has these parts.
fn prompt(parts: &[PartKey]) -> Vec<PartKey> {
    let (last, shared) = parts.split_last().expect("a part");
    let body = Bytes::from(format!("{parts:?}"));
    let parts = PromptParts {
        shared: shared.to_vec(),
        last: Some(*last),
    };
    let parts = RequestParts::new(content(&Method::POST, HOST, "/once/1", &body), parts);
    parts.early().to_vec()
}

/// Returns the keys of a request without a prompt.
fn plain(method: &Method, host: &str, target: &str, body: &'static str) -> Vec<PartKey> {
    let body = Bytes::from_static(body.as_bytes());
    let content = content(method, host, target, &body);
    let parts = RequestParts::new(content, PromptParts::default());
    parts.keys().to_vec()
}

/// Records a crash of a server of its own at `ms` under a run with these keys.
fn crash(quarantine: &mut Quarantine, ms: u64, keys: &[PartKey]) {
    let server = format!("i-{ms}");
    quarantine.crashed(CrashKey(ms), &server, "one", keys, at(ms), at(ms));
}

fn is_held(quarantine: &Quarantine, keys: &[PartKey], ms: u64) -> bool {
    quarantine.hold(keys, at(ms)).is_some()
}

/// Guards against a request that crashes one server after the other because sound requests clear
/// its other parts, and against these being held back with it.
#[rstest]
#[case::cleared_between(Some(1_100))]
#[case::not_cleared(None)]
fn a_request_that_crashes_servers_is_held_back(#[case] sound_ms: Option<u64>) {
    let mut quarantine = Quarantine::default();
    let deadly = prompt(&[FIRST, SESSION, DEADLY]);
    let sound = prompt(&[FIRST, SESSION, OTHER]);
    crash(&mut quarantine, 1_000, &deadly);
    if let Some(ms) = sound_ms {
        quarantine.began(&sound, at(ms));
    }
    assert!(!is_held(&quarantine, &deadly, 1_150));
    crash(&mut quarantine, 1_200, &deadly);
    assert!(is_held(&quarantine, &deadly, 1_300));
    assert!(!is_held(&quarantine, &sound, 1_500));
    quarantine.began(&sound, at(2_000));
    assert!(is_held(&quarantine, &deadly, 2_100));
}

/// A request without a prompt has nothing in common with others. Guards against one that crashes
/// servers with each attempt of its callers.
#[test]
fn a_request_without_a_prompt_is_held_back() {
    let mut quarantine = Quarantine::default();
    let deadly = plain(&Method::POST, HOST, "/a/1", "deadly");
    let sound = plain(&Method::POST, HOST, "/a/1", "sound");
    for ms in [1_000, 1_200, 1_400] {
        crash(&mut quarantine, ms, &deadly);
        quarantine.began(&sound, at(ms + 100));
    }
    assert!(is_held(&quarantine, &deadly, 1_600));
    assert!(!is_held(&quarantine, &sound, 1_600));
}

/// The last part of a request is a shared part of the next one of its session. Guards against a
/// request that goes on crashing servers because the longer prompt is served.
#[test]
fn a_longer_prompt_does_not_release_a_request() {
    let mut quarantine = Quarantine::default();
    let deadly = prompt(&[FIRST, SESSION, DEADLY]);
    for ms in [1_000, 1_200, 1_400] {
        crash(&mut quarantine, ms, &deadly);
        quarantine.began(&prompt(&[FIRST, SESSION, DEADLY, OTHER]), at(ms + 100));
    }
    assert!(is_held(&quarantine, &deadly, 1_600));
    assert!(!is_held(
        &quarantine,
        &prompt(&[FIRST, SESSION, DEADLY, OTHER]),
        1_600
    ));
}

/// Requests have the same last part after other ones. Guards against a part that crashes servers in
/// one session after the other, because no two requests are the same.
#[test]
fn a_last_part_of_different_prompts_is_held_back() {
    let mut quarantine = Quarantine::default();
    for (n, ms) in [(1, 1_000), (2, 1_200), (3, 1_400)] {
        crash(&mut quarantine, ms, &prompt(&[FIRST, PartKey(n), DEADLY]));
        quarantine.began(&prompt(&[FIRST, PartKey(n), OTHER]), at(ms + 100));
    }
    assert!(is_held(
        &quarantine,
        &prompt(&[FIRST, SESSION, DEADLY]),
        1_600
    ));
    assert!(!is_held(
        &quarantine,
        &prompt(&[FIRST, SESSION, OTHER]),
        1_600
    ));
}

/// Callers determine how many parts their prompts have. Guards against parts that push the key by
/// which a request is recognised out of the evidence.
#[rstest]
#[case::seen_first(true)]
#[case::seen_last(false)]
fn invented_parts_do_not_hide_a_request(#[case] first: bool) {
    let mut seeing = Quarantine::default();
    let mut other = Quarantine::default();
    let long: Vec<PartKey> = (0..100).map(|n| PartKey(0x5000 + n)).collect();
    let deadly = prompt(&long);
    for ms in [1_000, 1_200, 1_400] {
        if first {
            crash(&mut seeing, ms, &deadly);
        }
        for run in 0..10 {
            let invented: Vec<PartKey> = (0..100)
                .map(|n| PartKey(ms << 32 | run << 16 | n))
                .collect();
            crash(&mut seeing, ms, &prompt(&invented));
        }
        if !first {
            crash(&mut seeing, ms, &deadly);
        }
        other.merge(&seeing.news(at(ms + 5)), at(ms + 5));
    }
    for quarantine in [&mut seeing, &mut other] {
        // All parts of the prompt are sound.
        let sound: Vec<PartKey> = long.iter().rev().copied().collect();
        quarantine.began(&prompt(&sound), at(1_500));
        assert!(is_held(quarantine, &deadly, 1_600));
        assert!(!is_held(quarantine, &prompt(&sound), 1_600));
    }
}

/// Guards against messages that no datagram holds: they would not be sent at all.
#[test]
fn crashes_under_many_requests_fit_into_a_datagram() {
    let mut quarantine = Quarantine::default();
    let key = |n: u64| PartKey(u64::MAX - n);
    let crashes = (0..80_u64).map(|n| Crash {
        key: CrashKey(u64::MAX - n),
        server: format!("i-{n:010}"),
        seen_by: format!("frontend-alfold-b-{n}"),
        age: Duration::from_millis(650),
        suspects: (0..200)
            .map(|run| key(n << 16 | run))
            .chain((0..200).map(|run| PartKey::identity(key(n << 40 | run << 32).0)))
            .collect(),
    });
    let cases = (0..40_u64).map(|n| Case {
        parts: (0..96).map(|part| key(n << 16 | part << 24)).collect(),
        crashes: u32::MAX,
        servers: (0..5)
            .map(|_| "i-0123456789@frontend-alfold-b-1".to_owned())
            .collect(),
        age: Duration::from_millis(600),
        probes: 3,
        probe_in: Duration::from_secs(3_000),
    });
    let news = CrashNews {
        crashes: crashes.collect(),
        cleared: Vec::new(),
        cases: cases.collect(),
    };
    quarantine.merge(&news, at(1_000));
    for n in 0..1_000 {
        let part = [key((n << 16) | (n % 64))];
        quarantine.began(&part, at(1_600));
    }
    for bytes in [
        quarantine.digest(at(1_700)).encode(),
        quarantine.news(at(1_700)).encode(),
    ] {
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
    }
}

/// Builds that know no identities tell crashes without them. Guards against sound requests that are
/// held back for long because of these, and against a request that is never recognised.
#[test]
fn crashes_told_by_older_builds_delay_a_case() {
    let mut quarantine = Quarantine::default();
    let deadly = prompt(&[FIRST, SESSION, DEADLY]);
    let sound = prompt(&[FIRST, SESSION, OTHER]);
    let told = |key, suspects: &[PartKey]| CrashNews {
        crashes: vec![Crash {
            key: CrashKey(key),
            server: "i-old".to_owned(),
            seen_by: "old".to_owned(),
            age: Duration::ZERO,
            suspects: suspects.to_vec(),
        }],
        ..CrashNews::default()
    };
    crash(&mut quarantine, 1_000, &deadly);
    quarantine.merge(&told(7, &[FIRST, SESSION]), at(1_200));
    crash(&mut quarantine, 1_400, &deadly);
    quarantine.began(&sound, at(1_500));
    assert!(!is_held(&quarantine, &sound, 1_600));
    crash(&mut quarantine, 1_700, &deadly);
    assert!(is_held(&quarantine, &deadly, 1_800));
    assert!(!is_held(&quarantine, &sound, 1_800));
}

/// Guards against a key that changes with what callers change when they send a request once more,
/// and against different requests with the same key.
#[test]
fn requests_are_recognised_by_their_content() {
    let same = || plain(&Method::POST, HOST, "/a/1?x=1", "body");
    assert_eq!(same(), same());
    let others = [
        plain(&Method::PUT, HOST, "/a/1?x=1", "body"),
        plain(&Method::POST, "two.example", "/a/1?x=1", "body"),
        plain(&Method::POST, HOST, "/a/1?x=2", "body"),
        plain(&Method::POST, HOST, "/a/1?x=1", "other"),
    ];
    for other in others {
        assert_ne!(other, same());
    }
    let keys = prompt(&[FIRST, SESSION, DEADLY]);
    assert_eq!(keys[1..], [DEADLY, FIRST, SESSION]);
    assert_ne!(keys[0], prompt(&[SESSION, FIRST, DEADLY])[0]);
    assert_ne!(keys[0], prompt(&[FIRST, SESSION, OTHER])[0]);
    assert!(keys[0].is_identity());
    assert!(!DEADLY.is_identity());
}

/// Guards against a request that is another one with each attempt because heads about its prompt are
/// missing or differ, and against one that is held back with other requests that have the same parts.
#[test]
fn the_heads_of_a_request_do_not_change_its_identity() {
    let body = Bytes::from_static(b"question");
    let parts = |shared: &[PartKey]| PromptParts {
        shared: shared.to_vec(),
        last: Some(DEADLY),
    };
    let identity = |organisation, target, prompt| {
        let content = RequestContent {
            organisation,
            ..content(&Method::POST, HOST, target, &body)
        };
        RequestParts::new(content, prompt).identity()
    };
    let known = identity(Some("org"), "/once/1", parts(&[FIRST]));
    let same = [PromptParts::default(), parts(&[FIRST, SESSION])];
    for prompt in same {
        assert_eq!(identity(Some("org"), "/once/1", prompt), known);
    }
    let others = [
        identity(Some("other"), "/once/1", parts(&[FIRST])),
        identity(None, "/once/1", parts(&[FIRST])),
        identity(Some("org"), "/once/2", parts(&[FIRST])),
        identity(Some("org/once"), "/1", parts(&[FIRST])),
    ];
    for other in others {
        assert_ne!(other, known);
    }
}

/// Guards against a probe that another request with some of the parts answers: it closed the case,
/// and three more servers crashed.
#[test]
fn only_the_request_itself_is_a_probe() {
    let mut quarantine = Quarantine::default();
    let deadly = prompt(&[FIRST, SESSION, DEADLY]);
    for ms in [1_000, 1_200, 1_400] {
        crash(&mut quarantine, ms, &deadly);
    }
    let sound = prompt(&[FIRST, SESSION, OTHER]);
    assert!(quarantine.after_probe(&sound, at(60_000)).is_none());
    let hold = quarantine.hold(&deadly, at(60_000)).expect("held");
    assert!(hold.probe_due);
    let case: Case = hold.case;
    assert!(case.parts.contains(&DEADLY), "{case:?}");
}

/// A crash shows that a narrower case is open, long after the first probe of the wider one was due.
/// Guards against a probe at once, which would crash a server only to show the same.
#[test]
fn a_narrower_case_is_not_probed_at_once() {
    let mut quarantine = Quarantine::default();
    for ms in [1_000, 1_200, 1_400] {
        crash(&mut quarantine, ms, &prompt(&[FIRST, DEADLY, SESSION]));
    }
    crash(&mut quarantine, 20_000, &prompt(&[FIRST, DEADLY, OTHER]));
    let due = |ms| {
        let hold = quarantine.hold(&prompt(&[FIRST, DEADLY, PartKey(9)]), at(ms));
        hold.expect("held").probe_due
    };
    assert!(!due(20_100));
    assert!(due(31_000));
}

/// Two requests are lost with the same two servers, and the sound one is blamed first. Guards against a
/// case that explains the crashes for good, so that the other one goes on.
#[test]
fn a_request_that_lost_servers_with_another_one_is_held_back() {
    let mut quarantine = Quarantine::default();
    let requests = [DEADLY, OTHER].map(|last| prompt(&[FIRST, SESSION, last]));
    for ms in [1_000, 1_200] {
        for keys in &requests {
            crash(&mut quarantine, ms, keys);
        }
    }
    assert!(is_held(&quarantine, &requests[0], 1_300));
    crash(&mut quarantine, 1_400, &requests[1]);
    for keys in &requests {
        assert!(is_held(&quarantine, keys, 1_500));
    }
    quarantine.began(&requests[0], at(1_600));
    assert!(!is_held(&quarantine, &requests[0], 1_700));
    assert!(is_held(&quarantine, &requests[1], 1_700));
}

/// Guards against a request that crashes servers again because this copy of it has other heads, and
/// against its parts being blamed in its place once it is sound.
#[test]
fn a_blamed_request_is_held_back_whatever_its_heads() {
    let mut quarantine = Quarantine::default();
    let deadly = prompt(&[FIRST, SESSION, DEADLY]);
    for ms in [1_000, 1_200] {
        crash(&mut quarantine, ms, &deadly);
    }
    let without_heads = &deadly[..1];
    assert!(is_held(&quarantine, without_heads, 1_300));
    quarantine.began(without_heads, at(1_400));
    assert!(!is_held(&quarantine, &deadly, 1_500));
    assert!(!is_held(
        &quarantine,
        &prompt(&[FIRST, SESSION, DEADLY, OTHER]),
        1_500
    ));
}

/// Servers crash for reasons of their own, and a request meets two of them by chance. Guards against
/// sound requests that are held back in a storm of crashes.
#[test]
fn two_crashes_among_others_are_a_coincidence() {
    let mut quarantine = Quarantine::default();
    let unlucky = prompt(&[FIRST, SESSION, DEADLY]);
    crash(&mut quarantine, 1_000, &unlucky);
    for n in 0..3 {
        crash(&mut quarantine, 1_100 + n * 200, &prompt(&[PartKey(n)]));
    }
    crash(&mut quarantine, 2_000, &unlucky);
    assert!(!is_held(&quarantine, &unlucky, 2_100));
    crash(&mut quarantine, 3_000, &unlucky);
    assert!(is_held(&quarantine, &unlucky, 3_100));
}

/// All servers of a rack end at once under copies of a request that comes often. Guards against the
/// parts of its prompt being blamed with it: many sound requests share them.
#[test]
fn crashes_at_the_same_moment_do_not_blame_shared_parts() {
    let mut quarantine = Quarantine::default();
    for ms in 1_000..1_002 {
        crash(&mut quarantine, ms, &prompt(&[FIRST, SESSION, DEADLY]));
    }
    crash(&mut quarantine, 1_003, &prompt(&[FIRST, SESSION, OTHER]));
    assert!(!is_held(
        &quarantine,
        &prompt(&[FIRST, SESSION, PartKey(9)]),
        1_100
    ));
}
