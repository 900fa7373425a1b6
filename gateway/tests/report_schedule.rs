//! Report intervals in a large fleet, and the counts in the reports.

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

/// Report ticks per second.
const TICKS_PER_S: usize = 4;

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

/// Returns the periodic reports per second that an instance receives from `count` others.
fn received(relation: PeerRelation, count: usize, instances: usize) -> f64 {
    (count * TICKS_PER_S) as f64 / relation.interval_ticks(instances) as f64
}

/// Load pattern: a fleet in five zones, a fifth of it on large machines to which callers are
/// directed. Guards against a rate of reports that grows with the number of instances until they
/// use up the processors of the fleet.
#[rstest]
#[case::hundred(100)]
#[case::three_hundred(300)]
#[case::thousand(1_000)]
fn the_rate_of_received_reports_is_bounded(#[case] instances: usize) {
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
            let relation = |near: bool| PeerRelation {
                near,
                shares_jobs: false,
                sender_busy,
                receiver_busy,
            };
            sum += received(relation(true), part(near), instances);
            sum += received(relation(false), part(far), instances);
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

/// Guards against admission with counts that are older than a second, and against delayed reports
/// of runs between replicas of the same jobs.
#[test]
fn busy_instances_report_every_second() {
    let relation = PeerRelation {
        near: false,
        shares_jobs: false,
        sender_busy: true,
        receiver_busy: true,
    };
    assert_eq!(relation.interval_ticks(295), TICKS_PER_S);
    let near = PeerRelation {
        near: true,
        ..relation
    };
    assert_eq!(near.interval_ticks(295), 1);
    let replica = PeerRelation {
        shares_jobs: true,
        ..relation
    };
    assert_eq!(replica.interval_ticks(295), 1);
}

/// Guards against a receiver that gets no report or too many while the set of receivers changes.
#[test]
fn each_receiver_gets_one_report_per_interval() {
    let receivers: Vec<Receiver> = (0..40).map(|n| receiver(n, 8)).collect();
    let mut schedule = ReportSchedule::default();
    let mut outgoing: Vec<IpAddr> = Vec::new();
    for tick in 0..8 {
        // One more instance is lost at each tick.
        let present = &receivers[tick..];
        for to in schedule.outgoing(&report(&[]), present, Some(tick)) {
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

/// Guards against a count that is never sent to a receiver, and against counts that are sent again
/// without a change.
#[test]
fn changed_counts_are_sent_to_every_receiver() {
    let (frequent, infrequent) = (receiver(1, 1), receiver(2, 4));
    let mut schedule = ReportSchedule::default();
    let mut received_counts: Vec<(IpAddr, Vec<u64>)> = Vec::new();
    for tick in 0..8 {
        let changing = 5 + tick as u64;
        let report = report(&[(1, 7), (2, changing)]);
        for to in schedule.outgoing(&report, &[frequent, infrequent], Some(tick)) {
            let counts: Vec<u64> = to.report.admitted.iter().map(|(_, n)| *n).collect();
            received_counts.extend(to.addrs.iter().map(|addr| (*addr, counts.clone())));
        }
    }
    let counts = |addr: IpAddr| -> Vec<Vec<u64>> {
        let own = received_counts.iter().filter(|(to, _)| *to == addr);
        own.map(|(_, counts)| counts.clone()).collect()
    };
    assert_eq!(counts(frequent.addr)[..2], [vec![7, 5], vec![6]]);
    assert_eq!(counts(frequent.addr).len(), 8);
    assert_eq!(counts(infrequent.addr).len(), 2);
    assert_eq!(counts(infrequent.addr)[0].len(), 2);
    assert_eq!(counts(infrequent.addr)[1].len(), 1);
}

/// Guards against sending only changes to an instance that has just started, or when this instance
/// becomes ready.
#[test]
fn a_started_instance_gets_a_full_report_immediately() {
    let known = receiver(1, 4);
    let mut schedule = ReportSchedule::default();
    for tick in 0..4 {
        schedule.outgoing(&report(&[(1, 7)]), &[known], Some(tick));
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

/// Guards against a delayed report of a change to an instance that places requests on the same
/// servers.
#[test]
fn changes_are_sent_immediately_to_dependent_instances() {
    let mut schedule = ReportSchedule::default();
    let periodic = receiver(1, 4);
    let dependent = Receiver {
        immediate: true,
        ..receiver(2, 1)
    };
    let outgoing = schedule.outgoing(&report(&[]), &[periodic, dependent], None);
    let addrs: Vec<IpAddr> = outgoing.into_iter().flat_map(|to| to.addrs).collect();
    assert_eq!(addrs, [dependent.addr]);
}
