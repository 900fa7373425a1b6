//! Limits that backend servers state: what is known about them, and who may send.

use std::collections::VecDeque;
use std::time::Duration;

use limpetweir_gateway::{
    LimitChange,
    LimitReport,
    Permit,
    Purpose,
    ReturnTimes,
    RunKey,
    ServerLimits,
    StatedLimit, //
};
use limpetweir_state::Timestamp;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{
    Rng,
    SeedableRng, //
};
use rstest::rstest;

const RUN: RunKey = RunKey(7);

const ONLINE: Purpose = Purpose::Online { items_wait: false };

fn ms(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// Returns the limits of an instance that has been running for 10 s, and that a response with `rate`
/// reaches then.
fn limited(rate: f64) -> ServerLimits {
    let mut limits = ServerLimits::new("one");
    let change = limits.stated(RUN, &StatedLimit::Rate(rate), ms(9_950), ms(10_000));
    assert_eq!(change, Some(LimitChange::Began(rate)));
    limits
}

/// Sends as many requests as allowed between two times, one attempt every 10 ms.
fn send_all(limits: &mut ServerLimits, purpose: Purpose, from: u64, to: u64) -> u32 {
    let mut sent = 0;
    for at in (from..to).step_by(10) {
        if matches!(
            limits.permit(RUN, purpose, ms(at), at),
            Permit::Allowed | Permit::Refresh
        ) {
            limits.sent(RUN, ms(at));
            sent += 1;
        }
    }
    sent
}

/// Guards against an end of a limit that is taken from a response to an earlier request, which arrives
/// late.
#[rstest]
#[case::sent_before(9_900, None)]
#[case::sent_at_the_same_time(10_000, None)]
#[case::sent_after(10_001, Some(LimitChange::Ended(2.0)))]
fn only_a_later_request_ends_a_limit(#[case] sent_at: u64, #[case] change: Option<LimitChange>) {
    let mut limits = limited(2.0);
    let unlimited = StatedLimit::Unlimited;
    assert_eq!(
        limits.stated(RUN, &unlimited, ms(sent_at), ms(10_100)),
        change
    );
    assert_eq!(limits.limit(RUN).is_none(), change.is_some());
}

/// Guards against a limit that rises or falls without effect, and against a burst when it ends.
#[test]
fn a_limit_rises_falls_and_ends() {
    let mut limits = limited(1.0);
    send_all(&mut limits, ONLINE, 10_000, 14_000);
    let changed = limits.stated(RUN, &StatedLimit::Rate(4.0), ms(14_000), ms(14_050));
    assert_eq!(
        changed,
        Some(LimitChange::Changed {
            before: 1.0,
            rate: 4.0
        })
    );
    let raised = send_all(&mut limits, ONLINE, 15_000, 23_000);
    assert!(
        (25..=55).contains(&raised),
        "{raised} in 8 s at 4 per second"
    );
    limits.stated(RUN, &StatedLimit::Rate(0.5), ms(23_000), ms(23_050));
    let lowered = send_all(&mut limits, ONLINE, 27_100, 31_100);
    assert!(lowered <= 8, "{lowered} in 4 s at 0.5 per second");
    limits.stated(RUN, &StatedLimit::Unlimited, ms(31_100), ms(31_200));
    assert_eq!(
        limits.permit(RUN, ONLINE, ms(31_200), 31_200),
        Permit::Unlimited
    );
}

/// Guards against a server with the limit 0 that is never asked again, so that the end of its limit
/// stays unknown, and against one that is asked all the time.
#[test]
fn a_server_that_takes_nothing_is_asked_now_and_then() {
    let mut limits = limited(0.0);
    send_all(&mut limits, ONLINE, 10_000, 15_000);
    let sent = send_all(&mut limits, ONLINE, 15_000, 55_000);
    assert!((4..=10).contains(&sent), "{sent} in 40 s");
}

/// Guards against values that are no limit and change what is known.
#[rstest]
#[case::text("soon")]
#[case::empty("")]
#[case::negative("-1")]
#[case::not_a_number("nan")]
#[case::too_large("1e999")]
fn a_value_that_is_no_limit_changes_nothing(#[case] value: &str) {
    let mut limits = limited(2.0);
    let stated = StatedLimit::parse(value.as_bytes());
    assert_eq!(stated, StatedLimit::Invalid(value.to_owned()));
    assert_eq!(limits.stated(RUN, &stated, ms(10_100), ms(10_200)), None);
    assert_eq!(limits.limit(RUN).and_then(|s| s.rate), Some(2.0));
    assert!(limits.invalid(RUN, ms(10_200)) && !limits.invalid(RUN, ms(10_300)));
}

/// Guards against a limit that another instance states, of a run that has ended, and that applies to
/// the next run; and against one that stays in force without any statement.
#[test]
fn a_limit_belongs_to_a_run_and_expires() {
    let mut limits = limited(2.0);
    assert_eq!(
        limits.permit(RunKey(8), ONLINE, ms(10_000), 10_000),
        Permit::Unlimited
    );
    assert_eq!(limits.sweep(ms(69_000)), []);
    assert_eq!(limits.sweep(ms(70_001)), [(RUN, LimitChange::Ended(2.0))]);
}

/// Guards against a limit that is never confirmed because other servers have room.
#[test]
fn an_old_statement_is_confirmed() {
    let limits = limited(2.0);
    assert_eq!(
        limits.permit(RUN, ONLINE, ms(11_000), 11_000),
        Permit::Allowed
    );
    assert_eq!(
        limits.permit(RUN, ONLINE, ms(12_000), 12_000),
        Permit::Refresh
    );
}

/// Guards against requests of a peer that do not count while the bucket has been full for a while.
#[test]
fn requests_of_a_peer_lower_a_full_bucket() {
    let sent_at_once = |reported: u64| {
        let mut limits = limited(4.0);
        let report = LimitReport {
            run: RUN,
            rate: Some(4.0),
            age: Duration::from_millis(10),
            sent: reported,
        };
        limits.apply_report("peer", 1, &[report], ms(20_000));
        (0..30)
            .filter(|_| send_all(&mut limits, ONLINE, 20_000, 20_001) == 1)
            .count()
    };
    assert_eq!(sent_at_once(4) + 4, sent_at_once(0));
}

/// Guards against an instance that starts while a limit holds, and takes what others have sent.
#[test]
fn a_started_instance_begins_with_an_empty_bucket() {
    let mut limits = ServerLimits::new("started");
    let report = LimitReport {
        run: RUN,
        rate: Some(2.0),
        age: Duration::from_millis(10),
        sent: 40,
    };
    let changes = limits.apply_report("peer", 1, &[report], ms(400));
    assert_eq!(changes, [(RUN, LimitChange::Began(2.0))]);
    assert_eq!(limits.permit(RUN, ONLINE, ms(400), 400), Permit::Denied);
    assert_ne!(limits.permit(RUN, ONLINE, ms(2_000), 2_000), Permit::Denied);
}

/// Guards against an instance that starts while a limit holds, and fills a window in which the
/// others have sent what it does not know.
#[test]
fn a_started_instance_uses_its_share_of_the_first_window() {
    let mut limits = ServerLimits::new("started");
    limits.set_senders(0, 11, ms(300));
    let report = LimitReport {
        run: RUN,
        rate: Some(4.0),
        age: Duration::from_millis(10),
        sent: 40,
    };
    limits.apply_report("peer", 1, &[report], ms(400));
    let first = send_all(&mut limits, ONLINE, 400, 4_390);
    assert!((1..=2).contains(&first), "{first} in the first window");
    let then = send_all(&mut limits, ONLINE, 4_500, 8_500);
    assert!(then >= 10, "{then} in the next window");
}

/// Guards against instances that are cut off from each other and each use the whole limit.
#[test]
fn an_instance_that_hears_nobody_uses_its_share() {
    let mut limits = limited(2.0);
    limits.set_senders(8, 9, ms(10_000));
    send_all(&mut limits, ONLINE, 10_000, 14_000);
    let sent = send_all(&mut limits, ONLINE, 14_000, 54_000);
    assert!(
        (4..=14).contains(&sent),
        "{sent} in 40 s are a ninth of 2 per second"
    );
}

/// Guards against items that take the tokens that the next peak of online requests needs, and
/// against items that get none while online requests need all.
#[test]
fn online_requests_come_first_and_items_do_not_starve() {
    let mut limits = limited(2.0);
    send_all(&mut limits, Purpose::Item, 10_000, 12_000);
    let online = send_all(&mut limits, ONLINE, 12_000, 12_500);
    assert!(online >= 4, "{online} tokens are left to online requests");
    let mut items = 0;
    let contended = Purpose::Online { items_wait: true };
    for at in (13_000..53_000).step_by(10) {
        let (at, unix_ms) = (ms(at), at);
        for purpose in [contended, Purpose::Item] {
            if limits.permit(RUN, purpose, at, unix_ms) != Permit::Denied {
                limits.sent(RUN, at);
                items += u32::from(purpose == Purpose::Item);
            }
        }
    }
    assert!(
        (3..=12).contains(&items),
        "{items} of about 100 requests are items"
    );
}

/// Guards against callers that all return at the same moment, or later than they wait.
#[test]
fn callers_return_one_after_the_other() {
    let mut times = ReturnTimes::default();
    let longest = Duration::from_millis(1_600);
    let assigned: Vec<Duration> = (0..12).map(|_| times.assign(ms(0), 5.0, longest)).collect();
    assert!(assigned.iter().all(|time| *time <= longest));
    let mut distinct = assigned.clone();
    distinct.sort_unstable();
    distinct.dedup();
    assert!(distinct.len() >= 8, "{assigned:?}");
}

/// Time between two checks of the waiting items, in milliseconds.
const ITEM_CHECK: u64 = 50;

/// Requests that one server got, from instances that hear of each other's requests `delay` later.
struct Replay {
    instances: Vec<ServerLimits>,
    /// Reports on their way: arrival, sender, and the counts.
    reports: VecDeque<(u64, usize, Vec<LimitReport>)>,
    arrivals: Vec<u64>,
}

impl Replay {
    /// Replays `seconds` in which the fleet has `demand` requests per second for the server, and items
    /// at all instances if `items_wait`.
    fn play(
        count: usize,
        rate: f64,
        demand: f64,
        items_wait: bool,
        delay: u64,
        seconds: u64,
    ) -> Vec<u64> {
        let names = (0..count).map(|n| format!("instance-{n}"));
        let mut replay = Self {
            instances: names.map(|name| ServerLimits::new(&name)).collect(),
            reports: VecDeque::new(),
            arrivals: Vec::new(),
        };
        let begin = 10_000;
        for limits in &mut replay.instances {
            limits.set_senders(0, count, ms(begin));
            limits.stated(RUN, &StatedLimit::Rate(rate), ms(begin - 50), ms(begin));
        }
        let mut rng = SmallRng::seed_from_u64(count as u64);
        let mut order: Vec<usize> = (0..count).collect();
        for at in begin..begin + seconds * 1_000 {
            replay.deliver(at);
            order.shuffle(&mut rng);
            for n in &order {
                if rng.random_bool(demand / 1_000.0 / count as f64) {
                    replay.request(*n, ONLINE, at, delay);
                }
            }
            if items_wait && at % ITEM_CHECK == 0 {
                for n in &order {
                    replay.request(*n, Purpose::Item, at, delay);
                }
            }
        }
        replay.arrivals
    }

    fn deliver(&mut self, at: u64) {
        while let Some((_, from, report)) = self.reports.pop_front_if(|(due, ..)| *due <= at) {
            for (n, limits) in self.instances.iter_mut().enumerate() {
                if n != from {
                    limits.apply_report(&format!("instance-{from}"), 1, &report, ms(at));
                }
            }
        }
    }

    fn request(&mut self, n: usize, purpose: Purpose, at: u64, delay: u64) {
        let limits = &mut self.instances[n];
        if limits.permit(RUN, purpose, ms(at), at) == Permit::Denied {
            return;
        }
        limits.sent(RUN, ms(at));
        self.arrivals.push(at);
        self.reports
            .push_back((at + delay, n, limits.reports(ms(at))));
    }
}

/// Returns the most requests in 4 s.
fn most_in_window(arrivals: &[u64]) -> usize {
    let within = |start: u64| {
        arrivals
            .iter()
            .filter(move |at| (start..start + 4_000).contains(*at))
    };
    let counts = arrivals.iter().map(|at| within(*at).count());
    counts.max().unwrap_or(0)
}

/// Load pattern: 9, 82 and 300 instances that have far more requests for a server than its limit
/// allows, or bursts of them, and hear of each other's requests milliseconds later. Guards against
/// instances that use the same token, and against tokens that nobody uses.
#[rstest]
fn a_fleet_keeps_to_the_limit_and_uses_it(
    #[values(9, 82, 300)] count: usize,
    #[values(1.0, 2.5, 4.0)] rate: f64,
    #[values(12.0, 40.0)] demand: f64,
    #[values(5, 20)] delay: u64,
) {
    let arrivals = Replay::play(count, rate, demand, false, delay, 40);
    let most = most_in_window(&arrivals);
    assert!(
        most as f64 <= 6.0 * rate + 5.0,
        "{most} in 4 s at {rate} per second"
    );
    let used = arrivals.len() as f64 / 40.0;
    assert!(
        used >= rate.min(demand) * 0.9,
        "{used} per second of {rate}"
    );
}

/// Load pattern: items wait at all instances, which notice at the same moment that they may start.
/// Guards against more starts than the window has room for.
#[rstest]
fn a_fleet_keeps_to_the_limit_while_items_wait(
    #[values(9, 11, 82)] count: usize,
    #[values(1.0, 3.3)] rate: f64,
    #[values(0.0, 3.0)] demand: f64,
    #[values(5, 20)] delay: u64,
) {
    let arrivals = Replay::play(count, rate, demand, true, delay, 40);
    let most = most_in_window(&arrivals);
    assert!(
        most as f64 <= 6.0 * rate + 5.0,
        "{most} in 4 s at {rate} per second"
    );
    let used = arrivals.len() as f64 / 40.0;
    assert!(used >= rate * 0.9, "{used} per second of {rate}");
}
