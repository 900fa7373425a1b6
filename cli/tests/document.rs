//! Adding keys to documents and removing them, without other changes.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use limpetweir::document::{
    EditError,
    add_key,
    remove_key, //
};
use limpetweir_protocol::parse_configuration;
use limpetweir_state::{
    KeyDigest,
    KeyId,
    OrganisationId, //
};

const EXAMPLE: &str = include_str!("../../examples/limpetweir.toml");

fn organisation(name: &str) -> OrganisationId {
    name.try_into().unwrap()
}

fn key(name: &str) -> KeyId {
    name.try_into().unwrap()
}

/// Guards against a key that is added to another organisation, and comments that are lost.
#[test]
fn a_key_is_added_to_its_organisation_only() {
    let digest = KeyDigest::of_key(b"secret");
    let id = organisation("gulf-reef");
    let changed = add_key(EXAMPLE, &id, &key("new"), &digest).unwrap();
    let cfg = parse_configuration(&changed).unwrap();
    let found = cfg.find_key(&digest).unwrap();
    assert_eq!((found.0.as_str(), found.1.as_str()), ("gulf-reef", "new"));
    let kept = changed.lines().filter(|line| EXAMPLE.contains(line));
    assert_eq!(kept.count(), EXAMPLE.lines().count() + 2);
    assert_eq!(remove_key(&changed, &id, &key("new")).unwrap(), EXAMPLE);
}

/// Guards against a first key that cannot be added because the document has no key table yet.
#[test]
fn the_last_key_is_removed_and_a_first_one_added() {
    let id = organisation("fapapucs");
    let without = remove_key(EXAMPLE, &id, &key("example-1")).unwrap();
    let cfg = parse_configuration(&without).unwrap();
    assert!(cfg.organisation(&id).unwrap().keys.is_empty());
    let digest = KeyDigest::of_key(b"secret");
    let again = add_key(&without, &id, &key("new"), &digest).unwrap();
    let cfg = parse_configuration(&again).unwrap();
    assert_eq!(cfg.find_key(&digest).unwrap().0, &id);
}

/// Guards against keys that are not found because they are written as inline tables.
#[test]
fn inline_keys_are_changed_in_place() {
    let hex = KeyDigest::of_key(b"old").to_hex();
    let document = format!(
        "[[organisation]]\nid = \"o\"\nrate = 1.0\nburst = 1.0\n\
         key = [{{ id = \"old\", sha256 = \"{hex}\" }}]\n"
    );
    let id = organisation("o");
    let digest = KeyDigest::of_key(b"secret");
    let changed = add_key(&document, &id, &key("new"), &digest).unwrap();
    let cfg = parse_configuration(&changed).unwrap();
    assert_eq!(cfg.organisation(&id).unwrap().keys.len(), 2);
    let left = remove_key(&changed, &id, &key("old")).unwrap();
    let cfg = parse_configuration(&left).unwrap();
    assert_eq!(cfg.organisation(&id).unwrap().keys[0].digest, digest);
}

/// Guards against an impossible change that is reported as success.
#[test]
fn impossible_changes_are_rejected() {
    let digest = KeyDigest::of_key(b"secret");
    let known = organisation("fapapucs");
    let unknown = organisation("other");
    let added = add_key(EXAMPLE, &unknown, &key("new"), &digest);
    assert!(matches!(added, Err(EditError::NoOrganisation { .. })));
    let added = add_key(EXAMPLE, &known, &key("example-1"), &digest);
    assert!(matches!(added, Err(EditError::KeyExists { .. })));
    let removed = remove_key(EXAMPLE, &known, &key("other"));
    assert!(matches!(removed, Err(EditError::NoKey { .. })));
}
