//! `key`: creates and withdraws keys of organisations.

use std::path::PathBuf;

use clap::ArgMatches;
use jiff::Timestamp;
use limpetweir_protocol::http::PublicationOutcome;
use limpetweir_state::{
    KeyDigest,
    KeyId,
    OrganisationId,
    Version, //
};
use serde_json::{
    Value,
    json, //
};

use super::config::{
    check_document,
    fetch, //
};
use super::publish::{
    self,
    Publication,
    new_id, //
};
use super::{
    arg,
    subcommand,
    unknown_command, //
};
use crate::document::{
    add_key,
    remove_key, //
};
use crate::error::Error;
use crate::fleet::Fleet;
use crate::options::{
    Options,
    read_text, //
};
use crate::output;
use crate::secret::Secret;

/// Maximum number of publication attempts when other operators publish concurrently.
const MAX_PUBLISH_ATTEMPTS: usize = 5;

/// A change to the keys of one organisation.
#[derive(Debug)]
struct KeyChange {
    organisation: OrganisationId,
    key: KeyId,
    /// Digest of the key to add; `None` withdraws the key.
    digest: Option<KeyDigest>,
}

impl KeyChange {
    /// Applies the change to a document and validates the result.
    fn apply(&self, file: &str, document: &str) -> Result<String, Error> {
        check_document(file, document)?;
        let changed = match &self.digest {
            Some(digest) => add_key(document, &self.organisation, &self.key, digest)?,
            None => remove_key(document, &self.organisation, &self.key)?,
        };
        check_document(file, &changed)?;
        Ok(changed)
    }

    /// Replaces the error of an unanswered publication by one with advice for the key change: the
    /// operator cannot repeat the publication, because only this process has the document.
    fn map_publication_error(&self, err: Error) -> Error {
        let Error::PublicationUnknown { source, .. } = err else {
            return err;
        };
        Error::KeyChangeUnknown {
            organisation: self.organisation.to_string(),
            key: self.key.to_string(),
            advice: match self.digest {
                Some(_) => "withdraw it if it exists, because its secret is not kept",
                None => "run the same command again",
            },
            source,
        }
    }

    fn to_json(&self) -> Value {
        json!({"organisation": self.organisation, "key_id": self.key})
    }
}

/// Runs a subcommand of `key`.
pub(super) fn run(matches: &ArgMatches) -> Result<(), Error> {
    let (name, matches) = subcommand(matches)?;
    let options = Options::new(matches)?;
    match name {
        "create" => create(matches, &options),
        "withdraw" => withdraw(matches, &options),
        other => Err(unknown_command(other)),
    }
}

fn create(matches: &ArgMatches, options: &Options) -> Result<(), Error> {
    let secret = Secret::create()?;
    let change = KeyChange {
        organisation: arg::<OrganisationId>(matches, "organisation")?.clone(),
        key: key_id(matches)?,
        digest: Some(secret.digest()),
    };
    if let Some(document) = document_to_print(matches, options, &change)? {
        return print_document(options, &change, Some(&secret), &document);
    }
    let mut fleet = options.admin()?;
    let version = async_io::block_on(publish_change(&mut fleet, &change))?;
    // Printed before waiting: the key already exists, even if the wait is interrupted.
    if options.json {
        let mut shown = change.to_json();
        shown["secret"] = secret.expose().into();
        shown["version"] = version.0.into();
        output::json(&shown)?;
    } else {
        eprintln!("key {}, shown only now:", change.key);
        output::line(secret.expose())?;
    }
    async_io::block_on(publish::wait_in_force(&mut fleet, options, version))
}

fn withdraw(matches: &ArgMatches, options: &Options) -> Result<(), Error> {
    let change = KeyChange {
        organisation: arg::<OrganisationId>(matches, "organisation")?.clone(),
        key: arg::<KeyId>(matches, "key-id")?.clone(),
        digest: None,
    };
    if let Some(document) = document_to_print(matches, options, &change)? {
        return print_document(options, &change, None, &document);
    }
    let mut fleet = options.admin()?;
    let version = async_io::block_on(async {
        let version = publish_change(&mut fleet, &change).await?;
        publish::wait_in_force(&mut fleet, options, version).await?;
        Ok::<_, Error>(version)
    })?;
    if options.json {
        let mut shown = change.to_json();
        shown["version"] = version.0.into();
        return output::json(&shown);
    }
    let key = &change.key;
    output::line(&format!(
        "key {key} is withdrawn; version {} is in force",
        version.0
    ))
}

fn key_id(matches: &ArgMatches) -> Result<KeyId, Error> {
    if let Some(name) = matches.get_one::<KeyId>("id") {
        return Ok(name.clone());
    }
    let name = Timestamp::now().strftime("key-%Y%m%d-%H%M%S").to_string();
    KeyId::try_from(name).map_err(|cause| Error::usage(cause.to_string()))
}

/// Returns the changed document if it is to be printed instead of published.
fn document_to_print(
    matches: &ArgMatches,
    options: &Options,
    change: &KeyChange,
) -> Result<Option<String>, Error> {
    if let Some(path) = matches.get_one::<PathBuf>("file") {
        let document = read_text(path)?;
        return change
            .apply(&path.display().to_string(), &document)
            .map(Some);
    }
    if !matches.get_flag("print") {
        return Ok(None);
    }
    let mut fleet = options.admin()?;
    let current = async_io::block_on(fetch(&mut fleet))?;
    change
        .apply(&version_label(current.version), &current.document)
        .map(Some)
}

fn version_label(version: Version) -> String {
    format!("version {}", version.0)
}

/// Prints a document; the secret is written to standard error, so that redirecting standard output
/// to a file never stores it together with the document.
fn print_document(
    options: &Options,
    change: &KeyChange,
    secret: Option<&Secret>,
    document: &str,
) -> Result<(), Error> {
    if options.json {
        let mut shown = change.to_json();
        shown["document"] = document.into();
        if let Some(secret) = secret {
            shown["secret"] = secret.expose().into();
        }
        return output::json(&shown);
    }
    if let Some(secret) = secret {
        eprintln!("key {}, shown only now: {}", change.key, secret.expose());
    }
    output::print(document)
}

/// Applies the change to the version in force and publishes it; repeats this after a conflict.
async fn publish_change(fleet: &mut Fleet, change: &KeyChange) -> Result<Version, Error> {
    let mut attempts = 1;
    loop {
        let current = fetch(fleet).await?;
        let name = version_label(current.version);
        let publication = Publication {
            id: new_id()?,
            base: current.version,
            document: change.apply(&name, &current.document)?,
        };
        let response = publish::send(fleet, &publication).await;
        let response = response.map_err(|err| change.map_publication_error(err))?;
        if response.outcome == PublicationOutcome::Accepted {
            return Ok(response.version);
        }
        if attempts == MAX_PUBLISH_ATTEMPTS {
            return Err(publish::conflict_error(&publication, &response));
        }
        attempts += 1;
    }
}
