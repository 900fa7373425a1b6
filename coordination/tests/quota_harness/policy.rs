//! Policies by which instances admit requests.

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use limpetweir_coordination::quota::LocalAdmission;
use limpetweir_coordination::timing::{
    HEARTBEAT_TIMEOUT,
    QUOTA_OWNER_TIMEOUT,
    QUOTA_PEER_TIMEOUT,
    QUOTA_REQUEST_TIMEOUT, //
};
use limpetweir_state::InstanceId;

use super::{
    Event,
    Fleet, //
    Message,
};

/// Time after which a request without an answer is rejected.
const REQUEST_TIMEOUT: u64 = QUOTA_REQUEST_TIMEOUT.as_micros() as u64;

/// Time after which a request that the owner has not answered is sent to peers.
const OWNER_TIMEOUT: u64 = QUOTA_OWNER_TIMEOUT.as_micros() as u64;

/// Time after which a request that a peer has not answered is sent to the next peer.
const PEER_TIMEOUT: u64 = QUOTA_PEER_TIMEOUT.as_micros() as u64;

/// Time after which a lost instance no longer counts as live.
const LIVENESS_TIMEOUT: u64 = HEARTBEAT_TIMEOUT.as_micros() as u64;

/// A request that waits for an answer.
pub(super) struct Waiting {
    n: usize,
    /// Start time of the process of instance `n`.
    started: u64,
    /// Number of the message that waits for an answer.
    step: u32,
    /// Number of the message to the owner; `None` until it was sent.
    quota_owner: Option<u32>,
    /// Peers that were not tried yet; `None` until the first peer is tried.
    peers: Option<VecDeque<usize>>,
}

/// Policy by which requests are admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The local share, then the owner.
    Shares,
    /// A constant part of the limit, the same for each instance.
    Static,
    /// The owner.
    OwnerOnly,
}

impl Fleet {
    /// Decides on a request that arrived at instance `n`.
    pub(super) fn decide(&mut self, n: usize, request: usize) {
        match self.plan.policy {
            Policy::Shares => self.admit_by_share(n, request),
            Policy::Static => self.admit_by_fixed_part(n, request),
            Policy::OwnerOnly => self.request_owner(n, request, false),
        }
    }

    fn admit_by_share(&mut self, n: usize, request: usize) {
        let now = self.local(n);
        let grantee = &mut self.instances[n].grantee;
        if grantee.admit(&self.organisation, now) == LocalAdmission::Admitted {
            self.admitted.push(self.now);
            self.by_share.push(self.now);
            self.offered[request].admitted_after = Some(0);
            return;
        }
        self.request_owner(n, request, true);
    }

    fn admit_by_fixed_part(&mut self, n: usize, request: usize) {
        let now = self.local(n);
        if self.instances[n].fixed.take(1, now) {
            self.admitted.push(self.now);
            self.offered[request].admitted_after = Some(0);
        }
    }

    fn request_owner(&mut self, n: usize, request: usize, renew: bool) {
        if self.plan.policy != Policy::Shares || !self.plan.peers {
            self.send_owner_request(n, (request, 0), renew);
            return;
        }
        let now = self.local(n);
        let quota_owner = self.instances[n]
            .grantee
            .tries_owner_first(&self.organisation, now);
        let waiting = Waiting {
            n,
            started: self.instances[n].incarnation.started,
            step: 0,
            quota_owner: quota_owner.then_some(0),
            peers: None,
        };
        self.waiting.insert(request, waiting);
        if quota_owner {
            self.send_owner_request(n, (request, 0), renew);
        } else {
            self.try_next_peer(request);
        }
    }

    fn send_owner_request(&mut self, n: usize, request: (usize, u32), renew: bool) {
        let now = self.local(n);
        let grantee = &mut self.instances[n].grantee;
        let (mut call, sent) = grantee.admission_request(&self.organisation, 1, now);
        call.renew &= renew;
        self.push(OWNER_TIMEOUT, Event::Timeout(request.0, request.1));
        self.send_call(n, call, sent, Some(request));
    }

