//! Findings of the check of a configuration document, in any of its forms.

use std::fmt;

use serde::Serialize;
use toml::Spanned;

use crate::config::{
    RawConfiguration,
    RawService, //
};
use crate::config_fault::{
    ConfigFault,
    LineIndex, //
};

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Severity {
    /// The document is accepted, but a part of it has no effect or contradicts another part.
    Warning,
    /// The document is not accepted.
    Error,
}

/// Kind of a finding. The names are part of the interface of `limpetweir config check --json`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, strum::Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum FindingCode {
    /// The document cannot be parsed.
    Syntax,
    /// The document is not UTF-8.
    NotUtf8,
    /// The document is larger than any that is accepted.
    DocumentTooLarge,
    /// A required field is missing.
    MissingField,
    /// A field occurs twice in the same object.
    DuplicateField,
    /// A value has another type, is out of range, or names nothing.
    InvalidValue,
    /// A value is out of range, and the nearest one is used.
    ValueClamped,
    /// Two entries of a kind have the same name; only one of them is found by it.
    DuplicateName,
    /// Another route gets all requests of this one.
    RouteShadowed,
    /// No request has the host or the path of the route.
    RouteNeverMatches,
    /// A share of a split gets no request.
    SplitWeightZero,
    /// A route names a service that the document does not define.
    UnknownService,
    /// No route or organisation names the service.
    ServiceUnused,
    /// Two organisations have the same API key; only one of them is found by it.
    ApiKeyShared,
    /// An organisation has no API key, so that it has no callers.
    OrganisationWithoutKey,
    /// A burst admits less than one request.
    BurstBelowOneRequest,
    /// An organisation has a rate, and a burst of 0.
    RateWithoutBurst,
    /// The cap of a batch route is below the tokens of any item.
    CapBelowOneItem,
    /// Requests end before the latency objective of their route.
    TimeoutBelowObjective,
    /// The largest body is smaller than the largest head.
    BodyLimitBelowHeadLimit,
    /// A rate of 0 for cold servers, which means no limit.
    ColdRateZero,
    /// The rates of the organisations add up to more than the servers run.
    RatesAboveFleet,
}

impl FindingCode {
    /// Returns the severity of the findings of this kind.
    pub fn severity(self) -> Severity {
        if self <= Self::InvalidValue {
            Severity::Error
        } else {
            Severity::Warning
        }
    }
}

/// One finding of a check.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Kind of the finding.
    pub code: FindingCode,
    /// How serious it is.
    pub severity: Severity,
    /// Line in the document, counted from 1.
    pub line: usize,
    /// Column in the line in characters, counted from 1, if it is known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub column: Option<usize>,
    /// Place in the document, such as `routes[3].pathPrefix` or `organisation.rate`.
    pub place: String,
    /// What is wrong and what is accepted.
    pub message: String,
}

impl fmt::Display for Finding {
    /// Formats an error like the fault of a document, `line: place: message`; a warning also names
    /// its severity and its code.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (line, place, message) = (self.line, &self.place, &self.message);
        match self.severity {
            Severity::Error => write!(f, "{line}: {place}: {message}"),
            Severity::Warning => write!(f, "{line}: {place}: warning: {message} [{}]", self.code),
        }
    }
}

impl From<&ConfigFault> for Finding {
    fn from(fault: &ConfigFault) -> Self {
        let code = match fault.field.as_str() {
            "document" => FindingCode::Syntax,
            _ => FindingCode::InvalidValue,
        };
        Self {
            code,
            severity: code.severity(),
            line: fault.line,
            column: None,
            place: fault.field.clone(),
            message: fault.message.clone(),
        }
    }
}

/// Returns the entries of an accepted document that have no effect, in the order of their lines.
pub fn configuration_warnings(raw: &RawConfiguration, text: &str) -> Vec<Finding> {
    let lines = LineIndex::new(text);
    let warning = |code: FindingCode, id: &Spanned<String>, place: &str, message: &str| Finding {
        code,
        severity: code.severity(),
        line: lines.line(id.span().start),
        column: None,
        place: place.to_owned(),
        message: format!("{:?} {message}", id.get_ref()),
    };
    let organisations = raw.organisation.iter().map(Spanned::get_ref);
    let without_key = organisations.clone().filter(|o| o.key.is_empty());
    let mut findings: Vec<_> = without_key
        .map(|organisation| {
            let message = "has no key, so it has no callers: add one, or remove the organisation";
            let code = FindingCode::OrganisationWithoutKey;
            warning(code, &organisation.id, "organisation.key", message)
        })
        .collect();
    let names = |service: &RawService| {
        let mut names = organisations.clone().flat_map(|o| &o.services);
        names.any(|name| name.get_ref() == service.id.get_ref())
    };
    let is_open = |service: &RawService| {
        let access = service.access.as_ref();
        access.is_some_and(|access| access.get_ref() == "open")
    };
    let services = raw.service.iter().map(Spanned::get_ref);
    let unused = services.filter(|service| !is_open(service) && !names(service));
    findings.extend(unused.map(|service| {
        let message = "is named by no organisation, so it gets no requests: name it in the services \
            of one, or remove it";
        let code = FindingCode::ServiceUnused;
        warning(code, &service.id, "service.id", message)
    }));
    findings.sort_by_key(|finding| finding.line);
    findings
}
