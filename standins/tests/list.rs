//! Tests of the list stand-in.

use std::time::Duration;

use limpetweir_standins::{
    client,
    harness::Launch,
    list::{
        Backend,
        ListState,
        Listing,
        ServerState, //
    }, //
};
use serde_json::{
    Value,
    json, //
};

/// Guards against a change that is visible before or long after its lag.
#[test]
fn changes_are_shown_after_the_lag() {
    let second = Duration::from_secs(1);
    let mut list = ListState::new(2 * second);
    let backend = |state| Backend {
        name: "127.0.0.1:9001".into(),
        state,
    };
    list.change(Duration::ZERO, |listing| {
        listing.put_backend(backend(ServerState::Live))
    });
    list.change(second, |listing| {
        listing.put_backend(backend(ServerState::Leaving))
    });

    assert_eq!(list.visible(second), &Listing::default());
    assert_eq!(
        list.visible(2 * second).backends,
        [backend(ServerState::Live)]
    );
    assert_eq!(
        list.visible(3 * second).backends,
        [backend(ServerState::Leaving)]
    );

    list.change(4 * second, |listing| listing.remove("127.0.0.1:9001"));
    assert_eq!(list.visible(5 * second).backends.len(), 1);
    assert!(list.visible(6 * second).backends.is_empty());
}

/// Guards against a wire format that differs from the documented one.
#[test]
fn list_has_the_documented_form() {
    let list = Launch::standin("list")
        .unwrap()
        .args(["--lag-ms", "0"])
        .spawn()
        .unwrap();
    let instance = json!({
        "name": "i1", "zone": "a", "public": "127.0.0.1:1", "peer": "127.0.0.1:2", "state": "live",
    });
    let change = json!({
        "instances": [instance],
        "backends": [{ "name": "127.0.0.1:3", "state": "leaving" }],
    });
    assert_eq!(
        client::post(list.address(), "/control", &change)
            .unwrap()
            .status,
        200
    );
    let body: Value = client::get(list.address(), "/list")
        .unwrap()
        .json()
        .unwrap();
    assert_eq!(body, change);

    client::post(list.address(), "/control", &json!({ "remove": ["i1"] })).unwrap();
    let body: Value = client::get(list.address(), "/list")
        .unwrap()
        .json()
        .unwrap();
    assert_eq!(body["instances"], json!([]));
}
