//! Checks of a whole configuration document, which report all faults.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Display;
use std::net::SocketAddr;

use limpetweir_state::{
    Access,
    Backend,
    Configuration,
    Key,
    KeyDigest,
    Limit,
    Method,
    Organisation,
    Service,
    ServiceKind, //
};
use toml::Spanned;

use crate::config::{
    RawBackend,
    RawConfiguration,
    RawKey,
    RawOrganisation,
    RawService,
    access_names, //
};
use crate::config_fault::{
    ConfigDocumentError,
    ConfigFault,
    LineIndex, //
};

/// Maximum number of slots of a backend server.
const MAX_SLOTS: u32 = 65_536;

/// Names defined in the document.
///
/// Includes invalid names, so that an invalid name is not reported again at each use.
struct DefinedNames<'a> {
    /// Backend servers of each service, from the service tables.
    services: BTreeMap<&'a str, BTreeSet<&'a str>>,
    /// Service of each backend server, from the backend tables.
    backends: BTreeMap<&'a str, &'a str>,
}

impl<'a> DefinedNames<'a> {
    fn new(raw: &'a RawConfiguration) -> Self {
        let service = |raw: &'a Spanned<RawService>| {
            let raw = raw.get_ref();
            let backends = raw.backends.iter().map(text).collect();
            (text(&raw.id), backends)
        };
        let backend = |raw: &'a Spanned<RawBackend>| {
            let raw = raw.get_ref();
            (text(&raw.id), text(&raw.service))
        };
        Self {
            services: raw.service.iter().map(service).collect(),
            backends: raw.backend.iter().map(backend).collect(),
        }
    }
}

/// State of the checks of a document.
struct Checker<'a> {
    lines: LineIndex,
    names: DefinedNames<'a>,
    faults: Vec<ConfigFault>,
    /// Line of the first use of each digest.
    digests: BTreeMap<String, usize>,
}

fn text(raw: &Spanned<String>) -> &str {
    raw.get_ref()
}

/// Checks `raw`; `text` is the document that it was parsed from, or empty.
pub(crate) fn check(
    raw: &RawConfiguration,
    text: &str,
) -> Result<Configuration, ConfigDocumentError> {
    let mut checker = Checker {
        lines: LineIndex::new(text),
        names: DefinedNames::new(raw),
        faults: Vec::new(),
        digests: BTreeMap::new(),
    };
    checker.check_unique(
        "organisation.id",
        raw.organisation.iter().map(|o| &o.get_ref().id),
    );
    checker.check_unique("service.id", raw.service.iter().map(|s| &s.get_ref().id));
    checker.check_unique("backend.id", raw.backend.iter().map(|b| &b.get_ref().id));
    let organisations = raw.organisation.iter();
    let organisations: Option<Vec<_>> = checker.check_all(organisations, Checker::organisation);
    let services: Option<Vec<_>> = checker.check_all(raw.service.iter(), Checker::service);
    let backends: Option<Vec<_>> = checker.check_all(raw.backend.iter(), Checker::backend);
    checker.check_unique_addresses(raw);
    let (Some(organisations), Some(services), Some(backends), true) =
        (organisations, services, backends, checker.faults.is_empty())
    else {
        return Err(ConfigDocumentError::new(checker.faults));
    };
    Configuration::new(organisations, services, backends)
        .map_err(|cause| ConfigDocumentError::single(0, "document", cause.to_string()))
}

impl<'a> Checker<'a> {
    fn line<T>(&self, at: &Spanned<T>) -> usize {
        self.lines.line(at.span().start)
    }

    fn report<T>(&mut self, at: &Spanned<T>, field: &str, message: impl Display) {
        let line = self.line(at);
        self.faults.push(ConfigFault {
            line,
            field: field.to_owned(),
            message: message.to_string(),
        });
    }

    /// Checks all items, also after a fault; returns `None` if any item has a fault.
    fn check_all<'r, R: 'r, T>(
        &mut self,
        items: impl Iterator<Item = &'r R>,
        check: impl Fn(&mut Self, &'r R) -> Option<T>,
    ) -> Option<Vec<T>> {
        let checked: Vec<Option<T>> = items.map(|item| check(self, item)).collect();
        checked.into_iter().collect()
    }

    /// Reports a fault and returns `None` if `result` is an error.
    fn ok_or_report<T, U, E: Display>(
        &mut self,
        at: &Spanned<T>,
        field: &str,
        result: Result<U, E>,
    ) -> Option<U> {
        result.map_err(|cause| self.report(at, field, cause)).ok()
    }

    fn check_unique<'r>(&mut self, field: &str, names: impl Iterator<Item = &'r Spanned<String>>) {
        let mut lines_by_value = BTreeMap::new();
        for name in names {
            let line = self.line(name);
            let Some(earlier) = lines_by_value.insert(text(name), line) else {
                continue;
            };
            let name_text = text(name);
            let message =
                format!("{name_text:?} is already used in line {earlier}: use a different name");
            self.report(name, field, message);
        }
    }

