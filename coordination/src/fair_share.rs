//! Weighted fair sharing of dispatches between organisations.

use std::collections::BTreeMap;

use limpetweir_state::OrganisationId;

/// Cost of one dispatch of an organisation with weight 1.
const DISPATCH_COST: u64 = 1 << 16;

/// Number of dispatches by which an organisation of weight 1 may lead the least served waiting one.
///
/// Within this lead only deadlines determine the order.
const MAX_LEAD: u64 = 16;

/// Dispatches that each organisation has used, relative to its weight.
#[derive(Clone, Debug, Default)]
pub(crate) struct FairShares {
    used: BTreeMap<OrganisationId, u64>,
    weights: BTreeMap<OrganisationId, u32>,
    /// Usage of the least served waiting organisation at the last choice; never decreases.
    ///
    /// Lower usage is raised to it, so that an organisation gains no credit while it is idle.
    floor: u64,
}

impl FairShares {
    pub(crate) fn set_weight(&mut self, organisation: OrganisationId, weight: u32) {
        self.weights.insert(organisation, weight.max(1));
    }

    fn used(&self, organisation: &OrganisationId) -> u64 {
        let used = self.used.get(organisation).copied().unwrap_or(0);
        used.max(self.floor)
    }

    /// Raises the floor to the usage of the least served of the `waiting` organisations.
    pub(crate) fn observe<'a>(&mut self, waiting: impl Iterator<Item = &'a OrganisationId>) {
        let least = waiting.map(|organisation| self.used(organisation)).min();
        self.floor = least.unwrap_or(self.floor);
    }

    /// Returns whether items of `organisation` may be dispatched before those of less served ones.
    pub(crate) fn is_within_lead(&self, organisation: &OrganisationId) -> bool {
        self.used(organisation) < self.floor + MAX_LEAD * DISPATCH_COST
    }

    pub(crate) fn charge(&mut self, organisation: &OrganisationId) {
        let used = self.used(organisation) + self.cost(organisation);
        self.used.insert(organisation.clone(), used);
    }

    /// Refunds a dispatch that was preempted or did not run.
    pub(crate) fn refund(&mut self, organisation: &OrganisationId) {
        let used = self.used(organisation);
        let refunded = used.saturating_sub(self.cost(organisation));
        self.used.insert(organisation.clone(), refunded);
    }

    fn cost(&self, organisation: &OrganisationId) -> u64 {
        let weight = self.weights.get(organisation).copied().unwrap_or(1);
        DISPATCH_COST / u64::from(weight)
    }
}
