//! Quota owner of a group, which admits requests and grants shares.

use std::collections::BTreeMap;
use std::time::Duration;

use limpetweir_state::{
    Epoch,
    Incarnation,
    Limit,
    OrganisationId,
    Timestamp, //
};
use snafu::{
    OptionExt,
    Snafu,
    ensure, //
};

use super::account::Account;
use super::message::{
    GrantId,
    QuotaAnswer,
    QuotaRequest,
    ShareGrant, //
};
use super::settings::QuotaSettings;

/// State in which this owner takes over the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipStart {
    /// No instance has owned the group before, so no share exists and buckets are full.
    First,
    /// The former owner released the group and no longer acts; its shares may still be in use.
    AfterRelease,
    /// The former owner may act for one more lease.
    AfterLoss,
}

/// Reason for which the owner rejects a request; none of the requested tokens are admitted.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum QuotaRefusal {
    /// The former owner may still act.
    #[snafu(display("the quota home does not act yet; try again in {retry_after:?}"))]
    NotActive {
        /// Time until this owner is active.
        retry_after: Duration,
    },
    /// The grantee holds a share of a later owner.
    #[snafu(display("the quota home of epoch {} is replaced by epoch {}", own.0, newer.0))]
    Replaced {
        /// Epoch of this owner.
        own: Epoch,
        /// Epoch of the later owner.
        newer: Epoch,
    },
    /// The organisation is not in the owner's configuration.
    #[snafu(display("organisation {organisation} is not in the configuration of the quota home"))]
    UnknownOrganisation {
        /// The organisation.
        organisation: OrganisationId,
    },
}

/// State of an organisation at its quota owner, for the status interface.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountStatus {
    /// Tokens in the owner's bucket.
    pub tokens: f64,
    /// Refill rate of the owner's bucket in requests per second.
    pub own_rate: f64,
    /// Capacity of the owner's bucket in requests.
    pub own_cap: f64,
    /// Sum of the rates that grantees may be using, in requests per second.
    pub granted_rate: f64,
    /// Sum of the capacities that grantees may be using, in requests.
    pub granted_cap: f64,
    /// Number of grantees that may hold a share.
    pub grantees: usize,
}

/// Admits requests and grants shares for the organisations of one quota group.
///
/// It may be called only while this instance may act for the group; a later claim by the same
/// instance requires a new value.
#[derive(Clone, Debug)]
pub struct QuotaOwner {
    epoch: Epoch,
    /// The grantee at the owner's instance.
    own: Option<Incarnation>,
    start: OwnershipStart,
    cfg: QuotaSettings,
    /// Time from which the former owner does not act.
    active_from: Timestamp,
    /// Time from which no share of a former owner is in use; not before `active_from`.
    recovered_from: Timestamp,
    /// Number of the last grant.
    grant: u64,
    accounts: BTreeMap<OrganisationId, Account>,
}

impl QuotaOwner {
    /// Creates the owner for a claim that was read back at `now`, without limits.
    pub fn new(epoch: Epoch, start: OwnershipStart, cfg: QuotaSettings, now: Timestamp) -> Self {
        let active_from = match start {
            OwnershipStart::First | OwnershipStart::AfterRelease => now,
            OwnershipStart::AfterLoss => cfg.after_lease(cfg.owner_lease, now),
        };
        let recovered_from = match start {
            OwnershipStart::First => now,
            _ => cfg.after_lease(cfg.share_lease, active_from),
        };
        Self {
            epoch,
            own: None,
            start,
            cfg,
            active_from,
            recovered_from,
            grant: 0,
            accounts: BTreeMap::new(),
        }
    }

    /// Sets the grantee at the owner's instance, which gets no share among many grantees.
    pub fn set_own(&mut self, own: Incarnation) {
        self.own = Some(own);
    }

    /// Returns the epoch under which the owner acts.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the time from which the owner answers requests.
    pub fn active_from(&self) -> Timestamp {
        self.active_from
    }

    /// Returns whether shares of a former owner may still be in use.
    pub fn is_recovering(&self, now: Timestamp) -> bool {
        now < self.recovered_from
    }

