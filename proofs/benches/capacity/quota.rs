//! Quota: memory and CPU time of owners and grantees, and bytes of an admission request
//! on the wire.

use std::time::Duration;

use limpetweir_coordination::quota::{
    LocalAdmission,
    OwnershipStart,
    QuotaGrantee,
    QuotaOwner,
    QuotaSettings, //
};
use limpetweir_protocol::peer::{
    CallBody,
    PeerMessage,
    QuotaCall, //
};
use limpetweir_state::{
    Epoch,
    Incarnation,
    InstanceId,
    Limit,
    OrganisationId,
    Timestamp, //
};

use crate::report::{
    line,
    micros,
    retained, //
};

/// Organisations: a small quota owner, the owner of one of 16 groups, and the whole target fleet.
const ORGANISATIONS: [u32; 3] = [8, 350, 5_600];

/// Grantees of one organisation: today's instances, one region and the whole target fleet.
const GRANTEES: [u16; 3] = [11, 48, 380];

const START: Timestamp = Timestamp::from_millis(10_000);

fn organisation(index: u32) -> OrganisationId {
    OrganisationId::try_from(format!("organisation-{index}")).expect("valid name")
}

fn grantee(index: u16) -> QuotaGrantee {
    let incarnation = Incarnation {
        instance: InstanceId::try_from(format!("region-1-entry-{index}")).expect("valid name"),
        started: 1,
    };
    QuotaGrantee::new(incarnation, QuotaSettings::default())
}

fn owner(organisations: u32) -> QuotaOwner {
    let mut owner = QuotaOwner::new(
        Epoch(1),
        OwnershipStart::First,
        QuotaSettings::default(),
        START,
    );
    let limit = Limit::new(1_000.0, 2_000.0).expect("valid limit");
    for index in 0..organisations {
        owner.set_limit(&organisation(index), Some(limit), START);
    }
    owner
}

/// Grants shares of the first organisation's quota to `count` grantees.
fn grant_shares(owner: &mut QuotaOwner, count: u16) {
    for index in 0..count {
        let mut grantee = grantee(index);
        for _ in 0..5 {
            grantee.admit(&organisation(0), START);
        }
        let (call, _) =
            grantee.admission_request(&organisation(0), 1, START + Duration::from_millis(500));
        let _ = owner.handle(&call, START + Duration::from_millis(501));
    }
}

fn memory() {
    let by_organisations = ORGANISATIONS.map(|count| {
        let (_owner, bytes) = retained(|| owner(count));
        (u64::from(count), bytes)
    });
    line("quota home, bytes", "organisations", by_organisations);
    let by_grantees = GRANTEES.map(|count| {
        let mut granting_owner = owner(1);
        let ((), bytes) = retained(|| grant_shares(&mut granting_owner, count));
        (u64::from(count), bytes)
    });
    line(
        "quota home, bytes",
        "borrowers of 1 organisation",
        by_grantees,
    );
    let grantees = ORGANISATIONS.map(|count| {
        let (_grantee, bytes) = retained(|| {
            let mut grantee = grantee(0);
            for index in 0..count {
                grantee.admit(&organisation(index), START);
            }
            grantee
        });
        (u64::from(count), bytes)
    });
    line("quota borrower, bytes", "organisations", grantees);
}

fn time() {
    let admits = ORGANISATIONS.map(|count| {
        let mut grantee = grantee(0);
        let mut index = 0;
        let value = micros(2_000, || -> LocalAdmission {
            index = (index + 1) % count;
            grantee.admit(&organisation(index), START)
        });
        (u64::from(count), value)
    });
    line("quota admission, us", "organisations", admits);
    let renewals = GRANTEES.map(|count| {
        let mut granting_owner = owner(1);
        grant_shares(&mut granting_owner, count);
        let mut requester = grantee(0);
        let mut now = START + Duration::from_secs(1);
        let value = micros(200, || {
            now = now + Duration::from_millis(1);
            requester.admit(&organisation(0), now);
            let (call, _) = requester.admission_request(&organisation(0), 1, now);
            granting_owner.handle(&call, now).is_ok()
        });
        (u64::from(count), value)
    });
    line(
        "quota ask at the home, us",
        "borrowers of 1 organisation",
        renewals,
    );
}

pub(crate) fn measure() {
    memory();
    time();
    let mut requester = grantee(0);
    requester.admit(&organisation(0), START);
    let (call, _) =
        requester.admission_request(&organisation(0), 1, START + Duration::from_millis(500));
    let body = CallBody::Quota(QuotaCall::from(call));
    let message = PeerMessage::Call { id: 77, body };
    let bytes = message.encode().expect("encodable call").len();
    println!("quota call, bytes on the wire: {bytes}");
}
