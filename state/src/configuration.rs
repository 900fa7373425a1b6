//! The checked configuration and the lookups that requests make in it.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};
use std::net::SocketAddr;

use snafu::{
    OptionExt,
    Snafu, //
    ensure,
};
use strum::{
    Display,
    EnumString,
    IntoStaticStr, //
};
use subtle::ConstantTimeEq;

use crate::key::DigestPrefix;
use crate::{
    BackendId,
    KeyDigest,
    KeyId,
    Limit,
    ModelId,
    OrganisationId,
    ServiceId,
    ZoneId, //
};

/// A key of an organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// Name of the key, unique in its organisation; this is what logs and answers show.
    pub id: KeyId,
    /// Digest of the key, unique in the configuration.
    pub digest: KeyDigest,
}

/// An organisation whose callers may use the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name, unique in the configuration.
    pub id: OrganisationId,
    /// Rate and burst over the whole fleet.
    pub limit: Limit,
    /// Keys that callers of the organisation present.
    pub keys: Vec<Key>,
    /// Services that the organisation may call; each exists in the configuration.
    pub services: BTreeSet<ServiceId>,
}

/// HTTP methods that a plain service can declare idempotent.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "UPPERCASE")]
pub enum Method {
    /// GET.
    Get,
    /// HEAD.
    Head,
    /// POST.
    Post,
    /// PUT.
    Put,
    /// PATCH.
    Patch,
    /// DELETE.
    Delete,
    /// OPTIONS.
    Options,
}

/// Whether callers of a plain service need a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Access {
    /// Anyone may call.
    Open,
    /// Callers present a key of an organisation that may use the service.
    Keyed,
}

/// What a service runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// Model engines.
    Model {
        /// Models that each backend server of the service runs; at least one.
        models: BTreeSet<ModelId>,
    },
    /// Any other HTTP service.
    Plain {
        /// Whether callers need a key.
        access: Access,
        /// Methods that may be sent again after a request that may have run.
        idempotent: BTreeSet<Method>,
    },
}

/// A service that callers reach through the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name, unique in the configuration.
    pub id: ServiceId,
    /// What the service runs.
    pub kind: ServiceKind,
    /// Backend servers; exactly those whose `service` is this one.
    pub backends: BTreeSet<BackendId>,
}

impl Service {
    /// Returns whether callers need no key.
    pub fn is_open(&self) -> bool {
        let open = Access::Open;
        matches!(&self.kind, ServiceKind::Plain { access, .. } if *access == open)
    }

    /// Returns whether a call with the HTTP method `method` may run twice.
    ///
    /// Generating text changes nothing at an engine, so calls to models may always run twice.
    pub fn is_idempotent(&self, method: &str) -> bool {
        match &self.kind {
            ServiceKind::Model { .. } => true,
            ServiceKind::Plain { idempotent, .. } => {
                method.parse().is_ok_and(|m| idempotent.contains(&m))
            }
        }
    }

    /// Returns whether the service runs `model`.
    pub fn runs_model(&self, model: &str) -> bool {
        let ServiceKind::Model { models } = &self.kind else {
            return false;
        };
        models.iter().any(|id| id.as_str() == model)
    }
}

/// A server that runs requests of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Name, unique in the configuration and the same as in the platform's list.
    pub id: BackendId,
    /// Service whose requests the server runs.
    pub service: ServiceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// IP address and port, unique in the configuration.
    pub address: SocketAddr,
    /// Requests that run at the same time, at least 1.
    pub slots: u32,
    /// Whether the server rejects orders with an old fencing number.
    pub checks_fencing: bool,
}

/// A configuration whose parts contradict each other.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ConfigurationError {
    /// Two parts have the same name.
    #[snafu(display("{what} {name:?} is defined twice"))]
    Duplicate {
        /// Kind of the part.
        what: &'static str,
        /// The name.
        name: String,
    },
    /// A part refers to another that does not exist or that contradicts the reference.
    #[snafu(display("{user:?} refers to {what} {name:?}, which does not exist or disagrees"))]
    Reference {
        /// The referring part.
        user: String,
        /// Kind of the missing part.
        what: &'static str,
        /// Name of the missing part.
        name: String,
    },
    /// A backend server has no slots.
    #[snafu(display("backend server {backend} has no slots: use at least 1"))]
    NoSlots {
        /// The backend server.
        backend: BackendId,
    },
}

/// The organisation and key that a presented key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
struct KeyEntry {
    digest: KeyDigest,
    organisation: OrganisationId,
    key: KeyId,
}

/// A whole configuration; the default is the empty one of version 0.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    organisations: BTreeMap<OrganisationId, Organisation>,
    services: BTreeMap<ServiceId, Service>,
    backends: BTreeMap<BackendId, Backend>,
    /// Every key, by the first bytes of its digest.
    keys: BTreeMap<DigestPrefix, Vec<KeyEntry>>,
}

impl Configuration {
    /// Joins checked parts.
    ///
    /// Fails when a name, address or digest occurs twice, a reference has no target, or a service
    /// and its backend servers do not name each other.
    pub fn new(
        organisations: Vec<Organisation>,
        services: Vec<Service>,
        backends: Vec<Backend>,
    ) -> Result<Self, ConfigurationError> {
        let mut cfg = Self::default();
        for backend in backends {
            cfg.add_backend(backend)?;
        }
        for service in services {
            cfg.add_service(service)?;
        }
        cfg.check_backends()?;
        for organisation in organisations {
            cfg.add_organisation(organisation)?;
        }
        Ok(cfg)
    }

