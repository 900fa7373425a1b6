//! Ranges of values from outside, and records that are not used.

use std::collections::HashSet;
use std::net::SocketAddr;

use limpetweir_gateway::{
    BackendEntry,
    Backends,
    ColdTime,
    Label,
    ListenerAddr,
    MAX_LABEL_BYTES,
    MAX_SLOTS,
    SkippedRecords,
    Slots,
    Topic,
    excerpt, //
};
use limpetweir_state::Timestamp;
use rstest::rstest;

const NOW: Timestamp = Timestamp::from_millis(10_000);

/// Guards against a server with no slots, or with so many that counts of them overflow.
#[rstest]
#[case(0, None, 1)]
#[case(1, Some(1), 1)]
#[case(MAX_SLOTS, Some(MAX_SLOTS), MAX_SLOTS)]
#[case(MAX_SLOTS + 1, None, MAX_SLOTS)]
#[case(u32::MAX, None, MAX_SLOTS)]
fn slots_have_a_range(#[case] slots: u32, #[case] checked: Option<u32>, #[case] nearest: u32) {
    assert_eq!(Slots::try_from(slots).ok().map(Slots::get), checked);
    assert_eq!(Slots::nearest(slots).get(), nearest);
}

/// Guards against requests to an address that is not that of one machine, some of which the system
/// takes for its own.
#[rstest]
#[case("10.0.0.9:80", true)]
#[case("[fd00::9]:65535", true)]
#[case("10.0.0.9:0", false)]
#[case("0.0.0.0:80", false)]
#[case("[::]:80", false)]
#[case("[::ffff:0.0.0.0]:80", false)]
#[case("224.0.0.1:80", false)]
#[case("[ff02::1]:80", false)]
#[case("255.255.255.255:80", false)]
fn addresses_are_those_of_a_machine(#[case] addr: SocketAddr, #[case] valid: bool) {
    assert_eq!(ListenerAddr::try_from(addr).is_ok(), valid);
}

/// Guards against texts that fill the memory or the log, or that begin a new line there.
#[test]
fn texts_are_short_and_on_one_line() {
    let longest = "z".repeat(MAX_LABEL_BYTES);
    assert!(Label::try_from(longest.clone()).is_ok());
    assert!(Label::try_from(longest + "z").is_err());
    assert!(Label::try_from("a\nLW2001 name=x".to_owned()).is_err());
    let quoted = excerpt(&"ä\n".repeat(1 << 20));
    assert!(quoted.len() < 400 && !quoted.contains('\n'));
}

/// Another writer repeats its records. Guards against a line for each read of the same record, and
/// against a change that is not logged.
#[test]
fn a_skipped_record_is_new_once_per_change() {
    let mut skipped = SkippedRecords::default();
    let topic = Topic::Backends;
    assert!(skipped.skipped(topic, "a", "no slots"));
    assert!(skipped.skipped(topic, "b", "no slots"));
    assert!(!skipped.skipped(topic, "a", "no slots"));
    assert!(skipped.skipped(Topic::Instances, "a", "no slots"));
    assert!(skipped.skipped(topic, "a", "no address"));
    skipped.read(topic, "a");
    assert!(skipped.skipped(topic, "a", "no address"));
    assert!(!skipped.skipped(topic, "b", "no slots"));
}

/// Guards against requests to the store or to an instance that an entry names, and against a server
/// that stays unused after it was given the address of an instance.
#[test]
fn a_reserved_address_is_not_used_as_long_as_it_is_reserved() {
    let addr: SocketAddr = "10.0.0.9:80".parse().expect("an address");
    let mut backends = Backends::default();
    let entry = BackendEntry {
        id: "i-1".to_owned(),
        service: "s".to_owned(),
        addr,
        zone: "z".to_owned(),
        slots: Some(8),
        draining: false,
        born: 1,
        cold_remaining: ColdTime::default(),
    };
    backends.update(entry, NOW);
    assert_eq!(backends.serving("s", NOW).count(), 1);
    backends.set_reserved(HashSet::from([addr]));
    assert_eq!(backends.serving("s", NOW).count(), 0);
    assert_eq!(backends.iter().count(), 0);
    backends.set_reserved(HashSet::new());
    assert_eq!(backends.serving("s", NOW).count(), 1);
}
