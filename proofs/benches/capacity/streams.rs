//! Claims: memory of the replica and CPU time of one record.

use std::time::Duration;

use limpetweir_state::{
    ClaimRecord,
    Claims,
    Entry,
    EntryBody,
    GroupId,
    GroupKind,
    Incarnation,
    InstanceId,
    Offset,
    Replica,
    WriterId, //
};

use crate::report::{
    line,
    micros,
    retained, //
};

/// Groups: today, one region, and the whole target fleet.
const GROUPS: [u16; 3] = [48, 384, 3_072];

fn entry(sequence: u64, group: u16) -> Entry<ClaimRecord> {
    let incarnation = Incarnation {
        instance: InstanceId::try_from("region-1-entry-1").expect("valid name"),
        started: 1,
    };
    let claim = ClaimRecord::Claim {
        group: GroupId {
            kind: GroupKind::Jobs,
            index: group,
        },
        holder: incarnation.clone(),
        lease: Duration::from_secs(3),
    };
    Entry {
        writer: WriterId {
            incarnation,
            sequence,
        },
        body: EntryBody::Data(claim),
    }
}

fn replica(groups: u16) -> Replica<Claims> {
    let mut replica = Replica::new();
    for index in 0..groups {
        let at = u64::from(index);
        replica.read(Offset(at), entry(at + 1, index));
    }
    replica
}

pub(crate) fn measure() {
    let memory = GROUPS.map(|groups| (u64::from(groups), retained(|| replica(groups)).1));
    line("claims replica, bytes", "groups", memory);
    let time = GROUPS.map(|groups| {
        let mut replica = replica(groups);
        let mut at = u64::from(groups);
        let value = micros(2_000, || {
            at += 1;
            let group = u16::try_from(at % u64::from(groups)).unwrap_or(0);
            replica.read(Offset(at - 1), entry(at, group))
        });
        (u64::from(groups), value)
    });
    line("claim record folded, us", "groups", time);
}
