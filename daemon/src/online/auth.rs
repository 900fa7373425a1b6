//! Authentication of callers by key, and their access to services.

use hyper::header::AUTHORIZATION;
use hyper::{
    HeaderMap,
    StatusCode, //
};
use limpetweir_state::{
    Configuration,
    KeyDigest,
    OrganisationId,
    Service,
    ServiceId, //
};

use crate::responses::Problem;

/// A caller whose key is in the configuration.
#[derive(Clone, Debug)]
pub(super) struct Caller {
    /// Organisation of the key.
    pub(super) organisation: OrganisationId,
    digest: KeyDigest,
}

/// Identifies the caller by the key in the request's headers.
pub(super) fn authenticate(cfg: &Configuration, headers: &HeaderMap) -> Result<Caller, Problem> {
    let digest =
        presented_key(headers).ok_or_else(|| refusal("key_required", "a key is required"))?;
    let organisation = find_organisation(cfg, &digest)?;
    Ok(Caller {
        organisation,
        digest,
    })
}

impl Caller {
    /// Checks the key again; it may have been revoked while the body arrived.
    pub(super) fn check(&self, cfg: &Configuration) -> Result<(), Problem> {
        let organisation = find_organisation(cfg, &self.digest)?;
        if organisation == self.organisation {
            return Ok(());
        }
        Err(unknown_key())
    }

    /// Checks that the organisation may call `service`.
    pub(super) fn check_access(
        &self,
        cfg: &Configuration,
        service: &ServiceId,
    ) -> Result<(), Problem> {
        check_access(cfg, &self.organisation, service)
    }
}

/// Checks that `organisation` may call `service`.
pub(super) fn check_access(
    cfg: &Configuration,
    organisation: &OrganisationId,
    service: &ServiceId,
) -> Result<(), Problem> {
    if cfg.allows(organisation, service) {
        return Ok(());
    }
    Err(not_allowed(organisation, service))
}

/// Returns the service that runs `model` for the caller's organisation.
pub(super) fn service_for_model<'a>(
    cfg: &'a Configuration,
    organisation: &OrganisationId,
    model: &str,
) -> Result<&'a Service, Problem> {
    if let Some(service) = cfg.service_for_model(organisation, model) {
        return Ok(service);
    }
    if let Some(other) = cfg.services().find(|service| service.runs_model(model)) {
        return Err(not_allowed(organisation, &other.id));
    }
    let message = format!("model {model:?} does not exist");
    Err(Problem::not_run(
        StatusCode::NOT_FOUND,
        "unknown_model",
        message,
    ))
}

/// Returns the digest of the key; `None` if the header is missing, repeated or of another scheme.
fn presented_key(headers: &HeaderMap) -> Option<KeyDigest> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next()?.as_bytes();
    let (scheme, key) = value.split_at_checked(b"Bearer ".len())?;
    let accepted = scheme.eq_ignore_ascii_case(b"Bearer ") && values.next().is_none();
    accepted.then(|| KeyDigest::of_key(key))
}

fn find_organisation(cfg: &Configuration, digest: &KeyDigest) -> Result<OrganisationId, Problem> {
    let found = cfg.find_key(digest);
    let (organisation, _) = found.ok_or_else(unknown_key)?;
    Ok(organisation.clone())
}

fn unknown_key() -> Problem {
    refusal("invalid_key", "the key is unknown or revoked")
}

fn refusal(code: &'static str, message: &str) -> Problem {
    Problem::not_run(StatusCode::UNAUTHORIZED, code, message)
}

fn not_allowed(organisation: &OrganisationId, service: &ServiceId) -> Problem {
    let message = format!("organisation {organisation} may not call service {service}");
    Problem::not_run(StatusCode::FORBIDDEN, "service_not_allowed", message)
}
