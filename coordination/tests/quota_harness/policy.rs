//! What decides on a request.

use limpetweir_coordination::quota::LocalAdmission;

use super::{
    Fleet,
    MS, //
};

/// Time after which a caller whose ask is not answered is refused.
const ASK_LIMIT: u64 = 100 * MS;

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
        let now = self.local(n);
        let organisation = &self.organisation;
        let (mut call, sent) = self.instances[n].borrower.ask(organisation, 1, now);
        call.renew &= renew;
        self.send_call(n, call, sent, Some(request));
    }

    pub(super) fn note_admitted(&mut self, request: usize) {
        let offered = &mut self.offered[request];
        let after = self.now - offered.at;
        if after <= ASK_LIMIT {
            offered.admitted_after = Some(after);
        }
    }
}
