//! Grantee of quota shares at one instance.

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

/// Time constant of the smoothed demand, in renewal intervals.
const DEMAND_INTERVALS: f64 = 1.0;

/// Factor by which an instance whose share is empty renews more often than others.
const EARLY_RENEWAL_FACTOR: u32 = 5;

/// Demand in requests per second below which an organisation is idle.
const MIN_DEMAND: f64 = 0.01;

/// Maximum number of peers tried in turn for one request; as many round trips within a region take
/// less than the request timeout.
const MAX_PEERS: usize = 10;

/// Result of admitting a request from the local share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalAdmission {
    /// The request is admitted.
    Admitted,
    /// The share is empty or absent; the request needs a token of the owner or of a peer.
    NoToken,
}

/// Data of a sent request that is needed when its answer arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentCall {
    organisation: OrganisationId,
    /// Send time, from which a granted lease counts.
    sent: Timestamp,
    /// The grant that the request reported.
    held: Option<GrantId>,
}

/// Share of an organisation at this instance, for the status and explain interfaces.
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
    /// Smallest total of all shares that the limits since the grant allowed; above zero.
    grantable: Portion,
    expires: Timestamp,
}

impl Share {
    /// Returns the share scaled to `limit`, if that is lower.
    ///
    /// The share stays reduced until the next grant, even if the limit rises again, because a
    /// reported share must not be less than what the grantee may use.
    fn lowered(self, limit: Limit) -> Self {
        let grantable = self.grantable.min(Portion::grantable(limit));
        Self {
            rate: self.rate * (grantable.rate / self.grantable.rate),
            cap: self.cap * (grantable.cap / self.grantable.cap),
            grantable,
            ..self
        }
    }
}

/// Quota state of one organisation at this instance.
#[derive(Clone, Debug)]
struct LocalQuota {
    /// Bucket of the share; empty and without capacity while there is none.
    bucket: TokenBucket,
    share: Option<Share>,
    /// Greatest grant accepted so far; a lower one arrived late.
    newest_grant: Option<GrantId>,
    /// Number of requests offered since `measured_at`.
    offered: u32,
    measured_at: Timestamp,
    /// Requests per second, smoothed over renewals.
    demand: f64,
    renew_at: Timestamp,
    /// Whether the share was reduced and the owner has not received a confirmation yet.
    unconfirmed: bool,
    /// Send time of the last request; answers older than a lease have no effect.
    last_request_at: Timestamp,
    /// Before this time requests go to peers first, because the owner rejected one or did not
    /// answer.
    owner_first_from: Timestamp,
    /// Before this time no request goes to peers, because none of them had a token.
    peers_from: Timestamp,
    /// The peer that last admitted a request.
    last_admitting_peer: Option<InstanceId>,
}

impl LocalQuota {
    fn new(now: Timestamp) -> Self {
        Self {
            bucket: TokenBucket::empty(0.0, 0.0, now),
            share: None,
            newest_grant: None,
            offered: 0,
            measured_at: now,
            demand: 0.0,
            renew_at: now,
            unconfirmed: false,
            last_request_at: now,
            owner_first_from: now,
            peers_from: now,
            last_admitting_peer: None,
        }
    }

    fn expire(&mut self, now: Timestamp) {
        if self.share.is_some_and(|share| share.expires <= now) {
            self.share = None;
            self.bucket = TokenBucket::empty(0.0, 0.0, now);
        }
    }

    fn measure(&mut self, interval: Duration, now: Timestamp) {
        let elapsed = now
            .since(self.measured_at)
            .max(interval / EARLY_RENEWAL_FACTOR);
        let latest = f64::from(self.offered) / elapsed.as_secs_f64();
        let passed = elapsed.as_secs_f64() / interval.as_secs_f64();
        let weight = 1.0 - (-passed / DEMAND_INTERVALS).exp();
        self.demand += weight * (latest - self.demand);
        if self.demand < MIN_DEMAND {
            self.demand = 0.0;
        }
        self.offered = 0;
        self.measured_at = now;
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
        let inactive = self.offered == 0 && self.demand == 0.0 && self.share.is_none();
        inactive && now.since(self.last_request_at) > cfg.share_lease
    }

