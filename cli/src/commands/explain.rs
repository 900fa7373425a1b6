//! `explain`: prints where a request would be sent, and why.

use clap::ArgMatches;
use limpetweir_protocol::http::{
    ExplainedQuota,
    Explanation, //
};
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
    let response: Explanation = async_io::block_on(fleet.json(&call))?;
    if options.json {
        return output::json(&response);
    }
    print(&response)
}

fn print(response: &Explanation) -> Result<(), Error> {
    let choice = response.choice.as_ref();
    let choice = choice.map_or("rejected", |choice| choice.backend.as_str());
    output::line(&format!(
        "{} ({}, version {}), service {}: {choice}",
        response.instance, response.phase, response.config_version.0, response.service
    ))?;
    output::line(&response.reason)?;
    if let Some(quota) = &response.quota {
        output::line(&describe_quota(quota))?;
    }
    let heading = [
        "BACKEND",
        "FREE",
        "OVERLOADED",
        "PREFERRED",
        "SAME ZONE",
        "EXCLUDED",
    ];
    let mut rows = vec![heading.map(str::to_owned).to_vec()];
    for backend in &response.considered {
        rows.push(vec![
            backend.backend.to_string(),
            backend.free.to_string(),
            yes_no(backend.overloaded),
            yes_no(backend.preferred),
            yes_no(backend.same_zone),
            backend.exclusion.clone().unwrap_or_default(),
        ]);
    }
    output::table(&rows)
}

fn describe_quota(quota: &ExplainedQuota) -> String {
    let home = quota.home.as_ref();
    let home = home.map_or("without a home", |home| home.as_str());
    let share = quota.share.map_or("no share".to_owned(), |share| {
        format!(
            "a share of {} requests/s, {} requests now, for {} ms",
            share.rate, share.tokens, share.remaining_ms
        )
    });
    format!("quota {} ({home}): {share}", quota.group)
}

fn yes_no(value: bool) -> String {
    let text = if value { "yes" } else { "no" };
    text.to_owned()
}
