//! The borrower of shares at one instance.

use std::collections::BTreeMap;
use std::time::Duration;

use limpetweir_state::{
    Incarnation,
    InstanceId,
    Limit,
    OrganisationId,
    Timestamp,
    TokenBucket, //
};

use super::message::{
    GrantId,
    Held,
    QuotaAnswer,
    QuotaRequest,
    ShareGrant, //
};
use super::portion::Portion;
use super::settings::QuotaSettings;

/// Time over which the demand follows a change, in renewal intervals.
const DEMAND_INTERVALS: f64 = 1.0;

/// An instance whose share is empty renews this many times as often as others.
const HASTE: u32 = 5;

/// Demand in requests per second below which an organisation counts as idle.
const MIN_DEMAND: f64 = 0.01;

/// Peers that are asked in turn for one request; as many round trips within a region take less than
/// the ask timeout.
const MAX_PEERS: usize = 10;

/// Whether the local share admits a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalAdmission {
    /// The request is admitted.
    Admitted,
    /// The share is empty or absent; only the home can admit the request.
    NoToken,
}

/// What the borrower must remember of a call until its answer arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentCall {
    organisation: OrganisationId,
    /// Send time, from which a granted lease counts.
    sent: Timestamp,
    /// The grant that the call reported.
    held: Option<GrantId>,
}

/// The share of an organisation at this instance, for the status and explain interfaces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareStatus {
    /// The grant.
    pub id: GrantId,
    /// Requests per second.
    pub rate: f64,
    /// Capacity in requests.
    pub cap: f64,
    /// Tokens held.
    pub tokens: f64,
    /// Remaining lifetime.
    pub remaining: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Share {
    id: GrantId,
    rate: f64,
    cap: f64,
    /// The least that all shares together were allowed to take since the grant; above zero.
    whole: Portion,
    expires: Timestamp,
}

impl Share {
    /// Returns the share with the same part of `limit`, if that is lower.
    ///
    /// The share stays so until the next grant, even if the limit rises again, because a report of
    /// it must not state less than the borrower may use.
    fn lowered(self, limit: Limit) -> Self {
        let whole = self.whole.min(Portion::lendable(limit));
        Self {
            rate: self.rate * (whole.rate / self.whole.rate),
            cap: self.cap * (whole.cap / self.whole.cap),
            whole,
            ..self
        }
    }
}

/// One organisation at this instance.
#[derive(Clone, Debug)]
struct Local {
    /// Empty and without capacity while there is no share.
    bucket: TokenBucket,
    share: Option<Share>,
    /// Greatest grant ever accepted; a lower one is a late message.
    newest: Option<GrantId>,
    /// Requests offered since `measured`.
    offered: u32,
    measured: Timestamp,
    /// Requests per second, smoothed over renewals.
    demand: f64,
    renew_at: Timestamp,
    /// Whether the home does not know yet that the share was reduced.
    unconfirmed: bool,
    /// Send time of the last call; answers older than a lease have no effect.
    called: Timestamp,
    /// Asks go to peers first before this time, because the home did not answer.
    home_first_from: Timestamp,
    /// Peers are not asked before this time, because none of them had a token.
    peers_asked_from: Timestamp,
    /// The peer that admitted last.
    lender: Option<InstanceId>,
}

impl Local {
    fn new(now: Timestamp) -> Self {
        Self {
            bucket: TokenBucket::empty(0.0, 0.0, now),
            share: None,
            newest: None,
            offered: 0,
            measured: now,
            demand: 0.0,
            renew_at: now,
            unconfirmed: false,
            called: now,
            home_first_from: now,
            peers_asked_from: now,
            lender: None,
        }
    }

    fn expire(&mut self, now: Timestamp) {
        if self.share.is_some_and(|share| share.expires <= now) {
            self.share = None;
            self.bucket = TokenBucket::empty(0.0, 0.0, now);
        }
    }

