//! The home of a quota group, which admits asks and lends shares.

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

/// How the group came to this home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipStart {
    /// No instance has owned the group before, so no share exists and buckets are full.
    First,
    /// The former home released the group and no longer acts; its shares may live on.
    AfterRelease,
    /// The former home may act for one more lease.
    AfterLoss,
}

/// A message that the home does not answer; the asked requests are not admitted.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum QuotaRefusal {
    /// The former home may still act.
    #[snafu(display("the quota home does not act yet; try again in {retry_after:?}"))]
    NotActive {
        /// Time until the home acts.
        retry_after: Duration,
    },
    /// The borrower holds a share of a later home.
    #[snafu(display("the quota home of epoch {} is replaced by epoch {}", own.0, newer.0))]
    Replaced {
        /// Epoch of this home.
        own: Epoch,
        /// Epoch of the later home.
        newer: Epoch,
    },
    /// The configuration at the home does not have the organisation.
    #[snafu(display("organisation {organisation} is not in the configuration of the quota home"))]
    UnknownOrganisation {
        /// The organisation.
        organisation: OrganisationId,
    },
}

/// The state of an organisation at its home, for the status interface.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountStatus {
    /// Tokens in the home's bucket.
    pub tokens: f64,
    /// Refill rate of the home's bucket in requests per second.
    pub own_rate: f64,
    /// Capacity of the home's bucket in requests.
    pub own_cap: f64,
    /// Sum of the rates that borrowers may be using, in requests per second.
    pub granted_rate: f64,
    /// Sum of the capacities that borrowers may be using, in requests.
    pub granted_cap: f64,
    /// Number of borrowers that may hold a share.
    pub grantees: usize,
}

/// Admission and lending for the organisations of one quota group.
///
/// The owner calls it only while it may act for the group; a later claim by the same instance gets
/// a new value.
#[derive(Clone, Debug)]
pub struct QuotaOwner {
    epoch: Epoch,
    /// The borrower at the instance of the home.
    own: Option<Incarnation>,
    start: OwnershipStart,
    cfg: QuotaSettings,
    /// The former home does not act from this time on.
    active_from: Timestamp,
    /// No share of a former home is in use from this time on; not before `active_from`.
    recovered_from: Timestamp,
    /// Number of the last grant.
    grant: u64,
    accounts: BTreeMap<OrganisationId, Account>,
}

impl QuotaOwner {
    /// Returns the home for a claim that was read back at `now` and has no limits yet.
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

    /// Names the borrower at the instance of the home, which gets no share among many.
    pub fn set_own(&mut self, own: Incarnation) {
        self.own = Some(own);
    }

    /// Returns the epoch under which the home acts.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the time from which the home answers.
    pub fn active_from(&self) -> Timestamp {
        self.active_from
    }

    /// Returns whether shares of a former home may still be in use.
    pub fn is_recovering(&self, now: Timestamp) -> bool {
        now < self.recovered_from
    }

    /// Applies the limit of an organisation, or `None` if the configuration no longer has it.
    ///
    /// The home's bucket follows at once, shares at their next renewal or expiry.
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
            // A former home may have admitted a whole burst just before this one took over.
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
        let gone: Vec<OrganisationId> = known
            .filter(|id| !limits.contains_key(id))
            .cloned()
            .collect();
        for organisation in &gone {
            self.set_limit(organisation, None, now);
        }
        for (organisation, limit) in limits {
            self.set_limit(organisation, Some(limit), now);
        }
    }

    /// Answers a borrower's message; the admission is decided here and now.
    pub fn handle(
        &mut self,
        call: &QuotaRequest,
        now: Timestamp,
    ) -> Result<QuotaAnswer, QuotaRefusal> {
        let retry_after = self.active_from.since(now);
        ensure!(now >= self.active_from, NotActiveSnafu { retry_after });
        let own = self.epoch;
        let newer = call.held.as_ref().map_or(own, |held| held.id.epoch);
        ensure!(newer <= own, ReplacedSnafu { own, newer });
        let recovering = self.is_recovering(now);
        let organisation = &call.organisation;
        let account = self.accounts.get_mut(organisation);
        let account = account.and_then(|account| Some((account.limit()?, account)));
        let (limit, account) = account.with_context(|| UnknownOrganisationSnafu {
            organisation: organisation.clone(),
        })?;
        account.expire(&self.cfg, now);
        let is_own = self.own.as_ref() == Some(&call.grantee);
        account.note(call, is_own, recovering, &self.cfg, now);
        account.settle(recovering, &self.cfg, now);
        let admitted = account.bucket().take_up_to(call.tokens, now);
        let mut share = None;
        if call.renew {
            let id = GrantId {
                epoch: self.epoch,
                grant: self.grant + 1,
            };
            let lent = account.lend(call, id, recovering, &self.cfg, now);
            account.settle(recovering, &self.cfg, now);
            self.grant += 1;
            share = lent.map(|(portion, tokens)| ShareGrant {
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
            retry_after: (admitted < call.tokens).then_some(wait),
        })
    }

    /// Returns the state of an organisation, or `None` if the home has no limit for it.
    pub fn status(&self, organisation: &OrganisationId, now: Timestamp) -> Option<AccountStatus> {
        let mut account = self.accounts.get(organisation)?.clone();
        account.limit()?;
        account.expire(&self.cfg, now);
        account.settle(self.is_recovering(now), &self.cfg, now);
        let (grantees, lent) = account.lent();
        let bucket = account.bucket();
        Some(AccountStatus {
            tokens: bucket.refill(now),
            own_rate: bucket.rate(),
            own_cap: bucket.cap(),
            granted_rate: lent.rate,
            granted_cap: lent.cap,
            grantees,
        })
    }
}
