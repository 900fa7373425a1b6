//! State of one organisation at its quota owner: the owner's bucket and the granted shares.

use std::collections::BTreeMap;

use limpetweir_state::{
    Incarnation,
    Limit,
    Timestamp,
    TokenBucket, //
};

use super::message::{
    GrantId,
    QuotaRequest, //
};
use super::portion::Portion;
use super::settings::QuotaSettings;

/// Number of grantees up to which the owner keeps a part of the limit for admission requests.
///
/// With so few grantees, the loss of one makes most of the granted rate unusable for a lease. With
/// more, the loss of the owner would make the part that it keeps unusable for as long.
const FEW_GRANTEES: usize = 2;

/// Fraction of the shares that is divided by demand among many grantees; the rest is divided
/// equally.
///
/// The loss of a grantee makes its share unusable for a lease. A share that is too small is
/// compensated by the admissions of peers.
const DEMAND_PART: f64 = 0.1;

/// Maximum total share of a few grantees, as a multiple of their demand.
///
/// Rate that a share does not use is lost, while rate kept by the owner is available to any
/// instance.
const SHARE_PER_DEMAND: f64 = 1.25;

/// A grant that its grantee may be using.
#[derive(Clone, Copy, Debug)]
struct Grant {
    id: GrantId,
    portion: Portion,
    /// Time by the owner's clock from which the lease has ended by any grantee's clock.
    expires: Timestamp,
}

/// One grantee as seen by the owner.
#[derive(Clone, Debug, Default)]
struct Grantee {
    /// Every grant that the grantee may hold or may still receive.
    grants: Vec<Grant>,
    /// Whether it runs at the owner's instance.
    at_owner: bool,
    /// Requests per second that callers recently offered.
    demand: f64,
    /// Time of the last request.
    last_request_at: Timestamp,
}

impl Grantee {
    /// Returns the maximum that the grantee may be using.
    fn granted(&self) -> Portion {
        let portions = self.grants.iter().map(|grant| grant.portion);
        portions.fold(Portion::default(), Portion::max)
    }
}

/// Bucket and shares of one organisation.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    /// The limit; `None` while the organisation is not in the configuration.
    limit: Option<Limit>,
    /// Bucket of the part that is not granted.
    bucket: TokenBucket,
    grantees: BTreeMap<Incarnation, Grantee>,
}

impl Account {
    /// Creates an account with a full bucket, for an organisation without any admitted request.
    pub(crate) fn full(limit: Limit, cfg: &QuotaSettings, now: Timestamp) -> Self {
        let rate = limit.rate() / cfg.refill_skew;
        Self {
            limit: Some(limit),
            bucket: TokenBucket::full(rate, limit.burst(), now),
            grantees: BTreeMap::new(),
        }
    }

    /// Creates an account whose bucket was empty at `since`.
    pub(crate) fn empty_at(since: Timestamp) -> Self {
        Self {
            limit: None,
            bucket: TokenBucket::empty(0.0, 0.0, since),
            grantees: BTreeMap::new(),
        }
    }

    /// Returns the limit, or `None` while the organisation is not in the configuration.
    pub(crate) fn limit(&self) -> Option<Limit> {
        self.limit
    }

    /// Returns the bucket from which the owner admits requests.
    pub(crate) fn bucket(&mut self) -> &mut TokenBucket {
        &mut self.bucket
    }

    /// Returns the number of grantees that may hold a share, and the sum of these shares.
    pub(crate) fn grant_totals(&self) -> (usize, Portion) {
        let grantees = self.grantees.values().filter(|g| !g.grants.is_empty());
        (grantees.count(), self.granted())
    }

    /// Applies a new limit to the bucket immediately; shares follow at their renewal or expiry.
    pub(crate) fn set_limit(
        &mut self,
        limit: Option<Limit>,
        recovering: bool,
        cfg: &QuotaSettings,
        now: Timestamp,
    ) {
        let returning = self.limit.is_none();
        self.limit = limit;
        let Some(limit) = limit else {
            // The bucket keeps the time of removal; a later limit refills it from that time on.
            self.bucket = TokenBucket::empty(0.0, 0.0, now);
            return;
        };
        if returning {
            let own = Self::own_portion(limit, self.reserved_for_shares(recovering));
            let former_bucket = self.bucket.clone();
            self.bucket = former_bucket.emptied(own.rate / cfg.refill_skew, own.cap);
        }
        self.update_bucket(recovering, cfg, now);
    }

    fn own_portion(limit: Limit, granted: Portion) -> Portion {
        let whole = Portion {
            rate: limit.rate(),
            cap: limit.burst(),
        };
        whole.minus(granted)
    }

    /// Returns the maximum of all shares together.
    ///
    /// While the owner recovers, a former owner may have granted shares to many grantees.
    fn grantable(&self, recovering: bool) -> Portion {
        let Some(limit) = self.limit else {
            return Portion::default();
        };
        if recovering || self.active_grantees() > FEW_GRANTEES {
            return Portion::grantable(limit);
        }
        Portion::grantable_to_few(limit)
    }

    /// Returns the number of grantees with demand at instances other than the owner's.
    fn active_grantees(&self) -> usize {
        let grantees = self.grantees.values();
        let others = grantees.filter(|grantee| !grantee.at_owner);
        others.filter(|grantee| grantee.demand > 0.0).count()
    }

    fn granted(&self) -> Portion {
        let granted = self.grantees.values().map(Grantee::granted);
        granted.fold(Portion::default(), Portion::plus)
    }

