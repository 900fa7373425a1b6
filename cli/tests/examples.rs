//! Validity of the example files.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use limpetweir_protocol::parse_configuration;
use limpetweir_protocol::settings::Settings;
use limpetweir_state::KeyDigest;

/// Guards against an example that the daemon rejects, or whose digests do not match its keys.
#[test]
fn the_example_document_is_accepted() {
    let cfg = parse_configuration(include_str!("../../examples/limpetweir.toml")).unwrap();
    for (key, organisation) in [
        ("example-key-1", "fapapucs"),
        ("example-key-2", "gulf-reef"),
    ] {
        let digest = KeyDigest::of_key(key.as_bytes());
        let (found, _) = cfg.find_key(&digest).unwrap();
        assert_eq!(found.as_str(), organisation);
    }
}

/// Guards against example settings that the daemon rejects.
#[test]
fn the_example_settings_are_accepted() {
    let text = include_str!("../../examples/limpetweird.toml");
    let settings = Settings::load("limpetweird.toml", text, &[]).unwrap();
    let digest = KeyDigest::of_key(b"example-operator-key");
    assert_eq!(settings.operator_key, digest);
}

/// Guards against example settings that differ from the defaults.
#[test]
fn the_example_settings_show_the_defaults() {
    let text = include_str!("../../examples/limpetweird.toml");
    let shown = Settings::load("limpetweird.toml", text, &[]).unwrap();
    let (required, _) = text.split_once("[runtime]").unwrap();
    let defaults = Settings::load("limpetweird.toml", required, &[]).unwrap();
    assert_eq!(shown, defaults);
}