    fn organisation(&mut self, raw: &Spanned<RawOrganisation>) -> Option<Organisation> {
        let raw = raw.get_ref();
        let id = self.id(&raw.id, "organisation.id");
        let rate = *raw.rate.get_ref();
        let burst = *raw.burst.get_ref();
        let rate_ok = self.ok_or_report(&raw.rate, "organisation.rate", Limit::check_rate(rate));
        let burst_ok =
            self.ok_or_report(&raw.burst, "organisation.burst", Limit::check_burst(burst));
        let services = self.check_all(raw.services.iter(), |checker, name| {
            checker.check_service_reference(name, "organisation.services")
        });
        self.check_unique("organisation.services", raw.services.iter());
        self.check_unique("organisation.key.id", raw.key.iter().map(|key| &key.id));
        let keys = self.check_all(raw.key.iter(), Checker::key);
        rate_ok.and(burst_ok)?;
        Some(Organisation {
            id: id?,
            limit: Limit::new(rate, burst).ok()?,
            keys: keys?,
            services: services?.into_iter().collect(),
        })
    }

    fn id<T>(&mut self, raw: &Spanned<String>, field: &str) -> Option<T>
    where
        T: for<'r> TryFrom<&'r str, Error: Display>,
    {
        match T::try_from(text(raw)) {
            Ok(id) => Some(id),
            Err(cause) => {
                self.report(raw, field, cause);
                None
            }
        }
    }

    fn check_service_reference<T>(&mut self, raw: &Spanned<String>, field: &str) -> Option<T>
    where
        T: for<'r> TryFrom<&'r str, Error: Display>,
    {
        let name = text(raw);
        if !self.names.services.contains_key(name) {
            let known = format_names(self.names.services.keys().copied());
            let message = format!("service {name:?} does not exist: use {known}");
            self.report(raw, field, message);
            return None;
        }
        T::try_from(name).ok()
    }

    fn key(&mut self, raw: &RawKey) -> Option<Key> {
        let id = self.id(&raw.id, "organisation.key.id");
        let field = "organisation.key.sha256";
        let digest = KeyDigest::from_hex(&raw.sha256.get_ref().0);
        let digest = self.ok_or_report(&raw.sha256, field, digest)?;
        let line = self.line(&raw.sha256);
        let earlier = self.digests.insert(digest.to_hex(), line);
        if let Some(earlier) = earlier {
            let message = format!("the key is already used in line {earlier}: use a different key");
            self.report(&raw.sha256, field, message);
        }
        Some(Key { id: id?, digest })
    }

    fn service(&mut self, raw: &Spanned<RawService>) -> Option<Service> {
        let raw = raw.get_ref();
        let id = self.id(&raw.id, "service.id");
        let kind = match text(&raw.kind) {
            "model" => self.model_service(raw),
            "plain" => self.plain_service(raw),
            other => {
                let message = format!("{other:?} is not accepted: use \"model\" or \"plain\"");
                self.report(&raw.kind, "service.kind", message);
                None
            }
        };
        self.check_unique("service.backends", raw.backends.iter());
        let service = text(&raw.id);
        let backends = self.check_all(raw.backends.iter(), |checker, name| {
            checker.check_backend_reference(name, service)
        });
        Some(Service {
            id: id?,
            kind: kind?,
            backends: backends?.into_iter().collect(),
        })
    }

    fn model_service(&mut self, raw: &RawService) -> Option<ServiceKind> {
        if let Some(access) = &raw.access {
            self.report(access, "service.access", "only accepted for kind \"plain\"");
        }
        if let Some(idempotent) = &raw.idempotent {
            self.report(
                idempotent,
                "service.idempotent",
                "only accepted for kind \"plain\"",
            );
        }
        let models = raw.models.as_ref().filter(|m| !m.get_ref().is_empty());
        let Some(models) = models else {
            self.report(
                &raw.kind,
                "service.models",
                "missing: name at least one model",
            );
            return None;
        };
        self.check_unique("service.models", models.get_ref().iter());
        let models = self.check_all(models.get_ref().iter(), |checker, name| {
            checker.id(name, "service.models")
        });
        Some(ServiceKind::Model {
            models: models?.into_iter().collect(),
        })
    }

    fn plain_service(&mut self, raw: &RawService) -> Option<ServiceKind> {
        if let Some(models) = &raw.models {
            self.report(models, "service.models", "only accepted for kind \"model\"");
        }
        let access = self.access(raw);
        let methods = raw.idempotent.as_ref();
        let methods = methods.map_or(&[][..], |methods| methods.get_ref().as_slice());
        self.check_unique("service.idempotent", methods.iter());
        let methods = self.check_all(methods.iter(), Checker::method);
        Some(ServiceKind::Plain {
            access: access?,
            idempotent: methods?.into_iter().collect(),
        })
    }

