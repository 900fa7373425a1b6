//! `config`: checks, publishes, compares and shows configuration documents.

use std::path::PathBuf;

use clap::ArgMatches;
use limpetweir_protocol::http::{
    FleetStatus,
    VERSION_HEADER, //
};
use limpetweir_protocol::parse_configuration;
use limpetweir_state::{
    Configuration,
    PublicationId,
    Version, //
};
use serde_json::json;
use similar::TextDiff;

use super::publish::{
    Publication,
    new_id, //
};
use super::{
    arg,
    check,
    publish,
    subcommand,
    unknown_command, //
};
use crate::args::Base;
use crate::error::Error;
use crate::fleet::{
    Call,
    Fleet, //
};
use crate::options::{
    Options,
    read_text, //
};
use crate::output;

/// The configuration document in force, with its version.
pub(super) struct CurrentDocument {
    pub(super) version: Version,
    pub(super) document: String,
}

/// Runs a subcommand of `config`.
pub(super) fn run(matches: &ArgMatches) -> Result<(), Error> {
    let (name, matches) = subcommand(matches)?;
    let options = Options::new(matches)?;
    match name {
        "check" => check::run(matches, &options),
        "publish" => publish_file(matches, &options),
        "diff" => diff(matches, &options),
        "show" => show(&options),
        "status" => status(&options),
        other => Err(unknown_command(other)),
    }
}

/// Requests the document in force and its version.
pub(super) async fn fetch(fleet: &mut Fleet) -> Result<CurrentDocument, Error> {
    let call = Call::get("/admin/config");
    let response = fleet.request(&call).await?;
    let malformed = |cause: &str| Error::MalformedResponse {
        request: call.name(),
        cause: cause.to_owned(),
    };
    let version = response.headers.get(VERSION_HEADER);
    let version = version.and_then(|value| value.to_str().ok()?.parse().ok());
    let version = version.ok_or_else(|| malformed("the header x-limpetweir-version is missing"))?;
    let document = String::from_utf8(response.body.to_vec());
    Ok(CurrentDocument {
        version: Version(version),
        document: document.map_err(|_| malformed("the document is not UTF-8"))?,
    })
}

/// Validates a document; the error contains `file` and every fault.
pub(super) fn check_document(file: &str, text: &str) -> Result<Configuration, Error> {
    parse_configuration(text).map_err(|source| Error::Document {
        file: file.to_owned(),
        source,
    })
}

fn read_document(matches: &ArgMatches) -> Result<(String, String), Error> {
    let path: &PathBuf = arg(matches, "file")?;
    Ok((path.display().to_string(), read_text(path)?))
}

fn publish_file(matches: &ArgMatches, options: &Options) -> Result<(), Error> {
    let (file, document) = read_document(matches)?;
    check_document(&file, &document)?;
    let base: Base = *arg(matches, "base")?;
    let id = matches.get_one::<PublicationId>("id").cloned();
    let id = id.map_or_else(new_id, Ok)?;
    let mut fleet = options.admin()?;
    async_io::block_on(async {
        let base = match base {
            Base::Current => fetch(&mut fleet).await?.version,
            Base::Version(version) => Version(version),
        };
        let publication = Publication { id, base, document };
        publish::run(&mut fleet, options, &publication).await
    })
}

fn diff(matches: &ArgMatches, options: &Options) -> Result<(), Error> {
    let (file, text) = read_document(matches)?;
    check_document(&file, &text)?;
    let mut fleet = options.admin()?;
    let current = async_io::block_on(fetch(&mut fleet))?;
    let version = current.version.0;
    let diff = TextDiff::from_lines(&current.document, &text);
    let unified = diff
        .unified_diff()
        .header(&format!("version {version}"), &file)
        .to_string();
    if options.json {
        let changed = current.document != text;
        return output::json(&json!({"version": version, "changed": changed, "diff": unified}));
    }
    output::print(&unified)
}

fn show(options: &Options) -> Result<(), Error> {
    let mut fleet = options.admin()?;
    let current = async_io::block_on(fetch(&mut fleet))?;
    if options.json {
        let version = current.version.0;
        return output::json(&json!({"version": version, "document": current.document}));
    }
    eprintln!("version {}", current.version.0);
    output::print(&current.document)
}

fn status(options: &Options) -> Result<(), Error> {
    let mut fleet = options.admin()?;
    let call = Call::get("/admin/status");
    let status: FleetStatus = async_io::block_on(fleet.json(&call))?;
    if options.json {
        return output::json(&status);
    }
    let mut rows = vec![["INSTANCE", "STATE", "VERSION"].map(str::to_owned).to_vec()];
    for instance in &status.instances {
        let version = instance.version;
        let version = version.map_or("unknown".to_owned(), |version| version.0.to_string());
        let state = instance.state.to_string();
        rows.push(vec![instance.name.to_string(), state, version]);
    }
    output::table(&rows)
}
