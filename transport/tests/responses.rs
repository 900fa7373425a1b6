//! Shares of the responses that wait for their callers, without a network.

use std::collections::BTreeMap;
use std::time::{
    Duration,
    Instant, //
};

use limpetweir_transport::http::{
    Ask,
    CUT_TIME,
    FREE_BYTES,
    Progress,
    READ_STALL_TIME,
    Reader,
    ResponseShares,
    Step, //
};
use rstest::rstest;

const MS: Duration = Duration::from_millis(1);
const LIMIT: usize = 1_000_000;
const PART: usize = 8_000;
const MOST: usize = 80_000;

/// How much of its response a caller reads in each 100 ms.
type Rate = fn(u32) -> usize;

/// A caller with a response without end, of which at most [`MOST`] bytes wait for it.
struct Caller {
    rate: Rate,
    waiting: usize,
    read: usize,
    progress: Progress,
    asks_since: Option<Instant>,
    /// Ticks until the connection ends, once it is released.
    ending: Option<u32>,
    released: u32,
    cut: u32,
}

/// Runs callers for a minute, and checks that they stay within the limit. A released caller keeps its share for
/// 100 ms and does not come back.
fn run(rates: &[Rate]) -> Vec<Caller> {
    let began = Instant::now();
    let mut shares = ResponseShares::new(LIMIT);
    let mut callers: Vec<Caller> = rates
        .iter()
        .map(|rate| Caller {
            rate: *rate,
            waiting: 0,
            read: 0,
            progress: Progress::new(began),
            asks_since: None,
            ending: None,
            released: 0,
            cut: 0,
        })
        .collect();
    for tick in 0..600_u32 {
        let now = began + MS * 100 * tick;
        for (key, caller) in (0..).zip(&mut callers) {
            let read = (caller.rate)(tick).min(caller.waiting);
            caller.waiting -= read;
            caller.read += read;
            caller.progress.add(read, now);
            if caller.ending == Some(tick) {
                caller.waiting = 0;
            }
            shares.set(key, share(caller.waiting));
        }
        for n in 0..callers.len() {
            let key = n as u64;
            while callers[n].ending.is_none() && callers[n].waiting + PART <= MOST {
                let since = *callers[n].asks_since.get_or_insert(now);
                let since = since.max(callers[n].progress.at());
                let waiting = callers[n].waiting + PART;
                let bytes = share(waiting);
                let readers: Vec<_> = (0..).zip(callers.iter().map(reader)).collect();
                match shares.step(Ask { key, bytes, since }, &readers, now) {
                    Step::Granted => {
                        callers[n].asks_since = None;
                        if callers[n].waiting == 0 {
                            callers[n].progress = Progress::new(now);
                        }
                        callers[n].waiting = waiting;
                        shares.set(key, bytes);
                    }
                    Step::Release(other) => {
                        callers[other as usize].released += 1;
                        callers[other as usize].ending = Some(tick + 1);
                    }
                    Step::Wait => break,
                    Step::Cut => {
                        callers[n].cut += 1;
                        callers[n].ending = Some(tick + 1);
                    }
                }
            }
        }
        assert!(shares.used() <= LIMIT, "{}", shares.used());
    }
    callers
}

fn share(waiting: usize) -> usize {
    waiting.saturating_sub(FREE_BYTES)
}

fn reader(caller: &Caller) -> Reader {
    Reader {
        is_blocked: caller.waiting > 0,
        progress: caller.progress.at(),
        is_released: caller.ending.is_some(),
    }
}

fn fast(_: u32) -> usize {
    50_000
}

/// 2,000 bytes/s.
fn narrow(_: u32) -> usize {
    200
}

/// A link that stalls for 4 s each 8 s.
fn stalling(tick: u32) -> usize {
    if tick % 80 < 40 { 0 } else { 5_000 }
}

fn silent(_: u32) -> usize {
    0
}

/// Guards against callers that read nothing and hold the room of those that do, and against slow or stalled links
/// that are taken for them.
#[rstest]
#[case::narrow(narrow)]
#[case::stalling(stalling)]
#[case::fast(fast)]
fn only_callers_that_do_not_read_are_released(#[case] rate: Rate) {
    let mut rates = vec![rate; 5];
    rates.extend([silent as Rate; 200]);
    rates.extend([fast as Rate; 5]);
    let callers = run(&rates);
    let (reading, silent): (Vec<_>, Vec<_>) = callers.iter().partition(|c| (c.rate)(79) > 0);
    assert!(reading.iter().all(|c| c.released == 0 && c.cut == 0));
    assert!(silent.iter().any(|c| c.released > 0), "no room was needed");
}

/// Guards against slow but steady callers that are released or cut off when they need more than there is.
#[test]
fn steady_callers_are_served_without_room_for_all() {
    let callers = run(&[narrow as Rate; 30]);
    assert!(callers.iter().all(|c| c.released == 0 && c.cut == 0));
    assert!(callers.iter().all(|c| c.read >= 100_000));
}

/// Guards against another order than that of the time without progress, and against more than needed.
#[test]
fn the_longest_time_without_progress_goes_first() {
    let now = Instant::now() + Duration::from_secs(3_600);
    let idle: BTreeMap<u64, Duration> = [(1, 6_000), (2, 9_000), (3, 7_000), (4, 1_000)]
        .map(|(key, ms)| (key, MS * ms))
        .into();
    let mut shares = ResponseShares::new(LIMIT);
    let mut readers = Vec::new();
    for (key, idle) in &idle {
        shares.set(*key, LIMIT / 4);
        let reader = Reader {
            is_blocked: true,
            progress: now - *idle,
            is_released: false,
        };
        readers.push((*key, reader));
    }
    let ask = |bytes, since| Ask {
        key: 9,
        bytes,
        since,
    };
    assert_eq!(shares.step(ask(1, now), &readers, now), Step::Release(2));
    readers[1].1.is_released = true;
    assert_eq!(shares.step(ask(1, now), &readers, now), Step::Wait);
    let more = ask(LIMIT / 4 + 1, now);
    assert_eq!(shares.step(more, &readers, now), Step::Release(3));
    // Those that read are not released; the response is cut off in the end.
    readers
        .iter_mut()
        .for_each(|(_, reader)| reader.progress = now);
    assert_eq!(shares.step(more, &readers, now), Step::Wait);
    let late = now + CUT_TIME;
    readers
        .iter_mut()
        .for_each(|(_, reader)| reader.progress = late);
    assert_eq!(shares.step(more, &readers, late), Step::Cut);
    assert!(CUT_TIME > READ_STALL_TIME);
}
