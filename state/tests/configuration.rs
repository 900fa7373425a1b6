//! Tests of the checked configuration: keys, limits and consistency.

use std::collections::BTreeSet;

use limpetweir_state::{
    Backend,
    Configuration,
    ConfigurationError,
    Key,
    KeyDigest,
    Limit,
    Organisation,
    Service,
    ServiceKind, //
};
use rstest::rstest;

fn id<T>(raw: &str) -> T
where
    T: for<'a> TryFrom<&'a str, Error: std::fmt::Debug>,
{
    T::try_from(raw).expect("valid identifier")
}

fn key(name: &str, secret: &str) -> Key {
    Key {
        id: id(name),
        digest: KeyDigest::of_key(secret.as_bytes()),
    }
}

fn organisation(name: &str, keys: Vec<Key>) -> Organisation {
    Organisation {
        id: id(name),
        limit: Limit::new(1.0, 1.0).expect("valid limit"),
        keys,
        services: BTreeSet::from([id("chat")]),
    }
}

fn service(backends: &[&str]) -> Service {
    Service {
        id: id("chat"),
        kind: ServiceKind::Model {
            models: BTreeSet::from([id("small")]),
        },
        backends: backends.iter().copied().map(id).collect(),
    }
}

fn backend(name: &str, port: u16) -> Backend {
    Backend {
        id: id(name),
        service: id("chat"),
        zone: id("z1"),
        address: ([127, 0, 0, 1], port).into(),
        slots: 1,
        checks_fencing: false,
    }
}

/// Guards against a key lookup that returns another organisation or another key name.
#[test]
fn every_key_is_found_among_many() {
    let organisations = (0..300).map(|n| {
        let keys = (0..3).map(|k| key(&format!("k{k}"), &format!("secret-{n}-{k}")));
        organisation(&format!("o{n}"), keys.collect())
    });
    let services = vec![service(&[])];
    let cfg = Configuration::new(organisations.collect(), services, Vec::new()).unwrap();
    for n in 0..300 {
        for k in 0..3 {
            let digest = KeyDigest::of_key(format!("secret-{n}-{k}").as_bytes());
            let (organisation, key) = cfg.find_key(&digest).unwrap();
            assert_eq!(organisation.as_str(), format!("o{n}"));
            assert_eq!(key.as_str(), format!("k{k}"));
        }
    }
    assert!(cfg.find_key(&KeyDigest::of_key(b"secret-300-0")).is_none());
}

/// Guards against an inconsistent configuration that is built without parsing a document.
#[rstest]
#[case::backend(vec![], vec![service(&["e1", "e2"])], vec![backend("e1", 1), backend("e1", 2)])]
#[case::address(vec![], vec![service(&["e1", "e2"])], vec![backend("e1", 1), backend("e2", 1)])]
#[case::service(vec![], vec![service(&[]), service(&[])], vec![])]
#[case::organisation(
    vec![organisation("o", vec![]), organisation("o", vec![])], vec![service(&[])], vec![]
)]
#[case::key_id(
    vec![organisation("o", vec![key("k", "a"), key("k", "b")])], vec![service(&[])], vec![]
)]
#[case::digest(
    vec![organisation("o", vec![key("k", "a")]), organisation("p", vec![key("k", "a")])],
    vec![service(&[])],
    vec![]
)]
#[case::no_service(vec![organisation("o", vec![])], vec![], vec![])]
#[case::no_backend(vec![], vec![service(&["e1"])], vec![])]
#[case::backend_not_listed(vec![], vec![service(&[])], vec![backend("e1", 1)])]
fn contradiction_is_rejected(
    #[case] organisations: Vec<Organisation>,
    #[case] services: Vec<Service>,
    #[case] backends: Vec<Backend>,
) {
    assert!(Configuration::new(organisations, services, backends).is_err());
}

/// Guards against a backend server that can never run a request.
#[test]
fn backend_without_slots_is_rejected() {
    let mut without_slots = backend("e1", 1);
    without_slots.slots = 0;
    let error =
        Configuration::new(Vec::new(), vec![service(&["e1"])], vec![without_slots]).unwrap_err();
    assert!(matches!(error, ConfigurationError::NoSlots { .. }));
}

/// Guards against a digest in a log line or an error message.
#[test]
fn digest_is_never_printed() {
    let digest = KeyDigest::of_key(b"foo");
    let hex = digest.to_hex();
    assert_eq!(
        hex,
        "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"
    );
    assert_eq!(KeyDigest::from_hex(&hex.to_uppercase()).unwrap(), digest);
    let owner = organisation("o", vec![key("k", "foo")]);
    let cfg = Configuration::new(vec![owner.clone()], vec![service(&[])], Vec::new()).unwrap();
    let printed = format!("{digest:?} {digest:#?} {owner:?} {cfg:?} {cfg:#?}");
    assert!(!printed.contains(&hex[..8]));
    // First bytes of the digest as a derived `Debug` would print them.
    assert!(!printed.contains("44, 38"));
    let error = KeyDigest::from_hex("secret").unwrap_err();
    assert!(!format!("{error} {error:?}").contains("secret"));
}

/// Guards against limits that admit no requests, all requests or an undefined number.
#[rstest]
#[case(0.0, 1.0)]
#[case(-1.0, 1.0)]
#[case(f64::NAN, 1.0)]
#[case(f64::INFINITY, 1.0)]
#[case(1.0, 0.99)]
#[case(1.0, f64::NAN)]
#[case(1.0, f64::INFINITY)]
fn limit_out_of_range_is_rejected(#[case] rate: f64, #[case] burst: f64) {
    assert!(Limit::new(rate, burst).is_err());
}
