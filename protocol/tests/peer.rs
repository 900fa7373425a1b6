//! Encoding of bodies and snapshots on the links between instances.

#![allow(clippy::unwrap_used, reason = "tests may panic")]

use limpetweir_protocol::peer::{
    CallBody,
    ConfigSnapshot,
    JobAction,
    JobCall,
    JobReply,
    PeerMessage,
    ReplyBody, //
};
use limpetweir_state::{
    GroupId,
    GroupKind,
    OrganisationId,
    Version, //
};
use rstest::rstest;

/// Bytes that take two bytes each if they are encoded as an array of integers.
const BODY: [u8; 10_000] = [0xff; 10_000];

/// Upper bound for the bytes of a message besides its body.
const OVERHEAD_BYTES: usize = 256;

fn submit_call() -> PeerMessage {
    let body = CallBody::Job(JobCall {
        organisation: OrganisationId::try_from("reef").unwrap(),
        group: GroupId {
            kind: GroupKind::Jobs,
            index: 3,
        },
        action: JobAction::Submit {
            key: "evening".to_owned(),
            body: BODY.to_vec(),
        },
    });
    PeerMessage::Call { id: 1, body }
}

fn job_reply() -> PeerMessage {
    let body = ReplyBody::Job(JobReply {
        status: 200,
        body: BODY.to_vec(),
        retry_after_ms: None,
    });
    PeerMessage::Reply { id: 1, body }
}

fn snapshot() -> PeerMessage {
    let body = ReplyBody::Config(Some(ConfigSnapshot {
        version: Version(7),
        as_of: 12,
        snapshot: BODY.to_vec(),
    }));
    PeerMessage::Reply { id: 1, body }
}

/// Guards against bodies encoded as arrays of integers, which take twice their size on the links.
#[rstest]
#[case(submit_call())]
#[case(job_reply())]
#[case(snapshot())]
fn bodies_are_byte_strings(#[case] message: PeerMessage) {
    let encoded = message.encode().unwrap();
    assert!(
        encoded.len() < BODY.len() + OVERHEAD_BYTES,
        "{}",
        encoded.len()
    );
    assert_eq!(PeerMessage::decode(&encoded).unwrap(), message);
}