    fn add_backend(&mut self, backend: Backend) -> Result<(), ConfigurationError> {
        let id = backend.id.clone();
        ensure!(backend.slots > 0, NoSlotsSnafu { backend: id });
        let mut others = self.backends.values();
        let taken = others.any(|other| other.address == backend.address);
        let name = backend.address.to_string();
        let what = "address";
        ensure!(!taken, DuplicateSnafu { what, name });
        let old = self.backends.insert(id.clone(), backend);
        let what = "backend server";
        let name = id.as_str();
        ensure!(old.is_none(), DuplicateSnafu { what, name });
        Ok(())
    }

    fn add_service(&mut self, service: Service) -> Result<(), ConfigurationError> {
        for name in &service.backends {
            let backend = self.backends.get(name);
            let agrees = backend.is_some_and(|backend| backend.service == service.id);
            let user = service.id.as_str();
            let what = "backend server";
            let name = name.as_str();
            ensure!(agrees, ReferenceSnafu { user, what, name });
        }
        let id = service.id.clone();
        let old = self.services.insert(id.clone(), service);
        let what = "service";
        let name = id.as_str();
        ensure!(old.is_none(), DuplicateSnafu { what, name });
        Ok(())
    }

    fn check_backends(&self) -> Result<(), ConfigurationError> {
        for backend in self.backends.values() {
            let service = self.services.get(&backend.service);
            let agrees = service.is_some_and(|service| service.backends.contains(&backend.id));
            let user = backend.id.as_str();
            let what = "service";
            let name = backend.service.as_str();
            ensure!(agrees, ReferenceSnafu { user, what, name });
        }
        Ok(())
    }

    fn add_organisation(&mut self, organisation: Organisation) -> Result<(), ConfigurationError> {
        for name in &organisation.services {
            let known = self.services.get(name);
            let user = organisation.id.as_str();
            let what = "service";
            let name = name.as_str();
            known.context(ReferenceSnafu { user, what, name })?;
        }
        let mut ids = BTreeSet::new();
        for key in &organisation.keys {
            let unique = ids.insert(&key.id) && self.find_key(&key.digest).is_none();
            let what = "key";
            let name = key.id.as_str();
            ensure!(unique, DuplicateSnafu { what, name });
            let entry = KeyEntry {
                digest: key.digest.clone(),
                organisation: organisation.id.clone(),
                key: key.id.clone(),
            };
            let bucket = self.keys.entry(key.digest.prefix()).or_default();
            bucket.push(entry);
        }
        let id = organisation.id.clone();
        let old = self.organisations.insert(id.clone(), organisation);
        let what = "organisation";
        let name = id.as_str();
        ensure!(old.is_none(), DuplicateSnafu { what, name });
        Ok(())
    }

    /// Returns the organisation and the key whose digest is `digest`.
    ///
    /// The time depends on the first two bytes of the digest only: the entries that share them are
    /// all compared, each in constant time.
    pub fn find_key(&self, digest: &KeyDigest) -> Option<(&OrganisationId, &KeyId)> {
        let bucket = self.keys.get(&digest.prefix())?;
        let mut found = None;
        for entry in bucket {
            if entry.digest.ct_eq(digest).into() {
                found = Some((&entry.organisation, &entry.key));
            }
        }
        found
    }

    /// Returns the organisation named `id`.
    pub fn organisation(&self, id: &OrganisationId) -> Option<&Organisation> {
        self.organisations.get(id)
    }

    /// Returns the service named `id`.
    pub fn service(&self, id: &ServiceId) -> Option<&Service> {
        self.services.get(id)
    }

    /// Returns the backend server named `id`.
    pub fn backend(&self, id: &BackendId) -> Option<&Backend> {
        self.backends.get(id)
    }

    /// Returns the organisations in order of their names.
    pub fn organisations(&self) -> impl Iterator<Item = &Organisation> {
        self.organisations.values()
    }

    /// Returns the services in order of their names.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the backend servers in order of their names.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values()
    }

    /// Returns the backend servers of `service` in order of their names.
    pub fn backends_of(&self, service: &Service) -> impl Iterator<Item = &Backend> {
        let names = service.backends.iter();
        names.filter_map(|name| self.backends.get(name))
    }

    /// Returns whether `organisation` may call `service`.
    pub fn allows(&self, organisation: &OrganisationId, service: &ServiceId) -> bool {
        let organisation = self.organisations.get(organisation);
        organisation.is_some_and(|o| o.services.contains(service))
    }

    /// Returns the first service, by name, that `organisation` may call and that runs `model`.
    pub fn service_for_model(
        &self,
        organisation: &OrganisationId,
        model: &str,
    ) -> Option<&Service> {
        let organisation = self.organisations.get(organisation)?;
        let mut services = organisation
            .services
            .iter()
            .filter_map(|id| self.services.get(id));
        services.find(|service| service.runs_model(model))
    }
}
