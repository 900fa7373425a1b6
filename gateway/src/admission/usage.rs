//! Use of the fleet by organisation, compared with their rates.

use std::collections::HashMap;
use std::time::Duration;

use limpetweir_state::Timestamp;

use crate::config::Configuration;
use crate::quota::OrganisationKey;

/// Time in which the weight of an admission falls to a half. Organisations that send a burst have used it
/// up within seconds.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Factor by which the use of an organisation may exceed its share before it counts as over its share.
const TOLERATED: f64 = 1.5;

/// Weighted admissions below which an organisation is never over its share: a share of a few requests says
/// nothing.
pub const MIN_USAGE: f64 = 4.0;

/// Recent admissions of an organisation.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    /// Weighted admissions at `updated`.
    admitted: f64,
    updated: Timestamp,
}

impl Usage {
    fn at(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated).as_secs_f64();
        self.admitted * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }
}

/// What each organisation has recently been given by all instances together.
///
/// The share of an organisation follows from its rate in the configuration. Organisations that send
/// nothing leave their shares to the others.
#[derive(Debug, Default)]
pub struct OrganisationUsage {
    usage: HashMap<OrganisationKey, Usage>,
    /// Rates of the organisations that have one, in requests per second.
    rates: HashMap<OrganisationKey, f64>,
}

impl OrganisationUsage {
    /// Applies the rates of a configuration.
    pub fn configure(&mut self, config: &Configuration) {
        let organisations = config.organisations().values();
        let rates = organisations.filter_map(|o| Some((OrganisationKey::of(&o.name), o.rate?)));
        self.rates = rates.collect();
        let rates = &self.rates;
        self.usage.retain(|key, _| rates.contains_key(key));
    }

    /// Records admissions of an organisation, at this instance or at another one.
    pub fn admitted(&mut self, organisation: OrganisationKey, count: u64, now: Timestamp) {
        if !self.rates.contains_key(&organisation) {
            return;
        }
        let usage = self.usage.entry(organisation).or_default();
        // Counts are far below the precision of f64.
        usage.admitted = usage.at(now) + count as f64;
        usage.updated = now;
    }

    /// Returns whether an organisation has been given more than its share. It costs a step for each
    /// organisation, so it is asked only in a shortage.
    pub fn is_over(&self, organisation: OrganisationKey, now: Timestamp) -> bool {
        let own = self.usage.get(&organisation).map_or(0.0, |u| u.at(now));
        let Some(own_rate) = self.rates.get(&organisation) else {
            return false;
        };
        if own < MIN_USAGE {
            return false;
        }
        let (mut used, mut rates) = (0.0, 0.0);
        for (key, usage) in &self.usage {
            let usage = usage.at(now);
            if usage >= 1.0 {
                used += usage;
                rates += self.rates.get(key).copied().unwrap_or(0.0);
            }
        }
        own * rates > TOLERATED * used * own_rate
    }
}
