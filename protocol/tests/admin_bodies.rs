//! JSON bodies of the admin interface, as specified in section 7 of the design page.

#![allow(clippy::unwrap_used, reason = "test helpers may panic")]

use limpetweir_protocol::http::{
    FleetStatus,
    InstanceState,
    PublicationOutcome, //
    PublicationResponse,
};
use limpetweir_state::{
    Epoch,
    Version, //
};
use rstest::rstest;
use serde_json::json;

/// Guards against a change of the response body that reports a conflict to operators.
#[rstest]
#[case("accepted", PublicationOutcome::Accepted)]
#[case("conflict", PublicationOutcome::Conflict)]
fn publication_body_has_outcome_and_version(
    #[case] name: &str,
    #[case] outcome: PublicationOutcome,
) {
    let body = json!({"outcome": name, "version": 7, "id": "p-1"});
    let response: PublicationResponse = serde_json::from_value(body.clone()).unwrap();
    assert_eq!(response.outcome, outcome);
    assert_eq!(response.version, Version(7));
    assert_eq!(serde_json::to_value(&response).unwrap(), body);
}

/// Guards against an unknown version reported as version 0 and a missing owner reported as a name.
#[test]
fn status_body_omits_unknown_fields() {
    let body = json!({
        "instance": "a", "version": 7,
        "instances": [
            {"name": "a", "state": "live", "version": 7},
            {"name": "b", "state": "silent"},
        ],
        "groups": [
            {"group": "jobs-0", "holder": "a", "epoch": 3},
            {"group": "jobs-1", "epoch": 0},
        ],
    });
    let status: FleetStatus = serde_json::from_value(body.clone()).unwrap();
    assert_eq!(status.instances[1].state, InstanceState::Silent);
    assert_eq!(status.instances[1].version, None);
    assert_eq!(status.groups[0].epoch, Epoch(3));
    assert_eq!(serde_json::to_value(&status).unwrap(), body);
}
