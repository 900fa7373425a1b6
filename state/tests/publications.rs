//! Tests of publications: concurrent operators and resends.

mod common;

use common::publish;
use limpetweir_state::*;

fn decided(result: PublishResult) -> PublishEvent {
    PublishEvent::Decided(result)
}

/// Guards against accepting both of two concurrent publications.
#[test]
fn one_of_two_racing_publications_is_accepted() {
    let mut fold = Publications::default();
    let accepted = PublishResult::Accepted(Version(1));
    let conflict = PublishResult::Conflict(Version(1));
    let event = fold.apply(Offset(0), publish("a", 0, "first"));
    assert_eq!(event, decided(accepted));
    let event = fold.apply(Offset(1), publish("b", 0, "second"));
    assert_eq!(event, decided(conflict));
    assert_eq!(fold.document(), Some("first"));
    let accepted_id = PublicationId::try_from("a").unwrap();
    assert_eq!(fold.publication(), Some(&accepted_id));
}

/// Guards against a publication that is decided again when an operator's tool resends it.
#[test]
fn same_identifier_is_the_same_publication() {
    let mut fold = Publications::default();
    fold.apply(Offset(0), publish("a", 0, "first"));
    fold.apply(Offset(1), publish("b", 0, "second"));
    let repeated = PublishEvent::Repeated(PublishResult::Accepted(Version(1)));
    assert_eq!(fold.apply(Offset(2), publish("a", 0, "first")), repeated);
    let repeated = PublishEvent::Repeated(PublishResult::Conflict(Version(1)));
    assert_eq!(fold.apply(Offset(3), publish("b", 1, "second")), repeated);
    assert_eq!(fold.version(), Version(1));
    assert_eq!(fold.document(), Some("first"));
}

/// Guards against accepting a base above the current version.
#[test]
fn base_above_the_current_version_is_a_conflict() {
    let mut fold = Publications::default();
    let event = fold.apply(Offset(0), publish("a", 4, "first"));
    assert_eq!(event, decided(PublishResult::Conflict(Version(0))));
    assert_eq!(fold.document(), None);
}

/// Guards against a state that grows with the number of publications, and against a publication
/// that is accepted a second time after its result was dropped.
#[test]
fn number_of_stored_results_is_bounded() {
    let mut fold = Publications::default();
    for n in 0..2_000 {
        fold.apply(Offset(n), publish(&format!("p{n}"), n, "document"));
    }
    let mut buf = Vec::new();
    fold.snapshot(&mut buf).unwrap();
    assert!(buf.len() < 64 * 1_024, "snapshot has {} bytes", buf.len());
    let event = fold.apply(Offset(2_000), publish("p0", 0, "document"));
    assert_eq!(event, decided(PublishResult::Conflict(Version(2_000))));
}
