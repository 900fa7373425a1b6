//! Heartbeats: bytes on the wire, CPU time to encode, decode and apply one, membership memory.

use std::collections::BTreeMap;
use std::time::Duration;

use limpetweir_coordination::{
    ListState,
    Membership,
    Report,
    preferred_owner, //
};
use limpetweir_protocol::peer::{
    Heartbeat,
    PeerMessage, //
};
use limpetweir_state::{
    BackendId,
    Epoch,
    GroupId,
    GroupKind,
    Incarnation,
    InstanceId,
    Timestamp,
    Version, //
};

use crate::report::{
    line,
    micros,
    retained, //
};

/// Instances: one region today, one region of the target size, and the whole target fleet.
const PEERS: [u16; 3] = [11, 48, 380];

/// Engines: a small service today, one region of the target size, and the whole target fleet.
const ENGINES: [u16; 3] = [12, 312, 2_500];

/// Groups that one instance owns.
const OWNED_GROUPS: u16 = 5;

const START: Timestamp = Timestamp::from_millis(10_000);

fn instance(index: u16) -> InstanceId {
    InstanceId::try_from(format!("region-1-entry-{index}")).expect("valid name")
}

fn heartbeat(peers: u16, engines: u16, sequence: u64) -> Heartbeat {
    let group = |index| GroupId {
        kind: GroupKind::Jobs,
        index,
    };
    let engine = |index| BackendId::try_from(format!("engine-{index}")).expect("valid name");
    Heartbeat {
        incarnation: Incarnation {
            instance: instance(0),
            started: 1_796_000_000_000,
        },
        sequence,
        leaving: false,
        serving: true,
        config_version: Version(123_456),
        log_age_ms: Some(420),
        hears: (1..peers).map(instance).collect(),
        owns: (0..OWNED_GROUPS)
            .map(|index| (group(index), Epoch(100_000 + u64::from(index))))
            .collect(),
        online: (0..engines).map(|index| (engine(index), 3)).collect(),
    }
}

fn report(from: u16, peers: u16, engines: u16, sequence: u64) -> Report {
    let wire = heartbeat(peers, engines, sequence);
    Report {
        incarnation: Incarnation {
            instance: instance(from),
            started: 1,
        },
        sequence,
        leaving: false,
        serving: true,
        config_version: wire.config_version,
        log_age: Some(Duration::from_millis(420)),
        reachable: (0..peers).filter(|&i| i != from).map(instance).collect(),
        owns: wire.owns.into_iter().collect(),
        online: wire.online.into_iter().collect(),
    }
}

fn members(peers: u16) -> Membership {
    let own = Incarnation {
        instance: instance(0),
        started: 1,
    };
    let mut members = Membership::new(own, START);
    let list: BTreeMap<_, _> = (0..peers).map(|i| (instance(i), ListState::Live)).collect();
    members.set_list(START, list);
    for from in 1..peers {
        members.on_heartbeat(START, report(from, peers, 12, 1));
    }
    members
}

pub(crate) fn measure() {
    let encoded = |peers, engines| {
        let message = PeerMessage::Heartbeat(heartbeat(peers, engines, 77));
        message.encode().expect("encodable heartbeat")
    };
    let bytes = |peers, engines| encoded(peers, engines).len() as f64;
    let by_peers = |value: &dyn Fn(u16) -> f64| PEERS.map(|n| (u64::from(n), value(n)));
    let by_engines = |value: &dyn Fn(u16) -> f64| ENGINES.map(|n| (u64::from(n), value(n)));

    line(
        "heartbeat, bytes on the wire",
        "peers heard, 12 engines",
        by_peers(&|peers| bytes(peers, 12)),
    );
    line(
        "heartbeat, bytes on the wire",
        "engines in use, 11 peers",
        by_engines(&|engines| bytes(11, engines)),
    );
    line(
        "heartbeat, encode, us",
        "peers heard, 12 engines",
        by_peers(&|peers| {
            let message = PeerMessage::Heartbeat(heartbeat(peers, 12, 77));
            micros(500, || message.encode().expect("encodable heartbeat"))
        }),
    );
    line(
        "heartbeat, decode, us",
        "peers heard, 12 engines",
        by_peers(&|peers| {
            let buf = encoded(peers, 12);
            micros(500, || PeerMessage::decode(&buf).expect("valid heartbeat"))
        }),
    );
    line(
        "heartbeat, take into the view, us",
        "peers heard, 12 engines",
        by_peers(&|peers| {
            let mut members = members(peers);
            let template = report(1, peers, 12, 1);
            let mut sequence = 1;
            micros(500, || {
                sequence += 1;
                let mut report = template.clone();
                report.sequence = sequence;
                members.on_heartbeat(START, report)
            })
        }),
    );
    line(
        "view on the members, bytes",
        "peers heard, 12 engines",
        by_peers(&|peers| retained(|| members(peers)).1),
    );
    line(
        "majority and preferred owner, us",
        "peers heard",
        by_peers(&|peers| {
            let members = members(peers);
            let names: Vec<_> = (0..peers).map(instance).collect();
            let group = GroupId {
                kind: GroupKind::Jobs,
                index: 3,
            };
            micros(200, || {
                let majority = members.reaches_majority(START);
                (majority, preferred_owner(group, names.iter()).cloned())
            })
        }),
    );
}
