//! Conversion of quota messages on the peer links.

use std::time::Duration;

use limpetweir_coordination::quota::{
    GrantId,
    Held,
    QuotaAnswer,
    QuotaRequest,
    ShareGrant, //
};
use limpetweir_protocol::peer::{
    CallBody,
    PeerMessage,
    QuotaCall,
    QuotaReply, //
};
use limpetweir_state::{
    Epoch,
    Incarnation,
    Limit, //
};
use rstest::rstest;

const ID: GrantId = GrantId {
    epoch: Epoch(7),
    grant: 3,
};

fn request() -> QuotaRequest {
    QuotaRequest {
        organisation: "o".try_into().expect("valid name"),
        grantee: Incarnation {
            instance: "i".try_into().expect("valid name"),
            started: 5,
        },
        tokens: 2,
        demand: 12.5,
        held: Some(Held {
            id: ID,
            rate: 8.0,
            cap: 4.5,
            remaining: Duration::from_millis(1_200),
        }),
        renew: true,
    }
}

fn answer() -> QuotaAnswer {
    QuotaAnswer {
        admitted: 1,
        share: Some(ShareGrant {
            id: ID,
            rate: 8.0,
            cap: 4.5,
            tokens: 0.25,
            lease: Duration::from_secs(4),
            limit: Limit::new(100.0, 50.0).expect("valid limit"),
        }),
        retry_after: Some(Duration::from_millis(70)),
    }
}

/// Guards against a field that is lost or swapped in a quota request or its reply.
#[test]
fn messages_survive_conversion_and_encoding() {
    let call = CallBody::Quota(QuotaCall::from(request()));
    let message = PeerMessage::Call { id: 1, body: call };
    let decoded = PeerMessage::decode(&message.encode().unwrap()).unwrap();
    let PeerMessage::Call {
        body: CallBody::Quota(call),
        ..
    } = decoded
    else {
        panic!("the message is not a quota call");
    };
    assert_eq!(QuotaRequest::try_from(call).unwrap(), request());
    let reply = QuotaReply::from(answer());
    assert_eq!(QuotaAnswer::try_from(reply).unwrap(), answer());
}

/// Guards against a share that the quota owner counts for less time than its grantee uses it.
#[test]
fn remaining_lifetime_is_rounded_up() {
    let mut request = request();
    request.held = request.held.map(|held| Held {
        remaining: Duration::from_micros(1_200_001),
        ..held
    });
    let call = QuotaCall::from(request);
    assert_eq!(call.held.unwrap().remaining_ms, 1_201);
}

/// Guards against a message that makes the level of a bucket negative, infinite or NaN.
#[rstest]
fn invalid_numbers_are_rejected(
    #[values(-1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY)] invalid: f64,
) {
    let mut call = QuotaCall::from(request());
    call.demand = invalid;
    assert!(QuotaRequest::try_from(call).is_err());
    let mut call = QuotaCall::from(request());
    call.held.as_mut().unwrap().rate = invalid;
    assert!(QuotaRequest::try_from(call).is_err());
    let mut call = QuotaCall::from(request());
    call.held.as_mut().unwrap().cap = invalid;
    assert!(QuotaRequest::try_from(call).is_err());
    let mut reply = QuotaReply::from(answer());
    reply.share.as_mut().unwrap().tokens = invalid;
    assert!(QuotaAnswer::try_from(reply).is_err());
    let mut reply = QuotaReply::from(answer());
    reply.share.as_mut().unwrap().rate = invalid;
    assert!(QuotaAnswer::try_from(reply).is_err());
    let mut reply = QuotaReply::from(answer());
    reply.share.as_mut().unwrap().cap = invalid;
    assert!(QuotaAnswer::try_from(reply).is_err());
    let mut reply = QuotaReply::from(answer());
    reply.share.as_mut().unwrap().limit_rate = invalid;
    assert!(QuotaAnswer::try_from(reply).is_err());
    let mut reply = QuotaReply::from(answer());
    reply.share.as_mut().unwrap().limit_burst = invalid;
    assert!(QuotaAnswer::try_from(reply).is_err());
}