    /// Continues when message `step` of a request has no answer.
    pub(super) fn time_out(&mut self, request: usize, step: u32) {
        let Some(waiting) = self.waiting.get(&request).filter(|w| w.step == step) else {
            return;
        };
        let n = waiting.n;
        let started = self.instances[n].incarnation.started;
        if !self.is_running(n) || started != waiting.started {
            self.waiting.remove(&request);
            return;
        }
        if waiting.quota_owner == Some(step) {
            let now = self.local(n);
            let grantee = &mut self.instances[n].grantee;
            grantee.on_owner_failed(&self.organisation, now);
        }
        self.try_next_peer(request);
    }

    fn try_next_peer(&mut self, request: usize) {
        let Some(waiting) = self.waiting.get(&request) else {
            return;
        };
        let n = waiting.n;
        let now = self.local(n);
        let tried = waiting.peers.is_some();
        let peers = waiting.peers.clone();
        let mut peers = peers.unwrap_or_else(|| self.peers_in_order(n));
        let grantee = &mut self.instances[n].grantee;
        let Some(peer) = peers.pop_front() else {
            if tried {
                grantee.on_peers_empty(&self.organisation, now);
            }
            self.end_peers(request);
            return;
        };
        let call = grantee.peer_request(&self.organisation, 1);
        let waiting = self.waiting.get_mut(&request).expect("still waiting");
        waiting.step += 1;
        waiting.peers = Some(peers);
        let step = waiting.step;
        let message = Message {
            from: n,
            started: waiting.started,
            call,
            sent: None,
            request: Some((request, step)),
            peer: Some(peer),
        };
        self.push(PEER_TIMEOUT, Event::Timeout(request, step));
        self.send_message(message, peer);
    }

    /// Sends the request to the owner after the peers, unless the owner was tried before.
    fn end_peers(&mut self, request: usize) {
        let Some(mut waiting) = self.waiting.remove(&request) else {
            return;
        };
        if waiting.quota_owner.is_some() {
            return;
        }
        waiting.step += 1;
        waiting.quota_owner = Some(waiting.step);
        waiting.peers = Some(VecDeque::new());
        let (n, step) = (waiting.n, waiting.step);
        self.waiting.insert(request, waiting);
        self.send_owner_request(n, (request, step), true);
    }

    fn peers_in_order(&mut self, n: usize) -> VecDeque<usize> {
        let now = self.local(n);
        // A lost instance counts as live until it is unreachable.
        let live = self.instances.iter().enumerate();
        let live = live.filter(|(_, i)| i.up || self.now - i.killed_at < LIVENESS_TIMEOUT);
        let live: Vec<(InstanceId, usize)> = live
            .map(|(at, i)| (i.incarnation.instance.clone(), at))
            .collect();
        let names: Vec<InstanceId> = live.iter().map(|(name, _)| name.clone()).collect();
        let grantee = &mut self.instances[n].grantee;
        let order = grantee.peers_to_try(&self.organisation, &names, now);
        let index: BTreeMap<InstanceId, usize> = live.into_iter().collect();
        order.iter().map(|name| index[name]).collect()
    }

    /// Ends the wait of a request, or tries the next peer.
    pub(super) fn resolve(&mut self, message: &Message, admitted: u32) {
        let Some((request, step)) = message.request else {
            return;
        };
        let now = self.local(message.from);
        if admitted > 0 {
            if let Some(peer) = message.peer {
                let peer = self.instances[peer].incarnation.instance.clone();
                let grantee = &mut self.instances[message.from].grantee;
                grantee.on_peer_admitted(&self.organisation, &peer, now);
            }
            self.waiting.remove(&request);
            self.record_admission(request);
            return;
        }
        if self.waiting.get(&request).is_some_and(|w| w.step == step) {
            self.try_next_peer(request);
        }
    }

    fn record_admission(&mut self, request: usize) {
        let offered = &mut self.offered[request];
        let after = self.now - offered.at;
        if after <= REQUEST_TIMEOUT {
            offered.admitted_after = Some(after);
        }
    }
}
