//! How often instances of a large fleet hear of each other, and which counts they are told.

mod support;

use std::net::IpAddr;

use limpetweir_gateway::{
    OrganisationKey,
    PeerRelation,
    Receiver,
    Report,
    ReportSchedule, //
};
use rstest::rstest;
use support::idle_report;

/// Regular rounds a second.
const ROUNDS_PER_S: usize = 4;

fn receiver(n: u8, interval_ticks: usize) -> Receiver {
    Receiver {
        addr: IpAddr::from([10, 0, 0, n]),
        interval_ticks,
        immediate: false,
        full: false,
    }
}

fn report(admitted: &[(u32, u64)]) -> Report {
    let admitted = admitted.iter().map(|(key, n)| (OrganisationKey(*key), *n));
    Report {
        admitted: admitted.collect(),
        ..idle_report("a")
    }
}

/// Regular reports that an instance receives a second from `count` others.
fn received(pair: PeerRelation, count: usize, instances: usize) -> f64 {
    (count * ROUNDS_PER_S) as f64 / pair.interval_ticks(instances) as f64
}

/// Load: a fleet in five zones, a fifth of it on large machines that callers are sent to. Guards
/// against reports that grow with the number of instances, so that the fleet spends its processors
/// on them.
#[rstest]
#[case::hundred(100)]
#[case::three_hundred(300)]
#[case::thousand(1_000)]
fn an_instance_hears_of_the_others_at_a_bounded_rate(#[case] instances: usize) {
    let (near, far) = (instances / 5, instances * 4 / 5);
    for receiver_busy in [false, true] {
        let mut sum = 0.0;
        for sender_busy in [false, true] {
            let part = |count: usize| {
                if sender_busy {
                    count / 5
                } else {
                    count * 4 / 5
                }
            };
            let pair = |near: bool| PeerRelation {
                near,
                shares_jobs: false,
                sender_busy,
                receiver_busy,
            };
            sum += received(pair(true), part(near), instances);
            sum += received(pair(false), part(far), instances);
        }
        assert!(
            sum < 500.0,
            "{sum} a second, receiver busy: {receiver_busy}"
        );
        if instances == 300 {
            assert!(
                sum < 220.0,
                "{sum} a second, receiver busy: {receiver_busy}"
            );
        }
    }
}

/// Guards against instances that admit requests on counts that are older than a second, and against
/// holders of the same jobs that hear late of what they run.
#[test]
fn instances_that_serve_hear_of_each_other_each_second() {
    let pair = PeerRelation {
        near: false,
        shares_jobs: false,
        sender_busy: true,
        receiver_busy: true,
    };
    assert_eq!(pair.interval_ticks(295), ROUNDS_PER_S);
    let near = PeerRelation { near: true, ..pair };
    assert_eq!(near.interval_ticks(295), 1);
    let holder = PeerRelation {
        shares_jobs: true,
        ..pair
    };
    assert_eq!(holder.interval_ticks(295), 1);
}

/// Guards against a receiver that is left out, or told too often, while others come and go.
#[test]
fn each_receiver_is_told_once_in_its_rounds() {
    let receivers: Vec<Receiver> = (0..40).map(|n| receiver(n, 8)).collect();
    let mut schedule = ReportSchedule::default();
    let mut outgoing: Vec<IpAddr> = Vec::new();
    for round in 0..8 {
        // Another instance is lost in each round.
        let present = &receivers[round..];
        for to in schedule.outgoing(&report(&[]), present, Some(round)) {
            assert_eq!(to.report.next_ms, 8 * 250);
            outgoing.extend(to.addrs);
        }
    }
    outgoing.sort();
    let lasting = receivers[8..].iter().map(|r| r.addr);
    let of_lasting: Vec<IpAddr> = outgoing
        .into_iter()
        .filter(|addr| *addr >= receivers[8].addr)
        .collect();
    assert_eq!(of_lasting, lasting.collect::<Vec<_>>());
}

/// Guards against a count that a receiver is never told of, and against counts that are stated again
/// although nothing has changed.
#[test]
fn changed_counts_are_stated_to_every_receiver() {
    let (often, seldom) = (receiver(1, 1), receiver(2, 4));
    let mut schedule = ReportSchedule::default();
    let mut heard: Vec<(IpAddr, Vec<u64>)> = Vec::new();
    for round in 0..8 {
        let changing = 5 + round as u64;
        let report = report(&[(1, 7), (2, changing)]);
        for to in schedule.outgoing(&report, &[often, seldom], Some(round)) {
            let counts: Vec<u64> = to.report.admitted.iter().map(|(_, n)| *n).collect();
            heard.extend(to.addrs.iter().map(|addr| (*addr, counts.clone())));
        }
    }
    let counts = |addr: IpAddr| -> Vec<Vec<u64>> {
        let own = heard.iter().filter(|(to, _)| *to == addr);
        own.map(|(_, counts)| counts.clone()).collect()
    };
    assert_eq!(counts(often.addr)[..2], [vec![7, 5], vec![6]]);
    assert_eq!(counts(often.addr).len(), 8);
    assert_eq!(counts(seldom.addr).len(), 2);
    assert_eq!(counts(seldom.addr)[0].len(), 2);
    assert_eq!(counts(seldom.addr)[1].len(), 1);
}

/// Guards against a started instance, or one that becomes ready, that is told of changes only.
#[test]
fn an_instance_that_knows_nothing_is_told_everything_at_once() {
    let known = receiver(1, 4);
    let mut schedule = ReportSchedule::default();
    for round in 0..4 {
        schedule.outgoing(&report(&[(1, 7)]), &[known], Some(round));
    }
    assert_eq!(schedule.outgoing(&report(&[(1, 7)]), &[known], None), []);
    let started = Receiver {
        full: true,
        ..known
    };
    let outgoing = schedule.outgoing(&report(&[(1, 7)]), &[started], None);
    assert_eq!(outgoing.len(), 1);
    assert_eq!(outgoing[0].addrs, [known.addr]);
    assert_eq!(outgoing[0].report.admitted, [(OrganisationKey(1), 7)]);
}

/// Guards against a change that an instance which places on the same servers hears of late.
#[test]
fn changes_go_out_at_once_to_those_who_depend_on_them() {
    let mut schedule = ReportSchedule::default();
    let waits = receiver(1, 4);
    let depends = Receiver {
        immediate: true,
        ..receiver(2, 1)
    };
    let outgoing = schedule.outgoing(&report(&[]), &[waits, depends], None);
    let addrs: Vec<IpAddr> = outgoing.into_iter().flat_map(|to| to.addrs).collect();
    assert_eq!(addrs, [depends.addr]);
}
