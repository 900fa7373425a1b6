//! Explains the routing decision for a hypothetical request.

use hyper::{
    Response,
    StatusCode, //
};
use limpetweir_coordination::{
    Choice,
    Considered,
    MayAct, //
};
use limpetweir_state::{
    Configuration,
    GroupKind,
    OrganisationId,
    Service,
    ServiceId, //
};
use limpetweir_transport::http::Body;
use serde_json::{
    Value,
    json, //
};

use super::backends::{
    self,
    RouteTarget, //
};
use super::{
    auth,
    query, //
};
use crate::node::Node;
use crate::responses::{
    self,
    Problem, //
};

/// Handles `GET /admin/explain?organisation=&model=&service=&prompt=`.
///
/// Either `model` or `service` selects the service; `organisation` is required for models and keyed
/// services. No request is sent and no quota is consumed.
pub(crate) fn explain(node: &Node, query: &str) -> Response<Body> {
    let explained = explanation(node, query);
    explained.map_or_else(Problem::into_response, |body| {
        responses::json(StatusCode::OK, &body)
    })
}

fn explanation(node: &Node, query: &str) -> Result<Value, Problem> {
    let current = node.control.current();
    let current = current.ok_or_else(|| {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Problem::not_run(status, "not_serving", "no configuration is known yet")
    })?;
    let cfg = &current.configuration;
    let organisation = organisation(cfg, query)?;
    let service = destination(cfg, organisation.as_ref(), query)?;
    let prompt = query::value(query, "prompt").unwrap_or_default();
    let target = RouteTarget {
        service: &service.id,
        prompt: prompt.as_bytes(),
        tried: &[],
    };
    let decision = backends::preview(node, cfg, service, &target);
    Ok(json!({
        "instance": node.incarnation.instance.as_str(),
        "phase": node.phase().to_string(),
        "config_version": current.version.0,
        "service": service.id.as_str(),
        "quota": organisation.as_ref().map(|id| quota(node, id)),
        "reason": decision.to_string(),
        "choice": decision.choice.as_ref().map(choice),
        "considered": decision.considered.iter().map(considered).collect::<Vec<_>>(),
    }))
}

fn organisation(cfg: &Configuration, query: &str) -> Result<Option<OrganisationId>, Problem> {
    let Some(name) = query::value(query, "organisation") else {
        return Ok(None);
    };
    let id = OrganisationId::try_from(name.as_str()).ok();
    let known = id.filter(|id| cfg.organisation(id).is_some());
    let known = known.ok_or_else(|| {
        let message = format!("organisation {name:?} does not exist");
        Problem::not_run(StatusCode::NOT_FOUND, "unknown_organisation", message)
    })?;
    Ok(Some(known))
}

fn destination<'a>(
    cfg: &'a Configuration,
    organisation: Option<&OrganisationId>,
    query: &str,
) -> Result<&'a Service, Problem> {
    if let Some(model) = query::value(query, "model") {
        let organisation = organisation.ok_or_else(|| missing("organisation"))?;
        return auth::service_for_model(cfg, organisation, &model);
    }
    let name = query::value(query, "service").ok_or_else(|| missing("model or service"))?;
    let id = ServiceId::try_from(name.as_str()).ok();
    let service = id.and_then(|id| cfg.service(&id));
    let service = service.ok_or_else(|| {
        let message = format!("service {name:?} does not exist");
        Problem::not_run(StatusCode::NOT_FOUND, "unknown_service", message)
    })?;
    if service.is_open() {
        return Ok(service);
    }
    let organisation = organisation.ok_or_else(|| missing("organisation"))?;
    auth::check_access(cfg, organisation, &service.id)?;
    Ok(service)
}

fn missing(field: &str) -> Problem {
    let message = format!("the query has no {field}");
    Problem::not_run(StatusCode::BAD_REQUEST, "invalid_query", message)
}

fn quota(node: &Node, organisation: &OrganisationId) -> Value {
    let now = node.clock.now();
    let key = organisation.as_str().as_bytes();
    let group = node.control.group_of(GroupKind::Quota, key);
    let owner = node.control.owner(now, group);
    let shard = node.online.organisations.of_key(organisation);
    let share = shard.grantee.share(organisation, now);
    json!({
        "group": group.to_string(),
        "home": owner.map(|owner| owner.instance),
        "acts": matches!(node.control.may_act(now, group), MayAct::Yes(_)),
        "share": share.map(|share| json!({
            "rate": share.rate,
            "cap": share.cap,
            "tokens": share.tokens,
            "remaining_ms": u64::try_from(share.remaining.as_millis()).unwrap_or(u64::MAX),
        })),
    })
}

fn choice(choice: &Choice) -> Value {
    json!({
        "backend": choice.backend.as_str(),
        "free": choice.free,
        "full": choice.full,
        "affinity": choice.affinity.to_string(),
        "same_zone": choice.same_zone,
        "tied": choice.tied,
    })
}

fn considered(considered: &Considered) -> Value {
    json!({
        "backend": considered.backend.as_str(),
        "exclusion": considered.exclusion.map(|reason| reason.to_string()),
        "free": considered.free,
        "overloaded": considered.overloaded,
        "preferred": considered.preferred,
        "same_zone": considered.same_zone,
    })
}
