//! Messages between borrowers, homes and peers.

use limpetweir_coordination::quota::{
    QuotaAnswer,
    QuotaRequest,
    SentCall, //
};
use rand::Rng;

use super::{
    Ask,
    Event,
    Fleet,
    Policy,
    SECOND, //
};

impl Fleet {
    pub(super) fn send_call(
        &mut self,
        from: usize,
        call: QuotaRequest,
        sent: SentCall,
        request: Option<(usize, u32)>,
    ) {
        let Some(owner) = self.owner else {
            return;
        };
        // Some borrowers still know a former home.
        let stale = self.plan.outages && self.rng.random_bool(0.3);
        let to = self.former.filter(|_| stale).unwrap_or(owner);
        let ask = Ask {
            from,
            started: self.instances[from].incarnation.started,
            call,
            sent: Some(sent),
            request,
            peer: None,
        };
        self.send_ask(ask, to);
    }

    pub(super) fn send_ask(&mut self, ask: Ask, to: usize) {
        for delay in self.delays(ask.from == to) {
            self.push(delay, Event::Call(ask.clone(), to));
        }
    }

    /// Returns the delay of each copy of a message that arrives.
    fn delays(&mut self, local: bool) -> Vec<u64> {
        if local {
            return vec![0];
        }
        let faults = self.plan.faults;
        let (shortest, longest) = self.plan.one_way;
        if self.rng.random_bool(faults) {
            return Vec::new();
        }
        let copies = 1 + usize::from(self.rng.random_bool(faults));
        let mut delay = || {
            if self.rng.random_bool(faults) {
                return self.rng.random_range(0..6 * SECOND);
            }
            self.rng.random_range(shortest..longest)
        };
        (0..copies).map(|_| delay()).collect()
    }

    pub(super) fn call(&mut self, ask: Ask, to: usize) {
        if !self.instances[to].up {
            return;
        }
        let resumes = self.instances[to].paused_until;
        if resumes > self.now {
            let delay = resumes - self.now + 1;
            self.push(delay, Event::Call(ask, to));
            return;
        }
        let answer = self.handle(&ask, to);
        if answer.is_none() && ask.request.is_none() {
            return;
        }
        for _ in 0..answer.as_ref().map_or(0, |answer| answer.admitted) {
            self.admitted.push(self.now);
        }
        for delay in self.delays(ask.from == to) {
            self.push(delay, Event::Answer(ask.clone(), answer.clone()));
        }
    }

    /// Returns the answer of the home, or of a borrower that admits from its own share.
    fn handle(&mut self, ask: &Ask, to: usize) -> Option<QuotaAnswer> {
        let now = self.local(to);
        let lease = self.plan.settings.owner_lease;
        let instance = &mut self.instances[to];
        let borrower = &mut instance.borrower;
        let holder = instance.holder.as_mut().filter(|_| ask.peer.is_none());
        let holder = holder.filter(|holder| now.since(holder.read) < lease);
        let answer = holder.and_then(|holder| holder.home.handle(&ask.call, now).ok());
        let missing = ask.call.tokens - answer.as_ref().map_or(0, |answer| answer.admitted);
        if missing == 0 || self.plan.policy != Policy::Shares || !self.plan.peers {
            return answer;
        }
        let rest = QuotaRequest {
            tokens: missing,
            ..ask.call.clone()
        };
        let own = borrower.answer_peer(&rest, now);
        self.by_peer += own.admitted;
        match answer {
            Some(answer) => Some(QuotaAnswer {
                admitted: answer.admitted + own.admitted,
                ..answer
            }),
            None => Some(own).filter(|own| own.admitted > 0),
        }
    }

    pub(super) fn answer(&mut self, ask: Ask, answer: Option<QuotaAnswer>) {
        let to = ask.from;
        let instance = &self.instances[to];
        if !instance.up || instance.incarnation.started != ask.started {
            return;
        }
        if instance.paused_until > self.now {
            let delay = instance.paused_until - self.now + 1;
            self.push(delay, Event::Answer(ask, answer));
            return;
        }
        let now = self.local(to);
        let borrower = &mut self.instances[to].borrower;
        let admitted = answer.as_ref().map_or(0, |answer| answer.admitted);
        if let (Some(sent), Some(answer)) = (&ask.sent, &answer) {
            borrower.on_answer(sent, answer, now);
        }
        if answer.is_none() && ask.peer.is_none() {
            borrower.on_owner_failed(&self.organisation, now);
        }
        self.resolve(&ask, admitted);
    }
}
