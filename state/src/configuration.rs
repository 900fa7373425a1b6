//! The checked configuration and its lookups.

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

/// An API key of an organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Key {
    /// Name of the key, unique in its organisation; shown in logs and responses instead of the key.
    pub id: KeyId,
    /// Digest of the key, unique in the configuration.
    pub digest: KeyDigest,
}

/// An organisation that may call services through the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name, unique in the configuration.
    pub id: OrganisationId,
    /// Rate limit over the whole fleet.
    pub limit: Limit,
    /// Keys that authenticate callers of the organisation.
    pub keys: Vec<Key>,
    /// Services that the organisation may call; each exists in the configuration.
    pub services: BTreeSet<ServiceId>,
}

/// HTTP method that a plain service can declare idempotent.
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

/// Whether a plain service requires a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Access {
    /// No key is required.
    Open,
    /// A key of an organisation that may call the service is required.
    Keyed,
}

/// Kind of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServiceKind {
    /// A service of model engines.
    Model {
        /// Models that each backend server of the service runs; at least one.
        models: BTreeSet<ModelId>,
    },
    /// Any other HTTP service.
    Plain {
        /// Whether a key is required.
        access: Access,
        /// Methods whose requests may be retried although they may have run.
        idempotent: BTreeSet<Method>,
    },
}

/// A service that callers use through the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name, unique in the configuration.
    pub id: ServiceId,
    /// Kind of the service.
    pub kind: ServiceKind,
    /// Backend servers, exactly those whose `service` is this one.
    pub backends: BTreeSet<BackendId>,
}

impl Service {
    /// Returns whether the service can be called without a key.
    pub fn is_open(&self) -> bool {
        let open = Access::Open;
        matches!(&self.kind, ServiceKind::Plain { access, .. } if *access == open)
    }

    /// Returns whether a call with the HTTP method `method` is idempotent.
    ///
    /// Calls to models always are, because generating text has no side effects at an engine.
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

/// A backend server of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Name, unique in the configuration and equal to the name in the platform's list.
    pub id: BackendId,
    /// Service to which the server belongs.
    pub service: ServiceId,
    /// Availability zone.
    pub zone: ZoneId,
    /// IP address and port, unique in the configuration.
    pub address: SocketAddr,
    /// Number of requests that the server runs concurrently, at least 1.
    pub slots: u32,
    /// Whether the server rejects orders with an outdated fencing number.
    pub checks_fencing: bool,
}

/// An inconsistency in a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ConfigurationError {
    /// Two definitions have the same name, address or key.
    #[snafu(display("{kind} {name:?} is defined twice"))]
    Duplicate {
        /// What is defined twice, such as "service".
        kind: &'static str,
        /// Its name.
        name: String,
    },
    /// The target of a reference does not exist or does not refer back.
    #[snafu(display("{referrer:?} refers to {kind} {name:?}, which does not exist or disagrees"))]
    InvalidReference {
        /// Name of the definition that contains the reference.
        referrer: String,
        /// What the reference names, such as "service".
        kind: &'static str,
        /// Name of the target.
        name: String,
    },
    /// A backend server has no slots.
    #[snafu(display("backend server {backend} has no slots: use at least 1"))]
    NoSlots {
        /// The backend server.
        backend: BackendId,
    },
}

/// Entry of the key table: a digest with the organisation and name of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
struct KeyEntry {
    digest: KeyDigest,
    organisation: OrganisationId,
    key: KeyId,
}

/// A complete, consistent configuration; the default is the empty one of version 0.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    organisations: BTreeMap<OrganisationId, Organisation>,
    services: BTreeMap<ServiceId, Service>,
    backends: BTreeMap<BackendId, Backend>,
    /// All keys, by the first two bytes of their digests.
    keys: BTreeMap<DigestPrefix, Vec<KeyEntry>>,
}

impl Configuration {
    /// Builds a configuration and checks it as a whole.
    ///
    /// Fails if a name, address or digest occurs twice, if the target of a reference does not
    /// exist, if a service and its backend servers do not refer to each other, or if a backend
    /// server has no slots.
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
        let in_use = others.any(|other| other.address == backend.address);
        let name = backend.address.to_string();
        let kind = "address";
        ensure!(!in_use, DuplicateSnafu { kind, name });
        let old = self.backends.insert(id.clone(), backend);
        let kind = "backend server";
        let name = id.as_str();
        ensure!(old.is_none(), DuplicateSnafu { kind, name });
        Ok(())
    }

    fn add_service(&mut self, service: Service) -> Result<(), ConfigurationError> {
        for name in &service.backends {
            let backend = self.backends.get(name);
            let consistent = backend.is_some_and(|backend| backend.service == service.id);
            let referrer = service.id.as_str();
            let kind = "backend server";
            let name = name.as_str();
            ensure!(
                consistent,
                InvalidReferenceSnafu {
                    referrer,
                    kind,
                    name
                }
            );
        }
        let id = service.id.clone();
        let old = self.services.insert(id.clone(), service);
        let kind = "service";
        let name = id.as_str();
        ensure!(old.is_none(), DuplicateSnafu { kind, name });
        Ok(())
    }

    fn check_backends(&self) -> Result<(), ConfigurationError> {
        for backend in self.backends.values() {
            let service = self.services.get(&backend.service);
            let consistent = service.is_some_and(|service| service.backends.contains(&backend.id));
            let referrer = backend.id.as_str();
            let kind = "service";
            let name = backend.service.as_str();
            ensure!(
                consistent,
                InvalidReferenceSnafu {
                    referrer,
                    kind,
                    name
                }
            );
        }
        Ok(())
    }

    fn add_organisation(&mut self, organisation: Organisation) -> Result<(), ConfigurationError> {
        for name in &organisation.services {
            let target = self.services.get(name);
            let referrer = organisation.id.as_str();
            let kind = "service";
            let name = name.as_str();
            target.context(InvalidReferenceSnafu {
                referrer,
                kind,
                name,
            })?;
        }
        let mut ids = BTreeSet::new();
        for key in &organisation.keys {
            let unique = ids.insert(&key.id) && self.find_key(&key.digest).is_none();
            let kind = "key";
            let name = key.id.as_str();
            ensure!(unique, DuplicateSnafu { kind, name });
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
        let kind = "organisation";
        let name = id.as_str();
        ensure!(old.is_none(), DuplicateSnafu { kind, name });
        Ok(())
    }

    /// Returns the organisation and the name of the key with this digest.
    ///
    /// The run time depends only on the first two bytes of the digest: all entries that share them
    /// are compared, each in constant time.
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

    /// Returns the organisations in the order of their names.
    pub fn organisations(&self) -> impl Iterator<Item = &Organisation> {
        self.organisations.values()
    }

    /// Returns the services in the order of their names.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the backend servers in the order of their names.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.backends.values()
    }

    /// Returns the backend servers of `service` in the order of their names.
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