    /// Applies the limit of an organisation; `None` if it was removed from the configuration.
    ///
    /// The owner's bucket changes immediately, shares at their next renewal or expiry.
    pub fn set_limit(
        &mut self,
        organisation: &OrganisationId,
        limit: Option<Limit>,
        now: Timestamp,
    ) {
        let recovering = self.is_recovering(now);
        if let Some(account) = self.accounts.get_mut(organisation) {
            if account.limit() != limit {
                account.set_limit(limit, recovering, &self.cfg, now);
            }
            return;
        }
        let Some(limit) = limit else {
            return;
        };
        let account = if self.start == OwnershipStart::First {
            Account::full(limit, &self.cfg, now)
        } else {
            // A former owner may have admitted a whole burst just before the takeover.
            let mut account = Account::empty_at(self.active_from);
            account.set_limit(Some(limit), recovering, &self.cfg, now);
            account
        };
        self.accounts.insert(organisation.clone(), account);
    }

    /// Applies the limits of a whole configuration.
    pub fn set_limits<'a>(
        &mut self,
        limits: impl IntoIterator<Item = (&'a OrganisationId, Limit)>,
        now: Timestamp,
    ) {
        let limits: BTreeMap<&OrganisationId, Limit> = limits.into_iter().collect();
        let known = self.accounts.keys();
        let removed: Vec<OrganisationId> = known
            .filter(|id| !limits.contains_key(id))
            .cloned()
            .collect();
        for organisation in &removed {
            self.set_limit(organisation, None, now);
        }
        for (organisation, limit) in limits {
            self.set_limit(organisation, Some(limit), now);
        }
    }

    /// Answers a grantee's request; the admission takes effect immediately.
    pub fn handle(
        &mut self,
        request: &QuotaRequest,
        now: Timestamp,
    ) -> Result<QuotaAnswer, QuotaRefusal> {
        let retry_after = self.active_from.since(now);
        ensure!(now >= self.active_from, NotActiveSnafu { retry_after });
        let own = self.epoch;
        let newer = request.held.as_ref().map_or(own, |held| held.id.epoch);
        ensure!(newer <= own, ReplacedSnafu { own, newer });
        let recovering = self.is_recovering(now);
        let organisation = &request.organisation;
        let account = self.accounts.get_mut(organisation);
        let account = account.and_then(|account| Some((account.limit()?, account)));
        let (limit, account) = account.with_context(|| UnknownOrganisationSnafu {
            organisation: organisation.clone(),
        })?;
        account.expire(&self.cfg, now);
        let at_owner = self.own.as_ref() == Some(&request.grantee);
        account.apply_request(request, at_owner, recovering, &self.cfg, now);
        account.update_bucket(recovering, &self.cfg, now);
        let admitted = account.bucket().take_up_to(request.tokens, now);
        let mut share = None;
        if request.renew {
            let id = GrantId {
                epoch: self.epoch,
                grant: self.grant + 1,
            };
            let granted = account.grant_share(request, id, recovering, &self.cfg, now);
            account.update_bucket(recovering, &self.cfg, now);
            self.grant += 1;
            share = granted.map(|(portion, tokens)| ShareGrant {
                id,
                rate: portion.rate,
                cap: portion.cap,
                tokens,
                lease: self.cfg.share_lease,
                limit,
            });
        }
        let wait = account.bucket().time_until(1, now);
        let wait = wait.unwrap_or(self.cfg.share_lease);
        Ok(QuotaAnswer {
            admitted,
            share,
            retry_after: (admitted < request.tokens).then_some(wait),
        })
    }

    /// Returns the state of an organisation, or `None` if the owner has no limit for it.
    pub fn status(&self, organisation: &OrganisationId, now: Timestamp) -> Option<AccountStatus> {
        let mut account = self.accounts.get(organisation)?.clone();
        account.limit()?;
        account.expire(&self.cfg, now);
        account.update_bucket(self.is_recovering(now), &self.cfg, now);
        let (grantees, granted) = account.grant_totals();
        let bucket = account.bucket();
        Some(AccountStatus {
            tokens: bucket.refill(now),
            own_rate: bucket.rate(),
            own_cap: bucket.cap(),
            granted_rate: granted.rate,
            granted_cap: granted.cap,
            grantees,
        })
    }
}
