//! `config check`: findings about a configuration document, and its differences to another one.

use std::ffi::OsStr;
use std::path::{
    Path,
    PathBuf, //
};

use clap::ArgMatches;
use limpetweir_platform::check;
use limpetweir_protocol::{
    ConfigFault,
    Difference,
    Finding,
    RawConfiguration,
    configuration_differences,
    configuration_warnings, //
};
use serde::Serialize;

use super::arg;
use super::config::{
    check_document,
    fetch, //
};
use crate::args::Against;
use crate::error::Error;
use crate::options::{
    Options,
    read_bytes, //
};
use crate::output;

/// Form of a configuration document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, strum::Display)]
#[serde(rename_all = "lowercase")]
#[strum(serialize_all = "lowercase")]
enum Form {
    /// The product's own document, in TOML.
    Product,
    /// The platform's configuration, a JSON object.
    Platform,
}

impl Form {
    /// Returns the form of a document. No TOML document starts with a brace; a file that is not JSON
    /// is taken for the platform's form if it has the name of one.
    fn of(path: &Path, document: &[u8]) -> Self {
        let document = document.strip_prefix(b"\xef\xbb\xbf").unwrap_or(document);
        let is_object = document.trim_ascii_start().starts_with(b"{");
        if is_object || path.extension() == Some(OsStr::new("json")) {
            Self::Platform
        } else {
            Self::Product
        }
    }
}

/// A document with its name and form.
struct Document {
    name: String,
    form: Form,
    bytes: Vec<u8>,
}

impl Document {
    fn read(path: &Path) -> Result<Self, Error> {
        let bytes = read_bytes(path).map_err(|source| Error::ReadDocument {
            path: path.to_owned(),
            source,
        })?;
        Ok(Self {
            name: path.display().to_string(),
            form: Form::of(path, &bytes),
            bytes,
        })
    }

    /// Returns the text of a document of the product's form.
    fn text(&self) -> Result<&str, Error> {
        str::from_utf8(&self.bytes).map_err(|cause| Error::Read {
            path: PathBuf::from(&self.name),
            source: std::io::Error::new(std::io::ErrorKind::InvalidData, cause),
        })
    }

    fn raw(&self) -> Result<RawConfiguration, Error> {
        let parsed = RawConfiguration::parse(self.text()?);
        parsed.map_err(|source| Error::Document {
            file: self.name.clone(),
            source,
        })
    }
}

/// Result of a check in JSON.
#[derive(Serialize)]
struct Report<'a> {
    file: &'a str,
    form: Form,
    valid: bool,
    /// Errors of the product's form, in the representation of the fleet's refusals.
    #[serde(skip_serializing_if = "Option::is_none")]
    faults: Option<&'a [ConfigFault]>,
    findings: &'a [Finding],
    #[serde(skip_serializing_if = "Option::is_none")]
    differences: Option<&'a [Difference]>,
}

/// Checks the document of the arguments.
pub(super) fn run(matches: &ArgMatches, options: &Options) -> Result<(), Error> {
    let path: &PathBuf = arg(matches, "file")?;
    let servers: Option<u32> = matches.get_one("servers").copied();
    let against: Option<&Against> = matches.get_one("against");
    let document = Document::read(path)?;
    match document.form {
        Form::Platform => {
            let against = match against {
                None => None,
                Some(Against::File(path)) => Some(earlier(&document, path)?),
                Some(Against::Current) => return Err(unsupported(&document, "--against current")),
            };
            check_platform(&document, against.as_ref(), servers, options)
        }
        Form::Product => {
            if servers.is_some() {
                return Err(unsupported(&document, "--servers"));
            }
            let against = match against {
                None => None,
                Some(Against::File(path)) => Some(earlier(&document, path)?),
                Some(Against::Current) => Some(current(options)?),
            };
            check_product(&document, against.as_ref(), options)
        }
    }
}

