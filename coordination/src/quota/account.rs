//! What a home knows of one organisation: its bucket and the shares it has lent.

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

/// Borrowers up to which the home keeps a part of the limit for asks.
///
/// The loss of one of so few borrowers takes the greater part of what is lent for a lease. Among more
/// borrowers, the loss of the home would take what it keeps for as long.
const FEW_BORROWERS: usize = 2;

/// Part of the shares that follows the demand; the rest is the same for each of many borrowers.
///
/// The loss of a borrower takes its share for a lease, while peers admit what it lacks.
const BY_DEMAND: f64 = 0.1;

/// Largest share of a few borrowers, as a multiple of their demand.
///
/// Rate that a share does not use is lost, while the home can give it to any instance that asks.
const SHARE_PER_DEMAND: f64 = 1.25;

/// A grant that its borrower may be using.
#[derive(Clone, Copy, Debug)]
struct Lent {
    id: GrantId,
    portion: Portion,
    /// Time, by the home's clock, after which no borrower's clock still counts the lease.
    expires: Timestamp,
}

/// One borrower as the home sees it.
#[derive(Clone, Debug, Default)]
struct Borrower {
    /// Every grant that the borrower may hold or may still receive.
    lent: Vec<Lent>,
    /// Whether it is at the instance of the home.
    own: bool,
    /// Requests per second that callers recently offered.
    demand: f64,
    /// Time of the last message.
    heard: Timestamp,
}

impl Borrower {
    /// Returns the most that the borrower may be using.
    fn counted(&self) -> Portion {
        let portions = self.lent.iter().map(|lent| lent.portion);
        portions.fold(Portion::default(), Portion::max)
    }
}

/// Bucket and shares of one organisation.
#[derive(Clone, Debug)]
pub(crate) struct Account {
    /// The limit; `None` while the organisation is not in the configuration.
    limit: Option<Limit>,
    /// Holds what is not lent.
    bucket: TokenBucket,
    borrowers: BTreeMap<Incarnation, Borrower>,
}

impl Account {
    /// Returns an account whose bucket is full, for an organisation that has admitted nothing yet.
    pub(crate) fn full(limit: Limit, cfg: &QuotaSettings, now: Timestamp) -> Self {
        let rate = limit.rate() / cfg.refill_skew;
        Self {
            limit: Some(limit),
            bucket: TokenBucket::full(rate, limit.burst(), now),
            borrowers: BTreeMap::new(),
        }
    }

    /// Returns an account whose bucket was empty at `since`.
    pub(crate) fn empty_at(since: Timestamp) -> Self {
        Self {
            limit: None,
            bucket: TokenBucket::empty(0.0, 0.0, since),
            borrowers: BTreeMap::new(),
        }
    }

    /// Returns the limit, or `None` while the organisation is not in the configuration.
    pub(crate) fn limit(&self) -> Option<Limit> {
        self.limit
    }

    /// Returns the bucket that admits asks.
    pub(crate) fn bucket(&mut self) -> &mut TokenBucket {
        &mut self.bucket
    }

    /// Returns the number of borrowers that may hold a share, and the sum of these shares.
    pub(crate) fn lent(&self) -> (usize, Portion) {
        let lenders = self.borrowers.values().filter(|b| !b.lent.is_empty());
        (lenders.count(), self.counted())
    }

