//! Evacuations of zones: applies records and reports, checks requests before they are sent, and logs.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Bytes;
use limpetweir_state::Timestamp;
use rand::Rng;

use super::choose::{
    NO_BACKEND,
    Rejection, //
};
use super::lines::{
    EVACUATION_BEGAN,
    EVACUATION_ENDED,
    EVACUATION_UNUSABLE,
    log_event, //
};
use super::node::Node;
use super::state::State;
use crate::backend::BackendEntry;
use crate::evacuation::{
    EvacuationChange,
    EvacuationRecord,
    EvacuationSource,
    MAX_ZONES,
    ZoneChange,
    retry_after, //
};
use crate::listing::Listing;
use crate::platform::{
    DecodeError,
    Dialect,
    Record,
    Topic, //
};
use crate::report::Report;

/// Cause for which a request is not sent that was placed before its zone was evacuated.
pub(crate) const ZONE_EVACUATED: &str = "the zone of the backend server is evacuated";

/// Applies a record about an evacuation that was read at `offset`.
pub(crate) fn apply_record<P: Dialect>(
    node: &Node<P>,
    offset: u64,
    record: &Record,
    decoded: Result<EvacuationRecord, DecodeError>,
) {
    let now = node.now();
    let mut state = node.lock();
    match decoded {
        Ok(decoded) => {
            state.skipped.read(Topic::Configuration, &record.key);
            let change = state.evacuations.apply(&decoded, offset, now);
            changed(node, &mut state, change.as_slice(), "store");
        }
        Err(err) => {
            if let Some(zone) = zone_of(node, &record.key) {
                state.evacuations.unreadable(&zone);
            }
            let cause = err.to_string();
            let topic = Topic::Configuration;
            if state.skipped.skipped(topic, &record.key, &cause) {
                log_event!(EVACUATION_UNUSABLE, "offset={offset} cause=\"{cause}\"");
            }
        }
    }
}

/// Returns the zone that a key of the configuration topic names.
fn zone_of<P: Dialect>(node: &Node<P>, key: &str) -> Option<String> {
    let key = Record {
        key: key.to_owned(),
        value: Bytes::new(),
    };
    let decoded = node.platform.evacuation(&key)?.ok()?;
    Some(decoded.zone)
}

/// Applies the end of a listing of the configuration topic.
pub(crate) fn listed<P: Dialect>(node: &Node<P>, listing: &Listing) {
    let now = node.now();
    let zones = listing.keys().iter().filter_map(|key| zone_of(node, key));
    let zones: BTreeSet<String> = zones.collect();
    let mut state = node.lock();
    let changes = state.evacuations.listed(&zones, listing.end(), now);
    changed(node, &mut state, &changes, "store");
}

/// Records that the configuration topic has been read from `from` up to `to`.
pub(crate) fn read<P>(node: &Node<P>, from: u64, to: u64) {
    node.lock().evacuations.read(from, to);
}

/// Applies the report of another instance.
pub(crate) fn apply_report<P>(node: &Node<P>, state: &mut State, report: &Report, now: Timestamp) {
    let evacuations = report.evacuations.as_ref();
    let was_known = state.evacuations.is_known();
    let changes = state.evacuations.apply_report(evacuations, now);
    if !changes.is_empty() || !was_known {
        changed(node, state, &changes, &report.name);
    }
}

/// Puts changes into effect and logs them; `source` is `store` or the name of an instance.
fn changed<P>(node: &Node<P>, state: &mut State, changes: &[EvacuationChange], source: &str) {
    state.update_evacuated();
    for EvacuationChange { zone, change } in changes {
        match change {
            ZoneChange::Requested(offset) => log_event!(
                EVACUATION_BEGAN,
                "zone={zone:?} offset={offset} source={source} servers={}",
                state
                    .backends
                    .iter()
                    .filter(|b| b.entry.zone == *zone)
                    .count()
            ),
            ZoneChange::Withdrawn(age) => {
                for source in [EvacuationSource::Store, EvacuationSource::Peer] {
                    node.metrics.zone_evacuated(zone, source, Duration::ZERO);
                }
                log_event!(
                    EVACUATION_ENDED,
                    "zone={zone:?} source={source} after_ms={}",
                    age.as_millis()
                );
            }
            ZoneChange::Ignored(offset) => log_event!(
                EVACUATION_UNUSABLE,
                "zone={zone:?} offset={offset} source={source} cause=\"more than {MAX_ZONES} zones\""
            ),
        }
    }
    let is_news = |c: &EvacuationChange| !matches!(c.change, ZoneChange::Ignored(_));
    if changes.iter().any(is_news) {
        node.report_due.notify(usize::MAX);
    }
    // Items wait for a zone that is used again, and for the first knowledge of zones.
    node.balance_due.notify(usize::MAX);
}

/// Logs the evacuated zones of which neither a server nor an instance is known, once all entries have
/// been read. Their evacuations stay in force, as servers may come later.
pub(crate) fn report_unknown<P>(node: &Node<P>) {
    let mut state = node.lock();
    let state = &mut *state;
    if state.instances_read_at.is_none() {
        return;
    }
    let in_use = |zone: &str| {
        zone == node.settings.zone
            || state.backends.iter().any(|b| b.entry.zone == zone)
            || state.members.iter().any(|(_, member)| member.zone == zone)
    };
    for zone in state.evacuations.take_unknown(in_use) {
        log_event!(
            EVACUATION_UNUSABLE,
            "zone={zone:?} cause=\"no server and no instance of this zone is known\""
        );
    }
}

/// Returns whether a request that was placed on `entry` may still be sent: the zone may have been
/// evacuated while the request waited.
pub(crate) fn may_send<P>(node: &Node<P>, entry: &BackendEntry) -> bool {
    !node.lock().backends.is_evacuated(&entry.zone)
}

/// Returns the rejection of a request for a service without a server that takes new requests.
pub(crate) fn without_server(state: &mut State, service: &str, now: Timestamp) -> Rejection {
    let is_known = state.evacuations.is_known();
    let evacuated = state.backends.evacuated(service, now);
    let evacuated: BTreeSet<&str> = evacuated.map(|b| b.entry.zone.as_str()).collect();
    if evacuated.is_empty() || state.backends.serving(service, now).next().is_some() {
        return NO_BACKEND;
    }
    if !is_known {
        return Rejection {
            cause: "evacuations-unknown",
            ..NO_BACKEND
        };
    }
    let zones = state.evacuations.iter(now);
    let zones = zones.filter(|(zone, ..)| evacuated.contains(zone));
    // The zone that was evacuated last may be the first to come back.
    let age = zones.map(|(_, age, _)| age).min().unwrap_or_default();
    Rejection {
        cause: "evacuated",
        retry_after: retry_after(age, state.rng.random()),
        ..NO_BACKEND
    }
}

/// Records the ages of the evacuations in the metrics.
pub(crate) fn record_ages<P>(node: &Arc<Node<P>>) {
    let now = node.now();
    let state = node.lock();
    for (zone, age, known_from) in state.evacuations.iter(now) {
        for source in [EvacuationSource::Store, EvacuationSource::Peer] {
            let age = if source == known_from {
                age
            } else {
                Duration::ZERO
            };
            node.metrics.zone_evacuated(zone, source, age);
        }
    }
}
