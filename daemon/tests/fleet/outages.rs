//! Tests of outages of the log and of trimmed records.

use limpetweir_protocol::http::ErrorBody;
use limpetweir_standins::log::{
    LogControl,
    Outage,
    TrimTo, //
};
use limpetweir_state::{
    ClaimRecord,
    EntryBody,
    Offset,
    Publish,
    Verdict, //
};

use super::support::{
    Fleet,
    document,
    wait_for, //
};

const NAMES: [&str; 3] = ["a1", "a2", "a3"];

fn outage(outage: Outage) -> LogControl {
    LogControl {
        outage: Some(outage),
        ..LogControl::default()
    }
}

/// Guards against an instance that cannot serve after a restart during a log outage, and against a
/// publication that is accepted without the log.
#[test]
fn an_instance_started_in_a_log_outage_serves_a_fetched_configuration() {
    let mut fleet = Fleet::start(&NAMES);
    fleet.publish_accepted("a1", 0, "first", &document(1));
    wait_for("version 1 is in force on every instance", || {
        let in_force = |name| {
            fleet
                .document(name)
                .is_some_and(|(version, _)| version == 1)
        };
        NAMES.into_iter().all(in_force).then_some(())
    });
    fleet.control_log(&outage(Outage::Reject));
    fleet.kill("a3");
    fleet.run("a3");
    assert!(!fleet.is_serving("a3"));
    fleet.enlist(&["a3"]);
    wait_for("a3 serves", || fleet.is_serving("a3").then_some(()));
    assert_eq!(fleet.document("a3"), Some((1, document(1))));
    let response = fleet.publish("a3", 1, "second", &document(2));
    assert_eq!(response.status, 503);
    let body: ErrorBody = response.json().unwrap();
    assert_eq!(body.error.code, "log_unreachable");
    assert_eq!(body.error.verdict, Verdict::NotRun);
    fleet.control_log(&outage(Outage::Off));
    fleet.publish_accepted("a3", 1, "second", &document(2));
}

/// Guards against an instance that serves although neither the log nor a majority shows that its
/// configuration is current.
#[test]
fn an_instance_without_log_and_majority_stops_serving() {
    let mut fleet = Fleet::start(&NAMES);
    fleet.publish_accepted("a1", 0, "first", &document(1));
    fleet.control_log(&outage(Outage::Hang));
    fleet.kill("a2");
    fleet.kill("a3");
    wait_for("a1 stops serving", || {
        (!fleet.is_serving("a1")).then_some(())
    });
    fleet.control_log(&outage(Outage::Off));
    wait_for("a1 serves again", || fleet.is_serving("a1").then_some(()));
}

/// Returns the `as_of` offset of the last complete snapshot that covers at least the records up to
/// `from`.
fn snapshot_after<R: limpetweir_protocol::records::StreamRecord>(
    fleet: &Fleet,
    stream: &str,
    from: Offset,
) -> Option<Offset> {
    let records = fleet.records::<R>(stream).into_iter();
    let snapshots = records.filter_map(|(_, entry)| match entry.body {
        EntryBody::Snapshot(part) if part.part + 1 == part.parts => Some(part.as_of),
        _ => None,
    });
    snapshots.filter(|as_of| *as_of >= from).last()
}

/// Guards against an instance that cannot start after the first records were trimmed.
#[test]
fn an_instance_started_after_trimming_recovers_from_snapshots() {
    let mut fleet = Fleet::with_retention(&NAMES, 400);
    fleet.publish_accepted("a1", 0, "first", &document(1));
    let owners = fleet.wait_settled();
    let published = Offset(fleet.records::<Publish>("config").len() as u64 - 1);
    let claimed = owners.values().map(|(_, epoch)| epoch - 1).max().unwrap();
    let config = wait_for("a snapshot of the configuration", || {
        snapshot_after::<Publish>(&fleet, "config", published)
    });
    let claims = wait_for("a snapshot of the claims", || {
        snapshot_after::<ClaimRecord>(&fleet, "claims", Offset(claimed))
    });
    for (stream, as_of) in [("config", config), ("claims", claims)] {
        fleet.control_log(&LogControl {
            trim: Some(TrimTo {
                stream: stream.to_owned(),
                before: as_of.next().0,
            }),
            ..LogControl::default()
        });
    }
    fleet.kill("a3");
    fleet.run("a3");
    // It is not listed under its new address, so it receives nothing from its peers.
    wait_for("a3 reads the configuration", || {
        let (version, text) = fleet.document("a3")?;
        (version == 1 && text == document(1)).then_some(())
    });
    fleet.enlist(&["a3"]);
    fleet.wait_settled();
}
