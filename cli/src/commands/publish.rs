//! Publishes a document and waits until it is in force on every instance.

use std::time::{
    Duration,
    Instant, //
};

use hyper::StatusCode;
use indicatif::{
    ProgressBar,
    ProgressStyle, //
};
use limpetweir_protocol::http::{
    FleetStatus,
    PublicationOutcome, //
    PublicationResponse,
};
use limpetweir_state::{
    PublicationId,
    Verdict,
    Version, //
};
use limpetweir_transport::sleep;
use serde_json::json;

use crate::error::Error;
use crate::fleet::{
    Call,
    Fleet,
    parse,
    query, //
};
use crate::options::Options;
use crate::output;
use crate::random;

/// Interval at which the status is polled.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// A document to publish, with its base version and identifier.
#[derive(Debug)]
pub(super) struct Publication {
    pub(super) id: PublicationId,
    pub(super) base: Version,
    pub(super) document: String,
}

/// Generates the identifier of a new publication.
pub(super) fn new_id() -> Result<PublicationId, Error> {
    PublicationId::try_from(random::id()?).map_err(|cause| Error::usage(cause.to_string()))
}

/// Publishes a document, waits until it is in force everywhere and prints the result.
pub(super) async fn run(
    fleet: &mut Fleet,
    options: &Options,
    publication: &Publication,
) -> Result<(), Error> {
    eprintln!(
        "publication {} on base {}",
        publication.id, publication.base.0
    );
    let response = send(fleet, publication).await?;
    if response.outcome == PublicationOutcome::Conflict {
        if options.json {
            output::json(&response)?;
        }
        return Err(conflict_error(publication, &response));
    }
    let result = wait_in_force(fleet, options, response.version).await;
    if options.json {
        output::json(&json!({
            "outcome": response.outcome,
            "version": response.version,
            "id": response.id,
            "in_force": result.is_ok(),
        }))?;
        return result;
    }
    result?;
    output::line(&format!("version {} is in force", response.version.0))
}

/// Sends a publication; a repeated one with the same identifier has no further effect.
pub(super) async fn send(
    fleet: &mut Fleet,
    publication: &Publication,
) -> Result<PublicationResponse, Error> {
    let base = publication.base.0.to_string();
    let fields = query(&[("base", &base), ("id", publication.id.as_str())]);
    let path = format!("/admin/config?{fields}");
    let call = Call::post(path, publication.document.clone())
        .idempotent()
        .expect(StatusCode::CONFLICT);
    match fleet.request(&call).await {
        Ok(response) => parse(&call, &response),
        Err(source) if source.verdict() == Verdict::NotRun => Err(source.into()),
        Err(source) => Err(Error::PublicationUnknown {
            base: publication.base.0,
            id: publication.id.to_string(),
            source: Box::new(source),
        }),
    }
}

/// Returns the error for a publication whose base is no longer in force.
pub(super) fn conflict_error(publication: &Publication, response: &PublicationResponse) -> Error {
    Error::Conflict {
        base: publication.base.0,
        current: response.version.0,
    }
}

/// Polls the status until every listed instance has at least `version`, or until the timeout.
pub(super) async fn wait_in_force(
    fleet: &mut Fleet,
    options: &Options,
    version: Version,
) -> Result<(), Error> {
    let deadline = Instant::now() + options.timeout;
    let progress = ProgressBar::new(0);
    if let Ok(style) = ProgressStyle::with_template("in force on {pos} of {len} instances {bar}") {
        progress.set_style(style);
    }
    let call = Call::get("/admin/status");
    let mut missing;
    loop {
        match fleet.json::<FleetStatus>(&call).await {
            Ok(status) => {
                missing = find_missing(&status, version);
                update_progress(&progress, &status, version);
            }
            Err(cause) => missing = vec![format!("unknown, because {cause}")],
        }
        if missing.is_empty() {
            progress.finish_and_clear();
            return Ok(());
        }
        if Instant::now() + STATUS_POLL_INTERVAL >= deadline {
            break;
        }
        sleep(STATUS_POLL_INTERVAL).await;
    }
    progress.finish_and_clear();
    Err(Error::NotInForceEverywhere {
        version: version.0,
        missing: missing.join(", "),
    })
}

fn update_progress(progress: &ProgressBar, status: &FleetStatus, version: Version) {
    let up_to_date = status.instances.iter();
    let up_to_date = up_to_date.filter(|i| i.version >= Some(version)).count();
    progress.set_length(status.instances.len() as u64);
    progress.set_position(up_to_date as u64);
}

/// Describes the instances that have not reported `version` as in force.
fn find_missing(status: &FleetStatus, version: Version) -> Vec<String> {
    let mut missing = Vec::new();
    if status.version < version {
        missing.push(format!(
            "{} (version {})",
            status.instance, status.version.0
        ));
    }
    for instance in &status.instances {
        if instance.name == status.instance || instance.version >= Some(version) {
            continue;
        }
        let reported = instance.version;
        let reported = reported.map_or("unknown".to_owned(), |version| version.0.to_string());
        let name = &instance.name;
        missing.push(format!("{name} ({}, version {reported})", instance.state));
    }
    missing
}
