//! Orders to load models, adapters and versions or to change the role.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

/// Version of a model that was just loaded.
const FIRST_VERSION: &str = "1";

/// What an order changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Loads the model `value`; adapters are unloaded and the version returns to "1".
    Model,
    /// Loads the adapter `value`, or unloads it with `remove`.
    Adapter,
    /// Loads the version `value` of the current model.
    Version,
    /// Changes the role to `value`.
    Role,
}

/// Part of the work that the engine takes. The stand-in reports it but does not act on it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, EnumString, Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// Body of `POST /orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// What the order changes.
    pub kind: OrderKind,
    /// Name of the model or adapter, version or role.
    pub value: String,
    /// Unloads the adapter instead of loading it.
    #[serde(default)]
    pub remove: bool,
    /// Fencing number of the sender.
    pub fencing: u64,
}

/// An order in the answer of `GET /record`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRecord {
    /// The order as received.
    pub order: Order,
    /// Whether it was accepted.
    pub accepted: bool,
}

/// Reason for which an order has no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum OrderError {
    /// A higher fencing number was seen.
    Stale { highest: u64 },
    /// The role is not known.
    UnknownRole(String),
}

/// What the engine has loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Loaded {
    pub(crate) model: String,
    pub(crate) version: String,
    pub(crate) adapters: Vec<String>,
    pub(crate) role: Role,
}

/// Accepted orders and what they lead to.
#[derive(Debug)]
pub(crate) struct Orders {
    loaded: Loaded,
    /// Orders that are accepted but not in effect, with their time.
    pending: Vec<(Duration, Order)>,
    records: Vec<OrderRecord>,
    highest: u64,
    check_fencing: bool,
    load_time: Duration,
}

impl Orders {
    /// Returns an engine that has loaded `model` without adapters.
    pub(crate) fn new(model: &str, check_fencing: bool, load_time: Duration) -> Self {
        let loaded = Loaded {
            model: model.to_owned(),
            version: FIRST_VERSION.to_owned(),
            adapters: Vec::new(),
            role: Role::default(),
        };
        Self {
            loaded,
            pending: Vec::new(),
            records: Vec::new(),
            highest: 0,
            check_fencing,
            load_time,
        }
    }

    /// Sets whether old fencing numbers are rejected.
    pub(crate) fn set_check(&mut self, check: bool) {
        self.check_fencing = check;
    }

    /// Accepts or rejects an order. An equal fencing number is accepted.
    pub(crate) fn order(&mut self, now: Duration, order: Order) -> Result<(), OrderError> {
        self.settle(now);
        let checked = self.check(&order);
        self.records.push(OrderRecord {
            order: order.clone(),
            accepted: checked.is_ok(),
        });
        checked?;
        self.highest = self.highest.max(order.fencing);
        let due = match order.kind {
            OrderKind::Role => now,
            OrderKind::Model | OrderKind::Adapter | OrderKind::Version => now + self.load_time,
        };
        self.pending.push((due, order));
        self.settle(now);
        Ok(())
    }

    /// Returns what is loaded at `now`.
    pub(crate) fn loaded(&mut self, now: Duration) -> &Loaded {
        self.settle(now);
        &self.loaded
    }

    /// Returns the next time at which a pending order takes effect.
    pub(crate) fn next_due(&self) -> Option<Duration> {
        self.pending.iter().map(|(due, _)| *due).min()
    }

    /// Returns whether accepted orders are not yet in effect.
    pub(crate) fn loading(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the highest fencing number of an accepted order.
    pub(crate) fn highest(&self) -> u64 {
        self.highest
    }

    /// Returns all orders as received.
    pub(crate) fn records(&self) -> &[OrderRecord] {
        &self.records
    }

    fn check(&self, order: &Order) -> Result<(), OrderError> {
        if self.check_fencing && order.fencing < self.highest {
            return Err(OrderError::Stale {
                highest: self.highest,
            });
        }
        if order.kind == OrderKind::Role && order.value.parse::<Role>().is_err() {
            return Err(OrderError::UnknownRole(order.value.clone()));
        }
        Ok(())
    }

    /// Applies the orders that are due, in the order in which they were accepted.
    fn settle(&mut self, now: Duration) {
        let (due, pending) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|(due, _)| *due <= now);
        self.pending = pending;
        let due: Vec<(Duration, Order)> = due;
        for (_, order) in due {
            self.apply(order);
        }
    }

    fn apply(&mut self, order: Order) {
        let loaded = &mut self.loaded;
        match order.kind {
            OrderKind::Model if loaded.model != order.value => {
                loaded.model = order.value;
                loaded.version = FIRST_VERSION.to_owned();
                loaded.adapters.clear();
            }
            OrderKind::Model => {}
            OrderKind::Adapter => {
                loaded.adapters.retain(|adapter| *adapter != order.value);
                if !order.remove {
                    loaded.adapters.push(order.value);
                }
            }
            OrderKind::Version => loaded.version = order.value,
            OrderKind::Role => loaded.role = order.value.parse().unwrap_or(loaded.role),
        }
    }
}