    /// Returns whether a grant may replace the share.
    ///
    /// A new owner grants what the request reported. If the share has changed since, the former
    /// owner may have granted the difference to another grantee, so the grant is rejected.
    fn accepts(&self, call: &SentCall, grant: &ShareGrant, now: Timestamp) -> bool {
        let unexpired = now < call.sent + grant.lease;
        let newer = self
            .newest_grant
            .is_none_or(|newest_grant| grant.id > newest_grant);
        let same_owner = self
            .newest_grant
            .is_some_and(|newest_grant| newest_grant.epoch == grant.id.epoch);
        let unchanged = call.held == self.share.map(|share| share.id);
        unexpired && newer && (same_owner || unchanged)
    }

    /// Applies a grant; `limit` is the limit in the configuration of this instance.
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
        self.newest_grant = Some(grant.id);
        // A withdrawn share is kept until its expiry, so that the next request confirms it.
        let share = Share {
            id: grant.id,
            rate: grant.rate,
            cap: grant.cap,
            grantable: Portion::grantable(grant.limit),
            expires: call.sent + grant.lease,
        };
        // The owner may not have received a lowered limit yet.
        let share = limit.map_or(share, |limit| share.lowered(limit));
        self.bucket
            .set(share.rate / cfg.refill_skew, share.cap, now);
        self.bucket.deposit(grant.tokens, now);
        self.share = Some(share);
    }

    /// Reduces the share in proportion to a lowered limit.
    fn lower(&mut self, limit: Limit, cfg: &QuotaSettings, now: Timestamp) {
        let Some(share) = self.share else {
            return;
        };
        let share = share.lowered(limit);
        self.bucket
            .set(share.rate / cfg.refill_skew, share.cap, now);
        self.share = Some(share);
    }

    /// Makes the share unusable, because the organisation is not in the configuration.
    fn withdraw_share(&mut self, now: Timestamp) {
        if let Some(share) = &mut self.share {
            (share.rate, share.cap) = (0.0, 0.0);
        }
        self.bucket.set(0.0, 0.0, now);
    }
}

/// Shares of all organisations at one instance.
#[derive(Clone, Debug)]
pub struct QuotaGrantee {
    /// This process; a restarted one is another grantee, because its shares are lost.
    own: Incarnation,
    cfg: QuotaSettings,
    locals: BTreeMap<OrganisationId, LocalQuota>,
    /// Limits of the configuration at this instance; `None` until it has one.
    limits: Option<BTreeMap<OrganisationId, Limit>>,
}

impl QuotaGrantee {
    /// Creates a grantee without shares.
    pub fn new(own: Incarnation, cfg: QuotaSettings) -> Self {
        Self {
            own,
            cfg,
            locals: BTreeMap::new(),
            limits: None,
        }
    }

