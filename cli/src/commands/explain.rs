//! `explain`: shows where a request would be sent, and why.

use clap::ArgMatches;
use limpetweir_protocol::http::Explanation;
use limpetweir_state::{
    ModelId,
    OrganisationId,
    ServiceId, //
};

use crate::error::Error;
use crate::fleet::{
    Call,
    query, //
};
use crate::options::Options;
use crate::output;

/// Runs `explain`.
pub(super) fn run(matches: &ArgMatches) -> Result<(), Error> {
    let options = Options::new(matches)?;
    let fields = [
        ("model", matches.get_one("model").map(ModelId::as_str)),
        ("service", matches.get_one("service").map(ServiceId::as_str)),
        (
            "organisation",
            matches.get_one("organisation").map(OrganisationId::as_str),
        ),
        ("prompt", matches.get_one("prompt").map(String::as_str)),
    ];
    let fields: Vec<_> = fields
        .into_iter()
        .filter_map(|(name, value)| Some((name, value?)))
        .collect();
    let call = Call::get(format!("/admin/explain?{}", query(&fields)));
    let mut fleet = options.admin()?;
    let answer: Explanation = async_io::block_on(fleet.json(&call))?;
    if options.json {
        return output::json(&answer);
    }
    show(&answer)
}

fn show(answer: &Explanation) -> Result<(), Error> {
    let chosen = answer.chosen.as_ref();
    let chosen = chosen.map_or("rejected", |backend| backend.as_str());
    let version = answer.version.0;
    output::line(&format!(
        "{} at version {version}, service {}: {chosen}: {}",
        answer.instance, answer.service, answer.reason
    ))?;
    let heading = ["BACKEND", "ZONE", "FREE", "PREFIX", "NEAR", "REASON"];
    let mut rows = vec![heading.map(str::to_owned).to_vec()];
    for backend in &answer.candidates {
        rows.push(vec![
            backend.backend.to_string(),
            backend.zone.to_string(),
            backend.free_slots.to_string(),
            yes_no(backend.prefix_affinity),
            yes_no(backend.same_zone),
            backend.reason.clone(),
        ]);
    }
    output::table(&rows)
}

fn yes_no(value: bool) -> String {
    let text = if value { "yes" } else { "no" };
    text.to_owned()
}
