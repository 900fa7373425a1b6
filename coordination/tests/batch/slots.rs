//! Batch items beside online requests on one backend server.

use std::collections::BTreeSet;
use std::time::Duration;

use limpetweir_coordination::timing::BACKEND_COOLDOWN;
use limpetweir_coordination::{
    AttemptId,
    SlotAction,
    SlotLimits,
    SlotManager,
    SlotRefusal, //
};
use limpetweir_state::{
    Epoch,
    GroupId,
    GroupKind,
    Timestamp, //
};
use rand::rngs::SmallRng;
use rand::{
    Rng,
    SeedableRng, //
};
use rstest::rstest;

const LIMITS: SlotLimits = SlotLimits {
    slots: 8,
    reserve: 2,
    queue: 2,
};
const NOW: Timestamp = Timestamp::from_millis(10_000);

fn attempt(epoch: u64, number: u64) -> AttemptId {
    AttemptId {
        group: GroupId {
            kind: GroupKind::Jobs,
            index: 0,
        },
        epoch: Epoch(epoch),
        number,
    }
}

/// A manager that runs items 0 to 5 and holds items 6 and 7 in its queue.
fn full() -> SlotManager {
    let mut manager = SlotManager::new(LIMITS);
    for number in 0..8 {
        let actions = manager.offer(NOW, attempt(1, number));
        let starts = (number < 6).then_some(SlotAction::Start(attempt(1, number)));
        assert_eq!(actions, Ok(starts.into_iter().collect()));
    }
    manager
}

fn cancels(numbers: impl IntoIterator<Item = u64>) -> Vec<SlotAction> {
    let cancel = |number| SlotAction::Cancel(attempt(1, number));
    numbers.into_iter().map(cancel).collect()
}

/// Guards against batch work that takes the reserve or fills memory with waiting items.
#[test]
fn items_beyond_slots_and_queue_are_refused() {
    let mut manager = full();
    assert_eq!((manager.in_flight(), manager.queued()), (6, 2));
    let refused = manager.offer(NOW, attempt(1, 8));
    assert_eq!(refused, Err(SlotRefusal::Busy));
}

/// Guards against online requests that wait behind batch items when a burst arrives.
#[test]
fn an_online_burst_cancels_the_youngest_at_once() {
    let mut manager = full();
    assert_eq!(manager.set_own_online(NOW, 1), cancels([5]));
    assert_eq!(manager.set_peers_online(NOW, 2), cancels([4, 3]));
    let mut all = cancels([2, 1, 0]);
    all.extend([6, 7].map(|n| SlotAction::Return(attempt(1, n))));
    assert_eq!(manager.set_own_online(NOW, 20), all);
    let refused = manager.offer(NOW, attempt(1, 9));
    assert_eq!(refused, Err(SlotRefusal::Busy));
}

/// Guards against starting an item in a slot that a cancelled stream still occupies.
#[test]
fn a_cancelled_stream_occupies_its_slot_until_it_ends() {
    let mut manager = full();
    manager.set_own_online(NOW, 2);
    assert_eq!(manager.set_own_online(NOW, 1), []);
    assert_eq!(manager.in_flight(), 6);
    assert_eq!(manager.on_end(NOW, attempt(1, 5)), []);
    let actions = manager.on_end(NOW, attempt(1, 4));
    assert_eq!(actions, [SlotAction::Start(attempt(1, 6))]);
}

/// Guards against waiting for the next heartbeat when a peer needs a slot.
#[test]
fn a_request_to_yield_frees_a_slot_until_heartbeats_report_the_load() {
    let mut manager = full();
    assert_eq!(manager.on_preempt(NOW), cancels([5]));
    assert_eq!(manager.on_end(NOW, attempt(1, 5)), []);
    let soon = NOW + Duration::from_millis(250);
    assert_eq!(manager.tick(soon), []);
    let later = NOW + Duration::from_secs(1);
    assert_eq!(manager.tick(later), [SlotAction::Start(attempt(1, 6))]);
}

/// Guards against running items of an owner that was replaced.
#[test]
fn items_of_an_old_epoch_are_refused_and_stopped() {
    let mut manager = full();
    let mut actions = manager
        .offer(NOW, attempt(2, 0))
        .expect("the new owner's item is taken");
    let mut expected: Vec<_> = [6, 7].map(|n| SlotAction::Return(attempt(1, n))).into();
    expected.extend(cancels(0..6));
    assert_eq!(actions, expected);
    let refused = manager.offer(NOW, attempt(1, 9));
    assert_eq!(refused, Err(SlotRefusal::OldEpoch));
    actions = manager.on_end(NOW, attempt(1, 0));
    assert_eq!(actions, [SlotAction::Start(attempt(2, 0))]);
}