    /// Applies a new limit to the bucket at once; shares follow at their renewal or expiry.
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
            // The time of removal stays in the bucket, from which a later limit refills it.
            self.bucket = TokenBucket::empty(0.0, 0.0, now);
            return;
        };
        if returning {
            let own = Self::own(limit, self.unavailable(recovering));
            let since = self.bucket.clone();
            self.bucket = since.emptied(own.rate / cfg.refill_skew, own.cap);
        }
        self.settle(recovering, cfg, now);
    }

    fn own(limit: Limit, lent: Portion) -> Portion {
        let whole = Portion {
            rate: limit.rate(),
            cap: limit.burst(),
        };
        whole.minus(lent)
    }

    /// Returns the most that all shares together may have.
    ///
    /// A former home may have lent to many borrowers.
    fn shared(&self, recovering: bool) -> Portion {
        let Some(limit) = self.limit else {
            return Portion::default();
        };
        if recovering || self.active() > FEW_BORROWERS {
            return Portion::lendable(limit);
        }
        Portion::lendable_to_few(limit)
    }

    /// Returns the number of borrowers with demand at other instances than the home's.
    fn active(&self) -> usize {
        let borrowers = self.borrowers.values();
        let others = borrowers.filter(|borrower| !borrower.own);
        others.filter(|borrower| borrower.demand > 0.0).count()
    }

    fn counted(&self) -> Portion {
        let counted = self.borrowers.values().map(Borrower::counted);
        counted.fold(Portion::default(), Portion::plus)
    }

    /// Returns what the home's bucket must leave to shares.
    ///
    /// While the home recovers, borrowers that it has not heard may hold all that the former home
    /// was allowed to lend.
    fn unavailable(&self, recovering: bool) -> Portion {
        let counted = self.counted();
        if recovering {
            return counted.max(self.shared(true));
        }
        counted
    }

    /// Gives the bucket what is not lent.
    pub(crate) fn settle(&mut self, recovering: bool, cfg: &QuotaSettings, now: Timestamp) {
        let Some(limit) = self.limit else {
            return;
        };
        let own = Self::own(limit, self.unavailable(recovering));
        self.bucket.set(own.rate / cfg.refill_skew, own.cap, now);
    }

    /// Drops grants whose lease has ended by any clock, and borrowers without a message since.
    pub(crate) fn expire(&mut self, cfg: &QuotaSettings, now: Timestamp) {
        for borrower in self.borrowers.values_mut() {
            borrower.lent.retain(|lent| now < lent.expires);
        }
        let current = |b: &Borrower| now.since(b.heard) < cfg.share_lease || !b.lent.is_empty();
        self.borrowers.retain(|_, borrower| current(borrower));
    }

    /// Notes what a message says of its borrower's demand and share.
    ///
    /// A borrower only moves to greater grants, so it never uses one below the confirmed one again.
    pub(crate) fn note(
        &mut self,
        call: &QuotaRequest,
        own: bool,
        recovering: bool,
        cfg: &QuotaSettings,
        now: Timestamp,
    ) {
        let borrower = self.borrowers.entry(call.grantee.clone()).or_default();
        borrower.own = own;
        borrower.heard = borrower.heard.max(now);
        borrower.demand = call.demand.max(0.0);
        let Some(held) = &call.held else {
            return;
        };
        borrower.lent.retain(|lent| lent.id >= held.id);
        let known = borrower.lent.iter().any(|lent| lent.id == held.id);
        if recovering && !known {
            borrower.lent.push(Lent {
                id: held.id,
                portion: Portion::from(held),
                expires: cfg.after_lease(held.remaining, now),
            });
        }
    }

    /// Returns the share that the borrower of `call` should have.
    fn target(&self, call: &QuotaRequest, recovering: bool) -> Portion {
        let borrowers = self.borrowers.iter();
        let others = borrowers.filter(|(id, _)| **id != call.grantee);
        let lent = others
            .map(|(_, other)| other.counted())
            .fold(Portion::default(), Portion::plus);
        let free = self.shared(recovering).minus(lent);
        if recovering {
            // Another borrower that was not heard yet may hold all that seems free.
            let held = call.held.as_ref().map_or(Portion::default(), Portion::from);
            return held.min(free).usable();
        }
        // Rate and capacity shrink alike, so that a share lasts as long as the whole limit would.
        let wanted = self.shared(false).times(self.part(call));
        let held = self.borrowers.get(&call.grantee);
        let held = held.and_then(|borrower| borrower.lent.last());
        let steady = held.map(|lent| lent.portion);
        let steady = steady.filter(|held| held.is_near(wanted));
        steady.unwrap_or(wanted).min(free).usable()
    }

    /// Returns the part of all shares for the borrower of `call`.
    ///
    /// Among many borrowers, the one at the home's instance gets none: it would be lost together with
    /// the home, whose successor recovers for longest.
    fn part(&self, call: &QuotaRequest) -> f64 {
        let demand = call.demand.max(0.0);
        if demand <= 0.0 {
            return 0.0;
        }
        let active = self.active();
        let many = active > FEW_BORROWERS;
        let lenders = self.borrowers.values().filter(|b| !many || !b.own);
        let total: f64 = lenders.map(|b| b.demand).sum();
        if many {
            if self.borrowers.get(&call.grantee).is_some_and(|b| b.own) {
                return 0.0;
            }
            return BY_DEMAND * demand / total + (1.0 - BY_DEMAND) / active as f64;
        }
        let useful = total.max(self.shared(false).rate / SHARE_PER_DEMAND);
        demand / useful
    }

    /// Lends the borrower of `call` its share as the grant `id`.
    ///
    /// Returns the share and the tokens that leave the bucket with it, or `None` if the borrower
    /// neither gets a share nor may hold one.
    pub(crate) fn lend(
        &mut self,
        call: &QuotaRequest,
        id: GrantId,
        recovering: bool,
        cfg: &QuotaSettings,
        now: Timestamp,
    ) -> Option<(Portion, f64)> {
        let portion = self.target(call, recovering);
        let borrower = self.borrowers.get_mut(&call.grantee)?;
        let before = borrower.counted();
        if portion == Portion::default() && before == Portion::default() {
            return None;
        }
        borrower.lent.push(Lent {
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

    /// Takes the tokens that belong to `growth` of the bucket's capacity.
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
