//! Orders to load models, adapters and versions or to change the role.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

/// Model version that is loaded at the start.
pub(crate) const FIRST_VERSION: &str = "1";

/// Phases of requests that the engine accepts. The stand-in reports the role but ignores it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Mixed,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// Change that an order makes; the wire field `kind` contains the variant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Change {
    /// Loads a version of a model and replaces any other version of it.
    LoadModel {
        /// Name of the model.
        model: String,
        /// Version to load.
        version: String,
    },
    /// Unloads a model and its adapters.
    UnloadModel {
        /// Name of the model.
        model: String,
    },
    /// Loads an adapter of a model.
    LoadAdapter {
        /// Name of the model.
        model: String,
        /// Name of the adapter.
        adapter: String,
    },
    /// Unloads an adapter.
    UnloadAdapter {
        /// Name of the model.
        model: String,
        /// Name of the adapter.
        adapter: String,
    },
    /// Changes the role.
    SetRole {
        /// The new role.
        role: Role,
    },
}

/// Body of `POST /orders`; orders are idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Change to make.
    #[serde(flatten)]
    pub change: Change,
    /// Fencing number of the sender.
    pub fencing: u64,
}

/// An order in the response of `GET /record`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The order as received.
    pub order: Order,
    /// Whether it was accepted.
    pub accepted: bool,
}

/// The order was rejected because one with a higher fencing number was accepted before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Stale {
    /// Highest fencing number of an accepted order.
    pub(crate) highest: u64,
}

/// A loaded adapter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(crate) struct Adapter {
    pub(crate) model: String,
    pub(crate) adapter: String,
}

/// Loaded models and adapters, and the role.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Loaded {
    /// Version by model.
    pub(crate) models: BTreeMap<String, String>,
    pub(crate) adapters: BTreeSet<Adapter>,
    pub(crate) role: Role,
}

impl Loaded {
    /// Returns whether a request may name `name`: a model, or `<model>:<adapter>`.
    pub(crate) fn serves(&self, name: &str) -> bool {
        self.models.contains_key(name) || self.names().any(|other| other == name)
    }

    /// Returns the names that requests may use.
    pub(crate) fn names(&self) -> impl Iterator<Item = String> {
        let adapters = self
            .adapters
            .iter()
            .map(|loaded| format!("{}:{}", loaded.model, loaded.adapter));
        self.models.keys().cloned().chain(adapters)
    }
}

/// Accepted orders and the state that results from them.
#[derive(Debug)]
pub(crate) struct Orders {
    loaded: Loaded,
    /// Accepted changes that are not yet in effect, in nondecreasing order of time.
    pending: Vec<(Duration, Change)>,
    records: Vec<OrderRecord>,
    highest: u64,
    check_fencing: bool,
    load_time: Duration,
}

impl Orders {
    /// Returns the state of an engine that has loaded the first version of `model`.
    pub(crate) fn new(model: &str, check_fencing: bool, load_time: Duration) -> Self {
        let mut loaded = Loaded::default();
        loaded
            .models
            .insert(model.to_owned(), FIRST_VERSION.to_owned());
        Self {
            loaded,
            pending: Vec::new(),
            records: Vec::new(),
            highest: 0,
            check_fencing,
            load_time,
        }
    }

    /// Sets whether orders with an old fencing number are rejected.
    pub(crate) fn set_check_fencing(&mut self, check: bool) {
        self.check_fencing = check;
    }

    /// Accepts or rejects an order. An equal fencing number is accepted.
    ///
    /// Orders take effect in the sequence of their acceptance. A repetition of a pending order
    /// does not restart it, because managers send orders again until they are in effect.
    pub(crate) fn order(&mut self, now: Duration, order: Order) -> Result<(), Stale> {
        self.apply_due(now);
        let accepted = !self.check_fencing || order.fencing >= self.highest;
        self.records.push(OrderRecord {
            order: order.clone(),
            accepted,
        });
        if !accepted {
            return Err(Stale {
                highest: self.highest,
            });
        }
        self.highest = self.highest.max(order.fencing);
        if self
            .pending
            .iter()
            .any(|(_, change)| *change == order.change)
        {
            return Ok(());
        }
        let due = now + self.time_to_apply(&order.change);
        let last = self.pending.last().map_or(due, |(last, _)| *last);
        self.pending.push((due.max(last), order.change));
        self.apply_due(now);
        Ok(())
    }

    /// Returns the loaded state at `now`.
    pub(crate) fn loaded(&mut self, now: Duration) -> &Loaded {
        self.apply_due(now);
        &self.loaded
    }

    /// Returns the next time at which a pending order takes effect.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.pending.first().map(|(due, _)| *due)
    }

    /// Returns whether some accepted orders are not yet in effect.
    pub(crate) fn loading(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the highest fencing number of an accepted order.
    pub(crate) fn highest(&self) -> u64 {
        self.highest
    }

    /// Returns all received orders.
    pub(crate) fn records(&self) -> &[OrderRecord] {
        &self.records
    }

    /// Returns the load time, or zero for changes that load nothing.
    fn time_to_apply(&self, change: &Change) -> Duration {
        match change {
            Change::LoadModel { model, version }
                if self.loaded.models.get(model) != Some(version) =>
            {
                self.load_time
            }
            Change::LoadAdapter { .. } => self.load_time,
            _ => Duration::ZERO,
        }
    }

    /// Applies the changes that are due.
    fn apply_due(&mut self, now: Duration) {
        let due = self.pending.partition_point(|(due, _)| *due <= now);
        let changes: Vec<_> = self.pending.drain(..due).collect();
        for (_, change) in changes {
            self.apply(change);
        }
    }

    fn apply(&mut self, change: Change) {
        let loaded = &mut self.loaded;
        match change {
            Change::LoadModel { model, version } => {
                loaded.models.insert(model, version);
            }
            Change::UnloadModel { model } => {
                loaded.models.remove(&model);
                loaded.adapters.retain(|adapter| adapter.model != model);
            }
            Change::LoadAdapter { model, adapter } => {
                if loaded.models.contains_key(&model) {
                    loaded.adapters.insert(Adapter { model, adapter });
                }
            }
            Change::UnloadAdapter { model, adapter } => {
                loaded.adapters.remove(&Adapter { model, adapter });
            }
            Change::SetRole { role } => loaded.role = role,
        }
    }
}
