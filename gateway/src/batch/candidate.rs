//! Waiting items, and the backend servers that may run them.

use std::time::Duration;

use limpetweir_coordination::rendezvous_score;

use crate::backend::BackendKey;
use crate::load::Placed;
use crate::report::ItemKey;
use crate::server_limits::Permit;

/// Maximum number of free slots of a server that one decision examines; each costs a hash for every
/// contender while the state of the instance is locked. The entry of a server states any number of
/// slots. Servers of the platform have 8, and the next decision examines those that are left.
const MAX_EXAMINED_SLOTS: usize = 128;

/// Time after which a free slot passes to the next instance; reports arrive within a few
/// milliseconds.
const TURN: Duration = Duration::from_millis(15);

/// An item that waits for a slot at this instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingItem {
    /// The item.
    pub item: ItemKey,
    /// Deadline in Unix milliseconds.
    pub due: u64,
    /// Whether it can no longer meet its deadline.
    pub late: bool,
    /// Whether it is late, or will be if it does not start soon.
    pub urgent: bool,
    /// Backend server of the last failed run, used only if no other one has a free slot.
    pub avoid: Option<BackendKey>,
}

/// A backend server that may run items.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BatchCandidate {
    /// The server.
    pub key: BackendKey,
    /// Requests it runs concurrently.
    pub slots: u32,
    /// Requests placed on it.
    pub placed: Placed,
    /// Whether it was recently unresponsive.
    pub suspect: bool,
    /// Whether it is several times slower than the others.
    pub slow: bool,
    /// Whether it belongs to another cell; `placed` may then be one second old.
    pub other_cell: bool,
    /// Whether its limit on requests per second allows an item.
    pub permit: Permit,
    /// Time since the number of requests on it last changed.
    pub unchanged_for: Duration,
}

impl BatchCandidate {
    /// Returns the number of free slots.
    pub(super) fn free(&self) -> u32 {
        self.slots.saturating_sub(self.placed.total())
    }

    /// Returns how many slots this instance may fill now if `kept` of them stay free.
    ///
    /// Each free slot is assigned to one of the instances with waiting items, so that concurrent
    /// decisions do not fill it twice. A slot that stays free passes to the next instance every
    /// [`TURN`]; they have been free for `free_for`. `ahead` instances rank before all `contenders`.
    pub(super) fn open_to(
        &self,
        kept: u32,
        free_for: Duration,
        me: &str,
        ahead: usize,
        contenders: &[&str],
    ) -> u32 {
        let turn = free_for.as_micros() / TURN.as_micros();
        let turn = usize::try_from(turn).unwrap_or(usize::MAX);
        let free = self.placed.total()..self.slots.saturating_sub(kept);
        let examined = free.take(MAX_EXAMINED_SLOTS);
        let open = examined.filter(|slot| ahead + self.rank(*slot, me, contenders) <= turn);
        u32::try_from(open.count()).unwrap_or(u32::MAX)
    }

    pub(super) fn is_limited(&self) -> bool {
        !matches!(self.permit, Permit::Unlimited | Permit::Paced)
    }

    /// Returns the number of items that may start there at once. They leave a quarter of the slots of a
    /// limited server to online requests, which preempt them there only if nothing else is left.
    pub(super) fn most_starts(&self) -> u32 {
        match self.is_limited() {
            // The next decision asks for the rate again.
            false if self.permit == Permit::Paced => 1,
            false => u32::MAX,
            true if self.placed.batch < self.slots.saturating_sub(self.slots.div_ceil(4)) => 1,
            true => 0,
        }
    }

    /// Returns the rank of this instance for a slot.
    fn rank(&self, slot: u32, me: &str, contenders: &[&str]) -> usize {
        let key = (u64::from(self.key.0) << 32 | u64::from(slot)).to_be_bytes();
        let own = (rendezvous_score(&key, me), me);
        let before = |name: &&&str| (rendezvous_score(&key, name), **name) > own;
        contenders.iter().filter(before).count()
    }
}
