//! Lists the models that a caller may use and the instances that it may connect to.

use std::collections::BTreeSet;

use hyper::{
    Request,
    Response,
    StatusCode, //
};
use limpetweir_coordination::{
    DiscoveryMember,
    discovery_order, //
};
use limpetweir_protocol::http::{
    AddressEntry,
    Addresses, //
};
use limpetweir_state::{
    ServiceKind,
    ZoneId, //
};
use limpetweir_transport::http::Body;
use serde_json::json;

use super::{
    auth,
    query,
    serving, //
};
use crate::node::Node;
use crate::responses::{
    self,
    Problem, //
};

/// Handles `GET /v1/models`: lists the models that the caller's organisation may use.
pub(super) fn models<B>(node: &Node, req: &Request<B>) -> Result<Response<Body>, Problem> {
    let cfg = serving(node)?.configuration;
    let caller = auth::authenticate(&cfg, req.headers())?;
    let mut models = BTreeSet::new();
    for service in cfg.services() {
        if let ServiceKind::Model { models: ids } = &service.kind
            && cfg.allows(&caller.organisation, &service.id)
        {
            models.extend(ids.iter().map(|id| (id.as_str(), service.id.as_str())));
        }
    }
    let data: Vec<_> = models
        .iter()
        .map(
            |(id, service)| json!({"id": id, "object": "model", "created": 0, "owned_by": service}),
        )
        .collect();
    let body = json!({"object": "list", "data": data});
    Ok(responses::json(StatusCode::OK, &body))
}

/// Handles `GET /v1/addresses?zone=`: lists the instances in order of preference.
pub(super) fn addresses<B>(node: &Node, req: &Request<B>) -> Result<Response<Body>, Problem> {
    let cfg = serving(node)?.configuration;
    let caller = auth::authenticate(&cfg, req.headers())?;
    let zone = query::value(req.uri().query().unwrap_or_default(), "zone");
    let zone = zone.map(|zone| ZoneId::try_from(zone.as_str())).transpose();
    let zone = zone.map_err(|err| {
        Problem::not_run(StatusCode::BAD_REQUEST, "invalid_zone", err.to_string())
    })?;
    let instances = node.control.public_instances(node.clock.now());
    let members = instances.iter().map(|known| DiscoveryMember {
        instance: &known.instance,
        zone: &known.zone,
        public: known.address,
        serving: true,
        leaving: false,
        unreachable: false,
    });
    let order = discovery_order(&caller.organisation, zone.as_ref(), members);
    let entry = |member: &DiscoveryMember<'_>| AddressEntry {
        instance: member.instance.clone(),
        zone: member.zone.clone(),
        address: member.public,
    };
    let ttl = node.settings.timing.discovery_ttl.as_millis();
    let body = Addresses {
        addresses: order.iter().map(entry).collect(),
        ttl_ms: u64::try_from(ttl).unwrap_or(u64::MAX),
    };
    Ok(responses::json(StatusCode::OK, &body))
}