    /// Applies the limits of a whole configuration.
    ///
    /// A share of a lowered limit is reduced immediately, because its lease may exceed the time
    /// within which the limit must be in force, and its owner may be lost.
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
                None => local.withdraw_share(now),
            }
        }
        self.limits = Some(limits);
    }

    fn local(&mut self, organisation: &OrganisationId, now: Timestamp) -> &mut LocalQuota {
        let local = self.locals.entry(organisation.clone());
        let local = local.or_insert_with(|| LocalQuota::new(now));
        local.expire(now);
        local
    }

    /// Counts a request as offered and admits it if the local share has a token.
    pub fn admit(&mut self, organisation: &OrganisationId, now: Timestamp) -> LocalAdmission {
        let local = self.local(organisation, now);
        local.offered = local.offered.saturating_add(1);
        if local.bucket.take(1, now) {
            return LocalAdmission::Admitted;
        }
        LocalAdmission::NoToken
    }

    /// Returns the request to the owner to admit `tokens` requests.
    ///
    /// It also requests a renewed share, earlier than a regular renewal, because the share was too
    /// small.
    pub fn admission_request(
        &mut self,
        organisation: &OrganisationId,
        tokens: u32,
        now: Timestamp,
    ) -> (QuotaRequest, SentCall) {
        let interval = self.cfg.renewal_interval;
        let early = interval - interval / EARLY_RENEWAL_FACTOR;
        let due = self.local(organisation, now).renew_at <= now + early;
        self.build_request(organisation, tokens, due, now)
    }

    /// Builds a request to the owner that reports the share, and records it as sent at `now`.
    fn build_request(
        &mut self,
        organisation: &OrganisationId,
        tokens: u32,
        renew: bool,
        now: Timestamp,
    ) -> (QuotaRequest, SentCall) {
        let cfg = self.cfg;
        let grantee = self.own.clone();
        let local = self.local(organisation, now);
        if renew {
            local.measure(cfg.renewal_interval, now);
            local.renew_at = now + cfg.renewal_interval;
        }
        local.last_request_at = now;
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

    /// Returns the renewals and confirmations that are due, and removes idle organisations.
    ///
    /// A reduced share is confirmed without delay, because until then the owner cannot grant the
    /// difference to another grantee.
    pub fn renewals(&mut self, now: Timestamp) -> Vec<(QuotaRequest, SentCall)> {
        let cfg = self.cfg;
        for local in self.locals.values_mut() {
            local.expire(now);
        }
        self.locals.retain(|_, local| !local.is_idle(&cfg, now));
        let renews = |local: &LocalQuota| {
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
            .map(|(name, renew)| self.build_request(name, 0, *renew, now));
        calls.collect()
    }

    /// Applies the share of an answer and returns the number of requests that the owner admitted.
    ///
    /// Must also be called for an answer that arrives after the timeout, for its share.
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

    /// Returns whether a request is sent to the owner first; otherwise it is sent to peers first.
    pub fn tries_owner_first(&mut self, organisation: &OrganisationId, now: Timestamp) -> bool {
        self.local(organisation, now).owner_first_from <= now
    }

    /// Records that the owner rejected a request or did not answer; for a renewal interval,
    /// requests are sent to peers first.
    pub fn on_owner_failed(&mut self, organisation: &OrganisationId, now: Timestamp) {
        let until = now + self.cfg.renewal_interval;
        self.local(organisation, now).owner_first_from = until;
    }

    /// Returns the peers to try in turn for a request that the owner did not admit.
    ///
    /// `peers` are the live instances. The peer that admitted last comes first, followed by the
    /// others in the order of their names. For a short time after no peer had a token, the list is
    /// empty, so that an organisation above its rate causes few messages.
    pub fn peers_to_try(
        &mut self,
        organisation: &OrganisationId,
        peers: &[InstanceId],
        now: Timestamp,
    ) -> Vec<InstanceId> {
        let own = self.own.instance.clone();
        let local = self.local(organisation, now);
        if now < local.peers_from {
            return Vec::new();
        }
        let mut order: Vec<InstanceId> = peers.iter().filter(|p| **p != own).cloned().collect();
        order.sort_unstable();
        let first = local.last_admitting_peer.as_ref().unwrap_or(&own);
        let first = order.partition_point(|peer| peer < first);
        order.rotate_left(first);
        order.truncate(MAX_PEERS);
        order
    }

    /// Returns the request to a peer to admit `tokens` requests from its share.
    pub fn peer_request(&self, organisation: &OrganisationId, tokens: u32) -> QuotaRequest {
        QuotaRequest {
            organisation: organisation.clone(),
            grantee: self.own.clone(),
            tokens,
            demand: 0.0,
            held: None,
            renew: false,
        }
    }

    /// Records that a peer admitted a request.
    pub fn on_peer_admitted(
        &mut self,
        organisation: &OrganisationId,
        peer: &InstanceId,
        now: Timestamp,
    ) {
        self.local(organisation, now).last_admitting_peer = Some(peer.clone());
    }

    /// Records that none of the peers had a token.
    pub fn on_peers_empty(&mut self, organisation: &OrganisationId, now: Timestamp) {
        let until = now + self.cfg.renewal_interval / EARLY_RENEWAL_FACTOR;
        self.local(organisation, now).peers_from = until;
    }

    /// Answers a peer's request from the local share; the admission takes effect immediately.
    ///
    /// The answer contains no share, so it is valid while no owner acts.
    pub fn answer_peer(&mut self, request: &QuotaRequest, now: Timestamp) -> QuotaAnswer {
        let mut answer = QuotaAnswer {
            admitted: 0,
            share: None,
            retry_after: None,
        };
        let Some(local) = self.locals.get_mut(&request.organisation) else {
            return answer;
        };
        local.expire(now);
        answer.admitted = local.bucket.take_up_to(request.tokens, now);
        if answer.admitted < request.tokens {
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
