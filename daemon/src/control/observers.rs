//! Observers of the `config` and `claims` streams, which update the shared state.

use std::sync::Arc;

use limpetweir_state::{
    ClaimEvent,
    Claims,
    Incarnation,
    Offset,
    Publications,
    PublishEvent,
    Timestamp, //
};

use super::state::Shared;
use super::stream::StreamObserver;
use crate::event;
use crate::events::{
    CLAIMED,
    RELEASED,
    TAKEN_OVER, //
};

/// Applies the accepted configuration.
#[derive(Debug)]
pub(super) struct ConfigObserver {
    pub(super) shared: Arc<Shared>,
}

impl StreamObserver for ConfigObserver {
    type Fold = Publications;

    fn on_applied(&self, _fold: &Publications, _at: Offset, _event: PublishEvent) {}

    fn on_replaced(&self, fold: &Publications) {
        self.shared.apply_publications(fold, None);
    }

    fn on_page_read(&self, fold: &Publications, confirmed: Option<Timestamp>) {
        self.shared.apply_publications(fold, confirmed);
    }
}

/// Applies claims and releases of groups.
#[derive(Debug)]
pub(super) struct ClaimsObserver {
    pub(super) shared: Arc<Shared>,
    pub(super) own: Incarnation,
}

impl StreamObserver for ClaimsObserver {
    type Fold = Claims;

    fn on_applied(&self, fold: &Claims, _at: Offset, event: ClaimEvent) {
        let now = self.shared.clock.now();
        let mut inner = self.shared.lock();
        inner.ownership.on_event(now, &self.own, fold, &event);
        inner.record_claim(&event);
        let is_history = inner.claims_read.is_none();
        drop(inner);
        if !is_history {
            log_claim_event(fold, &event);
        }
        self.shared.notify_changed();
    }

    fn on_replaced(&self, fold: &Claims) {
        let now = self.shared.clock.now();
        self.shared.lock().ownership.load(now, &self.own, fold);
        self.shared.notify_changed();
    }

    fn on_page_read(&self, _fold: &Claims, confirmed: Option<Timestamp>) {
        let Some(sent) = confirmed else {
            return;
        };
        let mut inner = self.shared.lock();
        inner.ownership.on_confirmed_read(sent);
        let is_first = inner.claims_read.is_none();
        inner.claims_read = inner.claims_read.max(Some(sent));
        drop(inner);
        if is_first {
            self.shared.wake();
        }
    }
}

fn log_claim_event(fold: &Claims, event: &ClaimEvent) {
    match event {
        ClaimEvent::Claimed {
            group,
            epoch,
            former,
        } => {
            let holder = fold.get(*group).map(|claim| &claim.holder);
            let Some(holder) = holder else {
                return;
            };
            let former = former.as_ref().filter(|former| !former.released);
            match former.filter(|former| former.holder != *holder) {
                Some(former) => event!(
                    TAKEN_OVER,
                    "group={group} holder={holder} epoch={} former={}",
                    epoch.0,
                    former.holder
                ),
                None => event!(CLAIMED, "group={group} holder={holder} epoch={}", epoch.0),
            }
        }
        ClaimEvent::Released { group, epoch } => {
            event!(RELEASED, "group={group} epoch={}", epoch.0);
        }
        ClaimEvent::StaleRelease { .. } => {}
    }
}