fn unsupported(document: &Document, option: &str) -> Error {
    let (name, form) = (&document.name, document.form);
    Error::usage(format!(
        "{option} is not possible with the {form}'s form of {name}"
    ))
}

/// Reads the document that `document` is compared with.
fn earlier(document: &Document, path: &Path) -> Result<Document, Error> {
    let earlier = Document::read(path)?;
    if earlier.form != document.form {
        return Err(Error::usage(format!(
            "{} has the {}'s form and {} the {}'s: compare documents of the same form",
            earlier.name, earlier.form, document.name, document.form
        )));
    }
    Ok(earlier)
}

/// Requests the document in force.
fn current(options: &Options) -> Result<Document, Error> {
    let mut fleet = options.admin()?;
    let current = async_io::block_on(fetch(&mut fleet))?;
    Ok(Document {
        name: format!("version {}", current.version.0),
        form: Form::Product,
        bytes: current.document.into_bytes(),
    })
}

fn check_platform(
    document: &Document,
    against: Option<&Document>,
    servers: Option<u32>,
    options: &Options,
) -> Result<(), Error> {
    if let Some(against) = against {
        let checked = check::check(&against.bytes, None);
        if !checked.is_valid() {
            return findings(against, checked.findings);
        }
    }
    let checked = check::check(&document.bytes, servers);
    let valid = checked.is_valid();
    let against = against.filter(|_| valid);
    let differences = against.map(|against| check::compare(&against.bytes, &document.bytes));
    if options.json {
        output::json(&Report {
            file: &document.name,
            form: document.form,
            valid,
            faults: None,
            findings: &checked.findings,
            differences: differences.as_deref(),
        })?;
    } else if valid {
        output::line(&format!(
            "{}: valid; organisations: {}, services: {}, routes: {}",
            document.name, checked.organisations, checked.services, checked.routes
        ))?;
        print(differences.as_deref())?;
    }
    findings(document, checked.findings)
}

fn check_product(
    document: &Document,
    against: Option<&Document>,
    options: &Options,
) -> Result<(), Error> {
    let raw_against = match against {
        Some(against) => {
            check_document(&against.name, against.text()?)?;
            Some(against.raw()?)
        }
        None => None,
    };
    let text = document.text()?;
    let checked = check_document(&document.name, text);
    let cfg = match checked {
        Ok(cfg) => cfg,
        Err(err) => {
            if let (true, Error::Document { source, .. }) = (options.json, &err) {
                let findings: Vec<Finding> = source.faults().iter().map(Finding::from).collect();
                output::json(&Report {
                    file: &document.name,
                    form: document.form,
                    valid: false,
                    faults: Some(source.faults()),
                    findings: &findings,
                    differences: None,
                })?;
            }
            return Err(err);
        }
    };
    let raw = document.raw()?;
    let warnings = configuration_warnings(&raw, text);
    let differences = raw_against.map(|against| configuration_differences(&against, &raw));
    // Serialization cannot fail: all maps have string keys.
    let differences = differences.map(Result::unwrap_or_default);
    if options.json {
        output::json(&Report {
            file: &document.name,
            form: document.form,
            valid: true,
            faults: Some(&[]),
            findings: &warnings,
            differences: differences.as_deref(),
        })?;
    } else {
        output::line(&format!(
            "{}: valid; organisations: {}, services: {}, backend servers: {}",
            document.name,
            cfg.organisations().count(),
            cfg.services().count(),
            cfg.backends().count()
        ))?;
        print(differences.as_deref())?;
    }
    findings(document, warnings)
}

fn print(differences: Option<&[Difference]>) -> Result<(), Error> {
    let differences = differences.unwrap_or_default();
    differences
        .iter()
        .try_for_each(|difference| output::line(&difference.to_string()))
}

/// Returns an error with the findings, if there are any.
fn findings(document: &Document, findings: Vec<Finding>) -> Result<(), Error> {
    if findings.is_empty() {
        return Ok(());
    }
    Err(Error::Findings {
        file: document.name.clone(),
        findings,
    })
}