    /// Returns the part of the limit that the owner's bucket must leave to shares.
    ///
    /// While the owner recovers, grantees without a request to it may hold everything that the
    /// former owner was allowed to grant.
    fn reserved_for_shares(&self, recovering: bool) -> Portion {
        let granted = self.granted();
        if recovering {
            return granted.max(self.grantable(true));
        }
        granted
    }

    /// Sets rate and capacity of the bucket to the part of the limit that is not granted.
    pub(crate) fn update_bucket(&mut self, recovering: bool, cfg: &QuotaSettings, now: Timestamp) {
        let Some(limit) = self.limit else {
            return;
        };
        let own = Self::own_portion(limit, self.reserved_for_shares(recovering));
        self.bucket.set(own.rate / cfg.refill_skew, own.cap, now);
    }

    /// Removes grants whose lease has ended by any clock, and grantees without grants and without a
    /// request within a lease.
    pub(crate) fn expire(&mut self, cfg: &QuotaSettings, now: Timestamp) {
        for grantee in self.grantees.values_mut() {
            grantee.grants.retain(|grant| now < grant.expires);
        }
        let current =
            |g: &Grantee| now.since(g.last_request_at) < cfg.share_lease || !g.grants.is_empty();
        self.grantees.retain(|_, grantee| current(grantee));
    }

    /// Applies the demand and the share that a request reports.
    ///
    /// A grantee only accepts grants with greater ids, so grants below the confirmed one are
    /// unused.
    pub(crate) fn apply_request(
        &mut self,
        request: &QuotaRequest,
        at_owner: bool,
        recovering: bool,
        cfg: &QuotaSettings,
        now: Timestamp,
    ) {
        let grantee = self.grantees.entry(request.grantee.clone()).or_default();
        grantee.at_owner = at_owner;
        grantee.last_request_at = grantee.last_request_at.max(now);
        grantee.demand = request.demand.max(0.0);
        let Some(held) = &request.held else {
            return;
        };
        grantee.grants.retain(|grant| grant.id >= held.id);
        let known = grantee.grants.iter().any(|grant| grant.id == held.id);
        if recovering && !known {
            grantee.grants.push(Grant {
                id: held.id,
                portion: Portion::from(held),
                expires: cfg.after_lease(held.remaining, now),
            });
        }
    }

    /// Returns the share to grant to the grantee of `request`.
    fn target(&self, request: &QuotaRequest, recovering: bool) -> Portion {
        let grantees = self.grantees.iter();
        let others = grantees.filter(|(id, _)| **id != request.grantee);
        let granted = others
            .map(|(_, other)| other.granted())
            .fold(Portion::default(), Portion::plus);
        let free = self.grantable(recovering).minus(granted);
        if recovering {
            // Grantees without a request so far may hold everything that appears free.
            let held = request
                .held
                .as_ref()
                .map_or(Portion::default(), Portion::from);
            return held.min(free).usable();
        }
        // Rate and capacity are scaled alike, so that a share lasts as long as the whole limit
        // would.
        let wanted = self.grantable(false).times(self.fraction_for(request));
        let held = self.grantees.get(&request.grantee);
        let held = held.and_then(|grantee| grantee.grants.last());
        let steady = held.map(|grant| grant.portion);
        let steady = steady.filter(|held| held.is_near(wanted));
        steady.unwrap_or(wanted).min(free).usable()
    }

    /// Returns the fraction of all shares for the grantee of `request`.
    ///
    /// Among many grantees, the one at the owner's instance gets none: its share would be lost
    /// together with the owner and stay unusable for longest, until the successor has recovered.
    fn fraction_for(&self, request: &QuotaRequest) -> f64 {
        let demand = request.demand.max(0.0);
        if demand <= 0.0 {
            return 0.0;
        }
        let active = self.active_grantees();
        let many = active > FEW_GRANTEES;
        let recipients = self.grantees.values().filter(|g| !many || !g.at_owner);
        let total: f64 = recipients.map(|g| g.demand).sum();
        if many {
            if self
                .grantees
                .get(&request.grantee)
                .is_some_and(|g| g.at_owner)
            {
                return 0.0;
            }
            return DEMAND_PART * demand / total + (1.0 - DEMAND_PART) / active as f64;
        }
        let useful = total.max(self.grantable(false).rate / SHARE_PER_DEMAND);
        demand / useful
    }

    /// Grants the grantee of `request` its share under the grant `id`.
    ///
    /// Returns the share and the tokens that move from the bucket to it, or `None` if the grantee
    /// gets no share and cannot hold one.
    pub(crate) fn grant_share(
        &mut self,
        request: &QuotaRequest,
        id: GrantId,
        recovering: bool,
        cfg: &QuotaSettings,
        now: Timestamp,
    ) -> Option<(Portion, f64)> {
        let portion = self.target(request, recovering);
        let grantee = self.grantees.get_mut(&request.grantee)?;
        let before = grantee.granted();
        if portion == Portion::default() && before == Portion::default() {
            return None;
        }
        grantee.grants.push(Grant {
            id,
            portion,
            expires: cfg.after_lease(cfg.share_lease, now),
        });
        let growth = (portion.cap - before.cap).max(0.0);
        let tokens = if recovering {
            0.0
        } else {
            self.withdraw_for(growth, now)
        };
        Some((portion, tokens))
    }

    /// Withdraws the tokens in proportion to `growth` of the bucket's capacity.
    fn withdraw_for(&mut self, growth: f64, now: Timestamp) -> f64 {
        let cap = self.bucket.cap();
        if growth <= 0.0 || cap <= 0.0 {
            return 0.0;
        }
        let held = self.bucket.refill(now);
        let wanted = held * (growth / cap).min(1.0);
        self.bucket.withdraw(wanted, now)
    }
}