    fn measure(&mut self, interval: Duration, now: Timestamp) {
        let elapsed = now.since(self.measured).max(interval / HASTE);
        let latest = f64::from(self.offered) / elapsed.as_secs_f64();
        let passed = elapsed.as_secs_f64() / interval.as_secs_f64();
        let weight = 1.0 - (-passed / DEMAND_INTERVALS).exp();
        self.demand += weight * (latest - self.demand);
        if self.demand < MIN_DEMAND {
            self.demand = 0.0;
        }
        self.offered = 0;
        self.measured = now;
    }

    fn held(&self, now: Timestamp) -> Option<Held> {
        self.share.map(|share| Held {
            id: share.id,
            rate: share.rate,
            cap: share.cap,
            remaining: share.expires.since(now),
        })
    }

    fn is_idle(&self, cfg: &QuotaSettings, now: Timestamp) -> bool {
        let quiet = self.offered == 0 && self.demand == 0.0 && self.share.is_none();
        quiet && now.since(self.called) > cfg.share_lease
    }

    /// Returns whether a grant may replace the share.
    ///
    /// A new home repeats what the call reported. If the share has changed since, its former home
    /// may have lent the difference to another borrower, so the grant is refused.
    fn accepts(&self, call: &SentCall, grant: &ShareGrant, now: Timestamp) -> bool {
        let alive = now < call.sent + grant.lease;
        let newer = self.newest.is_none_or(|newest| grant.id > newest);
        let same_home = self
            .newest
            .is_some_and(|newest| newest.epoch == grant.id.epoch);
        let unchanged = call.held == self.share.map(|share| share.id);
        alive && newer && (same_home || unchanged)
    }

    /// Takes over a grant; `limit` is the one that this instance knows.
    fn accept(
        &mut self,
        call: &SentCall,
        grant: &ShareGrant,
        limit: Option<Limit>,
        cfg: &QuotaSettings,
        now: Timestamp,
    ) {
        let reduced = |old: Share| grant.rate < old.rate || grant.cap < old.cap;
        self.unconfirmed = self.share.is_some_and(reduced);
        self.newest = Some(grant.id);
        // A withdrawn share is kept until its expiry, so that the next call confirms it.
        let share = Share {
            id: grant.id,
            rate: grant.rate,
            cap: grant.cap,
            whole: Portion::lendable(grant.limit),
            expires: call.sent + grant.lease,
        };
        // The home may not know a lowered limit yet.
        let share = limit.map_or(share, |limit| share.lowered(limit));
        self.bucket
            .set(share.rate / cfg.refill_skew, share.cap, now);
        self.bucket.deposit(grant.tokens, now);
        self.share = Some(share);
    }

    /// Reduces the share to its part of a lowered limit.
    fn lower(&mut self, limit: Limit, cfg: &QuotaSettings, now: Timestamp) {
        let Some(share) = self.share else {
            return;
        };
        let share = share.lowered(limit);
        self.bucket
            .set(share.rate / cfg.refill_skew, share.cap, now);
        self.share = Some(share);
    }

    /// Stops the use of the share, because the organisation is not in the configuration.
    fn withdraw(&mut self, now: Timestamp) {
        if let Some(share) = &mut self.share {
            (share.rate, share.cap) = (0.0, 0.0);
        }
        self.bucket.set(0.0, 0.0, now);
    }
}

/// Shares of all organisations at one instance.
#[derive(Clone, Debug)]
pub struct QuotaGrantee {
    /// This process; a restarted one is another borrower, because its shares are gone.
    me: Incarnation,
    cfg: QuotaSettings,
    locals: BTreeMap<OrganisationId, Local>,
    /// Limits of the configuration at this instance; `None` until it has one.
    limits: Option<BTreeMap<OrganisationId, Limit>>,
}

impl QuotaGrantee {
    /// Returns a borrower without shares.
    pub fn new(me: Incarnation, cfg: QuotaSettings) -> Self {
        Self {
            me,
            cfg,
            locals: BTreeMap::new(),
            limits: None,
        }
    }

