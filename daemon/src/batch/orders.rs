//! Sends orders to the engines that this instance manages, until the engines report their effect.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use hyper::body::Bytes;
use hyper::header::CONTENT_TYPE;
use hyper::{
    Request,
    StatusCode, //
};
use limpetweir_coordination::{
    EngineOrder,
    EngineState,
    FencedOrder,
    MayAct,
    OrderIssuer, //
};
use limpetweir_state::{
    Backend,
    BackendId,
    Configuration,
    Epoch,
    ModelId,
    ServiceKind, //
};
use limpetweir_transport::http::{
    SendOptions,
    TrafficClass, //
};
use limpetweir_transport::sleep;
use serde::Deserialize;
use serde_json::{
    Value,
    json, //
};

use super::engine_group;
use crate::event;
use crate::events::{
    ENGINE_ORDER_OUTDATED,
    ENGINE_ORDERED, //
};
use crate::node::Node;

/// Interval between queries of the state of the engines.
const ORDER_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum wait for the report of an engine or for its reply to an order.
const ENGINE_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a response body of an engine in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Version of a model that an engine without the model is ordered to load; the configuration has no
/// versions.
const FIRST_VERSION: &str = "1";

/// Loaded models, adapters and role that an engine reports.
#[derive(Deserialize)]
struct LoadReport {
    models: BTreeMap<ModelId, String>,
    #[serde(default)]
    adapters: Vec<Adapter>,
    #[serde(default)]
    role: String,
}

#[derive(Deserialize)]
struct Adapter {
    model: ModelId,
    adapter: String,
}

impl From<LoadReport> for EngineState {
    fn from(report: LoadReport) -> Self {
        let adapters = report.adapters.into_iter();
        Self {
            models: report.models,
            adapters: adapters.map(|a| (a.model, a.adapter)).collect(),
            role: report.role.parse().unwrap_or_default(),
        }
    }
}

/// Issuer of the orders to one engine under one epoch.
struct Issuer {
    epoch: Epoch,
    orders: OrderIssuer,
}

/// Orders the engines to load the models of the configuration, until the future is dropped.
pub(super) async fn issue_orders(node: Arc<Node>) {
    let mut issuers: BTreeMap<BackendId, Issuer> = BTreeMap::new();
    loop {
        sleep(ORDER_INTERVAL).await;
        let Some(current) = node.control.current() else {
            continue;
        };
        let cfg = &current.configuration;
        let managed = managed(&node, cfg);
        issuers.retain(|id, issuer| managed.get(id).is_some_and(|(e, _)| *e == issuer.epoch));
        for (id, (epoch, backend)) in &managed {
            let new = || Issuer {
                epoch: *epoch,
                orders: OrderIssuer::new(*epoch, node.clock.now(), backend.checks_fencing),
            };
            issuers.entry((*id).clone()).or_insert_with(new);
        }
        let calls = issuers.iter_mut().filter_map(|(id, issuer)| {
            let (_, backend) = managed.get(id)?;
            Some(order_engine(&node, cfg, backend, issuer))
        });
        join_all(calls).await;
    }
}

/// Returns the model engines that this instance manages, each with its epoch.
fn managed<'a>(
    node: &Node,
    cfg: &'a Configuration,
) -> BTreeMap<&'a BackendId, (Epoch, &'a Backend)> {
    let now = node.clock.now();
    let models = |backend: &&Backend| models_of(cfg, backend).next().is_some();
    let engines = cfg.backends().filter(models);
    let managed = engines.filter_map(|backend| {
        let group = engine_group(&backend.id, node.settings.groups);
        match node.control.may_act(now, group) {
            MayAct::Yes(epoch) => Some((&backend.id, (epoch, backend))),
            _ => None,
        }
    });
    managed.collect()
}

fn models_of<'a>(cfg: &'a Configuration, backend: &Backend) -> impl Iterator<Item = &'a ModelId> {
    let service = cfg.service(&backend.service);
    let models = service.and_then(|service| match &service.kind {
        ServiceKind::Model { models } => Some(models),
        ServiceKind::Plain { .. } => None,
    });
    models.into_iter().flatten()
}

/// Returns the reported state with the models of the configuration.
///
/// Other models, adapters and the role stay unchanged, because the configuration does not define
/// them and requests in flight may use them.
fn desired(cfg: &Configuration, backend: &Backend, reported: &EngineState) -> EngineState {
    let mut desired = reported.clone();
    for model in models_of(cfg, backend) {
        let version = desired.models.entry(model.clone());
        version.or_insert_with(|| FIRST_VERSION.to_owned());
    }
    desired
}

async fn order_engine(node: &Node, cfg: &Configuration, backend: &Backend, issuer: &mut Issuer) {
    let load = call_engine(node, backend.address, Request::get("/load"), None).await;
    let Some((StatusCode::OK, body)) = load else {
        return;
    };
    let Ok(report) = serde_json::from_slice::<LoadReport>(&body) else {
        return;
    };
    let reported = EngineState::from(report);
    let desired = desired(cfg, backend, &reported);
    let group = engine_group(&backend.id, node.settings.groups);
    for order in issuer.orders.due(node.clock.now(), &desired, &reported) {
        // The lease may have expired while waiting for the engine.
        if node.control.may_act(node.clock.now(), group) != MayAct::Yes(issuer.epoch) {
            return;
        }
        let FencedOrder { order, fencing } = order;
        let (id, epoch) = (&backend.id, fencing.0);
        event!(
            ENGINE_ORDERED,
            "backend={id} fencing={epoch} order={order:?}"
        );
        let body = order_body(&order, fencing);
        let response = call_engine(node, backend.address, Request::post("/orders"), Some(body));
        if let Some((StatusCode::CONFLICT, _)) = response.await {
            event!(ENGINE_ORDER_OUTDATED, "backend={id} fencing={epoch}");
            issuer.orders.on_outdated();
            return;
        }
    }
}

fn order_body(order: &EngineOrder, fencing: Epoch) -> Value {
    let mut body = match order {
        EngineOrder::LoadModel(model, version) => {
            json!({ "kind": "load-model", "model": model, "version": version })
        }
        EngineOrder::UnloadModel(model) => json!({ "kind": "unload-model", "model": model }),
        EngineOrder::LoadAdapter(model, adapter) => {
            json!({ "kind": "load-adapter", "model": model, "adapter": adapter })
        }
        EngineOrder::UnloadAdapter(model, adapter) => {
            json!({ "kind": "unload-adapter", "model": model, "adapter": adapter })
        }
        EngineOrder::SetRole(role) => json!({ "kind": "set-role", "role": role.to_string() }),
    };
    body["fencing"] = json!(fencing.0);
    body
}

/// Sends a request to an engine and returns status and body, or `None` on failure or timeout.
async fn call_engine(
    node: &Node,
    addr: SocketAddr,
    req: hyper::http::request::Builder,
    body: Option<Value>,
) -> Option<(StatusCode, Bytes)> {
    let body = body.map(|body| body.to_string()).unwrap_or_default();
    let req = req.header(CONTENT_TYPE, "application/json");
    let req = req.body(Bytes::from(body)).ok()?;
    let options = SendOptions::within(TrafficClass::Platform, ENGINE_CALL_TIMEOUT);
    let response = node.client.send(addr, req, options).await.ok()?;
    let status = response.status();
    let body = response.into_body().collect_bytes(MAX_RESPONSE_BYTES).await;
    Some((status, body.ok()?))
}
