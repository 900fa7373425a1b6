//! What decides on a request.

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
    Ask,
    Event,
    Fleet, //
};

/// Time after which a caller whose ask is not answered is refused.
const ASK_LIMIT: u64 = QUOTA_REQUEST_TIMEOUT.as_micros() as u64;

/// Time after which an ask that the home does not answer goes to peers.
const HOME_LIMIT: u64 = QUOTA_OWNER_TIMEOUT.as_micros() as u64;

/// Time after which an ask that a peer does not answer goes to the next.
const PEER_LIMIT: u64 = QUOTA_PEER_TIMEOUT.as_micros() as u64;

/// Time after which a lost instance no longer counts as live.
const SILENCE: u64 = HEARTBEAT_TIMEOUT.as_micros() as u64;

/// A request that waits for an answer.
pub(super) struct Waiting {
    n: usize,
    /// Start time of the process of instance `n`.
    started: u64,
    /// Number of the ask that waits.
    step: u32,
    /// Number of the ask at the home; `None` until it was asked.
    home: Option<u32>,
    /// Peers that are not asked yet; `None` until the home has not admitted the request.
    peers: Option<VecDeque<usize>>,
}

/// What decides on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// The local share, then the home.
    Shares,
    /// A part of the limit that is the same for each instance and for ever.
    Static,
    /// The home.
    AskHome,
}

impl Fleet {
    /// Decides on a request that arrived at instance `n`.
    pub(super) fn decide(&mut self, n: usize, request: usize) {
        match self.plan.policy {
            Policy::Shares => self.admit_by_share(n, request),
            Policy::Static => self.admit_by_fixed_part(n, request),
            Policy::AskHome => self.ask_home(n, request, false),
        }
    }

    fn admit_by_share(&mut self, n: usize, request: usize) {
        let now = self.local(n);
        let borrower = &mut self.instances[n].borrower;
        if borrower.admit(&self.organisation, now) == LocalAdmission::Admitted {
            self.admitted.push(self.now);
            self.by_share.push(self.now);
            self.offered[request].admitted_after = Some(0);
            return;
        }
        self.ask_home(n, request, true);
    }

    fn admit_by_fixed_part(&mut self, n: usize, request: usize) {
        let now = self.local(n);
        if self.instances[n].fixed.take(1, now) {
            self.admitted.push(self.now);
            self.offered[request].admitted_after = Some(0);
        }
    }

    fn ask_home(&mut self, n: usize, request: usize, renew: bool) {
        if self.plan.policy != Policy::Shares || !self.plan.peers {
            self.send_home_ask(n, (request, 0), renew);
            return;
        }
        let now = self.local(n);
        let home = self.instances[n]
            .borrower
            .tries_owner_first(&self.organisation, now);
        let waiting = Waiting {
            n,
            started: self.instances[n].incarnation.started,
            step: 0,
            home: home.then_some(0),
            peers: None,
        };
        self.waiting.insert(request, waiting);
        if home {
            self.send_home_ask(n, (request, 0), renew);
        } else {
            self.ask_next_peer(request);
        }
    }

    fn send_home_ask(&mut self, n: usize, request: (usize, u32), renew: bool) {
        let now = self.local(n);
        let borrower = &mut self.instances[n].borrower;
        let (mut call, sent) = borrower.admission_request(&self.organisation, 1, now);
        call.renew &= renew;
        self.push(HOME_LIMIT, Event::Timeout(request.0, request.1));
        self.send_call(n, call, sent, Some(request));
    }

    /// Goes on when the ask `step` of a request has no answer.
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
        if waiting.home == Some(step) {
            let now = self.local(n);
            let borrower = &mut self.instances[n].borrower;
            borrower.on_owner_failed(&self.organisation, now);
        }
        self.ask_next_peer(request);
    }

    fn ask_next_peer(&mut self, request: usize) {
        let Some(waiting) = self.waiting.get(&request) else {
            return;
        };
        let n = waiting.n;
        let now = self.local(n);
        let tried = waiting.peers.is_some();
        let peers = waiting.peers.clone();
        let mut peers = peers.unwrap_or_else(|| self.peers_in_order(n));
        let borrower = &mut self.instances[n].borrower;
        let Some(peer) = peers.pop_front() else {
            if tried {
                borrower.on_peers_empty(&self.organisation, now);
            }
            self.end_peers(request);
            return;
        };
        let call = borrower.peer_request(&self.organisation, 1);
        let waiting = self.waiting.get_mut(&request).expect("still waiting");
        waiting.step += 1;
        waiting.peers = Some(peers);
        let step = waiting.step;
        let ask = Ask {
            from: n,
            started: waiting.started,
            call,
            sent: None,
            request: Some((request, step)),
            peer: Some(peer),
        };
        self.push(PEER_LIMIT, Event::Timeout(request, step));
        self.send_ask(ask, peer);
    }

    /// Asks the home after the peers if it was left out before.
    fn end_peers(&mut self, request: usize) {
        let Some(mut waiting) = self.waiting.remove(&request) else {
            return;
        };
        if waiting.home.is_some() {
            return;
        }
        waiting.step += 1;
        waiting.home = Some(waiting.step);
        waiting.peers = Some(VecDeque::new());
        let (n, step) = (waiting.n, waiting.step);
        self.waiting.insert(request, waiting);
        self.send_home_ask(n, (request, step), true);
    }

    fn peers_in_order(&mut self, n: usize) -> VecDeque<usize> {
        let now = self.local(n);
        // A lost instance counts as live until it is silent.
        let live = self.instances.iter().enumerate();
        let live = live.filter(|(_, i)| i.up || self.now - i.lost < SILENCE);
        let live: Vec<(InstanceId, usize)> = live
            .map(|(at, i)| (i.incarnation.instance.clone(), at))
            .collect();
        let names: Vec<InstanceId> = live.iter().map(|(name, _)| name.clone()).collect();
        let borrower = &mut self.instances[n].borrower;
        let order = borrower.peers_to_try(&self.organisation, &names, now);
        let index: BTreeMap<InstanceId, usize> = live.into_iter().collect();
        order.iter().map(|name| index[name]).collect()
    }

    /// Ends the wait of a request, or goes on with the next peer.
    pub(super) fn resolve(&mut self, ask: &Ask, admitted: u32) {
        let Some((request, step)) = ask.request else {
            return;
        };
        let now = self.local(ask.from);
        if admitted > 0 {
            if let Some(peer) = ask.peer {
                let peer = self.instances[peer].incarnation.instance.clone();
                let borrower = &mut self.instances[ask.from].borrower;
                borrower.on_peer_admitted(&self.organisation, &peer, now);
            }
            self.waiting.remove(&request);
            self.note_admitted(request);
            return;
        }
        if self.waiting.get(&request).is_some_and(|w| w.step == step) {
            self.ask_next_peer(request);
        }
    }

    fn note_admitted(&mut self, request: usize) {
        let offered = &mut self.offered[request];
        let after = self.now - offered.at;
        if after <= ASK_LIMIT {
            offered.admitted_after = Some(after);
        }
    }
}
