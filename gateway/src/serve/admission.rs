//! Holds requests back that come after others while a service has no room.

use std::sync::Arc;
use std::time::{
    Duration,
    Instant, //
};

use limpetweir_state::Timestamp;

use super::admitted::Admitted;
use super::attempt_history::AttemptHistory;
use super::node::Node;
use super::state::State;
use crate::admission::{
    HoldCause,
    Level,
    RETURN_SHARE,
    ServiceKey,
    longest_return, //
};
use crate::batch::{
    WaitingItem,
    reserve, //
};
use crate::placement::{
    Candidate,
    starts_immediately, //
};
use crate::quota::OrganisationKey;

/// Returns the level of a request.
fn level(state: &State, admitted: &Admitted, now: Timestamp) -> Level {
    let organisation = admitted.organisation.as_deref();
    let priority = organisation.and_then(|o| o.priority);
    let key = organisation.map(|o| OrganisationKey::of(&o.name));
    Level {
        priority: priority.unwrap_or(admitted.route.priority),
        over_share: key.is_some_and(|key| state.usage.is_over(key, now)),
    }
}

/// Returns why a request is refused although a server may have room for it: others come first.
pub(crate) fn held_back<P>(
    node: &Node<P>,
    state: &State,
    admitted: &Admitted,
    history: &AttemptHistory,
    candidates: &[Candidate],
    now: Timestamp,
) -> Option<HoldCause> {
    let service = ServiceKey::of(&admitted.service);
    let begun = history.runs > 0 || history.last_event.is_some();
    if !node.settings.admission_by_priority || begun || !state.shortages.is_short(service, now) {
        return None;
    }
    let level = level(state, admitted, now);
    let cause = state.shortages.hold_cause(service, level, now)?;
    let holds = match cause {
        HoldCause::Priority => true,
        HoldCause::Share => !leaves_room(candidates),
    };
    holds.then_some(cause)
}

/// Returns whether more slots are free than the variation of the number of requests fills.
fn leaves_room(candidates: &[Candidate]) -> bool {
    let open = candidates.iter().filter(|c| starts_immediately(c));
    let free = open.map(|c| c.slots.saturating_sub(c.placed.online));
    let free = free.fold(0, u32::saturating_add);
    let online = candidates.iter().map(|c| c.placed.online);
    let online = online.fold(0, u32::saturating_add);
    let servers = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
    free > reserve(online, servers, false)
}

/// Records that a request is placed.
pub(crate) fn placed(state: &mut State, admitted: &Admitted, now: Timestamp) {
    if let Some(organisation) = &admitted.organisation {
        let key = OrganisationKey::of(&organisation.name);
        state.usage.admitted(key, 1, now);
    }
}

/// Records that a request found no room.
pub(crate) fn refused<P>(
    node: &Arc<Node<P>>,
    state: &mut State,
    admitted: &Admitted,
    now: Timestamp,
) {
    if !node.settings.admission_by_priority {
        return;
    }
    let service = ServiceKey::of(&admitted.service);
    let level = level(state, admitted, now);
    if state.shortages.refused(service, level, now) {
        node.report_due.notify(usize::MAX);
    }
}

/// Returns the time after which a refused caller should return: callers of all instances are spread over
/// a part of the slots that get free, `rate` of them a second.
pub(crate) fn return_time(
    state: &mut State,
    admitted: &Admitted,
    rate: f64,
    now: Timestamp,
) -> Duration {
    // Instance counts are far below the precision of f64.
    let instances = (state.members.count() + 1) as f64;
    let remaining = admitted.deadline.saturating_duration_since(Instant::now());
    let longest = longest_return(remaining);
    let key = ServiceKey::of(&admitted.service);
    let times = state.slot_times.entry(key).or_default();
    times.assign(now, RETURN_SHARE * rate / instances, longest)
}

/// Removes the items that come after requests which were refused at their service.
pub(crate) fn hold_items<P>(
    node: &Node<P>,
    state: &State,
    service: &str,
    waiting: &mut Vec<WaitingItem>,
    now: Timestamp,
) {
    let key = ServiceKey::of(service);
    if !node.settings.admission_by_priority || !state.shortages.is_short(key, now) {
        return;
    }
    waiting.retain(|w| {
        let level = item_level(state, w);
        let cause = level.and_then(|level| state.shortages.hold_cause(key, level, now));
        cause.is_none()
    });
}

fn item_level(state: &State, waiting: &WaitingItem) -> Option<Level> {
    let item = state.items.get(waiting.item)?;
    let job = state.job(item.partition, &item.job)?;
    let config = state.config.as_ref()?;
    let organisation = config.organisations().get(&job.organisation);
    let priority = organisation.and_then(|o| o.priority);
    Some(Level {
        priority: priority.or(config.route_named(&job.route).map(|r| r.priority))?,
        over_share: false,
    })
}
