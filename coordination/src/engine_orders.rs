//! Level-triggered orders that bring a model engine to its desired state.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use limpetweir_state::{
    Epoch,
    ModelId,
    Timestamp, //
};
use strum::{
    Display,
    EnumString, //
};

use crate::timing::{
    ORDER_REISSUE_INTERVAL,
    OWNER_LEASE, //
};

/// Phases of a request that an engine serves.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
pub enum EngineRole {
    /// Prefill and decode.
    #[default]
    Mixed,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// State of an engine, as desired by the configuration or as reported by the engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineState {
    /// Loaded models and their versions.
    pub models: BTreeMap<ModelId, String>,
    /// Loaded adapters, as (model, adapter).
    pub adapters: BTreeSet<(ModelId, String)>,
    /// Role.
    pub role: EngineRole,
}

/// An order to an engine; orders are idempotent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum EngineOrder {
    /// Unload an adapter.
    UnloadAdapter(ModelId, String),
    /// Unload a model.
    UnloadModel(ModelId),
    /// Load a version of a model, replacing any other version.
    LoadModel(ModelId, String),
    /// Load an adapter of a loaded model.
    LoadAdapter(ModelId, String),
    /// Change the role.
    SetRole(EngineRole),
}

/// An order with its sender's fencing number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FencedOrder {
    /// The order.
    pub order: EngineOrder,
    /// Epoch under which the sender owns the engine's group.
    pub fencing: Epoch,
}

impl EngineState {
    /// Returns the orders that bring an engine from `reported` to this state.
    ///
    /// An adapter is loaded only after its model is reported in the desired version.
    pub fn orders_from(&self, reported: &EngineState) -> Vec<EngineOrder> {
        let mut orders = Vec::new();
        for (model, adapter) in reported.adapters.difference(&self.adapters) {
            orders.push(EngineOrder::UnloadAdapter(model.clone(), adapter.clone()));
        }
        for model in reported.models.keys() {
            if !self.models.contains_key(model) {
                orders.push(EngineOrder::UnloadModel(model.clone()));
            }
        }
        for (model, version) in &self.models {
            if reported.models.get(model) != Some(version) {
                orders.push(EngineOrder::LoadModel(model.clone(), version.clone()));
            }
        }
        for (model, adapter) in self.adapters.difference(&reported.adapters) {
            let version = self.models.get(model);
            if version.is_some() && reported.models.get(model) == version {
                orders.push(EngineOrder::LoadAdapter(model.clone(), adapter.clone()));
            }
        }
        if reported.role != self.role {
            orders.push(EngineOrder::SetRole(self.role));
        }
        orders
    }
}

/// Issues the orders of one owner to one engine.
#[derive(Clone, Debug)]
pub struct OrderIssuer {
    epoch: Epoch,
    /// No order is issued before this time, as orders of the former owner may still arrive.
    issue_from: Timestamp,
    /// Time at which each order that is still needed was last issued.
    issued: BTreeMap<EngineOrder, Timestamp>,
    /// Whether the engine reported a higher fencing number.
    outdated: bool,
}

impl OrderIssuer {
    /// Creates the issuer of an owner whose claim with `epoch` was read back at `claimed_at`.
    ///
    /// An engine that ignores fencing numbers would execute late orders of the former owner, so
    /// the new owner waits one lease, even after a release.
    pub fn new(epoch: Epoch, claimed_at: Timestamp, honours_fencing: bool) -> Self {
        let issue_from = if honours_fencing {
            claimed_at
        } else {
            claimed_at + OWNER_LEASE
        };
        Self {
            epoch,
            issue_from,
            issued: BTreeMap::new(),
            outdated: false,
        }
    }

    /// Returns the orders to send at `now`; the caller must be allowed to act for the group.
    ///
    /// An order is reissued until `reported` shows its effect.
    pub fn due(
        &mut self,
        now: Timestamp,
        desired: &EngineState,
        reported: &EngineState,
    ) -> Vec<FencedOrder> {
        if self.outdated || now < self.issue_from {
            return Vec::new();
        }
        let needed = desired.orders_from(reported);
        self.issued.retain(|order, _| needed.contains(order));
        let mut due = Vec::new();
        for order in needed {
            let last = self.issued.get(&order);
            if last.is_none_or(|&at| now.since(at) >= ORDER_REISSUE_INTERVAL) {
                self.issued.insert(order.clone(), now);
                let fencing = self.epoch;
                due.push(FencedOrder { order, fencing });
            }
        }
        due
    }

    /// Records that the engine reported a higher fencing number; no further order is issued.
    pub fn on_outdated(&mut self) {
        self.outdated = true;
    }
}