    /// Applies the limits of a whole configuration.
    ///
    /// A share of a lowered limit shrinks at once, although its lease may outlast the time within
    /// which the limit must be in force and its home may be lost.
    pub fn set_limits<'a>(
        &mut self,
        limits: impl IntoIterator<Item = (&'a OrganisationId, Limit)>,
        now: Timestamp,
    ) {
        let limits = limits.into_iter().map(|(id, limit)| (id.clone(), limit));
        let limits: BTreeMap<OrganisationId, Limit> = limits.collect();
        for (organisation, local) in &mut self.locals {
            local.expire(now);
            match limits.get(organisation) {
                Some(limit) => local.lower(*limit, &self.cfg, now),
                None => local.withdraw(now),
            }
        }
        self.limits = Some(limits);
    }

    fn local(&mut self, organisation: &OrganisationId, now: Timestamp) -> &mut Local {
        let local = self.locals.entry(organisation.clone());
        let local = local.or_insert_with(|| Local::new(now));
        local.expire(now);
        local
    }

    /// Counts a request as offered and admits it from the local share if that holds a token.
    pub fn admit(&mut self, organisation: &OrganisationId, now: Timestamp) -> LocalAdmission {
        let local = self.local(organisation, now);
        local.offered = local.offered.saturating_add(1);
        if local.bucket.take(1, now) {
            return LocalAdmission::Admitted;
        }
        LocalAdmission::NoToken
    }

    /// Returns the call that asks the home to admit `tokens` requests.
    ///
    /// It also asks for a new share, sooner than without asks, because the share was too small.
    pub fn admission_request(
        &mut self,
        organisation: &OrganisationId,
        tokens: u32,
        now: Timestamp,
    ) -> (QuotaRequest, SentCall) {
        let interval = self.cfg.renewal_interval;
        let early = interval - interval / HASTE;
        let due = self.local(organisation, now).renew_at <= now + early;
        self.call(organisation, tokens, due, now)
    }

    fn call(
        &mut self,
        organisation: &OrganisationId,
        tokens: u32,
        renew: bool,
        now: Timestamp,
    ) -> (QuotaRequest, SentCall) {
        let cfg = self.cfg;
        let grantee = self.me.clone();
        let local = self.local(organisation, now);
        if renew {
            local.measure(cfg.renewal_interval, now);
            local.renew_at = now + cfg.renewal_interval;
        }
        local.called = now;
        local.unconfirmed = false;
        let held = local.held(now);
        let sent = SentCall {
            organisation: organisation.clone(),
            sent: now,
            held: held.as_ref().map(|held| held.id),
        };
        let request = QuotaRequest {
            organisation: organisation.clone(),
            grantee,
            tokens,
            demand: local.demand,
            held,
            renew,
        };
        (request, sent)
    }

    /// Returns the renewals and confirmations that are due, and forgets organisations without
    /// requests.
    ///
    /// A reduced share is confirmed without delay: until then the home cannot lend the difference.
    pub fn renewals(&mut self, now: Timestamp) -> Vec<(QuotaRequest, SentCall)> {
        let cfg = self.cfg;
        for local in self.locals.values_mut() {
            local.expire(now);
        }
        self.locals.retain(|_, local| !local.is_idle(&cfg, now));
        let renews = |local: &Local| {
            let active = local.offered > 0 || local.demand > 0.0 || local.share.is_some();
            active && local.renew_at <= now
        };
        let locals = self.locals.iter();
        let due: Vec<(OrganisationId, bool)> = locals
            .filter(|(_, local)| renews(local) || local.unconfirmed)
            .map(|(name, local)| (name.clone(), renews(local)))
            .collect();
        let calls = due
            .iter()
            .map(|(name, renew)| self.call(name, 0, *renew, now));
        calls.collect()
    }