/// Guards against running an item twice when its owner repeats the offer.
#[test]
fn a_repeated_offer_has_no_effect() {
    let mut manager = full();
    assert_eq!(manager.offer(NOW, attempt(1, 0)), Ok(Vec::new()));
    assert_eq!(manager.offer(NOW, attempt(1, 7)), Ok(Vec::new()));
    assert_eq!((manager.in_flight(), manager.queued()), (6, 2));
}

/// Guards against a cancelled job whose items run on or start later.
#[test]
fn the_owner_stops_running_and_waiting_items() {
    let mut manager = full();
    let waiting = manager.stop(NOW, attempt(1, 6));
    assert_eq!(waiting, [SlotAction::Return(attempt(1, 6))]);
    assert_eq!(manager.stop(NOW, attempt(1, 2)), cancels([2]));
    assert_eq!(manager.stop(NOW, attempt(1, 2)), []);
    let next = manager.on_end(NOW, attempt(1, 2));
    assert_eq!(next, [SlotAction::Start(attempt(1, 7))]);
}

/// Guards against sending items to a backend server that has just failed.
#[test]
fn a_failed_backend_server_gets_no_items_for_two_seconds() {
    let mut manager = full();
    let returned = manager.on_backend_failure(NOW);
    assert_eq!(returned, [6, 7].map(|n| SlotAction::Return(attempt(1, n))));
    for number in 0..6 {
        assert_eq!(manager.on_end(NOW, attempt(1, number)), []);
    }
    let refused = manager.offer(NOW, attempt(1, 9));
    assert_eq!(refused, Err(SlotRefusal::Busy));
    let taken = manager.offer(NOW + BACKEND_COOLDOWN, attempt(1, 9));
    assert_eq!(taken, Ok(vec![SlotAction::Start(attempt(1, 9))]));
}

/// Guards against items that stay behind when the backend server gets another manager.
#[test]
fn a_closed_manager_holds_nothing() {
    let mut manager = full();
    let actions = manager.close(NOW);
    assert_eq!(actions.len(), 8);
    assert_eq!((manager.in_flight(), manager.queued()), (6, 0));
}

/// Guards against more running items than the online load leaves room for, and against items that
/// are neither held nor given back, under random events.
#[rstest]
fn limits_hold_under_random_events(#[values(21, 22, 23, 24, 25, 26)] seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut manager = SlotManager::new(LIMITS);
    let mut waiting = BTreeSet::new();
    let mut running = Vec::new();
    let mut stopping = BTreeSet::new();
    let (mut own, mut peers, mut epoch) = (0, 0, 1);
    let mut now = NOW;
    for number in 0..20_000 {
        now = now + Duration::from_millis(rng.random_range(0..100));
        let mut offered = None;
        let actions = match rng.random_range(0..20) {
            0 => {
                own = rng.random_range(0..10);
                manager.set_own_online(now, own)
            }
            1 => {
                peers = rng.random_range(0..6);
                manager.set_peers_online(now, peers)
            }
            2 => manager.on_preempt(now),
            3 if rng.random_bool(0.05) => {
                epoch += 1;
                manager.on_epoch(now, attempt(epoch, 0).group, Epoch(epoch))
            }
            4..=9 => {
                let ended = running.iter().chain(&stopping).next().copied();
                running.retain(|other| Some(*other) != ended);
                ended.map_or(Vec::new(), |ended| {
                    stopping.remove(&ended);
                    manager.on_end(now, ended)
                })
            }
            10 => manager.tick(now),
            _ => {
                let item = attempt(epoch, number);
                let actions = manager.offer(now, item);
                offered = actions.is_ok().then_some(item);
                actions.unwrap_or_default()
            }
        };
        waiting.extend(offered);
        for action in actions {
            match action {
                SlotAction::Start(item) => {
                    assert!(waiting.remove(&item), "only a waiting item starts");
                    running.push(item);
                    let used = running.len() + stopping.len();
                    assert!(
                        used + own as usize + peers as usize <= 6,
                        "starts in the reserve"
                    );
                }
                SlotAction::Cancel(item) => {
                    assert!(running.contains(&item), "only a running item is cancelled");
                    running.retain(|other| *other != item);
                    stopping.insert(item);
                }
                SlotAction::Return(item) => assert!(waiting.remove(&item)),
            }
        }
        let usable = 6_usize.saturating_sub(own as usize + peers as usize);
        assert!(running.len() <= usable, "batch gives way at once");
        assert!(waiting.len() <= 6 + LIMITS.queue as usize);
        assert_eq!(manager.in_flight(), running.len() + stopping.len());
        assert_eq!(manager.queued(), waiting.len());
    }
}
