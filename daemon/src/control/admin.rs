//! Operator interface under `/admin/`.

use std::sync::Arc;

use hyper::header::{
    CONTENT_TYPE,
    HeaderValue, //
};
use hyper::{
    Method,
    Request,
    Response,
    StatusCode, //
};
use limpetweir_protocol::http::{
    ErrorBody,
    FleetStatus,
    GroupStatus,
    InstanceState,
    InstanceStatus,
    PublicationOutcome,
    VERDICT_HEADER,
    VERSION_HEADER, //
};
use limpetweir_protocol::{
    ConfigDocumentError,
    MAX_DOCUMENT_BYTES,
    parse_configuration, //
};
use limpetweir_state::{
    InstanceId,
    PublicationId,
    Publish,
    Timestamp,
    Verdict,
    Version, //
};
use limpetweir_transport::http::{
    Body,
    BodyError,
    RequestBody, //
};
use serde_json::json;

use super::decisions::all_groups;
use super::publication;
use super::state::Inner;
use crate::node::Node;
use crate::online;
use crate::responses::{
    self,
    Problem, //
};

const TOML: HeaderValue = HeaderValue::from_static("application/toml");

/// Handles a request to the operator interface.
pub(crate) async fn handle(node: &Arc<Node>, req: Request<RequestBody>) -> Response<Body> {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/admin/config") => config(node),
        (&Method::POST, "/admin/config") => publish(node, req).await,
        (&Method::GET, "/admin/status") => status(node),
        (&Method::GET, "/admin/explain") => {
            online::explain(node, req.uri().query().unwrap_or_default())
        }
        _ => responses::not_found(&req),
    }
}

/// Returns the newest document that this instance has read, with its version.
fn config(node: &Node) -> Response<Body> {
    let document = |fold: &limpetweir_state::Publications| {
        let text = fold.document().unwrap_or_default();
        (fold.version(), text.to_owned())
    };
    let known = node.control.current().is_some();
    let read = node.control.config.with_fold(document);
    let Some((version, text)) = read.filter(|_| known) else {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let message = "the configuration is not known yet";
        return Problem::not_run(status, "starting", message).into_response();
    };
    let mut response = Response::new(Body::from(text));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, TOML);
    headers.insert(VERSION_HEADER, HeaderValue::from(version.0));
    response
}

async fn publish(node: &Node, req: Request<RequestBody>) -> Response<Body> {
    let publish = match read_publication(req).await {
        Ok(publish) => publish,
        Err(problem) => return problem.into_response(),
    };
    if let Err(err) = parse_configuration(&publish.document) {
        return invalid(&err);
    }
    match publication::publish(node, publish).await {
        Ok(response) => {
            let status = match response.outcome {
                PublicationOutcome::Accepted => StatusCode::OK,
                PublicationOutcome::Conflict => StatusCode::CONFLICT,
            };
            responses::json(status, &response)
        }
        Err(problem) => problem.into_response(),
    }
}

async fn read_publication(req: Request<RequestBody>) -> Result<Publish, Problem> {
    let query = req.uri().query().unwrap_or_default();
    let field = |name: &str| {
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        fields.find(|(key, _)| *key == name).map(|(_, value)| value)
    };
    let base = field("base").and_then(|text| text.parse().ok());
    let base = base.ok_or_else(|| malformed("base: the version that the document replaces"))?;
    let id = field("id").and_then(|text| PublicationId::try_from(text).ok());
    let id = id.ok_or_else(|| malformed("id: 1 to 64 of a-z, A-Z, 0-9, '-', '_' and '.'"))?;
    let body = req.into_body().limited(MAX_DOCUMENT_BYTES);
    let bytes = body.collect_bytes().await.map_err(body_error)?;
    let document = String::from_utf8(bytes.to_vec());
    let document = document.map_err(|_| malformed("body: a TOML document in UTF-8"))?;
    Ok(Publish {
        id,
        base: Version(base),
        document,
    })
}

fn malformed(wanted: &str) -> Problem {
    let message = format!("the request is not accepted; expected {wanted}");
    Problem::not_run(StatusCode::BAD_REQUEST, "malformed", message)
}

fn body_error(err: BodyError) -> Problem {
    let status = match err {
        BodyError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        _ => StatusCode::BAD_REQUEST,
    };
    Problem::not_run(status, "unreadable_body", err.to_string())
}

/// Returns the response to an invalid document; it lists every fault.
fn invalid(err: &ConfigDocumentError) -> Response<Body> {
    let status = StatusCode::UNPROCESSABLE_ENTITY;
    let verdict = Verdict::NotRun;
    let code = "invalid_configuration";
    let error = ErrorBody::new(status.as_u16(), code, err.to_string(), verdict).error;
    let body = json!({"error": error, "faults": err.faults()});
    let mut response = responses::json(status, &body);
    let verdict = HeaderValue::from_static(verdict.into());
    response.headers_mut().insert(VERDICT_HEADER, verdict);
    response
}

fn status(node: &Node) -> Response<Body> {
    let now = node.clock.now();
    let version = node.control.current().map(|current| current.version);
    let inner = node.control.shared.lock();
    let own = &node.incarnation.instance;
    let names = inner.instances.keys();
    let mut instances: Vec<InstanceStatus> = names
        .filter(|name| *name != own)
        .map(|name| peer_status(&inner, now, name))
        .collect();
    drop(inner);
    instances.push(InstanceStatus {
        name: own.clone(),
        state: own_state(node),
        version,
    });
    instances.sort_by(|a, b| a.name.cmp(&b.name));
    let body = FleetStatus {
        instance: own.clone(),
        version: version.unwrap_or_default(),
        instances,
        groups: groups(node),
    };
    responses::json(StatusCode::OK, &body)
}

fn own_state(node: &Node) -> InstanceState {
    if node.is_leaving() {
        InstanceState::Leaving
    } else {
        InstanceState::Live
    }
}

fn peer_status(inner: &Inner, now: Timestamp, name: &InstanceId) -> InstanceStatus {
    let mut reports = inner.members.reachable_reports(now);
    let report = reports.find(|report| report.incarnation.instance == *name);
    let state = match report {
        None => InstanceState::Silent,
        Some(report) if report.leaving => InstanceState::Leaving,
        Some(_) => InstanceState::Live,
    };
    InstanceStatus {
        name: name.clone(),
        state,
        version: report.map(|report| report.config_version),
    }
}

fn groups(node: &Node) -> Vec<GroupStatus> {
    let status = |fold: &limpetweir_state::Claims| {
        let groups = all_groups(node.control.groups);
        groups
            .map(|group| {
                let claim = fold.get(group);
                let held = claim.filter(|claim| !claim.released);
                GroupStatus {
                    group: group.to_string(),
                    holder: held.map(|claim| claim.holder.instance.clone()),
                    epoch: claim.map(|claim| claim.epoch).unwrap_or_default(),
                }
            })
            .collect()
    };
    node.control.claims.with_fold(status).unwrap_or_default()
}
