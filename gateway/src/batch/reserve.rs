//! Slots that items leave free for the next online requests.

use std::collections::BinaryHeap;

use crate::backend::BackendKey;
use crate::batch::candidate::BatchCandidate;

/// Returns how many slots of `servers` items leave free beside `online` requests, so that the next
/// requests start immediately without preempting an item. 0 while items are late.
///
/// The number of independently arriving requests varies by its square root. The reserve is at most
/// one slot per server, because at the peak online requests use nearly all slots anyway.
pub fn reserve(online: u32, servers: u32, late: bool) -> u32 {
    if late {
        return 0;
    }
    let spread = f64::from(online).sqrt().ceil() as u32;
    spread.max(1).min(servers)
}

/// Returns how many slots of `servers` items leave free if they are to keep theirs: one a server, so
/// that most requests which several instances place in the same moment find one. 0 while items are late.
pub fn one_slot_each(_online: u32, servers: u32, late: bool) -> u32 {
    if late { 0 } else { servers }
}

/// Distributes `reserve` slots to be kept free over the servers, those with the most free slots
/// first. All instances compute the same distribution.
pub(super) fn kept_free(candidates: &[&BatchCandidate], reserve: u32) -> Vec<u32> {
    let free = candidates.iter().map(|candidate| candidate.free());
    if free.clone().fold(0, u32::saturating_add) <= reserve {
        return free.collect();
    }
    let mut kept = vec![0; candidates.len()];
    let remaining = candidates.iter().map(|candidate| candidate.free());
    let remaining = remaining.zip(candidates).zip(0..);
    let mut remaining: BinaryHeap<(u32, BackendKey, usize)> = remaining
        .map(|((free, candidate), n)| (free, candidate.key, n))
        .collect();
    for _ in 0..reserve {
        if let Some(mut most) = remaining.peek_mut() {
            kept[most.2] += 1;
            most.0 -= 1;
        }
    }
    kept
}