    fn access(&mut self, raw: &RawService) -> Option<Access> {
        let Some(access) = &raw.access else {
            let message = format!("missing: use {}", access_names());
            self.report(&raw.kind, "service.access", message);
            return None;
        };
        let parsed = text(access).parse();
        let message = format!("{:?} is not accepted: use {}", text(access), access_names());
        self.ok_or_report(access, "service.access", parsed.map_err(|_| message))
    }

    fn method(&mut self, raw: &Spanned<String>) -> Option<Method> {
        let name = text(raw);
        let message =
            format!("{name:?} is not accepted: use GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS");
        let parsed = name.parse().map_err(|_| message);
        self.ok_or_report(raw, "service.idempotent", parsed)
    }

    fn check_backend_reference<T>(&mut self, raw: &Spanned<String>, service: &str) -> Option<T>
    where
        T: for<'r> TryFrom<&'r str, Error: Display>,
    {
        let name = text(raw);
        let message = match self.names.backends.get(name) {
            None => {
                let known = format_names(self.names.backends.keys().copied());
                format!("backend server {name:?} does not exist: use {known}")
            }
            Some(other) if *other != service => {
                format!(
                    "backend server {name:?} belongs to service {other:?}: use one of {service:?}"
                )
            }
            Some(_) => return T::try_from(name).ok(),
        };
        self.report(raw, "service.backends", message);
        None
    }

    fn backend(&mut self, raw: &Spanned<RawBackend>) -> Option<Backend> {
        let raw = raw.get_ref();
        let id = self.id(&raw.id, "backend.id");
        let service = self.check_service_reference(&raw.service, "backend.service");
        self.check_service_lists(raw);
        let zone = self.id(&raw.zone, "backend.zone");
        let address = self.address(&raw.address);
        let slots = self.slots(&raw.slots);
        Some(Backend {
            id: id?,
            service: service?,
            zone: zone?,
            address: address?,
            slots: slots?,
            checks_fencing: raw.checks_fencing,
        })
    }

    /// Reports a backend server that its service does not list.
    fn check_service_lists(&mut self, raw: &RawBackend) {
        let service = text(&raw.service);
        let listed = self.names.services.get(service);
        if listed.is_some_and(|names| !names.contains(text(&raw.id))) {
            let name = text(&raw.id);
            let message =
                format!("service {service:?} does not list {name:?}: add it to its backends");
            self.report(&raw.service, "backend.service", message);
        }
    }

    fn address(&mut self, raw: &Spanned<String>) -> Option<SocketAddr> {
        let address: Option<SocketAddr> = text(raw).parse().ok();
        let usable = address.filter(|a| a.port() != 0 && !a.ip().is_unspecified());
        if usable.is_none() {
            let message = format!(
                "{:?} is not accepted: use an IP address and a port from 1 to 65535, \
                 as in \"127.0.0.1:8000\" or \"[::1]:8000\"",
                text(raw)
            );
            self.report(raw, "backend.address", message);
        }
        usable
    }

    fn slots(&mut self, raw: &Spanned<i64>) -> Option<u32> {
        let slots = u32::try_from(*raw.get_ref()).ok();
        let accepted = slots.filter(|slots| (1..=MAX_SLOTS).contains(slots));
        if accepted.is_none() {
            let value = raw.get_ref();
            let message = format!("{value} is not accepted: use a number from 1 to {MAX_SLOTS}");
            self.report(raw, "backend.slots", message);
        }
        accepted
    }

    fn check_unique_addresses(&mut self, raw: &RawConfiguration) {
        let mut lines_by_value = BTreeMap::new();
        for backend in &raw.backend {
            let raw = &backend.get_ref().address;
            let Ok(address) = text(raw).parse::<SocketAddr>() else {
                continue;
            };
            let Some(earlier) = lines_by_value.insert(address, self.line(raw)) else {
                continue;
            };
            let message =
                format!("{address} is already used in line {earlier}: use a different address");
            self.report(raw, "backend.address", message);
        }
    }
}

/// Formats `names` as the alternatives in a message.
fn format_names<'a>(names: impl Iterator<Item = &'a str>) -> String {
    /// Maximum number of alternatives in a message.
    const MAX_SHOWN: usize = 8;
    let names: Vec<String> = names.map(|name| format!("{name:?}")).collect();
    if names.is_empty() {
        return "a name that the document defines".to_owned();
    }
    let more = if names.len() > MAX_SHOWN { ", ..." } else { "" };
    let shown: Vec<String> = names.into_iter().take(MAX_SHOWN).collect();
    format!("one of {}{more}", shown.join(", "))
}
