//! Passes to the cold servers what entries, responses and the configuration say, and logs it.

use std::time::Duration;

use limpetweir_state::Timestamp;

use super::lines::{
    COLD,
    COLD_INVALID,
    log_event, //
};
use super::node::unix_ms;
use super::state::State;
use crate::backend::BackendEntry;
use crate::config::Configuration;
use crate::report::Report;
use crate::warm_up::{
    ColdSpan,
    ColdTime,
    Sender, //
};

/// Applies the entry of a backend server. Its remaining time is taken out, because it changes with each
/// entry and would make each of them a changed one.
pub(crate) fn entry_read(state: &mut State, entry: &mut BackendEntry, now: Timestamp) {
    let stated = std::mem::take(&mut entry.cold_remaining);
    apply_entry(state, entry, &stated, now);
}

fn apply_entry(state: &mut State, entry: &BackendEntry, stated: &ColdTime, now: Timestamp) {
    let cold = state.limits.cold_mut();
    log_invalid(cold.invalid_of(entry, stated), entry);
    let span = cold.entry_read(entry, stated, now, unix_ms());
    log_span(span, &entry.id);
}

/// Applies the time that a response states; returns whether a cold span begins.
pub(crate) fn responded(
    state: &mut State,
    entry: &BackendEntry,
    stated: &ColdTime,
    now: Timestamp,
) -> bool {
    let cold = state.limits.cold_mut();
    log_invalid(cold.invalid_of(entry, stated), entry);
    let span = cold.responded(entry, stated, now);
    log_span(span, &entry.id);
    span.is_some()
}

/// Applies the terms of a configuration that comes into force, also to servers that are known.
pub(crate) fn configure(state: &mut State, config: &Configuration, now: Timestamp) {
    let services = config.services().iter();
    for (name, service) in services.clone() {
        if let Some(values) = &service.invalid_warm_up {
            log_event!(COLD_INVALID, "service={name} {values}");
        }
    }
    let terms = services.filter_map(|(name, service)| Some((name.clone(), service.warm_up?)));
    state.limits.cold_mut().configure(terms);
    let known = state.backends.iter().map(|backend| backend.entry.clone());
    for entry in known.collect::<Vec<_>>() {
        apply_entry(state, &entry, &ColdTime::default(), now);
    }
}

/// Updates the instances among which the rates of cold servers are divided: those of the own cell.
pub(crate) fn update_senders(state: &mut State, now: Timestamp) {
    let State {
        limits,
        members,
        cells,
        load,
        items_waiting,
        ..
    } = state;
    let own_cell = members.iter();
    let own_cell = own_cell.filter(|(_, member)| member.cell == cells.own());
    let others = own_cell.map(|(name, member)| Sender {
        name,
        has_work: member.report.as_deref().is_some_and(Report::has_work),
        heard: member.last_report_at.map(|at| {
            let next_ms = member.report.as_ref().map_or(0, |report| report.next_ms);
            (now.since(at), Duration::from_millis(u64::from(next_ms)))
        }),
    });
    let others: Vec<Sender<'_>> = others.collect();
    let has_work =
        *items_waiting || !load.own_online().is_empty() || load.own_batch().next().is_some();
    limits.set_cold_senders(has_work, &others, now);
}

/// Updates the senders before a decision, while servers are cold.
pub(crate) fn refresh_senders(state: &mut State, now: Timestamp) {
    if state.limits.cold().are_senders_old(now) {
        update_senders(state, now);
    }
}

/// Applies what another instance reports.
pub(crate) fn reported(state: &mut State, peer: &str, report: &Report, now: Timestamp) {
    let State {
        limits, backends, ..
    } = state;
    let service_of = |run| Some(backends.of_run(run)?.entry.service.clone());
    let cold = limits.cold_mut();
    let spans = cold.apply_report(peer, report.boot, &report.cold, service_of, now);
    for (run, span) in spans {
        if let Some(backend) = backends.of_run(run) {
            log_span(Some(span), &backend.entry.id);
        }
    }
}

fn log_span(span: Option<ColdSpan>, backend: &str) {
    if let Some(ColdSpan { source, remaining }) = span {
        let remaining_ms = remaining.as_millis();
        log_event!(
            COLD,
            "backend={backend} source={source} remaining_ms={remaining_ms}"
        );
    }
}

fn log_invalid(value: Option<&str>, entry: &BackendEntry) {
    if let Some(value) = value {
        log_event!(COLD_INVALID, "backend={} value={value:?}", entry.id);
    }
}
