//! JSON bodies of the admin interface have the form that section 7 of the design page gives.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

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

/// Guards against a change of the answer by which operators learn of a conflict.
#[rstest]
#[case("accepted", PublicationOutcome::Accepted)]
#[case("conflict", PublicationOutcome::Conflict)]
fn publications_name_outcome_and_version(#[case] name: &str, #[case] outcome: PublicationOutcome) {
    let body = json!({"outcome": name, "version": 7, "id": "p-1"});
    let answer: PublicationResponse = serde_json::from_value(body.clone()).unwrap();
    assert_eq!(answer.outcome, outcome);
    assert_eq!(answer.version, Version(7));
    assert_eq!(serde_json::to_value(&answer).unwrap(), body);
}

/// Guards against an unknown version that is reported as version 0, or a missing owner as a name.
#[test]
fn the_status_leaves_out_what_is_not_known() {
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
