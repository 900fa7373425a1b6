//! Quota: memory and CPU of homes and borrowers, and bytes of a renewal on the wire.

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

/// Organisations of a small home, of one home in each of 16 groups, and of the target fleet.
const ORGANISATIONS: [u32; 3] = [8, 350, 5_600];

/// Borrowers of one organisation: today's instances, one region and the whole target fleet.
const BORROWERS: [u16; 3] = [11, 48, 380];

const START: Timestamp = Timestamp::from_millis(10_000);

fn organisation(index: u32) -> OrganisationId {
    OrganisationId::try_from(format!("organisation-{index}")).expect("accepted name")
}

fn borrower(index: u16) -> QuotaGrantee {
    let me = Incarnation {
        instance: InstanceId::try_from(format!("region-1-entry-{index}")).expect("accepted name"),
        started: 1,
    };
    QuotaGrantee::new(me, QuotaSettings::default())
}

fn home(organisations: u32) -> QuotaOwner {
    let mut home = QuotaOwner::new(
        Epoch(1),
        OwnershipStart::First,
        QuotaSettings::default(),
        START,
    );
    let limit = Limit::new(1_000.0, 2_000.0).expect("accepted limit");
    for index in 0..organisations {
        home.set_limit(&organisation(index), Some(limit), START);
    }
    home
}

/// Lends a share of the first organisation to `count` borrowers.
fn lend(home: &mut QuotaOwner, count: u16) {
    for index in 0..count {
        let mut borrower = borrower(index);
        for _ in 0..5 {
            borrower.admit(&organisation(0), START);
        }
        let (call, _) =
            borrower.admission_request(&organisation(0), 1, START + Duration::from_millis(500));
        let _ = home.handle(&call, START + Duration::from_millis(501));
    }
}

fn memory() {
    let by_organisations = ORGANISATIONS.map(|count| {
        let (_home, bytes) = retained(|| home(count));
        (u64::from(count), bytes)
    });
    line("quota home, bytes", "organisations", by_organisations);
    let by_borrowers = BORROWERS.map(|count| {
        let mut lending = home(1);
        let ((), bytes) = retained(|| lend(&mut lending, count));
        (u64::from(count), bytes)
    });
    line(
        "quota home, bytes",
        "borrowers of 1 organisation",
        by_borrowers,
    );
    let borrowing = ORGANISATIONS.map(|count| {
        let (_borrower, bytes) = retained(|| {
            let mut borrower = borrower(0);
            for index in 0..count {
                borrower.admit(&organisation(index), START);
            }
            borrower
        });
        (u64::from(count), bytes)
    });
    line("quota borrower, bytes", "organisations", borrowing);
}

fn time() {
    let admits = ORGANISATIONS.map(|count| {
        let mut borrower = borrower(0);
        let mut index = 0;
        let value = micros(2_000, || -> LocalAdmission {
            index = (index + 1) % count;
            borrower.admit(&organisation(index), START)
        });
        (u64::from(count), value)
    });
    line("quota admission, us", "organisations", admits);
    let renewals = BORROWERS.map(|count| {
        let mut lending = home(1);
        lend(&mut lending, count);
        let mut asking = borrower(0);
        let mut now = START + Duration::from_secs(1);
        let value = micros(200, || {
            now = now + Duration::from_millis(1);
            asking.admit(&organisation(0), now);
            let (call, _) = asking.admission_request(&organisation(0), 1, now);
            lending.handle(&call, now).is_ok()
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
    let mut asking = borrower(0);
    asking.admit(&organisation(0), START);
    let (call, _) =
        asking.admission_request(&organisation(0), 1, START + Duration::from_millis(500));
    let body = CallBody::Quota(QuotaCall::from(call));
    let message = PeerMessage::Call { id: 77, body };
    let bytes = message.encode().expect("encodable call").len();
    println!("quota call, bytes on the wire: {bytes}");
}