    /// Takes the share of an answer and returns the number of requests that the home admitted.
    ///
    /// An answer that arrives after the ask has timed out is given here as well, for its share.
    pub fn on_answer(&mut self, call: &SentCall, answer: &QuotaAnswer, now: Timestamp) -> u32 {
        let cfg = self.cfg;
        let limits = self.limits.as_ref();
        let limit = limits.map(|limits| limits.get(&call.organisation).copied());
        let removed = limit == Some(None);
        let local = self.local(&call.organisation, now);
        if let Some(grant) = &answer.share
            && !removed
            && local.accepts(call, grant, now)
        {
            local.accept(call, grant, limit.flatten(), &cfg, now);
        }
        answer.admitted
    }

    /// Returns whether an ask goes to the home first; otherwise it goes to peers first.
    pub fn tries_owner_first(&mut self, organisation: &OrganisationId, now: Timestamp) -> bool {
        self.local(organisation, now).home_first_from <= now
    }

    /// Notes that the home refused to act or did not answer; asks go to peers first for a renewal
    /// interval.
    pub fn on_owner_failed(&mut self, organisation: &OrganisationId, now: Timestamp) {
        let until = now + self.cfg.renewal_interval;
        self.local(organisation, now).home_first_from = until;
    }

    /// Returns the peers to ask in turn for a request that the home did not admit.
    ///
    /// `peers` are the live instances. The one that admitted last comes first, then those after it in
    /// the order of their names. Nobody is asked for a short time after no peer had a token, so that
    /// an organisation above its rate costs few messages.
    pub fn peers_to_try(
        &mut self,
        organisation: &OrganisationId,
        peers: &[InstanceId],
        now: Timestamp,
    ) -> Vec<InstanceId> {
        let me = self.me.instance.clone();
        let local = self.local(organisation, now);
        if now < local.peers_asked_from {
            return Vec::new();
        }
        let mut order: Vec<InstanceId> = peers.iter().filter(|p| **p != me).cloned().collect();
        order.sort_unstable();
        let first = local.lender.as_ref().unwrap_or(&me);
        let first = order.partition_point(|peer| peer < first);
        order.rotate_left(first);
        order.truncate(MAX_PEERS);
        order
    }

    /// Returns the call that asks a peer to admit `tokens` requests from its share.
    pub fn peer_request(&self, organisation: &OrganisationId, tokens: u32) -> QuotaRequest {
        QuotaRequest {
            organisation: organisation.clone(),
            grantee: self.me.clone(),
            tokens,
            demand: 0.0,
            held: None,
            renew: false,
        }
    }

    /// Notes that a peer admitted a request.
    pub fn on_peer_admitted(
        &mut self,
        organisation: &OrganisationId,
        peer: &InstanceId,
        now: Timestamp,
    ) {
        self.local(organisation, now).lender = Some(peer.clone());
    }

    /// Notes that none of the peers had a token.
    pub fn on_peers_empty(&mut self, organisation: &OrganisationId, now: Timestamp) {
        let until = now + self.cfg.renewal_interval / HASTE;
        self.local(organisation, now).peers_asked_from = until;
    }

    /// Answers a peer from the local share; the admission is decided here and now.
    ///
    /// It grants no share, so the answer is of use while no home acts.
    pub fn answer_peer(&mut self, call: &QuotaRequest, now: Timestamp) -> QuotaAnswer {
        let mut answer = QuotaAnswer {
            admitted: 0,
            share: None,
            retry_after: None,
        };
        let Some(local) = self.locals.get_mut(&call.organisation) else {
            return answer;
        };
        local.expire(now);
        answer.admitted = local.bucket.take_up_to(call.tokens, now);
        if answer.admitted < call.tokens {
            answer.retry_after = local.bucket.time_until(1, now);
        }
        answer
    }

    /// Returns the share of an organisation, or `None` if there is none.
    pub fn share(&self, organisation: &OrganisationId, now: Timestamp) -> Option<ShareStatus> {
        let mut local = self.locals.get(organisation)?.clone();
        local.expire(now);
        let share = local.share?;
        Some(ShareStatus {
            id: share.id,
            rate: share.rate,
            cap: share.cap,
            tokens: local.bucket.refill(now),
            remaining: share.expires.since(now),
        })
    }
}
